"""Parts that change each other by notes alone, the loop that hands the notes out, and plain records
and counts for them. Nothing here decides.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Generic, Protocol, TypeVar

from loomstand.admission.actions import Action
from loomstand.admission.events import CounterReplied, RequestArrived
from loomstand.admission.settings import EngineSettings

NEVER = -(1 << 60)  # a clock reading before all others
A = TypeVar("A")
P = TypeVar("P", bound="Placed")
Handler = Callable[..., None]


class ActorLoop:
    """The inboxes' loop, and what all parts read: the clock, the settings, chance and the reply."""

    def __init__(self, settings: EngineSettings, seed: int, now: int) -> None:
        self.settings = settings
        self.chance = Random(seed).random
        self.now = self.started = now
        self.ready: deque[Actor] = deque()
        self.actions: list[Action] = []

    def post(self, handler: Handler, *args: object) -> None:
        part = handler.__self__
        part.inbox.append((handler, args))
        self.ready.append(part)

    def run(self) -> list[Action]:
        while self.ready:
            handler, args = self.ready.popleft().inbox.pop(0)
            handler(*args)
        done, self.actions = self.actions, []
        return done


class Actor:
    """An actor: an inbox, short and so a list, and the loop that empties it."""

    __slots__ = ("inbox", "loop")

    def __init__(self, loop: ActorLoop) -> None:
        self.loop = loop
        self.inbox: list[tuple[Handler, tuple[object, ...]]] = []


class CounterUser(Protocol):
    """What calls to the counter are made for: `report` adds its use, `counted` gets a total or
    none.
    """

    digest: int
    length: int

    def report(self) -> None: ...
    def counted(self, k: int, step: float, got: CounterReplied) -> None: ...


@dataclass(slots=True, eq=False)
class PendingRequest(Generic[A]):
    """A req that is owed its answer, or whose dispatches are still out; `A` is the account's
    type.
    """

    note: RequestArrived
    account: A
    target: int
    worth: float
    tries: int  # dispatches at most
    sent: list[tuple[int, int]] = field(default_factory=list)  # server and time of each dispatch
    ended: int = 0
    maybe: list[int] = field(default_factory=list)  # dispatches that may have run
    turned: bool = False  # a server turned it away
    done: bool = False


class WaitQueues(Generic[A]):
    """Lines of waiters by name, each served in its order; an empty one takes no memory."""

    def __init__(self) -> None:
        self.by_name: dict[int, deque[A]] = {}

    def put(self, name: int, waiter: A) -> None:
        self.by_name.setdefault(name, deque()).append(waiter)

    def take(self, name: int) -> A | None:
        """The first of a line, or None."""
        if (line := self.by_name.get(name)) is None:
            return None
        waiter = line.popleft()
        if not line:
            del self.by_name[name]
        return waiter


class EventCounts:
    """Counts of what befell, said once every `every` of the clock."""

    def __init__(self, every: int, now: int) -> None:
        self.every, self.told = every, now
        self.counts: dict[str, int] = {}

    def add(self, what: str, now: int) -> list[str]:
        """All counts, sorted, where they are due; they begin anew then. Else nothing."""
        self.counts[what] = self.counts.get(what, 0) + 1
        if now < self.told + self.every:
            return []
        said = [f"{k} {v}" for k, v in sorted(self.counts.items())]
        self.counts, self.told = {}, now
        return said


class Placed(Protocol):
    place: int


class SortedRing(list[P]):
    """Things in the order of their places, no two of which are alike."""

    def hold(self, thing: P, there: bool) -> None:
        """Takes it in, or out."""
        at = bisect_left(self, thing.place, key=lambda v: v.place)
        if (at < len(self) and self[at] is thing) != there:
            self[at : at + (not there)] = [thing] if there else []


def drop_before(times: dict[A, int], at: int) -> None:
    """Drops those before a reading of the clock; they stand in the order of their times."""
    while times and next(iter(times.values())) < at:
        del times[next(iter(times))]
