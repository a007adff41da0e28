"""Takes reqs in and gives every req its one final answer."""

from collections import defaultdict

from loomstand.admission.actions import Abort, Action, LogMessage, Reject
from loomstand.admission.actors import Actor, ActorLoop, EventCounts, PendingRequest
from loomstand.admission.counter_client import CounterClient
from loomstand.admission.endpoints import Endpoint
from loomstand.admission.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointsUpdated,
    RequestArrived,
    SettingsChanged,
    TenantEvent,
    TenantTotalUpdated,
    TimerFired,
)
from loomstand.admission.load_balancer import LoadBalancer
from loomstand.admission.outcome import Outcome
from loomstand.admission.settings import DeduplicationScope, Effect
from loomstand.admission.tenant_limiter import TenantLimiter
from loomstand.admission.ticks import TICKS_PER_SECOND
from loomstand.failover.engine_view import Guide

# these prove it
NOT_RUN = {Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT}


class AdmissionControl(Actor):
    def __init__(self, loop: ActorLoop, keeper: CounterClient, guide: Guide | None) -> None:
        super().__init__(loop)
        self.keeper, self.accounts = keeper, dict[int, TenantLimiter]()
        self.by_tag: dict[int, TenantLimiter] = {}
        self.fleets = defaultdict(lambda: LoadBalancer(loop), {0: LoadBalancer(loop, guide)})
        self.jobs, self.tally = (
            dict[int, PendingRequest[TenantLimiter]](),
            EventCounts(5 * TICKS_PER_SECOND, loop.now),
        )

    def listed(self, note: EndpointsUpdated) -> None:
        parts: dict[int, list[Endpoint]] = {
            s: [] for s in self.fleets if note.complete or not note.endpoints
        }
        for entry in note.endpoints:
            parts.setdefault(entry.service, []).append(entry)
        for service, entries in parts.items():
            self.fleets[service].listed(entries, note.complete)

    def ruled(self, note: SettingsChanged) -> None:
        before, self.loop.settings = self.loop.settings, note.settings
        for fleet in self.fleets.values():
            fleet.ruled(before.limiter_count)
        for account in self.accounts.values():
            self.loop.post(account.ruled)

    def account(self, note: TenantEvent) -> TenantLimiter:
        if (account := self.accounts.get(note.tenant)) is None:
            account = TenantLimiter(
                self.loop, self.keeper, note, self.loop.settings.plan(note.plan)
            )
            self.accounts[note.tenant] = self.by_tag[note.tenant_digest] = account
        return account

    def told(self, note: TenantTotalUpdated) -> None:
        self.loop.post(self.account(note).told, note)

    def arrived(self, note: RequestArrived) -> None:
        account, s, plan = (
            self.account(note),
            self.loop.settings,
            self.loop.settings.plan(note.plan),
        )
        # one is looked at for each req; many fill a MB
        eldest = self.accounts.pop(next(iter(self.accounts)))
        if eldest is account or not eldest.idle(len(self.accounts) > 1000):
            self.accounts[eldest.customer] = eldest
        else:
            self.by_tag.pop(eldest.digest, None)
        row, left = self.fleets[note.service].rows[note.frontend], note.deadline - self.loop.now
        age = max(0, row.front.client_timeout - left) if note.is_retry else 0
        worth = row.front.value * (plan.value_factor if plan else 1.0) * note.units
        job = PendingRequest(
            note,
            account,
            self.loop.now + row.target - age,
            worth,
            row.front.attempt_limit or s.attempt_limit,
        )
        self.jobs[note.request_id] = job
        if left <= 0 or (age > row.target and row.front.late_value <= 0):
            self.loop.post(self.denied, job, 0, "too old")
        else:
            self.loop.post(account.ask, job, self.granted, self.denied)

    def denied(self, job: PendingRequest[TenantLimiter], wait: int, why: str) -> None:
        s = self.loop.settings
        wait = min(wait, s.max_retry_after) if s.sends_retry_after else 0
        self.answer(job, why, Reject(job.note.request_id, wait, why))

    def answer(self, job: PendingRequest[TenantLimiter], why: str, final: Action) -> None:
        self.note(why)
        job.done = True
        self.loop.actions.append(final)
        self.forget(job)

    def note(self, why: str) -> None:
        if said := self.tally.add(why, self.loop.now):
            windows = " ".join(f"{fleet.window:.1f}" for fleet in self.fleets.values())
            self.loop.actions.append(LogMessage(", ".join([*said, f"window {windows}"])))

    def forget(self, job: PendingRequest[TenantLimiter]) -> None:
        if (
            job.done
            and job.ended == len(job.sent)
            and self.jobs.pop(job.note.request_id, None)
            and job.sent
        ):
            self.loop.post(job.account.free)

    def granted(self, job: PendingRequest[TenantLimiter]) -> None:
        fleet = self.fleets[job.note.service]
        srv = fleet.pick(job) if fleet.room(job) else None
        if srv is None:
            self.loop.post(self.denied, job, 0, "servers full")
        else:
            self.note("sent")
            self.loop.post(job.account.taken, job.note.units)
            fleet.dispatch(job, srv)

    def ended(self, note: AttemptEnded) -> None:
        job = self.jobs.get(note.request_id)
        if job is None or not self.fleets[job.note.service].ended(job, note):
            return
        job.ended += 1
        if note.metered_use:
            self.loop.post(job.account.metered, note.metered_use - 1)
        if note.outcome not in NOT_RUN:
            job.maybe.append(note.attempt)
        job.turned, job.done = (
            job.turned or note.outcome is Outcome.REJECTED,
            job.done or note.is_final,
        )
        if job.done or job.ended < len(job.sent):
            self.forget(job)
        else:
            self.again(job)

    def again(self, job: PendingRequest[TenantLimiter]) -> None:
        """Another dispatch where it is allowed and can still be in time, else the final answer at
        once.
        """
        fleet, now = self.fleets[job.note.service], self.loop.now
        row = fleet.rows[job.note.frontend]
        late = now + row.times.quantile(0.25, 0) > job.target and row.front.late_value <= 0
        if (
            not late
            and now < job.note.deadline
            and len(job.sent) < job.tries
            and (srv := fleet.again(job))
        ):
            fleet.dispatch(job, srv)
            return
        anywhere = (
            row.front.effect is Effect.DEDUPLICATED
            and row.front.deduplication_scope is DeduplicationScope.ALL
        )
        if not job.maybe or row.front.effect is Effect.IDEMPOTENT or anywhere:
            self.denied(job, 0, "given up")
        else:
            self.answer(job, "aborted", Abort(job.note.request_id))

    def vanished(self, note: ClientDisconnected) -> None:
        if job := self.jobs.get(note.request_id):
            job.done = True
            self.forget(job)

    def woke(self, note: TimerFired) -> None:
        if account := self.by_tag.get(note.tag):
            self.loop.post(account.read)
