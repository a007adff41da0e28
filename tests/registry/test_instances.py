"""Heartbeats, drains and ends of servers during a partition of the registries, and after it."""

from __future__ import annotations

import pytest

from loomstand.registry.instances import DRAINING, GONE
from loomstand.registry.replication import Replication
from loomstand.testing.simulation.cluster import Cluster


@pytest.fixture
def cluster():
    started = Cluster(11)
    started.run(started.start())
    yield started
    started.close()


def states(cluster: Cluster, id_: str) -> list[str]:
    """The state of a server at each registry."""
    return [cluster.registry(ip).state.instances.by_id[id_].state for ip in cluster.core_ips]


def cut_off(cluster: Cluster) -> str:
    """Partitions a registry's machine from the other core machines; servers still reach it.

    Returns:
        The machine's IP address.
    """
    isolated = cluster.core_ips[1]
    cluster.network.partition([isolated], [ip for ip in cluster.core_ips if ip != isolated])
    return isolated


async def depart_during_a_partition(cluster: Cluster, ends: bool) -> str:
    """Drains a server, and ends it if `ends`.

    The first registry acknowledges both, although the partition separates the second registry from
    it. A server that only drains still calls the first registry after the partition.

    Returns:
        The server's id.
    """
    server = cluster.servers["alpha"][0]
    cut_off(cluster)
    server.core_index = 0
    _, (acked_by, _) = await server.drain()
    assert acked_by == cluster.core_ips[0]
    if ends:
        await server.leave()
    return server.id


def heal(cluster: Cluster) -> None:
    """Ends the partition; delayed messages are lost, as their senders closed the connections."""
    cluster.network.held_transfers.clear()
    cluster.network.heal()
    cluster.wait(2.5)


@pytest.mark.parametrize("ends", [False, True])
def test_a_drain_or_an_end_missed_in_a_partition_is_replicated_within_two_rounds_after(
    cluster, ends
):
    id_ = cluster.run(depart_during_a_partition(cluster, ends))
    expected_state = GONE if ends else DRAINING
    cluster.wait(0.5)
    assert states(cluster, id_).count(expected_state) == 2  # one of three is partitioned
    heal(cluster)
    assert states(cluster, id_) == [expected_state] * len(cluster.core_ips)


@pytest.mark.parametrize("ends", [False, True])
def test_a_missed_drain_or_end_is_not_replicated_without_pending_rows(cluster, monkeypatch, ends):
    """Mutation: a registry doesn't send a change again to registries that missed it."""
    monkeypatch.setattr(Replication, "add_pending", lambda *_: None)
    id_ = cluster.run(depart_during_a_partition(cluster, ends))
    heal(cluster)
    assert states(cluster, id_).count(GONE if ends else DRAINING) == 2


@pytest.mark.parametrize("times", [1, 3])
def test_a_registry_that_is_cut_off_acknowledges_no_drain_however_often_it_is_asked(cluster, times):
    """Proxies that only reach the other registries would still send requests to the server.

    The server has to call a registry that can replicate the drain to the others.
    """
    server = cluster.servers["alpha"][0]
    isolated = cut_off(cluster)
    server.state = "draining"
    server.cores = [(isolated, port) for ip, port in cluster.control_addresses if ip == isolated]
    assert [cluster.run(server.send_heartbeat()) for _ in range(times)] == [False] * times
    assert states(cluster, server.id).count(DRAINING) == 1
    server.cores = [*cluster.control_addresses]
    _, (acked_by, _) = cluster.run(server.drain())
    assert acked_by != isolated
    assert states(cluster, server.id) == [DRAINING] * len(cluster.core_ips)


def test_a_registry_that_is_cut_off_acknowledges_no_end(cluster):
    server = cluster.servers["alpha"][0]
    server.core_index = cluster.core_ips.index(cut_off(cluster))
    assert not cluster.run(server.call_registry(f"instances.leave&of={server.id}", b""))
    heal(cluster)
    assert cluster.run(server.call_registry(f"instances.leave&of={server.id}", b""))
    assert states(cluster, server.id) == [GONE] * len(cluster.core_ips)


def test_a_drain_is_acknowledged_while_one_core_machine_of_three_is_lost(cluster):
    server = cluster.servers["alpha"][0]
    cluster.registries[cluster.core_ips[2]].kill()
    server.core_index = 0
    _, (acked_by, _) = cluster.run(server.drain())
    assert acked_by == cluster.core_ips[0]
