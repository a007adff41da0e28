"""What the driver and the stand-ins saw, put on one clock; the five rules over it, the bounds, the
report.

The rules are the lab's (`lab/checker.py`) over the same History, built here from trails. What only
sockets show is added: an answer that no server made, a req lost by a limiter that lived, a denial
of a non-replayable that ran. Where a fault held bytes back, the time at which they could pass
counts: a path that was cut tells neither the limiter nor us anything in the meantime.
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

T = 10_000
MS = T // 1000
EXTRA_MS = 50  # PROTOCOL adds this to time limits on sockets
MOVE = re.compile(r": (\d+\.\d+): zone (\S+): (\w+) to (\w+)").findall  # failover logs it
SETTLE = 0.25  # s: on a machine of many processes, between an order and what it does


@dataclass(slots=True)
class Seen:
    """Every trail of a rehearsal, by what was seen, each row [Unix s, ...]; and what is made of
    it.
    """

    told: Rehearsal
    rows: dict[str, list[list]] = field(default_factory=dict)
    began: float = 0.0
    cuts: dict[tuple[str, str, str], list[tuple[float, float]]] = field(default_factory=dict)
    lives: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    history: History = field(default_factory=History)
    # dispatches that a cut may have held back: when it began, the earliest at which they can have
    # been sent
    held: dict[tuple[int, int], int] = field(default_factory=dict)

    def at(self, unix: float) -> int:
        """A time in tenths of a millisecond since the first traffic."""
        return round((unix - self.began) * T)

    def all(self, what: str) -> list[list]:
        return self.rows.get(what, [])

    def path(self, limiter: int, server: int) -> tuple[str, str]:
        return (SHARED if self.told.fleet.shared else f"l{limiter}", f"s{server}")

    def passes(self, path: tuple[str, str], way: str, unix: float) -> float:
        """When what was sent on a path at a time could pass: at once, or when its cut healed."""
        for since, until in self.cuts.get((*path, way), ()):
            if since <= unix < until:
                return until
        return unix

    def disturbed(self, path: tuple[str, str], since: float, until: float) -> bool:
        """Whether a fault held or broke this path within a span, either way."""
        spans = self.cuts.get((*path, "forth"), []) + self.cuts.get((*path, "back"), [])
        return any(a < until and since < b + SETTLE for a, b in spans) or any(
            since - SETTLE < t < until for t in self.resets
        )

    @property
    def resets(self) -> list[float]:
        return [row[0] for row in self.all("fault") if row[2] in ("reset", "vanish")]

    def lived(self, name: str, since: float, until: float) -> bool:
        """Whether one life of a process covers a span, and nothing stopped it meanwhile."""
        return any(a <= since and until <= b for a, b in self.lives.get(name, ())) and not any(
            a < until and since < b for a, b in self.lives.get(f"stopped {name}", ())
        )


def read(told: Rehearsal, out: Path) -> Seen:
    """The trails in a rehearsal's folder. A row that a SIGKILL tore off is passed over."""
    seen = Seen(told)
    for path in sorted((out / "trail").glob("*.jsonl")):
        for line in path.read_bytes().splitlines():
            try:
                what, *row = msgspec.json.decode(line)
            except msgspec.DecodeError:
                continue
            seen.rows.setdefault(what, []).append(row)
    for path in sorted((out / "log").glob("l[0-9]*")):
        for at, zone, old, new in MOVE(path.read_text(errors="replace")):
            seen.rows.setdefault("move", []).append([float(at), path.name, zone, old, new])
    for rows in seen.rows.values():
        rows.sort(key=lambda row: row[0])
    seen.began = seen.all("began")[0][0] if seen.all("began") else 0.0
    spans(seen)
    build(seen)
    return seen


def spans(seen: Seen) -> None:
    """From when to when paths were cut, and processes lived and stood still."""
    end = 1e18
    held: dict[tuple[str, str, str], float] = {}
    for at, paths in seen.all("cut"):
        for a, b, directions in paths:
            for way in ("forth", "back"):
                key = (a, b, way)
                if way in directions:
                    held.setdefault(key, at)
                elif key in held:
                    seen.cuts.setdefault(key, []).append((held.pop(key), at + SETTLE))
    for key, since in held.items():
        seen.cuts.setdefault(key, []).append((since, end))
    up: dict[str, float] = {}
    for at, what, name in sorted(
        [(r[0], "up", r[1]) for r in seen.all("up")]
        + [(r[0], "down", r[1]) for r in seen.all("down")]
    ):
        if what == "up":
            up[name] = at
        elif name in up:
            seen.lives.setdefault(name, []).append((up.pop(name), at))
    for name, since in up.items():
        seen.lives.setdefault(name, []).append((since, end))
    stopped: dict[str, float] = {}
    for at, name, on in seen.all("stopped"):
        if on:
            stopped[name] = at
        elif name in stopped:
            seen.lives.setdefault(f"stopped {name}", []).append((stopped.pop(name), at + SETTLE))
    for name, since in stopped.items():
        seen.lives.setdefault(f"stopped {name}", []).append((since, end))


def build(seen: Seen) -> None:
    """The lab's History of what was seen."""
    told, history = seen.told, seen.history
    zones = told.fleet.zones
    reqs: dict[int, RequestRecord] = {}
    for at, req, limiter, customer, plan, front, timeout, inside, retry, zone in seen.all("sent"):
        value, sent = told.frontends[front].value, seen.at(at)
        row = RequestRecord(
            req,
            limiter,
            customer,
            plan,
            front,
            sent,
            sent + round(timeout * T),
            1.0,
            value,
            inside,
            retry,
        )
        reqs[req] = row
        history.reqs.append(row)
        path, until = (f"clients:{zones[zone]}", f"l{limiter}"), at + timeout + 0.5
        # owed nothing by a limiter that was not there, stood still, or could not be reached
        row.orphaned = not seen.lived(f"l{limiter}", at, until) or seen.disturbed(path, at, until)
    for at, req, status, own in seen.all("got"):
        row = reqs[req]
        final = {200: PASSED, 429: DENIED, 503: DENIED, 0: "broken", -1: ""}.get(status, ABORTED)
        row.answer, row.answered_at = final, seen.at(at)
        row.answer_count = 0 if final in ("", "broken") else 1
        if final == PASSED:
            row.latency = row.answered_at - row.arrived
            if not own:
                history.errors.append(
                    (row.limiter, f"req {req} was served what no server made for it")
                )
    # what servers ran
    first: set[int] = set()
    out: dict[tuple[int, int], int] = {}
    windows = [round(f.repeat_window_ms * MS) for f in told.frontends]
    for at, req, server, front, since in seen.all("run"):
        g, now = told.frontends[front], seen.at(at)
        group = zone_of(told.fleet, f"s{server}") if g.group == "zone" else 0
        history.executions.append((req, server, now, g.effect, group, windows[front]))
        limiter = reqs[req].limiter if req in reqs else -1
        number = out.get((req, -1), 0)
        out[req, -1] = number + 1
        if (held := held_since(seen, seen.path(limiter, server), since)) is not None:
            seen.held[req, number] = seen.at(held)
        history.attempts.append([req, number, limiter, server, seen.at(since), now])
        if req in reqs and req not in first:
            first.add(req)
            history.usage.append((reqs[req].customer, reqs[req].plan, now, 1.0))
    history.overload_crashes += [
        (s, seen.at(at), float(sent), bears) for at, s, sent, bears in seen.all("fall")
    ]
    told_rows(seen)


def held_since(seen: Seen, path: tuple[str, str], came: float) -> float | None:
    """When the cut began that may have held back what came to a server at a time; None where none
    did. Right after a cut has healed what comes may be new as well, so both times count.
    """
    for since, until in seen.cuts.get((*path, "forth"), ()):
        if since <= came < until + SETTLE:
            return since
    return None


def told_rows(seen: Seen) -> None:
    """When each limiter was told that a server drains or is gone, until it was told that it is
    live.
    """
    history, open_ = seen.history, {}
    for at, limiter, whole, rows in seen.all("told"):
        path = (f"l{limiter}", "discovery")
        when = seen.at(seen.passes(path, "back", at))
        named = {server: phase for server, phase, _ in rows}
        for server in range(seen.told.fleet.servers):
            phase = named.get(server, "left" if whole else "")
            key = (limiter, server)
            if phase in ("leaving", "left") and key not in open_:
                open_[key] = len(history.leaving_notices)
                history.leaving_notices.append([limiter, server, when, 1 << 62])
            elif phase == "active" and key in open_:
                # the row's own time: a limiter that was told earlier than we know must not look
                # late
                history.leaving_notices[open_.pop(key)][3] = seen.at(at)
    # a limiter that started again knows only what it was told since; its configuration may be older
    for row in history.leaving_notices:
        for since, until in seen.lives.get(f"l{row[0]}", ()):
            if seen.at(since) <= row[2] and until < 1e17:
                row[3] = min(row[3], seen.at(until)) if seen.at(until) > row[2] else row[3]


class Terms:
    """What the lab's checker reads of a scenario, with what sockets add to time limits."""

    def __init__(self, told: Rehearsal) -> None:
        self.fleet = msgspec.structs.replace(
            told.fleet, answer_slack_ms=told.fleet.answer_slack_ms + EXTRA_MS
        )
        # PROTOCOL: on sockets the slack of a ceiling is wider by what its rate gives in 150 ms
        self.plans = [
            msgspec.structs.replace(p, ceiling_slack=p.ceiling_slack + 0.15 * p.ceiling_rate)
            for p in told.plans
        ]


def check(seen: Seen) -> Verdict:
    """Every break of the five rules, the lab's and what only sockets show."""
    terms = Terms(seen.told)
    verdict = rules.check(seen.history, terms)
    # what a cut may have held back is a break of rule 3 only if it is one whenever it was sent
    rows = [
        [r, n, lim, srv, seen.held[r, n], at]
        for r, n, lim, srv, _, at in seen.history.attempts
        if (r, n) in seen.held
    ]
    early = History(attempts=rows, leaving_notices=seen.history.leaving_notices)
    surely = {b.req for b in rules.check_leaving(early, terms)}
    doubtful = {r for r, _ in seen.held} - surely
    verdict.violations = [b for b in verdict.violations if b.rule != 3 or b.req not in doubtful]
    # the lab's rule 1 reads "no final answer"; a broken connection to a limiter that lived is one
    # too
    ran: dict[int, list[int]] = {}
    for req, server, *_ in seen.history.executions:
        ran.setdefault(req, []).append(server)
    for r in seen.history.reqs:
        effect = seen.told.frontends[r.frontend].effect
        if r.answer == DENIED and effect == "side_effect" and r.req in ran:
            what = f"denied, but ran at server {ran[r.req][0]}"
            verdict.violations.append(Violation(2, r.req, r.limiter, r.answered_at, what))
        if r.answer == PASSED and r.req not in ran:
            verdict.violations.append(
                Violation(1, r.req, r.limiter, r.answered_at, "passed, but no server ran it")
            )
    for limiter, what in seen.history.errors:
        verdict.violations.append(Violation(1, -1, limiter, -1, what))
    return verdict


def crashes(seen: Seen) -> list[str]:
    """Limiters that ended though nobody asked for it."""
    return [
        f"{name} ended with exit code {code} at {at - seen.began:.2f} s"
        for at, name, code, planned in seen.all("down")
        if not planned and name[0] == "l" and name[1:].isdigit()
    ]


# what came of it
# ---------------------------------------------------------------------------------------


@dataclass(slots=True)
class Second:
    """What was offered in a second and what came of it, by frontend; worth counts inside quotas."""

    offered: list[float]
    served: list[float]
    taken: int = 0
    passed: int = 0
    denied: int = 0
    aborted: int = 0
    lost: int = 0
    best: float = 0.0  # the most worth that the servers there could have served


def seconds(seen: Seen) -> list[Second]:
    """By second of arrival."""
    told, n = seen.told, len(seen.told.frontends)
    out = [Second([0.0] * n, [0.0] * n) for _ in range(int(told.seconds) + 1)]
    for r in seen.history.reqs:
        row = out[min(len(out) - 1, max(0, r.arrived // T))]
        row.taken += 1
        row.offered[r.frontend] += r.value if r.within_quota else 0.0
        if r.answer == PASSED:
            row.passed += 1
            if r.latency <= told.frontends[r.frontend].response_target_ms * MS and r.within_quota:
                row.served[r.frontend] += r.value
        elif r.answer == DENIED:
            row.denied += 1
        elif r.answer == ABORTED:
            row.aborted += 1
        else:
            row.lost += 1
    capacity = room_by_second(seen, len(out))
    for k, row in enumerate(out):
        row.best = best(told, row.offered, capacity[k])
    return out


def room_by_second(seen: Seen, many: int) -> list[float]:
    """Slot-seconds that the servers had in each second, by their own samples (two a second)."""
    slots: list[dict[int, list[int]]] = [{} for _ in range(many)]
    for at, server, _, _, room in seen.all("load"):
        k = int(at - seen.began)
        if at - seen.began >= 0 and k < many:
            slots[k].setdefault(server, []).append(room)
    # a server that was there for half of a second had half of its room
    return [sum(sum(rooms) / max(2, len(rooms)) for rooms in by.values()) for by in slots]


def best(told: Rehearsal, offered: list[float], slots: float) -> float:
    """The worth that so many slots can serve of what is offered, the dearest for its work first."""
    total = 0.0
    for n in sorted(
        range(len(offered)), key=lambda n: -told.frontends[n].value / told.frontends[n].work_ms
    ):
        g = told.frontends[n]
        need = offered[n] / g.value * g.work_ms / 1000
        share = min(1.0, slots / need) if need else 0.0
        total += offered[n] * share
        slots -= need * share
    return total


def load_by_zone(seen: Seen) -> dict[str, list[tuple[float, float, float]]]:
    """For each zone by second: reqs in hand and room over its servers, means of the samples."""
    told, many = seen.told, int(seen.told.seconds) + 1
    sums: dict[str, list[list[float]]] = {
        z: [[0.0, 0.0] for _ in range(many)] for z in told.fleet.zones
    }
    for at, server, working, waiting, room in seen.all("load"):
        k = int(at - seen.began)
        if at >= seen.began and k < many:
            row = sums[told.fleet.zones[zone_of(told.fleet, f"s{server}")]][k]
            row[0] += (working + waiting) / 2
            row[1] += room / 2
    return {z: [(float(k), a, b) for k, (a, b) in enumerate(rows)] for z, rows in sums.items()}


def measure(seen: Seen, bound: Bound, by: list[Second]) -> float:
    """The figure that a bound is about."""
    told = seen.told
    since, until = bound.since, bound.until or told.seconds
    rows = by[int(since) : max(int(since) + 1, int(until))]
    front = [f.name for f in told.frontends].index(bound.frontend) if bound.frontend else -1
    pick = (lambda xs: xs[front]) if front >= 0 else sum
    if bound.what == "worth":
        return sum(pick(r.served) for r in rows) / max(1e-9, sum(pick(r.offered) for r in rows))
    if bound.what == "of_best":
        return sum(sum(r.served) for r in rows) / max(1e-9, sum(r.best for r in rows))
    if bound.what == "ran":
        zone = told.fleet.zones.index(bound.zone) if bound.zone else -1
        times = [
            at
            for at, _, server, _, _ in seen.all("run")
            if zone < 0 or zone_of(told.fleet, f"s{server}") == zone
        ]
        lo, hi = (bisect_right(times, seen.began + t) for t in (since, until))
        return float(hi - lo)
    if bound.what == "moves":
        return float(sum(since <= at - seen.began < until for at, *_ in seen.all("move")))
    if bound.what == "list_calls":
        first = since or -60.0  # limiters may start a little before the traffic
        return float(sum(first <= at - seen.began < until for at, *_ in seen.all("call")))
    if bound.what == "ready_s":
        waits = ready_after(seen)
        return max(waits, default=0.0)
    return float(sum(getattr(r, bound.what) for r in rows))


def ready_after(seen: Seen) -> list[float]:
    """Seconds from each start of a limiter until it was ready."""
    ups = [(at, name) for at, name, _ in seen.all("up")]
    out = []
    for at, name in seen.all("ready"):
        starts = [t for t, who in ups if who == name and t <= at]
        if starts:
            out.append(at - starts[-1])
    return out


def bounds(seen: Seen, by: list[Second]) -> list[dict]:
    """Each bound with its figure, and whether it is kept."""
    out = []
    for bound in seen.told.bounds:
        value = measure(seen, bound, by)
        kept = (bound.at_least is None or value >= bound.at_least) and (
            bound.at_most is None or value <= bound.at_most
        )
        out.append({**msgspec.to_builtins(bound), "value": round(value, 4), "kept": kept})
    return out
