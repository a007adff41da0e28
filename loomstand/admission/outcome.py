"""How an attempt at a server, a counter call or a health check can end. Pure."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """How an attempt, a counter call or a health check ended.

    Attributes:
        SUCCEEDED: A complete answer that reports success.
        SERVER_ERROR: A complete answer that reports a failure; the request was executed.
        REJECTED: The other side refused the request and did not execute it.
        NO_RESPONSE: It timed out after the request was sent; the request may have been executed.
        CONNECT_FAILED: No connection was established, so the request was never executed.
        CONNECTION_LOST: The connection broke after the request was sent; it may have been executed.
        CANCELLED: The limiter cancelled it; the request may have been executed.
        NOT_SENT: The limiter could not send the request because of a local failure.
    """

    SUCCEEDED = "succeeded"
    SERVER_ERROR = "server error"
    REJECTED = "rejected"
    NO_RESPONSE = "no response"
    CONNECT_FAILED = "connect failed"
    CONNECTION_LOST = "connection lost"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


# Outcomes that prove that the request was not executed.
NOT_EXECUTED = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})
# Outcomes whose durations count as response times.
TIMED = frozenset({Outcome.SUCCEEDED, Outcome.NO_RESPONSE})
