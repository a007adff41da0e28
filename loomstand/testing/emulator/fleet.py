"""Model of the emulated fleet: clients, limiters, servers, the counter, discovery and the network.

Each part is an actor of `engine.Engine`. A limiter runs a policy with the interface of the decision
engine, `handle(now, event) -> actions`, and passes it the events of `loomstand.admission.events` as
the bench adapter does. The model thus runs the real `DecisionEngine` and copies none of its
decisions. The random choices of the model (which servers a fault affects, when a client retries)
use one seeded `random.Random`.

Times are in ticks (0.1 ms); rates are per second.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from math import ceil
from random import Random

from hdrh.histogram import HdrHistogram

from loomstand.admission.actions import (
    Abort,
    Action,
    CancelAttempt,
    CheckHealth,
    IncrementCounter,
    LogMessage,
    Reject,
    SendAttempt,
    SetTimer,
)
from loomstand.admission.endpoints import Endpoint, EndpointState
from loomstand.admission.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterReplied,
    EndpointsUpdated,
    Event,
    HealthCheckFinished,
    RequestArrived,
    TimerFired,
)
from loomstand.admission.identifiers import stable_digest
from loomstand.admission.outcome import Outcome
from loomstand.admission.settings import EngineSettings
from loomstand.admission.ticks import TICKS_PER_SECOND
from loomstand.config.limiter import engine_settings
from loomstand.testing.emulator import scenario as sc
from loomstand.testing.emulator.counts import Totals
from loomstand.testing.emulator.engine import Engine
from loomstand.testing.emulator.history import ABORTED, DENIED, PASSED, History, RequestRecord
from loomstand.testing.emulator.traffic import Traffic, refill

TICKS_PER_MS = TICKS_PER_SECOND // 1000
# minimum delay from a change to the list that has it: a watch is answered within a few round trips
LIST_DELAY_TICKS = 50 * TICKS_PER_MS
# every limiter receives the full list at this interval, as by polling discovery
FULL_LIST_INTERVAL_TICKS = 10 * TICKS_PER_SECOND
# time until a connection attempt into a partitioned zone fails: the default connect timeout
CONNECT_TIMEOUT_TICKS = 250 * TICKS_PER_MS
HEALTH_CHECK_TICKS = 2 * TICKS_PER_MS
FAILING_WORK_SHARE = 0.1  # service time of an error response, relative to the normal one
NO_END = 1 << 62  # end of a leaving notice until the server is live again


class Policy:
    """Decides for one limiter: the decision engine, or a baseline with the same interface."""

    def handle(self, now: int, event: Event) -> list[Action]:
        """Returns the actions that the event causes at `now`, in ticks."""
        raise NotImplementedError


PolicyMaker = Callable[["Fleet", int, EngineSettings, int], Policy]


# messages between the parts; `limiter_generation` identifies the process of the limiter that they
# concern, as its next process must ignore them
# ------------------------------------------------------------------------------------


@dataclass(slots=True)
class Work:
    """An attempt, sent to a server."""

    req: int
    attempt: int
    limiter: int
    limiter_generation: int
    frontend: int


@dataclass(slots=True)
class WorkFinished:
    """The end of an attempt's service time, which a server schedules for itself."""

    work: Work
    generation: int
    failed: bool


@dataclass(slots=True)
class AttemptReply:
    """The outcome of an attempt, sent to its limiter."""

    req: int
    attempt: int
    limiter_generation: int
    srv: int
    outcome: Outcome


@dataclass(slots=True)
class AttemptExpiry:
    """The time limit of an attempt."""

    req: int
    attempt: int
    limiter_generation: int


@dataclass(slots=True)
class TimerExpiry:
    """A timer that a limiter's policy set."""

    tag: int
    limiter_generation: int


@dataclass(slots=True)
class CounterCall:
    """An increment, sent to the counter; `time_to_live` of the total is in ticks."""

    limiter: int
    limiter_generation: int
    call: int
    name: int
    amount: float
    time_to_live: int


@dataclass(slots=True)
class CounterReply:
    """The counter's reply to an increment, or its timeout."""

    call: int
    limiter_generation: int
    outcome: Outcome
    total: float


@dataclass(slots=True)
class EndpointListMessage:
    """An endpoint list, sent by discovery to a limiter."""

    limiter_generation: int
    listed: EndpointsUpdated


@dataclass(slots=True)
class ClientRequest:
    """A request, sent by a client to a limiter."""

    req: RequestRecord


@dataclass(slots=True)
class ClientDeparture:
    """The disconnection of a request's client."""

    req: int
    limiter_generation: int


@dataclass(slots=True)
class DeferredEvent:
    """An event that a limiter schedules for itself, to avoid a recursive call of its policy."""

    limiter_generation: int
    event: Event


# the parts
# -------------------------------------------------------------------------------------------


class Server:
    """A server with limited concurrency, a bounded queue and slow start after each start."""

    def __init__(self, fleet: Fleet, index: int, zone: int, started_at: int) -> None:
        self.fleet, self.index, self.zone = fleet, index, zone
        self.started_at, self.up, self.state = started_at, True, EndpointState.LIVE
        self.generation = 0  # counts its crashes; work of earlier generations is dropped
        self.working: list[Work] = []
        self.queue: deque[Work] = deque()
        self.slowdown = 1.0  # factor of its service times
        self.failing_until = -1  # in ticks: it responds with errors until then
        self.crashed_by_overload = False  # it is not restarted then
        # arrival times within the last overload window, while the server is cold
        self.recent_arrivals: deque[int] = deque()

    def warmth(self) -> float:
        """Returns the share of its capacity that it has now, by its slow start."""
        age = (self.fleet.engine.now - self.started_at) / TICKS_PER_SECOND
        return self.fleet.scenario.fleet.warmth(age) if self.started_at > 0 else 1.0

    def concurrency(self) -> int:
        """Returns how many requests it can process concurrently now."""
        return self.fleet.scenario.fleet.concurrency(self.warmth())

    def requests_held(self) -> int:
        """Returns the number of requests in process or queued."""
        return len(self.working) + len(self.queue)

    def overload_threshold(self, warmth: float) -> float:
        """Returns the attempts per overload window above which a server at `warmth` crashes."""
        return (
            self.fleet.scenario.fleet.overload_rate(warmth, self.fleet.mean_work_ms)
            * self.fleet.overload_window
            / TICKS_PER_SECOND
        )

    def receive(self, message: object) -> None:
        """Handles an attempt that arrives or work that has finished."""
        if isinstance(message, Work):
            self.accept(message)
        elif (
            isinstance(message, WorkFinished)
            and message.generation == self.generation
            and message.work in self.working
        ):
            self.working.remove(message.work)
            self.reply(message.work, Outcome.SERVER_ERROR if message.failed else Outcome.SUCCEEDED)
            if self.queue:
                self.start(self.queue.popleft())

    def accept(self, work: Work) -> None:
        """Starts, queues or rejects an attempt; overload crashes a cold server."""
        fleet, now = self.fleet, self.fleet.engine.now
        fleet.history.attempts[fleet.attempt_rows[work.req, work.attempt]][5] = now
        if not self.up or self.state is EndpointState.GONE:
            return self.reply(work, Outcome.CONNECT_FAILED)
        warmth = self.warmth()
        # rule 4: a cold server crashes at more than `fall_multiple` times its capacity per window
        if warmth < 1.0:
            self.recent_arrivals.append(now)
            while self.recent_arrivals and self.recent_arrivals[0] <= now - fleet.overload_window:
                self.recent_arrivals.popleft()
            threshold = self.overload_threshold(warmth)
            if len(self.recent_arrivals) > max(2.0, threshold):
                fleet.history.overload_crashes.append(
                    (self.index, now, float(len(self.recent_arrivals)), threshold)
                )
                self.crashed_by_overload = True
                fleet.crash(self, restart_after=-1)
                return self.reply(work, Outcome.CONNECTION_LOST)
        # queue length in front of the attempt, plus one: the histogram starts at 1
        fleet.queue_positions.record_value(len(self.queue) + 1)
        if self.requests_held() >= self.concurrency() + fleet.scenario.fleet.queue:
            return self.reply(work, Outcome.REJECTED)
        if len(self.working) < self.concurrency():
            self.start(work)
        else:
            self.queue.append(work)

    def start(self, work: Work) -> None:
        """Begins to execute an attempt; it ends after an exponentially distributed time."""
        fleet = self.fleet
        frontend = fleet.scenario.frontends[work.frontend]
        fleet.record_execution(work, self)
        self.working.append(work)
        failing = fleet.engine.now < self.failing_until
        mean = (
            frontend.work_ms
            * TICKS_PER_MS
            * self.slowdown
            * (FAILING_WORK_SHARE if failing else 1.0)
        )
        fleet.engine.schedule(
            max(1, round(fleet.rng.expovariate(1 / mean))),
            self,
            WorkFinished(work, self.generation, failing),
        )

    def reply(self, work: Work, outcome: Outcome) -> None:
        """Sends the outcome of an attempt to its limiter."""
        fleet = self.fleet
        limiter = fleet.limiters[work.limiter]
        delay = fleet.delay(self.zone, limiter.zone)
        if delay is None:
            return  # lost by the network: the attempt ends by its time limit
        fleet.engine.schedule(
            delay,
            limiter,
            AttemptReply(work.req, work.attempt, work.limiter_generation, self.index, outcome),
        )

    def crash(self) -> None:
        """Stops the server; its requests end as CONNECTION_LOST at their limiters."""
        self.up, self.generation = False, self.generation + 1
        for work in [*self.working, *self.queue]:
            self.reply(work, Outcome.CONNECTION_LOST)
        self.working, self.queue = [], deque()
        self.recent_arrivals.clear()

    def endpoint(self) -> Endpoint:
        """Returns the server's entry in an endpoint list."""
        return Endpoint(self.index, self.state, self.zone, 0, 0, 1.0, self.started_at)


class Counter:
    """The shared counter, with its faults: latency, outage, data loss and partition.

    It does not respond until `down_until` in ticks; `slowdown` is the factor of its latency.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.totals = Totals()
        self.down_until, self.slowdown = -1, 1.0

    def receive(self, message: object) -> None:
        """Adds the amount of a call and sends the total, unless the counter is down."""
        if not isinstance(message, CounterCall):
            return
        fleet, now = self.fleet, self.fleet.engine.now
        if now < self.down_until:
            return
        total = self.totals.add(
            message.limiter, message.name, message.amount, now, message.time_to_live
        )
        limiter = fleet.limiters[message.limiter]
        reply_delay = fleet.delay(0, limiter.zone)
        if reply_delay is None:
            return
        took = round(
            fleet.scenario.counter.latency_ms
            * TICKS_PER_MS
            * self.slowdown
            * (0.5 + fleet.rng.random())
        )
        fleet.engine.schedule(
            reply_delay + took,
            limiter,
            CounterReply(message.call, message.limiter_generation, Outcome.SUCCEEDED, total),
        )


class Discovery:
    """Service discovery: sends each change, and at intervals the full list, to all limiters.

    The fault late_lists sets `extra_delay` in ticks, partial_lists sets `listed_share`.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.extra_delay, self.listed_share = 0, 1.0

    def entries(self) -> tuple[Endpoint, ...]:
        """Returns the full list, or its first part under the fault partial_lists."""
        entries = [
            s.endpoint() for s in self.fleet.servers if s.state is not EndpointState.GONE or s.up
        ]
        if self.listed_share < 1.0:
            entries = entries[: ceil(len(entries) * self.listed_share)]
        return tuple(entries)

    def publish(self, entries: tuple[Endpoint, ...], complete: bool) -> None:
        """Sends a change or the complete list to all live limiters, each with its own delay."""
        fleet = self.fleet
        for limiter in fleet.limiters:
            if limiter.alive:
                delay = LIST_DELAY_TICKS + self.extra_delay + fleet.rng.randrange(LIST_DELAY_TICKS)
                fleet.engine.schedule(
                    delay,
                    limiter,
                    EndpointListMessage(limiter.generation, EndpointsUpdated(entries, complete)),
                )

    def receive(self, message: object) -> None:
        """Sends the periodic full list."""
        self.publish(self.entries(), True)
        self.fleet.engine.schedule(FULL_LIST_INTERVAL_TICKS, self, message)


class Limiter:
    """One limiter: its policy, its attempts in flight and its requests without an answer."""

    def __init__(self, fleet: Fleet, index: int, zone: int) -> None:
        self.fleet, self.index, self.zone = fleet, index, zone
        self.alive, self.generation = False, 0
        self.policy: Policy | None = None
        self.in_flight: dict[tuple[int, int], int] = {}  # server by (request, attempt)
        # (name, amount, time sent) by call
        self.counter_calls: dict[int, tuple[int, float, int]] = {}
        self.pending: dict[int, RequestRecord] = {}
        self.attempt_counts: dict[int, int] = {}  # attempts sent, by request

    def start(self) -> None:
        """Starts the limiter with a new policy and the current endpoint list."""
        fleet = self.fleet
        self.alive, self.generation = True, self.generation + 1
        fleet.live_limiters = None
        self.in_flight, self.counter_calls, self.pending, self.attempt_counts = {}, {}, {}, {}
        settings = fleet.settings_for(self.index, self.zone)
        self.policy = fleet.make_policy(fleet, self.index, settings, fleet.rng.getrandbits(64))
        self.receive(
            EndpointListMessage(self.generation, EndpointsUpdated(fleet.discovery.entries(), True))
        )

    def kill(self) -> None:
        """Stops the limiter; its pending requests get no answer."""
        self.alive, self.generation, self.policy = False, self.generation + 1, None
        self.fleet.live_limiters = None
        for req in self.pending.values():
            req.orphaned = True
        self.pending, self.in_flight, self.counter_calls = {}, {}, {}

    def receive(self, message: object) -> None:
        """Passes a message to the policy as an event; drops messages to an earlier process."""
        limiter_generation = getattr(message, "limiter_generation", self.generation)
        if not self.alive or limiter_generation != self.generation:
            if isinstance(message, ClientRequest):
                message.req.orphaned = True  # the limiter had stopped when the request arrived
            return  # addressed to a process that has stopped
        fleet = self.fleet
        match message:
            case ClientRequest(req=req):
                self.pending[req.req] = req
                self.handle_event(
                    RequestArrived(
                        req.req,
                        req.frontend,
                        req.plan,
                        req.customer,
                        fleet.digests[req.customer],
                        req.deadline,
                        req.units,
                        0,
                        req.retry,
                    )
                )
            case AttemptReply():
                if self.in_flight.pop((message.req, message.attempt), None) is None:
                    return
                passed = message.outcome is Outcome.SUCCEEDED
                took = fleet.since_sent(message.req, message.attempt)
                if passed:
                    self.record_answer(message.req, PASSED)
                self.handle_event(
                    AttemptEnded(
                        message.req,
                        message.attempt,
                        message.srv,
                        message.outcome,
                        took,
                        passed,
                        0,
                        0.0,
                    )
                )
            case AttemptExpiry():
                if (srv := self.in_flight.pop((message.req, message.attempt), None)) is not None:
                    took = fleet.since_sent(message.req, message.attempt)
                    self.handle_event(
                        AttemptEnded(
                            message.req,
                            message.attempt,
                            srv,
                            Outcome.NO_RESPONSE,
                            took,
                            False,
                            0,
                            0.0,
                        )
                    )
            case CounterReply():
                if (call := self.counter_calls.pop(message.call, None)) is not None:
                    self.handle_event(
                        CounterReplied(
                            call[0], message.outcome, message.total, fleet.engine.now - call[2]
                        )
                    )
            case TimerExpiry():
                self.handle_event(TimerFired(message.tag))
            case EndpointListMessage():
                live = fleet.listed_live.setdefault(self.index, set())
                if message.listed.complete:
                    named = {e.endpoint_id for e in message.listed.endpoints}
                    for srv in live - named:
                        fleet.record_leaving_notice(self.index, srv)
                    live &= named
                for entry in message.listed.endpoints:
                    if entry.state is EndpointState.LIVE:
                        live.add(entry.endpoint_id)
                        fleet.record_live_notice(self.index, entry.endpoint_id)
                    else:
                        live.discard(entry.endpoint_id)
                        fleet.record_leaving_notice(self.index, entry.endpoint_id)
                self.handle_event(message.listed)
            case ClientDeparture():
                if (req := self.pending.pop(message.req, None)) is not None:
                    req.client_left = True
                    self.handle_event(ClientDisconnected(message.req))
            case DeferredEvent():
                self.handle_event(message.event)

    def handle_event(self, event: Event) -> None:
        """Passes an event to the policy and performs the resulting actions."""
        fleet = self.fleet
        try:
            actions = self.policy.handle(fleet.engine.now, event)
        except Exception as error:  # an error of the policy stops its limiter, as on the bench
            fleet.history.errors.append((self.index, f"{type(error).__name__}: {error}"))
            self.kill()
            return
        for action in actions:
            self.perform(action)

    def perform(self, action: Action) -> None:
        """Performs one action of the policy."""
        fleet, now = self.fleet, self.fleet.engine.now
        match action:
            case SendAttempt():
                n = self.attempt_counts.get(action.request_id, 0)
                self.attempt_counts[action.request_id] = n + 1
                if any((action.request_id, k) in self.in_flight for k in range(n)):
                    fleet.history.overlaps.append((action.request_id, self.index, now))
                fleet.send(self, action, n)
            case Reject():
                self.record_answer(action.request_id, DENIED)
                if (req := fleet.req_rows.get(action.request_id)) is not None:
                    fleet.clients.denied(req)
            case Abort():
                self.record_answer(action.request_id, ABORTED)
            case CancelAttempt():
                if (
                    srv := self.in_flight.pop((action.request_id, action.attempt), None)
                ) is not None:
                    ended = AttemptEnded(
                        action.request_id, action.attempt, srv, Outcome.CANCELLED, 0, False, 0, 0.0
                    )
                    fleet.engine.schedule(0, self, DeferredEvent(self.generation, ended))
            case SetTimer():
                fleet.engine.schedule(action.delay, self, TimerExpiry(action.tag, self.generation))
            case IncrementCounter():
                fleet.send_increment(self, action)
            case CheckHealth():
                srv = (
                    fleet.servers[action.endpoint_id]
                    if action.endpoint_id < len(fleet.servers)
                    else None
                )
                outcome = (
                    Outcome.SUCCEEDED if srv is not None and srv.up else Outcome.CONNECT_FAILED
                )
                fleet.engine.schedule(
                    HEALTH_CHECK_TICKS,
                    self,
                    DeferredEvent(
                        self.generation,
                        HealthCheckFinished(action.endpoint_id, outcome, HEALTH_CHECK_TICKS),
                    ),
                )
            case LogMessage():
                fleet.log_lines += 1

    def record_answer(self, req_id: int, answer: str) -> None:
        """Records a final answer; the history counts further answers as violations of rule 1."""
        req = self.fleet.req_rows.get(req_id)
        if req is None:
            return
        if req.client_left:
            return
        self.pending.pop(req_id, None)
        req.answer_count += 1
        if req.answer_count == 1:
            req.answer, req.answered_at = answer, self.fleet.engine.now
            self.fleet.record_outcome(req)


class Clients:
    """Open-loop arrivals by plan, with bursts, retries and clients that disconnect early."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        s = fleet.scenario
        self.traffic = Traffic(s.plans, s.frontends, fleet.rng)
        self.next_arrivals = [0.0] * len(s.plans)  # by plan, in ticks

    def rate(self, plan: int) -> float:
        """Returns the current arrival rate of a plan, in requests per second."""
        s, now = self.fleet.scenario, self.fleet.engine.now
        c = s.clients
        burst = (
            c.burst_factor
            if c.burst_for
            and c.burst_at * TICKS_PER_SECOND <= now < (c.burst_at + c.burst_for) * TICKS_PER_SECOND
            else 1.0
        )
        return self.traffic.rate(plan) * burst

    def receive(self, message: object) -> None:
        """Sends the due requests of a plan, or a retry; none after the end of the run."""
        if self.fleet.engine.now >= self.fleet.scenario.seconds * TICKS_PER_SECOND:
            return None  # requests accepted before are still answered
        if isinstance(message, ClientRetry):
            return self.fleet.submit_request(
                message.plan, message.customer, self.traffic.draw_frontend(), True
            )
        plan = message
        assert isinstance(plan, int)
        rng, now = self.fleet.rng, self.fleet.engine.now
        # arrival times keep fractions of a tick: above 10,000 per second, one tick has several
        while self.next_arrivals[plan] <= now:
            rate = self.rate(plan)
            if rate > 0:
                self.send_new_request(plan)
            self.next_arrivals[plan] += rng.expovariate(max(rate, 0.1)) * TICKS_PER_SECOND
        self.fleet.engine.schedule_at(ceil(self.next_arrivals[plan]), self, plan)

    def send_new_request(self, plan: int) -> None:
        """Sends a request of a random customer of the plan."""
        customer = self.traffic.draw_customer(plan)
        self.fleet.submit_request(plan, customer, self.traffic.draw_frontend(), False)

    def denied(self, req: RequestRecord) -> None:
        """Schedules a retry of a rejected request for the configured share of clients."""
        c = self.fleet.scenario.clients
        if c.retry and self.fleet.rng.random() < c.retry:
            wait = round(self.fleet.rng.expovariate(1 / max(1.0, c.retry_after_ms)) * TICKS_PER_MS)
            self.fleet.engine.schedule(wait, self, ClientRetry(req.plan, req.customer))


@dataclass(slots=True)
class ClientRetry:
    """A retry of a rejected request."""

    plan: int
    customer: int


class Sampler:
    """Records the load and the capacity of the running servers once per second."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet

    def receive(self, message: object) -> None:
        """Records one sample and schedules the next one."""
        fleet = self.fleet
        up = [s for s in fleet.servers if s.up]
        fleet.history.load.append(
            (float(sum(s.requests_held() for s in up)), float(sum(s.concurrency() for s in up)))
        )
        fleet.engine.schedule(TICKS_PER_SECOND, self, message)


class Fleet:
    """One run: builds the parts from a scenario, simulates it and records its history."""

    def __init__(self, scenario: sc.Scenario, make_policy: PolicyMaker, seed: int) -> None:
        self.scenario, self.make_policy = scenario, make_policy
        self.rng = Random(seed)
        self.engine = Engine()
        self.history = History()
        self.log_lines = 0
        f = scenario.fleet
        self.zones = {z: n for n, z in enumerate(f.zones)}
        self.cut_zones: set[int] = set()
        # in ticks: a cold server crashes if it receives too many attempts within this time
        self.overload_window = max(1, round(1.0 * TICKS_PER_SECOND))
        self.mean_work_ms = sc.mean_work_ms(scenario)
        self.servers = [Server(self, n, n % len(f.zones), 0) for n in range(f.servers)]
        self.counter = Counter(self)
        self.discovery = Discovery(self)
        self.limiters = [Limiter(self, n, n % len(f.zones)) for n in range(f.limiters)]
        self.clients = Clients(self)
        self.digests = [
            stable_digest(f"customer-{c}") for c in range(self.clients.traffic.customer_count)
        ]
        self.req_rows: dict[int, RequestRecord] = {}
        # index in `history.attempts` by (request, attempt)
        self.attempt_rows: dict[tuple[int, int], int] = {}
        # servers that discovery listed as live, by limiter
        self.listed_live: dict[int, set[int]] = {}
        # index in `history.leaving_notices` by (limiter, server), while the notice holds
        self.leaving_rows: dict[tuple[int, int], int] = {}
        self.last_request_id = self.last_call_id = 0
        # [level, time] of each customer's bucket over all limiters
        self.quota_buckets: list[list[float]] = [
            [0.0, 0.0] for _ in range(self.clients.traffic.customer_count)
        ]
        self.plan_of = [n for n, p in enumerate(scenario.plans) for _ in range(p.customers)]
        for customer, plan in enumerate(self.plan_of):
            self.quota_buckets[customer][0] = scenario.plans[plan].burst
        # (zone, share of the traffic sent to its limiters) during the fault shift_zone
        self.shift: tuple[int, float] | None = None
        self.oracle_buckets: dict[int, list[float]] = {}  # global buckets by customer
        self.oracle_ceilings: dict[int, list[float]] = {}  # global ceiling buckets by customer
        self.queue_positions = HdrHistogram(1, 1 << 20, 2)
        self.fault_timeline = FaultTimeline(self)
        # all live limiters, and those of each zone; None until computed
        self.live_limiters: tuple[list[Limiter], list[list[Limiter]]] | None = None

    def settings_for(self, limiter_index: int, zone: int) -> EngineSettings:
        """Returns the engine settings of a limiter."""
        return engine_settings(sc.limiter_settings(self.scenario, limiter_index, zone), zone)

    # the network
    # -----------------------------------------------------------------------------------------

    def delay(self, from_zone: int, to_zone: int) -> int | None:
        """Returns the one-way delay between two zones in ticks; None if the message is lost."""
        n = self.scenario.net
        if from_zone != to_zone and (from_zone in self.cut_zones or to_zone in self.cut_zones):
            return None
        if n.loss and self.rng.random() < n.loss:
            return None
        zone_delay_ms = n.zone_delay_ms if from_zone != to_zone else 0.0
        delay_ms = n.delay_ms + zone_delay_ms + self.rng.random() * n.jitter_ms
        return max(1, round(delay_ms * TICKS_PER_MS))

    # actions of limiters
    # ------------------------------------------------------------------------------------

    def send(self, limiter: Limiter, action: SendAttempt, n: int) -> None:
        """Sends attempt `n` of a request to its server over the network."""
        srv = (
            self.servers[action.endpoint_id]
            if 0 <= action.endpoint_id < len(self.servers)
            else None
        )
        self.attempt_rows[action.request_id, n] = len(self.history.attempts)
        self.history.attempts.append(
            [action.request_id, n, limiter.index, action.endpoint_id, self.engine.now, -1]
        )
        req = self.req_rows.get(action.request_id)
        if req is not None:
            self.history.plan_row(self.engine.now, len(self.scenario.plans))[req.plan] += req.units
        limiter.in_flight[action.request_id, n] = action.endpoint_id
        self.engine.schedule_at(
            action.expires_at, limiter, AttemptExpiry(action.request_id, n, limiter.generation)
        )
        if srv is None:
            self.engine.schedule(
                0,
                limiter,
                AttemptReply(
                    action.request_id,
                    n,
                    limiter.generation,
                    action.endpoint_id,
                    Outcome.CONNECT_FAILED,
                ),
            )
            return
        work = Work(
            action.request_id, n, limiter.index, limiter.generation, req.frontend if req else 0
        )
        delay = self.delay(limiter.zone, srv.zone)
        if delay is None:
            if srv.zone in self.cut_zones or limiter.zone in self.cut_zones:
                self.engine.schedule(
                    CONNECT_TIMEOUT_TICKS,
                    limiter,
                    AttemptReply(
                        action.request_id,
                        n,
                        limiter.generation,
                        action.endpoint_id,
                        Outcome.CONNECT_FAILED,
                    ),
                )
            return
        self.engine.schedule(delay, srv, work)

    def send_increment(self, limiter: Limiter, action: IncrementCounter) -> None:
        """Sends an increment to the counter and schedules its timeout."""
        self.last_call_id += 1
        call = self.last_call_id
        limiter.counter_calls[call] = (action.counter_name, action.amount, self.engine.now)
        timeout = round(self.scenario.counter.timeout_ms * TICKS_PER_MS)
        self.engine.schedule(timeout, self, (limiter, call, limiter.generation))
        delay = self.delay(limiter.zone, 0)
        if delay is not None and self.scenario.counter.present:
            self.engine.schedule(
                delay,
                self.counter,
                CounterCall(
                    limiter.index,
                    limiter.generation,
                    call,
                    action.counter_name,
                    action.amount,
                    action.time_to_live,
                ),
            )

    def receive(self, message: object) -> None:
        """Ends an increment that has reached its timeout as NO_RESPONSE."""
        limiter, call, limiter_generation = message
        if limiter.generation == limiter_generation and call in limiter.counter_calls:
            self.engine.schedule(
                0, limiter, CounterReply(call, limiter_generation, Outcome.NO_RESPONSE, 0.0)
            )

    def since_sent(self, req: int, attempt: int) -> int:
        """Returns the ticks since the limiter sent this attempt."""
        return self.engine.now - self.history.attempts[self.attempt_rows[req, attempt]][4]

    def record_execution(self, work: Work, srv: Server) -> None:
        """Records that a server began to execute an attempt."""
        req = self.req_rows.get(work.req)
        frontend = self.scenario.frontends[work.frontend]
        group = srv.zone if frontend.group == "zone" else 0  # all servers are of cell 0
        window = round(frontend.repeat_window_ms * TICKS_PER_MS)
        self.history.executions.append(
            (work.req, srv.index, self.engine.now, frontend.effect, group, window)
        )
        if req is not None:
            self.history.usage.append((req.customer, req.plan, self.engine.now, req.units))

    def record_leaving_notice(self, limiter: int, srv: int) -> None:
        """Records that a limiter was notified that a server is draining or gone."""
        if (limiter, srv) not in self.leaving_rows:
            self.leaving_rows[limiter, srv] = len(self.history.leaving_notices)
            self.history.leaving_notices.append([limiter, srv, self.engine.now, NO_END])

    def record_live_notice(self, limiter: int, srv: int) -> None:
        """Records that a limiter was notified that a server is live again, which ends its grace."""
        if (row := self.leaving_rows.pop((limiter, srv), None)) is not None:
            self.history.leaving_notices[row][3] = self.engine.now

    # requests of clients
    # -------------------------------------------------------------------------------------

    def submit_request(self, plan: int, customer: int, frontend: int, retry: bool) -> None:
        """Sends a client's request to a random live limiter of the customer's zone."""
        s, now = self.scenario, self.engine.now
        # cached until a limiter starts or stops, as filtering them per request costs O(limiters)
        if self.live_limiters is None:
            all_limiters = [lim for lim in self.limiters if lim.alive]
            self.live_limiters = (
                all_limiters,
                [[lim for lim in all_limiters if lim.zone == z] for z in range(len(s.fleet.zones))],
            )
        all_limiters, by_zone = self.live_limiters
        if not all_limiters:
            return
        zone = customer % len(s.fleet.zones)
        if self.shift is not None and self.rng.random() < self.shift[1]:
            zone = self.shift[0]
        candidates = by_zone[zone] or all_limiters
        limiter = candidates[self.rng.randrange(len(candidates))]
        p, frontend_settings = s.plans[plan], s.frontends[frontend]
        bucket = self.quota_buckets[customer]
        within_quota = refill(bucket, p.rate, p.burst, now, TICKS_PER_SECOND) >= 1.0
        bucket[0] -= 1.0 if within_quota else 0.0
        self.last_request_id += 1
        timeout = round(frontend_settings.client_timeout_ms * TICKS_PER_MS)
        req = RequestRecord(
            self.last_request_id,
            limiter.index,
            customer,
            plan,
            frontend,
            now,
            now + timeout,
            1.0,
            frontend_settings.value,
            within_quota,
            retry,
        )
        self.history.reqs.append(req)
        self.req_rows[req.req] = req
        row = self.history.second_row(now)
        row[5] += req.value if within_quota else 0.0
        self.engine.schedule(
            self.delay(limiter.zone, limiter.zone) or 1, limiter, ClientRequest(req)
        )
        c = s.clients
        if c.give_up and self.rng.random() < c.give_up:
            self.engine.schedule(
                round(self.rng.random() * timeout),
                limiter,
                ClientDeparture(req.req, limiter.generation),
            )

    def record_outcome(self, req: RequestRecord) -> None:
        """Adds a request's final answer to the figures of the current second."""
        frontend_settings = self.scenario.frontends[req.frontend]
        row = self.history.second_row(self.engine.now)
        if req.answer == PASSED:
            req.latency = self.engine.now - req.arrived
            if req.latency <= frontend_settings.response_target_ms * TICKS_PER_MS:
                row[0] += 1
                row[4] += req.value if req.within_quota else 0.0
        elif req.answer == DENIED:
            row[1] += 1
        else:
            row[2] += 1

    # starts and stops of servers
    # --------------------------------------------------------------------------------------

    def crash(self, srv: Server, restart_after: int) -> None:
        """Crashes a server and restarts it after `restart_after` ticks, unless that is negative."""
        srv.crash()
        if restart_after >= 0:
            self.engine.schedule(restart_after, self.fault_timeline, ("restart", srv.index))

    def restart(self, srv: Server) -> None:
        """Starts a stopped server, cold."""
        if srv.crashed_by_overload:
            return  # a server that crashed by overload is not restarted
        srv.up, srv.started_at, srv.state = True, max(1, self.engine.now), EndpointState.LIVE
        self.discovery.publish((srv.endpoint(),), False)

    def replace(self, srv: Server) -> None:
        """Removes a drained server and starts a cold one in its place, under a new name."""
        srv.state = EndpointState.GONE
        srv.crash()
        new = Server(self, len(self.servers), srv.zone, max(1, self.engine.now))
        self.servers.append(new)
        self.discovery.publish((srv.endpoint(), new.endpoint()), False)

    def run(self, tick: Callable[[float], None] | None = None) -> History:
        """Simulates the scenario to its end and returns the history.

        Calls `tick(seconds)` after each simulated second, for a progress bar.
        """
        s = self.scenario
        for limiter in self.limiters:
            limiter.start()
        for plan in range(len(s.plans)):
            self.clients.next_arrivals[plan] = float(self.rng.randrange(TICKS_PER_SECOND // 10))
            self.engine.schedule_at(round(self.clients.next_arrivals[plan]), self.clients, plan)
        self.engine.schedule(FULL_LIST_INTERVAL_TICKS, self.discovery, "whole")
        self.engine.schedule(TICKS_PER_SECOND, Sampler(self), "sample")
        for n, fault in enumerate(s.faults):
            self.engine.schedule_at(
                round(fault.at * TICKS_PER_SECOND), self.fault_timeline, ("fault", n)
            )
        for second in range(1, ceil(s.seconds) + 1):
            self.engine.run(round(min(second, s.seconds) * TICKS_PER_SECOND))
            if tick:
                tick(min(second, s.seconds))
        # time for the answers to the last requests: the longest client timeout plus 1 s
        self.engine.run(
            round(s.seconds * TICKS_PER_SECOND)
            + max(round(f.client_timeout_ms * TICKS_PER_MS) for f in s.frontends)
            + TICKS_PER_SECOND
        )
        return self.history


class FaultTimeline:
    """Starts and ends the faults of the scenario, and restarts or replaces servers."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.slowed_servers: list[Server] = []  # by the latest fault slow_servers

    def pick(self, candidates: list, share: float) -> list:
        """Returns a random share of the candidates, at least one if the share is not 0."""
        count = min(len(candidates), max(1, round(len(candidates) * share))) if share > 0 else 0
        return self.fleet.rng.sample(candidates, count)

    def receive(self, message: object) -> None:
        """Starts or ends a fault, or restarts or replaces a server."""
        fleet = self.fleet
        kind, n = message
        if kind == "restart":
            fleet.restart(fleet.servers[n])
            return None
        if kind == "replace":
            fleet.replace(fleet.servers[n])
            return None
        if kind == "end":
            return self.end(fleet.scenario.faults[n])
        fault = fleet.scenario.faults[n]
        span = round(fault.for_s * TICKS_PER_SECOND)
        if fault.for_s > 0:
            fleet.engine.schedule(span, self, ("end", n))
        up = [s for s in fleet.servers if s.up and s.state is EndpointState.LIVE]
        match fault.kind:
            case "kill_limiters":
                live = [x for x in fleet.limiters if x.alive]
                candidates = [x for x in live if fault.zone and x.zone == fleet.zones[fault.zone]]
                for lim in candidates or self.pick(live, fault.share):
                    lim.kill()
            case "crash_servers":
                for srv in self.pick(up, fault.share):
                    fleet.crash(srv, span if fault.for_s > 0 else -1)
            case "drain_servers":
                for srv in self.pick(up, fault.share):
                    srv.state = EndpointState.DRAINING
                    fleet.discovery.publish((srv.endpoint(),), False)
                    fleet.engine.schedule(
                        2 * round(fleet.scenario.fleet.drain_grace_ms * TICKS_PER_MS),
                        self,
                        ("replace", srv.index),
                    )
            case "slow_servers":
                self.slowed_servers = self.pick(up, fault.share)
                for srv in self.slowed_servers:
                    srv.slowdown = fault.factor
            case "fail_servers":
                for srv in self.pick(up, fault.share):
                    srv.failing_until = fleet.engine.now + span
            case "bad_release":
                for srv in self.pick(up, fault.share):
                    srv.crash()
                    fleet.restart(srv)
                    srv.failing_until = fleet.engine.now + span
            case "lose_zone":
                zone = fleet.zones[fault.zone]
                for srv in [s for s in up if s.zone == zone]:
                    fleet.crash(srv, span if fault.for_s > 0 else -1)
            case "cut_zone":
                fleet.cut_zones.add(fleet.zones[fault.zone])
            case "counter_down":
                fleet.counter.down_until = fleet.engine.now + span
            case "counter_slow":
                fleet.counter.slowdown = fault.factor
            case "counter_wipe":
                fleet.counter.totals.wipe()
            case "counter_split":
                fleet.counter.totals.split(fault.parts)
            case "late_lists":
                fleet.discovery.extra_delay = round(fault.factor * TICKS_PER_SECOND)
            case "partial_lists":
                fleet.discovery.listed_share = fault.share
            case "flood_plan":
                fleet.clients.traffic.demand_factors[
                    [p.name for p in fleet.scenario.plans].index(fault.plan)
                ] = fault.factor
            case "shift_zone":
                fleet.shift = (fleet.zones[fault.zone], fault.share)

    def end(self, fault: sc.Fault) -> None:
        """Ends a fault that has lasted for its `for_s` seconds."""
        fleet = self.fleet
        match fault.kind:
            case "kill_limiters":
                for lim in fleet.limiters:
                    if not lim.alive:
                        lim.start()
            case "slow_servers":
                for srv in self.slowed_servers:
                    srv.slowdown = 1.0
            case "cut_zone":
                fleet.cut_zones.discard(fleet.zones[fault.zone])
            case "counter_slow":
                fleet.counter.slowdown = 1.0
            case "counter_split":
                fleet.counter.totals.join()
            case "late_lists":
                fleet.discovery.extra_delay = 0
            case "partial_lists":
                fleet.discovery.listed_share = 1.0
            case "flood_plan":
                fleet.clients.traffic.demand_factors[
                    [p.name for p in fleet.scenario.plans].index(fault.plan)
                ] = 1.0
            case "shift_zone":
                fleet.shift = None
