"""Rates of successful answers, which limit the load of servers in slow start. Pure.

The load that servers handled recently is taken as the load that they can handle.
"""

from __future__ import annotations

from loomstand.admission.histogram import DecayingRate

# (half-life, time constant) in ticks; the half-lives are 2 s, 16 s and 0.5 s.
SHORT_TERM = (20_000, 28_854)
LONG_TERM = (160_000, 230_831)
RECENT_TERM = (5_000, 7_213)


class SuccessRates:
    """Rates of successful answers from all servers in use, in answers per tick."""

    def __init__(self, now: int) -> None:
        self._short_term = DecayingRate(*SHORT_TERM, now)
        self._long_term = DecayingRate(*LONG_TERM, now)
        self._recent = DecayingRate(*RECENT_TERM, now)

    def add(self, successes: int, now: int) -> float:
        """Adds answers that arrived now, and returns the rate that the servers can handle.

        With the short term alone, requests rejected for lack of budget would lower the rate, which
        would lower the budgets further.
        """
        short_term = self._short_term.add(successes, now)
        long_term = self._long_term.add(successes, now)
        self._recent.add(successes, now)
        return max(short_term, long_term)

    def recent_rate(self, now: int) -> float:
        """Returns the rate over about the last second."""
        return self._recent.add(0, now)
