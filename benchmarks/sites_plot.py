"""Draws docs/sites-rig.png and docs/sites-lab.png, and prints the tables of docs/sites.md.

The `rig` plot needs the reports of ten rehearsals; the `lab` plot runs ten scenarios of 1,000
limiters, which takes some minutes:

    for s in 1 2 3 4 5; do
        loomstand rehearse examples/rehearse/site-loss.toml --seed $s --out out/on$s
        loomstand rehearse examples/rehearse/site-loss.toml --seed $s --no-plan --out out/off$s
    done
    python -m benchmarks.sites_plot rig out docs/sites-rig.png
    python -m benchmarks.sites_plot lab docs/sites-lab.png
"""

from __future__ import annotations

import json
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import mean

from loomstand.testing.emulator import runner
from loomstand.testing.emulator import scenario as sc
from loomstand.testing.rehearsal.report import worth

SPANS = ((3, 12), (12, 15), (15, 27), (27, 33))
LOADS = (0.5, 0.7, 0.85, 1.0, 1.1)
LAB = "examples/lab/site-loss.toml"


def of_best(report: dict, since: int, until: int) -> float:
    """Returns the value served from second `since` to `until`, as a share of the maximum."""
    rows = report["series"][since:until]
    return sum(sum(r["served"]) for r in rows) / sum(r["best"] for r in rows)


def recovery_seconds(report: dict, lost: int, wanted: float = 0.9) -> int:
    """Returns the time from the loss until three seconds in a row reach a share of the maximum."""
    rows = [sum(r["served"]) / max(1e-9, r["best"]) for r in report["series"]]
    recovered = (k for k in range(lost, len(rows) - 3) if min(rows[k : k + 3]) >= wanted)
    return next(recovered, len(rows)) - lost


def plot_rehearsals(out: Path, path: str) -> None:
    """Prints and plots rehearsals with and without the plan, from the reports in `out`."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    fig, axes = plt.subplots(2, 1, figsize=(9, 7), sharex=True)
    for name, ax in (("off", axes[0]), ("on", axes[1])):
        reports = [json.loads(p.read_text()) for p in sorted(out.glob(f"{name}[0-9]/report.json"))]
        for a, b in SPANS:
            print(
                name,
                (a, b),
                "worth",
                [round(worth(r, a, b), 3) for r in reports],
                "mean",
                round(mean(worth(r, a, b) for r in reports), 3),
                "of best",
                round(mean(of_best(r, a, b) for r in reports), 3),
                "fronts",
                [round(mean(worth(r, a, b, n) for r in reports), 3) for n in range(3)],
            )
        print(name, "worth 10 from 14 on", [round(worth(r, 14, 36, 2), 3) for r in reports])
        print(
            name,
            "steady after",
            [recovery_seconds(r, 12) for r in reports],
            "ran again",
            [r["ran_again"] for r in reports],
        )
        busiest = [
            [round(max(x[1] for x in rows[15:27])) for rows in r["zones"].values()] for r in reports
        ]
        print(name, "rules", [r["held"] for r in reports], "most in hand", busiest)
        xs = range(36)
        for r in reports:
            ax.plot(xs, [sum(r["series"][x]["served"]) for x in xs], color="C0", alpha=0.5, lw=1)
        ax.plot(
            xs,
            [mean(r["series"][x]["best"] for r in reports) for x in xs],
            "k--",
            lw=1,
            label="the servers' best",
        )
        ax.plot(
            xs,
            [mean(sum(r["series"][x]["served"]) for r in reports) for x in xs],
            color="C0",
            label="served in time",
        )
        ax.axvspan(12, 27, color="0.9")
        ax.set_title(f"plan {name}, five seeds (the zone is gone in grey)", fontsize=9)
        ax.set_ylabel("worth a second")
        ax.set_ylim(0)
        ax.legend(fontsize=8)
    axes[1].set_xlabel("second of arrival")
    fig.tight_layout()
    fig.savefig(path, dpi=80)


def run_scenario(args: tuple[float, bool]) -> dict:
    load, sited = args
    values = {"clients.burst_factor": load / 0.85, "sited": sited}
    played = runner.run(sc.from_table(sc.with_values(sc.read(LAB), values)), 0)
    rows = played["series"]["brain"]["seconds"]
    spans = [
        sum(r[4] for r in rows[a:b]) / sum(r[5] for r in rows[a:b])
        for a, b in ((3, 8), (8, 11), (11, 16), (16, 24))
    ]
    return {
        "load": load,
        "sited": sited,
        "G": played["runs"]["brain"]["G"],
        "spans": spans,
        "rules": played["runs"]["brain"]["rules"],
    }


def plot_emulator_runs(path: str) -> None:
    """Runs the scenario in the emulator at each load, with and without the plan, and plots it."""
    with ProcessPoolExecutor(4) as pool:
        draw(
            list(
                pool.map(run_scenario, [(load, sited) for load in LOADS for sited in (False, True)])
            ),
            path,
        )


def draw(points: list[dict], path: str) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    fig, ax = plt.subplots(figsize=(8, 4))
    for sited, style in ((False, "--"), (True, "-")):
        selected = [p for p in points if p["sited"] is sited]
        for n, span in enumerate(("before", "first 3 s", "until the return", "after")):
            label = f"{span}, plan {'on' if sited else 'off'}"
            ax.plot(
                [p["load"] for p in selected],
                [p["spans"][n] for p in selected],
                style,
                color=f"C{n}",
                marker="o",
                label=label,
            )
        for p in selected:
            print(p["load"], sited, round(p["G"], 3), [round(s, 3) for s in p["spans"]], p["rules"])
    ax.set_xlabel("load, of the slots")
    ax.set_ylabel("worth served in time")
    ax.set_ylim(0, 1)
    ax.legend(fontsize=7, ncol=2)
    fig.tight_layout()
    fig.savefig(path, dpi=80)


if __name__ == "__main__":
    if sys.argv[1] == "rig":
        plot_rehearsals(Path(sys.argv[2]), sys.argv[3])
    else:
        plot_emulator_runs(sys.argv[2])
