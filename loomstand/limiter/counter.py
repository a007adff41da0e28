"""Client of the counter service: calls pipelined on one connection, each with its time-out."""

from __future__ import annotations

import re
from collections import deque
from math import isfinite

from loomstand.admission.actions import IncrementCounter
from loomstand.admission.outcome import Outcome
from loomstand.limiter import http_parser
from loomstand.limiter.endings import Ending, counter_call_outcome, counter_response_outcome
from loomstand.limiter.event_loop import SocketChannel, connect
from loomstand.limiter.protocols import CounterOwner

TOTAL = re.compile(rb"\s*-?[0-9]+(?:\.[0-9]*)?(?:[eE][-+]?[0-9]{1,3})?\s*").fullmatch


class Call:
    """A pending counter call; `is_reported` is True once its outcome has been reported."""

    __slots__ = ("counter_name", "created_at", "is_reported", "is_written")

    def __init__(self, counter_name: int, created_at: float) -> None:
        self.counter_name, self.created_at = counter_name, created_at
        self.is_reported = self.is_written = False


class CounterConnection:
    """A connection to the counter and its pending calls in the order in which they were sent."""

    __slots__ = ("calls", "channel", "client", "is_open", "last_received_at", "parser")

    def __init__(self, counter: CounterClient) -> None:
        self.client, self.is_open = counter, False
        self.parser = http_parser.ResponseReceiver()
        self.channel = SocketChannel(
            self, counter.limiter.memory_budget, http_parser.MAX_MESSAGE_BYTES
        )
        self.calls: deque[Call] = deque()
        self.last_received_at = counter.limiter.loop.time()

    def opened(self) -> None:
        self.is_open = True
        self.client.flush()

    def received(self) -> None:
        self.last_received_at = self.client.limiter.loop.time()
        self.client.silence_timeout = self.client.timeout
        try:
            while self.channel.ending is None and self.parser.step(self.channel.inbound):
                if not self.calls:
                    raise http_parser.Malformed(502, "a response without a call")
                status, body, close = self.parser.status, self.parser.body, self.parser.close
                self.parser.reset()
                is_valid = self.client.response_received(self.calls.popleft(), status, body)
                if close or not is_valid or (self.channel.inbound.used and not self.calls):
                    self.channel.stop(Ending.FINISHED if close else Ending.MALFORMED)
            if self.client.queue:
                self.client.flush()
        except http_parser.Malformed:
            self.channel.stop(Ending.MALFORMED)

    def ended(self, ending: Ending) -> None:
        self.client.limiter.endings[f"counter {ending.name.lower()}"] += 1
        self.client.connection_ended(self, ending)


class CounterClient:
    """Sends increments to the counter and reports their outcomes to the limiter."""

    def __init__(
        self,
        limiter: CounterOwner,
        address: tuple[str, int],
        timeout: float,
        connect_timeout: float,
    ) -> None:
        self.limiter, self.address = limiter, address
        self.timeout, self.connect_timeout = timeout, connect_timeout
        # Seconds without a response after which a connection is replaced; doubled at each
        # consecutive replacement, up to four times the connect time-out.
        self.silence_timeout = timeout
        self.connection: CounterConnection | None = None
        self.queue: deque[tuple[Call, bytes]] = deque()  # calls not sent yet
        self.pending: deque[Call] = deque()  # calls without a reported outcome, oldest first
        self.timer = None

    def call(self, action: IncrementCounter) -> None:
        """Queues an increment and sends it as soon as a connection is open."""
        loop = self.limiter.loop
        expire_ms = max(1, min(60_000, -(-action.time_to_live // 10)))
        raw = (
            b"POST /counters/%d?by=%.9g&expire_ms=%d HTTP/1.1\r\n"
            b"Host: counter\r\nContent-Length: 0\r\n\r\n"
        )
        call = Call(action.counter_name, loop.time())
        self.queue.append((call, raw % (action.counter_name, action.amount, expire_ms)))
        self.pending.append(call)
        if len(self.pending) == 1:
            self.restart_timer()
        if self.connection is None:
            self.open_connection()
        else:
            self.flush()

    def open_connection(self) -> None:
        self.connection = CounterConnection(self)
        connect(self.limiter.loop, self.connection.channel, self.address, self.connect_timeout)

    def set_address(self, address: tuple[str, int]) -> None:
        """Switches to another address; calls sent to the old one keep their time-out."""
        old, self.connection, self.address = self.connection, None, address
        self.silence_timeout = self.timeout
        if old is not None and old.calls:
            self.limiter.loop.call_later(self.timeout, old.channel.stop, Ending.FINISHED)
        elif old is not None:
            old.channel.stop(Ending.FINISHED)
        if self.queue:
            self.open_connection()

    def flush(self) -> None:
        """Sends queued calls while the socket accepts them."""
        connection = self.connection
        if connection is None or not connection.is_open:
            return
        while self.queue and connection is self.connection and connection.channel.ending is None:
            call, raw = self.queue[0]
            if call.is_reported:
                self.queue.popleft()
                continue
            # Calls that the socket's send buffer can't take stay queued, where they can be dropped.
            if not connection.channel.written or not connection.channel.send(raw):
                return
            self.queue.popleft()
            if not connection.calls:
                connection.last_received_at = self.limiter.loop.time()
            call.is_written = True
            connection.calls.append(call)

    def restart_timer(self) -> None:
        """Sets the single timer for the oldest call; none if no call is open.

        A timer without a call would cost an iteration of the event loop.
        """
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.pending:
            self.timer = self.limiter.loop.call_at(
                self.pending[0].created_at + self.timeout, self.on_timeout
            )

    def on_timeout(self) -> None:
        """Reports calls that have timed out, and replaces a connection without responses."""
        now = self.limiter.loop.time()
        while self.pending and now - self.pending[0].created_at >= self.timeout - 1e-4:
            self.report(
                self.pending[0], counter_call_outcome(Ending.EXPIRED, self.pending[0].is_written)
            )
        connection = self.connection
        if (
            connection is not None
            and connection.is_open
            and connection.calls
            and now - connection.last_received_at > self.silence_timeout - 1e-3
        ):
            # No responses, or one that never completes. A new connection shows whether the machine
            # is reachable; if the machine has only stalled, its old connections stall as well.
            self.silence_timeout = min(2 * self.silence_timeout, 4 * self.connect_timeout)
            connection.channel.stop(Ending.STALLED)
        self.restart_timer()

    def response_received(self, call: Call, status: int, body: bytes) -> bool:
        """Reports a call's response; returns False if it is invalid and the connection unusable."""
        outcome, total = counter_response_outcome(status), 0.0
        if outcome is Outcome.SUCCEEDED:
            if TOTAL(body) and isfinite(float(body)):
                total = float(body)
            else:
                outcome = Outcome.NO_RESPONSE
        if not call.is_reported:
            self.report(call, outcome, total)
        return outcome is not Outcome.NO_RESPONSE

    def report(self, call: Call, outcome: Outcome, total: float = 0.0) -> None:
        """Reports the outcome of a call to the limiter."""
        call.is_reported = True
        if self.pending and self.pending[0].is_reported:
            while self.pending and self.pending[0].is_reported:
                self.pending.popleft()
            self.restart_timer()
        # Ticks of 0.1 ms; never understates the duration.
        elapsed = int((self.limiter.loop.time() - call.created_at) * 10_000) + 1
        self.limiter.counter_replied(call.counter_name, outcome, total, elapsed)

    def connection_ended(self, connection: CounterConnection, ending: Ending) -> None:
        """Reports the calls of an ended connection, and queued ones if it was the current one."""
        unanswered, connection.calls = connection.calls, deque()
        queued: deque[tuple[Call, bytes]] = deque()
        if connection is self.connection:  # otherwise queued calls wait for the current connection
            self.connection, queued, self.queue = None, self.queue, queued
        for call in [*unanswered, *(call for call, _ in queued)]:
            if not call.is_reported:
                self.report(call, counter_call_outcome(ending, call.is_written))
