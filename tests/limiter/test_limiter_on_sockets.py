"""The stand-alone limiter on loopback sockets, with stand-ins for the services around it."""

from __future__ import annotations

import asyncio
import functools
import gc
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from types import SimpleNamespace

import msgspec
import pytest
from helpers import (
    HOST,
    WATCH_RESPONSE_HEAD,
    HttpClient,
    LimiterHarness,
    StubServer,
    config_file,
    free_port,
    http_response,
    member,
    request,
    wait_until,
    watch_chunk,
)

from loomstand.admission.actions import IncrementCounter
from loomstand.admission.outcome import Outcome
from loomstand.limiter.buffers import INITIAL_RING_BYTES, Ring
from loomstand.limiter.discovery import Watch
from loomstand.limiter.endings import Ending
from loomstand.limiter.event_loop import ArrivalClockSelector, ReadTimeClock, SocketChannel, connect
from loomstand.limiter.http_parser import Receiver


def socket_test(test):
    """Runs an async test with a time-out of 15 s, on an event loop with `ArrivalClockSelector`."""

    async def run_within_timeout(*args, **kwargs):
        async with asyncio.timeout(15):
            await test(*args, **kwargs)

    @functools.wraps(test)
    def run(*args, **kwargs):
        with asyncio.Runner(
            loop_factory=lambda: asyncio.SelectorEventLoop(ArrivalClockSelector())
        ) as runner:
            runner.run(run_within_timeout(*args, **kwargs))

    return run


def passes(n, head, body):
    """Stub server that responds to every request with 200."""
    return http_response(200, b"yes")


def silent(n, head, body):
    """Stub server that doesn't respond within any time-out of these tests."""
    return asyncio.sleep(5, b"")


def outcomes(harness):
    """Returns a list that collects the outcomes of attempts as they are reported."""
    seen, handle_event = [], harness.limiter.handle_event

    def spy(event):
        if hasattr(event, "attempt"):
            seen.append(event.outcome)
        handle_event(event)

    harness.limiter.handle_event = spy
    return seen


@socket_test
async def test_a_request_is_forwarded_unchanged_and_connections_are_reused():
    body = bytes(range(256)) * 100
    async with (
        LimiterHarness(lambda n, head, received: http_response(200, received)) as harness,
        HttpClient(harness.port) as client,
    ):
        assert (await client.send_request(b"GET /-/ready HTTP/1.1\r\n\r\n"))[0] == 200
        for n in range(3):
            assert (await client.send_request(request("book", f"r{n}", body=body)))[::2] == (
                200,
                body,
            )
        server = harness.servers[0]
        assert server.connections == 1 and server.bodies == [body] * 3
        start_line, *fields = server.heads[1].lower().split(b"\r\n")
        assert (
            start_line == b"post /book?account=00000000b4d65521 http/1.1"
            and b"request-id: r1" in fields
        )
        timeout_ms = next(int(f.split()[1]) for f in fields if f.startswith(b"request-timeout-ms"))
        assert 900 < timeout_ms <= 1000
        assert not harness.limiter.requests and harness.limiter.memory_budget.available > 90 << 20


@socket_test
async def test_a_response_of_the_maximum_size_is_forwarded_and_a_longer_one_is_not():
    sizes = [300_000, 300_000, (96 << 20) // 64, (96 << 20) // 64 + 1, 3_000_000_000]

    def respond(n, head, body):
        truncated = b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\nlong" % sizes[n]
        return http_response(200, b"a" * sizes[n]) if n < 4 else truncated

    async with LimiterHarness(respond) as harness, HttpClient(harness.port) as client:
        replies = [await client.send_request(request("book", f"r{n}")) for n in range(5)]
        assert [reply[0] for reply in replies] == [200, 200, 200, 502, 502]
        assert [len(reply[2]) for reply in replies] == [*sizes[:3], 0, 0] and harness.servers[
            0
        ].connections == 2
        assert (
            harness.limiter.memory_budget.available >= (96 << 20) - 4 * INITIAL_RING_BYTES
        )  # and no ring buffer stays large


@socket_test
async def test_a_limiter_without_servers_is_not_ready():
    async with LimiterHarness() as harness, HttpClient(harness.port) as client:
        harness.limiter.is_ready = False
        assert (await client.send_request(b"GET /-/ready HTTP/1.1\r\n\r\n"))[0] == 503
        assert (await client.send_request(request()))[0] == 429


@socket_test
async def test_rejected_and_refused_attempts_did_not_run_so_non_replayable_requests_are_retried():
    rejection = functools.partial(http_response, 503, b"", b"Not-Started: 1\r\n")
    async with (
        LimiterHarness(lambda n, head, body: rejection(), passes, passes) as harness,
        HttpClient(harness.port) as client,
    ):
        harness.servers[1].stop()  # refuses connections
        replies = [(await client.send_request(request("book", f"r{n}")))[0] for n in range(6)]
        assert set(replies) <= {200, 429} and 200 in replies


@pytest.mark.parametrize(
    "truncated",
    [
        b"",
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsome",
        b"nonsense\r\n\r\n",
    ],
)
@socket_test
async def test_a_request_with_a_truncated_response_may_have_run_and_gets_a_502(truncated):
    async def respond(n, head, body):
        for writer in list(harness.servers[0].open):
            writer.write(truncated)
            await writer.drain()

    async with LimiterHarness(respond) as harness, HttpClient(harness.port) as client:
        seen = outcomes(harness)
        assert (await client.send_request(request("book")))[0] == 502
        assert seen == [Outcome.CONNECTION_LOST] and len(harness.servers[0].heads) == 1


@socket_test
async def test_a_connection_to_a_silent_server_is_closed_at_the_request_time_out():
    async with LimiterHarness(silent) as harness, HttpClient(harness.port) as client:
        sent_at = time.monotonic()
        assert (await client.send_request(request("book", timeout=300)))[0] == 502
        assert time.monotonic() - sent_at < 0.5
        assert not harness.limiter.pool.connections and not harness.limiter.requests


@socket_test
async def test_a_connect_that_times_out_ends_as_silent_connect():
    loop, ended = asyncio.get_running_loop(), []

    class User:
        def ended(self, ending):
            ended.append(ending)

    async with LimiterHarness(passes) as harness:
        # A listener with a full backlog doesn't respond to further connects.
        full = await asyncio.start_server(
            lambda r, w: None, HOST, 0, backlog=1, start_serving=False
        )
        port = full.sockets[0].getsockname()[1]
        full.sockets[0]._sock.listen(0)
        _, backlog_writer = await asyncio.open_connection(HOST, port)
        channel = SocketChannel(User(), harness.limiter.memory_budget, 1 << 16)
        connect(loop, channel, (HOST, port), 0.1)
        await wait_until(lambda: ended)
        assert ended == [Ending.SILENT_CONNECT]
        backlog_writer.close()
        full.close()


@socket_test
async def test_no_connection_is_reused_near_its_idle_close():
    async with LimiterHarness(passes) as harness, HttpClient(harness.port) as client:
        await client.send_request(request(id_="a"))
        harness.limiter.pool.max_idle_seconds = 0.05
        await asyncio.sleep(0.06)
        assert (await client.send_request(request(id_="b")))[0] == 200
        assert harness.servers[0].connections == 2


@socket_test
async def test_a_new_server_at_a_known_address_gets_new_connections():
    async with LimiterHarness(passes) as harness, HttpClient(harness.port) as client:
        await wait_until(lambda: harness.discovery.open)
        await client.send_request(request())
        old, new = harness.members[0], harness.members[0] | {"id": "s9"}
        harness.send_watch_line(
            revision=5, complete=False, members=[old | {"phase": "leaving"}, new]
        )
        await wait_until(lambda: len(harness.limiter.pool.addresses) == 2)
        assert (await client.send_request(request(id_="r2")))[0] == 200 and harness.servers[
            0
        ].connections == 2
        harness.send_watch_line(revision=6, complete=False, members=[old | {"phase": "left"}])
        # The limiter keeps neither an index nor a connection of the removed server.
        await wait_until(lambda: list(harness.limiter.servers.indices) == ["s9"])
        assert list(harness.limiter.pool.connections) == [
            connection
            for connections in harness.limiter.pool.idle.values()
            for connection in connections
        ]
        assert (await client.send_request(request(id_="r3")))[0] == 200 and harness.servers[
            0
        ].connections == 2


@socket_test
async def test_no_connection_with_unread_bytes_is_reused():
    async with LimiterHarness(passes) as harness, HttpClient(harness.port) as client:
        await client.send_request(request(id_="a"))
        pool = harness.limiter.pool
        send = pool.send

        def send_after_unrequested_response(attempt):
            # The bytes are still unread when the pool looks for a connection.
            for writer in list(harness.servers[0].open)[:1]:
                writer.write(http_response(200, b"another's"))
            time.sleep(0.01)
            send(attempt)

        pool.send = send_after_unrequested_response
        assert (await client.send_request(request(id_="b")))[::2] == (200, b"yes")
        assert harness.servers[0].connections == 2


@socket_test
async def test_connections_idle_throughout_an_expired_attempt_are_not_reused():
    respond = lambda n, head, body: asyncio.sleep(0.1 if n < 2 else 3, http_response(200))  # noqa: E731
    async with (
        LimiterHarness(respond) as harness,
        HttpClient(harness.port) as first_client,
        HttpClient(harness.port) as second_client,
    ):
        await asyncio.gather(
            first_client.send_request(request(id_="r1")),
            second_client.send_request(request(id_="r2")),
        )
        assert len(harness.limiter.pool.connections) == 2
        assert (await first_client.send_request(request("book", "r3", timeout=200)))[0] == 502
        assert not harness.limiter.pool.connections


@socket_test
async def test_lack_of_sockets_is_reported_as_not_sent():
    async with (
        LimiterHarness(silent) as harness,
        HttpClient(harness.port) as first_client,
        HttpClient(harness.port) as second_client,
    ):
        seen = outcomes(harness)
        harness.limiter.sockets = 3  # two clients and one server
        first_reply = asyncio.create_task(first_client.send_request(request(timeout=400)))
        await wait_until(lambda: harness.limiter.pool.connections)
        assert (await second_client.send_request(request(id_="r2")))[0] == 429
        assert set(seen) == {Outcome.NOT_SENT}
        await first_reply


@socket_test
async def test_lack_of_descriptors_is_reported_as_not_sent():
    def out_of_descriptors(*args):
        raise OSError(24, "too many open files")

    async with LimiterHarness(passes) as harness, HttpClient(harness.port) as client:
        seen, real = outcomes(harness), connect.__globals__["socket"].socket
        connect.__globals__["socket"].socket = out_of_descriptors
        try:
            assert (await client.send_request(request()))[0] == 429
        finally:
            connect.__globals__["socket"].socket = real
        assert set(seen) == {Outcome.NOT_SENT}


@pytest.mark.parametrize(
    ("raw", "status", "closes"),
    [
        (b"nonsense\r\n\r\n", 400, True),
        (b"GET /look HTTP/1.1\r\na: %b\r\n\r\n" % (b"x" * 9000), 431, True),
        (b"POST /look HTTP/1.1\r\nContent-Length: 70000\r\n\r\n" + b"x" * 70000, 413, True),
        (b"GET /nothing HTTP/1.1\r\n\r\n", 400, False),
        (request().replace(b"units=1", b"units=nan"), 400, False),
        (request().replace(b"units=1", b"units=99"), 400, False),
        (request().replace(b"units=1", b"units=0"), 400, False),
        (request().replace(b"spread=1", b"spread=999999999"), 400, False),
        (request().replace(b"first=0", b"first=1"), 400, False),
        (request().replace(b"basic", b"golden"), 400, False),
        (request("odd"), 404, False),
        (request().replace(b"account=0", b"account=x"), 400, False),
    ],
)
@socket_test
async def test_invalid_input_gets_a_4xx_and_frees_its_memory(raw, status, closes):
    async with LimiterHarness(passes) as harness, HttpClient(harness.port) as client:
        assert (await client.send_request(raw))[0] == status
        if closes:
            assert await client.is_closed()
            client.writer.close()
            await wait_until(lambda: not harness.limiter.listener.clients)
            assert (
                harness.limiter.memory_budget.available >= (96 << 20) - INITIAL_RING_BYTES
            )  # the connection to discovery keeps a buffer
        else:
            assert (await client.send_request(request()))[0] == 200


@socket_test
async def test_a_request_whose_client_disconnects_is_abandoned():
    async with LimiterHarness(
        lambda n, head, body: asyncio.sleep(0.1, http_response(200))
    ) as harness:
        async with HttpClient(harness.port) as client:
            client.writer.write(request())
            await wait_until(lambda: harness.servers[0].heads)
        await wait_until(lambda: not harness.limiter.listener.clients)
        assert all(req.client is None for req in harness.limiter.requests.values())
        await wait_until(lambda: not harness.limiter.requests)
        assert (
            len(harness.limiter.pool.connections) == 1
        )  # the response arrived, so its connection is kept


@socket_test
async def test_pipelined_requests_are_answered_in_order():
    respond = lambda n, head, body: asyncio.sleep(0.02, http_response(200, b"%d" % n))  # noqa: E731
    async with LimiterHarness(respond) as harness, HttpClient(harness.port) as client:
        client.writer.write(b"".join(request(id_=f"r{n}") for n in range(4)))
        assert [(await client.read_response())[2] for n in range(4)] == [b"0", b"1", b"2", b"3"]


@socket_test
async def test_a_blocked_event_loop_shortens_the_remaining_time():
    async with LimiterHarness(silent) as harness, HttpClient(harness.port) as client:
        client.writer.write(request("book", timeout=400))
        await asyncio.sleep(0)  # the bytes are sent in this iteration
        sent_at = time.monotonic()
        time.sleep(0.2)  # blocks the event loop
        assert (await client.read_response())[0] in (429, 502)
        assert time.monotonic() - sent_at < 0.55


@socket_test
async def test_idle_time_before_the_first_request_does_not_shorten_its_time_out():
    async with (
        LimiterHarness(lambda n, head, body: asyncio.sleep(0.1, http_response(200))) as harness,
        HttpClient(harness.port) as client,
    ):
        await asyncio.sleep(0.3)
        assert (await client.send_request(request(timeout=250)))[0] == 200


@socket_test
async def test_a_request_sent_with_the_connect_is_timed_from_the_connect():
    async with LimiterHarness(silent) as harness, HttpClient(harness.port) as client:
        client.writer.write(request("book", timeout=400))
        time.sleep(0.2)  # before the limiter polls the connection
        unblocked_at = time.monotonic()
        assert (await client.read_response())[0] in (429, 502)
        assert time.monotonic() - unblocked_at < 0.35


@socket_test
async def test_a_response_before_the_end_of_the_request_is_used():
    async def early(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(http_response(503, b"", b"Not-Started: 1\r\nConnection: close\r\n"))
        await asyncio.sleep(0.2)
        writer.close()

    server = await asyncio.start_server(early, HOST, 0, limit=1 << 10)
    port = server.sockets[0].getsockname()[1]
    known = {"revision": 1, "complete": True, "members": [member("s9", port)]}
    async with LimiterHarness(known=known) as harness, HttpClient(harness.port) as client:
        seen = outcomes(harness)
        assert (await client.send_request(request("book", body=b"x" * 60_000)))[0] == 429
        assert set(seen) == {Outcome.REJECTED}
    server.close()


@socket_test
async def test_excess_clients_replace_idle_ones_or_are_rejected():
    async with LimiterHarness(silent) as harness:
        harness.limiter.sockets = 2
        async with (
            HttpClient(harness.port) as idle,
            HttpClient(harness.port) as busy,
            HttpClient(harness.port) as third,
        ):
            busy.writer.write(request())
            assert await idle.is_closed()
            third.writer.write(request(id_="r2"))
            async with HttpClient(harness.port) as fourth:
                assert (await fourth.send_request(request(id_="r3")))[
                    0
                ] == 503 and await fourth.is_closed()
            assert len(harness.limiter.listener.clients) <= 3


@socket_test
async def test_closed_connections_are_freed_without_the_garbage_collector():
    async with LimiterHarness(
        lambda n, head, body: None if n % 2 else http_response(200)
    ) as harness:
        # Otherwise the limiter opens this connection when it first reports usage, some 0.1 s later.
        counter = harness.limiter.counter
        counter.open_connection()
        await wait_until(lambda: counter.connection.is_open)
        gc.collect()
        gc.disable()

        def live_objects():
            return sum(isinstance(o, SocketChannel | Receiver | Ring) for o in gc.get_objects())

        before = live_objects()
        try:
            for n in range(6):
                async with HttpClient(harness.port) as client:
                    assert (await client.send_request(request("book", f"r{n}")))[0] in (200, 502)
            await wait_until(
                lambda: (
                    not harness.limiter.listener.clients and not harness.limiter.pool.connections
                )
            )
            await wait_until(lambda: live_objects() == before)
        finally:
            gc.enable()


@socket_test
async def test_silent_and_stalled_clients_are_closed_in_favour_of_active_ones():
    async with (
        LimiterHarness(passes) as harness,
        HttpClient(harness.port) as client,
        HttpClient(harness.port) as stalled_client,
        HttpClient(harness.port) as silent_client,
    ):
        await client.send_request(request())
        stalled_client.writer.write(request()[:40])
        await wait_until(
            lambda: [c.idle for c in harness.limiter.listener.clients].count(False) == 1
        )
        await asyncio.sleep(0.3)  # longer than the connect time-out
        harness.limiter.sockets = 4  # all in use: three clients and one server
        async with HttpClient(harness.port) as first:
            assert (await first.send_request(request(id_="r1")))[0] == 200
            assert await silent_client.is_closed() and harness.servers[0].connections == 1
            assert (await client.send_request(request(id_="r2")))[0] == 200
            harness.limiter.pool.close_idle = harness.limiter.listener.close_idle = lambda *_: False
            async with HttpClient(harness.port) as second:
                assert (await second.send_request(request(id_="r3")))[0] == 200
                assert (await stalled_client.read_response())[0] == 408
                assert await stalled_client.is_closed()


@socket_test
async def test_clients_that_stay_after_one_request_are_closed_before_active_ones():
    async with LimiterHarness(passes) as harness, HttpClient(harness.port) as active_client:
        harness.limiter.listener.keep_alive_limit = 4
        idle_clients = [HttpClient(harness.port) for _ in range(8)]
        for n, client in enumerate(idle_clients):
            await client.__aenter__()
            assert (await client.send_request(request(id_=f"s{n}")))[0] == 200
            # Now the active client has the most recent response of all.
            assert (await active_client.send_request(request(id_=f"u{n}")))[0] == 200
            assert len(harness.limiter.listener.clients) <= 4
        assert await idle_clients[0].is_closed()
        for client in idle_clients:
            client.writer.close()


@socket_test
async def test_no_connection_with_an_unread_request_is_closed():
    async with LimiterHarness(passes) as harness, HttpClient(harness.port) as client:
        await wait_until(lambda: harness.limiter.listener.clients)
        client.writer.write(request())  # in the kernel, still unread
        assert not harness.limiter.listener.close_idle()
        harness.limiter.listener.stop()
        assert (await client.read_response())[0] == 200


@socket_test
async def test_a_client_that_stalls_within_a_request_is_closed():
    async with LimiterHarness(passes) as harness, HttpClient(harness.port) as client:
        client.writer.write(request()[:40])
        await wait_until(lambda: any(not c.idle for c in harness.limiter.listener.clients))
        harness.limiter.listener.sweep(0.0)
        assert (await client.read_response())[0] == 408
        assert await client.is_closed()


@socket_test
async def test_clients_that_send_slowly_or_linger_are_closed():
    async with (
        LimiterHarness(passes) as harness,
        HttpClient(harness.port) as slow_client,
        HttpClient(harness.port) as idle_client,
    ):
        assert (await idle_client.send_request(b"nonsense\r\n\r\n"))[0] == 400
        for byte in request()[:6]:
            slow_client.writer.write(bytes([byte]))
            await asyncio.sleep(0.02)
        listener = harness.limiter.listener
        assert len(listener.clients) == 2
        listener.sweep(0.08)  # only the first byte is older than 0.08 s
        assert (await slow_client.read_response())[0] == 408
        await wait_until(lambda: listener.sweep(0.08) or not listener.clients)


@socket_test
async def test_without_arrival_times_each_request_has_its_full_time_out():
    respond = lambda n, head, body: asyncio.sleep(0.05, http_response(200))  # noqa: E731
    async with (
        LimiterHarness(respond, arrival_clock=ReadTimeClock()) as harness,
        HttpClient(harness.port) as client,
    ):
        for n in range(3):
            assert (await client.send_request(request(id_=f"r{n}", timeout=250)))[0] == 200
            await asyncio.sleep(0.15)


@socket_test
async def test_counter_calls_are_pipelined_and_late_responses_are_not_misassigned():
    async def respond(n, head, body):
        await asyncio.sleep(0.25 if n == 0 else 0)
        return http_response(503) if n == 2 else http_response(200, b"%d" % (100 + n))

    async with LimiterHarness(counter=respond) as harness:
        replies = []
        harness.limiter.counter.silence_timeout = 1.0
        harness.limiter.counter_replied = lambda *call: replies.append(call[:3])
        for n in range(3):
            harness.limiter.counter.call(IncrementCounter(n, 1.0, 10_000))
        await wait_until(lambda: len(replies) == 3)
        # The delayed first response delays the others.
        assert [reply[1] for reply in replies] == [Outcome.NO_RESPONSE] * 3
        await asyncio.sleep(0.25)
        harness.limiter.counter.call(IncrementCounter(7, 2.5, 10_000))
        await wait_until(lambda: len(replies) == 4)
        assert replies[3] == (7, Outcome.SUCCEEDED, 103.0) and harness.counter.connections == 1
        assert harness.counter.heads[3].startswith(b"POST /counters/7?by=2.5&expire_ms=1000 ")


@pytest.mark.parametrize(
    "invalid",
    [
        http_response(200, b"none"),
        http_response(200, b"1e999"),
        http_response(500),
        http_response(200, b"3") + b"noise",
    ],
)
@socket_test
async def test_after_an_invalid_counter_response_the_connection_is_replaced(invalid):
    async with LimiterHarness(
        counter=lambda n, head, body: http_response(200, b"4") if n else invalid
    ) as harness:
        replies = []
        harness.limiter.counter_replied = lambda *call: replies.append(call[1:3])
        for n in range(2):
            harness.limiter.counter.call(IncrementCounter(n, 1.0, 10_000))
            await wait_until(lambda: len(replies) == n + 1)  # noqa: B023
        first = (Outcome.SUCCEEDED, 3.0) if b"noise" in invalid else (Outcome.NO_RESPONSE, 0.0)
        assert replies == [first, (Outcome.SUCCEEDED, 4.0)] and harness.counter.connections == 2


@pytest.mark.parametrize("first_bytes_after_seconds", [0.0, 0.03])
@socket_test
async def test_a_call_after_an_incomplete_counter_response_uses_another_connection(
    first_bytes_after_seconds,
):
    """The bytes of a response that doesn't end must not make its connection count as alive."""

    async def incomplete_response() -> bytes:
        await asyncio.sleep(first_bytes_after_seconds)
        return b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n1"

    async with LimiterHarness(
        counter=lambda n, head, body: incomplete_response() if n == 1 else http_response(200, b"4")
    ) as harness:
        replies = []
        harness.limiter.counter_replied = lambda *call: replies.append(call[1:3])
        for n in range(3):  # the first call opens the connection
            harness.limiter.counter.call(IncrementCounter(n, 1.0, 10_000))
            await wait_until(lambda: len(replies) == n + 1)  # noqa: B023
        answered = (Outcome.SUCCEEDED, 4.0)
        assert replies == [answered, (Outcome.NO_RESPONSE, 0.0), answered]
        assert harness.counter.connections == 2


@socket_test
async def test_a_lost_counter_connection_is_no_response_and_a_refused_one_a_failed_connect():
    async with LimiterHarness(counter=lambda n, head, body: None) as harness:
        replies = []
        harness.limiter.counter_replied = lambda *call: replies.append(call[1])
        harness.limiter.counter.call(IncrementCounter(1, 1.0, 10_000))
        await wait_until(lambda: replies)
        harness.counter.stop()
        await harness.counter.server.wait_closed()
        harness.limiter.counter.call(IncrementCounter(1, 1.0, 10_000))
        await wait_until(lambda: len(replies) == 2)
        assert replies == [Outcome.NO_RESPONSE, Outcome.CONNECT_FAILED]


@socket_test
async def test_a_silent_counter_gets_few_connections():
    async with LimiterHarness(counter=silent) as harness:
        counter, replies = harness.limiter.counter, []
        harness.limiter.counter_replied = lambda *call: replies.append(call[1])
        counter.timeout, counter.silence_timeout = 0.01, 0.02
        for n in range(30):
            counter.call(IncrementCounter(n, 1.0, 10_000))
            await asyncio.sleep(0.02)
        assert set(replies) == {Outcome.NO_RESPONSE} and 2 <= harness.counter.connections <= 6


@socket_test
async def test_a_reload_moves_discovery_and_counter_without_losing_work():
    counter = lambda n, head, body: asyncio.sleep(0.05, http_response(200, b"7"))  # noqa: E731
    slow = lambda n, head, body: asyncio.sleep(0.2, http_response(200))  # noqa: E731
    async with LimiterHarness(slow, counter=counter) as harness, HttpClient(harness.port) as client:
        limiter, replies = harness.limiter, []
        await wait_until(lambda: harness.discovery.open and limiter.counter.connection is None)
        limiter.counter_replied = lambda *call: replies.append(call[:3])
        client.writer.write(request())
        limiter.counter.call(IncrementCounter(1, 1.0, 10_000))
        await wait_until(lambda: harness.counter.heads)
        new_discovery, new_counter = (
            StubServer(lambda n, head, body: WATCH_RESPONSE_HEAD),
            StubServer(counter),
        )
        addresses = {
            "discovery_address": (HOST, await new_discovery.start()),
            "counter_address": (HOST, await new_counter.start()),
        }
        for _ in range(2):  # the second reload has the same addresses
            limiter.reload(msgspec.structs.replace(limiter.config, **addresses))
        assert limiter.counter.connection is None or not limiter.counter.connection.is_open
        # The old connection's response arrives while the new one connects.
        limiter.counter.call(IncrementCounter(2, 1.0, 10_000))
        await wait_until(
            lambda: len(replies) >= 2 and new_discovery.heads and not harness.discovery.open
        )
        await wait_until(lambda: not harness.counter.open)
        assert sorted(replies) == [(1, Outcome.SUCCEEDED, 7.0), (2, Outcome.SUCCEEDED, 7.0)]
        assert (len(harness.counter.heads), len(new_counter.heads)) == (1, 1)
        assert (await client.read_response())[0] == 200
        assert len(new_discovery.heads) == 1 and b"index=4 " in new_discovery.heads[0]
        new_discovery.stop()
        new_counter.stop()


@socket_test
async def test_queued_counter_calls_go_to_the_new_address():
    async with LimiterHarness() as harness:
        replies = []
        harness.limiter.counter_replied = lambda *call: replies.append(call[1])
        harness.limiter.counter.call(IncrementCounter(1, 1.0, 10_000))  # still connecting
        other = StubServer(harness.counter.respond)
        harness.limiter.counter.set_address((HOST, await other.start()))
        await wait_until(lambda: replies)
        assert (
            replies == [Outcome.SUCCEEDED] and len(other.heads) == 1 and not harness.counter.heads
        )
        other.stop()


@socket_test
async def test_the_watch_resumes_at_its_revision_and_is_replaced_when_silent():
    async with LimiterHarness(passes, passes) as harness:
        limiter, discovery = harness.limiter, harness.discovery
        await wait_until(lambda: discovery.open)
        assert b"GET /api/targets?stream=1&index=4 " in discovery.heads[0]
        harness.send_watch_line(
            revision=6, complete=False, members=[harness.members[0] | {"phase": "left"}]
        )
        await wait_until(lambda: list(limiter.pool.addresses) == [1])
        discovery.abort_connections()
        await wait_until(lambda: len(discovery.heads) == 2)
        assert b"index=6 " in discovery.heads[1]
        limiter.watch.last_received_at -= 60
        limiter.watch.sweep()
        await wait_until(lambda: len(discovery.heads) == 3)
        await wait_until(lambda: discovery.open)
        harness.send_watch_line(revision=7, complete=True, members=[harness.members[0]])
        await wait_until(
            lambda: list(limiter.servers.indices) == ["s0"] and len(limiter.pool.addresses) == 1
        )


@socket_test
async def test_a_watch_with_invalid_data_is_reopened():
    async with LimiterHarness(passes) as harness, HttpClient(harness.port) as client:
        await wait_until(lambda: harness.discovery.open)
        for writer in harness.discovery.open:
            writer.write(watch_chunk(["no", "list"]))
        await wait_until(lambda: len(harness.discovery.heads) == 2)
        assert (await client.send_request(request()))[0] == 200


@socket_test
async def test_a_stopping_limiter_serves_until_no_request_is_pending(monkeypatch):
    monkeypatch.setattr("loomstand.limiter.limiter.LINGER_SECONDS", 0.2)
    slow = lambda n, head, body: asyncio.sleep(0.4, http_response(200))  # noqa: E731
    async with (
        LimiterHarness(slow) as harness,
        HttpClient(harness.port) as busy,
        HttpClient(harness.port) as idle,
    ):
        busy.writer.write(request())
        await wait_until(lambda: harness.servers[0].heads)
        harness.limiter.stop()
        assert await idle.is_closed()
        async with HttpClient(
            harness.port
        ) as late:  # new connections are accepted for `LINGER_SECONDS`
            status, head, _ = await late.send_request(request(id_="r2"))
            assert status == 200 and b"connection: close" in head.lower()
        status, head, _ = await busy.read_response()
        assert status == 200 and b"connection: close" in head.lower() and await busy.is_closed()
        await wait_until(harness.limiter.stopped.is_set)
        with pytest.raises(OSError):
            await asyncio.open_connection(HOST, harness.port)


@pytest.mark.parametrize("seed", [1, 2, 3])
@socket_test
async def test_mixed_faults_leave_one_response_per_request_and_no_effect_twice(seed):
    rng = random.Random(seed)
    ran: dict[str, int] = {}  # deliveries that may have run
    rejection = http_response(503, b"", b"Not-Started: 1\r\n")

    async def respond(n, head, body):
        # p: success, t: rejection, c: connection closed, e: error, s: late success, h: half of a
        # response
        fault, name = (
            rng.choice("pppptcesh"),
            re.search(rb"request-id: (\w+)", head.lower())[1].decode(),
        )
        if fault == "t":
            return rejection
        ran[name] = ran.get(name, 0) + 1
        if fault in "se":
            await asyncio.sleep(0.6 if fault == "s" else 0.02)
        return {
            "c": None,
            "e": http_response(500),
            "h": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        }.get(fault, http_response(200, name.encode()))

    async def count(n, head, body):
        await asyncio.sleep(rng.choice([0, 0, 0, 0.15]))
        return rng.choice(
            [http_response(200, b"1"), http_response(200, b"2.5"), http_response(503), None]
        )

    async def send_requests(harness, n):
        async with HttpClient(harness.port) as client:
            for k in range(8):
                frontend, name = rng.choice(["look", "book"]), f"r{n}x{k}"
                sent_at = time.monotonic()
                status, _, body = await client.send_request(
                    request(frontend, name, timeout=300, body=b"b" * 100)
                )
                assert time.monotonic() - sent_at < 0.5
                assert status in (200, 429, 502) and (status != 200 or body == name.encode())
                if frontend == "book":  # not idempotent
                    assert ran.get(name, 0) <= 1
                    assert status != 429 or not ran.get(name)

    async with LimiterHarness(respond, respond, respond, counter=count) as harness:
        await asyncio.gather(*(send_requests(harness, n) for n in range(6)))
        await wait_until(lambda: not harness.limiter.requests)
        assert len(harness.limiter.pool.connections) == sum(
            map(len, harness.limiter.pool.idle.values())
        )


@socket_test
async def test_an_engine_failure_affects_one_request_only():
    async with LimiterHarness(passes) as harness, HttpClient(harness.port) as client:
        handle = harness.limiter.engine.handle
        harness.limiter.engine.handle = lambda now, event: 1 / 0
        assert (await client.send_request(request()))[0] == 502
        harness.limiter.engine.handle = handle
        assert (await client.send_request(request()))[0] == 200


def test_the_program_reloads_at_sighup_and_stops_at_sigterm(tmp_path):
    file = tmp_path / "limiter.json"
    ports = {"listen": free_port(), "discovery": free_port(), "counter": free_port()}
    valid = json.dumps(config_file(ports, [member("s0", free_port())]))
    file.write_text(valid)
    env = os.environ | {"PROXY_DISCOVERY": f"{HOST}:{ports['discovery']}"}
    run = [sys.executable, "-m", "loomstand"]
    serve = subprocess.Popen(
        [*run, "serve", "--config", file], stderr=subprocess.PIPE, text=True, env=env
    )
    try:
        assert "listens" in serve.stderr.readline()
        with socket.create_connection((HOST, ports["listen"]), 5) as sock:
            sock.sendall(b"GET /-/ready HTTP/1.1\r\n\r\n")
            assert sock.recv(100).startswith(b"HTTP/1.1 200 ")
            for text, expected in (
                ("{", "the one held stands"),
                (file.read_text(), "read its configuration"),
            ):
                file.write_text(text.replace(str(ports["discovery"]), str(other := free_port())))
                serve.send_signal(signal.SIGHUP)
                assert expected in (log_line := serve.stderr.readline())
                file.write_text(valid)
            assert str(other) in log_line  # from the file, not from the environment
            serve.terminate()
            assert sock.recv(100) == b""
        assert serve.wait(10) == 0
    finally:
        serve.kill()
    file.write_text(file.read_text().replace('"balancers": 1', '"balancers": "x"'))
    bad = subprocess.run([*run, "check", "--config", file], capture_output=True, text=True)
    assert bad.returncode == 1 and "settings.balancers" in bad.stderr


def test_reconnects_to_discovery_are_jittered_and_back_off():
    """Guards against synchronized reconnects: 28 limiters that started within one second and were
    rejected by discovery reconnected at the same times.
    """
    delays_by_seed: dict[int, list[float]] = {}
    for seed in (1, 2):
        delays = delays_by_seed.setdefault(seed, [])
        loop = SimpleNamespace(call_later=lambda delay, _, delays=delays: delays.append(delay))
        limiter = SimpleNamespace(config=SimpleNamespace(seed=seed), loop=loop, endings=Counter())
        watch = Watch(limiter, (HOST, 1), 0, 0.25, seed)
        for _ in range(8):
            watch.ended(Ending.MALFORMED)
    delay_pairs = zip(delays_by_seed[1], delays_by_seed[2], strict=True)
    assert all(abs(a - b) > 1e-3 for a, b in delay_pairs)
    for delays in delays_by_seed.values():
        assert 0.05 <= delays[0] <= 0.15 and min(delays[5:]) >= 1.0 and max(delays) <= 3.0
