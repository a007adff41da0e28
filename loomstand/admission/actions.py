"""Actions that the decision engine asks its caller to carry out. Pure.

Times are in ticks. Like events, actions are never modified after creation; they are not frozen
dataclasses because these take five times as long to create.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

# Reasons of a `Reject`, as they are counted and logged. The proxy answers 429 to the first three
# and 503 to the others.
QUOTA_EXHAUSTED: Final = "full count"
QUOTA_PROBABLY_EXHAUSTED: Final = "old total"  # judged by a total older than a counting interval
RATE_LIMITED: Final = "ceiling"
EXPIRED: Final = "too old"
OVERLOADED: Final = "servers full"
ATTEMPTS_EXHAUSTED: Final = "given up"


@dataclass(slots=True)
class SendAttempt:
    """Send the request to a server.

    Attributes:
        request_id: The request.
        endpoint_id: The server.
        expires_at: Clock reading at which the attempt ends with `Outcome.NO_RESPONSE`.
    """

    request_id: int
    endpoint_id: int
    expires_at: int


@dataclass(slots=True)
class Reject:
    """Final answer: rejected. The client may safely send the request again.

    Attributes:
        request_id: The request.
        retry_after: Ticks after which the client should retry; 0 if not stated.
        reason: One of this module's reasons.
    """

    request_id: int
    retry_after: int = 0
    reason: str = ""


@dataclass(slots=True)
class Abort:
    """Final answer: failed. The request may have been executed.

    Attributes:
        request_id: The request.
    """

    request_id: int


@dataclass(slots=True)
class CancelAttempt:
    """Stop waiting for an attempt, and close its connection.

    Attributes:
        request_id: The request.
        attempt: Number of the attempt, from 0.
    """

    request_id: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Send a `TimerFired` later.

    Attributes:
        delay: Ticks until it is sent.
        tag: The tag to send it with.
    """

    delay: int
    tag: int


@dataclass(slots=True)
class IncrementCounter:
    """Add to a named count that all limiters share, and get its total.

    Attributes:
        counter_name: The count's name.
        amount: What to add; 0 to read the total only.
        time_to_live: How long after its last use the count is kept, in ticks.
    """

    counter_name: int
    amount: float
    time_to_live: int


@dataclass(slots=True)
class CheckHealth:
    """Check a server's health. Not used by the engine today.

    Attributes:
        endpoint_id: The server.
    """

    endpoint_id: int


@dataclass(slots=True)
class LogMessage:
    """Write a line to the log.

    Attributes:
        text: The line.
    """

    text: str


Action = (
    SendAttempt
    | Reject
    | Abort
    | CancelAttempt
    | SetTimer
    | IncrementCounter
    | CheckHealth
    | LogMessage
)
