"""Connects clients' requests with the decision engine.

Translates requests into engine events, and engine actions into attempts and responses. The tenant,
the route and the availability of a quota credit are determined before the engine receives a
request. Sockets are used only through the base class.
"""

from __future__ import annotations

from random import Random

from absl import logging

from loomstand.admission.actions import (
    QUOTA_EXHAUSTED,
    QUOTA_PROBABLY_EXHAUSTED,
    RATE_LIMITED,
    Abort,
    IncrementCounter,
    Reject,
)
from loomstand.admission.decision_engine import DecisionEngine
from loomstand.admission.events import ClientDisconnected, EndpointsUpdated, RequestArrived
from loomstand.admission.outcome import Outcome
from loomstand.admission.ticks import TICKS_PER_SECOND
from loomstand.config.routes import RouteTable
from loomstand.config.settings import Settings
from loomstand.limiter.client_connection import ClientListener
from loomstand.limiter.endings import Ending
from loomstand.limiter.event_loop import ArrivalClockSelector, Streams
from loomstand.limiter.gateway_core import GatewayCore
from loomstand.limiter.http_parser import RequestReceiver
from loomstand.limiter.protocols import ClientHandle
from loomstand.limiter.request import Attempt
from loomstand.proxy.configuration_updates import ConfigurationUpdates
from loomstand.proxy.counter_client import CounterClient
from loomstand.proxy.credit_client import CreditClient
from loomstand.proxy.endpoint_updates import EndpointUpdates
from loomstand.proxy.failed_requests import FailedRequests
from loomstand.proxy.policy_compiler import PUBLIC_PLAN, PolicyCompiler
from loomstand.proxy.quota_credits import QuotaCredits
from loomstand.proxy.request import ProxyAttempt, ProxyRequest
from loomstand.proxy.startup import RequestQueue, StartupConditions
from loomstand.proxy.upstream import UpstreamPool
from loomstand.rpc.messages.session_messages import LimiterSetRow

# Within a region a connection is established in 3 ms, plus 1 ms at the server. A connection attempt
# that exceeds this timeout indicates a failed or partitioned machine, and leaves the request enough
# time to try another server.
CONNECT_TIMEOUT_SECONDS = 0.25
MAX_IDLE_SECONDS = 60.0  # for a connection to a server, even if the server allows more
STALL_TIMEOUT_SECONDS = 10.0  # for a message received or a response sent without progress
# File descriptors not available for connections: 200 reserved, the rest for registry sessions,
# files, the event loop and error handling.
RESERVED_FILE_DESCRIPTORS = 300
# `Retry-After` of a request whose body exceeded the memory for buffers.
MEMORY_RETRY_SECONDS = 0.15
# `Retry-After` of a request received before the first configuration.
NO_CONFIGURATION_RETRY_SECONDS = 0.3
MIN_QUOTA_RETRY_SECONDS = 0.05  # minimum `Retry-After` of a request rejected by its quota
# Bounds of the random `Retry-After` of a request rejected because the servers are full, as shares
# of its route's latency target. By then the queue has advanced, and the random draw keeps clients
# that were rejected together from retrying together.
OVERLOAD_RETRY_SHARES = (0.35, 0.65)
# After a restart of all programs, including the counting registry, credits arrive only at the
# quota's rate. A request waits for a credit for this share of its route's latency target; a delay
# below a quarter of the target doesn't reduce the value of its response.
CREDIT_WAIT_SHARE = 0.2
QUOTA_REASONS = {QUOTA_EXHAUSTED, QUOTA_PROBABLY_EXHAUSTED, RATE_LIMITED}
# A request that fails within this many ticks of its deadline counts as timed out.
TIMEOUT_MARGIN_TICKS = 100
NOT_RUN_OUTCOMES = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
NOT_FOUND = 404
UNAUTHORIZED = 401
TOO_MANY_REQUESTS = 429
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


def _log(text: str) -> None:
    """Logs a message of the base class with the proxy's prefix."""
    logging.info("proxy: %s", text)


class AdmissionAdapter(GatewayCore[ProxyRequest]):
    """Admits clients' requests and carries out the decision engine's actions.

    Attributes:
        settings: Settings from the settings file.
        rng: Random generator for services by weight and retry delays.
        limiters: Size of the set of limiters that share the quotas, and this limiter's rank in it.
        policy: Indices and settings of the decision engine.
        endpoints: The known servers.
        credits: The credits of tenants that have a quota.
        configuration: The configuration in force.
        startup: Conditions for admitting requests during startup.
        queue: Requests that wait for these conditions.
        failures: Counts of the failures that this proxy answered itself.
        credit_client: Requests credits; set by `Proxy`.
        counter_client: Increments counters; set by `Proxy`.
    """

    pool: UpstreamPool
    credit_client: CreditClient
    counter_client: CounterClient

    def __init__(
        self,
        settings: Settings,
        rng: Random,
        arrival_clock: ArrivalClockSelector | None,
        streams: Streams | None,
    ) -> None:
        """See `Proxy`."""
        limits = settings.limits
        sockets = limits.file_descriptors - RESERVED_FILE_DESCRIPTORS
        super().__init__(_log, arrival_clock, limits.memory_mb // 2, sockets)
        self.settings = settings
        self.rng = rng
        self.listener = ClientListener(self, self.reserved_sockets, limits.file_descriptors)
        self.listener.own_paths = False
        self.pool = UpstreamPool(self, CONNECT_TIMEOUT_SECONDS, MAX_IDLE_SECONDS)
        if streams is not None:
            self.listener.bind = streams.listen
            self.pool.connect = streams.connect
        self.message_timeout_seconds = STALL_TIMEOUT_SECONDS
        self.limiters = LimiterSetRow(rank=0, total=1, silent=0)
        self.policy = PolicyCompiler(settings.bounds, list(settings.zones), settings.zone)
        self.endpoints = EndpointUpdates(self.policy, self.pool)
        self.engine = self.start_engine()
        now = self.loop.time()
        self.credits = QuotaCredits(settings.bounds, rng.getrandbits(32), now)
        self.configuration = ConfigurationUpdates(self.policy, self.credits)
        self.startup = StartupConditions(
            self.loop.time, self.configuration, self.endpoints, self.credits
        )
        self.queue = RequestQueue(self.loop, self.startup, self.admit)
        self.failures = FailedRequests()

    def start_engine(self) -> DecisionEngine:
        """Returns a decision engine in its initial state."""
        settings = self.policy.engine_settings(self.limiters)
        return DecisionEngine(settings, self.rng.getrandbits(64), self.now())

    # events: client requests

    def request_received(self, client: ClientHandle, parser: RequestReceiver, at: float) -> None:
        """Admits a request, or queues it until startup has finished.

        Args:
            client: The client's connection, which must be sent exactly one response.
            parser: The parser that holds the message.
            at: Time of arrival in seconds by the event loop's clock.

        Raises:
            Malformed: The request is invalid.
        """
        request = ProxyRequest(parser)
        request.client = client
        client.request = request
        if self.startup.are_met(request):
            self.admit(request, at)
        else:
            self.queue.add(request, at)

    def admit(self, request: ProxyRequest, arrived_at: float, has_waited: bool = False) -> None:
        """Submits a request to the decision engine, or answers it immediately."""
        client = request.client
        if client is None:
            return
        table = self.configuration.table
        if table is None:
            self._answer_retry(request, UNAVAILABLE, f"{NO_CONFIGURATION_RETRY_SECONDS}")
            return
        if not self._find_route(table, request):
            return
        plan = PUBLIC_PLAN
        if request.tenant is not None:
            plan = self.policy.tenants.index_of(request.tenant.name)
        digest = self.policy.digests[plan]
        now = self.loop.time()
        has_credit = self.credits.may_admit(digest, now)
        self.credit_client.request_if_short(digest, now)
        if not has_credit:
            self._handle_missing_credit(request, digest, arrived_at, has_waited, now)
            return
        if not self.memory_budget.reserve(len(request.body)):
            self._answer_retry(request, UNAVAILABLE, f"{MEMORY_RETRY_SECONDS}")
            return
        request.service = self._choose_service(table, request)
        timeout = request.timeout_ticks()
        self.track_request(request, client, timeout, arrived_at)
        self.failures.deadline_advanced(
            int(self.expected_delay_seconds(timeout) * TICKS_PER_SECOND)
        )
        self._submit_to_engine(request, plan, digest)
        if request.attempts:  # the engine admitted the request
            self.credits.consume(digest, now)
            self.credit_client.request_if_short(digest, now)

    def _find_route(self, table: RouteTable, request: ProxyRequest) -> bool:
        """Sets a request's route and tenant; answers it and returns False if either is unknown."""
        route = table.find_route(request.host, request.path)
        if route is None:
            self.answer(request, NOT_FOUND)
            return False
        request.route = route
        if table.requires_api_key(route):
            request.tenant = table.find_tenant(request.api_key)
            if request.tenant is None:
                self.answer(request, UNAUTHORIZED)
                return False
        return True

    def _handle_missing_credit(
        self, request: ProxyRequest, digest: int, arrived_at: float, has_waited: bool, now: float
    ) -> None:
        """Queues a request for a credit during startup, otherwise rejects it."""
        if not has_waited and not self.startup.is_over(now):
            wait_seconds = CREDIT_WAIT_SHARE * request.route.target_latency_seconds
            self.queue.add(request, arrived_at, wait_seconds)
            return
        retry_seconds = self.credits.retry_after_seconds(digest, now)
        self._answer_retry(request, TOO_MANY_REQUESTS, f"{retry_seconds:.3f}")

    def _submit_to_engine(self, request: ProxyRequest, plan: int, digest: int) -> None:
        self.handle_event(
            RequestArrived(
                request_id=request.id,
                frontend=self.policy.frontend_by_route[request.route.name],
                plan=plan,
                tenant=plan,
                tenant_digest=digest,
                deadline=request.deadline,
                units=1.0,
                limiter_set_size=0,
                is_retry=False,
                service=self.policy.services.index_of(request.service),
            )
        )

    def _choose_service(self, table: RouteTable, request: ProxyRequest) -> str:
        """Returns one of the route's services, drawn by weight.

        If the drawn service has no live server, returns another service of the route that has one.
        """
        drawn = table.choose_service(request.route, self.rng.random())
        live_by_service = self.endpoints.live_by_service
        if live_by_service.get(drawn):
            return drawn
        others = (
            service
            for service, weight in request.route.traffic_split
            if weight > 0 and live_by_service.get(service)
        )
        return next(others, drawn)

    def _answer_retry(self, request: ProxyRequest, status: int, retry_after: str) -> None:
        """Rejects a request with a `Retry-After` header, in seconds."""
        self.answer(request, status, extra=f"Retry-After: {retry_after}\r\n")

    # events: completed attempts

    def endpoint_misdirected(self, attempt: Attempt[ProxyRequest]) -> None:
        """Marks the attempt's server as gone, as another server has its address."""
        endpoint = self.endpoints.mark_gone(attempt.endpoint_id)
        if endpoint is not None:
            self.loop.call_soon(self.handle_event, EndpointsUpdated((endpoint,), False))

    def attempt_ended(
        self,
        attempt: Attempt[ProxyRequest],
        outcome: Outcome,
        metered: int = 0,  # noqa: ARG002 - argument of the base class
        body: bytes = b"",  # noqa: ARG002 - likewise; `server_response` holds the body
    ) -> None:
        """Answers the request if the attempt succeeded, and reports the outcome to the engine."""
        request = self.finish_attempt(attempt)
        if outcome not in NOT_RUN_OUTCOMES:
            request.may_have_run = True
        response = request.server_response
        has_answer = outcome is Outcome.SUCCEEDED and request.client is not None
        if has_answer and response is not None:
            self.answer(request, *response)
            self._cancel_overdue_attempts(request)
        if attempt.is_overdue:
            self._overdue_attempt_ended(request, outcome)
        else:
            self.report_attempt(attempt, outcome)

    # events: attempts without a response at their time-out

    def attempt_timed_out(self, attempt: Attempt[ProxyRequest]) -> None:
        """Reports a time-out to the engine; the server may answer until the request's deadline.

        The engine may replace the attempt by a retry. A server may be at work all the same, so its
        connection stays open until the request is answered.
        """
        request = attempt.request
        is_sent = attempt.connection is not None and attempt.connection.may_have_run
        if not is_sent or self.now() >= request.deadline:
            super().attempt_timed_out(attempt)
            return
        attempt.is_overdue = True
        request.may_have_run = True
        self.failures.attempts_timed_out += 1
        self.set_attempt_timer(attempt, request.deadline, super().attempt_timed_out)
        self.pool.close_idle_since(attempt)
        self.report_attempt(attempt, Outcome.NO_RESPONSE)

    def _overdue_attempt_ended(self, request: ProxyRequest, outcome: Outcome) -> None:
        """Ends a request that has its answer, or for which no server can answer any more."""
        if request.is_abandoned:
            self.abandoned.attempt_ended(outcome is Outcome.CANCELLED)
        if outcome is Outcome.SUCCEEDED:
            # to the engine, as if the client had left: the retry, if any, is cancelled
            self.handle_event(ClientDisconnected(request.id))
        elif request.is_given_up and request.client is not None:
            self._answer_possibly_run(request)
        self.forget_request(request)

    def _cancel_overdue_attempts(self, request: ProxyRequest) -> None:
        """Cancels the overdue attempts of a request to which no answer is owed any more."""
        for attempt in request.attempts:
            if attempt is not None and attempt.is_overdue:
                self.pool.give_up(attempt, Ending.CALLED_OFF)

    def client_disconnected(self, request: ProxyRequest) -> None:
        """Abandons a request whose client disconnected, and cancels its overdue attempts."""
        super().client_disconnected(request)
        self._cancel_overdue_attempts(request)

    # actions of the decision engine

    def new_attempt(
        self, request: ProxyRequest, endpoint_id: int, expires_at: int
    ) -> Attempt[ProxyRequest]:
        """Returns the next attempt of a request."""
        number = len(request.attempts)
        instance_id = self.endpoints.instance_ids[endpoint_id]
        return ProxyAttempt(request, number, endpoint_id, self.now(), expires_at, instance_id)

    def attempt_limit(self, request: ProxyRequest) -> int:
        """Returns the maximum number of attempts of a request, independent of the engine.

        A non-idempotent request that may have run, or may still run, gets no further attempt.
        """
        if not request.route.idempotent:
            pending = sum(attempt is not None for attempt in request.attempts)
            if request.may_have_run or pending > 1:
                return 0
        return request.route.max_attempts

    def reject_request(self, action: Reject) -> None:
        """Answers a request that the engine rejected.

        While the request may still run, the status must not imply that it was not executed.
        """
        request = self.requests.get(action.request_id)
        if request is None or request.client is None:
            return
        if request.may_have_run or any(request.attempts):
            self._answer_possibly_run(request)
        elif action.reason in QUOTA_REASONS:
            seconds = max(MIN_QUOTA_RETRY_SECONDS, action.retry_after / TICKS_PER_SECOND)
            self._answer_retry(request, TOO_MANY_REQUESTS, f"{seconds:.3f}")
        else:
            share = self.rng.uniform(*OVERLOAD_RETRY_SHARES)
            seconds = share * request.route.target_latency_seconds
            self._answer_retry(request, UNAVAILABLE, f"{seconds:.3f}")
        self.forget_request(request)

    def abort(self, action: Abort) -> None:
        """Answers a request that the engine aborted."""
        request = self.requests.get(action.request_id)
        if request is not None and request.client is not None:
            self._answer_possibly_run(request)
            self.forget_request(request)

    def answer_unfinished(self) -> None:
        """Answers all requests that wait for a server, as this process is about to end."""
        for request in list(self.requests.values()):
            if request.client is not None:
                self._answer_failure(request)
                # to the engine, as if the client had left
                self.handle_event(ClientDisconnected(request.id))
                self._cancel_overdue_attempts(request)
                self.forget_request(request)

    def increment_counter(self, action: IncrementCounter) -> None:
        """Increments a counter at the counting registry."""
        self.counter_client.increment(action)

    def _answer_possibly_run(self, request: ProxyRequest) -> None:
        """Answers a request that may have run, unless an overdue attempt may still be answered."""
        if any(request.attempts):
            request.is_given_up = True
        else:
            self._answer_failure(request)

    def _answer_failure(self, request: ProxyRequest) -> None:
        """Answers a request that may have run, with a server's response if one was received."""
        if request.server_response is not None:
            self.answer(request, *request.server_response)
            return
        is_past_deadline = self.now() >= request.deadline - TIMEOUT_MARGIN_TICKS
        self.failures.answered(is_past_deadline)
        self.answer(request, GATEWAY_TIMEOUT if is_past_deadline else BAD_GATEWAY)
