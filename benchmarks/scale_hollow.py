"""Hollow limiters and servers: the real wire, sessions, news, heartbeats and counts, but no traffic
path.

Many in one process (`python -m benchmarks.scale_hollow`, started by `scale_run`). A hollow limiter
is the proxy's own `Sessions`, `InstanceView`, `SharedClock` and `CounterClient`, on a `TcpNetwork`
of its own, so with connections of its own; it has no listener, no module and no request. A hollow
server is its heartbeats by HTTP/1.1 on a connection that it keeps. Orders come as lines of JSON on
standard input and are answered on standard output; the process ends with its input. Besides,
servers that answer at once, and clients.
"""

from __future__ import annotations

import asyncio
import json
import resource
import sys
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import replace
from random import Random
from typing import Any

from absl import logging

from loomstand.admission.actions import IncrementCounter
from loomstand.admission.identifiers import stable_digest
from loomstand.admission.outcome import Outcome
from loomstand.config.settings import Settings, parse_settings
from loomstand.config.units import format_address
from loomstand.proxy.counter_client import CounterClient
from loomstand.proxy.instance_view import InstanceView
from loomstand.proxy.sessions import Sessions
from loomstand.proxy.shared_clock import SharedClock
from loomstand.registry.instances import DRAINING, GONE, READY
from loomstand.rpc import tcp_connection
from loomstand.rpc.frames import Frame
from loomstand.rpc.messages.rows import InstanceRow
from loomstand.rpc.messages.session_messages import LimiterSetRow, TenantTotalRow
from loomstand.rpc.network import Address, Body
from loomstand.rpc.tcp_connection import ClientConnection
from loomstand.rpc.tcp_network import TcpNetwork

INTERVAL = 2.0  # s, of a count's name: a burst of twice the rate, as at the sites
KEEP = 7.0  # s that a sum is kept: three intervals and a second, as the module asks
SERVER_WAITS = 1.0  # s that a server waits for the acknowledgement of a heartbeat
NAMES = 1 << 15

Figures = dict[str, Any]


class Wire:
    """Messages and bytes of this process's hollow limiters, by operation; frames, without TCP's
    own.
    """

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self.failed: Counter[str] = Counter()
        self.bytes_out = self.bytes_in = 0

    def figures(self) -> Figures:
        return {
            "calls": dict(self.calls),
            "failed": dict(self.failed),
            "bytes_out": self.bytes_out,
            "bytes_in": self.bytes_in,
        }


class CountedConnection(ClientConnection):
    """A connection whose bytes are counted."""

    def data_received(self, data: bytes) -> None:
        self.owner.wire.bytes_in += len(data)
        super().data_received(data)


class HollowNetwork(TcpNetwork):
    """The real network of sockets, counted."""

    client_connection_type = CountedConnection

    def __init__(self, wire: Wire) -> None:
        super().__init__()
        self.wire = wire

    async def call(self, address: Address, op: str, body: Body, within: float) -> Any:
        self.wire.calls[op] += 1
        got = await super().call(address, op, body, within)
        if got.is_error():
            self.wire.failed[f"{op} {got.error.name.lower()}"] += 1
        return got


class HollowLimiter:
    """One limiter without a traffic path. It hears what `proxy.sessions.SessionListener` lists."""

    def __init__(self, settings: Settings, wire: Wire, seen: Seen, rng: Random) -> None:
        self.loop = asyncio.get_running_loop()
        self.seen, self.lists, self.common = seen, InstanceView(), SharedClock()
        self.network = HollowNetwork(wire)
        self.sessions = Sessions(settings, self.network, self.loop.time, rng, self)
        # the proxy's own code: a step to the counter, and again what it lacks of the steps before
        self.counter_client = CounterClient(self.sessions, self.loop, self.now, self.counted)
        self.served: set[str] = set()
        self.fleet = (0, 0, 0)
        self.sure = False
        self.begun = time.monotonic()
        self.counts: dict[str, int] = {"passed": 0, "failed": 0}

    def start(self) -> None:
        self.begun = time.monotonic()
        self.sessions.start()

    def now(self) -> int:
        return round(self.loop.time() * 10_000)

    # from the registries

    def update_instances(
        self, registry: str, rows: Sequence[InstanceRow], is_new_session: bool
    ) -> None:
        for id_ in self.lists.update(registry, rows, is_new_session):
            use = self.lists.instances[id_].availability
            if use == READY:
                self.served.add(id_)
            else:
                self.served.discard(id_)
                if use in (DRAINING, GONE):
                    self.seen.gone(id_)
        self.seen.look(self)

    def update_limiters(self, limiters: LimiterSetRow) -> None:
        self.fleet = (limiters.rank, limiters.total, limiters.silent)

    def apply_configuration(self, version: int, data: bytes) -> bool:
        self.seen.forced(version)  # what a proxy does then, it does in a process of its own
        self.seen.size = len(data)
        self.seen.look(self)
        return True

    def update_tenant_totals(self, totals: Sequence[TenantTotalRow]) -> None:
        self.seen.full += 1

    def update_clock(self, shared_clock: int | None, is_current: bool) -> None:
        self.sure = self.sure or is_current
        if shared_clock is not None:
            self.common.observe(shared_clock, self.now())
        self.seen.look(self)

    def shared_clock_reading(self) -> int | None:
        return self.now() + self.common.offset if self.common.is_set else None

    # counts

    def step(self, tenant: int) -> None:
        """One step of a tenant's use, as the module would have it counted."""
        k = (self.now() + self.common.offset) // round(INTERVAL * 10_000)
        name = tenant << 15 | k % NAMES
        self.counter_client.increment(IncrementCounter(name, 1.0, round(KEEP * 10_000)))

    def counted(self, name: int, outcome: Outcome, total: float, took: int) -> None:
        passed = outcome is Outcome.SUCCEEDED
        self.counts["passed" if passed else "failed"] += 1
        if passed:
            self.seen.counted(took)

    def close(self) -> None:
        self.network.close()


class Seen:
    """When the limiters of this process had what; times by the machine's steady clock, which all
    share.
    """

    def __init__(self) -> None:
        self.servers = 0  # that a limiter must know to be whole
        self.version = 0
        self.size = self.full = 0
        self.whole: dict[HollowLimiter, float] = {}
        self.forced_at: dict[int, list[float]] = {}
        self.gone_at: dict[str, list[float]] = {}
        self.counts: list[float] = []
        self.passed_at: list[float] = []

    def forced(self, version: int) -> None:
        self.forced_at.setdefault(version, []).append(time.monotonic())

    def gone(self, id_: str) -> None:
        if id_ in self.gone_at:
            self.gone_at[id_].append(time.monotonic())

    def look(self, limiter: HollowLimiter) -> None:
        """Notes when a limiter has the configuration, all servers, and that these are the
        newest.
        """
        known = limiter.sure and limiter.sessions.configuration.version >= self.version
        if limiter not in self.whole and known and len(limiter.served) >= self.servers:
            self.whole[limiter] = time.monotonic()

    def counted(self, took: int) -> None:
        if len(self.counts) < 100_000:
            self.counts.append(took / 10)
            self.passed_at.append(time.monotonic())


def headers(head: bytes) -> dict[bytes, bytes]:
    """The fields of an answer's head, in small letters."""
    return dict(line.lower().split(b":", 1) for line in head.split(b"\r\n")[1:] if b":" in line)


class HollowServer:
    """One server: its heartbeats. Calls go to the next registry where one fails, as the protocol
    has it.
    """

    def __init__(
        self, n: int, service: str, zone: str, place: str, controls: list[Address], every: float
    ) -> None:
        self.id, self.service, self.zone, self.place = f"i-{n:08x}", service, zone, place
        self.controls, self.every, self.at = controls, every, n % len(controls)
        self.sequence, self.state, self.acked = 0, "ready", 0
        self.wire: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.task: asyncio.Task[None] | None = None
        self.failed = self.opened = 0

    def start(self, after: float) -> None:
        self.task = asyncio.get_running_loop().create_task(self.live(after))

    async def live(self, after: float) -> None:
        await asyncio.sleep(after)
        while True:
            begun = time.monotonic()
            await self.beat()
            await asyncio.sleep(max(0.0, begun + self.every - time.monotonic()))

    async def beat(self) -> bool:
        """One heartbeat, at up to three registries; whether it was acknowledged."""
        self.sequence += 1
        body = json.dumps(
            {
                "address": self.place,
                "information": {
                    "service_name": self.service,
                    "version": "v1",
                    "zone": self.zone,
                    "capacity_slots": 2,
                },
                "status": {"state": self.state, "sequence": self.sequence, "cold_remaining": "0ms"},
            }
        ).encode()
        for _ in range(3):
            try:
                async with asyncio.timeout(SERVER_WAITS):
                    status = await self.post("instances.heartbeat", body)
                if status == 200:
                    self.acked += 1
                    return True
            except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
                pass
            self.failed += 1
            self.close()
            self.at = (self.at + 1) % len(self.controls)
        return False

    async def post(self, call: str, body: bytes) -> int:
        if self.wire is None or self.wire[1].is_closing():
            self.opened += 1
            self.wire = await asyncio.open_connection(*self.controls[self.at])
        reader, writer = self.wire
        head = (
            f"POST /api/rpc?call={call}&of={self.id} HTTP/1.1\r\nHost: registry\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        answer = await reader.readuntil(b"\r\n\r\n")
        fields = headers(answer)
        await reader.readexactly(int(fields.get(b"content-length", b"0")))
        return int(answer[9:12])

    def close(self) -> None:
        if self.wire is not None:
            self.wire[1].transport.abort()
            self.wire = None


async def origin(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A server's end of one connection: each request is answered at once, as the protocol has
    it.
    """
    body = b"x" * 400
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            at = head.lower().find(b"loomstand-request-id:")
            id_ = head[at + 21 : head.find(b"\r", at)].strip() if at >= 0 else b"none"
            writer.write(
                b"HTTP/1.1 200 OK\r\nLoomstand-Request-Id: "
                + id_
                + b"\r\nLoomstand-Response-Stamp: 1.2.3\r\nContent-Length: 400\r\n\r\n"
                + body
            )
    except (OSError, asyncio.IncompleteReadError):
        writer.close()


class Load:
    """Clients of one address; an open loop, so that a slow answer doesn't spare the next."""

    def __init__(self, where: Address, routes: int, tenants: int, rng: Random) -> None:
        self.where, self.routes, self.tenants, self.rng = where, routes, tenants, rng
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.statuses: Counter[str] = Counter()
        self.took: list[float] = []
        self.asked = 0

    async def one(self, due: float) -> None:
        self.asked += 1
        n = self.rng.randrange(self.routes)
        head = (
            f"GET /p{n}/x HTTP/1.1\r\nHost: host{n % 97}.example\r\n"
            f"Loomstand-Request-Id: {self.asked:016x}\r\n"
            f"Loomstand-Deadline-Remaining: 2000\r\n"
            f"Authorization: Bearer key-of-tenant-{self.rng.randrange(self.tenants)}\r\n\r\n"
        )
        try:
            async with asyncio.timeout(2.0):
                pair = self.idle.pop() if self.idle else await asyncio.open_connection(*self.where)
                pair[1].write(head.encode())
                answer = await pair[0].readuntil(b"\r\n\r\n")
                fields = headers(answer)
                await pair[0].readexactly(int(fields.get(b"content-length", b"0")))
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as why:
            self.statuses[type(why).__name__] += 1
            return
        self.took.append(1000 * (time.monotonic() - due))
        self.statuses[answer[9:12].decode()] += 1
        if b"close" in fields.get(b"connection", b""):
            pair[1].close()
        else:
            self.idle.append(pair)

    async def run(self, rate: float, seconds: float) -> Figures:
        tasks, due = [], time.monotonic()
        ends = due + seconds
        while (due := due + self.rng.expovariate(rate)) < ends:
            if (early := due - time.monotonic()) > 0:
                await asyncio.sleep(early)
            tasks.append(asyncio.get_running_loop().create_task(self.one(due)))
        await asyncio.gather(*tasks)
        for _, writer in self.idle:
            writer.close()
        return {"statuses": dict(self.statuses), "ms": self.took}


class Worker:
    """The hollow ones of this process, and the orders that it takes."""

    def __init__(self) -> None:
        self.wire, self.seen, self.rng = Wire(), Seen(), Random(1)
        self.limiters: list[HollowLimiter] = []
        self.servers: dict[str, HollowServer] = {}
        self.steps: asyncio.Task[None] | None = None
        self.listening: list[asyncio.Server] = []

    async def order(self, said: dict[str, Any]) -> Figures:
        return await getattr(self, f"do_{said.pop('do')}")(**said)

    async def do_limiters(
        self, settings: str, first: int, many: int, spread: float, servers: int, version: int
    ) -> Figures:
        """Starts limiters, by chance over `spread` seconds; whole once they know so many
        servers.
        """
        self.rng = Random(first)
        known, self.seen.servers, self.seen.version = parse_settings(settings), servers, version
        for n in range(first, first + many):
            mine = replace(known, node_name=f"hollow-{n}")
            limiter = HollowLimiter(mine, self.wire, self.seen, Random(n))
            self.limiters.append(limiter)
            asyncio.get_running_loop().call_later(self.rng.uniform(0, spread), limiter.start)
        return {}

    async def do_servers(
        self,
        first: int,
        many: int,
        services: int,
        zones: list[str],
        controls: list[list[Any]],
        every: float,
        spread: float,
        places: list[str] | None = None,
    ) -> Figures:
        where = [(str(ip), int(port)) for ip, port in controls]
        for n in range(first, first + many):
            place = format_address((f"10.{n >> 16 & 255}.{n >> 8 & 255}.{n & 255}", 8080))
            place = places[n - first] if places else place
            server = HollowServer(
                n, f"service-{n % services}", zones[n % len(zones)], place, where, every
            )
            self.servers[server.id] = server
            server.start(self.rng.uniform(0, spread))
        return {}

    async def do_counts(self, rate: float, tenants: int) -> Figures:
        """Steps a second and limiter from now on, of tenants of which a few are large; 0 ends
        them.
        """
        if self.steps is not None:
            self.steps.cancel()
            self.steps = None
        self.seen.counts.clear()
        self.seen.passed_at.clear()
        if rate > 0 and self.limiters:
            self.steps = asyncio.get_running_loop().create_task(
                self.count(rate * len(self.limiters), tenants)
            )
        return {}

    async def count(self, rate: float, tenants: int) -> None:
        rng, digests = Random(7), [stable_digest(f"tenant-{n}") for n in range(tenants)]
        weights = [1 / (n + 1) for n in range(tenants)]
        due = time.monotonic()
        while True:
            due = max(due + rng.expovariate(rate), time.monotonic() - 1.0)
            if (early := due - time.monotonic()) > 0:
                await asyncio.sleep(early)
            rng.choice(self.limiters).step(rng.choices(digests, weights)[0])

    async def do_watch(self, ids: list[str]) -> Figures:
        self.seen.gone_at |= {id_: [] for id_ in ids}
        return {}

    async def do_origins(self, addresses: list[list[Any]]) -> Figures:
        """Servers that answer requests at once, for the proxy's own time and work by request."""
        for ip, port in addresses:
            self.listening.append(await asyncio.start_server(origin, str(ip), int(port)))
        return {}

    async def do_load(
        self, ip: str, port: int, rate: float, seconds: float, routes: int, tenants: int, seed: int
    ) -> Figures:
        """Requests at a rate, whatever comes back, on kept connections: statuses, and times in ms
        from when each was due.
        """
        load = Load((ip, port), routes, tenants, Random(seed))
        return await load.run(rate, seconds)

    async def do_drain(self, id: str) -> Figures:
        """A server says that it drains; when it did, and when that was acknowledged."""
        server = self.servers[id]
        if server.task is not None:
            server.task.cancel()
        server.close()
        server.state, began = "draining", time.monotonic()
        acked = await server.beat()
        ended = time.monotonic()
        server.start(server.every)
        return {"began": began, "acked": ended if acked else None}

    async def do_await(self, version: int, servers: int) -> Figures:
        """From now on a limiter is whole anew, once it has this version and so many servers."""
        self.seen.version, self.seen.servers = version, servers
        self.seen.whole.clear()
        for limiter in self.limiters:
            limiter.sure = False
        return {}

    async def do_figures(self, clear: bool = False) -> Figures:
        """Everything that is known here."""
        use, seen = resource.getrusage(resource.RUSAGE_SELF), self.seen
        passed = sum(limiter.counts["passed"] for limiter in self.limiters)
        said = self.wire.figures() | {
            "limiters": len(self.limiters),
            "servers": len(self.servers),
            "whole": sorted(at - limiter.begun for limiter, at in seen.whole.items()),
            "whole_at": sorted(seen.whole.values()),
            "passed_at": seen.passed_at,
            "forced": {str(version): sorted(at) for version, at in seen.forced_at.items()},
            "gone": {id_: sorted(at) for id_, at in seen.gone_at.items()},
            "known": sum(len(limiter.served) for limiter in self.limiters),
            "standing": sum(len(limiter.sessions.last_answer_at) for limiter in self.limiters),
            "fleet": max((limiter.fleet[1] for limiter in self.limiters), default=0),
            "counted": passed,
            "uncounted": sum(limiter.counts["failed"] for limiter in self.limiters),
            "count_ms": seen.counts[:20_000],
            "size": seen.size,
            "beats": sum(server.acked for server in self.servers.values()),
            "beats_failed": sum(server.failed for server in self.servers.values()),
            "opened": sum(server.opened for server in self.servers.values()),
            "cpu": [use.ru_utime, use.ru_stime],
        }
        if clear:
            seen.counts.clear()
            seen.forced_at.clear()
        return said

    async def do_stop(self) -> Figures:
        await self.do_counts(0.0, 0)
        for server in self.servers.values():
            if server.task is not None:
                server.task.cancel()
            server.close()
        for limiter in self.limiters:
            for task in limiter.sessions.tasks.values():
                task.cancel()
            limiter.close()
        return {}


async def main() -> None:
    logging.set_verbosity(logging.ERROR)
    loop, worker, pack = asyncio.get_running_loop(), Worker(), tcp_connection.encode_frame

    def packed(frame: Frame) -> bytes:
        raw = pack(frame)
        worker.wire.bytes_out += len(raw)
        return raw

    tcp_connection.encode_frame = packed  # of the hollow limiters' connections
    reader = asyncio.StreamReader(limit=64 << 20)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        said = json.loads(line)
        last = said["do"] == "stop"
        try:
            answer = await worker.order(said)
        except Exception as why:  # the run's fault, not the limiters': it hears of it and ends
            answer = {"error": f"{type(why).__name__}: {why}"}
        sys.stdout.write(json.dumps(answer) + "\n")
        sys.stdout.flush()
        if last:
            return


if __name__ == "__main__":
    asyncio.run(main())
