"""Messages by which a registry acquires, renews and releases the counting lease."""

from __future__ import annotations

from typing import ClassVar

import msgspec

from loomstand.rpc.messages.base import Message, Request
from loomstand.rpc.messages.rows import CountingTermRow


class CountingLeaseRequest(Request, frozen=True, kw_only=True, omit_defaults=True):
    """A registry requests the counting lease, or releases it.

    The response to a release is `Acknowledgement`.

    Attributes:
        host: IP address of the registry.
        incarnation: Random number that the registry chose at its start.
        is_release: Whether the registry releases the lease.
    """

    operation: ClassVar[str] = "duty"
    host: str
    incarnation: int = msgspec.field(name="life")
    is_release: bool = msgspec.field(name="back", default=False)


class CountingLeaseResponse(Message, frozen=True, kw_only=True):
    """The lease is granted.

    Attributes:
        lease_seconds: Length of the lease, from the time at which the registry sent its request.
        counting_term: The holder and term of the counting lease, as known to the store.
    """

    lease_seconds: float = msgspec.field(name="span")
    counting_term: CountingTermRow | None = msgspec.field(name="duty")
