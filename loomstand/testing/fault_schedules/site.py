"""What drawing days needs of a bench's site file, checked. Times are whole hundredths of a second,
so that sums and bounds are exact.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from math import ceil, isfinite
from typing import Any

from loomstand.config.toml_tables import TableError, parse_toml

LEAST_S = 1.0  # between the lead and the end of faults; in less nothing could be told apart
FOR_S = 5.0  # seconds of a trouble that names none, by the bench's page of kinds


class SiteError(ValueError):
    """The file can't be used; the message names the place and what is wrong there."""


@dataclass(frozen=True, slots=True)
class Trouble:
    """One way in which a kind strikes, as a line of the site's list or of a standing day."""

    kind: str
    planned: bool  # it stands under `plan`, else under `faults`
    fields: dict[str, Any]  # without `kind` and `at`

    @property
    def how(self) -> str:
        return str(self.fields.get("how", ""))


@dataclass(frozen=True, slots=True)
class Site:
    name: str
    lead: int  # faults begin no earlier, hundredths of a second from the start of traffic
    length: int  # the traffic ends
    first: int  # planned work begins no earlier
    quiet: int  # all troubles have ended; what is left is for the recovery
    settles: int  # for so long a change of configuration may still be on its way
    things: int  # servers or machines at most, of which a share is worked on in steps
    kinds: dict[str, tuple[Trouble, ...]]  # in the file's order
    bases: tuple[dict[str, Any], ...]  # standing days with faults, as the file holds them
    closings: tuple[dict[str, Any], ...]
    classes: tuple[str, ...]
    zones: tuple[str, ...]
    contracts: tuple[str, ...]


def hundredths(value: float) -> int:
    return round(100 * value)


def span(trouble: Trouble, site_things: int, settles: int) -> int:
    """Hundredths of a second from a trouble's start to its end, by what its fields say."""
    fields = trouble.fields
    if "for_s" in fields or not trouble.planned:
        return hundredths(fields.get("for_s", FOR_S))
    if "gap_s" not in fields:
        return settles
    return steps(trouble, site_things) * hundredths(fields["gap_s"])


def steps(trouble: Trouble, site_things: int) -> int:
    """How many steps planned work takes at most: of a share it isn't known of which things, so of
    all.
    """
    fields = trouble.fields
    if "count" in fields:
        return int(fields["count"])
    return max(1, ceil(fields.get("share", 1.0) * site_things / fields.get("x", 1.0)))


def read(raw: bytes) -> Site:
    """A site file. Raises SiteError."""
    try:
        told = parse_toml(raw, "the file")
    except TableError as why:
        raise SiteError(str(why)) from None
    except RecursionError:
        raise SiteError("the file is not TOML: it nests too deep") from None
    name = _text(told, "name", "the file")
    lead, length = (_figure(told, key, "the file") for key in ("lead_s", "length_s"))
    if not 0 <= lead < length:
        raise SiteError(f"lead_s {lead:g} is not within length_s {length:g}")
    days = _tables(told, "day")
    stands = Counter((k, w) for _, w, k, _ in _lines(days))
    kinds: dict[str, list[Trouble]] = {}
    listed = [
        (_text(t, "kind", f"troubles[{n}]"), t) for n, t in enumerate(_tables(told, "troubles"))
    ]
    for n, (kind, line) in enumerate(listed):
        _sound(line, f"troubles[{n}]")
        kinds.setdefault(kind, []).append(
            Trouble(kind, _planned(kind, listed, stands), _bare(line))
        )
    if not kinds:
        raise SiteError("troubles: the site lists none")
    for place, _, kind, line in _lines(days):  # variants that only standing days show
        _sound(line, place)
        seen = kinds.get(kind)
        if seen is not None and str(line.get("how", "")) not in {t.how for t in seen}:
            seen.append(Trouble(kind, seen[0].planned, _bare(line)))
    bases = tuple(day for day in days if day.get("faults"))
    if not bases:
        raise SiteError("day: no standing day has faults, so there is no day to draw upon")
    for n, day in enumerate(bases):
        _text(day, "slot", f"day[{n}]"), _text(day, "name", f"day[{n}]")
        for line in _tables(day, "traffic"):
            _figure(line, "per_s", f"day {day['name']}: traffic")
    closings = {
        str(sorted(c.items())): c for day in days if isinstance(c := day.get("closing"), dict)
    }
    for closing in closings.values():
        _text(closing, "kind", "closing"), _figure({"down_s": 1.0} | closing, "down_s", "closing")
    ends = [
        line["at"] + line.get("for_s", FOR_S)
        for _, where, _, line in _lines(days)
        if where == "faults"
    ]
    starts = [line["at"] for _, where, _, line in _lines(days) if where == "plan"]
    quiet = min(max(ends), length)
    if quiet - lead < LEAST_S:
        raise SiteError(
            f"day: the standing days' faults end at {quiet:g}, too near to lead_s {lead:g}"
        )
    groups = [s.get("servers", []) for s in _tables(told, "services")]
    servers = sum(int(z.get("count", 0)) for group in groups for z in group)
    machines = sum(int(m.get("count", 0)) for m in _tables(told, "machines"))
    bounds = told.get("bounds", {})
    return Site(
        name,
        hundredths(lead),
        hundredths(length),
        hundredths(min([*starts, lead])),
        hundredths(quiet),
        hundredths(bounds.get("config_ms", 1000 * FOR_S) / 1000),
        max(servers, machines, 1),
        {kind: tuple(ways) for kind, ways in kinds.items()},
        bases,
        tuple(closings.values()),
        tuple(str(c.get("name", "")) for c in _tables(told, "classes")),
        tuple(str(z.get("name", "")) for z in _tables(told, "zones")),
        tuple(map(str, told.get("contracts", ()))),
    )


def _planned(kind: str, listed: list[tuple[str, dict]], stands: Counter) -> bool:
    """Where standing days have the kind. One that none has is a fault if a line of it says how long
    it lasts: so it is with all that they have.
    """
    plan, faults = stands[kind, "plan"], stands[kind, "faults"]
    if plan or faults:
        return plan > faults
    return not any("for_s" in line for other, line in listed if other == kind)


def _lines(days: list[dict]) -> Iterator[tuple[str, str, str, dict]]:
    """All troubles of standing days: place, list, kind, line."""
    for n, day in enumerate(days):
        for where in ("plan", "faults"):
            for line in _tables(day, where):
                place = f"day[{n}].{where}"
                _figure(line, "at", place)
                yield place, where, _text(line, "kind", place), line


def _bare(line: dict) -> dict[str, Any]:
    return {key: value for key, value in line.items() if key not in ("kind", "at")}


def _sound(line: dict, place: str) -> None:
    """Figures that are used are figures."""
    for key in ("share", "x", "for_s", "gap_s", "count"):
        if key in line and _figure(line, key, place) <= 0:
            raise SiteError(f"{place}: {key} is not above 0")


def _tables(told: dict, key: str) -> list[dict]:
    found = told.get(key, [])
    if not isinstance(found, list) or not all(isinstance(one, dict) for one in found):
        raise SiteError(f"{key}: not a list of tables")
    return found


def _text(told: dict, key: str, place: str) -> str:
    value = told.get(key)
    if not isinstance(value, str) or not value:
        raise SiteError(f"{place}: {key} is missing or not a text")
    return value


def _figure(told: dict, key: str, place: str) -> float:
    value = told.get(key)
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not isfinite(value)
        or value < 0
    ):
        raise SiteError(f"{place}: {key} is missing or not a figure of 0 or more")
    return float(value)
