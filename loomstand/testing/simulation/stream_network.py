"""Calls between processes on simulated streams, by the production code of `rpc.tcp_network`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loomstand.rpc.network import Address, CallHandler
from loomstand.rpc.tcp_connection import ClientConnection, ServerConnection
from loomstand.rpc.tcp_network import CONNECT_TIMEOUT_SECONDS, TcpNetwork
from loomstand.testing.simulation.streams import Streams


class StreamClientConnection(ClientConnection):
    """A client connection that calls `on_established` once it is established."""

    on_established: Callable[[], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the transport when the connection is established."""
        super().connection_made(transport)
        if self.on_established is not None:
            self.on_established()


class StreamNetwork(TcpNetwork):
    """The `TcpNetwork` of one process on a host."""

    def __init__(self, streams: Streams) -> None:
        """Opens and accepts connections through `streams`."""
        super().__init__()
        self.streams = streams

    async def listen(self, address: Address, handler: CallHandler) -> None:
        """Serves calls at this address; see `Network.listen`."""
        loop = asyncio.get_running_loop()
        await self.streams.listen(loop, lambda: ServerConnection(self, handler), address)

    async def open_connection(self, address: Address) -> ClientConnection:
        """Makes the connection to an address; see `TcpNetwork.open_connection`."""
        connection: ClientConnection = await self.streams.open(
            lambda: StreamClientConnection(self), address, CONNECT_TIMEOUT_SECONDS
        )
        self.connections[address] = connection
        return connection
