"""The log line about failures that a proxy answers itself."""

from __future__ import annotations

from loomstand.proxy.failed_requests import FailedRequests


def test_nothing_is_reported_unless_something_failed():
    failures = FailedRequests()
    failures.deadline_advanced(500)
    assert failures.take_report() is None


def test_failures_are_reported_once():
    failures = FailedRequests()
    failures.answered(is_past_deadline=False)
    failures.answered(is_past_deadline=True)
    failures.attempts_timed_out = 3
    failures.deadline_advanced(500)
    failures.deadline_advanced(200)
    expected = (
        "requests_failed bad_gateway=1 gateway_timeout=1 attempts_timed_out=3"
        " deadline_advance_ms=50"
    )
    assert failures.take_report() == expected
    assert failures.take_report() is None
