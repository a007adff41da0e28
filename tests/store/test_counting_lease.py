"""Tests of the counting lease in simulation: at most one registry holds it, under any faults."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from loomstand.admission.actions import IncrementCounter
from loomstand.admission.outcome import Outcome
from loomstand.rpc.messages.quota_messages import IncrementRequest
from loomstand.store.counting_lease import CountingLease
from loomstand.store.timing import LEASE_SECONDS
from loomstand.testing.simulation.cluster import Cluster
from loomstand.testing.simulation.streams import Host


class Core(Cluster):
    """Core machines without proxies, whose clock rates differ by up to 4 %, under random faults."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed, proxies=0, servers=0)
        self.holder_changes, self.last_holder = 0, ""
        for host in (*self.registries.values(), *self.stores.values()):
            host.clock_rate = self.rng.choice((1.0, 1.02, 1.04))

    async def check_holders(self) -> None:
        """Checks that at most one registry counts, and counts the changes of the holder."""
        while True:
            counting = self.counting_hosts()
            assert len(counting) <= 1, f"{counting} count at {self.loop.time():.2f}"
            if counting and counting[0] != self.last_holder:
                self.holder_changes, self.last_holder = self.holder_changes + 1, counting[0]
            await asyncio.sleep(0.004)

    async def inject_faults(self, count: int) -> None:
        rng = Random(self.rng.getrandbits(64))
        for host in (*self.stores.values(), *self.registries.values()):
            host.start()
        await asyncio.sleep(2.5)
        for _ in range(count):
            hosts = rng.choice((self.stores, self.stores, self.registries))
            preferred = [
                ip
                for ip in self.core_ips
                if hosts is self.registries and ip in self.counting_hosts()
            ]
            ip = rng.choice(
                preferred
                or [ip for ip, store in self.stores.items() if serves(store)]
                or self.core_ips
            )
            if rng.random() < 0.3:
                ip = rng.choice(self.core_ips)
            host, fault = (
                hosts[ip],
                rng.choice(("kill", "freeze", "leave", "cut", "half", "slow", "all")),
            )
            if fault == "all":
                for store in self.stores.values():
                    store.kill()
            elif fault == "leave" and host.is_running:
                await asyncio.wait([asyncio.ensure_future(host.shut_down())], timeout=4.0)
            elif fault in ("cut", "half"):  # links to one or two machines, both directions or one
                for other in rng.sample(
                    [peer for peer in self.core_ips if peer != ip], rng.choice((1, 2))
                ):
                    self.network.cut(ip, other, fault == "cut")
            elif fault == "slow":
                # delays packets in both directions, also those within the machine
                self.network.extra_delay_seconds[ip] = rng.choice((0.02, 0.05, 0.09))
            elif host.up:
                (host.freeze if fault == "freeze" else host.kill)()
            await asyncio.sleep(rng.choice((0.02, 0.3, 0.9, 1.5, 2.5)))
            for machine in (*self.stores.values(), *self.registries.values()):
                (machine.thaw if machine.up else machine.start)()
            self.network.heal()
            if rng.random() < 0.5:
                self.network.extra_delay_seconds.clear()
            await asyncio.sleep(rng.choice((0.02, 0.3, 1.5, 3.0)))


def run_with_faults(seed: int, fault_count: int = 25) -> Core:
    core = Core(seed)
    holder_check = core.run_in_background(core.check_holders())
    try:
        core.run(
            asyncio.wait(
                [core.run_in_background(core.inject_faults(fault_count)), holder_check],
                return_when="FIRST_COMPLETED",
            )
        )
        if holder_check.done():
            holder_check.result()
        core.network.extra_delay_seconds.clear()
        core.wait(4.0)
        assert core.counting_hosts(), "no registry counts after all faults have ended"
    finally:
        core.close()
    return core


def test_at_most_one_registry_counts_under_random_faults():
    assert sum(run_with_faults(seed).holder_changes for seed in range(12)) > 60


@pytest.mark.parametrize(
    ("method", "mutant"),
    [
        ("restore", lambda self, *page: None),  # a restarted primary doesn't know the holder
        # a new primary doesn't know the holder after a transfer of leadership
        ("apply_handover", lambda self, *handover: None),
        (
            "expire",
            lambda self, now: bool(self.holder) and self.release(self.holder, self.incarnation),
        ),  # the lease is freed before it expires
    ],
)
def test_without_one_step_of_the_protocol_two_registries_count(monkeypatch, method, mutant):
    monkeypatch.setattr(CountingLease, method, mutant)
    with pytest.raises(AssertionError, match="count at"):
        for seed in range(40):
            run_with_faults(seed)


def test_the_lease_is_measured_from_the_sending_of_the_request():
    core = Core(1)
    core.run(core.inject_faults(0))
    (ip,) = core.counting_hosts()
    registry, store = core.registry(ip), next(s for s in core.stores.values() if serves(s))
    core.network.extra_delay_seconds[ip] = 0.09

    async def request_lease() -> None:
        sent, registry.counting.lease.expires_at = registry.context.clock(), 0.0
        assert await registry.counting.request_lease(
            (store.host, registry.context.settings.store_address(ip)[1])
        )
        assert registry.context.clock() > sent + 0.3
        assert sent < registry.counting.lease.expires_at <= sent + LEASE_SECONDS

    core.run(request_lease())
    core.close()


def test_after_a_transfer_refuses_promises_to_candidates_that_do_not_know_the_holder():
    core = Core(1)
    core.run_in_background(core.check_holders())
    core.run(core.inject_faults(0))
    primary = next(ip for ip, host in core.stores.items() if serves(host))
    store, view = (
        core.stores[primary].programs[0],
        core.stores[primary].programs[0].replica.record.view,
    )
    core.network.cut(primary, next(m.address[0] for m in view.voters if not view.has_data(m.id)))
    # afterwards only the backup still grants the lease: the third voter's grant has expired
    core.wait(3.0)

    async def transfer() -> None:
        leaving = asyncio.ensure_future(store.stop())
        while store.replica.promised_epoch == view.epoch:
            await asyncio.sleep(0.001)
        core.stores[view.backup.address[0]].kill()
        promise_request = {"epoch": 0, "asker": "the third voter", "released": 0}
        assert core.counting_hosts() == [primary] and store.replica.may_promise(
            store.clock(), 9, "the third voter", 0
        )
        assert not (await store.serve("promise", promise_request))["ok"]
        assert (await store.serve("promise", promise_request | {"released": view.epoch}))["ok"]
        await leaving

    core.run(transfer())
    core.close()


# --- counting lease and primary on different machines


def is_current(system: Cluster, ip: str) -> bool:
    """Whether a registry knows that its configuration is the newest one."""
    registry = system.registry(ip)
    return registry.state.configuration.is_current(registry.context.clock())


async def increment(system: Cluster, amount: float = 0.0) -> float:
    """Increments a counter at the counting registry and returns its total."""
    request = IncrementRequest(counter_name=7, step=amount, retention_seconds=60.0)
    response = await system.registry(system.counting_host()).counting.handle_increment(request)
    return response.total


@pytest.mark.parametrize(
    ("down_seconds", "recovery_seconds"), [(0.2, 1.0), (6.0, 3.0)], ids=["restart", "takeover"]
)
def test_counts_survive_the_loss_of_the_primary_store(down_seconds, recovery_seconds):
    system = Cluster(3, proxies=1)
    system.run(system.start())
    counting, store = system.counting_host(), next(s for s in system.stores.values() if serves(s))
    assert system.run(increment(system, 5.0)) == 5.0

    async def scenario() -> None:
        store.kill()
        await asyncio.sleep(down_seconds)
        if down_seconds < recovery_seconds:
            store.start()
        await system.wait_until(
            lambda: bool(system.counting_hosts()) and any(map(serves, system.stores.values())),
            recovery_seconds,
        )
        await asyncio.sleep(3.0)
        if not store.up:
            store.start()
        assert system.counting_host() == counting and await increment(system) == 5.0
        (host,) = [s for s in system.stores.values() if serves(s)]
        assert (host is store) == (down_seconds < recovery_seconds)
        # a graceful shutdown transfers the leadership and the state of the counting lease
        await asyncio.wait([asyncio.ensure_future(host.shut_down())], timeout=4.0)
        assert system.counting_host() == counting and await increment(system) == 5.0

    system.run(scenario())
    system.close()


def serves(store: Host) -> bool:
    """Whether the store on a host is the primary and has a valid lease."""
    programs = store.programs if store.is_running else []
    return any(
        program.is_running and program.replica.lease_left(program.clock()) > 0.0
        for program in programs
    )


def test_a_leaving_registry_releases_the_lease_at_once_and_limiters_learn_the_new_holder():
    system = Cluster(4, proxies=2)
    system.run(system.start())
    counting = system.counting_host()

    async def release_lease() -> float:
        system.run_in_background(system.registries[counting].shut_down())
        return await system.wait_until(lambda: system.counting_hosts() not in ([], [counting]), 0.2)

    system.run(release_lease())
    system.wait(0.1)
    hosts = [s.sessions.counting_registry().host for s in system.running_proxies()]
    assert hosts == [system.counting_host()] * 2
    system.close()


def test_after_a_restart_of_all_a_registry_counts_as_soon_as_a_store_serves():
    system = Cluster(5, proxies=1)
    system.run(system.start())

    async def scenario() -> float:
        for host in (*system.stores.values(), *system.registries.values()):
            host.kill()
        await asyncio.sleep(1.0)
        for host in (*system.stores.values(), *system.registries.values()):
            host.start()
        await system.wait_until(lambda: any(map(serves, system.stores.values())), 3.0)
        return await system.wait_until(lambda: bool(system.counting_hosts()), 0.2)

    system.run(scenario())
    system.close()


# --- which registries know that their configuration is the newest


def test_isolated_registries_are_current_for_one_lease_and_others_during_a_takeover():
    system = Cluster(6, cores=5, proxies=1)
    system.run(system.start())
    system.wait(3.0)
    (first,) = [ip for ip, s in system.stores.items() if serves(s)]
    voters = [m.address[0] for m in system.stores[first].programs[0].replica.record.view.voters]
    # the two machines of the minority stay connected to each other
    minority = [first, next(ip for ip in system.core_ips if ip not in voters)]
    majority = [ip for ip in system.core_ips if ip not in minority]
    system.network.partition(minority, majority)

    async def scenario() -> None:
        started_at = system.loop.time()
        while system.loop.time() < started_at + 6.0:
            assert all(is_current(system, ip) for ip in majority)
            assert system.loop.time() < started_at + 1.6 or not any(
                is_current(system, ip) for ip in minority
            )
            await asyncio.sleep(0.05)

    system.run(scenario())
    assert sum(serves(system.stores[ip]) for ip in majority) == 1
    system.close()


# --- replay of increments by limiters at a new counting registry


def test_limiters_replay_their_increments_to_a_new_counting_registry_before_they_get_a_total():
    system = Cluster(8, proxies=2)
    system.run(system.start())
    system.wait(3.0)  # until the starts of the machines no longer count as recent
    replies: list[tuple[Outcome, float]] = []
    for proxy in system.running_proxies():
        proxy.counter_client.on_reply = lambda name, outcome, total, took: replies.append(
            (outcome, total)
        )

    async def add(*steps: float) -> None:
        for proxy, step in zip(system.running_proxies(), steps, strict=False):
            await proxy.counter_client.run_increment(IncrementCounter(7 << 15, step, 600_000))

    async def scenario() -> None:
        system.registries[system.counting_host()].kill()
        await system.wait_until(lambda: bool(system.counting_hosts()), 2.0)
        await asyncio.sleep(3.0)
        await add(1.0, 1.0)
        await asyncio.sleep(1.0)
        await add(0.0)
        system.registries[system.counting_host()].freeze()
        await add(5.0)  # gets no response: the increment may have been applied or not
        await asyncio.sleep(2.0)
        await add(0.0, 1.0)
        await asyncio.sleep(1.0)
        await add(0.0, 0.0)

    system.run(add(10.0, 20.0))
    system.run(scenario())
    lost, totals = (
        (Outcome.NO_RESPONSE, 0.0),
        [(Outcome.SUCCEEDED, t) for t in (10.0, 30.0, 32.0, 38.0, 38.0)],
    )
    assert replies == [*totals[:2], lost, lost, totals[2], lost, lost, lost, *totals[3:]]
    system.close()
