"""`days draw`: fault schedules for the bench, generated from a site file and written to a directory
(docs/almanac.md).
"""

from __future__ import annotations

import json
import os
from collections import Counter

from loomstand.ctl import tables
from loomstand.ctl.commands import DaysDraw
from loomstand.ctl.common import CommandError, pluralize, read_input, single_line
from loomstand.testing.fault_schedules import draw, site, write

INDEX_FILE = "index.json"


def days_draw(command: DaysDraw) -> int:
    """Runs `days draw`; returns the exit code."""
    try:
        site_file = site.read(read_input(command.site))
        kinds = tuple(kind for kind in command.kinds.split(",") if kind)
        options = draw.DrawOptions(
            command.seed, command.severity, command.days, kinds, command.load, command.dense
        )
        days = draw.draw(site_file, options)
        files = {write.file_name(day): write.day_text(day.fields) for day in days}
    except ValueError as error:
        raise CommandError(f"{command.site}: {error}") from None
    index = write.index(site_file, options, days)
    _write_files(command.out, files | {INDEX_FILE: json.dumps(index, indent=1) + "\n"})
    if command.json:
        print(json.dumps(index, indent=2))
        return 0
    table = tables.make_table(
        "day", "based on", "closing", "overlap at", "faults", no_wrap=("closing", "overlap at")
    )
    for number, day in enumerate(index["days"], 1):
        overlap = "" if day["meeting_s"] is None else f"{day['meeting_s']:g} s"
        counts = Counter(fault["kind"] for fault in day["troubles"])
        faults = ", ".join(
            kind if count == 1 else f"{kind} x {count}" for kind, count in counts.items()
        )
        table.add_row(
            str(number), day["base"], day["closing"] or "none", overlap, single_line(faults)
        )
    tables.make_console().print(table)
    pairs = index["pairs"]
    all_met = f", all by day {pairs['all_met_by_day']}" if pairs["all_met_by_day"] else ""
    print(f"{pluralize(len(days), 'day')} and {INDEX_FILE} in {single_line(command.out)}")
    print(f"{pairs['met']} of {pairs['possible']} pairs of kinds occur together{all_met}")
    return 0


def _write_files(directory: str, files: dict[str, str]) -> None:
    """Writes the files into a directory, which is created if it doesn't exist.

    Raises:
        CommandError: A file exists with other contents, such as those of another draw, and nothing
            was written; or the directory or a file can't be written.
    """
    try:
        os.makedirs(directory, exist_ok=True)
        for name, text in files.items():
            path = os.path.join(directory, name)
            if os.path.exists(path) and read_input(path) != text.encode():
                raise CommandError(
                    f"{path}: exists with other contents; remove it or choose another directory"
                )
        for name, text in files.items():
            with open(os.path.join(directory, name), "wb") as file:
                file.write(text.encode())
    except OSError as error:
        raise CommandError(
            f"{error.filename or directory}: can't be written ({error.strerror or error})"
        ) from None
