"""Client of the counter service: calls pipelined on one connection, each with its time-out."""

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
    """A pending counter call; `told` is True once its outcome has been reported."""

    __slots__ = ("at", "name", "told", "written")

    def __init__(self, name: int, at: float) -> None:
        self.name, self.at = name, at
        self.told = self.written = False


class Line:
    """A connection to the counter and its pending calls in the order in which they were sent."""

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
                    raise http_parser.Malformed(502, "a response without a call")
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
    """Sends increments to the counter and reports their outcomes to the limiter."""

    def __init__(
        self, limiter: Counts, address: tuple[str, int], timeout: float, connect_timeout: float
    ) -> None:
        self.limiter, self.address = limiter, address
        self.timeout, self.connect_timeout = timeout, connect_timeout
        # Seconds without a response after which a connection is replaced; doubled at each
        # consecutive replacement, up to four times the connect time-out.
        self.patience = timeout
        self.line: Line | None = None
        self.queue: deque[tuple[Call, bytes]] = deque()  # calls not sent yet
        self.open: deque[Call] = deque()  # calls without a reported outcome, oldest first
        self.timer = None

    def call(self, act: IncrementCounter) -> None:
        """Queues an increment and sends it as soon as a connection is open."""
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
        """Switches to another address; calls sent to the old one keep their time-out."""
        old, self.line, self.address = self.line, None, address
        self.patience = self.timeout
        if old is not None and old.calls:
            self.limiter.loop.call_later(self.timeout, old.wire.stop, Ending.FINISHED)
        elif old is not None:
            old.wire.stop(Ending.FINISHED)
        if self.queue:
            self.dial()

    def flush(self) -> None:
        """Sends queued calls while the socket accepts them."""
        line = self.line
        if line is None or not line.up:
            return
        while self.queue and line is self.line and line.wire.ending is None:
            call, raw = self.queue[0]
            if call.told:
                self.queue.popleft()
                continue
            # Calls that the socket's send buffer can't take stay queued, where they can be dropped.
            if not line.wire.written or not line.wire.send(raw):
                return
            self.queue.popleft()
            if not line.calls:
                line.heard_at = self.limiter.loop.time()
            call.written = True
            line.calls.append(call)

    def arm(self) -> None:
        """Sets the single timer for the oldest call; none if no call is open.

        A timer without a call would cost an iteration of the event loop.
        """
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.open:
            self.timer = self.limiter.loop.call_at(self.open[0].at + self.timeout, self.late)

    def late(self) -> None:
        """Reports calls that have timed out, and replaces a connection without responses."""
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
            # No responses, or one that never completes. A new connection shows whether the machine
            # is reachable; if the machine has only stalled, its old connections stall as well.
            self.patience = min(2 * self.patience, 4 * self.connect_timeout)
            line.wire.stop(Ending.STALLED)
        self.arm()

    def answered(self, call: Call, status: int, body: bytes) -> bool:
        """Reports a call's response; returns False if it is invalid and the connection unusable."""
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
        """Reports the outcome of a call to the limiter."""
        call.told = True
        if self.open and self.open[0].told:
            while self.open and self.open[0].told:
                self.open.popleft()
            self.arm()
        took = (
            int((self.limiter.loop.time() - call.at) * 10_000) + 1
        )  # ticks of 0.1 ms; never understates the duration
        self.limiter.counter_replied(call.name, outcome, total, took)

    def lost(self, line: Line, why: Ending) -> None:
        """Reports the calls of an ended connection, and queued ones if it was the current one."""
        left, line.calls = line.calls, deque()
        waiting: deque[tuple[Call, bytes]] = deque()
        if line is self.line:  # otherwise queued calls wait for the current connection
            self.line, waiting, self.queue = None, self.queue, waiting
        for call in [*left, *(call for call, _ in waiting)]:
            if not call.told:
                self.tell(call, call_outcome(why, call.written))
