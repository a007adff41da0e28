"""Days of our own, drawn by the almanac and written to a directory."""

from __future__ import annotations

import json
import os
from collections import Counter

from loomstand.ctl import show
from loomstand.ctl.commands import DaysDraw
from loomstand.ctl.plain import Wrong, held, many, said
from loomstand.testing.fault_schedules import draw, site, write

INDEX = "index.json"


def days_draw(asked: DaysDraw) -> int:
    try:
        at = site.read(held(asked.site))
        kinds = tuple(kind for kind in asked.kinds.split(",") if kind)
        wish = draw.DrawOptions(
            asked.seed, asked.severity, asked.days, kinds, asked.load, asked.dense
        )
        drawn = draw.draw(at, wish)
        files = {write.file_name(day): write.day_text(day.fields) for day in drawn}
    except ValueError as why:
        raise Wrong(f"{asked.site}: {why}") from None
    told = write.index(at, wish, drawn)
    _keep(asked.out, files | {INDEX: json.dumps(told, indent=1) + "\n"})
    if asked.json:
        print(json.dumps(told, indent=2))
        return 0
    table = show.table(
        "day", "like", "closing", "meet at", "troubles", whole=("closing", "meet at")
    )
    for n, day in enumerate(told["days"], 1):
        meeting = "" if day["meeting_s"] is None else f"{day['meeting_s']:g} s"
        counts = Counter(one["kind"] for one in day["troubles"])
        troubles = ", ".join(kind if n == 1 else f"{kind} x {n}" for kind, n in counts.items())
        table.add_row(str(n), day["base"], day["closing"] or "none", meeting, said(troubles))
    show.console().print(table)
    pairs = told["pairs"]
    by = f", all by day {pairs['all_met_by_day']}" if pairs["all_met_by_day"] else ""
    print(f"{many(len(drawn), 'day')} and {INDEX} in {said(asked.out)}")
    print(f"{pairs['met']} of {pairs['possible']} pairs of kinds meet{by}")
    return 0


def _keep(out: str, files: dict[str, str]) -> None:
    """Writes what isn't there yet. Raises Wrong, with nothing written, where a file
    holds something else, as one of another draw.
    """
    try:
        os.makedirs(out, exist_ok=True)
        for name, text in files.items():
            path = os.path.join(out, name)
            if os.path.exists(path) and held(path) != text.encode():
                raise Wrong(
                    f"{path}: holds something else; take it away, or name another directory"
                )
        for name, text in files.items():
            with open(os.path.join(out, name), "wb") as file:
                file.write(text.encode())
    except OSError as why:
        raise Wrong(f"{why.filename or out}: can't be written ({why.strerror or why})") from None
