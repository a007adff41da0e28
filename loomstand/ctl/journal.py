"""`journal show`, `journal compare` and `journal list`: what runs of the bench lost, by cause
(docs/almanac.md). Tables fit within 80 columns.
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

MAX_DETAILED_DAYS = 8  # a longer entry, such as that of a hunt, is printed without details
MIN_SHOWN_LOSS = 0.0005  # smaller losses are left out: three digits would show them as 0
MAX_SHOWN_CAUSES = 3  # of each day in `compare`


def _load_entry(text: str, journal: str) -> Entry:
    """Returns the entry in the file `text`, or the one with this id in the journal. Raises
    CommandError.
    """
    path = text if os.path.isfile(text) else _find_path(text, journal)
    try:
        return entry.read(read_input(path))
    except entry.EntryError as error:
        raise CommandError(f"{path}: {error}") from None


def _find_path(entry_id: str, journal: str) -> str:
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

    They come from the site file given, or else from the bench's arguments; empty without one.
    """
    bench_files = [arg for arg in record.argv if arg.endswith(".toml") and os.path.isfile(arg)]
    paths = [command.site] if command.site else bench_files
    for path in paths:
        try:
            site_file = site.read(read_input(path))
        except site.SiteError as error:
            if command.site:
                raise CommandError(f"{path}: {error}") from None
            continue  # another kind of file, such as that of a day
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
    labels = _class_and_zone_names(command, record)
    if command.plot:
        _draw_plot(record, command.plot)
    totals = losses.of_entry(record)
    if command.json:
        print(json.dumps(_entry_json(record, labels, totals), indent=2))
    else:
        _print_entry(record, labels, totals)
    return 0 if all(day.gate and not day.rules for day in record.days) else 1


def _draw_plot(record: Entry, path: str) -> None:
    from loomstand.testing.fault_schedules import plots

    try:
        plots.bars(record, path)
    except ImportError:
        raise CommandError("--plot needs matplotlib: pip install -r requirements-lab.txt") from None
    except OSError as error:
        raise CommandError(f"{path}: can't be written ({error.strerror or error})") from None


def _entry_json(record: Entry, labels: tuple, totals: list[Loss]) -> dict[str, Any]:
    classes, zones = labels
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


def _print_entry(record: Entry, labels: tuple, totals: list[Loss]) -> None:
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
        _print_day(day, labels)


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
    """Returns the broken rules, the fault and a failed gate, as texts."""
    broken = [f"{rule} broken" for rule in sorted(day.rules)]
    return (
        broken
        + ([f"fault: {day.fault}"] if day.fault else [])
        + ([] if day.gate else ["gate failed"])
    )


def _print_day(day: Day, labels: tuple) -> None:
    classes, zones = labels
    seed = "" if day.seed is None else f", seed {day.seed}"
    rows = {
        "earned": [f"{part.name} {part.earned:.3f} (weight {part.weight:g})" for part in day.parts],
        "lost": [
            f"{_format_cause(x)} {x.worth:.3f}"
            for x in losses.of_day(day)
            if x.worth >= MIN_SHOWN_LOSS
        ],
        "kinds": [f"{name} {share:.3f}" for name, share in losses.labelled(day.by_class, classes)],
        "zones": [f"{name} {share:.3f}" for name, share in losses.labelled(day.by_zone, zones)],
        "wrong": [*_verdicts(day), *(f"floor not reached: {short}" for short in day.short)],
        "tries": [f"refused {day.refused:.3f}, failed {day.failed:.3f}"],
    }
    print()
    head = f"{day.name}{seed}: worth {day.worth:.3f} between {day.zero:g} and {day.one:g}"
    print(textwrap.fill(single_line(head), OUTPUT_WIDTH))
    for head, items in rows.items():
        if items:
            print(
                textwrap.fill(
                    single_line(f"  {head:6} {', '.join(items)}"),
                    OUTPUT_WIDTH,
                    subsequent_indent=" " * 9,
                )
            )


def journal_compare(command: JournalCompare) -> int:
    """Runs `journal compare`; returns the exit code."""
    old, new = (_load_entry(text, command.journal) for text in (command.old, command.new))
    if old.site != new.site:
        raise CommandError(
            f"{single_line(old.id)} is of site {single_line(old.site)}, "
            f"{single_line(new.id)} of site {single_line(new.site)}"
        )
    changes = losses.changes(old, new)
    if not changes:
        raise CommandError(f"{single_line(old.id)} and {single_line(new.id)} have no day in common")
    worse = any(
        c.score <= -losses.NOISE or c.new.rules.keys() - c.old.rules.keys() for c in changes
    )
    if command.json:
        rows = [
            {
                "day": c.name,
                "same": c.same,
                "score": [c.old.score, c.new.score],
                "score_change": c.score,
                "worth": [c.old.worth, c.new.worth],
                "worth_change": c.worth,
                "noise": c.noise,
                "rules": [c.old.rules, c.new.rules],
                "lost_more": dict(c.causes),
            }
            for c in changes
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
    for c in changes:
        causes = [
            f"{cause} {value:+.3f}"
            for cause, value in c.causes[:MAX_SHOWN_CAUSES]
            if abs(value) >= MIN_SHOWN_LOSS
        ]
        notes = [] if c.same else ["not the same day"]
        notes += [f"{rule} broken" for rule in sorted(c.new.rules.keys() - c.old.rules.keys())]
        notes += [f"{rule} kept" for rule in sorted(c.old.rules.keys() - c.new.rules.keys())]
        verdict = "noise" if c.noise else "better" if c.score > 0 else "worse"
        table.add_row(
            single_line(c.name),
            f"{c.old.score:.3f}",
            f"{c.new.score:.3f}",
            verdict,
            f"{c.old.worth:.3f}",
            f"{c.new.worth:.3f}",
            single_line(", ".join([*notes, *causes])),
        )
    console = tables.make_console()
    console.print(table)
    table = tables.make_table(
        "worth lost, mean of a day, to", "", "then", "more", right=("", "then", "more")
    )
    old_means, new_means = (
        losses.mean_worth_lost(days)
        for days in ([c.old for c in changes], [c.new for c in changes])
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
    unmatched = [len(e.days) - len(changes) for e in (old, new)]
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
    foreign = 0
    for name in names:
        try:
            entries.append(entry.read(read_input(os.path.join(command.journal, name))))
        except entry.ForeignError:
            foreign += 1
        except entry.EntryError as error:
            unreadable.append(f"{name}: {error}")
    selected = [
        e for e in entries if command.site in (None, e.site) and command.verb in (None, e.verb)
    ]
    selected.sort(key=lambda e: e.at)
    rows = [
        {
            "at": e.at,
            "id": e.id,
            "verb": e.verb,
            "site": e.site,
            "days": len(e.days),
            "score": losses.score(e),
            "gate": all(day.gate for day in e.days),
            "why": e.why,
        }
        for e in selected
    ]
    if command.json:
        print(
            json.dumps(
                {"entries": rows, "of_other_benches": foreign, "not_read": unreadable}, indent=2
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
        f"{len(rows)} shown; {foreign} of other benches, {len(unreadable)} without days or damaged"
    )
    return 0
