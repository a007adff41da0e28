"""`journal show`, `journal compare` and `journal list`: losses of the bench's runs, by cause.

See docs/almanac.md. Tables fit within 80 columns.
"""

from __future__ import annotations

import glob
import json
import os
import textwrap
from typing import Any

from loomstand.ctl import tables
from loomstand.ctl.commands import OUTPUT_WIDTH, JournalCompare, JournalList, JournalShow
from loomstand.ctl.common import CommandError, pluralize, read_input, single_line, to_json_data
from loomstand.testing.fault_schedules import entry, losses, site
from loomstand.testing.fault_schedules.entry import Day, Entry
from loomstand.testing.fault_schedules.losses import Change, Loss

MAX_DETAILED_DAYS = 8  # an entry of more days is printed without the details of each day
MIN_SHOWN_LOSS = 0.0005  # smaller losses would be printed as 0.000 and are left out
MAX_SHOWN_CAUSES = 3  # for each day in `journal compare`


def _load_entry(path_or_id: str, journal: str) -> Entry:
    """Returns the entry in a file, or the one with an id in the journal's directory.

    Raises:
        CommandError: There is no such file or id, or the file has no valid entry.
    """
    path = path_or_id if os.path.isfile(path_or_id) else _find_path(path_or_id, journal)
    try:
        return entry.read(read_input(path))
    except entry.EntryError as error:
        raise CommandError(f"{path}: {error}") from None


def _find_path(entry_id: str, journal: str) -> str:
    """Returns the path of the only entry in the journal with this id at the end of its name."""
    stem = glob.escape(entry_id.removesuffix(".json"))
    paths = glob.glob(f"{stem}.json", root_dir=journal) or glob.glob(
        f"*-{stem}*.json", root_dir=journal
    )
    if len(paths) != 1 or not entry_id:
        problem = (
            f"matches {len(paths)} entries" if paths else "is neither a file nor an entry's id"
        )
        raise CommandError(f"{single_line(entry_id) or 'nothing'} {problem} in {journal}")
    return os.path.join(journal, paths[0])


def _class_and_zone_names(
    command: JournalShow, record: Entry
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Returns the names of the classes of requests and of the zones, in the entry's order.

    They are read from the site file of `--site`, or else from the one among the bench's arguments;
    both tuples are empty if there is none.
    """
    bench_files = [arg for arg in record.argv if arg.endswith(".toml") and os.path.isfile(arg)]
    paths = [command.site] if command.site else bench_files
    for path in paths:
        try:
            site_file = site.read(read_input(path))
        except site.SiteError as error:
            if command.site:
                raise CommandError(f"{path}: {error}") from None
            continue  # not a site file but, for instance, the file of a day
        if site_file.name == record.site:
            return site_file.classes, site_file.zones
        if command.site:
            raise CommandError(
                f"{path}: describes site {single_line(site_file.name)}, "
                f"but the entry is of site {single_line(record.site)}"
            )
    return (), ()


def journal_show(command: JournalShow) -> int:
    """Runs `journal show`; returns the exit code."""
    record = _load_entry(command.entry, command.journal)
    names = _class_and_zone_names(command, record)
    if command.plot:
        _draw_plot(record, command.plot)
    totals = losses.of_entry(record)
    if command.json:
        print(json.dumps(_entry_json(record, names, totals), indent=2))
    else:
        _print_entry(record, names, totals)
    return 0 if all(day.gate and not day.rules for day in record.days) else 1


def _draw_plot(record: Entry, path: str) -> None:
    from loomstand.testing.fault_schedules import plots

    try:
        plots.bars(record, path)
    except ImportError:
        raise CommandError("--plot needs matplotlib: pip install -r requirements-lab.txt") from None
    except OSError as error:
        raise CommandError(f"{path}: can't be written ({error.strerror or error})") from None


def _entry_json(record: Entry, names: tuple, totals: list[Loss]) -> dict[str, Any]:
    classes, zones = names
    days = []
    for weight, day in zip(losses.weights(record), record.days, strict=True):
        days.append(
            to_json_data(day)
            | {
                "weight": weight,
                "losses": to_json_data(losses.of_day(day)),
                "by_class": dict(losses.labelled(day.by_class, classes)),
                "by_zone": dict(losses.labelled(day.by_zone, zones)),
            }
        )
    return to_json_data(record) | {
        "score_by_days": losses.score(record),
        "losses": to_json_data(totals),
        "days": days,
    }


def _print_entry(record: Entry, names: tuple, totals: list[Loss]) -> None:
    print(single_line(f"{record.verb} {record.id} on {record.site}, {record.at}"))
    if record.why:
        print(
            textwrap.fill(single_line(f"why: {record.why}"), OUTPUT_WIDTH, subsequent_indent="    ")
        )
    table = tables.make_table(
        "day",
        "slot",
        "weight",
        "score",
        "worth",
        "served",
        "prices",
        "largest loss",
        right=("weight", "score", "worth", "served", "prices"),
    )
    for weight, day in zip(losses.weights(record), record.days, strict=True):
        prices, largest = sum(price.worth for price in day.prices), losses.of_day(day)[0]
        verdicts = "".join(f"{verdict}; " for verdict in _verdicts(day))
        table.add_row(
            single_line(day.name),
            single_line(day.slot),
            f"{weight:.2f}",
            f"{day.score:.3f}",
            f"{day.worth:.3f}",
            f"{day.served:.3f}",
            f"{prices:.3f}",
            single_line(f"{verdicts}{largest.cause} {largest.worth:.3f}"),
        )
    console = tables.make_console()
    console.print(table)
    table = tables.make_table(
        "lost over all days to", "of worth", "of score", right=("of worth", "of score")
    )
    shown = [loss for loss in totals if max(loss.worth, loss.score) >= MIN_SHOWN_LOSS]
    for loss in shown:
        table.add_row(single_line(_format_cause(loss)), f"{loss.worth:.3f}", f"{loss.score:.3f}")
    sums = [sum(getattr(loss, field) for loss in totals) for field in ("worth", "score")]
    table.add_row("total", *(f"{value:.3f}" for value in sums))
    console.print(table)
    print(_format_score(record))
    if len(record.days) > MAX_DETAILED_DAYS:
        print(f"{len(record.days)} days: `--json` has each in full")
        return
    for day in record.days:
        _print_day(day, names)


def _format_score(record: Entry) -> str:
    score = losses.score(record)
    if record.score is None or abs(record.score - score) < MIN_SHOWN_LOSS:
        return f"score by these days: {score:.3f}"
    return (
        f"score by these days: {score:.3f}; "
        f"the bench's estimate by an earlier one: {record.score:.3f}"
    )


def _format_cause(loss: Loss) -> str:
    return f"price: {loss.cause}" if loss.kind == losses.PRICE else loss.cause


def _verdicts(day: Day) -> list[str]:
    """Returns a text for each broken rule, for the fault and for a failed gate."""
    broken = [f"{rule} broken" for rule in sorted(day.rules)]
    return (
        broken
        + ([f"fault: {day.fault}"] if day.fault else [])
        + ([] if day.gate else ["gate failed"])
    )


def _print_day(day: Day, names: tuple) -> None:
    classes, zones = names
    seed = "" if day.seed is None else f", seed {day.seed}"
    items_by_label = {
        "earned": [f"{part.name} {part.earned:.3f} (weight {part.weight:g})" for part in day.parts],
        "lost": [
            f"{_format_cause(loss)} {loss.worth:.3f}"
            for loss in losses.of_day(day)
            if loss.worth >= MIN_SHOWN_LOSS
        ],
        "kinds": [f"{name} {share:.3f}" for name, share in losses.labelled(day.by_class, classes)],
        "zones": [f"{name} {share:.3f}" for name, share in losses.labelled(day.by_zone, zones)],
        "wrong": [*_verdicts(day), *(f"floor not reached: {floor}" for floor in day.short)],
        "tries": [f"refused {day.refused:.3f}, failed {day.failed:.3f}"],
    }
    print()
    head = f"{day.name}{seed}: worth {day.worth:.3f} between {day.zero:g} and {day.one:g}"
    print(textwrap.fill(single_line(head), OUTPUT_WIDTH))
    for label, items in items_by_label.items():
        if items:
            print(
                textwrap.fill(
                    single_line(f"  {label:6} {', '.join(items)}"),
                    OUTPUT_WIDTH,
                    subsequent_indent=" " * 9,
                )
            )


def journal_compare(command: JournalCompare) -> int:
    """Runs `journal compare`; returns the exit code."""
    old, new = (_load_entry(name, command.journal) for name in (command.old, command.new))
    if old.site != new.site:
        raise CommandError(
            f"{single_line(old.id)} is of site {single_line(old.site)}, "
            f"{single_line(new.id)} of site {single_line(new.site)}"
        )
    changes = losses.changes(old, new)
    if not changes:
        raise CommandError(f"{single_line(old.id)} and {single_line(new.id)} have no day in common")
    worse = any(
        change.score <= -losses.NOISE or change.new.rules.keys() - change.old.rules.keys()
        for change in changes
    )
    if command.json:
        rows = [
            {
                "day": change.name,
                "same": change.same,
                "score": [change.old.score, change.new.score],
                "score_change": change.score,
                "worth": [change.old.worth, change.new.worth],
                "worth_change": change.worth,
                "noise": change.noise,
                "rules": [change.old.rules, change.new.rules],
                "lost_more": dict(change.causes),
            }
            for change in changes
        ]
        report = {"site": new.site, "old": old.id, "new": new.id, "worse": worse, "days": rows}
        print(json.dumps(report, indent=2))
    else:
        _print_comparison(old, new, changes)
    return 1 if worse else 0


def _print_comparison(old: Entry, new: Entry, changes: list[Change]) -> None:
    print(single_line(f"{old.site}: {old.verb} {old.id}, {old.at}"))
    print(single_line(f"then {new.verb} {new.id}, {new.at}"))
    headers = ("day", "score", "then", "", "worth", "then", "lost more (+) or less (-) to")
    table = tables.make_table(*headers, right=("score", "then", "worth"))
    for change in changes:
        causes = [
            f"{cause} {value:+.3f}"
            for cause, value in change.causes[:MAX_SHOWN_CAUSES]
            if abs(value) >= MIN_SHOWN_LOSS
        ]
        old_rules, new_rules = change.old.rules.keys(), change.new.rules.keys()
        notes = [] if change.same else ["not the same day"]
        notes += [f"{rule} broken" for rule in sorted(new_rules - old_rules)]
        notes += [f"{rule} kept" for rule in sorted(old_rules - new_rules)]
        verdict = "noise" if change.noise else "better" if change.score > 0 else "worse"
        table.add_row(
            single_line(change.name),
            f"{change.old.score:.3f}",
            f"{change.new.score:.3f}",
            verdict,
            f"{change.old.worth:.3f}",
            f"{change.new.worth:.3f}",
            single_line(", ".join([*notes, *causes])),
        )
    console = tables.make_console()
    console.print(table)
    table = tables.make_table(
        "worth lost, mean of a day, to", "", "then", "more", right=("", "then", "more")
    )
    old_means, new_means = (
        losses.mean_worth_lost(days)
        for days in ([change.old for change in changes], [change.new for change in changes])
    )
    rows = [
        (cause, old_means.get(cause, 0.0), new_means.get(cause, 0.0))
        for cause in new_means | old_means
    ]
    for cause, before, after in sorted(rows, key=lambda row: -abs(row[2] - row[1])):
        if abs(after - before) >= MIN_SHOWN_LOSS:
            table.add_row(
                single_line(cause), f"{before:.3f}", f"{after:.3f}", f"{after - before:+.3f}"
            )
    console.print(table)
    unmatched = [len(record.days) - len(changes) for record in (old, new)]
    if any(unmatched):
        print(f"days in only one entry, left out: {unmatched[0]} and {unmatched[1]}")
    print(f"changes of a day's score below {losses.NOISE} are noise")


def journal_list(command: JournalList) -> int:
    """Runs `journal list`; returns the exit code."""
    try:
        names = sorted(name for name in os.listdir(command.journal) if name.endswith(".json"))
    except OSError as error:
        raise CommandError(
            f"{command.journal}: can't be read ({error.strerror or error})"
        ) from None
    entries, unreadable = [], []
    foreign_count = 0
    for name in names:
        try:
            entries.append(entry.read(read_input(os.path.join(command.journal, name))))
        except entry.ForeignError:
            foreign_count += 1
        except entry.EntryError as error:
            unreadable.append(f"{name}: {error}")
    selected = [
        record
        for record in entries
        if command.site in (None, record.site) and command.verb in (None, record.verb)
    ]
    selected.sort(key=lambda record: record.at)
    rows = [
        {
            "at": record.at,
            "id": record.id,
            "verb": record.verb,
            "site": record.site,
            "days": len(record.days),
            "score": losses.score(record),
            "gate": all(day.gate for day in record.days),
            "why": record.why,
        }
        for record in selected
    ]
    if command.json:
        print(
            json.dumps(
                {"entries": rows, "of_other_benches": foreign_count, "not_read": unreadable},
                indent=2,
            )
        )
        return 0
    for row in rows:
        gate = "" if row["gate"] else "  gate failed"
        figures = f"{pluralize(row['days'], 'day'):>7}  {row['score']:.3f}{gate}"
        print(
            single_line(
                f"{row['at'][:16]}  {row['id']:8}  {row['verb']:8}  {row['site']:23} {figures}"
            )
        )
        if row["why"]:
            print(
                "    "
                + textwrap.shorten(single_line(row["why"]), OUTPUT_WIDTH - 4, placeholder=" ...")
            )
    print(
        f"{len(rows)} shown; {foreign_count} of other benches, "
        f"{len(unreadable)} without days or damaged"
    )
    return 0
