"""Report of an emulator run: a JSON file, a terminal table, PNG plots (drawn without a display).

`write(report, out)` writes `report.json` into `out`; `plot(out)` reads every `report.json` below
`out` (one run, or the points of a sweep with `sweep.json`) and draws:

- `goodput.png`: requests served in time and requests denied per second, by policy;
- `plans.png`: units admitted per second and the quota, by plan, for the scenario's policy;
- `load.png`: requests at the servers and the servers' capacity, per second;
- `sweep.png` (sweeps): G/oracle and each policy's G by the swept value.
"""

from __future__ import annotations

import json
import os
from pathlib import Path

import msgspec
from rich.console import Console
from rich.table import Table

from loomstand.admission.ticks import TICKS_PER_SECOND
from loomstand.testing.emulator.checker import RULE_NAMES


def write(report: dict, out: str | os.PathLike) -> Path:
    """Writes `report.json` into `out`, which is created if missing; returns its path."""
    folder = Path(out)
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / "report.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(report)))
    return path


def table(report: dict, console: Console | None = None) -> None:
    """Prints the figures and the rule violations of a run, one row per policy."""
    console = console or Console()
    t = Table(
        title=f"{report['scenario']}: {report['limiters']} limiters, {report['servers']} servers, "
        f"{report['seconds']:g} s, seed {report['seed']}"
    )
    for col in (
        "policy",
        "G",
        "taken",
        "passed",
        "denied",
        "aborted",
        "unanswered",
        "p50 ms",
        "p99 ms",
        "rules",
    ):
        t.add_column(col, justify="right" if col != "policy" else "left")
    for name, run in report["runs"].items():
        c, broken = run["counts"], {k: v for k, v in run["rules"].items() if v}
        t.add_row(
            name,
            f"{run['G']:.3f}",
            str(c["taken"]),
            str(c["passed"]),
            str(c["denied"]),
            str(c["aborted"]),
            str(c["unanswered"]),
            f"{run['latency_ms']['p50']:.1f}",
            f"{run['latency_ms']['p99']:.1f}",
            "held" if not broken else ", ".join(f"{k}: {v}" for k, v in broken.items()),
        )
    console.print(t)
    if report.get("G_over_oracle") is not None:
        console.print(f"G/oracle {report['G_over_oracle']:.3f}   digest {report['digest'][:16]}")
    main = report["runs"][report["policy"]]
    for b in main["breaks"]:
        console.print(
            f"[red]rule {b['rule']} ({RULE_NAMES[b['rule']]})[/red]: req {b['req']} at limiter "
            f"{b['limiter']}, {b['at'] / TICKS_PER_SECOND:.3f} s: {b['what']}"
        )


def sweep_table(key: str, reports: list[dict], console: Console | None = None) -> None:
    """Prints the figures of a sweep, one row per value."""
    console = console or Console()
    t = Table(title=f"sweep of {key}")
    policies = list(reports[0]["runs"])
    for col in (key, "G/oracle", *[f"G {p}" for p in policies], "rules held", "wall s"):
        t.add_column(col, justify="right")
    for r in reports:
        t.add_row(
            str(r["swept"]),
            "-" if r["G_over_oracle"] is None else f"{r['G_over_oracle']:.3f}",
            *[f"{r['runs'][p]['G']:.3f}" for p in policies],
            "yes" if r["held"] else "no",
            f"{sum(r['wall_s'].values()):.1f}",
        )
    console.print(t)


def plot(out: str | os.PathLike) -> list[Path]:
    """Draws the plots of the run or sweep in `out`; returns their paths."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    folder, paths = Path(out), []
    sweep_file = folder / "sweep.json"
    if sweep_file.exists():
        data = json.loads(sweep_file.read_text())
        reports = [json.loads((folder / d / "report.json").read_text()) for d in data["points"]]
        xs = [r["swept"] for r in reports]
        fig, ax = plt.subplots(figsize=(7, 4))
        ax.plot(xs, [r["G_over_oracle"] or 0 for r in reports], "o-", label="G/oracle")
        for p in reports[0]["runs"]:
            ax.plot(xs, [r["runs"][p]["G"] for r in reports], ".--", label=f"G {p}")
        if all(isinstance(x, (int, float)) for x in xs) and min(xs) > 0 and max(xs) / min(xs) >= 20:
            ax.set_xscale("log")
        ax.set_xlabel(data["key"])
        ax.set_ylim(0, 1.05)
        ax.set_title(f"{reports[0]['scenario']}: sweep of {data['key']}")
        ax.legend()
        ax.grid(alpha=0.3)
        paths.append(save(fig, folder / "sweep.png", plt))
        for d in data["points"]:
            paths += plot(folder / d)
        return paths
    report = json.loads((folder / "report.json").read_text())
    series = report["series"]
    fig, ax = plt.subplots(figsize=(8, 4))
    for name, s in series.items():
        secs = list(range(len(s["seconds"])))
        ax.plot(secs, [row[0] for row in s["seconds"]], label=f"{name} served in time")
        ax.plot(secs, [row[1] for row in s["seconds"]], "--", label=f"{name} denied")
    paths.append(
        finish(
            fig,
            ax,
            "reqs a second",
            f"{report['scenario']}: goodput and denials",
            folder / "goodput.png",
        )
    )

    main = series[report["policy"]]
    fig, ax = plt.subplots(figsize=(8, 4))
    for n, p in enumerate(report["runs"][report["policy"]]["plans"]):
        ax.plot(
            [row[n] if n < len(row) else 0 for row in main["admitted"]],
            label=f"{p['plan']} admitted",
        )
        ax.axhline(
            p["quota_per_s"],
            linestyle=":",
            color=ax.lines[-1].get_color(),
            label=f"{p['plan']} quota",
        )
    title = f"{report['scenario']}: admitted against quota ({report['policy']})"
    paths.append(finish(fig, ax, "units a second", title, folder / "plans.png"))

    fig, ax = plt.subplots(figsize=(8, 4))
    for name, s in series.items():
        ax.plot([h for h, _ in s["load"]], label=f"{name} in hand")
    ax.plot([c for _, c in main["load"]], "k:", label="capacity of servers up")
    paths.append(
        finish(
            fig,
            ax,
            "reqs",
            f"{report['scenario']}: server load against capacity",
            folder / "load.png",
        )
    )
    return paths


def finish(fig, ax, ylabel: str, title: str, path: Path) -> Path:
    """Adds labels, a legend and a grid to a plot over time, and saves it."""
    from matplotlib import pyplot as plt

    ax.set_xlabel("s")
    ax.set_ylabel(ylabel)
    ax.set_title(title)
    ax.legend(fontsize=7)
    ax.grid(alpha=0.3)
    return save(fig, path, plt)


def save(fig, path: Path, plt) -> Path:
    """Saves a figure as PNG, closes it and returns its path."""
    fig.tight_layout()
    fig.savefig(path, dpi=100)
    plt.close(fig)
    return path
