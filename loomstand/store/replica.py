"""The replication state of one member: promises, writes, the lease and the committed configuration.

A state machine without clock, disk or network. `now` is always in seconds of a monotonic clock. The
driver (`replica_io`) writes each `Record` that a method returns to disk, passes it to
`on_persisted`, and only then answers the caller. The protocol's invariants:

- A configuration is committed once the primary and the backup of a view have it on disk. A
  candidate that ends that view needs promises from a quorum of its electors, and the configuration
  of its primary or backup; a member that returns it promises to write nothing more under that
  view. So each of the two has every acknowledged change.
- A voter grants the lease only to the primary of the view on its own disk, and only while it has
  promised no higher epoch. So a quorum of grants also shows that those electors installed the view.
- While a voter's grant is valid, it promises no epoch to any other member: no two members serve at
  the same time.
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
from loomstand.store.views import Member, View, newest_view


@dataclass(slots=True)
class Replica:
    """The state of one member.

    Attributes:
        member: This member.
        seeds: Addresses of the stores on the seed nodes of the settings.
        record: The record whose write to disk has completed.
        started_at: Time of this member's start.
        rng: Random source for the backoff and for the epoch of a rescue.
        promised_epoch: The highest epoch promised. Never below the record's, as it is raised before
            the write to disk.
        promised_candidate: Member id of the candidate that `promised_epoch` was promised to.
        newest_view: The newest view observed, on disk or in messages.
        peers: The other stores.
        granted_to: Member id of the primary that this voter last granted the lease to.
        grant_ends_at: Time at which that grant expires.
        grants: The lease grants received as primary.
        replicated_epoch: The epoch under which the backup wrote the record's configuration since
            this start, 0 if it didn't.
        is_established: Whether it began to serve as the primary of its view; its lease may have
            expired since.
        version: The newest committed version known to this member.
        data: The configuration of that version.
        history: The acknowledged changes, kept while it is established.
        inherited_history: The change history read with the configuration as a candidate.
        has_committed_version: Whether `version` comes from a serving primary, directly or through
            other members.
        state: Its own health.
        highest_epoch_observed: The highest promised epoch that a member reported in an election.
        backoff_until: Time until which it starts no action (`planning`), after its own failed
            attempt or a promise to another candidate.
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
    has_committed_version: bool = False
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
        """Applies new seeds, once there is a view; the initial seeds decide on the first one."""
        if seeds != self.seeds and self.newest_view is not None:
            self.seeds = seeds
            self.peers.add(now, seeds)

    def forget_addresses(self, now: float) -> None:
        """Drops addresses that are no longer listed, see `PeerTable.forget`.

        Those of the seeds and of the view's members are kept.
        """
        members = self.newest_view.members().values() if self.newest_view else ()
        self.peers.forget(now, {*self.seeds, *(member.address for member in members)})

    def observe_view(self, view: View | None) -> None:
        """Records a view from a message or from disk, if it is newer than all seen so far."""
        if view is None or (self.newest_view is not None and view.epoch <= self.newest_view.epoch):
            return
        self.newest_view = view
        # a rescue gave up the view on this disk: the member must not serve or vote under it
        if view.rescue_epoch > self._rescue_epoch():
            self._raise_promise(view.epoch, view.primary.id)

    def newest_known_view(self) -> View | None:
        """The newest view, on its disk or observed in messages."""
        return newest_view(self.record.view, self.newest_view)

    def highest_known_epoch(self) -> int:
        """The highest promised epoch known to this member."""
        return max(
            self.highest_epoch_observed, self.promised_epoch, self.peers.highest_promised_epoch(), 0
        )

    def _rescue_epoch(self) -> int:
        return self.record.view.rescue_epoch if self.record.view else 0

    def fencing_record(self) -> Record | None:
        """The record that fences this member off from a view that a rescue gave up.

        Written to disk, so that the member stays fenced after a restart. None if there is nothing
        to write.
        """
        view = self.newest_view
        if view is None or view.rescue_epoch <= self._rescue_epoch():
            return None
        if self.record.promised_epoch >= self.promised_epoch:
            return None
        return replace(self.record, promised_epoch=self.promised_epoch)

    # --- heartbeats

    def heartbeat(self, address: Address, serving: ServingRow | None = None) -> HeartbeatRequest:
        """The heartbeat to the store at `address`; `serving` is set by the serving primary."""
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
            "committed_version": self.version if self.has_committed_version else -1,
            "view": view_to_send.to_row() if view_to_send else None,
            "requested_lease_epoch": view.epoch if view is not None and asks_lease else 0,
        }

    def is_primary(self) -> bool:
        """Whether it is primary of its view and has promised no higher epoch, even to itself."""
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
        """Handles a heartbeat, and grants the lease if the primary of this view requests it."""
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
        """Handles the response to a heartbeat sent at `sent_at`; returns the responding peer."""
        peer = self._on_status(now, response)
        sender = Member.from_row(response.member)
        if sender.address in self.peers.by_address:  # false for a response from this member itself
            peer.answered_at = now
            self.peers.answered_at[sender.id] = now
            self.peers.add(now, response.known_addresses)
            self.on_grant(sender.id, response.granted_epoch, sent_at)
        return peer

    # --- the lease

    def on_grant(self, member_id: str, epoch: int, sent_at: float) -> None:
        """Records a voter's grant for `epoch`, in response to a request sent at `sent_at`."""
        view = self.record.view
        if view is not None and epoch == view.epoch and view.primary.id == self.member.id:
            self.grants.add(member_id, epoch, sent_at)

    def _grant_to(self, now: float, member_id: str) -> None:
        self.granted_to = member_id
        self.grant_ends_at = now + GRANT_SECONDS

    def _lease_left(self, now: float, least_epoch: int) -> float:
        """Seconds that a quorum of grants of `least_epoch` or later lasts, 0 if there is none."""
        view = self.record.view
        if view is None or view.primary.id != self.member.id:
            return 0.0
        if self.promised_epoch != view.epoch and self.promised_candidate != self.member.id:
            return 0.0
        return self.grants.remaining_seconds(now, view, least_epoch)

    def lease_left(self, now: float) -> float:
        """Seconds for which only this member can serve; 0 if it doesn't serve.

        Grants of an earlier epoch of the same term count: while the primary changes its own view
        they still keep other members from serving, and no change is written under the new view
        before the electors have installed it.
        """
        return self._lease_left(now, 0) if self.is_established else 0.0

    def is_leader(self, now: float) -> bool:
        """Whether it is primary of the view on its disk and a quorum granted the lease for it."""
        return self.is_primary() and self._lease_left(now, self.promised_epoch) > 0.0

    def can_write(self, now: float) -> bool:
        """Whether it may accept a change, or acknowledge one that is on both disks."""
        return (
            self.is_leader(now) and self.is_established and self.state is not MemberState.UNHEALTHY
        )

    # --- the committed configuration

    def become_established(self, now: float) -> bool:
        """Begins to serve once the lease and the backup's write allow it, and commits the record.

        Returns:
            Whether it began to serve with this call.
        """
        if self.is_established or not self.is_leader(now):
            return False
        if self.replicated_epoch != self.promised_epoch:
            return False
        self.is_established = True
        # both are from an earlier term; the record has the history written with its configuration
        self.history = EMPTY_HISTORY
        self.inherited_history = EMPTY_HISTORY
        self.commit(self.record.version, self.record.data)
        return True

    def commit(self, version: int, data: bytes) -> bool:
        """Records a committed configuration; returns whether it is new to this member."""
        is_newer = version > self.version or not self.has_committed_version
        if self.is_established and (version, data) == self.record.configuration:
            self.history = self.history_with(version, data)
        if version > self.version:
            self.version = version
            self.data = data
        self.has_committed_version = True
        return is_newer

    def history_with(self, version: int, data: bytes) -> ChangeHistory:
        """The history to write together with a configuration, which is its last entry."""
        if not version:
            return EMPTY_HISTORY
        content_digest = digest(data)
        own_history = self.history if self.is_established else EMPTY_HISTORY
        for history in (own_history, self.inherited_history, self.record.history):
            if history.ends_with(version, content_digest):
                return history
        return own_history.appended(version, content_digest)

    def end_term(self) -> None:
        """Ends the current term before an election: drops all grants and stops serving."""
        self.grants.clear()
        self.is_established = False
        self.replicated_epoch = 0

    # --- requests of other members. Each method returns the record that has to be on disk before
    # the response is sent, and raises CallRefusedError if it refuses the request.

    def may_promise(self, now: float, epoch: int, candidate_id: str, released_epoch: int) -> bool:
        """Whether it may promise `epoch` to a candidate.

        Args:
            now: The current time.
            epoch: The epoch that the candidate stands for.
            candidate_id: Member id of the candidate.
            released_epoch: Epoch of the view whose primary transferred its leadership to the
                candidate, 0 if none.
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
        # a grant from before this member's start isn't on disk; it has expired GRANT_SECONDS after
        # the start
        return view.primary.id == candidate_id or now >= self.started_at + GRANT_SECONDS

    def promise(self, now: float, epoch: int, candidate_id: str, released_epoch: int) -> Record:
        """Promises `epoch` to a candidate, see `may_promise`."""
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
        """Refuses a request for another member, such as an earlier disk at this address."""
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
        """Accepts a write of the primary or a candidate, with the writer's change `history`.

        Within an epoch versions only grow: a write that a partition delayed may arrive after later
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
        """Accepts this member's own write, as primary or candidate, to its disk."""
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
        """Promises a candidate's epoch; the returned record has the configuration it reads."""
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
        """Adopts a record whose write to disk has completed."""
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
            CallRefusedError: A higher epoch was promised during the write of the view.
        """
        if self.promised_epoch != view.epoch or self.record.view != view:
            raise CallRefusedError("a newer epoch")
        self._grant_to(now, view.primary.id)

    # --- backing off and leaving

    def back_off(self, now: float) -> None:
        """Delays the next attempt after a failed one, with jitter against competing candidates."""
        delay = BACKOFF_SECONDS + BACKOFF_SPREAD_SECONDS * self.rng.random()
        self.backoff_until = max(self.backoff_until, now + delay)

    def is_dispensable(self, now: float) -> bool:
        """Whether a leaving member can stop.

        True if the newest view known doesn't include it, or if no live member can take its place
        and the live members need neither its data nor its vote.
        """
        view = self.newest_view
        if self.promised_epoch > (view.epoch if view else 0):
            return False  # a view that includes it may exist that it hasn't received yet
        if view is None or self.member.id not in view.members():
            return True
        live = self.peers.live_members(now)
        electors = view.electors()
        # a live member without a vote, the backup included, can replace it as a voter; and an
        # unfinished change of voters needs the former voters, too
        if any(member.id not in electors for member in live) or view.former_voters:
            return False
        return not view.has_data(self.member.id) and view.has_quorum([m.id for m in live])
