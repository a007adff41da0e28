"""What differs between two configurations, with keys counted and never shown. Pure."""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import Any

from loomstand.config.configuration import ClientLimits, Configuration, Route, Service, Tenant
from loomstand.config.units import format_version
from loomstand.ctl.masks import masked
from loomstand.ctl.plain import short, time

Item = Route | Service | Tenant | ClientLimits
# What the configuration itself calls a field.
_NAMES = {
    "idempotent": "route_kind",
    "max_attempts": "maximum_attempts",
    "rate_per_second": "rate_per_s",
    "timeout_seconds": "timeout",
    "target_latency_seconds": "target_latency",
    "header_timeout_seconds": "header_timeout",
    "idle_timeout_seconds": "idle_timeout",
}


@dataclass(slots=True, frozen=True)
class Part:
    """Names of one kind of resource; `changed` has what each field was and is, in words."""

    added: list[str]
    removed: list[str]
    changed: dict[str, dict[str, list[Any]]]
    same: int


@dataclass(slots=True, frozen=True)
class Difference:
    """`prevails`: the new one's version is the higher. `keys` says if requests begin or cease to
    need one.
    """

    old: str
    new: str
    prevails: bool
    keys: str
    routes: Part
    services: Part
    tenants: Part
    limits: dict[str, list[Any]]

    def any(self) -> bool:
        parts = (self.routes, self.services, self.tenants)
        return bool(self.limits) or any(p.added or p.removed or p.changed for p in parts)


def difference(old: Configuration, new: Configuration) -> Difference:
    keys = ""
    if (old.tenants is None) != (new.tenants is None):
        keys = (
            "no request needs a key any more"
            if new.tenants is None
            else "requests need a key from now on"
        )
    return Difference(
        format_version(old.version),
        format_version(new.version),
        new.version > old.version,
        keys,
        _part({r.name: r for r in old.routes}, {r.name: r for r in new.routes}),
        _part(dict(old.services), dict(new.services)),
        _part({t.name: t for t in old.tenants or ()}, {t.name: t for t in new.tenants or ()}),
        _changes(old.limits, new.limits),
    )


def _part(old: dict[str, Any], new: dict[str, Any]) -> Part:
    changed = {n: found for n in new if n in old and (found := _changes(old[n], new[n]))}
    added, removed = [n for n in new if n not in old], [n for n in old if n not in new]
    return Part(added, removed, changed, len(new) - len(added) - len(changed))


def _changes(old: Item, new: Item) -> dict[str, list[Any]]:
    out: dict[str, list[Any]] = {}
    for field in fields(old):
        was, now = getattr(old, field.name), getattr(new, field.name)
        if field.name == "api_keys":
            told = _keys(set(was), set(now))
        else:
            told = [_words(field.name, was), _words(field.name, now)]
        if told and told[0] != told[1]:
            out[_NAMES.get(field.name, field.name)] = told
    return out


def _keys(was: set[str], now: set[str]) -> list[Any]:
    """What came and went. Masked keys can't be told apart: of them only the number says
    something.
    """
    if any(map(masked, was | now)):
        return [f"{len(was)}", f"{len(now)}"] if len(was) != len(now) else []
    return (
        [f"{len(was)}", f"{len(now)}: {len(now - was)} new, {len(was - now)} gone"]
        if was != now
        else []
    )


def _split(split: tuple[tuple[str, float], ...]) -> str:
    """Services with their weights, the same for whatever order they stand in."""
    if len(split) == 1:
        return split[0][0]
    sums: dict[str, float] = {}
    for service, weight in split:
        sums[service] = sums.get(service, 0) + weight
    return ", ".join(f"{service} {short(weight)}" for service, weight in sorted(sums.items()))


def _words(name: str, value: Any) -> str:
    if name == "traffic_split":
        return _split(value)
    if name == "idempotent":
        return "idempotent" if value else "non_idempotent"
    if name.endswith("_seconds"):
        return time(value)
    if isinstance(value, bool):
        return str(value).lower()
    return short(value) if isinstance(value, float) else str(value)


def lines(found: Difference) -> list[str]:
    """The difference as text."""
    out = [f"{found.old} -> {found.new}"]
    for kind in ("routes", "services", "tenants"):
        part: Part = getattr(found, kind)
        counts = [
            (len(part.added), "added"),
            (len(part.removed), "removed"),
            (len(part.changed), "changed"),
        ]
        out.append(
            f"{kind}: "
            + ", ".join(f"{n} {what}" for n, what in [*counts, (part.same, "as before")])
        )
        out += [f"  + {name}" for name in part.added]
        out += [f"  - {name}" for name in part.removed]
        for name, changes in part.changed.items():
            out.append(f"  ~ {name}")
            out += [f"      {field}: {was} -> {now}" for field, (was, now) in changes.items()]
    out += [f"limits: {field}: {was} -> {now}" for field, (was, now) in found.limits.items()]
    return [*out, *([found.keys] if found.keys else [])]
