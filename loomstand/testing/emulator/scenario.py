"""Emulator scenarios: the fleet, its traffic and a timeline of faults, read from TOML.

Times in a scenario file are in seconds, or in milliseconds where the key ends in `_ms`; the model
uses ticks (0.1 ms). msgspec checks every key; an error names the key with its path, as in
`ScenarioError("key 'faults[2].share': ...")`.
"""

from __future__ import annotations

from typing import Annotated, Literal, TypeVar

import msgspec
from msgspec import Meta

from loomstand.config.limiter import (
    AllowedActions,
    CounterSettings,
    FrontendSettings,
    QuotaPlanSettings,
    RuleSettings,
    WireSettings,
)
from loomstand.config.toml_tables import (
    StrictStruct,
    TableError,
    convert_table,
    parse_toml,
    read_toml,
)
from loomstand.failover.zone_plan import ZonePlan

T = TypeVar("T")
ScenarioError = TableError  # an invalid scenario; the message names the key
Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, Meta(gt=0.0)]
Seconds = Annotated[float, Meta(ge=0.0)]
Count = Annotated[int, Meta(ge=0)]


class Frontend(StrictStruct):
    """A class of requests (a grade in the bench's settings)."""

    name: str
    effect: Literal["pure", "token", "side_effect"] = "pure"
    response_target_ms: Positive = 300.0
    client_timeout_ms: Positive = 1000.0
    value: Positive = 1.0
    group: Literal["all", "zone", "cell"] = "all"  # servers that deduplicate together
    repeat_window_ms: Seconds = 0.0  # deduplication window, for the effect `token`
    share: Positive = 1.0  # weight of its traffic, relative to the other frontends
    work_ms: Positive = 20.0  # mean service time at a warm server


class Plan(StrictStruct):
    """A quota plan: the quota of each of its customers over all limiters, and their number."""

    name: str
    rate: Positive  # units per second and customer
    burst: Positive  # units
    customers: Annotated[int, Meta(ge=1)] = 10
    demand: Positive = 1.0  # a customer's arrival rate, as a multiple of `rate`
    ceiling_rate: Seconds = 0.0  # hard ceiling, in units per second; 0 for none
    ceiling_depth: Seconds = 0.0
    ceiling_slack: Seconds = 0.0
    # cost of a request served beyond its customer's quota, as a multiple of its value
    excess_cost: Seconds = 1.0
    hot: Share = 0.0  # share of its customers with `hot_demand` instead of `demand`
    hot_demand: Positive = 5.0


class Fleet(StrictStruct):
    """Limiters, servers and zones."""

    limiters: Annotated[int, Meta(ge=1)] = 10
    servers: Annotated[int, Meta(ge=1)] = 10
    zones: list[str] = msgspec.field(default_factory=lambda: ["a"])
    capacity: Annotated[int, Meta(ge=1)] = 8  # requests that a server processes concurrently
    queue: Count = 16  # further requests that it queues; it rejects those beyond
    cold_s: Seconds = 10.0  # duration of a new server's slow start
    cold_from: Share = 0.3  # share of its capacity that a server has when it starts
    # a cold server crashes when it receives more than this multiple of its current capacity
    fall_multiple: Positive = 2.0
    # a limiter may send attempts to a draining server for this long after it was notified
    drain_grace_ms: Seconds = 500.0
    try_limit: Annotated[int, Meta(ge=1)] = 2  # attempts per request
    answer_slack_ms: Seconds = 50.0  # an answer may come this long after the client timeout

    def warmth(self, age_s: float) -> float:
        """Returns the share of its capacity that a server has at an age in seconds (slow start)."""
        if age_s >= self.cold_s:
            return 1.0
        return self.cold_from + (1 - self.cold_from) * max(0.0, age_s) / self.cold_s

    def concurrency(self, warmth: float) -> int:
        """Returns the number of requests that a server processes concurrently."""
        return max(1, round(self.capacity * warmth))

    def overload_rate(self, warmth: float, mean_work_ms: float) -> float:
        """Returns the attempts per second above which a cold server crashes."""
        return self.fall_multiple * warmth * self.capacity / (mean_work_ms / 1000)


class Net(StrictStruct):
    """The network: one-way delay and loss of messages."""

    delay_ms: Seconds = 0.5
    jitter_ms: Seconds = 0.2
    zone_delay_ms: Seconds = 2.0  # added between different zones
    loss: Share = 0.0


class Counter(StrictStruct):
    """The shared counter."""

    present: bool = True
    latency_ms: Seconds = 2.0  # mean time that the counter takes for a call
    timeout_ms: Positive = 100.0  # of a call
    refresh_s: Positive = 1.0  # metering interval in the limiters' settings


class Clients(StrictStruct):
    """Behaviour of clients: retries, early disconnects and a burst."""

    retry: Share = 0.0  # share of rejected requests that the client retries
    retry_after_ms: Seconds = 200.0
    give_up: Share = 0.0  # share of requests whose client disconnects before its timeout
    burst_at: Seconds = 0.0  # start of a burst with `burst_factor` times the demand
    burst_for: Seconds = 0.0  # its duration; 0 for no burst
    burst_factor: Positive = 1.5


Kind = Literal[
    # all limiters of `zone`, or `share` of all without a zone, stop; they restart without state
    # after `for_s` if above 0
    "kill_limiters",
    "crash_servers",  # `share` of servers crash; they restart cold after `for_s` if above 0
    # `share` of servers drain; a cold server replaces each after twice the drain grace
    "drain_servers",
    "slow_servers",  # `share` of servers are `factor` times slower for `for_s`
    "fail_servers",  # `share` of servers respond with errors for `for_s`
    "bad_release",  # `share` of servers restart cold and respond with errors for `for_s`
    "lose_zone",  # all servers of `zone` crash; they restart cold after `for_s` if above 0
    "cut_zone",  # the network between `zone` and other zones is down for `for_s`
    "counter_down",  # the counter doesn't respond for `for_s`
    "counter_slow",  # the counter takes `factor` times its latency for `for_s`
    "counter_wipe",  # the counter loses all totals
    # the counter splits into `parts` partitions without replication for `for_s`
    "counter_split",
    "late_lists",  # discovery's lists are delayed by `factor` seconds for `for_s`
    "partial_lists",  # discovery lists only `share` of the servers for `for_s`
    "flood_plan",  # the customers of `plan` send `factor` times their usual load for `for_s`
    "shift_zone",  # `share` of the traffic goes to limiters of `zone` for `for_s`
]


class Fault(StrictStruct):
    """One fault of the timeline."""

    at: Seconds
    kind: Kind
    share: Share = 0.1
    for_s: Seconds = 0.0
    factor: Positive = 2.0
    zone: str = ""
    plan: str = ""
    parts: Annotated[int, Meta(ge=2)] = 2


class Scenario(StrictStruct):
    """A scenario: the root table of its file."""

    name: str
    seconds: Positive = 30.0
    seed: int = 0
    policy: Literal["brain", "naive", "oracle"] = "brain"
    baselines: list[Literal["naive", "oracle"]] = msgspec.field(
        default_factory=lambda: ["naive", "oracle"]
    )
    fleet: Fleet = msgspec.field(default_factory=Fleet)
    net: Net = msgspec.field(default_factory=Net)
    counter: Counter = msgspec.field(default_factory=Counter)
    clients: Clients = msgspec.field(default_factory=Clients)
    frontends: Annotated[list[Frontend], Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: [Frontend(name="look")]
    )
    plans: Annotated[list[Plan], Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: [Plan(name="basic", rate=10.0, burst=20.0)]
    )
    faults: list[Fault] = msgspec.field(default_factory=list)
    site: ZonePlan | None = None  # the site plan (docs/sites.md)
    sited: bool = True  # whether the decision engine uses the site plan

    def __post_init__(self) -> None:
        names = [p.name for p in self.plans]
        for n, fault in enumerate(self.faults):
            if fault.zone and fault.zone not in self.fleet.zones:
                raise ScenarioError(f"key 'faults[{n}].zone': '{fault.zone}' is not in fleet.zones")
            if fault.kind in ("lose_zone", "cut_zone", "shift_zone") and not fault.zone:
                raise ScenarioError(f"key 'faults[{n}].zone': {fault.kind} needs a zone")
            if fault.kind == "flood_plan" and fault.plan not in names:
                raise ScenarioError(
                    f"key 'faults[{n}].plan': '{fault.plan}' is not a plan of this scenario"
                )
        if len(set(names)) != len(names):
            raise ScenarioError("key 'plans': two plans have the same name")


def mean_work_ms(scenario: Scenario) -> float:
    """Returns the mean service time of a request over all frontends, in milliseconds."""
    frontends = scenario.frontends
    return sum(f.work_ms * f.share for f in frontends) / sum(f.share for f in frontends)


def limiter_settings(scenario: Scenario, limiter_index: int, zone: int) -> WireSettings:
    """Returns the settings of a limiter, as the bench and the settings file have them."""
    s, f = scenario, scenario.fleet
    return WireSettings(
        limiter_count=f.limiters,
        limiter_index=limiter_index,
        zone=f.zones[zone],
        zones=list(f.zones),
        frontends=[
            FrontendSettings(
                name=frontend.name,
                effect=frontend.effect,
                latency_target_ms=frontend.response_target_ms,
                client_timeout_ms=frontend.client_timeout_ms,
                value=frontend.value,
                deduplication_scope=frontend.group,
                deduplication_window_ms=frontend.repeat_window_ms,
            )
            for frontend in s.frontends
        ],
        plans=[
            QuotaPlanSettings(
                name=p.name,
                rate_per_second=p.rate,
                burst_size=p.burst,
                ceiling_rate=p.ceiling_rate,
                ceiling_depth=p.ceiling_depth,
                ceiling_slack=p.ceiling_slack,
            )
            for p in s.plans
        ],
        allowed_actions=AllowedActions(max_attempts=f.try_limit),
        counter=CounterSettings(
            has_counter=s.counter.present,
            call_timeout_ms=s.counter.timeout_ms,
            metering_interval_ms=s.counter.refresh_s * 1000,
        ),
        rules=RuleSettings(
            answer_slack_ms=f.answer_slack_ms,
            warm_up_ms=f.cold_s * 1000,
            initial_capacity_share=f.cold_from,
            drain_grace_ms=f.drain_grace_ms,
            overload_multiple=f.fall_multiple,
            overload_window_ms=1000.0,
        ),
    )


def parse(raw: str | bytes, source: str = "scenario") -> Scenario:
    """Returns the scenario in a TOML text.

    Raises:
        ScenarioError: The text is not a valid scenario; the message names the key.
    """
    return from_table(parse_toml(raw, source))


def from_table(table: dict, kind: type[T] = Scenario) -> T:
    """Returns the scenario in a decoded TOML table.

    Raises:
        ScenarioError: The table is not a valid scenario; the message names the key.
    """
    return convert_table(table, kind)


def load(path: str) -> Scenario:
    """Returns the scenario in a file.

    Raises:
        ScenarioError: The file is not a valid scenario; the message names the file and the key.
    """
    return from_table(read(path))


def read(path: str) -> dict:
    """Returns the checked table of a scenario file, for sweeps, which set keys in it.

    Raises:
        ScenarioError: The file is not a valid scenario; the message names the file and the key.
    """
    table = read_toml(path)
    try:
        from_table(table)
    except ScenarioError as error:
        raise ScenarioError(f"{path}: {error}") from None
    return table


def with_values(table: dict, sets: dict[str, object]) -> dict:
    """Returns a copy of a scenario table with dotted keys set, e.g. {'fleet.limiters': 100}.

    Raises:
        ScenarioError: A part of a key before its last is not a table.
    """
    result = msgspec.json.decode(msgspec.json.encode(table))
    for key, value in sets.items():
        first_part, *path = key.split(".")
        node = result
        for part in [first_part, *path][:-1]:
            node = node.setdefault(part, {})
            if not isinstance(node, dict):
                raise ScenarioError(f"key '{key}': '{part}' is not a table")
        node[[first_part, *path][-1]] = value
    return result
