"""The checked configuration, immutable. Spans are in seconds. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple


class WeightedService(NamedTuple):
    """A service in a route's split, with its weight of 0 or more."""

    name: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """Where requests of a host under a path prefix go.

    Attributes:
        name: The resource's name, unique among routes.
        host: The host of the requests, in small letters.
        path_prefix: Begins and ends with a slash; unique for a host.
        idempotent: Whether a request may run more than once.
        timeout_seconds: How long a request may be held: over 0, at most ten minutes.
        target_latency_seconds: The latency target; the time-out where the route names none.
        priority: 0 is the highest.
        traffic_split: The services with their weights, which aren't all 0.
        max_attempts: Servers that a request may be offered to, 1 or more.
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
    """How to reach the servers of a service.

    Attributes:
        name: The resource's name, unique among services.
        health_check_path: The path of a health check.
        connection_limit: Connections that a server takes from all callers together.
    """

    name: str
    health_check_path: str
    connection_limit: int


@dataclass(slots=True, frozen=True)
class Tenant:
    """A customer and its quota over all limiters.

    Attributes:
        name: The resource's name, unique among tenants.
        api_keys: No other tenant has one of them. Left out of the repr, as logs must not have keys.
        priority: 0 is the highest.
        rate_per_second: Requests a second; 0 is unlimited.
        burst_size: Requests beyond the rate.
    """

    name: str
    api_keys: tuple[str, ...] = field(repr=False)
    priority: int
    rate_per_second: float
    burst_size: float


@dataclass(slots=True, frozen=True)
class ClientLimits:
    """What a client may send, and how long it may take. Defaults: the example in PROTOCOL.md.

    Attributes:
        max_header_bytes: Bytes of a request's head.
        max_body_bytes: Bytes of a request's body.
        header_timeout_seconds: Until a request's head has to be there.
        idle_timeout_seconds: How long a connection may be idle.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 67108864
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


@dataclass(slots=True, frozen=True)
class Configuration:
    """A complete configuration.

    Attributes:
        version: Its number; the highest prevails.
        routes: In the order in which they stand.
        services: By name.
        tenants: In their order; None where there are none: then no request needs a key.
        limits: What clients may send.
        raw: The bytes that it was parsed from, keys included.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    tenants: tuple[Tenant, ...] | None
    limits: ClientLimits
    raw: bytes = field(repr=False)
