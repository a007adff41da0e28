"""A simulated disk: pages written together, on the platter only after a while."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random

COMMIT_SECONDS = 0.0035  # s for a commit on the target's disks


@dataclass(slots=True)
class DiskState:
    """What outlives a process: the pages, and the trouble that the disk is in."""

    rng: Random
    pages: dict[str, bytes] = field(default_factory=dict)
    slower: float = 1.0  # a commit takes that many times as long
    refuses: bool = False
    hangs: bool = False
    is_unreadable: bool = False  # it can't be opened
    write_count: int = 0
    # counts losses of power and wipes: a write that began before one isn't heard of again
    generation: int = 0

    def power_off(self) -> None:
        self.generation += 1

    def wipe(self) -> None:
        self.generation += 1
        self.pages = {}


@dataclass(slots=True)
class SimDisk:
    """A life's way to its platter; one write at a time, in order."""

    disk_state: DiskState
    write_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def load(self) -> dict[str, bytes]:
        while self.disk_state.hangs:
            await asyncio.sleep(0.05)
        if self.disk_state.is_unreadable:
            raise OSError("the disk can't be opened")
        return dict(self.disk_state.pages)

    async def save(self, pages: dict[str, bytes]) -> None:
        disk_state, turn = self.disk_state, self.disk_state.generation
        async with self.write_lock:
            if disk_state.refuses:
                await asyncio.sleep(COMMIT_SECONDS)
                raise OSError("the disk refuses")
            # somewhere in it the pages are there, though nobody knows yet
            share = disk_state.rng.random()
            await self._wait(share)
            if disk_state.generation == turn:
                disk_state.pages.update(pages)
                disk_state.write_count += 1
            await self._wait(1.0 - share)

    async def _wait(self, share: float) -> None:
        await asyncio.sleep(COMMIT_SECONDS * share * self.disk_state.slower)
        while self.disk_state.hangs:
            await asyncio.sleep(0.05)
