"""A tenant's usage by counting interval as known to one limiter, and its unreported part. Pure.

Each interval of a tenant has its own count in the shared counter. The count holds the units that
all limiters admitted and, times a factor, the number of requests whether admitted or not.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_REPORTED_REQUESTS = 99  # per call
# Sums of floats in the counter differ by less than this from the same sums here.
TOLERANCE_UNITS = 1e-6


@dataclass(slots=True)
class IntervalUsage:
    """A tenant's usage in one interval.

    Attributes:
        own: Units admitted here.
        confirmed: Units admitted here that the counter certainly includes.
        others: Units admitted by other limiters, by the last total.
        is_lost: Whether totals can't be used, because the counter lost counts or the interval was
            not followed from its start.
    """

    own: float = 0.0
    confirmed: float = 0.0
    others: float = 0.0
    is_lost: bool = False


class UsageReport:
    """A tenant's usage in the current and the previous interval, and its unreported part.

    Attributes:
        interval: Number of the current interval.
        current: Usage in the current interval.
        previous: Usage in the previous interval.
        unreported_units: Units admitted that no call has reported.
        unreported_requests: Requests, admitted or not, that no call has reported.
    """

    __slots__ = ("current", "interval", "previous", "unreported_requests", "unreported_units")

    def __init__(self) -> None:
        self.interval = 0
        self.current = IntervalUsage()
        self.previous = IntervalUsage()
        self.unreported_units = 0.0
        self.unreported_requests = 0

    def add(self, units: float) -> None:
        """Adds an admitted request's units."""
        self.current.own += units
        self.unreported_units += units

    def start_interval(self, interval: int) -> None:
        """Starts another interval; usage not yet reported is reported with that interval."""
        follows = interval <= self.interval + 1
        self.previous = self.current if follows else IntervalUsage(is_lost=True)
        self.current = IntervalUsage(own=self.unreported_units)
        self.interval = interval

    def take_amount(self, attempt_factor: int) -> float:
        """Returns the amount that reports all unreported usage, and marks it as reported."""
        requests = min(MAX_REPORTED_REQUESTS, self.unreported_requests)
        amount = self.unreported_units + attempt_factor * requests
        self.unreported_units = 0.0
        self.unreported_requests = 0
        return amount

    def restore(self, amount: float, attempt_factor: int) -> None:
        """Marks an amount as unreported: the call certainly did not add it."""
        self.unreported_requests += int(amount // attempt_factor)
        self.unreported_units += amount % attempt_factor

    def usage_for(self, interval: int) -> IntervalUsage | None:
        """Returns the usage to compare an interval's total with; None for older intervals."""
        if interval == self.interval:
            current = self.current
            reported = current.own - self.unreported_units
            return IntervalUsage(reported, current.confirmed, current.others, current.is_lost)
        return self.previous if interval == self.interval - 1 else None

    def store_total(self, interval: int, usage: IntervalUsage, others: float) -> None:
        """Stores the other limiters' usage according to a total."""
        if interval == self.interval:
            self.current.others = others
        else:
            self.previous = IntervalUsage(usage.own, usage.confirmed, others)

    def is_consistent(self, usage: IntervalUsage, total: float) -> bool:
        """Returns whether a total includes all known usage; if not, the counter lost counts."""
        return not (
            usage.is_lost
            or total < usage.confirmed - TOLERANCE_UNITS
            or total < usage.others - TOLERANCE_UNITS
        )
