"""Warnings about parts of a configuration that are valid but probably not intended. Pure."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from loomstand.config.configuration import Configuration, Route, Service, Tenant
from loomstand.ctl.common import format_seconds

_MAX_NAME_CHARS = 60  # of a resource's name, as in the errors for an invalid configuration


@dataclass(slots=True, frozen=True)
class ConfigurationWarning:
    """A warning. The field names are printed as JSON keys; no field contains an API key.

    Attributes:
        place: The resource and the field, as in the errors for an invalid configuration.
        what: The problem, in one line.
        mend: The remedy, in one line.
    """

    place: str
    what: str
    mend: str


class _ResourcePlaces:
    """Formats the place of a resource as in the errors for an invalid configuration.

    Attributes:
        specifications: By kind and name of a resource, its specification.
        positions: By kind and name of a resource, its index in the list.
    """

    def __init__(self, raw: bytes) -> None:
        self.specifications: dict[tuple[str, str], dict[str, Any]] = {}
        self.positions: dict[tuple[str, str], int] = {}
        for position, resource in enumerate(json.loads(raw)["resources"]):
            key = (resource["resource_kind"], (resource.get("metadata") or {}).get("name") or "")
            self.specifications[key] = resource.get("specification") or {}
            self.positions[key] = position

    def place(self, kind: str, name: str, field: str = "") -> str:
        """Returns the place of a resource, or of a field in its specification."""
        position = self.positions[kind, name]
        place = f"resources[{position}] {kind.removesuffix('s')} {name[:_MAX_NAME_CHARS]}"
        return f"{place}: specification.{field}" if field else place


def find_warnings(config: Configuration) -> list[ConfigurationWarning]:
    """Returns all warnings about a valid configuration: routes, services, then tenants."""
    places = _ResourcePlaces(config.raw)
    warnings: list[ConfigurationWarning] = []
    for route in config.routes:
        warnings += _check_route(route, places)
        if route.public and config.tenants is not None:
            warnings.append(
                ConfigurationWarning(
                    places.place("routes", route.name, "public"),
                    "served without a key and without quotas, although tenants are configured",
                    "set it to false, unless requests without a key are intended",
                )
            )
    warnings += _check_nested_routes(config.routes, places)
    used = {service for route in config.routes for service, _ in route.traffic_split}
    for service in config.services.values():
        warnings += _check_service(service, service.name in used, places)
    for tenant in config.tenants or ():
        warnings += _check_tenant(tenant, places)
    if config.tenants and sum(tenant.rate_per_second for tenant in config.tenants) == 0:
        warnings.append(
            ConfigurationWarning(
                "tenants", "their quotas add up to 0: no tenant is limited", "set rate_per_s"
            )
        )
    return warnings


def _check_route(route: Route, places: _ResourcePlaces) -> Iterator[ConfigurationWarning]:
    def place(field: str) -> str:
        return places.place("routes", route.name, field)

    if route.target_latency_seconds == 0:
        yield ConfigurationWarning(
            place("target_latency"),
            "0: no response can arrive within it",
            "set the latency that clients expect",
        )
    if route.timeout_seconds == 0:
        yield ConfigurationWarning(
            place("timeout"),
            "0: no request can be answered",
            "set how long a request may take",
        )
    elif route.timeout_seconds < route.target_latency_seconds:
        yield ConfigurationWarning(
            place("timeout"),
            f"{format_seconds(route.timeout_seconds)} is shorter than the target latency, "
            f"{format_seconds(route.target_latency_seconds)}: "
            "requests are abandoned that could still be answered within the target",
            "raise it to several times the target, or lower the target",
        )
    if route.max_attempts > 1 and not route.idempotent:
        yield ConfigurationWarning(
            place("maximum_attempts"),
            f"{route.max_attempts} on a non-idempotent route limits the servers tried, not the "
            "executions: another server is tried only if the previous one certainly didn't run "
            "the request",
            "keep it if that is intended, else set 1; a request that may have run is never "
            "repeated",
        )
    if any(character in route.path_prefix for character in "?# "):
        yield ConfigurationWarning(
            place("path_prefix"),
            "contains a character that can't occur in a path: no request matches it",
            "remove the character",
        )
    yield from _check_split(route, places)


def _check_split(route: Route, places: _ResourcePlaces) -> Iterator[ConfigurationWarning]:
    specification = places.specifications["routes", route.name]
    service_name = specification.get("service_name") or ""
    if specification.get("traffic_split") and service_name:
        in_split = service_name in dict(route.traffic_split)
        addition = "" if in_split else ", which doesn't contain it"
        yield ConfigurationWarning(
            places.place("routes", route.name, "service_name"),
            f"ignored, as traffic_split takes precedence{addition}",
            "remove the one that isn't intended",
        )
    seen_services: set[str] = set()
    for position, (service, weight) in enumerate(route.traffic_split):
        place = places.place("routes", route.name, f"traffic_split[{position}]")
        if weight == 0:
            problem = f"weight 0: {service[:_MAX_NAME_CHARS]} gets no requests"
            yield ConfigurationWarning(place, problem, "set a weight, or remove the entry")
        if service in seen_services:
            yield ConfigurationWarning(
                place,
                f"{service[:_MAX_NAME_CHARS]} is listed again: its weights add up",
                "merge its entries into one",
            )
        seen_services.add(service)


def _check_nested_routes(
    routes: tuple[Route, ...], places: _ResourcePlaces
) -> Iterator[ConfigurationWarning]:
    """Warns about routes whose prefix lies within that of another route of the same host and kind.

    Nested routes of different kinds are common, as they separate idempotent paths from others.
    """
    by_prefix = {(route.host, route.path_prefix): route for route in routes}
    for route in routes:
        end = route.path_prefix.rfind("/", 0, len(route.path_prefix) - 1) + 1
        outer = None
        while end > 0 and outer is None:
            outer = by_prefix.get((route.host, route.path_prefix[:end]))
            end = route.path_prefix.rfind("/", 0, end - 1) + 1
        if outer is None or outer.idempotent != route.idempotent:
            continue
        is_redundant = all(
            getattr(route, field) == getattr(outer, field)
            for field in Route.__slots__
            if field not in ("name", "path_prefix")
        )
        yield ConfigurationWarning(
            places.place("routes", route.name, "path_prefix"),
            f"overrides a part of route {outer.name[:_MAX_NAME_CHARS]}, of the same host and kind"
            + (", with the same settings" if is_redundant else ""),
            "remove this route: the other serves its paths too"
            if is_redundant
            else "keep it if that is intended",
        )


def _check_service(
    service: Service, is_used: bool, places: _ResourcePlaces
) -> Iterator[ConfigurationWarning]:
    if not is_used:
        yield ConfigurationWarning(
            places.place("services", service.name),
            "no route uses it",
            "add a route, or remove the service",
        )
    if service.connection_limit == 0:
        yield ConfigurationWarning(
            places.place("services", service.name, "connection_limit"),
            "0: no connection may be made to its servers",
            "set how many connections a server accepts from all callers together",
        )


def _check_tenant(tenant: Tenant, places: _ResourcePlaces) -> Iterator[ConfigurationWarning]:
    if not any(tenant.api_keys):  # an empty key never matches a request
        yield ConfigurationWarning(
            places.place("tenants", tenant.name, "api_keys"),
            "no key: the tenant can't send requests",
            "add a key, or remove the tenant",
        )
    if tenant.rate_per_second == 0:
        burst = ", and its burst_size has no effect" if tenant.burst_size else ""
        yield ConfigurationWarning(
            places.place("tenants", tenant.name, "rate_per_s"),
            f"no quota: the tenant is unlimited{burst}",
            "set rate_per_s",
        )
