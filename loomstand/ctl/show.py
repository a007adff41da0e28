"""Tables as all commands print them, within 80 columns."""

from __future__ import annotations

from collections.abc import Iterable

from rich import box
from rich.console import Console
from rich.table import Table

from loomstand.ctl.commands import WIDTH


def console() -> Console:
    return Console(width=WIDTH, highlight=False, markup=False, emoji=False)


def table(*heads: str, whole: Iterable[str] = (), right: Iterable[str] = ()) -> Table:
    """A table with these heads; a column in `whole` isn't broken, one in `right` holds figures."""
    made = Table(box=box.SIMPLE_HEAD, padding=(0, 1, 0, 0), pad_edge=False)
    for head in heads:
        made.add_column(
            head,
            overflow="fold",
            no_wrap=head in whole,
            justify="right" if head in right else "left",
        )
    return made
