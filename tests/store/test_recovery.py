"""Disks that refuse for a while at a start: their member stays; only proven damage makes another
one.
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
def shelf(tmp_path, monkeypatch):
    """A folder with member `old`, and `start`, which starts with databases that first fail to open
    so.
    """
    monkeypatch.setattr(recovery, "RETRY_SECONDS", (0.0, 0.0))
    opened = lmdb.open

    def start(*failures: Exception, stopped: bool = False) -> tuple[Record | None, int]:
        left = list(failures)

        def fails(*parts, **more):
            if left:
                raise left.pop(0)
            return opened(*parts, **more)

        monkeypatch.setattr(lmdb, "open", fails)
        made, event = LmdbDisk(tmp_path / "granary"), asyncio.Event()
        if stopped:
            event.set()
        with asyncio.Runner() as runner:
            woken = runner.run(recovery.recover(made, lambda: Record("new", False), event))
        made.close()
        return woken and woken[0], len(left)

    with asyncio.Runner() as runner:
        made = LmdbDisk(tmp_path / "granary")
        runner.run(made.save(Record("old", True, 3, None, 7, b"seven", 3).pages()))
        made.close()
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
def test_a_disk_that_fails_to_open_at_first_keeps_its_member(shelf, failure):
    record, left = shelf(failure, failure, failure)
    assert (record.id, record.version, record.data, left) == ("old", 7, b"seven", 0)


@pytest.mark.parametrize(
    "damage", [lmdb.InvalidError("not a database"), lmdb.CorruptedError("torn")]
)
def test_a_disk_that_is_damaged_becomes_another_member(shelf, damage):
    assert shelf(damage)[0] == Record("new", False)
    assert shelf()[0] == Record("new", False)


def test_a_database_whose_sync_failed_is_opened_anew_for_the_next_write(tmp_path, monkeypatch):
    class Torn:
        def begin(self, **_):
            raise lmdb.PanicError("environment had fatal error")

        def close(self):
            pass

    made, opened = LmdbDisk(tmp_path / "granary"), lmdb.open
    monkeypatch.setattr(lmdb, "open", lambda *parts, **more: Torn())
    with asyncio.Runner() as runner:
        with pytest.raises(OSError, match="fatal"):
            runner.run(made.save({"vote": b"1"}))
        monkeypatch.setattr(lmdb, "open", opened)
        runner.run(made.save({"vote": b"2"}))
        assert runner.run(made.load()) == {"vote": b"2"}
    made.close()


def test_one_that_is_told_to_stop_waits_no_longer(shelf):
    assert shelf(OSError(5, "Input/output error"), stopped=True) == (None, 1)
    assert shelf()[0].id == "old"


@pytest.mark.parametrize("trouble", ["unread", "hangs"])
def test_a_core_whose_disks_cannot_be_read_for_a_while_loses_nothing(trouble):
    cluster = StoreCluster()
    cluster.start()
    cluster.wait(2.0)
    cluster.first = False
    assert cluster.do(cluster.put_within(0.5))
    before = {m.host: g.replica.member for m, g in cluster.stores()}
    for machine in cluster.machines.values():
        machine.power_off()
        setattr(machine.platter, trouble, True)
    cluster.start()
    cluster.wait(5.0)
    assert not cluster.stores() and not cluster.do(cluster.put_within(2.0))
    for machine in cluster.machines.values():
        setattr(machine.platter, trouble, False)
    assert cluster.do(cluster.put_within(4.5))  # the disks' next tries come within a second
    assert cluster.do(cluster.read_newest()) >= cluster.acknowledged_version
    assert {m.host: g.replica.member for m, g in cluster.stores()} == before
    cluster.close()
