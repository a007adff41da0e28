"""Requests that a proxy still owes an answer near the end of its grace period.

Guards against connections that SIGKILL closes in place of an answer: a server may be silent, or
leave a request in its queue, for longer than the proxy may wait after SIGTERM.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

import pytest

from loomstand.testing.simulation.cluster import Cluster
from loomstand.testing.simulation.http_log import Reply

GRACE_SECONDS = 6.0  # `grace_period` of the cluster's settings
TIMEOUT_SECONDS = 20.0


@pytest.fixture
def cluster() -> Iterator[Cluster]:
    made = Cluster(1, proxies=1)
    made.run(made.start())
    for kind, name in (("idempotent", "long"), ("non_idempotent", "long-once")):
        made.route(name, "alpha", kind, timeout="20000ms", target_latency="15000ms")
    made.run(made.replace())
    made.wait(1.0)
    yield made
    made.close()


async def stop_while_waiting(
    cluster: Cluster, method: str, path: str, count: int = 1
) -> tuple[float, list[Reply]]:
    """Sends requests, stops the proxy, and returns when that was and the replies."""

    async def send() -> Reply:
        request = cluster.client.new_request(
            method, "town.example", path, "key-of-ann", idempotent=method == "GET"
        )
        front = cluster.routed_proxies[0]
        return await cluster.new_client().send_once(request, front, within=TIMEOUT_SECONDS)

    requests = [asyncio.create_task(send()) for _ in range(count)]
    await asyncio.sleep(0.1)
    stopped_at = cluster.loop.time()
    (proxy,) = cluster.running_proxies()
    proxy.stop()
    return stopped_at, list(await asyncio.gather(*requests))


@pytest.mark.parametrize(("method", "path"), [("GET", "/long/x"), ("POST", "/long-once/x")])
def test_requests_at_silent_servers_are_answered_before_sigkill(cluster, method, path):
    for server in cluster.servers["alpha"]:
        server.fault = "dark"
    stopped_at, (reply,) = cluster.run(stop_while_waiting(cluster, method, path))
    assert reply.status == 502
    assert stopped_at + GRACE_SECONDS * 5 / 6 < reply.at < stopped_at + GRACE_SECONDS


def test_requests_in_the_queues_of_servers_are_answered_before_sigkill(cluster):
    for server in cluster.servers["alpha"]:
        server.fault, server.slow_seconds, server.slots = "slow", 4.0, 1
    stopped_at, replies = cluster.run(stop_while_waiting(cluster, "GET", "/long/x", 6))
    assert sorted(reply.status for reply in replies) == [200, 200, 200, 502, 502, 502]
    assert all(reply.at < stopped_at + GRACE_SECONDS for reply in replies)


def test_a_proxy_exits_in_its_grace_period_whatever_its_servers_do(cluster):
    for server in cluster.servers["alpha"]:
        server.fault = "dark"
    (proxy,) = cluster.running_proxies()
    stopped_at, _ = cluster.run(stop_while_waiting(cluster, "GET", "/long/x", 3))
    cluster.wait(stopped_at + GRACE_SECONDS - cluster.loop.time())
    assert proxy.stopped.is_set()
