"""Extrapolates the cost of the current design to other sizes, from the slopes of scale runs.

    python -m benchmarks.scale_target RUN.json...

The results are computed, not measured: a slope times a number of units. Each slope is the least
squares fit of one sweep, so runs with sweeps of limiters, servers, routes, tenants and counts are
needed. The cost of a unit (an ask, a heartbeat, a counter call, a route in a
change) follows from the rates of that sweep.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np

from benchmarks.scale_run import read

# Seconds between the asks of a limiter at a registry, and between the heartbeats of a server.
ASK_INTERVAL, HEARTBEAT_INTERVAL = 0.6, 1.5
# Counter calls per request (`system_scale 150`), and kB of a row in an answer to a limiter.
COUNTS_PER_REQUEST, ROW_KB = 1.48, 0.08
# Microseconds at both registries for a heartbeat that one reports to the other: encoding, decoding
# and `InstanceTable.alive`, in a process with 50 times 3,000 of them.
REPORTED_HEARTBEAT_US = 4.4
RESTARTS_PER_DAY, CHANGES_PER_DAY = 27_000, 37_000
# The design of docs/CAPACITY.md, which gives the reasons for these numbers. Cost of one entry of a
# batch of counts (`Counters.add` and `QuotaBuckets.counted`, 200,000 entries for 5,000 tenants).
ENTRY_US, ENTRY_KB = 1.95, 0.010
REGIONS, SESSIONS, CONTROL_MACHINES_PER_REGION = 7, 2, 3
BATCH_INTERVAL = 0.25  # seconds between a limiter's batches to each counter of its region
CHUNKS = 4_096  # of routes, and as many of tenants
HELD_SHARE = 0.3  # of all chunks, at a limiter
ROWS_PER_RESTART, MANIFEST_KB = 3, 6.0  # draining, gone, ready; the two upper pages of the tree
DECODED = {"servers": 3_500, "routes": 1_000, "tenants": 2_000}  # held as objects by a limiter
ENCODED_MB = 8.0  # rows and chunks held as bytes by a limiter


@dataclass(slots=True, frozen=True)
class System:
    """The size of a system; `requests` and `changes` are per second."""

    name: str
    limiters: int
    servers: int
    routes: int
    tenants: int
    requests: float
    changes: float
    cores: int


TARGET = System("target", 4_100, 160_000, 280_000, 370_000, 2.7e6, CHANGES_PER_DAY / 86_400, 23)


def scaled_target(limiters: int, cores: int) -> System:
    """Returns a system with this number of limiters and the proportions of the target."""
    share = limiters / TARGET.limiters
    counts = [round(share * n) for n in (TARGET.servers, TARGET.routes, TARGET.tenants)]
    return System(
        f"{limiters:,}", limiters, *counts, share * TARGET.requests, share * TARGET.changes, cores
    )


SYSTEMS = (
    System("small site", 8, 27, 5, 8, 167, 0.1, 4),
    System("large site", 75, 246, 13, 79, 740, 0.1, 4),
    scaled_target(300, 4),
    scaled_target(1_000, 6),
    TARGET,
)


@dataclass(slots=True)
class Slopes:
    """Cost of a unit by role, in the milliseconds, kilobytes or megabytes that its name states."""

    costs: dict[str, float]

    def __getitem__(self, name: str) -> float:
        return self.costs[name]

    @staticmethod
    def of(sweeps: dict[str, list[dict[str, Any]]]) -> Slopes:
        def line(by: str, get: Any, of: Any = None) -> tuple[float, float]:
            """Returns slope and start of `get` over `of`, or over the number that was swept."""
            x = [float(of(one) if of else one["size"][by]) for one in sweeps[by]]
            y = [float(get(one)) for one in sweeps[by]]
            slope, start = np.polyfit(x, y, 1)
            return float(slope), float(start)

        def cpu(window: str, role: str) -> Any:
            return lambda one: one[window][role]["user_ms"] + one[window][role]["kernel_ms"]

        def changed(one: dict[str, Any]) -> float:
            """Returns the configurations per second that a limiter fetched."""
            return one["changing"]["limiter"]["calls"]["fetch"]

        costs: dict[str, float] = {}
        # a limiter asks every registry each `ASK_INTERVAL`
        costs["registry, ms an ask"] = ASK_INTERVAL * line("limiters", cpu("rest", "registry"))[0]
        costs["registry, ms with nobody"] = line("limiters", cpu("rest", "registry"))[1]
        costs["registry, kB an ask"] = ASK_INTERVAL * (
            line("limiters", lambda one: one["rest"]["registry"]["kb_in"])[0]
            + line("limiters", lambda one: one["rest"]["registry"]["kb_out"])[0]
        )
        asks = [one["rest"]["limiter"]["calls"]["ask"] for one in sweeps["limiters"]]
        last = sweeps["limiters"][-1]["rest"]
        costs["limiter, ms an ask"] = last["hollow"]["each_ms"] / asks[-1]
        costs["limiter, kB an ask"] = (last["limiter"]["kb_in"] + last["limiter"]["kb_out"]) / asks[
            -1
        ]
        costs["proxy, ms with 3 registries"] = line("servers", cpu("rest", "proxy"))[1]
        cores = sweeps["servers"][0]["size"]["cores"]
        each = line("servers", cpu("rest", "registry"))[0]
        reported = (cores - 1) / cores * REPORTED_HEARTBEAT_US / 1000
        costs["registry, ms a heartbeat"] = cores * (HEARTBEAT_INTERVAL * each - reported)
        for role in ("proxy", "registry", "store"):
            for by in ("servers", "routes", "tenants"):
                window = "rest" if by == "servers" else "changing"
                slope, start = line(by, lambda one, w=window, r=role: one[w][r]["resident_mb"])
                costs[f"{role}, kB memory of {by}"] = 1000 * slope
                costs[f"{role}, MB with none"] = start
        for by in ("routes", "tenants"):
            rate = np.mean([changed(one) for one in sweeps[by]])
            for role in ("proxy", "registry", "store", "primary"):
                costs[f"{role}, us of {by} a change"] = (
                    1000 * line(by, cpu("changing", role))[0] / rate
                )
            costs[f"bytes of {by}"] = line(by, lambda one: one["configuration bytes"])[0]
            costs[f"ms to force of {by}, worst"] = line(
                by, lambda one: one["change"]["in force"]["worst"]
            )[0]

        def rates(one):
            return one["counting"]["counter"]["ops"]["count"]

        costs["counter, ms a count"] = line("counts", cpu("counting", "counter"), rates)[0]

        def limiter(one):
            return one["counting"]["limiter"]

        costs["limiter, kB a count"] = line(
            "counts",
            lambda one: limiter(one)["kb_in"] + limiter(one)["kb_out"],
            lambda one: limiter(one)["calls"]["count"],
        )[0]
        costs["limiter, ms a count"] = line(
            "counts",
            lambda one: one["counting"]["hollow"]["each_ms"],
            lambda one: limiter(one)["calls"]["count"],
        )[0]
        return Slopes(costs)


def current_design(s: Slopes, system: System) -> dict[str, str]:
    """Returns the costs of the current design at a size."""
    k, n, m = system.cores, system.limiters, system.servers
    body = (
        s["bytes of routes"] * system.routes + s["bytes of tenants"] * system.tenants
    ) / 1e6  # MB
    asks, counts = k / ASK_INTERVAL, COUNTS_PER_REQUEST * system.requests / n
    parse = {
        role: (
            s[f"{role}, us of routes a change"] * system.routes
            + s[f"{role}, us of tenants a change"] * system.tenants
        )
        / 1000
        for role in ("proxy", "registry", "store", "primary")
    }

    def memory(role: str) -> float:
        return s[f"{role}, MB with none"] + sum(
            s[f"{role}, kB memory of {by}"] * getattr(system, by) / 1000
            for by in ("servers", "routes", "tenants")
        )

    registry = (
        s["registry, ms with nobody"]
        + s["registry, ms an ask"] * n / ASK_INTERVAL
        + s["registry, ms a heartbeat"] * m / HEARTBEAT_INTERVAL / k
        + REPORTED_HEARTBEAT_US / 1000 * m / HEARTBEAT_INTERVAL * (k - 1) / k
    )
    force = sum(
        s[f"ms to force of {by}, worst"] * getattr(system, by) for by in ("routes", "tenants")
    )
    # restarts per second, with two rows each
    restarts = RESTARTS_PER_DAY / 86_400 * min(1.0, n / TARGET.limiters)
    return {
        "limiter: asks, counts a second": f"{asks:.0f}, {counts:,.0f}",
        "limiter: ms/s of asks, counts, changes (36)": f"{asks * s['limiter, ms an ask']:.1f}, "
        f"{counts * s['limiter, ms a count']:.0f}, {parse['proxy'] * system.changes:,.0f}",
        "limiter: kB/s of asks, counts (20)": f"{asks * s['limiter, kB an ask']:.1f}, "
        f"{counts * s['limiter, kB a count']:.0f}",
        "limiter: kB/s of changes, servers' news (20)": f"{1000 * body * system.changes:,.0f}, "
        f"{restarts * 2 * k * ROW_KB:.1f}",
        "limiter: MB resident (64)": f"{memory('proxy'):,.0f}",
        "registry: asks, heartbeats a second": f"{n / ASK_INTERVAL:,.0f}, "
        f"{m / HEARTBEAT_INTERVAL / k:,.0f}",
        "registry: ms/s at rest (1,000 is a core)": f"{registry:,.0f}",
        "registry: heartbeats a second told by others": (
            f"{m / HEARTBEAT_INTERVAL * (k - 1) / k:,.0f}"
        ),
        "registry: MB sent for a change": f"{n * body / k:,.1f}",
        "registry: MB resident": f"{memory('registry'):,.0f}",
        "registry: ms of parsing a change": f"{parse['registry']:,.0f}",
        "counter: counts a second": f"{counts * n:,.0f}",
        "counter: ms/s": f"{counts * n * s['counter, ms a count']:,.0f}",
        "store: MB of a configuration (a frame: 16)": f"{body:,.2f}",
        "store: MB resident": f"{memory('store'):,.0f}",
        "store: MB written a second at the primary": f"{body * system.changes:,.2f}",
        "change in force, worst ms, if there were 30 limiters": f"{force:,.0f}",
    }


def planned_design(s: Slopes) -> dict[str, float]:
    """Returns the costs of the planned design at the target, for one machine of each role."""
    t = TARGET
    region, machines = t.limiters / REGIONS, CONTROL_MACHINES_PER_REGION
    batches, entries = region / BATCH_INTERVAL, region * t.requests / t.limiters / machines
    asks, batch_calls = SESSIONS / ASK_INTERVAL, machines / BATCH_INTERVAL
    requests = t.requests / t.limiters
    chunk = {by: getattr(t, by) / CHUNKS for by in ("routes", "tenants")}
    chunk_kb = chunk["routes"] * s["bytes of routes"] / 1000
    parsed = chunk["routes"] * s["proxy, us of routes a change"] / 1000
    rows = RESTARTS_PER_DAY / 86_400 * ROWS_PER_RESTART
    beats = t.servers / HEARTBEAT_INTERVAL / t.cores
    return {
        "limiter: asks a second": asks,
        "limiter: ms/s of asks": asks * s["limiter, ms an ask"],
        "limiter: ms/s of batches, their entries": batch_calls * s["limiter, ms a count"]
        + requests * ENTRY_US / 1000,
        "limiter: ms/s of changes": t.changes * HELD_SHARE * parsed,
        "limiter: kB/s of asks": asks * s["limiter, kB an ask"],
        "limiter: kB/s of batches, their entries": batch_calls * s["limiter, kB a count"]
        + 1.1 * requests * ENTRY_KB,
        "limiter: kB/s of changes": t.changes * (0.1 + HELD_SHARE * chunk_kb),
        "limiter: kB/s of servers' rows, an ordinary day": SESSIONS * rows * ROW_KB,
        "limiter: MB": s["proxy, MB with none"]
        + ENCODED_MB
        + sum(s[f"proxy, kB memory of {by}"] * count / 1000 for by, count in DECODED.items()),
        "registry: asks a second": region * asks / machines,
        "registry: ms/s of asks": region * asks / machines * s["registry, ms an ask"],
        "registry: heartbeats a second": beats,
        "registry: ms/s of heartbeats": beats * s["registry, ms a heartbeat"],
        "registry: MB of rows": t.servers * s["registry, kB memory of servers"] / 1000,
        "registry: MB/s of chunks to limiters": t.changes
        * HELD_SHARE
        * region
        * chunk_kb
        / machines
        / 1000,
        "counter: batches a second": batches,
        "counter: entries a second": entries,
        "counter: ms/s": batches * s["counter, ms a count"] + entries * ENTRY_US / 1000,
        "store: kB written a change": 2 * chunk_kb + MANIFEST_KB,
        "store: MB on disk": (s["bytes of routes"] * t.routes + s["bytes of tenants"] * t.tenants)
        / 1e6,
        "chunk of routes: kB": chunk_kb,
        "chunk of routes: ms to parse": parsed,
    }


def main() -> None:
    s = Slopes.of(read([Path(path) for path in sys.argv[1:]])["sweeps"])
    print("slopes")
    for name, value in s.costs.items():
        print(f"| {name} | {value:.4g} |")
    print("\n| | " + " | ".join(system.name for system in SYSTEMS) + " |")
    each = [current_design(s, system) for system in SYSTEMS]
    for name in each[0]:
        print(f"| {name} | " + " | ".join(one[name] for one in each) + " |")
    print("\nthe target by the ways of docs/CAPACITY.md")
    for name, value in planned_design(s).items():
        print(f"| {name} | {value:,.3g} |" if value < 100 else f"| {name} | {value:,.0f} |")


if __name__ == "__main__":
    main()
