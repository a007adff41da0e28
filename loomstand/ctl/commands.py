"""What can be typed. What a command does is imported only when it is called."""

from __future__ import annotations

import os
import sys
from dataclasses import dataclass, field
from typing import Annotated, Literal

import cappa
from rich.console import Console

from loomstand.config.units import UnitError, parse_port, parse_seconds, quote_value
from loomstand.ctl.plain import Wrong, said

PROG = "loomstand.ctl"
WIDTH = 80
# An error stays one line however narrow the terminal is; whoever reads it in a log wants it whole.
UNBROKEN = 100_000
# Longer than any single loss in the system lasts: a takeover of the store takes 3 s, a start of all
# some 10.
WITHIN = 20.0
MOST_DAYS = 10_000  # far more than can be played
MOST_LOAD = 100  # times a standing day's requests, or a part of them; far beyond what was played


def _place(text: str) -> tuple[str, int]:
    """HOST:PORT, where the host may be a name."""
    host, colon, number = text.rpartition(":")
    if not colon or not host or any(c in "/@[]" or c <= " " for c in host):
        raise ValueError(f"{quote_value(text)} is not HOST:PORT such as 10.1.0.3:8783")
    try:
        return host, parse_port(number)
    except UnitError as why:
        raise ValueError(str(why)) from None


def _host(text: str) -> str:
    if not text or any(c in ":/@[]" or c <= " " for c in text):
        raise ValueError(f"{quote_value(text)} is not HOST such as 10.1.0.3")
    return text


def _time(text: str) -> float:
    try:
        return parse_seconds(text)
    except UnitError as why:
        raise ValueError(str(why)) from None


def _days(text: str) -> int:
    """A number of days to draw; none is no days."""
    if not text.isascii() or not text.isdigit() or not 0 < int(text[:9]) <= MOST_DAYS:
        raise ValueError(f"{quote_value(text)} is not a number from 1 to {MOST_DAYS}")
    return int(text)


def _load(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not 1 / MOST_LOAD <= value <= MOST_LOAD:
        raise ValueError(f"{quote_value(text)} is not a figure from {1 / MOST_LOAD} to {MOST_LOAD}")
    return value


def _ends(*lines: str, codes: str = "0 fine, 1 found something wrong, 2 bad usage or input") -> str:
    """The end of a command's help: an example or more, and the exit codes."""
    examples = "\n".join(f"    python -m {PROG} {line}" for line in lines)
    return f"Example:\n\n{examples}\n\nExit codes: {codes}."


# First in the usage, as `--at` takes all words that follow it.
FIRST = cappa.Group(-1, "Arguments")
File = Annotated[
    str, cappa.Arg(value_name="FILE", group=FIRST, help="a file, or `-` for standard input")
]
At = Annotated[
    list[tuple[str, int]],
    cappa.Arg(
        long="--at",
        value_name="HOST:PORT",
        num_args=-1,
        parse=lambda texts: [_place(t) for t in texts],
        required=True,
        help="registries (`control_plane`), one or more, asked in this order",
    ),
]
Gone = Annotated[
    list[str],
    cappa.Arg(
        long="--gone",
        value_name="HOST",
        num_args=-1,
        parse=lambda texts: [_host(t) for t in texts],
        show_default=False,
        help="core machines whose disks are gone for good, by the address shown",
    ),
]
Json = Annotated[bool, cappa.Arg(long="--json", show_default=False, help="print JSON")]
Keys = Annotated[
    bool,
    cappa.Arg(long="--keys", show_default=False, help="the bytes as they are held, keys included"),
]
Within = Annotated[
    float,
    cappa.Arg(
        long="--within",
        value_name="TIME",
        parse=_time,
        show_default=False,
        help="go on trying for so long, as in `5s` or `900ms` (default 20s)",
    ),
]


@cappa.command(
    name="check",
    invoke="loomstand.ctl.files.settings_check",
    help="Read a settings file as the daemons do, and say what it holds.",
    epilog=_ends(
        "settings check /etc/loomstand/core-1.properties", codes="0 fine, 2 can't be used"
    ),
)
@dataclass
class SettingsCheck:
    file: File
    json: Json = False


@cappa.command(name="settings", help="The settings file of a process.")
@dataclass
class Settings:
    command: cappa.Subcommands[SettingsCheck]


@cappa.command(
    name="check",
    invoke="loomstand.ctl.files.config_check",
    help="Say whether a configuration is valid, and warn of what is valid but unwise.",
    epilog=_ends(
        "config check r12.json",
        codes="0 valid, with warnings or without, 1 invalid, 2 bad usage or no such file",
    ),
)
@dataclass
class ConfigCheck:
    file: File
    json: Json = False


@cappa.command(
    name="diff",
    invoke="loomstand.ctl.files.config_diff",
    help="Say what NEW adds, takes away and changes. Keys are counted and never printed.",
    epilog=_ends(
        "config diff r12.json r13.json",
        codes="0 fine, 1 they differ but NEW's version isn't higher, so that it would change "
        "nothing, "
        "2 bad usage or an invalid file",
    ),
)
@dataclass
class ConfigDiff:
    old: Annotated[str, cappa.Arg(value_name="OLD", group=FIRST, help="the file before, or `-`")]
    new: Annotated[str, cappa.Arg(value_name="NEW", group=FIRST, help="the file after, or `-`")]
    json: Json = False


@cappa.command(
    name="push",
    invoke="loomstand.ctl.calls.config_push",
    help="Send a configuration, and print the version in force. An invalid one is not sent.",
    description="A call without a clear answer is sent again, unchanged, to the next registry.",
    epilog=_ends(
        "config push r13.json --at 10.1.0.33:8783",
        codes="0 it is in force, 1 refused, not acknowledged in time, or another is in force, "
        "2 bad usage or an invalid file",
    ),
)
@dataclass
class ConfigPush:
    file: File
    at: At
    within: Within = WITHIN
    json: Json = False


@cappa.command(
    name="read",
    invoke="loomstand.ctl.calls.config_read",
    help="Print the newest configuration, as JSON.",
    description="Keys are masked: push refuses what was read without `--keys`.",
    epilog=_ends(
        "config read --at 10.1.0.33:8783 > r12.json",
        codes="0 fine, 1 refused or not answered in time, 2 bad usage",
    ),
)
@dataclass
class ConfigRead:
    at: At
    within: Within = WITHIN
    keys: Keys = False


@cappa.command(name="config", help="The configuration.")
@dataclass
class Config:
    command: cappa.Subcommands[ConfigCheck | ConfigDiff | ConfigPush | ConfigRead]


@cappa.command(
    name="status",
    invoke="loomstand.ctl.status.status",
    help="Ask every registry given, and those of the core machines that they name, how it stands.",
    epilog=_ends(
        "status --at 10.1.0.33:8783",
        codes="0 fine, 1 no primary, or registries hold different versions, 2 bad usage",
    ),
)
@dataclass
class Status:
    at: At
    json: Json = False


@cappa.command(
    name="rescue",
    invoke="loomstand.ctl.rescue.rescue",
    help="Say what is left of the store where more was lost than it bears, and found it anew with "
    "`--yes`.",
    description="Read docs/rescue.md first. Who is named by `--gone` must never come back: "
    "operators vouch "
    "for it, and the programs can't know. Without `--yes` nothing is changed.",
    epilog=_ends(
        "core rescue --at 10.1.0.33:8783",
        "core rescue --at 10.1.0.33:8783 --gone 10.2.0.25 10.3.0.14 --yes",
        codes="0 founded anew, or without `--yes` a primary serves; 1 a rescue is due, waits or "
        "was refused; "
        "2 bad usage",
    ),
)
@dataclass
class CoreRescue:
    at: At
    gone: Gone = field(default_factory=list)
    yes: Annotated[
        bool,
        cappa.Arg(long="--yes", show_default=False, help="found the store anew from what is shown"),
    ] = False
    json: Json = False


@cappa.command(name="core", help="The core machines.")
@dataclass
class Core:
    command: cappa.Subcommands[CoreRescue]


@cappa.command(
    name="draw",
    invoke="loomstand.ctl.days.days_draw",
    help="Draw days of our own for the bench's `run SITE FILE`, which mix the troubles that SITE "
    "lists.",
    description="Until every two kinds have met, unless `--days` says otherwise. The same words "
    "give the "
    "same files.",
    epilog=_ends(
        "days draw nakhla-loom.toml --severity harsh --seed 7 --out /tmp/days",
        codes="0 fine, 2 bad usage or input, or other files stand in the way",
    ),
)
@dataclass
class DaysDraw:
    site: Annotated[str, cappa.Arg(value_name="SITE", group=FIRST, help="a site file of the bench")]
    out: Annotated[
        str,
        cappa.Arg(
            long="--out", value_name="DIR", required=True, help="where to; made if it isn't there"
        ),
    ]
    days: Annotated[
        int | None,
        cappa.Arg(
            long="--days",
            value_name="N",
            parse=_days,
            show_default=False,
            help="so many; after all pairs have met, by lot",
        ),
    ] = None
    seed: Annotated[
        int, cappa.Arg(long="--seed", value_name="S", help="other days for another number")
    ] = 0
    severity: Annotated[
        Literal["mild", "usual", "harsh"],
        cappa.Arg(
            long="--severity", help="how strong the troubles are, and how many a day: 4, 6 or 8"
        ),
    ] = "usual"
    kinds: Annotated[
        str,
        cappa.Arg(long="--kinds", value_name="A,B", show_default=False, help="only these kinds"),
    ] = ""
    load: Annotated[
        float,
        cappa.Arg(
            long="--load",
            value_name="X",
            parse=_load,
            help="times the requests of the standing days",
        ),
    ] = 1.0
    dense: Annotated[
        Literal["", "cut", "orders", "losses", "changes", "answers", "quotas", "all"],
        cappa.Arg(
            long="--dense",
            show_default=False,
            help="many troubles of every kind at once, most of them of this aim",
        ),
    ] = ""
    json: Json = False


@cappa.command(name="days", help="Days of our own for the bench (docs/almanac.md).")
@dataclass
class Days:
    command: cappa.Subcommands[DaysDraw]


Journal = Annotated[
    str,
    cappa.Arg(long="--journal", value_name="DIR", help="where entries are looked up by their ids"),
]


@cappa.command(
    name="show",
    invoke="loomstand.ctl.journal.journal_show",
    help="Say what was lost where in an entry of the bench's journal.",
    epilog=_ends(
        "journal show 4a9d421e",
        codes="0 fine, 1 a rule is broken or the gate failed, 2 bad usage, or not an entry of "
        "this bench",
    ),
)
@dataclass
class JournalShow:
    entry: Annotated[
        str,
        cappa.Arg(
            value_name="ENTRY", group=FIRST, help="a file, or an id as at the end of its name"
        ),
    ]
    journal: Journal = "journal"
    site: Annotated[
        str | None,
        cappa.Arg(
            long="--site",
            value_name="SITE",
            show_default=False,
            help="the site file that names kinds of request and zones; else the one that the "
            "bench was given",
        ),
    ] = None
    plot: Annotated[
        str | None,
        cappa.Arg(
            long="--plot", value_name="OUT.png", show_default=False, help="draw it too (matplotlib)"
        ),
    ] = None
    json: Json = False


@cappa.command(
    name="compare",
    invoke="loomstand.ctl.journal.journal_compare",
    help="Set the days of two entries side by side, and say which causes took more or less.",
    epilog=_ends(
        "journal compare dcd8f963 4dc70f73",
        codes="0 fine, 1 NEW is worse by more than noise or breaks a rule that OLD kept, "
        "2 bad usage, or not entries of this bench and one site",
    ),
)
@dataclass
class JournalCompare:
    old: Annotated[
        str, cappa.Arg(value_name="OLD", group=FIRST, help="the entry before: a file or an id")
    ]
    new: Annotated[
        str, cappa.Arg(value_name="NEW", group=FIRST, help="the entry after: a file or an id")
    ]
    journal: Journal = "journal"
    json: Json = False


@cappa.command(
    name="list",
    invoke="loomstand.ctl.journal.journal_list",
    help="List this bench's entries, the newest last.",
    epilog=_ends(
        "journal list --verb score --site nakhla-loom",
        codes="0 fine, 2 bad usage or no such directory",
    ),
)
@dataclass
class JournalList:
    journal: Journal = "journal"
    site: Annotated[
        str | None,
        cappa.Arg(long="--site", value_name="S", show_default=False, help="only of this site"),
    ] = None
    verb: Annotated[
        str | None,
        cappa.Arg(long="--verb", value_name="V", show_default=False, help="only of this verb"),
    ] = None
    json: Json = False


@cappa.command(name="journal", help="What the bench left in `journal/` (docs/almanac.md).")
@dataclass
class Journals:
    command: cappa.Subcommands[JournalShow | JournalCompare | JournalList]


@cappa.command(name=PROG, help="The operators' command line of the gateway (docs/ctl.md).")
@dataclass
class Ctl:
    command: cappa.Subcommands[Settings | Config | Status | Core | Days | Journals]


def main(argv: list[str] | None = None) -> int:
    """Runs a command; its exit code."""
    plain = os.environ.get("NO_COLOR") is not None
    output = cappa.Output(
        output_console=Console(
            file=sys.stdout, width=WIDTH, theme=cappa.output.theme, no_color=plain
        ),
        error_console=Console(
            file=sys.stderr, width=UNBROKEN, theme=cappa.output.theme, highlight=False
        ),
        error_format="{prog}: {message}",
    )
    try:
        return int(cappa.invoke(Ctl, argv=argv, output=output, completion=False))
    except Wrong as why:
        print(f"{PROG}: {said(str(why))}", file=sys.stderr)
        return why.code
    except cappa.Exit as why:
        return int(why.code or 0)
    except BrokenPipeError:  # as in `... | head`: nobody reads on
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 0
    except KeyboardInterrupt:
        return 130
