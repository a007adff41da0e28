"""Values that stand in several messages and are lists on the wire, each with its fields in order.

Fields that later releases append to a list are ignored; fields with a default may be absent.
"""

from __future__ import annotations

import msgspec


class Row(msgspec.Struct, frozen=True, array_like=True):
    """A value that is a list on the wire."""


class MemberRow(Row, frozen=True, array_like=True):
    """A member of the replicated store.

    Attributes:
        member_id: Drawn when the member's disk was empty, so it names that very disk.
        host: IP address of the member's store.
        port: TCP port of the member's store.
    """

    member_id: str
    host: str
    port: int


class ViewRow(Row, frozen=True, array_like=True):
    """A view of the store: who is primary and backup, and whose votes decide on the next view.

    Attributes:
        epoch: The view's number; views are totally ordered by it.
        primary: The member that serves.
        backup: The member that acknowledges each write beside the primary, if there is one.
        voters: The members that elect the next primary.
        former_voters: The voters before a membership change that isn't known to be complete.
        rescue_epoch: The epoch at which operators last re-founded the store, 0 if never. It is
            absent on the wire where it is 0, as earlier releases read five elements.
    """

    epoch: int
    primary: MemberRow
    backup: MemberRow | None
    voters: list[MemberRow]
    former_voters: list[MemberRow]
    rescue_epoch: int = 0


class ChangeHistoryRow(Row, frozen=True, array_like=True):
    """Which configuration changes were acknowledged lately.

    Attributes:
        versions: Their version numbers, ascending.
        digests: The digests of their contents, in the same order, joined; 8 bytes each.
    """

    versions: list[int]
    digests: bytes


class CountingTermRow(Row, frozen=True, array_like=True):
    """Who holds the counting lease, under which term.

    Attributes:
        epoch: Epoch of the store's primary that granted the lease.
        number: Number of the holder under that primary.
        holder: Host of the registry that holds it or may have it first; empty if any may ask.
    """

    epoch: int
    number: int
    holder: str


class InstanceRow(Row, frozen=True, array_like=True):
    """A server as the registry knows it.

    Attributes:
        instance_id: Identifier that the server chose for itself.
        address: `host:port` at which it takes requests.
        service: Name of the service it belongs to.
        zone: Name of its zone.
        slots: Requests that it serves at once.
        state: `ready`, `draining`, `silent` or `gone`.
        sequence: Number of its latest heartbeat; the row with the higher number is newer.
        slow_start_ms: Milliseconds left of its slow start.
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
    """The registry that counts, and its term.

    Attributes:
        host: IP address of that registry.
        port: TCP port of that registry.
        epoch: Epoch of the store's primary that granted the lease; -1 where no term is told.
        number: Number of the holder under that primary; -1 where no term is told.
    """

    host: str
    port: int
    epoch: int = -1
    number: int = -1
