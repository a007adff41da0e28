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
from loomstand.membership.endpoint_lists import FORWARD_COUNT, PART_SERVERS, EndpointLists
from loomstand.membership.members import Membership, MemberState
from loomstand.membership.messages import Part, Want

# a starting limiter without a list requests one at every second tick
TICK_SECONDS = 0.05


class Limiter(Protocol):
    """The limiter, as far as this module uses it."""

    loop: asyncio.AbstractEventLoop

    def log(self, text: str) -> None: ...

    def update_servers(self, list_: BackendList) -> None: ...


class DiscoveryWatch(Protocol):
    """The watch on discovery, which can be on or off."""

    revision: int

    def set_active(self, on: bool) -> None: ...


class PeerProtocol(asyncio.DatagramProtocol):
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
        address: str,
        configured_addresses: Sequence[str],
        initial_list: BackendList,
        seed: int,
    ) -> None:
        now = limiter.loop.time()
        self.limiter, self.watch, self.address = limiter, watch, address
        # Where the configuration names all peers, no address is announced: none has to be found,
        # and an address may be valid for one pair of limiters only.
        announced = (
            "" if len(set(configured_addresses) - {address}) >= limiter_count - 1 else address
        )
        incarnation = time.time_ns() // 1_000_000
        self.members = Membership(
            limiter_id, announced, incarnation, configured_addresses, seed, now
        )
        self.lists = EndpointLists(limiter_id, now, limiter_count)
        if initial_list.backends:
            self.lists.from_configuration(initial_list)
        self.transport: asyncio.DatagramTransport | None = None
        self.ticks, self.counts = 0, Tally[str]()

    async def listen(self) -> None:
        await self.limiter.loop.create_datagram_endpoint(
            lambda: self, parse_host_port(self.address, "peer")
        )
        self.tick()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def tick(self) -> None:
        """Runs the timers, and schedules the next call."""
        if self.transport is None or self.transport.is_closing():
            return
        now = self.limiter.loop.time()
        self.members.revision, self.members.age = self.lists.revision, self.lists.age(now)
        self.members.tick(now)
        # At a start, request a list from anyone: the limiter has none, or an old one of its
        # configuration.
        if self.ticks % 2 == 0 and (not self.lists.revision or now - self.lists.started_at < 1.0):
            alive = [
                p.address
                for p in self.members.peers.values()
                if p.address and p.state is MemberState.ALIVE
            ]
            candidates = alive or self.members.configured_addresses
            for recipient in self.members.rng.sample(candidates, min(2, len(candidates))):
                self.members.send(recipient, Want(*self.members.header()))
        self.watch.set_active(self.lists.should_watch(now, self.members.alive()))
        self.ticks += 1
        if self.ticks % 200 == 0 and self.counts:
            tally = ", ".join(f"{k} {n}" for k, n in sorted(self.counts.items()))
            self.limiter.log(
                f"peers: {len(self.members.alive())} alive, revision {self.lists.revision}; {tally}"
            )
            self.counts.clear()
        self.flush()
        self.limiter.loop.call_later(TICK_SECONDS, self.tick)

    def flush(self) -> None:
        """Sends the messages in the outbox, and logs changes of members' states."""
        outbox, self.members.outbox = self.members.outbox, []
        for recipient, message in outbox:
            address = (
                recipient
                if isinstance(recipient, str)
                else getattr(self.members.peers.get(recipient), "address", "")
            )
            if address and self.transport is not None and not self.transport.is_closing():
                raw = messages.encode(message)
                self.counts["sent"] += 1
                self.transport.sendto(raw, parse_host_port(address, "peers"))
        transitions, self.members.transitions = self.members.transitions, []
        for id_, old, new in transitions:
            if MemberState.SUSPECTED in (old, new) or new in (MemberState.DEAD, MemberState.LEFT):
                self.limiter.log(f"peer {id_}: {old.name.lower()} to {new.name.lower()}")

    def datagram_received(self, raw: bytes, source: tuple[str, int]) -> None:
        now, address = self.limiter.loop.time(), f"{source[0]}:{source[1]}"
        try:
            message = messages.decode(raw)
            if (
                not self.members.is_known_source(message.id, address)
                or message.id == self.members.limiter_id
            ):
                raise ValueError("the sender is not a known member")
        except (msgspec.DecodeError, LimiterConfigError, ValueError) as error:
            self.counts["spoilt"] += 1
            self.limiter.log(f"peers: a datagram from {address} changes nothing: {error}")
            return
        self.counts["came"] += 1
        self.members.revision, self.members.age = self.lists.revision, self.lists.age(now)
        self.members.receive(now, message, address)
        self.lists.observe_age(now, message.age)
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
                for part in self.lists.whole_list():
                    part.incarnation, part.age = self.members.incarnation, self.lists.age(now)
                    self.members.send(
                        message.id if message.id in self.members.peers else address, part
                    )
        if self.lists.should_request(now, message.revision):
            self.members.send(message.id, Want(*self.members.header()))
        self.flush()

    def apply_from_peer(self, changes: BackendList, part: Part) -> None:
        """Passes a peer's list or change to the limiter, and forwards a change."""
        self.watch.revision = max(self.watch.revision, changes.revision)
        self.counts["lists from peers"] += 1
        self.limiter.update_servers(changes)
        if not part.is_whole:
            self.forward(part)

    def discovery_listed(self, received: BackendList) -> None:
        """Applies a list from discovery, and forwards a change to peers."""
        part = self.lists.from_discovery(self.limiter.loop.time(), received)
        if part is not None:
            self.counts["lists from discovery"] += 1
            if len(part.servers) <= PART_SERVERS and not part.is_whole:
                self.forward(part)
            self.flush()

    def discovery_confirmed(self) -> None:
        """Notes that discovery confirmed the list as unchanged."""
        if self.lists.revision:
            self.lists.confirmed_at = self.limiter.loop.time()

    def forward(self, part: Part) -> None:
        others = [p.id for p in self.members.peers.values() if p.state is MemberState.ALIVE]
        header = self.members.header()
        own_part = Part(
            *header,
            number=part.number,
            count=part.count,
            is_whole=part.is_whole,
            base_revision=part.base_revision,
            servers=part.servers,
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
