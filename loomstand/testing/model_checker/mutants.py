"""Steps of the protocol left out, one at a time: the model checker has to find every one."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, replace
from typing import Any

from loomstand.rpc.errors import CallRefusedError
from loomstand.store.change_history import EMPTY_HISTORY, ChangeHistory
from loomstand.store.election_rules import ElectionRules
from loomstand.store.learner import Learner
from loomstand.store.record import Record, VersionedData
from loomstand.store.replica import Replica
from loomstand.store.rescue_election_rules import RescueElectionRules
from loomstand.store.views import Member, View
from loomstand.testing.model_checker.member import CodeUnderTest
from loomstand.testing.model_checker.state_space import Bounds


class KeepsOld(Replica):
    """Takes an old primary's write after it has promised a newer epoch."""

    def accept_write(
        self,
        epoch: int,
        writer_id: str,
        version: int,
        data: bytes,
        history: ChangeHistory = EMPTY_HISTORY,
    ) -> Record:
        self._raise_promise(epoch, writer_id)
        return replace(
            self.record,
            promised_epoch=self.promised_epoch,
            version=version,
            data=data,
            written_epoch=epoch,
        )


class KeepsEarlier(Replica):
    """Within an epoch takes a write that was overtaken by a later one."""

    def accept_write(
        self,
        epoch: int,
        writer_id: str,
        version: int,
        data: bytes,
        history: ChangeHistory = EMPTY_HISTORY,
    ) -> Record:
        if epoch < self.promised_epoch:
            raise CallRefusedError("a newer epoch")
        self._raise_promise(epoch, writer_id)
        return replace(
            self.record, promised_epoch=epoch, version=version, data=data, written_epoch=epoch
        )


class Forgets(Replica):
    """Promises while a grant of its own stands."""

    def may_promise(self, now: float, epoch: int, candidate_id: str, released_epoch: int) -> bool:
        return epoch > self.promised_epoch


class ForgetsEarlierLife(Replica):
    """Promises right after a start, while what it granted before may stand."""

    def may_promise(self, now: float, epoch: int, candidate_id: str, released_epoch: int) -> bool:
        was, self.started_at = self.started_at, -1e9
        may = Replica.may_promise(self, now, epoch, candidate_id, released_epoch)
        self.started_at = was
        return may


class LeasesFromReceipt(Replica):
    """Counts a lease from the answer, not from when it asked."""

    def on_grant(self, member_id: str, epoch: int, sent_at: float) -> None:
        Replica.on_grant(self, member_id, epoch, 0.0)


class InstallsOld(Replica):
    """Installs a view, and grants its lease, after it has promised a newer epoch."""

    def install(self, view: View) -> Record:
        if self.member.id not in view.members():
            raise CallRefusedError("not its view")
        return replace(self.record, promised_epoch=view.epoch, view=view)

    def grant_installed(self, now: float, view: View) -> None:
        self.granted_to = view.primary.id
        self.grant_ends_at = now + 1.25


class AnyDisk(Replica):
    """Answers what was asked of the disk that was there before."""

    def check_recipient(self, member_id: str) -> None:
        pass


class Unfenced(Replica):
    """Goes on under a view whose voters were given up, though it hears of the rescue."""

    def observe_view(self, view: View | None) -> None:
        if view is not None and (self.newest_view is None or view.epoch > self.newest_view.epoch):
            self.newest_view = view


class GoesOn(ElectionRules):
    """Lets a view that was given up go on above a rescue's epoch."""

    def next_epoch(self, highest_epoch: int) -> int | None:
        return highest_epoch + 1


class AnyBackup(RescueElectionRules):
    """Fills a backup that promised nothing: an old disk that has just come back."""

    def may_be_backup(self, member: Member, promised_ids: Collection[str]) -> bool:
        return True


class Alone(ElectionRules):
    """Installs a view without a majority's promises."""

    def has_quorum(self, replica: Replica, member_ids: Collection[str]) -> bool:
        return True


class AtOneGo(ElectionRules):
    """Changes the voters without the agreement of those before."""

    def new_view(
        self, replica: Replica, epoch: int, backup: Member | None, promised_ids: Collection[str]
    ) -> View:
        return replace(
            ElectionRules.new_view(self, replica, epoch, backup, promised_ids), former_voters=()
        )


class Anybody(ElectionRules):
    """Takes what it has itself for what is in force, whoever it is."""

    def own_configuration(self, replica: Replica) -> VersionedData | None:
        return replica.record.configuration

    def sources(self) -> list[Member]:
        return []


class FreesEarly(Replica):
    """Goes though its vote is needed, or one that has no vote yet could take its place."""

    def is_dispensable(self, now: float) -> bool:
        if self.newest_view is None or self.member.id not in self.newest_view.members():
            return True
        stand_by = [
            m for m in self.peers.live_members(now) if m.id not in self.newest_view.members()
        ]
        return not stand_by and not self.newest_view.has_data(self.member.id)


class FreesAmidChange(Replica):
    """Goes while the voters are changing, as its place is taken in the set to come."""

    def is_dispensable(self, now: float) -> bool:
        was = self.newest_view
        if was is not None and was.former_voters:
            others = [m.id for m in self.peers.live_members(now)]
            return not was.has_data(self.member.id) and was.has_quorum(others)
        return Replica.is_dispensable(self, now)


class FreesUnheard(Replica):
    """Goes though it wrote for a view that it hasn't heard of."""

    def is_dispensable(self, now: float) -> bool:
        was, self.promised_epoch = self.promised_epoch, 0
        free = Replica.is_dispensable(self, now)
        self.promised_epoch = was
        return free


class CopiesAll(Learner):
    """Copies what is on its disk, in force or not."""

    def next_copy(self, replica: Replica) -> VersionedData | None:
        held = replica.record.configuration
        return held if held.version > self.copy.version else None


def passes_always(
    lease_seconds: float | None, asked_at: float, now: float, timeout_seconds: float
) -> float:
    """Passes on what was read, however long ago it asked."""
    return timeout_seconds


def ends_at_once(replica: Replica, now: float, since: float, grace_period_seconds: float) -> bool:
    """Ends as soon as it is told to stop."""
    return True


@dataclass(frozen=True, slots=True)
class Mutant:
    """A step left out, and the bounds within which that is found."""

    code: CodeUnderTest
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
    "keeps-old": Mutant(CodeUnderTest(KeepsOld), brief("late", epochs=3, takers="bc"), "ac"),
    "keeps-earlier": Mutant(CodeUnderTest(KeepsEarlier), brief("late", takers="b"), "ac"),
    "forgets": Mutant(CodeUnderTest(Forgets), brief("cut", takers="bc"), "b"),
    "forgets-earlier-life": Mutant(
        CodeUnderTest(ForgetsEarlierLife),
        brief("restart", "lost", faults=2, takers="c", versions=0),
        "b",
    ),
    "leases-from-receipt": Mutant(
        CodeUnderTest(LeasesFromReceipt),
        brief("late", "lost", faults=2, takers="c", halves=True, versions=0),
        "b",
    ),
    "installs-old": Mutant(
        CodeUnderTest(InstallsOld), brief("slow", epochs=3, takers="ab"), "a", False
    ),
    "any-disk": Mutant(CodeUnderTest(AnyDisk), brief(wipes=1), "d"),
    "same-id": Mutant(CodeUnderTest(reuses_disk_id=True), brief(wipes=1), "d"),
    "alone": Mutant(CodeUnderTest(election_rules=Alone), brief("lost"), "ab"),
    "at-one-go": Mutant(
        CodeUnderTest(election_rules=AtOneGo),
        brief("lost", members=4, changes=1, epochs=3, faults=3, takers="ab", versions=0),
        "b",
        False,
    ),
    "anybody": Mutant(CodeUnderTest(election_rules=Anybody), brief(), "a"),
    "unfenced": Mutant(CodeUnderTest(Unfenced), RESCUE, "ab"),
    "goes-on": Mutant(
        CodeUnderTest(election_rules=GoesOn), replace(RESCUE, members=4, versions=0), "b"
    ),
    "any-backup": Mutant(CodeUnderTest(rescue=AnyBackup), RESCUE, "b"),
    "passes-always": Mutant(CodeUnderTest(passes=passes_always), READ, "e"),
    "ends-at-once": Mutant(CodeUnderTest(may_shut_down=ends_at_once), LEAVE, "g"),
    "frees-early": Mutant(CodeUnderTest(FreesEarly), LEAVE, "g"),
    "two-free-early": Mutant(CodeUnderTest(FreesEarly), TWO_LEAVE, "g"),
    "frees-amid-change": Mutant(CodeUnderTest(FreesAmidChange), EXCHANGE, "g", False),
    "frees-unheard": Mutant(CodeUnderTest(FreesUnheard), UNHEARD, "g"),
    "copies-all": Mutant(CodeUnderTest(learner=CopiesAll), LEARN, "f"),
    "hasty": Mutant(CodeUnderTest(commits_early=True), brief("lost", takers="bc"), "a"),
}
