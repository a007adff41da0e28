"""Hollow limiters and servers: real control traffic without a path for requests.

A process (`python -m benchmarks.scale_hollow`, started by `scale_run`) runs many of them. A hollow
limiter has the proxy's `Sessions`, `InstanceView`, `SharedClock` and `CounterClient` on its own
`TcpNetwork`, and so its own connections; it has no listener, no decision engine and no requests. A
hollow server sends its heartbeats by HTTP/1.1 on a kept connection. Orders are lines of JSON on
standard input, answered on standard output; the process ends at the end of its input. It can also
run servers that answer at once, and clients.
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

INTERVAL_SECONDS = 2.0  # of a counter name: a burst of twice the rate, as at the sites
RETENTION_SECONDS = 7.0  # of a total: three intervals and a second, as the decision engine asks
HEARTBEAT_TIMEOUT_SECONDS = 1.0  # for the acknowledgement of a heartbeat
INTERVAL_NUMBERS = 1 << 15  # the interval number in a counter name is modulo this

Figures = dict[str, Any]


class Traffic:
    """Calls by operation and bytes of frames, of all hollow limiters of this process."""

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
        self.owner.traffic.bytes_in += len(data)
        super().data_received(data)


class HollowNetwork(TcpNetwork):
    """The TCP network of the programs, with counts of its calls and bytes."""

    client_connection_type = CountedConnection

    def __init__(self, traffic: Traffic) -> None:
        super().__init__()
        self.traffic = traffic

    async def call(self, address: Address, op: str, body: Body, within: float) -> Any:
        self.traffic.calls[op] += 1
        result = await super().call(address, op, body, within)
        if result.is_error():
            self.traffic.failed[f"{op} {result.error.name.lower()}"] += 1
        return result


class HollowLimiter:
    """A limiter without a path for requests; it implements `proxy.sessions.SessionListener`."""

    def __init__(
        self, settings: Settings, traffic: Traffic, observations: Observations, rng: Random
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.observations, self.view, self.clock = observations, InstanceView(), SharedClock()
        self.network = HollowNetwork(traffic)
        self.sessions = Sessions(settings, self.network, self.loop.time, rng, self)
        # it sends each step to the counter, and repeats the steps that the counter lacks
        self.counter_client = CounterClient(self.sessions, self.loop, self.now, self.record_reply)
        self.ready_ids: set[str] = set()
        self.limiter_set = (0, 0, 0)
        self.is_current = False
        self.started_at = time.monotonic()
        self.counts: dict[str, int] = {"passed": 0, "failed": 0}

    def start(self) -> None:
        self.started_at = time.monotonic()
        self.sessions.start()

    def now(self) -> int:
        return round(self.loop.time() * 10_000)

    # calls of the sessions

    def update_instances(
        self, registry: str, rows: Sequence[InstanceRow], is_new_session: bool
    ) -> None:
        for id_ in self.view.update(registry, rows, is_new_session):
            availability = self.view.instances[id_].availability
            if availability == READY:
                self.ready_ids.add(id_)
            else:
                self.ready_ids.discard(id_)
                if availability in (DRAINING, GONE):
                    self.observations.record_unavailable(id_)
        self.observations.check_complete(self)

    def update_limiters(self, limiters: LimiterSetRow) -> None:
        self.limiter_set = (limiters.rank, limiters.total, limiters.silent)

    def apply_configuration(self, version: int, data: bytes) -> bool:
        # the cost of parsing it is measured in the real proxies
        self.observations.record_configuration(version)
        self.observations.size = len(data)
        self.observations.check_complete(self)
        return True

    def update_tenant_totals(self, totals: Sequence[TenantTotalRow]) -> None:
        self.observations.full += 1

    def update_clock(self, shared_clock: int | None, is_current: bool) -> None:
        self.is_current = self.is_current or is_current
        if shared_clock is not None:
            self.clock.observe(shared_clock, self.now())
        self.observations.check_complete(self)

    def shared_clock_reading(self) -> int | None:
        return self.now() + self.clock.offset if self.clock.is_set else None

    # counter calls

    def count_unit(self, tenant: int) -> None:
        """Counts one unit of a tenant, with the counter name that the decision engine would use."""
        interval = (self.now() + self.clock.offset) // round(INTERVAL_SECONDS * 10_000)
        name = tenant << 15 | interval % INTERVAL_NUMBERS
        self.counter_client.increment(
            IncrementCounter(name, 1.0, round(RETENTION_SECONDS * 10_000))
        )

    def record_reply(self, name: int, outcome: Outcome, total: float, took: int) -> None:
        succeeded = outcome is Outcome.SUCCEEDED
        self.counts["passed" if succeeded else "failed"] += 1
        if succeeded:
            self.observations.record_count(took)

    def close(self) -> None:
        self.network.close()


class Observations:
    """When the limiters of this process learned of changes.

    Times are of the machine's monotonic clock, which all processes share.

    Attributes:
        servers: Number of servers that a limiter must know to be complete.
        version: Configuration version that a limiter must have to be complete.
        size: Bytes of the newest configuration.
        full: Number of updates of tenant totals.
        complete_at: When each limiter had the configuration and all servers.
        configured_at: When limiters got a configuration, by version.
        unavailable_at: When limiters learned that a watched server drains or is gone, by id.
        counts: Durations of counter calls, in ms.
        passed_at: When counter calls succeeded.
    """

    def __init__(self) -> None:
        self.servers = 0
        self.version = 0
        self.size = self.full = 0
        self.complete_at: dict[HollowLimiter, float] = {}
        self.configured_at: dict[int, list[float]] = {}
        self.unavailable_at: dict[str, list[float]] = {}
        self.counts: list[float] = []
        self.passed_at: list[float] = []

    def record_configuration(self, version: int) -> None:
        self.configured_at.setdefault(version, []).append(time.monotonic())

    def record_unavailable(self, id_: str) -> None:
        if id_ in self.unavailable_at:
            self.unavailable_at[id_].append(time.monotonic())

    def check_complete(self, limiter: HollowLimiter) -> None:
        """Records when a limiter first has the newest configuration and all servers."""
        is_newest = limiter.is_current and limiter.sessions.configuration.version >= self.version
        if limiter not in self.complete_at and is_newest and len(limiter.ready_ids) >= self.servers:
            self.complete_at[limiter] = time.monotonic()

    def record_count(self, took: int) -> None:
        if len(self.counts) < 100_000:
            self.counts.append(took / 10)
            self.passed_at.append(time.monotonic())


def headers(head: bytes) -> dict[bytes, bytes]:
    """Returns the header fields of a response, in lower case."""
    return dict(line.lower().split(b":", 1) for line in head.split(b"\r\n")[1:] if b":" in line)


class HollowServer:
    """The heartbeats of a server; after a failed call it uses the next registry, as specified."""

    def __init__(
        self, n: int, service: str, zone: str, address: str, controls: list[Address], every: float
    ) -> None:
        self.id, self.service, self.zone, self.address = f"i-{n:08x}", service, zone, address
        self.controls, self.every, self.control = controls, every, n % len(controls)
        self.sequence, self.state, self.acked = 0, "ready", 0
        self.connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.task: asyncio.Task[None] | None = None
        self.failed = self.opened = 0

    def start(self, after: float) -> None:
        self.task = asyncio.get_running_loop().create_task(self.send_heartbeats(after))

    async def send_heartbeats(self, after: float) -> None:
        await asyncio.sleep(after)
        while True:
            sent_at = time.monotonic()
            await self.send_heartbeat()
            await asyncio.sleep(max(0.0, sent_at + self.every - time.monotonic()))

    async def send_heartbeat(self) -> bool:
        """Sends a heartbeat to up to three registries; returns whether it was acknowledged."""
        self.sequence += 1
        body = json.dumps(
            {
                "address": self.address,
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
                async with asyncio.timeout(HEARTBEAT_TIMEOUT_SECONDS):
                    status = await self.post("instances.heartbeat", body)
                if status == 200:
                    self.acked += 1
                    return True
            except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
                pass
            self.failed += 1
            self.close()
            self.control = (self.control + 1) % len(self.controls)
        return False

    async def post(self, call: str, body: bytes) -> int:
        if self.connection is None or self.connection[1].is_closing():
            self.opened += 1
            self.connection = await asyncio.open_connection(*self.controls[self.control])
        reader, writer = self.connection
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
        if self.connection is not None:
            self.connection[1].transport.abort()
            self.connection = None


async def origin(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answers each request on a connection at once, with the fields that the protocol requires."""
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
    """Clients of one address, as an open loop: the rate doesn't depend on the answers."""

    def __init__(self, address: Address, routes: int, tenants: int, rng: Random) -> None:
        self.address, self.routes, self.tenants, self.rng = address, routes, tenants, rng
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.statuses: Counter[str] = Counter()
        self.took: list[float] = []
        self.sent = 0

    async def send_request(self, due: float) -> None:
        self.sent += 1
        n = self.rng.randrange(self.routes)
        head = (
            f"GET /p{n}/x HTTP/1.1\r\nHost: host{n % 97}.example\r\n"
            f"Loomstand-Request-Id: {self.sent:016x}\r\n"
            f"Loomstand-Deadline-Remaining: 2000\r\n"
            f"Authorization: Bearer key-of-tenant-{self.rng.randrange(self.tenants)}\r\n\r\n"
        )
        try:
            async with asyncio.timeout(2.0):
                connection = (
                    self.idle.pop() if self.idle else await asyncio.open_connection(*self.address)
                )
                connection[1].write(head.encode())
                answer = await connection[0].readuntil(b"\r\n\r\n")
                fields = headers(answer)
                await connection[0].readexactly(int(fields.get(b"content-length", b"0")))
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.statuses[type(error).__name__] += 1
            return
        self.took.append(1000 * (time.monotonic() - due))
        self.statuses[answer[9:12].decode()] += 1
        if b"close" in fields.get(b"connection", b""):
            connection[1].close()
        else:
            self.idle.append(connection)

    async def run(self, rate: float, seconds: float) -> Figures:
        tasks, due = [], time.monotonic()
        ends = due + seconds
        while (due := due + self.rng.expovariate(rate)) < ends:
            if (early := due - time.monotonic()) > 0:
                await asyncio.sleep(early)
            tasks.append(asyncio.get_running_loop().create_task(self.send_request(due)))
        await asyncio.gather(*tasks)
        for _, writer in self.idle:
            writer.close()
        return {"statuses": dict(self.statuses), "ms": self.took}


class Worker:
    """The hollow limiters and servers of this process, and the orders that it executes."""

    def __init__(self) -> None:
        self.traffic, self.observations, self.rng = Traffic(), Observations(), Random(1)
        self.limiters: list[HollowLimiter] = []
        self.servers: dict[str, HollowServer] = {}
        self.counting: asyncio.Task[None] | None = None
        self.listening: list[asyncio.Server] = []

    async def execute(self, order: dict[str, Any]) -> Figures:
        return await getattr(self, f"do_{order.pop('do')}")(**order)

    async def do_limiters(
        self, settings: str, first: int, many: int, spread: float, servers: int, version: int
    ) -> Figures:
        """Starts limiters at random times within `spread` seconds.

        They are complete when they have `version` and `servers` servers.
        """
        self.rng = Random(first)
        base = parse_settings(settings)
        self.observations.servers, self.observations.version = servers, version
        for n in range(first, first + many):
            limiter_settings = replace(base, node_name=f"hollow-{n}")
            limiter = HollowLimiter(limiter_settings, self.traffic, self.observations, Random(n))
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
        """Starts servers at random times within `spread` seconds."""
        registries = [(str(ip), int(port)) for ip, port in controls]
        for n in range(first, first + many):
            address = format_address((f"10.{n >> 16 & 255}.{n >> 8 & 255}.{n & 255}", 8080))
            address = places[n - first] if places else address
            server = HollowServer(
                n, f"service-{n % services}", zones[n % len(zones)], address, registries, every
            )
            self.servers[server.id] = server
            server.start(self.rng.uniform(0, spread))
        return {}

    async def do_counts(self, rate: float, tenants: int) -> Figures:
        """Sets the rate of counter calls per second and limiter; a few tenants are large."""
        if self.counting is not None:
            self.counting.cancel()
            self.counting = None
        self.observations.counts.clear()
        self.observations.passed_at.clear()
        if rate > 0 and self.limiters:
            self.counting = asyncio.get_running_loop().create_task(
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
            rng.choice(self.limiters).count_unit(rng.choices(digests, weights)[0])

    async def do_watch(self, ids: list[str]) -> Figures:
        """Records from now on when limiters learn that these servers are unavailable."""
        self.observations.unavailable_at |= {id_: [] for id_ in ids}
        return {}

    async def do_origins(self, addresses: list[list[Any]]) -> Figures:
        """Starts servers that answer requests at once, to measure the proxy's own time and work."""
        for ip, port in addresses:
            self.listening.append(await asyncio.start_server(origin, str(ip), int(port)))
        return {}

    async def do_load(
        self, ip: str, port: int, rate: float, seconds: float, routes: int, tenants: int, seed: int
    ) -> Figures:
        """Sends requests at a rate on kept connections.

        Returns:
            The statuses, and the response times in ms, each from when the request was due.
        """
        load = Load((ip, port), routes, tenants, Random(seed))
        return await load.run(rate, seconds)

    async def do_drain(self, id: str) -> Figures:
        """Makes a server drain; returns when it began, and when that was acknowledged."""
        server = self.servers[id]
        if server.task is not None:
            server.task.cancel()
        server.close()
        server.state, began = "draining", time.monotonic()
        acked = await server.send_heartbeat()
        ended = time.monotonic()
        server.start(server.every)
        return {"began": began, "acked": ended if acked else None}

    async def do_await(self, version: int, servers: int) -> Figures:
        """Records again when each limiter is complete, with this version and number of servers."""
        self.observations.version, self.observations.servers = version, servers
        self.observations.complete_at.clear()
        for limiter in self.limiters:
            limiter.is_current = False
        return {}

    async def do_figures(self, clear: bool = False) -> Figures:
        """Returns all counts and observations of this process."""
        usage, observations = resource.getrusage(resource.RUSAGE_SELF), self.observations
        passed = sum(limiter.counts["passed"] for limiter in self.limiters)
        figures = self.traffic.figures() | {
            "limiters": len(self.limiters),
            "servers": len(self.servers),
            "whole": sorted(
                at - limiter.started_at for limiter, at in observations.complete_at.items()
            ),
            "whole_at": sorted(observations.complete_at.values()),
            "passed_at": observations.passed_at,
            "forced": {
                str(version): sorted(at) for version, at in observations.configured_at.items()
            },
            "gone": {id_: sorted(at) for id_, at in observations.unavailable_at.items()},
            "known": sum(len(limiter.ready_ids) for limiter in self.limiters),
            "standing": sum(len(limiter.sessions.last_answer_at) for limiter in self.limiters),
            "fleet": max((limiter.limiter_set[1] for limiter in self.limiters), default=0),
            "counted": passed,
            "uncounted": sum(limiter.counts["failed"] for limiter in self.limiters),
            "count_ms": observations.counts[:20_000],
            "size": observations.size,
            "beats": sum(server.acked for server in self.servers.values()),
            "beats_failed": sum(server.failed for server in self.servers.values()),
            "opened": sum(server.opened for server in self.servers.values()),
            "cpu": [usage.ru_utime, usage.ru_stime],
        }
        if clear:
            observations.counts.clear()
            observations.configured_at.clear()
        return figures

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
    loop, worker, encode_frame = (
        asyncio.get_running_loop(),
        Worker(),
        tcp_connection.encode_frame,
    )

    def counted_encode_frame(frame: Frame) -> bytes:
        raw = encode_frame(frame)
        worker.traffic.bytes_out += len(raw)
        return raw

    tcp_connection.encode_frame = counted_encode_frame  # for the hollow limiters' connections
    reader = asyncio.StreamReader(limit=64 << 20)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        order = json.loads(line)
        is_last = order["do"] == "stop"
        try:
            answer = await worker.execute(order)
        except Exception as error:  # reported to the run, which then ends
            answer = {"error": f"{type(error).__name__}: {error}"}
        sys.stdout.write(json.dumps(answer) + "\n")
        sys.stdout.flush()
        if is_last:
            return


if __name__ == "__main__":
    asyncio.run(main())
