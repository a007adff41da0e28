"""Status of the store as known to this member, and the registries that wait for a change."""

from __future__ import annotations

import asyncio
from typing import Any, NamedTuple

import msgspec

from loomstand.rpc import Address
from loomstand.rpc.messages.configuration_messages import (
    StatusResponse,
    WaitRequest,
    WaitResponse,
)
from loomstand.store.counting_lease_service import CountingLeaseService
from loomstand.store.replica_io import ReplicaIO
from loomstand.store.timing import REPLACE_VOTER_AFTER_SECONDS

# Limit for delaying a response to `wait` as serving primary: a third of the lease.
MAX_WAIT_AS_PRIMARY_SECONDS = 0.4


class KnownPrimary(NamedTuple):
    """The primary of the newest known view.

    Attributes:
        epoch: The view's epoch, 0 if none is known.
        address: The primary's address, None if it is unreachable.
    """

    epoch: int
    address: Address | None


class StatusBoard:
    """The status of one store.

    Attributes:
        changed: Event that is set at the next change of the status, and then replaced.
        conflict_count: Number of changes refused since the start because their version already
            has other content.
    """

    def __init__(
        self, io: ReplicaIO, counting_leases: CountingLeaseService, first_revision: int
    ) -> None:
        """Creates the board; `first_revision` is random, so that a restart repeats no revision."""
        self._io = io
        self._counting_leases = counting_leases
        self._revision = first_revision
        self._last_snapshot: tuple[Any, ...] = ()
        self.changed = asyncio.Event()
        self.conflict_count = 0

    async def wait_for_change(self) -> None:
        """Returns at the next change of the status."""
        await self.changed.wait()

    def known_primary(self) -> KnownPrimary:
        """Returns the newest known epoch, and its primary if that is reachable."""
        replica = self._io.replica
        now = self._io.clock()
        view = replica.newest_known_view()
        if view is None:
            return KnownPrimary(0, None)
        if view.primary.id == replica.member.id:
            is_reachable = replica.lease_left(now) > 0.0
        else:
            unreachable_seconds = replica.peers.seconds_since_contact(now, view.primary)
            is_reachable = unreachable_seconds < REPLACE_VOTER_AFTER_SECONDS
        return KnownPrimary(view.epoch, view.primary.address if is_reachable else None)

    def _absent_voters(self) -> list[Address]:
        """Returns the voters that haven't answered recently, or not yet since this start."""
        replica = self._io.replica
        view = replica.newest_known_view()
        if view is None:
            return []
        recent = replica.peers.recent_addresses(self._io.clock())
        return sorted(voter.address for voter in view.voters if voter.address not in recent)

    def _is_ready(self) -> bool:
        return self._io.replica.has_committed_version and self._counting_leases.is_fresh()

    def status(self) -> StatusResponse:
        """Returns the status for registries."""
        return StatusResponse(**self._status_fields())

    def _status_fields(self) -> dict[str, Any]:
        replica = self._io.replica
        primary = self.known_primary()
        view = replica.newest_known_view()
        return {
            "version": replica.version,
            "epoch": primary.epoch,
            "primary": primary.address,
            "backup": view.backup.address if view and view.backup else None,
            "core_addresses": replica.peers.recent_addresses(self._io.clock()),
            "absent_voters": self._absent_voters() or msgspec.UNSET,
            "is_ready": self._is_ready(),
            "counting_term": self._counting_leases.term(),
            "conflict_count": self.conflict_count,
            "revision": self._revision,
        }

    def refresh(self) -> None:
        """Wakes waiting registries if the status has changed."""
        replica = self._io.replica
        now = self._io.clock()
        snapshot = (
            replica.version,
            self._is_ready(),
            replica.lease_left(now) > 0.0,
            self._counting_leases.term(),
            self.known_primary(),
            replica.peers.recent_addresses(now),
            self._absent_voters(),
        )
        if snapshot != self._last_snapshot:
            self._last_snapshot = snapshot
            self._revision += 1
            self.changed.set()
            self.changed = asyncio.Event()

    async def wait(self, request: WaitRequest) -> WaitResponse:
        """Responds once status or configuration differ from the registry's, or on timeout."""
        replica = self._io.replica
        known_revision = request.known_revision
        is_current = known_revision is None or known_revision == self._revision
        if replica.version <= request.known_version and is_current:
            timeout_seconds = request.timeout_seconds
            if replica.lease_left(self._io.clock()) > 0.0:
                timeout_seconds = min(timeout_seconds, MAX_WAIT_AS_PRIMARY_SECONDS)
            try:
                async with asyncio.timeout(timeout_seconds):
                    await self.changed.wait()
            except TimeoutError:
                pass  # responds with the unchanged status
        data = replica.data if replica.version > request.known_version else msgspec.UNSET
        return WaitResponse(**self._status_fields(), data=data)
