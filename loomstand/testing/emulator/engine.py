"""The lab's event loop: one heap of notes in simulated time, emptied in order.

Every part of the model is an actor with one method, `take(note)`; parts talk only by notes that the
loop hands over at their time. Times are whole tenths of a millisecond, as in
`loomstand.admission.events`. Ties are broken by the order of posting, so that the same scenario
and seed give the same history.

Weighed against simpy in `docs/lab.md` (the probe's figures are there): the model needs no process
that waits on several things, and a heap of plain tuples costs less per event than a generator
process.
"""

from __future__ import annotations

from heapq import heappop, heappush
from typing import Protocol


class Actor(Protocol):
    def receive(self, message: object) -> None: ...


class Engine:
    """The clock and the heap. `post(after, actor, note)` hands `note` to `actor` `after` tenths
    from now.
    """

    __slots__ = ("events", "heap", "now", "seq")

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, Actor, object]] = []
        self.now = 0
        self.seq = 0
        self.events = 0

    def schedule(self, after: int, actor: Actor, message: object) -> None:
        self.seq += 1
        heappush(self.heap, (self.now + max(0, after), self.seq, actor, message))

    def schedule_at(self, when: int, actor: Actor, message: object) -> None:
        self.seq += 1
        heappush(self.heap, (max(self.now, when), self.seq, actor, message))

    def run(self, until: int) -> None:
        """Hands over every note due up to `until`, in time order, then sets the clock there."""
        heap = self.heap
        while heap and heap[0][0] <= until:
            when, _, actor, message = heappop(heap)
            self.now = when
            self.events += 1
            actor.receive(message)
        self.now = max(self.now, until)
