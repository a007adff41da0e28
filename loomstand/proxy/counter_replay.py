"""What this limiter added to each sum, for counts that don't have it: a registry that has just come
to count begins with none, and limiters tell it theirs again. Pure: the clock is given.
"""

from __future__ import annotations

from dataclasses import dataclass

from loomstand.registry.quota_buckets import INTERVAL_SLOT_BITS as SLOTS


@dataclass(slots=True)
class Sum:
    added: float  # by this limiter, as far as it may have arrived
    counts: int  # the counts that have it
    until: float  # s; kept by the counter, too, until then


class CounterReplay:
    """Sums by name. Counts go by a number: another one where they began anew."""

    def __init__(self) -> None:
        self.sums: dict[int, Sum] = {}
        self.counts = 0  # which answered last
        self.whole: dict[int, int] = {}  # by tenant: the counts that were told all of its intervals

    def added(
        self, name: int, step: float, keep: float, now: float, counts: int | None = None
    ) -> float:
        """A step was added to `counts`, or may have been, without an answer; what these counts lack
        of the steps before, which is taken to be told next.
        """
        self.counts = counts = self.counts if counts is None else counts
        known = self.sums.setdefault(name, Sum(0.0, counts, 0.0))
        lacks = known.added if known.counts != counts else 0.0
        known.added, known.counts, known.until = known.added + step, counts, now + keep
        return lacks

    def lacking(self, name: int, counts: int) -> list[tuple[int, float]]:
        """Names of a tenant's other intervals and what these counts lack of them, which is taken to
        be told next: what limiters took while nobody counted may be in the last one.
        """
        tenant = name >> SLOTS
        if self.whole.get(tenant) == counts:
            return []
        self.whole[tenant] = counts
        found = [
            (n, s) for n, s in self.sums.items() if n >> SLOTS == tenant and s.counts != counts
        ]
        for _, known in found:
            known.counts = counts
        return [(n, known.added) for n, known in found]

    def untold(self, name: int) -> None:
        """What was lacking may not have arrived."""
        self.whole.pop(name >> SLOTS, None)
        if name in self.sums:  # else its time is over
            self.sums[name].counts = -1

    def sweep(self, now: float) -> None:
        for name in [n for n, known in self.sums.items() if known.until < now]:
            del self.sums[name]
