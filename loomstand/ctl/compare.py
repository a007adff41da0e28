"""Differences between two configurations. API keys are counted and never shown.

Pure functions without input or output.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import Any

from loomstand.config.configuration import ClientLimits, Configuration, Route, Service, Tenant
from loomstand.config.units import format_version
from loomstand.ctl.common import format_number, format_seconds
from loomstand.ctl.masks import is_masked

Item = Route | Service | Tenant | ClientLimits
# Names of fields in the configuration file where they differ from those in the code.
_FILE_NAMES = {
    "idempotent": "route_kind",
    "max_attempts": "maximum_attempts",
    "rate_per_second": "rate_per_s",
    "timeout_seconds": "timeout",
    "target_latency_seconds": "target_latency",
    "header_timeout_seconds": "header_timeout",
    "idle_timeout_seconds": "idle_timeout",
}


@dataclass(slots=True, frozen=True)
class ResourceChanges:
    """Changes to the resources of one kind. The field names are printed as JSON keys.

    Attributes:
        added: Names that only the new configuration has.
        removed: Names that only the old configuration has.
        changed: By name and by field, the old and the new value as text.
        same: How many resources are equal.
    """

    added: list[str]
    removed: list[str]
    changed: dict[str, dict[str, list[Any]]]
    same: int


@dataclass(slots=True, frozen=True)
class Difference:
    """Differences of a new configuration from an old one. The field names are printed as JSON keys.

    Attributes:
        old: The old version.
        new: The new version.
        prevails: Whether the new version is the higher one.
        keys: A sentence if requests begin or cease to need an API key, else empty.
        routes: Changes to routes.
        services: Changes to services.
        tenants: Changes to tenants.
        limits: By field, the old and the new value of the limits as text.
    """

    old: str
    new: str
    prevails: bool
    keys: str
    routes: ResourceChanges
    services: ResourceChanges
    tenants: ResourceChanges
    limits: dict[str, list[Any]]

    def has_changes(self) -> bool:
        """Whether any resource or limit differs."""
        kinds = (self.routes, self.services, self.tenants)
        return bool(self.limits) or any(
            kind.added or kind.removed or kind.changed for kind in kinds
        )


def difference(old: Configuration, new: Configuration) -> Difference:
    """Compares two valid configurations."""
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
        _resource_changes({r.name: r for r in old.routes}, {r.name: r for r in new.routes}),
        _resource_changes(dict(old.services), dict(new.services)),
        _resource_changes(
            {t.name: t for t in old.tenants or ()}, {t.name: t for t in new.tenants or ()}
        ),
        _field_changes(old.limits, new.limits),
    )


def _resource_changes(old: dict[str, Any], new: dict[str, Any]) -> ResourceChanges:
    changed = {
        name: changes
        for name in new
        if name in old and (changes := _field_changes(old[name], new[name]))
    }
    added, removed = (
        [name for name in new if name not in old],
        [name for name in old if name not in new],
    )
    return ResourceChanges(added, removed, changed, len(new) - len(added) - len(changed))


def _field_changes(old: Item, new: Item) -> dict[str, list[Any]]:
    out: dict[str, list[Any]] = {}
    for field in fields(old):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if field.name == "api_keys":
            texts = _key_changes(set(before), set(after))
        else:
            texts = [_format_value(field.name, before), _format_value(field.name, after)]
        if texts and texts[0] != texts[1]:
            out[_FILE_NAMES.get(field.name, field.name)] = texts
    return out


def _key_changes(before: set[str], after: set[str]) -> list[Any]:
    """Returns how many keys there were and are, or nothing if they are the same.

    A mask doesn't identify its key, so masked keys are compared by their number alone.
    """
    if any(map(is_masked, before | after)):
        return [f"{len(before)}", f"{len(after)}"] if len(before) != len(after) else []
    return (
        [
            f"{len(before)}",
            f"{len(after)}: {len(after - before)} new, {len(before - after)} gone",
        ]
        if before != after
        else []
    )


def _format_split(split: tuple[tuple[str, float], ...]) -> str:
    """Formats the services with their weights, independent of the order of the entries."""
    if len(split) == 1:
        return split[0][0]
    weights: dict[str, float] = {}
    for service, weight in split:
        weights[service] = weights.get(service, 0) + weight
    return ", ".join(
        f"{service} {format_number(weight)}" for service, weight in sorted(weights.items())
    )


def _format_value(field_name: str, value: Any) -> str:
    if field_name == "traffic_split":
        return _format_split(value)
    if field_name == "idempotent":
        return "idempotent" if value else "non_idempotent"
    if field_name.endswith("_seconds"):
        return format_seconds(value)
    if isinstance(value, bool):
        return str(value).lower()
    return format_number(value) if isinstance(value, float) else str(value)


def format_difference(found: Difference) -> list[str]:
    """Returns the difference as lines of text."""
    out = [f"{found.old} -> {found.new}"]
    for kind in ("routes", "services", "tenants"):
        resources: ResourceChanges = getattr(found, kind)
        counts = [
            (len(resources.added), "added"),
            (len(resources.removed), "removed"),
            (len(resources.changed), "changed"),
        ]
        out.append(
            f"{kind}: "
            + ", ".join(f"{n} {label}" for n, label in [*counts, (resources.same, "as before")])
        )
        out += [f"  + {name}" for name in resources.added]
        out += [f"  - {name}" for name in resources.removed]
        for name, changes in resources.changed.items():
            out.append(f"  ~ {name}")
            out += [
                f"      {field}: {before} -> {after}" for field, (before, after) in changes.items()
            ]
    out += [
        f"limits: {field}: {before} -> {after}" for field, (before, after) in found.limits.items()
    ]
    return [*out, *([found.keys] if found.keys else [])]
