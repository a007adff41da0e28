"""A limiter's share of a tenant's rate limit: the hard limit that must never be passed. Pure."""

from __future__ import annotations

from loomstand.admission.settings import EngineSettings, QuotaPlan
from loomstand.admission.ticks import TICKS_PER_SECOND


class RateLimitBucket:
    """A token bucket that is filled a whole unit at a time, in turn with the other limiters'.

    Shares that trickle to all limiters at once hold no whole unit for long after a start. It is
    empty when the limiter starts, which may have spent its share just before.

    Attributes:
        rate: Units a tick over all limiters; 0 if there is no rate limit.
        burst: This limiter's share of the burst, in units.
        unit: Units that a turn brings: the rate limit's slack lets the limiters be that far ahead.
        tokens: Units that may be admitted now.
    """

    __slots__ = ("burst", "limiters", "position", "rate", "tokens", "unit")

    def __init__(self) -> None:
        self.tokens = 0.0

    def configure(
        self, plan: QuotaPlan | None, settings: EngineSettings, limiters: int, set_start: int
    ) -> None:
        """Sets the figures that follow from the plan and the `limiters` of the tenant's set."""
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
        """Returns all units that ever came to this limiter by a clock reading."""
        if not self.unit:
            return now * self.rate / self.limiters
        turns = (now * self.rate / self.unit - self.position) // self.limiters
        return self.unit * turns

    def capacity(self, now: int) -> float:
        """Returns the most units that this limiter may hold.

        Where its share of the burst is less than the unit of its turn, it holds that unit until so
        many turns of the others have come that all units held would be more than the burst.
        """
        if self.burst >= self.unit or not self.unit:
            return self.burst
        turns_since_own = (now * self.rate / self.unit - self.position) % self.limiters
        held_by_all = (turns_since_own + 1) * self.unit
        return self.unit if held_by_all <= self.burst * self.limiters else 0.0

    def refill(self, now: int, since: int) -> None:
        """Adds what came since a clock reading."""
        if self.rate:
            earned = self.tokens + self.earned(now) - self.earned(since)
            self.tokens = min(self.capacity(now), earned)

    def take(self, units: float) -> None:
        """Takes the units of an admitted request."""
        self.tokens = self.tokens - units if self.rate else 0.0

    def is_full(self, now: int, since: int) -> bool:
        """Returns whether it would be full, with what came since a clock reading."""
        earned = self.earned(now) - self.earned(since) if self.rate else 0.0
        return self.tokens + earned >= max(self.burst, self.unit)
