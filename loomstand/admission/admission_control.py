"""Admits requests and gives each exactly one final answer. Pure.

The methods of `AdmissionControl` follow the path of a request: it arrives; its tenant's limiter
admits it; the service's load balancer admits it and chooses a server; an attempt is sent; the
attempt's outcome is the answer, or leads to a retry, a rejection or an abort.
"""

from __future__ import annotations

from loomstand.admission.actions import (
    ATTEMPTS_EXHAUSTED,
    EXPIRED,
    OVERLOADED,
    Abort,
    Action,
    CancelAttempt,
    LogMessage,
    Reject,
)
from loomstand.admission.actors import Actor, ActorLoop
from loomstand.admission.counter_client import CounterClient
from loomstand.admission.endpoints import Endpoint
from loomstand.admission.event_counts import EventCounts
from loomstand.admission.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointsUpdated,
    RequestArrived,
    SettingsChanged,
    TenantEvent,
    TenantTotalUpdated,
    TimerFired,
)
from loomstand.admission.load_balancer import LoadBalancer
from loomstand.admission.pending_request import PendingRequest
from loomstand.admission.settings import Effect
from loomstand.admission.tenant_limiter import TenantLimiter
from loomstand.admission.ticks import TICKS_PER_SECOND
from loomstand.failover.engine_view import FailoverPolicy

DEFAULT_SERVICE = 0  # index of the service that a zone plan applies to
MANY_TENANTS = 1_000  # above this number (about 1 MB), idle tenants are evicted sooner
COUNTS_PERIOD_TICKS = 5 * TICKS_PER_SECOND  # between two log lines with event counts
FAST_QUANTILE = 0.25  # this quantile of durations is the least time that a retry needs
# Names of event counts in the log, in addition to the reasons of `Reject`.
SENT_COUNT = "sent"
ABORTED_COUNT = "aborted"


class AdmissionControl(Actor):
    """All requests, tenants' limiters and services' load balancers of one limiter.

    Attributes:
        counter_client: Calls the counter for the tenants' limiters.
        tenants: The tenants' limiters by tenant index, the least recently checked first.
        tenants_by_digest: The same limiters by tenant digest.
        load_balancers: The load balancers by service.
        pending: The requests without a final answer, or with attempts in flight.
        counts: Event counts for the log.
    """

    def __init__(
        self, loop: ActorLoop, counter_client: CounterClient, failover: FailoverPolicy | None
    ) -> None:
        super().__init__(loop)
        self.counter_client = counter_client
        self.tenants: dict[int, TenantLimiter] = {}
        self.tenants_by_digest: dict[int, TenantLimiter] = {}
        self.load_balancers = {DEFAULT_SERVICE: LoadBalancer(loop, failover)}
        self.pending: dict[int, PendingRequest] = {}
        self.counts = EventCounts(COUNTS_PERIOD_TICKS, loop.now)

    # Arrival and admission.

    def request_arrived(self, event: RequestArrived) -> None:
        """Passes a request to its tenant's limiter, or rejects it if it is too late."""
        tenant_limiter = self._tenant_limiter(event)
        self._evict_idle_tenant(tenant_limiter)
        frontend = self._load_balancer(event.service).stats[event.frontend].frontend
        plan = self.loop.settings.plan(event.plan)
        value_factor = plan.value_factor if plan else 1.0
        now = self.loop.now
        time_left = event.deadline - now
        time_waited = max(0, frontend.client_timeout - time_left) if event.is_retry else 0
        pending = PendingRequest(
            arrival=event,
            tenant_limiter=tenant_limiter,
            target_at=now + frontend.latency_target - time_waited,
            value=frontend.value * value_factor * event.units,
            attempt_limit=frontend.attempt_limit or self.loop.settings.attempt_limit,
        )
        self.pending[event.request_id] = pending
        is_worthless = time_waited > frontend.latency_target and frontend.late_value <= 0
        if time_left <= 0 or is_worthless:
            self.post_rejected(event.request_id, 0, EXPIRED)
        else:
            tenant_limiter.post(tenant_limiter.admit, event, self)

    def post_admitted(self, request_id: int) -> None:
        """Posts the message that the tenant's limiter admitted a request."""
        self.post(self.tenant_admitted, request_id)

    def post_rejected(self, request_id: int, retry_after: int, reason: str) -> None:
        """Posts the message that a request was rejected; `retry_after` is in ticks."""
        self.post(self.reject, request_id, retry_after, reason)

    def tenant_admitted(self, request_id: int) -> None:
        """Sends the first attempt if the servers have capacity, else rejects the request."""
        pending = self.pending[request_id]
        load_balancer = self._load_balancer(pending.arrival.service)
        server = load_balancer.pick(pending) if load_balancer.has_capacity(pending) else None
        if server is None:
            self.post_rejected(request_id, 0, OVERLOADED)
            return
        self._count(SENT_COUNT)
        tenant_limiter = pending.tenant_limiter
        tenant_limiter.post(tenant_limiter.request_sent, pending.arrival.units)
        load_balancer.send(pending, server)

    # The attempt's outcome: an answer, a retry, or the end without an answer.

    def attempt_ended(self, event: AttemptEnded) -> None:
        """Records an attempt's outcome, and retries or ends a request that is still unanswered."""
        pending = self.pending.get(event.request_id)
        if pending is None:
            return
        if not self._load_balancer(pending.arrival.service).attempt_ended(pending, event):
            return
        pending.attempt_ended(event)
        if event.metered_use:
            tenant_limiter = pending.tenant_limiter
            tenant_limiter.post(tenant_limiter.usage_metered, event.metered_use - 1)
        if pending.is_answered or pending.has_attempt_in_flight():
            self._remove_if_done(pending)
        else:
            self._retry_or_give_up(pending)

    def client_disconnected(self, event: ClientDisconnected) -> None:
        """Marks a request as answered, and cancels its attempt in flight where that is allowed."""
        pending = self.pending.get(event.request_id)
        if pending is None:
            return
        pending.is_answered = True
        effect = self.loop.settings.frontends[pending.arrival.frontend].effect
        # Only idempotent requests are cancelled: others might be left partly executed.
        may_cancel = self.loop.settings.cancels_abandoned_attempts and effect is Effect.IDEMPOTENT
        if may_cancel and pending.has_attempt_in_flight():
            self.loop.actions.append(CancelAttempt(event.request_id, pending.cancel_attempt()))
        self._remove_if_done(pending)

    def _retry_or_give_up(self, pending: PendingRequest) -> None:
        """Sends another attempt if it is allowed and can be in time, else ends the request."""
        load_balancer = self._load_balancer(pending.arrival.service)
        stats = load_balancer.stats[pending.arrival.frontend]
        now = self.loop.now
        earliest_answer_at = now + stats.durations.quantile(FAST_QUANTILE, 0)
        is_worthless = earliest_answer_at > pending.target_at and stats.frontend.late_value <= 0
        is_over = now >= pending.arrival.deadline or len(pending.attempts) >= pending.attempt_limit
        may_retry = not is_worthless and not is_over
        server = load_balancer.pick_for_retry(pending) if may_retry else None
        if server is not None:
            load_balancer.send(pending, server)
        elif not pending.possibly_executed or stats.frontend.may_be_repeated:
            self.reject(pending.arrival.request_id, 0, ATTEMPTS_EXHAUSTED)
        else:
            self._answer(pending, ABORTED_COUNT, Abort(pending.arrival.request_id))

    # The final answer.

    def reject(self, request_id: int, retry_after: int, reason: str) -> None:
        """Rejects a request, which the client may safely send again after `retry_after` ticks."""
        settings = self.loop.settings
        delay = min(retry_after, settings.max_retry_after) if settings.sends_retry_after else 0
        self._answer(self.pending[request_id], reason, Reject(request_id, delay, reason))

    def _answer(self, pending: PendingRequest, count: str, answer: Action) -> None:
        self._count(count)
        pending.is_answered = True
        self.loop.actions.append(answer)
        self._remove_if_done(pending)

    def _remove_if_done(self, pending: PendingRequest) -> None:
        """Removes a request that is answered and has no attempt in flight."""
        if not pending.is_answered or pending.has_attempt_in_flight():
            return
        is_first_time = self.pending.pop(pending.arrival.request_id, None) is not None
        if is_first_time and pending.attempts:
            tenant_limiter = pending.tenant_limiter
            tenant_limiter.post(tenant_limiter.request_finished)

    # Servers, settings and totals.

    def endpoints_updated(self, event: EndpointsUpdated) -> None:
        """Passes each service's endpoints to its load balancer."""
        by_service: dict[int, list[Endpoint]] = {}
        if event.complete or not event.endpoints:
            by_service = {service: [] for service in self.load_balancers}
        for endpoint in event.endpoints:
            by_service.setdefault(endpoint.service, []).append(endpoint)
        for service, endpoints in by_service.items():
            self._load_balancer(service).endpoints_updated(endpoints, event.complete)

    def settings_changed(self, event: SettingsChanged) -> None:
        """Applies new settings."""
        limiters_before = self.loop.settings.limiter_count
        self.loop.settings = event.settings
        for load_balancer in self.load_balancers.values():
            load_balancer.settings_changed(limiters_before)
        for tenant_limiter in self.tenants.values():
            tenant_limiter.post(tenant_limiter.settings_changed)

    def tenant_total_updated(self, event: TenantTotalUpdated) -> None:
        """Passes a total pushed by the counter to the tenant's limiter."""
        tenant_limiter = self._tenant_limiter(event)
        tenant_limiter.post(tenant_limiter.total_updated, event)

    def timer_fired(self, event: TimerFired) -> None:
        """Has the tenant's limiter read the total of the interval that has ended."""
        tenant_limiter = self.tenants_by_digest.get(event.tag)
        if tenant_limiter is not None:
            tenant_limiter.post(tenant_limiter.interval_ended)

    def _load_balancer(self, service: int) -> LoadBalancer:
        load_balancer = self.load_balancers.get(service)
        if load_balancer is None:
            load_balancer = self.load_balancers[service] = LoadBalancer(self.loop)
        return load_balancer

    def _tenant_limiter(self, event: TenantEvent) -> TenantLimiter:
        limiter = self.tenants.get(event.tenant)
        if limiter is None:
            plan = self.loop.settings.plan(event.plan)
            limiter = TenantLimiter(self.loop, self.counter_client, event, plan)
            self.tenants[event.tenant] = limiter
            self.tenants_by_digest[event.tenant_digest] = limiter
        return limiter

    def _evict_idle_tenant(self, current: TenantLimiter) -> None:
        """Checks the least recently checked tenant, and evicts it if it is idle."""
        oldest = self.tenants.pop(next(iter(self.tenants)))
        if oldest is current or not oldest.is_idle(len(self.tenants) > MANY_TENANTS):
            self.tenants[oldest.tenant] = oldest
        else:
            self.tenants_by_digest.pop(oldest.tenant_digest, None)

    def _count(self, name: str) -> None:
        counts = self.counts.add(name, self.loop.now)
        if counts:
            sizes = " ".join(f"{b.window.size:.1f}" for b in self.load_balancers.values())
            self.loop.actions.append(LogMessage(", ".join([*counts, f"window {sizes}"])))
