"""When a store that was told to stop may end: not before what only it holds stands elsewhere, and
in time.
"""

from __future__ import annotations

from loomstand.store.replica import Replica

# s before SIGKILL by which it ends, whatever is missing: the last looks, a write under way, the
# interpreter
MARGIN = 1.0
# of the grace period, after which it no longer waits to hand on what others have too: a restart is
# short
HALF = 0.5


def may_end(replica: Replica, now: float, since: float, grace_period: float) -> bool:
    """Whether a member that was told to stop at `since` may end; `grace_period` in s.

    At once where no view names it. For half of the grace period it waits until others took its
    places. One that may hold the only copy, or without whose vote the others could decide nothing,
    waits on for a takeover, which begins 1.25 s after the primary's loss, or until who was lost is
    replaced.
    """
    spent = now - since
    if replica.free(now) or spent >= grace_period - MARGIN:
        return True
    return spent >= HALF * grace_period and not (
        holds_only_copy(replica, now) or must_vote(replica, now)
    )


def holds_only_copy(replica: Replica, now: float) -> bool:
    """Whether, as far as is known here, no other disk that stays has what is in force, or may
    be.
    """
    view = replica.base()
    if view is None or not view.holds(replica.me.id):
        return False
    both = [m for m in (view.primary, view.backup) if m is not None and m.id != replica.me.id]
    return not any(replica.usable(now, m) for m in both)


def must_vote(replica: Replica, now: float) -> bool:
    """Whether those who stay can't decide without it, though they could with it."""
    view, others = replica.base(), [m.id for m in replica.live(now)]
    return view is not None and not view.agreed(others) and view.agreed([replica.me.id, *others])
