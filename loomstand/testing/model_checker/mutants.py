"""Mutants of the store, each without one step of the protocol.

The model checker must detect all of them.
"""

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
from loomstand.store.timing import GRANT_SECONDS
from loomstand.store.views import Member, View
from loomstand.testing.model_checker.member import CodeUnderTest
from loomstand.testing.model_checker.state_space import Bounds


class AcceptsOldEpochWrites(Replica):
    """Accepts an old primary's write after it has promised a newer epoch."""

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


class AcceptsOvertakenWrites(Replica):
    """Accepts a write that was overtaken by a later one of the same epoch."""

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


class PromisesDuringGrant(Replica):
    """Promises while a lease that it granted is still valid."""

    def may_promise(self, now: float, epoch: int, candidate_id: str, released_epoch: int) -> bool:
        return epoch > self.promised_epoch


class PromisesRightAfterStart(Replica):
    """Promises right after a start, while a lease granted before the restart may be valid."""

    def may_promise(self, now: float, epoch: int, candidate_id: str, released_epoch: int) -> bool:
        started_at, self.started_at = self.started_at, -1e9
        may_promise = Replica.may_promise(self, now, epoch, candidate_id, released_epoch)
        self.started_at = started_at
        return may_promise


class CountsLeaseFromReceipt(Replica):
    """Counts a lease from the arrival of the answer instead of the sending of the request."""

    def on_grant(self, member_id: str, epoch: int, sent_at: float) -> None:
        Replica.on_grant(self, member_id, epoch, 0.0)


class InstallsOldEpochViews(Replica):
    """Installs a view, and grants its lease, after it has promised a newer epoch."""

    def install(self, view: View) -> Record:
        if self.member.id not in view.members():
            raise CallRefusedError("not its view")
        return replace(self.record, promised_epoch=view.epoch, view=view)

    def grant_installed(self, now: float, view: View) -> None:
        self.granted_to = view.primary.id
        self.grant_ends_at = now + GRANT_SECONDS


class SkipsRecipientCheck(Replica):
    """Answers calls that are addressed to the member's previous disk."""

    def check_recipient(self, member_id: str) -> None:
        pass


class SkipsRescueFence(Replica):
    """Continues under a view that was given up, after it has learned of the rescue."""

    def observe_view(self, view: View | None) -> None:
        if view is not None and (self.newest_view is None or view.epoch > self.newest_view.epoch):
            self.newest_view = view


class ContinuesAbandonedViews(ElectionRules):
    """Continues a view that was given up, in an epoch above the rescue's."""

    def next_epoch(self, highest_epoch: int) -> int | None:
        return highest_epoch + 1


class AllowsUnpromisedBackup(RescueElectionRules):
    """Accepts a backup that hasn't promised: an old disk that has just returned."""

    def may_be_backup(self, member: Member, promised_ids: Collection[str]) -> bool:
        return True


class SkipsElectionQuorum(ElectionRules):
    """Installs a view without a majority's promises."""

    def has_quorum(self, replica: Replica, member_ids: Collection[str]) -> bool:
        return True


class SkipsFormerVoters(ElectionRules):
    """Changes the voters without a quorum of the former voters."""

    def new_view(
        self, replica: Replica, epoch: int, backup: Member | None, promised_ids: Collection[str]
    ) -> View:
        return replace(
            ElectionRules.new_view(self, replica, epoch, backup, promised_ids), former_voters=()
        )


class TrustsOwnConfiguration(ElectionRules):
    """Takes the candidate's own configuration for the committed one, whichever member it is."""

    def own_configuration(self, replica: Replica) -> VersionedData | None:
        return replica.record.configuration

    def sources(self) -> list[Member]:
        return []


class LeavesWhileNeeded(Replica):
    """Shuts down while its vote is needed or a member without a vote could take its place."""

    def is_dispensable(self, now: float) -> bool:
        if self.newest_view is None or self.member.id not in self.newest_view.members():
            return True
        spare_members = [
            m for m in self.peers.live_members(now) if m.id not in self.newest_view.members()
        ]
        return not spare_members and not self.newest_view.has_data(self.member.id)


class LeavesDuringVoterChange(Replica):
    """Shuts down during a change of the voters, because the new voters form a quorum without it."""

    def is_dispensable(self, now: float) -> bool:
        view = self.newest_view
        if view is not None and view.former_voters:
            other_ids = [m.id for m in self.peers.live_members(now)]
            return not view.has_data(self.member.id) and view.has_quorum(other_ids)
        return Replica.is_dispensable(self, now)


class LeavesBeforeSeeingView(Replica):
    """Shuts down although it wrote for a view that it hasn't learned of yet."""

    def is_dispensable(self, now: float) -> bool:
        promised_epoch, self.promised_epoch = self.promised_epoch, 0
        is_dispensable = Replica.is_dispensable(self, now)
        self.promised_epoch = promised_epoch
        return is_dispensable


class CopiesUncommittedData(Learner):
    """Copies the configuration on its disk, whether it is committed or not."""

    def next_copy(self, replica: Replica) -> VersionedData | None:
        configuration = replica.record.configuration
        return configuration if configuration.version > self.copy.version else None


def remaining_seconds_unbounded(
    lease_seconds: float | None, asked_at: float, now: float, timeout_seconds: float
) -> float:
    """Passes on a configuration that was read at any time."""
    return timeout_seconds


def may_always_shut_down(
    replica: Replica, now: float, since: float, grace_period_seconds: float
) -> bool:
    """Shuts down immediately on request."""
    return True


@dataclass(frozen=True, slots=True)
class Mutant:
    """Code with an omitted step, and the bounds within which the model checker detects it."""

    code: CodeUnderTest
    bounds: Bounds
    invariants: str  # letters of the invariants, one of which the shortest trace violates
    is_fast: bool = True  # detected within a few seconds, so that a unit test can run it


def narrow_bounds(*kinds: str, **bounds: Any) -> Bounds:
    """The smallest bounds, with these fault kinds and wider where an argument says so."""
    smallest: dict[str, Any] = {
        "epochs": 2,
        "versions": 1,
        "faults": 1,
        "wipes": 0,
        "yields": 0,
        "half_lease_ticks": False,
    }
    return Bounds(fault_kinds=frozenset(kinds), **smallest | bounds)


RESCUE_BOUNDS = narrow_bounds("restart", epochs=1, faults=2, wipes=2, rescues=1)
# a primary that was read is partitioned
READ_BOUNDS = narrow_bounds("cut", candidates="b", half_lease_ticks=True, versions=0, reads=1)
# a member shuts down permanently and another loses its disk
SHUTDOWN_BOUNDS = narrow_bounds(
    wipes=1, epochs=4, changes=1, leavers="b", candidates="c", versions=0
)
# two members shut down at once
TWO_SHUTDOWNS_BOUNDS = narrow_bounds(
    members=4, faults=0, epochs=4, changes=1, leavers="ab", candidates="c", versions=0
)
# a member shuts down while another voter is replaced
REPLACEMENT_BOUNDS = narrow_bounds(
    members=4, wipes=1, epochs=4, changes=1, leavers="b", candidates="a", versions=0
)
# a member shuts down after a lost message kept a view from it
UNSEEN_VIEW_BOUNDS = replace(SHUTDOWN_BOUNDS, faults=2, fault_kinds=frozenset({"lost"}))
LEARNER_BOUNDS = narrow_bounds("restart", "lost", wipes=1, candidates="c", learners=True)
MUTANTS = {
    "keeps-old": Mutant(
        CodeUnderTest(AcceptsOldEpochWrites), narrow_bounds("late", epochs=3, candidates="bc"), "ac"
    ),
    "keeps-earlier": Mutant(
        CodeUnderTest(AcceptsOvertakenWrites), narrow_bounds("late", candidates="b"), "ac"
    ),
    "forgets": Mutant(
        CodeUnderTest(PromisesDuringGrant), narrow_bounds("cut", candidates="bc"), "b"
    ),
    "forgets-earlier-life": Mutant(
        CodeUnderTest(PromisesRightAfterStart),
        narrow_bounds("restart", "lost", faults=2, candidates="c", versions=0),
        "b",
    ),
    "leases-from-receipt": Mutant(
        CodeUnderTest(CountsLeaseFromReceipt),
        narrow_bounds("late", "lost", faults=2, candidates="c", half_lease_ticks=True, versions=0),
        "b",
    ),
    "installs-old": Mutant(
        CodeUnderTest(InstallsOldEpochViews),
        narrow_bounds("slow", epochs=3, candidates="ab"),
        "a",
        False,
    ),
    "any-disk": Mutant(CodeUnderTest(SkipsRecipientCheck), narrow_bounds(wipes=1), "d"),
    "same-id": Mutant(CodeUnderTest(reuses_disk_id=True), narrow_bounds(wipes=1), "d"),
    "alone": Mutant(CodeUnderTest(election_rules=SkipsElectionQuorum), narrow_bounds("lost"), "ab"),
    "at-one-go": Mutant(
        CodeUnderTest(election_rules=SkipsFormerVoters),
        narrow_bounds(
            "lost", members=4, changes=1, epochs=3, faults=3, candidates="ab", versions=0
        ),
        "b",
        False,
    ),
    "anybody": Mutant(CodeUnderTest(election_rules=TrustsOwnConfiguration), narrow_bounds(), "a"),
    "unfenced": Mutant(CodeUnderTest(SkipsRescueFence), RESCUE_BOUNDS, "ab"),
    "goes-on": Mutant(
        CodeUnderTest(election_rules=ContinuesAbandonedViews),
        replace(RESCUE_BOUNDS, members=4, versions=0),
        "b",
    ),
    "any-backup": Mutant(CodeUnderTest(rescue=AllowsUnpromisedBackup), RESCUE_BOUNDS, "b"),
    "passes-always": Mutant(
        CodeUnderTest(remaining_read_seconds=remaining_seconds_unbounded), READ_BOUNDS, "e"
    ),
    "ends-at-once": Mutant(CodeUnderTest(may_shut_down=may_always_shut_down), SHUTDOWN_BOUNDS, "g"),
    "frees-early": Mutant(CodeUnderTest(LeavesWhileNeeded), SHUTDOWN_BOUNDS, "g"),
    "two-free-early": Mutant(CodeUnderTest(LeavesWhileNeeded), TWO_SHUTDOWNS_BOUNDS, "g"),
    "frees-amid-change": Mutant(
        CodeUnderTest(LeavesDuringVoterChange), REPLACEMENT_BOUNDS, "g", False
    ),
    "frees-unheard": Mutant(CodeUnderTest(LeavesBeforeSeeingView), UNSEEN_VIEW_BOUNDS, "g"),
    "copies-all": Mutant(CodeUnderTest(learner=CopiesUncommittedData), LEARNER_BOUNDS, "f"),
    "hasty": Mutant(CodeUnderTest(commits_early=True), narrow_bounds("lost", candidates="bc"), "a"),
}
