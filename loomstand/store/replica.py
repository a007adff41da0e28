"""One member's part in agreeing on primary, backup and voters: a machine without clock, disk or
net.

`now` is always a steady clock's seconds. The driver writes each Record returned here to disk, gives
it back by `wrote`, and only then answers. What holds it together:

- A configuration is in force once primary and backup of a view have it on disk. Whoever wants to
  end that
  view needs promises from its electors and the data of one of those two, who by handing it out
  promise to write nothing more under it. So either of them has all that was ever acknowledged.
- A voter grants the lease only to the primary of the view on its own disk, and only while it has
  promised
  nothing higher. So a lease from the electors says besides that the view stands with them.
- While a grant stands nobody else is promised anything: no two members serve at one moment.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any

from loomstand.rpc import Address
from loomstand.rpc.errors import CallRefusedError
from loomstand.store.change_history import NONE, ChangeHistory, digest
from loomstand.store.views import Member, Record, View, newest

BEAT = 0.25  # s between two beats to the same store: four fit into a lease
LEASE = 1.2  # s from the sending of a beat for which its grant counts: a takeover ends within 3 s
# s from its receipt for which the voter keeps it: longer, so that clocks' rates may differ by 4%
HOLD = 1.25
SILENT = 0.8  # s without an answer after which a backup counts as gone: three beats
ABSENT = 2.5  # s without an answer after which a voter is replaced: a restart is over by then
# s after which an address that nobody answers at is dropped, but for seeds' and voters'
FORGET = 30.0
FOUNDING = 4.0  # s for which a founder waits for all seeds, before a majority of them is enough
RANK = 0.6  # s between two voters' candidacies: two rounds and their writes, on a slow link
DOUBT = 5.0  # s for which a member whose disk failed isn't chosen
VOTERS = 3  # votes are spread over that many, so that one may be lost


class State(Enum):
    FIT = 0
    SICK = 1  # its disk hangs or refuses
    LEAVING = 2


class Step(Enum):
    FOUND = "founds"  # the first view of all
    TAKE = "takes over"
    MOVE = "changes its view"  # as the primary, its lease standing
    SETTLE = "settles"  # what it holds goes to the backup once more
    YIELD = "hands over"
    RESCUE = "is founded anew"  # by operators' word


@dataclass(frozen=True, slots=True)
class Plan:
    """What a member should do next. `voters` and `former` are those of the view that would come of
    it.
    """

    step: Step
    why: str
    voters: tuple[Member, ...] = ()
    former: tuple[Member, ...] = ()


@dataclass(slots=True)
class Peer:
    """Another store, as its beats and answers tell."""

    id: str = ""
    state: State = State.FIT
    answered: float = -1e9  # when it last answered a beat of ours
    known: float = 0.0  # when its address was last told of
    epoch: int = 0  # of the view on its disk
    seen: int = 0  # of the newest view that it knows
    promised: int = 0
    version: int = 0  # committed, as it holds it
    founder: bool = False


@dataclass(slots=True)
class Replica:
    me: Member
    seeds: tuple[Address, ...]
    record: Record
    started: float
    rng: random.Random = field(repr=False)
    promised: int = 0  # never under the record's: raised before the disk is asked
    promised_to: str = ""
    seen: View | None = None
    peers: dict[Address, Peer] = field(default_factory=dict)
    heard: dict[str, float] = field(default_factory=dict)  # id: when that very disk last answered
    holder: str = ""  # whom this voter has granted the lease, and until when
    hold: float = -1e9
    # id: epoch, when the beat was sent
    granted: dict[str, tuple[int, float]] = field(default_factory=dict)
    settled: int = 0  # the epoch under which the backup wrote, in this life, what the record holds
    reign: bool = False  # what a primary holds when it begins has been committed
    version: int = 0  # the newest committed
    data: bytes = b""
    orders: ChangeHistory = NONE  # of what was acknowledged, while it reigns
    fetched: ChangeHistory = NONE  # that came with the configuration that a candidate was handed
    informed: bool = False  # that is from a serving primary, if only by way of others
    state: State = State.FIT
    doubted: dict[str, float] = field(default_factory=dict)
    top: int = 0  # the highest epoch that anybody said to have promised
    quiet: float = -1e9  # until when it doesn't stand: another just has, or itself in vain

    def __post_init__(self) -> None:
        self.promised = self.record.promised
        self.seen = self.record.view
        self.touch(self.started, self.seeds)

    # --- who is there

    def touch(self, now: float, addresses: Iterable[Address]) -> None:
        for address in addresses:
            if address != self.me.address:
                self.peers.setdefault(address, Peer()).known = now

    def seed(self, now: float, seeds: tuple[Address, ...]) -> None:
        """The settings name other seeds; those of the first start decide until there is a view."""
        if seeds != self.seeds and self.seen is not None:
            self.seeds = seeds
            self.touch(now, seeds)

    def forget(self, now: float) -> None:
        keep = {
            *self.seeds,
            *(m.address for m in (self.seen.named().values() if self.seen else ())),
        }
        for address in [
            a for a, p in self.peers.items() if a not in keep and now - p.known > FORGET
        ]:
            del self.peers[address]

    def silence(self, now: float, member: Member) -> float:
        """Seconds since that disk answered; as good as for ever if another one answers in its
        place.
        """
        if member.id == self.me.id:
            return 0.0
        peer = self.peers.get(member.address)
        if peer is not None and peer.id not in ("", member.id) and now - peer.answered < SILENT:
            return 1e9
        return now - max(self.heard.get(member.id, -1e9), self.started)

    def usable(self, now: float, member: Member) -> bool:
        peer = self.peers.get(member.address)
        return (
            member.id in self.heard
            and self.silence(now, member) < SILENT
            and peer is not None
            and peer.state is State.FIT
        )

    def doubts(self, now: float, member: Member) -> bool:
        """Whether it has just failed to write: others come first, but it's better than nobody."""
        return self.doubted.get(member.id, -1e9) > now

    def live(self, now: float) -> list[Member]:
        """All others that answer and are fit, by address."""
        found = [Member(p.id, a) for a, p in self.peers.items() if p.id]
        return sorted((m for m in found if self.usable(now, m)), key=lambda m: m.address)

    def cores(self, now: float) -> list[Address]:
        near = [a for a, p in self.peers.items() if now - p.answered < ABSENT]
        return sorted([*near, self.me.address])

    def backups(self, now: float, base: View | None) -> list[Member]:
        """Whom to make the backup, best first: the present one, voters, another network than this
        one's.
        """
        votes = base.electors() if base else {}
        zone = self.me.address[0].rsplit(".", 2)[0]

        def order(m: Member) -> tuple[bool, bool, bool, bool, Address]:
            holds, near = base is not None and base.holds(m.id), m.address[0].startswith(zone)
            return (self.doubts(now, m), not holds, m.id not in votes, near, m.address)

        return sorted(self.live(now), key=order)

    def doubt(self, now: float, member: Member) -> None:
        self.doubted[member.id] = now + DOUBT

    def notice(self, view: View | None) -> None:
        if view is not None and (self.seen is None or view.epoch > self.seen.epoch):
            self.seen = view
            # its own view was given up: no more service or vote under it
            if view.rescue > self._rescue():
                self._raise(view.epoch, view.primary.id)

    def _rescue(self) -> int:
        return self.record.view.rescue if self.record.view else 0

    def fenced(self) -> Record | None:
        """What to write once it was fenced so, as a restart must not make it forget; None if that's
        done.
        """
        late = self.seen is not None and self.seen.rescue > self._rescue()
        if not late or self.record.promised >= self.promised:
            return None
        return replace(self.record, promised=self.promised)

    # --- beats

    def beat(self, now: float, address: Address) -> dict[str, Any]:
        """The body of a beat to `address`, or of the answer to one from there."""
        peer, view = self.peers.get(address) or Peer(), self.record.view
        mine = self.seen.epoch if self.seen else 0
        asks = view is not None and self.owns() and self.state is not State.SICK
        return {
            "member": self.me.body(),
            "state": self.state.value,
            "founder": self.record.founder,
            "epoch": view.epoch if view else 0,
            "seen": mine,
            "promised": self.promised,
            "version": self.version if self.informed else -1,
            "view": self.seen.body() if self.seen and peer.seen < mine else None,
            "ask": view.epoch if view is not None and asks else 0,
        }

    def owns(self) -> bool:
        """Whether the view on disk makes it primary and nothing higher was promised, not even by
        itself.
        """
        view = self.record.view
        return view is not None and view.primary.id == self.me.id and self.promised == view.epoch

    def hear(self, now: float, body: dict[str, Any]) -> Peer:
        """Takes in what a beat or an answer tells of its sender."""
        member = Member.read(body["member"])
        self.touch(now, [member.address])
        peer = self.peers.get(member.address) or Peer()
        if peer.id != member.id:
            peer.id, peer.answered = member.id, -1e9
        peer.state, peer.founder = State(body["state"]), bool(body["founder"])
        peer.epoch, peer.promised, peer.version = body["epoch"], body["promised"], body["version"]
        peer.seen = body["seen"]
        self.notice(View.read(body["view"]))
        return peer

    def on_beat(self, now: float, body: dict[str, Any]) -> dict[str, Any]:
        self.hear(now, body)
        member, epoch, view = Member.read(body["member"]), body["ask"], self.record.view
        grant = 0
        if view is not None and view.primary == member and epoch == view.epoch == self.promised:
            self.holder, self.hold, grant = member.id, now + HOLD, epoch
        known = [[*a] for a, p in self.peers.items() if now - p.answered < SILENT]
        return self.beat(now, member.address) | {"granted": grant, "known": known}

    def on_answer(self, now: float, sent: float, body: dict[str, Any]) -> Peer:
        peer = self.hear(now, body)
        member = Member.read(body["member"])
        if member.address in self.peers:  # not an echo of our own
            peer.answered = self.heard[member.id] = now
            self.touch(now, [(str(h), int(p)) for h, p in body["known"]])
            self.on_grant(member.id, body["granted"], sent)
        return peer

    # --- the lease

    def on_grant(self, id: str, epoch: int, sent: float) -> None:
        view = self.record.view
        if view is not None and epoch == view.epoch and view.primary.id == self.me.id:
            self.granted[id] = (epoch, max(sent, self.granted.get(id, (0, -1e9))[1]))

    def _lease(self, now: float, epoch: int) -> float:
        """Seconds that the grants given since `epoch` last, 0 if they aren't the electors'
        agreement.
        """
        view = self.record.view
        if view is None or view.primary.id != self.me.id:
            return 0.0
        if self.promised != view.epoch and self.promised_to != self.me.id:
            return 0.0
        own = (view.epoch, now)  # it promises nobody else anything while the others' grants stand
        grants = self.granted | {self.me.id: own}
        ids: set[str] = set()
        for id, (since, sent) in sorted(grants.items(), key=lambda g: -g[1][1]):
            if since >= epoch:
                ids.add(id)
                if view.agreed(ids):
                    return max(0.0, sent + LEASE - now)
        return 0.0

    def lease_left(self, now: float) -> float:
        """Seconds for which nobody else can be serving, while this member is; 0 if it isn't.

        Grants of an earlier epoch of the same reign count: they bar the others just as well while
        it changes its own view, and nothing is written under the new one before the electors have
        that.
        """
        return self._lease(now, 0) if self.reign else 0.0

    def leads(self, now: float) -> bool:
        """Whether the view on disk stands with its electors, with this member as its primary."""
        return self.owns() and self._lease(now, self.promised) > 0.0

    def writes(self, now: float) -> bool:
        """Whether a change may be taken, or one that both have written be acknowledged."""
        return self.leads(now) and self.reign and self.state is not State.SICK

    def crown(self, now: float) -> bool:
        """Commits what was settled before the lease came; whether anything changed by it."""
        if self.reign or not self.leads(now) or self.settled != self.promised:
            return False
        self.reign = True
        # of an earlier reign; its record has what was written with it
        self.orders = self.fetched = NONE
        self.commit(self.record.version, self.record.data)
        return True

    def commit(self, version: int, data: bytes) -> bool:
        news = version > self.version or not self.informed
        if self.reign and (version, data) == (self.record.version, self.record.data):
            self.orders = self.orders_with(version, data)
        if version > self.version:
            self.version, self.data = version, data
        self.informed = True
        return news

    def orders_with(self, version: int, data: bytes) -> ChangeHistory:
        """What is to be written together with a configuration: what was acknowledged before, and
        it.
        """
        if not version:
            return NONE
        content, known = digest(data), self.orders if self.reign else NONE
        found = (known, self.fetched, self.record.orders)
        return next((o for o in found if o.ends(version, content)), known.after(version, content))

    def resign(self) -> None:
        """Before it stands for an election: what counts from here on is given anew."""
        self.granted.clear()
        self.reign, self.settled = False, 0

    # --- what other members ask: each returns the record that has to be on disk before the answer
    # goes

    def may_promise(self, now: float, epoch: int, asker: str, released: int) -> bool:
        view = self.record.view
        if epoch <= self.promised or (asker != self.me.id and self.lease_left(now) > 0.0):
            return False
        if view is None or released >= view.epoch:
            return True
        if now < self.hold and self.holder != asker:
            return False
        # what this disk granted in an earlier life may stand until then
        return view.primary.id == asker or now >= self.started + HOLD

    def promise(self, now: float, epoch: int, asker: str, released: int) -> Record:
        if not self.may_promise(now, epoch, asker, released):
            raise CallRefusedError("promises nothing now")
        self._raise(epoch, asker)
        if asker != self.me.id:
            self.quiet = max(self.quiet, now + RANK)
        return replace(self.record, promised=epoch)

    def _raise(self, epoch: int, to: str) -> None:
        if epoch > self.promised:
            self.promised, self.promised_to = epoch, to
            if to != self.me.id:
                self.reign = False

    def mine(self, to: str) -> None:
        if to != self.me.id:  # asked of the disk that was here before
            raise CallRefusedError("another disk")

    def keep(
        self, epoch: int, asker: str, version: int, data: bytes, orders: ChangeHistory = NONE
    ) -> Record:
        """The primary's write, or a candidate's copy; `orders` as the asker has them.

        Within an epoch versions only grow: bytes that a cut held up may come after later ones.
        """
        if epoch < self.promised:
            raise CallRefusedError("a newer epoch")
        held = self.record
        if (
            epoch == held.written
            and version <= held.version
            and (version, data) != (held.version, held.data)
        ):
            raise CallRefusedError("a later write")
        self._raise(epoch, asker)
        return replace(
            held, promised=epoch, version=version, data=data, written=epoch, orders=orders
        )

    def own(self, epoch: int, version: int, data: bytes) -> Record:
        """The primary's write to its own disk."""
        if epoch != self.promised:
            raise CallRefusedError("a newer epoch")
        orders = self.orders_with(version, data)
        return replace(
            self.record, promised=epoch, version=version, data=data, written=epoch, orders=orders
        )

    def fetch(self, epoch: int, asker: str) -> Record:
        if epoch < self.promised:
            raise CallRefusedError("a newer epoch")
        self._raise(epoch, asker)
        return replace(self.record, promised=epoch)

    def install(self, view: View) -> Record:
        if view.epoch < self.promised or self.me.id not in view.named():
            raise CallRefusedError("not its view")
        self._raise(view.epoch, view.primary.id)
        return replace(self.record, promised=view.epoch, view=view)

    def wrote(self, now: float, record: Record) -> None:
        """The record is on disk. A view that was installed is a grant to its primary."""
        view, self.record = record.view, record
        if view is not None:
            self.notice(view)
            if view.primary.id != self.me.id:
                self.granted.clear()
                self.reign = False

    def renew(self, now: float, view: View) -> None:
        """A view that was installed is a grant to its primary, unless more was promised
        meanwhile.
        """
        if self.promised != view.epoch or self.record.view != view:
            raise CallRefusedError("a newer epoch")
        self.holder, self.hold = view.primary.id, now + HOLD

    # --- what to do next

    def base(self) -> View | None:
        return newest(self.record.view, self.seen)

    def due(self, now: float) -> Plan | None:
        view = self.record.view
        if view is not None and (self.lease_left(now) > 0.0 or self.leads(now)):
            return self._upkeep(now, view)
        if now < self.quiet or self.state is State.SICK:
            return None
        base = self.base()
        return self._found(now) if base is None else self._stand(now, base)

    def _upkeep(self, now: float, view: View) -> Plan | None:
        """As the primary: one change at a time, the backup's place first."""
        if now < self.quiet:
            return None
        live = self.live(now)
        spare = bool(live)
        better = any(not self.doubts(now, m) for m in live)
        well = view.backup is not None and self.usable(now, view.backup)
        lost = view.backup is None or (not well and self.unusable(now, view.backup))
        lost = lost or (view.backup is not None and better and self.doubts(now, view.backup))
        same = Plan(Step.MOVE, "", view.voters, view.former)
        if lost and spare:
            return replace(same, why="its backup is gone or unfit")
        if self.promised > view.epoch or any(
            p.promised > view.epoch and p.id in view.named() for p in self.peers.values()
        ):
            return replace(same, why="a higher epoch was promised") if well else None
        if not self.leads(now):
            return None
        if self.settled != view.epoch or self.record.version > self.version:
            settles = Plan(Step.SETTLE, "its backup may not hold all")
            return settles if well or view.backup is None else None
        if not well:
            return None
        if view.former:
            return Plan(Step.MOVE, "the change of voters stands", view.voters)
        if self.state is State.LEAVING:
            return Plan(Step.YIELD, "it leaves")
        return self._voters(now, view, live)

    def unusable(self, now: float, member: Member) -> bool:
        """Whether it's silent, leaves, or its disk is sick; not if it just wasn't heard yet."""
        if self.silence(now, member) >= SILENT:
            return True
        peer = self.peers.get(member.address)
        return peer is not None and peer.id == member.id and peer.state is not State.FIT

    def _voters(self, now: float, view: View, live: list[Member]) -> Plan | None:
        votes = {m.id for m in view.voters}
        stand_by = [m for m in live if m.id not in votes]
        if not stand_by:
            return None
        # a backup without a vote comes first, as it has to be told of views anyway
        stand_by.sort(key=lambda m: not view.holds(m.id))
        gone = [m for m in view.voters if self.silence(now, m) >= ABSENT or self._leaves(m)]
        if gone:
            rest = tuple(m for m in view.voters if m != gone[0])
            return Plan(
                Step.MOVE, f"{gone[0].address[0]} is replaced", (*rest, stand_by[0]), view.voters
            )
        if len(view.voters) < VOTERS:
            return Plan(Step.MOVE, "one more votes", (*view.voters, stand_by[0]), view.voters)
        return None

    def _leaves(self, member: Member) -> bool:
        if member.id == self.me.id:
            return self.state is State.LEAVING
        peer = self.peers.get(member.address)
        return peer is not None and peer.id == member.id and peer.state is State.LEAVING

    def _stand(self, now: float, base: View) -> Plan | None:
        """As a voter whose grant has run out: the backup first, the others by their places."""
        if self.me.id not in base.electors() and not base.holds(self.me.id):
            return None
        free = max(self.hold, self.started + HOLD)
        if base.primary.id == self.me.id and self.owns() and not self._outbid(base):
            # its beats ask for the lease again; only a higher promise keeps it from coming
            return None
        order = sorted(base.electors().values(), key=lambda m: (m.id != base.primary.id, m.address))
        rank = next((i for i, m in enumerate(order) if m.id == self.me.id), 0) + 1
        wait = 0.2 if self.me.id in self._first(base, order) else rank * RANK
        if self.state is State.LEAVING:
            wait += RANK * VOTERS
        return (
            Plan(Step.TAKE, "no lease stands", base.voters, base.former)
            if now >= free + wait
            else None
        )

    def _first(self, base: View, order: list[Member]) -> set[str]:
        """Who stands without waiting for its place: the backup; where that leaves, one that stays
        as well, so that its copy, maybe the only one, is fetched before it ends.
        """
        if base.backup is None:
            return set()
        stays = [m for m in order if not base.holds(m.id) and not self._leaves(m)]
        return {base.backup.id, *(m.id for m in stays[:1] if self._leaves(base.backup))}

    def _outbid(self, base: View) -> bool:
        return any(p.promised > base.epoch and p.id in base.electors() for p in self.peers.values())

    def _found(self, now: float) -> Plan | None:
        if not self.record.founder or self.me.address not in self.seeds:
            return None
        heard = [a for a in self.seeds if a == self.me.address or self._founds(now, a)]
        full = len(heard) == len(self.seeds)
        waited = now - self.started - FOUNDING - RANK * sorted(heard).index(self.me.address)
        if (full and min(heard) == self.me.address) or (
            len(heard) * 2 > len(self.seeds) and waited >= 0.0
        ):
            return Plan(Step.FOUND, "nobody has a view")
        return None

    def _founds(self, now: float, address: Address) -> bool:
        peer = self.peers.get(address)
        return peer is not None and peer.founder and peer.seen == 0 and now - peer.answered < SILENT

    def postpone(self, now: float) -> None:
        """An attempt failed: the next comes after a while, by chance not at another's moment."""
        self.quiet = max(self.quiet, now + 0.2 + 0.3 * self.rng.random())

    def free(self, now: float) -> bool:
        """Whether a leaving member can go: no view known names it, or nobody is there to take its
        place and the others need neither its data nor its vote.
        """
        if self.promised > (self.seen.epoch if self.seen else 0):
            return False  # a view that names it may stand, of which it hasn't heard yet
        if self.seen is None or self.me.id not in self.seen.named():
            return True
        live, votes = self.live(now), self.seen.electors()
        # a backup without a vote may take a place as well; a change under way needs those before
        # it, too
        if any(m.id not in votes for m in live) or self.seen.former:
            return False
        return not self.seen.holds(self.me.id) and self.seen.agreed([m.id for m in live])
