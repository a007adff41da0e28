"""Numbers by name: the counter that the design's parts need. Pure: the clock is given."""

from __future__ import annotations

MOST = 200_000  # names held at once: a minute of five hundred tenants' intervals, some 30 MB


class Tally:
    """Sums that live as long as their last caller asked for."""

    def __init__(self) -> None:
        self.sums: dict[int, tuple[float, float]] = {}  # by name: the sum, and until when it is kept

    def add(self, name: int, step: float, keep: float, now: float) -> float:
        """Adds `step` to a sum, keeps it `keep` seconds more, and gives the total."""
        total, until = self.sums.get(name, (0.0, 0.0))
        total = step if until < now else total + step
        if name in self.sums or len(self.sums) < MOST:
            self.sums[name] = total, max(until, now + keep)
        return total

    def sweep(self, now: float) -> None:
        """Forgets the sums that nobody asked to keep longer."""
        for name in [n for n, (_, until) in self.sums.items() if until < now]:
            del self.sums[name]
