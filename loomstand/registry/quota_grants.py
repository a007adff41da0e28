"""Grants of quota: what a limiter may let in is charged to the tenant's bucket before it is used.

Parts that limiters take by themselves sum to more than the quota as soon as limiters start, are cut
off, or a counter moves. Here the counting registry keeps each tenant's bucket, and hands out
*credits* from it: a limiter lets in no more than it holds. So whatever limiters do with them, and
whoever of them is killed, in any window there come no more than `depth` + rate x window. A counter
that begins doesn't know what the one before it granted: it has nearly full buckets, and grants by
the rate. Pure: the clock is given.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

from loomstand.admission.identifiers import stable_digest
from loomstand.config.configuration import Tenant
from loomstand.config.settings import RuleBounds

# A limiter without word of the counter admits this share of its even part: calm tenants use some
# six tenths of their quotas. The counter leaves as much to those that it doesn't hear; with six in
# ten of them killed the others keep 0.64 of the rate.
ALONE = 0.6
# Seconds after its last answered call for which a limiter lives on its credits alone; the counter
# takes it to go by itself as long after its last call. Both count from the same call, so the two
# shares don't overlap.
SILENT = 0.8
# Seconds for which credits are good after the last answered call, and for which the counter holds
# them.
GOOD, HELD = 1.5, 2.5
# Of what a rule lets run beyond rate and burst this share is in the buckets.
SHARE = 0.3
# And this share is free at a counter that begins, whatever the one before it granted: two may begin
# within a window. The rest is for what can't be charged: limiters that went alone unheard, clocks
# that differ.
BEGINS = 0.3
# Of a bucket at most this share is held ahead, so that bursts at one limiter find some free: with
# all of it a tenant at 25 requests a second of 40 had one in 200 refused.
MOST_HELD = 0.6
# Buckets of less than so many credits a limiter can't be shared out ahead: such a tenant's are
# *open* while they are less than half full, and each limiter lets one request in before it tells.
FEW = 1.5


def depth(rate: float, burst: float, bounds: RuleBounds) -> float:
    """Requests of a tenant that may come beyond its rate, as credits are charged."""
    return max(1.0, burst) + SHARE * leeway(rate, burst, bounds)


def leeway(rate: float, burst: float, bounds: RuleBounds) -> float:
    """What may run beyond rate x window + burst."""
    return (
        bounds.quota_overshoot * (rate * bounds.quota_window_seconds + burst) + bounds.quota_slack
    )


@dataclass(slots=True)
class Bucket:
    """`level`: charged and not leaked; never under what is `held` at limiters, as that may be used
    at any time. `at` is in the time by which buckets leak.
    """

    rate: float
    depth: float
    first: float  # the level at a counter that begins
    level: float
    at: float
    held: dict[str, float] = field(default_factory=dict)

    def leak(self, at: float, own: float = 0.0, before: float = 0.0) -> None:
        """Beside what is held: `own`, what limiters may have that go alone; `before`, what is left
        of an earlier counter's, which was in the level from the first on.
        """
        floor = min(self.depth, sum(self.held.values()) + own)
        left = max(self.level - self.rate * (at - self.at), min(self.level, floor + before))
        self.level, self.at = max(left, floor), at


@dataclass(slots=True)
class Caller:
    life: int
    at: float  # its last call
    good: float  # its last call in which it didn't go alone


class QuotaGrants:
    """All tenants' buckets, and the limiters that call. `number` is another one where they begin
    anew.
    """

    def __init__(self, bounds: RuleBounds) -> None:
        self.bounds = bounds
        self.number = 0
        self.buckets: dict[int, Bucket] = {}
        self.callers: dict[str, Caller] = {}
        self.many, self.gone, self.scale = 1, 0, 1.0 - ALONE
        self.began = 0.0
        self.time, self.at = 0.0, 0.0  # buckets' time runs slower while limiters go alone

    def anew(self, number: int, now: float, unused: bool = False) -> None:
        """Counts begin anew: buckets are full, as the one before may have granted all. `unused`:
        there was no configuration until now, so nobody was granted anything.
        """
        self.number, self.callers, self.at, self.began = number, {}, now, now
        for bucket in self.buckets.values():
            bucket.held = {}
            bucket.level, bucket.at = 0.0 if unused else bucket.first, self.time

    def learn(self, tenants: Iterable[Tenant], counts: bool) -> None:
        """Other quotas. A bucket keeps its level, at most full; one that wasn't there while this
        registry counts is empty.
        """
        before, self.buckets = self.buckets, {}
        for tenant in tenants:
            if tenant.rate_per_second <= 0:
                continue
            name, most = (
                stable_digest(tenant.name),
                depth(tenant.rate_per_second, tenant.burst_size, self.bounds),
            )
            first = most - BEGINS * leeway(tenant.rate_per_second, tenant.burst_size, self.bounds)
            old = before.pop(name, None) or Bucket(
                0.0, most, first, 0.0 if counts else first, self.time
            )
            old.leak(self.time)
            old.rate, old.depth, old.first, old.level = (
                tenant.rate_per_second,
                most,
                first,
                min(old.level, most),
            )
            self.buckets[name] = old
        for name, old in before.items():  # tenants that went may come back
            old.leak(self.time)
            if old.level > 0:
                self.buckets[name] = old

    def tick(self, now: float, known: Iterable[str]) -> None:
        """Buckets leak by the rate less what limiters may take that go alone: `known`, or callers
        once.
        """
        gone_by = max(0.0, now - self.at)
        longer = max(0.0, gone_by - SILENT)  # nobody called, so all went alone
        self.time += self.scale * (gone_by - longer) + (1.0 - ALONE) * longer
        names = {*known, *self.callers}
        self.gone = sum(
            name not in self.callers or now - self.callers[name].good > SILENT for name in names
        )
        self.many, self.at = max(1, len(names)), now
        self.scale = 1.0 - ALONE * self.gone / self.many

    def unheard(self, bucket: Bucket) -> tuple[float, float]:
        """What limiters may hold that this counter doesn't hear: of their own shares and, at first,
        of the counter before. Of quotas too small to share out it would be all, and is left out.
        """
        if not self.gone or self.few(bucket):
            return 0.0, 0.0
        young = self.at - self.began < HELD
        before = self.gone * bucket.depth / self.many if young else 0.0
        return self.gone * max(1.0, ALONE * bucket.rate / self.many), before

    def few(self, bucket: Bucket) -> bool:
        return bucket.depth < FEW * self.many

    def left(self, name: str) -> None:
        """A limiter ended its session: it lets nothing in any more."""
        self.callers.pop(name, None)
        for bucket in self.buckets.values():
            bucket.held.pop(name, None)

    def sweep(self, now: float, known: Iterable[str]) -> None:
        """Drops what limiters held that called long ago, and those that nobody knows any more."""
        there = {*known}
        for name, caller in list(self.callers.items()):
            if now - caller.at > HELD:
                for bucket in self.buckets.values():
                    bucket.held.pop(name, None)
                if name not in there:
                    del self.callers[name]

    def call(
        self,
        name: str,
        life: int,
        number: int,
        alone: bool,
        entries: Iterable[list[float]],
        now: float,
    ) -> list[list[float]] | None:
        """A limiter's call: by tenant's digest what it holds, what it let in while open and untold,
        and what it wants. Answers [digest, granted, whether open]; None if it went by another's
        grants: it must tell all that it holds under this number.
        """
        caller = self.callers.get(name)
        if caller is None or caller.life != life:
            for bucket in self.buckets.values():  # its former life's are lost with it
                bucket.held.pop(name, None)
            caller = self.callers[name] = Caller(life, now, now - 2 * SILENT)
        caller.at = now
        if number != self.number:
            return None
        if not alone:
            caller.good = now
        found = []
        for which, left, spent, want, asked in entries:
            bucket = self.buckets.get(int(which))
            if bucket is None:
                continue
            bucket.leak(self.time, *self.unheard(bucket))
            bucket.held[name] = left
            bucket.level = max(bucket.level + spent, sum(bucket.held.values()))
            opened = self.few(bucket) and bucket.level < self.brim(bucket)
            granted = 0.0 if opened else self.grant(bucket, name, left, want, bool(asked))
            found.append([int(which), granted, int(opened)])
        return found

    def closed(self, name: int) -> int:
        """Whether a bucket is half full, so that nobody lets in before it tells."""
        bucket = self.buckets.get(name)
        return int(bucket is not None and bucket.level >= self.brim(bucket))

    def brim(self, bucket: Bucket) -> float:
        """The level from which a small quota's bucket is closed. Where limiters are as few as the
        leeway, a counter that begins doesn't open it: with 12 limiters and two moves 48 ran of 4 a
        second and 4.
        """
        return min(bucket.depth, bucket.first if self.many <= self.bounds.quota_slack else inf) / 2

    def grant(self, bucket: Bucket, name: str, left: float, want: float, asked: bool) -> float:
        """Whole requests: fractions at many limiters would let nobody in. Where less than half is
        left, a limiter whose tenant doesn't ask gets none while it has one, nor soon after a start
        of all; where less than an eighth, only whoever has none gets some; where most is held
        nobody more than its even part.
        """
        free, most = bucket.depth - bucket.level, MOST_HELD * bucket.depth
        spare = asked or free >= bucket.depth / 2 or (left < 1 and self.at - self.began > HELD)
        if free < 1 or not spare or (left >= 1 and free < bucket.depth / 8):
            return 0.0
        if left >= 1 and sum(bucket.held.values()) > most:
            want = max(0.0, min(want, most / self.many - left))
        granted = float(int(min(want, max(1.0, 2 * free / self.many))))
        bucket.held[name] = left + granted
        bucket.level += granted
        return granted
