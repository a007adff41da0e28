"""Counter totals with a time to live, for the emulator and the rehearsal's stand-in counter."""

from __future__ import annotations

from collections.abc import Hashable


class Totals:
    """Totals by name, in one partition or in several that don't replicate to each other.

    Times are in the unit of the caller's clock.
    """

    def __init__(self) -> None:
        self.parts: list[dict[Hashable, list[float]]] = [{}]

    def add(self, caller: int, name: Hashable, step: float, now: float, keep: float) -> float:
        """Adds to a total in the caller's partition and returns it; it expires `keep` from now."""
        part = self.parts[caller % len(self.parts)]
        entry = part.get(name)
        if entry is None or entry[1] < now:
            entry = part[name] = [0.0, 0]
        entry[0] += step
        entry[1] = now + keep
        return entry[0]

    def wipe(self) -> None:
        """Deletes all totals."""
        self.parts = [{} for _ in self.parts]

    def split(self, parts: int) -> None:
        """Splits the counter into partitions, each with a copy of the totals."""
        self.parts = [{k: list(v) for k, v in self.parts[0].items()} for _ in range(parts)]

    def join(self) -> None:
        """Merges the partitions; the larger total of each name is kept, so none counts twice."""
        whole: dict[Hashable, list[float]] = {}
        for part in self.parts:
            for name, entry in part.items():
                if name not in whole or entry[0] > whole[name][0]:
                    whole[name] = list(entry)
        self.parts = [whole]
