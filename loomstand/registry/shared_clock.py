"""The limiters' shared clock as known to a registry; it determines the interval in counter names.

Pure: readings of the monotonic clock are arguments, in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass

# A step of the clock larger than this is reported to limiters.
MIN_STEP_SECONDS = 0.005
# Time after a step for which it is reported repeatedly, as limiters give a delayed report less
# weight.
STEP_REPORT_SECONDS = 3.0
# Limiters receive the clock in ticks of 0.1 ms.
TICKS_PER_SECOND = 1e4


@dataclass(slots=True)
class SharedClock:
    """The shared clock, as an offset from the monotonic clock of this process.

    Attributes:
        offset_seconds: Shared clock minus monotonic clock.
        is_known: Whether limiters use this clock. Until then, the clock shows this machine's wall
            clock time as read at the start, which may be wrong.
        stepped_at: Time of the last step larger than `MIN_STEP_SECONDS`, by the monotonic clock.
    """

    offset_seconds: float
    is_known: bool = False
    stepped_at: float = -STEP_REPORT_SECONDS

    def read(self, now: float) -> float:
        """Returns the shared clock's reading, in seconds."""
        return now + self.offset_seconds

    def ticks(self, now: float, is_counting: bool) -> int | None:
        """Returns the reading for limiters, in ticks of 0.1 ms; None while the clock is unknown.

        The first registry that counts sets the clock.
        """
        self.is_known = self.is_known or is_counting
        return round(self.read(now) * TICKS_PER_SECOND) if self.is_known else None

    def synchronize(self, reading: float, now: float) -> bool:
        """Sets the clock to the reading of another program.

        Returns:
            Whether the step is larger than `MIN_STEP_SECONDS`.
        """
        offset_before = self.offset_seconds
        self.offset_seconds = reading - now
        self.is_known = True
        if abs(offset_before - self.offset_seconds) <= MIN_STEP_SECONDS:
            return False
        self.stepped_at = now
        return True

    def has_recently_stepped(self, now: float) -> bool:
        """Returns whether the clock must still be reported to limiters after a step."""
        return now - self.stepped_at < STEP_REPORT_SECONDS
