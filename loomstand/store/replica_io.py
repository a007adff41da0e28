"""Where a replica meets its disk and its peers: changes are on disk before anybody hears of
them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass, field
from typing import Any

from absl import logging
from expression import Result

from loomstand.rpc import Network
from loomstand.rpc.errors import CallFailure, CallRefusedError
from loomstand.rpc.network import transfer_seconds
from loomstand.store.disk import Disk
from loomstand.store.replica import Replica, State
from loomstand.store.views import Member, Record, View

CALL = 0.5  # s for a call between stores: a round trip between regions and a slow write
KEEP = 0.4  # s for the backup's write of a change, so that another may still be found in time
# s after which a write that hasn't come back marks the disk as sick: a hundred usual ones
HANG = 0.4
FAILED = 2.0  # s for which a disk that refused a write counts as sick

Body = dict[str, Any]


@dataclass(slots=True)
class ReplicaIO:
    replica: Replica
    network: Network
    disk: Disk
    clock: Callable[[], float]
    # over every change of the record, until on disk
    pen: asyncio.Lock = field(default_factory=asyncio.Lock)
    writing: float | None = None  # since when a write is under way
    failed: float = -1e9  # when a write was last refused
    tasks: set[asyncio.Task[Any]] = field(default_factory=set)

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if (
            not task.cancelled()
            and (error := task.exception())
            and not isinstance(error, CallRefusedError)
        ):
            logging.error("store: %r", error)

    async def ink(self, change: Callable[[float], Record]) -> Record:
        """Makes a change of the record and has it on disk. CallRefusedError: it may be there
        all the same.
        """
        return await asyncio.shield(self.spawn(self._ink(change)))  # not to be stopped in mid-word

    async def _ink(self, change: Callable[[float], Record]) -> Record:
        async with self.pen:
            record = change(self.clock())
            if pages := record.pages(self.replica.record):
                await self._save(pages)
            self.replica.wrote(self.clock(), record)
            return record

    async def note(self, pages: dict[str, bytes]) -> None:
        """Has pages beside the record on disk. CallRefusedError: they may be there all the same."""
        await asyncio.shield(self.spawn(self._note(pages)))

    async def _note(self, pages: dict[str, bytes]) -> None:
        async with self.pen:
            await self._save(pages)

    async def _save(self, pages: dict[str, bytes]) -> None:
        self.writing = self.clock()
        try:
            await self.disk.save(pages)
        except OSError as error:
            self.failed = self.clock()
            raise CallRefusedError(f"disk: {error}") from error
        finally:
            self.writing = None

    def examine(self, now: float) -> None:
        """Marks the member as sick while its disk hangs or has just refused."""
        if self.replica.state is not State.LEAVING:
            hangs = self.writing is not None and now - self.writing > HANG
            state = State.SICK if hangs or now - self.failed < FAILED else State.FIT
            if state is not self.replica.state:
                logging.info(
                    "store: its disk is %s", "in trouble" if state is State.SICK else "well again"
                )
                self.replica.state = state

    # --- calls to other members, each meant for one disk

    async def ask(
        self, member: Member, op: str, body: Body, within: float = CALL
    ) -> Body | CallFailure:
        match await self.network.call(member.address, op, body | {"to": member.id}, within):
            case Result(tag="ok", ok=answer):
                return answer
            case Result(error=verdict):
                return verdict

    async def keep(
        self, member: Member, epoch: int, version: int, data: bytes
    ) -> CallFailure | None:
        """Has `member` write the configuration; None once it has. One that doesn't answer is
        doubted.
        """
        body = {"epoch": epoch, "asker": self.replica.me.id, "version": version, "data": data}
        body |= {"orders": self.replica.orders_with(version, data).body()}
        answer = await self.ask(member, "keep", body, KEEP + transfer_seconds(len(data)))
        if not isinstance(answer, CallFailure):
            return None
        if answer is not CallFailure.REFUSED:
            self.replica.doubt(self.clock(), member)
        return answer

    async def install(self, member: Member, view: View) -> None:
        """Has `member` write the view, which is its grant as well."""
        sent = self.clock()
        if not isinstance(await self.ask(member, "install", {"view": view.body()}), CallFailure):
            self.replica.on_grant(member.id, view.epoch, sent)

    async def until(
        self, work: Iterable[Coroutine[Any, Any, Any]], enough: Callable[[], bool]
    ) -> None:
        """Runs all of `work`, and waits until it's enough or done; the rest goes on by itself."""
        waiting = {self.spawn(w) for w in work}
        while waiting and not enough():
            _, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)

    async def poll(
        self, members: Iterable[Member], body: Body, enough: Callable[[dict[str, Body]], bool]
    ) -> dict[str, Body]:
        """The answers of `members` to a "promise", by id, as soon as they're enough."""
        answers: dict[str, Body] = {}

        async def one(member: Member) -> None:
            answer = await self.ask(member, "promise", body | {"asker": self.replica.me.id})
            if not isinstance(answer, CallFailure):
                answers[member.id] = answer
                self.replica.notice(View.read(answer["view"]))

        await self.until(
            (one(m) for m in members if m.id != self.replica.me.id), lambda: enough(answers)
        )
        return dict(answers)
