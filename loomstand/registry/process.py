"""The registry with its HTTP server for servers and operators."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loomstand.config.settings import Settings
from loomstand.limiter.event_loop import ArrivalClockSelector, Streams
from loomstand.registry.program import Registry
from loomstand.rpc.network import Network
from loomstand.rpc.operator_http import OperatorHttpServer

# Maximum size of a request body: a configuration of 24,000 routes. With such a configuration a
# registry or a limiter uses 160 MB of about 300 MB of memory, and the store's file 40 MB of its 256
# MB disk. It fits into an RPC frame (rpc/frames.py).
MAX_BODY_BYTES = 8 << 20
# File descriptors that aren't available to the HTTP server: 200 are reserved by the platform, the
# other 200 are for RPC between the programs.
RESERVED_FILE_DESCRIPTORS = 400
# Size of all buffers for HTTP, in bytes per MB of the memory limit: a quarter of the limit.
BUFFER_BYTES_PER_MB = 1 << 18


class RegistryService(Registry):
    """A registry with the HTTP server that servers and operators call."""

    def __init__(  # noqa: PLR0913 - the simulation passes the last three
        self,
        settings: Settings,
        network: Network,
        arrival_clock: ArrivalClockSelector | None,
        *,
        clock: Callable[[], float] | None = None,
        wall_seconds: float | None = None,
        streams: Streams | None = None,
    ) -> None:
        """Creates the registry and its HTTP server.

        Args:
            settings: The machine's settings.
            network: Network for RPC between the programs.
            arrival_clock: The event loop's selector, which records arrival times; None on an event
                loop with another selector.
            clock: A monotonic clock, in seconds; None for the event loop's clock.
            wall_seconds: Wall clock time at the start, in seconds since the Unix epoch; None to
                read it from the system.
            streams: Source of simulated connections; None for sockets.
        """
        loop_clock = clock or asyncio.get_running_loop().time
        super().__init__(settings, network, loop_clock, wall_seconds)
        self.http_server = OperatorHttpServer(
            self.handle_http,
            arrival_clock,
            settings.limits.memory_mb * BUFFER_BYTES_PER_MB,
            settings.limits.file_descriptors - RESERVED_FILE_DESCRIPTORS,
            MAX_BODY_BYTES,
            streams,
        )

    async def run(self) -> None:
        """Serves HTTP and RPC calls until `stop`.

        Raises:
            ValueError: The settings have no address for the HTTP server.
        """
        address = self.context.settings.listen_addresses.control_plane
        if address is None:
            raise ValueError("listen_addresses.control_plane: not set")
        await self.http_server.listen(address)
        await super().run()
        self.http_server.stop()
