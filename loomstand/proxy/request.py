"""A request of a client: what it says of itself, checked, and what goes on to a server."""

from __future__ import annotations

from loomstand.config.configuration import Route, Tenant
from loomstand.limiter.http_parser import Malformed, RequestReceiver, number
from loomstand.limiter.request import HOP_FIELDS, Flight, Req

# Fields that a server gets from us alone, or never.
KEPT = HOP_FIELDS | {
    b"authorization",
    b"loomstand-deadline-remaining",
    b"loomstand-expected-instance",
    b"loomstand-tenant-name",
}
SLACK_MS = 20  # of a client's time: its answer travels back within this


class ProxyRequest(Req):
    """A request with its route. `got` is the last whole answer of a server; `ran` whether it may
    have run; `afresh` whether it goes by new connections only; `met` the servers that it was sent
    to.
    """

    __slots__ = (
        "afresh",
        "got",
        "hops",
        "key",
        "late",
        "met",
        "ran",
        "request_id",
        "route",
        "service",
        "tenant",
        "wait",
    )

    def __init__(self, machine: RequestReceiver) -> None:
        """What is no proper request is a 400."""
        super().__init__(machine)
        fields = machine.fields
        self.request_id = fields.get(b"loomstand-request-id", b"")
        if not self.request_id:
            raise Malformed(400, "a request needs Loomstand-Request-Id")
        left = fields.get(b"loomstand-deadline-remaining", b"")
        if left and not number(left):
            raise Malformed(400, "Loomstand-Deadline-Remaining is whole milliseconds")
        self.wait = int(left) if left else None
        scheme, _, key = fields.get(b"authorization", b"").partition(b" ")
        self.key = key.strip() if scheme.lower() == b"bearer" else b""
        self.hops: frozenset[bytes] | set[bytes] = KEPT
        if (listed := fields.get(b"connection")) is not None:
            names = {part.strip().lower() for part in listed.split(b",")}
            self.hops = KEPT | (names - {b"host", b"loomstand-request-id"})
        self.route: Route | None = None
        self.service = ""
        self.tenant: Tenant | None = None
        self.got: tuple[int, bytes, str] | None = None
        self.met: tuple[int, ...] = ()
        self.ran = self.late = self.afresh = False

    @property
    def host(self) -> bytes:
        return self.fields.get(b"host", b"")

    @property
    def path(self) -> bytes:
        return self.line[1].partition(b"?")[0]

    def timeout(self) -> int:
        """How long it may be held, in tenths of a millisecond."""
        most = self.route.timeout_seconds * 10_000
        if self.wait is not None:
            most = min(most, (self.wait - SLACK_MS) * 10)
        return max(1, int(most))

    def raw_for(self, identifier: bytes, wait: int) -> bytes:
        """The bytes for the server of that identifier, which is waited for that many
        milliseconds.
        """
        name = b""
        if self.tenant is not None:
            name = b"loomstand-tenant-name: %b\r\n" % self.tenant.name.encode()
        head = self.onward(self.hops)
        left = b"loomstand-deadline-remaining: %d\r\n" % wait
        return b"%b%b%bloomstand-expected-instance: %b\r\n\r\n%b" % (
            head,
            left,
            name,
            identifier,
            self.body,
        )


class Dispatch(Flight):
    """A dispatch to one server."""

    __slots__ = ("identifier",)

    def __init__(
        self, req: Req, number: int, srv: int, sent_at: int, expire: int, identifier: str
    ) -> None:
        super().__init__(req, number, srv, sent_at, expire)
        self.identifier = identifier.encode()

    def raw(self, wait: int) -> bytes:
        return self.req.raw_for(self.identifier, wait)
