"""Requests quota credits from the counting registry, one call at a time.

Calls the registry over the network; `run` is a task that its owner cancels and awaits.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from loomstand.proxy.counter_client import COUNTER_TIMEOUT_SECONDS, CounterCaller
from loomstand.proxy.quota_credits import QuotaCredits
from loomstand.rpc.messages.quota_messages import CreditResponse
from loomstand.rpc.timeouts import wait_for

MAX_REQUEST_INTERVAL_SECONDS = 0.4  # half of the time after which a limiter is isolated
MIN_REQUEST_INTERVAL_SECONDS = 0.02
RETRY_SECONDS = 0.1  # after a failed request


class CreditClient:
    """Requests credits when a tenant runs short, and periodically so that held credits stay valid.

    Attributes:
        credits: The credits held.
        is_short: Set when the next request should be sent without delay.
    """

    def __init__(
        self,
        caller: CounterCaller,
        limiter_name: str,
        quota_credits: QuotaCredits,
        clock: Callable[[], float],
        on_credits: Callable[[], None],
    ) -> None:
        """`clock` is monotonic, in seconds; `on_credits` is called after each response."""
        self.credits = quota_credits
        self.is_short = asyncio.Event()
        self._caller = caller
        self._limiter_name = limiter_name
        self._clock = clock
        self._on_credits = on_credits

    def request_if_short(self, tenant: int, now: float) -> None:
        """Triggers an immediate request if the tenant needs credits."""
        if self.credits.needs_request(tenant, now):
            self.is_short.set()

    async def run(self) -> None:
        """Requests credits until the task is cancelled."""
        while True:
            self.is_short.clear()
            sent_at = self._clock()
            request = self.credits.build_request(self._limiter_name, sent_at)
            result = await self._caller.call_counter(
                request, CreditResponse, COUNTER_TIMEOUT_SECONDS
            )
            if result.is_error():
                await asyncio.sleep(RETRY_SECONDS)
                continue
            if self.credits.apply_response(sent_at, self._clock(), result.ok):
                continue
            self._on_credits()
            await asyncio.sleep(MIN_REQUEST_INTERVAL_SECONDS)
            if not self.is_short.is_set():
                await self._wait_for_shortage()

    async def _wait_for_shortage(self) -> None:
        timeout_seconds = MAX_REQUEST_INTERVAL_SECONDS - MIN_REQUEST_INTERVAL_SECONDS
        with contextlib.suppress(TimeoutError):
            await wait_for(self.is_short.wait(), timeout_seconds)
