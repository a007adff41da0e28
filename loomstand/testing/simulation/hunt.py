"""`python -m loomstand.testing.simulation.hunt`: many random days of a whole cluster; the worst
figures.
"""

from __future__ import annotations

import argparse
import json
import sys
import time
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from math import inf
from pathlib import Path

from loomstand.testing.simulation.bounds import Figure, History, evaluate
from loomstand.testing.simulation.scenario import Day, Setup

NARRATIVE_SECONDS = 12.0  # events are printed from this long before to after the worst moment


def run_day(arguments: tuple[int, Setup]) -> tuple[int, list[Figure]]:
    """Returns the seed and the figures of a day."""
    seed, setup = arguments
    history, bounds = Day(seed, setup).simulate()
    return seed, evaluate(history, bounds)


def worst_by_name(days: Iterable[tuple[int, list[Figure]]]) -> list[tuple[Figure, int, int]]:
    """Returns the worst figure of each name, the seed of its day, and the number of days over its
    bound.
    """
    worst: dict[str, tuple[Figure, int, int]] = {}
    for seed, figures in days:
        for figure in figures:
            previous = worst.get(figure.name)
            broken_days = int(figure.broken > 0) + (previous[2] if previous else 0)
            if previous is None or (bool(figure.broken), figure.value) > (
                bool(previous[0].broken),
                previous[0].value,
            ):
                worst[figure.name] = figure, seed, broken_days
            else:
                worst[figure.name] = *previous[:2], broken_days
    return [worst[name] for name in sorted(worst)]


def format_figure(figure: Figure) -> str:
    """Returns a figure as a line of the report."""
    allowed = "-" if figure.allowed == inf else f"{figure.allowed:.3g}"
    mark = f"  BROKEN ({figure.broken})" if figure.broken else ""
    return f"{figure.name:46s} {figure.value:9.3f} of {allowed:>5s}  {figure.who}{mark}"


def print_narrative(history: History, figures: list[Figure]) -> None:
    """Prints the figures, and the events around the worst moment of a broken figure, else of the
    quotas.
    """
    for figure in figures:
        print(f"at {figure.at:7.2f}  {format_figure(figure)}")
    chosen = max(figures, key=lambda f: (f.broken > 0, f.name.startswith("quota")))
    print(f"\naround {chosen.at:.2f} s: {chosen.name}, {chosen.who}")
    lines = [
        (s.begun, f"{s.description}: {', '.join(sorted(s.hosts))}, until {s.ended:.2f}", s.ended)
        for s in history.spans
    ]
    for before, change in zip([None, *history.changes], history.changes, strict=False):
        new = {
            t: q for t, q in change.quotas.items() if before is None or before.quotas.get(t) != q
        }
        quota_changes = "".join(
            f", {tenant} {rate:g}/s and {burst:g}" for tenant, (rate, burst) in new.items()
        )
        lines.append(
            (
                change.sent,
                f"r{change.version} sent, acknowledged at {change.acked:.2f}{quota_changes}",
                change.acked,
            )
        )
    lines += [
        (d.acked, f"drain of {d.server} acknowledged by {d.acked_by}", d.acked)
        for d in history.drains
    ]
    lines += [(a, f"no primary until {b:.2f}", b) for a, b in history.primary_gaps]
    for at, text, until in sorted(lines):
        if at < chosen.at + NARRATIVE_SECONDS and until > chosen.at - NARRATIVE_SECONDS:
            print(f"{at:8.2f}  {text}")


def plot(path: str, days: list[tuple[int, list[Figure]]]) -> None:
    """Plots the ratio of each day's figures to their bounds, to an image file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    shares: dict[str, list[float]] = {}
    for _, figures in days:
        for f in figures:
            if 0 < f.allowed < inf:
                shares.setdefault(f.name, []).append(f.value / f.allowed)
    names = sorted(shares)
    figure, axes = pyplot.subplots(figsize=(10, 0.5 * len(names) + 1.5))
    for n, name in enumerate(names):
        axes.plot(shares[name], [n] * len(shares[name]), "|", markersize=12)
    axes.set_yticks(range(len(names)), names)
    axes.axvline(1.0, color="red")
    axes.set_xlabel(f"worst of a day over its allowed, {len(days)} days")
    axes.set_xlim(left=-0.5)
    figure.tight_layout()
    figure.savefig(path)


def positive_integer(text: str) -> int:
    """Parses a positive integer argument."""
    if (number := int(text)) < 1:
        raise argparse.ArgumentTypeError(f"{text}: must be 1 or more")
    return number


def main(argv: list[str] | None = None) -> int:
    """Returns the exit status: 1 if a bound is broken, 2 if a file can't be written, else 0."""
    parser = argparse.ArgumentParser(
        prog="python -m loomstand.testing.simulation.hunt", description=__doc__
    )
    parser.add_argument("--days", type=positive_integer, default=20, help="number of days")
    parser.add_argument(
        "--seed",
        type=int,
        default=1,
        help="seed of the first day; each further day has the next seed",
    )
    parser.add_argument("--limiters", type=positive_integer, default=12)
    parser.add_argument(
        "--quotas", type=float, default=1.0, help="factor on the rates of tenants, for larger sites"
    )
    parser.add_argument(
        "--dense", action="store_true", help="overlapping faults that follow within seconds"
    )
    parser.add_argument(
        "--jobs", type=positive_integer, default=4, help="number of parallel processes"
    )
    parser.add_argument("--json", metavar="FILE", help="file for the figures of all days")
    parser.add_argument(
        "--plot", metavar="PNG", help="image file for the ratios of figures to their bounds"
    )
    parser.add_argument(
        "--day",
        type=int,
        metavar="SEED",
        help="simulate only the day with this seed, and print the events around its worst figure",
    )
    arguments = parser.parse_args(argv)
    for path in (arguments.json, arguments.plot):  # before all days are simulated
        if path and not Path(path).resolve().parent.is_dir():
            parser.error(f"{path}: its directory doesn't exist")
    setup = Setup(limiters=arguments.limiters, quotas=arguments.quotas, dense=arguments.dense)
    if arguments.day is not None:
        history, bounds = Day(arguments.day, setup).simulate()
        figures = evaluate(history, bounds)
        print_narrative(history, figures)
        return int(any(f.broken for f in figures))
    begun = time.monotonic()
    seeds = [(seed, setup) for seed in range(arguments.seed, arguments.seed + arguments.days)]
    with ProcessPoolExecutor(arguments.jobs) as pool:
        days = list(pool.map(run_day, seeds))
    worst = worst_by_name(days)
    print(f"{len(days)} days of {setup.length:g} s with {setup.limiters} limiters", end="")
    print(f", {time.monotonic() - begun:.0f} s to play")
    for figure, seed, broken_days in worst:
        print(
            f"{format_figure(figure)}  day {seed}"
            + (f", {broken_days} days" if broken_days else "")
        )
    try:
        if arguments.json:
            with open(arguments.json, "w") as file:
                json.dump(
                    [{"seed": s, "figures": [asdict(f) for f in fs]} for s, fs in days],
                    file,
                    indent=1,
                )
        if arguments.plot:
            plot(arguments.plot, days)
    except OSError as error:
        print(f"hunt: {error}", file=sys.stderr)
        return 2
    return int(any(figure.broken for figure, _, _ in worst))


if __name__ == "__main__":
    sys.exit(main())
