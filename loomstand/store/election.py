"""The calls of an election, by which a member becomes primary or a primary changes its view.

The steps, in order: collect promises, read the configuration, replicate it to a backup, install the
view, and obtain the lease. The decisions are in `election_rules`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from absl import logging

from loomstand.rpc.errors import CallFailure
from loomstand.rpc.messages.replication_messages import (
    CandidateReadRequest,
    CandidateReadResponse,
    PrepareRequest,
    PrepareResponse,
)
from loomstand.rpc.network import transfer_seconds
from loomstand.store.change_history import EMPTY_HISTORY, ChangeHistory
from loomstand.store.election_rules import ElectionRules
from loomstand.store.planning import Action, ActionKind, with_voters_of
from loomstand.store.record import VersionedData
from loomstand.store.replica_io import CALL_SECONDS, ReplicaIO
from loomstand.store.timing import FOUNDING_WAIT_SECONDS
from loomstand.store.views import Member, View

# An attempt is repeated on each newer view that it discovers; after this many rounds it is given
# up, as other candidates are faster.
MAX_ROUNDS = 3


@dataclass(frozen=True, slots=True)
class LeadershipTransfer:
    """The transfer of leadership from a leaving primary to its backup.

    Attributes:
        primary_id: Member id of the primary.
        epoch: The epoch that the primary promised to the backup.
        released_epoch: Epoch of the view under which the primary has stopped serving.
    """

    primary_id: str
    epoch: int
    released_epoch: int


class _BackupChoice(NamedTuple):
    """The result of the search for a backup.

    Attributes:
        is_sufficient: Whether a backup wrote the configuration, or the store needs none.
        backup: That backup, None if there is none.
    """

    is_sufficient: bool
    backup: Member | None


async def run_election(
    io: ReplicaIO, action: Action, transfer: LeadershipTransfer | None = None
) -> bool:
    """Runs the election for an action; only one may run at a time.

    Returns:
        Whether the new view is installed and this member, its primary, has the lease.
    """
    for _ in range(MAX_ROUNDS):
        base = None
        if action.kind is not ActionKind.FOUND:
            base = io.replica.newest_known_view()
        if base is not None and action.kind is ActionKind.TAKE_OVER:
            if io.replica.member.id not in base.members():
                return False
            action = with_voters_of(action, base)
        is_elected = await Election(io, ElectionRules(action, base), transfer).run()
        if is_elected is not None or action.kind is not ActionKind.TAKE_OVER:
            return bool(is_elected)
    return False


@dataclass(slots=True)
class Election:
    """One election.

    Attributes:
        io: The candidate's replica, with its disk and calls.
        rules: The decisions of the election.
        transfer: The transfer by the former primary, None if there was none.
        promised_ids: Ids of the members that promised the epoch.
    """

    io: ReplicaIO
    rules: ElectionRules
    transfer: LeadershipTransfer | None
    promised_ids: set[str] = field(default_factory=set)

    async def run(self) -> bool | None:
        """Returns whether the election was won, None if a newer view was discovered."""
        if self.rules.action.kind is not ActionKind.CHANGE_VIEW:
            self.io.replica.end_term()
            if self.transfer is None and not await self._would_win():
                return None if self._is_outdated() else False
        epoch = await self._collect_promises()
        if epoch is None:
            return None if self._is_outdated() else False
        configuration = await self._read_configuration(epoch)
        if configuration is None:
            return False
        replica = self.io.replica
        version, data = configuration
        await self.io.persist(lambda _now: replica.accept_own_write(epoch, version, data))
        choice = await self._choose_backup(epoch, configuration)
        if not choice.is_sufficient:
            return False
        return await self._install(epoch, choice.backup)

    async def _install(self, epoch: int, backup: Member | None) -> bool:
        """Installs the new view at all its members; returns whether this member got the lease."""
        replica = self.io.replica
        view = self.rules.new_view(replica, epoch, backup, self.promised_ids)
        replica.replicated_epoch = epoch
        await self.io.persist(lambda _now: replica.install(view))
        replica.grant_installed(self.io.clock(), view)
        others = [m for m in view.members().values() if m.id != replica.member.id]
        await self.io.run_until(
            (self.io.install_view(member, view) for member in others),
            lambda: replica.is_leader(self.io.clock()),
        )
        if not replica.is_leader(self.io.clock()):
            return False
        self._log(view)
        return True

    def _log(self, view: View) -> None:
        action = self.rules.action
        logging.info(
            "store: elected action=%s reason=%r %s", action.kind.value, action.reason, view
        )

    def _is_outdated(self) -> bool:
        return self.rules.is_outdated(self.io.replica)

    async def _would_win(self) -> bool:
        """Whether a quorum would promise; keeps a partitioned member from raising its epoch."""
        replica = self.io.replica
        own_id = replica.member.id
        if not replica.may_promise(self.io.clock(), replica.promised_epoch + 1, own_id, 0):
            return False

        def is_enough(responses: dict[str, PrepareResponse]) -> bool:
            """Whether a quorum would promise, or a newer view is known."""
            return self._is_outdated() or self.rules.has_quorum(
                replica, [own_id, *_promising(responses)]
            )

        responses = await self.io.prepare(
            self.rules.electors(replica),
            PrepareRequest(epoch=0, released_epoch=0, candidate_id=own_id),
            is_enough,
        )
        self._observe_epochs(responses)
        return self.rules.is_won(replica, [own_id, *_promising(responses)])

    def _observe_epochs(self, responses: dict[str, PrepareResponse]) -> None:
        replica = self.io.replica
        epochs = [response.promised_epoch for response in responses.values()]
        replica.highest_epoch_observed = max([replica.highest_epoch_observed, *epochs])

    async def _collect_promises(self) -> int | None:
        """Returns the epoch that a quorum promised, None if there is none."""
        replica = self.io.replica
        transfer = self.transfer
        epoch = self.rules.next_epoch(replica.highest_known_epoch())
        if epoch is None:
            return None
        known_promise_ids = {replica.member.id}
        if transfer is not None and epoch <= transfer.epoch:
            epoch = transfer.epoch
            known_promise_ids.add(transfer.primary_id)
        released_epoch = transfer.released_epoch if transfer else 0
        own_id = replica.member.id
        await self.io.persist(lambda now: replica.promise(now, epoch, own_id, released_epoch))

        def is_enough(responses: dict[str, PrepareResponse]) -> bool:
            """Whether a quorum has promised, or a newer view is known."""
            if self._is_outdated():
                return True
            # a founder waits for the answers of all seeds, so that all vote from the start
            return self.rules.base is not None and self.rules.has_quorum(
                replica, known_promise_ids | _promising(responses)
            )

        responses = await self.io.prepare(
            [m for m in self.rules.electors(replica) if m.id not in known_promise_ids],
            PrepareRequest(epoch=epoch, released_epoch=released_epoch, candidate_id=own_id),
            is_enough,
        )
        self._observe_epochs(responses)
        self.promised_ids = known_promise_ids | _promising(responses)
        if self._waits_for_seeds():
            return None
        return epoch if self.rules.is_won(replica, self.promised_ids) else None

    def _waits_for_seeds(self) -> bool:
        """Whether a founder should retry to get all seeds: two voters tolerate no failure."""
        replica = self.io.replica
        is_early = self.io.clock() < replica.started_at + FOUNDING_WAIT_SECONDS
        lacks_seeds = len(self.promised_ids) < len(replica.seeds)
        return self.rules.base is None and is_early and lacks_seeds

    async def _read_configuration(self, epoch: int) -> VersionedData | None:
        """Returns the newest configuration that the base may have committed, None if unreadable.

        It is read from the base's backup, or else from its primary, unless this member has it.
        """
        replica = self.io.replica
        configuration = self.rules.own_configuration(replica)
        replica.inherited_history = EMPTY_HISTORY
        for member in self.rules.sources():
            if configuration is None:
                configuration = await self._read_from(member, epoch)
        return self.rules.newest_configuration(replica, configuration)

    async def _read_from(self, member: Member, epoch: int) -> VersionedData | None:
        replica = self.io.replica
        request = CandidateReadRequest(epoch=epoch, candidate_id=replica.member.id)
        timeout_seconds = CALL_SECONDS + transfer_seconds(len(replica.data))
        response = await self.io.call(member, request, CandidateReadResponse, timeout_seconds)
        if isinstance(response, CallFailure):
            return None
        replica.inherited_history = ChangeHistory.from_row(
            response.history, response.version, response.data
        )
        return VersionedData(response.version, response.data)

    async def _choose_backup(self, epoch: int, configuration: VersionedData) -> _BackupChoice:
        """Replicates the configuration to a backup; a store of a single machine needs none."""
        replica = self.io.replica
        for member in replica.peers.backup_candidates(self.io.clock(), self.rules.base):
            if not self.rules.may_be_backup(member, self.promised_ids):
                continue
            failure = await self.io.replicate(member, epoch, configuration)
            if failure is None:
                return _BackupChoice(True, member)
            replica.peers.avoid(self.io.clock(), member)
        is_single = self.rules.base is None and len(replica.seeds) == 1
        return _BackupChoice(is_single, None)


def _promising(responses: dict[str, PrepareResponse]) -> set[str]:
    return {member_id for member_id, response in responses.items() if response.is_promised}
