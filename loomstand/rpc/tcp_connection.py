"""One TCP connection between two programs, either end of it: frames in, frames out.

A caller holds a `ClientConnection`, on which its calls go side by side; the program that serves
holds a `ServerConnection`, which runs a task for each call. Either end is closed at the first bytes
that aren't a frame it expects.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from typing import Protocol

from loomstand.limiter.event_loop import reset_on_close
from loomstand.rpc.errors import CallRefusedError, FrameError
from loomstand.rpc.frames import AnswerFrame, CallFrame, Frame, FrameDecoder, encode_frame
from loomstand.rpc.network import Body, CallHandler

# Milliseconds for which bytes may stay unacknowledged by the other machine before the system ends
# the connection: longer than any call, so calls fail by their own timeouts first.
UNACKNOWLEDGED_TIMEOUT_MS = 2000


class ConnectionOwner(Protocol):
    """What a connection tells whoever opened or accepted it."""

    def on_accepted(self, connection: ServerConnection) -> None:
        """A caller has connected."""
        ...

    def on_closed(self, connection: TcpConnection) -> None:
        """The connection is over."""
        ...

    def on_frame_error(self, error: FrameError) -> None:
        """Bytes came that aren't a frame."""
        ...

    def on_handler_error(self, operation: str, error: Exception) -> None:
        """A call failed by a fault of this program."""
        ...


class TcpConnection(asyncio.Protocol):
    """What both ends share. State: the frame that isn't complete yet, and the transport."""

    def __init__(self, owner: ConnectionOwner) -> None:
        """Begins unconnected; `transport` is None until `connection_made`."""
        self.owner = owner
        self.decoder = FrameDecoder()
        self.transport: asyncio.Transport | None = None

    def is_open(self) -> bool:
        """Whether frames can be sent."""
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop: the connection is established."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock = transport.get_extra_info("socket")
        if sock is None:
            return
        with suppress(OSError):  # it may be reset already
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """Called by the event loop: bytes have come."""
        try:
            for frame in self.decoder.feed(data):
                self.frame_received(frame)
        except FrameError as error:
            self.owner.on_frame_error(error)
            self.close()

    def frame_received(self, frame: Frame) -> None:
        """Takes a frame that came.

        Raises:
            FrameError: This end expects no such frame.
        """
        raise NotImplementedError

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the event loop: the connection is over, for whatever reason."""
        del exc
        self.owner.on_closed(self)

    def close(self) -> None:
        """Ends it by a reset, so that the system delivers nothing that still waits in it.

        Calls that were given up behind a network partition would else run when it heals.
        """
        if self.transport is not None:
            reset_on_close(self.transport)
            self.transport.abort()


class ClientConnection(TcpConnection):
    """The caller's end.

    State: the calls in flight by number. A number is for one call of this connection, so an answer
    that is late or doubled finds no call.
    """

    def __init__(self, owner: ConnectionOwner) -> None:
        """Begins without calls."""
        super().__init__(owner)
        self.pending_calls: dict[int, asyncio.Future[AnswerFrame | None]] = {}
        self.last_number = 0
        self.unanswered_calls = 0  # in a row

    async def call(self, operation: str, body: Body, deadline: float) -> AnswerFrame | None:
        """Sends a call and waits for its answer.

        Args:
            operation: Name of the operation.
            body: The request's body.
            deadline: Reading of the event loop's clock until which to wait.

        Returns:
            The answer; None if there is none by the deadline, or the connection ended before.
        """
        assert self.transport is not None
        loop = asyncio.get_running_loop()
        self.last_number += 1
        number = self.last_number
        pending: asyncio.Future[AnswerFrame | None] = loop.create_future()
        self.pending_calls[number] = pending
        self.transport.write(encode_frame(CallFrame(number, operation, body)))
        timer = loop.call_at(deadline, resolve, pending, None)
        try:
            answer = await pending
        finally:
            timer.cancel()
            self.pending_calls.pop(number, None)
        self.unanswered_calls = 0 if answer is not None else self.unanswered_calls + 1
        return answer

    def frame_received(self, frame: Frame) -> None:
        """Gives an answer to its call, if that still waits."""
        if not isinstance(frame, AnswerFrame):
            raise FrameError("no answer")
        resolve(self.pending_calls.pop(frame.number, None), frame)

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the event loop: no call in flight gets an answer any more."""
        super().connection_lost(exc)
        pending_calls = self.pending_calls
        self.pending_calls = {}
        for pending in pending_calls.values():
            resolve(pending, None)


def resolve(pending: asyncio.Future[AnswerFrame | None] | None, answer: AnswerFrame | None) -> None:
    """Ends the wait of a call, if it still waits.

    Never by cancelling, as that is how whoever waits for the call gives it up.
    """
    if pending is not None and not pending.done():
        pending.set_result(answer)


class ServerConnection(TcpConnection):
    """The end that serves.

    State: a task for each call that is served. They outlive the connection, as a call that has
    begun is executed whether or not its answer can be sent.
    """

    def __init__(self, owner: ConnectionOwner, handler: CallHandler) -> None:
        """`handler` serves the calls."""
        super().__init__(owner)
        self.handler = handler
        self.tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop: the connection is established."""
        super().connection_made(transport)
        self.owner.on_accepted(self)

    def frame_received(self, frame: Frame) -> None:
        """Begins to serve a call."""
        if not isinstance(frame, CallFrame):
            raise FrameError("no call")
        task = asyncio.get_running_loop().create_task(self.serve_call(frame))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve_call(self, call: CallFrame) -> None:
        """Has the handler serve a call, and sends its answer.

        A call that fails by a fault of this program gets none: whether it was executed isn't known.
        """
        try:
            answer = AnswerFrame(call.number, True, await self.handler(call.operation, call.body))
        except CallRefusedError as error:
            answer = AnswerFrame(call.number, False, {"why": str(error)})
        except Exception as error:  # noqa: BLE001  # of one call; the connection's others go on
            self.owner.on_handler_error(call.operation, error)
            return
        if self.is_open():
            assert self.transport is not None
            self.transport.write(encode_frame(answer))
