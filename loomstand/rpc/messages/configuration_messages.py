"""Messages by which registries change, read and watch the store's configuration.

A store that isn't the primary forwards changes and reads to it; `hops` counts how often.
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
    """A limiter or registry gives back a configuration that the receiver may have lost.

    Registries take it from limiters, stores from registries.
    """

    operation: ClassVar[str] = "offer"


class PutResponse(Message, frozen=True, kw_only=True, omit_defaults=True):
    """The change is acknowledged, or refused for good.

    Attributes:
        version: The version committed now.
        has_conflict: Whether the change's version stands for another content: it is refused.
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
    """The committed configuration, as the primary has it.

    Attributes:
        version: Its version, 0 if there never was one.
        data: The configuration.
        lease_seconds: For how long, from the sending, nobody else can serve; absent from earlier
            releases (see `loomstand.store.freshness`).
    """

    version: int
    data: bytes
    lease_seconds: float | None = msgspec.field(name="left", default=None)


class StatusRequest(EmptyRequest, frozen=True, kw_only=True):
    """Asks a store how it sees the store as a whole."""

    operation: ClassVar[str] = "status"


class StatusResponse(Message, frozen=True, kw_only=True):
    """How a store sees the store as a whole.

    Attributes:
        version: Version of the committed configuration that it knows.
        epoch: Epoch of the newest view that it knows, 0 if it knows none.
        primary: Address of that view's primary, if it is in reach.
        backup: Address of that view's backup, if there is one.
        core_addresses: The stores that lately answered, itself included.
        is_ready: Whether nothing newer can be committed that this store doesn't know.
        counting_term: Who counts, as it knows.
        conflict_count: Changes refused since its start, as their version stands for another
            content.
        revision: Number of this status; another one whenever it changes, and after a start.
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


class WaitRequest(Request, frozen=True, kw_only=True, omit_defaults=True):
    """A registry waits for a change of the status or of the configuration.

    Attributes:
        known_version: Version of the configuration that the registry holds.
        known_revision: `revision` of the status that it holds; absent if any will do.
        timeout_seconds: After how long the store answers without a change.
    """

    operation: ClassVar[str] = "wait"
    known_version: int = msgspec.field(name="have")
    known_revision: int | None = msgspec.field(name="mark", default=None)
    timeout_seconds: float = msgspec.field(name="within")


class WaitResponse(StatusResponse, frozen=True, kw_only=True):
    """The status, with the configuration if the registry hasn't got it.

    Attributes:
        data: The committed configuration, if it is newer than `known_version`.
    """

    data: bytes | msgspec.UnsetType = msgspec.UNSET
