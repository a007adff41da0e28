"""Heartbeats to all other stores, and the handling of their responses."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from expression import Result

from loomstand.rpc import Address, client
from loomstand.rpc.messages.replication_messages import HeartbeatRequest, HeartbeatResponse
from loomstand.store.counting_lease_service import CountingLeaseService
from loomstand.store.dissemination import Dissemination
from loomstand.store.replica_io import ReplicaIO
from loomstand.store.timing import HEARTBEAT_INTERVAL_SECONDS
from loomstand.store.views import Member

# After three intervals a newer heartbeat is more useful than a late response.
HEARTBEAT_TIMEOUT_SECONDS = 3 * HEARTBEAT_INTERVAL_SECONDS


class Heartbeats:
    """Sends the heartbeats of one store, at most one in flight to each address."""

    def __init__(
        self,
        io: ReplicaIO,
        counting_leases: CountingLeaseService,
        dissemination: Dissemination,
        on_answer: Callable[[], None],
        on_status: Callable[[], None],
    ) -> None:
        """Creates the component.

        Args:
            io: The store's replica.
            counting_leases: The counting lease, whose holder heartbeats report.
            dissemination: Pulls the configuration from a store that reports a newer version.
            on_answer: Called after each response, to start due actions before the next tick.
            on_status: Called after each heartbeat of another store.
        """
        self._io = io
        self._counting_leases = counting_leases
        self._dissemination = dissemination
        self._on_answer = on_answer
        self._on_status = on_status
        self._in_flight: set[Address] = set()

    def send_all(self) -> None:
        """Sends a heartbeat to every other store, except where one is still in flight."""
        for address in list(self._io.replica.peers.by_address):
            if address not in self._in_flight:
                self._in_flight.add(address)
                self._io.spawn(self._send(address))

    async def _send(self, address: Address) -> None:
        sent_at = self._io.clock()
        request = self._io.replica.heartbeat(address, self._counting_leases.serving())
        try:
            result = await client.call(
                self._io.network, address, request, HeartbeatResponse, HEARTBEAT_TIMEOUT_SECONDS
            )
        finally:
            self._in_flight.discard(address)
        match result:
            case Result(tag="ok", ok=response):
                await self._on_response(address, request, response, sent_at)

    async def _on_response(
        self,
        address: Address,
        request: HeartbeatRequest,
        response: HeartbeatResponse,
        sent_at: float,
    ) -> None:
        replica = self._io.replica
        peer = replica.on_heartbeat_response(self._io.clock(), sent_at, response)
        self._counting_leases.on_status(response, sent_at)
        if self._counting_leases.is_outdated(request.serving):
            self.send_all()
        self._on_answer()
        view = replica.record.view
        member = Member.from_row(response.member)
        if (
            view is not None
            and replica.is_primary()
            and peer.view_epoch < view.epoch
            and member.id in view.members()
        ):
            await self._io.install_view(member, view)
        if peer.committed_version > (replica.version if replica.has_committed_version else -1):
            await self._dissemination.pull(address)

    async def handle(self, request: HeartbeatRequest) -> HeartbeatResponse:
        """Handles another store's heartbeat."""
        now = self._io.clock()
        response = self._io.replica.on_heartbeat(now, request)
        self._counting_leases.on_status(request, now)
        self._on_status()
        return msgspec.structs.replace(response, serving=self._counting_leases.serving())
