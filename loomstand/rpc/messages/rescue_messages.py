"""Messages of a rescue, by which operators re-create a lost store (docs/rescue.md)."""

from __future__ import annotations

from typing import ClassVar

import msgspec

from loomstand.rpc.messages.base import EmptyRequest, Message, Request
from loomstand.rpc.messages.replication_messages import ViewMessage
from loomstand.rpc.messages.rows import MemberRow, ViewRow


class MemberReportRequest(EmptyRequest, frozen=True, kw_only=True):
    """Asks a store for the state that it holds."""

    operation: ClassVar[str] = "told"


class MemberReportResponse(ViewMessage, frozen=True, kw_only=True):
    """The state that a store holds. A version is 0 if the store holds none.

    Attributes:
        member: The responding store.
        state: Number of its `loomstand.store.peers.MemberState`.
        is_founder: Whether its disk was empty at the first start of the whole system.
        uptime_seconds: Time since the store's start.
        lease_seconds: Remaining time of its lease as primary, 0 if it has none.
        highest_epoch: The highest epoch that it promised or knows of.
        view: The newest view that it knows.
        committed_version: The newest version that it knows to be committed.
        offered_version: The highest version offered to it since its start.
        disk_version: The version on its disk, committed or not.
    """

    member: MemberRow
    state: int
    is_founder: bool = msgspec.field(name="founder")
    uptime_seconds: float = msgspec.field(name="age")
    lease_seconds: float = msgspec.field(name="serves")
    highest_epoch: int = msgspec.field(name="known")
    view: ViewRow | None
    committed_version: int = msgspec.field(name="force")
    offered_version: int = msgspec.field(name="offered")
    disk_version: int = msgspec.field(name="disk")


class RescueRequest(Request, frozen=True, kw_only=True, omit_defaults=True):
    """Operators request a report on a lost store, or its re-creation.

    Attributes:
        gone_hosts: Hosts that, as operators confirm, will never return.
        token: Token of the `RescueCaseReport` that operators accept; None only asks for a report.
        is_handed_on: Whether another store has chosen the receiver to create the new view, and
            forwards the request to it.
        recipient: Member id of the chosen store; None if the request isn't forwarded.
    """

    operation: ClassVar[str] = "rescue"
    gone_hosts: list[str] = msgspec.field(name="gone")
    token: str | None
    is_handed_on: bool = msgspec.field(name="handed", default=False)
    recipient: str | None = msgspec.field(name="to", default=None)


class RescueMember(msgspec.Struct, frozen=True, kw_only=True):
    """A member of the newest known view.

    Attributes:
        host: IP address of the member.
        member_id: Id of the member, which identifies its disk.
        is_voter: Whether it votes for the next primary.
        has_data: Whether it is the view's primary or backup.
        is_lost: Whether its disk isn't reachable.
    """

    host: str
    member_id: str = msgspec.field(name="id")
    is_voter: bool = msgspec.field(name="votes")
    has_data: bool = msgspec.field(name="data")
    is_lost: bool = msgspec.field(name="lost")


class ReachableMember(msgspec.Struct, frozen=True, kw_only=True):
    """A store that answered. Versions are texts such as `r7`.

    Attributes:
        host: IP address of the store.
        member_id: Id of the store, which identifies its disk.
        is_disk_faulty: Whether its disk hangs or fails.
        committed_version: The newest version that it knows to be committed.
        offered_version: The highest version offered to it since its start.
        disk_version: The version on its disk, committed or not.
    """

    host: str
    member_id: str = msgspec.field(name="id")
    is_disk_faulty: bool = msgspec.field(name="disk_in_trouble")
    committed_version: str = msgspec.field(name="in_force")
    offered_version: str = msgspec.field(name="given_back")
    disk_version: str = msgspec.field(name="on_disk")


class RescueCaseReport(msgspec.Struct, frozen=True, kw_only=True):
    """Combined state of all reachable stores; operators get it as JSON with the wire keys.

    Attributes:
        epoch: Epoch of the newest known view, 0 if there is none.
        highest_epoch: The highest epoch that any of these stores promised or knows of.
        members: Members of the newest known view.
        reachable: The stores that answered.
        gone_hosts: Hosts that, as operators confirm, will never return.
        version: The newest version found, such as `r7`.
        chosen_host: Host of the store chosen to create the new view, if there is one.
        obstacles: Reasons that prevent a rescue; empty if a rescue is possible and needed.
        token: Identifies this state; a rescue request must repeat it.
    """

    epoch: int
    highest_epoch: int = msgspec.field(name="known")
    members: list[RescueMember]
    reachable: list[ReachableMember] = msgspec.field(name="reach")
    gone_hosts: list[str] = msgspec.field(name="gone")
    version: str
    chosen_host: str | None = msgspec.field(name="chosen")
    obstacles: list[str] = msgspec.field(name="waits")
    token: str


class RescueResult(msgspec.Struct, frozen=True, kw_only=True):
    """The view that a rescue created; operators get it as JSON with the wire keys.

    Attributes:
        epoch: The view's epoch.
        version: The version committed with the view, such as `r7`.
        primary: Host of the view's primary.
        backup: Host of the view's backup, if there is one.
        voters: Hosts of the view's voters.
    """

    epoch: int
    version: str
    primary: str
    backup: str | None
    voters: list[str]


class RescueResponse(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Exactly one of a state report, a created view, or the reasons of a refusal.

    Attributes:
        case: State of the store, in response to a request without a token.
        result: The view that was created.
        refusals: Reasons why no view was created.
    """

    case: RescueCaseReport | None = None
    result: RescueResult | None = msgspec.field(name="done", default=None)
    refusals: list[str] | None = msgspec.field(name="no", default=None)
