"""The configuration for registries: changes and reads, at the primary or forwarded to it."""

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

# A change is acknowledged or refused in so long: registries wait a tenth longer.
CHANGE_SECONDS = 0.85

# The primary to which a change is forwarded has so much less.
FORWARDING_SECONDS = 0.05

# So often a request is forwarded: views that are out of date must not send it round and round.
MAX_HOPS = 2

# Versions of refused changes that aren't logged again, the highest.
MAX_LOGGED_CONFLICTS = 100

Response = TypeVar("Response", PutResponse, ReadResponse)


class ConfigurationService:
    """Changes and reads of the configuration at one store."""

    def __init__(
        self,
        io: ReplicaIO,
        leadership: Leadership,
        status: StatusBoard,
        on_offer: Callable[[VersionedData], None],
    ) -> None:
        """Sets the service up; `on_offer` gets what registries and limiters give back."""
        self._io = io
        self._leadership = leadership
        self._status = status
        self._on_offer = on_offer
        self._logged_conflicts: set[int] = set()

    # --- changes

    async def handle_offer(self, request: OfferRequest) -> PutResponse:
        """A registry or limiter gives back what this store may have lost."""
        self._on_offer(VersionedData(request.version, request.data))
        return await self.handle_put(request)

    async def handle_put(self, request: PutRequest) -> PutResponse:
        """Replaces the configuration.

        Raises:
            CallRefusedError: Nothing was acknowledged, the change may be written all the same.
        """
        timeout_seconds = CHANGE_SECONDS + transfer_seconds(len(request.data))
        try:
            async with asyncio.timeout(timeout_seconds):
                if not self._io.replica.is_leader(self._io.clock()):
                    return await self._forward(
                        request, PutResponse, timeout_seconds - FORWARDING_SECONDS
                    )
                async with self._leadership.lock:
                    is_accepted = await self._change(request)
                    return PutResponse(
                        version=self._io.replica.version, has_conflict=not is_accepted
                    )
        except TimeoutError:
            raise CallRefusedError("not in time") from None

    async def _change(self, request: PutRequest) -> bool:
        """Commits a change if its version is higher, as the primary with the lock held.

        Returns:
            False if an operator's version stands for another content (`Verdict.CONFLICT`).
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
            await self._remember(replica.history.with_superseded(version, digest(data)))
        return True

    async def _remember(self, history: ChangeHistory) -> None:
        """Has on both disks that a lower version was acknowledged, unless it is too low."""
        replica = self._io.replica
        if history == replica.history:
            return
        if replica.record.version != replica.version:
            raise CallRefusedError("what it wrote last isn't settled")
        replica.history = history
        await self._write(VersionedData(replica.version, replica.data))

    async def _write(self, configuration: VersionedData) -> None:
        """Has a configuration on this disk and the backup's, and commits it."""
        replica = self._io.replica
        view = replica.record.view
        assert view is not None  # it can write
        # where the backup didn't, what it wrote may be committed all the same: another backup may
        # write it while the asker still waits
        if not await self._write_both(view, configuration) and not await self._leadership.elect(
            change_view("its backup doesn't write", view)
        ):
            replica.back_off(self._io.clock())
            raise CallRefusedError("no backup")
        is_written = replica.record.version == configuration.version
        if not replica.can_write(self._io.clock()) or not is_written:
            raise CallRefusedError("the lease is over")
        self._leadership.commit_record()

    async def _write_both(self, view: View, configuration: VersionedData) -> bool:
        """Writes to both disks at once; whether the backup did.

        Raises:
            CallRefusedError: This disk didn't.
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
            CallRefusedError: No primary was found.
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
        """Asks the primary in this store's place."""
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
                return _as_passed_on(response, asked_at, now, timeout_seconds)
        raise CallRefusedError("the primary didn't answer")


def _as_passed_on(
    response: Response, asked_at: float, now: float, timeout_seconds: float
) -> Response:
    """The primary's answer, with the time for which it stays true.

    Raises:
        CallRefusedError: It is too late for it (`freshness`).
    """
    lease_seconds = response.lease_seconds if isinstance(response, ReadResponse) else None
    remaining = remaining_seconds(lease_seconds, asked_at, now, timeout_seconds)
    if remaining <= 0.0:
        raise CallRefusedError("the primary didn't answer")
    if lease_seconds is None:
        return response
    return msgspec.structs.replace(response, lease_seconds=remaining)
