"""Whether operators may re-found a lost store: the members found, and the obstacles.

A rescue restores a store that lost more members than it tolerates (docs/rescue.md). Decisions only,
without disk, network or clock; `rescue_service` makes the calls, `rescue_election_rules` has the
rules of the election.
"""

from __future__ import annotations

import json
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from hashlib import sha256

from loomstand.rpc import Address
from loomstand.rpc.messages.rescue_messages import (
    ReachableMember,
    RescueCaseReport,
    RescueMember,
)
from loomstand.store.member_report import MemberReport
from loomstand.store.peers import MemberState
from loomstand.store.views import EPOCH_RANGE, Member, View, newest_view

# Minimum uptime of members before a rescue: limiters and registries offer the versions that they
# hold, which takes up to 2 s.
MIN_UPTIME_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class RescueCase:
    """The combined reports of all reachable members.

    Attributes:
        reports: One report of each member.
        view: The newest known view.
        gone_hosts: Hosts that operators confirm as lost for good.
        is_single_core: Whether the core has only one machine, by its seeds.
    """

    reports: tuple[MemberReport, ...]
    view: View | None
    gone_hosts: frozenset[str]
    is_single_core: bool

    # --- findings

    def reachable(self) -> list[MemberReport]:
        """Returns the members with healthy disks, by address; a rescue forms the store of them."""
        healthy = [
            report
            for report in self.reports
            if report.state is MemberState.HEALTHY and report.host not in self.gone_hosts
        ]
        return sorted(healthy, key=lambda report: report.member.address)

    def chosen(self) -> MemberReport | None:
        """Returns the member that founds the new view, None if there is none.

        It is the member with the newest version. Among equal versions a committed one has priority
        over one that may only have been written, then the lowest address.
        """
        return max(
            self.reachable(),
            key=lambda report: (report.best_version, report.is_best_committed),
            default=None,
        )

    def newest_version(self) -> int:
        """Returns the newest version that any member holds."""
        return max((report.best_version for report in self.reports), default=0)

    def highest_epoch(self) -> int:
        """Returns the highest epoch that any member promised or observed."""
        return max((report.highest_epoch for report in self.reports), default=0)

    def lost_members(self) -> list[Member]:
        """Returns the newest view's members whose disks are unreachable or fail, by address."""
        reachable_ids = {report.member.id for report in self.reachable()}
        lost = [member for member in self._view_members() if member.id not in reachable_ids]
        return sorted(lost, key=lambda member: member.address)

    def _view_members(self) -> list[Member]:
        return list(self.view.members().values()) if self.view else []

    # --- obstacles

    def obstacles(self) -> list[str]:
        """Returns the reasons against a rescue; empty if it is due and each loss is confirmed."""
        serving = [
            f"{report.host} serves: nothing is lost"
            for report in self.reports
            if report.lease_seconds > 0.0
        ]
        if serving:
            return serving
        recovery = self._recovery_without_rescue()
        if recovery:
            return recovery
        return [
            *self._pending_first_start(),
            *self._unconfirmed_losses(),
            *self._wrongly_named_hosts(),
            *self._recent_members(),
            *self._too_few_disks(),
            *self._newest_version_out_of_reach(),
        ]

    def _recovery_without_rescue(self) -> list[str]:
        """Returns a reason if the newest view can recover without a rescue."""
        view = self.view
        if view is None:
            return []
        ids = {r.member.id for r in self.reports if r.state is MemberState.HEALTHY}
        sources = [m for m in self._view_members() if view.has_data(m.id) and m.id in ids]
        # true after an interrupted rescue: its promises keep the view from serving
        is_fenced = self.highest_epoch() // EPOCH_RANGE > view.rescue_epoch // EPOCH_RANGE
        if not view.has_quorum(ids) or not sources or is_fenced:
            return []
        reason = f"a majority of the voters of epoch {view.epoch} answers"
        outlook = "the store recovers by itself, within seconds"
        return [f"{reason}, and {sources[0].address[0]} has the data: {outlook}"]

    def _pending_first_start(self) -> list[str]:
        if self.view is not None or not any(report.is_founder for report in self.reports):
            return []
        return [
            "this is the first start: the store founds itself once a majority of the seeds is there"
        ]

    def _unconfirmed_losses(self) -> list[str]:
        """Returns a reason for each lost member of the newest view that isn't confirmed as gone."""
        reasons = [self._missing_reason(member) for member in self.lost_members()]
        return [reason for reason in reasons if reason]

    def _missing_reason(self, member: Member) -> str:
        host = member.address[0]
        report = next((r for r in self.reports if r.member.address == member.address), None)
        if host in self.gone_hosts or (report is not None and report.member.id != member.id):
            return ""  # confirmed as gone, or replaced by another disk at its address
        reason = " doesn't answer"
        if report is not None:
            is_unhealthy = report.state is MemberState.UNHEALTHY
            reason = "'s disk is in trouble" if is_unhealthy else " leaves"
        return f"{host}{reason}: bring it back, or name it if it is gone for good (--gone {host})"

    def _wrongly_named_hosts(self) -> list[str]:
        """Returns a reason for each host that was wrongly named as gone."""
        reasons = [(host, self._not_gone_reason(host)) for host in sorted(self.gone_hosts)]
        return [f"{host}: {reason}" for host, reason in reasons if reason]

    def _not_gone_reason(self, host: str) -> str:
        report = next((r for r in self.reports if r.host == host), None)
        if report is not None and report.state is MemberState.HEALTHY:
            return "named as gone, and answers"
        if any(member.address[0] == host for member in self._view_members()):
            return ""
        return "named as gone, and has no part in the newest view"

    def _recent_members(self) -> list[str]:
        return [
            f"{report.host} has run for less than {MIN_UPTIME_SECONDS:g} s: limiters may hold more"
            for report in self.reachable()
            if report.uptime_seconds < MIN_UPTIME_SECONDS
        ]

    def _too_few_disks(self) -> list[str]:
        if len(self.reachable()) >= (1 if self.is_single_core else 2):
            return []
        return [
            "two machines with disks that are well are needed: an acknowledgement stands for "
            "two disks"
        ]

    def _newest_version_out_of_reach(self) -> list[str]:
        """Returns a reason if only a failing disk, not named as gone, has the newest version."""
        chosen = self.chosen()
        version = self.newest_version()
        if chosen is None or chosen.best_version >= version:
            return []
        host = max(self.reports, key=lambda report: report.best_version).host
        if host in self.gone_hosts:
            return []
        return [f"only {host} holds r{version}, and its disk is in trouble: mend that first"]

    # --- report to operators

    def token(self) -> str:
        """Returns a digest of the state; operators send it back to confirm what they reviewed."""
        chosen = self.chosen()
        epoch = self.view.epoch if self.view else 0
        state = [
            self.highest_epoch(),
            epoch,
            sorted(member.id for member in self._view_members()),
            sorted(self.gone_hosts),
            [[report.member.id, report.best_version] for report in self.reachable()],
            chosen.member.id if chosen else "",
            self.newest_version(),
        ]
        return f"{epoch}-{sha256(json.dumps(state).encode()).hexdigest()[:12]}"

    def to_message(self) -> RescueCaseReport:
        """Converts the case to a report for operators; it contains no configuration."""
        chosen = self.chosen()
        reports = sorted(self.reports, key=lambda report: report.member.address)
        return RescueCaseReport(
            epoch=self.view.epoch if self.view else 0,
            highest_epoch=self.highest_epoch(),
            members=self._member_messages(),
            reachable=[_reachable_message(report) for report in reports],
            gone_hosts=sorted(self.gone_hosts),
            version=f"r{self.newest_version()}",
            chosen_host=chosen.host if chosen else None,
            obstacles=self.obstacles(),
            token=self.token(),
        )

    def _member_messages(self) -> list[RescueMember]:
        view = self.view
        if view is None:
            return []
        lost_ids = {member.id for member in self.lost_members()}
        electors = view.electors()
        return [
            RescueMember(
                host=member.address[0],
                member_id=member.id,
                is_voter=member.id in electors,
                has_data=view.has_data(member.id),
                is_lost=member.id in lost_ids,
            )
            for member in sorted(self._view_members(), key=lambda member: member.address)
        ]


def _reachable_message(report: MemberReport) -> ReachableMember:
    return ReachableMember(
        host=report.host,
        member_id=report.member.id,
        is_disk_faulty=report.state is MemberState.UNHEALTHY,
        committed_version=f"r{report.committed_version}",
        offered_version=f"r{report.offered_version}",
        disk_version=f"r{report.disk_version}",
    )


def make_case(
    reports: Iterable[MemberReport], gone_hosts: Iterable[str], seeds: Collection[Address]
) -> RescueCase:
    """Creates the case from reports; the last report of each member counts."""
    by_member = {report.member.id: report for report in reports}
    view = newest_view(*(report.view for report in by_member.values()))
    return RescueCase(tuple(by_member.values()), view, frozenset(gone_hosts), len(seeds) == 1)
