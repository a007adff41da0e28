"""Whether an answer of the store may still be passed on, at the moment of passing it on.

A process may freeze, or its bytes wait in a socket, after the lease was looked at; meanwhile others
may serve and acknowledge more. So an answer that tells what is committed says for how long nobody
else can serve, and whoever passes it on counts that from when it *asked*: the store looked at its
lease after that. An acknowledgement stays true for good; one that comes later than it was waited
for is no answer all the same, as its asker has gone on. What isn't passed on is no answer (503),
never a verdict on the change.
"""

from __future__ import annotations


def remaining_seconds(
    lease_seconds: float | None, asked_at: float, now: float, timeout_seconds: float
) -> float:
    """Seconds for which an answer may be passed on, 0.0 if it is none any more.

    Args:
        lease_seconds: From the sending of the answer on nobody else can serve for so long; None
            where the answer doesn't say, as of a store of an earlier release: only the time-out
            counts then.
        asked_at: When it was asked for.
        now: The present.
        timeout_seconds: For how long it was waited for.
    """
    valid_seconds = timeout_seconds if lease_seconds is None else lease_seconds
    return max(0.0, asked_at + min(timeout_seconds, float(valid_seconds)) - now)
