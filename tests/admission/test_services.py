"""Several services, settings that change at run time, and quotas that hold when totals stop."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

import pytest
from helpers import (
    FRONTENDS,
    PLANS,
    S,
    actions_of_type,
    arrival,
    endpoint,
    frontend,
    settings,
    single_engine,
)

from loomstand.admission.actions import Action, IncrementCounter, Reject, SendAttempt, SetTimer
from loomstand.admission.decision_engine import DecisionEngine
from loomstand.admission.endpoints import EndpointState
from loomstand.admission.events import (
    AttemptEnded,
    CounterReplied,
    EndpointsUpdated,
    SettingsChanged,
    TimerFired,
)
from loomstand.admission.outcome import Outcome
from loomstand.admission.settings import QuotaPlan

GATEWAY_SETTINGS = {
    "total_trust_intervals": 1.5,
    "initial_burst_share": 0.5,
    "retry_budget_ratio": 0.12,
    "retry_budget_max": 4.0,
    "retry_budget_initial": 3.0,
    "rejected_retry_cost": 1.0,
    "unsent_retry_cost": 0.0,
    "window_follows_endpoints": True,
}


def plan(rate: float, burst: float) -> QuotaPlan:
    return QuotaPlan(rate, burst, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)


def update_endpoints(engine: DecisionEngine, now: int, **services: list[int]) -> None:
    """Sends a complete endpoint list; `s1=[3, 4]`: servers 3 and 4 belong to service 1."""
    entries = [
        replace(endpoint(n), service=int(s[1:])) for s, servers in services.items() for n in servers
    ]
    engine.handle(now, EndpointsUpdated(tuple(entries), True))


def send_request(
    engine: DecisionEngine, request_id: int, now: int, service: int = 0, **more: int
) -> list[Action]:
    return engine.handle(
        now, replace(arrival(request_id, now, limiter_set_size=0, **more), service=service)
    )


def test_requests_use_their_services_servers_and_a_complete_list_covers_all_services() -> None:
    engine = DecisionEngine(settings(limiter_count=1, **GATEWAY_SETTINGS), 1, 0)
    update_endpoints(engine, 0, s1=[1, 2, 3], s2=[4, 5])
    used = {1: set(), 2: set()}
    for n in range(1, 13):  # all in flight at once
        used[1 + n % 2] |= {
            action.endpoint_id
            for action in actions_of_type(send_request(engine, n, n, 1 + n % 2), SendAttempt)
        }
    assert used == {1: {1, 2, 3}, 2: {4, 5}}
    # a service without servers
    assert actions_of_type(send_request(engine, 500, 2 * S, 7), Reject) == [
        Reject(500, 0, "servers full")
    ]
    update_endpoints(engine, 2 * S, s2=[5])
    assert actions_of_type(send_request(engine, 501, 2 * S, 1), Reject)[0].reason == "servers full"
    assert {
        a.endpoint_id
        for n in range(3)
        for a in actions_of_type(send_request(engine, 510 + n, 2 * S, 2), SendAttempt)
    } == {5}


def test_the_window_follows_servers_added_one_by_one() -> None:
    engine = DecisionEngine(settings(limiter_count=2, **GATEWAY_SETTINGS), 1, 0)
    for n in range(6):
        engine.handle(0, EndpointsUpdated((replace(endpoint(n), service=1),), False))
    assert engine.admission.load_balancers[1].window.size == pytest.approx(7 * 6 / 2)
    engine.handle(
        0, EndpointsUpdated((replace(endpoint(0, EndpointState.DRAINING), service=1),), False)
    )
    engine.handle(0, SettingsChanged(replace(engine.loop.settings, limiter_count=4)))
    assert engine.admission.load_balancers[1].window.size == pytest.approx(7 * 5 / 4)


def test_a_request_class_and_a_plan_added_at_run_time() -> None:
    engine = single_engine(servers=4, limiter_count=1)
    for n in range(8):  # server 0 fails; the servers' statistics must be kept
        for action in actions_of_type(send_request(engine, n, 10 * n, frontend=1), SendAttempt):
            outcome = Outcome.SERVER_ERROR if action.endpoint_id == 0 else Outcome.SUCCEEDED
            engine.handle(
                10 * n + 5, AttemptEnded(n, 0, action.endpoint_id, outcome, 5, True, 0, 0.0)
            )
    servers = engine.admission.load_balancers[0].servers.values()
    before = [s.is_ejected(1) for s in servers]
    added = replace(frontend(), attempt_limit=1)
    new_settings = replace(
        settings(limiter_count=1), frontends=(*FRONTENDS, added), plans=(*PLANS, plan(1.0, 2.0))
    )
    assert engine.handle(S, SettingsChanged(new_settings)) == []
    assert [s.is_ejected(1) for s in servers] == before
    event = replace(arrival(20, S, plan=len(PLANS), tenant=5), frontend=len(FRONTENDS))
    server = actions_of_type(engine.handle(S, event), SendAttempt)[0].endpoint_id
    actions = engine.handle(S + 5, AttemptEnded(20, 0, server, Outcome.REJECTED, 5, False, 0, 0.0))
    assert actions_of_type(actions, Reject)[0].reason == "given up"  # the class's own attempt limit
    assert actions_of_type(engine.handle(S + 6, replace(event, request_id=21)), SendAttempt)
    # the tenant's burst is used up
    assert (
        actions_of_type(engine.handle(S + 6, replace(event, request_id=22)), Reject)[0].reason
        == "old total"
    )


def test_a_quota_lowered_under_load_keeps_past_usage() -> None:
    base_settings = settings(
        limiter_count=1, plans=(plan(100.0, 50.0),), has_counter=False, **GATEWAY_SETTINGS
    )
    engine = DecisionEngine(base_settings, 1, 0)
    update_endpoints(engine, 0, s0=[*range(40)])
    admitted = [0] * 10
    for n, now in enumerate(range(0, 10 * S, 20)):  # 500 per second
        if n == 1000:
            engine.handle(now, SettingsChanged(replace(base_settings, plans=(plan(10.0, 20.0),))))
        for action in actions_of_type(send_request(engine, n, now, plan=0), SendAttempt):
            admitted[now // S] += 1
            engine.handle(
                now, AttemptEnded(n, 0, action.endpoint_id, Outcome.SUCCEEDED, 5, True, 0, 0.0)
            )
    assert 150 <= sum(admitted[:2]) <= 2 * 100 + 50
    assert admitted[2] <= 10 and sum(admitted[2:]) <= 80  # no new burst
    assert min(admitted[6:]) >= 8  # the new rate


@pytest.mark.parametrize(
    ("limiter_count", "rate", "burst"), [(8, 100, 100), (8, 50, 10), (3, 20, 100), (8, 5, 5)]
)
@pytest.mark.parametrize("fraction", [0.5, 1.0])
def test_limiters_stay_within_the_quota_when_totals_stop(
    limiter_count: int, rate: int, burst: int, fraction: float
) -> None:
    """A tenant requests up to 5 times its quota, unevenly over the limiters, and moves to other
    limiters when the counter stops replying for good.
    """
    rng, base_settings = (
        Random(1),
        settings(limiter_count=limiter_count, plans=(plan(rate, burst),), **GATEWAY_SETTINGS),
    )
    engines = [
        DecisionEngine(replace(base_settings, limiter_index=n), n, 0) for n in range(limiter_count)
    ]
    for engine in engines:
        update_endpoints(engine, 0, s0=[*range(60)])
    counts, due, times, now, silent_from = Counter(), [], [], 0, 12 * S

    def carry_out(n: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendAttempt):
                times.append(now)
                done = AttemptEnded(
                    action.request_id, 0, action.endpoint_id, Outcome.SUCCEEDED, 9, True, 0, 0.0
                )
                carry_out(n, engines[n].handle(now, done))
            elif isinstance(action, IncrementCounter):
                counts[action.counter_name] += action.amount if now < silent_from else 0.0
                outcome, delay = (
                    (Outcome.SUCCEEDED, 20) if now < silent_from else (Outcome.NO_RESPONSE, 500)
                )
                due.append(
                    (
                        now + delay,
                        n,
                        CounterReplied(
                            action.counter_name, outcome, counts[action.counter_name], delay
                        ),
                    )
                )
            elif isinstance(action, SetTimer):
                due.append((now + action.delay, n, TimerFired(action.tag)))

    for request_id in range(int(5 * rate * 25)):
        now = int(request_id * S / (5 * rate))
        for item in sorted((d for d in due if d[0] <= now), key=lambda d: d[0]):
            due.remove(item)
            carry_out(item[1], engines[item[1]].handle(now, item[2]))
        if now >= silent_from - S or rng.random() < fraction:
            n = int(limiter_count * rng.random() ** 3)  # the first limiters get most requests
            n = limiter_count - 1 - n if now >= silent_from else n
            carry_out(n, send_request(engines[n], request_id, now, plan=0))
    most_in_5_s = max(
        sum(t <= at < t + 5 * S for at in times) for t in times[:: max(1, len(times) // 300)]
    )
    assert most_in_5_s <= (rate * 5 + burst) * 1.1 + 20
    with_totals = sum(5 * S <= at < 10 * S for at in times)
    assert with_totals >= 0.9 * 5 * rate - 2  # while totals arrive, hardly any quota is unused


@pytest.mark.parametrize("local_zone_share", [0.0, 0.67, 0.8])
def test_servers_of_the_local_zone_are_preferred_and_used_evenly(local_zone_share: float) -> None:
    """75 limiters in four zones, numbered zone by zone, and 37 servers."""
    zones = [0] * 7 + [1] * 11 + [2] * 9 + [3] * 10
    users, local = Counter(), []
    for limiter_index in range(75):
        zone = limiter_index * 4 // 75
        engine = DecisionEngine(
            settings(
                limiter_index=limiter_index,
                limiter_count=75,
                zone=zone,
                local_zone_share=local_zone_share,
                **GATEWAY_SETTINGS,
            ),
            limiter_index,
            0,
        )
        engine.handle(
            0, EndpointsUpdated(tuple(endpoint(n, zone=z) for n, z in enumerate(zones)), True)
        )
        send_request(engine, 1, 0)
        subset = engine.admission.load_balancers[0].subset[0]
        assert len({s.endpoint_id for s in subset}) == 6
        local.append(sum(s.endpoint.zone == zone for s in subset))
        users.update(
            s.endpoint_id for s in subset if s.endpoint.zone == zone or not local_zone_share
        )
    assert (
        min(local) == max(local) == round(6 * local_zone_share)
        if local_zone_share
        else sum(local) < 0.5 * 6 * 75
    )
    for zone in range(4):
        by_server = [users[n] for n, z in enumerate(zones) if z == zone]
        assert max(by_server) <= 2 * min(by_server)


def test_servers_of_other_zones_replace_failing_local_ones() -> None:
    zones = [0] * 6 + [1] * 6
    engine = DecisionEngine(
        settings(limiter_count=20, local_zone_share=0.8, remote_zone_cost=2.0, **GATEWAY_SETTINGS),
        1,
        0,
    )
    engine.handle(
        0, EndpointsUpdated(tuple(endpoint(n, zone=z) for n, z in enumerate(zones)), True)
    )
    admitted = Counter()
    for request_id in range(400):
        actions, attempt = send_request(engine, request_id, request_id * S // 50), 0
        while sent := actions_of_type(actions, SendAttempt):
            fails = sent[0].endpoint_id < 6
            admitted[sent[0].endpoint_id] += not fails
            outcome = Outcome.CONNECT_FAILED if fails else Outcome.SUCCEEDED
            done = AttemptEnded(
                request_id, attempt, sent[0].endpoint_id, outcome, 9, not fails, 0, 0.0
            )
            actions, attempt = engine.handle(request_id * S // 50 + 9, done), attempt + 1
    assert sum(admitted.values()) > 370


def test_retries_are_charged_to_the_budget_of_their_service() -> None:
    engine = DecisionEngine(settings(limiter_count=1, **GATEWAY_SETTINGS), 1, 0)
    update_endpoints(engine, 0, s1=[1, 2, 3, 4], s2=[5, 6])

    def count_attempts(request_id: int, service: int, outcome: Outcome) -> int:
        """Returns the number of attempts for a request if every attempt has this outcome."""
        actions, n = send_request(engine, request_id, 10, service), 0
        while sent := actions_of_type(actions, SendAttempt):
            actions, n = (
                engine.handle(
                    20, AttemptEnded(request_id, n, sent[0].endpoint_id, outcome, 5, False, 0, 0.0)
                ),
                n + 1,
            )
        return n

    # a retry after a failed connection costs nothing
    assert [count_attempts(n, 1, Outcome.CONNECT_FAILED) for n in range(5)] == [4] * 5
    assert engine.admission.load_balancers[1].retry_budget.balance == pytest.approx(3.0 + 5 * 0.12)
    assert [count_attempts(10 + n, 1, Outcome.REJECTED) for n in range(3)] == [4, 1, 1]
    assert count_attempts(20, 1, Outcome.CONNECT_FAILED) == 4
    assert count_attempts(21, 2, Outcome.NO_RESPONSE) == 4  # the other service's own budget
    assert count_attempts(22, 2, Outcome.NO_RESPONSE) == 1
