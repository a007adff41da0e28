"""What a day showed, put beside what the rules allow. Pure: a `History` in, `Figure`s out.

Times are seconds on the day's clock; limiters and core machines are named by their addresses. A
limiter is
*in touch* once all trouble of its own and of the core is `contact` past (RULES).
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from itertools import zip_longest
from math import inf

from loomstand.config.settings import RuleBounds

CORE = "core"  # the kind of a pair that only trouble of the core touches
SMALL_QUOTA_REQUESTS = (
    60  # requests a window, under which a quota's leeway is mostly `quota_slack`: 6 of 26
)


@dataclass(slots=True, frozen=True)
class FaultSpan:
    """Trouble from its beginning to its end, on these machines. `core`: it unsettles the core, and
    so touches every limiter; `most`: more than half of the core ran and was connected through it.
    `kind` is cut, started, slow or core: what a limiter is called whose last trouble it was.
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
    """A limiter changed what it goes by, in its life of that number. `server` is "" where it is a
    version that came into force, else that server's use began (`value` 1) or ended (0).
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
    """A server's end that was acknowledged, by the core machine `by`; from `left` on it is gone,
    and who still lists it breaks nothing.
    """

    server: str
    acked: float
    by: str
    left: float = inf


@dataclass(slots=True, frozen=True)
class Arrival:
    """An arrival at a server of a request that a client had sent to the limiter `front`; `ran`: not
    turned away.
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
    """All that the gauges need of a day."""

    limiters: list[str]
    begun: float = 0.0
    ended: float = 0.0
    spans: list[FaultSpan] = field(default_factory=list)
    applied_changes: list[AppliedChange] = field(default_factory=list)
    changes: list[ConfigurationChange] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    # by service: when clients sent requests
    request_times: dict[str, list[float]] = field(default_factory=dict)
    # from, to: no serving primary
    primary_gaps: list[tuple[float, float]] = field(default_factory=list)
    double_counting_times: list[float] = field(
        default_factory=list
    )  # looks that found two registries counting
    # rules broken whatever the day (the people's book)
    violations: list[str] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Figure:
    """The worst of one kind in a day: `value` beside the `allowed` of that very moment (inf: none
    is set), of `many`; `broken` of them were over theirs.
    """

    name: str
    value: float
    allowed: float
    at: float
    who: str
    many: int
    broken: int


class WorstFigure:
    """Gathers one figure."""

    def __init__(self, name: str) -> None:
        self.name, self.many, self.broken = name, 0, 0
        self.worst: tuple[float, float, float, str] | None = None

    def add(self, value: float, allowed: float, at: float, who: str) -> None:
        self.many += 1
        self.broken += value > allowed + 1e-9
        if self.worst is None or value > self.worst[0]:
            self.worst = value, allowed, at, who

    def figure(self) -> list[Figure]:
        return [Figure(self.name, *self.worst, self.many, self.broken)] if self.worst else []


def evaluate(history: History, bounds: RuleBounds) -> list[Figure]:
    """The day's figures, in a fixed order; one that nothing was seen of is left out."""
    out = quota(history, bounds)
    out += (
        configuration_propagation(history, bounds)
        + drains(history, bounds)
        + arrivals_after_drain(history, bounds)
    )
    out += (
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
    return out + twins.figure() + faults.figure()


# --- quotas


def quota(history: History, bounds: RuleBounds) -> list[Figure]:
    """QUOTA. The value is the share of the leeway used: 0 at rate x window + burst, 1 at the
    allowed. Of small quotas most is slack, so they are a figure of their own.
    """
    large, small = (
        WorstFigure("quota: share of the leeway used"),
        WorstFigure("quota, small: share of the leeway used"),
    )
    window = bounds.quota_window_seconds
    first: dict[str, Arrival] = {}
    for run in history.arrivals:
        if run.ran and run.tenant and run.id not in first:
            first[run.id] = run
    by_tenant: dict[str, list[Arrival]] = {}
    for run in first.values():
        if run.at - run.sent <= window:  # any other is in no window: it is both sent and run in it
            by_tenant.setdefault(run.tenant, []).append(run)
    versions = [*in_force(history, bounds)]
    for tenant, runs in by_tenant.items():
        sent, came = sorted(r.sent for r in runs), sorted(r.at for r in runs)
        for start in sent:
            count = bisect_right(came, start + window) - bisect_left(sent, start)
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
                who = f"{tenant}: {count} where {allowed} and {most:.0f} the quota"
                (large if most >= SMALL_QUOTA_REQUESTS else small).add(
                    (count - most) / leeway, 1.0, start, who
                )
    return large.figure() + small.figure()


def in_force(
    history: History, bounds: RuleBounds
) -> Iterator[tuple[float, float, Mapping[str, tuple[float, float]]]]:
    """Versions with the span in which a window may begin that still has their quotas. A version may
    be in force once it is sent; a higher one binds when all limiters were in touch for
    `configuration_apply`.
    """
    until = inf
    for change in sorted(history.changes, key=lambda c: -c.version):
        yield change.sent, until, change.quotas
        if change.acked < inf:
            until = min(until, bound_from(history, change.acked, bounds))


def bound_from(history: History, acked: float, bounds: RuleBounds) -> float:
    """When all limiters have been in touch for `configuration_apply` after that acknowledgement."""
    at = acked + bounds.configuration_apply_seconds
    calm = bounds.configuration_apply_seconds + bounds.contact_seconds
    for span in sorted(history.spans, key=lambda s: s.begun):
        if span.begun <= at and span.ended + calm > at:
            at = span.ended + calm
    return at


# --- news


def disturbing_span(
    history: History, host: str, since: float, until: float, bounds: RuleBounds
) -> FaultSpan | None:
    """The trouble of a limiter, or of the core, that ended last among those within `contact` of a
    span.
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
    """Delays of one kind of news, by what befell the limiters that it was for."""

    def __init__(self, name: str, within: float, history: History, bounds: RuleBounds) -> None:
        self.name, self.within, self.history, self.bounds = name, within, history, bounds
        self.kinds: dict[str, WorstFigure] = {}

    def add(self, host: str, acked: float, known: float, who: str, unbounded: bool = False) -> None:
        """News acknowledged at one time was in force at another. Where there was trouble the delay
        counts from the end of that. `free`: no bound holds, as whoever acknowledged it was in
        trouble.
        """
        span = disturbing_span(self.history, host, acked, known, self.bounds)
        if span is not None and span.ended >= known > acked:
            return  # still in it, whatever it went by
        kind, since, limit = "connected", acked, acked + self.within
        if span is not None:
            kind, since = span.kind, max(acked, span.ended)
            limit = max(limit, span.ended + self.bounds.contact_seconds)
        if span is not None and span.kind == CORE and span.majority_connected:
            limit = min(limit, acked + self.within + self.bounds.stretch_limit_seconds)
            # the stretch is the core's: one that was cut off until just now has its own time
            near = (
                s for s in self.history.spans if not s.core and host in s.hosts and s.begun <= known
            )
            limit = max(
                [limit, *(s.ended + self.bounds.contact_seconds for s in near if s.ended < known)]
            )
        worst = self.kinds.setdefault(kind, WorstFigure(f"{self.name}, {kind}"))
        worst.add(
            max(0.0, known - since),
            inf if unbounded else max(0.0, limit - since),
            since,
            f"{who} at {host}",
        )

    def figures(self) -> list[Figure]:
        return [figure for kind in sorted(self.kinds) for figure in self.kinds[kind].figure()]


def changes_by_host(told: Iterable[AppliedChange], server: bool) -> dict[str, list[AppliedChange]]:
    """By limiter, in the order of time: versions, or the use of servers."""
    out: dict[str, list[AppliedChange]] = {}
    for applied in told:
        if bool(applied.server) is server:
            out.setdefault(applied.host, []).append(applied)
    return out


def configuration_propagation(history: History, bounds: RuleBounds) -> list[Figure]:
    """CONFIG: from the acknowledgement of a version to its force, or that of a later one, at each
    limiter. One that starts must have what was acknowledged before too.
    """
    found = PropagationDelays(
        "version in force", bounds.configuration_apply_seconds, history, bounds
    )
    changes = changes_by_host(history.applied_changes, False)
    for host in history.limiters:
        mine = changes.get(host, [])
        for change in history.changes:
            if change.acked < inf:
                known = first_applied_at(mine, change, history.ended)
                found.add(host, change.acked, known, f"r{change.version}")
        starts = [
            s for s in history.spans if s.kind == "started" and host in s.hosts and s.ended < inf
        ]
        for begun, start in [(s.begun, s.ended) for s in starts]:
            before = [c for c in history.changes if c.acked <= start]
            if before:
                newest = max(before, key=lambda c: c.version)
                later = [w for w in mine if w.at >= start]
                # where other trouble ended sooner, its life began within the span
                within = [w for w in mine if begun < w.at < start and w.value >= newest.version]
                if within and all(w.process_number == within[-1].process_number for w in later):
                    later = [replace(within[-1], at=start)]
                known = min(
                    (w.at for w in later if w.value >= newest.version), default=history.ended
                )
                found.add(host, start, known, f"r{newest.version}")
    return found.figures()


def first_applied_at(mine: list[AppliedChange], change: ConfigurationChange, ended: float) -> float:
    """When a limiter first held that version or a later one; lives after that one are told of by
    their starts.
    """
    return min((w.at for w in mine if w.value >= change.version), default=ended)


def drains(history: History, bounds: RuleBounds) -> list[Figure]:
    """DRAIN, as the limiters know of it: from the acknowledgement to the end of a server's use at
    each.
    """
    found = PropagationDelays("drain known", bounds.drain_seconds, history, bounds)
    changes = changes_by_host(history.applied_changes, True)
    for drain in history.drains:
        unbounded = is_acknowledged_by_disturbed_core(history, drain, bounds)
        for host in history.limiters:
            mine = [w for w in changes.get(host, []) if w.server == drain.server]
            known = drain.acked if any(w.at <= drain.acked for w in mine) else -inf
            for applied, after in zip_longest(mine, mine[1:]):
                if applied.value:  # in use until the next word, its life's end, or the day's
                    until = after.at if after is not None else history.ended
                    known = max(known, min(until, process_end(history, host, applied.at)))
            if known > -inf:
                known = min(drain.left, max(known, drain.acked))
                found.add(host, drain.acked, known, drain.server, unbounded)
    return found.figures()


def process_end(history: History, host: str, at: float) -> float:
    """When the life of a limiter ended that was on at that time."""
    ends = [
        s.begun for s in history.spans if s.kind == "started" and host in s.hosts and s.begun >= at
    ]
    return min(ends, default=history.ended)


def is_acknowledged_by_disturbed_core(history: History, drain: Drain, bounds: RuleBounds) -> bool:
    """Whether the core machine that acknowledged a drain was out of touch: then it binds nobody."""
    return any(
        s.core and drain.by in s.hosts and s.begun <= drain.acked < s.ended + bounds.contact_seconds
        for s in history.spans
    )


def arrivals_after_drain(history: History, bounds: RuleBounds) -> list[Figure]:
    """DRAIN, as servers see it: what arrives at one after its drain was acknowledged."""
    found = PropagationDelays("arrival after a drain", bounds.drain_seconds, history, bounds)
    drained = {drain.server: drain for drain in history.drains}
    for run in history.arrivals:
        drain = drained.get(run.server)
        if drain is None or run.at <= drain.acked:
            continue
        # what a link held up, or a process that was frozen, isn't late (Held up)
        held = any(
            run.front in s.hosts and s.begun <= run.at < s.ended + bounds.contact_seconds
            for s in history.spans
        )
        found.add(
            run.front,
            drain.acked,
            run.at,
            f"{run.id} for {run.server}",
            held or is_acknowledged_by_disturbed_core(history, drain, bounds),
        )
    return found.figures()


# --- the rest


def budget(history: History, bounds: RuleBounds) -> list[Figure]:
    """BUDGET. The value is the share of `budget_slack` that further tries took beyond the ratio's
    part.
    """
    worst, window = (
        WorstFigure("further tries: share of the slack used"),
        bounds.budget_window_seconds,
    )
    seen: set[str] = set()
    again: dict[str, list[float]] = {}
    for run in sorted(history.arrivals, key=lambda r: r.at):
        if run.id in seen:
            again.setdefault(run.service, []).append(run.at)
        seen.add(run.id)
    for service, at in again.items():
        asked = sorted(history.request_times.get(service, []))
        for n, start in enumerate(at):
            count = bisect_right(at, start + window) - n
            spans = [start, start - window, start - window / 2]
            base = max(bisect_right(asked, s + window) - bisect_left(asked, s) for s in spans)
            over = (count - bounds.retry_budget_ratio * base) / bounds.budget_slack
            worst.add(over, 1.0, start, f"{service}: {count} beside {base} requests")
    return worst.figure()


def acknowledgement_times(history: History, bounds: RuleBounds) -> list[Figure]:
    """Acks: how long a change took that was sent and acknowledged with no trouble near, or
    `acknowledge` past where none came.
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
    """Spans without a serving primary; those in which half of the core was gone count from their
    end.
    """
    worst = WorstFigure("without a serving primary")
    for since, until in history.primary_gaps:
        gone = [
            s.ended
            for s in history.spans
            if not s.majority_connected and s.begun <= until and s.ended > since
        ]
        worst.add(max(0.0, until - max([since, *gone])), inf, since, "")
    return worst.figure()
