"""Exchange of datagrams between limiters: connects membership and endpoint lists to the limiter.

Uses a UDP socket and timers; all decisions are made in `members` and `endpoint_lists`.
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

TICK_SECONDS = 0.05
# Ticks between two requests for an endpoint list of a limiter that is starting or has no list.
REQUEST_INTERVAL_TICKS = 2
# Time after the start in which a limiter requests endpoint lists even if it has one.
STARTUP_SECONDS = 1.0
LOG_INTERVAL_TICKS = 200  # between two log lines with the counts of events


class Limiter(Protocol):
    """Interface of the limiter for this module.

    Attributes:
        loop: The limiter's event loop.
    """

    loop: asyncio.AbstractEventLoop

    def log(self, text: str) -> None:
        """Writes a log line."""

    def update_servers(self, list_: BackendList) -> None:
        """Applies an endpoint list or a change."""


class DiscoveryWatch(Protocol):
    """Interface of the connection to discovery, which receives its endpoint lists and changes.

    Attributes:
        revision: The revision after which discovery is asked for changes.
    """

    revision: int

    def set_active(self, on: bool) -> None:
        """Starts or stops watching discovery."""


class PeerProtocol(asyncio.DatagramProtocol):
    """Exchange of datagrams with the other limiters.

    Args:
        limiter: The limiter.
        watch: The limiter's watch on discovery.
        limiter_id: The limiter's number.
        limiter_count: Number of limiters in the settings.
        address: Address at which the limiter receives datagrams, as HOST:PORT.
        configured_addresses: Addresses of peers in the limiter's configuration.
        initial_list: The endpoint list of the limiter's configuration.
        seed: Seed of the random generator.

    Attributes:
        members: The limiter's view of the group.
        lists: The limiter's copy of the endpoint list.
        transport: Transport of the UDP socket; None until it is open.
        ticks: Number of ticks so far.
        counts: Number of events of each kind since the last log line.
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
        # If the configuration lists all peers, no address is announced: none has to be discovered,
        # and an address may be valid between two particular limiters only.
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
        """Opens the socket and starts the timer."""
        await self.limiter.loop.create_datagram_endpoint(
            lambda: self, parse_host_port(self.address, "peer")
        )
        self.tick()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def tick(self) -> None:
        """Sends due messages, starts or stops the watch, and schedules the next tick."""
        if self.transport is None or self.transport.is_closing():
            return
        now = self.limiter.loop.time()
        self.members.revision, self.members.age = self.lists.revision, self.lists.age(now)
        self.members.tick(now)
        # A starting limiter has no list, or possibly an outdated one from its configuration.
        needs_list = not self.lists.revision or now - self.lists.started_at < STARTUP_SECONDS
        if self.ticks % REQUEST_INTERVAL_TICKS == 0 and needs_list:
            alive = [
                peer.address
                for peer in self.members.peers.values()
                if peer.address and peer.state is MemberState.ALIVE
            ]
            candidates = alive or self.members.configured_addresses
            for recipient in self.members.rng.sample(candidates, min(2, len(candidates))):
                self.members.send(recipient, Want(*self.members.header()))
        self.watch.set_active(self.lists.should_watch(now, self.members.alive()))
        self.ticks += 1
        if self.ticks % LOG_INTERVAL_TICKS == 0 and self.counts:
            tally = ", ".join(f"{event} {count}" for event, count in sorted(self.counts.items()))
            self.limiter.log(
                f"peers: {len(self.members.alive())} alive, revision {self.lists.revision}; {tally}"
            )
            self.counts.clear()
        self.flush()
        self.limiter.loop.call_later(TICK_SECONDS, self.tick)

    def flush(self) -> None:
        """Sends the messages in the outbox, and logs the members' state transitions."""
        outbox, self.members.outbox = self.members.outbox, []
        for recipient, message in outbox:
            address = (
                recipient
                if isinstance(recipient, str)
                else getattr(self.members.peers.get(recipient), "address", "")
            )
            if address and self.transport is not None and not self.transport.is_closing():
                datagram = messages.encode(message)
                self.counts["sent"] += 1
                self.transport.sendto(datagram, parse_host_port(address, "peers"))
        transitions, self.members.transitions = self.members.transitions, []
        for id_, old, new in transitions:
            if MemberState.SUSPECTED in (old, new) or new in (MemberState.DEAD, MemberState.LEFT):
                self.limiter.log(f"peer {id_}: {old.name.lower()} to {new.name.lower()}")

    def datagram_received(self, raw: bytes, source: tuple[str, int]) -> None:
        """Handles a datagram; an invalid one, or one from an unknown sender, is only logged."""
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
        """Passes a list or change from a peer to the limiter; forwards it if it is a change."""
        self.watch.revision = max(self.watch.revision, changes.revision)
        self.counts["lists from peers"] += 1
        self.limiter.update_servers(changes)
        if not part.is_whole:
            self.forward(part)

    def discovery_listed(self, received: BackendList) -> None:
        """Records a list or change from discovery, and forwards it to peers if it is a change."""
        part = self.lists.from_discovery(self.limiter.loop.time(), received)
        if part is not None:
            self.counts["lists from discovery"] += 1
            if len(part.servers) <= PART_SERVERS and not part.is_whole:
                self.forward(part)
            self.flush()

    def discovery_confirmed(self) -> None:
        """Records that discovery confirmed the list as unchanged."""
        if self.lists.revision:
            self.lists.confirmed_at = self.limiter.loop.time()

    def forward(self, part: Part) -> None:
        """Sends a change to random peers, with this limiter as the sender."""
        others = [
            peer.id for peer in self.members.peers.values() if peer.state is MemberState.ALIVE
        ]
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
        """Announces that this limiter leaves the group; the socket stays open until `stop`."""
        self.members.leave()
        self.flush()

    def stop(self) -> None:
        """Closes the socket and ends the timer."""
        if self.transport is not None:
            self.transport.close()
