"""Limits the idle time of connections that are reused for non-idempotent requests.

A server may drop idle connections without notice, many at once. A request sent on one of them is
then reset, without proof that it was not executed: an idempotent request is retried on a new
connection, a non-idempotent one is lost. Pure: methods take the time, in seconds of a monotonic
clock, as an argument.
"""

from __future__ import annotations

from math import inf

# Maximum time from sending a request to a reset that is attributed to a connection dropped earlier.
# The server's machine resets such a connection within a round trip, about 3 ms between zones, or
# later if its CPU is busy. Executing a request takes longer.
MAX_RESET_DELAY_SECONDS = 0.03
# Share of the idle time of a lost connection up to which others are still reused. It is less than 1
# because the server may have dropped the first lost connection some time before its reuse.
TRUSTED_IDLE_SHARE = 0.5
# Validity of a recorded loss. Such failures last about 6 s, and a new connection costs little.
LOSS_VALIDITY_SECONDS = 8.0


class StaleConnections:
    """Recorded losses of idle connections, by service.

    Attributes:
        trusted_idle: By service, the trusted idle time in seconds and the time when it expires.
    """

    def __init__(self) -> None:
        self.trusted_idle: dict[str, tuple[float, float]] = {}

    def record_loss(
        self, service: str, idle_seconds: float, seconds_to_loss: float, now: float
    ) -> None:
        """Records that a reused connection was lost.

        Args:
            service: Service of the server.
            idle_seconds: Idle time of the connection when the request was sent.
            seconds_to_loss: Time from sending the request to the loss.
            now: Time of the monotonic clock.
        """
        if seconds_to_loss <= MAX_RESET_DELAY_SECONDS:
            trusted = min(self.max_idle_seconds(service, now), TRUSTED_IDLE_SHARE * idle_seconds)
            self.trusted_idle[service] = (trusted, now + LOSS_VALIDITY_SECONDS)

    def max_idle_seconds(self, service: str, now: float) -> float:
        """Returns the maximum idle time of a connection for reuse; infinite without a loss."""
        trusted, until = self.trusted_idle.get(service, (inf, -inf))
        return trusted if now < until else inf
