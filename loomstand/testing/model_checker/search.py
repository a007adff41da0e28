"""Breadth-first search of the state space, so that a violation's trace is the shortest."""

from __future__ import annotations

import time
from array import array
from dataclasses import dataclass

from loomstand.testing.model_checker.state_space import InvariantError, StateSpace, SystemState


@dataclass(slots=True)
class SearchResult:
    """The result of a search.

    `is_complete`: the search visited every state within the bounds.
    """

    states: int = 0
    transitions: int = 0
    depth: int = 0
    seconds: float = 0.0
    is_complete: bool = False
    violation: str = ""  # the violated invariant
    trace: tuple[str, ...] = ()  # the steps that lead to the violation


def search(space: StateSpace, states: int = 1_000_000, seconds: float = 300.0) -> SearchResult:
    """Searches until a limit is reached, no new state is left, or an invariant is violated.

    Only the 64-bit hash of a state is kept. Among 10 million states the probability that any two
    hashes collide is 3 in a million, and a collision hides one state.

    Args:
        space: The states and transitions to search.
        states: Number of distinct states after which the search ends.
        seconds: Time after which the search ends.
    """
    started, result = time.perf_counter(), SearchResult(states=1)
    first = space.first()
    seen, parents = {hash(first)}, array("q", [-1])
    hashes = array("q", [hash(first)])
    level: list[tuple[int, SystemState]] = [(0, first)]
    while level:
        result.depth += 1
        next_level: list[tuple[int, SystemState]] = []
        for index, state in level:
            try:
                for _, after in space.successors(state):
                    result.transitions += 1
                    state_hash = hash(after)
                    if state_hash not in seen:
                        seen.add(state_hash)
                        space.check(after)
                        parents.append(index)
                        hashes.append(state_hash)
                        next_level.append((len(parents) - 1, after))
            except InvariantError as violation:
                result.violation = str(violation)
                result.trace = _trace(space, parents, hashes, index, state)
                next_level = []
                break
            if len(parents) >= states or time.perf_counter() - started > seconds:
                next_level = []
                break
        else:
            level = next_level
            continue
        break
    else:
        result.is_complete = True
    result.states, result.seconds = len(parents), time.perf_counter() - started
    return result


def _trace(
    space: StateSpace, parents: array[int], hashes: array[int], index: int, last: SystemState
) -> tuple[str, ...]:
    """The steps from the first state to the violation, recomputed along the path of hashes."""
    path: list[int] = []
    while index > 0:
        path.append(hashes[index])
        index = parents[index]
    state, lines = space.first(), list[str]()
    for state_hash in reversed(path):
        step, state = next((s, a) for s, a in space.successors(state) if hash(a) == state_hash)
        lines.append(space.describe(step))
    return (*lines, *_violating_step(space, last))


def _violating_step(space: StateSpace, state: SystemState) -> list[str]:
    """The step that violates an invariant: it leads to a state that fails the check, or raises."""
    steps = space.successors(state)
    while True:
        try:
            step, after = next(steps)
        except InvariantError as violation:
            return [f"the next step: {violation}"]
        try:
            space.check(after)
        except InvariantError as violation:
            return [space.describe(step), str(violation)]
