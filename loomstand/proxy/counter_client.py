"""Increments counters at the counting registry on behalf of the decision engine.

Calls the registry over the network and owns the tasks of these calls.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol, TypeVar

from expression import Result

from loomstand.admission.actions import IncrementCounter
from loomstand.admission.outcome import Outcome
from loomstand.admission.ticks import TICKS_PER_SECOND
from loomstand.proxy.counter_replay import CounterReplay
from loomstand.proxy.policy_compiler import COUNTER_TIMEOUT_MS
from loomstand.rpc.errors import CallFailure
from loomstand.rpc.messages.base import Message, Request
from loomstand.rpc.messages.quota_messages import IncrementRequest, IncrementResponse

COUNTER_TIMEOUT_SECONDS = COUNTER_TIMEOUT_MS / 1000
FAILURE_OUTCOMES = {
    CallFailure.NEVER_RAN: Outcome.CONNECT_FAILED,
    CallFailure.REFUSED: Outcome.REJECTED,
    CallFailure.MAY_HAVE_RUN: Outcome.NO_RESPONSE,
}

ResponseT = TypeVar("ResponseT", bound=Message)


class CounterCaller(Protocol):
    """Interface for calls to the counting registry; implemented by `Sessions`."""

    async def call_counter(
        self, request: Request, response_type: type[ResponseT], timeout_seconds: float
    ) -> Result[ResponseT, CallFailure]:
        """Calls the counting registry."""
        ...


class CounterClient:
    """Sends increments, and replays earlier ones to a registry that has just started counting.

    Attributes:
        replay: This limiter's sum for each counter.
        tasks: The increments in progress.
        on_reply: Called with the counter's name, the outcome, the total and the duration in ticks.
    """

    def __init__(
        self,
        caller: CounterCaller,
        loop: asyncio.AbstractEventLoop,
        clock_ticks: Callable[[], int],
        on_reply: Callable[[int, Outcome, float, int], None],
    ) -> None:
        """`clock_ticks` returns the proxy's clock in ticks."""
        self.replay = CounterReplay()
        self.tasks: set[asyncio.Task[None]] = set()
        self._caller = caller
        self._loop = loop
        self._clock_ticks = clock_ticks
        self.on_reply = on_reply

    def increment(self, action: IncrementCounter) -> None:
        """Starts an increment of a counter; calls `on_reply` when it completes."""
        task = self._loop.create_task(self.run_increment(action))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run_increment(self, action: IncrementCounter) -> None:
        """Increments a counter, and calls `on_reply` with the result.

        If the counting registry has just started counting, this limiter's earlier increments are
        replayed before the result is reported, as the total is too low without them. An increment
        without a response may have been applied, so it is also replayed to the next counting
        registry.
        """
        started_at = self._clock_ticks()
        name = action.counter_name
        retention_seconds = action.time_to_live / TICKS_PER_SECOND
        result = await self._send(name, action.amount, retention_seconds)
        outcome = Outcome.SUCCEEDED if result.is_ok() else FAILURE_OUTCOMES[result.error]
        if outcome in (Outcome.SUCCEEDED, Outcome.NO_RESPONSE):
            term = result.ok.counting_term if result.is_ok() else None
            missing = self.replay.record(
                name, action.amount, retention_seconds, self._loop.time(), term
            )
            if term is not None:
                await self._replay_missing(name, term, retention_seconds)
            if missing:  # the registry's total is too low without the earlier increments
                result = await self._send(name, missing, retention_seconds)
                if result.is_error() or result.ok.counting_term != term:
                    self.replay.mark_missing(name)
                    outcome = Outcome.NO_RESPONSE
        if result.is_ok() and result.ok.is_incomplete:
            # other limiters may not have replayed their increments yet
            outcome = Outcome.NO_RESPONSE
        total = result.ok.total if outcome is Outcome.SUCCEEDED else 0.0
        self.on_reply(name, outcome, total, self._clock_ticks() - started_at)

    async def _replay_missing(self, name: int, term: int, retention_seconds: float) -> None:
        """Replays the sums of the tenant's other intervals, whose counters restarted empty."""
        for other_name, amount in self.replay.take_missing(name, term):
            result = await self._send(other_name, amount, retention_seconds)
            if result.is_error():
                self.replay.mark_missing(other_name)

    async def _send(
        self, name: int, amount: float, retention_seconds: float
    ) -> Result[IncrementResponse, CallFailure]:
        request = IncrementRequest(
            counter_name=name, step=amount, retention_seconds=retention_seconds
        )
        return await self._caller.call_counter(request, IncrementResponse, COUNTER_TIMEOUT_SECONDS)
