"""Tests of rescues by operators after losses that the store doesn't tolerate.

They also check that members of the view before the rescue are fenced.
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

# makes the step functions and fixtures of test_store.py available to the scenarios here
globals().update(
    {k: v for k, v in vars(test_store).items() if k.startswith(StepNamePrefix.step_def.value)}
)
cluster = test_store.cluster
scenarios("../features/rescue.feature")


async def request_rescue(cluster: StoreCluster, gone=(), token=None, at: str = "") -> dict:
    """Requests the rescue case, or with its token the rescue, at a running member.

    Args:
        cluster: The simulated machines.
        gone: Hosts that are named as gone.
        token: The token of the rescue case; None to request the case.
        at: The host that gets the request; a running one by default.
    """
    host = at or next(h for h, m in cluster.machines.items() if m.is_running and h not in gone)
    result = await cluster.client.call(
        (host, PORT), "rescue", {"gone": [*gone], "token": token}, 5.0
    )
    return result.ok


async def rescue(cluster: StoreCluster, gone=()) -> dict:
    """Requests a rescue until it succeeds: it is refused until the lease grants have expired."""
    for _ in range(20):
        case = (await request_rescue(cluster, gone))["case"]
        if not case["waits"] and "done" in (
            reply := await request_rescue(cluster, gone, case["token"])
        ):
            return reply["done"]
        await asyncio.sleep(0.3)
    raise AssertionError(case)


def obstacles(cluster: StoreCluster, gone=()) -> list[str]:
    """Returns the obstacles to a rescue, and checks that it is refused."""
    case = cluster.run(request_rescue(cluster, gone))["case"]
    assert "no" in cluster.run(request_rescue(cluster, gone, case["token"]))
    return case["waits"]


@given("a core that lost the disks of the primary and the backup")
def _(cluster):
    _start_and_write(cluster)
    both = [cluster.machine_in_role("the primary"), cluster.machine_in_role("the backup")]
    for machine in both:
        machine.power_off(wipe=True)
    cluster.wait(0.2)
    cluster.start()
    cluster.wait(5.0)


def _start_and_write(cluster):
    cluster.start()
    cluster.wait(2.0)
    cluster.is_first_start = False
    assert cluster.run(cluster.put_within(0.5))
    cluster.wait(0.3)


@then(parsers.parse("nothing is acknowledged for {seconds:d} s"))
def _(cluster, seconds):
    assert not cluster.run(cluster.put_within(seconds))


@then("a rescue is due")
def _(cluster):
    case = cluster.run(request_rescue(cluster))["case"]
    assert case["waits"] == [] and case["version"] == f"r{cluster.acknowledged_version}"
    assert sum(m["lost"] for m in case["members"]) == 2 and len(case["reach"]) == 4


@when("operators rescue the store")
def _(cluster):
    cluster.done = cluster.run(rescue(cluster))


@then("the newest acknowledged version is in force, under an epoch of the next epoch range")
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


@then(
    "a rescue is refused for each member that is not named, and for one that is named and answers"
)
def _(cluster):
    primary, voter = (m.host for m in cluster.away)
    for gone, missing in (([], [primary, voter]), ([primary], [voter]), ([primary, voter], [])):
        found = (
            obstacles(cluster, gone)
            if missing
            else cluster.run(request_rescue(cluster, gone))["case"]["waits"]
        )
        assert sorted(w.split()[0] for w in found) == sorted(missing)
        assert all("doesn't answer" in w for w in found)
    running_host = next(h for h, m in cluster.machines.items() if m.is_running)
    found = cluster.run(request_rescue(cluster, [primary, voter, running_host], at=running_host))[
        "case"
    ]["waits"]
    assert f"{running_host}: named as gone, and answers" in found


@when("the voter starts again")
def _(cluster):
    _run_on_all(cluster, cluster.away[1:], Machine.start)


@then(parsers.parse('a rescue is refused with "{words}"'))
def _(cluster, words):
    assert len(found := obstacles(cluster)) == 1 and words in found[0]


@when("the primary loses power")
def _(old_primary):
    old_primary.power_off()


@when("operators request a token, and then a stand-by is killed")
def _(cluster):
    cluster.case = cluster.run(request_rescue(cluster))["case"]
    assert cluster.case["waits"] == []
    next(m for m in cluster.machines.values() if m.host != cluster.case["chosen"]).kill()


@then("their token and an invalid one are refused")
def _(cluster):
    for token in (cluster.case["token"], "3-0123456789ab"):
        assert (
            "another one than that of this token"
            in cluster.run(request_rescue(cluster, (), token))["no"][0]
        )
    assert cluster.find_primary() is None


@when("two operators rescue the store at the same time through different machines")
def _(cluster):
    async def rescue_twice() -> list[dict]:
        token = (await request_rescue(cluster))["case"]["token"]
        return await asyncio.gather(*(request_rescue(cluster, (), token, at) for at in HOSTS[1:3]))

    cluster.replies = cluster.run(rescue_twice())


@then("one of them founds a view that all members follow")
def _(cluster):
    done = [reply["done"] for reply in cluster.replies if "done" in reply]
    assert len(done) == 1 and any("no" in reply for reply in cluster.replies)
    _check_single_view(cluster, done[0]["epoch"])


@then("all members follow one view")
def _(cluster):
    _check_single_view(cluster, cluster.done["epoch"])
    view = cluster.primary().programs[0].replica.record.view
    assert (
        len(view.voters) == 3 and view.epoch > view.rescue_epoch == cluster.done["epoch"]
    )  # a returned member votes again, so the view changed after the rescue


def _check_single_view(cluster, epoch):
    cluster.wait(1.0)
    views = {store.replica.newest_known_view().epoch for _, store in cluster.stores()}
    assert len(views) == 1 and views.pop() >= epoch and len(cluster.stores()) == 4


@when(parsers.re("the primary and a voter freeze"))
def _(cluster):
    cluster.away = [cluster.machine_in_role("the primary"), cluster.machine_in_role("a voter")]
    for machine in cluster.away:
        machine.freeze()


@when("operators rescue the store, naming both as gone")
def _(cluster):
    cluster.done = cluster.run(rescue(cluster, [m.host for m in cluster.away]))
    assert cluster.run(cluster.put_within(0.3, tuple(m.host for m in cluster.away)))


@when("both start again")
def _(cluster):
    _run_on_all(cluster, cluster.away, Machine.start)


@when("both thaw")
def _(cluster):
    _run_on_all(cluster, cluster.away, Machine.thaw)


def _run_on_all(cluster, machines, action):
    """Applies `action` to all machines at the same time."""

    async def run_actions() -> None:
        for machine in machines:
            action(machine)

    cluster.run(run_actions())


@then("the old primary doesn't serve under its old view")
def _(cluster):
    for _ in range(600):
        cluster.wait(0.005)
        for store in (g for m, g in cluster.stores() if m is cluster.away[0]):
            view = store.replica.record.view
            assert (
                store.replica.lease_left(store.clock()) == 0.0
                or view.epoch >= cluster.done["epoch"]
            )


def test_an_isolated_majority_named_as_gone_stops_serving_when_the_partition_ends():
    class UncheckedCluster(StoreCluster):
        def check(self) -> None:
            """Skips the check: two stores serve until the partition ends, as the hosts named as
            gone still run.
            """

    cluster = UncheckedCluster()
    _start_and_write(cluster)
    isolated = [cluster.machine_in_role("the primary"), cluster.machine_in_role("a voter")]
    remaining_hosts = [h for h in HOSTS if h not in (m.host for m in isolated)]
    cluster.network.partition([m.host for m in isolated], remaining_hosts)
    cluster.wait(2.0)
    isolated_hosts = [m.host for m in isolated]

    async def rescue_wrongly() -> None:
        case = (await request_rescue(cluster, isolated_hosts, at=remaining_hosts[0]))["case"]
        assert "done" in await request_rescue(
            cluster, isolated_hosts, case["token"], remaining_hosts[0]
        )

    cluster.run(rescue_wrongly())
    old_primary = isolated[0].programs[0]
    assert old_primary.replica.lease_left(old_primary.clock()) > 0.0
    cluster.network.heal()
    cluster.wait(0.3)
    serving = [
        store for _, store in cluster.stores() if store.replica.lease_left(store.clock()) > 0.0
    ]
    assert len(serving) == 1 and serving[0] is not old_primary
    assert all(m.programs[0].replica.record.promised_epoch >= EPOCH_RANGE for m in isolated)
    StoreCluster.check(cluster)
    cluster.close()


def test_a_fenced_member_stays_fenced_after_a_restart():
    rescue_view = View(
        EPOCH_RANGE, MEMBERS[1], MEMBERS[3], (MEMBERS[1], MEMBERS[3]), (), EPOCH_RANGE
    )
    replica = member(MEMBERS[0])
    replica.on_grant("c", 3, 5.0)
    assert replica.is_leader(5.1) and replica.fencing_record() is None
    replica.observe_view(View.from_row(rescue_view.to_row()))
    assert not replica.is_leader(5.1)
    record = replica.fencing_record()
    restarted = Replica(
        replica.member, replica.seeds, Record.from_pages(record.pages()), 9.0, Random(1)
    )
    for peer in restarted.peers.by_address.values():
        peer.answered_at = 20.0
    assert restarted.heartbeat(MEMBERS[2].address).requested_lease_epoch == 0
    restarted.on_persisted(record)
    assert restarted.fencing_record() is None and not restarted.may_promise(20.0, 9, "b", 0)
    later_view = View(EPOCH_RANGE + 7, MEMBERS[3], None, rescue_view.voters, (), EPOCH_RANGE)
    replica = member(MEMBERS[1])
    replica.on_persisted(replica.install(rescue_view))
    replica.observe_view(later_view)  # same rescue: an ordinary view change fences no member
    assert replica.promised_epoch == EPOCH_RANGE


def report(n: int, **changes) -> MemberReport:
    defaults = {
        "state": MemberState.HEALTHY,
        "is_founder": False,
        "uptime_seconds": 60.0,
        "lease_seconds": 0.0,
        "highest_epoch": 3,
        "view": VIEW,
    }
    versions = {"committed_version": 5, "offered_version": 0, "disk_version": 0}
    return MemberReport(MEMBERS[n], **defaults | versions | changes)


def test_obstacles_to_a_rescue_and_the_choice_of_the_founding_member():
    seeds = [m.address for m in MEMBERS[:3]]
    gone = {HOSTS[0], HOSTS[1]}
    case = make_case([report(2), report(3, offered_version=6)], gone, seeds)
    assert case.obstacles() == [] and case.chosen().member == MEMBERS[3]
    assert (
        make_case([report(2, disk_version=6), report(3, offered_version=6)], gone, seeds)
        .chosen()
        .member
        == MEMBERS[3]
    )
    assert make_case([report(2), report(3)], gone, seeds).chosen().member == MEMBERS[2]
    assert make_case([report(2), report(3)], gone, seeds).token() != case.token()
    # a majority answers, but both members with the data are lost, so no election can succeed
    lost_view = View(3, MEMBERS[0], MEMBERS[3], MEMBERS[:3])
    remaining = [report(1, view=lost_view), report(2, view=lost_view)]
    assert make_case(remaining, {HOSTS[0], HOSTS[3]}, seeds).obstacles() == []
    assert (
        "the store recovers"
        in make_case([*remaining, report(3, view=lost_view)], {HOSTS[0]}, seeds).obstacles()[0]
    )
    # the promises of an interrupted rescue have fenced the view, although a majority answers
    interrupted = [report(1, highest_epoch=EPOCH_RANGE + 4), report(2), report(3)]
    assert make_case(interrupted, {HOSTS[0]}, seeds).obstacles() == []
    for reports, expected_words in (
        ([report(2)], "two machines"),
        ([report(2), report(3, uptime_seconds=1.0)], "has run for less"),
        ([report(2), report(3, view=None, is_founder=True, highest_epoch=0)], ""),
        ([report(2, view=None, is_founder=True), report(3, view=None)], "first start"),
        # the member is named as gone, so its newer version is given up, too
        ([report(2), report(3), report(1, state=MemberState.UNHEALTHY, offered_version=9)], ""),
    ):
        actual_obstacles = make_case(reports, gone, seeds).obstacles()
        assert (
            expected_words in actual_obstacles[0] if expected_words else actual_obstacles == []
        ), actual_obstacles
    unhealthy = [report(0, state=MemberState.UNHEALTHY), report(2), report(3)]
    assert "disk is in trouble" in make_case(unhealthy, {HOSTS[1]}, seeds).obstacles()[0]


# --- random faults


async def _rescue_with_faults(cluster: StoreCluster, rng: Random) -> None:
    """Loses two voters during changes, rescues the store, and puts the old disks back.

    One voter may restart with an empty disk at once. The old disks are put back at random times,
    while links are slow and changes continue.
    """
    for machine in cluster.machines.values():
        machine.start()
    await asyncio.sleep(2.0)
    cluster.is_first_start = False
    operators = [
        asyncio.create_task(test_store.run_operator(cluster, name, rng)) for name in ("ann", "bob")
    ]
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    lost = rng.sample(
        [m.address[0] for m in cluster.primary().programs[0].replica.record.view.voters], 2
    )
    # one at most, as the return of an old disk replaces the new one
    host_with_new_disk = rng.choice([*lost, ""])
    old_pages, gone = {}, []
    for machine in (cluster.machines[host] for host in lost):
        machine.power_off()
        old_pages[machine] = dict(machine.disk_state.pages)
        if machine.host == host_with_new_disk:
            machine.disk_state.wipe()
            machine.start()
        else:
            gone.append(machine.host)
    await asyncio.sleep(rng.uniform(4.5, 6.0))
    case = (await request_rescue(cluster, gone))["case"]
    # a rescue can't restore versions that no reachable member has
    cluster.acknowledged_version = min(cluster.acknowledged_version, int(case["version"][1:]))
    cluster.sent += 100
    if rng.random() < 0.5:  # interrupts a first rescue
        interrupted_machine = cluster.machines[case["chosen"]]
        interrupted_rescue = asyncio.create_task(
            request_rescue(cluster, gone, case["token"], interrupted_machine.host)
        )
        while all(store.replica.promised_epoch < EPOCH_RANGE for _, store in cluster.stores()):
            await asyncio.sleep(0.002)
        await asyncio.sleep(rng.uniform(0.0, 0.04))
        interrupted_machine.kill()
        interrupted_rescue.cancel()
        await asyncio.sleep(0.1)
        interrupted_machine.start()
        await asyncio.sleep(4.5)
    if cluster.find_primary() is None:  # else the members follow the view of the interrupted rescue
        assert int((await rescue(cluster, gone))["version"][1:]) >= cluster.acknowledged_version
    cluster.network.extra_delay_seconds = {
        host: rng.choice((0.0, 0.05)) for host in cluster.machines
    }

    async def restart_with_old_disk(machine: Machine) -> None:
        await asyncio.sleep(rng.choice((0.0, rng.uniform(0.0, 3.0))))
        machine.power_off()
        machine.disk_state.pages = old_pages[machine]
        machine.start()

    await asyncio.gather(*map(restart_with_old_disk, old_pages))
    await asyncio.sleep(3.0)
    for operator in operators:
        operator.cancel()
    cluster.network.extra_delay_seconds = {}
    assert await cluster.put_within(3.0)
    assert await cluster.read_newest() >= cluster.acknowledged_version
    assert {
        store.replica.newest_known_view().rescue_epoch > 0 for _, store in cluster.stores()
    } == {True}


@pytest.mark.parametrize("seed", range(12))
def test_a_rescue_during_changes_loses_no_reachable_version(seed):
    cluster = StoreCluster(seed, (*HOSTS, "10.5.0.1")[: 4 + seed % 2])
    cluster.run(_rescue_with_faults(cluster, Random(seed + 1000)))
    cluster.close()


# --- with registries and limiters


def test_registries_give_back_the_configuration_to_stores_that_lost_it():
    system = Cluster(3, proxies=1)
    system.run(system.start())
    system.wait(1.0)
    for host in (*system.proxies.values(), *system.stores.values()):
        host.power_off(wipe=True)
    system.wait(1.0)

    async def restart_all() -> None:
        for host in system.stores.values():
            host.start()

    system.run(restart_all())
    system.wait(2.0)
    _, answer = _call_rescue(system, {})
    assert [r["given_back"] for r in answer["case"]["reach"]] == [f"r{system.version}"] * 3
    system.close()


@pytest.fixture
def system():
    made = Cluster(7, proxies=2)
    made.rollback_check = made.run_in_background(made.check_versions_never_decrease())
    yield made
    made.close()


def _call_rescue(system, body: dict, core: int = 0):
    call = post("system.rescue", json.dumps(body).encode())
    result = system.run(
        exchange(system.streams("10.8.0.1"), system.control_addresses[core], call, 5.0)
    )
    return result.status, json.loads(result.body)


@given("a system at work whose core lost all disks")
def _(system):
    system.run(system.start())
    hosts = [*system.stores.values(), *system.registries.values()]
    system.wait(1.0)
    for host in hosts:
        host.power_off(wipe=True)
    system.wait(1.0)

    async def restart_all() -> None:
        for host in hosts:
            host.start()

    system.run(restart_all())


@then("requests are served throughout, and changes are refused")
def _(system):
    for _ in range(25):
        for ip in system.proxies:
            _, reply = system.run(system.send_once("once", at=ip))
            assert reply.status == 200
        system.wait(0.25)
    version, system.limiter_data = system.version, system.versions[system.version]
    assert not system.run(system.replace(3.0))
    assert {proxy.configuration.table.version for proxy in system.running_proxies()} == {version}


@when("operators review the rescue case and confirm it")
def _(system):
    replies = [_call_rescue(system, {}, n) for n in range(3)]
    assert {status for status, _ in replies} == {200} and len(
        {reply["case"]["token"] for _, reply in replies}
    ) == 1
    case = replies[0][1]["case"]
    assert case["waits"] == [] and case["epoch"] == 0 and not case["members"]
    assert system.limiter_data.decode().startswith(f'{{"version": "{case["version"]}"')
    system.token = case["token"]
    status, answer = _call_rescue(system, {"token": system.token}, 1)
    assert status == 200 and answer["done"]["version"] == case["version"], answer


@then("the limiters' configuration is in force, and changes are acknowledged")
def _(system):
    assert system.run(system.operator.read(3.0)) == system.limiter_data
    system.route("later", "beta")
    assert system.run(system.replace(2.0))
    assert not system.rollback_check.done()


@then("a repeated confirmation is refused")
def _(system):
    status, answer = _call_rescue(system, {"token": system.token})
    assert status == 409 and "nothing is lost" in answer["error"]
    for bad in ({"gone": "10.1.0.1"}, {"token": 7}, []):
        assert _call_rescue(system, bad)[0] == 400
