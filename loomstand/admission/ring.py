"""A ring of members in an order that is the same at all limiters. Pure."""

from __future__ import annotations

from bisect import bisect_left
from typing import Protocol, TypeVar

# Positions have 32 bits, spread by Knuth's multiplicative hash: 2^32 over the golden ratio.
_MULTIPLIER = 0x9E3779B1
_MASK = 0xFFFFFFFF


class RingMember(Protocol):
    """A member of a ring.

    Attributes:
        ring_position: Its position; no two members have the same.
    """

    ring_position: int


def spread_position(index: int) -> int:
    """Returns a position for a member; those of neighbouring indices lie far apart."""
    return index * _MULTIPLIER & _MASK


Member = TypeVar("Member", bound=RingMember)


def _position(member: RingMember) -> int:
    return member.ring_position


class Ring(list[Member]):
    """Members in the order of their positions."""

    def set_membership(self, member: Member, is_member: bool) -> None:
        """Adds or removes a member; does nothing if it already is, or is not, on the ring."""
        index = bisect_left(self, member.ring_position, key=_position)
        was_member = index < len(self) and self[index] is member
        if is_member and not was_member:
            self.insert(index, member)
        elif was_member and not is_member:
            del self[index]
