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

from loomstand.admission import interface as api
from loomstand.testing.emulator.traffic import refill

if TYPE_CHECKING:
    from loomstand.testing.emulator.fleet import Fleet

OC = api.Outcome
NOT_RUN = (OC.TURNED_AWAY, OC.NO_CONNECTION, OC.NOT_SENT, OC.CALLED_OFF)


class Naive:
    """quota/N at each limiter; one dispatch to a live server chosen by chance."""

    def __init__(self, fleet: Fleet, me: int, settings: api.EngineSettings, seed: int) -> None:
        self.s, self.rng = settings, Random(seed)
        self.share = 1 / max(1, settings.limiters)
        self.buckets: dict[int, list[float]] = {}
        self.live: list[int] = []
        self.known: dict[int, api.EndpointState] = {}
        self.fronts: dict[int, int] = {}  # req to frontend, while a dispatch is out

    def handle(self, now: int, note: api.Event) -> list[api.Action]:
        match note:
            case api.EndpointsUpdated():
                if note.whole:
                    self.known = {}
                for e in note.entries:
                    self.known[e.srv] = e.phase
                self.live = sorted(
                    srv for srv, phase in self.known.items() if phase is api.EndpointState.LIVE
                )
            case api.RequestArrived():
                if not 0 <= note.plan < len(self.s.plans) or not self.live:
                    return [api.Reject(note.req)]
                plan = self.s.plans[note.plan]
                depth = max(1.0, plan.burst * self.share)
                held = self.buckets.setdefault(note.customer, [depth, now])
                if (
                    refill(held, plan.rate * self.share, depth, now, api.TICKS_PER_SECOND)
                    < note.units
                ):
                    return [api.Reject(note.req)]
                held[0] -= note.units
                srv = self.live[self.rng.randrange(len(self.live))]
                self.fronts[note.req] = note.frontend
                return [api.SendAttempt(note.req, srv, note.give_up)]
            case api.ClientDisconnected():
                self.fronts.pop(note.req, None)
            case api.AttemptEnded() if note.req in self.fronts:
                front = self.s.frontends[self.fronts.pop(note.req)]
                if note.final:
                    return []
                if note.outcome in NOT_RUN or front.effect is api.Effect.REPLAYABLE:
                    return [api.Reject(note.req)]
                return [api.Abort(note.req)]
        return []


class Oracle:
    """The true state at once; see the module's docstring."""

    def __init__(self, fleet: Fleet, me: int, settings: api.EngineSettings, seed: int) -> None:
        self.fleet, self.s, self.me = fleet, settings, me
        # note, servers tried, may have run
        self.jobs: dict[int, tuple[api.RequestArrived, list[int], bool]] = {}

    def handle(self, now: int, note: api.Event) -> list[api.Action]:
        match note:
            case api.RequestArrived():
                if not 0 <= note.plan < len(self.s.plans):
                    return [api.Reject(note.req)]
                plan = self.s.plans[note.plan]
                held = self.fleet.oracle_buckets.setdefault(note.customer, [plan.burst, now])
                refill(held, plan.rate, plan.burst, now, api.TICKS_PER_SECOND)
                cap = None
                # the ceiling's one bucket over all limiters, without its slack
                if plan.ceiling_rate:
                    depth = plan.ceiling_depth or plan.ceiling_rate
                    cap = self.fleet.oracle_ceilings.setdefault(note.customer, [depth, now])
                    refill(cap, plan.ceiling_rate, depth, now, api.TICKS_PER_SECOND)
                if held[0] < note.units or (cap is not None and cap[0] < note.units):
                    return [api.Reject(note.req)]
                srv = self.pick(note, ())
                if srv is None:
                    return [api.Reject(note.req)]
                held[0] -= note.units
                if cap is not None:
                    cap[0] -= note.units
                self.jobs[note.req] = (note, [srv], False)
                return [api.SendAttempt(note.req, srv, note.give_up)]
            case api.AttemptEnded():
                job = self.jobs.pop(note.req, None)
                if job is None or note.final:
                    return []
                arrived, tried, ran = job
                ran = ran or note.outcome not in NOT_RUN
                effect = self.s.frontends[arrived.frontend].effect
                again = effect is api.Effect.REPLAYABLE or not ran
                if again and len(tried) < self.s.try_limit and now < arrived.give_up:
                    srv = self.pick(arrived, tried)
                    if srv is not None:
                        self.jobs[note.req] = (arrived, [*tried, srv], ran)
                        return [api.SendAttempt(note.req, srv, arrived.give_up)]
                return [
                    api.Abort(note.req)
                    if ran and effect is not api.Effect.REPLAYABLE
                    else api.Reject(note.req)
                ]
            case api.ClientDisconnected():
                self.jobs.pop(note.req, None)
        return []

    def pick(self, note: api.RequestArrived, tried: tuple[int, ...] | list[int]) -> int | None:
        fleet, zone = self.fleet, self.fleet.limiters[self.me].zone
        best, least = None, 0.0
        for srv in fleet.servers:
            if not srv.up or srv.phase is not api.EndpointState.LIVE or srv.srv in tried:
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
