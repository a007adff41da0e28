"""Compares the `History` of a simulated day with the bounds of the rules, without I/O.

Times are seconds on the virtual clock. A limiter is a machine that runs a proxy; limiters and core
machines are named by their addresses. Bounds such as `contact` are fields of `RuleBounds`. A
limiter is *in touch* once its own faults and those of the core ended at least `contact` ago
(RULES.md).
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from itertools import zip_longest
from math import inf

from loomstand.config.settings import RuleBounds

CORE = "core"  # kind of a fault of the core, which affects every limiter
# Requests per window, rate x window + burst. The leeway of a smaller quota is mostly `quota_slack`:
# of a quota of 60, it is 20 of 26 requests.
SMALL_QUOTA_REQUESTS = 60


@dataclass(slots=True, frozen=True)
class FaultSpan:
    """A fault of some machines and the time for which it lasted."""

    kind: str  # cut, started, slow or core; groups the figures of limiters by their last fault
    description: str
    hosts: frozenset[str]
    begun: float
    ended: float = inf
    core: bool = False  # a fault of the core, which affects every limiter
    majority_connected: bool = True  # more than half of the core ran and was connected throughout


@dataclass(slots=True, frozen=True)
class AppliedChange:
    """A change that a limiter applied: to the configuration version, or to its use of a server."""

    at: float
    host: str
    process_number: int  # number of the limiter's process, unique among all starts of all limiters
    server: str  # instance id; empty for a change of the version
    value: int  # the version; with a server 1 if the limiter uses it from now on, else 0


@dataclass(slots=True, frozen=True)
class ConfigurationChange:
    """A version of the configuration that an operator sent."""

    version: int
    sent: float
    acked: float  # inf if no acknowledgement came
    quotas: Mapping[str, tuple[float, float]]  # by tenant: rate in requests a second, and burst


@dataclass(slots=True, frozen=True)
class Drain:
    """An acknowledged drain of a server."""

    server: str
    acked: float
    acked_by: str  # the core machine that acknowledged it
    # time at which the server exits; a limiter that still lists it afterwards violates no rule
    exits_at: float = inf


@dataclass(slots=True, frozen=True)
class Arrival:
    """The arrival of a client's request at a server."""

    id: str
    tenant: str
    service: str
    server: str
    front: str  # the limiter that the client sent it to
    sent: float  # time at which the client sent it
    at: float
    ran: bool = True  # the server ran it; otherwise it rejected it


@dataclass(slots=True)
class History:
    """The observations of a day that the figures are computed from."""

    limiters: list[str]
    begun: float = 0.0
    ended: float = 0.0
    spans: list[FaultSpan] = field(default_factory=list)
    applied_changes: list[AppliedChange] = field(default_factory=list)
    changes: list[ConfigurationChange] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    # by service: times at which clients sent requests
    request_times: dict[str, list[float]] = field(default_factory=dict)
    # (from, to): times in which no store served as primary
    primary_gaps: list[tuple[float, float]] = field(default_factory=list)
    # times at which two registries were counting
    double_counting_times: list[float] = field(default_factory=list)
    # violations of the rules that hold in every run, from the request log
    violations: list[str] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Figure:
    """The worst measurement of one kind in a day."""

    name: str
    value: float
    allowed: float  # the bound of this measurement; inf for none
    at: float
    who: str  # what was measured, for example a tenant, or a change at a limiter
    many: int  # number of measurements
    broken: int  # number of measurements over their bounds


class WorstFigure:
    """Collects the measurements of one figure."""

    def __init__(self, name: str) -> None:
        self.name, self.many, self.broken = name, 0, 0
        self.worst: tuple[float, float, float, str] | None = None

    def add(self, value: float, allowed: float, at: float, subject: str) -> None:
        """Adds a measurement of `subject` at a time and the bound that was `allowed` then."""
        self.many += 1
        self.broken += value > allowed + 1e-9
        if self.worst is None or value > self.worst[0]:
            self.worst = value, allowed, at, subject

    def figure(self) -> list[Figure]:
        """Returns the worst measurement as a figure; empty without measurements."""
        return [Figure(self.name, *self.worst, self.many, self.broken)] if self.worst else []


def evaluate(history: History, bounds: RuleBounds) -> list[Figure]:
    """Returns the figures of a day in a fixed order; figures without measurements are left out."""
    figures = quota(history, bounds)
    figures += (
        configuration_propagation(history, bounds)
        + drains(history, bounds)
        + arrivals_after_drain(history, bounds)
    )
    figures += (
        budget(history, bounds)
        + acknowledgement_times(history, bounds)
        + longest_without_primary(history)
    )
    double_counting = WorstFigure("moments with two counters")
    double_counting.add(
        len(history.double_counting_times),
        0,
        next(iter(history.double_counting_times), history.begun),
        "",
    )
    violations = WorstFigure("rules broken by any answer")
    violations.add(len(history.violations), 0, history.begun, "; ".join(history.violations[:3]))
    return figures + double_counting.figure() + violations.figure()


# --- quotas


def quota(history: History, bounds: RuleBounds) -> list[Figure]:
    """Rule QUOTA: the share of the leeway that tenants used, 0 at rate x window + burst, 1 at the
    bound. Small quotas have a figure of their own, as most of their leeway is slack.
    """
    large, small = (
        WorstFigure("quota: share of the leeway used"),
        WorstFigure("quota, small: share of the leeway used"),
    )
    window = bounds.quota_window_seconds
    first_runs: dict[str, Arrival] = {}
    for run in history.arrivals:
        if run.ran and run.tenant and run.id not in first_runs:
            first_runs[run.id] = run
    by_tenant: dict[str, list[Arrival]] = {}
    for run in first_runs.values():
        # counted only in a window that contains both its sending and its arrival
        if run.at - run.sent <= window:
            by_tenant.setdefault(run.tenant, []).append(run)
    versions = [*versions_in_force(history, bounds)]
    for tenant, runs in by_tenant.items():
        sent, arrived_at = sorted(r.sent for r in runs), sorted(r.at for r in runs)
        for start in sent:
            count = bisect_right(arrived_at, start + window) - bisect_left(sent, start)
            limits = [
                rate * window + burst if rate else inf
                for since, until, quotas in versions
                if since <= start + window and start < until
                for rate, burst in [quotas.get(tenant, (0.0, 0.0))]
            ]
            limit = max(limits, default=inf)
            if limit < inf:
                leeway = bounds.quota_overshoot * limit + bounds.quota_slack
                allowed = f"{limit + leeway:.1f} are allowed"
                subject = f"{tenant}: {count} where {allowed} and {limit:.0f} the quota"
                (large if limit >= SMALL_QUOTA_REQUESTS else small).add(
                    (count - limit) / leeway, 1.0, start, subject
                )
    return large.figure() + small.figure()


def versions_in_force(
    history: History, bounds: RuleBounds
) -> Iterator[tuple[float, float, Mapping[str, tuple[float, float]]]]:
    """Yields, for each version, the span of time in which it may be in force, and its quotas.

    A version may be in force once it is sent. It is superseded when all limiters have been in touch
    for `configuration_apply` after a higher version was acknowledged.
    """
    until = inf
    for change in sorted(history.changes, key=lambda c: -c.version):
        yield change.sent, until, change.quotas
        if change.acked < inf:
            until = min(until, applied_everywhere_at(history, change.acked, bounds))


def applied_everywhere_at(history: History, acked: float, bounds: RuleBounds) -> float:
    """Returns the first time at which all limiters have been in touch for `configuration_apply`
    after `acked`.
    """
    at = acked + bounds.configuration_apply_seconds
    calm = bounds.configuration_apply_seconds + bounds.contact_seconds
    for span in sorted(history.spans, key=lambda s: s.begun):
        if span.begun <= at and span.ended + calm > at:
            at = span.ended + calm
    return at


# --- propagation of changes


def disturbing_span(
    history: History, host: str, since: float, until: float, bounds: RuleBounds
) -> FaultSpan | None:
    """Returns the fault of a limiter or the core that ended last, among those that were active
    between `contact` before `since` and `until`.
    """
    near = [
        s
        for s in history.spans
        if (s.core or host in s.hosts)
        and s.begun <= until
        and s.ended + bounds.contact_seconds > since
    ]
    return max(near, key=lambda s: (s.ended, s.kind != CORE), default=None)


class PropagationDelays:
    """Propagation delays of one kind of change, by the kind of the last fault of the limiter.

    `bound_seconds` is the longest delay that is allowed without faults.
    """

    def __init__(
        self, name: str, bound_seconds: float, history: History, bounds: RuleBounds
    ) -> None:
        self.name, self.bound_seconds, self.history, self.bounds = (
            name,
            bound_seconds,
            history,
            bounds,
        )
        self.kinds: dict[str, WorstFigure] = {}

    def add(
        self, host: str, acked: float, applied_at: float, subject: str, unbounded: bool = False
    ) -> None:
        """Adds a change that was acknowledged at `acked` and applied at `applied_at`.

        After a fault the delay counts from its end. `unbounded`: no bound holds, as the core
        machine that acknowledged the change had a fault.
        """
        span = disturbing_span(self.history, host, acked, applied_at, self.bounds)
        if span is not None and span.ended >= applied_at > acked:
            return  # applied during the fault
        kind, since, limit = "connected", acked, acked + self.bound_seconds
        if span is not None:
            kind, since = span.kind, max(acked, span.ended)
            limit = max(limit, span.ended + self.bounds.contact_seconds)
        if span is not None and span.kind == CORE and span.majority_connected:
            limit = min(limit, acked + self.bound_seconds + self.bounds.stretch_limit_seconds)
            # the stretch limit only covers faults of the core: a limiter that had a fault of its
            # own has `contact` from the end of that fault
            near = (
                s
                for s in self.history.spans
                if not s.core and host in s.hosts and s.begun <= applied_at
            )
            limit = max(
                [
                    limit,
                    *(s.ended + self.bounds.contact_seconds for s in near if s.ended < applied_at),
                ]
            )
        worst = self.kinds.setdefault(kind, WorstFigure(f"{self.name}, {kind}"))
        worst.add(
            max(0.0, applied_at - since),
            inf if unbounded else max(0.0, limit - since),
            since,
            f"{subject} at {host}",
        )

    def figures(self) -> list[Figure]:
        """Returns the figure of each kind of fault, sorted by kind."""
        return [figure for kind in sorted(self.kinds) for figure in self.kinds[kind].figure()]


def changes_by_host(
    applied_changes: Iterable[AppliedChange], of_servers: bool
) -> dict[str, list[AppliedChange]]:
    """Groups changes by limiter, in order of time: those of servers with `of_servers`, else those
    of versions.
    """
    by_host: dict[str, list[AppliedChange]] = {}
    for applied in applied_changes:
        if bool(applied.server) is of_servers:
            by_host.setdefault(applied.host, []).append(applied)
    return by_host


def configuration_propagation(history: History, bounds: RuleBounds) -> list[Figure]:
    """Rule CONFIG: the time from the acknowledgement of a version until it or a later one is in
    force at each limiter. A limiter that starts must also apply the versions acknowledged before.
    """
    delays = PropagationDelays(
        "version in force", bounds.configuration_apply_seconds, history, bounds
    )
    changes = changes_by_host(history.applied_changes, False)
    for host in history.limiters:
        host_changes = changes.get(host, [])
        for change in history.changes:
            if change.acked < inf:
                applied_at = first_applied_at(host_changes, change, history.ended)
                delays.add(host, change.acked, applied_at, f"r{change.version}")
        starts = [
            s for s in history.spans if s.kind == "started" and host in s.hosts and s.ended < inf
        ]
        for begun, start in [(s.begun, s.ended) for s in starts]:
            acked_before = [c for c in history.changes if c.acked <= start]
            if acked_before:
                newest = max(acked_before, key=lambda c: c.version)
                later = [applied for applied in host_changes if applied.at >= start]
                # where another fault ended earlier, the process started within this span
                within = [
                    applied
                    for applied in host_changes
                    if begun < applied.at < start and applied.value >= newest.version
                ]
                if within and all(
                    applied.process_number == within[-1].process_number for applied in later
                ):
                    later = [replace(within[-1], at=start)]
                applied_at = min(
                    (applied.at for applied in later if applied.value >= newest.version),
                    default=history.ended,
                )
                delays.add(host, start, applied_at, f"r{newest.version}")
    return delays.figures()


def first_applied_at(
    host_changes: list[AppliedChange], change: ConfigurationChange, ended: float
) -> float:
    """Returns when a limiter first applied that version or a later one, in any of its processes;
    `ended` if it never did.
    """
    return min(
        (applied.at for applied in host_changes if applied.value >= change.version), default=ended
    )


def drains(history: History, bounds: RuleBounds) -> list[Figure]:
    """Rule DRAIN at limiters: the time from the acknowledgement of a drain until each limiter has
    stopped using the server.
    """
    delays = PropagationDelays("drain known", bounds.drain_seconds, history, bounds)
    changes = changes_by_host(history.applied_changes, True)
    for drain in history.drains:
        unbounded = is_acknowledged_by_disturbed_core(history, drain, bounds)
        for host in history.limiters:
            host_changes = [
                applied for applied in changes.get(host, []) if applied.server == drain.server
            ]
            was_known = any(applied.at <= drain.acked for applied in host_changes)
            applied_at = drain.acked if was_known else -inf
            for applied, next_change in zip_longest(host_changes, host_changes[1:]):
                # in use until the next change, the end of the process, or the end of the day
                if applied.value:
                    until = next_change.at if next_change is not None else history.ended
                    applied_at = max(applied_at, min(until, process_end(history, host, applied.at)))
            if applied_at > -inf:
                applied_at = min(drain.exits_at, max(applied_at, drain.acked))
                delays.add(host, drain.acked, applied_at, drain.server, unbounded)
    return delays.figures()


def process_end(history: History, host: str, at: float) -> float:
    """Returns when the process of a limiter that ran at that time ended."""
    ends = [
        s.begun for s in history.spans if s.kind == "started" and host in s.hosts and s.begun >= at
    ]
    return min(ends, default=history.ended)


def is_acknowledged_by_disturbed_core(history: History, drain: Drain, bounds: RuleBounds) -> bool:
    """Returns whether the core machine that acknowledged a drain had a fault then or up to
    `contact` before; no bound holds for such a drain.
    """
    return any(
        s.core
        and drain.acked_by in s.hosts
        and s.begun <= drain.acked < s.ended + bounds.contact_seconds
        for s in history.spans
    )


def arrivals_after_drain(history: History, bounds: RuleBounds) -> list[Figure]:
    """Rule DRAIN at servers: the arrivals of requests after the drain was acknowledged."""
    delays = PropagationDelays("arrival after a drain", bounds.drain_seconds, history, bounds)
    drained = {drain.server: drain for drain in history.drains}
    for run in history.arrivals:
        drain = drained.get(run.server)
        if drain is None or run.at <= drain.acked:
            continue
        # a request that a slow link or a frozen process delayed isn't late ("Held up" in RULES.md)
        delayed_by_fault = any(
            run.front in s.hosts and s.begun <= run.at < s.ended + bounds.contact_seconds
            for s in history.spans
        )
        delays.add(
            run.front,
            drain.acked,
            run.at,
            f"{run.id} for {run.server}",
            delayed_by_fault or is_acknowledged_by_disturbed_core(history, drain, bounds),
        )
    return delays.figures()


# --- retries, acknowledgements and primaries


def budget(history: History, bounds: RuleBounds) -> list[Figure]:
    """Rule BUDGET: the share of `budget_slack` that retries beyond the retry ratio used."""
    worst, window = (
        WorstFigure("further tries: share of the slack used"),
        bounds.budget_window_seconds,
    )
    seen_ids: set[str] = set()
    retry_times: dict[str, list[float]] = {}
    for run in sorted(history.arrivals, key=lambda r: r.at):
        if run.id in seen_ids:
            retry_times.setdefault(run.service, []).append(run.at)
        seen_ids.add(run.id)
    for service, at in retry_times.items():
        request_times = sorted(history.request_times.get(service, []))
        for n, start in enumerate(at):
            count = bisect_right(at, start + window) - n
            spans = [start, start - window, start - window / 2]
            base = max(
                bisect_right(request_times, s + window) - bisect_left(request_times, s)
                for s in spans
            )
            over = (count - bounds.retry_budget_ratio * base) / bounds.budget_slack
            worst.add(over, 1.0, start, f"{service}: {count} beside {base} requests")
    return worst.figure()


def acknowledgement_times(history: History, bounds: RuleBounds) -> list[Figure]:
    """The time from the sending of a change to its acknowledgement.

    Only changes without a fault are measured, from `contact` before the sending to the
    acknowledgement or, if none came, to `acknowledge` after the sending.
    """
    worst = WorstFigure("acknowledgement of a change in settled times")
    for change in history.changes:
        until = min(change.acked, change.sent + bounds.acknowledge_seconds)
        calm = all(
            s.ended + bounds.contact_seconds <= change.sent or s.begun > until
            for s in history.spans
        )
        if calm and change.sent >= history.begun:
            worst.add(
                min(change.acked, history.ended) - change.sent,
                bounds.acknowledge_seconds,
                change.sent,
                f"r{change.version}",
            )
    return worst.figure()


def longest_without_primary(history: History) -> list[Figure]:
    """The longest time without a serving primary.

    It counts from the end of faults during which no majority of the core was connected.
    """
    worst = WorstFigure("without a serving primary")
    for since, until in history.primary_gaps:
        fault_ends = [
            s.ended
            for s in history.spans
            if not s.majority_connected and s.begun <= until and s.ended > since
        ]
        worst.add(max(0.0, until - max([since, *fault_ends])), inf, since, "")
    return worst.figure()
