"""Stand-ins for servers, clients and the operator, after PROTOCOL.md and the news pages."""

from __future__ import annotations

import asyncio
import json
import random
import socket
import zlib
from dataclasses import dataclass, field

from standin.cluster import CannotRunError, Cluster, exchange, parse_fields, rpc

HEARTBEAT_SECONDS = 1.5
ACKNOWLEDGEMENT_SECONDS = 1.0
NOT_RUN_STATUSES = (408, 421, 429, 503)


def stamp(request_id: str, body: bytes) -> str:
    """Returns the `Loomstand-Response-Stamp` of an answer."""
    return f"3e1b.{request_id}.{zlib.crc32(body):08x}"


@dataclass
class Run:
    """A request that a server has begun to work on."""

    at: float
    server: str
    request_id: str
    answered: bool = False


class Server:
    """A server of a service: beats, answers, drains and leaves as the pages say.

    Attributes:
        slots: Requests that it works on at once; a few more wait.
        long_body_bytes: It begins work on a request with a body of at least this size once it has
            the head, may answer before it has read the body, and reads on later; 0: never.
        lose_answer_each: It loses the answer of each such request that it runs, by a reset; the
            first one after as many others. 0: it loses none.
    """

    slots = 2
    queue = 8

    def __init__(self, cluster: Cluster, service: str, zone: str, ip: str) -> None:
        self.cluster, self.record = cluster, cluster.record
        self.service, self.zone, self.ip = service, zone, ip
        self.id = f"i-{random.SystemRandom().getrandbits(32):08x}"
        self.state, self.sequence = "ready", 0
        self.work_seconds = (0.04, 0.12)
        self.long_body_bytes = 0
        self.receive_buffer_bytes = 0
        self.lose_answer_each = self.since_loss = 0
        self.runs: list[Run] = []
        self.arrived: list[str] = []  # the ids of requests that have come in
        self.busy = self.lost_answers = 0
        self.line: list[object] = []  # the requests that wait for a slot, in order
        self.listener: asyncio.Server | None = None
        self.beats: asyncio.Task[None] | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.receive_buffer_bytes:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer_bytes)
        listening.bind((self.ip, self.cluster.server))
        self.listener = await asyncio.start_server(self.serve, sock=listening, limit=1 << 16)
        self.beats = asyncio.create_task(self.beat())
        self.record.line(f"server {self.id} of {self.service} at {self.ip} starts")

    async def call(self, call: str, body: bytes) -> str:
        """Calls the control plane until a limiter acknowledges; returns that limiter's address."""
        addresses = random.sample(self.cluster.control_addresses, 3)
        pause = 0.02
        while True:
            for address in addresses:
                status, _ = await exchange(
                    self.ip, address, rpc(call, body), ACKNOWLEDGEMENT_SECONDS
                )
                if 200 <= status < 300:
                    return address[0]
            await asyncio.sleep(pause)
            pause = min(0.5, 1.5 * pause)

    async def beat(self) -> None:
        while True:
            self.sequence += 1
            body = {
                "address": f"{self.ip}:{self.cluster.server}",
                "information": {
                    "service_name": self.service,
                    "version": "v1",
                    "zone": self.zone,
                    "capacity_slots": self.slots,
                },
                "status": {
                    "state": self.state,
                    "sequence": self.sequence,
                    "cold_remaining": "0ms",
                },
            }
            await self.call(f"instances.heartbeat&of={self.id}", json.dumps(body).encode())
            await asyncio.sleep(HEARTBEAT_SECONDS * random.uniform(0.9, 1.1))

    async def leave(self) -> float:
        """Sends no more beats and says that it leaves; returns when that was acknowledged."""
        self.beats.cancel()
        self.record.line(f"server {self.id} at {self.ip} sends leave")
        limiter = await self.call(f"instances.leave&of={self.id}", b"")
        acknowledged_at = self.record.now()
        self.record.line(f"server {self.id} leave acknowledged by {limiter}")
        return acknowledged_at

    def end(self) -> int:
        """Ends the server; returns the number of requests that it was working on."""
        self.beats.cancel()
        self.listener.close()
        for writer in self.writers:
            writer.transport.abort()
        for task in self.tasks:
            task.cancel()
        self.record.line(f"server {self.id} at {self.ip} ends, {self.busy} requests at work")
        return self.busy

    # requests

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        fields = parse_fields(head)
        length = int(fields.get("content-length", "0"))
        request_id = fields.get("loomstand-request-id", "")
        target = head.split()[1]
        is_early = self.long_body_bytes and length >= self.long_body_bytes
        if not is_early:
            await discard(reader, length)
        if target == b"/health":
            writer.write(answer(200, "", b"", f"Loomstand-Instance-Id: {self.id}\r\n"))
            return True
        if fields.get("loomstand-expected-instance", self.id) != self.id:
            self.refuse(writer, 421, request_id)
        elif not request_id:
            self.refuse(writer, 400, request_id)
        elif len(self.line) >= self.queue:
            self.refuse(writer, 503, request_id)
        elif not await self.run(reader, writer, request_id, fields):
            return False
        if is_early:
            await writer.drain()
            await discard(reader, length)
        return True

    async def run(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request_id: str,
        fields: dict[str, str],
    ) -> bool:
        """Waits for a slot, works and answers; returns whether the connection goes on."""
        loop = asyncio.get_running_loop()
        until = loop.time() + int(fields.get("loomstand-deadline-remaining", "60000")) / 1000
        self.arrived.append(request_id)
        self.record.line(f"arrived {request_id} at {self.id}")
        place = object()
        self.line.append(place)
        try:
            while self.busy >= self.slots or self.line[0] is not place:
                if loop.time() >= until or is_closed(reader):
                    break
                await asyncio.sleep(0.002)
        finally:
            self.line.remove(place)
        if is_closed(reader):
            self.record.line(f"dropped {request_id} at {self.id}, its connection has closed")
            return False
        if loop.time() >= until:
            self.refuse(writer, 503, request_id)
            return True
        self.busy += 1
        run = Run(self.record.now(), self.id, request_id)
        self.runs.append(run)
        self.record.line(f"run {request_id} at {self.id}")
        work_until = min(until, loop.time() + random.uniform(*self.work_seconds))
        try:
            while loop.time() < work_until and not is_closed(reader):
                await asyncio.sleep(min(0.005, max(0.0, work_until - loop.time())))
        finally:
            self.busy -= 1
        if self.is_answer_lost():
            self.record.line(f"answer lost {request_id} at {self.id}")
            reset(writer)
            return False
        body = f"{request_id} {random.getrandbits(32)}".encode()
        extra = f"Loomstand-Response-Stamp: {stamp(request_id, body)}\r\n"
        run.answered = True
        writer.write(answer(200 if loop.time() < until else 504, request_id, body, extra))
        return True

    def is_answer_lost(self) -> bool:
        """Counts a request that was run, and returns whether its answer is lost."""
        if not self.lose_answer_each:
            return False
        self.since_loss += 1
        if self.since_loss < self.lose_answer_each:
            return False
        self.since_loss = 0
        self.lost_answers += 1
        return True

    def refuse(self, writer: asyncio.StreamWriter, status: int, request_id: str) -> None:
        self.record.line(f"turned away {request_id} at {self.id} with {status}")
        writer.write(answer(status, request_id, b"", "Loomstand-Not-Executed: 1\r\n"))


def is_closed(reader: asyncio.StreamReader) -> bool:
    """Returns whether the peer has closed or reset the connection."""
    return reader.at_eof() or reader.exception() is not None


async def discard(reader: asyncio.StreamReader, length: int) -> None:
    """Reads a body."""
    while length:
        piece = await reader.read(min(length, 1 << 16))
        if not piece:
            raise ConnectionResetError
        length -= len(piece)


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection by a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    writer.transport.abort()


def answer(status: int, request_id: str, body: bytes, extra: str) -> bytes:
    """Returns the bytes of a server's answer."""
    id_line = f"Loomstand-Request-Id: {request_id}\r\n" if request_id else ""
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\nKeep-Alive: timeout=10\r\n"
    return (head + id_line + extra + "\r\n").encode() + body


@dataclass
class Request:
    """One try of a client."""

    id: str
    path: str
    front: str
    is_idempotent: bool
    sent_at: float
    status: int = 0  # 0: the connection ended without an answer
    ended_at: float = 0.0
    fields: dict[str, str] = field(default_factory=dict)


class Clients:
    """Clients that send requests to the front machines, each on a new connection."""

    def __init__(self, cluster: Cluster, host: str, key: str) -> None:
        self.cluster, self.record = cluster, cluster.record
        self.host, self.key = host, key
        self.ip = f"{cluster.network}.8.1"
        self.requests: dict[str, Request] = {}

    async def send(
        self, method: str, path: str, body: bytes, is_idempotent: bool, deadline_ms: int
    ) -> Request:
        """Sends one try and waits for its end."""
        address = random.choice(self.cluster.front_addresses)
        request_id = f"{random.SystemRandom().getrandbits(64):016x}"
        request = Request(request_id, path, address[0], is_idempotent, self.record.now())
        self.requests[request_id] = request
        self.record.line(f"sent {request_id} {method} {path} {len(body)} bytes to {address[0]}")
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self.host}\r\n"
            f"Loomstand-Request-Id: {request_id}\r\n"
            f"Loomstand-Deadline-Remaining: {deadline_ms}\r\n"
            f"Authorization: Bearer {self.key}\r\n"
        )
        if body or method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        writer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                reader, writer = await asyncio.open_connection(*address, local_addr=(self.ip, 0))
                writer.write(head.encode() + b"\r\n" + body)
                answer_head = await reader.readuntil(b"\r\n\r\n")
                request.fields = parse_fields(answer_head)
                await reader.readexactly(int(request.fields.get("content-length", "0")))
                request.status = int(answer_head.split()[1])
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer is not None:
                writer.close()
        request.ended_at = self.record.now()
        self.record.line(f"answered {request_id} with {request.status or 'no answer'}")
        return request


async def configure(cluster: Cluster, configuration: dict[str, object]) -> None:
    """Sends a configuration as the operator does, until it is acknowledged."""
    body = json.dumps(configuration).encode()
    until = cluster.record.now() + 30.0
    while cluster.record.now() < until:
        for address in random.sample(cluster.control_addresses, 3):
            call = rpc("configuration.replace", body)
            status, text = await exchange(cluster.operator_ip, address, call, 1.0)
            if status == 200:
                cluster.record.line(f"configuration {configuration['version']} acknowledged")
                return
            if 400 <= status < 500:
                raise CannotRunError(f"configuration refused: {status} {text!r}")
        await asyncio.sleep(0.2)
    raise CannotRunError("the configuration isn't acknowledged")


def resource(kind: str, name: str, specification: dict[str, object]) -> dict[str, object]:
    """Returns an entry of a configuration."""
    metadata = {"name": name} if name else {}
    return {"resource_kind": kind, "metadata": metadata, "specification": specification}


def small_configuration(host: str, key: str, service: str) -> dict[str, object]:
    """Returns the first configuration: two routes of one service, one tenant, the usual limits."""
    route = {
        "host": host,
        "timeout": "6000ms",
        "target_latency": "1000ms",
        "priority": 1,
        "service_name": service,
        "maximum_attempts": 2,
        "public": False,
    }
    once = route | {"path_prefix": "/once/", "route_kind": "non_idempotent"}
    look = route | {"path_prefix": "/look/", "route_kind": "idempotent"}
    return {
        "version": "r3",
        "resources": [
            resource("routes", "r-once", once),
            resource("routes", "r-look", look),
            resource(
                "services",
                service,
                {
                    "health_check_path": "/health",
                    "connection_limit": 130,
                    "protocol": "h1",
                    "tls": False,
                },
            ),
            resource(
                "tenants",
                "sese880",
                {"api_keys": [key], "priority": 1, "rate_per_s": 0, "burst_size": 0},
            ),
            resource(
                "limits",
                "",
                {
                    "max_header_bytes": 16384,
                    "max_body_bytes": 67108864,
                    "header_timeout": "3000ms",
                    "idle_timeout": "15000ms",
                },
            ),
        ],
    }
