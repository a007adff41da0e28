"""Changes of the configuration's client `limits` on connections that are already open."""

from __future__ import annotations

import asyncio
from math import inf

import pytest

from loomstand.limiter.client_connection import ClientConnection
from loomstand.proxy.client_limits import ClientLimitUpdates
from loomstand.testing.simulation.cluster import FRONT_PORT, Cluster
from loomstand.testing.simulation.http_log import ConnectionBrokenError, HttpConnection
from loomstand.testing.simulation.loop import SimProcess
from loomstand.testing.simulation.streams import Streams

INITIAL_LIMITS = {
    "max_header_bytes": 2048,
    "max_body_bytes": 4096,
    "header_timeout": "3000ms",
    "idle_timeout": "15000ms",
}


@pytest.fixture
def cluster():
    made = Cluster(3, proxies=1)
    made.resources["limits", "limits"] = INITIAL_LIMITS
    made.use_default_configuration()
    made.run(made.start())
    made.front = (next(iter(made.proxies)), FRONT_PORT)
    yield made
    made.close()


def change_limits(cluster: Cluster, **limits) -> None:
    cluster.resources["limits", "limits"] = INITIAL_LIMITS | limits
    assert cluster.run(cluster.replace())
    cluster.wait(0.5)


def send_request(cluster: Cluster, body_bytes: int = 0, path: str = "x") -> tuple[int, bool]:
    """Sends a request once; returns the status and whether the idle connection was reused."""
    idle = cluster.client.idle.get(cluster.front)
    request = cluster.client.new_request(
        "POST", "town.example", f"/once/{path}", "key-of-ann", b"b" * body_bytes
    )
    reply = cluster.run(cluster.client.send_once(request, cluster.front))
    return reply.status, idle is not None and cluster.client.idle.get(cluster.front) is idle


def test_open_connection_uses_the_limits_of_the_newest_configuration(cluster):
    assert send_request(cluster) == (200, False)
    change_limits(cluster, max_header_bytes=8192, max_body_bytes=65536)
    assert send_request(cluster, body_bytes=40_000, path="x" * 5000) == (200, True)
    change_limits(cluster, max_body_bytes=10_000)
    assert send_request(cluster, body_bytes=9_000) == (200, True)
    assert send_request(cluster, body_bytes=20_000)[0] == 413


async def partial_header_duration(cluster: Cluster) -> float:
    """Returns the seconds until a client that sends a partial header is answered or closed."""
    connection = await Streams(cluster.tcp, "10.9.9.9", SimProcess()).open(
        HttpConnection, cluster.front, 1.0
    )
    started_at = cluster.loop.time()
    connection.transport.write(b"GET /a/x HTTP/1.1\r\nHost: to")
    try:
        async with asyncio.timeout(30.0):
            assert (await connection.read_message()).status == 408
    except ConnectionBrokenError:
        pass
    return cluster.loop.time() - started_at


def test_header_timeout_follows_the_newest_configuration(cluster):
    # the margin is one second, and connections are checked once a second
    assert 3.0 <= cluster.run(partial_header_duration(cluster)) <= 5.1
    change_limits(cluster, header_timeout="6000ms")
    assert 6.0 <= cluster.run(partial_header_duration(cluster)) <= 8.1


def test_mutant_without_header_timeout_is_detected(cluster):
    """Mutation: the header timeout is disabled, so only the timeout of a body applies."""
    cluster.proxy(cluster.front[0]).listener.header_timeout_seconds = inf
    assert cluster.run(partial_header_duration(cluster)) > 5.1


def test_shorter_idle_timeout_applies_after_the_previous_one_has_elapsed(cluster):
    assert send_request(cluster) == (200, False)
    change_limits(cluster, idle_timeout="3000ms")
    cluster.wait(11.4)  # 80% of the previous timeout
    assert send_request(cluster) == (200, True)
    cluster.wait(8.0)  # the shorter timeout has taken effect
    assert cluster.client.idle[cluster.front].closed_reason
    assert send_request(cluster) == (200, False)


def test_mutant_with_immediate_shorter_idle_timeout_is_detected(cluster, monkeypatch):
    """Mutation: the new timeout closes connections that are idle under the previous one."""
    original = ClientLimitUpdates.apply

    def apply(self, limits):
        original(self, limits)
        self.listener.idle_timeout_seconds = self.idle_timeout_seconds

    monkeypatch.setattr(ClientLimitUpdates, "apply", apply)
    assert send_request(cluster) == (200, False)
    change_limits(cluster, idle_timeout="3000ms")
    cluster.wait(11.4)
    assert send_request(cluster) == (200, False)  # the connection was closed


def test_mutant_with_limits_fixed_on_connect_is_detected(cluster, monkeypatch):
    """Mutation: a connection keeps the limits in force when it was opened."""
    original = ClientConnection.received

    def received(self):
        parser, channel = self.parser, self.channel
        before = parser.max_body_bytes, parser.max_head_bytes, channel.inbound.max_size
        if self.message_started_at is None:
            self.message_started_at = self.listener.limiter.arrival_clock.earliest_arrival
        original(self)
        parser.max_body_bytes, parser.max_head_bytes, channel.inbound.max_size = before

    monkeypatch.setattr(ClientConnection, "received", received)
    assert send_request(cluster) == (200, False)
    change_limits(cluster, max_header_bytes=8192, max_body_bytes=65536)
    assert send_request(cluster, body_bytes=40_000, path="x" * 5000)[0] == 431
