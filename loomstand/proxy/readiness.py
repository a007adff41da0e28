"""HTTP endpoint for the platform's readiness checks, on a separate listening socket."""

from __future__ import annotations

from collections.abc import Callable

from loomstand.limiter.event_loop import ArrivalClockSelector, Streams
from loomstand.rpc.network import Address
from loomstand.rpc.operator_http import OperatorHttpServer

READINESS_PATH = b"/api/readiness"
BUFFER_BYTES = 4 << 20
MAX_CONNECTIONS = 64
MAX_BODY_BYTES = 4096
READY_STATUS = 200
NOT_READY_STATUS = 503
NOT_FOUND_STATUS = 404


class ReadinessEndpoint:
    """Serves `/api/readiness`: 200 if ready, else 503."""

    def __init__(
        self,
        is_ready: Callable[[], bool],
        arrival_clock: ArrivalClockSelector | None,
        streams: Streams | None,
    ) -> None:
        """See `Proxy`; `is_ready` is called for each request."""
        self._is_ready = is_ready
        self._server = OperatorHttpServer(
            self._answer, arrival_clock, BUFFER_BYTES, MAX_CONNECTIONS, MAX_BODY_BYTES, streams
        )

    async def listen(self, address: Address) -> None:
        """Starts serving on the address."""
        await self._server.listen(address)

    def stop(self) -> None:
        """Stops the server."""
        self._server.stop()

    async def _answer(self, _method: bytes, target: bytes, _body: bytes) -> tuple[int, bytes]:
        if target.partition(b"?")[0] != READINESS_PATH:
            return NOT_FOUND_STATUS, b""
        return (READY_STATUS if self._is_ready() else NOT_READY_STATUS), b""
