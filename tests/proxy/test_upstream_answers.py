"""Answers and their callers on simulated streams: each to its own, and none run twice that must
not.
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
from loomstand.limiter import upstream as servers
from loomstand.limiter.client_connection import ClientConnection
from loomstand.limiter.endings import Ending
from loomstand.limiter.event_loop import SocketChannel
from loomstand.limiter.upstream import ServerConnection
from loomstand.proxy import upstream
from loomstand.proxy.program import Proxy
from loomstand.proxy.upstream import UpstreamConnection, UpstreamPool
from loomstand.testing.simulation.loop import play
from loomstand.testing.simulation.streams import WINDOW
from loomstand.testing.simulation.wrong_answers import (
    BEFALLS,
    HAPPENS,
    HOW,
    STAMP,
    THEM,
    US,
    OddCluster,
    Stage,
    said,
    whole,
)


def staged(work: Callable[[Stage], Any]) -> None:
    async def run() -> None:
        stage = await Stage().open()
        await work(stage)
        stage.sky.mend()
        await asyncio.sleep(20.0)  # what is late comes now
        stage.check()

    play(run)


# --- from servers, at each byte


def every_byte() -> None:
    for how in ("close", "reset", "half", "silence", "pause"):

        async def work(stage: Stage, how: str = how) -> None:
            for at in range(len(whole("r000"))):
                id_ = f"r{at:03}"
                raw = whole(id_)
                steps = {"silence": [2.0, raw[at:]], "pause": [0.02, raw[at:]]}.get(how, [how])
                stage.plays = [[raw[:at], *steps]]
                stage.send(stage.request(id_), 0.2)
                await asyncio.sleep(0.25)
                passes = Outcome.SUCCEEDED if how == "pause" else None
                lost = Outcome.NO_RESPONSE if how == "silence" else Outcome.CONNECTION_LOST
                assert stage.came_of[id_] == [passes or lost], (how, at)
                stage.plays = []

        staged(work)


def test_an_answer_cut_at_any_byte_passes_only_whole_and_proves_nothing():
    every_byte()


def surplus(made: Callable[[str], bytes], *, ahead: bool) -> Callable[[Stage], Any]:
    """One request's second answer, cut at each byte: the rest of it comes where the next one's is
    due.
    """

    async def work(stage: Stage) -> None:
        size = len(made("r0000"))
        for at in range(size + 1):
            first, second = f"r{at:04}", f"n{at:04}"
            extra, own = made(first), whole(second)
            stage.plays = [
                [whole(first), extra[:at]],
                [extra[at:] + own] if ahead else [extra[at:], 0.01, own],
            ]
            stage.send(stage.request(first))
            await asyncio.sleep(0.008 if at % 2 else 0.02)
            stage.send(stage.request(second))
            await asyncio.sleep(0.1)
            assert stage.came_of[first] == [Outcome.SUCCEEDED]
            assert set(stage.came_of[second]) <= {Outcome.SUCCEEDED, Outcome.CONNECTION_LOST}
            for connections in list(stage.pool.idle.values()):
                for connection in list(connections):
                    stage.pool.close(connection, Ending.IDLE)

    return work


SURPLUS: dict[str, Callable[[str], bytes]] = {
    "again": lambda id_: whole(id_),
    "refusal": lambda id_: said(503, id_, "Loomstand-Not-Executed: true"),
    "nobody's refusal": lambda id_: said(503, "", "Loomstand-Not-Executed: true"),
    "nobody's error": lambda id_: said(500, ""),
    "interim": lambda id_: b"HTTP/1.1 100 Continue\r\n\r\n" + whole(id_),
}


@pytest.mark.parametrize("ahead", [True, False])
@pytest.mark.parametrize("what", SURPLUS)
def test_a_surplus_answer_in_pieces_is_never_the_next_ones(what, ahead):
    staged(surplus(SURPLUS[what], ahead=ahead))


REFUSED = "Loomstand-Not-Executed: true"


async def refused_twice(stage: Stage) -> None:
    size = len(said(503, "r0000", REFUSED))
    for at in range(0, size + 1, 3):
        id_, request = f"r{at:04}", stage.request(f"r{at:04}")
        raw = said(503, id_, REFUSED)
        stage.plays = [["refuse", raw, raw[:at], 0.02, raw[at:]], [0.05, whole(id_)]]
        stage.send(request)
        await asyncio.sleep(0.012)
        stage.send(request)  # as where no other server has room
        await asyncio.sleep(0.2)
        assert stage.came_of[id_] == [Outcome.REJECTED, Outcome.SUCCEEDED]


def test_a_second_copy_of_a_refusal_is_not_the_answer_to_the_second_sending():
    staged(refused_twice)


def bare_promises(status: int) -> Callable[[Stage], Any]:
    async def work(stage: Stage) -> None:
        for id_, lines in ("bare", []), ("with", [REFUSED]):
            proof = status != 200 if lines else status == 421
            success = [STAMP] if status == 200 else []
            stage.plays = [
                ["refuse"] * proof + [said(status, id_, *success, *lines, body=b"of bare")]
            ]
            stage.send(stage.request(id_))
            await asyncio.sleep(0.1)
            expected = Outcome.REJECTED if proof else Outcome.CONNECTION_LOST
            assert stage.came_of[id_] == [Outcome.SUCCEEDED if success and not lines else expected]

    return work


@pytest.mark.parametrize("status", [408, 421, 429, 503, 200])
def test_what_clients_take_for_a_promise_comes_from_a_server_only_with_its_own_word(status):
    staged(bare_promises(status))


# --- to servers


async def behind_a_cut(stage: Stage) -> None:
    """Bodies below and above the window, cut off at several moments, given up, and the cut
    healed.
    """
    for n, size in enumerate((0, 100, WINDOW - 400, WINDOW, 3 * WINDOW, 6 * WINDOW)):
        for after in (0.0, 0.001, 0.004, 0.006, 0.009, 0.013, 0.02):
            id_ = f"r{n}{after}"
            stage.plays = [[1.0, whole(id_)]]
            stage.send(stage.request(id_, bytes(size)), 0.3)
            await asyncio.sleep(after)
            stage.sky.cut(US, THEM)
            await asyncio.sleep(0.4)
            given_up = stage.loop.time()
            stage.sky.mend()
            await asyncio.sleep(6.0)
            assert stage.ran_at.get(id_, 0.0) < given_up, f"{id_} ran late, of {stage.came_of[id_]}"


def test_what_is_given_up_behind_a_cut_is_not_delivered_when_that_heals():
    staged(behind_a_cut)


def test_a_connect_under_way_at_the_deadline_carries_nothing_later():
    async def work(stage: Stage) -> None:
        for n in range(20):
            stage.send(stage.request(f"r{n}"), 0.0005 * n)
            await asyncio.sleep(0.1)
            assert len(stage.came_of[f"r{n}"]) == 1

    staged(work)


async def thaws_late(stage: Stage) -> None:
    attempt = stage.send(stage.request("r"))
    attempt.timer.cancel()
    attempt.expires_at = stage.now()  # this process stood still until after that
    await asyncio.sleep(0.5)
    assert stage.came_of == {"r": [Outcome.CONNECT_FAILED]} and stage.ran == []


def test_a_process_that_stood_still_past_the_deadline_sends_nothing():
    staged(thaws_late)


async def a_silence(stage: Stage) -> None:
    stage.plays = [[0.05, whole("a")], [0.05, whole("b")], [], [whole("d")]]
    for id_ in "ab":  # two kept connections
        stage.send(stage.request(id_))
    await asyncio.sleep(0.2)
    assert len(stage.talks) == 2
    stage.life.frozen = True
    stage.send(stage.request("c"), 0.2)
    await asyncio.sleep(0.3)
    assert stage.came_of["c"] == [Outcome.NO_RESPONSE]
    stage.life.thaw()  # and it runs what is in its buffers
    await asyncio.sleep(0.1)
    assert stage.ran == ["a", "b", "c"]
    stage.send(stage.request("d"))
    await asyncio.sleep(0.1)
    assert stage.came_of["d"] == [Outcome.SUCCEEDED] and len(stage.talks) == 3, (
        "a connection of before a silence"
    )


def test_after_a_silence_no_connection_of_before_is_used_and_a_late_run_breaks_no_word():
    staged(a_silence)


def answered_early(status: int) -> Callable[[Stage], Any]:
    async def work(stage: Stage) -> None:
        stage.early, raw = True, whole("r") if status == 200 else said(503, "r", REFUSED)
        stage.plays = [[raw], [whole("n")]]
        stage.send(stage.request("r", bytes(5 * WINDOW)))
        await asyncio.sleep(0.2)
        assert stage.came_of["r"] == [Outcome.SUCCEEDED if status == 200 else Outcome.REJECTED]
        assert "r" not in stage.ran and not stage.pool.connections
        stage.send(stage.request("n"))
        await asyncio.sleep(0.2)
        assert stage.came_of["n"] == [Outcome.SUCCEEDED] and len(stage.talks) == 2

    return work


@pytest.mark.parametrize("status", [200, 503])
def test_an_answer_that_comes_before_its_request_is_written_ends_that_connection(status):
    staged(answered_early(status))


def test_surplus_answers_without_end_do_not_keep_a_request():
    async def work(stage: Stage) -> None:
        stage.plays = [[whole("x") * 40 + whole("r")]]
        stage.send(stage.request("r"))
        await asyncio.sleep(0.2)
        assert stage.came_of["r"] == [Outcome.CONNECTION_LOST]

    staged(work)


# --- the whole proxy, drawn


SCRIPT = st.lists(st.tuples(st.sampled_from(BEFALLS), st.integers(0, 250)), max_size=12)
REQUESTS = st.lists(
    st.tuples(
        st.sampled_from((0.0, 0.0, 0.005, 0.02, 0.3)),
        st.booleans(),
        st.sampled_from(HOW),
        st.integers(0, 400),
        st.sampled_from((0, 100, 100, 15_900, 50_000)),
    ),
    min_size=1,
    max_size=10,
)
EVENTS = st.lists(
    st.tuples(st.floats(0.0, 0.5), st.sampled_from(HAPPENS), st.sampled_from((0.05, 0.5, 3.0))),
    max_size=3,
)


def played(script: list[Any], requests: list[Any], events: list[Any]) -> OddCluster:
    cluster = OddCluster(list(script))

    async def work() -> None:
        tasks = [cluster.loop.create_task(cluster.happens(*event)) for event in events]
        for gap, *request in requests:
            await asyncio.sleep(gap)
            tasks.append(cluster.loop.create_task(cluster.asks(*request)))
        await asyncio.gather(*tasks)
        await asyncio.sleep(12.0)  # what is late comes now

    try:
        cluster.do(work())
        early = {run.id for run in cluster.book.runs()} - cluster.whole
        assert not early, f"ran before they were sent whole: {early}"
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


# --- the fences around the module's decisions


async def held_up(cluster: OddCluster) -> tuple[Any, Any, asyncio.Task[Any]]:
    """A request not to be repeated that is out at a server; the proxy, its request there, its
    end.
    """
    ask = cluster.client.ask("PUT", "town.example", "/once/x", "key-of-ann", b"body")
    task = cluster.loop.create_task(cluster.client.once(ask, cluster.front))
    await asyncio.sleep(0.05)
    proxy = cluster.proxy(US)
    (request,) = [r for r in proxy.requests.values() if r.request_id == ask.id.encode()]
    assert any(request.attempts)
    return proxy, request, task


def fenced(act: str) -> None:
    cluster = OddCluster([("pause", 50)] if act == "deny" else [("long pause", 0)])

    async def work() -> None:
        proxy, request, task = await held_up(cluster)
        if act == "deny":
            proxy.reject_request(Reject(request.id, "given up", 0))
        else:
            for endpoint_id in proxy.endpoints.instance_ids:
                proxy.send_attempt(SendAttempt(request.id, endpoint_id, request.deadline))
        reply = await task
        assert reply.status not in (408, 421, 429, 503)
        assert len(cluster.book.runs()) <= 1

    try:
        cluster.do(work())
    finally:
        cluster.close()


@pytest.mark.parametrize("act", ["deny", "dispatch"])
def test_whatever_the_module_says_no_promise_and_no_second_sending_while_one_is_out(act):
    fenced(act)


# --- at a start, at a stop, and of a client that does not wait


async def at_a_start(cluster: OddCluster) -> None:
    """Requests that come while there is no configuration and no server yet."""
    host = cluster.proxies[US]
    host.kill()
    await asyncio.sleep(2.0)
    host.start()
    await asyncio.sleep(0.001)
    tasks = []
    for n in range(60):
        tasks.append(cluster.loop.create_task(cluster.asks(False, HOW[n % len(HOW)], 200, 100)))
        await asyncio.sleep(0.02)
    await asyncio.gather(*tasks)


async def at_a_stop(cluster: OddCluster) -> None:
    """Requests on new and kept connections, from before a SIGTERM until after the next start."""
    host, tasks = cluster.proxies[US], []
    for n in range(150):
        if n == 50:
            tasks.append(cluster.loop.create_task(cluster.happens(0.0, "term", 0.3)))
        ask = cluster.client.ask("PUT", "town.example", "/once/x", "key-of-ann", b"body")
        tasks.append(cluster.loop.create_task(cluster.client.once(ask, cluster.front, 2.0)))
        tasks.append(cluster.loop.create_task(cluster.asks(False, HOW[n % len(HOW)], 200, 100)))
        await asyncio.sleep(0.03)
    await asyncio.gather(*tasks)
    assert host.up


async def not_waiting(cluster: OddCluster) -> None:
    """Two requests in one piece, of which the first takes longer."""
    for n in range(20):
        cluster.script[:] = [("pause", 9 * n), ("", 0)]
        await cluster.asks(n % 2 == 0, "pipelined", 0, 100)


def odd(work: Callable[[OddCluster], Any]) -> None:
    cluster = OddCluster()

    async def run() -> None:
        await work(cluster)
        await asyncio.sleep(8.0)
        assert len(cluster.book.runs()) > 10

    try:
        cluster.do(run())
    finally:
        cluster.close()


@pytest.mark.parametrize("work", [at_a_start, at_a_stop, not_waiting])
def test_each_request_has_one_end_around(work):
    odd(work)


# --- each defence taken out is noticed


def taken_at_once(client: Any, handle: Any = ClientConnection.handle) -> None:
    handle(client)
    client.request = None


def by_position(connection: Any, took: Any = UpstreamConnection.response_received) -> None:
    connection.parser.fields = connection.parser.fields | {
        b"loomstand-request-id": connection.attempt.request.request_id
    }
    took(connection)


def without_id_by_position(
    connection: Any, took: Any = UpstreamConnection.response_received
) -> None:
    took(connection) if b"loomstand-request-id" in connection.parser.fields else by_position(
        connection, took
    )


def used_after_a_silence(pool: Any, attempt: Any, why: Ending) -> None:
    if attempt.connection is not None and attempt.connection.attempt is attempt:
        attempt.connection.channel.stop(why)  # and the others stay


def same_connection(pool: Any, attempt: Any, send: Any = UpstreamPool.send) -> None:
    attempt.request.attempted_endpoints = ()
    send(pool, attempt)


def kept_early(connection: Any, close: bool) -> None:
    connection.attempt = None
    connection.parser.reset()
    connection.pool.release(connection)


def reset_proves(ending: Ending, written: bool) -> Outcome:
    return (
        Outcome.CONNECT_FAILED if ending in (Ending.RESET, Ending.CLOSED) else Outcome.NO_RESPONSE
    )


def refused_anyhow(proxy: Any, act: Any) -> None:
    proxy.answer(proxy.requests[act.request_id], 503)


AHEAD = surplus(SURPLUS["again"], ahead=True)
NOBODYS = surplus(SURPLUS["nobody's refusal"], ahead=True)
MUTANTS: dict[str, tuple[Any, str, Any, Callable[[], None]]] = {
    "match by position": (
        UpstreamConnection,
        "response_received",
        by_position,
        lambda: staged(AHEAD),
    ),
    "match by position where there is no id": (
        UpstreamConnection,
        "response_received",
        without_id_by_position,
        lambda: staged(NOBODYS),
    ),
    "reuse after a silence": (
        UpstreamPool,
        "give_up",
        used_after_a_silence,
        lambda: staged(a_silence),
    ),
    "close without a reset": (
        SocketChannel,
        "discard_unsent",
        lambda channel: None,
        lambda: staged(behind_a_cut),
    ),
    "second sending on the same connection": (
        UpstreamPool,
        "send",
        same_connection,
        lambda: staged(refused_twice),
    ),
    "a bare 503 is a promise": (
        upstream,
        "is_server_response",
        lambda *_: True,
        lambda: staged(bare_promises(503)),
    ),
    "an early answer's connection is kept": (
        UpstreamConnection,
        "finish_response",
        kept_early,
        lambda: staged(answered_early(503)),
    ),
    "a reset is a proof": (servers, "attempt_outcome", reset_proves, every_byte),
    "sent past its deadline": (
        UpstreamConnection,
        "opened",
        ServerConnection.opened,
        lambda: staged(thaws_late),
    ),
    "the next request is taken up while one is out": (
        ClientConnection,
        "handle",
        taken_at_once,
        lambda: odd(not_waiting),
    ),
    "a refusal while it is out": (Proxy, "reject_request", refused_anyhow, lambda: fenced("deny")),
    "a second sending while one is out": (
        Proxy,
        "attempt_limit",
        lambda proxy, request: 9,
        lambda: fenced("dispatch"),
    ),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_without_a_defence_its_test_fails(name, monkeypatch):
    owner, attribute, mutant, test = MUTANTS[name]
    monkeypatch.setattr(owner, attribute, mutant)
    with pytest.raises(AssertionError):
        test()
