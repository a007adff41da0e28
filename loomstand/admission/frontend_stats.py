"""Response times of a request class from one service. Pure."""

from __future__ import annotations

from loomstand.admission.histogram import Histogram
from loomstand.admission.settings import Frontend

DURATIONS = 400  # about 10 s of answers, enough for the 0.98 quantile
UNQUEUED_DURATIONS = 100
EXECUTION_QUANTILE = 0.25


class FrontendStats:
    """A request class and its response times, in ticks.

    Attributes:
        frontend: The request class.
        durations: Histogram of all response times.
        unqueued_durations: Histogram of response times at the minimum window, without queueing.
    """

    def __init__(self, frontend: Frontend) -> None:
        self.frontend = frontend
        self.durations = Histogram(DURATIONS)
        self.unqueued_durations = Histogram(UNQUEUED_DURATIONS)

    def execution_time(self) -> float:
        """Returns the estimated execution time of a request in ticks, without queueing."""
        queued = self.durations.quantile(EXECUTION_QUANTILE, 0)
        return min(self.unqueued_durations.quantile(EXECUTION_QUANTILE, 0), queued)
