"""Loads and validates the limiter's own configuration: environment, JSON file and zone plan.

This module reads files. The JSON file has the keys of `LimiterFile`; an error names the key.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated

import msgspec
from msgspec import Meta

from loomstand.config.limiter.addresses import parse_host_port
from loomstand.config.limiter.backends import BackendList
from loomstand.config.limiter.errors import LimiterConfigError
from loomstand.config.limiter.wire_settings import WireSettings, WireStruct
from loomstand.config.units import Address
from loomstand.config.validation import locate_error
from loomstand.failover import zone_plan
from loomstand.failover.zone_plan import ZonePlan

CONFIG_VARIABLE = "PROXY_CONFIG"
"""The environment variable with the path of the file."""

_HEXADECIMAL_BASE = 16


class ResourceLimits(WireStruct):
    """Resource limits of the process.

    Attributes:
        cores: Number of processor cores.
        memory_mb: Memory in megabytes.
        sockets: Maximum number of open sockets.
    """

    cores: Annotated[float, Meta(gt=0)] = 1.0
    memory_mb: Annotated[float, Meta(ge=16)] = 192
    sockets: Annotated[int, Meta(ge=48)] = 1024


class LimiterFile(WireStruct):
    """The JSON file.

    Attributes:
        settings: The settings for admission decisions.
        name: The limiter's name in logs; the default is `limiter-` with the limiter's index.
        listen: HOST:PORT at which the limiter listens for clients.
        discovery: HOST:PORT of discovery.
        counter: HOST:PORT of the counter, required if the settings have a counter.
        seed: Seed of the random number generator, in hexadecimal digits.
        limits: Resource limits of the process.
        known: The servers to use until discovery answers.
        plan: Path of a zone plan, if there is one.
        peer: HOST:PORT at which this limiter listens for the limiters in `peers`.
        peers: HOST:PORT of other limiters.
    """

    settings: WireSettings
    name: str = ""
    listen: str = ""
    discovery: str = ""
    counter: str = ""
    seed: str = "0"
    limits: ResourceLimits = msgspec.field(default_factory=ResourceLimits)
    known: BackendList = msgspec.field(default_factory=BackendList)
    plan: str = ""
    peer: str = ""
    peers: list[str] = msgspec.field(default_factory=list)


class LimiterConfig(msgspec.Struct, frozen=True):
    """The validated configuration of a limiter, from the environment and the file.

    Attributes:
        name: The limiter's name in logs.
        listen_address: Address at which it listens for clients.
        discovery_address: Address of discovery.
        counter_address: Address of the counter, if there is one.
        random_seed: Seed of the random number generator.
        limits: Resource limits of the process.
        initial_backends: The servers to use until discovery answers.
        settings: The settings for admission decisions.
        zone_plan: The plan for the loss of a zone, if there is one.
        peer_address: HOST:PORT at which it listens for other limiters; empty without peers.
        peer_addresses: HOST:PORT of other limiters.
    """

    name: str
    listen_address: Address
    discovery_address: Address
    counter_address: Address | None
    random_seed: int
    limits: ResourceLimits
    initial_backends: BackendList
    settings: WireSettings
    zone_plan: ZonePlan | None = None
    peer_address: str = ""
    peer_addresses: tuple[str, ...] = ()


def load_limiter_config(
    environment: Mapping[str, str], path: str | None = None, *, reloading: bool = False
) -> LimiterConfig:
    """Loads the configuration from the environment and the file.

    Args:
        environment: The environment variables, which take precedence over the file's keys.
        path: Path of the file; None for the path in `PROXY_CONFIG`.
        reloading: Whether a running program reloads its configuration: then the file's addresses
            take precedence, as the environment of a running program can't be updated.

    Raises:
        LimiterConfigError: The file can't be read, or a key is invalid.
    """
    path = path or environment.get(CONFIG_VARIABLE)
    if not path:
        raise LimiterConfigError(f"key '{CONFIG_VARIABLE}': not set, and no file was named")
    try:
        # not pathlib, which would change the path in the operating system's errors
        with open(path, "rb") as file:  # noqa: PTH123
            raw = file.read()
    except OSError as error:
        raise LimiterConfigError(f"key '{CONFIG_VARIABLE}': {path}: {error.strerror}") from None
    return parse_limiter_config(raw, environment, reloading=reloading)


def parse_limiter_config(
    raw: bytes, environment: Mapping[str, str], *, reloading: bool = False
) -> LimiterConfig:
    """Parses the file's bytes; see `load_limiter_config`.

    Raises:
        LimiterConfigError: A key is invalid.
    """
    file = _decode_file(raw)
    settings = file.settings
    _check_settings(file)
    _check_peers(file)
    seed = _parse_seed(file.seed)
    return LimiterConfig(
        name=environment.get("PROXY_NAME") or file.name or f"limiter-{settings.limiter_index}",
        listen_address=_resolve_address(
            environment, "PROXY_LISTEN", file.listen, "listen", file_first=reloading
        ),
        discovery_address=_resolve_address(
            environment, "PROXY_DISCOVERY", file.discovery, "discovery", file_first=reloading
        ),
        counter_address=parse_host_port(file.counter, "counter") if file.counter else None,
        random_seed=seed,
        limits=file.limits,
        initial_backends=file.known,
        settings=settings,
        zone_plan=_load_zone_plan(file.plan, settings) if file.plan else None,
        peer_address=file.peer,
        peer_addresses=tuple(file.peers),
    )


def _decode_file(raw: bytes) -> LimiterFile:
    try:
        return msgspec.json.decode(raw, type=LimiterFile)
    except msgspec.ValidationError as error:
        key, problem = locate_error(error)
        raise LimiterConfigError(f"key '{key}': {problem}") from None
    except msgspec.DecodeError as error:
        raise LimiterConfigError(f"the file is not JSON: {error}") from None


def _check_settings(file: LimiterFile) -> None:
    settings = file.settings
    if settings.limiter_index >= settings.limiter_count:
        raise LimiterConfigError(
            f"key 'settings.me': {settings.limiter_index} is not below settings.balancers, "
            f"{settings.limiter_count}"
        )
    if settings.counter.has_counter and not file.counter:
        raise LimiterConfigError("key 'counter': the settings allow calls, but no address is given")


def _check_peers(file: LimiterFile) -> None:
    for number, text in enumerate(file.peers):
        parse_host_port(text, f"peers[{number}]")
    if file.peer or file.peers:
        parse_host_port(file.peer, "peer")


def _parse_seed(text: str) -> int:
    try:
        return int(text, _HEXADECIMAL_BASE)
    except ValueError:
        raise LimiterConfigError(f"key 'seed': '{text}' is not in hex digits") from None


def _resolve_address(
    environment: Mapping[str, str], variable: str, text: str, key: str, *, file_first: bool
) -> Address:
    """Returns the address from an environment variable or from the file.

    Args:
        environment: The environment variables.
        variable: Name of the variable with the address; an empty variable is ignored.
        text: The address in the file, or empty.
        key: Key of the address in the file, for the error.
        file_first: Whether an address in the file takes precedence.
    """
    from_environment = environment.get(variable)
    if from_environment and not (file_first and text):
        return parse_host_port(from_environment, variable)
    return parse_host_port(text, key)


def _load_zone_plan(path: str, settings: WireSettings) -> ZonePlan:
    """Loads a zone plan, which may refer to the frontends and quota plans of these settings."""
    frontends = [frontend.name for frontend in settings.frontends]
    plans = [plan.name for plan in settings.plans]
    try:
        return zone_plan.load(path, frontends, plans)
    except zone_plan.PlanError as error:
        raise LimiterConfigError(f"key 'plan': {error}") from None
