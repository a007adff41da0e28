"""Simulated TCP: byte streams under the sky, as transports for protocols of asyncio
(`net.driver.Wire`).

A connection's two ends are its machines' kernels'; what their processes are told runs in their
lives. Bytes come in order, whole, in pieces. What meets a cut is sent again, ever more rarely,
until it comes through or its sender's kernel forgets it; resets are sent once. A write waits where
the other end's window is full.
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
from loomstand.limiter.event_loop import Wire
from loomstand.rpc.errors import CallRefusedError
from loomstand.testing.simulation.loop import SimProcess
from loomstand.testing.simulation.machine import Machine
from loomstand.testing.simulation.network import LINK_DELAY_SECONDS, Listener, SimNetwork

Address = tuple[str, int]
WINDOW_BYTES = 16384  # bytes that an end takes which its process hasn't read: windows are small
# s until what meets a cut is sent again: of bytes at first, of an opening, and at most
RETRANSMIT_SECONDS = 0.2, 1.0, 3.0
SPLIT_SHARE = 0.15  # share of writes that come in two pieces
_KERNEL_CONTEXT = (
    contextvars.Context()
)  # in no life: kernels go on where processes are frozen or killed


class SegmentKind(Enum):
    """What is on the way."""

    SYN = auto()
    SYN_ACK = auto()  # the answer to an opening
    DATA = auto()
    WINDOW_UPDATE = auto()  # so much was read: the window is open again
    FIN = auto()
    RST = auto()


@dataclass(slots=True)
class StreamListener(Listener):
    """A listener for streams among the sky's."""

    protocol_factory: Callable[[], asyncio.BaseProtocol] = field(kw_only=True)

    def close(self) -> None:
        """New connections are refused."""
        for address in [a for a, at in self.network.listeners.items() if at is self]:
            del self.network.listeners[address]

    network: SimNetwork = field(kw_only=True)


@dataclass(slots=True)
class TcpStack:
    """All connections under a sky. `ends` has each until its process and its kernel are done with
    it.
    """

    network: SimNetwork
    rng: Random
    transports: set[SimTransport] = field(default_factory=set)

    def process_ended(self, process: SimProcess) -> None:
        """A process ended: its machine's kernel closes what it had, by a reset where bytes are
        unread, and often by one otherwise.
        """
        for end in sorted(
            (e for e in self.transports if e.process is process), key=lambda e: e.number
        ):
            end.process_ended()


class SimTransport(asyncio.Transport):
    """One end of a connection."""

    count = 0

    def __init__(self, tcp: TcpStack, host: str, process: SimProcess | None, far: str) -> None:
        super().__init__()
        SimTransport.count += 1
        self.number = SimTransport.count  # so that sets of them have an order
        self.tcp, self.host, self.process, self.remote_host = tcp, host, process, far
        self.loop = asyncio.get_running_loop()
        self.context = process.context() if process is not None else contextvars.Context()
        self.protocol: Any = None
        self.peer: SimTransport | None = None
        self.on_refused: Callable[[], None] | None = None  # of one that hasn't come up
        # on the way out
        self.in_transit: deque[tuple[float, SegmentKind, Any]] = deque()
        self.timer: asyncio.TimerHandle | None = None
        self.last_arrival_at, self.retransmit_delay = 0.0, RETRANSMIT_SECONDS[0]
        # sending
        # what waits in the process; what the other end takes
        self.buffer, self.send_window = bytearray(), WINDOW_BYTES
        self.write_paused = self.eof_requested = self.fin_sent = (
            False  # writing paused; its end is wanted; is sent
        )
        # receiving
        self.received: deque[bytes] = deque()  # read by the kernel, not by the process
        self.remote_end: SegmentKind | None = None
        self.reading, self.delivery_scheduled, self.eof_delivered = True, False, False
        self.resets_on_close = False  # its close is a reset, as with SO_LINGER 0
        self.closing = self.closed = self.loss_notified = (
            False  # by the process; `lost` once it was told
        )
        self.discarded = False  # the kernel knows the connection no more
        tcp.transports.add(self)

    # the process's side

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        if name == "reset_on_close":
            return self.set_reset_on_close
        if name == "unread":
            return lambda: bool(self.received) or self.remote_end is not None
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
            raise RuntimeError("written after its end")
        if self.closed or self.closing:
            return
        if self.discarded:
            self.fail(ConnectionResetError("written to a connection that broke"))
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
        """Ends it once all is written."""
        if not self.closing and not self.closed:
            self.closing = True
            self.flush()

    def abort(self) -> None:
        """As a socket's close: what the kernel has is still sent, but bytes left unread make it a
        reset.
        """
        self.buffer.clear()
        if not self.closed:
            self.finish_close(None)

    def flush(self) -> None:
        """Gives the kernel what it takes."""
        if self.buffer and self.send_window and not self.discarded:
            piece = bytes(self.buffer[: self.send_window])
            del self.buffer[: len(piece)]
            self.send_window -= len(piece)
            if len(piece) > 1 and self.tcp.rng.random() < SPLIT_SHARE:
                cut = self.tcp.rng.randrange(1, len(piece))
                self.send_segment(SegmentKind.DATA, piece[:cut])
                piece = piece[cut:]
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

    def fail(self, why: Exception) -> None:
        self.buffer.clear()
        if not self.closed:
            self.finish_close(why)

    def finish_close(self, why: Exception | None) -> None:
        self.closed = True
        if not self.discarded:
            if self.received or self.resets_on_close:
                self.reset()
            elif not self.fin_sent:
                self.fin_sent = True
                self.send_segment(SegmentKind.FIN)
            self.discard_if_done()
        self.loop.call_soon(self.notify_connection_lost, why, context=self.context)

    def notify_connection_lost(self, why: Exception | None) -> None:
        if not self.loss_notified:
            self.loss_notified = True
            if self.protocol is not None:
                self.protocol.connection_lost(why)

    def establish(self) -> None:
        """The connection stands: its process hears of it."""
        if not self.closed:
            self.protocol.connection_made(self)
            self.deliver_received()

    def schedule_delivery(self) -> None:
        if not self.delivery_scheduled and not self.closed:
            self.delivery_scheduled = True
            self.loop.call_soon(self.deliver_received, context=self.context)

    def deliver_received(self) -> None:
        """Gives the process what has come."""
        self.delivery_scheduled = False
        if self.protocol is None:
            return
        while self.received and self.reading and not self.closed:
            data, taken = self.received.popleft(), 0
            if isinstance(self.protocol, asyncio.BufferedProtocol):
                while taken < len(data) and not self.closed:
                    space = self.protocol.get_buffer(-1)
                    n = min(len(space), len(data) - taken)
                    space[:n] = data[taken : taken + n]
                    taken += n
                    self.protocol.buffer_updated(n)
            else:
                self.protocol.data_received(data)
            if not self.discarded:
                self.send_segment(SegmentKind.WINDOW_UPDATE, len(data))
        if self.remote_end is None or self.closed or self.received or not self.reading:
            return
        if self.remote_end is SegmentKind.RST:
            self.fail(ConnectionResetError("reset"))
        elif not self.eof_delivered:
            self.eof_delivered = True
            if not self.protocol.eof_received():
                self.close()

    # the kernel's side

    def send_segment(self, kind: SegmentKind, data: Any = b"") -> None:
        """On the way, behind what is there."""
        network, (low, high) = self.tcp.network, LINK_DELAY_SECONDS
        took = (
            network.rng.uniform(low, high)
            + network.extra_delay_seconds.get(self.host, 0.0)
            + network.extra_delay_seconds.get(self.remote_host, 0.0)
        )
        if network.loss_rate and network.rng.random() < network.loss_rate:
            took += RETRANSMIT_SECONDS[0]
        self.last_arrival_at = max(self.last_arrival_at, self.loop.time() + took)
        self.in_transit.append((self.last_arrival_at, kind, data))
        self.arm_timer()

    def arm_timer(self, at: float = 0.0) -> None:
        if self.timer is None and self.in_transit:
            self.timer = self.loop.call_at(
                max(at, self.in_transit[0][0]), self.transmit, context=_KERNEL_CONTEXT
            )

    def transmit(self) -> None:
        """Brings over what is due, or tries again later."""
        self.timer, now, network = None, self.loop.time(), self.tcp.network
        if not network.is_reachable(self.host, self.remote_host):
            # a reset is sent once, and nothing of that connection again
            if self.host in network.powered_off or any(
                kind is SegmentKind.RST for _, kind, _ in self.in_transit
            ):
                self.in_transit.clear()
            self.arm_timer(now + self.retransmit_delay * (0.8 + 0.4 * self.tcp.rng.random()))
            self.retransmit_delay = min(RETRANSMIT_SECONDS[2], 2 * self.retransmit_delay)
            return
        self.retransmit_delay = RETRANSMIT_SECONDS[0]
        while self.in_transit and self.in_transit[0][0] <= now:
            _, kind, data = self.in_transit.popleft()
            if kind is SegmentKind.SYN:
                self.open_at_listener(data)
            elif self.peer is not None:
                self.peer.receive_segment(kind, data)
        self.arm_timer()
        self.discard_if_done()

    def open_at_listener(self, address: Address) -> None:
        """An opening has come to where it goes."""
        port, tcp = self.tcp.network.listeners.get(address), self.tcp
        there = isinstance(port, StreamListener) and port.process.alive
        other = SimTransport(tcp, address[0], port.process if there else None, self.host)
        self.peer, other.peer = other, self
        if self.discarded:  # given up meanwhile
            there = False
        other.send_segment(SegmentKind.SYN_ACK if there else SegmentKind.RST)
        if not there:
            other.discarded = other.closed = True
            return

        def accept() -> None:
            other.protocol = port.protocol_factory()
            other.establish()

        self.loop.call_soon(accept, context=other.context)

    def receive_segment(self, kind: SegmentKind, data: Any) -> None:
        if self.discarded:
            if kind not in (SegmentKind.RST, SegmentKind.WINDOW_UPDATE):
                self.send_segment(SegmentKind.RST)
        elif kind is SegmentKind.RST:
            self.discarded, self.remote_end = True, SegmentKind.RST
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
            self.remote_end = SegmentKind.FIN
            self.schedule_delivery()
        elif self.closed:  # nobody is there to read it
            self.reset()
        else:
            self.received.append(data)
            self.schedule_delivery()
        self.discard_if_done()

    def reset(self) -> None:
        """The kernel breaks it off, once; what is on the way comes before that. What met a cut
        never comes, nor what was sent after it: no byte is read over a gap.
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
        """Its process is no more."""
        self.closed = self.loss_notified = True
        if self.received or self.tcp.rng.random() < 0.5:
            self.reset()
        elif not self.discarded and not self.fin_sent:
            self.fin_sent = True
            self.send_segment(SegmentKind.FIN)
        self.discard_if_done()

    def discard_if_done(self) -> None:
        """Forgets what is over on both sides."""
        if (
            self.closed
            and not self.in_transit
            and (self.discarded or (self.fin_sent and self.remote_end is SegmentKind.FIN))
        ):
            self.discarded = True
            self.tcp.transports.discard(self)


class Host(Machine):
    """A machine whose connections end with its processes."""

    tcp: TcpStack

    def kill(self) -> None:
        super().kill()
        if self.process is not None:
            self.tcp.process_ended(self.process)

    def power_off(self, wipe: bool = False) -> None:
        """Falls silent: nothing says that its connections are over until somebody writes to it
        later.
        """
        self.network.powered_off.add(self.host)
        super().power_off(wipe)

    async def terminate(self) -> None:
        """SIGTERM: its programs are asked to stop; the machine stays on."""
        if self.process is not None:
            loop = asyncio.get_running_loop()
            await asyncio.gather(
                *(loop.create_task(p.stop(), context=self.process.context()) for p in self.programs)
            )
            self.kill()


@dataclass(slots=True)
class Streams:
    """Connections of one life on one host: `net.driver.Streams`, and `open` for stand-ins."""

    tcp: TcpStack
    host: str
    process: SimProcess

    async def listen(
        self, loop: Any, make: Callable[[], Any], address: Address, *bounds: int
    ) -> StreamListener:
        port = StreamListener(
            self.process, _refuse_call, protocol_factory=make, network=self.tcp.network
        )
        self.tcp.network.listeners[address] = port
        return port

    def dial(self, protocol: Any, address: Address, refused: Callable[[], None]) -> SimTransport:
        """An opening on its way; `protocol` hears of it once the connection stands."""
        end = SimTransport(self.tcp, self.host, self.process, address[0])
        end.protocol, end.on_refused, end.retransmit_delay = (
            protocol,
            refused,
            RETRANSMIT_SECONDS[1],
        )
        end.send_segment(SegmentKind.SYN, address)
        return end

    def connect(self, loop: Any, wire: Wire, address: Address, within: float) -> None:
        """As `net.driver.connect`."""

        def refused() -> None:
            timer.cancel()
            wire.stop(Ending.REFUSED)

        def late() -> None:
            if wire.transport is None:
                wire.stop(Ending.SILENT_CONNECT)

        end = self.dial(wire, address, refused)
        timer = loop.call_later(within, late)

        def off() -> None:
            timer.cancel()
            end.on_refused, end.closed, end.discarded = None, True, True
            end.in_transit.clear()
            end.discard_if_done()

        wire.off = off

    async def open(self, make: Callable[[], Any], address: Address, within: float) -> Any:
        """A connection's protocol once it stands. Raises ConnectionRefusedError or TimeoutError."""
        stands: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        def done(why: Exception | None = None) -> None:
            if not stands.done():
                stands.set_exception(why) if why else stands.set_result(None)

        protocol = make()
        made, protocol.on_established = protocol, done
        end = self.dial(made, address, lambda: done(ConnectionRefusedError(address)))
        try:
            async with asyncio.timeout(within):
                await stands
        except BaseException:
            end.on_refused, end.closed, end.discarded = None, True, True
            end.in_transit.clear()
            end.discard_if_done()
            raise
        return made


async def _refuse_call(op: str, body: dict[str, Any]) -> dict[str, Any]:
    raise CallRefusedError("no calls here")
