"""Members and views: the primary, the backup, and the voters that elect the next primary.

Immutable values, without disk, network or clock.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

import msgspec

from loomstand.rpc import Address
from loomstand.rpc.messages.rows import MemberRow, ViewRow

# Epochs are divided into ranges of this size. A rescue's epoch is in the next range above every
# epoch that reachable members know, and later views stay within their range
# (`ElectionRules.next_epoch`): so members that a rescue gave up, such as those behind a partition,
# never reach a higher epoch. The number of the range counts the rescues. Without faults views don't
# change; at two view changes a second a range lasts six days.
EPOCH_RANGE = 1_000_000


@dataclass(frozen=True, slots=True)
class Member:
    """A member of the store, identified by its disk: a new disk is a new member.

    Attributes:
        id: Random id, drawn when the disk's folder was empty.
        address: Address on which its store listens.
    """

    id: str
    address: Address

    def to_row(self) -> MemberRow:
        """The member as encoded in messages and on disk."""
        return MemberRow(self.id, self.address[0], self.address[1])

    @staticmethod
    def from_row(row: MemberRow) -> Member:
        """The member of a message."""
        return Member(row.member_id, (row.host, row.port))


def has_majority(member_ids: Collection[str], members: Collection[Member]) -> bool:
    """Whether more than half of `members` are among `member_ids`."""
    votes = [member for member in members if member.id in member_ids]
    return len(votes) * 2 > len(members)


@dataclass(frozen=True, slots=True)
class View:
    """The roles of the members during one epoch.

    While `former_voters` isn't empty, a quorum needs a majority of both sets of voters: majorities
    of two sets that differ by one member need not overlap, so a view that only a few members have
    installed must not be decided by its new set alone.

    Attributes:
        epoch: Number of the view; views are totally ordered by it.
        primary: The member that serves.
        backup: The member that writes each change along with the primary, None if there is none.
        voters: The members that elect the next primary.
        former_voters: The voters before a membership change, until the change is complete.
        rescue_epoch: The epoch at which operators last re-founded the store (`rescue`), 0 if never;
            later views inherit it. A member that observes a higher one than its own view's stops
            serving and voting: the rescue gave up the votes behind its view.
    """

    epoch: int
    primary: Member
    backup: Member | None
    voters: tuple[Member, ...]
    former_voters: tuple[Member, ...] = ()
    rescue_epoch: int = 0

    def has_quorum(self, member_ids: Collection[str]) -> bool:
        """Whether `member_ids` are a quorum: to grant the lease, or to install or end the view."""
        if not has_majority(member_ids, self.voters):
            return False
        return not self.former_voters or has_majority(member_ids, self.former_voters)

    def electors(self) -> dict[str, Member]:
        """The current and former voters, by id."""
        return {member.id: member for member in (*self.voters, *self.former_voters)}

    def members(self) -> dict[str, Member]:
        """All members that have to write this view to their disks, by id."""
        data_members = [member for member in (self.primary, self.backup) if member is not None]
        return self.electors() | {member.id: member for member in data_members}

    def has_data(self, member_id: str) -> bool:
        """Whether that member stores the configuration in this view, as primary or backup."""
        if member_id == self.primary.id:
            return True
        return self.backup is not None and member_id == self.backup.id

    def to_row(self) -> ViewRow:
        """The view as encoded in messages."""
        return ViewRow(
            self.epoch,
            self.primary.to_row(),
            self.backup.to_row() if self.backup else None,
            [member.to_row() for member in self.voters],
            [member.to_row() for member in self.former_voters],
            self.rescue_epoch,
        )

    @staticmethod
    def from_row(row: ViewRow | None) -> View | None:
        """The view of a message, if there is one."""
        if row is None:
            return None
        return View(
            row.epoch,
            Member.from_row(row.primary),
            Member.from_row(row.backup) if row.backup else None,
            tuple(Member.from_row(member) for member in row.voters),
            tuple(Member.from_row(member) for member in row.former_voters),
            row.rescue_epoch,
        )

    def to_page(self) -> list[object]:
        """The view as encoded on disk; earlier releases, without rescues, read it too.

        The last field is left out if there was no rescue.
        """
        page: list[object] = msgspec.to_builtins(self.to_row())
        if not self.rescue_epoch:
            page.pop()
        return page

    @staticmethod
    def from_page(page: list[object] | None) -> View | None:
        """The view encoded in a page, None if the page has none.

        Raises:
            ValueError: The page doesn't encode a view.
        """
        if not page:
            return None
        return View.from_row(msgspec.convert(page, ViewRow, strict=False))

    def __str__(self) -> str:
        backup = self.backup.address[0] if self.backup else "none"
        voters = ",".join(member.address[0] for member in self.voters)
        former = ",".join(member.address[0] for member in self.former_voters)
        text = f"epoch={self.epoch} primary={self.primary.address[0]} backup={backup}"
        return f"{text} voters={voters}" + (f" former_voters={former}" if former else "")


def newest_view(*views: View | None) -> View | None:
    """The view with the highest epoch, None if there is no view."""
    known_views = [view for view in views if view is not None]
    return max(known_views, key=lambda view: view.epoch, default=None)
