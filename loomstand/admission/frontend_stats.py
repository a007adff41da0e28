"""Response times of a request class from one service. Pure."""

from __future__ import annotations

from loomstand.admission.histogram import Histogram
from loomstand.admission.settings import Frontend

HISTOGRAM_CAPACITY = 400  # answers, about those of 10 s, enough for the 0.98 quantile
UNQUEUED_HISTOGRAM_CAPACITY = 100
EXECUTION_QUANTILE = 0.25  # low, so that it hardly includes queueing


class FrontendStats:
    """A request class and its response times, in ticks.

    Attributes:
        frontend: The request class.
        durations: Histogram of all response times.
        unqueued_durations: Histogram of response times at the minimum window, without queueing.
    """

    def __init__(self, frontend: Frontend) -> None:
        self.frontend = frontend
        self.durations = Histogram(HISTOGRAM_CAPACITY)
        self.unqueued_durations = Histogram(UNQUEUED_HISTOGRAM_CAPACITY)

    def execution_time(self) -> float:
        """Returns the estimated execution time of a request in ticks, without queueing."""
        with_queueing = self.durations.quantile(EXECUTION_QUANTILE, 0)
        return min(self.unqueued_durations.quantile(EXECUTION_QUANTILE, 0), with_queueing)
