"""Configuration: the one place that reads it, checks it and gives defaults.

A limiter is told where it listens by the environment and the rest by a JSON file; the settings in
that file are the object that the bench's wire brings in its first message, and `settings` is the
one translation of it.
"""

from __future__ import annotations

from collections.abc import Mapping
from ipaddress import ip_address
from math import ceil
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from loomstand.admission.settings import (
    DeduplicationScope,
    Effect,
    EngineSettings,
    Frontend,
    QuotaPlan,
)
from loomstand.admission.ticks import ticks_rounded_down, ticks_rounded_up
from loomstand.failover import zone_plan
from loomstand.failover.zone_plan import SitePlan

EFFECTS = {
    "pure": Effect.IDEMPOTENT,
    "token": Effect.DEDUPLICATED,
    "side_effect": Effect.NON_IDEMPOTENT,
}
GROUPS = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
Span = Annotated[float, Meta(ge=0)]  # milliseconds
Whole = Annotated[int, Meta(ge=0)]


class ConfigError(ValueError):
    """Configuration that can't be used; the message names the key."""


class Part(msgspec.Struct, kw_only=True):
    """A piece of the settings, in the words of the operators' wire. Unknown keys are ignored."""


class Grade(Part):
    name: str
    effect: Literal["pure", "token", "side_effect"]
    on_time: Span
    deadline: Span
    points: float
    group: Literal["all", "zone", "cell"] = "all"
    repeat_window: Span = 0.0
    late_value: float = 0.0
    stream: bool = False


class PlanConf(Part):
    name: str
    refill: float = 0.0
    store_size: float = 0.0
    at_once: float = 0
    worth_factor: float = 1.0
    excess_worth: float = 0.0
    excess_cost: float = 0.0
    ceiling_rate: float = 0.0
    cap_depth: float = 0.0
    ceiling_slack: float = 0.0


class Allowed(Part):
    try_limit: int = 1
    cancel: bool = False
    may_probe: bool = False
    second_copies: bool = False
    retry_after: bool = False
    max_retry_after: Span = 0.0
    idle_close: Span = 15_000.0
    connect_timeout: Span = 250.0


class Specifics(Part):
    has_counter: bool = False
    count_limit: Span = 0.0
    metering: Span = 0.0
    max_units: float = 1


class Rules(Part):
    answer_slack: Span = 0.0
    cold: Span = 0.0
    cold_from: float = 1.0
    drain_grace: Span = 0.0
    fall_multiple: float = 1.0
    tip_after: Span = 0.0


class Conf(Part):
    balancers: Annotated[int, Meta(ge=1)]
    me: Whole
    az: str
    grades: Annotated[list[Grade], Meta(min_length=1)]
    plans: list[PlanConf] = []
    zones: list[str] = []
    kinds: list[str] = []
    allowed: Allowed = msgspec.field(default_factory=Allowed)
    specifics: Specifics = msgspec.field(default_factory=Specifics)
    rules: Rules = msgspec.field(default_factory=Rules)


class Limits(Part):
    cores: Annotated[float, Meta(gt=0)] = 1.0
    memory_mb: Annotated[float, Meta(ge=16)] = 192
    sockets: Annotated[int, Meta(ge=48)] = 1024


class Member(Part):
    """A server as discovery lists it."""

    id: str
    host_port: str
    phase: Literal["active", "leaving", "left"] = "active"
    locality: str = ""
    flavor: str = ""
    cell: int = 0
    size: float = 1.0
    up_since_ms: float = 0.0

    def __post_init__(self) -> None:
        address(self.host_port, "host_port")


class Members(Part):
    """A list of servers, whole or changes only."""

    revision: int = 0
    complete: bool = False
    members: list[Member] = []


class File(Part):
    """The JSON file."""

    settings: Conf
    name: str = ""
    listen: str = ""
    discovery: str = ""
    counter: str = ""
    seed: str = "0"
    limits: Limits = msgspec.field(default_factory=Limits)
    known: Members = msgspec.field(default_factory=Members)
    plan: str = ""
    peer: str = ""
    peers: list[str] = []


class Config(msgspec.Struct, frozen=True):
    """All that a limiter is told, checked."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    counter: tuple[str, int] | None
    seed: int
    limits: Limits
    known: Members
    conf: Conf
    plan: SitePlan | None = None
    peer: str = ""
    peers: tuple[str, ...] = ()


def address(text: str, key: str) -> tuple[str, int]:
    """HOST:PORT with a numeric host."""
    host, _, port = text.rpartition(":")
    try:
        host = str(ip_address(host.strip("[]")))
        if not port.isascii() or not port.isdecimal() or not 0 < int(port) < 65536:
            raise ValueError
    except ValueError:
        raise ConfigError(f"key '{key}': '{text}' is not HOST:PORT") from None
    return host, int(port)


def load(env: Mapping[str, str], path: str | None = None, again: bool = False) -> Config:
    """The configuration from the environment and the JSON file it names; the environment wins, but
    not over a file that is read again: a running program's environment can't follow what has
    moved.
    """
    path = path or env.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("key 'PROXY_CONFIG': not set, and no file was named")
    try:
        with open(path, "rb") as file:
            raw = file.read()
    except OSError as why:
        raise ConfigError(f"key 'PROXY_CONFIG': {path}: {why.strerror}") from None
    return parse(raw, env, again)


def parse(raw: bytes, env: Mapping[str, str], again: bool = False) -> Config:
    try:
        file = msgspec.json.decode(raw, type=File)
    except msgspec.ValidationError as why:
        what, _, where = str(why).partition(" - at `$.")
        missing = (
            what.rpartition("missing required field ")[2] if "missing required" in what else ""
        )
        key = ".".join(filter(None, [where.rstrip("`"), missing.strip("`")]))
        raise ConfigError(f"key '{key}': {what}") from None
    except msgspec.DecodeError as why:
        raise ConfigError(f"the file is not JSON: {why}") from None
    conf = file.settings
    if conf.me >= conf.balancers:
        raise ConfigError(
            f"key 'settings.me': {conf.me} is not below settings.balancers, {conf.balancers}"
        )
    if conf.specifics.has_counter and not file.counter:
        raise ConfigError("key 'counter': the settings allow calls, but no address is given")
    for n, text in enumerate(file.peers):
        address(text, f"peers[{n}]")
    if file.peer or file.peers:
        address(file.peer, "peer")  # where this limiter listens to the others named by `peers`
    try:
        seed = int(file.seed, 16)
    except ValueError:
        raise ConfigError(f"key 'seed': '{file.seed}' is not in hex digits") from None

    def place(variable: str, key: str) -> tuple[str, int]:
        told, filed = (env.get(variable), variable), (getattr(file, key), key)
        text, where = next((t for t in ((filed, told) if again else (told, filed)) if t[0]), filed)
        return address(text, where)

    return Config(
        name=env.get("PROXY_NAME") or file.name or f"limiter-{conf.me}",
        listen=place("PROXY_LISTEN", "listen"),
        discovery=place("PROXY_DISCOVERY", "discovery"),
        counter=address(file.counter, "counter") if file.counter else None,
        seed=seed,
        limits=file.limits,
        known=file.known,
        conf=conf,
        plan=site_plan(file.plan, conf) if file.plan else None,
        peer=file.peer,
        peers=tuple(file.peers),
    )


def site_plan(path: str, conf: Conf) -> SitePlan:
    """The site plan in a file, which may name what these settings have."""
    try:
        return zone_plan.load(path, [g.name for g in conf.grades], [p.name for p in conf.plans])
    except zone_plan.PlanError as why:
        raise ConfigError(f"key 'plan': {why}") from None


def settings(conf: Conf, hall: int) -> EngineSettings:
    """The settings in our words."""
    allowed, specifics, rules = conf.allowed, conf.specifics, conf.rules
    return EngineSettings(
        limiter_index=conf.me,
        limiter_count=conf.balancers,
        zone=hall,
        frontends=tuple(
            Frontend(
                EFFECTS[g.effect],
                GROUPS[g.group],
                ticks_rounded_down(g.repeat_window),
                ticks_rounded_down(g.on_time),
                ticks_rounded_down(g.deadline),
                g.points,
                g.late_value,
                g.stream,
            )
            for g in conf.grades
        ),
        plans=tuple(
            QuotaPlan(
                p.refill,
                p.store_size,
                int(p.at_once),
                p.worth_factor,
                p.excess_worth,
                p.excess_cost,
                p.ceiling_rate,
                p.cap_depth,
                p.ceiling_slack,
            )
            for p in conf.plans
        ),
        attempt_limit=allowed.try_limit,
        can_cancel_attempts=allowed.cancel,
        can_check_health=allowed.may_probe,
        can_hedge=allowed.second_copies,
        sends_retry_after=allowed.retry_after,
        max_retry_after=ticks_rounded_down(allowed.max_retry_after),
        has_counter=specifics.has_counter,
        counter_timeout=ticks_rounded_up(specifics.count_limit),
        metering_period=ticks_rounded_up(specifics.metering),
        max_request_units=max(1, ceil(specifics.max_units)),
        drain_grace_period=ticks_rounded_down(rules.drain_grace),
        slow_start_period=ticks_rounded_up(rules.cold),
        slow_start_initial_capacity=rules.cold_from,
        overload_multiple=rules.fall_multiple,
        overload_period=ticks_rounded_up(rules.tip_after),
        response_slack=ticks_rounded_down(rules.answer_slack),
    )
