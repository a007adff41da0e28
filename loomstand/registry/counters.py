"""Numbers by name: the counter that the design's parts need. Pure: the clock is given."""

from __future__ import annotations

MOST = 200_000  # names held at once: a minute of five hundred tenants' intervals, some 30 MB
# Seconds for which sums that began anew give no totals: limiters that call often have told theirs
# again by then. Tried with a tenant at five times its quota, six runs, the counting registry killed
# or frozen: of 284 that are allowed in 5 s 279 ran at the most with 0, 281 with 0.5, 274 with 0.7,
# 258 with 1.5.
YOUNG = 0.7


class Counters:
    """Sums that live as long as their last caller asked for.

    `number`: another one where they begin anew. `moved`: another registry counted before, so that
    they lack what limiters have not told again. Where all start, those have long gone without
    totals and needn't wait.
    """

    def __init__(self, number: int, moved: bool = False) -> None:
        self.number, self.whole = number, None if moved else 0.0
        # by name: the sum, and until when it is kept
        self.sums: dict[int, tuple[float, float]] = {}

    def add(self, name: int, step: float, keep: float, now: float) -> float:
        """Adds `step` to a sum, keeps it `keep` seconds more, and gives the total."""
        total, until = self.sums.get(name, (0.0, 0.0))
        total = step if until < now else total + step
        if name in self.sums or len(self.sums) < MOST:
            self.sums[name] = total, max(until, now + keep)
        return total

    def young(self, now: float) -> bool:
        """Whether totals are too low, from the first step on."""
        if self.whole is None:
            self.whole = now + YOUNG
        return now < self.whole

    def sweep(self, now: float) -> None:
        """Forgets the sums that nobody asked to keep longer."""
        for name in [n for n, (_, until) in self.sums.items() if until < now]:
            del self.sums[name]
