"""Common base of the limiters on sockets, independent of their client protocol.

Turns requests into events of the decision engine, and its actions into attempts and responses. Owns
the requests in flight; only the listener and the pool use sockets.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter as Tally
from collections.abc import Callable
from typing import Any, Generic

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
from loomstand.admission.ticks import TICKS_PER_SECOND
from loomstand.limiter import http_parser
from loomstand.limiter.abandoned_requests import AbandonedRequests
from loomstand.limiter.buffers import MemoryBudget
from loomstand.limiter.client_connection import ClientListener
from loomstand.limiter.endings import Ending
from loomstand.limiter.event_loop import ArrivalClockSelector, ReadTimeClock
from loomstand.limiter.protocols import ClientHandle
from loomstand.limiter.request import Attempt, RequestT
from loomstand.limiter.upstream import ConnectionPool

SWEEP_INTERVAL_SECONDS = 1.0
SWEEPS_PER_CONNECTION_LOG = 10  # sweeps from one log line about connections to the next
ACCEPT_ITERATIONS = 5  # event loop iterations within which an accepted connection is set up
FINISH_POLL_SECONDS = 0.02  # between checks for pending responses during shutdown
TICK_NANOSECONDS = 100_000  # duration of a tick of the shared clock, 0.1 ms


class GatewayCore(Generic[RequestT]):
    """The listener, connection pool, decision engine and pending requests of one limiter.

    A subclass sets `listener`, `pool`, `engine` and `message_timeout_seconds`, and formats the
    responses.

    Attributes:
        listener: Accepts and holds the client connections.
        pool: Connections to servers.
        engine: Decides on admission, routing and retries.
        message_timeout_seconds: Limit for a client to send a message or to read a response.
        log: Writes a log line.
        loop: The event loop.
        arrival_clock: Bounds the arrival time of the bytes being read.
        memory_budget: Memory budget for buffers and bodies.
        max_response_bytes: Maximum size of a server's response in bytes.
        reserved_sockets: Sockets reserved for new clients; as many are reserved for rejected ones.
        sockets: Sockets for all other connections.
        requests: By id, the requests without a response or with attempts in flight.
        is_ready: Whether the readiness check succeeds.
        endings: Count of connection endings by kind since they were last logged.
        abandoned: Counts of requests whose clients disconnected.
        stopped: Set after `stop` when all responses are written.
    """

    listener: ClientListener
    pool: ConnectionPool[RequestT]
    engine: DecisionEngine
    message_timeout_seconds: float

    def __init__(
        self,
        log: Callable[[str], None],
        arrival_clock: ArrivalClockSelector | None,
        memory_mb: int,
        sockets: int,
    ) -> None:
        """Creates the core on the running event loop.

        Args:
            log: Writes a log line.
            arrival_clock: Selector of the event loop; None on loops with another selector.
            memory_mb: Memory limit of the process in MiB; buffers and bodies get half of it.
            sockets: Maximum number of connections.
        """
        self.log = log
        self.loop = asyncio.get_running_loop()
        self.arrival_clock = arrival_clock or ReadTimeClock()
        # Difference between wall-clock time and the monotonic clock. It makes `now` comparable
        # between limiters, without ever going backwards.
        self.clock_offset = time.time_ns() - time.monotonic_ns()
        # Half of the memory is for buffers, the rest for code and engine state. A response may take
        # a 64th of the buffers, as servers send responses above the body limit of the protocol. A
        # tenth of the sockets is for clients being accepted, and as many for those being rejected.
        self.memory_budget = MemoryBudget(int(memory_mb * (1 << 20) / 2))
        self.max_response_bytes = max(
            http_parser.MAX_BODY_BYTES, self.memory_budget.available // 64
        )
        self.reserved_sockets = sockets // 10
        self.sockets = sockets - 2 * self.reserved_sockets
        self.requests: dict[int, RequestT] = {}
        self.last_request_id, self.is_ready = 0, False
        self.endings: Tally[str] = Tally()
        self.abandoned = AbandonedRequests()
        self.sweep_count = 0
        self.stopped = asyncio.Event()
        self.action_handlers: dict[type, Callable[[Any], None]] = {
            SendAttempt: self.send_attempt,
            Reject: self.reject_request,
            Abort: self.abort,
            CancelAttempt: self.cancel_attempt,
            SetTimer: self.set_timer,
            IncrementCounter: self.increment_counter,
            CheckHealth: self.check_health,
            LogMessage: self.write_log,
        }

    def now(self) -> int:
        """Returns the time of the shared clock in ticks of 0.1 ms."""
        return (time.monotonic_ns() + self.clock_offset) // TICK_NANOSECONDS

    # hooks for subclasses

    def linger_seconds(self) -> float:
        """Returns for how many seconds new connections are still accepted after `stop`."""
        raise NotImplementedError

    def reject_request(self, action: Reject) -> None:
        """Responds to a request that the engine rejected."""
        raise NotImplementedError

    def abort(self, action: Abort) -> None:
        """Responds to a request that failed."""
        raise NotImplementedError

    def increment_counter(self, action: IncrementCounter) -> None:
        """Calls the counter; `counter_replied` follows."""
        raise NotImplementedError

    def on_sweep(self) -> None:
        """Runs further periodic work, once a second; does nothing by default."""

    def on_stopped(self) -> None:
        """Stops other components after the last request; does nothing by default."""

    # lifecycle

    def on_loop_exception(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, object]
    ) -> None:
        """Logs an unhandled exception of the event loop; the limiter continues."""
        self.log(f"{context.get('message')}: {context.get('exception')!r}")

    def sweep(self) -> None:
        """Closes timed-out connections and writes periodic log lines; runs once a second."""
        self.listener.sweep(self.message_timeout_seconds)
        self.pool.sweep()
        self.on_sweep()
        abandoned = self.abandoned.take_report()
        if abandoned is not None:
            self.log(abandoned)
        self.sweep_count += 1
        if self.sweep_count % SWEEPS_PER_CONNECTION_LOG == 0:
            self._log_connections()
        if not self.stopped.is_set():
            self.loop.call_later(SWEEP_INTERVAL_SECONDS, self.sweep)

    def _log_connections(self) -> None:
        endings = ", ".join(f"{name} {count}" for name, count in sorted(self.endings.items()))
        clients, servers = len(self.listener.clients), len(self.pool.connections)
        open_now = f"{clients} from clients, {servers} to servers"
        work = f"{time.process_time():.2f} s of CPU, {self.arrival_clock.count} turns"
        self.log(f"connections: {open_now}; ended: {endings or 'none'}; {work} since the start")
        self.endings.clear()

    def spare_sockets(self) -> int:
        """Returns how many more connections may be opened; negative if there are too many."""
        return self.sockets - len(self.listener.clients) - len(self.pool.connections)

    def free_socket(self, spared: ClientHandle | None = None) -> bool:
        """Closes the least useful connection; returns whether there was one.

        In this order: a client connection without any request, an idle connection to a server, an
        idle client connection (its client may be about to use it), a client connection that is
        stuck mid-message.

        Args:
            spared: A client connection that stays open.
        """
        # An active client sends its request within a connect time-out of connecting.
        listener, connect_timeout = self.listener, self.pool.connect_timeout
        return (
            listener.close_silent(spared, connect_timeout)
            or self.pool.close_idle()
            or listener.close_idle(spared)
            or listener.close_stuck(connect_timeout)
        )

    def stop(self) -> None:
        """Begins a graceful shutdown.

        Requests are still served; idle connections are closed. `stopped` is set when no request is
        pending and no more can arrive.
        """
        if self.listener.stopping:
            return
        self.log("told to stop")
        self.is_ready = False
        self.listener.stop()
        self.loop.call_later(self.linger_seconds(), self.stop_accepting)

    def stop_accepting(self) -> None:
        """Stops accepting connections, and finishes when all responses are written."""
        self.listener.close()
        self.listener.stop()
        self._finish_after(ACCEPT_ITERATIONS)

    def _finish_after(self, iterations: int) -> None:
        """Calls `finish` after `iterations` iterations of the event loop."""
        if iterations:
            self.loop.call_soon(self._finish_after, iterations - 1)
        else:
            self.finish()

    def finish(self) -> None:
        """Sets `stopped` if all responses are written; otherwise checks again later."""
        self.listener.stop()
        if not all(c.channel.lingering and c.channel.written for c in self.listener.clients):
            self.loop.call_later(FINISH_POLL_SECONDS, self.finish)
            return
        self.on_stopped()
        self.log("stopped")
        self.stopped.set()

    # clients

    def track_request(
        self, request: RequestT, client: ClientHandle, timeout: int, arrived_at: float
    ) -> None:
        """Registers a request, which gets exactly one response unless its client disconnects.

        Args:
            request: The request.
            client: The connection that gets the response.
            timeout: Time-out in ticks, counted from the sending.
            arrived_at: Earliest loop time at which the request can have arrived.
        """
        # As the time-out counts from the sending, delays of this event loop, past or expected,
        # shorten the remaining time rather than make the response late.
        elapsed_seconds = self.loop.time() - arrived_at + self.expected_delay_seconds(timeout)
        request.deadline = (
            self.now() + timeout - int(max(0.0, elapsed_seconds) * TICKS_PER_SECOND) - 1
        )
        self.last_request_id += 1
        request.id, request.client, client.request = self.last_request_id, client, request
        self.requests[request.id] = request

    def expected_delay_seconds(self, timeout: int) -> float:
        """Returns by how much a deadline is moved forward, as this event loop may be late again.

        Args:
            timeout: Time-out of the request in ticks, of which it is at most half.
        """
        return min(self.arrival_clock.longest_iteration, timeout / TICKS_PER_SECOND / 2)

    def client_disconnected(self, request: RequestT) -> None:
        """Abandons a request whose client disconnected before the response."""
        request.client = None
        in_flight = sum(attempt is not None for attempt in request.attempts)
        request.is_abandoned = True
        self.abandoned.client_disconnected(in_flight)
        self.handle_event(ClientDisconnected(request.id))
        self.forget_request(request)

    # servers

    def finish_attempt(self, attempt: Attempt[RequestT]) -> RequestT:
        """Removes an ended attempt from its request and returns the request."""
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.connection = None
        attempt.request.attempts[attempt.number] = None
        return attempt.request

    def report_attempt(
        self, attempt: Attempt[RequestT], outcome: Outcome, metered: int = 0
    ) -> None:
        """Reports an attempt's outcome to the engine, after any response to the client.

        Args:
            attempt: The attempt.
            outcome: How it ended.
            metered: See `AttemptEnded.metered_use`.
        """
        request = attempt.request
        duration = max(0, self.now() - attempt.sent_at)
        is_final = request.client is None
        if request.is_abandoned:
            self.abandoned.attempt_ended(outcome is Outcome.CANCELLED)
        self.handle_event(
            AttemptEnded(
                request.id,
                attempt.number,
                attempt.endpoint_id,
                outcome,
                duration,
                is_final,
                metered,
                0.0,
            )
        )
        self.forget_request(request)

    def attempt_ended(
        self, attempt: Attempt[RequestT], outcome: Outcome, metered: int = 0, body: bytes = b""
    ) -> None:
        """Passes on a successful response, if any, and reports the attempt.

        Args:
            attempt: The attempt.
            outcome: How it ended.
            metered: See `AttemptEnded.metered_use`.
            body: Body of a successful response.
        """
        raise NotImplementedError

    # decision engine

    def handle_event(self, event: Event) -> None:
        """Passes an event to the engine and executes the resulting actions."""
        try:
            actions = self.engine.handle(self.now(), event)
        except Exception as error:  # contained: only the request of this event fails
            self.log(
                f"the module failed on {type(event).__name__}: {type(error).__name__}: {error}"
            )
            request = self.requests.get(getattr(event, "request_id", -1))
            actions = [Abort(request.id)] if request and not any(request.attempts) else []
        for action in actions:
            self.action_handlers[type(action)](action)

    def new_attempt(
        self, request: RequestT, endpoint_id: int, expires_at: int
    ) -> Attempt[RequestT]:
        """Creates the next attempt of a request; `expires_at` is in ticks."""
        return Attempt(request, len(request.attempts), endpoint_id, self.now(), expires_at)

    def send_attempt(self, action: SendAttempt) -> None:
        """Sends an attempt, or reports it as not sent."""
        request, now = self.requests.get(action.request_id), self.now()
        if request is None:
            return
        expires_at = min(action.expires_at, request.deadline)
        attempt = self.new_attempt(request, action.endpoint_id, expires_at)
        request.attempts.append(attempt)
        if (
            request.client is None
            or expires_at <= now
            or len(request.attempts) > self.attempt_limit(request)
        ):
            self.loop.call_soon(self.attempt_ended, attempt, Outcome.NOT_SENT)
            return
        self.set_attempt_timer(attempt, expires_at, self.attempt_timed_out)
        self.pool.send(attempt)

    def set_attempt_timer(
        self,
        attempt: Attempt[RequestT],
        due_at: int,
        handler: Callable[[Attempt[RequestT]], None],
    ) -> None:
        """Has `handler` called at `due_at`, in ticks, unless the attempt ends before."""
        seconds = max(0, due_at - self.now()) / TICKS_PER_SECOND
        attempt.timer = self.loop.call_later(seconds, handler, attempt)

    def attempt_timed_out(self, attempt: Attempt[RequestT]) -> None:
        """Ends an attempt that has no response at its time-out."""
        self.pool.give_up(attempt, Ending.EXPIRED)

    def attempt_limit(self, request: RequestT) -> int:
        """Returns the maximum number of attempts of a request."""
        raise NotImplementedError

    def cancel_attempt(self, action: CancelAttempt) -> None:
        """Cancels an attempt that is in flight."""
        request = self.requests.get(action.request_id)
        if (
            request is not None
            and action.attempt < len(request.attempts)
            and request.attempts[action.attempt] is not None
        ):
            self.pool.give_up(request.attempts[action.attempt], Ending.CALLED_OFF)

    def answer(self, request: RequestT, status: int, body: bytes = b"", extra: str = "") -> None:
        """Writes the response to a request; `extra` holds complete header lines."""
        client, request.client = request.client, None
        client.answer(status, body, extra)
        if client.channel.inbound.used:
            self.loop.call_soon(client.resume)

    def forget_request(self, request: RequestT) -> None:
        """Removes a request that has its response and no attempt in flight."""
        if (
            request.client is None
            and not any(request.attempts)
            and self.requests.pop(request.id, None)
        ):
            self.memory_budget.release(len(request.body))

    def set_timer(self, action: SetTimer) -> None:
        """Schedules a timer event of the engine."""
        seconds = action.delay / TICKS_PER_SECOND
        self.loop.call_later(seconds, self.handle_event, TimerFired(action.tag))

    def counter_replied(self, name: int, outcome: Outcome, total: float, elapsed: int) -> None:
        """Passes the outcome of a counter call to the engine; it took `elapsed` ticks."""
        self.handle_event(CounterReplied(name, outcome, total, elapsed))

    def check_health(self, action: CheckHealth) -> None:
        """Reports a health check as not sent, as the protocol defines no path for health checks."""
        self.loop.call_soon(
            self.handle_event, HealthCheckFinished(action.endpoint_id, Outcome.NOT_SENT, 0)
        )

    def write_log(self, action: LogMessage) -> None:
        """Writes the engine's log line."""
        self.log(action.text)
