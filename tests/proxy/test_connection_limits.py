"""What a configuration's `limits` let clients do, on connections that were there before it."""

from __future__ import annotations

import asyncio
from math import inf

import pytest

from loomstand.limiter.client_connection import ClientConnection
from loomstand.proxy.client_limits import ClientLimitUpdates
from loomstand.testing.simulation.cluster import FRONT, Cluster
from loomstand.testing.simulation.http_log import Broken, Talk
from loomstand.testing.simulation.loop import Life
from loomstand.testing.simulation.streams import Streams

FIRST = {
    "max_header_bytes": 2048,
    "max_body_bytes": 4096,
    "header_timeout": "3000ms",
    "idle_timeout": "15000ms",
}


@pytest.fixture
def cluster():
    made = Cluster(3, proxies=1)
    made.resources["limits", "limits"] = FIRST
    made.usual()
    made.do(made.begin())
    made.front = (next(iter(made.proxies)), FRONT)
    yield made
    made.close()


def change(cluster: Cluster, **limits) -> None:
    cluster.resources["limits", "limits"] = FIRST | limits
    assert cluster.do(cluster.replace())
    cluster.wait(0.5)


def asked(cluster: Cluster, body: int = 0, path: str = "x") -> tuple[int, bool]:
    """The status of a request's one try, and whether it went on the connection kept from the
    last.
    """
    kept = cluster.client.idle.get(cluster.front)
    ask = cluster.client.ask("POST", "town.example", f"/once/{path}", "key-of-ann", b"b" * body)
    reply = cluster.do(cluster.client.once(ask, cluster.front))
    return reply.status, kept is not None and cluster.client.idle.get(cluster.front) is kept


def test_a_kept_connection_has_the_limits_of_the_newest_configuration(cluster):
    assert asked(cluster) == (200, False)
    change(cluster, max_header_bytes=8192, max_body_bytes=65536)
    assert asked(cluster, body=40_000, path="x" * 5000) == (200, True)
    change(cluster, max_body_bytes=10_000)
    assert asked(cluster, body=9_000) == (200, True)
    assert asked(cluster, body=20_000)[0] == 413


async def half_a_head(cluster: Cluster) -> float:
    """Seconds until a client that stops within its first line is answered or cut off."""
    talk = await Streams(cluster.cables, "10.9.9.9", Life()).open(Talk, cluster.front, 1.0)
    began = cluster.loop.time()
    talk.transport.write(b"GET /a/x HTTP/1.1\r\nHost: to")
    try:
        async with asyncio.timeout(30.0):
            assert (await talk.message()).status == 408
    except Broken:
        pass
    return cluster.loop.time() - began


def test_a_head_that_does_not_come_is_waited_for_as_long_as_the_newest_limits_say(cluster):
    # a second more than said, looked at once a second
    assert 3.0 <= cluster.do(half_a_head(cluster)) <= 5.1
    change(cluster, header_timeout="6000ms")
    assert 6.0 <= cluster.do(half_a_head(cluster)) <= 8.1


def test_it_is_caught_where_a_head_has_the_time_of_a_body(cluster):
    """The mutation: the head's own time is not in force."""
    cluster.proxy(cluster.front[0]).listener.header_timeout_seconds = inf
    assert cluster.do(half_a_head(cluster)) > 5.1


def test_who_rests_under_the_longer_idle_timeout_may_rest_to_its_end_and_no_longer_after(cluster):
    assert asked(cluster) == (200, False)
    change(cluster, idle_timeout="3000ms")
    cluster.wait(11.4)  # four fifths of what was in force as the rest began
    assert asked(cluster) == (200, True)
    cluster.wait(8.0)  # by now the shorter one holds
    assert cluster.client.idle[cluster.front].over
    assert asked(cluster) == (200, False)


def test_it_is_caught_where_a_shorter_idle_timeout_holds_at_once(cluster, monkeypatch):
    """The mutation: the new figure ends connections that rest on the old one's word."""
    usual = ClientLimitUpdates.apply

    def apply(self, limits):
        usual(self, limits)
        self.listener.idle_timeout_seconds = self.idle_timeout_seconds

    monkeypatch.setattr(ClientLimitUpdates, "apply", apply)
    assert asked(cluster) == (200, False)
    change(cluster, idle_timeout="3000ms")
    cluster.wait(11.4)
    assert asked(cluster) == (200, False)  # it was closed


def test_it_is_caught_where_a_connection_keeps_the_limits_of_its_opening(cluster, monkeypatch):
    """The mutation: what a connection may send is what was in force as it came."""
    usual = ClientConnection.received

    def received(self):
        parser, channel = self.parser, self.channel
        before = parser.max_body_bytes, parser.max_head_bytes, channel.inbound.max_size
        if self.message_started_at is None:
            self.message_started_at = self.listener.limiter.arrival_clock.earliest_arrival
        usual(self)
        parser.max_body_bytes, parser.max_head_bytes, channel.inbound.max_size = before

    monkeypatch.setattr(ClientConnection, "received", received)
    assert asked(cluster) == (200, False)
    change(cluster, max_header_bytes=8192, max_body_bytes=65536)
    assert asked(cluster, body=40_000, path="x" * 5000)[0] == 431
