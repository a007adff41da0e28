"""Planning of a member's next action: maintain its view, stand for election, or found the store.

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
    """The kinds of actions; the values are written to the log."""

    FOUND = "found"  # create the first view of the store
    TAKE_OVER = "take_over"  # become primary after the lease expired, or at a handover
    CHANGE_VIEW = "change_view"  # as the primary, while its lease is valid
    REPLICATE = "replicate"  # write the primary's record to the backup again
    TRANSFER_LEADERSHIP = "transfer_leadership"
    RESCUE = "rescue"  # re-found the store on an operator's request


@dataclass(frozen=True, slots=True)
class Action:
    """An action that is due.

    Attributes:
        kind: The kind of action.
        reason: The reason, for the log.
        voters: The voters of the resulting view.
        former_voters: The former voters of the resulting view.
    """

    kind: ActionKind
    reason: str
    voters: tuple[Member, ...] = ()
    former_voters: tuple[Member, ...] = ()


def take_over(reason: str, base: View) -> Action:
    """The action of standing for election, keeping the voters of the view `base`."""
    return Action(ActionKind.TAKE_OVER, reason, base.voters, base.former_voters)


def change_view(reason: str, view: View) -> Action:
    """The action of a primary that changes its view and keeps the voters."""
    return Action(ActionKind.CHANGE_VIEW, reason, view.voters, view.former_voters)


def next_action(replica: Replica, now: float) -> Action | None:
    """The action that is due now, None if there is none."""
    view = replica.record.view
    if view is not None and (replica.lease_left(now) > 0.0 or replica.is_leader(now)):
        return _primary_action(replica, now, view)
    if now < replica.backoff_until or replica.state is MemberState.UNHEALTHY:
        return None
    base = replica.newest_known_view()
    return _founding(replica, now) if base is None else _candidacy(replica, now, base)


# --- as the primary


def _primary_action(replica: Replica, now: float, view: View) -> Action | None:
    """The primary's next action, one change at a time; a missing backup is replaced first."""
    if now < replica.backoff_until:
        return None
    live = replica.peers.live_members(now)
    is_backup_usable = view.backup is not None and replica.peers.is_usable(now, view.backup)
    if live and _needs_backup(replica, now, view, live):
        return change_view("backup is missing, unreachable or unhealthy", view)
    if _higher_epoch_promised(replica, view):
        return change_view("a higher epoch was promised", view) if is_backup_usable else None
    if not replica.is_leader(now):
        return None
    if replica.replicated_epoch != view.epoch or replica.record.version > replica.version:
        may_replicate = is_backup_usable or view.backup is None
        action = Action(ActionKind.REPLICATE, "backup may not have the newest record")
        return action if may_replicate else None
    return _stable_view_action(replica, now, view, live) if is_backup_usable else None


def _stable_view_action(
    replica: Replica, now: float, view: View, live: list[Member]
) -> Action | None:
    """The action once all is committed and the backup is usable.

    In this order: complete a change of voters, transfer leadership when leaving, change the voters.
    """
    if view.former_voters:
        return Action(ActionKind.CHANGE_VIEW, "the change of voters is complete", view.voters)
    if replica.state is MemberState.LEAVING:
        return Action(ActionKind.TRANSFER_LEADERSHIP, "the primary is leaving")
    return _membership_change(replica, now, view, live)


def _needs_backup(replica: Replica, now: float, view: View, live: list[Member]) -> bool:
    """Whether the view has no backup, or one that should be replaced."""
    backup = view.backup
    if backup is None:
        return True
    if not replica.peers.is_usable(now, backup) and replica.peers.is_unusable(now, backup):
        return True
    has_better = any(not replica.peers.is_avoided(now, member) for member in live)
    return has_better and replica.peers.is_avoided(now, backup)


def _higher_epoch_promised(replica: Replica, view: View) -> bool:
    """Whether this member or another member of its view promised a higher epoch."""
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
    """The replacement of a lost or leaving voter, or the addition of one if there are too few."""
    voter_ids = {member.id for member in view.voters}
    standby_members = [member for member in live if member.id not in voter_ids]
    if not standby_members:
        return None
    # a backup without a vote comes first, as it has to install views in any case
    standby_members.sort(key=lambda member: not view.has_data(member.id))
    new_voter = standby_members[0]
    for voter in view.voters:
        if _is_lost_or_leaving(replica, now, voter):
            remaining_voters = tuple(member for member in view.voters if member != voter)
            reason = f"voter {voter.address[0]} is replaced"
            return Action(
                ActionKind.CHANGE_VIEW, reason, (*remaining_voters, new_voter), view.voters
            )
    if len(view.voters) < VOTER_COUNT:
        voters = (*view.voters, new_voter)
        return Action(ActionKind.CHANGE_VIEW, "a voter is added", voters, view.voters)
    return None


def _is_lost_or_leaving(replica: Replica, now: float, voter: Member) -> bool:
    unreachable_seconds = replica.peers.seconds_since_contact(now, voter)
    return unreachable_seconds >= REPLACE_VOTER_AFTER_SECONDS or _is_leaving(replica, voter)


def _is_leaving(replica: Replica, member: Member) -> bool:
    if member.id == replica.member.id:
        return replica.state is MemberState.LEAVING
    return replica.peers.is_leaving(member)


# --- as a voter whose grant has expired


def _candidacy(replica: Replica, now: float, base: View) -> Action | None:
    """Stands for election after a delay: the backup first, the others staggered by rank."""
    own_id = replica.member.id
    electors = base.electors()
    if own_id not in electors and not base.has_data(own_id):
        return None
    if (
        base.primary.id == own_id
        and replica.is_primary()
        and not _elector_promised_higher(replica, base)
    ):
        # as primary it regains the lease by its heartbeats, unless an elector promised a higher
        # epoch
        return None
    order = sorted(
        electors.values(), key=lambda member: (member.id != base.primary.id, member.address)
    )
    if own_id in _first_candidates(replica, base, order):
        delay = FIRST_CANDIDATE_DELAY_SECONDS
    else:
        rank = next((i for i, member in enumerate(order) if member.id == own_id), 0) + 1
        delay = rank * CANDIDACY_SPACING_SECONDS
    if replica.state is MemberState.LEAVING:
        delay += CANDIDACY_SPACING_SECONDS * VOTER_COUNT
    grants_end_at = max(replica.grant_ends_at, replica.started_at + GRANT_SECONDS)
    return take_over("the lease expired", base) if now >= grants_end_at + delay else None


def _first_candidates(replica: Replica, base: View, order: list[Member]) -> set[str]:
    """Ids of the members that stand for election with the shortest delay: the backup.

    If the backup is leaving, a voter that stays is added, so that the backup's configuration, which
    may be the only copy, is read before the backup stops.
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


def _elector_promised_higher(replica: Replica, base: View) -> bool:
    electors = base.electors()
    return any(
        peer.promised_epoch > base.epoch and peer.id in electors
        for peer in replica.peers.by_address.values()
    )


# --- at the first start of the whole system


def _founding(replica: Replica, now: float) -> Action | None:
    """Founds the store once all seeds are reachable, or after a wait with a majority of them."""
    own_address = replica.member.address
    if not replica.record.is_founder or own_address not in replica.seeds:
        return None
    founders = [
        address
        for address in replica.seeds
        if address == own_address or _is_founder(replica, now, address)
    ]
    is_complete = len(founders) == len(replica.seeds)
    rank = sorted(founders).index(own_address)
    overdue_seconds = (
        now - replica.started_at - FOUNDING_WAIT_SECONDS - CANDIDACY_SPACING_SECONDS * rank
    )
    has_majority = len(founders) * 2 > len(replica.seeds)
    if (is_complete and min(founders) == own_address) or (has_majority and overdue_seconds >= 0.0):
        return Action(ActionKind.FOUND, "no member has a view")
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
