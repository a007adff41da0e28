"""Who is let in when there is too little room: by rank, the same order at every limiter.

Each limiter meters the work that each rank asks of it and fills its own room from the last rank
down: what must not be refused first, then the ranks in order, and the one at which the room ends
gets a share by chance. A bound on what is out at once can't do this where a limiter has some eight
dispatches out: their number varies by a third, and at each peak it refuses what came last, not what
is worth least.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import exp

# Demand is metered over two spans, and the larger counts. Over 2 s alone half as much again was let
# in for as long when clients moved at once; over 0.6 s alone a limiter of 25 reqs a second knows it
# to a third, and what is refused first was let in whenever the rest seemed to ask less (both found
# on the rig).
SPANS = (6_000, 30_000)
EVERY = SPANS[0] // 5  # how often shares are worked out anew


class Meter:
    """Work that came, by rank, fading over a span."""

    def __init__(self, span: int, ranks: int, now: int) -> None:
        self.span, self.began, self.at, self.came = span, now, now, [0.0] * ranks

    def add(self, now: int, rank: int, work: float) -> None:
        self.fade(now)
        self.came[rank] += work

    def fade(self, now: int) -> None:
        if now > self.at:
            keep = exp((self.at - now) / self.span)
            self.came = [c * keep for c in self.came]
            self.at = now

    def demand(self, now: int) -> list[float]:
        """By rank: how many dispatches would be out at once if all were let in."""
        self.fade(now)
        seen = self.span * (1 - exp((self.began - now) / self.span))  # it began empty
        return [c / max(seen, self.span / 20) for c in self.came]


class Order:
    """`kept` is the share of the room that only the last rank may use."""

    def __init__(self, ranks: int, kept: float, now: int) -> None:
        self.meters = [Meter(span, ranks, now) for span in SPANS]
        self.shares = [1.0] * ranks
        self.kept, self.worked_out = kept, now - EVERY

    def demand(self, now: int) -> list[float]:
        return [max(both) for both in zip(*(m.demand(now) for m in self.meters), strict=True)]

    def admits(self, now: int, rank: int, work: float, room: float, chance: float) -> bool:
        """Whether a req that takes `work` (tenths) is let in, with room for so many dispatches at
        once.
        """
        for meter in self.meters:
            meter.add(now, rank, work)
        if now - self.worked_out >= EVERY:
            self.worked_out = now
            self.shares = shares(self.demand(now), room, self.kept)
        return chance < self.shares[rank]


def shares(demand: Sequence[float], room: float, kept: float) -> list[float]:
    """By rank: the share let in. Room goes to the last rank first; the others may not use what is
    kept.
    """
    out, last = [0.0] * len(demand), len(demand) - 1
    left = room
    for rank in range(last, -1, -1):
        if rank == last - 1:
            left = min(left, room * (1 - kept))
        given = min(demand[rank], max(0.0, left))
        out[rank] = given / demand[rank] if demand[rank] > 0 else float(left > 0)
        left -= given
    return out


class Room:
    """How many dispatches may be out at once, in rounds of as many answers: a round with late ones
    takes off a quarter of the share that is late lately, a clean one that used the room adds a
    twentieth of `least`, the same at all limiters, so that their rooms become alike. (As DCTCP does
    for a link.)

    The module's own window takes one off for each late answer: all of a peak come late together,
    the window of a limiter of eight falls to half, and the fleet swings between half empty and
    overfull.
    """

    GAIN = 1 / 16  # of the late share, an answer: DCTCP's
    GROW = 1 / 20  # of the least, a clean round: from two thirds to the whole in some ten rounds
    USED = 0.8  # on the mean of a round: room that was not used is not known to be there

    def __init__(self) -> None:
        self.late = 0.0
        self.answers, self.out, self.clean = 0, 0, True

    def answered(self, size: float, least: float, bad: float, out: int) -> float:
        """The size after an answer: how bad it was (0 to 1), and what is out beside it."""
        self.late += self.GAIN * (bad - self.late)
        self.answers, self.out = self.answers + 1, self.out + out + 1
        self.clean = self.clean and not bad
        if self.answers < size:
            return size
        used, clean = self.out >= self.USED * size * self.answers, self.clean
        self.answers, self.out, self.clean = 0, 0, True
        if not clean:
            return max(least, size * (1 - self.late / 4))
        return size + self.GROW * least if used else size
