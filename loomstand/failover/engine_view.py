"""The decision engine's view of zone failover: one object with a narrow interface.

The engine reports the endpoint list and the start and end of each attempt. It asks which zones to
avoid, whether to admit a request, and which changes to log. Without a plan the engine has no such
object and treats all zones as whole (`ZoneState.WHOLE`).
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
# Outcomes that show that the server is reachable.
ANSWERED_OUTCOMES = {Outcome.SUCCEEDED, Outcome.SERVER_ERROR, Outcome.REJECTED}
# Outcomes that the limiter itself causes, which say nothing about the server.
IGNORED_OUTCOMES = {Outcome.NOT_SENT, Outcome.CANCELLED}


class FailoverPolicy:
    """Avoidance of lost zones and load shedding by the zone plan.

    Attributes:
        now: The time of the last `evaluate_zones`, in ticks.
        detector: Detects the loss and the return of zones.
        window_scale: Factor by which the last changes of zones enlarge or shrink the window.
        window_controller: Adjusts the window to late answers.
        usual_server_count: Number of live servers when all zones were last whole.
        plan: The zone plan.
        planned_demand: Mean number of requests executing at once by the plan; 0 if it has no zones.
        order: Admits requests by rank.
        rank: Returns the rank of a request from the indices of its frontend and plan.

    Args:
        plan: The zone plan.
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
        self.frontend_names, self.plan_names, self.zone_names = names
        self.now = now
        answer_timeout = max(f.latency_target for f in settings.frontends)
        self.detector = ZoneLossDetector(
            answer_timeout, settings.slow_start_period, settings.slow_start_initial_capacity
        )
        self.window_scale = 1.0
        self.window_controller = WindowController()
        self.usual_server_count = 0
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
        frontend_names = self.frontend_names
        plan_names = self.plan_names

        @lru_cache(1 << 10)
        def rank(frontend: int, plan_index: int, is_retry: bool, is_over_quota: bool) -> int:
            name = plan_names[plan_index] if 0 <= plan_index < len(plan_names) else ""
            return plan.rank(frontend_names[frontend], name, is_retry, is_over_quota)

        self.rank = rank

    # Reports of the engine.

    def update_endpoints(self, now: int, servers: Iterable[tuple[int, int, int]]) -> None:
        """Applies an endpoint list: the index, zone and start time of each live server."""
        live = list(servers)
        self.detector.update_endpoints(now, live)
        # A lost zone takes its limiters with it, so the remaining limiters need larger subsets: the
        # server count from before the loss is kept.
        if all(z.state is ZoneState.WHOLE for z in self.detector.zones.values()):
            self.usual_server_count = len(live)

    def attempt_sent(self, now: int, key: tuple[int, int], zone: int, server: int) -> None:
        """Records an attempt; `key` is its request's id and its number."""
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
        """Records the outcome of an attempt; see `ZoneLossDetector.attempt_ended`."""
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
            lost_zone: Index of a zone that counts as lost in addition; -1 for none.
        """
        counts = {z.name: z.limiters for z in self.plan.zones}
        total = sum(counts.values())
        remaining = 0
        for zone, name in enumerate(self.zone_names):
            remaining += 0 if zone == lost_zone or self.is_avoided(zone) else counts.get(name, 0)
        return remaining / total if remaining else 1.0

    def min_window(self, limiters: int) -> float:
        """Returns the smallest window: this limiter's part of the minimum attempts per server."""
        live = sum(
            len(z.live) for zone, z in self.detector.zones.items() if not self.is_avoided(zone)
        )
        return MIN_ATTEMPTS_PER_SERVER * live / max(1.0, limiters * self.remaining_limiter_share())

    def new_size(
        self, size: float, min_size: float, zone: int, lateness: float, in_flight: int
    ) -> float:
        """Returns the window size after an answer.

        An answer from a lost zone changes nothing, as it says nothing about the other zones.

        Args:
            size: The size before.
            min_size: The lower bound of the size.
            zone: The zone that the answer came from.
            lateness: How much the answer counts as late, from 0 to 1.
            in_flight: The other attempts in flight.
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
        lost = {name for zone, name in enumerate(self.zone_names) if self.is_avoided(zone)}
        slots = sum(z.servers * z.slots for z in self.plan.zones if z.name not in lost)
        return sum(self.order.demand(self.now)) * slots * self.plan.fill / self.planned_demand

    # Queries of the engine.

    def is_avoided(self, zone: int) -> bool:
        """Returns whether the zone receives probes only; see `ZoneLossDetector.is_avoided`."""
        return self.detector.is_avoided(zone)

    def may_use_server(self, zone: int, capacity: float, draw: float) -> bool:
        """Returns whether a server may be chosen for this attempt.

        A server that warms up is chosen in proportion to its capacity, so that all limiters
        together send it what it can handle. A server of a returning zone is chosen by the zone's
        share too, unless it warms up and the zone was not lost again soon after its last return.

        Args:
            zone: The server's zone.
            capacity: The share of its capacity that the server has, less than 1 in slow start.
            draw: A random number in [0, 1).
        """
        share = self.detector.traffic_share(zone)
        if capacity < 1.0 and share < 1.0 and self.detector.zones[zone].return_backoff == 1:
            share = 1.0
        return draw < share * capacity

    def is_probe(self, zone: int, rank: int, probe_share: float, draw: float) -> bool:
        """Returns whether a request may probe an ejected server.

        Only requests of rank 0 may: the server's own share of them, or a fixed share if its zone is
        lost. `draw` is a random number in [0, 1).
        """
        return rank == 0 and draw < (
            LOST_ZONE_PROBE_SHARE if self.is_avoided(zone) else probe_share
        )

    def admits(self, now: int, rank: int, work: float, window: float, draw: float) -> bool:
        """Records a request and returns whether it is admitted; see `SheddingOrder.admits`."""
        return self.order.admits(now, rank, work, window, draw)

    def evaluate_zones(self, now: int) -> list[str]:
        """Evaluates the zones and returns their changes as log lines.

        Sets `window_scale`, the factor by which the changes enlarge or shrink the window.
        """
        self.now = now
        self.detector.evaluate(now)
        self.window_scale = 1.0
        lines = []
        zone_names = self.zone_names
        for change in self.detector.transitions:
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
