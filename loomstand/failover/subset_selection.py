"""Selection of the servers that a limiter uses: a stable subset of the server ring. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol, TypeVar

from loomstand.admission.settings import EngineSettings

# Fraction of the golden ratio. Multiples of it modulo 1 are spread evenly over any run of adjacent
# limiter indices. Indices follow limiter names, so limiters of one zone are adjacent: with steps of
# 1/n they would all start in the same part of the ring.
GOLDEN_RATIO_FRACTION = 0.6180339887498949


class Endpoint(Protocol):
    """An endpoint list's entry of a server."""

    @property
    def zone(self) -> int:
        """Index of the server's zone."""


class Server(Protocol):
    """A server of the ring.

    Attributes:
        rejection_rates: Share of the requests that it rejects, by frontend.
    """

    rejection_rates: dict[int, float]

    @property
    def endpoint(self) -> Endpoint:
        """Its entry in the endpoint list."""

    def is_ejected(self, frontend: int) -> bool:
        """Returns whether its attempts for a frontend fail so often that it must not be used."""


ServerT = TypeVar("ServerT", bound=Server)


def preferred_servers(
    ring: Sequence[ServerT], settings: EngineSettings, max_count: int
) -> list[ServerT]:
    """Returns at most `max_count` servers of the ring in order of preference.

    Without `settings.local_zone_share`, limiters start at evenly spaced positions of the ring.
    With it, every prefix of the list has that share of servers in the limiter's own zone while
    there are any, as traffic between zones is expensive. The other servers keep a little traffic,
    because their answers show when the limiter's own zone is the busier one.
    """
    if not settings.local_zone_share:
        first = settings.limiter_index * len(ring) // max(1, settings.limiter_count)
        return [ring[n % len(ring)] for n in range(first, first + min(len(ring), max_count))]
    local = _reversed_from_offset(
        settings.limiter_index, [s for s in ring if s.endpoint.zone == settings.zone]
    )
    remote = _reversed_from_offset(
        settings.limiter_index, [s for s in ring if s.endpoint.zone != settings.zone]
    )
    selected: list[ServerT] = []
    local_count = 0
    while len(selected) < max_count and (local or remote):
        if local and (not remote or local_count <= len(selected) * settings.local_zone_share):
            selected.append(local.pop())
            local_count += 1
        else:
            selected.append(remote.pop())
    return selected


def select_servers(
    ring: Sequence[ServerT],
    lost: list[ServerT],
    settings: EngineSettings,
    subset_size: int,
    frontend_count: int,
) -> tuple[list[list[ServerT]], list[list[ServerT]]]:
    """Returns for each frontend the servers to use and the ejected servers, which include `lost`.

    The subset stays the same, so that outcomes accumulate quickly for its servers. Ejected servers
    are replaced by the next ones in order of preference, unless most are ejected: then the fault is
    not in the servers, and the subset is used as it is.

    Args:
        ring: The live servers outside lost zones.
        lost: The live servers of lost zones.
        settings: The engine's settings.
        subset_size: Number of servers to use.
        frontend_count: Number of frontends.
    """
    candidates = preferred_servers(ring, settings, 3 * subset_size)
    selected, ejected = list[list[ServerT]](), list[list[ServerT]]()
    for server in candidates:
        # a server that is not used yields no new outcomes, so its rejection rates decay
        server.rejection_rates = {n: rate / 2 for n, rate in server.rejection_rates.items()}
    for frontend in range(frontend_count):
        healthy = [s for s in candidates if not s.is_ejected(frontend)][:subset_size]
        too_few = len(healthy) * 3 < subset_size
        selected.append(candidates[:subset_size] if too_few else healthy)
        ejected.append(
            lost
            + ([] if too_few else [s for s in candidates[:subset_size] if s.is_ejected(frontend)])
        )
    return selected, ejected


def _reversed_from_offset(limiter_index: int, ring: list[ServerT]) -> list[ServerT]:
    """Returns the ring starting at the limiter's offset, in reverse order for `pop`."""
    offset = int(len(ring) * (limiter_index * GOLDEN_RATIO_FRACTION % 1.0))
    return [*ring[offset:], *ring[:offset]][::-1]
