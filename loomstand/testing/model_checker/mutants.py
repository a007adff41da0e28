"""Steps left out, one at a time: the model_checker is worth something only if it finds every one of
them.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, replace
from typing import Any

from loomstand.rpc.errors import CallRefusedError
from loomstand.store.ballot import Ballot, Held
from loomstand.store.learner import Learner
from loomstand.store.replica import Replica
from loomstand.store.rescue import Rescue
from loomstand.store.views import Member, Record, View
from loomstand.testing.model_checker.member import Rules
from loomstand.testing.model_checker.state_space import Bounds


class KeepsOld(Replica):
    """Takes an old primary's write after it has promised a newer epoch."""

    def keep(self, epoch: int, asker: str, version: int, data: bytes) -> Record:
        self._raise(epoch, asker)
        return replace(
            self.record, promised=self.promised, version=version, data=data, written=epoch
        )


class KeepsEarlier(Replica):
    """Within an epoch takes a write that was overtaken by a later one."""

    def keep(self, epoch: int, asker: str, version: int, data: bytes) -> Record:
        if epoch < self.promised:
            raise CallRefusedError("a newer epoch")
        self._raise(epoch, asker)
        return replace(self.record, promised=epoch, version=version, data=data, written=epoch)


class Forgets(Replica):
    """Promises while a grant of its own stands."""

    def may_promise(self, now: float, epoch: int, asker: str, released: int) -> bool:
        return epoch > self.promised


class ForgetsEarlierLife(Replica):
    """Promises right after a start, while what it granted before may stand."""

    def may_promise(self, now: float, epoch: int, asker: str, released: int) -> bool:
        was, self.started = self.started, -1e9
        may = Replica.may_promise(self, now, epoch, asker, released)
        self.started = was
        return may


class LeasesFromReceipt(Replica):
    """Counts a lease from the answer, not from when it asked."""

    def on_grant(self, id: str, epoch: int, sent: float) -> None:
        Replica.on_grant(self, id, epoch, 0.0)


class InstallsOld(Replica):
    """Installs a view, and grants its lease, after it has promised a newer epoch."""

    def install(self, view: View) -> Record:
        if self.me.id not in view.named():
            raise CallRefusedError("not its view")
        return replace(self.record, promised=view.epoch, view=view)

    def renew(self, now: float, view: View) -> None:
        self.holder, self.hold = view.primary.id, now + 1.25


class AnyDisk(Replica):
    """Answers what was asked of the disk that was there before."""

    def mine(self, to: str) -> None:
        pass


class Unfenced(Replica):
    """Goes on under a view whose voters were given up, though it hears of the rescue."""

    def notice(self, view: View | None) -> None:
        if view is not None and (self.seen is None or view.epoch > self.seen.epoch):
            self.seen = view


class GoesOn(Ballot):
    """Lets a view that was given up go on above a rescue's epoch."""

    def epoch(self, known: int) -> int | None:
        return known + 1


class AnyBackup(Rescue):
    """Fills a backup that promised nothing: an old disk that has just come back."""

    def takes(self, backup: Member, promised: Collection[str]) -> bool:
        return True


class Alone(Ballot):
    """Installs a view without a majority's promises."""

    def agreed(self, replica: Replica, ids: Collection[str]) -> bool:
        return True


class AtOneGo(Ballot):
    """Changes the voters without the agreement of those before."""

    def view(
        self, replica: Replica, epoch: int, backup: Member | None, promised: Collection[str]
    ) -> View:
        return replace(Ballot.view(self, replica, epoch, backup, promised), former=())


class Anybody(Ballot):
    """Takes what it has itself for what is in force, whoever it is."""

    def own(self, replica: Replica) -> tuple[int, bytes] | None:
        return replica.record.version, replica.record.data

    def sources(self) -> list[Member]:
        return []


class FreesEarly(Replica):
    """Goes though its vote is needed, or one that has no vote yet could take its place."""

    def free(self, now: float) -> bool:
        if self.seen is None or self.me.id not in self.seen.named():
            return True
        stand_by = [m for m in self.live(now) if m.id not in self.seen.named()]
        return not stand_by and not self.seen.holds(self.me.id)


class FreesAmidChange(Replica):
    """Goes while the voters are changing, as its place is taken in the set to come."""

    def free(self, now: float) -> bool:
        was = self.seen
        if was is not None and was.former:
            others = [m.id for m in self.live(now)]
            return not was.holds(self.me.id) and was.agreed(others)
        return Replica.free(self, now)


class FreesUnheard(Replica):
    """Goes though it wrote for a view that it hasn't heard of."""

    def free(self, now: float) -> bool:
        was, self.promised = self.promised, 0
        free = Replica.free(self, now)
        self.promised = was
        return free


class CopiesAll(Learner):
    """Copies what is on its disk, in force or not."""

    def due(self, replica: Replica) -> Held | None:
        held = (replica.record.version, replica.record.data)
        return held if held[0] > self.copy[0] else None


def passes_always(answer: dict[str, Any], asked: float, now: float, within: float) -> float:
    """Passes on what was read, however long ago it asked."""
    return within


def ends_at_once(replica: Replica, now: float, since: float, grace_period: float) -> bool:
    return True


@dataclass(frozen=True, slots=True)
class Mutant:
    rules: Rules
    bounds: Bounds  # within which it's found
    breaks: str  # the invariants, of which the shortest trace breaks one
    brief: bool = True  # found within a few seconds, so that a test can wait for it


def brief(*kinds: str, **bounds: Any) -> Bounds:
    """Bounds just wide enough for one mutant."""
    least: dict[str, Any] = {
        "epochs": 2,
        "versions": 1,
        "faults": 1,
        "wipes": 0,
        "yields": 0,
        "halves": False,
    }
    return Bounds(kinds=frozenset(kinds), **least | bounds)


RESCUE = brief("restart", epochs=1, faults=2, wipes=2, rescues=1)
# one is read, and cut off; one that was told to stop ends for good beside a lost disk; two end at
# once
READ = brief("cut", takers="b", halves=True, versions=0, reads=1)
LEAVE = brief(wipes=1, epochs=4, changes=1, leavers="b", takers="c", versions=0)
TWO_LEAVE = brief(members=4, faults=0, epochs=4, changes=1, leavers="ab", takers="c", versions=0)
EXCHANGE = brief(members=4, wipes=1, epochs=4, changes=1, leavers="b", takers="a", versions=0)
UNHEARD = replace(LEAVE, faults=2, kinds=frozenset({"lost"}))
LEARN = brief("restart", "lost", wipes=1, takers="c", learners=True)
MUTANTS = {
    "keeps-old": Mutant(Rules(KeepsOld), brief("late", epochs=3, takers="bc"), "ac"),
    "keeps-earlier": Mutant(Rules(KeepsEarlier), brief("late", takers="b"), "ac"),
    "forgets": Mutant(Rules(Forgets), brief("cut", takers="bc"), "b"),
    "forgets-earlier-life": Mutant(
        Rules(ForgetsEarlierLife), brief("restart", "lost", faults=2, takers="c", versions=0), "b"
    ),
    "leases-from-receipt": Mutant(
        Rules(LeasesFromReceipt),
        brief("late", "lost", faults=2, takers="c", halves=True, versions=0),
        "b",
    ),
    "installs-old": Mutant(Rules(InstallsOld), brief("slow", epochs=3, takers="ab"), "a", False),
    "any-disk": Mutant(Rules(AnyDisk), brief(wipes=1), "d"),
    "same-id": Mutant(Rules(same_id=True), brief(wipes=1), "d"),
    "alone": Mutant(Rules(ballot=Alone), brief("lost"), "ab"),
    "at-one-go": Mutant(
        Rules(ballot=AtOneGo),
        brief("lost", members=4, changes=1, epochs=3, faults=3, takers="ab", versions=0),
        "b",
        False,
    ),
    "anybody": Mutant(Rules(ballot=Anybody), brief(), "a"),
    "unfenced": Mutant(Rules(Unfenced), RESCUE, "ab"),
    "goes-on": Mutant(Rules(ballot=GoesOn), replace(RESCUE, members=4, versions=0), "b"),
    "any-backup": Mutant(Rules(rescue=AnyBackup), RESCUE, "b"),
    "passes-always": Mutant(Rules(passes=passes_always), READ, "e"),
    "ends-at-once": Mutant(Rules(may_end=ends_at_once), LEAVE, "g"),
    "frees-early": Mutant(Rules(FreesEarly), LEAVE, "g"),
    "two-free-early": Mutant(Rules(FreesEarly), TWO_LEAVE, "g"),
    "frees-amid-change": Mutant(Rules(FreesAmidChange), EXCHANGE, "g", False),
    "frees-unheard": Mutant(Rules(FreesUnheard), UNHEARD, "g"),
    "copies-all": Mutant(Rules(learner=CopiesAll), LEARN, "f"),
    "hasty": Mutant(Rules(hasty=True), brief("lost", takers="bc"), "a"),
}
