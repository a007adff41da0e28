"""The measuring of one size of the system: `scale_run` is its command.

Parts, in this order: start of the core, servers and limiters; a window at rest, one while limiters
count, one while the configuration changes; drains; the loss of the primary store and of the
registry that counts; a cold start of the whole core; requests through a real proxy.
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
    FRONT,
    HEARTBEAT,
    ZONES,
    Child,
    Cluster,
    Cost,
    Limits,
    Size,
    TooLarge,
    free_net,
)
from loomstand.config.units import format_address

WHOLE_WITHIN = 60.0  # s that limiters have to come to know everything
SPREAD = 1.0  # s over which limiters start, and SPREAD_SERVERS servers
SPREAD_SERVERS = HEARTBEAT
SETTLES = 2.0  # s before a window
DRAINS, LEAST_CHANGES = 3, 3

Figures = dict[str, Any]


def times(values: list[float]) -> Figures:
    """Median, 99th and worst of times in seconds, in milliseconds, by a histogram of three
    digits.
    """
    histogram = HdrHistogram(1, 3_600_000_000, 3)
    for value in values:
        histogram.record_value(max(1, round(value * 1e6)))
    if not values:
        return {"n": 0}
    at = {"median": 50.0, "p99": 99.0, "worst": 100.0}
    return {"n": len(values)} | {
        name: round(histogram.get_value_at_percentile(share) / 1000, 1)
        for name, share in at.items()
    }


@dataclass(slots=True)
class Sample:
    """All counts of all processes at one moment."""

    at: float
    costs: dict[str, tuple[Child, Cost]]
    counts: dict[str, Figures]
    cpu: dict[str, list[float]]  # user and kernel, as each process has it of itself
    hollow: Figures
    beats: list[int]  # of servers: acknowledged, without an answer, connections opened


class Run:
    """The measuring of one size."""

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
        self.left = 0  # servers that drain
        self.clients: list[Child] = []
        self.rng = Random(1)

    # samples and windows

    async def workers(self, **said: Any) -> list[Figures]:
        """One order to all processes of hollow limiters."""
        return await asyncio.gather(*(worker.order(**said) for worker in self.cluster.workers))

    async def figures(self) -> Figures:
        """The workers' figures, together."""
        each = await self.workers(do="figures")
        whole = {
            key: sorted(at for one in each for at in one[key])
            for key in ("whole", "whole_at", "passed_at")
        }
        sums = ("limiters", "known", "standing", "counted", "uncounted", "bytes_in", "bytes_out")
        said: Figures = whole | {key: sum(one[key] for one in each) for key in sums}
        for key in ("forced", "gone"):
            said[key] = {}
            for one in each:
                for what, at in one[key].items():
                    said[key].setdefault(what, []).extend(at)
        for key in ("calls", "failed"):
            names = {name for one in each for name in one[key]}
            said[key] = {name: sum(one[key].get(name, 0) for one in each) for name in names}
        said["count_ms"] = [took for one in each for took in one["count_ms"]]
        said["cpu"] = [one["cpu"] for one in each]
        return said | {
            "fleet": max(one["fleet"] for one in each),
            "size": max(one["size"] for one in each),
        }

    async def sample(self) -> Sample:
        running = self.cluster.processes.running()
        self.cluster.processes.memory()
        costs = {child.name: (child, child.cost()) for child in running}
        at = time.monotonic()
        named = [child for child in running if child.figures]
        counts = dict(
            zip(
                [c.name for c in named],
                await asyncio.gather(*(c.counts() for c in named)),
                strict=True,
            )
        )
        kept = await asyncio.gather(
            *(keeper.order(do="figures") for keeper in self.cluster.keepers)
        )
        hollow = await self.figures()
        cpu = {name: count["cpu"] for name, count in counts.items()}
        cpu |= {
            child.name: one["cpu"] for child, one in zip(self.cluster.keepers, kept, strict=True)
        }
        cpu |= {
            child.name: one for child, one in zip(self.cluster.workers, hollow["cpu"], strict=True)
        }
        beats = [sum(one[key] for one in kept) for key in ("beats", "beats_failed", "opened")]
        return Sample(at, costs, counts, cpu, hollow, beats)

    async def window(self, name: str, seconds: float) -> None:
        """What each role costs a second; the registry that counts and the primary store are told
        apart.
        """
        counter, primary = await self.seats()
        before = await self.sample()
        await asyncio.sleep(seconds)
        after = await self.sample()
        self.found[name] = self.between(before, after, counter, primary)

    def between(self, before: Sample, after: Sample, counter: str, primary: str) -> Figures:
        lasted = after.at - before.at
        roles: dict[str, list[Figures]] = {}
        for child, cost in after.costs.values():
            if child.name not in before.cpu or child.name not in after.cpu:
                continue
            was, used, role = before.cpu[child.name], after.cpu[child.name], child.role
            role = (
                "counter" if child.name == counter else "primary" if child.name == primary else role
            )
            one: Figures = {
                "user_ms": 1000 * (used[0] - was[0]) / lasted,
                "kernel_ms": 1000 * (used[1] - was[1]) / lasted,
                "resident_mb": cost.resident / 1e6,
                "descriptors": float(cost.descriptors),
            }
            if now := after.counts.get(child.name):
                then = before.counts[child.name]
                for way in ("taken", "made"):
                    one[way] = sum(
                        (now[way][op] - then[way].get(op, 0)) / lasted for op in now[way]
                    )
                for way, count in now["bytes"].items():
                    key = f"kb_{way.replace(' ', '_')}"
                    one[key] = (count - then["bytes"].get(way, 0)) / 1000 / lasted
                ops = {
                    op: (n - then["taken"].get(op, 0)) / lasted for op, n in now["taken"].items()
                }
                one["ops"] = {op: rate for op, rate in ops.items() if rate > 0}
            roles.setdefault(role, []).append(one)
        said: Figures = {}
        for role, many in roles.items():
            keys = {key for one in many for key in one if key != "ops"}
            said[role] = {
                key: round(sum(one.get(key, 0.0) for one in many) / len(many), 3)
                for key in sorted(keys)
            }
            ops = {op for one in many for op in one.get("ops", {})}
            said[role]["ops"] = {
                op: round(sum(o.get("ops", {}).get(op, 0) for o in many) / len(many), 2)
                for op in ops
            }
        n, a, b = self.size.limiters, before.hollow, after.hollow
        said["limiter"] = {
            "calls": {
                op: round((b["calls"][op] - a["calls"].get(op, 0)) / lasted / n, 3)
                for op in b["calls"]
            },
            "failed": {op: b["failed"][op] - a["failed"].get(op, 0) for op in b["failed"]},
            "kb_in": round((b["bytes_in"] - a["bytes_in"]) / 1000 / lasted / n, 4),
            "kb_out": round((b["bytes_out"] - a["bytes_out"]) / 1000 / lasted / n, 4),
        }
        for role in ("hollow", "keeper"):
            if role in said:
                said[role]["each_ms"] = round(
                    (said[role]["user_ms"] + said[role]["kernel_ms"])
                    * len(roles[role])
                    / (n if role == "hollow" else self.size.servers),
                    4,
                )
        for key, now, then in zip(
            ("beats", "beats failed", "opened"), after.beats, before.beats, strict=True
        ):
            said[key] = round((now - then) / lasted, 2)
        return said | {"seconds": round(lasted, 2)}

    async def status(self, n: int = 0) -> Figures:
        for step in range(20):
            code, said = await self.cluster.post("system.status", n=n + step, within=2.0)
            if code == 200:
                return json.loads(said)
            await asyncio.sleep(0.1)
        raise RuntimeError("no registry gives its status")

    async def seats(self) -> tuple[str, str]:
        """The names of the registry that counts and of the primary store."""
        said = await self.status()
        by = said["counting"]["by"] or ""
        primary = ((said["store"] or {}).get("primary") or "").partition(":")[0]
        where = {self.cluster.core(n): n for n in range(self.size.cores)}
        return f"registry-{where.get(by, -1)}", f"store-{where.get(primary, -1)}"

    async def until(self, there: Callable[[Figures], bool], within: float) -> tuple[bool, Figures]:
        began = time.monotonic()
        while not there(said := await self.figures()):
            if time.monotonic() - began > within:
                return False, said
            await asyncio.sleep(0.2)
        return True, said

    # the parts of a measurement

    async def play(self) -> Figures:
        await self.start()
        await asyncio.sleep(SETTLES)
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
        """Core, configuration, servers, limiters, in this order; the times of each."""
        cluster, size = self.cluster, self.size
        self.say("core")
        began = time.monotonic()
        await cluster.start_core()
        _, acked, tries = await cluster.replace(30.0)
        places = []
        if self.rates:  # servers are where something answers
            origin = await cluster.worker("origin", 0)
            await origin.order(do="origins", addresses=[list(where) for where in cluster.origins()])
            places = [format_address(where) for where in cluster.origins()]
        self.found["first configuration"] = {"s": round(acked - began, 2), "tries": tries}
        self.say(f"{size.servers} servers")
        cluster.keepers = [await cluster.worker("keeper", n) for n in range(size.keepers)]
        part = -(-size.servers // size.keepers)
        controls = [list(where) for where in cluster.controls()]
        for n, keeper in enumerate(cluster.keepers):
            many = min(part, size.servers - n * part)
            await keeper.order(
                do="servers",
                first=n * part,
                many=many,
                services=max(1, min(size.routes, size.servers // 4)),
                zones=list(ZONES),
                controls=controls,
                every=HEARTBEAT,
                spread=SPREAD_SERVERS,
                places=places[n * part : n * part + many],
            )
        began = time.monotonic()
        for _ in range(300):
            known = [await self.status(n) for n in range(size.cores)]
            if all(
                sum(n for s in said["servers"].values() for n in s.values()) >= size.servers
                for said in known
            ):
                break
            await asyncio.sleep(0.1)
        self.found["servers known"] = {"s": round(time.monotonic() - began, 2)}
        self.say(f"{size.limiters} limiters")
        for n in range(size.proxies):
            await cluster.program("proxy", n)
        cluster.workers = [await cluster.worker("hollow", n) for n in range(size.workers)]
        part = -(-size.limiters // size.workers)
        text = cluster.settings("hollow", "hollow", cluster.core(0), True)
        orders = []
        for n, worker in enumerate(cluster.workers):
            many = min(part, size.limiters - n * part)
            orders.append(
                worker.order(
                    do="limiters",
                    settings=text,
                    first=n * part,
                    many=many,
                    spread=SPREAD,
                    servers=size.servers,
                    version=cluster.version,
                )
            )
        await asyncio.gather(*orders)
        _, said = await self.until(lambda said: len(said["whole"]) >= size.limiters, WHOLE_WITHIN)
        self.found["limiters start"] = times(said["whole"]) | {"of": size.limiters}
        self.found["configuration bytes"] = said["size"]

    async def counting(self) -> None:
        await self.workers(do="counts", rate=self.size.counts, tenants=self.size.tenants)
        await asyncio.sleep(SETTLES / 2)
        await self.window("counting", self.seconds)
        said = await self.figures()
        self.found["counting"]["times"] = times([took / 1000 for took in said["count_ms"]])
        await self.workers(do="counts", rate=0.0, tenants=1)

    async def changes(self) -> None:
        """Changes of the configuration at their rate; how long each is under way to each
        limiter.
        """
        cluster, size = self.cluster, self.size
        seconds = self.seconds if size.changes else 0.0
        many = max(LEAST_CHANGES, round(size.changes * seconds))
        apart = 1 / size.changes if size.changes else 1.0
        apart = min(apart, 1.0)  # the least number of changes takes no longer than a window
        counter, primary = await self.seats()
        before, sent, began = (
            await self.sample(),
            dict[str, tuple[float, float]](),
            time.monotonic(),
        )
        for n in range(many):
            await asyncio.sleep(max(0.0, began + n * apart - time.monotonic()))
            first, acked, _ = await cluster.replace(15.0)
            sent[str(cluster.version)] = (first, acked)
        newest = str(cluster.version)
        _, said = await self.until(
            lambda said: len(said["forced"].get(newest, [])) >= size.limiters, 20.0
        )
        after = await self.sample()
        self.found["changing"] = self.between(before, after, counter, primary)
        # a limiter that took a newer version meanwhile never has this one: it counts by the newer
        lags, order = list[float](), sorted(sent, key=int)
        for version in order:
            lags += [at - sent[version][0] for at in said["forced"].get(version, [])]
        reached = len(said["forced"].get(newest, []))
        self.found["change"] = {
            "acknowledged": times([acked - first for first, acked in sent.values()]),
            "in force": times(lags) | {"of": size.limiters * many},
            "newest at": [reached, size.limiters],
            "apart_s": round((max(f for f, _ in sent.values()) - began) / max(1, many - 1), 3),
        }

    async def drains(self) -> None:
        cluster, size = self.cluster, self.size
        ids = [
            f"i-{n:08x}" for n in self.rng.sample(range(size.servers), min(DRAINS, size.servers))
        ]
        await self.workers(do="watch", ids=ids)
        part, lags, acks = -(-size.servers // size.keepers), list[float](), list[float]()
        for id_ in ids:
            keeper = cluster.keepers[int(id_[2:], 16) // part]
            said = await keeper.order(do="drain", id=id_)
            await self.until(
                lambda now, id_=id_: len(now["gone"].get(id_, [])) >= size.limiters, 10.0
            )
            now = await self.figures()
            lags += [at - said["began"] for at in now["gone"].get(id_, [])]
            acks += [said["acked"] - said["began"]] if said["acked"] else []
        self.left = len(ids)
        self.found["drain"] = {
            "acknowledged": times(acks) | {"of": len(ids)},
            "known": times(lags) | {"of": len(ids) * size.limiters},
        }

    async def primary_lost(self) -> None:
        """SIGKILL to the primary store: until a change is acknowledged again."""
        _, primary = await self.seats()
        child = next((c for c in self.cluster.of("store") if c.name == primary), None)
        if child is None or self.size.cores < 3:
            self.found["primary lost"] = {
                "skipped": "no primary known" if child is None else "under 3 cores"
            }
            return
        began = time.monotonic()
        await self.cluster.processes.end([child], kill=True)
        _, acked, tries = await self.cluster.replace(30.0)
        self.found["primary lost"] = {"s": round(acked - began, 2), "tries": tries}
        await self.cluster.program("store", int(primary.rpartition("-")[2]), first=False)
        await asyncio.sleep(SETTLES)

    async def counter_lost(self) -> None:
        """SIGKILL to the registry that counts: until a limiter is given a total again."""
        counter, _ = await self.seats()
        child = next((c for c in self.cluster.of("registry") if c.name == counter), None)
        if child is None or self.size.cores < 3:
            self.found["counter lost"] = {
                "skipped": "no counter known" if child is None else "under 3 cores"
            }
            return
        await self.workers(
            do="counts", rate=max(1.0, 30 / self.size.limiters), tenants=self.size.tenants
        )
        await asyncio.sleep(1.0)
        began = time.monotonic()
        await self.cluster.processes.end([child], kill=True)
        _, said = await self.until(
            lambda said: any(at > began + 0.1 for at in said["passed_at"]), 15.0
        )
        again = [at for at in said["passed_at"] if at > began + 0.1]
        self.found["counter lost"] = {"s": round(min(again) - began, 2) if again else None}
        await self.workers(do="counts", rate=0.0, tenants=1)
        await self.cluster.program("registry", int(counter.rpartition("-")[2]), first=False)
        await asyncio.sleep(SETTLES)

    async def cold_start(self) -> None:
        """SIGKILL to the whole core, and a start of all: until limiters are sure again of the
        newest.
        """
        cluster, size = self.cluster, self.size
        core = [
            child for child in cluster.processes.running() if child.role in ("registry", "store")
        ]
        await cluster.processes.end(core, kill=True)
        await self.workers(do="await", version=cluster.version, servers=size.servers - self.left)
        began = time.monotonic()
        await cluster.start_core(first=False)
        _, acked, tries = await cluster.replace(45.0)
        _, said = await self.until(lambda said: len(said["whole"]) >= size.limiters, WHOLE_WITHIN)
        self.found["cold start"] = {
            "acknowledged_s": round(acked - began, 2),
            "tries": tries,
            "limiters": times([at - began for at in said["whole_at"]]) | {"of": size.limiters},
        }

    async def traffic(self, rate: float) -> None:
        """Requests through one real proxy to servers that answer at once, and to one of these
        itself: what the proxy adds, and what a request costs it.
        """
        cluster, size = self.cluster, self.size
        if not self.clients:
            self.clients = [await cluster.worker("clients", 0)]
            self.found["requests"] = []
        proxy = cluster.of("proxy")[0]
        name = int(proxy.name.rpartition("-")[2])
        load = {"rate": rate, "seconds": self.seconds, "tenants": size.tenants, "seed": 1}
        load["routes"] = max(1, min(size.routes, size.servers // 4))
        (ip, port), clients = cluster.origins()[0], self.clients[0]
        straight = await clients.order(do="load", ip=ip, port=port, **load)
        before = (await proxy.counts())["cpu"]
        through = await clients.order(
            do="load", ip=f"127.{cluster.net}.2.{name + 1}", port=FRONT, **load
        )
        after = (await proxy.counts())["cpu"]
        many = max(1, len(through["ms"]))
        self.found["requests"].append(
            {
                "rate": rate,
                "statuses": through["statuses"],
                "straight": times([took / 1000 for took in straight["ms"]]),
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
    began: list[int] | None = None,
    rates: tuple[float, ...] = (),
) -> Figures:
    """One size, from its start to the end of all its processes, however that comes. `began` is
    given the ids of all processes that were started; `rates` are of requests a second through a
    real proxy, one after the other. Raises TooLarge, before anything is started where that can be
    known.
    """
    wants = limits.check(size)
    cluster, at = Cluster(size, limits, free_net(), profile), time.monotonic()
    run = Run(cluster, seconds, say, events, rates)
    if began is not None:
        cluster.processes.began = began
    try:
        found = await run.play()
        # first those that keep the program busy, so that it has time to write what it saw
        if profile:
            await cluster.processes.end([*cluster.workers, *cluster.keepers])
            await asyncio.sleep(SETTLES)
            await cluster.processes.end()
            found["profile"] = profiled(cluster.folder / "profile.stats")
    except TooLarge:
        raise
    except Exception as why:  # what it measured until then stands
        found = run.found | {"failed": f"{type(why).__name__}: {why}"}
    finally:
        # those that count as lost anyway needn't hand over to each other
        await cluster.processes.end(kill=True)
        await cluster.end()
    return found | {"need": asdict(wants), "took_s": round(time.monotonic() - at, 1)}


def profiled(path: Path, most: int = 25) -> list[list[Any]]:
    """The dearest functions of a profile: name, calls, own seconds, seconds with those called."""
    stats = pstats.Stats(str(path))
    rows = []
    for (file, line, name), (_, calls, own, whole, _) in stats.stats.items():
        where = f"{Path(file).parent.name}/{Path(file).name}:{line}" if line else file
        rows.append([f"{where} {name}", calls, round(own, 3), round(whole, 3)])
    return sorted(rows, key=lambda row: -row[2])[:most]
