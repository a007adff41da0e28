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
from test_store import HOSTS, MEMBERS, PORT, VIEW, World, member

from loomstand.store.replica import Replica, State
from loomstand.store.rescue import Told, case
from loomstand.store.views import MARGIN, Record, View
from loomstand.testing.simulation.cluster import Cluster
from loomstand.testing.simulation.http_log import exchange, post
from loomstand.testing.simulation.machine import Machine

# the steps that both features have
globals().update(
    {k: v for k, v in vars(test_store).items() if k.startswith(StepNamePrefix.step_def.value)}
)
world = test_store.world
scenarios("../features/rescue.feature")


async def ask(world: World, gone=(), token=None, at: str = "") -> dict:
    """A look at the rescue, or the word for it, at a member that runs."""
    host = at or next(h for h, m in world.machines.items() if m.runs and h not in gone)
    got = await world.air.call((host, PORT), "rescue", {"gone": [*gone], "token": token}, 5.0)
    return got.ok


async def rescue(world: World, gone=()) -> dict:
    """Looks and gives the word till it's done, as grants may still stand."""
    for _ in range(20):
        found = (await ask(world, gone))["case"]
        if not found["waits"] and "done" in (said := await ask(world, gone, found["token"])):
            return said["done"]
        await asyncio.sleep(0.3)
    raise AssertionError(found)


def waits(world: World, gone=()) -> list[str]:
    found = world.do(ask(world, gone))["case"]
    assert "no" in world.do(ask(world, gone, found["token"]))
    return found["waits"]


@given("a core that lost the disks of the primary and the backup")
def _(world):
    _at_work(world)
    both = [world.whom("the primary"), world.whom("the backup")]
    for machine in both:
        machine.power_off(wipe=True)
    world.wait(0.2)
    world.start()
    world.wait(5.0)


def _at_work(world):
    world.start()
    world.wait(2.0)
    world.first = False
    assert world.do(world.put_within(0.5))
    world.wait(0.3)


@then(parsers.parse("nothing is acknowledged for {s:d} s"))
def _(world, s):
    assert not world.do(world.put_within(s))


@then("a rescue is due")
def _(world):
    found = world.do(ask(world))["case"]
    assert found["waits"] == [] and found["version"] == f"r{world.acked}"
    assert sum(m["lost"] for m in found["members"]) == 2 and len(found["reach"]) == 4


@when("operators rescue it")
def _(world):
    world.done = world.do(rescue(world))


@then("the newest acknowledged version is in force, under an epoch of the next million")
def _(world):
    view = world.primary().programs[0].replica.record.view
    assert MARGIN <= view.epoch < 2 * MARGIN and view.rescue == view.epoch == world.done["epoch"]
    assert world.done["version"] == f"r{world.acked}" and len(view.voters) == 3 and view.backup
    assert world.do(world.newest()) == world.acked


@when("the primary and a voter lose power")
def _(world):
    world.away = [world.whom("the primary"), world.whom("a voter")]
    for machine in world.away:
        machine.power_off()


@then("a rescue waits for each that is not named, and for one that is named and answers")
def _(world):
    first, voter = (m.host for m in world.away)
    for gone, waited in (([], [first, voter]), ([first], [voter]), ([first, voter], [])):
        said = waits(world, gone) if waited else world.do(ask(world, gone))["case"]["waits"]
        assert sorted(w.split()[0] for w in said) == sorted(waited)
        assert all("doesn't answer" in w for w in said)
    there = next(h for h, m in world.machines.items() if m.runs)
    said = world.do(ask(world, [first, voter, there], at=there))["case"]["waits"]
    assert f"{there}: named as gone, and answers" in said


@when("the voter starts again")
def _(world):
    _all_do(world, world.away[1:], Machine.start)


@then(parsers.parse('a rescue waits, as "{words}"'))
def _(world, words):
    assert len(said := waits(world)) == 1 and words in said[0]


@when("the primary loses power")
def _(old):
    old.power_off()


@when("operators look, and then a stand-by is killed")
def _(world):
    world.said = world.do(ask(world))["case"]
    assert world.said["waits"] == []
    next(m for m in world.machines.values() if m.host != world.said["chosen"]).kill()


@then("their token is refused, and one that was made up")
def _(world):
    for token in (world.said["token"], "3-0123456789ab"):
        assert "another one than that of this token" in world.do(ask(world, (), token))["no"][0]
    assert world.primary_now() is None


@when("two operators rescue it at one moment, by different machines")
def _(world):
    async def both() -> list[dict]:
        token = (await ask(world))["case"]["token"]
        return await asyncio.gather(*(ask(world, (), token, at) for at in HOSTS[1:3]))

    world.said = world.do(both())


@then("one of them founded a view that all members follow")
def _(world):
    done = [said["done"] for said in world.said if "done" in said]
    assert len(done) == 1 and any("no" in said for said in world.said)
    _one_view(world, done[0]["epoch"])


@then("all members follow one view")
def _(world):
    _one_view(world, world.done["epoch"])
    view = world.primary().programs[0].replica.record.view
    assert (
        len(view.voters) == 3 and view.epoch > view.rescue == world.done["epoch"]
    )  # one of them votes again


def _one_view(world, epoch):
    world.wait(1.0)
    views = {g.replica.base().epoch for _, g in world.stores()}
    assert len(views) == 1 and views.pop() >= epoch and len(world.stores()) == 4


@when(parsers.re("the primary and a voter freeze"))
def _(world):
    world.away = [world.whom("the primary"), world.whom("a voter")]
    for machine in world.away:
        machine.freeze()


@when("operators rescue it, naming both")
def _(world):
    world.done = world.do(rescue(world, [m.host for m in world.away]))
    assert world.do(world.put_within(0.3, tuple(m.host for m in world.away)))


@when("both start again")
def _(world):
    _all_do(world, world.away, Machine.start)


@when("both thaw")
def _(world):
    _all_do(world, world.away, Machine.thaw)


def _all_do(world, machines, what):
    """At one moment."""

    async def all_() -> None:
        for machine in machines:
            what(machine)

    world.do(all_())


@then("the old primary serves nothing of its old view")
def _(world):
    for _ in range(600):
        world.wait(0.005)
        for store in (g for m, g in world.stores() if m is world.away[0]):
            view = store.replica.record.view
            assert (
                store.replica.lease_left(store.clock()) == 0.0 or view.epoch >= world.done["epoch"]
            )


def test_a_majority_that_was_given_up_and_goes_on_behind_a_cut_stands_down_once_it_is_mended():
    class Cut(World):
        def check(self) -> None:
            """Two serve, as the operators' word was wrong: nothing can bar that before the cut is
            mended.
            """

    world = Cut()
    _at_work(world)
    away = [world.whom("the primary"), world.whom("a voter")]
    left = [h for h in HOSTS if h not in (m.host for m in away)]
    world.sky.apart([m.host for m in away], left)
    world.wait(2.0)
    gone = [m.host for m in away]

    async def wrong() -> None:
        found = (await ask(world, gone, at=left[0]))["case"]
        assert "done" in await ask(world, gone, found["token"], left[0])

    world.do(wrong())
    old = away[0].programs[0]
    assert old.replica.lease_left(old.clock()) > 0.0
    world.sky.mend()
    world.wait(0.3)
    serving = [g for _, g in world.stores() if g.replica.lease_left(g.clock()) > 0.0]
    assert len(serving) == 1 and serving[0] is not old
    assert all(m.programs[0].replica.record.promised >= MARGIN for m in away)
    World.check(world)
    world.close()


def test_a_member_that_was_fenced_remembers_it_after_a_restart():
    new = View(MARGIN, MEMBERS[1], MEMBERS[3], (MEMBERS[1], MEMBERS[3]), (), MARGIN)
    replica = member(MEMBERS[0])
    replica.on_grant("c", 3, 5.0)
    assert replica.leads(5.1) and replica.fenced() is None
    replica.notice(View.read(new.body()))
    assert not replica.leads(5.1)
    record = replica.fenced()
    again = Replica(replica.me, replica.seeds, Record.read(record.pages()), 9.0, Random(1))
    for peer in again.peers.values():
        peer.answered = 20.0
    assert again.beat(20.0, MEMBERS[2].address)["ask"] == 0
    again.wrote(20.0, record)
    assert again.fenced() is None and not again.may_promise(20.0, 9, "b", 0)
    later = View(MARGIN + 7, MEMBERS[3], None, new.voters, (), MARGIN)
    replica = member(MEMBERS[1])
    replica.wrote(5.0, replica.install(new))
    replica.notice(later)  # of the same rescue: nobody is fenced by an ordinary change
    assert replica.promised == MARGIN


def said(n: int, **more) -> Told:
    usual = {
        "state": State.FIT,
        "founder": False,
        "age": 60.0,
        "serves": 0.0,
        "known": 3,
        "view": VIEW,
    }
    return Told(MEMBERS[n], **usual | {"force": 5, "offered": 0, "disk": 0} | more)


def test_what_a_rescue_waits_for_and_whom_it_chooses():
    seeds = [m.address for m in MEMBERS[:3]]
    gone = {HOSTS[0], HOSTS[1]}
    found = case([said(2), said(3, offered=6)], gone, seeds)
    assert found.waits() == [] and found.chosen().member == MEMBERS[3]
    assert case([said(2, disk=6), said(3, offered=6)], gone, seeds).chosen().member == MEMBERS[3]
    assert case([said(2), said(3)], gone, seeds).chosen().member == MEMBERS[2]
    assert case([said(2), said(3)], gone, seeds).token() != found.token()
    # the majority is there, but both who had the data are lost: nobody could ever be elected
    apart = View(3, MEMBERS[0], MEMBERS[3], MEMBERS[:3])
    there = [said(1, view=apart), said(2, view=apart)]
    assert case(there, {HOSTS[0], HOSTS[3]}, seeds).waits() == []
    assert "the store recovers" in case([*there, said(3, view=apart)], {HOSTS[0]}, seeds).waits()[0]
    # a rescue that broke off: those who promised it have given up their view, majority or not
    broken = [said(1, known=MARGIN + 4), said(2), said(3)]
    assert case(broken, {HOSTS[0]}, seeds).waits() == []
    for told, words in (
        ([said(2)], "two machines"),
        ([said(2), said(3, age=1.0)], "has run for less"),
        ([said(2), said(3, view=None, founder=True, known=0)], ""),
        ([said(2, view=None, founder=True), said(3, view=None)], "first start"),
        # named, so given up with what it has
        ([said(2), said(3), said(1, state=State.SICK, offered=9)], ""),
    ):
        waits = case(told, gone, seeds).waits()
        assert words in waits[0] if words else waits == [], waits
    sick = [said(0, state=State.SICK), said(2), said(3)]
    assert "disk is in trouble" in case(sick, {HOSTS[1]}, seeds).waits()[0]


# --- at random


async def _lost_and_found(world: World, rng: Random) -> None:
    """Two voters are lost amid changes, one perhaps with a new disk in its place; a rescue; the old
    disks come back at moments of their own, while links are slow and changes go on.
    """
    for machine in world.machines.values():
        machine.start()
    await asyncio.sleep(2.0)
    world.first = False
    operators = [asyncio.create_task(test_store._operate(world, n, rng)) for n in ("ann", "bob")]
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    lost = rng.sample(
        [m.address[0] for m in world.primary().programs[0].replica.record.view.voters], 2
    )
    # not both: the old disk's return in its place is one more loss
    renewed = rng.choice([*lost, ""])
    old, named = {}, []
    for machine in (world.machines[host] for host in lost):
        machine.power_off()
        old[machine] = dict(machine.platter.pages)
        if machine.host == renewed:
            machine.platter.wipe()
            machine.start()
        else:
            named.append(machine.host)
    await asyncio.sleep(rng.uniform(4.5, 6.0))
    found = (await ask(world, named))["case"]
    # what nobody in reach holds can't be known
    world.acked = min(world.acked, int(found["version"][1:]))
    world.sent += 100
    if rng.random() < 0.5:  # a first one breaks off
        first = world.machines[found["chosen"]]
        word = asyncio.create_task(ask(world, named, found["token"], first.host))
        while all(g.replica.promised < MARGIN for _, g in world.stores()):
            await asyncio.sleep(0.002)
        await asyncio.sleep(rng.uniform(0.0, 0.04))
        first.kill()
        word.cancel()
        await asyncio.sleep(0.1)
        first.start()
        await asyncio.sleep(4.5)
    if world.primary_now() is None:  # else all had the view already
        assert int((await rescue(world, named))["version"][1:]) >= world.acked
    world.sky.slow = {h: rng.choice((0.0, 0.05)) for h in world.machines}

    async def back(machine: Machine) -> None:
        await asyncio.sleep(rng.choice((0.0, rng.uniform(0.0, 3.0))))
        machine.power_off()
        machine.platter.pages = old[machine]
        machine.start()

    await asyncio.gather(*map(back, old))
    await asyncio.sleep(3.0)
    for operator in operators:
        operator.cancel()
    world.sky.slow = {}
    assert await world.put_within(3.0)
    assert await world.newest() >= world.acked
    assert {g.replica.base().rescue > 0 for _, g in world.stores()} == {True}


@pytest.mark.parametrize("seed", range(12))
def test_a_rescue_amid_changes_loses_nothing_that_was_in_reach(seed):
    world = World(seed, (*HOSTS, "10.5.0.1")[: 4 + seed % 2])
    world.do(_lost_and_found(world, Random(seed + 1000)))
    world.close()


# --- with registries and limiters


def test_registries_give_their_stores_back_what_those_lost():
    town = Cluster(3, proxies=1)
    town.do(town.begin())
    town.wait(1.0)
    for host in (*town.proxies.values(), *town.stores.values()):
        host.power_off(wipe=True)
    town.wait(1.0)

    async def again() -> None:
        for host in town.stores.values():
            host.start()

    town.do(again())
    town.wait(2.0)
    _, answer = _word(town, {})
    assert [r["given_back"] for r in answer["case"]["reach"]] == [f"r{town.version}"] * 3
    town.close()


@pytest.fixture
def town():
    made = Cluster(7, proxies=2)
    made.back = made.behind(made.going_back())
    yield made
    made.close()


def _word(town, body: dict, core: int = 0):
    call = post("system.rescue", json.dumps(body).encode())
    got = town.do(exchange(town.streams("10.8.0.1"), town.controls[core], call, 5.0))
    return got.status, json.loads(got.body)


@given("a town at work whose core lost all disks")
def _(town):
    town.do(town.begin())
    hosts = [*town.stores.values(), *town.registries.values()]
    town.wait(1.0)
    for host in hosts:
        host.power_off(wipe=True)
    town.wait(1.0)

    async def again() -> None:
        for host in hosts:
            host.start()

    town.do(again())


@then("requests are served all the while and changes are not")
def _(town):
    for _ in range(25):
        for ip in town.proxies:
            _, reply = town.do(town.once("once", at=ip))
            assert reply.status == 200
        town.wait(0.25)
    held, town.held = town.version, town.versions[town.version]
    assert not town.do(town.replace(3.0))
    assert {s.table.version for s in town.all_proxies()} == {held}


@when("its operators look at the rescue and give their word")
def _(town):
    looks = [_word(town, {}, n) for n in range(3)]
    assert {status for status, _ in looks} == {200} and len(
        {s["case"]["token"] for _, s in looks}
    ) == 1
    found = looks[0][1]["case"]
    assert found["waits"] == [] and found["epoch"] == 0 and not found["members"]
    assert town.held.decode().startswith(f'{{"version": "{found["version"]}"')
    town.token = found["token"]
    status, answer = _word(town, {"token": town.token}, 1)
    assert status == 200 and answer["done"]["version"] == found["version"], answer


@then("the configuration that the limiters held is in force, and changes are")
def _(town):
    assert town.do(town.operator.read(3.0)) == town.held
    town.route("later", "beta")
    assert town.do(town.replace(2.0))
    assert not town.back.done()


@then("the same word is refused now")
def _(town):
    status, answer = _word(town, {"token": town.token})
    assert status == 409 and "nothing is lost" in answer["error"]
    for bad in ({"gone": "10.1.0.1"}, {"token": 7}, []):
        assert _word(town, bad)[0] == 400
