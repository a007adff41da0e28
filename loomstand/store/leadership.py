"""What a member does as primary or candidate: elections, changes of its view, transfer, repair.

What is to be done is decided in `planning`.
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
    """Carries out what a primary or candidate does, one thing at a time.

    Attributes:
        lock: Held over whatever a primary or candidate does: a change, a repair, an election.
    """

    def __init__(
        self,
        io: ReplicaIO,
        counting_leases: CountingLeaseService,
        dissemination: Dissemination,
        become_serving: Callable[[], None],
        on_view_change: Callable[[], None],
    ) -> None:
        """Sets it up.

        Args:
            io: The store's replica.
            counting_leases: The counting lease, which a transfer hands over.
            dissemination: Tells others what is committed.
            become_serving: Has the store serve if it can.
            on_view_change: Called after each election.
        """
        self._io = io
        self._counting_leases = counting_leases
        self._dissemination = dissemination
        self._become_serving = become_serving
        self._on_view_change = on_view_change
        self.lock = asyncio.Lock()

    def act_if_due(self, now: float) -> None:
        """Has the next action begin, unless one is under way."""
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
        """Runs an election, with the lock held; whether it was won."""
        is_elected = await run_election(self._io, action, transfer)
        # it served before: its new backup has what it holds
        if is_elected and self._io.replica.can_write(self._io.clock()):
            self.commit_record()
        self._become_serving()
        self._on_view_change()
        return is_elected

    def commit_record(self) -> None:
        """What is on this disk and the backup's is committed."""
        record = self._io.replica.record
        if self._io.replica.commit(record.version, record.data):
            self._dissemination.push()

    async def replicate_record(self) -> bool:
        """Has the backup write once more what the primary holds, which commits it.

        The lock is held.

        Returns:
            Whether it is committed.
        """
        replica = self._io.replica
        record = replica.record
        view = record.view
        if view is None or not replica.is_leader(self._io.clock()):
            return False
        if view.backup is not None:
            failure = await self._io.replicate(view.backup, view.epoch, record.configuration)
            if failure is CallFailure.REFUSED:
                # it has something later of this epoch, or can't write
                return await self.elect(change_view("its backup doesn't follow", view))
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
        """Hands over to the backup; whether that heard it."""
        replica = self._io.replica
        view = replica.record.view
        if view is None or view.backup is None:
            return False
        backup = view.backup
        epoch = replica.promised_epoch + 1
        # the promise ends its serving for good, a restart included: so nobody need wait for grants
        # to end
        replica.is_established = False
        await self._io.persist(lambda now: replica.promise(now, epoch, backup.id, view.epoch))
        logging.info("store: leadership transferred to=%s epoch=%d", backup.address[0], epoch)
        # nor need the registry that counts stop: the next primary hears of it
        request = TransferLeadershipRequest(
            primary_id=replica.member.id,
            epoch=epoch,
            released_epoch=view.epoch,
            counting_lease=self._counting_leases.lease.to_handover(self._io.clock()),
        )
        answer = await self._io.call(backup, request, Acknowledgement)
        return not isinstance(answer, CallFailure)

    async def handle_transfer(self, request: TransferLeadershipRequest) -> Acknowledgement:
        """The primary hands over to this store, its backup; the election goes on by itself."""
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
            await self.elect(take_over("its primary leaves", base), transfer)
