"""Servers: their connections, kept for the next dispatch, and what comes back on them."""

from __future__ import annotations

from math import inf

from loomstand.admission.outcome import Outcome
from loomstand.limiter import event_loop, http_parser
from loomstand.limiter.endings import Ending, answered, outcome
from loomstand.limiter.event_loop import Wire
from loomstand.limiter.protocols import Sends
from loomstand.limiter.request import Flight


class Link:
    """A connection to a server: one dispatch at a time."""

    __slots__ = ("flight", "idle_at", "machine", "pool", "sent", "srv", "stays", "wire")

    def __init__(self, pool: Pool, srv: int) -> None:
        self.pool, self.srv, self.sent = pool, srv, False
        self.machine = http_parser.ResponseReceiver(pool.limiter.most_answer)
        self.wire = Wire(self, pool.limiter.room, pool.limiter.most_answer + http_parser.MOST_HEAD)
        self.flight: Flight | None = None
        self.idle_at, self.stays = 0.0, inf  # as the server says, in seconds; it may not

    def opened(self) -> None:
        self.write()

    def write(self) -> None:
        loop, flight = self.pool.limiter.loop, self.flight
        wait = max(1, (flight.expire - self.pool.limiter.now()) // 10)
        self.sent = self.wire.send(flight.raw(wait))
        if not self.sent:
            loop.call_soon(self.wire.stop, Ending.NO_ROOM)

    def received(self) -> None:
        flight, machine = self.flight, self.machine
        if flight is None:  # bytes that nobody asked for
            self.wire.stop(Ending.MALFORMED)
            return
        try:
            if not machine.step(self.wire.inbound):
                return
        except http_parser.Malformed as why:
            self.wire.stop(Ending.OVERSIZED if why.status in (413, 431) else Ending.MALFORMED)
            return
        self.took()

    def took(self) -> None:
        """A whole answer has come."""
        flight, machine = self.flight, self.machine
        status, fields, body, close = machine.status, machine.fields, machine.body, machine.close
        self.done(close)
        used = fields.get(b"x-ratelimit-used", b"")
        metered = int(used) + 1 if http_parser.number(used) else 0
        self.pool.limiter.came(
            flight, answered(status, fields.get(b"not-started") == b"1"), metered, body
        )

    def done(self, close: bool) -> None:
        """The dispatch has its answer: the connection is kept, or closed."""
        self.flight = None
        self.machine.reset()
        # nothing may follow an early answer
        if close or self.wire.inbound.used or not self.wire.written:
            self.pool.shut(self, Ending.FINISHED)
        else:
            self.pool.keep(self)

    def ended(self, why: Ending) -> None:
        self.pool.limiter.endings[f"server {why.name.lower()}"] += 1
        self.pool.lost(self)
        if self.flight is not None:
            flight, self.flight = self.flight, None
            self.pool.limiter.came(flight, outcome(why, self.sent and self.wire.written))


class Pool:
    """Connections to all servers."""

    link: type[Link] = Link
    connect = staticmethod(event_loop.connect)  # or another way, as `driver.Streams` has it

    def __init__(self, limiter: Sends, connect_timeout: float, idle_close: float) -> None:
        self.limiter, self.connect_timeout = limiter, connect_timeout
        # A connection is not used again so near its idle close that a req could cross it; a server
        # that can't be reached within the time for a connect is taken for gone, so no req travels
        # longer.
        self.idle_most = max(0.0, idle_close - connect_timeout)
        self.addresses: dict[int, tuple[str, int]] = {}
        # by server, as another may come to its address; last used last
        self.idle: dict[int, list[Link]] = {}
        self.links: dict[Link, None] = {}

    def told(self, srv: int, address: tuple[str, int] | None) -> None:
        """Where a server listens; None when it is gone."""
        old = self.addresses.get(srv)
        if address is None:
            self.addresses.pop(srv, None)
        else:
            self.addresses[srv] = address
        if old is not None and old != address:
            for link in list(self.idle.get(srv, ())):
                self.shut(link, Ending.IDLE)

    def send(self, flight: Flight) -> None:
        address = self.addresses.get(flight.srv)
        if address is None:
            self.limiter.loop.call_soon(self.limiter.came, flight, Outcome.NOT_SENT)
            return
        now, idle = self.limiter.loop.time(), self.idle.get(flight.srv)
        while idle:
            link = idle.pop()
            if now - link.idle_at < min(self.idle_most, link.stays) and not link.wire.unread:
                self.board(link, flight)
                link.write()
                return
            self.shut(link, Ending.IDLE)
        if self.limiter.spare_sockets() <= 0 and not self.limiter.make_room():
            self.limiter.loop.call_soon(self.limiter.came, flight, outcome(Ending.NO_ROOM, False))
            return
        link = self.link(self, flight.srv)
        self.links[link] = None
        self.board(link, flight)
        self.connect(self.limiter.loop, link.wire, address, self.connect_timeout)

    def board(self, link: Link, flight: Flight) -> None:
        link.flight, flight.link, link.sent = flight, link, False

    def close_idle(self) -> bool:
        """Closes the connection that has been idle longest, if there is one."""
        old = min(
            (links[0] for links in self.idle.values() if links),
            key=lambda v: v.idle_at,
            default=None,
        )
        if old is not None:
            self.shut(old, Ending.IDLE)
        return old is not None

    def give_up(self, flight: Flight, why: Ending) -> None:
        """Stops waiting: its connection is closed, and those on which nothing came since it was
        sent: the machine may be gone, which a new connect proves, while what is written to an old
        one may have run.
        """
        link, limiter = flight.link, self.limiter
        if link is not None and link.flight is flight:
            if why is Ending.EXPIRED and link.sent:
                sent_at = limiter.loop.time() - (limiter.now() - flight.sent_at) / 10_000
                for other in [v for v in self.idle.get(flight.srv, ()) if v.idle_at < sent_at]:
                    self.shut(other, Ending.IDLE)
            link.wire.stop(why)

    def keep(self, link: Link) -> None:
        if link.srv not in self.addresses:  # gone meanwhile
            self.shut(link, Ending.IDLE)
            return
        link.idle_at = self.limiter.loop.time()
        self.idle.setdefault(link.srv, []).append(link)

    def shut(self, link: Link, why: Ending) -> None:
        link.wire.drop(why)
        self.lost(link)

    def lost(self, link: Link) -> None:
        self.links.pop(link, None)
        idle = self.idle.get(link.srv)
        if idle and link in idle:
            idle.remove(link)
        if not idle:
            self.idle.pop(link.srv, None)

    def sweep(self) -> None:
        """Closes what has been idle too long to be used again."""
        now = self.limiter.loop.time()
        for links in list(self.idle.values()):
            for link in [v for v in links if now - v.idle_at >= min(self.idle_most, v.stays)]:
                self.shut(link, Ending.IDLE)
