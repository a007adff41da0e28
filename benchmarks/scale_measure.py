"""Measures one size of the system; `scale_run` is the command.

The parts of a measurement, in order: start of the core, servers and limiters; a window at rest, one
with counter calls, requests through a real proxy; a window with changes of the configuration;
drains; loss of the primary store and of the counting registry; a cold start of the whole core.
"""

from __future__ import annotations

import asyncio
import json
import pstats
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random
from typing import Any

from hdrh.histogram import HdrHistogram

from benchmarks.scale_cluster import (
    FRONTEND_PORT,
    HEARTBEAT_SECONDS,
    ZONES,
    Child,
    Cluster,
    Cost,
    Limits,
    Size,
    SizeLimitError,
    free_net,
)
from loomstand.config.units import format_address

READY_TIMEOUT_SECONDS = 60.0  # for limiters to get the configuration and all servers
LIMITER_START_SECONDS = 1.0  # limiters start at random times in this span
SERVER_START_SECONDS = HEARTBEAT_SECONDS  # servers start at random times in this span
SETTLING_SECONDS = 2.0  # before a window
DRAIN_COUNT, MIN_CHANGES = 3, 3

Figures = dict[str, Any]


def times(values: list[float]) -> Figures:
    """Returns median, 99th percentile and maximum in ms, with three digits, of times in seconds."""
    histogram = HdrHistogram(1, 3_600_000_000, 3)
    for value in values:
        histogram.record_value(max(1, round(value * 1e6)))
    if not values:
        return {"n": 0}
    percentiles = {"median": 50.0, "p99": 99.0, "worst": 100.0}
    return {"n": len(values)} | {
        name: round(histogram.get_value_at_percentile(percentile) / 1000, 1)
        for name, percentile in percentiles.items()
    }


@dataclass(slots=True)
class Sample:
    """The counts of all processes at one time."""

    at: float
    costs: dict[str, tuple[Child, Cost]]
    counts: dict[str, Figures]
    cpu: dict[str, list[float]]  # user and kernel seconds, reported by each process
    hollow: Figures
    beats: list[int]  # heartbeats acknowledged, failed; connections opened for them


class Measurement:
    """The measurement of one size."""

    def __init__(
        self,
        cluster: Cluster,
        seconds: float,
        say: Callable[[str], None],
        events: bool,
        rates: tuple[float, ...] = (),
    ) -> None:
        self.cluster, self.size, self.seconds, self.say = cluster, cluster.size, seconds, say
        self.events, self.rates = events, rates if cluster.size.proxies else ()
        self.found: Figures = {"size": asdict(cluster.size)}
        self.draining = 0  # number of servers that drain
        self.clients: list[Child] = []
        self.rng = Random(1)

    # samples and windows

    async def order_workers(self, **order: Any) -> list[Figures]:
        """Sends an order to all processes of hollow limiters."""
        return await asyncio.gather(*(worker.order(**order) for worker in self.cluster.workers))

    async def figures(self) -> Figures:
        """Returns the combined figures of all workers."""
        each = await self.order_workers(do="figures")
        lists = {
            key: sorted(at for one in each for at in one[key])
            for key in ("whole", "whole_at", "passed_at")
        }
        sums = ("limiters", "known", "standing", "counted", "uncounted", "bytes_in", "bytes_out")
        figures: Figures = lists | {key: sum(one[key] for one in each) for key in sums}
        for key in ("forced", "gone"):
            figures[key] = {}
            for one in each:
                for name, at in one[key].items():
                    figures[key].setdefault(name, []).extend(at)
        for key in ("calls", "failed"):
            names = {name for one in each for name in one[key]}
            figures[key] = {name: sum(one[key].get(name, 0) for one in each) for name in names}
        figures["count_ms"] = [took for one in each for took in one["count_ms"]]
        figures["cpu"] = [one["cpu"] for one in each]
        return figures | {
            "fleet": max(one["fleet"] for one in each),
            "size": max(one["size"] for one in each),
        }

    async def sample(self) -> Sample:
        running = self.cluster.processes.running()
        self.cluster.processes.memory()
        costs = {child.name: (child, child.cost()) for child in running}
        at = time.monotonic()
        programs = [child for child in running if child.figures]
        counts = dict(
            zip(
                [c.name for c in programs],
                await asyncio.gather(*(c.counts() for c in programs)),
                strict=True,
            )
        )
        servers = await asyncio.gather(
            *(keeper.order(do="figures") for keeper in self.cluster.keepers)
        )
        hollow = await self.figures()
        cpu = {name: count["cpu"] for name, count in counts.items()}
        cpu |= {
            child.name: one["cpu"] for child, one in zip(self.cluster.keepers, servers, strict=True)
        }
        cpu |= {
            child.name: one for child, one in zip(self.cluster.workers, hollow["cpu"], strict=True)
        }
        beats = [sum(one[key] for one in servers) for key in ("beats", "beats_failed", "opened")]
        return Sample(at, costs, counts, cpu, hollow, beats)

    async def window(self, name: str, seconds: float) -> None:
        """Measures the cost of each role per second.

        The counting registry and the primary store are roles of their own.
        """
        counter, primary = await self.counter_and_primary()
        before = await self.sample()
        await asyncio.sleep(seconds)
        after = await self.sample()
        self.found[name] = self.costs_between(before, after, counter, primary)

    def costs_between(self, before: Sample, after: Sample, counter: str, primary: str) -> Figures:
        """Returns the costs per second of each role between two samples."""
        duration = after.at - before.at
        roles: dict[str, list[Figures]] = {}
        for child, cost in after.costs.values():
            if child.name not in before.cpu or child.name not in after.cpu:
                continue
            cpu_before, cpu_after, role = before.cpu[child.name], after.cpu[child.name], child.role
            role = (
                "counter" if child.name == counter else "primary" if child.name == primary else role
            )
            one: Figures = {
                "user_ms": 1000 * (cpu_after[0] - cpu_before[0]) / duration,
                "kernel_ms": 1000 * (cpu_after[1] - cpu_before[1]) / duration,
                "resident_mb": cost.resident / 1e6,
                "descriptors": float(cost.descriptors),
            }
            if now := after.counts.get(child.name):
                then = before.counts[child.name]
                for way in ("taken", "made"):
                    one[way] = sum(
                        (now[way][op] - then[way].get(op, 0)) / duration for op in now[way]
                    )
                for way, count in now["bytes"].items():
                    key = f"kb_{way.replace(' ', '_')}"
                    one[key] = (count - then["bytes"].get(way, 0)) / 1000 / duration
                ops = {
                    op: (n - then["taken"].get(op, 0)) / duration for op, n in now["taken"].items()
                }
                one["ops"] = {op: rate for op, rate in ops.items() if rate > 0}
            roles.setdefault(role, []).append(one)
        costs: Figures = {}
        for role, processes in roles.items():
            keys = {key for one in processes for key in one if key != "ops"}
            costs[role] = {
                key: round(sum(one.get(key, 0.0) for one in processes) / len(processes), 3)
                for key in sorted(keys)
            }
            ops = {op for one in processes for op in one.get("ops", {})}
            costs[role]["ops"] = {
                op: round(sum(o.get("ops", {}).get(op, 0) for o in processes) / len(processes), 2)
                for op in ops
            }
        n, a, b = self.size.limiters, before.hollow, after.hollow
        costs["limiter"] = {
            "calls": {
                op: round((b["calls"][op] - a["calls"].get(op, 0)) / duration / n, 3)
                for op in b["calls"]
            },
            "failed": {op: b["failed"][op] - a["failed"].get(op, 0) for op in b["failed"]},
            "kb_in": round((b["bytes_in"] - a["bytes_in"]) / 1000 / duration / n, 4),
            "kb_out": round((b["bytes_out"] - a["bytes_out"]) / 1000 / duration / n, 4),
        }
        for role in ("hollow", "keeper"):
            if role in costs:
                costs[role]["each_ms"] = round(
                    (costs[role]["user_ms"] + costs[role]["kernel_ms"])
                    * len(roles[role])
                    / (n if role == "hollow" else self.size.servers),
                    4,
                )
        for key, now, then in zip(
            ("beats", "beats failed", "opened"), after.beats, before.beats, strict=True
        ):
            costs[key] = round((now - then) / duration, 2)
        return costs | {"seconds": round(duration, 2)}

    async def status(self, n: int = 0) -> Figures:
        for step in range(20):
            code, body = await self.cluster.post("system.status", n=n + step, within=2.0)
            if code == 200:
                return json.loads(body)
            await asyncio.sleep(0.1)
        raise RuntimeError("no registry answers with its status")

    async def counter_and_primary(self) -> tuple[str, str]:
        """Returns the names of the counting registry and of the primary store."""
        status = await self.status()
        counter = status["counting"]["by"] or ""
        primary = ((status["store"] or {}).get("primary") or "").partition(":")[0]
        numbers = {self.cluster.core(n): n for n in range(self.size.cores)}
        return f"registry-{numbers.get(counter, -1)}", f"store-{numbers.get(primary, -1)}"

    async def wait_until(
        self, condition: Callable[[Figures], bool], within: float
    ) -> tuple[bool, Figures]:
        """Waits for a condition on the figures; returns whether it holds, and the figures."""
        started_at = time.monotonic()
        while not condition(figures := await self.figures()):
            if time.monotonic() - started_at > within:
                return False, figures
            await asyncio.sleep(0.2)
        return True, figures

    # the parts of a measurement

    async def run(self) -> Figures:
        await self.start()
        await asyncio.sleep(SETTLING_SECONDS)
        self.say("at rest")
        await self.window("rest", self.seconds)
        if self.size.counts > 0:
            self.say("counting")
            await self.counting()
        for rate in self.rates:
            self.say(f"{rate:g} requests a second")
            await self.traffic(rate)
        if self.events:
            self.say("changes")
            await self.changes()
            self.say("drains")
            await self.drains()
            self.say("takeovers")
            await self.primary_lost()
            await self.counter_lost()
            self.say("cold start of the core")
            await self.cold_start()
        self.found["memory_mb"] = round(self.cluster.processes.memory(), 1)
        self.found["processes"] = len(self.cluster.processes.running())
        return self.found

    async def start(self) -> None:
        """Starts the core, the servers and the limiters, in this order, and times each."""
        cluster, size = self.cluster, self.size
        self.say("core")
        started_at = time.monotonic()
        await cluster.start_core()
        _, acked, tries = await cluster.replace(30.0)
        places = []
        if self.rates:  # the servers' addresses must answer requests
            origin = await cluster.worker("origin", 0)
            await origin.order(
                do="origins", addresses=[list(address) for address in cluster.origins()]
            )
            places = [format_address(address) for address in cluster.origins()]
        self.found["first configuration"] = {"s": round(acked - started_at, 2), "tries": tries}
        self.say(f"{size.servers} servers")
        cluster.keepers = [await cluster.worker("keeper", n) for n in range(size.keepers)]
        per_keeper = -(-size.servers // size.keepers)
        controls = [list(address) for address in cluster.controls()]
        for n, keeper in enumerate(cluster.keepers):
            many = min(per_keeper, size.servers - n * per_keeper)
            await keeper.order(
                do="servers",
                first=n * per_keeper,
                many=many,
                services=max(1, min(size.routes, size.servers // 4)),
                zones=list(ZONES),
                controls=controls,
                every=HEARTBEAT_SECONDS,
                spread=SERVER_START_SECONDS,
                places=places[n * per_keeper : n * per_keeper + many],
            )
        started_at = time.monotonic()
        for _ in range(300):
            statuses = [await self.status(n) for n in range(size.cores)]
            if all(
                sum(n for s in status["servers"].values() for n in s.values()) >= size.servers
                for status in statuses
            ):
                break
            await asyncio.sleep(0.1)
        self.found["servers known"] = {"s": round(time.monotonic() - started_at, 2)}
        self.say(f"{size.limiters} limiters")
        for n in range(size.proxies):
            await cluster.program("proxy", n)
        cluster.workers = [await cluster.worker("hollow", n) for n in range(size.workers)]
        per_worker = -(-size.limiters // size.workers)
        text = cluster.settings("hollow", "hollow", cluster.core(0), True)
        orders = []
        for n, worker in enumerate(cluster.workers):
            many = min(per_worker, size.limiters - n * per_worker)
            orders.append(
                worker.order(
                    do="limiters",
                    settings=text,
                    first=n * per_worker,
                    many=many,
                    spread=LIMITER_START_SECONDS,
                    servers=size.servers,
                    version=cluster.version,
                )
            )
        await asyncio.gather(*orders)
        _, figures = await self.wait_until(
            lambda figures: len(figures["whole"]) >= size.limiters, READY_TIMEOUT_SECONDS
        )
        self.found["limiters start"] = times(figures["whole"]) | {"of": size.limiters}
        self.found["configuration bytes"] = figures["size"]

    async def counting(self) -> None:
        await self.order_workers(do="counts", rate=self.size.counts, tenants=self.size.tenants)
        await asyncio.sleep(SETTLING_SECONDS / 2)
        await self.window("counting", self.seconds)
        figures = await self.figures()
        self.found["counting"]["times"] = times([took / 1000 for took in figures["count_ms"]])
        await self.order_workers(do="counts", rate=0.0, tenants=1)

    async def changes(self) -> None:
        """Changes the configuration at its rate, and measures when the limiters get each change."""
        cluster, size = self.cluster, self.size
        seconds = self.seconds if size.changes else 0.0
        many = max(MIN_CHANGES, round(size.changes * seconds))
        interval = 1 / size.changes if size.changes else 1.0
        interval = min(interval, 1.0)  # MIN_CHANGES then take no longer than a window
        counter, primary = await self.counter_and_primary()
        before, sent, started_at = (
            await self.sample(),
            dict[str, tuple[float, float]](),
            time.monotonic(),
        )
        for n in range(many):
            await asyncio.sleep(max(0.0, started_at + n * interval - time.monotonic()))
            first, acked, _ = await cluster.replace(15.0)
            sent[str(cluster.version)] = (first, acked)
        newest = str(cluster.version)
        _, figures = await self.wait_until(
            lambda figures: len(figures["forced"].get(newest, [])) >= size.limiters, 20.0
        )
        after = await self.sample()
        self.found["changing"] = self.costs_between(before, after, counter, primary)
        # a limiter that skipped a version is counted for the newer version only
        lags, order = list[float](), sorted(sent, key=int)
        for version in order:
            lags += [at - sent[version][0] for at in figures["forced"].get(version, [])]
        reached = len(figures["forced"].get(newest, []))
        self.found["change"] = {
            "acknowledged": times([acked - first for first, acked in sent.values()]),
            "in force": times(lags) | {"of": size.limiters * many},
            "newest at": [reached, size.limiters],
            "apart_s": round((max(f for f, _ in sent.values()) - started_at) / max(1, many - 1), 3),
        }

    async def drains(self) -> None:
        cluster, size = self.cluster, self.size
        ids = [
            f"i-{n:08x}"
            for n in self.rng.sample(range(size.servers), min(DRAIN_COUNT, size.servers))
        ]
        await self.order_workers(do="watch", ids=ids)
        per_keeper, lags, acks = -(-size.servers // size.keepers), list[float](), list[float]()
        for id_ in ids:
            keeper = cluster.keepers[int(id_[2:], 16) // per_keeper]
            drain = await keeper.order(do="drain", id=id_)
            await self.wait_until(
                lambda now, id_=id_: len(now["gone"].get(id_, [])) >= size.limiters, 10.0
            )
            now = await self.figures()
            lags += [at - drain["began"] for at in now["gone"].get(id_, [])]
            acks += [drain["acked"] - drain["began"]] if drain["acked"] else []
        self.draining = len(ids)
        self.found["drain"] = {
            "acknowledged": times(acks) | {"of": len(ids)},
            "known": times(lags) | {"of": len(ids) * size.limiters},
        }

    async def primary_lost(self) -> None:
        """Kills the primary store, and measures the time until a change is acknowledged."""
        _, primary = await self.counter_and_primary()
        child = next((c for c in self.cluster.of("store") if c.name == primary), None)
        if child is None or self.size.cores < 3:
            self.found["primary lost"] = {
                "skipped": "no primary known" if child is None else "under 3 cores"
            }
            return
        started_at = time.monotonic()
        await self.cluster.processes.end([child], kill=True)
        _, acked, tries = await self.cluster.replace(30.0)
        self.found["primary lost"] = {"s": round(acked - started_at, 2), "tries": tries}
        await self.cluster.program("store", int(primary.rpartition("-")[2]), first=False)
        await asyncio.sleep(SETTLING_SECONDS)

    async def counter_lost(self) -> None:
        """Kills the counting registry, and measures the time until a limiter gets a total."""
        counter, _ = await self.counter_and_primary()
        child = next((c for c in self.cluster.of("registry") if c.name == counter), None)
        if child is None or self.size.cores < 3:
            self.found["counter lost"] = {
                "skipped": "no counter known" if child is None else "under 3 cores"
            }
            return
        await self.order_workers(
            do="counts", rate=max(1.0, 30 / self.size.limiters), tenants=self.size.tenants
        )
        await asyncio.sleep(1.0)
        started_at = time.monotonic()
        await self.cluster.processes.end([child], kill=True)
        _, figures = await self.wait_until(
            lambda figures: any(at > started_at + 0.1 for at in figures["passed_at"]), 15.0
        )
        again = [at for at in figures["passed_at"] if at > started_at + 0.1]
        self.found["counter lost"] = {"s": round(min(again) - started_at, 2) if again else None}
        await self.order_workers(do="counts", rate=0.0, tenants=1)
        await self.cluster.program("registry", int(counter.rpartition("-")[2]), first=False)
        await asyncio.sleep(SETTLING_SECONDS)

    async def cold_start(self) -> None:
        """Kills and restarts the whole core, and measures the time until limiters are current."""
        cluster, size = self.cluster, self.size
        core = [
            child for child in cluster.processes.running() if child.role in ("registry", "store")
        ]
        await cluster.processes.end(core, kill=True)
        await self.order_workers(
            do="await", version=cluster.version, servers=size.servers - self.draining
        )
        started_at = time.monotonic()
        await cluster.start_core(first=False)
        _, acked, tries = await cluster.replace(45.0)
        _, figures = await self.wait_until(
            lambda figures: len(figures["whole"]) >= size.limiters, READY_TIMEOUT_SECONDS
        )
        self.found["cold start"] = {
            "acknowledged_s": round(acked - started_at, 2),
            "tries": tries,
            "limiters": times([at - started_at for at in figures["whole_at"]])
            | {"of": size.limiters},
        }

    async def traffic(self, rate: float) -> None:
        """Sends requests through a real proxy to servers that answer at once, and directly to one.

        The difference is the time that the proxy adds; its processor time is the cost of a request.
        """
        cluster, size = self.cluster, self.size
        if not self.clients:
            self.clients = [await cluster.worker("clients", 0)]
            self.found["requests"] = []
        proxy = cluster.of("proxy")[0]
        number = int(proxy.name.rpartition("-")[2])
        load = {"rate": rate, "seconds": self.seconds, "tenants": size.tenants, "seed": 1}
        load["routes"] = max(1, min(size.routes, size.servers // 4))
        (ip, port), clients = cluster.origins()[0], self.clients[0]
        direct = await clients.order(do="load", ip=ip, port=port, **load)
        before = (await proxy.counts())["cpu"]
        through = await clients.order(
            do="load", ip=f"127.{cluster.net}.2.{number + 1}", port=FRONTEND_PORT, **load
        )
        after = (await proxy.counts())["cpu"]
        many = max(1, len(through["ms"]))
        self.found["requests"].append(
            {
                "rate": rate,
                "statuses": through["statuses"],
                "straight": times([took / 1000 for took in direct["ms"]]),
                "through": times([took / 1000 for took in through["ms"]]),
                "user_ms": round(1000 * (after[0] - before[0]) / many, 4),
                "kernel_ms": round(1000 * (after[1] - before[1]) / many, 4),
            }
        )


async def measure(
    size: Size,
    limits: Limits,
    seconds: float,
    say: Callable[[str], None] = lambda text: None,
    events: bool = True,
    profile: str = "",
    pids: list[int] | None = None,
    rates: tuple[float, ...] = (),
) -> Figures:
    """Measures one size, and ends all its processes however the measurement ends.

    Args:
        size: The size of the system.
        limits: What the run may use of the machine.
        seconds: Duration of each window.
        say: Called with the part of the measurement that starts.
        events: Whether to measure changes, drains, losses and a cold start.
        profile: Role whose first process is profiled; empty for none.
        pids: List that gets the pids of all processes started.
        rates: Requests per second through a real proxy, measured in sequence.

    Raises:
        SizeLimitError: The size is beyond a limit; before any process is started, if its need
            already is.
    """
    needed = limits.check(size)
    cluster, at = Cluster(size, limits, free_net(), profile), time.monotonic()
    measurement = Measurement(cluster, seconds, say, events, rates)
    if pids is not None:
        cluster.processes.pids = pids
    try:
        found = await measurement.run()
        # the load ends first, so that the profiled program has time to write its profile
        if profile:
            await cluster.processes.end([*cluster.workers, *cluster.keepers])
            await asyncio.sleep(SETTLING_SECONDS)
            await cluster.processes.end()
            found["profile"] = most_expensive(cluster.folder / "profile.stats")
    except SizeLimitError:
        raise
    except Exception as error:  # the measurements until then are kept
        found = measurement.found | {"failed": f"{type(error).__name__}: {error}"}
    finally:
        # killed, as a transfer of duties between them is not needed
        await cluster.processes.end(kill=True)
        await cluster.end()
    return found | {"need": asdict(needed), "took_s": round(time.monotonic() - at, 1)}


def most_expensive(path: Path, count: int = 25) -> list[list[Any]]:
    """Returns the functions with the most own time: name, calls, own seconds, total seconds."""
    stats = pstats.Stats(str(path))
    rows = []
    for (file, line, name), (_, calls, own, total, _) in stats.stats.items():
        where = f"{Path(file).parent.name}/{Path(file).name}:{line}" if line else file
        rows.append([f"{where} {name}", calls, round(own, 3), round(total, 3)])
    return sorted(rows, key=lambda row: -row[2])[:count]
