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

from loomstand.admission import interface as i
from loomstand.admission.identifiers import down, up
from loomstand.failover import zone_plan
from loomstand.failover.zone_plan import SitePlan

EFFECTS = {
    "pure": i.Effect.REPLAYABLE,
    "token": i.Effect.UNIQUED,
    "side_effect": i.Effect.NON_REPLAYABLE,
}
GROUPS = {
    "all": i.DeduplicationScope.ALL,
    "zone": i.DeduplicationScope.HALL,
    "cell": i.DeduplicationScope.POD,
}
Milliseconds = Annotated[float, Meta(ge=0)]  # milliseconds
NonNegativeInt = Annotated[int, Meta(ge=0)]


class LimiterConfigError(ValueError):
    """Configuration that can't be used; the message names the key."""


class WireStruct(msgspec.Struct, kw_only=True):
    """A piece of the settings, in the words of the operators' wire. Unknown keys are ignored."""


class GradeSettings(WireStruct):
    name: str
    effect: Literal["pure", "token", "side_effect"]
    on_time: Milliseconds
    deadline: Milliseconds
    points: float
    group: Literal["all", "zone", "cell"] = "all"
    repeat_window: Milliseconds = 0.0
    late_value: float = 0.0
    stream: bool = False


class PlanSettings(WireStruct):
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


class AllowedActions(WireStruct):
    try_limit: int = 1
    cancel: bool = False
    may_probe: bool = False
    second_copies: bool = False
    retry_after: bool = False
    max_retry_after: Milliseconds = 0.0
    idle_close: Milliseconds = 15_000.0
    connect_timeout: Milliseconds = 250.0


class CounterSettings(WireStruct):
    has_counter: bool = False
    count_limit: Milliseconds = 0.0
    metering: Milliseconds = 0.0
    max_units: float = 1


class RuleSettings(WireStruct):
    answer_slack: Milliseconds = 0.0
    cold: Milliseconds = 0.0
    cold_from: float = 1.0
    drain_grace: Milliseconds = 0.0
    fall_multiple: float = 1.0
    tip_after: Milliseconds = 0.0


class WireSettings(WireStruct):
    balancers: Annotated[int, Meta(ge=1)]
    me: NonNegativeInt
    az: str
    grades: Annotated[list[GradeSettings], Meta(min_length=1)]
    plans: list[PlanSettings] = []
    zones: list[str] = []
    kinds: list[str] = []
    allowed: AllowedActions = msgspec.field(default_factory=AllowedActions)
    specifics: CounterSettings = msgspec.field(default_factory=CounterSettings)
    rules: RuleSettings = msgspec.field(default_factory=RuleSettings)


class ResourceLimits(WireStruct):
    cores: Annotated[float, Meta(gt=0)] = 1.0
    memory_mb: Annotated[float, Meta(ge=16)] = 192
    sockets: Annotated[int, Meta(ge=48)] = 1024


class BackendRecord(WireStruct):
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
        parse_host_port(self.host_port, "host_port")


class BackendList(WireStruct):
    """A list of servers, whole or changes only."""

    revision: int = 0
    complete: bool = False
    members: list[BackendRecord] = []


class LimiterFile(WireStruct):
    """The JSON file."""

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
    peers: list[str] = []


class LimiterConfig(msgspec.Struct, frozen=True):
    """All that a limiter is told, checked."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    counter: tuple[str, int] | None
    seed: int
    limits: ResourceLimits
    known: BackendList
    conf: WireSettings
    plan: SitePlan | None = None
    peer: str = ""
    peers: tuple[str, ...] = ()


def parse_host_port(text: str, key: str) -> tuple[str, int]:
    """HOST:PORT with a numeric host."""
    host, _, port = text.rpartition(":")
    try:
        host = str(ip_address(host.strip("[]")))
        if not port.isascii() or not port.isdecimal() or not 0 < int(port) < 65536:
            raise ValueError
    except ValueError:
        raise LimiterConfigError(f"key '{key}': '{text}' is not HOST:PORT") from None
    return host, int(port)


def load_limiter_config(
    env: Mapping[str, str], path: str | None = None, again: bool = False
) -> LimiterConfig:
    """The configuration from the environment and the JSON file it names; the environment wins, but
    not over a file that is read again: a running program's environment can't follow what has
    moved.
    """
    path = path or env.get("PROXY_CONFIG")
    if not path:
        raise LimiterConfigError("key 'PROXY_CONFIG': not set, and no file was named")
    try:
        with open(path, "rb") as file:
            raw = file.read()
    except OSError as why:
        raise LimiterConfigError(f"key 'PROXY_CONFIG': {path}: {why.strerror}") from None
    return parse_limiter_config(raw, env, again)


def parse_limiter_config(raw: bytes, env: Mapping[str, str], again: bool = False) -> LimiterConfig:
    try:
        file = msgspec.json.decode(raw, type=LimiterFile)
    except msgspec.ValidationError as why:
        what, _, where = str(why).partition(" - at `$.")
        missing = (
            what.rpartition("missing required field ")[2] if "missing required" in what else ""
        )
        key = ".".join(filter(None, [where.rstrip("`"), missing.strip("`")]))
        raise LimiterConfigError(f"key '{key}': {what}") from None
    except msgspec.DecodeError as why:
        raise LimiterConfigError(f"the file is not JSON: {why}") from None
    conf = file.settings
    if conf.me >= conf.balancers:
        raise LimiterConfigError(
            f"key 'settings.me': {conf.me} is not below settings.balancers, {conf.balancers}"
        )
    if conf.specifics.has_counter and not file.counter:
        raise LimiterConfigError("key 'counter': the settings allow calls, but no address is given")
    for n, text in enumerate(file.peers):
        parse_host_port(text, f"peers[{n}]")
    if file.peer or file.peers:
        parse_host_port(
            file.peer, "peer"
        )  # where this limiter listens to the others named by `peers`
    try:
        seed = int(file.seed, 16)
    except ValueError:
        raise LimiterConfigError(f"key 'seed': '{file.seed}' is not in hex digits") from None

    def place(variable: str, key: str) -> tuple[str, int]:
        told, filed = (env.get(variable), variable), (getattr(file, key), key)
        text, where = next((t for t in ((filed, told) if again else (told, filed)) if t[0]), filed)
        return parse_host_port(text, where)

    return LimiterConfig(
        name=env.get("PROXY_NAME") or file.name or f"limiter-{conf.me}",
        listen=place("PROXY_LISTEN", "listen"),
        discovery=place("PROXY_DISCOVERY", "discovery"),
        counter=parse_host_port(file.counter, "counter") if file.counter else None,
        seed=seed,
        limits=file.limits,
        known=file.known,
        conf=conf,
        plan=load_zone_plan(file.plan, conf) if file.plan else None,
        peer=file.peer,
        peers=tuple(file.peers),
    )


def load_zone_plan(path: str, conf: WireSettings) -> SitePlan:
    """The site plan in a file, which may name what these settings have."""
    try:
        return zone_plan.load(path, [g.name for g in conf.grades], [p.name for p in conf.plans])
    except zone_plan.PlanError as why:
        raise LimiterConfigError(f"key 'plan': {why}") from None


def engine_settings(conf: WireSettings, hall: int) -> i.EngineSettings:
    """The settings in our words."""
    allowed, specifics, rules = conf.allowed, conf.specifics, conf.rules
    return i.EngineSettings(
        me=conf.me,
        limiters=conf.balancers,
        hall=hall,
        frontends=tuple(
            i.Frontend(
                EFFECTS[g.effect],
                GROUPS[g.group],
                down(g.repeat_window),
                down(g.on_time),
                down(g.deadline),
                g.points,
                g.late_value,
                g.stream,
            )
            for g in conf.grades
        ),
        plans=tuple(
            i.QuotaPlan(
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
        try_limit=allowed.try_limit,
        may_cancel=allowed.cancel,
        may_probe=allowed.may_probe,
        second_copies=allowed.second_copies,
        retry_after=allowed.retry_after,
        max_retry_after=down(allowed.max_retry_after),
        has_counter=specifics.has_counter,
        count_timeout=up(specifics.count_limit),
        meter_period=up(specifics.metering),
        max_units=max(1, ceil(specifics.max_units)),
        drain_grace=down(rules.drain_grace),
        cold=up(rules.cold),
        cold_from=rules.cold_from,
        fall_multiple=rules.fall_multiple,
        tip_after=up(rules.tip_after),
        answer_slack=down(rules.answer_slack),
    )
