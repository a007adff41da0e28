"""One rehearsal from its scenario to its verdict: report.json, the table on the terminal, the
plots.
"""

from __future__ import annotations

import json
from pathlib import Path

import msgspec

from loomstand.testing.rehearsal import checker
from loomstand.testing.rehearsal.scenario import Rehearsal

# s: an arrival so late means that the machine was too busy for the run to tell anything
LATE_DRIVER = 0.25


def make(told: Rehearsal, seed: int, out: Path) -> dict:
    """The report on the rehearsal whose trails are in `out`; written to report.json there."""
    seen = checker.read(told, out)
    verdict = checker.check(seen)
    by = checker.seconds(seen)
    bounds = checker.bounds(seen, by)
    crashed = checker.crashes(seen)
    lag = max((row[1] for row in seen.all("lag")), default=0.0)
    runs: dict[int, int] = {}
    for req, *_ in seen.history.executions:
        runs[req] = runs.get(req, 0) + 1
    zones = checker.load_by_zone(seen)
    report = {
        "scenario": told.name,
        "seed": seed,
        "seconds": told.seconds,
        "limiters": told.fleet.limiters,
        "servers": told.fleet.servers,
        "held": verdict.held and not crashed,
        "kept": all(b["kept"] for b in bounds),
        "reqs": len(seen.history.reqs),
        "ran": len(seen.history.executions),
        "ran_again": sum(n > 1 for n in runs.values()),
        "rules": {str(rule): n for rule, n in verdict.by_rule().items()},
        "breaks": [msgspec.to_builtins(b) for b in verdict.first()],
        "crashes": crashed,
        "bounds": bounds,
        "driver_lag_s": round(lag, 3),
        "ready_s": [round(t, 3) for t in sorted(checker.ready_after(seen))],
        "calls_for_lists": [
            [round(at - seen.began, 3), status] for at, _, status in seen.all("call")
        ],
        "opened": opened(seen),
        "moves": [[round(at - seen.began, 2), *more] for at, *more in seen.all("move")],
        "series": [msgspec.to_builtins(row) for row in by],
        "zones": zones,
    }
    (out / "report.json").write_text(json.dumps(report, indent=1))
    return report


def opened(seen: checker.Seen) -> dict[str, list[int]]:
    """Connections to servers by second: over all, and at the server that had most in it."""
    many = int(seen.told.seconds) + 1
    by: list[dict[int, int]] = [{} for _ in range(many)]
    for at, server, count in seen.all("opened"):
        if 0 <= at - seen.began < many:
            row = by[int(at - seen.began)]
            row[server] = row.get(server, 0) + count
    return {
        "all": [sum(row.values()) for row in by],
        "most": [max(row.values(), default=0) for row in by],
    }


def worth(report: dict, since: float, until: float, front: int = -1) -> float:
    """The share of the worth offered in a span of arrivals that was served in time."""
    rows = report["series"][int(since) : max(int(since) + 1, int(until))]
    offered = sum(sum(r["offered"]) if front < 0 else r["offered"][front] for r in rows)
    served = sum(sum(r["served"]) if front < 0 else r["served"][front] for r in rows)
    return served / offered if offered else 0.0


def passed(report: dict) -> bool:
    return report["held"] and report["kept"]


def table(report: dict, console) -> None:
    """The verdict on the terminal: rules, bounds, and the culprits by name."""
    from rich.table import Table

    from loomstand.testing.emulator.checker import RULE_NAMES

    t = Table(
        title=f"{report['scenario']}, seed {report['seed']}: {report['reqs']} reqs, "
        f"{report['ran']} runs"
    )
    for column in ("what", "figure", "wanted", "verdict"):
        t.add_column(column)
    for rule, broken in report["rules"].items():
        t.add_row(
            f"rule {rule}: {RULE_NAMES[int(rule)]}",
            str(broken),
            "0",
            "held" if not broken else "BROKEN",
        )
    for b in report["bounds"]:
        span = f" {b['since']:g} to {b['until'] or report['seconds']:g} s"
        wanted = [
            f"{sign} {b[key]:g}"
            for key, sign in (("at_least", ">="), ("at_most", "<="))
            if b[key] is not None
        ]
        name = f"{b['what']} {b['frontend']}{b['zone']}".rstrip() + span
        t.add_row(name, f"{b['value']:g}", ", ".join(wanted), "kept" if b["kept"] else "NOT KEPT")
    console.print(t)
    for b in report["breaks"]:
        who = f"req {b['req']}, " if b["req"] >= 0 else ""
        console.print(
            f"rule {b['rule']}: {who}limiter {b['limiter']}, {b['at'] / 10_000:.3f} s: {b['what']}"
        )
    for line in report["crashes"]:
        console.print(f"crash: {line}")
    if report["driver_lag_s"] > LATE_DRIVER:
        console.print(
            f"the driver ran up to {report['driver_lag_s']} s late: the machine was too busy"
        )
    console.print("passed" if passed(report) else "FAILED")


def plot(report: dict, out: Path) -> list[str]:
    """worth.png and zones.png beside the report; returns their paths."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    xs = range(len(report["series"]) - 1)
    fig, ax = plt.subplots(figsize=(9, 4))
    for name in ("offered", "served"):
        ax.plot(xs, [sum(report["series"][x][name]) for x in xs], label=f"worth {name}")
    ax.plot(xs, [report["series"][x]["best"] for x in xs], "--", label="the servers' best")
    ax.set_xlabel("second of arrival")
    ax.set_ylabel("worth a second")
    ax.legend()
    made = [save(fig, out / "worth.png")]
    fig, axes = plt.subplots(
        len(report["zones"]), 1, figsize=(9, 2.2 * len(report["zones"])), squeeze=False
    )
    for ax, (zone, rows) in zip(axes[:, 0], report["zones"].items(), strict=True):
        ax.plot([r[0] for r in rows], [r[1] for r in rows], label="in hand")
        ax.plot([r[0] for r in rows], [r[2] for r in rows], "--", label="room")
        ax.set_title(f"zone {zone}", fontsize=9)
        ax.legend(fontsize=8)
    return [*made, save(fig, out / "zones.png")]


def save(fig, path: Path) -> str:
    from matplotlib import pyplot as plt

    fig.tight_layout()
    fig.savefig(path, dpi=80)
    plt.close(fig)
    return str(path)
