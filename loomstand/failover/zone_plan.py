"""The zone plan: the capacity of each zone, the load shedding order, and a forecast from both.

Operators write the plan as a TOML file; an error names its key (`PlanError`). All limiters with the
same file shed load in the same order.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil
from typing import Annotated

import msgspec
from msgspec import Meta

from loomstand.config.toml_tables import StrictStruct, TableError, convert_table, read_toml

PlanError = TableError
Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, Meta(gt=0.0)]


class ZoneCapacity(StrictStruct):
    """What a zone contains."""

    name: str
    servers: Annotated[int, Meta(ge=0)]
    slots: Annotated[int, Meta(ge=1)]  # requests that a server processes at once
    limiters: Annotated[int, Meta(ge=0)] = 0  # located in the zone and lost with it


class FrontendDemand(StrictStruct):
    """The load on a frontend at the time that the plan is made for."""

    frontend: str
    rate: Positive  # requests/s over all zones
    work_ms: Positive  # processing time of a request at an idle server
    value: Positive = 1.0  # of a request, relative to others
    plan: str = ""  # the customers' plan; empty for all customers


class SheddingRule(StrictStruct):
    """Selects the requests of one rank by all of its keys. An empty key matches any request."""

    name: str
    frontends: list[str] = msgspec.field(default_factory=list)
    plans: list[str] = msgspec.field(default_factory=list)
    retries: bool = False  # only requests marked as a client's retry
    beyond: bool = False  # only requests of customers over their quota

    def matches(self, frontend: str, plan: str, is_retry: bool, is_over_quota: bool) -> bool:
        is_named = (not self.frontends or frontend in self.frontends) and (
            not self.plans or plan in self.plans
        )
        return is_named and (is_retry or not self.retries) and (is_over_quota or not self.beyond)


class ProtectedTraffic(SheddingRule):
    """Selects the requests that must not be refused, and reserves a share of the window."""

    name: str = "keep"
    share: Share = 0.2


class ZonePlan(StrictStruct):
    """A complete plan. Requests of the first entry of `refuse` are refused first."""

    refuse: Annotated[list[SheddingRule], Meta(min_length=1)]
    keep: ProtectedTraffic | None = None
    zones: list[ZoneCapacity] = msgspec.field(default_factory=list)
    demand: list[FrontendDemand] = msgspec.field(default_factory=list)
    fill: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.9  # usable share of the remaining slots

    def __post_init__(self) -> None:
        names = [z.name for z in self.zones]
        for n, name in enumerate(names):
            if name in names[:n]:
                raise PlanError(f"key 'zones[{n}].name': '{name}' occurs twice")
        rule_names = [r.name for r in self.refuse]
        for n, name in enumerate(rule_names):
            if name in rule_names[:n]:
                raise PlanError(f"key 'refuse[{n}].name': '{name}' occurs twice")

    def rank_count(self) -> int:
        """Returns the number of ranks: those of `refuse`, unmatched requests and `keep`."""
        return len(self.refuse) + 2

    def rank(self, frontend: str, plan: str, is_retry: bool, is_over_quota: bool) -> int:
        """Returns the rank of a request; 0 is refused first.

        Requests that match `keep` have the last rank. For others the first matching entry of
        `refuse` counts; requests that match none are refused after all entries.
        """
        if self.keep is not None and self.keep.matches(frontend, plan, is_retry, is_over_quota):
            return len(self.refuse) + 1
        matching = (
            n
            for n, r in enumerate(self.refuse)
            if r.matches(frontend, plan, is_retry, is_over_quota)
        )
        return next(matching, len(self.refuse))


def parse(table: dict, frontends: Sequence[str] = (), plans: Sequence[str] = ()) -> ZonePlan:
    """Converts a TOML table to a plan.

    Args:
        table: The table.
        frontends: The frontends that the plan may name; empty to allow any.
        plans: The customers' plans that it may name; empty to allow any.

    Raises:
        PlanError: The table is not a valid plan. The message names the key.
    """
    plan = convert_table(table, ZonePlan)
    rules = [(f"refuse[{n}]", r) for n, r in enumerate(plan.refuse)]
    rules += [("keep", plan.keep)] if plan.keep else []
    for path, rule in rules:
        for key, valid_names in (("frontends", frontends), ("plans", plans)):
            for n, name in enumerate(getattr(rule, key)):
                if valid_names and name not in valid_names:
                    raise PlanError(
                        f"key '{path}.{key}[{n}]': there is no '{name}' in the settings"
                    )
    for n, d in enumerate(plan.demand):
        if frontends and d.frontend not in frontends:
            raise PlanError(
                f"key 'demand[{n}].frontend': there is no '{d.frontend}' in the settings"
            )
    return plan


def load(path: str, frontends: Sequence[str] = (), plans: Sequence[str] = ()) -> ZonePlan:
    """Reads a plan from a file; see `parse`.

    Raises:
        PlanError: The file can't be used. The message names the file and the key.
    """
    table = read_toml(path)
    try:
        return parse(table, frontends, plans)
    except PlanError as error:
        raise PlanError(f"{path}: {error}") from None


# forecast
# ---------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class RankForecast:
    """Demand and admitted load of a rank, both in slots."""

    rank: int
    name: str
    demand_slots: float
    admitted_slots: float

    @property
    def refused_share(self) -> float:
        """The share of the demand that is refused."""
        return 1 - self.admitted_slots / self.demand_slots if self.demand_slots else 0.0


@dataclass(slots=True, frozen=True)
class Forecast:
    """The effects of the loss of a zone, or of none."""

    lost: str
    usable_slots: float  # of the remaining zones
    demand_slots: float
    utilization: float  # share of the remaining slots in use by the admitted load
    moved_slots: dict[str, float]  # of the lost zone's load, by remaining zone
    ranks: tuple[RankForecast, ...]
    admitted_value_share: float  # share of the demanded value that is admitted
    missing_servers: int  # for the requests that must not be refused
    missing_servers_for_all: int  # for the whole demand


def forecast(plan: ZonePlan, lost: str) -> Forecast:
    """Computes the effects of the loss of a zone.

    The zone's load is distributed over the remaining zones by their capacity; load beyond their
    usable capacity is refused in the plan's order.

    Args:
        plan: The plan.
        lost: The name of the zone; empty for none.
    """
    remaining_zones = [z for z in plan.zones if z.name != lost]
    slots = sum(z.servers * z.slots for z in remaining_zones)
    usable = slots * plan.fill
    demand = [0.0] * plan.rank_count()
    value = [0.0] * plan.rank_count()
    for d in plan.demand:
        rank = plan.rank(d.frontend, d.plan, False, False)
        demand[rank] += d.rate * d.work_ms / 1000
        value[rank] += d.rate * d.value
    admitted, unassigned = [0.0] * plan.rank_count(), usable
    for rank in reversed(range(plan.rank_count())):  # the last rank is assigned first
        limit = unassigned
        if plan.keep is not None and rank < plan.rank_count() - 1:
            limit = min(
                unassigned,
                usable * (1 - plan.keep.share) - sum(admitted[rank + 1 : plan.rank_count() - 1]),
            )
        admitted[rank] = min(demand[rank], max(0.0, limit))
        unassigned -= admitted[rank]
    names = [r.name for r in plan.refuse] + ["the rest", plan.keep.name if plan.keep else "keep"]
    ranks = tuple(
        RankForecast(n, names[n], demand[n], admitted[n])
        for n in range(plan.rank_count())
        if demand[n] > 0
    )
    total_slots = sum(z.servers * z.slots for z in plan.zones)
    moved = sum(demand) * (1 - slots / total_slots) if total_slots else 0.0
    moved_by_zone = (
        {z.name: moved * z.servers * z.slots / slots for z in remaining_zones} if slots else {}
    )
    slots_per_server = plan.fill * max((z.slots for z in plan.zones), default=1)
    # demand that must not be refused: of `keep`, or without it of the last rank that has any
    protected = demand[-1] if plan.keep else next((d for d in reversed(demand) if d), 0.0)
    return Forecast(
        lost=lost,
        usable_slots=usable,
        demand_slots=sum(demand),
        utilization=sum(admitted) / slots if slots else 0.0,
        moved_slots=moved_by_zone,
        ranks=ranks,
        admitted_value_share=sum(
            v * a / d for v, a, d in zip(value, admitted, demand, strict=True) if d
        )
        / (sum(value) or 1.0),
        missing_servers=max(0, ceil((protected - usable) / slots_per_server - 1e-9)),
        missing_servers_for_all=max(0, ceil((sum(demand) - usable) / slots_per_server - 1e-9)),
    )
