"""How long a connection may have been idle to carry a request that must not run twice.

A server may drop idle connections without notice, many at once. What is sent on one of them then
is reset, and nobody knows for sure that it didn't run: an idempotent request is retried on a new
connection, another one is lost. Pure: a reading of a steady clock in seconds is given.
"""

from __future__ import annotations

from math import inf

# A machine that dropped a connection resets it within a round trip, some 3 ms between zones, or
# later on a busy core; a request that ran takes longer.
RESET_WITHIN_SECONDS = 0.03
# Of the idle time after which a connection was lost, the share that is trusted from then on: the
# first one to be lost was idle longer than need be.
TRUSTED_IDLE_SHARE = 0.5
# For how long a loss counts: such times last some six seconds, and a new connection costs little.
MEMORY_SECONDS = 8.0


class StaleConnections:
    """The losses of idle connections, by service.

    Attributes:
        trusted_idle: By service, the trusted idle time and until when it holds.
    """

    def __init__(self) -> None:
        self.trusted_idle: dict[str, tuple[float, float]] = {}

    def record_loss(
        self, service: str, idle_seconds: float, seconds_to_loss: float, now: float
    ) -> None:
        """Records that a reused connection was lost.

        Args:
            service: Service of the server.
            idle_seconds: For how long the connection had been idle when the request was sent.
            seconds_to_loss: Time from the sending to the loss.
            now: A reading of the steady clock.
        """
        if seconds_to_loss <= RESET_WITHIN_SECONDS:
            trusted = min(self.max_idle_seconds(service, now), TRUSTED_IDLE_SHARE * idle_seconds)
            self.trusted_idle[service] = (trusted, now + MEMORY_SECONDS)

    def max_idle_seconds(self, service: str, now: float) -> float:
        """Returns for how long a connection may have been idle; infinite if none was lost."""
        trusted, until = self.trusted_idle.get(service, (inf, -inf))
        return trusted if now < until else inf
