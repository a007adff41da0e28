"""Tests of partitions, freezes and disk losses of core machines in simulated control planes.

Operators whose calls have long timeouts must not read outdated versions, get valid changes refused,
or lose acknowledged changes.
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


def reads_during_freeze(plane: ControlPlane, processes: str, recipient: str) -> list[int]:
    """Returns the versions that operators read while processes of the primary freeze.

    The freeze begins 2 ms later in each run. During the freeze the other machines acknowledge
    another change.

    Args:
        plane: The simulated control plane.
        processes: The processes that freeze on the primary's machine: "registry", "store", "both".
        recipient: Whether the primary's machine ("itself") or "another" gets the request.
    """

    async def read_during_freeze(delay_ms: float) -> int:
        primary = plane.primary()
        hosts_by_process = {
            "registry": [plane.registries[primary]],
            "store": [plane.stores[primary]],
        }
        hosts_by_process["both"] = plane.hosts(primary)
        others = [ip for ip in plane.core_ips if ip != primary]
        read = plane.run_in_background(
            plane.read_version(primary if recipient == "itself" else others[0])
        )
        await asyncio.sleep(delay_ms / 1000)
        for host in hosts_by_process[processes]:
            host.freeze()
        await asyncio.sleep(3.0)
        assert await plane.send_change(others[0], 1.0) == 200
        await asyncio.sleep(READ_STALENESS_SECONDS + 0.2)
        for host in hosts_by_process[processes]:
            host.thaw()
        version = await read
        await asyncio.sleep(2.5)
        return version

    return [plane.run(read_during_freeze(half_ms / 2)) for half_ms in range(3, 34, 4)]


@pytest.mark.parametrize(
    "processes, recipient",
    [("registry", "itself"), ("store", "itself"), ("both", "itself"), ("both", "another")],
)
def test_a_response_frozen_with_its_machine_is_not_sent_after_the_thaw(plane, processes, recipient):
    assert any(reads_during_freeze(plane, processes, recipient))  # at least one read succeeded


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


def cuts(plane: ControlPlane, fault: str) -> set[tuple[str, str]]:
    """Returns the links to cut, as source and destination, for a partition of the primary.

    "inbound" and "outbound" are directions as the primary sees them.
    """
    primary = plane.primary()
    others = [ip for ip in plane.core_ips if ip != primary]
    return {
        "isolated": {
            (a, b)
            for a in plane.core_ips
            for b in plane.core_ips
            if (a == primary) != (b == primary)
        },
        "inbound": {(ip, primary) for ip in others},
        "outbound": {(primary, ip) for ip in others},
        "one link": {(primary, others[0]), (others[0], primary)},
    }[fault]


@pytest.mark.parametrize("fault", ["isolated", "inbound", "outbound", "one link"])
def test_a_partition_of_twenty_seconds_serves_no_outdated_version_and_refuses_no_change(
    plane, fault
):
    async def scenario() -> None:
        primary = plane.primary()
        others = [ip for ip in plane.core_ips if ip != primary]
        plane.network.blocked_links |= cuts(plane, fault)
        end, acknowledged = plane.loop.time() + 20.0, 0
        calls = []
        while plane.loop.time() < end:
            calls += [
                plane.run_in_background(plane.send_change(primary)),
                plane.run_in_background(plane.read_version(primary)),
            ]
            # repeats a change at the partitioned machine
            if plane.sent and plane.rng.random() < 0.5:
                calls.append(
                    plane.run_in_background(
                        plane.send_change(primary, version=plane.rng.choice([*plane.sent]))
                    )
                )
            acknowledged += await plane.send_change(others[-1], 1.0) == 200
            await plane.read_version(others[-1], 1.0)
            await asyncio.sleep(0.25)
        assert acknowledged > 40  # of about 75 changes
        plane.network.heal()
        await asyncio.gather(*calls)
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
    minority = next(c for c in system.core_ips if not system.is_serving(c))

    async def scenario() -> tuple[float, int, int, float]:
        majority = [c for c in system.core_ips if c != minority]
        system.network.partition([minority], majority)
        system.network.partition([ip], majority)
        system.operator.cores = [(c, CONTROL_PORT) for c in majority]
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


async def fault_during_change(plane: ControlPlane, fault: str, delay_ms: float) -> None:
    """Sends two changes and a read, fails the primary `ms` later, and repeats the change."""
    primary = plane.primary()
    others = [ip for ip in plane.core_ips if ip != primary]
    calls = [
        plane.run_in_background(call)
        for call in (
            plane.send_change(primary),
            plane.read_version(primary),
            plane.send_change(others[0]),
        )
    ]
    version = plane.version
    await asyncio.sleep(delay_ms / 1000)
    if fault in ("isolated", "inbound", "outbound"):
        plane.network.blocked_links |= cuts(plane, fault) if plane.primary() else set()
    for host in plane.hosts(primary):
        if fault == "frozen":
            host.freeze()
        elif fault == "wiped":
            host.power_off(wipe=True)
    deadline = plane.loop.time() + 5.0
    while await plane.send_change(others[-1], 1.0, version) != 200:
        assert plane.loop.time() < deadline, "not acknowledged by the remaining machines"
        await asyncio.sleep(0.1)
    await plane.send_change(others[0], 1.0)
    await asyncio.sleep(READ_STALENESS_SECONDS + 0.3)
    plane.network.heal()
    for host in plane.hosts(primary):
        if fault == "frozen":
            host.thaw()
        elif fault == "wiped":
            host.start()
    await asyncio.gather(*calls)
    await asyncio.sleep(4.0 if fault == "wiped" else 1.0)
    await plane.check_recovered()


@pytest.mark.parametrize("fault", ["isolated", "inbound", "outbound", "frozen", "wiped"])
def test_a_fault_of_the_primary_at_any_step_of_a_change(plane, fault):
    for delay_ms in range(0, 26, 3):
        plane.run(fault_during_change(plane, fault, delay_ms + 0.5))


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
