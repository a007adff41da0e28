"""Counts of abandoned requests and their attempts."""

from __future__ import annotations

from loomstand.limiter.abandoned_requests import AbandonedRequests


def test_nothing_is_reported_where_no_client_disconnected():
    assert AbandonedRequests().take_report() is None


def test_disconnections_and_attempt_ends_are_counted_separately_and_reported_once():
    counts = AbandonedRequests()
    counts.client_disconnected(attempts_in_flight=1)
    counts.client_disconnected(attempts_in_flight=1)
    counts.client_disconnected(attempts_in_flight=0)
    counts.attempt_ended(was_cancelled=True)
    counts.attempt_ended(was_cancelled=False)
    expected = "clients_disconnected requests=3 attempts=2 cancelled=1 finished=1"
    assert counts.take_report() == expected
    assert counts.take_report() is None


def test_attempts_that_end_after_a_report_are_in_the_next_one():
    counts = AbandonedRequests()
    counts.client_disconnected(attempts_in_flight=1)
    counts.take_report()
    counts.attempt_ended(was_cancelled=False)
    expected = "clients_disconnected requests=0 attempts=0 cancelled=0 finished=1"
    assert counts.take_report() == expected
