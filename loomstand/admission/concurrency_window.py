"""How many attempts at a service's servers may be in flight at once from this limiter. Pure.

The window aims at a short queue over all servers, known from all answers together.
"""

from __future__ import annotations

from typing import NamedTuple

from loomstand.admission.actors import ActorLoop
from loomstand.admission.events import AttemptEnded
from loomstand.admission.frontend_stats import DURATIONS, FrontendStats
from loomstand.admission.histogram import Histogram
from loomstand.admission.outcome import TIMED, Outcome
from loomstand.admission.ticks import TICKS_PER_SECOND

PRIOR_DURATION = 2_000  # ticks: what an answer takes, where none is known
PRIOR_WEIGHT = 4
# Both by all limiters together; five a server are mostly at work, not waiting.
INITIAL_ATTEMPTS_PER_SERVER = 7
MIN_ATTEMPTS_PER_SERVER = 5
# An attempt in flight for so many times what nine in ten answers take is no load of a server.
UNRESPONSIVE_MULTIPLE = 10
UNRESPONSIVE_QUANTILE = 0.9
# Rejections start at this use of the window: above what a limiter of many has in flight by mere
# chance. Requests of tenants that may be beyond their quota are rejected first.
REJECTION_START = 0.6
REJECTION_START_UNKNOWN = 0.45
BEST_VALUE_DECAY = 0.999  # halved in some 700 requests
MIN_WINDOW = 1e-9
# Waiting is judged, not work. Answers are fast or late by how much of the way from the work to the
# latency target they take; work counts as a fifth of the target at least.
FAST_WAITING = 0.375
LATE_WAITING = 0.75
MIN_WORK = 0.2
# A missing response is a single server's fault more often than a full queue's. A rejection counts
# by the square of the mean duration over FAST_MEAN of the target, at most 1: where answers are fast
# a server is throttled or draining, and gets less by its own rejection rate.
NO_RESPONSE_WEIGHT = 0.3
FAST_MEAN = 0.3
MAX_DECREASE = 0.3  # of the window
INCREASE = 0.1  # an attempt for each fast answer: one late answer in ten holds the window
GROWTH_USE = 0.4  # the window only grows while so much of it is used


class Verdict(NamedTuple):
    """What an outcome says of the window.

    Attributes:
        weight: By how much it speaks for a smaller one, from 0 to 1.
        is_fast: Whether it came without waiting.
    """

    weight: float
    is_fast: bool


class ConcurrencyWindow:
    """The window, and the attempts that are in flight.

    Attributes:
        size: Attempts that may be in flight at once.
        in_flight: When each was sent, by request and number of the attempt, the oldest first.
        durations: Of all answers.
        best_value: The best value for its work that a request brought lately.
    """

    def __init__(self, loop: ActorLoop) -> None:
        self.loop = loop
        self.size = 0.0
        self.in_flight: dict[tuple[int, int], int] = {}
        self.durations = Histogram(DURATIONS)
        self.best_value = 1e-9

    def pressure(self, value: float) -> float:
        """Returns the share of the window in use, for a request of a value for its work."""
        self.best_value = max(value, self.best_value * BEST_VALUE_DECAY)
        typical = self.durations.quantile(UNRESPONSIVE_QUANTILE, TICKS_PER_SECOND)
        self._drop_sent_before(self.loop.now - UNRESPONSIVE_MULTIPLE * typical)
        size = self.size + self.loop.settings.window_headroom
        return (len(self.in_flight) + self.loop.random()) / max(MIN_WINDOW, size)

    def admits(self, pressure: float, value: float, is_unknown: bool) -> bool:
        """Returns whether a request is admitted: the fuller the window, the more it must bring."""
        start = REJECTION_START_UNKNOWN if is_unknown else REJECTION_START
        return pressure <= start + (1 - start) * value / self.best_value

    def judge(self, event: AttemptEnded, stats: FrontendStats, min_size: float) -> Verdict:
        """Returns what an outcome says of the window, and learns from its duration."""
        target = stats.frontend.latency_target
        work = max(MIN_WORK * target, stats.work())
        waiting = max(0.0, target - work)
        duration = event.duration
        outcome = event.outcome
        weight = 0.0
        if outcome is Outcome.REJECTED:
            mean = self.durations.mean(target, 1)
            weight = min(1.0, (mean / (FAST_MEAN * target)) ** 2)
        elif outcome is Outcome.NO_RESPONSE:
            weight = NO_RESPONSE_WEIGHT
        elif outcome is Outcome.SUCCEEDED and duration > work + LATE_WAITING * waiting:
            weight = 1.0
        if outcome in TIMED:
            if self.size <= min_size:
                stats.unqueued_durations.add(duration)
            stats.durations.add(duration)
            self.durations.add(duration)
        return Verdict(weight, duration < work + FAST_WAITING * waiting)

    def adjust(self, verdict: Verdict, min_size: float) -> None:
        """Shrinks the window by an outcome's weight, or grows it by a fast answer."""
        if verdict.weight:
            decrease = verdict.weight * min(1.0, MAX_DECREASE * self.size)
            self.size = max(min_size, self.size - decrease)
        elif verdict.is_fast and len(self.in_flight) + 1 >= GROWTH_USE * self.size:
            self.size += INCREASE * min(1.0, self.size)

    def _drop_sent_before(self, reading: float) -> None:
        in_flight = self.in_flight
        while in_flight and next(iter(in_flight.values())) < reading:
            del in_flight[next(iter(in_flight))]
