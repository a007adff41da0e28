"""What today's ways come to at other sizes, from the slopes of scale runs.

    python -m benchmarks.scale_target limiters.json servers.json routes.json tenants.json
    counts.json

Figures are computed, not measured: a slope times a count. Each slope is the least squares of one
sweep; what a unit is (an ask, a heartbeat, a count, a route in a change) follows from the rates
that the sweep had.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np

from benchmarks.scale_run import read

ASK, BEAT = 0.6, 1.5  # s between a limiter's askings of a registry, and a server's heartbeats
# Counts of a request (`system_scale 150`), and kB of a row as it goes to a limiter.
COUNTS_A_REQUEST, ROW_KB = 1.48, 0.08
# us of a heartbeat that another registry tells of, at both together: coded, decoded,
# `InstanceTable.alive`; 50 times 3,000 of them in one process.
TOLD_US = 4.4
RESTARTS, CHANGES_A_DAY = 27_000, 37_000
# The ways of docs/CAPACITY.md. Measured: us of one entry of a batch of counts (`Counters.add` and
# `QuotaBuckets.counted`, 200,000 of them among 5,000 tenants). The rest is decided or assumed
# there.
ENTRY_US, ENTRY_KB = 1.95, 0.010
REGIONS, SESSIONS, CONTROL_A_REGION = 7, 2, 3
BATCH = 0.25  # s between a limiter's batches to each counter of its region
CHUNKS = 4_096  # of routes, and as many of tenants
HELD = 0.3  # of all chunks, by a limiter
ROWS_A_RESTART, MANIFEST_KB = 3, 6.0  # draining, gone, ready; the two upper pages of the tree
WARM = {"servers": 3_500, "routes": 1_000, "tenants": 2_000}  # that a limiter holds as objects
COLD_MB = 8.0  # rows and chunks that it holds as bytes


@dataclass(slots=True, frozen=True)
class System:
    """A system's size; `requests` and `changes` a second."""

    name: str
    limiters: int
    servers: int
    routes: int
    tenants: int
    requests: float
    changes: float
    cores: int


TARGET = System("target", 4_100, 160_000, 280_000, 370_000, 2.7e6, CHANGES_A_DAY / 86_400, 23)


def part(limiters: int, cores: int) -> System:
    """A system of so many limiters, made up as the target is."""
    share = limiters / TARGET.limiters
    counts = [round(share * n) for n in (TARGET.servers, TARGET.routes, TARGET.tenants)]
    return System(
        f"{limiters:,}", limiters, *counts, share * TARGET.requests, share * TARGET.changes, cores
    )


SYSTEMS = (
    System("small site", 8, 27, 5, 8, 167, 0.1, 4),
    System("large site", 75, 246, 13, 79, 740, 0.1, 4),
    part(300, 4),
    part(1_000, 6),
    TARGET,
)


@dataclass(slots=True)
class Slopes:
    """Milliseconds, kilobytes and megabytes of a unit, by role."""

    found: dict[str, float]

    def __getitem__(self, name: str) -> float:
        return self.found[name]

    @staticmethod
    def of(sweeps: dict[str, list[dict[str, Any]]]) -> Slopes:
        def line(by: str, get: Any, of: Any = None) -> tuple[float, float]:
            """Slope and start of `get` over `of`, or over what was swept."""
            x = [float(of(one) if of else one["size"][by]) for one in sweeps[by]]
            y = [float(get(one)) for one in sweeps[by]]
            slope, start = np.polyfit(x, y, 1)
            return float(slope), float(start)

        def cpu(window: str, role: str) -> Any:
            return lambda one: one[window][role]["user_ms"] + one[window][role]["kernel_ms"]

        def changed(one: dict[str, Any]) -> float:
            """Configurations a second that a limiter fetched."""
            return one["changing"]["limiter"]["calls"]["fetch"]

        got: dict[str, float] = {}
        # a limiter asks every 0.6 s at each registry
        got["registry, ms an ask"] = ASK * line("limiters", cpu("rest", "registry"))[0]
        got["registry, ms with nobody"] = line("limiters", cpu("rest", "registry"))[1]
        got["registry, kB an ask"] = ASK * (
            line("limiters", lambda one: one["rest"]["registry"]["kb_in"])[0]
            + line("limiters", lambda one: one["rest"]["registry"]["kb_out"])[0]
        )
        asks = [one["rest"]["limiter"]["calls"]["ask"] for one in sweeps["limiters"]]
        last = sweeps["limiters"][-1]["rest"]
        got["limiter, ms an ask"] = last["hollow"]["each_ms"] / asks[-1]
        got["limiter, kB an ask"] = (last["limiter"]["kb_in"] + last["limiter"]["kb_out"]) / asks[
            -1
        ]
        got["proxy, ms with 3 registries"] = line("servers", cpu("rest", "proxy"))[1]
        cores = sweeps["servers"][0]["size"]["cores"]
        each = line("servers", cpu("rest", "registry"))[0]
        told = (cores - 1) / cores * TOLD_US / 1000
        got["registry, ms a heartbeat"] = cores * (BEAT * each - told)
        for role in ("proxy", "registry", "store"):
            for by in ("servers", "routes", "tenants"):
                window = "rest" if by == "servers" else "changing"
                slope, start = line(by, lambda one, w=window, r=role: one[w][r]["resident_mb"])
                got[f"{role}, kB memory of {by}"] = 1000 * slope
                got[f"{role}, MB with none"] = start
        for by in ("routes", "tenants"):
            rate = np.mean([changed(one) for one in sweeps[by]])
            for role in ("proxy", "registry", "store", "primary"):
                got[f"{role}, us of {by} a change"] = (
                    1000 * line(by, cpu("changing", role))[0] / rate
                )
            got[f"bytes of {by}"] = line(by, lambda one: one["configuration bytes"])[0]
            got[f"ms to force of {by}, worst"] = line(
                by, lambda one: one["change"]["in force"]["worst"]
            )[0]

        def rates(one):
            return one["counting"]["counter"]["ops"]["count"]

        got["counter, ms a count"] = line("counts", cpu("counting", "counter"), rates)[0]

        def limiter(one):
            return one["counting"]["limiter"]

        got["limiter, kB a count"] = line(
            "counts",
            lambda one: limiter(one)["kb_in"] + limiter(one)["kb_out"],
            lambda one: limiter(one)["calls"]["count"],
        )[0]
        got["limiter, ms a count"] = line(
            "counts",
            lambda one: one["counting"]["hollow"]["each_ms"],
            lambda one: limiter(one)["calls"]["count"],
        )[0]
        return Slopes(got)


def rows(s: Slopes, at: System) -> dict[str, str]:
    """Today's ways at a size."""
    k, n, m = at.cores, at.limiters, at.servers
    body = (s["bytes of routes"] * at.routes + s["bytes of tenants"] * at.tenants) / 1e6  # MB
    asks, counts = k / ASK, COUNTS_A_REQUEST * at.requests / n
    parse = {
        role: (
            s[f"{role}, us of routes a change"] * at.routes
            + s[f"{role}, us of tenants a change"] * at.tenants
        )
        / 1000
        for role in ("proxy", "registry", "store", "primary")
    }

    def memory(role: str) -> float:
        return s[f"{role}, MB with none"] + sum(
            s[f"{role}, kB memory of {by}"] * getattr(at, by) / 1000
            for by in ("servers", "routes", "tenants")
        )

    registry = (
        s["registry, ms with nobody"]
        + s["registry, ms an ask"] * n / ASK
        + s["registry, ms a heartbeat"] * m / BEAT / k
        + TOLD_US / 1000 * m / BEAT * (k - 1) / k
    )
    force = sum(s[f"ms to force of {by}, worst"] * getattr(at, by) for by in ("routes", "tenants"))
    moved = RESTARTS / 86_400 * min(1.0, n / TARGET.limiters)  # restarts a second, two rows each
    return {
        "limiter: asks, counts a second": f"{asks:.0f}, {counts:,.0f}",
        "limiter: ms/s of asks, counts, changes (36)": f"{asks * s['limiter, ms an ask']:.1f}, "
        f"{counts * s['limiter, ms a count']:.0f}, {parse['proxy'] * at.changes:,.0f}",
        "limiter: kB/s of asks, counts (20)": f"{asks * s['limiter, kB an ask']:.1f}, "
        f"{counts * s['limiter, kB a count']:.0f}",
        "limiter: kB/s of changes, servers' news (20)": f"{1000 * body * at.changes:,.0f}, "
        f"{moved * 2 * k * ROW_KB:.1f}",
        "limiter: MB resident (64)": f"{memory('proxy'):,.0f}",
        "registry: asks, heartbeats a second": f"{n / ASK:,.0f}, {m / BEAT / k:,.0f}",
        "registry: ms/s at rest (1,000 is a core)": f"{registry:,.0f}",
        "registry: heartbeats a second told by others": f"{m / BEAT * (k - 1) / k:,.0f}",
        "registry: MB sent for a change": f"{n * body / k:,.1f}",
        "registry: MB resident": f"{memory('registry'):,.0f}",
        "registry: ms of parsing a change": f"{parse['registry']:,.0f}",
        "counter: counts a second": f"{counts * n:,.0f}",
        "counter: ms/s": f"{counts * n * s['counter, ms a count']:,.0f}",
        "store: MB of a configuration (a frame: 16)": f"{body:,.2f}",
        "store: MB resident": f"{memory('store'):,.0f}",
        "store: MB written a second at the primary": f"{body * at.changes:,.2f}",
        "change in force, worst ms, if there were 30 limiters": f"{force:,.0f}",
    }


def planned(s: Slopes) -> dict[str, float]:
    """The target by the page's ways: one machine of each role."""
    t = TARGET
    region, machines = t.limiters / REGIONS, CONTROL_A_REGION
    batches, counted = region / BATCH, region * t.requests / t.limiters / machines
    asks, calls = SESSIONS / ASK, machines / BATCH
    requests = t.requests / t.limiters
    chunk = {by: getattr(t, by) / CHUNKS for by in ("routes", "tenants")}
    chunk_kb = chunk["routes"] * s["bytes of routes"] / 1000
    parsed = chunk["routes"] * s["proxy, us of routes a change"] / 1000
    rows = RESTARTS / 86_400 * ROWS_A_RESTART
    beats = t.servers / BEAT / t.cores
    return {
        "limiter: asks a second": asks,
        "limiter: ms/s of asks": asks * s["limiter, ms an ask"],
        "limiter: ms/s of batches, their entries": calls * s["limiter, ms a count"]
        + requests * ENTRY_US / 1000,
        "limiter: ms/s of changes": t.changes * HELD * parsed,
        "limiter: kB/s of asks": asks * s["limiter, kB an ask"],
        "limiter: kB/s of batches, their entries": calls * s["limiter, kB a count"]
        + 1.1 * requests * ENTRY_KB,
        "limiter: kB/s of changes": t.changes * (0.1 + HELD * chunk_kb),
        "limiter: kB/s of servers' rows, an ordinary day": SESSIONS * rows * ROW_KB,
        "limiter: MB": s["proxy, MB with none"]
        + COLD_MB
        + sum(s[f"proxy, kB memory of {by}"] * many / 1000 for by, many in WARM.items()),
        "registry: asks a second": region * asks / machines,
        "registry: ms/s of asks": region * asks / machines * s["registry, ms an ask"],
        "registry: heartbeats a second": beats,
        "registry: ms/s of heartbeats": beats * s["registry, ms a heartbeat"],
        "registry: MB of rows": t.servers * s["registry, kB memory of servers"] / 1000,
        "registry: MB/s of chunks to limiters": t.changes
        * HELD
        * region
        * chunk_kb
        / machines
        / 1000,
        "counter: batches a second": batches,
        "counter: entries a second": counted,
        "counter: ms/s": batches * s["counter, ms a count"] + counted * ENTRY_US / 1000,
        "store: kB written a change": 2 * chunk_kb + MANIFEST_KB,
        "store: MB on disk": (s["bytes of routes"] * t.routes + s["bytes of tenants"] * t.tenants)
        / 1e6,
        "chunk of routes: kB": chunk_kb,
        "chunk of routes: ms to parse": parsed,
    }


def main() -> None:
    s = Slopes.of(read([Path(path) for path in sys.argv[1:]])["sweeps"])
    print("slopes")
    for name, value in s.found.items():
        print(f"| {name} | {value:.4g} |")
    print("\n| | " + " | ".join(at.name for at in SYSTEMS) + " |")
    each = [rows(s, at) for at in SYSTEMS]
    for name in each[0]:
        print(f"| {name} | " + " | ".join(one[name] for one in each) + " |")
    print("\nthe target by the ways of docs/CAPACITY.md")
    for name, value in planned(s).items():
        print(f"| {name} | {value:,.3g} |" if value < 100 else f"| {name} | {value:,.0f} |")


if __name__ == "__main__":
    main()
