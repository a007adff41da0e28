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
    """The servers and limiters of a zone."""

    name: str
    servers: Annotated[int, Meta(ge=0)]
    slots: Annotated[int, Meta(ge=1)]  # requests that a server processes at once
    limiters: Annotated[int, Meta(ge=0)] = 0  # in the zone, so lost together with it


class FrontendDemand(StrictStruct):
    """The load on a frontend that the plan is made for."""

    frontend: str
    rate: Positive  # requests/s over all zones
    work_ms: Positive  # processing time of a request at an idle server
    value: Positive = 1.0  # of a request, relative to others
    plan: str = ""  # quota plan of the customers; empty for all customers


class SheddingRule(StrictStruct):
    """Selects the requests of one rank by all of its keys. An empty key matches any request."""

    name: str
    frontends: list[str] = msgspec.field(default_factory=list)
    plans: list[str] = msgspec.field(default_factory=list)
    retries: bool = False  # only requests that the client marked as retries
    beyond: bool = False  # only requests of customers over their quota

    def matches(self, frontend: str, plan: str, is_retry: bool, is_over_quota: bool) -> bool:
        """Returns whether a request of a frontend and a quota plan matches all keys of the rule."""
        is_listed = (not self.frontends or frontend in self.frontends) and (
            not self.plans or plan in self.plans
        )
        return is_listed and (is_retry or not self.retries) and (is_over_quota or not self.beyond)


class ProtectedTraffic(SheddingRule):
    """Selects the requests that must not be refused; `share` of the window is reserved for them."""

    name: str = "keep"
    share: Share = 0.2


class ZonePlan(StrictStruct):
    """A zone plan. Requests that match the first entry of `refuse` are refused first."""

    refuse: Annotated[list[SheddingRule], Meta(min_length=1)]
    keep: ProtectedTraffic | None = None
    zones: list[ZoneCapacity] = msgspec.field(default_factory=list)
    demand: list[FrontendDemand] = msgspec.field(default_factory=list)
    fill: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.9  # usable share of the remaining slots

    def __post_init__(self) -> None:
        names = [z.name for z in self.zones]
        for index, name in enumerate(names):
            if name in names[:index]:
                raise PlanError(f"key 'zones[{index}].name': '{name}' occurs twice")
        rule_names = [r.name for r in self.refuse]
        for index, name in enumerate(rule_names):
            if name in rule_names[:index]:
                raise PlanError(f"key 'refuse[{index}].name': '{name}' occurs twice")

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
            index
            for index, rule in enumerate(self.refuse)
            if rule.matches(frontend, plan, is_retry, is_over_quota)
        )
        return next(matching, len(self.refuse))


def parse(table: dict, frontends: Sequence[str] = (), plans: Sequence[str] = ()) -> ZonePlan:
    """Converts a TOML table to a plan.

    Args:
        table: The table.
        frontends: The frontends that the plan may name; empty to allow any.
        plans: The quota plans that it may name; empty to allow any.

    Raises:
        PlanError: The table is not a valid plan. The message names the key.
    """
    plan = convert_table(table, ZonePlan)
    rules = [(f"refuse[{index}]", rule) for index, rule in enumerate(plan.refuse)]
    rules += [("keep", plan.keep)] if plan.keep else []
    for path, rule in rules:
        for key, valid_names in (("frontends", frontends), ("plans", plans)):
            for index, name in enumerate(getattr(rule, key)):
                if valid_names and name not in valid_names:
                    raise PlanError(
                        f"key '{path}.{key}[{index}]': there is no '{name}' in the settings"
                    )
    for index, entry in enumerate(plan.demand):
        if frontends and entry.frontend not in frontends:
            raise PlanError(
                f"key 'demand[{index}].frontend': there is no '{entry.frontend}' in the settings"
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


# Forecast.


@dataclass(slots=True, frozen=True)
class RankForecast:
    """Demand and admitted load of a rank.

    Attributes:
        rank: The rank; 0 is refused first.
        name: Name of the rule that selects its requests.
        demand_slots: Mean number of slots that all its requests would occupy.
        admitted_slots: Mean number of slots that its admitted requests occupy.
    """

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
    """The effects of the loss of a zone, or the normal load if no zone is lost.

    Attributes:
        lost: Name of the lost zone; empty for none.
        usable_slots: Slots of the remaining zones that the plan allows to fill.
        demand_slots: Mean number of slots that all requests would occupy.
        utilization: Share of the remaining zones' slots that the admitted load occupies.
        moved_slots: Slots that the lost zone's load needs in each remaining zone, by zone name.
        ranks: The forecast of each rank that has demand.
        admitted_value_share: Share of the value of all requests that is admitted.
        missing_servers: Servers to add for the requests that must not be refused.
        missing_servers_for_all: Servers to add for all requests.
    """

    lost: str
    usable_slots: float
    demand_slots: float
    utilization: float
    moved_slots: dict[str, float]
    ranks: tuple[RankForecast, ...]
    admitted_value_share: float
    missing_servers: int
    missing_servers_for_all: int


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
    for entry in plan.demand:
        rank = plan.rank(entry.frontend, entry.plan, False, False)
        demand[rank] += entry.rate * entry.work_ms / 1000
        value[rank] += entry.rate * entry.value
    admitted = [0.0] * plan.rank_count()
    unassigned = usable
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
        RankForecast(rank, names[rank], demand[rank], admitted[rank])
        for rank in range(plan.rank_count())
        if demand[rank] > 0
    )
    total_slots = sum(z.servers * z.slots for z in plan.zones)
    moved = sum(demand) * (1 - slots / total_slots) if total_slots else 0.0
    moved_by_zone = (
        {z.name: moved * z.servers * z.slots / slots for z in remaining_zones} if slots else {}
    )
    slots_per_server = plan.fill * max((z.slots for z in plan.zones), default=1)
    # demand that must not be refused: of `keep`, else of the last rank that has any
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
