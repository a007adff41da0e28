"""A member's first look at its disk: it waits for one that is in trouble, never takes it for
empty.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from absl import logging

from loomstand.store.disk import Disk
from loomstand.store.views import Record

Woken = tuple[Record, dict[str, bytes]]

# s until the second look, and the longest: a disk that stalls is back within a second or so
AGAIN = 0.2, 1.0


async def wake(disk: Disk, new: Callable[[], Record], stopped: asyncio.Event) -> Woken | None:
    """The record of the disk, or `new()` once that is written on an empty one, and all its pages as
    they were found; None if `stopped` came first.

    A disk that only refuses for a while keeps its member: one that wiped it would lose data and
    vote for good, and a restart of all in a bad moment would lose every copy. So the tries have no
    end; meanwhile others take the member for silent, and replace it as a voter.
    """
    pause, said = AGAIN[0], ""
    while not stopped.is_set():
        try:
            pages = await disk.load()
            found = Record.read(pages)
            if found is None:
                found = new()
                await disk.save(found.pages())
            return found, pages
        except OSError as error:
            if str(error) != said:
                said = str(error)
                logging.warning("store: waits for its disk, nothing on it is changed: %s", error)
        await asyncio.sleep(pause)
        pause = min(AGAIN[1], 2 * pause)
    return None
