"""Connections to servers: matching of responses with requests, and reuse of connections.

Owns the sockets to servers. A response is forwarded only if it was verifiably sent by a server of
the system for this request.
"""

from __future__ import annotations

import re
from math import inf
from typing import Protocol

from loomstand.admission.outcome import Outcome
from loomstand.admission.ticks import TICKS_PER_SECOND
from loomstand.limiter.endings import Ending
from loomstand.limiter.protocols import PoolOwner
from loomstand.limiter.request import HOP_FIELDS, Attempt
from loomstand.limiter.upstream import ConnectionPool, ServerConnection
from loomstand.proxy.request import (
    REQUEST_ID_FIELD,
    ProxyRequest,
    ServerResponse,
)
from loomstand.proxy.stale_connections import StaleConnections

KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=([0-9]{1,6})").search
# Subtracted from the keep-alive timeout that a server states, which is in whole seconds and may be
# rounded. If the server closes an idle connection while the next request is in transit, a
# non-idempotent request is lost.
IDLE_CLOSE_MARGIN_SECONDS = 1.0
# Time for which a connection is kept if the server states no timeout; known servers keep them 10 s.
DEFAULT_IDLE_SECONDS = 4.0
CONNECTION_LOSSES = {Ending.CLOSED, Ending.RESET}
MISDIRECTED = 421
# Statuses that guarantee to clients that the request was not and will not be executed.
NOT_EXECUTED_STATUSES = {408, MISDIRECTED, 429, 503}
# Maximum number of surplus responses skipped for one request. A faulty server sends one or two; the
# limit bounds the parsing work for a single read.
MAX_SURPLUS_RESPONSES = 8


class AttemptListener(PoolOwner[Attempt[ProxyRequest]], Protocol):
    """Interface of the proxy for connections to servers."""

    def endpoint_misdirected(self, attempt: Attempt[ProxyRequest]) -> None:
        """Called when another server responds at the attempt's address."""


class UpstreamConnection(ServerConnection[ProxyRequest]):
    """One connection to a server.

    Responses carry the id of their request; a surplus response to an earlier request is skipped.

    Attributes:
        surplus: Number of skipped surplus responses.
    """

    __slots__ = ("surplus",)
    pool: UpstreamPool

    def __init__(self, pool: UpstreamPool, endpoint_id: int) -> None:
        """Creates a connection that isn't open yet."""
        super().__init__(pool, endpoint_id)
        self.surplus = 0
        self.idle_timeout_seconds = DEFAULT_IDLE_SECONDS

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have begun the attempt's request.

        A server may begin once it has the head. It may read a long body, of which the rest isn't
        written until then, later or never.
        """
        return self.sent

    def opened(self) -> None:
        """Sends the request, unless it has expired or its client has disconnected."""
        if self.attempt is not None and self.attempt.expires_at <= self.pool.limiter.now():
            # the process was suspended while connecting, and nothing was sent
            self.channel.stop(Ending.EXPIRED)
            return
        super().opened()

    def response_received(self) -> None:
        """Matches a complete response with the request, and reports the attempt's outcome."""
        attempt = self.attempt
        if attempt is None:
            return
        parser = self.parser
        status, fields, body, must_close = parser.status, parser.fields, parser.body, parser.close
        response_id = fields.get(REQUEST_ID_FIELD)
        request = attempt.request
        has_other_id = response_id is not None and response_id != request.request_id
        if has_other_id and self.surplus < MAX_SURPLUS_RESPONSES:
            self._skip_surplus()
            return
        has_not_run = b"loomstand-not-executed" in fields or status == MISDIRECTED
        is_own = is_server_response(status, fields, has_not_run)
        if response_id != request.request_id or not is_own:
            self.channel.stop(Ending.MALFORMED)  # the request may have been executed
            return
        if (keep_alive := KEEP_ALIVE_TIMEOUT(fields.get(b"keep-alive", b""))) is not None:
            self.idle_timeout_seconds = max(0.0, int(keep_alive[1]) - IDLE_CLOSE_MARGIN_SECONDS)
        self.finish_response(must_close or self.surplus > 0)
        listener = self.pool.limiter
        if has_not_run:
            if status == MISDIRECTED:
                listener.endpoint_misdirected(attempt)
            listener.attempt_ended(attempt, Outcome.REJECTED)
            return
        request.server_response = ServerResponse(status, body, encoded_headers(fields))
        is_error = status >= 500  # noqa: PLR2004 - HTTP server errors
        listener.attempt_ended(attempt, Outcome.SERVER_ERROR if is_error else Outcome.SUCCEEDED)

    def ended(self, ending: Ending) -> None:
        """Reports the attempt in progress, and records the loss of a reused connection."""
        if self.attempt is not None and self.idle_at and ending in CONNECTION_LOSSES:
            self.pool.discard_stale(self, self.attempt)
        super().ended(ending)

    def _skip_surplus(self) -> None:
        """Skips a response to an earlier request, and parses the remaining input."""
        self.surplus += 1
        self.parser.reset()
        if self.channel.inbound.used:
            self.received()


def encoded_headers(fields: dict[bytes, bytes]) -> str:
    """Returns the response's forwarded header lines, each terminated by CRLF."""
    excluded = HOP_FIELDS
    if (connection_field := fields.get(b"connection")) is not None:
        listed = {name.strip().lower() for name in connection_field.split(b",")}
        excluded = HOP_FIELDS | listed
    return "".join(
        f"{name.decode('latin-1')}: {value.decode('latin-1')}\r\n"
        for name, value in fields.items()
        if name not in excluded
    )


def is_server_response(status: int, fields: dict[bytes, bytes], has_not_run: bool) -> bool:
    """Returns whether the response can have been sent by a server of the system.

    A success must have the server's stamp, must not be marked as not executed, and must have no
    content coding, as none was requested. A status that guarantees that the request was not
    executed must also have the header field that states this.
    """
    if 200 <= status < 300:  # noqa: PLR2004 - HTTP success statuses
        return (
            not has_not_run
            and b"loomstand-response-stamp" in fields
            and b"content-encoding" not in fields
        )
    return has_not_run or status not in NOT_EXECUTED_STATUSES


class UpstreamPool(ConnectionPool[ProxyRequest]):
    """Connections to all servers.

    Attributes:
        limiter: The proxy, which receives the outcomes of attempts.
        stale_connections: Recorded losses of connections that servers dropped.
    """

    connection_type = UpstreamConnection
    limiter: AttemptListener

    def __init__(
        self, listener: AttemptListener, connect_timeout_seconds: float, max_idle_seconds: float
    ) -> None:
        """Creates an empty pool that reuses connections idle for less than `max_idle_seconds`."""
        super().__init__(listener, connect_timeout_seconds, max_idle_seconds)
        self.stale_connections = StaleConnections()

    def send(self, attempt: Attempt[ProxyRequest]) -> None:
        """Sends an attempt on an idle connection that may carry its request, or on a new one.

        A new connection is used for a request that was lost on a reused one, and for a request that
        was sent to this server before, as a duplicate of its first response has the same id. A
        non-idempotent request is not sent on a connection that the server may have dropped.
        """
        request = attempt.request
        endpoint_id = attempt.endpoint_id
        now = self.limiter.loop.time()
        max_idle_seconds = inf
        if request.needs_new_connection or endpoint_id in request.attempted_endpoints:
            max_idle_seconds = 0.0
        elif not request.route.idempotent:
            max_idle_seconds = self.stale_connections.max_idle_seconds(request.service, now)
        request.attempted_endpoints = (*request.attempted_endpoints, endpoint_id)
        idle = self.idle.get(endpoint_id, ())
        untrusted = [other for other in idle if now - other.idle_at >= max_idle_seconds]
        if not untrusted:
            super().send(attempt)
            return
        trusted = [
            other for other in self.idle[endpoint_id] if now - other.idle_at < max_idle_seconds
        ]
        self.idle[endpoint_id] = trusted
        super().send(attempt)
        self.idle[endpoint_id] = untrusted + self.idle.get(endpoint_id, [])

    def give_up(self, attempt: Attempt[ProxyRequest], ending: Ending) -> None:
        """Stops waiting for an attempt, and ensures that undelivered data is never delivered.

        During a network partition the operating system would retransmit the data for minutes.
        """
        connection = attempt.connection
        if connection is not None and connection.attempt is attempt:
            connection.channel.discard_unsent()
        super().give_up(attempt, ending)

    def discard_stale(self, connection: UpstreamConnection, attempt: Attempt[ProxyRequest]) -> None:
        """Records the loss of a reused connection, and closes older idle ones to the server.

        A server may drop many idle connections at once, so those that have been idle longer are not
        reused. As the number of retries is limited, the request is retried on new connections only.
        """
        request = attempt.request
        request.needs_new_connection = True
        seconds_to_loss = (self.limiter.now() - attempt.sent_at) / TICKS_PER_SECOND
        now = self.limiter.loop.time()
        idle_seconds = now - seconds_to_loss - connection.idle_at
        self.stale_connections.record_loss(request.service, idle_seconds, seconds_to_loss, now)
        idle = self.idle.get(connection.endpoint_id, ())
        for other in [other for other in idle if other.idle_at <= connection.idle_at]:
            self.close(other, Ending.IDLE)
