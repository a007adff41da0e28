"""The duty to count, in simulated simulation: one registry has it at a time, whatever befalls the
core.
"""

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
    """Core machines alone, whose clocks run at rates that differ by 4 %, in simulation of all
    kinds.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed, proxies=0, servers=0)
        self.moves, self.before = 0, ""
        for host in (*self.registries.values(), *self.stores.values()):
            host.clock_rate = self.rng.choice((1.0, 1.02, 1.04))

    async def watch(self) -> None:
        while True:
            counting = self.counting_hosts()
            assert len(counting) <= 1, f"{counting} count at {self.loop.time():.2f}"
            if counting and counting[0] != self.before:
                self.moves, self.before = self.moves + 1, counting[0]
            await asyncio.sleep(0.004)

    async def simulation(self, steps: int) -> None:
        rng = Random(self.rng.getrandbits(64))
        for host in (*self.stores.values(), *self.registries.values()):
            host.start()
        await asyncio.sleep(2.5)
        for _ in range(steps):
            which = rng.choice((self.stores, self.stores, self.registries))
            likely = [
                ip
                for ip in self.core_ips
                if which is self.registries and ip in self.counting_hosts()
            ]
            ip = rng.choice(
                likely or [ip for ip, s in self.stores.items() if serves(s)] or self.core_ips
            )
            if rng.random() < 0.3:
                ip = rng.choice(self.core_ips)
            host, what = (
                which[ip],
                rng.choice(("kill", "freeze", "leave", "cut", "half", "slow", "all")),
            )
            if what == "all":
                for store in self.stores.values():
                    store.kill()
            elif what == "leave" and host.is_running:
                await asyncio.wait([asyncio.ensure_future(host.shut_down())], timeout=4.0)
            elif what in ("cut", "half"):  # of a machine from all or some, or in one direction
                for other in rng.sample([i for i in self.core_ips if i != ip], rng.choice((1, 2))):
                    self.network.cut(ip, other, what == "cut")
            elif what == "slow":
                # both ways, and twice within a machine
                self.network.extra_delay_seconds[ip] = rng.choice((0.02, 0.05, 0.09))
            elif host.up:
                (host.freeze if what == "freeze" else host.kill)()
            await asyncio.sleep(rng.choice((0.02, 0.3, 0.9, 1.5, 2.5)))
            for machine in (*self.stores.values(), *self.registries.values()):
                (machine.thaw if machine.up else machine.start)()
            self.network.heal()
            if rng.random() < 0.5:
                self.network.extra_delay_seconds.clear()
            await asyncio.sleep(rng.choice((0.02, 0.3, 1.5, 3.0)))


def played(seed: int, steps: int = 25) -> Core:
    core = Core(seed)
    watch = core.run_in_background(core.watch())
    try:
        core.run(
            asyncio.wait(
                [core.run_in_background(core.simulation(steps)), watch],
                return_when="FIRST_COMPLETED",
            )
        )
        if watch.done():
            watch.result()
        core.network.extra_delay_seconds.clear()
        core.wait(4.0)
        assert core.counting_hosts(), "nobody counts in calm simulation"
    finally:
        core.close()
    return core


def test_no_two_count_whoever_is_lost_late_or_frozen():
    assert sum(played(seed).moves for seed in range(12)) > 60


@pytest.mark.parametrize(
    ("what", "instead"),
    [
        ("restore", lambda self, *page: None),  # one that starts again by its disk knows of nobody
        ("take_handover", lambda self, *will: None),  # nor does one that is handed the reign
        (
            "expire",
            lambda self, now: bool(self.holder) and self.release(self.holder, self.incarnation),
        ),  # it isn't waited for
    ],
)
def test_a_step_left_out_lets_two_count(monkeypatch, what, instead):
    monkeypatch.setattr(CountingLease, what, instead)
    with pytest.raises(AssertionError, match="count at"):
        for seed in range(40):
            played(seed)


def test_the_span_counts_from_the_sending():
    core = Core(1)
    core.run(core.simulation(0))
    (ip,) = core.counting_hosts()
    registry, store = core.registry(ip), next(s for s in core.stores.values() if serves(s))
    core.network.extra_delay_seconds[ip] = 0.09

    async def ask() -> None:
        sent, registry.counting.lease.expires_at = registry.context.clock(), 0.0
        assert await registry.counting.request_lease(
            (store.host, registry.context.settings.store_address(ip)[1])
        )
        assert registry.context.clock() > sent + 0.3
        assert sent < registry.counting.lease.expires_at <= sent + LEASE_SECONDS

    core.run(ask())
    core.close()


def test_after_a_handover_promises_nothing_to_those_that_do_not_know_who_holds_the_lease():
    core = Core(1)
    core.run_in_background(core.watch())
    core.run(core.simulation(0))
    a = next(ip for ip, s in core.stores.items() if serves(s))
    store, view = core.stores[a].programs[0], core.stores[a].programs[0].replica.record.view
    core.network.cut(a, next(m.address[0] for m in view.voters if not view.has_data(m.id)))
    core.wait(3.0)  # the lease stands by the backup alone; the third one's grant is long over

    async def part() -> None:
        leaving = asyncio.ensure_future(store.stop())
        while store.replica.promised_epoch == view.epoch:
            await asyncio.sleep(0.001)
        core.stores[view.backup.address[0]].kill()
        ask = {"epoch": 0, "asker": "the third one", "released": 0}
        assert core.counting_hosts() == [a] and store.replica.may_promise(
            store.clock(), 9, "the third one", 0
        )
        assert not (await store.serve("promise", ask))["ok"]
        assert (await store.serve("promise", ask | {"released": view.epoch}))["ok"]
        await leaving

    core.run(part())
    core.close()


# --- the duty and the store come apart


def is_current(system: Cluster, ip: str) -> bool:
    """Whether a registry knows that the configuration it holds is the newest."""
    registry = system.registry(ip)
    return registry.state.configuration.is_current(registry.context.clock())


async def kept(system: Cluster, step: float = 0.0) -> float:
    """Adds to a sum at the registry that counts; the total."""
    request = IncrementRequest(counter_name=7, step=step, retention_seconds=60.0)
    said = await system.registry(system.counting_host()).counting.handle_increment(request)
    return said.total


@pytest.mark.parametrize(("down", "takes"), [(0.2, 1.0), (6.0, 3.0)], ids=["restart", "takeover"])
def test_counts_outlive_the_primary_store(down, takes):
    system = Cluster(3, proxies=1)
    system.run(system.start())
    counting, store = system.counting_host(), next(s for s in system.stores.values() if serves(s))
    assert system.run(kept(system, 5.0)) == 5.0

    async def day() -> None:
        store.kill()
        await asyncio.sleep(down)
        if down < takes:
            store.start()
        await system.wait_until(
            lambda: bool(system.counting_hosts()) and any(map(serves, system.stores.values())),
            takes,
        )
        await asyncio.sleep(3.0)
        if not store.up:
            store.start()
        assert system.counting_host() == counting and await kept(system) == 5.0
        (host,) = [s for s in system.stores.values() if serves(s)]
        assert (host is store) == (down < takes)
        # to another, with its word
        await asyncio.wait([asyncio.ensure_future(host.shut_down())], timeout=4.0)
        assert system.counting_host() == counting and await kept(system) == 5.0

    system.run(day())
    system.close()


def serves(store: Host) -> bool:
    programs = store.programs if store.is_running else []
    return any(g.is_running and g.replica.lease_left(g.clock()) > 0.0 for g in programs)


def test_a_registry_that_leaves_gives_the_duty_back_at_once_and_limiters_hear_it():
    system = Cluster(4, proxies=2)
    system.run(system.start())
    counting = system.counting_host()

    async def leaves() -> float:
        system.run_in_background(system.registries[counting].shut_down())
        return await system.wait_until(lambda: system.counting_hosts() not in ([], [counting]), 0.2)

    system.run(leaves())
    system.wait(0.1)
    said = [s.sessions.counting_registry().host for s in system.running_proxies()]
    assert said == [system.counting_host()] * 2
    system.close()


def test_all_that_start_anew_count_as_soon_as_one_serves():
    system = Cluster(5, proxies=1)
    system.run(system.start())

    async def day() -> float:
        for host in (*system.stores.values(), *system.registries.values()):
            host.kill()
        await asyncio.sleep(1.0)
        for host in (*system.stores.values(), *system.registries.values()):
            host.start()
        await system.wait_until(lambda: any(map(serves, system.stores.values())), 3.0)
        return await system.wait_until(lambda: bool(system.counting_hosts()), 0.2)

    system.run(day())
    system.close()


# --- who knows the newest configuration for sure


def test_one_that_is_cut_off_is_sure_for_a_lease_and_nobody_waits_for_a_takeover():
    system = Cluster(6, cores=5, proxies=1)
    system.run(system.start())
    system.wait(3.0)
    (first,) = [ip for ip, s in system.stores.items() if serves(s)]
    votes = [m.address[0] for m in system.stores[first].programs[0].replica.record.view.voters]
    # which go on hearing each other
    few = [first, next(ip for ip in system.core_ips if ip not in votes)]
    rest = [ip for ip in system.core_ips if ip not in few]
    system.network.partition(few, rest)

    async def day() -> None:
        begun = system.loop.time()
        while system.loop.time() < begun + 6.0:
            assert all(is_current(system, ip) for ip in rest)
            assert system.loop.time() < begun + 1.6 or not any(is_current(system, ip) for ip in few)
            await asyncio.sleep(0.05)

    system.run(day())
    assert sum(serves(system.stores[ip]) for ip in rest) == 1
    system.close()


# --- what limiters tell the next one


def test_limiters_tell_one_that_comes_to_count_what_they_added_and_hear_no_total_before():
    system = Cluster(8, proxies=2)
    system.run(system.start())
    system.wait(3.0)  # nobody has just started
    heard: list[tuple[Outcome, float]] = []
    for proxy in system.running_proxies():
        proxy.counter_client.on_reply = lambda name, outcome, total, took: heard.append(
            (outcome, total)
        )

    async def add(*steps: float) -> None:
        for proxy, step in zip(system.running_proxies(), steps, strict=False):
            await proxy.counter_client.run_increment(IncrementCounter(7 << 15, step, 600_000))

    async def day() -> None:
        system.registries[system.counting_host()].kill()
        await system.wait_until(lambda: bool(system.counting_hosts()), 2.0)
        await asyncio.sleep(3.0)
        await add(1.0, 1.0)
        await asyncio.sleep(1.0)
        await add(0.0)
        system.registries[system.counting_host()].freeze()
        await add(5.0)  # no answer: it may have come, or not
        await asyncio.sleep(2.0)
        await add(0.0, 1.0)
        await asyncio.sleep(1.0)
        await add(0.0, 0.0)

    system.run(add(10.0, 20.0))
    system.run(day())
    late, whole = (
        (Outcome.NO_RESPONSE, 0.0),
        [(Outcome.SUCCEEDED, t) for t in (10.0, 30.0, 32.0, 38.0, 38.0)],
    )
    assert heard == [*whole[:2], late, late, whole[2], late, late, late, *whole[3:]]
    system.close()
