"""Which tenants are near their limit, as the counting registry sees them: limiters hear of those.

A limiter learns of the others' use by its own calls, so by its own requests. Where a tenant's
requests are few at each of many limiters, all are blind between two of them, and each admits its
next one: 75 limiters took one and a third request each beyond a quota that allowed 498 in five
seconds. Pure: the clock's reading is given, in seconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from loomstand.admission.identifiers import ATTEMPT_FACTOR, stable_digest
from loomstand.config.configuration import Tenant

# A bucket is near its limit above this share of its burst. At the usual six tenths of a quota, a
# bucket of a burst of ten requests is there now and then; at a half, what limiters admit before
# they hear of it still fits.
NEAR_LIMIT_SHARE = 0.5
# The lowest bits of a counter's name tell its interval; above them stands the tenant's digest.
INTERVAL_SLOT_BITS = 15
# A total's lower part, below this, is use; above it stand the attempts.
USAGE_MODULUS = ATTEMPT_FACTOR * ATTEMPT_FACTOR


@dataclass(slots=True)
class UsageBucket:
    """A tenant's use beyond its rate, over all limiters.

    Attributes:
        rate: Requests a second that leak from the bucket.
        burst: Requests that fit into it.
        level: Requests in it.
        updated_at: When `level` was right.
        counter_name: Name of the running interval's counter.
        total: That counter's total when limiters last needed to hear of it.
        changed_at_revision: The table's revision then.
    """

    rate: float
    burst: float
    level: float = 0.0
    updated_at: float = 0.0
    counter_name: int = 0
    total: float = 0.0
    changed_at_revision: int = 0

    def add(self, requests: float, now: float) -> bool:
        """Adds requests.

        Returns:
            Whether the bucket is near its limit with them.
        """
        leaked = self.rate * (now - self.updated_at)
        self.level = max(0.0, self.level - leaked) + requests
        self.updated_at = now
        return self.level > NEAR_LIMIT_SHARE * self.burst


class QuotaBuckets:
    """All tenants' buckets.

    Attributes:
        revision: Grows with each total that limiters need to hear of.
        buckets: By the digest of the tenant's name.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.buckets: dict[int, UsageBucket] = {}

    def update_quotas(self, tenants: Iterable[Tenant]) -> None:
        """Takes other quotas over; what is in the buckets stays."""
        buckets_before = self.buckets
        self.buckets = {}
        for tenant in tenants:
            if tenant.rate_per_second <= 0:
                continue
            digest = stable_digest(tenant.name)
            bucket = buckets_before.get(digest, UsageBucket(0.0, 0.0))
            bucket.rate = tenant.rate_per_second
            bucket.burst = max(1.0, tenant.burst_size)
            self.buckets[digest] = bucket

    def reset(self) -> None:
        """Empties the buckets, as counts begin anew: limiters repeat what they added."""
        for bucket in self.buckets.values():
            bucket.level = 0.0

    def record(
        self, counter_name: int, step: float, total: float, now: float, is_complete: bool = True
    ) -> bool:
        """A limiter incremented a counter.

        Args:
            counter_name: The counter.
            step: What was added.
            total: Its total, the step included.
            now: The clock's reading.
            is_complete: Whether totals are complete. Limiters would take a low one for that of a
                counter that lost its state.

        Returns:
            Whether all limiters must hear of it.
        """
        bucket = self.buckets.get(counter_name >> INTERVAL_SLOT_BITS)
        if bucket is None:
            return False
        # a limiter that only reads gets the total by the answer; others know no less than before
        usage = total % USAGE_MODULUS
        is_same = counter_name == bucket.counter_name and usage == bucket.total % USAGE_MODULUS
        if not bucket.add(step % USAGE_MODULUS, now) or is_same or not is_complete:
            return False
        self.revision += 1
        bucket.counter_name = counter_name
        bucket.total = total
        bucket.changed_at_revision = self.revision
        return True

    def changed_since(self, revision: int) -> list[UsageBucket]:
        """Returns the buckets whose total limiters needed to hear of after that revision."""
        return [bucket for bucket in self.buckets.values() if bucket.changed_at_revision > revision]
