"""The tenants that are near their limit, which the counting registry reports to all limiters.

A limiter learns of a tenant's usage at other limiters from the responses to its increments, which
it sends for the requests that it gets itself. If each of many limiters gets few requests of a
tenant, none has a recent total, and each admits its next request: 75 limiters exceeded a quota of
498 requests in 5 s by 1.33 requests each. Pure: the clock's reading is an argument, in seconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from loomstand.admission.identifiers import ATTEMPT_FACTOR, stable_digest
from loomstand.config.configuration import Tenant

# A bucket is near its limit above this share of its burst. A tenant that uses 0.6 of its quota and
# has a burst of 10 requests exceeds the share occasionally; the rest of the burst has room for the
# requests that limiters admit until they are notified.
NEAR_LIMIT_SHARE = 0.5
# Number of the lowest bits of a counter's name, which are the slot number of its interval. The bits
# above are the digest of the tenant's name.
INTERVAL_SLOT_BITS = 15
# A total modulo this value is the usage; the quotient is the number of requests, admitted or not.
USAGE_MODULUS = ATTEMPT_FACTOR * ATTEMPT_FACTOR


@dataclass(slots=True)
class UsageBucket:
    """A tenant's usage beyond its rate, over all limiters.

    Attributes:
        rate: Requests per second that leak from the bucket.
        burst: Number of requests that fit into the bucket.
        level: Number of requests in the bucket.
        updated_at: Time of the last update of `level`.
        counter_name: Name of the counter last reported to limiters, which names its interval.
        total: That counter's total as last reported to limiters.
        changed_at_revision: Revision of `QuotaBuckets` at that report.
    """

    rate: float
    burst: float
    level: float = 0.0
    updated_at: float = 0.0
    counter_name: int = 0
    total: float = 0.0
    changed_at_revision: int = 0

    def add(self, requests: float, now: float) -> bool:
        """Adds requests to the bucket, after it has leaked until now.

        Returns:
            Whether the bucket is near its limit with these requests.
        """
        leaked = self.rate * (now - self.updated_at)
        self.level = max(0.0, self.level - leaked) + requests
        self.updated_at = now
        return self.level > NEAR_LIMIT_SHARE * self.burst


class QuotaBuckets:
    """The buckets of all tenants.

    Attributes:
        revision: Number that increases with each total to be reported to limiters.
        buckets: Buckets by the digest of the tenant's name.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.buckets: dict[int, UsageBucket] = {}

    def update_quotas(self, tenants: Iterable[Tenant]) -> None:
        """Applies changed quotas; existing buckets keep their levels."""
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
        """Empties the buckets when counters are reset, as limiters then resend their sums."""
        for bucket in self.buckets.values():
            bucket.level = 0.0

    def record(
        self, counter_name: int, step: float, total: float, now: float, is_complete: bool = True
    ) -> bool:
        """Records an increment of a counter by a limiter.

        Args:
            counter_name: Name of the counter.
            step: The amount added to the counter.
            total: Total of the counter, including the step.
            now: The clock's reading.
            is_complete: Whether totals are complete. An incomplete total isn't reported: limiters
                would conclude that the counter was reset.

        Returns:
            Whether all limiters must be notified.
        """
        bucket = self.buckets.get(counter_name >> INTERVAL_SLOT_BITS)
        if bucket is None:
            return False
        usage = total % USAGE_MODULUS
        # a read without an increment, or a count of rejected requests, isn't reported to the others
        is_unchanged = counter_name == bucket.counter_name and usage == bucket.total % USAGE_MODULUS
        if not bucket.add(step % USAGE_MODULUS, now) or is_unchanged or not is_complete:
            return False
        self.revision += 1
        bucket.counter_name = counter_name
        bucket.total = total
        bucket.changed_at_revision = self.revision
        return True

    def changed_since(self, revision: int) -> list[UsageBucket]:
        """Returns the buckets with a total to be reported that changed after a revision."""
        return [bucket for bucket in self.buckets.values() if bucket.changed_at_revision > revision]
