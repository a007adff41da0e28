"""What a limiter makes of several registries' words."""

from __future__ import annotations

import asyncio
from random import Random
from types import SimpleNamespace

from expression import Error, Ok

from loomstand.orchard.verdict import Verdict
from loomstand.stile.sessions import Sessions
from loomstand.weather.loop import play


class Registries:
    """A network on which each registry answers once, then never again."""

    def __init__(self, said):
        self.said = said

    async def call(self, address, op, body, within):
        if self.said.get(address[0]) and op == "ask":
            return Ok(self.said[address[0]].pop(0))
        await asyncio.sleep(within)
        return Error(Verdict.MAY_HAVE_RUN)


class Heard:
    def __init__(self):
        self.sets = []

    def limiters(self, me, many, silent):
        self.sets.append((me, many, silent))

    def servers(self, registry, rows, anew): ...

    def clock_told(self, clock, sure): ...

    def now(self):
        return 0


def answer(*fleet, cores=("c1", "c2", "c3")):
    return {
        "s": 7, "h": 1, "rows": [], "f": 1, "sure": True, "clock": 0,
        "fleet": list(fleet), "counter": ["c1", 1], "cores": list(cores),
    }  # fmt: skip


def heard(said, seconds=1.0):
    async def work():
        loop, user = asyncio.get_running_loop(), Heard()
        settings = SimpleNamespace(seeds=(("c1", 1),), node_name="f-1", nursery=lambda ip: (ip, 1))
        sessions = Sessions(settings, Registries(said), loop.time, Random(1), user)
        sessions.start()
        await asyncio.sleep(seconds)
        return user.sets, set(sessions.cores)

    return play(work)


def test_a_limiter_is_missing_only_if_no_registry_that_stands_has_it():
    """A registry that has just started knows nothing of a limiter that is cut off; its word took the place of
    the others', so that parts grew and the quota broke (scale-2 of the outlet)."""
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
                return Error(Verdict.REFUSED)
            return await super().call(address, op, body, within)

    asked = []
    said = {"c1": [answer(0, 1, 0, cores=("c1",)), {}, answer(0, 1, 0, cores=("c1",))]}

    async def work():
        loop = asyncio.get_running_loop()
        settings = SimpleNamespace(seeds=(("c1", 1),), node_name="f-1", nursery=lambda ip: (ip, 1))
        Sessions(settings, Anew(said), loop.time, Random(1), Heard()).start()
        await asyncio.sleep(0.5)

    play(work)
    assert ["s" in body for body in asked[:5]] == [False, True, True, False, True]
    assert all("name" in body for body in asked if "s" not in body)
