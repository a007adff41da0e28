"""Grants of quota credits: what a limiter may admit is charged to the tenant's bucket before use.

Shares that limiters compute by themselves add up to more than the quota whenever limiters start or
are partitioned, or another registry takes over counting. Therefore the counting registry keeps a
leaky bucket per tenant and grants *credits* from it, one per request; a limiter admits no more
requests than it holds credits. Whatever limiters do with their credits, and whichever of them are
killed, at most `depth` + rate x window requests are admitted in a window. A registry that starts
counting doesn't know what its predecessor granted: its buckets start nearly full, and it grants
credits at the tenant's rate. Pure: the clock's reading is an argument, in seconds.
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

# Share of its even part of a tenant's rate that a limiter admits while it is isolated, which means
# without responses from the counting registry: tenants under normal load use about 0.6 of their
# quota. The counting registry withholds the same share for each limiter that doesn't call; with
# 60 % of the limiters killed, the others keep 0.64 of the rate.
ISOLATED_SHARE = 0.6
# Time after its last answered call from which a limiter is isolated; until then it only admits
# requests by credits. The counting registry treats a limiter as isolated after the same time
# without a call. Both measure from the same call, so credits and isolated share don't overlap.
ISOLATION_SECONDS = 0.8
# Time after the last answered call for which a limiter may use its credits, and the longer time for
# which the counting registry reserves them.
CREDIT_LIFETIME_SECONDS = 1.5
CREDIT_RESERVATION_SECONDS = 2.5
# Share of the allowed overshoot that is included in a bucket's depth.
CHARGED_OVERSHOOT_SHARE = 0.3
# Share of the allowed overshoot that is free in a bucket when a registry starts counting, whatever
# its predecessor granted. It is small, as counting may move twice within a window. The rest of the
# overshoot covers requests that can't be charged: those of isolated limiters that never report, and
# those due to differences between clocks.
INITIAL_FREE_OVERSHOOT_SHARE = 0.3
# Largest share of a bucket that limiters hold ahead of use, so that free credits are left for a
# burst at one limiter: without a maximum, a tenant that sent 25 requests/s of its 40 had 1 in 200
# rejected.
MAX_OUTSTANDING_SHARE = 0.6
# A bucket with fewer credits per limiter is too small to be shared out ahead of use. It is *open*
# while less than half full, so that each limiter may admit one request before it reports it, and
# *closed* from then on.
MIN_CREDITS_PER_LIMITER = 1.5
# With less than 1 / SCARCE_DIVISOR of a bucket free, only limiters without a credit get credits.
SCARCE_DIVISOR = 8


def bucket_depth(rate: float, burst: float, bounds: RuleBounds) -> float:
    """Returns the depth in requests of the bucket of a tenant.

    Args:
        rate: The tenant's rate, in requests per second.
        burst: The tenant's burst, in requests.
        bounds: Bounds of the rules.
    """
    return max(1.0, burst) + CHARGED_OVERSHOOT_SHARE * allowed_overshoot(rate, burst, bounds)


def allowed_overshoot(rate: float, burst: float, bounds: RuleBounds) -> float:
    """Returns the number of requests allowed in a window beyond rate x window + burst.

    Args:
        rate: The tenant's rate, in requests per second.
        burst: The tenant's burst, in requests.
        bounds: Bounds of the rules, with the length of the window.
    """
    quota = rate * bounds.quota_window_seconds + burst
    return bounds.quota_overshoot * quota + bounds.quota_slack


@dataclass(slots=True)
class CreditBucket:
    """A tenant's bucket.

    Attributes:
        rate: Requests per second that leak from it.
        depth: Requests that fit into it.
        initial_level: The level when a registry starts counting.
        level: Requests charged that haven't leaked; never below the credits that limiters hold, as
            they may be used at any time.
        updated_at: `QuotaGrants.leak_time` at the last update of the level.
        outstanding: Credits that limiters hold, by limiter name.
    """

    rate: float
    depth: float
    initial_level: float
    level: float
    updated_at: float
    outstanding: dict[str, float] = field(default_factory=dict)

    def leak(self, leak_time: float, isolated_shares: float = 0.0, inherited: float = 0.0) -> None:
        """Leaks until `leak_time`, but not below the credits that limiters may hold.

        Args:
            leak_time: Current `QuotaGrants.leak_time`, in seconds.
            isolated_shares: See `UnreportedCredits`; the level is raised to contain them.
            inherited: See `UnreportedCredits`; the initial level contains them.
        """
        floor = min(self.depth, sum(self.outstanding.values()) + isolated_shares)
        leaked_level = self.level - self.rate * (leak_time - self.updated_at)
        level = max(leaked_level, min(self.level, floor + inherited))
        self.level = max(level, floor)
        self.updated_at = leak_time


class UnreportedCredits(NamedTuple):
    """Credits of one bucket that limiters may hold without having reported them.

    Attributes:
        isolated_shares: Credits for the shares of the quota that isolated limiters use.
        inherited: Credits that an earlier counting registry may have granted; 0 except for
            `CREDIT_RESERVATION_SECONDS` after a reset.
    """

    isolated_shares: float
    inherited: float


NO_UNREPORTED_CREDITS = UnreportedCredits(0.0, 0.0)


@dataclass(slots=True)
class CallingLimiter:
    """A limiter that requests credits.

    Attributes:
        incarnation: Random number that the limiter drew at its start.
        last_call_at: Time of its last call.
        last_connected_at: Time of its last call in which it didn't report isolation.
    """

    incarnation: int
    last_call_at: float
    last_connected_at: float


class QuotaGrants:
    """All tenants' buckets, and the limiters that request credits.

    Attributes:
        bounds: Bounds of the rules, such as the allowed overshoot of a quota.
        term: Random number that changes with every reset.
        buckets: Buckets by the digest of the tenant's name.
        callers: Limiters that request credits, by name.
        limiter_count: Number of limiters that share the quotas.
        isolated_count: Number of these limiters that are treated as isolated.
        leak_factor: Current speed of `leak_time`, from 1 - `ISOLATED_SHARE` to 1.
        reset_at: Time of the last reset.
        leak_time: Time by which buckets leak, in seconds; it runs slower than the clock while
            limiters are isolated.
        updated_at: Time of the last update of `leak_time`.
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
        """Starts a new term with nearly full buckets, as all credits may have been granted before.

        Args:
            term: Number of the new term.
            now: The clock's reading.
            is_unused: Whether no credits can have been granted, as there was no configuration.
                Buckets then start empty.
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
        """Applies changed quotas.

        A bucket keeps its level, up to its new depth. A new bucket starts empty if this registry is
        counting, else at its initial level.
        """
        buckets_before = self.buckets
        self.buckets = {}
        for tenant in tenants:
            if tenant.rate_per_second <= 0:
                continue
            digest = stable_digest(tenant.name)
            bucket = buckets_before.pop(digest, None)
            self.buckets[digest] = self._updated_bucket(bucket, tenant, is_counting)
        for digest, bucket in buckets_before.items():  # a removed tenant may be added again
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
        """Advances `leak_time`, slowed by the share of the rate that isolated limiters may use.

        Args:
            now: The clock's reading.
            limiter_names: Names of present and silent limiters; `callers` are added to them.
        """
        elapsed_seconds = max(0.0, now - self.updated_at)
        # time in which all limiters may have been isolated, as none called
        all_isolated_seconds = max(0.0, elapsed_seconds - ISOLATION_SECONDS)
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
        """Returns the credits of a bucket that limiters may hold without having reported them.

        None are assumed for a bucket too small to be shared out: they would fill it.
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
        """Returns whether a bucket is too small to be shared out ahead of use."""
        return bucket.depth < MIN_CREDITS_PER_LIMITER * self.limiter_count

    def release(self, limiter_name: str) -> None:
        """Releases the credits of a limiter that deregistered, as it admits no more requests."""
        self.callers.pop(limiter_name, None)
        self._release_credits(limiter_name)

    def _release_credits(self, limiter_name: str) -> None:
        for bucket in self.buckets.values():
            bucket.outstanding.pop(limiter_name, None)

    def expire(self, now: float, limiter_names: Iterable[str]) -> None:
        """Releases the credits of limiters that stopped calling, and removes unknown limiters."""
        names = {*limiter_names}
        for name, caller in list(self.callers.items()):
            if now - caller.last_call_at <= CREDIT_RESERVATION_SECONDS:
                continue
            self._release_credits(name)
            if name not in names:
                del self.callers[name]

    def handle_request(self, request: CreditRequest, now: float) -> list[CreditGrantRow] | None:
        """Records the credits that a limiter holds and spent, and grants new ones.

        Returns:
            The credits granted; None if the request is of another term: the limiter must first
            report all credits that it holds under this term.
        """
        name = request.limiter_name
        caller = self.callers.get(name)
        if caller is None or caller.incarnation != request.incarnation:
            self._release_credits(name)  # its previous incarnation can't use its credits any more
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
        """Returns whether limiters must report each of a tenant's requests before they admit it."""
        bucket = self.buckets.get(tenant_digest)
        return bucket is not None and bucket.level >= self.closing_level(bucket)

    def closing_level(self, bucket: CreditBucket) -> float:
        """Returns the level from which a small bucket is closed: half its depth.

        If there are at most `quota_slack` limiters, it is at most half the initial level, so that
        the bucket is closed when a registry starts counting. Without this limit, 48 requests ran at
        a rate of 4 requests/s and a burst of 4, with 12 limiters and two moves of the counting
        lease.
        """
        has_few_limiters = self.limiter_count <= self.bounds.quota_slack
        return min(bucket.depth, bucket.initial_level if has_few_limiters else inf) / 2

    def grant(self, bucket: CreditBucket, limiter_name: str, demand: CreditDemandRow) -> float:
        """Grants whole credits: with fractions at many limiters, none could admit a request.

        A limiter gets at most twice its even part of the free credits, or one credit if that is
        more. Further limits depend on the bucket:

        - If less than 1/2 is free, a limiter that hasn't recently received requests of the tenant
          gets no credit while it holds one, nor in the first `CREDIT_RESERVATION_SECONDS` after a
          reset.
        - If less than 1/8 is free, only a limiter without a credit gets any.
        - If all limiters together hold more than `MAX_OUTSTANDING_SHARE`, a limiter that holds a
          credit gets at most enough to hold its even part of that share.

        Returns:
            The number of credits granted.
        """
        held_credits, wanted_credits = demand.held, demand.wanted
        free_credits = bucket.depth - bucket.level
        is_scarce = free_credits < bucket.depth / SCARCE_DIVISOR
        if free_credits < 1 or (held_credits >= 1 and is_scarce):
            return 0.0
        if not demand.is_active and free_credits < bucket.depth / 2:
            is_recently_reset = self.updated_at - self.reset_at <= CREDIT_RESERVATION_SECONDS
            if held_credits >= 1 or is_recently_reset:
                return 0.0
        if held_credits >= 1:
            max_outstanding = MAX_OUTSTANDING_SHARE * bucket.depth
            if sum(bucket.outstanding.values()) > max_outstanding:
                max_credits = max_outstanding / self.limiter_count
                wanted_credits = max(0.0, min(wanted_credits, max_credits - held_credits))
        max_granted = max(1.0, 2 * free_credits / self.limiter_count)
        granted = float(int(min(wanted_credits, max_granted)))
        bucket.outstanding[limiter_name] = held_credits + granted
        bucket.level += granted
        return granted
