"""Counters: sums by name, which limiters increment.

Pure: the clock's reading is an argument, in seconds.
"""

from __future__ import annotations

# Maximum number of counters: the intervals of 500 tenants in one minute, about 30 MB.
MAX_COUNTERS = 200_000
# Time after the first increment in which totals are marked incomplete, as limiters are still
# resending their sums; those that call often have done so by then. After a failure of the counting
# registry, a tenant above its quota gets closer to the allowed number of requests with a shorter
# time; fewer requests are admitted with a longer one.
INCOMPLETE_SECONDS = 0.7


class Counters:
    """Sums with a retention time requested by the caller.

    Attributes:
        term: Random number that differs for each new set of counters.
        complete_at: Time from which totals are complete; None until the first increment.
        sums: By name, the sum and the time until which it is kept.
    """

    def __init__(self, term: int, is_successor: bool = False) -> None:
        """Starts an empty set of counters.

        Args:
            term: Number of this set of counters.
            is_successor: Whether another registry may have counted before, so that these counters
                lack the sums that limiters haven't resent yet. False if all programs start
                together: limiters then have no totals anyway, and needn't wait longer.
        """
        self.term = term
        self.complete_at: float | None = None if is_successor else 0.0
        self.sums: dict[int, tuple[float, float]] = {}

    def add(self, name: int, step: float, retention_seconds: float, now: float) -> float:
        """Adds `step` to the sum `name`, and keeps the sum for at least `retention_seconds` more.

        At `MAX_COUNTERS` a new sum isn't stored.

        Returns:
            The sum after the addition.
        """
        total, kept_until = self.sums.get(name, (0.0, 0.0))
        total = step if kept_until < now else total + step
        if name in self.sums or len(self.sums) < MAX_COUNTERS:
            self.sums[name] = total, max(kept_until, now + retention_seconds)
        return total

    def is_incomplete(self, now: float) -> bool:
        """Returns whether totals may be too low; the first call starts `INCOMPLETE_SECONDS`."""
        if self.complete_at is None:
            self.complete_at = now + INCOMPLETE_SECONDS
        return now < self.complete_at

    def expire(self, now: float) -> None:
        """Removes the sums whose retention time is over."""
        expired = [name for name, (_, kept_until) in self.sums.items() if kept_until < now]
        for name in expired:
            del self.sums[name]
