"""The counting lease at a store: what it tells and hears of it, and its answers to registries."""

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

# A request waits so long until this store serves: the registry waits 0.4 s.
REQUEST_WAIT_SECONDS = 0.35


class CountingLeaseService:
    """Grants the counting lease while its store serves, and follows the primary's word else."""

    def __init__(
        self,
        io: ReplicaIO,
        wait_for_change: Callable[[], Awaitable[Any]],
        on_holder_change: Callable[[], None],
        pages: Pages,
    ) -> None:
        """Sets the service up.

        Args:
            io: The store's replica.
            wait_for_change: Waits until something has changed at the store.
            on_holder_change: Has others hear who holds the lease.
            pages: What is on the disk at the start.
        """
        self._io = io
        self._wait_for_change = wait_for_change
        self._on_holder_change = on_holder_change
        self.lease = CountingLease(io.replica.member.address[0])
        self._grant_lock = asyncio.Lock()
        # when the newest primary known last told that it serves, and until when nobody else does
        self._primary_heard_at = LONG_AGO
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
        """Seconds for which this store serves."""
        return self._io.replica.lease_left(self._io.clock())

    # --- what its store does

    def begin(self) -> None:
        """The store begins to serve."""
        self.lease.begin(self._io.clock())
        self.lease.expire(self._io.clock())
        self._on_holder_change()  # so that those who may count ask at once

    def tick(self) -> None:
        """Frees the lease once its holder lost it."""
        if self._lease_left() > 0.0 and self.lease.expire(self._io.clock()):
            self._announce()

    def bars_promise(self, released_epoch: int) -> bool:
        """Whether nothing may be promised to a candidate.

        That is where this member granted the counting lease and handed over its leadership, and the
        candidate doesn't know of the grant.
        """
        return self.lease.is_granted(self._io.clock()) and released_epoch < self.lease.epoch

    # --- what is told and heard of it

    def term(self) -> CountingTermRow | None:
        """Who holds the lease, as it is known here."""
        if self._lease_left() > 0.0:
            self._adopt_own_epoch()
        return self.lease.term()

    def _adopt_own_epoch(self) -> None:
        """While this store serves, what it tells is under its own epoch."""
        view = self._io.replica.record.view
        if view is not None:
            self.lease.epoch = max(self.lease.epoch, view.epoch)

    def serving(self) -> ServingRow | None:
        """What the heartbeats of the serving primary tell besides, None of any other store."""
        lease_seconds = self._lease_left()
        if lease_seconds <= 0.0:
            return None
        self._adopt_own_epoch()
        return ServingRow(self.lease.number, self.lease.holder, int(1000 * lease_seconds))

    def is_outdated(self, told: ServingRow | None) -> bool:
        """Whether others need to hear more than was told."""
        current = self.serving()
        if current is None:
            return False
        return told is None or (told.number, told.holder) != (current.number, current.holder)

    def on_status(self, status: HeartbeatRequest | HeartbeatResponse, sent_at: float) -> None:
        """A heartbeat came, or the answer to one that was sent at `sent_at`.

        It tells whether the newest primary serves, and who counts.
        """
        view = self._io.replica.newest_known_view()
        serving = status.serving
        if view is None or serving is None:
            return
        if (status.view_epoch, status.member.member_id) != (view.epoch, view.primary.id):
            return
        serves_until = sent_at + serving.lease_ms / 1000
        self._primary_heard_at = max(self._primary_heard_at, sent_at)
        self._primary_serves_until = max(self._primary_serves_until, serves_until)
        self.lease.observe(view.epoch, serving.number, serving.holder)

    def is_fresh(self) -> bool:
        """Whether nothing newer can be committed that isn't known here, for where it is cut off.

        Either the primary has told that it serves for so long; or it is gone, but not for long, and
        so many electors are in reach that nobody can have taken over unheard: nobody waits for a
        takeover then.
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
            and now - self._primary_heard_at < REPLACE_VOTER_AFTER_SECONDS
            and view.has_quorum({replica.member.id, *reachable_ids})
        )

    # --- what registries ask

    async def handle(
        self, request: CountingLeaseRequest
    ) -> CountingLeaseResponse | Acknowledgement:
        """A registry asks for the lease, or gives it back.

        Raises:
            CallRefusedError: This store doesn't serve, or another registry has the lease.
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
        """Has on disk that `host` holds the lease, if it may."""
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
