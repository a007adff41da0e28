"""Plain cases, with figures worked by hand, and one small test for each failure found."""

from __future__ import annotations

import pytest
from helpers import FRONTENDS, PLANS, S, alone, arrival, entry, pick

from loomstand import interface as api
from loomstand.brain import Account, Brain, Job, Keeper, Loop, Row
from loomstand.interface import Outcome


def account(rate: float, burst: float, sets: int = 1, has_counter: bool = False) -> Account:
    from helpers import settings

    loop = Loop(settings(has_counter=has_counter), 1, 0)
    plan = api.Plan(rate, burst, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)
    return Account(loop, Keeper(loop), arrival(1, 0, sets=sets), plan)


def let_in(brain: Brain, now: int, many: int, first: int) -> int:
    return sum(
        len(pick(brain.handle(now, arrival(first + n, now, sets=1)), api.Dispatch)) for n in range(many)
    )


def test_the_sources_example_500_a_second_with_a_burst_of_ten() -> None:
    """11, then 1 of 2, none asked, 2 of 2, none asked: the count is 10, 10, 9, 10, 9."""
    plan = api.Plan(500.0, 11.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)
    brain = alone(servers=40, plans=(PLANS[0], PLANS[0], plan), has_counter=False)
    zone = 20  # 2 ms
    got = [let_in(brain, n * zone, many, 100 * n + 1) for n, many in enumerate([12, 2, 0, 2, 0])]
    assert got == [11, 1, 0, 2, 0]


@pytest.mark.parametrize(
    ("own", "total", "part"),
    [
        (2.0, 4.0, 2.0 + (10.0 - 4.0) / 3),  # under quota: last use and an even share of the six unused
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
    acct.counted(acct.k, 3.0, api.Counted(1, Outcome.PASSED, 9.0, 10))
    full = acct.whole
    acct.counted(acct.k, 0.0, api.Counted(1, Outcome.PASSED, 1.0, 10))
    assert acct.forgot
    assert acct.whole == full


def test_usual_times_left_tell_no_age() -> None:
    """Found by i5a148d and i16bd91: first tries must not be taken for old ones, however many retries come."""
    row = Row(FRONTENDS[0])
    for n in range(400):
        row.age(26_000 if n % 4 else (n * 977) % 26_000, False)
    assert row.age(26_000, False) == 0
    assert row.age(39_900, False) == 100
    assert row.age(5_000, False) == 35_000
    assert row.age(5_000, True) == 35_000
    assert row.age(5_000, False) == 0  # where clients mark their retries, the others are first tries


def test_a_counter_that_loses_some_calls_is_not_down() -> None:
    """Found by i5a148d: a crowded counter fails some calls; its window shrinks, but totals go on counting."""
    acct = account(2.0, 4.0, has_counter=True)
    keeper = acct.keeper
    for n, how in enumerate([Outcome.NO_ANSWER, Outcome.PASSED, Outcome.NO_ANSWER]):
        acct.loop.now = n * 1000
        keeper.call(acct, acct.k, 0.0)
        keeper.counted(api.Counted(acct.name(acct.k), how, 0.0, 400))
    assert not keeper.down()
    assert keeper.window < 8.0


def test_servers_windows_shrink_before_answers_are_late() -> None:
    """Found by if6de07: windows that are cut only near the target hold a queue as long as the target."""
    brain = alone(servers=1)
    srv = brain.desk.servers[0]
    now = 0
    for req in range(40):
        sent = pick(brain.handle(now, arrival(req, now)), api.Dispatch)
        now += int(0.6 * S)
        for act in sent:
            brain.handle(now, api.Ended(act.req, 0, 0, Outcome.PASSED, int(0.6 * S), True, 0, 0.0))
    assert srv.limit < 1.0


def test_a_non_replayable_req_that_may_have_run_is_aborted_not_denied() -> None:
    brain = alone()
    act = pick(brain.handle(0, arrival(1, 0, front=1)), api.Dispatch)[0]
    got = brain.handle(S, api.Ended(1, 0, act.srv, Outcome.CONNECTION_LOST, S, False, 0, 0.0))
    assert pick(got, api.Abort) and not pick(got, api.Dispatch)


def test_no_server_no_plan_no_rate_still_answers() -> None:
    brain = alone(servers=0)
    assert pick(brain.handle(5, arrival(1, 5, plan=-1)), api.Deny)
    strange = api.Ended(9, 3, 77, Outcome.NO_ANSWER, 5, False, 0, 0.0)
    assert brain.handle(6, strange) == []


def test_a_cold_server_gets_its_share_of_what_peers_carry() -> None:
    """Rule 4: multiple x cold share x what a warm peer carries here, from a bucket that starts empty."""
    brain = alone(servers=2)
    now = 100 * S
    brain.handle(now, api.Listed((entry(2, booted=now),), False))
    sent = []
    for req in range(200):  # 20 reqs a second for ten seconds, each passed after 100 ms
        now += S // 20
        for act in pick(brain.handle(now, arrival(req, now)), api.Dispatch):
            sent.append((act.srv, now))
            took = S // 10
            brain.handle(now + took, api.Ended(act.req, 0, act.srv, Outcome.PASSED, took, True, 0, 0.0))
    first = [t for srv, t in sent if srv == 2 and t <= 102 * S]
    assert len(first) <= 0.6 * 1.3 * 10 * 2 + 1  # 0.6 of a peer's ten a second, a little warmer, two seconds
    assert sum(1 for srv, _ in sent if srv == 2) > len(first)


def test_a_small_window_grows_slowly() -> None:
    """Found by i221f4c: a window under one grew by one over itself on every quick answer."""
    brain = alone(servers=1)
    srv = brain.desk.servers[0]
    srv.limit = 0.5
    brain.handle(0, arrival(1, 0))
    srv.send(2, 0, S)
    srv.ended(api.Ended(2, 0, 0, Outcome.PASSED, 100, True, 0, 0.0), S)
    assert srv.limit == pytest.approx(0.8)


def test_low_value_goes_first_as_servers_fill() -> None:
    """Found by i221f4c: reqs of little value for their work held the servers while dear ones were denied."""
    desk = alone().desk
    cheap, dear = (Job(arrival(n, 0), desk, 0, worth) for n, worth in enumerate((1.0, 5.0)))
    assert not desk.shed(dear, 0.6)
    assert desk.shed(cheap, 0.6)
    assert not desk.shed(cheap, 0.3)
