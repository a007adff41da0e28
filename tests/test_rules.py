"""Seeded random runs: several limiters, any legal event, and the five rules checked at every step."""

from __future__ import annotations

from helpers import PLANS, S, Stage, arrival, entry
from hypothesis import HealthCheck, given, settings
from hypothesis import Phase as Run
from hypothesis import strategies as st

from loomstand import interface as api
from loomstand.interface import Outcome, Phase

SEEDED = settings(
    derandomize=True, deadline=None, phases=[Run.generate], suppress_health_check=list(HealthCheck)
)
ENDS = (Outcome.PASSED,) * 6 + (
    Outcome.SERVER_ERROR,
    Outcome.TURNED_AWAY,
    Outcome.NO_CONNECTION,
    Outcome.CONNECTION_LOST,
)
COUNTS = (Outcome.PASSED,) * 4 + (Outcome.NO_ANSWER, Outcome.TURNED_AWAY, Outcome.NO_CONNECTION)
STEP = st.tuples(
    st.sampled_from(
        ["reqs"] * 6 + ["ends"] * 6 + ["counts"] * 3 + ["time"] * 3 + ["list", "kill", "gone", "heat"]
    ),
    st.integers(0, 1 << 20),
)


def play(stage: Stage, steps: list[tuple[str, int]]) -> None:
    req = 0
    for what, n in steps:
        limiter = n % len(stage.brains)
        match what:
            case "reqs" | "heat":
                for _ in range(1 + n % 9 if what == "reqs" else 40):
                    req += 1
                    plan = 3 if what == "heat" else n // 7 % len(PLANS)
                    note = arrival(req, stage.now, n // 3 % 4, plan, 10 * plan + n // 5 % 2)
                    stage.open[req] = (limiter, note, [])
                    stage.give(limiter, note)
                    limiter = (limiter + 1) % len(stage.brains)
            case "ends":
                for key in list(stage.out)[: 1 + n % 9]:
                    stage.finish(key, ENDS[n // 3 % len(ENDS)])
            case "counts":
                while stage.calls:
                    stage.count(n % len(stage.calls), COUNTS[n % len(COUNTS)], n % 11 == 0)
            case "time":
                stage.pass_time(10 + n % (3 * S))
            case "list":
                srv = n % len(stage.entries)
                phase = (Phase.LIVE, Phase.DRAINING, Phase.GONE)[n // 5 % 3]
                stage.entries[srv] = entry(srv, phase, stage.now if phase is Phase.LIVE else 0, srv % 2)
                for brain in range(len(stage.brains)):
                    stage.tell(brain)
            case "kill":
                stage.kill(limiter)
                stage.start(limiter)
            case "gone":
                if stage.open:
                    gone = list(stage.open)[n % len(stage.open)]
                    owner = stage.open[gone][0]
                    stage.answer(gone)
                    stage.give(owner, api.Vanished(gone))
    stage.pass_time(5 * S)
    assert not stage.open, "reqs were lost"


@settings(SEEDED, max_examples=150)
@given(st.lists(STEP, min_size=20, max_size=120), st.integers(2, 6))
def test_rules_hold_through_any_events(steps: list[tuple[str, int]], servers: int) -> None:
    play(Stage(servers), steps)


@settings(SEEDED, max_examples=30)
@given(st.lists(STEP, min_size=20, max_size=60))
def test_same_events_same_actions(steps: list[tuple[str, int]]) -> None:
    first, second = Stage(4), Stage(4)
    play(first, steps)
    play(second, steps)
    assert first.sends == second.sends
