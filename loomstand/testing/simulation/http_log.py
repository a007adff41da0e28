"""HTTP messages on simulated streams, and the log of all requests of a run.

Messages are parsed and encoded here, independently of the parsers under test. `violations` of a
`RequestLog` lists violations of the rules that hold in every run.
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import Any

from loomstand.testing.simulation.streams import Address, SimTransport, Streams

# With these statuses a server or proxy guarantees that the request isn't and won't be executed.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
Fields = dict[str, str]


@dataclass(slots=True)
class Message:
    """A complete HTTP message."""

    start: bytes  # request line or status line, without its CRLF
    fields: Fields
    body: bytes

    @property
    def status(self) -> int:
        return int(self.start.split()[1])


class ConnectionBrokenError(Exception):
    """The connection ended within a message, or the bytes aren't an HTTP message."""


class HttpConnection(asyncio.Protocol):
    """One end of an HTTP connection: the received bytes, and how it was closed."""

    transport: SimTransport
    on_established: Callable[[], None] | None = None

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.closed_reason = ""  # "closed" or "reset" once the connection has ended
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

    def connection_lost(self, error: Exception | None) -> None:
        self.closed_reason = self.closed_reason or ("reset" if error else "closed")
        self.wake()

    def wake(self) -> None:
        """Wakes the task that waits for bytes or for the end of the connection."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def wait_for_data(self) -> None:
        """Waits until bytes arrive or the peer closes the connection."""
        if self.closed_reason:
            raise ConnectionBrokenError(self.closed_reason)
        self.waiter = asyncio.get_running_loop().create_future()
        await self.waiter

    async def closed_within(self, seconds: float) -> bool:
        """Waits up to `seconds` for the peer to close; returns whether it has closed."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while not self.closed_reason and loop.time() < until:
            self.waiter = loop.create_future()
            timer = loop.call_at(until, self.wake)
            await self.waiter
            timer.cancel()
        return bool(self.closed_reason)

    async def read_line(self) -> bytes:
        """Reads up to the next CRLF, which is left out."""
        while (end := self.buffer.find(b"\r\n")) < 0:
            await self.wait_for_data()
        line = bytes(self.buffer[:end])
        del self.buffer[: end + 2]
        return line

    async def read_exactly(self, n: int) -> bytes:
        while len(self.buffer) < n:
            await self.wait_for_data()
        data = bytes(self.buffer[:n])
        del self.buffer[:n]
        return data

    async def read_message(self) -> Message:
        """Reads the next message.

        Raises:
            ConnectionBrokenError: The connection ended before, or the bytes aren't a message.
        """
        start, fields = await self.read_head()
        return Message(start, fields, await self.read_body(fields))

    async def read_head(self) -> tuple[bytes, Fields]:
        """Reads the start line and the fields of the next message; see `read_message`."""
        start, fields = await self.read_line(), Fields()
        while line := await self.read_line():
            name, colon, value = line.decode("latin-1").partition(":")
            if not colon:
                raise ConnectionBrokenError("not an HTTP message")
            fields[name.strip().lower()] = value.strip()
        return start, fields

    async def read_body(self, fields: Fields) -> bytes:
        """Reads the body that follows a head with these fields; see `read_message`."""
        body = b""
        if fields.get("transfer-encoding") == "chunked":
            while size := int(await self.read_line(), 16):
                body += await self.read_exactly(size)
                await self.read_line()
            await self.read_line()
        elif "content-length" in fields:
            body = await self.read_exactly(int(fields["content-length"]))
        return body


@dataclass(slots=True)
class ClientRequest:
    """One try of a client's request."""

    id: str
    method: str
    host: str
    path: str
    key: str
    body: bytes
    idempotent: bool
    sent: float = 0.0  # time at which it was sent
    front: Address = ("", 0)  # address of the proxy that it was sent to
    left_at: float = inf  # time at which the client closed its connection without an answer
    expires_at: float = inf  # time until which the client waits, as stated in the request


@dataclass(slots=True)
class Reply:
    """The result of a try: a status, or 0 and how the connection ended."""

    status: int
    end: str = ""
    fields: Fields = field(default_factory=Fields)
    body: bytes = b""
    at: float = 0.0

    @property
    def ending(self) -> str:
        """The status, or how the connection ended without one."""
        return str(self.status) if self.status else self.end

    @property
    def is_own_failure(self) -> bool:
        """Whether it is a failure that no server sent."""
        return self.status >= 500 and "loomstand-response-stamp" not in self.fields


@dataclass(slots=True)
class ServerArrival:
    """The arrival of a request at a server, which ran or rejected it."""

    at: float  # time at which the server ran or rejected it
    service: str
    server: str
    id: str
    tenant: str
    ran: bool
    ended: float = 0.0  # time at which the server stopped work on it
    was_cut: bool = False  # whether its connection ended while the server worked on it


@dataclass(slots=True)
class RequestLog:
    """All requests, replies and arrivals of a run, and the rules that they break."""

    requests: dict[str, ClientRequest] = field(default_factory=dict)
    replies: dict[str, Reply] = field(default_factory=dict)
    arrivals: list[ServerArrival] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    # tenant by API key, including keys that were replaced
    owners: dict[str, str] = field(default_factory=dict)

    def runs(self, id_: str = "") -> list[ServerArrival]:
        """Returns the arrivals that ran, of all requests or of one."""
        return [r for r in self.arrivals if r.ran and id_ in ("", r.id)]

    def runs_after_departure(self, seconds: float) -> list[ServerArrival]:
        """Returns the runs that lasted longer than `seconds` after their client had left."""
        return [run for run in self.runs() if run.ended > self.requests[run.id].left_at + seconds]

    def given_up(self, slack_seconds: float) -> list[tuple[ClientRequest, Reply]]:
        """Returns the requests that the proxy gave up although a server was at work on them.

        The proxy closed the connection to the server and answered with a failure of its own, more
        than `slack_seconds` before the client's deadline (rule LOST).
        """
        cut = {run.id for run in self.runs() if run.was_cut}
        return [
            (self.requests[id_], reply)
            for id_, reply in self.replies.items()
            if id_ in cut
            and reply.is_own_failure
            and reply.at < self.requests[id_].expires_at - slack_seconds
        ]

    def record_arrival(self, run: ServerArrival, message: Message) -> None:
        """Records an arrival at a server and compares it with the sent request (rule UNASKED)."""
        self.arrivals.append(run)
        request = self.requests.get(run.id)
        if request is None:
            self.violations.append(f"{run.id}: arrived at a server, but no client sent it")
            return
        method, target, _ = message.start.decode("latin-1").split(" ")
        if (method, target, message.body) != (request.method, request.path, request.body):
            self.violations.append(
                f"{run.id}: changed between client and server: {message.start!r}"
            )
        field_values = " ".join(message.fields.values())
        if "authorization" in message.fields or (request.key and request.key in field_values):
            self.violations.append(f"{run.id}: the API key was forwarded")
        if run.ran and run.tenant != self.owners.get(request.key, ""):
            self.violations.append(
                f"{run.id}: ran for {run.tenant!r}, not the tenant of its API key"
            )

    def record_reply(self, request: ClientRequest, reply: Reply) -> None:
        """Records a reply at a client and checks that it belongs to the request (rule MIXED)."""
        self.replies[request.id] = reply
        reply_id = reply.fields.get("loomstand-request-id", request.id)
        if reply_id != request.id:
            self.violations.append(f"{request.id}: received the answer to {reply_id}")
        if 200 <= reply.status < 300:
            stamp = reply.fields.get("loomstand-response-stamp", "")
            if stamp != stamp_of(request.id, reply.body):
                self.violations.append(
                    f"{request.id}: a success with {reply.body[:40]!r}, wrong stamp {stamp!r}"
                )

    def check(self) -> None:
        """Asserts that none of the rules MIXED, UNASKED, TWICE and REFUSED is violated."""
        ran: dict[str, int] = {}
        for run in self.runs():
            ran[run.id] = ran.get(run.id, 0) + 1
        for id_, times in ran.items():
            request, reply = self.requests[id_], self.replies.get(id_)
            if not request.idempotent and times > 1:
                self.violations.append(f"{id_}: ran {times} times")
            if reply is not None and reply.status in NOT_EXECUTED_STATUSES:
                self.violations.append(
                    f"{id_}: answered {reply.status}, which rules out execution, but ran"
                )
        assert self.violations == []


def stamp_of(id_: str, body: bytes) -> str:
    """Returns the value of `Loomstand-Response-Stamp` for a response body."""
    return f"3e1b.{id_}.{zlib.crc32(body):08x}"


async def exchange(streams: Streams, address: Address, raw: bytes, within: float) -> Message | None:
    """Sends a request on a new connection; returns None if no complete answer comes in time."""
    connection = None
    try:
        async with asyncio.timeout(within):
            connection = await streams.open(HttpConnection, address, within)
            connection.transport.write(raw)
            return await connection.read_message()
    except (OSError, TimeoutError, ConnectionBrokenError):
        return None
    finally:
        if connection is not None:
            connection.transport.abort()


def post(call: str, body: bytes) -> bytes:
    """Returns the bytes of an RPC request."""
    return (
        b"POST /api/rpc?call=%b HTTP/1.1\r\nHost: core\r\nContent-Type: application/json\r\n"
        b"Content-Length: %d\r\n\r\n%b" % (call.encode(), len(body), body)
    )
