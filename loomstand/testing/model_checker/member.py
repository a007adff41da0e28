"""One member at one moment, as a value, and its steps by the store's own code.

The store's own Replica and ElectionRules are set up from the value, take one event and are written
back. Only the order of calls (`store.election`, `store.leadership`, `store.configuration_service`)
is repeated here.

The clock stands at 0 all the time: what is past has negative times, and a tick moves everything
back.
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

GRACE_PERIOD_SECONDS = (
    6.0  # s, of which none has passed: the end of a member's patience isn't walked
)
# A grant stands after one tick and has run out after two, for both of its ends.
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
RNG = Random(1)  # nothing that is driven here draws from it


class Message(NamedTuple):
    """A call or its answer under way; `sent` is when the call was sent, as the caller counts."""

    op: str
    answer: bool
    by: int
    at: int
    name: str  # the id of the disk that is asked, or in whose name it's answered
    body: bytes
    sent: float = 0.0
    is_awaited: bool = True  # whether the asker still lives and takes an answer


class PendingOperation(NamedTuple):
    """What a primary or candidate is doing.

    An election if there is an `action`, else a change or a repeated write to the backup.
    """

    stage: str
    epoch: int
    action: Action | None = None
    base: View | None = None
    ids: frozenset[str] = frozenset()  # who promised; of a put or settling, where it's written
    asked: tuple[Member, ...] = ()  # for the data, or to be the backup
    configuration: VersionedData = NO_CONFIGURATION
    released_epoch: int = 0
    case: RescueCase | None = None  # of a rescue


class MemberSnapshot(NamedTuple):
    """All of a member that can decide anything; times that have run out are all alike."""

    place: int  # among the members
    record: Record
    started_at: float
    promised_epoch: int
    promised_candidate: str
    newest_view: View | None
    granted_to: str = ""
    grant_ends_at: float = LONG_AGO
    grants: tuple[tuple[str, int, float], ...] = ()
    replicated_epoch: int = 0
    is_established: bool = False
    version: int = 0
    data: bytes = b""
    pending_write: tuple[Record, tuple[Any, ...]] | None = None
    work: PendingOperation | None = None
    copy: VersionedData = NO_CONFIGURATION  # on its disk, as learner.py has it


Event = tuple[Any, ...]
Effect = tuple[Any, ...]  # ("force", version, data) as a primary commits; ("broken", why)


def snapshot_at_start(
    index: int, record: Record, copy: VersionedData = NO_CONFIGURATION
) -> MemberSnapshot:
    """A member at its start, with that disk."""
    return MemberSnapshot(index, record, 0.0, record.promised_epoch, "", record.view, copy=copy)


@cache
def address(index: int) -> tuple[str, int]:
    """The address of a member."""
    return (f"10.{index + 1}.0.1", 7341)


def snapshot_after_tick(snapshot: MemberSnapshot) -> MemberSnapshot:
    """The same member a tick later."""
    ends_at = (
        snapshot.grant_ends_at - TICK_SECONDS
        if snapshot.grant_ends_at - TICK_SECONDS > 0.0
        else LONG_AGO
    )
    grants = tuple(
        (i, e, s - TICK_SECONDS)
        for i, e, s in snapshot.grants
        if s - TICK_SECONDS + LEASE_SECONDS > 0.0
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
    """The code under test; mutants exchange a part of it."""

    replica: type[Replica] = Replica
    election_rules: type[ElectionRules] = ElectionRules
    rescue: type[RescueElectionRules] = RescueElectionRules
    learner: type[Learner] = Learner
    passes: Callable[..., float] = (
        freshness.remaining_seconds
    )  # whether what was read may still be passed on
    # whether a member that was told to stop ends
    may_shut_down: Callable[..., bool] = graceful_shutdown.may_shut_down
    commits_early: bool = False  # commits before the backup wrote
    reuses_disk_id: bool = False  # a wiped disk comes back under the old id


class MemberDriver:
    """The store's code set up from a snapshot for one event.

    `out` are the messages and `effects` the other results that come of the event.
    """

    def __init__(
        self, code: CodeUnderTest, seeds: tuple[Member, ...], snapshot: MemberSnapshot
    ) -> None:
        self.code, self.seeds, self.snapshot = code, seeds, snapshot
        me = Member(snapshot.record.id, address(snapshot.place))
        replica = code.replica(
            me, tuple(m.address for m in seeds), snapshot.record, snapshot.started_at, RNG
        )
        replica.promised_epoch = snapshot.promised_epoch
        replica.promised_candidate = snapshot.promised_candidate
        replica.newest_view = snapshot.newest_view
        replica.granted_to = snapshot.granted_to
        replica.grant_ends_at = snapshot.grant_ends_at
        replica.grants.by_member = {i: Grant(e, s) for i, e, s in snapshot.grants}
        replica.replicated_epoch = snapshot.replicated_epoch
        replica.is_established = snapshot.is_established
        replica.version = snapshot.version
        replica.data = snapshot.data
        replica.has_committed_version = True
        for m in seeds:  # as a founder knows the others
            if m != me:
                # so it may ask for its lease
                replica.peers.by_address[m.address] = Peer(m.id, answered_at=0.0, is_founder=True)
        self.replica, self.pending_write, self.work, self.copy = (
            replica,
            snapshot.pending_write,
            snapshot.work,
            snapshot.copy,
        )
        self.out: list[Message] = []
        self.effects: list[Effect] = []

    def to_snapshot(self) -> MemberSnapshot:
        """The member after the event."""
        replica, work = self.replica, self.work
        if work is not None and work.stage == "stand" and replica.is_leader(0.0):
            if replica.can_write(0.0):
                self.commit(replica.record.version, replica.record.data)
            self.work = None
        before = replica.is_established
        if replica.become_established(0.0) and not before:
            self.effects.append(("force", replica.version, replica.data))
        if replica.version < self.snapshot.version:
            self.effects.append(("broken", "(c) a committed version went back"))
        stands = replica.grant_ends_at > 0.0
        grants = tuple(
            sorted(
                (i, e, s)
                for i, (e, s) in replica.grants.by_member.items()
                if s + LEASE_SECONDS > 0.0
            )
        )
        return MemberSnapshot(
            self.snapshot.place,
            replica.record,
            self.snapshot.started_at,
            replica.promised_epoch,
            replica.promised_candidate,
            replica.newest_view,
            replica.granted_to if stands else "",
            replica.grant_ends_at if stands else LONG_AGO,
            grants,
            replica.replicated_epoch,
            replica.is_established,
            replica.version,
            replica.data,
            self.pending_write,
            self.work,
            self.copy,
        )

    def commit(self, version: int, data: bytes) -> None:
        """Commits a configuration as the primary."""
        self.replica.commit(version, data)
        self.effects.append(("force", self.replica.version, self.replica.data))

    # --- the disk

    def persist(self, change: Callable[[], Record], *then: Any) -> None:
        """As `ReplicaIO.persist`: decided now, on disk after `write`.

        Without anything to write it is done at once.
        """
        record = change()
        self.pending_write = (record, then)
        if not record.pages(self.replica.record):
            self.write()

    def write(self) -> None:
        """The pending write is on disk; goes on with what waited for it."""
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
                if self.work and (self.work.stage, self.work.epoch) == (stage, epoch):
                    self.on_written(stage, record)
        if self.pending_write is None and self.work and self.work.stage in ("own", "install"):
            self.write_next()

    # --- calls

    def send_heartbeat(self, member: Member) -> None:
        """Sends a heartbeat that asks for the lease."""
        replica = self.replica
        if not replica.is_primary():
            raise CallRefusedError("not the primary")
        body = replica.heartbeat(member.address).to_wire()
        self.ask(member, "beat", **{k: body[k] for k in ("member", "view", "ask")})

    def ask(self, member: Member, op: str, /, **body: Any) -> None:
        """Sends a call to another member."""
        at = int(member.address[0].split(".")[1]) - 1
        if member.id != self.replica.member.id:
            self.out.append(
                Message(op, False, self.snapshot.place, at, member.id, cbor2.dumps(body))
            )

    def reply(self, call: Message, body: bytes) -> None:
        """Answers a call; its caller may have restarted since."""
        if call.op != "beat" and call.name != self.replica.record.id:
            self.effects.append(
                ("broken", f"(d) {self.replica.record.id} answers for the lost disk {call.name}")
            )
        if call.is_awaited:
            mine, other = self.snapshot.place, call.by
            self.out.append(Message(call.op, True, mine, other, call.name, body, call.sent))

    def deliver(self, m: Message) -> None:
        """A call or an answer arrives."""
        body = cbor2.loads(m.body)
        (self.on_answer if m.answer else self.on_call)(m, body)

    def on_call(self, m: Message, body: dict[str, Any]) -> None:
        """A call arrives; the answer waits for the disk where one is needed."""
        replica = self.replica
        if m.op == "beat":
            answer = replica.on_heartbeat(
                0.0, HeartbeatRequest.from_wire(body | STATUS_DEFAULTS)
            ).to_wire()
            kept = {k: answer[k] for k in ("member", "view", "granted")}
            if answer["granted"] or (
                replica.newest_view and replica.newest_view.epoch > body["ask"]
            ):
                self.reply(m, cbor2.dumps(kept | {"ask": body["ask"]}))
            return
        replica.check_recipient(m.name)
        if m.op == "lead":
            base = replica.newest_known_view()
            if (
                base
                and (base.epoch, base.primary.id) == (body["under"], body["by"])
                and self.pending_write is None
            ):
                action = take_over("its primary leaves", base)
                late = replica.promised_epoch >= body["epoch"]
                epoch = replica.promised_epoch + 1 if late else body["epoch"]
                self.start_election(action, epoch, ("" if late else body["by"], body["under"]))
            return
        if self.pending_write is not None:
            raise CallRefusedError("later")
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
                held = {
                    "epoch": body["epoch"],
                    "version": replica.record.version,
                    "data": replica.record.data,
                }
                self.persist(
                    lambda: replica.read_for_candidate(body["epoch"], body["asker"]),
                    "answer",
                    m,
                    cbor2.dumps(held),
                )
            case "install":
                view = View.from_page(body["view"])
                assert view is not None
                self.persist(
                    lambda: replica.install(view), "renew", m, cbor2.dumps({"epoch": view.epoch})
                )

    def on_answer(self, m: Message, body: dict[str, Any]) -> None:
        """An answer arrives, maybe too late to matter."""
        replica, work = self.replica, self.work
        if m.op == "beat":
            replica.on_heartbeat_response(
                0.0, m.sent, HeartbeatResponse.from_wire(body | STATUS_DEFAULTS)
            )
            return
        if m.op == "install":
            replica.on_grant(m.name, body["epoch"], m.sent)
            return
        if m.op == "promise":
            replica.observe_view(View.from_page(body["view"]))
        if work is None or work.epoch != body["epoch"]:
            return
        match m.op, work.stage:
            case "promise", "poll":
                self.work = work._replace(ids=work.ids | {m.name})
                self.on_promises()
            case "fetch", "fetch" if work.asked and m.name == work.asked[-1].id:
                self.on_configuration(VersionedData(body["version"], body["data"]))
            case "keep", "backup" if work.asked and m.name == work.asked[-1].id:
                self.work = work._replace(stage="install")
                self.write_next()
            case "keep", "put" | "settle" if (body["version"], body["data"]) == work.configuration:
                self.work = work._replace(ids=work.ids | {"kept"})
                self.commit_if_on_both()

    # --- a campaign, as in store/election.py

    def start_election(
        self, action: Action, epoch: int, release: tuple[str, int] | None = None
    ) -> None:
        """Begins an election, as `run_election` does."""
        replica = self.replica
        if action.kind is not ActionKind.CHANGE_VIEW:
            replica.end_term()
        base = replica.newest_known_view() if action.kind is not ActionKind.FOUND else None
        if base is not None and action.kind is ActionKind.TAKE_OVER:
            if replica.member.id not in base.members():
                raise CallRefusedError("not named")
            action = with_voters_of(action, base)
        by, under = release or ("", 0)
        ids = frozenset({replica.member.id, by} - {""})
        self.work = PendingOperation("promise", epoch, action, base, ids, released_epoch=under)
        if self.election_rules().next_epoch(epoch - 1) is None:
            raise CallRefusedError("given up")
        self.persist(
            lambda: replica.promise(0.0, epoch, replica.member.id, under), "work", "promise", epoch
        )

    def rescue(self, case: RescueCase, epoch: int) -> None:
        """As RescueService does when operators agree."""
        replica = self.replica
        if self.pending_write is not None:
            raise CallRefusedError("not now")
        replica.end_term()
        action = Action(ActionKind.RESCUE, "")
        ids = frozenset({replica.member.id})
        self.work = PendingOperation("promise", epoch, action, case.view, ids, case=case)
        self.persist(
            lambda: replica.promise(0.0, epoch, replica.member.id, 0), "work", "promise", epoch
        )

    def hear_newest_view(self, view: View) -> None:
        """Hears of the newest view at its start, before it asks for a lease."""
        self.replica.observe_view(view)
        record = self.replica.fencing_record()
        if record is not None:
            self.persist(lambda: record, "fenced")

    def election_rules(self) -> ElectionRules:
        """The rules of the election under way."""
        assert self.work is not None
        assert self.work.action is not None
        if self.work.case is not None:
            configuration = best_configuration(self.replica, NO_CONFIGURATION)
            return self.code.rescue(
                self.work.action, self.work.base, self.work.case, configuration, 0
            )
        return self.code.election_rules(self.work.action, self.work.base)

    def on_written(self, stage: str, record: Record) -> None:
        """A write of the operation under way is on disk."""
        replica, work = self.replica, self.work
        assert work is not None
        match stage:
            case "promise":
                self.work = work._replace(stage="poll")
                for m in self.election_rules().electors(replica):
                    if m.id not in work.ids:
                        self.ask(
                            m,
                            "promise",
                            epoch=work.epoch,
                            asker=replica.member.id,
                            released=work.released_epoch,
                        )
                self.on_promises()
            case "owning":
                self.work = work._replace(stage="backup", asked=())
            case "installing":
                self.work = work._replace(stage="stand")
                assert record.view is not None
                try:
                    replica.grant_installed(0.0, record.view)
                except CallRefusedError:
                    self.work = None
                    return
                for m in record.view.members().values():
                    self.ask(m, "install", view=record.view.to_page())
            case "put":
                self.work = work._replace(ids=work.ids | {"own"})
                self.commit_if_on_both()

    def on_promises(self) -> None:
        """Goes on once the promises suffice."""
        work = self.work
        assert work is not None
        if self.election_rules().is_outdated(self.replica):
            self.work = None
        elif self.election_rules().is_won(self.replica, work.ids):
            held = self.election_rules().own_configuration(self.replica)
            if held is not None:
                self.on_configuration(held)
            else:
                self.work = work._replace(stage="fetch")
                self.read_configuration()

    def read_configuration(self) -> None:
        """Asks the first who may hold the data, or the next if that one doesn't answer."""
        work = self.work
        assert work is not None
        rest = [m for m in self.election_rules().sources() if m not in work.asked]
        if not rest:
            raise CallRefusedError("nobody left")
        self.work = work._replace(asked=(*work.asked, rest[0]))
        self.ask(rest[0], "fetch", epoch=work.epoch, asker=self.replica.member.id)

    def on_configuration(self, held: VersionedData) -> None:
        """The configuration for the new view is found."""
        found = self.election_rules().newest_configuration(self.replica, held)
        assert found is not None
        assert self.work is not None
        self.work = self.work._replace(stage="own", asked=(), configuration=found)
        self.write_next()

    def write_next(self) -> None:
        """Begins the next write to its own disk, once that is free."""
        replica, work = self.replica, self.work
        if self.pending_write is not None:
            return
        assert work is not None
        try:
            if work.stage == "own":
                self.work = work._replace(stage="owning")
                self.persist(
                    lambda: replica.accept_own_write(work.epoch, *work.configuration),
                    "work",
                    "owning",
                    work.epoch,
                )
            else:
                # the ids are those who promised; the backup is whom it asked last
                view = self.election_rules().new_view(replica, work.epoch, work.asked[-1], work.ids)
                replica.replicated_epoch = work.epoch
                self.work = work._replace(stage="installing")
                self.persist(lambda: replica.install(view), "work", "installing", work.epoch)
        except CallRefusedError:
            self.work = None

    def backup(self, member: Member) -> None:
        """Has another member write the data; an earlier one that was asked may still do so."""
        work = self.work
        if (
            work is None
            or work.stage != "backup"
            or member in work.asked
            or member == self.replica.member
        ):
            raise CallRefusedError("not now")
        if not self.election_rules().may_be_backup(member, work.ids):
            raise CallRefusedError("didn't promise")
        self.work = work._replace(asked=(*work.asked, member))
        version, data = work.configuration
        self.ask(
            member,
            "keep",
            epoch=work.epoch,
            asker=self.replica.member.id,
            version=version,
            data=data,
        )

    # --- a change, as in store/program.py

    def put(self, version: int, data: bytes) -> None:
        """Takes a change, as `ConfigurationService` does."""
        replica, view = self.replica, self.replica.record.view
        if (
            not replica.can_write(0.0)
            or version <= replica.version
            or self.pending_write is not None
        ):
            raise CallRefusedError("not now")
        # which may run out of time
        if self.work is not None and self.work.stage not in ("put", "settle"):
            raise CallRefusedError("busy")
        assert view is not None
        assert view.backup is not None
        self.work = PendingOperation("put", view.epoch, configuration=VersionedData(version, data))
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
        """Has the backup write once more, as `Leadership.replicate_record` does."""
        replica, view = self.replica, self.replica.record.view
        if (
            view is None
            or view.backup is None
            or not replica.is_leader(0.0)
            or self.pending_write is not None
        ):
            raise CallRefusedError("not now")
        held = replica.record.configuration
        self.work = PendingOperation(
            "settle", view.epoch, configuration=held, ids=frozenset({"own"})
        )
        body = {
            "epoch": view.epoch,
            "asker": replica.member.id,
            "version": held[0],
            "data": held[1],
        }
        self.ask(view.backup, "keep", **body)

    def commit_if_on_both(self) -> None:
        """Commits once both disks have the configuration."""
        replica, work = self.replica, self.work
        assert work is not None
        if "own" not in work.ids or ("kept" not in work.ids and not self.code.commits_early):
            return
        self.work = None
        if (replica.record.version, replica.record.data) != work.configuration:
            return
        if work.stage == "settle" and replica.is_leader(0.0):
            replica.replicated_epoch = work.epoch
            if replica.is_established:
                self.commit(*work.configuration)
        elif work.stage == "put" and replica.can_write(0.0):
            self.commit(*work.configuration)

    def commit_news(self, version: int, data: bytes) -> None:
        """Hears what is committed, however late."""
        self.replica.commit(version, data)

    def write_copy(self) -> None:
        """Writes the third copy, as the learner wants it."""
        held = self.code.learner(self.copy).next_copy(self.replica)
        if held is None or self.pending_write is not None:
            raise CallRefusedError("nothing to write")
        self.copy = held
        self.effects.append(("copied", *held))

    def shut_down(self, there: tuple[Member, ...]) -> None:
        """Ends, if it may; `there` are all that answer and stay."""
        replica = self.replica
        replica.state = MemberState.LEAVING
        replica.peers.by_address = {}
        replica.peers.answered_at = {}
        for m in there:
            replica.peers.by_address[m.address] = Peer(m.id, answered_at=0.0)
            replica.peers.answered_at[m.id] = 0.0
        if not self.code.may_shut_down(replica, 0.0, 0.0, GRACE_PERIOD_SECONDS):
            raise CallRefusedError("it is needed")
        replica.state = MemberState.HEALTHY

    def transfer_leadership(self) -> None:
        """Hands over to its backup, as `Leadership` does."""
        replica, view, epoch = (
            self.replica,
            self.replica.record.view,
            self.replica.promised_epoch + 1,
        )
        assert view is not None
        assert view.backup is not None
        if self.pending_write is not None:
            raise CallRefusedError("not now")
        replica.is_established = False
        backup = view.backup
        self.work = None
        lead = {"by": replica.member.id, "epoch": epoch, "under": view.epoch}
        self.persist(
            lambda: replica.promise(0.0, epoch, backup.id, view.epoch),
            "lead",
            backup,
            cbor2.dumps(lead),
        )

    # --- what the code would do next

    def possible_actions(self, members: tuple[Member, ...]) -> list[Action]:
        """All that `next_action` may answer, whoever seems to be there, and however late it is."""
        replica, found = self.replica, {}
        others = [m for m in members if m.id != replica.member.id]
        stands = replica.lease_left(0.0) > 0.0 or replica.is_leader(0.0)
        now = 0.0 if stands else 100.0
        for there, leaves, outbid in product(
            product((True, False), repeat=len(others)), (0, 1), (0, 1)
        ):
            replica.peers.by_address = {}
            replica.peers.answered_at = {}
            replica.state = MemberState.LEAVING if leaves else MemberState.HEALTHY
            for m, is_reachable in zip(others, there, strict=True):
                answered = now if is_reachable else LONG_AGO
                epoch = replica.promised_epoch + 1 if outbid else 0
                replica.peers.by_address[m.address] = Peer(
                    m.id, answered_at=answered, promised_epoch=epoch, is_founder=True
                )
                replica.peers.answered_at[m.id] = answered
            action = next_action(replica, now)
            if action is not None:
                key = (action.kind, action.voters, action.former_voters)
                found[key] = replace(action, reason="")
        return list(found.values())
