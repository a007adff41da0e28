"""Stand-in servers as in PROTOCOL, one process for each server or for all servers of a zone.

A server has slots for concurrent requests, a queue, a slow start and a connection limit, and can be
slow or answer with errors.
Events: `run` (request, server, frontend, time of the first byte), `end` (request, server, `ran` or
`failed`, whether the connection was still open), `gone` (request, server; the connection was closed
while the request ran), `fall` (server, requests received, limit; a cold server crashed because it
received more requests than the limit in `COLD_WINDOW_SECONDS`); twice a second `load` (server,
requests running, requests queued, slots) and `opened` (server, new connections).
"""

from __future__ import annotations

import asyncio
import re
import time
from collections import deque
from random import Random

import msgspec

from loomstand.testing.emulator.scenario import mean_work_ms
from loomstand.testing.rehearsal.child import EventLog
from loomstand.testing.rehearsal.links import abort
from loomstand.testing.rehearsal.scenario import Rehearsal
from loomstand.testing.rehearsal.wire import content_length, http_response

REQUEST_ID = re.compile(rb"(?i)\r\nrequest-id: *([^\r\n]*)").search
REQUEST_CLASS = re.compile(rb"(?i)\r\nrequest-class: *([^\r\n]*)").search
NOT_STARTED = http_response(503, extra=b"Not-Started: 1\r\n")
COLD_WINDOW_SECONDS = 1.0  # in which the requests sent to a cold server are counted


class Attempt:
    """A request that a server runs or has queued; `first_byte_at` is its arrival (Unix s)."""

    __slots__ = ("connection", "first_byte_at", "frontend", "id")

    def __init__(
        self, id_: int, frontend: int, first_byte_at: float, connection: ServerConnection
    ) -> None:
        self.id, self.frontend, self.first_byte_at = id_, frontend, first_byte_at
        self.connection: ServerConnection | None = connection


class ServerConnection(asyncio.Protocol):
    """A connection to a server: one request at a time."""

    def __init__(self, server: Server) -> None:
        self.server, self.buffer, self.first_byte_at = server, b"", 0.0
        self.attempt: Attempt | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, server = transport, self.server
        server.new_connections += 1
        if server.crashed or (
            server.max_connections and len(server.connections) >= server.max_connections
        ):
            abort(self)
            return
        server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        if not self.buffer:
            self.first_byte_at = time.time()
        self.buffer += data
        head, separator, body = self.buffer.partition(b"\r\n\r\n")
        if not separator or len(body) < (length := content_length(head)):
            return
        self.buffer = body[length:]
        self.server.handle_request(self, head, self.first_byte_at)

    def connection_lost(self, error: Exception | None) -> None:
        self.server.connections.discard(self)
        if self.attempt is not None:
            self.server.connection_closed(self.attempt)
            self.attempt = None

    def answer(self, raw: bytes) -> None:
        """Writes the answer to the current request."""
        self.attempt = None
        if not self.transport.is_closing():
            self.transport.write(raw)


class Server:
    """One stand-in server."""

    def __init__(self, index: int, port: int, group: ServerGroup) -> None:
        self.index, self.port, self.started_at, self.group = index, port, 0.0, group
        self.max_connections, self.new_connections = group.rehearsal.fleet.connections, 0
        self.connections: set[ServerConnection] = set()
        self.working: set[Attempt] = set()
        self.queue: deque[Attempt] = deque()
        self.recent_arrivals: deque[float] = deque()
        self.slowdown, self.failed_share, self.crashed = 1.0, 0.0, False
        self.listener: asyncio.AbstractServer | None = None

    async def listen(self, cold: bool) -> float:
        """Listens and returns the start time (Unix s; 0 for a server that is not cold).

        The start time of a cold server is the moment it listens, not that of its process: on a
        loaded machine Python may start so slowly that the server would be warm by its first
        request.
        """
        loop = asyncio.get_running_loop()
        self.started_at = time.time() if cold else 0.0
        self.listener = await loop.create_server(
            lambda: ServerConnection(self), self.group.host, self.port
        )
        return self.started_at

    def warmth(self) -> float:
        """Returns the share of its capacity that the server has now, by its slow start."""
        return (
            self.group.rehearsal.fleet.warmth(time.time() - self.started_at)
            if self.started_at
            else 1.0
        )

    def slots(self) -> int:
        """Returns the number of requests that the server runs at once."""
        return self.group.rehearsal.fleet.concurrency(self.warmth())

    def handle_request(
        self, connection: ServerConnection, head: bytes, first_byte_at: float
    ) -> None:
        """Starts, queues or rejects a request; overload while cold crashes the server."""
        group, now, warmth = self.group, time.time(), self.warmth()
        id_, frontend = REQUEST_ID(head), REQUEST_CLASS(head)
        if id_ is None or frontend is None or frontend[1] not in group.frontends:
            connection.answer(http_response(404))
            return
        attempt = Attempt(int(id_[1]), group.frontends[frontend[1]], first_byte_at, connection)
        if warmth < 1.0:
            self.recent_arrivals.append(now)
            while self.recent_arrivals[0] <= now - COLD_WINDOW_SECONDS:
                self.recent_arrivals.popleft()
            limit = (
                group.rehearsal.fleet.overload_rate(warmth, group.mean_work_ms)
                * COLD_WINDOW_SECONDS
            )
            if len(self.recent_arrivals) > max(2.0, limit):
                group.record("fall", self.index, len(self.recent_arrivals), limit)
                self.crash()
                return
        if len(self.working) + len(self.queue) >= self.slots() + group.rehearsal.fleet.queue:
            connection.answer(NOT_STARTED)
            return
        connection.attempt = attempt
        if len(self.working) < self.slots():
            self.start_work(attempt)
        else:
            self.queue.append(attempt)

    def start_work(self, attempt: Attempt) -> None:
        """Runs an attempt; it ends after a random time around the `work_ms` of its frontend."""
        group, frontend = self.group, self.group.rehearsal.frontends[attempt.frontend]
        group.record("run", attempt.id, self.index, attempt.frontend, attempt.first_byte_at)
        self.working.add(attempt)
        spread = frontend.work_spread
        work = frontend.work_ms / 1000 * self.slowdown * group.rng.uniform(1 - spread, 1 + spread)
        asyncio.get_running_loop().call_later(work, self.finish_work, attempt)

    def finish_work(self, attempt: Attempt) -> None:
        """Answers an attempt and starts queued ones."""
        if self.crashed:
            return
        self.working.discard(attempt)
        failed = self.failed_share > 0 and self.group.rng.random() < self.failed_share
        self.group.record(
            "end",
            attempt.id,
            self.index,
            "failed" if failed else "ran",
            attempt.connection is not None,
        )
        if attempt.connection is not None:
            body = b"%d ran at %d" % (attempt.id, self.index)
            attempt.connection.answer(http_response(500) if failed else http_response(200, body))
        while self.queue and len(self.working) < self.slots():
            self.start_work(self.queue.popleft())

    def connection_closed(self, attempt: Attempt) -> None:
        """Drops an attempt of a closed connection from the queue; a running one continues."""
        attempt.connection = None
        if attempt in self.working:
            self.group.record("gone", attempt.id, self.index)
        elif attempt in self.queue:
            self.queue.remove(attempt)

    def crash(self) -> None:
        """Resets all connections and stops listening for good; caused by overload while cold."""
        self.crashed = True
        self.listener.close()
        for connection in list(self.connections):
            abort(connection)


class ServerGroup:
    """All servers of this process."""

    def __init__(self, config: dict) -> None:
        self.rehearsal = msgspec.convert(config["rehearsal"], type=Rehearsal)
        self.host, self.rng = config["host"], Random(config["seed"])
        self.record = EventLog(config["trail"])
        self.frontends = {f.name.encode(): n for n, f in enumerate(self.rehearsal.frontends)}
        self.mean_work_ms = mean_work_ms(self.rehearsal)
        self.servers = {s["index"]: Server(s["index"], s["port"], self) for s in config["servers"]}

    def sample(self) -> None:
        """Records the load of each server every 0.5 s."""
        asyncio.get_running_loop().call_later(0.5, self.sample)
        for s in self.servers.values():
            if not s.crashed:
                self.record("load", s.index, len(s.working), len(s.queue), s.slots())
                self.record("opened", s.index, s.new_connections)
                s.new_connections = 0

    def handle_command(self, command: dict) -> None:
        """Applies or undoes a fault of servers."""
        for index in command["servers"]:
            match command["do"]:
                case "slow":
                    self.servers[index].slowdown = command["factor"]
                case "fail":
                    self.servers[index].failed_share = command["share"]


async def start(config: dict):
    """Starts the servers and returns the command handler.

    Keys of `config`: `rehearsal`, `host`, `seed`, `trail` (path of the event log) and `servers`,
    each with `index`, `port`, `cold` (whether it has just started). Sets the key `booted` to the
    start times by index (Unix s, 0 for servers that are not cold).
    """
    group = ServerGroup(config)
    config["booted"] = {
        str(s["index"]): await group.servers[s["index"]].listen(s["cold"])
        for s in config["servers"]
    }
    group.sample()
    return group.handle_command
