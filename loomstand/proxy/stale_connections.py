"""Which kept connections may carry a request that must not run twice. Pure: the clock is given.

Servers may forget idle connections without a word, many at once; what is sent on one then is reset,
and nobody knows for sure that it didn't run. A repeatable request goes on by a new connection;
another is lost.
"""

from __future__ import annotations

from math import inf

# A machine that forgot a connection resets it within a round trip, some 3 ms between zones, or it
# waits its turn on a busy core; a request that ran takes longer.
QUICK = 0.03
# of the idle time after which one broke: the first that does was idle longer than need be
SHARE = 0.5
# seconds for which that counts: such times last some six, and a new connection costs little
MEMORY = 8.0


class StaleConnections:
    """What was seen of forgotten connections, by service."""

    def __init__(self) -> None:
        self.seen: dict[str, tuple[float, float]] = {}

    def broke(self, service: str, idle: float, after: float, now: float) -> None:
        """A kept connection broke `after` seconds from the sending, having been idle for `idle`."""
        if after <= QUICK:
            self.seen[service] = min(self.trusted(service, now), SHARE * idle), now + MEMORY

    def trusted(self, service: str, now: float) -> float:
        """Seconds for which a connection may have been idle."""
        age, until = self.seen.get(service, (inf, -inf))
        return age if now < until else inf
