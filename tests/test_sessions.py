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

    def limiters(self, members, missing):
        self.sets.append((members, missing))

    def servers(self, registry, rows, anew): ...

    def clock_told(self, clock, took, sure): ...

    def now(self):
        return 0


def answer(members, missing, cores=("c1", "c2", "c3")):
    return {
        "life": "l", "have": 0, "rows": [], "facts": 1, "config": 0, "sure": True, "clock": 0,
        "members": members, "missing": missing, "counter": ["c1", 1], "cores": list(cores),
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
    said = {"c1": [answer(["f-1", "f-2"], ["f-3"])], "c2": [answer(["f-1"], ["f-2", "f-3"])],
            "c3": [answer(["f-1"], [])]}  # fmt: skip
    sets, cores = heard(said)
    assert cores == {"c1", "c2", "c3"}  # those that were told are asked as well
    assert sets[-1] == (["f-1", "f-2"], ["f-3"])


def test_a_core_machine_that_nobody_lists_and_that_is_silent_is_asked_no_more():
    said = {"c1": [answer(["f-1"], [], cores=("c1", "old"))]}
    assert "old" in heard(dict(said), 5.0)[1]
    said = {"c1": [answer(["f-1"], [], cores=("c1", "old"))]}
    assert heard(said, 20.0)[1] == {"c1"}  # a seed is asked for ever
