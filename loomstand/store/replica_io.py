"""A replica's disk and its calls to peers: changes are persisted before they are sent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass, field
from typing import Any, TypeVar

import msgspec
from absl import logging
from expression import Result

from loomstand.rpc import Network, client
from loomstand.rpc.errors import CallFailure, CallRefusedError
from loomstand.rpc.messages.base import Acknowledgement, Message
from loomstand.rpc.messages.replication_messages import (
    CandidateReadRequest,
    InstallViewRequest,
    PrepareRequest,
    PrepareResponse,
    TransferLeadershipRequest,
    WriteRequest,
)
from loomstand.rpc.network import transfer_seconds
from loomstand.store.disk import Disk
from loomstand.store.pages import Pages
from loomstand.store.peers import MemberState
from loomstand.store.record import Record, VersionedData
from loomstand.store.replica import Replica
from loomstand.store.timing import LONG_AGO
from loomstand.store.views import Member, View

# Timeout of a call between stores: a round trip between regions and a slow write.
CALL_SECONDS = 0.5

# Timeout of the backup's write; leaves time to elect another backup before a change times out.
REPLICATE_SECONDS = 0.4

# A write that takes longer marks the disk as unhealthy; 100 times the usual duration.
DISK_HANGS_AFTER_SECONDS = 0.4

# Time for which a disk counts as unhealthy after a failed write.
DISK_FAILURE_SECONDS = 2.0

ResponseT = TypeVar("ResponseT", bound=Message)

# Requests that are addressed to one member's disk.
MemberRequest = (
    PrepareRequest
    | WriteRequest
    | CandidateReadRequest
    | InstallViewRequest
    | TransferLeadershipRequest
)


@dataclass(slots=True)
class ReplicaIO:
    """A replica with its disk, its network and its clock.

    Attributes:
        replica: The state machine.
        network: Network for calls to other stores.
        disk: Disk that stores the record.
        clock: Monotonic clock, in seconds.
        write_lock: Held during each change of the record until it is on disk.
        write_began_at: When the write in progress began, None if there is none.
        write_failed_at: When a write last failed.
        tasks: All background tasks.
    """

    replica: Replica
    network: Network
    disk: Disk
    clock: Callable[[], float]
    write_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    write_began_at: float | None = None
    write_failed_at: float = LONG_AGO
    tasks: set[asyncio.Task[Any]] = field(default_factory=set)

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Runs `work` as a background task, until it ends or the store stops."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None and not isinstance(error, CallRefusedError):
            logging.error("store: task failed error=%r", error)

    def cancel_tasks(self) -> None:
        """Cancels all background tasks."""
        for task in list(self.tasks):
            task.cancel()

    # --- the disk

    async def persist(self, change: Callable[[float], Record]) -> Record:
        """Changes the record and writes it to disk; cancelling the caller doesn't stop the write.

        Args:
            change: Gets the time of the change, returns the record to write.

        Returns:
            The record that is on disk now.

        Raises:
            CallRefusedError: The change was refused, or the disk failed; in the latter case the
                record may be on disk nevertheless.
        """
        return await asyncio.shield(self.spawn(self._persist(change)))

    async def _persist(self, change: Callable[[float], Record]) -> Record:
        async with self.write_lock:
            record = change(self.clock())
            pages = record.pages(self.replica.record)
            if pages:
                await self._save(pages)
            self.replica.on_persisted(record)
            return record

    async def persist_pages(self, pages: Pages) -> None:
        """Writes pages other than those of the record.

        Raises:
            CallRefusedError: The disk failed; the pages may be on disk nevertheless.
        """
        await asyncio.shield(self.spawn(self._persist_pages(pages)))

    async def _persist_pages(self, pages: Pages) -> None:
        async with self.write_lock:
            await self._save(pages)

    async def _save(self, pages: Pages) -> None:
        self.write_began_at = self.clock()
        try:
            await self.disk.save(pages)
        except OSError as error:
            self.write_failed_at = self.clock()
            raise CallRefusedError(f"disk: {error}") from error
        finally:
            self.write_began_at = None

    def check_disk(self, now: float) -> None:
        """Marks the member as unhealthy while its disk hangs or after a failed write."""
        if self.replica.state is MemberState.LEAVING:
            return
        began_at = self.write_began_at
        hangs = began_at is not None and now - began_at > DISK_HANGS_AFTER_SECONDS
        has_failed = now - self.write_failed_at < DISK_FAILURE_SECONDS
        state = MemberState.UNHEALTHY if hangs or has_failed else MemberState.HEALTHY
        if state is not self.replica.state:
            logging.info("store: disk state=%s", state.name.lower())
            self.replica.state = state

    # --- calls to other members, each addressed to one disk

    async def call(
        self,
        member: Member,
        request: MemberRequest,
        response_type: type[ResponseT],
        timeout_seconds: float = CALL_SECONDS,
    ) -> ResponseT | CallFailure:
        """Calls a member.

        Returns:
            The response, or the failure, which says whether the call may have run.
        """
        addressed = msgspec.structs.replace(request, recipient=member.id)
        result = await client.call(
            self.network, member.address, addressed, response_type, timeout_seconds
        )
        match result:
            case Result(tag="ok", ok=response):
                return response
            case Result(error=failure):
                return failure

    async def replicate(
        self, member: Member, epoch: int, configuration: VersionedData
    ) -> CallFailure | None:
        """Replicates the configuration to a member's disk.

        A member that doesn't respond is avoided as backup for `AVOID_MEMBER_SECONDS`.

        Returns:
            None if the member wrote it, otherwise the kind of failure.
        """
        version, data = configuration
        request = WriteRequest(
            epoch=epoch,
            writer_id=self.replica.member.id,
            version=version,
            data=data,
            history=self.replica.history_with(version, data).to_row(),
        )
        timeout_seconds = REPLICATE_SECONDS + transfer_seconds(len(data))
        answer = await self.call(member, request, Acknowledgement, timeout_seconds)
        if not isinstance(answer, CallFailure):
            return None
        if answer is not CallFailure.REFUSED:
            self.replica.peers.avoid(self.clock(), member)
        return answer

    async def install_view(self, member: Member, view: View) -> None:
        """Installs the view at a member; a success counts as the member's lease grant."""
        sent_at = self.clock()
        request = InstallViewRequest(view=view.to_row())
        answer = await self.call(member, request, Acknowledgement)
        if not isinstance(answer, CallFailure):
            self.replica.on_grant(member.id, view.epoch, sent_at)

    async def run_until(
        self, work: Iterable[Coroutine[Any, Any, Any]], is_enough: Callable[[], bool]
    ) -> None:
        """Runs `work` until `is_enough` or all is done; the rest continues in the background."""
        waiting = {self.spawn(coroutine) for coroutine in work}
        while waiting and not is_enough():
            _, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)

    async def prepare(
        self,
        members: Iterable[Member],
        request: PrepareRequest,
        is_enough: Callable[[dict[str, PrepareResponse]], bool],
    ) -> dict[str, PrepareResponse]:
        """Requests promises from members.

        Returns:
            Responses by member id, as soon as `is_enough` holds or all calls have ended.
        """
        responses: dict[str, PrepareResponse] = {}

        async def ask(member: Member) -> None:
            """Records the member's response, if there is one."""
            response = await self.call(member, request, PrepareResponse)
            if not isinstance(response, CallFailure):
                responses[member.id] = response
                self.replica.observe_view(View.from_row(response.view))

        own_id = self.replica.member.id
        await self.run_until(
            (ask(member) for member in members if member.id != own_id),
            lambda: is_enough(responses),
        )
        return dict(responses)
