"""Peers on datagrams: joins the membership and the lists to the limiter. It decides nothing."""

from __future__ import annotations

import asyncio
import time
from collections import Counter as Tally
from collections.abc import Sequence
from typing import Protocol

import msgspec

from loomstand.config.limiter import BackendList, LimiterConfigError, parse_host_port
from loomstand.membership import messages
from loomstand.membership.endpoint_lists import PASS_ON, PIECE, Lists
from loomstand.membership.members import Members as Membership
from loomstand.membership.members import State
from loomstand.membership.messages import Part, Want

TICK = 0.05  # s: a starting limiter that has no list asks at every other of these


class Fleet(Protocol):
    """The limiter, as its link to peers sees it."""

    loop: asyncio.AbstractEventLoop

    def log(self, text: str) -> None: ...

    def update_servers(self, list_: BackendList) -> None: ...


class Watching(Protocol):
    """The watch on discovery: held or not."""

    revision: int

    def set_active(self, on: bool) -> None: ...


class Peers(asyncio.DatagramProtocol):
    """The link of limiter `me` (of so many) at `at` to the others that `given` names."""

    def __init__(
        self,
        limiter: Fleet,
        watch: Watching,
        me: int,
        limiters: int,
        at: str,
        given: Sequence[str],
        known: BackendList,
        seed: int,
    ) -> None:
        now = limiter.loop.time()
        self.limiter, self.watch, self.at = limiter, watch, at
        # where all are named nothing has to be found, and an address may hold for one pair alone
        said = "" if len(set(given) - {at}) >= limiters - 1 else at
        inc = time.time_ns() // 1_000_000
        self.members = Membership(me, said, inc, given, seed, now)
        self.lists = Lists(me, now, limiters)
        if known.backends:
            self.lists.known(known)
        self.transport: asyncio.DatagramTransport | None = None
        self.ticks, self.counts = 0, Tally[str]()

    async def listen(self) -> None:
        await self.limiter.loop.create_datagram_endpoint(
            lambda: self, parse_host_port(self.at, "peer")
        )
        self.tick()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def tick(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        now = self.limiter.loop.time()
        self.members.revision, self.members.age = self.lists.revision, self.lists.age(now)
        self.members.tick(now)
        # a start: whoever has a newer list than none, or than an old one of the configuration,
        # hands it on
        if self.ticks % 2 == 0 and (not self.lists.revision or now - self.lists.began < 1.0):
            here = [p.at for p in self.members.peers.values() if p.at and p.state is State.ALIVE]
            some = here or self.members.given
            for whom in self.members.rng.sample(some, min(2, len(some))):
                self.members.send(whom, Want(*self.members.head()))
        self.watch.set_active(self.lists.watching(now, self.members.alive()))
        self.ticks += 1
        if self.ticks % 200 == 0 and self.counts:
            said = ", ".join(f"{k} {n}" for k, n in sorted(self.counts.items()))
            self.limiter.log(
                f"peers: {len(self.members.alive())} alive, revision {self.lists.revision}; {said}"
            )
            self.counts.clear()
        self.flush()
        self.limiter.loop.call_later(TICK, self.tick)

    def flush(self) -> None:
        """Sends what is to be sent, and says what moved."""
        out, self.members.out = self.members.out, []
        for whom, message in out:
            at = whom if isinstance(whom, str) else getattr(self.members.peers.get(whom), "at", "")
            if at and self.transport is not None and not self.transport.is_closing():
                raw = messages.encode(message)
                self.counts["sent"] += 1
                self.transport.sendto(raw, parse_host_port(at, "peers"))
        moved, self.members.moved = self.members.moved, []
        for id_, old, new in moved:
            if State.SUSPECTED in (old, new) or new in (State.DEAD, State.LEFT):
                self.limiter.log(f"peer {id_}: {old.name.lower()} to {new.name.lower()}")

    def datagram_received(self, raw: bytes, source: tuple[str, int]) -> None:
        now, place = self.limiter.loop.time(), f"{source[0]}:{source[1]}"
        try:
            message = messages.decode(raw)
            if not self.members.knows(message.id, place) or message.id == self.members.me:
                raise ValueError("from no member")
        except (msgspec.DecodeError, LimiterConfigError, ValueError) as why:
            self.counts["spoilt"] += 1
            self.limiter.log(f"peers: a datagram from {place} changes nothing: {why}")
            return
        self.counts["came"] += 1
        self.members.revision, self.members.age = self.lists.revision, self.lists.age(now)
        self.members.took(now, message, place)
        self.lists.heard(now, message.age)
        match message:
            case Part():
                refused, told = self.lists.refused, self.lists.from_peer(now, message)
                if self.lists.refused > refused:
                    self.limiter.log(
                        f"peers: a list from limiter {message.id} is none: changes nothing"
                    )
                if told is not None:
                    self.told(told, message)
            case Want() if message.revision < self.lists.revision:
                for part in self.lists.whole():
                    part.inc, part.age = self.members.inc, self.lists.age(now)
                    self.members.send(
                        message.id if message.id in self.members.peers else place, part
                    )
        if self.lists.wants(now, message.revision):
            self.members.send(message.id, Want(*self.members.head()))
        self.flush()

    def told(self, told: BackendList, part: Part) -> None:
        """A list or change from a peer counts as told; what is new is passed on."""
        self.watch.revision = max(self.watch.revision, told.revision)
        self.counts["lists from peers"] += 1
        self.limiter.update_servers(told)
        if not part.whole:
            self.pass_on(part)

    def from_discovery(self, told: BackendList) -> None:
        """Discovery spoke here: the others get it from us."""
        part = self.lists.from_discovery(self.limiter.loop.time(), told)
        if part is not None:
            self.counts["lists from discovery"] += 1
            if len(part.members) <= PIECE and not part.whole:
                self.pass_on(part)
            self.flush()

    def beat(self) -> None:
        """Discovery says that nothing changed."""
        if self.lists.revision:
            self.lists.fresh = self.limiter.loop.time()

    def pass_on(self, part: Part) -> None:
        others = [p.id for p in self.members.peers.values() if p.state is State.ALIVE]
        head = self.members.head()
        mine = Part(
            *head, n=part.n, of=part.of, whole=part.whole, since=part.since, members=part.members
        )
        mine.revision = part.revision
        for whom in self.members.rng.sample(others, min(PASS_ON, len(others))):
            self.members.send(whom, mine)

    def leave(self) -> None:
        self.members.leave()
        self.flush()

    def stop(self) -> None:
        if self.transport is not None:
            self.transport.close()
