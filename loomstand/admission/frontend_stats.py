"""What is known of a request class's answers from a service. Pure; nothing decides."""

from __future__ import annotations

from loomstand.admission.histogram import Histogram
from loomstand.admission.settings import Frontend

DURATIONS = 400  # some ten seconds of answers, enough for a tail of two in a hundred
UNQUEUED_DURATIONS = 100
WORK_QUANTILE = 0.25


class FrontendStats:
    """A request class, and the durations of its answers.

    Attributes:
        frontend: The request class.
        durations: All of them.
        unqueued_durations: Those that came while the window was at its least: work, no waiting.
    """

    def __init__(self, frontend: Frontend) -> None:
        self.frontend = frontend
        self.durations = Histogram(DURATIONS)
        self.unqueued_durations = Histogram(UNQUEUED_DURATIONS)

    def work(self) -> float:
        """Returns what the work of a request takes, without waiting."""
        queued = self.durations.quantile(WORK_QUANTILE, 0)
        return min(self.unqueued_durations.quantile(WORK_QUANTILE, 0), queued)
