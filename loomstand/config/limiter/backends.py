"""Servers as discovery, the limiter's file and peers list them. Pure."""

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
    """A server as discovery lists it.

    Attributes:
        id: Its identity.
        address: HOST:PORT, with a numeric host.
        phase: Whether it takes requests, is draining or is gone.
        zone: Its zone.
        kind: Its kind.
        pod: The cell within which servers drop repeats.
        capacity_hint: Its capacity beside that of other servers.
        started_at_ms: When it started; 0 where that isn't known.
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
        revision: The list's revision; it grows.
        complete: Whether servers that aren't in it are gone; else it has changes only.
        backends: The servers.
    """

    revision: int = 0
    complete: bool = False
    backends: list[BackendRecord] = msgspec.field(default_factory=list)
