"""A member's first look at its disk: it waits for one that fails, and never takes it for empty."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from absl import logging

from loomstand.store.disk import Disk
from loomstand.store.pages import Pages
from loomstand.store.record import Record

# Until the second look, and the longest pause: a disk that stalls is back within a second or so.
RETRY_SECONDS = (0.2, 1.0)


class Recovered(NamedTuple):
    """What a disk had at the start.

    Attributes:
        record: The member's record.
        pages: All pages as they were found.
    """

    record: Record
    pages: Pages


async def recover(
    disk: Disk, new_record: Callable[[], Record], stopped: asyncio.Event
) -> Recovered | None:
    """Reads the disk; an empty one gets a new record.

    A disk that only refuses for a while keeps its member: one that wiped it would lose data and
    vote for good, and a restart of all in a bad moment would lose every copy. So it is tried
    without end; meanwhile others take the member for unreachable, and replace it as a voter.

    Args:
        disk: The disk.
        new_record: Makes the record of an empty disk.
        stopped: Set when the store is to end.

    Returns:
        What the disk had, None if `stopped` came first.
    """
    pause_seconds, max_pause_seconds = RETRY_SECONDS
    logged = ""
    while not stopped.is_set():
        try:
            return await _load(disk, new_record)
        except OSError as error:
            if str(error) != logged:
                logged = str(error)
                logging.warning("store: disk unavailable, left unchanged, error=%r", str(error))
        await asyncio.sleep(pause_seconds)
        pause_seconds = min(max_pause_seconds, 2 * pause_seconds)
    return None


async def _load(disk: Disk, new_record: Callable[[], Record]) -> Recovered:
    pages = await disk.load()
    record = Record.from_pages(pages)
    if record is None:
        record = new_record()
        await disk.save(record.pages())
    return Recovered(record, pages)
