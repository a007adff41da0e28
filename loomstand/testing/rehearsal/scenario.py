"""The scenario of a rehearsal: fleet, traffic, a timeline of faults and bounds, read from TOML.

The tables for fleet, frontends, plans and counter extend those of the emulator
(`loomstand/testing/emulator/scenario.py`), so that one description can be run in simulated time and
on processes. An error names the key: `ScenarioError("key 'faults[2].who': ...")`. Times are seconds
from the first traffic, or milliseconds where the key ends in `_ms`.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from loomstand.testing.emulator import scenario as emulator_scenario
from loomstand.testing.emulator.scenario import (
    Count,
    Positive,
    ScenarioError,
    Seconds,
    Share,
    StrictStruct,
)

SHARED = "any"  # in place of the limiter, on a path that all limiters share


class Frontend(emulator_scenario.Frontend):
    """A frontend with uniformly distributed service times.

    They lie between (1 - work_spread) and (1 + work_spread) times `work_ms`.
    """

    work_spread: Share = 0.2


class Plan(emulator_scenario.Plan):
    """A quota plan, with the number of limiters that a customer's requests are distributed to."""

    spread: Count = 0  # number of limiters in a customer's set; 0 for all limiters


class Fleet(emulator_scenario.Fleet):
    """A fleet with the properties that only sockets have. The limiters and servers of a zone have
    consecutive numbers.
    """

    connections: Count = 0  # maximum open connections of a server; 0 for no limit
    peers: bool = False  # whether limiters exchange endpoint lists (docs/peers.md)
    # whether all limiters reach a server over the same path, and so at the same address; required
    # by `peers`, as the lists contain addresses
    shared: bool = False
    cold: bool = False  # whether servers have just started when the rehearsal begins
    apart: bool = False  # whether each server has its own process; otherwise one for each zone
    sockets: Annotated[int, Meta(ge=48)] = 512  # maximum open sockets of a limiter
    connect_timeout_ms: Positive = 250.0


class Discovery(StrictStruct):
    """How the stand-in for discovery behaves without faults."""

    late_s: Seconds = 0.1  # time from a change to its publication
    bears: Seconds = 0.0  # maximum calls per second, beyond which it answers 503; 0 for no limit


class Load(StrictStruct):
    """How the clients and the load balancer in front of the limiters behave."""

    # a limiter that has answered no health check for this time gets no more requests
    notice_s: Positive = 1.0
    retry: Share = 0.0  # share of denied requests that are sent again, marked as retries
    retry_after_ms: Seconds = 200.0
    drivers: Annotated[int, Meta(ge=1, le=8)] = 1  # number of driver processes


FaultKind = Literal[
    # all paths of `who` are cut, then SIGKILL; restart, cold, after `for_s`; discovery lists the
    # servers as left after `told_s`
    "vanish",
    "kill",  # SIGKILL; restart after `for_s`
    "stop",  # SIGSTOP; SIGCONT after `for_s`
    "term",  # SIGTERM; restart after `for_s`
    "hup",  # SIGHUP to limiters; before that `text`, if set, is written to their site plan file
    "cut",  # the network between `who` and `other` is down for `for_s`, in the directions of `way`
    "reset",  # the connections between `who` and `other` are reset
    # data between `who` and `other` is delayed by `factor` ms in each direction for `for_s`
    "delay",
    "list",  # discovery publishes `phase` for the servers in `who`, and `active` after `for_s`
    "slow",  # servers take `factor` times as long for requests that start within `for_s`
    "fail",  # servers answer 500 to `share` of the requests they have run, for `for_s`
    "counter_slow",  # the counter takes `factor` times its latency for `for_s`
    "counter_silent",  # the counter answers nothing for `for_s`
    "counter_wipe",  # the counter loses all totals
    "counter_split",  # the counter splits into two parts with separate totals for `for_s`
    "discovery_silent",  # discovery answers nothing for `for_s`
    "discovery_late",  # discovery publishes changes after `factor` seconds for `for_s`
    "discovery_half",  # complete lists have only `share` of the servers for `for_s`
    "discovery_bears",  # discovery accepts only `factor` calls per second for `for_s`
    "flood",  # the customers of `plan` send `factor` times the requests for `for_s`
]
NEEDS_WHO = {
    "vanish",
    "kill",
    "stop",
    "term",
    "hup",
    "cut",
    "reset",
    "delay",
    "list",
    "slow",
    "fail",
}


class Fault(StrictStruct):
    """One fault of the timeline. `who` and `other` hold names: `limiters`, `servers`, `clients`,
    `zone` (limiters and servers), each for all zones or with `:ZONE` for one; `l0`, `s3`,
    `counter`, `discovery`.
    """

    at: Seconds
    do: FaultKind
    # `told`: the fault waits until discovery has sent a list to each limiter of `who`
    once: Literal["", "told"] = ""
    who: list[str] = msgspec.field(default_factory=list)
    # the other ends of the paths; empty for all nodes except `who`
    other: list[str] = msgspec.field(default_factory=list)
    way: Literal["both", "to", "from"] = "both"  # what is cut: data to `who`, from `who`, or both
    for_s: Seconds = 0.0
    # for `vanish`: seconds until discovery publishes that the servers have left; negative for never
    told_s: float = -1.0
    factor: Positive = 2.0
    share: Share = 0.5
    phase: Literal["active", "leaving", "left"] = "leaving"
    plan: str = ""
    text: str = ""


class Bound(StrictStruct):
    """Limits on a figure of the rehearsal, measured over a span.

    The worth of requests is the sum of the values of those within their quota.
    """

    what: Literal[
        "worth",  # worth served within the response target, as a share of the offered worth
        "of_best",  # the same, as a share of the worth that the running servers could have served
        "passed",  # number of requests with this answer, by time of arrival; also the next two
        "denied",
        "aborted",
        "taken",  # number of requests that arrived
        "ran",  # number of attempts that servers began to execute
        "moves",  # number of state changes of zones that limiters logged
        "ready_s",  # longest time from a limiter's start until it was ready, in the whole rehearsal
        "list_calls",  # number of calls to discovery
    ]
    since: Seconds = 0.0
    until: Seconds = 0.0  # 0 for the end
    frontend: str = ""  # for `worth`: only requests of this frontend
    zone: str = ""  # for `ran`: only attempts at servers of this zone
    at_least: float | None = None
    at_most: float | None = None


class Rehearsal(StrictStruct):
    """A scenario of a rehearsal."""

    name: str
    seconds: Positive = 30.0
    seed: int = 0
    fleet: Fleet = msgspec.field(default_factory=Fleet)
    counter: emulator_scenario.Counter = msgspec.field(default_factory=emulator_scenario.Counter)
    discovery: Discovery = msgspec.field(default_factory=Discovery)
    load: Load = msgspec.field(default_factory=Load)
    known: bool = True  # whether the configuration of limiters has a list of the servers
    plan: str = ""  # path of a site plan relative to the scenario file; empty for none
    frontends: Annotated[list[Frontend], Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: [Frontend(name="look")]
    )
    plans: Annotated[list[Plan], Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: [Plan(name="basic", rate=10.0, burst=20.0)]
    )
    faults: list[Fault] = msgspec.field(default_factory=list)
    bounds: list[Bound] = msgspec.field(default_factory=list)
    # values that --quick sets, with dotted keys for values in tables
    quick: dict[str, object] = msgspec.field(default_factory=dict)

    def __post_init__(self) -> None:
        fleet = self.fleet
        for kind in ("plans", "frontends"):
            names = [p.name for p in getattr(self, kind)]
            if len(set(names)) != len(names):
                raise ScenarioError(f"key '{kind}': two {kind} have the same name")
        if fleet.peers and not fleet.shared:
            raise ScenarioError(
                "key 'fleet.shared': must be true with fleet.peers, so that limiters exchange "
                "addresses that are valid for all of them"
            )
        for n, plan in enumerate(self.plans):
            if plan.spread > fleet.limiters:
                raise ScenarioError(
                    f"key 'plans[{n}].spread': exceeds fleet.limiters, {fleet.limiters}"
                )
        for n, fault in enumerate(self.faults):
            prefix = f"key 'faults[{n}]"
            if fault.do in NEEDS_WHO and not fault.who:
                raise ScenarioError(f"{prefix}.who': {fault.do} needs at least one node")
            targets = {x for name in fault.who for x in nodes(fleet, name)}
            if fault.once and not (targets and targets <= set(nodes(fleet, "limiters"))):
                raise ScenarioError(f"{prefix}.once': discovery sends lists only to limiters")
            if fault.do == "flood" and fault.plan not in [p.name for p in self.plans]:
                raise ScenarioError(
                    f"{prefix}.plan': '{fault.plan}' is not a plan of this scenario"
                )
            for key in ("who", "other"):
                for name in getattr(fault, key):
                    if not nodes(fleet, name):
                        raise ScenarioError(f"{prefix}.{key}': there is no '{name}'")
            if fault.do in ("vanish", "kill", "stop", "term"):
                processes = {self.process(x) for name in fault.who for x in nodes(fleet, name)}
                chosen = {x for name in fault.who for x in nodes(fleet, name)}
                for group in ("servers", "limiters"):
                    for x in nodes(fleet, group):
                        if self.process(x) in processes and x not in chosen:
                            raise ScenarioError(
                                f"{prefix}.who': {x} runs in the same process and is not in 'who'; "
                                "set fleet.apart = true"
                            )
        for n, bound in enumerate(self.bounds):
            if bound.frontend and bound.frontend not in [f.name for f in self.frontends]:
                raise ScenarioError(f"key 'bounds[{n}].frontend': there is no '{bound.frontend}'")
            if bound.at_least is None and bound.at_most is None:
                raise ScenarioError(f"key 'bounds[{n}]': needs at_least or at_most")

    def process(self, node: str) -> str:
        """The name of the process that runs a node."""
        if node[0] == "s" and not self.fleet.apart:
            return f"servers:{self.fleet.zones[zone_of(self.fleet, node)]}"
        return "drivers" if node.startswith("clients") else node


def zone_of(fleet: emulator_scenario.Fleet, node: str) -> int:
    """The index of the zone of a limiter or server (`l3`, `s7`)."""
    count = fleet.limiters if node[0] == "l" else fleet.servers
    return int(node[1:]) * len(fleet.zones) // count


def nodes(fleet: emulator_scenario.Fleet, name: str) -> list[str]:
    """The nodes that a name in `who` or `other` selects; empty for an unknown name."""
    kind, _, zone = name.partition(":")
    if zone and zone not in fleet.zones:
        return []
    zones = range(len(fleet.zones)) if not zone else [fleet.zones.index(zone)]
    limiters = [x for n in range(fleet.limiters) if zone_of(fleet, x := f"l{n}") in zones]
    servers = [x for n in range(fleet.servers) if zone_of(fleet, x := f"s{n}") in zones]
    clients = [f"clients:{fleet.zones[z]}" for z in zones]
    groups = {
        "limiters": limiters,
        "servers": servers,
        "clients": clients,
        "zone": limiters + servers,
    }
    if kind in groups:
        return groups[kind]
    every = [*nodes(fleet, "zone"), "counter", "discovery"] if not zone and kind != "zone" else []
    return [name] if name in every else []


def load(path: str, quick: bool = False, sets: dict[str, object] | None = None) -> Rehearsal:
    """Reads a scenario file.

    Args:
        path: The file.
        quick: Whether to set the values of its table `quick`.
        sets: Values to set after that, by dotted key.

    Raises:
        ScenarioError: The scenario is invalid; names the file and the key.
    """
    table = emulator_scenario.read_toml(path)
    quick_values = table.get("quick", {})
    try:
        if quick and not isinstance(quick_values, dict):
            raise ScenarioError("key 'quick': Expected a table")
        return emulator_scenario.from_table(
            emulator_scenario.with_values(
                table, {**(quick_values if quick else {}), **(sets or {})}
            ),
            Rehearsal,
        )
    except ScenarioError as error:
        raise ScenarioError(f"{path}: {error}") from None


def read_site_plan(rehearsal: Rehearsal, path: str) -> bytes:
    """Reads the site plan of the scenario at `path`; empty if it has none. Raises ScenarioError."""
    if not rehearsal.plan:
        return b""
    try:
        return (Path(path).parent / rehearsal.plan).read_bytes()
    except OSError as error:
        raise ScenarioError(f"{path}: key 'plan': {rehearsal.plan}: {error.strerror}") from None
