"""What decides a campaign, without its calls: whose promises, whose data, which view.

Apart from campaign.py so that the model_checker drives these very decisions through all orders of
events.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from loomstand.store.replica import VOTERS, Plan, Replica
from loomstand.store.views import MARGIN, Member, View

Held = tuple[int, bytes]  # a version and its data


@dataclass(frozen=True, slots=True)
class Ballot:
    plan: Plan
    base: View | None  # which the new view is to follow; None for the first of all

    def outdated(self, replica: Replica) -> bool:
        """Whether a view newer than the base has shown up: its electors must be asked, not the
        base's.
        """
        known = replica.base()
        return known is not None and (self.base is None or known.epoch > self.base.epoch)

    def electors(self, replica: Replica) -> list[Member]:
        if self.base is not None:
            return list(self.base.electors().values())
        peers = ((a, replica.peers.get(a)) for a in replica.seeds)
        return [Member(p.id, a) for a, p in peers if p is not None and p.id and p.founder]

    def epoch(self, known: int) -> int | None:
        """The epoch to stand for, `known` being the highest that was promised as far as is known.

        None if that is above a rescue's: whoever promised that one has given up the base for good.
        """
        rescue = self.base.rescue if self.base else 0
        return known + 1 if (known + 1) // MARGIN == rescue // MARGIN else None

    def agreed(self, replica: Replica, ids: Collection[str]) -> bool:
        """Whether the promises of `ids` are enough."""
        if self.base is not None:
            return self.base.agreed(ids)
        return len(ids) * 2 > len(replica.seeds)

    def won(self, replica: Replica, ids: Collection[str]) -> bool:
        return not self.outdated(replica) and self.agreed(replica, ids)

    def own(self, replica: Replica) -> Held | None:
        """What this member holds of the base by itself; None if it has to be fetched."""
        if self.base is None:
            return 0, b""
        return (
            (replica.record.version, replica.record.data)
            if self.base.holds(replica.me.id)
            else None
        )

    def sources(self) -> list[Member]:
        """Whom to ask for the data, in this order; the first answer will do."""
        both = (self.base.backup, self.base.primary) if self.base else ()
        return [m for m in both if m is not None]

    def prevails(self, replica: Replica, held: Held | None) -> Held | None:
        """What the view before had in force, or may have."""
        if held is not None and replica.version > held[0]:
            return replica.version, replica.data  # both disks lost it, but it was in force
        return held

    def takes(self, backup: Member, promised: Collection[str]) -> bool:
        """Whether it may be the backup, once those have promised."""
        return True

    def view(
        self, replica: Replica, epoch: int, backup: Member | None, promised: Collection[str]
    ) -> View:
        """The view to install once `backup` has the data."""
        voters = self.plan.voters if self.base else self._founders(replica, promised)
        rescue = self.base.rescue if self.base else 0
        return View(epoch, replica.me, backup, voters, self.plan.former, rescue)

    def _founders(self, replica: Replica, promised: Collection[str]) -> tuple[Member, ...]:
        seeds = [m for m in self.electors(replica) if m.id in promised]
        seeds.sort(key=lambda m: m.address)
        return (replica.me, *seeds[: VOTERS - 1])
