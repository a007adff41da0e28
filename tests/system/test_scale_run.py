"""Tests of the scale benchmark at a small size on loopback sockets.

They check what it measures, which sizes it refuses, and that no process is left. The tests at the
end cover costs of the registry that the benchmark found.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import threading
from pathlib import Path
from random import Random

import psutil
import pytest

from benchmarks import scale_fit, scale_measure, scale_run
from benchmarks.scale_cluster import Cluster, Limits, Size, SizeLimitError, need
from benchmarks.scale_measure import measure
from loomstand.limiter.endings import Ending
from loomstand.registry.limiters import LimiterTable
from loomstand.rpc.operator_http import OperatorHttpServer

SMALL_SIZE = Size(limiters=4, servers=5, routes=3, tenants=3, counts=5.0, cores=1, proxies=1)
ROOT = Path(__file__).parents[2]


def remaining_processes(pids: list[int]) -> list[int]:
    """Returns the processes of a run that still run, without pids that the system has reused."""
    return [pid for pid in pids if psutil.pid_exists(pid) and "benchmarks.scale" in command(pid)]


def command(pid: int) -> str:
    try:
        return " ".join(psutil.Process(pid).cmdline())
    except psutil.Error:
        return ""


def test_a_small_size_is_measured_and_all_processes_end(monkeypatch: pytest.MonkeyPatch) -> None:
    # the test checks no costs, so a short settling time is enough
    monkeypatch.setattr(scale_measure, "SETTLING_SECONDS", 0.2)
    pids: list[int] = []
    found = asyncio.run(
        measure(SMALL_SIZE, Limits.of_machine(), 0.5, events=False, pids=pids, rates=(20.0,))
    )
    assert "failed" not in found
    assert (
        found["limiters start"]["n"] == 4 and found["processes"] <= found["need"]["processes"] + 2
    )
    # the real programs and the hollow limiters and servers exchange messages
    rest, counting = found["rest"], found["counting"]
    assert (
        rest["counter"]["ops"]["ask"] > 4
        and rest["counter"]["ops"]["outside"] > 1
        and rest["beats"] > 1
    )
    assert rest["limiter"]["calls"]["ask"] > 1 and counting["counter"]["ops"]["count"] > 5
    assert counting["times"]["n"] > 2 and not counting["limiter"]["failed"]
    assert rest["proxy"]["resident_mb"] > 10
    counter_costs = [rest["counter"], counting["counter"]]
    assert all(cost["user_ms"] + cost["kernel_ms"] > 0 for cost in counter_costs)
    # The kernel divides a process's time into user and system time by sampling at its tick, so that
    # the user time of one process and window may be 0.
    proxy_costs = [rest["proxy"], counting["proxy"]]
    assert sum(cost["user_ms"] for cost in [*counter_costs, *proxy_costs]) > 0
    assert found["requests"][0]["statuses"] == {"200": found["requests"][0]["through"]["n"]}
    assert len(pids) == len(set(pids)) >= 6 and not remaining_processes(pids)


@pytest.mark.parametrize(
    ("limits", "named"),
    [
        (
            Limits(processes=3, memory_mb=9e9, descriptors=99_999),
            "processes: 5 needed, 3 is the limit",
        ),
        (Limits(memory_mb=100.0, descriptors=99_999), "memory, MB"),
        (Limits(memory_mb=9e9, descriptors=60), "descriptors of one process"),
    ],
)
def test_a_size_beyond_a_limit_starts_no_process_and_names_the_limit(
    limits: Limits, named: str
) -> None:
    pids: list[int] = []
    with pytest.raises(SizeLimitError, match=named):
        asyncio.run(measure(SMALL_SIZE, limits, 0.5, pids=pids))
    assert not pids


def test_the_command_refuses_a_size_and_prints_what_it_needs(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert scale_run.main(["--sweep", "limiters=10,3000", "--memory", "200", "--need"]) == 2
    output = capsys.readouterr().out
    assert "refused: memory, MB" in output and f"{need(Size(limiters=3000)).descriptors}" in output
    assert scale_run.main(["--sweep", "limiters=10", "--need"]) == 0
    assert scale_run.main(["--sweep", "servers=0"]) == 2
    half = psutil.virtual_memory().total / 2e6
    assert (
        Limits.of_machine(1e9).memory_mb == pytest.approx(half)
        and Limits.of_machine(7.0).memory_mb == 7.0
    )


@pytest.mark.parametrize("cause", ["a fault", "memory that grows beyond the limit"])
def test_a_run_that_ends_early_ends_all_its_processes(
    cause: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def fails(cluster: Cluster, within: float) -> None:
        running = cluster.processes.running()
        assert len(running) == 2 and all(psutil.pid_exists(child.process.pid) for child in running)
        if cause == "a fault":
            raise OSError("injected fault")
        cluster.processes.limits = Limits(9, 1.0, 9)
        cluster.processes.memory()

    pids: list[int] = []
    monkeypatch.setattr(Cluster, "replace", fails)
    run = measure(SMALL_SIZE, Limits.of_machine(), 0.2, pids=pids)
    if cause == "a fault":
        found = asyncio.run(run)
        assert found["failed"] == "OSError: injected fault" and found["size"]["limiters"] == 4
    else:
        with pytest.raises(SizeLimitError, match=r"memory, MB: .* in use, 1 is the limit"):
            asyncio.run(run)
    assert len(pids) == 2 and not remaining_processes(pids)


def test_sigint_ends_all_processes() -> None:
    sizes = [
        "--sweep",
        "limiters=3",
        "--base",
        "servers=3",
        "--cores",
        "1",
        "--proxies",
        "0",
        "--seconds",
        "60",
    ]
    environment = os.environ | {
        "PYTHONPATH": os.pathsep.join([str(ROOT), os.environ.get("PYTHONPATH", "")])
    }
    run = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.scale_run", *sizes],
        cwd=ROOT,
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    timeout = threading.Timer(20.0, run.kill)  # fails the test
    timeout.start()
    try:
        children: list[int] = []
        while run.poll() is None and len(children) < 3:  # a store, a registry, servers
            children = [child.pid for child in psutil.Process(run.pid).children()]
        run.send_signal(signal.SIGINT)
        output, _ = run.communicate()
    finally:
        timeout.cancel()
        run.kill()
    assert run.returncode == 130 and "all that was started has ended" in output
    assert len(children) >= 3 and not remaining_processes(children)


def test_fitted_lines_show_a_bend(tmp_path: Path) -> None:
    straight = scale_fit.fit("a", "limiters", [(n, 3 + 0.5 * n) for n in (30, 100, 300)])
    assert straight is not None and straight.slope == pytest.approx(0.5) and straight.off < 1e-6
    bent = scale_fit.fit("a", "limiters", [(n, n * n) for n in (30, 100, 300)])
    assert bent is not None and bent.bend > 3 and bent.off > 0.3
    assert scale_fit.fit("a", "limiters", [(30, 1.0)]) is None
    points = [
        {"size": {"servers": n}, "rest": {"registry": {"resident_mb": 30 + n}}} for n in (10, 20)
    ]
    file = tmp_path / "run.json"
    file.write_text(json.dumps({"machine": {}, "sweeps": {"servers": points}}))
    found = scale_fit.slopes(scale_run.read([file])["sweeps"])
    assert [(one.name, round(one.slope, 6)) for one in found] == [("registry, MB", 1.0)]


def test_operator_connections_may_use_half_of_the_sockets() -> None:
    """Heartbeats arrive on kept connections, and the one idle longest is the next to be used.

    Closing idle connections below this limit would close connections that are about to be used.
    """

    class OperatorConnection:
        is_closable, is_surplus, stopped = True, False, False

        def __init__(self) -> None:
            self.channel = self

        def stop(self, why: Ending) -> None:
            self.stopped = True

    async def closed(count: int) -> list[int]:
        server = OperatorHttpServer(lambda *_: None, None, 1 << 20, 600, 4096)
        connections = [OperatorConnection() for _ in range(count)]
        for connection in connections:
            server.listener.add(connection)
        return [n for n, connection in enumerate(connections) if connection.stopped]

    assert asyncio.run(closed(300)) == [] and asyncio.run(closed(301)) == [0]


def test_limiters_are_checked_for_expiry_only_when_one_can_expire() -> None:
    """The table equals, at each step, a table that checks all limiters at every call."""

    class CheckingTable(LimiterTable):
        def record_call(self, name: str, now: float) -> None:
            self.last_call_at[name] = self.last_contact_at[name] = now
            self.expire(now)

    rng, expiries = Random(5), 0
    for _ in range(40):
        table, reference, now, names = (
            LimiterTable(),
            CheckingTable(),
            0.0,
            [f"f-{n}" for n in range(rng.randint(1, 9))],
        )
        for _ in range(300):
            now += rng.expovariate(rng.choice((1.0, 8.0, 30.0)))
            name, draw = rng.choice(names[: rng.randint(1, len(names))]), rng.random()
            contact_at, silent_before = now - rng.uniform(0.0, 3.0), len(table.silent)
            for each in (table, reference):
                if draw < 0.8:
                    each.record_call(name, now)
                elif draw < 0.9:
                    each.record_report(name, contact_at, now)
                elif draw < 0.95:
                    each.deregister(name, now)
                else:
                    each.expire(now)
            expiries += len(table.silent) > silent_before
            assert (table.present, table.silent, table.ranks, table.revision) == (
                reference.present,
                reference.silent,
                reference.ranks,
                reference.revision,
            )
    assert expiries > 100
    # a limiter that other registries report expires later than one that calls this registry
    table = LimiterTable()
    table.record_report("a", 0.0, 0.0)
    table.record_report("b", 0.0, 0.0)
    table.record_call("a", 0.1)
    table.record_call("b", 1.5)
    assert (table.present, table.silent) == (("b",), ("a",))


def test_a_call_of_a_limiter_does_not_check_all_others(monkeypatch: pytest.MonkeyPatch) -> None:
    table, checks = LimiterTable(), 0
    for n in range(300):
        table.record_call(f"f-{n}", 0.6 * n / 300)
    expire = LimiterTable.expire

    def counted_expire(table: LimiterTable, now: float) -> None:
        nonlocal checks
        checks += 1
        expire(table, now)

    monkeypatch.setattr(LimiterTable, "expire", counted_expire)
    for step in range(300 * 20):  # 12 s in which each limiter calls every 0.6 s
        table.record_call(f"f-{step % 300}", 0.6 + 0.6 * step / 300)
    assert len(table.present) == 300 and checks <= 30
