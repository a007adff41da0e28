"""What this limiter may let in of each tenant: credits that the counter granted ahead, charged to
the quota when they were granted (`registry/quota_grants.py`). Without word of the counter a part of
the even share.

The module decides by its smoothed buckets as ever; credits are the bound that holds whatever it
believes. Pure: the clock is given, in seconds, steady.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import exp, inf

from loomstand.config.configuration import Tenant
from loomstand.config.settings import RuleBounds
from loomstand.registry.quota_grants import ALONE, FEW, GOOD, SILENT, depth

# Credits that are held of a tenant that asks little, as requests often come in pairs; more where a
# limiter's part of this share of the bucket is more.
LEAST, IDLE = 2.0, 0.2
# and the seconds of its requests lately beside: a call takes some ms, a counter that moves a second
AHEAD = 1.0
MORE = 0.5  # of what is to be held: more is asked for when no more than this is left
PACE = 1.0  # seconds over which its requests are smoothed
CALLS = 0.4  # seconds between calls at the most: half of SILENT
APART = 0.02  # and at the least
AGAIN = 0.1  # after one that failed
STARVED = 0.05  # after which a tenant that got nothing is asked for again
CLOSED = 1.0  # for which a word that a tenant is near its brim closes it
# Seconds alone after which the part shrinks to DIM of it: the counter forgets a limiter after 30 s,
# and goes on without it.
LONG, DIM = 25.0, 0.2


@dataclass(slots=True)
class TenantCredits:
    """One tenant's. `left`: granted; `spent`: let in while open, and not told; `own`: what came of
    the even share while alone.
    """

    rate: float
    depth: float
    left: float = 0.0
    spent: float = 0.0
    closed_until: float = 0.0
    own: float = 0.0
    own_at: float = 0.0
    pace: float = 0.0
    pace_at: float = 0.0
    hungry_at: float = 0.0  # asked for not before that

    def came(self, now: float) -> None:
        """A request more."""
        self.pace = self.pace * exp((self.pace_at - now) / PACE) + 1 / PACE
        self.pace_at = now

    def asked(self, now: float) -> bool:
        """Whether requests come, so that credits are not only held in case."""
        return self.pace > 0 and now - self.pace_at <= PACE

    def most(self, now: float, many: int) -> float:
        """What is to be held of it."""
        return max(LEAST, IDLE * self.depth / many) + AHEAD * self.pace * exp(
            (self.pace_at - now) / PACE
        )


class QuotaCredits:
    """All tenants' credits. `life`: a number of its own for each start."""

    def __init__(self, bounds: RuleBounds, life: int, now: float) -> None:
        self.bounds, self.life = bounds, life
        self.credits: dict[int, TenantCredits] = {}
        self.many = 1
        self.number = -1  # of the grants that these credits are of
        self.told_all = False
        self.answered = False  # whether ever
        self.heard = now  # when the last answered call was sent
        self.calling: dict[int, float] = {}  # what was told as spent in the call under way

    def learn(self, quotas: Mapping[int, Tenant]) -> None:
        """The tenants under a quota, by digest."""
        before, self.credits = self.credits, {}
        for name, tenant in quotas.items():
            most = depth(tenant.rate_per_second, tenant.burst_size, self.bounds)
            credit = before.get(name) or TenantCredits(tenant.rate_per_second, most)
            if tenant.rate_per_second < credit.rate:  # parts of a quota that is no more
                credit.left = min(credit.left, LEAST)
            credit.rate, credit.depth = tenant.rate_per_second, most
            self.credits[name] = credit
        self.told_all = False

    def limiters(self, many: int) -> None:
        """How many share the quotas."""
        self.many = max(1, many)

    def alone(self, now: float) -> bool:
        return now - self.heard > SILENT

    def few(self, credit: TenantCredits) -> bool:
        """Whether the tenant's quota can't be shared out ahead."""
        return credit.depth < FEW * self.many

    def open(self, credit: TenantCredits, now: float) -> bool:
        """Whether a request may be let in before it is told."""
        return self.few(credit) and now >= credit.closed_until

    def roll(self, credit: TenantCredits, now: float) -> None:
        """What comes of the even share, from when it went alone; none is kept when it is back."""
        if not self.alone(now):
            credit.own, credit.own_at = 0.0, now
            return
        since = max(credit.own_at, self.heard + SILENT)
        share = ALONE * credit.rate / self.many * (1.0 if now - self.heard < LONG else DIM)
        credit.own = min(max(1.0, share), credit.own + share * max(0.0, now - since))
        credit.own_at = now

    def source(self, credit: TenantCredits, now: float) -> str:
        """What a request may be let in by, if anything."""
        self.roll(credit, now)
        if now - self.heard <= GOOD:
            if credit.left >= 1:
                return "left"
            if self.open(credit, now) and credit.spent < 1 and self.answered:
                return "spent"
        return "own" if credit.own >= 1 else ""

    def may(self, name: int, now: float) -> bool:
        """Whether a request of that tenant may be let in; it is not yet."""
        credit = self.credits.get(name)
        if credit is None:
            return True
        credit.came(now)
        return bool(self.source(credit, now))

    def has(self, name: int, now: float) -> bool:
        """As `may`, of one that came before."""
        return (credit := self.credits.get(name)) is None or bool(self.source(credit, now))

    def used(self, name: int, now: float) -> None:
        """It was."""
        credit = self.credits.get(name)
        if credit is None:
            return
        match self.source(credit, now):
            case "left":
                credit.left -= 1
            case "own":
                credit.own -= 1
            case _:
                credit.spent += 1

    def wait(self, name: int, now: float) -> float:
        """Seconds after which one that wasn't let in may ask again."""
        credit = self.credits[name]
        return (
            STARVED if now >= credit.hungry_at else max(STARVED, min(2.0, self.many / credit.rate))
        )

    def full(self, name: int, now: float) -> None:
        """The counter says that a tenant is near its brim."""
        if credit := self.credits.get(name):
            credit.closed_until = now + CLOSED

    # calls

    def wants(self, credit: TenantCredits, now: float) -> float:
        most = credit.most(now, self.many)
        if self.few(credit):
            most = 0.0 if self.open(credit, now) or not credit.asked(now) else 1.0  # on demand
        return (
            most - credit.left
            if most and credit.left <= MORE * most and now >= credit.hungry_at
            else 0.0
        )

    def due(self, name: int, now: float) -> bool:
        """Whether a call should be made for a tenant, without waiting for the next."""
        credit = self.credits.get(name)
        return credit is not None and (credit.spent > 0 or self.wants(credit, now) > 0)

    def call(self, now: float) -> tuple[int, bool, list[list[float]]]:
        """The number of the grants held, whether it goes alone, and what to tell of the tenants."""
        entries, self.calling = [], {}
        for name, credit in self.credits.items():
            if now - self.heard > GOOD:
                credit.left = 0.0
            before = credit.left
            # others may want the rest
            credit.left = min(before, max(LEAST, 2 * credit.most(now, self.many)))
            want = self.wants(credit, now)
            if not self.told_all or want > 0 or credit.spent or credit.left != before:
                entries.append(
                    [name, credit.left, credit.spent, max(0.0, want), int(credit.asked(now))]
                )
                self.calling[name] = credit.spent
        return self.number, self.alone(now), entries

    def granted(
        self, sent: float, now: float, number: int, grants: Iterable[list[float]] | None
    ) -> bool:
        """The answer to a call that was sent then. Whether another must be made at once: these are
        other grants, of which the counter must know all that is held.
        """
        if number != self.number or grants is None:
            self.number, self.told_all = number, False
            return True
        again = self.alone(now)  # the counter must hear that it isn't any more
        self.heard, self.told_all, self.answered = max(self.heard, sent), True, True
        for which, granted, opened in grants:
            credit = self.credits.get(int(which))
            if credit is None:
                continue
            credit.spent = max(0.0, credit.spent - self.calling.get(int(which), 0.0))
            credit.left += granted
            credit.closed_until = 0.0 if opened else now + CLOSED
            if not granted and not opened:
                credit.hungry_at = now + STARVED
            else:
                credit.hungry_at = -inf
        return again
