"""One tenant's limiter: admits requests within this limiter's share of the tenant's quota.

The quota is a smoothed bucket: one request an emission interval, and a burst beyond that pace. The
limiter keeps two levels of it: its own, drained at its share of the rate, and that of all limiters
as far as it is known from the shared counter, drained at the whole rate. A full bucket rejects at
once. docs/design.md tells where each rule comes from. Thousands of tenants are kept at once. Pure.
"""

from __future__ import annotations

from typing import Protocol

from loomstand.admission.actions import (
    QUOTA_EXHAUSTED,
    QUOTA_PROBABLY_EXHAUSTED,
    RATE_LIMITED,
    SetTimer,
)
from loomstand.admission.actors import NEVER, Actor, ActorLoop
from loomstand.admission.counter_client import INTERVAL_MASK, CounterClient
from loomstand.admission.events import (
    CounterReplied,
    RequestArrived,
    TenantEvent,
    TenantTotalUpdated,
)
from loomstand.admission.outcome import Outcome
from loomstand.admission.quota import SPLIT_LIFETIME_INTERVALS, TenantKey, TenantQuota
from loomstand.admission.rate_limit_bucket import RateLimitBucket
from loomstand.admission.settings import QuotaPlan
from loomstand.admission.ticks import TICKS_PER_SECOND
from loomstand.admission.usage_report import IntervalUsage, UsageReport

TOLERANCE_UNITS = 1e-9  # of sums of floats
# A tenant that asks for less than this share of its quota is judged by the whole burst.
MODERATE_DEMAND = 0.8
MAX_RETRY_AFTER = 1e9  # ticks; the engine's settings limit it further
# A rejection asks for the running total, at most twice while the whole quota emits a unit.
TOTAL_READ_UNITS = 0.5
STRICT_TOTAL_READ_BURST = 20  # strict quotas: and no more often than a 20th of the burst refills
STRICT_REPORT_BURST = 10  # use is reported from a 10th of the burst on, however little is left
# Use is reported once it is half of an even share of what is left of the burst.
REPORT_SHARE = 2
MAX_TIMER_TICKS = 2_400 * TICKS_PER_SECOND  # 40 minutes
# Failures in a row: a counter that is overloaded fails some calls, one that is down fails all.
COUNTER_DOWN_FAILURES = 4
IDLE_INTERVALS = 10  # after which an unused tenant is forgotten
IDLE_INTERVALS_IF_MANY = 1  # and where many tenants are kept
# Weight, in intervals, of the rate that was requested so far beside a new total's.
KNOWN_DEMAND_INTERVALS = 2  # a half
UNKNOWN_DEMAND_INTERVALS = 8  # an eighth of one


class AdmissionReplies(Protocol):
    """Where a limiter's replies go."""

    def post_admitted(self, request_id: int) -> None:
        """The request is within the quota and the rate limit."""

    def post_rejected(self, request_id: int, retry_after: int, reason: str) -> None:
        """The request is rejected; see `Reject`."""


class TenantLimiter(Actor):
    """A tenant's quota, rate limit and concurrency limit at this limiter.

    Attributes:
        tenant: Index of the tenant.
        tenant_digest: Its digest, the same at every limiter.
        quota: Its quota; a rate of 0 for none.
        rate_limit: Its hard limit.
        concurrency_limit: Most of its requests in flight at this limiter; 0 for no limit.
        in_flight: Its requests that were admitted and not yet finished.
        share_rate: This limiter's share of the quota's rate, in units a tick.
        local_level: Level of this limiter's own bucket, in units.
        fleet_level: Level of the bucket of all limiters, as far as known, in units.
        requested_rate: Units a tick asked of all limiters, admitted or not; 0 if not known.
        total_at: When the last total came.
    """

    __slots__ = (
        "concurrency_limit",
        "counter_client",
        "fleet_level",
        "in_flight",
        "is_timer_set",
        "key",
        "lacks_totals",
        "local_level",
        "metered_at",
        "metered_units",
        "quota",
        "rate_limit",
        "reported_at",
        "requested_rate",
        "share_rate",
        "split_at",
        "tenant",
        "tenant_digest",
        "total_at",
        "unused_units",
        "updated_at",
        "usage",
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
        self.key = TenantKey(event.plan, event.limiter_set_size, event.limiter_set_start)
        self.usage = UsageReport()
        self.rate_limit = RateLimitBucket()
        self.in_flight = 0
        self.total_at = NEVER
        self.split_at = NEVER
        self.reported_at = NEVER
        self.metered_at = NEVER
        self.metered_units = 0.0
        self.requested_rate = 0.0
        self.fleet_level = 0.0
        self.unused_units = 0.0  # that refilled while the bucket of all limiters was empty
        self.is_timer_set = False
        self.lacks_totals = False  # strict quotas: no total since the last call that failed
        self.updated_at = loop.started_at
        self._configure(plan)
        self.share_rate = self.quota.rate / self.quota.limiter_set_size  # an even one at first
        share = self._burst_share()
        initial = share * (1 - loop.settings.initial_burst_share)
        self.local_level = max(0.0, min(share - 1, initial))

    @property
    def interval_length(self) -> int:
        """Length of the counting intervals, in ticks."""
        return self.quota.interval_length

    # Requests.

    def admit(self, arrival: RequestArrived, replies: AdmissionReplies) -> None:
        """Replies whether a request is within the tenant's limits."""
        self.advance()
        self.usage.unreported_requests += 1
        if self._is_rate_limited(arrival.units) or self._is_concurrency_limited():
            replies.post_rejected(arrival.request_id, 0, RATE_LIMITED)
        elif not self.quota.rate or self.has_quota(arrival.units, arrival.is_retry):
            replies.post_admitted(arrival.request_id)
        else:
            self._reject(arrival, replies)

    def request_sent(self, units: float) -> None:
        """Takes the units of a request that was admitted and sent to a server."""
        self.in_flight += 1
        self.rate_limit.take(units)
        quota = self.quota
        if not quota.rate:
            return
        self.local_level += units
        self.fleet_level = min(quota.max_level, self.fleet_level + units)
        self.usage.add(units)
        if not self.is_timer_set:
            self._set_timer()
        # An unseen tenant that was given a part of its burst only gets the rest with a total.
        needs_total = self.total_at == NEVER and self.loop.settings.initial_burst_share < 1
        room = quota.burst - self.fleet_level
        if quota.is_strict:
            room = max(room, quota.burst / STRICT_REPORT_BURST)
        if needs_total or self.usage.unreported_units >= max(room, 0.0) / (
            REPORT_SHARE * quota.limiter_set_size
        ):
            self._request_call()

    def request_finished(self) -> None:
        """Counts a request that was sent as no longer in flight."""
        self.in_flight -= 1

    def has_quota(self, units: float, is_retry: bool) -> bool:
        """Returns whether the quota has room for a request, by what is known of other limiters."""
        quota = self.quota
        total_age = self.loop.now - self.total_at
        is_small = quota.burst < quota.limiter_set_size  # an even share is less than a request
        fits = self.fleet_level + units <= quota.burst + TOLERANCE_UNITS
        if quota.is_strict:
            share = max(self._burst_share(), units)
            return fits and self.local_level + units <= share + TOLERANCE_UNITS
        if self._demand_is_moderate() and (
            is_small or total_age < self.loop.settings.total_trust_intervals * quota.interval_length
        ):
            # A retry was rejected elsewhere: by a full bucket where an even share is far below a
            # request, else by full servers.
            return fits and not (is_retry and self.is_unknown())
        if is_small:
            return self._has_quota_by_chance(units, total_age, fits)
        # The whole burst as long as totals come, else this limiter's share of it.
        burst = quota.burst if total_age <= quota.interval_length else self._burst_share()
        return self.local_level + units <= burst + TOLERANCE_UNITS

    def is_unknown(self) -> bool:
        """Returns whether nothing tells if the tenant is beyond its quota.

        That is so for an unseen one whose even share is half of a request or less, if use beyond
        the quota costs something.
        """
        quota = self.quota
        return (
            2 * quota.burst < quota.limiter_set_size
            and self.total_at == NEVER
            and quota.rate > 0
            and not quota.is_excess_free
        )

    def is_over_quota(self) -> bool:
        """Returns whether the tenant asks for more than its quota at all limiters together."""
        return self.requested_rate > self.quota.rate > 0

    def is_idle(self, many_tenants: bool) -> bool:
        """Returns whether the tenant may be forgotten: nothing of what it used counts any more."""
        now = self.loop.now
        intervals = IDLE_INTERVALS_IF_MANY if many_tenants else IDLE_INTERVALS
        return (
            not self.in_flight
            and now - self.updated_at > intervals * self.quota.interval_length
            and self.rate_limit.is_full(now, self.updated_at)
        )

    def _is_rate_limited(self, units: float) -> bool:
        return bool(self.rate_limit.rate) and self.rate_limit.tokens < units

    def _is_concurrency_limited(self) -> bool:
        limit = self.concurrency_limit
        return bool(limit) and self.in_flight >= max(1, limit // self.quota.limiter_set_size)

    def _has_quota_by_chance(self, units: float, total_age: int, fits: bool) -> bool:
        """Returns whether a limiter whose share is less than a request may admit one.

        Rejections with quota left come again, are counted as demand, and reject more. So there is
        room for whatever the other limiters can have admitted since the total, and for one request
        more that they admit meanwhile; else requests are admitted by chance, as many as the quota
        bears.
        """
        quota = self.quota
        others = min(self.requested_rate, quota.rate) * total_age
        if self.fleet_level + others + units + 1 <= quota.burst:
            return True
        is_admitted = quota.is_excess_free or self.loop.random() < quota.rate / self.requested_rate
        return is_admitted and (fits or total_age > 1 / quota.rate)

    def _reject(self, arrival: RequestArrived, replies: AdmissionReplies) -> None:
        quota = self.quota
        units = TOTAL_READ_UNITS
        if quota.is_strict:
            units = max(units, quota.burst / STRICT_TOTAL_READ_BURST)
        age = self.loop.now - self.reported_at
        if age > units / quota.rate and not self.counter_client.waiting:
            self._request_call()
        is_known = self.loop.now - self.total_at <= quota.interval_length
        reason = QUOTA_EXHAUSTED if is_known else QUOTA_PROBABLY_EXHAUSTED
        retry_after = round(min(MAX_RETRY_AFTER, arrival.units / self.share_rate))
        replies.post_rejected(arrival.request_id, retry_after, reason)

    def _demand_is_moderate(self) -> bool:
        return self.requested_rate <= MODERATE_DEMAND * self.quota.rate

    # Settings and the clock.

    def settings_changed(self) -> None:
        """Follows other settings: what was used stays used, so a changed quota is no new burst."""
        self.advance()
        old = self.quota
        self._configure(self.loop.settings.plan(self.key.plan))
        new = self.quota
        if old.rate:
            # With more limiters all shares stay within the rate; the share of limiters that are
            # gone comes with a split.
            limiters = min(1.0, old.limiter_set_size / new.limiter_set_size)
            self.share_rate = self.share_rate * (new.rate / old.rate) * limiters
        else:
            self.share_rate = new.rate / new.limiter_set_size
        self.local_level = min(self.local_level, new.max_level)
        self.fleet_level = min(self.fleet_level, new.max_level)
        if (old.interval_length, old.interval_offset) != (new.interval_length, new.interval_offset):
            self.usage.interval = NEVER  # other intervals; the level of all limiters has their use
        self.advance()

    def _configure(self, plan: QuotaPlan | None) -> None:
        settings = self.loop.settings
        key = self.key
        self.quota = TenantQuota.of_plan(plan, settings, key.limiter_set_size, self.tenant_digest)
        self.concurrency_limit = plan.concurrency_limit if plan else 0
        self.rate_limit.configure(
            plan, settings, self.quota.limiter_set_size, key.limiter_set_start
        )

    def _burst_share(self) -> float:
        """Returns this limiter's share of the burst.

        Strict quotas are shared evenly, as some limiters know of a split later than others.
        """
        quota = self.quota
        if quota.is_strict or not quota.rate:
            share = 1 / quota.limiter_set_size
        else:
            share = min(1.0, self.share_rate / quota.rate)
        return max(quota.min_burst_share, quota.burst * share)

    def advance(self) -> None:
        """Lets the levels and the rate limit follow the clock, and begins a new interval."""
        now = self.loop.now
        elapsed = now - self.updated_at
        quota = self.quota
        self.local_level = max(0.0, self.local_level - self.share_rate * elapsed)
        # without totals the other limiters take their shares
        drained = quota.rate * elapsed / (quota.limiter_set_size if self.lacks_totals else 1)
        self.unused_units += max(0.0, drained - self.fleet_level)
        self.fleet_level = max(0.0, self.fleet_level - drained)
        self.rate_limit.refill(now, self.updated_at)
        self.updated_at = now
        interval = quota.interval(now)
        if interval != self.usage.interval:
            self._start_interval(interval)

    def _start_interval(self, interval: int) -> None:
        usage = self.usage
        if (
            interval <= usage.interval + 1
            and usage.unreported_units
            and self.counter_client.try_acquire()
        ):
            self._report(usage.interval)
        usage.start_interval(interval)
        trust = min(SPLIT_LIFETIME_INTERVALS, self.loop.settings.total_trust_intervals)
        if self.loop.now - self.split_at > trust * self.quota.interval_length:
            self.share_rate = self.quota.rate / self.quota.limiter_set_size

    # Reports to the counter.

    def post_report(self) -> None:
        """Posts the message that a call may be made now."""
        self.post(self.report_usage)

    def report_usage(self) -> None:
        """Adds what is not yet reported to the running interval, and reads its total."""
        self.advance()
        self.reported_at = self.loop.now
        self._report(self.usage.interval)

    def interval_ended(self) -> None:
        """Reads the last interval's total, when every limiter's last report has come or failed."""
        self.advance()
        self.is_timer_set = False
        client = self.counter_client
        has_turn = self.quota.is_strict or not client.waiting
        if self.usage.previous.own and has_turn and client.try_acquire():
            client.post(client.call, self, self.usage.interval - 1, 0.0)

    def _request_call(self) -> None:
        self.counter_client.post(self.counter_client.request_call, self)

    def _report(self, interval: int) -> None:
        amount = self.usage.take_amount(self.quota.attempt_factor)
        self.counter_client.post(self.counter_client.call, self, interval, amount)

    def _set_timer(self) -> None:
        """Sets a timer past the interval's end, by when every limiter's last call has ended."""
        quota = self.quota
        left = quota.interval_length - (self.loop.now + quota.interval_offset) % (
            quota.interval_length
        )
        delay = min(left, MAX_TIMER_TICKS) + self.loop.settings.counter_timeout + 1
        self.is_timer_set = True
        self.loop.actions.append(SetTimer(delay, self.tenant_digest))

    # Totals from the counter, or what stands in for them.

    def post_reply(self, interval: int, amount: float, reply: CounterReplied) -> None:
        """Posts the message that a call for an interval was replied to."""
        self.post(self.counter_replied, interval, amount, reply)

    def counter_replied(self, interval: int, amount: float, reply: CounterReplied) -> None:
        """Follows a total, or notes that there is none."""
        self.advance()
        if reply.outcome is Outcome.SUCCEEDED:
            self._total_came(interval, amount, reply.total)
            return
        quota = self.quota
        if quota.is_strict:  # others may know nothing of the last split
            self.share_rate = min(self.share_rate, quota.rate / quota.limiter_set_size)
            self.lacks_totals = True
        # a call without a response may have been added: it is not repeated
        if reply.outcome is not Outcome.NO_RESPONSE and interval == self.usage.interval:
            self.usage.restore(amount, quota.attempt_factor)

    def total_updated(self, event: TenantTotalUpdated) -> None:
        """Follows a total that the counter pushed."""
        self.advance()
        if event.counter_name & INTERVAL_MASK == self.usage.interval & INTERVAL_MASK:
            self._total_came(self.usage.interval, 0.0, event.total)

    def usage_metered(self, percent: int) -> None:
        """Follows a server's metering of the last period, where no totals come."""
        self.advance()
        quota = self.quota
        period = self.loop.settings.metering_period
        if not quota.rate or self.loop.now - self.metered_at < period:
            return
        self.metered_at = self.loop.now
        weight = min(1.0, period / quota.interval_length)
        self.metered_units += (percent / 100 * quota.burst - self.metered_units) * weight
        if self.counter_client.failures_in_a_row >= COUNTER_DOWN_FAILURES:
            own = min(self.usage.previous.own, self.metered_units)
            self.split(own, self.metered_units)
            self.requested_rate = self.metered_units / quota.interval_length
            self.total_at = self.loop.now - 2 * quota.interval_length

    def _total_came(self, interval: int, amount: float, count: float) -> None:
        quota = self.quota
        report = self.usage
        amount %= quota.attempt_factor
        total = count % quota.attempt_factor
        if interval == report.interval:
            report.current.confirmed += amount
        usage = report.usage_for(interval)
        if usage is None:
            return
        if not report.is_consistent(usage, total):
            # no limiter's share may grow by counts that were lost
            report.current.is_lost = report.current.is_lost or interval == report.interval
            return
        others = max(usage.others, total - usage.own)
        self._set_levels(usage, others)
        if self.lacks_totals:  # the last interval may have use of others from meanwhile
            self.post(self.interval_ended)
        self.total_at = self.loop.now
        self.lacks_totals = False
        self._set_requested_rate(interval, count // quota.attempt_factor)
        report.store_total(interval, usage, others)
        if interval != report.interval and not amount:  # a read after the interval's end
            self.split(usage.own, max(total, usage.own))

    def _set_levels(self, usage: IntervalUsage, others: float) -> None:
        """Brings the levels up to date with the use of the other limiters."""
        quota = self.quota
        limiters = quota.limiter_set_size
        # Strict quotas: half of what refilled unused was the others' use. All of it was if they
        # came evenly, none if they all came just now.
        drained = min(self.unused_units / 2, others - usage.others) if quota.is_strict else 0.0
        level = self.fleet_level + others - usage.others - drained
        self.fleet_level = min(quota.max_level, level)
        self.unused_units = 0.0
        if quota.is_strict:
            # an even share of what the total left, less the own use that it does not hold
            current = self.usage.current
            unconfirmed = min(self.fleet_level, current.own - current.confirmed)
            share = (self.fleet_level - unconfirmed) / limiters
            self.local_level = unconfirmed + min(share, self._burst_share() - quota.min_burst_share)
        elif self._demand_is_moderate():
            self.local_level = self.fleet_level
        else:
            # an even share of what is left, or all limiters would take the one unit that refills
            share_level = quota.burst - (quota.burst - self.fleet_level) / limiters
            self.local_level = max(self.fleet_level, min(self.local_level, share_level))

    def _set_requested_rate(self, interval: int, requests: float) -> None:
        """Smooths the rate that is asked for by the requests counted in an interval."""
        quota = self.quota
        length = quota.interval_length
        span = length
        if interval == self.usage.interval:
            span = (self.loop.now + quota.interval_offset) % length
        is_known = bool(self.requested_rate)
        known_span = length / (KNOWN_DEMAND_INTERVALS if is_known else UNKNOWN_DEMAND_INTERVALS)
        known_rate = self.requested_rate or quota.rate / 2
        requested = requests - 0.5 + known_rate * known_span
        self.requested_rate = max(0.0, requested / (span + known_span))

    def split(self, own: float, total: float) -> None:
        """Sets this limiter's share of the rate by the use of one interval; see `TenantQuota`."""
        self.share_rate = self.quota.split(own, total)
        self.split_at = self.loop.now
