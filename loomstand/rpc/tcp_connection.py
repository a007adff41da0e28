"""One TCP connection between two programs, from either end: sends and receives frames.

A caller holds a `ClientConnection`, which multiplexes concurrent calls; the serving program holds a
`ServerConnection`, which runs a task for each call. Either end closes the connection at the first
invalid or unexpected frame.
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

# Time for which sent bytes may stay unacknowledged before the kernel closes the connection. It is
# longer than the timeouts of frequent calls, so that these fail by their own timeouts first.
UNACKNOWLEDGED_TIMEOUT_MS = 2000


class ConnectionOwner(Protocol):
    """Callbacks of a connection to the object that opened or accepted it."""

    def on_accepted(self, connection: ServerConnection) -> None:
        """Called when a caller has connected."""
        ...

    def on_closed(self, connection: TcpConnection) -> None:
        """Called when the connection has been closed."""
        ...

    def on_frame_error(self, error: FrameError) -> None:
        """Called when received bytes aren't a valid frame."""
        ...

    def on_handler_error(self, operation: str, error: Exception) -> None:
        """Called when a handler fails by an unexpected error."""
        ...


class TcpConnection(asyncio.Protocol):
    """Base class of both ends. State: the incomplete frame, and the transport."""

    def __init__(self, owner: ConnectionOwner) -> None:
        """Creates an unconnected end; `transport` is None until `connection_made`."""
        self.owner = owner
        self.decoder = FrameDecoder()
        self.transport: asyncio.Transport | None = None

    def is_open(self) -> bool:
        """Whether frames can be sent."""
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop when the connection is established."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock = transport.get_extra_info("socket")
        if sock is None:
            return
        with suppress(OSError):  # the connection may have been reset already
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """Called by the event loop when bytes have been received."""
        try:
            for frame in self.decoder.feed(data):
                self.frame_received(frame)
        except FrameError as error:
            self.owner.on_frame_error(error)
            self.close()

    def frame_received(self, frame: Frame) -> None:
        """Handles a received frame.

        Raises:
            FrameError: This end doesn't expect a frame of this kind.
        """
        raise NotImplementedError

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the event loop when the connection has been closed for any reason."""
        del exc
        self.owner.on_closed(self)

    def close(self) -> None:
        """Resets the connection, so that the kernel delivers no bytes that are still queued.

        Otherwise calls that timed out during a network partition would run when it heals.
        """
        if self.transport is not None:
            reset_on_close(self.transport)
            self.transport.abort()


class ClientConnection(TcpConnection):
    """The caller's end of a connection.

    State: the calls in flight by number. A number is never reused on a connection, so a late or
    duplicate answer matches no call and is ignored.
    """

    def __init__(self, owner: ConnectionOwner) -> None:
        """Creates an unconnected end without calls."""
        super().__init__(owner)
        self.pending_calls: dict[int, asyncio.Future[AnswerFrame | None]] = {}
        self.last_number = 0
        self.unanswered_calls = 0  # since the last answer

    async def call(self, operation: str, body: Body, deadline: float) -> AnswerFrame | None:
        """Sends a call and waits for its answer.

        Args:
            operation: Name of the operation.
            body: Body of the request.
            deadline: When to stop waiting, in seconds of the event loop's clock.

        Returns:
            The answer; None if none arrives by the deadline, or the connection closes before.
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
        """Passes an answer to its call, if the call is still waiting."""
        if not isinstance(frame, AnswerFrame):
            raise FrameError("a caller expects answers only")
        resolve(self.pending_calls.pop(frame.number, None), frame)

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the event loop on close: ends all calls in flight without an answer."""
        super().connection_lost(exc)
        pending_calls = self.pending_calls
        self.pending_calls = {}
        for pending in pending_calls.values():
            resolve(pending, None)


def resolve(pending: asyncio.Future[AnswerFrame | None] | None, answer: AnswerFrame | None) -> None:
    """Ends the wait of a call, if it is still waiting.

    It sets a result and never cancels the future: a cancellation means that the caller gave up.
    """
    if pending is not None and not pending.done():
        pending.set_result(answer)


class ServerConnection(TcpConnection):
    """The serving end of a connection.

    State: a task for each call in progress. Tasks outlive the connection: a call that has started
    is completed whether or not its answer can be sent.
    """

    def __init__(self, owner: ConnectionOwner, handler: CallHandler) -> None:
        """Creates an unconnected end whose calls `handler` serves."""
        super().__init__(owner)
        self.handler = handler
        self.tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop when the connection is established."""
        super().connection_made(transport)
        self.owner.on_accepted(self)

    def frame_received(self, frame: Frame) -> None:
        """Starts a task that serves a call."""
        if not isinstance(frame, CallFrame):
            raise FrameError("a server expects calls only")
        task = asyncio.get_running_loop().create_task(self.serve_call(frame))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve_call(self, call: CallFrame) -> None:
        """Runs the handler of a call, and sends the answer.

        If the handler raises an unexpected error, no answer is sent, as it isn't known how much of
        the call was executed.
        """
        try:
            answer = AnswerFrame(call.number, True, await self.handler(call.operation, call.body))
        except CallRefusedError as error:
            answer = AnswerFrame(call.number, False, {"why": str(error)})
        except Exception as error:  # noqa: BLE001  # the connection's other calls continue
            self.owner.on_handler_error(call.operation, error)
            return
        if self.is_open():
            assert self.transport is not None
            self.transport.write(encode_frame(answer))
