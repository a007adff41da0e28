"""Credits with which this limiter admits requests of tenants that have a quota.

The counting registry grants credits ahead of use and charges them to the tenant's quota immediately
(`registry/quota_grants.py`). The decision engine admits by its smoothed token buckets; credits are
a hard limit, independent of the state of these buckets. Without responses from the counting
registry a limiter is isolated, and admits only a part of its even share of the quota.

Pure: no I/O; methods take the time, in seconds of a monotonic clock, as an argument. Tenants are
identified by the digest of their name.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from math import exp, inf

from loomstand.config.configuration import Tenant
from loomstand.config.settings import RuleBounds
from loomstand.registry.quota_grants import (
    CREDIT_LIFETIME_SECONDS,
    ISOLATED_SHARE,
    ISOLATION_SECONDS,
    MIN_CREDITS_PER_LIMITER,
    bucket_depth,
)
from loomstand.rpc.messages.quota_messages import (
    CreditDemandRow,
    CreditRequest,
    CreditResponse,
)

# Credits held for a tenant with few requests: the larger of this number, as requests often arrive
# in pairs, and this share of the limiter's part of the bucket.
MIN_TARGET_CREDITS = 2.0
TARGET_DEPTH_SHARE = 0.2
# The target also covers the requests expected within this time: a call takes a few ms, but moving
# the counters to another registry takes a second.
LOOKAHEAD_SECONDS = 1.0
REFILL_SHARE = 0.5  # credits are requested when at most this share of the target is left
RATE_SMOOTHING_SECONDS = 1.0  # time constant of a tenant's smoothed request rate
DEPLETED_RETRY_SECONDS = 0.05  # delay before the next request after none were granted
MAX_RETRY_AFTER_SECONDS = 2.0  # maximum `Retry-After` sent to a client
NEAR_LIMIT_SECONDS = 1.0  # validity of a report that a tenant is near its limit
# After this time in isolation the even share is reduced by the factor below, as the counting
# registry removes a limiter after 30 s and then reserves no quota for it.
LONG_ISOLATION_SECONDS = 25.0
LONG_ISOLATION_SHARE = 0.2


class CreditSource(Enum):
    """Source of the credit with which a request is admitted.

    Attributes:
        NONE: No credit; the request isn't admitted.
        GRANTED: A credit granted by the counting registry.
        UNREPORTED: Admission ahead of its report, as a large part of the tenant's bucket is left.
        ISOLATED: The even share of a limiter without responses from the counting registry.
    """

    NONE = "none"
    GRANTED = "granted"
    UNREPORTED = "unreported"
    ISOLATED = "isolated"


@dataclass(slots=True)
class TenantCredits:
    """One tenant's credits at this limiter; times are in seconds of the monotonic clock.

    Attributes:
        rate: The tenant's quota for all limiters together, in requests per second.
        bucket_depth: Depth of its bucket at the counting registry, in requests.
        granted: Remaining granted credits.
        unreported: Requests admitted without a credit and not yet reported.
        near_limit_until: Time until which no request is admitted without a credit.
        isolated: Remaining credits of the even share while isolated.
        isolated_updated_at: Time of the last update of `isolated`.
        request_rate: Smoothed request rate, in requests per second.
        request_rate_at: Time of the last update of `request_rate`.
        retry_at: Earliest time of the next request for credits.
    """

    rate: float
    bucket_depth: float
    granted: float = 0.0
    unreported: float = 0.0
    near_limit_until: float = 0.0
    isolated: float = 0.0
    isolated_updated_at: float = 0.0
    request_rate: float = 0.0
    request_rate_at: float = 0.0
    retry_at: float = 0.0

    def count_request(self, now: float) -> None:
        """Adds a request to the smoothed rate."""
        decay = exp((self.request_rate_at - now) / RATE_SMOOTHING_SECONDS)
        self.request_rate = self.request_rate * decay + 1 / RATE_SMOOTHING_SECONDS
        self.request_rate_at = now

    def is_active(self, now: float) -> bool:
        """Returns whether requests arrived recently, so that held credits are likely to be used."""
        return self.request_rate > 0 and now - self.request_rate_at <= RATE_SMOOTHING_SECONDS

    def target_credits(self, now: float, limiter_count: int) -> float:
        """Returns the number of credits that this limiter should hold."""
        decay = exp((self.request_rate_at - now) / RATE_SMOOTHING_SECONDS)
        minimum = max(MIN_TARGET_CREDITS, TARGET_DEPTH_SHARE * self.bucket_depth / limiter_count)
        return minimum + LOOKAHEAD_SECONDS * self.request_rate * decay


class QuotaCredits:
    """The credits of all tenants that have a quota.

    Attributes:
        bounds: Bounds of the rules from the settings file, which determine the depth of buckets.
        incarnation: Random identifier of this run of the limiter.
        tenants: Credits by the tenant's digest.
        limiter_count: Number of limiters that share the quotas.
        grant_term: Term in which the counting registry granted the credits; -1 for none.
        has_reported_all: Whether all held credits were reported in that term.
        has_answer: Whether a request for credits has ever been answered.
        last_answer_sent_at: Time at which the last answered request was sent.
        unreported_in_request: By tenant, the unreported requests included in the request in
            progress.
    """

    def __init__(self, bounds: RuleBounds, incarnation: int, now: float) -> None:
        self.bounds = bounds
        self.incarnation = incarnation
        self.tenants: dict[int, TenantCredits] = {}
        self.limiter_count = 1
        self.grant_term = -1
        self.has_reported_all = False
        self.has_answer = False
        self.last_answer_sent_at = now
        self.unreported_in_request: dict[int, float] = {}

    def update_quotas(self, quotas: Mapping[int, Tenant]) -> None:
        """Sets the tenants that have a quota, by digest."""
        previous = self.tenants
        self.tenants = {}
        for digest, tenant in quotas.items():
            depth = bucket_depth(tenant.rate_per_second, tenant.burst_size, self.bounds)
            credit = previous.get(digest) or TenantCredits(tenant.rate_per_second, depth)
            if tenant.rate_per_second < credit.rate:  # granted from the previous quota
                credit.granted = min(credit.granted, MIN_TARGET_CREDITS)
            credit.rate = tenant.rate_per_second
            credit.bucket_depth = depth
            self.tenants[digest] = credit
        self.has_reported_all = False

    def set_limiter_count(self, count: int) -> None:
        """Sets the number of limiters that share the quotas."""
        self.limiter_count = max(1, count)

    def is_isolated(self, now: float) -> bool:
        """Returns whether the last answered request is older than `ISOLATION_SECONDS`."""
        return now - self.last_answer_sent_at > ISOLATION_SECONDS

    def is_on_demand(self, credit: TenantCredits) -> bool:
        """Returns whether the quota is too small for credits to all limiters ahead of use."""
        return credit.bucket_depth < MIN_CREDITS_PER_LIMITER * self.limiter_count

    def admits_unreported(self, credit: TenantCredits, now: float) -> bool:
        """Returns whether a request may be admitted before it is reported."""
        return self.is_on_demand(credit) and now >= credit.near_limit_until

    def source(self, credit: TenantCredits, now: float) -> CreditSource:
        """Returns the source of the credit for a request of the tenant at this time."""
        self._accrue_isolated(credit, now)
        if now - self.last_answer_sent_at <= CREDIT_LIFETIME_SECONDS:
            if credit.granted >= 1:
                return CreditSource.GRANTED
            if self.admits_unreported(credit, now) and credit.unreported < 1 and self.has_answer:
                return CreditSource.UNREPORTED
        return CreditSource.ISOLATED if credit.isolated >= 1 else CreditSource.NONE

    def may_admit(self, tenant: int, now: float) -> bool:
        """Counts an arriving request, and returns whether there is a credit for it."""
        credit = self.tenants.get(tenant)
        if credit is None:
            return True
        credit.count_request(now)
        return self.source(credit, now) is not CreditSource.NONE

    def has_credit(self, tenant: int, now: float) -> bool:
        """Returns whether there is a credit for a request that has already been counted."""
        credit = self.tenants.get(tenant)
        return credit is None or self.source(credit, now) is not CreditSource.NONE

    def consume(self, tenant: int, now: float) -> None:
        """Uses up the credit of an admitted request."""
        credit = self.tenants.get(tenant)
        if credit is None:
            return
        source = self.source(credit, now)
        if source is CreditSource.GRANTED:
            credit.granted -= 1
        elif source is CreditSource.ISOLATED:
            credit.isolated -= 1
        else:
            credit.unreported += 1

    def retry_after_seconds(self, tenant: int, now: float) -> float:
        """Returns the delay in seconds after which a client should retry a rejected request."""
        credit = self.tenants[tenant]
        if now >= credit.retry_at:
            return DEPLETED_RETRY_SECONDS
        even_share_interval = self.limiter_count / credit.rate
        return max(DEPLETED_RETRY_SECONDS, min(MAX_RETRY_AFTER_SECONDS, even_share_interval))

    def mark_near_limit(self, tenant: int, now: float) -> None:
        """Records that the counting registry reports the tenant as near its limit."""
        if credit := self.tenants.get(tenant):
            credit.near_limit_until = now + NEAR_LIMIT_SECONDS

    def needs_request(self, tenant: int, now: float) -> bool:
        """Returns whether credits of a tenant should be requested without delay."""
        credit = self.tenants.get(tenant)
        return credit is not None and (
            credit.unreported > 0 or self._credits_to_request(credit, now) > 0
        )

    def build_request(self, limiter_name: str, now: float) -> CreditRequest:
        """Returns the next request for credits.

        It includes only tenants with a demand or a change to report. Expired credits, and those
        beyond twice the target, are released.
        """
        demands = []
        self.unreported_in_request = {}
        for tenant, credit in self.tenants.items():
            if now - self.last_answer_sent_at > CREDIT_LIFETIME_SECONDS:
                credit.granted = 0.0
            granted_before = credit.granted
            # credits beyond this number are released, as other limiters may need them
            max_granted = max(
                MIN_TARGET_CREDITS, 2 * credit.target_credits(now, self.limiter_count)
            )
            credit.granted = min(granted_before, max_granted)
            wanted = self._credits_to_request(credit, now)
            has_changed = credit.unreported or credit.granted != granted_before
            if not self.has_reported_all or wanted > 0 or has_changed:
                demands.append(
                    CreditDemandRow(
                        tenant,
                        credit.granted,
                        credit.unreported,
                        max(0.0, wanted),
                        int(credit.is_active(now)),
                    )
                )
                self.unreported_in_request[tenant] = credit.unreported
        return CreditRequest(
            limiter_name=limiter_name,
            incarnation=self.incarnation,
            grant_term=self.grant_term,
            is_isolated=self.is_isolated(now),
            demands=demands,
        )

    def apply_response(self, sent_at: float, now: float, response: CreditResponse) -> bool:
        """Adds the credits of a response.

        Args:
            sent_at: Time at which the request was sent.
            now: Time at which the response was received.
            response: The response.

        Returns:
            Whether the next request must be sent immediately, because the registry grants in
            another term and needs a report of all held credits, or treats this limiter as isolated.
        """
        if response.grant_term != self.grant_term or response.grants is None:
            self.grant_term = response.grant_term
            self.has_reported_all = False
            return True
        was_isolated = self.is_isolated(now)
        self.last_answer_sent_at = max(self.last_answer_sent_at, sent_at)
        self.has_reported_all = True
        self.has_answer = True
        for row in response.grants:
            credit = self.tenants.get(row.tenant)
            if credit is None:
                continue
            reported = self.unreported_in_request.get(row.tenant, 0.0)
            credit.unreported = max(0.0, credit.unreported - reported)
            credit.granted += row.granted
            credit.near_limit_until = 0.0 if row.is_open else now + NEAR_LIMIT_SECONDS
            if not row.granted and not row.is_open:
                credit.retry_at = now + DEPLETED_RETRY_SECONDS
            else:
                credit.retry_at = -inf
        return was_isolated

    def _accrue_isolated(self, credit: TenantCredits, now: float) -> None:
        """Accrues credits of the even share while isolated, and discards them otherwise."""
        if not self.is_isolated(now):
            credit.isolated = 0.0
            credit.isolated_updated_at = now
            return
        since = max(credit.isolated_updated_at, self.last_answer_sent_at + ISOLATION_SECONDS)
        is_long = now - self.last_answer_sent_at >= LONG_ISOLATION_SECONDS
        factor = LONG_ISOLATION_SHARE if is_long else 1.0
        share = ISOLATED_SHARE * credit.rate / self.limiter_count * factor
        accrued = credit.isolated + share * max(0.0, now - since)
        credit.isolated = min(max(1.0, share), accrued)
        credit.isolated_updated_at = now

    def _credits_to_request(self, credit: TenantCredits, now: float) -> float:
        """Returns the credits to request; 0 if enough are left or it is too early to retry."""
        target = credit.target_credits(now, self.limiter_count)
        if self.is_on_demand(credit):
            is_idle = self.admits_unreported(credit, now) or not credit.is_active(now)
            target = 0.0 if is_idle else 1.0
        if target and credit.granted <= REFILL_SHARE * target and now >= credit.retry_at:
            return target - credit.granted
        return 0.0
