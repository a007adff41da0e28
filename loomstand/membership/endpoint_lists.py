"""Lists of servers from one limiter to the next: who asks discovery, what is believed and passed
on; pure.

A few limiters, the first of those alive by number, hold a watch on discovery; the others get lists
and changes from peers. Each message says which revision its sender holds and how old discovery's
last word is; one that holds less wants more, and where the word gets old for all, further ones ask
discovery in turn.

Times are seconds on the caller's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Sequence

from loomstand.config.limiter import BackendList, BackendRecord
from loomstand.membership.messages import Part

WATCHERS = 3  # two can die together and a third still has every change at once
# s between two limiters that begin to ask discovery: four a second, under any discovery's room
STEP = 0.25
# s: discovery beats every 2 s, and word of it takes some log2(N) pings of 1 s to reach all
OLD = 10.0
PIECE = 40  # members a datagram: some 5 KB
MOST = 20_000  # members of a list: larger ones are no list
TORN = 2.0  # s that the pieces of a list may take
PASS_ON = 4  # limiters that a change is passed on to when it is new: all have it in log4(N) steps
AGAIN = 0.2  # s between two requests for a list


class Lists:
    """What one limiter holds of the list, and its part in passing it on. `me` is its number, of so
    many.
    """

    def __init__(self, me: int, now: float, limiters: int = 0) -> None:
        self.me, self.began, self.limiters = me, now, limiters
        self.revision, self.members = 0, dict[str, BackendRecord]()
        self.left: dict[str, int] = {}  # servers that have left, with the revision that said so
        self.fresh = -OLD * 10  # when discovery last said anything, to anybody
        self.pieces: dict[tuple[int, int], tuple[float, list[Part | None]]] = {}
        self.refused = 0
        self.asked = -AGAIN

    # who asks discovery

    def watching(self, now: float, alive: Sequence[int]) -> bool:
        """Whether this limiter is to ask discovery now. Until others have had the time to be heard
        of, the rank is the number that the settings give: a whole fleet that starts knows nobody,
        and one that knows a fourth of the others would take itself for one of the first three.
        """
        young = now - self.began < 2.0 or len(alive) < max(2, self.limiters / 2)
        rank = self.me if young else list(alive).index(self.me)
        if rank < WATCHERS:
            return True
        since = max(self.began, self.fresh + OLD) if self.revision else self.began
        return now - since > rank * STEP

    def heard(self, now: float, age: float) -> None:
        """A peer says how old discovery's word is with it; below 0 where it has none."""
        if age >= 0:
            self.fresh = max(self.fresh, now - age)

    def age(self, now: float) -> float:
        return now - self.fresh if self.revision else -1.0

    def wants(self, now: float, revision: int) -> bool:
        """Whether to ask a peer that holds this revision for its list, now."""
        if revision <= self.revision or now - self.asked < AGAIN:
            return False
        self.asked = now
        return True

    # what is believed

    def from_discovery(self, now: float, told: BackendList) -> Part | None:
        """Discovery itself is always believed, also when it goes back. What is to be passed on, if
        anything changed.
        """
        since, self.fresh = self.revision, now
        if told.complete:
            gone = [self.members[i] for i in self.members.keys() - {m.id for m in told.backends}]
            self.members, self.left = {}, {m.id: told.revision for m in gone}
        self.put(told.backends, told.revision)
        changed, self.revision = told.revision != since or told.complete, told.revision
        if not changed:
            return None
        return Part(
            self.me, 0, self.revision, [], whole=told.complete, since=since, members=told.backends
        )

    def put(self, members: Sequence[BackendRecord], revision: int) -> None:
        for m in members:
            if m.phase == "left":
                self.members.pop(m.id, None)
                self.left[m.id] = revision
            else:
                self.members[m.id] = m
                self.left.pop(m.id, None)

    def from_peer(self, now: float, part: Part) -> BackendList | None:
        """What the limiter is to be told, if a piece of a list makes one that is newer than what is
        held. Never backwards: a server that left comes back by discovery's own word or a higher
        revision, and from a peer alone no server is believed to be gone because it is not named.
        """
        if (
            not 0 <= part.n < part.of <= MOST // PIECE
            or len(part.members) > 2 * PIECE
            or part.revision < 1
        ):
            self.refused += 1
            return None
        if part.revision <= self.revision:
            return None
        if not part.whole and part.since > self.revision:
            return None  # something between is missing: the next ping asks for the whole
        self.pieces = {k: p for k, p in self.pieces.items() if now - p[0] < TORN}
        key = (part.id, part.revision)
        since, pieces = self.pieces.get(key, (now, [None] * part.of))
        if len(pieces) != part.of:
            self.refused += 1
            self.pieces.pop(key, None)
            return None
        pieces[part.n] = part
        self.pieces[key] = (since, pieces)
        if any(p is None for p in pieces):
            return None
        self.pieces.pop(key, None)
        members = [m for p in pieces for m in p.members if self.left.get(m.id, -1) < part.revision]
        self.put(members, part.revision)
        self.revision = part.revision
        return BackendList(revision=part.revision, complete=False, backends=members)

    def whole(self) -> list[Part]:
        """The whole list in pieces, for a peer that wants it; none where none is held."""
        if not self.revision:
            return []
        gone = [BackendRecord(id=i, address="127.0.0.1:1", phase="left") for i in self.left]
        every = [*self.members.values(), *gone]
        of = max(1, -(-len(every) // PIECE))
        return [
            Part(
                self.me,
                0,
                self.revision,
                [],
                n=n,
                of=of,
                members=every[n * PIECE : (n + 1) * PIECE],
            )
            for n in range(of)
        ]

    def known(self, told: BackendList) -> None:
        """The list of the configuration, which may be old: its revision counts, it is nobody's
        fresh word.
        """
        self.put(told.backends, told.revision)
        self.revision = told.revision
