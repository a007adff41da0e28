"""The counting lease at a store: state exchanged by heartbeats, and requests of registries."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import cbor2
from absl import logging

from loomstand.rpc.errors import CallRefusedError
from loomstand.rpc.messages.base import Acknowledgement
from loomstand.rpc.messages.counting_lease_messages import (
    CountingLeaseRequest,
    CountingLeaseResponse,
)
from loomstand.rpc.messages.replication_messages import (
    HeartbeatRequest,
    HeartbeatResponse,
    ServingRow,
)
from loomstand.rpc.messages.rows import CountingTermRow
from loomstand.store.counting_lease import CountingLease, HolderPage
from loomstand.store.pages import COUNTING_LEASE_PAGE, Pages
from loomstand.store.replica_io import ReplicaIO
from loomstand.store.timing import (
    LONG_AGO,
    REPLACE_VOTER_AFTER_SECONDS,
    UNREACHABLE_AFTER_SECONDS,
)

# Limit for delaying a request until this store serves; the registry's timeout is 0.4 s.
REQUEST_WAIT_SECONDS = 0.35


class CountingLeaseService:
    """Grants the counting lease while its store serves, otherwise follows the primary's reports."""

    def __init__(
        self,
        io: ReplicaIO,
        wait_for_change: Callable[[], Awaitable[Any]],
        on_holder_change: Callable[[], None],
        pages: Pages,
    ) -> None:
        """Creates the service.

        Args:
            io: The store's replica.
            wait_for_change: Waits until the store's status changes.
            on_holder_change: Announces the holder to other stores and to the local registry.
            pages: Pages on the disk at the start.
        """
        self._io = io
        self._wait_for_change = wait_for_change
        self._on_holder_change = on_holder_change
        self.lease = CountingLease(io.replica.member.address[0])
        self._grant_lock = asyncio.Lock()
        # last contact with the newest known primary while it served, and end of its lease
        self._primary_contact_at = LONG_AGO
        self._primary_serves_until = LONG_AGO
        self._restore(pages)

    def _restore(self, pages: Pages) -> None:
        replica = self._io.replica
        view = replica.record.view
        if view is None or view.primary.id != replica.member.id or COUNTING_LEASE_PAGE not in pages:
            return
        number, holder = cbor2.loads(pages[COUNTING_LEASE_PAGE])
        self.lease.restore(replica.started_at, view.epoch, HolderPage(int(number), str(holder)))

    def _lease_left(self) -> float:
        """Returns the seconds for which this store will still serve."""
        return self._io.replica.lease_left(self._io.clock())

    # --- events of the store

    def begin(self) -> None:
        """Prepares the lease as the store begins to serve."""
        self.lease.begin(self._io.clock())
        self.lease.expire(self._io.clock())
        self._on_holder_change()  # so that registries request the lease at once

    def tick(self) -> None:
        """Clears the holder of an expired lease and announces that."""
        if self._lease_left() > 0.0 and self.lease.expire(self._io.clock()):
            self._announce()

    def blocks_promise(self, released_epoch: int) -> bool:
        """Whether a promise must be refused to a candidate.

        This applies if this member granted the counting lease and then transferred its leadership,
        and the grant wasn't reported to the candidate.

        Args:
            released_epoch: Epoch of the view whose primary reported to the candidate that it no
                longer serves.
        """
        return self.lease.is_granted(self._io.clock()) and released_epoch < self.lease.epoch

    # --- state exchanged with other stores

    def term(self) -> CountingTermRow | None:
        """Returns the term and holder of the lease as known here, None if unknown."""
        if self._lease_left() > 0.0:
            self._adopt_own_epoch()
        return self.lease.term()

    def _adopt_own_epoch(self) -> None:
        """Sets the lease's epoch to that of this store's own view while it serves."""
        view = self._io.replica.record.view
        if view is not None:
            self.lease.epoch = max(self.lease.epoch, view.epoch)

    def serving(self) -> ServingRow | None:
        """Returns the row for heartbeats of the serving primary, None while not serving."""
        lease_seconds = self._lease_left()
        if lease_seconds <= 0.0:
            return None
        self._adopt_own_epoch()
        return ServingRow(self.lease.number, self.lease.holder, int(1000 * lease_seconds))

    def is_outdated(self, reported: ServingRow | None) -> bool:
        """Whether the holder differs from the one that was reported to other stores."""
        current = self.serving()
        if current is None:
            return False
        return reported is None or (reported.number, reported.holder) != (
            current.number,
            current.holder,
        )

    def on_status(self, status: HeartbeatRequest | HeartbeatResponse, sent_at: float) -> None:
        """Records from a heartbeat whether the newest primary serves, and the holder of the lease.

        Args:
            status: A heartbeat or the response to one.
            sent_at: When the heartbeat was sent, in seconds of this store's clock.
        """
        view = self._io.replica.newest_known_view()
        serving = status.serving
        if view is None or serving is None:
            return
        if (status.view_epoch, status.member.member_id) != (view.epoch, view.primary.id):
            return
        serves_until = sent_at + serving.lease_ms / 1000
        self._primary_contact_at = max(self._primary_contact_at, sent_at)
        self._primary_serves_until = max(self._primary_serves_until, serves_until)
        self.lease.observe(view.epoch, serving.number, serving.holder)

    def is_fresh(self) -> bool:
        """Whether this store is certain to know the newest committed version.

        That holds while the primary's last reported lease lasts. It also holds for a short time
        after contact with the primary is lost if this store reaches a quorum of electors, as any
        new primary needs the vote of one of them; reads then needn't wait for a takeover.
        """
        replica = self._io.replica
        now = self._io.clock()
        if self._lease_left() > 0.0 or now < self._primary_serves_until:
            return True
        reachable_ids = {
            member_id
            for member_id, answered_at in replica.peers.answered_at.items()
            if now - answered_at < UNREACHABLE_AFTER_SECONDS
        }
        view = replica.newest_known_view()
        return (
            view is not None
            and now - self._primary_contact_at < REPLACE_VOTER_AFTER_SECONDS
            and view.has_quorum({replica.member.id, *reachable_ids})
        )

    # --- requests of registries

    async def handle(
        self, request: CountingLeaseRequest
    ) -> CountingLeaseResponse | Acknowledgement:
        """Grants the lease to a registry, or releases it.

        Raises:
            CallRefusedError: This store doesn't serve, or another registry holds the lease.
        """
        await self._wait_until_serving(request)
        if request.is_release:
            if self.lease.release(request.host, request.incarnation):
                self._announce()
            return Acknowledgement()
        delay_seconds = self.lease.request_delay(self._io.clock(), request.host)
        if delay_seconds > 0.0:
            await asyncio.sleep(delay_seconds)
        async with self._grant_lock:
            await self._persist_holder(request.host)
            previous_holder = self.lease.holder
            span_seconds = self.lease.grant(
                self._io.clock(), request.host, request.incarnation, self._lease_left()
            )
            if not span_seconds:
                raise CallRefusedError("it serves no more, or another has it")
        if previous_holder != request.host:
            self._announce()
        return CountingLeaseResponse(lease_seconds=span_seconds, counting_term=self.term())

    async def _persist_holder(self, host: str) -> None:
        """Writes to disk that `host` holds the lease, if it may be granted."""
        if not self.lease.may_grant(self._io.clock(), host):
            raise CallRefusedError("another has it")
        page = self.lease.page(host)
        if page == self.lease.persisted_page:
            return
        self.lease.persisted_page = None
        await self._io.persist_pages({COUNTING_LEASE_PAGE: cbor2.dumps([*page])})
        if page != self.lease.page(host):
            raise CallRefusedError("it has changed")
        self.lease.persisted_page = page

    async def _wait_until_serving(self, request: CountingLeaseRequest) -> None:
        try:
            async with asyncio.timeout(REQUEST_WAIT_SECONDS):
                while self._lease_left() <= 0.0:
                    if not request.is_release:
                        self.lease.asked_at[request.host] = self._io.clock()
                    await self._wait_for_change()
        except TimeoutError:
            raise CallRefusedError("it doesn't serve") from None

    def _announce(self) -> None:
        logging.info("store: counting lease holder=%s", self.lease.holder or "none")
        self._on_holder_change()
