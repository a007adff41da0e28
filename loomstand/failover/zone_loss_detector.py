"""Detection of the loss of a zone and of its return, from what one limiter observes.

A zone is whole, doubtful (most of its servers in use stopped answering at the same time), lost or
returning. A doubtful or lost zone receives probes only; a returning zone receives a growing share
of its traffic. The time limits come from the settings: an answer is overdue after the frontend's
response target, when it has no value any more; a zone returns over the warm-up time of a server.

All times and durations are in ticks of 0.1 ms; the caller passes the clock readings in.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

NEVER = -(1 << 60)
# 10 s in ticks: long enough that a limiter of a few requests/s has used each of its servers
IN_USE_PERIOD = 100_000
MAX_BACKOFF = 8  # three doublings, after repeated losses or false alarms


class ZoneState(Enum):
    WHOLE = "whole"
    DOUBTFUL = "doubtful"
    LOST = "lost"
    RETURNING = "returning"


@dataclass(slots=True)
class Transition:
    """A change of a zone's state."""

    zone: int
    old: ZoneState
    new: ZoneState
    reason: str
    server_share: float  # the zone's part of all live servers that were not lost before


@dataclass(slots=True)
class ZoneHealth:
    """What a limiter has observed of one zone."""

    # servers live by the endpoint list, with their start times
    live: dict[int, int] = field(default_factory=dict)
    # attempts in flight: when sent, when due, server
    in_flight: dict[tuple[int, int], tuple[int, int, int]] = field(default_factory=dict)
    answered_at: dict[int, int] = field(default_factory=dict)  # by server: its last answer
    failed_at: dict[int, int] = field(default_factory=dict)  # by server: its last missing answer
    last_answer_at: int = NEVER
    state: ZoneState = ZoneState.WHOLE
    state_since: int = NEVER
    doubt_backoff: int = 1  # factor on the time to the next doubt, raised by false alarms
    return_backoff: int = 1  # factor on the time of the next return, raised by repeated losses
    stable_since: int = NEVER  # when the zone became whole, or its doubt_backoff last fell
    lost_at: int = NEVER
    return_progress: int = 0  # ticks
    progress_updated_at: int = 0
    paused_until: int = NEVER  # the return makes no progress until then


class ZoneLossDetector:
    """The states of all zones from one limiter's point of view.

    Args:
        answer_timeout: The response target in ticks; the longest where frontends differ, as a zone
            is not lost because one frontend is slow.
        return_duration: How long a return takes, in ticks.
        initial_share: The share of its traffic that a returning zone receives at first.
    """

    def __init__(self, answer_timeout: int, return_duration: int, initial_share: float) -> None:
        self.answer_timeout, self.return_duration, self.initial_share = (
            answer_timeout,
            max(return_duration, 4 * answer_timeout),
            initial_share,
        )
        self.zones: dict[int, ZoneHealth] = {}
        self.transitions: list[Transition] = []
        self.evaluated_at = NEVER

    # observations

    def update_endpoints(self, now: int, servers: Iterable[tuple[int, int, int]]) -> None:
        """Follows an endpoint list.

        Args:
            now: The time in ticks.
            servers: For each live server its number, zone and start time (0: not recent).
        """
        by_zone: dict[int, dict[int, int]] = {}
        for server, zone_id, started_at in servers:
            by_zone.setdefault(zone_id, {})[server] = started_at
        for zone_id in by_zone.keys() | self.zones.keys():
            zone, live = self.zones.setdefault(zone_id, ZoneHealth()), by_zone.get(zone_id, {})
            for server in zone.live.keys() - live.keys():
                zone.answered_at.pop(server, None)
                zone.failed_at.pop(server, None)
            for server, started_at in live.items():
                # a restarted process: observations of the previous one no longer apply
                if zone.live.get(server, started_at) != started_at:
                    zone.answered_at.pop(server, None)
                    zone.failed_at.pop(server, None)
            live_before, zone.live = zone.live, live
            if live_before and not live and zone.state is not ZoneState.LOST:
                self.set_state(
                    now,
                    zone_id,
                    ZoneState.LOST,
                    "the endpoint list has no servers of the zone",
                    len(live_before),
                )
            new_count = sum(started_at > zone.state_since for started_at in live.values())
            if (
                zone.state is ZoneState.LOST
                and live
                and (2 * new_count > len(live) or not live_before)
            ):
                self.set_state(
                    now,
                    zone_id,
                    ZoneState.RETURNING,
                    "the endpoint list has new servers of the zone",
                )

    def attempt_sent(self, now: int, key: tuple[int, int], zone_id: int, server: int) -> None:
        self.zones.setdefault(zone_id, ZoneHealth()).in_flight[key] = (
            now,
            now + self.answer_timeout,
            server,
        )

    def attempt_ended(
        self,
        now: int,
        key: tuple[int, int],
        zone_id: int,
        server: int,
        is_answered: bool,
        is_late: bool,
    ) -> None:
        """Follows the end of an attempt.

        Args:
            now: The time in ticks.
            key: The request and the number of its attempt.
            zone_id: The server's zone.
            server: The server.
            is_answered: Whether the server sent anything.
            is_late: Whether the attempt ended after the frontend's response target.
        """
        zone = self.zones.setdefault(zone_id, ZoneHealth())
        zone.in_flight.pop(key, None)
        if server not in zone.live:
            return
        if not is_answered:
            zone.failed_at[server] = now
        else:
            zone.answered_at[server] = zone.last_answer_at = now
        if zone.state is ZoneState.RETURNING and (is_late or not is_answered):
            self.advance_return(now, zone)
            # answers are getting worse, so the share stops growing for a while
            zone.paused_until = now + self.answer_timeout
        if is_answered and zone.state in (ZoneState.DOUBTFUL, ZoneState.LOST):
            self.on_recovery_answer(now, zone_id, zone)

    def on_recovery_answer(self, now: int, zone_id: int, zone: ZoneHealth) -> None:
        if zone.state is ZoneState.DOUBTFUL:
            # the zone is reachable: the decision engine ejects single servers
            zone.doubt_backoff = min(MAX_BACKOFF, 2 * zone.doubt_backoff)
            self.set_state(now, zone_id, ZoneState.WHOLE, "a server of the zone answered")
            return
        answered = sum(at > zone.state_since for at in zone.answered_at.values())
        if answered >= min(2, len(zone.live)):
            self.set_state(
                now, zone_id, ZoneState.RETURNING, f"{answered} servers of the zone answered"
            )

    # evaluation

    def silent_servers(self, now: int, zone: ZoneHealth) -> tuple[set[int], set[int]]:
        """Returns the silent servers and all servers in use.

        A server is silent if an answer has been overdue or missing since the zone's last answer.
        Answers that were overdue before concern single servers: others have answered since.
        """
        silent = {server for server, at in zone.failed_at.items() if at > zone.last_answer_at}
        for _, due, server in zone.in_flight.values():
            if due > now:
                break  # the remaining attempts were sent later
            if due > zone.last_answer_at:
                silent.add(server)
        in_use = {server for _, _, server in zone.in_flight.values()}
        for times in (zone.answered_at, zone.failed_at):
            in_use |= {server for server, at in times.items() if now - at < IN_USE_PERIOD}
        return silent & zone.live.keys(), in_use & zone.live.keys()

    def evaluate(self, now: int) -> None:
        """Updates the states of all zones, at most once in an eighth of the answer timeout."""
        if now - self.evaluated_at < self.answer_timeout // 8:
            return
        self.evaluated_at = now
        for zone_id, zone in self.zones.items():
            is_stable = now - zone.stable_since > 20 * self.answer_timeout * zone.doubt_backoff
            if zone.state is ZoneState.WHOLE and zone.doubt_backoff > 1 and is_stable:
                zone.doubt_backoff //= 2
                zone.stable_since = now
            silence = now - max(zone.last_answer_at, zone.state_since)
            if zone.state is ZoneState.DOUBTFUL:
                if now - zone.state_since >= self.answer_timeout:
                    self.set_state(now, zone_id, ZoneState.LOST, "no server of the zone answered")
                continue
            if zone.state is ZoneState.LOST:
                continue
            silent, in_use = self.silent_servers(now, zone)
            is_majority = 2 * len(silent) > len(in_use) and len(silent) >= min(2, len(zone.live))
            if silence >= self.answer_timeout * zone.doubt_backoff and silent and is_majority:
                new = ZoneState.DOUBTFUL if zone.state is ZoneState.WHOLE else ZoneState.LOST
                self.set_state(
                    now, zone_id, new, f"{len(silent)} of {len(in_use)} servers in use are silent"
                )
            if zone.state is ZoneState.RETURNING:
                self.advance_return(now, zone)
                if zone.return_progress >= self.return_duration * zone.return_backoff:
                    self.set_state(now, zone_id, ZoneState.WHOLE, "the zone handled its full share")

    def advance_return(self, now: int, zone: ZoneHealth) -> None:
        """Adds the time since the last update to the return, without the time it was paused."""
        if now > zone.paused_until:
            zone.return_progress += now - max(zone.progress_updated_at, zone.paused_until)
        zone.progress_updated_at = now

    def set_state(
        self, now: int, zone_id: int, new: ZoneState, reason: str, live_before: int = 0
    ) -> None:
        """Changes a zone's state; `live_before` counts its servers where the list has none now."""
        zone = self.zones[zone_id]
        own = live_before or len(zone.live)
        others = sum(
            len(z.live)
            for z in self.zones.values()
            if z is not zone and z.state is not ZoneState.LOST
        )
        self.transitions.append(
            Transition(zone_id, zone.state, new, reason, own / max(1, own + others))
        )
        zone.state, zone.state_since = new, now
        zone.return_progress, zone.progress_updated_at, zone.paused_until = 0, now, NEVER
        if new is ZoneState.WHOLE:
            zone.stable_since = now
        if new is ZoneState.LOST:
            # each loss soon after the one before doubles the time of the next return
            is_repeated = now - zone.lost_at < 8 * self.return_duration * zone.return_backoff
            zone.return_backoff, zone.lost_at = (
                min(MAX_BACKOFF, 2 * zone.return_backoff) if is_repeated else 1,
                now,
            )
            # attempts in flight end by their own expiry and give no further evidence
            zone.in_flight.clear()
            zone.answered_at.clear()

    # queries

    def is_avoided(self, zone_id: int) -> bool:
        """Returns whether the zone receives probes only. Never true of all zones at once."""
        zone = self.zones.get(zone_id)
        if zone is None or zone.state not in (ZoneState.DOUBTFUL, ZoneState.LOST):
            return False
        return any(
            z.live and z.state not in (ZoneState.DOUBTFUL, ZoneState.LOST)
            for z in self.zones.values()
        )

    def traffic_share(self, zone_id: int) -> float:
        """Returns the share of its usual traffic that a zone receives: 1 unless it is returning."""
        zone = self.zones.get(zone_id)
        if zone is None or zone.state is not ZoneState.RETURNING:
            return 1.0
        return self.initial_share + (1 - self.initial_share) * min(
            1.0, zone.return_progress / (self.return_duration * zone.return_backoff)
        )
