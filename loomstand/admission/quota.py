"""A tenant's quota at one limiter, derived from its plan and its set of limiters. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from loomstand.admission.identifiers import ATTEMPT_FACTOR
from loomstand.admission.settings import EngineSettings, QuotaPlan
from loomstand.admission.ticks import TICKS_PER_SECOND

# After this many counting intervals, even shares replace a split of the rate by usage. A quota is
# strict if totals are trusted for a shorter time. All limiters together then stay within it even
# without totals: usage beyond the burst, by concurrent admissions, still counts in the bucket's
# level, and intervals last at least 1 s, as usage reported at an interval's end is seen late.
SPLIT_LIFETIME_INTERVALS = 3
MIN_SHARE_UNITS = 1e-3  # units per interval: a limiter's share of the rate is never 0


class TenantKey(NamedTuple):
    """What an event states about a tenant's quota.

    Attributes:
        plan: Index of the plan.
        limiter_set_size: Number of limiters that get the tenant's requests; 0 for all.
        limiter_set_start: Index of the first limiter of that set.
    """

    plan: int
    limiter_set_size: int
    limiter_set_start: int


@dataclass(slots=True)
class TenantQuota:
    """A tenant's quota, in units and ticks. Never modified; a frozen class is slow to create.

    Attributes:
        limiter_set_size: How many limiters share the quota.
        rate: Units per tick over all limiters; 0 if there is no quota.
        burst: Units that may be admitted at once: the first request's, and those allowed beyond it.
        is_strict: Whether all limiters together stay within the quota even without totals.
        interval_length: Ticks in a counting interval: the time in which the burst refills.
        interval_offset: Ticks by which intervals are shifted, so that not all tenants' coincide.
        is_excess_free: Whether use beyond the quota costs no more than its value.
        max_level: Upper limit of the bucket's level, in units.
        attempt_factor: Factor of the number of requests in a count (`ATTEMPT_FACTOR`).
        min_burst_share: Smallest share of the burst at one limiter, in units. A strict quota leaves
            room for two requests, as requests often arrive in pairs.
    """

    limiter_set_size: int
    rate: float
    burst: float
    is_strict: bool
    interval_length: int
    interval_offset: int
    is_excess_free: bool
    max_level: float
    attempt_factor: int
    min_burst_share: float

    @staticmethod
    def of_plan(
        plan: QuotaPlan | None, settings: EngineSettings, limiter_set_size: int, tenant_digest: int
    ) -> TenantQuota:
        """Returns the quota under a plan; `plan` is None for a tenant without one."""
        limiters = max(1, limiter_set_size or settings.limiter_count)
        rate = plan.rate / TICKS_PER_SECOND if plan else 0.0
        burst = max(plan.burst, 1.0) if plan else 1.0
        is_strict = settings.total_trust_intervals < SPLIT_LIFETIME_INTERVALS
        length = 0
        offset = 0
        if rate:
            length = max(TICKS_PER_SECOND if is_strict else 1, round(burst / rate))
            offset = tenant_digest % length + settings.clock_offset
        return TenantQuota(
            limiter_set_size=limiters,
            rate=rate,
            burst=burst,
            is_strict=is_strict,
            interval_length=length,
            interval_offset=offset,
            is_excess_free=plan is not None and plan.excess_cost <= plan.excess_value,
            max_level=burst + (burst + 2 * limiters) if is_strict else burst,
            attempt_factor=ATTEMPT_FACTOR**2 if is_strict else ATTEMPT_FACTOR,
            min_burst_share=min(2.0 if is_strict else 1.0, burst),
        )

    def interval(self, now: int) -> int:
        """Returns the number of the interval at a clock reading; 0 if there is no quota."""
        return (now + self.interval_offset) // self.interval_length if self.interval_length else 0

    def split(self, own: float, total: float) -> float:
        """Splits the rate by the usage in one interval.

        Under the quota, a limiter's share is its own usage and an even part of the unused rest;
        over it, the shares are in proportion to usage.

        Args:
            own: Units admitted here.
            total: Units admitted by all limiters.

        Returns:
            This limiter's share of the rate, in units per tick.
        """
        limiters = self.limiter_set_size
        quota = self.rate * self.interval_length if self.is_strict else self.burst
        if total < quota:
            share = own + (quota - total) / limiters
        else:
            share = quota * (own + 1) / (total + limiters)
        return max(share, MIN_SHARE_UNITS) / self.interval_length
