"""The registry's side of the counting duty: whether it counts, whether it asks, and whom. Pure: the
clock is given.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from loomstand.rpc.network import Address, Body

RENEW = 0.4  # s between two askings of the one that has it: a third of the span
# s after which a term that nobody repeats makes way for a lower one: the store began anew
STALE = 3.0
AGAIN = 0.2  # s after an asking in vain: stores hold it back for as long as nobody serves


@dataclass(slots=True)
class CountingLease:
    """`host`: this registry's address; `life`: a number of its own for each start."""

    host: str
    life: int
    until: float = 0.0  # it counts before that
    term: tuple[int, int] = (0, 0)
    at: float = 0.0  # when somebody last spoke of that term
    named: str = ""  # who has the duty, or may have it first; "" where anybody may
    counter: str = ""  # the last one named
    gap: bool = False  # another may have counted since this one did: its counts aren't whole
    primary: Address | None = None
    lost: bool = False  # the primary known didn't answer: it may be another

    def counts(self, now: float) -> bool:
        return now < self.until

    def heard(self, now: float, primary: Address | None, duty: list[Any] | None) -> bool:
        """What a store or another registry says: the primary, and [epoch, number, who] of the duty.
        Whether limiters need to hear of it.
        """
        if primary is not None and primary != self.primary:
            self.primary, self.lost = primary, False
        if not duty:
            return False
        term = (int(duty[0]), int(duty[1]))
        if term < self.term and now - self.at < STALE:
            return False
        self.at = now
        self.gap = self.gap or not self._goes_on(term, str(duty[2]))
        before, self.term, self.named = self.counter, term, str(duty[2])
        self.counter = self.named or self.counter
        return self.counter != before

    def _goes_on(self, term: tuple[int, int], named: str) -> bool:
        """Whether nobody else can have counted between the term known and that one. Another one
        takes two numbers: its own, and that of the name let go after it.
        """
        if named and named != self.host:
            return False
        same, numbers = term[0] == self.term[0], term[1] - self.term[1]
        if self.named == self.host:
            return not same or numbers <= 3
        return term == self.term or (same and not self.named and numbers <= 1)

    def asks(self) -> bool:
        """Whether it is its turn: nobody else is named."""
        return self.term != (0, 0) and self.named in ("", self.host)

    def whom(self, stores: list[Address]) -> list[Address]:
        """The primary; where it isn't known, all stores, of which each may be about to be it."""
        return stores if self.lost or self.primary is None else [self.primary]

    def body(self, back: bool = False) -> Body:
        return {"host": self.host, "life": self.life} | ({"back": True} if back else {})

    def granted(self, sent: float, span: float) -> None:
        """The span counts from the sending: the primary's began later."""
        self.until = max(self.until, sent + span)

    def pause(self, now: float) -> float:
        return RENEW if self.counts(now) and not self.lost else AGAIN
