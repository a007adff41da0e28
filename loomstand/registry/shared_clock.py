"""The limiters' shared clock as a registry knows it: it names the intervals of counts.

Pure: readings of the steady clock are given, in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass

# Limiters hear of a clock that moved by more than this.
MIN_STEP_SECONDS = 0.005
# Limiters hear again and again of a clock that moved, for so long: a late notification counts for
# less with them.
STEP_REPEAT_SECONDS = 3.0
# Limiters get the clock in ticks of a tenth of a millisecond.
TICKS_PER_SECOND = 1e4


@dataclass(slots=True)
class SharedClock:
    """The shared clock, as an offset from the steady clock of this process.

    Attributes:
        offset_seconds: How far it is ahead of the steady clock.
        is_known: Whether it is known to be the limiters'; else it is the time of day of this
            machine's start, which may be off.
        stepped_at: When it last moved, by the steady clock.
    """

    offset_seconds: float
    is_known: bool = False
    stepped_at: float = -STEP_REPEAT_SECONDS

    def read(self, now: float) -> float:
        """Returns the shared clock's reading, in seconds."""
        return now + self.offset_seconds

    def ticks(self, now: float, is_counting: bool) -> int | None:
        """Returns the reading for limiters, in ticks; None while it isn't known.

        Whoever counts first sets the clock.
        """
        self.is_known = self.is_known or is_counting
        return round(self.read(now) * TICKS_PER_SECOND) if self.is_known else None

    def synchronize(self, reading: float, now: float) -> bool:
        """Takes the clock over from another program that knows it.

        Returns:
            Whether it moved.
        """
        offset_before = self.offset_seconds
        self.offset_seconds = reading - now
        self.is_known = True
        if abs(offset_before - self.offset_seconds) <= MIN_STEP_SECONDS:
            return False
        self.stepped_at = now
        return True

    def has_recently_stepped(self, now: float) -> bool:
        """Returns whether limiters must hear of the clock once more."""
        return now - self.stepped_at < STEP_REPEAT_SECONDS
