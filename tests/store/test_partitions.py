"""A control machine that is cut off, frozen or empty hands out nothing old, refuses no order,
confirms none that is lost: whole control planes on the simulated network, asked by operators who
wait long.
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


# --- frozen in mid-answer


def thawed_reads(plane: ControlPlane, who: str, asked: str) -> list[int]:
    """What is read by operators whose answers froze with a machine, at moments 0.5 ms apart;
    meanwhile others acknowledge more. `who`: the hosts of the primary's machine that freeze;
    `asked`: through which one.
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
def test_what_froze_with_a_machine_is_not_handed_out_as_it_thaws(plane, who, asked):
    assert any(thawed_reads(plane, who, asked))  # else nothing was in time to be read


def test_a_lease_that_is_looked_at_only_as_the_store_answers_is_not_enough(monkeypatch):
    monkeypatch.setattr(
        freshness,
        "remaining_seconds",
        lambda lease_seconds, asked_at, now, timeout_seconds: timeout_seconds,
    )
    plane = ControlPlane(3)
    plane.run(plane.start())
    with pytest.raises(AssertionError, match="handed out"):
        thawed_reads(plane, "registry", "itself")
    with contextlib.suppress(AssertionError):  # the same one, of a task that the cluster watched
        plane.close()


def test_an_answer_may_be_passed_on_while_nobody_else_can_serve_counted_from_the_asking():
    said = {"version": 7, "left": 0.9}
    assert freshness.remaining_seconds(said["left"], 10.0, 10.2, 5.0) == pytest.approx(0.7)
    assert (
        freshness.remaining_seconds(said["left"], 10.0, 10.9, 5.0)
        == 0.0
        == freshness.remaining_seconds(said["left"], 10.0, 10.4, 0.4)
    )
    # of a store before the rule
    assert freshness.remaining_seconds(None, 10.0, 10.3, 0.8) == pytest.approx(0.5)


async def thaw(host: Host) -> None:
    host.thaw()


def test_a_registry_that_froze_is_sure_of_nothing_that_it_heard_before(plane):
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


# --- cuts


def cuts(plane: ControlPlane, how: str) -> set[tuple[str, str]]:
    first = plane.primary()
    rest = [ip for ip in plane.core_ips if ip != first]
    return {
        "off": {
            (a, b) for a in plane.core_ips for b in plane.core_ips if (a == first) != (b == first)
        },
        "deaf": {(ip, first) for ip in rest},
        "dumb": {(first, ip) for ip in rest},
        "each of two sees a third": {(first, rest[0]), (rest[0], first)},
    }[how]


@pytest.mark.parametrize("how", ["off", "deaf", "dumb", "each of two sees a third"])
def test_a_cut_of_twenty_seconds_hands_out_nothing_old_and_refuses_nothing(plane, how):
    async def twenty() -> None:
        first = plane.primary()
        rest = [ip for ip in plane.core_ips if ip != first]
        plane.network.blocked_links |= cuts(plane, how)
        until, taken = plane.loop.time() + 20.0, 0
        late = []
        while plane.loop.time() < until:
            late += [
                plane.run_in_background(plane.send_change(first)),
                plane.run_in_background(plane.read_version(first)),
            ]
            # sent again, to the machine that is cut off
            if plane.sent and plane.rng.random() < 0.5:
                late.append(
                    plane.run_in_background(
                        plane.send_change(first, version=plane.rng.choice([*plane.sent]))
                    )
                )
            taken += await plane.send_change(rest[-1], 1.0) == 200
            await plane.read_version(rest[-1], 1.0)
            await asyncio.sleep(0.25)
        assert taken > 40  # of about 75
        plane.network.heal()
        await asyncio.gather(*late)
        await asyncio.sleep(1.5)
        await plane.check_recovered()

    plane.run(twenty())


def started_behind_a_cut() -> tuple[float, int, int, float]:
    """A proxy starts where it reaches one registry alone, which is cut off, as others acknowledge a
    change: s until it is ready, its version then, the newest by then, and s after the cut until it
    has that.
    """
    system = Cluster(5, proxies=2, servers=2)
    system.run(system.start())
    ip = next(iter(system.proxies))
    alone = next(c for c in system.core_ips if not system.is_serving(c))

    async def story() -> tuple[float, int, int, float]:
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
        held = system.proxy(ip).configuration.table.version
        system.network.heal()
        back = await system.wait_until(
            lambda: system.proxy(ip).configuration.table.version == system.version, 3.0
        )
        return ready, held, system.version, back

    found = system.run(story())
    system.close()
    return found


def test_a_proxy_that_starts_on_the_cut_off_side_is_in_no_haste_to_serve_what_it_got_there(
    monkeypatch,
):
    ready, held, newest, back = started_behind_a_cut()
    assert 3.0 <= ready <= 4.1 and held < newest and back < 2.0
    monkeypatch.setattr(ConfigurationCache, "is_current", lambda self, now: True)
    ready, held, newest, _ = started_behind_a_cut()
    assert ready < 1.0 and held < newest


# --- at every step of an order


async def struck(plane: ControlPlane, how: str, ms: float) -> None:
    """An order, a question and another operator's order, the primary struck in the midst; then sent
    again.
    """
    first = plane.primary()
    others = [ip for ip in plane.core_ips if ip != first]
    late = [
        plane.run_in_background(w)
        for w in (plane.send_change(first), plane.read_version(first), plane.send_change(others[0]))
    ]
    version = plane.version
    await asyncio.sleep(ms / 1000)
    if how in ("off", "deaf", "dumb"):
        plane.network.blocked_links |= cuts(plane, how) if plane.primary() else set()
    for host in plane.hosts(first):
        if how == "frozen":
            host.freeze()
        elif how == "wiped":
            host.power_off(wipe=True)
    until = plane.loop.time() + 5.0
    while await plane.send_change(others[-1], 1.0, version) != 200:
        assert plane.loop.time() < until, "not acknowledged by those that are left"
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


@pytest.mark.parametrize("how", ["off", "deaf", "dumb", "frozen", "wiped"])
def test_a_primary_struck_at_any_step_of_an_order(plane, how):
    for ms in range(0, 26, 3):
        plane.run(struck(plane, how, ms + 0.5))


# --- at random


def test_drawn_troubles_lose_nothing_refuse_nothing_and_hand_out_nothing_old():
    planes = [run_random_faults(seed) for seed in range(4)]
    assert sum(p.reads for p in planes) > 300 and sum(len(p.acked) for p in planes) > 300


def test_drawn_troubles_find_a_store_that_reads_without_a_lease(monkeypatch):
    async def read(self: ConfigurationService, request):
        replica = self._io.replica
        return ReadResponse(version=replica.version, data=replica.data)

    monkeypatch.setattr(ConfigurationService, "handle_read", read)
    with pytest.raises(AssertionError, match="handed out"):
        for seed in range(8):
            run_random_faults(seed)
