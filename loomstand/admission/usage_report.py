"""What a limiter knows of a tenant's use by counting interval, and what it has not yet reported.

Each interval of a tenant has a count of its own in the shared counter. It holds the units that all
limiters admitted, and above them the number of requests that were asked for. Pure.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_REPORTED_REQUESTS = 99  # in one call
# Sums of floats in the counter differ by less than this from the same sums here.
TOLERANCE_UNITS = 1e-6


@dataclass(slots=True)
class IntervalUsage:
    """A tenant's use in one interval.

    Attributes:
        own: Units admitted here.
        confirmed: Units admitted here that the counter surely has.
        others: Units admitted by other limiters, by the last total.
        is_lost: Whether totals can't be used, because the counter lost counts or the interval was
            not followed from its start.
    """

    own: float = 0.0
    confirmed: float = 0.0
    others: float = 0.0
    is_lost: bool = False


class UsageReport:
    """A tenant's use in the current interval and the one before, and what is not yet reported.

    Attributes:
        interval: Number of the current interval.
        current: Use in it.
        previous: Use in the interval before.
        unreported_units: Units admitted that no call has reported.
        unreported_requests: Requests asked for, admitted or not, that no call has reported.
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
        """Goes on to another interval; what is not reported yet is reported with that one."""
        follows = interval <= self.interval + 1
        self.previous = self.current if follows else IntervalUsage(is_lost=True)
        self.current = IntervalUsage(own=self.unreported_units)
        self.interval = interval

    def take_amount(self, attempt_factor: int) -> float:
        """Returns the amount that reports all that is not reported yet, and marks it reported."""
        requests = min(MAX_REPORTED_REQUESTS, self.unreported_requests)
        amount = self.unreported_units + attempt_factor * requests
        self.unreported_units = 0.0
        self.unreported_requests = 0
        return amount

    def restore(self, amount: float, attempt_factor: int) -> None:
        """Marks an amount as not reported: the call surely did not add it."""
        self.unreported_requests += int(amount // attempt_factor)
        self.unreported_units += amount % attempt_factor

    def usage_for(self, interval: int) -> IntervalUsage | None:
        """Returns the use to compare a total of an interval with; None for other intervals."""
        if interval == self.interval:
            current = self.current
            reported = current.own - self.unreported_units
            return IntervalUsage(reported, current.confirmed, current.others, current.is_lost)
        return self.previous if interval == self.interval - 1 else None

    def store_total(self, interval: int, usage: IntervalUsage, others: float) -> None:
        """Keeps what a total stated of the other limiters' use."""
        if interval == self.interval:
            self.current.others = others
        else:
            self.previous = IntervalUsage(usage.own, usage.confirmed, others)

    def is_consistent(self, usage: IntervalUsage, total: float) -> bool:
        """Returns whether a total holds all that it must hold; if not, the counter lost counts."""
        return not (
            usage.is_lost
            or total < usage.confirmed - TOLERANCE_UNITS
            or total < usage.others - TOLERANCE_UNITS
        )
