"""Servers and client connections of the simulation on real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from http import HTTPStatus
from random import Random
from typing import Any

from loomstand.testing.simulation.http_log import (
    ConnectionBrokenError,
    Fields,
    HttpConnection,
    Message,
    RequestLog,
    ServerArrival,
)
from loomstand.testing.simulation.loop import SimProcess
from loomstand.testing.simulation.streams import Address
from loomstand.testing.simulation.workload import Server, ServerHttpConnection

BACKLOG = 1024
# Values of the second octet of the addresses of a run.
FIRST_NETWORK, NETWORKS = 20, 200
# Host part and port that a run listens on, so that a concurrent run uses another network.
CLAIM_HOST, CLAIM_PORT = "254.254", 8781
RECEIVE_BUFFER_BYTES = 1 << 16
# Bodies of this size are long: an early server doesn't read them before it has answered.
LONG_BODY_BYTES = 6 << 20
LOST_ANSWER_SHARE = 0.5  # of the long requests that an early server runs


@contextlib.contextmanager
def claim_network(preferred: int) -> Iterator[int]:
    """Reserves a loopback network that no concurrent run uses.

    Args:
        preferred: Number from which the search for a free network begins.

    Yields:
        The second octet of its addresses.

    Raises:
        OSError: All networks are in use.
    """
    for number in range(preferred, preferred + NETWORKS):
        network = FIRST_NETWORK + number % NETWORKS
        try:
            claim = socket.create_server((f"127.{network}.{CLAIM_HOST}", CLAIM_PORT))
        except OSError:
            continue
        with claim:
            yield network
        return
    raise OSError("all loopback networks are in use")


class DelayedTransport:
    """A transport whose bytes and close reach the peer later, so that both may cross its own."""

    def __init__(self, transport: asyncio.Transport, delay_seconds: float) -> None:
        """Creates a transport that writes to `transport` after `delay_seconds`."""
        self._transport = transport
        self._delay_seconds = delay_seconds
        self._loop = asyncio.get_running_loop()

    def write(self, data: bytes) -> None:
        """See `asyncio.Transport`."""
        self._loop.call_later(self._delay_seconds, self._transport.write, data)

    def close(self) -> None:
        """See `asyncio.Transport`."""
        self._loop.call_later(self._delay_seconds, self._transport.close)

    def abort(self) -> None:
        """See `asyncio.Transport`."""
        self._loop.call_later(self._delay_seconds, self._transport.abort)


@dataclass(slots=True)
class LoopbackStreams:
    """Replaces the `Streams` of the simulation by TCP connections from one loopback address.

    Attributes:
        host: The address.
        delay_seconds: How long written bytes take to the peer.
    """

    host: str
    delay_seconds: float = 0.0

    async def open(
        self, make: Callable[[], HttpConnection], address: Address, within: float
    ) -> HttpConnection:
        """Opens a connection and returns its protocol.

        Raises:
            ConnectionRefusedError: No process listens at the address.
            TimeoutError: The connection was not established within `within` seconds.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(within):
                _, connection = await loop.create_connection(
                    make, *address, local_addr=(self.host, 0)
                )
        except TimeoutError:
            raise
        except OSError as error:
            raise ConnectionRefusedError(str(error)) from error
        if self.delay_seconds:
            no_tcp: Any = DelayedTransport(connection.transport, self.delay_seconds)  # type: ignore[arg-type]
            connection.transport = no_tcp
        return connection

    async def listen(
        self, loop: asyncio.AbstractEventLoop, make: Callable[[], HttpConnection], address: Address
    ) -> asyncio.Server:
        """Listens at an address that another listener may have released just before."""
        listener = socket.create_server(address, family=socket.AF_INET, reuse_port=False)
        # accepted connections have it, too: a long body doesn't fit into the sockets' buffers
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        return await loop.create_server(make, sock=listener, backlog=BACKLOG)


class LoopbackServer(Server):
    """A server of a service that listens on a real socket.

    Attributes:
        is_departing: Whether it drains or leaves, and hasn't returned yet.
    """

    def __init__(
        self, request_log: RequestLog, rng: Random, address: Address, service: str, zone: str
    ) -> None:
        """Creates a server that does not listen yet; set `cores` before `start`."""
        no_tcp: Any = None
        super().__init__(no_tcp, request_log, rng, address, service, zone, [])
        self.is_departing = False

    def start(self) -> None:
        """See the base class."""
        super().start()
        self.is_departing = False

    def make_streams(self, process: SimProcess) -> Any:  # noqa: ANN401 - the base's type has more in it
        """See the base class."""
        del process
        return LoopbackStreams(self.address[0])

    async def serve_request(self, connection: ServerHttpConnection) -> None:
        """See the base class; with the fault `early` long requests run before their body."""
        start, fields = await connection.read_head()
        if self.fault == "early" and int(fields.get("content-length", 0)) >= LONG_BODY_BYTES:
            await self.run_early(connection, start, fields)
        else:
            message = Message(start, fields, await connection.read_body(fields))
            await self.handle_request(connection, message)

    async def run_early(
        self, connection: ServerHttpConnection, start: bytes, fields: Fields
    ) -> None:
        """Runs a request whose body it hasn't read, and resets in place of some answers.

        After an answer it reads the body, which must be the client's.
        """
        id_ = fields["loomstand-request-id"]
        sent = self.request_log.requests[id_]
        now = asyncio.get_running_loop().time
        run = ServerArrival(
            now(), self.service, self.id, id_, fields.get("loomstand-tenant-name", ""), True
        )
        self.request_log.record_arrival(run, Message(start, fields, sent.body))
        connection.transport.pause_reading()
        await asyncio.sleep(self.rng.uniform(*self.work_seconds))
        run.ended = now()
        if self.rng.random() < LOST_ANSWER_SHARE:
            connection.transport.abort()
            raise ConnectionBrokenError("the answer is lost")
        self.send_response(connection, HTTPStatus.OK, id_, b"early")
        connection.transport.resume_reading()
        if await connection.read_body(fields) != sent.body:
            self.request_log.violations.append(f"{id_}: its body was changed after the answer")

    def kill(self) -> None:
        """Stops the server at once and aborts all of its connections."""
        if self.process is not None:
            self.process.alive = False
        if self.port is not None:
            self.port.close()
        for task in list(self.tasks):
            task.cancel()
        for connection in list(self.connections):
            connection.transport.abort()

    async def drain_and_return(self, drain_seconds: float) -> tuple[str, float]:
        """Drains and leaves like a server before a planned stop, then starts as a new instance.

        Returns:
            The identifier of the old instance and the time of the acknowledgement of its draining.
        """
        old_id = self.id
        self.is_departing = True
        acknowledged_at, _ = await self.drain()
        await asyncio.sleep(drain_seconds)
        await self.leave()
        self.start()
        return old_id, acknowledged_at

    async def leave_and_return(
        self, serve_on_seconds: float, on_acknowledged: Callable[[str, float], None]
    ) -> None:
        """Leaves without draining, serves on, and then starts as a new instance.

        Args:
            serve_on_seconds: Time from the acknowledgement to the end of the old instance.
            on_acknowledged: Gets the identifier of the old instance and the time of the
                acknowledgement, as soon as there is one.
        """
        self.is_departing = True
        self.heartbeats.cancel()
        on_acknowledged(self.id, await self.leave_until_acknowledged())
        await asyncio.sleep(serve_on_seconds)
        self.kill()
        self.start()
