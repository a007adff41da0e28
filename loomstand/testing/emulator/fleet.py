"""The fleet that a lab run plays: clients, limiters, servers, the counter, discovery and the
network.

Each part is an actor of `engine.Engine`; a limiter holds a policy with the module's one call,
`handle(now, note) -> actions`, fed the notes of `loomstand.admission.events` exactly as the
adapter feeds them, so that the real `Brain` decides and nothing of its decisions is copied here.
What the model decides itself (which servers a fault hits, when a client comes again) draws on one
seeded `random.Random`.

Times are tenths of a millisecond (`T`); rates are per second.
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
from loomstand.testing.emulator.history import ABORTED, DENIED, PASSED, History, Req
from loomstand.testing.emulator.traffic import Traffic, refill

T = TICKS_PER_SECOND
MS = T // 1000
OC = Outcome
LIST_DELAY = 50 * MS  # discovery's usual lag behind a change: a watch answered within a few RTTs
WHOLE_EVERY = 10 * T  # a whole list to every limiter, as a poll of discovery would bring it
# what a connect to a cut-off peer takes to fail; the settings' default connect timeout
CONNECT = 250 * MS


class Policy:
    """What a limiter runs: the module, or a baseline with the same call."""

    def handle(self, now: int, note: Event) -> list[Action]:
        raise NotImplementedError


PolicyMaker = Callable[["Fleet", int, EngineSettings, int], Policy]


# notes between the parts
# ------------------------------------------------------------------------------------


@dataclass(slots=True)
class Work:
    req: int
    dispatch: int
    limiter: int
    lgen: int
    frontend: int


@dataclass(slots=True)
class Finish:
    work: Work
    gen: int
    failed: bool


@dataclass(slots=True)
class Reply:
    req: int
    dispatch: int
    lgen: int
    srv: int
    outcome: Outcome


@dataclass(slots=True)
class Expire:
    req: int
    dispatch: int
    lgen: int


@dataclass(slots=True)
class Timer:
    tag: int
    lgen: int


@dataclass(slots=True)
class CountCall:
    limiter: int
    lgen: int
    call: int
    name: int
    step: float
    keep: int


@dataclass(slots=True)
class CountReply:
    call: int
    lgen: int
    outcome: Outcome
    total: float


@dataclass(slots=True)
class ListNote:
    lgen: int
    listed: EndpointsUpdated


@dataclass(slots=True)
class Come:
    req: Req


@dataclass(slots=True)
class Leave:
    req: int
    lgen: int


@dataclass(slots=True)
class Later:
    """A note that a limiter posts to itself, so that no answer is fed back inside a call of its
    policy.
    """

    lgen: int
    note: Event


# the parts
# -------------------------------------------------------------------------------------------


class Server:
    """A server: `capacity` reqs at work at once, a queue behind them, cold after each start."""

    def __init__(self, fleet: Fleet, srv: int, zone: int, booted: int) -> None:
        self.fleet, self.srv, self.zone = fleet, srv, zone
        self.booted, self.up, self.phase, self.gen = booted, True, EndpointState.LIVE, 0
        self.working: list[Work] = []
        self.queue: deque[Work] = deque()
        self.slow, self.failing_until, self.fallen = 1.0, -1, False
        self.recent: deque[int] = deque()  # arrival times within the last tip window, while cold

    def warmth(self) -> float:
        age = (self.fleet.engine.now - self.booted) / T
        return self.fleet.scenario.fleet.warmth(age) if self.booted > 0 else 1.0

    def room(self) -> int:
        """Reqs it works on at once now."""
        return self.fleet.scenario.fleet.room(self.warmth())

    def hand(self) -> int:
        return len(self.working) + len(self.queue)

    def bears(self, warmth: float) -> float:
        """Dispatches within the rule's tip window past which this server, at `warmth`, falls."""
        return self.fleet.scenario.fleet.bears(warmth, self.fleet.mean_work) * self.fleet.tip / T

    def take(self, note: object) -> None:
        if isinstance(note, Work):
            self.arrive(note)
        elif isinstance(note, Finish) and note.gen == self.gen and note.work in self.working:
            self.working.remove(note.work)
            self.answer(note.work, OC.SERVER_ERROR if note.failed else OC.SUCCEEDED)
            if self.queue:
                self.start(self.queue.popleft())

    def arrive(self, work: Work) -> None:
        fleet, now = self.fleet, self.fleet.engine.now
        fleet.history.dispatches[fleet.dispatch_rows[work.req, work.dispatch]][5] = now
        if not self.up or self.phase is EndpointState.GONE:
            return self.answer(work, OC.CONNECT_FAILED)
        warmth = self.warmth()
        # the rule's cold server: more than fall_multiple times what it can do, for tip_after
        if warmth < 1.0:
            self.recent.append(now)
            while self.recent and self.recent[0] <= now - fleet.tip:
                self.recent.popleft()
            bears = self.bears(warmth)
            if len(self.recent) > max(2.0, bears):
                fleet.history.falls.append((self.srv, now, float(len(self.recent)), bears))
                self.fallen = True
                fleet.crash(self, back_after=-1)
                return self.answer(work, OC.CONNECTION_LOST)
        # what a dispatch finds waiting before it, plus one
        fleet.queued.record_value(len(self.queue) + 1)
        if self.hand() >= self.room() + fleet.scenario.fleet.queue:
            return self.answer(work, OC.REJECTED)
        if len(self.working) < self.room():
            self.start(work)
        else:
            self.queue.append(work)

    def start(self, work: Work) -> None:
        fleet = self.fleet
        front = fleet.scenario.frontends[work.frontend]
        fleet.ran(work, self)
        self.working.append(work)
        failing = fleet.engine.now < self.failing_until
        mean = front.work_ms * MS * self.slow * (0.1 if failing else 1.0)
        fleet.engine.post(
            max(1, round(fleet.rng.expovariate(1 / mean))), self, Finish(work, self.gen, failing)
        )

    def answer(self, work: Work, outcome: Outcome) -> None:
        fleet = self.fleet
        limiter = fleet.limiters[work.limiter]
        delay = fleet.delay(self.zone, limiter.zone)
        if delay is None:
            return  # lost: the limiter's expiry answers it
        fleet.engine.post(
            delay, limiter, Reply(work.req, work.dispatch, work.lgen, self.srv, outcome)
        )

    def crash(self) -> None:
        """Everything in hand is cut off; the limiters hear of it as connections lost."""
        self.up, self.gen = False, self.gen + 1
        for work in [*self.working, *self.queue]:
            self.answer(work, OC.CONNECTION_LOST)
        self.working, self.queue = [], deque()
        self.recent.clear()

    def entry(self) -> Endpoint:
        return Endpoint(self.srv, self.phase, self.zone, 0, 0, 1.0, self.booted)


class Counter:
    """The shared counter: totals by name that last `keep`; latency, silence, loss of all, split in
    parts.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.totals = Totals()
        self.down_until, self.slow = -1, 1.0

    def take(self, note: object) -> None:
        if not isinstance(note, CountCall):
            return
        fleet, now = self.fleet, self.fleet.engine.now
        if now < self.down_until:
            return
        total = self.totals.add(note.limiter, note.name, note.step, now, note.keep)
        limiter = fleet.limiters[note.limiter]
        back = fleet.delay(0, limiter.zone)
        if back is None:
            return
        took = round(
            fleet.scenario.counter.latency_ms * MS * self.slow * (0.5 + fleet.rng.random())
        )
        fleet.engine.post(
            back + took, limiter, CountReply(note.call, note.lgen, OC.SUCCEEDED, total)
        )


class Discovery:
    """Tells every limiter of each change in the list, late by a little, and the whole list now and
    then.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.extra, self.partial = 0, 1.0

    def entries(self) -> tuple[Endpoint, ...]:
        known = [s.entry() for s in self.fleet.servers if s.phase is not EndpointState.GONE or s.up]
        if self.partial < 1.0:
            known = known[: ceil(len(known) * self.partial)]
        return tuple(known)

    def tell(self, entries: tuple[Endpoint, ...], whole: bool) -> None:
        fleet = self.fleet
        for limiter in fleet.limiters:
            if limiter.alive:
                lag = LIST_DELAY + self.extra + fleet.rng.randrange(LIST_DELAY)
                fleet.engine.post(
                    lag, limiter, ListNote(limiter.gen, EndpointsUpdated(entries, whole))
                )

    def take(self, note: object) -> None:  # the periodic whole list
        self.tell(self.entries(), True)
        self.fleet.engine.post(WHOLE_EVERY, self, note)


class Limiter:
    """One limiter: its policy, what it has sent and what it owes."""

    def __init__(self, fleet: Fleet, idx: int, zone: int) -> None:
        self.fleet, self.idx, self.zone = fleet, idx, zone
        self.alive, self.gen = False, 0
        self.policy: Policy | None = None
        self.open: dict[tuple[int, int], int] = {}  # (req, dispatch) to server
        self.calls: dict[int, tuple[int, float, int]] = {}  # call to name, step, sent at
        self.owed: dict[int, Req] = {}
        self.sent: dict[int, int] = {}  # dispatches a req has had

    def start(self) -> None:
        fleet = self.fleet
        self.alive, self.gen = True, self.gen + 1
        fleet.live = None
        self.open, self.calls, self.owed, self.sent = {}, {}, {}, {}
        told = fleet.settings_for(self.idx, self.zone)
        self.policy = fleet.make_policy(fleet, self.idx, told, fleet.rng.getrandbits(64))
        self.take(ListNote(self.gen, EndpointsUpdated(fleet.discovery.entries(), True)))

    def kill(self) -> None:
        self.alive, self.gen, self.policy = False, self.gen + 1, None
        self.fleet.live = None
        for req in self.owed.values():
            req.orphaned = True
        self.owed, self.open, self.calls = {}, {}, {}

    def take(self, note: object) -> None:
        lgen = getattr(note, "lgen", self.gen)
        if not self.alive or lgen != self.gen:
            if isinstance(note, Come):
                note.req.orphaned = True  # its limiter died before it was taken
            return  # for a process that is no more
        fleet = self.fleet
        match note:
            case Come(req=req):
                self.owed[req.req] = req
                self.feed(
                    RequestArrived(
                        req.req,
                        req.frontend,
                        req.plan,
                        req.customer,
                        fleet.digests[req.customer],
                        req.give_up,
                        req.units,
                        0,
                        req.retry,
                    )
                )
            case Reply():
                if self.open.pop((note.req, note.dispatch), None) is None:
                    return
                passed = note.outcome is OC.SUCCEEDED
                took = fleet.since_sent(note.req, note.dispatch)
                if passed:
                    self.final(note.req, PASSED)
                self.feed(
                    AttemptEnded(
                        note.req, note.dispatch, note.srv, note.outcome, took, passed, 0, 0.0
                    )
                )
            case Expire():
                if (srv := self.open.pop((note.req, note.dispatch), None)) is not None:
                    took = fleet.since_sent(note.req, note.dispatch)
                    self.feed(
                        AttemptEnded(
                            note.req, note.dispatch, srv, OC.NO_RESPONSE, took, False, 0, 0.0
                        )
                    )
            case CountReply():
                if (call := self.calls.pop(note.call, None)) is not None:
                    self.feed(
                        CounterReplied(
                            call[0], note.outcome, note.total, fleet.engine.now - call[2]
                        )
                    )
            case Timer():
                self.feed(TimerFired(note.tag))
            case ListNote():
                live = fleet.told_live.setdefault(self.idx, set())
                if note.listed.complete:
                    named = {e.endpoint_id for e in note.listed.endpoints}
                    for srv in live - named:
                        fleet.leaving(self.idx, srv)
                    live &= named
                for entry in note.listed.endpoints:
                    if entry.state is EndpointState.LIVE:
                        live.add(entry.endpoint_id)
                        fleet.back(self.idx, entry.endpoint_id)
                    else:
                        live.discard(entry.endpoint_id)
                        fleet.leaving(self.idx, entry.endpoint_id)
                self.feed(note.listed)
            case Leave():
                if (req := self.owed.pop(note.req, None)) is not None:
                    req.vanished = True
                    self.feed(ClientDisconnected(note.req))
            case Later():
                self.feed(note.note)

    def feed(self, note: Event) -> None:
        fleet = self.fleet
        try:
            actions = self.policy.handle(fleet.engine.now, note)
        except Exception as why:  # a policy that raises is a crash of its limiter, as on the bench
            fleet.history.broken.append((self.idx, f"{type(why).__name__}: {why}"))
            self.kill()
            return
        for act in actions:
            self.act(act)

    def act(self, act: Action) -> None:
        fleet, now = self.fleet, self.fleet.engine.now
        match act:
            case SendAttempt():
                n = self.sent.get(act.request_id, 0)
                self.sent[act.request_id] = n + 1
                if any((act.request_id, k) in self.open for k in range(n)):
                    fleet.history.overlaps.append((act.request_id, self.idx, now))
                fleet.send(self, act, n)
            case Reject():
                self.final(act.request_id, DENIED)
                if (req := fleet.req_rows.get(act.request_id)) is not None:
                    fleet.clients.denied(req)
            case Abort():
                self.final(act.request_id, ABORTED)
            case CancelAttempt():
                if (srv := self.open.pop((act.request_id, act.attempt), None)) is not None:
                    ended = AttemptEnded(
                        act.request_id, act.attempt, srv, OC.CANCELLED, 0, False, 0, 0.0
                    )
                    fleet.engine.post(0, self, Later(self.gen, ended))
            case SetTimer():
                fleet.engine.post(act.delay, self, Timer(act.tag, self.gen))
            case IncrementCounter():
                fleet.count(self, act)
            case CheckHealth():
                srv = (
                    fleet.servers[act.endpoint_id] if act.endpoint_id < len(fleet.servers) else None
                )
                outcome = OC.SUCCEEDED if srv is not None and srv.up else OC.CONNECT_FAILED
                fleet.engine.post(
                    2 * MS,
                    self,
                    Later(self.gen, HealthCheckFinished(act.endpoint_id, outcome, 2 * MS)),
                )
            case LogMessage():
                fleet.log_lines += 1

    def final(self, req_id: int, what: str) -> None:
        req = self.fleet.req_rows.get(req_id)
        if req is None:
            return
        if req.vanished:
            return
        self.owed.pop(req_id, None)
        req.finals += 1
        if req.finals == 1:
            req.final, req.final_at = what, self.fleet.engine.now
            self.fleet.answered(req)


class Clients:
    """Open-loop arrivals by plan, hot callers, bursts and floods; clients that come again or leave
    early.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        s = fleet.scenario
        self.traffic = Traffic(s.plans, s.frontends, fleet.rng)
        self.due = [0.0] * len(s.plans)  # the next arrival of each plan, in tenths

    def rate(self, plan: int) -> float:
        """Reqs a second that a plan's customers ask now."""
        s, now = self.fleet.scenario, self.fleet.engine.now
        c = s.clients
        burst = (
            c.burst_factor
            if c.burst_for and c.burst_at * T <= now < (c.burst_at + c.burst_for) * T
            else 1.0
        )
        return self.traffic.rate(plan) * burst

    def take(self, note: object) -> None:
        if self.fleet.engine.now >= self.fleet.scenario.seconds * T:
            return None  # the day's traffic is over; what was taken is still answered
        if isinstance(note, Again):
            return self.fleet.arrive(note.plan, note.customer, self.traffic.front(), True)
        plan = note
        assert isinstance(plan, int)
        rng, now = self.fleet.rng, self.fleet.engine.now
        # arrival times are kept in fractions of a tenth: above 10,000 a second several fall in one
        # tenth
        while self.due[plan] <= now:
            rate = self.rate(plan)
            if rate > 0:
                self.arrive(plan)
            self.due[plan] += rng.expovariate(max(rate, 0.1)) * T
        self.fleet.engine.at(ceil(self.due[plan]), self, plan)

    def arrive(self, plan: int) -> None:
        customer = self.traffic.customer(plan)
        self.fleet.arrive(plan, customer, self.traffic.front(), False)

    def denied(self, req: Req) -> None:
        c = self.fleet.scenario.clients
        if c.retry and self.fleet.rng.random() < c.retry:
            wait = round(self.fleet.rng.expovariate(1 / max(1.0, c.retry_after_ms)) * MS)
            self.fleet.engine.post(wait, self, Again(req.plan, req.customer))


@dataclass(slots=True)
class Again:
    plan: int
    customer: int


class Sampler:
    """Once a second: load against capacity over the servers that are up."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet

    def take(self, note: object) -> None:
        fleet = self.fleet
        up = [s for s in fleet.servers if s.up]
        fleet.history.load.append(
            (float(sum(s.hand() for s in up)), float(sum(s.room() for s in up)))
        )
        fleet.engine.post(T, self, note)


class Fleet:
    """One run: builds the parts from a scenario, plays it and keeps its history."""

    def __init__(self, scenario: sc.Scenario, make_policy: PolicyMaker, seed: int) -> None:
        self.scenario, self.make_policy = scenario, make_policy
        self.rng = Random(seed)
        self.engine = Engine()
        self.history = History()
        self.log_lines = 0
        f = scenario.fleet
        self.zones = {z: n for n, z in enumerate(f.zones)}
        self.cut: set[int] = set()
        self.tip = max(1, round(1.0 * T))  # the rule's time: sent too much for a second
        self.mean_work = sc.mean_work(scenario)
        self.servers = [Server(self, n, n % len(f.zones), 0) for n in range(f.servers)]
        self.counter = Counter(self)
        self.discovery = Discovery(self)
        self.limiters = [Limiter(self, n, n % len(f.zones)) for n in range(f.limiters)]
        self.clients = Clients(self)
        self.digests = [stable_digest(f"customer-{c}") for c in range(self.clients.traffic.total)]
        self.req_rows: dict[int, Req] = {}
        self.dispatch_rows: dict[tuple[int, int], int] = {}
        self.told_live: dict[int, set[int]] = {}
        self.told_gone: dict[tuple[int, int], int] = {}
        self.next_req = self.next_call = 0
        self.quota: list[list[float]] = [
            [0.0, 0.0] for _ in range(self.clients.traffic.total)
        ]  # true level, when
        self.plan_of = [n for n, p in enumerate(scenario.plans) for _ in range(p.customers)]
        for customer, plan in enumerate(self.plan_of):
            self.quota[customer][0] = scenario.plans[plan].burst
        self.shift: tuple[int, float] | None = None
        self.oracle_buckets: dict[int, list[float]] = {}  # the oracle's one bucket a customer
        self.oracle_ceilings: dict[int, list[float]] = {}  # and its ceiling's
        self.queued = HdrHistogram(1, 1 << 20, 2)
        self.life = Life(self)
        self.live: tuple[list[Limiter], list[list[Limiter]]] | None = None  # by zone

    def settings_for(self, me: int, zone: int) -> EngineSettings:
        return engine_settings(sc.conf(self.scenario, me, zone), zone)

    # the network
    # -----------------------------------------------------------------------------------------

    def delay(self, a: int, b: int) -> int | None:
        """One way from zone a to zone b, or None where the note is lost."""
        n = self.scenario.net
        if a != b and (a in self.cut or b in self.cut):
            return None
        if n.loss and self.rng.random() < n.loss:
            return None
        base = n.delay_ms + (n.zone_delay_ms if a != b else 0.0) + self.rng.random() * n.jitter_ms
        return max(1, round(base * MS))

    # what limiters do
    # ------------------------------------------------------------------------------------

    def send(self, limiter: Limiter, act: SendAttempt, n: int) -> None:
        srv = self.servers[act.endpoint_id] if 0 <= act.endpoint_id < len(self.servers) else None
        self.dispatch_rows[act.request_id, n] = len(self.history.dispatches)
        self.history.dispatches.append(
            [act.request_id, n, limiter.idx, act.endpoint_id, self.engine.now, -1]
        )
        req = self.req_rows.get(act.request_id)
        if req is not None:
            self.history.plan_second(self.engine.now, len(self.scenario.plans))[req.plan] += (
                req.units
            )
        limiter.open[act.request_id, n] = act.endpoint_id
        self.engine.at(act.expires_at, limiter, Expire(act.request_id, n, limiter.gen))
        if srv is None:
            self.engine.post(
                0,
                limiter,
                Reply(act.request_id, n, limiter.gen, act.endpoint_id, OC.CONNECT_FAILED),
            )
            return
        work = Work(act.request_id, n, limiter.idx, limiter.gen, req.frontend if req else 0)
        there = self.delay(limiter.zone, srv.zone)
        if there is None:
            if srv.zone in self.cut or limiter.zone in self.cut:
                self.engine.post(
                    CONNECT,
                    limiter,
                    Reply(act.request_id, n, limiter.gen, act.endpoint_id, OC.CONNECT_FAILED),
                )
            return
        self.engine.post(there, srv, work)

    def count(self, limiter: Limiter, act: IncrementCounter) -> None:
        self.next_call += 1
        call = self.next_call
        limiter.calls[call] = (act.counter_name, act.amount, self.engine.now)
        timeout = round(self.scenario.counter.timeout_ms * MS)
        self.engine.post(timeout, self, (limiter, call, limiter.gen))
        there = self.delay(limiter.zone, 0)
        if there is not None and self.scenario.counter.present:
            self.engine.post(
                there,
                self.counter,
                CountCall(
                    limiter.idx, limiter.gen, call, act.counter_name, act.amount, act.time_to_live
                ),
            )

    def take(self, note: object) -> None:
        """A count call's time is up: no answer."""
        limiter, call, lgen = note
        if limiter.gen == lgen and call in limiter.calls:
            self.engine.post(0, limiter, CountReply(call, lgen, OC.NO_RESPONSE, 0.0))

    def since_sent(self, req: int, dispatch: int) -> int:
        """Tenths since the limiter sent this dispatch."""
        return self.engine.now - self.history.dispatches[self.dispatch_rows[req, dispatch]][4]

    def ran(self, work: Work, srv: Server) -> None:
        req = self.req_rows.get(work.req)
        front = self.scenario.frontends[work.frontend]
        group = srv.zone if front.group == "zone" else 0  # the lab's servers are all of cell 0
        window = round(front.repeat_window_ms * MS)
        self.history.runs.append((work.req, srv.srv, self.engine.now, front.effect, group, window))
        if req is not None:
            self.history.used.append((req.customer, req.plan, self.engine.now, req.units))

    def leaving(self, limiter: int, srv: int) -> None:
        if (limiter, srv) not in self.told_gone:
            self.told_gone[limiter, srv] = len(self.history.told_leaving)
            self.history.told_leaving.append([limiter, srv, self.engine.now, 1 << 62])

    def back(self, limiter: int, srv: int) -> None:
        """Told that a server is live again: the rule's grace no longer runs for it."""
        if (row := self.told_gone.pop((limiter, srv), None)) is not None:
            self.history.told_leaving[row][3] = self.engine.now

    # what clients do
    # -------------------------------------------------------------------------------------

    def arrive(self, plan: int, customer: int, front: int, retry: bool) -> None:
        s, now = self.scenario, self.engine.now
        # made again only when a limiter starts or stops: a req must not cost N
        if self.live is None:
            every = [lim for lim in self.limiters if lim.alive]
            self.live = (
                every,
                [[lim for lim in every if lim.zone == z] for z in range(len(s.fleet.zones))],
            )
        every, zoned = self.live
        if not every:
            return
        zone = customer % len(s.fleet.zones)
        if self.shift is not None and self.rng.random() < self.shift[1]:
            zone = self.shift[0]
        here = zoned[zone] or every
        limiter = here[self.rng.randrange(len(here))]
        p, g = s.plans[plan], s.frontends[front]
        held = self.quota[customer]
        inside = refill(held, p.rate, p.burst, now, T) >= 1.0
        held[0] -= 1.0 if inside else 0.0
        self.next_req += 1
        timeout = round(g.client_timeout_ms * MS)
        req = Req(
            self.next_req,
            limiter.idx,
            customer,
            plan,
            front,
            now,
            now + timeout,
            1.0,
            g.value,
            inside,
            retry,
        )
        self.history.reqs.append(req)
        self.req_rows[req.req] = req
        row = self.history.second(now)
        row[5] += req.worth if inside else 0.0
        self.engine.post(self.delay(limiter.zone, limiter.zone) or 1, limiter, Come(req))
        c = s.clients
        if c.give_up and self.rng.random() < c.give_up:
            self.engine.post(
                round(self.rng.random() * timeout), limiter, Leave(req.req, limiter.gen)
            )

    def answered(self, req: Req) -> None:
        g = self.scenario.frontends[req.frontend]
        row = self.history.second(self.engine.now)
        if req.final == PASSED:
            req.took = self.engine.now - req.arrived
            if req.took <= g.response_target_ms * MS:
                row[0] += 1
                row[4] += req.worth if req.inside else 0.0
        elif req.final == DENIED:
            row[1] += 1
        else:
            row[2] += 1

    # servers' lives
    # --------------------------------------------------------------------------------------

    def crash(self, srv: Server, back_after: int) -> None:
        srv.crash()
        if back_after >= 0:
            self.engine.post(back_after, self.life, ("back", srv.srv))

    def restart(self, srv: Server) -> None:
        if srv.fallen:
            return  # it stays down
        srv.up, srv.booted, srv.phase = True, max(1, self.engine.now), EndpointState.LIVE
        self.discovery.tell((srv.entry(),), False)

    def replace(self, srv: Server) -> None:
        """A drained server leaves; a new one, cold, takes its place under a new name."""
        srv.phase = EndpointState.GONE
        srv.crash()
        new = Server(self, len(self.servers), srv.zone, max(1, self.engine.now))
        self.servers.append(new)
        self.discovery.tell((srv.entry(), new.entry()), False)

    def play(self, tick: Callable[[float], None] | None = None) -> History:
        """Plays the whole scenario; the history is the run's result. `tick(seconds)` after each
        simulated second, for a progress bar.
        """
        s = self.scenario
        for limiter in self.limiters:
            limiter.start()
        for plan in range(len(s.plans)):
            self.clients.due[plan] = float(self.rng.randrange(T // 10))
            self.engine.at(round(self.clients.due[plan]), self.clients, plan)
        self.engine.post(WHOLE_EVERY, self.discovery, "whole")
        self.engine.post(T, Sampler(self), "sample")
        for n, fault in enumerate(s.faults):
            self.engine.at(round(fault.at * T), self.life, ("fault", n))
        for second in range(1, ceil(s.seconds) + 1):
            self.engine.run(round(min(second, s.seconds) * T))
            if tick:
                tick(min(second, s.seconds))
        # the clients that are still waiting: their limiter has this long to answer
        self.engine.run(
            round(s.seconds * T) + max(round(f.client_timeout_ms * MS) for f in s.frontends) + T
        )
        return self.history


class Life:
    """The timeline's faults, and servers coming back."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet

    def pick(self, among: list, share: float) -> list:
        k = min(len(among), max(1, round(len(among) * share))) if share > 0 else 0
        return self.fleet.rng.sample(among, k)

    def take(self, note: object) -> None:
        fleet = self.fleet
        what, n = note
        if what == "back":
            fleet.restart(fleet.servers[n])
            return None
        if what == "leave":
            fleet.replace(fleet.servers[n])
            return None
        if what == "end":
            return self.end(fleet.scenario.faults[n])
        fault = fleet.scenario.faults[n]
        span = round(fault.for_s * T)
        if fault.for_s > 0:
            fleet.engine.post(span, self, ("end", n))
        up = [s for s in fleet.servers if s.up and s.phase is EndpointState.LIVE]
        match fault.kind:
            case "kill_limiters":
                live = [x for x in fleet.limiters if x.alive]
                here = [x for x in live if fault.zone and x.zone == fleet.zones[fault.zone]]
                for lim in here or self.pick(live, fault.share):
                    lim.kill()
            case "crash_servers":
                for srv in self.pick(up, fault.share):
                    fleet.crash(srv, span if fault.for_s > 0 else -1)
            case "drain_servers":
                for srv in self.pick(up, fault.share):
                    srv.phase = EndpointState.DRAINING
                    fleet.discovery.tell((srv.entry(),), False)
                    fleet.engine.post(
                        2 * round(fleet.scenario.fleet.drain_grace_ms * MS),
                        self,
                        ("leave", srv.srv),
                    )
            case "slow_servers":
                self.hit = self.pick(up, fault.share)
                for srv in self.hit:
                    srv.slow = fault.factor
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
                fleet.cut.add(fleet.zones[fault.zone])
            case "counter_down":
                fleet.counter.down_until = fleet.engine.now + span
            case "counter_slow":
                fleet.counter.slow = fault.factor
            case "counter_wipe":
                fleet.counter.totals.wipe()
            case "counter_split":
                fleet.counter.totals.split(fault.parts)
            case "late_lists":
                fleet.discovery.extra = round(fault.factor * T)
            case "partial_lists":
                fleet.discovery.partial = fault.share
            case "flood_plan":
                fleet.clients.traffic.factor[
                    [p.name for p in fleet.scenario.plans].index(fault.plan)
                ] = fault.factor
            case "shift_zone":
                fleet.shift = (fleet.zones[fault.zone], fault.share)

    def end(self, fault: sc.Fault) -> None:
        fleet = self.fleet
        match fault.kind:
            case "kill_limiters":
                for lim in fleet.limiters:
                    if not lim.alive:
                        lim.start()
            case "slow_servers":
                for srv in getattr(self, "hit", []):
                    srv.slow = 1.0
            case "cut_zone":
                fleet.cut.discard(fleet.zones[fault.zone])
            case "counter_slow":
                fleet.counter.slow = 1.0
            case "counter_split":
                fleet.counter.totals.join()
            case "late_lists":
                fleet.discovery.extra = 0
            case "partial_lists":
                fleet.discovery.partial = 1.0
            case "flood_plan":
                fleet.clients.traffic.factor[
                    [p.name for p in fleet.scenario.plans].index(fault.plan)
                ] = 1.0
            case "shift_zone":
                fleet.shift = None
