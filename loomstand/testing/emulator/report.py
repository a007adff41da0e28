"""A lab run's report: JSON on disk, a table on the terminal (rich) and PNG plots (matplotlib, no
screen).

`write(report, out)` leaves `report.json` in `out`; `plot(out)` reads every `report.json` below
`out` (one run, or the points of a sweep with `sweep.json`) and draws:

- `goodput.png`: reqs served in time and denied, per second, for each policy;
- `plans.png`: units admitted a second against the quota, per plan, for the module;
- `load.png`: what the servers hold against what they can do, per second;
- `sweep.png` (sweeps): G/oracle and each policy's G against the swept value.
"""

from __future__ import annotations

import json
import os
from pathlib import Path

import msgspec
from rich.console import Console
from rich.table import Table

from loomstand.testing.emulator.checker import NAMES


def write(report: dict, out: str | os.PathLike) -> Path:
    """Writes `report.json` into `out` (made if missing); returns its path."""
    where = Path(out)
    where.mkdir(parents=True, exist_ok=True)
    path = where / "report.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(report)))
    return path


def table(report: dict, console: Console | None = None) -> None:
    """The run's figures and the rules' verdict, one row a policy."""
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
            f"[red]rule {b['rule']} ({NAMES[b['rule']]})[/red]: req {b['req']} at limiter "
            f"{b['limiter']}, {b['at'] / 10_000:.3f} s: {b['what']}"
        )


def sweep_table(key: str, reports: list[dict], console: Console | None = None) -> None:
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
    """Draws the PNGs for the run or sweep in `out`; returns their paths."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    where, made = Path(out), []
    sweep_file = where / "sweep.json"
    if sweep_file.exists():
        data = json.loads(sweep_file.read_text())
        reports = [json.loads((where / d / "report.json").read_text()) for d in data["points"]]
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
        made.append(save(fig, where / "sweep.png", plt))
        for d in data["points"]:
            made += plot(where / d)
        return made
    report = json.loads((where / "report.json").read_text())
    series = report["series"]
    fig, ax = plt.subplots(figsize=(8, 4))
    for name, s in series.items():
        secs = list(range(len(s["seconds"])))
        ax.plot(secs, [row[0] for row in s["seconds"]], label=f"{name} served in time")
        ax.plot(secs, [row[1] for row in s["seconds"]], "--", label=f"{name} denied")
    made.append(
        finish(
            fig,
            ax,
            "reqs a second",
            f"{report['scenario']}: goodput and denials",
            where / "goodput.png",
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
    made.append(finish(fig, ax, "units a second", title, where / "plans.png"))

    fig, ax = plt.subplots(figsize=(8, 4))
    for name, s in series.items():
        ax.plot([h for h, _ in s["load"]], label=f"{name} in hand")
    ax.plot([c for _, c in main["load"]], "k:", label="capacity of servers up")
    made.append(
        finish(
            fig,
            ax,
            "reqs",
            f"{report['scenario']}: server load against capacity",
            where / "load.png",
        )
    )
    return made


def finish(fig, ax, ylabel: str, title: str, path: Path) -> Path:
    """Labels a plot over seconds, gives it a legend and a grid, and saves it."""
    from matplotlib import pyplot as plt

    ax.set_xlabel("s")
    ax.set_ylabel(ylabel)
    ax.set_title(title)
    ax.legend(fontsize=7)
    ax.grid(alpha=0.3)
    return save(fig, path, plt)


def save(fig, path: Path, plt) -> Path:
    fig.tight_layout()
    fig.savefig(path, dpi=100)
    plt.close(fig)
    return path
