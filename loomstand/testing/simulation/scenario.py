"""A random day of a simulated cluster: tenants at or above their quotas, concurrent faults, and the
history of the observations.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from random import Random
from typing import Any

from loomstand.config.settings import RuleBounds
from loomstand.testing.simulation.bounds import Arrival, ConfigurationChange, History
from loomstand.testing.simulation.cluster import Cluster
from loomstand.testing.simulation.faults import (
    CORE_FAULTS,
    DENSE_DAY_FAULTS,
    LIMITER_FAULTS,
    SERVER_FAULTS,
    Faults,
)

OBSERVATION_PERIOD_SECONDS = 0.01  # of the serving primary and the counting registries
# Time without faults at the end of a day: longer than every bound, so that a change that isn't in
# force by then is late.
FINAL_CALM_SECONDS = 6.0
# Durations of faults: from hardly noticeable to the usual 10 s of a partition.
FAULT_SECONDS = (0.3, 1.0, 2.0, 4.0, 10.0)
# Rates in requests a second, and ratios of the burst in requests to the rate. One of 12 limiters
# gets 0.1 to 4 requests a second of a tenant, so that small and large shares of a quota occur.
TENANT_RATES, BURST_TO_RATE = (1.0, 4.0, 12.0, 30.0, 50.0), (0.5, 1.0, 2.0)
HOT_LOAD_FACTOR = 8.0  # factor on the request rate of a tenant while it is hot


@dataclass(slots=True, frozen=True)
class Setup:
    """The size of a day."""

    limiters: int = 12
    cores: int = 0  # core machines; with 0, 3 or 4 are drawn
    length: float = 36.0  # seconds with faults
    servers: int = 5  # servers per service
    quotas: float = 1.0  # factor on the rates of tenants
    # faults follow within seconds and overlap, with up to two hot tenants and frequent changes
    dense: bool = False


@dataclass(slots=True)
class Load:
    """The load of a tenant; rates are in requests a second."""

    name: str
    rate: float  # initial quota
    normal_rate: float  # rate at which its clients send while it isn't hot
    key: str = ""  # API key of its clients
    hot: bool = False  # whether its clients send at a multiple of the normal rate


class Day:
    """A simulated day; deterministic for a seed and setup."""

    def __init__(self, seed: int, setup: Setup | None = None) -> None:
        rng = self.rng = Random(seed)
        self.setup = setup or Setup()
        cores = self.setup.cores or rng.choice((3, 3, 4))
        self.cluster = Cluster(rng.getrandbits(32), cores, self.setup.limiters, self.setup.servers)
        self.history = History([*self.cluster.proxies])
        self.faults = Faults(self.cluster, Random(rng.getrandbits(32)), self.history, FAULT_SECONDS)
        rates = [rate * self.setup.quotas for rate in TENANT_RATES]
        self.loads = [
            Load(f"t{n}", rate, rate * rng.uniform(0.8, 1.4)) for n, rate in enumerate(rates)
        ]
        self.cluster.use_default_configuration()
        for load in self.loads:
            self.draw_key(load)
            self.cluster.tenant(
                load.name, load.key, load.rate, round(load.rate * rng.choice(BURST_TO_RATE))
            )

    def simulate(self) -> tuple[History, RuleBounds]:
        """Simulates the day, once; returns its history and the bounds that apply to it."""
        try:
            self.cluster.run(self.run_day())
            return self.collect_history(), self.cluster.settings(self.cluster.core_ips[0]).bounds
        finally:
            self.cluster.loop.close()

    def draw_key(self, load: Load) -> None:
        """Draws a new API key for the tenant of a load."""
        load.key = f"key-{load.name}-{self.rng.getrandbits(32):08x}"

    async def run_day(self) -> None:
        """Starts the cluster, runs all activities concurrently, then a calm phase."""
        cluster, history = self.cluster, self.history
        sent = cluster.loop.time() + 0.5
        await cluster.start()
        history.begun = cluster.loop.time()
        history.changes.append(
            ConfigurationChange(cluster.version, sent, history.begun, self.quotas())
        )
        until = history.begun + self.setup.length
        observation = cluster.loop.create_task(self.observe())
        client_tasks = [
            cluster.loop.create_task(self.send_requests(load, until + FINAL_CALM_SECONDS))
            for load in self.loads
        ]
        await asyncio.gather(*self.activities(until))
        await asyncio.sleep(max(0.0, until + FINAL_CALM_SECONDS - cluster.loop.time()))
        await asyncio.gather(*client_tasks)
        observation.cancel()
        history.ended = cluster.loop.time()

    def activities(self, until: float) -> list[Coroutine[Any, Any, None]]:
        """Returns the activities, which run concurrently."""
        rng = self.rng
        if self.setup.dense:
            return self.dense_activities(until)
        # A third of the days has no faults of limiters or none of the core, because the bounds for
        # connected limiters only apply without them.
        activities = [self.repeat(until, 0.5, 3.0, lambda: self.faults.inject(SERVER_FAULTS))]
        activities += [
            self.repeat(until, 1.0, 4.0, self.change_configuration),
            self.repeat(until, 0.5, 4.0, self.raise_load),
        ]
        if (fault_draw := rng.random()) < 0.83:
            gap = rng.choice((1.0, 3.0, 9.0))
            activities.append(
                self.repeat(until, 0.2, gap, lambda: self.faults.inject(LIMITER_FAULTS))
            )
        if not 0.66 < fault_draw < 0.83:
            gap = rng.choice((3.0, 9.0, 15.0))
            activities.append(self.repeat(until, 0.2, gap, lambda: self.faults.inject(CORE_FAULTS)))
        return activities

    def dense_activities(self, until: float) -> list[Coroutine[Any, Any, None]]:
        """Returns the activities of a day with overlapping faults."""
        activities = [
            self.repeat(until, 0.0, 1.0, self.raise_load),
            self.repeat(until, 0.0, 1.0, self.raise_load),
        ]
        for gap in (0.5, 1.0, 2.0):
            activities.append(
                self.repeat(until, 0.0, gap, lambda: self.faults.inject(DENSE_DAY_FAULTS))
            )
        activities.append(self.repeat(until, 0.5, 4.0, lambda: self.faults.inject(CORE_FAULTS)))
        activities.append(self.repeat(until, 0.5, 3.0, lambda: self.faults.inject(SERVER_FAULTS)))
        return [*activities, self.repeat(until, 0.3, 2.0, self.change_configuration)]

    async def repeat(
        self,
        until: float,
        low: float,
        high: float,
        activity: Callable[[], Coroutine[Any, Any, None]],
    ) -> None:
        """Repeats an activity until a time, with pauses of `low` to `high` seconds."""
        rng = Random(self.rng.getrandbits(32))
        while True:
            await asyncio.sleep(rng.uniform(low, high))
            if self.cluster.loop.time() >= until:
                return
            await activity()

    # clients

    async def send_requests(self, load: Load, until: float) -> None:
        """Sends requests of one tenant, each to a random limiter that gets new connections."""
        client, rng, tasks = self.cluster.new_client(), Random(self.rng.getrandbits(32)), []
        while self.cluster.loop.time() < until:
            method, name = rng.choice((("GET", "a"), ("GET", "b"), ("POST", "once")))
            request_arguments = (
                method,
                "town.example",
                f"/{name}/x",
                load.key,
                b"" if method == "GET" else b"body",
            )
            sending = client.send_with_retries(
                *request_arguments, tries=rng.choice((1, 3)), idempotent=method == "GET"
            )
            tasks.append(self.cluster.loop.create_task(sending))
            await asyncio.sleep(
                rng.expovariate(load.normal_rate * (HOT_LOAD_FACTOR if load.hot else 1.0))
            )
        await asyncio.gather(*tasks)

    async def raise_load(self) -> None:
        """Raises the request rate of one tenant to a multiple for some seconds."""
        load = self.rng.choice(self.loads)
        load.hot = True
        await asyncio.sleep(self.rng.choice((2.0, 5.0, 8.0)))
        load.hot = False

    # the operator

    def quotas(self) -> dict[str, tuple[float, float]]:
        """Returns the configured rate (requests/s) and burst size by tenant."""
        named = {
            name: spec for (kind, name), spec in self.cluster.resources.items() if kind == "tenants"
        }
        return {name: (spec["rate_per_s"], spec["burst_size"]) for name, spec in named.items()}

    async def change_configuration(self) -> None:
        """Changes a quota, replaces an API key, or adds a route."""
        cluster, rng, load = self.cluster, self.rng, self.rng.choice(self.loads)
        change, spec = (
            rng.choice(("quota", "quota", "key", "route")),
            cluster.resources["tenants", load.name],
        )
        if change == "quota":
            factor = rng.choice((0.4, 0.7, 1.5, 2.5))
            highest = max(TENANT_RATES) * self.setup.quotas
            rate = min(1.2 * highest, max(1.0, round(spec["rate_per_s"] * factor)))
            cluster.tenant(load.name, load.key, rate, round(rate * rng.choice(BURST_TO_RATE)))
            load.normal_rate = rate * rng.uniform(0.8, 1.4)
        elif change == "key":
            self.draw_key(load)
            cluster.tenant(load.name, load.key, spec["rate_per_s"], spec["burst_size"])
        else:
            cluster.route(f"n{cluster.version}", rng.choice([*cluster.servers]))
        sent = cluster.loop.time()
        acknowledged = await cluster.replace(6.0)
        acked = cluster.loop.time() if acknowledged else float("inf")
        self.history.changes.append(
            ConfigurationChange(cluster.version, sent, acked, self.quotas())
        )

    # observations

    async def observe(self) -> None:
        """Records times without a serving primary, and with two counting registries."""
        cluster, since = self.cluster, -1.0
        while True:
            now = cluster.loop.time()
            served = any(cluster.is_serving(ip) for ip in cluster.core_ips)
            if not served and since < 0:
                since = now
            elif served and since >= 0:
                self.history.primary_gaps.append((since, now))
                since = -1.0
            if sum(cluster.is_counting(ip) for ip in cluster.core_ips) > 1:
                self.history.double_counting_times.append(now)
            await asyncio.sleep(OBSERVATION_PERIOD_SECONDS)

    def collect_history(self) -> History:
        """Returns the history with the requests and violations of the request log."""
        history, request_log = self.history, self.cluster.request_log
        try:
            request_log.check()
        except AssertionError:
            history.violations = request_log.violations
        route = {
            f"/{name}/x": spec["service_name"]
            for (kind, name), spec in self.cluster.resources.items()
            if kind == "routes"
        }
        for request in request_log.requests.values():
            history.request_times.setdefault(route[request.path], []).append(request.sent)
        for run in request_log.arrivals:
            request = request_log.requests[run.id]
            history.arrivals.append(
                Arrival(
                    run.id,
                    run.tenant,
                    run.service,
                    run.server,
                    request.front[0],
                    request.sent,
                    run.at,
                    run.ran,
                )
            )
        history.applied_changes = self.cluster.applied_changes
        return history
