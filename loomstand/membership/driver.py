"""Exchange of datagrams between limiters: connects membership and endpoint lists to the limiter.

All decisions are made in the pure modules.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter as Tally
from collections.abc import Sequence
from typing import Protocol

import msgspec

from loomstand.config.limiter import BackendList, LimiterConfigError, parse_host_port
from loomstand.membership import messages
from loomstand.membership.endpoint_lists import FORWARD_COUNT, PART_SERVERS, Lists
from loomstand.membership.members import Members, MemberState
from loomstand.membership.messages import Part, Want

# a starting limiter without a list requests one at every second tick
TICK = 0.05


class Limiter(Protocol):
    """The limiter, as far as this module uses it."""

    loop: asyncio.AbstractEventLoop

    def log(self, text: str) -> None: ...

    def listed(self, list_: BackendList) -> None: ...


class DiscoveryWatch(Protocol):
    """The watch on discovery, which can be on or off."""

    revision: int

    def hold(self, on: bool) -> None: ...


class Peers(asyncio.DatagramProtocol):
    """Exchange of datagrams with the other limiters.

    Args:
        limiter: The limiter.
        watch: Its watch on discovery.
        limiter_id: Its number.
        limiter_count: Number of limiters by the settings.
        address: Where it receives datagrams, as HOST:PORT.
        configured_addresses: Addresses of peers in its configuration.
        initial_list: The endpoint list of its configuration.
        seed: For random choices.
    """

    def __init__(
        self,
        limiter: Limiter,
        watch: DiscoveryWatch,
        limiter_id: int,
        limiter_count: int,
        at: str,
        given: Sequence[str],
        initial_list: BackendList,
        seed: int,
    ) -> None:
        now = limiter.loop.time()
        self.limiter, self.watch, self.at = limiter, watch, at
        # Where the configuration names all peers, no address is announced: none has to be found,
        # and an address may be valid for one pair of limiters only.
        announced = "" if len(set(given) - {at}) >= limiter_count - 1 else at
        inc = time.time_ns() // 1_000_000
        self.members = Members(limiter_id, announced, inc, given, seed, now)
        self.lists = Lists(limiter_id, now, limiter_count)
        if initial_list.backends:
            self.lists.from_configuration(initial_list)
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
        """Run the timers, and schedule the next call."""
        if self.transport is None or self.transport.is_closing():
            return
        now = self.limiter.loop.time()
        self.members.revision, self.members.age = self.lists.revision, self.lists.age(now)
        self.members.tick(now)
        # At a start, request a list from anyone: the limiter has none, or an old one of its
        # configuration.
        if self.ticks % 2 == 0 and (not self.lists.revision or now - self.lists.began < 1.0):
            alive = [
                p.at for p in self.members.peers.values() if p.at and p.state is MemberState.ALIVE
            ]
            candidates = alive or self.members.given
            for recipient in self.members.rng.sample(candidates, min(2, len(candidates))):
                self.members.send(recipient, Want(*self.members.head()))
        self.watch.hold(self.lists.watching(now, self.members.alive()))
        self.ticks += 1
        if self.ticks % 200 == 0 and self.counts:
            tally = ", ".join(f"{k} {n}" for k, n in sorted(self.counts.items()))
            self.limiter.log(
                f"peers: {len(self.members.alive())} alive, revision {self.lists.revision}; {tally}"
            )
            self.counts.clear()
        self.flush()
        self.limiter.loop.call_later(TICK, self.tick)

    def flush(self) -> None:
        """Send the messages in the outbox, and log changes of members' states."""
        out, self.members.out = self.members.out, []
        for recipient, message in out:
            at = (
                recipient
                if isinstance(recipient, str)
                else getattr(self.members.peers.get(recipient), "at", "")
            )
            if at and self.transport is not None and not self.transport.is_closing():
                raw = messages.encode(message)
                self.counts["sent"] += 1
                self.transport.sendto(raw, parse_host_port(at, "peers"))
        transitions, self.members.transitions = self.members.transitions, []
        for id_, old, new in transitions:
            if MemberState.SUSPECTED in (old, new) or new in (MemberState.DEAD, MemberState.LEFT):
                self.limiter.log(f"peer {id_}: {old.name.lower()} to {new.name.lower()}")

    def datagram_received(self, raw: bytes, source: tuple[str, int]) -> None:
        now, at = self.limiter.loop.time(), f"{source[0]}:{source[1]}"
        try:
            message = messages.decode(raw)
            if (
                not self.members.is_known_source(message.id, at)
                or message.id == self.members.limiter_id
            ):
                raise ValueError("the sender is not a known member")
        except (msgspec.DecodeError, LimiterConfigError, ValueError) as error:
            self.counts["spoilt"] += 1
            self.limiter.log(f"peers: a datagram from {at} changes nothing: {error}")
            return
        self.counts["came"] += 1
        self.members.revision, self.members.age = self.lists.revision, self.lists.age(now)
        self.members.took(now, message, at)
        self.lists.heard(now, message.age)
        match message:
            case Part():
                rejected, changes = (
                    self.lists.rejected_parts,
                    self.lists.from_peer(now, message),
                )
                if self.lists.rejected_parts > rejected:
                    self.limiter.log(
                        f"peers: a list from limiter {message.id} is none: changes nothing"
                    )
                if changes is not None:
                    self.apply_from_peer(changes, message)
            case Want() if message.revision < self.lists.revision:
                for part in self.lists.whole():
                    part.inc, part.age = self.members.inc, self.lists.age(now)
                    self.members.send(message.id if message.id in self.members.peers else at, part)
        if self.lists.wants(now, message.revision):
            self.members.send(message.id, Want(*self.members.head()))
        self.flush()

    def apply_from_peer(self, changes: BackendList, part: Part) -> None:
        """Pass a peer's list or change to the limiter, and forward a change."""
        self.watch.revision = max(self.watch.revision, changes.revision)
        self.counts["lists from peers"] += 1
        self.limiter.listed(changes)
        if not part.whole:
            self.forward(part)

    def from_discovery(self, received: BackendList) -> None:
        """Apply a list from discovery, and forward a change to peers."""
        part = self.lists.from_discovery(self.limiter.loop.time(), received)
        if part is not None:
            self.counts["lists from discovery"] += 1
            if len(part.members) <= PART_SERVERS and not part.whole:
                self.forward(part)
            self.flush()

    def beat(self) -> None:
        """Note that discovery confirmed the list as unchanged."""
        if self.lists.revision:
            self.lists.fresh = self.limiter.loop.time()

    def forward(self, part: Part) -> None:
        others = [p.id for p in self.members.peers.values() if p.state is MemberState.ALIVE]
        head = self.members.head()
        own_part = Part(
            *head,
            n=part.n,
            of=part.of,
            whole=part.whole,
            since=part.since,
            members=part.members,
        )
        own_part.revision = part.revision
        for recipient in self.members.rng.sample(others, min(FORWARD_COUNT, len(others))):
            self.members.send(recipient, own_part)

    def leave(self) -> None:
        self.members.leave()
        self.flush()

    def stop(self) -> None:
        if self.transport is not None:
            self.transport.close()
