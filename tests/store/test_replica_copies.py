"""Tests of the number of synced copies of acknowledged versions.

They count the copies during repairs, transfers of roles and shutdowns.
"""

from __future__ import annotations

import asyncio
from random import Random

import cbor2
import pytest
from test_rescue import rescue
from test_store import HOSTS, VIEW, A, B, C, StoreCluster, member

from loomstand.store import graceful_shutdown, planning
from loomstand.store.learner import MAX_COPY_BYTES, Learner
from loomstand.store.pages import COPY_PAGE
from loomstand.store.peers import MemberState
from loomstand.store.record import Record, VersionedData
from loomstand.store.replica import Replica
from loomstand.testing.simulation.machine import Machine, machines


class CopyCountingCluster(StoreCluster):
    """A core whose disks are checked every 2 ms for the newest acknowledged version.

    Attributes:
        low_copy_seconds: Seconds with fewer than the given number of copies, by kind and number.
            The kind "synced" counts a copy on any page of a disk, "elected" only the records of the
            newest view's primary and backup.
        counting: Whether copies are counted; the core must have started.
    """

    def __init__(self, seed: int = 1, hosts: int = 4) -> None:
        super().__init__(seed, (*HOSTS[:hosts],))
        self.low_copy_seconds: dict[tuple[str, int], float] = {}
        self.counting = False

    def machine_in_role(self, words: str) -> Machine:
        view = self.primary().programs[0].replica.record.view
        return self.machines[
            {"the primary": view.primary, "the backup": view.backup}[words].address[0]
        ]

    def copies(self) -> tuple[int, int]:
        """Returns the numbers of synced and of elected copies of the acknowledged version."""
        views = [store.replica.newest_known_view() for _, store in self.stores()]
        view = max((v for v in views if v), key=lambda v: v.epoch, default=None)
        synced = elected = 0
        for machine in self.machines.values():
            pages = machine.disk_state.pages
            record = Record.from_pages(pages)
            if record is None:
                continue
            holds = record.version >= self.acknowledged_version
            synced += holds or Learner.from_pages(pages).copy[0] >= self.acknowledged_version
            elected += holds and view is not None and view.has_data(record.id)
        return synced, elected

    async def count(self) -> None:
        while True:
            await asyncio.sleep(0.002)
            if self.counting:
                for kind, n in zip(("synced", "elected"), self.copies(), strict=True):
                    for below in range(n + 1, 4):
                        self.low_copy_seconds[kind, below] = (
                            self.low_copy_seconds.get((kind, below), 0.0) + 0.002
                        )

    async def start_counting(self) -> None:
        """Starts the core, then sends changes and counts the copies in background tasks."""
        for machine in self.machines.values():
            machine.start()
        await asyncio.sleep(2.0)
        self.is_first_start = False
        assert await self.put_within(0.5)
        await asyncio.sleep(0.3)
        self.tasks = [self.loop.create_task(w) for w in (self.count(), self.send_changes())]
        self.counting = True

    async def send_changes(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            await self.put_within(0.5)

    def finish(self) -> dict[tuple[str, int], float]:
        """Ends the tasks, checks that nothing is lost, and returns `low_copy_seconds`, rounded."""
        for task in self.tasks:
            task.cancel()
        self.wait(4.0)
        assert self.run(self.read_newest()) >= self.acknowledged_version
        self.close()
        return {k: round(v, 3) for k, v in self.low_copy_seconds.items()}


# --- single faults and operations


async def wipe(cluster: StoreCluster, role: str) -> None:
    machine = cluster.machine_in_role(role)
    machine.power_off(wipe=True)
    await asyncio.sleep(1.0)
    machine.start()
    await asyncio.sleep(4.0)


async def kill(cluster: StoreCluster, role: str) -> None:
    machine = cluster.machine_in_role(role)
    machine.kill()
    await asyncio.sleep(1.0)
    machine.start()
    await asyncio.sleep(3.0)


async def rolling_restart(cluster: StoreCluster) -> None:
    """Sends SIGTERM to one machine after the other; each restarts after 1 s."""
    for machine in [*cluster.machines.values()]:
        await machine.shut_down()
        await asyncio.sleep(1.0)
        machine.start()
        await asyncio.sleep(1.5)


async def remove_backup_and_primary(cluster: StoreCluster) -> None:
    """Shuts down the backup and loses its disk, then does the same to the primary."""
    for role in ("the backup", "the primary"):
        machine = cluster.machine_in_role(role)
        await machine.shut_down()
        machine.disk_state.wipe()
        await asyncio.sleep(2.0)


async def remove_both_at_once(cluster: StoreCluster) -> None:
    """Shuts down the primary and the backup at the same time and loses both disks."""
    both = [cluster.machine_in_role("the primary"), cluster.machine_in_role("the backup")]
    await asyncio.gather(*(m.shut_down() for m in both))
    for machine in both:
        machine.disk_state.wipe()
    await asyncio.sleep(3.0)


async def replace_all(cluster: CopyCountingCluster) -> None:
    """Replaces each machine: starts a new one, shuts down the old one and loses its disk."""
    old_hosts = [*cluster.machines]
    new_hosts = [f"10.{host.split('.')[1]}.0.2" for host in old_hosts]
    new_machines = machines(
        cluster.network, cluster.rng, new_hosts, lambda h: [cluster.store_factory(h)]
    )
    for old_host, new_host in zip(old_hosts, new_hosts, strict=True):
        cluster.seeds = [new_host, *[h for h in old_hosts if cluster.machines[h].up][:2]]
        cluster.machines[new_host] = new_machines[new_host]
        new_machines[new_host].start()
        await asyncio.sleep(1.0)
        await cluster.machines[old_host].shut_down()
        cluster.machines[old_host].disk_state.wipe()
        await asyncio.sleep(3.0)


# Each operation, and the maximum seconds with fewer than three synced copies, with fewer than two
# synced copies, and with fewer than two copies on the view's primary and backup.
OPERATIONS = {
    "the backup is wiped": (lambda w: wipe(w, "the backup"), 0.1, 0.0, 1.3),
    "the primary is wiped": (lambda w: wipe(w, "the primary"), 0.1, 0.0, 2.2),
    "the backup is killed": (lambda w: kill(w, "the backup"), 0.1, 0.0, 0.1),
    "the primary is killed": (lambda w: kill(w, "the primary"), 0.1, 0.0, 0.1),
    "a rolling restart": (rolling_restart, 0.1, 0.0, 0.1),
    "a replacement of all": (replace_all, 0.5, 0.0, 0.1),
    "backup and primary are removed": (remove_backup_and_primary, 6.0, 0.0, 0.1),
    "primary and backup leave at once": (remove_both_at_once, 6.0, 0.0, 0.1),
}


@pytest.mark.parametrize("name", OPERATIONS)
def test_how_long_fewer_copies_exist(name):
    operation, below_three, below_two, below_two_elected = OPERATIONS[name]
    cluster = CopyCountingCluster()
    cluster.run(cluster.start_counting())
    cluster.run(operation(cluster))
    low_copy_seconds = cluster.finish()
    print(name, low_copy_seconds)
    assert low_copy_seconds.get(("synced", 3), 0.0) <= below_three
    assert low_copy_seconds.get(("synced", 2), 0.0) <= below_two
    assert low_copy_seconds.get(("elected", 2), 0.0) <= below_two_elected
    assert low_copy_seconds.get(("elected", 1), 0.0) <= 0.02


# --- shutdown of a member with the only copy


async def last_copy_leaves(
    cluster: CopyCountingCluster, loss_delay: float, restart_delay: float
) -> None:
    """Shuts down the backup and loses the primary's disk at about the same time.

    The primary's disk is lost `loss_delay` seconds after the backup's SIGTERM (before it if
    negative), right after an acknowledgement unless the delay is positive. The backup's disk is
    lost when it exits. The primary's machine restarts with an empty disk `restart_delay` seconds
    after the later of these two.
    """
    primary, backup = cluster.machine_in_role("the primary"), cluster.machine_in_role("the backup")
    leaving = cluster.loop.create_task(backup.shut_down()) if loss_delay >= 0.0 else None
    await asyncio.sleep(max(0.0, loss_delay))
    assert loss_delay > 0.0 or await cluster.put_within(0.5)
    primary.power_off(wipe=True)
    if leaving is None:
        await asyncio.sleep(-loss_delay)
        leaving = cluster.loop.create_task(backup.shut_down())
    restart = cluster.loop.create_task(restart_later(primary, restart_delay))
    started_at = cluster.loop.time()
    await leaving
    assert (
        cluster.loop.time() - started_at <= 6.0 - graceful_shutdown.SAFETY_MARGIN_SECONDS + 0.3
    ), "a process runs longer than its grace period"
    backup.disk_state.wipe()
    await restart
    await asyncio.sleep(2.0)


async def restart_later(machine: Machine, delay_seconds: float) -> None:
    await asyncio.sleep(delay_seconds)
    machine.start()


# By seed: the seconds from the backup's SIGTERM to the loss of the primary's disk, and from the
# later of these two to the restart of the primary's machine.
SHUTDOWN_TIMINGS = {
    0: (0.0, 1.0),
    1: (0.002, 1.0),
    2: (0.02, 0.4),
    3: (0.1, 2.5),
    4: (-0.02, 1.0),
    5: (-0.5, 2.0),
}
# The same with a fourth machine, which takes over the roles; the loss is during that change.
VOTER_CHANGE_TIMINGS = {50: (0.3041224113866523, 0.3), 69: (0.22451409671783917, 0.8)}


def first_failing_seed(hosts: int) -> int | None:
    """Returns the first seed that loses an acknowledged version or stops serving, else None."""
    for seed, (loss_delay, restart_delay) in (
        SHUTDOWN_TIMINGS | (VOTER_CHANGE_TIMINGS if hosts > 3 else {})
    ).items():
        cluster = CopyCountingCluster(seed, hosts)
        cluster.run(cluster.start_counting())
        cluster.run(last_copy_leaves(cluster, loss_delay, restart_delay))
        try:
            cluster.finish()
        except AssertionError:
            return seed
    return None


@pytest.mark.parametrize("hosts", [3, 4])
def test_a_leaving_member_stays_until_its_only_copy_is_replicated(hosts):
    assert first_failing_seed(hosts) is None


def always_false(replica: Replica, now: float) -> bool:
    return False


def is_dispensable_regardless_of_votes(self: Replica, now: float) -> bool:
    """Mutant of `is_dispensable` that ignores votes.

    A member of the view is dispensable if no stand-by is live and the member lacks the data.
    """
    if self.newest_view is None or self.member.id not in self.newest_view.members():
        return True
    stand_by = [m for m in self.peers.live_members(now) if m.id not in self.newest_view.members()]
    return not stand_by and not self.newest_view.has_data(self.member.id)


def only_the_backup(replica: Replica, base, order) -> set[str]:
    return {base.backup.id} if base.backup else set()


@pytest.mark.parametrize(
    "hosts, mutants",
    [
        (
            3,
            {
                (graceful_shutdown, "holds_only_copy"): always_false,
                (graceful_shutdown, "is_vote_needed"): always_false,
            },
        ),
        (3, {(Replica, "is_dispensable"): is_dispensable_regardless_of_votes}),
        (
            4,
            {
                (planning, "_first_candidates"): only_the_backup,
                (graceful_shutdown, "is_vote_needed"): always_false,
            },
        ),
    ],
    ids=[
        "exits after half of the grace period",
        "ignores votes",
        "only the leaving backup is a first candidate",
    ],
)
def test_without_a_shutdown_rule_the_only_copy_is_lost(hosts, mutants, monkeypatch):
    for (owner, name), mutant in mutants.items():
        monkeypatch.setattr(owner, name, mutant)
    assert first_failing_seed(hosts) is not None


# --- the learner's copy


async def lose_two_disks_with_all_power(cluster: StoreCluster) -> None:
    """Loses the disks of primary and backup and all power, right after an acknowledgement.

    The other members have written the acknowledged version by then.
    """
    assert await cluster.put_within(0.5)
    await asyncio.sleep(0.05)
    both = [cluster.machine_in_role("the primary"), cluster.machine_in_role("the backup")]
    for machine in cluster.machines.values():
        machine.power_off(wipe=machine in both)
    await asyncio.sleep(1.0)
    for machine in cluster.machines.values():
        machine.start()
    await asyncio.sleep(5.0)


def rescue_after_loss() -> tuple[int, int]:
    """Returns the version that a rescue restores after this loss, and the acknowledged one."""
    cluster = CopyCountingCluster()
    cluster.run(cluster.start_counting())
    for task in cluster.tasks:
        task.cancel()
    cluster.run(lose_two_disks_with_all_power(cluster))
    acknowledged, cluster.acknowledged_version = cluster.acknowledged_version, 0
    result = cluster.run(rescue(cluster))
    cluster.close()
    return int(result["version"][1:]), acknowledged


def test_a_rescue_restores_the_third_copy_after_the_loss_of_both_disks_and_all_power(monkeypatch):
    restored, acknowledged = rescue_after_loss()
    assert restored == acknowledged > 0
    monkeypatch.setattr(Learner, "next_copy", lambda self, replica: None)
    restored, acknowledged = rescue_after_loss()
    assert restored < acknowledged


def test_a_learner_copies_only_committed_versions_that_its_disk_does_not_have():
    replica, learner = member(C), Learner()
    assert learner.next_copy(replica) is None  # no version is known to be committed
    replica.commit(8, b"eight")
    assert learner.next_copy(replica) == (8, b"eight")
    restarted_learner = Learner.from_pages(learner.pages(VersionedData(8, b"eight")))
    assert restarted_learner.copy == (8, b"eight") and restarted_learner.next_copy(replica) is None
    replica.commit(9, bytes(MAX_COPY_BYTES + 1))
    assert learner.next_copy(replica) is None
    started_member = member(C)
    started_member.commit(6, b"six")  # a started member may learn of an older version first
    assert restarted_learner.next_copy(started_member) is None
    for pages in (
        {},
        {COPY_PAGE: b"\xff"},
        {COPY_PAGE: cbor2.dumps(3)},
        {COPY_PAGE: cbor2.dumps(["x", 1])},
    ):
        assert Learner.from_pages(pages) == Learner()
    for holder in (A, B):
        replica = member(holder)
        replica.commit(8, b"eight")
        assert Learner().next_copy(replica) is None


def test_a_leaving_member_exits_before_the_end_of_its_grace_period():
    replica = member(B)
    replica.state = MemberState.LEAVING
    assert VIEW.has_data("b") and graceful_shutdown.holds_only_copy(replica, 10.0)
    assert not graceful_shutdown.may_shut_down(
        replica, 14.9, 10.0, 6.0
    ) and graceful_shutdown.may_shut_down(replica, 15.0, 10.0, 6.0)
    record = Record("d", False)
    # a member that isn't in any known view may exit at once
    assert graceful_shutdown.may_shut_down(
        Replica(replica.member, (), record, 0.0, Random(1)), 0.0, 0.0, 6.0
    )
