"""Calls between programs on simulated streams: their answers, and what their failures prove."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

from loomstand.rpc import frames, tcp_connection, tcp_network
from loomstand.rpc.errors import CallFailure
from loomstand.rpc.frames import AnswerFrame, encode_item
from loomstand.rpc.tcp_connection import ClientConnection
from loomstand.testing.simulation.loop import run_simulated
from loomstand.testing.simulation.wrong_calls import (
    ANSWER_FAULTS,
    CALLER_IP,
    SERVER_ADDRESS,
    CallerAndServer,
)


def paired(
    work: Callable[[CallerAndServer], Any], plays: list[tuple[str, int]] | None = None
) -> None:
    """Runs `work` on a caller and a server, and then checks the results of all its calls.

    Args:
        work: The calls and faults.
        plays: The faults of the server's answers, see `ScriptedConnection`.
    """

    async def run() -> None:
        pair = await CallerAndServer(plays).open()
        await work(pair)
        pair.network.heal()
        await asyncio.sleep(8.0)  # late answers arrive within this time
        pair.check()

    run_simulated(run)


async def faulty_answers_at_each_byte(pair: CallerAndServer) -> None:
    """Two concurrent calls for each fault of an answer and each byte at which it can occur."""
    n = 0
    for fault in ANSWER_FAULTS:
        for at in range(len(encode_item([1, True, {"n": 1000}]))):
            n += 1
            await pair.call(n + 20_000)  # opens a connection if the last fault closed it
            pair.called.plays = [(fault, at)]
            first, second = await asyncio.gather(pair.call(n, 0.01), pair.call(n + 5000, 0.012))
            if fault in ("", "pause", "foreign", "twice", "late twice"):
                assert first.is_ok() and second.is_ok(), (fault, at)


def test_truncated_corrupt_duplicate_and_foreign_answers_give_the_right_answer_or_none():
    paired(faulty_answers_at_each_byte)


def test_corrupt_call_is_not_executed():
    async def work(pair: CallerAndServer) -> None:
        await pair.call(0)
        connection = pair.caller.connections[SERVER_ADDRESS]
        for at in range(len(encode_item([9, "do", {"n": 9, "for": 0.0, "fill": b""}]))):
            raw = bytearray(encode_item([90 + at, "do", {"n": 90 + at, "for": 0.0, "fill": b""}]))
            raw[at] ^= 1 << (at % 8)
            await pair.call(1000 + at)
            connection = pair.caller.connections[SERVER_ADDRESS]
            connection.transport.write(bytes(raw))
            await asyncio.sleep(0.05)
            connection.close()
            await asyncio.sleep(0.05)
        assert all(n == 0 or n >= 1000 for n in pair.ran)
        assert pair.called.frame_errors > 20

    paired(work)


async def late_answers(pair: CallerAndServer) -> None:
    """Answers that arrive after their call's timeout, also on a connection that was replaced."""
    for n in range(0, 60, 2):
        await pair.call(n, 0.09 + 0.001 * n, 0.1)
        await pair.call(n + 1, 0.05 if n % 3 else 0.2, 0.1)


def test_late_answer_is_ignored():
    paired(late_answers)


async def calls_during_partition(pair: CallerAndServer) -> None:
    """Calls that time out in a network partition, which begins at another time in each round."""
    for n in range(40):
        await pair.call(5000 + n)
        partition_timer = pair.loop.call_later(
            0.0005 * n, pair.network.cut, CALLER_IP, SERVER_ADDRESS[0]
        )
        await asyncio.gather(*(pair.call(20 * n + k, 0.0, 0.2, 5000 * k) for k in range(4)))
        for k in range(4, 12):  # after two consecutive timeouts the connection is replaced
            await pair.call(20 * n + k, 0.0, 0.2)
        partition_timer.cancel()
        await asyncio.sleep(0.6)
        healed_at = pair.loop.time()
        pair.network.heal()
        await asyncio.sleep(5.0)
        late = [k for k in range(20 * n, 20 * n + 12) if pair.ran_at.get(k, 0.0) > healed_at]
        assert not late, f"executed after their timeout: {late}"


def test_calls_timed_out_during_a_partition_are_not_executed_when_it_heals():
    paired(calls_during_partition)


def test_resumed_process_executes_a_late_call_once_and_its_answer_is_ignored():
    async def work(pair: CallerAndServer) -> None:
        await pair.call(0)
        pair.process.frozen = True
        for n in range(1, 5):
            assert (await pair.call(n, 0.0, 0.1)).error is CallFailure.MAY_HAVE_RUN or n > 2
        pair.process.thaw()
        for n in range(5, 9):
            assert (await pair.call(n)).is_ok()

    paired(work)


async def cancelled_calls(pair: CallerAndServer) -> None:
    """Two calls cancelled by their caller, after which the connection must still be usable."""
    task = pair.loop.create_task(pair.call(1, 1.0, 2.0))
    await asyncio.sleep(0.1)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.1):
            await pair.call(2, 1.0, 2.0)
    assert (await pair.call(3)).is_ok()
    assert (await pair.caller.call(SERVER_ADDRESS, "refuse", {}, 0.2)).error is CallFailure.REFUSED


def test_cancelled_caller_ends_and_the_call_does_not_count_as_unanswered():
    paired(cancelled_calls)


def test_replaced_connection_is_reset_on_real_sockets():
    async def run() -> None:
        loop, network = asyncio.get_running_loop(), tcp_network.TcpNetwork()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.setblocking(False)
            address = listener.getsockname()
            for _ in range(tcp_network.MAX_UNANSWERED_CALLS):
                assert (
                    await network.call(address, "do", {}, 0.02)
                ).error is CallFailure.MAY_HAVE_RUN
            accepted, _ = await loop.sock_accept(listener)
            with accepted:
                accepted.setblocking(False)
                # not an orderly close, after which the server would still execute queued calls
                with pytest.raises(ConnectionResetError):
                    while await loop.sock_recv(accepted, 1 << 16):
                        pass
        assert not network.connections

    asyncio.run(run())


# Seconds before a call, its duration and timeout in seconds, and the size of its body in bytes.
CALLS = st.lists(
    st.tuples(
        st.sampled_from((0.0, 0.0, 0.01, 0.1)),
        st.sampled_from((0.0, 0.01, 0.15)),
        st.sampled_from((0.02, 0.1, 0.3)),
        st.sampled_from((0, 0, 40_000)),
    ),
    min_size=1,
    max_size=16,
)
# Seconds before an event, its kind, and its duration in seconds.
EVENTS = st.lists(
    st.tuples(
        st.floats(0.0, 0.6),
        st.sampled_from(("cut", "deaf", "dumb", "freeze", "reset")),
        st.sampled_from((0.05, 0.4, 2.0)),
    ),
    max_size=3,
)
# The fault of an answer, and the byte at which it occurs.
PLAYS = st.lists(st.tuples(st.sampled_from(ANSWER_FAULTS), st.integers(0, 40)), max_size=16)
# Keeps the random examples when names in the test change: without it Hypothesis takes the seed from
# the source of the test.
DRAWN_EXAMPLES_SEED = int(
    "ecd77ad2e1e1a5aa91722be86fa571064f278b39532f040e"
    "7e7d692a525e7662b3d0e67c96c4ae664f70258585982d93",
    16,
)


@settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@seed(DRAWN_EXAMPLES_SEED)
@given(PLAYS, CALLS, EVENTS)
def test_drawn_troubles_give_each_call_its_own_answer_and_no_false_proof(plays, calls, events):
    async def work(pair: CallerAndServer) -> None:
        async def happens(after: float, what: str, lasts: float) -> None:
            await asyncio.sleep(after)
            if what == "freeze":
                pair.process.frozen = True
            elif what == "reset":
                for line in [*pair.called.accepted]:
                    line.close()
            else:
                pair.network.cut(
                    *(
                        (CALLER_IP, SERVER_ADDRESS[0])
                        if what != "dumb"
                        else (SERVER_ADDRESS[0], CALLER_IP)
                    ),
                    what == "cut",
                )
            await asyncio.sleep(lasts)
            pair.network.heal()
            pair.process.thaw()

        tasks = [pair.loop.create_task(happens(*event)) for event in events]
        for n, (gap, *call) in enumerate(calls):
            await asyncio.sleep(gap)
            tasks.append(pair.loop.create_task(pair.call(n, *call)))
        await asyncio.gather(*tasks)

    paired(work, list(plays))


# --- mutation tests: without a safeguard, the test that covers it fails


def match_answers_by_order(connection: ClientConnection, data: bytes) -> None:
    """Passes an answer to the oldest pending call, whatever the answer's number is."""
    for frame in connection.decoder.feed(data):
        number, is_ok, body = frame.to_item()
        if connection.pending_calls:
            oldest = connection.pending_calls.pop(next(iter(connection.pending_calls)))
            tcp_connection.resolve(oldest, AnswerFrame(number, is_ok is True, body))


async def suppress_cancellation(
    network: Any, *arguments: Any, call: Any = tcp_network.TcpNetwork.call
) -> Any:
    """Returns a failure to a cancelled caller instead of raising CancelledError."""
    try:
        return await call(network, *arguments)
    except asyncio.CancelledError:
        return tcp_network.Error(CallFailure.MAY_HAVE_RUN)


MUTANTS: dict[str, tuple[Any, str, Any, Any]] = {
    "match by position": (
        ClientConnection,
        "data_received",
        match_answers_by_order,
        late_answers,
    ),
    "frames without checksum": (frames, "crc32", lambda raw: 0, faulty_answers_at_each_byte),
    "close without a reset": (
        tcp_connection,
        "reset_on_close",
        lambda transport: None,
        calls_during_partition,
    ),
    "cancellation counted as unanswered": (
        tcp_network.TcpNetwork,
        "call",
        suppress_cancellation,
        cancelled_calls,
    ),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_without_a_defence_its_test_fails(name, monkeypatch):
    owner, attribute, mutant, work = MUTANTS[name]
    monkeypatch.setattr(owner, attribute, mutant)
    with pytest.raises((AssertionError, pytest.fail.Exception)):
        paired(work)
