"""Adds up what all limiters of a fleet logged: reqs by cause, and how connections to others ended.

    python -m benchmarks.fleet_count LOGS [--every SECONDS]

LOGS is a folder with one file a limiter (`*.log`), each line beginning with its time in seconds, as
the benches leave them by `--logs`. Prints a row a cause: its name, its sum, one figure a span of
time. What each limiter does seldom, and all do together, shows here and in no limiter's own file.
"""

from __future__ import annotations

import re
from collections import Counter, defaultdict
from pathlib import Path

import click

LINE = re.compile(r"^\s*(\d+(?:\.\d+)?) \S+: (.*)$")
PAIR = re.compile(r"([a-z_' ]+?) (\d+)(?:\.\d+)?(?:,|;|$)")


def count(lines: list[str], every: float, spans: dict[int, Counter[str]]) -> None:
    """Adds one limiter's lines; a line tells of the time since the last one, and counts where it
    stands.
    """
    for line in lines:
        if not (found := LINE.match(line)):
            continue
        span, text = int(float(found[1]) / every), found[2]
        if ", window " in text:
            what = text.partition(", window ")[0]
        elif "; ended: " in text:
            what = text.partition("; ended: ")[2].partition(";")[0]
        elif text.startswith("discovery: "):
            what = (
                "discovery turned away 1"
                if "status 503" in text
                else "discovery said what can't be read 1"
            )
        elif text.startswith(("listens ", "told to stop")):
            what = "starts 1" if text.startswith("listens ") else "stops 1"
        else:
            continue
        for cause, n in PAIR.findall(what):
            spans[span][cause.strip()] += int(n)


@click.command()
@click.argument("logs", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--every", default=5.0, show_default=True, help="seconds a row")
def main(logs: Path, every: float) -> None:
    """Adds up what all limiters of a fleet logged."""
    spans: dict[int, Counter[str]] = defaultdict(Counter)
    files = sorted(logs.glob("*.log"))
    if not files:
        raise click.ClickException(f"{logs}: no *.log there")
    for file in files:
        count(file.read_text(errors="replace").splitlines(), every, spans)
    causes = sorted({cause for row in spans.values() for cause in row})
    click.echo(f"{len(files)} limiters")
    for cause in causes:
        row = " ".join(f"{spans[n][cause]:6d}" for n in range(max(spans) + 1))
        click.echo(f"{cause:28s} {sum(s[cause] for s in spans.values()):7d} | {row}")


if __name__ == "__main__":
    main()
