"""Tests of the replicated configuration store in simulation.

They run the scenarios of `features/store.feature`, the rules of a single member, and random faults
while the invariants are checked.
"""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from loomstand.rpc.errors import CallRefusedError
from loomstand.store.disk import LmdbDisk
from loomstand.store.program import Store, StoreSettings
from loomstand.store.record import Record
from loomstand.store.replica import Replica
from loomstand.store.timing import GRANT_SECONDS, LEASE_SECONDS
from loomstand.store.views import Member, View
from loomstand.testing.simulation.loop import SimProcess, VirtualLoop
from loomstand.testing.simulation.machine import Machine, machines
from loomstand.testing.simulation.network import MachineNetwork, SimNetwork

scenarios("../features/store.feature")
PORT, OPERATOR = 7341, "10.9.0.1"
HOSTS = [f"10.{zone}.0.1" for zone in range(1, 5)]


class StoreCluster:
    """Simulated core machines with their stores, and the client that changes the configuration.

    The invariants (`check`) are checked every 20 ms of simulated time.

    Attributes:
        is_first_start: Whether the settings of a store that starts say that this is the first start
            of the whole system.
        seeds: Hosts of the seed nodes in the settings.
        sent: The highest version sent in a change.
        acknowledged_version: The highest version acknowledged.
        contents: All contents sent, by version.
        committed: The content committed at any store, by version.
        versions_by_store: The newest committed version seen at each running store.
        check_failure: A failed check that is still to be raised.
        check_task: The task that checks the invariants.
    """

    def __init__(self, seed: int = 1, hosts: tuple[str, ...] = (*HOSTS,)) -> None:
        self.loop = VirtualLoop()
        self.rng = Random(seed)
        self.network = SimNetwork(self.rng)
        self.is_first_start = True
        self.seeds = [*hosts[:3]]
        self.client = MachineNetwork(self.network, OPERATOR, SimProcess())
        self.machines = machines(
            self.network, self.rng, [*hosts], lambda h: [self.store_factory(h)]
        )
        self.sent = 0
        self.acknowledged_version = 0
        self.contents: dict[int, set[bytes]] = {}
        self.committed: dict[int, bytes] = {}
        self.versions_by_store: dict[object, int] = {}
        self.check_failure: AssertionError | None = None
        self.check_task = self.loop.create_task(self.check_periodically())

    def store_factory(self, host: str):
        def make_store(network, disk, clock, rng):
            seeds = tuple((h, PORT) for h in self.seeds)
            settings = StoreSettings((host, PORT), seeds, self.is_first_start)
            return CheckedStore(self, settings, network, disk, clock, rng)

        return make_store

    def run(self, work):
        return self.loop.run_until_complete(work)

    def wait(self, seconds: float) -> None:
        self.run(asyncio.sleep(seconds))
        if self.check_task.done():
            self.check_task.result()

    def start(self, *excluded: str) -> None:
        async def start_all() -> None:
            for host, machine in self.machines.items():
                if host not in excluded and not machine.up:
                    machine.start()

        self.run(start_all())

    async def check_periodically(self) -> None:
        while True:
            self.check()
            if self.check_failure:
                raise self.check_failure
            await asyncio.sleep(0.02)

    def check_now(self) -> None:
        """Checks the invariants now; a failure is raised by the checking task or by `close`."""
        try:
            self.check()
        except AssertionError as error:
            self.check_failure = error

    def stores(self) -> list[tuple[Machine, Store]]:
        return [
            (m, store)
            for m in self.machines.values()
            if m.is_running
            for store in m.programs
            if store.is_running
        ]

    def check(self) -> None:
        """Checks the invariants: at most one store serves, and it has every acknowledged version.

        A committed version was sent, never changes its content, and the committed version of a
        store never decreases.
        """
        serving = [
            store for _, store in self.stores() if store.replica.lease_left(store.clock()) > 0.0
        ]
        assert len(serving) <= 1, f"two stores serve at {self.loop.time()} s"
        assert all(store.replica.version >= self.acknowledged_version for store in serving), (
            "an acknowledged version is lost"
        )
        for _, store in self.stores():
            version, data = store.replica.version, store.replica.data
            if version:
                assert data in self.contents[version]
                assert self.committed.setdefault(version, data) == data
            assert self.versions_by_store.get(store, 0) <= version
            self.versions_by_store[store] = version

    def primary(self) -> Machine:
        found = self.find_primary()
        assert found is not None, "no store serves"
        return found

    def find_primary(self) -> Machine | None:
        return next(
            (m for m, store in self.stores() if store.replica.lease_left(store.clock()) > 0.0), None
        )

    def machine_in_role(self, role: str) -> Machine:
        view = self.primary().programs[0].replica.record.view
        voters = [m.address[0] for m in view.voters]
        hosts_by_role = {
            "the primary": view.primary.address[0],
            "the backup": view.backup.address[0],
        }
        other_voters = [h for h in voters if h not in hosts_by_role.values()]
        hosts_by_role |= {
            "a voter": other_voters[0],
            "a stand-by": next(h for h in self.machines if h not in voters),
        }
        return self.machines[hosts_by_role[role]]

    async def put(self, host: str, version: int = 0, operator: str = "") -> bool:
        version = version or self.sent + 1
        self.sent = max(self.sent, version)
        data = f"{version} {operator}".encode()
        self.contents.setdefault(version, set()).add(data)
        answer = await self.client.call(
            (host, PORT), "put", {"version": version, "data": data}, 1.0
        )
        if answer.is_ok():
            assert answer.ok["version"] >= version
            self.acknowledged_version = max(self.acknowledged_version, answer.ok["version"])
        return answer.is_ok()

    async def put_within(self, seconds: float, excluded: tuple[str, ...] = ()) -> bool:
        """Whether a change is acknowledged in time; each attempt is a new change to a random
        machine.
        """
        deadline = self.loop.time() + seconds
        while self.loop.time() < deadline:
            hosts = [h for h, m in self.machines.items() if m.up and h not in excluded]
            if await self.put(self.rng.choice(hosts)):
                return self.loop.time() <= deadline
            await asyncio.sleep(0.02)
        return False

    async def read_newest(self) -> int:
        for _ in range(100):
            hosts = [h for h, m in self.machines.items() if m.up]
            acknowledged = self.acknowledged_version
            answer = await self.client.call((self.rng.choice(hosts), PORT), "read", {}, 1.0)
            if answer.is_ok():
                assert answer.ok["version"] >= acknowledged, "an acknowledged version is lost"
                assert answer.ok["data"] in self.contents[answer.ok["version"]]
                return answer.ok["version"]
            await asyncio.sleep(0.05)
        raise AssertionError("no machine answers a read")

    def close(self) -> None:
        try:
            self.check()
            if self.check_failure:
                raise self.check_failure
            if self.check_task.done():
                self.check_task.result()
        finally:
            self.loop.close()


class CheckedStore(Store):
    """A store that has the invariants checked when it begins to serve, before any new change."""

    def __init__(self, cluster: StoreCluster, *store_arguments) -> None:
        super().__init__(*store_arguments)
        self.cluster = cluster

    def _become_serving(self) -> None:
        was_established = self.replica.is_established
        super()._become_serving()
        if self.replica.is_established and not was_established:
            self.cluster.check_now()


@pytest.fixture
def cluster():
    made = StoreCluster()
    yield made
    made.close()


@given("a core that has just started")
def _(cluster):
    cluster.start()


@given("a core whose second seed doesn't start")
def _(cluster):
    cluster.start(HOSTS[1])


@given("a core at work", target_fixture="old_primary")
def _(cluster):
    cluster.start()
    cluster.wait(2.0)
    cluster.is_first_start = False
    assert cluster.run(cluster.put_within(0.5))
    return cluster.primary()


@when(parsers.parse("{seconds:g} s pass"))
def _(cluster, seconds):
    cluster.wait(seconds)


@when("the primary is killed")
def _(old_primary):
    old_primary.kill()


async def _act_during_change(cluster, delay_ms, action):
    change = asyncio.create_task(cluster.put(cluster.primary().host))
    await asyncio.sleep(delay_ms / 1000)
    action()
    return change


@when(parsers.parse("the primary is killed {ms:d} ms into a change"))
def _(cluster, old_primary, ms):
    cluster.run(_act_during_change(cluster, ms, old_primary.kill))


@when(parsers.parse("the primary is frozen {ms:d} ms into a change"), target_fixture="change")
def _(cluster, old_primary, ms):
    return cluster.run(_act_during_change(cluster, ms, old_primary.freeze))


@when("the primary resumes")
def _(cluster, old_primary):
    cluster.run(asyncio.sleep(0))
    cluster.loop.call_soon(old_primary.thaw)
    cluster.check()


@then("the change in progress at the freeze was not acknowledged")
def _(cluster, change):
    assert cluster.run(change) is False


@then("the old primary itself can't acknowledge a change")
def _(cluster, old_primary):
    assert not old_primary.programs[0].replica.can_write(old_primary.programs[0].clock())
    cluster.wait(0.5)
    assert not old_primary.programs[0].replica.can_write(old_primary.programs[0].clock())


@when(
    parsers.re(
        "a change is acknowledged and all (machines lose power|processes are killed) for "
        "(?P<seconds>.*) s"
    )
)
def _(cluster, seconds):
    _power_off_all(cluster, float(seconds), None)


@when(
    parsers.parse(
        "a change is acknowledged, all machines lose power for {seconds:g} s and the disk of "
        "{role} is empty"
    )
)
def _(cluster, seconds, role):
    _power_off_all(cluster, seconds, cluster.machine_in_role(role))


def _power_off_all(cluster, off_seconds, wiped_machine):
    async def power_off() -> None:
        assert await cluster.put_within(0.5)
        for machine in cluster.machines.values():
            machine.power_off(wipe=machine is wiped_machine)

    cluster.run(power_off())
    cluster.wait(off_seconds)
    cluster.start()


@when("the primary is partitioned from all others")
def _(cluster, old_primary):
    cluster.network.partition([old_primary.host], [h for h in HOSTS if h != old_primary.host])


@when("the primary and the stand-by are partitioned from the others")
def _(cluster, old_primary):
    side = [old_primary.host, cluster.machine_in_role("a stand-by").host]
    cluster.network.partition(side, [h for h in HOSTS if h not in side])


@when("the primary receives no messages")
def _(cluster, old_primary):
    for host in HOSTS:
        cluster.network.cut(host, old_primary.host, both=False)


@when("the partition heals")
def _(cluster):
    cluster.network.heal()


@then("the old primary acknowledges nothing")
def _(cluster, old_primary):
    assert not cluster.run(cluster.put(old_primary.host))


@then(parsers.parse("a change is acknowledged within {seconds:g} s"))
def _(cluster, seconds):
    assert cluster.run(cluster.put_within(seconds))


@then(parsers.parse("a change is acknowledged within {seconds:g} s by the others"))
def _(cluster, old_primary, seconds):
    assert cluster.run(cluster.put_within(seconds, (old_primary.host,)))


@then("nothing acknowledged is lost")
def _(cluster):
    assert cluster.run(cluster.read_newest()) >= cluster.acknowledged_version


@then(parsers.parse("all machines hold the newest acknowledged version within {seconds:g} s"))
def _(cluster, seconds):
    cluster.wait(seconds)
    assert {store.replica.version for _, store in cluster.stores()} == {
        cluster.acknowledged_version
    }


@when("the backup loses power")
def _(cluster):
    cluster.machine_in_role("the backup").power_off()


@when(parsers.re("the disk of (?P<role>.*) (?P<fault>hangs|refuses|is slow)"))
def _(cluster, role, fault):
    disk_state = cluster.machine_in_role(role).disk_state
    disk_state.hangs, disk_state.refuses = fault == "hangs", fault == "refuses"
    disk_state.slower = 60.0 if fault == "is slow" else 1.0


@when("the primary is shut down")
def _(cluster, old_primary):
    cluster.loop.create_task(old_primary.shut_down())


@when("the machines are replaced by new ones one after the other")
def _(cluster):
    new = [f"10.{zone}.0.2" for zone in range(1, 5)]
    cluster.old_hosts, cluster.seeds = [*HOSTS], new[:3]
    new_machines = machines(cluster.network, cluster.rng, new, lambda h: [cluster.store_factory(h)])
    for old_host, new_host in zip(HOSTS, new, strict=True):
        # the seeds of a new machine: itself, up to two old machines that run, the first new one
        cluster.seeds = [new_host, *[h for h in HOSTS if cluster.machines[h].up][:2], *new[:1]][:3]
        cluster.machines[new_host] = new_machines[new_host]
        cluster.start(*[h for h in HOSTS if not cluster.machines[h].up])
        cluster.wait(1.0)
        cluster.run(cluster.machines[old_host].shut_down())
        cluster.wait(3.0)
        assert cluster.run(cluster.put_within(0.5))


@when("the old machines come back")
def _(cluster):
    cluster.start()


@then("only new machines vote")
def _(cluster):
    view = cluster.primary().programs[0].replica.record.view
    assert all(h.endswith(".2") for h in (m.address[0] for m in view.members().values()))
    assert len(view.voters) == 3


@given("a store on a real disk with two pages", target_fixture="disk_folder")
def _(cluster, tmp_path):
    disk = LmdbDisk(tmp_path / "store")
    with asyncio.Runner() as runner:
        assert runner.run(disk.load()) == {}
        runner.run(disk.save({"vote": b"1", "member": b"a" * 9000}))
        disk.close()
        reopened_disk = LmdbDisk(tmp_path / "store")
        assert runner.run(reopened_disk.load()) == {"vote": b"1", "member": b"a" * 9000}
        reopened_disk.close()
    return tmp_path / "store"


@when("its database is overwritten")
def _(disk_folder):
    file = disk_folder / "data.mdb"
    file.write_bytes(b"torn" * (file.stat().st_size // 4))


@then("it loads as an empty disk and can be written again")
def _(disk_folder):
    with asyncio.Runner() as runner:
        reopened_disk = LmdbDisk(disk_folder)
        assert runner.run(reopened_disk.load()) == {}
        runner.run(reopened_disk.save({"vote": b"2"}))
        assert runner.run(reopened_disk.load()) == {"vote": b"2"}
        reopened_disk.close()


@when(
    "the backup receives nothing from the primary, and all power and the primary's disk are lost "
    "after an acknowledgement"
)
def _(cluster, old_primary):
    cluster.network.cut(old_primary.host, cluster.machine_in_role("the backup").host)

    async def lose() -> None:
        assert await cluster.put_within(3.0)
        for machine in cluster.machines.values():
            machine.power_off(wipe=machine is old_primary)

    cluster.run(lose())
    cluster.network.heal()
    cluster.start()


@when(
    parsers.parse(
        "all machines are killed, the primary stays down, and the backup restarts after "
        "{seconds:g} s"
    )
)
def _(cluster, old_primary, seconds):
    backup = cluster.machine_in_role("the backup")
    for machine in cluster.machines.values():
        machine.kill()
    cluster.start(old_primary.host, backup.host)
    cluster.wait(seconds)
    cluster.start(old_primary.host)


# --- the rules of one member

MEMBERS = tuple(Member(i, (h, PORT)) for i, h in zip("abcd", HOSTS, strict=True))
A, B, C, D = MEMBERS
VIEW = View(3, A, B, (A, B, C))


def member(own: Member, now: float = 0.0) -> Replica:
    """Returns a member in `VIEW` that has version 7 and started at `now`."""
    record = Record(own.id, True, 3, VIEW, 7, b"seven", 3)
    replica = Replica(own, tuple(m.address for m in MEMBERS[:3]), record, now, Random(1))
    for peer in replica.peers.by_address.values():
        peer.answered_at = 1e9  # keeps the peer reachable throughout the test
    return replica


def test_a_backup_refuses_writes_older_than_its_record():
    for stale in ((2, 8, b"eight"), (3, 6, b"six"), (3, 7, b"other")):
        with pytest.raises(CallRefusedError):
            member(B).accept_write(stale[0], "a", *stale[1:])
    assert member(B).accept_write(3, "a", 7, b"seven").version == 7
    assert member(B).accept_write(4, "c", 6, b"six").written_epoch == 4


def test_a_member_read_by_a_candidate_refuses_lower_epochs():
    replica = member(B)
    replica.read_for_candidate(5, "c")
    with pytest.raises(CallRefusedError):
        replica.accept_write(3, "a", 8, b"eight")
    with pytest.raises(CallRefusedError):
        replica.install(VIEW)
    with pytest.raises(CallRefusedError):
        replica.read_for_candidate(4, "d")
    assert replica.on_heartbeat(9.0, member(A).heartbeat(B.address)).granted_epoch == 0
    primary = member(A)
    primary.on_grant("c", 3, 9.0)
    assert primary.is_leader(9.1)
    primary.read_for_candidate(5, "c")
    assert not primary.is_leader(9.1)


def test_a_voter_promises_no_other_candidate_while_its_grant_may_be_valid():
    replica = member(C, now=10.0)
    # a grant from before the restart may still be valid
    assert not replica.may_promise(10.0 + GRANT_SECONDS - 0.01, 4, "b", 0)
    assert replica.may_promise(10.1, 4, "a", 0) and replica.may_promise(10.1, 4, "b", 3)
    assert replica.may_promise(10.0 + GRANT_SECONDS, 4, "b", 0) and not replica.may_promise(
        12.0, 3, "b", 0
    )
    assert replica.on_heartbeat(20.0, member(A).heartbeat(C.address)).granted_epoch == 3
    assert not replica.may_promise(20.0 + GRANT_SECONDS - 0.01, 4, "b", 0)
    assert replica.may_promise(20.0 + GRANT_SECONDS, 4, "b", 0)
    stranger = member(Member("x", A.address))
    assert replica.on_heartbeat(30.0, stranger.heartbeat(C.address)).granted_epoch == 0


def test_a_primary_serves_only_what_its_backup_has_and_while_its_lease_lasts():
    replica = member(A)
    replica.on_grant("c", 2, 5.0)
    assert not replica.is_leader(5.1)
    replica.on_grant("c", 3, 5.0)
    assert (
        replica.is_leader(5.1)
        and not replica.become_established(5.1)
        and replica.lease_left(5.1) == 0.0
    )
    replica.replicated_epoch = 3
    assert (
        replica.become_established(5.1)
        and replica.version == 7
        and replica.can_write(5.0 + LEASE_SECONDS - 0.01)
    )
    assert not replica.may_promise(5.0 + LEASE_SECONDS - 0.01, 4, "b", 0)
    # a primary that begins to change its own view still serves, but writes no changes
    replica.promise(5.2, 4, "a", 0)
    assert replica.lease_left(5.3) > 0.0 and not replica.can_write(5.3)
    assert replica.lease_left(5.0 + LEASE_SECONDS) == 0.0 and not replica.can_write(
        5.0 + LEASE_SECONDS
    )


def test_a_changed_view_needs_both_sets_of_voters():
    changed = View(4, A, B, (A, B, D), (A, B, C))
    assert (
        not changed.has_quorum({"b", "d"})
        and not changed.has_quorum({"a", "c"})
        and changed.has_quorum({"a", "b"})
    )
    assert changed.has_quorum({"b", "c", "d"}) and VIEW.has_quorum({"a", "c"})
    with pytest.raises(CallRefusedError):
        member(C).check_recipient("b")


# --- random faults


async def run_operator(cluster: StoreCluster, operator: str, rng: Random) -> None:
    """Sends changes to random machines; another operator may send the same version."""
    while True:
        await asyncio.sleep(rng.uniform(0.02, 0.5))
        hosts = [h for h, m in cluster.machines.items() if m.up] or HOSTS
        version = max(1, cluster.sent + rng.choice((0, 1, 1, 1, 2)))
        await cluster.put(rng.choice(hosts), version, operator)


async def inject_fault(
    cluster: StoreCluster, rng: Random, machine: Machine, may_wipe: bool
) -> None:
    """Applies a random fault to a machine for a random time; wipes its disk only if `may_wipe`."""
    duration, other_hosts = (
        rng.choice((0.1, 0.6, 1.5, 3.0)),
        [h for h in cluster.machines if h != machine.host],
    )
    kinds = (
        "kill",
        "power",
        "freeze",
        "cut",
        "in",
        "out",
        "hangs",
        "refuses",
        "slow",
        "leave",
        "wipe",
    )
    kind = rng.choice(kinds if may_wipe else kinds[:-1])
    disk_state = machine.disk_state
    if kind in ("kill", "power", "wipe"):
        machine.kill() if kind == "kill" else machine.power_off(wipe=kind == "wipe")
        await asyncio.sleep(duration)
        machine.start()
        if kind == "wipe":
            await asyncio.sleep(4.0)
    elif kind == "freeze":
        machine.freeze()
        await asyncio.sleep(duration)
        machine.thaw()
    elif kind == "leave":
        await machine.shut_down()
        await asyncio.sleep(duration)
        machine.start()
    elif kind in ("cut", "in", "out"):
        for other in other_hosts:
            direction = (machine.host, other) if kind == "out" else (other, machine.host)
            cluster.network.cut(*direction, both=kind == "cut")
        await asyncio.sleep(duration)
        cluster.network.heal()
    else:
        disk_state.hangs, disk_state.refuses = kind == "hangs", kind == "refuses"
        disk_state.slower = 100.0 if kind == "slow" else 1.0
        await asyncio.sleep(duration)
        disk_state.hangs, disk_state.refuses, disk_state.slower = False, False, 1.0


async def _run_random_faults(cluster: StoreCluster, rng: Random) -> None:
    for machine in cluster.machines.values():
        machine.start()
    # applies to the stores that start before it is cleared below
    cluster.is_first_start = rng.random() < 0.5
    await asyncio.sleep(1.5)
    cluster.is_first_start = False
    operators = [asyncio.create_task(run_operator(cluster, n, rng)) for n in ("ann", "bob")]
    for _ in range(6):
        if rng.random() < 0.25:
            for machine in cluster.machines.values():
                machine.kill() if rng.random() < 0.5 else machine.power_off()
            await asyncio.sleep(rng.uniform(0.0, 1.0))
            for machine in cluster.machines.values():
                machine.start()
        else:
            # a disk is only lost while there is no other fault; other faults may coincide
            targets = rng.sample([*cluster.machines.values()], rng.choice((1, 1, 2)))
            if rng.random() < 0.6 and (primary := cluster.find_primary()):
                targets = [primary, *targets[1:]] if primary not in targets[1:] else targets
            await asyncio.gather(
                *(inject_fault(cluster, rng, machine, len(targets) == 1) for machine in targets)
            )
        await asyncio.sleep(rng.choice((0.05, 0.5, 2.0, 4.0)))
    await asyncio.sleep(5.0)
    for operator in operators:
        operator.cancel()
    bound = 4.0 if cluster.network.loss_rate or cluster.network.extra_delay_seconds else 0.3
    assert await cluster.put_within(bound), "no change is acknowledged after the faults have ended"
    assert await cluster.read_newest() >= cluster.acknowledged_version


@pytest.mark.parametrize("seed", range(30))
def test_random_faults_lose_nothing(seed):
    cluster = StoreCluster(seed, (*HOSTS, "10.5.0.1")[: 3 + seed % 3])
    cluster.run(_run_random_faults(cluster, Random(seed + 1000)))
    cluster.close()
