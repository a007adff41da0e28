"""Simulated users of the system: servers, clients and the operator."""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import Callable
from math import inf
from random import Random
from typing import Any

from loomstand.testing.simulation.http_log import (
    NOT_EXECUTED_STATUSES,
    ClientRequest,
    ConnectionBrokenError,
    HttpConnection,
    Message,
    Reply,
    RequestLog,
    ServerArrival,
    exchange,
    post,
    stamp_of,
)
from loomstand.testing.simulation.loop import SimProcess
from loomstand.testing.simulation.streams import Address, StreamListener, Streams, TcpStack

STATUS_LINE = re.compile(rb"HTTP/1\.1 ([1-5][0-9]{2}) [^\r\n]*")
LEAVE_RETRY_SECONDS = 0.05
FINAL_STATUSES = (400, 401, 404, 413, 431)  # not retried


class Server:
    """A server of a service, with a fault that affects a share of its requests.

    `fault` is empty or one of:

        full: rejects the request with a 503 marked as not executed.
        dark: reads the request, but neither runs nor answers it.
        slow: takes `slow_seconds` longer to run it.
        error: runs it and answers 500.
        bare: answers without the response stamp.
        silent: runs it, but doesn't answer.
        close, reset: runs it, then closes or resets the connection instead of answering.
        cut: closes the connection within the answer.
        spoilt: inserts malformed bytes into the answer.
        surplus: sends a second answer at once.
        late: sends a second answer to the previous request before the answer.
        refuses: resets new connections; affects all of them.
    """

    def __init__(
        self,
        tcp: TcpStack,
        request_log: RequestLog,
        rng: Random,
        address: Address,
        service: str,
        zone: str,
        cores: list[Address],
    ) -> None:
        self.tcp, self.request_log, self.rng, self.cores = tcp, request_log, rng, cores
        self.address, self.service, self.zone = address, service, zone
        self.slots, self.queue, self.work_seconds, self.keep_alive_seconds = 8, 8, (0.005, 0.02), 10
        # `fault_method`: the fault only affects requests with this method; empty for all
        self.fault, self.fault_share, self.fault_method = "", 1.0, ""
        self.id, self.state, self.sequence, self.core_index = "", "ready", 0, 0
        self.process: SimProcess | None = None
        self.port: StreamListener | None = None
        self.busy, self.waiting = 0, 0  # requests that run and that wait for a slot
        # time and core machine of the last acknowledged call
        self.last_acknowledgement: tuple[float, Address] | None = None
        self.tasks: set[asyncio.Task[Any]] = set()
        self.connections: set[ServerHttpConnection] = set()
        self.slow_seconds = 1.0  # added by the fault `slow`

    def start(self) -> None:
        """Starts a new process with a new instance id."""
        self.id, self.state, self.sequence = f"i-{self.rng.getrandbits(32):08x}", "ready", 0
        self.process, self.busy, self.waiting = SimProcess(), 0, 0
        self.streams = self.make_streams(self.process)
        self.heartbeats = self.spawn(self.run())

    def make_streams(self, process: SimProcess) -> Streams:
        """Returns the streams that a process listens and connects with."""
        return Streams(self.tcp, self.address[0], process)

    def kill(self) -> None:
        """Kills the process; its connections are closed and its port refuses new ones."""
        if self.process is not None:
            self.process.alive = False
            self.tcp.process_ended(self.process)
        if self.port is not None:
            self.port.close()

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Runs a coroutine as a task of the server's process."""
        assert self.process is not None
        task = asyncio.get_running_loop().create_task(work, context=self.process.context())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def run(self) -> None:
        """Listens, then sends heartbeats every 1.5 s on average."""
        loop = asyncio.get_running_loop()
        self.port = await self.streams.listen(
            loop, lambda: ServerHttpConnection(self), self.address
        )
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(1.5 * self.rng.uniform(0.9, 1.1))

    async def send_heartbeat(self) -> bool:
        """Sends a heartbeat, after a failure to the next core machine; returns its success."""
        for _ in range(len(self.cores)):
            self.sequence += 1
            info = {"service_name": self.service, "version": "v1", "zone": self.zone}
            info["capacity_slots"] = self.slots
            status = {"state": self.state, "sequence": self.sequence, "cold_remaining": "0ms"}
            address = f"{self.address[0]}:{self.address[1]}"
            body = json.dumps({"address": address, "information": info, "status": status}).encode()
            if await self.call_registry(f"instances.heartbeat&of={self.id}", body):
                return True
            self.core_index += 1
        return False

    async def call_registry(self, call: str, body: bytes) -> bool:
        """Sends a call to the current core machine; returns whether it was acknowledged."""
        core = self.cores[self.core_index % len(self.cores)]
        answer = await exchange(self.streams, core, post(call, body), 1.0)
        if answer is None or not 200 <= answer.status < 300:
            return False
        self.last_acknowledgement = asyncio.get_running_loop().time(), core
        return True

    async def drain(self) -> tuple[float, Address]:
        """Announces its end; returns when and by which core machine that was acknowledged."""
        self.state = "draining"
        while not await self.send_heartbeat():
            await asyncio.sleep(0.2)
        assert self.last_acknowledgement is not None
        return self.last_acknowledgement

    async def leave_until_acknowledged(self) -> float:
        """Repeats the call to leave at the next core machine; returns when it was acknowledged."""
        while not await self.call_registry(f"instances.leave&of={self.id}", b""):
            self.core_index += 1
            await asyncio.sleep(LEAVE_RETRY_SECONDS)
        assert self.last_acknowledgement is not None
        return self.last_acknowledgement[0]

    async def leave(self) -> None:
        """Deregisters the instance and ends the process."""
        await self.call_registry(f"instances.leave&of={self.id}", b"")
        self.kill()

    # requests

    async def serve(self, connection: ServerHttpConnection) -> None:
        """Reads and handles the requests of a connection until it ends."""
        self.connections.add(connection)
        try:
            while not connection.closed_reason:
                await self.serve_request(connection)
        except ConnectionBrokenError:
            pass
        finally:
            self.connections.discard(connection)
        connection.transport.close()

    async def serve_request(self, connection: ServerHttpConnection) -> None:
        """Reads and handles the next request of a connection."""
        await self.handle_request(connection, await connection.read_message())

    async def handle_request(self, connection: ServerHttpConnection, message: Message) -> None:
        """Rejects a request, or runs it and answers; the fault may change either."""
        loop, fields = asyncio.get_running_loop(), message.fields
        id_ = fields.get("loomstand-request-id", "")
        method = message.start.split(b" ")[0].decode()
        has_fault = self.fault_method in ("", method) and self.rng.random() < self.fault_share
        fault = self.fault if has_fault else ""
        remaining = int(fields.get("loomstand-deadline-remaining", 60_000)) / 1000
        deadline = loop.time() + remaining
        run = ServerArrival(
            loop.time(), self.service, self.id, id_, fields.get("loomstand-tenant-name", ""), False
        )
        if fault == "dark":
            await asyncio.Event().wait()
        if fields.get("loomstand-expected-instance", self.id) != self.id:
            self.request_log.record_arrival(run, message)
            self.send_response(connection, 421, id_, b"", not_executed=True)
            return
        full = self.busy >= self.slots and self.waiting >= self.queue
        if fault == "full" or full or not id_:
            self.request_log.record_arrival(run, message)
            self.send_response(connection, 503 if id_ else 400, id_, b"full", not_executed=True)
            return
        self.waiting += 1
        while self.busy >= self.slots and not connection.closed_reason and loop.time() < deadline:
            await asyncio.sleep(0.002)
        self.waiting -= 1
        if loop.time() >= deadline or connection.closed_reason:
            self.request_log.record_arrival(run, message)
            self.send_response(connection, 503, id_, b"", not_executed=True)
            return
        self.busy += 1
        run.ran, run.at = True, loop.time()
        self.request_log.record_arrival(run, message)
        try:
            run_seconds = self.rng.uniform(*self.work_seconds) + (
                self.slow_seconds if fault == "slow" else 0.0
            )
            if await connection.closed_within(max(0.0, min(run_seconds, deadline - loop.time()))):
                run.was_cut = True
                return  # the proxy has closed the connection
        finally:
            self.busy -= 1
            run.ended = loop.time()
        await self.answer(connection, id_, fault, loop.time() >= deadline)

    async def answer(
        self, connection: ServerHttpConnection, id_: str, fault: str, is_late: bool
    ) -> None:
        """Sends the response of a request that ran, changed by `fault`; 504 if `is_late`."""
        body = b"%s %d " % (id_.encode(), self.rng.getrandbits(32)) + b"x" * self.rng.randrange(300)
        if fault == "close":
            connection.transport.abort()
        elif fault == "silent":
            await asyncio.Event().wait()
        elif fault == "reset":
            connection.transport.reset()
            connection.transport.fail(ConnectionResetError())
        elif fault == "cut":
            raw = self.encode_response(200, id_, body)
            connection.transport.write(raw[: self.rng.randrange(1, len(raw))])
            connection.transport.close()
        elif fault == "spoilt":
            raw = self.encode_response(200, id_, body)
            at = self.rng.choice((0, 3, raw.index(b"Content-Length") + 16))
            connection.transport.write(raw[:at] + b"\x00\xff spoilt\r\n" + raw[at:])
        elif is_late or fault == "error":
            self.send_response(connection, 504 if is_late else 500, id_, body)
        elif fault == "bare":
            connection.transport.write(self.encode_response(200, id_, body, stamp=False))
        elif fault == "late" and connection.previous_duplicate:
            # the second answer to the previous request, in place of this answer
            connection.transport.write(connection.previous_duplicate)
            await asyncio.sleep(self.rng.choice((0.0, 0.02)))
            self.send_response(connection, 200, id_, body)
        else:
            self.send_response(connection, 200, id_, body)
            if fault == "surplus":
                await asyncio.sleep(self.rng.choice((0.0, 0.0, 0.001, 0.03)))
                self.send_response(connection, 200, id_, body + b" again")
        connection.previous_duplicate = self.encode_response(200, id_, body + b" again")

    def send_response(
        self,
        connection: ServerHttpConnection,
        status: int,
        id_: str,
        body: bytes,
        not_executed: bool = False,
    ) -> None:
        connection.transport.write(self.encode_response(status, id_, body, not_executed))

    def encode_response(
        self, status: int, id_: str, body: bytes, not_executed: bool = False, stamp: bool = True
    ) -> bytes:
        """Returns the bytes of a response."""
        lines = [
            f"HTTP/1.1 {status} X",
            f"Content-Length: {len(body)}",
            f"Keep-Alive: timeout={self.keep_alive_seconds}",
        ]
        if id_:
            lines.append(f"Loomstand-Request-Id: {id_}")
        if not_executed:
            lines.append("Loomstand-Not-Executed: true")
        elif stamp:
            lines.append(f"Loomstand-Response-Stamp: {stamp_of(id_, body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class ServerHttpConnection(HttpConnection):
    """The server side of a connection."""

    def __init__(self, server: Server) -> None:
        super().__init__()
        self.server, self.previous_duplicate = server, b""

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        if self.server.fault == "refuses":
            transport.reset()
            transport.fail(ConnectionResetError())
        else:
            self.server.spawn(self.server.serve(self))


class Client:
    """Sends requests, with `keep_alive` on idle connections, otherwise each on a new one."""

    def __init__(
        self,
        streams: Streams,
        request_log: RequestLog,
        rng: Random,
        front_addresses: Callable[[], list[Address]],
    ) -> None:
        self.streams, self.request_log, self.rng, self.front_addresses = (
            streams,
            request_log,
            rng,
            front_addresses,
        )
        self.idle: dict[Address, HttpConnection] = {}
        self.keep_alive, self.chunked = True, False

    def new_request(
        self,
        method: str,
        host: str,
        path: str,
        key: str = "",
        body: bytes = b"",
        idempotent: bool = False,
    ) -> ClientRequest:
        """Creates a request with a random id and records it in the request log."""
        request = ClientRequest(
            f"{self.rng.getrandbits(64):016x}", method, host, path, key, body, idempotent
        )
        self.request_log.requests[request.id] = request
        return request

    def encode_request(self, request: ClientRequest, remaining: float) -> bytes:
        """Returns the bytes of a request; `remaining`: seconds until its deadline."""
        lines = [
            f"{request.method} {request.path} HTTP/1.1",
            f"Host: {request.host}",
            f"Loomstand-Request-Id: {request.id}",
            f"Loomstand-Deadline-Remaining: {int(remaining * 1000)}",
            "Loomstand-Tenant-Name: somebody",
        ]
        lines += [f"Authorization: Bearer {request.key}"] if request.key else []
        body = request.body
        if self.chunked and body:
            lines.append("Transfer-Encoding: chunked")
            half = len(body) // 2
            parts = [p for p in (body[:half], body[half:]) if p]
            body = b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in parts) + b"0\r\n\r\n"
        elif body:
            lines.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    async def send_once(
        self, request: ClientRequest, front: Address, within: float = 5.0, patience: float = inf
    ) -> Reply:
        """Sends a request once; the reply is checked.

        Args:
            request: The request.
            front: The proxy's address.
            within: Seconds until the deadline that the request states.
            patience: Seconds after which the client closes the connection.
        """
        loop = asyncio.get_running_loop()
        connection, reply = self.idle.pop(front, None), Reply(0, "silent")
        request.sent, request.front = loop.time(), front
        request.expires_at = request.sent + within
        if connection is not None and connection.buffer:
            self.request_log.violations.append(
                f"{request.id}: {bytes(connection.buffer[:60])!r} on an idle connection"
            )
        if connection is not None and connection.closed_reason:
            connection = None
        try:
            async with asyncio.timeout(min(within, patience)):
                if connection is None:
                    connection = await self.streams.open(HttpConnection, front, 1.0)
                connection.transport.write(self.encode_request(request, within))
                message = await connection.read_message()
                if (
                    STATUS_LINE.fullmatch(message.start) is None
                    or "content-length" not in message.fields
                ):
                    self.request_log.violations.append(
                        f"{request.id}: not an HTTP response: {message.start!r}"
                    )
                reply = Reply(message.status, "", message.fields, message.body)
        except ConnectionBrokenError as error:
            reply = Reply(0, str(error))
        except ConnectionRefusedError:
            reply = Reply(0, "refused")
        except TimeoutError:
            reply = Reply(0, "silent" if connection is not None else "refused")
        reply.at = loop.time()
        if reply.end == "silent" and connection is not None:
            request.left_at = reply.at
        self.request_log.record_reply(request, reply)
        if connection is not None:
            if (
                self.keep_alive
                and reply.status
                and reply.fields.get("connection", "").lower() != "close"
            ):
                self.idle[front] = connection
            else:
                connection.transport.close()
        return reply

    async def send_with_retries(
        self, *request_arguments: Any, within: float = 5.0, tries: int = 3, **more: Any
    ) -> Reply:
        """Sends a request with retries, each with its own id; returns the last reply.

        `within` is the number of seconds until the deadline of all tries.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + within
        for n in range(tries):
            request, remaining = self.new_request(*request_arguments, **more), until - loop.time()
            reply = await self.send_once(
                request, self.rng.choice(self.front_addresses()), remaining
            )
            if 200 <= reply.status < 300 or reply.status in FINAL_STATUSES or n + 1 == tries:
                break
            if not (
                request.idempotent
                or reply.status in NOT_EXECUTED_STATUSES
                or reply.end == "refused"
            ):
                break
            delay = float(reply.fields.get("retry-after", 0.05))
            delay = min(delay, (until - loop.time()) / 3)
            if until - loop.time() - delay < 0.05:
                break
            await asyncio.sleep(delay)
        return reply


class Operator:
    """Sends and reads configurations; after a failure it tries the next core machine."""

    def __init__(self, streams: Streams, rng: Random, cores: list[Address]) -> None:
        self.streams, self.rng, self.cores, self.core_index = streams, rng, cores, 0

    async def call(self, call: str, body: bytes, within: float) -> Message | None:
        """Returns the answer, or None if none came within `within` seconds."""
        loop = asyncio.get_running_loop()
        until, pause = loop.time() + within, 0.05
        while loop.time() < until:
            core = self.cores[self.core_index % len(self.cores)]
            answer = await exchange(self.streams, core, post(call, body), 1.0)
            if answer is not None and (answer.status < 500 and answer.status not in (408, 429)):
                return answer
            self.core_index += 1
            await asyncio.sleep(pause)
            pause = min(1.0, 1.5 * pause)
        return None

    async def replace(self, body: bytes, within: float = 5.0) -> bool:
        """Sends a configuration; returns whether it was acknowledged."""
        answer = await self.call("configuration.replace", body, within)
        return answer is not None and answer.status == 200

    async def read(self, within: float = 5.0) -> bytes:
        """Reads the configuration; returns an empty string if the call fails."""
        answer = await self.call("configuration.read", b"", within)
        return answer.body if answer is not None and answer.status == 200 else b""
