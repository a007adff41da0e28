"""The disk of a store: pages written together or not at all, and synced before a write ends."""

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

from loomstand.store.pages import Pages

# Mapped, half of the disk. A write needs the old value, the new one and those that the last two
# writes freed, each in one piece: of configurations of up to 8 MB the file grew to 40 MB. It takes
# what it needs.
MAP_BYTES = 128 * 2**20

# Before each page there is its CRC-32.
CHECKSUM_BYTES = 4

# What lmdb says of bytes that are no database, or a torn one. All else it says, as that the disk
# refuses or has no space, tells nothing of what is on it.
DAMAGE_ERRORS = (
    lmdb.InvalidError,
    lmdb.CorruptedError,
    lmdb.PageNotFoundError,
    lmdb.VersionMismatchError,
    lmdb.BadChecksumError,
)


class Disk(Protocol):
    """Where a store's pages are, by name."""

    async def load(self) -> Pages:
        """All pages; none if the disk is empty or what is on it is proven damaged.

        Raises:
            OSError: It can't be read now, and nothing is changed; another attempt may succeed.
        """
        ...

    async def save(self, pages: Pages) -> None:
        """Writes the pages and syncs them.

        Raises:
            OSError: Whether they are there is open.
        """
        ...


class LmdbDisk:
    """A `Disk` in a folder, over lmdb.

    One thread does all its work, so that writes keep their order.

    Attributes:
        folder: Where the database is; made when it is first opened.
    """

    def __init__(self, folder: str | Path) -> None:
        """Nothing is opened before the first `load` or `save`."""
        self.folder = Path(folder)
        self._environment: lmdb.Environment | None = None
        self._thread = ThreadPoolExecutor(1, "store-disk")

    async def load(self) -> Pages:
        """Reads all pages, see `Disk.load`."""
        return await asyncio.get_running_loop().run_in_executor(self._thread, self._load)

    async def save(self, pages: Pages) -> None:
        """Writes pages, see `Disk.save`."""
        await asyncio.get_running_loop().run_in_executor(self._thread, self._save, pages)

    def close(self) -> None:
        """Waits for the writes under way."""
        self._thread.shutdown()
        self._close_environment()

    def _open(self) -> lmdb.Environment:
        if self._environment is None:
            self.folder.mkdir(parents=True, exist_ok=True)
            # the system's disks grant locks that do nothing, and this is the only process that
            # opens it
            environment = lmdb.open(str(self.folder), map_size=MAP_BYTES, lock=False, max_readers=4)
            try:
                self._sync_names()
            except OSError:
                environment.close()
                raise
            self._environment = environment
        return self._environment

    def _sync_names(self) -> None:
        """Syncs the folder and the one that it is in.

        lmdb syncs its file's bytes but not its name: after a loss of power a new file could be
        gone, and all that was acknowledged in it. At each opening, as the process that made it may
        have ended before its sync.
        """
        for folder in (self.folder, self.folder.parent):
            descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
            try:
                os.fsync(descriptor)
            finally:
                os.close(descriptor)

    def _load(self) -> Pages:
        try:
            return self._read_pages()
        except (*DAMAGE_ERRORS, ValueError) as error:
            logging.error("store: disk damaged, starting as another member error=%r", str(error))
            self._close_environment()
            shutil.rmtree(self.folder, ignore_errors=True)
            return {}
        except lmdb.Error as error:
            self._close_environment()
            raise OSError(str(error)) from error

    def _read_pages(self) -> Pages:
        """Reads all pages; ValueError if the checksum of one is wrong."""
        with self._open().begin() as transaction:
            stored = {bytes(key).decode(): bytes(value) for key, value in transaction.cursor()}
        pages = {name: value[CHECKSUM_BYTES:] for name, value in stored.items()}
        for name, page in pages.items():
            if int.from_bytes(stored[name][:CHECKSUM_BYTES]) != crc32(page):
                raise ValueError(f"wrong checksum of page {name}")
        return pages

    def _close_environment(self) -> None:
        if self._environment is not None:
            self._environment.close()
            self._environment = None

    def _save(self, pages: Pages) -> None:
        try:
            with self._open().begin(write=True) as transaction:
                for name, page in pages.items():
                    checksum = crc32(page).to_bytes(CHECKSUM_BYTES)
                    transaction.put(name.encode(), checksum + page)
        except lmdb.Error as error:
            if isinstance(error, lmdb.PanicError):
                # after a failed sync it takes nothing until it is opened anew
                self._close_environment()
            raise OSError(str(error)) from error
