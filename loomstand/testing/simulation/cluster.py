"""A whole simulated cluster: core machines, proxies, servers, clients and an operator."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from loomstand.admission.decision_engine import DecisionEngine
from loomstand.admission.endpoints import Endpoint
from loomstand.config.settings import Settings, parse_settings
from loomstand.proxy.endpoint_updates import EndpointUpdates
from loomstand.proxy.instance_view import TrackedInstance
from loomstand.proxy.program import Proxy
from loomstand.registry.instances import READY
from loomstand.registry.process import RegistryService
from loomstand.rpc.errors import CallRefusedError
from loomstand.store.program import Store, StoreSettings
from loomstand.testing.simulation.bounds import AppliedChange
from loomstand.testing.simulation.configuration_draft import ConfigurationDraft
from loomstand.testing.simulation.http_log import RequestLog, exchange
from loomstand.testing.simulation.loop import SimProcess, VirtualLoop
from loomstand.testing.simulation.machine import ProgramFactory
from loomstand.testing.simulation.network import SimNetwork
from loomstand.testing.simulation.sim_disk import DiskState
from loomstand.testing.simulation.streams import Address, Host, Streams, TcpStack
from loomstand.testing.simulation.workload import Client, Operator, Server

ZONES = "east", "west"
CONTROL_PORT, FRONT_PORT, READINESS_PORT, SERVER_PORT = 8783, 8782, 8789, 8080
WALL_CLOCK_START_SECONDS = 1.8e9  # wall clock when the loop's clock is 0
READINESS_PERIOD_SECONDS = 1.0  # period of the platform's readiness checks
SETTINGS = """
self.node_name={name}
self.role=r
self.machine_class=m
self.serves=
self.ip_address={ip}
self.zone={zone}
self.region=all
self.loss_counted=true
self.first_start={first}
network.listen_addresses.frontend={ip}:8782
network.listen_addresses.readiness={ip}:8789
network.listen_addresses.control_plane={ip}:8783
network.internal_ports=7340,7355
network.seed_nodes={seeds}
network.zones.east=all
network.zones.west=all
"""


class VirtualArrivalClock:
    """Stands in for `ArrivalClockSelector`: bytes count as received when they are read."""

    count, longest_iteration = 0, 0.0

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()

    @property
    def earliest_arrival(self) -> float:
        return self.loop.time()

    def arrival_time(self, opened_iteration: int, opened_at: float) -> float:
        return self.earliest_arrival


class SimProxy(Proxy):
    """A proxy on the virtual clock; its internal errors are recorded as violations."""

    def __init__(
        self,
        settings: Settings,
        network: Any,
        rng: Random,
        streams: Streams,
        wall_seconds: float,
        request_log: RequestLog,
        applied_changes: list[AppliedChange],
        process_number: int,
    ) -> None:
        """Creates a proxy that appends each change it applies to `applied_changes`.

        Args:
            settings: Settings of this proxy.
            network: Network of its process, for calls.
            rng: Random generator that no other program uses.
            streams: Connections of its process.
            wall_seconds: Wall clock of its machine when the proxy starts.
            request_log: Log to which internal errors are added as violations.
            applied_changes: List that all proxies share.
            process_number: Number of this process, unique among all starts of all proxies.
        """
        self.wall_seconds, self.violations = wall_seconds, request_log.violations
        self.applied_changes, self.process_number = applied_changes, process_number
        super().__init__(settings, network, rng, VirtualArrivalClock(), streams)  # type: ignore[arg-type]
        self.log = self.record_internal_error
        self.endpoints.endpoint = self.endpoint  # type: ignore[method-assign]

    def start_engine(self) -> DecisionEngine:
        if "engine" not in self.__dict__:  # the first call, when the proxy starts
            self.epoch = int((self.wall_seconds - self.loop.time()) * 1e9)
        return super().start_engine()

    def now(self) -> int:
        """Returns the wall clock time of its machine in ticks of 0.1 ms."""
        return int(self.loop.time() * 10_000) + self.epoch // 100_000

    def apply_configuration(self, version: int, data: bytes) -> bool:
        applied = super().apply_configuration(version, data)
        if applied:
            self.record_change("", version)
        return applied

    def endpoint(self, endpoint_id: int, instance: TrackedInstance) -> Endpoint:
        """Replaces `EndpointUpdates.endpoint`: records the change and calls the original."""
        self.record_change(
            self.endpoints.instance_ids[endpoint_id], int(instance.availability == READY)
        )
        return EndpointUpdates.endpoint(self.endpoints, endpoint_id, instance)

    def record_change(self, server: str, value: int) -> None:
        """Records a change that this proxy applied, of a server or, if `server` is empty, of the
        version.
        """
        self.applied_changes.append(
            AppliedChange(
                self.loop.time(), self.settings.ip_address, self.process_number, server, value
            )
        )

    def record_internal_error(self, text: str) -> None:
        """Records a log line that reports an internal error."""
        if "failed on" in text:
            self.violations.append(text)

    def on_loop_exception(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.violations.append(f"{context.get('message')}: {context.get('exception')!r}")


class ProgramRunner:
    """Adapts a proxy or registry to `Program`: `stop` returns when `run` has ended."""

    def __init__(self, inner: Any) -> None:
        self.inner, self.ended = inner, asyncio.Event()

    async def run(self) -> None:
        await self.inner.run()
        self.ended.set()

    async def stop(self) -> None:
        self.inner.stop()
        await self.ended.wait()


class Cluster(ConfigurationDraft):
    """Core machines with a registry and a store each, proxies, and `servers` per service."""

    def __init__(self, seed: int = 1, cores: int = 3, proxies: int = 4, servers: int = 3) -> None:
        self.loop = VirtualLoop()
        self.rng, self.request_log = Random(seed), RequestLog()
        self.owners = self.request_log.owners
        self.network = SimNetwork(Random(self.rng.getrandbits(64)))
        self.tcp = TcpStack(self.network, Random(self.rng.getrandbits(64)))
        self.first = True  # whether machines that start are on their first start
        self.applied_changes: list[AppliedChange] = []  # by proxies, including restarted ones
        self.proxy_starts = 0
        # by machine: seconds that its wall clock is ahead
        self.clock_offsets: dict[str, float] = {}
        self.core_ips = [f"10.1.0.{n + 1}" for n in range(cores)]
        self.control_addresses = [(ip, CONTROL_PORT) for ip in self.core_ips]
        self.registries = {
            ip: self.make_host(ip, self.registry_factory(ip)) for ip in self.core_ips
        }
        self.stores = {ip: self.make_host(ip, self.store_factory(ip)) for ip in self.core_ips}
        self.proxies = {f"10.2.0.{n + 1}": Host for n in range(proxies)}
        self.proxies = {ip: self.make_host(ip, self.proxy_factory(ip)) for ip in self.proxies}
        self.loop.set_exception_handler(self.on_loop_exception)
        self.run(self.create_workload(servers))
        self.versions: dict[int, bytes] = {}  # bodies that were sent, by version
        self.version, self.resources = 0, dict[tuple[str, str], dict[str, Any]]()
        self.routed_proxies: list[Address] = []  # proxies that get new connections
        self.background_tasks: list[asyncio.Task[Any]] = []

    def on_loop_exception(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.request_log.violations.append(
            f"{context.get('message')}: {context.get('exception')!r}"
        )

    def make_host(self, ip: str, factory: ProgramFactory) -> Host:
        """Creates a machine that runs one program, and the random generators it uses."""
        host = Host(
            ip,
            self.network,
            Random(self.rng.getrandbits(64)),
            [factory],
            DiskState(Random(self.rng.getrandbits(64))),
            self.rng.uniform(0, 1e4),
        )
        host.tcp = self.tcp
        return host

    def settings(self, ip: str) -> Settings:
        """Returns the settings of a machine; the last byte of its address selects the zone."""
        zone = ZONES[int(ip.split(".")[-1]) % 2]
        seeds = ",".join(f"{ip}:{CONTROL_PORT}" for ip in self.core_ips[:3])
        first_start = str(self.first).lower()
        return parse_settings(
            SETTINGS.format(name=f"n-{ip}", ip=ip, zone=zone, first=first_start, seeds=seeds)
        )

    def wall_clock(self, ip: str, rng: Random) -> float:
        """Returns the wall clock of a machine in seconds; programs read it when they start."""
        return (
            WALL_CLOCK_START_SECONDS
            + self.loop.time()
            + self.clock_offsets.get(ip, 0.0)
            + rng.uniform(-0.2, 0.2)
        )

    def registry_factory(self, ip: str) -> ProgramFactory:
        def make(network: Any, disk: Any, clock: Any, rng: Random) -> Any:
            streams = Streams(self.tcp, ip, network.process)
            return ProgramRunner(
                # type: ignore[arg-type]
                RegistryService(
                    self.settings(ip),
                    network,
                    VirtualArrivalClock(),
                    clock=clock,
                    wall_seconds=self.wall_clock(ip, rng),
                    streams=streams,
                )
            )

        return make

    def store_factory(self, ip: str) -> ProgramFactory:
        def make(network: Any, disk: Any, clock: Any, rng: Random) -> Any:
            settings = self.settings(ip)
            seeds = tuple(settings.store_address(seed) for seed, _ in settings.seed_nodes)
            store_settings = StoreSettings(settings.store_address(ip), seeds, settings.first_start)
            return Store(store_settings, network, disk, clock, rng)

        return make

    def proxy_factory(self, ip: str) -> ProgramFactory:
        def make(network: Any, disk: Any, clock: Any, rng: Random) -> Any:
            streams = Streams(self.tcp, ip, network.process)
            self.proxy_starts += 1
            wall_seconds = self.wall_clock(ip, rng)
            proxy = SimProxy(
                self.settings(ip),
                network,
                rng,
                streams,
                wall_seconds,
                self.request_log,
                self.applied_changes,
                self.proxy_starts,
            )
            return ProgramRunner(proxy)

        return make

    async def create_workload(self, servers: int) -> None:
        """Creates the servers of both services, the operator and the client."""
        self.servers: dict[str, list[Server]] = {}
        for s, service in enumerate(("alpha", "beta")):
            self.servers[service] = [
                self.make_server(f"10.3.{s}.{n + 1}", service, ZONES[n % 2]) for n in range(servers)
            ]
        self.operator = Operator(self.streams("10.8.0.1"), self.rng, self.control_addresses)
        self.client = self.new_client()

    def make_server(self, ip: str, service: str, zone: str) -> Server:
        rng = Random(self.rng.getrandbits(64))
        server = Server(
            self.tcp,
            self.request_log,
            rng,
            (ip, SERVER_PORT),
            service,
            zone,
            [*self.control_addresses],
        )
        server.core_index = self.rng.randrange(len(self.control_addresses))
        return server

    def streams(self, ip: str) -> Streams:
        """Returns the connections of a new process on a host."""
        return Streams(self.tcp, ip, SimProcess())

    def new_client(self) -> Client:
        """Creates a client that uses the proxies that get new connections."""
        rng = Random(self.rng.getrandbits(64))
        all_addresses = [(ip, FRONT_PORT) for ip in self.proxies]  # used while no proxy is ready
        return Client(
            self.streams("10.9.0.1"),
            self.request_log,
            rng,
            lambda: self.routed_proxies or all_addresses,
        )

    # time

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Runs a coroutine on the virtual loop until it ends; returns its result."""
        return self.loop.run_until_complete(work)

    def wait(self, seconds: float) -> None:
        """Advances the simulation by some seconds."""
        self.run(asyncio.sleep(seconds))

    async def wait_until(self, condition: Callable[[], bool], within: float) -> float:
        """Waits until the condition holds; returns the seconds it took.

        Raises:
            AssertionError: It doesn't hold within `within` seconds.
        """
        begun = self.loop.time()
        while not condition():
            assert self.loop.time() - begun < within, f"not within {within} s"
            await asyncio.sleep(0.005)
        return self.loop.time() - begun

    def run_in_background(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Runs a coroutine beside the test; `close` raises its failure."""
        task = self.loop.create_task(work)
        self.background_tasks.append(task)
        return task

    def close(self) -> None:
        """Raises failures of background tasks, checks the request log and closes the loop."""
        try:
            for task in self.background_tasks:
                if task.done() and not task.cancelled():
                    task.result()
            self.request_log.check()
        finally:
            self.loop.close()

    # start and observation

    async def start(self) -> None:
        """Starts all machines and servers, sends the first configuration and waits until all
        proxies are ready.
        """
        for host in (*self.stores.values(), *self.registries.values(), *self.proxies.values()):
            host.start()
        for server in (s for servers in self.servers.values() for s in servers):
            server.start()
        self.run_in_background(self.run_readiness_checks())
        await asyncio.sleep(0.5)
        assert await self.replace(20.0)
        await self.wait_until(lambda: len(self.routed_proxies) == len(self.proxies), 6.0)
        self.first = False

    async def run_readiness_checks(self) -> None:
        """Checks readiness each second; after two failed checks a proxy gets no new connections.

        If fewer than half are ready, all get connections, unless none is ready.
        """
        streams, misses = self.streams("10.7.0.1"), dict.fromkeys(self.proxies, 2)

        async def check(ip: str) -> None:
            misses[ip] = 0 if await self.is_ready(ip, streams) else misses[ip] + 1

        while True:
            await asyncio.gather(*(check(ip) for ip in self.proxies))
            ready = [ip for ip, missed in misses.items() if missed < 2]
            if 2 * len(ready) < len(misses):
                ready = [*misses] if ready else []
            self.routed_proxies = [(ip, FRONT_PORT) for ip in ready]
            await asyncio.sleep(READINESS_PERIOD_SECONDS)

    async def is_ready(self, ip: str, streams: Streams | None = None) -> bool:
        """Returns whether a proxy answers a readiness check with status 200 within 0.9 s."""
        raw = b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n"
        answer = await exchange(streams or self.streams("10.7.0.1"), (ip, READINESS_PORT), raw, 0.9)
        return answer is not None and answer.status == 200

    def proxy(self, ip: str) -> SimProxy:
        return self.proxies[ip].programs[0].inner

    def registry(self, ip: str) -> RegistryService:
        return self.registries[ip].programs[0].inner

    def running_proxies(self) -> list[SimProxy]:
        return [self.proxy(ip) for ip, host in self.proxies.items() if host.is_running]

    def counting_host(self) -> str:
        """Returns the core machine whose registry holds the counting lease."""
        hosts = self.counting_hosts()
        assert len(hosts) == 1
        return hosts[0]

    def counting_hosts(self) -> list[str]:
        """Returns all core machines that hold a valid counting lease, frozen ones included."""
        up = [
            self.registry(ip) for ip, host in self.registries.items() if host.up and host.programs
        ]
        return [r.context.host for r in up if r.counting.is_counting(r.context.clock())]

    def is_counting(self, ip: str) -> bool:
        """Returns whether the registry of a core machine runs and counts now."""
        return self.registries[ip].is_running and ip in self.counting_hosts()

    def is_serving(self, ip: str) -> bool:
        """Returns whether the store of a core machine runs and serves as primary now."""
        if not self.stores[ip].is_running:
            return False
        store = self.stores[ip].programs[0]
        try:
            return store.replica.lease_left(store.clock()) > 0.0
        except CallRefusedError:  # the store is still reading its disk
            return False

    def core(self, ip: str) -> tuple[Host, Host]:
        """Returns the registry and the store of a core machine."""
        return self.registries[ip], self.stores[ip]

    async def check_versions_never_decrease(self) -> None:
        """Checks every 20 ms that the version at a running proxy never decreases."""
        last_versions: dict[SimProxy, int] = {}
        while True:
            for proxy in self.running_proxies():
                version = proxy.configuration.table.version if proxy.configuration.table else 0
                assert last_versions.get(proxy, 0) <= version, (
                    f"{proxy.settings.node_name} went back to a lower version"
                )
                last_versions[proxy] = version
            await asyncio.sleep(0.02)

    # the configuration

    def use_default_configuration(self) -> None:
        self.begin_draft([*self.servers])

    async def replace(self, within: float = 5.0) -> bool:
        """Sends `resources` as the next version; returns whether it was acknowledged in time."""
        if not self.resources:
            self.use_default_configuration()
        self.version += self.rng.choice((1, 1, 3))
        self.versions[self.version] = body = self.body(self.version)
        return await self.operator.replace(body, within)

    # requests

    async def get(self, name: str = "a", key: str = "key-of-ann", **more: Any) -> Any:
        """Sends a GET request on the route `name`, with retries; returns the last reply."""
        return await self.client.send_with_retries(
            "GET", "town.example", f"/{name}/x?n=1", key, idempotent=True, **more
        )

    async def send_once(
        self, name: str = "once", key: str = "key-of-ann", at: str = "", **more: Any
    ) -> Any:
        """Sends a POST request on the route `name` once; returns the request and its reply.

        It is sent to the proxy with the address `at`, or else to a random one that gets new
        connections.
        """
        request = self.client.new_request(
            "POST", "town.example", f"/{name}/x", key, b"body " * 20, **more
        )
        front = (at, FRONT_PORT) if at else self.rng.choice(self.routed_proxies)
        return request, await self.client.send_once(request, front)

    async def send_requests(
        self, client: Client, rate: float, seconds: float, *request_arguments: Any, **more: Any
    ) -> list[Any]:
        """Sends `rate` requests a second on average for `seconds`; returns their replies."""
        begun, tasks = self.loop.time(), []
        rng = Random(self.rng.getrandbits(64))
        while self.loop.time() - begun < seconds:
            tasks.append(
                self.loop.create_task(client.send_with_retries(*request_arguments, **more))
            )
            await asyncio.sleep(rng.expovariate(rate))
        return list(await asyncio.gather(*tasks))
