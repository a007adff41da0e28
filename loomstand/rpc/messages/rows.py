"""Values that several messages contain; on the wire each is a list of its fields in order.

Elements that later releases append to a list are ignored; fields with a default may be absent.
"""

from __future__ import annotations

import msgspec


class Row(msgspec.Struct, frozen=True, array_like=True):
    """A value that is a list on the wire."""


class MemberRow(Row, frozen=True, array_like=True):
    """A member of the replicated store.

    Attributes:
        member_id: Random id, chosen while the member's disk was empty, so it identifies the disk.
        host: IP address of the member's store.
        port: TCP port of the member's store.
    """

    member_id: str
    host: str
    port: int


class ViewRow(Row, frozen=True, array_like=True):
    """A view of the store: its primary, its backup, and the voters that decide on the next view.

    Attributes:
        epoch: The view's number; views are totally ordered by it.
        primary: The member that serves.
        backup: The member that acknowledges each write in addition to the primary, if there is one.
        voters: The members that elect the next primary.
        former_voters: The voters before a membership change that may be incomplete; empty if there
            is none.
        rescue_epoch: The epoch at which operators last re-created the store, 0 if never. A 0 is
            omitted on the wire, as earlier releases expect five elements.
    """

    epoch: int
    primary: MemberRow
    backup: MemberRow | None
    voters: list[MemberRow]
    former_voters: list[MemberRow]
    rescue_epoch: int = 0


class ChangeHistoryRow(Row, frozen=True, array_like=True):
    """The recently acknowledged configuration changes.

    Attributes:
        versions: Their version numbers, ascending.
        digests: Concatenated digests of their contents in the same order, 8 bytes each.
    """

    versions: list[int]
    digests: bytes


class CountingTermRow(Row, frozen=True, array_like=True):
    """The holder of the counting lease and its term.

    Attributes:
        epoch: Epoch of the store's primary that granted the lease.
        number: Number of the term under that primary; it grows with each change of the holder.
        holder: Host of the registry that holds the lease or has priority for the next one; empty if
            any registry may request it.
    """

    epoch: int
    number: int
    holder: str


class InstanceRow(Row, frozen=True, array_like=True):
    """A server, as known to a registry.

    Attributes:
        instance_id: Identifier that the server chose for itself.
        address: `host:port` at which the server accepts requests; empty, as are service and zone,
            if it left a registry that didn't know it.
        service: Name of the server's service.
        zone: Name of the server's zone.
        slots: Number of requests that the server handles concurrently.
        state: `ready`, `draining`, `silent` if its heartbeats are overdue, or `gone`.
        sequence: Number of its latest heartbeat; the row with the higher number is newer.
        slow_start_ms: Remaining milliseconds of its slow start.
    """

    instance_id: str
    address: str
    service: str
    zone: str
    slots: int
    state: str
    sequence: int
    slow_start_ms: int


class CounterEndpointRow(Row, frozen=True, array_like=True):
    """The registry that holds the counting lease, and its term.

    Attributes:
        host: IP address of that registry.
        port: TCP port of that registry.
        epoch: Epoch of the store's primary that granted the lease; -1 if no term is given.
        number: Number of the term under that primary, as in `CountingTermRow`; -1 if no term is
            given.
    """

    host: str
    port: int
    epoch: int = -1
    number: int = -1
