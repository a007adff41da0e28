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


async def starts(town: Cluster, seeds_last: bool) -> float:
    """All start, each program at a moment of its own; seconds until every proxy is ready."""
    rng = town.rng
    hosts = [*town.proxies.values(), *town.registries.values(), *town.stores.values()]
    moments = {host: rng.uniform(0, APART) for host in hosts}
    if seeds_last:
        for ip in town.core_ips[:3]:
            moments |= dict.fromkeys(town.core(ip), APART)
    now = town.loop.time()
    for host, at in moments.items():
        town.loop.call_later(at, host.start)
    for server in (s for many in town.servers.values() for s in many):
        town.loop.call_later(rng.uniform(0, APART), server.start)
    await asyncio.sleep(APART)
    assert await town.replace(20.0)
    while not all([await town.ready(ip) for ip in town.proxies]):
        await asyncio.sleep(0.1)
    return town.loop.time() - now


@pytest.fixture(params=range(8))
def town(request):
    made = Cluster(request.param, cores=Random(request.param).choice((1, 3, 4)), proxies=3)
    yield made
    made.close()


@pytest.mark.parametrize("seeds_last", [False, True])
def test_all_are_ready_soon_and_there_is_one_core(town, seeds_last):
    assert town.do(starts(town, seeds_last)) < READY
    town.wait(1.5)
    assert sum(town.serves(ip) for ip in town.core_ips) == 1  # nobody founded another
    assert len(town.counters()) == 1
    assert all(
        sorted(town.registry(ip).context.core_hosts) == town.core_ips for ip in town.core_ips
    )
    assert not town.book.faults


def test_it_is_caught_where_a_proxy_that_finds_nobody_is_in_no_hurry(monkeypatch):
    """The mutation: the pause after a seed that doesn't listen yet is that of a machine that is
    gone.
    """
    monkeypatch.setattr(sessions, "AGAIN", (8.0, 8.0))
    town = Cluster(1, proxies=3)
    assert town.do(starts(town, True)) > READY
    town.close()
