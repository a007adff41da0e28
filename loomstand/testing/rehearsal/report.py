"""The report on a rehearsal: report.json, the table on the terminal and the plots."""

from __future__ import annotations

import json
from pathlib import Path

import msgspec

from loomstand.testing.rehearsal import checker
from loomstand.testing.rehearsal.scenario import Rehearsal

# if a driver sent a request later than this, the machine was too busy for a meaningful result
MAX_DRIVER_LAG_SECONDS = 0.25


def make(rehearsal: Rehearsal, seed: int, out: Path) -> dict:
    """Returns the report on the rehearsal recorded in `out` and writes report.json there."""
    events = checker.read(rehearsal, out)
    verdict = checker.check(events)
    totals = checker.totals_by_second(events)
    bounds = checker.check_bounds(events, totals)
    crashed = checker.crashes(events)
    lag = max((row[1] for row in events.rows_of("lag")), default=0.0)
    runs: dict[int, int] = {}
    for req, *_ in events.history.executions:
        runs[req] = runs.get(req, 0) + 1
    zones = checker.load_by_zone(events)
    report = {
        "scenario": rehearsal.name,
        "seed": seed,
        "seconds": rehearsal.seconds,
        "limiters": rehearsal.fleet.limiters,
        "servers": rehearsal.fleet.servers,
        "held": verdict.rules_kept and not crashed,
        "kept": all(b["kept"] for b in bounds),
        "reqs": len(events.history.reqs),
        "ran": len(events.history.executions),
        "ran_again": sum(n > 1 for n in runs.values()),
        "rules": {str(rule): n for rule, n in verdict.by_rule().items()},
        "breaks": [msgspec.to_builtins(b) for b in verdict.first()],
        "crashes": crashed,
        "bounds": bounds,
        "driver_lag_s": round(lag, 3),
        "ready_s": [round(t, 3) for t in sorted(checker.ready_delays(events))],
        "calls_for_lists": [
            [round(at - events.began, 3), status] for at, _, status in events.rows_of("call")
        ],
        "opened": connections_by_second(events),
        "moves": [[round(at - events.began, 2), *more] for at, *more in events.rows_of("move")],
        "series": [msgspec.to_builtins(row) for row in totals],
        "zones": zones,
    }
    (out / "report.json").write_text(json.dumps(report, indent=1))
    return report


def connections_by_second(events: checker.RehearsalEvents) -> dict[str, list[int]]:
    """New connections by second: to all servers together, and to the server with the most."""
    count = int(events.rehearsal.seconds) + 1
    by_second: list[dict[int, int]] = [{} for _ in range(count)]
    for at, server, opened_count in events.rows_of("opened"):
        if 0 <= at - events.began < count:
            row = by_second[int(at - events.began)]
            row[server] = row.get(server, 0) + opened_count
    return {
        "all": [sum(row.values()) for row in by_second],
        "most": [max(row.values(), default=0) for row in by_second],
    }


def worth(report: dict, since: float, until: float, frontend_index: int = -1) -> float:
    """Returns the share of the worth (the value of requests within quotas) that was served in time.

    Args:
        report: The report.
        since: Start of the arrivals that count, in seconds from the first traffic.
        until: Their end.
        frontend_index: The frontend that counts; negative for all.
    """
    rows = report["series"][int(since) : max(int(since) + 1, int(until))]
    offered = sum(
        sum(r["offered"]) if frontend_index < 0 else r["offered"][frontend_index] for r in rows
    )
    served = sum(
        sum(r["served"]) if frontend_index < 0 else r["served"][frontend_index] for r in rows
    )
    return served / offered if offered else 0.0


def passed(report: dict) -> bool:
    """Returns whether no rule was broken, no limiter crashed and all bounds are kept."""
    return report["held"] and report["kept"]


def table(report: dict, console) -> None:
    """Prints the results for rules and bounds, the violations and the crashes."""
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
        limits = [
            f"{sign} {b[key]:g}"
            for key, sign in (("at_least", ">="), ("at_most", "<="))
            if b[key] is not None
        ]
        name = f"{b['what']} {b['frontend']}{b['zone']}".rstrip() + span
        t.add_row(name, f"{b['value']:g}", ", ".join(limits), "kept" if b["kept"] else "NOT KEPT")
    console.print(t)
    for b in report["breaks"]:
        req = f"req {b['req']}, " if b["req"] >= 0 else ""
        console.print(
            f"rule {b['rule']}: {req}limiter {b['limiter']}, {b['at'] / 10_000:.3f} s: {b['what']}"
        )
    for line in report["crashes"]:
        console.print(f"crash: {line}")
    if report["driver_lag_s"] > MAX_DRIVER_LAG_SECONDS:
        console.print(
            f"the driver ran up to {report['driver_lag_s']} s late: the machine was too busy"
        )
    console.print("passed" if passed(report) else "FAILED")


def plot(report: dict, out: Path) -> list[str]:
    """Draws worth.png and zones.png into the folder `out` and returns their paths."""
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
    paths = [save(fig, out / "worth.png")]
    fig, axes = plt.subplots(
        len(report["zones"]), 1, figsize=(9, 2.2 * len(report["zones"])), squeeze=False
    )
    for ax, (zone, rows) in zip(axes[:, 0], report["zones"].items(), strict=True):
        ax.plot([r[0] for r in rows], [r[1] for r in rows], label="in hand")
        ax.plot([r[0] for r in rows], [r[2] for r in rows], "--", label="room")
        ax.set_title(f"zone {zone}", fontsize=9)
        ax.legend(fontsize=8)
    return [*paths, save(fig, out / "zones.png")]


def save(fig, path: Path) -> str:
    """Writes a figure to an image file, closes it and returns the path."""
    from matplotlib import pyplot as plt

    fig.tight_layout()
    fig.savefig(path, dpi=80)
    plt.close(fig)
    return str(path)
