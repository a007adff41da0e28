"""Tests of the recovery of a store's record from its disk at the start.

A disk that can't be read at first keeps its member; only a database that is provably damaged is
replaced by a new member.
"""

from __future__ import annotations

import asyncio

import lmdb
import pytest
from test_store import StoreCluster

from loomstand.store import recovery
from loomstand.store.disk import LmdbDisk
from loomstand.store.record import Record


@pytest.fixture
def start_with_failures(tmp_path, monkeypatch):
    """Returns a function that recovers the record from a disk written by the member `old`.

    Opening the database fails with each given error in turn. The function returns the record, and
    the number of errors that weren't raised.
    """
    monkeypatch.setattr(recovery, "RETRY_SECONDS", (0.0, 0.0))
    open_database = lmdb.open

    def start(*failures: Exception, stopped: bool = False) -> tuple[Record | None, int]:
        left = list(failures)

        def fail_first(*parts, **more):
            if left:
                raise left.pop(0)
            return open_database(*parts, **more)

        monkeypatch.setattr(lmdb, "open", fail_first)
        disk, event = LmdbDisk(tmp_path / "store"), asyncio.Event()
        if stopped:
            event.set()
        with asyncio.Runner() as runner:
            recovered = runner.run(recovery.recover(disk, lambda: Record("new", False), event))
        disk.close()
        return recovered and recovered[0], len(left)

    with asyncio.Runner() as runner:
        disk = LmdbDisk(tmp_path / "store")
        runner.run(disk.save(Record("old", True, 3, None, 7, b"seven", 3).pages()))
        disk.close()
    return start


@pytest.mark.parametrize(
    "failure",
    [
        lmdb.Error("/store: Input/output error"),
        lmdb.DiskError("/store: No space left on device"),
        lmdb.ReadonlyError("/store: Permission denied"),
        OSError(5, "Input/output error"),
    ],
)
def test_a_disk_that_fails_to_open_at_first_keeps_its_member(start_with_failures, failure):
    record, left = start_with_failures(failure, failure, failure)
    assert (record.id, record.version, record.data, left) == ("old", 7, b"seven", 0)


@pytest.mark.parametrize(
    "damage", [lmdb.InvalidError("not a database"), lmdb.CorruptedError("torn")]
)
def test_a_disk_that_is_damaged_becomes_another_member(start_with_failures, damage):
    assert start_with_failures(damage)[0] == Record("new", False)
    assert start_with_failures()[0] == Record("new", False)


def test_a_database_whose_sync_failed_is_reopened_for_the_next_write(tmp_path, monkeypatch):
    class FailedEnvironment:
        def begin(self, **_):
            raise lmdb.PanicError("environment had fatal error")

        def close(self):
            pass

    disk, open_database = LmdbDisk(tmp_path / "store"), lmdb.open
    monkeypatch.setattr(lmdb, "open", lambda *parts, **more: FailedEnvironment())
    with asyncio.Runner() as runner:
        with pytest.raises(OSError, match="fatal"):
            runner.run(disk.save({"vote": b"1"}))
        monkeypatch.setattr(lmdb, "open", open_database)
        runner.run(disk.save({"vote": b"2"}))
        assert runner.run(disk.load()) == {"vote": b"2"}
    disk.close()


def test_a_store_that_is_stopped_ends_its_retries(start_with_failures):
    assert start_with_failures(OSError(5, "Input/output error"), stopped=True) == (None, 1)
    assert start_with_failures()[0].id == "old"


@pytest.mark.parametrize("trouble", ["is_unreadable", "hangs"])
def test_a_cluster_whose_disks_cannot_be_read_for_a_while_loses_nothing(trouble):
    cluster = StoreCluster()
    cluster.start()
    cluster.wait(2.0)
    cluster.is_first_start = False
    assert cluster.run(cluster.put_within(0.5))
    before = {m.host: store.replica.member for m, store in cluster.stores()}
    for machine in cluster.machines.values():
        machine.power_off()
        setattr(machine.disk_state, trouble, True)
    cluster.start()
    cluster.wait(5.0)
    assert not cluster.stores() and not cluster.run(cluster.put_within(2.0))
    for machine in cluster.machines.values():
        setattr(machine.disk_state, trouble, False)
    assert cluster.run(cluster.put_within(4.5))  # stores retry the read within a second
    assert cluster.run(cluster.read_newest()) >= cluster.acknowledged_version
    assert {m.host: store.replica.member for m, store in cluster.stores()} == before
    cluster.close()
