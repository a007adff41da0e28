"""Tests of many changes while a member is unavailable, and of configurations with many routes."""

from __future__ import annotations

import asyncio
import json
import os
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest
from expression import Error, Ok
from hypothesis import given, settings
from hypothesis import strategies as st
from test_store import StoreCluster

from loomstand.config.configuration import (
    ConfigurationError,
    ConfigurationReader,
    parse_configuration,
)
from loomstand.config.configuration import reader as reader_module
from loomstand.proxy import configuration_fetcher, sessions
from loomstand.registry import operator_api
from loomstand.registry.process import MAX_BODY_BYTES
from loomstand.registry.store_client import StoreClient
from loomstand.rpc.errors import CallFailure
from loomstand.rpc.frames import FrameDecoder as Frames
from loomstand.rpc.frames import encode_item
from loomstand.rpc.messages.session_messages import ConfigurationResponse
from loomstand.rpc.timeouts import wait_for
from loomstand.store import disk
from loomstand.store.change_history import MAX_ENTRIES
from loomstand.store.disk import LmdbDisk
from loomstand.store.replica import Replica
from loomstand.testing.simulation.cluster import Cluster
from loomstand.testing.simulation.loop import run_simulated


def is_in_force_everywhere(system: Cluster) -> bool:
    return all(p.configuration.table.version == system.version for p in system.running_proxies())


def resources(routes: int) -> list[dict[str, Any]]:
    """Returns two services, a tenant, and the given number of routes."""
    spec = {
        "host": "town.example",
        "route_kind": "idempotent",
        "timeout": "5000ms",
        "target_latency": "800ms",
        "priority": 2,
        "maximum_attempts": 2,
        "public": False,
        "traffic_split": [
            {"service_name": "alpha", "weight": 90},
            {"service_name": "beta", "weight": 10},
        ],
    }
    entries = [("services", name, {}) for name in ("alpha", "beta")]
    entries += [("tenants", "ann", {"api_keys": ["key"], "rate_per_s": 5})]
    entries += [("routes", f"r-{n}", spec | {"path_prefix": f"/r{n}/"}) for n in range(routes)]
    return [
        {"resource_kind": k, "metadata": {"name": n}, "specification": s} for k, n, s in entries
    ]


def body(entries: list[dict[str, Any]], version: int = 7) -> bytes:
    return json.dumps({"version": f"r{version}", "resources": entries}).encode()


@pytest.mark.parametrize("timeout", ["0ms", "0s", "0.0s"])
def test_a_route_with_a_timeout_of_zero_is_refused(timeout):
    entries = resources(2)
    assert parse_configuration(body(entries)).routes[0].timeout_seconds == 5.0
    entries[3]["specification"]["timeout"] = timeout
    with pytest.raises(
        ConfigurationError, match=r"resources\[3\] route r-0: specification.timeout: 0$"
    ):
        parse_configuration(body(entries))


# --- incremental parsing

FIELDS = {
    "priority": (1, 1.0, True, "1", None, 3),
    "public": (True, 1, False, 0),
    "host": ("a.example", "", "A"),
    "path_prefix": ("/r0/", "/r1/", "r"),
    "service_name": ("alpha", "gone", None),
    "timeout": ("0ms", "9s"),
    "traffic_split": (
        [],
        [{"service_name": "beta", "weight": 0}],
        [{"service_name": "gone", "weight": 1}],
    ),
    "api_keys": (["key"], [], ["key", "other"]),
    "rate_per_s": (5.0, True, 7),
}
STEP = st.sampled_from(sorted(FIELDS)).flatmap(
    lambda name: st.tuples(st.integers(0, 6), st.just(name), st.sampled_from(FIELDS[name]))
)


def outcome(parse, raw: bytes) -> Any:
    """Returns the parsed configuration, or the text of the error."""
    try:
        return parse(raw)
    except ConfigurationError as error:
        return str(error)


def compare(steps, keeps_invalid: bool) -> None:
    """Compares incremental with full parsing over successive changes.

    Each change is based on the last valid one, or with `keeps_invalid` on the previous one.
    """
    reader, entries = ConfigurationReader(), resources(4)
    for n, (at, name, value) in enumerate(steps):
        changed = json.loads(json.dumps(entries))
        changed[at]["specification"][name] = value
        if n % 4 == 3:
            changed.append(changed.pop(at))
        raw = body(changed, n)
        incremental, full = outcome(reader.parse, raw), outcome(parse_configuration, raw)
        assert repr(incremental) == repr(full)  # unlike ==, repr distinguishes 1 from 1.0
        if keeps_invalid or not isinstance(full, str):
            entries = changed


@given(st.lists(STEP, max_size=12), st.booleans())
@settings(max_examples=150, deadline=None, derandomize=True)
def test_what_is_read_by_what_changed_is_what_is_read_whole(steps, kept):
    compare(steps, kept)


def test_equal_values_of_different_types_are_distinguished(monkeypatch):
    steps = [(3, "public", False), (3, "public", 0)]
    compare(steps, False)
    monkeypatch.setattr(
        reader_module.marshal, "dumps", lambda r, _: repr(r).replace("False", "0").encode()
    )
    with pytest.raises(AssertionError):
        compare(steps, False)


def test_a_change_of_one_route_parses_only_that_route(monkeypatch):
    reads, entries, parse_resource = [], resources(3000), reader_module.parse_resource
    monkeypatch.setattr(
        reader_module, "parse_resource", lambda at, r: reads.append(at) or parse_resource(at, r)
    )
    reader = ConfigurationReader()
    reader.parse(body(entries, 1))
    assert len(reads) == 3003
    entries[70]["specification"]["timeout"] = "4s"
    assert reader.parse(body(entries, 2)).routes[67].timeout_seconds == 4.0 and reads[3003:] == [70]


# --- catch-up after hundreds of changes


async def put_changes(cluster: StoreCluster, count: int, excluded_host: str) -> None:
    """Sends changes one by one, with pauses of 0.1 s, to any machine but `excluded_host`."""
    for _ in range(count):
        assert await cluster.put_within(6.0, (excluded_host,))
        await asyncio.sleep(0.1)


async def outages_during_changes(cluster: StoreCluster, rng: Random) -> None:
    """Makes one machine after the other miss over a hundred changes, each time in another way."""
    hosts = [*cluster.machines]
    for machine in cluster.machines.values():
        machine.start()
    await asyncio.sleep(1.5)
    cluster.is_first_start = False
    for kind in ("power", "cut", "wipe", "freeze", "all"):
        primary = cluster.find_primary() if rng.random() < 0.6 else None
        failed_machine = primary or cluster.machines[rng.choice(hosts)]
        if kind in ("power", "wipe", "all"):
            failed_machine.power_off(wipe=kind == "wipe")
        elif kind == "cut":
            cluster.network.partition(
                [failed_machine.host], [h for h in hosts if h != failed_machine.host]
            )
        else:
            failed_machine.freeze()
        await put_changes(cluster, 105, failed_machine.host)
        if kind == "all":  # the machine that missed the changes restarts first
            for machine in cluster.machines.values():
                machine.power_off()
            failed_machine.start()
            await asyncio.sleep(1.0)
            assert cluster.find_primary() is None
            for machine in cluster.machines.values():
                if machine is not failed_machine:
                    machine.start()
        elif kind in ("power", "wipe"):
            failed_machine.start()
        elif kind == "cut":
            cluster.network.heal()
        else:
            failed_machine.thaw()
        await put_changes(cluster, 5, "")
    await asyncio.sleep(1.0)
    assert cluster.sent >= 550
    for machine, store in cluster.stores():
        assert store.replica.version == cluster.acknowledged_version, (
            f"{machine.host} didn't catch up"
        )
        assert sum(map(len, machine.disk_state.pages.values())) < 1000 + 16 * MAX_ENTRIES
        assert len(store.parts.io.tasks) < 20 and len(store.replica.history.entries) <= MAX_ENTRIES


def run_outages(seed: int) -> None:
    cluster = StoreCluster(seed)
    try:
        cluster.run(outages_during_changes(cluster, Random(seed)))
        cluster.close()
    finally:
        cluster.loop.close()


@pytest.mark.parametrize("seed", range(3))
def test_members_that_missed_a_hundred_changes_catch_up_before_they_can_lead(seed):
    run_outages(seed)


def test_without_commits_from_others_a_member_never_catches_up(monkeypatch):
    commit = Replica.commit

    def skip_large_steps(self, version, data):
        if version > self.version + 90 and self.version:
            return False
        return commit(self, version, data)

    monkeypatch.setattr(Replica, "commit", skip_large_steps)
    with pytest.raises(AssertionError):
        run_outages(0)


def catch_up_seconds(versions: int) -> float:
    """Returns the seconds until a limiter that missed `versions` versions has the newest one.

    They are measured from the end of its partition; changes continue during the measurement.
    """
    system = Cluster(5, proxies=2)
    system.run(system.start())
    ip = next(iter(system.proxies))
    system.network.partition([ip], system.core_ips)

    async def change_routes(number: int) -> None:
        for n in range(number):
            system.route(f"n{n % 7}", ("alpha", "beta")[n % 2], timeout=f"{1000 + n}ms")
            assert await system.replace()
            await asyncio.sleep(0.02)

    system.run(change_routes(versions))
    assert system.proxy(ip).configuration.table.version < system.version - versions
    system.network.heal()
    newest, changing = system.version, system.run_in_background(change_routes(60))
    duration = system.run(
        system.wait_until(lambda: system.proxy(ip).configuration.table.version >= newest, 4.0)
    )
    system.run(wait_for(changing, 60.0))
    system.run(
        system.wait_until(
            lambda: is_in_force_everywhere(system),
            0.5,
        )
    )
    system.close()
    return duration


def test_a_limiter_that_missed_three_hundred_versions_catches_up_within_its_bound():
    assert catch_up_seconds(300) < 2.5


class SlowRegistry:
    """A network to a registry that gets a configuration every 0.3 s and takes 2 s to send one."""

    async def call(self, address, op, request, within):
        loop = asyncio.get_running_loop()
        if op == "ask":
            await asyncio.sleep(0.1)
            new = int(loop.time() / 0.3) + 1
            return Ok({"s": 7, "h": 1, "rows": [], "c": new})
        if within < 2.0:
            await asyncio.sleep(within)
            return Error(CallFailure.MAY_HAVE_RUN)
        await asyncio.sleep(2.0)
        return Ok({"version": int(loop.time() / 0.3), "data": b"whole"})


def fetched_versions() -> list[int]:
    async def work() -> list[int]:
        fetched: list[int] = []
        listener = SimpleNamespace(
            update_instances=lambda *_: None,
            shared_clock_reading=lambda: None,
            update_clock=lambda *_: None,
            apply_configuration=lambda version, data: fetched.append(version) or True,
        )
        proxy_settings = SimpleNamespace(
            seed_nodes=(("c1", 1),), node_name="f-1", registry_address=lambda ip: (ip, 1)
        )
        proxy_sessions = sessions.Sessions(
            proxy_settings, SlowRegistry(), asyncio.get_running_loop().time, Random(1), listener
        )
        proxy_sessions.start()
        await asyncio.sleep(20.0)
        return fetched

    return run_simulated(work)


def test_a_transfer_longer_than_the_interval_between_changes_still_completes(monkeypatch):
    fetched = fetched_versions()
    assert len(fetched) >= 5 and fetched == sorted(fetched)
    monkeypatch.setattr(
        configuration_fetcher,
        "MAX_FETCH_TIMEOUT_SECONDS",
        configuration_fetcher.FETCH_TIMEOUT_SECONDS,
    )
    assert not fetched_versions()


# --- thousands of routes


def test_thousands_of_routes_are_acknowledged_compressed_and_in_force(monkeypatch):
    sent_sizes, handle_configuration = [], StoreClient.handle_configuration

    async def fetch(self, request):
        answer = await handle_configuration(self, request)
        sent_sizes.append(len(answer.compressed_data or answer.data or b""))
        return answer

    monkeypatch.setattr(StoreClient, "handle_configuration", fetch)
    system = Cluster(6, proxies=2)
    system.run(system.start())
    for n in range(3000):
        system.route(f"many{n}", ("alpha", "beta")[n % 2])
    assert system.run(system.replace())
    system.run(
        system.wait_until(
            lambda: is_in_force_everywhere(system),
            2.0,
        )
    )
    size = len(system.versions[system.version])
    assert size > 700_000 and max(sent_sizes) < size / 10
    assert system.run(system.operator.read()) == system.versions[system.version]
    large = system.run(
        system.operator.call("configuration.replace", b" " * (MAX_BODY_BYTES + 1), 5.0)
    )
    assert large.status == 413 and b"long" in large.body
    system.close()


def test_large_changes_at_once_are_limited_by_their_size(monkeypatch):
    system = Cluster(4, proxies=1)
    system.run(system.start())
    version, registry = system.version, system.registry(system.core_ips[0])
    bodies = [system.body(version + 1 + n) for n in range(8)]

    async def send_all() -> list[int]:
        calls = (
            registry.handle_http(b"POST", b"/api/rpc?call=configuration.replace", raw)
            for raw in bodies
        )
        return sorted(status for status, _ in await asyncio.gather(*calls))

    assert system.run(send_all()) == [200] * 8 and registry.operator_api.pending_bytes == 0
    monkeypatch.setattr(operator_api, "MAX_PENDING_BYTES", 3 * len(bodies[0]) + 3)
    assert (
        system.run(send_all()) == [200] * 3 + [503] * 5 and registry.operator_api.pending_bytes == 0
    )
    # a single change above the limit is accepted, too
    monkeypatch.setattr(operator_api, "MAX_PENDING_BYTES", 10)
    assert (
        system.run(
            registry.handle_http(b"POST", b"/api/rpc?call=configuration.replace", bodies[7])
        )[0]
        == 200
    )
    system.close()


def test_data_that_cannot_be_decompressed_gives_an_empty_configuration():
    assert (
        configuration_fetcher.unpack(ConfigurationResponse(version=7, compressed_data=b"torn"))
        == b""
    )
    assert configuration_fetcher.unpack(ConfigurationResponse(version=7, data=b"plain")) == b"plain"


def test_the_largest_body_fits_into_a_frame_and_on_the_disk(tmp_path, monkeypatch):
    raw = os.urandom(MAX_BODY_BYTES)
    frame = encode_item(
        [
            1,
            "keep",
            {
                "version": 2**62,
                "data": raw,
                "orders": [[2**62] * MAX_ENTRIES, b"12345678" * MAX_ENTRIES],
            },
        ]
    )
    assert next(Frames().feed(frame)).body["data"] == raw

    def write_pages(folder: str) -> int:
        rng, lmdb_disk = Random(3), LmdbDisk(tmp_path / folder)
        with asyncio.Runner() as runner:
            try:
                for _ in range(24):
                    size = rng.choice((7000, rng.randrange(MAX_BODY_BYTES), MAX_BODY_BYTES))
                    runner.run(
                        lmdb_disk.save(
                            {"configuration": raw[:size], "orders": raw[: 12 * MAX_ENTRIES]}
                        )
                    )
                    runner.run(lmdb_disk.save({"vote": raw[:300]}))
                assert len(runner.run(lmdb_disk.load())["configuration"]) == size
            finally:
                lmdb_disk.close()
        return (tmp_path / folder / "data.mdb").stat().st_size

    assert write_pages("one") < 64 << 20
    monkeypatch.setattr(disk, "MAP_BYTES", 2 * MAX_BODY_BYTES)
    with pytest.raises(OSError, match="MAP_FULL"):
        write_pages("other")
