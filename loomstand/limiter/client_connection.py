"""Client side: the HTTP listener, its connections, and the handling of received requests."""

from __future__ import annotations

from math import inf

from loomstand.limiter import event_loop, http_parser
from loomstand.limiter.endings import PEER_ENDINGS, Ending
from loomstand.limiter.event_loop import ListeningEndpoint, SocketChannel
from loomstand.limiter.protocols import ClientHandle, ListenerOwner, TrackedRequest

IDLE_TIMEOUT_SECONDS = 2.0  # the protocol allows closing idle connections after 2 s


class ClientConnection:
    """A client's HTTP connection; processes one request at a time.

    Attributes:
        listener: The listener that accepted the connection.
        parser: Parses the requests.
        channel: The buffered connection.
        request: The request being processed, if any.
        opened_at: Earliest loop time at which the first bytes can have arrived.
        opened_iteration: Event loop iteration in which the connection was set up.
        received_at: Earliest loop time at which the bytes read last can have arrived.
        last_active_at: Loop time of the last response; `opened_at` before the first.
        message_started_at: `received_at` of the first bytes of the current message; None between
            messages.
        is_surplus: Whether its request is rejected, as all sockets were in use when it was opened.
    """

    __slots__ = (
        "channel",
        "is_surplus",
        "last_active_at",
        "listener",
        "message_started_at",
        "opened_at",
        "opened_iteration",
        "parser",
        "received_at",
        "request",
    )

    def __init__(self, listener: ClientListener) -> None:
        self.listener, self.parser = (
            listener,
            http_parser.RequestReceiver(listener.max_body_bytes, listener.max_header_bytes),
        )
        max_size = listener.max_body_bytes + listener.max_header_bytes
        self.channel = SocketChannel(
            self,
            listener.limiter.memory_budget,
            max_size,
            listener.limiter.max_response_bytes + http_parser.MAX_HEAD_BYTES,
        )
        self.request: TrackedRequest | None = None
        self.opened_at = self.received_at = self.last_active_at = (
            listener.limiter.arrival_clock.earliest_arrival
        )
        self.message_started_at: float | None = None
        self.opened_iteration, self.is_surplus = 0, False

    def opened(self) -> None:
        """Adds the established connection to those of the listener."""
        self.opened_iteration = self.listener.limiter.arrival_clock.count
        self.listener.add(self)

    def received(self) -> None:
        """Handles newly received bytes, or leaves them buffered while a request is pending."""
        self.received_at = self.listener.limiter.arrival_clock.arrival_time(
            self.opened_iteration, self.opened_at
        )
        if self.message_started_at is None:
            self.message_started_at, parser, listener = (
                self.received_at,
                self.parser,
                self.listener,
            )
            # Applies the current limits, which may have changed since the last message.
            parser.max_body_bytes, parser.max_head_bytes = (
                listener.max_body_bytes,
                listener.max_header_bytes,
            )
            self.channel.inbound.max_size = listener.max_body_bytes + listener.max_header_bytes
        if self.request is None:
            self.handle_buffered()
        elif self.channel.inbound.used >= self.channel.inbound.max_size:
            self.channel.pause_reading()  # backpressure for pipelined requests

    def handle_buffered(self) -> None:
        """Parses and handles buffered requests until one is pending or more bytes are needed."""
        channel, parser = self.channel, self.parser
        while (
            channel.inbound.used
            and self.request is None
            and channel.ending is None
            and not channel.lingering
        ):
            try:
                if not parser.step(channel.inbound):
                    return
            except http_parser.Malformed as error:
                self.answer(error.status, f"{error}\n".encode(), close=True)
                return
            self.handle()

    def handle(self) -> None:
        """Handles one complete request.

        The listener serves paths below `/-/` if `own_paths` is set; the limiter handles all others.
        """
        limiter, parser = self.listener.limiter, self.parser
        if self.listener.own_paths and parser.target.startswith(b"/-/"):
            status = 404
            if parser.target == b"/-/ready" and parser.method == b"GET":
                status = 200 if limiter.is_ready else 503
            self.answer(status)
            return
        if self.is_surplus:
            self.answer(503, close=True)
            return
        try:
            limiter.request_received(self, parser, self.received_at)
        except http_parser.Malformed as error:
            # The message was received in full, so the connection can be kept open.
            self.answer(error.status, f"{error}\n".encode())

    def answer(self, status: int, body: bytes = b"", extra: str = "", close: bool = False) -> None:
        """Writes a complete response and resets the parser for the next request.

        Args:
            status: HTTP status.
            body: Response body.
            extra: Further header lines, each terminated by CRLF.
            close: Whether to close the connection even if the client didn't request it.
        """
        close = close or self.parser.close or self.listener.stopping
        self.request = self.message_started_at = None
        self.last_active_at = self.listener.limiter.loop.time()
        self.listener.answered(self)
        self.parser.reset()
        if not self.channel.send(http_parser.format_response(status, body, extra, close)):
            self.channel.stop(Ending.NO_ROOM)
        elif close:
            self.channel.finish()

    def resume(self) -> None:
        """Resumes reading and handles requests received during the previous one."""
        self.channel.resume_reading()
        self.handle_buffered()

    def close_stalled(self) -> None:
        """Closes a stalled connection, with a 408 response if one can still be sent."""
        if self.channel.lingering or not self.channel.written:
            self.channel.stop(Ending.STALLED)
        else:
            self.answer(408, close=True)

    def ended(self, ending: Ending) -> None:
        """Removes the ended connection from those of the listener."""
        if self.request is not None and ending not in PEER_ENDINGS:
            self.listener.limiter.endings[f"client {ending.name.lower()} with request"] += 1
        self.listener.remove(self)

    @property
    def state_since(self) -> float:
        """Loop time of the start of the current message, or of the current idle period."""
        return self.last_active_at if self.message_started_at is None else self.message_started_at

    @property
    def idle(self) -> bool:
        """Whether no request is being received, processed or answered."""
        channel = self.channel
        is_between_requests = (
            self.request is None and not channel.inbound.used and not self.parser.begun
        )
        return is_between_requests and channel.written and not channel.lingering

    @property
    def is_receiving_head(self) -> bool:
        """Whether the header of a request is being received."""
        return (
            self.message_started_at is not None and self.request is None and not self.parser.begun
        )

    @property
    def is_stalled(self) -> bool:
        """Whether the client has yet to complete a message, read a response or close."""
        return self.request is None and not self.idle

    @property
    def is_closable(self) -> bool:
        """Whether no request is lost if it is closed: idle, without unread bytes in the socket."""
        return self.idle and not self.channel.unread


class ClientListener:
    """Accepts client connections and enforces limits on their number, size and time.

    Attributes:
        limiter: Handles the requests and manages the sockets.
        accepts_per_iteration: Maximum number of connections accepted per event loop iteration.
        sockets: The limit of sockets or descriptors from which `keep_alive_limit` is derived; also
            the listen backlog.
        keep_alive_limit: Number of connections above which a new one replaces an idle one.
        idle_timeout_seconds: Time after which an idle connection is closed.
        own_paths: Whether the listener serves paths below `/-/`, such as the readiness check.
        max_body_bytes: Maximum size of a request body.
        max_header_bytes: Maximum size of a request header.
        header_timeout_seconds: Limit for a client to send a request header; the limit for the whole
            message applies if it is shorter.
        clients: The open connections, in order of their last responses.
        server: The listening endpoint; None before `listen`.
        stopping: Whether connections are closed after their next response.
    """

    bind = staticmethod(event_loop.listen)  # replaceable, see `event_loop.Streams`

    def __init__(self, limiter: ListenerOwner, accepts_per_iteration: int, sockets: int) -> None:
        self.limiter, self.accepts_per_iteration, self.sockets = (
            limiter,
            accepts_per_iteration,
            sockets,
        )
        # By the protocol, client connections use at most a third of the descriptors. Clients that
        # send one request and keep the connection open would use all of these, so half of them are
        # reserved for active clients.
        self.keep_alive_limit = sockets // 6
        self.idle_timeout_seconds, self.own_paths = IDLE_TIMEOUT_SECONDS, True
        self.max_body_bytes, self.max_header_bytes = (
            http_parser.MAX_BODY_BYTES,
            http_parser.MAX_HEAD_BYTES,
        )
        self.header_timeout_seconds = inf
        self.clients: dict[ClientConnection, None] = {}
        self.server: ListeningEndpoint | None = None
        self.stopping = False

    async def listen(self, address: tuple[str, int]) -> None:
        """Starts to accept connections.

        Raises:
            OSError: The address can't be bound.
        """
        loop = self.limiter.loop
        self.server = await self.bind(
            loop,
            lambda: ClientConnection(self).channel,
            address,
            self.accepts_per_iteration,
            self.sockets,
        )

    def add(self, client: ClientConnection) -> None:
        """Adds a new connection; if there are too many, closes another one or rejects this one."""
        self.clients[client] = None
        shortage = -self.limiter.spare_sockets()
        if shortage <= 0:
            if len(self.clients) > self.keep_alive_limit:
                self.close_idle(client)
        elif not self.limiter.free_socket(client):
            # Rejected with 503, but only after its request is read: the client could not
            # distinguish an earlier response from a lost one.
            client.is_surplus = True
            self.limiter.endings["client surplus"] += 1
            if shortage > self.accepts_per_iteration:  # too many to read a request from each
                client.channel.stop(Ending.NO_ROOM)

    def answered(self, client: ClientConnection) -> None:
        """Moves a connection to the end of `clients`, which is in order of the last response.

        Connections that sent one request and stay open therefore come first.
        """
        if self.clients.pop(client, self) is None:  # `self` if the connection has been removed
            self.clients[client] = None

    def close_idle(self, spared: ClientHandle | None = None) -> bool:
        """Closes the longest-idle connection without unread bytes; returns whether one existed."""
        for client in self.clients:
            if client is not spared and client.is_closable:
                client.channel.stop(Ending.IDLE)
                return True
        return False

    def close_silent(self, spared: ClientHandle | None, min_age_seconds: float) -> bool:
        """Closes the oldest connection, other than `spared`, on which no request has arrived.

        Returns whether there was one of at least this age.
        """
        opened_before = self.limiter.loop.time() - min_age_seconds
        for client in self.clients:
            if client.last_active_at > opened_before:
                break
            if (
                client.last_active_at == client.opened_at
                and client is not spared
                and client.is_closable
            ):
                client.channel.stop(Ending.STALLED)
                return True
        return False

    def close_stuck(self, min_stall_seconds: float) -> bool:
        """Closes the connection that has stalled longest.

        Returns whether there was one that has stalled for more than `min_stall_seconds`.
        """
        stalled_before = self.limiter.loop.time() - min_stall_seconds
        stalled = [c for c in self.clients if c.state_since < stalled_before and c.is_stalled]
        if stalled:
            client = min(stalled, key=lambda c: c.state_since)
            client.close_stalled()
            client.channel.stop(Ending.STALLED)  # its socket is needed immediately, so don't linger
        return bool(stalled)

    def remove(self, client: ClientConnection) -> None:
        """Removes an ended connection, and reports the disconnection if a request is pending."""
        self.clients.pop(client, None)
        if client.request is not None:
            request, client.request = client.request, None
            self.limiter.client_disconnected(request)

    def sweep(self, message_timeout_seconds: float) -> None:
        """Closes connections that have been stalled or idle for too long.

        Some clients send one request or none and never close their connection.

        Args:
            message_timeout_seconds: Limit for a client to send a message or to read a response.
        """
        now = self.limiter.loop.time()
        for client in list(self.clients):
            if now - client.last_active_at > self.idle_timeout_seconds and client.is_closable:
                client.channel.stop(Ending.IDLE)
                continue
            timeout_seconds = (
                min(self.header_timeout_seconds, message_timeout_seconds)
                if client.is_receiving_head
                else message_timeout_seconds
            )
            if now - client.state_since > timeout_seconds and client.is_stalled:
                client.close_stalled()

    def stop(self) -> None:
        """Closes idle connections, and others after their response; new ones are still accepted."""
        self.stopping = True
        for client in list(self.clients):
            if client.is_closable:
                client.channel.stop(Ending.STOPPING)

    def close(self) -> None:
        """Stops accepting connections."""
        if self.server is not None:
            self.server.close()
