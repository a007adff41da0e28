"""The routes of a configuration as a snapshot that is built once, never changed and swapped
whole.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

from loomstand.config.configuration import Configuration, Route, Tenant


@dataclass(slots=True, frozen=True)
class _Host:
    """The routes of one host by prefix, and the length of the longest prefix."""

    longest: int
    routes: dict[bytes, Route]


@dataclass(slots=True, frozen=True, eq=False)
class RouteTable:
    """What is asked for each request. `allowed_services` has, for each host and prefix, the
    services that its requests may go to: those with a weight over 0.
    """

    configuration: Configuration
    allowed_services: Mapping[tuple[str, str], frozenset[str]]
    _hosts: dict[bytes, _Host]
    _tenants: dict[bytes, Tenant]

    @classmethod
    def from_configuration(cls, configuration: Configuration) -> RouteTable:
        """The table of a checked configuration."""
        hosts: dict[bytes, dict[bytes, Route]] = {}
        for route in configuration.routes:
            hosts.setdefault(route.host.encode(), {})[route.path_prefix.encode()] = route
        # An empty key is never one that a request shows.
        tenants = {
            key.encode(): t for t in configuration.tenants or () for key in t.api_keys if key
        }
        allowed_services = {
            (r.host, r.path_prefix): frozenset(s for s, weight in r.traffic_split if weight > 0)
            for r in configuration.routes
        }
        return cls(
            configuration,
            MappingProxyType(allowed_services),
            {host: _Host(max(map(len, routes)), routes) for host, routes in hosts.items()},
            tenants,
        )

    @property
    def version(self) -> int:
        """The configuration's number."""
        return self.configuration.version

    def find_route(self, host: bytes, path: bytes) -> Route | None:
        """The route with the longest prefix that begins `path` (without its query), of the host in
        a Host header: any case, with or without a port.
        """
        host = host.lower()
        found = self._hosts.get(host)
        if found is None:
            found = self._hosts.get(host[: host.rfind(b":")]) if b":" in host else None
            if found is None:
                return None
        # Nothing beyond the longest prefix is looked at: a long path of slashes alone would be
        # dear.
        end = path.rfind(b"/", 0, found.longest) + 1
        while end > 0:
            route = found.routes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind(b"/", 0, end - 1) + 1
        return None

    def find_tenant(self, key: bytes) -> Tenant | None:
        """Whose key this is."""
        return self._tenants.get(key)

    def requires_api_key(self, route: Route) -> bool:
        """Whether a request of this route must show a key that is known."""
        return not route.public and self.configuration.tenants is not None

    def choose_service(self, route: Route, chance: float) -> str:
        """A service of the route by its weight, for a `chance` of at least 0 and under 1."""
        split = route.traffic_split
        if len(split) == 1:
            return split[0][0]
        at = chance * sum(weight for _, weight in split)
        last = split[0][0]
        for service, weight in split:
            if weight > 0:
                last = service
                at -= weight
                if at < 0:
                    break
        return last
