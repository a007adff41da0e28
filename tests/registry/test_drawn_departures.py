"""Departures of servers in a drawn order with faults of core machines and proxies, on every seed.

Core machines are killed or restarted, a proxy is killed or cut off from the core, and a server's
heartbeat may arrive after its departure.

By hand, with more seeds: `python -m tests.registry.test_drawn_departures FIRST COUNT`.
"""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass, field
from random import Random

import pytest

from loomstand.testing.simulation.cluster import Cluster
from loomstand.testing.simulation.workload import Server
from tests.registry.test_departures import kill_core, start_core

DRAIN_SECONDS = 2.5  # the operators' bound from an acknowledged departure to the last request
CONTACT_SECONDS = 3.0  # a proxy is in touch so long after the last kill or start in the core
SERVES_ON_SECONDS = 12.0  # a server that leaves may serve on for many seconds
DOWN_SECONDS = (0.1, 0.9)
FAULT_KINDS = ("core", "registries", "machine", "registry stops")
REQUESTS_PER_SECOND = 25.0
MAX_WAIT_SECONDS = 3.0  # of a fault for the next departure
PARTITION_SECONDS = (0.3, 4.0)  # of a proxy from the core
LATE_HEARTBEAT_SECONDS = (0.0, 3.0)  # from the acknowledgement of a leave


@dataclass
class DepartureRun:
    """One run: a cluster, the departures that were acknowledged, and when the faults ended.

    Attributes:
        seed: Determines the run.
        acknowledged: By server, the time at which its departure was acknowledged.
        core_disturbed_at: End of the last fault of core machines.
        proxy_disturbed_at: By proxy, the end of its last fault.
    """

    seed: int
    acknowledged: dict[str, float] = field(default_factory=dict)
    core_disturbed_at: float = 0.0
    proxy_disturbed_at: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.cluster = Cluster(self.seed)
        self.rng = Random(self.seed)
        # drawn apart, so that the faults of core machines stay those of the seed
        self.proxy_rng = Random(f"{self.seed} proxies")
        self.heartbeat_rng = Random(f"{self.seed} heartbeats")

    def play(self) -> list[str]:
        """Plays the run; returns a line for each request that reached a server too late."""
        try:
            self.cluster.run(self.cluster.start())
            self.cluster.run(self.disturb())
        finally:
            self.cluster.close()
        return self.late_arrivals()

    async def disturb(self) -> None:
        departing = [servers[0] for servers in self.cluster.servers.values()]
        faults = self.rng.sample(FAULT_KINDS, self.rng.randint(1, 2))
        client = self.cluster.new_client()
        requests = [
            self.cluster.send_requests(
                client,
                REQUESTS_PER_SECOND,
                SERVES_ON_SECONDS + 5.0,
                *("GET", "town.example", path, "key-of-ann"),
                idempotent=True,
            )
            for path in ("/a/x", "/b/x")
        ]
        await asyncio.gather(
            *(self.depart(server) for server in departing),
            self.fail(faults),
            self.fail_proxy(),
            *requests,
        )

    async def depart(self, server: Server) -> None:
        """Leaves or drains at a drawn moment; serves on afterwards."""
        await asyncio.sleep(self.rng.uniform(0.0, 2.5))
        if self.rng.random() < 0.6:
            server.heartbeats.cancel()
            self.acknowledged[server.id] = await server.leave_until_acknowledged()
            if self.heartbeat_rng.random() < 0.5:
                await asyncio.sleep(self.heartbeat_rng.uniform(*LATE_HEARTBEAT_SECONDS))
                server.sequence -= len(server.cores)  # older than the last one before the leave
                await server.send_heartbeat()
            return
        at, _ = await server.drain()
        self.acknowledged[server.id] = at
        await asyncio.sleep(self.rng.uniform(DRAIN_SECONDS, 4.0))
        server.heartbeats.cancel()
        await server.leave_until_acknowledged()

    async def fail(self, kinds: list[str]) -> None:
        """Plays the faults one after the other, each at a drawn moment or at a departure."""
        for kind in kinds:
            if self.rng.random() < 0.5:
                await self.next_departure()
            else:
                await asyncio.sleep(self.rng.uniform(0.0, 2.0))
            await self.play_fault(kind)
            self.core_disturbed_at = self.cluster.loop.time()

    async def fail_proxy(self) -> None:
        """Kills a proxy or cuts it off from the core at a drawn moment, in most runs."""
        rng, cluster = self.proxy_rng, self.cluster
        if rng.random() < 0.3:
            return
        proxy_ip = rng.choice([*cluster.proxies])
        if rng.random() < 0.5:
            await self.next_departure()
        else:
            await asyncio.sleep(rng.uniform(0.0, 3.0))
        if rng.random() < 0.5:
            cluster.proxies[proxy_ip].kill()
            await asyncio.sleep(rng.uniform(*DOWN_SECONDS))
            cluster.proxies[proxy_ip].start()
        else:
            cluster.network.partition([proxy_ip], cluster.core_ips)
            await asyncio.sleep(rng.uniform(*PARTITION_SECONDS))
            cluster.network.heal()
        self.proxy_disturbed_at[proxy_ip] = cluster.loop.time()

    async def next_departure(self) -> None:
        """Waits until another departure is acknowledged, for a limited time."""
        known, loop = len(self.acknowledged), self.cluster.loop
        deadline = loop.time() + MAX_WAIT_SECONDS
        while len(self.acknowledged) == known and loop.time() < deadline:
            await asyncio.sleep(0.001)

    async def play_fault(self, kind: str) -> None:
        cluster = self.cluster
        machine = self.rng.choice(cluster.core_ips)
        if kind == "registry stops":
            await cluster.registries[machine].terminate()
        elif kind == "machine":
            for host in cluster.core(machine):
                host.kill()
        else:
            kill_core(cluster, with_stores=kind == "core")
        await asyncio.sleep(self.rng.uniform(*DOWN_SECONDS))
        await start_core(cluster, self.rng.choice((0.0, 0.0, 0.3)))

    def late_arrivals(self) -> list[str]:
        return [
            f"{arrival.server} got {arrival.id} at {arrival.at:.3f}, acknowledged at {since:.3f}, "
            f"core disturbed until {self.core_disturbed_at:.3f}, proxies {self.proxy_disturbed_at}"
            for arrival in self.cluster.request_log.arrivals
            if (since := self.acknowledged.get(arrival.server)) is not None
            and arrival.at > max(since + DRAIN_SECONDS, self.in_touch_at(arrival.id))
        ]

    def in_touch_at(self, request_id: str) -> float:
        """Returns the time from which the proxy that took a request is in touch."""
        proxy_ip, _ = self.cluster.request_log.requests[request_id].front
        disturbed_at = max(self.core_disturbed_at, self.proxy_disturbed_at.get(proxy_ip, 0.0))
        return disturbed_at + CONTACT_SECONDS


SEEDS_THAT_FAILED = (24, 115, 136)


@pytest.mark.parametrize("seed", [*range(8), *SEEDS_THAT_FAILED])
def test_no_request_reaches_a_server_long_after_its_departure_in_any_order_of_events(seed):
    """Guards against departures that a restart of registries makes forgotten."""
    assert DepartureRun(seed).play() == []


if __name__ == "__main__":
    first, count = map(int, sys.argv[1:])
    failed = 0
    for seed in range(first, first + count):
        if lines := DepartureRun(seed).play():
            failed += 1
            print(f"seed {seed}: {len(lines)} late requests; first: {lines[0]}", flush=True)
    print(f"{count} seeds from {first}, {failed} failed")
