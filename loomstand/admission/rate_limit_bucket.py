"""A limiter's share of a tenant's rate limit: the hard limit that must never be exceeded. Pure."""

from __future__ import annotations

from loomstand.admission.settings import EngineSettings, QuotaPlan
from loomstand.admission.ticks import TICKS_PER_SECOND


class RateLimitBucket:
    """A token bucket that is refilled by whole units, in rotation with those of the other limiters.

    With a continuous refill at all limiters, it would take long until any of them held a unit.
    The bucket is empty at the start, because the limiter may have used its share just before.

    Attributes:
        limiters: Number of limiters that share the rate limit.
        position: This limiter's position in their rotation, from 0.
        rate: Units per tick over all limiters; 0 if there is no rate limit.
        burst: This limiter's share of the burst, in units.
        unit: Units added per turn: the slack by which the limit may be exceeded, at most 1.
        tokens: Units that may be admitted now.
    """

    __slots__ = ("burst", "limiters", "position", "rate", "tokens", "unit")

    def __init__(self) -> None:
        self.tokens = 0.0

    def configure(
        self, plan: QuotaPlan | None, settings: EngineSettings, limiters: int, set_start: int
    ) -> None:
        """Sets the parameters for a plan and the set of limiters that get the tenant's requests.

        Args:
            plan: The tenant's plan, or None for no rate limit.
            settings: The settings in force.
            limiters: Number of limiters in the set.
            set_start: Index of the first limiter of the set.
        """
        self.limiters = limiters
        self.position = (
            (settings.limiter_index - set_start) % max(1, settings.limiter_count) % limiters
        )
        self.rate = 0.0
        self.burst = 0.0
        self.unit = 0.0
        if plan and plan.rate_limit:
            self.rate = plan.rate_limit / TICKS_PER_SECOND
            self.burst = plan.rate_limit_burst / limiters
            self.unit = min(1.0, plan.rate_limit_slack)

    def earned(self, now: int) -> float:
        """Returns the units granted to this limiter from clock reading 0 up to `now`."""
        if not self.unit:
            return now * self.rate / self.limiters
        turns = (now * self.rate / self.unit - self.position) // self.limiters
        return self.unit * turns

    def capacity(self, now: int) -> float:
        """Returns the most units that this limiter may hold.

        If its share of the burst is less than the unit of a turn, the limiter may hold that unit
        for as long as the units of all turns since then fit into the whole burst.
        """
        if self.burst >= self.unit or not self.unit:
            return self.burst
        turns_since_own = (now * self.rate / self.unit - self.position) % self.limiters
        units_since_own = (turns_since_own + 1) * self.unit
        return self.unit if units_since_own <= self.burst * self.limiters else 0.0

    def refill(self, now: int, since: int) -> None:
        """Adds the units granted since a clock reading."""
        if self.rate:
            earned = self.tokens + self.earned(now) - self.earned(since)
            self.tokens = min(self.capacity(now), earned)

    def take(self, units: float) -> None:
        """Takes the units of an admitted request."""
        self.tokens = self.tokens - units if self.rate else 0.0

    def is_full(self, now: int, since: int) -> bool:
        """Returns whether the bucket is full, including the units granted since a clock reading."""
        earned = self.earned(now) - self.earned(since) if self.rate else 0.0
        return self.tokens + earned >= max(self.burst, self.unit)
