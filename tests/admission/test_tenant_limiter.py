"""A tenant's quota, rate limit and calls to the counter.

Figures worked by hand, and one small test for each failure found.
"""

from __future__ import annotations

import tracemalloc
from dataclasses import replace
from random import Random

import pytest
from helpers import PLANS, S, alone, arrival, pick, settings

from loomstand.admission.actions import IncrementCounter, SendAttempt
from loomstand.admission.actors import ActorLoop
from loomstand.admission.counter_client import CounterClient
from loomstand.admission.decision_engine import DecisionEngine
from loomstand.admission.events import AttemptEnded, CounterReplied
from loomstand.admission.outcome import Outcome
from loomstand.admission.settings import QuotaPlan
from loomstand.admission.tenant_limiter import TenantLimiter


def tenant_limiter(
    rate: float, burst: float, sets: int = 1, has_counter: bool = False
) -> TenantLimiter:
    loop = ActorLoop(settings(has_counter=has_counter), 1, 0)
    plan = QuotaPlan(rate, burst, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)
    return TenantLimiter(loop, CounterClient(loop), arrival(1, 0, sets=sets), plan)


def let_in(engine: DecisionEngine, now: int, many: int, first: int) -> int:
    return sum(
        len(pick(engine.handle(now, arrival(first + n, now, sets=1)), SendAttempt))
        for n in range(many)
    )


def test_the_sources_example_500_a_second_with_a_burst_of_ten() -> None:
    """11, then 1 of 2, none asked, 2 of 2, none asked: the count is 10, 10, 9, 10, 9."""
    plan = QuotaPlan(500.0, 11.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)
    engine = alone(servers=40, plans=(PLANS[0], PLANS[0], plan), has_counter=False)
    zone = 20  # 2 ms
    got = [let_in(engine, n * zone, many, 100 * n + 1) for n, many in enumerate([12, 2, 0, 2, 0])]
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
    limiter = tenant_limiter(5.0, 10.0, sets=3)
    limiter.levels.split(own, total, 0)
    assert limiter.levels.share_rate * limiter.interval_length == pytest.approx(part)


def test_parts_over_quota_sum_to_the_quota() -> None:
    parts = 0.0
    for own in (1.0, 5.0, 14.0):
        limiter = tenant_limiter(5.0, 10.0, sets=3)
        limiter.levels.split(own, 20.0, 0)
        parts += limiter.levels.share_rate * limiter.interval_length
    assert parts == pytest.approx(10.0)


def test_a_counter_that_forgot_does_not_swell_a_part() -> None:
    limiter = tenant_limiter(2.0, 4.0, sets=3, has_counter=True)
    limiter.levels.usage.current.own = 3.0
    limiter.counter_replied(
        limiter.levels.usage.interval, 3.0, CounterReplied(1, Outcome.SUCCEEDED, 9.0, 10)
    )
    full = limiter.levels.fleet_level
    limiter.counter_replied(
        limiter.levels.usage.interval, 0.0, CounterReplied(1, Outcome.SUCCEEDED, 1.0, 10)
    )
    assert limiter.levels.usage.current.is_lost
    assert limiter.levels.fleet_level == full


def test_a_counter_that_loses_some_calls_is_not_down() -> None:
    """Found by i5a148d: a crowded counter fails some calls; calls slow down, but totals go on
    counting.
    """
    limiter = tenant_limiter(2.0, 4.0, has_counter=True)
    client = limiter.counter_client
    before = client.rate
    for n, how in enumerate([Outcome.NO_RESPONSE, Outcome.SUCCEEDED, Outcome.NO_RESPONSE]):
        limiter.loop.now = (n + 1) * 1000
        client.call(limiter, limiter.levels.usage.interval, 0.0)
        client.counter_replied(
            CounterReplied(
                limiter.tenant_digest << 15 | limiter.levels.usage.interval, how, 0.0, 400
            )
        )
    assert client.consecutive_failures < 4
    assert client.rate < before


def test_the_meter_stands_in_while_the_counter_is_down() -> None:
    """Found by if0ee5e: with a silent counter a customer well under its quota had a third of its
    burst.
    """
    limiter = tenant_limiter(2.0, 6.0, sets=3, has_counter=True)
    limiter.loop.settings = replace(limiter.loop.settings, metering_period=S)
    limiter.loop.now, limiter.counter_client.consecutive_failures = 100 * S, 4
    limiter.usage_metered(30)
    for _ in range(4):
        assert limiter.has_quota(1.0, False)
        limiter.request_sent(1.0)


def test_calls_of_all_limiters_stay_under_a_counters_capacity() -> None:
    """Found by main-campus later: one call out at least at each of hundreds of limiters jams a
    counter.
    """
    calls = 0
    for me in range(200):
        engine = alone(servers=2, limiters=200, me=me)
        for n in range(20):
            acts = engine.handle(n * S // 10, arrival(n, n * S // 10, plan=0, customer=n, sets=100))
            calls += len(pick(acts, IncrementCounter))
            for act in pick(acts, IncrementCounter):
                engine.handle(
                    n * S // 10, CounterReplied(act.counter_name, Outcome.NO_RESPONSE, 0.0, 500)
                )
    assert calls <= 2 * 300 + 200  # in two seconds, beside the first of each


def test_a_part_below_one_req_passes_by_chance() -> None:
    """Found by main-campus later: over 100 limiters a part is tiny and most of the quota lay
    idle.
    """
    limiter = tenant_limiter(1.0, 4.0, sets=100, has_counter=True)
    limiter.levels.requested_rate, limiter.levels.total_at, limiter.loop.now = (
        4 * limiter.levels.quota.rate,
        0,
        20 * S,
    )
    passed = sum(limiter.has_quota(1.0, False) for _ in range(1000))
    assert 200 < passed < 300


def test_a_customer_asking_much_is_passed_while_its_store_has_room() -> None:
    """Found on the fleet days: sets of seven, a burst of six; after a spike most were denied by
    chance.
    """
    limiter = tenant_limiter(1.4, 6.0, sets=7, has_counter=True)
    limiter.levels.requested_rate, limiter.levels.total_at, limiter.levels.fleet_level = (
        4 * limiter.levels.quota.rate,
        0,
        1.0,
    )
    limiter.loop.now = S // 2
    assert all(limiter.has_quota(1.0, False) for _ in range(100))
    limiter.levels.fleet_level = (
        4.5  # the others may have passed 0.7 since: one more and one for a race do not fit
    )
    assert sum(limiter.has_quota(1.0, False) for _ in range(400)) < 150


def test_an_unseen_customers_retry_is_denied_only_where_a_part_is_far_below_a_req() -> None:
    """Found on the fleet days: three in four such retries came to a store with room."""
    assert tenant_limiter(1.4, 6.0, sets=7, has_counter=True).has_quota(1.0, True)
    assert not tenant_limiter(0.4, 2.0, sets=38, has_counter=True).has_quota(1.0, True)


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
    assert sorted(a.rate_limit.position for a in set_) == list(range(sets))
    left, at, firsts = plan.rate_limit_burst, start, {}
    for now in range(start, start + 40 * S, 100):
        n = chance.randrange(sets)
        if chance.random() < 0.002:
            set_[n] = share((37 + n) % 40, now)  # killed, and back at once with nothing remembered
        busy = (now - start) // (8 * S) % 2 == 0  # it fills up, then all is spent at once
        for limiter in set_ if busy else ():
            limiter.loop.now = now
            limiter.advance()
            while limiter.rate_limit.tokens >= 1.0:
                limiter.rate_limit.tokens -= 1.0
                left, at = min(plan.rate_limit_burst, left + 3.3 * (now - at) / S) - 1.0, now
                firsts.setdefault(limiter.rate_limit.position, now - start)
                assert left >= -1.0 - 1e-6
    assert len(firsts) > sets / 2 and (sets > 14 or sum(firsts.values()) / sets < 0.2 * sets * S)


def test_a_doubt_is_the_customers_where_use_beyond_the_quota_costs_nothing() -> None:
    limiter = tenant_limiter(4.5, 8.0, sets=38, has_counter=True)
    limiter.levels.quota = replace(limiter.levels.quota, is_excess_free=True)
    assert limiter.has_quota(1.0, True)
    limiter.levels.requested_rate, limiter.levels.total_at, limiter.levels.fleet_level = (
        4 * limiter.levels.quota.rate,
        0,
        3.0,
    )
    limiter.loop.now = 2 * S
    assert all(limiter.has_quota(1.0, False) for _ in range(50))
    limiter.levels.fleet_level, limiter.levels.total_at = 8.0, limiter.loop.now  # known full
    assert not limiter.has_quota(1.0, False)


def test_a_customer_that_came_once_takes_little_memory():
    engine = alone()
    engine.handle(1, arrival(0, 1, plan=1, customer=9999))
    tracemalloc.start()
    for n in range(1, 501):
        # denied by the ceiling: only the account stays
        engine.handle(1, arrival(n, 1, plan=1, customer=n))
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    # 2,900 with a dict and a deque each
    assert len(engine.admission.tenants) == 501 and held < 1300 * 500


def test_of_many_customers_that_came_once_few_are_held():
    # a refresh interval of 20 s
    engine, slow = alone(), QuotaPlan(0.05, 1.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)
    engine.loop.settings = replace(engine.loop.settings, plans=(slow,))
    for n in range(4000):  # 50 a second for 80 s
        engine.handle(n * 200, arrival(n, n * 200, plan=0, customer=n))
        engine.handle(n * 200 + 50, AttemptEnded(n, 0, 0, Outcome.SUCCEEDED, 50, True, 0, 0.0))
    assert len(engine.admission.tenants) == len(engine.admission.tenants_by_digest) < 2500
    assert len(engine.admission.tenants) > 1000


def test_a_slack_without_a_ceiling_does_not_keep_a_customer_for_ever() -> None:
    limiter = tenant_limiter(1.0, 4.0)
    plan = QuotaPlan(1.0, 4.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 1.0)
    limiter = TenantLimiter(limiter.loop, limiter.counter_client, arrival(1, 0), plan)
    limiter.loop.now = 50 * limiter.interval_length
    assert limiter.is_idle(False)
