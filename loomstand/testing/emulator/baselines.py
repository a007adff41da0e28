"""Baseline policies for comparison with the decision engine, with its interface `handle`.

`naive`: each limiter limits every customer to quota/N with its own bucket (burst/N, at least one
unit) and sends each request once, to a random server listed as live. Besides the endpoint list, it
knows only the number N of limiters.

`oracle`: uses the true global state without delay: one bucket per customer over all limiters, and
the load, slow start and health of every server. It sends to the least loaded server with capacity
for the request, keeps cold servers below their overload threshold and retries requests that may run
again. It is an upper bound that can't be deployed; G/oracle in a report is the ratio of a policy's
goodput G to that of the oracle.

Both keep the rules of the checker by design, except that naive ignores slow start and may overload
cold servers; the checker reports this.
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

NOT_RUN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.CANCELLED)
# the oracle loads a cold server up to this share of its overload threshold
SLOW_START_LIMIT = 0.8


class Naive:
    """Static quota/N per limiter and one attempt at a random live server."""

    def __init__(
        self, fleet: Fleet, limiter_index: int, settings: EngineSettings, seed: int
    ) -> None:
        self.settings, self.rng = settings, Random(seed)
        self.share = 1 / max(1, settings.limiter_count)
        self.buckets: dict[int, list[float]] = {}  # [level, time] by customer
        self.live: list[int] = []  # servers listed as live
        self.states: dict[int, EndpointState] = {}
        self.frontends: dict[int, int] = {}  # frontend by request, while its attempt is in flight

    def handle(self, now: int, event: Event) -> list[Action]:
        """Returns the actions for an event."""
        match event:
            case EndpointsUpdated():
                if event.complete:
                    self.states = {}
                for e in event.endpoints:
                    self.states[e.endpoint_id] = e.state
                self.live = sorted(
                    srv for srv, state in self.states.items() if state is EndpointState.LIVE
                )
            case RequestArrived():
                if not 0 <= event.plan < len(self.settings.plans) or not self.live:
                    return [Reject(event.request_id)]
                plan = self.settings.plans[event.plan]
                depth = max(1.0, plan.burst * self.share)
                bucket = self.buckets.setdefault(event.tenant, [depth, now])
                if (
                    refill(bucket, plan.rate * self.share, depth, now, TICKS_PER_SECOND)
                    < event.units
                ):
                    return [Reject(event.request_id)]
                bucket[0] -= event.units
                srv = self.live[self.rng.randrange(len(self.live))]
                self.frontends[event.request_id] = event.frontend
                return [SendAttempt(event.request_id, srv, event.deadline)]
            case ClientDisconnected():
                self.frontends.pop(event.request_id, None)
            case AttemptEnded() if event.request_id in self.frontends:
                frontend = self.settings.frontends[self.frontends.pop(event.request_id)]
                if event.is_final:
                    return []
                if event.outcome in NOT_RUN or frontend.effect is Effect.IDEMPOTENT:
                    return [Reject(event.request_id)]
                return [Abort(event.request_id)]
        return []


class Oracle:
    """Decides with the true global state, without delay (see the module docstring)."""

    def __init__(
        self, fleet: Fleet, limiter_index: int, settings: EngineSettings, seed: int
    ) -> None:
        self.fleet, self.settings, self.limiter_index = fleet, settings, limiter_index
        # (arrival, servers tried, whether it may have run) by request
        self.jobs: dict[int, tuple[RequestArrived, list[int], bool]] = {}

    def handle(self, now: int, event: Event) -> list[Action]:
        """Returns the actions for an event."""
        match event:
            case RequestArrived():
                if not 0 <= event.plan < len(self.settings.plans):
                    return [Reject(event.request_id)]
                plan = self.settings.plans[event.plan]
                bucket = self.fleet.oracle_buckets.setdefault(event.tenant, [plan.burst, now])
                refill(bucket, plan.rate, plan.burst, now, TICKS_PER_SECOND)
                ceiling_bucket = None
                # the global bucket of the ceiling, without its slack
                if plan.rate_limit:
                    depth = plan.rate_limit_burst or plan.rate_limit
                    ceiling_bucket = self.fleet.oracle_ceilings.setdefault(
                        event.tenant, [depth, now]
                    )
                    refill(ceiling_bucket, plan.rate_limit, depth, now, TICKS_PER_SECOND)
                if bucket[0] < event.units or (
                    ceiling_bucket is not None and ceiling_bucket[0] < event.units
                ):
                    return [Reject(event.request_id)]
                srv = self.pick(event, ())
                if srv is None:
                    return [Reject(event.request_id)]
                bucket[0] -= event.units
                if ceiling_bucket is not None:
                    ceiling_bucket[0] -= event.units
                self.jobs[event.request_id] = (event, [srv], False)
                return [SendAttempt(event.request_id, srv, event.deadline)]
            case AttemptEnded():
                job = self.jobs.pop(event.request_id, None)
                if job is None or event.is_final:
                    return []
                arrived, tried, may_have_run = job
                may_have_run = may_have_run or event.outcome not in NOT_RUN
                effect = self.settings.frontends[arrived.frontend].effect
                may_retry = effect is Effect.IDEMPOTENT or not may_have_run
                if (
                    may_retry
                    and len(tried) < self.settings.attempt_limit
                    and now < arrived.deadline
                ):
                    srv = self.pick(arrived, tried)
                    if srv is not None:
                        self.jobs[event.request_id] = (arrived, [*tried, srv], may_have_run)
                        return [SendAttempt(event.request_id, srv, arrived.deadline)]
                return [
                    Abort(event.request_id)
                    if may_have_run and effect is not Effect.IDEMPOTENT
                    else Reject(event.request_id)
                ]
            case ClientDisconnected():
                self.jobs.pop(event.request_id, None)
        return []

    def pick(self, event: RequestArrived, tried: tuple[int, ...] | list[int]) -> int | None:
        """Returns the least loaded server that can accept the request; None if there is none."""
        fleet, zone = self.fleet, self.fleet.limiters[self.limiter_index].zone
        best, least = None, 0.0
        for srv in fleet.servers:
            if not srv.up or srv.state is not EndpointState.LIVE or srv.index in tried:
                continue
            if srv.zone != zone and (srv.zone in fleet.cut_zones or zone in fleet.cut_zones):
                continue
            if fleet.engine.now < srv.failing_until:
                continue
            concurrency = srv.concurrency()
            if srv.requests_held() >= concurrency + fleet.scenario.fleet.queue // 2:
                continue
            warmth = srv.warmth()
            if warmth < 1.0 and len(
                srv.recent_arrivals
            ) + 1 > SLOW_START_LIMIT * srv.overload_threshold(warmth):
                continue
            load = (srv.requests_held() + 1) / concurrency * srv.slowdown
            if best is None or load < least:
                best, least = srv.index, load
        return best


BASELINES = {"naive": Naive, "oracle": Oracle}
