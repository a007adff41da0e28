"""Messages by which registries change, read and watch the store's configuration.

A store that isn't the primary forwards changes and reads to it; `hops` counts the forwardings.
"""

from __future__ import annotations

from typing import ClassVar

import msgspec

from loomstand.rpc.messages.base import EmptyRequest, Message, Request
from loomstand.rpc.messages.rows import CountingTermRow
from loomstand.rpc.network import Address


class PutRequest(Request, frozen=True, kw_only=True, omit_defaults=True):
    """An operator replaces the configuration.

    Attributes:
        version: The new configuration's version.
        data: The new configuration.
        hops: How often the request was forwarded.
    """

    operation: ClassVar[str] = "put"
    version: int
    data: bytes
    hops: int = 0


class OfferRequest(PutRequest, frozen=True, kw_only=True, omit_defaults=True):
    """A limiter or registry returns a configuration that the receiver may have lost.

    Limiters send it to registries, registries to stores.
    """

    operation: ClassVar[str] = "offer"


class PutResponse(Message, frozen=True, kw_only=True, omit_defaults=True):
    """The change is acknowledged, or refused permanently.

    Attributes:
        version: The committed version after the request.
        has_conflict: Whether the change is refused because its version already has other content.
    """

    version: int
    has_conflict: bool = msgspec.field(name="conflict", default=False)


class ReadRequest(Request, frozen=True, kw_only=True, omit_defaults=True):
    """Reads the committed configuration from the primary.

    Attributes:
        hops: How often the request was forwarded.
    """

    operation: ClassVar[str] = "read"
    hops: int = 0


class ReadResponse(Message, frozen=True, kw_only=True, omit_defaults=True):
    """The committed configuration, as held by the primary.

    Attributes:
        version: The configuration's version, 0 if none was ever committed.
        data: The configuration.
        lease_seconds: Time from sending during which no other store can serve; earlier releases
            don't send it (see `loomstand.store.freshness`).
    """

    version: int
    data: bytes
    lease_seconds: float | None = msgspec.field(name="left", default=None)


class StatusRequest(EmptyRequest, frozen=True, kw_only=True):
    """Asks a member of the replicated store for its status."""

    operation: ClassVar[str] = "status"


class StatusResponse(Message, frozen=True, kw_only=True):
    """Status of the replicated store, as known to one member.

    Attributes:
        version: Version of the newest committed configuration known to the member.
        epoch: Epoch of the newest view known to the member, 0 if it knows none.
        primary: Address of that view's primary, if it is reachable.
        backup: Address of that view's backup, if there is one.
        core_addresses: Addresses of the members that answered recently, this one included.
        is_ready: Whether the member is certain that no newer committed configuration exists.
        counting_term: The holder and term of the counting lease, as known to the member.
        conflict_count: Number of changes refused since the member's start because their version
            already has other content.
        revision: Number of this status; it differs after each change and after a restart.
        absent_voters: Addresses of the newest known view's voters that are not in
            `core_addresses`; absent if there is none, and from earlier releases.
    """

    version: int
    epoch: int = 0
    primary: Address | None = None
    backup: Address | None = None
    core_addresses: list[Address] = msgspec.field(name="cores", default_factory=list)
    is_ready: bool = msgspec.field(name="ready", default=False)
    counting_term: CountingTermRow | None = msgspec.field(name="duty", default=None)
    conflict_count: int = msgspec.field(name="conflicts", default=0)
    revision: int = msgspec.field(name="mark", default=0)
    absent_voters: list[Address] | msgspec.UnsetType = msgspec.UNSET


class WaitRequest(Request, frozen=True, kw_only=True, omit_defaults=True):
    """A registry waits for a change of the status or of the configuration.

    Attributes:
        known_version: Version of the configuration that the registry holds.
        known_revision: `revision` of the status that the registry holds; None accepts any status.
        timeout_seconds: Time after which the store answers if nothing has changed.
    """

    operation: ClassVar[str] = "wait"
    known_version: int = msgspec.field(name="have")
    known_revision: int | None = msgspec.field(name="mark", default=None)
    timeout_seconds: float = msgspec.field(name="within")


class WaitResponse(StatusResponse, frozen=True, kw_only=True):
    """The status, with the configuration if the registry lacks it.

    Attributes:
        data: The committed configuration, if it is newer than `known_version`.
    """

    data: bytes | msgspec.UnsetType = msgspec.UNSET
