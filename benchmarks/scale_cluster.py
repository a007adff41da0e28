"""The processes of a scale run: what they need, how they start, what they cost, and that all of
them end.

Every program listens on an address of its own in 127.0.0.0/8, on the same ports, as machines do.
Whatever ends a run (its end, a fault, SIGINT, SIGTERM), each process that it started is ended by
its id and waited for; should the run itself be killed, the kernel ends them (`PR_SET_PDEATHSIG`).
"""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import resource
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import psutil

from loomstand.rpc.network import Address

CONTROL, FIRST_PORT, FRONT, READY = 8783, 7340, 8782, 8789
ZONES = {"z1": "r1", "z2": "r1", "z3": "r1"}
HEARTBEAT = 1.5  # s, as at the sites
DESCRIPTORS = 4096  # that a program is told it may have, as at the sites
MOST_PROCESSES = 300
MOST_SHARE = 0.5  # of the machine's memory
SPARE_DESCRIPTORS = 200
PER_WORKER = 750  # hollow limiters in one process: its loop must not be what is measured
SERVERS_PER_WORKER = 4000
# What a size will take, in MB, measured at 30 to 300 limiters and rounded up: a program, a worker,
# a hollow limiter, and of it a server that it knows; a server's own heartbeats; a row, a route, a
# tenant in a program.
PROGRAM_MB, WORKER_MB, LIMITER_MB, KNOWN_MB = 60.0, 50.0, 0.25, 0.0015
SERVER_MB, ROW_MB, ROUTE_MB, TENANT_MB, BYTES_MB = 0.05, 0.004, 0.012, 0.012, 0.0004
PR_SET_PDEATHSIG = 1
ENDS_WITHIN = 3.0  # s that a process has from SIGTERM to SIGKILL


class TooLarge(Exception):
    """A size that this machine can't hold: the message names the limit."""


@dataclass(slots=True, frozen=True)
class Size:
    """One point of a sweep. `changes` and `counts` are a second, counts for each limiter; `use` is
    what each tenant uses of its quota, a few tenants being large.
    """

    limiters: int = 30
    servers: int = 60
    routes: int = 50
    tenants: int = 50
    changes: float = 0.2
    counts: float = 1.0
    use: float = 0.6
    cores: int = 3
    proxies: int = 2

    def __post_init__(self) -> None:
        for name, least in (
            ("limiters", 1),
            ("servers", 1),
            ("routes", 1),
            ("tenants", 1),
            ("cores", 1),
        ):
            if getattr(self, name) < least:
                raise TooLarge(f"{name}: {getattr(self, name)} is under {least}")
        if self.proxies < 0 or self.changes < 0 or self.counts < 0 or self.use <= 0:
            raise TooLarge("proxies, changes and counts can't be under 0, nor use 0")
        if self.cores > 100 or self.proxies > 100:
            raise TooLarge("cores and proxies: over 100 of one kind have no addresses here")

    @property
    def workers(self) -> int:
        return max(1, -(-self.limiters // PER_WORKER))

    @property
    def keepers(self) -> int:
        """Processes of hollow servers."""
        return max(1, -(-self.servers // SERVERS_PER_WORKER))


@dataclass(slots=True, frozen=True)
class Need:
    """What a size will take: processes, memory in MB, and the most descriptors of one process."""

    processes: int
    memory_mb: float
    descriptors: int


def need(size: Size) -> Need:
    programs = 2 * size.cores + size.proxies
    row = size.servers * ROW_MB + size.routes * ROUTE_MB + size.tenants * TENANT_MB
    memory = (
        programs * (PROGRAM_MB + row)
        + (size.workers + size.keepers) * WORKER_MB
        + size.limiters
        * (LIMITER_MB + size.servers * KNOWN_MB + (size.routes + size.tenants) * BYTES_MB)
        + size.servers * SERVER_MB
    )
    worker = min(size.limiters, PER_WORKER) * size.cores
    registry = size.limiters + size.proxies + size.servers + 4 * size.cores
    return Need(
        programs + size.workers + size.keepers, memory, max(worker, registry) + SPARE_DESCRIPTORS
    )


@dataclass(slots=True, frozen=True)
class Limits:
    """What a run may take of this machine."""

    processes: int = MOST_PROCESSES
    memory_mb: float = 0.0
    descriptors: int = 0

    @staticmethod
    def of_machine(memory_mb: float | None = None) -> Limits:
        """Half of the memory, or less; and the descriptors that a process may ask for."""
        half = psutil.virtual_memory().total * MOST_SHARE / 1e6
        return Limits(
            MOST_PROCESSES,
            min(half, memory_mb or half),
            resource.getrlimit(resource.RLIMIT_NOFILE)[1],
        )

    def check(self, size: Size) -> Need:
        """What the size needs; TooLarge where that is beyond a limit, before anything is
        started.
        """
        wants = need(size)
        for name, has, most in (
            ("processes", wants.processes, self.processes),
            ("memory, MB", round(wants.memory_mb), round(self.memory_mb)),
            ("descriptors of one process", wants.descriptors, self.descriptors),
        ):
            if has > most:
                raise TooLarge(f"{name}: {has} needed, {most} is the limit ({size})")
        return wants


def bound() -> None:
    """In a child, before its program: it ends with the run, and may open as many descriptors as
    allowed.
    """
    ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


@dataclass(slots=True, frozen=True)
class Cost:
    """What a process holds: resident bytes, descriptors. Its processor time it tells itself, as the
    ticks of others' view (10 ms) are too coarse for windows of seconds.
    """

    resident: int
    descriptors: int


@dataclass(slots=True)
class Child:
    """A process of the run."""

    role: str
    name: str
    process: asyncio.subprocess.Process
    figures: Path | None = None  # where a program writes its counts at SIGUSR1

    def cost(self) -> Cost:
        known = psutil.Process(self.process.pid)
        with known.oneshot():
            return Cost(known.memory_info().rss, known.num_fds())

    @property
    def runs(self) -> bool:
        return self.process.returncode is None

    async def counts(self) -> dict[str, Any]:
        """A program's messages and bytes so far."""
        if self.figures is None or not self.runs:
            return {}
        self.figures.unlink(missing_ok=True)
        self.process.send_signal(signal.SIGUSR1)
        for _ in range(200):
            if self.figures.exists():
                return json.loads(self.figures.read_text())
            await asyncio.sleep(0.02)
        raise RuntimeError(f"{self.name}: gave no counts in 4 s")

    async def order(self, **said: Any) -> dict[str, Any]:
        """An order to a worker, and its answer."""
        assert self.process.stdin is not None and self.process.stdout is not None
        self.process.stdin.write(json.dumps(said).encode() + b"\n")
        line = await self.process.stdout.readline()
        if not line:
            raise RuntimeError(f"{self.name}: ended at {said['do']}")
        answer = json.loads(line)
        if "error" in answer:
            raise RuntimeError(f"{self.name}: {said['do']}: {answer['error']}")
        return answer


@dataclass(slots=True)
class Processes:
    """All that a run started. `end` ends them, whatever became of the run."""

    limits: Limits
    children: list[Child] = field(default_factory=list)
    began: list[int] = field(default_factory=list)  # the ids of all that were ever started

    async def start(
        self,
        role: str,
        name: str,
        arguments: list[str],
        variables: dict[str, str],
        log: Path,
        figures: Path | None = None,
        pipes: bool = False,
    ) -> Child:
        if len(self.running()) >= self.limits.processes:
            raise TooLarge(f"processes: {self.limits.processes} run, and that is the limit")
        pipe = asyncio.subprocess.PIPE if pipes else asyncio.subprocess.DEVNULL
        with log.open("ab") as errors:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                stdin=pipe,
                stdout=pipe if pipes else errors,
                stderr=errors,
                env=os.environ | variables,
                preexec_fn=bound,
                limit=256 << 20,
                start_new_session=True,
            )
        child = Child(role, name, process, figures)
        self.children.append(child)
        self.began.append(process.pid)
        return child

    def running(self) -> list[Child]:
        return [child for child in self.children if child.runs]

    def memory(self) -> float:
        """Resident MB of all; TooLarge where that is beyond the limit."""
        used = sum(child.cost().resident for child in self.running()) / 1e6
        if used > self.limits.memory_mb:
            raise TooLarge(
                f"memory, MB: {used:.0f} in use, {self.limits.memory_mb:.0f} is the limit"
            )
        return used

    async def end(self, children: list[Child] | None = None, kill: bool = False) -> None:
        """SIGTERM, and SIGKILL to those that still run after 3 s; returns when all have ended."""
        mine = [child for child in (self.children if children is None else children) if child.runs]
        for child in mine:
            if child.process.stdin is not None:
                child.process.stdin.close()
            child.process.send_signal(signal.SIGKILL if kill else signal.SIGTERM)
        waits = [asyncio.ensure_future(child.process.wait()) for child in mine]
        if waits:
            await asyncio.wait(waits, timeout=ENDS_WITHIN)
        for child in mine:
            if child.runs:
                child.process.kill()
        await asyncio.gather(*waits)


class Cluster:
    """The system of one size: cores (a registry and a store each), real proxies, and hollow ones
    beside.
    """

    def __init__(self, size: Size, limits: Limits, net: int, profile: str = "") -> None:
        """`net` is the second part of its addresses; `profile` the role whose first process is
        profiled.
        """
        self.size, self.net, self.profile = size, net, profile
        self.processes = Processes(limits)
        self.folder = Path(tempfile.mkdtemp(prefix="scale-run-"))
        self.workers: list[Child] = []
        self.keepers: list[Child] = []
        self.version = 0

    def core(self, n: int) -> str:
        return f"127.{self.net}.1.{n + 1}"

    def controls(self) -> list[Address]:
        return [(self.core(n), CONTROL) for n in range(self.size.cores)]

    def origins(self) -> list[Address]:
        """Where servers are that answer requests: one address for each, some hundred at most."""
        if self.size.servers > 250:
            raise RuntimeError(f"requests go to 250 servers at most, not {self.size.servers}")
        return [(f"127.{self.net}.3.{n + 1}", 8080) for n in range(self.size.servers)]

    def settings(self, name: str, role: str, ip: str, first: bool) -> str:
        """A settings file's text, with the descriptors of the sites' machines, and memory
        enough.
        """
        zone = list(ZONES)[int(ip.rsplit(".", 1)[1]) % len(ZONES)]
        seeds = ",".join(f"{ip}:{port}" for ip, port in self.controls()[:3])
        lines = [
            f"self.node_name={name}",
            f"self.role={role}",
            "self.machine_class=any",
            f"self.ip_address={ip}",
            f"self.zone={zone}",
            f"self.region={ZONES[zone]}",
            "self.loss_counted=true",
            f"self.first_start={str(first).lower()}",
            "self.limits.memory_mb=4000",
            f"self.limits.file_descriptors={DESCRIPTORS}",
            f"network.internal_ports={FIRST_PORT},{FIRST_PORT + 15}",
            f"network.seed_nodes={seeds}",
            f"platform_settings.heartbeat={HEARTBEAT * 1000:.0f}ms",
            *(f"network.zones.{zone}={region}" for zone, region in ZONES.items()),
        ]
        if role == "proxy":
            lines += [
                "self.serves=frontend",
                f"network.listen_addresses.frontend={ip}:{FRONT}",
                f"network.listen_addresses.readiness={ip}:{READY}",
            ]
        if role == "registry":
            lines += [
                "self.serves=control_plane",
                f"network.listen_addresses.control_plane={ip}:{CONTROL}",
            ]
        if role == "store":
            lines += [f"self.data_directory={self.folder / name}", "self.limits.disk_mb=256"]
        return "\n".join(lines) + "\n"

    async def program(self, role: str, n: int, first: bool = True) -> Child:
        """Starts the n-th program of a role; `first` where the whole system starts for the first
        time.
        """
        name, ip = f"{role}-{n}", self.core(n) if role != "proxy" else f"127.{self.net}.2.{n + 1}"
        conf, figures = self.folder / f"{name}.conf", self.folder / f"{name}.json"
        (self.folder / name).mkdir(exist_ok=True)
        conf.write_text(self.settings(name, role, ip, first))
        arguments = ["-m", "benchmarks.scale_role", role, str(figures)]
        if role == self.profile and n == 0:
            arguments += ["--profile", str(self.folder / "profile.stats")]
        told = {"LOOMSTAND_CONFIG": str(conf)}
        return await self.processes.start(
            role, name, arguments, told, self.folder / f"{name}.log", figures
        )

    async def worker(self, role: str, n: int) -> Child:
        log = self.folder / f"{role}-{n}.log"
        arguments = ["-m", "benchmarks.scale_hollow"]
        return await self.processes.start(role, f"{role}-{n}", arguments, {}, log, pipes=True)

    def of(self, role: str) -> list[Child]:
        return [child for child in self.processes.running() if child.role == role]

    async def start_core(self, first: bool = True) -> None:
        for n in range(self.size.cores):
            await self.program("store", n, first)
            await self.program("registry", n, first)

    async def post(
        self, call: str, body: bytes = b"", n: int = 0, within: float = 1.0
    ) -> tuple[int, bytes]:
        """A call of the operator to the n-th registry; status 0 where there is no answer."""
        try:
            async with asyncio.timeout(within):
                reader, writer = await asyncio.open_connection(
                    *self.controls()[n % self.size.cores]
                )
                try:
                    head = (
                        f"POST /api/rpc?call={call} HTTP/1.1\r\nHost: x\r\nContent-Type: "
                        "application/json\r\n"
                        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
                    )
                    writer.write(head.encode() + body)
                    answer = await reader.readuntil(b"\r\n\r\n")
                    fields = dict(
                        line.lower().split(b":", 1)
                        for line in answer.split(b"\r\n")[1:]
                        if b":" in line
                    )
                    said = await reader.readexactly(int(fields.get(b"content-length", b"0")))
                    return int(answer[9:12]), said
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            return 0, b""

    async def replace(self, within: float) -> tuple[float, float, int]:
        """A new version, sent until it is taken: when it was sent first, when acknowledged,
        tries.
        """
        self.version += 1
        body = configuration(self.version, self.size)
        began, tries = time.monotonic(), 0
        # a body of megabytes is given longer, as the protocol has it
        patience = 1.0 + len(body) / 2e6
        while time.monotonic() - began < within:
            tries += 1
            status, said = await self.post("configuration.replace", body, tries - 1, patience)
            if status == 200:
                return began, time.monotonic(), tries
            if status in (400, 413):
                raise RuntimeError(f"configuration of {len(body)} bytes: {status} {said[:200]!r}")
            await asyncio.sleep(0.05)
        raise RuntimeError(
            f"configuration of {len(body)} bytes: not taken in {within:.0f} s ({tries} tries)"
        )

    async def end(self) -> None:
        try:
            await self.processes.end()
        finally:
            shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version: int, size: Size) -> bytes:
    """A configuration of a size, as the operator sends it; each version moves one route."""
    services = max(1, min(size.routes, size.servers // 4))
    resources: list[dict[str, Any]] = [
        {
            "resource_kind": "services",
            "metadata": {"name": f"service-{n}"},
            "specification": {"health_check_path": "/health", "connection_limit": 110},
        }
        for n in range(services)
    ]
    for n in range(size.routes):
        at = (n + version) % services if n == version % size.routes else n % services
        resources.append(
            {
                "resource_kind": "routes",
                "metadata": {"name": f"route-{n}"},
                "specification": {
                    "host": f"host{n % 97}.example",
                    "path_prefix": f"/p{n}/",
                    "route_kind": "idempotent",
                    "timeout": "5000ms",
                    "target_latency": "800ms",
                    "priority": 2,
                    "service_name": f"service-{at}",
                    "maximum_attempts": 2,
                    "public": False,
                },
            }
        )
    whole = sum(1 / (n + 1) for n in range(size.tenants))
    resources += [
        {
            "resource_kind": "tenants",
            "metadata": {"name": f"tenant-{n}"},
            "specification": {
                "api_keys": [f"key-of-tenant-{n}"],
                "priority": 1,
                **quota(size, n, whole),
            },
        }
        for n in range(size.tenants)
    ]
    return json.dumps(
        {"version": f"r{version}", "resources": resources}, separators=(",", ":")
    ).encode()


def quota(size: Size, n: int, whole: float) -> dict[str, float]:
    """A tenant's quota by its part of what limiters count, 5 a second at the least; where they
    count nothing, more than requests of one proxy come to.
    """
    least = 5.0 if size.counts else 1000.0
    rate = max(least, round(size.limiters * size.counts / (n + 1) / whole / size.use, 1))
    return {"rate_per_s": rate, "burst_size": 2 * rate}


def free_net(taken: Callable[[int], bool] | None = None) -> int:
    """A second part of addresses that nobody listens on, so that runs don't meet."""
    used = taken or (
        lambda net: any(c.laddr and c.laddr.ip.startswith(f"127.{net}.") for c in connections())
    )
    start = 16 + os.getpid() % 200
    return next(net for step in range(200) if not used(net := 16 + (start - 16 + step) % 200))


def connections() -> list[Any]:
    return psutil.net_connections("tcp4")
