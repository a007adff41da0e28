"""Scripted servers and clients that send wrong, late, duplicate and truncated messages.

Tests use `UpstreamFixture` for a proxy's connections to one server, without the admission engine,
and `ScriptedCluster` for a complete proxy.
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


def request_id_of(head: bytes) -> str:
    """Returns the request id in the bytes of a message that begin with its complete head."""
    lines = head.partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]
    fields = (line.decode("latin-1").partition(": ") for line in lines)
    return next(value for name, _, value in fields if name.lower() == "loomstand-request-id")


class ScriptedServerConnection(HttpConnection):
    """A server connection that answers each complete request by a script of the fixture.

    The steps of a script are bytes to send, seconds to wait, "reset", "close" or "half" (closes the
    sending side). A request runs unless its script begins with "refuse". If `early` of the fixture
    is set, the next script is played as soon as a header block is complete, without the body; the
    request then runs only if that script begins with "run".
    """

    def __init__(self, fixture: UpstreamFixture) -> None:
        super().__init__()
        self.fixture = fixture
        self.task = asyncio.get_running_loop().create_task(
            self.serve(), context=fixture.process.context()
        )

    async def serve(self) -> None:
        """Reads requests and runs the script of each until the connection ends."""
        try:
            while True:
                while b"\r\n\r\n" not in self.buffer:
                    await self.wait_for_data()
                if self.fixture.early:
                    await self.answer_early(self.fixture.scripts.pop(0))
                    continue
                message = await self.read_message()
                script = self.fixture.scripts.pop(0) if self.fixture.scripts else []
                if script[:1] == ["refuse"]:
                    del script[0]
                else:
                    self.record_run(message.fields["loomstand-request-id"])
                await self.run_script(script)
        except ConnectionBrokenError:
            pass

    async def answer_early(self, script: list[Any]) -> None:
        """Plays a script for a request whose head has arrived; reads the body after it ran."""
        is_run = script[:1] == ["run"]
        if is_run:
            del script[0]
            self.record_run(request_id_of(bytes(self.buffer)))
        await self.run_script(script)
        self.fixture.early = False
        if is_run:
            await self.read_message()

    def record_run(self, request_id: str) -> None:
        """Records that the server runs a request."""
        self.fixture.ran.append(request_id)
        self.fixture.ran_at[request_id] = self.fixture.loop.time()

    async def run_script(self, script: list[Any]) -> None:
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
    """A proxy's pool of connections to one server.

    The fixture replaces the proxy: it records the outcomes of each request's attempts.
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
        self.early = False  # see `ScriptedServerConnection`
        self.ran: list[str] = []  # ids of the requests that the server ran
        self.ran_at: dict[str, float] = {}
        self.outcomes: dict[str, list[Outcome]] = {}
        # by request id: status, body and further header lines of the response
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
            not_run_count = sum(outcome in NOT_RUN_OUTCOMES for outcome in outcomes)
            assert self.ran.count(id_) <= len(outcomes) - not_run_count, (id_, outcomes)
            if Outcome.SUCCEEDED in outcomes:
                _, body, extra = self.bodies[id_]
                assert body == b"of " + id_.encode() and f"loomstand-request-id: {id_}\r\n" in extra


def success_answer(id_: str, *lines: str) -> bytes:
    """Returns the bytes of the complete response to a request."""
    return encode_answer(200, id_, STAMP, *lines, body=b"of " + id_.encode())


class ScriptedServer(Server):
    """A server that applies the next fault of `script` to each request.

    A fault is one of ANSWER_FAULTS and the byte of the response at which it happens.
    """

    script: list[tuple[str, int]]

    async def handle_request(self, connection: Any, message: Message) -> None:
        connection.script = scripted_fault, at = self.script.pop(0) if self.script else ("", 0)
        id_ = message.fields["loomstand-request-id"]
        # the server has closed its sending side, so it neither runs nor answers the request
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

    async def answer(self, connection: Any, id_: str, fault: str, is_late: bool) -> None:
        (scripted_fault, at), body = (
            connection.script,
            b"%s of %s" % (id_.encode(), self.id.encode()),
        )
        raw = self.encode_response(504 if is_late else 200, id_, body)
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
        """Sends a request of a client and checks the reply.

        Args:
            idempotent: Whether the request and its route are idempotent.
            mode: One of SEND_MODES.
            at: Where the request is interrupted, in 1/400 of its bytes.
            size: Size of the body in bytes.
        """
        count = 2 if mode == "pipelined" else 1
        requests = [
            self.client.new_request(
                "PUT",
                "town.example",
                f"/{'a' if idempotent else 'once'}/x",
                "key-of-ann",
                bytes(size),
                idempotent,
            )
            for _ in range(count)
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
        """Waits `after` seconds, then injects a disturbance that lasts `lasts` seconds."""
        await asyncio.sleep(after)
        host, servers = (
            self.proxies[PROXY_IP],
            [s for group in self.servers.values() for s in group],
        )
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


# Each happens at a byte of the response. An entry that is listed twice is drawn twice as often.
ANSWER_FAULTS = [
    "",
    "",
    "unread",  # resets the connection without running the request
    "refuses twice",  # rejects the request twice, the second rejection in two pieces
    "again",  # sends the response twice, the second one in two pieces
    "nobody",  # adds a rejection without a request id, in two pieces
    "bare",  # adds a 429 without a request id, in two pieces
    "instead",  # sends a rejection without a request id instead of the response
    "reset",  # resets the connection within the response
    "half",  # closes the sending side within the response
    "close",  # closes the connection within the response
    "pause",  # waits 0.02 s within the response
    "long pause",  # waits 3 s within the response
    "silent",  # runs the request, but sends no response
]
SEND_MODES = [
    "whole",  # in one write
    "whole",
    "pieces",  # in two writes
    "pipelined",  # two requests in one write
    "half",  # in one write, then closes the sending side
    "breaks",  # sends only a part, then closes the connection
    "leaves",  # in one write, then closes the connection
]
DISTURBANCES = [
    "cut",  # blocks the links between the proxy and all servers
    "deaf",  # blocks the links from the proxy to all servers
    "dumb",  # blocks the links from all servers to the proxy
    "away",  # blocks the link between the client and the proxy
    "freeze",  # freezes the proxy
    "server freezes",
    "server dies",
    "term",  # stops the proxy as on SIGTERM
]
