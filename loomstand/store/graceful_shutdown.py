"""When a store that was told to stop may end: not before what only it holds stands elsewhere.

Pure decisions on a `Replica`, without clock, disk or network.
"""

from __future__ import annotations

from loomstand.store.replica import Replica

# It ends so long before SIGKILL, whatever is missing: the last looks, a write under way, the
# interpreter.
SAFETY_MARGIN_SECONDS = 1.0

# After this part of the grace period it no longer waits to hand on what others have too: a restart
# is short.
HANDOVER_SHARE = 0.5


def may_shut_down(replica: Replica, now: float, since: float, grace_period_seconds: float) -> bool:
    """Whether a member that was told to stop at `since` may end.

    At once where no view names it. For half of the grace period it waits until others took its
    places. One that may hold the only copy, or without whose vote the others could decide nothing,
    waits on for a takeover, which begins 1.25 s after the primary's loss, or until who was lost is
    replaced.
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
    """Whether, as far as is known, no other disk that stays has what is, or may be, committed."""
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
    """Whether those who stay can't decide without it, though they could with it."""
    view = replica.newest_known_view()
    if view is None:
        return False
    other_ids = [member.id for member in replica.peers.live_members(now)]
    return not view.has_quorum(other_ids) and view.has_quorum([replica.member.id, *other_ids])
