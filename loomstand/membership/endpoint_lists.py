"""Distribution of endpoint lists among limiters: who watches discovery, what is accepted and
forwarded. Pure.

The first few of the live limiters, by number, watch discovery; the others receive lists and changes
from peers. Each message states the revision of its sender's list and how long ago discovery
confirmed it. A limiter with an older revision requests the list. If the last confirmation is too
old for all, further limiters start to watch discovery one after another.

Times are seconds on the caller's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Sequence

from loomstand.config.limiter import BackendList, BackendRecord
from loomstand.membership.messages import Part

WATCHERS = 3  # if two of them die together, the third still receives every change at once
# between two limiters that start to watch: 4/s, less than any discovery service can handle
WATCH_STAGGER_SECONDS = 0.25
# Discovery confirms the list every 2 s; that reaches all limiters after about log2(N) pings of 1 s.
STALE_SECONDS = 10.0
PART_SERVERS = 40  # servers in a datagram, about 5 KB
MAX_SERVERS = 20_000  # in a list; larger ones are rejected
PARTS_TIMEOUT_SECONDS = 2.0  # from the first to the last part of a list
FORWARD_COUNT = 4  # limiters that a new change is sent on to: it reaches all in log4(N) steps
REQUEST_INTERVAL_SECONDS = 0.2  # between two requests for a list


class EndpointLists:
    """A limiter's copy of the endpoint list, and its part in the distribution.

    Args:
        limiter_id: The limiter's number.
        now: The time in seconds.
        limiter_count: Number of limiters by the settings; 0 if not known.
    """

    def __init__(self, limiter_id: int, now: float, limiter_count: int = 0) -> None:
        self.limiter_id, self.started_at, self.limiter_count = limiter_id, now, limiter_count
        self.revision, self.servers = 0, dict[str, BackendRecord]()
        self.removed: dict[str, int] = {}  # removed servers, by the revision that removed them
        self.confirmed_at = -STALE_SECONDS * 10  # when discovery last confirmed it to any limiter
        # incomplete lists, by sender and revision: when the first part arrived, the parts
        self.partial_lists: dict[tuple[int, int], tuple[float, list[Part | None]]] = {}
        self.rejected_parts = 0
        self.requested_at = -REQUEST_INTERVAL_SECONDS

    # watching discovery

    def should_watch(self, now: float, alive: Sequence[int]) -> bool:
        """Returns whether this limiter is to watch discovery now.

        The rank among the live limiters decides. Until enough of them are known, the limiter's
        number takes its place: at a simultaneous start nobody knows the others, and a limiter that
        knows a quarter of them would count itself among the first three.
        """
        is_early = now - self.started_at < 2.0 or len(alive) < max(2, self.limiter_count / 2)
        rank = self.limiter_id if is_early else list(alive).index(self.limiter_id)
        if rank < WATCHERS:
            return True
        since = (
            max(self.started_at, self.confirmed_at + STALE_SECONDS)
            if self.revision
            else self.started_at
        )
        return now - since > rank * WATCH_STAGGER_SECONDS

    def observe_age(self, now: float, age: float) -> None:
        """Notes how many seconds ago discovery confirmed a peer's list; below 0 for never."""
        if age >= 0:
            self.confirmed_at = max(self.confirmed_at, now - age)

    def age(self, now: float) -> float:
        """Returns how many seconds ago discovery confirmed the list; -1 without a list."""
        return now - self.confirmed_at if self.revision else -1.0

    def should_request(self, now: float, revision: int) -> bool:
        """Returns whether to request the list of a peer with this revision; counts as requested."""
        if revision <= self.revision or now - self.requested_at < REQUEST_INTERVAL_SECONDS:
            return False
        self.requested_at = now
        return True

    # accepting lists

    def from_discovery(self, now: float, received: BackendList) -> Part | None:
        """Applies a list from discovery, which is always accepted, even with a lower revision.

        Returns:
            The change to forward, or None if nothing changed.
        """
        since, self.confirmed_at = self.revision, now
        if received.complete:
            missing = [
                self.servers[i] for i in self.servers.keys() - {m.id for m in received.backends}
            ]
            self.servers, self.removed = {}, {m.id: received.revision for m in missing}
        self.apply(received.backends, received.revision)
        is_changed, self.revision = (
            received.revision != since or received.complete,
            received.revision,
        )
        if not is_changed:
            return None
        return Part(
            self.limiter_id,
            0,
            self.revision,
            [],
            is_whole=received.complete,
            base_revision=since,
            servers=received.backends,
        )

    def apply(self, servers: Sequence[BackendRecord], revision: int) -> None:
        for server in servers:
            if server.phase == "left":
                self.servers.pop(server.id, None)
                self.removed[server.id] = revision
            else:
                self.servers[server.id] = server
                self.removed.pop(server.id, None)

    def from_peer(self, now: float, part: Part) -> BackendList | None:
        """Applies a part of a peer's list.

        The list never goes back: a removed server returns with discovery's own list or a higher
        revision only, and a server that is missing in a peer's list is not removed.

        Returns:
            The changes, if the part completes a newer list.
        """
        if (
            not 0 <= part.number < part.count <= MAX_SERVERS // PART_SERVERS
            or len(part.servers) > 2 * PART_SERVERS
            or part.revision < 1
        ):
            self.rejected_parts += 1
            return None
        if part.revision <= self.revision:
            return None
        if not part.is_whole and part.base_revision > self.revision:
            return None  # changes in between are missing: the next ping requests the whole list
        self.partial_lists = {
            k: p for k, p in self.partial_lists.items() if now - p[0] < PARTS_TIMEOUT_SECONDS
        }
        key = (part.id, part.revision)
        since, parts = self.partial_lists.get(key, (now, [None] * part.count))
        if len(parts) != part.count:
            self.rejected_parts += 1
            self.partial_lists.pop(key, None)
            return None
        parts[part.number] = part
        self.partial_lists[key] = (since, parts)
        if any(p is None for p in parts):
            return None
        self.partial_lists.pop(key, None)
        servers = [
            s for p in parts for s in p.servers if self.removed.get(s.id, -1) < part.revision
        ]
        self.apply(servers, part.revision)
        self.revision = part.revision
        return BackendList(revision=part.revision, complete=False, backends=servers)

    def whole_list(self) -> list[Part]:
        """Returns the parts of the whole list; none without a list."""
        if not self.revision:
            return []
        removed = [BackendRecord(id=i, address="127.0.0.1:1", phase="left") for i in self.removed]
        servers = [*self.servers.values(), *removed]
        count = max(1, -(-len(servers) // PART_SERVERS))
        return [
            Part(
                self.limiter_id,
                0,
                self.revision,
                [],
                number=n,
                count=count,
                servers=servers[n * PART_SERVERS : (n + 1) * PART_SERVERS],
            )
            for n in range(count)
        ]

    def from_configuration(self, configured: BackendList) -> None:
        """Applies the list of the configuration file.

        It may be out of date: its revision counts, but not as a confirmation by discovery.
        """
        self.apply(configured.backends, configured.revision)
        self.revision = configured.revision
