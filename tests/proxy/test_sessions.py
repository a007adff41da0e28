"""How a limiter combines the reports of several registries."""

from __future__ import annotations

import asyncio
from random import Random
from types import SimpleNamespace

from expression import Error, Ok

from loomstand.proxy.sessions import Sessions
from loomstand.proxy.shared_clock import ONE_WAY_TICKS, SharedClock
from loomstand.rpc.errors import CallFailure
from loomstand.testing.simulation.cluster import Cluster
from loomstand.testing.simulation.loop import run_simulated


class ScriptedNetwork:
    """A network on which each registry returns its scripted responses, then times out."""

    def __init__(self, responses):
        self.responses = responses

    async def call(self, address, op, body, within):
        if self.responses.get(address[0]) and op == "ask":
            return Ok(self.responses[address[0]].pop(0))
        await asyncio.sleep(within)
        return Error(CallFailure.MAY_HAVE_RUN)


class RecordingListener:
    def __init__(self):
        self.limiters = []

    def update_limiters(self, limiters):
        self.limiters.append((limiters.rank, limiters.total, limiters.silent))

    def update_instances(self, registry, rows, is_new_session): ...

    def update_clock(self, shared_clock, is_current): ...

    def shared_clock_reading(self):
        return None


def session_response(*fleet, cores=("c1", "c2", "c3")):
    return {
        "s": 7,
        "h": 1,
        "rows": [],
        "f": 1,
        "sure": True,
        "clock": 0,
        "fleet": list(fleet),
        "counter": ["c1", 1],
        "cores": list(cores),
    }


def run_sessions(responses, seconds=1.0):
    """Returns the reported limiter sets, and the core machines that are being polled."""

    async def work():
        loop, listener = asyncio.get_running_loop(), RecordingListener()
        settings = SimpleNamespace(
            seed_nodes=(("c1", 1),), node_name="f-1", registry_address=lambda ip: (ip, 1)
        )
        sessions = Sessions(settings, ScriptedNetwork(responses), loop.time, Random(1), listener)
        sessions.start()
        await asyncio.sleep(seconds)
        return listener.limiters, set(sessions.tasks)

    return run_simulated(work)


def test_limiter_set_of_the_most_complete_registry_takes_precedence():
    """A registry that has just started doesn't know a limiter that can't reach it. If its report
    replaced those of other registries, the quota shares would grow and the quota would be
    exceeded, which happened in the scenario `scale-2` of the site `outlet`.
    """
    responses = {
        "c1": [session_response(1, 3, 1)],
        "c2": [session_response(1, 3, 2)],
        "c3": [session_response(0, 1, 0)],
    }
    sets, cores = run_sessions(responses)
    assert cores == {"c1", "c2", "c3"}  # listed core machines are polled as well as the seed
    assert sets[-1] == (1, 3, 1)


def test_unlisted_unresponsive_core_machine_is_no_longer_polled():
    responses = {"c1": [session_response(0, 1, 0, cores=("c1", "old"))]}
    assert "old" in run_sessions(dict(responses), 5.0)[1]
    responses = {"c1": [session_response(0, 1, 0, cores=("c1", "old"))]}
    assert run_sessions(responses, 20.0)[1] == {"c1"}  # a seed is polled indefinitely


def test_restarted_registry_gets_a_new_session():
    class RestartingNetwork(ScriptedNetwork):
        async def call(self, address, op, body, within):
            requests.append(body)
            if body.get("s") == 7 and len(requests) == 3:
                return Error(CallFailure.REFUSED)
            return await super().call(address, op, body, within)

    requests = []
    responses = {
        "c1": [
            session_response(0, 1, 0, cores=("c1",)),
            {},
            session_response(0, 1, 0, cores=("c1",)),
        ]
    }

    async def work():
        loop = asyncio.get_running_loop()
        settings = SimpleNamespace(
            seed_nodes=(("c1", 1),), node_name="f-1", registry_address=lambda ip: (ip, 1)
        )
        Sessions(
            settings, RestartingNetwork(responses), loop.time, Random(1), RecordingListener()
        ).start()
        await asyncio.sleep(0.5)

    run_simulated(work)
    assert ["s" in body for body in requests[:5]] == [False, True, True, False, True]
    assert all("name" in body for body in requests if "s" not in body)


# --- the shared clock


def test_shared_clock_ignores_delayed_readings_and_follows_a_changed_clock():
    shared_clock = SharedClock()
    assert (
        shared_clock.observe(5_000 - ONE_WAY_TICKS, 0) and shared_clock.offset == 5_000
    )  # the first reading is applied
    # the second reading on the next line is 10 ms late
    assert not shared_clock.observe(5_990, 1_000) and not shared_clock.observe(9_900, 5_000)
    assert not shared_clock.observe(13_000, 10_000)  # 200 ms late, as on a lossy link
    assert not shared_clock.observe(15_000, 10_100)  # unchanged: the previous reading was only late
    # a larger offset is applied immediately, as delays can't cause it
    assert shared_clock.observe(25_000, 11_000) and shared_clock.offset == 14_010
    assert not shared_clock.observe(3_000, 12_000) and not shared_clock.observe(4_500, 13_000)
    # the least delayed reading of the last second is applied
    assert shared_clock.observe(12_000, 20_500) and shared_clock.offset == -8_490


def test_limiter_started_with_a_wrong_wall_clock_uses_the_shared_clock():
    """A proxy starts while the core is down, on a machine whose wall clock is off by 1,600 s."""
    cluster = Cluster(5, proxies=3)
    cluster.use_default_configuration()
    cluster.tenant("greedy", "key-of-greedy", 40, 40)
    cluster.run(cluster.start())
    skewed = next(iter(cluster.proxies))
    core = [host for ip in cluster.core_ips for host in cluster.core(ip)]

    async def restart_without_core() -> None:
        for host in [*core, cluster.proxies[skewed]]:
            host.kill()
        cluster.clock_offsets[skewed] = 1600.0
        cluster.proxies[skewed].start()
        await asyncio.sleep(4.0)
        for host in core:
            host.start()
        await asyncio.sleep(4.0)

    cluster.run(restart_without_core())
    clocks = [proxy.now() + proxy.shared_clock.offset for proxy in cluster.running_proxies()]
    assert max(clocks) - min(clocks) <= 50  # 5 ms
    greedy, target = cluster.new_client(), ("GET", "town.example", "/a/x", "key-of-greedy")
    cluster.run(cluster.send_requests(greedy, 200, 8, *target, idempotent=True, tries=1))
    run_times = sorted(run.at for run in cluster.request_log.runs() if run.tenant == "greedy")
    assert (
        max(sum(t <= other < t + 5 for other in run_times) for t in run_times)
        <= (40 * 5 + 40) * 1.1 + 20
    )
    assert len(run_times) >= 0.8 * 40 * 8
    cluster.close()
