"""Messages of a limiter's session with a registry.

A limiter polls each registry with the revisions that it knows, and receives all newer data: the
servers, the system state, the tenants near their limit, and the version of the configuration, which
it fetches by a separate call. The shared clock, by which counting intervals are named, is the same
at all registries and limiters.
"""

from __future__ import annotations

from typing import ClassVar

import msgspec

from loomstand.rpc.messages.base import Message, Request
from loomstand.rpc.messages.rows import CounterEndpointRow, InstanceRow, Row


class SessionRequest(Request, frozen=True, kw_only=True, omit_defaults=True):
    """Opens or continues a session, and asks for all data newer than the limiter's.

    A request with `limiter_name` and `shared_clock` opens a session; one with `session_id`
    continues a session.

    Attributes:
        known_instances: Revision of the registry's table of servers known to the limiter.
        known_system_state_revision: Revision of the system state known to the limiter.
        known_configuration: Version of the limiter's configuration, 0 if it has none.
        session_id: Number of the session to continue; 0 to open a session.
        limiter_name: Name of the limiter's node.
        shared_clock: The limiter's reading of the shared clock in ticks of 0.1 ms; None if it has
            none; absent when a session continues.
        known_buckets: Revision of the registry's quota buckets known to the limiter.
        departed_instances: Identifiers of servers that left recently, as known to the limiter;
            absent if there is none, when a session continues, and from earlier releases.
    """

    operation: ClassVar[str] = "ask"
    known_instances: int = msgspec.field(name="h")
    known_system_state_revision: int = msgspec.field(name="f")
    known_configuration: int = msgspec.field(name="c")
    session_id: int = msgspec.field(name="s", default=0)
    limiter_name: str | None = msgspec.field(name="name", default=None)
    shared_clock: int | msgspec.UnsetType | None = msgspec.field(
        name="clock", default=msgspec.UNSET
    )
    known_buckets: int = msgspec.field(name="q", default=0)
    departed_instances: list[str] | msgspec.UnsetType = msgspec.field(
        name="gone", default=msgspec.UNSET
    )


class LimiterSetRow(Row, frozen=True, array_like=True):
    """The limiters, as known to a registry.

    Attributes:
        rank: The receiver's position in the order of the limiters' names.
        total: Number of limiters that have a rank, silent ones included.
        silent: Number of limiters whose session has timed out and whose rank is kept for them.
    """

    rank: int
    total: int
    silent: int


class TenantTotalRow(Row, frozen=True, array_like=True):
    """A tenant near its limit.

    Attributes:
        counter_name: Name of the counter of the current interval.
        total: The counter's sum over all limiters.
        is_closed: 1 if limiters must report each request before they admit it, else 0.
    """

    counter_name: int
    total: float
    is_closed: int = 0


class SessionResponse(Message, frozen=True, kw_only=True, omit_defaults=True):
    """All data newer than the limiter's; fields that haven't changed are absent.

    `system_state_revision`, `limiters`, `counter`, `core_hosts`, `is_current` and `shared_clock`
    are present or absent together, and so are `instances_revision` and `instances`, and
    `buckets_revision` and `tenant_totals`.

    Attributes:
        session_id: Number of the session, if the request opened one.
        instances_revision: Revision of the registry's table of servers.
        instances: The servers that changed; all of them if a session was opened.
        system_state_revision: Revision of the system state.
        limiters: The limiters, as known to the registry.
        counter: The registry that holds the counting lease; None if it isn't known.
        core_hosts: IP addresses of the core machines.
        is_current: Whether the configuration that the registry holds is known to be the newest.
        shared_clock: The shared clock in ticks of 0.1 ms; None if the registry doesn't have it.
        buckets_revision: Revision of the registry's quota buckets.
        tenant_totals: The tenants near their limit.
        configuration_version: Version of the registry's configuration, if newer than the limiter's.
        requests_configuration: Whether the limiter should offer its configuration, because it is
            newer than the registry's.
    """

    session_id: int | None = msgspec.field(name="s", default=None)
    instances_revision: int | None = msgspec.field(name="h", default=None)
    instances: list[InstanceRow] | None = msgspec.field(name="rows", default=None)
    system_state_revision: int | None = msgspec.field(name="f", default=None)
    limiters: LimiterSetRow | None = msgspec.field(name="fleet", default=None)
    counter: CounterEndpointRow | msgspec.UnsetType | None = msgspec.UNSET
    core_hosts: list[str] | None = msgspec.field(name="cores", default=None)
    is_current: bool | None = msgspec.field(name="sure", default=None)
    shared_clock: int | msgspec.UnsetType | None = msgspec.field(
        name="clock", default=msgspec.UNSET
    )
    buckets_revision: int | None = msgspec.field(name="q", default=None)
    tenant_totals: list[TenantTotalRow] | None = msgspec.field(name="full", default=None)
    configuration_version: int | None = msgspec.field(name="c", default=None)
    requests_configuration: bool = msgspec.field(name="give", default=False)


class ConfigurationRequest(Request, frozen=True, kw_only=True, omit_defaults=True):
    """A limiter fetches the configuration.

    Attributes:
        accepts_compressed: Whether the response may be compressed; earlier releases don't send it.
    """

    operation: ClassVar[str] = "fetch"
    accepts_compressed: bool = msgspec.field(name="z", default=False)


class ConfigurationResponse(Message, frozen=True, kw_only=True, omit_defaults=True):
    """The registry's configuration; one of `data` and `compressed_data` is present.

    Attributes:
        version: The configuration's version, 0 if there is none.
        data: The configuration.
        compressed_data: The configuration, compressed by zlib.
    """

    version: int
    data: bytes | None = None
    compressed_data: bytes | None = msgspec.field(name="z", default=None)


class DeregisterRequest(Request, frozen=True, kw_only=True, omit_defaults=True):
    """A limiter ends its sessions.

    Attributes:
        limiter_name: Name of the limiter's node.
        is_forwarded: Whether another registry forwarded the request; then the receiver doesn't
            forward it again.
    """

    operation: ClassVar[str] = "bye"
    limiter_name: str = msgspec.field(name="name")
    is_forwarded: bool = msgspec.field(name="told", default=False)
