"""The actions of a primary or candidate: elections, view changes, leadership transfer, replication.

`planning` decides which action is due.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from absl import logging

from loomstand.rpc.errors import CallFailure
from loomstand.rpc.messages.base import Acknowledgement
from loomstand.rpc.messages.replication_messages import (
    LeaseHandoverRow,
    TransferLeadershipRequest,
)
from loomstand.store.counting_lease_service import CountingLeaseService
from loomstand.store.dissemination import Dissemination
from loomstand.store.election import LeadershipTransfer, run_election
from loomstand.store.planning import Action, ActionKind, change_view, next_action, take_over
from loomstand.store.replica_io import ReplicaIO


class Leadership:
    """Carries out the actions of a primary or candidate, one at a time.

    Attributes:
        lock: Held during each configuration change, replication and election.
    """

    def __init__(
        self,
        io: ReplicaIO,
        counting_leases: CountingLeaseService,
        dissemination: Dissemination,
        become_serving: Callable[[], None],
        on_view_change: Callable[[], None],
    ) -> None:
        """Creates the component.

        Args:
            io: The store's replica.
            counting_leases: The counting lease, whose state is part of a transfer.
            dissemination: Pushes the committed configuration to the other stores.
            become_serving: Makes the store serve if it can.
            on_view_change: Called after each election.
        """
        self._io = io
        self._counting_leases = counting_leases
        self._dissemination = dissemination
        self._become_serving = become_serving
        self._on_view_change = on_view_change
        self.lock = asyncio.Lock()

    def act_if_due(self, now: float) -> None:
        """Starts the next action, unless one is in progress."""
        if not self.lock.locked() and next_action(self._io.replica, now) is not None:
            self._io.spawn(self._act())

    async def _act(self) -> None:
        if not self.lock.locked():
            async with self.lock:
                await self._act_locked()

    async def _act_locked(self) -> None:
        action = next_action(self._io.replica, self._io.clock())
        if action is None:
            return
        is_done = False
        try:
            if action.kind is ActionKind.REPLICATE:
                is_done = await self.replicate_record()
            elif action.kind is ActionKind.TRANSFER_LEADERSHIP:
                is_done = await self._transfer()
            else:
                is_done = await self.elect(action)
        finally:
            if not is_done:
                self._io.replica.back_off(self._io.clock())

    async def elect(self, action: Action, transfer: LeadershipTransfer | None = None) -> bool:
        """Runs an election, with the lock held by the caller; returns whether it was won."""
        is_elected = await run_election(self._io, action, transfer)
        # a primary that changed its view: the new backup has written the record, so it is committed
        if is_elected and self._io.replica.can_write(self._io.clock()):
            self.commit_record()
        self._become_serving()
        self._on_view_change()
        return is_elected

    def commit_record(self) -> None:
        """Commits the record's configuration, which the backup has written, and pushes it."""
        record = self._io.replica.record
        if self._io.replica.commit(record.version, record.data):
            self._dissemination.push()

    async def replicate_record(self) -> bool:
        """Replicates the primary's record to the backup again, which commits it.

        The caller holds the lock.

        Returns:
            Whether the replication succeeded.
        """
        replica = self._io.replica
        record = replica.record
        view = record.view
        if view is None or not replica.is_leader(self._io.clock()):
            return False
        if view.backup is not None:
            failure = await self._io.replicate(view.backup, view.epoch, record.configuration)
            if failure is CallFailure.REFUSED:
                # the backup has a later write of this epoch or a higher promise, or its disk failed
                return await self.elect(change_view("the backup refused the write", view))
            if failure is not None:
                return False
        if not replica.is_leader(self._io.clock()) or replica.record is not record:
            return False
        replica.replicated_epoch = view.epoch
        if replica.is_established:
            self.commit_record()
        self._become_serving()
        return True

    # --- transfer of leadership

    async def _transfer(self) -> bool:
        """Transfers leadership to the backup; returns whether the backup acknowledged it."""
        replica = self._io.replica
        view = replica.record.view
        if view is None or view.backup is None:
            return False
        backup = view.backup
        epoch = replica.promised_epoch + 1
        # the promise on disk ends this member's term even over a restart, so the backup need not
        # wait until the grants expire
        replica.is_established = False
        await self._io.persist(lambda now: replica.promise(now, epoch, backup.id, view.epoch))
        logging.info("store: leadership transferred to=%s epoch=%d", backup.address[0], epoch)
        # the state of the counting lease is transferred too, so its holder keeps the lease
        request = TransferLeadershipRequest(
            primary_id=replica.member.id,
            epoch=epoch,
            released_epoch=view.epoch,
            counting_lease=self._counting_leases.lease.to_handover(self._io.clock()),
        )
        answer = await self._io.call(backup, request, Acknowledgement)
        return not isinstance(answer, CallFailure)

    async def handle_transfer(self, request: TransferLeadershipRequest) -> Acknowledgement:
        """Starts an election in the background: the primary transfers leadership to this backup."""
        transfer = LeadershipTransfer(request.primary_id, request.epoch, request.released_epoch)
        self._io.spawn(self._take_over(transfer, request.counting_lease))
        return Acknowledgement()

    async def _take_over(
        self, transfer: LeadershipTransfer, handover: LeaseHandoverRow | None
    ) -> None:
        async with self.lock:
            base = self._io.replica.newest_known_view()
            if base is None:
                return
            if (base.epoch, base.primary.id) != (transfer.released_epoch, transfer.primary_id):
                return
            if handover is not None:
                self._counting_leases.lease.apply_handover(self._io.clock(), handover)
            await self.elect(take_over("the primary is leaving", base), transfer)
