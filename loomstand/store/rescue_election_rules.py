"""The rules of a rescue's election. No disk, network or clock."""

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

# A rescue's epoch is drawn at random from this many at the start of its range. So two rescues on
# both sides of a partition, which would be an operator's error, get different epochs: the view with
# the higher epoch prevails once the partition ends.
EPOCH_OFFSET_RANGE = EPOCH_RANGE // 10


@dataclass(frozen=True, slots=True)
class RescueElectionRules(ElectionRules):
    """Rules that need the promises of all reachable members, as a quorum of electors is lost.

    As all of them must promise, two concurrent rescues among the same members can't both succeed:
    one of them lacks a promise, or its writes are refused. A reachable member with a valid grant
    doesn't promise, so a rescue doesn't depose a primary that may still serve.

    Attributes:
        case: The reports of the members that the rescue is based on.
        configuration: The newest configuration that the candidate has.
        epoch_offset: Random offset of the epoch in its range.
    """

    case: RescueCase
    configuration: VersionedData
    epoch_offset: int

    def next_epoch(self, highest_epoch: int) -> int:
        """The epoch to stand for, in the next range above all epochs that are known."""
        known_epoch = max(highest_epoch, self.case.highest_epoch())
        return (known_epoch // EPOCH_RANGE + 1) * EPOCH_RANGE + self.epoch_offset

    def electors(self, replica: Replica) -> list[Member]:  # noqa: ARG002
        """All reachable members."""
        return [report.member for report in self.case.reachable()]

    def has_quorum(self, replica: Replica, member_ids: Collection[str]) -> bool:
        """Whether all reachable members promised."""
        return all(member.id in member_ids for member in self.electors(replica))

    def own_configuration(self, replica: Replica) -> VersionedData | None:  # noqa: ARG002
        """The newest configuration that the candidate has, from any source."""
        return self.configuration

    def may_be_backup(self, member: Member, promised_ids: Collection[str]) -> bool:
        """Whether the member promised; one that just came back may have given a valid grant."""
        return member.id in promised_ids

    def new_view(
        self,
        replica: Replica,
        epoch: int,
        backup: Member | None,
        promised_ids: Collection[str],  # noqa: ARG002
    ) -> View:
        """The view to install, made up of reachable members."""
        data_members = [replica.member, *([backup] if backup else [])]
        others = [m for m in self.electors(replica) if m not in data_members]
        voters = tuple([*data_members, *others][:VOTER_COUNT])
        return View(epoch, replica.member, backup, voters, (), epoch)


def make_rescue_rules(
    case: RescueCase, configuration: VersionedData, rng: Random
) -> RescueElectionRules:
    """The rules for a candidate that has `configuration`."""
    lost_hosts = " ".join(member.address[0] for member in case.lost_members()) or "no known member"
    action = Action(ActionKind.RESCUE, f"operators gave up {lost_hosts}")
    return RescueElectionRules(
        action, case.view, case, configuration, rng.randrange(EPOCH_OFFSET_RANGE)
    )
