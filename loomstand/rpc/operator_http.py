"""The HTTP listener for external calls: those of operators and the heartbeats of servers.

It is built on the listener and the HTTP parser of the stand-alone limiter (`loomstand.limiter`).
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

from absl import logging

from loomstand.limiter import http_parser
from loomstand.limiter.buffers import MemoryBudget
from loomstand.limiter.client_connection import ClientConnection, ClientListener
from loomstand.limiter.event_loop import ArrivalClockSelector, ReadTimeClock, Streams
from loomstand.limiter.protocols import ClientHandle
from loomstand.rpc.network import Address

# Share of the sockets that callers may keep open between calls; the rest is for new calls and, in a
# registry, for limiters' sessions. The stand-alone limiter's share of a sixth is too small for more
# than 616 servers per registry: the listener then closes the connection that has been idle longest,
# which is the next one to be used, so that each heartbeat needs a new connection.
KEEP_ALIVE_SHARE = 0.5
# The listen backlog is a tenth of the sockets, and at least 8.
MIN_BACKLOG = 8
BACKLOG_DIVISOR = 10
# Time for which a connection may stay open without a call.
IDLE_TIMEOUT_SECONDS = 20.0
# Longest pause of a caller within a message, after which its connection is closed.
MESSAGE_TIMEOUT_SECONDS = 10.0
# Interval between two checks of all connections for these timeouts.
SWEEP_INTERVAL_SECONDS = 1.0
# Age above which connections that never sent a byte are the first to be closed if sockets run out.
UNUSED_CONNECTION_SECONDS = 1.0
# Length to which the request target of a failed call is cut in the log.
MAX_LOGGED_TARGET_BYTES = 80

HttpHandler = Callable[[bytes, bytes, bytes], Awaitable[tuple[int, bytes]]]
"""Serves a call: takes method, target and body, returns status and body of the response."""


class OperatorHttpServer:
    """Answers each call with the handler's result; response bodies are JSON.

    State: its listener with the callers' connections, and a task for each call in progress. It also
    manages sockets and buffers for the listener (`loomstand.limiter.protocols.ListenerOwner`).
    """

    def __init__(  # noqa: PLR0913, PLR0917  # the owning programs set its limits
        self,
        handler: HttpHandler,
        arrival_clock: ArrivalClockSelector | None,
        memory_bytes: int,
        max_sockets: int,
        max_body_bytes: int,
        streams: Streams | None = None,
    ) -> None:
        """Creates a server that doesn't listen yet.

        Args:
            handler: Serves the calls.
            arrival_clock: The event loop's selector; None if the loop has another kind of selector.
            memory_bytes: Memory in bytes for all buffers together.
            max_sockets: Maximum number of concurrent connections.
            max_body_bytes: Maximum size in bytes of a request body or response body.
            streams: Accepts simulated connections in place of sockets; None for real sockets.
        """
        self.handler = handler
        self.loop = asyncio.get_running_loop()
        self.arrival_clock: Any = arrival_clock or ReadTimeClock()
        self.memory_budget = MemoryBudget(memory_bytes)
        self.endings = Counter[str]()
        self.max_response_bytes = max_body_bytes
        self.is_ready = True
        self.sockets = max_sockets
        self.tasks: set[asyncio.Task[None]] = set()
        self.listener = self._make_listener(max_sockets, max_body_bytes, streams)

    def _make_listener(
        self, max_sockets: int, max_body_bytes: int, streams: Streams | None
    ) -> ClientListener:
        # The declared type has wider parameters than the calls that the listener makes.
        owner: Any = self
        listener = ClientListener(
            owner, max(MIN_BACKLOG, max_sockets // BACKLOG_DIVISOR), max_sockets
        )
        if streams is not None:
            listener.bind = streams.listen
        listener.keep_alive_limit = int(max_sockets * KEEP_ALIVE_SHARE)
        listener.idle_timeout_seconds = IDLE_TIMEOUT_SECONDS
        listener.max_body_bytes = max_body_bytes
        listener.own_paths = False  # the handler gets the paths below `/-/` too
        return listener

    async def listen(self, address: Address) -> None:
        """Accepts calls at this address, until `stop`.

        Raises:
            OSError: Listening at the address failed.
        """
        await self.listener.listen(address)
        self.loop.call_later(SWEEP_INTERVAL_SECONDS, self.sweep)

    def sweep(self) -> None:
        """Closes stalled and idle connections, and reschedules itself until `stop`."""
        self.listener.sweep(MESSAGE_TIMEOUT_SECONDS)
        if not self.listener.stopping:
            self.loop.call_later(SWEEP_INTERVAL_SECONDS, self.sweep)

    def spare_sockets(self) -> int:
        """Returns how many more connections are allowed; negative if there are too many."""
        return self.sockets - len(self.listener.clients)

    def free_socket(self, spared: ClientHandle | None = None) -> bool:
        """Closes an unused connection other than `spared`; returns whether there was one."""
        return self.listener.close_silent(
            spared, UNUSED_CONNECTION_SECONDS
        ) or self.listener.close_idle(spared)

    def request_received(
        self, client: ClientConnection, parser: http_parser.RequestReceiver, at: float
    ) -> None:
        """Starts serving a call that was received on a connection.

        Args:
            client: The connection.
            parser: The parser that holds the call.
            at: Time of receipt in seconds of the event loop's clock; not used here.
        """
        del at
        pending = PendingCall(client)
        untyped_client: Any = client  # its `request` is declared as the limiter's class of requests
        untyped_client.request = pending
        task = self.loop.create_task(
            self.serve(pending, parser.method, parser.target, bytes(parser.body))
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve(self, pending: PendingCall, method: bytes, target: bytes, body: bytes) -> None:
        """Runs the handler of a call, and responds if the caller is still connected."""
        try:
            status, answer = await self.handler(method, target, body)
        except Exception as error:  # noqa: BLE001  # the call gets status 500, other calls continue
            logging.error(
                "rpc: operator call failed: target=%s error=%s: %s",
                target[:MAX_LOGGED_TARGET_BYTES],
                type(error).__name__,
                error,
            )
            status = 500
            answer = b""
        client = pending.client
        pending.client = None
        if client is None:
            return
        client.answer(status, answer, "Content-Type: application/json\r\n" if answer else "")
        if client.channel.inbound.used:
            self.loop.call_soon(client.resume)

    def client_disconnected(self, pending: PendingCall) -> None:
        """Called when the caller has disconnected: the call is served without a response."""
        pending.client = None

    def stop(self) -> None:
        """Stops listening, and closes the connections without a call."""
        self.listener.stop()
        self.listener.close()


class PendingCall:
    """A call in progress.

    Attributes:
        client: Connection for the response; None once it is sent, or the caller has disconnected.
    """

    __slots__ = ("client",)

    def __init__(self, client: ClientConnection | None) -> None:
        """Creates a call that hasn't been answered."""
        self.client = client
