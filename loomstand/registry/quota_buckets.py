"""Which tenants' buckets are near the brim, as the counting registry sees them: limiters are told
of those.

A limiter learns of the others' use by its own calls, so by its own requests. Where a tenant's
requests are few at each of many limiters, all are blind between two of them, and each lets its next
one in: 75 limiters took one and a third request each beyond a quota that allowed 498 in five
seconds. Pure: the clock is given.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from loomstand.admission.identifiers import ATTEMPT_FACTOR, stable_digest
from loomstand.config.configuration import Tenant

# A bucket is near its brim above this share of its burst. At the usual six tenths of a quota, one
# of a burst of ten requests is there now and then; at a half, what limiters let in before they hear
# of it still fits.
NEAR = 0.5
SLOTS = 15  # the lowest bits of a count's name tell its interval
UNITS = ATTEMPT_FACTOR * ATTEMPT_FACTOR  # a total's lower part is use; above it stand the tries


@dataclass(slots=True)
class Bucket:
    """A tenant's use beyond its rate, over all limiters; `name` and `total` are the running
    interval's.
    """

    rate: float
    burst: float
    level: float = 0.0
    at: float = 0.0
    name: int = 0
    total: float = 0.0
    changed: int = 0

    def add(self, units: float, now: float) -> bool:
        """Whether it is near its brim with this use."""
        self.level = max(0.0, self.level - self.rate * (now - self.at)) + units
        self.at = now
        return self.level > NEAR * self.burst


class QuotaBuckets:
    """All tenants' buckets. `version` grows with each word that limiters need."""

    def __init__(self) -> None:
        self.version = 0
        self.buckets: dict[int, Bucket] = {}

    def learn(self, tenants: Iterable[Tenant]) -> None:
        """Other quotas; what is in the buckets stays."""
        before, self.buckets = self.buckets, {}
        for tenant in tenants:
            if tenant.rate_per_second > 0:
                old = before.get(stable_digest(tenant.name), Bucket(0.0, 0.0))
                old.rate, old.burst = tenant.rate_per_second, max(1.0, tenant.burst_size)
                self.buckets[stable_digest(tenant.name)] = old

    def anew(self) -> None:
        """Counts begin anew: limiters tell again what they added."""
        for bucket in self.buckets.values():
            bucket.level = 0.0

    def counted(self, name: int, step: float, total: float, now: float, whole: bool = True) -> bool:
        """A limiter added to a name. True if all must hear of it: not if totals aren't whole, as
        limiters would take a low one for a counter that forgot.
        """
        bucket = self.buckets.get(name >> SLOTS)
        if bucket is None:
            return False
        # a limiter that only asks is told by the answer; the others know no less than before
        same = (name, total % UNITS) == (bucket.name, bucket.total % UNITS)
        if not bucket.add(step % UNITS, now) or same or not whole:
            return False
        self.version += 1
        bucket.name, bucket.total, bucket.changed = name, total, self.version
        return True

    def news(self, have: int) -> list[list[float]]:
        """The running totals by name, of the tenants that there was a word of after the version
        `have`.
        """
        return [[b.name, b.total] for b in self.buckets.values() if b.changed > have]
