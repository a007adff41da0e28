"""Differences between two configurations. API keys are counted and never shown. Pure."""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import Any

from loomstand.config.configuration import ClientLimits, Configuration, Route, Service, Tenant
from loomstand.config.units import format_version
from loomstand.ctl.common import format_number, format_seconds
from loomstand.ctl.masks import is_masked

Resource = Route | Service | Tenant | ClientLimits

# Names of fields in the configuration file, where these differ from those in the code.
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
        same: Number of resources that are equal in both.
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
        prevails: Whether the new version is higher than the old one.
        keys: A sentence if only one of the configurations requires API keys, else empty.
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


def _field_changes(old: Resource, new: Resource) -> dict[str, list[Any]]:
    """Returns, by field in the file, the old and the new value as text if they differ."""
    changes: dict[str, list[Any]] = {}
    for field in fields(old):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if field.name == "api_keys":
            texts = _key_changes(set(before), set(after))
        else:
            texts = [_format_value(field.name, before), _format_value(field.name, after)]
        if texts and texts[0] != texts[1]:
            changes[_FILE_NAMES.get(field.name, field.name)] = texts
    return changes


def _key_changes(before: set[str], after: set[str]) -> list[Any]:
    """Returns the old and the new number of keys as text; an empty list if the keys are the same.

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
    """Formats the services with their weights, independently of the order of the entries."""
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


def format_difference(changes: Difference) -> list[str]:
    """Returns the difference as lines of text."""
    lines = [f"{changes.old} -> {changes.new}"]
    for kind in ("routes", "services", "tenants"):
        resources: ResourceChanges = getattr(changes, kind)
        counts = [
            (len(resources.added), "added"),
            (len(resources.removed), "removed"),
            (len(resources.changed), "changed"),
        ]
        counts.append((resources.same, "as before"))
        lines.append(f"{kind}: " + ", ".join(f"{count} {label}" for count, label in counts))
        lines += [f"  + {name}" for name in resources.added]
        lines += [f"  - {name}" for name in resources.removed]
        for name, fields_changed in resources.changed.items():
            lines.append(f"  ~ {name}")
            lines += [
                f"      {field}: {before} -> {after}"
                for field, (before, after) in fields_changed.items()
            ]
    lines += [
        f"limits: {field}: {before} -> {after}" for field, (before, after) in changes.limits.items()
    ]
    return [*lines, *([changes.keys] if changes.keys else [])]
