"""The counter's totals as the lab and the rehearsal's stand-in keep them: by name, each with a
life.
"""

from __future__ import annotations

from collections.abc import Hashable


class Totals:
    """Totals by name in one part, or in several that do not see each other's adds. Times are the
    caller's.
    """

    def __init__(self) -> None:
        self.parts: list[dict[Hashable, list[float]]] = [{}]

    def add(self, caller: int, name: Hashable, step: float, now: float, keep: float) -> float:
        """Adds to a name that lives for `keep` from now, in the part that this caller reaches; its
        total.
        """
        part = self.parts[caller % len(self.parts)]
        held = part.get(name)
        if held is None or held[1] < now:
            held = part[name] = [0.0, 0]
        held[0] += step
        held[1] = now + keep
        return held[0]

    def wipe(self) -> None:
        self.parts = [{} for _ in self.parts]

    def split(self, parts: int) -> None:
        self.parts = [{k: list(v) for k, v in self.parts[0].items()} for _ in range(parts)]

    def join(self) -> None:
        """Parts that see each other again keep the larger total of each name: none is counted
        twice.
        """
        whole: dict[Hashable, list[float]] = {}
        for part in self.parts:
            for name, held in part.items():
                if name not in whole or held[0] > whole[name][0]:
                    whole[name] = list(held)
        self.parts = [whole]
