"""`python -m loomstand.testing.model_checker`: searches for a broken invariant."""

from __future__ import annotations

import argparse
import sys

from loomstand.testing.model_checker.member import CodeUnderTest
from loomstand.testing.model_checker.mutants import MUTANTS
from loomstand.testing.model_checker.search import search
from loomstand.testing.model_checker.state_space import KINDS, Bounds, StateSpace


def main(words: list[str] | None = None) -> int:
    """Returns 1 if an invariant is broken, else 0; a mutant is searched within its own bounds."""
    parser = argparse.ArgumentParser(
        prog="python -m loomstand.testing.model_checker", description=__doc__
    )
    # these bounds are searched to the end in about five minutes
    parser.add_argument(
        "--members", type=int, choices=(3, 4), default=3, help="4: a voter may be replaced"
    )
    parser.add_argument(
        "--states", type=int, default=10_000_000, help="distinct states after which it ends"
    )
    parser.add_argument("--seconds", type=float, default=400.0, help="after which it ends")
    parser.add_argument("--faults", type=int, default=2, help="in one run")
    parser.add_argument("--kinds", default=",".join(sorted(KINDS)), help="of faults")
    parser.add_argument("--epochs", type=int, help="2, or with four members 3")
    parser.add_argument("--versions", type=int, default=1)
    parser.add_argument(
        "--wipes", type=int, choices=(0, 1, 2), default=1, help="disks lost, among the faults"
    )
    parser.add_argument("--yields", type=int, default=0, help="primaries that leave")
    parser.add_argument(
        "--rescues", type=int, default=0, help="by operators; old disks come back then"
    )
    parser.add_argument(
        "--reads", type=int, default=0, help="answers that are passed on some time later"
    )
    parser.add_argument("--leavers", default="", help="who may be told to stop, as ab, for good")
    parser.add_argument(
        "--takers", default="abcd", help="members that may stand or change their view"
    )
    parser.add_argument("--changes", type=int, help="of the voters' set: 0, or with four members 1")
    parser.add_argument("--learners", action="store_true", help="third copies are written")
    parser.add_argument("--founding", action="store_true", help="from empty disks on")
    parser.add_argument(
        "--halves", action="store_true", help="time goes by half a lease, not a whole one"
    )
    parser.add_argument("--mutate", choices=sorted(MUTANTS), help="a step left out, to be found")
    asked = parser.parse_args(words)
    code = CodeUnderTest()
    bounds = Bounds(
        members=asked.members,
        founding=asked.founding,
        epochs=asked.epochs or asked.members - 1,
        versions=asked.versions,
        faults=asked.faults,
        kinds=frozenset(asked.kinds.split(",")),
        wipes=asked.wipes,
        halves=asked.halves,
        changes=int(asked.members == 4) if asked.changes is None else asked.changes,
        takers=asked.takers,
        reads=asked.reads,
        leavers=asked.leavers,
        learners=asked.learners,
        yields=asked.yields,
        rescues=asked.rescues,
    )
    if asked.mutate:
        code, bounds = MUTANTS[asked.mutate].code, MUTANTS[asked.mutate].bounds
    found = search(StateSpace(code, bounds), asked.states, asked.seconds)
    states_per_second = found.states / max(found.seconds, 1e-9)
    extent = "all" if found.is_complete else "not all"
    print(f"{found.states} states, {found.transitions} transitions, depth {found.depth}", end="")
    print(f", {found.seconds:.1f} s, {states_per_second:.0f} states/s, {extent} in bounds")
    for i, line in enumerate(found.trace):
        print(f"{i + 1:3d}  {line}")
    if found.broken:
        print(f"broken: {found.broken}")
    return int(bool(found.broken))


if __name__ == "__main__":
    sys.exit(main())
