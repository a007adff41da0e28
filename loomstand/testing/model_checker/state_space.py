"""The state space of all members and the messages between them: successors and invariants."""

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

FAULT_KINDS = frozenset({"lost", "late", "twice", "slow", "restart", "cut"})


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that keep the state space finite.

    Without a fault a message is handled before anything else happens, and a write completes at
    once. Faults are a message that is lost, delayed or duplicated, a slow write, a restart, a lost
    disk, and a partition that separates one member from all others until it heals. All runs with
    up to `faults` faults are explored.
    """

    members: int = 3  # the first three are seeds and voters
    # starts with empty disks, otherwise with a primary whose grants have just expired
    founding: bool = False
    epochs: int = 3
    versions: int = 2
    faults: int = 2
    fault_kinds: frozenset[str] = FAULT_KINDS
    candidates: str = "abcd"  # members that may start an election or change their view
    wipes: int = 1  # lost disks, which count as faults
    half_lease_ticks: bool = True  # time advances by half a lease, otherwise by a whole one
    changes: int = 0  # changes of the voter set
    yields: int = 1  # leadership transfers
    rescues: int = 0  # by operators after the loss of a majority; lost disks return afterwards
    reads: int = 0  # reads of a primary whose answer is passed on later
    leavers: str = ""  # members that may shut down permanently, with their disk
    learners: bool = False  # whether learners write copies


class Remaining(NamedTuple):
    """How many events of each kind may still happen."""

    faults: int
    wipes: int
    changes: int
    yields: int
    rescues: int
    reads: int


class PendingRead(NamedTuple):
    """An answer of a primary that hasn't been passed on yet."""

    member_index: int  # the member that answered
    asked_at: float  # latest possible time of the request in seconds; now is 0
    lease_seconds: float  # what was left of the member's lease when it answered


class SystemState(NamedTuple):
    """A state of the system; snapshots and messages are given by their numbers."""

    snapshots: tuple[int, ...]
    fresh: tuple[int, ...]  # messages handled in this order before anything else happens
    delayed: tuple[int, ...]  # delayed messages, sorted, without duplicates
    committed: tuple[bytes | None, ...]  # by version: the content that a primary has committed
    put_counts: tuple[int, ...]  # by version: how many different contents were put
    remaining: Remaining
    partitioned: int = -1  # the member that is partitioned from all others, -1 for none
    lost_disks: tuple[tuple[int, Record], ...] = ()  # disks that may return after a rescue
    pending_reads: tuple[PendingRead, ...] = ()
    stopping: tuple[int, ...] = ()  # members that were asked to shut down
    stopped: tuple[int, ...] = ()  # those of them that have shut down permanently


class SnapshotFacts(NamedTuple):
    """The properties of a member's snapshot that the invariants refer to."""

    lease_seconds: float  # left of the member's lease
    version: int  # committed version
    views: tuple[View, ...]  # views that the member knows


class InvariantError(Exception):
    """An invariant is violated; the message starts with its letter."""


# the number of the next snapshot, numbers of the messages sent, and other effects
Outcome = tuple[int, tuple[int, ...], tuple[Effect, ...]]
# a format string and its arguments, formatted only for traces
Label = tuple[str, tuple[Any, ...]]


@dataclass(slots=True)
class StateSpace:
    """The states of the code under test within the bounds.

    Snapshots and messages are numbered, and each step of a member is computed once, because all
    states are combinations of few snapshots.
    """

    code: CodeUnderTest
    bounds: Bounds
    snapshots: list[MemberSnapshot] = field(default_factory=list)
    messages: list[Message] = field(default_factory=list)
    numbers: dict[MemberSnapshot | Message, int] = field(default_factory=dict)
    # outcome by snapshot and event, None for a refused event
    outcomes: dict[tuple[int, Event], Outcome | None] = field(default_factory=dict)
    facts: list[SnapshotFacts] = field(default_factory=list)  # by snapshot
    # by snapshot, members, and members that aren't stopping
    own_events: dict[tuple[int, tuple[Member, ...], tuple[Member, ...]], list[Event]] = field(
        default_factory=dict
    )
    # by snapshot: the snapshot one tick later
    ticked: dict[int, int] = field(default_factory=dict)
    # by snapshot and message: the result of `is_obsolete`
    obsolete: dict[tuple[int, int], bool] = field(default_factory=dict)

    # --- numbers of snapshots and messages

    def snapshot_number(self, snapshot: MemberSnapshot) -> int:
        """Returns the number of a snapshot, a new one if it wasn't seen before."""
        found = self.numbers.get(snapshot)
        if found is None:
            found = self.numbers[snapshot] = len(self.snapshots)
            self.snapshots.append(snapshot)
            replica = MemberDriver(self.code, self.seeds(), snapshot).replica
            views = {v for v in (snapshot.record.view, snapshot.newest_view) if v is not None}
            self.facts.append(
                SnapshotFacts(replica.lease_left(0.0), snapshot.version, tuple(views))
            )
        return found

    def message_number(self, message: Message) -> int:
        """Returns the number of a message, a new one if it wasn't seen before."""
        found = self.numbers.get(message)
        if found is None:
            found = self.numbers[message] = len(self.messages)
            self.messages.append(message)
        return found

    def seeds(self) -> tuple[Member, ...]:
        """The members that are seeds."""
        return tuple(Member("abcd"[i], address(i)) for i in range(3))

    def first(self) -> SystemState:
        """The initial state of every run."""
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
        remaining = Remaining(b.faults, b.wipes, b.changes, b.yields, b.rescues, b.reads)
        none = (None,) * b.versions
        return SystemState(tuple(snapshots), (), (), none, (0,) * b.versions, remaining)

    # --- one member's steps

    def step(self, snapshot: int, event: Event) -> Outcome | None:
        """The outcome of an event at a member, or None if the member refuses it."""
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
                sent = tuple(self.message_number(m) for m in driver.sent_messages)
                self.outcomes[key] = (
                    self.snapshot_number(driver.to_snapshot()),
                    sent,
                    tuple(driver.effects),
                )
        return self.outcomes[key]

    def events(
        self, number: int, members: tuple[Member, ...], staying: tuple[Member, ...]
    ) -> list[Event]:
        """The events that a member may start by itself, as its code allows, with any epoch.

        `staying` are those of `members` that weren't asked to shut down.
        """
        key = (number, members, staying)
        if key in self.own_events:
            return self.own_events[key]
        snapshot, events = self.snapshots[number], list[Event]()
        me, view, operation = (
            members[snapshot.member_index],
            snapshot.record.view,
            snapshot.operation,
        )
        if snapshot.pending_write is None:
            events += self._actions(snapshot, staying)
        if operation and operation.stage == "backup":
            events += [("backup", m) for m in staying if m != me and m not in operation.asked]
        if operation and operation.stage == "fetch":
            events.append(("read_configuration",))
        if view is not None and view.primary.id == me.id:
            events += self._heartbeats(snapshot, view)
        self.own_events[key] = [e for e in events if self.step(number, e) is not None]
        return self.own_events[key]

    def _actions(self, snapshot: MemberSnapshot, staying: tuple[Member, ...]) -> list[Event]:
        """The actions that a member's code may choose, for any belief about the other members."""
        view, operation = snapshot.record.view, snapshot.operation
        actions = MemberDriver(self.code, self.seeds(), snapshot).possible_actions(staying)
        if operation and operation.stage == "put" and "own" in operation.ids and view is not None:
            actions.append(self.backup_change(view))
        events: list[Event] = []
        for action in actions:
            if action.kind is ActionKind.REPLICATE:
                events.append(("replicate",))
            elif action.kind is ActionKind.TRANSFER_LEADERSHIP:
                events.append(("transfer_leadership",))
            elif "abcd"[snapshot.member_index] in self.bounds.candidates:
                range_start = snapshot.promised_epoch // EPOCH_RANGE * EPOCH_RANGE
                epochs = range(snapshot.promised_epoch + 1, range_start + self.bounds.epochs + 1)
                events += [("start", action, epoch) for epoch in epochs]
        return events

    @staticmethod
    def _heartbeats(snapshot: MemberSnapshot, view: View) -> list[Event]:
        """Heartbeats of a primary, until its lease has its full length."""
        granting_ids = {view.primary.id}
        for member_id, epoch, sent_at in snapshot.grants:
            if sent_at == 0.0 and epoch == view.epoch:
                granting_ids.add(member_id)
        if view.has_quorum(granting_ids):
            return []
        electors = view.electors().values()
        return [("send_heartbeat", m) for m in electors if m.id not in granting_ids]

    @staticmethod
    def backup_change(view: View) -> Action:
        """The action of `ConfigurationService` when the backup doesn't acknowledge a write."""
        return change_view("", view)

    def is_obsolete(self, snapshot: int, number: int) -> bool:
        """Whether a message can no longer affect a member, by the code under test."""
        key = (snapshot, number)
        is_obsolete = self.obsolete.get(key)
        if is_obsolete is None:
            message = self.messages[number]
            if message.op in ("beat", "install") and message.is_answer:
                has_expired = message.sent + LEASE_SECONDS <= 0.0
                is_obsolete = not message.is_awaited or (
                    has_expired and self.step(snapshot, ("deliver", number)) == (snapshot, (), ())
                )
            elif message.op == "beat":
                # a lease granted in the answer would have expired
                is_obsolete = message.sent + LEASE_SECONDS <= 0.0
            else:
                is_obsolete = self._is_stale(snapshot, message, number)
            self.obsolete[key] = is_obsolete
        return is_obsolete

    def _is_stale(self, snapshot: int, message: Message, number: int) -> bool:
        """Whether a message without a time limit can no longer affect a member."""
        receiver, body = self.snapshots[snapshot], cbor2.loads(message.body)
        epoch = body["view"][0] if message.op == "install" else body["epoch"]
        if message.is_answer and not message.is_awaited:
            return True
        if receiver.pending_write is not None:  # refused only until the write is on disk
            return False
        outcome = self.step(snapshot, ("deliver", number))
        if outcome is None and message.disk_id != receiver.record.id and not message.is_answer:
            return True
        has_no_effect = outcome is None or outcome == (snapshot, (), ())
        # promised epochs never decrease, and those on disk survive a restart, so no operation of an
        # earlier epoch can start any more
        is_outdated = (
            epoch <= receiver.record.promised_epoch
            if not message.is_answer
            else epoch < receiver.record.promised_epoch
        )
        return has_no_effect and is_outdated and (outcome is None or message.is_answer)

    # --- successors

    def members(self, state: SystemState) -> tuple[Member, ...]:
        """The members of a state."""
        return tuple(
            Member(self.snapshots[c].record.id, address(i)) for i, c in enumerate(state.snapshots)
        )

    def successors(self, state: SystemState) -> Iterator[tuple[Label, SystemState]]:
        """Yields each possible step with the state it leads to."""
        if state.fresh:
            yield from self._deliver_next(state)
            return
        yield from self._delayed_deliveries(state)
        members = self.members(state)
        # members that may become voters or backup
        staying = tuple(m for i, m in enumerate(members) if i not in state.stopping)
        for i in range(len(state.snapshots)):
            if i not in state.stopped:
                yield from self._member_steps(state, i, members, staying)
        if state.partitioned >= 0:
            yield ("the partition heals", ()), state._replace(partitioned=-1)
        yield from self._rescues(state)
        tick = self._tick(state)
        if not self.bounds.half_lease_ticks:
            tick = self._tick(tick)
        if tick != state:
            yield ("time passes", ()), tick

    def _delayed_deliveries(self, state: SystemState) -> Iterator[tuple[Label, SystemState]]:
        """Deliveries of delayed messages; a duplicated message stays delayed."""
        for k, number in enumerate(state.delayed):
            rest = (*state.delayed[:k], *state.delayed[k + 1 :])
            at = self.messages[number].receiver
            if state.partitioned in (at, self.messages[number].sender):
                continue
            yield from self._apply(state._replace(delayed=rest), at, ("deliver", number))
            if state.remaining.faults and "twice" in self.bounds.fault_kinds:
                yield from self._apply(self._spend_fault(state), at, ("deliver", number))

    def _member_steps(
        self, state: SystemState, i: int, members: tuple[Member, ...], staying: tuple[Member, ...]
    ) -> Iterator[tuple[Label, SystemState]]:
        """Steps of one member, and faults that affect it."""
        number = state.snapshots[i]
        if self.snapshots[number].pending_write is not None:
            yield from self._apply(state, i, ("write",))
        for event in self.events(number, members, staying):
            after = self._within_bounds(state, event)
            if after is not None:
                yield from self._apply(after, i, event)
        yield from self._puts(state, i, number)
        yield from self._restarts(state, i, number)
        if state.remaining.faults and "cut" in self.bounds.fault_kinds and state.partitioned < 0:
            label = ("{} is partitioned", (members[i].id,))
            yield label, self._spend_fault(state)._replace(partitioned=i)
        yield from self._commit_news(state, i, number)
        if self.bounds.learners:
            yield from self._apply(state, i, ("write_copy",))
        lease_seconds = self.facts[number].lease_seconds
        if state.remaining.reads and lease_seconds > 0.0:
            fewer = state._replace(
                remaining=state.remaining._replace(reads=state.remaining.reads - 1)
            )
            read = PendingRead(i, 0.0, lease_seconds)
            yield (
                ("{} is read", (members[i].id,)),
                fewer._replace(pending_reads=(*state.pending_reads, read)),
            )
        yield from self._shutdowns(state, i, staying)

    def _commit_news(
        self, state: SystemState, i: int, number: int
    ) -> Iterator[tuple[Label, SystemState]]:
        """Deliveries of newer committed configurations to a member."""
        version = self.snapshots[number].version
        for newer in range(version + 1, self.bounds.versions + 1):
            data = state.committed[newer - 1]
            if data is not None:
                yield from self._apply(state, i, ("commit_news", newer, data))

    def _deliver_next(self, state: SystemState) -> Iterator[tuple[Label, SystemState]]:
        """Delivery of the first fresh message, and faults that affect it."""
        number, rest = state.fresh[0], state.fresh[1:]
        without = state._replace(fresh=rest)
        at = self.messages[number].receiver
        if self.step(state.snapshots[at], ("deliver", number)) is None:
            # the message waits for a pending write
            if self.snapshots[state.snapshots[at]].pending_write is not None:
                yield (
                    ("{} waits", (number,)),
                    without._replace(delayed=tuple(sorted({*state.delayed, number}))),
                )
            else:
                yield ("{} is refused", (number,)), without
        yield from self._apply(without, at, ("deliver", number))
        if state.remaining.faults:
            without = self._spend_fault(without)
            if "lost" in self.bounds.fault_kinds:
                yield ("{} is lost", (number,)), without
            if "late" in self.bounds.fault_kinds:
                yield (
                    ("{} is late", (number,)),
                    without._replace(delayed=tuple(sorted({*state.delayed, number}))),
                )

    @staticmethod
    def _spend_fault(state: SystemState) -> SystemState:
        return state._replace(remaining=state.remaining._replace(faults=state.remaining.faults - 1))

    def _within_bounds(self, state: SystemState, event: Event) -> SystemState | None:
        """The state with the event deducted from the bounds, or None if they don't allow it."""
        left = state.remaining
        if event[0] == "transfer_leadership":
            return (
                state._replace(remaining=left._replace(yields=left.yields - 1))
                if left.yields
                else None
            )
        if (
            event[0] == "start"
            and event[1].former_voters
            and len(event[1].former_voters) <= len(event[1].voters)
        ):
            # voters that no view has yet
            is_new_set = all(
                v.voters != event[1].voters for c in state.snapshots for v in self.facts[c].views
            )
            if is_new_set:
                return (
                    state._replace(remaining=left._replace(changes=left.changes - 1))
                    if left.changes
                    else None
                )
        return state

    def _puts(self, state: SystemState, i: int, number: int) -> Iterator[tuple[Label, SystemState]]:
        """Configuration changes that are sent to a member whose lease is valid."""
        if not self.facts[number].lease_seconds or self.snapshots[number].pending_write is not None:
            return
        for v in range(self.bounds.versions):
            # two contents suffice, since only equality matters: the first put takes content 0, a
            # later one either
            for content in range(min(state.put_counts[v] + 1, 2)):
                put_counts = (
                    *state.put_counts[:v],
                    max(state.put_counts[v], content + 1),
                    *state.put_counts[v + 1 :],
                )
                event = ("put", v + 1, b"xy"[content : content + 1])
                yield from self._apply(state._replace(put_counts=put_counts), i, event)

    def _restarts(
        self, state: SystemState, i: int, number: int
    ) -> Iterator[tuple[Label, SystemState]]:
        """Restarts of a member with its disk, and with the disk lost."""
        snapshot, left = self.snapshots[number], state.remaining
        if not left.faults:
            return
        if (
            "restart" in self.bounds.fault_kinds
            and snapshot_at_start(i, snapshot.record, snapshot.copy)._replace(
                started_at=snapshot.started_at
            )
            != snapshot
        ):  # the restart loses state
            disks = {snapshot.record: "is killed and starts"}
            if snapshot.pending_write is not None:
                disks.setdefault(
                    snapshot.pending_write[0], "is killed and starts, its pending write done"
                )
            for record, words in disks.items():
                yield from self._restart(self._spend_fault(state), i, record, words)
        if left.wipes and not (state.stopped and self._has_vacant_place(state)):
            old_id = snapshot.record.id
            disk_id = old_id if self.code.reuses_disk_id else old_id + "'"
            fewer = left._replace(wipes=left.wipes - 1, faults=left.faults - 1)
            # kept only if a later rescue may let the disk return
            lost_disk = ((i, snapshot.record),) if left.rescues else ()
            after = state._replace(remaining=fewer, lost_disks=state.lost_disks + lost_disk)
            yield from self._restart(
                after, i, Record(disk_id, False), "has lost its disk and starts", True
            )

    def _shutdowns(
        self, state: SystemState, i: int, staying: tuple[Member, ...]
    ) -> Iterator[tuple[Label, SystemState]]:
        """Shutdown requests, and shutdowns that the code allows if all reachable members answer."""
        if "abcd"[i] not in self.bounds.leavers:
            return
        if i not in state.stopping:
            if len(state.stopping) < 2:
                yield (
                    ("{} is asked to shut down", (self.snapshots[state.snapshots[i]].record.id,)),
                    state._replace(stopping=tuple(sorted((*state.stopping, i)))),
                )
            return
        unreachable = state.partitioned if state.partitioned != i else -1
        reachable = (
            tuple(m for m in staying if m.address != address(unreachable))
            if state.partitioned != i
            else ()
        )
        if self.step(state.snapshots[i], ("shut_down", reachable)) is None:
            return
        stopped = tuple(sorted((*state.stopped, i)))
        yield (
            ("{} shuts down permanently", (self.snapshots[state.snapshots[i]].record.id,)),
            self._drop_obsolete(state._replace(stopped=stopped)),
        )

    def _rescues(self, state: SystemState) -> Iterator[tuple[Label, SystemState]]:
        """Rescues that the store's code allows; after a rescue the returns of lost disks."""
        if not state.remaining.rescues:
            for k, (i, record) in enumerate(state.lost_disks):
                rest = state._replace(
                    lost_disks=(*state.lost_disks[:k], *state.lost_disks[k + 1 :])
                )
                yield from self._restart(rest, i, record, "returns with its old disk", True)
            return
        replicas = [
            MemberDriver(self.code, self.seeds(), self.snapshots[c]).replica
            for c in state.snapshots
        ]
        case = make_case(
            (MemberReport.of(r, 0.0, NO_CONFIGURATION) for r in replicas),
            (),
            [m.address for m in self.seeds()],
        )
        chosen = case.chosen()
        if chosen is None or case.obstacles():
            return
        # a version that no reachable member holds is lost
        committed = tuple(
            data if v < case.newest_version() else None for v, data in enumerate(state.committed)
        )
        after = state._replace(
            remaining=state.remaining._replace(rescues=state.remaining.rescues - 1),
            committed=committed,
        )
        i = next(i for i, r in enumerate(replicas) if r.member == chosen.member)
        yield from self._apply(after, i, ("rescue", case, EPOCH_RANGE))

    def _restart(
        self, state: SystemState, i: int, record: Record, words: str, empty: bool = False
    ) -> Iterator[tuple[Label, SystemState]]:
        """A restart; the member ignores answers to its earlier calls, also those not sent yet."""
        snapshots, delayed = list(state.snapshots), list[int]()
        for k, number in enumerate(snapshots):
            match self.snapshots[number].pending_write:
                case (written, (kind, Message() as call, *body)) if call.sender == i:
                    then = (kind, call._replace(is_awaited=False), *body)
                    snapshots[k] = self.snapshot_number(
                        self.snapshots[number]._replace(pending_write=(written, then))
                    )
        copy = NO_CONFIGURATION if empty else self.snapshots[state.snapshots[i]].copy
        snapshots[i] = self.snapshot_number(snapshot_at_start(i, record, copy))
        for number in state.delayed:
            m = self.messages[number]
            if m.is_awaited and (m.receiver if m.is_answer else m.sender) == i:
                number = self.message_number(m._replace(is_awaited=False))
            delayed.append(number)
        after = state._replace(snapshots=tuple(snapshots), delayed=tuple(sorted({*delayed})))
        label = ("{} " + words, (self.snapshots[state.snapshots[i]].record.id,))
        views = (v for c in after.snapshots for v in self.facts[c].views)
        view = newest_view(*views) if self.bounds.rescues else None
        if view is None:
            yield label, self._drop_obsolete(after)
        for _, after_learning in self._apply(after, i, ("hear_newest_view", view)) if view else ():
            yield label, after_learning

    def _apply(
        self, state: SystemState, i: int, event: Event
    ) -> Iterator[tuple[Label, SystemState]]:
        """Applies one event to a member; its writes complete at once or, as a fault, are slow."""
        outcome = self.step(state.snapshots[i], event)
        if outcome is None:
            return
        before, form = state.snapshots[i], "{}: {}"
        while True:
            number, sent, effects = outcome
            after = self._apply_outcome(state, i, number, sent, effects)
            if (
                self.snapshots[number].pending_write is None
                or self.snapshots[number].pending_write
                == self.snapshots[state.snapshots[i]].pending_write
            ):
                yield (form, (before, event)), after
                return
            if state.remaining.faults and "slow" in self.bounds.fault_kinds:
                yield (form + ", its write slow", (before, event)), self._spend_fault(after)
            outcome = self.step(number, ("write",))
            assert outcome is not None
            state = after

    def _apply_outcome(
        self,
        state: SystemState,
        i: int,
        number: int,
        sent: tuple[int, ...],
        effects: tuple[Effect, ...],
    ) -> SystemState:
        snapshots = (*state.snapshots[:i], number, *state.snapshots[i + 1 :])
        committed = state.committed
        for effect in effects:
            if effect[0] == "violated":
                raise InvariantError(effect[1])
            kind, version, data = effect
            if kind == "copied":
                if committed[version - 1] != data:
                    raise InvariantError("(f) a copy holds what was never committed")
            elif version:
                if committed[version - 1] not in (None, data):
                    raise InvariantError(f"(c) version {version} has two committed contents")
                committed = (*committed[: version - 1], data, *committed[version:])
        if state.partitioned >= 0 and sent:
            sent = tuple(
                n
                for n in sent
                if state.partitioned not in (self.messages[n].sender, self.messages[n].receiver)
            )
        return self._drop_obsolete(
            state._replace(snapshots=snapshots, fresh=state.fresh + sent, committed=committed)
        )

    def _drop_obsolete(self, state: SystemState) -> SystemState:
        """Removes messages that can't affect their receiver, so that more states compare equal."""
        if not state.fresh and not state.delayed:
            return state
        if state.stopped:
            fresh = tuple(n for n in state.fresh if self.messages[n].receiver not in state.stopped)
            delayed = tuple(
                n for n in state.delayed if self.messages[n].receiver not in state.stopped
            )
            state = state._replace(fresh=fresh, delayed=delayed)
        snapshots, messages, is_obsolete = state.snapshots, self.messages, self.is_obsolete
        fresh = tuple(n for n in state.fresh if not is_obsolete(snapshots[messages[n].receiver], n))
        delayed = tuple(
            n for n in state.delayed if not is_obsolete(snapshots[messages[n].receiver], n)
        )
        return state._replace(fresh=fresh, delayed=delayed)

    def _tick(self, state: SystemState) -> SystemState:
        """The state one tick later."""
        delayed = []
        for number in state.delayed:
            m = self.messages[number]
            timed = m.op in ("beat", "install")
            delayed.append(
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
            for r in (r._replace(asked_at=r.asked_at - TICK_SECONDS) for r in state.pending_reads)
            if self._may_be_passed_on(r)
        )
        return self._drop_obsolete(
            state._replace(
                snapshots=tuple(snapshots), delayed=tuple(sorted({*delayed})), pending_reads=reads
            )
        )

    def _may_be_passed_on(self, read: PendingRead) -> bool:
        """Whether the answer may still be passed on, for a reader with any timeout."""
        return (
            read.asked_at > -4 * TICK_SECONDS
            and self.code.remaining_read_seconds(read.lease_seconds, read.asked_at, 0.0, 1e9) > 0.0
        )

    # --- invariants

    def check(self, state: SystemState) -> None:
        """Raises InvariantError unless all invariants hold in this state and the step to it.

        (a) A serving member (its lease is valid, so it answers reads and may acknowledge changes)
            holds at least the newest version that a primary has committed, even if one disk is
            lost and members are unreachable.
        (b) No two members serve at the same time, and no two different views of one epoch exist:
            one primary per epoch.
        (c) A member's committed version never decreases between two starts (see
            `MemberDriver.to_snapshot`), and a committed version never has a second content (see
            `_apply_outcome`).
        (d) No disk answers in the name of another, nor under the id of a lost one (see
            `MemberDriver.reply`; a new disk under the old id is detected here).
        (e) A configuration read from one member isn't passed on while another one serves.
        (f) A learner's copy holds only what was committed (see `_apply_outcome`).
        (g) After shutdowns the remaining members can form a quorum, and one of them has the data.
        """
        facts = [self.facts[c] for c in state.snapshots]
        self._check_reads(state)
        if state.stopping:
            self._check_survivors(state)
        serving = [
            fact
            for i, fact in enumerate(facts)
            if fact.lease_seconds > 0.0 and i not in state.stopped
        ]
        if len(serving) > 1:
            raise InvariantError("(b) two members serve")
        newest = max(
            (v + 1 for v, data in enumerate(state.committed) if data is not None), default=0
        )
        if serving and serving[0].version < newest:
            raise InvariantError(f"(a) version {newest} was committed and is lost")
        views: dict[int, View] = {}
        for fact in facts:
            for view in fact.views:
                if views.setdefault(view.epoch, view) != view:
                    raise InvariantError(f"(b) two views of epoch {view.epoch}")
        for c in state.snapshots:
            record = self.snapshots[c].record
            if not record.is_founder and record.id in "abc":
                raise InvariantError(f"(d) a new disk votes as {record.id}")

    def _check_reads(self, state: SystemState) -> None:
        leases = [self.facts[number].lease_seconds for number in state.snapshots]
        for read in state.pending_reads:
            is_other_serving = any(
                lease_seconds > 0.0 and i != read.member_index
                for i, lease_seconds in enumerate(leases)
            )
            if is_other_serving and self._may_be_passed_on(read):
                raise InvariantError(
                    "(e) a configuration read from one member is passed on while another serves"
                )

    def _survivors(self, state: SystemState) -> tuple[View | None, list[str]]:
        """The newest view known to the members that haven't shut down, and their disk ids."""
        snapshots = [
            self.snapshots[c] for i, c in enumerate(state.snapshots) if i not in state.stopped
        ]
        return newest_view(*(v for c in snapshots for v in (c.record.view, c.newest_view))), [
            c.record.id for c in snapshots
        ]

    def _has_vacant_place(self, state: SystemState) -> bool:
        """Whether a member that shut down isn't replaced in the view yet.

        The view tolerates one such loss, so no disk may be lost on top of it.
        """
        view, _ = self._survivors(state)
        member_ids = replace(view, former_voters=()).members() if view else {}
        return any(
            self.snapshots[state.snapshots[i]].record.id in member_ids for i in state.stopped
        )

    def _check_survivors(self, state: SystemState) -> None:
        view, ids = self._survivors(state)
        if view is not None and not view.has_quorum(ids):
            raise InvariantError("(g) the remaining members can't form a quorum")
        if view is not None and not any(view.has_data(disk_id) for disk_id in ids):
            raise InvariantError("(g) no remaining member has the data")

    # --- descriptions for traces

    def describe(self, step: Label) -> str:
        """Describes a step for a trace."""
        form, parts = step
        match parts:
            case (int() as before, tuple() as event):
                return form.format(self.snapshots[before].record.id, self._describe_event(event))
            case (int() as number,):
                return form.format(self._describe_message(number))
        return form.format(*parts)

    def _describe_event(self, event: Event) -> str:
        match event:
            case ("deliver", number):
                return f"gets {self._describe_message(number)}"
            case ("rescue", _, epoch):
                return f"rescue by operators: epoch {epoch}"
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

    def _describe_message(self, number: int) -> str:
        m = self.messages[number]
        body = {k: v for k, v in cbor2.loads(m.body).items() if k not in ("member", "asker")}
        if body.get("view"):
            epoch, primary, backup, *_ = body["view"]
            body["view"] = f"{epoch}:{primary[0]}{backup[0] if backup else '-'}"
        ends = f"{'abcd'[m.sender]} to {'abcd'[m.receiver]}"
        return f"{m.op}{' answer' * m.is_answer} ({ends}, disk {m.disk_id}) {body}"
