"""Messages by which limiters increment counters and get quota credits from the counting registry.

Tenants go by the digest of their name; a counter's name is that digest with the interval's slot in
its lowest bits.
"""

from __future__ import annotations

from typing import ClassVar

import msgspec

from loomstand.rpc.messages.base import Message, Request
from loomstand.rpc.messages.rows import Row


class IncrementRequest(Request, frozen=True, kw_only=True):
    """Adds to a counter.

    Attributes:
        counter_name: The counter.
        step: What is added.
        keep_seconds: For how long the counter is kept at least.
    """

    operation: ClassVar[str] = "count"
    counter_name: int = msgspec.field(name="name")
    step: float
    keep_seconds: float = msgspec.field(name="keep")


class IncrementResponse(Message, frozen=True, kw_only=True):
    """The counter's total.

    Attributes:
        total: The sum over all limiters, this step included.
        counting_term: Number of the registry's counters; another one where they began anew.
        is_incomplete: Present and true while limiters may not have repeated their sums to counters
            that began anew.
    """

    total: float
    counting_term: int = msgspec.field(name="counts", default=0)
    is_incomplete: bool | msgspec.UnsetType = msgspec.field(name="young", default=msgspec.UNSET)


class CreditDemandRow(Row, frozen=True, array_like=True):
    """What a limiter tells of a tenant's credits.

    Attributes:
        tenant: Digest of the tenant's name.
        held: Credits that it holds.
        spent: Requests that it admitted ahead of any credit and has not told before.
        wanted: Credits that it asks for.
        is_active: 1 if requests of the tenant came lately, else 0.
    """

    tenant: int
    held: float
    spent: float
    wanted: float
    is_active: int


class CreditRequest(Request, frozen=True, kw_only=True):
    """A limiter tells the credits that it holds, and asks for more.

    Attributes:
        limiter_name: Name of the limiter's node.
        incarnation: Number of the limiter's start, drawn by it.
        grant_term: Number of the grants that it holds; -1 if it holds none.
        is_isolated: Whether it had no answer for so long that it admits by its own share.
        demands: The tenants of which there is something to tell.
    """

    operation: ClassVar[str] = "grant"
    limiter_name: str = msgspec.field(name="name")
    incarnation: int = msgspec.field(name="life")
    grant_term: int = msgspec.field(name="number")
    is_isolated: bool = msgspec.field(name="alone")
    demands: list[CreditDemandRow] = msgspec.field(name="entries")


class CreditGrantRow(Row, frozen=True, array_like=True):
    """A tenant's credits granted.

    Attributes:
        tenant: Digest of the tenant's name.
        granted: Credits granted.
        is_open: 1 if the limiter may admit a request before it tells, else 0.
    """

    tenant: int
    granted: float
    is_open: int


class CreditResponse(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Credits granted.

    Attributes:
        grant_term: Number of the registry's grants; another one where they began anew.
        grants: The credits granted; absent if the limiter went by another term and must tell all
            that it holds under this one.
    """

    grant_term: int = msgspec.field(name="number")
    grants: list[CreditGrantRow] | None = None
