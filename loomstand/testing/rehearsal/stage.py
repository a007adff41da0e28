"""The stage: starts every process of a rehearsal, plays the timeline of faults, and ends them all.

Whatever ends the rehearsal (its end, Ctrl-C, a child that dies unplanned, the death of this
process), no process is left: children end with their input, limiters get SIGKILL with their parent
(prctl, which the kernel keeps also for a stopped one), and `close` waits for each.
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

from loomstand.testing.emulator import scenario as lab
from loomstand.testing.rehearsal import wire
from loomstand.testing.rehearsal.child import Trail
from loomstand.testing.rehearsal.scenario import SHARED, Fault, Rehearsal, nodes, zone_of

# seconds for a process to say that it is ready: the largest stage starts in some ten
START_WITHIN = 30.0
# for a limiter to end after SIGTERM: the longest client timeout, and what PROTOCOL adds
END_WITHIN = 4.0
PR_SET_PDEATHSIG = 1
MOST_RELAYED = 24  # limiters: 552 relays; beyond that peers talk to each other directly
ROOT = Path(__file__).parents[3]
# of a limiter: our own environment must not stand in for the configuration it is given
ENVIRONMENT = {k: v for k, v in os.environ.items() if not k.startswith("PROXY_")} | {
    "PYTHONPATH": str(ROOT)
}
LIMITER = (sys.executable, "-m", "loomstand", "serve")
LIBC = ctypes.CDLL(None, use_errno=True)


class StageError(RuntimeError):
    """The stage could not be set or held; names the process."""


def die_with_parent() -> None:
    """In the child, before it becomes the limiter: SIGKILL for it when its parent is gone."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


@dataclass(slots=True, eq=False)
class Proc:
    """One process, over all its lives."""

    name: str
    nodes: list[str]
    start: Callable[[], object]  # makes a life; a coroutine
    life: asyncio.subprocess.Process | None = None
    planned: bool = False  # whether its end was asked for
    done: asyncio.Event = field(default_factory=asyncio.Event)
    started: asyncio.Event = field(default_factory=asyncio.Event)  # its first life
    told: asyncio.Event = field(default_factory=asyncio.Event)  # discovery has told it a list

    @property
    def alive(self) -> bool:
        return self.life is not None and self.life.returncode is None

    def order(self, **told: object) -> None:
        if self.alive and self.life.stdin is not None:
            with contextlib.suppress(OSError):
                self.life.stdin.write(msgspec.json.encode(told) + b"\n")

    def signal(self, sig: int) -> None:
        if self.alive:
            with contextlib.suppress(ProcessLookupError):
                self.life.send_signal(sig)


class Stage:
    """One rehearsal's processes; `out` is the folder that their trails, logs and configurations go
    to.
    """

    count = 0

    def __init__(
        self,
        told: Rehearsal,
        seed: int,
        out: Path,
        plan: bytes = b"",
        program: tuple[str, ...] = LIMITER,
    ) -> None:
        self.told, self.seed, self.out, self.plan, self.program = told, seed, out, plan, program
        Stage.count += 1
        self.host = wire.own_host(9 + Stage.count % 240)  # beside other stages of this process
        self.trail_path = out / "trail"
        self.trail_path.mkdir(parents=True, exist_ok=True)
        self.trail = Trail(str(self.trail_path / "stage.jsonl"))
        fleet = told.fleet
        self.limiters = nodes(fleet, "limiters")
        self.procs: dict[str, Proc] = {}
        self.paths: dict[tuple[str, str], str] = {}  # (from, to) to the link's name
        self.lives: dict[str, int] = {}
        self.booted = [0.0] * fleet.servers  # as each server says, when it listens
        self.cold = [fleet.cold] * fleet.servers
        self.began = 0.0
        self.failed: asyncio.Future[None] | None = None
        self.cuts: list[Fault] = []  # that stand now
        # by number: not come yet
        self.awaited = {n for n, fault in enumerate(told.faults) if fault.once}
        self.tasks: set[asyncio.Task] = set()
        self.lay_out()

    # what is where

    def lay_out(self) -> None:
        """Ports for everything: each path between two nodes has a link of its own."""
        f = self.told.fleet
        limiters, servers = range(f.limiters), range(f.servers)
        callers = [SHARED] if f.shared else [f"l{n}" for n in limiters]
        pairs = [(caller, f"s{m}") for caller in callers for m in servers]
        pairs += [(f"l{n}", core) for n in limiters for core in ("counter", "discovery")]
        pairs += [(f"clients:{z}", f"l{n}") for z in f.zones for n in limiters]
        ends = [f"l{n}" for n in limiters] + [f"s{m}" for m in servers]
        ends += [f"{core}{n}" for core in ("counter", "discovery") for n in limiters]
        ports = wire.free_ports(self.host, len(pairs) + len(ends))
        self.listens = dict(zip(ends, ports, strict=False))
        self.link_port = dict(zip(pairs, ports[len(ends) :], strict=True))
        self.link_port |= {
            (f"l{n}", f"s{m}"): self.link_port[SHARED, f"s{m}"]
            for n in limiters
            for m in servers
            if f.shared
        }
        # between peers: relays for each pair, or where those would be too many the peers' own
        # addresses
        self.relays = [(f"l{n}", f"l{m}") for n in limiters for m in limiters if n != m and f.peers]
        if f.limiters > MOST_RELAYED:
            self.relays = []
        more = wire.free_ports(self.host, len(self.relays) + f.limiters * f.peers)
        self.link_port |= dict(zip(self.relays, more, strict=False))
        self.peer_port = more[len(self.relays) :]
        self.paths = {pair: f"{pair[0]}>{pair[1]}" for pair in [*pairs, *self.relays]}

    def target(self, pair: tuple[str, str]) -> int:
        return self.listens[pair[1] + (pair[0][1:] if pair[1] in ("counter", "discovery") else "")]

    def member(self, server: int) -> dict[str, object]:
        f = self.told.fleet
        up = round(self.booted[server] * 1000)
        zone = f.zones[zone_of(f, f"s{server}")]
        return {"id": f"s{server}", "locality": zone, "phase": "active", "up_since_ms": up}

    def address(self, *pair: str) -> str:
        return f"{self.host}:{self.link_port[pair]}"

    # starting

    async def spawn_process(
        self, name: str, command: list[str], **more: object
    ) -> asyncio.subprocess.Process:
        """A process in a session of its own, its log beside the others'."""
        place = self.out / "log"
        place.mkdir(exist_ok=True)
        with open(place / name.replace(":", "-"), "ab") as log:
            return await asyncio.create_subprocess_exec(
                *command, stderr=log, start_new_session=True, cwd=ROOT, env=ENVIRONMENT, **more
            )

    async def child(
        self, role: str, name: str, nodes_: list[str], config: Callable[[], dict]
    ) -> None:
        command, pipe = (
            [sys.executable, "-m", "loomstand.testing.rehearsal.child", role],
            asyncio.subprocess.PIPE,
        )

        async def start() -> asyncio.subprocess.Process:
            life = await self.spawn_process(name, command, stdin=pipe, stdout=pipe, limit=1 << 24)
            told = {"host": self.host, "seed": f"{self.seed}-{name}", **config()}
            told["trail"] = str(self.trail_path / f"{name.replace(':', '-')}.jsonl")
            life.stdin.write(msgspec.json.encode(told) + b"\n")
            line = await asyncio.wait_for(life.stdout.readline(), START_WITHIN)
            if b"ready" not in line:
                raise StageError(f"{name} did not start; see {self.out / 'log' / name}")
            for m, at in msgspec.json.decode(line)["booted"].items():
                self.booted[int(m)] = at
            return life

        await self.begin(Proc(name, nodes_, start))

    async def limiter(self, n: int) -> None:
        name, null = f"l{n}", asyncio.subprocess.DEVNULL

        async def start() -> asyncio.subprocess.Process:
            command = [*self.program, "--config", str(self.configure(n))]
            return await self.spawn_process(
                name, command, stdin=null, stdout=null, preexec_fn=die_with_parent
            )

        await self.begin(Proc(name, [name], start))

    def configure(self, n: int) -> Path:
        """Writes a limiter's configuration, as it would be told at a start now."""
        told, f, name = self.told, self.told.fleet, f"l{n}"
        conf = msgspec.to_builtins(lab.limiter_settings(told, n, zone_of(f, name)))
        conf["allowed"]["connect_timeout"] = f.connect_timeout_ms
        known = [
            {**self.member(m), "host_port": self.address(name, f"s{m}")} for m in range(f.servers)
        ]
        self.lives[name] = self.lives.get(name, 0) + 1
        config = {
            "name": name,
            "listen": f"{self.host}:{self.listens[name]}",
            "discovery": self.address(name, "discovery"),
            "counter": self.address(name, "counter"),
            "seed": f"{random.Random(f'{self.seed}-{name}-{self.lives[name]}').getrandbits(48):x}",
            "limits": {"sockets": f.sockets},
            "known": {"revision": 1, "complete": True, "members": known} if told.known else {},
            "settings": conf,
        }
        if f.peers:
            config["peer"] = f"{self.host}:{self.peer_port[n]}"
            others = [m for m in range(f.limiters) if m != n]
            config["peers"] = [
                self.address(name, f"l{m}") if self.relays else f"{self.host}:{self.peer_port[m]}"
                for m in others
            ]
        if self.plan:
            place = self.out / "plan.toml"
            if not place.exists():
                place.write_bytes(self.plan)
            config["plan"] = str(place)
        path = self.out / f"{name}.json"
        path.write_text(json.dumps(config))
        return path

    async def begin(self, proc: Proc) -> None:
        self.procs[proc.name] = proc
        await self.live(proc)

    async def live(self, proc: Proc) -> None:
        """Starts a process, and watches that it does not end unplanned."""
        began = time.time()  # before: a loop that starts many hears late that one has started
        proc.life = await proc.start()
        proc.planned = False
        proc.started.set()
        self.trail("up", proc.name, proc.life.pid, at=began)
        self.spawn(self.watch(proc, proc.life))

    async def watch(self, proc: Proc, life: asyncio.subprocess.Process) -> None:
        if life.stdout is not None:
            while line := await life.stdout.readline():
                said = msgspec.json.decode(line)
                if "done" in said:
                    proc.done.set()
                elif "told" in said:
                    self.procs[f"l{said['told']}"].told.set()
        code = await life.wait()
        self.trail("down", proc.name, code, proc.planned)
        limiter = proc.name in self.limiters  # its death is a finding, not the end of the rehearsal
        if not proc.planned and not limiter and not self.failed.done():
            self.failed.set_exception(StageError(f"{proc.name} died unplanned, exit code {code}"))

    def spawn(self, work) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def set_up(self) -> None:
        """All processes, until each limiter listens (and has a list, where it starts with one).
        Servers come first: what is told of them names when they started.
        """
        self.failed = asyncio.get_running_loop().create_future()
        told, f = self.told, self.told.fleet
        rehearsal = msgspec.to_builtins(told)
        links = [
            {"name": name, "port": self.link_port[pair], "to": [self.host, self.target(pair)]}
            for pair, name in self.paths.items()
            if pair not in self.relays
        ]
        relays = [
            {
                "name": self.paths[a, b],
                "port": self.link_port[a, b],
                "back": self.paths[b, a],
                "to": [self.host, self.peer_port[int(b[1:])]],
            }
            for a, b in self.relays
        ]
        await self.child("links", "links", [], lambda: {"links": links, "relays": relays})
        await self.child(
            "counter",
            "counter",
            ["counter"],
            lambda: {
                "ports": [self.listens[f"counter{n}"] for n in range(f.limiters)],
                "latency_s": told.counter.latency_ms / 1000,
            },
        )
        groups: dict[str, list[int]] = {}
        for m in range(f.servers):
            groups.setdefault(told.process(f"s{m}"), []).append(m)
        for name, group in groups.items():
            await self.child(
                "servers",
                name,
                [f"s{m}" for m in group],
                lambda group=group: {
                    "rehearsal": rehearsal,
                    "servers": [
                        {"index": m, "port": self.listens[f"s{m}"], "cold": self.cold[m]}
                        for m in group
                    ],
                },
            )
        await self.child(
            "discovery",
            "discovery",
            ["discovery"],
            lambda: {
                "ports": [self.listens[f"discovery{n}"] for n in range(f.limiters)],
                "addresses": [
                    [self.address(f"l{n}", f"s{m}") for m in range(f.servers)]
                    for n in range(f.limiters)
                ],
                "members": [self.member(m) for m in range(f.servers)],
                "late_s": told.discovery.late_s,
                "bears": told.discovery.bears,
            },
        )
        for n in range(told.load.drivers):
            await self.child(
                "driver",
                f"driver{n}",
                [],
                lambda n=n: {
                    "rehearsal": rehearsal,
                    "part": n,
                    "seed": self.seed,
                    "ports": [
                        [self.link_port[f"clients:{z}", f"l{k}"] for k in range(f.limiters)]
                        for z in f.zones
                    ],
                },
            )
        if told.known:
            await asyncio.gather(*(self.limiter(n) for n in range(f.limiters)))
            await asyncio.gather(*(self.ready(n, START_WITHIN) for n in range(f.limiters)))

    async def ready(self, n: int, within: float) -> None:
        """Waits until a limiter answers its health call with 200; no longer where this life is
        ended by a fault of the timeline, which may come before it is ready.
        """
        end, proc = time.monotonic() + within, self.procs[f"l{n}"]
        life = proc.life
        while time.monotonic() < end:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                reader, writer = await asyncio.open_connection(self.host, self.listens[f"l{n}"])
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: stage\r\nConnection: close\r\n\r\n")
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 1.0)
                writer.close()
                if head[9:12] == b"200":
                    self.trail("ready", f"l{n}")
                    return
            if proc.life is not life or (life.returncode is not None and proc.planned):
                return
            if not proc.alive:
                raise StageError(f"l{n} ended before it was ready; see {self.out / 'log'}")
            await asyncio.sleep(0.02)
        raise StageError(f"l{n} was not ready within {within:.0f} s; see {self.out / 'log'}")

    # playing

    async def play(self, tick: Callable[[float], None] | None = None) -> None:
        """The whole timeline, from the first traffic to the last answer."""
        told = self.told
        self.began = time.time() + 0.2
        self.trail("began", self.seed, at=self.began)
        drivers = [p for p in self.procs.values() if p.name.startswith("driver")]
        for driver in drivers:
            driver.order(do="begin", at=self.began)
        if not told.known:  # all limiters start with the traffic, with no list
            for n in range(told.fleet.limiters):
                self.spawn(self.guarded(self.limiter_cold(n)))
        for n, fault in enumerate(told.faults):
            self.spawn(self.guarded(self.fault(n, fault)))
        ends = asyncio.gather(*(d.done.wait() for d in drivers))
        longest = max(g.client_timeout_ms for g in told.frontends) / 1000
        limit = self.began + told.seconds + longest + 10
        while not ends.done():
            await asyncio.wait(
                [ends, self.failed], timeout=0.25, return_when=asyncio.FIRST_COMPLETED
            )
            if self.failed.done():
                ends.cancel()
                self.failed.result()
            if time.time() > limit:
                ends.cancel()
                raise StageError("the drivers did not end in time")
            if tick:
                tick(min(told.seconds, max(0.0, time.time() - self.began)))
        for n in self.awaited:
            names = ", ".join(told.faults[n].who)
            raise StageError(
                f"faults[{n}] never came: discovery did not tell all of {names} a list"
            )

    async def limiter_cold(self, n: int) -> None:
        await self.limiter(n)
        await self.ready(n, START_WITHIN + self.told.seconds)

    async def guarded(self, work) -> None:
        try:
            await work
        except Exception as why:
            if not self.failed.done():
                self.failed.set_exception(
                    why if isinstance(why, StageError) else StageError(repr(why))
                )

    async def until(self, second: float) -> None:
        await asyncio.sleep(max(0.0, self.began + second - time.time()))

    async def fault(self, n: int, fault: Fault) -> None:
        await self.until(fault.at)
        since = fault.at
        if fault.once:
            await asyncio.gather(*(self.procs[name].told.wait() for name in self.who(fault)))
            since = max(since, time.time() - self.began)
            self.awaited.discard(n)
        # on a busy machine it may not have started yet
        if fault.do in ("kill", "term", "stop", "hup"):
            await asyncio.gather(*(proc.started.wait() for proc in self.procs_of(fault)))
        self.trail("fault", n, fault.do, True)
        after = getattr(self, f"do_{fault.do}", None)
        if after is not None:
            await after(fault)
        else:
            self.toggle(fault, True)
        if fault.for_s > 0:
            await self.until(since + fault.for_s)
            self.trail("fault", n, fault.do, False)
            if (back := getattr(self, f"undo_{fault.do}", None)) is not None:
                await back(fault)
            elif after is None:
                self.toggle(fault, False)

    def who(self, fault: Fault, key: str = "who") -> list[str]:
        f = self.told.fleet
        return [x for name in getattr(fault, key) for x in nodes(f, name)]

    def procs_of(self, fault: Fault) -> list[Proc]:
        return [
            self.procs[name]
            for name in dict.fromkeys(self.told.process(x) for x in self.who(fault))
        ]

    def servers_of(self, fault: Fault) -> list[int]:
        return [int(x[1:]) for x in self.who(fault) if x[0] == "s"]

    def toggle(self, fault: Fault, on: bool) -> None:
        """The faults that are an order to one stand-in."""
        told, factor = self.told, fault.factor
        match fault.do:
            case "counter_slow":
                self.procs["counter"].order(do=fault.do, factor=factor if on else 1.0)
            case "counter_silent" | "counter_split" | "counter_wipe":
                if on or fault.do != "counter_wipe":
                    self.procs["counter"].order(do=fault.do, on=on)
            case "discovery_silent":
                self.procs["discovery"].order(do=fault.do, on=on)
            case "discovery_late":
                self.procs["discovery"].order(
                    do=fault.do, s=factor if on else told.discovery.late_s
                )
            case "discovery_half":
                self.procs["discovery"].order(do=fault.do, share=fault.share if on else 1.0)
            case "discovery_bears":
                self.procs["discovery"].order(
                    do=fault.do, bears=factor if on else told.discovery.bears
                )
            case "flood":
                for p in self.procs.values():
                    if p.name.startswith("driver"):
                        p.order(do="flood", plan=fault.plan, factor=factor if on else 1.0)
            case "slow" | "fail":
                for p in self.procs_of(fault):
                    mine = [m for m in self.servers_of(fault) if f"s{m}" in p.nodes]
                    p.order(
                        do=fault.do,
                        servers=mine,
                        factor=factor if on else 1.0,
                        share=fault.share if on else 0.0,
                    )

    # links

    def between(self, some: set[str], others: set[str]) -> list[tuple[str, str]]:
        """The paths with one end here and one there."""
        return [
            p
            for p in self.paths
            if (p[0] in some and p[1] in others) or (p[1] in some and p[0] in others)
        ]

    def paths_of(self, fault: Fault) -> list[tuple[str, str]]:
        """The paths a fault on links means. A zone's own clients are on its side of a cut."""
        some = set(self.who(fault))
        f = self.told.fleet
        if fault.do == "cut" and not fault.other:
            for z in f.zones:
                if set(nodes(f, f"limiters:{z}")) <= some and nodes(f, f"limiters:{z}"):
                    some.add(f"clients:{z}")
        ends = {x for p in self.paths for x in p}
        return self.between(some, set(self.who(fault, "other")) or ends - some)

    def link(self, do: str, paths: list[tuple[str, str]], **more: object) -> None:
        self.procs["links"].order(do=do, links=[self.paths[p] for p in paths], **more)

    def settle(self, paths: list[tuple[str, str]]) -> None:
        """Tells the links which directions do not pass, by all cuts that stand."""
        held: dict[tuple[str, str], set[str]] = {p: set() for p in paths}
        for fault in self.cuts:
            some = set(self.who(fault))
            for pair in self.paths_of(fault):
                if pair in held:
                    to_some = pair[1] in some
                    held[pair] |= {
                        "both": {"forth", "back"},
                        "to": {"forth" if to_some else "back"},
                        "from": {"back" if to_some else "forth"},
                    }[fault.way]
        ways: dict[tuple[bool, bool], list[tuple[str, str]]] = {}
        for pair, directions in held.items():
            ways.setdefault(("forth" in directions, "back" in directions), []).append(pair)
        for (forth, back), some_paths in ways.items():
            if forth or back:
                self.link("cut", some_paths, forth=forth, back=back)
            else:
                self.link("heal", some_paths)
        self.trail("cut", [[*p, sorted(d)] for p, d in held.items()])

    async def do_cut(self, fault: Fault) -> None:
        self.cuts.append(fault)
        self.settle(self.paths_of(fault))

    async def undo_cut(self, fault: Fault) -> None:
        self.cuts = [cut for cut in self.cuts if cut is not fault]
        self.settle(self.paths_of(fault))

    async def do_reset(self, fault: Fault) -> None:
        self.link("reset", self.paths_of(fault))

    async def do_delay(self, fault: Fault) -> None:
        self.link("delay", self.paths_of(fault), s=fault.factor / 1000)

    async def undo_delay(self, fault: Fault) -> None:
        self.link("delay", self.paths_of(fault), s=0.0)

    # processes

    async def do_kill(self, fault: Fault) -> None:
        for proc in self.procs_of(fault):
            proc.planned = True
            proc.signal(signal.SIGKILL)

    async def undo_kill(self, fault: Fault) -> None:
        await asyncio.gather(*(self.back(proc) for proc in self.procs_of(fault)))
        self.tell_list(self.servers_of(fault), "active")

    async def back(self, proc: Proc) -> None:
        """A process starts again; its servers are cold, its limiter knows nothing but its
        configuration.
        """
        if proc.life is not None:
            await proc.life.wait()
        for node in proc.nodes:
            if node[0] == "s":
                self.cold[int(node[1:])] = True
        await self.live(proc)
        if proc.name in self.limiters:
            await self.ready(int(proc.name[1:]), START_WITHIN)

    async def do_term(self, fault: Fault) -> None:
        for proc in self.procs_of(fault):
            proc.planned = True
            proc.signal(signal.SIGTERM)

    undo_term = undo_kill

    async def do_stop(self, fault: Fault) -> None:
        for proc in self.procs_of(fault):
            proc.signal(signal.SIGSTOP)
            self.trail("stopped", proc.name, True)

    async def undo_stop(self, fault: Fault) -> None:
        for proc in self.procs_of(fault):
            proc.signal(signal.SIGCONT)
            self.trail("stopped", proc.name, False)

    async def do_hup(self, fault: Fault) -> None:
        if fault.text:
            (self.out / "plan.toml").write_text(fault.text)
        for proc in self.procs_of(fault):
            proc.signal(signal.SIGHUP)

    async def do_vanish(self, fault: Fault) -> None:
        """Silence first, so that nobody sees the resets of a dying process; then death."""
        self.cuts.append(fault)
        self.settle(self.paths_of(fault))
        await asyncio.sleep(0.05)  # the links have it by then
        await self.do_kill(fault)
        if fault.told_s >= 0 and (servers := self.servers_of(fault)):
            self.spawn(self.tell_later(fault, servers))

    async def tell_later(self, fault: Fault, servers: list[int]) -> None:
        await self.until(fault.at + fault.told_s)
        if fault.for_s <= 0 or fault.told_s < fault.for_s:
            self.tell_list(servers, "left")

    async def undo_vanish(self, fault: Fault) -> None:
        await asyncio.gather(*(self.back(proc) for proc in self.procs_of(fault)))
        self.link("reset", self.paths_of(fault))
        await self.undo_cut(fault)
        self.tell_list(self.servers_of(fault), "active")

    async def do_list(self, fault: Fault) -> None:
        self.tell_list(self.servers_of(fault), fault.phase)

    async def undo_list(self, fault: Fault) -> None:
        self.tell_list(self.servers_of(fault), "active")

    def tell_list(self, servers: list[int], phase: str) -> None:
        if servers:
            rows = [{"server": m, **self.member(m), "phase": phase} for m in servers]
            self.procs["discovery"].order(do="list", rows=rows)

    # ending

    async def close(self) -> None:
        """Ends every process and waits for each. Limiters get SIGTERM first."""
        for task in list(self.tasks):
            if task.get_coro().__name__ != "watch":
                task.cancel()
        limiters = [self.procs[n] for n in self.limiters if n in self.procs and self.procs[n].alive]
        for proc in limiters:
            proc.planned = True
            proc.signal(signal.SIGCONT)
            proc.signal(signal.SIGTERM)
        if limiters:
            await asyncio.wait(
                [asyncio.ensure_future(p.life.wait()) for p in limiters], timeout=END_WITHIN
            )
        for proc in self.procs.values():
            proc.planned = True
            proc.signal(signal.SIGKILL)
        for proc in self.procs.values():
            if proc.life is not None:
                await proc.life.wait()
                # its pipes too, at once and not when the collector comes
                proc.life._transport.close()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.failed is not None and self.failed.done() and not self.failed.cancelled():
            self.failed.exception()  # taken note of


async def stage(
    told: Rehearsal,
    seed: int,
    out: Path,
    plan: bytes = b"",
    tick: Callable[[float], None] | None = None,
    program: tuple[str, ...] = LIMITER,
) -> None:
    """One rehearsal from first to last process; a cancelled one ends all of its processes as
    well.
    """
    held = Stage(told, seed, out, plan, program)
    try:
        await held.set_up()
        await held.play(tick)
    finally:
        await asyncio.shield(held.close())


def alive(pid: int) -> bool:
    """Whether a process is there and no zombie."""
    try:
        with open(f"/proc/{pid}/stat") as file:
            return file.read().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


def pids(out: Path) -> list[int]:
    """Every process that a rehearsal in this folder has started."""
    with open(out / "trail" / "stage.jsonl", "rb") as file:
        rows = [msgspec.json.decode(line) for line in file]
    return [row[3] for row in rows if row[0] == "up"]
