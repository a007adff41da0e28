"""One member at one moment, as a value: the store's own Replica and ElectionRules are set up from it, take
one event and are written back. Only the order of calls (store/election.py and program.py) is told
again here.

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

GRACE = 6.0  # s, of which none has passed: the end of a member's patience isn't walked
# s: a grant stands after one of them and has run out after two, for both of its ends
TICK = GRANT_SECONDS / 2
FILL = {
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
    """A call or its answer under way; `sent` is of the call, as the asker counts."""

    op: str
    answer: bool
    by: int
    at: int
    name: str  # the id of the disk that is asked, or in whose name it's answered
    body: bytes
    sent: float = 0.0
    heeded: bool = True  # whether the asker still lives and takes an answer


class Work(NamedTuple):
    """What a primary or candidate is about; a campaign if `action` is there, else a put or a
    settling.
    """

    stage: str
    epoch: int
    action: Action | None = None
    base: View | None = None
    ids: frozenset[str] = frozenset()  # who promised; of a put or settling, where it's written
    asked: tuple[Member, ...] = ()  # for the data, or to be the backup
    configuration: VersionedData = NO_CONFIGURATION
    released: int = 0
    case: RescueCase | None = None  # of a rescue


class Cell(NamedTuple):
    """All of a member that can decide anything, times relative and those run out all alike."""

    index: int
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
    pen: tuple[Record, tuple[Any, ...]] | None = None
    work: Work | None = None
    copy: VersionedData = NO_CONFIGURATION  # on its disk, as learner.py has it


Event = tuple[Any, ...]
Mark = tuple[Any, ...]  # ("force", version, data) as a primary commits; ("broken", why)


def waking(index: int, record: Record, copy: VersionedData = NO_CONFIGURATION) -> Cell:
    """A member at its start, with that disk."""
    return Cell(index, record, 0.0, record.promised_epoch, "", record.view, copy=copy)


@cache
def address(index: int) -> tuple[str, int]:
    return (f"10.{index + 1}.0.1", 7341)


def aged(cell: Cell) -> Cell:
    """The same member a tick later."""
    ends_at = cell.grant_ends_at - TICK if cell.grant_ends_at - TICK > 0.0 else LONG_AGO
    grants = tuple((i, e, s - TICK) for i, e, s in cell.grants if s - TICK + LEASE_SECONDS > 0.0)
    started_at = cell.started_at - TICK if cell.started_at - TICK > -GRANT_SECONDS else LONG_AGO
    granted_to = cell.granted_to if ends_at > 0.0 else ""
    return cell._replace(
        grant_ends_at=ends_at, granted_to=granted_to, grants=grants, started_at=started_at
    )


@dataclass(slots=True)
class Rules:
    """The code under test; mutants exchange a part of it."""

    replica: type[Replica] = Replica
    ballot: type[ElectionRules] = ElectionRules
    rescue: type[RescueElectionRules] = RescueElectionRules
    learner: type[Learner] = Learner
    passes: Callable[..., float] = (
        freshness.remaining_seconds
    )  # whether what was read may still be passed on
    # whether a member that was told to stop ends
    may_shut_down: Callable[..., bool] = graceful_shutdown.may_shut_down
    hasty: bool = False  # commits before the backup wrote
    same_id: bool = False  # a wiped disk comes back under the old id


class Plot:
    """`cell` come to life for one event; `out` and `marks` are what comes of it besides the next
    cell.
    """

    def __init__(self, rules: Rules, seeds: tuple[Member, ...], cell: Cell) -> None:
        self.rules, self.seeds, self.cell = rules, seeds, cell
        me = Member(cell.record.id, address(cell.index))
        t = rules.replica(me, tuple(m.address for m in seeds), cell.record, cell.started_at, RNG)
        t.promised_epoch = cell.promised_epoch
        t.promised_candidate = cell.promised_candidate
        t.newest_view = cell.newest_view
        t.granted_to = cell.granted_to
        t.grant_ends_at = cell.grant_ends_at
        t.grants.by_member = {i: Grant(e, s) for i, e, s in cell.grants}
        t.replicated_epoch = cell.replicated_epoch
        t.is_established = cell.is_established
        t.version = cell.version
        t.data = cell.data
        t.knows_committed = True
        for m in seeds:  # as a founder knows the others
            if m != me:
                # so it may ask for its lease
                t.peers.by_address[m.address] = Peer(m.id, answered_at=0.0, is_founder=True)
        self.replica, self.pen, self.work, self.copy = t, cell.pen, cell.work, cell.copy
        self.out: list[Message] = []
        self.marks: list[Mark] = []

    def frozen(self) -> Cell:
        t, work = self.replica, self.work
        if work is not None and work.stage == "stand" and t.is_leader(0.0):
            if t.can_write(0.0):
                self.commit(t.record.version, t.record.data)
            self.work = None
        before = t.is_established
        if t.become_established(0.0) and not before:
            self.marks.append(("force", t.version, t.data))
        if t.version < self.cell.version:
            self.marks.append(("broken", "(c) a committed version went back"))
        stands = t.grant_ends_at > 0.0
        grants = tuple(
            sorted((i, e, s) for i, (e, s) in t.grants.by_member.items() if s + LEASE_SECONDS > 0.0)
        )
        return Cell(
            self.cell.index,
            t.record,
            self.cell.started_at,
            t.promised_epoch,
            t.promised_candidate,
            t.newest_view,
            t.granted_to if stands else "",
            t.grant_ends_at if stands else LONG_AGO,
            grants,
            t.replicated_epoch,
            t.is_established,
            t.version,
            t.data,
            self.pen,
            self.work,
            self.copy,
        )

    def commit(self, version: int, data: bytes) -> None:
        self.replica.commit(version, data)
        self.marks.append(("force", self.replica.version, self.replica.data))

    # --- the disk

    def ink(self, change: Callable[[], Record], *then: Any) -> None:
        """As ReplicaIO.persist: decided now, on disk after `write`, unless there is nothing to write."""
        record = change()
        self.pen = (record, then)
        if not record.pages(self.replica.record):
            self.write()

    def write(self) -> None:
        assert self.pen is not None
        (record, then), self.pen = self.pen, None
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
                    self.wrote(stage, record)
        if self.pen is None and self.work and self.work.stage in ("own", "install"):
            self.go()

    # --- calls

    def beat(self, member: Member) -> None:
        t = self.replica
        if not t.is_primary():
            raise CallRefusedError("not the primary")
        body = t.heartbeat(member.address).to_wire()
        self.ask(member, "beat", **{k: body[k] for k in ("member", "view", "ask")})

    def ask(self, member: Member, op: str, /, **body: Any) -> None:
        at = int(member.address[0].split(".")[1]) - 1
        if member.id != self.replica.member.id:
            self.out.append(Message(op, False, self.cell.index, at, member.id, cbor2.dumps(body)))

    def reply(self, call: Message, body: bytes) -> None:
        if call.op != "beat" and call.name != self.replica.record.id:
            self.marks.append(
                ("broken", f"(d) {self.replica.record.id} answers for the lost disk {call.name}")
            )
        if call.heeded:
            mine, other = self.cell.index, call.by
            self.out.append(Message(call.op, True, mine, other, call.name, body, call.sent))

    def deliver(self, m: Message) -> None:
        body = cbor2.loads(m.body)
        (self.on_answer if m.answer else self.on_call)(m, body)

    def on_call(self, m: Message, body: dict[str, Any]) -> None:
        t = self.replica
        if m.op == "beat":
            answer = t.on_heartbeat(0.0, HeartbeatRequest.from_wire(body | FILL)).to_wire()
            kept = {k: answer[k] for k in ("member", "view", "granted")}
            if answer["granted"] or (t.newest_view and t.newest_view.epoch > body["ask"]):
                self.reply(m, cbor2.dumps(kept | {"ask": body["ask"]}))
            return
        t.check_recipient(m.name)
        if m.op == "lead":
            base = t.newest_known_view()
            if (
                base
                and (base.epoch, base.primary.id) == (body["under"], body["by"])
                and self.pen is None
            ):
                action = take_over("its primary leaves", base)
                late = t.promised_epoch >= body["epoch"]
                epoch = t.promised_epoch + 1 if late else body["epoch"]
                self.campaign(action, epoch, ("" if late else body["by"], body["under"]))
            return
        if self.pen is not None:
            raise CallRefusedError("later")
        match m.op:
            case "promise":
                view, by, epoch = t.newest_known_view(), body["asker"], body["epoch"]
                answer = {"ok": True, "epoch": epoch, "view": view.to_page() if view else None}
                self.ink(
                    lambda: t.promise(0.0, epoch, by, body["released"]),
                    "answer",
                    m,
                    cbor2.dumps(answer),
                )
            case "keep":
                epoch, version, data = body["epoch"], body["version"], body["data"]
                self.ink(
                    lambda: t.accept_write(epoch, body["asker"], version, data), "answer", m, m.body
                )
            case "fetch":
                held = {"epoch": body["epoch"], "version": t.record.version, "data": t.record.data}
                self.ink(
                    lambda: t.read_for_candidate(body["epoch"], body["asker"]),
                    "answer",
                    m,
                    cbor2.dumps(held),
                )
            case "install":
                view = View.from_page(body["view"])
                assert view is not None
                self.ink(lambda: t.install(view), "renew", m, cbor2.dumps({"epoch": view.epoch}))

    def on_answer(self, m: Message, body: dict[str, Any]) -> None:
        t, work = self.replica, self.work
        if m.op == "beat":
            t.on_heartbeat_response(0.0, m.sent, HeartbeatResponse.from_wire(body | FILL))
            return
        if m.op == "install":
            t.on_grant(m.name, body["epoch"], m.sent)
            return
        if m.op == "promise":
            t.observe_view(View.from_page(body["view"]))
        if work is None or work.epoch != body["epoch"]:
            return
        match m.op, work.stage:
            case "promise", "poll":
                self.work = work._replace(ids=work.ids | {m.name})
                self.polled()
            case "fetch", "fetch" if work.asked and m.name == work.asked[-1].id:
                self.prevail(VersionedData(body["version"], body["data"]))
            case "keep", "backup" if work.asked and m.name == work.asked[-1].id:
                self.work = work._replace(stage="install")
                self.go()
            case "keep", "put" | "settle" if (body["version"], body["data"]) == work.configuration:
                self.work = work._replace(ids=work.ids | {"kept"})
                self.both()

    # --- a campaign, as in store/election.py

    def campaign(self, action: Action, epoch: int, release: tuple[str, int] | None = None) -> None:
        t = self.replica
        if action.kind is not ActionKind.CHANGE_VIEW:
            t.end_term()
        base = t.newest_known_view() if action.kind is not ActionKind.FOUND else None
        if base is not None and action.kind is ActionKind.TAKE_OVER:
            if t.member.id not in base.members():
                raise CallRefusedError("not named")
            action = with_voters_of(action, base)
        by, under = release or ("", 0)
        ids = frozenset({t.member.id, by} - {""})
        self.work = Work("promise", epoch, action, base, ids, released=under)
        if self.ballot().next_epoch(epoch - 1) is None:
            raise CallRefusedError("given up")
        self.ink(lambda: t.promise(0.0, epoch, t.member.id, under), "work", "promise", epoch)

    def rescue(self, case: RescueCase, epoch: int) -> None:
        """As RescueService does when operators agree."""
        t = self.replica
        if self.pen is not None:
            raise CallRefusedError("not now")
        t.end_term()
        action = Action(ActionKind.RESCUE, "")
        ids = frozenset({t.member.id})
        self.work = Work("promise", epoch, action, case.view, ids, case=case)
        self.ink(lambda: t.promise(0.0, epoch, t.member.id, 0), "work", "promise", epoch)

    def greet(self, view: View) -> None:
        """At its start all in reach answer before it asks for a lease, and tell of the newest
        view.
        """
        self.replica.observe_view(view)
        record = self.replica.fencing_record()
        if record is not None:
            self.ink(lambda: record, "fenced")

    def ballot(self) -> ElectionRules:
        assert self.work is not None and self.work.action is not None
        if self.work.case is not None:
            configuration = best_configuration(self.replica, NO_CONFIGURATION)
            return self.rules.rescue(
                self.work.action, self.work.base, self.work.case, configuration, 0
            )
        return self.rules.ballot(self.work.action, self.work.base)

    def wrote(self, stage: str, record: Record) -> None:
        t, work = self.replica, self.work
        assert work is not None
        match stage:
            case "promise":
                self.work = work._replace(stage="poll")
                for m in self.ballot().electors(t):
                    if m.id not in work.ids:
                        self.ask(
                            m,
                            "promise",
                            epoch=work.epoch,
                            asker=t.member.id,
                            released=work.released,
                        )
                self.polled()
            case "owning":
                self.work = work._replace(stage="backup", asked=())
            case "installing":
                self.work = work._replace(stage="stand")
                assert record.view is not None
                try:
                    t.grant_installed(0.0, record.view)
                except CallRefusedError:
                    self.work = None
                    return
                for m in record.view.members().values():
                    self.ask(m, "install", view=record.view.to_page())
            case "put":
                self.work = work._replace(ids=work.ids | {"own"})
                self.both()

    def polled(self) -> None:
        work = self.work
        assert work is not None
        if self.ballot().is_outdated(self.replica):
            self.work = None
        elif self.ballot().is_won(self.replica, work.ids):
            held = self.ballot().own_configuration(self.replica)
            if held is not None:
                self.prevail(held)
            else:
                self.work = work._replace(stage="fetch")
                self.fetch()

    def fetch(self) -> None:
        """Asks the first who may hold the data, or the next if that one doesn't answer."""
        work = self.work
        rest = [m for m in self.ballot().sources() if m not in work.asked]
        if not rest:
            raise CallRefusedError("nobody left")
        self.work = work._replace(asked=(*work.asked, rest[0]))
        self.ask(rest[0], "fetch", epoch=work.epoch, asker=self.replica.member.id)

    def prevail(self, held: VersionedData) -> None:
        found = self.ballot().newest_configuration(self.replica, held)
        assert found is not None and self.work is not None
        self.work = self.work._replace(stage="own", asked=(), configuration=found)
        self.go()

    def go(self) -> None:
        """The next write to its own disk, once the pen is free."""
        t, work = self.replica, self.work
        if self.pen is not None:
            return
        assert work is not None
        try:
            if work.stage == "own":
                self.work = work._replace(stage="owning")
                self.ink(
                    lambda: t.accept_own_write(work.epoch, *work.configuration),
                    "work",
                    "owning",
                    work.epoch,
                )
            else:
                # the ids are those who promised; the backup is whom it asked last
                view = self.ballot().new_view(t, work.epoch, work.asked[-1], work.ids)
                t.replicated_epoch = work.epoch
                self.work = work._replace(stage="installing")
                self.ink(lambda: t.install(view), "work", "installing", work.epoch)
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
        if not self.ballot().may_be_backup(member, work.ids):
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
        t, view = self.replica, self.replica.record.view
        if not t.can_write(0.0) or version <= t.version or self.pen is not None:
            raise CallRefusedError("not now")
        # which may run out of time
        if self.work is not None and self.work.stage not in ("put", "settle"):
            raise CallRefusedError("busy")
        assert view is not None and view.backup is not None
        self.work = Work("put", view.epoch, configuration=VersionedData(version, data))
        self.ask(
            view.backup, "keep", epoch=view.epoch, asker=t.member.id, version=version, data=data
        )
        self.ink(lambda: t.accept_own_write(view.epoch, version, data), "work", "put", view.epoch)

    def settle(self) -> None:
        t, view = self.replica, self.replica.record.view
        if view is None or view.backup is None or not t.is_leader(0.0) or self.pen is not None:
            raise CallRefusedError("not now")
        held = t.record.configuration
        self.work = Work("settle", view.epoch, configuration=held, ids=frozenset({"own"}))
        body = {"epoch": view.epoch, "asker": t.member.id, "version": held[0], "data": held[1]}
        self.ask(view.backup, "keep", **body)

    def both(self) -> None:
        """Both disks have it, or just one of them."""
        t, work = self.replica, self.work
        assert work is not None
        if "own" not in work.ids or ("kept" not in work.ids and not self.rules.hasty):
            return
        self.work = None
        if (t.record.version, t.record.data) != work.configuration:
            return
        if work.stage == "settle" and t.is_leader(0.0):
            t.replicated_epoch = work.epoch
            if t.is_established:
                self.commit(*work.configuration)
        elif work.stage == "put" and t.can_write(0.0):
            self.commit(*work.configuration)

    def commit_news(self, version: int, data: bytes) -> None:
        """News of what is in force, however late."""
        self.replica.commit(version, data)

    def learn(self) -> None:
        """What is in force goes to its disk too, though it's neither the primary's nor the
        backup's.
        """
        held = self.rules.learner(self.copy).next_copy(self.replica)
        if held is None or self.pen is not None:
            raise CallRefusedError("nothing to write")
        self.copy = held
        self.marks.append(("copied", *held))

    def ends(self, there: tuple[Member, ...]) -> None:
        """It was told to stop, and may; `there` are all that answer and stay."""
        t = self.replica
        t.state = MemberState.LEAVING
        t.peers.by_address = {}
        t.peers.answered_at = {}
        for m in there:
            t.peers.by_address[m.address] = Peer(m.id, answered_at=0.0)
            t.peers.answered_at[m.id] = 0.0
        if not self.rules.may_shut_down(t, 0.0, 0.0, GRACE):
            raise CallRefusedError("it is needed")
        t.state = MemberState.HEALTHY

    def hand_over(self) -> None:
        t, view, epoch = self.replica, self.replica.record.view, self.replica.promised_epoch + 1
        assert view is not None and view.backup is not None
        if self.pen is not None:
            raise CallRefusedError("not now")
        t.is_established = False
        backup = view.backup
        self.work = None
        lead = {"by": t.member.id, "epoch": epoch, "under": view.epoch}
        self.ink(
            lambda: t.promise(0.0, epoch, backup.id, view.epoch), "lead", backup, cbor2.dumps(lead)
        )

    # --- what the code would do next

    def plans(self, members: tuple[Member, ...]) -> list[Action]:
        """All that `next_action` may say, whoever of `members` seems to be there, and however late it
        is.
        """
        t, found = self.replica, {}
        others = [m for m in members if m.id != t.member.id]
        stands = t.lease_left(0.0) > 0.0 or t.is_leader(0.0)
        now = 0.0 if stands else 100.0
        for there, leaves, outbid in product(
            product((True, False), repeat=len(others)), (0, 1), (0, 1)
        ):
            t.peers.by_address = {}
            t.peers.answered_at = {}
            t.state = MemberState.LEAVING if leaves else MemberState.HEALTHY
            for m, is_there in zip(others, there, strict=True):
                answered = now if is_there else LONG_AGO
                epoch = t.promised_epoch + 1 if outbid else 0
                t.peers.by_address[m.address] = Peer(
                    m.id, answered_at=answered, promised_epoch=epoch, is_founder=True
                )
                t.peers.answered_at[m.id] = answered
            action = next_action(t, now)
            if action is not None:
                key = (action.kind, action.voters, action.former_voters)
                found[key] = replace(action, reason="")
        return list(found.values())
