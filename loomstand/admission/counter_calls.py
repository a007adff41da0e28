"""Calls to the shared counter in flight, and the names of counts. Pure."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Protocol

from loomstand.admission.actions import IncrementCounter
from loomstand.admission.events import CounterReplied
from loomstand.admission.ticks import TICKS_PER_SECOND

# A count's name: the tenant's digest, and the interval's number in this many bits.
INTERVAL_BITS = 15
INTERVAL_MASK = (1 << INTERVAL_BITS) - 1
# Counts are kept for three intervals and a second, a minute at most.
KEPT_INTERVALS = 3
MAX_TIME_TO_LIVE = 60 * TICKS_PER_SECOND


class CounterUser(Protocol):
    """Interface of a tenant's limiter for calls to the counter."""

    @property
    def tenant_digest(self) -> int:
        """The tenant's digest."""

    @property
    def interval_length(self) -> int:
        """Length of the tenant's counting intervals, in ticks."""

    def post_report(self) -> None:
        """Posts a request to report usage, because a call may be made now."""

    def post_reply(self, interval: int, amount: float, reply: CounterReplied) -> None:
        """Posts the reply to its call with `amount` for an interval."""


@dataclass(slots=True)
class CounterCall:
    """A call in flight.

    Attributes:
        caller: The tenant's limiter that receives the reply.
        interval: Number of the counting interval.
        amount: What the call adds.
    """

    caller: CounterUser
    interval: int
    amount: float


class CounterCalls:
    """Calls in flight by the count's name; replies for one name arrive in call order."""

    def __init__(self) -> None:
        self._by_name: dict[int, deque[CounterCall]] = {}

    def make(self, caller: CounterUser, interval: int, amount: float) -> IncrementCounter:
        """Records a call as in flight, and returns the action that makes it."""
        name = caller.tenant_digest << INTERVAL_BITS | interval & INTERVAL_MASK
        self._by_name.setdefault(name, deque()).append(CounterCall(caller, interval, amount))
        time_to_live = KEPT_INTERVALS * caller.interval_length + TICKS_PER_SECOND
        return IncrementCounter(name, amount, min(time_to_live, MAX_TIME_TO_LIVE))

    def take(self, name: int) -> CounterCall | None:
        """Removes and returns the oldest call in flight of a name; None if there is none."""
        calls = self._by_name.get(name)
        if calls is None:
            return None
        call = calls.popleft()
        if not calls:
            del self._by_name[name]
        return call
