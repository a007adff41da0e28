"""Tests of the first start of the whole system.

All machines start within 0.3 s of each other, in any order, and no seed node listens yet.
"""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from loomstand.proxy import sessions
from loomstand.testing.simulation.cluster import Cluster

START_SPREAD_SECONDS = 0.3  # documented bound between the first and the last machine's start
READY_SECONDS = 4.0  # bound on the time until all proxies are ready; traffic begins after 10 s


async def start_all(system: Cluster, seeds_last: bool) -> float:
    """Starts each program at a random time; returns the seconds until every proxy is ready."""
    rng = system.rng
    hosts = [*system.proxies.values(), *system.registries.values(), *system.stores.values()]
    start_times = {host: rng.uniform(0, START_SPREAD_SECONDS) for host in hosts}
    if seeds_last:
        for ip in system.core_ips[:3]:
            start_times |= dict.fromkeys(system.core(ip), START_SPREAD_SECONDS)
    began_at = system.loop.time()
    for host, at in start_times.items():
        system.loop.call_later(at, host.start)
    for server in (s for service in system.servers.values() for s in service):
        system.loop.call_later(rng.uniform(0, START_SPREAD_SECONDS), server.start)
    await asyncio.sleep(START_SPREAD_SECONDS)
    assert await system.replace(20.0)
    while not all([await system.is_ready(ip) for ip in system.proxies]):
        await asyncio.sleep(0.1)
    return system.loop.time() - began_at


@pytest.fixture(params=range(8))
def system(request):
    made = Cluster(request.param, cores=Random(request.param).choice((1, 3, 4)), proxies=3)
    yield made
    made.close()


@pytest.mark.parametrize("seeds_last", [False, True])
def test_all_proxies_are_ready_soon_and_one_store_is_founded(system, seeds_last):
    assert system.run(start_all(system, seeds_last)) < READY_SECONDS
    system.wait(1.5)
    assert sum(system.is_serving(ip) for ip in system.core_ips) == 1  # no second store was founded
    assert len(system.counting_hosts()) == 1
    assert all(
        sorted(system.registry(ip).context.core_hosts) == system.core_ips for ip in system.core_ips
    )
    assert not system.request_log.violations


def test_a_long_pause_between_connection_attempts_of_a_proxy_is_detected(monkeypatch):
    """Mutation check: a proxy backs off for 8 s after a failed connection to a seed node."""
    monkeypatch.setattr(sessions, "BACKOFF_SECONDS", (8.0, 8.0))
    system = Cluster(1, proxies=3)
    assert system.run(start_all(system, True)) > READY_SECONDS
    system.close()
