"""Server side: pooled HTTP connections to servers and the handling of their responses."""

from __future__ import annotations

from math import inf
from typing import Any, Generic

from loomstand.admission.outcome import Outcome
from loomstand.admission.ticks import TICKS_PER_MILLISECOND, TICKS_PER_SECOND
from loomstand.limiter import event_loop, http_parser
from loomstand.limiter.endings import Ending, attempt_outcome, response_outcome
from loomstand.limiter.event_loop import SocketChannel
from loomstand.limiter.protocols import PoolOwner
from loomstand.limiter.request import Attempt, RequestT

# Values of `Malformed.status` for a body or head above its size limit.
TOO_LONG_STATUSES = (413, 431)


class ServerConnection(Generic[RequestT]):
    """A connection to a server; carries one attempt at a time.

    Attributes:
        pool: The pool that owns the connection.
        endpoint_id: Index of the server.
        sent: Whether the attempt's bytes were written or queued for writing.
        parser: Parses the responses.
        channel: The buffered connection.
        attempt: The attempt in flight, if any.
        idle_at: Loop time of its last use; 0 if unused.
        idle_timeout_seconds: Idle time-out that the server announced; infinite if none.
    """

    __slots__ = (
        "attempt",
        "channel",
        "endpoint_id",
        "idle_at",
        "idle_timeout_seconds",
        "parser",
        "pool",
        "sent",
    )

    def __init__(self, pool: ConnectionPool[RequestT], endpoint_id: int) -> None:
        """Creates an unconnected connection."""
        self.pool = pool
        self.endpoint_id = endpoint_id
        self.sent = False
        self.parser = http_parser.ResponseReceiver(pool.limiter.max_response_bytes)
        self.channel = SocketChannel(
            self,
            pool.limiter.memory_budget,
            pool.limiter.max_response_bytes + http_parser.MAX_HEAD_BYTES,
        )
        self.attempt: Attempt[RequestT] | None = None
        self.idle_at = 0.0
        self.idle_timeout_seconds = inf

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have begun the attempt's request.

        The servers of the stand-alone limiter begin a request once its last byte has arrived.
        """
        return self.sent and self.channel.written

    def opened(self) -> None:
        """Sends the request, unless its client has disconnected."""
        if self.attempt is not None and self.attempt.request.is_abandoned:
            self.channel.stop(Ending.CALLED_OFF)
            return
        self.write()

    def write(self) -> None:
        """Sends the attempt's request with its remaining time."""
        limiter, attempt = self.pool.limiter, self.attempt
        remaining_ms = max(1, (attempt.server_deadline - limiter.now()) // TICKS_PER_MILLISECOND)
        self.sent = self.channel.send(attempt.raw(remaining_ms))
        if not self.sent:
            limiter.loop.call_soon(self.channel.stop, Ending.NO_ROOM)

    def received(self) -> None:
        """Parses received bytes; invalid ones end the connection."""
        attempt, parser = self.attempt, self.parser
        if attempt is None:  # bytes without a request
            self.channel.stop(Ending.MALFORMED)
            return
        try:
            if not parser.step(self.channel.inbound):
                return
        except http_parser.Malformed as error:
            is_too_long = error.status in TOO_LONG_STATUSES
            self.channel.stop(Ending.OVERSIZED if is_too_long else Ending.MALFORMED)
            return
        self.response_received()

    def response_received(self) -> None:
        """Reports the attempt after a complete response."""
        attempt, parser = self.attempt, self.parser
        status, fields, body, close = parser.status, parser.fields, parser.body, parser.close
        self.finish_response(close)
        used = fields.get(b"x-ratelimit-used", b"")
        metered = int(used) + 1 if http_parser.is_decimal(used) else 0  # 0: not stated
        self.pool.limiter.attempt_ended(
            attempt, response_outcome(status, fields.get(b"not-started") == b"1"), metered, body
        )

    def finish_response(self, close: bool) -> None:
        """Ends the attempt, and keeps the connection for the next one or closes it.

        Args:
            close: Whether the server closes the connection after the response.
        """
        self.attempt = None
        self.parser.reset()
        # A connection is not reused after surplus bytes, or after a response that was received
        # before the whole request was sent.
        if close or self.channel.inbound.used or not self.channel.written:
            self.pool.close(self, Ending.FINISHED)
        else:
            self.pool.release(self)

    def ended(self, ending: Ending) -> None:
        """Reports the attempt in flight when the connection has ended."""
        limiter = self.pool.limiter
        limiter.endings[f"server {ending.name.lower()}"] += 1
        self.pool.forget(self)
        if self.attempt is not None:
            attempt, self.attempt = self.attempt, None
            limiter.attempt_ended(attempt, attempt_outcome(ending, self.may_have_run))


class ConnectionPool(Generic[RequestT]):
    """Pool of connections to all servers.

    Attributes:
        connection_type: Class of the connections.
        connect: Opens a connection; see `event_loop.connect`.
        limiter: Receives the outcomes of attempts.
        connect_timeout: Connect time-out in seconds.
        max_idle_seconds: Idle time after which a connection isn't reused, whatever the server
            announced.
        addresses: Host and port by server index.
        idle: Connections without an attempt by server index, in order of last use. The key isn't
            the address, as another server may take over an address.
        connections: All connections, open or connecting.
    """

    connection_type: type[ServerConnection[Any]] = ServerConnection
    connect = staticmethod(event_loop.connect)

    def __init__(
        self, limiter: PoolOwner[Attempt[RequestT]], connect_timeout: float, idle_close: float
    ) -> None:
        """Creates an empty pool.

        Args:
            limiter: Receives the outcomes of attempts.
            connect_timeout: Connect time-out in seconds.
            idle_close: Seconds after which servers may close an idle connection.
        """
        self.limiter = limiter
        self.connect_timeout = connect_timeout
        # A connection isn't reused shortly before the server's idle close, as the request could be
        # in transit when the server closes. The connect time-out bounds the transit time: a server
        # that can't be reached within it counts as unavailable.
        self.max_idle_seconds = max(0.0, idle_close - connect_timeout)
        self.addresses: dict[int, tuple[str, int]] = {}
        self.idle: dict[int, list[ServerConnection[RequestT]]] = {}
        self.connections: dict[ServerConnection[RequestT], None] = {}

    def set_address(self, endpoint_id: int, address: tuple[str, int] | None) -> None:
        """Sets or (None) removes a server's address; closes idle connections to the old one."""
        old = self.addresses.get(endpoint_id)
        if address is None:
            self.addresses.pop(endpoint_id, None)
        else:
            self.addresses[endpoint_id] = address
        if old is not None and old != address:
            for connection in list(self.idle.get(endpoint_id, ())):
                self.close(connection, Ending.IDLE)

    def send(self, attempt: Attempt[RequestT]) -> None:
        """Sends an attempt on the most recently used idle connection, or on a new one."""
        address = self.addresses.get(attempt.endpoint_id)
        if address is None:
            self.limiter.loop.call_soon(self.limiter.attempt_ended, attempt, Outcome.NOT_SENT)
            return
        now, idle = self.limiter.loop.time(), self.idle.get(attempt.endpoint_id)
        while idle:
            connection = idle.pop()
            if (
                now - connection.idle_at
                < min(self.max_idle_seconds, connection.idle_timeout_seconds)
                and not connection.channel.unread
            ):
                self.assign(connection, attempt)
                connection.write()
                return
            self.close(connection, Ending.IDLE)
        if self.limiter.spare_sockets() <= 0 and not self.limiter.free_socket():
            self.limiter.loop.call_soon(
                self.limiter.attempt_ended,
                attempt,
                attempt_outcome(Ending.NO_ROOM, may_have_run=False),
            )
            return
        connection = self.connection_type(self, attempt.endpoint_id)
        self.connections[connection] = None
        self.assign(connection, attempt)
        self.connect(self.limiter.loop, connection.channel, address, self.connect_timeout)

    def assign(self, connection: ServerConnection[RequestT], attempt: Attempt[RequestT]) -> None:
        """Assigns an attempt to a connection."""
        connection.attempt = attempt
        connection.sent = False
        attempt.connection = connection

    def close_idle(self) -> bool:
        """Closes the longest-idle connection; returns whether there was one."""
        oldest = min(
            (connections[0] for connections in self.idle.values() if connections),
            key=lambda connection: connection.idle_at,
            default=None,
        )
        if oldest is not None:
            self.close(oldest, Ending.IDLE)
        return oldest is not None

    def give_up(self, attempt: Attempt[RequestT], ending: Ending) -> None:
        """Ends an attempt and closes its connection.

        If the attempt expired, the server's connections that have been idle since it was sent are
        closed as well. The machine may be down: a failed connect proves that a request did not run,
        whereas a request written to an old connection may have run.
        """
        connection = attempt.connection
        if connection is None or connection.attempt is not attempt:
            return
        if ending is Ending.EXPIRED and connection.sent:
            self.close_idle_since(attempt)
        connection.channel.stop(ending)

    def close_idle_since(self, attempt: Attempt[RequestT]) -> None:
        """Closes the connections to an attempt's server that have been idle since it was sent."""
        limiter = self.limiter
        elapsed_seconds = (limiter.now() - attempt.sent_at) / TICKS_PER_SECOND
        sent_at = limiter.loop.time() - elapsed_seconds
        idle = self.idle.get(attempt.endpoint_id, ())
        for other in [other for other in idle if other.idle_at < sent_at]:
            self.close(other, Ending.IDLE)

    def release(self, connection: ServerConnection[RequestT]) -> None:
        """Keeps a connection for the next attempt, after a complete response."""
        if connection.endpoint_id not in self.addresses:  # server removed during the attempt
            self.close(connection, Ending.IDLE)
            return
        connection.idle_at = self.limiter.loop.time()
        self.idle.setdefault(connection.endpoint_id, []).append(connection)

    def close(self, connection: ServerConnection[RequestT], ending: Ending) -> None:
        """Closes a connection without an attempt; reports nothing."""
        connection.channel.drop(ending)
        self.forget(connection)

    def forget(self, connection: ServerConnection[RequestT]) -> None:
        """Removes an ended connection from the pool."""
        self.connections.pop(connection, None)
        idle = self.idle.get(connection.endpoint_id)
        if idle and connection in idle:
            idle.remove(connection)
        if not idle:
            self.idle.pop(connection.endpoint_id, None)

    def sweep(self) -> None:
        """Closes connections that have been idle too long for reuse."""
        now = self.limiter.loop.time()
        for connections in list(self.idle.values()):
            for connection in [
                other
                for other in connections
                if now - other.idle_at >= min(self.max_idle_seconds, other.idle_timeout_seconds)
            ]:
                self.close(connection, Ending.IDLE)
