"""Sums the counts that all limiters of a fleet logged: requests by cause, and connections by end.

    python -m benchmarks.fleet_count LOGS [--every SECONDS]

LOGS is a folder with one file per limiter (`*.log`), in which each line begins with its time in
seconds, as the benches write them with `--logs`. Prints one row per cause: its name, its sum, and
one count per time span. This shows events that are rare at each limiter but common in the fleet.
"""

from __future__ import annotations

import re
from collections import Counter, defaultdict
from pathlib import Path

import click

LINE = re.compile(r"^\s*(\d+(?:\.\d+)?) \S+: (.*)$")
PAIR = re.compile(r"([a-z_' ]+?) (\d+)(?:\.\d+)?(?:,|;|$)")


def add_counts(lines: list[str], every: float, spans: dict[int, Counter[str]]) -> None:
    """Adds one limiter's lines to `spans`.

    A line has the counts since the previous one, which are added to the span of the line's time.
    """
    for line in lines:
        if not (match := LINE.match(line)):
            continue
        span, text = int(float(match[1]) / every), match[2]
        if ", window " in text:
            counts = text.partition(", window ")[0]
        elif "; ended: " in text:
            counts = text.partition("; ended: ")[2].partition(";")[0]
        elif text.startswith("discovery: "):
            counts = (
                "discovery turned away 1"
                if "status 503" in text
                else "discovery said what can't be read 1"
            )
        elif text.startswith(("listens ", "told to stop")):
            counts = "starts 1" if text.startswith("listens ") else "stops 1"
        else:
            continue
        for cause, n in PAIR.findall(counts):
            spans[span][cause.strip()] += int(n)


@click.command()
@click.argument("logs", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--every", default=5.0, show_default=True, help="seconds per span")
def main(logs: Path, every: float) -> None:
    """Sums the counts that all limiters of a fleet logged."""
    spans: dict[int, Counter[str]] = defaultdict(Counter)
    files = sorted(logs.glob("*.log"))
    if not files:
        raise click.ClickException(f"{logs}: no *.log files")
    for file in files:
        add_counts(file.read_text(errors="replace").splitlines(), every, spans)
    causes = sorted({cause for row in spans.values() for cause in row})
    click.echo(f"{len(files)} limiters")
    for cause in causes:
        row = " ".join(f"{spans[n][cause]:6d}" for n in range(max(spans) + 1))
        click.echo(f"{cause:28s} {sum(s[cause] for s in spans.values()):7d} | {row}")


if __name__ == "__main__":
    main()
