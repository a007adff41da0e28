"""Reads and checks the parts of a bench's site file that drawing days needs.

Times are whole hundredths of a second, so that sums and bounds are exact. A "trouble" is a fault or
a planned operation such as a release; a "standing day" is one that the site file contains.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from math import ceil, isfinite
from typing import Any

from loomstand.config.toml_tables import TableError, parse_toml

# From the lead to the end of faults; a shorter period leaves no room for distinct start times.
MIN_FAULT_PERIOD_SECONDS = 1.0
DEFAULT_DURATION_SECONDS = 5.0  # of a fault without for_s, as the bench defines it


class SiteError(ValueError):
    """The site file is invalid; the message names the place and the error."""


@dataclass(frozen=True, slots=True)
class Trouble:
    """A fault or planned operation, from the site's list of troubles or a standing day."""

    kind: str
    is_planned: bool  # listed under `plan`, otherwise under `faults`
    fields: dict[str, Any]  # without `kind` and `at`

    @property
    def how(self) -> str:
        """The variant of the kind, or an empty string."""
        return str(self.fields.get("how", ""))


@dataclass(frozen=True, slots=True)
class Site:
    """A site file; times are hundredths of a second from the start of traffic."""

    name: str
    lead: int  # earliest start of a fault
    length: int  # end of the traffic
    first: int  # earliest start of a planned operation
    quiet: int  # latest end of any trouble; the rest of the day is for the recovery
    config_delay: int  # longest time until a configuration change is in force
    things: int  # the larger of the numbers of servers and machines, to which shares refer
    kinds: dict[str, tuple[Trouble, ...]]  # in the order of the file
    bases: tuple[dict[str, Any], ...]  # standing days with faults, as in the file
    closings: tuple[dict[str, Any], ...]  # different faults that end standing days
    classes: tuple[str, ...]
    zones: tuple[str, ...]
    contracts: tuple[str, ...]


def to_centiseconds(value: float) -> int:
    """Converts seconds to whole hundredths of a second."""
    return round(100 * value)


def duration(trouble: Trouble, things: int, config_delay: int) -> int:
    """The duration of a trouble in hundredths of a second, by its fields."""
    fields = trouble.fields
    if "for_s" in fields or not trouble.is_planned:
        return to_centiseconds(fields.get("for_s", DEFAULT_DURATION_SECONDS))
    if "gap_s" not in fields:
        return config_delay
    return step_count(trouble, things) * to_centiseconds(fields["gap_s"])


def step_count(trouble: Trouble, things: int) -> int:
    """The largest number of steps of a planned operation.

    A share doesn't say of which servers or machines, so all of them count.
    """
    fields = trouble.fields
    if "count" in fields:
        return int(fields["count"])
    return max(1, ceil(fields.get("share", 1.0) * things / fields.get("x", 1.0)))


def read(raw: bytes) -> Site:
    """Reads a site file. Raises SiteError if it is invalid."""
    try:
        table = parse_toml(raw, "the file")
    except TableError as error:
        raise SiteError(str(error)) from None
    except RecursionError:
        raise SiteError("the file is not TOML: nested too deep") from None
    name = _string(table, "name", "the file")
    lead, length = (_number(table, key, "the file") for key in ("lead_s", "length_s"))
    if not 0 <= lead < length:
        raise SiteError(f"lead_s {lead:g} is not within length_s {length:g}")
    days = _tables(table, "day")
    entry_counts = Counter((kind, where) for _, where, kind, _ in _standing_troubles(days))
    kinds: dict[str, list[Trouble]] = {}
    listed = [
        (_string(t, "kind", f"troubles[{n}]"), t) for n, t in enumerate(_tables(table, "troubles"))
    ]
    for n, (kind, fields) in enumerate(listed):
        _check_numbers(fields, f"troubles[{n}]")
        kinds.setdefault(kind, []).append(
            Trouble(kind, _is_planned(kind, listed, entry_counts), _variant_fields(fields))
        )
    if not kinds:
        raise SiteError("troubles: the site lists none")
    # variants of the listed kinds that only standing days have
    for place, _, kind, fields in _standing_troubles(days):
        _check_numbers(fields, place)
        variants = kinds.get(kind)
        if variants is not None and str(fields.get("how", "")) not in {t.how for t in variants}:
            variants.append(Trouble(kind, variants[0].is_planned, _variant_fields(fields)))
    bases = tuple(day for day in days if day.get("faults"))
    if not bases:
        raise SiteError("day: no standing day has faults, so there is no base for a drawn day")
    for n, day in enumerate(bases):
        _string(day, "slot", f"day[{n}]"), _string(day, "name", f"day[{n}]")
        for flow in _tables(day, "traffic"):
            _number(flow, "per_s", f"day {day['name']}: traffic")
    closings = {
        str(sorted(c.items())): c for day in days if isinstance(c := day.get("closing"), dict)
    }
    for closing in closings.values():
        _string(closing, "kind", "closing"), _number({"down_s": 1.0} | closing, "down_s", "closing")
    ends = [
        fields["at"] + fields.get("for_s", DEFAULT_DURATION_SECONDS)
        for _, where, _, fields in _standing_troubles(days)
        if where == "faults"
    ]
    starts = [fields["at"] for _, where, _, fields in _standing_troubles(days) if where == "plan"]
    quiet = min(max(ends), length)
    if quiet - lead < MIN_FAULT_PERIOD_SECONDS:
        raise SiteError(
            f"day: the standing days' faults end at {quiet:g}, too near to lead_s {lead:g}"
        )
    groups = [s.get("servers", []) for s in _tables(table, "services")]
    servers = sum(int(zone.get("count", 0)) for group in groups for zone in group)
    machines = sum(int(m.get("count", 0)) for m in _tables(table, "machines"))
    bounds = table.get("bounds", {})
    return Site(
        name,
        to_centiseconds(lead),
        to_centiseconds(length),
        to_centiseconds(min([*starts, lead])),
        to_centiseconds(quiet),
        to_centiseconds(bounds.get("config_ms", 1000 * DEFAULT_DURATION_SECONDS) / 1000),
        max(servers, machines, 1),
        {kind: tuple(ways) for kind, ways in kinds.items()},
        bases,
        tuple(closings.values()),
        tuple(str(c.get("name", "")) for c in _tables(table, "classes")),
        tuple(str(z.get("name", "")) for z in _tables(table, "zones")),
        tuple(map(str, table.get("contracts", ()))),
    )


def _is_planned(kind: str, listed: list[tuple[str, dict]], entry_counts: Counter) -> bool:
    """Whether a kind is a planned operation: standing days list it under `plan` more often than
    under `faults`.

    A kind that no standing day has is a fault if one of its entries in the list of troubles has a
    duration (`for_s`): in standing days faults have one and planned operations don't.
    """
    plan, faults = entry_counts[kind, "plan"], entry_counts[kind, "faults"]
    if plan or faults:
        return plan > faults
    return not any("for_s" in fields for other, fields in listed if other == kind)


def _standing_troubles(days: list[dict]) -> Iterator[tuple[str, str, str, dict]]:
    """The troubles of all standing days: place, list (`plan` or `faults`), kind and fields."""
    for n, day in enumerate(days):
        for where in ("plan", "faults"):
            for fields in _tables(day, where):
                place = f"day[{n}].{where}"
                _number(fields, "at", place)
                yield place, where, _string(fields, "kind", place), fields


def _variant_fields(fields: dict) -> dict[str, Any]:
    return {key: value for key, value in fields.items() if key not in ("kind", "at")}


def _check_numbers(fields: dict, place: str) -> None:
    """Raises SiteError unless the numbers that the drawing uses are above 0."""
    for key in ("share", "x", "for_s", "gap_s", "count"):
        if key in fields and _number(fields, key, place) <= 0:
            raise SiteError(f"{place}: {key} is not above 0")


def _tables(table: dict, key: str) -> list[dict]:
    value = table.get(key, [])
    if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
        raise SiteError(f"{key}: not a list of tables")
    return value


def _string(table: dict, key: str, place: str) -> str:
    value = table.get(key)
    if not isinstance(value, str) or not value:
        raise SiteError(f"{place}: {key} is missing or not a string")
    return value


def _number(table: dict, key: str, place: str) -> float:
    value = table.get(key)
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not isfinite(value)
        or value < 0
    ):
        raise SiteError(f"{place}: {key} is missing or not a number of at least 0")
    return float(value)
