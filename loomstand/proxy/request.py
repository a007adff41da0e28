"""A client's request: validation on arrival and encoding for a server. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from loomstand.admission.ticks import TICKS_PER_MILLISECOND, TICKS_PER_SECOND
from loomstand.config.configuration import Route, Tenant
from loomstand.limiter.http_parser import Malformed, RequestReceiver, is_decimal
from loomstand.limiter.request import HOP_FIELDS, Attempt, Request

REQUEST_ID_FIELD = b"loomstand-request-id"
DEADLINE_FIELD = b"loomstand-deadline-remaining"
# Fields that are never forwarded from a client to a server; the proxy sets some of them itself.
PROXY_FIELDS = HOP_FIELDS | {
    b"authorization",
    DEADLINE_FIELD,
    b"loomstand-expected-instance",
    b"loomstand-tenant-name",
}
# Fields that are forwarded even if the client's `Connection` field lists them.
REQUIRED_FIELDS = {b"host", REQUEST_ID_FIELD}
RESPONSE_TRANSIT_MS = 20  # reserved of a client's deadline for the transit of the response


class ServerResponse(NamedTuple):
    """A server's complete response, as forwarded to the client.

    Attributes:
        status: The status code.
        body: The body.
        encoded_headers: Forwarded header lines, each terminated by CRLF.
    """

    status: int
    body: bytes
    encoded_headers: str


class ProxyRequest(Request):
    """A client's request at the proxy.

    Attributes:
        request_id: The id assigned by the client; never empty.
        deadline_remaining_ms: Time for which the client waits, in ms; None if not stated.
        api_key: The bearer token of its `Authorization` field; empty if there is none.
        excluded_fields: Names of the fields that are not forwarded to a server.
        route: The matched route; set on admission.
        service: Name of the service that handles it; set on admission.
        tenant: Its tenant; None before admission and on public routes.
        server_response: The last complete response from a server, if any.
        attempted_endpoints: Indices of the servers to which it was sent.
        may_have_run: Whether an attempt ended without proof that the request was not executed.
        needs_new_connection: Whether it must not be sent on a reused connection.
        is_given_up: Whether the decision engine has ended it, while a server may still answer an
            overdue attempt.
    """

    __slots__ = (
        "api_key",
        "attempted_endpoints",
        "deadline_remaining_ms",
        "excluded_fields",
        "is_given_up",
        "may_have_run",
        "needs_new_connection",
        "request_id",
        "route",
        "server_response",
        "service",
        "tenant",
    )
    route: Route

    def __init__(self, parser: RequestReceiver) -> None:
        """Creates a request from the parser's complete message.

        Raises:
            Malformed: The request is invalid; it is answered with status 400.
        """
        super().__init__(parser)
        fields = parser.fields
        self.request_id: bytes = fields.get(REQUEST_ID_FIELD, b"")
        if not self.request_id:
            raise Malformed(400, "a request needs Loomstand-Request-Id")
        remaining = fields.get(DEADLINE_FIELD, b"")
        if remaining and not is_decimal(remaining):
            raise Malformed(400, "Loomstand-Deadline-Remaining is whole milliseconds")
        self.deadline_remaining_ms = int(remaining) if remaining else None
        scheme, _, key = fields.get(b"authorization", b"").partition(b" ")
        self.api_key: bytes = key.strip() if scheme.lower() == b"bearer" else b""
        self.excluded_fields: frozenset[bytes] | set[bytes] = PROXY_FIELDS
        if (connection_field := fields.get(b"connection")) is not None:
            listed = {name.strip().lower() for name in connection_field.split(b",")}
            self.excluded_fields = PROXY_FIELDS | (listed - REQUIRED_FIELDS)
        self.service = ""
        self.tenant: Tenant | None = None
        self.server_response: ServerResponse | None = None
        self.attempted_endpoints: tuple[int, ...] = ()
        self.may_have_run = False
        self.needs_new_connection = False
        self.is_given_up = False

    @property
    def host(self) -> bytes:
        """The `Host` field; empty if there is none."""
        return self.fields.get(b"host", b"")

    @property
    def path(self) -> bytes:
        """The path of the request target, without the query."""
        return self.start_line[1].partition(b"?")[0]

    def timeout_ticks(self) -> int:
        """Returns the time limit in ticks: the lower of the route's timeout and the client's."""
        timeout = self.route.timeout_seconds * TICKS_PER_SECOND
        if self.deadline_remaining_ms is not None:
            remaining_ms = self.deadline_remaining_ms - RESPONSE_TRANSIT_MS
            timeout = min(timeout, remaining_ms * TICKS_PER_MILLISECOND)
        return max(1, int(timeout))

    def encode_for(self, instance_id: bytes, timeout_ms: int) -> bytes:
        """Returns the encoded request for a server.

        Args:
            instance_id: Identifier of the server.
            timeout_ms: Time limit for the server's response, in ms.
        """
        tenant_header = b""
        if self.tenant is not None:
            tenant_header = b"loomstand-tenant-name: %b\r\n" % self.tenant.name.encode()
        head = self.forwarded_head(self.excluded_fields)
        deadline_header = b"loomstand-deadline-remaining: %d\r\n" % timeout_ms
        return b"%b%b%bloomstand-expected-instance: %b\r\n\r\n%b" % (
            head,
            deadline_header,
            tenant_header,
            instance_id,
            self.body,
        )


class ProxyAttempt(Attempt[ProxyRequest]):
    """An attempt to have a request executed by one server.

    Attributes:
        instance_id: Identifier of the server.
    """

    __slots__ = ("instance_id",)

    def __init__(  # noqa: PLR0913, PLR0917 - base class arguments and `instance_id`
        self,
        request: ProxyRequest,
        number: int,
        endpoint_id: int,
        sent_at: int,
        expires_at: int,
        instance_id: str,
    ) -> None:
        """See `loomstand.limiter.request.Attempt`; times are ticks of the proxy's clock."""
        super().__init__(request, number, endpoint_id, sent_at, expires_at)
        self.instance_id = instance_id.encode()

    @property
    def server_deadline(self) -> int:
        """Time until which the server may work on it: its time-out is only that of a retry."""
        return self.request.deadline

    def raw(self, timeout_ms: int) -> bytes:
        """Returns the encoded request; `timeout_ms` is the time limit for the response in ms."""
        return self.request.encode_for(self.instance_id, timeout_ms)
