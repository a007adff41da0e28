"""More lost than the store bears: operators' rescue in simulated weather, and how old members are
fenced.
"""

from __future__ import annotations

import asyncio
import json
from random import Random

import pytest
import test_store
from pytest_bdd import given, parsers, scenarios, then, when
from pytest_bdd.steps import StepNamePrefix
from test_store import HOSTS, MEMBERS, PORT, VIEW, StoreCluster, member

from loomstand.store.member_report import MemberReport
from loomstand.store.peers import MemberState
from loomstand.store.record import Record
from loomstand.store.replica import Replica
from loomstand.store.rescue import make_case
from loomstand.store.views import EPOCH_RANGE, View
from loomstand.testing.simulation.cluster import Cluster
from loomstand.testing.simulation.http_log import exchange, post
from loomstand.testing.simulation.machine import Machine

# the steps that both features have
globals().update(
    {k: v for k, v in vars(test_store).items() if k.startswith(StepNamePrefix.step_def.value)}
)
cluster = test_store.cluster
scenarios("../features/rescue.feature")


async def ask(cluster: StoreCluster, gone=(), token=None, at: str = "") -> dict:
    """A look at the rescue, or the word for it, at a member that runs."""
    host = at or next(h for h, m in cluster.machines.items() if m.is_running and h not in gone)
    got = await cluster.client.call((host, PORT), "rescue", {"gone": [*gone], "token": token}, 5.0)
    return got.ok


async def rescue(cluster: StoreCluster, gone=()) -> dict:
    """Looks and gives the word till it's done, as grants may still stand."""
    for _ in range(20):
        found = (await ask(cluster, gone))["case"]
        if not found["waits"] and "done" in (said := await ask(cluster, gone, found["token"])):
            return said["done"]
        await asyncio.sleep(0.3)
    raise AssertionError(found)


def waits(cluster: StoreCluster, gone=()) -> list[str]:
    found = cluster.run(ask(cluster, gone))["case"]
    assert "no" in cluster.run(ask(cluster, gone, found["token"]))
    return found["waits"]


@given("a core that lost the disks of the primary and the backup")
def _(cluster):
    _at_work(cluster)
    both = [cluster.machine_in_role("the primary"), cluster.machine_in_role("the backup")]
    for machine in both:
        machine.power_off(wipe=True)
    cluster.wait(0.2)
    cluster.start()
    cluster.wait(5.0)


def _at_work(cluster):
    cluster.start()
    cluster.wait(2.0)
    cluster.first = False
    assert cluster.run(cluster.put_within(0.5))
    cluster.wait(0.3)


@then(parsers.parse("nothing is acknowledged for {s:d} s"))
def _(cluster, s):
    assert not cluster.run(cluster.put_within(s))


@then("a rescue is due")
def _(cluster):
    found = cluster.run(ask(cluster))["case"]
    assert found["waits"] == [] and found["version"] == f"r{cluster.acknowledged_version}"
    assert sum(m["lost"] for m in found["members"]) == 2 and len(found["reach"]) == 4


@when("operators rescue it")
def _(cluster):
    cluster.done = cluster.run(rescue(cluster))


@then("the newest acknowledged version is in force, under an epoch of the next million")
def _(cluster):
    view = cluster.primary().programs[0].replica.record.view
    assert (
        EPOCH_RANGE <= view.epoch < 2 * EPOCH_RANGE
        and view.rescue_epoch == view.epoch == cluster.done["epoch"]
    )
    assert (
        cluster.done["version"] == f"r{cluster.acknowledged_version}"
        and len(view.voters) == 3
        and view.backup
    )
    assert cluster.run(cluster.read_newest()) == cluster.acknowledged_version


@when("the primary and a voter lose power")
def _(cluster):
    cluster.away = [cluster.machine_in_role("the primary"), cluster.machine_in_role("a voter")]
    for machine in cluster.away:
        machine.power_off()


@then("a rescue waits for each that is not named, and for one that is named and answers")
def _(cluster):
    first, voter = (m.host for m in cluster.away)
    for gone, waited in (([], [first, voter]), ([first], [voter]), ([first, voter], [])):
        said = waits(cluster, gone) if waited else cluster.run(ask(cluster, gone))["case"]["waits"]
        assert sorted(w.split()[0] for w in said) == sorted(waited)
        assert all("doesn't answer" in w for w in said)
    there = next(h for h, m in cluster.machines.items() if m.is_running)
    said = cluster.run(ask(cluster, [first, voter, there], at=there))["case"]["waits"]
    assert f"{there}: named as gone, and answers" in said


@when("the voter starts again")
def _(cluster):
    _all_do(cluster, cluster.away[1:], Machine.start)


@then(parsers.parse('a rescue waits, as "{words}"'))
def _(cluster, words):
    assert len(said := waits(cluster)) == 1 and words in said[0]


@when("the primary loses power")
def _(old):
    old.power_off()


@when("operators look, and then a stand-by is killed")
def _(cluster):
    cluster.said = cluster.run(ask(cluster))["case"]
    assert cluster.said["waits"] == []
    next(m for m in cluster.machines.values() if m.host != cluster.said["chosen"]).kill()


@then("their token is refused, and one that was made up")
def _(cluster):
    for token in (cluster.said["token"], "3-0123456789ab"):
        assert (
            "another one than that of this token" in cluster.run(ask(cluster, (), token))["no"][0]
        )
    assert cluster.find_primary() is None


@when("two operators rescue it at one moment, by different machines")
def _(cluster):
    async def both() -> list[dict]:
        token = (await ask(cluster))["case"]["token"]
        return await asyncio.gather(*(ask(cluster, (), token, at) for at in HOSTS[1:3]))

    cluster.said = cluster.run(both())


@then("one of them founded a view that all members follow")
def _(cluster):
    done = [said["done"] for said in cluster.said if "done" in said]
    assert len(done) == 1 and any("no" in said for said in cluster.said)
    _one_view(cluster, done[0]["epoch"])


@then("all members follow one view")
def _(cluster):
    _one_view(cluster, cluster.done["epoch"])
    view = cluster.primary().programs[0].replica.record.view
    assert (
        len(view.voters) == 3 and view.epoch > view.rescue_epoch == cluster.done["epoch"]
    )  # one of them votes again


def _one_view(cluster, epoch):
    cluster.wait(1.0)
    views = {g.replica.newest_known_view().epoch for _, g in cluster.stores()}
    assert len(views) == 1 and views.pop() >= epoch and len(cluster.stores()) == 4


@when(parsers.re("the primary and a voter freeze"))
def _(cluster):
    cluster.away = [cluster.machine_in_role("the primary"), cluster.machine_in_role("a voter")]
    for machine in cluster.away:
        machine.freeze()


@when("operators rescue it, naming both")
def _(cluster):
    cluster.done = cluster.run(rescue(cluster, [m.host for m in cluster.away]))
    assert cluster.run(cluster.put_within(0.3, tuple(m.host for m in cluster.away)))


@when("both start again")
def _(cluster):
    _all_do(cluster, cluster.away, Machine.start)


@when("both thaw")
def _(cluster):
    _all_do(cluster, cluster.away, Machine.thaw)


def _all_do(cluster, machines, what):
    """At one moment."""

    async def all_() -> None:
        for machine in machines:
            what(machine)

    cluster.run(all_())


@then("the old primary serves nothing of its old view")
def _(cluster):
    for _ in range(600):
        cluster.wait(0.005)
        for store in (g for m, g in cluster.stores() if m is cluster.away[0]):
            view = store.replica.record.view
            assert (
                store.replica.lease_left(store.clock()) == 0.0
                or view.epoch >= cluster.done["epoch"]
            )


def test_a_majority_that_was_given_up_and_goes_on_behind_a_cut_stands_down_once_it_is_mended():
    class Cut(StoreCluster):
        def check(self) -> None:
            """Two serve, as the operators' word was wrong: nothing can bar that before the cut is
            mended.
            """

    cluster = Cut()
    _at_work(cluster)
    away = [cluster.machine_in_role("the primary"), cluster.machine_in_role("a voter")]
    left = [h for h in HOSTS if h not in (m.host for m in away)]
    cluster.network.partition([m.host for m in away], left)
    cluster.wait(2.0)
    gone = [m.host for m in away]

    async def wrong() -> None:
        found = (await ask(cluster, gone, at=left[0]))["case"]
        assert "done" in await ask(cluster, gone, found["token"], left[0])

    cluster.run(wrong())
    old = away[0].programs[0]
    assert old.replica.lease_left(old.clock()) > 0.0
    cluster.network.heal()
    cluster.wait(0.3)
    serving = [g for _, g in cluster.stores() if g.replica.lease_left(g.clock()) > 0.0]
    assert len(serving) == 1 and serving[0] is not old
    assert all(m.programs[0].replica.record.promised_epoch >= EPOCH_RANGE for m in away)
    StoreCluster.check(cluster)
    cluster.close()


def test_a_member_that_was_fenced_remembers_it_after_a_restart():
    new = View(EPOCH_RANGE, MEMBERS[1], MEMBERS[3], (MEMBERS[1], MEMBERS[3]), (), EPOCH_RANGE)
    replica = member(MEMBERS[0])
    replica.on_grant("c", 3, 5.0)
    assert replica.is_leader(5.1) and replica.fencing_record() is None
    replica.observe_view(View.from_row(new.to_row()))
    assert not replica.is_leader(5.1)
    record = replica.fencing_record()
    again = Replica(
        replica.member, replica.seeds, Record.from_pages(record.pages()), 9.0, Random(1)
    )
    for peer in again.peers.by_address.values():
        peer.answered_at = 20.0
    assert again.heartbeat(MEMBERS[2].address).requested_lease_epoch == 0
    again.on_persisted(record)
    assert again.fencing_record() is None and not again.may_promise(20.0, 9, "b", 0)
    later = View(EPOCH_RANGE + 7, MEMBERS[3], None, new.voters, (), EPOCH_RANGE)
    replica = member(MEMBERS[1])
    replica.on_persisted(replica.install(new))
    replica.observe_view(later)  # of the same rescue: nobody is fenced by an ordinary change
    assert replica.promised_epoch == EPOCH_RANGE


def said(n: int, **more) -> MemberReport:
    usual = {
        "state": MemberState.HEALTHY,
        "is_founder": False,
        "uptime_seconds": 60.0,
        "lease_seconds": 0.0,
        "highest_epoch": 3,
        "view": VIEW,
    }
    versions = {"committed_version": 5, "offered_version": 0, "disk_version": 0}
    return MemberReport(MEMBERS[n], **usual | versions | more)


def test_what_a_rescue_waits_for_and_whom_it_chooses():
    seeds = [m.address for m in MEMBERS[:3]]
    gone = {HOSTS[0], HOSTS[1]}
    found = make_case([said(2), said(3, offered_version=6)], gone, seeds)
    assert found.obstacles() == [] and found.chosen().member == MEMBERS[3]
    assert (
        make_case([said(2, disk_version=6), said(3, offered_version=6)], gone, seeds)
        .chosen()
        .member
        == MEMBERS[3]
    )
    assert make_case([said(2), said(3)], gone, seeds).chosen().member == MEMBERS[2]
    assert make_case([said(2), said(3)], gone, seeds).token() != found.token()
    # the majority is there, but both who had the data are lost: nobody could ever be elected
    apart = View(3, MEMBERS[0], MEMBERS[3], MEMBERS[:3])
    there = [said(1, view=apart), said(2, view=apart)]
    assert make_case(there, {HOSTS[0], HOSTS[3]}, seeds).obstacles() == []
    assert (
        "the store recovers"
        in make_case([*there, said(3, view=apart)], {HOSTS[0]}, seeds).obstacles()[0]
    )
    # a rescue that broke off: those who promised it have given up their view, majority or not
    broken = [said(1, highest_epoch=EPOCH_RANGE + 4), said(2), said(3)]
    assert make_case(broken, {HOSTS[0]}, seeds).obstacles() == []
    for told, words in (
        ([said(2)], "two machines"),
        ([said(2), said(3, uptime_seconds=1.0)], "has run for less"),
        ([said(2), said(3, view=None, is_founder=True, highest_epoch=0)], ""),
        ([said(2, view=None, is_founder=True), said(3, view=None)], "first start"),
        # named, so given up with what it has
        ([said(2), said(3), said(1, state=MemberState.UNHEALTHY, offered_version=9)], ""),
    ):
        waits = make_case(told, gone, seeds).obstacles()
        assert words in waits[0] if words else waits == [], waits
    sick = [said(0, state=MemberState.UNHEALTHY), said(2), said(3)]
    assert "disk is in trouble" in make_case(sick, {HOSTS[1]}, seeds).obstacles()[0]


# --- at random


async def _lost_and_found(cluster: StoreCluster, rng: Random) -> None:
    """Two voters are lost amid changes, one perhaps with a new disk in its place; a rescue; the old
    disks come back at moments of their own, while links are slow and changes go on.
    """
    for machine in cluster.machines.values():
        machine.start()
    await asyncio.sleep(2.0)
    cluster.first = False
    operators = [asyncio.create_task(test_store._operate(cluster, n, rng)) for n in ("ann", "bob")]
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    lost = rng.sample(
        [m.address[0] for m in cluster.primary().programs[0].replica.record.view.voters], 2
    )
    # not both: the old disk's return in its place is one more loss
    renewed = rng.choice([*lost, ""])
    old, named = {}, []
    for machine in (cluster.machines[host] for host in lost):
        machine.power_off()
        old[machine] = dict(machine.disk_state.pages)
        if machine.host == renewed:
            machine.disk_state.wipe()
            machine.start()
        else:
            named.append(machine.host)
    await asyncio.sleep(rng.uniform(4.5, 6.0))
    found = (await ask(cluster, named))["case"]
    # what nobody in reach holds can't be known
    cluster.acknowledged_version = min(cluster.acknowledged_version, int(found["version"][1:]))
    cluster.sent += 100
    if rng.random() < 0.5:  # a first one breaks off
        first = cluster.machines[found["chosen"]]
        word = asyncio.create_task(ask(cluster, named, found["token"], first.host))
        while all(g.replica.promised_epoch < EPOCH_RANGE for _, g in cluster.stores()):
            await asyncio.sleep(0.002)
        await asyncio.sleep(rng.uniform(0.0, 0.04))
        first.kill()
        word.cancel()
        await asyncio.sleep(0.1)
        first.start()
        await asyncio.sleep(4.5)
    if cluster.find_primary() is None:  # else all had the view already
        assert int((await rescue(cluster, named))["version"][1:]) >= cluster.acknowledged_version
    cluster.network.extra_delay_seconds = {h: rng.choice((0.0, 0.05)) for h in cluster.machines}

    async def back(machine: Machine) -> None:
        await asyncio.sleep(rng.choice((0.0, rng.uniform(0.0, 3.0))))
        machine.power_off()
        machine.disk_state.pages = old[machine]
        machine.start()

    await asyncio.gather(*map(back, old))
    await asyncio.sleep(3.0)
    for operator in operators:
        operator.cancel()
    cluster.network.extra_delay_seconds = {}
    assert await cluster.put_within(3.0)
    assert await cluster.read_newest() >= cluster.acknowledged_version
    assert {g.replica.newest_known_view().rescue_epoch > 0 for _, g in cluster.stores()} == {True}


@pytest.mark.parametrize("seed", range(12))
def test_a_rescue_amid_changes_loses_nothing_that_was_in_reach(seed):
    cluster = StoreCluster(seed, (*HOSTS, "10.5.0.1")[: 4 + seed % 2])
    cluster.run(_lost_and_found(cluster, Random(seed + 1000)))
    cluster.close()


# --- with registries and limiters


def test_registries_give_their_stores_back_what_those_lost():
    system = Cluster(3, proxies=1)
    system.run(system.start())
    system.wait(1.0)
    for host in (*system.proxies.values(), *system.stores.values()):
        host.power_off(wipe=True)
    system.wait(1.0)

    async def again() -> None:
        for host in system.stores.values():
            host.start()

    system.run(again())
    system.wait(2.0)
    _, answer = _word(system, {})
    assert [r["given_back"] for r in answer["case"]["reach"]] == [f"r{system.version}"] * 3
    system.close()


@pytest.fixture
def system():
    made = Cluster(7, proxies=2)
    made.back = made.run_in_background(made.check_versions_never_decrease())
    yield made
    made.close()


def _word(system, body: dict, core: int = 0):
    call = post("system.rescue", json.dumps(body).encode())
    got = system.run(
        exchange(system.streams("10.8.0.1"), system.control_addresses[core], call, 5.0)
    )
    return got.status, json.loads(got.body)


@given("a system at work whose core lost all disks")
def _(system):
    system.run(system.start())
    hosts = [*system.stores.values(), *system.registries.values()]
    system.wait(1.0)
    for host in hosts:
        host.power_off(wipe=True)
    system.wait(1.0)

    async def again() -> None:
        for host in hosts:
            host.start()

    system.run(again())


@then("requests are served all the while and changes are not")
def _(system):
    for _ in range(25):
        for ip in system.proxies:
            _, reply = system.run(system.send_once("once", at=ip))
            assert reply.status == 200
        system.wait(0.25)
    held, system.held = system.version, system.versions[system.version]
    assert not system.run(system.replace(3.0))
    assert {s.configuration.table.version for s in system.running_proxies()} == {held}


@when("its operators look at the rescue and give their word")
def _(system):
    looks = [_word(system, {}, n) for n in range(3)]
    assert {status for status, _ in looks} == {200} and len(
        {s["case"]["token"] for _, s in looks}
    ) == 1
    found = looks[0][1]["case"]
    assert found["waits"] == [] and found["epoch"] == 0 and not found["members"]
    assert system.held.decode().startswith(f'{{"version": "{found["version"]}"')
    system.token = found["token"]
    status, answer = _word(system, {"token": system.token}, 1)
    assert status == 200 and answer["done"]["version"] == found["version"], answer


@then("the configuration that the limiters held is in force, and changes are")
def _(system):
    assert system.run(system.operator.read(3.0)) == system.held
    system.route("later", "beta")
    assert system.run(system.replace(2.0))
    assert not system.back.done()


@then("the same word is refused now")
def _(system):
    status, answer = _word(system, {"token": system.token})
    assert status == 409 and "nothing is lost" in answer["error"]
    for bad in ({"gone": "10.1.0.1"}, {"token": 7}, []):
        assert _word(system, bad)[0] == 400
