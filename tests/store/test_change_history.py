"""What an order gets by its number and content: the pure decision, and whole cores under lost
answers.
"""

from __future__ import annotations

import asyncio
import json
from random import Random

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from test_rescue import rescue
from test_store import StoreCluster, _fault

from loomstand.rpc.messages.rows import ChangeHistoryRow
from loomstand.store import change_history
from loomstand.store.change_history import (
    EMPTY_HISTORY,
    ChangeHistory,
    Verdict,
    digest,
    is_same_configuration,
)
from loomstand.store.record import Record
from loomstand.store.replica import Replica
from loomstand.testing.simulation.cluster import Cluster

ORDERS = st.lists(st.tuples(st.integers(1, 12), st.sampled_from([b"a", b"b", b"c"])), max_size=60)


def served(sent: list[tuple[int, bytes]]):
    """What a register that never fails answers, each with what is remembered then."""
    held, data, known = 0, b"", EMPTY_HISTORY
    for version, content in sent:
        answer = known.judge(held, data, version, content)
        if answer is Verdict.ACCEPT:
            held, data, known = version, content, known.appended(version, digest(content))
        elif answer is Verdict.SUPERSEDED:
            known = known.with_superseded(version, digest(content))
        yield version, content, answer, held, known


@given(ORDERS, st.sampled_from([1, 3, 1024]))
@settings(max_examples=300, deadline=None, derandomize=True)
def test_one_number_is_confirmed_to_one_content_and_what_was_confirmed_is_never_refused(sent, kept):
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(change_history, "MAX_ENTRIES", kept)
        confirmed: dict[int, set[bytes]] = {}
        for version, content, answer, held, known in served(sent):
            mine = confirmed.setdefault(version, set())
            if answer is Verdict.CONFLICT:
                assert content not in mine and mine
            else:
                mine.add(content)
            assert held == max(n for n, _ in known.entries) and len(known.entries) <= kept
            assert known.entries == tuple(sorted(known.entries))
            assert len({n for n, _ in known.entries}) == len(known.entries)
            # beyond the bound only a number with that many higher ones may have two
            assert len(mine) < 2 or len([n for n in confirmed if n > version]) >= kept
            assert (
                ChangeHistory.from_row(known.to_row(), held, next(c for c in confirmed[held]))
                == known
            )


def test_what_comes_with_another_configuration_or_spoilt_is_not_taken_over():
    known = EMPTY_HISTORY.appended(3, digest(b"x")).appended(7, digest(b"seven"))
    numbers, contents = known.to_row().versions, known.to_row().digests
    assert ChangeHistory.from_row(ChangeHistoryRow(numbers, contents), 7, b"seven") == known
    for row in (
        None,
        ChangeHistoryRow([], b""),
        ChangeHistoryRow([7, 3], contents),
        ChangeHistoryRow([3, 3], contents),
        ChangeHistoryRow(numbers, contents[:-1]),
        ChangeHistoryRow(numbers, b""),
    ):
        assert ChangeHistory.from_row(row, 7, b"seven") == EMPTY_HISTORY
    assert (
        ChangeHistory.from_row(known.to_row(), 8, b"seven")
        == ChangeHistory.from_row(known.to_row(), 7, b"other")
        == EMPTY_HISTORY
    )
    record = Record("a", True, 3, None, 7, b"seven", 3, known)
    assert Record.from_pages(record.pages()) == record
    for page in (None, []):  # as a page, which nobody checked before
        spoilt = record.pages() | {"orders": cbor2.dumps(page)}
        assert Record.from_pages(spoilt).history == EMPTY_HISTORY
    ninth = Record("a", True, 3, None, 9, b"nine", 4).pages()["configuration"]
    older = record.pages() | {"configuration": ninth}
    assert (
        Record.from_pages(older).history == EMPTY_HISTORY
    )  # an older program wrote the configuration alone
    del older["orders"]
    assert Record.from_pages(older).version == 9


def test_the_one_held_is_compared_by_what_it_says_and_older_ones_by_their_bytes():
    one = b'{"version":"r7","resources":[{"a":1,"b":"\\u00e9"}]}'
    anew = b'{ "resources": [{"b": "\xc3\xa9", "a": 1.0}], "version": "r7" }'
    known = EMPTY_HISTORY.appended(7, digest(one))
    assert is_same_configuration(one, anew) and known.judge(7, one, 7, anew) is Verdict.REPEATED
    assert known.judge(7, one, 7, one.replace(b"1", b"2")) is Verdict.CONFLICT
    assert not is_same_configuration(b"[" * 100_000, b"[" * 100_001) and not is_same_configuration(
        b"{", b"["
    )
    assert known.appended(9, digest(b"{}")).judge(9, b"{}", 7, anew) is Verdict.CONFLICT
    assert (
        EMPTY_HISTORY.judge(7, one, 7, b"{}") is Verdict.CONFLICT
    )  # held, and nothing known of its orders


# --- whole cores


class Ledger:
    """What operators sent and were told, each look at the promises as an answer comes."""

    def __init__(self, cluster: StoreCluster) -> None:
        self.cluster = cluster
        self.confirmed: dict[int, bytes] = {}
        self.refused: set[tuple[int, bytes]] = set()
        self.sent: list[tuple[int, str]] = []
        self.counts = {True: 0, False: 0, None: 0}

    async def order(self, host: str, version: int, mark: str, lost: bool = False) -> bool | None:
        """True if it was acknowledged, False if refused, None if nothing clear came back."""
        cluster, data = self.cluster, f"{version} {mark}".encode()
        cluster.sent = max(cluster.sent, version)
        cluster.contents.setdefault(version, set()).add(data)
        self.sent.append((version, mark))
        answer = await cluster.client.call(
            (host, 7341), "put", {"version": version, "data": data}, 1.0
        )
        if answer.is_error() or lost:
            self.counts[None] += 1
            return None
        good = "conflict" not in answer.ok
        self.counts[good] += 1
        if good:
            cluster.acknowledged_version = max(cluster.acknowledged_version, version)
            assert self.confirmed.setdefault(version, data) == data, (
                f"two confirmed under r{version}"
            )
            assert (version, data) not in self.refused, f"r{version} refused, then confirmed"
            assert answer.ok["version"] >= version
        else:
            self.refused.add((version, data))
            assert self.confirmed.get(version) != data, f"r{version} confirmed, then refused"
            assert len(cluster.contents[version]) > 1, f"r{version} has one content, and is refused"
        return good

    def check(self) -> None:
        for version, data in self.cluster.committed.items():
            assert (version, data) not in self.refused, f"r{version} refused and in force"
            assert self.confirmed.get(version, data) == data, f"another r{version} was confirmed"


async def operate(ledger: Ledger, rng: Random, mark: str, pause: float) -> None:
    """An operator whose answers get lost, who sends again what was unclear, clear, and long
    over.
    """
    cluster = ledger.cluster
    while True:
        await asyncio.sleep(rng.uniform(0.0, pause))
        hosts = [h for h, m in cluster.machines.items() if m.up] or [*cluster.machines]
        step = rng.random()
        if ledger.sent and step < 0.4:
            version, mine = rng.choice(ledger.sent[-12:] if step < 0.3 else ledger.sent)
        else:
            version, mine = max(1, cluster.sent + rng.choice((-2, -1, 0, 0, 1, 1, 1, 2))), mark
        if rng.random() < 0.2:  # to two machines at once
            other, lost = rng.choice((mine, mark + "'")), rng.random() < 0.3
            again = ledger.order(rng.choice(hosts), version, other, lost)
            await asyncio.gather(again, ledger.order(rng.choice(hosts), version, mine))
        else:
            await ledger.order(rng.choice(hosts), version, mine, rng.random() < 0.3)


async def a_day(cluster: StoreCluster, rng: Random) -> Ledger:
    ledger = Ledger(cluster)
    for machine in cluster.machines.values():
        machine.start()
    await asyncio.sleep(1.5)
    cluster.first = False
    work = [
        asyncio.create_task(operate(ledger, Random(rng.random()), f"op{n}", 0.25)) for n in range(8)
    ]
    for _ in range(5):
        if rng.random() < 0.2:
            for machine in cluster.machines.values():
                machine.kill() if rng.random() < 0.5 else machine.power_off()
            await asyncio.sleep(rng.uniform(0.0, 0.8))
            for machine in cluster.machines.values():
                machine.start()
        else:
            struck = rng.choice([*cluster.machines.values()])
            first = cluster.find_primary() if rng.random() < 0.7 else None
            await _fault(cluster, rng, first or struck, True)
        await asyncio.sleep(rng.choice((0.05, 0.5, 2.0, 4.0)))
        for task in work:
            assert not task.done() or task.result()
    await asyncio.sleep(4.0)
    for task in work:
        task.cancel()
    for version, mark in [*dict.fromkeys(ledger.sent)][-40:]:
        # calm: each order gets a clear answer now, and the same from every machine
        for _ in range(20):
            answers = [await ledger.order(h, version, mark) for h in cluster.machines]
            if None not in answers:
                break
        assert len({*answers}) == 1
    ledger.check()
    assert await cluster.read_newest() >= cluster.acknowledged_version
    return ledger


def play(seed: int) -> Ledger:
    cluster = StoreCluster(seed)
    try:
        ledger = cluster.do(a_day(cluster, Random(seed)))
        cluster.close()
        return ledger
    finally:
        cluster.loop.close()


@pytest.mark.parametrize("seed", range(6))
def test_orders_sent_again_and_raced_through_takeovers_keep_one_content(seed):
    counts = play(seed).counts
    assert all(counts.values())


def forgets_at_start(patch) -> None:
    read = Record.from_pages
    patch.setattr(
        Record,
        "from_pages",
        staticmethod(lambda pages: read({k: v for k, v in pages.items() if k != "orders"})),
    )


def forgets_at_the_backup(patch) -> None:
    keep = Replica.accept_write
    patch.setattr(Replica, "accept_write", lambda self, *parts: keep(self, *parts[:4]))


def forgets_what_came_too_late(patch) -> None:
    patch.setattr(ChangeHistory, "with_superseded", lambda self, *_: self)


def answers_all_the_same(patch) -> None:
    judge = ChangeHistory.judge
    patch.setattr(
        ChangeHistory,
        "judge",
        lambda *a: Verdict.SUPERSEDED if judge(*a) is Verdict.CONFLICT else judge(*a),
    )


def refuses_what_it_does_not_know(patch) -> None:
    judge = ChangeHistory.judge
    patch.setattr(
        ChangeHistory,
        "judge",
        lambda *a: Verdict.CONFLICT if judge(*a) is Verdict.SUPERSEDED else judge(*a),
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


def said(system: Cluster, ip: str, version: int, more: str = "") -> int:
    """The status that a registry answers an order with, sent again until it's clear."""

    async def send() -> int:
        body = system.body(version).replace(b"5000ms", more.encode() or b"5000ms")
        system.operator.at = system.core_ips.index(ip)
        got = await system.operator.call("configuration.replace", body, 8.0)
        assert got is not None
        return got.status

    return system.do(send())


def test_registries_refuse_another_content_through_takeover_restart_and_a_lost_disk():
    system = Cluster(3)
    system.do(system.begin())
    first, number = system.core_ips, system.version + 5
    held = (number, number + 4)
    assert said(system, first[0], held[0]) == 200 == said(system, first[1], held[1])

    def look() -> None:
        for ip in system.core_ips:
            for version in held:
                assert said(system, ip, version) == 200
                assert said(system, ip, version, "4000ms") == 409
            assert said(system, ip, number + 1) == 200  # a lower one that was never taken
            assert said(system, ip, number + 1, "4000ms") == 409
        assert json.loads(system.do(system.operator.read()))["version"] == f"r{held[1]}"

    look()
    for trouble in ("kill", "power", "wipe"):
        struck = [ip for ip in first if system.serves(ip)] if trouble != "power" else first
        assert struck
        for ip in struck:
            for host in system.core(ip):
                host.kill() if trouble == "kill" else host.power_off(wipe=trouble == "wipe")
        if trouble == "kill":
            system.wait(2.0)  # another takes over meanwhile

        async def back(hosts) -> None:
            for host in hosts:
                host.start()
            await asyncio.sleep(4.0)

        system.do(back([host for ip in struck for host in system.core(ip)]))
        look()
    system.close()


def test_after_a_rescue_what_was_confirmed_is_not_refused():
    cluster = StoreCluster(5)
    cluster.start()
    cluster.wait(2.0)
    cluster.first = False
    ledger = Ledger(cluster)
    for version in (2, 5, 7):
        assert cluster.do(ledger.order("10.1.0.1", version, "ann"))
    lost = [cluster.machine_in_role("the primary"), cluster.machine_in_role("the backup")]
    for machine in lost:
        machine.power_off(wipe=True)
    cluster.wait(0.2)
    cluster.start()
    cluster.wait(5.0)

    cluster.do(rescue(cluster))
    cluster.wait(1.0)
    for host in cluster.machines:
        assert all(cluster.do(ledger.order(host, version, "ann")) for version in (2, 5, 7))
        assert cluster.do(ledger.order(host, 7, "bob")) is False
    cluster.close()


def leads_again() -> bool | None:
    """What another content gets of one that led before, was away while the first was acknowledged,
    and leads anew.
    """
    cluster = StoreCluster(2, tuple(f"10.{zone}.0.1" for zone in range(1, 4)))
    ledger = Ledger(cluster)
    try:
        cluster.start()
        cluster.wait(2.0)
        cluster.first = False
        old = cluster.primary()
        assert cluster.do(ledger.order(old.host, 9, "ann"))
        rest = [h for h in cluster.machines if h != old.host]
        cluster.network.apart([old.host], rest)
        cluster.wait(4.0)
        assert cluster.do(
            ledger.order(cluster.primary().host, 7, "ann")
        )  # too late, and acknowledged
        cluster.network.mend()
        cluster.wait(3.0)
        for _ in range(6):
            if (now := cluster.primary()) is old:
                return cluster.do(ledger.order(old.host, 7, "bob"))
            now.power_off()
            cluster.wait(4.0)
            cluster.start()
            cluster.wait(4.0)
        raise LookupError("it never led again")
    finally:
        cluster.loop.close()


def keeps_what_an_earlier_term_knew(patch) -> None:
    become_established = Replica.become_established

    def mine(self, now):
        before, done = self.history, become_established(self, now)
        if done and before.entries:
            self.history = before
        return done

    patch.setattr(Replica, "become_established", mine)


def test_one_that_leads_again_knows_what_was_acknowledged_meanwhile(monkeypatch):
    assert leads_again() is False
    keeps_what_an_earlier_term_knew(monkeypatch)
    with pytest.raises(AssertionError, match="two confirmed under r7"):
        leads_again()
