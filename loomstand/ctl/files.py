"""The commands that only read files: `settings check`, `config check` and `config diff`."""

from __future__ import annotations

import json
from typing import Any

from loomstand.config.configuration import Configuration
from loomstand.config.settings import Settings, SettingsError, parse_settings
from loomstand.config.units import format_address, format_version
from loomstand.ctl.commands import ConfigCheck, ConfigDiff, SettingsCheck
from loomstand.ctl.common import (
    CommandError,
    check_configuration,
    format_number,
    format_seconds,
    pluralize,
    read_input,
    single_line,
    to_json_data,
)

# Keys in the output of `--json`, where these differ from the fields of `Settings` (docs/ctl.md).
_JSON_NAMES = {
    "listen_addresses": "listen",
    "seed_nodes": "seeds",
    "heartbeat_seconds": "heartbeat",
    "tolerated_losses": "losses",
}
_BOUNDS_PER_LINE = 3


def settings_check(command: SettingsCheck) -> int:
    """Runs `settings check`; returns the exit code."""
    try:
        settings = parse_settings(read_input(command.file).decode("utf-8"))
    except UnicodeDecodeError as error:
        raise CommandError(f"{command.file}: not UTF-8 at byte {error.start}") from None
    except SettingsError as error:
        raise CommandError(f"{command.file}: {error}") from None
    if command.json:
        print(json.dumps(_settings_json(settings), indent=2))
    else:
        for line in _format_settings(settings):
            print(single_line(line))
    return 0


def _settings_json(settings: Settings) -> dict[str, Any]:
    """Returns the settings for JSON: times in seconds, bounds by their keys in the file."""
    data = {_JSON_NAMES.get(name, name): value for name, value in to_json_data(settings).items()}
    bounds = data["bounds"]
    data["bounds"] = {name.removesuffix("_seconds"): value for name, value in bounds.items()}
    return data


def _format_settings(settings: Settings) -> list[str]:
    """Returns the settings as lines of text."""
    limits, listen, bounds = settings.limits, settings.listen_addresses, settings.bounds
    listeners = [
        (name, address)
        for name in type(listen).__slots__
        if (address := getattr(listen, name)) is not None
    ]
    bound_values = ((name, getattr(bounds, name)) for name in type(bounds).__slots__)
    bound_texts = [
        f"{name.removesuffix('_seconds')} {_format_bound(name, value)}"
        for name, value in bound_values
    ]
    lines = [
        f"{settings.node_name}: role {settings.role}, "
        f"on a machine of class {settings.machine_class}",
        f"at {settings.ip_address} in zone {settings.zone}, region {settings.region}; "
        + ("its loss is counted" if settings.loss_counted else "its loss is not counted"),
        f"serves {', '.join(settings.serves) or 'no external interface'}",
        *(f"listens at {format_address(address)} for {name}" for name, address in listeners),
        "internal calls: "
        f"registry {format_address(settings.registry_address(settings.ip_address))}, "
        f"store {format_address(settings.store_address(settings.ip_address))}",
        f"seeds: {', '.join(map(format_address, settings.seed_nodes))}",
        "zones: "
        + (
            ", ".join(f"{zone} ({region})" for zone, region in settings.zones.items())
            or "none configured"
        ),
        f"first start: {'yes' if settings.first_start else 'no'}; data in "
        f"{settings.data_directory or 'memory only'}",
        f"may use {format_number(limits.cpu_share)} of a core of "
        f"{format_number(limits.cpu_cores)}, "
        f"{limits.memory_mb} MB, {limits.file_descriptors} descriptors, "
        f"{format_number(limits.link_mbps)} Mbit/s, {limits.disk_mb} MB of disk",
        f"heartbeats every {format_seconds(settings.heartbeat_seconds)}; contracts: "
        f"{', '.join(settings.contracts) or 'none'}",
        f"tolerates the loss of {pluralize(settings.tolerated_losses.machines, 'machine')}, "
        f"{pluralize(settings.tolerated_losses.zones, 'zone')}, "
        f"{pluralize(settings.tolerated_losses.regions, 'region')}",
        "bounds:",
    ]
    return lines + [
        "  " + ", ".join(bound_texts[start : start + _BOUNDS_PER_LINE])
        for start in range(0, len(bound_texts), _BOUNDS_PER_LINE)
    ]


def _format_bound(name: str, value: Any) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    return format_seconds(value) if name.endswith("_seconds") else format_number(value)


def _summary(config: Configuration) -> dict[str, Any]:
    """Returns the version and the number of resources of each kind."""
    tenants = len(config.tenants or ())
    return {
        "version": format_version(config.version),
        "routes": len(config.routes),
        "services": len(config.services),
        "tenants": tenants,
    }


def config_check(command: ConfigCheck) -> int:
    """Runs `config check`; returns the exit code."""
    from loomstand.ctl.advice import find_warnings

    raw = read_input(command.file)
    try:
        config = check_configuration(command.file, raw, 1)
    except CommandError as error:
        if not command.json:
            raise
        reason = str(error).removeprefix(f"{command.file}: invalid: ")
        print(json.dumps({"valid": False, "error": reason}, indent=2))
        return 1
    warnings = find_warnings(config)
    if command.json:
        print(
            json.dumps(
                {"valid": True, **_summary(config), "warnings": to_json_data(warnings)}, indent=2
            )
        )
        return 0
    summary = _summary(config)
    counts = ", ".join(
        pluralize(summary[kind], kind.removesuffix("s"))
        for kind in ("routes", "services", "tenants")
    )
    print(f"valid: {summary['version']}, {counts}; {pluralize(len(warnings), 'warning')}")
    for warning in warnings:
        print(f"{warning.place}: {warning.what}\n    remedy: {warning.mend}")
    return 0


def config_diff(command: ConfigDiff) -> int:
    """Runs `config diff`; returns the exit code."""
    from loomstand.ctl.compare import difference, format_difference

    if command.old == command.new == "-":
        raise CommandError("standard input can't be both files")
    old, new = (check_configuration(path, read_input(path)) for path in (command.old, command.new))
    changes = difference(old, new)
    is_ineffective = changes.has_changes() and not changes.prevails
    if command.json:
        print(json.dumps({**to_json_data(changes), "differ": changes.has_changes()}, indent=2))
    else:
        for line in format_difference(changes):
            print(line)
        if is_ineffective:
            print(
                f"{changes.new} is not higher than {changes.old}: pushing it would change nothing"
            )
    return 1 if is_ineffective else 0
