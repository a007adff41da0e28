"""The disk of a store: named pages, written together or not at all, and synced before a write is
over.
"""

from __future__ import annotations

import asyncio
import os
import shutil
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Protocol
from zlib import crc32

import lmdb
from absl import logging

# Bytes mapped, half of the disk. A write needs the old value, the new one and those that the last
# two writes freed, each in one piece: of configurations of up to 8 MB the file grew to 40 MB. It
# takes what it needs.
SIZE = 128 * 2**20
_CRC = 4  # bytes before each page
# What lmdb says of bytes that are no database, or a torn one. All else it says, as that the disk
# refuses or has no room, tells nothing of what is on it.
DAMAGE = (
    lmdb.InvalidError,
    lmdb.CorruptedError,
    lmdb.PageNotFoundError,
    lmdb.VersionMismatchError,
    lmdb.BadChecksumError,
)


class Disk(Protocol):
    async def load(self) -> dict[str, bytes]:
        """All pages; none if the disk is empty or what is on it is proven damaged. OSError: it
        can't be read now, and nothing is changed; another try may do.
        """
        ...

    async def save(self, pages: dict[str, bytes]) -> None:
        """Writes the pages and syncs them. OSError: whether they're there is open."""
        ...


class LmdbDisk:
    """A Disk in `folder`, over lmdb. One thread does all its work, so that writes keep their
    order.
    """

    def __init__(self, folder: str | Path) -> None:
        self.folder = Path(folder)
        self.env: lmdb.Environment | None = None
        self.thread = ThreadPoolExecutor(1, "shelf")

    async def load(self) -> dict[str, bytes]:
        return await asyncio.get_running_loop().run_in_executor(self.thread, self._load)

    async def save(self, pages: dict[str, bytes]) -> None:
        await asyncio.get_running_loop().run_in_executor(self.thread, self._save, pages)

    def close(self) -> None:
        """Waits for the writes under way."""
        self.thread.shutdown()
        self._shut()

    def _open(self) -> lmdb.Environment:
        if self.env is None:
            self.folder.mkdir(parents=True, exist_ok=True)
            # the system's disks grant locks that do nothing, and this is the only process that
            # opens it
            env = lmdb.open(str(self.folder), map_size=SIZE, lock=False, max_readers=4)
            try:
                self._names_last()
            except OSError:
                env.close()
                raise
            self.env = env
        return self.env

    def _names_last(self) -> None:
        """Syncs the folder and the one that it is in. lmdb syncs its file's bytes but not its name:
        after a loss of power a new file could be gone, and all that was acknowledged in it. At each
        opening, as the process that made it may have ended before its sync.
        """
        for folder in (self.folder, self.folder.parent):
            names = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
            try:
                os.fsync(names)
            finally:
                os.close(names)

    def _load(self) -> dict[str, bytes]:
        try:
            with self._open().begin() as read:
                pages = {bytes(k).decode(): bytes(v) for k, v in read.cursor()}
            if any(int.from_bytes(p[:_CRC]) != crc32(p[_CRC:]) for p in pages.values()):
                raise ValueError("a page's sum is wrong")
        except (*DAMAGE, ValueError) as error:
            logging.error("store: its disk is damaged, it starts as another member: %s", error)
            self._shut()
            shutil.rmtree(self.folder, ignore_errors=True)
            return {}
        except lmdb.Error as error:
            self._shut()
            raise OSError(str(error)) from error
        return {k: v[_CRC:] for k, v in pages.items()}

    def _shut(self) -> None:
        if self.env is not None:
            self.env.close()
            self.env = None

    def _save(self, pages: dict[str, bytes]) -> None:
        try:
            with self._open().begin(write=True) as write:
                for name, page in pages.items():
                    write.put(name.encode(), crc32(page).to_bytes(_CRC) + page)
        except lmdb.Error as error:
            if isinstance(
                error, lmdb.PanicError
            ):  # after a failed sync it takes nothing till it's opened anew
                self._shut()
            raise OSError(str(error)) from error
