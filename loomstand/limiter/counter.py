"""Client of the counter service: calls pipelined on one connection, each with its time-out."""

from __future__ import annotations

import re
from collections import deque
from math import isfinite

from loomstand.admission.actions import IncrementCounter
from loomstand.admission.outcome import Outcome
from loomstand.admission.ticks import TICKS_PER_MILLISECOND, TICKS_PER_SECOND
from loomstand.limiter import http_parser
from loomstand.limiter.endings import Ending, counter_call_outcome, counter_response_outcome
from loomstand.limiter.event_loop import SocketChannel, connect
from loomstand.limiter.protocols import CounterOwner

TOTAL = re.compile(rb"\s*-?[0-9]+(?:\.[0-9]*)?(?:[eE][-+]?[0-9]{1,3})?\s*").fullmatch
MAX_EXPIRY_MS = 60_000  # of a counter after its last use
TIMER_TOLERANCE_SECONDS = 1e-4  # by which the event loop may run a timer too early
# A call's time-out counts from its creation, the silence of the connection from its sending.
SILENCE_TOLERANCE_SECONDS = 1e-3


class Call:
    """A counter call.

    Attributes:
        counter_name: Number of the counter, which is its name on the wire.
        created_at: Loop time of the call.
        is_written: Whether it was written to a connection, so that the counter may have applied it.
        is_reported: Whether its outcome has been reported to the limiter.
    """

    __slots__ = ("counter_name", "created_at", "is_reported", "is_written")

    def __init__(self, counter_name: int, created_at: float) -> None:
        self.counter_name, self.created_at = counter_name, created_at
        self.is_reported = self.is_written = False


class CounterConnection:
    """A connection to the counter.

    Attributes:
        client: The client that owns the connection.
        is_open: Whether the connection has been established.
        parser: Parses the responses.
        channel: The buffered connection.
        calls: Calls sent without a response so far, in the order in which they were sent.
        last_response_at: Loop time of the last complete response, or of the last call sent while
            no other was pending.
    """

    __slots__ = ("calls", "channel", "client", "is_open", "last_response_at", "parser")

    def __init__(self, client: CounterClient) -> None:
        self.client, self.is_open = client, False
        self.parser = http_parser.ResponseReceiver()
        self.channel = SocketChannel(
            self, client.limiter.memory_budget, http_parser.MAX_MESSAGE_BYTES
        )
        self.calls: deque[Call] = deque()
        self.last_response_at = client.limiter.loop.time()

    def opened(self) -> None:
        """Sends the queued calls."""
        self.is_open = True
        self.client.flush()

    def received(self) -> None:
        """Parses received responses; an invalid one ends the connection."""
        try:
            while self.channel.ending is None and self.parser.step(self.channel.inbound):
                if not self.calls:
                    raise http_parser.Malformed(502, "a response without a call")
                status, body, close = self.parser.status, self.parser.body, self.parser.close
                self.parser.reset()
                self.last_response_at = self.client.limiter.loop.time()
                self.client.silence_timeout = self.client.timeout
                is_valid = self.client.response_received(self.calls.popleft(), status, body)
                if close or not is_valid or (self.channel.inbound.used and not self.calls):
                    self.channel.stop(Ending.FINISHED if close else Ending.MALFORMED)
            if self.client.queue:
                self.client.flush()
        except http_parser.Malformed:
            self.channel.stop(Ending.MALFORMED)

    def ended(self, ending: Ending) -> None:
        """Reports the calls whose responses can't be received any more."""
        self.client.limiter.endings[f"counter {ending.name.lower()}"] += 1
        self.client.connection_ended(self, ending)


class CounterClient:
    """Sends increments to the counter and reports their outcomes to the limiter.

    Attributes:
        limiter: Receives the outcomes.
        address: Host and port of the counter.
        timeout: Time-out of a call in seconds.
        connect_timeout: Connect time-out in seconds.
        silence_timeout: Seconds without a response after which a connection is replaced; doubled at
            each consecutive replacement, up to four times the connect time-out.
        connection: The current connection, open or connecting.
        queue: Calls that haven't been sent, with their bytes.
        pending: Calls whose outcomes haven't been reported, oldest first.
        timer: Timer for the time-out of the oldest call.
    """

    def __init__(
        self,
        limiter: CounterOwner,
        address: tuple[str, int],
        timeout: float,
        connect_timeout: float,
    ) -> None:
        self.limiter, self.address = limiter, address
        self.timeout, self.connect_timeout = timeout, connect_timeout
        self.silence_timeout = timeout
        self.connection: CounterConnection | None = None
        self.queue: deque[tuple[Call, bytes]] = deque()
        self.pending: deque[Call] = deque()
        self.timer = None

    def call(self, action: IncrementCounter) -> None:
        """Queues an increment and sends it as soon as a connection is open."""
        loop = self.limiter.loop
        time_to_live_ms = -(-action.time_to_live // TICKS_PER_MILLISECOND)  # rounded up
        expire_ms = max(1, min(MAX_EXPIRY_MS, time_to_live_ms))
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
        """Connects to the current address; queued calls are sent when the connection is open."""
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
            # A call that the socket doesn't accept yet stays queued, where it can still expire
            # without having been sent.
            if not connection.channel.written or not connection.channel.send(raw):
                return
            self.queue.popleft()
            if not connection.calls:
                connection.last_response_at = self.limiter.loop.time()
            call.is_written = True
            connection.calls.append(call)

    def restart_timer(self) -> None:
        """Sets the timer for the oldest pending call, if any.

        Without a pending call, a timer would only cost an iteration of the event loop.
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
        while (
            self.pending
            and now - self.pending[0].created_at >= self.timeout - TIMER_TOLERANCE_SECONDS
        ):
            self.report(
                self.pending[0], counter_call_outcome(Ending.EXPIRED, self.pending[0].is_written)
            )
        connection = self.connection
        if (
            connection is not None
            and connection.is_open
            and connection.calls
            and now - connection.last_response_at > self.silence_timeout - SILENCE_TOLERANCE_SECONDS
        ):
            # The counter sent no response, or none that is complete. A new connection shows whether
            # its machine is reachable; if the machine has only stalled, the old connection has
            # stalled as well.
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
        # Rounded up, so that the duration is never understated.
        elapsed_ticks = int((self.limiter.loop.time() - call.created_at) * TICKS_PER_SECOND) + 1
        self.limiter.counter_replied(call.counter_name, outcome, total, elapsed_ticks)

    def connection_ended(self, connection: CounterConnection, ending: Ending) -> None:
        """Reports the calls of an ended connection, and queued ones if it was the current one."""
        unanswered, connection.calls = connection.calls, deque()
        queued: deque[tuple[Call, bytes]] = deque()
        if connection is self.connection:  # otherwise queued calls wait for the current connection
            self.connection, queued, self.queue = None, self.queue, queued
        for call in [*unanswered, *(call for call, _ in queued)]:
            if not call.is_reported:
                self.report(call, counter_call_outcome(ending, call.is_written))
