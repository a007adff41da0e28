"""State of one server, measured by the outcomes of this limiter's own attempts. Pure."""

from __future__ import annotations

from collections import defaultdict, deque

from loomstand.admission.actions import SendAttempt
from loomstand.admission.actors import NEVER, Actor, ActorLoop
from loomstand.admission.endpoints import Endpoint
from loomstand.admission.events import AttemptEnded
from loomstand.admission.histogram import Histogram
from loomstand.admission.outcome import TIMED, Outcome
from loomstand.admission.ring import spread_position

# Share of the requests that probe an ejected server: small, as all of them may fail.
PROBE_SHARE = 1 / 60
HISTOGRAM_CAPACITY = 32  # answers, about those of one server in 10 s
RECENT_OUTCOMES = 4  # kept for each request class
MIN_FAILURES = 2  # among the recent outcomes, to eject the server
# Ejection ends after 20 s without a failure: without idempotent requests, no probes are sent.
EJECTION_TICKS = 200_000
ANY_FRONTEND = -1  # key for all request classes together, where any reply is a success
REJECTION_WEIGHT = 0.2  # weight of one outcome in the moving average

# Outcomes that say nothing about the server's health.
NEUTRAL_OUTCOMES = frozenset({Outcome.NOT_SENT, Outcome.CANCELLED, Outcome.REJECTED})


class Backend(Actor):
    """One server: this limiter's load on it, its response times, health and slow start.

    Attributes:
        endpoint: Its entry in the endpoint list.
        endpoint_id: Its index.
        ring_position: Its position on the ring, the same at all limiters.
        in_flight: This limiter's attempts in flight.
        durations: Histogram of its response times, in ticks.
        recent_successes: Whether each of the last attempts succeeded, by request class.
        rejection_rates: Share of the attempts that it rejects, by request class.
        probe_share: Share of the idempotent requests that probe it while it is ejected.
        slow_start_budget: Requests that may be sent to it now, during slow start.
    """

    endpoint: Endpoint
    durations: Histogram
    recent_successes: dict[int, deque[bool]]
    rejection_rates: dict[int, float]
    probe_share: float
    slow_start_budget: float
    _budget_updated_at: int  # when slow_start_budget was last updated, in ticks
    _failed_at: int  # when an attempt last failed, in ticks

    def __init__(self, loop: ActorLoop, endpoint: Endpoint) -> None:
        super().__init__(loop)
        self.endpoint_id = endpoint.endpoint_id
        self.ring_position = spread_position(endpoint.endpoint_id)
        self.in_flight = 0
        self._process_started(endpoint)

    def endpoint_updated(self, endpoint: Endpoint) -> None:
        """Applies its entry in a new endpoint list; a new start time resets its statistics."""
        if endpoint.started_at != self.endpoint.started_at:
            self._process_started(endpoint)
        self.endpoint = endpoint

    def send(self, request_id: int, expires_at: int) -> None:
        """Sends an attempt."""
        self.slow_start_budget -= 1
        self.in_flight += 1
        self.loop.actions.append(SendAttempt(request_id, self.endpoint_id, expires_at))

    def attempt_ended(self, event: AttemptEnded, frontend: int) -> None:
        """Updates load, health and response times with an attempt's outcome."""
        self.in_flight -= 1
        outcome = event.outcome
        rate = self.rejection_rates.get(frontend, 0.0)
        is_rejected = outcome is Outcome.REJECTED
        self.rejection_rates[frontend] = rate + REJECTION_WEIGHT * (is_rejected - rate)
        if outcome in NEUTRAL_OUTCOMES:
            return
        succeeded = outcome is Outcome.SUCCEEDED
        if not succeeded:
            self._failed_at = self.loop.now
        self.recent_successes[frontend].append(succeeded)
        self.recent_successes[ANY_FRONTEND].append(succeeded or outcome is Outcome.SERVER_ERROR)
        self.probe_share = self.probe_share * 2 if succeeded else PROBE_SHARE
        if outcome in TIMED:
            self.durations.add(event.duration)

    def is_ejected(self, frontend: int) -> bool:
        """Returns whether half of the recent attempts failed in the class, or got no reply."""
        if self.loop.now - self._failed_at > EJECTION_TICKS:
            return False
        for key in (frontend, ANY_FRONTEND):
            outcomes = self.recent_successes.get(key, ())
            successes = sum(outcomes)
            if len(outcomes) - successes >= max(MIN_FAILURES, successes):
                return True
        return False

    def capacity(self) -> float:
        """Returns the available share of its full capacity: less than 1 in slow start."""
        settings = self.loop.settings
        started_at = self.endpoint.started_at
        age = self.loop.now - started_at
        if not started_at or age >= settings.slow_start_period:
            return 1.0
        initial = settings.slow_start_initial_capacity
        return initial + (1 - initial) * max(0, age) / settings.slow_start_period

    def has_slow_start_budget(self, peer_rate: float) -> bool:
        """Returns whether one more request may be sent to it during slow start.

        Args:
            peer_rate: Answers per tick that this limiter gets from a server at full capacity; the
                budget is proportional to it.
        """
        settings = self.loop.settings
        now = self.loop.now
        rate = settings.overload_multiple * self.capacity() * peer_rate
        budget = self.slow_start_budget + rate * (now - self._budget_updated_at)
        self.slow_start_budget = min(max(1.0, rate * settings.overload_period / 2), budget)
        self._budget_updated_at = now
        return self.slow_start_budget >= 1.0

    def _process_started(self, endpoint: Endpoint) -> None:
        """Resets all statistics, because the server's process has just started."""
        self.endpoint = endpoint
        self.durations = Histogram(HISTOGRAM_CAPACITY)
        self.recent_successes = defaultdict(lambda: deque(maxlen=RECENT_OUTCOMES))
        self._failed_at = NEVER
        self.rejection_rates = {}
        # random, so that limiters that see the new process together don't all send at once
        self.slow_start_budget = self.loop.random()
        self._budget_updated_at = self.loop.now
        self.probe_share = PROBE_SHARE
