"""Rehearsals on processes: what a checker must find is found, and no process outlives its
rehearsal.
"""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import time
from contextlib import nullcontext
from types import SimpleNamespace

import faulty
import pytest
from msgspec import to_builtins
from rehearsals import EXAMPLES, TESTS, gone, played

from loomstand.testing.emulator import runner
from loomstand.testing.emulator import scenario as lab
from loomstand.testing.emulator.scenario import ScenarioError, from_table
from loomstand.testing.rehearsal import report, scenario, servers
from loomstand.testing.rehearsal.scenario import Rehearsal
from loomstand.testing.rehearsal.stage import Proc, Stage, StageError, pids, stage
from loomstand.testing.rehearsal.wire import free_port, own_host

BOOK = {"name": "book", "effect": "side_effect", "work_ms": 60, "client_timeout_ms": 600}


def small(**over) -> Rehearsal:
    """Some seconds on two limiters and three servers."""
    table = {
        "name": "small",
        "seconds": 3,
        "fleet": {"limiters": 2, "servers": 3, "zones": ["a", "b"], "try_limit": 3, "cold_s": 2.0},
        "load": {"notice_s": 0.5},
        "frontends": [{"name": "look", "work_ms": 60, "client_timeout_ms": 600}, BOOK],
        "plans": [{"name": "basic", "rate": 10, "burst": 20, "customers": 10, "demand": 0.8}],
    }
    for key, value in over.items():
        table[key] = {**table[key], **value} if isinstance(table.get(key), dict) else value
    return from_table(table, Rehearsal)


FAULTS = {
    "answers": (1, {}),
    "twice": (
        2,
        {"faults": [{"at": 1, "do": "fail", "who": ["servers"], "for_s": 1, "share": 0.5}]},
    ),
    "drain": (3, {"faults": [{"at": 0.5, "do": "list", "who": ["s1"], "phase": "leaving"}]}),
    "cold": (
        4,
        {
            # down for longer than limiters use whom they found dead, then cold for longer than the
            # run
            "seconds": 5,
            "fleet": {
                "apart": True,
                "fall_multiple": 1.0,
                "cold_from": 0.05,
                "capacity": 2,
                "cold_s": 10.0,
            },
            "faults": [{"at": 0.5, "do": "kill", "who": ["s1"], "for_s": 2.5}],
        },
    ),
    "ceiling": (
        5,
        {
            "fleet": {"zones": ["a"]},
            "plans": [
                {
                    "name": "top",
                    "rate": 40,
                    "burst": 40,
                    "customers": 2,
                    "demand": 1.0,
                    "ceiling_rate": 8.0,
                    "ceiling_depth": 8.0,
                    "ceiling_slack": 1.0,
                }
            ],
        },
    ),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_a_fault_put_in_on_purpose_is_named(fault, tmp_path):
    rule, over = FAULTS[fault]
    program = (sys.executable, str(TESTS / "faulty.py"), fault)
    good = played(small(**over), tmp_path / "good")
    bad = played(small(**over), tmp_path / "bad", program=program)
    named = [b for b in bad["breaks"] if b["rule"] == rule]
    assert good["held"], good["breaks"]
    assert named and not report.passed(bad)
    # a server's, a customer's
    assert all((b["limiter"] >= 0 and b["req"] > 0) or rule > 3 for b in named)


def test_the_fault_of_cold_servers_is_named_on_a_clock_of_its_own_at_every_seed(monkeypatch):
    """The same fleet in simulated time, where no machine's speed counts; one of the three servers
    is lost.
    """
    usual = to_builtins(small(**FAULTS["cold"][1]))
    lab_fleet = {key: usual["fleet"][key] for key in lab.Fleet.__struct_fields__}
    fronts = [{key: f[key] for key in lab.Frontend.__struct_fields__} for f in usual["frontends"]]
    plans = [{key: p[key] for key in lab.Plan.__struct_fields__} for p in usual["plans"]]
    crash = {"at": 0.5, "kind": "crash_servers", "share": 0.34, "for_s": 2.5}
    table = {
        "name": "cold",
        "seconds": usual["seconds"],
        "fleet": lab_fleet,
        "frontends": fronts,
        "plans": plans,
        "faults": [crash],
    }
    told = from_table(table, lab.Scenario)

    def broken() -> list[set[int]]:
        return [
            {b.rule for b in runner.run_policy(told, "brain", seed).verdict.violations}
            for seed in range(1, 16)
        ]

    assert broken() == [set()] * 15
    faulty.put_in("cold", monkeypatch.setattr)
    assert broken() == [{4}] * 15


def test_a_cold_server_is_as_old_as_its_listening(monkeypatch, tmp_path):
    """Counted from before its process, a slow start of Python warmed it before the first req could
    come.
    """
    now = [100.0]
    monkeypatch.setattr(servers.time, "time", lambda: now[0])
    host, told = own_host(7), small(fleet={"cold_from": 0.25})
    config = {
        "rehearsal": to_builtins(told),
        "host": host,
        "seed": 1,
        "trail": str(tmp_path / "x"),
        "servers": [{"index": 1, "port": free_port(host), "cold": True}],
    }

    async def run():
        play = servers.Play(config)
        now[0] = 103.0  # between its making and its listening
        assert await play.servers[1].listen(cold=True) == 103.0
        assert play.servers[1].warmth() == 0.25
        play.servers[1].listener.close()

    asyncio.run(run())


@pytest.mark.parametrize("planned", [True, False])
def test_a_limiter_that_ends_before_it_is_ready_is_a_fault_only_where_nobody_asked_for_it(
    planned, tmp_path
):
    """On a busy machine the timeline's kill came before the limiter was ready, and ended the
    rehearsal.
    """
    held = Stage(small(), 1, tmp_path)
    life = SimpleNamespace(returncode=-signal.SIGKILL)
    held.procs["l0"] = Proc("l0", ["l0"], lambda: None, life, planned)
    with (
        nullcontext()
        if planned
        else pytest.raises(StageError, match="l0 ended before it was ready")
    ):
        asyncio.run(held.ready(0, 5.0))


@pytest.mark.parametrize("child", ["counter", "links"])
def test_the_death_of_a_child_ends_all(child, tmp_path):
    async def run():
        going = asyncio.create_task(stage(small(seconds=20), 1, tmp_path))
        while (
            not (tmp_path / "trail" / "driver0.jsonl").exists()
            or "began" not in (tmp_path / "trail" / "stage.jsonl").read_text()
        ):
            await asyncio.sleep(0.02)
        pid = next(
            int(line.split(",")[3].rstrip("]"))
            for line in (tmp_path / "trail" / "stage.jsonl").read_text().splitlines()
            if f'"{child}"' in line
        )
        os.kill(pid, signal.SIGKILL)
        await going

    with pytest.raises(StageError, match=f"{child} died unplanned"):
        asyncio.run(run())
    assert gone(tmp_path)


@pytest.mark.parametrize("sig", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_no_process_outlives_a_rehearsal_that_is_stopped(sig, tmp_path):
    command = [
        sys.executable,
        "-m",
        "loomstand",
        "rehearse",
        str(EXAMPLES / "site-loss.toml"),
        "--quick",
    ]
    run = subprocess.Popen(
        [*command, "--out", str(tmp_path)],
        cwd=TESTS.parent,
        stderr=subprocess.DEVNULL,
        # a background job ignores it
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_DFL),
    )
    rows = tmp_path / "trail" / "stage.jsonl"
    while not rows.exists() or "began" not in rows.read_text():
        assert run.poll() is None
        time.sleep(0.05)
    if sig == signal.SIGTERM:  # a stopped limiter is ended as well
        os.kill(pids(tmp_path)[-1], signal.SIGSTOP)
    run.send_signal(sig)
    assert run.wait(10) != 0
    assert gone(tmp_path)


@pytest.mark.parametrize(
    "over, key",
    [
        ({"faults": [{"at": 1, "do": "kill", "who": ["l7"]}]}, r"faults\[0\].who"),
        ({"faults": [{"at": 1, "do": "kill", "who": ["s0"]}]}, r"faults\[0\].who.*apart"),
        ({"faults": [{"at": 1, "do": "cut"}]}, r"faults\[0\].who"),
        ({"faults": [{"at": 1, "do": "flood", "plan": "no"}]}, r"faults\[0\].plan"),
        ({"bounds": [{"what": "worth"}]}, r"bounds\[0\]"),
        ({"bounds": [{"what": "worth", "at_least": 1, "frontend": "no"}]}, r"bounds\[0\].frontend"),
        ({"faults": [{"at": 1, "do": "stop", "who": ["s0"], "once": "told"}]}, r"faults\[0\].once"),
        ({"fleet": {"limitres": 3}}, r"fleet.limitres"),
        ({"load": {"drivers": 0}}, r"load.drivers"),
    ],
)
def test_a_faulty_scenario_names_its_key(over, key):
    with pytest.raises(ScenarioError, match=key):
        small(**over)


def test_a_link_holds_no_connection_that_both_ends_have_closed(tmp_path):
    """Found by 200 limiters: two descriptors a closed connection, and after 34 s nothing passed any
    more.
    """
    from loomstand.testing.rehearsal.links import Link

    async def run():
        async def serve(reader, writer):
            writer.write(await reader.read(1))
            writer.close()

        host = own_host(8)
        far = await asyncio.start_server(serve, host, 0)
        link = Link(
            {"name": "x", "port": free_port(host), "to": far.sockets[0].getsockname()[:2]}, host
        )
        await link.listen()
        for _ in range(20):
            reader, writer = await asyncio.open_connection(host, link.port)
            writer.write(b"x")
            assert await reader.read() == b"x"
            writer.close()
        for _ in range(100):
            if not link.sides:
                return
            await asyncio.sleep(0.02)
        raise AssertionError(len(link.sides))

    asyncio.run(run())


def test_the_examples_are_sound_in_both_forms():
    for path in EXAMPLES.glob("*.toml"):
        for quick in (False, True):
            scenario.load(str(path), quick)
