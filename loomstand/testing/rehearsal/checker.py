"""Checks the events recorded by drivers and stand-ins against the five rules and the bounds.

The rules are those of `loomstand/testing/emulator/checker.py` over the same History, which is built
here from the event logs. Further checks, possible only on sockets, find an answer that no server
produced, a request lost by a limiter that kept running, and a denial of a non-idempotent request
that ran. Where a fault delayed data, its delivery time is the time at which the data could pass: a
limiter can't react to data that a cut holds back.
"""

from __future__ import annotations

import re
from bisect import bisect_right
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from loomstand.testing.emulator import checker as rules
from loomstand.testing.emulator.checker import Verdict, Violation
from loomstand.testing.emulator.history import ABORTED, DENIED, PASSED, History, RequestRecord
from loomstand.testing.rehearsal.scenario import SHARED, Bound, Rehearsal, zone_of

TICKS_PER_SECOND = 10_000
TICKS_PER_MS = TICKS_PER_SECOND // 1000
SOCKET_SLACK_MS = 50  # PROTOCOL adds this to time limits on sockets
CEILING_SLACK_SECONDS = 0.15  # from PROTOCOL, see `SocketLimits`
# (Unix s, zone, old state, new state) of the log lines of the zone failover
ZONE_MOVES = re.compile(r": (\d+\.\d+): zone (\S+): (\w+) to (\w+)").findall
# from a command to a process until it has taken effect, when many processes share the machine
SETTLE_SECONDS = 0.25
NO_END = 1e18  # Unix s; end of a span that was still open at the end of the rehearsal


@dataclass(slots=True)
class RehearsalEvents:
    """All event logs of a rehearsal, and the spans and History derived from them.

    Attributes:
        rehearsal: The scenario.
        rows: Events by name in order of time, each [Unix s, ...].
        began: Time of the first traffic, Unix s.
        cuts: Spans (Unix s) in which a path was cut, by (from, to, direction); the direction is
            `forth` or `back`.
        running: Spans (Unix s) in which a process existed; under "stopped NAME" those in which it
            was stopped by SIGSTOP.
        history: The events as the rules read them; times in ticks since the first traffic.
        delayed: Attempts that a cut may have delayed, by request and attempt number, with the
            start of the cut in ticks, which is the earliest possible time of sending.
    """

    rehearsal: Rehearsal
    rows: dict[str, list[list]] = field(default_factory=dict)
    began: float = 0.0
    cuts: dict[tuple[str, str, str], list[tuple[float, float]]] = field(default_factory=dict)
    running: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    history: History = field(default_factory=History)
    delayed: dict[tuple[int, int], int] = field(default_factory=dict)

    def to_ticks(self, unix_seconds: float) -> int:
        """Converts a Unix time to ticks (0.1 ms) since the first traffic."""
        return round((unix_seconds - self.began) * TICKS_PER_SECOND)

    def rows_of(self, name: str) -> list[list]:
        """Returns the rows of all events of one name, in order of time."""
        return self.rows.get(name, [])

    def path(self, limiter: int, server: int) -> tuple[str, str]:
        """Returns the ends of the path from a limiter to a server."""
        return (SHARED if self.rehearsal.fleet.shared else f"l{limiter}", f"s{server}")

    def delivery_time(self, path: tuple[str, str], direction: str, unix_seconds: float) -> float:
        """The time at which data sent on a path could pass: at once, or at the end of a cut."""
        for since, until in self.cuts.get((*path, direction), ()):
            if since <= unix_seconds < until:
                return until
        return unix_seconds

    def disturbed(self, path: tuple[str, str], since: float, until: float) -> bool:
        """Whether a fault cut or reset this path within a span, in either direction."""
        spans = self.cuts.get((*path, "forth"), []) + self.cuts.get((*path, "back"), [])
        return any(
            cut_at < until and since < healed_at + SETTLE_SECONDS for cut_at, healed_at in spans
        ) or any(since - SETTLE_SECONDS < reset_at < until for reset_at in self.reset_times)

    @property
    def reset_times(self) -> list[float]:
        """Returns the Unix times of faults that reset connections."""
        return [row[0] for row in self.rows_of("fault") if row[2] in ("reset", "vanish")]

    def ran_throughout(self, name: str, since: float, until: float) -> bool:
        """Whether a process ran for a whole span, without a restart or SIGSTOP."""
        return any(a <= since and until <= b for a, b in self.running.get(name, ())) and not any(
            a < until and since < b for a, b in self.running.get(f"stopped {name}", ())
        )


def read(rehearsal: Rehearsal, out: Path) -> RehearsalEvents:
    """Reads the event logs in a rehearsal's folder, except rows that SIGKILL left incomplete."""
    events = RehearsalEvents(rehearsal)
    for path in sorted((out / "trail").glob("*.jsonl")):
        for line in path.read_bytes().splitlines():
            try:
                name, *row = msgspec.json.decode(line)
            except msgspec.DecodeError:
                continue
            events.rows.setdefault(name, []).append(row)
    for path in sorted((out / "log").glob("l[0-9]*")):
        for at, zone, old, new in ZONE_MOVES(path.read_text(errors="replace")):
            events.rows.setdefault("move", []).append([float(at), path.name, zone, old, new])
    for rows in events.rows.values():
        rows.sort(key=lambda row: row[0])
    events.began = events.rows_of("began")[0][0] if events.rows_of("began") else 0.0
    derive_spans(events)
    build_history(events)
    return events


def derive_spans(events: RehearsalEvents) -> None:
    """Derives the spans in which paths were cut, processes ran and processes were stopped."""
    open_cuts: dict[tuple[str, str, str], float] = {}
    for at, paths in events.rows_of("cut"):
        for a, b, directions in paths:
            for direction in ("forth", "back"):
                key = (a, b, direction)
                if direction in directions:
                    open_cuts.setdefault(key, at)
                elif key in open_cuts:
                    events.cuts.setdefault(key, []).append(
                        (open_cuts.pop(key), at + SETTLE_SECONDS)
                    )
    for key, since in open_cuts.items():
        events.cuts.setdefault(key, []).append((since, NO_END))
    up: dict[str, float] = {}
    for at, event, name in sorted(
        [(r[0], "up", r[1]) for r in events.rows_of("up")]
        + [(r[0], "down", r[1]) for r in events.rows_of("down")]
    ):
        if event == "up":
            up[name] = at
        elif name in up:
            events.running.setdefault(name, []).append((up.pop(name), at))
    for name, since in up.items():
        events.running.setdefault(name, []).append((since, NO_END))
    stopped: dict[str, float] = {}
    for at, name, on in events.rows_of("stopped"):
        if on:
            stopped[name] = at
        elif name in stopped:
            events.running.setdefault(f"stopped {name}", []).append(
                (stopped.pop(name), at + SETTLE_SECONDS)
            )
    for name, since in stopped.items():
        events.running.setdefault(f"stopped {name}", []).append((since, NO_END))


def build_history(events: RehearsalEvents) -> None:
    """Builds the History that the rules of the emulator read."""
    rehearsal, history = events.rehearsal, events.history
    zones = rehearsal.fleet.zones
    reqs: dict[int, RequestRecord] = {}
    for (
        at,
        req,
        limiter,
        customer,
        plan,
        frontend_index,
        timeout,
        within_quota,
        retry,
        zone,
    ) in events.rows_of("sent"):
        value, sent = rehearsal.frontends[frontend_index].value, events.to_ticks(at)
        row = RequestRecord(
            req,
            limiter,
            customer,
            plan,
            frontend_index,
            sent,
            sent + round(timeout * TICKS_PER_SECOND),
            1.0,
            value,
            within_quota,
            retry,
        )
        reqs[req] = row
        history.reqs.append(row)
        path, until = (f"clients:{zones[zone]}", f"l{limiter}"), at + timeout + 0.5
        # no answer is required if the limiter did not run all the time or was unreachable
        row.orphaned = not events.ran_throughout(f"l{limiter}", at, until) or events.disturbed(
            path, at, until
        )
    for at, req, status, body_matches in events.rows_of("got"):
        row = reqs[req]
        final = {200: PASSED, 429: DENIED, 503: DENIED, 0: "broken", -1: ""}.get(status, ABORTED)
        row.answer, row.answered_at = final, events.to_ticks(at)
        row.answer_count = 0 if final in ("", "broken") else 1
        if final == PASSED:
            row.latency = row.answered_at - row.arrived
            if not body_matches:
                history.errors.append(
                    (row.limiter, f"the answer to req {req} was not produced by a server for it")
                )
    # requests that servers ran
    counted: set[int] = set()
    dispatch_counts: dict[tuple[int, int], int] = {}
    windows = [round(f.repeat_window_ms * TICKS_PER_MS) for f in rehearsal.frontends]
    for at, req, server, frontend_index, first_byte_at in events.rows_of("run"):
        frontend, now = rehearsal.frontends[frontend_index], events.to_ticks(at)
        group = zone_of(rehearsal.fleet, f"s{server}") if frontend.group == "zone" else 0
        history.executions.append(
            (req, server, now, frontend.effect, group, windows[frontend_index])
        )
        limiter = reqs[req].limiter if req in reqs else -1
        number = dispatch_counts.get((req, -1), 0)
        dispatch_counts[req, -1] = number + 1
        if (
            cut_began := cut_start(events, events.path(limiter, server), first_byte_at)
        ) is not None:
            events.delayed[req, number] = events.to_ticks(cut_began)
        history.attempts.append([req, number, limiter, server, events.to_ticks(first_byte_at), now])
        if req in reqs and req not in counted:
            counted.add(req)
            history.usage.append((reqs[req].customer, reqs[req].plan, now, 1.0))
    history.overload_crashes += [
        (s, events.to_ticks(at), float(sent), limit)
        for at, s, sent, limit in events.rows_of("fall")
    ]
    build_leaving_rows(events)


def cut_start(events: RehearsalEvents, path: tuple[str, str], arrived: float) -> float | None:
    """Returns the start of the cut that may have delayed a request, or None.

    A request that arrived at its server during a cut, or right after it, may have been sent before
    the cut. It may also have been sent just before it arrived, so the caller considers both times.
    """
    for since, until in events.cuts.get((*path, "forth"), ()):
        if since <= arrived < until + SETTLE_SECONDS:
            return since
    return None


def build_leaving_rows(events: RehearsalEvents) -> None:
    """Derives the leaving notices of the History: the spans in which a limiter knew that a server
    is leaving or has left, from the delivery of that list to the next list with it as active.
    """
    history, open_rows = events.history, {}
    for at, limiter, complete, rows in events.rows_of("told"):
        path = (f"l{limiter}", "discovery")
        when = events.to_ticks(events.delivery_time(path, "back", at))
        named = {server: phase for server, phase, _ in rows}
        for server in range(events.rehearsal.fleet.servers):
            phase = named.get(server, "left" if complete else "")
            key = (limiter, server)
            if phase in ("leaving", "left") and key not in open_rows:
                open_rows[key] = len(history.leaving_notices)
                history.leaving_notices.append([limiter, server, when, 1 << 62])
            elif phase == "active" and key in open_rows:
                # the time of sending, as the limiter may have received the list earlier than the
                # delivery time derived here, and must not appear to violate rule 3
                history.leaving_notices[open_rows.pop(key)][3] = events.to_ticks(at)
    # a notice ends with its process: the limiter's next process has only the lists since its start,
    # and its configuration may be older than the notice
    for row in history.leaving_notices:
        for since, until in events.running.get(f"l{row[0]}", ()):
            if events.to_ticks(since) <= row[2] and until < NO_END:
                row[3] = (
                    min(row[3], events.to_ticks(until))
                    if events.to_ticks(until) > row[2]
                    else row[3]
                )


class SocketLimits:
    """The parts of a scenario that the rules read, with the time limits widened for sockets."""

    def __init__(self, rehearsal: Rehearsal) -> None:
        self.fleet = msgspec.structs.replace(
            rehearsal.fleet, answer_slack_ms=rehearsal.fleet.answer_slack_ms + SOCKET_SLACK_MS
        )
        # PROTOCOL: on sockets the slack of a ceiling is wider by the units of its rate in this time
        self.plans = [
            msgspec.structs.replace(
                p, ceiling_slack=p.ceiling_slack + CEILING_SLACK_SECONDS * p.ceiling_rate
            )
            for p in rehearsal.plans
        ]


def check(events: RehearsalEvents) -> Verdict:
    """Returns all violations of the five rules, including those that only sockets show."""
    limits = SocketLimits(events.rehearsal)
    verdict = rules.check(events.history, limits)
    # an attempt that a cut may have delayed violates rule 3 only if it does so both with its
    # earliest possible time of sending and with the latest one, its arrival at the server
    rows = [
        [r, n, lim, srv, events.delayed[r, n], at]
        for r, n, lim, srv, _, at in events.history.attempts
        if (r, n) in events.delayed
    ]
    early = History(attempts=rows, leaving_notices=events.history.leaving_notices)
    certain = {b.req for b in rules.check_leaving(early, limits)}
    doubtful = {r for r, _ in events.delayed} - certain
    verdict.violations = [b for b in verdict.violations if b.rule != 3 or b.req not in doubtful]
    # rule 1 of the emulator also covers broken connections to a limiter that kept running: they are
    # requests without a final answer
    ran: dict[int, list[int]] = {}
    for req, server, *_ in events.history.executions:
        ran.setdefault(req, []).append(server)
    for r in events.history.reqs:
        effect = events.rehearsal.frontends[r.frontend].effect
        if r.answer == DENIED and effect == "side_effect" and r.req in ran:
            text = f"denied, but ran at server {ran[r.req][0]}"
            verdict.violations.append(Violation(2, r.req, r.limiter, r.answered_at, text))
        if r.answer == PASSED and r.req not in ran:
            verdict.violations.append(
                Violation(1, r.req, r.limiter, r.answered_at, "passed, but no server ran it")
            )
    for limiter, text in events.history.errors:
        verdict.violations.append(Violation(1, -1, limiter, -1, text))
    return verdict


def crashes(events: RehearsalEvents) -> list[str]:
    """Describes each exit of a limiter that the rehearsal had not requested."""
    return [
        f"{name} ended with exit code {code} at {at - events.began:.2f} s"
        for at, name, code, planned in events.rows_of("down")
        if not planned and name[0] == "l" and name[1:].isdigit()
    ]


# Figures for the bounds and the report


@dataclass(slots=True)
class SecondTotals:
    """Requests that arrived in one second and their results.

    The worth of requests is the sum of the values of those within their quota. Lists are by
    frontend; the numbers count requests, except `best`.
    """

    offered: list[float]  # worth of all requests
    served: list[float]  # worth of the requests served within the response target
    taken: int = 0
    passed: int = 0
    denied: int = 0
    aborted: int = 0
    lost: int = 0
    best: float = 0.0  # the most worth that the running servers could have served


def totals_by_second(events: RehearsalEvents) -> list[SecondTotals]:
    """Totals by second of arrival since the first traffic."""
    rehearsal, n = events.rehearsal, len(events.rehearsal.frontends)
    totals = [SecondTotals([0.0] * n, [0.0] * n) for _ in range(int(rehearsal.seconds) + 1)]
    for r in events.history.reqs:
        row = totals[min(len(totals) - 1, max(0, r.arrived // TICKS_PER_SECOND))]
        row.taken += 1
        row.offered[r.frontend] += r.value if r.within_quota else 0.0
        if r.answer == PASSED:
            row.passed += 1
            if (
                r.latency <= rehearsal.frontends[r.frontend].response_target_ms * TICKS_PER_MS
                and r.within_quota
            ):
                row.served[r.frontend] += r.value
        elif r.answer == DENIED:
            row.denied += 1
        elif r.answer == ABORTED:
            row.aborted += 1
        else:
            row.lost += 1
    capacity = capacity_by_second(events, len(totals))
    for k, row in enumerate(totals):
        row.best = best_worth(rehearsal, row.offered, capacity[k])
    return totals


def capacity_by_second(events: RehearsalEvents, count: int) -> list[float]:
    """Slot-seconds of all servers in each second, from their samples (two per second)."""
    slots: list[dict[int, list[int]]] = [{} for _ in range(count)]
    for at, server, _, _, slot_count in events.rows_of("load"):
        k = int(at - events.began)
        if at - events.began >= 0 and k < count:
            slots[k].setdefault(server, []).append(slot_count)
    # a server with one sample ran for half of the second
    return [
        sum(sum(slot_counts) / max(2, len(slot_counts)) for slot_counts in by_server.values())
        for by_server in slots
    ]


def best_worth(rehearsal: Rehearsal, offered: list[float], slots: float) -> float:
    """The worth that servers can serve at most of the offered worth of one second.

    Requests with the highest value per work are served first.

    Args:
        rehearsal: The scenario.
        offered: Worth by frontend.
        slots: Slot-seconds of the servers.
    """
    total = 0.0
    for n in sorted(
        range(len(offered)),
        key=lambda n: -rehearsal.frontends[n].value / rehearsal.frontends[n].work_ms,
    ):
        frontend = rehearsal.frontends[n]
        need = offered[n] / frontend.value * frontend.work_ms / 1000
        share = min(1.0, slots / need) if need else 0.0
        total += offered[n] * share
        slots -= need * share
    return total


def load_by_zone(events: RehearsalEvents) -> dict[str, list[tuple[float, float, float]]]:
    """For each zone the rows (second, requests running or queued, slots), means of the samples."""
    rehearsal, count = events.rehearsal, int(events.rehearsal.seconds) + 1
    sums: dict[str, list[list[float]]] = {
        z: [[0.0, 0.0] for _ in range(count)] for z in rehearsal.fleet.zones
    }
    for at, server, working, waiting, slot_count in events.rows_of("load"):
        k = int(at - events.began)
        if at >= events.began and k < count:
            row = sums[rehearsal.fleet.zones[zone_of(rehearsal.fleet, f"s{server}")]][k]
            row[0] += (working + waiting) / 2
            row[1] += slot_count / 2
    return {z: [(float(k), a, b) for k, (a, b) in enumerate(rows)] for z, rows in sums.items()}


def measure_bound(events: RehearsalEvents, bound: Bound, totals: list[SecondTotals]) -> float:
    """Returns the figure that a bound limits (see `Bound`)."""
    rehearsal = events.rehearsal
    since, until = bound.since, bound.until or rehearsal.seconds
    rows = totals[int(since) : max(int(since) + 1, int(until))]
    frontend_index = (
        [f.name for f in rehearsal.frontends].index(bound.frontend) if bound.frontend else -1
    )
    value_of = (lambda xs: xs[frontend_index]) if frontend_index >= 0 else sum
    if bound.what == "worth":
        return sum(value_of(r.served) for r in rows) / max(
            1e-9, sum(value_of(r.offered) for r in rows)
        )
    if bound.what == "of_best":
        return sum(sum(r.served) for r in rows) / max(1e-9, sum(r.best for r in rows))
    if bound.what == "ran":
        zone = rehearsal.fleet.zones.index(bound.zone) if bound.zone else -1
        times = [
            at
            for at, _, server, _, _ in events.rows_of("run")
            if zone < 0 or zone_of(rehearsal.fleet, f"s{server}") == zone
        ]
        first, after_last = (bisect_right(times, events.began + t) for t in (since, until))
        return float(after_last - first)
    if bound.what == "moves":
        return float(sum(since <= at - events.began < until for at, *_ in events.rows_of("move")))
    if bound.what == "list_calls":
        earliest = since or -60.0  # limiters may start a little before the traffic
        return float(
            sum(earliest <= at - events.began < until for at, *_ in events.rows_of("call"))
        )
    if bound.what == "ready_s":
        waits = ready_delays(events)
        return max(waits, default=0.0)
    return float(sum(getattr(r, bound.what) for r in rows))


def ready_delays(events: RehearsalEvents) -> list[float]:
    """Returns the seconds from each start of a limiter until it was ready."""
    ups = [(at, name) for at, name, _ in events.rows_of("up")]
    delays = []
    for at, name in events.rows_of("ready"):
        starts = [t for t, started in ups if started == name and t <= at]
        if starts:
            delays.append(at - starts[-1])
    return delays


def check_bounds(events: RehearsalEvents, totals: list[SecondTotals]) -> list[dict]:
    """Returns each bound with its figure and whether it is kept."""
    results = []
    for bound in events.rehearsal.bounds:
        value = measure_bound(events, bound, totals)
        kept = (bound.at_least is None or value >= bound.at_least) and (
            bound.at_most is None or value <= bound.at_most
        )
        results.append({**msgspec.to_builtins(bound), "value": round(value, 4), "kept": kept})
    return results
