"""Discrete-event loop of the emulator: one heap of messages, ordered by simulated time.

Every part of the model is an actor with the method `receive(message)`; parts communicate only by
messages, which the loop delivers at their time. Times are in ticks (0.1 ms), as in
`loomstand.admission.events`. Messages of the same time are delivered in the order in which they
were scheduled, so that the same scenario and seed give the same history.

No simulation library is used: no part of the model has to wait for several events at a time, and a
heap of tuples costs less per event than a generator process. `docs/lab.md` has the measurements, in
comparison with simpy.
"""

from __future__ import annotations

from heapq import heappop, heappush
from typing import Protocol


class Actor(Protocol):
    """A part of the model that receives messages."""

    def receive(self, message: object) -> None: ...


class Engine:
    """The simulated clock and the heap of scheduled messages.

    Attributes:
        heap: Scheduled messages as (time, sequence number, actor, message).
        now: The simulated time, in ticks.
        seq: Number of messages scheduled, which orders those of the same time.
        events: Number of messages delivered.
    """

    __slots__ = ("events", "heap", "now", "seq")

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, Actor, object]] = []
        self.now = 0
        self.seq = 0
        self.events = 0

    def schedule(self, after: int, actor: Actor, message: object) -> None:
        """Delivers a message to an actor `after` ticks from now."""
        self.seq += 1
        heappush(self.heap, (self.now + max(0, after), self.seq, actor, message))

    def schedule_at(self, when: int, actor: Actor, message: object) -> None:
        """Delivers a message to an actor at the time `when`, or now if that is past."""
        self.seq += 1
        heappush(self.heap, (max(self.now, when), self.seq, actor, message))

    def run(self, until: int) -> None:
        """Delivers all messages due up to `until` in order, then sets the clock to `until`."""
        heap = self.heap
        while heap and heap[0][0] <= until:
            when, _, actor, message = heappop(heap)
            self.now = when
            self.events += 1
            actor.receive(message)
        self.now = max(self.now, until)
