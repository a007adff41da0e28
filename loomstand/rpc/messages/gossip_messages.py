"""Messages among the registries: what each heard of servers and limiters, and who counts.

Ages are in seconds before the sending, as registries' clocks differ.
"""

from __future__ import annotations

from typing import ClassVar

import msgspec

from loomstand.rpc.messages.base import EmptyRequest, Message, Request
from loomstand.rpc.messages.rows import CountingTermRow, InstanceRow, Row


class HeardInstanceRow(Row, frozen=True, array_like=True):
    """A server's latest heartbeat at a registry.

    Attributes:
        sequence: The heartbeat's number.
        age_seconds: Since it came.
    """

    sequence: int
    age_seconds: float


class GossipRequest(Request, frozen=True, kw_only=True, omit_defaults=True):
    """A registry tells another one what it heard.

    `heard_instances`, `limiters_digest`, `clock_seconds` and `counting_term` are present in the
    regular rounds; the rest where the other registry lacks it.

    Attributes:
        heard_instances: By instance id, the servers that spoke here since the last round.
        limiters_digest: Checksum of the names of the limiters with a session here.
        clock_seconds: The shared clock, in seconds.
        counting_term: This registry's term if it counts, None if it doesn't.
        instances: Servers that changed, or that the other registry doesn't know.
        instance_ages: By instance id, the age of its latest heartbeat in seconds.
        limiter_ages: By name, the limiters that spoke here, with the seconds since.
    """

    operation: ClassVar[str] = "tell"
    heard_instances: dict[str, HeardInstanceRow] | None = msgspec.field(name="alive", default=None)
    limiters_digest: int | None = msgspec.field(name="crew", default=None)
    clock_seconds: float | None = msgspec.field(name="clock", default=None)
    counting_term: CountingTermRow | msgspec.UnsetType | None = msgspec.field(
        name="counts", default=msgspec.UNSET
    )
    instances: list[InstanceRow] | None = msgspec.field(name="rows", default=None)
    instance_ages: dict[str, float] | None = msgspec.field(name="ages", default=None)
    limiter_ages: dict[str, float] | None = msgspec.field(name="hands", default=None)


class GossipResponse(Message, frozen=True, kw_only=True):
    """What the registry that was told lacks.

    Attributes:
        unknown_instances: Ids of the servers it was told of whose rows it needs.
        has_same_limiters: Whether the same limiters have a session with it.
    """

    unknown_instances: list[str] = msgspec.field(name="unknown", default_factory=list)
    has_same_limiters: bool = msgspec.field(name="same", default=False)


class SnapshotRequest(EmptyRequest, frozen=True, kw_only=True):
    """A registry that has just started asks for all that another one knows of servers."""

    operation: ClassVar[str] = "whole"


class SnapshotResponse(Message, frozen=True, kw_only=True):
    """All that a registry knows of servers.

    Attributes:
        instances: The servers.
        instance_ages: By instance id, the age of its latest heartbeat in seconds.
        clock_seconds: The shared clock, in seconds.
        is_clock_known: Whether the shared clock was set by another program.
    """

    instances: list[InstanceRow] = msgspec.field(name="rows")
    instance_ages: dict[str, float] = msgspec.field(name="ages")
    clock_seconds: float = msgspec.field(name="clock")
    is_clock_known: bool = msgspec.field(name="timed")
