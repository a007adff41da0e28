"""`python -m loomstand.testing.model_checker`: searches for a violated invariant."""

from __future__ import annotations

import argparse
import sys

from loomstand.testing.model_checker.member import CodeUnderTest
from loomstand.testing.model_checker.mutants import MUTANTS
from loomstand.testing.model_checker.search import search
from loomstand.testing.model_checker.state_space import FAULT_KINDS, Bounds, StateSpace


def main(arguments: list[str] | None = None) -> int:
    """Returns 1 if an invariant is violated, else 0; a mutant is searched within its own bounds."""
    parser = argparse.ArgumentParser(
        prog="python -m loomstand.testing.model_checker", description=__doc__
    )
    # a search within the default bounds completes in about five minutes
    parser.add_argument(
        "--members", type=int, choices=(3, 4), default=3, help="with 4, a voter may be replaced"
    )
    parser.add_argument(
        "--states",
        type=int,
        default=10_000_000,
        help="number of distinct states after which the search ends",
    )
    parser.add_argument(
        "--seconds", type=float, default=400.0, help="time after which the search ends"
    )
    parser.add_argument("--faults", type=int, default=2, help="faults in one run")
    parser.add_argument(
        "--kinds",
        default=",".join(sorted(FAULT_KINDS)),
        help="kinds of faults, separated by commas",
    )
    parser.add_argument("--epochs", type=int, help="epochs; default 2, with four members 3")
    parser.add_argument("--versions", type=int, default=1, help="configuration versions")
    parser.add_argument(
        "--wipes", type=int, choices=(0, 1, 2), default=1, help="disks lost; each counts as a fault"
    )
    parser.add_argument("--yields", type=int, default=0, help="leadership transfers by primaries")
    parser.add_argument(
        "--rescues", type=int, default=0, help="rescues by operators; lost disks return afterwards"
    )
    parser.add_argument(
        "--reads", type=int, default=0, help="reads of a primary whose answer is passed on later"
    )
    parser.add_argument(
        "--leavers", default="", help="members that may shut down permanently, for example ab"
    )
    parser.add_argument("--takers", default="abcd", help="members that may start an election")
    parser.add_argument(
        "--changes", type=int, help="changes of the voter set; default 0, with four members 1"
    )
    parser.add_argument("--learners", action="store_true", help="learners write copies")
    parser.add_argument("--founding", action="store_true", help="starts with empty disks")
    parser.add_argument(
        "--halves", action="store_true", help="time advances by half a lease instead of a whole one"
    )
    parser.add_argument("--mutate", choices=sorted(MUTANTS), help="mutant to search")
    options = parser.parse_args(arguments)
    code = CodeUnderTest()
    bounds = Bounds(
        members=options.members,
        founding=options.founding,
        epochs=options.epochs or options.members - 1,
        versions=options.versions,
        faults=options.faults,
        fault_kinds=frozenset(options.kinds.split(",")),
        wipes=options.wipes,
        half_lease_ticks=options.halves,
        changes=int(options.members == 4) if options.changes is None else options.changes,
        candidates=options.takers,
        reads=options.reads,
        leavers=options.leavers,
        learners=options.learners,
        yields=options.yields,
        rescues=options.rescues,
    )
    if options.mutate:
        code, bounds = MUTANTS[options.mutate].code, MUTANTS[options.mutate].bounds
    result = search(StateSpace(code, bounds), options.states, options.seconds)
    states_per_second = result.states / max(result.seconds, 1e-9)
    extent = "all" if result.is_complete else "not all"
    print(f"{result.states} states, {result.transitions} transitions, depth {result.depth}", end="")
    print(f", {result.seconds:.1f} s, {states_per_second:.0f} states/s, {extent} in bounds")
    for i, line in enumerate(result.trace):
        print(f"{i + 1:3d}  {line}")
    if result.violation:
        print(f"broken: {result.violation}")
    return int(bool(result.violation))


if __name__ == "__main__":
    sys.exit(main())
