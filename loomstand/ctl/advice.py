"""What is valid in a configuration but unwise. Pure."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from loomstand.config.configuration import Configuration, Route, Service, Tenant
from loomstand.ctl.plain import time

_SHOWN = 60  # characters of a name; as in the messages of what is invalid


@dataclass(slots=True, frozen=True)
class Warning:
    """Where, what and what to do about it, a line each; no key stands in it."""

    place: str
    what: str
    mend: str


class _Places:
    """The words for each resource's place, as the errors of the check have them."""

    def __init__(self, raw: bytes) -> None:
        self.specs: dict[tuple[str, str], dict[str, Any]] = {}
        self.at: dict[tuple[str, str], int] = {}
        for n, resource in enumerate(json.loads(raw)["resources"]):
            key = (resource["resource_kind"], (resource.get("metadata") or {}).get("name") or "")
            self.specs[key], self.at[key] = resource.get("specification") or {}, n

    def of(self, kind: str, name: str, where: str = "") -> str:
        place = f"resources[{self.at[kind, name]}] {kind.removesuffix('s')} {name[:_SHOWN]}"
        return f"{place}: specification.{where}" if where else place


def advice(config: Configuration) -> list[Warning]:
    """All warnings on a checked configuration, by kind and in its order."""
    places = _Places(config.raw)
    out: list[Warning] = []
    for route in config.routes:
        out += _route(route, places)
        if route.public and config.tenants is not None:
            out.append(
                Warning(
                    places.of("routes", route.name, "public"),
                    "served without a key and outside all quotas, though there are tenants",
                    "set it to false, unless anybody may ask",
                )
            )
    out += _nested(config.routes, places)
    used = {service for route in config.routes for service, _ in route.traffic_split}
    for service in config.services.values():
        out += _service(service, service.name in used, places)
    for tenant in config.tenants or ():
        out += _tenant(tenant, places)
    if config.tenants and sum(tenant.rate_per_second for tenant in config.tenants) == 0:
        out.append(
            Warning("tenants", "their quotas add up to 0: nobody is held to any", "set rate_per_s")
        )
    return out


def _route(route: Route, places: _Places) -> Iterator[Warning]:
    def at(where: str) -> str:
        return places.of("routes", route.name, where)

    if route.target_latency_seconds == 0:
        yield Warning(
            at("target_latency"), "0: no answer can come within it", "set what clients expect"
        )
    if route.timeout_seconds == 0:
        yield Warning(
            at("timeout"), "0: no request can be answered", "set how long one may be held"
        )
    elif route.timeout_seconds < route.target_latency_seconds:
        yield Warning(
            at("timeout"),
            f"{time(route.timeout_seconds)} is shorter than the target latency, "
            f"{time(route.target_latency_seconds)}: "
            "requests are given up that would still earn their full worth",
            "raise it, to some times the target, or lower the target",
        )
    if route.max_attempts > 1 and not route.idempotent:
        yield Warning(
            at("maximum_attempts"),
            f"{route.max_attempts} on a non-idempotent route means servers asked, not runs: "
            "another is asked only where the one before surely didn't run the request",
            "keep it if that is meant, else set 1; it doesn't repeat what may have run",
        )
    if any(c in route.path_prefix for c in "?# "):
        yield Warning(
            at("path_prefix"),
            "has a character that no path has: it is never reached",
            "take it out",
        )
    yield from _split(route, places)


def _split(route: Route, places: _Places) -> Iterator[Warning]:
    spec, seen = places.specs["routes", route.name], set[str]()
    single = spec.get("service_name") or ""
    if spec.get("traffic_split") and single:
        unnamed = "" if single in dict(route.traffic_split) else ", which has no part in it"
        yield Warning(
            places.of("routes", route.name, "service_name"),
            f"passed over, as traffic_split prevails{unnamed}",
            "take out the one that isn't meant",
        )
    for n, (service, weight) in enumerate(route.traffic_split):
        place = places.of("routes", route.name, f"traffic_split[{n}]")
        if weight == 0:
            what = f"weight 0: {service[:_SHOWN]} gets nothing"
            yield Warning(place, what, "give it a weight, or take it out")
        if service in seen:
            yield Warning(
                place, f"{service[:_SHOWN]} once more: its weights add up", "make it one entry"
            )
        seen.add(service)


def _nested(routes: tuple[Route, ...], places: _Places) -> Iterator[Warning]:
    """Routes of a host and kind inside each other; one of another kind is how kinds are told
    apart.
    """
    found = {(route.host, route.path_prefix): route for route in routes}
    for route in routes:
        end = route.path_prefix.rfind("/", 0, len(route.path_prefix) - 1) + 1
        outer = None
        while end > 0 and outer is None:
            outer = found.get((route.host, route.path_prefix[:end]))
            end = route.path_prefix.rfind("/", 0, end - 1) + 1
        if outer is None or outer.idempotent != route.idempotent:
            continue
        same = all(
            getattr(route, f) == getattr(outer, f)
            for f in Route.__slots__
            if f not in ("name", "path_prefix")
        )
        yield Warning(
            places.of("routes", route.name, "path_prefix"),
            f"hides a part of route {outer.name[:_SHOWN]}, of the same host and kind"
            + (", and says the same" if same else ""),
            "take out this one: the other serves its paths too"
            if same
            else "keep it if that part is meant",
        )


def _service(service: Service, used: bool, places: _Places) -> Iterator[Warning]:
    if not used:
        yield Warning(
            places.of("services", service.name), "no route names it", "add a route, or take it out"
        )
    if service.connection_limit == 0:
        yield Warning(
            places.of("services", service.name, "connection_limit"),
            "0: no connection may be made to its servers",
            "set what a server accepts from all callers together",
        )


def _tenant(tenant: Tenant, places: _Places) -> Iterator[Warning]:
    if not any(tenant.api_keys):  # an empty key is never one that a request shows
        yield Warning(
            places.of("tenants", tenant.name, "api_keys"),
            "none: it can't ask",
            "add a key, or take it out",
        )
    if tenant.rate_per_second == 0:
        burst = ", and its burst_size says nothing" if tenant.burst_size else ""
        yield Warning(
            places.of("tenants", tenant.name, "rate_per_s"),
            f"no quota: it is unlimited{burst}",
            "set one",
        )
