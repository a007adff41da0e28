"""What is known of one server, from the outcomes of this limiter's attempts alone. Pure."""

from __future__ import annotations

from collections import defaultdict, deque

from loomstand.admission.actions import SendAttempt
from loomstand.admission.actors import NEVER, Actor, ActorLoop
from loomstand.admission.endpoints import Endpoint
from loomstand.admission.events import AttemptEnded
from loomstand.admission.histogram import Histogram
from loomstand.admission.outcome import TIMED, Outcome
from loomstand.admission.ring import spread_position

# Share of the requests that probe an ejected server: little is lost if all of them fail.
PROBE_SHARE = 1 / 60
DURATIONS = 32  # some ten seconds of one server's answers
RECENT_OUTCOMES = 4
MIN_FAILURES = 2  # among them, to eject the server
# An ejected server gets another chance after 20 s: where requests must not run twice, none probe.
EJECTION_TICKS = 200_000
ANY_FRONTEND = -1  # in place of a request class: whether there was any sign of life
REJECTION_WEIGHT = 0.2  # of one outcome in the rejection rate

# Outcomes that say nothing of the server's health.
NEUTRAL_OUTCOMES = frozenset({Outcome.NOT_SENT, Outcome.CANCELLED, Outcome.REJECTED})


class Backend(Actor):
    """A server: its load by this limiter, its durations, its health and its slow start.

    Attributes:
        endpoint: What service discovery states of it.
        endpoint_id: Its index.
        ring_position: Its position on the ring, the same at all limiters.
        in_flight: This limiter's attempts in flight.
        durations: Of its answers.
        recent_successes: Whether the last attempts succeeded, by request class.
        rejection_rates: Share of the attempts that it rejects, by request class.
        probe_share: Share of the idempotent requests that probe it while it is ejected.
        slow_start_budget: Requests that it may get now, while it warms up.
    """

    endpoint: Endpoint
    durations: Histogram
    recent_successes: dict[int, deque[bool]]
    rejection_rates: dict[int, float]
    probe_share: float
    slow_start_budget: float
    _budget_at: int  # when it was last brought up to date
    _failed_at: int  # when an attempt last failed

    def __init__(self, loop: ActorLoop, endpoint: Endpoint) -> None:
        super().__init__(loop)
        self.endpoint_id = endpoint.endpoint_id
        self.ring_position = spread_position(endpoint.endpoint_id)
        self.in_flight = 0
        self._process_started(endpoint)

    def endpoint_updated(self, endpoint: Endpoint) -> None:
        """Follows service discovery."""
        if endpoint.started_at != self.endpoint.started_at:
            self._process_started(endpoint)
        self.endpoint = endpoint

    def send(self, request_id: int, expires_at: int) -> None:
        """Sends an attempt."""
        self.slow_start_budget -= 1
        self.in_flight += 1
        self.loop.actions.append(SendAttempt(request_id, self.endpoint_id, expires_at))

    def attempt_ended(self, event: AttemptEnded, frontend: int) -> None:
        """Learns from an attempt's outcome."""
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
        """Returns whether most recent attempts failed, by request class or without a reply."""
        if self.loop.now - self._failed_at > EJECTION_TICKS:
            return False
        for key in (frontend, ANY_FRONTEND):
            outcomes = self.recent_successes.get(key, ())
            successes = sum(outcomes)
            if len(outcomes) - successes >= max(MIN_FAILURES, successes):
                return True
        return False

    def capacity(self) -> float:
        """Returns the share of its capacity that it surely has: less than 1 in slow start."""
        settings = self.loop.settings
        started_at = self.endpoint.started_at
        age = self.loop.now - started_at
        if not started_at or age >= settings.slow_start_period:
            return 1.0
        initial = settings.slow_start_initial_capacity
        return initial + (1 - initial) * max(0, age) / settings.slow_start_period

    def has_slow_start_budget(self, peer_rate: float) -> bool:
        """Returns whether it may get one more request while it warms up.

        Args:
            peer_rate: Answers a tick of one of this limiter's servers; this limiter's part of the
                budget is in proportion to it.
        """
        settings = self.loop.settings
        now = self.loop.now
        rate = settings.overload_multiple * self.capacity() * peer_rate
        budget = self.slow_start_budget + rate * (now - self._budget_at)
        self.slow_start_budget = min(max(1.0, rate * settings.overload_period / 2), budget)
        self._budget_at = now
        return self.slow_start_budget >= 1.0

    def _process_started(self, endpoint: Endpoint) -> None:
        """Forgets what is known: a process that has just started is judged anew."""
        self.endpoint = endpoint
        self.durations = Histogram(DURATIONS)
        self.recent_successes = defaultdict(lambda: deque(maxlen=RECENT_OUTCOMES))
        self._failed_at = NEVER
        self.rejection_rates = {}
        # by chance, so that limiters which learn of it together don't send at the same time
        self.slow_start_budget = self.loop.random()
        self._budget_at = self.loop.now
        self.probe_share = PROBE_SHARE
