"""The other members as their heartbeats and answers show them: the failure detector.

A state machine without clock, disk or network; `now` is a steady clock's seconds.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from enum import Enum

from loomstand.rpc import Address
from loomstand.rpc.messages.replication_messages import MemberStatus
from loomstand.store.timing import (
    AVOID_MEMBER_SECONDS,
    FOREVER_SECONDS,
    FORGET_ADDRESS_AFTER_SECONDS,
    LONG_AGO,
    REPLACE_VOTER_AFTER_SECONDS,
    UNREACHABLE_AFTER_SECONDS,
)
from loomstand.store.views import Member, View


class MemberState(Enum):
    """How a member is, as it tells of itself; the numbers are on the wire."""

    HEALTHY = 0
    UNHEALTHY = 1  # its disk hangs or refuses
    LEAVING = 2  # it was told to stop


@dataclass(slots=True)
class Peer:
    """Another store, as its heartbeats and answers tell.

    Attributes:
        id: Its member id, empty until it was heard.
        state: Its state.
        answered_at: When it last answered a heartbeat of this member.
        named_at: When somebody last named its address.
        view_epoch: Epoch of the view on its disk, 0 if there is none.
        newest_view_epoch: Epoch of the newest view that it knows, 0 if it knows none.
        promised_epoch: The highest epoch that it promised.
        committed_version: The newest committed version that it knows, -1 if it knows none.
        is_founder: Whether its disk was empty at the first start of the whole system.
    """

    id: str = ""
    state: MemberState = MemberState.HEALTHY
    answered_at: float = LONG_AGO
    named_at: float = 0.0
    view_epoch: int = 0
    newest_view_epoch: int = 0
    promised_epoch: int = 0
    committed_version: int = 0
    is_founder: bool = False


@dataclass(slots=True)
class PeerTable:
    """All other stores that are known.

    Attributes:
        own_member: This member, which is never in the table.
        started_at: When this member started.
        by_address: The peers.
        answered_at: When a disk last answered, by its member id.
        avoided_until: Until when a member isn't chosen as backup, by its id.
    """

    own_member: Member
    started_at: float
    by_address: dict[Address, Peer] = field(default_factory=dict)
    answered_at: dict[str, float] = field(default_factory=dict)
    avoided_until: dict[str, float] = field(default_factory=dict)

    def add(self, now: float, addresses: Iterable[Address]) -> None:
        """Somebody named these addresses of stores."""
        for address in addresses:
            if address != self.own_member.address:
                self.by_address.setdefault(address, Peer()).named_at = now

    def forget(self, now: float, retained: Collection[Address]) -> None:
        """Drops the addresses that nobody named for long, except for those of `keep`."""
        for address, peer in list(self.by_address.items()):
            if address not in retained and now - peer.named_at > FORGET_ADDRESS_AFTER_SECONDS:
                del self.by_address[address]

    def update(self, now: float, status: MemberStatus) -> Peer:
        """Takes in what a heartbeat, or the answer to one, tells of its sender."""
        member = Member.from_row(status.member)
        self.add(now, [member.address])
        peer = self.by_address.get(member.address) or Peer()
        if peer.id != member.id:
            peer.id = member.id
            peer.answered_at = LONG_AGO
        peer.state = MemberState(status.state)
        peer.is_founder = status.is_founder
        peer.view_epoch = status.view_epoch
        peer.newest_view_epoch = status.newest_view_epoch
        peer.promised_epoch = status.promised_epoch
        peer.committed_version = status.committed_version
        return peer

    def seconds_since_contact(self, now: float, member: Member) -> float:
        """Seconds since that very disk answered; forever if another disk answers in its place."""
        if member.id == self.own_member.id:
            return 0.0
        peer = self.by_address.get(member.address)
        if peer is not None and peer.id not in ("", member.id) and is_reachable(peer, now):
            return FOREVER_SECONDS
        return now - max(self.answered_at.get(member.id, LONG_AGO), self.started_at)

    def is_usable(self, now: float, member: Member) -> bool:
        """Whether that disk answers and is healthy."""
        peer = self.by_address.get(member.address)
        return (
            member.id in self.answered_at
            and self.seconds_since_contact(now, member) < UNREACHABLE_AFTER_SECONDS
            and peer is not None
            and peer.state is MemberState.HEALTHY
        )

    def is_unusable(self, now: float, member: Member) -> bool:
        """Whether it is silent, leaves, or is unhealthy; not if it just wasn't heard yet."""
        if self.seconds_since_contact(now, member) >= UNREACHABLE_AFTER_SECONDS:
            return True
        peer = self.by_address.get(member.address)
        return peer is not None and peer.id == member.id and peer.state is not MemberState.HEALTHY

    def is_leaving(self, member: Member) -> bool:
        """Whether that disk's store was told to stop, as it tells."""
        peer = self.by_address.get(member.address)
        return peer is not None and peer.id == member.id and peer.state is MemberState.LEAVING

    def avoid(self, now: float, member: Member) -> None:
        """That member has just failed to write."""
        self.avoided_until[member.id] = now + AVOID_MEMBER_SECONDS

    def is_avoided(self, now: float, member: Member) -> bool:
        """Whether it lately failed to write: others come first, but it is better than nobody."""
        return self.avoided_until.get(member.id, LONG_AGO) > now

    def live_members(self, now: float) -> list[Member]:
        """All others that answer and are healthy, by address."""
        members = [Member(peer.id, at) for at, peer in self.by_address.items() if peer.id]
        usable = [member for member in members if self.is_usable(now, member)]
        return sorted(usable, key=lambda member: member.address)

    def recent_addresses(self, now: float) -> list[Address]:
        """The addresses of the stores that lately answered, and this one's, sorted."""
        recent = [
            address
            for address, peer in self.by_address.items()
            if now - peer.answered_at < REPLACE_VOTER_AFTER_SECONDS
        ]
        return sorted([*recent, self.own_member.address])

    def reachable_addresses(self, now: float) -> list[Address]:
        """The addresses of the peers that answer, in the order in which they became known."""
        return [address for address, peer in self.by_address.items() if is_reachable(peer, now)]

    def backup_candidates(self, now: float, base: View | None) -> list[Member]:
        """The members that may be the backup, best first.

        That is the present one, then voters, then members of another network than this one's.
        """
        electors = base.electors() if base else {}
        own_network = self.own_member.address[0].rsplit(".", 2)[0]

        def order(member: Member) -> tuple[bool, bool, bool, bool, Address]:
            """Sorts the best backup first."""
            has_data = base is not None and base.has_data(member.id)
            is_near = member.address[0].startswith(own_network)
            is_avoided = self.is_avoided(now, member)
            return is_avoided, not has_data, member.id not in electors, is_near, member.address

        return sorted(self.live_members(now), key=order)

    def highest_promised_epoch(self) -> int:
        """The highest epoch that any of them promised, as they told; 0 if there is nobody."""
        return max((peer.promised_epoch for peer in self.by_address.values()), default=0)


def is_reachable(peer: Peer, now: float) -> bool:
    """Whether it has just answered a heartbeat."""
    return now - peer.answered_at < UNREACHABLE_AFTER_SECONDS
