"""A client's request: checked as it arrives, and written anew for a server. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from loomstand.admission.ticks import TICKS_PER_MILLISECOND, TICKS_PER_SECOND
from loomstand.config.configuration import Route, Tenant
from loomstand.limiter.http_parser import Malformed, RequestReceiver, is_decimal
from loomstand.limiter.request import HOP_FIELDS, Attempt, Request

REQUEST_ID_FIELD = b"loomstand-request-id"
DEADLINE_FIELD = b"loomstand-deadline-remaining"
# Fields that never go on from a client to a server; some of them the proxy writes itself.
PROXY_FIELDS = HOP_FIELDS | {
    b"authorization",
    DEADLINE_FIELD,
    b"loomstand-expected-instance",
    b"loomstand-tenant-name",
}
# Fields that go on even if the client's `Connection` lists them.
REQUIRED_FIELDS = {b"host", REQUEST_ID_FIELD}
ANSWER_TRAVEL_MS = 20  # of a client's time are left for the way back of its answer


class ServerResponse(NamedTuple):
    """A server's complete response, as it goes on to the client.

    Attributes:
        status: The status code.
        body: The body.
        encoded_headers: Its fields that go on, as lines with their ends.
    """

    status: int
    body: bytes
    encoded_headers: str


class ProxyRequest(Request):
    """A client's request at the proxy.

    Attributes:
        request_id: The id that the client gave it; never empty.
        deadline_remaining_ms: How long the client says that it waits; None if it doesn't say.
        api_key: The key of its `Authorization`; empty if there is none.
        excluded_fields: Names of the fields that don't go on to a server.
        route: Its route, once it is admitted.
        service: Name of the service that is to answer it, once it is admitted.
        tenant: Its tenant; None before that is known, and on public routes.
        server_response: The last complete response of a server, if there is one.
        attempted_endpoints: Indices of the servers that it was sent to.
        may_have_run: Whether an attempt ended without proof that it didn't run.
        needs_new_connection: Whether it goes by new connections only.
    """

    __slots__ = (
        "api_key",
        "attempted_endpoints",
        "deadline_remaining_ms",
        "excluded_fields",
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
        """Takes the parser's complete message.

        Raises:
            Malformed: The request isn't proper; answered with 400.
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

    @property
    def host(self) -> bytes:
        """The `Host` field; empty if there is none."""
        return self.fields.get(b"host", b"")

    @property
    def path(self) -> bytes:
        """The path of its target, without the query."""
        return self.start_line[1].partition(b"?")[0]

    def timeout_ticks(self) -> int:
        """Returns how long it may take, by its route and by what the client says."""
        timeout = self.route.timeout_seconds * TICKS_PER_SECOND
        if self.deadline_remaining_ms is not None:
            remaining_ms = self.deadline_remaining_ms - ANSWER_TRAVEL_MS
            timeout = min(timeout, remaining_ms * TICKS_PER_MILLISECOND)
        return max(1, int(timeout))

    def encode_for(self, instance_id: bytes, timeout_ms: int) -> bytes:
        """Returns its bytes for a server.

        Args:
            instance_id: Identifier of the server.
            timeout_ms: How long the server's answer is waited for.
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
    """An attempt at one server.

    Attributes:
        instance_id: Identifier of the server.
    """

    __slots__ = ("instance_id",)

    def __init__(  # noqa: PLR0913, PLR0917 - the base class's arguments and one more
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

    def raw(self, wait: int) -> bytes:
        """Returns its bytes for the server, whose answer is waited for `wait` ms."""
        return self.request.encode_for(self.instance_id, wait)
