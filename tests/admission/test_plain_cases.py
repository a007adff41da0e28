"""Plain cases, with figures worked by hand, and one small test for each failure found."""

from __future__ import annotations

import tracemalloc
from dataclasses import replace
from random import Random

import pytest
from helpers import PLANS, S, alone, arrival, entry, pick, settings

from loomstand.admission.actions import Abort, IncrementCounter, Reject, SendAttempt, SetTimer
from loomstand.admission.actors import ActorLoop
from loomstand.admission.counter_client import CounterClient
from loomstand.admission.decision_engine import DecisionEngine
from loomstand.admission.endpoints import EndpointState
from loomstand.admission.events import AttemptEnded, CounterReplied, EndpointsUpdated, TimerFired
from loomstand.admission.outcome import Outcome
from loomstand.admission.settings import QuotaPlan
from loomstand.admission.tenant_limiter import TenantLimiter


def account(rate: float, burst: float, sets: int = 1, has_counter: bool = False) -> TenantLimiter:
    loop = ActorLoop(settings(has_counter=has_counter), 1, 0)
    plan = QuotaPlan(rate, burst, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)
    return TenantLimiter(loop, CounterClient(loop), arrival(1, 0, sets=sets), plan)


def let_in(brain: DecisionEngine, now: int, many: int, first: int) -> int:
    return sum(
        len(pick(brain.handle(now, arrival(first + n, now, sets=1)), SendAttempt))
        for n in range(many)
    )


def test_the_sources_example_500_a_second_with_a_burst_of_ten() -> None:
    """11, then 1 of 2, none asked, 2 of 2, none asked: the count is 10, 10, 9, 10, 9."""
    plan = QuotaPlan(500.0, 11.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)
    brain = alone(servers=40, plans=(PLANS[0], PLANS[0], plan), has_counter=False)
    zone = 20  # 2 ms
    got = [let_in(brain, n * zone, many, 100 * n + 1) for n, many in enumerate([12, 2, 0, 2, 0])]
    assert got == [11, 1, 0, 2, 0]


@pytest.mark.parametrize(
    ("own", "total", "part"),
    [
        # under quota: last use and an even share of the six unused
        (2.0, 4.0, 2.0 + (10.0 - 4.0) / 3),
        (0.0, 0.0, 10.0 / 3),  # nothing used: the even part
        (7.0, 17.0, 10.0 * 8 / 20),  # over quota: by last use, one more for each gateway
        (0.0, 17.0, 10.0 * 1 / 20),
    ],
)
def test_resplit(own: float, total: float, part: float) -> None:
    acct = account(5.0, 10.0, sets=3)
    acct.split(own, total)
    assert acct.pace * acct.length == pytest.approx(part)


def test_parts_over_quota_sum_to_the_quota() -> None:
    parts = 0.0
    for own in (1.0, 5.0, 14.0):
        acct = account(5.0, 10.0, sets=3)
        acct.split(own, 20.0)
        parts += acct.pace * acct.length
    assert parts == pytest.approx(10.0)


def test_a_counter_that_forgot_does_not_swell_a_part() -> None:
    acct = account(2.0, 4.0, sets=3, has_counter=True)
    acct.own = 3.0
    acct.counted(acct.k, 3.0, CounterReplied(1, Outcome.SUCCEEDED, 9.0, 10))
    full = acct.whole
    acct.counted(acct.k, 0.0, CounterReplied(1, Outcome.SUCCEEDED, 1.0, 10))
    assert acct.forgot
    assert acct.whole == full


def test_a_counter_that_loses_some_calls_is_not_down() -> None:
    """Found by i5a148d: a crowded counter fails some calls; calls slow down, but totals go on
    counting.
    """
    acct = account(2.0, 4.0, has_counter=True)
    keeper = acct.keeper
    before = keeper.pace
    for n, how in enumerate([Outcome.NO_RESPONSE, Outcome.SUCCEEDED, Outcome.NO_RESPONSE]):
        acct.loop.now = (n + 1) * 1000
        keeper.call(acct, acct.k, 0.0)
        keeper.counted(CounterReplied(acct.digest << 15 | acct.k, how, 0.0, 400))
    assert keeper.failed < 4
    assert keeper.pace < before


def test_the_meter_stands_in_while_the_counter_is_down() -> None:
    """Found by if0ee5e: with a silent counter a customer well under its quota had a third of its
    burst.
    """
    acct = account(2.0, 6.0, sets=3, has_counter=True)
    acct.loop.settings = replace(acct.loop.settings, metering_period=S)
    acct.loop.now, acct.keeper.failed = 100 * S, 4
    acct.metered(30)
    for _ in range(4):
        assert acct.lets(1.0, False)
        acct.taken(1.0)


def test_the_window_shrinks_before_answers_are_late() -> None:
    """Found by if6de07: windows that are cut only near the target hold a queue as long as the
    target.
    """
    brain = alone(servers=1)
    brain.desk.fleets[0].window, now, took = 6.0, 0, int(0.9 * S)
    for req in range(40):
        sent = pick(brain.handle(now, arrival(req, now)), SendAttempt)
        now += took
        for act in sent:
            brain.handle(
                now, AttemptEnded(act.request_id, 0, 0, Outcome.SUCCEEDED, took, True, 0, 0.0)
            )
        # five a server by all three limiters
        if brain.desk.fleets[0].window == pytest.approx(5 / 3):
            return
    raise AssertionError(brain.desk.fleets[0].window)


@pytest.mark.parametrize("share", [0.1, 0.45, 0.67, 0.8])
def test_the_window_finds_the_room_of_servers_whose_work_fills_the_target(share: float) -> None:
    """Found by issue 26: work of 270 ms against a target of 400 ms: no answer is ever under half of
    the target, some are over 0.8 of it on idle servers, and the window stood at its least, half of
    the slots.
    """
    brain, rng = alone(servers=4), Random(3)
    brain.desk.fleets[0].window = 5 * 4 / 3
    now, out, most = 0, [], 0
    for req in range(4000):
        now += S // 40
        for due, act, took in [o for o in out if o[0] <= now]:
            out.remove((due, act, took))
            brain.handle(
                now,
                AttemptEnded(
                    act.request_id, 0, act.endpoint_id, Outcome.SUCCEEDED, took, True, 0, 0.0
                ),
            )
        for act in pick(brain.handle(now, arrival(req, now)), SendAttempt):
            wait = max(0.0, len(out) - 20) / 20  # twenty at once without waiting
            took = int(share * S * (rng.uniform(0.9, 1.1) + wait))
            out.append((now + took, act, took))
        most = max(most, len(out))
    free = min(20, 40 * share)  # what is asked, or what there is room for
    assert most >= 0.8 * free
    assert brain.desk.fleets[0].window <= 60  # and no queue as long as the target


def test_a_non_replayable_req_that_may_have_run_is_aborted_not_denied() -> None:
    brain = alone()
    act = pick(brain.handle(0, arrival(1, 0, front=1)), SendAttempt)[0]
    got = brain.handle(
        S, AttemptEnded(1, 0, act.endpoint_id, Outcome.CONNECTION_LOST, S, False, 0, 0.0)
    )
    assert pick(got, Abort) and not pick(got, SendAttempt)


def test_no_server_no_plan_no_rate_still_answers() -> None:
    brain = alone(servers=0)
    assert pick(brain.handle(5, arrival(1, 5, plan=-1)), Reject)
    strange = AttemptEnded(9, 3, 77, Outcome.NO_RESPONSE, 5, False, 0, 0.0)
    assert brain.handle(6, strange) == []


def test_a_cold_server_gets_its_share_of_what_peers_carry() -> None:
    """Rule 4: multiple x cold share x what a warm peer carries here, from a bucket that starts
    empty.
    """
    brain = alone(servers=2)
    now = 100 * S
    brain.handle(now, EndpointsUpdated((entry(2, booted=now),), False))
    sent = []
    for req in range(200):  # 20 reqs a second for ten seconds, each passed after 100 ms
        now += S // 20
        for act in pick(brain.handle(now, arrival(req, now)), SendAttempt):
            sent.append((act.endpoint_id, now))
            took = S // 10
            brain.handle(
                now + took,
                AttemptEnded(
                    act.request_id, 0, act.endpoint_id, Outcome.SUCCEEDED, took, True, 0, 0.0
                ),
            )
    first = [t for srv, t in sent if srv == 2 and t <= 102 * S]
    # 0.6 of a peer's ten a second, a little warmer, two seconds
    assert len(first) <= 0.6 * 1.3 * 10 * 2 + 1
    assert sum(1 for srv, _ in sent if srv == 2) > len(first)


def test_a_small_window_grows_slowly() -> None:
    """Found by i221f4c: a window under one grew by one over itself on every quick answer."""
    desk = alone(servers=1).desk.fleets[0]
    desk.window = 0.5
    desk.judge(AttemptEnded(2, 0, 0, Outcome.SUCCEEDED, 100, True, 0, 0.0), desk.rows[0])
    assert desk.window == pytest.approx(0.55)


def test_low_value_goes_first_as_servers_fill() -> None:
    """Found by i221f4c: reqs of little value for their work held the servers while dear ones were
    denied.
    """
    plans = (replace(PLANS[2], value_factor=5.0), PLANS[2])
    brain = alone(plans=plans, servers=8)
    brain.desk.fleets[0].best, brain.desk.fleets[0].window = 5.0 / 2000, 10.0
    sent = [pick(brain.handle(0, arrival(n, 0, plan=0)), SendAttempt) for n in range(6)]
    assert all(sent)
    brain.desk.fleets[0].window = 8.0
    assert not pick(brain.handle(0, arrival(7, 0, plan=1)), SendAttempt)
    assert pick(brain.handle(0, arrival(8, 0, plan=0)), SendAttempt)


def test_a_doubtful_req_goes_before_another_of_the_same_value_as_servers_fill() -> None:
    """Found on the fleet days: half of the usual window denied first reqs of all plans, with quota
    left.
    """
    sure = QuotaPlan(4.0, 8.0, 0, 0.1, 0.2, 0.0, 0.0, 0.0, 0.0)
    plans = (replace(sure, rate=0.4, burst=2.0, excess_cost=1.0), sure)
    brain = alone(plans=plans, servers=8)
    brain.desk.fleets[0].best, brain.desk.fleets[0].window = 1.0, 10.0
    for n in range(5):
        brain.desk.fleets[0].flying[1000 + n, 0] = 0
    assert not pick(brain.handle(0, arrival(1, 0, plan=0, customer=1, sets=38)), SendAttempt)
    assert pick(brain.handle(0, arrival(2, 0, plan=1, customer=2, sets=38)), SendAttempt)


def test_calls_of_all_limiters_stay_under_a_counters_capacity() -> None:
    """Found by main-campus later: one call out at least at each of hundreds of limiters jams a
    counter.
    """
    calls = 0
    for me in range(200):
        brain = alone(servers=2, limiters=200, me=me)
        for n in range(20):
            acts = brain.handle(n * S // 10, arrival(n, n * S // 10, plan=0, customer=n, sets=100))
            calls += len(pick(acts, IncrementCounter))
            for act in pick(acts, IncrementCounter):
                brain.handle(
                    n * S // 10, CounterReplied(act.counter_name, Outcome.NO_RESPONSE, 0.0, 500)
                )
    assert calls <= 2 * 300 + 200  # in two seconds, beside the first of each


def test_cold_servers_get_what_peers_answer_not_what_is_sent() -> None:
    """Found by iddab01: peers were sent three times what they did, and the cold ones as much."""
    brain = alone(servers=2)
    now = 100 * S
    brain.handle(now, EndpointsUpdated((entry(2, booted=now),), False))
    brain.desk.fleets[0].servers[2].cold_left = 0.0
    for req in range(100):
        now += S // 20
        for act in pick(brain.handle(now, arrival(req, now)), SendAttempt):
            assert act.endpoint_id != 2
            brain.handle(
                now,
                AttemptEnded(
                    act.request_id, 0, act.endpoint_id, Outcome.REJECTED, 5, False, 0, 0.0
                ),
            )


def test_budgets_of_cold_servers_do_not_fall_with_what_is_denied_for_want_of_them() -> None:
    """Found on the fleet days: half of the servers new, and fewer answers made budgets smaller
    still.
    """
    desk = alone(servers=6).desk.fleets[0]
    for n in range(400):
        desk.loop.now = n * S // 10
        desk.passed(1)
    # four seconds in which next to nothing was passed
    before, desk.loop.now = desk.passed(0), 44 * S
    assert 0.4 * before < desk.passed(0) < before
    desk.loop.now = 200 * S
    assert desk.passed(0) < 0.05 * before  # capacity seen long ago proves nothing


def test_a_server_that_fails_one_frontend_still_gets_the_others() -> None:
    """Found by print-desk-main later: servers that answer one frontend with errors only."""
    brain = alone(servers=9)
    srv = brain.desk.fleets[0].servers[0]
    for n in range(4):
        srv.out += 2
        srv.ended(AttemptEnded(n, 0, 0, Outcome.SERVER_ERROR, 100, False, 0, 0.0), 1)
        srv.ended(AttemptEnded(n, 0, 0, Outcome.SUCCEEDED, 100, False, 0, 0.0), 0)
    brain.desk.fleets[0].look()
    assert srv in brain.desk.fleets[0].near[0] and srv not in brain.desk.fleets[0].near[1]


def test_limiters_use_few_servers_and_all_servers_evenly() -> None:
    """Found by the twins: with figures by server over a whole fleet a limiter of few reqs knows
    nothing.
    """
    used = [0] * 60
    for me in range(300):
        desk = alone(servers=60, limiters=300, me=me).desk.fleets[0]
        desk.look()
        assert len(desk.near[0]) == 6
        for srv in desk.near[0]:
            used[srv.srv] += 1
    assert max(used) - min(used) <= 8


def test_a_part_below_one_req_passes_by_chance() -> None:
    """Found by main-campus later: over 100 limiters a part is tiny and most of the quota lay
    idle.
    """
    acct = account(1.0, 4.0, sets=100, has_counter=True)
    acct.asked, acct.synced, acct.loop.now = 4 * acct.rate, 0, 20 * S
    passed = sum(acct.lets(1.0, False) for _ in range(1000))
    assert 200 < passed < 300


def test_a_customer_asking_much_is_passed_while_its_store_has_room() -> None:
    """Found on the fleet days: sets of seven, a burst of six; after a spike most were denied by
    chance.
    """
    acct = account(1.4, 6.0, sets=7, has_counter=True)
    acct.asked, acct.synced, acct.whole = 4 * acct.rate, 0, 1.0
    acct.loop.now = S // 2
    assert all(acct.lets(1.0, False) for _ in range(100))
    acct.whole = 4.5  # the others may have passed 0.7 since: one more and one for a race do not fit
    assert sum(acct.lets(1.0, False) for _ in range(400)) < 150


def test_an_unseen_customers_retry_is_denied_only_where_a_part_is_far_below_a_req() -> None:
    """Found on the fleet days: three in four such retries came to a store with room."""
    assert account(1.4, 6.0, sets=7, has_counter=True).lets(1.0, True)
    assert not account(0.4, 2.0, sets=38, has_counter=True).lets(1.0, True)


@pytest.mark.parametrize(("seed", "sets"), [(0, 7), (1, 7), (2, 7), (3, 13), (4, 38), (5, 38)])
def test_turns_of_a_ceiling_keep_it_through_restarts_and_come_soon(seed: int, sets: int) -> None:
    """Found on the fleet days: after a start the even trickle held no whole req for 2.1 s at any
    limiter; in the lab: with more limiters than the ceiling has units it never held one.
    """
    chance, plan = Random(seed), QuotaPlan(1.4, 6.0, 0, 1.0, 0.0, 1.0, 3.3, 14.0, 1.0)
    start = 17_961_586_410_000 + seed

    def share(me: int, now: int) -> TenantLimiter:
        loop = ActorLoop(settings(me=me, limiters=40), 1, now)
        return TenantLimiter(
            loop,
            CounterClient(loop),
            replace(arrival(1, now, sets=sets), limiter_set_start=37),
            plan,
        )

    set_ = [share((37 + n) % 40, start) for n in range(sets)]
    assert sorted(a.place for a in set_) == list(range(sets))
    left, at, firsts = plan.rate_limit_burst, start, {}
    for now in range(start, start + 40 * S, 100):
        n = chance.randrange(sets)
        if chance.random() < 0.002:
            set_[n] = share((37 + n) % 40, now)  # killed, and back at once with nothing remembered
        busy = (now - start) // (8 * S) % 2 == 0  # it fills up, then all is spent at once
        for acct in set_ if busy else ():
            acct.loop.now = now
            acct.roll()
            while acct.cap >= 1.0:
                acct.cap -= 1.0
                left, at = min(plan.rate_limit_burst, left + 3.3 * (now - at) / S) - 1.0, now
                firsts.setdefault(acct.place, now - start)
                assert left >= -1.0 - 1e-6
    assert len(firsts) > sets / 2 and (sets > 14 or sum(firsts.values()) / sets < 0.2 * sets * S)


def test_a_doubt_is_the_customers_where_use_beyond_the_quota_costs_nothing() -> None:
    acct = account(4.5, 8.0, sets=38, has_counter=True)
    acct.costless = True
    assert acct.lets(1.0, True)
    acct.asked, acct.synced, acct.whole = 4 * acct.rate, 0, 3.0
    acct.loop.now = 2 * S
    assert all(acct.lets(1.0, False) for _ in range(50))
    acct.whole, acct.synced = 8.0, acct.loop.now  # known full
    assert not acct.lets(1.0, False)


@pytest.mark.parametrize(
    ("limiters", "sets", "servers"), [(3, 255, 300), (380, 0, 1), (1, 1, 0), (0, 7, 9)]
)
def test_odd_sizes_and_a_leaping_clock_raise_nothing(
    limiters: int, sets: int, servers: int
) -> None:
    plans = (replace(PLANS[1], rate=1e-4, burst=2.0, rate_limit_burst=0.01), *PLANS[1:])
    brain, now, answered = alone(servers=servers, limiters=limiters, plans=plans, me=2), 0, 0
    for req in range(200):
        now += 1 if req % 9 else 700 * S
        acts = brain.handle(now, arrival(req, now, req % 4, req % 4, req % 7, sets))
        answered += len(pick(acts, SendAttempt)) + len(pick(acts, Reject))
        for act in pick(acts, SendAttempt):
            brain.handle(
                now,
                AttemptEnded(
                    act.request_id, 0, act.endpoint_id, Outcome.SUCCEEDED, 100, True, 0, 0.0
                ),
            )
        for act in pick(acts, IncrementCounter):
            brain.handle(now, CounterReplied(act.counter_name, Outcome.SUCCEEDED, -5.0, 30))
        for act in pick(acts, SetTimer):
            brain.handle(now + act.delay, TimerFired(act.tag))
    assert answered == 200
    brain.handle(now, EndpointsUpdated((), True))
    assert pick(brain.handle(now, arrival(999, now)), Reject)


def test_a_server_that_turns_away_quickly_gets_less_and_does_not_shrink_the_window():
    # print-desk-main, churn: one throttled server drew most dispatches as it looked idle, and the
    # window fell
    brain, sends, due = alone(servers=4, limiters=1), [0] * 4, []
    desk, before = brain.desk.fleets[0], brain.desk.fleets[0].window

    def done(now, acts, dispatch=0):
        for sent in pick(acts, SendAttempt):
            sends[sent.endpoint_id] += 1
            how, took = (Outcome.REJECTED, 5) if sent.endpoint_id == 2 else (Outcome.SUCCEEDED, 900)
            ended = AttemptEnded(
                sent.request_id,
                dispatch,
                sent.endpoint_id,
                how,
                took,
                how is Outcome.SUCCEEDED,
                0,
                0.0,
            )
            due.append((now + took, sent.request_id, ended))

    for now in range(0, 60_000, 50):  # eighteen out at once
        done(now, brain.handle(now, arrival(now, now)))
        for item in sorted(d for d in due if d[0] <= now + 50):
            due.remove(item)
            done(item[0], brain.handle(*item[::2]), item[2].attempt + 1)
    assert sum(sends) >= 1200 and sends[2] < 0.5 * min(sends[0], sends[1], sends[3])
    assert desk.window >= 0.9 * before


def test_a_server_that_goes_with_a_dispatch_out_is_forgotten_at_its_end():
    brain = alone(servers=1)
    assert pick(brain.handle(10, arrival(1, 10)), SendAttempt)
    brain.handle(20, EndpointsUpdated((entry(0, EndpointState.GONE),), False))
    assert list(brain.desk.fleets[0].servers) == [0]
    brain.handle(30, AttemptEnded(1, 0, 0, Outcome.SUCCEEDED, 20, True, 0, 0.0))
    assert not brain.desk.fleets[0].servers and not brain.desk.jobs


def test_a_customer_that_came_once_takes_little_memory():
    brain = alone()
    brain.handle(1, arrival(0, 1, plan=1, customer=9999))
    tracemalloc.start()
    for n in range(1, 501):
        # denied by the ceiling: only the account stays
        brain.handle(1, arrival(n, 1, plan=1, customer=n))
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    # 2,900 with a dict and a deque each
    assert len(brain.desk.accounts) == 501 and held < 1300 * 500


def test_of_many_customers_that_came_once_few_are_held():
    # a refresh interval of 20 s
    brain, slow = alone(), QuotaPlan(0.05, 1.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)
    brain.loop.settings = replace(brain.loop.settings, plans=(slow,))
    for n in range(4000):  # 50 a second for 80 s
        brain.handle(n * 200, arrival(n, n * 200, plan=0, customer=n))
        brain.handle(n * 200 + 50, AttemptEnded(n, 0, 0, Outcome.SUCCEEDED, 50, True, 0, 0.0))
    assert len(brain.desk.accounts) == len(brain.desk.by_tag) < 2500
    assert len(brain.desk.accounts) > 1000


def test_a_slack_without_a_ceiling_does_not_keep_a_customer_for_ever() -> None:
    acct = account(1.0, 4.0)
    plan = replace(acct.plan, rate_limit_slack=1.0)
    acct = TenantLimiter(acct.loop, acct.keeper, arrival(1, 0), plan)
    acct.loop.now = 50 * acct.length
    assert acct.idle(False)


def test_dispatches_held_by_silence_do_not_fill_the_window():
    # print-desk-main, rate+silent+leave: some 70 of 130 dispatches out waited on connections fallen
    # silent
    brain, sent = alone(servers=4, limiters=1), []
    for now in range(0, 40_000, 50):
        acts = brain.handle(now, arrival(now, now, front=1))
        assert pick(acts, SendAttempt), f"denied at {now}"
        sent += pick(acts, SendAttempt)
        if len(sent) % 5:  # one in five never answers, and its wait is far from over
            brain.handle(
                now + 40,
                AttemptEnded(now, 0, sent[-1].endpoint_id, Outcome.SUCCEEDED, 40, True, 0, 0.0),
            )
    assert len(brain.desk.jobs) > 150 > 3 * len(brain.desk.fleets[0].flying)


def test_servers_that_all_start_at_once_are_used_before_they_are_warm():
    """Found by the cold start of a whole fleet: no server carried anything, so none was let carry
    anything, and nothing was passed for the ten seconds that servers are cold.
    """
    many, servers = 6, 4
    brains = [DecisionEngine(settings(n, many), n, 0) for n in range(many)]
    for brain in brains:
        brain.handle(0, EndpointsUpdated(tuple(entry(n, booted=1) for n in range(servers)), True))
    now, req, out, sent = 0, 0, [], []
    while now < 8 * S:
        now += S // 200
        for due, n, act in [o for o in out if o[0] <= now]:
            out.remove((due, n, act))
            brains[n].handle(
                now,
                AttemptEnded(
                    act.request_id, 0, act.endpoint_id, Outcome.SUCCEEDED, S // 20, True, 0, 0.0
                ),
            )
        req += 1
        for act in pick(brains[req % many].handle(now, arrival(req, now)), SendAttempt):
            out.append((now + S // 20, req % many, act))
            sent.append((now, act.endpoint_id))
    assert sum(t > 6 * S for t, _ in sent) > 0.5 * 2 * 200  # of two hundred a second
    for srv in range(
        servers
    ):  # eight slots, 160 a second when warm: three times its warmth of that for a second
        for t in range(1, 8):
            lately = sum(t * S - S < at <= t * S for at, s in sent if s == srv)
            assert lately <= 3.0 * (0.2 + 0.8 * (t - 1) / 10) * 160
