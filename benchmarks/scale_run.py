"""Measures what the system costs at a size, with real processes on loopback sockets.

Real registries, stores and proxies run beside hollow limiters and servers (`scale_hollow`). Each
size is measured at rest, with counter calls, and with changes of the configuration; then follow
drains, the loss of the primary store, the loss of the counting registry, and a cold start of the
whole core (`scale_measure`). One number of the size is swept at a time. The run first prints what
it needs and refuses a size beyond a limit.

    # two sweeps
    python -m benchmarks.scale_run --sweep limiters=30,100,300 --sweep servers=60,300 --out a.json
    # only the need of a size
    python -m benchmarks.scale_run --sweep limiters=3000 --need
    # slopes and plots of earlier runs
    python -m benchmarks.scale_run --read a.json b.json --plots docs
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import platform
import signal
import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import psutil
from rich.console import Console
from rich.progress import Progress, SpinnerColumn, TextColumn, TimeElapsedColumn
from rich.table import Table

from benchmarks.scale_cluster import Limits, Size, SizeLimitError, need
from benchmarks.scale_fit import plots, slopes
from benchmarks.scale_measure import Figures, measure

SWEPT = ("limiters", "servers", "routes", "tenants", "changes", "counts", "use", "cores")


def results_table(results: list[Figures], swept: str) -> Table:
    """Returns the measurements of a sweep, with a column for each size."""
    table = Table(title=f"by {swept}", title_justify="left")
    table.add_column("")
    for one in results:
        table.add_column(f"{one['size'][swept]:g}", justify="right")

    def row(name: str, get: Callable[[Figures], Any]) -> None:
        cells = []
        for one in results:
            try:
                cells.append(str(get(one)))
            except (KeyError, TypeError):
                cells.append("-")
        if set(cells) != {"-"}:
            table.add_row(name, *cells)

    def cpu(one: Figures, window: str, role: str) -> str:
        at = one[window][role]
        return f"{at['user_ms']:.1f}+{at['kernel_ms']:.1f}"

    for window in ("rest", "counting", "changing"):
        for role in ("proxy", "registry", "counter", "store", "primary", "hollow", "keeper"):
            row(f"{window}: {role}, ms/s user+kernel", lambda one, w=window, r=role: cpu(one, w, r))
        for role in ("registry", "counter"):
            row(
                f"{window}: {role}, messages/s in",
                lambda one, w=window, r=role: round(one[w][r]["taken"]),
            )
            row(
                f"{window}: {role}, kB/s in, out",
                lambda one, w=window, r=role: (
                    f"{one[w][r]['kb_in']:.1f}, {one[w][r]['kb_out']:.1f}"
                ),
            )
        row(
            f"{window}: limiter, kB/s",
            lambda one, w=window: round(sum(one[w]["limiter"][k] for k in ("kb_in", "kb_out")), 3),
        )
        row(
            f"{window}: limiter, failed calls",
            lambda one, w=window: sum(one[w]["limiter"]["failed"].values()),
        )
    row(
        "rest: heartbeats/s, connections opened for them",
        lambda one: (one["rest"]["beats"], one["rest"]["opened"]),
    )
    for role in ("proxy", "registry", "store"):
        row(
            f"{role}, MB resident",
            lambda one, r=role: round(
                one["counting" if "counting" in one else "rest"][r]["resident_mb"]
            ),
        )

    def spread(at: Figures) -> str:
        times = f"{at['median']:.0f} {at['p99']:.0f} {at['worst']:.0f}"
        return f"{times} ({at['n']}/{at.get('of', at['n'])})"

    def requests(one: Figures) -> str:
        return "; ".join(
            f"{r['rate']:g}: {r['through']['median'] - r['straight']['median']:.1f} "
            f"{r['through']['p99'] - r['straight']['p99']:.1f}; "
            f"{r['user_ms']:.2f}+{r['kernel_ms']:.2f}"
            for r in one["requests"]
        )

    row("count, ms: median 99th worst", lambda one: spread(one["counting"]["times"]))
    row("change acknowledged, ms", lambda one: spread(one["change"]["acknowledged"]))
    row("change in force, ms", lambda one: spread(one["change"]["in force"]))
    row("drain acknowledged, ms", lambda one: spread(one["drain"]["acknowledged"]))
    row("drain known, ms", lambda one: spread(one["drain"]["known"]))
    row("limiters start, ms", lambda one: spread(one["limiters start"]))
    row("primary lost: until acknowledged, s", lambda one: one["primary lost"]["s"])
    row("counter lost: until a total, s", lambda one: one["counter lost"]["s"])
    row("cold start of the core: acknowledged, s", lambda one: one["cold start"]["acknowledged_s"])
    row("cold start: limiters, ms", lambda one: spread(one["cold start"]["limiters"]))
    row("a request, ms: rate: through - straight, median 99th; work", requests)
    row("memory of all, MB", lambda one: round(one["memory_mb"]))
    row("failed", lambda one: one["failed"])
    return table


def parse_sweep(text: str) -> tuple[str, list[float]]:
    """Parses `limiters=30,100` into a name and numbers."""
    name, _, values = text.partition("=")
    if name not in SWEPT:
        raise argparse.ArgumentTypeError(f"{name!r} is not one of {', '.join(SWEPT)}")
    try:
        numbers = [float(value) for value in values.split(",")]
    except ValueError:
        raise argparse.ArgumentTypeError(f"{values!r} is not a list of numbers") from None
    return name, numbers


def with_value(size: Size, name: str, value: float) -> Size:
    """Returns the size with another value; only some numbers of a size may be fractional."""
    return replace(size, **{name: value if name in ("changes", "counts", "use") else int(value)})


def stopped() -> None:
    raise KeyboardInterrupt


def read(paths: list[Path]) -> Figures:
    """Returns the results of earlier runs, joined by the number that was swept."""
    runs = [json.loads(path.read_text()) for path in paths]
    joined: Figures = {"machine": runs[0]["machine"], "sweeps": {}}
    for one in runs:
        for name, points in one["sweeps"].items():
            joined["sweeps"].setdefault(name, []).extend(points)
    for name, points in joined["sweeps"].items():
        points.sort(key=lambda one: one["size"][name])
    return joined


def print_results(results: Figures, console: Console) -> None:
    for name, points in results["sweeps"].items():
        console.print(results_table([one for one in points if one], name))
    lines = Table(
        "what", "by", "a unit", "at none", "fit off by, %", "last step / first", title="slopes"
    )
    for slope in slopes(results["sweeps"]):
        lines.add_row(
            slope.name,
            slope.by,
            f"{slope.slope:.4g}",
            f"{slope.start:.4g}",
            f"{100 * slope.off:.0f}",
            f"{slope.bend:.2f}",
        )
    console.print(lines)


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter
    )
    parser.add_argument(
        "--sweep",
        type=parse_sweep,
        action="append",
        help="a number of the size and its values: limiters=30,100",
    )
    parser.add_argument(
        "--base", type=parse_sweep, action="append", help="a number that isn't swept: servers=60"
    )
    parser.add_argument("--cores", type=int, default=3)
    parser.add_argument("--proxies", type=int, default=2, help="number of real proxies")
    parser.add_argument("--seconds", type=float, default=4.0, help="duration of each window")
    parser.add_argument(
        "--memory", type=float, help="limit in MB; default: half of the machine's memory"
    )
    parser.add_argument(
        "--requests", type=float, nargs="+", help="rates per second through a real proxy"
    )
    parser.add_argument(
        "--no-events", action="store_true", help="only the windows at rest and with counter calls"
    )
    parser.add_argument(
        "--profile",
        choices=("registry", "store", "proxy"),
        help="role whose first process is profiled",
    )
    parser.add_argument("--need", action="store_true", help="only print what the run would need")
    parser.add_argument("--out", type=Path, help="file for all results, as JSON")
    parser.add_argument(
        "--read", type=Path, nargs="+", help="files of earlier runs to print instead of a run"
    )
    parser.add_argument("--plots", type=Path, help="folder for the plots")
    args = parser.parse_args(arguments)
    console = Console(width=max(120, Console().width))
    try:
        if args.read:
            results = read(args.read)
        else:
            results = sweep(args, console)
            if results is None:
                return 0
    except SizeLimitError as error:
        console.print(f"refused: {error}", style="bold", markup=False)
        return 2
    except KeyboardInterrupt:
        console.print("stopped: all that was started has ended")
        return 130
    print_results(results, console)
    if args.plots:
        for path in plots(results["sweeps"], args.plots):
            console.print(f"wrote {path}")
    return 1 if any("failed" in one for pts in results["sweeps"].values() for one in pts) else 0


def sweep(args: argparse.Namespace, console: Console) -> Figures | None:
    """Measures all sizes of the sweeps; returns None with `--need`.

    Raises:
        SizeLimitError: A size is beyond a limit.
    """
    base = Size(cores=args.cores, proxies=args.proxies)
    for name, values in args.base or ():
        base = with_value(base, name, values[0])
    sizes = [
        (name, with_value(base, name, v))
        for name, values in args.sweep or [("limiters", [30.0])]
        for v in values
    ]
    limits = Limits.of_machine(args.memory)
    needs = Table(
        "size",
        "processes",
        "memory, MB",
        "descriptors of one",
        title="needed",
        title_justify="left",
    )
    for name, size in sizes:
        one = need(size)
        needs.add_row(
            f"{name} {getattr(size, name):g}",
            *map(str, (one.processes, round(one.memory_mb), one.descriptors)),
        )
    console.print(needs)
    console.print(
        f"limits: {limits.processes} processes, {limits.memory_mb:.0f} MB, {limits.descriptors} "
        "descriptors"
    )
    for _, size in sizes:
        limits.check(size)
    if args.need:
        return None
    machine = {
        "python": platform.python_version(),
        "processors": os.cpu_count(),
        "load_before": os.getloadavg(),
        "memory_mb": round(psutil.virtual_memory().total / 1e6),
    }
    results: Figures = {"machine": machine, "sweeps": {}}
    columns = SpinnerColumn(), TextColumn("{task.description}"), TimeElapsedColumn()
    with Progress(*columns, console=console, disable=not console.is_terminal) as progress:
        for n, (name, size) in enumerate(sizes, 1):
            title = f"{n}/{len(sizes)} {name} {getattr(size, name):g}"
            task = progress.add_task(title)

            def say(text: str, title: str = title, task: Any = task) -> None:
                progress.update(task, description=f"{title}: {text}")

            measurement = measure(
                size,
                limits,
                args.seconds,
                say,
                not args.no_events,
                args.profile or "",
                rates=tuple(args.requests or ()),
            )
            found = asyncio.run(run_until_signal(measurement))
            found["load"] = os.getloadavg()
            results["sweeps"].setdefault(name, []).append(found)
            progress.update(
                task, description=f"{title}: {found.get('failed', 'done')}", completed=1, total=1
            )
            if not console.is_terminal:
                console.print(
                    f"{title}: {found.get('failed', 'done')}, {found['took_s']} s", markup=False
                )
            if args.out:  # after each size, so that a run that is stopped keeps its results
                args.out.write_text(json.dumps(results, indent=1) + "\n")
    if args.profile:
        for row in results["sweeps"][sizes[-1][0]][-1].get("profile", []):
            console.print(f"{row[2]:8.3f} {row[3]:8.3f} {row[1]:9} {row[0]}", markup=False)
    return results


async def run_until_signal(measurement: Any) -> Figures:
    """Runs a measurement, which SIGINT and SIGTERM cancel; it ends its processes then.

    Raises:
        KeyboardInterrupt: It was cancelled.
    """
    loop, task = asyncio.get_running_loop(), asyncio.ensure_future(measurement)
    for sig in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(sig, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        raise KeyboardInterrupt from None


if __name__ == "__main__":
    sys.exit(main())
