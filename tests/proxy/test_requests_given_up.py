"""Requests whose servers are slow, on simulated clusters.

Guards against failures that a proxy answers itself while a server is at work on the request and
the client still waits. A proxy that has just started expects answers within three quarters of the
latency target, and can pay for few retries.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

import pytest

from loomstand.testing.simulation.cluster import Cluster
from loomstand.testing.simulation.http_log import Reply

TIMEOUT_SECONDS = 3.0
SLACK_SECONDS = 0.2  # `loss_slack`


@pytest.fixture
def cluster() -> Iterator[Cluster]:
    made = Cluster(1, proxies=1)
    made.run(made.start())
    for server in made.servers["alpha"]:
        server.fault = "slow"
        server.slots = 24
    yield made
    made.close()


async def get_at_once(cluster: Cluster, count: int) -> list[Reply]:
    """Sends idempotent requests at the same time, each by a client of its own."""

    async def get() -> Reply:
        request = cluster.client.new_request(
            "GET", "town.example", "/a/x", "key-of-ann", idempotent=True
        )
        return await cluster.new_client().send_once(
            request, cluster.routed_proxies[0], within=TIMEOUT_SECONDS
        )

    return list(await asyncio.gather(*(get() for _ in range(count))))


def test_requests_are_not_given_up_while_their_servers_work_on_them(cluster):
    replies = cluster.run(get_at_once(cluster, 12))
    assert cluster.request_log.given_up(SLACK_SECONDS) == []
    assert [reply.status for reply in replies] == [200] * 12


def test_requests_are_not_given_up_after_sigterm_while_their_servers_work_on_them(cluster):
    async def stop_while_busy() -> list[Reply]:
        requests = asyncio.create_task(get_at_once(cluster, 12))
        await asyncio.sleep(0.1)
        cluster.running_proxies()[0].stop()
        return await requests

    replies = cluster.run(stop_while_busy())
    assert cluster.request_log.given_up(SLACK_SECONDS) == []
    assert [reply.status for reply in replies] == [200] * 12
