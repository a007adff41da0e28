"""The clock by which all limiters name intervals, as this one knows it. Pure: its own clock is
given.

Limiters whose clocks differ count under different names: each sees only some of a tenant's use, and
all of them together let it have its quota twice. That came of limiters that started while no
registry could be reached, or whose time of day had jumped: they kept the clock that they first
served by.
"""

from __future__ import annotations

from dataclasses import dataclass

OFF = 50  # tenths of a millisecond by which it may be off: an answer waits its turn for some
ONE_WAY = 10  # tenths that an answer is under way, between zones
# Tenths after which word that the common clock is behind counts. Late answers make it look so, on
# lossy links by a fifth of a second; registries tell a clock that moved for three seconds.
LATE = 8_000


@dataclass(slots=True)
class SharedClock:
    """`shift`: tenths by which the common clock is ahead of the own one."""

    shift: int = 0
    known: bool = False  # whether anybody told of it
    # the furthest ahead that it looked since `since`, where that was behind
    behind: int | None = None
    since: int = 0

    def heard(self, clock: int, now: int) -> bool:
        """What a registry told, at `now` of the own clock, both in tenths. Whether the shift is
        another one.

        What comes late makes the common clock look behind, never ahead.
        """
        shift = clock + ONE_WAY - now
        if not self.known or shift > self.shift + OFF:
            moved, self.shift, self.known, self.behind = shift != self.shift, shift, True, None
            return moved
        if shift >= self.shift - OFF:
            self.behind = None
            return False
        if self.behind is None:
            self.behind, self.since = shift, now
        self.behind = max(self.behind, shift)
        if now - self.since < LATE:
            return False
        self.shift, self.behind = self.behind, None
        return True
