"""Calls between the system's processes on simulated streams: the code of `rpc.tcp_network`, byte by
byte.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loomstand.rpc.network import Address, CallHandler
from loomstand.rpc.tcp_network import CONNECT_TIMEOUT_SECONDS, TcpConnection, TcpNetwork
from loomstand.testing.simulation.streams import Streams


class StreamLine(TcpConnection):
    """A connection that tells the stream that dialled it when it stands."""

    stands: Callable[[], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if self.stands is not None:
            self.stands()


class StreamSockets(TcpNetwork):
    """`TcpNetwork` of one life on one host."""

    def __init__(self, streams: Streams) -> None:
        super().__init__()
        self.streams = streams

    async def listen(self, address: Address, serve: CallHandler) -> None:
        loop = asyncio.get_running_loop()
        await self.streams.listen(loop, lambda: StreamLine(self, serve), address)

    async def open(self, address: Address) -> TcpConnection:
        self.lines[address] = line = await self.streams.open(
            lambda: StreamLine(self, None), address, CONNECT_TIMEOUT_SECONDS
        )
        return line
