"""Random faults of a simulated cluster; each has ended when its method returns.

Each kind of fault is a method of `Faults`, and the lists below contain names of methods. Faults of
limiters and of the core record a span in the history, faults of servers don't.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from random import Random

from loomstand.testing.simulation.bounds import CORE, Drain, FaultSpan, History
from loomstand.testing.simulation.cluster import Cluster
from loomstand.testing.simulation.streams import Host
from loomstand.testing.simulation.workload import Server

LIMITER_FAULTS = [
    "kill_proxy",
    "kill_many_proxies",
    "kill_many_proxies",
    "terminate_proxy",
    "cut_off_limiters",
    "cut_off_limiters",
    "cut_off_limiters",
    "freeze_proxies",
    "slow_proxy_links",
    "step_proxy_clocks",
]
# Faults of limiters on dense days, on which several faults overlap.
DENSE_DAY_FAULTS = [
    *LIMITER_FAULTS,
    "roll_proxies",
    "roll_proxies",
    "kill_many_proxies",
    "step_proxy_clocks",
    "cut_off_limiters",
]
CORE_FAULTS = [
    "kill_core_machine",
    "kill_core_machine",
    "kill_registry",
    "freeze_core_machine",
    "partition_core",
    "partition_core",
    "disturb_disk",
    "step_core_clock",
    "slow_core_links",
    "kill_all_core",
    "lose_messages",
]
SERVER_FAULTS = [
    "kill_server",
    "disturb_server",
    "swap_server_addresses",
    "disturb_half_of_service",
    "disturb_half_of_service",
    "drain_server",
    "drain_server",
    "release_service",
]
ROLL_GAP_SECONDS = 0.7  # between two steps of a rolling restart
STOP_TIMEOUT_SECONDS = 6.0  # after which a program that was asked to stop is killed
# from the acknowledgement of a drain until the server exits; more than the bound `drain`
DRAIN_TO_EXIT_SECONDS = 3.0


class Faults:
    """Injects faults into one cluster; `durations`, in seconds, are those to draw from."""

    def __init__(
        self,
        cluster: Cluster,
        rng: Random,
        history: History | None = None,
        durations: tuple[float, ...] = (0.3, 1.0, 3.0),
    ) -> None:
        self.cluster, self.rng, self.durations = cluster, rng, durations
        self.history = History([*cluster.proxies]) if history is None else history

    async def inject(self, kinds: list[str]) -> None:
        """Draws one of the kinds, injects the fault and waits for its end."""
        await getattr(self, self.rng.choice(kinds))()

    @asynccontextmanager
    async def span(
        self,
        kind: str,
        description: str,
        hosts: Iterable[str],
        core: bool = False,
        majority_connected: bool = True,
    ) -> AsyncIterator[None]:
        """Records a fault that lasts as long as the block.

        The end of a fault that is active at the end of the day isn't recorded.
        """
        begun, where = self.cluster.loop.time(), frozenset(hosts)
        spans, n = self.history.spans, len(self.history.spans)
        spans.append(
            FaultSpan(
                kind, description, where, begun, core=core, majority_connected=majority_connected
            )
        )
        yield
        spans[n] = FaultSpan(
            kind, description, where, begun, self.cluster.loop.time(), core, majority_connected
        )

    async def wait_fault_duration(self) -> None:
        """Waits for a random one of the durations."""
        await asyncio.sleep(self.rng.choice(self.durations))

    def draw_proxies(self, low: float, high: float) -> list[str]:
        """Draws a share of the proxies, at least one."""
        share = self.rng.uniform(low, high)
        return self.rng.sample(
            [*self.cluster.proxies], max(1, round(share * len(self.cluster.proxies)))
        )

    def draw_core(self) -> str:
        """Draws a core machine, with probability 1/2 the one whose store is primary."""
        primaries = [
            ip
            for ip, host in self.cluster.stores.items()
            if host.is_running and self.cluster.is_serving(ip)
        ]
        return (
            primaries[0]
            if primaries and self.rng.random() < 0.5
            else self.rng.choice(self.cluster.core_ips)
        )

    # power

    async def take_down(self, hosts: list[Host], power_off: bool, wipe: bool = False) -> None:
        """Kills hosts or cuts their power, and starts them again after a random duration."""
        for host in hosts:
            host.power_off(wipe) if power_off else host.kill()
        await self.wait_fault_duration()
        self.start_again(hosts)

    def start_again(self, hosts: list[Host]) -> None:
        """Starts the hosts that another fault hasn't started already."""
        for host in hosts:
            if not host.up:
                host.start()

    async def kill_proxy(self) -> None:
        """Kills a proxy or cuts its power."""
        ip = self.rng.choice([*self.cluster.proxies])
        async with self.span("started", "killed", [ip]):
            await self.take_down([self.cluster.proxies[ip]], self.rng.random() < 0.5)

    async def kill_many_proxies(self) -> None:
        """Kills 30 to 60 % of the proxies at once."""
        ips = self.draw_proxies(0.3, 0.6)
        async with self.span("started", "killed together", ips):
            await self.take_down([self.cluster.proxies[ip] for ip in ips], False)

    async def terminate_proxy(self) -> None:
        """Stops a proxy as on SIGTERM and starts it again."""
        await self.restart([self.rng.choice([*self.cluster.proxies])], "told to stop")

    async def roll_proxies(self) -> None:
        """Restarts most limiters, two at a time."""
        ips, rolls = self.draw_proxies(0.6, 1.0), []
        for n in range(0, len(ips), 2):
            rolls.append(asyncio.ensure_future(self.restart(ips[n : n + 2])))
            await asyncio.sleep(ROLL_GAP_SECONDS)
        await asyncio.gather(*rolls)

    async def restart(self, ips: list[str], description: str = "rolled") -> None:
        """Stops proxies and starts them again; another fault may kill them before."""
        hosts = [self.cluster.proxies[ip] for ip in ips]
        async with self.span("started", description, ips):
            if ends := [asyncio.ensure_future(host.terminate()) for host in hosts if host.up]:
                await asyncio.wait(ends, timeout=STOP_TIMEOUT_SECONDS)
            for host in hosts:
                host.kill()
            self.start_again(hosts)

    async def step_proxy_clocks(self) -> None:
        """Steps the wall clock of some proxies and restarts them, as programs read it at start."""
        ips = self.draw_proxies(0.1, 0.3)
        async with self.span("started", "clock step", ips):
            self.shift_clocks(ips)
            await self.take_down([self.cluster.proxies[ip] for ip in ips], False)

    def shift_clocks(self, ips: list[str]) -> None:
        """Sets one random offset in seconds for the wall clocks of machines."""
        offset = self.rng.choice((-1600.0, -3.0, 2.0, 1600.0))
        self.cluster.clock_offsets |= dict.fromkeys(ips, offset)

    async def kill_core_machine(self) -> None:
        """Kills both programs of a core machine, cuts its power or wipes its disk."""
        ip, wipe = self.draw_core(), self.rng.random() < 0.25
        async with self.span(
            CORE, "core machine wiped" if wipe else "core machine killed", [ip], True
        ):
            await self.take_down([*self.cluster.core(ip)], wipe or self.rng.random() < 0.5, wipe)

    async def step_core_clock(self) -> None:
        """Steps the wall clock of a core machine and restarts its programs."""
        ip = self.draw_core()
        async with self.span(CORE, "core clock step", [ip], True):
            self.shift_clocks([ip])
            await self.take_down([*self.cluster.core(ip)], False)

    async def kill_registry(self) -> None:
        """Kills a registry, which loses its counts; the store on the same machine goes on."""
        ip = self.draw_core()
        async with self.span(CORE, "registry killed", [ip], True):
            await self.take_down([self.cluster.registries[ip]], False)

    async def kill_all_core(self) -> None:
        """Kills all programs of the core at once."""
        async with self.span(CORE, "all of the core killed", self.cluster.core_ips, True, False):
            await self.take_down(
                [*self.cluster.stores.values(), *self.cluster.registries.values()], False
            )

    # processes and disks

    async def freeze_hosts(self, hosts: list[Host]) -> None:
        """Freezes the processes of hosts for a random duration."""
        for host in hosts:
            host.freeze()
        await self.wait_fault_duration()
        for host in hosts:
            host.thaw()

    async def freeze_proxies(self) -> None:
        ips = self.draw_proxies(0.0, 0.2)
        async with self.span("slow", "frozen", ips):
            await self.freeze_hosts([self.cluster.proxies[ip] for ip in ips])

    async def freeze_core_machine(self) -> None:
        """Freezes the registry, the store or both on a core machine."""
        ip = self.draw_core()
        hosts = self.rng.choice(([0], [1], [0, 1]))
        async with self.span(CORE, "core processes frozen", [ip], True):
            await self.freeze_hosts([self.cluster.core(ip)[n] for n in hosts])

    async def freeze_processes(self) -> None:
        """Freezes proxies or, with probability 0.7, processes of a core machine."""
        await (self.freeze_proxies if self.rng.random() < 0.3 else self.freeze_core_machine)()

    async def disturb_disk(self) -> None:
        """Makes the disk of a store hang, refuse writes or write slowly."""
        ip, fault = self.draw_core(), self.rng.choice(("hangs", "refuses", "slower"))
        disk_state = self.cluster.stores[ip].disk_state
        async with self.span(CORE, f"disk {fault}", [ip], True):
            setattr(disk_state, fault, 28.0 if fault == "slower" else True)
            await self.wait_fault_duration()
            disk_state.hangs = disk_state.refuses = False
            disk_state.slower = 1.0

    # links

    async def block_links(self, pairs: set[tuple[str, str]]) -> None:
        """Blocks links, each from the first to the second host of a pair, for a random duration."""
        self.cluster.network.blocked_links |= pairs
        await self.wait_fault_duration()
        self.cluster.network.heal(pairs)

    def links_between(
        self, hosts: Iterable[str], other_hosts: Iterable[str]
    ) -> set[tuple[str, str]]:
        """Returns the links between two groups: both directions, or at random only one."""
        forward = {(a, b) for a in hosts for b in other_hosts}
        backward = {(b, a) for a, b in forward}
        return self.rng.choice(
            (forward | backward, forward | backward, forward | backward, forward, backward)
        )

    async def cut_off_limiters(self) -> None:
        """Cuts limiters off from the core; with probability 1/2 from servers, too."""
        ips = self.draw_proxies(0.1, 0.3)
        remote_ips = list(self.cluster.core_ips)
        if self.rng.random() < 0.5:
            remote_ips += self.server_ips()
        async with self.span("cut", "limiters cut off", ips):
            await self.block_links(self.links_between(ips, remote_ips))

    async def partition_core(self) -> None:
        """Partitions the core in two parts; each limiter reaches one of them, or all reach both."""
        cores, side = list(self.cluster.core_ips), [self.draw_core()]
        if len(cores) == 4 and self.rng.random() < 0.4:
            side.append(self.rng.choice([ip for ip in cores if ip not in side]))
        majority_connected = 2 * len(side) < len(cores)
        other_side = [ip for ip in cores if ip not in side]
        with_side = self.draw_proxies(0.1, 0.4) if self.rng.random() < 0.6 else []
        pairs = self.links_between(side, other_side)
        if with_side:
            pairs |= self.links_between(
                side, [ip for ip in self.cluster.proxies if ip not in with_side]
            )
            pairs |= self.links_between(with_side, other_side)
        async with self.span(
            CORE, f"core cut {len(side)}/{len(other_side)}", cores, True, majority_connected
        ):
            if with_side:
                async with self.span("cut", "with the cut part of the core", with_side):
                    await self.block_links(pairs)
            else:
                await self.block_links(pairs)

    async def isolate_machine(self) -> None:
        """Partitions one machine from all others."""
        core = self.rng.random() < 0.4
        ip = self.draw_core() if core else self.rng.choice([*self.cluster.proxies])
        all_ips = [*self.cluster.proxies, *self.cluster.core_ips, *self.server_ips()]
        async with self.span(CORE if core else "cut", "alone", [ip], core):
            others = [other for other in all_ips if other != ip]
            await self.block_links({(ip, o) for o in others} | {(o, ip) for o in others})

    async def slow_down(self, ips: list[str]) -> None:
        """Delays all bytes to and from machines for a random duration."""
        delay = self.rng.choice((0.02, 0.1, 0.4))
        self.cluster.network.extra_delay_seconds |= dict.fromkeys(ips, delay)
        await self.wait_fault_duration()
        for ip in ips:
            # another fault may have ended it
            self.cluster.network.extra_delay_seconds.pop(ip, None)

    async def slow_proxy_links(self) -> None:
        ips = self.draw_proxies(0.05, 0.3)
        async with self.span("slow", "slow links", ips):
            await self.slow_down(ips)

    async def slow_core_links(self) -> None:
        ip = self.draw_core()
        async with self.span(CORE, "core links slow", [ip], True):
            await self.slow_down([ip])

    async def lose_messages(self) -> None:
        """Makes all links lose 2 or 10 % of the call messages and delay as many segments."""
        hosts = [*self.cluster.core_ips, *self.cluster.proxies]
        async with self.span("slow", "all links lossy", hosts, True, False):
            self.cluster.network.loss_rate = self.rng.choice((0.02, 0.1))
            await self.wait_fault_duration()
            self.cluster.network.loss_rate = 0.0

    # servers

    def server_ips(self) -> list[str]:
        return [
            server.address[0] for servers in self.cluster.servers.values() for server in servers
        ]

    def draw_server(self) -> Server:
        """Draws a server, if possible one that isn't draining."""
        servers = self.cluster.servers[self.rng.choice([*self.cluster.servers])]
        return self.rng.choice([s for s in servers if s.state == "ready"] or servers)

    async def kill_server(self) -> None:
        """Kills a server and starts it again."""
        server = self.draw_server()
        server.kill()
        await self.wait_fault_duration()
        server.start()

    async def disturb_server(self) -> None:
        """Makes a server apply a random fault to 30 % or all of its requests."""
        server = self.draw_server()
        fault_names = "full error close silent reset cut spoilt surplus late slow bare dark refuses"
        server.fault, server.fault_share = (
            self.rng.choice(fault_names.split()),
            self.rng.choice((0.3, 1.0)),
        )
        await self.wait_fault_duration()
        server.fault = ""

    async def disturb_half_of_service(self) -> None:
        """Makes half of a service's servers reject, fail or reset a random share of requests."""
        servers = self.cluster.servers[self.rng.choice([*self.cluster.servers])]
        faulty, fault, share = (
            servers[::2],
            self.rng.choice(("full", "error", "reset", "refuses")),
            self.rng.random(),
        )
        for server in faulty:
            server.fault, server.fault_share = fault, share
        await self.wait_fault_duration()
        for server in faulty:
            server.fault = ""

    async def swap_server_addresses(self) -> None:
        """Kills two servers of different services and starts each with the other's address."""
        alpha, beta = self.cluster.servers["alpha"][0], self.cluster.servers["beta"][0]
        alpha.kill()
        beta.kill()
        alpha.address, beta.address = beta.address, alpha.address
        await self.wait_fault_duration()
        alpha.start()
        beta.start()

    async def drain_server(self) -> None:
        """Drains a server and replaces it by a new instance."""
        await self.drain_and_replace(self.draw_server())

    async def drain_and_replace(self, server: Server) -> None:
        """Drains a server and replaces it by a new instance."""
        old_id = server.id
        acked, core = await server.drain()
        self.history.drains.append(Drain(old_id, acked, core[0], acked + DRAIN_TO_EXIT_SECONDS))
        await asyncio.sleep(DRAIN_TO_EXIT_SECONDS)
        await server.leave()
        server.start()

    async def release_service(self) -> None:
        """Replaces up to three servers of a service, with one second between the drains."""
        servers = self.cluster.servers[self.rng.choice([*self.cluster.servers])]
        leaving = []
        for server in servers[:3]:
            leaving.append(self.cluster.loop.create_task(self.drain_and_replace(server)))
            await asyncio.sleep(1.0)
        await asyncio.gather(*leaving)
