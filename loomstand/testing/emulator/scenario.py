"""A lab scenario: the fleet, its traffic and a timeline of faults, read from TOML and checked.

Times in a scenario file are seconds (floats) or milliseconds where the key ends in `_ms`; the model
works in the interface's tenths of a millisecond. Every key is checked by msgspec; a fault names the
key at fault, with its path, as `ScenarioError("key 'faults[2].share': ...")`.
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
from loomstand.config.toml_tables import StrictStruct, TableError, convert_table, parse_toml
from loomstand.config.toml_tables import read_toml as table_of
from loomstand.failover.zone_plan import ZonePlan

T = TypeVar("T")
ScenarioError = TableError  # a scenario that can't be played; the message names the key
Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, Meta(gt=0.0)]
Seconds = Annotated[float, Meta(ge=0.0)]
Count = Annotated[int, Meta(ge=0)]


class Frontend(StrictStruct):
    """A class of reqs, as the bench's settings call a grade."""

    name: str
    effect: Literal["pure", "token", "side_effect"] = "pure"
    response_target_ms: Positive = 300.0
    client_timeout_ms: Positive = 1000.0
    value: Positive = 1.0
    group: Literal["all", "zone", "cell"] = "all"
    repeat_window_ms: Seconds = 0.0
    share: Positive = 1.0  # of the traffic, against the other frontends' shares
    work_ms: Positive = 20.0  # mean service time at a warm server with nothing else to do


class Plan(StrictStruct):
    """A plan: the quota of each of its customers over all limiters, and how many customers use
    it.
    """

    name: str
    rate: Positive  # units a second, per customer
    burst: Positive  # units
    customers: Annotated[int, Meta(ge=1)] = 10
    demand: Positive = 1.0  # what a customer asks, as a multiple of its rate
    ceiling_rate: Seconds = 0.0  # a hard ceiling, units a second; 0 for none
    ceiling_depth: Seconds = 0.0
    ceiling_slack: Seconds = 0.0
    # what a req passed beyond its customer's quota costs, times its worth
    excess_cost: Seconds = 1.0
    hot: Share = 0.0  # share of its customers that ask at `hot_demand` instead
    hot_demand: Positive = 5.0


class Fleet(StrictStruct):
    """Limiters, servers and zones."""

    limiters: Annotated[int, Meta(ge=1)] = 10
    servers: Annotated[int, Meta(ge=1)] = 10
    zones: list[str] = msgspec.field(default_factory=lambda: ["a"])
    capacity: Annotated[int, Meta(ge=1)] = 8  # reqs a server works on at once
    queue: Count = 16  # reqs it holds beyond those before it turns new ones away
    cold_s: Seconds = 10.0  # how long a new server is cold
    cold_from: Share = 0.3  # the share of its capacity it has when it starts
    # a cold server falls with more than this times its cold capacity in hand
    fall_multiple: Positive = 2.0
    drain_grace_ms: Seconds = 500.0
    try_limit: Annotated[int, Meta(ge=1)] = 2
    answer_slack_ms: Seconds = 50.0

    def warmth(self, age_s: float) -> float:
        """The share of its work that a server can do so long after its start."""
        if age_s >= self.cold_s:
            return 1.0
        return self.cold_from + (1 - self.cold_from) * max(0.0, age_s) / self.cold_s

    def room(self, warmth: float) -> int:
        """Reqs that a server works on at once."""
        return max(1, round(self.capacity * warmth))

    def bears(self, warmth: float, mean_work_ms: float) -> float:
        """Dispatches within a second past which a cold server falls."""
        return self.fall_multiple * warmth * self.capacity / (mean_work_ms / 1000)


class Net(StrictStruct):
    """The network between the parts: one-way delay and loss."""

    delay_ms: Seconds = 0.5
    jitter_ms: Seconds = 0.2
    zone_delay_ms: Seconds = 2.0  # added between zones
    loss: Share = 0.0


class Counter(StrictStruct):
    """The shared counter."""

    present: bool = True
    latency_ms: Seconds = 2.0
    timeout_ms: Positive = 100.0
    refresh_s: Positive = 1.0  # the metering period the limiters are told


class Clients(StrictStruct):
    """How clients behave beyond their arrival rate."""

    retry: Share = 0.0  # share of denied reqs whose client comes again
    retry_after_ms: Seconds = 200.0
    give_up: Share = 0.0  # share of reqs whose client leaves before its timeout
    burst_at: Seconds = 0.0  # when a burst of `burst_factor` times the demand begins; 0 for none
    burst_for: Seconds = 0.0
    burst_factor: Positive = 1.5


Kind = Literal[
    # share of limiters, or all of `zone`, stop; back after `for_s` if it is above 0, empty
    "kill_limiters",
    "crash_servers",  # share of servers crash; back cold after `for_s` if it is above 0
    # share of servers are told to drain, then leave after the grace, replaced cold
    "drain_servers",
    "slow_servers",  # share of servers work `factor` times slower for `for_s`
    "fail_servers",  # share of servers answer with an error for `for_s`
    "bad_release",  # share of servers restart cold and then fail for `for_s`
    "lose_zone",  # all servers of `zone` crash; back cold after `for_s`
    "cut_zone",  # the network to and from `zone` is cut for `for_s`
    "counter_down",  # the counter answers nothing for `for_s`
    "counter_slow",  # the counter takes `factor` times its latency for `for_s`
    "counter_wipe",  # the counter forgets every total
    # the counter splits into `parts` that don't see each other's adds, for `for_s`
    "counter_split",
    "late_lists",  # discovery's lists come `factor` seconds late for `for_s`
    "partial_lists",  # discovery lists only `share` of the servers for `for_s`
    "flood_plan",  # one plan's customers ask `factor` times their demand for `for_s`
    "shift_zone",  # `share` of the traffic moves to limiters of `zone` for `for_s`
]


class Fault(StrictStruct):
    """One step of the timeline."""

    at: Seconds
    kind: Kind
    share: Share = 0.1
    for_s: Seconds = 0.0
    factor: Positive = 2.0
    zone: str = ""
    plan: str = ""
    parts: Annotated[int, Meta(ge=2)] = 2


class Scenario(StrictStruct):
    """A whole scenario."""

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
    site: ZonePlan | None = None  # a site plan for the module (docs/sites.md)
    sited: bool = True  # whether the module has it

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


def mean_work(scenario: Scenario) -> float:
    """Mean work of a req over all frontends, in milliseconds."""
    fronts = scenario.frontends
    return sum(f.work_ms * f.share for f in fronts) / sum(f.share for f in fronts)


def conf(scenario: Scenario, limiter_index: int, zone: int) -> WireSettings:
    """The settings that a limiter of this scenario is told, in the words of the operators' wire."""
    s, f = scenario, scenario.fleet
    return WireSettings(
        limiter_count=f.limiters,
        limiter_index=limiter_index,
        zone=f.zones[zone],
        zones=list(f.zones),
        frontends=[
            FrontendSettings(
                name=g.name,
                effect=g.effect,
                latency_target_ms=g.response_target_ms,
                client_timeout_ms=g.client_timeout_ms,
                value=g.value,
                deduplication_scope=g.group,
                deduplication_window_ms=g.repeat_window_ms,
            )
            for g in s.frontends
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
    """The scenario in a TOML text. Raises ScenarioError naming the key."""
    return from_table(parse_toml(raw, source))


def from_table(table: dict, kind: type[T] = Scenario) -> T:
    """The scenario in a table as TOML reads it. Raises ScenarioError naming the key."""
    return convert_table(table, kind)


def load(path: str) -> Scenario:
    """The scenario in a file. Raises ScenarioError naming the file, and the key where one is at
    fault.
    """
    return from_table(read(path))


def read(path: str) -> dict:
    """The table of a scenario file, checked (for sweeps, which set keys in it). Raises as
    `load`.
    """
    table = table_of(path)
    try:
        from_table(table)
    except ScenarioError as why:
        raise ScenarioError(f"{path}: {why}") from None
    return table


def with_values(table: dict, sets: dict[str, object]) -> dict:
    """A copy of a scenario table with dotted keys set, for sweeps: {'fleet.limiters': 100}."""
    out = msgspec.json.decode(msgspec.json.encode(table))
    for key, value in sets.items():
        place, *path = key.split(".")
        here = out
        for part in [place, *path][:-1]:
            here = here.setdefault(part, {})
            if not isinstance(here, dict):
                raise ScenarioError(f"key '{key}': '{part}' is not a table")
        here[[place, *path][-1]] = value
    return out
