"""What one member holds, as it tells where the store may be lost. Values only."""

from __future__ import annotations

from dataclasses import dataclass

from loomstand.rpc.messages.rescue_messages import MemberReportResponse
from loomstand.store.peers import MemberState
from loomstand.store.record import VersionedData
from loomstand.store.replica import Replica
from loomstand.store.views import Member, View


@dataclass(frozen=True, slots=True)
class MemberReport:
    """What a member holds. Versions are 0 where it holds none.

    Attributes:
        member: The member.
        state: Its state.
        is_founder: Whether its disk was empty at the first start of the whole system.
        uptime_seconds: Since its start.
        lease_seconds: For how long its lease as primary lasts, 0 if it has none.
        highest_epoch: The highest epoch that it promised or knows of.
        view: The newest view that it knows.
        committed_version: The version that it knows to have been committed.
        offered_version: The highest that registries or limiters gave back since its start.
        disk_version: The version on its disk, committed or not.
    """

    member: Member
    state: MemberState
    is_founder: bool
    uptime_seconds: float
    lease_seconds: float
    highest_epoch: int
    view: View | None
    committed_version: int
    offered_version: int
    disk_version: int

    @property
    def host(self) -> str:
        """IP address of the member's store."""
        return self.member.address[0]

    @property
    def best_version(self) -> int:
        """The newest version that it holds, committed or not."""
        return max(self.committed_version, self.offered_version, self.disk_version)

    @property
    def is_best_committed(self) -> bool:
        """Whether that version was committed, as far as the member knows."""
        return self.best_version in (self.committed_version, self.offered_version)

    @staticmethod
    def of(replica: Replica, now: float, offered: VersionedData) -> MemberReport:
        """The report of this member; `offered` was given back to it."""
        view = replica.newest_known_view()
        return MemberReport(
            replica.member,
            replica.state,
            replica.record.is_founder,
            now - replica.started_at,
            replica.lease_left(now),
            max(replica.highest_known_epoch(), view.epoch if view else 0),
            view,
            replica.version,
            offered.version,
            replica.record.version,
        )

    def to_message(self) -> MemberReportResponse:
        """The report as an answer to another store."""
        return MemberReportResponse(
            member=self.member.to_row(),
            state=self.state.value,
            is_founder=self.is_founder,
            uptime_seconds=self.uptime_seconds,
            lease_seconds=self.lease_seconds,
            highest_epoch=self.highest_epoch,
            view=self.view.to_row() if self.view else None,
            committed_version=self.committed_version,
            offered_version=self.offered_version,
            disk_version=self.disk_version,
        )

    @staticmethod
    def from_message(message: MemberReportResponse) -> MemberReport:
        """The report that another store answered."""
        return MemberReport(
            Member.from_row(message.member),
            MemberState(message.state),
            message.is_founder,
            message.uptime_seconds,
            message.lease_seconds,
            message.highest_epoch,
            View.from_row(message.view),
            message.committed_version,
            message.offered_version,
            message.disk_version,
        )


def best_configuration(replica: Replica, offered: VersionedData) -> VersionedData:
    """The newest that a member holds; of one version what was committed goes first."""
    committed = VersionedData(replica.version, replica.data)
    candidates = (committed, offered, replica.record.configuration)
    return max(candidates, key=lambda configuration: configuration.version)
