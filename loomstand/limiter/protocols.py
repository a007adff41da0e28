"""What the parts of a limiter may ask of it: narrow types, so that no part knows the whole and none
is known by it. A further part (a link to peers, say) stands beside them with a role of its own.
"""

from __future__ import annotations

import asyncio
from collections import Counter as Tally
from typing import Any, Protocol, TypeVar

from loomstand.admission.outcome import Outcome
from loomstand.config.limiter import BackendList
from loomstand.limiter import http_parser
from loomstand.limiter.buffers import Room

AttemptT_contra = TypeVar("AttemptT_contra", contravariant=True)


class Clock(Protocol):
    """What bounds the time at which bytes came; `driver.Turns`."""

    @property
    def since(self) -> float: ...

    @property
    def count(self) -> int: ...

    def came(self, made: int, made_at: float) -> float: ...


class Host(Protocol):
    """What every part needs: the loop, room for buffers, and a place to count how connections
    end.
    """

    loop: asyncio.AbstractEventLoop
    room: Room
    endings: Tally[str]


class Told(Host, Protocol):
    """The watch on the list."""

    def log(self, text: str) -> None: ...

    def told(self, list_: BackendList) -> None: ...

    def beat(self) -> None: ...


class Counts(Host, Protocol):
    """The counter's calls."""

    def counter_replied(self, name: int, outcome: Outcome, total: float, took: int) -> None: ...


class Bounded(Host, Protocol):
    """Parts that hold many connections."""

    most_answer: int

    def spare_sockets(self) -> int: ...

    def make_room(self, spared: Asker | None = None) -> bool: ...


class Sends(Bounded, Protocol[AttemptT_contra]):
    """Connections to servers."""

    def now(self) -> int: ...

    def attempt_ended(
        self, attempt: AttemptT_contra, outcome: Outcome, metered: int = 0, body: bytes = b""
    ) -> None: ...


class Takes(Bounded, Protocol):
    """Connections of clients."""

    is_ready: bool

    @property
    def turns(self) -> Clock: ...

    def request_received(
        self, client: Asker, machine: http_parser.RequestReceiver, at: float
    ) -> None: ...

    # of the limiter's own class of requests, as `request_received` has set it at the client
    def client_disconnected(self, request: Any) -> None: ...  # noqa: ANN401


class Asker(Protocol):
    """A client's connection, as a request and the limiter see it."""

    request: Asked | None

    def answer(
        self, status: int, body: bytes = b"", extra: str = "", close: bool = False
    ) -> None: ...

    def next(self) -> None: ...


class Asked(Protocol):
    """A request, as a client's connection sees it."""

    client: Asker | None


class Carrier(Protocol):
    """A connection to a server, as an attempt sees it."""

    attempt: Any
    wire: Any  # the connection's `event_loop.Wire`

    def write(self) -> None: ...
