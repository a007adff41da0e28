"""The store's disk through losses of power that take names which were made without a sync of their
folder.
"""

from __future__ import annotations

import asyncio
import os
import shutil

import pytest

from loomstand.store.disk import LmdbDisk

PAGES = {"configuration": b"r7", "epoch": b"3"}


@pytest.fixture
def synced(monkeypatch):
    """By folder: the names that were in it as it was last synced."""
    found: dict[str, set[str]] = {}
    usual = os.fsync

    def fsync(fd: int) -> None:
        path = os.readlink(f"/proc/self/fd/{fd}")
        if os.path.isdir(path):
            found[path] = set(os.listdir(path))
        usual(fd)

    monkeypatch.setattr(os, "fsync", fsync)
    return found


def power_lost(top, synced: dict[str, set[str]]) -> None:
    """Each name goes that its folder's last sync hadn't seen."""
    for path, folders, files in os.walk(top):
        for name in set(folders + files) - synced.get(path, set()):
            gone = os.path.join(path, name)
            shutil.rmtree(gone) if os.path.isdir(gone) else os.remove(gone)


def lived(folder, work):
    disk = LmdbDisk(folder)
    try:
        return asyncio.run(work(disk))
    finally:
        disk.close()


async def written(disk: LmdbDisk) -> dict[str, bytes]:
    before = await disk.load()
    await disk.save(PAGES)
    return before


def test_what_was_written_is_there_after_a_loss_of_power_right_after_the_first_start(
    tmp_path, synced
):
    assert lived(tmp_path / "granary", written) == {}
    power_lost(tmp_path, synced)
    assert lived(tmp_path / "granary", LmdbDisk.load) == PAGES


def test_and_where_the_process_that_made_the_file_ended_before_its_sync(
    tmp_path, synced, monkeypatch
):
    def ended(self):
        raise OSError("killed here")

    with monkeypatch.context() as killed:
        killed.setattr(LmdbDisk, "_sync_names", ended)
        with pytest.raises(OSError, match="killed here"):
            lived(tmp_path / "granary", LmdbDisk.load)
    assert (tmp_path / "granary" / "data.mdb").exists()
    lived(tmp_path / "granary", written)
    power_lost(tmp_path, synced)
    assert lived(tmp_path / "granary", LmdbDisk.load) == PAGES


def test_a_sync_that_the_disk_refuses_is_tried_again_before_any_read_or_write(
    tmp_path, monkeypatch
):
    tries = []

    async def twice(disk: LmdbDisk) -> dict[str, bytes]:
        for _ in range(2):
            with pytest.raises(OSError, match="no sync"):
                await disk.load()
        with pytest.raises(OSError, match="no sync"):
            await disk.save(PAGES)
        tries.append("now")
        return await written(disk)

    def refuses(fd: int) -> None:
        if not tries:
            raise OSError("no sync")

    monkeypatch.setattr(os, "fsync", refuses)
    assert lived(tmp_path / "granary", twice) == {}
    assert lived(tmp_path / "granary", LmdbDisk.load) == PAGES


def test_it_is_caught_where_names_are_not_synced(tmp_path, synced, monkeypatch):
    """The mutation: the file's bytes are synced, its name and its folder's aren't."""
    monkeypatch.setattr(LmdbDisk, "_sync_names", lambda _: None)
    lived(tmp_path / "granary", written)
    power_lost(tmp_path, synced)
    assert lived(tmp_path / "granary", LmdbDisk.load) == {}
