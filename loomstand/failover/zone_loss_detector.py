"""Detection of the loss of a zone and of its return, from what one limiter observes.

A zone is whole, doubtful (most of its servers in use stopped answering at the same time), lost or
returning. A doubtful or lost zone receives probes only; a returning zone receives a growing share
of its traffic. The time limits come from the settings: an answer is overdue after the longest
latency target of a frontend, when it has lost its value; a zone returns over the slow-start period
of a server.

All times and durations are in ticks of 0.1 ms; the caller passes the clock readings in.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

NEVER = -(1 << 60)  # a clock reading before all others, in ticks
# A server counts as in use for 10 s after its last outcome: long enough that a limiter of a few
# requests/s has used each of its servers.
IN_USE_TICKS = 100_000
MAX_BACKOFF = 8  # largest backoff factor, reached by three doublings


class ZoneState(Enum):
    """State of a zone, as observed by one limiter.

    Attributes:
        WHOLE: In normal use.
        DOUBTFUL: Most of its servers in use stopped answering at the same time.
        LOST: None of its servers answered while it was doubtful, most were silent during its
            return, or the endpoint list has no server of it.
        RETURNING: Its servers answer again, or are new; it receives a growing share of its traffic.
    """

    WHOLE = "whole"
    DOUBTFUL = "doubtful"
    LOST = "lost"
    RETURNING = "returning"


@dataclass(slots=True)
class Transition:
    """A change of a zone's state.

    Attributes:
        zone: Index of the zone.
        old: The state before.
        new: The state after.
        reason: Why it changed, for the log.
        server_share: The zone's part of all live servers, without those of other lost zones.
    """

    zone: int
    old: ZoneState
    new: ZoneState
    reason: str
    server_share: float


@dataclass(slots=True)
class ZoneHealth:
    """What a limiter has observed of one zone; all times are in ticks.

    Attributes:
        live: Start time of each server that the endpoint list states as live.
        in_flight: For each attempt in flight, when it was sent, when its answer is due, and its
            server; the oldest first.
        answered_at: When each server last answered.
        failed_at: When an answer of each server was last missing.
        last_answer_at: When any server of the zone last answered.
        state: The zone's state.
        state_since: When the state last changed.
        doubt_backoff: Factor on the silence after which the zone is doubtful, raised by false
            alarms.
        return_backoff: Factor on the duration of the next return, raised by repeated losses.
        stable_since: When the zone became whole, or `doubt_backoff` was last reduced.
        lost_at: When the zone was last lost.
        return_progress: Time that counts towards the end of the return.
        progress_updated_at: When `return_progress` was last updated.
        paused_until: Until when the return makes no progress.
    """

    live: dict[int, int] = field(default_factory=dict)
    in_flight: dict[tuple[int, int], tuple[int, int, int]] = field(default_factory=dict)
    answered_at: dict[int, int] = field(default_factory=dict)
    failed_at: dict[int, int] = field(default_factory=dict)
    last_answer_at: int = NEVER
    state: ZoneState = ZoneState.WHOLE
    state_since: int = NEVER
    doubt_backoff: int = 1
    return_backoff: int = 1
    stable_since: int = NEVER
    lost_at: int = NEVER
    return_progress: int = 0
    progress_updated_at: int = 0
    paused_until: int = NEVER


class ZoneLossDetector:
    """The states of all zones from one limiter's point of view.

    Attributes:
        zones: What was observed of each zone, by its index.
        transitions: Changes of state that the caller has not yet taken over.
        evaluated_at: When the states were last evaluated, in ticks.

    Args:
        answer_timeout: The longest latency target of the frontends, in ticks: a zone is not lost
            because one frontend is slow.
        return_duration: How long a return takes, in ticks; at least four times `answer_timeout`
            is used.
        initial_share: The share of its traffic that a returning zone receives at first.
    """

    def __init__(self, answer_timeout: int, return_duration: int, initial_share: float) -> None:
        self.answer_timeout = answer_timeout
        self.return_duration = max(return_duration, 4 * answer_timeout)
        self.initial_share = initial_share
        self.zones: dict[int, ZoneHealth] = {}
        self.transitions: list[Transition] = []
        self.evaluated_at = NEVER

    # Observations.

    def update_endpoints(self, now: int, servers: Iterable[tuple[int, int, int]]) -> None:
        """Applies an endpoint list.

        Args:
            now: The time in ticks.
            servers: The index, zone and start time of each live server. The start time is in
                ticks, and 0 if it is not recent.
        """
        by_zone: dict[int, dict[int, int]] = {}
        for server, zone_id, started_at in servers:
            by_zone.setdefault(zone_id, {})[server] = started_at
        for zone_id in by_zone.keys() | self.zones.keys():
            zone = self.zones.setdefault(zone_id, ZoneHealth())
            live = by_zone.get(zone_id, {})
            for server in zone.live.keys() - live.keys():
                zone.answered_at.pop(server, None)
                zone.failed_at.pop(server, None)
            for server, started_at in live.items():
                # a restarted process: observations of the previous one no longer apply
                if zone.live.get(server, started_at) != started_at:
                    zone.answered_at.pop(server, None)
                    zone.failed_at.pop(server, None)
            live_before = zone.live
            zone.live = live
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
        """Records an attempt; `key` is its request's id and its number."""
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
        """Records the end of an attempt.

        Args:
            now: The time in ticks.
            key: The request's id and the number of the attempt.
            zone_id: The server's zone.
            server: The server.
            is_answered: Whether the server sent an answer of any kind.
            is_late: Whether the attempt ended after the frontend's latency target.
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
            # answers become late or missing, so the zone's share stops growing for a while
            zone.paused_until = now + self.answer_timeout
        if is_answered and zone.state in (ZoneState.DOUBTFUL, ZoneState.LOST):
            self.on_recovery_answer(now, zone_id, zone)

    def on_recovery_answer(self, now: int, zone_id: int, zone: ZoneHealth) -> None:
        """Makes a doubtful zone whole, or a lost one returning, after enough of it answered."""
        if zone.state is ZoneState.DOUBTFUL:
            # the zone is reachable; the decision engine ejects the servers that still fail
            zone.doubt_backoff = min(MAX_BACKOFF, 2 * zone.doubt_backoff)
            self.set_state(now, zone_id, ZoneState.WHOLE, "a server of the zone answered")
            return
        answered = sum(time > zone.state_since for time in zone.answered_at.values())
        if answered >= min(2, len(zone.live)):
            self.set_state(
                now, zone_id, ZoneState.RETURNING, f"{answered} servers of the zone answered"
            )

    # Evaluation.

    def silent_servers(self, now: int, zone: ZoneHealth) -> tuple[set[int], set[int]]:
        """Returns the silent servers and all servers in use.

        A server is silent if an answer of it became overdue or was missing after the zone's last
        answer. Earlier failures concern single servers, as another one has answered since.
        """
        silent = {server for server, time in zone.failed_at.items() if time > zone.last_answer_at}
        for _, due, server in zone.in_flight.values():
            if due > now:
                break  # the remaining attempts were sent later
            if due > zone.last_answer_at:
                silent.add(server)
        in_use = {server for _, _, server in zone.in_flight.values()}
        for times in (zone.answered_at, zone.failed_at):
            in_use |= {server for server, time in times.items() if now - time < IN_USE_TICKS}
        return silent & zone.live.keys(), in_use & zone.live.keys()

    def evaluate(self, now: int) -> None:
        """Updates the states of all zones, at most once per eighth of the answer timeout."""
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
        """Adds the time since the last update, except pauses, to the progress of a return."""
        if now > zone.paused_until:
            zone.return_progress += now - max(zone.progress_updated_at, zone.paused_until)
        zone.progress_updated_at = now

    def set_state(
        self, now: int, zone_id: int, new: ZoneState, reason: str, live_before: int = 0
    ) -> None:
        """Changes a zone's state and records the transition.

        Args:
            now: The time in ticks.
            zone_id: Index of the zone.
            new: The new state.
            reason: Why it changes, for the log.
            live_before: Its number of servers before, if the endpoint list has none of it now.
        """
        zone = self.zones[zone_id]
        own_count = live_before or len(zone.live)
        other_count = sum(
            len(z.live)
            for z in self.zones.values()
            if z is not zone and z.state is not ZoneState.LOST
        )
        self.transitions.append(
            Transition(
                zone_id, zone.state, new, reason, own_count / max(1, own_count + other_count)
            )
        )
        zone.state = new
        zone.state_since = now
        zone.return_progress = 0
        zone.progress_updated_at = now
        zone.paused_until = NEVER
        if new is ZoneState.WHOLE:
            zone.stable_since = now
        if new is ZoneState.LOST:
            # a loss soon after the previous one doubles the duration of the next return
            is_repeated = now - zone.lost_at < 8 * self.return_duration * zone.return_backoff
            zone.return_backoff = min(MAX_BACKOFF, 2 * zone.return_backoff) if is_repeated else 1
            zone.lost_at = now
            # attempts in flight end by their own expiry; overdue answers to them no longer matter
            zone.in_flight.clear()
            zone.answered_at.clear()

    # Queries.

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
