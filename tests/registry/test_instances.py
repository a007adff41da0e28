"""Servers' heartbeats, drains and ends, between registries that were cut off from each other for a
while.
"""

from __future__ import annotations

import pytest

from loomstand.registry.instances import DRAINING, GONE
from loomstand.registry.replication import Replication
from loomstand.testing.simulation.cluster import Cluster


@pytest.fixture
def town():
    made = Cluster(11)
    made.do(made.begin())
    yield made
    made.close()


def states(town: Cluster, id_: str) -> list[str]:
    """What each registry holds of a server."""
    return [town.registry(ip).state.instances.by_id[id_].state for ip in town.core_ips]


async def leaves_in_a_cut(town: Cluster, ends: bool) -> str:
    """A server's drain, and its end if `ends`, are acknowledged by a registry that no other one
    hears. After the cut the server speaks to that one alone.
    """
    server = town.servers["alpha"][0]
    alone = town.core_ips[1]
    others = [ip for ip in town.core_ips if ip != alone]
    town.sky.apart([alone], others)
    server.core = 1
    _, (acked_by, _) = await server.drain()
    assert acked_by == alone
    if ends:
        await server.leave()
    return server.id


def heal(town: Cluster) -> None:
    """The cut ends; what it held up is lost, as their senders gave up those connections."""
    town.sky.held.clear()
    town.sky.mend()
    town.wait(2.5)


@pytest.mark.parametrize("ends", [False, True])
def test_a_drain_or_an_end_that_a_registry_missed_in_a_cut_reaches_it_within_two_rounds_after(
    town, ends
):
    id_ = town.do(leaves_in_a_cut(town, ends))
    wanted = GONE if ends else DRAINING
    town.wait(0.5)
    assert states(town, id_).count(wanted) == 1  # the others can't know
    heal(town)
    assert states(town, id_) == [wanted] * len(town.core_ips)


@pytest.mark.parametrize("ends", [False, True])
def test_it_is_caught_where_what_others_missed_is_not_kept(town, monkeypatch, ends):
    """The mutation: a registry tells of a server once, and forgets whom it didn't reach."""
    monkeypatch.setattr(Replication, "add_pending", lambda *_: None)
    id_ = town.do(leaves_in_a_cut(town, ends))
    heal(town)
    assert states(town, id_).count(GONE if ends else DRAINING) == 1
