"""The levels of a tenant's smoothed bucket at one limiter, and how totals bring them up to date.

A limiter keeps two levels: its own, drained at its share of the rate, and that of all limiters as
far as it is known from the shared counter, drained at the whole rate. Who is admitted by them is
decided in `loomstand.admission.tenant_limiter`. Pure.
"""

from __future__ import annotations

from loomstand.admission.actors import NEVER
from loomstand.admission.quota import SPLIT_LIFETIME_INTERVALS, TenantQuota
from loomstand.admission.settings import EngineSettings
from loomstand.admission.usage_report import IntervalUsage, UsageReport

# A tenant that asks for less than this share of its quota is judged by the whole burst.
MODERATE_DEMAND = 0.8
# Weight, in parts of an interval, of the rate that was requested so far beside a new total's.
KNOWN_DEMAND_DIVISOR = 2
UNKNOWN_DEMAND_DIVISOR = 8


class QuotaLevels:
    """A tenant's use of its quota, as far as this limiter knows it.

    Attributes:
        quota: The quota.
        usage: Use by counting interval, and what is not reported to the counter yet.
        share_rate: This limiter's share of the quota's rate, in units a tick.
        local_level: Level of this limiter's own bucket, in units.
        fleet_level: Level of the bucket of all limiters, as far as known, in units.
        unused_units: Units that refilled while the bucket of all limiters was empty.
        requested_rate: Units a tick asked of all limiters, admitted or not; 0 if not known.
        total_at: When the last total came.
        split_at: When the rate was last split by use.
        updated_at: When the levels last followed the clock.
        lacks_totals: Strict quotas: whether a call failed and no total came since.
        metered_units: Units in use by the servers' metering, smoothed.
        metered_at: When a server last stated them.
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
        self.share_rate = quota.rate / quota.limiter_set_size  # an even one at first
        share = self.burst_share()
        unavailable = share * (1 - settings.initial_burst_share)
        self.local_level = max(0.0, min(share - 1, unavailable))

    def burst_share(self) -> float:
        """Returns this limiter's share of the burst, in units.

        Strict quotas are shared evenly, as some limiters know of a split later than others.
        """
        quota = self.quota
        if quota.is_strict or not quota.rate:
            share = 1 / quota.limiter_set_size
        else:
            share = min(1.0, self.share_rate / quota.rate)
        return max(quota.min_burst_share, quota.burst * share)

    def demand_is_moderate(self) -> bool:
        """Returns whether the tenant asks for well under its quota at all limiters together."""
        return self.requested_rate <= MODERATE_DEMAND * self.quota.rate

    # The clock, requests and settings.

    def drain(self, now: int) -> None:
        """Lets the levels follow the clock."""
        elapsed = now - self.updated_at
        quota = self.quota
        self.local_level = max(0.0, self.local_level - self.share_rate * elapsed)
        # without totals the other limiters take their shares
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
        """Goes on to another interval; a split that is too old is replaced by even shares."""
        self.usage.start_interval(interval)
        trust = min(SPLIT_LIFETIME_INTERVALS, settings.total_trust_intervals)
        if now - self.split_at > trust * self.quota.interval_length:
            self.share_rate = self.quota.rate / self.quota.limiter_set_size

    def replace_quota(self, new: TenantQuota) -> None:
        """Follows another quota: what was used stays used, so that it is no new burst."""
        old = self.quota
        self.quota = new
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

    # Totals from the counter, or what stands in for them.

    def call_failed(self, interval: int, amount: float, may_be_added: bool) -> None:
        """Notes that a call brought no total; what it surely did not add is reported again."""
        quota = self.quota
        if quota.is_strict:  # others may know nothing of the last split
            self.share_rate = min(self.share_rate, quota.rate / quota.limiter_set_size)
            self.lacks_totals = True
        if not may_be_added and interval == self.usage.interval:
            self.usage.restore(amount, quota.attempt_factor)

    def total_came(self, interval: int, amount: float, count: float, now: int) -> bool:
        """Follows the count of an interval, after a call that added an amount to it.

        Returns:
            Whether the interval before is to be read too: it may have use of others from while
            there were no totals.
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
            # no limiter's share may grow by counts that were lost
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
        """Sets this limiter's share of the rate by the use of one interval."""
        self.share_rate = self.quota.split(own, total)
        self.split_at = now

    def metered(self, percent: int, now: int, period: int, is_counter_down: bool) -> None:
        """Follows a server's metering of the last period, where no totals come."""
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
            self.total_at = now - 2 * quota.interval_length

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
            self.local_level = unconfirmed + min(share, self.burst_share() - quota.min_burst_share)
        elif self.demand_is_moderate():
            self.local_level = self.fleet_level
        else:
            # an even share of what is left, or all limiters would take the one unit that refills
            share_level = quota.burst - (quota.burst - self.fleet_level) / limiters
            self.local_level = max(self.fleet_level, min(self.local_level, share_level))

    def _set_requested_rate(self, interval: int, requests: float, now: int) -> None:
        """Smooths the rate that is asked for by the requests counted in an interval."""
        quota = self.quota
        length = quota.interval_length
        span = length
        if interval == self.usage.interval:
            span = (now + quota.interval_offset) % length
        is_known = bool(self.requested_rate)
        known_span = length / (KNOWN_DEMAND_DIVISOR if is_known else UNKNOWN_DEMAND_DIVISOR)
        known_rate = self.requested_rate or quota.rate / 2
        requested = requests - 0.5 + known_rate * known_span
        self.requested_rate = max(0.0, requested / (span + known_span))
