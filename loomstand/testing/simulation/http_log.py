"""What people say and see: HTTP messages on simulated streams, and the book of a day's requests.

Messages are read and written here by themselves, so that nothing of the programs' own parsers is
trusted. A `Book` has in `faults` what breaks a rule whatever the day.
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import Any

from loomstand.testing.simulation.streams import Address, SimTransport, Streams

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)  # not run, and never will be
Fields = dict[str, str]


@dataclass(slots=True)
class Message:
    """One whole message."""

    start: bytes
    fields: Fields
    body: bytes

    @property
    def status(self) -> int:
        return int(self.start.split()[1])


class ConnectionBrokenError(Exception):
    """A connection that ended within a message, or bytes that are none; says how."""


class HttpConnection(asyncio.Protocol):
    """One end of a connection: bytes that came, and how it ended."""

    transport: SimTransport
    on_established: Callable[[], None] | None = None

    def __init__(self) -> None:
        self.buffer, self.closed_reason = bytearray(), ""
        self.waiter: asyncio.Future[None] | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        if self.on_established is not None:
            self.on_established()

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        self.wake()

    def eof_received(self) -> bool:
        self.closed_reason = self.closed_reason or "closed"
        self.wake()
        return True

    def connection_lost(self, why: Exception | None) -> None:
        self.closed_reason = self.closed_reason or ("reset" if why else "closed")
        self.wake()

    def wake(self) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def wait_for_data(self) -> None:
        if self.closed_reason:
            raise ConnectionBrokenError(self.closed_reason)
        self.waiter = asyncio.get_running_loop().create_future()
        await self.waiter

    async def closed_within(self, seconds: float) -> bool:
        """Waits until the other side has closed or the time is over; whether it has closed."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while not self.closed_reason and loop.time() < until:
            self.waiter = loop.create_future()
            timer = loop.call_at(until, self.wake)
            await self.waiter
            timer.cancel()
        return bool(self.closed_reason)

    async def read_line(self) -> bytes:
        while (end := self.buffer.find(b"\r\n")) < 0:
            await self.wait_for_data()
        out = bytes(self.buffer[:end])
        del self.buffer[: end + 2]
        return out

    async def read_exactly(self, n: int) -> bytes:
        while len(self.buffer) < n:
            await self.wait_for_data()
        out = bytes(self.buffer[:n])
        del self.buffer[:n]
        return out

    async def read_message(self) -> Message:
        """The next one. Raises Broken."""
        start, fields = await self.read_line(), Fields()
        while line := await self.read_line():
            name, colon, value = line.decode("latin-1").partition(":")
            if not colon:
                raise ConnectionBrokenError("bytes that are no message")
            fields[name.strip().lower()] = value.strip()
        body = b""
        if fields.get("transfer-encoding") == "chunked":
            while size := int(await self.read_line(), 16):
                body += await self.read_exactly(size)
                await self.read_line()
            await self.read_line()
        elif "content-length" in fields:
            body = await self.read_exactly(int(fields["content-length"]))
        return Message(start, fields, body)


@dataclass(slots=True)
class ClientRequest:
    """A client's request, one try of it; `sent` and `front` are when and where it last went.

    `left_at` is when the client closed its connection without an answer.
    """

    id: str
    method: str
    host: str
    path: str
    key: str
    body: bytes
    idempotent: bool
    sent: float = 0.0
    front: Address = ("", 0)
    left_at: float = inf


@dataclass(slots=True)
class Reply:
    """What came of a try: a status, or 0 and how it ended without one."""

    status: int
    end: str = ""
    fields: Fields = field(default_factory=Fields)
    body: bytes = b""
    at: float = 0.0


@dataclass(slots=True)
class ServerArrival:
    """A request at a server: that ran, or was turned away.

    `ended` is when the server stopped work on it.
    """

    at: float
    service: str
    server: str
    id: str
    tenant: str
    ran: bool
    ended: float = 0.0


@dataclass(slots=True)
class RequestLog:
    """All that the people saw."""

    requests: dict[str, ClientRequest] = field(default_factory=dict)
    replies: dict[str, Reply] = field(default_factory=dict)
    arrivals: list[ServerArrival] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    owners: dict[str, str] = field(default_factory=dict)  # of keys, ever: the tenant

    def runs(self, id_: str = "") -> list[ServerArrival]:
        return [r for r in self.arrivals if r.ran and id_ in ("", r.id)]

    def runs_after_departure(self, seconds: float) -> list[ServerArrival]:
        """The runs that went on for longer than that after their client had left."""
        return [run for run in self.runs() if run.ended > self.requests[run.id].left_at + seconds]

    def record_arrival(self, run: ServerArrival, message: Message) -> None:
        """At a server: checked against what the client sent (UNASKED)."""
        self.arrivals.append(run)
        ask = self.requests.get(run.id)
        if ask is None:
            self.violations.append(f"{run.id}: nobody sent this")
            return
        method, target, _ = message.start.decode("latin-1").split(" ")
        if (method, target, message.body) != (ask.method, ask.path, ask.body):
            self.violations.append(f"{run.id}: changed on its way: {message.start!r}")
        seen = " ".join(message.fields.values())
        if "authorization" in message.fields or (ask.key and ask.key in seen):
            self.violations.append(f"{run.id}: its key went on")
        if run.ran and run.tenant != self.owners.get(ask.key, ""):
            self.violations.append(f"{run.id}: ran for {run.tenant!r}")

    def record_reply(self, ask: ClientRequest, reply: Reply) -> None:
        """At a client (MIXED)."""
        self.replies[ask.id] = reply
        said = reply.fields.get("loomstand-request-id", ask.id)
        if said != ask.id:
            self.violations.append(f"{ask.id}: the answer to {said}")
        if 200 <= reply.status < 300:
            stamp = reply.fields.get("loomstand-response-stamp", "")
            if stamp != stamp_of(ask.id, reply.body):
                self.violations.append(
                    f"{ask.id}: a success with {reply.body[:40]!r}, stamped {stamp!r}"
                )

    def check(self) -> None:
        """What breaks a rule on any day (MIXED, UNASKED, TWICE, REFUSED)."""
        ran: dict[str, int] = {}
        for run in self.runs():
            ran[run.id] = ran.get(run.id, 0) + 1
        for id_, times in ran.items():
            ask, reply = self.requests[id_], self.replies.get(id_)
            if not ask.idempotent and times > 1:
                self.violations.append(f"{id_}: ran {times} times")
            if reply is not None and reply.status in NOT_EXECUTED_STATUSES:
                self.violations.append(f"{id_}: answered {reply.status}, and ran")
        assert self.violations == []


def stamp_of(id_: str, body: bytes) -> str:
    return f"3e1b.{id_}.{zlib.crc32(body):08x}"


async def exchange(streams: Streams, address: Address, raw: bytes, within: float) -> Message | None:
    """One call on a connection of its own; None where no whole answer comes in time."""
    talk = None
    try:
        async with asyncio.timeout(within):
            talk = await streams.open(HttpConnection, address, within)
            talk.transport.write(raw)
            return await talk.read_message()
    except (OSError, TimeoutError, ConnectionBrokenError):
        return None
    finally:
        if talk is not None:
            talk.transport.abort()


def post(call: str, body: bytes) -> bytes:
    return (
        b"POST /api/rpc?call=%b HTTP/1.1\r\nHost: core\r\nContent-Type: application/json\r\n"
        b"Content-Length: %d\r\n\r\n%b" % (call.encode(), len(body), body)
    )
