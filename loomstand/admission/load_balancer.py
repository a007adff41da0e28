"""Load balancer of one service: admits requests and chooses a server for each attempt. Pure.

All limiters order the live servers alike on a ring. Each uses a small subset of them, so that it
has recent outcomes of every server in it (`loomstand.failover.subset_selection`). Under a zone
plan the `FailoverPolicy` replaces some of the rules here.
"""

from __future__ import annotations

from dataclasses import replace
from math import log

from loomstand.admission.actions import LogMessage
from loomstand.admission.actors import NEVER, ActorLoop
from loomstand.admission.backend import Backend
from loomstand.admission.concurrency_window import (
    INITIAL_ATTEMPTS_PER_SERVER,
    MIN_ATTEMPTS_PER_SERVER,
    PRIOR_DURATION,
    PRIOR_WEIGHT,
    ConcurrencyWindow,
)
from loomstand.admission.endpoints import Endpoint, EndpointState
from loomstand.admission.events import AttemptEnded
from loomstand.admission.frontend_stats import FrontendStats
from loomstand.admission.outcome import Outcome
from loomstand.admission.pending_request import Attempt, PendingRequest
from loomstand.admission.retry_budget import RetryBudget
from loomstand.admission.ring import Ring
from loomstand.admission.settings import Effect
from loomstand.admission.slow_start import SuccessRates
from loomstand.failover.engine_view import FailoverPolicy
from loomstand.failover.subset_selection import select_servers

SUBSET_SERVERS = 6  # enough to have a choice; more during slow start
MIN_LIMITERS_PER_SERVER = 4  # if there are few limiters, each uses a larger subset, up to all
SUBSET_REFRESH_TICKS = 20_000  # the subset is selected again after 2 s
# With `retries_until_deadline`, also after 50 ms if a server of the subset is ejected.
MIN_REFRESH_TICKS = 500
# The more limiters share the servers, the less a limiter's own attempts show of their load, and the
# more random its choice is: the exponent of the random factor is 1/2 with this many limiters.
HALF_RANDOM_LIMITERS = 60
PRIOR_SERVER_WEIGHT = 3  # weight of the mean over all servers, in durations of the server itself
ATTEMPTED_COST = 100  # factor: a server that the request was already sent to is the last choice
REJECTION_COST = 9  # factor of the rejection rate: a server that rejects looks idle
MAX_LOAD = 2  # most attempts in flight at one server, in even shares of the window
# An attempt times out after this multiple of this duration quantile, if a retry can be in time.
TIMEOUT_MULTIPLE = 3
TIMEOUT_QUANTILE = 0.97
PRIOR_DURATION_SHARE = 1 / 4  # of the latency target: assumed response time before any is measured


class LoadBalancer:
    """Admits requests to a service's servers and chooses a server for each attempt.

    Attributes:
        failover: The rules of the zone plan, or None without a plan.
        retry_budget: Budget of the retries to this service.
        stats: Response times by request class.
        servers: All servers by index, including removed ones with attempts in flight.
        ring: The live servers, in the order that is the same at all limiters.
        subset: The servers in use, by request class.
        ejected: The servers of the subset that are ejected, by request class.
        window: How many attempts may be in flight.
        successes: Rates of successful answers from the servers.
    """

    def __init__(self, loop: ActorLoop, failover: FailoverPolicy | None = None) -> None:
        self.loop = loop
        self.failover = failover
        self.retry_budget = RetryBudget(loop.settings)
        self.stats = [FrontendStats(frontend) for frontend in loop.settings.frontends]
        self.servers: dict[int, Backend] = {}
        self.ring = Ring[Backend]()
        self.subset: list[list[Backend]] = []
        self.ejected: list[list[Backend]] = []
        self._subset_at = NEVER
        self.window = ConcurrencyWindow(loop)
        self.successes = SuccessRates(loop.now)

    # Servers and settings.

    def endpoints_updated(self, endpoints: list[Endpoint], complete: bool) -> None:
        """Applies an endpoint list of the service."""
        servers_before = len(self.ring)
        if complete:
            listed = {endpoint.endpoint_id for endpoint in endpoints}
            removed = [s.endpoint for s in self.servers.values() if s.endpoint_id not in listed]
            endpoints = [*endpoints, *(replace(e, state=EndpointState.GONE) for e in removed)]
        for endpoint in endpoints:
            self._update_endpoint(endpoint)
        self._subset_at = NEVER
        if self.failover:
            live = ((s.endpoint_id, s.endpoint.zone, s.endpoint.started_at) for s in self.ring)
            self.failover.update_endpoints(self.loop.now, live)
        # servers added one by one each add their capacity
        if servers_before and self.loop.settings.window_follows_endpoints:
            self.window.size *= len(self.ring) / servers_before
        if not self.window.size:
            self.window.size = self._share_of_attempts(INITIAL_ATTEMPTS_PER_SERVER)

    def settings_changed(self, limiters_before: int) -> None:
        """Applies new settings; the window is scaled to this limiter's new share of the servers."""
        settings = self.loop.settings
        self.window.size *= max(1, limiters_before) / max(1, settings.limiter_count)
        self.stats += [FrontendStats(f) for f in settings.frontends[len(self.stats) :]]
        self._subset_at = NEVER

    def apply_zone_changes(self) -> None:
        """Applies losses and recoveries of zones: logs them, and scales the window at once."""
        if not self.failover:
            return
        for message in self.failover.evaluate_zones(self.loop.now):
            self._subset_at = NEVER
            self.loop.actions.append(LogMessage(message))
        self.window.size *= self.failover.window_scale

    def select_subset(self) -> None:
        """Selects the servers to use."""
        settings = self.loop.settings
        failover = self.failover
        ring: list[Backend] = self.ring
        lost: list[Backend] = []
        if failover:
            lost = [s for s in ring if failover.is_avoided(s.endpoint.zone)]
            ring = [s for s in ring if s not in lost] if lost else ring
        usable_count = len(ring)
        usual_count = max(len(self.ring), failover.usual_server_count if failover else 0)
        capacity = sum(s.capacity() for s in ring) if failover else usable_count
        by_capacity = int(SUBSET_SERVERS * usual_count / max(1.0, capacity))
        by_limiters = MIN_LIMITERS_PER_SERVER * usual_count // max(1, settings.limiter_count)
        size = min(usable_count, max(by_capacity, by_limiters))
        self.subset, self.ejected = select_servers(ring, lost, settings, size, len(self.stats))
        self._subset_at = self.loop.now

    def _update_endpoint(self, endpoint: Endpoint) -> None:
        server = self.servers.get(endpoint.endpoint_id) or Backend(self.loop, endpoint)
        self.servers[endpoint.endpoint_id] = server
        self.ring.set_membership(server, endpoint.state is EndpointState.LIVE)
        if endpoint.state is EndpointState.GONE and not server.in_flight:
            del self.servers[endpoint.endpoint_id]
        server.post(server.endpoint_updated, endpoint)

    def _share_of_attempts(self, attempts: int) -> float:
        """Returns this limiter's share of `attempts` at each server."""
        return attempts * len(self.ring) / max(1, self.loop.settings.limiter_count)

    # Admission of a request, and the choice of its server.

    def has_capacity(self, pending: PendingRequest) -> bool:
        """Returns whether a request is admitted: fuller servers require a higher value."""
        mean = self.stats[pending.arrival.frontend].durations.mean(PRIOR_DURATION, PRIOR_WEIGHT)
        value = pending.value / mean
        pressure = self.window.pressure(value)
        if self.failover:
            size = self.window.size
            rank = _shedding_rank(self.failover, pending)
            return self.failover.admits(self.loop.now, rank, mean, size, self.loop.random())
        return self.window.admits(pressure, value, pending.tenant_limiter.is_usage_unknown())

    def pick(self, pending: PendingRequest) -> Backend | None:
        """Returns the server for a request's next attempt, None if no server is eligible."""
        frontend = pending.arrival.frontend
        self._refresh_subset(frontend)
        server = self._pick_probed(pending)
        if server is None:
            server = self._pick_in_use(pending)
        return server

    def pick_for_retry(self, pending: PendingRequest) -> Backend | None:
        """Returns the server for a retry, None if none is eligible or the budget is exhausted.

        A retry costs less if the request was certainly not executed: it used little capacity.
        """
        settings = self.loop.settings
        cost = settings.unsent_retry_cost
        if pending.possibly_executed:
            cost = 1.0
        elif pending.was_rejected:
            cost = settings.rejected_retry_cost
        if not self.retry_budget.can_afford(cost):
            return None
        server = self.pick(pending)
        if server is not None:
            self.retry_budget.spend(cost)
        return server

    def is_safe_to_send(self, pending: PendingRequest, server: Backend) -> bool:
        """Returns whether the request can't be executed twice if it is sent to a server."""
        frontend = self.stats[pending.arrival.frontend].frontend
        if not pending.possibly_executed or frontend.effect is Effect.IDEMPOTENT:
            return True
        if frontend.effect is not Effect.DEDUPLICATED:
            return False
        scope = frontend.deduplication_scope
        for attempt in (pending.attempts[number] for number in pending.possibly_executed):
            earlier = self.servers.get(attempt.endpoint_id)
            if earlier is None:
                return False
            if self.loop.now - attempt.sent_at >= frontend.deduplication_window:
                return False
            if not scope.includes(earlier.endpoint, server.endpoint):
                return False
        return True

    def allows_slow_start(self, server: Backend) -> bool:
        """Returns whether a server's slow start allows sending it a request now."""
        if server.capacity() >= 1.0:
            return True
        servers = self.subset[0]
        peer_rate = self.successes.add(0, self.loop.now) / max(1, len(servers))
        capacities = [s.capacity() for s in servers]
        if capacities and max(capacities) < 1.0:
            # All are in slow start, so no rate was measured at full capacity. Use their recent rate
            # per capacity, and at least one request at a time from all limiters that use a server.
            limiters = self.loop.settings.limiter_count
            limiters_per_server = max(1.0, limiters * len(servers) / len(self.ring))
            longest_target = max(stats.frontend.latency_target for stats in self.stats)
            duration = self.window.durations.mean(longest_target, 1)
            recent_rate = self.successes.recent_rate(self.loop.now) / sum(capacities)
            peer_rate = max(recent_rate, 1 / duration / limiters_per_server)
        return server.has_slow_start_budget(peer_rate)

    def _refresh_subset(self, frontend: int) -> None:
        age = self.loop.now - self._subset_at
        is_due = age > SUBSET_REFRESH_TICKS
        if not is_due and self.loop.settings.retries_until_deadline and age > MIN_REFRESH_TICKS:
            is_due = any(server.is_ejected(frontend) for server in self.subset[frontend])
        if is_due:
            self.select_subset()

    def _pick_probed(self, pending: PendingRequest) -> Backend | None:
        """Returns an ejected server to probe with some of the idempotent requests, else None."""
        frontend = pending.arrival.frontend
        ejected = self.ejected[frontend]
        if not ejected or self.stats[frontend].frontend.effect is not Effect.IDEMPOTENT:
            return None
        server = ejected[int(self.loop.random() * len(ejected))]
        draw = self.loop.random()
        is_probed = draw < server.probe_share
        if self.failover:
            rank = _shedding_rank(self.failover, pending)
            is_probed = self.failover.is_probe(server.endpoint.zone, rank, server.probe_share, draw)
        return server if is_probed and self.allows_slow_start(server) else None

    def _pick_in_use(self, pending: PendingRequest) -> Backend | None:
        """Returns a server of the subset, chosen at random in favour of short expected waits."""
        settings = self.loop.settings
        random = self.loop.random
        failover = self.failover
        frontend = pending.arrival.frontend
        servers = self.subset[frontend]
        attempted = {attempt.endpoint_id for attempt in pending.attempts}
        randomness = settings.limiter_count / (settings.limiter_count + HALF_RANDOM_LIMITERS)
        max_load = self._max_load(servers)
        mean = self.window.durations.mean(PRIOR_DURATION, PRIOR_WEIGHT)
        best = None
        least_cost = 0.0
        for server in servers:
            if not self.is_safe_to_send(pending, server) or server.in_flight > max_load:
                continue
            zone = server.endpoint.zone
            if failover and not failover.may_use_server(zone, server.capacity(), random()):
                continue
            # with a zone plan, `may_use_server` already skipped servers in slow start at random
            capacity = 1.0 if failover else server.capacity()
            wait = server.durations.mean(mean, PRIOR_SERVER_WEIGHT) / capacity
            cost = wait * (1 + server.in_flight)
            if server.endpoint_id in attempted:
                cost *= ATTEMPTED_COST
            if zone != settings.zone:
                cost *= settings.remote_zone_cost
            rejections = REJECTION_COST * server.rejection_rates.get(frontend, 0.0)
            cost *= (-log(1 - random())) ** randomness * (1 + rejections)
            if (best is None or cost < least_cost) and self.allows_slow_start(server):
                best = server
                least_cost = cost
        return best

    def _max_load(self, servers: list[Backend]) -> float:
        """Returns the most attempts that one server may have in flight."""
        in_flight = sum(server.in_flight for server in servers)
        even_share = max(self.window.size, in_flight) / max(1, len(servers))
        return max(1.0, MAX_LOAD * even_share)

    # An attempt.

    def send(self, pending: PendingRequest, server: Backend) -> None:
        """Sends an attempt to a server."""
        now = self.loop.now
        number = len(pending.attempts)
        request_id = pending.arrival.request_id
        self.retry_budget.attempt_sent(self.loop.settings, is_first=not number)
        expires_at = self._expiry(pending)
        self.window.in_flight[request_id, number] = now
        if self.failover:
            key = (request_id, number)
            self.failover.attempt_sent(now, key, server.endpoint.zone, server.endpoint_id)
        server.post(server.send, request_id, expires_at)
        pending.attempts.append(Attempt(server.endpoint_id, now))

    def attempt_ended(self, pending: PendingRequest, event: AttemptEnded) -> bool:
        """Records an attempt's outcome; returns False if its server is unknown."""
        server = self.servers.get(event.endpoint_id)
        if server is None:
            return False
        stats = self.stats[pending.arrival.frontend]
        server.post(server.attempt_ended, event, pending.arrival.frontend)
        if server.endpoint.state is EndpointState.GONE and server.in_flight == 1:
            del self.servers[server.endpoint_id]
        key = (event.request_id, event.attempt)
        self.window.in_flight.pop(key, None)
        zone = server.endpoint.zone
        if self.failover:
            is_late = event.duration > stats.frontend.latency_target
            self.failover.attempt_ended(
                self.loop.now, key, zone, server.endpoint_id, event.outcome, is_late
            )
        if not pending.is_cancelled:
            self.adjust_window(event, stats, zone)
        return True

    def adjust_window(self, event: AttemptEnded, stats: FrontendStats, zone: int = 0) -> None:
        """Adjusts the window to an attempt's outcome."""
        window = self.window
        self.successes.add(event.outcome is Outcome.SUCCEEDED, self.loop.now)
        min_size = self._share_of_attempts(MIN_ATTEMPTS_PER_SERVER)
        signal = window.evaluate(event, stats, min_size)
        if self.failover:
            min_size = self.failover.min_window(self.loop.settings.limiter_count)
            count = len(window.in_flight)
            window.size = self.failover.new_size(window.size, min_size, zone, signal.weight, count)
        else:
            window.adjust(signal, min_size)

    def _expiry(self, pending: PendingRequest) -> int:
        """Returns when an attempt times out: early if a retry can still be in time."""
        deadline = pending.arrival.deadline
        stats = self.stats[pending.arrival.frontend]
        is_last = len(pending.attempts) + 1 >= pending.attempt_limit
        if stats.frontend.effect is not Effect.IDEMPOTENT or is_last:
            return deadline
        assumed = stats.frontend.latency_target * PRIOR_DURATION_SHARE
        timeout = TIMEOUT_MULTIPLE * stats.durations.quantile(TIMEOUT_QUANTILE, assumed)
        needed_by = deadline if self.loop.settings.retries_until_deadline else pending.target_at
        if self.loop.now + timeout + stats.durations.mean(assumed, 1) < needed_by:
            return min(deadline, self.loop.now + round(timeout))
        return deadline


def _shedding_rank(failover: FailoverPolicy, pending: PendingRequest) -> int:
    """Returns the zone plan's rank of a request; 0 is rejected first."""
    arrival = pending.arrival
    is_over_quota = pending.tenant_limiter.is_over_quota()
    return failover.rank(arrival.frontend, arrival.plan, arrival.is_retry, is_over_quota)
