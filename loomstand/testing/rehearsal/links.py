"""Links between processes that can be cut silently in one or both directions, reset or delayed.

A link listens on loopback and forwards each connection to one target. When it is cut in both
directions it behaves like an unreachable machine: open connections stay open and silent, and new
ones are never established. The latter needs no privileges: the link shortens its listen backlog to
the minimum and fills it with its own connections, so the kernel drops further connection attempts.
Data sent during a cut is delivered when the cut ends, as TCP would retransmit it.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque

BACKLOG = 256
BACKLOG_FILLERS = 3  # connections; a backlog of 0 holds one, the others are a margin


class LinkEnd(asyncio.Protocol):
    """One of the two sockets of a forwarded connection.

    `forth` is the direction of the data that it reads: True for data from the client to the target.
    """

    def __init__(self, link: Link, forth: bool) -> None:
        self.link, self.forth = link, forth
        self.transport: asyncio.Transport | None = None
        self.peer: LinkEnd | None = None
        # data read before the peer was connected or during a cut; None for the end of input
        self.pending: deque[bytes | None] = deque()
        self.eof_sent = False  # whether the end of its input has been forwarded

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.link.ends.add(self)
        if self.forth:
            self.link.connect_target(self)

    def data_received(self, data: bytes) -> None:
        self.forward(data)

    def eof_received(self) -> bool:
        self.forward(None)
        return True

    def forward(self, item: bytes | None) -> None:
        """Passes bytes, or None for the end of input, to the peer after the delay of the link."""
        if self.link.delay_seconds:
            asyncio.get_running_loop().call_later(self.link.delay_seconds, self.enqueue, item)
        else:
            self.enqueue(item)

    def enqueue(self, item: bytes | None) -> None:
        """Appends an item to those that wait for the peer and writes what may be written."""
        self.pending.append(item)
        self.flush()

    def flush(self) -> None:
        """Writes the waiting items to the peer unless the direction is cut."""
        if self.link.is_cut(self.forth) or self.peer is None or self.peer.transport is None:
            return
        while self.pending:
            item = self.pending.popleft()
            target = self.peer.transport
            if target.is_closing():
                continue
            if item is not None:
                target.write(item)
            elif target.can_write_eof():
                # the socket may have been reset before the event loop has reported it
                with contextlib.suppress(OSError):
                    target.write_eof()
                self.eof_sent = True
                if (
                    self.peer.eof_sent
                ):  # asyncio does not close the sockets when both directions have ended
                    target.close()
                    self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        self.link.ends.discard(self)
        if self.peer is not None and self.peer.transport is not None:
            asyncio.get_running_loop().call_later(
                self.link.delay_seconds, self.link.peer_closed, self.peer, error
            )


class Link:
    """One path: its listener, its connections and its faults."""

    def __init__(self, spec: dict, host: str) -> None:
        self.name, self.host, self.port, self.target = spec["name"], host, spec["port"], spec["to"]
        self.ends: set[LinkEnd] = set()
        self.cut_directions: set[bool] = set()  # True for data from the client to the target
        self.delay_seconds = 0.0
        self.backlog_fillers: list[socket.socket] = []
        self.listener: socket.socket | None = None
        # connections to close when the cut ends, and whether by a reset
        self.pending_closes: list[tuple[LinkEnd, bool]] = []

    async def listen(self) -> None:
        """Starts to accept connections."""
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setblocking(False)
        self.listener.bind((self.host, self.port))
        self.listener.listen(BACKLOG)
        self.accept_connections()

    def accept_connections(self) -> None:
        """Accepts connections whenever the listener is readable."""
        asyncio.get_running_loop().add_reader(self.listener, self.accept)

    def accept(self) -> None:
        """Accepts the connections in the backlog."""
        loop = asyncio.get_running_loop()
        for _ in range(BACKLOG):
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            conn.setblocking(False)
            spawn(loop.connect_accepted_socket(lambda: LinkEnd(self, True), conn))

    def connect_target(self, link_end: LinkEnd) -> None:
        """Connects the client's end of a connection to the target of the link."""
        spawn(self._connect_target(link_end))

    async def _connect_target(self, link_end: LinkEnd) -> None:
        target_end = LinkEnd(self, False)
        try:
            await asyncio.get_running_loop().create_connection(lambda: target_end, *self.target)
        except OSError:
            if not self.cut_directions:
                abort(link_end)
            return
        target_end.peer, link_end.peer = link_end, target_end
        if link_end.transport.is_closing():
            target_end.transport.abort()
        link_end.flush()

    def is_cut(self, forth: bool) -> bool:
        """Returns whether a direction is cut."""
        return forth in self.cut_directions

    def peer_closed(self, link_end: LinkEnd, error: Exception | None) -> None:
        """Closes the other end of a closed connection, after the end of a cut of that direction."""
        if self.is_cut(not link_end.forth):
            self.pending_closes.append((link_end, error is not None))
        else:
            close(link_end, error is not None)

    def block(self, forth: bool, back: bool) -> None:
        """Cuts the directions that are set; new connections wait until `heal`."""
        self.cut_directions = {
            direction for direction, is_cut in ((True, forth), (False, back)) if is_cut
        }
        if self.cut_directions and not self.backlog_fillers:
            asyncio.get_running_loop().remove_reader(self.listener)
            self.listener.listen(0)
            for _ in range(BACKLOG_FILLERS):
                sock = socket.socket()
                sock.setblocking(False)
                sock.connect_ex((self.host, self.port))
                self.backlog_fillers.append(sock)

    def heal(self) -> None:
        """Ends the cut: forwards waiting bytes and closes the connections that ended during it."""
        self.cut_directions = set()
        if self.backlog_fillers:
            for sock in self.backlog_fillers:
                sock.close()
            self.backlog_fillers = []
            self.listener.listen(BACKLOG)
            self.accept_connections()
        for link_end in list(self.ends):
            link_end.flush()
        closes, self.pending_closes = self.pending_closes, []
        for closing_end, reset in closes:
            if closing_end.peer is not None:
                closing_end.peer.flush()
            close(closing_end, reset)

    def reset(self) -> None:
        """Resets all connections."""
        for link_end in list(self.ends):
            abort(link_end)
        self.pending_closes = []


class Relay(asyncio.DatagramProtocol):
    """Forwards the datagrams of one limiter to another. They are sent from the socket of the relay
    for the opposite direction, so that they come from the address that the receiver has for the
    sender.
    """

    def __init__(self, spec: dict, host: str, relays: dict[str, Relay]) -> None:
        self.name, self.host, self.port, self.target = (
            spec["name"],
            host,
            spec["port"],
            tuple(spec["to"]),
        )
        self.opposite, self.relays = spec["back"], relays
        self.is_blocked, self.delay_seconds = False, 0.0
        self.transport: asyncio.DatagramTransport | None = None

    async def listen(self) -> None:
        """Starts to receive datagrams."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, (self.host, self.port)
        )

    def datagram_received(self, data: bytes, source: tuple[str, int]) -> None:
        if not self.is_blocked:
            asyncio.get_running_loop().call_later(self.delay_seconds, self.forward, data)

    def forward(self, data: bytes) -> None:
        """Sends a datagram from the socket of the opposite relay."""
        self.relays[self.opposite].transport.sendto(data, self.target)

    def block(self, forth: bool, back: bool) -> None:
        """Drops datagrams until `heal` if `forth` is set."""
        self.is_blocked = forth  # the relay of the opposite direction handles `back`

    def heal(self) -> None:
        """Forwards datagrams again."""
        self.is_blocked = False

    def reset(self) -> None:
        """Does nothing: datagrams have no connections."""


def close(link_end: LinkEnd, reset: bool) -> None:
    """Closes a connection, with a reset if `reset` is set."""
    if reset:
        abort(link_end)
    elif link_end.transport is not None and not link_end.transport.is_closing():
        link_end.transport.close()


def abort(connection: LinkEnd) -> None:
    """Closes a connection with a reset, also that of a server (`servers.ServerConnection`)."""
    if connection.transport is not None:
        sock = connection.transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        connection.transport.abort()


tasks: set[asyncio.Task] = set()


def spawn(work) -> None:
    """Starts a task and keeps a reference to it until it is done."""
    task = asyncio.get_running_loop().create_task(work)
    tasks.add(task)
    task.add_done_callback(tasks.discard)


async def start(config: dict):
    """Starts the links and relays and returns the command handler.

    Keys of `config`: `host` to listen on; `links`, each with `name`, `port` and `to` (host, port);
    `relays`, each with the name of the opposite relay in `back` as well.
    """
    relays: dict[str, Relay] = {}
    relays |= {spec["name"]: Relay(spec, config["host"], relays) for spec in config["relays"]}
    links = {spec["name"]: Link(spec, config["host"]) for spec in config["links"]} | relays
    for link in links.values():
        await link.listen()

    def handle_command(command: dict) -> None:
        for name in command["links"]:
            link = links[name]
            match command["do"]:
                case "cut":
                    link.block(command["forth"], command["back"])
                case "heal":
                    link.heal()
                case "reset":
                    link.reset()
                case "delay":
                    link.delay_seconds = command["s"]

    return handle_command
