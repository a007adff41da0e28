"""Connections on asyncio: reading and writing through ring buffers, connecting and listening."""

from __future__ import annotations

import asyncio
import errno
import select
import selectors
import socket
import struct
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

from loomstand.limiter.buffers import MemoryBudget, Ring
from loomstand.limiter.endings import Ending

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a time-out of 0 s
# Errors that mean a lack of local descriptors, memory or ports.
RESOURCE_ERRNOS = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}


class ArrivalClockSelector(selectors.DefaultSelector):
    """Selector of the event loop that bounds the arrival time of the bytes being read.

    Attributes:
        earliest_arrival: Earliest time at which bytes read in this iteration can have arrived.
        woke_at: When `select` last returned.
        count: Number of iterations.
        longest_iteration: Longest recent iteration or late wake-up in seconds; halved each second.
    """

    def __init__(self) -> None:
        super().__init__()
        self.earliest_arrival = self.woke_at = time.monotonic()
        self.count = 0
        self.longest_iteration = 0.0

    def select(self, timeout: float | None = None) -> list:
        select_started_at = time.monotonic()
        ready = super().select(timeout)
        now = time.monotonic()
        iteration_seconds = select_started_at - self.woke_at
        wake_delay = 0.0 if timeout is None else now - select_started_at - max(0.0, timeout)
        self.longest_iteration = max(
            iteration_seconds, wake_delay, self.longest_iteration * 0.5 ** (now - self.woke_at)
        )
        # If `select` took longer than the iteration before it, nothing was readable at its start.
        self.earliest_arrival = now if now - select_started_at > iteration_seconds else self.woke_at
        self.woke_at = now
        self.count += 1
        return ready

    def arrival_time(self, opened_iteration: int, opened_at: float) -> float:
        """Returns the earliest time at which bytes being read can have arrived.

        Bytes present when a connection is first polled can have arrived along with it.

        Args:
            opened_iteration: The iteration in which the connection was set up.
            opened_at: The time of its set-up.
        """
        return opened_at if self.count <= opened_iteration + 1 else self.earliest_arrival


class ReadTimeClock:
    """Arrival clock for event loops with another selector: takes the read time as arrival time."""

    count, longest_iteration = 0, 0.0

    @property
    def earliest_arrival(self) -> float:
        return time.monotonic()

    def arrival_time(self, opened_iteration: int, opened_at: float) -> float:
        return self.earliest_arrival


class SocketChannel(asyncio.BufferedProtocol):
    """One buffered connection.

    Calls `opened`, `received` and, once, `ended` of its user; none of them after `drop`.

    Attributes:
        user: The object that uses the connection; None once the connection is lost.
        inbound: Received bytes that the user hasn't processed.
        outbound: Bytes that the transport doesn't accept yet.
        transport: The transport; None until the connection is established.
        ending: Why the connection ended; None before.
        cancel_connect: Cancels the pending connect, if any.
        write_paused: Whether the transport has bytes that the kernel doesn't accept yet.
        lingering: Whether `finish` was called: received bytes are discarded, and the connection
            ends when the peer closes its side.
        reading: Whether reading is not paused.
    """

    __slots__ = (
        "cancel_connect",
        "ending",
        "inbound",
        "lingering",
        "outbound",
        "reading",
        "transport",
        "user",
        "write_paused",
    )

    def __init__(
        self, user: object, memory_budget: MemoryBudget, max_inbound: int, max_outbound: int = 0
    ) -> None:
        """Creates an unconnected channel.

        Args:
            user: The object that uses the connection.
            memory_budget: The budget for both buffers.
            max_inbound: Maximum size of the receive buffer in bytes.
            max_outbound: Maximum size of the send buffer in bytes; 0 for that of the receive
                buffer.
        """
        self.user = user
        self.inbound, self.outbound = (
            Ring(memory_budget, max_inbound),
            Ring(memory_budget, max_outbound or max_inbound),
        )
        self.transport: asyncio.Transport | None = None
        self.ending: Ending | None = None
        self.cancel_connect: Callable[[], None] | None = None
        self.write_paused = self.lingering = False
        self.reading = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(0)
        if self.ending:
            transport.abort()
        else:
            self.user.opened()

    def get_buffer(self, sizehint: int) -> memoryview:
        space = self.inbound.space()
        if space:
            return space
        self.stop(
            Ending.OVERSIZED if self.inbound.size >= self.inbound.max_size else Ending.NO_ROOM
        )
        return memoryview(bytearray(1))  # asyncio doesn't accept an empty buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self.ending is None and not self.lingering:
            self.inbound.wrote(nbytes)
            self.user.received()

    def eof_received(self) -> bool:
        self.stop(Ending.FINISHED if self.lingering else Ending.CLOSED)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.stop(Ending.RESET)
        self.inbound.close()
        self.outbound.close()
        # Breaks the reference cycle, so that memory is freed without the garbage collector.
        self.user = None

    def pause_writing(self) -> None:
        self.write_paused = True

    def resume_writing(self) -> None:
        self.write_paused = False
        self.flush()

    def send(self, data: bytes) -> bool:
        """Writes or queues all of `data`; returns False, with nothing queued, if it doesn't fit."""
        if self.ending is not None:
            return False
        if self.write_paused or self.outbound.used:
            return self.outbound.put(data)
        self.transport.write(data)  # pauses writing if the socket doesn't take it all
        return True

    def flush(self) -> None:
        """Writes queued bytes while the transport accepts them, then the end of stream if due."""
        while self.outbound.used and not self.write_paused and self.ending is None:
            self.transport.write(self.outbound.take(self.outbound.used))
        if self.lingering and self.written and self.ending is None:
            self.send_eof()

    @property
    def written(self) -> bool:
        """Whether the last byte has been passed to the kernel."""
        return not self.write_paused and not self.outbound.used

    @property
    def unread(self) -> bool:
        """Whether the kernel holds unread bytes or an end of stream."""
        # A simulated transport has no socket, and provides a function for this.
        if (query := self.transport.get_extra_info("unread")) is not None:
            return query()
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def stop(self, ending: Ending) -> None:
        """Aborts the connection and notifies its user."""
        if self.ending is None:
            self.drop(ending)
            self.user.ended(ending)

    def drop(self, ending: Ending) -> None:
        """Aborts the connection without notifying its user."""
        if self.ending is None:
            self.ending = ending
            if self.transport is not None:
                self.transport.abort()
            elif self.cancel_connect is not None:
                self.cancel_connect()

    def discard_unsent(self) -> None:
        """Makes the next close a reset, which discards unsent bytes in the kernel.

        Otherwise they could be delivered seconds later, when a network partition heals.
        """
        if self.transport is not None:
            reset_on_close(self.transport)

    def finish(self) -> None:
        """Closes the sending side after the queued bytes; received bytes are discarded."""
        if self.ending is None and not self.lingering:
            self.lingering = True
            self.inbound.close()
            if self.written:
                self.send_eof()

    def send_eof(self) -> None:
        try:
            self.transport.write_eof()
        except OSError:
            self.stop(Ending.RESET)

    def pause_reading(self) -> None:
        """Pauses reading until `resume_reading`."""
        if self.ending is None and self.reading:
            self.reading = False
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        if self.ending is None and not self.reading:
            self.reading = True
            self.transport.resume_reading()


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Makes closing the transport discard unsent bytes and reset the connection (SO_LINGER 0)."""
    # A simulated transport has no socket, and provides a function for this.
    if (set_reset_on_close := transport.get_extra_info("reset_on_close")) is not None:
        set_reset_on_close()
    elif (sock := transport.get_extra_info("socket")) is not None:
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def address_family(address: tuple[str, int]) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


Address = tuple[str, int]


class Streams(Protocol):
    """Replacement for `connect` and `listen` on a network without real sockets."""

    def connect(
        self,
        loop: asyncio.AbstractEventLoop,
        channel: SocketChannel,
        address: Address,
        within: float,
    ) -> None:
        """See `connect` below."""
        ...

    async def listen(
        self,
        loop: asyncio.AbstractEventLoop,
        protocol_factory: Callable[[], SocketChannel],
        address: Address,
        accepts_per_iteration: int,
        backlog: int,
    ) -> ListeningEndpoint:
        """See `listen` below."""
        ...


class ListeningEndpoint(Protocol):
    """A listening endpoint, such as an `asyncio.Server`."""

    def close(self) -> None: ...


async def listen(
    loop: asyncio.AbstractEventLoop,
    protocol_factory: Callable[[], SocketChannel],
    address: Address,
    accepts_per_iteration: int,
    backlog: int,
) -> ListeningEndpoint:
    """Listens for connections.

    Args:
        loop: The running event loop.
        protocol_factory: Creates the protocol object of a connection.
        address: Host and port to listen on.
        accepts_per_iteration: Maximum number of connections accepted per event loop iteration.
        backlog: Kernel backlog of connections that are not accepted yet.

    Raises:
        OSError: The address can't be bound.
    """
    sock = socket.create_server(address, family=address_family(address))
    # asyncio uses the backlog as the number of connections to accept per iteration.
    server = await loop.create_server(protocol_factory, sock=sock, backlog=accepts_per_iteration)
    sock.listen(backlog)
    return SocketListener(loop, sock, server)


class SocketListener:
    """A listening socket that completes connections accepted just before its close."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, sock: socket.socket, server: asyncio.Server
    ) -> None:
        """Creates the handle of a listening socket, from which `server` accepts connections."""
        self._loop = loop
        self._sock = sock
        self._server = server
        self._is_closed = False

    def close(self) -> None:
        """Stops accepting; connections accepted in this event loop iteration are still set up.

        asyncio sets up a connection in the iteration after its accept, and drops it without closing
        it if the server is closed by then. So accepting stops now, and the server is closed one
        iteration later.
        """
        if self._is_closed:
            return
        self._is_closed = True
        self._loop.remove_reader(self._sock.fileno())
        self._loop.call_soon(self._server.close)


def connect(
    loop: asyncio.AbstractEventLoop, channel: SocketChannel, address: tuple[str, int], within: float
) -> None:
    """Opens a connection for `channel`.

    Its user gets `opened`, or `ended` if the connect fails or takes more than `within` seconds.
    """

    async def open_connection() -> None:
        sock = None
        try:
            sock = socket.socket(address_family(address), socket.SOCK_STREAM)
            sock.setblocking(False)
            await loop.sock_connect(sock, address)
            connected, sock = sock, None
            await loop.create_connection(lambda: channel, sock=connected)
        except OSError as error:
            channel.stop(Ending.NO_ROOM if error.errno in RESOURCE_ERRNOS else Ending.REFUSED)
        finally:
            timer.cancel()
            if sock is not None:
                sock.close()

    def on_timeout() -> None:
        if channel.transport is None:
            channel.stop(Ending.SILENT_CONNECT)

    task = loop.create_task(open_connection())
    timer = loop.call_later(within, on_timeout)

    def cancel() -> None:
        timer.cancel()
        task.cancel()

    channel.cancel_connect = cancel
