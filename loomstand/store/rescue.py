"""The rescue: what is found where more was lost than the store bears, whether operators may have it
founded anew, and the view that comes of it (docs/rescue.md). Decisions only; aid.py makes the
calls.
"""

from __future__ import annotations

import json
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from hashlib import sha256
from random import Random
from typing import Any

from loomstand.rpc import Address
from loomstand.store.ballot import Ballot, Held
from loomstand.store.replica import VOTERS, Plan, Replica, State, Step
from loomstand.store.views import MARGIN, Member, View, newest

# Where in its million a rescue's epoch falls is drawn, so that two rescues on both sides of a cut,
# which operators shouldn't make, don't have one epoch: the higher view prevails once they meet.
DRAWN = MARGIN // 10
# s for which a member must have run: limiters and registries hand back what they hold within two.
SETTLED = 4.0


@dataclass(frozen=True, slots=True)
class Told:
    """What one member says of itself. Versions are 0 where it holds none."""

    member: Member
    state: State
    founder: bool
    age: float  # s since its start
    serves: float  # s that its lease lasts
    known: int  # the highest epoch that it promised or knows of
    view: View | None  # the newest that it knows
    force: int  # the version that it knows to have been in force
    offered: int  # the highest that registries or limiters gave back since its start
    disk: int  # the version on its disk, in force or not

    @property
    def best(self) -> int:
        return max(self.force, self.offered, self.disk)

    def body(self) -> dict[str, Any]:
        return {
            "member": self.member.body(),
            "state": self.state.value,
            "founder": self.founder,
            "age": self.age,
            "serves": self.serves,
            "known": self.known,
            "view": self.view.body() if self.view else None,
            "force": self.force,
            "offered": self.offered,
            "disk": self.disk,
        }

    @staticmethod
    def read(body: dict[str, Any]) -> Told:
        return Told(
            Member.read(body["member"]),
            State(body["state"]),
            bool(body["founder"]),
            float(body["age"]),
            float(body["serves"]),
            int(body["known"]),
            View.read(body["view"]),
            int(body["force"]),
            int(body["offered"]),
            int(body["disk"]),
        )


def told(replica: Replica, now: float, offered: Held) -> Told:
    """What this member says."""
    view, record = replica.base(), replica.record
    known = max(replica.top, replica.promised, *(p.promised for p in replica.peers.values()), 0)
    known = max(known, view.epoch if view else 0)
    return Told(
        replica.me,
        replica.state,
        record.founder,
        now - replica.started,
        replica.lease_left(now),
        known,
        view,
        replica.version,
        offered[0],
        record.version,
    )


def best(replica: Replica, offered: Held) -> Held:
    """The newest that a member holds; of one version what was in force goes before what is on disk
    only.
    """
    record = replica.record
    held = [(replica.version, replica.data), offered, (record.version, record.data)]
    return max(held, key=lambda h: h[0])


@dataclass(frozen=True, slots=True)
class Case:
    """What all in reach say together. `gone`: the hosts that operators vouch never come back."""

    told: tuple[Told, ...]
    view: View | None  # the newest known
    gone: frozenset[str]
    alone: bool  # the core has one machine by its seeds

    def reach(self) -> list[Told]:
        """All whose disks are well, by address; they make up the store after a rescue."""
        fit = [
            t for t in self.told if t.state is State.FIT and t.member.address[0] not in self.gone
        ]
        return sorted(fit, key=lambda t: t.member.address)

    def chosen(self) -> Told | None:
        """Who is to found the view: the newest version, then the address."""
        # of one version, what was in force goes before what may only have been written
        return max(
            self.reach(), key=lambda t: (t.best, t.best in (t.force, t.offered)), default=None
        )

    def version(self) -> int:
        return max((t.best for t in self.told), default=0)

    def floor(self) -> int:
        return max((t.known for t in self.told), default=0)

    def lost(self) -> list[Member]:
        """The newest view's members whose disks aren't in reach."""
        there = {t.member.id for t in self.reach()}
        named = self.view.named().values() if self.view else ()
        return sorted((m for m in named if m.id not in there), key=lambda m: m.address)

    def waits(self) -> list[str]:
        """Why nothing may be done; empty if a rescue is due and all that it gives up is vouched
        for.
        """
        out = [
            f"{t.member.address[0]} serves: nothing is lost" for t in self.told if t.serves > 0.0
        ]
        if out:
            return out
        reach, view = self.reach(), self.view
        ids = {t.member.id for t in self.told if t.state is State.FIT}
        if view is not None:
            data = [m for m in view.named().values() if view.holds(m.id) and m.id in ids]
            bound = (
                self.floor() // MARGIN > view.rescue // MARGIN
            )  # a rescue broke off: it can't go on by itself
            if view.agreed(ids) and data and not bound:
                why = f"a majority of the voters of epoch {view.epoch} answers"
                holder = data[0].address[0]
                recovers = "the store recovers by itself, within seconds"
                return [f"{why}, and {holder} has the data: {recovers}"]
        elif any(t.founder for t in self.told):
            out.append(
                "this is the first start: the store founds itself once a majority of the seeds is "
                "there"
            )
        out += [why for m in self.lost() if (why := self._missing(m))]
        out += [f"{host}: {why}" for host in sorted(self.gone) if (why := self._alive(host))]
        young = [t.member.address[0] for t in reach if t.age < SETTLED]
        out += [
            f"{host} has run for less than {SETTLED:g} s: limiters may hold more" for host in young
        ]
        if len(reach) < (1 if self.alone else 2):
            out.append(
                "two machines with disks that are well are needed: an acknowledgement stands for "
                "two disks"
            )
        chosen = self.chosen()
        if chosen is not None and chosen.best < self.version():
            holder = max(self.told, key=lambda t: t.best).member.address[0]
            if holder not in self.gone:
                out.append(
                    f"only {holder} holds r{self.version()}, and its disk is in trouble: mend "
                    "that first"
                )
        return out

    def _missing(self, member: Member) -> str:
        """Why a member of the newest view still counts, though it isn't in reach."""
        host = member.address[0]
        here = next((t for t in self.told if t.member.address == member.address), None)
        if host in self.gone or (here is not None and here.member.id != member.id):
            return ""  # vouched for, or seen: another disk is in its place
        trouble = " doesn't answer"
        if here is not None:
            trouble = "'s disk is in trouble" if here.state is State.SICK else " leaves"
        return f"{host}{trouble}: bring it back, or name it if it is gone for good (--gone {host})"

    def _alive(self, host: str) -> str:
        here = next((t for t in self.told if t.member.address[0] == host), None)
        if here is not None and here.state is State.FIT:
            return "named as gone, and answers"
        named = self.view.named().values() if self.view else ()
        return (
            ""
            if any(m.address[0] == host for m in named)
            else "named as gone, and has no part in the newest view"
        )

    def token(self) -> str:
        """The words by which operators say that this very state is the one that they looked at."""
        view, chosen = self.view, self.chosen()
        state = [
            self.floor(),
            view.epoch if view else 0,
            sorted(view.named() if view else ()),
            sorted(self.gone),
            [[t.member.id, t.best] for t in self.reach()],
            chosen.member.id if chosen else "",
            self.version(),
        ]
        return f"{view.epoch if view else 0}-{sha256(json.dumps(state).encode()).hexdigest()[:12]}"

    def body(self) -> dict[str, Any]:
        """For operators; no configuration is in it."""
        view, chosen, lost = self.view, self.chosen(), {m.id for m in self.lost()}
        named = sorted(view.named().values(), key=lambda m: m.address) if view else []
        return {
            "epoch": view.epoch if view else 0,
            "known": self.floor(),
            "members": [
                {
                    "host": m.address[0],
                    "id": m.id,
                    "votes": view is not None and m.id in view.electors(),
                    "data": view is not None and view.holds(m.id),
                    "lost": m.id in lost,
                }
                for m in named
            ],
            "reach": [
                {
                    "host": t.member.address[0],
                    "id": t.member.id,
                    "disk_in_trouble": t.state is State.SICK,
                    "in_force": f"r{t.force}",
                    "given_back": f"r{t.offered}",
                    "on_disk": f"r{t.disk}",
                }
                for t in sorted(self.told, key=lambda t: t.member.address)
            ],
            "gone": sorted(self.gone),
            "version": f"r{self.version()}",
            "chosen": chosen.member.address[0] if chosen else None,
            "waits": self.waits(),
            "token": self.token(),
        }


@dataclass(frozen=True, slots=True)
class Rescue(Ballot):
    """A campaign for which all in reach must promise, in the place of electors that are no more.

    That all of them do bars two rescues from one reach: where two overlap, one doesn't get a
    promise, or its writes. A grant that stands somewhere in reach keeps its giver from promising:
    no primary is passed over.
    """

    case: Case
    held: Held  # what the member that stands brings
    drawn: int

    def epoch(self, known: int) -> int:
        return (max(known, self.case.floor()) // MARGIN + 1) * MARGIN + self.drawn

    def electors(self, replica: Replica) -> list[Member]:
        return [t.member for t in self.case.reach()]

    def agreed(self, replica: Replica, ids: Collection[str]) -> bool:
        return all(m.id in ids for m in self.electors(replica))

    def own(self, replica: Replica) -> Held | None:
        return self.held

    def takes(self, backup: Member, promised: Collection[str]) -> bool:
        """An old disk that comes back in this moment may still grant a lease of its old view."""
        return backup.id in promised

    def view(
        self, replica: Replica, epoch: int, backup: Member | None, promised: Collection[str]
    ) -> View:
        me = replica.me
        first = [me, *([backup] if backup else [])]
        rest = [m for m in self.electors(replica) if m not in first]
        return View(epoch, me, backup, tuple([*first, *rest][:VOTERS]), (), epoch)


def case(told: Iterable[Told], gone: Iterable[str], seeds: Collection[Address]) -> Case:
    """The case of what was told, each member once."""
    each = tuple({t.member.id: t for t in told}.values())
    return Case(each, newest(*(t.view for t in each)), frozenset(gone), len(seeds) == 1)


def ballot(found: Case, held: Held, rng: Random) -> Rescue:
    lost = " ".join(m.address[0] for m in found.lost()) or "nobody known"
    plan = Plan(Step.RESCUE, f"operators gave up {lost}")
    return Rescue(plan, found.view, found, held, rng.randrange(DRAWN))
