"""Parses a single resource of a configuration: a route, service, tenant or limits. Pure.

PROTOCOL.md, "The operator", defines the fields. Resources of unknown kinds are skipped, as later
releases may define further kinds.
"""

from __future__ import annotations

from dataclasses import dataclass

from loomstand.config.configuration.json_object import JsonObject
from loomstand.config.configuration.model import (
    ClientLimits,
    Route,
    Service,
    Tenant,
    WeightedService,
)
from loomstand.config.units import quote_value

MAX_TIMEOUT_SECONDS = 600.0
"""Ten minutes: by PROTOCOL.md a route with a longer timeout is invalid."""

DEFAULT_CONNECTION_LIMIT = 100
"""For a service that sets no limit; a little below 110, the lowest limit of known deployments."""

MAX_NAME_CHARACTERS = 60
"""Maximum number of characters of a resource's name in an error message."""

_IDEMPOTENT = "idempotent"
_NON_IDEMPOTENT = "non_idempotent"


@dataclass(slots=True, frozen=True)
class ParsedResource:
    """A parsed resource, which depends neither on other resources nor on its position in the list.

    Attributes:
        kind: The `resource_kind`.
        name: The resource's name; empty for limits, which have none.
        value: The parsed resource.
        service_name: The `service_name` of a route, also of one with a traffic split; empty if
            there is none.
    """

    kind: str
    name: str
    value: Route | Service | Tenant | ClientLimits
    service_name: str = ""


def resource_location(position: int, kind: str, name: str) -> str:
    """Formats the location of a resource for an error, such as `resources[3] route r-a: `."""
    return f"resources[{position}] {kind.removesuffix('s')} {name[:MAX_NAME_CHARACTERS]}: "


def parse_resource(position: int, resource: object) -> ParsedResource | None:
    """Parses the resource at a position of the list.

    Returns:
        The resource, or None if its kind is unknown.

    Raises:
        ConfigurationError: A field of the resource is missing or invalid.
    """
    entry = JsonObject(resource, f"resources[{position}]: ", "")
    kind = entry.get_text("resource_kind")
    if kind == "limits":
        location = f"resources[{position}] limits: "
        specification = JsonObject(entry.get("specification"), location, "specification")
        return ParsedResource(kind, "", _parse_client_limits(specification))
    if kind not in ("routes", "services", "tenants"):
        return None
    location = f"resources[{position}] {kind.removesuffix('s')}: "
    name = JsonObject(entry.get("metadata"), location, "metadata").get_name("name")
    location = resource_location(position, kind, name)
    specification = JsonObject(entry.get("specification"), location, "specification")
    if kind == "routes":
        route = _parse_route(name, specification)
        return ParsedResource(kind, name, route, specification.get_text("service_name", ""))
    if kind == "services":
        return ParsedResource(kind, name, _parse_service(name, specification))
    return ParsedResource(kind, name, _parse_tenant(name, specification))


def _parse_route(name: str, specification: JsonObject) -> Route:
    # Lower-cases ASCII letters only, as `RouteTable.find_route` does with a Host header's bytes.
    host = specification.get_name("host").encode().lower().decode()
    path_prefix = _parse_path_prefix(specification)
    idempotent = _parse_route_kind(specification)
    timeout_seconds = _parse_timeout(specification)
    max_attempts = specification.get_whole_number("maximum_attempts", 1)
    if max_attempts < 1:
        raise specification.error("maximum_attempts", "0")
    return Route(
        name=name,
        host=host,
        path_prefix=path_prefix,
        idempotent=idempotent,
        timeout_seconds=timeout_seconds,
        target_latency_seconds=specification.get_seconds("target_latency", timeout_seconds),
        priority=specification.get_whole_number("priority", 0),
        traffic_split=_parse_traffic_split(specification),
        max_attempts=max_attempts,
        public=specification.get_flag("public", default=False),
    )


def _parse_path_prefix(specification: JsonObject) -> str:
    prefix = specification.get_text("path_prefix")
    if not (prefix.startswith("/") and prefix.endswith("/")):
        problem = f"{quote_value(prefix)} doesn't begin and end with a slash"
        raise specification.error("path_prefix", problem)
    return prefix


def _parse_route_kind(specification: JsonObject) -> bool:
    """Returns whether requests of the route may be executed more than once."""
    kind = specification.get_text("route_kind")
    if kind not in (_IDEMPOTENT, _NON_IDEMPOTENT):
        problem = f"{quote_value(kind)} is neither {_IDEMPOTENT} nor {_NON_IDEMPOTENT}"
        raise specification.error("route_kind", problem)
    return kind == _IDEMPOTENT


def _parse_timeout(specification: JsonObject) -> float:
    timeout_seconds = specification.get_seconds("timeout")
    if timeout_seconds > MAX_TIMEOUT_SECONDS:
        raise specification.error("timeout", "over ten minutes")
    # No request can be served within 0 s; operators' tests send it as an invalid value.
    if timeout_seconds <= 0:
        raise specification.error("timeout", "0")
    return timeout_seconds


def _parse_traffic_split(specification: JsonObject) -> tuple[WeightedService, ...]:
    """Parses the services of a route; `traffic_split` takes precedence over `service_name`."""
    entries = specification.get_list("traffic_split", ())
    service_name = specification.get_text("service_name", "")
    if not entries:
        if not service_name:
            raise specification.error("service_name", "missing, and there is no traffic_split")
        return (WeightedService(service_name, 1.0),)
    services = []
    total_weight = 0.0
    for number, entry in enumerate(entries):
        path = f"{specification.path}traffic_split[{number}]"
        fields = JsonObject(entry, specification.location, path)
        service = WeightedService(fields.get_name("service_name"), fields.get_number("weight"))
        services.append(service)
        total_weight += service.weight
    if total_weight <= 0:
        raise specification.error("traffic_split", "the weights add up to 0")
    return tuple(services)


def _parse_service(name: str, specification: JsonObject) -> Service:
    path = specification.get_text("health_check_path", "/health")
    if not path.startswith("/") or " " in path:
        raise specification.error("health_check_path", f"{quote_value(path)} is not a path")
    limit = specification.get_whole_number("connection_limit", DEFAULT_CONNECTION_LIMIT)
    return Service(name, path, limit)


def _parse_tenant(name: str, specification: JsonObject) -> Tenant:
    api_keys = tuple(
        specification.check_text(f"api_keys[{number}]", key)
        for number, key in enumerate(specification.get_list("api_keys", ()))
    )
    return Tenant(
        name=name,
        api_keys=api_keys,
        priority=specification.get_whole_number("priority", 0),
        rate_per_second=specification.get_number("rate_per_s", 0),
        burst_size=specification.get_number("burst_size", 0),
    )


def _parse_client_limits(specification: JsonObject) -> ClientLimits:
    default = ClientLimits()
    return ClientLimits(
        max_header_bytes=specification.get_whole_number(
            "max_header_bytes", default.max_header_bytes
        ),
        max_body_bytes=specification.get_whole_number("max_body_bytes", default.max_body_bytes),
        header_timeout_seconds=specification.get_seconds(
            "header_timeout", default.header_timeout_seconds
        ),
        idle_timeout_seconds=specification.get_seconds(
            "idle_timeout", default.idle_timeout_seconds
        ),
    )
