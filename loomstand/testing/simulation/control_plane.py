"""Core machines under random faults, with operators whose reads and changes are checked.

    python -m loomstand.testing.simulation.control_plane 1000 300

runs 300 seeds from 1000 on; the exit status is 1 if a check fails for one of them.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Sequence
from random import Random

from loomstand.store.timing import LEASE_SECONDS
from loomstand.testing.simulation.cluster import CONTROL_PORT, Cluster
from loomstand.testing.simulation.http_log import Message, exchange, post
from loomstand.testing.simulation.streams import Host

CALL_TIMEOUT_SECONDS = 30.0  # long, so that late answers are checked, too
# An answer may contain a version that was superseded up to this long before the answer arrives: the
# core machine may have forwarded the read, and the answer takes time on its way back.
READ_STALENESS_SECONDS = LEASE_SECONDS + 0.1


class ControlPlane(Cluster):
    """Core machines without proxies; records the versions that were sent and acknowledged."""

    def __init__(self, seed: int, cores: int = 3) -> None:
        super().__init__(seed, cores, proxies=0, servers=0)
        self.use_default_configuration()
        # (time of the acknowledgement, newest acknowledged version by then)
        self.acked: list[tuple[float, int]] = [(0.0, 0)]
        self.sent: dict[int, bytes] = {}
        self.reads, self.unacknowledged = 0, 0

    async def start(self) -> None:
        """Starts the core machines and waits until one acknowledges a change."""
        for host in self.hosts():
            host.start()
        while await self.send_change(self.core_ips[0], 1.0) != 200:
            await asyncio.sleep(0.2)
        self.first = False

    def hosts(self, ip: str = "") -> list[Host]:
        """Returns the registry and the store of one core machine, or of all."""
        ips = [ip] if ip else self.core_ips
        return [h for i in ips for h in self.core(i)]

    def newest_acknowledged(self, at: float) -> int:
        """Returns the newest version that was acknowledged by a time."""
        return max(v for t, v in self.acked if t <= at)

    async def call(self, ip: str, call: str, body: bytes, within: float) -> Message | None:
        """Sends a call to a core machine; returns None if no answer comes in time."""
        return await exchange(self.operator.streams, (ip, CONTROL_PORT), post(call, body), within)

    async def send_change(
        self, ip: str, within: float = CALL_TIMEOUT_SECONDS, version: int = 0
    ) -> int:
        """Sends a change, a new one or `version` again; returns its status, 0 without an answer."""
        if not version:
            self.version += self.rng.choice((1, 1, 3))
            version = self.version
            self.sent[version] = self.body(version)
        answer = await self.call(ip, "configuration.replace", self.sent[version], within)
        status = answer.status if answer else 0
        assert status in (0, 200, 503), f"{ip} refused r{version}, a valid change: {answer}"
        if status == 200:
            self.acked.append((self.loop.time(), max(version, self.acked[-1][1])))
        else:
            self.unacknowledged += 1
        return status

    async def read_version(self, ip: str, within: float = CALL_TIMEOUT_SECONDS) -> int:
        """Reads the configuration; returns its version, 0 if the machine returns none."""
        asked_at = self.loop.time()
        answer = await self.call(ip, "configuration.read", b"", within)
        if answer is None or answer.status != 200:
            assert answer is None or answer.status == 503, answer
            return 0
        version = int(json.loads(answer.body)["version"][1:])
        lowest = self.newest_acknowledged(max(asked_at, self.loop.time() - READ_STALENESS_SECONDS))
        assert version >= lowest, (
            f"{ip} handed out r{version} at {self.loop.time():.3f}, r{lowest} was in force"
        )
        assert answer.body == self.sent[version]
        self.reads += 1
        return version

    def primary(self) -> str:
        """Returns the core machine whose store serves as primary, or an empty string."""
        return next((ip for ip in self.core_ips if self.is_serving(ip)), "")

    async def check_recovered(self) -> None:
        """Checks that a change is acknowledged and the newest version read, within four rounds."""
        for ip in self.core_ips * 4:
            if (
                await self.send_change(ip, 1.0) == 200
                and await self.read_version(ip, 1.0) >= self.acked[-1][1]
            ):
                return
            await asyncio.sleep(0.1)
        raise AssertionError("no faults, but no change is acknowledged or read back")


class CoreFaults:
    """Random faults of core machines while changes are in progress; at most one disk is lost at a
    time.
    """

    def __init__(self, plane: ControlPlane, rng: Random) -> None:
        self.plane, self.rng, self.machine_count = plane, rng, len(plane.core_ips)

    async def send_operations(self) -> None:
        """Sends changes and reads to random machines, some changes twice or two at once."""
        plane, rng = self.plane, self.rng
        while True:
            await asyncio.sleep(rng.uniform(0.01, 0.4))
            ips = rng.sample(plane.core_ips, 2)
            plane.run_in_background(plane.send_change(ips[0]))
            if rng.random() < 0.4:
                plane.run_in_background(plane.send_change(ips[1]))
            if rng.random() < 0.4:
                plane.run_in_background(
                    plane.send_change(ips[1], version=rng.choice([*plane.sent][-4:]))
                )
            plane.run_in_background(plane.read_version(rng.choice(plane.core_ips)))

    def draw_machine(self) -> str:
        """Draws a core machine, with probability 1/2 the one whose store is primary."""
        primary = self.plane.primary()
        return (
            primary if primary and self.rng.random() < 0.5 else self.rng.choice(self.plane.core_ips)
        )

    async def inject(self) -> None:
        """Injects one random fault and ends it."""
        plane, rng, ip = self.plane, self.rng, self.draw_machine()
        seconds = rng.choice((0.3, 1.2, 2.0, 4.0))
        hosts = plane.hosts(ip)
        hosts = rng.choice((hosts, hosts, hosts[:1], hosts[1:]))
        kind = rng.choice(
            (
                "kill",
                "power",
                "wipe",
                "wipe",
                "freeze",
                "freeze",
                "cut",
                "cut incoming",
                "cut outgoing",
                "cut from two",
                "leave",
            )
            + ("exchange",) * (len(plane.core_ips) > 3)
        )
        if kind in ("kill", "freeze"):
            for host in hosts:
                host.kill() if kind == "kill" else host.freeze()
            await asyncio.sleep(seconds)
            for host in hosts:
                host.start() if kind == "kill" else host.thaw()
        elif kind in ("power", "wipe"):
            for host in plane.hosts(ip):
                host.power_off(wipe=kind == "wipe")
            await asyncio.sleep(seconds)
            for host in plane.hosts(ip):
                host.start()
            # the bound `catch_up`: until then a second lost disk isn't tolerated
            await asyncio.sleep(4.0 * (kind == "wipe"))
        elif kind.startswith("cut"):
            for other in plane.core_ips[: 2 if kind == "cut from two" else None]:
                if other != ip:
                    link = (other, ip) if kind == "cut incoming" else (ip, other)
                    plane.network.cut(*link, both=kind in ("cut", "cut from two"))
            await asyncio.sleep(seconds)
            plane.network.heal()
        elif kind == "leave":
            await asyncio.gather(*(host.terminate() for host in plane.hosts(ip)))
            for host in plane.hosts(ip):
                host.start()
        else:
            await self.replace_machine(ip)

    async def replace_machine(self, ip: str) -> None:
        """Adds a new machine and removes an old one with its disk."""
        plane = self.plane
        self.machine_count += 1
        new = f"10.1.0.{self.machine_count}"
        plane.registries[new] = plane.make_host(new, plane.registry_factory(new))
        plane.stores[new] = plane.make_host(new, plane.store_factory(new))
        plane.core_ips = [new if other == ip else other for other in plane.core_ips]
        for host in plane.hosts(new):
            host.start()
        await asyncio.sleep(self.rng.choice((0.1, 1.0)))
        await asyncio.gather(*(host.terminate() for host in plane.core(ip)))
        for host in plane.core(ip):
            host.power_off(wipe=True)
        await asyncio.sleep(4.0)


def run_random_faults(seed: int, steps: int = 6) -> ControlPlane:
    """Simulates `steps` random faults during changes and reads, then checks the recovery."""
    plane = ControlPlane(seed, 3 + seed % 2)
    faults = CoreFaults(plane, Random(seed))

    async def run() -> None:
        await plane.start()
        operators = plane.run_in_background(faults.send_operations())
        for _ in range(steps):
            await faults.inject()
            await asyncio.sleep(faults.rng.choice((0.05, 0.5, 2.0)))
        operators.cancel()
        await asyncio.sleep(5.0)
        await plane.check_recovered()

    try:
        plane.run(run())
        for task in plane.background_tasks:
            if task.done() and not task.cancelled():
                task.result()
    finally:
        plane.close()
    return plane


def main(arguments: Sequence[str]) -> int:
    """Runs the seeds and prints those with a failed check; returns 1 if there are any, else 0."""
    first_seed, count = int(arguments[0]), int(arguments[1])
    broken, reads, acked = list[int](), 0, 0
    for seed in range(first_seed, first_seed + count):
        try:
            plane = run_random_faults(seed, 8)
        except AssertionError as error:
            broken.append(seed)
            print(f"{seed}: {error}", flush=True)
        else:
            reads, acked = reads + plane.reads, acked + len(plane.acked) - 1
    print(f"{count} runs, {acked} acknowledgements, {reads} reads, broken: {broken or 'none'}")
    return int(bool(broken))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
