"""Configuration changes and reads of registries, served as primary or forwarded to it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeVar

import msgspec
from absl import logging
from expression import Result

from loomstand.rpc import client
from loomstand.rpc.errors import CallRefusedError
from loomstand.rpc.messages.configuration_messages import (
    OfferRequest,
    PutRequest,
    PutResponse,
    ReadRequest,
    ReadResponse,
)
from loomstand.rpc.network import transfer_seconds
from loomstand.store.change_history import ChangeHistory, Verdict, digest
from loomstand.store.freshness import remaining_seconds
from loomstand.store.leadership import Leadership
from loomstand.store.planning import change_view
from loomstand.store.record import VersionedData
from loomstand.store.replica_io import CALL_SECONDS, ReplicaIO
from loomstand.store.status_board import StatusBoard
from loomstand.store.views import View

# Limit for acknowledging or refusing a change; the registry's own timeout is 0.1 s longer.
CHANGE_SECONDS = 0.85

# A forwarded change has a timeout shorter by this, which leaves time to return the response.
FORWARDING_MARGIN_SECONDS = 0.05

# Limit for forwarding one request: stores with outdated views could otherwise forward in a cycle.
MAX_HOPS = 2

# Number of refused versions, highest first, that are remembered so that each is logged once.
MAX_LOGGED_CONFLICTS = 100

Response = TypeVar("Response", PutResponse, ReadResponse)


class ConfigurationService:
    """Handles changes and reads of the configuration at one store."""

    def __init__(
        self,
        io: ReplicaIO,
        leadership: Leadership,
        status: StatusBoard,
        on_offer: Callable[[VersionedData], None],
    ) -> None:
        """Creates the service.

        Args:
            io: The store's replica.
            leadership: Elections and replication of this store.
            status: Status of this store.
            on_offer: Receives each configuration that a registry or limiter offers.
        """
        self._io = io
        self._leadership = leadership
        self._status = status
        self._on_offer = on_offer
        self._logged_conflicts: set[int] = set()

    # --- changes

    async def handle_offer(self, request: OfferRequest) -> PutResponse:
        """Accepts a configuration that this store may have lost, from a registry or limiter."""
        self._on_offer(VersionedData(request.version, request.data))
        return await self.handle_put(request)

    async def handle_put(self, request: PutRequest) -> PutResponse:
        """Replaces the configuration.

        Raises:
            CallRefusedError: The change isn't acknowledged, but may still become committed.
        """
        timeout_seconds = CHANGE_SECONDS + transfer_seconds(len(request.data))
        try:
            async with asyncio.timeout(timeout_seconds):
                if not self._io.replica.is_leader(self._io.clock()):
                    return await self._forward(
                        request, PutResponse, timeout_seconds - FORWARDING_MARGIN_SECONDS
                    )
                async with self._leadership.lock:
                    is_accepted = await self._change(request)
                    return PutResponse(
                        version=self._io.replica.version, has_conflict=not is_accepted
                    )
        except TimeoutError:
            raise CallRefusedError("not in time") from None

    async def _change(self, request: PutRequest) -> bool:
        """Commits a change if its version is higher; the caller is primary and holds the lock.

        Returns:
            False if the version already has other content (`Verdict.CONFLICT`).
        """
        replica = self._io.replica
        if replica.is_leader(self._io.clock()) and (
            not replica.is_established or replica.record.version > replica.version
        ):
            await self._leadership.replicate_record()
        if not replica.can_write(self._io.clock()):
            raise CallRefusedError("not the primary")
        version, data = request.version, request.data
        verdict = replica.history.judge(replica.version, replica.data, version, data)
        if verdict is Verdict.ACCEPT:
            await self._write(VersionedData(version, data))
            return True
        if isinstance(request, OfferRequest):
            return True
        if verdict is Verdict.CONFLICT:
            self._on_conflict(version)
            return False
        if verdict is Verdict.SUPERSEDED:
            await self._write_history(replica.history.with_superseded(version, digest(data)))
        return True

    async def _write_history(self, history: ChangeHistory) -> None:
        """Writes the history, which lists acknowledged lower versions, to both disks.

        An unchanged history isn't written: the version was too low to be listed.
        """
        replica = self._io.replica
        if history == replica.history:
            return
        if replica.record.version != replica.version:
            raise CallRefusedError("what it wrote last isn't settled")
        replica.history = history
        await self._write(VersionedData(replica.version, replica.data))

    async def _write(self, configuration: VersionedData) -> None:
        """Writes a configuration to this disk and the backup's, and commits it."""
        replica = self._io.replica
        view = replica.record.view
        assert view is not None  # implied by can_write
        # a failed backup isn't final: a newly elected backup may write the record before the
        # requester's timeout
        if not await self._write_both(view, configuration) and not await self._leadership.elect(
            change_view("the backup failed to write", view)
        ):
            replica.back_off(self._io.clock())
            raise CallRefusedError("no backup")
        is_written = replica.record.version == configuration.version
        if not replica.can_write(self._io.clock()) or not is_written:
            raise CallRefusedError("the lease is over")
        self._leadership.commit_record()

    async def _write_both(self, view: View, configuration: VersionedData) -> bool:
        """Writes to this disk and the backup's in parallel.

        Returns:
            Whether the backup wrote, True if the view has no backup.

        Raises:
            CallRefusedError: This store's own write failed.
        """
        version, data = configuration
        backup_writes = []
        if view.backup is not None:
            backup_writes.append(self._io.replicate(view.backup, view.epoch, configuration))
        own_write = self._io.persist(
            lambda _now: self._io.replica.accept_own_write(view.epoch, version, data)
        )
        own_result, *backup_results = await asyncio.gather(
            own_write, *backup_writes, return_exceptions=True
        )
        if isinstance(own_result, BaseException):
            raise CallRefusedError("its disk")
        return not any(backup_results)

    def _on_conflict(self, version: int) -> None:
        self._status.conflict_count += 1
        if version not in self._logged_conflicts:
            highest = sorted(self._logged_conflicts)[-MAX_LOGGED_CONFLICTS:]
            self._logged_conflicts = {*highest, version}
            logging.info("store: change refused version=r%d reason=other_content", version)

    # --- reads

    async def handle_read(self, request: ReadRequest) -> ReadResponse:
        """Reads the committed configuration.

        Raises:
            CallRefusedError: No serving primary was reached.
        """
        replica = self._io.replica
        lease_seconds = replica.lease_left(self._io.clock())
        if lease_seconds > 0.0:
            return ReadResponse(
                version=replica.version, data=replica.data, lease_seconds=lease_seconds
            )
        timeout_seconds = CALL_SECONDS + transfer_seconds(len(replica.data))
        return await self._forward(request, ReadResponse, timeout_seconds)

    async def _forward(
        self,
        request: PutRequest | ReadRequest,
        response_type: type[Response],
        timeout_seconds: float,
    ) -> Response:
        """Forwards a request to the primary and returns its response."""
        primary = self._status.known_primary().address
        if (
            request.hops >= MAX_HOPS
            or primary is None
            or primary == self._io.replica.member.address
        ):
            raise CallRefusedError("no primary")
        forwarded = msgspec.structs.replace(request, hops=request.hops + 1)
        asked_at = self._io.clock()
        result = await client.call(
            self._io.network, primary, forwarded, response_type, timeout_seconds
        )
        match result:
            case Result(tag="ok", ok=response):
                now = self._io.clock()
                return _forwarded_response(response, asked_at, now, timeout_seconds)
        raise CallRefusedError("the primary didn't answer")


def _forwarded_response(
    response: Response, asked_at: float, now: float, timeout_seconds: float
) -> Response:
    """Returns the primary's response with its lease reduced to the time that remains.

    Raises:
        CallRefusedError: The response is too old to be returned (`freshness`).
    """
    lease_seconds = response.lease_seconds if isinstance(response, ReadResponse) else None
    remaining = remaining_seconds(lease_seconds, asked_at, now, timeout_seconds)
    if remaining <= 0.0:
        raise CallRefusedError("the primary didn't answer")
    if lease_seconds is None:
        return response
    return msgspec.structs.replace(response, lease_seconds=remaining)
