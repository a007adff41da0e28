"""All members and the messages between them: states, successors, and what must hold."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple

import cbor2

from loomstand.rpc.errors import CallRefusedError
from loomstand.store.member_report import MemberReport
from loomstand.store.planning import Action, ActionKind, change_view
from loomstand.store.record import NO_CONFIGURATION, Record
from loomstand.store.rescue import make_case
from loomstand.store.timing import LEASE_SECONDS
from loomstand.store.views import EPOCH_RANGE, Member, View, newest_view
from loomstand.testing.model_checker.member import (
    TICK_SECONDS,
    CodeUnderTest,
    Effect,
    Event,
    MemberDriver,
    MemberSnapshot,
    Message,
    address,
    snapshot_after_tick,
    snapshot_at_start,
)

KINDS = frozenset({"lost", "late", "twice", "slow", "restart", "cut"})


@dataclass(frozen=True, slots=True)
class Bounds:
    """What keeps the space finite.

    Without a fault a message is dealt with before anything else happens, and a write is done at
    once. Faults are a message lost, late or doubled, a write that is slow, a restart, a lost disk,
    and a cut that keeps one member from all others until it's mended. All runs with up to `faults`
    of them are walked.
    """

    members: int = 3  # the first three are seeds and voters
    # from empty disks, else from a primary at work whose grants have just run out
    founding: bool = False
    epochs: int = 3
    versions: int = 2
    faults: int = 2
    kinds: frozenset[str] = KINDS
    takers: str = "abcd"  # who may stand, or change its view
    wipes: int = 1  # of the faults
    halves: bool = True  # a step of time is half a lease, else a whole one
    changes: int = 0  # of the voters' set
    yields: int = 1  # leaving primaries
    rescues: int = 0  # by operators, where a majority is lost; the old disks come back then
    reads: int = 0  # what a primary says to be in force, and is passed on some time later
    leavers: str = ""  # who may be told to stop, to end for good with its disk
    learners: bool = False  # whether copies beside the view's are written


class Remaining(NamedTuple):
    """What may still happen."""

    faults: int
    wipes: int
    changes: int
    yields: int
    rescues: int
    reads: int


class PendingRead(NamedTuple):
    """An answer that isn't passed on yet; `asked` is when it was asked for at the latest."""

    by: int
    asked: float
    left: float


class SystemState(NamedTuple):
    """A state: numbers of cells and messages, and what operators know."""

    snapshots: tuple[int, ...]
    fresh: tuple[int, ...]  # to be dealt with before anything else happens, the first one first
    late: tuple[int, ...]  # sorted, each once
    committed: tuple[bytes | None, ...]  # by version: what a primary has put in force
    sent: tuple[int, ...]  # by version: how many contents were put
    left: Remaining
    partitioned: int = -1  # who is cut off
    lost_disks: tuple[tuple[int, Record], ...] = ()  # lost disks that may come back after a rescue
    reads: tuple[PendingRead, ...] = ()
    leaving: tuple[int, ...] = ()  # who was told to stop
    gone: tuple[int, ...] = ()  # and has ended for good


class InvariantError(Exception):
    """An invariant doesn't hold; the text says which."""


Outcome = tuple[int, tuple[int, ...], tuple[Effect, ...]]
# a step's form of words and what goes into it, worded in traces
Label = tuple[str, tuple[Any, ...]]


@dataclass(slots=True)
class StateSpace:
    """The states within bounds, of the code under test.

    Snapshots and messages are numbered, and every step of one member is computed once: few
    snapshots make up all the states.
    """

    code: CodeUnderTest
    bounds: Bounds
    snapshots: list[MemberSnapshot] = field(default_factory=list)
    messages: list[Message] = field(default_factory=list)
    numbers: dict[MemberSnapshot | Message, int] = field(default_factory=dict)
    # every step of one member is worked out once: few cells make up all the states
    outcomes: dict[tuple[int, Event], Outcome | None] = field(default_factory=dict)
    facts: list[tuple[float, int, tuple[View, ...]]] = field(default_factory=list)
    own_events: dict[tuple[int, tuple[Member, ...], tuple[Member, ...]], list[Event]] = field(
        default_factory=dict
    )
    ticked: dict[int, int] = field(default_factory=dict)
    obsolete: dict[tuple[int, int], bool] = field(default_factory=dict)

    # --- numbers for cells and messages

    def snapshot_number(self, snapshot: MemberSnapshot) -> int:
        """The number of a snapshot."""
        found = self.numbers.get(snapshot)
        if found is None:
            found = self.numbers[snapshot] = len(self.snapshots)
            self.snapshots.append(snapshot)
            replica = MemberDriver(self.code, self.seeds(), snapshot).replica
            views = {v for v in (snapshot.record.view, snapshot.newest_view) if v is not None}
            self.facts.append((replica.lease_left(0.0), snapshot.version, tuple(views)))
        return found

    def message_number(self, message: Message) -> int:
        """The number of a message."""
        found = self.numbers.get(message)
        if found is None:
            found = self.numbers[message] = len(self.messages)
            self.messages.append(message)
        return found

    def seeds(self) -> tuple[Member, ...]:
        """The members that are seeds."""
        return tuple(Member("abcd"[i], address(i)) for i in range(3))

    def first(self) -> SystemState:
        """The state that every run begins with."""
        b, snapshots = self.bounds, []
        view = View(1, self.seeds()[0], self.seeds()[1], self.seeds())
        for i in range(b.members):
            record = Record("abcd"[i], i < 3)
            if not b.founding and i < 3:
                record = Record("abcd"[i], True, 1, view, written_epoch=int(i < 2))
            snapshot = snapshot_at_start(i, record)
            if not b.founding:
                snapshot = snapshot_after_tick(snapshot_after_tick(snapshot))
                snapshot = snapshot._replace(
                    newest_view=view, replicated_epoch=int(i == 0), is_established=i == 0
                )
            snapshots.append(self.snapshot_number(snapshot))
        left = Remaining(b.faults, b.wipes, b.changes, b.yields, b.rescues, b.reads)
        none = (None,) * b.versions
        return SystemState(tuple(snapshots), (), (), none, (0,) * b.versions, left)

    # --- one member's steps

    def step(self, snapshot: int, event: Event) -> Outcome | None:
        """What comes of an event at a member; None if it's refused, so nothing."""
        key = (snapshot, event)
        if key not in self.outcomes:
            driver = MemberDriver(self.code, self.seeds(), self.snapshots[snapshot])
            try:
                match event:
                    case ("deliver", number):
                        driver.deliver(self.messages[number])
                    case ("start", plan, epoch):
                        driver.start_election(plan, epoch)
                    case (name, *parts):
                        getattr(driver, name)(*parts)
            except CallRefusedError:
                self.outcomes[key] = None
            else:
                out = tuple(self.message_number(m) for m in driver.out)
                self.outcomes[key] = (
                    self.snapshot_number(driver.to_snapshot()),
                    out,
                    tuple(driver.effects),
                )
        return self.outcomes[key]

    def events(
        self, number: int, members: tuple[Member, ...], stay: tuple[Member, ...]
    ) -> list[Event]:
        """What a member may do of itself, as its own code allows, with any epoch.

        `stay`: those of `members` that weren't told to stop.
        """
        key = (number, members, stay)
        if key in self.own_events:
            return self.own_events[key]
        snapshot, found = self.snapshots[number], list[Event]()
        me, view, work = members[snapshot.place], snapshot.record.view, snapshot.work
        if snapshot.pending_write is None:
            found += self._actions(snapshot, stay)
        if work and work.stage == "backup":
            found += [("backup", m) for m in stay if m != me and m not in work.asked]
        if work and work.stage == "fetch":
            found.append(("read_configuration",))
        if view is not None and view.primary.id == me.id:
            found += self._heartbeats(snapshot, view)
        self.own_events[key] = [e for e in found if self.step(number, e) is not None]
        return self.own_events[key]

    def _actions(self, snapshot: MemberSnapshot, stay: tuple[Member, ...]) -> list[Event]:
        """What its own code says to do next, whatever it believes of the others."""
        view, work = snapshot.record.view, snapshot.work
        actions = MemberDriver(self.code, self.seeds(), snapshot).possible_actions(stay)
        if work and work.stage == "put" and "own" in work.ids and view is not None:
            actions.append(self.moved(view))
        events: list[Event] = []
        for action in actions:
            if action.kind is ActionKind.REPLICATE:
                events.append(("replicate",))
            elif action.kind is ActionKind.TRANSFER_LEADERSHIP:
                events.append(("transfer_leadership",))
            elif "abcd"[snapshot.place] in self.bounds.takers:
                range_start = snapshot.promised_epoch // EPOCH_RANGE * EPOCH_RANGE
                epochs = range(snapshot.promised_epoch + 1, range_start + self.bounds.epochs + 1)
                events += [("start", action, epoch) for epoch in epochs]
        return events

    @staticmethod
    def _heartbeats(snapshot: MemberSnapshot, view: View) -> list[Event]:
        """Heartbeats of a primary, until its lease is as long as it can be."""
        granting_ids = {view.primary.id}
        for member_id, epoch, sent_at in snapshot.grants:
            if sent_at == 0.0 and epoch == view.epoch:
                granting_ids.add(member_id)
        if view.has_quorum(granting_ids):
            return []
        electors = view.electors().values()
        return [("send_heartbeat", m) for m in electors if m.id not in granting_ids]

    @staticmethod
    def moved(view: View) -> Action:
        """As `ConfigurationService` acts when a backup doesn't write, whatever else is due."""
        return change_view("", view)

    def is_obsolete(self, snapshot: int, number: int) -> bool:
        """Whether a message can never matter again at a member, by the code under test."""
        key = (snapshot, number)
        found = self.obsolete.get(key)
        if found is None:
            message, c = self.messages[number], self.snapshots[snapshot]
            if message.op in ("beat", "install") and message.answer:
                late = message.sent + LEASE_SECONDS <= 0.0
                found = not message.is_awaited or (
                    late and self.step(snapshot, ("deliver", number)) == (snapshot, (), ())
                )
            elif message.op == "beat":
                found = message.sent + LEASE_SECONDS <= 0.0  # its answer would be worth nothing
            else:
                found = self._stale(snapshot, c, message, number)
            self.obsolete[key] = found
        return found

    def _stale(self, snapshot: int, c: MemberSnapshot, message: Message, number: int) -> bool:
        body = cbor2.loads(message.body)
        epoch = body["view"][0] if message.op == "install" else body["epoch"]
        if message.answer and not message.is_awaited:
            return True
        if c.pending_write is not None:  # refused for now only
            return False
        outcome = self.step(snapshot, ("deliver", number))
        if outcome is None and message.name != c.record.id and not message.answer:
            return True
        idle = outcome is None or outcome == (snapshot, (), ())
        # promises only grow, and those on disk for good; no work of that epoch begins any more
        over = (
            epoch <= c.record.promised_epoch
            if not message.answer
            else epoch < c.record.promised_epoch
        )
        return idle and over and (outcome is None or message.answer)

    # --- successors

    def members(self, state: SystemState) -> tuple[Member, ...]:
        """The members of a state."""
        return tuple(
            Member(self.snapshots[c].record.id, address(i)) for i, c in enumerate(state.snapshots)
        )

    def successors(self, state: SystemState) -> Iterator[tuple[Label, SystemState]]:
        """All states that one step leads to, with the step."""
        if state.fresh:
            yield from self._fresh(state)
            return
        yield from self._late_deliveries(state)
        members = self.members(state)
        # who may take a place
        stay = tuple(m for i, m in enumerate(members) if i not in state.leaving)
        for i in range(len(state.snapshots)):
            if i not in state.gone:
                yield from self._member_steps(state, i, members, stay)
        if state.partitioned >= 0:
            yield ("the cut is mended", ()), state._replace(partitioned=-1)
        yield from self._rescued(state)
        tick = self._tick(state)
        if not self.bounds.halves:
            tick = self._tick(tick)
        if tick != state:
            yield ("time passes", ()), tick

    def _late_deliveries(self, state: SystemState) -> Iterator[tuple[Label, SystemState]]:
        """A delayed message arrives, maybe not for the last time."""
        for k, number in enumerate(state.late):
            rest = (*state.late[:k], *state.late[k + 1 :])
            at = self.messages[number].at
            if state.partitioned in (at, self.messages[number].by):
                continue
            yield from self._take(state._replace(late=rest), at, ("deliver", number))
            if state.left.faults and "twice" in self.bounds.kinds:
                yield from self._take(self._fault(state), at, ("deliver", number))

    def _member_steps(
        self, state: SystemState, i: int, members: tuple[Member, ...], stay: tuple[Member, ...]
    ) -> Iterator[tuple[Label, SystemState]]:
        """What may happen at one member, of itself or to it."""
        number = state.snapshots[i]
        if self.snapshots[number].pending_write is not None:
            yield from self._take(state, i, ("write",))
        for event in self.events(number, members, stay):
            after = self._allowed(state, event)
            if after is not None:
                yield from self._take(after, i, event)
        yield from self._puts(state, i, number)
        yield from self._restarts(state, i, number)
        if state.left.faults and "cut" in self.bounds.kinds and state.partitioned < 0:
            label = ("{} is cut off", (members[i].id,))
            yield label, self._fault(state)._replace(partitioned=i)
        yield from self._hears_committed(state, i, number)
        if self.bounds.learners:
            yield from self._take(state, i, ("write_copy",))
        lease_seconds = self.facts[number][0]
        if state.left.reads and lease_seconds > 0.0:
            fewer = state._replace(left=state.left._replace(reads=state.left.reads - 1))
            read = PendingRead(i, 0.0, lease_seconds)
            yield ("{} is read", (members[i].id,)), fewer._replace(reads=(*state.reads, read))
        yield from self._leaves(state, i, stay)

    def _hears_committed(
        self, state: SystemState, i: int, number: int
    ) -> Iterator[tuple[Label, SystemState]]:
        """A member hears of any newer configuration that is committed."""
        version = self.snapshots[number].version
        for newer in range(version + 1, self.bounds.versions + 1):
            data = state.committed[newer - 1]
            if data is not None:
                yield from self._take(state, i, ("commit_news", newer, data))

    def _fresh(self, state: SystemState) -> Iterator[tuple[Label, SystemState]]:
        number, rest = state.fresh[0], state.fresh[1:]
        without = state._replace(fresh=rest)
        at = self.messages[number].at
        if self.step(state.snapshots[at], ("deliver", number)) is None:
            if (
                self.snapshots[state.snapshots[at]].pending_write is not None
            ):  # it waits until the disk is done
                yield (
                    ("{} waits", (number,)),
                    without._replace(late=tuple(sorted({*state.late, number}))),
                )
            else:
                yield ("{} is refused", (number,)), without
        yield from self._take(without, at, ("deliver", number))
        if state.left.faults:
            without = self._fault(without)
            if "lost" in self.bounds.kinds:
                yield ("{} is lost", (number,)), without
            if "late" in self.bounds.kinds:
                yield (
                    ("{} is late", (number,)),
                    without._replace(late=tuple(sorted({*state.late, number}))),
                )

    @staticmethod
    def _fault(state: SystemState) -> SystemState:
        return state._replace(left=state.left._replace(faults=state.left.faults - 1))

    def _allowed(self, state: SystemState, event: Event) -> SystemState | None:
        left = state.left
        if event[0] == "transfer_leadership":
            return (
                state._replace(left=left._replace(yields=left.yields - 1)) if left.yields else None
            )
        if (
            event[0] == "start"
            and event[1].former_voters
            and len(event[1].former_voters) <= len(event[1].voters)
        ):
            begins = all(
                v.voters != event[1].voters for c in state.snapshots for v in self.facts[c][2]
            )  # a set that no view has yet
            if begins:
                return (
                    state._replace(left=left._replace(changes=left.changes - 1))
                    if left.changes
                    else None
                )
        return state

    def _puts(self, state: SystemState, i: int, number: int) -> Iterator[tuple[Label, SystemState]]:
        if not self.facts[number][0] or self.snapshots[number].pending_write is not None:
            return
        for v in range(self.bounds.versions):
            # contents are alike but for being others: the first is 0, the second may be either
            for content in range(min(state.sent[v] + 1, 2)):
                sent = (*state.sent[:v], max(state.sent[v], content + 1), *state.sent[v + 1 :])
                event = ("put", v + 1, b"xy"[content : content + 1])
                yield from self._take(state._replace(sent=sent), i, event)

    def _restarts(
        self, state: SystemState, i: int, number: int
    ) -> Iterator[tuple[Label, SystemState]]:
        snapshot, left = self.snapshots[number], state.left
        if not left.faults:
            return
        if (
            "restart" in self.bounds.kinds
            and snapshot_at_start(i, snapshot.record, snapshot.copy)._replace(
                started_at=snapshot.started_at
            )
            != snapshot
        ):  # it loses something by it
            disks = {snapshot.record: "is killed and starts"}
            if snapshot.pending_write is not None:
                disks.setdefault(
                    snapshot.pending_write[0], "is killed and starts, its last write done"
                )
            for record, words in disks.items():
                yield from self._restart(self._fault(state), i, record, words)
        if left.wipes and not (state.gone and self._missed(state)):
            old_id = snapshot.record.id
            disk_id = old_id if self.code.reuses_disk_id else old_id + "'"
            fewer = left._replace(wipes=left.wipes - 1, faults=left.faults - 1)
            aside = ((i, snapshot.record),) if left.rescues else ()
            lost = state._replace(left=fewer, lost_disks=state.lost_disks + aside)
            yield from self._restart(
                lost, i, Record(disk_id, False), "has lost its disk and starts", True
            )

    def _leaves(
        self, state: SystemState, i: int, stay: tuple[Member, ...]
    ) -> Iterator[tuple[Label, SystemState]]:
        """It is told to stop; or ends, once its own code lets it, with all in reach answering."""
        if "abcd"[i] not in self.bounds.leavers:
            return
        if i not in state.leaving:
            if len(state.leaving) < 2:
                yield (
                    ("{} is told to stop", (self.snapshots[state.snapshots[i]].record.id,)),
                    state._replace(leaving=tuple(sorted((*state.leaving, i)))),
                )
            return
        cut = state.partitioned if state.partitioned != i else -1
        there = (
            tuple(m for m in stay if m.address != address(cut)) if state.partitioned != i else ()
        )
        if self.step(state.snapshots[i], ("shut_down", there)) is None:
            return
        gone = tuple(sorted((*state.gone, i)))
        yield (
            ("{} ends, its disk with it", (self.snapshots[state.snapshots[i]].record.id,)),
            self._tidy(state._replace(gone=gone)),
        )

    def _rescued(self, state: SystemState) -> Iterator[tuple[Label, SystemState]]:
        """A rescue, where the code's own judgement allows one; later the lost disks come back."""
        if not state.left.rescues:
            for k, (i, record) in enumerate(state.lost_disks):
                rest = state._replace(
                    lost_disks=(*state.lost_disks[:k], *state.lost_disks[k + 1 :])
                )
                yield from self._restart(rest, i, record, "is back with its old disk", True)
            return
        replicas = [
            MemberDriver(self.code, self.seeds(), self.snapshots[c]).replica
            for c in state.snapshots
        ]
        found = make_case(
            (MemberReport.of(t, 0.0, NO_CONFIGURATION) for t in replicas),
            (),
            [m.address for m in self.seeds()],
        )
        chosen = found.chosen()
        if chosen is None or found.obstacles():
            return
        # what nobody in reach holds is lost
        force = tuple(
            d if v < found.newest_version() else None for v, d in enumerate(state.committed)
        )
        after = state._replace(
            left=state.left._replace(rescues=state.left.rescues - 1), committed=force
        )
        i = next(i for i, t in enumerate(replicas) if t.member == chosen.member)
        yield from self._take(after, i, ("rescue", found, EPOCH_RANGE))

    def _restart(
        self, state: SystemState, i: int, record: Record, words: str, empty: bool = False
    ) -> Iterator[tuple[Label, SystemState]]:
        """A restart: answers to what was asked before are lost, also those still being written."""
        snapshots, late = list(state.snapshots), list[int]()
        for k, number in enumerate(snapshots):
            match self.snapshots[number].pending_write:
                case (written, (kind, Message() as call, *body)) if call.by == i:
                    then = (kind, call._replace(is_awaited=False), *body)
                    snapshots[k] = self.snapshot_number(
                        self.snapshots[number]._replace(pending_write=(written, then))
                    )
        copy = NO_CONFIGURATION if empty else self.snapshots[state.snapshots[i]].copy
        snapshots[i] = self.snapshot_number(snapshot_at_start(i, record, copy))
        for number in state.late:
            m = self.messages[number]
            if m.is_awaited and (m.at if m.answer else m.by) == i:
                number = self.message_number(m._replace(is_awaited=False))
            late.append(number)
        after = state._replace(snapshots=tuple(snapshots), late=tuple(sorted({*late})))
        label = ("{} " + words, (self.snapshots[state.snapshots[i]].record.id,))
        views = (v for c in after.snapshots for v in self.facts[c][2])
        view = newest_view(*views) if self.bounds.rescues else None
        if view is None:
            yield label, self._tidy(after)
        for _, greeted in self._take(after, i, ("hear_newest_view", view)) if view else ():
            yield label, greeted

    def _take(
        self, state: SystemState, i: int, event: Event
    ) -> Iterator[tuple[Label, SystemState]]:
        """One event at a member; what it writes for it is on disk at once, or under way."""
        outcome = self.step(state.snapshots[i], event)
        if outcome is None:
            return
        before, words = state.snapshots[i], "{}: {}"
        while True:
            number, out, marks = outcome
            after = self._after(state, i, number, out, marks)
            if (
                self.snapshots[number].pending_write is None
                or self.snapshots[number].pending_write
                == self.snapshots[state.snapshots[i]].pending_write
            ):
                yield (words, (before, event)), after
                return
            if state.left.faults and "slow" in self.bounds.kinds:
                yield (words + ", its write slow", (before, event)), self._fault(after)
            outcome = self.step(number, ("write",))
            assert outcome is not None
            state = after

    def _after(
        self,
        state: SystemState,
        i: int,
        number: int,
        out: tuple[int, ...],
        marks: tuple[Effect, ...],
    ) -> SystemState:
        snapshots = (*state.snapshots[:i], number, *state.snapshots[i + 1 :])
        force = state.committed
        for mark in marks:
            if mark[0] == "broken":
                raise InvariantError(mark[1])
            kind, version, data = mark
            if kind == "copied":
                if force[version - 1] != data:
                    raise InvariantError("(f) a copy has what was never in force")
            elif version:
                if force[version - 1] not in (None, data):
                    raise InvariantError(f"(c) version {version} has two contents in force")
                force = (*force[: version - 1], data, *force[version:])
        if state.partitioned >= 0 and out:
            out = tuple(
                n
                for n in out
                if state.partitioned not in (self.messages[n].by, self.messages[n].at)
            )
        return self._tidy(
            state._replace(snapshots=snapshots, fresh=state.fresh + out, committed=force)
        )

    def _tidy(self, state: SystemState) -> SystemState:
        if not state.fresh and not state.late:
            return state
        if state.gone:
            fresh = tuple(n for n in state.fresh if self.messages[n].at not in state.gone)
            late = tuple(n for n in state.late if self.messages[n].at not in state.gone)
            state = state._replace(fresh=fresh, late=late)
        snapshots, messages, dull = state.snapshots, self.messages, self.is_obsolete
        fresh = tuple(n for n in state.fresh if not dull(snapshots[messages[n].at], n))
        late = tuple(n for n in state.late if not dull(snapshots[messages[n].at], n))
        return state._replace(fresh=fresh, late=late)

    def _tick(self, state: SystemState) -> SystemState:
        late = []
        for number in state.late:
            m = self.messages[number]
            timed = m.op in ("beat", "install")
            late.append(
                self.message_number(m._replace(sent=max(m.sent - TICK_SECONDS, -2 * TICK_SECONDS)))
                if timed
                else number
            )
        snapshots = []
        for c in state.snapshots:
            if c not in self.ticked:
                self.ticked[c] = self.snapshot_number(snapshot_after_tick(self.snapshots[c]))
            snapshots.append(self.ticked[c])
        reads = tuple(
            r
            for r in (r._replace(asked=r.asked - TICK_SECONDS) for r in state.reads)
            if self._passes(r)
        )
        return self._tidy(
            state._replace(snapshots=tuple(snapshots), late=tuple(sorted({*late})), reads=reads)
        )

    def _passes(self, read: PendingRead) -> bool:
        """Whether that may be passed on now, however long its asker waited."""
        return (
            read.asked > -4 * TICK_SECONDS
            and self.code.passes(read.left, read.asked, 0.0, 1e9) > 0.0
        )

    # --- what must hold

    def check(self, state: SystemState) -> None:
        """Raises InvariantError unless all invariants hold in this state and the step to it.

        (a) Whoever serves (its lease stands, so it answers reads and may acknowledge) holds at
            least the newest version that a primary has committed, though one disk be lost and
            members be away.
        (b) No two members serve at one moment, and no two views of one epoch are known: one primary
            an epoch.
        (c) A member's committed version never goes back between two starts (see
            `MemberDriver.to_snapshot`), and a committed version never has a second content (see
            `_after`).
        (d) No disk answers in the name of another one, nor under the id of one that was lost (see
            `MemberDriver.reply`; a new disk under the old id is found here).
        (e) What was read of one member isn't passed on while another one serves.
        (f) A third copy has only what was committed (see `_after`).
        (g) Once members were told to stop, those that are left can agree on a view, and one has its
            data.
        """
        facts = [self.facts[c] for c in state.snapshots]
        self._check_reads(state)
        if state.leaving:
            self._check_left(state)
        serving = [f for i, f in enumerate(facts) if f[0] > 0.0 and i not in state.gone]
        if len(serving) > 1:
            raise InvariantError("(b) two members serve")
        newest = max(
            (v + 1 for v, data in enumerate(state.committed) if data is not None), default=0
        )
        if serving and serving[0][1] < newest:
            raise InvariantError(f"(a) version {newest} was in force and is lost")
        views: dict[int, View] = {}
        for known in (f[2] for f in facts):
            for view in known:
                if views.setdefault(view.epoch, view) != view:
                    raise InvariantError(f"(b) two views of epoch {view.epoch}")
        for c in state.snapshots:
            record = self.snapshots[c].record
            if not record.is_founder and record.id in "abc":
                raise InvariantError(f"(d) a disk that is new votes as {record.id}")

    def _check_reads(self, state: SystemState) -> None:
        leases = [self.facts[number][0] for number in state.snapshots]
        for read in state.reads:
            is_other_serving = any(
                lease_seconds > 0.0 and i != read.by for i, lease_seconds in enumerate(leases)
            )
            if is_other_serving and self._passes(read):
                raise InvariantError(
                    "(e) what one said to be in force is passed on while another serves"
                )

    def _left(self, state: SystemState) -> tuple[View | None, list[str]]:
        """The newest view that those know who didn't end, and their disks."""
        snapshots = [
            self.snapshots[c] for i, c in enumerate(state.snapshots) if i not in state.gone
        ]
        return newest_view(*(v for c in snapshots for v in (c.record.view, c.newest_view))), [
            c.record.id for c in snapshots
        ]

    def _missed(self, state: SystemState) -> bool:
        """Whether a member that ended has nobody in its place: the one loss that is borne."""
        view, _ = self._left(state)
        names = replace(view, former_voters=()).members() if view else {}
        return any(self.snapshots[state.snapshots[i]].record.id in names for i in state.gone)

    def _check_left(self, state: SystemState) -> None:
        view, ids = self._left(state)
        if view is not None and not view.has_quorum(ids):
            raise InvariantError("(g) those that are left can't agree any more")
        if view is not None and not any(view.has_data(disk_id) for disk_id in ids):
            raise InvariantError("(g) nobody that is left has the data")

    # --- words for a trace

    def words(self, step: Label) -> str:
        """A step in words, for a trace."""
        form, parts = step
        match parts:
            case (int() as before, tuple() as event):
                return form.format(self.snapshots[before].record.id, self._event(event))
            case (int() as number,):
                return form.format(self._message(number))
        return form.format(*parts)

    def _event(self, event: Event) -> str:
        match event:
            case ("deliver", number):
                return f"gets {self._message(number)}"
            case ("rescue", _, epoch):
                return f"founds the store anew by operators' word: epoch {epoch}"
            case ("start", plan, epoch):
                voters, former = (
                    "".join(m.id for m in ms) for ms in (plan.voters, plan.former_voters)
                )
                return f"{plan.kind.value}: epoch {epoch}, voters {voters}" + (
                    f" and {former}" * bool(former)
                )
            case (name, *parts):
                return " ".join([name, *(p.id if isinstance(p, Member) else str(p) for p in parts)])
        return str(event)

    def _message(self, number: int) -> str:
        m = self.messages[number]
        body = {k: v for k, v in cbor2.loads(m.body).items() if k not in ("member", "asker")}
        if body.get("view"):
            epoch, primary, backup, *_ = body["view"]
            body["view"] = f"{epoch}:{primary[0]}{backup[0] if backup else '-'}"
        ends = f"{'abcd'[m.by]} to {'abcd'[m.at]}"
        return f"{m.op}{' answer' * m.answer} ({ends}, disk {m.name}) {body}"
