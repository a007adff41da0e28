"""The remaining validity of a store's answer, checked when the answer is passed on.

A process may freeze, or its bytes may wait in a socket, after it checked the lease; another primary
may then serve and acknowledge newer changes. So an answer with the committed configuration carries
the remaining seconds of the lease, during which no other member can serve. The receiver counts
these from the time of its *request*, as the store checked its lease after that. An acknowledgement
doesn't become invalid, but one that arrives after the timeout is dropped too, as its caller has
given up. A dropped answer becomes 503, never a verdict on the change.
"""

from __future__ import annotations


def remaining_seconds(
    lease_seconds: float | None, asked_at: float, now: float, timeout_seconds: float
) -> float:
    """Seconds for which an answer may still be passed on, 0.0 if it has expired.

    Args:
        lease_seconds: Remaining seconds of the store's lease when it sent the answer; None if the
            answer lacks it, as from a store of an earlier release: then only the timeout counts.
        asked_at: When the request was sent.
        now: The current time.
        timeout_seconds: The timeout of the request.
    """
    valid_seconds = timeout_seconds if lease_seconds is None else lease_seconds
    return max(0.0, asked_at + min(timeout_seconds, float(valid_seconds)) - now)
