"""Simulated TCP: transports for asyncio protocols such as `event_loop.SocketChannel`.

Each end of a connection belongs to the kernel of its machine; callbacks of the protocol run in its
process. Bytes arrive complete and in order; some writes are split into two segments. Segments on a
blocked link are sent again with exponential backoff until they arrive or the sender's kernel drops
the connection; resets are sent once. A write waits while the receiver's window is full.
"""

from __future__ import annotations

import asyncio
import contextvars
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from random import Random
from typing import Any

from loomstand.limiter.endings import Ending
from loomstand.limiter.event_loop import SocketChannel
from loomstand.rpc.errors import CallRefusedError
from loomstand.testing.simulation.loop import SimProcess
from loomstand.testing.simulation.machine import Machine
from loomstand.testing.simulation.network import LINK_DELAY_SECONDS, Listener, SimNetwork

Address = tuple[str, int]
WINDOW_BYTES = 16384  # receive window: unread bytes that an end accepts
# Delay until a blocked segment is sent again; it doubles with each retransmission.
INITIAL_RETRANSMIT_SECONDS = 0.2
SYN_RETRANSMIT_SECONDS = 1.0  # initial delay of a SYN
MAX_RETRANSMIT_SECONDS = 3.0
SPLIT_SHARE = 0.15  # share of the writes that are sent in two segments
# Belongs to no process: kernels go on when processes are frozen or killed.
_KERNEL_CONTEXT = contextvars.Context()


class SegmentKind(Enum):
    """The kind of a simulated segment."""

    SYN = auto()
    SYN_ACK = auto()
    DATA = auto()
    WINDOW_UPDATE = auto()  # carries the number of bytes that the receiving process has read
    FIN = auto()
    RST = auto()


@dataclass(slots=True)
class StreamListener(Listener):
    """A listener of the simulated network that accepts streams."""

    protocol_factory: Callable[[], asyncio.BaseProtocol] = field(kw_only=True)
    network: SimNetwork = field(kw_only=True)

    def close(self) -> None:
        """Stops listening: new connections are refused."""
        for address in [a for a, other in self.network.listeners.items() if other is self]:
            del self.network.listeners[address]


@dataclass(slots=True)
class TcpStack:
    """All simulated TCP connections.

    `transports` contains each end of a connection until its process and its kernel have closed it.
    """

    network: SimNetwork
    rng: Random
    transports: set[SimTransport] = field(default_factory=set)

    def process_ended(self, process: SimProcess) -> None:
        """Closes the connections of a process that ended, as its kernel does.

        Those with unread bytes are reset, the others at random reset or closed by FIN.
        """
        for end in sorted(
            (e for e in self.transports if e.process is process), key=lambda e: e.number
        ):
            end.process_ended()


class SimTransport(asyncio.Transport):
    """One end of a connection."""

    count = 0

    def __init__(
        self, tcp: TcpStack, host: str, process: SimProcess | None, remote_host: str
    ) -> None:
        super().__init__()
        SimTransport.count += 1
        self.number = SimTransport.count  # orders sets of transports in the same way in every run
        self.tcp, self.host, self.process, self.remote_host = tcp, host, process, remote_host
        self.loop = asyncio.get_running_loop()
        self.context = process.context() if process is not None else contextvars.Context()
        self.protocol: Any = None
        self.peer: SimTransport | None = None
        self.on_refused: Callable[[], None] | None = None  # set until the connection is established
        # segments in transit to the other end: time of arrival, kind, and data
        self.in_transit: deque[tuple[float, SegmentKind, Any]] = deque()
        self.timer: asyncio.TimerHandle | None = None
        self.last_arrival_at, self.retransmit_delay = 0.0, INITIAL_RETRANSMIT_SECONDS
        # sending
        self.buffer = bytearray()  # written by the process, not yet taken by the kernel
        self.send_window = WINDOW_BYTES  # bytes that the other end still accepts
        self.write_paused = False
        self.eof_requested = False  # by the process
        self.fin_sent = False  # by the kernel
        # receiving
        self.received: deque[bytes] = deque()  # by the kernel, not yet read by the process
        self.received_close: SegmentKind | None = None  # FIN or RST once it has arrived
        self.reading, self.delivery_scheduled, self.eof_delivered = True, False, False
        # closing
        self.resets_on_close = False  # close sends a reset, as with SO_LINGER 0
        self.closing = False  # the process has called `close`; data is still to be sent
        self.closed = False  # the process has no access any more
        self.loss_notified = False  # `connection_lost` was called
        self.discarded = False  # the kernel has dropped the connection
        tcp.transports.add(self)

    # --- calls by the process

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        if name == "reset_on_close":
            return self.set_reset_on_close
        if name == "unread":
            return lambda: bool(self.received) or self.received_close is not None
        return (self.remote_host, 0) if name == "peername" else default

    def set_reset_on_close(self) -> None:
        self.resets_on_close = True

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return len(self.buffer)

    def is_closing(self) -> bool:
        return self.closing or self.closed

    def can_write_eof(self) -> bool:
        return True

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        self.protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        return self.protocol

    def is_reading(self) -> bool:
        return self.reading

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True
        self.schedule_delivery()

    def write(self, data: Any) -> None:
        if self.eof_requested:
            raise RuntimeError("write after EOF")
        if self.closed or self.closing:
            return
        if self.discarded:
            self.fail(ConnectionResetError("write to a broken connection"))
            return
        self.buffer += data
        self.flush()
        if self.buffer and not self.write_paused:
            self.write_paused = True
            self.protocol.pause_writing()

    def write_eof(self) -> None:
        if self.discarded:
            raise OSError("not connected")
        self.eof_requested = True
        self.flush()

    def close(self) -> None:
        """Closes the connection once all data is written."""
        if not self.closing and not self.closed:
            self.closing = True
            self.flush()

    def abort(self) -> None:
        """Closes the connection as closing a socket does.

        Bytes that the kernel has taken are still sent. If received bytes are unread, the kernel
        sends a reset.
        """
        self.buffer.clear()
        if not self.closed:
            self.finish_close(None)

    def flush(self) -> None:
        """Passes buffered bytes to the kernel, as far as the send window allows."""
        if self.buffer and self.send_window and not self.discarded:
            piece = bytes(self.buffer[: self.send_window])
            del self.buffer[: len(piece)]
            self.send_window -= len(piece)
            if len(piece) > 1 and self.tcp.rng.random() < SPLIT_SHARE:
                split_at = self.tcp.rng.randrange(1, len(piece))
                self.send_segment(SegmentKind.DATA, piece[:split_at])
                piece = piece[split_at:]
            self.send_segment(SegmentKind.DATA, piece)
        if self.buffer:
            return
        if self.write_paused and not self.closed:
            self.write_paused = False
            self.protocol.resume_writing()
        if (self.eof_requested or self.closing) and not self.fin_sent and not self.discarded:
            self.fin_sent = True
            self.send_segment(SegmentKind.FIN)
        if self.closing and not self.closed:
            self.finish_close(None)

    def fail(self, error: Exception) -> None:
        """Drops unsent bytes and closes the connection with an error."""
        self.buffer.clear()
        if not self.closed:
            self.finish_close(error)

    def finish_close(self, error: Exception | None) -> None:
        """Closes the connection for the process, by a reset if received bytes are unread."""
        self.closed = True
        if not self.discarded:
            if self.received or self.resets_on_close:
                self.reset()
            elif not self.fin_sent:
                self.fin_sent = True
                self.send_segment(SegmentKind.FIN)
            self.discard_if_done()
        self.loop.call_soon(self.notify_connection_lost, error, context=self.context)

    def notify_connection_lost(self, error: Exception | None) -> None:
        """Calls `connection_lost` of the protocol, once."""
        if not self.loss_notified:
            self.loss_notified = True
            if self.protocol is not None:
                self.protocol.connection_lost(error)

    def establish(self) -> None:
        """Calls `connection_made` of the protocol."""
        if not self.closed:
            self.protocol.connection_made(self)
            self.deliver_received()

    def schedule_delivery(self) -> None:
        """Schedules `deliver_received` in the process, once."""
        if not self.delivery_scheduled and not self.closed:
            self.delivery_scheduled = True
            self.loop.call_soon(self.deliver_received, context=self.context)

    def deliver_received(self) -> None:
        """Passes received bytes, then EOF or a reset, to the protocol."""
        self.delivery_scheduled = False
        if self.protocol is None:
            return
        while self.received and self.reading and not self.closed:
            data, copied = self.received.popleft(), 0
            if isinstance(self.protocol, asyncio.BufferedProtocol):
                while copied < len(data) and not self.closed:
                    space = self.protocol.get_buffer(-1)
                    n = min(len(space), len(data) - copied)
                    space[:n] = data[copied : copied + n]
                    copied += n
                    self.protocol.buffer_updated(n)
            else:
                self.protocol.data_received(data)
            if not self.discarded:
                self.send_segment(SegmentKind.WINDOW_UPDATE, len(data))
        if self.received_close is None or self.closed or self.received or not self.reading:
            return
        if self.received_close is SegmentKind.RST:
            self.fail(ConnectionResetError("reset"))
        elif not self.eof_delivered:
            self.eof_delivered = True
            if not self.protocol.eof_received():
                self.close()

    # --- segments, handled by the kernel

    def send_segment(self, kind: SegmentKind, data: Any = b"") -> None:
        """Puts a segment in transit, behind those sent before."""
        network, (low, high) = self.tcp.network, LINK_DELAY_SECONDS
        delay = (
            network.rng.uniform(low, high)
            + network.extra_delay_seconds.get(self.host, 0.0)
            + network.extra_delay_seconds.get(self.remote_host, 0.0)
        )
        if network.loss_rate and network.rng.random() < network.loss_rate:
            delay += INITIAL_RETRANSMIT_SECONDS
        self.last_arrival_at = max(self.last_arrival_at, self.loop.time() + delay)
        self.in_transit.append((self.last_arrival_at, kind, data))
        self.arm_timer()

    def arm_timer(self, at: float = 0.0) -> None:
        """Schedules `transmit` for the first segment in transit, not before `at`."""
        if self.timer is None and self.in_transit:
            self.timer = self.loop.call_at(
                max(at, self.in_transit[0][0]), self.transmit, context=_KERNEL_CONTEXT
            )

    def transmit(self) -> None:
        """Delivers the segments that are due; on a blocked link it tries again later."""
        self.timer, now, network = None, self.loop.time(), self.tcp.network
        if not network.is_reachable(self.host, self.remote_host):
            # a reset is sent once, and after it no other segment is retransmitted
            if self.host in network.powered_off or any(
                kind is SegmentKind.RST for _, kind, _ in self.in_transit
            ):
                self.in_transit.clear()
            self.arm_timer(now + self.retransmit_delay * (0.8 + 0.4 * self.tcp.rng.random()))
            self.retransmit_delay = min(MAX_RETRANSMIT_SECONDS, 2 * self.retransmit_delay)
            return
        self.retransmit_delay = INITIAL_RETRANSMIT_SECONDS
        while self.in_transit and self.in_transit[0][0] <= now:
            _, kind, data = self.in_transit.popleft()
            if kind is SegmentKind.SYN:
                self.open_at_listener(data)
            elif self.peer is not None:
                self.peer.receive_segment(kind, data)
        self.arm_timer()
        self.discard_if_done()

    def open_at_listener(self, address: Address) -> None:
        """Handles a SYN that has arrived: the listener accepts it, or it is reset."""
        listener, tcp = self.tcp.network.listeners.get(address), self.tcp
        is_accepted = isinstance(listener, StreamListener) and listener.process.alive
        accepting_end = SimTransport(
            tcp, address[0], listener.process if is_accepted else None, self.host
        )
        self.peer, accepting_end.peer = accepting_end, self
        if self.discarded:  # the client has closed the connection since
            is_accepted = False
        accepting_end.send_segment(SegmentKind.SYN_ACK if is_accepted else SegmentKind.RST)
        if not is_accepted:
            accepting_end.discarded = accepting_end.closed = True
            return

        def accept() -> None:
            accepting_end.protocol = listener.protocol_factory()
            accepting_end.establish()

        self.loop.call_soon(accept, context=accepting_end.context)

    def receive_segment(self, kind: SegmentKind, data: Any) -> None:
        """Handles a segment that has arrived at the kernel of this end."""
        if self.discarded:
            if kind not in (SegmentKind.RST, SegmentKind.WINDOW_UPDATE):
                self.send_segment(SegmentKind.RST)
        elif kind is SegmentKind.RST:
            self.discarded, self.received_close = True, SegmentKind.RST
            self.in_transit.clear()
            if self.on_refused is not None:
                self.loop.call_soon(self.on_refused, context=self.context)
            self.schedule_delivery()
        elif kind is SegmentKind.SYN_ACK:
            self.on_refused = None
            self.loop.call_soon(self.establish, context=self.context)
        elif kind is SegmentKind.WINDOW_UPDATE:
            self.send_window += data
            if not self.closed:
                self.loop.call_soon(self.flush, context=self.context)
        elif kind is SegmentKind.FIN:
            self.received_close = SegmentKind.FIN
            self.schedule_delivery()
        elif self.closed:  # the process doesn't read any more
            self.reset()
        else:
            self.received.append(data)
            self.schedule_delivery()
        self.discard_if_done()

    def reset(self) -> None:
        """Sends a reset after the segments in transit; later calls have no effect.

        If a blocked link has already delayed the first of them, all are dropped, so that the other
        end reads no byte beyond a gap.
        """
        if not self.discarded:
            if self.in_transit and self.in_transit[0][0] <= self.loop.time():
                self.in_transit.clear()
            if self.timer is not None:
                self.timer.cancel()
                self.timer = None
            if self.peer is not None:
                self.send_segment(SegmentKind.RST)
            self.discarded = True

    def process_ended(self) -> None:
        """Closes the connection after its process has ended."""
        self.closed = self.loss_notified = True
        if self.received or self.tcp.rng.random() < 0.5:
            self.reset()
        elif not self.discarded and not self.fin_sent:
            self.fin_sent = True
            self.send_segment(SegmentKind.FIN)
        self.discard_if_done()

    def discard_if_done(self) -> None:
        """Drops the transport once both ends have closed the connection."""
        if (
            self.closed
            and not self.in_transit
            and (self.discarded or (self.fin_sent and self.received_close is SegmentKind.FIN))
        ):
            self.discarded = True
            self.tcp.transports.discard(self)


class Host(Machine):
    """A machine whose connections are closed when its process ends."""

    tcp: TcpStack

    def kill(self) -> None:
        super().kill()
        if self.process is not None:
            self.tcp.process_ended(self.process)

    def power_off(self, wipe: bool = False) -> None:
        """Powers off without closing connections: a peer notices only when it writes."""
        self.network.powered_off.add(self.host)
        super().power_off(wipe)

    async def terminate(self) -> None:
        """Stops the programs as on SIGTERM; the machine stays on."""
        if self.process is not None:
            loop = asyncio.get_running_loop()
            await asyncio.gather(
                *(loop.create_task(p.stop(), context=self.process.context()) for p in self.programs)
            )
            self.kill()


@dataclass(slots=True)
class Streams:
    """Listens and connects for one process on a host, as `event_loop` does on sockets."""

    tcp: TcpStack
    host: str
    process: SimProcess

    async def listen(
        self, loop: Any, make: Callable[[], Any], address: Address, *limits: int
    ) -> StreamListener:
        """Accepts connections to an address with protocols that `make` creates.

        `limits` (accepts per iteration, backlog) have no effect.
        """
        listener = StreamListener(
            self.process, _refuse_call, protocol_factory=make, network=self.tcp.network
        )
        self.tcp.network.listeners[address] = listener
        return listener

    def dial(self, protocol: Any, address: Address, refused: Callable[[], None]) -> SimTransport:
        """Sends a SYN; `protocol.connection_made` is called once the connection is established."""
        end = SimTransport(self.tcp, self.host, self.process, address[0])
        end.protocol, end.on_refused, end.retransmit_delay = (
            protocol,
            refused,
            SYN_RETRANSMIT_SECONDS,
        )
        end.send_segment(SegmentKind.SYN, address)
        return end

    def connect(self, loop: Any, channel: SocketChannel, address: Address, within: float) -> None:
        """Connects a `SocketChannel`; it is stopped on refusal or after `within` seconds."""

        def refused() -> None:
            timer.cancel()
            channel.stop(Ending.REFUSED)

        def time_out() -> None:
            if channel.transport is None:
                channel.stop(Ending.SILENT_CONNECT)

        end = self.dial(channel, address, refused)
        timer = loop.call_later(within, time_out)

        def cancel_connect() -> None:
            timer.cancel()
            end.on_refused, end.closed, end.discarded = None, True, True
            end.in_transit.clear()
            end.discard_if_done()

        channel.cancel_connect = cancel_connect

    async def open(self, make: Callable[[], Any], address: Address, within: float) -> Any:
        """Connects and returns the protocol.

        Raises:
            ConnectionRefusedError: The remote kernel refused the connection.
            TimeoutError: The connection wasn't established within `within` seconds.
        """
        established: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        def complete(error: Exception | None = None) -> None:
            if not established.done():
                established.set_exception(error) if error else established.set_result(None)

        protocol = make()
        protocol.on_established = complete
        end = self.dial(protocol, address, lambda: complete(ConnectionRefusedError(address)))
        try:
            async with asyncio.timeout(within):
                await established
        except BaseException:
            end.on_refused, end.closed, end.discarded = None, True, True
            end.in_transit.clear()
            end.discard_if_done()
            raise
        return protocol


async def _refuse_call(op: str, body: dict[str, Any]) -> dict[str, Any]:
    raise CallRefusedError("a stream listener serves no calls")
