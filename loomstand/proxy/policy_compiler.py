"""Compiles the configuration into settings of the decision engine.

Routes are compiled to request classes (frontends), and tenants to quota plans. Pure: no I/O and no
clock. Indices remain valid until the process ends.
"""

from __future__ import annotations

from loomstand.admission.identifiers import NameIndex, stable_digest
from loomstand.admission.settings import (
    DeduplicationScope,
    Effect,
    EngineSettings,
    Frontend,
    QuotaPlan,
)
from loomstand.admission.ticks import TICKS_PER_MILLISECOND, ticks_rounded_down
from loomstand.config.configuration import Configuration, Route, Tenant
from loomstand.config.settings import RuleBounds
from loomstand.registry.quota_grants import ISOLATED_SHARE
from loomstand.rpc.messages.session_messages import LimiterSetRow

# Value of a late response relative to one in time. The configuration doesn't state it; known sites
# use 0.1 and 0.3.
LATE_VALUE_SHARE = 0.15
# Quota intervals for which a counter total remains valid for a tenant well below its quota. Use
# beyond the quota violates a rule, so as soon as one total is missing, a limiter admits at most its
# part of the last split of the quota, and at most an even part.
TOTAL_TRUST_INTERVALS = 1.5
# The retry budget is a ratio and a slack per window, for each service and all limiters together.
# Each limiter uses the first share of the ratio for the requests that it sends itself, and an even
# part of the second share of the slack, available in full from the start.
RETRY_RATIO_SHARE = 0.6
RETRY_SLACK_SHARE = 0.6
# A limiter may have used its part of the burst just before a restart, so it starts with half of it.
# If 60% of the limiters are killed and restarted at once, the total stays within the permitted
# overshoot, and all of them can serve the waiting requests.
INITIAL_BURST_SHARE = 0.5
# Requests in flight allowed beyond a limiter's concurrency window, which is its part of the
# concurrency of its service's servers, about 3 requests. Even while the servers are idle, 2 more
# requests can arrive by chance.
WINDOW_HEADROOM = 2.0
# Cost of a server in another zone relative to one in the local zone, and the local zone's share of
# the servers that a limiter uses. Traffic between zones is the most expensive resource: a low cost
# without a local share increases it. Under high load, which differs by zone, a high local share
# restricts the busiest zone to its own servers.
REMOTE_ZONE_COST = 2.5
LOCAL_ZONE_SHARE = 0.5
COUNTER_TIMEOUT_MS = 300  # calls to a reachable counting registry take less than 5 ms
ATTEMPT_LIMIT = 16  # maximum attempts of a request; routes set lower limits
MAX_RETRY_AFTER_TICKS = 10_000_000
METERING_PERIOD_TICKS = 10_000
PUBLIC_TENANT = "\0public"  # stands for the clients of public routes
PUBLIC_PLAN = 0
# Priorities are negative exponents of value: 0 is the highest, and all beyond this one are equal.
LOWEST_PRIORITY = 8
NEUTRAL_PRIORITY = 2  # corresponds to a value of 1
ROUTE_PRIORITY_BASE = 2.0
# Lower than that of routes: a tenant's priority takes precedence over the route's, but says little
# about the value of a request.
TENANT_PRIORITY_BASE = 1.1


class PolicyCompiler:
    """Assigns the decision engine's indices and builds its settings.

    Attributes:
        bounds: Bounds of the rules from the settings file, such as the retry budget.
        zones: Indices of the zones.
        services: Indices of the services.
        tenants: Indices of the tenants, which are also those of their plans.
        own_zone: Index of this proxy's zone.
        frontends: Indices of the request classes.
        digests: Digests of tenant names, by tenant index.
        plan_by_digest: Plan indices of all tenants configured so far, by digest.
        frontend_by_route: Request class indices of the configured routes, by route name.
        configured_tenants: The configured tenants, by index.
    """

    def __init__(self, bounds: RuleBounds, zones: list[str], own_zone: str) -> None:
        self.bounds = bounds
        self.zones = NameIndex(zones)
        self.services = NameIndex()
        self.tenants = NameIndex([PUBLIC_TENANT])
        self.own_zone = self.zones.index_of(own_zone)
        self.frontends: dict[Frontend, int] = {}
        self.digests = {PUBLIC_PLAN: stable_digest(PUBLIC_TENANT)}
        self.plan_by_digest: dict[int, int] = {}
        self.frontend_by_route: dict[str, int] = {}
        self.configured_tenants: dict[int, Tenant] = {}

    def update(self, configuration: Configuration) -> None:
        """Assigns indices for the routes and tenants of a new configuration."""
        self.frontend_by_route = {}
        for route in configuration.routes:
            frontend = frontend_of(route)
            index = self.frontends.setdefault(frontend, len(self.frontends))
            self.frontend_by_route[route.name] = index
            for service, _ in route.traffic_split:
                self.services.index_of(service)
        self.configured_tenants = {}
        for tenant in configuration.tenants or ():
            index = self.tenants.index_of(tenant.name)
            self.configured_tenants[index] = tenant
            self.digests[index] = stable_digest(tenant.name)
            self.plan_by_digest[self.digests[index]] = index

    def engine_settings(self, limiters: LimiterSetRow, clock_offset: int = 0) -> EngineSettings:
        """Returns the engine's settings; `clock_offset` is shared minus local clock in ticks."""
        return EngineSettings(
            limiter_index=limiters.rank,
            limiter_count=limiters.total,
            zone=self.own_zone,
            frontends=tuple(self.frontends),
            plans=self._plans(limiters),
            attempt_limit=ATTEMPT_LIMIT,
            can_cancel_attempts=True,
            can_check_health=False,
            can_hedge=False,
            sends_retry_after=True,
            max_retry_after=MAX_RETRY_AFTER_TICKS,
            has_counter=True,
            counter_timeout=COUNTER_TIMEOUT_MS * TICKS_PER_MILLISECOND,
            metering_period=METERING_PERIOD_TICKS,
            max_request_units=1,
            drain_grace_period=0,
            slow_start_period=0,
            slow_start_initial_capacity=1.0,
            overload_multiple=0.0,
            overload_period=0,
            response_slack=0,
            total_trust_intervals=TOTAL_TRUST_INTERVALS,
            initial_burst_share=INITIAL_BURST_SHARE,
            retry_budget_ratio=RETRY_RATIO_SHARE * self.bounds.retry_budget_ratio,
            retry_budget_max=self._retry_budget_max(limiters.total),
            retry_budget_initial=1.0,
            rejected_retry_cost=1.0,
            unsent_retry_cost=0.0,
            window_follows_endpoints=True,
            cancels_abandoned_attempts=True,
            window_headroom=WINDOW_HEADROOM,
            retries_until_deadline=True,
            remote_zone_cost=REMOTE_ZONE_COST,
            local_zone_share=LOCAL_ZONE_SHARE,
            clock_offset=clock_offset,
        )

    def _retry_budget_max(self, limiter_count: int) -> float:
        """Returns this proxy's part of the retries permitted beyond the ratio for all proxies."""
        return max(1.0, RETRY_SLACK_SHARE * self.bounds.budget_slack / limiter_count)

    def _plans(self, limiters: LimiterSetRow) -> tuple[QuotaPlan, ...]:
        """Returns the plans by index.

        The quotas are reduced by the part that silent limiters may admit while they are isolated.
        """
        scale = 1 - ISOLATED_SHARE * limiters.silent / limiters.total
        return tuple(
            quota_plan(self.configured_tenants.get(index), scale)
            for index in range(self.tenants.next_index)
        )


def quota_plan(tenant: Tenant | None, scale: float) -> QuotaPlan:
    """Returns a tenant's plan with its quota times `scale`; excess use has no value."""
    rate = tenant.rate_per_second * scale if tenant else 0.0
    burst = 0.0
    if tenant and tenant.rate_per_second:
        burst = max(tenant.burst_size * scale, 1.0)
    return QuotaPlan(
        rate=rate,
        burst=burst,
        concurrency_limit=0,
        value_factor=tenant_value(tenant),
        excess_value=0.0,
        excess_cost=1.0,
        rate_limit=0.0,
        rate_limit_burst=0.0,
        rate_limit_slack=0.0,
    )


def frontend_of(route: Route) -> Frontend:
    """Returns a route's request class; routes that differ only in name or match share one."""
    value = ROUTE_PRIORITY_BASE ** (NEUTRAL_PRIORITY - min(LOWEST_PRIORITY, route.priority))
    return Frontend(
        effect=Effect.IDEMPOTENT if route.idempotent else Effect.NON_IDEMPOTENT,
        deduplication_scope=DeduplicationScope.ALL,
        deduplication_window=0,
        latency_target=ticks_rounded_down(route.target_latency_seconds * 1000),
        client_timeout=ticks_rounded_down(route.timeout_seconds * 1000),
        value=value,
        late_value=LATE_VALUE_SHARE * value,
        is_streaming=False,
        attempt_limit=route.max_attempts,
    )


def tenant_value(tenant: Tenant | None) -> float:
    """Returns the value factor of a tenant's requests, derived from its priority."""
    if tenant is None:
        return 1.0
    return TENANT_PRIORITY_BASE ** (NEUTRAL_PRIORITY - min(LOWEST_PRIORITY, tenant.priority))
