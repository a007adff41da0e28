"""What the module is told: routes as frontends, tenants as plans. Pure; indices are for life."""

from __future__ import annotations

from dataclasses import dataclass

from loomstand.admission.identifiers import NameIndex, stable_digest
from loomstand.admission.settings import (
    DeduplicationScope,
    Effect,
    EngineSettings,
    Frontend,
    QuotaPlan,
)
from loomstand.admission.ticks import ticks_rounded_down
from loomstand.config.configuration import Configuration, Route, Tenant
from loomstand.config.settings import RuleBounds
from loomstand.registry.quota_grants import ALONE

# Late answers have a worth that the configuration doesn't tell: a tenth and three tenths at the
# sites known.
LATE = 0.15
# A total is trusted for a customer well under its quota for so many intervals. Use beyond the quota
# breaks a rule here, so the last split takes over as soon as one total is missing.
TRUST = 1.5
# Of the retry budget (ratio and slack a window, for each service and all limiters) each limiter
# takes this share of the ratio for what it sends itself, and its even part of this share of the
# slack, at once.
RATIO_SHARE, SLACK_SHARE = 0.6, 0.6
# A limiter that starts may have spent its part of the burst just before: it has half of it, so that
# six in ten limiters that are killed at once and come back stay within the overshoot, and all of
# them serve what waits.
FRESH = 0.5
# A limiter's window is its part of what its service's servers hold, some three; two more come by
# chance while the servers are idle.
CHANCE = 2.0
# What a server of another zone costs beside one of the own, and the own zone's share among the
# servers that a limiter uses: bytes between zones are the dearest price. Tried on the bureaus'
# grown quiet day: 1.4 and none of its own: 0.058 of the worth paid for them, 0.981 in time; 2.0 and
# 0.8: 0.016, 0.985; 2.5 and 0.5: 0.022, 0.984. Under high load zones differ, and 2.0 and 0.8 leave
# the busiest one to its own servers: grown scale-1 0.898 and the outlet's scale-2 0.798; 0.900 and
# 0.813 with 0.67; 0.907 and 0.816 with these.
FAR = 2.5
HOMES = 0.5
COUNT_WITHIN = 300  # ms for a call to the counter: its turn and back is under 5 where it is there
NOBODY = "\0public"  # whose requests of public routes are


@dataclass(slots=True, frozen=True)
class Fleet:
    """The limiters, as registries tell: this one's place, how many there are, how many of them are
    silent.
    """

    me: int = 0
    all: int = 1
    silent: int = 0


class PolicyCompiler:
    """LimiterTable out the module's indices, and makes its settings."""

    def __init__(self, bounds: RuleBounds, zones: list[str], zone: str) -> None:
        self.bounds = bounds
        self.zones, self.services, self.tenants = NameIndex(zones), NameIndex(), NameIndex([NOBODY])
        self.hall = self.zones.index_of(zone)
        self.fronts: dict[Frontend, int] = {}
        self.digests = {0: stable_digest(NOBODY)}
        self.by_digest: dict[int, int] = {}  # tenants under a quota
        self.by_route: dict[str, int] = {}
        self.quotas: dict[int, Tenant] = {}

    def learn(self, configuration: Configuration) -> None:
        """A new configuration is in force."""
        self.by_route = {}
        for route in configuration.routes:
            front = frontend(route)
            self.by_route[route.name] = self.fronts.setdefault(front, len(self.fronts))
            for service, _ in route.traffic_split:
                self.services.index_of(service)
        self.quotas = {}
        for tenant in configuration.tenants or ():
            n = self.tenants.index_of(tenant.name)
            self.quotas[n] = tenant
            self.digests[n] = stable_digest(tenant.name)
            self.by_digest[self.digests[n]] = n

    def settings(self, fleet: Fleet, shift: int = 0) -> EngineSettings:
        """The module's settings, as a snapshot; `shift` of its clock to the one that all count
        by.
        """
        scale = 1 - ALONE * fleet.silent / fleet.all
        plans = []
        for n in range(self.tenants.next_index):
            tenant = self.quotas.get(n)
            rate = tenant.rate_per_second * scale if tenant else 0.0
            burst = (
                max(tenant.burst_size * scale, 1.0) if tenant and tenant.rate_per_second else 0.0
            )
            # use beyond the quota is worth nothing and breaks a rule
            plans.append(QuotaPlan(rate, burst, 0, value_of(tenant), 0.0, 1.0, 0.0, 0.0, 0.0))
        b = self.bounds
        return EngineSettings(
            limiter_index=fleet.me,
            limiter_count=fleet.all,
            zone=self.hall,
            frontends=tuple(self.fronts),
            plans=tuple(plans),
            attempt_limit=16,
            can_cancel_attempts=False,
            can_check_health=False,
            can_hedge=False,
            sends_retry_after=True,
            max_retry_after=10_000_000,
            has_counter=True,
            counter_timeout=COUNT_WITHIN * 10,
            metering_period=10_000,
            max_request_units=1,
            drain_grace_period=0,
            slow_start_period=0,
            slow_start_initial_capacity=1.0,
            overload_multiple=0.0,
            overload_period=0,
            response_slack=0,
            total_trust_intervals=TRUST,
            initial_burst_share=FRESH,
            retry_budget_ratio=RATIO_SHARE * b.retry_budget_ratio,
            retry_budget_max=max(1.0, SLACK_SHARE * b.budget_slack / fleet.all),
            retry_budget_initial=1.0,
            rejected_retry_cost=1.0,
            unsent_retry_cost=0.0,
            window_follows_endpoints=True,
            window_headroom=CHANCE,
            retries_until_deadline=True,
            remote_zone_cost=FAR,
            local_zone_share=HOMES,
            clock_offset=shift,
        )


def frontend(route: Route) -> Frontend:
    """A route as the module sees it; routes that differ only in name and place are one."""
    effect = Effect.IDEMPOTENT if route.idempotent else Effect.NON_IDEMPOTENT
    target, timeout = (
        ticks_rounded_down(route.target_latency_seconds * 1000),
        ticks_rounded_down(route.timeout_seconds * 1000),
    )
    value = 2.0 ** (2 - min(8, route.priority))
    return Frontend(
        effect,
        DeduplicationScope.ALL,
        0,
        target,
        timeout,
        value,
        LATE * value,
        False,
        attempt_limit=route.max_attempts,
    )


def value_of(tenant: Tenant | None) -> float:
    """How much more a tenant's requests count: its priority goes first, but tells little of
    worth.
    """
    return 1.0 if tenant is None else 1.1 ** (2 - min(8, tenant.priority))
