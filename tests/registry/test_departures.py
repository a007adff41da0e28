"""Servers that leave while the registries, which hold them in memory only, are killed and restart.

After an acknowledged departure no proxy may use the server, whichever registry acknowledged it and
whatever that registry knew of the server.
"""

from __future__ import annotations

import asyncio

import pytest

from loomstand.proxy.instance_view import InstanceView
from loomstand.registry.instances import GONE, GONE_SEQUENCE, READY
from loomstand.rpc.messages.rows import InstanceRow
from loomstand.testing.simulation.cluster import Cluster
from loomstand.testing.simulation.workload import Server

DRAIN_SECONDS = 2.5  # the operators' bound from an acknowledged departure to the last request
CONTACT_SECONDS = 3.0  # a proxy is in touch so long after the last fault
DOWN_SECONDS = 0.5
SECONDS_AFTER_DEPARTURE = 12.0


@pytest.fixture
def cluster():
    started = Cluster(23)
    started.run(started.start())
    yield started
    started.close()


def kill_core(cluster: Cluster, with_stores: bool = True) -> None:
    """Kills all registries and, unless told otherwise, all stores; disks are kept."""
    for ip in cluster.core_ips:
        cluster.registries[ip].kill()
        if with_stores:
            cluster.stores[ip].kill()


async def start_core(cluster: Cluster, interval_seconds: float = 0.0) -> None:
    """Starts what isn't running, machine by machine at an interval."""
    for ip in cluster.core_ips:
        for host in cluster.core(ip):
            if not host.up:
                host.start()
        await asyncio.sleep(interval_seconds)


def states_at_proxies(cluster: Cluster, instance_id: str) -> list[str]:
    """The availability of a server at each running proxy."""
    return [
        proxy.endpoints.view.instances[instance_id].availability
        for proxy in cluster.running_proxies()
    ]


async def late_runs(cluster: Cluster, server: Server, acknowledged_at: float) -> list[float]:
    """Sends requests for a while; returns when one reached the server later than the bound."""
    seconds = acknowledged_at + SECONDS_AFTER_DEPARTURE - cluster.loop.time()
    client = cluster.new_client()
    await cluster.send_requests(
        client, 40.0, seconds, "GET", "town.example", "/a/x?n=1", "key-of-ann", idempotent=True
    )
    return [
        arrival.at - acknowledged_at
        for arrival in cluster.request_log.arrivals
        if arrival.server == server.id and arrival.at > acknowledged_at + DRAIN_SECONDS
    ]


async def late_runs_by_proxy(
    cluster: Cluster, server: Server, proxy_ip: str, acknowledged_at: float
) -> list[float]:
    """Like `late_runs`, of one proxy that was in trouble until now."""
    late_after = max(acknowledged_at + DRAIN_SECONDS, cluster.loop.time() + CONTACT_SECONDS)
    requests = []
    while cluster.loop.time() < late_after + CONTACT_SECONDS:
        requests.append(asyncio.ensure_future(cluster.send_once("a", at=proxy_ip)))
        await asyncio.sleep(0.02)
    await asyncio.gather(*requests)
    return [
        arrival.at - acknowledged_at
        for arrival in cluster.request_log.arrivals
        if arrival.server == server.id and arrival.at > late_after
    ]


@pytest.mark.parametrize("with_stores", [True, False], ids=["core", "registries"])
@pytest.mark.parametrize("interval_seconds", [0.0, 0.4])
def test_a_leave_after_a_kill_of_all_registries_reaches_every_proxy(
    cluster, with_stores, interval_seconds
):
    """A registry that has just started doesn't know the server, and must report its end."""
    server = cluster.servers["alpha"][0]

    async def leave_during_restart() -> float:
        kill_core(cluster, with_stores)
        server.heartbeats.cancel()
        leave = asyncio.ensure_future(server.leave_until_acknowledged())
        await asyncio.sleep(DOWN_SECONDS)
        await start_core(cluster, interval_seconds)
        return await leave

    acknowledged_at = cluster.run(leave_during_restart())
    assert cluster.run(late_runs(cluster, server, acknowledged_at)) == []
    assert states_at_proxies(cluster, server.id) == [GONE] * len(cluster.proxies)
    assert [
        cluster.registry(ip).state.instances.by_id[server.id].state for ip in cluster.core_ips
    ] == [GONE] * len(cluster.core_ips)


@pytest.mark.parametrize("delay_seconds", [0.0, 0.05, 0.2])
@pytest.mark.parametrize("other_departures", [0, 1, 2])
def test_a_leave_acknowledged_just_before_a_kill_of_all_registries_reaches_every_proxy(
    cluster, delay_seconds, other_departures
):
    """The registries that acknowledged it lose it; the proxies must have it by then.

    After two changes in a row, as of other servers that leave, a proxy asks for more 0.1 s later.
    """
    server = cluster.servers["alpha"][0]

    async def leave_and_kill() -> float:
        server.heartbeats.cancel()
        for other in cluster.servers["beta"][:other_departures]:
            other.heartbeats.cancel()
            await other.leave_until_acknowledged()
        acknowledged_at = await server.leave_until_acknowledged()
        await asyncio.sleep(delay_seconds)
        kill_core(cluster)
        await asyncio.sleep(DOWN_SECONDS)
        await start_core(cluster)
        return acknowledged_at

    acknowledged_at = cluster.run(leave_and_kill())
    assert cluster.run(late_runs(cluster, server, acknowledged_at)) == []
    assert states_at_proxies(cluster, server.id) == [GONE] * len(cluster.proxies)


@pytest.mark.parametrize("delay_seconds", [0.0, 0.1, 0.3])
def test_a_leave_acknowledged_between_two_kills_of_all_registries_reaches_every_proxy(
    cluster, delay_seconds
):
    """After the first kill the proxies have no session yet, in which they could hear of it."""
    server = cluster.servers["alpha"][0]

    async def leave_between_kills() -> float:
        server.heartbeats.cancel()
        kill_core(cluster)
        leave = asyncio.ensure_future(server.leave_until_acknowledged())
        await asyncio.sleep(DOWN_SECONDS)
        await start_core(cluster)
        acknowledged_at = await leave
        await asyncio.sleep(delay_seconds)
        kill_core(cluster)
        await asyncio.sleep(DOWN_SECONDS)
        await start_core(cluster)
        return acknowledged_at

    acknowledged_at = cluster.run(leave_between_kills())
    assert cluster.run(late_runs(cluster, server, acknowledged_at)) == []


@pytest.mark.parametrize("proxy_index", range(4))
@pytest.mark.parametrize("healed_after_seconds", [0.0, 2.0])
def test_a_leave_that_a_proxy_missed_reaches_it_after_a_kill_of_all_registries(
    cluster, proxy_index, healed_after_seconds
):
    """The proxy is cut off while the leave is acknowledged; the other proxies still know of it."""
    server = cluster.servers["alpha"][0]
    isolated = [*cluster.proxies][proxy_index]

    async def leave_during_partition() -> float:
        cluster.network.partition([isolated], cluster.core_ips)
        await asyncio.sleep(0.3)
        server.heartbeats.cancel()
        acknowledged_at = await server.leave_until_acknowledged()
        kill_core(cluster)
        await asyncio.sleep(DOWN_SECONDS)
        await start_core(cluster)
        await asyncio.sleep(healed_after_seconds)
        cluster.network.heal()
        return acknowledged_at

    acknowledged_at = cluster.run(leave_during_partition())
    assert cluster.run(late_runs_by_proxy(cluster, server, isolated, acknowledged_at)) == []


@pytest.mark.parametrize("proxy_index", range(4))
@pytest.mark.parametrize("delay_seconds", [0.3, 1.0, 2.0])
def test_a_late_heartbeat_of_a_server_that_left_is_passed_over_after_a_kill_of_all_registries(
    cluster, proxy_index, delay_seconds
):
    """A proxy that was killed as well learns of the server from the registries alone."""
    server = cluster.servers["alpha"][0]
    restarted = [*cluster.proxies][proxy_index]

    async def leave_and_kill() -> float:
        server.heartbeats.cancel()
        acknowledged_at = await server.leave_until_acknowledged()
        kill_core(cluster)
        cluster.proxies[restarted].kill()
        await asyncio.sleep(DOWN_SECONDS)
        await start_core(cluster)
        cluster.proxies[restarted].start()
        return acknowledged_at

    async def send_late_heartbeat() -> None:
        await asyncio.sleep(delay_seconds)
        server.sequence -= 2  # the next one is older than the last heartbeat before the leave
        assert await server.send_heartbeat()

    async def run() -> list[float]:
        acknowledged_at = await leave_and_kill()
        late_runs_of_proxy, _ = await asyncio.gather(
            late_runs_by_proxy(cluster, server, restarted, acknowledged_at), send_late_heartbeat()
        )
        return late_runs_of_proxy

    assert cluster.run(run()) == []


@pytest.mark.parametrize("is_known", [True, False])
def test_a_registry_that_restarts_while_it_is_cut_off_acknowledges_no_leave(cluster, is_known):
    """Its store, restarted as well, has not heard of the others yet, but they exist."""
    server = cluster.servers["alpha"][0]
    isolated = cluster.core_ips[1]
    others = [ip for ip in cluster.core_ips if ip != isolated]

    async def leave_at_isolated() -> list[bool]:
        for host in cluster.core(isolated):
            host.kill()
        cluster.network.partition([isolated], others)
        await start_core(cluster)
        server.core_index = cluster.core_ips.index(isolated)
        if not is_known:
            server.heartbeats.cancel()
        acknowledged = []
        for _ in range(12):
            await asyncio.sleep(0.5)
            acknowledged.append(await server.call_registry(f"instances.leave&of={server.id}", b""))
        return acknowledged

    assert not any(cluster.run(leave_at_isolated()))


def test_an_older_report_of_a_server_that_left_is_passed_over():
    """A proxy may hear of the end first, and later of the server from a registry that missed it."""
    view = InstanceView()
    gone = InstanceRow("i-1", "", "", "", 0, GONE, GONE_SEQUENCE, 0)
    ready = InstanceRow("i-1", "10.0.0.9:8080", "a", "z", 2, READY, 4, 0)
    assert view.update("r1", [gone]) == []
    assert view.update("r2", [ready]) == []
    assert view.instances["i-1"].availability == GONE


def test_a_server_that_ends_while_all_registries_are_down_is_not_used_for_good(cluster):
    """No registry lists it after the restart, and none ever reported its end."""
    server = cluster.servers["alpha"][0]

    async def end_during_restart() -> None:
        kill_core(cluster)
        server.heartbeats.cancel()
        await asyncio.sleep(DOWN_SECONDS)
        await start_core(cluster)

    cluster.run(end_during_restart())
    cluster.wait(8.0)
    assert READY not in states_at_proxies(cluster, server.id)
    assert all(
        state == READY
        for other in cluster.servers["alpha"][1:] + cluster.servers["beta"]
        for state in states_at_proxies(cluster, other.id)
    )
