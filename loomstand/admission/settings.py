"""Settings of the decision engine: request classes, quota plans and tuning.

Times are in ticks (`loomstand.admission.ticks`), amounts in units of quota. Request classes and
plans are identified by their index in the settings. Pure.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from loomstand.admission.endpoints import Endpoint


class Effect(Enum):
    """Whether a request that may have been executed may be sent again.

    The values are fixed by the golden tests of the configuration.

    Attributes:
        IDEMPOTENT: Executing it again changes nothing, so it may always be sent again.
        DEDUPLICATED: Servers recognise a repeat within a scope and a time window, and drop it.
        NON_IDEMPOTENT: It must not be executed twice.
    """

    IDEMPOTENT = "replayable"
    DEDUPLICATED = "uniqued"
    NON_IDEMPOTENT = "non-replayable"


class DeduplicationScope(Enum):
    """Which servers share their record of executed requests with each other.

    Attributes:
        ALL: All servers of the service.
        ZONE: The servers of one zone.
        CELL: The servers of one cell (`Endpoint.cell`).
    """

    ALL = "all"
    ZONE = "hall"
    CELL = "pod"

    def includes(self, first: Endpoint, second: Endpoint) -> bool:
        """Returns whether two servers share their record of executed requests."""
        if self is DeduplicationScope.ZONE:
            return first.zone == second.zone
        if self is DeduplicationScope.CELL:
            return first.cell == second.cell
        return True


@dataclass(slots=True, frozen=True)
class Frontend:
    """A class of requests that share an effect, a latency target and a value.

    Attributes:
        effect: Whether a request may be sent again.
        deduplication_scope: Where repeats are recognised, for `Effect.DEDUPLICATED`.
        deduplication_window: How long after the first attempt repeats are recognised, in ticks.
        latency_target: Time within which an answer has its full value (SLO), in ticks.
        client_timeout: How long clients wait for the final answer, in ticks.
        value: Value of an answer within the latency target (priority weight).
        late_value: Value of an answer after the latency target.
        is_streaming: Whether answers are streams.
        attempt_limit: Maximum attempts for a request; 0 for `EngineSettings.attempt_limit`.
    """

    effect: Effect
    deduplication_scope: DeduplicationScope
    deduplication_window: int
    latency_target: int
    client_timeout: int
    value: float
    late_value: float
    is_streaming: bool
    attempt_limit: int = 0

    @property
    def may_be_repeated(self) -> bool:
        """Whether a client may repeat a request that may have been executed, at any server."""
        if self.effect is Effect.DEDUPLICATED:
            return self.deduplication_scope is DeduplicationScope.ALL
        return self.effect is Effect.IDEMPOTENT


@dataclass(slots=True, frozen=True)
class QuotaPlan:
    """The quota that each tenant of a plan has, over all limiters together.

    A tenant over its quota may be admitted at a cost; the rate limit must never be exceeded.

    Attributes:
        rate: Units per second; 0 for no quota.
        burst: Units that may be admitted at once.
        concurrency_limit: Maximum requests in flight; 0 for no limit.
        value_factor: Factor on the value of the tenant's requests.
        excess_value: Value of a request beyond the quota.
        excess_cost: Cost of admitting a request beyond the quota.
        rate_limit: Hard limit in units per second; 0 for none.
        rate_limit_burst: Units that may be admitted at once under the hard limit.
        rate_limit_slack: Units by which the hard limit may be exceeded for a moment.
    """

    rate: float
    burst: float
    concurrency_limit: int
    value_factor: float
    excess_value: float
    excess_cost: float
    rate_limit: float
    rate_limit_burst: float
    rate_limit_slack: float


@dataclass(slots=True, frozen=True)
class EngineSettings:
    """All settings of one limiter's decision engine, replaced as a whole by `SettingsChanged`.

    Attributes:
        limiter_index: This limiter's index among all limiters, from 0.
        limiter_count: Number of limiters.
        zone: Index of this limiter's own zone.
        frontends: The request classes.
        plans: The quota plans.
        attempt_limit: Maximum attempts for a request whose request class states no limit.
        can_cancel_attempts: Whether attempts may be cancelled.
        can_check_health: Whether health checks may be made. Not used by the engine today.
        can_hedge: Whether hedged requests may be sent. Not used by the engine today.
        sends_retry_after: Whether a rejection states when to retry.
        max_retry_after: Longest delay that a rejection states, in ticks.
        has_counter: Whether there is a shared counter.
        counter_timeout: Time-out of a call to the counter, in ticks.
        metering_period: Interval of the servers' metering of tenants, in ticks; 0 for none.
        max_request_units: Maximum units that a request may cost.
        drain_grace_period: How long a draining server still takes requests, in ticks. Not used by
            the engine today, which sends none to such a server.
        slow_start_period: Duration of slow start after a server's start, in ticks.
        slow_start_initial_capacity: Share of its capacity that a server has at its start.
        overload_multiple: Multiple of its capacity that makes a server in slow start fail.
        overload_period: How long a server in slow start withstands that load, in ticks.
        response_slack: How late after a deadline an answer may be, in ticks. Not used by the engine
            today, which ends every request before its deadline.
        total_trust_intervals: For how many counting intervals after a total from the counter a
            tenant well under its quota is judged by the whole burst. Below 3 the quota is strict:
            all limiters together stay within it even without totals.
        initial_burst_share: Share of this limiter's part of the burst that a tenant may use when
            it is first seen.
        retry_budget_ratio: Retries that a first attempt adds to the budget, by service.
        retry_budget_max: Maximum retries in the budget.
        retry_budget_initial: Retries in the budget at the start.
        rejected_retry_cost: Cost of a retry, in retries, after a server rejected the request and no
            attempt may have been executed.
        unsent_retry_cost: Cost of a retry where no attempt reached a server.
        window_follows_endpoints: Whether the concurrency window grows and shrinks with the number
            of a service's servers.
        retries_until_deadline: Whether an attempt without a response is replaced by a retry as long
            as the client waits, instead of only within the latency target.
        remote_zone_cost: Factor on the cost of a server in another zone.
        clock_offset: How far the clock that numbers the counting intervals is ahead of the
            limiter's own, in ticks.
        local_zone_share: Share of the servers in use that are of the limiter's own zone; 0 to
            ignore zones.
        cancels_abandoned_attempts: Whether an idempotent request's attempt is cancelled when its
            client disconnects: correct if that stops the server. If a server continues, only
            the attempt's end shows when it is free again.
        window_headroom: Attempts in flight allowed beyond the concurrency window: a window of few
            attempts is exceeded by random variation alone.
    """

    limiter_index: int
    limiter_count: int
    zone: int
    frontends: tuple[Frontend, ...]
    plans: tuple[QuotaPlan, ...]
    attempt_limit: int
    can_cancel_attempts: bool
    can_check_health: bool
    can_hedge: bool
    sends_retry_after: bool
    max_retry_after: int
    has_counter: bool
    counter_timeout: int
    metering_period: int
    max_request_units: int
    drain_grace_period: int
    slow_start_period: int
    slow_start_initial_capacity: float
    overload_multiple: float
    overload_period: int
    response_slack: int
    total_trust_intervals: float = 10.0
    initial_burst_share: float = 1.0
    retry_budget_ratio: float = 0.25
    retry_budget_max: float = 10.0
    retry_budget_initial: float = 3.0
    rejected_retry_cost: float = 0.2
    unsent_retry_cost: float = 0.2
    window_follows_endpoints: bool = False
    retries_until_deadline: bool = False
    remote_zone_cost: float = 1.05
    clock_offset: int = 0
    local_zone_share: float = 0.0
    cancels_abandoned_attempts: bool = False
    window_headroom: float = 0.0

    def plan(self, index: int) -> QuotaPlan | None:
        """Returns the plan at an index, or None if there is none."""
        return self.plans[index] if 0 <= index < len(self.plans) else None
