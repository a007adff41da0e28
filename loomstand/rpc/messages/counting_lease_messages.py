"""Messages by which a registry acquires, renews and releases the counting lease."""

from __future__ import annotations

from typing import ClassVar

import msgspec

from loomstand.rpc.messages.base import Message, Request
from loomstand.rpc.messages.rows import CountingTermRow


class CountingLeaseRequest(Request, frozen=True, kw_only=True, omit_defaults=True):
    """A registry asks for the counting lease, or releases it.

    A release is answered by `Acknowledgement`.

    Attributes:
        host: IP address of the registry.
        incarnation: Number of the registry's start, drawn by it.
        is_release: Whether it gives the lease back.
    """

    operation: ClassVar[str] = "duty"
    host: str
    incarnation: int = msgspec.field(name="life")
    is_release: bool = msgspec.field(name="back", default=False)


class CountingLeaseResponse(Message, frozen=True, kw_only=True):
    """The lease is granted.

    Attributes:
        lease_seconds: For how long the registry counts, from the sending of its request.
        counting_term: Who counts, as the store knows.
    """

    lease_seconds: float = msgspec.field(name="span")
    counting_term: CountingTermRow | None = msgspec.field(name="duty")
