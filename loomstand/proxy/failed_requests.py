"""Counts the failures that a proxy answers itself, and what may have led to them. No I/O.

A server may still be at work on a request that the proxy answers with 502 or 504. The counts show
whether its attempt had timed out early, and how far deadlines were moved forward because the event
loop had been late.
"""

from __future__ import annotations

from dataclasses import dataclass

from loomstand.admission.ticks import TICKS_PER_MILLISECOND


@dataclass(slots=True)
class FailedRequests:
    """Counts since the last report.

    Attributes:
        bad_gateway: Requests answered with a 502 of the proxy's own.
        gateway_timeout: Requests answered with a 504 of the proxy's own.
        attempts_timed_out: Attempts without a response at their time-out, before the deadline of
            their request.
        deadline_advance_ticks: Longest time by which a deadline was moved forward because the event
            loop had been late.
    """

    bad_gateway: int = 0
    gateway_timeout: int = 0
    attempts_timed_out: int = 0
    deadline_advance_ticks: int = 0

    def answered(self, is_past_deadline: bool) -> None:
        """Counts a request answered with a failure, 504 if its deadline has passed, else 502."""
        if is_past_deadline:
            self.gateway_timeout += 1
        else:
            self.bad_gateway += 1

    def deadline_advanced(self, ticks: int) -> None:
        """Records by how much the deadline of a request was moved forward."""
        self.deadline_advance_ticks = max(self.deadline_advance_ticks, ticks)

    def take_report(self) -> str | None:
        """Returns the counts as a log line and resets them; None if nothing failed."""
        report = None
        if self.bad_gateway or self.gateway_timeout or self.attempts_timed_out:
            advance_ms = self.deadline_advance_ticks // TICKS_PER_MILLISECOND
            report = (
                f"requests_failed bad_gateway={self.bad_gateway}"
                f" gateway_timeout={self.gateway_timeout}"
                f" attempts_timed_out={self.attempts_timed_out}"
                f" deadline_advance_ms={advance_ms}"
            )
        self.bad_gateway = self.gateway_timeout = self.attempts_timed_out = 0
        self.deadline_advance_ticks = 0
        return report
