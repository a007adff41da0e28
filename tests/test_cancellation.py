"""A cancelled task ends, even if what it waits for completes in the same step of the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from types import SimpleNamespace
from typing import Any

import pytest
from expression import Ok

from loomstand.proxy.credit_client import CreditClient
from loomstand.registry.change_notifier import ChangeNotifier
from loomstand.rpc.messages.quota_messages import CreditResponse
from loomstand.rpc.tcp_network import TcpNetwork
from loomstand.testing.rehearsal.driver import ClientConnection, LimiterPath
from loomstand.testing.simulation.loop import run_simulated

END_SECONDS = 30.0  # of simulated time, longer than each wait below
# Steps of the event loop from the completion to the cancellation.
STEPS = pytest.mark.parametrize("steps", range(5))


async def is_ended_by_cancel(
    work: Coroutine[Any, Any, Any], complete: Callable[[], object], steps: int
) -> bool:
    """Completes what `work` waits for, cancels it after some steps, and returns whether it ends.

    A task that has ended before it is cancelled passes, too.
    """
    task = asyncio.get_running_loop().create_task(work)
    await asyncio.sleep(0.1)
    assert not task.done()
    complete()
    for _ in range(steps):
        await asyncio.sleep(0)
    is_over = task.done()
    task.cancel()
    await asyncio.wait([task], timeout=END_SECONDS)
    return is_over or (task.done() and task.cancelled())


@STEPS
def test_credit_client_ends_when_it_is_cancelled_as_a_tenant_runs_short(steps):
    """A proxy whose last request ran short of credits never exited after SIGTERM."""

    async def run() -> bool:
        async def call_counter(*_arguments: object) -> Ok[CreditResponse]:
            await asyncio.sleep(0.001)
            return Ok(CreditResponse(grant_term=1, grants=[]))

        quota_credits = SimpleNamespace(
            build_request=lambda _name, _now: None, apply_response=lambda *_arguments: False
        )
        caller = SimpleNamespace(call_counter=call_counter)
        clock = asyncio.get_running_loop().time
        client = CreditClient(caller, "limiter", quota_credits, clock, lambda: None)
        return await is_ended_by_cancel(client.run(), client.is_short.set, steps)

    assert run_simulated(run)


@STEPS
def test_call_ends_when_it_is_cancelled_as_its_connection_opens(steps):
    """A proxy that stopped as a registry came back opened a session anew and never exited."""

    async def run() -> bool:
        opened: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        answer: asyncio.Future[Any] = asyncio.get_running_loop().create_future()

        class Network(TcpNetwork):
            async def open_connection(self, _address: Any) -> Any:
                return await opened

        async def call(*_arguments: object) -> Any:
            return await answer

        connection = SimpleNamespace(is_open=lambda: True, call=call)
        calling = Network().call(("127.0.0.1", 1), "ask", {}, 1.0)
        return await is_ended_by_cancel(calling, lambda: opened.set_result(connection), steps)

    assert run_simulated(run)


@STEPS
def test_waiting_call_ends_when_it_is_cancelled_as_a_change_is_notified(steps):
    async def run() -> bool:
        notifier = ChangeNotifier(asyncio.get_running_loop().time)

        async def wait_twice() -> None:
            for _ in range(2):
                await notifier.wait_until(lambda: False, 2 * END_SECONDS)

        return await is_ended_by_cancel(wait_twice(), notifier.notify, steps)

    assert run_simulated(run)


@STEPS
def test_health_checks_end_when_they_are_cancelled_as_a_limiter_resets_the_connection(steps):
    """A rehearsal's driver outlived the rehearsal: its input ended as the limiters were killed."""

    async def run() -> bool:
        driver = SimpleNamespace(
            rehearsal=SimpleNamespace(known=True),
            rng=SimpleNamespace(random=lambda: 0.0),
            is_over=False,
            record=lambda *_event: None,
        )
        path = LimiterPath(driver, 0, 0, 1)
        connection = ClientConnection()
        transport = SimpleNamespace(
            is_closing=lambda: False, write=lambda _raw: None, abort=lambda: None
        )
        connection.connection_made(transport)
        path.idle.append(connection)
        checking = path.check_health(2 * END_SECONDS, 2 * END_SECONDS)
        return await is_ended_by_cancel(checking, lambda: connection.connection_lost(None), steps)

    assert run_simulated(run)
