"""This limiter's estimate of the shared clock, which determines the interval in counter names.

Limiters with different clocks count under different names: each sees only a part of a tenant's use,
and together they admit its quota twice. This occurs with limiters that started while no registry
was reachable, or whose wall clock was stepped, if they keep the clock that they started with.

Pure: methods take a reading of the limiter's local clock. Times are ticks of 0.1 ms.
"""

from __future__ import annotations

from dataclasses import dataclass

TOLERANCE_TICKS = 50  # ignored difference of offsets: a response may be queued for a few ms
ONE_WAY_TICKS = 10  # transit time of a response between zones
# Time for which smaller offsets must persist before the clock is set back. Late responses cause
# smaller offsets, by 0.2 s on lossy links; registries repeat a changed clock for 3 s.
BEHIND_TICKS = 8_000


@dataclass(slots=True)
class SharedClock:
    """The shared clock as an offset from the local clock.

    Attributes:
        offset: Ticks by which the shared clock is ahead of the local clock.
        is_set: Whether any registry has reported the shared clock.
        behind_offset: The largest offset observed since `behind_since`, if all of these were
            smaller than `offset`; otherwise None.
        behind_since: Local time of the first of these observations.
    """

    offset: int = 0
    is_set: bool = False
    behind_offset: int | None = None
    behind_since: int = 0

    def observe(self, shared_clock: int, now: int) -> bool:
        """Processes a reading of the shared clock received at `now` by the local clock.

        A delayed response makes the shared clock appear behind, never ahead. A larger offset is
        therefore applied immediately, a smaller one only if it persists.

        Returns:
            Whether `offset` changed.
        """
        offset = shared_clock + ONE_WAY_TICKS - now
        if not self.is_set or offset > self.offset + TOLERANCE_TICKS:
            has_changed = offset != self.offset
            self.offset = offset
            self.is_set = True
            self.behind_offset = None
            return has_changed
        if offset >= self.offset - TOLERANCE_TICKS:
            self.behind_offset = None
            return False
        if self.behind_offset is None:
            self.behind_offset = offset
            self.behind_since = now
        self.behind_offset = max(self.behind_offset, offset)
        if now - self.behind_since < BEHIND_TICKS:
            return False
        self.offset = self.behind_offset
        self.behind_offset = None
        return True
