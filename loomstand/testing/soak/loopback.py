"""Servers and client connections of the simulation on real sockets."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from loomstand.testing.simulation.http_log import HttpConnection, RequestLog
from loomstand.testing.simulation.loop import SimProcess
from loomstand.testing.simulation.streams import Address
from loomstand.testing.simulation.workload import Server

BACKLOG = 1024


@dataclass(slots=True)
class LoopbackStreams:
    """Replaces the `Streams` of the simulation by TCP connections from one loopback address."""

    host: str

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
        return connection

    async def listen(
        self, loop: asyncio.AbstractEventLoop, make: Callable[[], HttpConnection], address: Address
    ) -> asyncio.Server:
        """Listens at an address that another listener may have released just before."""
        listener = socket.create_server(address, family=socket.AF_INET, reuse_port=False)
        return await loop.create_server(make, sock=listener, backlog=BACKLOG)


class LoopbackServer(Server):
    """A server of a service that listens on a real socket."""

    def __init__(
        self, request_log: RequestLog, rng: Random, address: Address, service: str, zone: str
    ) -> None:
        """Creates a server that does not listen yet; set `cores` before `start`."""
        no_tcp: Any = None
        super().__init__(no_tcp, request_log, rng, address, service, zone, [])

    def make_streams(self, process: SimProcess) -> Any:  # noqa: ANN401 - the base's type has more in it
        """See the base class."""
        del process
        return LoopbackStreams(self.address[0])

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
        acknowledged_at, _ = await self.drain()
        await asyncio.sleep(drain_seconds)
        await self.leave()
        self.start()
        return old_id, acknowledged_at
