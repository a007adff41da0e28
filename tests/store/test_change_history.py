"""Tests of the verdict on a configuration change, which depends on its version and content.

They check the decision alone, and simulated clusters in which operators lose some answers.
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
from test_store import StoreCluster, inject_fault

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
    """Judges the changes as a single store does that never fails.

    Yields the version, content and verdict of each change, and the committed version and the change
    history after it.
    """
    committed, data, history = 0, b"", EMPTY_HISTORY
    for version, content in sent:
        verdict = history.judge(committed, data, version, content)
        if verdict is Verdict.ACCEPT:
            committed, data = version, content
            history = history.appended(version, digest(content))
        elif verdict is Verdict.SUPERSEDED:
            history = history.with_superseded(version, digest(content))
        yield version, content, verdict, committed, history


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


def test_a_history_of_another_configuration_or_a_malformed_one_is_dropped():
    history = EMPTY_HISTORY.appended(3, digest(b"x")).appended(7, digest(b"seven"))
    versions, digests = history.to_row().versions, history.to_row().digests
    assert ChangeHistory.from_row(ChangeHistoryRow(versions, digests), 7, b"seven") == history
    for row in (
        None,
        ChangeHistoryRow([], b""),
        ChangeHistoryRow([7, 3], digests),
        ChangeHistoryRow([3, 3], digests),
        ChangeHistoryRow(versions, digests[:-1]),
        ChangeHistoryRow(versions, b""),
    ):
        assert ChangeHistory.from_row(row, 7, b"seven") == EMPTY_HISTORY
    assert (
        ChangeHistory.from_row(history.to_row(), 8, b"seven")
        == ChangeHistory.from_row(history.to_row(), 7, b"other")
        == EMPTY_HISTORY
    )
    record = Record("a", True, 3, None, 7, b"seven", 3, history)
    assert Record.from_pages(record.pages()) == record
    for page in (None, []):  # pages that aren't a history
        malformed = record.pages() | {"orders": cbor2.dumps(page)}
        assert Record.from_pages(malformed).history == EMPTY_HISTORY
    newer_page = Record("a", True, 3, None, 9, b"nine", 4).pages()["configuration"]
    mixed_pages = record.pages() | {"configuration": newer_page}
    # an earlier release wrote the configuration without the history
    assert Record.from_pages(mixed_pages).history == EMPTY_HISTORY
    del mixed_pages["orders"]
    assert Record.from_pages(mixed_pages).version == 9


def test_the_committed_content_is_compared_as_json_and_older_ones_by_their_bytes():
    committed = b'{"version":"r7","resources":[{"a":1,"b":"\\u00e9"}]}'
    reencoded = b'{ "resources": [{"b": "\xc3\xa9", "a": 1.0}], "version": "r7" }'
    history = EMPTY_HISTORY.appended(7, digest(committed))
    assert (
        is_same_configuration(committed, reencoded)
        and history.judge(7, committed, 7, reencoded) is Verdict.REPEATED
    )
    assert history.judge(7, committed, 7, committed.replace(b"1", b"2")) is Verdict.CONFLICT
    assert not is_same_configuration(b"[" * 100_000, b"[" * 100_001) and not is_same_configuration(
        b"{", b"["
    )
    assert history.appended(9, digest(b"{}")).judge(9, b"{}", 7, reencoded) is Verdict.CONFLICT
    # the version is committed, although the history is empty
    assert EMPTY_HISTORY.judge(7, committed, 7, b"{}") is Verdict.CONFLICT


# --- whole clusters


class Ledger:
    """The changes that operators sent and their answers; each answer is checked when it arrives.

    Attributes:
        confirmed: The acknowledged content of each version.
        refused: The versions and contents that were refused.
        sent: The versions and operators' marks of all changes, in the order of sending.
        counts: The number of changes acknowledged (True), refused (False) and unclear (None).
    """

    def __init__(self, cluster: StoreCluster) -> None:
        self.cluster = cluster
        self.confirmed: dict[int, bytes] = {}
        self.refused: set[tuple[int, bytes]] = set()
        self.sent: list[tuple[int, str]] = []
        self.counts = {True: 0, False: 0, None: 0}

    async def send_change(
        self, host: str, version: int, mark: str, lost: bool = False
    ) -> bool | None:
        """Sends a change to a store.

        Args:
            host: The store's host.
            version: The version of the change.
            mark: Text that is part of the content.
            lost: Whether to treat the outcome as unclear even if an answer arrived.

        Returns:
            True if acknowledged, False if refused, None if the outcome is unclear.
        """
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
        is_acknowledged = "conflict" not in answer.ok
        self.counts[is_acknowledged] += 1
        if is_acknowledged:
            cluster.acknowledged_version = max(cluster.acknowledged_version, version)
            assert self.confirmed.setdefault(version, data) == data, (
                f"two contents confirmed under r{version}"
            )
            assert (version, data) not in self.refused, f"r{version} refused, then confirmed"
            assert answer.ok["version"] >= version
        else:
            self.refused.add((version, data))
            assert self.confirmed.get(version) != data, f"r{version} confirmed, then refused"
            assert len(cluster.contents[version]) > 1, (
                f"r{version} refused, but only one content was sent"
            )
        return is_acknowledged

    def check(self) -> None:
        for version, data in self.cluster.committed.items():
            assert (version, data) not in self.refused, f"r{version} refused, but committed"
            assert self.confirmed.get(version, data) == data, f"another r{version} was confirmed"


async def run_operator(ledger: Ledger, rng: Random, mark: str, pause: float) -> None:
    """Runs an operator that loses some answers and repeats changes, whatever their outcome.

    The operator pauses up to `pause` seconds between changes.
    """
    cluster = ledger.cluster
    while True:
        await asyncio.sleep(rng.uniform(0.0, pause))
        hosts = [h for h, m in cluster.machines.items() if m.up] or [*cluster.machines]
        choice = rng.random()
        if ledger.sent and choice < 0.4:
            version, change_mark = rng.choice(ledger.sent[-12:] if choice < 0.3 else ledger.sent)
        else:
            version, change_mark = (
                max(1, cluster.sent + rng.choice((-2, -1, 0, 0, 1, 1, 1, 2))),
                mark,
            )
        if rng.random() < 0.2:  # sends two changes to two machines concurrently
            other_mark, lost = rng.choice((change_mark, mark + "'")), rng.random() < 0.3
            concurrent_change = ledger.send_change(rng.choice(hosts), version, other_mark, lost)
            await asyncio.gather(
                concurrent_change, ledger.send_change(rng.choice(hosts), version, change_mark)
            )
        else:
            await ledger.send_change(rng.choice(hosts), version, change_mark, rng.random() < 0.3)


async def run_random_faults(cluster: StoreCluster, rng: Random) -> Ledger:
    ledger = Ledger(cluster)
    for machine in cluster.machines.values():
        machine.start()
    await asyncio.sleep(1.5)
    cluster.is_first_start = False
    operators = [
        asyncio.create_task(run_operator(ledger, Random(rng.random()), f"op{n}", 0.25))
        for n in range(8)
    ]
    for _ in range(5):
        if rng.random() < 0.2:
            for machine in cluster.machines.values():
                machine.kill() if rng.random() < 0.5 else machine.power_off()
            await asyncio.sleep(rng.uniform(0.0, 0.8))
            for machine in cluster.machines.values():
                machine.start()
        else:
            random_machine = rng.choice([*cluster.machines.values()])
            primary = cluster.find_primary() if rng.random() < 0.7 else None
            await inject_fault(cluster, rng, primary or random_machine, True)
        await asyncio.sleep(rng.choice((0.05, 0.5, 2.0, 4.0)))
        for task in operators:
            assert not task.done() or task.result()
    await asyncio.sleep(4.0)
    for task in operators:
        task.cancel()
    for version, mark in [*dict.fromkeys(ledger.sent)][-40:]:
        # without faults every machine gives the same clear answer to a repeated change
        for _ in range(20):
            answers = [await ledger.send_change(h, version, mark) for h in cluster.machines]
            if None not in answers:
                break
        assert len({*answers}) == 1
    ledger.check()
    assert await cluster.read_newest() >= cluster.acknowledged_version
    return ledger


def run_seed(seed: int) -> Ledger:
    cluster = StoreCluster(seed)
    try:
        ledger = cluster.run(run_random_faults(cluster, Random(seed)))
        cluster.close()
        return ledger
    finally:
        cluster.loop.close()


@pytest.mark.parametrize("seed", range(6))
def test_repeated_and_concurrent_changes_through_takeovers_keep_one_content_per_version(seed):
    counts = run_seed(seed).counts
    assert all(counts.values())


def drops_history_at_start(patch) -> None:
    from_pages = Record.from_pages
    patch.setattr(
        Record,
        "from_pages",
        staticmethod(lambda pages: from_pages({k: v for k, v in pages.items() if k != "orders"})),
    )


def drops_history_at_the_backup(patch) -> None:
    accept_write = Replica.accept_write
    patch.setattr(
        Replica, "accept_write", lambda self, *arguments: accept_write(self, *arguments[:4])
    )


def drops_superseded_versions(patch) -> None:
    patch.setattr(ChangeHistory, "with_superseded", lambda self, *_: self)


def acknowledges_conflicts(patch) -> None:
    judge = ChangeHistory.judge
    patch.setattr(
        ChangeHistory,
        "judge",
        lambda *arguments: (
            Verdict.SUPERSEDED if judge(*arguments) is Verdict.CONFLICT else judge(*arguments)
        ),
    )


def refuses_unknown_versions(patch) -> None:
    judge = ChangeHistory.judge
    patch.setattr(
        ChangeHistory,
        "judge",
        lambda *arguments: (
            Verdict.CONFLICT if judge(*arguments) is Verdict.SUPERSEDED else judge(*arguments)
        ),
    )


MUTANTS = (
    drops_history_at_start,
    drops_history_at_the_backup,
    drops_superseded_versions,
    acknowledges_conflicts,
    refuses_unknown_versions,
)


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda m: m.__name__)
def test_a_store_that_violates_the_history_rules_is_detected(mutant, monkeypatch):
    mutant(monkeypatch)
    with pytest.raises(AssertionError):
        for seed in range(8):
            run_seed(seed)


# --- through the registries, and after a rescue


def replace_status(system: Cluster, ip: str, version: int, timeout: str = "5000ms") -> int:
    """Returns the status of a change that sends the configuration under a version.

    The timeout replaces that of the routes. The operator repeats the call until the outcome is
    clear.
    """

    async def send() -> int:
        body = system.body(version).replace(b"5000ms", timeout.encode())
        system.operator.core_index = system.core_ips.index(ip)
        response = await system.operator.call("configuration.replace", body, 8.0)
        assert response is not None
        return response.status

    return system.run(send())


def test_registries_refuse_another_content_after_takeover_restart_and_a_lost_disk():
    system = Cluster(3)
    system.run(system.start())
    core_hosts, base_version = system.core_ips, system.version + 5
    versions = (base_version, base_version + 4)
    assert (
        replace_status(system, core_hosts[0], versions[0])
        == 200
        == replace_status(system, core_hosts[1], versions[1])
    )

    def check_answers() -> None:
        for ip in system.core_ips:
            for version in versions:
                assert replace_status(system, ip, version) == 200
                assert replace_status(system, ip, version, "4000ms") == 409
            # a version below the committed one that was never committed itself
            assert replace_status(system, ip, base_version + 1) == 200
            assert replace_status(system, ip, base_version + 1, "4000ms") == 409
        assert json.loads(system.run(system.operator.read()))["version"] == f"r{versions[1]}"

    check_answers()
    for fault in ("kill", "power", "wipe"):
        targets = (
            [ip for ip in core_hosts if system.is_serving(ip)] if fault != "power" else core_hosts
        )
        assert targets
        for ip in targets:
            for host in system.core(ip):
                host.kill() if fault == "kill" else host.power_off(wipe=fault == "wipe")
        if fault == "kill":
            system.wait(2.0)  # another member takes over in this time

        async def restart(hosts) -> None:
            for host in hosts:
                host.start()
            await asyncio.sleep(4.0)

        system.run(restart([host for ip in targets for host in system.core(ip)]))
        check_answers()
    system.close()


def test_changes_acknowledged_before_a_rescue_are_not_refused_after_it():
    cluster = StoreCluster(5)
    cluster.start()
    cluster.wait(2.0)
    cluster.is_first_start = False
    ledger = Ledger(cluster)
    for version in (2, 5, 7):
        assert cluster.run(ledger.send_change("10.1.0.1", version, "ann"))
    lost = [cluster.machine_in_role("the primary"), cluster.machine_in_role("the backup")]
    for machine in lost:
        machine.power_off(wipe=True)
    cluster.wait(0.2)
    cluster.start()
    cluster.wait(5.0)

    cluster.run(rescue(cluster))
    cluster.wait(1.0)
    for host in cluster.machines:
        assert all(cluster.run(ledger.send_change(host, version, "ann")) for version in (2, 5, 7))
        assert cluster.run(ledger.send_change(host, 7, "bob")) is False
    cluster.close()


def second_term_accepts_other_content() -> bool | None:
    """Whether a primary in its second term accepts another content of an acknowledged version.

    Another primary acknowledged the version between the two terms, while this one was partitioned.
    """
    cluster = StoreCluster(2, tuple(f"10.{zone}.0.1" for zone in range(1, 4)))
    ledger = Ledger(cluster)
    try:
        cluster.start()
        cluster.wait(2.0)
        cluster.is_first_start = False
        first_primary = cluster.primary()
        assert cluster.run(ledger.send_change(first_primary.host, 9, "ann"))
        others = [host for host in cluster.machines if host != first_primary.host]
        cluster.network.partition([first_primary.host], others)
        cluster.wait(4.0)
        # acknowledged, as version 9 supersedes it
        assert cluster.run(ledger.send_change(cluster.primary().host, 7, "ann"))
        cluster.network.heal()
        cluster.wait(3.0)
        for _ in range(6):
            if (primary := cluster.primary()) is first_primary:
                return cluster.run(ledger.send_change(first_primary.host, 7, "bob"))
            primary.power_off()
            cluster.wait(4.0)
            cluster.start()
            cluster.wait(4.0)
        raise LookupError("the first primary wasn't elected again")
    finally:
        cluster.loop.close()


def keeps_history_of_an_earlier_term(patch) -> None:
    become_established = Replica.become_established

    def become_established_with_history(self, now):
        earlier_history, is_established = self.history, become_established(self, now)
        if is_established and earlier_history.entries:
            self.history = earlier_history
        return is_established

    patch.setattr(Replica, "become_established", become_established_with_history)


def test_a_primary_in_a_second_term_has_the_changes_acknowledged_in_between(monkeypatch):
    assert second_term_accepts_other_content() is False
    keeps_history_of_an_earlier_term(monkeypatch)
    with pytest.raises(AssertionError, match="two contents confirmed under r7"):
        second_term_accepts_other_content()
