"""Breadth-first search of the state space, so that a violation's trace is the shortest."""

from __future__ import annotations

import time
from array import array
from dataclasses import dataclass

from loomstand.testing.model_checker.state_space import InvariantError, StateSpace, SystemState


@dataclass(slots=True)
class SearchResult:
    """What a search has seen.

    `is_complete`: it ended for want of new states, so all within the bounds are known.
    """

    states: int = 0
    transitions: int = 0
    depth: int = 0
    seconds: float = 0.0
    is_complete: bool = False
    broken: str = ""
    trace: tuple[str, ...] = ()


def search(space: StateSpace, states: int = 1_000_000, seconds: float = 300.0) -> SearchResult:
    """Searches until enough `states` or `seconds`, nothing is left, or an invariant is broken.

    Of a state only its 64-bit hash is kept: among 10 million the odds that any two are taken for
    one are 3 in a million, and what that hides is one state.
    """
    begun, out = time.perf_counter(), SearchResult(states=1)
    first = space.first()
    seen, parents = {hash(first)}, array("q", [-1])
    hashes = array("q", [hash(first)])
    level: list[tuple[int, SystemState]] = [(0, first)]
    while level:
        out.depth += 1
        coming: list[tuple[int, SystemState]] = []
        for index, state in level:
            try:
                for _, after in space.successors(state):
                    out.transitions += 1
                    mark = hash(after)
                    if mark not in seen:
                        seen.add(mark)
                        space.check(after)
                        parents.append(index)
                        hashes.append(mark)
                        coming.append((len(parents) - 1, after))
            except InvariantError as broken:
                out.broken = str(broken)
                out.trace = _trace(space, parents, hashes, index, state)
                coming = []
                break
            if len(parents) >= states or time.perf_counter() - begun > seconds:
                coming = []
                break
        else:
            level = coming
            continue
        break
    else:
        out.is_complete = True
    out.states, out.seconds = len(parents), time.perf_counter() - begun
    return out


def _trace(
    space: StateSpace, parents: array[int], hashes: array[int], index: int, last: SystemState
) -> tuple[str, ...]:
    """The steps from the first state to a broken one, found again along the hashes."""
    path: list[int] = []
    while index > 0:
        path.append(hashes[index])
        index = parents[index]
    state, words = space.first(), list[str]()
    for mark in reversed(path):
        step, state = next((s, a) for s, a in space.successors(state) if hash(a) == mark)
        words.append(space.words(step))
    return (*words, *_breaking(space, last))


def _breaking(space: StateSpace, state: SystemState) -> list[str]:
    """The step that breaks an invariant: one that leads to a bad state, or raises by itself."""
    steps = space.successors(state)
    while True:
        try:
            step, after = next(steps)
        except InvariantError as broken:
            return [f"the next step: {broken}"]
        try:
            space.check(after)
        except InvariantError as broken:
            return [space.words(step), str(broken)]
