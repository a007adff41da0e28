"""Notification of limiters' sessions that wait for a change, with timers of the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loomstand.rpc.timeouts import wait_for


class ChangeNotifier:
    """Waiting sessions, woken in the order in which they began to wait.

    Attributes:
        system_state_revision: Number that increases when the system state reported to limiters
            changes: the limiters, the registry that counts, the core machines, the shared clock,
            and whether the configuration is current.
        is_closed: Whether the registry is stopping, so that sessions no longer wait.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.system_state_revision = 0
        self.is_closed = False
        self._clock = clock
        self._limiters_revision = 0
        self._waiters: dict[asyncio.Future[None], None] = {}

    def notify(self) -> None:
        """Wakes all sessions after a change."""
        waiters = self._waiters
        self._waiters = {}
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def notify_system_state(self) -> None:
        """Increments the revision of the system state, and wakes all sessions."""
        self.system_state_revision += 1
        self.notify()

    def notify_limiters(self, limiters_revision: int) -> None:
        """Notifies of the system state if the set of limiters changed since the last call."""
        if limiters_revision != self._limiters_revision:
            self._limiters_revision = limiters_revision
            self.notify_system_state()

    def close(self) -> None:
        """Ends all waits."""
        self.is_closed = True
        self.notify()

    async def wait_until(self, condition: Callable[[], bool], timeout_seconds: float) -> None:
        """Waits until the condition holds or the timeout is over; each change rechecks it."""
        deadline = self._clock() + timeout_seconds
        while not condition():
            remaining_seconds = deadline - self._clock()
            if remaining_seconds <= 0 or self.is_closed:
                return
            waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiters[waiter] = None
            try:
                await wait_for(waiter, remaining_seconds)
            except TimeoutError:
                return
            finally:
                self._waiters.pop(waiter, None)
