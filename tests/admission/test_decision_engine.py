"""The decision engine as a whole: every request gets one answer, also in unusual cases."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import PLANS, S, actions_of_type, arrival, single_engine

from loomstand.admission.actions import Abort, IncrementCounter, Reject, SendAttempt, SetTimer
from loomstand.admission.events import AttemptEnded, CounterReplied, EndpointsUpdated, TimerFired
from loomstand.admission.outcome import Outcome


def test_non_idempotent_request_possibly_executed_is_aborted_not_rejected() -> None:
    engine = single_engine()
    action = actions_of_type(engine.handle(0, arrival(1, 0, frontend=1)), SendAttempt)[0]
    actions = engine.handle(
        S, AttemptEnded(1, 0, action.endpoint_id, Outcome.CONNECTION_LOST, S, False, 0, 0.0)
    )
    assert actions_of_type(actions, Abort) and not actions_of_type(actions, SendAttempt)


def test_requests_without_a_server_or_a_plan_are_answered() -> None:
    engine = single_engine(servers=0)
    assert actions_of_type(engine.handle(5, arrival(1, 5, plan=-1)), Reject)
    unknown_attempt = AttemptEnded(9, 3, 77, Outcome.NO_RESPONSE, 5, False, 0, 0.0)
    assert engine.handle(6, unknown_attempt) == []


@pytest.mark.parametrize(
    ("limiters", "limiter_set_size", "servers"), [(3, 255, 300), (380, 0, 1), (1, 1, 0), (0, 7, 9)]
)
def test_unusual_sizes_and_clock_jumps_raise_no_error(
    limiters: int, limiter_set_size: int, servers: int
) -> None:
    plans = (replace(PLANS[1], rate=1e-4, burst=2.0, rate_limit_burst=0.01), *PLANS[1:])
    engine = single_engine(servers=servers, limiter_count=limiters, plans=plans, limiter_index=2)
    now, answered = 0, 0
    for request_id in range(200):
        now += 1 if request_id % 9 else 700 * S
        actions = engine.handle(
            now,
            arrival(
                request_id, now, request_id % 4, request_id % 4, request_id % 7, limiter_set_size
            ),
        )
        answered += len(actions_of_type(actions, SendAttempt)) + len(
            actions_of_type(actions, Reject)
        )
        for action in actions_of_type(actions, SendAttempt):
            engine.handle(
                now,
                AttemptEnded(
                    action.request_id, 0, action.endpoint_id, Outcome.SUCCEEDED, 100, True, 0, 0.0
                ),
            )
        for action in actions_of_type(actions, IncrementCounter):
            engine.handle(now, CounterReplied(action.counter_name, Outcome.SUCCEEDED, -5.0, 30))
        for action in actions_of_type(actions, SetTimer):
            engine.handle(now + action.delay, TimerFired(action.tag))
    assert answered == 200
    engine.handle(now, EndpointsUpdated((), True))
    assert actions_of_type(engine.handle(now, arrival(999, now)), Reject)
