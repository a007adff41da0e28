"""Clients that disconnect before the response, on simulated clusters.

Guards against servers that keep processing requests of disconnected clients. Unless the decision
engine cancels the attempts of such a request, the connection to the server stays open, and the
server works until the deadline that it was given: 0.7 s and more, with clients that time out after
0.1 s. Proxies then log `cancelled=0`, and the attempts as finished a second later. A server stops
within a millisecond once its connection is closed.
"""

from __future__ import annotations

import asyncio
import re
from collections import Counter
from collections.abc import Iterator

import pytest

from loomstand.admission.load_balancer import LoadBalancer
from loomstand.testing.simulation.cluster import Cluster
from loomstand.testing.simulation.http_log import ClientRequest

COUNT = re.compile(r"(\w+)=(\d+)")
CLIENT_TIMEOUT_SECONDS = 0.11  # a slow server takes more than a second for a request
MAX_RUN_AFTER_DISCONNECT_SECONDS = 0.5  # as required by users


@pytest.fixture
def cluster() -> Iterator[Cluster]:
    made = Cluster(1, proxies=2)
    made.run(made.start())
    yield made
    made.close()


def slow_servers(cluster: Cluster) -> None:
    """Makes servers take a second per request, many at once, within the attempts' timeout."""
    cluster.route("patient", "alpha", target_latency="3000ms")
    cluster.run(cluster.replace())
    cluster.wait(1.0)
    for server in cluster.servers["alpha"]:
        server.fault = "slow"
        server.slots = 24


async def disconnect_early(cluster: Cluster, count: int) -> list[ClientRequest]:
    """Sends idempotent requests whose clients disconnect while a server processes them."""

    async def disconnect(number: int) -> ClientRequest:
        request = cluster.client.new_request(
            "GET", "town.example", "/patient/x", "key-of-ann", idempotent=True
        )
        front = cluster.routed_proxies[number % len(cluster.routed_proxies)]
        await cluster.new_client().send_once(
            request, front, within=5.0, patience=CLIENT_TIMEOUT_SECONDS
        )
        return request

    return list(await asyncio.gather(*(disconnect(number) for number in range(count))))


def test_servers_stop_processing_requests_of_disconnected_clients(cluster):
    slow_servers(cluster)
    requests = cluster.run(disconnect_early(cluster, 24))
    cluster.wait(4.0)
    assert sum(bool(cluster.request_log.runs(request.id)) for request in requests) == len(requests)
    assert cluster.request_log.runs_after_departure(MAX_RUN_AFTER_DISCONNECT_SECONDS) == []


def test_disconnects_and_cancelled_attempts_are_logged(cluster):
    slow_servers(cluster)
    lines: list[str] = []
    for proxy in cluster.running_proxies():
        proxy.log = lines.append
    cluster.run(disconnect_early(cluster, 24))
    cluster.wait(4.0)
    counts: Counter[str] = Counter()
    for line in lines:
        if line.startswith("clients_disconnected "):
            counts.update({name: int(number) for name, number in COUNT.findall(line)})
    assert counts == {"requests": 24, "attempts": 24, "cancelled": 24, "finished": 0}


def test_non_idempotent_request_runs_to_completion_after_its_client_disconnects(cluster):
    slow_servers(cluster)

    async def disconnect() -> ClientRequest:
        request = cluster.client.new_request(
            "POST", "town.example", "/once/x", "key-of-ann", b"body"
        )
        front = cluster.routed_proxies[0]
        await cluster.new_client().send_once(
            request, front, within=5.0, patience=CLIENT_TIMEOUT_SECONDS
        )
        return request

    request = cluster.run(disconnect())
    cluster.wait(4.0)
    (run,) = cluster.request_log.runs(request.id)
    assert run.ended - run.at > 1.0


def test_request_is_not_sent_if_its_client_disconnects_while_connecting(cluster):
    """Applies to idempotent and non-idempotent requests."""
    for server in cluster.servers["alpha"]:
        cluster.network.extra_delay_seconds[server.address[0]] = 0.1

    async def disconnect(method: str, path: str, idempotent: bool) -> ClientRequest:
        request = cluster.client.new_request(
            method, "town.example", path, "key-of-ann", idempotent=idempotent
        )
        await cluster.new_client().send_once(
            request, cluster.routed_proxies[0], within=5.0, patience=0.05
        )
        return request

    cluster.run(disconnect("GET", "/a/x", True))
    cluster.run(disconnect("POST", "/once/x", False))
    cluster.wait(3.0)
    assert cluster.request_log.arrivals == []


def balancers(cluster: Cluster) -> list[LoadBalancer]:
    proxies = cluster.running_proxies()
    return [b for proxy in proxies for b in proxy.engine.admission.load_balancers.values()]


def test_cancelled_attempts_do_not_affect_server_statistics(cluster):
    """Early disconnects neither eject a server nor change the size of a window."""
    slow_servers(cluster)
    sizes = [balancer.window.size for balancer in balancers(cluster)]
    cluster.run(disconnect_early(cluster, 24))
    cluster.wait(0.1)
    for balancer in balancers(cluster):
        for server in balancer.servers.values():
            assert server.in_flight == 0
            assert not any(server.is_ejected(n) for n in range(len(balancer.stats)))
        assert not balancer.window.in_flight
    assert [balancer.window.size for balancer in balancers(cluster)] == sizes
    for server in cluster.servers["alpha"]:
        server.fault = ""
    assert cluster.run(cluster.get("patient")).status == 200
