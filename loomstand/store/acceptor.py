"""The acceptor: handles the prepare, write, read and install requests of other members."""

from __future__ import annotations

from loomstand.rpc.errors import CallRefusedError
from loomstand.rpc.messages.base import Acknowledgement
from loomstand.rpc.messages.replication_messages import (
    CandidateReadRequest,
    CandidateReadResponse,
    InstallViewRequest,
    PrepareRequest,
    PrepareResponse,
    WriteRequest,
)
from loomstand.store.change_history import ChangeHistory
from loomstand.store.counting_lease_service import CountingLeaseService
from loomstand.store.peers import MemberState
from loomstand.store.replica_io import ReplicaIO
from loomstand.store.views import View


class Acceptor:
    """Handles protocol requests; each response is sent once the replica's change is on disk."""

    def __init__(self, io: ReplicaIO, counting_leases: CountingLeaseService) -> None:
        """Creates the acceptor; a granted counting lease may block promises."""
        self._io = io
        self._counting_leases = counting_leases

    async def handle_prepare(self, request: PrepareRequest) -> PrepareResponse:
        """Promises an epoch to a candidate.

        A request for epoch 0 only asks whether the next epoch would be promised, without a write.
        """
        is_promised = False
        if not self._counting_leases.blocks_promise(request.released_epoch):
            if request.epoch == 0:
                is_promised = self._would_promise(request)
            else:
                is_promised = await self._promise(request)
        view = self._io.replica.newest_known_view()
        return PrepareResponse(
            is_promised=is_promised,
            promised_epoch=self._io.replica.promised_epoch,
            view=view.to_row() if view else None,
        )

    def _would_promise(self, request: PrepareRequest) -> bool:
        replica = self._io.replica
        return replica.state is not MemberState.UNHEALTHY and replica.may_promise(
            self._io.clock(),
            replica.promised_epoch + 1,
            request.candidate_id,
            request.released_epoch,
        )

    async def _promise(self, request: PrepareRequest) -> bool:
        try:
            await self._io.persist(
                lambda now: self._io.replica.promise(
                    now, request.epoch, request.candidate_id, request.released_epoch
                )
            )
        except CallRefusedError:
            return False
        return True

    async def handle_write(self, request: WriteRequest) -> Acknowledgement:
        """Writes a configuration of the primary or a candidate to this disk."""
        version, data = request.version, request.data
        history = ChangeHistory.from_row(request.history, version, data)
        await self._io.persist(
            lambda _now: self._io.replica.accept_write(
                request.epoch, request.writer_id, version, data, history
            )
        )
        return Acknowledgement()

    async def handle_read(self, request: CandidateReadRequest) -> CandidateReadResponse:
        """Returns the configuration on this disk to a candidate."""
        record = await self._io.persist(
            lambda _now: self._io.replica.read_for_candidate(request.epoch, request.candidate_id)
        )
        return CandidateReadResponse(
            version=record.version, data=record.data, history=record.history.to_row()
        )

    async def handle_install(self, request: InstallViewRequest) -> Acknowledgement:
        """Installs the view of an elected primary, and grants it the lease."""
        view = View.from_row(request.view)
        if view is not None:
            await self._io.persist(lambda _now: self._io.replica.install(view))
            self._io.replica.grant_installed(self._io.clock(), view)
        return Acknowledgement()
