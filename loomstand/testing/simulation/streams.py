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

    OPEN = auto()
    TAKEN = auto()  # the answer to an opening
    DATA = auto()
    TOOK = auto()  # so much was read: the window is open again
    END = auto()
    RESET = auto()


@dataclass(slots=True)
class StreamListener(Listener):
    """A listener for streams among the sky's."""

    make: Callable[[], asyncio.BaseProtocol] = field(kw_only=True)

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
    ends: set[SimTransport] = field(default_factory=set)

    def died(self, process: SimProcess) -> None:
        """A process ended: its machine's kernel closes what it had, by a reset where bytes are
        unread, and often by one otherwise.
        """
        for end in sorted((e for e in self.ends if e.process is process), key=lambda e: e.number):
            end.forsaken()


class SimTransport(asyncio.Transport):
    """One end of a connection."""

    count = 0

    def __init__(self, tcp: TcpStack, host: str, process: SimProcess | None, far: str) -> None:
        super().__init__()
        SimTransport.count += 1
        self.number = SimTransport.count  # so that sets of them have an order
        self.tcp, self.host, self.process, self.far = tcp, host, process, far
        self.loop = asyncio.get_running_loop()
        self.context = process.context() if process is not None else contextvars.Context()
        self.protocol: Any = None
        self.peer: SimTransport | None = None
        self.refused: Callable[[], None] | None = None  # of one that hasn't come up
        # on the way out
        self.way: deque[tuple[float, SegmentKind, Any]] = deque()
        self.timer: asyncio.TimerHandle | None = None
        self.last, self.pause = 0.0, RETRANSMIT_SECONDS[0]
        # sending
        # what waits in the process; what the other end takes
        self.buffer, self.credit = bytearray(), WINDOW_BYTES
        self.full = self.ending = self.ended = False  # writing paused; its end is wanted; is sent
        # receiving
        self.came: deque[bytes] = deque()  # read by the kernel, not by the process
        self.over: SegmentKind | None = None
        self.reading, self.woken, self.told = True, False, False
        self.resets = False  # its close is a reset, as with SO_LINGER 0
        self.closing = self.closed = self.lost = False  # by the process; `lost` once it was told
        self.gone = False  # the kernel knows the connection no more
        tcp.ends.add(self)

    # the process's side

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        if name == "reset_on_close":
            return self.abortive
        if name == "unread":
            return lambda: bool(self.came) or self.over is not None
        return (self.far, 0) if name == "peername" else default

    def abortive(self) -> None:
        self.resets = True

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
        self.wake()

    def write(self, data: Any) -> None:
        if self.ending:
            raise RuntimeError("written after its end")
        if self.closed or self.closing:
            return
        if self.gone:
            self.fail(ConnectionResetError("written to a connection that broke"))
            return
        self.buffer += data
        self.push()
        if self.buffer and not self.full:
            self.full = True
            self.protocol.pause_writing()

    def write_eof(self) -> None:
        if self.gone:
            raise OSError("not connected")
        self.ending = True
        self.push()

    def close(self) -> None:
        """Ends it once all is written."""
        if not self.closing and not self.closed:
            self.closing = True
            self.push()

    def abort(self) -> None:
        """As a socket's close: what the kernel has is still sent, but bytes left unread make it a
        reset.
        """
        self.buffer.clear()
        if not self.closed:
            self.finish(None)

    def push(self) -> None:
        """Gives the kernel what it takes."""
        if self.buffer and self.credit and not self.gone:
            piece = bytes(self.buffer[: self.credit])
            del self.buffer[: len(piece)]
            self.credit -= len(piece)
            if len(piece) > 1 and self.tcp.rng.random() < SPLIT_SHARE:
                cut = self.tcp.rng.randrange(1, len(piece))
                self.put(SegmentKind.DATA, piece[:cut])
                piece = piece[cut:]
            self.put(SegmentKind.DATA, piece)
        if self.buffer:
            return
        if self.full and not self.closed:
            self.full = False
            self.protocol.resume_writing()
        if (self.ending or self.closing) and not self.ended and not self.gone:
            self.ended = True
            self.put(SegmentKind.END)
        if self.closing and not self.closed:
            self.finish(None)

    def fail(self, why: Exception) -> None:
        self.buffer.clear()
        if not self.closed:
            self.finish(why)

    def finish(self, why: Exception | None) -> None:
        self.closed = True
        if not self.gone:
            if self.came or self.resets:
                self.reset()
            elif not self.ended:
                self.ended = True
                self.put(SegmentKind.END)
            self.settle()
        self.loop.call_soon(self.lose, why, context=self.context)

    def lose(self, why: Exception | None) -> None:
        if not self.lost:
            self.lost = True
            if self.protocol is not None:
                self.protocol.connection_lost(why)

    def up(self) -> None:
        """The connection stands: its process hears of it."""
        if not self.closed:
            self.protocol.connection_made(self)
            self.hand()

    def wake(self) -> None:
        if not self.woken and not self.closed:
            self.woken = True
            self.loop.call_soon(self.hand, context=self.context)

    def hand(self) -> None:
        """Gives the process what has come."""
        self.woken = False
        if self.protocol is None:
            return
        while self.came and self.reading and not self.closed:
            data, taken = self.came.popleft(), 0
            if isinstance(self.protocol, asyncio.BufferedProtocol):
                while taken < len(data) and not self.closed:
                    space = self.protocol.get_buffer(-1)
                    n = min(len(space), len(data) - taken)
                    space[:n] = data[taken : taken + n]
                    taken += n
                    self.protocol.buffer_updated(n)
            else:
                self.protocol.data_received(data)
            if not self.gone:
                self.put(SegmentKind.TOOK, len(data))
        if self.over is None or self.closed or self.came or not self.reading:
            return
        if self.over is SegmentKind.RESET:
            self.fail(ConnectionResetError("reset"))
        elif not self.told:
            self.told = True
            if not self.protocol.eof_received():
                self.close()

    # the kernel's side

    def put(self, kind: SegmentKind, data: Any = b"") -> None:
        """On the way, behind what is there."""
        network, (low, high) = self.tcp.network, LINK_DELAY_SECONDS
        took = (
            network.rng.uniform(low, high)
            + network.extra_delay_seconds.get(self.host, 0.0)
            + network.extra_delay_seconds.get(self.far, 0.0)
        )
        if network.loss_rate and network.rng.random() < network.loss_rate:
            took += RETRANSMIT_SECONDS[0]
        self.last = max(self.last, self.loop.time() + took)
        self.way.append((self.last, kind, data))
        self.arm()

    def arm(self, at: float = 0.0) -> None:
        if self.timer is None and self.way:
            self.timer = self.loop.call_at(
                max(at, self.way[0][0]), self.carry, context=_KERNEL_CONTEXT
            )

    def carry(self) -> None:
        """Brings over what is due, or tries again later."""
        self.timer, now, network = None, self.loop.time(), self.tcp.network
        if not network.is_reachable(self.host, self.far):
            # a reset is sent once, and nothing of that connection again
            if self.host in network.powered_off or any(
                kind is SegmentKind.RESET for _, kind, _ in self.way
            ):
                self.way.clear()
            self.arm(now + self.pause * (0.8 + 0.4 * self.tcp.rng.random()))
            self.pause = min(RETRANSMIT_SECONDS[2], 2 * self.pause)
            return
        self.pause = RETRANSMIT_SECONDS[0]
        while self.way and self.way[0][0] <= now:
            _, kind, data = self.way.popleft()
            if kind is SegmentKind.OPEN:
                self.knock(data)
            elif self.peer is not None:
                self.peer.arrive(kind, data)
        self.arm()
        self.settle()

    def knock(self, address: Address) -> None:
        """An opening has come to where it goes."""
        port, tcp = self.tcp.network.listeners.get(address), self.tcp
        there = isinstance(port, StreamListener) and port.process.alive
        other = SimTransport(tcp, address[0], port.process if there else None, self.host)
        self.peer, other.peer = other, self
        if self.gone:  # given up meanwhile
            there = False
        other.put(SegmentKind.TAKEN if there else SegmentKind.RESET)
        if not there:
            other.gone = other.closed = True
            return

        def accept() -> None:
            other.protocol = port.make()
            other.up()

        self.loop.call_soon(accept, context=other.context)

    def arrive(self, kind: SegmentKind, data: Any) -> None:
        if self.gone:
            if kind not in (SegmentKind.RESET, SegmentKind.TOOK):
                self.put(SegmentKind.RESET)
        elif kind is SegmentKind.RESET:
            self.gone, self.over = True, SegmentKind.RESET
            self.way.clear()
            if self.refused is not None:
                self.loop.call_soon(self.refused, context=self.context)
            self.wake()
        elif kind is SegmentKind.TAKEN:
            self.refused = None
            self.loop.call_soon(self.up, context=self.context)
        elif kind is SegmentKind.TOOK:
            self.credit += data
            if not self.closed:
                self.loop.call_soon(self.push, context=self.context)
        elif kind is SegmentKind.END:
            self.over = SegmentKind.END
            self.wake()
        elif self.closed:  # nobody is there to read it
            self.reset()
        else:
            self.came.append(data)
            self.wake()
        self.settle()

    def reset(self) -> None:
        """The kernel breaks it off, once; what is on the way comes before that. What met a cut
        never comes, nor what was sent after it: no byte is read over a gap.
        """
        if not self.gone:
            if self.way and self.way[0][0] <= self.loop.time():
                self.way.clear()
            if self.timer is not None:
                self.timer.cancel()
                self.timer = None
            if self.peer is not None:
                self.put(SegmentKind.RESET)
            self.gone = True

    def forsaken(self) -> None:
        """Its process is no more."""
        self.closed = self.lost = True
        if self.came or self.tcp.rng.random() < 0.5:
            self.reset()
        elif not self.gone and not self.ended:
            self.ended = True
            self.put(SegmentKind.END)
        self.settle()

    def settle(self) -> None:
        """Forgets what is over on both sides."""
        if (
            self.closed
            and not self.way
            and (self.gone or (self.ended and self.over is SegmentKind.END))
        ):
            self.gone = True
            self.tcp.ends.discard(self)


class Host(Machine):
    """A machine whose connections end with its processes."""

    tcp: TcpStack

    def kill(self) -> None:
        super().kill()
        if self.process is not None:
            self.tcp.died(self.process)

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
        port = StreamListener(self.process, _refuse_call, make=make, network=self.tcp.network)
        self.tcp.network.listeners[address] = port
        return port

    def dial(self, protocol: Any, address: Address, refused: Callable[[], None]) -> SimTransport:
        """An opening on its way; `protocol` hears of it once the connection stands."""
        end = SimTransport(self.tcp, self.host, self.process, address[0])
        end.protocol, end.refused, end.pause = protocol, refused, RETRANSMIT_SECONDS[1]
        end.put(SegmentKind.OPEN, address)
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
            end.refused, end.closed, end.gone = None, True, True
            end.way.clear()
            end.settle()

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
            end.refused, end.closed, end.gone = None, True, True
            end.way.clear()
            end.settle()
            raise
        return made


async def _refuse_call(op: str, body: dict[str, Any]) -> dict[str, Any]:
    raise CallRefusedError("no calls here")
