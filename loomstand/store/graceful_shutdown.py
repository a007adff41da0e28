"""When a stopping store may exit: not before data that only it holds is replicated elsewhere.

Pure decisions on a `Replica`, without clock, disk or network.
"""

from __future__ import annotations

from loomstand.store.replica import Replica

# The store exits this long before SIGKILL in any case, to leave time for the last checks, a write
# in progress, and the exit of the interpreter.
SAFETY_MARGIN_SECONDS = 1.0

# Share of the grace period during which the store waits for other members to take over its roles,
# even if they have its data and don't need its vote. After that an exit, followed by a restart,
# interrupts the service for less time than further waiting.
HANDOVER_SHARE = 0.5


def may_shut_down(replica: Replica, now: float, since: float, grace_period_seconds: float) -> bool:
    """Whether a member that was asked to stop at `since` may exit.

    It may exit at once if no view names it. For half of the grace period it waits until other
    members have taken over its roles. A member that may hold the only copy, or whose vote the
    others need for a quorum, waits longer: for a takeover, which begins 1.25 s after the primary's
    loss, or for the replacement of lost members.
    """
    waited_seconds = now - since
    if replica.is_dispensable(now):
        return True
    if waited_seconds >= grace_period_seconds - SAFETY_MARGIN_SECONDS:
        return True
    if waited_seconds < HANDOVER_SHARE * grace_period_seconds:
        return False
    return not (holds_only_copy(replica, now) or is_vote_needed(replica, now))


def holds_only_copy(replica: Replica, now: float) -> bool:
    """Whether this member has the data and no other usable member is known to have it."""
    view = replica.newest_known_view()
    if view is None or not view.has_data(replica.member.id):
        return False
    data_members = [member for member in (view.primary, view.backup) if member is not None]
    return not any(
        replica.peers.is_usable(now, member)
        for member in data_members
        if member.id != replica.member.id
    )


def is_vote_needed(replica: Replica, now: float) -> bool:
    """Whether the remaining members reach a quorum only with this member's vote."""
    view = replica.newest_known_view()
    if view is None:
        return False
    other_ids = [member.id for member in replica.peers.live_members(now)]
    return not view.has_quorum(other_ids) and view.has_quorum([replica.member.id, *other_ids])
