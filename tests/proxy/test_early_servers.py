"""Servers that begin a request once they have its head, before its body has been read.

A body that is longer than the buffers between the two isn't written until the server reads it. If
the connection ends before, the request may have run all the same.
"""

from __future__ import annotations

import asyncio
from functools import partial
from random import Random

import pytest

from loomstand.admission.outcome import Outcome
from loomstand.limiter.endings import Ending
from loomstand.limiter.upstream import ServerConnection
from loomstand.proxy.upstream import UpstreamConnection
from loomstand.testing.simulation.cluster import FRONT_PORT, Cluster
from loomstand.testing.simulation.http_log import ConnectionBrokenError
from loomstand.testing.simulation.loop import run_simulated
from loomstand.testing.simulation.streams import WINDOW_BYTES
from loomstand.testing.simulation.workload import Server, ServerHttpConnection
from loomstand.testing.simulation.wrong_answers import (
    NOT_RUN_OUTCOMES,
    UpstreamFixture,
    encode_answer,
    request_id_of,
)

LONG_BODY = bytes(5 * WINDOW_BYTES)
# what an early server does after it has begun a request: see `ScriptedServerConnection`
SERVER_ENDINGS = {
    "reset": ["reset"],
    "close": ["close"],
    "half close": ["half"],
    "reset while it works": [0.05, "reset"],
    "cut answer": [encode_answer(200, "r")[:40], "reset"],
    "malformed answer": [b"\0\r\n\r\n"],
    "answer of another request": [encode_answer(200, "x"), "reset"],
    "answer without an id": [encode_answer(200)],
    "oversized answer": [b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"],
    "silence": [],
}


def check_outcome(server_script: list, local_ending: Ending | None = None) -> None:
    """Checks that no ending of an attempt whose body isn't written yet proves non-execution."""

    async def run() -> None:
        fixture = await UpstreamFixture().open()
        fixture.early = True
        fixture.scripts = [["run", *server_script]]
        attempt = fixture.send(fixture.request("r", LONG_BODY), within=0.5)
        await asyncio.sleep(0.1)
        if local_ending is not None:
            fixture.pool.give_up(attempt, local_ending)
        await asyncio.sleep(1.0)
        assert fixture.ran == ["r"]
        (outcome,) = fixture.outcomes["r"]
        assert outcome not in NOT_RUN_OUTCOMES, outcome

    run_simulated(run)


@pytest.mark.parametrize("name", SERVER_ENDINGS)
def test_an_attempt_that_ends_within_its_body_may_have_run(name):
    check_outcome(SERVER_ENDINGS[name])


@pytest.mark.parametrize("ending", [Ending.EXPIRED, Ending.CALLED_OFF, Ending.STOPPING])
def test_an_attempt_that_the_proxy_ends_within_its_body_may_have_run(ending):
    check_outcome([], ending)


def test_a_last_byte_that_is_not_written_proves_nothing(monkeypatch):
    """Mutation: the proxy takes an unwritten rest of a body for a proof of non-execution."""
    monkeypatch.setattr(UpstreamConnection, "may_have_run", ServerConnection.may_have_run)
    with pytest.raises(AssertionError):
        check_outcome(["reset"])


@pytest.mark.parametrize("body_bytes", [0, len(LONG_BODY)])
def test_an_attempt_without_an_open_connection_has_not_run(body_bytes):
    async def run() -> None:
        fixture = await UpstreamFixture().open()
        fixture.network.partition(["10.2.0.1"], ["10.3.0.1"])
        fixture.send(fixture.request("r", bytes(body_bytes)))
        await asyncio.sleep(1.0)
        assert fixture.outcomes["r"] == [Outcome.CONNECT_FAILED] and fixture.ran == []

    run_simulated(run)


# --- the whole proxy


async def serve_early(
    server: Server, begun: list[str], rng: Random, connection: ServerHttpConnection
) -> None:
    """Begins a request at its head, and ends the connection in place of the answer."""
    try:
        while b"\r\n\r\n" not in connection.buffer:
            await connection.wait_for_data()
    except ConnectionBrokenError:
        return
    begun.append(request_id_of(bytes(connection.buffer)))
    connection.transport.pause_reading()
    await asyncio.sleep(rng.uniform(*server.work_seconds))
    if rng.random() < 0.5:
        connection.transport.reset()
        connection.transport.fail(ConnectionResetError())
    else:
        connection.transport.close()


@pytest.mark.parametrize("seed", range(6))
def test_a_request_whose_answer_is_lost_before_its_body_is_read_runs_once(seed):
    """Sends non-idempotent requests with long bodies; none is retried, none is called refused."""
    cluster, rng, begun = Cluster(seed, proxies=2), Random(seed), list[str]()

    async def run() -> None:
        await cluster.start()
        for server in cluster.servers["alpha"]:
            server.serve = partial(serve_early, server, begun, rng)  # type: ignore[method-assign]
        client = cluster.new_client()
        for number in range(12):
            request = client.new_request("POST", "town.example", "/once/x", "key-of-ann", LONG_BODY)
            front = ([*cluster.proxies][number % 2], FRONT_PORT)
            reply = await client.send_once(request, front)
            assert begun.count(request.id) <= 1, f"{request.id} ran twice"
            if request.id in begun:
                assert reply.status in (502, 504), reply
        assert begun

    cluster.run(run())
    cluster.close()
