"""Writes drawn days as TOML, and their index as JSON.

Only the types in days are supported: strings, numbers, booleans, lists and inline tables.
"""

from __future__ import annotations

import json
import re
from itertools import combinations
from typing import Any

from loomstand.testing.fault_schedules.draw import DrawnDay, DrawOptions, Pair, pair, selected_kinds
from loomstand.testing.fault_schedules.site import Site

_BARE = re.compile(r"[A-Za-z0-9_-]+")


def toml(value: Any) -> str:
    """Returns a value as TOML on one line. Raises ValueError for an unsupported type."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, int | float):
        return repr(value)
    if isinstance(value, str):
        return json.dumps(value, ensure_ascii=False).replace("\x7f", "\\u007f")
    if isinstance(value, list | tuple):
        return f"[{', '.join(map(toml, value))}]"
    if isinstance(value, dict):
        return (
            "{ " + ", ".join(f"{_key(k)} = {toml(v)}" for k, v in value.items()) + " }"
            if value
            else "{}"
        )
    raise ValueError(f"a {type(value).__name__} can't be written")


def _key(key: str) -> str:
    return key if _BARE.fullmatch(key) else toml(key)


def day_text(day: dict[str, Any]) -> str:
    """Returns a day as a `[[day]]` table, with one line per table of a list, as in site files."""
    lines = ["[[day]]"]
    for key, value in day.items():
        if isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
            lines += [f"{_key(key)} = [", *(f"  {toml(item)}," for item in value), "]"]
        else:
            lines.append(f"{_key(key)} = {toml(value)}")
    return "\n".join(lines) + "\n"


def index(site: Site, options: DrawOptions, days: list[DrawnDay]) -> dict[str, Any]:
    """Returns the contents of the index file: the days' troubles and the pairs that overlap.

    Times are seconds from the start of traffic.
    """
    kinds = selected_kinds(site, options)
    possible: list[Pair] = [pair(*two) for two in combinations(kinds, 2)]
    overlapping_pairs: set[Pair] = set()
    rows = []
    all_met_by_day = None
    for n, day in enumerate(days, 1):
        new = sorted(day.overlapping_pairs() - overlapping_pairs)
        overlapping_pairs |= day.overlapping_pairs()
        if all_met_by_day is None and len(overlapping_pairs) == len(possible):
            all_met_by_day = n
        rows.append(
            {
                "file": file_name(day),
                "name": day.name,
                "base": day.base,
                "slot": day.fields["slot"],
                "seed": day.fields["seed"],
                "closing": day.fields.get("closing", {}).get("kind"),
                "meeting_s": None if day.meeting is None else day.meeting / 100,
                "troubles": [
                    {
                        "kind": p.trouble.kind,
                        "how": p.trouble.how,
                        "planned": p.trouble.is_planned,
                        "at_s": p.at / 100,
                        "until_s": p.until / 100,
                    }
                    for p in day.placed
                ],
                "pairs_met": len(day.overlapping_pairs()),
                "pairs_new": new,
            }
        )
    return {
        "site": site.name,
        "severity": options.severity,
        "seed": options.seed,
        "load": options.load,
        "dense": options.dense,
        "kinds": kinds,
        "pairs": {
            "possible": len(possible),
            "met": len(overlapping_pairs),
            "all_met_by_day": all_met_by_day,
            "never_met": sorted(set(possible) - overlapping_pairs),
        },
        "days": rows,
    }


def file_name(day: DrawnDay) -> str:
    """Returns the file name of a day, without characters of the name that files can't have."""
    return re.sub(r"[^A-Za-z0-9._-]", "_", day.name).lstrip(".") + ".toml"
