"""A drawn day as TOML, and the index of all. Only what a day holds is written: texts, figures,
truth, lists and tables on one line.
"""

from __future__ import annotations

import json
import re
from itertools import combinations
from typing import Any

from loomstand.testing.fault_schedules.draw import Drawn, DrawOptions, Pair, kinds_of, pair
from loomstand.testing.fault_schedules.site import Site

_BARE = re.compile(r"[A-Za-z0-9_-]+")


def toml(value: Any) -> str:
    """A value on one line. Raises ValueError for what TOML can't hold so."""
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
    """A `[[day]]`; lists of tables have a line for each, as in the site's file."""
    lines = ["[[day]]"]
    for key, value in day.items():
        if isinstance(value, list) and value and all(isinstance(one, dict) for one in value):
            lines += [f"{_key(key)} = [", *(f"  {toml(one)}," for one in value), "]"]
        else:
            lines.append(f"{_key(key)} = {toml(value)}")
    return "\n".join(lines) + "\n"


def index(site: Site, wish: DrawOptions, days: list[Drawn]) -> dict[str, Any]:
    """What each day mixes and which pairs of kinds met. Times in seconds from the start of
    traffic.
    """
    kinds = kinds_of(site, wish)
    possible: list[Pair] = [pair(*two) for two in combinations(kinds, 2)]
    met: set[Pair] = set()
    rows = []
    all_met = None
    for n, day in enumerate(days, 1):
        new = sorted(day.met() - met)
        met |= day.met()
        if all_met is None and len(met) == len(possible):
            all_met = n
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
                        "planned": p.trouble.planned,
                        "at_s": p.at / 100,
                        "until_s": p.until / 100,
                    }
                    for p in day.placed
                ],
                "pairs_met": len(day.met()),
                "pairs_new": new,
            }
        )
    return {
        "site": site.name,
        "severity": wish.severity,
        "seed": wish.seed,
        "load": wish.load,
        "dense": wish.dense,
        "kinds": kinds,
        "pairs": {
            "possible": len(possible),
            "met": len(met),
            "all_met_by_day": all_met,
            "never_met": sorted(set(possible) - met),
        },
        "days": rows,
    }


def file_name(day: Drawn) -> str:
    """The day's name as a file's, whatever characters the site's name has."""
    return re.sub(r"[^A-Za-z0-9._-]", "_", day.name).lstrip(".") + ".toml"
