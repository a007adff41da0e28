"""The validated, immutable configuration. Durations are in seconds. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple


class WeightedService(NamedTuple):
    """A service in a route's traffic split, with its weight of 0 or more."""

    name: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """The destination of requests for a host and path prefix.

    Attributes:
        name: The resource's name, unique among routes.
        host: The host of the requests, in lower case.
        path_prefix: The path prefix, which begins and ends with a slash; unique for a host.
        idempotent: Whether a request may be executed more than once.
        timeout_seconds: Timeout of a request: above 0 and at most 600 s.
        target_latency_seconds: Latency target; the timeout if the route has none.
        priority: Priority of the requests; 0 is the highest.
        traffic_split: The services with their weights, not all of which are 0.
        max_attempts: Maximum number of servers that a request is sent to, 1 or more.
        public: Whether requests need no API key.
    """

    name: str
    host: str
    path_prefix: str
    idempotent: bool
    timeout_seconds: float
    target_latency_seconds: float
    priority: int
    traffic_split: tuple[WeightedService, ...]
    max_attempts: int
    public: bool


@dataclass(slots=True, frozen=True)
class Service:
    """A service, which consists of equivalent servers.

    Attributes:
        name: The resource's name, unique among services.
        health_check_path: Path for health checks.
        connection_limit: Maximum number of connections of a server, over all callers.
    """

    name: str
    health_check_path: str
    connection_limit: int


@dataclass(slots=True, frozen=True)
class Tenant:
    """A customer and its quota over all limiters.

    Attributes:
        name: The resource's name, unique among tenants.
        api_keys: API keys, unique to the tenant; not part of the repr, as logs must not have keys.
        priority: Priority of the tenant's requests; 0 is the highest.
        rate_per_second: Allowed requests per second; 0 is unlimited.
        burst_size: Number of requests allowed beyond the rate.
    """

    name: str
    api_keys: tuple[str, ...] = field(repr=False)
    priority: int
    rate_per_second: float
    burst_size: float


@dataclass(slots=True, frozen=True)
class ClientLimits:
    """Size limits and timeouts for clients. Defaults are those of the example in PROTOCOL.md.

    Attributes:
        max_header_bytes: Maximum size of a request's head in bytes.
        max_body_bytes: Maximum size of a request's body in bytes.
        header_timeout_seconds: Time within which a request's head must be complete.
        idle_timeout_seconds: Time after which an idle connection is closed.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 67108864
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


@dataclass(slots=True, frozen=True)
class Configuration:
    """A complete configuration.

    Attributes:
        version: The version number; the highest takes precedence.
        routes: The routes in the order of the document.
        services: The services by name.
        tenants: The tenants in the order of the document; None if there are none, and then no
            request needs an API key.
        limits: Size limits and timeouts for clients.
        raw: The bytes that the configuration was parsed from, API keys included.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    tenants: tuple[Tenant, ...] | None
    limits: ClientLimits
    raw: bytes = field(repr=False)
