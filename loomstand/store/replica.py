"""One member's part in the replication protocol: promises, writes, the lease and what is committed.

A state machine without clock, disk or network. `now` is always a steady clock's seconds. The driver
(`replica_io`) writes each `Record` that a method returns to disk, gives it back by `on_persisted`,
and only then answers the caller. What holds the protocol together:

- A configuration is committed once primary and backup of a view have it on disk. Whoever wants to
  end that view needs promises from its electors and the data of one of those two, who by handing it
  out promise to write nothing more under it. So either of them has all that was ever acknowledged.
- A voter grants the lease only to the primary of the view on its own disk, and only while it has
  promised nothing higher. So a lease from the electors says besides that they installed the view.
- While a grant stands nobody else is promised anything: no two members serve at one moment.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from typing import Any

from loomstand.rpc import Address
from loomstand.rpc.errors import CallRefusedError
from loomstand.rpc.messages.replication_messages import (
    HeartbeatRequest,
    HeartbeatResponse,
    MemberStatus,
    ServingRow,
)
from loomstand.store.change_history import EMPTY_HISTORY, ChangeHistory, digest
from loomstand.store.lease import LeaseGrants
from loomstand.store.peers import MemberState, Peer, PeerTable
from loomstand.store.record import Record
from loomstand.store.timing import (
    BACKOFF_SECONDS,
    BACKOFF_SPREAD_SECONDS,
    CANDIDACY_SPACING_SECONDS,
    GRANT_SECONDS,
    LONG_AGO,
)
from loomstand.store.views import Member, View, newest


@dataclass(slots=True)
class Replica:
    """The state of one member.

    Attributes:
        member: This member.
        seeds: The stores' addresses at the seeds of the settings.
        record: What is on its disk for sure.
        started_at: When it started.
        rng: Draws the spread of its backoff, and the epoch of a rescue.
        promised_epoch: Never under the record's: raised before the disk is asked.
        promised_candidate: Member id of whom it promised that epoch to.
        newest_view: The newest view that it heard of.
        peers: The other stores.
        granted_to: Member id of whom this voter granted the lease to.
        grant_ends_at: Until when.
        grants: The grants that it has as a primary.
        replicated_epoch: The epoch under which the backup wrote, since this start, what the record
            holds.
        is_established: Whether it began to serve as the primary of its view; its lease may have
            run out since.
        version: The newest version committed, as it knows.
        data: The configuration of that version.
        history: The changes acknowledged, while it is established.
        inherited_history: Came with the configuration that it read as a candidate.
        knows_committed: Whether `version` is from a serving primary, if only by way of others.
        state: Its own state.
        highest_epoch_observed: The highest epoch that anybody said to have promised.
        backoff_until: Until when it doesn't stand for election: another one just has, or itself in
            vain.
    """

    member: Member
    seeds: tuple[Address, ...]
    record: Record
    started_at: float
    rng: random.Random = field(repr=False)
    promised_epoch: int = 0
    promised_candidate: str = ""
    newest_view: View | None = None
    peers: PeerTable = field(init=False)
    granted_to: str = ""
    grant_ends_at: float = LONG_AGO
    grants: LeaseGrants = field(default_factory=LeaseGrants)
    replicated_epoch: int = 0
    is_established: bool = False
    version: int = 0
    data: bytes = b""
    history: ChangeHistory = EMPTY_HISTORY
    inherited_history: ChangeHistory = EMPTY_HISTORY
    knows_committed: bool = False
    state: MemberState = MemberState.HEALTHY
    highest_epoch_observed: int = 0
    backoff_until: float = LONG_AGO

    def __post_init__(self) -> None:
        self.promised_epoch = self.record.promised_epoch
        self.newest_view = self.record.view
        self.peers = PeerTable(self.member, self.started_at)
        self.peers.add(self.started_at, self.seeds)

    # --- the other stores and the views

    def update_seeds(self, now: float, seeds: tuple[Address, ...]) -> None:
        """The settings name other seeds; those of the first start decide until there is a view."""
        if seeds != self.seeds and self.newest_view is not None:
            self.seeds = seeds
            self.peers.add(now, seeds)

    def forget_addresses(self, now: float) -> None:
        """Drops the addresses of stores that are gone."""
        members = self.newest_view.members().values() if self.newest_view else ()
        self.peers.forget(now, {*self.seeds, *(member.address for member in members)})

    def observe_view(self, view: View | None) -> None:
        """Somebody told of a view."""
        if view is None or (self.newest_view is not None and view.epoch <= self.newest_view.epoch):
            return
        self.newest_view = view
        # its own view was given up: no more service or vote under it
        if view.rescue_epoch > self._rescue_epoch():
            self._raise_promise(view.epoch, view.primary.id)

    def newest_known_view(self) -> View | None:
        """The newest view, on its disk or heard of."""
        return newest(self.record.view, self.newest_view)

    def highest_known_epoch(self) -> int:
        """The highest epoch that was promised, as far as is known here."""
        return max(
            self.highest_epoch_observed, self.promised_epoch, self.peers.highest_promised_epoch(), 0
        )

    def _rescue_epoch(self) -> int:
        return self.record.view.rescue_epoch if self.record.view else 0

    def fencing_record(self) -> Record | None:
        """What to write once its view was given up by a rescue, None if nothing is to be written.

        A restart must not make it forget that it stood down.
        """
        view = self.newest_view
        if view is None or view.rescue_epoch <= self._rescue_epoch():
            return None
        if self.record.promised_epoch >= self.promised_epoch:
            return None
        return replace(self.record, promised_epoch=self.promised_epoch)

    # --- heartbeats

    def heartbeat(self, address: Address, serving: ServingRow | None = None) -> HeartbeatRequest:
        """The heartbeat to a store; `serving` is told by the primary that serves."""
        return HeartbeatRequest(**self._status(address), serving=serving)

    def _status(self, address: Address) -> dict[str, Any]:
        """The fields of `MemberStatus` for the store at `address`."""
        peer = self.peers.by_address.get(address) or Peer()
        view = self.record.view
        newest_epoch = self.newest_view.epoch if self.newest_view else 0
        view_to_send = self.newest_view if peer.newest_view_epoch < newest_epoch else None
        asks_lease = self.is_primary() and self.state is not MemberState.UNHEALTHY
        return {
            "member": self.member.to_row(),
            "state": self.state.value,
            "is_founder": self.record.is_founder,
            "view_epoch": view.epoch if view else 0,
            "newest_view_epoch": newest_epoch,
            "promised_epoch": self.promised_epoch,
            "committed_version": self.version if self.knows_committed else -1,
            "view": view_to_send.to_row() if view_to_send else None,
            "requested_lease_epoch": view.epoch if view is not None and asks_lease else 0,
        }

    def is_primary(self) -> bool:
        """Whether its view makes it primary and nothing higher was promised, not even by itself."""
        view = self.record.view
        return (
            view is not None
            and view.primary.id == self.member.id
            and self.promised_epoch == view.epoch
        )

    def _on_status(self, now: float, status: MemberStatus) -> Peer:
        peer = self.peers.update(now, status)
        self.observe_view(View.from_row(status.view))
        return peer

    def on_heartbeat(self, now: float, request: HeartbeatRequest) -> HeartbeatResponse:
        """Takes in a heartbeat, and grants the lease where it is asked for rightly."""
        self._on_status(now, request)
        sender = Member.from_row(request.member)
        epoch = request.requested_lease_epoch
        view = self.record.view
        granted_epoch = 0
        if (
            view is not None
            and view.primary == sender
            and epoch == view.epoch == self.promised_epoch
        ):
            self._grant_to(now, sender.id)
            granted_epoch = epoch
        return HeartbeatResponse(
            **self._status(sender.address),
            granted_epoch=granted_epoch,
            known_addresses=self.peers.reachable_addresses(now),
        )

    def on_heartbeat_response(
        self, now: float, sent_at: float, response: HeartbeatResponse
    ) -> Peer:
        """Takes in the answer to a heartbeat that was sent at `sent_at`; the peer that answered."""
        peer = self._on_status(now, response)
        sender = Member.from_row(response.member)
        if sender.address in self.peers.by_address:  # not an echo of our own
            peer.answered_at = now
            self.peers.answered_at[sender.id] = now
            self.peers.add(now, response.known_addresses)
            self.on_grant(sender.id, response.granted_epoch, sent_at)
        return peer

    # --- the lease

    def on_grant(self, member_id: str, epoch: int, sent_at: float) -> None:
        """A voter granted the lease of `epoch` to what was sent at `sent_at`."""
        view = self.record.view
        if view is not None and epoch == view.epoch and view.primary.id == self.member.id:
            self.grants.add(member_id, epoch, sent_at)

    def _grant_to(self, now: float, member_id: str) -> None:
        self.granted_to = member_id
        self.grant_ends_at = now + GRANT_SECONDS

    def _lease_left(self, now: float, least_epoch: int) -> float:
        """Seconds that the grants given since `least_epoch` last, 0 if they are no quorum."""
        view = self.record.view
        if view is None or view.primary.id != self.member.id:
            return 0.0
        if self.promised_epoch != view.epoch and self.promised_candidate != self.member.id:
            return 0.0
        return self.grants.remaining_seconds(now, view, least_epoch)

    def lease_left(self, now: float) -> float:
        """Seconds for which this member serves and nobody else can; 0 if it doesn't serve.

        Grants of an earlier epoch of the same term count: they bar the others just as well while it
        changes its own view, and nothing is written under the new one before the electors have it.
        """
        return self._lease_left(now, 0) if self.is_established else 0.0

    def is_leader(self, now: float) -> bool:
        """Whether the electors agree on the view on its disk, with this member as its primary."""
        return self.is_primary() and self._lease_left(now, self.promised_epoch) > 0.0

    def can_write(self, now: float) -> bool:
        """Whether a change may be taken, or one that both disks have be acknowledged."""
        return (
            self.is_leader(now) and self.is_established and self.state is not MemberState.UNHEALTHY
        )

    # --- what is committed

    def become_established(self, now: float) -> bool:
        """Begins to serve once it can, by committing what its backup wrote; whether it began."""
        if self.is_established or not self.is_leader(now):
            return False
        if self.replicated_epoch != self.promised_epoch:
            return False
        self.is_established = True
        # of an earlier term; the record has what was written with it
        self.history = EMPTY_HISTORY
        self.inherited_history = EMPTY_HISTORY
        self.commit(self.record.version, self.record.data)
        return True

    def commit(self, version: int, data: bytes) -> bool:
        """This configuration is committed; whether that is new to this member."""
        is_newer = version > self.version or not self.knows_committed
        if self.is_established and (version, data) == self.record.configuration:
            self.history = self.history_with(version, data)
        if version > self.version:
            self.version = version
            self.data = data
        self.knows_committed = True
        return is_newer

    def history_with(self, version: int, data: bytes) -> ChangeHistory:
        """The history to be written together with a configuration, which is its last entry."""
        if not version:
            return EMPTY_HISTORY
        content = digest(data)
        own_history = self.history if self.is_established else EMPTY_HISTORY
        for history in (own_history, self.inherited_history, self.record.history):
            if history.ends_with(version, content):
                return history
        return own_history.appended(version, content)

    def end_term(self) -> None:
        """Before it stands for election: what counts from here on is given anew."""
        self.grants.clear()
        self.is_established = False
        self.replicated_epoch = 0

    # --- what other members ask. Each method returns the record that has to be on disk before the
    # answer goes, and raises CallRefusedError if it refuses.

    def may_promise(self, now: float, epoch: int, candidate_id: str, released_epoch: int) -> bool:
        """Whether it may promise `epoch` to a candidate.

        Args:
            now: The present.
            epoch: The epoch that the candidate stands for.
            candidate_id: Member id of the candidate.
            released_epoch: Epoch of the view whose primary handed over to it, 0 if none.
        """
        view = self.record.view
        if epoch <= self.promised_epoch:
            return False
        if candidate_id != self.member.id and self.lease_left(now) > 0.0:
            return False
        if view is None or released_epoch >= view.epoch:
            return True
        if now < self.grant_ends_at and self.granted_to != candidate_id:
            return False
        # what this disk granted before its restart may stand until then
        return view.primary.id == candidate_id or now >= self.started_at + GRANT_SECONDS

    def promise(self, now: float, epoch: int, candidate_id: str, released_epoch: int) -> Record:
        """Promises `epoch`, see `may_promise`."""
        if not self.may_promise(now, epoch, candidate_id, released_epoch):
            raise CallRefusedError("promises nothing now")
        self._raise_promise(epoch, candidate_id)
        if candidate_id != self.member.id:
            self.backoff_until = max(self.backoff_until, now + CANDIDACY_SPACING_SECONDS)
        return replace(self.record, promised_epoch=epoch)

    def _raise_promise(self, epoch: int, candidate_id: str) -> None:
        if epoch > self.promised_epoch:
            self.promised_epoch = epoch
            self.promised_candidate = candidate_id
            if candidate_id != self.member.id:
                self.is_established = False

    def check_recipient(self, member_id: str) -> None:
        """Refuses what is meant for the disk that was here before."""
        if member_id != self.member.id:
            raise CallRefusedError("another disk")

    def accept_write(
        self,
        epoch: int,
        writer_id: str,
        version: int,
        data: bytes,
        history: ChangeHistory = EMPTY_HISTORY,
    ) -> Record:
        """Accepts the primary's write, or a candidate's copy; `history` as the writer has it.

        Within an epoch versions only grow: bytes that a partition delayed may come after later
        ones.
        """
        if epoch < self.promised_epoch:
            raise CallRefusedError("a newer epoch")
        record = self.record
        if (
            epoch == record.written_epoch
            and version <= record.version
            and (version, data) != record.configuration
        ):
            raise CallRefusedError("a later write")
        self._raise_promise(epoch, writer_id)
        return self._with_configuration(epoch, version, data, history)

    def accept_own_write(self, epoch: int, version: int, data: bytes) -> Record:
        """Accepts the write of this member, as primary or candidate, to its own disk."""
        if epoch != self.promised_epoch:
            raise CallRefusedError("a newer epoch")
        return self._with_configuration(epoch, version, data, self.history_with(version, data))

    def _with_configuration(
        self, epoch: int, version: int, data: bytes, history: ChangeHistory
    ) -> Record:
        return replace(
            self.record,
            promised_epoch=epoch,
            version=version,
            data=data,
            written_epoch=epoch,
            history=history,
        )

    def read_for_candidate(self, epoch: int, candidate_id: str) -> Record:
        """Hands its configuration to a candidate, and promises its epoch by that."""
        if epoch < self.promised_epoch:
            raise CallRefusedError("a newer epoch")
        self._raise_promise(epoch, candidate_id)
        return replace(self.record, promised_epoch=epoch)

    def install(self, view: View) -> Record:
        """Installs the view of an elected primary."""
        if view.epoch < self.promised_epoch or self.member.id not in view.members():
            raise CallRefusedError("not its view")
        self._raise_promise(view.epoch, view.primary.id)
        return replace(self.record, promised_epoch=view.epoch, view=view)

    def on_persisted(self, record: Record) -> None:
        """The record is on disk."""
        self.record = record
        view = record.view
        if view is not None:
            self.observe_view(view)
            if view.primary.id != self.member.id:
                self.grants.clear()
                self.is_established = False

    def grant_installed(self, now: float, view: View) -> None:
        """Grants the lease to the primary of a view that was just installed.

        Raises:
            CallRefusedError: More was promised meanwhile.
        """
        if self.promised_epoch != view.epoch or self.record.view != view:
            raise CallRefusedError("a newer epoch")
        self._grant_to(now, view.primary.id)

    # --- when it stands back

    def back_off(self, now: float) -> None:
        """An attempt failed: the next comes after a while, by chance not at another's moment."""
        delay = BACKOFF_SECONDS + BACKOFF_SPREAD_SECONDS * self.rng.random()
        self.backoff_until = max(self.backoff_until, now + delay)

    def is_dispensable(self, now: float) -> bool:
        """Whether a leaving member can go.

        That is where no view known names it, or where nobody is there to take its place and the
        others need neither its data nor its vote.
        """
        view = self.newest_view
        if self.promised_epoch > (view.epoch if view else 0):
            return False  # a view that names it may stand, of which it hasn't heard yet
        if view is None or self.member.id not in view.members():
            return True
        live = self.peers.live_members(now)
        electors = view.electors()
        # a backup without a vote may take a place as well; a change under way needs the former
        # voters, too
        if any(member.id not in electors for member in live) or view.former_voters:
            return False
        return not view.has_data(self.member.id) and view.has_quorum([m.id for m in live])
