"""Distribution of endpoint lists among limiters.

Decides whether this limiter watches discovery, and which lists and changes it accepts and forwards.
No I/O; times are in seconds of the caller's monotonic clock.

The live limiters with the lowest numbers watch discovery; the others receive lists and changes from
peers. Each message states the revision of its sender's list and how long ago discovery confirmed
it. A limiter with an older revision requests the list. If the last confirmation known to the
limiters is too old, further limiters start to watch discovery one after another.
"""

from __future__ import annotations

from collections.abc import Sequence

from loomstand.config.limiter import BackendList, BackendRecord
from loomstand.membership.messages import Part

# Limiters that watch discovery. If two of them fail together, the third still receives every change
# immediately.
WATCHERS = 3
# Time after the start in which a limiter may not know the other live limiters yet.
EARLY_SECONDS = 2.0
# Delay between the starts of two further watchers: 4 starts per second, which a discovery service
# can handle.
WATCH_STAGGER_SECONDS = 0.25
# Age of the last confirmation after which further limiters start to watch discovery. Discovery
# confirms the list every 2 s, and a confirmation reaches all N limiters within about log2(N) ping
# periods of 1 s.
STALE_SECONDS = 10.0
PART_SERVERS = 40  # maximum number of servers in a sent datagram, which is then about 5 KB
MAX_SERVERS = 20_000  # maximum number of servers in an accepted list
PARTS_TIMEOUT_SECONDS = 2.0  # maximum time between the first and the last part of a list
# Peers to which a limiter forwards a new change, which reaches all N limiters in log4(N) steps.
FORWARD_COUNT = 4
REQUEST_INTERVAL_SECONDS = 0.2  # minimum time between two requests for a list


class EndpointLists:
    """A limiter's copy of the endpoint list.

    Args:
        limiter_id: The limiter's number.
        now: Time of the limiter's start.
        limiter_count: Number of limiters in the settings; 0 if unknown.

    Attributes:
        started_at: Time of the limiter's start.
        revision: Revision of the list; 0 without a list.
        servers: The servers in the list, by id.
        removed: For each removed server, the revision that removed it.
        confirmed_at: Time of the latest confirmation by discovery that any limiter reported.
        partial_lists: Incomplete lists, by sender and revision: the time when the first part
            arrived, and the parts, with None for each missing one.
        rejected_parts: Number of invalid parts received.
        requested_at: Time of the last request for a list.
    """

    def __init__(self, limiter_id: int, now: float, limiter_count: int = 0) -> None:
        self.limiter_id, self.started_at, self.limiter_count = limiter_id, now, limiter_count
        self.revision, self.servers = 0, dict[str, BackendRecord]()
        self.removed: dict[str, int] = {}
        self.confirmed_at = -STALE_SECONDS * 10
        self.partial_lists: dict[tuple[int, int], tuple[float, list[Part | None]]] = {}
        self.rejected_parts = 0
        self.requested_at = -REQUEST_INTERVAL_SECONDS

    # watching discovery

    def should_watch(self, now: float, alive: Sequence[int]) -> bool:
        """Returns whether this limiter is to watch discovery now.

        This depends on the limiter's rank among the live limiters, whose numbers are in `alive`.
        Until enough of them are known, its number is used as its rank: when all limiters start at
        once, none of them knows the others, and one that knows only a quarter of them would often
        rank among the first three.
        """
        knows_few = len(alive) < max(2, self.limiter_count / 2)
        is_early = now - self.started_at < EARLY_SECONDS or knows_few
        rank = self.limiter_id if is_early else list(alive).index(self.limiter_id)
        if rank < WATCHERS:
            return True
        stale_at = (
            max(self.started_at, self.confirmed_at + STALE_SECONDS)
            if self.revision
            else self.started_at
        )
        return now - stale_at > rank * WATCH_STAGGER_SECONDS

    def observe_age(self, now: float, age: float) -> None:
        """Records the seconds since discovery confirmed a peer's list; negative if it never did."""
        if age >= 0:
            self.confirmed_at = max(self.confirmed_at, now - age)

    def age(self, now: float) -> float:
        """Returns the seconds since discovery confirmed the list; -1 without a list."""
        return now - self.confirmed_at if self.revision else -1.0

    def should_request(self, now: float, revision: int) -> bool:
        """Returns whether to request the list of a peer that has this revision.

        If True, the request is recorded as sent now.
        """
        if revision <= self.revision or now - self.requested_at < REQUEST_INTERVAL_SECONDS:
            return False
        self.requested_at = now
        return True

    # accepting lists

    def from_discovery(self, now: float, received: BackendList) -> Part | None:
        """Applies a list or change from discovery, which is accepted even with a lower revision.

        Returns:
            The list or change as a part for peers; None if nothing changed.
        """
        previous_revision, self.confirmed_at = self.revision, now
        if received.complete:
            missing = [
                self.servers[id_]
                for id_ in self.servers.keys() - {server.id for server in received.backends}
            ]
            self.servers, self.removed = {}, {server.id: received.revision for server in missing}
        self.apply(received.backends, received.revision)
        is_changed, self.revision = (
            received.revision != previous_revision or received.complete,
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
            base_revision=previous_revision,
            servers=received.backends,
        )

    def apply(self, servers: Sequence[BackendRecord], revision: int) -> None:
        """Adds, updates and removes servers as of a revision; doesn't set `self.revision`."""
        for server in servers:
            if server.phase == "left":
                self.servers.pop(server.id, None)
                self.removed[server.id] = revision
            else:
                self.servers[server.id] = server
                self.removed.pop(server.id, None)

    def from_peer(self, now: float, part: Part) -> BackendList | None:
        """Applies a part of a peer's list or change.

        A peer's list never reverts a newer one: a removed server is added again only by discovery
        or by a higher revision. A server that is missing in a peer's list is not removed.

        Returns:
            The applied servers if the part completes a newer list or change, otherwise None.
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
            return None  # changes in between are missing: the caller requests the complete list
        self.partial_lists = {
            key: partial
            for key, partial in self.partial_lists.items()
            if now - partial[0] < PARTS_TIMEOUT_SECONDS
        }
        key = (part.id, part.revision)
        first_at, parts = self.partial_lists.get(key, (now, [None] * part.count))
        if len(parts) != part.count:
            self.rejected_parts += 1
            self.partial_lists.pop(key, None)
            return None
        parts[part.number] = part
        self.partial_lists[key] = (first_at, parts)
        if any(p is None for p in parts):
            return None
        self.partial_lists.pop(key, None)
        servers = [
            server
            for received in parts
            for server in received.servers
            if self.removed.get(server.id, -1) < part.revision
        ]
        self.apply(servers, part.revision)
        self.revision = part.revision
        return BackendList(revision=part.revision, complete=False, backends=servers)

    def whole_list(self) -> list[Part]:
        """Returns the parts of the complete list, with the removed servers; none without a list."""
        if not self.revision:
            return []
        removed = [
            BackendRecord(id=id_, address="127.0.0.1:1", phase="left") for id_ in self.removed
        ]
        servers = [*self.servers.values(), *removed]
        count = max(1, -(-len(servers) // PART_SERVERS))
        return [
            Part(
                self.limiter_id,
                0,
                self.revision,
                [],
                number=number,
                count=count,
                servers=servers[number * PART_SERVERS : (number + 1) * PART_SERVERS],
            )
            for number in range(count)
        ]

    def from_configuration(self, configured: BackendList) -> None:
        """Applies the list of the configuration file.

        Its revision is adopted, but doesn't count as confirmed by discovery, as the list may be
        out of date.
        """
        self.apply(configured.backends, configured.revision)
        self.revision = configured.revision
