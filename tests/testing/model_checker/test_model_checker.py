"""Model checking of the store: exhaustive search within small bounds, and long random runs."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from loomstand.testing.model_checker.__main__ import main
from loomstand.testing.model_checker.member import CodeUnderTest
from loomstand.testing.model_checker.mutants import (
    LEARNER_BOUNDS,
    MUTANTS,
    READ_BOUNDS,
    RESCUE_BOUNDS,
    SHUTDOWN_BOUNDS,
    TWO_SHUTDOWNS_BOUNDS,
    narrow_bounds,
)
from loomstand.testing.model_checker.search import search
from loomstand.testing.model_checker.state_space import Bounds, InvariantError, StateSpace


def test_invariants_hold_within_small_bounds():
    found = search(StateSpace(CodeUnderTest(), narrow_bounds("restart", candidates="c", wipes=1)))
    assert found.is_complete and not found.violation
    assert found.states > 3000 and found.depth > 25


def test_invariants_hold_after_a_rescue_and_the_return_of_lost_disks():
    found = search(StateSpace(CodeUnderTest(), replace(RESCUE_BOUNDS, versions=0)))
    assert found.is_complete and not found.violation
    assert found.states > 10_000 and found.depth > 30


@pytest.mark.parametrize(
    "bounds, min_states",
    [
        (READ_BOUNDS, 2000),
        (SHUTDOWN_BOUNDS, 15_000),
        (TWO_SHUTDOWNS_BOUNDS, 25_000),
        (LEARNER_BOUNDS, 10_000),
    ],
    ids=[
        "read before a partition",
        "shutdown and lost disk",
        "two shutdowns",
        "learner copies",
    ],
)
def test_invariants_hold_with_reads_shutdowns_and_learner_copies(bounds, min_states):
    found = search(StateSpace(CodeUnderTest(), bounds))
    assert found.is_complete and not found.violation
    assert found.states > min_states


@pytest.mark.parametrize("name", [n for n, m in MUTANTS.items() if m.is_fast])
def test_mutant_is_detected(name):
    mutant = MUTANTS[name]
    found = search(StateSpace(mutant.code, mutant.bounds), states=100_000)
    assert found.violation[1:2] in [*mutant.invariants], found
    assert found.trace[-1].endswith(found.violation)


def test_command_prints_the_shortest_trace(capsys):
    assert main(["--mutate", "any-disk"]) == 1
    printed = capsys.readouterr().out
    assert "a has lost its disk and starts" in printed and "broken: (d)" in printed
    assert main(["--states", "500", "--members", "4"]) == 0
    assert "not all in bounds" in capsys.readouterr().out


# The source of this class seeds its derandomized runs: its names and texts stay unchanged.
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
                ways = ways[:1]  # deliver most messages, otherwise no operation completes
            if ways:
                self.state = ways[choice % len(ways)]
                self.space.check(self.state)


# No shrinking: the model checker finds the shortest trace, random runs only detect violations.
RANDOM_RUNS = settings(
    max_examples=25,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    database=None,
    phases=[Phase.generate],
    suppress_health_check=[*HealthCheck],
)


def test_invariants_hold_in_long_random_runs():
    run_state_machine_as_test(Ramble, settings=RANDOM_RUNS)


def test_long_random_runs_detect_a_mutant():
    class Mutated(Ramble):
        space = StateSpace(MUTANTS["alone"].code, Ramble.space.bounds)

    # Hypothesis' draws depend on the other modules that are loaded, so the number of examples
    # leaves a margin; the run ends at the first violation
    with pytest.raises(InvariantError):
        run_state_machine_as_test(Mutated, settings=settings(RANDOM_RUNS, max_examples=500))
