"""Seeded random runs of several limiters with any valid events.

The five rules are checked at every step. The source of the functions under `@given`, docstrings
included, seeds Hypothesis: an edit there changes the examples that are run.
"""

from __future__ import annotations

from helpers import PLANS, S, arrival, endpoint
from helpers import EngineHarness as Stage  # the name that the seeded functions use
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from loomstand.admission.endpoints import EndpointState
from loomstand.admission.events import ClientDisconnected
from loomstand.admission.outcome import Outcome

SEEDED = settings(
    derandomize=True,
    deadline=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)
OUTCOMES = (Outcome.SUCCEEDED,) * 6 + (
    Outcome.SERVER_ERROR,
    Outcome.REJECTED,
    Outcome.CONNECT_FAILED,
    Outcome.CONNECTION_LOST,
)
COUNTER_OUTCOMES = (Outcome.SUCCEEDED,) * 4 + (
    Outcome.NO_RESPONSE,
    Outcome.REJECTED,
    Outcome.CONNECT_FAILED,
)
STEP = st.tuples(
    st.sampled_from(
        ["requests"] * 6
        + ["outcomes"] * 6
        + ["counts"] * 3
        + ["time"] * 3
        + ["list", "kill", "disconnect", "overload", "stall", "empty"]
    ),
    st.integers(0, 1 << 20),
)


def play(harness: Stage, steps: list[tuple[str, int]], sets: int = 3) -> None:
    request_id = 0
    for step, n in steps:
        limiter = n % sets
        match step:
            case "requests" | "overload":
                for _ in range(1 + n % 9 if step == "requests" else 40):
                    request_id += 1
                    plan = 3 if step == "overload" else n // 7 % len(PLANS)
                    event = arrival(
                        request_id, harness.now, n // 3 % 4, plan, 10 * plan + n // 5 % 2, sets
                    )
                    harness.open_requests[request_id] = (limiter, event, [])
                    harness.handle_event(limiter, event)
                    limiter = (limiter + 1) % sets
            case "outcomes":
                for key in list(harness.attempts)[: 1 + n % 9]:
                    harness.end_attempt(key, OUTCOMES[n // 3 % len(OUTCOMES)])
            case "counts":
                while harness.counter_calls:
                    harness.answer_counter_call(
                        n % len(harness.counter_calls),
                        COUNTER_OUTCOMES[n % len(COUNTER_OUTCOMES)],
                        n % 11 == 0,
                    )
            case "time":
                harness.advance_clock(10 + n % (3 * S))
            case "list":
                server = n % len(harness.endpoints)
                phase = (EndpointState.LIVE, EndpointState.DRAINING, EndpointState.GONE)[n // 5 % 3]
                harness.endpoints[server] = endpoint(
                    server, phase, harness.now if phase is EndpointState.LIVE else 0, server % 2
                )
                for index in range(len(harness.engines)):
                    harness.update_endpoints(index)
            case "stall":  # a limiter gets no timer events for a while, then all at once
                harness.stalled_limiter = limiter
                harness.advance_clock(1 + n % (2 * S))
                harness.stalled_limiter = None
            case "empty":
                harness.counter_totals.clear()
            case "kill":
                harness.kill(limiter)
                harness.start(limiter)
            case "disconnect":
                if harness.open_requests:
                    disconnected = list(harness.open_requests)[n % len(harness.open_requests)]
                    owner = harness.open_requests[disconnected][0]
                    harness.close_request(disconnected)
                    harness.handle_event(owner, ClientDisconnected(disconnected))
    harness.advance_clock(5 * S)
    assert not harness.open_requests, "requests were lost"


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
    """The slow-start limit on a server holds for the sum over all limiters, which get its entry at
    the same time and an even rate of requests.
    """
    harness = Stage(4, limiter_count=30)
    for request_id in range(1, 3001):
        if request_id == 1500:
            harness.endpoints[4] = endpoint(4, started_at=harness.now)
            for n in range(30):
                harness.update_endpoints(n)
        event = arrival(request_id, harness.now, 0, 2, 0, 30)
        harness.open_requests[request_id] = (request_id % 30, event, [])
        harness.handle_event(request_id % 30, event)
        harness.advance_clock(S // 100)
        for key in [k for k, o in harness.attempts.items() if o[2] < harness.now - S // 10]:
            harness.end_attempt(key, Outcome.SUCCEEDED)
    start = harness.endpoints[4].started_at
    sent_at = [t for t, server in harness.sends if server == 4]
    for second in range(8):  # peers handle about 25 per second; the budget is checked over 1 s
        sent = sum(start + second * S <= t < start + (second + 1) * S for t in sent_at)
        assert sent <= 1.2 * 3.0 * (0.2 + 0.08 * (second + 1)) * 25
    assert sent_at


@settings(SEEDED, max_examples=30)
@given(st.lists(STEP, min_size=20, max_size=60))
def test_same_events_same_actions(steps: list[tuple[str, int]]) -> None:
    first, second = Stage(4), Stage(4)
    play(first, steps)
    play(second, steps)
    assert first.sends == second.sends
