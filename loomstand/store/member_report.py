"""Report of the versions that one member holds, which a rescue collects from all members."""

from __future__ import annotations

from dataclasses import dataclass

from loomstand.rpc.messages.rescue_messages import MemberReportResponse
from loomstand.store.peers import MemberState
from loomstand.store.record import VersionedData
from loomstand.store.replica import Replica
from loomstand.store.views import Member, View


@dataclass(frozen=True, slots=True)
class MemberReport:
    """State and versions of one member. A version is 0 if the member holds none.

    Attributes:
        member: Id and address of the member.
        state: Health of the member.
        is_founder: Whether its disk was empty at the first start of the whole system.
        uptime_seconds: Time since its start.
        lease_seconds: Remaining lease as primary, 0 if it has none.
        highest_epoch: Highest epoch that it promised or observed.
        view: Newest view known to the member.
        committed_version: Highest version known to the member as committed.
        offered_version: Highest version that registries or limiters offered since its start.
        disk_version: Version on its disk, committed or not.
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
        """Highest version that the member holds, committed or not."""
        return max(self.committed_version, self.offered_version, self.disk_version)

    @property
    def is_best_committed(self) -> bool:
        """Whether the highest version is known as committed or was offered, not just on disk."""
        return self.best_version in (self.committed_version, self.offered_version)

    @staticmethod
    def of(replica: Replica, now: float, offered: VersionedData) -> MemberReport:
        """Creates the report of this member; `offered` is the configuration offered to it."""
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
        """Converts the report to a response for another store."""
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
        """Creates a report from the response of another store."""
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
    """Returns a member's newest configuration; a committed one has priority at equal versions."""
    committed = VersionedData(replica.version, replica.data)
    candidates = (committed, offered, replica.record.configuration)
    return max(candidates, key=lambda configuration: configuration.version)
