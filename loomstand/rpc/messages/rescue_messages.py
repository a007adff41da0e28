"""Messages of a rescue: operators have a lost store founded anew (docs/rescue.md)."""

from __future__ import annotations

from typing import ClassVar

import msgspec

from loomstand.rpc.messages.base import EmptyRequest, Message, Request
from loomstand.rpc.messages.replication_messages import ViewMessage
from loomstand.rpc.messages.rows import MemberRow, ViewRow


class MemberReportRequest(EmptyRequest, frozen=True, kw_only=True):
    """Asks a store what it holds."""

    operation: ClassVar[str] = "told"


class MemberReportResponse(ViewMessage, frozen=True, kw_only=True):
    """What a store holds. Versions are 0 where it holds none.

    Attributes:
        member: The store that answers.
        state: Number of its `loomstand.store.peers.MemberState`.
        is_founder: Whether its disk was empty at the first start of the whole system.
        uptime_seconds: Since its start.
        lease_seconds: For how long its lease as primary lasts, 0 if it has none.
        highest_epoch: The highest epoch that it promised or knows of.
        view: The newest view that it knows.
        committed_version: The version that it knows to have been committed.
        offered_version: The highest version given back to it since its start.
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
    """Operators ask how a lost store stands, or have it founded anew.

    Attributes:
        gone_hosts: Hosts that operators vouch never come back.
        token: The token of the case that they agree to; None to look only.
        is_handed_on: Whether another store already chose the receiver to found the view.
        recipient: Member id of the store chosen.
    """

    operation: ClassVar[str] = "rescue"
    gone_hosts: list[str] = msgspec.field(name="gone")
    token: str | None
    is_handed_on: bool = msgspec.field(name="handed", default=False)
    recipient: str | None = msgspec.field(name="to", default=None)


class RescueMember(msgspec.Struct, frozen=True, kw_only=True):
    """A member of the newest view known.

    Attributes:
        host: Its IP address.
        member_id: Its id, which names its disk.
        is_voter: Whether it elects the next primary.
        has_data: Whether it is the view's primary or backup.
        is_lost: Whether its disk isn't in reach.
    """

    host: str
    member_id: str = msgspec.field(name="id")
    is_voter: bool = msgspec.field(name="votes")
    has_data: bool = msgspec.field(name="data")
    is_lost: bool = msgspec.field(name="lost")


class ReachableMember(msgspec.Struct, frozen=True, kw_only=True):
    """A store that answered. Versions are texts as `r7`.

    Attributes:
        host: Its IP address.
        member_id: Its id, which names its disk.
        is_disk_faulty: Whether its disk hangs or refuses.
        committed_version: The version that it knows to have been committed.
        offered_version: The highest version given back to it since its start.
        disk_version: The version on its disk, committed or not.
    """

    host: str
    member_id: str = msgspec.field(name="id")
    is_disk_faulty: bool = msgspec.field(name="disk_in_trouble")
    committed_version: str = msgspec.field(name="in_force")
    offered_version: str = msgspec.field(name="given_back")
    disk_version: str = msgspec.field(name="on_disk")


class RescueCaseReport(msgspec.Struct, frozen=True, kw_only=True):
    """What all stores in reach say together; operators get it as JSON with these keys.

    Attributes:
        epoch: Epoch of the newest view known, 0 if there is none.
        highest_epoch: The highest epoch that any of them promised or knows of.
        members: The members of the newest view known.
        reachable: The stores that answered.
        gone_hosts: Hosts that operators vouch never come back.
        version: The newest version found, as `r7`.
        chosen_host: Host of the store that is to found the view, if there is one.
        obstacles: Why nothing may be done; empty if a rescue is due.
        token: Names this very state; a rescue is asked for with it.
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
    """The view that was founded; operators get it as JSON with these keys.

    Attributes:
        epoch: The view's epoch.
        version: The version that is committed with it, as `r7`.
        primary: Host of its primary.
        backup: Host of its backup, if there is one.
        voters: Hosts of its voters.
    """

    epoch: int
    version: str
    primary: str
    backup: str | None
    voters: list[str]


class RescueResponse(Message, frozen=True, kw_only=True, omit_defaults=True):
    """One of the three: how the store stands, what was founded, or why nothing is.

    Attributes:
        case: How the store stands, to a request without a token.
        result: The view that was founded.
        refusals: Why nothing is founded.
    """

    case: RescueCaseReport | None = None
    result: RescueResult | None = msgspec.field(name="done", default=None)
    refusals: list[str] | None = msgspec.field(name="no", default=None)
