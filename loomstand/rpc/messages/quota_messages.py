"""Messages by which limiters increment counters and get quota credits from the counting registry.

A tenant is identified by the digest of its name. Requests are counted by intervals: a counter's
name is the tenant's digest with the interval's slot number in its lowest bits.
"""

from __future__ import annotations

from typing import ClassVar

import msgspec

from loomstand.rpc.messages.base import Message, Request
from loomstand.rpc.messages.rows import Row


class IncrementRequest(Request, frozen=True, kw_only=True):
    """A limiter adds to a counter.

    Attributes:
        counter_name: Name of the counter.
        step: Amount to add.
        retention_seconds: Minimum time for which the counter is kept.
    """

    operation: ClassVar[str] = "count"
    counter_name: int = msgspec.field(name="name")
    step: float
    retention_seconds: float = msgspec.field(name="keep")


class IncrementResponse(Message, frozen=True, kw_only=True):
    """The counter's total after the step.

    Attributes:
        total: Sum over all limiters, this step included.
        counting_term: Number that identifies the registry's set of counters; it changes when the
            counters are reset.
        is_incomplete: Present and true while limiters may not yet have resent their sums to
            counters that were reset.
    """

    total: float
    counting_term: int = msgspec.field(name="counts", default=0)
    is_incomplete: bool | msgspec.UnsetType = msgspec.field(name="young", default=msgspec.UNSET)


class CreditDemandRow(Row, frozen=True, array_like=True):
    """The credits of a tenant that a limiter holds, has used and requests.

    Attributes:
        tenant: Digest of the tenant's name.
        held: Credits that the limiter holds.
        spent: Number of requests that the limiter admitted without a credit and reports here for
            the first time.
        wanted: Credits that the limiter requests.
        is_active: 1 if the limiter recently received requests of the tenant, else 0.
    """

    tenant: int
    held: float
    spent: float
    wanted: float
    is_active: int


class CreditRequest(Request, frozen=True, kw_only=True):
    """A limiter reports the credits that it holds, and requests more.

    Attributes:
        limiter_name: Name of the limiter's node.
        incarnation: Random number that the limiter chose at its start.
        grant_term: Term of the grants that the limiter holds; -1 if it holds none.
        is_isolated: Whether the limiter gets no answers and therefore limits each tenant to a local
            share of its quota.
        demands: Tenants for which the limiter reports or requests credits.
    """

    operation: ClassVar[str] = "grant"
    limiter_name: str = msgspec.field(name="name")
    incarnation: int = msgspec.field(name="life")
    grant_term: int = msgspec.field(name="number")
    is_isolated: bool = msgspec.field(name="alone")
    demands: list[CreditDemandRow] = msgspec.field(name="entries")


class CreditGrantRow(Row, frozen=True, array_like=True):
    """Credits granted for a tenant.

    Attributes:
        tenant: Digest of the tenant's name.
        granted: Credits granted.
        is_open: 1 if the limiter may admit a request before reporting it, else 0.
    """

    tenant: int
    granted: float
    is_open: int


class CreditResponse(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Credits granted.

    Attributes:
        grant_term: Number that identifies the registry's set of grants; it changes when the grants
            are reset.
        grants: The credits granted; None if the request had another term, and the limiter must
            report all credits that it holds under this one.
    """

    grant_term: int = msgspec.field(name="number")
    grants: list[CreditGrantRow] | None = None
