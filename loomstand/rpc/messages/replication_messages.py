"""Messages between stores: heartbeats, elections, writes and committed configurations.

`recipient` in a request is the id of the member that the request is meant for: a store with another
disk has another id and refuses the request. It is absent if any member at the address may answer.
"""

from __future__ import annotations

from typing import ClassVar

import msgspec

from loomstand.rpc.messages.base import EmptyRequest, Message, Request
from loomstand.rpc.messages.rows import ChangeHistoryRow, MemberRow, Row, ViewRow
from loomstand.rpc.network import Address, Body


class ServingRow(Row, frozen=True, array_like=True):
    """The counting lease and the primary's own lease, sent in its heartbeats while it serves.

    Attributes:
        number: Number of the counting lease's term under this primary, as in `CountingTermRow`.
        holder: Host of the registry that holds the counting lease; empty if any may request it.
        lease_ms: Remaining milliseconds of the primary's lease at the time of sending.
    """

    number: int
    holder: str
    lease_ms: int


class LeaseHandoverRow(Row, frozen=True, array_like=True):
    """The counting lease, as known to a primary that transfers leadership.

    Attributes:
        epoch: Epoch of the primary that granted the lease.
        number: Number of the term under that primary, as in `CountingTermRow`.
        holder: Host of the registry that holds the lease; empty if none does.
        incarnation: Random number that the registry chose at its start.
        remaining_seconds: Remaining time of the holder's lease.
    """

    epoch: int
    number: int
    holder: str
    incarnation: int
    remaining_seconds: float


class ViewMessage(Message, frozen=True, kw_only=True):
    """A message with a field `view`, whose last element is omitted if it is 0."""

    def to_wire(self) -> Body:
        """Returns the mapping that `frames.encode_frame` takes; see `ViewRow.rescue_epoch`."""
        body = super().to_wire()
        view = body["view"]
        if view is not None and not view[-1]:
            view.pop()
        return body


class MemberStatus(ViewMessage, frozen=True, kw_only=True):
    """Status of a store, sent in each heartbeat and in the response to one.

    Attributes:
        member: The sender.
        state: Number of its `loomstand.store.peers.MemberState`.
        is_founder: Whether its disk was empty at the first start of the whole system.
        view_epoch: Epoch of the view on its disk, 0 if there is none.
        newest_view_epoch: Epoch of the newest view that it knows, 0 if it knows none.
        promised_epoch: Highest epoch that it promised.
        committed_version: Version of the newest committed configuration that it knows; -1 if it
            hasn't learned of any since its start.
        view: The newest view that it knows, unless the receiver is known to have it.
        requested_lease_epoch: Epoch for which it requests a lease grant from the receiver, 0 if it
            requests none.
    """

    member: MemberRow
    state: int
    is_founder: bool = msgspec.field(name="founder")
    view_epoch: int = msgspec.field(name="epoch")
    newest_view_epoch: int = msgspec.field(name="seen")
    promised_epoch: int = msgspec.field(name="promised")
    committed_version: int = msgspec.field(name="version")
    view: ViewRow | None
    requested_lease_epoch: int = msgspec.field(name="ask")


class HeartbeatRequest(MemberStatus, Request, frozen=True, kw_only=True, omit_defaults=True):
    """A store's heartbeat; a primary requests a lease grant by it.

    Attributes:
        serving: Sent by the primary while it serves.
    """

    operation: ClassVar[str] = "beat"
    serving: ServingRow | None = msgspec.field(name="duty", default=None)


class HeartbeatResponse(MemberStatus, frozen=True, kw_only=True, omit_defaults=True):
    """The receiver's status, and its lease grant.

    Attributes:
        granted_epoch: Epoch for which the lease is granted to the sender, 0 if it isn't.
        known_addresses: Addresses of the other stores that answered recently.
        serving: Sent by the primary while it serves.
    """

    granted_epoch: int = msgspec.field(name="granted")
    known_addresses: list[Address] = msgspec.field(name="known")
    serving: ServingRow | None = msgspec.field(name="duty", default=None)


class PrepareRequest(Request, frozen=True, kw_only=True, omit_defaults=True):
    """A candidate asks a voter to promise an epoch.

    Attributes:
        epoch: The epoch to promise; 0 only asks whether the voter would promise the next one.
        released_epoch: Epoch of the view whose primary transferred leadership to the candidate, 0
            if none did.
        candidate_id: Member id of the candidate.
        recipient: Member id of the voter.
    """

    operation: ClassVar[str] = "promise"
    epoch: int
    released_epoch: int = msgspec.field(name="released")
    candidate_id: str = msgspec.field(name="asker")
    recipient: str | None = msgspec.field(name="to", default=None)


class PrepareResponse(ViewMessage, frozen=True, kw_only=True):
    """A voter's answer to a candidate.

    Attributes:
        is_promised: Whether the voter promised, or would promise.
        promised_epoch: Highest epoch that the voter promised.
        view: The newest view that the voter knows.
    """

    is_promised: bool = msgspec.field(name="ok")
    promised_epoch: int = msgspec.field(name="promised")
    view: ViewRow | None


class WriteRequest(Request, frozen=True, kw_only=True, omit_defaults=True):
    """A primary or candidate asks the backup to write a configuration to its disk.

    Attributes:
        epoch: Epoch of the write.
        writer_id: Member id of the primary or candidate.
        version: The configuration's version.
        data: The configuration.
        history: The acknowledged changes, this one included; earlier releases don't send it.
        recipient: Member id of the backup.
    """

    operation: ClassVar[str] = "keep"
    epoch: int
    writer_id: str = msgspec.field(name="asker")
    version: int
    data: bytes
    history: ChangeHistoryRow | None = msgspec.field(name="orders", default=None)
    recipient: str | None = msgspec.field(name="to", default=None)


class CandidateReadRequest(Request, frozen=True, kw_only=True, omit_defaults=True):
    """A candidate reads the configuration on the disk of the previous view's primary or backup.

    Attributes:
        epoch: The candidate's epoch; the member promises it by answering.
        candidate_id: Member id of the candidate.
        recipient: Member id of the primary or backup.
    """

    operation: ClassVar[str] = "fetch"
    epoch: int
    candidate_id: str = msgspec.field(name="asker")
    recipient: str | None = msgspec.field(name="to", default=None)


class CandidateReadResponse(Message, frozen=True, kw_only=True, omit_defaults=True):
    """The configuration on a member's disk, committed or not.

    Attributes:
        version: The configuration's version, 0 if there is none.
        data: The configuration.
        history: The acknowledged changes; earlier releases don't send it.
    """

    version: int
    data: bytes
    history: ChangeHistoryRow | None = msgspec.field(name="orders", default=None)


class InstallViewRequest(ViewMessage, Request, frozen=True, kw_only=True, omit_defaults=True):
    """An elected primary asks a member to write its view to disk, which also grants the lease.

    Attributes:
        view: The view; a request with None has no effect.
        recipient: Member id of the member that is to write the view.
    """

    operation: ClassVar[str] = "install"
    view: ViewRow | None
    recipient: str | None = msgspec.field(name="to", default=None)


class TransferLeadershipRequest(Request, frozen=True, kw_only=True, omit_defaults=True):
    """A primary that shuts down transfers leadership to its backup.

    Attributes:
        primary_id: Member id of the primary.
        epoch: Epoch that the primary promised to the backup.
        released_epoch: Epoch of the view under which the primary no longer serves.
        counting_lease: The counting lease, as known to the primary; earlier releases don't send it.
        recipient: Member id of the backup.
    """

    operation: ClassVar[str] = "lead"
    primary_id: str = msgspec.field(name="by")
    epoch: int
    released_epoch: int = msgspec.field(name="under")
    counting_lease: LeaseHandoverRow | None = msgspec.field(name="duty", default=None)
    recipient: str | None = msgspec.field(name="to", default=None)


class CommitRequest(Request, frozen=True, kw_only=True):
    """The primary sends the committed configuration to the other stores.

    Attributes:
        version: The committed configuration's version.
        data: The committed configuration.
    """

    operation: ClassVar[str] = "news"
    version: int
    data: bytes


class CommittedRequest(EmptyRequest, frozen=True, kw_only=True):
    """Asks a store for the newest committed configuration that it knows."""

    operation: ClassVar[str] = "held"


class CommittedResponse(Message, frozen=True, kw_only=True):
    """The newest committed configuration that a store knows.

    Attributes:
        version: The configuration's version, 0 if none was ever committed.
        data: The configuration.
    """

    version: int
    data: bytes
