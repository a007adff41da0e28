"""What a member should do next: maintain its view, stand for election, or found the store.

Pure decisions on a `Replica`, without clock, disk or network; `leadership` carries them out.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from loomstand.rpc import Address
from loomstand.store.peers import MemberState, is_reachable
from loomstand.store.replica import Replica
from loomstand.store.timing import (
    CANDIDACY_SPACING_SECONDS,
    FIRST_CANDIDATE_DELAY_SECONDS,
    FOUNDING_WAIT_SECONDS,
    GRANT_SECONDS,
    REPLACE_VOTER_AFTER_SECONDS,
    VOTER_COUNT,
)
from loomstand.store.views import Member, View


class ActionKind(Enum):
    """What a member does; the values are for the log."""

    FOUND = "found"  # the first view of all
    TAKE_OVER = "take_over"  # from a primary that is gone or hands over
    CHANGE_VIEW = "change_view"  # as the primary, with its lease standing
    REPLICATE = "replicate"  # the backup writes once more what the primary holds
    TRANSFER_LEADERSHIP = "transfer_leadership"
    RESCUE = "rescue"  # re-found the store as operators ask


@dataclass(frozen=True, slots=True)
class Action:
    """What a member should do next.

    Attributes:
        kind: What it does.
        reason: Why, for the log.
        voters: The voters of the view that would come of it.
        former_voters: Its former voters.
    """

    kind: ActionKind
    reason: str
    voters: tuple[Member, ...] = ()
    former_voters: tuple[Member, ...] = ()


def take_over(reason: str, base: View) -> Action:
    """The action of standing for election, with the voters of the view to follow."""
    return Action(ActionKind.TAKE_OVER, reason, base.voters, base.former_voters)


def change_view(reason: str, view: View) -> Action:
    """The action of a primary that changes its view and keeps the voters."""
    return Action(ActionKind.CHANGE_VIEW, reason, view.voters, view.former_voters)


def next_action(replica: Replica, now: float) -> Action | None:
    """What the member should do now, None if there is nothing to do."""
    view = replica.record.view
    if view is not None and (replica.lease_left(now) > 0.0 or replica.is_leader(now)):
        return _primary_action(replica, now, view)
    if now < replica.backoff_until or replica.state is MemberState.UNHEALTHY:
        return None
    base = replica.newest_known_view()
    return _founding(replica, now) if base is None else _candidacy(replica, now, base)


# --- as the primary


def _primary_action(replica: Replica, now: float, view: View) -> Action | None:
    """One change at a time, the backup's place first."""
    if now < replica.backoff_until:
        return None
    live = replica.peers.live_members(now)
    is_backup_usable = view.backup is not None and replica.peers.is_usable(now, view.backup)
    if live and _needs_backup(replica, now, view, live):
        return change_view("its backup is gone or unfit", view)
    if _is_outbid(replica, view):
        return change_view("a higher epoch was promised", view) if is_backup_usable else None
    if not replica.is_leader(now):
        return None
    if replica.replicated_epoch != view.epoch or replica.record.version > replica.version:
        may_replicate = is_backup_usable or view.backup is None
        action = Action(ActionKind.REPLICATE, "its backup may not hold all")
        return action if may_replicate else None
    return _stable_view_action(replica, now, view, live) if is_backup_usable else None


def _stable_view_action(
    replica: Replica, now: float, view: View, live: list[Member]
) -> Action | None:
    """With all committed and the backup usable: complete a change, leave, or change the voters."""
    if view.former_voters:
        return Action(ActionKind.CHANGE_VIEW, "the change of voters is complete", view.voters)
    if replica.state is MemberState.LEAVING:
        return Action(ActionKind.TRANSFER_LEADERSHIP, "it leaves")
    return _membership_change(replica, now, view, live)


def _needs_backup(replica: Replica, now: float, view: View, live: list[Member]) -> bool:
    """Whether the view has no backup, or one that another should replace."""
    backup = view.backup
    if backup is None:
        return True
    if not replica.peers.is_usable(now, backup) and replica.peers.is_unusable(now, backup):
        return True
    has_better = any(not replica.peers.is_avoided(now, member) for member in live)
    return has_better and replica.peers.is_avoided(now, backup)


def _is_outbid(replica: Replica, view: View) -> bool:
    """Whether it, or another member of its view, promised a higher epoch."""
    if replica.promised_epoch > view.epoch:
        return True
    members = view.members()
    return any(
        peer.promised_epoch > view.epoch and peer.id in members
        for peer in replica.peers.by_address.values()
    )


def _membership_change(
    replica: Replica, now: float, view: View, live: list[Member]
) -> Action | None:
    """Replaces a voter that is gone, or adds one where there are too few."""
    voter_ids = {member.id for member in view.voters}
    stand_by = [member for member in live if member.id not in voter_ids]
    if not stand_by:
        return None
    # a backup without a vote comes first, as it has to hear of views anyway
    stand_by.sort(key=lambda member: not view.has_data(member.id))
    newcomer = stand_by[0]
    for voter in view.voters:
        if _is_gone(replica, now, voter):
            rest = tuple(member for member in view.voters if member != voter)
            reason = f"voter {voter.address[0]} is replaced"
            return Action(ActionKind.CHANGE_VIEW, reason, (*rest, newcomer), view.voters)
    if len(view.voters) < VOTER_COUNT:
        voters = (*view.voters, newcomer)
        return Action(ActionKind.CHANGE_VIEW, "a voter is added", voters, view.voters)
    return None


def _is_gone(replica: Replica, now: float, voter: Member) -> bool:
    silent_seconds = replica.peers.seconds_silent(now, voter)
    return silent_seconds >= REPLACE_VOTER_AFTER_SECONDS or _is_leaving(replica, voter)


def _is_leaving(replica: Replica, member: Member) -> bool:
    if member.id == replica.member.id:
        return replica.state is MemberState.LEAVING
    return replica.peers.is_leaving(member)


# --- as a voter whose grant has run out


def _candidacy(replica: Replica, now: float, base: View) -> Action | None:
    """Stands for election when its turn has come: the backup first, the others by their places."""
    own_id = replica.member.id
    electors = base.electors()
    if own_id not in electors and not base.has_data(own_id):
        return None
    if base.primary.id == own_id and replica.is_primary() and not _is_base_outbid(replica, base):
        # its heartbeats ask for the lease again; only a higher promise keeps it from coming
        return None
    order = sorted(
        electors.values(), key=lambda member: (member.id != base.primary.id, member.address)
    )
    if own_id in _first_candidates(replica, base, order):
        delay = FIRST_CANDIDATE_DELAY_SECONDS
    else:
        place = next((i for i, member in enumerate(order) if member.id == own_id), 0) + 1
        delay = place * CANDIDACY_SPACING_SECONDS
    if replica.state is MemberState.LEAVING:
        delay += CANDIDACY_SPACING_SECONDS * VOTER_COUNT
    free_at = max(replica.grant_ends_at, replica.started_at + GRANT_SECONDS)
    return take_over("no lease stands", base) if now >= free_at + delay else None


def _first_candidates(replica: Replica, base: View, order: list[Member]) -> set[str]:
    """The ids of those that stand without waiting for their turn: that is the backup.

    Where the backup leaves, one that stays stands as well, so that the backup's copy, maybe the
    only one, is read before it ends.
    """
    if base.backup is None:
        return set()
    candidates = {base.backup.id}
    if _is_leaving(replica, base.backup):
        staying = [
            member
            for member in order
            if not base.has_data(member.id) and not _is_leaving(replica, member)
        ]
        candidates.update(member.id for member in staying[:1])
    return candidates


def _is_base_outbid(replica: Replica, base: View) -> bool:
    electors = base.electors()
    return any(
        peer.promised_epoch > base.epoch and peer.id in electors
        for peer in replica.peers.by_address.values()
    )


# --- at the first start of the whole system


def _founding(replica: Replica, now: float) -> Action | None:
    """Founds the store once all seeds are there, or after a while with a majority of them."""
    own_address = replica.member.address
    if not replica.record.is_founder or own_address not in replica.seeds:
        return None
    founders = [
        address
        for address in replica.seeds
        if address == own_address or _is_founder(replica, now, address)
    ]
    is_complete = len(founders) == len(replica.seeds)
    place = sorted(founders).index(own_address)
    overdue_seconds = (
        now - replica.started_at - FOUNDING_WAIT_SECONDS - CANDIDACY_SPACING_SECONDS * place
    )
    has_majority = len(founders) * 2 > len(replica.seeds)
    if (is_complete and min(founders) == own_address) or (has_majority and overdue_seconds >= 0.0):
        return Action(ActionKind.FOUND, "nobody has a view")
    return None


def _is_founder(replica: Replica, now: float, address: Address) -> bool:
    peer = replica.peers.by_address.get(address)
    return (
        peer is not None
        and peer.is_founder
        and peer.newest_view_epoch == 0
        and is_reachable(peer, now)
    )


def with_voters_of(action: Action, base: View) -> Action:
    """The same action, with the voters of a newer view."""
    return replace(action, voters=base.voters, former_voters=base.former_voters)
