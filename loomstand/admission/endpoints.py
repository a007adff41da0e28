"""The endpoint list: the servers of all services, as service discovery describes them. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """What service discovery states about a server.

    Attributes:
        LIVE: Takes new requests.
        DRAINING: Finishes its requests in flight, and takes no new ones.
        GONE: Removed from service.
    """

    LIVE = "live"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One server of an endpoint list.

    Attributes:
        endpoint_id: Index of the server, assigned by the caller; never reused.
        state: What service discovery states about it.
        zone: Index of its zone (failure domain).
        kind: Index of its machine type.
        cell: Its deduplication cell: servers of one cell share their record of executed requests.
        capacity_hint: Stated capacity, relative to the other servers'.
        started_at: When its process started, in ticks of the common clock; 0 if not known, or so
            long ago that slow start is over.
        service: Index of the service it belongs to.
    """

    endpoint_id: int
    state: EndpointState
    zone: int
    kind: int
    cell: int
    capacity_hint: float
    started_at: int
    service: int = 0
