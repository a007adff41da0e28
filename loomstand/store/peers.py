"""The failure detector: state of the other members by their heartbeats and responses.

A state machine without clock, disk or network; `now` is in seconds of a monotonic clock.
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
    """Health of a member, as reported by itself; the values are on the wire."""

    HEALTHY = 0
    UNHEALTHY = 1  # its disk hangs or fails writes
    LEAVING = 2  # it is shutting down


@dataclass(slots=True)
class Peer:
    """State of another store, from its heartbeats and responses.

    Attributes:
        id: Its member id, empty before its first message.
        state: Its health.
        answered_at: When it last responded to a heartbeat of this member.
        named_at: When its address was last found in the settings or in a member's message.
        view_epoch: Epoch of the view on its disk, 0 if there is none.
        newest_view_epoch: Epoch of the newest view known to it, 0 if there is none.
        promised_epoch: Highest epoch that it promised.
        committed_version: Newest committed version known to it, -1 if there is none.
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
    """All other known stores.

    Attributes:
        own_member: This member, which is never in the table.
        started_at: When this member started.
        by_address: The peers by address.
        answered_at: When each disk last responded, by member id.
        avoided_until: Time until which a member isn't preferred as backup, by member id.
    """

    own_member: Member
    started_at: float
    by_address: dict[Address, Peer] = field(default_factory=dict)
    answered_at: dict[str, float] = field(default_factory=dict)
    avoided_until: dict[str, float] = field(default_factory=dict)

    def add(self, now: float, addresses: Iterable[Address]) -> None:
        """Adds addresses of stores; for a known address, records that it was listed again."""
        for address in addresses:
            if address != self.own_member.address:
                self.by_address.setdefault(address, Peer()).named_at = now

    def forget(self, now: float, retained: Collection[Address]) -> None:
        """Drops the addresses not listed for `FORGET_ADDRESS_AFTER_SECONDS`, except `retained`."""
        for address, peer in list(self.by_address.items()):
            if address not in retained and now - peer.named_at > FORGET_ADDRESS_AFTER_SECONDS:
                del self.by_address[address]

    def update(self, now: float, status: MemberStatus) -> Peer:
        """Updates a peer from its heartbeat or its response to one."""
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
        """Returns the seconds since this member's disk responded.

        The result is `FOREVER_SECONDS` if another disk responds at its address.
        """
        if member.id == self.own_member.id:
            return 0.0
        peer = self.by_address.get(member.address)
        if peer is not None and peer.id not in ("", member.id) and is_reachable(peer, now):
            return FOREVER_SECONDS
        return now - max(self.answered_at.get(member.id, LONG_AGO), self.started_at)

    def is_usable(self, now: float, member: Member) -> bool:
        """Whether the member's disk responds and is healthy."""
        peer = self.by_address.get(member.address)
        return (
            member.id in self.answered_at
            and self.seconds_since_contact(now, member) < UNREACHABLE_AFTER_SECONDS
            and peer is not None
            and peer.state is MemberState.HEALTHY
        )

    def is_unusable(self, now: float, member: Member) -> bool:
        """Whether the member doesn't respond, is leaving or unhealthy.

        A member that hasn't responded since this member's recent start isn't unusable yet.
        """
        if self.seconds_since_contact(now, member) >= UNREACHABLE_AFTER_SECONDS:
            return True
        peer = self.by_address.get(member.address)
        return peer is not None and peer.id == member.id and peer.state is not MemberState.HEALTHY

    def is_leaving(self, member: Member) -> bool:
        """Whether the member reports that it is shutting down."""
        peer = self.by_address.get(member.address)
        return peer is not None and peer.id == member.id and peer.state is MemberState.LEAVING

    def avoid(self, now: float, member: Member) -> None:
        """Avoids a member as backup for `AVOID_MEMBER_SECONDS`, after it failed to write."""
        self.avoided_until[member.id] = now + AVOID_MEMBER_SECONDS

    def is_avoided(self, now: float, member: Member) -> bool:
        """Whether a member recently failed to write, so that it is chosen as backup only last."""
        return self.avoided_until.get(member.id, LONG_AGO) > now

    def live_members(self, now: float) -> list[Member]:
        """Returns the other members that respond and are healthy, by address."""
        members = [Member(peer.id, address) for address, peer in self.by_address.items() if peer.id]
        usable = [member for member in members if self.is_usable(now, member)]
        return sorted(usable, key=lambda member: member.address)

    def recent_addresses(self, now: float) -> list[Address]:
        """Returns the sorted addresses of this store and of those that responded recently.

        A response is recent for `REPLACE_VOTER_AFTER_SECONDS`.
        """
        recent = [
            address
            for address, peer in self.by_address.items()
            if now - peer.answered_at < REPLACE_VOTER_AFTER_SECONDS
        ]
        return sorted([*recent, self.own_member.address])

    def reachable_addresses(self, now: float) -> list[Address]:
        """Returns the addresses of the responding peers, in the order in which they were added."""
        return [address for address, peer in self.by_address.items() if is_reachable(peer, now)]

    def backup_candidates(self, now: float, base: View | None) -> list[Member]:
        """Returns the members that may be the backup, best first.

        Members that recently failed to write come last. Otherwise the order is: members that have
        the data by view `base`, voters, members of another network. Addresses of one network agree
        in the first two octets.
        """
        electors = base.electors() if base else {}
        own_network = self.own_member.address[0].rsplit(".", 2)[0]

        def order(member: Member) -> tuple[bool, bool, bool, bool, Address]:
            """Returns the sort key, lowest for the best backup."""
            has_data = base is not None and base.has_data(member.id)
            is_near = member.address[0].startswith(own_network)
            is_avoided = self.is_avoided(now, member)
            return is_avoided, not has_data, member.id not in electors, is_near, member.address

        return sorted(self.live_members(now), key=order)

    def highest_promised_epoch(self) -> int:
        """Returns the highest epoch that a peer reported as promised, 0 without peers."""
        return max((peer.promised_epoch for peer in self.by_address.values()), default=0)


def is_reachable(peer: Peer, now: float) -> bool:
    """Whether the peer responded to a heartbeat within `UNREACHABLE_AFTER_SECONDS`."""
    return now - peer.answered_at < UNREACHABLE_AFTER_SECONDS
