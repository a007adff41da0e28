"""The limiters' common clock at a registry: it names the intervals of counts. Pure: readings are
given.
"""

from __future__ import annotations

from dataclasses import dataclass

MOVED = 0.005  # seconds; limiters hear of a clock that moved by more
# seconds for which they hear of it again and again, as late word of it counts for less
RETOLD = 3.0


@dataclass(slots=True)
class Clock:
    """`ahead`: seconds by which it is ahead of the steady clock here. `timed`: whether it's known
    to be theirs; else it is the time of day of this machine's start, which may be off.
    """

    ahead: float
    timed: bool = False
    moved_at: float = -RETOLD

    def at(self, now: float) -> float:
        return now + self.ahead

    def tenths(self, now: float, counts: bool) -> int | None:
        """For limiters, in tenths of a millisecond; None while it isn't known. Who counts first
        sets it.
        """
        self.timed = self.timed or counts
        return round(self.at(now) * 1e4) if self.timed else None

    def told(self, at: float, now: float) -> bool:
        """Takes it over from somebody who has it. Whether it moved."""
        before, self.ahead, self.timed = self.ahead, at - now, True
        if abs(before - self.ahead) <= MOVED:
            return False
        self.moved_at = now
        return True

    def lately(self, now: float) -> bool:
        """Whether limiters must hear of it once more."""
        return now - self.moved_at < RETOLD
