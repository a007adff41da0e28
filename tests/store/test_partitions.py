"""Partitions, freezes and disk losses of core machines, in simulated control planes.

Operators with long timeouts must not read outdated versions, get valid changes refused, or lose
acknowledged changes.
"""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from loomstand.registry import store_client
from loomstand.registry.configuration_cache import ConfigurationCache
from loomstand.rpc.messages.configuration_messages import ReadResponse
from loomstand.store import freshness
from loomstand.store.configuration_service import ConfigurationService
from loomstand.testing.simulation.cluster import CONTROL_PORT, Cluster
from loomstand.testing.simulation.control_plane import (
    READ_STALENESS_SECONDS,
    ControlPlane,
    run_random_faults,
)
from loomstand.testing.simulation.streams import Host


@pytest.fixture
def plane():
    made = ControlPlane(3)
    made.run(made.start())
    made.wait(0.5)
    yield made
    made.close()


# --- frozen while responding


def reads_during_freeze(plane: ControlPlane, who: str, asked: str) -> list[int]:
    """Returns versions read by operators while the primary's machine freezes during the request.

    The freezes begin 2 ms apart; while frozen, the other machines acknowledge another change.

    Args:
        plane: The simulated control plane.
        who: The processes that freeze on the primary's machine.
        asked: Whether the primary's machine or another one gets the request.
    """

    async def one(ms: float) -> int:
        first = plane.primary()
        frozen = {"registry": [plane.registries[first]], "store": [plane.stores[first]]}
        frozen["both"] = plane.hosts(first)
        others = [ip for ip in plane.core_ips if ip != first]
        late = plane.run_in_background(
            plane.read_version(first if asked == "itself" else others[0])
        )
        await asyncio.sleep(ms / 1000)
        for host in frozen[who]:
            host.freeze()
        await asyncio.sleep(3.0)
        assert await plane.send_change(others[0], 1.0) == 200
        await asyncio.sleep(READ_STALENESS_SECONDS + 0.2)
        for host in frozen[who]:
            host.thaw()
        version = await late
        await asyncio.sleep(2.5)
        return version

    return [plane.run(one(ms / 2)) for ms in range(3, 34, 4)]


@pytest.mark.parametrize(
    "who, asked",
    [("registry", "itself"), ("store", "itself"), ("both", "itself"), ("both", "another")],
)
def test_a_response_frozen_with_its_machine_is_not_sent_after_the_thaw(plane, who, asked):
    assert any(reads_during_freeze(plane, who, asked))  # at least one read succeeded


def test_checking_the_lease_only_when_the_store_responds_is_not_enough(monkeypatch):
    monkeypatch.setattr(
        freshness,
        "remaining_seconds",
        lambda lease_seconds, asked_at, now, timeout_seconds: timeout_seconds,
    )
    plane = ControlPlane(3)
    plane.run(plane.start())
    with pytest.raises(AssertionError, match="handed out"):
        reads_during_freeze(plane, "registry", "itself")
    with contextlib.suppress(AssertionError):  # the same error from a background task
        plane.close()


def test_a_response_may_be_forwarded_until_the_lease_ends_measured_from_the_request():
    response = {"version": 7, "left": 0.9}
    assert freshness.remaining_seconds(response["left"], 10.0, 10.2, 5.0) == pytest.approx(0.7)
    assert (
        freshness.remaining_seconds(response["left"], 10.0, 10.9, 5.0)
        == 0.0
        == freshness.remaining_seconds(response["left"], 10.0, 10.4, 0.4)
    )
    # older stores send no lease
    assert freshness.remaining_seconds(None, 10.0, 10.3, 0.8) == pytest.approx(0.5)


async def thaw(host: Host) -> None:
    host.thaw()


def test_a_thawed_registry_does_not_trust_reports_from_before_the_freeze(plane):
    ip = plane.core_ips[0]
    registry = plane.registry(ip)
    clock, configuration = registry.context.clock, registry.state.configuration
    assert configuration.is_current(clock())
    plane.registries[ip].freeze()
    plane.wait(store_client.WAIT_SECONDS + store_client.REPORT_LIFETIME_SECONDS)
    assert not configuration.is_current(clock())
    plane.run(thaw(plane.registries[ip]))
    plane.wait(0.5)
    assert configuration.is_current(clock())


# --- partitions


def cuts(plane: ControlPlane, how: str) -> set[tuple[str, str]]:
    """Returns the cut links, as source and destination; directions are those of the primary."""
    first = plane.primary()
    rest = [ip for ip in plane.core_ips if ip != first]
    return {
        "isolated": {
            (a, b) for a in plane.core_ips for b in plane.core_ips if (a == first) != (b == first)
        },
        "inbound": {(ip, first) for ip in rest},
        "outbound": {(first, ip) for ip in rest},
        "one link": {(first, rest[0]), (rest[0], first)},
    }[how]


@pytest.mark.parametrize("how", ["isolated", "inbound", "outbound", "one link"])
def test_a_partition_of_twenty_seconds_serves_no_outdated_version_and_refuses_no_change(plane, how):
    async def scenario() -> None:
        first = plane.primary()
        rest = [ip for ip in plane.core_ips if ip != first]
        plane.network.blocked_links |= cuts(plane, how)
        until, acknowledged = plane.loop.time() + 20.0, 0
        late = []
        while plane.loop.time() < until:
            late += [
                plane.run_in_background(plane.send_change(first)),
                plane.run_in_background(plane.read_version(first)),
            ]
            # a repeated request to the partitioned machine
            if plane.sent and plane.rng.random() < 0.5:
                late.append(
                    plane.run_in_background(
                        plane.send_change(first, version=plane.rng.choice([*plane.sent]))
                    )
                )
            acknowledged += await plane.send_change(rest[-1], 1.0) == 200
            await plane.read_version(rest[-1], 1.0)
            await asyncio.sleep(0.25)
        assert acknowledged > 40  # of about 75 changes
        plane.network.heal()
        await asyncio.gather(*late)
        await asyncio.sleep(1.5)
        await plane.check_recovered()

    plane.run(scenario())


def start_in_minority_partition() -> tuple[float, int, int, float]:
    """Starts a proxy that reaches only one registry, which is partitioned from the other two.

    The other two have acknowledged a change before.

    Returns:
        Seconds until the proxy is ready, its version then, the newest version, and the seconds from
        the end of the partition until the proxy has that version.
    """
    system = Cluster(5, proxies=2, servers=2)
    system.run(system.start())
    ip = next(iter(system.proxies))
    alone = next(c for c in system.core_ips if not system.is_serving(c))

    async def scenario() -> tuple[float, int, int, float]:
        rest = [c for c in system.core_ips if c != alone]
        system.network.partition([alone], rest)
        system.network.partition([ip], rest)
        system.operator.cores = [(c, CONTROL_PORT) for c in rest]
        await asyncio.sleep(2.0)
        system.route("new", "alpha")
        assert await system.replace()
        system.proxies[ip].kill()
        system.proxies[ip].start()
        ready = await system.wait_until(
            lambda: bool(system.proxies[ip].programs) and system.proxy(ip).is_ready, 6.0
        )
        held_version = system.proxy(ip).configuration.table.version
        system.network.heal()
        recovery = await system.wait_until(
            lambda: system.proxy(ip).configuration.table.version == system.version, 3.0
        )
        return ready, held_version, system.version, recovery

    result = system.run(scenario())
    system.close()
    return result


def test_a_proxy_started_in_the_minority_partition_delays_readiness_with_an_old_version(
    monkeypatch,
):
    ready, held_version, newest, recovery = start_in_minority_partition()
    assert 3.0 <= ready <= 4.1 and held_version < newest and recovery < 2.0
    monkeypatch.setattr(ConfigurationCache, "is_current", lambda self, now: True)
    ready, held_version, newest, _ = start_in_minority_partition()
    assert ready < 1.0 and held_version < newest


# --- faults at every step of a change


async def fault_during_change(plane: ControlPlane, how: str, ms: float) -> None:
    """Sends two changes and a read, fails the primary `ms` later, and repeats the change."""
    first = plane.primary()
    others = [ip for ip in plane.core_ips if ip != first]
    late = [
        plane.run_in_background(w)
        for w in (plane.send_change(first), plane.read_version(first), plane.send_change(others[0]))
    ]
    version = plane.version
    await asyncio.sleep(ms / 1000)
    if how in ("isolated", "inbound", "outbound"):
        plane.network.blocked_links |= cuts(plane, how) if plane.primary() else set()
    for host in plane.hosts(first):
        if how == "frozen":
            host.freeze()
        elif how == "wiped":
            host.power_off(wipe=True)
    until = plane.loop.time() + 5.0
    while await plane.send_change(others[-1], 1.0, version) != 200:
        assert plane.loop.time() < until, "not acknowledged by the remaining machines"
        await asyncio.sleep(0.1)
    await plane.send_change(others[0], 1.0)
    await asyncio.sleep(READ_STALENESS_SECONDS + 0.3)
    plane.network.heal()
    for host in plane.hosts(first):
        if how == "frozen":
            host.thaw()
        elif how == "wiped":
            host.start()
    await asyncio.gather(*late)
    await asyncio.sleep(4.0 if how == "wiped" else 1.0)
    await plane.check_recovered()


@pytest.mark.parametrize("how", ["isolated", "inbound", "outbound", "frozen", "wiped"])
def test_a_fault_of_the_primary_at_any_step_of_a_change(plane, how):
    for ms in range(0, 26, 3):
        plane.run(fault_during_change(plane, how, ms + 0.5))


# --- random faults


def test_random_faults_lose_no_change_refuse_none_and_serve_no_outdated_version():
    planes = [run_random_faults(seed) for seed in range(4)]
    assert sum(p.reads for p in planes) > 300 and sum(len(p.acked) for p in planes) > 300


def test_random_faults_detect_a_store_that_reads_without_a_lease(monkeypatch):
    async def read(self: ConfigurationService, request):
        replica = self._io.replica
        return ReadResponse(version=replica.version, data=replica.data)

    monkeypatch.setattr(ConfigurationService, "handle_read", read)
    with pytest.raises(AssertionError, match="handed out"):
        for seed in range(8):
            run_random_faults(seed)
