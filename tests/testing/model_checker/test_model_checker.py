"""The store's decisions through all orders of events within small bounds, and by longer runs at
random.
"""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from loomstand.testing.model_checker.__main__ import main
from loomstand.testing.model_checker.member import CodeUnderTest
from loomstand.testing.model_checker.mutants import (
    LEARN,
    LEAVE,
    MUTANTS,
    READ,
    RESCUE,
    TWO_LEAVE,
    brief,
)
from loomstand.testing.model_checker.search import search
from loomstand.testing.model_checker.state_space import Bounds, InvariantError, StateSpace


def test_all_runs_within_small_bounds_hold():
    found = search(StateSpace(CodeUnderTest(), brief("restart", takers="c", wipes=1)), seconds=60.0)
    assert found.is_complete and not found.broken
    assert found.states > 3000 and found.depth > 25


def test_all_runs_with_a_rescue_and_the_return_of_the_lost_disks_hold():
    found = search(StateSpace(CodeUnderTest(), replace(RESCUE, versions=0)), seconds=60.0)
    assert found.is_complete and not found.broken
    assert found.states > 10_000 and found.depth > 30


@pytest.mark.parametrize(
    "bounds, states",
    [(READ, 2000), (LEAVE, 15_000), (TWO_LEAVE, 25_000), (LEARN, 10_000)],
    ids=[
        "a read after a cut",
        "one leaves beside a lost disk",
        "two leave at once",
        "third copies",
    ],
)
def test_all_runs_with_reads_leaving_and_third_copies_hold(bounds, states):
    found = search(StateSpace(CodeUnderTest(), bounds), seconds=60.0)
    assert found.is_complete and not found.broken
    assert found.states > states


@pytest.mark.parametrize("name", [n for n, m in MUTANTS.items() if m.brief])
def test_a_step_left_out_is_found(name):
    mutant = MUTANTS[name]
    found = search(StateSpace(mutant.code, mutant.bounds), states=100_000, seconds=60.0)
    assert found.broken[1:2] in [*mutant.breaks], found
    assert found.trace[-1].endswith(found.broken)


def test_the_program_tells_the_shortest_trace(capsys):
    assert main(["--mutate", "any-disk"]) == 1
    told = capsys.readouterr().out
    assert "a has lost its disk and starts" in told and "broken: (d)" in told
    assert main(["--states", "500", "--members", "4"]) == 0
    assert "not all in bounds" in capsys.readouterr().out


class Ramble(RuleBasedStateMachine):
    """One long run: far deeper, and with more faults, than all runs can be walked."""

    space = StateSpace(CodeUnderTest(), Bounds(members=4, epochs=8, faults=12, changes=2, yields=2))

    def __init__(self) -> None:
        super().__init__()
        self.state = self.space.first()

    @rule(choices=st.lists(st.integers(0, 1 << 16), min_size=8, max_size=8))
    def go_on(self, choices: list[int]) -> None:
        for choice in choices:
            ways = [after for _, after in self.space.successors(self.state)]
            if self.state.fresh and choice % 8:
                ways = ways[:1]  # mostly messages arrive, else nothing gets anywhere
            if ways:
                self.state = ways[choice % len(ways)]
                self.space.check(self.state)


# no shrinking: the model_checker finds the shortest trace, this one only asks whether there is one
RAMBLES = settings(
    max_examples=25,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    database=None,
    phases=[Phase.generate],
    suppress_health_check=[*HealthCheck],
)


def test_long_runs_at_random_hold():
    run_state_machine_as_test(Ramble, settings=RAMBLES)


def test_long_runs_at_random_find_a_mutant():
    class Mutated(Ramble):
        space = StateSpace(MUTANTS["alone"].code, Ramble.space.bounds)

    # what hypothesis draws depends on the modules that are loaded beside; it ends at the first that
    # is found
    with pytest.raises(InvariantError):
        run_state_machine_as_test(Mutated, settings=settings(RAMBLES, max_examples=500))
