"""The calls of a rescue: all members are asked what they hold, the one chosen founds the view
(rescue.py).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from expression import Result

from loomstand.rpc import Address
from loomstand.rpc.errors import CallRefusedError
from loomstand.store import rescue
from loomstand.store.ballot import Held
from loomstand.store.election import Election
from loomstand.store.replica import Replica
from loomstand.store.replica_io import CALL, Body, ReplicaIO
from loomstand.store.rescue import Case, Told

# s for a whole rescue at the member chosen: two looks, promises, a backup's write or two, and the
# view's
WITHIN = 4.0


class RescueCalls:
    """Of one store. `busy` is held by whatever a primary or candidate does; `crown` lets one
    begin.
    """

    def __init__(
        self,
        desk: Callable[[], ReplicaIO],
        busy: asyncio.Lock,
        rng: Random,
        crown: Callable[[], None],
    ) -> None:
        self.desk, self.busy, self.rng, self.crown = desk, busy, rng, crown
        # the highest that was given back and isn't known to be in force
        self.offered: Held = (0, b"")

    @property
    def replica(self) -> Replica:
        return self.desk().replica

    def given(self, version: int, data: bytes) -> None:
        """A registry or limiter holds this. Without a primary it's kept: a rescue may need it."""
        if version > max(self.offered[0], self.replica.version):
            self.offered = (version, data)

    def told(self) -> Told:
        if self.offered[0] <= self.replica.version:
            self.offered = (0, b"")
        return rescue.told(self.replica, self.desk().clock(), self.offered)

    async def look(self, gone: list[str]) -> Case:
        """Asks all members that it knows of, and those that the views found name besides."""
        told, asked = [self.told()], {self.replica.me.address}
        while new := self._others(told) - asked:
            asked |= new
            told += [t for t in await asyncio.gather(*(self._ask(a) for a in sorted(new))) if t]
        return rescue.case(told, gone, self.replica.seeds)

    def _others(self, told: list[Told]) -> set[Address]:
        named = {m.address for t in told if t.view for m in t.view.named().values()}
        return named | {*self.replica.peers}

    async def _ask(self, address: Address) -> Told | None:
        match await self.desk().network.call(address, "told", {}, CALL):
            case Result(tag="ok", ok=answer):
                return Told.read(answer)
        return None

    async def serve(self, body: Body) -> Body:
        """{gone: [host], token: text or None} -> {case}, or with a token {done}, or {no: [why]}."""
        gone, token = [str(host) for host in body["gone"]], body["token"]
        found = await self.look(gone)
        if not token:
            return {"case": found.body()}
        if no := _refused(found, token):
            return {"no": no}
        chosen = found.chosen()
        assert chosen is not None  # else it waits for two
        if chosen.member == self.replica.me:
            async with self.busy:
                return await self._found(gone, token)
        if body.get("handed"):
            return {"no": ["the core machines don't see the same"]}
        call = {"gone": gone, "token": token, "handed": True, "to": chosen.member.id}
        match await self.desk().network.call(chosen.member.address, "rescue", call, WITHIN):
            case Result(tag="ok", ok=answer):
                return answer
        return {
            "no": [
                f"{chosen.member.address[0]}, which was to found the view, gave no answer: look "
                "again"
            ]
        }

    async def _found(self, gone: list[str], token: str) -> Body:
        desk, replica = self.desk(), self.replica
        found = await self.look(gone)  # another rescue may have ended while this one waited
        if no := _refused(found, token):
            return {"no": no}
        try:
            stands = await Election(
                desk, rescue.ballot(found, rescue.best(replica, self.offered), self.rng), None
            ).run()
        except CallRefusedError as why:
            return {"no": [f"nothing is founded: {why}"]}
        view = replica.record.view
        self.crown()
        if not stands or view is None or replica.lease_left(desk.clock()) <= 0.0:
            replica.postpone(desk.clock())
            return {
                "no": [
                    "nothing is founded: some member in reach didn't promise, or wrote nothing; "
                    "look again"
                ]
            }
        hosts = [m.address[0] for m in view.voters]
        backup = view.backup.address[0] if view.backup else None
        primary, version = view.primary.address[0], f"r{replica.version}"
        done = {
            "epoch": view.epoch,
            "version": version,
            "primary": primary,
            "backup": backup,
            "voters": hosts,
        }
        return {"done": done}


def _refused(found: Case, token: str) -> list[str]:
    if token != found.token():
        return ["the state is another one than that of this token: look again", *found.waits()]
    return found.waits()
