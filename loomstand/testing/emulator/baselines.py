"""Policies to hold the module against, with the module's call `handle(now, note) -> actions`.

`naive`: each limiter keeps every customer to quota/N with a bucket of its own (burst/N, at least
one unit), sends to a listed live server by chance, never tries again, and asks nobody. It is what a
limiter does that knows only how many limiters there are.

`oracle`: sees the true global state at once: each customer's one bucket over all limiters, and
every server's load, warmth and health as the model holds them. It sends to the least loaded server
that can take the req now, keeps cold servers under what they bear, and tries again where the req
may run again. An upper mark, not a policy that could be deployed: G/oracle is the module's figure
in a lab report.

Both keep the rules by construction except where their blindness breaks them (naive and cold
servers), which the checker then names.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from loomstand.admission.actions import Abort, Action, Reject, SendAttempt
from loomstand.admission.endpoints import EndpointState
from loomstand.admission.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointsUpdated,
    Event,
    RequestArrived,
)
from loomstand.admission.outcome import Outcome
from loomstand.admission.settings import Effect, EngineSettings
from loomstand.admission.ticks import TICKS_PER_SECOND
from loomstand.testing.emulator.traffic import refill

if TYPE_CHECKING:
    from loomstand.testing.emulator.fleet import Fleet

OC = Outcome
NOT_RUN = (OC.REJECTED, OC.CONNECT_FAILED, OC.NOT_SENT, OC.CANCELLED)


class Naive:
    """quota/N at each limiter; one dispatch to a live server chosen by chance."""

    def __init__(self, fleet: Fleet, me: int, settings: EngineSettings, seed: int) -> None:
        self.s, self.rng = settings, Random(seed)
        self.share = 1 / max(1, settings.limiter_count)
        self.buckets: dict[int, list[float]] = {}
        self.live: list[int] = []
        self.known: dict[int, EndpointState] = {}
        self.fronts: dict[int, int] = {}  # req to frontend, while a dispatch is out

    def handle(self, now: int, note: Event) -> list[Action]:
        match note:
            case EndpointsUpdated():
                if note.complete:
                    self.known = {}
                for e in note.endpoints:
                    self.known[e.endpoint_id] = e.state
                self.live = sorted(
                    srv for srv, phase in self.known.items() if phase is EndpointState.LIVE
                )
            case RequestArrived():
                if not 0 <= note.plan < len(self.s.plans) or not self.live:
                    return [Reject(note.request_id)]
                plan = self.s.plans[note.plan]
                depth = max(1.0, plan.burst * self.share)
                held = self.buckets.setdefault(note.tenant, [depth, now])
                if refill(held, plan.rate * self.share, depth, now, TICKS_PER_SECOND) < note.units:
                    return [Reject(note.request_id)]
                held[0] -= note.units
                srv = self.live[self.rng.randrange(len(self.live))]
                self.fronts[note.request_id] = note.frontend
                return [SendAttempt(note.request_id, srv, note.deadline)]
            case ClientDisconnected():
                self.fronts.pop(note.request_id, None)
            case AttemptEnded() if note.request_id in self.fronts:
                front = self.s.frontends[self.fronts.pop(note.request_id)]
                if note.is_final:
                    return []
                if note.outcome in NOT_RUN or front.effect is Effect.IDEMPOTENT:
                    return [Reject(note.request_id)]
                return [Abort(note.request_id)]
        return []


class Oracle:
    """The true state at once; see the module's docstring."""

    def __init__(self, fleet: Fleet, me: int, settings: EngineSettings, seed: int) -> None:
        self.fleet, self.s, self.me = fleet, settings, me
        # note, servers tried, may have run
        self.jobs: dict[int, tuple[RequestArrived, list[int], bool]] = {}

    def handle(self, now: int, note: Event) -> list[Action]:
        match note:
            case RequestArrived():
                if not 0 <= note.plan < len(self.s.plans):
                    return [Reject(note.request_id)]
                plan = self.s.plans[note.plan]
                held = self.fleet.oracle_buckets.setdefault(note.tenant, [plan.burst, now])
                refill(held, plan.rate, plan.burst, now, TICKS_PER_SECOND)
                cap = None
                # the ceiling's one bucket over all limiters, without its slack
                if plan.rate_limit:
                    depth = plan.rate_limit_burst or plan.rate_limit
                    cap = self.fleet.oracle_ceilings.setdefault(note.tenant, [depth, now])
                    refill(cap, plan.rate_limit, depth, now, TICKS_PER_SECOND)
                if held[0] < note.units or (cap is not None and cap[0] < note.units):
                    return [Reject(note.request_id)]
                srv = self.pick(note, ())
                if srv is None:
                    return [Reject(note.request_id)]
                held[0] -= note.units
                if cap is not None:
                    cap[0] -= note.units
                self.jobs[note.request_id] = (note, [srv], False)
                return [SendAttempt(note.request_id, srv, note.deadline)]
            case AttemptEnded():
                job = self.jobs.pop(note.request_id, None)
                if job is None or note.is_final:
                    return []
                arrived, tried, ran = job
                ran = ran or note.outcome not in NOT_RUN
                effect = self.s.frontends[arrived.frontend].effect
                again = effect is Effect.IDEMPOTENT or not ran
                if again and len(tried) < self.s.attempt_limit and now < arrived.deadline:
                    srv = self.pick(arrived, tried)
                    if srv is not None:
                        self.jobs[note.request_id] = (arrived, [*tried, srv], ran)
                        return [SendAttempt(note.request_id, srv, arrived.deadline)]
                return [
                    Abort(note.request_id)
                    if ran and effect is not Effect.IDEMPOTENT
                    else Reject(note.request_id)
                ]
            case ClientDisconnected():
                self.jobs.pop(note.request_id, None)
        return []

    def pick(self, note: RequestArrived, tried: tuple[int, ...] | list[int]) -> int | None:
        fleet, zone = self.fleet, self.fleet.limiters[self.me].zone
        best, least = None, 0.0
        for srv in fleet.servers:
            if not srv.up or srv.phase is not EndpointState.LIVE or srv.srv in tried:
                continue
            if srv.zone != zone and (srv.zone in fleet.cut or zone in fleet.cut):
                continue
            if fleet.engine.now < srv.failing_until:
                continue
            room = srv.room()
            if srv.hand() >= room + fleet.scenario.fleet.queue // 2:
                continue
            warmth = srv.warmth()
            if warmth < 1.0 and len(srv.recent) + 1 > 0.8 * srv.bears(warmth):
                continue
            load = (srv.hand() + 1) / room * srv.slow
            if best is None or load < least:
                best, least = srv.srv, load
        return best


POLICIES = {"naive": Naive, "oracle": Oracle}
