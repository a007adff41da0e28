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


def test_an_answer_after_the_time_out_of_its_attempt_is_passed_on(cluster):
    """The servers take as long for the retry, so the first attempt is answered before it."""
    (reply,) = cluster.run(get_at_once(cluster, 1))
    cluster.wait(SLACK_SECONDS)
    first, retry = sorted(cluster.request_log.runs(), key=lambda run: run.at)
    assert (reply.status, first.was_cut, retry.was_cut) == (200, False, True)
    assert first.ended <= reply.at <= retry.ended


def test_the_overdue_attempt_is_cancelled_when_its_retry_is_answered(cluster):
    for server in cluster.servers["alpha"][1:]:
        server.fault = ""
    replies = cluster.run(get_at_once(cluster, 12))
    cluster.wait(1.0)
    assert [reply.status for reply in replies] == [200] * 12
    cut = [run for run in cluster.request_log.runs() if run.was_cut]
    assert cut
    for run in cut:
        assert run.server == cluster.servers["alpha"][0].id
        assert 0.0 <= run.ended - cluster.request_log.replies[run.id].at < SLACK_SECONDS


def test_overdue_attempts_are_cancelled_when_their_client_leaves(cluster):
    async def leave_after_time_out() -> None:
        request = cluster.client.new_request(
            "GET", "town.example", "/a/x", "key-of-ann", idempotent=True
        )
        await cluster.new_client().send_once(
            request, cluster.routed_proxies[0], within=TIMEOUT_SECONDS, patience=0.8
        )

    cluster.run(leave_after_time_out())
    cluster.wait(TIMEOUT_SECONDS)
    runs = cluster.request_log.runs()
    assert [run.was_cut for run in runs] == [True, True]
    assert cluster.request_log.runs_after_departure(SLACK_SECONDS) == []
    assert not cluster.running_proxies()[0].requests


def test_a_request_at_silent_servers_times_out_at_its_deadline(cluster):
    for server in cluster.servers["alpha"]:
        server.fault = "dark"
    (reply,) = cluster.run(get_at_once(cluster, 1))
    (request,) = cluster.request_log.requests.values()
    assert reply.status == 504
    assert request.expires_at - SLACK_SECONDS < reply.at < request.expires_at
    assert not cluster.running_proxies()[0].requests
