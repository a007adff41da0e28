"""An entry that a verb of the bench left in `journal/`, checked. Nothing of it is ever written."""

from __future__ import annotations

import json
from dataclasses import dataclass
from math import isfinite
from typing import Any


class EntryError(ValueError):
    """The entry can't be used; the message says why."""


class ForeignError(EntryError):
    """A sound entry, but of another bench: its days don't tell what the worth is made of."""


@dataclass(frozen=True, slots=True)
class Part:
    """A share of the worth owed that was earned, and what it weighs in the day's worth."""

    name: str
    weight: float
    earned: float


@dataclass(frozen=True, slots=True)
class Price:
    name: str
    amount: float  # in the unit that the name says
    worth: float  # taken off the day's worth


@dataclass(frozen=True, slots=True)
class Day:
    name: str
    digest: str  # the same for the same day
    slot: str
    seed: int | None  # none: the bench keeps it to itself
    score: float
    worth: float  # less prices
    zero: float  # the day's marks
    one: float
    gate: bool
    served: float  # shares of the requests owed
    refused: float
    failed: float
    fault: str | None
    rules: dict[str, int]  # broken, how often
    short: tuple[str, ...]  # floors not reached
    parts: tuple[Part, ...]
    prices: tuple[Price, ...]
    by_class: tuple[float | None, ...]  # in the site's order; none: nothing was asked
    by_zone: tuple[float | None, ...]


@dataclass(frozen=True, slots=True)
class Entry:
    id: str
    at: str
    verb: str
    site: str
    why: str
    score: float | None  # as the bench says it; none for other verbs than score
    argv: tuple[str, ...]
    days: tuple[Day, ...]


def read(raw: bytes) -> Entry:
    """An entry with a day at least. Raises EntryError."""
    try:
        told = json.loads(raw)
    except (ValueError, RecursionError):
        raise EntryError("damaged: not JSON") from None
    if not isinstance(told, dict) or not isinstance(told.get("days"), list):
        raise EntryError("not an entry of a bench's journal")
    days = told["days"]
    if not days:
        raise EntryError(f"it holds no days: {told.get('error') or 'no reason is given'}")
    if not all(isinstance(day, dict) and "parts" in day and "prices" in day for day in days):
        raise ForeignError("an entry of another bench: its days don't name parts and prices")
    at, argv = told.get("at"), told.get("argv")
    if not isinstance(at, list) or not at or not isinstance(argv, list):
        raise EntryError("damaged: at or argv")
    site = told.get("site") or ", ".join(sorted({str(day.get("site", "unknown")) for day in days}))
    return Entry(
        _text(told, "id"),
        str(at[0]),
        _text(told, "cmd"),
        str(site),
        str(told.get("why") or ""),
        None if told.get("score") is None else _figure(told["score"], "score"),
        tuple(map(str, argv)),
        tuple(_day(day, f"days[{n}]") for n, day in enumerate(days)),
    )


def _day(told: dict[str, Any], place: str) -> Day:
    def figure(key: str) -> float:
        return _figure(told.get(key), f"{place}.{key}")

    rules = told.get("rules")
    if not isinstance(rules, dict) or not isinstance(told.get("gate"), bool):
        raise EntryError(f"damaged: {place}: rules or gate")
    return Day(
        _text(told, "name", place),
        str(told.get("day", "")),
        _text(told, "slot", place),
        None if told.get("seed") is None else int(figure("seed")),
        figure("score"),
        figure("G"),
        figure("naive"),
        figure("top"),
        told["gate"],
        figure("served"),
        figure("refused"),
        figure("failed"),
        None if told.get("fault") is None else str(told["fault"]),
        {str(rule): int(_figure(n, f"{place}.rules")) for rule, n in rules.items()},
        tuple(map(str, _list(told, "short", place))),
        tuple(Part(*row) for row in _rows(told, "parts", place)),
        tuple(Price(*row) for row in _rows(told, "prices", place)),
        _shares(told, "by_class", place),
        _shares(told, "by_zone", place),
    )


def _rows(told: dict, key: str, place: str) -> list[tuple[str, float, float]]:
    out = []
    for row in _list(told, key, place):
        if not isinstance(row, list) or len(row) != 3 or not isinstance(row[0], str):
            raise EntryError(f"damaged: {place}.{key}: not rows of a name and two figures")
        out.append((row[0], _figure(row[1], f"{place}.{key}"), _figure(row[2], f"{place}.{key}")))
    return out


def _shares(told: dict, key: str, place: str) -> tuple[float | None, ...]:
    return tuple(
        None if v is None else _figure(v, f"{place}.{key}") for v in _list(told, key, place)
    )


def _list(told: dict, key: str, place: str) -> list:
    found = told.get(key) or []
    if not isinstance(found, list):
        raise EntryError(f"damaged: {place}.{key}: not a list")
    return found


def _text(told: dict, key: str, place: str = "the entry") -> str:
    value = told.get(key)
    if not isinstance(value, str):
        raise EntryError(f"damaged: {place}: {key} is missing or not a text")
    return value


def _figure(value: Any, place: str) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
        raise EntryError(f"damaged: {place} is missing or not a figure")
    return value
