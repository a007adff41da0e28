"""Seeded random runs: several limiters, any legal event, and the five rules checked at every
step.
"""

from __future__ import annotations

from helpers import PLANS, S, Stage, arrival, entry
from hypothesis import HealthCheck, given, settings
from hypothesis import Phase as Run
from hypothesis import strategies as st

from loomstand.admission.endpoints import EndpointState
from loomstand.admission.events import ClientDisconnected
from loomstand.admission.outcome import Outcome

SEEDED = settings(
    derandomize=True, deadline=None, phases=[Run.generate], suppress_health_check=list(HealthCheck)
)
ENDS = (Outcome.SUCCEEDED,) * 6 + (
    Outcome.SERVER_ERROR,
    Outcome.REJECTED,
    Outcome.CONNECT_FAILED,
    Outcome.CONNECTION_LOST,
)
COUNTS = (Outcome.SUCCEEDED,) * 4 + (Outcome.NO_RESPONSE, Outcome.REJECTED, Outcome.CONNECT_FAILED)
STEP = st.tuples(
    st.sampled_from(
        ["reqs"] * 6
        + ["ends"] * 6
        + ["counts"] * 3
        + ["time"] * 3
        + ["list", "kill", "gone", "heat", "stall", "empty"]
    ),
    st.integers(0, 1 << 20),
)


def play(stage: Stage, steps: list[tuple[str, int]], sets: int = 3) -> None:
    req = 0
    for what, n in steps:
        limiter = n % sets
        match what:
            case "reqs" | "heat":
                for _ in range(1 + n % 9 if what == "reqs" else 40):
                    req += 1
                    plan = 3 if what == "heat" else n // 7 % len(PLANS)
                    note = arrival(req, stage.now, n // 3 % 4, plan, 10 * plan + n // 5 % 2, sets)
                    stage.open[req] = (limiter, note, [])
                    stage.give(limiter, note)
                    limiter = (limiter + 1) % sets
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
                phase = (EndpointState.LIVE, EndpointState.DRAINING, EndpointState.GONE)[n // 5 % 3]
                stage.entries[srv] = entry(
                    srv, phase, stage.now if phase is EndpointState.LIVE else 0, srv % 2
                )
                for brain in range(len(stage.brains)):
                    stage.tell(brain)
            case "stall":  # a limiter has no turn for a while, then gets all at once
                stage.stalled = limiter
                stage.pass_time(1 + n % (2 * S))
                stage.stalled = None
            case "empty":
                stage.counts.clear()
            case "kill":
                stage.kill(limiter)
                stage.start(limiter)
            case "gone":
                if stage.open:
                    gone = list(stage.open)[n % len(stage.open)]
                    owner = stage.open[gone][0]
                    stage.answer(gone)
                    stage.give(owner, ClientDisconnected(gone))
    stage.pass_time(5 * S)
    assert not stage.open, "reqs were lost"


@settings(SEEDED, max_examples=150)
@given(st.lists(STEP, min_size=20, max_size=120), st.integers(2, 6))
def test_rules_hold_through_any_events(steps: list[tuple[str, int]], servers: int) -> None:
    play(Stage(servers), steps)


@settings(SEEDED, max_examples=40)
@given(st.lists(STEP, min_size=20, max_size=80), st.integers(1, 8), st.integers(12, 40))
def test_rules_hold_in_sum_over_many_limiters(
    steps: list[tuple[str, int]], servers: int, limiters: int
) -> None:
    """More limiters than servers, all started at once and told at once; a set of ten shares the
    ceiling.
    """
    play(Stage(servers, limiters), steps, sets=10)


def test_many_limiters_share_a_cold_servers_budget() -> None:
    """Rule 4 on the sum, when all limiters are told of a new server together and reqs go on
    evenly.
    """
    stage = Stage(4, limiters=30)
    for req in range(1, 3001):
        if req == 1500:
            stage.entries[4] = entry(4, booted=stage.now)
            for n in range(30):
                stage.tell(n)
        note = arrival(req, stage.now, 0, 2, 0, 30)
        stage.open[req] = (req % 30, note, [])
        stage.give(req % 30, note)
        stage.pass_time(S // 100)
        for key in [k for k, o in stage.out.items() if o[2] < stage.now - S // 10]:
            stage.finish(key, Outcome.SUCCEEDED)
    start = stage.entries[4].started_at
    cold = [t for t, srv in stage.sends if srv == 4]
    for second in range(8):  # peers do some 25 a second, and the budget is counted over one second
        sent = sum(start + second * S <= t < start + (second + 1) * S for t in cold)
        assert sent <= 1.2 * 3.0 * (0.2 + 0.08 * (second + 1)) * 25
    assert cold


@settings(SEEDED, max_examples=30)
@given(st.lists(STEP, min_size=20, max_size=60))
def test_same_events_same_actions(steps: list[tuple[str, int]]) -> None:
    first, second = Stage(4), Stage(4)
    play(first, steps)
    play(second, steps)
    assert first.sends == second.sends
