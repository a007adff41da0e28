"""The counting duty at a store: what it says and hears of it, and its answers to registries that
ask.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import cbor2
from absl import logging

from loomstand.rpc.errors import CallRefusedError
from loomstand.store.counting_lease import CountingLease
from loomstand.store.replica import ABSENT, SILENT
from loomstand.store.replica_io import Body, ReplicaIO

ASKED = 0.35  # s for which an asking waits until this store serves: the asker waits 0.4


class LeaseService:
    """`changed` waits until something has changed at the store; `tell` brings others what `says`
    does.
    """

    def __init__(
        self,
        desk: ReplicaIO,
        changed: Callable[[], Awaitable[Any]],
        tell: Callable[[], None],
        pages: dict[str, bytes],
    ) -> None:
        """`pages`: what is on the disk at the start."""
        self.desk, self.changed, self.tell = desk, changed, tell
        self.duty, self.turn = CountingLease(desk.replica.me.address[0]), asyncio.Lock()
        # when the newest primary known last said that it serves, and until when nobody else does
        self.word, self.serves = -1e9, -1e9
        replica = desk.replica
        view = replica.record.view
        if view is not None and view.primary.id == replica.me.id and "duty" in pages:
            self.duty.wake(replica.started, view.epoch, cbor2.loads(pages["duty"]))

    def left(self) -> float:
        """Seconds for which this store serves."""
        return self.desk.replica.lease_left(self.desk.clock())

    def begin(self) -> None:
        """The store begins to serve."""
        self.duty.begin(self.desk.clock())
        self.duty.lapse(self.desk.clock())
        self.tell()  # so that those who may count ask at once

    def tick(self) -> None:
        if self.left() > 0.0 and self.duty.lapse(self.desk.clock()):
            self._let()

    def bars(self, released: int) -> bool:
        """Whether nothing may be promised: this one let the duty out and handed the reign on, and
        who asks doesn't know of it.
        """
        return self.duty.lent(self.desk.clock()) and released < self.duty.epoch

    def told(self) -> list[Any] | None:
        """[epoch, number, host] of the duty as it's known here."""
        duty, view = self.duty, self.desk.replica.record.view
        if view is not None and self.left() > 0.0:
            duty.epoch = max(duty.epoch, view.epoch)
        return [duty.epoch, duty.number, duty.named] if duty.epoch else None

    def says(self) -> Body:
        """What the beats of the one that serves say besides."""
        told, left = self.told(), self.left()
        return {"duty": [*told[1:], int(1000 * left)]} if told and left > 0.0 else {}

    def outdated(self, said: Body) -> bool:
        """Whether others need to hear more than was said."""
        now = self.says()
        return bool(now) and (not said or said["duty"][:2] != now["duty"][:2])

    def heed(self, body: Body, at: float) -> None:
        """A beat, or the answer to one that was sent at that time: whether the newest primary
        serves, and who counts.
        """
        view, said = self.desk.replica.base(), body.get("duty")
        if (
            view is None
            or (body["epoch"], body["member"][0]) != (view.epoch, view.primary.id)
            or not said
        ):
            return
        self.word, self.serves = max(self.word, at), max(self.serves, at + int(said[2]) / 1000)
        self.duty.hear(view.epoch, int(said[0]), str(said[1]))

    def fresh(self) -> bool:
        """Whether nothing newer can be in force that isn't known here: for where this machine is
        cut off.

        Either the primary has said that it serves for so long; or it's gone, but not for long, and
        so many electors are in reach that nobody can have taken over unheard: nobody waits for a
        takeover then.
        """
        replica, now = self.desk.replica, self.desk.clock()
        if self.left() > 0.0 or now < self.serves:
            return True
        near = {replica.me.id, *(i for i, at in replica.heard.items() if now - at < SILENT)}
        view = replica.base()
        return view is not None and now - self.word < ABSENT and view.agreed(near)

    async def asked(self, body: Body) -> Body:
        """A registry asks for the duty, or gives it back."""
        host, life, duty, clock = str(body["host"]), int(body["life"]), self.duty, self.desk.clock
        try:
            async with asyncio.timeout(ASKED):
                while self.left() <= 0.0:
                    if not body.get("back"):
                        duty.spoke[host] = clock()
                    await self.changed()
        except TimeoutError:
            raise CallRefusedError("it doesn't serve") from None
        if body.get("back"):
            if duty.back(host, life):
                self._let()
            return {}
        if (early := duty.early(clock(), host)) > 0.0:
            await asyncio.sleep(early)
        async with self.turn:
            if not duty.may(clock(), host):
                raise CallRefusedError("another has it")
            if (page := duty.page(host)) != duty.paged:
                duty.paged = None
                await self.desk.note({"duty": cbor2.dumps(page)})
                if page != duty.page(host):
                    raise CallRefusedError("it has changed")
                duty.paged = page
            before = duty.named
            span = duty.grant(clock(), host, life, self.left())
            if not span:
                raise CallRefusedError("it serves no more, or another has it")
        if before != host:
            self._let()
        return {"span": span, "duty": self.told()}

    def _let(self) -> None:
        logging.info(
            "store: %s", f"{self.duty.named} counts" if self.duty.named else "anybody may count"
        )
        self.tell()
