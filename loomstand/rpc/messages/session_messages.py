"""Messages of a limiter's session with a registry.

A limiter asks each registry again and again with the revisions that it knows, and hears what is
newer: servers, facts about the system, tenants near their limit, and that there is a newer
configuration, which it fetches by a call of its own.
"""

from __future__ import annotations

from typing import ClassVar

import msgspec

from loomstand.rpc.messages.base import Message, Request
from loomstand.rpc.messages.rows import CounterEndpointRow, InstanceRow, Row


class SessionRequest(Request, frozen=True, kw_only=True, omit_defaults=True):
    """Opens a session, or asks for what is newer than what the limiter knows.

    `limiter_name` and `shared_clock` open a session, `session_id` goes on with one.

    Attributes:
        known_instances: Revision of the registry's table of servers.
        known_facts: Revision of the registry's facts.
        known_configuration: Version of the configuration held, 0 if there is none.
        session_id: Number of the session, 0 to open one.
        limiter_name: Name of the limiter's node.
        shared_clock: The shared clock as the limiter knows it, in ticks of 0.1 ms; None if it
            doesn't, absent in a session that is open.
        known_buckets: Revision of the registry's quota buckets.
    """

    operation: ClassVar[str] = "ask"
    known_instances: int = msgspec.field(name="h")
    known_facts: int = msgspec.field(name="f")
    known_configuration: int = msgspec.field(name="c")
    session_id: int = msgspec.field(name="s", default=0)
    limiter_name: str | None = msgspec.field(name="name", default=None)
    shared_clock: int | msgspec.UnsetType | None = msgspec.field(
        name="clock", default=msgspec.UNSET
    )
    known_buckets: int = msgspec.field(name="q", default=0)


class LimiterSetRow(Row, frozen=True, array_like=True):
    """The limiters as a registry knows them.

    Attributes:
        rank: The receiver's place in the order of names.
        total: How many there are, silent ones included.
        silent: How many of them are silent.
    """

    rank: int
    total: int
    silent: int


class TenantTotalRow(Row, frozen=True, array_like=True):
    """A tenant near its limit.

    Attributes:
        counter_name: Name of the counter of the running interval.
        total: Its sum over all limiters.
        is_closed: 1 if nothing may be admitted before it is told, else 0.
    """

    counter_name: int
    total: float
    is_closed: int = 0


class SessionResponse(Message, frozen=True, kw_only=True, omit_defaults=True):
    """What is newer than what the limiter knows; all that isn't is absent.

    `facts_revision`, `limiters`, `counter`, `core_hosts`, `is_current` and `shared_clock` are
    present or absent together, and so are `instances_revision` and `instances`, and
    `buckets_revision` and `tenant_totals`.

    Attributes:
        session_id: Number of the session, if one was opened.
        instances_revision: Revision of the registry's table of servers.
        instances: The servers that changed; all of them if a session was opened.
        facts_revision: Revision of these facts.
        limiters: The limiters as the registry knows them.
        counter: The registry that counts; None if it isn't known.
        core_hosts: IP addresses of the core machines.
        is_current: Whether the configuration that the registry holds is known to be the newest.
        shared_clock: The shared clock in ticks of 0.1 ms; None if the registry doesn't know it.
        buckets_revision: Revision of the registry's quota buckets.
        tenant_totals: The tenants near their limit.
        configuration_version: Version of the registry's configuration, if it is newer.
        requests_configuration: Whether the limiter should offer its configuration, which is newer.
    """

    session_id: int | None = msgspec.field(name="s", default=None)
    instances_revision: int | None = msgspec.field(name="h", default=None)
    instances: list[InstanceRow] | None = msgspec.field(name="rows", default=None)
    facts_revision: int | None = msgspec.field(name="f", default=None)
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
        accepts_compressed: Whether the answer may be compressed; absent from earlier releases.
    """

    operation: ClassVar[str] = "fetch"
    accepts_compressed: bool = msgspec.field(name="z", default=False)


class ConfigurationResponse(Message, frozen=True, kw_only=True, omit_defaults=True):
    """The registry's configuration; one of `data` and `compressed_data` is present.

    Attributes:
        version: Its version, 0 if there is none.
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
        is_forwarded: Whether another registry forwards it, so that it isn't forwarded again.
    """

    operation: ClassVar[str] = "bye"
    limiter_name: str = msgspec.field(name="name")
    is_forwarded: bool = msgspec.field(name="told", default=False)
