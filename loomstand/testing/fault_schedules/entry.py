"""Reads and checks the entries that the bench's commands write to `journal/`."""

from __future__ import annotations

import json
from dataclasses import dataclass
from math import isfinite
from typing import Any


class EntryError(ValueError):
    """The entry is invalid; the message says why."""


class ForeignError(EntryError):
    """A valid entry of another bench, whose days don't say how their worth is composed."""


@dataclass(frozen=True, slots=True)
class Part:
    """A component of a day's worth."""

    name: str
    weight: float  # in the day's worth
    earned: float  # share of the worth owed, from 0 to 1


@dataclass(frozen=True, slots=True)
class Price:
    """A cost that is deducted from a day's worth."""

    name: str
    amount: float  # in the unit given by the name
    worth: float  # deducted from the day's worth


@dataclass(frozen=True, slots=True)
class Day:
    """The results of one day."""

    name: str
    digest: str  # identifies the day's content
    slot: str
    seed: int | None  # None if the bench doesn't disclose it
    score: float
    worth: float  # after prices
    zero: float  # worth that scores 0
    one: float  # worth that scores 1
    gate: bool  # whether the day passed the bench's gate
    # shares of the requests owed
    served: float
    refused: float
    failed: float
    fault: str | None
    rules: dict[str, int]  # violations by broken rule
    short: tuple[str, ...]  # minimum values that weren't reached
    parts: tuple[Part, ...]
    prices: tuple[Price, ...]
    by_class: tuple[float | None, ...]  # in the order of the site; None: without requests
    by_zone: tuple[float | None, ...]


@dataclass(frozen=True, slots=True)
class Entry:
    """A journal entry of the bench: one run of a command."""

    id: str
    at: str
    verb: str
    site: str
    why: str
    score: float | None  # as the bench computed it; None unless the command is score
    argv: tuple[str, ...]
    days: tuple[Day, ...]


def read(raw: bytes) -> Entry:
    """Reads an entry with at least one day. Raises EntryError if it is invalid."""
    try:
        record = json.loads(raw)
    except (ValueError, RecursionError):
        raise EntryError("damaged: not JSON") from None
    if not isinstance(record, dict) or not isinstance(record.get("days"), list):
        raise EntryError("not an entry of a bench's journal")
    days = record["days"]
    if not days:
        raise EntryError(f"it holds no days: {record.get('error') or 'no reason is given'}")
    if not all(isinstance(day, dict) and "parts" in day and "prices" in day for day in days):
        raise ForeignError("an entry of another bench: its days don't name parts and prices")
    at, argv = record.get("at"), record.get("argv")
    if not isinstance(at, list) or not at or not isinstance(argv, list):
        raise EntryError("damaged: at or argv")
    site = record.get("site") or ", ".join(
        sorted({str(day.get("site", "unknown")) for day in days})
    )
    return Entry(
        _string(record, "id"),
        str(at[0]),
        _string(record, "cmd"),
        str(site),
        str(record.get("why") or ""),
        None if record.get("score") is None else _number(record["score"], "score"),
        tuple(map(str, argv)),
        tuple(_day(day, f"days[{n}]") for n, day in enumerate(days)),
    )


def _day(record: dict[str, Any], place: str) -> Day:
    def number(key: str) -> float:
        return _number(record.get(key), f"{place}.{key}")

    rules = record.get("rules")
    if not isinstance(rules, dict) or not isinstance(record.get("gate"), bool):
        raise EntryError(f"damaged: {place}: rules or gate")
    return Day(
        _string(record, "name", place),
        str(record.get("day", "")),
        _string(record, "slot", place),
        None if record.get("seed") is None else int(number("seed")),
        number("score"),
        number("G"),
        number("naive"),
        number("top"),
        record["gate"],
        number("served"),
        number("refused"),
        number("failed"),
        None if record.get("fault") is None else str(record["fault"]),
        {str(rule): int(_number(n, f"{place}.rules")) for rule, n in rules.items()},
        tuple(map(str, _list(record, "short", place))),
        tuple(Part(*row) for row in _rows(record, "parts", place)),
        tuple(Price(*row) for row in _rows(record, "prices", place)),
        _shares(record, "by_class", place),
        _shares(record, "by_zone", place),
    )


def _rows(record: dict, key: str, place: str) -> list[tuple[str, float, float]]:
    out = []
    for row in _list(record, key, place):
        if not isinstance(row, list) or len(row) != 3 or not isinstance(row[0], str):
            raise EntryError(f"damaged: {place}.{key}: not rows of a name and two numbers")
        out.append((row[0], _number(row[1], f"{place}.{key}"), _number(row[2], f"{place}.{key}")))
    return out


def _shares(record: dict, key: str, place: str) -> tuple[float | None, ...]:
    return tuple(
        None if v is None else _number(v, f"{place}.{key}") for v in _list(record, key, place)
    )


def _list(record: dict, key: str, place: str) -> list:
    found = record.get(key) or []
    if not isinstance(found, list):
        raise EntryError(f"damaged: {place}.{key}: not a list")
    return found


def _string(record: dict, key: str, place: str = "the entry") -> str:
    value = record.get(key)
    if not isinstance(value, str):
        raise EntryError(f"damaged: {place}: {key} is missing or not a string")
    return value


def _number(value: Any, place: str) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
        raise EntryError(f"damaged: {place} is missing or not a number")
    return value
