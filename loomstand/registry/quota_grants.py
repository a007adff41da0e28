"""Grants of quota: what a limiter may admit is charged to the tenant's bucket before it is used.

Shares that limiters take by themselves sum to more than the quota as soon as limiters start, are
cut off, or another registry counts. Here the counting registry keeps each tenant's bucket, and
grants *credits* from it: a limiter admits no more than it holds. So whatever limiters do with them,
and whoever of them is killed, in any window there come no more than `depth` + rate x window
requests. A counter that begins doesn't know what the one before it granted: it has nearly full
buckets, and grants by the rate. Pure: the clock's reading is given, in seconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

from loomstand.admission.identifiers import stable_digest
from loomstand.config.configuration import Tenant
from loomstand.config.settings import RuleBounds
from loomstand.rpc.messages.quota_messages import CreditDemandRow, CreditGrantRow, CreditRequest

# A limiter that doesn't reach the counter admits this share of its even part: calm tenants use some
# six tenths of their quotas. The counter leaves as much to those that it doesn't hear; with six in
# ten of them killed the others keep 0.64 of the rate.
ISOLATED_SHARE = 0.6
# For so long after its last answered call a limiter lives on its credits alone; the counter takes
# it to be isolated as long after its last call. Both count from the same call, so the two shares
# don't overlap.
ISOLATION_SECONDS = 0.8
# For so long after the last answered call credits are valid, and for so long the counter reserves
# them.
CREDIT_LIFETIME_SECONDS = 1.5
CREDIT_RESERVATION_SECONDS = 2.5
# Of what a rule lets run beyond rate and burst this share is in the buckets.
CHARGED_OVERSHOOT_SHARE = 0.3
# And this share is free at a counter that begins, whatever the one before it granted: two may begin
# within a window. The rest is for what can't be charged: limiters that were isolated and never
# heard, clocks that differ.
INITIAL_FREE_OVERSHOOT_SHARE = 0.3
# Of a bucket at most this share is held ahead, so that bursts at one limiter find some free: with
# all of it a tenant at 25 requests a second of 40 had one in 200 refused.
MAX_OUTSTANDING_SHARE = 0.6
# Buckets of less than so many credits a limiter can't be shared out ahead: such a tenant's are
# *open* while they are less than half full, and each limiter admits one request before it tells.
MIN_CREDITS_PER_LIMITER = 1.5
# Where less of a bucket than one part in so many is free, only a limiter without a credit gets one.
SCARCE_DIVISOR = 8


def bucket_depth(rate: float, burst: float, bounds: RuleBounds) -> float:
    """Returns the requests of a tenant that may come beyond its rate, as credits are charged."""
    return max(1.0, burst) + CHARGED_OVERSHOOT_SHARE * allowed_overshoot(rate, burst, bounds)


def allowed_overshoot(rate: float, burst: float, bounds: RuleBounds) -> float:
    """Returns the requests that a rule lets run in a window beyond rate x window + burst."""
    quota = rate * bounds.quota_window_seconds + burst
    return bounds.quota_overshoot * quota + bounds.quota_slack


@dataclass(slots=True)
class CreditBucket:
    """A tenant's bucket.

    Attributes:
        rate: Requests a second that leak from it.
        depth: Requests that fit into it.
        initial_level: The level at a counter that begins.
        level: Requests charged and not leaked; never under what is held at limiters, as that may be
            used at any time.
        updated_at: When the level was right, in the time by which buckets leak.
        outstanding: By limiter, the credits that it holds.
    """

    rate: float
    depth: float
    initial_level: float
    level: float
    updated_at: float
    outstanding: dict[str, float] = field(default_factory=dict)

    def leak(self, leak_time: float, unreported: float = 0.0, inherited: float = 0.0) -> None:
        """Leaks up to a time, but not below what limiters may have.

        Args:
            leak_time: The time by which buckets leak.
            unreported: What isolated limiters may have, beside what is held.
            inherited: What may be left of an earlier counter's grants, which was in the level from
                the first on.
        """
        floor = min(self.depth, sum(self.outstanding.values()) + unreported)
        leaked_level = self.level - self.rate * (leak_time - self.updated_at)
        level = max(leaked_level, min(self.level, floor + inherited))
        self.level = max(level, floor)
        self.updated_at = leak_time


class UnreportedCredits(NamedTuple):
    """What limiters may hold that the counter doesn't hear.

    Attributes:
        shares: Of the shares that isolated limiters take.
        inherited: Of an earlier counter's grants, at first.
    """

    shares: float
    inherited: float


NO_UNREPORTED_CREDITS = UnreportedCredits(0.0, 0.0)


@dataclass(slots=True)
class CallingLimiter:
    """A limiter that calls for credits.

    Attributes:
        incarnation: Number of its start, drawn by it.
        last_call_at: When it last called.
        last_connected_at: When it last called and wasn't isolated.
    """

    incarnation: int
    last_call_at: float
    last_connected_at: float


class QuotaGrants:
    """All tenants' buckets, and the limiters that call.

    Attributes:
        bounds: The rules that quotas are judged by.
        term: Another number wherever grants begin anew.
        buckets: By the digest of the tenant's name.
        callers: By name.
        limiter_count: How many limiters share the quotas.
        isolated_count: How many of them are taken to be isolated.
        leak_factor: The share of its rate by which a bucket leaks now.
        reset_at: When grants began anew.
        leak_time: The time by which buckets leak; it runs slower while limiters are isolated.
        updated_at: When `leak_time` was right.
    """

    def __init__(self, bounds: RuleBounds) -> None:
        self.bounds = bounds
        self.term = 0
        self.buckets: dict[int, CreditBucket] = {}
        self.callers: dict[str, CallingLimiter] = {}
        self.limiter_count = 1
        self.isolated_count = 0
        self.leak_factor = 1.0 - ISOLATED_SHARE
        self.reset_at = 0.0
        self.leak_time = 0.0
        self.updated_at = 0.0

    def reset(self, term: int, now: float, is_unused: bool = False) -> None:
        """Begins anew: buckets are nearly full, as the counter before may have granted all.

        Args:
            term: The number of these grants.
            now: The clock's reading.
            is_unused: Whether there was no configuration until now, so that nobody was granted
                anything.
        """
        self.term = term
        self.callers = {}
        self.updated_at = now
        self.reset_at = now
        for bucket in self.buckets.values():
            bucket.outstanding = {}
            bucket.level = 0.0 if is_unused else bucket.initial_level
            bucket.updated_at = self.leak_time

    def update_quotas(self, tenants: Iterable[Tenant], is_counting: bool) -> None:
        """Takes other quotas over.

        A bucket keeps its level, at most full; one that wasn't there is empty if this registry
        counts.
        """
        buckets_before = self.buckets
        self.buckets = {}
        for tenant in tenants:
            if tenant.rate_per_second <= 0:
                continue
            digest = stable_digest(tenant.name)
            bucket = buckets_before.pop(digest, None)
            self.buckets[digest] = self._updated_bucket(bucket, tenant, is_counting)
        for digest, bucket in buckets_before.items():  # tenants that went may come back
            bucket.leak(self.leak_time)
            if bucket.level > 0:
                self.buckets[digest] = bucket

    def _updated_bucket(
        self, bucket: CreditBucket | None, tenant: Tenant, is_counting: bool
    ) -> CreditBucket:
        rate, burst = tenant.rate_per_second, tenant.burst_size
        depth = bucket_depth(rate, burst, self.bounds)
        initial_level = depth - INITIAL_FREE_OVERSHOOT_SHARE * allowed_overshoot(
            rate, burst, self.bounds
        )
        if bucket is None:
            level = 0.0 if is_counting else initial_level
            bucket = CreditBucket(0.0, depth, initial_level, level, self.leak_time)
        bucket.leak(self.leak_time)
        bucket.rate = rate
        bucket.depth = depth
        bucket.initial_level = initial_level
        bucket.level = min(bucket.level, depth)
        return bucket

    def advance(self, now: float, limiter_names: Iterable[str]) -> None:
        """Moves the time by which buckets leak: by the rate less what isolated limiters may take.

        Args:
            now: The clock's reading.
            limiter_names: Names of the limiters with a place; callers count beside them.
        """
        elapsed_seconds = max(0.0, now - self.updated_at)
        all_isolated_seconds = max(
            0.0, elapsed_seconds - ISOLATION_SECONDS
        )  # nobody called for so long
        isolated_factor = 1.0 - ISOLATED_SHARE
        self.leak_time += (
            self.leak_factor * (elapsed_seconds - all_isolated_seconds)
            + isolated_factor * all_isolated_seconds
        )
        names = {*limiter_names, *self.callers}
        callers = self.callers
        self.isolated_count = sum(
            name not in callers or now - callers[name].last_connected_at > ISOLATION_SECONDS
            for name in names
        )
        self.limiter_count = max(1, len(names))
        self.updated_at = now
        self.leak_factor = 1.0 - ISOLATED_SHARE * self.isolated_count / self.limiter_count

    def unreported(self, bucket: CreditBucket) -> UnreportedCredits:
        """Returns what limiters may hold that this counter doesn't hear.

        Of quotas too small to share out it would be all, and is left out.
        """
        if not self.isolated_count or self.is_small(bucket):
            return NO_UNREPORTED_CREDITS
        is_recently_reset = self.updated_at - self.reset_at < CREDIT_RESERVATION_SECONDS
        inherited = (
            self.isolated_count * bucket.depth / self.limiter_count if is_recently_reset else 0.0
        )
        share = ISOLATED_SHARE * bucket.rate / self.limiter_count
        return UnreportedCredits(self.isolated_count * max(1.0, share), inherited)

    def is_small(self, bucket: CreditBucket) -> bool:
        """Returns whether a bucket can't be shared out ahead."""
        return bucket.depth < MIN_CREDITS_PER_LIMITER * self.limiter_count

    def release(self, limiter_name: str) -> None:
        """A limiter ended its session: it admits nothing any more."""
        self.callers.pop(limiter_name, None)
        self._release_credits(limiter_name)

    def _release_credits(self, limiter_name: str) -> None:
        for bucket in self.buckets.values():
            bucket.outstanding.pop(limiter_name, None)

    def expire(self, now: float, limiter_names: Iterable[str]) -> None:
        """Drops what limiters held that called long ago, and those that nobody knows any more."""
        names = {*limiter_names}
        for name, caller in list(self.callers.items()):
            if now - caller.last_call_at <= CREDIT_RESERVATION_SECONDS:
                continue
            self._release_credits(name)
            if name not in names:
                del self.callers[name]

    def handle_request(self, request: CreditRequest, now: float) -> list[CreditGrantRow] | None:
        """Takes in what a limiter holds and spent, and grants what it may have.

        Returns:
            The credits granted; None if it went by another term: it must tell all that it holds
            under this one.
        """
        name = request.limiter_name
        caller = self.callers.get(name)
        if caller is None or caller.incarnation != request.incarnation:
            self._release_credits(name)  # those of its former incarnation are lost with it
            caller = CallingLimiter(request.incarnation, now, now - 2 * ISOLATION_SECONDS)
            self.callers[name] = caller
        caller.last_call_at = now
        if request.grant_term != self.term:
            return None
        if not request.is_isolated:
            caller.last_connected_at = now
        grants = []
        for demand in request.demands:
            bucket = self.buckets.get(demand.tenant)
            if bucket is not None:
                grants.append(self._answer_demand(bucket, name, demand))
        return grants

    def _answer_demand(
        self, bucket: CreditBucket, limiter_name: str, demand: CreditDemandRow
    ) -> CreditGrantRow:
        bucket.leak(self.leak_time, *self.unreported(bucket))
        bucket.outstanding[limiter_name] = demand.held
        bucket.level = max(bucket.level + demand.spent, sum(bucket.outstanding.values()))
        if self.is_small(bucket) and bucket.level < self.closing_level(bucket):
            return CreditGrantRow(demand.tenant, 0.0, 1)
        return CreditGrantRow(demand.tenant, self.grant(bucket, limiter_name, demand), 0)

    def is_closed(self, tenant_digest: int) -> bool:
        """Returns whether a bucket is half full, so that nobody admits before it tells."""
        bucket = self.buckets.get(tenant_digest)
        return bucket is not None and bucket.level >= self.closing_level(bucket)

    def closing_level(self, bucket: CreditBucket) -> float:
        """Returns the level from which a small quota's bucket is closed.

        Where limiters are as few as the leeway, a counter that begins doesn't open it: with 12
        limiters and two moves of the counter 48 requests ran of 4 a second and 4.
        """
        has_few_limiters = self.limiter_count <= self.bounds.quota_slack
        return min(bucket.depth, bucket.initial_level if has_few_limiters else inf) / 2

    def grant(self, bucket: CreditBucket, limiter_name: str, demand: CreditDemandRow) -> float:
        """Grants whole requests: fractions at many limiters would let nobody admit any.

        Where less than half is free, a limiter whose tenant is idle gets none while it has one, nor
        soon after a start of all; where less than an eighth, only a limiter without any gets some;
        where most is held, nobody gets more than its even part.

        Returns:
            The credits granted.
        """
        held, wanted = demand.held, demand.wanted
        free = bucket.depth - bucket.level
        if free < 1 or (held >= 1 and free < bucket.depth / SCARCE_DIVISOR):
            return 0.0
        if not demand.is_active and free < bucket.depth / 2:
            is_recently_reset = self.updated_at - self.reset_at <= CREDIT_RESERVATION_SECONDS
            if held >= 1 or is_recently_reset:
                return 0.0
        if held >= 1:
            max_outstanding = MAX_OUTSTANDING_SHARE * bucket.depth
            if sum(bucket.outstanding.values()) > max_outstanding:
                wanted = max(0.0, min(wanted, max_outstanding / self.limiter_count - held))
        granted = float(int(min(wanted, max(1.0, 2 * free / self.limiter_count))))
        bucket.outstanding[limiter_name] = held + granted
        bucket.level += granted
        return granted
