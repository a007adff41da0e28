"""The first start: all machines within 0.3 s of each other, in any order, none of the seeds
listening yet.
"""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from loomstand.proxy import sessions
from loomstand.testing.simulation.cluster import Cluster

APART = 0.3  # seconds between the first machine's start and the last's, by the operators' page
READY = 4.0  # seconds by which all proxies take requests: the traffic begins 10 s after the start


async def starts(system: Cluster, seeds_last: bool) -> float:
    """All start, each program at a moment of its own; seconds until every proxy is ready."""
    rng = system.rng
    hosts = [*system.proxies.values(), *system.registries.values(), *system.stores.values()]
    moments = {host: rng.uniform(0, APART) for host in hosts}
    if seeds_last:
        for ip in system.core_ips[:3]:
            moments |= dict.fromkeys(system.core(ip), APART)
    now = system.loop.time()
    for host, at in moments.items():
        system.loop.call_later(at, host.start)
    for server in (s for many in system.servers.values() for s in many):
        system.loop.call_later(rng.uniform(0, APART), server.start)
    await asyncio.sleep(APART)
    assert await system.replace(20.0)
    while not all([await system.ready(ip) for ip in system.proxies]):
        await asyncio.sleep(0.1)
    return system.loop.time() - now


@pytest.fixture(params=range(8))
def system(request):
    made = Cluster(request.param, cores=Random(request.param).choice((1, 3, 4)), proxies=3)
    yield made
    made.close()


@pytest.mark.parametrize("seeds_last", [False, True])
def test_all_are_ready_soon_and_there_is_one_core(system, seeds_last):
    assert system.do(starts(system, seeds_last)) < READY
    system.wait(1.5)
    assert sum(system.serves(ip) for ip in system.core_ips) == 1  # nobody founded another
    assert len(system.counters()) == 1
    assert all(
        sorted(system.registry(ip).context.core_hosts) == system.core_ips for ip in system.core_ips
    )
    assert not system.book.faults


def test_it_is_caught_where_a_proxy_that_finds_nobody_is_in_no_hurry(monkeypatch):
    """The mutation: the pause after a seed that doesn't listen yet is that of a machine that is
    gone.
    """
    monkeypatch.setattr(sessions, "BACKOFF_SECONDS", (8.0, 8.0))
    system = Cluster(1, proxies=3)
    assert system.do(starts(system, True)) > READY
    system.close()
