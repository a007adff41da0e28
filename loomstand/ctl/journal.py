"""What the bench's journal says was lost where, as tables within 80 columns."""

from __future__ import annotations

import glob
import json
import os
import textwrap
from typing import Any

from loomstand.ctl import show
from loomstand.ctl.commands import WIDTH, JournalCompare, JournalList, JournalShow
from loomstand.ctl.plain import Wrong, data, held, many, said
from loomstand.testing.fault_schedules import entry, losses, site
from loomstand.testing.fault_schedules.entry import Day, Entry
from loomstand.testing.fault_schedules.losses import Change, Loss

IN_FULL = 8  # days of which all is said; a hunt has more, and is read by its table
SHOWN = 0.0005  # losses that three digits would show as 0 are left out
NAMED = 3  # causes beside a day in `compare`


def _entry(text: str, journal: str) -> Entry:
    """The entry of a file or, by its id, of the journal. Raises Wrong."""
    path = text if os.path.isfile(text) else _found(text, journal)
    try:
        return entry.read(held(path))
    except entry.EntryError as why:
        raise Wrong(f"{path}: {why}") from None


def _found(text: str, journal: str) -> str:
    stem = glob.escape(text.removesuffix(".json"))
    paths = glob.glob(f"{stem}.json", root_dir=journal) or glob.glob(
        f"*-{stem}*.json", root_dir=journal
    )
    if len(paths) != 1 or not text:
        which = f"fits {len(paths)} entries" if paths else "is no file and no entry's id"
        raise Wrong(f"{said(text) or 'nothing'} {which} in {journal}")
    return os.path.join(journal, paths[0])


def _labels(asked: JournalShow, found: Entry) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Names of kinds of request and zones by the site's file: the one given, or one that the bench
    had.
    """
    had = [word for word in found.argv if word.endswith(".toml") and os.path.isfile(word)]
    paths = [asked.site] if asked.site else had
    for path in paths:
        try:
            at = site.read(held(path))
        except site.SiteError as why:
            if asked.site:
                raise Wrong(f"{path}: {why}") from None
            continue  # as with a file of a day
        if at.name == found.site:
            return at.classes, at.zones
        if asked.site:
            raise Wrong(f"{path}: is of {said(at.name)}, the entry of {said(found.site)}")
    return (), ()


def journal_show(asked: JournalShow) -> int:
    found = _entry(asked.entry, asked.journal)
    labels = _labels(asked, found)
    if asked.plot:
        _plot(found, asked.plot)
    totals = losses.of_entry(found)
    if asked.json:
        print(json.dumps(_told(found, labels, totals), indent=2))
    else:
        _show(found, labels, totals)
    return 0 if all(day.gate and not day.rules for day in found.days) else 1


def _plot(found: Entry, path: str) -> None:
    from loomstand.testing.fault_schedules import plots

    try:
        plots.bars(found, path)
    except ImportError:
        raise Wrong("--plot needs matplotlib: pip install -r requirements-lab.txt") from None
    except OSError as why:
        raise Wrong(f"{path}: can't be written ({why.strerror or why})") from None


def _told(found: Entry, labels: tuple, totals: list[Loss]) -> dict[str, Any]:
    kinds, zones = labels
    days = []
    for weight, day in zip(losses.weights(found), found.days, strict=True):
        days.append(
            data(day)
            | {
                "weight": weight,
                "losses": data(losses.of_day(day)),
                "by_class": dict(losses.labelled(day.by_class, kinds)),
                "by_zone": dict(losses.labelled(day.by_zone, zones)),
            }
        )
    return data(found) | {
        "score_by_days": losses.score(found),
        "losses": data(totals),
        "days": days,
    }


def _show(found: Entry, labels: tuple, totals: list[Loss]) -> None:
    print(said(f"{found.verb} {found.id} on {found.site}, {found.at}"))
    if found.why:
        print(textwrap.fill(said(f"why: {found.why}"), WIDTH, subsequent_indent="    "))
    table = show.table(
        "day",
        "slot",
        "weighs",
        "score",
        "worth",
        "served",
        "prices",
        "most lost to",
        right=("weighs", "score", "worth", "served", "prices"),
    )
    for weight, day in zip(losses.weights(found), found.days, strict=True):
        priced, most = sum(price.worth for price in day.prices), losses.of_day(day)[0]
        verdict = "".join(f"{what}; " for what in _verdicts(day))
        table.add_row(
            said(day.name),
            said(day.slot),
            f"{weight:.2f}",
            f"{day.score:.3f}",
            f"{day.worth:.3f}",
            f"{day.served:.3f}",
            f"{priced:.3f}",
            said(f"{verdict}{most.cause} {most.worth:.3f}"),
        )
    console = show.console()
    console.print(table)
    table = show.table(
        "lost over all days to", "of worth", "of score", right=("of worth", "of score")
    )
    shown = [loss for loss in totals if max(loss.worth, loss.score) >= SHOWN]
    for loss in shown:
        table.add_row(said(_named(loss)), f"{loss.worth:.3f}", f"{loss.score:.3f}")
    whole = [sum(getattr(loss, of) for loss in totals) for of in ("worth", "score")]
    table.add_row("in sum", *(f"{value:.3f}" for value in whole))
    console.print(table)
    print(_score(found))
    if len(found.days) > IN_FULL:
        print(f"{len(found.days)} days: `--json` has each in full")
        return
    for day in found.days:
        _in_full(day, labels)


def _score(found: Entry) -> str:
    own = losses.score(found)
    if found.score is None or abs(found.score - own) < SHOWN:
        return f"score by these days: {own:.3f}"
    return (
        f"score by these days: {own:.3f}; the bench's estimate by an earlier one: {found.score:.3f}"
    )


def _named(loss: Loss) -> str:
    return f"price: {loss.cause}" if loss.kind == losses.PRICE else loss.cause


def _verdicts(day: Day) -> list[str]:
    broken = [f"{rule} broken" for rule in sorted(day.rules)]
    return (
        broken
        + ([f"fault: {day.fault}"] if day.fault else [])
        + ([] if day.gate else ["gate failed"])
    )


def _in_full(day: Day, labels: tuple) -> None:
    kinds, zones = labels
    seed = "" if day.seed is None else f", seed {day.seed}"
    rows = {
        "earned": [f"{part.name} {part.earned:.3f} (weight {part.weight:g})" for part in day.parts],
        "lost": [f"{_named(x)} {x.worth:.3f}" for x in losses.of_day(day) if x.worth >= SHOWN],
        "kinds": [f"{name} {share:.3f}" for name, share in losses.labelled(day.by_class, kinds)],
        "zones": [f"{name} {share:.3f}" for name, share in losses.labelled(day.by_zone, zones)],
        "wrong": [*_verdicts(day), *(f"floor not reached: {short}" for short in day.short)],
        "tries": [f"refused {day.refused:.3f}, failed {day.failed:.3f}"],
    }
    print()
    head = f"{day.name}{seed}: worth {day.worth:.3f} between {day.zero:g} and {day.one:g}"
    print(textwrap.fill(said(head), WIDTH))
    for head, words in rows.items():
        if words:
            print(
                textwrap.fill(
                    said(f"  {head:6} {', '.join(words)}"), WIDTH, subsequent_indent=" " * 9
                )
            )


def journal_compare(asked: JournalCompare) -> int:
    old, new = (_entry(text, asked.journal) for text in (asked.old, asked.new))
    if old.site != new.site:
        raise Wrong(f"{said(old.id)} is of {said(old.site)}, {said(new.id)} of {said(new.site)}")
    changes = losses.changes(old, new)
    if not changes:
        raise Wrong(f"{said(old.id)} and {said(new.id)} have no day in common")
    worse = any(
        c.score <= -losses.NOISE or c.new.rules.keys() - c.old.rules.keys() for c in changes
    )
    if asked.json:
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
        told = {"site": new.site, "old": old.id, "new": new.id, "worse": worse, "days": rows}
        print(json.dumps(told, indent=2))
    else:
        _compare(old, new, changes)
    return 1 if worse else 0


def _compare(old: Entry, new: Entry, changes: list[Change]) -> None:
    print(said(f"{old.site}: {old.verb} {old.id}, {old.at}"))
    print(said(f"then {new.verb} {new.id}, {new.at}"))
    heads = ("day", "score", "then", "", "worth", "then", "lost more (+) or less (-) to")
    table = show.table(*heads, right=("score", "then", "worth"))
    for c in changes:
        causes = [
            f"{cause} {value:+.3f}" for cause, value in c.causes[:NAMED] if abs(value) >= SHOWN
        ]
        words = [] if c.same else ["not the same day"]
        words += [f"{rule} broken" for rule in sorted(c.new.rules.keys() - c.old.rules.keys())]
        words += [f"{rule} kept" for rule in sorted(c.old.rules.keys() - c.new.rules.keys())]
        mark = "noise" if c.noise else "better" if c.score > 0 else "worse"
        table.add_row(
            said(c.name),
            f"{c.old.score:.3f}",
            f"{c.new.score:.3f}",
            mark,
            f"{c.old.worth:.3f}",
            f"{c.new.worth:.3f}",
            said(", ".join([*words, *causes])),
        )
    console = show.console()
    console.print(table)
    table = show.table(
        "worth lost, mean of a day, to", "", "then", "more", right=("", "then", "more")
    )
    was, now = (
        losses.mean_worth_lost(days)
        for days in ([c.old for c in changes], [c.new for c in changes])
    )
    rows = [(cause, was.get(cause, 0.0), now.get(cause, 0.0)) for cause in now | was]
    for cause, before, after in sorted(rows, key=lambda row: -abs(row[2] - row[1])):
        if abs(after - before) >= SHOWN:
            table.add_row(said(cause), f"{before:.3f}", f"{after:.3f}", f"{after - before:+.3f}")
    console.print(table)
    only = [len(e.days) - len(changes) for e in (old, new)]
    if any(only):
        print(f"days of one entry alone, left out: {only[0]} and {only[1]}")
    print(f"a change of a day's score under {losses.NOISE} is noise")


def journal_list(asked: JournalList) -> int:
    try:
        names = sorted(name for name in os.listdir(asked.journal) if name.endswith(".json"))
    except OSError as why:
        raise Wrong(f"{asked.journal}: can't be read ({why.strerror or why})") from None
    found, passed = [], []
    foreign = 0
    for name in names:
        try:
            found.append(entry.read(held(os.path.join(asked.journal, name))))
        except entry.ForeignError:
            foreign += 1
        except entry.EntryError as why:
            passed.append(f"{name}: {why}")
    wanted = [e for e in found if asked.site in (None, e.site) and asked.verb in (None, e.verb)]
    wanted.sort(key=lambda e: e.at)
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
        for e in wanted
    ]
    if asked.json:
        print(
            json.dumps({"entries": rows, "of_other_benches": foreign, "not_read": passed}, indent=2)
        )
        return 0
    for row in rows:
        gate = "" if row["gate"] else "  gate failed"
        figures = f"{many(row['days'], 'day'):>7}  {row['score']:.3f}{gate}"
        print(said(f"{row['at'][:16]}  {row['id']:8}  {row['verb']:8}  {row['site']:23} {figures}"))
        if row["why"]:
            print("    " + textwrap.shorten(said(row["why"]), WIDTH - 4, placeholder=" ..."))
    print(f"{len(rows)} shown; {foreign} of other benches, {len(passed)} without days or damaged")
    return 0
