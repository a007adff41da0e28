"""Views: who is primary and backup, and whose votes decide on the next; and what a member has on
disk.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Any

import cbor2

from loomstand.rpc import Address
from loomstand.store.change_history import NONE, ChangeHistory

# A rescue's epoch is in the next million above all that is known in reach, and views go on within
# their million only (Ballot.epoch): so members that were given up, wherever they are, never get
# above it. Its millions count the rescues. Without faults views don't change; at two changes a
# second it lasts six days.
MARGIN = 1_000_000


@dataclass(frozen=True, slots=True)
class Member:
    """A disk: the id drawn when its folder was empty, and the address at which its store
    listens.
    """

    id: str
    address: Address

    def body(self) -> list[Any]:
        return [self.id, self.address[0], self.address[1]]

    @staticmethod
    def read(body: list[Any]) -> Member:
        return Member(str(body[0]), (str(body[1]), int(body[2])))


def majority(ids: Collection[str], members: Collection[Member]) -> bool:
    """Whether more than half of `members` are among `ids`."""
    return sum(m.id in ids for m in members) * 2 > len(members)


@dataclass(frozen=True, slots=True)
class View:
    """One reign. `former` holds the voters before a change until the changed view is known to
    stand.

    While `former` isn't empty, whatever needs the voters needs a majority of both: two majorities
    of sets that differ by one member need not meet, so a view that stands at a few must not decide
    by its own set.

    `rescue` is the epoch at which operators last had the store founded anew (rescue.py), 0 if
    never; later views inherit it. A member that hears of a later one than its own view's stands
    down: the votes that its view rests on were given up.
    """

    epoch: int
    primary: Member
    backup: Member | None
    voters: tuple[Member, ...]
    former: tuple[Member, ...] = ()
    rescue: int = 0

    def agreed(self, ids: Collection[str]) -> bool:
        """Whether `ids` are enough to grant the lease, to settle on this view or to end it."""
        return majority(ids, self.voters) and (not self.former or majority(ids, self.former))

    def electors(self) -> dict[str, Member]:
        return {m.id: m for m in (*self.voters, *self.former)}

    def named(self) -> dict[str, Member]:
        """All who have to write this view down, by id."""
        both = [m for m in (self.primary, self.backup) if m is not None]
        return self.electors() | {m.id: m for m in both}

    def holds(self, id: str) -> bool:
        """Whether that member has the configuration of this view: only its primary and its backup
        do.
        """
        return id == self.primary.id or (self.backup is not None and id == self.backup.id)

    def body(self) -> list[Any]:
        backup = self.backup.body() if self.backup else None
        voters, former = [m.body() for m in self.voters], [m.body() for m in self.former]
        # left out where programs may run that don't know it
        rescue = [self.rescue] if self.rescue else []
        return [self.epoch, self.primary.body(), backup, voters, former, *rescue]

    @staticmethod
    def read(body: list[Any] | None) -> View | None:
        if not body:
            return None
        epoch, primary, backup, voters, former, *rescue = body
        return View(
            int(epoch),
            Member.read(primary),
            Member.read(backup) if backup else None,
            tuple(Member.read(m) for m in voters),
            tuple(Member.read(m) for m in former),
            int(rescue[0]) if rescue else 0,
        )

    def __str__(self) -> str:
        backup = f"{self.backup.address[0]}" if self.backup else "none"
        voters = " ".join(m.address[0] for m in self.voters)
        joint = " and those before" if self.former else ""
        members = f"{self.primary.address[0]}, backup {backup}, voters {voters}{joint}"
        return f"epoch {self.epoch}: {members}"


def newest(*views: View | None) -> View | None:
    return max((v for v in views if v is not None), key=lambda v: v.epoch, default=None)


@dataclass(frozen=True, slots=True)
class Record:
    """What is on a member's disk. `founder`: the id was drawn at the first start of the whole
    system.
    """

    id: str
    founder: bool
    promised: int = 0
    view: View | None = None
    version: int = 0
    data: bytes = field(default=b"", repr=False)
    written: int = 0  # the epoch under which the configuration was written
    orders: ChangeHistory = (
        NONE  # the last of them is of this configuration; none where that isn't known
    )

    def pages(self, old: Record | None = None) -> dict[str, bytes]:
        """What differs from `old`, as it's written: a promise doesn't write the configuration
        anew.
        """
        pages: dict[str, bytes] = {}
        if old is None or (old.id, old.founder) != (self.id, self.founder):
            pages["member"] = cbor2.dumps([self.id, self.founder])
        if old is None or (old.promised, old.view) != (self.promised, self.view):
            pages["vote"] = cbor2.dumps([self.promised, self.view.body() if self.view else None])
        if old is None or (old.written, old.version, old.data) != (
            self.written,
            self.version,
            self.data,
        ):
            pages["configuration"] = cbor2.dumps([self.written, self.version, self.data])
        # a page of its own, so that older programs read the rest
        if self.orders != (old.orders if old is not None else NONE):
            pages["orders"] = cbor2.dumps(self.orders.body())
        return pages

    @staticmethod
    def read(pages: dict[str, bytes]) -> Record | None:
        """The record of a disk, or None if nothing usable is there (an empty or a broken one)."""
        if "member" not in pages:
            return None
        try:
            id, founder = cbor2.loads(pages["member"])
            promised, view = cbor2.loads(pages["vote"])
            written, version, data = cbor2.loads(pages["configuration"])
            orders = ChangeHistory.read(
                cbor2.loads(pages["orders"]) if "orders" in pages else None, version, data
            )
            return Record(id, founder, promised, View.read(view), version, data, written, orders)
        except (KeyError, ValueError, TypeError, EOFError, cbor2.CBORDecodeError):
            return None
