"""Plays one seed of the soak test and says what broke. See `docs/soak.md`."""

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

from loomstand.testing.simulation.http_log import Reply
from loomstand.testing.soak.checks import (
    DRAIN_SECONDS,
    Drain,
    abandoned_runs,
    late_arrivals,
    lost_requests,
    needless_overdue,
)
from loomstand.testing.soak.cluster import FRONT_PORT, SoakCluster
from loomstand.testing.soak.schedule import Action, Step, draw_schedule
from loomstand.testing.soak.timing import GRACE_SECONDS

IDEMPOTENT_SHARE = 0.6  # of the requests
KEPT_ROUTES = 2  # of those that are added; of more the oldest goes in this share of the changes
REMOVED_ROUTE_SHARE = 0.5
DRAIN_SLACK_SECONDS = 0.3  # a server serves on for a little longer than it has to
CLIENTS = 24  # at once, each with connections of its own
THINK_SECONDS = (0.0, 0.15)  # a client's pause between two requests
KEPT_SHARE = 0.7  # of the requests that go by an open connection, where there is one
TIMEOUT_SECONDS = 5.0  # that clients state
PATIENCE_SECONDS = (0.01, 0.3)  # after which a client in a hurry leaves
HURRY_SHARE = 0.5  # of the requests, while clients are in a hurry
CHANGE_WITHIN_SECONDS = 20.0  # an operator's tries of one change
# After the last disturbance: the core has caught up, changes are in force.
CALM_SECONDS = 8.0
FINAL_REQUESTS = 100
MIN_SERVED_SHARE = 0.99  # of the final requests
MAX_IDLE_DESCRIPTORS = 150  # of a proxy without clients
MEMORY_SHARE = 0.5  # of the machine's memory, that all processes together may take


@dataclass(frozen=True, slots=True)
class SoakOptions:
    """What a run is like.

    Attributes:
        seed: Draws the schedule and all else.
        seconds: How long disturbances go on.
        proxies: How many proxies.
        network: Second number of its loopback addresses.
        keep_folder: Where settings, logs and disks are left; None to throw them away.
    """

    seed: int
    seconds: float = 12.0
    proxies: int = 4
    network: int = 77
    keep_folder: Path | None = None


@dataclass(slots=True)
class SoakReport:
    """What came of a run.

    Attributes:
        seed: Its seed.
        faults: What broke; empty if nothing did.
        steps: How many disturbances there were, by action.
        endings: How many requests ended in each way, by status, or by how the connection ended.
        processes: How many processes ran at once.
        memory_mb: What they took together.
    """

    seed: int
    faults: list[str] = field(default_factory=list)
    steps: Counter[str] = field(default_factory=Counter)
    endings: Counter[str] = field(default_factory=Counter)
    processes: int = 0
    memory_mb: float = 0.0

    def line(self) -> str:
        """Returns it in a line."""
        steps = ", ".join(f"{name.lower()} {count}" for name, count in sorted(self.steps.items()))
        ends = ", ".join(f"{name} {count}" for name, count in sorted(self.endings.items()))
        verdict = "ok" if not self.faults else f"{len(self.faults)} FAULTS"
        return (
            f"seed {self.seed}: {verdict}; {self.processes} processes, {self.memory_mb:.0f} MB;"
            f" {steps}; requests: {ends}"
        )


class SoakRun:
    """One run: the cluster, its clients, and the schedule that is carried out."""

    def __init__(self, options: SoakOptions, folder: Path) -> None:
        """`folder` takes settings, logs and disks."""
        self.options = options
        self.cluster = SoakCluster(options.seed, options.proxies, options.network, folder)
        self.report = SoakReport(options.seed)
        self.rng = Random(options.seed ^ 0x5EED)
        self.drains: list[Drain] = []
        self.hurried_until = -inf
        self.is_over = False
        self.tasks: list[asyncio.Task[None]] = []

    async def play(self) -> SoakReport:
        """Starts all, lets the schedule pass, and checks what was seen."""
        cluster = self.cluster
        try:
            await cluster.start()
            readiness = asyncio.create_task(cluster.watch_readiness())
            await asyncio.sleep(0.5)
            clients = [asyncio.create_task(self.use()) for _ in range(CLIENTS)]
            self.measure()
            await self.disturb(
                draw_schedule(self.options.seed, cluster.shape(self.options.seconds))
            )
            await asyncio.sleep(CALM_SECONDS)
            self.is_over = True
            await asyncio.gather(*clients)
            for process in cluster.processes.values():
                process.check_running()
            await self.check_end()
            readiness.cancel()
        finally:
            await cluster.stop()
        self.check_all()
        return self.report

    # what is done

    async def disturb(self, steps: list[Step]) -> None:
        """Carries the steps out, each at its time, and waits for their ends."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        for step in steps:
            await asyncio.sleep(max(0.0, began + step.at - loop.time()))
            self.report.steps[step.action.name] += 1
            self.tasks.append(asyncio.create_task(self.carry_out(step)))
        await asyncio.gather(*self.tasks)

    def carry_out(self, step: Step) -> Coroutine[None, None, None]:
        """Returns what a step does."""
        process = self.cluster.processes.get(step.target)
        if process is None:
            return self.act_outside(step)
        match step.action:
            case Action.TERMINATE:
                return process.terminate(GRACE_SECONDS)
            case Action.KILL:
                return process.kill()
            case Action.FREEZE:
                return process.freeze(step.seconds)
            case Action.HANG_UP:
                return process.hang_up()
            case _:
                return process.terminate_again()

    async def act_outside(self, step: Step) -> None:
        """Does what concerns no process: the operator, the servers, the clients."""
        match step.action:
            case Action.CHANGE:
                await self.change()
            case Action.DRAIN:
                await self.drain(step.target)
            case Action.SLOW:
                server = self.cluster.servers[step.target]
                server.fault = "slow"
                await asyncio.sleep(step.seconds)
                server.fault = ""
            case _:
                until = asyncio.get_running_loop().time() + step.seconds
                self.hurried_until = max(self.hurried_until, until)

    async def change(self) -> None:
        """The operator adds a route, and takes one away now and then."""
        cluster = self.cluster
        added = sorted(name for kind, name in cluster.resources if name.startswith("added-"))
        if len(added) > KEPT_ROUTES and self.rng.random() < REMOVED_ROUTE_SHARE:
            del cluster.resources["routes", added[0]]
        cluster.route(f"added-{cluster.sent_version:04d}", self.rng.choice(("alpha", "beta")))
        if not await cluster.change(CHANGE_WITHIN_SECONDS):
            self.report.faults.append(f"a change was not acknowledged in {CHANGE_WITHIN_SECONDS} s")

    async def drain(self, name: str) -> None:
        """A server leaves in order, and another takes its place."""
        server = self.cluster.servers[name]
        if server.state == "draining":
            return
        former, acknowledged_at = await server.drain_and_return(DRAIN_SECONDS + DRAIN_SLACK_SECONDS)
        self.drains.append(Drain(former, acknowledged_at))

    # clients

    async def use(self) -> None:
        """A client: one request after the other, mostly on connections that it has open.

        It goes on with an open connection until that ends, whatever the platform says of the proxy.
        """
        client = self.cluster.client()
        rng = client.rng
        while not self.is_over:
            kept = [front for front, talk in client.idle.items() if not talk.closed_reason]
            if kept and rng.random() < KEPT_SHARE:
                front = rng.choice(kept)
            else:
                front = rng.choice(self.cluster.routed_proxies)
            is_idempotent = rng.random() < IDEMPOTENT_SHARE
            method, path = ("GET", "/a/x") if is_idempotent else ("POST", "/once/x")
            body = b"" if is_idempotent else b"body " * 20
            ask = client.new_request(
                method, "town.example", path, "key-of-ann", body, is_idempotent
            )
            in_hurry = asyncio.get_running_loop().time() < self.hurried_until
            is_impatient = in_hurry and rng.random() < HURRY_SHARE
            patience = rng.uniform(*PATIENCE_SECONDS) if is_impatient else inf
            reply = await client.send_once(ask, front, TIMEOUT_SECONDS, patience)
            self.report.endings[ending(reply)] += 1
            await asyncio.sleep(rng.uniform(*THINK_SECONDS))
        for talk in client.idle.values():
            talk.transport.close()

    # what must hold

    def measure(self) -> None:
        """Notes how many processes there are and what they take.

        Raises:
            RuntimeError: More than this machine is to give.
        """
        running = [p.process.pid for p in self.cluster.processes.values() if p.process is not None]
        resident = sum(psutil.Process(pid).memory_info().rss for pid in running)
        if resident > MEMORY_SHARE * psutil.virtual_memory().total:
            raise RuntimeError(f"{resident / 1e6:.0f} MB are over half of the machine's memory")
        self.report.processes = len(running)
        self.report.memory_mb = resident / 1e6

    async def check_end(self) -> None:
        """After the calm: the newest configuration is in force everywhere, and all is served."""
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
            ask = client.new_request(
                "GET", "town.example", f"/{newest}/x", "key-of-ann", idempotent=True
            )
            reply = await client.send_once(ask, (ip, FRONT_PORT))
            if reply.status != HTTPStatus.OK:
                faults.append(f"CONFIG: {ip} answers {ending(reply)} on the newest route {newest}")
        for _ in range(FINAL_REQUESTS):
            front = (self.rng.choice(cluster.proxy_ips), FRONT_PORT)
            ask = client.new_request("GET", "town.example", "/a/x", "key-of-ann", idempotent=True)
            replies.append(await client.send_once(ask, front))
        served = sum(reply.status == HTTPStatus.OK for reply in replies) / len(replies)
        if served < MIN_SERVED_SHARE:
            faults.append(f"RECOVER: {served:.2f} of the last requests were served")
        for talk in client.idle.values():
            talk.transport.close()
        self.check_descriptors()

    def check_descriptors(self) -> None:
        """No proxy holds many descriptors once its clients have gone."""
        for name, process in self.cluster.processes.items():
            if name.startswith("proxy-") and process.runs and process.process is not None:
                count = psutil.Process(process.process.pid).num_fds()
                if count > MAX_IDLE_DESCRIPTORS:
                    self.report.faults.append(f"{name}: {count} descriptors at rest")

    def check_all(self) -> None:
        """What the book and the processes tell once all have ended."""
        request_log = self.cluster.request_log
        faults = self.report.faults
        try:
            request_log.check()
        except AssertionError:
            faults.extend(request_log.violations)
        for checked in (
            lost_requests(request_log, self.was_disturbed),
            abandoned_runs(request_log, self.was_disturbed),
            late_arrivals(request_log, self.drains, self.was_disturbed),
        ):
            faults.extend(checked)
        for process in self.cluster.processes.values():
            faults.extend(process.check_log())
            faults.extend(needless_overdue(request_log, process.ip, process.overdue_at))

    def was_disturbed(self, ip: str, since: float, until: float, planned_too: bool) -> bool:
        """See `checks.WasDisturbed`."""
        process = self.cluster.processes.get(f"proxy-{ip}")
        return process is None or process.was_disturbed(since, until, planned_too)


def ending(reply: Reply) -> str:
    """Returns how a request ended, in a word."""
    return str(reply.status) if reply.status else reply.end


def play(options: SoakOptions) -> SoakReport:
    """Plays one seed in a folder of its own."""

    async def run(folder: Path) -> SoakReport:
        return await SoakRun(options, folder).play()

    if options.keep_folder is not None:
        options.keep_folder.mkdir(parents=True)
        return asyncio.run(run(options.keep_folder))
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        return asyncio.run(run(Path(folder)))
