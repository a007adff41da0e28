"""The site plan: what each zone is worth, and in which order reqs are refused; and what it
foretells.

A TOML file of the operators', checked; a fault names its key (`PlanError`). The same file at all
limiters gives the same order at all of them.
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


class Zone(StrictStruct):
    """What a zone has."""

    name: str
    servers: Annotated[int, Meta(ge=0)]
    slots: Annotated[int, Meta(ge=1)]  # reqs that one of its servers works on at once
    limiters: Annotated[int, Meta(ge=0)] = 0  # that stand in it, and are lost with it


class Demand(StrictStruct):
    """What a frontend's clients ask, at the time that the plan is made for."""

    frontend: str
    rate: Positive  # reqs a second, over all zones
    work_ms: Positive  # at a server with nothing else to do
    value: Positive = 1.0
    plan: str = ""  # only this plan's customers; empty for all


class Rank(StrictStruct):
    """Reqs that are refused together: those that all of its keys fit. What is empty fits any."""

    name: str
    frontends: list[str] = msgspec.field(default_factory=list)
    plans: list[str] = msgspec.field(default_factory=list)
    retries: bool = False  # only reqs marked as a client's retry
    beyond: bool = False  # only reqs of customers that ask more than their quota

    def fits(self, frontend: str, plan: str, retry: bool, beyond: bool) -> bool:
        named = (not self.frontends or frontend in self.frontends) and (
            not self.plans or plan in self.plans
        )
        return named and (retry or not self.retries) and (beyond or not self.beyond)


class Keep(Rank):
    """What must not be refused, and the share of the room that is kept for it."""

    name: str = "keep"
    share: Share = 0.2


class SitePlan(StrictStruct):
    """A whole plan. `refuse` is in order, the first to be refused first."""

    refuse: Annotated[list[Rank], Meta(min_length=1)]
    keep: Keep | None = None
    zones: list[Zone] = msgspec.field(default_factory=list)
    demand: list[Demand] = msgspec.field(default_factory=list)
    fill: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.9  # of the survivors' slots that work may take

    def __post_init__(self) -> None:
        names = [z.name for z in self.zones]
        for n, name in enumerate(names):
            if name in names[:n]:
                raise PlanError(f"key 'zones[{n}].name': '{name}' is there twice")
        ranks = [r.name for r in self.refuse]
        for n, name in enumerate(ranks):
            if name in ranks[:n]:
                raise PlanError(f"key 'refuse[{n}].name': '{name}' is there twice")

    def ranks(self) -> int:
        """How many ranks there are: those of `refuse`, the rest, and what is kept."""
        return len(self.refuse) + 2

    def rank(self, frontend: str, plan: str, retry: bool, beyond: bool) -> int:
        """The rank of a req, 0 for what is refused first. What `keep` fits has the last one; of
        `refuse` the first entry that fits counts; what none fits is refused after all of those.
        """
        if self.keep is not None and self.keep.fits(frontend, plan, retry, beyond):
            return len(self.refuse) + 1
        fitting = (n for n, r in enumerate(self.refuse) if r.fits(frontend, plan, retry, beyond))
        return next(fitting, len(self.refuse))


def parse(table: dict, frontends: Sequence[str] = (), plans: Sequence[str] = ()) -> SitePlan:
    """The plan in a table. Where names of frontends and plans are given, it may name no other.
    Raises PlanError naming the key.
    """
    plan = convert_table(table, SitePlan)
    places = [(f"refuse[{n}]", r) for n, r in enumerate(plan.refuse)]
    places += [("keep", plan.keep)] if plan.keep else []
    for where, rank in places:
        for key, known in (("frontends", frontends), ("plans", plans)):
            for n, name in enumerate(getattr(rank, key)):
                if known and name not in known:
                    raise PlanError(
                        f"key '{where}.{key}[{n}]': there is no '{name}' in the settings"
                    )
    for n, d in enumerate(plan.demand):
        if frontends and d.frontend not in frontends:
            raise PlanError(
                f"key 'demand[{n}].frontend': there is no '{d.frontend}' in the settings"
            )
    return plan


def load(path: str, frontends: Sequence[str] = (), plans: Sequence[str] = ()) -> SitePlan:
    """The plan in a file. Raises PlanError naming the file and the key."""
    table = read_toml(path)
    try:
        return parse(table, frontends, plans)
    except PlanError as why:
        raise PlanError(f"{path}: {why}") from None


# what it foretells
# ---------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Refused:
    """What of a rank is refused: slots asked for and slots given."""

    rank: int
    name: str
    asked: float
    given: float

    @property
    def share(self) -> float:
        return 1 - self.given / self.asked if self.asked else 0.0


@dataclass(slots=True, frozen=True)
class Forecast:
    """What the loss of a zone (or of none) means."""

    lost: str
    room: float  # slots that may be filled on what is left
    asked: float  # slots' worth of work that is asked for
    use: float  # of all slots that are left, by what is let in
    goes: dict[str, float]  # slots of the lost zone's work that each survivor takes
    ranks: tuple[Refused, ...]
    worth: float  # share of the worth asked for that is let in
    missing: int  # servers missing for what must not be refused, 0 where the fleet bears the loss
    missing_all: int  # servers missing for all that is asked


def forecast(plan: SitePlan, lost: str) -> Forecast:
    """The loss of a zone, `lost` empty for none: its work goes to the survivors by the room that
    each has, and what they have no room for is refused in the plan's order.
    """
    left = [z for z in plan.zones if z.name != lost]
    slots = sum(z.servers * z.slots for z in left)
    room = slots * plan.fill
    asked = [0.0] * plan.ranks()
    value = [0.0] * plan.ranks()
    for d in plan.demand:
        rank = plan.rank(d.frontend, d.plan, False, False)
        asked[rank] += d.rate * d.work_ms / 1000
        value[rank] += d.rate * d.value
    given, over = [0.0] * plan.ranks(), room
    for rank in reversed(range(plan.ranks())):  # what is refused last takes its room first
        most = over
        if plan.keep is not None and rank < plan.ranks() - 1:
            most = min(over, room * (1 - plan.keep.share) - sum(given[rank + 1 : plan.ranks() - 1]))
        given[rank] = min(asked[rank], max(0.0, most))
        over -= given[rank]
    names = [r.name for r in plan.refuse] + ["the rest", plan.keep.name if plan.keep else "keep"]
    ranks = tuple(
        Refused(n, names[n], asked[n], given[n]) for n in range(plan.ranks()) if asked[n] > 0
    )
    whole = sum(z.servers * z.slots for z in plan.zones)
    moved = sum(asked) * (1 - slots / whole) if whole else 0.0
    goes = {z.name: moved * z.servers * z.slots / slots for z in left} if slots else {}
    per = plan.fill * max((z.slots for z in plan.zones), default=1)
    # what must not be refused: what is kept, or where nothing is, the rank that is refused last
    must = asked[-1] if plan.keep else next((a for a in reversed(asked) if a), 0.0)
    return Forecast(
        lost=lost,
        room=room,
        asked=sum(asked),
        use=sum(given) / slots if slots else 0.0,
        goes=goes,
        ranks=ranks,
        worth=sum(v * g / a for v, g, a in zip(value, given, asked, strict=True) if a)
        / (sum(value) or 1.0),
        missing=max(0, ceil((must - room) / per - 1e-9)),
        missing_all=max(0, ceil((sum(asked) - room) / per - 1e-9)),
    )
