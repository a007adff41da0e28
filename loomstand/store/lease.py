"""The lease of the primary: the grants of the electors, and how long a quorum of them lasts.

A state machine without clock, disk or network.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from loomstand.store.timing import LEASE_SECONDS, LONG_AGO
from loomstand.store.views import View


class Grant(NamedTuple):
    """One elector's grant.

    Attributes:
        epoch: The epoch under which it was requested and granted.
        sent_at: When the primary sent the request, a heartbeat or an installation of its view.
    """

    epoch: int
    sent_at: float


@dataclass(slots=True)
class LeaseGrants:
    """The grants that a primary has received.

    Attributes:
        by_member: The newest grant of each elector, by member id.
    """

    by_member: dict[str, Grant] = field(default_factory=dict)

    def add(self, member_id: str, epoch: int, sent_at: float) -> None:
        """Records an elector's grant for a request sent at `sent_at`; grants may arrive late."""
        previous = self.by_member.get(member_id, Grant(0, LONG_AGO))
        self.by_member[member_id] = Grant(epoch, max(sent_at, previous.sent_at))

    def clear(self) -> None:
        """Forgets all grants."""
        self.by_member.clear()

    def remaining_seconds(self, now: float, view: View, least_epoch: int) -> float:
        """Seconds that the lease of `view`'s primary lasts, 0 without a quorum of grants.

        Args:
            now: The current time.
            view: The view on the primary's disk.
            least_epoch: Grants of earlier epochs don't count.
        """
        # the primary's own grant is always valid: it promises nothing to other members while the
        # grants of the others last
        own_grant = Grant(view.epoch, now)
        grants = self.by_member | {view.primary.id: own_grant}
        member_ids: set[str] = set()
        for member_id, grant in sorted(grants.items(), key=lambda entry: -entry[1].sent_at):
            if grant.epoch >= least_epoch:
                member_ids.add(member_id)
                if view.has_quorum(member_ids):
                    return max(0.0, grant.sent_at + LEASE_SECONDS - now)
        return 0.0
