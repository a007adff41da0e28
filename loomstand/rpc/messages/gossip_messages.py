"""Messages between registries about servers, limiters and the holder of the counting lease.

Times are sent as ages in seconds before the sending, as the registries' clocks differ.
"""

from __future__ import annotations

from typing import ClassVar

import msgspec

from loomstand.rpc.messages.base import EmptyRequest, Message, Request
from loomstand.rpc.messages.rows import CountingTermRow, InstanceRow, Row


class HeartbeatRow(Row, frozen=True, array_like=True):
    """A server's latest heartbeat at a registry.

    Attributes:
        sequence: Number of the heartbeat.
        age_seconds: Time since the registry received it.
    """

    sequence: int
    age_seconds: float


class GossipRequest(Request, frozen=True, kw_only=True, omit_defaults=True):
    """A registry sends another one the state that it received from servers and limiters.

    `recent_heartbeats`, `limiters_digest`, `clock_seconds` and `counting_term` are present in the
    periodic messages; the other fields are present if the receiver lacks their contents.

    Attributes:
        recent_heartbeats: By instance id, the servers' heartbeats received since the last periodic
            message.
        limiters_digest: Checksum of the names of the limiters with a session at the sender.
        clock_seconds: The sender's reading of the shared clock, in seconds.
        counting_term: The sender's term if it holds the counting lease, otherwise None.
        instances: Servers that changed, or that the receiver doesn't know.
        instance_ages: By instance id, the age of the latest heartbeat in seconds.
        limiter_ages: By name of a limiter, the seconds since its last message to the sender.
    """

    operation: ClassVar[str] = "tell"
    recent_heartbeats: dict[str, HeartbeatRow] | None = msgspec.field(name="alive", default=None)
    limiters_digest: int | None = msgspec.field(name="crew", default=None)
    clock_seconds: float | None = msgspec.field(name="clock", default=None)
    counting_term: CountingTermRow | msgspec.UnsetType | None = msgspec.field(
        name="counts", default=msgspec.UNSET
    )
    instances: list[InstanceRow] | None = msgspec.field(name="rows", default=None)
    instance_ages: dict[str, float] | None = msgspec.field(name="ages", default=None)
    limiter_ages: dict[str, float] | None = msgspec.field(name="hands", default=None)


class GossipResponse(Message, frozen=True, kw_only=True):
    """What the receiver of a `GossipRequest` lacks.

    Attributes:
        unknown_instances: Ids of servers in the request whose rows the receiver needs.
        has_same_limiters: Whether the same limiters have a session with the receiver.
    """

    unknown_instances: list[str] = msgspec.field(name="unknown", default_factory=list)
    has_same_limiters: bool = msgspec.field(name="same", default=False)


class SnapshotRequest(EmptyRequest, frozen=True, kw_only=True):
    """A registry that has just started requests another one's complete table of servers."""

    operation: ClassVar[str] = "whole"


class SnapshotResponse(Message, frozen=True, kw_only=True):
    """A registry's complete table of servers.

    Attributes:
        instances: The servers.
        instance_ages: By instance id, the age of the latest heartbeat in seconds.
        clock_seconds: The sender's reading of the shared clock, in seconds.
        is_clock_set: Whether limiters use that clock; otherwise it is the sender's time of day,
            which may be wrong.
    """

    instances: list[InstanceRow] = msgspec.field(name="rows")
    instance_ages: dict[str, float] = msgspec.field(name="ages")
    clock_seconds: float = msgspec.field(name="clock")
    is_clock_set: bool = msgspec.field(name="timed")
