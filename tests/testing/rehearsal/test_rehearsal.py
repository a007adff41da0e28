"""Rehearsals: the checker finds injected faults, and no process outlives its rehearsal."""

from __future__ import annotations

import asyncio
import gc
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
from rehearsals import EXAMPLES, TESTS, all_exited, run_and_report

from loomstand.testing.emulator import runner
from loomstand.testing.emulator import scenario as emulator_scenario
from loomstand.testing.emulator.scenario import ScenarioError, from_table
from loomstand.testing.rehearsal import report, scenario, servers
from loomstand.testing.rehearsal.runner import (
    ManagedProcess,
    RehearsalError,
    RehearsalRunner,
    run_rehearsal,
    started_pids,
)
from loomstand.testing.rehearsal.scenario import Rehearsal
from loomstand.testing.rehearsal.wire import free_port, own_host

BOOK = {"name": "book", "effect": "side_effect", "work_ms": 60, "client_timeout_ms": 600}


def small(**over) -> Rehearsal:
    """A scenario of a few seconds with two limiters and three servers."""
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
            # the server is down for longer than limiters go on using a server that they found
            # dead; after its restart it is cold until the end of the run
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
def test_an_injected_fault_is_reported_as_a_break_of_its_rule(fault, tmp_path):
    rule, over = FAULTS[fault]
    program = (sys.executable, str(TESTS / "faulty.py"), fault)
    good = run_and_report(small(**over), tmp_path / "good")
    bad = run_and_report(small(**over), tmp_path / "bad", program=program)
    named = [b for b in bad["breaks"] if b["rule"] == rule]
    assert good["held"], good["breaks"]
    assert named and not report.passed(bad)
    # rules 4 and 5 concern a server or a customer, not a request
    assert all((b["limiter"] >= 0 and b["req"] > 0) or rule > 3 for b in named)


def test_the_fault_of_cold_servers_is_reported_in_simulated_time_for_every_seed(monkeypatch):
    """Runs the same fleet in simulated time, where the speed of the machine does not matter; one of
    the three servers crashes.
    """
    usual = to_builtins(small(**FAULTS["cold"][1]))
    emulator_fleet = {key: usual["fleet"][key] for key in emulator_scenario.Fleet.__struct_fields__}
    fronts = [
        {key: f[key] for key in emulator_scenario.Frontend.__struct_fields__}
        for f in usual["frontends"]
    ]
    plans = [
        {key: p[key] for key in emulator_scenario.Plan.__struct_fields__} for p in usual["plans"]
    ]
    crash = {"at": 0.5, "kind": "crash_servers", "share": 0.34, "for_s": 2.5}
    table = {
        "name": "cold",
        "seconds": usual["seconds"],
        "fleet": emulator_fleet,
        "frontends": fronts,
        "plans": plans,
        "faults": [crash],
    }
    simulated = from_table(table, emulator_scenario.Scenario)

    def broken_rules() -> list[set[int]]:
        return [
            {b.rule for b in runner.run_policy(simulated, "brain", seed).verdict.violations}
            for seed in range(1, 16)
        ]

    assert broken_rules() == [set()] * 15
    faulty.inject_fault("cold", monkeypatch.setattr)
    assert broken_rules() == [{4}] * 15


def test_a_cold_server_starts_to_warm_up_when_it_listens(monkeypatch, tmp_path):
    """When its age was counted from before the start of its process, a slow start of Python made it
    warm before the first request could arrive.
    """
    now = [100.0]
    monkeypatch.setattr(servers.time, "time", lambda: now[0])
    host, rehearsal = own_host(7), small(fleet={"cold_from": 0.25})
    config = {
        "rehearsal": to_builtins(rehearsal),
        "host": host,
        "seed": 1,
        "trail": str(tmp_path / "x"),
        "servers": [{"index": 1, "port": free_port(host), "cold": True}],
    }

    async def run():
        group = servers.ServerGroup(config)
        now[0] = 103.0  # after its creation, before it listens
        assert await group.servers[1].listen(cold=True) == 103.0
        assert group.servers[1].warmth() == 0.25
        group.servers[1].listener.close()

    asyncio.run(run())


@pytest.mark.parametrize("planned", [True, False])
def test_a_limiter_that_exits_before_it_is_ready_is_a_fault_only_if_its_exit_was_not_planned(
    planned, tmp_path
):
    """On a loaded machine the kill of the timeline came before the limiter was ready, which ended
    the rehearsal with an error.
    """
    rehearsal = RehearsalRunner(small(), 1, tmp_path)
    process = SimpleNamespace(returncode=-signal.SIGKILL)
    rehearsal.processes["l0"] = ManagedProcess("l0", ["l0"], lambda: None, process, planned)
    with (
        nullcontext()
        if planned
        else pytest.raises(RehearsalError, match="l0 ended before it was ready")
    ):
        asyncio.run(rehearsal.wait_ready(0, 5.0))


@pytest.mark.parametrize("child", ["counter", "links"])
def test_the_unexpected_exit_of_a_child_stops_all_processes(child, tmp_path):
    """Its error is raised and no other is left behind: one that is logged when it is collected ends
    pytest if that happens while a module is compiled.
    """
    left_behind = []

    async def run():
        asyncio.get_running_loop().set_exception_handler(
            lambda _loop, context: left_behind.append(context)
        )
        rehearsal = asyncio.create_task(run_rehearsal(small(seconds=20), 1, tmp_path))
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
        await rehearsal

    with pytest.raises(RehearsalError, match=f"{child} died unplanned"):
        asyncio.run(run())
    assert all_exited(tmp_path)
    gc.collect()
    assert left_behind == []


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
        # a background job inherits SIGINT as ignored
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_DFL),
    )
    rows = tmp_path / "trail" / "stage.jsonl"
    while not rows.exists() or "began" not in rows.read_text():
        assert run.poll() is None
        time.sleep(0.05)
    if sig == signal.SIGTERM:  # a stopped limiter must exit as well
        os.kill(started_pids(tmp_path)[-1], signal.SIGSTOP)
    run.send_signal(sig)
    assert run.wait(10) != 0
    assert all_exited(tmp_path)


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


def test_a_link_releases_a_connection_that_both_ends_have_closed(tmp_path):
    """With 200 limiters, each closed connection leaked two descriptors; after 34 s the links
    forwarded nothing any more.
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
            if not link.ends:
                return
            await asyncio.sleep(0.02)
        raise AssertionError(len(link.ends))

    asyncio.run(run())


def test_the_examples_are_valid_with_and_without_quick():
    for path in EXAMPLES.glob("*.toml"):
        for quick in (False, True):
            scenario.load(str(path), quick)
