"""Runs one seed of the soak test and reports its faults. See `docs/soak.md`."""

from __future__ import annotations

import asyncio
import tempfile
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass, field
from http import HTTPStatus
from math import inf
from pathlib import Path
from random import Random

import psutil

from loomstand.testing.soak.checks import (
    DRAIN_SECONDS,
    CoreKill,
    Drain,
    abandoned_runs,
    given_up_requests,
    late_arrivals,
    lost_requests,
    needless_overdue,
)
from loomstand.testing.soak.clients import SoakClients
from loomstand.testing.soak.cluster import FRONT_PORT, SoakCluster
from loomstand.testing.soak.processes import ProgramProcess
from loomstand.testing.soak.schedule import Action, Step, draw_schedule
from loomstand.testing.soak.timing import GRACE_SECONDS

KEPT_ROUTES = 2  # with more added routes than this, a change may remove the oldest
REMOVED_ROUTE_SHARE = 0.5  # of the changes that may remove a route
DRAIN_SLACK_SECONDS = 0.3  # a draining server serves this much longer than required
CHANGE_TIMEOUT_SECONDS = 20.0  # for all attempts of the operator to send one change
# From the last disturbance to the final checks: the core catches up, changes come into force.
CALM_SECONDS = 8.0
FINAL_REQUESTS = 100
MIN_SERVED_SHARE = 0.99  # of the final requests
MAX_IDLE_DESCRIPTORS = 150  # file descriptors of a proxy at rest
# Servers keep idle connections for 10 s; proxies look for those once a second.
REST_SECONDS = 11.0
MEMORY_SHARE = 0.5  # of the machine's memory, for all processes together


@dataclass(frozen=True, slots=True)
class SoakOptions:
    """Options of a run.

    Attributes:
        seed: Seed of the schedule and all other random choices.
        seconds: Duration of the disturbances.
        proxies: Number of proxies.
        network: Second octet of its loopback addresses.
        keep_folder: Folder to keep settings, logs and disks in; None to delete them.
    """

    seed: int
    seconds: float = 12.0
    proxies: int = 4
    network: int = 77
    keep_folder: Path | None = None


@dataclass(slots=True)
class SoakReport:
    """Results of a run.

    Attributes:
        seed: Its seed.
        faults: Descriptions of the faults; empty if there were none.
        steps: Number of disturbances by action.
        endings: Number of requests by status, or by how the connection ended without one.
        processes: Number of concurrent processes.
        memory_mb: Their resident memory together.
    """

    seed: int
    faults: list[str] = field(default_factory=list)
    steps: Counter[str] = field(default_factory=Counter)
    endings: Counter[str] = field(default_factory=Counter)
    processes: int = 0
    memory_mb: float = 0.0

    def summary(self) -> str:
        """Returns the report as one line."""
        steps = ", ".join(f"{name.lower()} {count}" for name, count in sorted(self.steps.items()))
        ends = ", ".join(f"{name} {count}" for name, count in sorted(self.endings.items()))
        verdict = "ok" if not self.faults else f"{len(self.faults)} FAULTS"
        return (
            f"seed {self.seed}: {verdict}; {self.processes} processes, {self.memory_mb:.0f} MB;"
            f" {steps}; requests: {ends}"
        )


class SoakRun:
    """One run: the cluster, its clients and the execution of the schedule."""

    def __init__(self, options: SoakOptions, folder: Path) -> None:
        """Creates a run whose settings, logs and disks go to `folder`."""
        self.options = options
        self.cluster = SoakCluster(options.seed, options.proxies, options.network, folder)
        self.report = SoakReport(options.seed)
        self.rng = Random(options.seed ^ 0x5EED)
        self.drains: list[Drain] = []
        self.core_kill: CoreKill | None = None
        self.clients = SoakClients(self.cluster, self.report.endings)
        self.tasks: list[asyncio.Task[None]] = []

    async def run(self) -> SoakReport:
        """Starts the cluster, executes the schedule and checks the results."""
        cluster = self.cluster
        try:
            await cluster.start()
            readiness = asyncio.create_task(cluster.watch_readiness())
            await asyncio.sleep(0.5)
            clients = self.clients.start()
            self.measure()
            await self.disturb(
                draw_schedule(self.options.seed, cluster.shape(self.options.seconds))
            )
            await asyncio.sleep(CALM_SECONDS)
            self.clients.is_over = True
            await asyncio.gather(*clients)
            for process in cluster.processes.values():
                process.check_running()
            await self.check_end()
            readiness.cancel()
        finally:
            await cluster.stop()
        self.check_all()
        return self.report

    # disturbances

    async def disturb(self, steps: list[Step]) -> None:
        """Starts each step at its time and waits for all of them to end."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        for step in steps:
            await asyncio.sleep(max(0.0, began + step.at - loop.time()))
            self.report.steps[step.action.name] += 1
            self.tasks.append(asyncio.create_task(self.carry_out(step)))
        await asyncio.gather(*self.tasks)

    def carry_out(self, step: Step) -> Coroutine[None, None, None]:
        """Returns the coroutine that carries out a step."""
        process = self.cluster.processes.get(step.target)
        if process is None:
            return self.carry_out_on_cluster(step)
        return self.carry_out_on_process(step, process)

    async def carry_out_on_process(self, step: Step, process: ProgramProcess) -> None:
        """Carries out a step that concerns a process."""
        match step.action:
            case Action.TERMINATE:
                await process.terminate(GRACE_SECONDS)
            case Action.TERMINATE_BUSY:
                await process.terminate_busy(
                    lambda: self.clients.is_serving(process.ip), GRACE_SECONDS
                )
            case Action.KILL:
                await process.kill()
            case Action.FREEZE:
                await process.freeze(step.seconds)
            case Action.HANG_UP:
                await process.hang_up()
            case _:
                await process.terminate_again()

    async def carry_out_on_cluster(self, step: Step) -> None:
        """Carries out a step that concerns the operator, a server or the clients."""
        match step.action:
            case Action.CHANGE:
                await self.change()
            case Action.DRAIN:
                await self.drain(step.target)
            case Action.LEAVE:
                await self.leave(step.target, step.seconds)
            case Action.KILL_CORE:
                await self.kill_core()
            case Action.SLOW:
                await self.make_faulty(step.target, "slow", step.seconds)
            case Action.EARLY:
                await self.make_faulty(step.target, "early", step.seconds)
            case _:
                until = asyncio.get_running_loop().time() + step.seconds
                self.clients.impatient_until = max(self.clients.impatient_until, until)

    async def change(self) -> None:
        """Sends a configuration with an added route, and sometimes without the oldest added one."""
        cluster = self.cluster
        added = sorted(name for kind, name in cluster.resources if name.startswith("added-"))
        if len(added) > KEPT_ROUTES and self.rng.random() < REMOVED_ROUTE_SHARE:
            del cluster.resources["routes", added[0]]
        cluster.route(f"added-{cluster.sent_version:04d}", self.rng.choice(("alpha", "beta")))
        if not await cluster.change(CHANGE_TIMEOUT_SECONDS):
            self.report.faults.append(
                f"a change was not acknowledged in {CHANGE_TIMEOUT_SECONDS} s"
            )

    async def drain(self, name: str) -> None:
        """Drains a server, which then returns as a new instance."""
        server = self.cluster.servers[name]
        if server.is_departing:
            return
        old_id, acknowledged_at = await server.drain_and_return(DRAIN_SECONDS + DRAIN_SLACK_SECONDS)
        self.drains.append(Drain(old_id, acknowledged_at))

    async def leave(self, name: str, serve_on_seconds: float) -> None:
        """Lets a server leave without draining; it then returns as a new instance."""
        server = self.cluster.servers[name]
        if server.is_departing:
            return
        await server.leave_and_return(
            serve_on_seconds, lambda old_id, at: self.drains.append(Drain(old_id, at))
        )

    async def kill_core(self) -> None:
        """Kills the whole core; it starts again at once."""
        now = asyncio.get_running_loop().time
        killed_at = now()
        self.core_kill = CoreKill(killed_at, inf)
        await self.cluster.kill_core()
        self.core_kill = CoreKill(killed_at, now())

    async def make_faulty(self, name: str, fault: str, seconds: float) -> None:
        """Gives a server a fault for some time."""
        server = self.cluster.servers[name]
        server.fault = fault
        await asyncio.sleep(seconds)
        server.fault = ""

    # checks

    def measure(self) -> None:
        """Records the number of processes and their memory.

        Raises:
            RuntimeError: They use more than `MEMORY_SHARE` of the machine's memory.
        """
        running = [p.process.pid for p in self.cluster.processes.values() if p.process is not None]
        resident = sum(psutil.Process(pid).memory_info().rss for pid in running)
        if resident > MEMORY_SHARE * psutil.virtual_memory().total:
            raise RuntimeError(f"{resident / 1e6:.0f} MB are over half of the machine's memory")
        self.report.processes = len(running)
        self.report.memory_mb = resident / 1e6

    async def check_end(self) -> None:
        """Checks at the end that the newest configuration is in force and requests are served."""
        cluster = self.cluster
        faults = self.report.faults
        read = await cluster.operator.read()
        version = f'"version":"r{cluster.acknowledged_version}"'
        if version.encode() not in read.replace(b" ", b""):
            faults.append(f"LOST: {version} was acknowledged, read back: {read[:40]!r}")
        client = cluster.client()
        newest = max(
            (name for _, name in cluster.resources if name.startswith("added-")), default="a"
        )
        replies = []
        for ip in cluster.proxy_ips:
            request = client.new_request(
                "GET", "town.example", f"/{newest}/x", "key-of-ann", idempotent=True
            )
            reply = await client.send_once(request, (ip, FRONT_PORT))
            if reply.status != HTTPStatus.OK:
                faults.append(f"CONFIG: {ip} answers {reply.ending} on the newest route {newest}")
        for _ in range(FINAL_REQUESTS):
            front = (self.rng.choice(cluster.proxy_ips), FRONT_PORT)
            request = client.new_request(
                "GET", "town.example", "/a/x", "key-of-ann", idempotent=True
            )
            replies.append(await client.send_once(request, front))
        served = sum(reply.status == HTTPStatus.OK for reply in replies) / len(replies)
        if served < MIN_SERVED_SHARE:
            faults.append(f"RECOVER: {served:.2f} of the last requests were served")
        for connection in client.idle.values():
            connection.transport.close()
        await self.check_descriptors()

    async def check_descriptors(self) -> None:
        """Checks that no proxy keeps many descriptors open at rest.

        A proxy is at rest once its clients have disconnected and the connections to servers have
        been idle for as long as servers keep them.
        """
        if self.proxies_with_many_descriptors():
            await asyncio.sleep(REST_SECONDS)
        for name, count in self.proxies_with_many_descriptors().items():
            self.report.faults.append(f"{name}: {count} descriptors at rest")

    def proxies_with_many_descriptors(self) -> dict[str, int]:
        """Returns the number of descriptors of the running proxies that have too many for rest."""
        counts = {
            name: psutil.Process(process.process.pid).num_fds()
            for name, process in self.cluster.processes.items()
            if name.startswith("proxy-") and process.is_running and process.process is not None
        }
        return {name: count for name, count in counts.items() if count > MAX_IDLE_DESCRIPTORS}

    def check_all(self) -> None:
        """Runs the checks over the request log and the processes after all have exited."""
        request_log = self.cluster.request_log
        faults = self.report.faults
        try:
            request_log.check()
        except AssertionError:
            faults.extend(request_log.violations)
        for checked in (
            lost_requests(request_log, self.was_disturbed),
            given_up_requests(request_log, self.was_disturbed, self.terminations()),
            abandoned_runs(request_log, self.was_disturbed),
            late_arrivals(request_log, self.drains, self.was_disturbed, self.core_kill),
        ):
            faults.extend(checked)
        for process in self.cluster.processes.values():
            faults.extend(process.check_log())
            faults.extend(needless_overdue(request_log, process.ip, process.overdue))

    def terminations(self) -> dict[str, list[float]]:
        """Returns when each proxy got SIGTERM, by its address."""
        return {
            ip: [
                disturbance.began
                for disturbance in self.cluster.processes[f"proxy-{ip}"].disturbances
                if disturbance.is_planned
            ]
            for ip in self.cluster.proxy_ips
        }

    def was_disturbed(self, ip: str, since: float, until: float, planned_too: bool) -> bool:
        """See `checks.WasDisturbed`."""
        process = self.cluster.processes.get(f"proxy-{ip}")
        return process is None or process.was_disturbed(since, until, planned_too)


def run_seed(options: SoakOptions) -> SoakReport:
    """Runs one seed in its own folder."""

    async def run(folder: Path) -> SoakReport:
        return await SoakRun(options, folder).run()

    if options.keep_folder is not None:
        options.keep_folder.mkdir(parents=True)
        return asyncio.run(run(options.keep_folder))
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        return asyncio.run(run(Path(folder)))
