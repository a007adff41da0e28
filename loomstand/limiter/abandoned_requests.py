"""Counts requests whose clients disconnected before they received a response. No I/O.

Cancelled attempts are counted separately from those that ended in another way, for instance with a
response that no client received. The log thus shows whether disconnections are detected and whether
cancellations take effect.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class AbandonedRequests:
    """Counts since the last report.

    Attributes:
        requests: Requests whose client disconnected before the response.
        attempts: Attempts of these requests in flight at the disconnection.
        cancelled: Attempts of these requests that ended by cancellation.
        finished: Attempts of these requests that ended in any other way.
    """

    requests: int = 0
    attempts: int = 0
    cancelled: int = 0
    finished: int = 0

    def client_disconnected(self, attempts_in_flight: int) -> None:
        """Counts a request whose client has just disconnected."""
        self.requests += 1
        self.attempts += attempts_in_flight

    def attempt_ended(self, was_cancelled: bool) -> None:
        """Counts the end of an attempt whose request was abandoned."""
        if was_cancelled:
            self.cancelled += 1
        else:
            self.finished += 1

    def take_report(self) -> str | None:
        """Returns the counts as a log line and resets them; None if all are 0."""
        if self == AbandonedRequests():
            return None
        report = (
            f"clients_disconnected requests={self.requests} attempts={self.attempts}"
            f" cancelled={self.cancelled} finished={self.finished}"
        )
        self.requests = self.attempts = self.cancelled = self.finished = 0
        return report
