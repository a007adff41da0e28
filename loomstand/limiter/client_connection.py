"""Clients: the listener, their connections, and the check of what they send."""

from __future__ import annotations

from math import inf

from loomstand.limiter import event_loop, http_parser
from loomstand.limiter.endings import Ending
from loomstand.limiter.event_loop import Listens, Wire
from loomstand.limiter.protocols import Asked, Asker, Takes

STAYS = 2.0  # LATER: a connection with no open request may be closed after 2 s


class Client:
    """A client's connection: one request at a time."""

    __slots__ = (
        "begun_at",
        "busy_at",
        "listener",
        "machine",
        "made",
        "made_at",
        "read_at",
        "request",
        "surplus",
        "wire",
    )

    def __init__(self, listener: ClientListener) -> None:
        self.listener, self.machine = (
            listener,
            http_parser.RequestReceiver(listener.max_body_bytes, listener.max_header_bytes),
        )
        most = listener.max_body_bytes + listener.max_header_bytes
        self.wire = Wire(
            self, listener.limiter.room, most, listener.limiter.most_answer + http_parser.MOST_HEAD
        )
        self.request: Asked | None = None
        self.made_at = self.read_at = self.busy_at = listener.limiter.turns.since
        self.begun_at: float | None = None  # when the message that is coming in began
        self.made, self.surplus = 0, False

    def opened(self) -> None:
        self.made = self.listener.limiter.turns.count
        self.listener.let_in(self)

    def received(self) -> None:
        self.read_at = self.listener.limiter.turns.came(self.made, self.made_at)
        if self.begun_at is None:
            self.begun_at, machine, listener = self.read_at, self.machine, self.listener
            # of now, not of its opening
            machine.most, machine.most_head = listener.max_body_bytes, listener.max_header_bytes
            self.wire.inbound.most = listener.max_body_bytes + listener.max_header_bytes
        if self.request is None:
            self.take()
        elif self.wire.inbound.used >= self.wire.inbound.most:
            self.wire.hold()  # a client that sends ahead waits for its answer

    def take(self) -> None:
        """Hands on the requests that are whole, one after the other."""
        wire, machine = self.wire, self.machine
        while (
            wire.inbound.used
            and self.request is None
            and wire.ending is None
            and not wire.lingering
        ):
            try:
                if not machine.step(wire.inbound):
                    return
            except http_parser.Malformed as why:
                self.answer(why.status, f"{why}\n".encode(), close=True)
                return
            self.handle()

    def handle(self) -> None:
        limiter, machine = self.listener.limiter, self.machine
        if self.listener.own_paths and machine.target.startswith(b"/-/"):
            status = 404
            if machine.target == b"/-/ready" and machine.method == b"GET":
                status = 200 if limiter.is_ready else 503
            self.answer(status)
            return
        if self.surplus:
            self.answer(503, close=True)
            return
        try:
            limiter.request_received(self, machine, self.read_at)
        except http_parser.Malformed as why:
            # the message was whole: the connection can go on
            self.answer(why.status, f"{why}\n".encode())

    def answer(self, status: int, body: bytes = b"", extra: str = "", close: bool = False) -> None:
        """Writes one whole answer, and makes ready for the next request."""
        close = close or self.machine.close or self.listener.stopping
        self.request = self.begun_at = None
        self.busy_at = self.listener.limiter.loop.time()
        self.listener.answered(self)
        self.machine.reset()
        if not self.wire.send(http_parser.answer(status, body, extra, close)):
            self.wire.stop(Ending.NO_ROOM)
        elif close:
            self.wire.finish()

    def next(self) -> None:
        """Takes up what came while a request was being answered."""
        self.wire.resume()
        self.take()

    def expel(self) -> None:
        """Ends what is stuck: with a 408, where that can still be said."""
        if self.wire.lingering or not self.wire.written:
            self.wire.stop(Ending.STALLED)
        else:
            self.answer(408, close=True)

    def ended(self, why: Ending) -> None:
        self.listener.gone(self)

    @property
    def began(self) -> float:
        """Since when it is in the state it is in, between requests or within one."""
        return self.busy_at if self.begun_at is None else self.begun_at

    @property
    def idle(self) -> bool:
        wire = self.wire
        between = self.request is None and not wire.inbound.used and not self.machine.begun
        return between and wire.written and not wire.lingering

    @property
    def heading(self) -> bool:
        """Whether a head is coming in."""
        return self.begun_at is not None and self.request is None and not self.machine.begun

    @property
    def stuck(self) -> bool:
        """Whether it is within a message, has an answer that it doesn't take, or lingers."""
        return self.request is None and not self.idle

    @property
    def free(self) -> bool:
        """Whether it can be closed: idle, and nothing waits to be read."""
        return self.idle and not self.wire.unread


class ClientListener:
    """Listens for clients and bounds their connections."""

    bind = staticmethod(event_loop.listen)  # or another way, as `driver.Streams` has it

    def __init__(self, limiter: Takes, at_once: int, sockets: int) -> None:
        self.limiter, self.at_once, self.sockets = limiter, at_once, sockets
        # PROTOCOL: for requests clients hold a third of the descriptors at most, which those that
        # ask once and stay would use up; half of it is left to usual ones
        self.most_held = sockets // 6
        self.idle_timeout_seconds, self.own_paths = STAYS, True
        self.max_body_bytes, self.max_header_bytes = http_parser.MOST_BODY, http_parser.MOST_HEAD
        self.header_timeout_seconds = (
            inf  # seconds that the head of a message may take, if fewer than the patience
        )
        self.clients: dict[Client, None] = {}
        self.server: Listens | None = None
        self.stopping = False

    async def listen(self, address: tuple[str, int]) -> None:
        loop = self.limiter.loop
        self.server = await self.bind(
            loop, lambda: Client(self).wire, address, self.at_once, self.sockets
        )

    def let_in(self, client: Client) -> None:
        self.clients[client] = None
        short = -self.limiter.spare_sockets()
        if short <= 0:
            if len(self.clients) > self.most_held:
                self.close_idle(client)
        elif not self.limiter.make_room(client):
            # it is turned away once its request is read: an answer ahead of it could not be told
            # from a lost one
            client.surplus = True
            self.limiter.endings["client surplus"] += 1
            if short > self.at_once:
                client.wire.stop(Ending.NO_ROOM)

    def answered(self, client: Client) -> None:
        """Keeps them in the order of their last answer: who asks once and stays comes to the
        listener.
        """
        if self.clients.pop(client, self) is None:
            self.clients[client] = None

    def close_idle(self, spared: Asker | None = None) -> bool:
        """Closes the connection that has been idle longest, if there is one on which nothing has
        come.
        """
        for client in self.clients:
            if client is not spared and client.free:
                client.wire.stop(Ending.IDLE)
                return True
        return False

    def close_silent(self, spared: Asker | None, within: float) -> bool:
        """Closes the oldest connection that has never sent anything, if there is one older than
        that.
        """
        since = self.limiter.loop.time() - within
        for client in self.clients:
            if client.busy_at > since:
                break
            if client.busy_at == client.made_at and client is not spared and client.free:
                client.wire.stop(Ending.STALLED)
                return True
        return False

    def close_stuck(self, within: float) -> bool:
        """Closes the connection that has been within a message, or lingers, longest, and longer
        than that.
        """
        since = self.limiter.loop.time() - within
        stuck = [c for c in self.clients if c.began < since and c.stuck]
        if stuck:
            client = min(stuck, key=lambda c: c.began)
            client.expel()
            client.wire.stop(Ending.STALLED)  # its place is needed now
        return bool(stuck)

    def gone(self, client: Client) -> None:
        self.clients.pop(client, None)
        if client.request is not None:
            request, client.request = client.request, None
            self.limiter.client_disconnected(request)

    def sweep(self, patience: float) -> None:
        """Ends connections that stopped within a message, don't take their answer, linger, or stay
        idle: some clients ask once, or nothing, and keep their connection for good.
        """
        now = self.limiter.loop.time()
        for client in list(self.clients):
            if now - client.busy_at > self.idle_timeout_seconds and client.free:
                client.wire.stop(Ending.IDLE)
                continue
            within = min(self.header_timeout_seconds, patience) if client.heading else patience
            if now - client.began > within and client.stuck:
                client.expel()

    def stop(self) -> None:
        """No connection stays open between requests; new ones are still taken."""
        self.stopping = True
        for client in list(self.clients):
            if client.free:
                client.wire.stop(Ending.STOPPING)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
