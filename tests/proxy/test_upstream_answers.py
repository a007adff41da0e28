"""Matching of responses with requests on simulated streams, and at most one execution of
non-idempotent requests.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from loomstand.admission.actions import Reject, SendAttempt
from loomstand.admission.outcome import Outcome
from loomstand.limiter import upstream as limiter_upstream
from loomstand.limiter.client_connection import ClientConnection
from loomstand.limiter.endings import Ending
from loomstand.limiter.event_loop import SocketChannel
from loomstand.limiter.upstream import ServerConnection
from loomstand.proxy import upstream
from loomstand.proxy.program import Proxy
from loomstand.proxy.upstream import UpstreamConnection, UpstreamPool
from loomstand.testing.simulation.loop import run_simulated
from loomstand.testing.simulation.streams import WINDOW_BYTES
from loomstand.testing.simulation.wrong_answers import (
    ANSWER_FAULTS,
    DISTURBANCES,
    PROXY_IP,
    SEND_MODES,
    SERVER_IP,
    STAMP,
    ScriptedCluster,
    UpstreamFixture,
    encode_answer,
    success_answer,
)


def run_with_fixture(work: Callable[[UpstreamFixture], Any]) -> None:
    async def run() -> None:
        fixture = await UpstreamFixture().open()
        await work(fixture)
        fixture.network.heal()
        await asyncio.sleep(20.0)  # until delayed data has arrived
        fixture.check()

    run_simulated(run)


# --- responses interrupted or repeated at each byte


def interrupt_at_every_byte() -> None:
    for interruption in ("close", "reset", "half", "silence", "pause"):

        async def work(fixture: UpstreamFixture, interruption: str = interruption) -> None:
            for at in range(len(success_answer("r000"))):
                id_ = f"r{at:03}"
                raw = success_answer(id_)
                steps = {"silence": [2.0, raw[at:]], "pause": [0.02, raw[at:]]}.get(
                    interruption, [interruption]
                )
                fixture.scripts = [[raw[:at], *steps]]
                fixture.send(fixture.request(id_), 0.2)
                await asyncio.sleep(0.25)
                success = Outcome.SUCCEEDED if interruption == "pause" else None
                failure = (
                    Outcome.NO_RESPONSE if interruption == "silence" else Outcome.CONNECTION_LOST
                )
                assert fixture.outcomes[id_] == [success or failure], (interruption, at)
                fixture.scripts = []

        run_with_fixture(work)


def test_interrupted_response_is_not_forwarded_and_does_not_prove_non_execution():
    interrupt_at_every_byte()


def surplus_response(
    make_response: Callable[[str], bytes], *, ahead: bool
) -> Callable[[UpstreamFixture], Any]:
    """Returns a check that splits a surplus response at each byte.

    The first part is sent after the response to the first request, and the rest after the second
    request arrived: in one write with that request's own response if `ahead`, else 10 ms before it.
    """

    async def work(fixture: UpstreamFixture) -> None:
        size = len(make_response("r0000"))
        for at in range(size + 1):
            first, second = f"r{at:04}", f"n{at:04}"
            extra, own = make_response(first), success_answer(second)
            fixture.scripts = [
                [success_answer(first), extra[:at]],
                [extra[at:] + own] if ahead else [extra[at:], 0.01, own],
            ]
            fixture.send(fixture.request(first))
            await asyncio.sleep(0.008 if at % 2 else 0.02)
            fixture.send(fixture.request(second))
            await asyncio.sleep(0.1)
            assert fixture.outcomes[first] == [Outcome.SUCCEEDED]
            assert set(fixture.outcomes[second]) <= {Outcome.SUCCEEDED, Outcome.CONNECTION_LOST}
            for connections in list(fixture.pool.idle.values()):
                for connection in list(connections):
                    fixture.pool.close(connection, Ending.IDLE)

    return work


SURPLUS: dict[str, Callable[[str], bytes]] = {
    "duplicate": lambda id_: success_answer(id_),
    "rejection": lambda id_: encode_answer(503, id_, "Loomstand-Not-Executed: true"),
    "rejection without id": lambda id_: encode_answer(503, "", "Loomstand-Not-Executed: true"),
    "error without id": lambda id_: encode_answer(500, ""),
    "interim": lambda id_: b"HTTP/1.1 100 Continue\r\n\r\n" + success_answer(id_),
}


@pytest.mark.parametrize("ahead", [True, False])
@pytest.mark.parametrize("kind", SURPLUS)
def test_fragmented_surplus_response_is_never_matched_with_the_next_request(kind, ahead):
    run_with_fixture(surplus_response(SURPLUS[kind], ahead=ahead))


NOT_EXECUTED = "Loomstand-Not-Executed: true"


async def duplicate_rejection(fixture: UpstreamFixture) -> None:
    size = len(encode_answer(503, "r0000", NOT_EXECUTED))
    for at in range(0, size + 1, 3):
        id_, request = f"r{at:04}", fixture.request(f"r{at:04}")
        raw = encode_answer(503, id_, NOT_EXECUTED)
        fixture.scripts = [["refuse", raw, raw[:at], 0.02, raw[at:]], [0.05, success_answer(id_)]]
        fixture.send(request)
        await asyncio.sleep(0.012)
        fixture.send(request)  # as if no other server had capacity
        await asyncio.sleep(0.2)
        assert fixture.outcomes[id_] == [Outcome.REJECTED, Outcome.SUCCEEDED]


def test_duplicate_rejection_is_not_matched_with_the_second_attempt():
    run_with_fixture(duplicate_rejection)


def not_executed_status(status: int) -> Callable[[UpstreamFixture], Any]:
    async def work(fixture: UpstreamFixture) -> None:
        for id_, header_lines in ("bare", []), ("with", [NOT_EXECUTED]):
            proves_non_execution = status != 200 if header_lines else status == 421
            success = [STAMP] if status == 200 else []
            answer = encode_answer(status, id_, *success, *header_lines, body=b"of bare")
            fixture.scripts = [["refuse"] * proves_non_execution + [answer]]
            fixture.send(fixture.request(id_))
            await asyncio.sleep(0.1)
            expected = Outcome.REJECTED if proves_non_execution else Outcome.CONNECTION_LOST
            assert fixture.outcomes[id_] == [
                Outcome.SUCCEEDED if success and not header_lines else expected
            ]

    return work


@pytest.mark.parametrize("status", [408, 421, 429, 503, 200])
def test_not_executed_status_is_accepted_only_with_its_header_field(status):
    run_with_fixture(not_executed_status(status))


# --- requests to servers


async def expire_during_partition(fixture: UpstreamFixture) -> None:
    """Sends bodies below and above the window, partitions the link at several times, and heals it
    after the attempt has expired.
    """
    for n, size in enumerate(
        (0, 100, WINDOW_BYTES - 400, WINDOW_BYTES, 3 * WINDOW_BYTES, 6 * WINDOW_BYTES)
    ):
        for cut_after_seconds in (0.0, 0.001, 0.004, 0.006, 0.009, 0.013, 0.02):
            id_ = f"r{n}{cut_after_seconds}"
            fixture.scripts = [[1.0, success_answer(id_)]]
            fixture.send(fixture.request(id_, bytes(size)), 0.3)
            await asyncio.sleep(cut_after_seconds)
            fixture.network.cut(PROXY_IP, SERVER_IP)
            await asyncio.sleep(0.4)
            expired_at = fixture.loop.time()
            fixture.network.heal()
            await asyncio.sleep(6.0)
            assert fixture.ran_at.get(id_, 0.0) < expired_at, (
                f"{id_} ran after its expiry, with the outcomes {fixture.outcomes[id_]}"
            )


def test_expired_request_is_not_delivered_after_a_partition_heals():
    run_with_fixture(expire_during_partition)


def test_connection_pending_at_the_deadline_sends_nothing_later():
    async def work(fixture: UpstreamFixture) -> None:
        for n in range(20):
            fixture.send(fixture.request(f"r{n}"), 0.0005 * n)
            await asyncio.sleep(0.1)
            assert len(fixture.outcomes[f"r{n}"]) == 1

    run_with_fixture(work)


async def resume_after_deadline(fixture: UpstreamFixture) -> None:
    attempt = fixture.send(fixture.request("r"))
    attempt.timer.cancel()
    attempt.expires_at = fixture.now()  # as if the process had been suspended until after that
    await asyncio.sleep(0.5)
    assert fixture.outcomes == {"r": [Outcome.CONNECT_FAILED]} and fixture.ran == []


def test_process_suspended_past_the_deadline_sends_nothing():
    run_with_fixture(resume_after_deadline)


async def unresponsive_server(fixture: UpstreamFixture) -> None:
    fixture.scripts = [
        [0.05, success_answer("a")],
        [0.05, success_answer("b")],
        [],
        [success_answer("d")],
    ]
    for id_ in "ab":  # creates two idle connections
        fixture.send(fixture.request(id_))
    await asyncio.sleep(0.2)
    assert len(fixture.connections) == 2
    fixture.process.frozen = True
    fixture.send(fixture.request("c"), 0.2)
    await asyncio.sleep(0.3)
    assert fixture.outcomes["c"] == [Outcome.NO_RESPONSE]
    fixture.process.thaw()  # the server executes the requests in its buffers
    await asyncio.sleep(0.1)
    assert fixture.ran == ["a", "b", "c"]
    fixture.send(fixture.request("d"))
    await asyncio.sleep(0.1)
    assert fixture.outcomes["d"] == [Outcome.SUCCEEDED] and len(fixture.connections) == 3, (
        "reused a connection older than the timeout"
    )


def test_timeout_closes_older_connections_and_late_execution_contradicts_no_outcome():
    run_with_fixture(unresponsive_server)


def early_response(status: int) -> Callable[[UpstreamFixture], Any]:
    async def work(fixture: UpstreamFixture) -> None:
        fixture.early = True
        raw = success_answer("r") if status == 200 else encode_answer(503, "r", NOT_EXECUTED)
        fixture.scripts = [[raw], [success_answer("n")]]
        fixture.send(fixture.request("r", bytes(5 * WINDOW_BYTES)))
        await asyncio.sleep(0.2)
        assert fixture.outcomes["r"] == [Outcome.SUCCEEDED if status == 200 else Outcome.REJECTED]
        assert "r" not in fixture.ran and not fixture.pool.connections
        fixture.send(fixture.request("n"))
        await asyncio.sleep(0.2)
        assert fixture.outcomes["n"] == [Outcome.SUCCEEDED] and len(fixture.connections) == 2

    return work


@pytest.mark.parametrize("status", [200, 503])
def test_response_before_the_request_is_fully_sent_closes_the_connection(status):
    run_with_fixture(early_response(status))


def test_excessive_surplus_responses_do_not_hold_a_request():
    async def work(fixture: UpstreamFixture) -> None:
        fixture.scripts = [[success_answer("x") * 40 + success_answer("r")]]
        fixture.send(fixture.request("r"))
        await asyncio.sleep(0.2)
        assert fixture.outcomes["r"] == [Outcome.CONNECTION_LOST]

    run_with_fixture(work)


# --- the whole proxy, with random faults


SCRIPT = st.lists(st.tuples(st.sampled_from(ANSWER_FAULTS), st.integers(0, 250)), max_size=12)
REQUESTS = st.lists(
    st.tuples(
        st.sampled_from((0.0, 0.0, 0.005, 0.02, 0.3)),
        st.booleans(),
        st.sampled_from(SEND_MODES),
        st.integers(0, 400),
        st.sampled_from((0, 100, 100, 15_900, 50_000)),
    ),
    min_size=1,
    max_size=10,
)
EVENTS = st.lists(
    st.tuples(
        st.floats(0.0, 0.5), st.sampled_from(DISTURBANCES), st.sampled_from((0.05, 0.5, 3.0))
    ),
    max_size=3,
)


def played(script: list[Any], requests: list[Any], events: list[Any]) -> ScriptedCluster:
    cluster = ScriptedCluster(list(script))

    async def work() -> None:
        tasks = [cluster.loop.create_task(cluster.disturb(*event)) for event in events]
        for gap, *request in requests:
            await asyncio.sleep(gap)
            tasks.append(cluster.loop.create_task(cluster.send_requests_in_mode(*request)))
        await asyncio.gather(*tasks)
        await asyncio.sleep(12.0)  # until delayed data has arrived

    try:
        cluster.run(work())
        early = {run.id for run in cluster.request_log.runs()} - cluster.fully_sent
        assert not early, f"executed before they were sent completely: {early}"
    finally:
        cluster.close()
    return cluster


@settings(
    max_examples=120,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(SCRIPT, REQUESTS, EVENTS)
@example([("half", 190), ("reset", 0)], [(0.0, False, "pipelined", 0, 0)], [])
def test_drawn_troubles_on_both_sides_mix_no_answers_and_run_nothing_twice(
    script, requests, events
):
    played(script, requests, events)


# --- engine actions that the proxy must not carry out


async def pending_request(cluster: ScriptedCluster) -> tuple[Any, Any, asyncio.Task[Any]]:
    """Sends a non-idempotent request that stays pending at a server.

    Returns the proxy, the proxy's request and the task that awaits the reply.
    """
    client_request = cluster.client.new_request(
        "PUT", "town.example", "/once/x", "key-of-ann", b"body"
    )
    task = cluster.loop.create_task(cluster.client.send_once(client_request, cluster.front))
    await asyncio.sleep(0.05)
    proxy = cluster.proxy(PROXY_IP)
    (request,) = [r for r in proxy.requests.values() if r.request_id == client_request.id.encode()]
    assert any(request.attempts)
    return proxy, request, task


def check_engine_action(action: str) -> None:
    cluster = ScriptedCluster([("pause", 50)] if action == "reject" else [("long pause", 0)])

    async def work() -> None:
        proxy, request, task = await pending_request(cluster)
        if action == "reject":
            proxy.reject_request(Reject(request.id, "given up", 0))
        else:
            for endpoint_id in proxy.endpoints.instance_ids:
                proxy.send_attempt(SendAttempt(request.id, endpoint_id, request.deadline))
        reply = await task
        assert reply.status not in (408, 421, 429, 503)
        assert len(cluster.request_log.runs()) <= 1

    try:
        cluster.run(work())
    finally:
        cluster.close()


@pytest.mark.parametrize("action", ["reject", "send"])
def test_pending_non_idempotent_request_is_neither_rejected_nor_sent_again(action):
    check_engine_action(action)


# --- startup, shutdown and pipelining


async def requests_during_startup(cluster: ScriptedCluster) -> None:
    """Sends requests while the proxy has no configuration and knows no server."""
    host = cluster.proxies[PROXY_IP]
    host.kill()
    await asyncio.sleep(2.0)
    host.start()
    await asyncio.sleep(0.001)
    tasks = []
    for n in range(60):
        tasks.append(
            cluster.loop.create_task(
                cluster.send_requests_in_mode(False, SEND_MODES[n % len(SEND_MODES)], 200, 100)
            )
        )
        await asyncio.sleep(0.02)
    await asyncio.gather(*tasks)


async def requests_during_restart(cluster: ScriptedCluster) -> None:
    """Sends requests on new and reused connections from before a SIGTERM until after a restart."""
    host, tasks = cluster.proxies[PROXY_IP], []
    for n in range(150):
        if n == 50:
            tasks.append(cluster.loop.create_task(cluster.disturb(0.0, "term", 0.3)))
        client_request = cluster.client.new_request(
            "PUT", "town.example", "/once/x", "key-of-ann", b"body"
        )
        tasks.append(
            cluster.loop.create_task(cluster.client.send_once(client_request, cluster.front, 2.0))
        )
        tasks.append(
            cluster.loop.create_task(
                cluster.send_requests_in_mode(False, SEND_MODES[n % len(SEND_MODES)], 200, 100)
            )
        )
        await asyncio.sleep(0.03)
    await asyncio.gather(*tasks)
    assert host.up


async def pipelined_requests(cluster: ScriptedCluster) -> None:
    """Sends two pipelined requests, of which the first takes longer."""
    for n in range(20):
        cluster.script[:] = [("pause", 9 * n), ("", 0)]
        await cluster.send_requests_in_mode(n % 2 == 0, "pipelined", 0, 100)


def run_with_cluster(work: Callable[[ScriptedCluster], Any]) -> None:
    cluster = ScriptedCluster()

    async def run() -> None:
        await work(cluster)
        await asyncio.sleep(8.0)
        assert len(cluster.request_log.runs()) > 10

    try:
        cluster.run(run())
    finally:
        cluster.close()


@pytest.mark.parametrize(
    "work", [requests_during_startup, requests_during_restart, pipelined_requests]
)
def test_each_request_is_answered_once(work):
    run_with_cluster(work)


# --- mutants without one of the safeguards


def handle_without_waiting(client: Any, handle: Any = ClientConnection.handle) -> None:
    handle(client)
    client.request = None


def match_by_position(
    connection: Any, original: Any = UpstreamConnection.response_received
) -> None:
    connection.parser.fields = connection.parser.fields | {
        b"loomstand-request-id": connection.attempt.request.request_id
    }
    original(connection)


def match_missing_id_by_position(
    connection: Any, original: Any = UpstreamConnection.response_received
) -> None:
    if b"loomstand-request-id" in connection.parser.fields:
        original(connection)
    else:
        match_by_position(connection, original)


def keep_idle_connections(pool: Any, attempt: Any, ending: Ending) -> None:
    if attempt.connection is not None and attempt.connection.attempt is attempt:
        attempt.connection.channel.stop(ending)  # keeps the idle connections


def reuse_connection(pool: Any, attempt: Any, send: Any = UpstreamPool.send) -> None:
    attempt.request.attempted_endpoints = ()
    send(pool, attempt)


def release_without_closing(connection: Any, close: bool) -> None:
    connection.attempt = None
    connection.parser.reset()
    connection.pool.release(connection)


def reset_proves_non_execution(ending: Ending, may_have_run: bool) -> Outcome:
    return (
        Outcome.CONNECT_FAILED if ending in (Ending.RESET, Ending.CLOSED) else Outcome.NO_RESPONSE
    )


def reject_unconditionally(proxy: Any, action: Any) -> None:
    proxy.answer(proxy.requests[action.request_id], 503)


SURPLUS_DUPLICATE = surplus_response(SURPLUS["duplicate"], ahead=True)
SURPLUS_WITHOUT_ID = surplus_response(SURPLUS["rejection without id"], ahead=True)
MUTANTS: dict[str, tuple[Any, str, Any, Callable[[], None]]] = {
    "match by position": (
        UpstreamConnection,
        "response_received",
        match_by_position,
        lambda: run_with_fixture(SURPLUS_DUPLICATE),
    ),
    "match by position if the id is missing": (
        UpstreamConnection,
        "response_received",
        match_missing_id_by_position,
        lambda: run_with_fixture(SURPLUS_WITHOUT_ID),
    ),
    "reuse of idle connections after a timeout": (
        UpstreamPool,
        "give_up",
        keep_idle_connections,
        lambda: run_with_fixture(unresponsive_server),
    ),
    "close without a reset": (
        SocketChannel,
        "discard_unsent",
        lambda channel: None,
        lambda: run_with_fixture(expire_during_partition),
    ),
    "second attempt on the same connection": (
        UpstreamPool,
        "send",
        reuse_connection,
        lambda: run_with_fixture(duplicate_rejection),
    ),
    "a 503 without the header field is trusted": (
        upstream,
        "is_server_response",
        lambda *_: True,
        lambda: run_with_fixture(not_executed_status(503)),
    ),
    "reuse of a connection after an early response": (
        UpstreamConnection,
        "finish_response",
        release_without_closing,
        lambda: run_with_fixture(early_response(503)),
    ),
    "a reset proves non-execution": (
        limiter_upstream,
        "attempt_outcome",
        reset_proves_non_execution,
        interrupt_at_every_byte,
    ),
    "sending after the deadline": (
        UpstreamConnection,
        "opened",
        ServerConnection.opened,
        lambda: run_with_fixture(resume_after_deadline),
    ),
    "handling of the next request while one is pending": (
        ClientConnection,
        "handle",
        handle_without_waiting,
        lambda: run_with_cluster(pipelined_requests),
    ),
    "rejection of a pending request": (
        Proxy,
        "reject_request",
        reject_unconditionally,
        lambda: check_engine_action("reject"),
    ),
    "second attempt of a pending request": (
        Proxy,
        "attempt_limit",
        lambda proxy, request: 9,
        lambda: check_engine_action("send"),
    ),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_removing_a_safeguard_fails_its_test(name, monkeypatch):
    owner, attribute, mutant, test = MUTANTS[name]
    monkeypatch.setattr(owner, attribute, mutant)
    with pytest.raises(AssertionError):
        test()
