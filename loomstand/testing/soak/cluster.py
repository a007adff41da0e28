"""A cluster of gateway processes on loopback with its servers, clients and operator.

Each machine has its own address in 127.0.0.0/8; all use the same ports, as in production.
"""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from pathlib import Path
from random import Random

from loomstand.testing.simulation.configuration_draft import ConfigurationDraft
from loomstand.testing.simulation.http_log import RequestLog, exchange
from loomstand.testing.simulation.streams import Address
from loomstand.testing.simulation.workload import Client, Operator
from loomstand.testing.soak.loopback import LoopbackServer, LoopbackStreams
from loomstand.testing.soak.processes import ProgramProcess
from loomstand.testing.soak.schedule import ClusterShape

CONTROL_PORT, FRONT_PORT, READINESS_PORT, SERVER_PORT = 8783, 8782, 8789, 8080
INTERNAL_PORTS = "7340,7355"
CORE_MACHINES = 3
SERVICES = ("alpha", "beta")
SERVERS_PER_SERVICE = 4
ZONES = ("east", "west")
# A slow server works on a request for longer than the `LOAD_SLACK_SECONDS` of the checks after the
# client has disconnected; the target latency is long enough that no attempt times out before that.
SLOW_SECONDS = 2.5
PATIENT_TARGET = "4000ms"
# An attempt on the other idempotent route may time out while a slow server works on it.
IMPATIENT_TARGET = "800ms"
IMPATIENT_ATTEMPTS = 2
CLIENT_DELAY_SECONDS = 0.002  # from a client's write until the proxy's machine has it
READINESS_PERIOD_SECONDS = 1.0
MAX_READINESS_MISSES = 2  # a proxy gets no new connections after this many failed checks
SETTINGS = """self.node_name={name}
self.role=r
self.machine_class=m
self.serves={serves}
self.ip_address={ip}
self.zone={zone}
self.region=all
self.loss_counted={is_core}
self.first_start={is_first}
self.limits.memory_mb=300
self.limits.file_descriptors=4096
{addresses}
network.internal_ports={ports}
network.seed_nodes={seeds}
network.zones.east=all
network.zones.west=all
"""


class SoakCluster(ConfigurationDraft):
    """Core machines with a registry and a store each, proxies, servers, clients and an operator.

    Attributes:
        request_log: Log of the requests, from clients and servers.
        processes: The programs by name.
        servers: The servers by name.
        operator: Sends configurations.
        routed_proxies: Addresses of the proxies that get new connections.
        acknowledged_version: The newest configuration version that was acknowledged.
    """

    def __init__(self, seed: int, proxies: int, network: int, folder: Path) -> None:
        """Creates a cluster without starting it.

        Args:
            seed: Seed of all random choices.
            proxies: Number of proxies.
            network: Second octet of its addresses, 1 to 254.
            folder: For settings, logs and the disks of the stores; must exist and be empty.
        """
        self.rng = Random(seed)
        self.request_log = RequestLog()
        self.owners = self.request_log.owners
        self.resources = {}
        self.folder = folder
        self.network = network
        self.core_ips = [self._ip(1, number) for number in range(CORE_MACHINES)]
        self.control_addresses: list[Address] = [(ip, CONTROL_PORT) for ip in self.core_ips]
        self.processes: dict[str, ProgramProcess] = {}
        for ip in self.core_ips:
            for role in ("store", "registry"):
                self._add_process(role, ip)
        self.proxy_ips = [self._ip(2, number) for number in range(proxies)]
        for ip in self.proxy_ips:
            self._add_process("proxy", ip)
        self.servers = {
            f"{service}-{number}": self._server(service, service_index, number)
            for service_index, service in enumerate(SERVICES)
            for number in range(SERVERS_PER_SERVICE)
        }
        self.operator = Operator(self._streams(), self.rng, self.control_addresses)  # type: ignore[arg-type]
        self.routed_proxies: list[Address] = []
        self.sent_version = self.acknowledged_version = 0
        self.begin_draft([*SERVICES])
        self.route("a", "alpha", target_latency=PATIENT_TARGET)
        self.route(
            "quick",
            "beta",
            target_latency=IMPATIENT_TARGET,
            maximum_attempts=IMPATIENT_ATTEMPTS,
        )

    def shape(self, seconds: float) -> ClusterShape:
        """Returns the targets that a schedule is drawn for."""
        machines = tuple((f"store-{ip}", f"registry-{ip}") for ip in self.core_ips)
        proxies = tuple(f"proxy-{ip}" for ip in self.proxy_ips)
        return ClusterShape(proxies, machines, tuple(self.servers), seconds)

    def client(self, home: Address | None = None) -> Client:
        """Returns a new client; with a `home`, its proxy whenever that gets new connections."""
        rng = Random(self.rng.getrandbits(64))

        def fronts() -> list[Address]:
            return (
                [home] if home is not None and home in self.routed_proxies else self.routed_proxies
            )

        streams = LoopbackStreams(self._ip(9, 0), CLIENT_DELAY_SECONDS)
        return Client(streams, self.request_log, rng, fronts)  # type: ignore[arg-type]

    async def start(self) -> None:
        """Starts all processes, sends the first configuration and waits until proxies are ready.

        Raises:
            RuntimeError: The configuration was not acknowledged or a proxy did not become ready.
        """
        for server in self.servers.values():
            server.start()
        for process in self.processes.values():
            await process.start(is_first=True)
        if not await self.change(timeout_seconds=60.0):
            raise RuntimeError("the first configuration was not acknowledged")
        loop = asyncio.get_running_loop()
        deadline = loop.time() + 60.0
        while not all(await asyncio.gather(*(self.is_ready(ip) for ip in self.proxy_ips))):
            if loop.time() > deadline:
                raise RuntimeError("not all proxies became ready")
            await asyncio.sleep(0.2)

    async def watch_readiness(self) -> None:
        """Updates `routed_proxies` by readiness checks, as the platform does, until cancelled."""
        misses = dict.fromkeys(self.proxy_ips, 0)
        while True:
            answers = await asyncio.gather(*(self.is_ready(ip) for ip in self.proxy_ips))
            for ip, is_ready in zip(self.proxy_ips, answers, strict=True):
                misses[ip] = 0 if is_ready else misses[ip] + 1
            ready = [ip for ip in self.proxy_ips if misses[ip] < MAX_READINESS_MISSES]
            self.routed_proxies = [(ip, FRONT_PORT) for ip in ready or self.proxy_ips]
            await asyncio.sleep(READINESS_PERIOD_SECONDS)

    async def is_ready(self, ip: str) -> bool:
        """Returns whether a proxy reports that it is ready."""
        request = b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n"
        address = (ip, READINESS_PORT)
        answer = await exchange(self._streams(), address, request, 0.9)  # type: ignore[arg-type]
        return answer is not None and answer.status == HTTPStatus.OK

    async def change(self, timeout_seconds: float) -> bool:
        """Sends the draft as the next version and returns whether it was acknowledged."""
        self.sent_version += self.rng.choice((1, 1, 3))
        version = self.sent_version
        if not await self.operator.replace(self.body(version), timeout_seconds):
            return False
        self.acknowledged_version = max(version, self.acknowledged_version)
        return True

    async def kill_core(self) -> None:
        """Kills all processes of the core at the same moment and starts them again."""
        core = [process for process in self.processes.values() if process.ip in self.core_ips]
        await asyncio.gather(*(process.kill() for process in core))

    async def stop(self) -> None:
        """Stops every process and waits for it."""
        for server in self.servers.values():
            server.kill()
        await asyncio.gather(*(p.kill(restart=False) for p in self.processes.values()))
        for process in self.processes.values():  # also those that were just being restarted
            while process.is_running:
                await process.kill(restart=False)
                await asyncio.sleep(0.05)

    def _ip(self, kind: int, number: int) -> str:
        return f"127.{self.network}.{kind}.{number + 1}"

    def _streams(self) -> LoopbackStreams:
        return LoopbackStreams(self._ip(9, 0))

    def _server(self, service: str, service_index: int, number: int) -> LoopbackServer:
        address = (self._ip(3, 50 * service_index + number), SERVER_PORT)
        rng = Random(self.rng.getrandbits(64))
        server = LoopbackServer(self.request_log, rng, address, service, ZONES[number % len(ZONES)])
        server.cores = [*self.control_addresses]
        server.slow_seconds = SLOW_SECONDS
        return server

    def _add_process(self, role: str, ip: str) -> None:
        name = f"{role}-{ip}"
        path = self.folder / f"{name}.conf"

        def write_settings(is_first: bool) -> None:
            # a program that is starting never reads an incomplete file
            new_path = path.with_suffix(".new")
            new_path.write_text(self._settings(role, ip, is_first))
            new_path.replace(path)

        module = f"loomstand.{role}"
        log_path = self.folder / f"{name}.log"
        self.processes[name] = ProgramProcess(name, module, ip, write_settings, path, log_path)

    def _settings(self, role: str, ip: str, is_first: bool) -> str:
        """Returns the text of a settings file, with the seed nodes in random order."""
        seeds = self.rng.sample(self.control_addresses, len(self.control_addresses))
        served = {"proxy": "frontend", "registry": "control_plane", "store": ""}[role]
        listens = {
            "proxy": {"frontend": FRONT_PORT, "readiness": READINESS_PORT},
            "registry": {"control_plane": CONTROL_PORT},
            "store": {},
        }[role]
        lines = [f"network.listen_addresses.{key}={ip}:{port}" for key, port in listens.items()]
        if role == "store":
            disk = self.folder / f"disk-{ip}"
            disk.mkdir(exist_ok=True)
            lines.append(f"self.data_directory={disk}")
        return SETTINGS.format(
            name=f"n-{ip}",
            serves=served,
            ip=ip,
            zone=ZONES[int(ip.rsplit(".", 1)[1]) % len(ZONES)],
            is_core=str(role != "proxy").lower(),
            is_first=str(is_first).lower(),
            addresses="\n".join(lines),
            ports=INTERNAL_PORTS,
            seeds=",".join(f"{host}:{port}" for host, port in seeds),
        )
