"""Properties of the schedules of the soak test."""

from __future__ import annotations

import itertools

import pytest

from loomstand.testing.soak.schedule import (
    Action,
    ClusterShape,
    Step,
    draw_schedule,
)
from loomstand.testing.soak.timing import CATCH_UP_SECONDS, START_SECONDS

MACHINES = (("store-1", "registry-1"), ("store-2", "registry-2"), ("store-3", "registry-3"))
SHAPE = ClusterShape(("proxy-1", "proxy-2", "proxy-3"), MACHINES, ("alpha-1", "alpha-2"), 12.0)
ENDS = {Action.TERMINATE, Action.KILL, Action.FREEZE}


def core_steps(steps: list[Step]) -> list[tuple[float, tuple[str, ...], float]]:
    """Returns start, machine and shortest duration in seconds of disturbances of core machines."""
    return [
        (step.at, machine, step.seconds)
        for step in steps
        for machine in MACHINES
        if step.target in machine and step.action in ENDS
    ]


def test_a_seed_gives_the_same_schedule_again_and_another_seed_another():
    assert draw_schedule(1, SHAPE) == draw_schedule(1, SHAPE)
    assert draw_schedule(1, SHAPE) != draw_schedule(2, SHAPE)


@pytest.mark.parametrize("seed", range(1, 31))
def test_steps_are_ordered_lie_within_the_run_and_name_existing_targets(seed):
    steps = draw_schedule(seed, SHAPE)
    assert steps
    assert [step.at for step in steps] == sorted(step.at for step in steps)
    assert all(0.0 <= step.at < SHAPE.seconds for step in steps)
    names = {"", *SHAPE.proxies, *SHAPE.servers, *(name for m in MACHINES for name in m)}
    assert {step.target for step in steps} <= names


@pytest.mark.parametrize("seed", range(1, 31))
def test_one_core_machine_at_a_time_is_lost(seed):
    disturbed = core_steps(draw_schedule(seed, SHAPE))
    for (at, machine, seconds), (next_at, next_machine, _) in itertools.pairwise(disturbed):
        same_moment = machine == next_machine and at == next_at
        assert same_moment or next_at >= at + seconds + CATCH_UP_SECONDS


@pytest.mark.parametrize("seed", range(1, 31))
def test_core_machines_have_caught_up_before_and_after_a_kill_of_all(seed):
    steps = draw_schedule(seed, SHAPE)
    core_kills = [step.at for step in steps if step.action is Action.KILL_CORE]
    assert len(core_kills) <= 1
    for at in core_kills:
        for machine_at, _, seconds in core_steps(steps):
            if machine_at < at:
                assert machine_at + seconds + CATCH_UP_SECONDS <= at
            else:
                assert at + START_SECONDS + CATCH_UP_SECONDS <= machine_at


def test_servers_leave_around_a_kill_of_the_core():
    offsets = [
        leave.at - core_kill.at
        for seed in range(1, 51)
        for steps in [draw_schedule(seed, SHAPE)]
        for core_kill in steps
        if core_kill.action is Action.KILL_CORE
        for leave in steps
        if leave.action is Action.LEAVE
    ]
    assert len(offsets) > 10
    assert all(-0.2 <= offset <= 1.0 for offset in offsets)


def test_all_kinds_of_disturbances_are_drawn_and_overlap():
    drawn: set[Action] = set()
    overlapping = 0
    for seed in range(1, 51):
        steps = draw_schedule(seed, SHAPE)
        drawn |= {step.action for step in steps}
        gaps = [after.at - before.at for before, after in itertools.pairwise(steps)]
        overlapping += any(gap < 0.1 for gap in gaps)
    assert drawn == set(Action)
    assert overlapping > 40


@pytest.mark.parametrize("seed", range(1, 31))
def test_a_roll_restarts_proxies_one_after_the_other_while_servers_are_slow(seed):
    steps = draw_schedule(seed, SHAPE)
    stopped = [step for step in steps if step.action is Action.TERMINATE_BUSY]
    assert {step.target for step in stopped} <= set(SHAPE.proxies)
    for step in stopped:
        assert any(
            slow.action is Action.SLOW and slow.at <= step.at < slow.at + slow.seconds
            for slow in steps
        )


def test_rolls_are_drawn_and_reach_every_proxy():
    schedules = [draw_schedule(seed, SHAPE) for seed in range(1, 31)]
    rolled = [
        {step.target for step in steps if step.action is Action.TERMINATE_BUSY}
        for steps in schedules
    ]
    assert sum(targets == set(SHAPE.proxies) for targets in rolled) > 10
    assert set() in rolled
