"""Several services, settings that change at run time, and quotas that hold when totals stop
coming.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

import pytest
from helpers import FRONTENDS, PLANS, S, alone, arrival, entry, frontend, pick, settings

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

GATEWAY = {
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


def listed(engine: DecisionEngine, now: int, **services: list[int]) -> None:
    """The whole list; `s1=[3, 4]`: servers 3 and 4 are of service 1."""
    entries = [
        replace(entry(n), service=int(s[1:])) for s, servers in services.items() for n in servers
    ]
    engine.handle(now, EndpointsUpdated(tuple(entries), True))


def come(engine: DecisionEngine, req: int, now: int, service: int = 0, **more: int) -> list[Action]:
    return engine.handle(now, replace(arrival(req, now, sets=0, **more), service=service))


def test_a_req_goes_to_its_own_services_servers_and_a_whole_list_speaks_of_all_services() -> None:
    engine = DecisionEngine(settings(limiters=1, **GATEWAY), 1, 0)
    listed(engine, 0, s1=[1, 2, 3], s2=[4, 5])
    seen = {1: set(), 2: set()}
    for n in range(1, 13):  # all out at once
        seen[1 + n % 2] |= {
            act.endpoint_id for act in pick(come(engine, n, n, 1 + n % 2), SendAttempt)
        }
    assert seen == {1: {1, 2, 3}, 2: {4, 5}}
    # none at all
    assert pick(come(engine, 500, 2 * S, 7), Reject) == [Reject(500, 0, "servers full")]
    listed(engine, 2 * S, s2=[5])
    assert pick(come(engine, 501, 2 * S, 1), Reject)[0].reason == "servers full"
    assert {
        a.endpoint_id for n in range(3) for a in pick(come(engine, 510 + n, 2 * S, 2), SendAttempt)
    } == {5}


def test_the_window_follows_servers_that_come_one_by_one() -> None:
    engine = DecisionEngine(settings(limiters=2, **GATEWAY), 1, 0)
    for n in range(6):
        engine.handle(0, EndpointsUpdated((replace(entry(n), service=1),), False))
    assert engine.admission.load_balancers[1].window.size == pytest.approx(7 * 6 / 2)
    engine.handle(
        0, EndpointsUpdated((replace(entry(0, EndpointState.DRAINING), service=1),), False)
    )
    engine.handle(0, SettingsChanged(replace(engine.loop.settings, limiter_count=4)))
    assert engine.admission.load_balancers[1].window.size == pytest.approx(7 * 5 / 4)


def test_a_frontend_and_a_plan_that_come_at_run_time() -> None:
    engine = alone(servers=4, limiters=1)
    for n in range(8):  # what is known of servers stays: one fails
        for act in pick(come(engine, n, 10 * n, front=1), SendAttempt):
            how = Outcome.SERVER_ERROR if act.endpoint_id == 0 else Outcome.SUCCEEDED
            engine.handle(10 * n + 5, AttemptEnded(n, 0, act.endpoint_id, how, 5, True, 0, 0.0))
    servers = engine.admission.load_balancers[0].servers.values()
    before = [v.is_ejected(1) for v in servers]
    more = replace(frontend(), attempt_limit=1)
    told = replace(
        settings(limiters=1), frontends=(*FRONTENDS, more), plans=(*PLANS, plan(1.0, 2.0))
    )
    assert engine.handle(S, SettingsChanged(told)) == []
    assert [v.is_ejected(1) for v in servers] == before
    note = replace(arrival(20, S, plan=len(PLANS), customer=5), frontend=len(FRONTENDS))
    srv = pick(engine.handle(S, note), SendAttempt)[0].endpoint_id
    got = engine.handle(S + 5, AttemptEnded(20, 0, srv, Outcome.REJECTED, 5, False, 0, 0.0))
    assert pick(got, Reject)[0].reason == "given up"  # the route's own number of dispatches
    assert pick(engine.handle(S + 6, replace(note, request_id=21)), SendAttempt)
    # its burst
    assert pick(engine.handle(S + 6, replace(note, request_id=22)), Reject)[0].reason == "old total"


def test_a_quota_lowered_under_load_keeps_what_was_spent() -> None:
    told = settings(limiters=1, plans=(plan(100.0, 50.0),), has_counter=False, **GATEWAY)
    engine = DecisionEngine(told, 1, 0)
    listed(engine, 0, s0=[*range(40)])
    passed = [0] * 10
    for n, now in enumerate(range(0, 10 * S, 20)):  # 500 a second
        if n == 1000:
            engine.handle(now, SettingsChanged(replace(told, plans=(plan(10.0, 20.0),))))
        for act in pick(come(engine, n, now, plan=0), SendAttempt):
            passed[now // S] += 1
            engine.handle(
                now, AttemptEnded(n, 0, act.endpoint_id, Outcome.SUCCEEDED, 5, True, 0, 0.0)
            )
    assert 150 <= sum(passed[:2]) <= 2 * 100 + 50
    assert passed[2] <= 10 and sum(passed[2:]) <= 80  # no new burst
    assert min(passed[6:]) >= 8  # the new rate


@pytest.mark.parametrize(
    ("many", "rate", "burst"), [(8, 100, 100), (8, 50, 10), (3, 20, 100), (8, 5, 5)]
)
@pytest.mark.parametrize("fraction", [0.5, 1.0])
def test_totals_that_stop_coming_leave_all_limiters_within_the_quota(
    many: int, rate: int, burst: int, fraction: float
) -> None:
    """One tenant asks up to five times its quota, unevenly; it moves as the counter falls silent
    for ever.
    """
    rng, told = Random(1), settings(limiters=many, plans=(plan(rate, burst),), **GATEWAY)
    engines = [DecisionEngine(replace(told, limiter_index=n), n, 0) for n in range(many)]
    for engine in engines:
        listed(engine, 0, s0=[*range(60)])
    counts, due, times, now, silent = Counter(), [], [], 0, 12 * S

    def carry(n: int, acts: list[Action]) -> None:
        for act in acts:
            if isinstance(act, SendAttempt):
                times.append(now)
                done = AttemptEnded(
                    act.request_id, 0, act.endpoint_id, Outcome.SUCCEEDED, 9, True, 0, 0.0
                )
                carry(n, engines[n].handle(now, done))
            elif isinstance(act, IncrementCounter):
                counts[act.counter_name] += act.amount if now < silent else 0.0
                got, after = (Outcome.SUCCEEDED, 20) if now < silent else (Outcome.NO_RESPONSE, 500)
                due.append(
                    (
                        now + after,
                        n,
                        CounterReplied(act.counter_name, got, counts[act.counter_name], after),
                    )
                )
            elif isinstance(act, SetTimer):
                due.append((now + act.delay, n, TimerFired(act.tag)))

    for req in range(int(5 * rate * 25)):
        now = int(req * S / (5 * rate))
        for item in sorted((d for d in due if d[0] <= now), key=lambda d: d[0]):
            due.remove(item)
            carry(item[1], engines[item[1]].handle(now, item[2]))
        if now >= silent - S or rng.random() < fraction:
            n = int(many * rng.random() ** 3)  # the first get most
            n = many - 1 - n if now >= silent else n
            carry(n, come(engines[n], req, now, plan=0))
    most = max(
        sum(t <= at < t + 5 * S for at in times) for t in times[:: max(1, len(times) // 300)]
    )
    assert most <= (rate * 5 + burst) * 1.1 + 20
    calm = sum(5 * S <= at < 10 * S for at in times)
    assert calm >= 0.9 * 5 * rate - 2  # and while totals come hardly any of the quota lies idle


@pytest.mark.parametrize("homes", [0.0, 0.67, 0.8])
def test_servers_of_the_own_zone_are_used_first_and_all_of_a_zone_alike(homes: float) -> None:
    """75 limiters in four zones, named zone by zone, and 37 servers, as on a grown site."""
    halls = [0] * 7 + [1] * 11 + [2] * 9 + [3] * 10
    users, kept = Counter(), []
    for me in range(75):
        hall = me * 4 // 75
        engine = DecisionEngine(
            settings(me=me, limiters=75, zone=hall, local_zone_share=homes, **GATEWAY), me, 0
        )
        engine.handle(
            0, EndpointsUpdated(tuple(entry(n, hall=h) for n, h in enumerate(halls)), True)
        )
        come(engine, 1, 0)
        near = engine.admission.load_balancers[0].subset[0]
        assert len({v.endpoint_id for v in near}) == 6
        kept.append(sum(v.endpoint.zone == hall for v in near))
        users.update(v.endpoint_id for v in near if v.endpoint.zone == hall or not homes)
    assert min(kept) == max(kept) == round(6 * homes) if homes else sum(kept) < 0.5 * 6 * 75
    for hall in range(4):
        by_server = [users[n] for n, h in enumerate(halls) if h == hall]
        assert max(by_server) <= 2 * min(by_server)


def test_where_the_own_zones_servers_fail_others_take_their_place() -> None:
    halls = [0] * 6 + [1] * 6
    engine = DecisionEngine(
        settings(limiters=20, local_zone_share=0.8, remote_zone_cost=2.0, **GATEWAY), 1, 0
    )
    engine.handle(0, EndpointsUpdated(tuple(entry(n, hall=h) for n, h in enumerate(halls)), True))
    passed = Counter()
    for req in range(400):
        acts, tries = come(engine, req, req * S // 50), 0
        while sent := pick(acts, SendAttempt):
            lost = sent[0].endpoint_id < 6
            passed[sent[0].endpoint_id] += not lost
            got = Outcome.CONNECT_FAILED if lost else Outcome.SUCCEEDED
            done = AttemptEnded(req, tries, sent[0].endpoint_id, got, 9, not lost, 0, 0.0)
            acts, tries = engine.handle(req * S // 50 + 9, done), tries + 1
    assert sum(passed.values()) > 370


def test_further_dispatches_are_priced_by_service() -> None:
    engine = DecisionEngine(settings(limiters=1, **GATEWAY), 1, 0)
    listed(engine, 0, s1=[1, 2, 3, 4], s2=[5, 6])

    def rounds(req: int, service: int, how: Outcome) -> int:
        """How many dispatches a req gets whose every dispatch ends like this."""
        acts, n = come(engine, req, 10, service), 0
        while sent := pick(acts, SendAttempt):
            acts, n = (
                engine.handle(20, AttemptEnded(req, n, sent[0].endpoint_id, how, 5, False, 0, 0.0)),
                n + 1,
            )
        return n

    assert [rounds(n, 1, Outcome.CONNECT_FAILED) for n in range(5)] == [4] * 5  # costs nothing
    assert engine.admission.load_balancers[1].retry_budget.balance == pytest.approx(3.0 + 5 * 0.12)
    assert [rounds(10 + n, 1, Outcome.REJECTED) for n in range(3)] == [4, 1, 1]
    assert rounds(20, 1, Outcome.CONNECT_FAILED) == 4
    assert rounds(21, 2, Outcome.NO_RESPONSE) == 4  # the other's own budget
    assert rounds(22, 2, Outcome.NO_RESPONSE) == 1
