"""One service's servers: those in use, how many dispatches may be out, and which of them a req goes
to.
"""

from dataclasses import replace
from math import log

from loomstand.admission.actions import LogMessage
from loomstand.admission.actors import NEVER, ActorLoop, PendingRequest, SortedRing, drop_before
from loomstand.admission.backend import Backend
from loomstand.admission.endpoints import Endpoint, EndpointState
from loomstand.admission.events import AttemptEnded
from loomstand.admission.histogram import Histogram, Rate
from loomstand.admission.outcome import Outcome
from loomstand.admission.settings import DeduplicationScope, Effect, Frontend
from loomstand.admission.tenant_limiter import TenantLimiter
from loomstand.admission.ticks import TICKS_PER_SECOND
from loomstand.failover.engine_view import Guide
from loomstand.failover.subset_selection import used


class Row:  # a frontend and its answers
    def __init__(self, front: Frontend) -> None:
        self.front, self.target = front, front.latency_target
        # some ten seconds of answers, enough for a tail of two in a hundred
        self.times = Histogram(400)
        # those that came while the window was at its least: work, no waiting
        self.least = Histogram(100)


class LoadBalancer:
    def __init__(self, loop: ActorLoop, guide: Guide | None = None) -> None:
        self.loop, self.guide, self.spare = loop, guide, loop.settings.retry_budget_initial
        self.rows = [Row(f) for f in loop.settings.frontends]
        # when each dispatch was sent, the oldest first
        self.flying: dict[tuple[int, int], int] = {}
        # the live ones, alike at all limiters
        self.servers, self.ring = dict[int, Backend](), SortedRing[Backend]()
        # by frontend: in use; set aside
        self.near, self.off = list[list[Backend]](), list[list[Backend]]()
        # window: dispatches out at once over all servers: seven a server by all limiters at first
        self.times, self.best, self.window, self.near_at = Histogram(400), 1e-9, 0.0, NEVER
        self.flows = [
            Rate(h, u, loop.now) for h, u in ((20_000, 28_854), (160_000, 230_831), (5_000, 7_213))
        ]

    def listed(self, entries: list[Endpoint], whole: bool) -> None:
        named, before = {e.endpoint_id for e in entries}, len(self.ring)
        lost = [v.entry for v in self.servers.values() if whole and v.srv not in named]
        for entry in (*entries, *(replace(e, state=EndpointState.GONE) for e in lost)):
            srv = self.servers.get(entry.endpoint_id) or Backend(self.loop, entry)
            self.servers[entry.endpoint_id] = srv
            self.ring.hold(srv, entry.state is EndpointState.LIVE)
            if entry.state is EndpointState.GONE and not srv.out:
                del self.servers[entry.endpoint_id]
            self.loop.post(srv.listed, entry)
        self.near_at = NEVER
        if self.guide:
            self.guide.listed(
                self.loop.now, ((v.srv, v.entry.zone, v.entry.started_at) for v in self.ring)
            )
        # servers that come one by one each bring their room
        if before and self.loop.settings.window_follows_endpoints:
            self.window *= len(self.ring) / before
        self.window = self.window or 7 * len(self.ring) / max(1, self.loop.settings.limiter_count)

    def ruled(self, limiters: int) -> None:  # of whom the window was one's part
        self.window *= max(1, limiters) / max(1, self.loop.settings.limiter_count)
        self.rows += [Row(f) for f in self.loop.settings.frontends[len(self.rows) :]]
        self.near_at = NEVER

    def look(self) -> None:
        """The servers to use: six to have a choice, more where they are cold or limiters few."""
        s = self.loop.settings
        lost = [v for v in self.ring if self.guide and self.guide.avoided(v.entry.zone)]  # a zone's
        ring = [v for v in self.ring if v not in lost] if lost else self.ring
        many, every = len(ring), max(len(self.ring), self.guide.usual if self.guide else 0)
        able = sum(v.warmth() for v in ring) if self.guide else many  # of cold ones it takes more
        reach = min(
            many, max(int(6 * every / max(1.0, able)), 4 * every // max(1, s.limiter_count))
        )
        self.near, self.off, self.near_at = (
            *used(ring, lost, s, reach, len(self.rows)),
            self.loop.now,
        )

    def room(self, job: PendingRequest[TenantLimiter]) -> bool:
        """The fuller the servers, the more value for its work a req must bring, beside the best
        lately.
        """
        work = self.rows[job.note.frontend].times.mean(2000, 4)
        worth = job.worth / work
        self.best = max(worth, self.best * 0.999)  # halved in some 700 reqs
        # nearly all would have answered
        late = self.loop.now - 10 * self.times.quantile(0.9, TICKS_PER_SECOND)
        drop_before(self.flying, late)  # held by silence, no load of servers
        window = self.window + self.loop.settings.window_headroom
        pressure = (len(self.flying) + self.loop.chance()) / max(1e-9, window)
        # Denying starts above what a limiter of many has out by mere chance; a doubtful req goes
        # first.
        floor = 0.45 if job.account.doubt() else 0.6
        if self.guide:
            return self.guide.admits(
                self.loop.now, self.rank(job), work, self.window, self.loop.chance()
            )
        return pressure <= floor + (1 - floor) * worth / self.best

    def again(self, job: PendingRequest[TenantLimiter]) -> Backend | None:
        # a further dispatch has a price: what never ran costs the servers little
        s = self.loop.settings
        price = 1.0 if job.maybe else s.rejected_retry_cost if job.turned else s.unsent_retry_cost
        srv = self.pick(job) if self.spare >= price else None
        self.spare -= price if srv else 0.0
        return srv

    def rank(self, job: PendingRequest[TenantLimiter]) -> int:
        """The site plan's: 0 is refused first."""
        note, account = job.note, job.account
        return self.guide.rank(
            note.frontend, note.plan, note.is_retry, account.asked > account.rate > 0
        )

    def heed(self) -> None:
        """What the guide found of zones: room goes with a lost one at once, not answer by late
        answer.
        """
        for line in self.guide.moved(self.loop.now):
            self.near_at = NEVER
            self.loop.actions.append(LogMessage(line))
        self.window *= self.guide.scale

    def pick(self, job: PendingRequest[TenantLimiter]) -> Backend | None:
        """One of the servers in use, the shorter the expected wait, the likelier: the more limiters
        share the servers, the less the own dispatches tell and the more chance decides.
        """
        s, front = self.loop.settings, job.note.frontend
        old = self.loop.now - self.near_at  # who has just failed is passed over without waiting
        if old > 20_000 or (
            s.retries_until_deadline and old > 500 and any(v.aside(front) for v in self.near[front])
        ):
            self.look()
        near, off, row = self.near[front], self.off[front], self.rows[front]
        if off and row.front.effect is Effect.IDEMPOTENT:
            srv, chance = off[int(self.loop.chance() * len(off))], self.loop.chance()
            probe = chance < srv.trickle
            if self.guide:
                probe = self.guide.probes(srv.entry.zone, self.rank(job), srv.trickle, chance)
            if probe and self.cold_ok(srv):
                return srv
        tried, blur = {srv for srv, _ in job.sent}, s.limiter_count / (s.limiter_count + 60)
        most = max(1.0, 2 * max(self.window, sum(v.out for v in near)) / max(1, len(near)))
        best, least, mean = None, 0.0, self.times.mean(2000, 4)
        for v in near:
            if not self.may_repeat(job, v) or v.out > most:
                continue
            if self.guide and not self.guide.passes(v.entry.zone, v.warmth(), self.loop.chance()):
                continue
            warmth = 1.0 if self.guide else v.warmth()  # the guide leaves cold ones out by chance
            cost = v.times.mean(mean, 3) / warmth * (1 + v.out) * (100 if v.srv in tried else 1)
            cost *= (
                s.remote_zone_cost if v.entry.zone != s.zone else 1.0
            )  # it decides between equals
            # looks idle
            cost *= (-log(1 - self.loop.chance())) ** blur * (1 + 9 * v.full.get(front, 0.0))
            if (best is None or cost < least) and self.cold_ok(v):
                best, least = v, cost
        return best

    def cold_ok(self, srv: Backend) -> bool:
        """Against what one of this limiter's servers answers to it; if all are cold, what they just
        answered at their warmth, and one req at a time by all limiters: none carried a thing, so
        none would be let.
        """
        if srv.warmth() >= 1.0:
            return True
        near, carried = self.near[0], self.passed(0) / max(1, len(self.near[0]))
        if (able := [v.warmth() for v in near]) and max(able) < 1.0:
            # of a server
            users = max(1.0, self.loop.settings.limiter_count * len(near) / len(self.ring))
            work = self.times.mean(max(row.target for row in self.rows), 1)
            carried = max(self.flows[2].add(0, self.loop.now) / sum(able), 1 / work / users)
        return srv.cold_room(carried)

    def passed(self, more: int) -> float:
        """Answers a tenth, with a half-life of 2 s or of 16 s, whichever is more: what servers
        carried lately they can carry. By the first alone budgets fall with the reqs denied for want
        of budget, and so on.
        """
        return max([flow.add(more, self.loop.now) for flow in self.flows][:2])

    def may_repeat(self, job: PendingRequest[TenantLimiter], srv: Backend) -> bool:
        """Whether no effect can come twice if the req goes to this server."""
        front, here = self.rows[job.note.frontend].front, srv.entry
        if not job.maybe or front.effect is Effect.IDEMPOTENT:
            return True
        if front.effect is not Effect.DEDUPLICATED or any(
            job.sent[n][0] not in self.servers for n in job.maybe
        ):
            return False
        before = [(self.servers[job.sent[n][0]].entry, job.sent[n][1]) for n in job.maybe]
        known = all(self.loop.now - at < front.deduplication_window for _, at in before)
        part = {
            DeduplicationScope.ALL: lambda e: 0,
            DeduplicationScope.ZONE: lambda e: e.zone,
            DeduplicationScope.CELL: lambda e: e.cell,
        }[front.deduplication_scope]
        return known and all(part(e) == part(here) for e, _ in before)

    def dispatch(self, job: PendingRequest[TenantLimiter], srv: Backend) -> None:
        s, now, row = self.loop.settings, self.loop.now, self.rows[job.note.frontend]
        expire = job.note.deadline
        # a first one earns it
        self.spare = min(s.retry_budget_max, self.spare + s.retry_budget_ratio * (not job.sent))
        if row.front.effect is Effect.IDEMPOTENT and len(job.sent) + 1 < job.tries:
            # three times what nearly all answers take: whoever is silent so long leaves time for
            # another
            wait = 3 * row.times.quantile(0.97, row.target / 4)
            if now + wait + row.times.mean(row.target / 4, 1) < (
                expire if s.retries_until_deadline else job.target
            ):
                expire = min(expire, now + round(wait))
        self.flying[job.note.request_id, len(job.sent)] = now
        if self.guide:
            self.guide.sent(now, (job.note.request_id, len(job.sent)), srv.entry.zone, srv.srv)
        self.loop.post(srv.send, job.note.request_id, expire)
        job.sent.append((srv.srv, now))

    def ended(self, job: PendingRequest[TenantLimiter], note: AttemptEnded) -> bool:
        """Whether the dispatch went to a server that is known."""
        if (srv := self.servers.get(note.endpoint_id)) is None:
            return False
        row = self.rows[job.note.frontend]
        self.loop.post(srv.ended, note, job.note.frontend)
        if srv.entry.state is EndpointState.GONE and srv.out == 1:
            del self.servers[srv.srv]
        self.flying.pop((note.request_id, note.attempt), None)
        if self.guide:
            key, late = (note.request_id, note.attempt), note.duration > row.target
            self.guide.ended(self.loop.now, key, srv.entry.zone, srv.srv, note.outcome, late)
        self.judge(note, row, srv.entry.zone)
        if note.outcome in (Outcome.SUCCEEDED, Outcome.NO_RESPONSE):
            row.times.add(note.duration)
            self.times.add(note.duration)
        return True

    def judge(self, note: AttemptEnded, row: Row, hall: int = 0) -> None:
        """The window aims at a short queue over all servers, known from all answers together.
        Silence is a single server's more often, and counts less; so does a req turned away while
        answers are quick.
        """
        target = row.target
        slow = min(1.0, (self.times.mean(target, 1) / (0.3 * target)) ** 2)
        # Waiting is judged, not work. With work of a fifth of the target or less: 0.5 and 0.8 of
        # it.
        work = max(0.2 * target, min(h.quantile(0.25, 0) for h in (row.least, row.times)))
        quick, late = (work + share * max(0.0, target - work) for share in (0.375, 0.75))
        bad = {
            Outcome.REJECTED: slow,
            Outcome.NO_RESPONSE: 0.3,
            Outcome.SUCCEEDED: note.duration > late,
        }
        self.passed(note.outcome is Outcome.SUCCEEDED)
        least = (
            5 * len(self.ring) / max(1, self.loop.settings.limiter_count)
        )  # five a server by all
        if self.window <= least and note.outcome in (Outcome.SUCCEEDED, Outcome.NO_RESPONSE):
            row.least.add(note.duration)
        cut = bad.get(note.outcome, 0.0)
        if self.guide:
            least = self.guide.least(self.loop.settings.limiter_count)
            self.window = self.guide.answered(self.window, least, hall, cut, len(self.flying))
        elif cut:
            self.window = max(least, self.window - cut * min(1.0, 0.3 * self.window))
        elif note.duration < quick and len(self.flying) + 1 >= 0.4 * self.window:
            self.window += 0.1 * min(1.0, self.window)  # one late answer in ten holds it
