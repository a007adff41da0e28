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
Milliseconds = Annotated[float, Meta(ge=0)]  # milliseconds
NonNegativeInt = Annotated[int, Meta(ge=0)]


class LimiterConfigError(ValueError):
    """Configuration that can't be used; the message names the key."""


class WireStruct(msgspec.Struct, kw_only=True):
    """A piece of the settings; keys are the operators' wire's own. Unknown keys are ignored."""


class FrontendSettings(
    WireStruct,
    rename={
        "latency_target_ms": "on_time",
        "client_timeout_ms": "deadline",
        "value": "points",
        "deduplication_scope": "group",
        "deduplication_window_ms": "repeat_window",
        "streams": "stream",
    },
):
    """A kind of request, a `grade` on the wire."""

    name: str
    effect: Literal["pure", "token", "side_effect"]
    latency_target_ms: Milliseconds
    client_timeout_ms: Milliseconds
    value: float
    deduplication_scope: Literal["all", "zone", "cell"] = "all"
    deduplication_window_ms: Milliseconds = 0.0
    late_value: float = 0.0
    streams: bool = False


class QuotaPlanSettings(
    WireStruct,
    rename={
        "rate_per_second": "refill",
        "burst_size": "store_size",
        "max_concurrent": "at_once",
        "value_factor": "worth_factor",
        "excess_value": "excess_worth",
        "ceiling_depth": "cap_depth",
    },
):
    """The quota of each customer on a plan, over all limiters."""

    name: str
    rate_per_second: float = 0.0
    burst_size: float = 0.0
    max_concurrent: float = 0
    value_factor: float = 1.0
    excess_value: float = 0.0
    excess_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_depth: float = 0.0
    ceiling_slack: float = 0.0


class AllowedActions(
    WireStruct,
    rename={
        "max_attempts": "try_limit",
        "may_cancel": "cancel",
        "may_hedge": "second_copies",
        "may_send_retry_after": "retry_after",
        "max_retry_after_ms": "max_retry_after",
        "idle_timeout_ms": "idle_close",
        "connect_timeout_ms": "connect_timeout",
    },
):
    """What a limiter may do with a request, and for how long it waits on a connection."""

    max_attempts: int = 1
    may_cancel: bool = False
    may_probe: bool = False
    may_hedge: bool = False
    may_send_retry_after: bool = False
    max_retry_after_ms: Milliseconds = 0.0
    idle_timeout_ms: Milliseconds = 15_000.0
    connect_timeout_ms: Milliseconds = 250.0


class CounterSettings(
    WireStruct,
    rename={
        "call_timeout_ms": "count_limit",
        "metering_interval_ms": "metering",
        "max_units_per_request": "max_units",
    },
):
    """The counter that limiters share, `specifics` on the wire."""

    has_counter: bool = False
    call_timeout_ms: Milliseconds = 0.0
    metering_interval_ms: Milliseconds = 0.0
    max_units_per_request: float = 1


class RuleSettings(
    WireStruct,
    rename={
        "answer_slack_ms": "answer_slack",
        "warm_up_ms": "cold",
        "initial_capacity_share": "cold_from",
        "drain_grace_ms": "drain_grace",
        "overload_multiple": "fall_multiple",
        "overload_window_ms": "tip_after",
    },
):
    """What the operators' rules allow of answers and of servers that warm up or drain."""

    answer_slack_ms: Milliseconds = 0.0
    warm_up_ms: Milliseconds = 0.0
    initial_capacity_share: float = 1.0
    drain_grace_ms: Milliseconds = 0.0
    overload_multiple: float = 1.0
    overload_window_ms: Milliseconds = 0.0


class WireSettings(
    WireStruct,
    rename={
        "limiter_count": "balancers",
        "limiter_index": "me",
        "zone": "az",
        "frontends": "grades",
        "server_kinds": "kinds",
        "allowed_actions": "allowed",
        "counter": "specifics",
    },
):
    """The settings of one limiter as the bench's first message and the JSON file bring them."""

    limiter_count: Annotated[int, Meta(ge=1)]
    limiter_index: NonNegativeInt
    zone: str
    frontends: Annotated[list[FrontendSettings], Meta(min_length=1)]
    plans: list[QuotaPlanSettings] = []
    zones: list[str] = []
    server_kinds: list[str] = []
    allowed_actions: AllowedActions = msgspec.field(default_factory=AllowedActions)
    counter: CounterSettings = msgspec.field(default_factory=CounterSettings)
    rules: RuleSettings = msgspec.field(default_factory=RuleSettings)


class ResourceLimits(WireStruct):
    """What the process may use: cores, megabytes, and sockets open at once."""

    cores: Annotated[float, Meta(gt=0)] = 1.0
    memory_mb: Annotated[float, Meta(ge=16)] = 192
    sockets: Annotated[int, Meta(ge=48)] = 1024


class BackendRecord(
    WireStruct,
    rename={
        "address": "host_port",
        "zone": "locality",
        "kind": "flavor",
        "pod": "cell",
        "capacity_hint": "size",
        "started_at_ms": "up_since_ms",
    },
):
    """A server as discovery lists it."""

    id: str
    address: str
    phase: Literal["active", "leaving", "left"] = "active"
    zone: str = ""
    kind: str = ""
    pod: int = 0
    capacity_hint: float = 1.0
    started_at_ms: float = 0.0

    def __post_init__(self) -> None:
        parse_host_port(self.address, "host_port")


class BackendList(WireStruct, rename={"backends": "members"}):
    """A list of servers, complete or changes only."""

    revision: int = 0
    complete: bool = False
    backends: list[BackendRecord] = []


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
    """The checked configuration of a limiter."""

    name: str
    listen_address: tuple[str, int]
    discovery_address: tuple[str, int]
    counter_address: tuple[str, int] | None
    random_seed: int
    limits: ResourceLimits
    initial_backends: BackendList
    settings: WireSettings
    zone_plan: SitePlan | None = None
    peer_address: str = ""
    peer_addresses: tuple[str, ...] = ()


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
    settings = file.settings
    if settings.limiter_index >= settings.limiter_count:
        raise LimiterConfigError(
            f"key 'settings.me': {settings.limiter_index} is not below settings.balancers, "
            f"{settings.limiter_count}"
        )
    if settings.counter.has_counter and not file.counter:
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
        name=env.get("PROXY_NAME") or file.name or f"limiter-{settings.limiter_index}",
        listen_address=place("PROXY_LISTEN", "listen"),
        discovery_address=place("PROXY_DISCOVERY", "discovery"),
        counter_address=parse_host_port(file.counter, "counter") if file.counter else None,
        random_seed=seed,
        limits=file.limits,
        initial_backends=file.known,
        settings=settings,
        zone_plan=load_zone_plan(file.plan, settings) if file.plan else None,
        peer_address=file.peer,
        peer_addresses=tuple(file.peers),
    )


def load_zone_plan(path: str, settings: WireSettings) -> SitePlan:
    """The site plan in a file, which may name what these settings have."""
    try:
        return zone_plan.load(
            path, [f.name for f in settings.frontends], [p.name for p in settings.plans]
        )
    except zone_plan.PlanError as why:
        raise LimiterConfigError(f"key 'plan': {why}") from None


def engine_settings(settings: WireSettings, hall: int) -> EngineSettings:
    """The settings in our words."""
    allowed = settings.allowed_actions
    counter = settings.counter
    rules = settings.rules
    return EngineSettings(
        limiter_index=settings.limiter_index,
        limiter_count=settings.limiter_count,
        zone=hall,
        frontends=tuple(
            Frontend(
                EFFECTS[f.effect],
                GROUPS[f.deduplication_scope],
                ticks_rounded_down(f.deduplication_window_ms),
                ticks_rounded_down(f.latency_target_ms),
                ticks_rounded_down(f.client_timeout_ms),
                f.value,
                f.late_value,
                f.streams,
            )
            for f in settings.frontends
        ),
        plans=tuple(
            QuotaPlan(
                p.rate_per_second,
                p.burst_size,
                int(p.max_concurrent),
                p.value_factor,
                p.excess_value,
                p.excess_cost,
                p.ceiling_rate,
                p.ceiling_depth,
                p.ceiling_slack,
            )
            for p in settings.plans
        ),
        attempt_limit=allowed.max_attempts,
        can_cancel_attempts=allowed.may_cancel,
        can_check_health=allowed.may_probe,
        can_hedge=allowed.may_hedge,
        sends_retry_after=allowed.may_send_retry_after,
        max_retry_after=ticks_rounded_down(allowed.max_retry_after_ms),
        has_counter=counter.has_counter,
        counter_timeout=ticks_rounded_up(counter.call_timeout_ms),
        metering_period=ticks_rounded_up(counter.metering_interval_ms),
        max_request_units=max(1, ceil(counter.max_units_per_request)),
        drain_grace_period=ticks_rounded_down(rules.drain_grace_ms),
        slow_start_period=ticks_rounded_up(rules.warm_up_ms),
        slow_start_initial_capacity=rules.initial_capacity_share,
        overload_multiple=rules.overload_multiple,
        overload_period=ticks_rounded_up(rules.overload_window_ms),
        response_slack=ticks_rounded_down(rules.answer_slack_ms),
    )
