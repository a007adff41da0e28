"""Starts all processes of a rehearsal, applies its timeline of faults, and stops the processes.

No process is left over, whatever ends the rehearsal: its normal end, Ctrl-C, a child that exits
unexpectedly, or the death of this process. Children exit at the end of their standard input,
limiters receive SIGKILL when their parent dies (prctl, which also reaches a stopped process), and
`close` waits for each process.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import random
import signal
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from loomstand.testing.emulator import scenario as emulator_scenario
from loomstand.testing.rehearsal import wire
from loomstand.testing.rehearsal.child import EventLog
from loomstand.testing.rehearsal.scenario import SHARED, Fault, Rehearsal, nodes, zone_of

# the largest rehearsals take about 10 s to start
START_TIMEOUT_SECONDS = 30.0
# from SIGTERM to a limiter's exit: the longest client timeout plus the margin of PROTOCOL
STOP_TIMEOUT_SECONDS = 4.0
PR_SET_PDEATHSIG = 1
# One relay for each ordered pair, 552 for this number. In larger fleets peers send to each other
# directly.
MAX_RELAYED_LIMITERS = 24
ROOT = Path(__file__).parents[3]  # of the repository
# for all processes: without PROXY_ variables, which would override a limiter's configuration file
ENVIRONMENT = {k: v for k, v in os.environ.items() if not k.startswith("PROXY_")} | {
    "PYTHONPATH": str(ROOT)
}
# command of the limiter under test; `--config FILE` is appended
LIMITER = (sys.executable, "-m", "loomstand", "serve")
LIBC = ctypes.CDLL(None, use_errno=True)


class RehearsalError(RuntimeError):
    """A process did not start, exited unexpectedly or missed a deadline; the text names it."""


def die_with_parent() -> None:
    """Makes the kernel send SIGKILL when the parent dies; runs in the child before exec."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


@dataclass(slots=True, eq=False)
class ManagedProcess:
    """One process of the rehearsal, across its restarts."""

    name: str
    nodes: list[str]
    start: Callable[[], object]  # coroutine function that starts the process
    process: asyncio.subprocess.Process | None = None
    planned: bool = False  # whether the rehearsal requested its exit
    # set when a driver reports the end of its load
    done: asyncio.Event = field(default_factory=asyncio.Event)
    # set at the first start
    started: asyncio.Event = field(default_factory=asyncio.Event)
    # set when discovery reports that it has sent a list to this limiter
    received_list: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def alive(self) -> bool:
        """Whether the process has started and not exited."""
        return self.process is not None and self.process.returncode is None

    def send_command(self, **command: object) -> None:
        """Writes a command to the standard input of a child."""
        if self.alive and self.process.stdin is not None:
            with contextlib.suppress(OSError):
                self.process.stdin.write(msgspec.json.encode(command) + b"\n")

    def signal(self, sig: int) -> None:
        """Sends a signal to the process if it runs."""
        if self.alive:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(sig)


async def wait_until_done(drivers: list[ManagedProcess]) -> None:
    """Waits until each driver has reported the end of its load."""
    for driver in drivers:
        await driver.done.wait()


class RehearsalRunner:
    """The processes of one rehearsal, whose nodes are limiters `l0`, `l1`, ..., servers `s0`, ...,
    the counter, discovery and the clients of each zone. Event logs, log output and configurations
    are written to the folder `out`.
    """

    created = 0  # number of instances in this process

    def __init__(
        self,
        rehearsal: Rehearsal,
        seed: int,
        out: Path,
        plan: bytes = b"",
        program: tuple[str, ...] = LIMITER,
    ) -> None:
        self.rehearsal, self.seed, self.out, self.plan, self.program = (
            rehearsal,
            seed,
            out,
            plan,
            program,
        )
        RehearsalRunner.created += 1
        # differs from the addresses of other rehearsals in this process
        self.host = wire.own_host(9 + RehearsalRunner.created % 240)
        self.events_folder = out / "trail"
        self.events_folder.mkdir(parents=True, exist_ok=True)
        self.record = EventLog(str(self.events_folder / "stage.jsonl"))
        fleet = rehearsal.fleet
        self.limiters = nodes(fleet, "limiters")
        self.processes: dict[str, ManagedProcess] = {}
        self.paths: dict[tuple[str, str], str] = {}  # name of the link by (from, to)
        self.start_counts: dict[str, int] = {}  # starts of each limiter so far
        # by server: Unix s at which it began to listen; 0 if it was warm from the start
        self.server_started_at = [0.0] * fleet.servers
        self.starts_cold = [fleet.cold] * fleet.servers  # by server, for its next start
        self.began = 0.0  # Unix s of the first traffic
        self.failed: asyncio.Future[None] | None = None
        self.active_cuts: list[Fault] = []  # faults `cut` and `vanish` in force now
        # indices of faults whose condition `once` has not been met yet
        self.awaited = {n for n, fault in enumerate(rehearsal.faults) if fault.once}
        self.tasks: set[asyncio.Task] = set()
        self.allocate_ports()

    # ports and addresses

    def allocate_ports(self) -> None:
        """Finds free ports for all listeners and for the link of each path between two nodes."""
        f = self.rehearsal.fleet
        limiters, servers = range(f.limiters), range(f.servers)
        callers = [SHARED] if f.shared else [f"l{n}" for n in limiters]
        pairs = [(caller, f"s{m}") for caller in callers for m in servers]
        pairs += [(f"l{n}", core) for n in limiters for core in ("counter", "discovery")]
        pairs += [(f"clients:{z}", f"l{n}") for z in f.zones for n in limiters]
        ends = [f"l{n}" for n in limiters] + [f"s{m}" for m in servers]
        ends += [f"{core}{n}" for core in ("counter", "discovery") for n in limiters]
        ports = wire.free_ports(self.host, len(pairs) + len(ends))
        self.listen_ports = dict(zip(ends, ports, strict=False))
        self.link_ports = dict(zip(pairs, ports[len(ends) :], strict=True))
        self.link_ports |= {
            (f"l{n}", f"s{m}"): self.link_ports[SHARED, f"s{m}"]
            for n in limiters
            for m in servers
            if f.shared
        }
        # a relay for each ordered pair of peers, unless the fleet would need too many
        self.relays = [(f"l{n}", f"l{m}") for n in limiters for m in limiters if n != m and f.peers]
        if f.limiters > MAX_RELAYED_LIMITERS:
            self.relays = []
        peer_ports = wire.free_ports(self.host, len(self.relays) + f.limiters * f.peers)
        self.link_ports |= dict(zip(self.relays, peer_ports, strict=False))
        self.peer_ports = peer_ports[len(self.relays) :]
        self.paths = {pair: f"{pair[0]}>{pair[1]}" for pair in [*pairs, *self.relays]}

    def target_port(self, pair: tuple[str, str]) -> int:
        """The port to which the link of a path forwards."""
        return self.listen_ports[
            pair[1] + (pair[0][1:] if pair[1] in ("counter", "discovery") else "")
        ]

    def member(self, server: int) -> dict[str, object]:
        """The server's entry in the list of discovery."""
        f = self.rehearsal.fleet
        up = round(self.server_started_at[server] * 1000)
        zone = f.zones[zone_of(f, f"s{server}")]
        return {"id": f"s{server}", "locality": zone, "phase": "active", "up_since_ms": up}

    def address(self, *pair: str) -> str:
        """Returns the address of the link of a path, as HOST:PORT."""
        return f"{self.host}:{self.link_ports[pair]}"

    # starting

    async def spawn_process(
        self, name: str, command: list[str], **options: object
    ) -> asyncio.subprocess.Process:
        """Starts a process in a new session; its standard error goes to a file in `log`."""
        folder = self.out / "log"
        folder.mkdir(exist_ok=True)
        with open(folder / name.replace(":", "-"), "ab") as log:
            return await asyncio.create_subprocess_exec(
                *command, stderr=log, start_new_session=True, cwd=ROOT, env=ENVIRONMENT, **options
            )

    async def start_child(
        self, role: str, name: str, nodes_: list[str], config: Callable[[], dict]
    ) -> None:
        """Starts a stand-in, the links or a driver.

        Args:
            role: Its role in `child.ROLES`.
            name: Name of the process.
            nodes_: The nodes that the process runs.
            config: Returns its configuration; called at each start.
        """
        command, pipe = (
            [sys.executable, "-m", "loomstand.testing.rehearsal.child", role],
            asyncio.subprocess.PIPE,
        )

        async def start() -> asyncio.subprocess.Process:
            process = await self.spawn_process(
                name, command, stdin=pipe, stdout=pipe, limit=1 << 24
            )
            options = {"host": self.host, "seed": f"{self.seed}-{name}", **config()}
            options["trail"] = str(self.events_folder / f"{name.replace(':', '-')}.jsonl")
            process.stdin.write(msgspec.json.encode(options) + b"\n")
            async with asyncio.timeout(START_TIMEOUT_SECONDS):
                line = await process.stdout.readline()
            if b"ready" not in line:
                raise RehearsalError(f"{name} did not start; see {self.out / 'log' / name}")
            for m, at in msgspec.json.decode(line)["booted"].items():
                self.server_started_at[int(m)] = at
            return process

        await self.start_process(ManagedProcess(name, nodes_, start))

    async def start_limiter(self, n: int) -> None:
        """Starts a limiter with its configuration file."""
        name, null = f"l{n}", asyncio.subprocess.DEVNULL

        async def start() -> asyncio.subprocess.Process:
            command = [*self.program, "--config", str(self.write_limiter_config(n))]
            return await self.spawn_process(
                name, command, stdin=null, stdout=null, preexec_fn=die_with_parent
            )

        await self.start_process(ManagedProcess(name, [name], start))

    def write_limiter_config(self, n: int) -> Path:
        """Writes the configuration file for a start of a limiter and returns its path."""
        rehearsal, f, name = self.rehearsal, self.rehearsal.fleet, f"l{n}"
        conf = msgspec.to_builtins(
            emulator_scenario.limiter_settings(rehearsal, n, zone_of(f, name))
        )
        conf["allowed"]["connect_timeout"] = f.connect_timeout_ms
        known_members = [
            {**self.member(m), "host_port": self.address(name, f"s{m}")} for m in range(f.servers)
        ]
        self.start_counts[name] = self.start_counts.get(name, 0) + 1
        limiter_rng = random.Random(f"{self.seed}-{name}-{self.start_counts[name]}")
        config = {
            "name": name,
            "listen": f"{self.host}:{self.listen_ports[name]}",
            "discovery": self.address(name, "discovery"),
            "counter": self.address(name, "counter"),
            "seed": f"{limiter_rng.getrandbits(48):x}",
            "limits": {"sockets": f.sockets},
            "known": {"revision": 1, "complete": True, "members": known_members}
            if rehearsal.known
            else {},
            "settings": conf,
        }
        if f.peers:
            config["peer"] = f"{self.host}:{self.peer_ports[n]}"
            other_limiters = [m for m in range(f.limiters) if m != n]
            config["peers"] = [
                self.address(name, f"l{m}") if self.relays else f"{self.host}:{self.peer_ports[m]}"
                for m in other_limiters
            ]
        if self.plan:
            plan_path = self.out / "plan.toml"
            if not plan_path.exists():
                plan_path.write_bytes(self.plan)
            config["plan"] = str(plan_path)
        path = self.out / f"{name}.json"
        path.write_text(json.dumps(config))
        return path

    async def start_process(self, proc: ManagedProcess) -> None:
        """Registers a process and starts it."""
        self.processes[proc.name] = proc
        await self.launch(proc)

    async def launch(self, proc: ManagedProcess) -> None:
        """Starts a process and a task that detects its unexpected exit."""
        # taken before the start: while many processes start, the event loop may resume late
        began = time.time()
        proc.process = await proc.start()
        proc.planned = False
        proc.started.set()
        self.record("up", proc.name, proc.process.pid, at=began)
        self.spawn(self.watch_process(proc, proc.process))

    async def watch_process(
        self, proc: ManagedProcess, process: asyncio.subprocess.Process
    ) -> None:
        """Reads the messages of a process until it exits, and records the exit."""
        if process.stdout is not None:
            while line := await process.stdout.readline():
                message = msgspec.json.decode(line)
                if "done" in message:
                    proc.done.set()
                elif "told" in message:
                    self.processes[f"l{message['told']}"].received_list.set()
        code = await process.wait()
        self.record("down", proc.name, code, proc.planned)
        # the checker reports the exit of a limiter; it does not end the rehearsal
        limiter = proc.name in self.limiters
        if not proc.planned and not limiter and not self.failed.done():
            self.failed.set_exception(
                RehearsalError(f"{proc.name} died unplanned, exit code {code}")
            )

    def spawn(self, work) -> asyncio.Task:
        """Starts a task and keeps a reference to it until it is done."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def start_all(self) -> None:
        """Starts all processes and waits until each limiter is ready. If the limiters have
        no initial list, they start in `run` instead. Servers start before discovery and the
        limiters, because the lists of both hold the start times of the servers.
        """
        self.failed = asyncio.get_running_loop().create_future()
        rehearsal, f = self.rehearsal, self.rehearsal.fleet
        rehearsal_table = msgspec.to_builtins(rehearsal)
        links = [
            {"name": name, "port": self.link_ports[pair], "to": [self.host, self.target_port(pair)]}
            for pair, name in self.paths.items()
            if pair not in self.relays
        ]
        relays = [
            {
                "name": self.paths[a, b],
                "port": self.link_ports[a, b],
                "back": self.paths[b, a],
                "to": [self.host, self.peer_ports[int(b[1:])]],
            }
            for a, b in self.relays
        ]
        await self.start_child("links", "links", [], lambda: {"links": links, "relays": relays})
        await self.start_child(
            "counter",
            "counter",
            ["counter"],
            lambda: {
                "ports": [self.listen_ports[f"counter{n}"] for n in range(f.limiters)],
                "latency_s": rehearsal.counter.latency_ms / 1000,
            },
        )
        groups: dict[str, list[int]] = {}
        for m in range(f.servers):
            groups.setdefault(rehearsal.process(f"s{m}"), []).append(m)
        for name, group in groups.items():
            await self.start_child(
                "servers",
                name,
                [f"s{m}" for m in group],
                lambda group=group: {
                    "rehearsal": rehearsal_table,
                    "servers": [
                        {
                            "index": m,
                            "port": self.listen_ports[f"s{m}"],
                            "cold": self.starts_cold[m],
                        }
                        for m in group
                    ],
                },
            )
        await self.start_child(
            "discovery",
            "discovery",
            ["discovery"],
            lambda: {
                "ports": [self.listen_ports[f"discovery{n}"] for n in range(f.limiters)],
                "addresses": [
                    [self.address(f"l{n}", f"s{m}") for m in range(f.servers)]
                    for n in range(f.limiters)
                ],
                "members": [self.member(m) for m in range(f.servers)],
                "late_s": rehearsal.discovery.late_s,
                "bears": rehearsal.discovery.bears,
            },
        )
        for n in range(rehearsal.load.drivers):
            await self.start_child(
                "driver",
                f"driver{n}",
                [],
                lambda n=n: {
                    "rehearsal": rehearsal_table,
                    "part": n,
                    "seed": self.seed,
                    "ports": [
                        [self.link_ports[f"clients:{z}", f"l{k}"] for k in range(f.limiters)]
                        for z in f.zones
                    ],
                },
            )
        if rehearsal.known:
            await asyncio.gather(*(self.start_limiter(n) for n in range(f.limiters)))
            await asyncio.gather(
                *(self.wait_ready(n, START_TIMEOUT_SECONDS) for n in range(f.limiters))
            )

    async def wait_ready(self, n: int, timeout_seconds: float) -> None:
        """Waits until a limiter answers its health check with 200. Returns early if a fault of the
        timeline ends or restarts the process before it is ready.
        """
        end, proc = time.monotonic() + timeout_seconds, self.processes[f"l{n}"]
        process = proc.process
        while time.monotonic() < end:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                reader, writer = await asyncio.open_connection(
                    self.host, self.listen_ports[f"l{n}"]
                )
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: stage\r\nConnection: close\r\n\r\n")
                async with asyncio.timeout(1.0):
                    head = await reader.readuntil(b"\r\n\r\n")
                writer.close()
                if head[9:12] == b"200":
                    self.record("ready", f"l{n}")
                    return
            if proc.process is not process or (process.returncode is not None and proc.planned):
                return
            if not proc.alive:
                raise RehearsalError(f"l{n} ended before it was ready; see {self.out / 'log'}")
            await asyncio.sleep(0.02)
        raise RehearsalError(
            f"l{n} was not ready within {timeout_seconds:.0f} s; see {self.out / 'log'}"
        )

    # timeline

    async def run(self, progress: Callable[[float], None] | None = None) -> None:
        """Runs the whole timeline, from the first request to the last answer."""
        rehearsal = self.rehearsal
        self.began = time.time() + 0.2
        self.record("began", self.seed, at=self.began)
        drivers = [p for p in self.processes.values() if p.name.startswith("driver")]
        for driver in drivers:
            driver.send_command(do="begin", at=self.began)
        if not rehearsal.known:  # all limiters start with the traffic and without a list
            for n in range(rehearsal.fleet.limiters):
                self.spawn(self.fail_on_error(self.start_limiter_and_wait(n)))
        for n, fault in enumerate(rehearsal.faults):
            self.spawn(self.fail_on_error(self.run_fault(n, fault)))
        drivers_done = self.spawn(wait_until_done(drivers))
        longest_timeout = max(g.client_timeout_ms for g in rehearsal.frontends) / 1000
        deadline = self.began + rehearsal.seconds + longest_timeout + 10
        while not drivers_done.done():
            await asyncio.wait(
                [drivers_done, self.failed], timeout=0.25, return_when=asyncio.FIRST_COMPLETED
            )
            if self.failed.done():
                drivers_done.cancel()
                self.failed.result()
            if time.time() > deadline:
                drivers_done.cancel()
                raise RehearsalError("the drivers did not finish in time")
            if progress:
                progress(min(rehearsal.seconds, max(0.0, time.time() - self.began)))
        for n in self.awaited:
            names = ", ".join(rehearsal.faults[n].who)
            raise RehearsalError(
                f"faults[{n}] was not applied: discovery did not send a list to all of {names}"
            )

    async def start_limiter_and_wait(self, n: int) -> None:
        """Starts a limiter and waits until it is ready."""
        await self.start_limiter(n)
        await self.wait_ready(n, START_TIMEOUT_SECONDS + self.rehearsal.seconds)

    async def fail_on_error(self, work) -> None:
        """Awaits a coroutine; an exception of it fails the rehearsal."""
        try:
            await work
        except Exception as error:
            if not self.failed.done():
                self.failed.set_exception(
                    error if isinstance(error, RehearsalError) else RehearsalError(repr(error))
                )

    async def sleep_until(self, second: float) -> None:
        """Sleeps until a number of seconds after the first traffic."""
        await asyncio.sleep(max(0.0, self.began + second - time.time()))

    async def run_fault(self, n: int, fault: Fault) -> None:
        """Applies a fault at its time and undoes it after its duration.

        The methods `do_NAME` and `undo_NAME` apply and undo a fault of links, processes or lists;
        the other faults are commands to a stand-in.
        """
        await self.sleep_until(fault.at)
        since = fault.at
        if fault.once:
            await asyncio.gather(
                *(self.processes[name].received_list.wait() for name in self.nodes_of(fault))
            )
            since = max(since, time.time() - self.began)
            self.awaited.discard(n)
        # on a loaded machine the process may not have started yet
        if fault.do in ("kill", "term", "stop", "hup"):
            await asyncio.gather(*(proc.started.wait() for proc in self.processes_of(fault)))
        self.record("fault", n, fault.do, True)
        apply = getattr(self, f"do_{fault.do}", None)
        if apply is not None:
            await apply(fault)
        else:
            self.command_stand_in(fault, True)
        if fault.for_s > 0:
            await self.sleep_until(since + fault.for_s)
            self.record("fault", n, fault.do, False)
            if (undo := getattr(self, f"undo_{fault.do}", None)) is not None:
                await undo(fault)
            elif apply is None:
                self.command_stand_in(fault, False)

    def nodes_of(self, fault: Fault, key: str = "who") -> list[str]:
        """The nodes that a fault names under a key, `who` or `other`."""
        f = self.rehearsal.fleet
        return [x for name in getattr(fault, key) for x in nodes(f, name)]

    def processes_of(self, fault: Fault) -> list[ManagedProcess]:
        """Returns the processes that run the nodes of a fault, each once."""
        return [
            self.processes[name]
            for name in dict.fromkeys(self.rehearsal.process(x) for x in self.nodes_of(fault))
        ]

    def servers_of(self, fault: Fault) -> list[int]:
        """Returns the indices of the servers among the nodes of a fault."""
        return [int(x[1:]) for x in self.nodes_of(fault) if x[0] == "s"]

    def command_stand_in(self, fault: Fault, on: bool) -> None:
        """Commands the stand-ins or drivers to apply a fault, or to undo it if `on` is False."""
        rehearsal, factor = self.rehearsal, fault.factor
        match fault.do:
            case "counter_slow":
                self.processes["counter"].send_command(do=fault.do, factor=factor if on else 1.0)
            case "counter_silent" | "counter_split" | "counter_wipe":
                if on or fault.do != "counter_wipe":
                    self.processes["counter"].send_command(do=fault.do, on=on)
            case "discovery_silent":
                self.processes["discovery"].send_command(do=fault.do, on=on)
            case "discovery_late":
                self.processes["discovery"].send_command(
                    do=fault.do, s=factor if on else rehearsal.discovery.late_s
                )
            case "discovery_half":
                self.processes["discovery"].send_command(
                    do=fault.do, share=fault.share if on else 1.0
                )
            case "discovery_bears":
                self.processes["discovery"].send_command(
                    do=fault.do, bears=factor if on else rehearsal.discovery.bears
                )
            case "flood":
                for p in self.processes.values():
                    if p.name.startswith("driver"):
                        p.send_command(do="flood", plan=fault.plan, factor=factor if on else 1.0)
            case "slow" | "fail":
                for p in self.processes_of(fault):
                    servers = [m for m in self.servers_of(fault) if f"s{m}" in p.nodes]
                    p.send_command(
                        do=fault.do,
                        servers=servers,
                        factor=factor if on else 1.0,
                        share=fault.share if on else 0.0,
                    )

    # links

    def paths_between(self, selected: set[str], others: set[str]) -> list[tuple[str, str]]:
        """The paths with one end in each of two sets of nodes."""
        return [
            p
            for p in self.paths
            if (p[0] in selected and p[1] in others) or (p[1] in selected and p[0] in others)
        ]

    def paths_of(self, fault: Fault) -> list[tuple[str, str]]:
        """The paths that a fault on links affects.

        A cut that selects all limiters of a zone leaves the clients of the zone connected to them.
        """
        selected = set(self.nodes_of(fault))
        f = self.rehearsal.fleet
        if fault.do == "cut" and not fault.other:
            for z in f.zones:
                if set(nodes(f, f"limiters:{z}")) <= selected and nodes(f, f"limiters:{z}"):
                    selected.add(f"clients:{z}")
        ends = {x for p in self.paths for x in p}
        return self.paths_between(selected, set(self.nodes_of(fault, "other")) or ends - selected)

    def command_links(self, do: str, paths: list[tuple[str, str]], **arguments: object) -> None:
        """Sends a command to the links of paths."""
        self.processes["links"].send_command(
            do=do, links=[self.paths[p] for p in paths], **arguments
        )

    def apply_cuts(self, paths: list[tuple[str, str]]) -> None:
        """Sends to the links of the paths the directions that the active cuts block together."""
        blocked: dict[tuple[str, str], set[str]] = {p: set() for p in paths}
        for fault in self.active_cuts:
            selected = set(self.nodes_of(fault))
            for pair in self.paths_of(fault):
                if pair in blocked:
                    to_selected = pair[1] in selected
                    blocked[pair] |= {
                        "both": {"forth", "back"},
                        "to": {"forth" if to_selected else "back"},
                        "from": {"back" if to_selected else "forth"},
                    }[fault.way]
        paths_by_directions: dict[tuple[bool, bool], list[tuple[str, str]]] = {}
        for pair, directions in blocked.items():
            paths_by_directions.setdefault(
                ("forth" in directions, "back" in directions), []
            ).append(pair)
        for (forth, back), group in paths_by_directions.items():
            if forth or back:
                self.command_links("cut", group, forth=forth, back=back)
            else:
                self.command_links("heal", group)
        self.record("cut", [[*p, sorted(d)] for p, d in blocked.items()])

    async def do_cut(self, fault: Fault) -> None:
        self.active_cuts.append(fault)
        self.apply_cuts(self.paths_of(fault))

    async def undo_cut(self, fault: Fault) -> None:
        self.active_cuts = [cut for cut in self.active_cuts if cut is not fault]
        self.apply_cuts(self.paths_of(fault))

    async def do_reset(self, fault: Fault) -> None:
        self.command_links("reset", self.paths_of(fault))

    async def do_delay(self, fault: Fault) -> None:
        self.command_links("delay", self.paths_of(fault), s=fault.factor / 1000)

    async def undo_delay(self, fault: Fault) -> None:
        self.command_links("delay", self.paths_of(fault), s=0.0)

    # processes

    async def do_kill(self, fault: Fault) -> None:
        for proc in self.processes_of(fault):
            proc.planned = True
            proc.signal(signal.SIGKILL)

    async def undo_kill(self, fault: Fault) -> None:
        await asyncio.gather(*(self.restart(proc) for proc in self.processes_of(fault)))
        self.publish_phase(self.servers_of(fault), "active")

    async def restart(self, proc: ManagedProcess) -> None:
        """Starts a process again after its exit. Its servers start cold, and a limiter has no state
        but its configuration.
        """
        if proc.process is not None:
            await proc.process.wait()
        for node in proc.nodes:
            if node[0] == "s":
                self.starts_cold[int(node[1:])] = True
        await self.launch(proc)
        if proc.name in self.limiters:
            await self.wait_ready(int(proc.name[1:]), START_TIMEOUT_SECONDS)

    async def do_term(self, fault: Fault) -> None:
        for proc in self.processes_of(fault):
            proc.planned = True
            proc.signal(signal.SIGTERM)

    undo_term = undo_kill

    async def do_stop(self, fault: Fault) -> None:
        for proc in self.processes_of(fault):
            proc.signal(signal.SIGSTOP)
            self.record("stopped", proc.name, True)

    async def undo_stop(self, fault: Fault) -> None:
        for proc in self.processes_of(fault):
            proc.signal(signal.SIGCONT)
            self.record("stopped", proc.name, False)

    async def do_hup(self, fault: Fault) -> None:
        if fault.text:
            (self.out / "plan.toml").write_text(fault.text)
        for proc in self.processes_of(fault):
            proc.signal(signal.SIGHUP)

    async def do_vanish(self, fault: Fault) -> None:
        """Cuts the paths before SIGKILL, so that no peer sees the connections being reset."""
        self.active_cuts.append(fault)
        self.apply_cuts(self.paths_of(fault))
        await asyncio.sleep(0.05)  # for the links to apply the cut
        await self.do_kill(fault)
        if fault.told_s >= 0 and (servers := self.servers_of(fault)):
            self.spawn(self.publish_departure_later(fault, servers))

    async def publish_departure_later(self, fault: Fault, servers: list[int]) -> None:
        """Publishes after `told_s` that servers have left, unless they have restarted by then."""
        await self.sleep_until(fault.at + fault.told_s)
        if fault.for_s <= 0 or fault.told_s < fault.for_s:
            self.publish_phase(servers, "left")

    async def undo_vanish(self, fault: Fault) -> None:
        await asyncio.gather(*(self.restart(proc) for proc in self.processes_of(fault)))
        self.command_links("reset", self.paths_of(fault))
        await self.undo_cut(fault)
        self.publish_phase(self.servers_of(fault), "active")

    async def do_list(self, fault: Fault) -> None:
        self.publish_phase(self.servers_of(fault), fault.phase)

    async def undo_list(self, fault: Fault) -> None:
        self.publish_phase(self.servers_of(fault), "active")

    def publish_phase(self, servers: list[int], phase: str) -> None:
        """Makes discovery publish that servers are in a phase, e.g. `leaving`."""
        if servers:
            rows = [{"server": m, **self.member(m), "phase": phase} for m in servers]
            self.processes["discovery"].send_command(do="list", rows=rows)

    # shutdown

    async def close(self) -> None:
        """Stops every process and waits for it. Limiters receive SIGTERM before SIGKILL."""
        for task in list(self.tasks):
            if task.get_coro().__name__ != "watch_process":
                task.cancel()
        limiters = [
            self.processes[n]
            for n in self.limiters
            if n in self.processes and self.processes[n].alive
        ]
        for proc in limiters:
            proc.planned = True
            proc.signal(signal.SIGCONT)
            proc.signal(signal.SIGTERM)
        if limiters:
            await asyncio.wait(
                [asyncio.ensure_future(p.process.wait()) for p in limiters],
                timeout=STOP_TIMEOUT_SECONDS,
            )
        for proc in self.processes.values():
            proc.planned = True
            proc.signal(signal.SIGKILL)
        for proc in self.processes.values():
            if proc.process is not None:
                await proc.process.wait()
                # closes its pipes now instead of at garbage collection
                proc.process._transport.close()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.failed is not None and self.failed.done() and not self.failed.cancelled():
            self.failed.exception()  # marks the exception as retrieved


async def run_rehearsal(
    rehearsal: Rehearsal,
    seed: int,
    out: Path,
    plan: bytes = b"",
    progress: Callable[[float], None] | None = None,
    program: tuple[str, ...] = LIMITER,
) -> None:
    """Runs one rehearsal and stops all of its processes, also when it is cancelled.

    `progress` is called with the seconds since the first traffic.
    """
    runner = RehearsalRunner(rehearsal, seed, out, plan, program)
    try:
        await runner.start_all()
        await runner.run(progress)
    finally:
        await asyncio.shield(runner.close())


def is_running(pid: int) -> bool:
    """Whether a process exists and is not a zombie."""
    try:
        with open(f"/proc/{pid}/stat") as file:
            return file.read().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


def started_pids(out: Path) -> list[int]:
    """Identifiers of all processes that the rehearsal in a folder has started."""
    with open(out / "trail" / "stage.jsonl", "rb") as file:
        rows = [msgspec.json.decode(line) for line in file]
    return [row[3] for row in rows if row[0] == "up"]
