"""`python -m loomstand.testing.simulation.hunt`: many drawn days of a whole cluster; the worst
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

NARRATIVE_SECONDS = 12.0  # s before and after the worst moment that a narrative tells


def run_day(asked: tuple[int, Setup]) -> tuple[int, list[Figure]]:
    """A day's figures."""
    seed, setup = asked
    history, bounds = Day(seed, setup).simulate()
    return seed, evaluate(history, bounds)


def worst_by_name(days: Iterable[tuple[int, list[Figure]]]) -> list[tuple[Figure, int, int]]:
    """Of each name the worst figure, its day's seed, and how many days broke it."""
    worst: dict[str, tuple[Figure, int, int]] = {}
    for seed, figures in days:
        for figure in figures:
            had = worst.get(figure.name)
            broke = int(figure.broken > 0) + (had[2] if had else 0)
            if had is None or (bool(figure.broken), figure.value) > (
                bool(had[0].broken),
                had[0].value,
            ):
                worst[figure.name] = figure, seed, broke
            else:
                worst[figure.name] = *had[:2], broke
    return [worst[name] for name in sorted(worst)]


def format_figure(figure: Figure) -> str:
    allowed = "-" if figure.allowed == inf else f"{figure.allowed:.3g}"
    mark = f"  BROKEN ({figure.broken})" if figure.broken else ""
    return f"{figure.name:46s} {figure.value:9.3f} of {allowed:>5s}  {figure.who}{mark}"


def print_narrative(history: History, figures: list[Figure]) -> None:
    """What went on around the worst moment: that of a broken figure, else that of the quotas."""
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
        what = "".join(
            f", {tenant} {rate:g}/s and {burst:g}" for tenant, (rate, burst) in new.items()
        )
        lines.append(
            (
                change.sent,
                f"r{change.version} sent, acknowledged at {change.acked:.2f}{what}",
                change.acked,
            )
        )
    lines += [
        (d.acked, f"drain of {d.server} acknowledged by {d.by}", d.acked) for d in history.drains
    ]
    lines += [(a, f"no primary until {b:.2f}", b) for a, b in history.primary_gaps]
    for at, line, until in sorted(lines):
        if at < chosen.at + NARRATIVE_SECONDS and until > chosen.at - NARRATIVE_SECONDS:
            print(f"{at:8.2f}  {line}")


def plot(path: str, days: list[tuple[int, list[Figure]]]) -> None:
    """Each figure's share of its allowed by day, as an image."""
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


def whole(text: str) -> int:
    if (number := int(text)) < 1:
        raise argparse.ArgumentTypeError(f"{text}: must be 1 or more")
    return number


def main(words: list[str] | None = None) -> int:
    """1 if a judged bound is broken, else 0."""
    parser = argparse.ArgumentParser(
        prog="python -m loomstand.testing.simulation.hunt", description=__doc__
    )
    parser.add_argument("--days", type=whole, default=20, help="how many to play")
    parser.add_argument(
        "--seed", type=int, default=1, help="of the first day; the others follow by one"
    )
    parser.add_argument("--limiters", type=whole, default=12)
    parser.add_argument(
        "--quotas", type=float, default=1.0, help="times the usual ones, as sites grow"
    )
    parser.add_argument(
        "--dense", action="store_true", help="several troubles at once, within seconds"
    )
    parser.add_argument("--jobs", type=whole, default=4, help="processes side by side")
    parser.add_argument("--json", metavar="FILE", help="all days' figures")
    parser.add_argument("--plot", metavar="PNG", help="each day's worst over its allowed")
    parser.add_argument("--day", type=int, metavar="SEED", help="this one alone, with what went on")
    asked = parser.parse_args(words)
    for path in (asked.json, asked.plot):  # rather than after all days were played
        if path and not Path(path).resolve().parent.is_dir():
            parser.error(f"{path}: its folder isn't there")
    setup = Setup(limiters=asked.limiters, quotas=asked.quotas, dense=asked.dense)
    if asked.day is not None:
        history, bounds = Day(asked.day, setup).simulate()
        figures = evaluate(history, bounds)
        print_narrative(history, figures)
        return int(any(f.broken for f in figures))
    begun = time.monotonic()
    seeds = [(seed, setup) for seed in range(asked.seed, asked.seed + asked.days)]
    with ProcessPoolExecutor(asked.jobs) as pool:
        days = list(pool.map(run_day, seeds))
    found = worst_by_name(days)
    print(f"{len(days)} days of {setup.length:g} s with {setup.limiters} limiters", end="")
    print(f", {time.monotonic() - begun:.0f} s to play")
    for figure, seed, broke in found:
        print(f"{format_figure(figure)}  day {seed}" + (f", {broke} days" if broke else ""))
    try:
        if asked.json:
            with open(asked.json, "w") as file:
                json.dump(
                    [{"seed": s, "figures": [asdict(f) for f in fs]} for s, fs in days],
                    file,
                    indent=1,
                )
        if asked.plot:
            plot(asked.plot, days)
    except OSError as why:
        print(f"hunt: {why}", file=sys.stderr)
        return 2
    return int(any(figure.broken for figure, _, _ in found))


if __name__ == "__main__":
    sys.exit(main())
