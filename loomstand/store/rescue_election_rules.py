"""What decides the election of a rescue. No disk, network or clock."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from random import Random

from loomstand.store.election_rules import ElectionRules
from loomstand.store.planning import Action, ActionKind
from loomstand.store.record import VersionedData
from loomstand.store.replica import Replica
from loomstand.store.rescue import RescueCase
from loomstand.store.timing import VOTER_COUNT
from loomstand.store.views import EPOCH_RANGE, Member, View

# Where in its range a rescue's epoch falls is drawn from the first so many, so that two rescues on
# both sides of a partition, which operators shouldn't make, don't have one epoch: the higher view
# prevails once they meet.
DRAWN_EPOCHS = EPOCH_RANGE // 10


@dataclass(frozen=True, slots=True)
class RescueElectionRules(ElectionRules):
    """An election for which all in reach must promise, in the place of electors that are no more.

    That all of them do bars two rescues from one reach: where two overlap, one doesn't get a
    promise, or its writes. A grant that stands somewhere in reach keeps its giver from promising:
    no primary is passed over.

    Attributes:
        case: What was found.
        configuration: The newest that the candidate holds.
        drawn: Where in its range the epoch falls.
    """

    case: RescueCase
    configuration: VersionedData
    drawn: int

    def next_epoch(self, highest_epoch: int) -> int:
        """The epoch to stand for, in the next range above all that is known in reach."""
        known_epoch = max(highest_epoch, self.case.highest_epoch())
        return (known_epoch // EPOCH_RANGE + 1) * EPOCH_RANGE + self.drawn

    def electors(self, replica: Replica) -> list[Member]:  # noqa: ARG002
        """All members in reach."""
        return [report.member for report in self.case.reachable()]

    def has_quorum(self, replica: Replica, member_ids: Collection[str]) -> bool:
        """Whether all in reach promised."""
        return all(member.id in member_ids for member in self.electors(replica))

    def own_configuration(self, replica: Replica) -> VersionedData | None:  # noqa: ARG002
        """The newest that the candidate holds, of whatever source."""
        return self.configuration

    def may_be_backup(self, member: Member, promised_ids: Collection[str]) -> bool:
        """Whether it promised: an old disk that has just come back may still grant a lease."""
        return member.id in promised_ids

    def new_view(
        self,
        replica: Replica,
        epoch: int,
        backup: Member | None,
        promised_ids: Collection[str],  # noqa: ARG002
    ) -> View:
        """The view to install, of members in reach."""
        data_members = [replica.member, *([backup] if backup else [])]
        others = [m for m in self.electors(replica) if m not in data_members]
        voters = tuple([*data_members, *others][:VOTER_COUNT])
        return View(epoch, replica.member, backup, voters, (), epoch)


def make_rescue_rules(
    case: RescueCase, configuration: VersionedData, rng: Random
) -> RescueElectionRules:
    """The rules for a candidate that holds `configuration`."""
    lost_hosts = " ".join(member.address[0] for member in case.lost_members()) or "nobody known"
    action = Action(ActionKind.RESCUE, f"operators gave up {lost_hosts}")
    return RescueElectionRules(action, case.view, case, configuration, rng.randrange(DRAWN_EPOCHS))
