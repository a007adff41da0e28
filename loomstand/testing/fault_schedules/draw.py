"""Which troubles meet on which day, how strong, and when. Pure: one Random, made from the seed."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import combinations
from math import ceil
from random import Random
from typing import Any

from loomstand.testing.fault_schedules import dense
from loomstand.testing.fault_schedules.site import FOR_S, Site, Trouble, hundredths, span

# How strong troubles are beside the site's own figures. Standing days go from 0.6 of them
# (scale_in) to 1.8 (node_cut); the outer two with the spread below span the same.
SEVERITY = {"mild": 0.6, "usual": 1.0, "harsh": 1.5}
SPREAD = 0.2  # of a figure, to both sides
# Troubles of one day. Standing days hold 5 to 11, some of them changes that ask for nothing.
SIZE = {"mild": 4, "usual": 6, "harsh": 8}
# mixes tried for a day: on the four sites a fortieth fewer days than one try; 60 spare no more
TRIES = 20
MOST_SHARE = 0.9  # of things that a trouble strikes, unless the site itself says more
# a meeting keeps off this part of the time for faults at both ends, else all begin or end at once
EDGE = 4
DENSE_DAYS = 10  # unless a number is wished
LEAST = 10  # hundredths of a second; a shorter trouble would be none

Pair = tuple[str, str]


@dataclass(frozen=True, slots=True)
class DrawOptions:
    seed: int = 0
    severity: str = "usual"
    days: int | None = None  # none: until every two kinds have met
    kinds: tuple[str, ...] = ()  # none: all that the site lists
    load: float = 1.0  # times the requests of the standing day
    dense: str = ""  # an aim of `dense.AIMS`; none: a few troubles of the site's own list


@dataclass(frozen=True, slots=True)
class Placed:
    """A trouble of a day with its time, in hundredths of a second from the start of traffic."""

    trouble: Trouble
    at: int
    until: int

    def meets(self, other: Placed) -> bool:
        return self.at <= other.until and other.at <= self.until


@dataclass(frozen=True, slots=True)
class Drawn:
    name: str
    base: str  # the standing day whose traffic and marks it has
    meeting: int | None  # the moment within all its troubles; none where each has a time of its own
    placed: tuple[Placed, ...]
    fields: dict[str, Any]  # the day as a site file has it

    def met(self) -> set[Pair]:
        """Kinds whose troubles overlap in time, each pair in the order of the alphabet."""
        return {
            pair(a.trouble.kind, b.trouble.kind)
            for a, b in combinations(self.placed, 2)
            if a.meets(b)
        }


def pair(a: str, b: str) -> Pair:
    return (a, b) if a < b else (b, a)


def kinds_of(site: Site, wish: DrawOptions) -> list[str]:
    """What is drawn from. Raises ValueError for a wished kind that isn't there."""
    there = {way.kind for way in dense.ways(site)} if wish.dense else set(site.kinds)
    for kind in wish.kinds:
        if kind not in there:
            raise ValueError(f"{kind} is not among the site's troubles: {', '.join(sorted(there))}")
    return sorted(wish.kinds or there)


def draw(site: Site, wish: DrawOptions) -> list[Drawn]:
    """The days. Raises ValueError for a kind that the site doesn't list."""
    kinds = kinds_of(site, wish)
    if wish.dense:
        return _dense(site, wish, kinds)
    # A text as seed gives the same numbers in every process.
    rng = Random(f"{site.name} {wish.seed} {wish.severity} {','.join(kinds)}")
    bases, closings = _turns(site.bases, rng), _turns((*site.closings, None), rng)
    ways = {kind: _turns(site.kinds[kind], rng) for kind in kinds}
    days: list[Drawn] = []
    for covering, mix in mixes(kinds, SIZE[wish.severity], rng):
        if len(days) == wish.days or (wish.days is None and not covering):
            break
        edge = (site.quiet - site.lead) // EDGE
        together = covering or rng.random() < 0.5
        meeting = rng.randint(site.lead + edge, site.quiet - edge) if together else None
        factor = SEVERITY[wish.severity]
        placed = [
            _place(site, _varied(site, next(ways[kind]), factor, rng), meeting, rng) for kind in mix
        ]
        placed.sort(key=lambda p: (p.at, p.trouble.kind))
        name = f"{site.name}-{wish.severity}-{wish.seed}-{len(days) + 1:02d}"
        base = next(bases)
        fields = _fields(base, name, placed, next(closings), wish.load, rng)
        days.append(Drawn(name, base["name"], meeting, tuple(placed), fields))
    return days


# Draws of a dense day until it has several troubles at once, half as many meetings as troubles: 2
# first draws of 5,436 hadn't. A few kinds that are short may never.
DRAWS = 20


def _dense(site: Site, wish: DrawOptions, kinds: list[str]) -> list[Drawn]:
    rng = Random(f"{site.name} dense {wish.dense} {wish.seed} {wish.severity} {','.join(kinds)}")
    bases, closings = _turns(site.bases, rng), _turns(dense.CLOSINGS, rng)
    days = []
    for n in range(DENSE_DAYS if wish.days is None else wish.days):
        for _ in range(DRAWS):
            length, found = dense.troubles(site, wish.dense, wish.severity, tuple(kinds), rng)
            placed = [Placed(*one) for one in sorted(found, key=lambda one: (one[1], one[0].kind))]
            if sum(one.meets(other) for one, other in combinations(placed, 2)) >= len(placed) / 2:
                break
        name = f"{site.name}-{wish.dense}-{wish.severity}-{wish.seed}-{n + 1:02d}"
        base, closing = next(bases), dense.closing(next(closings), rng)
        fields = _fields(base, name, placed, closing, wish.load, rng)
        days.append(
            Drawn(name, base["name"], None, tuple(placed), fields | {"length_s": float(length)})
        )
    return days


def mixes(kinds: list[str], size: int, rng: Random) -> Iterator[tuple[bool, tuple[str, ...]]]:
    """Without end: whether the mix has pairs that no mix before had, and its kinds. First,
    greedily, until every two kinds have been in one mix; then by lot.
    """
    size = min(size, len(kinds))
    still = {pair(*two) for two in combinations(kinds, 2)}
    while still:
        tried = [_greedy(kinds, size, still, rng) for _ in range(TRIES)]
        best = max(tried, key=lambda mix: len(still.intersection(_pairs(mix))))
        still.difference_update(_pairs(best))
        yield True, best
    if len(kinds) == 1:
        yield True, tuple(kinds)
    while True:
        yield False, tuple(rng.sample(kinds, size))


def _greedy(kinds: list[str], size: int, still: set[Pair], rng: Random) -> tuple[str, ...]:
    """Begins with the kind that has most pairs to go; then adds the one with most among those
    taken.
    """
    left = rng.sample(kinds, len(kinds))  # ties fall by lot
    mix = [max(left, key=lambda kind: sum(kind in two for two in still))]
    while len(mix) < size:
        left.remove(mix[-1])
        mix.append(max(left, key=lambda kind: sum(pair(kind, taken) in still for taken in mix)))
    return tuple(mix)


def _pairs(mix: tuple[str, ...]) -> list[Pair]:
    return [pair(*two) for two in combinations(mix, 2)]


def _turns(things: tuple[Any, ...], rng: Random) -> Iterator[Any]:
    """Each thing once in a random order, then each once more in another, without end."""
    while True:
        yield from rng.sample(things, len(things))


def _varied(site: Site, trouble: Trouble, factor: float, rng: Random) -> Trouble:
    """The trouble with its figures by severity, short enough to fit between the lead and the
    end.
    """
    fields = dict(trouble.fields)
    by_steps = trouble.planned and "gap_s" in fields  # then x is so many at a time, count so many
    for key in sorted(fields.keys() & {"share", "x", "for_s", "gap_s", "count"}):
        own, strong = fields[key], factor * rng.uniform(1 - SPREAD, 1 + SPREAD)
        if key == "share" or (key == "x" and own < 1):
            fields[key] = _short(min(own * strong, max(own, MOST_SHARE)))
        elif key == "x" and not by_steps:
            fields[key] = _short(1 + (own - 1) * strong)  # of a factor, 1 is no trouble
        elif key == "for_s":
            fields[key] = hundredths(own * strong) / 100
        elif key == "gap_s":
            fields[key] = max(LEAST, hundredths(own / strong)) / 100
        elif by_steps:
            fields[key] = max(1, round(own * strong))
        # Any other count is of machines, which the site's `tolerate` bounds.
    varied = Trouble(trouble.kind, trouble.planned, fields)
    room = site.quiet - site.lead
    if "for_s" in fields or (not trouble.planned and hundredths(FOR_S) > room):
        fields["for_s"] = min(max(hundredths(fields.get("for_s", FOR_S)), LEAST), room) / 100
    elif by_steps and span(varied, site.things, site.settles) > room:
        gap = min(hundredths(fields["gap_s"]), room)
        fields["gap_s"] = gap / 100
        if "count" in fields:
            fields["count"] = min(fields["count"], room // gap)
        else:  # so many more at a time
            fields["x"] = ceil(fields.get("share", 1.0) * site.things / (room // gap))
    return varied


def _short(value: float) -> float:
    return float(f"{value:.3g}")


def _place(site: Site, trouble: Trouble, meeting: int | None, rng: Random) -> Placed:
    """A time within the day, and such that the meeting lies within the trouble."""
    low = site.first if trouble.planned else site.lead
    takes = min(span(trouble, site.things, site.settles), site.quiet - site.lead)
    high = site.quiet - takes
    if meeting is not None:
        low, high = max(low, meeting - takes), min(high, meeting)
    at = rng.randint(low, high)
    return Placed(trouble, at, at + takes)


def _fields(
    base: dict, name: str, placed: list[Placed], closing: dict | None, load: float, rng: Random
) -> dict[str, Any]:
    """The day as a site file has it: what it doesn't draw is the standing day's."""
    day = {k: v for k, v in base.items() if k not in ("closing", "plan", "faults")}
    day |= {"name": name, "seed": rng.randrange(1, 2**28)}
    if closing is not None:
        down = closing.get("down_s", 1.0) * rng.uniform(1 - SPREAD, 1 + SPREAD)
        day["closing"] = closing | {"down_s": hundredths(down) / 100}
    for where in ("plan", "faults"):
        day[where] = [
            {"at": p.at / 100, "kind": p.trouble.kind, **p.trouble.fields}
            for p in placed
            if p.trouble.planned == (where == "plan")
        ]
    if "traffic" in base:
        day["traffic"] = [
            line | {"per_s": _short(line["per_s"] * load)} for line in base["traffic"]
        ]
    return day
