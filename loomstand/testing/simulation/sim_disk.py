"""A simulated disk that writes pages atomically, with the latency of a commit."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random

COMMIT_SECONDS = 0.0035  # latency of a commit on the disks of the target machines


@dataclass(slots=True)
class DiskState:
    """The durable state of a disk, which outlives processes: its pages and its faults."""

    rng: Random
    pages: dict[str, bytes] = field(default_factory=dict)
    slower: float = 1.0  # factor on the latency of a commit
    refuses: bool = False  # writes fail
    hangs: bool = False  # reads and writes don't complete
    is_unreadable: bool = False  # opening it fails
    write_count: int = 0
    # counts power losses and wipes; a write that began before one of them is dropped
    generation: int = 0

    def power_off(self) -> None:
        """Drops writes that are in progress."""
        self.generation += 1

    def wipe(self) -> None:
        """Erases the disk and drops writes that are in progress."""
        self.generation += 1
        self.pages = {}


@dataclass(slots=True)
class SimDisk:
    """The disk as one process sees it; writes are serialized."""

    disk_state: DiskState
    write_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def load(self) -> dict[str, bytes]:
        """Returns all pages. Raises OSError if the disk can't be opened."""
        while self.disk_state.hangs:
            await asyncio.sleep(0.05)
        if self.disk_state.is_unreadable:
            raise OSError("the disk can't be opened")
        return dict(self.disk_state.pages)

    async def save(self, pages: dict[str, bytes]) -> None:
        """Commits pages. Raises OSError if the disk refuses writes."""
        disk_state, generation = self.disk_state, self.disk_state.generation
        async with self.write_lock:
            if disk_state.refuses:
                await asyncio.sleep(COMMIT_SECONDS)
                raise OSError("the disk refuses writes")
            # the pages become durable at a random time before the commit is acknowledged
            share = disk_state.rng.random()
            await self._wait(share)
            if disk_state.generation == generation:
                disk_state.pages.update(pages)
                disk_state.write_count += 1
            await self._wait(1.0 - share)

    async def _wait(self, share: float) -> None:
        """Waits for a share of the latency of a commit, and as long as the disk hangs."""
        await asyncio.sleep(COMMIT_SECONDS * share * self.disk_state.slower)
        while self.disk_state.hangs:
            await asyncio.sleep(0.05)
