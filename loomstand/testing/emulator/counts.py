"""Counter totals with a time to live, for the emulator and the rehearsal's stand-in counter."""

from __future__ import annotations

from collections.abc import Hashable


class Totals:
    """Totals by name, in one partition or in several that don't replicate to each other.

    Times are in the unit of the caller's clock. Each partition holds [total, expiry] by name.
    """

    def __init__(self) -> None:
        self.partitions: list[dict[Hashable, list[float]]] = [{}]

    def add(
        self, caller: int, name: Hashable, amount: float, now: float, time_to_live: float
    ) -> float:
        """Adds to a total in the caller's partition and returns the new total.

        The total expires `time_to_live` from now, unless the next amount is added before.
        """
        partition = self.partitions[caller % len(self.partitions)]
        entry = partition.get(name)
        if entry is None or entry[1] < now:
            entry = partition[name] = [0.0, 0]
        entry[0] += amount
        entry[1] = now + time_to_live
        return entry[0]

    def wipe(self) -> None:
        """Deletes all totals."""
        self.partitions = [{} for _ in self.partitions]

    def split(self, count: int) -> None:
        """Splits the counter into `count` partitions, each with a copy of the totals."""
        self.partitions = [
            {k: list(v) for k, v in self.partitions[0].items()} for _ in range(count)
        ]

    def join(self) -> None:
        """Merges the partitions.

        The largest total of each name is kept; a sum would count the common part twice.
        """
        merged: dict[Hashable, list[float]] = {}
        for partition in self.partitions:
            for name, entry in partition.items():
                if name not in merged or entry[0] > merged[name][0]:
                    merged[name] = list(entry)
        self.partitions = [merged]
