"""What every limiter on sockets does, whatever its clients speak: reqs, their dispatches and their
ends.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter as Tally
from collections.abc import Callable

from loomstand.admission.actions import (
    Abort,
    CancelAttempt,
    CheckHealth,
    IncrementCounter,
    LogMessage,
    Reject,
    SendAttempt,
    SetTimer,
)
from loomstand.admission.decision_engine import DecisionEngine
from loomstand.admission.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterReplied,
    Event,
    HealthCheckFinished,
    TimerFired,
)
from loomstand.admission.outcome import Outcome
from loomstand.limiter import http_parser
from loomstand.limiter.buffers import Room
from loomstand.limiter.client_connection import Client, Front
from loomstand.limiter.endings import Ending
from loomstand.limiter.event_loop import Turns, Untimed
from loomstand.limiter.request import Flight, Req
from loomstand.limiter.upstream import Pool

TOLD_EVERY = 10  # seconds between lines about connections


class GatewayCore:
    """The front, the pool and the module of one limiter, and the reqs between them. A limiter gives
    `front`, `pool`, `brain` and how its answers look.
    """

    front: Front
    pool: Pool
    brain: DecisionEngine
    patience: float  # seconds for a message that is slow to come in, or an answer that isn't taken

    def __init__(
        self, log: Callable[[str], None], turns: Turns | None, memory_mb: int, sockets: int
    ) -> None:
        self.log = log
        self.loop = asyncio.get_running_loop()
        self.turns = turns or Untimed()
        # one clock at all limiters, that never goes back here
        self.epoch = time.time_ns() - time.monotonic_ns()
        # Half of the memory for buffers, the rest for program and module. A tenth of the sockets
        # for clients that are being taken in, as many for those that are turned away. An answer may
        # be as long as a 64th of that, as answers come that are longer than a body should be.
        self.room = Room(int(memory_mb * (1 << 20) / 2))
        self.most_answer = max(http_parser.MOST_BODY, self.room.left // 64)
        self.spare = sockets // 10
        self.sockets = sockets - 2 * self.spare
        self.reqs: dict[int, Req] = {}
        self.last, self.able = 0, False
        # of connections to others since the last line about them
        self.endings: Tally[str] = Tally()
        self.swept = 0
        self.stopped = asyncio.Event()
        self.kinds_of_action: dict[type, Callable] = {
            SendAttempt: self.dispatch,
            Reject: self.deny,
            Abort: self.abort,
            CancelAttempt: self.call_off,
            SetTimer: self.wake,
            IncrementCounter: self.count,
            CheckHealth: self.probe,
            LogMessage: self.tell,
        }

    def now(self) -> int:
        """The common clock, in tenths of a millisecond."""
        return (time.monotonic_ns() + self.epoch) // 100_000

    # what differs between limiters

    def linger(self) -> float:
        """Seconds for which new connections are still taken after the call to stop."""
        raise NotImplementedError

    def deny(self, act: Reject) -> None:
        raise NotImplementedError

    def abort(self, act: Abort) -> None:
        raise NotImplementedError

    def count(self, act: IncrementCounter) -> None:
        raise NotImplementedError

    def swept_more(self) -> None:
        """What else is done once a second."""

    def left(self) -> None:
        """What else ends when the last req has."""

    # life

    def failed(self, loop: asyncio.AbstractEventLoop, what: dict[str, object]) -> None:
        """Something in a turn of the loop went wrong; the limiter goes on."""
        self.log(f"{what.get('message')}: {what.get('exception')!r}")

    def sweep(self) -> None:
        """Once a second: what has stood too long."""
        self.front.sweep(self.patience)
        self.pool.sweep()
        self.swept_more()
        self.swept += 1
        if self.swept % TOLD_EVERY == 0:
            ends = ", ".join(f"{why} {n}" for why, n in sorted(self.endings.items())) or "none"
            held = f"{len(self.front.clients)} from clients, {len(self.pool.links)} to servers"
            work = f"{time.process_time():.2f} s of CPU, {self.turns.count} turns"
            self.log(f"connections: {held}; ended: {ends}; {work} since the start")
            self.endings.clear()
        if not self.stopped.is_set():
            self.loop.call_later(1.0, self.sweep)

    def spare_sockets(self) -> int:
        """How many more connections may be open; below 0 where there are too many."""
        return self.sockets - len(self.front.clients) - len(self.pool.links)

    def make_room(self, spared: Client | None = None) -> bool:
        """Closes a connection: of a client that has said nothing so far, else an idle one, to a
        server rather than of a client, which may be about to use it, else of a client that is stuck
        within a message.
        """
        # by then a usual client has sent something
        front, within = self.front, self.pool.connect_timeout
        idle = (
            front.close_silent(spared, within) or self.pool.close_idle() or front.close_idle(spared)
        )
        return idle or front.close_stuck(within)

    def stop(self) -> None:
        """Serves on, closes what is idle, and ends when nothing is left and nothing more can
        come.
        """
        if self.front.stopping:
            return
        self.log("told to stop")
        self.able = False
        self.front.stop()
        self.loop.call_later(self.linger(), self.leave)

    def leave(self) -> None:
        self.front.close()
        self.front.stop()
        self.empty()

    def empty(self) -> None:
        if not all(c.wire.lingering and c.wire.written for c in self.front.clients):
            self.loop.call_later(0.02, self.empty)
            return
        self.left()
        self.log("stopped")
        self.stopped.set()

    # from clients

    def owed(self, req: Req, client: Client, timeout: int, at: float) -> None:
        """From here on the req is owed an answer; it is given up `timeout` tenths after its
        sending.
        """
        # the wait counts from the sending; this limiter's own late turns must not make the answer
        # late
        lost = self.loop.time() - at + min(self.turns.longest, timeout / 20_000)
        req.give_up = self.now() + timeout - int(max(0.0, lost) * 10_000) - 1
        self.last += 1
        req.id, req.client, client.req = self.last, client, req
        self.reqs[req.id] = req

    def vanished(self, req: Req) -> None:
        req.client = None
        self.note(ClientDisconnected(req.id))
        self.forget(req)

    # from servers

    def landed(self, flight: Flight) -> Req:
        """A dispatch is out no more."""
        if flight.timer is not None:
            flight.timer.cancel()
        flight.link = None
        flight.req.flights[flight.number] = None
        return flight.req

    def ended(self, flight: Flight, outcome: Outcome, metered: int = 0) -> None:
        """Tells the module, once the client has its answer if this was one."""
        req = flight.req
        took = max(0, self.now() - flight.sent_at)
        final = req.client is None
        self.note(
            AttemptEnded(req.id, flight.number, flight.srv, outcome, took, final, metered, 0.0)
        )
        self.forget(req)

    def came(self, flight: Flight, outcome: Outcome, metered: int = 0, body: bytes = b"") -> None:
        """A dispatch has ended."""
        raise NotImplementedError

    # the module

    def note(self, note: Event) -> None:
        try:
            actions = self.brain.handle(self.now(), note)
        except Exception as why:  # the limiter goes on: only what the note was about is lost
            self.log(f"the module failed on {type(note).__name__}: {type(why).__name__}: {why}")
            req = self.reqs.get(getattr(note, "request_id", -1))
            actions = [Abort(req.id)] if req and not any(req.flights) else []
        for act in actions:
            self.kinds_of_action[type(act)](act)

    def flight(self, req: Req, srv: int, expire: int) -> Flight:
        return Flight(req, len(req.flights), srv, self.now(), expire)

    def dispatch(self, act: SendAttempt) -> None:
        req, now = self.reqs.get(act.request_id), self.now()
        if req is None:
            return
        expire = min(act.expires_at, req.give_up)
        flight = self.flight(req, act.endpoint_id, expire)
        req.flights.append(flight)
        if req.client is None or expire <= now or len(req.flights) > self.try_limit(req):
            self.loop.call_soon(self.came, flight, Outcome.NOT_SENT)
            return
        flight.timer = self.loop.call_later(
            (expire - now) / 10_000, self.pool.give_up, flight, Ending.EXPIRED
        )
        self.pool.send(flight)

    def try_limit(self, req: Req) -> int:
        """How many dispatches the req may have."""
        raise NotImplementedError

    def call_off(self, act: CancelAttempt) -> None:
        req = self.reqs.get(act.request_id)
        if (
            req is not None
            and act.attempt < len(req.flights)
            and req.flights[act.attempt] is not None
        ):
            self.pool.give_up(req.flights[act.attempt], Ending.CALLED_OFF)

    def answer(self, req: Req, status: int, body: bytes = b"", extra: str = "") -> None:
        client, req.client = req.client, None
        client.answer(status, body, extra)
        if client.wire.inbound.used:
            self.loop.call_soon(client.next)

    def forget(self, req: Req) -> None:
        if req.client is None and not any(req.flights) and self.reqs.pop(req.id, None):
            self.room.give(len(req.body))

    def wake(self, act: SetTimer) -> None:
        self.loop.call_later(act.delay / 10_000, self.note, TimerFired(act.tag))

    def counted(self, name: int, outcome: Outcome, total: float, took: int) -> None:
        self.note(CounterReplied(name, outcome, total, took))

    def probe(self, act: CheckHealth) -> None:
        # the module makes none today, and the protocols name no path for it
        self.loop.call_soon(self.note, HealthCheckFinished(act.endpoint_id, Outcome.NOT_SENT, 0))

    def tell(self, act: LogMessage) -> None:
        self.log(act.text)
