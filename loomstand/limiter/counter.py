"""The counter: calls written one behind another on one connection, each with its own time-out."""

from __future__ import annotations

import re
from collections import deque
from math import isfinite

from loomstand.admission.actions import IncrementCounter
from loomstand.admission.outcome import Outcome
from loomstand.limiter import http_parser
from loomstand.limiter.endings import Ending, call_outcome, called
from loomstand.limiter.event_loop import Wire, connect
from loomstand.limiter.protocols import Counts

TOTAL = re.compile(rb"\s*-?[0-9]+(?:\.[0-9]*)?(?:[eE][-+]?[0-9]{1,3})?\s*").fullmatch


class Call:
    """A call whose answer is owed; `told` once the module has its outcome."""

    __slots__ = ("at", "name", "told", "written")

    def __init__(self, name: int, at: float) -> None:
        self.name, self.at = name, at
        self.told = self.written = False


class Line:
    """A connection to the counter, and the calls on it in their order."""

    __slots__ = ("calls", "heard_at", "keeper", "machine", "up", "wire")

    def __init__(self, counter: Counter) -> None:
        self.keeper, self.up = counter, False
        self.machine = http_parser.ResponseReceiver()
        self.wire = Wire(self, counter.limiter.room, http_parser.MOST_RING)
        self.calls: deque[Call] = deque()
        self.heard_at = counter.limiter.loop.time()

    def opened(self) -> None:
        self.up = True
        self.keeper.flush()

    def received(self) -> None:
        self.heard_at = self.keeper.limiter.loop.time()
        self.keeper.patience = self.keeper.timeout
        try:
            while self.wire.ending is None and self.machine.step(self.wire.inbound):
                if not self.calls:
                    raise http_parser.Malformed(502, "an answer to no call")
                status, body, close = self.machine.status, self.machine.body, self.machine.close
                self.machine.reset()
                fit = self.keeper.answered(self.calls.popleft(), status, body)
                if close or not fit or (self.wire.inbound.used and not self.calls):
                    self.wire.stop(Ending.FINISHED if close else Ending.MALFORMED)
            if self.keeper.queue:
                self.keeper.flush()
        except http_parser.Malformed:
            self.wire.stop(Ending.MALFORMED)

    def ended(self, why: Ending) -> None:
        self.keeper.limiter.endings[f"counter {why.name.lower()}"] += 1
        self.keeper.lost(self, why)


class Counter:
    """Makes calls and tells the module their outcomes."""

    def __init__(
        self, limiter: Counts, address: tuple[str, int], timeout: float, connect_timeout: float
    ) -> None:
        self.limiter, self.address = limiter, address
        self.timeout, self.connect_timeout = timeout, connect_timeout
        # with a silent connection; doubled each time in a row, up to four times what a connect may
        # take
        self.patience = timeout
        self.line: Line | None = None
        self.queue: deque[tuple[Call, bytes]] = deque()  # calls for a connection that is coming up
        self.open: deque[Call] = deque()  # all calls without an outcome, the oldest first
        self.timer = None

    def call(self, act: IncrementCounter) -> None:
        loop = self.limiter.loop
        keep = max(1, min(60_000, -(-act.time_to_live // 10)))
        raw = (
            b"POST /counters/%d?by=%.9g&expire_ms=%d HTTP/1.1\r\n"
            b"Host: counter\r\nContent-Length: 0\r\n\r\n"
        )
        call = Call(act.counter_name, loop.time())
        self.queue.append((call, raw % (act.counter_name, act.amount, keep)))
        self.open.append(call)
        if len(self.open) == 1:
            self.arm()
        if self.line is None:
            self.dial()
        else:
            self.flush()

    def dial(self) -> None:
        self.line = Line(self)
        connect(self.limiter.loop, self.line.wire, self.address, self.connect_timeout)

    def move(self, address: tuple[str, int]) -> None:
        """The counter listens elsewhere from now on; what the old one was sent is still waited
        for.
        """
        old, self.line, self.address = self.line, None, address
        self.patience = self.timeout
        if old is not None and old.calls:
            self.limiter.loop.call_later(self.timeout, old.wire.stop, Ending.FINISHED)
        elif old is not None:
            old.wire.stop(Ending.FINISHED)
        if self.queue:
            self.dial()

    def flush(self) -> None:
        line = self.line
        if line is None or not line.up:
            return
        while self.queue and line is self.line and line.wire.ending is None:
            call, raw = self.queue[0]
            if call.told:
                self.queue.popleft()
                continue
            # what the system has not taken yet waits here, where it can still be withdrawn
            if not line.wire.written or not line.wire.send(raw):
                return
            self.queue.popleft()
            if not line.calls:
                line.heard_at = self.limiter.loop.time()
            call.written = True
            line.calls.append(call)

    def arm(self) -> None:
        """One timer, for the oldest call; none where no call is open, as each turn of the loop
        costs.
        """
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.open:
            self.timer = self.limiter.loop.call_at(self.open[0].at + self.timeout, self.late)

    def late(self) -> None:
        """Gives up the calls that have waited long enough."""
        now = self.limiter.loop.time()
        while self.open and now - self.open[0].at >= self.timeout - 1e-4:
            self.tell(self.open[0], call_outcome(Ending.EXPIRED, self.open[0].written))
        line = self.line
        if (
            line is not None
            and line.up
            and line.calls
            and now - line.heard_at > self.patience - 1e-3
        ):
            # nothing comes any more, or an answer never ends: a new connection shows whether the
            # machine is there, and a machine that only stands still would hold the old ones too
            self.patience = min(2 * self.patience, 4 * self.connect_timeout)
            line.wire.stop(Ending.STALLED)
        self.arm()

    def answered(self, call: Call, status: int, body: bytes) -> bool:
        """Whether this is an answer that the counter gives: after any other its connection is of no
        use.
        """
        outcome, total = called(status), 0.0
        if outcome is Outcome.SUCCEEDED:
            if TOTAL(body) and isfinite(float(body)):
                total = float(body)
            else:
                outcome = Outcome.NO_RESPONSE
        if not call.told:
            self.tell(call, outcome, total)
        return outcome is not Outcome.NO_RESPONSE

    def tell(self, call: Call, outcome: Outcome, total: float = 0.0) -> None:
        call.told = True
        if self.open and self.open[0].told:
            while self.open and self.open[0].told:
                self.open.popleft()
            self.arm()
        took = int((self.limiter.loop.time() - call.at) * 10_000) + 1  # never too small
        self.limiter.counter_replied(call.name, outcome, total, took)

    def lost(self, line: Line, why: Ending) -> None:
        left, line.calls = line.calls, deque()
        waiting: deque[tuple[Call, bytes]] = deque()
        if line is self.line:  # else they wait for another line
            self.line, waiting, self.queue = None, self.queue, waiting
        for call in [*left, *(call for call, _ in waiting)]:
            if not call.told:
                self.tell(call, call_outcome(why, call.written))
