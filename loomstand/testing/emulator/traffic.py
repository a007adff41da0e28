"""Who asks what: open-loop arrivals by plan, hot customers, frontends by their shares, true quotas.

Shared by the lab's clients and the rehearsal's driver; it knows no clock and draws on its caller's
chance.
"""

from __future__ import annotations

from bisect import bisect
from itertools import accumulate
from random import Random

from loomstand.testing.emulator.scenario import Frontend, Plan


class Traffic:
    """Draws customers and frontends. Customers are numbered over all plans, in the plans' order."""

    def __init__(self, plans: list[Plan], frontends: list[Frontend], rng: Random) -> None:
        self.plans, self.rng = plans, rng
        self.factor = [1.0] * len(plans)  # of each plan's demand, for floods
        whole = sum(f.share for f in frontends)
        self.fronts = list(accumulate(f.share / whole for f in frontends))
        self.first: list[int] = []  # each plan's first customer
        self.weights: list[list[float]] = []
        self.total = 0
        for plan in plans:
            hot = round(plan.customers * plan.hot)
            w = [plan.hot_demand if c < hot else plan.demand for c in range(plan.customers)]
            self.weights.append(list(accumulate(w)))
            self.first.append(self.total)
            self.total += plan.customers

    def rate(self, plan: int) -> float:
        """Reqs a second that a plan's customers ask now."""
        return self.weights[plan][-1] * self.plans[plan].rate * self.factor[plan]

    def customer(self, plan: int) -> int:
        w = self.weights[plan]
        return self.first[plan] + bisect(w, self.rng.random() * w[-1])

    def front(self) -> int:
        return bisect(self.fronts, self.rng.random() * self.fronts[-1] * 0.999999)


def refill(held: list[float], rate: float, depth: float, now: float, second: float = 1.0) -> float:
    """A bucket `[level, when]` filled at `rate` a second up to `depth` until `now`, where a second
    is `second` of the clock's units; returns the level.
    """
    held[0], held[1] = min(depth, held[0] + rate * (now - held[1]) / second), now
    return held[0]
