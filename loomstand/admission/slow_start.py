"""How much this limiter's servers answer: the measure of what one in slow start may get. Pure.

What servers carried lately they can carry.
"""

from __future__ import annotations

from loomstand.admission.histogram import DecayingRate

# (half-life, half-life over ln 2) in ticks: 2 s, 16 s and half a second.
SHORT_TERM = (20_000, 28_854)
LONG_TERM = (160_000, 230_831)
LAST_MOMENT = (5_000, 7_213)


class SuccessRates:
    """Rates of successful answers from all servers in use, in answers a tick."""

    def __init__(self, now: int) -> None:
        self._short_term = DecayingRate(*SHORT_TERM, now)
        self._long_term = DecayingRate(*LONG_TERM, now)
        self._last_moment = DecayingRate(*LAST_MOMENT, now)

    def add(self, successes: int, now: int) -> float:
        """Adds answers that came now, and returns the rate that the servers are known to carry.

        By the short term alone budgets would fall with the requests that are rejected for want of
        budget, and so on.
        """
        short_term = self._short_term.add(successes, now)
        long_term = self._long_term.add(successes, now)
        self._last_moment.add(successes, now)
        return max(short_term, long_term)

    def last_moment(self, now: int) -> float:
        """Returns the rate of the last second."""
        return self._last_moment.add(0, now)
