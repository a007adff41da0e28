"""Wakes the sessions of limiters that wait for a change. Waits on the event loop's clock."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class ChangeNotifier:
    """Sessions wait here, the one that waits longest first.

    Attributes:
        facts_revision: Grows with what limiters hear beside servers: the limiters, who counts, the
            core machines, the shared clock, and whether the configuration is current.
        is_closed: Whether the registry stops: nobody waits any more.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.facts_revision = 0
        self.is_closed = False
        self._clock = clock
        self._limiters_revision = 0
        self._waiters: dict[asyncio.Future[None], None] = {}

    def notify(self) -> None:
        """Something that limiters hear of has changed."""
        waiters = self._waiters
        self._waiters = {}
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def notify_facts(self) -> None:
        """A fact has changed."""
        self.facts_revision += 1
        self.notify()

    def notify_limiters(self, limiters_revision: int) -> None:
        """Notifies if the set of limiters is another than at the last call."""
        if limiters_revision != self._limiters_revision:
            self._limiters_revision = limiters_revision
            self.notify_facts()

    def close(self) -> None:
        """Ends all waits."""
        self.is_closed = True
        self.notify()

    async def wait_until(self, condition: Callable[[], bool], timeout_seconds: float) -> None:
        """Waits until the condition holds; it is looked at again at each change."""
        deadline = self._clock() + timeout_seconds
        while not condition():
            left_seconds = deadline - self._clock()
            if left_seconds <= 0 or self.is_closed:
                return
            waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiters[waiter] = None
            try:
                await asyncio.wait_for(waiter, left_seconds)
            except TimeoutError:
                return
            finally:
                self._waiters.pop(waiter, None)
