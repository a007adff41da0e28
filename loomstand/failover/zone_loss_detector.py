"""Evidence of the loss of a zone, as one limiter has it, and of its return.

A zone is whole, doubtful (its servers are silent, most of those in use and all at once), lost, or
returning. Nothing is sent to a doubtful or lost zone but probes; a returning one gets a share that
grows. How soon is derived from the settings: an answer is overdue after its frontend's response
target, when it is worth nothing any more; a zone comes back over the time for which a server is
cold.

Every time is a clock reading or span in tenths of a millisecond, told by the caller.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

NEVER = -(1 << 60)
LATELY = 100_000  # 10 s: servers used within it are in use, by a limiter of a few reqs a second too
MOST = 8  # doublings stop here: three in a row are a habit


class State(Enum):
    WHOLE = "whole"
    DOUBTFUL = "doubtful"
    LOST = "lost"
    RETURNING = "returning"


@dataclass(slots=True)
class Move:
    """A zone went from one state to another."""

    zone: int
    old: State
    new: State
    why: str
    part: float  # of all live servers that were not lost before, those of this zone


@dataclass(slots=True)
class Zone:
    """What is known of one zone."""

    # servers that the list has, with their start
    live: dict[int, int] = field(default_factory=dict)
    # sent, due, server
    open: dict[tuple[int, int], tuple[int, int, int]] = field(default_factory=dict)
    heard: dict[int, int] = field(default_factory=dict)  # by server: its last sign of life
    failed: dict[int, int] = field(default_factory=dict)  # by server: its last end without one
    heard_at: int = NEVER
    state: State = State.WHOLE
    since: int = NEVER
    wary: int = 1  # how many times as long the next doubt takes, after doubts that were none
    hold: int = 1  # how many times as long the next return takes, after returns that didn't last
    calm_at: int = NEVER  # since when it is whole
    lost_at: int = NEVER
    progress: int = 0  # of the return
    moved_at: int = 0
    held_until: int = NEVER  # the return waits


class Watch:
    """All zones as one limiter sees them. `patience` is the response target (the longest of all
    frontends where they differ: a zone is not lost because one frontend is slow), `ramp` how long a
    return takes and `start` the share that it begins with.
    """

    def __init__(self, patience: int, ramp: int, start: float) -> None:
        self.patience, self.ramp, self.start = patience, max(ramp, 4 * patience), start
        self.zones: dict[int, Zone] = {}
        self.moves: list[Move] = []
        self.looked = NEVER

    # what happens

    def listed(self, now: int, servers: Iterable[tuple[int, int, int]]) -> None:
        """The servers that the list has as live now: server, zone, when it started (0: long
        ago).
        """
        there: dict[int, dict[int, int]] = {}
        for srv, zone, booted in servers:
            there.setdefault(zone, {})[srv] = booted
        for n in there.keys() | self.zones.keys():
            zone, live = self.zones.setdefault(n, Zone()), there.get(n, {})
            for srv in zone.live.keys() - live.keys():
                zone.heard.pop(srv, None)
                zone.failed.pop(srv, None)
            for srv, booted in live.items():
                # another process: what the old one did is over
                if zone.live.get(srv, booted) != booted:
                    zone.heard.pop(srv, None)
                    zone.failed.pop(srv, None)
            had, zone.live = zone.live, live
            if had and not live and zone.state is not State.LOST:
                self.move(now, n, State.LOST, "the list has none of its servers any more", len(had))
            new = sum(booted > zone.since for booted in live.values())
            if zone.state is State.LOST and live and (2 * new > len(live) or not had):
                self.move(now, n, State.RETURNING, "the list has new servers of it")

    def sent(self, now: int, key: tuple[int, int], zone: int, srv: int) -> None:
        self.zones.setdefault(zone, Zone()).open[key] = (now, now + self.patience, srv)

    def ended(
        self, now: int, key: tuple[int, int], zone: int, srv: int, alive: bool, late: bool
    ) -> None:
        """A dispatch ended; `alive` if something came from the server, `late` if after its
        target.
        """
        here = self.zones.setdefault(zone, Zone())
        here.open.pop(key, None)
        if srv not in here.live:
            return
        if not alive:
            here.failed[srv] = now
        else:
            here.heard[srv] = here.heard_at = now
        if here.state is State.RETURNING and (late or not alive):
            self.advance(now, here)
            here.held_until = now + self.patience  # answers worsen: no further for now
        if alive and here.state in (State.DOUBTFUL, State.LOST):
            self.sign_of_life(now, zone, here)

    def sign_of_life(self, now: int, n: int, zone: Zone) -> None:
        if zone.state is State.DOUBTFUL:
            # somebody is there: single servers are the module's to set aside
            zone.wary = min(MOST, 2 * zone.wary)
            self.move(now, n, State.WHOLE, "a server of it answered")
            return
        came = sum(at > zone.since for at in zone.heard.values())
        if came >= min(2, len(zone.live)):
            self.move(now, n, State.RETURNING, f"{came} servers of it answered")

    # what follows

    def silent(self, now: int, zone: Zone) -> tuple[set[int], set[int]]:
        """Servers that owe a sign of life since the zone's last one (an answer was due, or failed
        to come), and all that were used lately. What was due before tells of single servers: others
        answered since.
        """
        out = {srv for srv, t in zone.failed.items() if t > zone.heard_at}
        for _, due, srv in zone.open.values():
            if due > now:
                break  # the rest was sent later
            if due > zone.heard_at:
                out.add(srv)
        used = {srv for _, _, srv in zone.open.values()}
        for at in (zone.heard, zone.failed):
            used |= {srv for srv, t in at.items() if now - t < LATELY}
        return out & zone.live.keys(), used & zone.live.keys()

    def look(self, now: int) -> None:
        """Judges all zones; called with whatever happens, it does something every eighth of the
        patience.
        """
        if now - self.looked < self.patience // 8:
            return
        self.looked = now
        for n, zone in self.zones.items():
            calm = now - zone.calm_at > 20 * self.patience * zone.wary
            if zone.state is State.WHOLE and zone.wary > 1 and calm:
                zone.wary //= 2
                zone.calm_at = now
            quiet_for = now - max(zone.heard_at, zone.since)
            if zone.state is State.DOUBTFUL:
                if now - zone.since >= self.patience:
                    self.move(now, n, State.LOST, "it stayed silent")
                continue
            if zone.state is State.LOST:
                continue
            silent, used = self.silent(now, zone)
            most = 2 * len(silent) > len(used) and len(silent) >= min(2, len(zone.live))
            if quiet_for >= self.patience * zone.wary and silent and most:
                new = State.DOUBTFUL if zone.state is State.WHOLE else State.LOST
                self.move(now, n, new, f"{len(silent)} of {len(used)} servers in use are silent")
            if zone.state is State.RETURNING:
                self.advance(now, zone)
                if zone.progress >= self.ramp * zone.hold:
                    self.move(now, n, State.WHOLE, "it bore its whole share")

    def advance(self, now: int, zone: Zone) -> None:
        """The return goes on for as long as answers are good."""
        if now > zone.held_until:
            zone.progress += now - max(zone.moved_at, zone.held_until)
        zone.moved_at = now

    def move(self, now: int, n: int, new: State, why: str, had: int = 0) -> None:
        zone = self.zones[n]
        mine = had or len(zone.live)
        others = sum(
            len(z.live) for z in self.zones.values() if z is not zone and z.state is not State.LOST
        )
        self.moves.append(Move(n, zone.state, new, why, mine / max(1, mine + others)))
        zone.state, zone.since = new, now
        zone.progress, zone.moved_at, zone.held_until = 0, now, NEVER
        if new is State.WHOLE:
            zone.calm_at = now
        if new is State.LOST:
            # longer each time it is lost again within so long of the return before
            again = now - zone.lost_at < 8 * self.ramp * zone.hold
            zone.hold, zone.lost_at = min(MOST, 2 * zone.hold) if again else 1, now
            # they are given up by their own expiry; nothing new is learnt from that
            zone.open.clear()
            zone.heard.clear()

    # what the limiter asks

    def avoided(self, zone: int) -> bool:
        """Whether nothing but probes goes there: never all zones, as something must be tried."""
        here = self.zones.get(zone)
        if here is None or here.state not in (State.DOUBTFUL, State.LOST):
            return False
        return any(
            z.live and z.state not in (State.DOUBTFUL, State.LOST) for z in self.zones.values()
        )

    def share(self, zone: int) -> float:
        """Of the usual, what a zone gets now: 1 unless it returns."""
        here = self.zones.get(zone)
        if here is None or here.state is not State.RETURNING:
            return 1.0
        return self.start + (1 - self.start) * min(1.0, here.progress / (self.ramp * here.hold))
