"""A rehearsal's scenario: the fleet, its traffic, a timeline of faults and the bounds, from TOML,
checked.

The tables for fleet, frontends, plans and counter are the lab's (`lab/scenario.py`), so that one
description can be played in simulated time and on processes. A fault names its key:
`ScenarioError("key 'faults[2].who': ...")`. Times are seconds from the first traffic, or
milliseconds where the key ends in `_ms`.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from loomstand.testing.emulator import scenario as lab
from loomstand.testing.emulator.scenario import (
    Count,
    Positive,
    ScenarioError,
    Seconds,
    Share,
    StrictStruct,
)

SHARED = "any"  # the near end of a path that all limiters share


class Frontend(lab.Frontend):
    """The lab's, with work drawn evenly between (1 - spread) and (1 + spread) times `work_ms`."""

    work_spread: Share = 0.2


class Plan(lab.Plan):
    """The lab's, with the set of each of its customers."""

    spread: Count = 0  # limiters in a customer's set; 0 for all of them


class Fleet(lab.Fleet):
    """The lab's, with what only sockets have. Zones hold limiters and servers of neighbouring
    numbers.
    """

    connections: Count = 0  # that a server holds at most; 0 for no limit
    peers: bool = False  # limiters know of each other (docs/peers.md)
    # one path to each server for all limiters, and so one address; peers need it
    shared: bool = False
    cold: bool = False  # servers have just started as the rehearsal begins, else long ago
    apart: bool = False  # each server a process of its own, else one process a zone
    sockets: Annotated[int, Meta(ge=48)] = 512  # what a limiter may hold
    connect_timeout_ms: Positive = 250.0


class Discovery(StrictStruct):
    late_s: Seconds = 0.1  # how long after a change it is told
    bears: Seconds = 0.0  # calls a second; further ones get 503; 0 for any number


class Load(StrictStruct):
    """How clients and the front in front of the limiters behave."""

    notice_s: Positive = 1.0  # a limiter that answers no health call for so long gets no more reqs
    retry: Share = 0.0  # share of denied reqs that come again, marked
    retry_after_ms: Seconds = 200.0
    drivers: Annotated[int, Meta(ge=1, le=8)] = 1  # processes


Do = Literal[
    # `who` falls silent, then dies; back cold after `for_s`; the list says so after `told_s`
    "vanish",
    "kill",  # SIGKILL; started again after `for_s`
    "stop",  # SIGSTOP; SIGCONT after `for_s`
    "term",  # SIGTERM; started again after `for_s`
    "hup",  # SIGHUP to limiters; with `text` their plan file holds that first
    "cut",  # paths between `who` and `other` fall silent for `for_s`, both ways, or one (`way`)
    "reset",  # connections on these paths break
    "delay",  # these paths take `factor` milliseconds more, one way, for `for_s`
    "list",  # discovery says `phase` of the servers in `who`; `active` again after `for_s`
    "slow",  # servers work `factor` times as long for `for_s`
    "fail",  # servers answer 500 to `share` of what they ran, for `for_s`
    "counter_slow",  # `factor` times its latency for `for_s`
    "counter_silent",
    "counter_wipe",
    "counter_split",  # into two parts that don't see each other's adds
    "discovery_silent",
    "discovery_late",  # `factor` seconds
    "discovery_half",  # whole lists hold only `share` of the servers
    "discovery_bears",  # `factor` calls a second
    "flood",  # the customers of `plan` ask `factor` times as much for `for_s`
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
    """One step of the timeline. `who` and `other` hold names: `limiters`, `servers`, `clients`,
    `zone` (both of the first two), each with `:ZONE` or for all; `l0`, `s3`, `counter`,
    `discovery`.
    """

    at: Seconds
    do: Do
    # `told`: and not before discovery has told each limiter of `who` a list
    once: Literal["", "told"] = ""
    who: list[str] = msgspec.field(default_factory=list)
    other: list[str] = msgspec.field(
        default_factory=list
    )  # the far ends of the paths; empty for all but `who` itself
    way: Literal["both", "to", "from"] = "both"  # what does not pass: to `who`, or from it
    for_s: Seconds = 0.0
    told_s: float = -1.0  # for `vanish`: seconds until the list says it; below 0 for never
    factor: Positive = 2.0
    share: Share = 0.5
    phase: Literal["active", "leaving", "left"] = "leaving"
    plan: str = ""
    text: str = ""


class Bound(StrictStruct):
    """Something that a span of the run must show."""

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
    zone: str = ""  # for `ran`: reqs that servers of this zone began
    at_least: float | None = None
    at_most: float | None = None


class Rehearsal(StrictStruct):
    """A whole rehearsal."""

    name: str
    seconds: Positive = 30.0
    seed: int = 0
    fleet: Fleet = msgspec.field(default_factory=Fleet)
    counter: lab.Counter = msgspec.field(default_factory=lab.Counter)
    discovery: Discovery = msgspec.field(default_factory=Discovery)
    load: Load = msgspec.field(default_factory=Load)
    known: bool = True  # whether limiters start with the list
    plan: str = ""  # a site plan's file, beside the scenario; empty for none
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
    )  # keys set instead by --quick, dotted where they are within a table

    def __post_init__(self) -> None:
        fleet = self.fleet
        for kind in ("plans", "frontends"):
            names = [p.name for p in getattr(self, kind)]
            if len(set(names)) != len(names):
                raise ScenarioError(f"key '{kind}': two have the same name")
        if fleet.peers and not fleet.shared:
            raise ScenarioError(
                "key 'fleet.shared': peers hand on lists, whose addresses must hold for all"
            )
        for n, plan in enumerate(self.plans):
            if plan.spread > fleet.limiters:
                raise ScenarioError(
                    f"key 'plans[{n}].spread': more than fleet.limiters, {fleet.limiters}"
                )
        for n, fault in enumerate(self.faults):
            where = f"key 'faults[{n}]"
            if fault.do in NEEDS_WHO and not fault.who:
                raise ScenarioError(f"{where}.who': {fault.do} needs somebody")
            whom = {x for name in fault.who for x in nodes(fleet, name)}
            if fault.once and not (whom and whom <= set(nodes(fleet, "limiters"))):
                raise ScenarioError(f"{where}.once': discovery tells limiters alone")
            if fault.do == "flood" and fault.plan not in [p.name for p in self.plans]:
                raise ScenarioError(f"{where}.plan': '{fault.plan}' is not a plan of this scenario")
            for key in ("who", "other"):
                for name in getattr(fault, key):
                    if not nodes(fleet, name):
                        raise ScenarioError(f"{where}.{key}': there is no '{name}'")
            if fault.do in ("vanish", "kill", "stop", "term"):
                part = {self.process(x) for name in fault.who for x in nodes(fleet, name)}
                whole = {x for name in fault.who for x in nodes(fleet, name)}
                for other in ("servers", "limiters"):
                    for x in nodes(fleet, other):
                        if self.process(x) in part and x not in whole:
                            raise ScenarioError(
                                f"{where}.who': {x} shares a process with it; set fleet.apart = "
                                "true"
                            )
        for n, bound in enumerate(self.bounds):
            if bound.frontend and bound.frontend not in [f.name for f in self.frontends]:
                raise ScenarioError(f"key 'bounds[{n}].frontend': there is no '{bound.frontend}'")
            if bound.at_least is None and bound.at_most is None:
                raise ScenarioError(f"key 'bounds[{n}]': needs at_least or at_most")

    def process(self, node: str) -> str:
        """The process that a node lives in."""
        if node[0] == "s" and not self.fleet.apart:
            return f"servers:{self.fleet.zones[zone_of(self.fleet, node)]}"
        return "drivers" if node.startswith("clients") else node


def zone_of(fleet: lab.Fleet, node: str) -> int:
    """The number of the zone in which a limiter or server (`l3`, `s7`) stands."""
    many = fleet.limiters if node[0] == "l" else fleet.servers
    return int(node[1:]) * len(fleet.zones) // many


def nodes(fleet: lab.Fleet, name: str) -> list[str]:
    """The nodes that a name in `who` means; none where there is no such."""
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
    """The rehearsal in a file, with `quick` in its short form, and with dotted keys set. Raises
    ScenarioError naming the file and the key.
    """
    table = lab.table_of(path)
    short = table.get("quick", {})
    try:
        if quick and not isinstance(short, dict):
            raise ScenarioError("key 'quick': Expected a table")
        return lab.from_table(
            lab.with_values(table, {**(short if quick else {}), **(sets or {})}), Rehearsal
        )
    except ScenarioError as why:
        raise ScenarioError(f"{path}: {why}") from None


def plan_of(told: Rehearsal, path: str) -> bytes:
    """The text of the site plan that a rehearsal names, beside its own file; empty where it names
    none.
    """
    if not told.plan:
        return b""
    try:
        return (Path(path).parent / told.plan).read_bytes()
    except OSError as why:
        raise ScenarioError(f"{path}: key 'plan': {told.plan}: {why.strerror}") from None
