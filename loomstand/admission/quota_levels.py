"""Levels of a tenant's leaky bucket at one limiter, and their update by totals. Pure.

A limiter keeps two levels: its own, drained at its share of the rate, and that of all limiters as
known from the shared counter, drained at the whole rate. `loomstand.admission.tenant_limiter`
decides on admission by them.
"""

from __future__ import annotations

from loomstand.admission.actors import NEVER
from loomstand.admission.quota import SPLIT_LIFETIME_INTERVALS, TenantQuota
from loomstand.admission.settings import EngineSettings
from loomstand.admission.usage_report import IntervalUsage, UsageReport

# A tenant that requests at most this share of its quota is judged by the whole burst.
MODERATE_DEMAND = 0.8
# Smoothing of the request rate: the previous rate has the weight of a measurement over a counting
# interval divided by the first number; the second one applies to the rate assumed before any total.
PRIOR_RATE_DIVISOR = 2
ASSUMED_RATE_DIVISOR = 8


class QuotaLevels:
    """A tenant's usage of its quota, as known to this limiter.

    Attributes:
        quota: The quota.
        usage: Usage by counting interval, and usage not yet reported to the counter.
        share_rate: This limiter's share of the quota's rate, in units per tick.
        local_level: Level of this limiter's own bucket, in units.
        fleet_level: Level of the bucket of all limiters, as known here, in units.
        unused_units: Units that refilled while the bucket of all limiters was empty.
        requested_rate: Units per tick requested at all limiters, admitted or not; 0 if unknown.
        total_at: When the last total arrived, in ticks.
        split_at: When the rate was last split by usage, in ticks.
        updated_at: When the levels were last drained, in ticks.
        lacks_totals: Strict quotas: whether a call failed and no total arrived since.
        metered_units: Units in use according to the servers' metering, smoothed.
        metered_at: When a server's metering was last applied, in ticks.
    """

    __slots__ = (
        "fleet_level",
        "lacks_totals",
        "local_level",
        "metered_at",
        "metered_units",
        "quota",
        "requested_rate",
        "share_rate",
        "split_at",
        "total_at",
        "unused_units",
        "updated_at",
        "usage",
    )

    def __init__(self, quota: TenantQuota, settings: EngineSettings, started_at: int) -> None:
        self.quota = quota
        self.usage = UsageReport()
        self.fleet_level = 0.0
        self.unused_units = 0.0
        self.requested_rate = 0.0
        self.total_at = NEVER
        self.split_at = NEVER
        self.updated_at = started_at
        self.lacks_totals = False
        self.metered_units = 0.0
        self.metered_at = NEVER
        self.share_rate = quota.rate / quota.limiter_set_size  # an even share at first
        share = self.burst_share()
        unavailable = share * (1 - settings.initial_burst_share)
        self.local_level = max(0.0, min(share - 1, unavailable))

    def burst_share(self) -> float:
        """Returns this limiter's share of the burst, in units.

        Strict quotas are shared evenly, as some limiters get a new split later than others.
        """
        quota = self.quota
        if quota.is_strict or not quota.rate:
            share = 1 / quota.limiter_set_size
        else:
            share = min(1.0, self.share_rate / quota.rate)
        return max(quota.min_burst_share, quota.burst * share)

    def demand_is_moderate(self) -> bool:
        """Returns whether the tenant requests well under its quota over all limiters together."""
        return self.requested_rate <= MODERATE_DEMAND * self.quota.rate

    # The clock, requests and settings.

    def drain(self, now: int) -> None:
        """Drains the levels up to a clock reading."""
        elapsed = now - self.updated_at
        quota = self.quota
        self.local_level = max(0.0, self.local_level - self.share_rate * elapsed)
        # without totals, the other limiters are assumed to use their shares
        drained = quota.rate * elapsed / (quota.limiter_set_size if self.lacks_totals else 1)
        self.unused_units += max(0.0, drained - self.fleet_level)
        self.fleet_level = max(0.0, self.fleet_level - drained)
        self.updated_at = now

    def add(self, units: float) -> None:
        """Adds the units of a request that was sent."""
        self.local_level += units
        self.fleet_level = min(self.quota.max_level, self.fleet_level + units)
        self.usage.add(units)

    def start_interval(self, interval: int, now: int, settings: EngineSettings) -> None:
        """Starts another interval; a split that is too old is replaced by even shares."""
        self.usage.start_interval(interval)
        trust = min(SPLIT_LIFETIME_INTERVALS, settings.total_trust_intervals)
        if now - self.split_at > trust * self.quota.interval_length:
            self.share_rate = self.quota.rate / self.quota.limiter_set_size

    def replace_quota(self, new: TenantQuota) -> None:
        """Replaces the quota; the levels are kept, so that a change grants no new burst."""
        old = self.quota
        self.quota = new
        if old.rate:
            # With more limiters the shares shrink, to stay within the rate; the share of removed
            # limiters is redistributed by the next split.
            limiters = min(1.0, old.limiter_set_size / new.limiter_set_size)
            self.share_rate = self.share_rate * (new.rate / old.rate) * limiters
        else:
            self.share_rate = new.rate / new.limiter_set_size
        self.local_level = min(self.local_level, new.max_level)
        self.fleet_level = min(self.fleet_level, new.max_level)
        if (old.interval_length, old.interval_offset) != (new.interval_length, new.interval_offset):
            self.usage.interval = NEVER  # other intervals; fleet_level includes their usage

    # Totals from the counter, or metering by the servers in place of them.

    def call_failed(self, interval: int, amount: float, may_be_added: bool) -> None:
        """Records a failed call; an amount that it certainly did not add is reported again."""
        quota = self.quota
        if quota.is_strict:  # the other limiters may not have the last split
            self.share_rate = min(self.share_rate, quota.rate / quota.limiter_set_size)
            self.lacks_totals = True
        if not may_be_added and interval == self.usage.interval:
            self.usage.restore(amount, quota.attempt_factor)

    def apply_total(self, interval: int, amount: float, count: float, now: int) -> bool:
        """Applies the count of an interval, after a call that added an amount to it.

        Returns:
            Whether the previous interval must be read too: it may include usage at other limiters
            from the time without totals.
        """
        quota = self.quota
        report = self.usage
        amount %= quota.attempt_factor
        total = count % quota.attempt_factor
        if interval == report.interval:
            report.current.confirmed += amount
        usage = report.usage_for(interval)
        if usage is None:
            return False
        if not report.is_consistent(usage, total):
            # lost counts must not increase any limiter's share
            report.current.is_lost = report.current.is_lost or interval == report.interval
            return False
        others = max(usage.others, total - usage.own)
        self._set_levels(usage, others)
        lacked_totals = self.lacks_totals
        self.total_at = now
        self.lacks_totals = False
        self._set_requested_rate(interval, count // quota.attempt_factor, now)
        report.store_total(interval, usage, others)
        if interval != report.interval and not amount:  # a read after the interval's end
            self.split(usage.own, max(total, usage.own), now)
        return lacked_totals

    def split(self, own: float, total: float, now: int) -> None:
        """Sets this limiter's share of the rate by the usage in one interval."""
        self.share_rate = self.quota.split(own, total)
        self.split_at = now

    def apply_metering(self, percent: int, now: int, period: int, is_counter_down: bool) -> None:
        """Applies a server's metering, which replaces totals while the counter is down.

        Args:
            percent: Share of its burst that the tenant used in the last metering period.
            now: The clock reading, in ticks.
            period: The metering period, in ticks.
            is_counter_down: Whether the counter is unavailable.
        """
        quota = self.quota
        if not quota.rate or now - self.metered_at < period:
            return
        self.metered_at = now
        weight = min(1.0, period / quota.interval_length)
        self.metered_units += (percent / 100 * quota.burst - self.metered_units) * weight
        if is_counter_down:
            own = min(self.usage.previous.own, self.metered_units)
            self.split(own, self.metered_units, now)
            self.requested_rate = self.metered_units / quota.interval_length
            # counts as a total that is older than one counting interval
            self.total_at = now - 2 * quota.interval_length

    def _set_levels(self, usage: IntervalUsage, others: float) -> None:
        """Updates the levels with the usage at the other limiters."""
        quota = self.quota
        limiters = quota.limiter_set_size
        # Strict quotas: half of the unused refill is attributed to the other limiters' requests. It
        # would be all of it if these arrived evenly, and none if all arrived just now.
        drained = min(self.unused_units / 2, others - usage.others) if quota.is_strict else 0.0
        level = self.fleet_level + others - usage.others - drained
        self.fleet_level = min(quota.max_level, level)
        self.unused_units = 0.0
        if quota.is_strict:
            # an even share of the total's level, and the own usage that the total does not include
            current = self.usage.current
            unconfirmed = min(self.fleet_level, current.own - current.confirmed)
            share = (self.fleet_level - unconfirmed) / limiters
            self.local_level = unconfirmed + min(share, self.burst_share() - quota.min_burst_share)
        elif self.demand_is_moderate():
            self.local_level = self.fleet_level
        else:
            # an even share of the remaining burst: otherwise all would use the same refilled unit
            share_level = quota.burst - (quota.burst - self.fleet_level) / limiters
            self.local_level = max(self.fleet_level, min(self.local_level, share_level))

    def _set_requested_rate(self, interval: int, requests: float, now: int) -> None:
        """Updates the smoothed request rate with the requests counted in an interval."""
        quota = self.quota
        length = quota.interval_length
        span = length
        if interval == self.usage.interval:
            span = (now + quota.interval_offset) % length
        has_prior_rate = bool(self.requested_rate)
        prior_span = length / (PRIOR_RATE_DIVISOR if has_prior_rate else ASSUMED_RATE_DIVISOR)
        prior_rate = self.requested_rate or quota.rate / 2
        requested = requests - 0.5 + prior_rate * prior_span
        self.requested_rate = max(0.0, requested / (span + prior_span))
