"""The clock by which all limiters name the intervals of counters, as this limiter knows it.

Limiters whose clocks differ count under different names: each sees only some of a tenant's use, and
all of them together admit its quota twice. That befell limiters that started while no registry was
in reach, or whose time of day had jumped, as they kept the clock that they started with.

Pure: readings of the limiter's own clock are given. Times are ticks of 0.1 ms.
"""

from __future__ import annotations

from dataclasses import dataclass

TOLERANCE_TICKS = 50  # by which an offset may be off: an answer may wait its turn for some ms
ONE_WAY_TICKS = 10  # that an answer takes, between zones
# For so long an offset must look behind before the clock follows. Late answers make it look so, on
# lossy links by a fifth of a second; registries repeat a clock that moved for three seconds.
BEHIND_TICKS = 8_000


@dataclass(slots=True)
class SharedClock:
    """The shared clock as an offset from the limiter's own.

    Attributes:
        offset: Ticks by which the shared clock is ahead of the own one.
        is_set: Whether any registry told the shared clock.
        behind_offset: The largest offset observed since `behind_since`, where all observed since
            were smaller than `offset`; else None.
        behind_since: Reading of the own clock.
    """

    offset: int = 0
    is_set: bool = False
    behind_offset: int | None = None
    behind_since: int = 0

    def observe(self, shared_clock: int, now: int) -> bool:
        """Takes over a reading of the shared clock that came at `now` of the own clock.

        An answer that comes late makes the shared clock look behind, never ahead. So a larger
        offset counts at once, a smaller one only if it persists.

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
