"""The rules of an election: the quorum of promises, the source of the configuration, the new view.

Separate from the calls (`election`), so that the model checker runs this code through all orders of
events. No disk, network or clock.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from loomstand.store.planning import Action
from loomstand.store.record import NO_CONFIGURATION, VersionedData
from loomstand.store.replica import Replica
from loomstand.store.timing import VOTER_COUNT
from loomstand.store.views import EPOCH_RANGE, Member, View


@dataclass(frozen=True, slots=True)
class ElectionRules:
    """The rules of one election of one candidate.

    Attributes:
        action: The action that the election carries out.
        base: The view that the new one succeeds, None for the first view of the store.
    """

    action: Action
    base: View | None

    def is_outdated(self, replica: Replica) -> bool:
        """Whether a view newer than the base is known, whose electors must be asked instead."""
        known_view = replica.newest_known_view()
        return known_view is not None and (self.base is None or known_view.epoch > self.base.epoch)

    def electors(self, replica: Replica) -> list[Member]:
        """The members that are asked for promises."""
        if self.base is not None:
            return list(self.base.electors().values())
        peers = ((address, replica.peers.by_address.get(address)) for address in replica.seeds)
        return [
            Member(peer.id, address)
            for address, peer in peers
            if peer is not None and peer.id and peer.is_founder
        ]

    def next_epoch(self, highest_epoch: int) -> int | None:
        """The epoch to stand for, given the highest promised epoch that is known.

        None if it isn't in the epoch range of the base: then a member has promised the epoch of a
        later rescue, which gave up the base for good.
        """
        rescue_epoch = self.base.rescue_epoch if self.base else 0
        epoch = highest_epoch + 1
        return epoch if epoch // EPOCH_RANGE == rescue_epoch // EPOCH_RANGE else None

    def has_quorum(self, replica: Replica, member_ids: Collection[str]) -> bool:
        """Whether the promises of these members suffice."""
        if self.base is not None:
            return self.base.has_quorum(member_ids)
        return len(member_ids) * 2 > len(replica.seeds)

    def is_won(self, replica: Replica, member_ids: Collection[str]) -> bool:
        """Whether these promises win the election."""
        return not self.is_outdated(replica) and self.has_quorum(replica, member_ids)

    def own_configuration(self, replica: Replica) -> VersionedData | None:
        """The base's configuration if this member has it, None if it has to be read."""
        if self.base is None:
            return NO_CONFIGURATION
        return replica.record.configuration if self.base.has_data(replica.member.id) else None

    def sources(self) -> list[Member]:
        """The members to read the configuration from, in this order; the first answer counts."""
        data_members = (self.base.backup, self.base.primary) if self.base else ()
        return [member for member in data_members if member is not None]

    def newest_configuration(
        self, replica: Replica, configuration: VersionedData | None
    ) -> VersionedData | None:
        """The newest configuration that the base may have committed, None if it is unknown.

        Args:
            replica: The candidate's replica.
            configuration: The one from `own_configuration` or read from a member of `sources`, None
                if there is none.
        """
        if configuration is not None and replica.version > configuration.version:
            # committed, but lost from the disks of both primary and backup
            return VersionedData(replica.version, replica.data)
        return configuration

    def may_be_backup(self, member: Member, promised_ids: Collection[str]) -> bool:  # noqa: ARG002
        """Whether the member may be the backup, given the promises; a rescue is stricter."""
        return True

    def new_view(
        self, replica: Replica, epoch: int, backup: Member | None, promised_ids: Collection[str]
    ) -> View:
        """The view to install once `backup` has the configuration."""
        voters = self.action.voters if self.base else self._founders(replica, promised_ids)
        rescue_epoch = self.base.rescue_epoch if self.base else 0
        return View(epoch, replica.member, backup, voters, self.action.former_voters, rescue_epoch)

    def _founders(self, replica: Replica, promised_ids: Collection[str]) -> tuple[Member, ...]:
        seeds = [member for member in self.electors(replica) if member.id in promised_ids]
        seeds.sort(key=lambda member: member.address)
        return (replica.member, *seeds[: VOTER_COUNT - 1])
