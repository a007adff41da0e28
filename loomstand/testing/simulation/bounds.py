"""Compares the `History` of a simulated day with the bounds of the rules, without I/O.

Times are seconds on the virtual clock; limiters and core machines are named by their addresses. A
limiter is *in touch* once its own faults and those of the core ended at least `contact` ago
(RULES).
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from itertools import zip_longest
from math import inf

from loomstand.config.settings import RuleBounds

CORE = "core"  # kind of a fault of the core, which affects every limiter
SMALL_QUOTA_REQUESTS = 60  # a window; below, leeway is mostly `quota_slack`: 6 of 26


@dataclass(slots=True, frozen=True)
class FaultSpan:
    """A fault of these machines from its begin to its end. `core`: a fault of the core, which
    affects every limiter; `majority_connected`: more than half of the core ran and was connected
    all the time. `kind` is cut, started, slow or core, and groups the figures of limiters by their
    last fault.
    """

    kind: str
    description: str
    hosts: frozenset[str]
    begun: float
    ended: float = inf
    core: bool = False
    majority_connected: bool = True


@dataclass(slots=True, frozen=True)
class AppliedChange:
    """A change applied at a limiter, by its process of that number. With `server` "" the
    configuration version `value` came into force; else the limiter began (`value` 1) or ended (0)
    to use that server.
    """

    at: float
    host: str
    process_number: int
    server: str
    value: int


@dataclass(slots=True, frozen=True)
class ConfigurationChange:
    """A version of the configuration. `acked` is inf where no acknowledgement came; `quotas` by
    tenant: rate in requests a second and burst.
    """

    version: int
    sent: float
    acked: float
    quotas: Mapping[str, tuple[float, float]]


@dataclass(slots=True, frozen=True)
class Drain:
    """A drain of a server that the core machine `by` acknowledged. The server exits at `left`;
    limiters that list it later break no rule.
    """

    server: str
    acked: float
    by: str
    left: float = inf


@dataclass(slots=True, frozen=True)
class Arrival:
    """The arrival at a server of a request that a client had sent to the limiter `front`; `ran`:
    the server ran it and didn't reject it.
    """

    id: str
    tenant: str
    service: str
    server: str
    front: str
    sent: float
    at: float
    ran: bool = True


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
    # (from, to): no store served as primary
    primary_gaps: list[tuple[float, float]] = field(default_factory=list)
    # observations of two counting registries
    double_counting_times: list[float] = field(default_factory=list)
    # rules broken that hold in every run, from the request log
    violations: list[str] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Figure:
    """The worst measurement of one kind in a day: `value` and the bound `allowed` at that time
    (inf: no bound). `many` is the number of measurements, `broken` that of those over their bound.
    """

    name: str
    value: float
    allowed: float
    at: float
    who: str
    many: int
    broken: int


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
    twins = WorstFigure("moments with two counters")
    twins.add(
        len(history.double_counting_times),
        0,
        next(iter(history.double_counting_times), history.begun),
        "",
    )
    faults = WorstFigure("rules broken by any answer")
    faults.add(len(history.violations), 0, history.begun, "; ".join(history.violations[:3]))
    return figures + twins.figure() + faults.figure()


# --- quotas


def quota(history: History, bounds: RuleBounds) -> list[Figure]:
    """QUOTA. The value is the used share of the leeway: 0 at rate x window + burst, 1 at the
    bound. Small quotas are a figure of their own, as most of their leeway is slack.
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
    versions = [*in_force(history, bounds)]
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
            most = max(limits, default=inf)
            if most < inf:
                leeway = bounds.quota_overshoot * most + bounds.quota_slack
                allowed = f"{most + leeway:.1f} are allowed"
                subject = f"{tenant}: {count} where {allowed} and {most:.0f} the quota"
                (large if most >= SMALL_QUOTA_REQUESTS else small).add(
                    (count - most) / leeway, 1.0, start, subject
                )
    return large.figure() + small.figure()


def in_force(
    history: History, bounds: RuleBounds
) -> Iterator[tuple[float, float, Mapping[str, tuple[float, float]]]]:
    """Yields the time span of each version in which a window may begin under its quotas. A version
    may be in force once it is sent; it is superseded when all limiters were in touch for
    `configuration_apply` after a higher one was acknowledged.
    """
    until = inf
    for change in sorted(history.changes, key=lambda c: -c.version):
        yield change.sent, until, change.quotas
        if change.acked < inf:
            until = min(until, bound_from(history, change.acked, bounds))


def bound_from(history: History, acked: float, bounds: RuleBounds) -> float:
    """Returns when all limiters have been in touch for `configuration_apply` after `acked`."""
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
    """Returns the fault of a limiter or the core that ended last, among those active within
    `contact` before `since` or until `until`.
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
    """Propagation delays of one kind of change, by the last fault of the limiter."""

    def __init__(self, name: str, within: float, history: History, bounds: RuleBounds) -> None:
        self.name, self.within, self.history, self.bounds = name, within, history, bounds
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
        kind, since, limit = "connected", acked, acked + self.within
        if span is not None:
            kind, since = span.kind, max(acked, span.ended)
            limit = max(limit, span.ended + self.bounds.contact_seconds)
        if span is not None and span.kind == CORE and span.majority_connected:
            limit = min(limit, acked + self.within + self.bounds.stretch_limit_seconds)
            # the stretch limit holds for faults of the core: a limiter that was cut off itself has
            # `contact` from the end of its own fault
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
    applied_changes: Iterable[AppliedChange], server: bool
) -> dict[str, list[AppliedChange]]:
    """Groups changes by limiter, in order of time: of servers if `server`, else of versions."""
    by_host: dict[str, list[AppliedChange]] = {}
    for applied in applied_changes:
        if bool(applied.server) is server:
            by_host.setdefault(applied.host, []).append(applied)
    return by_host


def configuration_propagation(history: History, bounds: RuleBounds) -> list[Figure]:
    """CONFIG: from the acknowledgement of a version until it or a later one is in force at each
    limiter. A limiter that starts must also apply what was acknowledged before.
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
            before = [c for c in history.changes if c.acked <= start]
            if before:
                newest = max(before, key=lambda c: c.version)
                later = [w for w in host_changes if w.at >= start]
                # where another fault ended earlier, the process started within this span
                within = [
                    w for w in host_changes if begun < w.at < start and w.value >= newest.version
                ]
                if within and all(w.process_number == within[-1].process_number for w in later):
                    later = [replace(within[-1], at=start)]
                applied_at = min(
                    (w.at for w in later if w.value >= newest.version), default=history.ended
                )
                delays.add(host, start, applied_at, f"r{newest.version}")
    return delays.figures()


def first_applied_at(
    host_changes: list[AppliedChange], change: ConfigurationChange, ended: float
) -> float:
    """Returns when a limiter first applied that version or a later one; later processes are
    measured from their starts.
    """
    return min((w.at for w in host_changes if w.value >= change.version), default=ended)


def drains(history: History, bounds: RuleBounds) -> list[Figure]:
    """DRAIN at the limiters: from the acknowledgement until each has ended to use the server."""
    delays = PropagationDelays("drain known", bounds.drain_seconds, history, bounds)
    changes = changes_by_host(history.applied_changes, True)
    for drain in history.drains:
        unbounded = is_acknowledged_by_disturbed_core(history, drain, bounds)
        for host in history.limiters:
            host_changes = [w for w in changes.get(host, []) if w.server == drain.server]
            applied_at = drain.acked if any(w.at <= drain.acked for w in host_changes) else -inf
            for applied, after in zip_longest(host_changes, host_changes[1:]):
                # in use until the next change, the end of the process, or the end of the day
                if applied.value:
                    until = after.at if after is not None else history.ended
                    applied_at = max(applied_at, min(until, process_end(history, host, applied.at)))
            if applied_at > -inf:
                applied_at = min(drain.left, max(applied_at, drain.acked))
                delays.add(host, drain.acked, applied_at, drain.server, unbounded)
    return delays.figures()


def process_end(history: History, host: str, at: float) -> float:
    """Returns when the process of a limiter that ran at that time ended."""
    ends = [
        s.begun for s in history.spans if s.kind == "started" and host in s.hosts and s.begun >= at
    ]
    return min(ends, default=history.ended)


def is_acknowledged_by_disturbed_core(history: History, drain: Drain, bounds: RuleBounds) -> bool:
    """Returns whether the core machine that acknowledged a drain was out of touch: then no bound
    holds for it.
    """
    return any(
        s.core and drain.by in s.hosts and s.begun <= drain.acked < s.ended + bounds.contact_seconds
        for s in history.spans
    )


def arrivals_after_drain(history: History, bounds: RuleBounds) -> list[Figure]:
    """DRAIN at the servers: requests that arrive after the drain was acknowledged."""
    delays = PropagationDelays("arrival after a drain", bounds.drain_seconds, history, bounds)
    drained = {drain.server: drain for drain in history.drains}
    for run in history.arrivals:
        drain = drained.get(run.server)
        if drain is None or run.at <= drain.acked:
            continue
        # requests held by a link or a frozen process aren't late (Held up)
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


# --- the rest


def budget(history: History, bounds: RuleBounds) -> list[Figure]:
    """BUDGET. The value is the share of `budget_slack` that retries used beyond the retry ratio."""
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
    """Acks: seconds from the sending of a change to its acknowledgement, without faults from
    `contact` before until it, or until `acknowledge` after the sending if none came.
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
    """The longest time without a serving primary; counted from the end of faults that left no
    connected majority of the core.
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
