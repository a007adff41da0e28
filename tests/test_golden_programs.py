"""Golden tests of the programs: what they send, write and answer is, to the byte, what it was.

The fixtures in `golden/` were made by `golden/make.py` at the code before the great renames. The
digests of the simulated runs go over every byte of every message in its order. They were the same
in processes with different hash seeds; nothing is masked, as ids and clocks come from the seeds of
the runs.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import cbor2
import pytest

from tests.golden import names, pages, runs
from tests.golden.make import FOLDERS, load, page_fixture

ROOT = Path(__file__).resolve().parent.parent


# --- messages between the programs


# The town as it was recorded at first. It was recorded anew when a registry no longer took note of
# the calls of limiters that had deregistered, and when a drain was acknowledged only once most
# registries knew it (CHANGELOG.md): it has some calls fewer since, and one more.
FORMER_TOWN = "town-former"
RUNS = {"stores": runs.stores_run, "town": runs.town_run, "older": runs.older_run}


@pytest.mark.parametrize("name", [*RUNS])
def test_every_message_of_a_run_is_as_it_was(name):
    """The examples are compared first: they show a difference better than the digest does."""
    found, wanted = RUNS[name](), load(name)
    assert list(found["exchanges"]) == list(wanted["exchanges"])
    for call, kept in wanted["exchanges"].items():
        assert found["exchanges"][call] == kept, call
    assert found.get("disks") == wanted.get("disks")
    assert found == wanted


STORE_CALLS = (
    "beat",
    "duty",
    "fetch",
    "held",
    "install",
    "keep",
    "lead",
    "news",
    "offer",
    "promise",
    "put",
    "read",
    "rescue",
    "status",
    "told",
    "wait",
)
REGISTRY_CALLS = "ask", "bye", "count", "fetch", "grant", "offer", "tell", "whole"


def test_the_examples_have_every_call_of_stores_and_registries():
    seen = {*load("stores")["exchanges"], *load("town")["exchanges"]}
    wanted = {f"store {call}" for call in STORE_CALLS} | {
        f"registry {call}" for call in REGISTRY_CALLS
    }
    assert seen == wanted | {"store unheard-of"}


def test_a_large_configuration_is_fetched_packed():
    shapes = load("town")["exchanges"]["registry fetch"]
    (kept,) = (v for k, v in shapes.items() if k == "z answered version,z")
    assert len(bytes.fromhex(kept["answer"])) < 2_000


@pytest.mark.parametrize("name", [*RUNS, FORMER_TOWN])
def test_every_message_is_read_back_to_the_same_bytes(name):
    for call, kept in load(name)["exchanges"].items():
        for entry in kept.values():
            for frame in entry.values():
                (item,) = names.FrameDecoder().feed(bytes.fromhex(frame))
                assert names.encode_frame(item).hex() == frame, call


# A round of gossip that tells of a server that leaves, too: calls could have this shape before,
# but none of the former recording.
NEW_SHAPE = ("registry tell", "ages,alive,clock,counts,crew,rows answered same,unknown")


def test_the_town_of_before_has_the_same_shapes_of_messages_and_the_same_disks():
    former, town = load(FORMER_TOWN), load("town")
    assert former["disks"] == town["disks"]
    shapes = [
        {(call, shape) for call, kept in run["exchanges"].items() for shape in kept}
        for run in (former, town)
    ]
    assert shapes[1] - shapes[0] == {NEW_SHAPE}
    assert shapes[0] <= shapes[1]


def test_a_run_gives_the_same_bytes_in_processes_with_other_hash_seeds():
    script = (
        "from tests.golden import runs\n"
        "print(*(run()['digest'] for run in (runs.stores_run, runs.town_run, runs.older_run)))"
    )
    digests = [load(name)["digest"] for name in RUNS]
    for seed in ("0", "4711"):
        done = subprocess.run(
            [sys.executable, "-c", script],
            cwd=ROOT,
            env=os.environ | {"PYTHONHASHSEED": seed, "PYTHONPATH": str(ROOT)},
            capture_output=True,
            text=True,
            check=True,
        )
        assert done.stdout.split() == digests, seed


# --- frames


def items(frames):
    return [frame.to_item() for frame in frames]


def test_frames_are_as_they_were_and_read_back():
    assert pages.frames() == load("frames")
    for name, frame in load("frames").items():
        assert items(names.FrameDecoder().feed(bytes.fromhex(frame))) == [pages.FRAMES[name]]


def test_a_frame_with_a_wrong_sum_is_foreign_once_one_with_a_sum_came():
    frame = bytes.fromhex(load("frames")["a call"])
    reader = names.FrameDecoder()
    assert items(reader.feed(frame)) == [pages.FRAMES["a call"]]
    with pytest.raises(names.FrameError):
        list(reader.feed(frame[:-1] + bytes([frame[-1] ^ 1])))


def test_a_frame_of_before_the_sums_is_read_until_one_with_a_sum_came():
    item = cbor2.dumps(pages.FRAMES["an answer"])
    frame, reader = len(item).to_bytes(4, "big") + item, names.FrameDecoder()
    assert items(reader.feed(frame)) == [pages.FRAMES["an answer"]]
    list(reader.feed(bytes.fromhex(load("frames")["an answer"])))
    with pytest.raises(names.FrameError):
        list(reader.feed(frame))


# --- pages of the disk


def test_pages_are_written_as_they_were():
    assert page_fixture() == load("pages")


@pytest.mark.parametrize("name", [*pages.records()])
def test_a_record_is_read_back(name):
    found = pages.unhexed(load("pages")["records"][name])
    assert names.Record.from_pages(found) == pages.records()[name]


def test_the_older_forms_of_pages_are_read():
    """Before rescues a view had five items; before the orders there was no page of them, and a
    program that doesn't know that page leaves one that isn't of its configuration.
    """
    record = pages.records()["with a view"]
    whole = pages.unhexed(load("pages")["records"]["with a view"])
    bare = replace(record, history=names.NO_ORDERS)
    assert len(cbor2.loads(whole["vote"])[1]) == 5
    assert names.Record.from_pages({k: v for k, v in whole.items() if k != "orders"}) == bare
    newer = cbor2.dumps([4, 13, b"thirteen"])
    assert names.Record.from_pages(whole | {"configuration": newer}) == replace(
        bare, version=13, data=b"thirteen"
    )
    torn = cbor2.dumps([[9, 12], b"short"])
    assert names.Record.from_pages(whole | {"orders": torn}) == bare
    rescued = pages.unhexed(load("pages")["records"]["after a rescue"])
    assert len(cbor2.loads(rescued["vote"])[1]) == 6
    assert names.Record.from_pages({}) is None
    assert names.Record.from_pages({k: v for k, v in whole.items() if k != "vote"}) is None
    assert names.Record.from_pages(whole | {"vote": b"\xff"}) is None


def test_the_pages_of_the_duty_and_of_the_learner_are_read():
    others = pages.unhexed(load("pages")["others"])
    lease = names.CountingLease("10.1.0.1")
    lease.restore(0.0, 4, names.HolderPage(*cbor2.loads(others["duty, another"])))
    assert (lease.epoch, lease.number, lease.holder) == (4, 7, "10.1.0.2")
    assert names.Learner.from_pages({"copy": others["copy"]}).copy == (12, b'{"version": "r12"}')
    assert (
        names.Learner.from_pages({}).copy
        == names.Learner.from_pages({"copy": b"\xff"}).copy
        == (0, b"")
    )


# --- folders of a real disk


def folder(name: str, tmp_path: Path) -> Path:
    return Path(shutil.copytree(FOLDERS / name, tmp_path / name))


@pytest.mark.parametrize("name", ["primary", "third", "older"])
def test_a_folder_of_before_is_opened(name, tmp_path):
    """The folders are compacted copies, made by lmdb, of those that the code wrote."""
    host = {"primary": "10.1.0.2", "third": "10.1.0.3", "older": "10.1.0.3"}[name]
    wanted = pages.unhexed(load("town")["disks"][host])
    if name == "older":
        wanted = {k: v for k, v in wanted.items() if k not in ("orders", "copy")}
    record, found = asyncio.run(pages.read_folder(folder(name, tmp_path)))
    assert found == wanted
    assert record.id == cbor2.loads(wanted["member"])[0]
    assert record.is_founder is True
    view = record.view
    assert (view.epoch, view.rescue_epoch, view.former_voters, record.promised_epoch) == (
        3,
        0,
        (),
        3,
    )
    assert view.primary.address == ("10.1.0.2", 7341) and view.backup.address == ("10.1.0.1", 7341)
    assert [m.address[0] for m in view.voters] == ["10.1.0.1", "10.1.0.2", "10.1.0.3"]
    written, version, data = cbor2.loads(wanted["configuration"])
    assert (record.written_epoch, record.version, record.data) == (written, version, data)
    assert json.loads(record.data)["version"] == f"r{version}"
    assert names.parse_configuration(record.data).version == version
    if name == "older":
        assert record.history == names.NO_ORDERS
    else:
        assert record.history.ends_with(version, names.digest(data))


@pytest.mark.parametrize("name", ["primary", "third", "older"])
def test_a_store_starts_on_a_folder_of_before(name, tmp_path):
    """It takes its record, the duty of the primary and the learner's copy from the disk."""
    record, found = asyncio.run(pages.read_folder(folder(name, tmp_path)))
    host = record.view.primary.address[0] if name == "primary" else "10.1.0.3"
    world = runs.Stores(3, ["10.1.0.1", "10.1.0.2", "10.1.0.3"])
    (machine,) = names.make_machines(
        world.network, runs.Random(1), [host], lambda host: [world.factory(host)]
    ).values()
    names.disk_pages(machine).update(found)

    async def begin():
        machine.start()
        await asyncio.sleep(0.05)
        return machine.programs[0]

    try:
        store = world.loop.run_until_complete(begin())
        assert names.store_record(store) == record
        if name == "primary":
            number, named = cbor2.loads(found["duty"])
            assert names.store_duty(store) == [3, number + 2, named]
        if name == "third":
            version, data = cbor2.loads(found["copy"])
            assert names.store_copy(store) == (version, data) and version > 0
        else:
            assert names.store_copy(store) == (0, b"")
    finally:
        world.loop.close()


# --- calls from outside, and what bad input is refused with


def test_calls_from_outside_are_answered_as_they_were():
    found, wanted = runs.outside_run(), load("outside")
    assert list(found) == list(wanted)
    for name, call in wanted.items():
        assert found[name] == call, name


def test_the_calls_from_outside_met_every_status():
    seen = {call["status"] for call in load("outside").values()}
    assert seen == {200, 400, 404, 405, 409, 413, 503}


def test_bad_configurations_are_refused_with_the_same_words():
    wanted = load("errors")["configurations"]
    found = runs.configuration_errors({name: case["input"] for name, case in wanted.items()})
    assert found == {name: case["error"] for name, case in wanted.items()} and all(found.values())


def test_bad_settings_are_refused_with_the_same_words(tmp_path):
    wanted = load("errors")["settings"]
    found = runs.settings_errors({name: case["input"] for name, case in wanted.items()}, tmp_path)
    assert found == {name: case["error"] for name, case in wanted.items()} and all(found.values())
