"""Client requests: validation, and the bytes that are forwarded to a server."""

from __future__ import annotations

import re
from asyncio import TimerHandle
from collections.abc import Container
from functools import lru_cache
from typing import Any, Generic, TypeVar

from loomstand.admission.identifiers import stable_digest
from loomstand.admission.settings import EngineSettings
from loomstand.limiter.http_parser import Malformed, RequestReceiver, is_decimal
from loomstand.limiter.protocols import AttemptConnection, ClientHandle

ACCOUNT = re.compile(rb"[?&]account=([0-9a-fA-F]{16})(?:&|$)").search
DECIMAL = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,6})?").fullmatch
# Hop-by-hop fields, and fields that are generated anew when a request is forwarded.
HOP_FIELDS = {
    b"connection",
    b"keep-alive",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"expect",
    b"content-length",
}
REPLACED_FIELDS = HOP_FIELDS | {b"request-timeout-ms"}


class NameLookup:
    """Resolves names and terms of a request against the settings.

    Attributes:
        frontends: Indices of the frontends by name.
        plans: Indices of the plans by name.
        settings: Settings of the decision engine.
    """

    def __init__(self, frontends: list[str], plans: list[str], settings: EngineSettings) -> None:
        self.frontends = {name.encode(): n for n, name in enumerate(frontends)}
        self.plans = {name.encode(): n for n, name in enumerate(plans)}
        self.settings = settings
        # Bounded caches: few distinct X-Call-Terms values occur, and many customers send several
        # requests within a short time.
        self.terms, self.customer = lru_cache(1 << 8)(self.terms), lru_cache(1 << 10)(self.customer)

    def terms(self, raw: bytes) -> tuple[float, int, int]:
        """Parses the field X-Call-Terms.

        Returns the request's units, the number of limiters that get the customer's requests, and
        the index of the first of these limiters.

        Raises:
            Malformed: A value is invalid or out of range.
        """
        pairs = dict(part.strip().partition(b"=")[::2] for part in raw.split(b","))
        units = pairs.get(b"units", b"1")
        spread, first = pairs.get(b"spread", b"0"), pairs.get(b"first", b"0")
        if not DECIMAL(units) or not is_decimal(spread) or not is_decimal(first):
            raise Malformed(400, "bad X-Call-Terms")
        if not 0 < float(units) <= self.settings.max_request_units:
            raise Malformed(400, "X-Call-Terms: units out of the settings' range")
        if int(spread) > self.settings.limiter_count or int(first) >= self.settings.limiter_count:
            raise Malformed(400, "X-Call-Terms: a set out of range")
        return float(units), int(spread), int(first)

    def customer(self, account: bytes) -> tuple[int, int]:
        """Returns the customer's number, and a digest of it that is the same at every limiter."""
        return int(account, 16), stable_digest(account.decode().lower())


RequestT = TypeVar("RequestT", bound="Request")


class Request:
    """A request that awaits its response or has attempts in flight.

    Attributes:
        fields: Header fields with lower-case names.
        body: The request body.
        start_line: Method and target.
        head: The forwarded head, cached; empty until it is first needed.
        id: Number of the request; 0 until it is assigned.
        deadline: Time of the shared clock at which it expires, in ticks.
        client: Connection for the response; None once it is written or the client has disconnected.
        attempts: Attempts by number; None for one that has ended.
        is_abandoned: Whether its client disconnected before the response.
    """

    __slots__ = (
        "attempts",
        "body",
        "client",
        "deadline",
        "fields",
        "head",
        "id",
        "is_abandoned",
        "start_line",
    )

    def __init__(self, parser: RequestReceiver) -> None:
        self.fields: dict[bytes, bytes] = parser.fields
        self.body: bytes = parser.body
        self.start_line: tuple[bytes, bytes] = (parser.method, parser.target)
        self.head = b""
        self.id: int = 0
        self.deadline: int = 0
        self.client: ClientHandle | None = None
        self.attempts: list[Attempt[Any] | None] = []
        self.is_abandoned = False

    def forwarded_head(self, omitted: Container[bytes]) -> bytes:
        """Returns the forwarded head without its final empty line; omits the fields `omitted`."""
        if not self.head:
            lines = [b"%b: %b\r\n" % pair for pair in self.fields.items() if pair[0] not in omitted]
            if self.body or self.start_line[0] != b"GET":
                lines.append(b"content-length: %d\r\n" % len(self.body))
            self.head = b"%b %b HTTP/1.1\r\n%b" % (*self.start_line, b"".join(lines))
        return self.head

    def raw(self, timeout_ms: int) -> bytes:
        """Returns the bytes for a server; `timeout_ms` is the response time-out in ms."""
        raise NotImplementedError


class AccountRequest(Request):
    """A request to the stand-alone limiter, which names an account, a plan and a frontend.

    Attributes:
        frontend: Index of the frontend.
        plan: Index of the customer's plan; -1 if the request names none.
        units: Units of quota that the request costs.
        limiter_set_size: Number of limiters that get the customer's requests; 0 for all.
        limiter_set_start: Index of the first of these limiters.
        customer: Number and digest of the account.
        timeout_ms: Time-out stated by the client, in ms.
        is_retry: Whether the client marked it as a retry.
    """

    __slots__ = (
        "customer",
        "frontend",
        "is_retry",
        "limiter_set_size",
        "limiter_set_start",
        "plan",
        "timeout_ms",
        "units",
    )

    def __init__(self, parser: RequestReceiver, names: NameLookup) -> None:
        """Validates the request.

        Raises:
            Malformed: With status 404 for an unknown frontend, 400 for all other faults.
        """
        super().__init__(parser)
        fields, target = parser.fields, parser.target
        timeout_ms, account = fields.get(b"request-timeout-ms", b""), ACCOUNT(target)
        if not fields.get(b"request-id") or not is_decimal(timeout_ms) or not account:
            raise Malformed(400, "a req needs Request-Id, Request-Timeout-Ms and an account")
        name = fields.get(b"request-class") or target[1:].partition(b"?")[0].partition(b"/")[0]
        self.frontend = names.frontends.get(name, -1)
        if self.frontend < 0:
            raise Malformed(404, "no such frontend")
        tier = fields.get(b"x-tier")
        self.plan = -1 if tier is None else names.plans.get(tier, -1)
        if tier is not None and self.plan < 0:
            raise Malformed(400, "no such plan")
        self.units, self.limiter_set_size, self.limiter_set_start = names.terms(
            fields.get(b"x-call-terms", b"")
        )
        self.customer = names.customer(account[1])
        self.timeout_ms, self.is_retry = int(timeout_ms), fields.get(b"client-retry") == b"1"

    def raw(self, timeout_ms: int) -> bytes:
        return b"%brequest-timeout-ms: %d\r\n\r\n%b" % (
            self.forwarded_head(REPLACED_FIELDS),
            timeout_ms,
            self.body,
        )


class Attempt(Generic[RequestT]):
    """One sending of a request to a server.

    Attributes:
        request: The request.
        number: Index of the attempt in `request.attempts`.
        endpoint_id: Index of the server.
        sent_at: Time of its creation, in ticks of the shared clock.
        expires_at: Time at which it expires, in ticks of the shared clock.
        connection: The connection that carries it; None before and after.
        timer: Timer of its expiry.
        is_overdue: Whether it has expired for the decision engine, while its server may still
            answer.
    """

    __slots__ = (
        "connection",
        "endpoint_id",
        "expires_at",
        "is_overdue",
        "number",
        "request",
        "sent_at",
        "timer",
    )

    def __init__(
        self, request: RequestT, number: int, endpoint_id: int, sent_at: int, expires_at: int
    ) -> None:
        self.request, self.number, self.endpoint_id, self.sent_at, self.expires_at = (
            request,
            number,
            endpoint_id,
            sent_at,
            expires_at,
        )
        self.connection: AttemptConnection | None = None
        self.timer: TimerHandle | None = None
        self.is_overdue = False

    @property
    def server_deadline(self) -> int:
        """Time until which the server may work on it, in ticks of the shared clock."""
        return self.expires_at

    def raw(self, timeout_ms: int) -> bytes:
        """Returns the bytes for the server; `timeout_ms` is the response time-out in ms."""
        return self.request.raw(timeout_ms)
