"""What an order gets by its number and content: the pure decision, and whole cores under lost
answers.
"""

from __future__ import annotations

import asyncio
import json
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from test_rescue import rescue
from test_store import World, _fault

from loomstand.store import change_history
from loomstand.store.change_history import NONE, Answer, ChangeHistory, digest, same
from loomstand.store.replica import Replica
from loomstand.store.views import Record
from loomstand.testing.simulation.cluster import Cluster

ORDERS = st.lists(st.tuples(st.integers(1, 12), st.sampled_from([b"a", b"b", b"c"])), max_size=60)


def served(sent: list[tuple[int, bytes]]):
    """What a register that never fails answers, each with what is remembered then."""
    held, data, known = 0, b"", NONE
    for version, content in sent:
        answer = known.judge(held, data, version, content)
        if answer is Answer.TAKE:
            held, data, known = version, content, known.after(version, digest(content))
        elif answer is Answer.PASSED:
            known = known.passed(version, digest(content))
        yield version, content, answer, held, known


@given(ORDERS, st.sampled_from([1, 3, 1024]))
@settings(max_examples=300, deadline=None, derandomize=True)
def test_one_number_is_confirmed_to_one_content_and_what_was_confirmed_is_never_refused(sent, kept):
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(change_history, "KEPT", kept)
        confirmed: dict[int, set[bytes]] = {}
        for version, content, answer, held, known in served(sent):
            mine = confirmed.setdefault(version, set())
            if answer is Answer.CONFLICT:
                assert content not in mine and mine
            else:
                mine.add(content)
            assert held == max(n for n, _ in known.taken) and len(known.taken) <= kept
            assert known.taken == tuple(sorted(known.taken))
            assert len({n for n, _ in known.taken}) == len(known.taken)
            # beyond the bound only a number with that many higher ones may have two
            assert len(mine) < 2 or len([n for n in confirmed if n > version]) >= kept
            assert ChangeHistory.read(known.body(), held, next(c for c in confirmed[held])) == known


def test_what_comes_with_another_configuration_or_spoilt_is_not_taken_over():
    known = NONE.after(3, digest(b"x")).after(7, digest(b"seven"))
    numbers, contents = known.body()
    assert ChangeHistory.read([numbers, contents], 7, b"seven") == known
    for body in (
        None,
        [],
        [[7, 3], contents],
        [[3, 3], contents],
        [numbers, contents[:-1]],
        [numbers, b""],
    ):
        assert ChangeHistory.read(body, 7, b"seven") == NONE
    assert (
        ChangeHistory.read(known.body(), 8, b"seven")
        == ChangeHistory.read(known.body(), 7, b"other")
        == NONE
    )
    record = Record("a", True, 3, None, 7, b"seven", 3, known)
    assert Record.read(record.pages()) == record
    ninth = Record("a", True, 3, None, 9, b"nine", 4).pages()["configuration"]
    older = record.pages() | {"configuration": ninth}
    assert Record.read(older).orders == NONE  # an older program wrote the configuration alone
    del older["orders"]
    assert Record.read(older).version == 9


def test_the_one_held_is_compared_by_what_it_says_and_older_ones_by_their_bytes():
    one = b'{"version":"r7","resources":[{"a":1,"b":"\\u00e9"}]}'
    anew = b'{ "resources": [{"b": "\xc3\xa9", "a": 1.0}], "version": "r7" }'
    known = NONE.after(7, digest(one))
    assert same(one, anew) and known.judge(7, one, 7, anew) is Answer.AGAIN
    assert known.judge(7, one, 7, one.replace(b"1", b"2")) is Answer.CONFLICT
    assert not same(b"[" * 100_000, b"[" * 100_001) and not same(b"{", b"[")
    assert known.after(9, digest(b"{}")).judge(9, b"{}", 7, anew) is Answer.CONFLICT
    assert NONE.judge(7, one, 7, b"{}") is Answer.CONFLICT  # held, and nothing known of its orders


# --- whole cores


class Ledger:
    """What operators sent and were told, each look at the promises as an answer comes."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.confirmed: dict[int, bytes] = {}
        self.refused: set[tuple[int, bytes]] = set()
        self.sent: list[tuple[int, str]] = []
        self.counts = {True: 0, False: 0, None: 0}

    async def order(self, host: str, version: int, mark: str, lost: bool = False) -> bool | None:
        """True if it was acknowledged, False if refused, None if nothing clear came back."""
        world, data = self.world, f"{version} {mark}".encode()
        world.sent = max(world.sent, version)
        world.contents.setdefault(version, set()).add(data)
        self.sent.append((version, mark))
        answer = await world.air.call((host, 7341), "put", {"version": version, "data": data}, 1.0)
        if answer.is_error() or lost:
            self.counts[None] += 1
            return None
        good = "conflict" not in answer.ok
        self.counts[good] += 1
        if good:
            world.acked = max(world.acked, version)
            assert self.confirmed.setdefault(version, data) == data, (
                f"two confirmed under r{version}"
            )
            assert (version, data) not in self.refused, f"r{version} refused, then confirmed"
            assert answer.ok["version"] >= version
        else:
            self.refused.add((version, data))
            assert self.confirmed.get(version) != data, f"r{version} confirmed, then refused"
            assert len(world.contents[version]) > 1, f"r{version} has one content, and is refused"
        return good

    def check(self) -> None:
        for version, data in self.world.in_force.items():
            assert (version, data) not in self.refused, f"r{version} refused and in force"
            assert self.confirmed.get(version, data) == data, f"another r{version} was confirmed"


async def operate(ledger: Ledger, rng: Random, mark: str, pause: float) -> None:
    """An operator whose answers get lost, who sends again what was unclear, clear, and long
    over.
    """
    world = ledger.world
    while True:
        await asyncio.sleep(rng.uniform(0.0, pause))
        hosts = [h for h, m in world.machines.items() if m.up] or [*world.machines]
        step = rng.random()
        if ledger.sent and step < 0.4:
            version, mine = rng.choice(ledger.sent[-12:] if step < 0.3 else ledger.sent)
        else:
            version, mine = max(1, world.sent + rng.choice((-2, -1, 0, 0, 1, 1, 1, 2))), mark
        if rng.random() < 0.2:  # to two machines at once
            other, lost = rng.choice((mine, mark + "'")), rng.random() < 0.3
            again = ledger.order(rng.choice(hosts), version, other, lost)
            await asyncio.gather(again, ledger.order(rng.choice(hosts), version, mine))
        else:
            await ledger.order(rng.choice(hosts), version, mine, rng.random() < 0.3)


async def a_day(world: World, rng: Random) -> Ledger:
    ledger = Ledger(world)
    for machine in world.machines.values():
        machine.start()
    await asyncio.sleep(1.5)
    world.first = False
    work = [
        asyncio.create_task(operate(ledger, Random(rng.random()), f"op{n}", 0.25)) for n in range(8)
    ]
    for _ in range(5):
        if rng.random() < 0.2:
            for machine in world.machines.values():
                machine.kill() if rng.random() < 0.5 else machine.power_off()
            await asyncio.sleep(rng.uniform(0.0, 0.8))
            for machine in world.machines.values():
                machine.start()
        else:
            struck = rng.choice([*world.machines.values()])
            first = world.primary_now() if rng.random() < 0.7 else None
            await _fault(world, rng, first or struck, True)
        await asyncio.sleep(rng.choice((0.05, 0.5, 2.0, 4.0)))
        for task in work:
            assert not task.done() or task.result()
    await asyncio.sleep(4.0)
    for task in work:
        task.cancel()
    for version, mark in [*dict.fromkeys(ledger.sent)][-40:]:
        # calm: each order gets a clear answer now, and the same from every machine
        for _ in range(20):
            answers = [await ledger.order(h, version, mark) for h in world.machines]
            if None not in answers:
                break
        assert len({*answers}) == 1
    ledger.check()
    assert await world.newest() >= world.acked
    return ledger


def play(seed: int) -> Ledger:
    world = World(seed)
    try:
        ledger = world.do(a_day(world, Random(seed)))
        world.close()
        return ledger
    finally:
        world.loop.close()


@pytest.mark.parametrize("seed", range(6))
def test_orders_sent_again_and_raced_through_takeovers_keep_one_content(seed):
    counts = play(seed).counts
    assert all(counts.values())


def forgets_at_start(patch) -> None:
    read = Record.read
    patch.setattr(
        Record,
        "read",
        staticmethod(lambda pages: read({k: v for k, v in pages.items() if k != "orders"})),
    )


def forgets_at_the_backup(patch) -> None:
    keep = Replica.keep
    patch.setattr(Replica, "keep", lambda self, *parts: keep(self, *parts[:4]))


def forgets_what_came_too_late(patch) -> None:
    patch.setattr(ChangeHistory, "passed", lambda self, *_: self)


def answers_all_the_same(patch) -> None:
    judge = ChangeHistory.judge
    patch.setattr(
        ChangeHistory,
        "judge",
        lambda *a: Answer.PASSED if judge(*a) is Answer.CONFLICT else judge(*a),
    )


def refuses_what_it_does_not_know(patch) -> None:
    judge = ChangeHistory.judge
    patch.setattr(
        ChangeHistory,
        "judge",
        lambda *a: Answer.CONFLICT if judge(*a) is Answer.PASSED else judge(*a),
    )


MUTANTS = (
    forgets_at_start,
    forgets_at_the_backup,
    forgets_what_came_too_late,
    answers_all_the_same,
    refuses_what_it_does_not_know,
)


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda m: m.__name__)
def test_without_its_memory_a_core_is_caught(mutant, monkeypatch):
    mutant(monkeypatch)
    with pytest.raises(AssertionError):
        for seed in range(8):
            play(seed)


# --- by the registry, and after a rescue


def said(town: Cluster, ip: str, version: int, more: str = "") -> int:
    """The status that a registry answers an order with, sent again until it's clear."""

    async def send() -> int:
        body = town.body(version).replace(b"5000ms", more.encode() or b"5000ms")
        town.operator.at = town.core_ips.index(ip)
        got = await town.operator.call("configuration.replace", body, 8.0)
        assert got is not None
        return got.status

    return town.do(send())


def test_registries_refuse_another_content_through_takeover_restart_and_a_lost_disk():
    town = Cluster(3)
    town.do(town.begin())
    first, number = town.core_ips, town.version + 5
    held = (number, number + 4)
    assert said(town, first[0], held[0]) == 200 == said(town, first[1], held[1])

    def look() -> None:
        for ip in town.core_ips:
            for version in held:
                assert said(town, ip, version) == 200
                assert said(town, ip, version, "4000ms") == 409
            assert said(town, ip, number + 1) == 200  # a lower one that was never taken
            assert said(town, ip, number + 1, "4000ms") == 409
        assert json.loads(town.do(town.operator.read()))["version"] == f"r{held[1]}"

    look()
    for trouble in ("kill", "power", "wipe"):
        struck = [ip for ip in first if town.serves(ip)] if trouble != "power" else first
        assert struck
        for ip in struck:
            for host in town.core(ip):
                host.kill() if trouble == "kill" else host.power_off(wipe=trouble == "wipe")
        if trouble == "kill":
            town.wait(2.0)  # another takes over meanwhile

        async def back(hosts) -> None:
            for host in hosts:
                host.start()
            await asyncio.sleep(4.0)

        town.do(back([host for ip in struck for host in town.core(ip)]))
        look()
    town.close()


def test_after_a_rescue_what_was_confirmed_is_not_refused():
    world = World(5)
    world.start()
    world.wait(2.0)
    world.first = False
    ledger = Ledger(world)
    for version in (2, 5, 7):
        assert world.do(ledger.order("10.1.0.1", version, "ann"))
    lost = [world.whom("the primary"), world.whom("the backup")]
    for machine in lost:
        machine.power_off(wipe=True)
    world.wait(0.2)
    world.start()
    world.wait(5.0)

    world.do(rescue(world))
    world.wait(1.0)
    for host in world.machines:
        assert all(world.do(ledger.order(host, version, "ann")) for version in (2, 5, 7))
        assert world.do(ledger.order(host, 7, "bob")) is False
    world.close()


def leads_again() -> bool | None:
    """What another content gets of one that led before, was away while the first was acknowledged,
    and leads anew.
    """
    world = World(2, tuple(f"10.{zone}.0.1" for zone in range(1, 4)))
    ledger = Ledger(world)
    try:
        world.start()
        world.wait(2.0)
        world.first = False
        old = world.primary()
        assert world.do(ledger.order(old.host, 9, "ann"))
        rest = [h for h in world.machines if h != old.host]
        world.sky.apart([old.host], rest)
        world.wait(4.0)
        assert world.do(ledger.order(world.primary().host, 7, "ann"))  # too late, and acknowledged
        world.sky.mend()
        world.wait(3.0)
        for _ in range(6):
            if (now := world.primary()) is old:
                return world.do(ledger.order(old.host, 7, "bob"))
            now.power_off()
            world.wait(4.0)
            world.start()
            world.wait(4.0)
        raise LookupError("it never led again")
    finally:
        world.loop.close()


def keeps_what_an_earlier_reign_knew(patch) -> None:
    crown = Replica.crown

    def mine(self, now):
        before, done = self.orders, crown(self, now)
        if done and before.taken:
            self.orders = before
        return done

    patch.setattr(Replica, "crown", mine)


def test_one_that_leads_again_knows_what_was_acknowledged_meanwhile(monkeypatch):
    assert leads_again() is False
    keeps_what_an_earlier_reign_knew(monkeypatch)
    with pytest.raises(AssertionError, match="two confirmed under r7"):
        leads_again()
