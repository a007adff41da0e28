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

SHARED = "any"  # in place of the limiter on a path that all limiters share


class Frontend(emulator_scenario.Frontend):
    """A frontend whose work is uniform between (1 - spread) and (1 + spread) times `work_ms`."""

    work_spread: Share = 0.2


class Plan(emulator_scenario.Plan):
    """A plan with the size of the limiter set of each customer."""

    spread: Count = 0  # limiters in a customer's set; 0 for all of them


class Fleet(emulator_scenario.Fleet):
    """A fleet with the properties that only sockets have. The limiters and servers of a zone have
    consecutive numbers.
    """

    connections: Count = 0  # limit of a server; 0 for none
    peers: bool = False  # whether limiters exchange lists (docs/peers.md)
    # whether all limiters use one path and so one address to each server; required by peers
    shared: bool = False
    cold: bool = False  # whether servers have just started when the rehearsal begins
    apart: bool = False  # whether each server has its own process; otherwise one for each zone
    sockets: Annotated[int, Meta(ge=48)] = 512  # limit of a limiter
    connect_timeout_ms: Positive = 250.0


class Discovery(StrictStruct):
    """How the stand-in for discovery behaves without faults."""

    late_s: Seconds = 0.1  # from a change to its publication
    bears: Seconds = 0.0  # accepted calls a second; others get 503; 0 for no limit


class Load(StrictStruct):
    """How the clients and the load balancer in front of the limiters behave."""

    # a limiter that has answered no health check for this time gets no more requests
    notice_s: Positive = 1.0
    retry: Share = 0.0  # share of denied requests that are sent again, marked as retries
    retry_after_ms: Seconds = 200.0
    drivers: Annotated[int, Meta(ge=1, le=8)] = 1  # number of driver processes


FaultKind = Literal[
    # cuts `who` off, then SIGKILL; restarted cold after `for_s`; listed as left after `told_s`
    "vanish",
    "kill",  # SIGKILL; started again after `for_s`
    "stop",  # SIGSTOP; SIGCONT after `for_s`
    "term",  # SIGTERM; started again after `for_s`
    "hup",  # SIGHUP to limiters, after `text`, if set, has been written to their plan file
    "cut",  # no data between `who` and `other` for `for_s`, in both directions or one (`way`)
    "reset",  # resets the connections on these paths
    "delay",  # adds `factor` ms to these paths in each direction for `for_s`
    "list",  # discovery publishes `phase` for the servers in `who`; `active` after `for_s`
    "slow",  # the work of servers takes `factor` times as long for `for_s`
    "fail",  # servers answer 500 to `share` of the requests they ran, for `for_s`
    "counter_slow",  # `factor` times its latency for `for_s`
    "counter_silent",
    "counter_wipe",
    "counter_split",  # into two parts with separate totals
    "discovery_silent",
    "discovery_late",  # `factor` seconds
    "discovery_half",  # whole lists hold only `share` of the servers
    "discovery_bears",  # `factor` calls a second
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
    # `told`: not before discovery has sent a list to each limiter of `who`
    once: Literal["", "told"] = ""
    who: list[str] = msgspec.field(default_factory=list)
    other: list[str] = msgspec.field(
        default_factory=list
    )  # the other ends of the paths; empty for all nodes except `who`
    way: Literal["both", "to", "from"] = "both"  # the direction that is cut: to `who` or from it
    for_s: Seconds = 0.0
    told_s: float = -1.0  # for `vanish`: seconds until discovery publishes it; negative for never
    factor: Positive = 2.0
    share: Share = 0.5
    phase: Literal["active", "leaving", "left"] = "leaving"
    plan: str = ""
    text: str = ""


class Bound(StrictStruct):
    """Limits on a figure of the rehearsal, measured over a span."""

    what: Literal[
        "worth",
        "of_best",
        "passed",
        "denied",
        "aborted",
        "taken",
        "ran",
        "moves",
        "ready_s",
        "list_calls",
    ]
    since: Seconds = 0.0
    until: Seconds = 0.0  # 0 for the end
    frontend: str = ""
    zone: str = ""  # for `ran`: requests started by servers of this zone
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
    known: bool = True  # whether limiters start with a list of the servers
    plan: str = ""  # path of a site plan relative to the scenario file; empty for none
    frontends: Annotated[list[Frontend], Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: [Frontend(name="look")]
    )
    plans: Annotated[list[Plan], Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: [Plan(name="basic", rate=10.0, burst=20.0)]
    )
    faults: list[Fault] = msgspec.field(default_factory=list)
    bounds: list[Bound] = msgspec.field(default_factory=list)
    quick: dict[str, object] = msgspec.field(
        default_factory=dict
    )  # values that --quick sets, with dotted keys for values in tables

    def __post_init__(self) -> None:
        fleet = self.fleet
        for kind in ("plans", "frontends"):
            names = [p.name for p in getattr(self, kind)]
            if len(set(names)) != len(names):
                raise ScenarioError(f"key '{kind}': two have the same name")
        if fleet.peers and not fleet.shared:
            raise ScenarioError(
                "key 'fleet.shared': peers exchange lists, whose addresses must hold for all"
            )
        for n, plan in enumerate(self.plans):
            if plan.spread > fleet.limiters:
                raise ScenarioError(
                    f"key 'plans[{n}].spread': more than fleet.limiters, {fleet.limiters}"
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
                                f"{prefix}.who': {x} shares a process with it; set fleet.apart = "
                                "true"
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
    """Reads a scenario file. `quick` applies its table of that name, `sets` further dotted keys.

    Raises:
        ScenarioError: The scenario is invalid; names the file and the key.
    """
    table = emulator_scenario.table_of(path)
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


def plan_of(rehearsal: Rehearsal, path: str) -> bytes:
    """Reads the site plan of the scenario at `path`; empty if it has none. Raises ScenarioError."""
    if not rehearsal.plan:
        return b""
    try:
        return (Path(path).parent / rehearsal.plan).read_bytes()
    except OSError as error:
        raise ScenarioError(f"{path}: key 'plan': {rehearsal.plan}: {error.strerror}") from None
