"""The routes and API keys of a configuration as a table for lookups by request. Pure.

A table is built once per configuration and is immutable; a program replaces it by the next one.

A request's route is found in this order (PROTOCOL.md, "Requests"):

1. By host, case-insensitively: the complete Host header, otherwise the header without its port. A
   request for any other host has no route.
2. By path: among that host's routes, the one with the longest prefix that matches the path.
   Prefixes end with a slash, so they match whole segments; the path excludes the query.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

from loomstand.config.configuration import Configuration, Route, Tenant


@dataclass(slots=True, frozen=True)
class _HostRoutes:
    """The routes of one host by path prefix, and the length of the longest prefix."""

    longest_prefix: int
    by_prefix: dict[bytes, Route]


@dataclass(slots=True, frozen=True, eq=False)
class RouteTable:
    """The table of one configuration.

    Attributes:
        configuration: The configuration that the table was built from.
        allowed_services: By host and path prefix, the services that requests may be sent to: those
            with a weight above 0.
    """

    configuration: Configuration
    allowed_services: Mapping[tuple[str, str], frozenset[str]]
    _hosts: dict[bytes, _HostRoutes]
    _tenants: dict[bytes, Tenant]

    @classmethod
    def from_configuration(cls, configuration: Configuration) -> RouteTable:
        """Builds the table of a validated configuration."""
        by_host: dict[bytes, dict[bytes, Route]] = {}
        allowed_services: dict[tuple[str, str], frozenset[str]] = {}
        for route in configuration.routes:
            by_prefix = by_host.setdefault(route.host.encode(), {})
            by_prefix[route.path_prefix.encode()] = route
            allowed_services[route.host, route.path_prefix] = frozenset(
                [service.name for service in route.traffic_split if service.weight > 0]
            )
        hosts = {
            host: _HostRoutes(max(map(len, by_prefix)), by_prefix)
            for host, by_prefix in by_host.items()
        }
        tenants = {
            key.encode(): tenant
            for tenant in configuration.tenants or ()
            for key in tenant.api_keys
            if key  # a request without a key must not match a tenant with an empty key
        }
        return cls(configuration, MappingProxyType(allowed_services), hosts, tenants)

    @property
    def version(self) -> int:
        """The configuration's version."""
        return self.configuration.version

    def find_route(self, host: bytes, path: bytes) -> Route | None:
        """Finds the route of a request in the order given in the module's docstring.

        Args:
            host: The Host header in upper or lower case, with or without a port.
            path: The path without the query.
        """
        host = host.lower()
        routes = self._hosts.get(host)
        if routes is None and b":" in host:
            routes = self._hosts.get(host[: host.rfind(b":")])
        if routes is None:
            return None
        # Searches only the length of the longest prefix: a long path of slashes would be slow.
        end = path.rfind(b"/", 0, routes.longest_prefix) + 1
        while end > 0:
            route = routes.by_prefix.get(path[:end])
            if route is not None:
                return route
            end = path.rfind(b"/", 0, end - 1) + 1
        return None

    def find_tenant(self, api_key: bytes) -> Tenant | None:
        """Finds the tenant that holds an API key."""
        return self._tenants.get(api_key)

    def requires_api_key(self, route: Route) -> bool:
        """Whether a request of this route requires the API key of a tenant."""
        return not route.public and self.configuration.tenants is not None

    def choose_service(self, route: Route, draw: float) -> str:
        """Chooses a service of the route by its weight.

        Args:
            route: A route of this table.
            draw: A random number of at least 0 and less than 1.
        """
        split = route.traffic_split
        if len(split) == 1:
            return split[0].name
        total = 0.0
        for service in split:
            total += service.weight
        remaining = draw * total
        chosen = split[0]
        for service in split:
            weight = service.weight
            if weight > 0:  # a service of weight 0 is never chosen, whatever the draw
                chosen = service
                remaining -= weight
                if remaining < 0:
                    break
        return chosen.name
