"""Interfaces between a limiter and its components, each as narrow as its component needs.

Components depend on these instead of on the limiter class or on each other.
"""

from __future__ import annotations

import asyncio
from collections import Counter as Tally
from typing import Any, Protocol, TypeVar

from loomstand.admission.outcome import Outcome
from loomstand.config.limiter import BackendList
from loomstand.limiter import http_parser
from loomstand.limiter.buffers import MemoryBudget

AttemptT_contra = TypeVar("AttemptT_contra", contravariant=True)


class ArrivalClock(Protocol):
    """Bounds the arrival time of received bytes; see `event_loop.ArrivalClockSelector`."""

    @property
    def earliest_arrival(self) -> float: ...

    @property
    def count(self) -> int: ...

    def arrival_time(self, opened_iteration: int, opened_at: float) -> float: ...


class Owner(Protocol):
    """What every component needs of the limiter.

    Attributes:
        loop: The event loop.
        memory_budget: Memory budget for buffers and bodies.
        endings: Counts of connection endings by kind, for the log.
    """

    loop: asyncio.AbstractEventLoop
    memory_budget: MemoryBudget
    endings: Tally[str]


class WatchOwner(Owner, Protocol):
    """What the discovery watch needs of the limiter; see `Limiter`."""

    def log(self, text: str) -> None: ...

    def list_received(self, list_: BackendList) -> None: ...

    def heartbeat_received(self) -> None: ...


class CounterOwner(Owner, Protocol):
    """What the counter client needs of the limiter; see `GatewayCore`."""

    def counter_replied(self, name: int, outcome: Outcome, total: float, elapsed: int) -> None: ...


class ConnectionOwner(Owner, Protocol):
    """What components with many connections need of the limiter; see `GatewayCore`."""

    max_response_bytes: int

    def spare_sockets(self) -> int: ...

    def free_socket(self, spared: ClientHandle | None = None) -> bool: ...


class PoolOwner(ConnectionOwner, Protocol[AttemptT_contra]):
    """What the connection pool to servers needs of the limiter; see `GatewayCore`."""

    def now(self) -> int: ...

    def attempt_ended(
        self, attempt: AttemptT_contra, outcome: Outcome, metered: int = 0, body: bytes = b""
    ) -> None: ...


class ListenerOwner(ConnectionOwner, Protocol):
    """What the client listener needs of the limiter; see `GatewayCore` and `Limiter`."""

    is_ready: bool

    @property
    def arrival_clock(self) -> ArrivalClock: ...

    def request_received(
        self, client: ClientHandle, parser: http_parser.RequestReceiver, arrived_at: float
    ) -> None: ...

    # The request class of the limiter, as set on the client by `request_received`.
    def client_disconnected(self, request: Any) -> None: ...  # noqa: ANN401


class ClientHandle(Protocol):
    """A client connection, as used by a request and the limiter; see `ClientConnection`."""

    request: TrackedRequest | None

    def answer(
        self, status: int, body: bytes = b"", extra: str = "", close: bool = False
    ) -> None: ...

    def resume(self) -> None: ...


class TrackedRequest(Protocol):
    """A request, as used by its client connection; see `request.Request`."""

    client: ClientHandle | None


class AttemptConnection(Protocol):
    """A connection to a server, as used by an attempt; see `upstream.ServerConnection`."""

    attempt: Any
    may_have_run: bool
    channel: Any  # the connection's `event_loop.SocketChannel`

    def write(self) -> None: ...
