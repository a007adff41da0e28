"""Reads and validates the settings file.

A program reads the file at its start, at SIGHUP and when the file changes, and keeps its current
settings if the new ones are invalid (`rpc/start.py`). `read_settings` reads from disk.
"""

from __future__ import annotations

from types import MappingProxyType

from loomstand.config.settings.errors import SettingsError
from loomstand.config.settings.fields import SettingsFields
from loomstand.config.settings.model import (
    ListenAddresses,
    PortRange,
    ProcessLimits,
    RuleBounds,
    Settings,
    ToleratedLosses,
)
from loomstand.config.units import (
    Address,
    UnitError,
    parse_address,
    parse_flag,
    parse_ipv4,
    parse_list,
    parse_non_empty,
    parse_port,
    parse_seconds,
    quote_value,
)

DEFAULT_HEARTBEAT_SECONDS = 1.5
"""Time between two heartbeats of a server, as in the example in DEPLOY.md."""

_LISTEN_PREFIX = "network.listen_addresses."
# The addresses that a role must have for each service that it offers externally.
_ADDRESSES_BY_SERVICE = {
    "frontend": ("frontend", "readiness"),
    "control_plane": ("control_plane",),
}
_PORTS_IN_RANGE = 2  # the first and the last


def read_settings(path: str) -> Settings:
    """Reads the settings in the file at `path`.

    Raises:
        SettingsError: The file can't be read, or its settings are invalid.
    """
    try:
        # not pathlib, which would change the path in the error message
        with open(path, encoding="utf-8") as file:  # noqa: PTH123
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: can't be read ({error})") from None
    return parse_settings(text)


def parse_settings(text: str) -> Settings:
    """Parses the text of a settings file.

    Raises:
        SettingsError: A field is missing, given twice or invalid.
    """
    fields = SettingsFields(text)
    serves = fields.get("self.serves", parse_list, ())
    listen_addresses = _parse_listen_addresses(fields, serves)
    return Settings(
        node_name=fields.require("self.node_name", parse_non_empty),
        role=fields.require("self.role", parse_non_empty),
        machine_class=fields.require("self.machine_class", parse_non_empty),
        serves=serves,
        ip_address=fields.require("self.ip_address", parse_ipv4),
        zone=fields.require("self.zone", parse_non_empty),
        region=fields.require("self.region", parse_non_empty),
        loss_counted=fields.require("self.loss_counted", parse_flag),
        first_start=fields.require("self.first_start", parse_flag),
        data_directory=fields.get("self.data_directory", str, ""),
        limits=fields.get_table("self.limits.", ProcessLimits),
        listen_addresses=listen_addresses,
        internal_ports=fields.require("network.internal_ports", _parse_port_range),
        seed_nodes=fields.require("network.seed_nodes", _parse_addresses),
        zones=MappingProxyType(fields.get_by_name("network.zones.")),
        heartbeat_seconds=fields.get(
            "platform_settings.heartbeat", parse_seconds, DEFAULT_HEARTBEAT_SECONDS
        ),
        contracts=fields.get("rule_terms.contracts", parse_list, ()),
        tolerated_losses=fields.get_table("rule_terms.tolerated_losses.", ToleratedLosses),
        bounds=fields.get_table("rule_terms.bounds.", RuleBounds),
    )


def _parse_listen_addresses(fields: SettingsFields, serves: tuple[str, ...]) -> ListenAddresses:
    """Parses the addresses; those of the services that the role offers are required."""
    addresses = {
        name: fields.get(_LISTEN_PREFIX + name, parse_address, None)
        for name in ("frontend", "readiness", "control_plane")
    }
    for service in serves:
        for name in _ADDRESSES_BY_SERVICE.get(service, ()):
            if addresses[name] is None:
                raise SettingsError(
                    f"{_LISTEN_PREFIX}{name}: missing, and self.serves has {service}"
                )
    return ListenAddresses(**addresses)


def _parse_port_range(text: str) -> PortRange:
    """Parses a range such as `7340,7355`: at least two ports, for the registry and the store."""
    ports = parse_list(text)
    if len(ports) != _PORTS_IN_RANGE:
        raise UnitError(f"{quote_value(text)} is not a first and a last port")
    first = parse_port(ports[0])
    last = parse_port(ports[1])
    if last <= first:
        raise UnitError(f"{quote_value(text)} leaves fewer than two ports")
    return PortRange(first, last)


def _parse_addresses(text: str) -> tuple[Address, ...]:
    """Parses a non-empty list of addresses."""
    return tuple(parse_address(item) for item in parse_list(parse_non_empty(text)))
