"""Tests of the store's disk after power failures, which lose unsynced directory entries."""

from __future__ import annotations

import asyncio
import os
import shutil

import pytest

from loomstand.store.disk import LmdbDisk

PAGES = {"configuration": b"r7", "epoch": b"3"}


@pytest.fixture
def synced(monkeypatch):
    """Returns the names that each folder had at its last sync, by the folder's path."""
    names_by_folder: dict[str, set[str]] = {}
    os_fsync = os.fsync

    def fsync(fd: int) -> None:
        path = os.readlink(f"/proc/self/fd/{fd}")
        if os.path.isdir(path):
            names_by_folder[path] = set(os.listdir(path))
        os_fsync(fd)

    monkeypatch.setattr(os, "fsync", fsync)
    return names_by_folder


def lose_unsynced_names(top, synced: dict[str, set[str]]) -> None:
    """Removes every file and folder that was created after the last sync of its parent folder."""
    for path, folders, files in os.walk(top):
        for name in set(folders + files) - synced.get(path, set()):
            unsynced = os.path.join(path, name)
            shutil.rmtree(unsynced) if os.path.isdir(unsynced) else os.remove(unsynced)


def run_with_disk(folder, work):
    disk = LmdbDisk(folder)
    try:
        return asyncio.run(work(disk))
    finally:
        disk.close()


async def load_and_save(disk: LmdbDisk) -> dict[str, bytes]:
    before = await disk.load()
    await disk.save(PAGES)
    return before


def test_a_write_survives_a_power_failure_right_after_the_first_start(tmp_path, synced):
    assert run_with_disk(tmp_path / "store", load_and_save) == {}
    lose_unsynced_names(tmp_path, synced)
    assert run_with_disk(tmp_path / "store", LmdbDisk.load) == PAGES


def test_a_write_survives_a_power_failure_where_the_creating_process_ended_before_its_sync(
    tmp_path, synced, monkeypatch
):
    def fail_sync(self):
        raise OSError("killed here")

    with monkeypatch.context() as killed:
        killed.setattr(LmdbDisk, "_sync_directories", fail_sync)
        with pytest.raises(OSError, match="killed here"):
            run_with_disk(tmp_path / "store", LmdbDisk.load)
    assert (tmp_path / "store" / "data.mdb").exists()
    run_with_disk(tmp_path / "store", load_and_save)
    lose_unsynced_names(tmp_path, synced)
    assert run_with_disk(tmp_path / "store", LmdbDisk.load) == PAGES


def test_a_failed_folder_sync_is_retried_before_any_read_or_write(tmp_path, monkeypatch):
    sync_allowed = []

    async def fail_then_save(disk: LmdbDisk) -> dict[str, bytes]:
        for _ in range(2):
            with pytest.raises(OSError, match="no sync"):
                await disk.load()
        with pytest.raises(OSError, match="no sync"):
            await disk.save(PAGES)
        sync_allowed.append(True)
        return await load_and_save(disk)

    def fail_until_allowed(fd: int) -> None:
        if not sync_allowed:
            raise OSError("no sync")

    monkeypatch.setattr(os, "fsync", fail_until_allowed)
    assert run_with_disk(tmp_path / "store", fail_then_save) == {}
    assert run_with_disk(tmp_path / "store", LmdbDisk.load) == PAGES


def test_a_missing_folder_sync_is_detected(tmp_path, synced, monkeypatch):
    """Mutation check: without the sync of the folders, a power failure loses the written pages."""
    monkeypatch.setattr(LmdbDisk, "_sync_directories", lambda _: None)
    run_with_disk(tmp_path / "store", load_and_save)
    lose_unsynced_names(tmp_path, synced)
    assert run_with_disk(tmp_path / "store", LmdbDisk.load) == {}
