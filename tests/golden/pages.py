"""Frames and pages made from plain values, and LMDB folders of a store."""

from __future__ import annotations

import asyncio
from itertools import pairwise
from pathlib import Path
from typing import Any

import cbor2
import lmdb

from tests.golden import names

FRAMES: dict[str, list[Any]] = {
    "a call": [
        7,
        "keep",
        {"epoch": 3, "asker": "ab", "version": 12, "data": b"{}", "orders": [[], b""]},
    ],
    "an answer": [
        7,
        True,
        {"version": 12, "left": 0.75, "primary": ["10.1.0.1", 7341], "backup": None},
    ],
    "a refusal": [7, False, {"why": "not the primary"}],
}


def frames() -> dict[str, str]:
    return {name: names.encode_item(item).hex() for name, item in FRAMES.items()}


def _member(n: int) -> names.Member:
    return names.Member(f"{n:016x}", (f"10.1.0.{n}", names.STORE_PORT))


def records() -> dict[str, names.Record]:
    """Returns a record of each form that a store writes; the change history fits the data."""
    one, two, three = _member(1), _member(2), _member(3)
    view = names.View(4, one, two, (one, two, three))
    changed = names.View(6, two, None, (one, two), (one, two, three))
    rescued = names.View(1_000_001, three, one, (one, three), (), 1_000_001)
    data = b'{"version": "r12", "resources": []}'
    history = names.EMPTY_HISTORY.appended(9, names.digest(b"nine")).appended(
        12, names.digest(data)
    )
    with_late_change = history.with_superseded(10, names.digest(b"ten, too late"))
    return {
        "new": names.Record(one.id, True),
        "new, not of the first start": names.Record(one.id, False),
        "promised": names.Record(one.id, True, 5),
        "with a view": names.Record(one.id, True, 4, view, 12, data, 4, history),
        "with a late order": names.Record(one.id, True, 4, view, 12, data, 4, with_late_change),
        "with a change of voters": names.Record(two.id, True, 6, changed, 12, data, 4, history),
        "after a rescue": names.Record(
            three.id, False, 1_000_001, rescued, 12, data, 1_000_001, history
        ),
        "without orders": names.Record(one.id, True, 4, view, 12, data, 4),
    }


def to_hex(pages: dict[str, bytes]) -> dict[str, str]:
    return {name: page.hex() for name, page in sorted(pages.items())}


def from_hex(pages: dict[str, str]) -> dict[str, bytes]:
    return {name: bytes.fromhex(page) for name, page in pages.items()}


def other_pages() -> dict[str, bytes]:
    """Returns the pages that are not of the record: the counting lease's and the learner's."""
    lease = names.CountingLease("10.1.0.1")
    first = lease.page("10.1.0.1")
    lease.number, lease.holder = 4, "10.1.0.1"
    pages = {"duty, the first": first, "duty, the same": lease.page("10.1.0.1")}
    pages["duty, another"] = lease.page("10.1.0.2")
    encoded = {name: cbor2.dumps(page) for name, page in pages.items()}
    return encoded | {
        "copy": names.Learner.pages(names.VersionedData(12, b'{"version": "r12"}'))["copy"]
    }


def steps() -> dict[str, dict[str, str]]:
    """Returns the pages that a store writes when its record changes from one form to the next."""
    forms = list(records().items())
    return {f"{a} -> {b}": to_hex(new.pages(old)) for (a, old), (b, new) in pairwise(forms)}


def write_folder(pages: dict[str, bytes], folder: Path, work: Path) -> None:
    """Writes pages to the folder `work` as a store does, and a compacted copy of it to `folder`."""

    async def write() -> None:
        disk = names.LmdbDisk(work)
        await disk.save(pages)
        disk.close()

    asyncio.run(write())
    folder.mkdir(parents=True)
    with lmdb.open(str(work), lock=False, readonly=True) as env:
        env.copy(str(folder), compact=True)


async def read_folder(folder: Path) -> tuple[names.Record, dict[str, bytes]]:
    """Returns the record in a folder and all its pages, as a store reads them when it starts."""
    disk = names.LmdbDisk(folder)

    def new() -> names.Record:
        raise AssertionError("the folder was recovered as empty")

    try:
        found = await names.recover(disk, new, asyncio.Event())
    finally:
        disk.close()
    assert found is not None
    return found
