"""Who counts for the quotas: the duty that the serving primary lets out to one registry at a time.

A machine without clock, disk or net; every store has one, as any may come to serve. `now` is always
a steady clock's seconds. What holds it together:

- The duty is let out for a span that ends within the primary's own lease. The registry counts the
  span from
  when it sent its asking, the primary from when it answers, and longer by what clocks may differ.
  So whoever serves next, after that lease, needs to know of no registry of before.
- Where a primary goes on before its lease is over, it knows who had the duty: one that starts again
  by its
  disk, written before a registry is given it, and others don't get it for a lease's length; one
  that was handed the reign by word of the one before.
- At an address there is one registry: the new life of one that had it has it at once.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from loomstand.store.replica import HOLD, LEASE

SPAN = LEASE  # s at the most: three askings, so that two may be lost
LONGER = HOLD / LEASE  # the primary waits by so much longer: clocks' rates may differ by 4 %
# s from when a primary begins for which the registry that had the duty before comes first, as it
# has the counts, if it spoke lately: its asking is under way or comes within 0.2 s.
CHANCE = 0.5
# s by which the registry beside the primary comes before others, as its askings cost no bytes
# between zones: where both start together, it looks for its store every 0.1 s.
AHEAD = 0.15
SPOKE = 1.0  # s that count as lately: one that asks in vain asks twice in that time

Term = tuple[int, int]  # of a name: the primary's epoch, and its number under that


@dataclass(slots=True)
class CountingLease:
    """`named`: the host that has the duty or may have it first; "" where anybody may."""

    beside: str  # the host of this store
    number: int = 0
    named: str = ""
    life: int = 0  # of that registry, as it said
    until: float = -1e9  # nobody but `named` gets it before
    chance: float = -1e9  # nor before that, for the counts' sake
    ahead: float = -1e9  # until when the one beside comes first where anybody may
    paged: list[Any] | None = None  # what is on disk for sure: see `page`
    # by host: when it last asked here in vain
    spoke: dict[str, float] = field(default_factory=dict)
    epoch: int = 0  # of the primary that last told who has it

    # --- what carries over

    def page(self, host: str) -> list[Any]:
        """What has to be on disk before the duty goes to `host`, or goes on with it."""
        return [self.number + (host != self.named), host]

    def wake(self, started: float, epoch: int, page: list[Any]) -> None:
        """After a start, as the primary of `epoch` by its disk: who had the duty may still have
        it.
        """
        # numbers told go up to one above the page's: that somebody's span was over isn't written
        self.epoch, self.number, self.named = epoch, int(page[0]) + 2, str(page[1])
        self.until = started + HOLD

    def will(self, now: float) -> list[Any]:
        """For the one that the reign is handed to; the last is the seconds that the span may
        last.
        """
        left = max(0.0, self.until - now) if self.named else 0.0
        return [self.epoch, self.number, self.named, self.life, left]

    def inherit(self, now: float, will: list[Any]) -> None:
        self.epoch, self.number, self.named = int(will[0]), int(will[1]), str(will[2])
        self.life, self.paged = int(will[3]), None
        self.until = max(self.until, now + LONGER * float(will[4]))

    def hear(self, epoch: int, number: int, named: str) -> bool:
        """What the serving primary of `epoch` says; whether that is news."""
        if (epoch, number) <= (self.epoch, self.number):
            return False
        if epoch > self.epoch:  # that one serves, so it knows who may have it, or that nobody can
            self.paged, self.until = None, -1e9
        self.epoch, self.number, self.named, self.life = epoch, number, named, 0
        return True

    # --- as the one that serves

    def begin(self, now: float) -> None:
        """This member begins to serve."""
        lately = now - self.spoke.get(self.named, -1e9) < SPOKE
        self.chance = now + CHANCE if self.named and lately else now
        self.ahead = now + AHEAD
        self.spoke.clear()

    def lent(self, now: float) -> bool:
        """Whether somebody may have it by this member's word or knowledge."""
        return now < self.until

    def lapse(self, now: float) -> bool:
        """Lets go who had it, if that is over; whether it was."""
        if not self.named or now < max(self.until, self.chance):
            return False
        self.ahead = now + AHEAD * (self.named != self.beside)  # it has just failed to ask
        self._name("", 0)
        return True

    def early(self, now: float, host: str) -> float:
        """Seconds for which an asking waits, so that the one beside comes first."""
        return 0.0 if self.named or host == self.beside else self.ahead - now

    def _name(self, host: str, life: int) -> None:
        self.number, self.named, self.life = self.number + 1, host, life

    def may(self, now: float, host: str) -> bool:
        """Whether `host` gets it if it asks."""
        return host == self.named or now >= max(self.until, self.chance)

    def grant(self, now: float, host: str, life: int, lease_left: float) -> float:
        """The span for which `host` has it from the sending of its asking, 0 if it doesn't. `page`
        is on disk where another had it.
        """
        if lease_left <= 0.0 or not self.may(now, host):
            return 0.0
        if host != self.named:
            self._name(host, life)
        span = min(SPAN, lease_left)
        self.life, self.until = life, max(self.until, now + LONGER * span)
        return span

    def back(self, host: str, life: int) -> bool:
        """That life of the registry has it no more and asks for it no more."""
        if not self.named or (host, life) != (self.named, self.life):
            return False
        self._name("", 0)
        self.until = self.chance = -1e9
        return True
