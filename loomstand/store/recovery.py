"""Reads a member's disk at its start; a disk that fails is retried and never taken for empty."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from absl import logging

from loomstand.store.disk import Disk
from loomstand.store.pages import Pages
from loomstand.store.record import Record

# The first and the longest pause between attempts: a stalled disk usually recovers within a second.
RETRY_SECONDS = (0.2, 1.0)


class Recovered(NamedTuple):
    """The contents of a disk at the start.

    Attributes:
        record: The member's record; a new one if the disk was empty.
        pages: All pages found on the disk.
    """

    record: Record
    pages: Pages


async def recover(
    disk: Disk, new_record: Callable[[], Record], stopped: asyncio.Event
) -> Recovered | None:
    """Reads the disk; an empty disk gets a new record.

    A disk that can't be read for a time isn't treated as empty: a new record would lose the
    member's data and its vote for good, and if all members restarted while their disks fail, every
    copy would be lost. So the read is retried without limit. Until it succeeds the other members
    treat this one as unreachable, and replace it as a voter.

    Args:
        disk: The disk.
        new_record: Creates the record for an empty disk.
        stopped: Set when the store is to stop.

    Returns:
        The contents of the disk, None if `stopped` was set first.
    """
    backoff_seconds, max_backoff_seconds = RETRY_SECONDS
    logged_error = ""
    while not stopped.is_set():
        try:
            return await _load(disk, new_record)
        except OSError as error:
            if str(error) != logged_error:
                logged_error = str(error)
                logging.warning("store: disk unavailable, left unchanged, error=%r", str(error))
        await asyncio.sleep(backoff_seconds)
        backoff_seconds = min(max_backoff_seconds, 2 * backoff_seconds)
    return None


async def _load(disk: Disk, new_record: Callable[[], Record]) -> Recovered:
    pages = await disk.load()
    record = Record.from_pages(pages)
    if record is None:
        record = new_record()
        await disk.save(record.pages())
    return Recovered(record, pages)
