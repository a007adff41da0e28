"""Runs a scenario with the decision engine and the baselines, and sweeps over values of a key.

The report of a run is a dict that can be encoded as JSON. Its `digest` is the SHA-256 of its
canonical JSON without wall times, so the same scenario and seed give the same digest on any machine
with the same versions.
"""

from __future__ import annotations

import hashlib
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

import msgspec
from hdrh.histogram import HdrHistogram

from loomstand.admission.decision_engine import DecisionEngine
from loomstand.admission.settings import EngineSettings
from loomstand.admission.ticks import TICKS_PER_SECOND
from loomstand.failover.engine_view import FailoverPolicy
from loomstand.testing.emulator import scenario as sc
from loomstand.testing.emulator.baselines import BASELINES
from loomstand.testing.emulator.checker import Verdict, check
from loomstand.testing.emulator.fleet import Fleet, Policy, PolicyMaker
from loomstand.testing.emulator.history import DENIED, PASSED, History

TICKS_PER_MS = TICKS_PER_SECOND // 1000


def make_decision_engine(
    fleet: Fleet, limiter_index: int, settings: EngineSettings, seed: int
) -> Policy:
    """Creates the decision engine as the bench adapter does, with any site plan."""
    s, now = fleet.scenario, fleet.engine.now
    failover = None
    if s.site is not None and s.sited:
        names = ([f.name for f in s.frontends], [p.name for p in s.plans], s.fleet.zones)
        failover = FailoverPolicy(s.site, settings, names, now)
    return DecisionEngine(settings, seed, now, failover)


POLICY_MAKERS: dict[str, PolicyMaker] = {"brain": make_decision_engine, **BASELINES}


@dataclass(slots=True)
class PolicyRun:
    """The result of one run of a scenario with one policy; `wall_s` is in seconds of real time."""

    policy: str
    history: History
    verdict: Verdict
    summary: dict
    events: int
    wall_s: float


def run_policy(
    scenario: sc.Scenario,
    policy: str,
    seed: int,
    maker: PolicyMaker | None = None,
    tick: Callable[[float], None] | None = None,
) -> PolicyRun:
    """Runs a scenario with one policy.

    Args:
        scenario: The scenario.
        policy: Name of the policy.
        seed: Seed of the random numbers.
        maker: Creates the policy instead of the named one; tests pass faulty policies.
        tick: Called after each simulated second, with the simulated time in seconds.
    """
    fleet = Fleet(scenario, maker or POLICY_MAKERS[policy], seed)
    began = time.perf_counter()
    history = fleet.run(tick)
    wall_s = time.perf_counter() - began
    verdict = check(history, scenario)
    return PolicyRun(
        policy, history, verdict, summarise(fleet, history, verdict), fleet.engine.events, wall_s
    )


def summarise(fleet: Fleet, history: History, verdict: Verdict) -> dict:
    """Returns the figures of a run for the report.

    `G` is the goodput: the value of the requests within their quota that were served in time, less
    the cost of those served beyond their quota, relative to the value offered within quotas.
    """
    s = fleet.scenario
    taken = [r for r in history.reqs if not r.orphaned]
    counts = {
        "taken": len(taken),
        "passed": 0,
        "denied": 0,
        "aborted": 0,
        "unanswered": 0,
        "vanished": 0,
    }
    latency = HdrHistogram(1, 60_000, 3)  # 0.1 ms to 6 s, three significant digits
    worth = offered = beyond = 0.0
    for r in taken:
        offered += r.value if r.within_quota else 0.0
        if r.client_left:
            counts["vanished"] += 1
        elif not r.answer:
            counts["unanswered"] += 1
        else:
            counts[r.answer] += 1
        if r.answer == PASSED:
            latency.record_value(max(1, r.latency))
            if (
                r.within_quota
                and r.latency <= s.frontends[r.frontend].response_target_ms * TICKS_PER_MS
            ):
                worth += r.value
            elif not r.within_quota:  # served beyond the quota: a cost, in time or not
                beyond += r.value * s.plans[r.plan].excess_cost
    plans = []
    for n, p in enumerate(s.plans):
        plan_requests = [r for r in taken if r.plan == n]
        plans.append(
            {
                "plan": p.name,
                "quota_per_s": p.rate * p.customers,
                "asked_per_s": len(plan_requests) / s.seconds,
                "passed_per_s": sum(r.answer == PASSED for r in plan_requests) / s.seconds,
                "denied_inside": sum(r.answer == DENIED and r.within_quota for r in plan_requests),
                "passed_beyond": sum(
                    r.answer == PASSED and not r.within_quota for r in plan_requests
                ),
            }
        )
    g = (worth - beyond) / offered if offered else 0.0
    return {
        "policy": "",
        "counts": counts,
        "G": round(g, 6),
        "denied_share": round(counts["denied"] / max(1, counts["taken"]), 6),
        "beyond_quota_worth": round(beyond / offered if offered else 0.0, 6),
        "latency_ms": {
            f"p{q}": latency.get_value_at_percentile(q) / TICKS_PER_MS for q in (50, 90, 99, 99.9)
        },
        "queue_found": {
            f"p{q}": fleet.queue_positions.get_value_at_percentile(q) - 1
            for q in (50, 90, 99, 99.9)
        },
        "plans": plans,
        "rules": {str(rule): n for rule, n in verdict.by_rule().items()},
        "breaks": [msgspec.to_builtins(b) for b in verdict.first()],
        "policy_crashes": len(history.errors),
        "crashes": [f"limiter {lim}: {error}" for lim, error in history.errors[:5]],
        "held": verdict.rules_kept and not history.errors,
        "falls": len(history.overload_crashes),
        "log_lines": fleet.log_lines,
    }


def run(
    scenario: sc.Scenario,
    seed: int | None = None,
    progress: Callable[[str, float], None] | None = None,
) -> dict:
    """Runs the scenario's policy and each baseline with the same seed, and returns the report.

    Args:
        scenario: The scenario.
        seed: Seed of the random numbers; None for the scenario's own.
        progress: Called with the policy and the simulated time in seconds, once per such second.
    """
    seed = scenario.seed if seed is None else seed
    runs: dict[str, PolicyRun] = {}
    for policy in policies(scenario):
        tick = (lambda s, p=policy: progress(p, s)) if progress else None
        runs[policy] = run_policy(scenario, policy, seed, tick=tick)
    main = runs[scenario.policy]
    oracle = runs.get("oracle")
    report = {
        "scenario": scenario.name,
        "seed": seed,
        "limiters": scenario.fleet.limiters,
        "servers": scenario.fleet.servers,
        "seconds": scenario.seconds,
        "policy": scenario.policy,
        "held": main.summary["held"],
        "G_over_oracle": round(main.summary["G"] / oracle.summary["G"], 6)
        if oracle and oracle.summary["G"]
        else None,
        "runs": {},
        "series": {},
    }
    for name, policy_run in runs.items():
        policy_run.summary["policy"] = name
        report["runs"][name] = policy_run.summary
        report["series"][name] = {
            "seconds": policy_run.history.seconds,
            "admitted": policy_run.history.admitted,
            "load": policy_run.history.load,
        }
    report["digest"] = digest(report)
    report["wall_s"] = {name: round(p.wall_s, 3) for name, p in runs.items()}
    report["events"] = {name: p.events for name, p in runs.items()}
    report["events_per_s"] = {
        name: round(p.events / max(p.wall_s, 1e-9)) for name, p in runs.items()
    }
    return report


def policies(scenario: sc.Scenario) -> list[str]:
    """Returns the policies of a run in order: the scenario's own, then its baselines, each once."""
    return list(dict.fromkeys([scenario.policy, *scenario.baselines]))


def digest(report: dict) -> str:
    """Returns the SHA-256 of the report's canonical JSON without wall times."""
    kept = {k: v for k, v in report.items() if k not in ("digest", "wall_s", "events_per_s")}
    return hashlib.sha256(msgspec.json.encode(kept, order="sorted")).hexdigest()


def parse_sweep(text: str) -> tuple[str, list[object]]:
    """Parses `key=v1,v2,...` into the key and its values: int, float or str.

    Raises:
        ScenarioError: The text has no key or no value.
    """
    key, sep, values_text = text.partition("=")
    if not sep or not key or not values_text:
        raise sc.ScenarioError(f"--set '{text}': wanted KEY=V1,V2,...")
    values: list[object] = []
    for v in values_text.split(","):
        try:
            values.append(int(v))
        except ValueError:
            try:
                values.append(float(v))
            except ValueError:
                values.append(v)
    return key, values


def _run_point(args: tuple[dict, dict, int | None]) -> dict:
    table, sets, seed = args
    return run(sc.from_table(sc.with_values(table, sets)), seed)


def sweep(
    table: dict, key: str, swept_values: list[object], seed: int | None, workers: int
) -> list[dict]:
    """Runs the scenario once per value of `key`, in up to `workers` processes; returns the reports.

    Raises:
        ScenarioError: A value is not valid for the key; checked before the first run.
    """
    points = [(table, {key: v}, seed) for v in swept_values]
    for _, sets, _ in points:
        sc.from_table(sc.with_values(table, sets))  # rejects an invalid value before the first run
    if workers <= 1 or len(points) == 1:
        return [_run_point(p) for p in points]
    with ProcessPoolExecutor(max_workers=min(workers, len(points))) as pool:
        return list(pool.map(_run_point, points))
