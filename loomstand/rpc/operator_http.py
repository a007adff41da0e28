"""The HTTP listener for calls from outside: of operators and of the servers' heartbeats.

It stands on the listener and the HTTP parser of the stand-alone limiter (`loomstand.limiter`).
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

# Share of the sockets that callers may keep open between calls; the others are for new calls and,
# in a registry, for limiters' sessions. With a sixth, as a limiter grants its clients, beyond 616
# servers a registry each heartbeat needed a new connection: the one idle longest was closed, which
# was the next to be used.
KEEP_ALIVE_SHARE = 0.5
# Sockets that may wait to be accepted: a tenth, and eight where there are few.
MIN_BACKLOG = 8
BACKLOG_DIVISOR = 10
IDLE_TIMEOUT_SECONDS = 20.0  # after which a connection without a call is closed
MESSAGE_TIMEOUT_SECONDS = 10.0  # for which a caller may stall within a message
SWEEP_INTERVAL_SECONDS = 1.0
# Age from which a connection that never sent anything is closed first where sockets run short.
SILENT_SECONDS = 1.0
LOGGED_TARGET_BYTES = 80  # of a call that failed

HttpHandler = Callable[[bytes, bytes, bytes], Awaitable[tuple[int, bytes]]]
"""Serves a call: takes method, target and body, returns status and body of the answer."""


class OperatorHttpServer:
    """Answers each call with what the handler gives; bodies of answers are JSON.

    State: its listener with the callers' connections, and a task for each call that is served. It
    is also what the listener asks for sockets and buffers (`loomstand.limiter.protocols.Takes`).
    """

    def __init__(  # noqa: PLR0913, PLR0917  # the programs that own it size it
        self,
        handler: HttpHandler,
        arrival_clock: ArrivalClockSelector | None,
        memory_bytes: int,
        max_sockets: int,
        max_body_bytes: int,
        streams: Streams | None = None,
    ) -> None:
        """Begins without listening.

        Args:
            handler: Serves the calls.
            arrival_clock: The event loop's selector; None on a loop of somebody else's.
            memory_bytes: For all buffers together.
            max_sockets: Connections at once.
            max_body_bytes: Of one call, and of one answer.
            streams: Accepts connections, where not by real sockets.
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
        # Its type of a limiter knows less of connections and calls than it passes on.
        limiter: Any = self
        listener = ClientListener(
            limiter, max(MIN_BACKLOG, max_sockets // BACKLOG_DIVISOR), max_sockets
        )
        if streams is not None:
            listener.bind = streams.listen
        listener.keep_alive_limit = int(max_sockets * KEEP_ALIVE_SHARE)
        listener.idle_timeout_seconds = IDLE_TIMEOUT_SECONDS
        listener.max_body_bytes = max_body_bytes
        listener.own_paths = False
        return listener

    async def listen(self, address: Address) -> None:
        """Takes calls at this address, until `stop`.

        Raises:
            OSError: The address can't be listened at.
        """
        await self.listener.listen(address)
        self.loop.call_later(SWEEP_INTERVAL_SECONDS, self.sweep)

    def sweep(self) -> None:
        """Closes connections that stall or stay idle, again and again until `stop`."""
        self.listener.sweep(MESSAGE_TIMEOUT_SECONDS)
        if not self.listener.stopping:
            self.loop.call_later(SWEEP_INTERVAL_SECONDS, self.sweep)

    def spare_sockets(self) -> int:
        """Returns how many connections more there may be; below 0 where there are too many."""
        return self.sockets - len(self.listener.clients)

    def free_socket(self, spared: ClientHandle | None = None) -> bool:
        """Closes a connection that nobody needs, other than `spared`; whether there was one."""
        return self.listener.close_silent(spared, SILENT_SECONDS) or self.listener.close_idle(
            spared
        )

    def request_received(
        self, client: ClientConnection, parser: http_parser.RequestReceiver, at: float
    ) -> None:
        """Begins to serve the call that came on a connection.

        Args:
            client: The connection.
            parser: Holds the call.
            at: When it came, by the event loop's clock; nothing depends on it here.
        """
        del at
        pending = PendingCall(client)
        holder: Any = client
        holder.request = pending
        task = self.loop.create_task(
            self.serve(pending, parser.method, parser.target, bytes(parser.body))
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve(self, pending: PendingCall, method: bytes, target: bytes, body: bytes) -> None:
        """Has the handler serve a call, and answers it if its caller is still there."""
        try:
            status, answer = await self.handler(method, target, body)
        except Exception as error:  # noqa: BLE001  # of one call; it gets its answer, others go on
            logging.error(
                "rpc: operator call failed: target=%s error=%s: %s",
                target[:LOGGED_TARGET_BYTES],
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
            self.loop.call_soon(client.next)

    def client_disconnected(self, pending: PendingCall) -> None:
        """The caller has closed the connection: the call is served, and not answered."""
        pending.client = None

    def stop(self) -> None:
        """Listens no more, and closes the connections without a call."""
        self.listener.stop()
        self.listener.close()


class PendingCall:
    """A call that is owed its answer.

    Attributes:
        client: The connection to answer on; None once it is answered, or its caller is gone.
    """

    __slots__ = ("client",)

    def __init__(self, client: ClientConnection | None) -> None:
        """Begins unanswered."""
        self.client = client
