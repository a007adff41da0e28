"""The paths between processes, as links that can be cut silently, reset, delayed or made one-way.

A link listens on loopback and carries each connection to one place. Cut both ways it behaves as a
machine that is gone: open connections stay open and silent, and new ones never come up. No
privileges are needed for the latter: the listener's queue is made as short as it goes and filled by
ourselves, and the kernel drops what else wants to connect. What was sent into a cut comes through
when it heals, as TCP would send it again.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque

BACKLOG = 256
FILL = 3  # connections that fill a queue of length 0, which holds one; the rest make sure


class Side(asyncio.Protocol):
    """One end of a carried connection. `held` while nothing that it reads may pass on."""

    def __init__(self, link: Link, forth: bool) -> None:
        self.link, self.forth = link, forth
        self.transport: asyncio.Transport | None = None
        self.peer: Side | None = None
        self.waiting: deque[bytes | None] = deque()  # read before the peer is there, or while held
        self.ended = False  # whether the end of what it sends has passed on

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.link.sides.add(self)
        if self.forth:
            self.link.carry(self)

    def data_received(self, data: bytes) -> None:
        self.push(data)

    def eof_received(self) -> bool:
        self.push(None)
        return True

    def push(self, item: bytes | None) -> None:
        if self.link.delay:
            asyncio.get_running_loop().call_later(self.link.delay, self.hand, item)
        else:
            self.hand(item)

    def hand(self, item: bytes | None) -> None:
        self.waiting.append(item)
        self.pump()

    def pump(self) -> None:
        if self.link.held(self.forth) or self.peer is None or self.peer.transport is None:
            return
        while self.waiting:
            item = self.waiting.popleft()
            out = self.peer.transport
            if out.is_closing():
                continue
            if item is not None:
                out.write(item)
            elif out.can_write_eof():
                with contextlib.suppress(OSError):  # broken already, which nobody has heard of yet
                    out.write_eof()
                self.ended = True
                if self.peer.ended:  # both ways are done with: nothing else would close them
                    out.close()
                    self.transport.close()

    def connection_lost(self, why: Exception | None) -> None:
        self.link.sides.discard(self)
        if self.peer is not None and self.peer.transport is not None:
            asyncio.get_running_loop().call_later(self.link.delay, self.link.ended, self.peer, why)


class Link:
    """One path: its listener, its connections, and what of it passes."""

    def __init__(self, spec: dict, host: str) -> None:
        self.name, self.host, self.port, self.to = spec["name"], host, spec["port"], spec["to"]
        self.sides: set[Side] = set()
        self.cut: set[bool] = set()  # directions that do not pass
        self.delay = 0.0
        self.fill: list[socket.socket] = []
        self.sock: socket.socket | None = None
        self.dead: list[tuple[Side, bool]] = []  # closed by the far end while cut

    async def listen(self) -> None:
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        self.sock.bind((self.host, self.port))
        self.sock.listen(BACKLOG)
        self.watch()

    def watch(self) -> None:
        asyncio.get_running_loop().add_reader(self.sock, self.accept)

    def accept(self) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(BACKLOG):
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            conn.setblocking(False)
            spawn(loop.connect_accepted_socket(lambda: Side(self, True), conn))

    def carry(self, side: Side) -> None:
        spawn(self.reach(side))

    async def reach(self, side: Side) -> None:
        far = Side(self, False)
        try:
            await asyncio.get_running_loop().create_connection(lambda: far, *self.to)
        except OSError:
            if not self.cut:
                abort(side)
            return
        far.peer, side.peer = side, far
        if side.transport.is_closing():
            far.transport.abort()
        side.pump()

    def held(self, forth: bool) -> bool:
        return forth in self.cut

    def ended(self, far: Side, why: Exception | None) -> None:
        """One end is gone; the other hears of it unless that way is cut."""
        if self.held(not far.forth):
            self.dead.append((far, why is not None))
        else:
            end(far, why is not None)

    def break_(self, forth: bool, back: bool) -> None:
        self.cut = {way for way, on in ((True, forth), (False, back)) if on}
        if self.cut and not self.fill:
            asyncio.get_running_loop().remove_reader(self.sock)
            self.sock.listen(0)
            for _ in range(FILL):
                sock = socket.socket()
                sock.setblocking(False)
                sock.connect_ex((self.host, self.port))
                self.fill.append(sock)

    def heal(self) -> None:
        self.cut = set()
        if self.fill:
            for sock in self.fill:
                sock.close()
            self.fill = []
            self.sock.listen(BACKLOG)
            self.watch()
        for side in list(self.sides):
            side.pump()
        gone, self.dead = self.dead, []
        for far, hard in gone:
            if far.peer is not None:
                far.peer.pump()
            end(far, hard)

    def reset(self) -> None:
        for side in list(self.sides):
            abort(side)
        self.dead = []


class Relay(asyncio.DatagramProtocol):
    """The datagrams of one limiter to another: they leave from the relay of the way back, so that
    the receiver knows the sender by the address that it has for it.
    """

    def __init__(self, spec: dict, host: str, all_: dict[str, Relay]) -> None:
        self.name, self.host, self.port, self.to = (
            spec["name"],
            host,
            spec["port"],
            tuple(spec["to"]),
        )
        self.back, self.all = spec["back"], all_
        self.cut, self.delay = False, 0.0
        self.transport: asyncio.DatagramTransport | None = None

    async def listen(self) -> None:
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, (self.host, self.port)
        )

    def datagram_received(self, data: bytes, source: tuple[str, int]) -> None:
        if not self.cut:
            asyncio.get_running_loop().call_later(self.delay, self.hand, data)

    def hand(self, data: bytes) -> None:
        self.all[self.back].transport.sendto(data, self.to)

    def break_(self, forth: bool, back: bool) -> None:
        self.cut = forth  # what is lost is lost: the way back is a path of its own

    def heal(self) -> None:
        self.cut = False

    def reset(self) -> None:
        """Datagrams know no connection."""


def end(side: Side, hard: bool) -> None:
    if hard:
        abort(side)
    elif side.transport is not None and not side.transport.is_closing():
        side.transport.close()


def abort(side: Side) -> None:
    """Ends a connection by a reset."""
    if side.transport is not None:
        sock = side.transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        side.transport.abort()


tasks: set[asyncio.Task] = set()


def spawn(work) -> None:
    """A task that is held until it is done."""
    task = asyncio.get_running_loop().create_task(work)
    tasks.add(task)
    task.add_done_callback(tasks.discard)


async def start(config: dict):
    """`links`: each with `name`, `port` and `to` [host, port]; `relays`, with the name of the one
    `back` as well; `host` to listen on.
    """
    relays: dict[str, Relay] = {}
    relays |= {spec["name"]: Relay(spec, config["host"], relays) for spec in config["relays"]}
    links = {spec["name"]: Link(spec, config["host"]) for spec in config["links"]} | relays
    for link in links.values():
        await link.listen()

    def order(told: dict) -> None:
        for name in told["links"]:
            link = links[name]
            match told["do"]:
                case "cut":
                    link.break_(told["forth"], told["back"])
                case "heal":
                    link.heal()
                case "reset":
                    link.reset()
                case "delay":
                    link.delay = told["s"]

    return order
