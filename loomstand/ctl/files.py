"""The commands that only read files."""

from __future__ import annotations

import json
from typing import Any

from loomstand.config.configuration import Configuration
from loomstand.config.settings import Settings, SettingsError, parse_settings
from loomstand.config.units import format_address, format_version
from loomstand.ctl.commands import ConfigCheck, ConfigDiff, SettingsCheck
from loomstand.ctl.plain import Wrong, configuration, data, held, many, said, short, time

# What `--json` calls a field of the settings; docs/ctl.md promises these names.
_JSON_NAMES = {
    "listen_addresses": "listen",
    "seed_nodes": "seeds",
    "heartbeat_seconds": "heartbeat",
    "tolerated_losses": "losses",
}


def settings_check(asked: SettingsCheck) -> int:
    try:
        settings = parse_settings(held(asked.file).decode("utf-8"))
    except UnicodeDecodeError as why:
        raise Wrong(f"{asked.file}: not UTF-8 at byte {why.start}") from None
    except SettingsError as why:
        raise Wrong(f"{asked.file}: {why}") from None
    if asked.json:
        print(json.dumps(_settings_data(settings), indent=2))
    else:
        for line in _settings(settings):
            print(said(line))
    return 0


def _settings_data(settings: Settings) -> dict[str, Any]:
    """The settings as JSON has them: times in seconds, bounds by their keys in the file."""
    out = {_JSON_NAMES.get(name, name): value for name, value in data(settings).items()}
    out["bounds"] = {n.removesuffix("_seconds"): value for n, value in out["bounds"].items()}
    return out


def _settings(told: Settings) -> list[str]:
    limits, listen, bounds = told.limits, told.listen_addresses, told.bounds
    listens = [(n, a) for n in type(listen).__slots__ if (a := getattr(listen, n)) is not None]
    figures = ((n, getattr(bounds, n)) for n in type(bounds).__slots__)
    words = [f"{n.removesuffix('_seconds')} {_figure(n, v)}" for n, v in figures]
    lines = [
        f"{told.node_name}: role {told.role}, on a machine of class {told.machine_class}",
        f"at {told.ip_address} in zone {told.zone}, region {told.region}; "
        + ("its loss counts" if told.loss_counted else "its loss does not count"),
        f"serves {', '.join(told.serves) or 'nothing outside'}",
        *(f"listens at {format_address(a)} for {n}" for n, a in listens),
        f"system's own calls: registry {format_address(told.registry_address(told.ip_address))}, "
        f"store {format_address(told.store_address(told.ip_address))}",
        f"seeds: {', '.join(map(format_address, told.seed_nodes))}",
        "zones: "
        f"{', '.join(f'{zone} ({region})' for zone, region in told.zones.items()) or 'none named'}",
        f"first start: {'yes' if told.first_start else 'no'}; data in "
        f"{told.data_directory or 'memory only'}",
        f"may use {short(limits.cpu_share)} of a core of {short(limits.cpu_cores)}, "
        f"{limits.memory_mb} MB, {limits.file_descriptors} descriptors, "
        f"{short(limits.link_mbps)} Mbit/s, {limits.disk_mb} MB of disk",
        f"heartbeats every {time(told.heartbeat_seconds)}; contracts: "
        f"{', '.join(told.contracts) or 'none'}",
        f"bears the loss of {many(told.tolerated_losses.machines, 'machine')}, "
        f"{many(told.tolerated_losses.zones, 'zone')}, "
        f"{many(told.tolerated_losses.regions, 'region')}",
        "bounds:",
    ]
    return lines + ["  " + ", ".join(words[n : n + 3]) for n in range(0, len(words), 3)]


def _figure(name: str, value: Any) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    return time(value) if name.endswith("_seconds") else short(value)


def _counts(found: Configuration) -> dict[str, Any]:
    tenants = len(found.tenants or ())
    return {
        "version": format_version(found.version),
        "routes": len(found.routes),
        "services": len(found.services),
        "tenants": tenants,
    }


def config_check(asked: ConfigCheck) -> int:
    from loomstand.ctl.advice import advice

    raw = held(asked.file)
    try:
        found = configuration(asked.file, raw, 1)
    except Wrong as why:
        if not asked.json:
            raise
        error = str(why).removeprefix(f"{asked.file}: invalid: ")
        print(json.dumps({"valid": False, "error": error}, indent=2))
        return 1
    warnings = advice(found)
    if asked.json:
        print(json.dumps({"valid": True, **_counts(found), "warnings": data(warnings)}, indent=2))
        return 0
    told = _counts(found)
    parts = ", ".join(
        many(told[kind], kind.removesuffix("s")) for kind in ("routes", "services", "tenants")
    )
    print(f"valid: {told['version']}, {parts}; {many(len(warnings), 'warning')}")
    for warning in warnings:
        print(f"{warning.place}: {warning.what}\n    mend: {warning.mend}")
    return 0


def config_diff(asked: ConfigDiff) -> int:
    from loomstand.ctl.compare import difference, lines

    if asked.old == asked.new == "-":
        raise Wrong("standard input can't be both files")
    old, new = (configuration(path, held(path)) for path in (asked.old, asked.new))
    found = difference(old, new)
    vain = found.any() and not found.prevails
    if asked.json:
        print(json.dumps({**data(found), "differ": found.any()}, indent=2))
    else:
        for line in lines(found):
            print(line)
        if vain:
            print(f"{found.new} is not higher than {found.old}: pushed, it would change nothing")
    return 1 if vain else 0
