"""The disk of a store: pages are written atomically, and synced before a write returns."""

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

# Size of the memory map and thus the maximum size of the file: half of a disk of 256 MB. A write
# needs contiguous space for the new value, while the old value and the space freed by the last two
# writes stay occupied: with configurations of up to 8 MB the file grew to 40 MB. The file itself
# only grows as needed.
MAP_BYTES = 128 * 2**20

# Each page is stored after its CRC-32.
CHECKSUM_BYTES = 4

# The errors by which lmdb reports a file that isn't a database or is damaged. Other lmdb errors,
# such as an I/O error or a full disk, don't prove that the data is damaged.
DAMAGE_ERRORS = (
    lmdb.InvalidError,
    lmdb.CorruptedError,
    lmdb.PageNotFoundError,
    lmdb.VersionMismatchError,
    lmdb.BadChecksumError,
)


class Disk(Protocol):
    """Persistent storage of a store's pages, by name."""

    async def load(self) -> Pages:
        """Reads all pages; none if the disk is empty or its data is proven to be damaged.

        Raises:
            OSError: The disk can't be read now, and is unchanged; another attempt may succeed.
        """
        ...

    async def save(self, pages: Pages) -> None:
        """Writes the pages and syncs them.

        Raises:
            OSError: The write failed; whether the pages are on disk is unknown.
        """
        ...


class LmdbDisk:
    """A `Disk` in a folder, stored with lmdb.

    A single thread does all reads and writes, so that writes keep their order.

    Attributes:
        folder: The folder of the database; created when it is first opened.
    """

    def __init__(self, folder: str | Path) -> None:
        """Sets the disk up; the database is opened by the first `load` or `save`."""
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
        """Waits for writes in progress, and closes the database."""
        self._thread.shutdown()
        self._close_environment()

    def _open(self) -> lmdb.Environment:
        if self._environment is None:
            self.folder.mkdir(parents=True, exist_ok=True)
            # file locks have no effect on the disks that the system runs on, and no other process
            # opens the database
            environment = lmdb.open(str(self.folder), map_size=MAP_BYTES, lock=False, max_readers=4)
            try:
                self._sync_directories()
            except OSError:
                environment.close()
                raise
            self._environment = environment
        return self._environment

    def _sync_directories(self) -> None:
        """Syncs the folder and its parent.

        lmdb syncs the contents of its file but not its directory entry: after a power failure a new
        file could be missing, with all acknowledged writes in it. The directories are synced at
        each opening, as the process that created the file may have ended before it synced them.
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
        """Reads all pages.

        Raises:
            ValueError: The checksum of a page is wrong.
        """
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
                # after a failed sync lmdb rejects all writes until the database is reopened
                self._close_environment()
            raise OSError(str(error)) from error
