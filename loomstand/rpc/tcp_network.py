"""The network over TCP: one connection to each address, opened when it is first needed."""

from __future__ import annotations

import asyncio

from absl import logging
from expression import Error, Ok, Result

from loomstand.rpc.errors import CallFailure, FrameError
from loomstand.rpc.network import Address, Body, CallHandler
from loomstand.rpc.tcp_connection import ClientConnection, ServerConnection, TcpConnection
from loomstand.rpc.timeouts import wait_for

# Timeout for opening a connection. Within a region it takes 3 ms, so a machine that doesn't accept
# within this time is down or unreachable.
CONNECT_TIMEOUT_SECONDS = 0.5
# Consecutive calls without an answer after which a connection is replaced. During a network
# partition TCP's retransmissions back off exponentially, so the old connection resumes only seconds
# after the partition has healed; a new connection opens at once.
MAX_UNANSWERED_CALLS = 2
# One of this many connections closed for invalid frames is logged, beginning with the first.
FRAME_ERRORS_PER_LOG_LINE = 100


class TcpNetwork:
    """`Network` over TCP. It owns its connections and listeners, until `close`.

    Attributes:
        connections: Connections to other programs, by address.
        accepted: Connections of other programs to this one.
        frame_errors: Number of connections closed for invalid frames.
        handler_errors: Number of calls whose handler failed by an unexpected error.
    """

    client_connection_type: type[ClientConnection] = ClientConnection

    def __init__(self) -> None:
        """Creates a network without connections."""
        self.connections: dict[Address, ClientConnection] = {}
        self.accepted: set[ServerConnection] = set()
        self.frame_errors = 0
        self.handler_errors = 0
        self._connecting: dict[Address, asyncio.Task[ClientConnection]] = {}
        self._listeners: list[asyncio.Server] = []

    async def listen(self, address: Address, handler: CallHandler) -> None:
        """Serves calls at this address; see `Network.listen`."""
        loop = asyncio.get_running_loop()
        host, port = address
        listener = await loop.create_server(lambda: ServerConnection(self, handler), host, port)
        self._listeners.append(listener)

    async def call(
        self, address: Address, operation: str, body: Body, timeout_seconds: float
    ) -> Result[Body, CallFailure]:
        """Calls the program at this address; see `Network.call`."""
        deadline = asyncio.get_running_loop().time() + timeout_seconds
        connection = self.connections.get(address)
        if connection is None or not connection.is_open():
            connect_timeout_seconds = min(timeout_seconds, CONNECT_TIMEOUT_SECONDS)
            connection = await self._connect(address, connect_timeout_seconds)
            if connection is None or not connection.is_open():
                return Error(CallFailure.NEVER_RAN)
        answer = await connection.call(operation, body, deadline)
        if answer is None:
            self._replace_if_dead(address, connection)
            return Error(CallFailure.MAY_HAVE_RUN)
        return Ok(answer.body) if answer.is_ok else Error(CallFailure.REFUSED)

    def _replace_if_dead(self, address: Address, connection: ClientConnection) -> None:
        """Closes a connection whose calls stay unanswered; the next call opens a new one."""
        if connection.unanswered_calls < MAX_UNANSWERED_CALLS:
            return
        if self.connections.get(address) is connection:
            connection.close()
            del self.connections[address]

    async def _connect(self, address: Address, timeout_seconds: float) -> ClientConnection | None:
        """Waits for the connection to an address; concurrent calls share one attempt to open it.

        Returns:
            The connection; None if it isn't open in time, or the other machine refuses it.
        """
        task = self._connecting.get(address)
        if task is None:
            task = asyncio.get_running_loop().create_task(self.open_connection(address))
            self._connecting[address] = task
            task.add_done_callback(lambda done: self._on_connecting_ended(address, done))
        try:
            return await wait_for(asyncio.shield(task), timeout_seconds)
        except (OSError, TimeoutError):
            return None

    def _on_connecting_ended(self, address: Address, task: asyncio.Task[ClientConnection]) -> None:
        """Removes the task, and retrieves its error, which asyncio would log otherwise."""
        self._connecting.pop(address, None)
        task.exception()

    async def open_connection(self, address: Address) -> ClientConnection:
        """Opens the connection to an address.

        Raises:
            OSError: The other machine refuses the connection, or can't be reached.
            TimeoutError: The connection wasn't open within `CONNECT_TIMEOUT_SECONDS`.
        """
        loop = asyncio.get_running_loop()
        host, port = address
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            _, connection = await loop.create_connection(
                lambda: self.client_connection_type(self), host, port
            )
        self.connections[address] = connection
        return connection

    def on_accepted(self, connection: ServerConnection) -> None:
        """See `ConnectionOwner`."""
        self.accepted.add(connection)

    def on_closed(self, connection: TcpConnection) -> None:
        """See `ConnectionOwner`."""
        if isinstance(connection, ServerConnection):
            self.accepted.discard(connection)
            return
        for address, candidate in list(self.connections.items()):
            if candidate is connection:
                del self.connections[address]

    def on_frame_error(self, error: FrameError) -> None:
        """See `ConnectionOwner`."""
        if self.frame_errors % FRAME_ERRORS_PER_LOG_LINE == 0:
            logging.error(
                "rpc: connection closed, not a frame: %s count=%d", error, self.frame_errors + 1
            )
        self.frame_errors += 1

    def on_handler_error(self, operation: str, error: Exception) -> None:
        """See `ConnectionOwner`."""
        logging.error(
            "rpc: call failed: operation=%s error=%s: %s", operation, type(error).__name__, error
        )
        self.handler_errors += 1

    def close(self) -> None:
        """Closes all listeners and connections immediately."""
        for listener in self._listeners:
            listener.close()
        for connection in [*self.connections.values(), *self.accepted]:
            connection.close()
