"""Traffic model: arrival rates by plan, hot customers, frontends by their shares, quota buckets.

Shared by the emulator's clients and the rehearsal's driver. The model has no clock and uses its
caller's random number generator.
"""

from __future__ import annotations

from bisect import bisect
from itertools import accumulate
from random import Random

from loomstand.testing.emulator.scenario import Frontend, Plan


class Traffic:
    """Draws random customers and frontends.

    Customers are numbered over all plans, in the order of the plans.
    """

    def __init__(self, plans: list[Plan], frontends: list[Frontend], rng: Random) -> None:
        self.plans, self.rng = plans, rng
        self.demand_factors = [1.0] * len(plans)  # by plan; changed by the fault flood_plan
        total_share = sum(f.share for f in frontends)
        self.cumulative_shares = list(accumulate(f.share / total_share for f in frontends))
        self.first_customers: list[int] = []  # number of each plan's first customer
        # by plan: running sums of its customers' demands, each a multiple of the plan's rate
        self.cumulative_weights: list[list[float]] = []
        self.customer_count = 0
        for plan in plans:
            hot_customers = round(plan.customers * plan.hot)
            weights = [
                plan.hot_demand if c < hot_customers else plan.demand for c in range(plan.customers)
            ]
            self.cumulative_weights.append(list(accumulate(weights)))
            self.first_customers.append(self.customer_count)
            self.customer_count += plan.customers

    def rate(self, plan: int) -> float:
        """Returns the arrival rate of a plan, in requests per second."""
        return self.cumulative_weights[plan][-1] * self.plans[plan].rate * self.demand_factors[plan]

    def draw_customer(self, plan: int) -> int:
        """Draws a customer of the plan, weighted by demand."""
        weights = self.cumulative_weights[plan]
        return self.first_customers[plan] + bisect(weights, self.rng.random() * weights[-1])

    def draw_frontend(self) -> int:
        """Draws a frontend, weighted by share."""
        return bisect(
            self.cumulative_shares, self.rng.random() * self.cumulative_shares[-1] * 0.999999
        )


def refill(
    bucket: list[float], rate: float, depth: float, now: float, second: float = 1.0
) -> float:
    """Refills a bucket `[level, time]` up to `now` and returns its level.

    Args:
        bucket: The bucket; changed in place.
        rate: Units per second.
        depth: Maximum level, in units.
        now: Time, in the unit of the caller's clock.
        second: Length of a second in that unit.
    """
    bucket[0], bucket[1] = min(depth, bucket[0] + rate * (now - bucket[1]) / second), now
    return bucket[0]
