"""The commands with their arguments, options and help texts.

A command's implementation is imported only when it is invoked.
"""

from __future__ import annotations

import os
import sys
from dataclasses import dataclass, field
from typing import Annotated, Literal

import cappa
from rich.console import Console

from loomstand.config.units import UnitError, parse_port, parse_seconds, quote_value
from loomstand.ctl.common import CommandError, single_line

PROGRAM = "loomstand.ctl"
OUTPUT_WIDTH = 80  # columns
# Error messages aren't wrapped at the width of the terminal, so that each is one line in a log.
ERROR_WIDTH = 100_000  # columns
# Longer than usual interruptions: another store takes over within 3 s, and all processes start
# within about 10 s.
DEFAULT_WITHIN_SECONDS = 20.0
MAX_DAYS = 10_000  # far more than the bench can run
# Highest load relative to the requests of the site's own days; the lowest is its inverse. Both are
# far beyond the loads in use.
MAX_LOAD_FACTOR = 100


def _parse_host_port(text: str) -> tuple[str, int]:
    """Parses HOST:PORT, where the host may be a name."""
    host, colon, port = text.rpartition(":")
    is_host = host and not any(character in "/@[]" or character <= " " for character in host)
    if not colon or not is_host:
        raise ValueError(f"{quote_value(text)} is not HOST:PORT such as 10.1.0.3:8783")
    try:
        return host, parse_port(port)
    except UnitError as error:
        raise ValueError(str(error)) from None


def _parse_host(text: str) -> str:
    if not text or any(character in ":/@[]" or character <= " " for character in text):
        raise ValueError(f"{quote_value(text)} is not HOST such as 10.1.0.3")
    return text


def _parse_duration(text: str) -> float:
    """Parses a time with its unit, such as `900ms`; returns seconds."""
    try:
        return parse_seconds(text)
    except UnitError as error:
        raise ValueError(str(error)) from None


def _parse_day_count(text: str) -> int:
    if not text.isascii() or not text.isdigit() or not 0 < int(text[:9]) <= MAX_DAYS:
        raise ValueError(f"{quote_value(text)} is not a number from 1 to {MAX_DAYS}")
    return int(text)


def _parse_load_factor(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not 1 / MAX_LOAD_FACTOR <= value <= MAX_LOAD_FACTOR:
        raise ValueError(
            f"{quote_value(text)} is not a number from {1 / MAX_LOAD_FACTOR} to {MAX_LOAD_FACTOR}"
        )
    return value


def _epilog(*examples: str, codes: str = "0 fine, 1 problem found, 2 bad usage or input") -> str:
    """Returns the end of a command's help: the examples and the exit codes."""
    lines = "\n".join(f"    python -m {PROGRAM} {example}" for example in examples)
    return f"Example:\n\n{lines}\n\nExit codes: {codes}."


# Positional arguments are listed first in the usage, as `--at` takes all arguments that follow it.
ARGUMENTS = cappa.Group(-1, "Arguments")
FileArgument = Annotated[
    str, cappa.Arg(value_name="FILE", group=ARGUMENTS, help="a file, or `-` for standard input")
]
RegistryAddresses = Annotated[
    list[tuple[str, int]],
    cappa.Arg(
        long="--at",
        value_name="HOST:PORT",
        num_args=-1,
        parse=lambda texts: [_parse_host_port(text) for text in texts],
        required=True,
        help="addresses of one or more registries (`control_plane`), tried in this order",
    ),
]
GoneHosts = Annotated[
    list[str],
    cappa.Arg(
        long="--gone",
        value_name="HOST",
        num_args=-1,
        parse=lambda texts: [_parse_host(text) for text in texts],
        show_default=False,
        help="addresses, as shown, of core machines whose disks are permanently lost",
    ),
]
JsonFlag = Annotated[bool, cappa.Arg(long="--json", show_default=False, help="print JSON")]
KeysFlag = Annotated[
    bool,
    cappa.Arg(long="--keys", show_default=False, help="print the stored bytes, API keys included"),
]
RetrySeconds = Annotated[
    float,
    cappa.Arg(
        long="--within",
        value_name="TIME",
        parse=_parse_duration,
        show_default=False,
        help="how long to retry, such as `5s` or `900ms` (default 20s)",
    ),
]


@cappa.command(
    name="check",
    invoke="loomstand.ctl.files.settings_check",
    help="Read a settings file as the daemons do, and print its contents.",
    epilog=_epilog(
        "settings check /etc/loomstand/core-1.properties", codes="0 fine, 2 can't be used"
    ),
)
@dataclass
class SettingsCheck:
    file: FileArgument
    json: JsonFlag = False


@cappa.command(name="settings", help="The settings file of a process.")
@dataclass
class Settings:
    command: cappa.Subcommands[SettingsCheck]


@cappa.command(
    name="check",
    invoke="loomstand.ctl.files.config_check",
    help="Check whether a configuration is valid, and warn of what is valid but unwise.",
    epilog=_epilog(
        "config check r12.json",
        codes="0 valid, with warnings or without, 1 invalid, 2 bad usage or no such file",
    ),
)
@dataclass
class ConfigCheck:
    file: FileArgument
    json: JsonFlag = False


@cappa.command(
    name="diff",
    invoke="loomstand.ctl.files.config_diff",
    help="Print what NEW adds, removes and changes. API keys are counted and never printed.",
    epilog=_epilog(
        "config diff r12.json r13.json",
        codes="0 fine, 1 they differ but NEW's version isn't higher, so that pushing it would "
        "change nothing, "
        "2 bad usage or an invalid file",
    ),
)
@dataclass
class ConfigDiff:
    old: Annotated[str, cappa.Arg(value_name="OLD", group=ARGUMENTS, help="the old file, or `-`")]
    new: Annotated[str, cappa.Arg(value_name="NEW", group=ARGUMENTS, help="the new file, or `-`")]
    json: JsonFlag = False


@cappa.command(
    name="push",
    invoke="loomstand.ctl.calls.config_push",
    help="Send a configuration, and print the version in force. An invalid file is not sent.",
    description="A call without a clear answer is sent again, unchanged, to the next registry.",
    epilog=_epilog(
        "config push r13.json --at 10.1.0.33:8783",
        codes="0 the file is in force, 1 refused, not acknowledged in time, or another "
        "configuration is in force, "
        "2 bad usage or an invalid file",
    ),
)
@dataclass
class ConfigPush:
    file: FileArgument
    at: RegistryAddresses
    within: RetrySeconds = DEFAULT_WITHIN_SECONDS
    json: JsonFlag = False


@cappa.command(
    name="read",
    invoke="loomstand.ctl.calls.config_read",
    help="Print the newest configuration, as JSON.",
    description="API keys are masked: push refuses what was read without `--keys`.",
    epilog=_epilog(
        "config read --at 10.1.0.33:8783 > r12.json",
        codes="0 fine, 1 refused or not answered in time, 2 bad usage",
    ),
)
@dataclass
class ConfigRead:
    at: RegistryAddresses
    within: RetrySeconds = DEFAULT_WITHIN_SECONDS
    keys: KeysFlag = False


@cappa.command(name="config", help="The configuration.")
@dataclass
class Config:
    command: cappa.Subcommands[ConfigCheck | ConfigDiff | ConfigPush | ConfigRead]


@cappa.command(
    name="status",
    invoke="loomstand.ctl.status.status",
    help="Print the status of the registries given, and of the core machines that they name.",
    epilog=_epilog(
        "status --at 10.1.0.33:8783",
        codes="0 fine, 1 no primary, or registries hold different versions, 2 bad usage",
    ),
)
@dataclass
class Status:
    at: RegistryAddresses
    json: JsonFlag = False


@cappa.command(
    name="rescue",
    invoke="loomstand.ctl.rescue.rescue",
    help="Show what data is left of a store that lost more members than it tolerates, and re-found "
    "it with `--yes`.",
    description="Read docs/rescue.md first. A machine named by `--gone` must never come back. "
    "Operators "
    "must ensure this, as the programs can't check it. Without `--yes` nothing is changed.",
    epilog=_epilog(
        "core rescue --at 10.1.0.33:8783",
        "core rescue --at 10.1.0.33:8783 --gone 10.2.0.25 10.3.0.14 --yes",
        codes="0 re-founded, or without `--yes` a primary serves; 1 a rescue is due, blocked or "
        "refused; "
        "2 bad usage",
    ),
)
@dataclass
class CoreRescue:
    at: RegistryAddresses
    gone: GoneHosts = field(default_factory=list)
    yes: Annotated[
        bool,
        cappa.Arg(long="--yes", show_default=False, help="re-found the store from the data shown"),
    ] = False
    json: JsonFlag = False


@cappa.command(name="core", help="The core machines.")
@dataclass
class Core:
    command: cappa.Subcommands[CoreRescue]


@cappa.command(
    name="draw",
    invoke="loomstand.ctl.days.days_draw",
    help="Draw days for the bench's `run SITE FILE`, which combine the faults that SITE lists.",
    description="Without `--days`, draws as many days as are needed for every two kinds of fault "
    "to occur together. The same arguments give the same files.",
    epilog=_epilog(
        "days draw nakhla-loom.toml --severity harsh --seed 7 --out /tmp/days",
        codes="0 fine, 2 bad usage or input, or a file exists with other contents",
    ),
)
@dataclass
class DaysDraw:
    site: Annotated[
        str, cappa.Arg(value_name="SITE", group=ARGUMENTS, help="a site file of the bench")
    ]
    out: Annotated[
        str,
        cappa.Arg(
            long="--out",
            value_name="DIR",
            required=True,
            help="output directory; made if it doesn't exist",
        ),
    ]
    days: Annotated[
        int | None,
        cappa.Arg(
            long="--days",
            value_name="N",
            parse=_parse_day_count,
            show_default=False,
            help="number of days; drawn at random once each pair of kinds has occurred together",
        ),
    ] = None
    seed: Annotated[
        int, cappa.Arg(long="--seed", value_name="S", help="random seed; another gives other days")
    ] = 0
    severity: Annotated[
        Literal["mild", "usual", "harsh"],
        cappa.Arg(
            long="--severity", help="severity of the faults, and their number per day: 4, 6 or 8"
        ),
    ] = "usual"
    kinds: Annotated[
        str,
        cappa.Arg(
            long="--kinds", value_name="A,B", show_default=False, help="only these kinds of fault"
        ),
    ] = ""
    load: Annotated[
        float,
        cappa.Arg(
            long="--load",
            value_name="X",
            parse=_parse_load_factor,
            help="load relative to the requests of the standing days",
        ),
    ] = 1.0
    dense: Annotated[
        Literal["", "cut", "orders", "losses", "changes", "answers", "quotas", "all"],
        cappa.Arg(
            long="--dense",
            show_default=False,
            help="many faults of every kind at once, most of them from this group",
        ),
    ] = ""
    json: JsonFlag = False


@cappa.command(name="days", help="Generated days for the bench (docs/almanac.md).")
@dataclass
class Days:
    command: cappa.Subcommands[DaysDraw]


JournalDirectory = Annotated[
    str,
    cappa.Arg(long="--journal", value_name="DIR", help="directory in which ids are looked up"),
]


@cappa.command(
    name="show",
    invoke="loomstand.ctl.journal.journal_show",
    help="Show what an entry of the bench's journal lost, by cause.",
    epilog=_epilog(
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
            value_name="ENTRY", group=ARGUMENTS, help="a file, or the id at the end of its name"
        ),
    ]
    journal: JournalDirectory = "journal"
    site: Annotated[
        str | None,
        cappa.Arg(
            long="--site",
            value_name="SITE",
            show_default=False,
            help="the site file that names classes of requests and zones; by default the one that "
            "the bench was given",
        ),
    ] = None
    plot: Annotated[
        str | None,
        cappa.Arg(
            long="--plot",
            value_name="OUT.png",
            show_default=False,
            help="also draw a plot (needs matplotlib)",
        ),
    ] = None
    json: JsonFlag = False


@cappa.command(
    name="compare",
    invoke="loomstand.ctl.journal.journal_compare",
    help="Compare the days of two entries, and show which causes cost more or less.",
    epilog=_epilog(
        "journal compare dcd8f963 4dc70f73",
        codes="0 fine, 1 NEW is worse by more than noise or breaks a rule that OLD didn't break, "
        "2 bad usage, or not two entries of this bench and the same site",
    ),
)
@dataclass
class JournalCompare:
    old: Annotated[
        str, cappa.Arg(value_name="OLD", group=ARGUMENTS, help="the old entry: a file or an id")
    ]
    new: Annotated[
        str, cappa.Arg(value_name="NEW", group=ARGUMENTS, help="the new entry: a file or an id")
    ]
    journal: JournalDirectory = "journal"
    json: JsonFlag = False


@cappa.command(
    name="list",
    invoke="loomstand.ctl.journal.journal_list",
    help="List this bench's entries, the newest last.",
    epilog=_epilog(
        "journal list --verb score --site nakhla-loom",
        codes="0 fine, 2 bad usage or no such directory",
    ),
)
@dataclass
class JournalList:
    journal: JournalDirectory = "journal"
    site: Annotated[
        str | None,
        cappa.Arg(
            long="--site", value_name="S", show_default=False, help="only entries of this site"
        ),
    ] = None
    verb: Annotated[
        str | None,
        cappa.Arg(
            long="--verb", value_name="V", show_default=False, help="only entries of this verb"
        ),
    ] = None
    json: JsonFlag = False


@cappa.command(name="journal", help="The bench's results in `journal/` (docs/almanac.md).")
@dataclass
class Journals:
    command: cappa.Subcommands[JournalShow | JournalCompare | JournalList]


@cappa.command(name=PROGRAM, help="The gateway's command line for operators (docs/ctl.md).")
@dataclass
class Ctl:
    command: cappa.Subcommands[Settings | Config | Status | Core | Days | Journals]


def main(argv: list[str] | None = None) -> int:
    """Runs a command and returns its exit code."""
    no_color = os.environ.get("NO_COLOR") is not None
    output = cappa.Output(
        output_console=Console(
            file=sys.stdout, width=OUTPUT_WIDTH, theme=cappa.output.theme, no_color=no_color
        ),
        error_console=Console(
            file=sys.stderr, width=ERROR_WIDTH, theme=cappa.output.theme, highlight=False
        ),
        error_format="{prog}: {message}",
    )
    try:
        return int(cappa.invoke(Ctl, argv=argv, output=output, completion=False))
    except CommandError as error:
        print(f"{PROGRAM}: {single_line(str(error))}", file=sys.stderr)
        return error.exit_code
    except cappa.Exit as exit_request:
        return int(exit_request.code or 0)
    except BrokenPipeError:  # the reader closed the pipe, as `head` does
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 0
    except KeyboardInterrupt:
        return 130
