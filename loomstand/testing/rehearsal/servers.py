"""Stand-in servers, one process for a zone or for each: slots, a queue, cold starts, slowness,
errors, a connection limit; as PROTOCOL has them.

Trail rows: `run` (req, server, effect's frontend, first byte's time), `end` (req, server, how,
whether the caller was still there), `gone` (req, server: its caller's connection ended while the
req was in hand), `fall` (server, sent, bears); twice a second `load` (server, at work, waiting,
room) and `opened` (server, connections since).
"""

from __future__ import annotations

import asyncio
import re
import time
from collections import deque
from random import Random

import msgspec

from loomstand.testing.emulator.scenario import mean_work_ms
from loomstand.testing.rehearsal.child import Trail
from loomstand.testing.rehearsal.links import abort
from loomstand.testing.rehearsal.scenario import Rehearsal
from loomstand.testing.rehearsal.wire import length_of, said

ID = re.compile(rb"(?i)\r\nrequest-id: *([^\r\n]*)").search
CLASS = re.compile(rb"(?i)\r\nrequest-class: *([^\r\n]*)").search
TURNED = said(503, extra=b"Not-Started: 1\r\n")
TIP = 1.0  # seconds: the rule's time for what a cold server was sent


class Attempt:
    """A req in a server's hands."""

    __slots__ = ("caller", "front", "id", "since")

    def __init__(self, id_: int, front: int, since: float, caller: Caller) -> None:
        self.id, self.front, self.since = id_, front, since
        self.caller: Caller | None = caller


class Caller(asyncio.Protocol):
    """A connection: one req at a time."""

    def __init__(self, server: Server) -> None:
        self.server, self.raw, self.since = server, b"", 0.0
        self.attempt: Attempt | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, server = transport, self.server
        server.opened += 1
        if server.fallen or (server.most and len(server.callers) >= server.most):
            abort(self)  # a machine out of connections
            return
        server.callers.add(self)

    def data_received(self, data: bytes) -> None:
        if not self.raw:
            self.since = time.time()
        self.raw += data
        head, found, body = self.raw.partition(b"\r\n\r\n")
        if not found or len(body) < (length := length_of(head)):
            return
        self.raw = body[length:]
        self.server.arrive(self, head, self.since)

    def connection_lost(self, why: Exception | None) -> None:
        self.server.callers.discard(self)
        if self.attempt is not None:
            self.server.left(self.attempt)
            self.attempt = None

    def answer(self, raw: bytes) -> None:
        self.attempt = None
        if not self.transport.is_closing():
            self.transport.write(raw)


class Server:
    def __init__(self, index: int, port: int, play: Play) -> None:
        self.index, self.port, self.booted, self.play = index, port, 0.0, play
        self.most, self.opened = play.told.fleet.connections, 0
        self.callers: set[Caller] = set()
        self.working: set[Attempt] = set()
        self.queue: deque[Attempt] = deque()
        self.recent: deque[float] = deque()
        self.slow, self.failing, self.fallen = 1.0, 0.0, False
        self.listener: asyncio.AbstractServer | None = None

    async def listen(self, cold: bool) -> float:
        """When it started (Unix s; 0 for long ago). A cold one is as old as its listening: counted
        from before its process, a busy machine's start of Python would warm it unseen.
        """
        loop = asyncio.get_running_loop()
        self.booted = time.time() if cold else 0.0
        self.listener = await loop.create_server(lambda: Caller(self), self.play.host, self.port)
        return self.booted

    def warmth(self) -> float:
        return self.play.told.fleet.warmth(time.time() - self.booted) if self.booted else 1.0

    def room(self) -> int:
        return self.play.told.fleet.concurrency(self.warmth())

    def arrive(self, caller: Caller, head: bytes, since: float) -> None:
        play, now, warmth = self.play, time.time(), self.warmth()
        id_, front = ID(head), CLASS(head)
        if id_ is None or front is None or front[1] not in play.fronts:
            caller.answer(said(404))
            return
        attempt = Attempt(int(id_[1]), play.fronts[front[1]], since, caller)
        if warmth < 1.0:
            self.recent.append(now)
            while self.recent[0] <= now - TIP:
                self.recent.popleft()
            bears = play.told.fleet.overload_rate(warmth, play.mean_work_ms) * TIP
            if len(self.recent) > max(2.0, bears):
                play.trail("fall", self.index, len(self.recent), bears)
                self.fall()
                return
        if len(self.working) + len(self.queue) >= self.room() + play.told.fleet.queue:
            caller.answer(TURNED)
            return
        caller.attempt = attempt
        if len(self.working) < self.room():
            self.begin(attempt)
        else:
            self.queue.append(attempt)

    def begin(self, attempt: Attempt) -> None:
        play, front = self.play, self.play.told.frontends[attempt.front]
        play.trail("run", attempt.id, self.index, attempt.front, attempt.since)
        self.working.add(attempt)
        spread = front.work_spread
        work = front.work_ms / 1000 * self.slow * play.rng.uniform(1 - spread, 1 + spread)
        asyncio.get_running_loop().call_later(work, self.done, attempt)

    def done(self, attempt: Attempt) -> None:
        if self.fallen:
            return
        self.working.discard(attempt)
        failed = self.failing > 0 and self.play.rng.random() < self.failing
        self.play.trail(
            "end", attempt.id, self.index, "failed" if failed else "ran", attempt.caller is not None
        )
        if attempt.caller is not None:
            body = b"%d ran at %d" % (attempt.id, self.index)
            attempt.caller.answer(said(500) if failed else said(200, body))
        while self.queue and len(self.working) < self.room():
            self.begin(self.queue.popleft())

    def left(self, attempt: Attempt) -> None:
        """Its caller went away: what waits is dropped unrun, what runs runs on."""
        attempt.caller = None
        if attempt in self.working:
            self.play.trail("gone", attempt.id, self.index)
        elif attempt in self.queue:
            self.queue.remove(attempt)

    def fall(self) -> None:
        """Pushed over: it breaks everything off and stays down."""
        self.fallen = True
        self.listener.close()
        for caller in list(self.callers):
            abort(caller)


class Play:
    """All servers of this process."""

    def __init__(self, config: dict) -> None:
        self.told = msgspec.convert(config["rehearsal"], type=Rehearsal)
        self.host, self.rng = config["host"], Random(config["seed"])
        self.trail = Trail(config["trail"])
        self.fronts = {f.name.encode(): n for n, f in enumerate(self.told.frontends)}
        self.mean_work_ms = mean_work_ms(self.told)
        self.servers = {s["index"]: Server(s["index"], s["port"], self) for s in config["servers"]}

    def sample(self) -> None:
        asyncio.get_running_loop().call_later(0.5, self.sample)
        for s in self.servers.values():
            if not s.fallen:
                self.trail("load", s.index, len(s.working), len(s.queue), s.room())
                self.trail("opened", s.index, s.opened)
                s.opened = 0

    def order(self, told: dict) -> None:
        for index in told["servers"]:
            match told["do"]:
                case "slow":
                    self.servers[index].slow = told["factor"]
                case "fail":
                    self.servers[index].failing = told["share"]


async def start(config: dict):
    """`rehearsal`, `host`, `seed`, `trail`, and `servers`: each with `index`, `port`, `cold`
    (whether it starts now, else long ago). Puts into `booted` when each started (Unix s, or 0), by
    index.
    """
    play = Play(config)
    config["booted"] = {
        str(s["index"]): await play.servers[s["index"]].listen(s["cold"]) for s in config["servers"]
    }
    play.sample()
    return play.order
