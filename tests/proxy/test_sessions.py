"""What a limiter makes of several registries' words."""

from __future__ import annotations

import asyncio
from random import Random
from types import SimpleNamespace

from expression import Error, Ok

from loomstand.proxy.sessions import Sessions
from loomstand.proxy.shared_clock import ONE_WAY_TICKS, SharedClock
from loomstand.rpc.errors import CallFailure
from loomstand.testing.simulation.cluster import Cluster
from loomstand.testing.simulation.loop import play


class Registries:
    """A network on which each registry answers once, then never again."""

    def __init__(self, said):
        self.said = said

    async def call(self, address, op, body, within):
        if self.said.get(address[0]) and op == "ask":
            return Ok(self.said[address[0]].pop(0))
        await asyncio.sleep(within)
        return Error(CallFailure.MAY_HAVE_RUN)


class Listener:
    def __init__(self):
        self.limiters = []

    def update_limiters(self, limiters):
        self.limiters.append((limiters.rank, limiters.total, limiters.silent))

    def update_instances(self, registry, rows, is_new_session): ...

    def update_clock(self, shared_clock, is_current): ...

    def shared_clock_reading(self):
        return None


def answer(*fleet, cores=("c1", "c2", "c3")):
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


def heard(said, seconds=1.0):
    async def work():
        loop, user = asyncio.get_running_loop(), Listener()
        settings = SimpleNamespace(
            seed_nodes=(("c1", 1),), node_name="f-1", registry_address=lambda ip: (ip, 1)
        )
        sessions = Sessions(settings, Registries(said), loop.time, Random(1), user)
        sessions.start()
        await asyncio.sleep(seconds)
        return user.limiters, set(sessions.tasks)

    return play(work)


def test_a_limiter_is_missing_only_if_no_registry_that_stands_has_it():
    """A registry that has just started knows nothing of a limiter that is cut off; its word took
    the place of the others', so that parts grew and the quota broke (scale-2 of the outlet).
    """
    said = {"c1": [answer(1, 3, 1)], "c2": [answer(1, 3, 2)], "c3": [answer(0, 1, 0)]}
    sets, cores = heard(said)
    assert cores == {"c1", "c2", "c3"}  # those that were told are asked as well
    assert sets[-1] == (1, 3, 1)


def test_a_core_machine_that_nobody_lists_and_that_is_silent_is_asked_no_more():
    said = {"c1": [answer(0, 1, 0, cores=("c1", "old"))]}
    assert "old" in heard(dict(said), 5.0)[1]
    said = {"c1": [answer(0, 1, 0, cores=("c1", "old"))]}
    assert heard(said, 20.0)[1] == {"c1"}  # a seed is asked for ever


def test_a_registry_that_started_anew_gets_a_new_session():
    class Anew(Registries):
        async def call(self, address, op, body, within):
            asked.append(body)
            if body.get("s") == 7 and len(asked) == 3:
                return Error(CallFailure.REFUSED)
            return await super().call(address, op, body, within)

    asked = []
    said = {"c1": [answer(0, 1, 0, cores=("c1",)), {}, answer(0, 1, 0, cores=("c1",))]}

    async def work():
        loop = asyncio.get_running_loop()
        settings = SimpleNamespace(
            seed_nodes=(("c1", 1),), node_name="f-1", registry_address=lambda ip: (ip, 1)
        )
        Sessions(settings, Anew(said), loop.time, Random(1), Listener()).start()
        await asyncio.sleep(0.5)

    play(work)
    assert ["s" in body for body in asked[:5]] == [False, True, True, False, True]
    assert all("name" in body for body in asked if "s" not in body)


# --- the common clock


def test_late_word_of_the_common_clock_is_passed_over_and_a_clock_that_moved_is_followed():
    shared_clock = SharedClock()
    assert (
        shared_clock.observe(5_000 - ONE_WAY_TICKS, 0) and shared_clock.offset == 5_000
    )  # the first word counts
    # the latter came 10 ms late
    assert not shared_clock.observe(5_990, 1_000) and not shared_clock.observe(9_900, 5_000)
    assert not shared_clock.observe(13_000, 10_000)  # 200 ms late, on a lossy link
    assert not shared_clock.observe(15_000, 10_100)  # as ever: the one before was only late
    # ahead: nothing makes it look so
    assert shared_clock.observe(25_000, 11_000) and shared_clock.offset == 14_010
    assert not shared_clock.observe(3_000, 12_000) and not shared_clock.observe(4_500, 13_000)
    # the least late word of the last second
    assert shared_clock.observe(12_000, 20_500) and shared_clock.offset == -8_490


def test_a_limiter_that_began_with_another_time_of_day_counts_with_the_others():
    """The core was away as one proxy started, and its machine's time of day is 1,600 s off."""
    cluster = Cluster(5, proxies=3)
    cluster.usual()
    cluster.tenant("greedy", "key-of-greedy", 40, 40)
    cluster.do(cluster.begin())
    odd = next(iter(cluster.proxies))
    core = [host for ip in cluster.core_ips for host in cluster.core(ip)]

    async def away() -> None:
        for host in [*core, cluster.proxies[odd]]:
            host.kill()
        cluster.steps[odd] = 1600.0
        cluster.proxies[odd].start()
        await asyncio.sleep(4.0)
        for host in core:
            host.start()
        await asyncio.sleep(4.0)

    cluster.do(away())
    clocks = [proxy.now() + proxy.shared_clock.offset for proxy in cluster.all_proxies()]
    assert max(clocks) - min(clocks) <= 50  # 5 ms
    greedy, what = cluster.someone(), ("GET", "town.example", "/a/x", "key-of-greedy")
    cluster.do(cluster.flow(greedy, 200, 8, *what, idempotent=True, tries=1))
    at = sorted(run.at for run in cluster.book.runs() if run.tenant == "greedy")
    assert max(sum(t <= other < t + 5 for other in at) for t in at) <= (40 * 5 + 40) * 1.1 + 20
    assert len(at) >= 0.8 * 40 * 8
    cluster.close()
