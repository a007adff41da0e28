"""Adaptive limit on the attempts that this limiter has in flight at a service's servers. Pure.

The window aims at a short queue at the servers, measured by the response times of all of them.
"""

from __future__ import annotations

from typing import NamedTuple

from loomstand.admission.actors import ActorLoop
from loomstand.admission.events import AttemptEnded
from loomstand.admission.frontend_stats import HISTOGRAM_CAPACITY, FrontendStats
from loomstand.admission.histogram import Histogram
from loomstand.admission.outcome import TIMED, Outcome
from loomstand.admission.ticks import TICKS_PER_SECOND

PRIOR_DURATION = 2_000  # ticks: assumed response time before any is measured
PRIOR_WEIGHT = 4  # answers that the assumed response time counts as
# Attempts of all limiters together. With 5 at a server, most are executing and few are queued.
INITIAL_ATTEMPTS_PER_SERVER = 7
MIN_ATTEMPTS_PER_SERVER = 5
# An attempt in flight longer than this multiple of this duration quantile doesn't count as load.
UNRESPONSIVE_MULTIPLE = 10
UNRESPONSIVE_QUANTILE = 0.9
# Share of the window in use at which rejections start: higher than random variation alone reaches
# at one of many limiters. Requests of tenants that may be over their quota are rejected first.
REJECTION_START = 0.6
REJECTION_START_UNKNOWN = 0.45
BEST_VALUE_DECAY = 0.999  # per request: halved after about 700 requests
MIN_WINDOW = 1e-9  # prevents division by zero
# An answer is fast or late by its queueing time as a share of the longest one within the latency
# target: the target less the execution time, which counts as at least a fifth of the target.
FAST_WAITING_SHARE = 0.375
LATE_WAITING_SHARE = 0.75
MIN_EXECUTION_SHARE = 0.2
# A missing response is caused by a single server more often than by a full queue. A rejection has
# the weight (mean duration / (FAST_MEAN_SHARE * target)) ** 2, at most 1: if answers are fast, the
# server is throttled or draining, and its own rejection rate lowers its load.
NO_RESPONSE_WEIGHT = 0.3
FAST_MEAN_SHARE = 0.3
MAX_DECREASE_SHARE = 0.3  # of the window: largest decrease, which is never more than 1 attempt
INCREASE = 0.1  # attempts per fast answer: one late answer in ten keeps the window constant
MIN_GROWTH_USE = 0.4  # the window only grows while at least this share of it is in use


class QueueSignal(NamedTuple):
    """What an attempt's outcome indicates about the queue at the servers.

    Attributes:
        weight: Strength of the indication of congestion, from 0 to 1.
        is_fast: Whether the duration shows little queueing.
    """

    weight: float
    is_fast: bool


class ConcurrencyWindow:
    """The window and the attempts in flight.

    Attributes:
        size: Attempts that may be in flight at once.
        in_flight: When each attempt was sent, by request and attempt number, the oldest first.
        durations: Histogram of the response times of all answers, in ticks.
        best_value: Highest recent value of a request per tick of its expected duration, decaying.
    """

    def __init__(self, loop: ActorLoop) -> None:
        self.loop = loop
        self.size = 0.0
        self.in_flight: dict[tuple[int, int], int] = {}
        self.durations = Histogram(HISTOGRAM_CAPACITY)
        self.best_value = 1e-9

    def pressure(self, value: float) -> float:
        """Returns the share of the window in use; `value` is a request's, per tick of duration."""
        self.best_value = max(value, self.best_value * BEST_VALUE_DECAY)
        long_duration = self.durations.quantile(UNRESPONSIVE_QUANTILE, TICKS_PER_SECOND)
        self._drop_sent_before(self.loop.now - UNRESPONSIVE_MULTIPLE * long_duration)
        size = self.size + self.loop.settings.window_headroom
        return (len(self.in_flight) + self.loop.random()) / max(MIN_WINDOW, size)

    def admits(self, pressure: float, value: float, is_usage_unknown: bool) -> bool:
        """Returns whether a request is admitted: a fuller window requires a higher value."""
        start = REJECTION_START_UNKNOWN if is_usage_unknown else REJECTION_START
        return pressure <= start + (1 - start) * value / self.best_value

    def evaluate(self, event: AttemptEnded, stats: FrontendStats, min_size: float) -> QueueSignal:
        """Returns an outcome's congestion signal, and records its duration."""
        target = stats.frontend.latency_target
        execution = max(MIN_EXECUTION_SHARE * target, stats.execution_time())
        max_wait = max(0.0, target - execution)
        duration = event.duration
        outcome = event.outcome
        weight = 0.0
        if outcome is Outcome.REJECTED:
            mean = self.durations.mean(target, 1)
            weight = min(1.0, (mean / (FAST_MEAN_SHARE * target)) ** 2)
        elif outcome is Outcome.NO_RESPONSE:
            weight = NO_RESPONSE_WEIGHT
        elif outcome is Outcome.SUCCEEDED and duration > execution + LATE_WAITING_SHARE * max_wait:
            weight = 1.0
        if outcome in TIMED:
            if self.size <= min_size:
                stats.unqueued_durations.add(duration)
            stats.durations.add(duration)
            self.durations.add(duration)
        return QueueSignal(weight, duration < execution + FAST_WAITING_SHARE * max_wait)

    def adjust(self, signal: QueueSignal, min_size: float) -> None:
        """Shrinks the window by a signal's weight, or grows it after a fast answer."""
        if signal.weight:
            decrease = signal.weight * min(1.0, MAX_DECREASE_SHARE * self.size)
            self.size = max(min_size, self.size - decrease)
        elif signal.is_fast and len(self.in_flight) + 1 >= MIN_GROWTH_USE * self.size:
            self.size += INCREASE * min(1.0, self.size)

    def _drop_sent_before(self, time: float) -> None:
        in_flight = self.in_flight
        while in_flight and next(iter(in_flight.values())) < time:
            del in_flight[next(iter(in_flight))]
