"""Scripted servers and clients that send wrong, late, duplicate and truncated messages.

`UpstreamFixture` tests the connections of a proxy to one server, without the admission engine;
`ScriptedCluster` a whole proxy.
"""

from __future__ import annotations

import asyncio
from collections import Counter as Tally
from contextlib import suppress
from random import Random
from types import SimpleNamespace
from typing import Any

from loomstand.admission.outcome import Outcome
from loomstand.limiter import http_parser
from loomstand.limiter.buffers import MemoryBudget, Ring
from loomstand.limiter.endings import Ending
from loomstand.proxy.request import ProxyAttempt, ProxyRequest
from loomstand.proxy.upstream import UpstreamPool
from loomstand.testing.simulation.cluster import FRONT_PORT, Cluster
from loomstand.testing.simulation.http_log import (
    ConnectionBrokenError,
    HttpConnection,
    Message,
    Reply,
    ServerArrival,
)
from loomstand.testing.simulation.loop import SimProcess
from loomstand.testing.simulation.network import SimNetwork
from loomstand.testing.simulation.streams import Streams, TcpStack
from loomstand.testing.simulation.workload import Server

PROXY_IP, SERVER_IP = "10.2.0.1", "10.3.0.1"
NOT_RUN_OUTCOMES = {Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT}
STAMP = "Loomstand-Response-Stamp: s"


def encode_answer(status: int, id_: str = "", *lines: str, body: bytes = b"body") -> bytes:
    """Returns the bytes of a response."""
    fields = [f"Loomstand-Request-Id: {id_}"] if id_ else []
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *fields, *lines]
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


class ScriptedServerConnection(HttpConnection):
    """A server connection that answers each complete request by a script.

    The steps of a script are bytes to send, seconds to wait, "reset", "close" or "half" (closes the
    sending side). A request runs unless its script begins with "refuse". With `early` of the
    fixture the connection answers once a header block is complete.
    """

    def __init__(self, stage: UpstreamFixture) -> None:
        super().__init__()
        self.stage = stage
        self.task = asyncio.get_running_loop().create_task(
            self.serve(), context=stage.process.context()
        )

    async def serve(self) -> None:
        """Reads requests and acts on the script of each until the connection ends."""
        try:
            while True:
                while b"\r\n\r\n" not in self.buffer:
                    await self.wait_for_data()
                if self.stage.early:
                    await self.act(self.stage.scripts.pop(0))
                    self.stage.early = False
                    continue
                message = await self.read_message()
                script = self.stage.scripts.pop(0) if self.stage.scripts else []
                if script[:1] == ["refuse"]:
                    del script[0]
                else:
                    self.stage.ran.append(message.fields["loomstand-request-id"])
                    self.stage.ran_at[self.stage.ran[-1]] = self.stage.loop.time()
                await self.act(script)
        except ConnectionBrokenError:
            pass

    async def act(self, script: list[Any]) -> None:
        """Runs the steps of a script."""
        for step in script:
            if isinstance(step, bytes):
                if not self.transport.is_closing():
                    self.transport.write(step)
            elif isinstance(step, float):
                await asyncio.sleep(step)
            elif step == "reset":
                self.transport.reset()
                self.transport.fail(ConnectionResetError())
            elif step == "half":
                with suppress(OSError):  # it may be reset already
                    self.transport.write_eof()
            else:
                self.transport.close()


class UpstreamFixture:
    """A pool of connections to one server; in place of the proxy it records the outcomes of each
    request.
    """

    def __init__(self) -> None:
        self.network = SimNetwork(Random(1))
        self.tcp = TcpStack(self.network, Random(2))
        self.loop = asyncio.get_running_loop()
        self.memory_budget, self.endings, self.max_response_bytes = (
            MemoryBudget(1 << 22),
            Tally[str](),
            1 << 16,
        )
        self.process, self.own_process = SimProcess(), SimProcess()
        self.scripts: list[list[Any]] = []
        self.early = False
        self.ran: list[str] = []
        self.ran_at: dict[str, float] = {}
        self.outcomes: dict[str, list[Outcome]] = {}
        self.bodies: dict[str, tuple[int, bytes, str]] = {}
        self.connections: list[ScriptedServerConnection] = []
        self.pool = UpstreamPool(self, 0.25, 60.0)  # type: ignore[arg-type]
        # type: ignore[method-assign]
        self.pool.connect = Streams(self.tcp, PROXY_IP, self.own_process).connect
        self.pool.set_address(0, (SERVER_IP, 80))

    async def open(self) -> UpstreamFixture:
        """Starts the server."""

        def make() -> ScriptedServerConnection:
            self.connections.append(ScriptedServerConnection(self))
            return self.connections[-1]

        await Streams(self.tcp, SERVER_IP, self.process).listen(self.loop, make, (SERVER_IP, 80))
        return self

    def now(self) -> int:
        """Returns the virtual time in ticks of 0.1 ms."""
        return int(self.loop.time() * 10_000)

    def spare_sockets(self) -> int:
        return 9

    def free_socket(self, spared: Any = None) -> bool:
        return False

    def endpoint_misdirected(self, attempt: Any) -> None:
        pass

    def attempt_ended(
        self, attempt: Any, outcome: Outcome, metered: int = 0, body: bytes = b""
    ) -> None:
        """Records the outcome and the response of an attempt."""
        if attempt.timer is not None:
            attempt.timer.cancel()
        id_ = attempt.request.request_id.decode()
        self.outcomes.setdefault(id_, []).append(outcome)
        if attempt.request.server_response is not None:
            self.bodies[id_] = attempt.request.server_response

    def request(self, id_: str, body: bytes = b"", idempotent: bool = False) -> ProxyRequest:
        """Returns a request as the proxy has parsed it."""
        parser, ring = http_parser.RequestReceiver(1 << 20), Ring(self.memory_budget, 1 << 21)
        head = f"POST /x HTTP/1.1\r\nHost: h\r\nLoomstand-Request-Id: {id_}\r\n"
        head += f"Content-Length: {len(body)}\r\n"
        ring.put(head.encode() + b"\r\n" + body)
        assert parser.step(ring)
        request = ProxyRequest(parser)
        request.route, request.service = SimpleNamespace(idempotent=idempotent), "s"
        return request

    def send(self, request: ProxyRequest, within: float = 1.0) -> ProxyAttempt:
        """Sends an attempt of a request; it expires after `within` seconds."""
        expires_at = self.now() + int(within * 10_000)
        attempt = ProxyAttempt(request, len(request.attempts), 0, self.now(), expires_at, "i-1")
        request.attempts.append(attempt)
        attempt.timer = self.loop.call_later(within, self.pool.give_up, attempt, Ending.EXPIRED)
        self.pool.send(attempt)
        return attempt

    def check(self) -> None:
        """Asserts that no request that ran is reported as not run, that each attempt has one
        outcome, and that a success has the complete response to its own request.
        """
        for id_, outcomes in self.outcomes.items():
            proved = sum(o in NOT_RUN_OUTCOMES for o in outcomes)
            assert self.ran.count(id_) <= len(outcomes) - proved, (id_, outcomes)
            if Outcome.SUCCEEDED in outcomes:
                _, body, extra = self.bodies[id_]
                assert body == b"of " + id_.encode() and f"loomstand-request-id: {id_}\r\n" in extra


def success_answer(id_: str, *lines: str) -> bytes:
    """Returns the bytes of the complete response to a request."""
    return encode_answer(200, id_, STAMP, *lines, body=b"of " + id_.encode())


class ScriptedServer(Server):
    """A server whose requests meet the faults of `script` in order: a fault each, and the byte of
    the response at which it happens.
    """

    script: list[tuple[str, int]]

    async def handle_request(self, connection: Any, message: Message) -> None:
        connection.script = scripted_fault, at = self.script.pop(0) if self.script else ("", 0)
        id_ = message.fields["loomstand-request-id"]
        # its sending side was closed after the previous response: it neither runs nor answers
        if connection.transport.eof_requested:
            self.request_log.record_arrival(
                ServerArrival(self.now(), self.service, self.id, id_, "", False), message
            )
            return
        if scripted_fault in ("unread", "refuses twice"):
            self.request_log.record_arrival(
                ServerArrival(self.now(), self.service, self.id, id_, "", False), message
            )
        if scripted_fault == "unread":
            self.reset_connection(connection)
        elif scripted_fault == "refuses twice":
            raw = self.encode_response(503, id_, b"full", not_executed=True)
            connection.transport.write(raw + raw[:at])
            await asyncio.sleep(0.01)
            connection.transport.write(raw[at:])
        else:
            await super().handle_request(connection, message)

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def reset_connection(self, connection: Any) -> None:
        connection.transport.reset()
        connection.transport.fail(ConnectionResetError())

    async def answer(self, connection: Any, id_: str, fault: str, late: bytes) -> None:
        (scripted_fault, at), body = (
            connection.script,
            b"%s of %s" % (id_.encode(), self.id.encode()),
        )
        raw = self.encode_response(504 if late else 200, id_, body)
        extra = {
            "again": raw,
            "nobody": self.encode_response(503, "", b"", not_executed=True),
            "bare": self.encode_response(429, "", b""),
        }
        if scripted_fault in extra:
            raw += extra[scripted_fault][:at]
        elif scripted_fault == "instead":
            raw = extra["nobody"]
        elif scripted_fault in ("reset", "half", "close", "pause", "long pause"):
            connection.transport.write(raw[:at])
        if scripted_fault == "reset":
            self.reset_connection(connection)
        elif scripted_fault == "half":
            with suppress(OSError):  # it may be reset already
                connection.transport.write_eof()
        elif scripted_fault == "close":
            connection.transport.close()
        elif scripted_fault in ("pause", "long pause"):
            await asyncio.sleep(0.02 if scripted_fault == "pause" else 3.0)
            if not connection.closed_reason:
                connection.transport.write(raw[at:])
        elif scripted_fault != "silent" and not connection.closed_reason:
            connection.transport.write(raw)
            if scripted_fault in extra:
                await asyncio.sleep(0.004)
                connection.transport.write(extra[scripted_fault][at:])


class ScriptedCluster(Cluster):
    """A cluster of one proxy and two scripted servers per service."""

    def __init__(self, script: list[tuple[str, int]] | None = None) -> None:
        self.script = script or []
        super().__init__(3, cores=1, proxies=1, servers=2)
        self.run(self.start())
        self.front, self.fully_sent = (PROXY_IP, FRONT_PORT), set[str]()

    def make_server(self, ip: str, service: str, zone: str) -> Server:
        server = super().make_server(ip, service, zone)
        server.__class__, server.script = ScriptedServer, self.script  # type: ignore[attr-defined]
        return server

    async def send_requests_in_mode(self, idempotent: bool, mode: str, at: int, size: int) -> None:
        """Sends a request of a client in the given mode; the replies are checked by their ids."""
        many = 2 if mode == "pipelined" else 1
        requests = [
            self.client.new_request(
                "PUT",
                "town.example",
                f"/{'a' if idempotent else 'once'}/x",
                "key-of-ann",
                bytes(size),
                idempotent,
            )
            for _ in range(many)
        ]
        raw = b"".join(self.client.encode_request(request, 2.0) for request in requests)
        at = len(raw) * at // 400
        try:
            async with asyncio.timeout(3.0):
                connection = await self.streams("10.9.0.1").open(HttpConnection, self.front, 1.0)
                at_once = mode in ("whole", "pipelined", "half", "leaves")
                if at_once or mode == "pieces" or at == len(raw):
                    self.fully_sent.update(request.id for request in requests)
                connection.transport.write(raw if at_once else raw[:at])
                if mode == "pieces":
                    await asyncio.sleep(0.03)
                    connection.transport.write(raw[at:])
                elif mode == "half" and connection.transport.get_write_buffer_size() == 0:
                    with suppress(OSError):  # it may be reset already
                        connection.transport.write_eof()
                elif mode in ("breaks", "leaves"):
                    await asyncio.sleep(0.0 if mode == "breaks" else at / 20_000)
                    connection.transport.abort()
                    return
                for request in requests:
                    message = await connection.read_message()
                    self.request_log.record_reply(
                        request,
                        Reply(message.status, "", message.fields, message.body, self.loop.time()),
                    )
        except (ConnectionBrokenError, OSError, TimeoutError):
            pass

    async def disturb(self, after: float, disturbance: str, lasts: float) -> None:
        """Injects a disturbance `after` seconds, ends it after `lasts` more seconds."""
        await asyncio.sleep(after)
        host, servers = self.proxies[PROXY_IP], [s for many in self.servers.values() for s in many]
        server, server_ips = servers[int(after * 1000) % 2], [s.address[0] for s in servers]
        if disturbance in ("cut", "deaf", "dumb"):
            pairs = {(ip, PROXY_IP) for ip in server_ips} if disturbance != "deaf" else set()
            self.network.blocked_links |= pairs | (
                {(PROXY_IP, ip) for ip in server_ips} if disturbance != "dumb" else set()
            )
        elif disturbance == "away":
            self.network.cut("10.9.0.1", PROXY_IP)
        elif disturbance == "freeze":
            host.freeze()
        elif disturbance == "server freezes" and server.process is not None:
            server.process.frozen = True
        elif disturbance == "server dies":
            server.kill()
        elif disturbance == "term":
            await host.terminate()
        await asyncio.sleep(lasts)
        self.network.heal()
        host.thaw()
        if server.process is not None and server.process.alive:
            server.process.thaw()
        elif server.process is not None:
            server.start()
        if not host.up:
            host.start()


ANSWER_FAULTS = [
    "",
    "",
    "unread",
    "refuses twice",
    "again",
    "nobody",
    "bare",
    "instead",
    "reset",
    "half",
    "close",
    "pause",
    "long pause",
    "silent",
]
SEND_MODES = ["whole", "whole", "pieces", "pipelined", "half", "breaks", "leaves"]
DISTURBANCES = ["cut", "deaf", "dumb", "away", "freeze", "server freezes", "server dies", "term"]
