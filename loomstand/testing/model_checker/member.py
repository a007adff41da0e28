"""The state of one member as an immutable value, and its transitions by the store's own code.

For each event the store's Replica and ElectionRules are set up from a snapshot, handle the event
and are read back into a snapshot. Only the order of calls (`store.election`, `store.leadership`,
`store.configuration_service`) is repeated here.

The clock always reads 0: past times are negative, and a tick subtracts from every stored time.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import cache
from itertools import product
from random import Random
from typing import Any, NamedTuple

import cbor2

from loomstand.rpc.errors import CallRefusedError
from loomstand.rpc.messages.replication_messages import HeartbeatRequest, HeartbeatResponse
from loomstand.store import freshness, graceful_shutdown
from loomstand.store.election_rules import ElectionRules
from loomstand.store.learner import Learner
from loomstand.store.lease import Grant
from loomstand.store.member_report import best_configuration
from loomstand.store.peers import MemberState, Peer
from loomstand.store.planning import Action, ActionKind, next_action, take_over, with_voters_of
from loomstand.store.record import NO_CONFIGURATION, Record, VersionedData
from loomstand.store.replica import Replica
from loomstand.store.rescue import RescueCase
from loomstand.store.rescue_election_rules import RescueElectionRules
from loomstand.store.timing import GRANT_SECONDS, LEASE_SECONDS, LONG_AGO
from loomstand.store.views import Member, View

# In every state a shutdown has just begun, so an exit after the grace period isn't explored.
GRACE_PERIOD_SECONDS = 6.0
# After one tick a grant is still valid, after two it has expired, for its granter and its holder.
TICK_SECONDS = GRANT_SECONDS / 2
STATUS_DEFAULTS = {
    "state": 0,
    "founder": False,
    "epoch": 0,
    "seen": 0,
    "promised": 0,
    "version": 0,
    "known": [],
}
RNG = Random(1)  # required by the constructor of Replica; no code driven here draws from it


class Message(NamedTuple):
    """A call or its answer in transit."""

    op: str
    is_answer: bool
    sender: int  # index of the member that sends this call or answer
    receiver: int
    disk_id: str  # member id the call is addressed to; an answer repeats it
    body: bytes
    sent: float = 0.0  # seconds at which the call was sent, by the caller's clock
    is_awaited: bool = True  # False once the caller has restarted, so that it ignores the answer


class PendingOperation(NamedTuple):
    """The operation that a primary or candidate has under way.

    An election if there is an `action`, else a change or a repeated write to the backup.

    Stages of an election:
        promise: The own promise is written.
        poll: Other members are asked for promises.
        fetch: Other members are asked for the configuration.
        own, owning: The write of the configuration to the own disk waits, is in progress.
        backup: Other members are asked to be the backup.
        install, installing: The write of the view to the own disk waits, is in progress.
        stand: The members of the view are asked for leases.

    A change has only the stage `put`, a repeated write only `settle`.
    """

    stage: str
    epoch: int
    action: Action | None = None
    base: View | None = None
    # members that promised; for a put or a repeated write, "own" and "kept" for the disks written
    ids: frozenset[str] = frozenset()
    # members asked for the configuration or, from the stage backup on, to be the backup, in order
    asked: tuple[Member, ...] = ()
    configuration: VersionedData = NO_CONFIGURATION
    released_epoch: int = 0
    case: RescueCase | None = None  # set for a rescue only


class MemberSnapshot(NamedTuple):
    """All of a member's state that affects its decisions.

    Expired times are replaced by `LONG_AGO`, so that equivalent states compare equal.
    """

    member_index: int
    record: Record
    started_at: float
    promised_epoch: int
    promised_candidate: str
    newest_view: View | None
    granted_to: str = ""
    grant_ends_at: float = LONG_AGO
    # grants that the member holds: id of the granter, epoch, time of the request
    grants: tuple[tuple[str, int, float], ...] = ()
    replicated_epoch: int = 0
    is_established: bool = False
    version: int = 0
    data: bytes = b""
    # the record being written, and the continuation of `MemberDriver.write`
    pending_write: tuple[Record, tuple[Any, ...]] | None = None
    operation: PendingOperation | None = None
    copy: VersionedData = NO_CONFIGURATION  # the learner's copy on disk (`store.learner`)


# the name of a method of MemberDriver and its arguments; but "deliver" with the number of the
# message, and "start" for `start_election`
Event = tuple[Any, ...]
# ("committed", version, data) by a primary, ("copied", version, data) by a learner,
# ("violated", invariant)
Effect = tuple[Any, ...]


def snapshot_at_start(
    index: int, record: Record, copy: VersionedData = NO_CONFIGURATION
) -> MemberSnapshot:
    """A member that has just started with the given disk contents."""
    return MemberSnapshot(index, record, 0.0, record.promised_epoch, "", record.view, copy=copy)


@cache
def address(index: int) -> tuple[str, int]:
    """The network address of the member with this index."""
    return (f"10.{index + 1}.0.1", 7341)


def snapshot_after_tick(snapshot: MemberSnapshot) -> MemberSnapshot:
    """The same member one tick later."""
    ends_at = (
        snapshot.grant_ends_at - TICK_SECONDS
        if snapshot.grant_ends_at - TICK_SECONDS > 0.0
        else LONG_AGO
    )
    grants = tuple(
        (member_id, epoch, sent_at - TICK_SECONDS)
        for member_id, epoch, sent_at in snapshot.grants
        if sent_at - TICK_SECONDS + LEASE_SECONDS > 0.0
    )
    started_at = (
        snapshot.started_at - TICK_SECONDS
        if snapshot.started_at - TICK_SECONDS > -GRANT_SECONDS
        else LONG_AGO
    )
    granted_to = snapshot.granted_to if ends_at > 0.0 else ""
    return snapshot._replace(
        grant_ends_at=ends_at, granted_to=granted_to, grants=grants, started_at=started_at
    )


@dataclass(slots=True)
class CodeUnderTest:
    """The code under test; each mutant replaces one part of it."""

    replica: type[Replica] = Replica
    election_rules: type[ElectionRules] = ElectionRules
    rescue: type[RescueElectionRules] = RescueElectionRules
    learner: type[Learner] = Learner
    # for how many seconds a configuration that was read may still be passed on
    remaining_read_seconds: Callable[..., float] = freshness.remaining_seconds
    # whether a member that is shutting down may exit
    may_shut_down: Callable[..., bool] = graceful_shutdown.may_shut_down
    commits_early: bool = False  # commits before the backup's write
    reuses_disk_id: bool = False  # a member that lost its disk keeps its old id


class MemberDriver:
    """The store's code set up from a snapshot for one event.

    `sent_messages` and `effects` collect what the event causes outside the member.
    """

    def __init__(
        self, code: CodeUnderTest, seeds: tuple[Member, ...], snapshot: MemberSnapshot
    ) -> None:
        self.code, self.seeds, self.snapshot = code, seeds, snapshot
        me = Member(snapshot.record.id, address(snapshot.member_index))
        replica = code.replica(
            me, tuple(m.address for m in seeds), snapshot.record, snapshot.started_at, RNG
        )
        replica.promised_epoch = snapshot.promised_epoch
        replica.promised_candidate = snapshot.promised_candidate
        replica.newest_view = snapshot.newest_view
        replica.granted_to = snapshot.granted_to
        replica.grant_ends_at = snapshot.grant_ends_at
        replica.grants.by_member = {
            member_id: Grant(epoch, sent_at) for member_id, epoch, sent_at in snapshot.grants
        }
        replica.replicated_epoch = snapshot.replicated_epoch
        replica.is_established = snapshot.is_established
        replica.version = snapshot.version
        replica.data = snapshot.data
        replica.has_committed_version = True
        for m in seeds:
            if m != me:
                # a founder must know the other founders before it may ask for a lease
                replica.peers.by_address[m.address] = Peer(m.id, answered_at=0.0, is_founder=True)
        self.replica, self.pending_write, self.operation, self.copy = (
            replica,
            snapshot.pending_write,
            snapshot.operation,
            snapshot.copy,
        )
        self.sent_messages: list[Message] = []
        self.effects: list[Effect] = []

    def to_snapshot(self) -> MemberSnapshot:
        """The member after the event."""
        replica, operation = self.replica, self.operation
        if operation is not None and operation.stage == "stand" and replica.is_leader(0.0):
            if replica.can_write(0.0):
                self.commit(replica.record.version, replica.record.data)
            self.operation = None
        was_established = replica.is_established
        if replica.become_established(0.0) and not was_established:
            self.effects.append(("committed", replica.version, replica.data))
        if replica.version < self.snapshot.version:
            self.effects.append(("violated", "(c) a committed version decreased"))
        is_valid = replica.grant_ends_at > 0.0
        grants = tuple(
            sorted(
                (member_id, epoch, sent_at)
                for member_id, (epoch, sent_at) in replica.grants.by_member.items()
                if sent_at + LEASE_SECONDS > 0.0
            )
        )
        return MemberSnapshot(
            self.snapshot.member_index,
            replica.record,
            self.snapshot.started_at,
            replica.promised_epoch,
            replica.promised_candidate,
            replica.newest_view,
            replica.granted_to if is_valid else "",
            replica.grant_ends_at if is_valid else LONG_AGO,
            grants,
            replica.replicated_epoch,
            replica.is_established,
            replica.version,
            replica.data,
            self.pending_write,
            self.operation,
            self.copy,
        )

    def commit(self, version: int, data: bytes) -> None:
        """Commits a configuration as the primary."""
        self.replica.commit(version, data)
        self.effects.append(("committed", self.replica.version, self.replica.data))

    # --- disk

    def persist(self, change: Callable[[], Record], *then: Any) -> None:
        """Computes a record now, which `write` puts on the disk, as `ReplicaIO.persist` does.

        A record that alters no page completes at once. `then` is the continuation of `write`.
        """
        record = change()
        self.pending_write = (record, then)
        if not record.pages(self.replica.record):
            self.write()

    def write(self) -> None:
        """Completes the pending write and runs its continuation."""
        assert self.pending_write is not None
        (record, then), self.pending_write = self.pending_write, None
        self.replica.on_persisted(record)
        match then:
            case ("answer", call, body):
                self.reply(call, body)
            case ("renew", call, body):
                view = record.view
                assert view is not None
                try:
                    self.replica.grant_installed(0.0, view)
                    self.reply(call, body)
                except CallRefusedError:
                    pass
            case ("lead", backup, body):
                self.ask(backup, "lead", **cbor2.loads(body))
            case ("work", stage, epoch):
                if self.operation and (self.operation.stage, self.operation.epoch) == (
                    stage,
                    epoch,
                ):
                    self.on_written(stage, record)
        if (
            self.pending_write is None
            and self.operation
            and self.operation.stage in ("own", "install")
        ):
            self.write_next()

    # --- calls

    def send_heartbeat(self, member: Member) -> None:
        """Sends a heartbeat that asks for a lease."""
        replica = self.replica
        if not replica.is_primary():
            raise CallRefusedError("not the primary")
        body = replica.heartbeat(member.address).to_wire()
        self.ask(member, "beat", **{k: body[k] for k in ("member", "view", "ask")})

    def ask(self, member: Member, op: str, /, **body: Any) -> None:
        """Sends a call to another member."""
        receiver = int(member.address[0].split(".")[1]) - 1
        if member.id != self.replica.member.id:
            self.sent_messages.append(
                Message(
                    op,
                    False,
                    self.snapshot.member_index,
                    receiver,
                    member.id,
                    cbor2.dumps(body),
                )
            )

    def reply(self, call: Message, body: bytes) -> None:
        """Answers a call, unless its caller has restarted since."""
        if call.op != "beat" and call.disk_id != self.replica.record.id:
            self.effects.append(
                (
                    "violated",
                    f"(d) {self.replica.record.id} answers for the lost disk {call.disk_id}",
                )
            )
        if call.is_awaited:
            own_index = self.snapshot.member_index
            self.sent_messages.append(
                Message(call.op, True, own_index, call.sender, call.disk_id, body, call.sent)
            )

    def deliver(self, message: Message) -> None:
        """Handles a call or an answer that arrives."""
        body = cbor2.loads(message.body)
        (self.on_answer if message.is_answer else self.on_call)(message, body)

    def on_call(self, m: Message, body: dict[str, Any]) -> None:
        """Handles a call; an answer that depends on a disk write is sent after the write."""
        replica = self.replica
        if m.op == "beat":
            answer = replica.on_heartbeat(
                0.0, HeartbeatRequest.from_wire(body | STATUS_DEFAULTS)
            ).to_wire()
            relevant = {k: answer[k] for k in ("member", "view", "granted")}
            if answer["granted"] or (
                replica.newest_view and replica.newest_view.epoch > body["ask"]
            ):
                self.reply(m, cbor2.dumps(relevant | {"ask": body["ask"]}))
            return
        replica.check_recipient(m.disk_id)
        if m.op == "lead":
            base = replica.newest_known_view()
            if (
                base
                and (base.epoch, base.primary.id) == (body["under"], body["by"])
                and self.pending_write is None
            ):
                action = take_over("the primary is leaving", base)
                is_outdated = replica.promised_epoch >= body["epoch"]
                epoch = replica.promised_epoch + 1 if is_outdated else body["epoch"]
                former_id = "" if is_outdated else body["by"]
                self.start_election(action, epoch, (former_id, body["under"]))
            return
        if self.pending_write is not None:
            raise CallRefusedError("a disk write is pending")
        match m.op:
            case "promise":
                view, by, epoch = replica.newest_known_view(), body["asker"], body["epoch"]
                answer = {"ok": True, "epoch": epoch, "view": view.to_page() if view else None}
                self.persist(
                    lambda: replica.promise(0.0, epoch, by, body["released"]),
                    "answer",
                    m,
                    cbor2.dumps(answer),
                )
            case "keep":
                epoch, version, data = body["epoch"], body["version"], body["data"]
                self.persist(
                    lambda: replica.accept_write(epoch, body["asker"], version, data),
                    "answer",
                    m,
                    m.body,
                )
            case "fetch":
                answer = {
                    "epoch": body["epoch"],
                    "version": replica.record.version,
                    "data": replica.record.data,
                }
                self.persist(
                    lambda: replica.read_for_candidate(body["epoch"], body["asker"]),
                    "answer",
                    m,
                    cbor2.dumps(answer),
                )
            case "install":
                view = View.from_page(body["view"])
                assert view is not None
                self.persist(
                    lambda: replica.install(view), "renew", m, cbor2.dumps({"epoch": view.epoch})
                )

    def on_answer(self, m: Message, body: dict[str, Any]) -> None:
        """Handles an answer; one for an operation that has ended is ignored."""
        replica, operation = self.replica, self.operation
        if m.op == "beat":
            replica.on_heartbeat_response(
                0.0, m.sent, HeartbeatResponse.from_wire(body | STATUS_DEFAULTS)
            )
            return
        if m.op == "install":
            replica.on_grant(m.disk_id, body["epoch"], m.sent)
            return
        if m.op == "promise":
            replica.observe_view(View.from_page(body["view"]))
        if operation is None or operation.epoch != body["epoch"]:
            return
        match m.op, operation.stage:
            case "promise", "poll":
                self.operation = operation._replace(ids=operation.ids | {m.disk_id})
                self.on_promises()
            case "fetch", "fetch" if operation.asked and m.disk_id == operation.asked[-1].id:
                self.on_configuration(VersionedData(body["version"], body["data"]))
            case "keep", "backup" if operation.asked and m.disk_id == operation.asked[-1].id:
                self.operation = operation._replace(stage="install")
                self.write_next()
            case "keep", "put" | "settle" if (
                body["version"],
                body["data"],
            ) == operation.configuration:
                self.operation = operation._replace(ids=operation.ids | {"kept"})
                self.commit_if_on_both()

    # --- elections, as in store/election.py

    def start_election(
        self, action: Action, epoch: int, release: tuple[str, int] | None = None
    ) -> None:
        """Starts an election, as `run_election` does.

        `release` is the id of a primary that gives up its lease, and the epoch of that lease.
        """
        replica = self.replica
        if action.kind is not ActionKind.CHANGE_VIEW:
            replica.end_term()
        base = replica.newest_known_view() if action.kind is not ActionKind.FOUND else None
        if base is not None and action.kind is ActionKind.TAKE_OVER:
            if replica.member.id not in base.members():
                raise CallRefusedError("not a member of the view")
            action = with_voters_of(action, base)
        releasing_id, released_epoch = release or ("", 0)
        ids = frozenset({replica.member.id, releasing_id} - {""})
        self.operation = PendingOperation(
            "promise", epoch, action, base, ids, released_epoch=released_epoch
        )
        if self.election_rules().next_epoch(epoch - 1) is None:
            raise CallRefusedError("the view was given up")
        self.persist(
            lambda: replica.promise(0.0, epoch, replica.member.id, released_epoch),
            "work",
            "promise",
            epoch,
        )

    def rescue(self, case: RescueCase, epoch: int) -> None:
        """Starts a rescue that operators confirmed, as `RescueService` does."""
        replica = self.replica
        if self.pending_write is not None:
            raise CallRefusedError("a disk write is pending")
        replica.end_term()
        action = Action(ActionKind.RESCUE, "")
        ids = frozenset({replica.member.id})
        self.operation = PendingOperation("promise", epoch, action, case.view, ids, case=case)
        self.persist(
            lambda: replica.promise(0.0, epoch, replica.member.id, 0), "work", "promise", epoch
        )

    def hear_newest_view(self, view: View) -> None:
        """Learns the newest view after a restart, before the member asks for a lease."""
        self.replica.observe_view(view)
        record = self.replica.fencing_record()
        if record is not None:
            self.persist(lambda: record, "fenced")

    def election_rules(self) -> ElectionRules:
        """The rules of the election in progress."""
        assert self.operation is not None
        assert self.operation.action is not None
        if self.operation.case is not None:
            configuration = best_configuration(self.replica, NO_CONFIGURATION)
            return self.code.rescue(
                self.operation.action, self.operation.base, self.operation.case, configuration, 0
            )
        return self.code.election_rules(self.operation.action, self.operation.base)

    def on_written(self, stage: str, record: Record) -> None:
        """Advances the operation in progress after its write reached the disk."""
        replica, operation = self.replica, self.operation
        assert operation is not None
        match stage:
            case "promise":
                self.operation = operation._replace(stage="poll")
                for m in self.election_rules().electors(replica):
                    if m.id not in operation.ids:
                        self.ask(
                            m,
                            "promise",
                            epoch=operation.epoch,
                            asker=replica.member.id,
                            released=operation.released_epoch,
                        )
                self.on_promises()
            case "owning":
                self.operation = operation._replace(stage="backup", asked=())
            case "installing":
                self.operation = operation._replace(stage="stand")
                assert record.view is not None
                try:
                    replica.grant_installed(0.0, record.view)
                except CallRefusedError:
                    self.operation = None
                    return
                for m in record.view.members().values():
                    self.ask(m, "install", view=record.view.to_page())
            case "put":
                self.operation = operation._replace(ids=operation.ids | {"own"})
                self.commit_if_on_both()

    def on_promises(self) -> None:
        """Advances the election once enough members have promised."""
        operation = self.operation
        assert operation is not None
        if self.election_rules().is_outdated(self.replica):
            self.operation = None
        elif self.election_rules().is_won(self.replica, operation.ids):
            own_configuration = self.election_rules().own_configuration(self.replica)
            if own_configuration is not None:
                self.on_configuration(own_configuration)
            else:
                self.operation = operation._replace(stage="fetch")
                self.read_configuration()

    def read_configuration(self) -> None:
        """Asks the next member that may have the configuration; the previous ones didn't answer."""
        operation = self.operation
        assert operation is not None
        sources = [m for m in self.election_rules().sources() if m not in operation.asked]
        if not sources:
            raise CallRefusedError("no source is left to ask")
        self.operation = operation._replace(asked=(*operation.asked, sources[0]))
        self.ask(sources[0], "fetch", epoch=operation.epoch, asker=self.replica.member.id)

    def on_configuration(self, configuration: VersionedData) -> None:
        """Determines the new view's configuration from the one that was read, and writes it."""
        newest = self.election_rules().newest_configuration(self.replica, configuration)
        assert newest is not None
        assert self.operation is not None
        self.operation = self.operation._replace(stage="own", asked=(), configuration=newest)
        self.write_next()

    def write_next(self) -> None:
        """Starts the election's next write to the member's own disk, once no write is pending."""
        replica, operation = self.replica, self.operation
        if self.pending_write is not None:
            return
        assert operation is not None
        try:
            if operation.stage == "own":
                self.operation = operation._replace(stage="owning")
                self.persist(
                    lambda: replica.accept_own_write(operation.epoch, *operation.configuration),
                    "work",
                    "owning",
                    operation.epoch,
                )
            else:
                # `ids` are the members that promised; the backup is the member asked last
                view = self.election_rules().new_view(
                    replica, operation.epoch, operation.asked[-1], operation.ids
                )
                replica.replicated_epoch = operation.epoch
                self.operation = operation._replace(stage="installing")
                self.persist(lambda: replica.install(view), "work", "installing", operation.epoch)
        except CallRefusedError:
            self.operation = None

    def backup(self, member: Member) -> None:
        """Asks another member to be the backup; one asked earlier may still write the data."""
        operation = self.operation
        if (
            operation is None
            or operation.stage != "backup"
            or member in operation.asked
            or member == self.replica.member
        ):
            raise CallRefusedError("no new backup can be asked")
        if not self.election_rules().may_be_backup(member, operation.ids):
            raise CallRefusedError("the member didn't promise")
        self.operation = operation._replace(asked=(*operation.asked, member))
        version, data = operation.configuration
        self.ask(
            member,
            "keep",
            epoch=operation.epoch,
            asker=self.replica.member.id,
            version=version,
            data=data,
        )

    # --- configuration changes, as in store/configuration_service.py

    def put(self, version: int, data: bytes) -> None:
        """Accepts a configuration change, as `ConfigurationService` does."""
        replica, view = self.replica, self.replica.record.view
        if (
            not replica.can_write(0.0)
            or version <= replica.version
            or self.pending_write is not None
        ):
            raise CallRefusedError("can't write, or the version isn't newer")
        # a put or a repeated write may time out, so a new change replaces it
        if self.operation is not None and self.operation.stage not in ("put", "settle"):
            raise CallRefusedError("an election is in progress")
        assert view is not None
        assert view.backup is not None
        self.operation = PendingOperation(
            "put", view.epoch, configuration=VersionedData(version, data)
        )
        self.ask(
            view.backup,
            "keep",
            epoch=view.epoch,
            asker=replica.member.id,
            version=version,
            data=data,
        )
        self.persist(
            lambda: replica.accept_own_write(view.epoch, version, data), "work", "put", view.epoch
        )

    def replicate(self) -> None:
        """Sends the record to the backup again, as `Leadership.replicate_record` does."""
        replica, view = self.replica, self.replica.record.view
        if (
            view is None
            or view.backup is None
            or not replica.is_leader(0.0)
            or self.pending_write is not None
        ):
            raise CallRefusedError("not the leader, no backup, or a disk write is pending")
        configuration = replica.record.configuration
        self.operation = PendingOperation(
            "settle", view.epoch, configuration=configuration, ids=frozenset({"own"})
        )
        body = {
            "epoch": view.epoch,
            "asker": replica.member.id,
            "version": configuration.version,
            "data": configuration.data,
        }
        self.ask(view.backup, "keep", **body)

    def commit_if_on_both(self) -> None:
        """Commits once both disks have the configuration."""
        replica, operation = self.replica, self.operation
        assert operation is not None
        if "own" not in operation.ids or (
            "kept" not in operation.ids and not self.code.commits_early
        ):
            return
        self.operation = None
        if (replica.record.version, replica.record.data) != operation.configuration:
            return
        if operation.stage == "settle" and replica.is_leader(0.0):
            replica.replicated_epoch = operation.epoch
            if replica.is_established:
                self.commit(*operation.configuration)
        elif operation.stage == "put" and replica.can_write(0.0):
            self.commit(*operation.configuration)

    def commit_news(self, version: int, data: bytes) -> None:
        """Learns of a committed configuration, after any delay."""
        self.replica.commit(version, data)

    def write_copy(self) -> None:
        """Writes the copy that the learner asks for."""
        next_copy = self.code.learner(self.copy).next_copy(self.replica)
        if next_copy is None or self.pending_write is not None:
            raise CallRefusedError("no copy to write, or a disk write is pending")
        self.copy = next_copy
        self.effects.append(("copied", *next_copy))

    def shut_down(self, remaining_members: tuple[Member, ...]) -> None:
        """Shuts down if the code allows it; `remaining_members` answer and aren't stopping."""
        replica = self.replica
        replica.state = MemberState.LEAVING
        replica.peers.by_address = {}
        replica.peers.answered_at = {}
        for m in remaining_members:
            replica.peers.by_address[m.address] = Peer(m.id, answered_at=0.0)
            replica.peers.answered_at[m.id] = 0.0
        if not self.code.may_shut_down(replica, 0.0, 0.0, GRACE_PERIOD_SECONDS):
            raise CallRefusedError("the member is still needed")
        replica.state = MemberState.HEALTHY

    def transfer_leadership(self) -> None:
        """Transfers leadership to the backup, as `Leadership` does."""
        replica, view, epoch = (
            self.replica,
            self.replica.record.view,
            self.replica.promised_epoch + 1,
        )
        assert view is not None
        assert view.backup is not None
        if self.pending_write is not None:
            raise CallRefusedError("a disk write is pending")
        replica.is_established = False
        backup = view.backup
        self.operation = None
        lead = {"by": replica.member.id, "epoch": epoch, "under": view.epoch}
        self.persist(
            lambda: replica.promise(0.0, epoch, backup.id, view.epoch),
            "lead",
            backup,
            cbor2.dumps(lead),
        )

    # --- planned actions

    def possible_actions(self, members: tuple[Member, ...]) -> list[Action]:
        """All results of `next_action` for any set of reachable members and any elapsed time."""
        replica, actions = self.replica, {}
        others = [m for m in members if m.id != replica.member.id]
        is_valid = replica.lease_left(0.0) > 0.0 or replica.is_leader(0.0)
        now = 0.0 if is_valid else 100.0
        for reachable, is_leaving, is_outbid in product(
            product((True, False), repeat=len(others)), (0, 1), (0, 1)
        ):
            replica.peers.by_address = {}
            replica.peers.answered_at = {}
            replica.state = MemberState.LEAVING if is_leaving else MemberState.HEALTHY
            for m, is_reachable in zip(others, reachable, strict=True):
                answered = now if is_reachable else LONG_AGO
                epoch = replica.promised_epoch + 1 if is_outbid else 0
                replica.peers.by_address[m.address] = Peer(
                    m.id, answered_at=answered, promised_epoch=epoch, is_founder=True
                )
                replica.peers.answered_at[m.id] = answered
            action = next_action(replica, now)
            if action is not None:
                key = (action.kind, action.voters, action.former_voters)
                actions[key] = replace(action, reason="")
        return list(actions.values())
