"""The network of real sockets: one connection to each address, calls on it side by side."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter as Tally
from contextlib import suppress

from absl import logging
from expression import Error, Ok, Result

from loomstand.limiter.event_loop import reset_on_close
from loomstand.rpc.errors import CallFailure, CallRefusedError
from loomstand.rpc.frames import FrameDecoder, FrameError, encode_frame
from loomstand.rpc.network import Address, Body, CallHandler

# Within a region a connection comes up in 3 ms; where it doesn't in this time the machine is gone
# or cut off.
CONNECT_TIMEOUT_SECONDS = 0.5
# What was sent and not taken by the other machine for so long is lost: calls fail by their
# time-outs first.
UNACKNOWLEDGED_TIMEOUT_MS = 2000
# Calls that in a row had no answer before the connection is replaced: behind a cut TCP sends again
# ever more rarely, and goes on seconds after the cut has healed; a new connection comes up at once.
MAX_UNANSWERED_CALLS = 2
FRAME_ERRORS_PER_LOG_LINE = (
    100  # connections with foreign bytes for one line in the log, after the first
)

# whether it is one or a refusal, and what it says; None: there is none
AnswerOrNone = tuple[bool, Body] | None


class TcpConnection(asyncio.Protocol):
    """One connection, either end of it."""

    def __init__(self, owner: TcpNetwork, serve: CallHandler | None) -> None:
        self.owner, self.serve = owner, serve
        self.reader, self.last, self.silent = FrameDecoder(), 0, 0
        # By number, each for one call on this connection: a late or doubled answer finds nobody.
        self.waiting: dict[int, asyncio.Future[AnswerOrNone]] = {}
        self.transport: asyncio.Transport | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            with suppress(OSError):
                sock.setsockopt(
                    socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
                )
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.serve is not None:
            self.owner.incoming.add(self)

    def data_received(self, data: bytes) -> None:
        try:
            for number, what, body in self.reader.feed(data):
                if not isinstance(body, dict) or not isinstance(
                    what, bool if self.serve is None else str
                ):
                    raise FrameError("neither a call nor an answer")
                if self.serve is not None:
                    task = asyncio.get_running_loop().create_task(self.answer(number, what, body))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
                else:
                    resolve(self.waiting.pop(number, None), (what, body))
        except FrameError as why:
            self.owner.foreign(why)
            self.close()

    async def answer(self, number: int, op: str, body: Body) -> None:
        try:
            said, good = await self.serve(op, body), True
        except CallRefusedError as why:
            said, good = {"why": str(why)}, False
        except Exception as why:  # a fault of ours in one call: the rest goes on
            logging.error("call %s failed: %s: %s", op, type(why).__name__, why)
            self.owner.counts["failed"] += 1
            return
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(encode_frame([number, good, said]))

    def connection_lost(self, why: Exception | None) -> None:
        self.owner.gone(self)
        waiting, self.waiting = self.waiting, {}
        for waits in waiting.values():
            resolve(waits, None)

    def close(self) -> None:
        """Ends it by a reset: calls that wait in the system are not delivered later, when a cut
        heals.
        """
        if self.transport is not None:
            reset_on_close(self.transport)
            self.transport.abort()


def resolve(waits: asyncio.Future[AnswerOrNone] | None, answer: AnswerOrNone) -> None:
    """Ends the wait of a call, if it still waits. Not by cancelling: that is how its caller is
    called off.
    """
    if waits is not None and not waits.done():
        waits.set_result(answer)


class TcpNetwork:
    """`Network` on TCP. `counts` tells of foreign bytes and failed calls."""

    def __init__(self) -> None:
        self.lines: dict[Address, TcpConnection] = {}
        self.coming: dict[Address, asyncio.Task[TcpConnection]] = {}
        self.incoming: set[TcpConnection] = set()
        self.servers: list[asyncio.Server] = []
        self.counts: Tally[str] = Tally()

    async def listen(self, address: Address, serve: CallHandler) -> None:
        loop = asyncio.get_running_loop()
        self.servers.append(await loop.create_server(lambda: TcpConnection(self, serve), *address))

    async def call(
        self, address: Address, op: str, body: Body, within: float
    ) -> Result[Body, CallFailure]:
        loop = asyncio.get_running_loop()
        until = loop.time() + within
        line = self.lines.get(address)
        if line is None or line.transport is None or line.transport.is_closing():
            line = await self.connect(address, min(within, CONNECT_TIMEOUT_SECONDS))
            if line is None or line.transport is None or line.transport.is_closing():
                return Error(CallFailure.NEVER_RAN)
        line.last += 1
        number, waits = line.last, loop.create_future()
        line.waiting[number] = waits
        line.transport.write(encode_frame([number, op, body]))
        late = loop.call_at(until, resolve, waits, None)
        try:
            answer = await waits
        finally:
            late.cancel()
            line.waiting.pop(number, None)
        if answer is None:
            line.silent += 1
            if line.silent >= MAX_UNANSWERED_CALLS and self.lines.get(address) is line:
                line.close()
                del self.lines[address]
            return Error(CallFailure.MAY_HAVE_RUN)
        line.silent = 0
        good, said = answer
        return Ok(said) if good else Error(CallFailure.REFUSED)

    async def connect(self, address: Address, within: float) -> TcpConnection | None:
        """The connection to an address, made once for all who wait for it."""
        task = self.coming.get(address)
        if task is None:
            task = asyncio.get_running_loop().create_task(self.open(address))
            self.coming[address] = task
            task.add_done_callback(lambda done: self.coming.pop(address, None) and done.exception())
        try:
            return await asyncio.wait_for(asyncio.shield(task), within)
        except (OSError, TimeoutError):
            return None

    async def open(self, address: Address) -> TcpConnection:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            _, line = await loop.create_connection(lambda: TcpConnection(self, None), *address)
        self.lines[address] = line
        return line

    def foreign(self, why: FrameError) -> None:
        """Bytes came that are none of ours."""
        if self.counts["foreign"] % FRAME_ERRORS_PER_LOG_LINE == 0:
            logging.error(
                "bytes that are none of ours end a connection, the %d. so far: %s",
                self.counts["foreign"] + 1,
                why,
            )
        self.counts["foreign"] += 1

    def gone(self, line: TcpConnection) -> None:
        self.incoming.discard(line)
        for address, held in list(self.lines.items()):
            if held is line:
                del self.lines[address]

    def close(self) -> None:
        """Ends everything at once."""
        for server in self.servers:
            server.close()
        for line in [*self.lines.values(), *self.incoming]:
            line.close()
