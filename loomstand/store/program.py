"""A store: recovers its disk, assembles its components, and drives them by calls and a timer.

`Parts._make_router` lists the operations; their messages are in `loomstand.rpc.messages`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from absl import logging

from loomstand.rpc import Address, Network
from loomstand.rpc.errors import CallRefusedError
from loomstand.rpc.messages.configuration_messages import (
    OfferRequest,
    PutRequest,
    ReadRequest,
    StatusRequest,
    StatusResponse,
    WaitRequest,
)
from loomstand.rpc.messages.counting_lease_messages import CountingLeaseRequest
from loomstand.rpc.messages.replication_messages import (
    CandidateReadRequest,
    CommitRequest,
    CommittedRequest,
    HeartbeatRequest,
    InstallViewRequest,
    PrepareRequest,
    TransferLeadershipRequest,
    WriteRequest,
)
from loomstand.rpc.messages.rescue_messages import (
    MemberReportRequest,
    MemberReportResponse,
    RescueRequest,
)
from loomstand.rpc.network import Body
from loomstand.store.acceptor import Acceptor
from loomstand.store.configuration_service import ConfigurationService
from loomstand.store.counting_lease_service import CountingLeaseService
from loomstand.store.disk import Disk
from loomstand.store.dissemination import Dissemination
from loomstand.store.graceful_shutdown import may_shut_down
from loomstand.store.heartbeats import Heartbeats
from loomstand.store.leadership import Leadership
from loomstand.store.learner import Learner
from loomstand.store.pages import Pages
from loomstand.store.peers import MemberState
from loomstand.store.record import Record
from loomstand.store.recovery import recover
from loomstand.store.replica import Replica
from loomstand.store.replica_io import ReplicaIO
from loomstand.store.request_router import RequestRouter
from loomstand.store.rescue_service import RescueService
from loomstand.store.status_board import StatusBoard
from loomstand.store.timing import HEARTBEAT_INTERVAL_SECONDS, LONG_AGO
from loomstand.store.views import Member

# Interval between two checks for due work.
TICK_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Settings of a store.

    Attributes:
        address: Address on which it listens.
        seeds: Store addresses of the seed machines.
        is_first_start: Whether the whole system starts for the first time.
        grace_period_seconds: Time from SIGTERM to SIGKILL.
    """

    address: Address
    seeds: tuple[Address, ...]
    is_first_start: bool
    grace_period_seconds: float = 6.0


class Parts:
    """The components of a store whose disk was read; this class only connects them."""

    def __init__(
        self,
        io: ReplicaIO,
        pages: Pages,
        first_revision: int,
        tick: Callable[[], None],
        become_serving: Callable[[], None],
    ) -> None:
        """Creates and connects the components.

        Args:
            io: The store's replica.
            pages: Pages on the disk at the start.
            first_revision: First revision of the status.
            tick: Runs the periodic checks and due actions.
            become_serving: Makes the store serve if it can.
        """
        self.io = io
        self.counting_leases = CountingLeaseService(
            io, self._wait_for_change, self._announce_holder, pages
        )
        self.status = StatusBoard(io, self.counting_leases, first_revision)
        learner = Learner.from_pages(pages)
        self.dissemination = Dissemination(io, learner, self.status.refresh)
        self.heartbeats = Heartbeats(
            io, self.counting_leases, self.dissemination, tick, self.status.refresh
        )
        self.leadership = Leadership(
            io, self.counting_leases, self.dissemination, become_serving, self.status.refresh
        )
        self.rescue = RescueService(io, self.leadership.lock, become_serving)
        self.rescue.offer(learner.copy)
        self.configuration = ConfigurationService(
            io, self.leadership, self.status, self.rescue.offer
        )
        self.router = self._make_router()

    async def _wait_for_change(self) -> None:
        await self.status.wait_for_change()

    def _announce_holder(self) -> None:
        """Announces a new holder of the counting lease to other stores and the local registry."""
        self.heartbeats.send_all()
        self.status.refresh()

    def _make_router(self) -> RequestRouter:
        acceptor = Acceptor(self.io, self.counting_leases)
        router = RequestRouter(self.io.replica.check_recipient)
        # requests of other stores
        router.add(HeartbeatRequest, self.heartbeats.handle)
        router.add(PrepareRequest, acceptor.handle_prepare)
        router.add(WriteRequest, acceptor.handle_write)
        router.add(CandidateReadRequest, acceptor.handle_read)
        router.add(InstallViewRequest, acceptor.handle_install)
        router.add(TransferLeadershipRequest, self.leadership.handle_transfer)
        router.add(CommitRequest, self.dissemination.handle_commit)
        router.add(CommittedRequest, self.dissemination.handle_committed)
        router.add(MemberReportRequest, self._report)
        # requests of registries
        router.add(PutRequest, self.configuration.handle_put)
        router.add(OfferRequest, self.configuration.handle_offer)
        router.add(ReadRequest, self.configuration.handle_read)
        router.add(StatusRequest, self._status)
        router.add(WaitRequest, self.status.wait)
        router.add(CountingLeaseRequest, self.counting_leases.handle)
        router.add(RescueRequest, self.rescue.handle)
        return router

    async def _report(self, _request: MemberReportRequest) -> MemberReportResponse:
        return self.rescue.report().to_message()

    async def _status(self, _request: StatusRequest) -> StatusResponse:
        return self.status.status()


class Store:
    """Serves other stores and registries by `network.listen` at its address.

    Attributes:
        settings: Current settings; may be replaced while the store runs.
        clock: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        settings: StoreSettings,
        network: Network,
        disk: Disk,
        clock: Callable[[], float],
        rng: Random,
    ) -> None:
        """Creates the store; `run` starts it."""
        self.settings = settings
        self.clock = clock
        self._network = network
        self._disk = disk
        self._rng = rng
        # random, so that registries don't mistake a restarted store's status for a known one
        self._first_revision = rng.getrandbits(24)
        self._stopped = asyncio.Event()
        self._parts: Parts | None = None

    @property
    def is_running(self) -> bool:
        """Whether its disk was read."""
        return self._parts is not None

    @property
    def parts(self) -> Parts:
        """The store's components.

        Raises:
            CallRefusedError: Its disk hasn't been read yet.
        """
        if self._parts is None:
            raise CallRefusedError("not begun")
        return self._parts

    @property
    def replica(self) -> Replica:
        """The store's replica, see `parts`."""
        return self.parts.io.replica

    async def serve(self, operation: str, body: Body) -> Body:
        """Handles a call, see `RequestRouter.serve`."""
        return await self.parts.router.serve(operation, body)

    # --- start and shutdown

    async def run(self) -> None:
        """Recovers the disk and serves until `stop` has finished."""
        started_at = self.clock()
        recovered = await recover(self._disk, self._new_record, self._stopped)
        if recovered is None:
            return
        record, pages = recovered
        member = Member(record.id, self.settings.address)
        replica = Replica(member, self.settings.seeds, record, started_at, self._rng)
        io = ReplicaIO(replica, self._network, self._disk, self.clock)
        self._parts = Parts(io, pages, self._first_revision, self._tick, self._become_serving)
        logging.info(
            "store: started member=%s host=%s %s",
            member.id,
            member.address[0],
            record.view or "view=none",
        )
        await self._network.listen(self.settings.address, self.serve)
        await self._run_ticks()
        io.cancel_tasks()

    async def _run_ticks(self) -> None:
        replica = self.replica
        sent_at = LONG_AGO
        while not self._stopped.is_set():
            now = self.clock()
            # after a restart of all members, the primary recorded on disk requests its lease at
            # short intervals while the others come up
            requests_lease_often = replica.is_primary() and not replica.is_leader(now)
            interval_seconds = TICK_SECONDS if requests_lease_often else HEARTBEAT_INTERVAL_SECONDS
            if now - sent_at >= interval_seconds - TICK_SECONDS / 2:
                sent_at = now
                self.parts.heartbeats.send_all()
            self._tick_at(now)
            await asyncio.sleep(TICK_SECONDS)

    def _new_record(self) -> Record:
        """Creates the record for an empty disk."""
        return Record(f"{self._rng.getrandbits(64):016x}", self.settings.is_first_start)

    async def stop(self) -> None:
        """Stops the store once other members took over its roles, see `graceful_shutdown`."""
        if self._parts is not None:
            logging.info("store: leaving")
            self.replica.state = MemberState.LEAVING
            self._parts.heartbeats.send_all()
            since = self.clock()
            while not self._may_shut_down(since):  # noqa: ASYNC110 -- also depends on time
                await asyncio.sleep(TICK_SECONDS)
        self._stopped.set()

    def _may_shut_down(self, since: float) -> bool:
        grace_period_seconds = self.settings.grace_period_seconds
        return may_shut_down(self.replica, self.clock(), since, grace_period_seconds)

    # --- due work

    def _tick(self) -> None:
        self._tick_at(self.clock())

    def _tick_at(self, now: float) -> None:
        parts = self.parts
        parts.io.check_disk(now)
        self.replica.update_seeds(now, self.settings.seeds)
        self.replica.forget_addresses(now)
        self._become_serving()
        self._fence_if_due()
        parts.dissemination.copy_if_due()
        parts.leadership.act_if_due(now)
        parts.counting_leases.tick()
        parts.status.refresh()

    def _fence_if_due(self) -> None:
        """Writes to disk that a rescue has fenced this member's view."""
        io = self.parts.io
        if self.replica.fencing_record() and not io.write_lock.locked():
            io.spawn(io.persist(lambda _now: self.replica.fencing_record() or self.replica.record))

    def _become_serving(self) -> None:
        """Starts serving if the replica can and doesn't yet."""
        if self.replica.become_established(self.clock()):
            logging.info(
                "store: serving version=r%d %s", self.replica.version, self.replica.record.view
            )
            self.parts.dissemination.push()
            self.parts.counting_leases.begin()
