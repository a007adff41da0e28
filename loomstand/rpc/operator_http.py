"""A small HTTP interface for calls from outside, on the limiter's own listener and parser
(`net/`).
"""

from __future__ import annotations

import asyncio
from collections import Counter as Tally
from collections.abc import Awaitable, Callable
from typing import Any

from absl import logging

from loomstand.limiter import http_parser
from loomstand.limiter.buffers import Room
from loomstand.limiter.client_connection import Client, Front
from loomstand.limiter.event_loop import Streams, Turns, Untimed

# Of the sockets, those that callers may keep between calls; the others are for new calls and, in a
# registry, for limiters' sessions. With a sixth, a limiter's rule for its clients, beyond 616
# servers a registry each heartbeat needed a new connection: the one idle longest was closed, which
# was the next to be used.
KEEP_ALIVE_SHARE = 0.5

# method, target, body: status, body
HttpHandler = Callable[[bytes, bytes, bytes], Awaitable[tuple[int, bytes]]]


class OperatorHttpServer:
    """Answers each call with what the handler gives; bodies of answers are JSON."""

    def __init__(
        self,
        handler: HttpHandler,
        turns: Turns | None,
        memory: int,
        sockets: int,
        body: int,
        streams: Streams | None = None,
    ) -> None:
        """`memory` and `body` in bytes: for all buffers, and for one call. `streams` where not by
        sockets.
        """
        self.handler = handler
        self.loop = asyncio.get_running_loop()
        self.turns: Any = turns or Untimed()
        self.room, self.endings = Room(memory), Tally[str]()
        self.most_answer, self.able = body, True
        self.sockets = sockets
        self.front = Front(self, max(8, sockets // 10), sockets)
        if streams is not None:
            self.front.bind = streams.listen
        self.front.most_held = int(sockets * KEEP_ALIVE_SHARE)
        self.front.stays, self.front.most_body, self.front.own_paths = 20.0, body, False
        self.tasks: set[asyncio.Task[None]] = set()

    async def listen(self, address: tuple[str, int]) -> None:
        await self.front.listen(address)
        self.loop.call_later(1.0, self.sweep)

    def sweep(self) -> None:
        self.front.sweep(10.0)
        if not self.front.stopping:
            self.loop.call_later(1.0, self.sweep)

    def spare_sockets(self) -> int:
        return self.sockets - len(self.front.clients)

    def make_room(self, spared: Client | None = None) -> bool:
        return self.front.close_silent(spared, 1.0) or self.front.close_idle(spared)

    def take(self, client: Client, machine: http_parser.RequestReceiver, at: float) -> None:
        held = PendingCall(client)
        client.req = held
        task = self.loop.create_task(
            self.serve(held, machine.method, machine.target, bytes(machine.body))
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve(self, held: PendingCall, method: bytes, target: bytes, body: bytes) -> None:
        try:
            status, said = await self.handler(method, target, body)
        except (
            Exception
        ) as why:  # a fault of ours in one call: it gets its answer, the rest goes on
            logging.error("call %s failed: %s: %s", target[:80], type(why).__name__, why)
            status, said = 500, b""
        client, held.client = held.client, None
        if client is not None:
            client.answer(status, said, "Content-Type: application/json\r\n" if said else "")
            if client.wire.inbound.used:
                self.loop.call_soon(client.next)

    def vanished(self, held: PendingCall) -> None:
        held.client = None

    def stop(self) -> None:
        self.front.stop()
        self.front.close()


class PendingCall:
    """A call that is owed its answer."""

    __slots__ = ("client",)

    def __init__(self, client: Client | None) -> None:
        self.client = client
