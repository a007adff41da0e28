"""One member at one moment, as a value: the store's own Replica and Ballot are set up from it, take
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
from loomstand.store import freshness, graceful_shutdown, rescue
from loomstand.store.ballot import Ballot, Held
from loomstand.store.learner import Learner
from loomstand.store.replica import HOLD, LEASE, Peer, Plan, Replica, State, Step
from loomstand.store.rescue import Case, Rescue
from loomstand.store.views import Member, Record, View

GRACE = 6.0  # s, of which none has passed: the end of a member's patience isn't walked
# s: a grant stands after one of them and has run out after two, for both of its ends
TICK = HOLD / 2
LONG = -1e9  # s: any moment whose distance no longer matters
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
    """What a primary or candidate is about; a campaign if `plan` is there, else a put or a
    settling.
    """

    stage: str
    epoch: int
    plan: Plan | None = None
    base: View | None = None
    ids: frozenset[str] = frozenset()  # who promised; of a put or settling, where it's written
    asked: tuple[Member, ...] = ()  # for the data, or to be the backup
    held: Held = (0, b"")
    released: int = 0
    case: Case | None = None  # of a rescue


class Cell(NamedTuple):
    """All of a member that can decide anything, times relative and those run out all alike."""

    index: int
    record: Record
    started: float
    promised: int
    promised_to: str
    seen: View | None
    holder: str = ""
    hold: float = LONG
    granted: tuple[tuple[str, int, float], ...] = ()
    settled: int = 0
    reign: bool = False
    version: int = 0
    data: bytes = b""
    pen: tuple[Record, tuple[Any, ...]] | None = None
    work: Work | None = None
    copy: Held = (0, b"")  # on its disk, as learner.py has it


Event = tuple[Any, ...]
Mark = tuple[Any, ...]  # ("force", version, data) as a primary commits; ("broken", why)


def waking(index: int, record: Record, copy: Held = (0, b"")) -> Cell:
    """A member at its start, with that disk."""
    return Cell(index, record, 0.0, record.promised, "", record.view, copy=copy)


@cache
def address(index: int) -> tuple[str, int]:
    return (f"10.{index + 1}.0.1", 7341)


def aged(cell: Cell) -> Cell:
    """The same member a tick later."""
    hold = cell.hold - TICK if cell.hold - TICK > 0.0 else LONG
    granted = tuple((i, e, s - TICK) for i, e, s in cell.granted if s - TICK + LEASE > 0.0)
    started = cell.started - TICK if cell.started - TICK > -HOLD else LONG
    holder = cell.holder if hold > 0.0 else ""
    return cell._replace(hold=hold, holder=holder, granted=granted, started=started)


@dataclass(slots=True)
class Rules:
    """The code under test; mutants exchange a part of it."""

    replica: type[Replica] = Replica
    ballot: type[Ballot] = Ballot
    rescue: type[Rescue] = Rescue
    learner: type[Learner] = Learner
    passes: Callable[..., float] = freshness.left  # whether what was read may still be passed on
    may_end: Callable[..., bool] = (
        graceful_shutdown.may_end
    )  # whether a member that was told to stop ends
    hasty: bool = False  # commits before the backup wrote
    same_id: bool = False  # a wiped disk comes back under the old id


class Plot:
    """`cell` come to life for one event; `out` and `marks` are what comes of it besides the next
    cell.
    """

    def __init__(self, rules: Rules, seeds: tuple[Member, ...], cell: Cell) -> None:
        self.rules, self.seeds, self.cell = rules, seeds, cell
        me = Member(cell.record.id, address(cell.index))
        t = rules.replica(me, tuple(m.address for m in seeds), cell.record, cell.started, RNG)
        t.promised, t.promised_to, t.seen = cell.promised, cell.promised_to, cell.seen
        t.holder, t.hold = cell.holder, cell.hold
        t.granted = {i: (e, s) for i, e, s in cell.granted}
        t.settled, t.reign, t.version, t.data = cell.settled, cell.reign, cell.version, cell.data
        t.informed = True
        for m in seeds:  # as a founder knows the others
            if m != me:
                # so it may ask for its lease
                t.peers[m.address] = Peer(m.id, answered=0.0, founder=True)
        self.replica, self.pen, self.work, self.copy = t, cell.pen, cell.work, cell.copy
        self.out: list[Message] = []
        self.marks: list[Mark] = []

    def frozen(self) -> Cell:
        t, work = self.replica, self.work
        if work is not None and work.stage == "stand" and t.leads(0.0):
            if t.writes(0.0):
                self.commit(t.record.version, t.record.data)
            self.work = None
        before = t.reign
        if t.crown(0.0) and not before:
            self.marks.append(("force", t.version, t.data))
        if t.version < self.cell.version:
            self.marks.append(("broken", "(c) a committed version went back"))
        stands = t.hold > 0.0
        granted = tuple(sorted((i, e, s) for i, (e, s) in t.granted.items() if s + LEASE > 0.0))
        return Cell(
            self.cell.index,
            t.record,
            self.cell.started,
            t.promised,
            t.promised_to,
            t.seen,
            t.holder if stands else "",
            t.hold if stands else LONG,
            granted,
            t.settled,
            t.reign,
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
        """As Desk.ink: decided now, on disk after `write`, unless there is nothing to write."""
        record = change()
        self.pen = (record, then)
        if not record.pages(self.replica.record):
            self.write()

    def write(self) -> None:
        assert self.pen is not None
        (record, then), self.pen = self.pen, None
        self.replica.wrote(0.0, record)
        match then:
            case ("answer", call, body):
                self.reply(call, body)
            case ("renew", call, body):
                view = record.view
                assert view is not None
                try:
                    self.replica.renew(0.0, view)
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
        if not t.owns():
            raise CallRefusedError("not the primary")
        body = t.beat(0.0, member.address)
        self.ask(member, "beat", **{k: body[k] for k in ("member", "view", "ask")})

    def ask(self, member: Member, op: str, /, **body: Any) -> None:
        at = int(member.address[0].split(".")[1]) - 1
        if member.id != self.replica.me.id:
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
            answer = t.on_beat(0.0, body | FILL)
            kept = {k: answer[k] for k in ("member", "view", "granted")}
            if answer["granted"] or (t.seen and t.seen.epoch > body["ask"]):
                self.reply(m, cbor2.dumps(kept | {"ask": body["ask"]}))
            return
        t.mine(m.name)
        if m.op == "lead":
            base = t.base()
            if (
                base
                and (base.epoch, base.primary.id) == (body["under"], body["by"])
                and self.pen is None
            ):
                plan = Plan(Step.TAKE, "its primary leaves", base.voters, base.former)
                late = t.promised >= body["epoch"]
                epoch = t.promised + 1 if late else body["epoch"]
                self.campaign(plan, epoch, ("" if late else body["by"], body["under"]))
            return
        if self.pen is not None:
            raise CallRefusedError("later")
        match m.op:
            case "promise":
                view, by, epoch = t.base(), body["asker"], body["epoch"]
                answer = {"ok": True, "epoch": epoch, "view": view.body() if view else None}
                self.ink(
                    lambda: t.promise(0.0, epoch, by, body["released"]),
                    "answer",
                    m,
                    cbor2.dumps(answer),
                )
            case "keep":
                epoch, version, data = body["epoch"], body["version"], body["data"]
                self.ink(lambda: t.keep(epoch, body["asker"], version, data), "answer", m, m.body)
            case "fetch":
                held = {"epoch": body["epoch"], "version": t.record.version, "data": t.record.data}
                self.ink(
                    lambda: t.fetch(body["epoch"], body["asker"]), "answer", m, cbor2.dumps(held)
                )
            case "install":
                view = View.read(body["view"])
                assert view is not None
                self.ink(lambda: t.install(view), "renew", m, cbor2.dumps({"epoch": view.epoch}))

    def on_answer(self, m: Message, body: dict[str, Any]) -> None:
        t, work = self.replica, self.work
        if m.op == "beat":
            t.on_answer(0.0, m.sent, body | FILL)
            return
        if m.op == "install":
            t.on_grant(m.name, body["epoch"], m.sent)
            return
        if m.op == "promise":
            t.notice(View.read(body["view"]))
        if work is None or work.epoch != body["epoch"]:
            return
        match m.op, work.stage:
            case "promise", "poll":
                self.work = work._replace(ids=work.ids | {m.name})
                self.polled()
            case "fetch", "fetch" if work.asked and m.name == work.asked[-1].id:
                self.prevail((body["version"], body["data"]))
            case "keep", "backup" if work.asked and m.name == work.asked[-1].id:
                self.work = work._replace(stage="install")
                self.go()
            case "keep", "put" | "settle" if (body["version"], body["data"]) == work.held:
                self.work = work._replace(ids=work.ids | {"kept"})
                self.both()

    # --- a campaign, as in store/election.py

    def campaign(self, plan: Plan, epoch: int, release: tuple[str, int] | None = None) -> None:
        t = self.replica
        if plan.step is not Step.MOVE:
            t.resign()
        base = t.base() if plan.step is not Step.FOUND else None
        if base is not None and plan.step is Step.TAKE:
            if t.me.id not in base.named():
                raise CallRefusedError("not named")
            plan = replace(plan, voters=base.voters, former=base.former)
        by, under = release or ("", 0)
        ids = frozenset({t.me.id, by} - {""})
        self.work = Work("promise", epoch, plan, base, ids, released=under)
        if self.ballot().epoch(epoch - 1) is None:
            raise CallRefusedError("given up")
        self.ink(lambda: t.promise(0.0, epoch, t.me.id, under), "work", "promise", epoch)

    def rescue(self, case: Case, epoch: int) -> None:
        """As RescueCalls does by operators' word."""
        t = self.replica
        if self.pen is not None:
            raise CallRefusedError("not now")
        t.resign()
        plan = Plan(Step.RESCUE, "")
        self.work = Work("promise", epoch, plan, case.view, frozenset({t.me.id}), case=case)
        self.ink(lambda: t.promise(0.0, epoch, t.me.id, 0), "work", "promise", epoch)

    def greet(self, view: View) -> None:
        """At its start all in reach answer before it asks for a lease, and tell of the newest
        view.
        """
        self.replica.notice(view)
        record = self.replica.fenced()
        if record is not None:
            self.ink(lambda: record, "fenced")

    def ballot(self) -> Ballot:
        assert self.work is not None and self.work.plan is not None
        if self.work.case is not None:
            held = rescue.best(self.replica, (0, b""))
            return self.rules.rescue(self.work.plan, self.work.base, self.work.case, held, 0)
        return self.rules.ballot(self.work.plan, self.work.base)

    def wrote(self, stage: str, record: Record) -> None:
        t, work = self.replica, self.work
        assert work is not None
        match stage:
            case "promise":
                self.work = work._replace(stage="poll")
                for m in self.ballot().electors(t):
                    if m.id not in work.ids:
                        self.ask(
                            m, "promise", epoch=work.epoch, asker=t.me.id, released=work.released
                        )
                self.polled()
            case "owning":
                self.work = work._replace(stage="backup", asked=())
            case "installing":
                self.work = work._replace(stage="stand")
                assert record.view is not None
                try:
                    t.renew(0.0, record.view)
                except CallRefusedError:
                    self.work = None
                    return
                for m in record.view.named().values():
                    self.ask(m, "install", view=record.view.body())
            case "put":
                self.work = work._replace(ids=work.ids | {"own"})
                self.both()

    def polled(self) -> None:
        work = self.work
        assert work is not None
        if self.ballot().outdated(self.replica):
            self.work = None
        elif self.ballot().won(self.replica, work.ids):
            held = self.ballot().own(self.replica)
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
        self.ask(rest[0], "fetch", epoch=work.epoch, asker=self.replica.me.id)

    def prevail(self, held: Held) -> None:
        found = self.ballot().prevails(self.replica, held)
        assert found is not None and self.work is not None
        self.work = self.work._replace(stage="own", asked=(), held=found)
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
                self.ink(lambda: t.own(work.epoch, *work.held), "work", "owning", work.epoch)
            else:
                # the ids are those who promised; the backup is whom it asked last
                view = self.ballot().view(t, work.epoch, work.asked[-1], work.ids)
                t.settled = work.epoch
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
            or member == self.replica.me
        ):
            raise CallRefusedError("not now")
        if not self.ballot().takes(member, work.ids):
            raise CallRefusedError("didn't promise")
        self.work = work._replace(asked=(*work.asked, member))
        version, data = work.held
        self.ask(
            member, "keep", epoch=work.epoch, asker=self.replica.me.id, version=version, data=data
        )

    # --- a change, as in store/program.py

    def put(self, version: int, data: bytes) -> None:
        t, view = self.replica, self.replica.record.view
        if not t.writes(0.0) or version <= t.version or self.pen is not None:
            raise CallRefusedError("not now")
        # which may run out of time
        if self.work is not None and self.work.stage not in ("put", "settle"):
            raise CallRefusedError("busy")
        assert view is not None and view.backup is not None
        self.work = Work("put", view.epoch, held=(version, data))
        self.ask(view.backup, "keep", epoch=view.epoch, asker=t.me.id, version=version, data=data)
        self.ink(lambda: t.own(view.epoch, version, data), "work", "put", view.epoch)

    def settle(self) -> None:
        t, view = self.replica, self.replica.record.view
        if view is None or view.backup is None or not t.leads(0.0) or self.pen is not None:
            raise CallRefusedError("not now")
        held = (t.record.version, t.record.data)
        self.work = Work("settle", view.epoch, held=held, ids=frozenset({"own"}))
        body = {"epoch": view.epoch, "asker": t.me.id, "version": held[0], "data": held[1]}
        self.ask(view.backup, "keep", **body)

    def both(self) -> None:
        """Both disks have it, or just one of them."""
        t, work = self.replica, self.work
        assert work is not None
        if "own" not in work.ids or ("kept" not in work.ids and not self.rules.hasty):
            return
        self.work = None
        if (t.record.version, t.record.data) != work.held:
            return
        if work.stage == "settle" and t.leads(0.0):
            t.settled = work.epoch
            if t.reign:
                self.commit(*work.held)
        elif work.stage == "put" and t.writes(0.0):
            self.commit(*work.held)

    def commit_news(self, version: int, data: bytes) -> None:
        """News of what is in force, however late."""
        self.replica.commit(version, data)

    def learn(self) -> None:
        """What is in force goes to its disk too, though it's neither the primary's nor the
        backup's.
        """
        held = self.rules.learner(self.copy).due(self.replica)
        if held is None or self.pen is not None:
            raise CallRefusedError("nothing to write")
        self.copy = held
        self.marks.append(("copied", *held))

    def ends(self, there: tuple[Member, ...]) -> None:
        """It was told to stop, and may; `there` are all that answer and stay."""
        t = self.replica
        t.state, t.peers, t.heard = State.LEAVING, {}, {}
        for m in there:
            t.peers[m.address] = Peer(m.id, answered=0.0)
            t.heard[m.id] = 0.0
        if not self.rules.may_end(t, 0.0, 0.0, GRACE):
            raise CallRefusedError("it is needed")
        t.state = State.FIT

    def hand_over(self) -> None:
        t, view, epoch = self.replica, self.replica.record.view, self.replica.promised + 1
        assert view is not None and view.backup is not None
        if self.pen is not None:
            raise CallRefusedError("not now")
        t.reign, backup = False, view.backup
        self.work = None
        lead = {"by": t.me.id, "epoch": epoch, "under": view.epoch}
        self.ink(
            lambda: t.promise(0.0, epoch, backup.id, view.epoch), "lead", backup, cbor2.dumps(lead)
        )

    # --- what the code would do next

    def plans(self, members: tuple[Member, ...]) -> list[Plan]:
        """All that `due` may say, whoever of `members` seems to be there, and however late it
        is.
        """
        t, found = self.replica, {}
        others = [m for m in members if m.id != t.me.id]
        stands = t.lease_left(0.0) > 0.0 or t.leads(0.0)
        now = 0.0 if stands else 100.0
        for there, leaves, outbid in product(
            product((True, False), repeat=len(others)), (0, 1), (0, 1)
        ):
            t.peers, t.heard = {}, {}
            t.state = State.LEAVING if leaves else State.FIT
            for m, is_there in zip(others, there, strict=True):
                answered = now if is_there else LONG
                epoch = t.promised + 1 if outbid else 0
                t.peers[m.address] = Peer(m.id, answered=answered, promised=epoch, founder=True)
                t.heard[m.id] = answered
            plan = t.due(now)
            if plan is not None:
                found[plan.step, plan.voters, plan.former] = replace(plan, why="")
        return list(found.values())
