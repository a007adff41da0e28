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
    unread: bool = False  # it can't be opened
    writes: int = 0
    # counts losses of power and wipes: a write that began before one isn't heard of again
    turn: int = 0

    def power_off(self) -> None:
        self.turn += 1

    def wipe(self) -> None:
        self.turn += 1
        self.pages = {}


@dataclass(slots=True)
class SimDisk:
    """A life's way to its platter; one write at a time, in order."""

    disk_state: DiskState
    gate: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def load(self) -> dict[str, bytes]:
        while self.disk_state.hangs:
            await asyncio.sleep(0.05)
        if self.disk_state.unread:
            raise OSError("the disk can't be opened")
        return dict(self.disk_state.pages)

    async def save(self, pages: dict[str, bytes]) -> None:
        disk_state, turn = self.disk_state, self.disk_state.turn
        async with self.gate:
            if disk_state.refuses:
                await asyncio.sleep(COMMIT_SECONDS)
                raise OSError("the disk refuses")
            # somewhere in it the pages are there, though nobody knows yet
            share = disk_state.rng.random()
            await self._spin(share)
            if disk_state.turn == turn:
                disk_state.pages.update(pages)
                disk_state.writes += 1
            await self._spin(1.0 - share)

    async def _spin(self, share: float) -> None:
        await asyncio.sleep(COMMIT_SECONDS * share * self.disk_state.slower)
        while self.disk_state.hangs:
            await asyncio.sleep(0.05)
