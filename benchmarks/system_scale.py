"""The system's own traffic and work by the number of proxies, on the simulated network, without
sockets.

Whole clusters of N proxies, four core machines, and servers and tenants in the proportion of the
grown sites. Counted: calls and bytes (frames of cbor2, both ways, without TCP's own) that each
program takes part in, by operation; processor time in each machine's own callbacks, coding of
frames included, sockets not. By hand:

    python -m benchmarks.system_scale 8 20 75 150 --out /tmp/scale.json
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any
from unittest import mock

from absl import logging

from loomstand.registry.limiter_sessions import SESSION_POLL_SECONDS as ASK
from loomstand.rpc.frames import FrameDecoder, encode_item
from loomstand.testing.simulation import loop as simulation
from loomstand.testing.simulation.cluster import Cluster
from loomstand.testing.simulation.network import MachineNetwork

CORES = 4
# A proxy's part of the grown sites' servers, tenants and requests a second, the mean of both.
SERVERS, TENANTS, REQUESTS = (107 + 155) / 160, (79 + 84) / 160, (740 + 461) / 160
USE = 0.6  # of its quota, by each tenant: as at the sites
SPREAD = 2.0  # s over which proxies and servers start that were all killed
REGISTRY, STORE = 7340, 7355
TO_STORE = {"wait", "status", "put", "read", "offer"}  # what a registry calls its store by


@dataclass(slots=True)
class Meter:
    """What went on since the last `take`: by host, program and operation; and work by host, in
    seconds.
    """

    calls: Counter[tuple[str, str, str]] = field(default_factory=Counter)
    bytes: Counter[tuple[str, str, str]] = field(default_factory=Counter)
    work: dict[simulation.SimProcess, float] = field(default_factory=lambda: defaultdict(float))

    def count(self, host: str, program: str, op: str, size: int, calls: int = 0) -> None:
        self.calls[host, program, op] += calls
        self.bytes[host, program, op] += size

    def clear(self) -> None:
        self.calls.clear()
        self.bytes.clear()
        self.work.clear()


def caller(host: str, port: int, op: str) -> str:
    if host.startswith("10.2."):
        return "proxy"
    return "registry" if port == REGISTRY or op in TO_STORE else "store"


def metered(meter: Meter) -> ExitStack:
    """Has every call coded and counted, and every callback of a machine timed."""
    call, listen, run = (
        MachineNetwork.call,
        MachineNetwork.listen,
        simulation._ProcessCallback.__call__,
    )

    def decoded(raw: bytes) -> int:
        for _ in FrameDecoder().feed(raw):
            pass
        return len(raw)

    async def calling(
        network: MachineNetwork, address: Any, op: str, body: Any, within: float
    ) -> Any:
        who = caller(network.host, address[1], op)
        meter.count(network.host, who, op, len(encode_item([1000, op, body])), 1)
        got = await call(network, address, op, body, within)
        if got.is_ok():
            meter.count(network.host, who, op, decoded(encode_item([1000, True, got.ok])))
        return got

    async def listening(network: MachineNetwork, address: Any, serve: Any) -> None:
        program = "registry" if address[1] == REGISTRY else "store"

        async def serving(op: str, body: Any) -> Any:
            meter.count(network.host, program, op, decoded(encode_item([1000, op, body])), 1)
            said = await serve(op, body)
            meter.count(network.host, program, op, len(encode_item([1000, True, said])))
            return said

        await listen(network, address, serving)

    def running(gate: Any) -> None:
        begun = time.process_time()
        run(gate)
        meter.work[gate.process] += time.process_time() - begun

    stack = ExitStack()
    for thing, name, new in (
        (MachineNetwork, "call", calling),
        (MachineNetwork, "listen", listening),
    ):
        stack.enter_context(mock.patch.object(thing, name, new))
    stack.enter_context(mock.patch.object(simulation._ProcessCallback, "__call__", running))
    return stack


def build(n: int, seed: int) -> Cluster:
    """Builds a cluster in the proportions of the grown sites, which isn't started."""
    cluster = Cluster(seed, CORES, n, max(1, round(n * SERVERS / 2)))
    cluster.use_default_configuration()
    del cluster.resources["tenants", "ann"]
    cluster.request_log.owners.clear()
    many = max(1, round(n * TENANTS))
    whole = sum(1 / (k + 1) for k in range(many))
    for k in range(many):
        rate = max(1.0, n * REQUESTS / (k + 1) / whole / USE)
        cluster.tenant(f"tenant-{k}", f"key-of-tenant-{k}", rate, 2 * rate)
    for server in (s for many in cluster.servers.values() for s in many):
        server.slots, server.work_seconds = 2, (0.09, 0.22)
    return cluster


async def traffic(cluster: Cluster, rate: float, seconds: float) -> Counter[int]:
    """Requests of all tenants, a few of them large, at all proxies; what came of them."""
    rng, keys, tasks = Random(7), [*cluster.request_log.owners], []
    weights = [1 / (k + 1) for k in range(len(keys))]
    begun = cluster.loop.time()
    while cluster.loop.time() - begun < seconds:
        name, method = rng.choice((("a", "GET"), ("b", "GET"), ("once", "POST")))
        key = rng.choices(keys, weights)[0]
        what = (method, "town.example", f"/{name}/x", key, b"" if method == "GET" else b"body" * 50)
        tasks.append(
            cluster.loop.create_task(
                cluster.client.send_with_retries(*what, idempotent=method == "GET", tries=1)
            )
        )
        await asyncio.sleep(rng.expovariate(rate))
    return Counter(reply.status for reply in await asyncio.gather(*tasks))


def looked(cluster: Cluster, meter: Meter, seconds: float, alone: bool = False) -> dict[str, Any]:
    """Per second and machine: calls, bytes, work; `counter` is the registry that counts. Where
    `alone`, sums for an event rather than rates.
    """
    counter = cluster.counting_host()
    rows: dict[str, Any] = {}
    groups: dict[str, tuple[str, list[str]]] = {
        "proxy": ("proxy", [*cluster.proxies]),
        "registry": ("registry", [ip for ip in cluster.core_ips if ip != counter]),
        "counter": ("registry", [counter]),
        "store": ("store", cluster.core_ips),
    }
    over = 1.0 if alone else seconds
    for label, (program, hosts) in groups.items():
        many = len(hosts) * over
        ops = sorted({op for host, who, op in meter.calls if who == program and host in hosts})
        each = {
            op: [
                round(sum(m[h, program, op] for h in hosts) / many, 2)
                for m in (meter.calls, meter.bytes)
            ]
            for op in ops
        }
        machines = (
            cluster.proxies
            if label == "proxy"
            else cluster.stores
            if label == "store"
            else cluster.registries
        )
        processes = [machines[host].process for host in hosts]
        rows[label] = {
            "ops": each,
            "calls": round(sum(v[0] for v in each.values()), 2),
            "bytes": round(sum(v[1] for v in each.values()), 1),
            "work_ms": round(
                1000 * sum(meter.work[process] for process in processes if process) / many, 2
            ),
        }
    meter.clear()
    return rows


def measure(n: int, seconds: float, seed: int) -> dict[str, Any]:
    """All of it for `n` proxies."""
    meter, begun, said = Meter(), time.process_time(), dict[str, Any]()
    gc.disable()  # the simulation's garbage is no work of a machine's
    with metered(meter):
        cluster = build(n, seed)

        def event(what: Callable[[], Any], lasts: float) -> dict[str, Any]:
            """Beyond what an idle time of that length has."""
            meter.clear()
            gc.collect()
            at = cluster.loop.time()
            cluster.run(what()) if asyncio.iscoroutinefunction(what) else what()
            cluster.wait(max(0.0, lasts - (cluster.loop.time() - at)))
            return looked(cluster, meter, cluster.loop.time() - at, alone=True)

        said["start"] = event(cluster.start, 4.0)
        cluster.wait(4.0)
        meter.clear()
        cluster.wait(seconds)
        said["idle"] = looked(cluster, meter, seconds)
        cluster.run(traffic(cluster, n * REQUESTS, 3.0))
        meter.clear()
        at = cluster.loop.time()
        replies = cluster.run(traffic(cluster, n * REQUESTS, seconds))
        said["loaded"] = looked(cluster, meter, cluster.loop.time() - at)
        said["loaded"]["replies"] = {str(k): v for k, v in sorted(replies.items())}
        cluster.wait(3.0)
        leaving, first = cluster.servers["alpha"][0], next(iter(cluster.proxies.values()))
        said["drain"] = event(leaving.drain, 1.0)
        said["configuration"] = event(cluster.replace, 1.0)
        said["proxy lost"] = event(first.kill, 2.0)

        async def back() -> None:
            first.start()

        said["proxy back"] = event(back, 2.0)
        few = cluster.servers["beta"][: max(1, n // 10)]

        async def flap() -> None:
            for server in few:
                server.kill()
            await asyncio.sleep(1.0)
            for server in few:
                server.start()

        said["flap of a tenth"] = event(flap, 6.0)

        async def herd() -> None:
            rng, servers = Random(seed), [s for many in cluster.servers.values() for s in many]
            for machine in (*cluster.proxies.values(), *servers):
                machine.kill()
            await asyncio.sleep(0.5)
            for machine in (*cluster.proxies.values(), *servers):
                cluster.loop.call_later(rng.uniform(0, SPREAD), machine.start)

        said["all start"] = event(herd, 0.5 + SPREAD + 1.5)
        said["sizes"] = {
            "configuration": len(cluster.versions[cluster.version]),
            "flapping": len(few),
        }
        said["took"] = round(time.process_time() - begun, 1)
        said |= {
            "N": n,
            "M": sum(map(len, cluster.servers.values())),
            "T": len(cluster.request_log.owners),
        }
        cluster.request_log.check()
        cluster.loop.close()
    return said


def table(all_: list[dict[str, Any]]) -> str:
    lines = []
    for phase in (
        "start",
        "idle",
        "loaded",
        "drain",
        "configuration",
        "proxy lost",
        "proxy back",
        "flap of a tenth",
        "all start",
    ):
        unit = "a second" if phase in ("idle", "loaded") else "in all, a machine"
        lines.append(f"\n{phase} ({unit}): calls / kB / ms of work")
        for program in ("proxy", "registry", "counter", "store"):
            cells = []
            for said in all_:
                row = said[phase][program]
                cells.append(
                    f"{row['calls']:8.1f} {row['bytes'] / 1000:8.1f} {row['work_ms']:8.1f}"
                )
            lines.append(f"  {program:8} " + " |".join(cells))
            if phase in ("idle", "loaded"):
                for op in sorted({op for said in all_ for op in said[phase][program]["ops"]}):
                    got = [said[phase][program]["ops"].get(op, [0.0, 0.0]) for said in all_]
                    cells = [f"{calls:8.1f} {size / 1000:8.1f} {'':8}" for calls, size in got]
                    lines.append(f"    {op:6} " + " |".join(cells))
    return "\n".join(lines)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter
    )
    parser.add_argument("proxies", type=int, nargs="*", default=[8, 20, 75, 150])
    parser.add_argument(
        "--seconds", type=float, default=5.0, help="of simulated time, idle and loaded"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", type=Path, help="a file for all figures, as JSON")
    args = parser.parse_args()
    logging.set_verbosity(logging.ERROR)
    all_ = []
    for n in args.proxies:
        all_.append(said := measure(n, args.seconds, args.seed))
        asks = n / ASK
        print(
            f"N {n}, M {said['M']}, T {said['T']}: took {said['took']} s; asks a registry N/{ASK} "
            "= "
            f"{asks:.0f} a second, a proxy {CORES / ASK:.1f}; beats a core M/{1.5 * CORES} = "
            f"{said['M'] / 1.5 / CORES:.1f}; sizes {said['sizes']}; {said['loaded']['replies']}",
            flush=True,
        )
    print(table(all_))
    if args.out:
        args.out.write_text(json.dumps(all_, indent=1) + "\n")


if __name__ == "__main__":
    main()
