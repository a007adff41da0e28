"""Cost of the emulator by size: wall time and events per second for N limiters and 60 s simulated.

Traffic grows with the fleet (ten tenants per limiter at 2 requests per second each, one server for
two limiters), so each limiter gets about 20 requests per second at every size, and a cost linear in
limiters shows as a constant `us a req`. Only the decision engine runs, no baselines. Run by hand:

    .venv/bin/python -m benchmarks.lab_scale 10 100 1000 --seconds 60 --json scale.json

The sizes run at the same time, each in its own process.
"""

from __future__ import annotations

import argparse
import json
import resource
import time
from concurrent.futures import ProcessPoolExecutor

from loomstand.testing.emulator import runner
from loomstand.testing.emulator import scenario as sc


def measure(args: tuple[int, float]) -> dict:
    limiters, seconds = args
    scenario = sc.from_table(
        {
            "name": f"scale-{limiters}",
            "seconds": seconds,
            "baselines": [],
            "fleet": {
                "limiters": limiters,
                "servers": max(2, limiters // 2),
                "zones": ["a", "b", "c"],
            },
            "frontends": [
                {
                    "name": "quote",
                    "response_target_ms": 400,
                    "client_timeout_ms": 1500,
                    "work_ms": 40,
                }
            ],
            "plans": [{"name": "basic", "rate": 2, "burst": 6, "customers": 10 * limiters}],
        }
    )
    started_at = time.perf_counter()
    played = runner.run_policy(scenario, "brain", 1)
    wall = time.perf_counter() - started_at
    reqs = played.summary["counts"]["taken"]
    return {
        "limiters": limiters,
        "simulated_s": seconds,
        "wall_s": round(wall, 2),
        "events": played.events,
        "events_per_s": round(played.events / wall),
        "reqs": reqs,
        "us_per_req": round(wall / max(1, reqs) * 1e6, 1),
        "G": played.summary["G"],
        "held": played.summary["held"],
        "peak_rss_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("sizes", type=int, nargs="+")
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--json", default="")
    parser.add_argument(
        "--plot",
        default="",
        help="PNG file for wall time and cost per request by number of limiters",
    )
    parser.add_argument(
        "--rows", default="", help="JSON file of an earlier run to plot instead of running"
    )
    args = parser.parse_args()
    if args.rows:
        with open(args.rows) as file:
            rows = json.load(file)
    else:
        with ProcessPoolExecutor(max_workers=len(args.sizes)) as pool:
            rows = list(pool.map(measure, [(n, args.seconds) for n in args.sizes]))
    for row in rows:
        print(json.dumps(row))
    if args.json:
        with open(args.json, "w") as out:
            json.dump(rows, out, indent=1)
    if args.plot:
        plot(rows, args.plot)


def plot(rows: list[dict], path: str) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    rows = sorted(rows, key=lambda r: r["limiters"])
    xs = [r["limiters"] for r in rows]
    fig, left = plt.subplots(figsize=(7, 4))
    left.plot(xs, [r["wall_s"] for r in rows], "o-", label="wall s for 60 s simulated")
    left.set_xscale("log")
    left.set_yscale("log")
    left.set_xlabel("limiters")
    left.set_ylabel("wall s")
    right = left.twinx()
    right.plot(xs, [r["us_per_req"] for r in rows], "s--", color="tab:red", label="us a req")
    right.set_ylabel("us a req")
    right.set_ylim(0, max(r["us_per_req"] for r in rows) * 1.2)
    fig.legend(loc="upper left", bbox_to_anchor=(0.12, 0.88))
    left.set_title("emulator cost by size (decision engine alone)")
    fig.tight_layout()
    fig.savefig(path, dpi=100)


if __name__ == "__main__":
    main()
