"""Draws the troubles of each day, their strengths and times, from one random generator."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import combinations
from math import ceil
from random import Random
from typing import Any

from loomstand.testing.fault_schedules import dense
from loomstand.testing.fault_schedules.site import (
    DEFAULT_DURATION_SECONDS,
    Site,
    Trouble,
    duration,
    to_centiseconds,
)

# Factors on the numbers of the site's list of troubles. Standing days range from 0.6 of these
# (scale_in) to 1.8 (node_cut); the outer factors with the spread below cover the same range.
SEVERITY_FACTORS = {"mild": 0.6, "usual": 1.0, "harsh": 1.5}
RANDOM_SPREAD = 0.2  # relative random deviation of a number, in both directions
# Standing days have 5 to 11 troubles, some of them configuration changes without effect.
TROUBLES_PER_DAY = {"mild": 4, "usual": 6, "harsh": 8}
# Random mixes per day, the best of which is used: with a single one, more days are needed; with
# more than this, no fewer.
MIX_CANDIDATES = 20
MAX_SHARE = 0.9  # of the servers or machines, unless the site lists a trouble with a larger share
# The meeting time is at least this fraction (1/4) of the fault period away from both of its ends;
# nearer, all troubles would begin or end at once.
MEETING_MARGIN_DIVISOR = 4
DEFAULT_DENSE_DAYS = 10
MIN_DURATION_CENTISECONDS = 10  # a shorter trouble has no effect

Pair = tuple[str, str]


@dataclass(frozen=True, slots=True)
class DrawOptions:
    """Options for drawing days."""

    seed: int = 0
    severity: str = "usual"
    days: int | None = None  # None: until every two kinds have overlapped
    kinds: tuple[str, ...] = ()  # empty: all that the site lists
    load: float = 1.0  # factor on the request rate of the standing day
    dense: str = ""  # a key of `dense.AIMS`; empty: a few troubles of the site's list


@dataclass(frozen=True, slots=True)
class Placed:
    """A trouble with its start and end, in hundredths of a second from the start of traffic."""

    trouble: Trouble
    at: int
    until: int

    def meets(self, other: Placed) -> bool:
        """Whether the two troubles overlap in time."""
        return self.at <= other.until and other.at <= self.until


@dataclass(frozen=True, slots=True)
class DrawnDay:
    """A drawn day."""

    name: str
    base: str  # name of the standing day from which everything but the troubles is copied
    # time at which all its troubles overlap, in hundredths of a second; None: independent times
    meeting: int | None
    placed: tuple[Placed, ...]
    fields: dict[str, Any]  # the day in the form of a site file

    def overlapping_pairs(self) -> set[Pair]:
        """Pairs of kinds whose troubles overlap in time, each pair in alphabetical order."""
        return {
            pair(a.trouble.kind, b.trouble.kind)
            for a, b in combinations(self.placed, 2)
            if a.meets(b)
        }


def pair(a: str, b: str) -> Pair:
    """The two kinds in alphabetical order."""
    return (a, b) if a < b else (b, a)


def selected_kinds(site: Site, options: DrawOptions) -> list[str]:
    """The kinds to draw from. Raises ValueError for a requested kind that the site lacks."""
    available = {way.kind for way in dense.ways(site)} if options.dense else set(site.kinds)
    for kind in options.kinds:
        if kind not in available:
            raise ValueError(
                f"{kind} is not among the site's troubles: {', '.join(sorted(available))}"
            )
    return sorted(options.kinds or available)


def draw(site: Site, options: DrawOptions) -> list[DrawnDay]:
    """Draws the days. Raises ValueError for a requested kind that the site lacks."""
    kinds = selected_kinds(site, options)
    if options.dense:
        return _draw_dense(site, options, kinds)
    # A string as seed gives the same numbers in every process.
    rng = Random(f"{site.name} {options.seed} {options.severity} {','.join(kinds)}")
    bases, closings = (
        _shuffled_cycles(site.bases, rng),
        _shuffled_cycles((*site.closings, None), rng),
    )
    variants = {kind: _shuffled_cycles(site.kinds[kind], rng) for kind in kinds}
    days: list[DrawnDay] = []
    for covering, mix in mixes(kinds, TROUBLES_PER_DAY[options.severity], rng):
        if len(days) == options.days or (options.days is None and not covering):
            break
        margin = (site.quiet - site.lead) // MEETING_MARGIN_DIVISOR
        has_meeting = covering or rng.random() < 0.5
        meeting = rng.randint(site.lead + margin, site.quiet - margin) if has_meeting else None
        factor = SEVERITY_FACTORS[options.severity]
        placed = [
            _place(site, _scaled(site, next(variants[kind]), factor, rng), meeting, rng)
            for kind in mix
        ]
        placed.sort(key=lambda p: (p.at, p.trouble.kind))
        name = f"{site.name}-{options.severity}-{options.seed}-{len(days) + 1:02d}"
        base = next(bases)
        fields = _day_fields(base, name, placed, next(closings), options.load, rng)
        days.append(DrawnDay(name, base["name"], meeting, tuple(placed), fields))
    return days


# A dense day is drawn again until it has at least half as many overlaps as troubles. The number of
# draws is limited, since a few kinds of short troubles may never overlap that often.
MAX_DENSE_DRAWS = 20


def _draw_dense(site: Site, options: DrawOptions, kinds: list[str]) -> list[DrawnDay]:
    rng = Random(
        f"{site.name} dense {options.dense} {options.seed} {options.severity} {','.join(kinds)}"
    )
    bases, closings = _shuffled_cycles(site.bases, rng), _shuffled_cycles(dense.CLOSINGS, rng)
    days = []
    for n in range(DEFAULT_DENSE_DAYS if options.days is None else options.days):
        for _ in range(MAX_DENSE_DRAWS):
            length, drawn = dense.troubles(site, options.dense, options.severity, tuple(kinds), rng)
            drawn.sort(key=lambda drawn_trouble: (drawn_trouble[1], drawn_trouble[0].kind))
            placed = [Placed(trouble, at, until) for trouble, at, until in drawn]
            if sum(a.meets(b) for a, b in combinations(placed, 2)) >= len(placed) / 2:
                break
        name = f"{site.name}-{options.dense}-{options.severity}-{options.seed}-{n + 1:02d}"
        base, closing = next(bases), dense.closing(next(closings), rng)
        fields = _day_fields(base, name, placed, closing, options.load, rng)
        days.append(
            DrawnDay(name, base["name"], None, tuple(placed), fields | {"length_s": float(length)})
        )
    return days


def mixes(kinds: list[str], size: int, rng: Random) -> Iterator[tuple[bool, tuple[str, ...]]]:
    """Yields mixes of `size` kinds without end: whether a mix has new pairs, and its kinds.

    Mixes are chosen greedily until every two kinds have been in one mix, then at random.
    """
    size = min(size, len(kinds))
    open_pairs = {pair(*two) for two in combinations(kinds, 2)}
    while open_pairs:
        candidates = [_greedy_mix(kinds, size, open_pairs, rng) for _ in range(MIX_CANDIDATES)]
        best = max(candidates, key=lambda mix: len(open_pairs.intersection(_pairs(mix))))
        open_pairs.difference_update(_pairs(best))
        yield True, best
    if len(kinds) == 1:
        yield True, tuple(kinds)
    while True:
        yield False, tuple(rng.sample(kinds, size))


def _greedy_mix(kinds: list[str], size: int, open_pairs: set[Pair], rng: Random) -> tuple[str, ...]:
    """Starts with the kind in most open pairs, then adds kinds with most open pairs in the mix."""
    remaining = rng.sample(kinds, len(kinds))  # the random order decides ties
    mix = [max(remaining, key=lambda kind: sum(kind in two for two in open_pairs))]
    while len(mix) < size:
        remaining.remove(mix[-1])
        mix.append(
            max(remaining, key=lambda kind: sum(pair(kind, chosen) in open_pairs for chosen in mix))
        )
    return tuple(mix)


def _pairs(mix: tuple[str, ...]) -> list[Pair]:
    return [pair(*two) for two in combinations(mix, 2)]


def _shuffled_cycles(items: tuple[Any, ...], rng: Random) -> Iterator[Any]:
    """Yields all items in a random order, then again in another one, without end."""
    while True:
        yield from rng.sample(items, len(items))


def _scaled(site: Site, trouble: Trouble, factor: float, rng: Random) -> Trouble:
    """The trouble with its numbers scaled by severity, short enough for the fault period."""
    fields = dict(trouble.fields)
    # in a stepwise operation, x is the number of items per step and count the number of steps
    is_stepwise = trouble.is_planned and "gap_s" in fields
    for key in sorted(fields.keys() & {"share", "x", "for_s", "gap_s", "count"}):
        value, scale = fields[key], factor * rng.uniform(1 - RANDOM_SPREAD, 1 + RANDOM_SPREAD)
        if key == "share" or (key == "x" and value < 1):
            fields[key] = _round_to_3_digits(min(value * scale, max(value, MAX_SHARE)))
        elif key == "x" and not is_stepwise:
            fields[key] = _round_to_3_digits(1 + (value - 1) * scale)  # a factor of 1 has no effect
        elif key == "for_s":
            fields[key] = to_centiseconds(value * scale) / 100
        elif key == "gap_s":
            fields[key] = max(MIN_DURATION_CENTISECONDS, to_centiseconds(value / scale)) / 100
        elif is_stepwise:
            fields[key] = max(1, round(value * scale))
        # Any other count is a number of machines, which the site's `tolerate` limits.
    scaled = Trouble(trouble.kind, trouble.is_planned, fields)
    period = site.quiet - site.lead
    if "for_s" in fields or (
        not trouble.is_planned and to_centiseconds(DEFAULT_DURATION_SECONDS) > period
    ):
        fields["for_s"] = (
            min(
                max(
                    to_centiseconds(fields.get("for_s", DEFAULT_DURATION_SECONDS)),
                    MIN_DURATION_CENTISECONDS,
                ),
                period,
            )
            / 100
        )
    elif is_stepwise and duration(scaled, site.things, site.config_delay) > period:
        gap = min(to_centiseconds(fields["gap_s"]), period)
        fields["gap_s"] = gap / 100
        if "count" in fields:
            fields["count"] = min(fields["count"], period // gap)
        else:  # with fewer steps, each has more items
            fields["x"] = ceil(fields.get("share", 1.0) * site.things / (period // gap))
    return scaled


def _round_to_3_digits(value: float) -> float:
    return float(f"{value:.3g}")


def _place(site: Site, trouble: Trouble, meeting: int | None, rng: Random) -> Placed:
    """Places the trouble at a random time, such that it includes the meeting time, if any."""
    low = site.first if trouble.is_planned else site.lead
    length = min(duration(trouble, site.things, site.config_delay), site.quiet - site.lead)
    high = site.quiet - length
    if meeting is not None:
        low, high = max(low, meeting - length), min(high, meeting)
    at = rng.randint(low, high)
    return Placed(trouble, at, at + length)


def _day_fields(
    base: dict, name: str, placed: list[Placed], closing: dict | None, load: float, rng: Random
) -> dict[str, Any]:
    """The day in the form of a site file; what isn't drawn is copied from the standing day."""
    day = {k: v for k, v in base.items() if k not in ("closing", "plan", "faults")}
    day |= {"name": name, "seed": rng.randrange(1, 2**28)}
    if closing is not None:
        down = closing.get("down_s", 1.0) * rng.uniform(1 - RANDOM_SPREAD, 1 + RANDOM_SPREAD)
        day["closing"] = closing | {"down_s": to_centiseconds(down) / 100}
    for where in ("plan", "faults"):
        day[where] = [
            {"at": p.at / 100, "kind": p.trouble.kind, **p.trouble.fields}
            for p in placed
            if p.trouble.is_planned == (where == "plan")
        ]
    if "traffic" in base:
        day["traffic"] = [
            flow | {"per_s": _round_to_3_digits(flow["per_s"] * load)} for flow in base["traffic"]
        ]
    return day
