"""The table format that all commands share, within 80 columns."""

from __future__ import annotations

from collections.abc import Iterable

from rich import box
from rich.console import Console
from rich.table import Table

from loomstand.ctl.commands import OUTPUT_WIDTH


def make_console() -> Console:
    """Makes a console of OUTPUT_WIDTH columns that prints texts as they are, without markup."""
    return Console(width=OUTPUT_WIDTH, highlight=False, markup=False, emoji=False)


def make_table(*headers: str, no_wrap: Iterable[str] = (), right: Iterable[str] = ()) -> Table:
    """Makes an empty table.

    Args:
        headers: The columns' headers.
        no_wrap: Headers of the columns whose cells aren't wrapped.
        right: Headers of the columns that are aligned to the right.
    """
    table = Table(box=box.SIMPLE_HEAD, padding=(0, 1, 0, 0), pad_edge=False)
    for header in headers:
        table.add_column(
            header,
            overflow="fold",
            no_wrap=header in no_wrap,
            justify="right" if header in right else "left",
        )
    return table
