"""Load shedding by rank when capacity is short, in the same order at every limiter.

Each limiter measures the work that the requests of each rank demand and assigns its concurrency
window from the last rank down: first the protected rank, then the others in order. The rank at
which the window is used up is admitted in part, at random. A limit on the number of attempts in
flight can't do this where a limiter has about eight in flight: that number varies by a third, and
each peak would reject the latest requests instead of those with the least value.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import exp

# Ticks. Demand is measured over two spans, 0.6 s and 3 s, and the larger result counts. A long span
# alone admits too much while clients move to this limiter all at once. The short one alone measures
# demand at 25 requests/s to within a third only, and the lowest rank would be admitted whenever the
# demand of the other ranks appears to fall.
DEMAND_SPANS = (6_000, 30_000)
SHARE_UPDATE_INTERVAL = DEMAND_SPANS[0] // 5  # ticks


class DemandMeter:
    """Work of the arrived requests by rank, with exponential decay.

    Attributes:
        span: Time constant of the decay, in ticks.
        started_at: When the meter was created, in ticks.
        decayed_at: When the work was last decayed, in ticks.
        work: Decayed work of the requests of each rank, in ticks.
    """

    def __init__(self, span: int, rank_count: int, now: int) -> None:
        self.span = span
        self.started_at = now
        self.decayed_at = now
        self.work = [0.0] * rank_count

    def add(self, now: int, rank: int, work: float) -> None:
        """Adds a request's work, in ticks."""
        self.decay(now)
        self.work[rank] += work

    def decay(self, now: int) -> None:
        """Decays the work up to a clock reading."""
        if now > self.decayed_at:
            factor = exp((self.decayed_at - now) / self.span)
            self.work = [w * factor for w in self.work]
            self.decayed_at = now

    def demand(self, now: int) -> list[float]:
        """Returns for each rank the mean number of attempts in flight if all were admitted."""
        self.decay(now)
        # the meter starts at zero: divide by the weight of the time since then
        observed = self.span * (1 - exp((self.started_at - now) / self.span))
        return [w / max(observed, self.span / 20) for w in self.work]


class SheddingOrder:
    """Admission by rank.

    Attributes:
        meters: Demand meters, one for each of `DEMAND_SPANS`.
        shares: For each rank, the share of its requests to admit.
        shares_updated_at: When the shares were last updated, in ticks.
        reserved_share: The part of the window that only requests of the last rank may use.
    """

    def __init__(self, rank_count: int, reserved_share: float, now: int) -> None:
        self.meters = [DemandMeter(span, rank_count, now) for span in DEMAND_SPANS]
        self.shares = [1.0] * rank_count
        self.reserved_share = reserved_share
        self.shares_updated_at = now - SHARE_UPDATE_INTERVAL

    def demand(self, now: int) -> list[float]:
        """Returns for each rank the larger of the demands measured over the two spans."""
        return [max(by_span) for by_span in zip(*(m.demand(now) for m in self.meters), strict=True)]

    def admits(self, now: int, rank: int, work: float, window: float, draw: float) -> bool:
        """Records a request and returns whether it is admitted.

        Args:
            now: The time in ticks.
            rank: The request's rank; 0 is shed first.
            work: The time that a server needs for it, in ticks.
            window: How many attempts may be in flight.
            draw: A random number in [0, 1).
        """
        for meter in self.meters:
            meter.add(now, rank, work)
        if now - self.shares_updated_at >= SHARE_UPDATE_INTERVAL:
            self.shares_updated_at = now
            self.shares = admitted_shares(self.demand(now), window, self.reserved_share)
        return draw < self.shares[rank]


def admitted_shares(demand: Sequence[float], window: float, reserved_share: float) -> list[float]:
    """Returns for each rank the share of its requests to admit.

    The window is assigned from the last rank down; ranks below the last can't use the reserved
    share.

    Args:
        demand: For each rank, the mean number of attempts in flight if all were admitted.
        window: How many attempts may be in flight.
        reserved_share: The part of the window that only requests of the last rank may use.
    """
    admitted = [0.0] * len(demand)
    last = len(demand) - 1
    remaining = window
    for rank in range(last, -1, -1):
        if rank == last - 1:
            remaining = min(remaining, window * (1 - reserved_share))
        assigned = min(demand[rank], max(0.0, remaining))
        admitted[rank] = assigned / demand[rank] if demand[rank] > 0 else float(remaining > 0)
        remaining -= assigned
    return admitted


class WindowController:
    """Adjusts the concurrency window to late answers, as DCTCP does for a network link.

    A round is as many answers as the window is large. After a round with late answers the window
    shrinks by a quarter of the smoothed late share. After a round without late answers, in which
    the window was used, it grows by a twentieth of `min_size`: the step is the same at all
    limiters, so their windows converge.

    `ConcurrencyWindow`, in use without a zone plan, shrinks by one for each late answer. All
    answers of a load peak are late together, so the window of a limiter with eight attempts in
    flight would halve, and the fleet would oscillate between half used and overloaded.

    Attributes:
        late_share: Smoothed share of late answers.
        answers: Number of answers in this round.
        in_flight_sum: Sum of the attempts in flight at each answer of this round.
        is_clean: Whether this round has no late answer so far.
    """

    LATE_SHARE_GAIN = 1 / 16  # weight of one answer, as in DCTCP
    # Of `min_size`, for each round: ten rounds restore a window that shrank to it by a third.
    GROWTH = 1 / 20
    # The window grows if at least this share of it was in use on average: whether the servers have
    # capacity for an unused part is not known.
    MIN_UTILIZATION = 0.8

    def __init__(self) -> None:
        self.late_share = 0.0
        self.answers = 0
        self.in_flight_sum = 0
        self.is_clean = True

    def update(self, size: float, min_size: float, lateness: float, in_flight: int) -> float:
        """Returns the window size after an answer.

        Args:
            size: The size before.
            min_size: The lower bound of the size.
            lateness: How much the answer counts as late, from 0 to 1.
            in_flight: The other attempts in flight.
        """
        self.late_share += self.LATE_SHARE_GAIN * (lateness - self.late_share)
        self.answers += 1
        self.in_flight_sum += in_flight + 1
        self.is_clean = self.is_clean and not lateness
        if self.answers < size:
            return size
        is_used = self.in_flight_sum >= self.MIN_UTILIZATION * size * self.answers
        is_clean = self.is_clean
        self.answers = 0
        self.in_flight_sum = 0
        self.is_clean = True
        if not is_clean:
            return max(min_size, size * (1 - self.late_share / 4))
        return size + self.GROWTH * min_size if is_used else size
