"""All members and what is under way between them: the states, their successors, and what must
always hold.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple

import cbor2

from loomstand.rpc.errors import CallRefusedError
from loomstand.store.freshness import LEFT
from loomstand.store.replica import Plan, Step
from loomstand.store.rescue import case, told
from loomstand.store.views import MARGIN, Member, Record, View, newest
from loomstand.testing.model_checker.member import (
    LEASE,
    TICK,
    Cell,
    Event,
    Mark,
    Message,
    Plot,
    Rules,
    address,
    aged,
    waking,
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


class Left(NamedTuple):
    """What may still happen."""

    faults: int
    wipes: int
    changes: int
    yields: int
    rescues: int
    reads: int


class Read(NamedTuple):
    """An answer that isn't passed on yet; `asked` as the one who passes it on counts, at the
    latest.
    """

    by: int
    asked: float
    left: float


class Plain(NamedTuple):
    """A state: numbers of cells and messages, and what operators know."""

    cells: tuple[int, ...]
    fresh: tuple[int, ...]  # to be dealt with before anything else happens, the first one first
    late: tuple[int, ...]  # sorted, each once
    force: tuple[bytes | None, ...]  # by version: what a primary has put in force
    sent: tuple[int, ...]  # by version: how many contents were put
    left: Left
    away: int = -1  # who is cut off
    aside: tuple[tuple[int, Record], ...] = ()  # lost disks that may come back after a rescue
    reads: tuple[Read, ...] = ()
    going: tuple[int, ...] = ()  # who was told to stop
    gone: tuple[int, ...] = ()  # and has ended for good


class Broken(Exception):
    """An invariant doesn't hold; its words say which."""


Outcome = tuple[int, tuple[int, ...], tuple[Mark, ...]]
# a step's form of words and what goes into it, worded in traces
Label = tuple[str, tuple[Any, ...]]


@dataclass(slots=True)
class StateSpace:
    rules: Rules
    bounds: Bounds
    cells: list[Cell] = field(default_factory=list)
    messages: list[Message] = field(default_factory=list)
    numbers: dict[Cell | Message, int] = field(default_factory=dict)
    # every step of one member is worked out once: few cells make up all the states
    known: dict[tuple[int, Event], Outcome | None] = field(default_factory=dict)
    facts: list[tuple[float, int, tuple[View, ...]]] = field(default_factory=list)
    own: dict[tuple[int, tuple[Member, ...], tuple[Member, ...]], list[Event]] = field(
        default_factory=dict
    )
    older: dict[int, int] = field(default_factory=dict)
    dull: dict[tuple[int, int], bool] = field(default_factory=dict)

    # --- numbers for cells and messages

    def cell(self, cell: Cell) -> int:
        found = self.numbers.get(cell)
        if found is None:
            found = self.numbers[cell] = len(self.cells)
            self.cells.append(cell)
            t = Plot(self.rules, self.seeds(), cell).replica
            views = {v for v in (cell.record.view, cell.seen) if v is not None}
            self.facts.append((t.lease_left(0.0), cell.version, tuple(views)))
        return found

    def message(self, message: Message) -> int:
        found = self.numbers.get(message)
        if found is None:
            found = self.numbers[message] = len(self.messages)
            self.messages.append(message)
        return found

    def seeds(self) -> tuple[Member, ...]:
        return tuple(Member("abcd"[i], address(i)) for i in range(3))

    def first(self) -> Plain:
        b, cells = self.bounds, []
        view = View(1, self.seeds()[0], self.seeds()[1], self.seeds())
        for i in range(b.members):
            record = Record("abcd"[i], i < 3)
            if not b.founding and i < 3:
                record = Record("abcd"[i], True, 1, view, written=int(i < 2))
            cell = waking(i, record)
            if not b.founding:
                cell = aged(aged(cell))
                cell = cell._replace(seen=view, settled=int(i == 0), reign=i == 0)
            cells.append(self.cell(cell))
        left = Left(b.faults, b.wipes, b.changes, b.yields, b.rescues, b.reads)
        none = (None,) * b.versions
        return Plain(tuple(cells), (), (), none, (0,) * b.versions, left)

    # --- one member's steps

    def step(self, cell: int, event: Event) -> Outcome | None:
        """What comes of an event at a member; None if it's refused, so nothing."""
        key = (cell, event)
        if key not in self.known:
            plot = Plot(self.rules, self.seeds(), self.cells[cell])
            try:
                match event:
                    case ("deliver", number):
                        plot.deliver(self.messages[number])
                    case ("start", plan, epoch):
                        plot.campaign(plan, epoch)
                    case (name, *parts):
                        getattr(plot, name)(*parts)
            except CallRefusedError:
                self.known[key] = None
            else:
                out = tuple(self.message(m) for m in plot.out)
                self.known[key] = (self.cell(plot.frozen()), out, tuple(plot.marks))
        return self.known[key]

    def events(
        self, number: int, members: tuple[Member, ...], stay: tuple[Member, ...]
    ) -> list[Event]:
        """What a member may do of itself, by its own code's leave; the epoch is any that it may
        choose.

        `stay`: those of `members` that weren't told to stop.
        """
        key = (number, members, stay)
        if key in self.own:
            return self.own[key]
        cell, found = self.cells[number], list[Event]()
        me, view, work = members[cell.index], cell.record.view, cell.work
        if cell.pen is None:
            plans = Plot(self.rules, self.seeds(), cell).plans(stay)
            if work and work.stage == "put" and "own" in work.ids and view is not None:
                plans.append(self.moved(view))
            for plan in plans:
                if plan.step is Step.SETTLE:
                    found.append(("settle",))
                elif plan.step is Step.YIELD:
                    found.append(("hand_over",))
                elif "abcd"[cell.index] in self.bounds.takers:
                    most = cell.promised // MARGIN * MARGIN + self.bounds.epochs
                    epochs = range(cell.promised + 1, most + 1)
                    found += [("start", plan, e) for e in epochs]
        if work and work.stage == "backup":
            found += [("backup", m) for m in stay if m != me and m not in work.asked]
        if work and work.stage == "fetch":
            found.append(("fetch",))
        if view is not None and view.primary.id == me.id:
            fresh = {
                me.id,
                *(i for i, epoch, sent in cell.granted if sent == 0.0 and epoch == view.epoch),
            }
            # no more of them once the lease is as long as it can be
            asked = (
                []
                if view.agreed(fresh)
                else [m for m in view.electors().values() if m.id not in fresh]
            )
            found += [("beat", m) for m in asked]
        self.own[key] = [e for e in found if self.step(number, e) is not None]
        return self.own[key]

    @staticmethod
    def moved(view: View) -> Plan:
        """As `_take` plans when a backup doesn't write, whatever else is due."""
        return Plan(Step.MOVE, "", view.voters, view.former)

    def is_dull(self, cell: int, number: int) -> bool:
        """Whether a message can never matter again at a member; asked of the code, so mutants
        differ.
        """
        key = (cell, number)
        found = self.dull.get(key)
        if found is None:
            message, c = self.messages[number], self.cells[cell]
            if message.op in ("beat", "install") and message.answer:
                late = message.sent + LEASE <= 0.0
                found = not message.heeded or (
                    late and self.step(cell, ("deliver", number)) == (cell, (), ())
                )
            elif message.op == "beat":
                found = message.sent + LEASE <= 0.0  # its answer would be worth nothing
            else:
                found = self._stale(cell, c, message, number)
            self.dull[key] = found
        return found

    def _stale(self, cell: int, c: Cell, message: Message, number: int) -> bool:
        body = cbor2.loads(message.body)
        epoch = body["view"][0] if message.op == "install" else body["epoch"]
        if message.answer and not message.heeded:
            return True
        if c.pen is not None:  # refused for now only
            return False
        outcome = self.step(cell, ("deliver", number))
        if outcome is None and message.name != c.record.id and not message.answer:
            return True
        idle = outcome is None or outcome == (cell, (), ())
        # promises only grow, and those on disk for good; no work of that epoch begins any more
        over = epoch <= c.record.promised if not message.answer else epoch < c.record.promised
        return idle and over and (outcome is None or message.answer)

    # --- successors

    def members(self, state: Plain) -> tuple[Member, ...]:
        return tuple(Member(self.cells[c].record.id, address(i)) for i, c in enumerate(state.cells))

    def successors(self, state: Plain) -> Iterator[tuple[Label, Plain]]:
        if state.fresh:
            yield from self._fresh(state)
            return
        left, kinds = state.left, self.bounds.kinds
        for k, number in enumerate(state.late):
            rest = (*state.late[:k], *state.late[k + 1 :])
            at = self.messages[number].at
            if state.away in (at, self.messages[number].by):
                continue
            yield from self._take(state._replace(late=rest), at, ("deliver", number))
            if left.faults and "twice" in kinds:
                fewer = self._fault(state)
                yield from self._take(fewer, at, ("deliver", number))
        members = self.members(state)
        # who may take a place
        stay = tuple(m for i, m in enumerate(members) if i not in state.going)
        for i, number in enumerate(state.cells):
            if i in state.gone:
                continue
            if self.cells[number].pen is not None:
                yield from self._take(state, i, ("write",))
            for event in self.events(number, members, stay):
                after = self._allowed(state, event)
                if after is not None:
                    yield from self._take(after, i, event)
            yield from self._puts(state, i, number)
            yield from self._restarts(state, i, number)
            if left.faults and "cut" in kinds and state.away < 0:
                yield ("{} is cut off", (members[i].id,)), self._fault(state)._replace(away=i)
            version = self.cells[number].version
            for v in range(version + 1, self.bounds.versions + 1):
                data = state.force[v - 1]
                if data is not None:
                    yield from self._take(state, i, ("commit_news", v, data))
            if self.bounds.learners:
                yield from self._take(state, i, ("learn",))
            if left.reads and self.facts[number][0] > 0.0:
                fewer = state._replace(left=left._replace(reads=left.reads - 1))
                read = Read(i, 0.0, self.facts[number][0])
                yield ("{} is read", (members[i].id,)), fewer._replace(reads=(*state.reads, read))
            yield from self._leaves(state, i, stay)
        if state.away >= 0:
            yield ("the cut is mended", ()), state._replace(away=-1)
        yield from self._rescued(state)
        tick = self._tick(state)
        if not self.bounds.halves:
            tick = self._tick(tick)
        if tick != state:
            yield ("time passes", ()), tick

    def _fresh(self, state: Plain) -> Iterator[tuple[Label, Plain]]:
        number, rest = state.fresh[0], state.fresh[1:]
        without = state._replace(fresh=rest)
        at = self.messages[number].at
        if self.step(state.cells[at], ("deliver", number)) is None:
            if self.cells[state.cells[at]].pen is not None:  # it waits until the disk is done
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
    def _fault(state: Plain) -> Plain:
        return state._replace(left=state.left._replace(faults=state.left.faults - 1))

    def _allowed(self, state: Plain, event: Event) -> Plain | None:
        left = state.left
        if event[0] == "hand_over":
            return (
                state._replace(left=left._replace(yields=left.yields - 1)) if left.yields else None
            )
        if event[0] == "start" and event[1].former and len(event[1].former) <= len(event[1].voters):
            begins = all(
                v.voters != event[1].voters for c in state.cells for v in self.facts[c][2]
            )  # a set that no view has yet
            if begins:
                return (
                    state._replace(left=left._replace(changes=left.changes - 1))
                    if left.changes
                    else None
                )
        return state

    def _puts(self, state: Plain, i: int, number: int) -> Iterator[tuple[Label, Plain]]:
        if not self.facts[number][0] or self.cells[number].pen is not None:
            return
        for v in range(self.bounds.versions):
            # contents are alike but for being others: the first is 0, the second may be either
            for content in range(min(state.sent[v] + 1, 2)):
                sent = (*state.sent[:v], max(state.sent[v], content + 1), *state.sent[v + 1 :])
                event = ("put", v + 1, b"xy"[content : content + 1])
                yield from self._take(state._replace(sent=sent), i, event)

    def _restarts(self, state: Plain, i: int, number: int) -> Iterator[tuple[Label, Plain]]:
        cell, left = self.cells[number], state.left
        if not left.faults:
            return
        if (
            "restart" in self.bounds.kinds
            and waking(i, cell.record, cell.copy)._replace(started=cell.started) != cell
        ):  # it loses something by it
            disks = {cell.record: "is killed and starts"}
            if cell.pen is not None:
                disks.setdefault(cell.pen[0], "is killed and starts, its last write done")
            for record, words in disks.items():
                yield from self._restart(self._fault(state), i, record, words)
        if left.wipes and not (state.gone and self._missed(state)):
            id = cell.record.id if self.rules.same_id else cell.record.id + "'"
            fewer = left._replace(wipes=left.wipes - 1, faults=left.faults - 1)
            aside = ((i, cell.record),) if left.rescues else ()
            lost = state._replace(left=fewer, aside=state.aside + aside)
            yield from self._restart(
                lost, i, Record(id, False), "has lost its disk and starts", True
            )

    def _leaves(
        self, state: Plain, i: int, stay: tuple[Member, ...]
    ) -> Iterator[tuple[Label, Plain]]:
        """It is told to stop; or ends, once its own code lets it, with all in reach answering."""
        if "abcd"[i] not in self.bounds.leavers:
            return
        if i not in state.going:
            if len(state.going) < 2:
                yield (
                    ("{} is told to stop", (self.cells[state.cells[i]].record.id,)),
                    state._replace(going=tuple(sorted((*state.going, i)))),
                )
            return
        cut = state.away if state.away != i else -1
        there = tuple(m for m in stay if m.address != address(cut)) if state.away != i else ()
        if self.step(state.cells[i], ("ends", there)) is None:
            return
        gone = tuple(sorted((*state.gone, i)))
        yield (
            ("{} ends, its disk with it", (self.cells[state.cells[i]].record.id,)),
            self._tidy(state._replace(gone=gone)),
        )

    def _rescued(self, state: Plain) -> Iterator[tuple[Label, Plain]]:
        """Operators' word, where the code's own judgement lets them; later what they gave up comes
        back.
        """
        if not state.left.rescues:
            for k, (i, record) in enumerate(state.aside):
                rest = state._replace(aside=(*state.aside[:k], *state.aside[k + 1 :]))
                yield from self._restart(rest, i, record, "is back with its old disk", True)
            return
        tenures = [Plot(self.rules, self.seeds(), self.cells[c]).replica for c in state.cells]
        found = case(
            (told(t, 0.0, (0, b"")) for t in tenures), (), [m.address for m in self.seeds()]
        )
        chosen = found.chosen()
        if chosen is None or found.waits():
            return
        # what nobody in reach holds is lost
        force = tuple(d if v < found.version() else None for v, d in enumerate(state.force))
        after = state._replace(
            left=state.left._replace(rescues=state.left.rescues - 1), force=force
        )
        i = next(i for i, t in enumerate(tenures) if t.me == chosen.member)
        yield from self._take(after, i, ("rescue", found, MARGIN))

    def _restart(
        self, state: Plain, i: int, record: Record, words: str, empty: bool = False
    ) -> Iterator[tuple[Label, Plain]]:
        """Who wakes hears no answers to what it asked before, also not to what is still being
        written.
        """
        cells, late = list(state.cells), list[int]()
        for k, number in enumerate(cells):
            match self.cells[number].pen:
                case (written, (kind, Message() as call, *body)) if call.by == i:
                    then = (kind, call._replace(heeded=False), *body)
                    cells[k] = self.cell(self.cells[number]._replace(pen=(written, then)))
        copy = (0, b"") if empty else self.cells[state.cells[i]].copy
        cells[i] = self.cell(waking(i, record, copy))
        for number in state.late:
            m = self.messages[number]
            if m.heeded and (m.at if m.answer else m.by) == i:
                number = self.message(m._replace(heeded=False))
            late.append(number)
        after = state._replace(cells=tuple(cells), late=tuple(sorted({*late})))
        label = ("{} " + words, (self.cells[state.cells[i]].record.id,))
        views = (v for c in after.cells for v in self.facts[c][2])
        view = newest(*views) if self.bounds.rescues else None
        if view is None:
            yield label, self._tidy(after)
        for _, greeted in self._take(after, i, ("greet", view)) if view else ():
            yield label, greeted

    def _take(self, state: Plain, i: int, event: Event) -> Iterator[tuple[Label, Plain]]:
        """One event at a member; what it writes for it is on disk at once, or under way."""
        outcome = self.step(state.cells[i], event)
        if outcome is None:
            return
        before, words = state.cells[i], "{}: {}"
        while True:
            number, out, marks = outcome
            after = self._after(state, i, number, out, marks)
            if (
                self.cells[number].pen is None
                or self.cells[number].pen == self.cells[state.cells[i]].pen
            ):
                yield (words, (before, event)), after
                return
            if state.left.faults and "slow" in self.bounds.kinds:
                yield (words + ", its write slow", (before, event)), self._fault(after)
            outcome = self.step(number, ("write",))
            assert outcome is not None
            state = after

    def _after(
        self, state: Plain, i: int, number: int, out: tuple[int, ...], marks: tuple[Mark, ...]
    ) -> Plain:
        cells = (*state.cells[:i], number, *state.cells[i + 1 :])
        force = state.force
        for mark in marks:
            if mark[0] == "broken":
                raise Broken(mark[1])
            kind, version, data = mark
            if kind == "copied":
                if force[version - 1] != data:
                    raise Broken("(f) a copy has what was never in force")
            elif version:
                if force[version - 1] not in (None, data):
                    raise Broken(f"(c) version {version} has two contents in force")
                force = (*force[: version - 1], data, *force[version:])
        if state.away >= 0 and out:
            out = tuple(
                n for n in out if state.away not in (self.messages[n].by, self.messages[n].at)
            )
        return self._tidy(state._replace(cells=cells, fresh=state.fresh + out, force=force))

    def _tidy(self, state: Plain) -> Plain:
        if not state.fresh and not state.late:
            return state
        if state.gone:
            fresh = tuple(n for n in state.fresh if self.messages[n].at not in state.gone)
            late = tuple(n for n in state.late if self.messages[n].at not in state.gone)
            state = state._replace(fresh=fresh, late=late)
        cells, messages, dull = state.cells, self.messages, self.is_dull
        fresh = tuple(n for n in state.fresh if not dull(cells[messages[n].at], n))
        late = tuple(n for n in state.late if not dull(cells[messages[n].at], n))
        return state._replace(fresh=fresh, late=late)

    def _tick(self, state: Plain) -> Plain:
        late = []
        for number in state.late:
            m = self.messages[number]
            timed = m.op in ("beat", "install")
            late.append(
                self.message(m._replace(sent=max(m.sent - TICK, -2 * TICK))) if timed else number
            )
        cells = []
        for c in state.cells:
            if c not in self.older:
                self.older[c] = self.cell(aged(self.cells[c]))
            cells.append(self.older[c])
        reads = tuple(
            r for r in (r._replace(asked=r.asked - TICK) for r in state.reads) if self._passes(r)
        )
        return self._tidy(
            state._replace(cells=tuple(cells), late=tuple(sorted({*late})), reads=reads)
        )

    def _passes(self, read: Read) -> bool:
        """Whether that may be passed on now, however long its asker waited."""
        return (
            read.asked > -4 * TICK
            and self.rules.passes({LEFT: read.left}, read.asked, 0.0, 1e9) > 0.0
        )

    # --- what must hold

    def check(self, state: Plain) -> None:
        """Raises Broken unless, in this state and the step to it:

        (a) Whoever serves (its lease stands, so it answers reads and may acknowledge) holds at
        least the
            newest version that a primary has put in force, though one disk be lost and members be
            away.
        (b) No two members serve at one moment, and no two views of one epoch are known: one primary
        an epoch. (c) A member's committed version never goes back in a life (looked at in
        Plot.frozen), and a version
            put in force never has a second content (looked at as marks are taken in).
        (d) No disk answers in the name of another one, nor under the id of one that was lost
        (looked at in
            Plot.reply; a new disk under the old id is found here).
        (e) What was read of one member isn't passed on while another one serves. (f) A copy beside
        the view's disks has only what was in force (looked at as marks are taken in). (g) Once
        members were told to stop, those that are left can agree on a view, and one has its data.
        """
        facts = [self.facts[c] for c in state.cells]
        for read in state.reads:
            if any(f[0] > 0.0 and i != read.by for i, f in enumerate(facts)) and self._passes(read):
                raise Broken("(e) what one said to be in force is passed on while another serves")
        if state.going:
            self._check_left(state)
        serving = [f for i, f in enumerate(facts) if f[0] > 0.0 and i not in state.gone]
        if len(serving) > 1:
            raise Broken("(b) two members serve")
        newest = max((v + 1 for v, data in enumerate(state.force) if data is not None), default=0)
        if serving and serving[0][1] < newest:
            raise Broken(f"(a) version {newest} was in force and is lost")
        views: dict[int, View] = {}
        for known in (f[2] for f in facts):
            for view in known:
                if views.setdefault(view.epoch, view) != view:
                    raise Broken(f"(b) two views of epoch {view.epoch}")
        for c in state.cells:
            record = self.cells[c].record
            if not record.founder and record.id in "abc":
                raise Broken(f"(d) a disk that is new votes as {record.id}")

    def _left(self, state: Plain) -> tuple[View | None, list[str]]:
        """The newest view that those know who didn't end, and their disks."""
        cells = [self.cells[c] for i, c in enumerate(state.cells) if i not in state.gone]
        return newest(*(v for c in cells for v in (c.record.view, c.seen))), [
            c.record.id for c in cells
        ]

    def _missed(self, state: Plain) -> bool:
        """Whether a member that ended has nobody in its place: it counts as the one loss that is
        borne.
        """
        view, _ = self._left(state)
        names = replace(view, former=()).named() if view else {}
        return any(self.cells[state.cells[i]].record.id in names for i in state.gone)

    def _check_left(self, state: Plain) -> None:
        view, ids = self._left(state)
        if view is not None and not view.agreed(ids):
            raise Broken("(g) those that are left can't agree any more")
        if view is not None and not any(view.holds(id) for id in ids):
            raise Broken("(g) nobody that is left has the data")

    # --- words for a trace

    def words(self, step: Label) -> str:
        form, parts = step
        match parts:
            case (int() as before, tuple() as event):
                return form.format(self.cells[before].record.id, self._event(event))
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
                voters, former = ("".join(m.id for m in ms) for ms in (plan.voters, plan.former))
                return f"{plan.step.value}: epoch {epoch}, voters {voters}" + (
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
