"""What a process is told: the settings file, read and checked by hand.

The file has lines `a.b=value`; commas join lists. Fields that nobody here knows are skipped, as the
file may gain some. What a program can't do without is needed; the rest has the value of the example
in DEPLOY.md. The file is read again at SIGHUP and when its contents change: its reader then keeps
the old settings if the new ones fail.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from math import isfinite
from types import MappingProxyType
from typing import Any, Final, TypeVar

from loomstand.config.units import (
    Address,
    UnitError,
    parse_address,
    parse_ipv4,
    parse_port,
    parse_seconds,
    quote_value,
)

T = TypeVar("T")
_NEEDED: Final[Any] = object()
_ZONES = "network.zones."
_LISTEN = "network.listen_addresses."
_BOUNDS = "rule_terms.bounds."
_LOSSES = "rule_terms.tolerated_losses."
# What a role that serves something from outside must have an address for.
_ADDRESSES_OF = {"frontend": ("frontend", "readiness"), "control_plane": ("control_plane",)}


class SettingsError(ValueError):
    """Settings that can't be used: one line that begins with the key, as in `network.seed_nodes:
    missing`.
    """


@dataclass(slots=True, frozen=True)
class ProcessLimits:
    """What the process may use: `cpu_share` of a core that is `cpu_cores` times as fast; megabytes;
    descriptors, 200 of them reserved; megabits a second.
    """

    cpu_share: float
    cpu_cores: float
    memory_mb: int
    file_descriptors: int
    link_mbps: float
    disk_mb: int


@dataclass(slots=True, frozen=True)
class ListenAddresses:
    """Where calls from outside are taken, for what this role serves."""

    frontend: Address | None
    readiness: Address | None
    control_plane: Address | None


@dataclass(slots=True, frozen=True)
class ToleratedLosses:
    """What may be lost at once with all rules kept."""

    machines: int
    zones: int
    regions: int


@dataclass(slots=True, frozen=True)
class RuleBounds:
    """The figures of the rules: times in seconds, the rest plain numbers, true or false."""

    seed_lag_seconds: float
    address_reuse_seconds: float
    contact_seconds: float
    acknowledge_seconds: float
    catch_up_seconds: float
    drain_seconds: float
    grace_period_seconds: float
    loss_slack_seconds: float
    configuration_apply_seconds: float
    rollback_slack_seconds: float
    stretch_limit_seconds: float
    revocation_global: bool
    revocation_seconds: float
    retry_budget_ratio: float
    budget_window_seconds: float
    budget_slack: float
    quota_window_seconds: float
    quota_overshoot: float
    quota_slack: float
    recovery_seconds: float


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings that the programs use. `internal_ports` are the first and the last; `heartbeat`
    is in seconds; `data_directory` is empty where there is no disk; `serves` is empty for a role
    that only the system's own call.
    """

    node_name: str
    role: str
    machine_class: str
    serves: tuple[str, ...]
    ip_address: str
    zone: str
    region: str
    loss_counted: bool
    first_start: bool
    data_directory: str
    limits: ProcessLimits
    listen_addresses: ListenAddresses
    internal_ports: tuple[int, int]
    seed_nodes: tuple[Address, ...]
    zones: Mapping[str, str]
    heartbeat_seconds: float
    contracts: tuple[str, ...]
    tolerated_losses: ToleratedLosses
    bounds: RuleBounds

    def registry_address(self, ip: str) -> Address:
        """Where the registry of the machine with this IP number listens for the system's own."""
        return ip, self.internal_ports[0]

    def store_address(self, ip: str) -> Address:
        """Where the store of the machine with this IP number listens."""
        return ip, self.internal_ports[0] + 1


class _Fields:
    """The lines of a file by key, each read as its field wants it."""

    def __init__(self, text: str) -> None:
        self.lines: dict[str, str] = {}
        self.twice: set[str] = set()
        for at, line in enumerate(text.split("\n"), 1):
            line = line.strip()
            if not line or line.startswith("#"):
                continue
            key, equals, value = line.partition("=")
            key = key.strip()
            if not equals or not key:
                raise SettingsError(f"line {at}: {quote_value(line)} is not of the form a.b=value")
            if key in self.lines:
                self.twice.add(key)
            self.lines[key] = value.strip()

    def get(self, key: str, read: Callable[[str], T], default: T = _NEEDED) -> T:
        """The field read by `read`, or its default; only a needed one raises when it is missing."""
        if key in self.twice:
            raise SettingsError(f"{key}: given twice")
        text = self.lines.get(key)
        if text is None:
            if default is _NEEDED:
                raise SettingsError(f"{key}: missing")
            return default
        try:
            return read(text)
        except UnitError as wrong:
            raise SettingsError(f"{key}: {wrong}") from None

    def under(self, prefix: str) -> dict[str, str]:
        """The fields of a table whose keys are names."""
        keys = [key for key in self.lines if key.startswith(prefix)]
        return {key[len(prefix) :]: self.get(key, _word) for key in keys}


def _word(text: str) -> str:
    if not text:
        raise UnitError("empty")
    return text


def _flag(text: str) -> bool:
    if text not in ("true", "false"):
        raise UnitError(f"{quote_value(text)} is neither true nor false")
    return text == "true"


def _number(text: str) -> float:
    try:
        value = float(text) if text.isascii() and "_" not in text else -1.0
    except ValueError:
        value = -1.0
    if not (isfinite(value) and value >= 0):
        raise UnitError(f"{quote_value(text)} is not a number of 0 or more")
    return value


def _whole(text: str) -> int:
    value = _number(text)
    if value != int(value):
        raise UnitError(f"{quote_value(text)} is not a whole number")
    return int(value)


def _items(text: str) -> tuple[str, ...]:
    items = tuple(item.strip() for item in text.split(",")) if text else ()
    if not all(items):
        raise UnitError(f"{quote_value(text)} has an empty item")
    return items


def _ports(text: str) -> tuple[int, int]:
    items = _items(text)
    if len(items) != 2:
        raise UnitError(f"{quote_value(text)} is not a first and a last port")
    first, last = parse_port(items[0]), parse_port(items[1])
    if last <= first:  # the registry takes the first, the store the next
        raise UnitError(f"{quote_value(text)} leaves fewer than two ports")
    return first, last


def _seeds(text: str) -> tuple[Address, ...]:
    return tuple(parse_address(item) for item in _items(_word(text)))


def parse_settings(text: str) -> Settings:
    """The settings in a file's text. Raises SettingsError."""
    fields = _Fields(text)
    get = fields.get

    def bound(name: str, read: Callable[[str], T], default: T) -> T:
        return get(_BOUNDS + name, read, default)

    serves = get("self.serves", _items, ())
    listens = {name: get(_LISTEN + name, parse_address, None) for name in ListenAddresses.__slots__}
    for what in serves:
        for name in _ADDRESSES_OF.get(what, ()):
            if listens[name] is None:
                raise SettingsError(f"{_LISTEN}{name}: missing, and self.serves has {what}")

    return Settings(
        node_name=get("self.node_name", _word),
        role=get("self.role", _word),
        machine_class=get("self.machine_class", _word),
        serves=serves,
        ip_address=get("self.ip_address", parse_ipv4),
        zone=get("self.zone", _word),
        region=get("self.region", _word),
        loss_counted=get("self.loss_counted", _flag),
        first_start=get("self.first_start", _flag),
        data_directory=get("self.data_directory", str, ""),
        limits=ProcessLimits(
            cpu_share=get("self.limits.cpu_share", _number, 0.86),
            cpu_cores=get("self.limits.cpu_cores", _number, 1.0),
            memory_mb=get("self.limits.memory_mb", _whole, 300),
            file_descriptors=get("self.limits.file_descriptors", _whole, 4100),
            link_mbps=get("self.limits.link_mbps", _number, 1000.0),
            disk_mb=get("self.limits.disk_mb", _whole, 0),
        ),
        listen_addresses=ListenAddresses(**listens),
        internal_ports=get("network.internal_ports", _ports),
        seed_nodes=get("network.seed_nodes", _seeds),
        zones=MappingProxyType(fields.under(_ZONES)),
        heartbeat_seconds=get("platform_settings.heartbeat", parse_seconds, 1.5),
        contracts=get("rule_terms.contracts", _items, ()),
        tolerated_losses=ToleratedLosses(
            machines=get(_LOSSES + "machines", _whole, 1),
            zones=get(_LOSSES + "zones", _whole, 0),
            regions=get(_LOSSES + "regions", _whole, 0),
        ),
        bounds=RuleBounds(
            seed_lag_seconds=bound("seed_lag", parse_seconds, 3.0),
            address_reuse_seconds=bound("address_reuse", parse_seconds, 2.0),
            contact_seconds=bound("contact", parse_seconds, 3.0),
            acknowledge_seconds=bound("acknowledge", parse_seconds, 5.0),
            catch_up_seconds=bound("catch_up", parse_seconds, 4.0),
            drain_seconds=bound("drain", parse_seconds, 2.5),
            grace_period_seconds=bound("grace_period", parse_seconds, 6.0),
            loss_slack_seconds=bound("loss_slack", parse_seconds, 0.2),
            configuration_apply_seconds=bound("configuration_apply", parse_seconds, 2.5),
            rollback_slack_seconds=bound("rollback_slack", parse_seconds, 0.25),
            stretch_limit_seconds=bound("stretch_limit", parse_seconds, 8.0),
            revocation_global=bound("revocation_global", _flag, False),
            revocation_seconds=bound("revocation", parse_seconds, 5.0),
            retry_budget_ratio=bound("retry_budget_ratio", _number, 0.2),
            budget_window_seconds=bound("budget_window", parse_seconds, 10.0),
            budget_slack=bound("budget_slack", _number, 56.0),
            quota_window_seconds=bound("quota_window", parse_seconds, 5.0),
            quota_overshoot=bound("quota_overshoot", _number, 0.1),
            quota_slack=bound("quota_slack", _number, 20.0),
            recovery_seconds=bound("recovery", parse_seconds, 15.0),
        ),
    )


def read_settings(path: str) -> Settings:
    """The settings in the file at `path`. Raises SettingsError, also when it can't be read."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as wrong:
        raise SettingsError(f"{path}: can't be read ({wrong})") from None
    return parse_settings(text)
