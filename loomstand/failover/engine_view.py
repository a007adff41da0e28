"""The decision engine's view of zone failover: one object with a narrow interface.

The engine reports the endpoint list and the start and end of each attempt. It asks which zones to
avoid, whether to admit a request, and which changes to log. Without a plan the engine has no such
object and all zones count as whole.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from functools import lru_cache

from loomstand.admission.concurrency_window import MIN_ATTEMPTS_PER_SERVER
from loomstand.admission.outcome import Outcome
from loomstand.admission.settings import EngineSettings
from loomstand.admission.ticks import TICKS_PER_SECOND
from loomstand.failover.shedding_order import SheddingOrder, WindowController
from loomstand.failover.zone_loss_detector import ZoneLossDetector, ZoneState
from loomstand.failover.zone_plan import ZonePlan

# Share of the requests of rank 0 that probe a lost zone. At eight such requests/s the two answers
# that show a healed partition arrive within 5 s, at the cost of a twentieth of these requests.
LOST_ZONE_PROBE_SHARE = 1 / 20
ANSWERED_OUTCOMES = {Outcome.SUCCEEDED, Outcome.SERVER_ERROR, Outcome.REJECTED}
# caused by the limiter itself, so no evidence about the server
IGNORED_OUTCOMES = {Outcome.NOT_SENT, Outcome.CANCELLED}


class FailoverPolicy:
    """Avoidance of lost zones and load shedding by the zone plan.

    Args:
        plan: The plan.
        settings: The engine's settings.
        names: The names of the settings' frontends, plans and zones, in their order.
        now: The time in ticks.
    """

    def __init__(
        self,
        plan: ZonePlan,
        settings: EngineSettings,
        names: tuple[Sequence[str], Sequence[str], Sequence[str]],
        now: int,
    ) -> None:
        self.names, self.now = names, now
        answer_timeout = max(f.latency_target for f in settings.frontends)
        self.detector = ZoneLossDetector(
            answer_timeout, settings.slow_start_period, settings.slow_start_initial_capacity
        )
        self.window_scale, self.window_controller, self.usual_server_count = (
            1.0,
            WindowController(),
            0,
        )
        self.replace_plan(plan)

    def replace_plan(self, plan: ZonePlan) -> None:
        """Replaces the plan; the states of the zones and of the window controller are kept."""
        self.plan = plan
        self.planned_demand = (
            sum(d.rate * d.work_ms / 1000 for d in plan.demand) if plan.zones else 0.0
        )
        self.order = SheddingOrder(
            plan.rank_count(), plan.keep.share if plan.keep else 0.0, self.now
        )
        frontend_names, plan_names, _ = self.names

        @lru_cache(1 << 10)
        def rank(frontend: int, plan_index: int, is_retry: bool, is_over_quota: bool) -> int:
            name = plan_names[plan_index] if 0 <= plan_index < len(plan_names) else ""
            return plan.rank(frontend_names[frontend], name, is_retry, is_over_quota)

        self.rank = rank

    # reports of the engine

    def update_endpoints(self, now: int, servers: Iterable[tuple[int, int, int]]) -> None:
        """Follows the live servers, each with its number, zone and start time."""
        live = list(servers)
        self.detector.update_endpoints(now, live)
        # A lost zone takes its limiters with it, so the remaining limiters need larger subsets: the
        # server count from before the loss is kept.
        if all(z.state is ZoneState.WHOLE for z in self.detector.zones.values()):
            self.usual_server_count = len(live)

    def attempt_sent(self, now: int, key: tuple[int, int], zone: int, server: int) -> None:
        self.detector.attempt_sent(now, key, zone, server)

    def attempt_ended(
        self,
        now: int,
        key: tuple[int, int],
        zone: int,
        server: int,
        outcome: Outcome,
        is_late: bool,
    ) -> None:
        if outcome in IGNORED_OUTCOMES:
            self.detector.zones[zone].in_flight.pop(key, None)
        else:
            self.detector.attempt_ended(
                now, key, zone, server, outcome in ANSWERED_OUTCOMES, is_late
            )

    def remaining_limiter_share(self, lost_zone: int = -1) -> float:
        """Returns the share of all limiters outside lost zones.

        The limiters of a lost zone count as lost with it, because their clients move to the others.

        Args:
            lost_zone: Another zone that counts as lost.
        """
        counts = {z.name: z.limiters for z in self.plan.zones}
        total, remaining = sum(counts.values()), 0
        for zone, name in enumerate(self.names[2]):
            remaining += 0 if zone == lost_zone or self.is_avoided(zone) else counts.get(name, 0)
        return remaining / total if remaining else 1.0

    def min_window(self, limiters: int) -> float:
        """Returns the smallest window: this limiter's part of five attempts for each server."""
        live = sum(
            len(z.live) for zone, z in self.detector.zones.items() if not self.is_avoided(zone)
        )
        return MIN_ATTEMPTS_PER_SERVER * live / max(1.0, limiters * self.remaining_limiter_share())

    def new_size(
        self, size: float, min_size: float, zone: int, lateness: float, in_flight: int
    ) -> float:
        """Returns the window size after an answer.

        An answer from a lost zone changes nothing, as it says nothing about the other zones.
        """
        if self.is_avoided(zone):
            return size
        return max(
            min_size,
            min(
                self.max_window(),
                self.window_controller.update(size, min_size, lateness, in_flight),
            ),
        )

    def max_window(self) -> float:
        """Returns the largest window: this limiter's part of the remaining zones' planned capacity.

        The part is the demand at this limiter divided by the plan's total demand. Without this
        bound, one of eight limiters reached twice the window of the others, and admitted requests
        of rank 0 while the others shed requests of five times the value.
        """
        if not self.planned_demand:
            return float("inf")
        names = self.names[2]
        lost = {names[zone] for zone in range(len(names)) if self.is_avoided(zone)}
        slots = sum(z.servers * z.slots for z in self.plan.zones if z.name not in lost)
        return sum(self.order.demand(self.now)) * slots * self.plan.fill / self.planned_demand

    # queries of the engine

    def is_avoided(self, zone: int) -> bool:
        return self.detector.is_avoided(zone)

    def may_use_server(self, zone: int, capacity: float, draw: float) -> bool:
        """Returns whether a server may be chosen for this attempt.

        A server that warms up is chosen in proportion to its capacity, so that all limiters
        together send it what it can handle. A server of a returning zone is chosen by the zone's
        share too, unless it warms up and the zone was not lost again soon after its last return.
        """
        share = self.detector.traffic_share(zone)
        if capacity < 1.0 and share < 1.0 and self.detector.zones[zone].return_backoff == 1:
            share = 1.0
        return draw < share * capacity

    def is_probe(self, zone: int, rank: int, probe_share: float, draw: float) -> bool:
        """Returns whether a request may probe an ejected server.

        Only requests of rank 0 may: by the server's own probe share, or by a fixed one where its
        zone is lost.
        """
        return rank == 0 and draw < (
            LOST_ZONE_PROBE_SHARE if self.is_avoided(zone) else probe_share
        )

    def admits(self, now: int, rank: int, work: float, window: float, draw: float) -> bool:
        return self.order.admits(now, rank, work, window, draw)

    def evaluate_zones(self, now: int) -> list[str]:
        """Evaluates the zones and returns their changes as log lines.

        Sets `window_scale`, the factor by which the changes enlarge or shrink the window.
        """
        self.now = now
        self.detector.evaluate(now)
        self.window_scale, lines = 1.0, []
        for change in self.detector.transitions:
            zone_names = self.names[2]
            name = zone_names[change.zone] if change.zone < len(zone_names) else str(change.zone)
            lines.append(
                f"{now / TICKS_PER_SECOND:.2f}: zone {name}: {change.old.value} to "
                f"{change.new.value}, {change.reason}"
            )
            if change.new is ZoneState.DOUBTFUL or (
                change.new is ZoneState.LOST and change.old is not ZoneState.DOUBTFUL
            ):
                self.window_scale *= (1 - change.server_share) / self.remaining_limiter_share(
                    change.zone
                )
            elif change.old is ZoneState.DOUBTFUL and change.new is ZoneState.WHOLE:
                self.window_scale /= max(
                    0.1, 1 - change.server_share
                ) / self.remaining_limiter_share(change.zone)
        self.detector.transitions = []
        return lines
