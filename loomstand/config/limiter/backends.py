"""Servers as listed by discovery, by the limiter's file and by peers. Pure."""

from __future__ import annotations

from typing import Literal

import msgspec

from loomstand.config.limiter.addresses import parse_host_port
from loomstand.config.limiter.wire_settings import WireStruct


class BackendRecord(
    WireStruct,
    rename={
        "address": "host_port",
        "zone": "locality",
        "kind": "flavor",
        "pod": "cell",
        "capacity_hint": "size",
        "started_at_ms": "up_since_ms",
    },
):
    """A server as listed by discovery.

    Attributes:
        id: Identifier of the server.
        address: HOST:PORT, with a numeric host.
        phase: `active` if the server accepts requests, `leaving` while it drains, then `left`.
        zone: Zone of the server.
        kind: Kind of the server.
        pod: The cell within which servers discard repeated requests.
        capacity_hint: Capacity relative to other servers.
        started_at_ms: Start time in milliseconds; 0 if it isn't known.
    """

    id: str
    address: str
    phase: Literal["active", "leaving", "left"] = "active"
    zone: str = ""
    kind: str = ""
    pod: int = 0
    capacity_hint: float = 1.0
    started_at_ms: float = 0.0

    def __post_init__(self) -> None:
        parse_host_port(self.address, "host_port")


class BackendList(WireStruct, rename={"backends": "members"}):
    """A list of servers.

    Attributes:
        revision: The list's revision, which increases.
        complete: Whether servers that aren't listed have left; otherwise the list has only changes.
        backends: The servers.
    """

    revision: int = 0
    complete: bool = False
    backends: list[BackendRecord] = msgspec.field(default_factory=list)
