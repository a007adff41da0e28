"""The figures of a simulated day: on handwritten histories, and on random days with a safeguard
removed.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from loomstand.proxy.counter_replay import CounterReplay
from loomstand.proxy.quota_credits import QuotaCredits
from loomstand.registry import counters, limiters
from loomstand.testing.simulation import hunt
from loomstand.testing.simulation.bounds import (
    CORE,
    AppliedChange,
    Arrival,
    ConfigurationChange,
    Drain,
    FaultSpan,
    Figure,
    History,
    evaluate,
)
from loomstand.testing.simulation.cluster import Cluster
from loomstand.testing.simulation.scenario import Day, Setup

BOUNDS = Cluster(1, 1, 1, 1).settings("10.1.0.1").bounds
ANN = {"ann": (10.0, 20.0)}  # quota of a window: 50 + 20 requests; with the leeway 97
FIRST = ConfigurationChange(1, 0.0, 0.1, ANN)
QUOTA_FIGURE = "quota: share of the leeway used"


def figures_by_name(history: History) -> dict[str, Figure]:
    return {figure.name: figure for figure in evaluate(history, BOUNDS)}


def runs(count: int, since: float, until: float, tenant: str = "ann") -> list[Arrival]:
    """Returns evenly spaced arrivals, each 1 ms after its sending."""
    step = (until - since) / count
    at = [since + n * step for n in range(count)]
    return [Arrival(f"{tenant}-{t}", tenant, "alpha", "i-1", "one", t, t + 0.001) for t in at]


# --- quotas


@pytest.mark.parametrize(("count", "broken"), [(97, False), (98, True)])
def test_a_request_beyond_what_is_allowed_is_found_and_one_at_it_is_not(count, broken):
    history = History(["one"], ended=30.0, changes=[FIRST], arrivals=runs(count, 10.0, 14.9))
    again = history.arrivals[3]  # neither a second run of a request nor a rejected one counts
    history.arrivals += [replace(again, at=again.at + 0.1), replace(again, id="x", ran=False)]
    figure = figures_by_name(history)[QUOTA_FIGURE]
    assert bool(figure.broken) is broken and figure.value == pytest.approx((count - 70) / 27)
    assert figure.at == pytest.approx(10.0) and f"{count} where" in figure.who


@pytest.mark.parametrize(
    ("at", "spans", "broken"),
    [
        # sent just before the lower quota binds, 2.5 s after its acknowledgement
        (12.4, [], False),
        (12.6, [], True),
        # not in touch for long enough
        (12.6, [FaultSpan("cut", "", frozenset(["one"]), 9.0, 9.5)], False),
        (15.1, [FaultSpan("cut", "", frozenset(["one"]), 9.0, 9.5)], True),
    ],
)
def test_a_lower_quota_binds_once_all_were_in_touch(at, spans, broken):
    lower = ConfigurationChange(2, 9.9, 10.0, {"ann": (4.0, 10.0)})
    history = History(
        ["one"], ended=30.0, spans=spans, changes=[FIRST, lower], arrivals=runs(54, at, at + 4)
    )
    assert any(f.broken for f in evaluate(history, BOUNDS) if "quota" in f.name) is broken


def test_a_higher_quota_counts_from_its_sending_also_without_an_acknowledgement():
    higher = ConfigurationChange(2, 10.0, float("inf"), {"ann": (20.0, 20.0)})
    for at, broken in ((2.0, True), (8.0, False)):
        history = History(["one"], changes=[FIRST, higher], arrivals=runs(130, at, at + 4.5))
        assert bool(figures_by_name(history)[QUOTA_FIGURE].broken) is broken


# --- propagation of changes


def figures_of_change(
    applied_at: float, *spans: FaultSpan, acked: float = 10.0
) -> dict[str, Figure]:
    """Returns the figures of a version and a drain, acknowledged and applied at these times."""
    applied_changes = [AppliedChange(1.0, "one", 1, "", 1), AppliedChange(1.0, "one", 1, "i-1", 1)]
    applied_changes += [
        AppliedChange(applied_at, "one", 1, "", 2),
        AppliedChange(applied_at, "one", 1, "i-1", 0),
    ]
    drain = Drain("i-1", acked, "core")
    history = History(
        ["one"],
        0.0,
        60.0,
        [*spans],
        applied_changes,
        [FIRST, ConfigurationChange(2, 9.0, acked, ANN)],
        [drain],
    )
    return figures_by_name(history)


@pytest.mark.parametrize("applied_at", [12.49, 12.51])
def test_a_change_applied_later_than_its_bound_is_found(applied_at):
    for name in ("version in force, connected", "drain known, connected"):
        figure = figures_of_change(applied_at)[name]
        assert figure.value == pytest.approx(applied_at - 10.0) and bool(figure.broken) is (
            applied_at > 12.5
        )


@pytest.mark.parametrize(
    ("span", "applied_at", "name", "value", "broken"),
    [
        # the delay counts from the end of the fault; the bound is `contact`
        (FaultSpan("cut", "", frozenset(["one"]), 8.0, 18.0), 20.9, "cut", 2.9, 0),
        (FaultSpan("cut", "", frozenset(["one"]), 8.0, 18.0), 21.1, "cut", 3.1, 1),
        (FaultSpan("slow", "", frozenset(["one"]), 8.0, 9.0), 12.4, "slow", 2.4, 0),
        # a fault of another limiter
        (FaultSpan("cut", "", frozenset(["two"]), 8.0, 18.0), 12.6, "connected", 2.6, 1),
        (
            FaultSpan("cut", "", frozenset(["one"]), 30.0, 40.0),
            12.6,
            "connected",
            2.6,
            1,
        ),  # a later fault
        # bounded by the stretch limit
        (FaultSpan(CORE, "", frozenset(["core"]), 9.5, 18.0, True), 20.4, CORE, 2.4, 0),
        (FaultSpan(CORE, "", frozenset(["core"]), 9.5, 18.0, True), 20.6, CORE, 2.6, 1),
        (
            FaultSpan(CORE, "", frozenset(["core"]), 9.5, 18.0, True, majority_connected=False),
            20.9,
            CORE,
            2.9,
            0,
        ),
    ],
)
def test_the_delay_counts_from_the_end_of_a_fault(span, applied_at, name, value, broken):
    figure = figures_of_change(applied_at, span)[f"version in force, {name}"]
    assert figure.value == pytest.approx(value) and figure.broken == broken


@pytest.mark.parametrize(("applied_at", "broken"), [(20.9, 0), (23.5, 1)])
def test_the_cores_stretch_does_not_bind_a_limiter_that_was_cut_off_until_its_end(
    applied_at, broken
):
    cut = FaultSpan("cut", "", frozenset(["one"]), 8.0, 20.4)
    core = FaultSpan(CORE, "", frozenset(["core"]), 20.45, 20.5, True)
    assert figures_of_change(applied_at, cut, core)["version in force, core"].broken == broken
    assert (
        figures_of_change(20.9, core, replace(core, begun=9.0, ended=9.1))[
            "version in force, core"
        ].broken
        == 1
    )


def test_a_limiter_that_starts_needs_what_was_acknowledged_before():
    span = FaultSpan("started", "killed", frozenset(["one"]), 20.0, 21.0)
    applied_changes = [
        AppliedChange(1.0, "one", 1, "", 1),
        AppliedChange(10.5, "one", 1, "", 2),
        AppliedChange(21.2, "one", 2, "", 1),
    ]
    applied_changes.append(AppliedChange(24.5, "one", 2, "", 2))
    changes = [FIRST, ConfigurationChange(2, 9.0, 10.0, ANN)]
    figure = figures_by_name(History(["one"], 0.0, 60.0, [span], applied_changes, changes))[
        "version in force, started"
    ]
    assert figure.value == pytest.approx(3.5) and figure.allowed == 3.0 and figure.broken == 1


def test_a_request_at_a_drained_server_is_found_unless_its_link_held_it_up():
    run = Arrival("r", "", "alpha", "i-1", "one", 12.0, 12.6)
    history = History(
        ["one"], 0.0, 60.0, changes=[FIRST], drains=[Drain("i-1", 10.0, "core")], arrivals=[run]
    )
    assert figures_by_name(history)["arrival after a drain, connected"].broken == 1
    history.spans = [FaultSpan("slow", "", frozenset(["one"]), 9.0, 10.0)]
    assert figures_by_name(history)["arrival after a drain, slow"].broken == 0
    history.spans = [
        FaultSpan(CORE, "", frozenset(["core"]), 9.0, 9.5, True)
    ]  # its acknowledgement binds no limiter
    assert figures_by_name(history)["arrival after a drain, core"].broken == 0


# --- retries, acknowledgements and primaries


@pytest.mark.parametrize(("more", "broken"), [(76, 0), (77, 1)])
def test_further_tries_beyond_the_budget_are_found(more, broken):
    """With 100 requests in the window before, 20 retries and the slack of 56 are allowed."""
    request_times = {"alpha": [5.0 + 0.01 * n for n in range(100)]}
    first = [Arrival(f"r{n}", "", "alpha", "i-1", "one", 10.0, 10.0) for n in range(more)]
    again = [replace(run, at=12.0 + 0.01 * n) for n, run in enumerate(first)]
    history = History(["one"], ended=30.0, request_times=request_times, arrivals=first + again)
    figure = figures_by_name(history)["further tries: share of the slack used"]
    assert figure.value == pytest.approx((more - 20) / 56) and bool(figure.broken) is bool(broken)


def test_a_late_acknowledgement_two_counters_and_a_lost_primary_are_found():
    history = History(["one"], 0.0, 60.0, changes=[ConfigurationChange(1, 10.0, 15.5, {})])
    history.double_counting_times, history.primary_gaps = [20.0], [(30.0, 34.0)]
    assert figures_by_name(history)["acknowledgement of a change in settled times"].broken
    assert figures_by_name(history)["moments with two counters"].broken
    assert figures_by_name(history)["without a serving primary"].value == pytest.approx(4.0)
    history.spans = [
        FaultSpan(CORE, "", frozenset(["core"]), 8.0, 12.0, True, majority_connected=False)
    ]
    history.spans.append(replace(history.spans[0], begun=29.0, ended=33.0))
    assert "acknowledgement of a change in settled times" not in figures_by_name(history)
    assert figures_by_name(history)["without a serving primary"].value == pytest.approx(1.0)


# --- whole days


def test_a_day_is_the_same_twice():
    setup = Setup(limiters=4, length=6.0, servers=3)
    one, other = (hunt.run_day((3, setup)) for _ in range(2))
    assert one == other and {f.name for f in one[1]} >= {
        QUOTA_FIGURE,
        "version in force, connected",
    }
    assert hunt.run_day((4, setup))[1] != one[1]


class PartitionedDay(Day):
    """Half of eight limiters are cut off from the core while the largest tenant is hot."""

    def activities(self, until):
        async def partition():
            self.loads[-1].hot = True
            await asyncio.sleep(2.0)
            ips = [*self.cluster.proxies][:4]
            async with self.faults.span("cut", "limiters cut off", ips):
                self.cluster.network.partition(ips, self.cluster.core_ips)
                await asyncio.sleep(9.0)
                self.cluster.network.heal()

        return [partition()]


@pytest.mark.parametrize("is_held", [True, False])
def test_a_share_that_is_not_held_for_a_silent_limiter_breaks_the_quota(is_held, monkeypatch):
    """Credits alone keep the quota, so they are disabled as well; their own safeguards are tested
    in tests/registry/test_quota_grants.py.
    """
    if not is_held:
        monkeypatch.setattr(limiters, "SILENT_RETENTION_SECONDS", limiters.SESSION_TIMEOUT_SECONDS)
        monkeypatch.setattr(QuotaCredits, "may_admit", lambda *_: True)
    history, bounds = PartitionedDay(5, Setup(limiters=8, length=11.0, servers=3)).simulate()
    quota = {figure.name: figure for figure in evaluate(history, bounds)}[QUOTA_FIGURE]
    assert bool(quota.broken) is not is_held, quota
    assert all(f.broken == 0 for f in evaluate(history, bounds) if "quota" not in f.name)


def test_the_narrative_lists_faults_changes_and_drains_around_the_worst_figure(capsys):
    span = FaultSpan("cut", "limiters cut off", frozenset(["one"]), 8.0, 9.0)
    history = History(
        ["one"],
        0.0,
        60.0,
        [span],
        changes=[FIRST],
        drains=[Drain("i-1", 10.0, "core")],
        arrivals=runs(98, 10.0, 14.9),
        primary_gaps=[(11.0, 12.0)],
    )
    hunt.print_narrative(history, evaluate(history, BOUNDS))
    printed = capsys.readouterr().out
    for text in (
        "around 10.00 s: quota: share of the leeway used",
        "8.00  limiters cut off: one, until 9.00",
        "0.00  r1 sent, acknowledged at 0.10, ann 10/s and 20",
        "10.00  drain of i-1 acknowledged by core",
        "11.00  no primary until 12.00",
    ):
        assert text in printed


def test_of_many_days_the_worst_is_named_with_its_seed():
    def figure(value: float, broken: int = 0) -> Figure:
        return Figure("quota", value, 1.0, 0.0, "ann", 9, broken)

    days = [(1, [figure(0.2)]), (2, [figure(1.2, 3)]), (3, [figure(0.9)])]
    assert hunt.worst_by_name(days) == [(figure(1.2, 3), 2, 1)]


@pytest.mark.parametrize(
    "arguments", [["--days", "0"], ["--limiters", "x"], ["--json", "/nowhere/f", "--days", "1"]]
)
def test_invalid_arguments_exit_with_2_before_a_day_is_simulated(arguments, capsys):
    with pytest.raises(SystemExit) as ended:
        hunt.main(arguments)
    assert ended.value.code == 2 and "hunt" in capsys.readouterr().err


# --- a counter that moves


@pytest.mark.parametrize("has_safeguards", [True, False])
def test_a_counter_that_moves_gives_no_second_burst(has_safeguards, monkeypatch):
    """A random day in which the counting lease moves while a tenant is hot."""
    if not has_safeguards:
        monkeypatch.setattr(CounterReplay, "record", lambda *_: 0.0)
        monkeypatch.setattr(counters, "INCOMPLETE_SECONDS", 0.0)
        monkeypatch.setattr(QuotaCredits, "may_admit", lambda *_: True)
    history, bounds = Day(1072, Setup(length=6.0)).simulate()
    quota = {figure.name: figure for figure in evaluate(history, bounds)}[QUOTA_FIGURE]
    assert bool(quota.broken) is not has_safeguards, quota
