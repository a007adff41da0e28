"""Checks the constraints between the resources of one configuration. Pure.

Names are unique within a kind; each pair of host and path prefix belongs to one route, and each API
key to one tenant; there is at most one resource with limits; every service that a route names
exists.
"""

from __future__ import annotations

from loomstand.config.configuration.errors import ConfigurationError
from loomstand.config.configuration.model import ClientLimits, Route, Service, Tenant
from loomstand.config.configuration.resources import (
    MAX_NAME_CHARACTERS,
    ParsedResource,
    resource_location,
)
from loomstand.config.units import quote_value


class ResourceCollector:
    """Collects the resources of a configuration in order, and checks each against the earlier ones.

    Attributes:
        routes: The routes so far.
        services: The services so far, by name.
        tenants: The tenants so far.
        limits: The limits for clients; None until they are added.
    """

    def __init__(self) -> None:
        self.routes: list[Route] = []
        self.services: dict[str, Service] = {}
        self.tenants: list[Tenant] = []
        self.limits: ClientLimits | None = None
        self._positions: dict[tuple[str, str], int] = {}  # by kind and name
        self._service_names: list[str] = []  # `service_name` of each route, or empty
        self._route_names: dict[tuple[str, str], str] = {}  # a route's name by host and prefix
        self._key_owners: dict[str, str] = {}  # a tenant's name by API key

    def add(self, position: int, resource: ParsedResource) -> None:
        """Adds the resource at a position of the list.

        Raises:
            ConfigurationError: The resource conflicts with an earlier one.
        """
        value = resource.value
        if isinstance(value, ClientLimits):
            if self.limits is not None:
                raise ConfigurationError(f"resources[{position}] limits: given twice")
            self.limits = value
            return
        kind = resource.kind
        name = resource.name
        first_position = self._positions.setdefault((kind, name), position)
        if first_position != position:
            location = resource_location(position, kind, name)
            problem = f"given at resources[{first_position}] too"
            raise ConfigurationError(f"{location}metadata.name: {problem}")
        if isinstance(value, Route):
            self._add_route(value, resource.service_name)
        elif isinstance(value, Service):
            self.services[name] = value
        else:
            self._add_tenant(value)

    def check_services(self) -> None:
        """Checks that every service that a route names exists, after all resources were added.

        Raises:
            ConfigurationError: A service doesn't exist.
        """
        for route, service_name in zip(self.routes, self._service_names, strict=True):
            # `service_name` must exist even if a traffic split takes precedence over it
            if service_name and service_name not in self.services:
                raise self._unknown_service(route, "service_name", service_name)
            for number, service in enumerate(route.traffic_split):
                if service.name not in self.services:
                    key = f"traffic_split[{number}].service_name"
                    raise self._unknown_service(route, key, service.name)

    def _add_route(self, route: Route, service_name: str) -> None:
        owner = self._route_names.setdefault((route.host, route.path_prefix), route.name)
        if owner != route.name:
            problem = f"host and prefix are those of route {owner[:MAX_NAME_CHARACTERS]}"
            raise self._error("routes", route.name, "path_prefix", problem)
        self.routes.append(route)
        self._service_names.append(service_name)

    def _add_tenant(self, tenant: Tenant) -> None:
        for number, key in enumerate(tenant.api_keys):
            owner = self._key_owners.setdefault(key, tenant.name)
            if owner != tenant.name:
                problem = f"tenant {owner[:MAX_NAME_CHARACTERS]} has this key too"
                raise self._error("tenants", tenant.name, f"api_keys[{number}]", problem)
        self.tenants.append(tenant)

    def _unknown_service(self, route: Route, key: str, service: str) -> ConfigurationError:
        return self._error("routes", route.name, key, f"unknown service {quote_value(service)}")

    def _error(self, kind: str, name: str, key: str, problem: str) -> ConfigurationError:
        """Returns the error for a key in the specification of a resource that was added."""
        location = resource_location(self._positions[kind, name], kind, name)
        return ConfigurationError(f"{location}specification.{key}: {problem}")
