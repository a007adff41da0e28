"""The engine as a whole: one answer in odd cases."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import PLANS, S, alone, arrival, pick

from loomstand.admission.actions import Abort, IncrementCounter, Reject, SendAttempt, SetTimer
from loomstand.admission.events import AttemptEnded, CounterReplied, EndpointsUpdated, TimerFired
from loomstand.admission.outcome import Outcome


def test_a_non_replayable_req_that_may_have_run_is_aborted_not_denied() -> None:
    engine = alone()
    act = pick(engine.handle(0, arrival(1, 0, front=1)), SendAttempt)[0]
    got = engine.handle(
        S, AttemptEnded(1, 0, act.endpoint_id, Outcome.CONNECTION_LOST, S, False, 0, 0.0)
    )
    assert pick(got, Abort) and not pick(got, SendAttempt)


def test_no_server_no_plan_no_rate_still_answers() -> None:
    engine = alone(servers=0)
    assert pick(engine.handle(5, arrival(1, 5, plan=-1)), Reject)
    strange = AttemptEnded(9, 3, 77, Outcome.NO_RESPONSE, 5, False, 0, 0.0)
    assert engine.handle(6, strange) == []


@pytest.mark.parametrize(
    ("limiters", "sets", "servers"), [(3, 255, 300), (380, 0, 1), (1, 1, 0), (0, 7, 9)]
)
def test_odd_sizes_and_a_leaping_clock_raise_nothing(
    limiters: int, sets: int, servers: int
) -> None:
    plans = (replace(PLANS[1], rate=1e-4, burst=2.0, rate_limit_burst=0.01), *PLANS[1:])
    engine, now, answered = alone(servers=servers, limiters=limiters, plans=plans, me=2), 0, 0
    for req in range(200):
        now += 1 if req % 9 else 700 * S
        acts = engine.handle(now, arrival(req, now, req % 4, req % 4, req % 7, sets))
        answered += len(pick(acts, SendAttempt)) + len(pick(acts, Reject))
        for act in pick(acts, SendAttempt):
            engine.handle(
                now,
                AttemptEnded(
                    act.request_id, 0, act.endpoint_id, Outcome.SUCCEEDED, 100, True, 0, 0.0
                ),
            )
        for act in pick(acts, IncrementCounter):
            engine.handle(now, CounterReplied(act.counter_name, Outcome.SUCCEEDED, -5.0, 30))
        for act in pick(acts, SetTimer):
            engine.handle(now + act.delay, TimerFired(act.tag))
    assert answered == 200
    engine.handle(now, EndpointsUpdated((), True))
    assert pick(engine.handle(now, arrival(999, now)), Reject)
