"""The stand-ins of the simulation on real sockets: servers, and connections of clients."""

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
    """In place of the simulation's `Streams`: connections from one address on loopback."""

    host: str

    async def open(
        self, make: Callable[[], HttpConnection], address: Address, within: float
    ) -> HttpConnection:
        """Returns a connection's protocol once it stands.

        Raises:
            ConnectionRefusedError: Nobody listens there, or not any more.
            TimeoutError: It didn't come up within so many seconds.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(within):
                _, talk = await loop.create_connection(make, *address, local_addr=(self.host, 0))
        except TimeoutError:
            raise
        except OSError as error:
            raise ConnectionRefusedError(str(error)) from error
        return talk

    async def listen(
        self, loop: asyncio.AbstractEventLoop, make: Callable[[], HttpConnection], address: Address
    ) -> asyncio.Server:
        """Listens at an address that may have been in use until just now."""
        listener = socket.create_server(address, family=socket.AF_INET, reuse_port=False)
        return await loop.create_server(make, sock=listener, backlog=BACKLOG)


class LoopbackServer(Server):
    """A server of a service, on a real socket."""

    def __init__(
        self, request_log: RequestLog, rng: Random, address: Address, service: str, zone: str
    ) -> None:
        """Makes a server that doesn't listen yet; `cores` are set before it starts."""
        no_tcp: Any = None
        super().__init__(no_tcp, request_log, rng, address, service, zone, [])

    def make_streams(self, process: SimProcess) -> Any:  # noqa: ANN401 - the base's type has more in it
        """See the base class."""
        del process
        return LoopbackStreams(self.address[0])

    def kill(self) -> None:
        """Ends it at once, with all of its connections."""
        if self.process is not None:
            self.process.alive = False
        if self.port is not None:
            self.port.close()
        for task in list(self.tasks):
            task.cancel()
        for talk in list(self.connections):
            talk.transport.abort()

    async def drain_and_return(self, drain_seconds: float) -> tuple[str, float]:
        """Leaves as a server does before a planned end, and comes back as another.

        Returns:
            The identifier that left, and when its draining was acknowledged.
        """
        former = self.id
        acknowledged_at, _ = await self.drain()
        await asyncio.sleep(drain_seconds)
        await self.leave()
        self.start()
        return former, acknowledged_at
