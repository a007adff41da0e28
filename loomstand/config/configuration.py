"""The operator's configuration, read and checked by hand before anything is written or put in
force.

`parse` either gives the whole of it or raises ConfigurationError; nothing else comes out, whatever
the bytes. Fields and kinds of resource that nobody here knows are skipped. A field that is absent,
or null, has the default that stands beside it below; what a route can't be understood without is
needed.
"""

from __future__ import annotations

import json
import marshal
import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any, Final

from loomstand.config.units import UnitError, parse_seconds, parse_version, quote_value

MAX_TIMEOUT_SECONDS = 600.0  # seconds: ten minutes, by the protocol
MAX_NUMBER = 2.0**63  # no figure of a configuration comes near; sums of those under it stay finite
DEFAULT_CONNECTION_LIMIT = 100  # of a service that doesn't say: a little under the least seen, 110
_NEEDED: Final[Any] = object()
# What would end a line of a header or of a log, or can't be written as UTF-8.
_UNFIT = re.compile("[\x00-\x1f\x7f-\x9f\u2028\u2029\ud800-\udfff]")
_SHOWN = 60  # characters of a name in a message


class ConfigurationError(ValueError):
    """A configuration that is refused: one line that says where and what. No key stands in it."""


@dataclass(slots=True, frozen=True)
class Route:
    """Where requests of a host (in small letters) under a prefix go. Of `traffic_split`, each is a
    service and its weight, the weights of 0 or more and not all 0; `priority` 0 is the highest.
    """

    name: str
    host: str
    path_prefix: str
    idempotent: bool
    timeout_seconds: float
    target_latency_seconds: float
    priority: int
    traffic_split: tuple[tuple[str, float], ...]
    max_attempts: int
    public: bool


@dataclass(slots=True, frozen=True)
class Service:
    """How a service's servers are asked about their health, and how many connections each takes
    from all.
    """

    name: str
    health_check_path: str
    connection_limit: int


@dataclass(slots=True, frozen=True)
class Tenant:
    """A customer: `rate_per_second` requests and `burst_size` beyond, over all limiters; 0 is
    unlimited.
    """

    name: str
    api_keys: tuple[str, ...] = field(repr=False)  # never in a log
    priority: int
    rate_per_second: float
    burst_size: float


@dataclass(slots=True, frozen=True)
class ClientLimits:
    """What a client may send, in bytes, and how long it may take or be idle, in seconds."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 67108864
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


@dataclass(slots=True, frozen=True)
class Configuration:
    """A whole configuration and the bytes it came in. `tenants` is None where that kind doesn't
    appear at all: then no request needs a key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    tenants: tuple[Tenant, ...] | None
    limits: ClientLimits
    raw: bytes = field(repr=False)


class _Part:
    """A JSON object and the words for its place."""

    __slots__ = ("path", "place", "values")

    def __init__(self, values: Any, place: str, path: str) -> None:
        if not isinstance(values, dict):
            raise ConfigurationError(
                f"{(place + path).removesuffix(': ') or 'JSON'}: not an object"
            )
        self.values: dict[str, Any] = values
        self.place, self.path = place, path + "." if path else ""

    def wrong(self, key: str, what: str) -> ConfigurationError:
        return ConfigurationError(f"{self.place}{self.path}{key}: {what}")

    def get(self, key: str, default: Any) -> Any:
        value = self.values.get(key)
        if value is not None:
            return value
        if default is _NEEDED:
            raise self.wrong(key, "missing")
        return default

    def text(self, key: str, default: Any = _NEEDED) -> str:
        return self.fit(key, self.get(key, default))

    def fit(self, key: str, value: Any) -> str:
        if not isinstance(value, str):
            raise self.wrong(key, "not a text")
        if _UNFIT.search(value):
            raise self.wrong(key, "a character that can't be sent on")
        return value

    def name(self, key: str, default: Any = _NEEDED) -> str:
        value = self.text(key, default)
        if not value.strip():
            raise self.wrong(key, "empty")
        return value

    def number(self, key: str, default: Any = _NEEDED) -> float:
        value = self.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self.wrong(key, "not a number")
        if not 0 <= value <= MAX_NUMBER:
            raise self.wrong(key, "negative" if value < 0 else "too large a number")
        return float(value)

    def whole(self, key: str, default: Any = _NEEDED) -> int:
        value = self.number(key, default)
        if not value.is_integer():
            raise self.wrong(key, "not a whole number")
        return int(value)

    def seconds(self, key: str, default: Any = _NEEDED) -> float:
        value = self.get(key, default)
        if value is default:
            return value
        try:
            return parse_seconds(self.fit(key, value))
        except UnitError as wrong:
            raise self.wrong(key, str(wrong)) from None

    def flag(self, key: str, default: bool) -> bool:
        value = self.get(key, default)
        if not isinstance(value, bool):
            raise self.wrong(key, "neither true nor false")
        return value

    def items(self, key: str, default: Any = _NEEDED) -> list[Any]:
        value = self.get(key, default)
        if not isinstance(value, list | tuple):
            raise self.wrong(key, "not a list")
        return list(value)


def _once(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) < len(pairs):
        keys = [key for key, _ in pairs]
        raise ConfigurationError(
            f"JSON: key {quote_value(next(k for k in keys if keys.count(k) > 1))} given twice"
        )
    return found


def _constant(name: str) -> Any:
    raise ConfigurationError(f"JSON: {name} is not a number")


def _json(raw: bytes) -> Any:
    try:
        return json.loads(raw.decode("utf-8"), object_pairs_hook=_once, parse_constant=_constant)
    except ConfigurationError:
        raise
    except UnicodeDecodeError as wrong:
        raise ConfigurationError(f"not UTF-8 at byte {wrong.start}") from None
    except json.JSONDecodeError as wrong:
        raise ConfigurationError(f"JSON: {wrong}") from None
    except ValueError:
        raise ConfigurationError("JSON: a number of too many digits") from None
    except RecursionError:
        raise ConfigurationError("JSON: nested too deep") from None


def _split(spec: _Part) -> tuple[tuple[str, float], ...]:
    """The services of a route with their weights; `traffic_split` goes before `service_name`."""
    shares = spec.items("traffic_split", ())
    single = spec.text("service_name", "")
    if not shares:
        if not single:
            raise spec.wrong("service_name", "missing, and there is no traffic_split")
        return ((single, 1.0),)
    out = []
    for n, share in enumerate(shares):
        part = _Part(share, spec.place, f"{spec.path}traffic_split[{n}]")
        out.append((part.name("service_name"), part.number("weight")))
    if sum(weight for _, weight in out) <= 0:
        raise spec.wrong("traffic_split", "the weights add up to 0")
    return tuple(out)


def _route(name: str, spec: _Part) -> Route:
    # Only ASCII has small letters in a Host header.
    host = spec.name("host").encode().lower().decode()
    prefix = spec.text("path_prefix")
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise spec.wrong("path_prefix", f"{quote_value(prefix)} doesn't begin and end with a slash")
    kind = spec.text("route_kind")
    if kind not in ("idempotent", "non_idempotent"):
        raise spec.wrong(
            "route_kind", f"{quote_value(kind)} is neither idempotent nor non_idempotent"
        )
    timeout = spec.seconds("timeout")
    if timeout > MAX_TIMEOUT_SECONDS:
        raise spec.wrong("timeout", "over ten minutes")
    # no request could be served in it; the operators' days send it as an invalid one
    if timeout <= 0:
        raise spec.wrong("timeout", "0")
    attempts = spec.whole("maximum_attempts", 1)
    if attempts < 1:
        raise spec.wrong("maximum_attempts", "0")
    return Route(
        name=name,
        host=host,
        path_prefix=prefix,
        idempotent=kind == "idempotent",
        timeout_seconds=timeout,
        target_latency_seconds=spec.seconds("target_latency", timeout),
        priority=spec.whole("priority", 0),
        traffic_split=_split(spec),
        max_attempts=attempts,
        public=spec.flag("public", False),
    )


def _service(name: str, spec: _Part) -> Service:
    path = spec.text("health_check_path", "/health")
    if not path.startswith("/") or " " in path:
        raise spec.wrong("health_check_path", f"{quote_value(path)} is not a path")
    return Service(name, path, spec.whole("connection_limit", DEFAULT_CONNECTION_LIMIT))


def _tenant(name: str, spec: _Part) -> Tenant:
    keys = tuple(
        spec.fit(f"api_keys[{n}]", key) for n, key in enumerate(spec.items("api_keys", ()))
    )
    return Tenant(
        name,
        keys,
        spec.whole("priority", 0),
        spec.number("rate_per_s", 0),
        spec.number("burst_size", 0),
    )


def _limits(spec: _Part) -> ClientLimits:
    usual = ClientLimits()
    return ClientLimits(
        max_header_bytes=spec.whole("max_header_bytes", usual.max_header_bytes),
        max_body_bytes=spec.whole("max_body_bytes", usual.max_body_bytes),
        header_timeout_seconds=spec.seconds("header_timeout", usual.header_timeout_seconds),
        idle_timeout_seconds=spec.seconds("idle_timeout", usual.idle_timeout_seconds),
    )


@dataclass(slots=True, frozen=True)
class _Found:
    """A resource by itself: nothing in it hangs on the others. `limits` has no name."""

    kind: str
    name: str
    item: Route | Service | Tenant | ClientLimits
    single: str = ""  # the service_name of a route, if it has one beside a split too


def _found(at: int, resource: Any) -> _Found | None:
    """What a resource says; None of a kind that nobody here knows."""
    whole = _Part(resource, f"resources[{at}]: ", "")
    kind = whole.text("resource_kind")
    if kind not in ("routes", "services", "tenants", "limits"):
        return None
    if kind == "limits":
        spec = _Part(
            whole.get("specification", _NEEDED), f"resources[{at}] limits: ", "specification"
        )
        return _Found(kind, "", _limits(spec))
    one = kind.removesuffix("s")
    name = _Part(whole.get("metadata", _NEEDED), f"resources[{at}] {one}: ", "metadata").name(
        "name"
    )
    place = f"resources[{at}] {one} {name[:_SHOWN]}: "
    spec = _Part(whole.get("specification", _NEEDED), place, "specification")
    if kind == "routes":
        return _Found(kind, name, _route(name, spec), spec.text("service_name", ""))
    return _Found(kind, name, _service(name, spec) if kind == "services" else _tenant(name, spec))


class _Gathered:
    """The resources read so far, and where each stood."""

    def __init__(self) -> None:
        self.places: dict[tuple[str, str], int] = {}
        self.routes: list[Route] = []
        self.singles: list[str] = []
        self.services: dict[str, Service] = {}
        self.tenants: list[Tenant] = []
        self.limits: ClientLimits | None = None
        self.taken: dict[tuple[str, str], str] = {}
        self.owners: dict[str, str] = {}

    def add(self, at: int, found: _Found) -> None:
        match found.item:
            case ClientLimits() as limits:
                if self.limits is not None:
                    raise ConfigurationError(f"resources[{at}] limits: given twice")
                self.limits = limits
                return
        kind, name = found.kind, found.name
        if (other := self.places.setdefault((kind, name), at)) != at:
            raise self.wrong(found, "metadata.name", f"given at resources[{other}] too", at)
        match found.item:
            case Route() as route:
                self.route(found, route)
            case Service() as service:
                self.services[name] = service
            case Tenant() as tenant:
                self.tenant(found, tenant)

    def wrong(self, found: _Found, key: str, what: str, at: int = -1) -> ConfigurationError:
        at = self.places[found.kind, found.name] if at < 0 else at
        place = f"resources[{at}] {found.kind.removesuffix('s')} {found.name[:_SHOWN]}: "
        return ConfigurationError(f"{place}{key}: {what}")

    def route(self, found: _Found, route: Route) -> None:
        other = self.taken.setdefault((route.host, route.path_prefix), route.name)
        if other != route.name:
            what = f"host and prefix are those of route {other[:_SHOWN]}"
            raise self.wrong(found, "specification.path_prefix", what)
        self.routes.append(route)
        self.singles.append(found.single)

    def tenant(self, found: _Found, tenant: Tenant) -> None:
        for n, key in enumerate(tenant.api_keys):
            other = self.owners.setdefault(key, tenant.name)
            if other != tenant.name:
                what = f"tenant {other[:_SHOWN]} has this key too"
                raise self.wrong(found, f"specification.api_keys[{n}]", what)
        self.tenants.append(tenant)

    def known(self) -> None:
        """Every service that a route names is there; only now, as they stand in any order."""
        for route, single in zip(self.routes, self.singles, strict=True):
            # beside a split too, though that prevails
            named = [("service_name", single)] if single else []
            named += [
                (f"traffic_split[{n}].service_name", s)
                for n, (s, _) in enumerate(route.traffic_split)
            ]
            for key, service in named:
                if service not in self.services:
                    found = _Found("routes", route.name, route)
                    raise self.wrong(
                        found, f"specification.{key}", f"unknown service {quote_value(service)}"
                    )


class ConfigurationReader:
    """Reads one configuration after another. Of thousands of routes a change alters few: what stood
    in the last one, to the byte of its values, isn't read anew.
    """

    __slots__ = ("last",)

    def __init__(self) -> None:
        self.last: dict[bytes, _Found | None] = {}

    def parse(self, raw: bytes) -> Configuration:
        """The configuration in an operator's body. Raises ConfigurationError."""
        whole = _Part(_json(raw), "", "")
        try:
            number = parse_version(whole.text("version"))
        except UnitError as wrong:
            raise whole.wrong("version", str(wrong)) from None
        gathered, read = _Gathered(), dict[bytes, _Found | None]()
        for at, resource in enumerate(whole.items("resources")):
            found = self.found(at, resource, read)
            if found is not None:
                gathered.add(at, found)
        gathered.known()
        self.last = read
        return Configuration(
            version=number,
            routes=tuple(gathered.routes),
            services=MappingProxyType(gathered.services),
            tenants=tuple(gathered.tenants) or None,
            limits=gathered.limits or ClientLimits(),
            raw=bytes(raw),
        )

    def found(self, at: int, resource: Any, read: dict[bytes, _Found | None]) -> _Found | None:
        try:
            # Tells 1, 1.0 and true apart, which are equal; of format 2, which writes values alone.
            mark = marshal.dumps(resource, 2)
        except ValueError:  # nested too deep
            return _found(at, resource)
        known = self.last.get(mark, _NEEDED)
        read[mark] = found = _found(at, resource) if known is _NEEDED else known
        return found


def parse_configuration(raw: bytes) -> Configuration:
    """The configuration in an operator's body, by itself. Raises ConfigurationError."""
    return ConfigurationReader().parse(raw)
