"""Golden tests of the programs: messages, stored pages and responses are the same to the byte.

`golden/make.py` wrote the fixtures in `golden/` with the code before its identifiers were renamed.
The digest of a simulated run covers every byte of every message in order, and is the same for every
hash seed. Nothing is masked: ids and clocks depend only on the random seeds of the runs.
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


# Earlier recordings of two runs. The cluster run was recorded again when a registry no longer
# recorded calls of limiters that had deregistered, and when a drain was acknowledged only after
# most registries, and later the limiters in reach, had its record; both runs were recorded again
# when stores named absent voters, with which registries replicate as well, and the cluster run when
# limiters stated recent departures as they open a session (CHANGELOG.md).
FORMER_CLUSTER_RUN, FORMER_OLDER_RUN = "town-former", "older-former"
# before a drain waited for limiters
SECOND_CLUSTER_RUN = "town-second"
FORMER_RUNS = (FORMER_CLUSTER_RUN, SECOND_CLUSTER_RUN, FORMER_OLDER_RUN)
RUNS = {"stores": runs.stores_run, "town": runs.cluster_run, "older": runs.older_run}


@pytest.mark.parametrize("name", [*RUNS])
def test_every_message_of_a_run_matches_the_recording(name):
    """Compares the examples first: they show a difference better than the digest does."""
    actual, expected = RUNS[name](), load(name)
    assert list(actual["exchanges"]) == list(expected["exchanges"])
    for call, examples in expected["exchanges"].items():
        assert actual["exchanges"][call] == examples, call
    assert actual.get("disks") == expected.get("disks")
    assert actual == expected


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
    recorded = {*load("stores")["exchanges"], *load("town")["exchanges"]}
    expected = {f"store {call}" for call in STORE_CALLS} | {
        f"registry {call}" for call in REGISTRY_CALLS
    }
    assert recorded == expected | {"store unheard-of"}


def test_a_large_configuration_is_fetched_compressed():
    shapes = load("town")["exchanges"]["registry fetch"]
    (example,) = (v for k, v in shapes.items() if k == "z answered version,z")
    assert len(bytes.fromhex(example["answer"])) < 2_000


@pytest.mark.parametrize("name", [*RUNS, *FORMER_RUNS])
def test_every_message_is_decoded_and_encoded_to_the_same_bytes(name):
    for call, examples in load(name)["exchanges"].items():
        for example in examples.values():
            for frame in example.values():
                (item,) = names.FrameDecoder().feed(bytes.fromhex(frame))
                assert names.encode_frame(item).hex() == frame, call


# A gossip message that also reports a leaving server: only the second recording has an example.
GOSSIP_SHAPE = ("registry tell", "ages,alive,clock,counts,crew,rows answered same,unknown")
ABSENT_VOTERS_SHAPE = (
    "store wait",
    "have,mark,within answered "
    "absent_voters,backup,conflicts,cores,duty,epoch,mark,primary,ready,version",
)
ABSENT_VOTERS_AND_DATA_SHAPE = (
    "store wait",
    "have,mark,within answered "
    "absent_voters,backup,conflicts,cores,data,duty,epoch,mark,primary,ready,version",
)
# A limiter that opens a session states the servers that left recently, if any. Where a session was
# opened after a departure, the former recordings lack that key.
SESSION_RESPONSE_SHAPE = "answered clock,cores,counter,f,fleet,h,rows,s,sure"
OFFERING_SESSION_RESPONSE_SHAPE = "answered clock,cores,counter,f,fleet,give,h,rows,s,sure"
DEPARTURES_SHAPES = {
    ("registry ask", f"c,clock,f,gone,h,name {OFFERING_SESSION_RESPONSE_SHAPE}"),
    ("registry ask", f"c,clock,f,gone,h,name {SESSION_RESPONSE_SHAPE}"),
    ("registry ask", f"c,clock,f,gone,h,name,q {SESSION_RESPONSE_SHAPE}"),
}
REPLACED_SESSION_SHAPES = {
    ("registry ask", f"c,clock,f,h,name {OFFERING_SESSION_RESPONSE_SHAPE}"),
    ("registry ask", f"c,clock,f,h,name,q {SESSION_RESPONSE_SHAPE}"),
}


@pytest.mark.parametrize(
    ("name", "former_name", "new_shapes", "missing_shapes"),
    [
        (
            "town",
            FORMER_CLUSTER_RUN,
            {ABSENT_VOTERS_SHAPE, ABSENT_VOTERS_AND_DATA_SHAPE, *DEPARTURES_SHAPES},
            REPLACED_SESSION_SHAPES,
        ),
        (
            "town",
            SECOND_CLUSTER_RUN,
            DEPARTURES_SHAPES,
            {GOSSIP_SHAPE, *REPLACED_SESSION_SHAPES},
        ),
        ("older", FORMER_OLDER_RUN, {ABSENT_VOTERS_SHAPE}, set()),
    ],
)
def test_the_former_recording_has_the_same_message_shapes_and_the_same_disks(
    name, former_name, new_shapes, missing_shapes
):
    former, current = load(former_name), load(name)
    assert ("disks" in former) == ("disks" in current) == (name == "town")
    assert former.get("disks") == current.get("disks")
    shapes = [
        {(call, shape) for call, examples in run["exchanges"].items() for shape in examples}
        for run in (former, current)
    ]
    assert shapes[1] - shapes[0] == new_shapes
    assert shapes[0] - shapes[1] == missing_shapes


def test_a_run_gives_the_same_bytes_with_other_hash_seeds():
    script = (
        "from tests.golden import runs\n"
        "print(*(run()['digest'] for run in (runs.stores_run, runs.cluster_run, runs.older_run)))"
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


def test_frames_match_the_recording_and_are_decoded():
    assert pages.frames() == load("frames")
    for name, frame in load("frames").items():
        assert items(names.FrameDecoder().feed(bytes.fromhex(frame))) == [pages.FRAMES[name]]


def test_a_frame_with_a_wrong_checksum_is_refused_after_one_with_a_checksum():
    frame = bytes.fromhex(load("frames")["a call"])
    decoder = names.FrameDecoder()
    assert items(decoder.feed(frame)) == [pages.FRAMES["a call"]]
    with pytest.raises(names.FrameError):
        list(decoder.feed(frame[:-1] + bytes([frame[-1] ^ 1])))


def test_a_frame_without_a_checksum_is_decoded_until_one_with_a_checksum():
    item = cbor2.dumps(pages.FRAMES["an answer"])
    frame, decoder = len(item).to_bytes(4, "big") + item, names.FrameDecoder()
    assert items(decoder.feed(frame)) == [pages.FRAMES["an answer"]]
    list(decoder.feed(bytes.fromhex(load("frames")["an answer"])))
    with pytest.raises(names.FrameError):
        list(decoder.feed(frame))


# --- pages on the disk


def test_pages_match_the_recording():
    assert page_fixture() == load("pages")


@pytest.mark.parametrize("name", [*pages.records()])
def test_a_record_is_decoded(name):
    recorded = pages.from_hex(load("pages")["records"][name])
    assert names.Record.from_pages(recorded) == pages.records()[name]


def test_the_older_forms_of_pages_are_decoded():
    """Releases without rescues write views of five items. Releases without a change history write
    no page for it; after a newer release they leave its page as it is, so that it no longer fits
    the configuration.
    """
    record = pages.records()["with a view"]
    current = pages.from_hex(load("pages")["records"]["with a view"])
    without_history = replace(record, history=names.EMPTY_HISTORY)
    assert len(cbor2.loads(current["vote"])[1]) == 5
    assert (
        names.Record.from_pages({k: v for k, v in current.items() if k != "orders"})
        == without_history
    )
    newer = cbor2.dumps([4, 13, b"thirteen"])
    assert names.Record.from_pages(current | {"configuration": newer}) == replace(
        without_history, version=13, data=b"thirteen"
    )
    invalid = cbor2.dumps([[9, 12], b"short"])
    assert names.Record.from_pages(current | {"orders": invalid}) == without_history
    rescued = pages.from_hex(load("pages")["records"]["after a rescue"])
    assert len(cbor2.loads(rescued["vote"])[1]) == 6
    assert names.Record.from_pages({}) is None
    assert names.Record.from_pages({k: v for k, v in current.items() if k != "vote"}) is None
    assert names.Record.from_pages(current | {"vote": b"\xff"}) is None


def test_the_pages_of_the_counting_lease_and_of_the_learner_are_decoded():
    others = pages.from_hex(load("pages")["others"])
    lease = names.CountingLease("10.1.0.1")
    lease.restore(0.0, 4, names.HolderPage(*cbor2.loads(others["duty, another"])))
    assert (lease.epoch, lease.number, lease.holder) == (4, 7, "10.1.0.2")
    assert names.Learner.from_pages({"copy": others["copy"]}).copy == (12, b'{"version": "r12"}')
    assert (
        names.Learner.from_pages({}).copy
        == names.Learner.from_pages({"copy": b"\xff"}).copy
        == (0, b"")
    )


# --- LMDB folders


def copy_folder(name: str, tmp_path: Path) -> Path:
    return Path(shutil.copytree(FOLDERS / name, tmp_path / name))


@pytest.mark.parametrize("name", ["primary", "third", "older"])
def test_an_older_folder_is_opened(name, tmp_path):
    """The folders are compacted copies that lmdb made of folders that the code wrote."""
    host = {"primary": "10.1.0.2", "third": "10.1.0.3", "older": "10.1.0.3"}[name]
    expected = pages.from_hex(load("town")["disks"][host])
    if name == "older":
        expected = {k: v for k, v in expected.items() if k not in ("orders", "copy")}
    record, found = asyncio.run(pages.read_folder(copy_folder(name, tmp_path)))
    assert found == expected
    assert record.id == cbor2.loads(expected["member"])[0]
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
    written, version, data = cbor2.loads(expected["configuration"])
    assert (record.written_epoch, record.version, record.data) == (written, version, data)
    assert json.loads(record.data)["version"] == f"r{version}"
    assert names.parse_configuration(record.data).version == version
    if name == "older":
        assert record.history == names.EMPTY_HISTORY
    else:
        assert record.history.ends_with(version, names.digest(data))


@pytest.mark.parametrize("name", ["primary", "third", "older"])
def test_a_store_starts_on_an_older_folder(name, tmp_path):
    """The store reads its record, the counting lease and the learner's copy from the disk."""
    record, found = asyncio.run(pages.read_folder(copy_folder(name, tmp_path)))
    host = record.view.primary.address[0] if name == "primary" else "10.1.0.3"
    stores = runs.StoreCluster(3, ["10.1.0.1", "10.1.0.2", "10.1.0.3"])
    (machine,) = names.make_machines(
        stores.network, runs.Random(1), [host], lambda host: [stores.factory(host)]
    ).values()
    names.disk_pages(machine).update(found)

    async def start_store():
        machine.start()
        await asyncio.sleep(0.05)
        return machine.programs[0]

    try:
        store = stores.loop.run_until_complete(start_store())
        assert names.store_record(store) == record
        if name == "primary":
            number, holder = cbor2.loads(found["duty"])
            assert names.store_counting_lease(store) == [3, number + 2, holder]
        if name == "third":
            version, data = cbor2.loads(found["copy"])
            assert names.store_copy(store) == (version, data) and version > 0
        else:
            assert names.store_copy(store) == (0, b"")
    finally:
        stores.loop.close()


# --- operator calls, and the errors of invalid input


def test_responses_to_operator_calls_match_the_recording():
    actual, expected = runs.operator_call_run(), load("outside")
    assert list(actual) == list(expected)
    for name, call in expected.items():
        assert actual[name] == call, name


def test_the_operator_calls_cover_every_status():
    statuses = {call["status"] for call in load("outside").values()}
    assert statuses == {200, 400, 404, 405, 409, 413, 503}


def test_invalid_configurations_are_refused_with_the_same_errors():
    expected = load("errors")["configurations"]
    errors = runs.configuration_errors({name: case["input"] for name, case in expected.items()})
    assert errors == {n: case["error"] for n, case in expected.items()} and all(errors.values())


def test_invalid_settings_are_refused_with_the_same_errors(tmp_path):
    expected = load("errors")["settings"]
    errors = runs.settings_errors({n: case["input"] for n, case in expected.items()}, tmp_path)
    assert errors == {n: case["error"] for n, case in expected.items()} and all(errors.values())
