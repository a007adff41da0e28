"""One tenant's limiter: admits requests within this limiter's share of the tenant's quota. Pure.

The quota is a leaky bucket: one unit per emission interval, and a burst beyond that rate; a full
bucket rejects at once (docs/design.md). The limiters of thousands of tenants must fit in memory.
"""

from __future__ import annotations

from loomstand.admission.actions import (
    QUOTA_EXHAUSTED,
    QUOTA_PROBABLY_EXHAUSTED,
    RATE_LIMITED,
    SetTimer,
)
from loomstand.admission.actors import NEVER, Actor, ActorLoop
from loomstand.admission.admission_replies import AdmissionReplies
from loomstand.admission.counter_calls import INTERVAL_MASK
from loomstand.admission.counter_client import CounterClient
from loomstand.admission.events import (
    CounterReplied,
    RequestArrived,
    TenantEvent,
    TenantTotalUpdated,
)
from loomstand.admission.outcome import Outcome
from loomstand.admission.quota import TenantKey, TenantQuota
from loomstand.admission.quota_levels import QuotaLevels
from loomstand.admission.rate_limit_bucket import RateLimitBucket
from loomstand.admission.settings import QuotaPlan
from loomstand.admission.ticks import TICKS_PER_SECOND

TOLERANCE_UNITS = 1e-9  # rounding error of sums of floats
MAX_RETRY_AFTER = 1e9  # ticks; `EngineSettings.max_retry_after` limits it further
# A rejection requests the running total, at most once while the quota refills this many units.
TOTAL_READ_UNITS = 0.5
STRICT_TOTAL_READ_DIVISOR = 20  # strict quotas: the burst divided by this, if that is more units
# Usage is reported when it reaches half of an even share of the remaining burst.
REPORT_DIVISOR = 2
STRICT_REPORT_DIVISOR = 10  # strict quotas: what remains counts as at least a tenth of the burst
MAX_TIMER_TICKS = 2_400 * TICKS_PER_SECOND  # 40 minutes
# Consecutive failures: an overloaded counter fails some calls, an unavailable one fails all.
COUNTER_DOWN_FAILURES = 4
IDLE_INTERVALS = 10  # an unused tenant is evicted after this many counting intervals
IDLE_INTERVALS_IF_MANY = 1  # the same with more than `MANY_TENANTS` tenants


class TenantLimiter(Actor):
    """Quota, rate limit and concurrency limit of one tenant at this limiter.

    Attributes:
        tenant: Index of the tenant.
        tenant_digest: Its digest, the same at every limiter.
        levels: Its quota and how much of it is used.
        rate_limit: This limiter's share of its hard rate limit.
        concurrency_limit: Most of its requests in flight at all limiters; 0 for no limit.
        in_flight: Its requests in flight at this limiter.
    """

    __slots__ = (
        "_is_timer_set",
        "_key",
        "_reported_at",
        "concurrency_limit",
        "counter_client",
        "in_flight",
        "levels",
        "rate_limit",
        "tenant",
        "tenant_digest",
    )

    def __init__(
        self,
        loop: ActorLoop,
        counter_client: CounterClient,
        event: TenantEvent,
        plan: QuotaPlan | None,
    ) -> None:
        super().__init__(loop)
        self.counter_client = counter_client
        self.tenant = event.tenant
        self.tenant_digest = event.tenant_digest
        self._key = TenantKey(event.plan, event.limiter_set_size, event.limiter_set_start)
        self.in_flight = 0
        self._reported_at = NEVER
        self._is_timer_set = False
        self.rate_limit = RateLimitBucket()
        self.levels = QuotaLevels(self._configure(plan), loop.settings, loop.started_at)

    @property
    def interval_length(self) -> int:
        """Length of the counting intervals, in ticks."""
        return self.levels.quota.interval_length

    # Requests.

    def admit(self, arrival: RequestArrived, replies: AdmissionReplies) -> None:
        """Replies whether a request is within the tenant's limits."""
        self.advance()
        levels = self.levels
        levels.usage.unreported_requests += 1
        if self._is_rate_limited(arrival.units) or self._is_concurrency_limited():
            replies.post_rejected(arrival.request_id, 0, RATE_LIMITED)
        elif not levels.quota.rate or self.has_quota(arrival.units, arrival.is_retry):
            replies.post_admitted(arrival.request_id)
        else:
            self._reject(arrival, replies)

    def request_sent(self, units: float) -> None:
        """Charges the units of a request that was admitted and sent to a server."""
        self.in_flight += 1
        self.rate_limit.take(units)
        levels = self.levels
        quota = levels.quota
        if not quota.rate:
            return
        levels.add(units)
        if not self._is_timer_set:
            self._set_timer()
        # A new tenant with only a part of its burst gets the rest after the first total.
        needs_total = levels.total_at == NEVER and self.loop.settings.initial_burst_share < 1
        min_remaining = quota.burst / STRICT_REPORT_DIVISOR if quota.is_strict else 0.0
        remaining = max(quota.burst - levels.fleet_level, min_remaining)
        reported_from = remaining / (REPORT_DIVISOR * quota.limiter_set_size)
        if needs_total or levels.usage.unreported_units >= reported_from:
            self._request_call()

    def request_finished(self) -> None:
        """Counts a request that was sent as no longer in flight."""
        self.in_flight -= 1

    def has_quota(self, units: float, is_retry: bool) -> bool:
        """Returns whether the quota has room for a request, given the known use at all limiters."""
        levels = self.levels
        quota = levels.quota
        total_age = self.loop.now - levels.total_at
        is_small = quota.burst < quota.limiter_set_size  # an even share is less than a request
        fits = levels.fleet_level + units <= quota.burst + TOLERANCE_UNITS
        if quota.is_strict:
            share = max(levels.burst_share(), units)
            return fits and levels.local_level + units <= share + TOLERANCE_UNITS
        trusted_ticks = self.loop.settings.total_trust_intervals * quota.interval_length
        if levels.demand_is_moderate() and (is_small or total_age < trusted_ticks):
            # A retry was rejected by another limiter: for its quota, if an even share is far below
            # one request, else for lack of server capacity.
            return fits and not (is_retry and self.is_usage_unknown())
        if is_small:
            return self._has_quota_by_chance(units, total_age, fits)
        # The whole burst while totals are recent, else this limiter's share of it.
        burst = quota.burst if total_age <= quota.interval_length else levels.burst_share()
        return levels.local_level + units <= burst + TOLERANCE_UNITS

    def is_usage_unknown(self) -> bool:
        """Returns whether this limiter can't tell if the tenant is over its quota.

        True before the first total, if an even share of the burst is less than half a request and
        use beyond the quota has a cost.
        """
        quota = self.levels.quota
        return (
            2 * quota.burst < quota.limiter_set_size
            and self.levels.total_at == NEVER
            and quota.rate > 0
            and not quota.is_excess_free
        )

    def is_over_quota(self) -> bool:
        """Returns whether the tenant requests more than its quota over all limiters together."""
        return self.levels.requested_rate > self.levels.quota.rate > 0

    def is_idle(self, many_tenants: bool) -> bool:
        """Returns whether the tenant may be evicted: none of its past usage counts any more."""
        now = self.loop.now
        used_at = self.levels.updated_at
        intervals = IDLE_INTERVALS_IF_MANY if many_tenants else IDLE_INTERVALS
        return (
            not self.in_flight
            and now - used_at > intervals * self.interval_length
            and self.rate_limit.is_full(now, used_at)
        )

    def _is_rate_limited(self, units: float) -> bool:
        return bool(self.rate_limit.rate) and self.rate_limit.tokens < units

    def _is_concurrency_limited(self) -> bool:
        limit = self.concurrency_limit
        return bool(limit) and self.in_flight >= max(1, limit // self.levels.quota.limiter_set_size)

    def _has_quota_by_chance(self, units: float, total_age: int, fits: bool) -> bool:
        """Returns whether a limiter whose share is less than a request may admit one.

        Requests rejected with quota left are retried, counted as demand, and so cause further
        rejections. So a request is admitted if it fits in addition to all that the other limiters
        can have admitted since the total, and one more that they admit concurrently; else at
        random, in the ratio of the quota to the demand.
        """
        levels = self.levels
        quota = levels.quota
        admitted_elsewhere = min(levels.requested_rate, quota.rate) * total_age
        if levels.fleet_level + admitted_elsewhere + units + 1 <= quota.burst:
            return True
        if not quota.is_excess_free and self.loop.random() >= quota.rate / levels.requested_rate:
            return False
        return fits or total_age > 1 / quota.rate

    def _reject(self, arrival: RequestArrived, replies: AdmissionReplies) -> None:
        levels = self.levels
        quota = levels.quota
        units = TOTAL_READ_UNITS
        if quota.is_strict:
            units = max(units, quota.burst / STRICT_TOTAL_READ_DIVISOR)
        age = self.loop.now - self._reported_at
        if age > units / quota.rate and not self.counter_client.waiting:
            self._request_call()
        is_recent = self.loop.now - levels.total_at <= quota.interval_length
        reason = QUOTA_EXHAUSTED if is_recent else QUOTA_PROBABLY_EXHAUSTED
        retry_after = round(min(MAX_RETRY_AFTER, arrival.units / levels.share_rate))
        replies.post_rejected(arrival.request_id, retry_after, reason)

    # Settings and the clock.

    def settings_changed(self) -> None:
        """Applies new settings."""
        self.advance()
        quota = self._configure(self.loop.settings.plan(self._key.plan))
        self.levels.replace_quota(quota)
        self.advance()

    def advance(self) -> None:
        """Brings the levels and the rate limit up to date, and starts a new interval if due."""
        now = self.loop.now
        levels = self.levels
        self.rate_limit.refill(now, levels.updated_at)
        levels.drain(now)
        interval = levels.quota.interval(now)
        if interval == levels.usage.interval:
            return
        follows = interval <= levels.usage.interval + 1
        if follows and levels.usage.unreported_units and self.counter_client.try_acquire():
            self._report(levels.usage.interval)
        levels.start_interval(interval, now, self.loop.settings)

    def _configure(self, plan: QuotaPlan | None) -> TenantQuota:
        settings = self.loop.settings
        key = self._key
        quota = TenantQuota.of_plan(plan, settings, key.limiter_set_size, self.tenant_digest)
        self.concurrency_limit = plan.concurrency_limit if plan else 0
        self.rate_limit.configure(plan, settings, quota.limiter_set_size, key.limiter_set_start)
        return quota

    # Reports to the counter.

    def post_report(self) -> None:
        """Posts the message that a call to the counter may be made now."""
        self.post(self.report_usage)

    def report_usage(self) -> None:
        """Adds the unreported usage to the current interval's count, and reads its total."""
        self.advance()
        self._reported_at = self.loop.now
        self._report(self.levels.usage.interval)

    def interval_ended(self) -> None:
        """Reads the last interval's total, after every limiter's last report arrived or failed."""
        self.advance()
        self._is_timer_set = False
        usage = self.levels.usage
        client = self.counter_client
        may_call = self.levels.quota.is_strict or not client.waiting
        if usage.previous.own and may_call and client.try_acquire():
            client.post(client.call, self, usage.interval - 1, 0.0)

    def _request_call(self) -> None:
        self.counter_client.post(self.counter_client.request_call, self)

    def _report(self, interval: int) -> None:
        amount = self.levels.usage.take_amount(self.levels.quota.attempt_factor)
        self.counter_client.post(self.counter_client.call, self, interval, amount)

    def _set_timer(self) -> None:
        """Sets a timer after the interval's end, when every limiter's last call has ended."""
        quota = self.levels.quota
        elapsed = (self.loop.now + quota.interval_offset) % quota.interval_length
        left = quota.interval_length - elapsed
        delay = min(left, MAX_TIMER_TICKS) + self.loop.settings.counter_timeout + 1
        self._is_timer_set = True
        self.loop.actions.append(SetTimer(delay, self.tenant_digest))

    # Totals from the counter, or metering by the servers in place of them.

    def post_reply(self, interval: int, amount: float, reply: CounterReplied) -> None:
        """Posts the reply to a call that added `amount` to an interval's count."""
        self.post(self.counter_replied, interval, amount, reply)

    def counter_replied(self, interval: int, amount: float, reply: CounterReplied) -> None:
        """Applies the total in a reply, or records that the call failed."""
        self.advance()
        if reply.outcome is Outcome.SUCCEEDED:
            self._apply_total(interval, amount, reply.total)
        else:
            may_be_added = reply.outcome is Outcome.NO_RESPONSE
            self.levels.call_failed(interval, amount, may_be_added)

    def total_updated(self, event: TenantTotalUpdated) -> None:
        """Applies a total pushed by the counter."""
        self.advance()
        interval = self.levels.usage.interval
        if event.counter_name & INTERVAL_MASK == interval & INTERVAL_MASK:
            self._apply_total(interval, 0.0, event.total)

    def usage_metered(self, percent: int) -> None:
        """Applies a server's metering, in percent of the burst; used while the counter is down."""
        self.advance()
        is_down = self.counter_client.consecutive_failures >= COUNTER_DOWN_FAILURES
        period = self.loop.settings.metering_period
        self.levels.apply_metering(percent, self.loop.now, period, is_down)

    def _apply_total(self, interval: int, amount: float, count: float) -> None:
        if self.levels.apply_total(interval, amount, count, self.loop.now):
            self.post(self.interval_ended)
