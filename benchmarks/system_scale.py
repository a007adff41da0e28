"""Measures the system's control traffic and processor time by number of proxies, in simulation.

Whole clusters of N proxies, four core machines, and servers and tenants in the proportions of the
grown sites. It counts the calls and the bytes of frames (both directions, no TCP overhead) of each
program by operation, and the processor time of each machine's callbacks, which includes encoding
and decoding of frames and excludes sockets. Run by hand:

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

from loomstand.registry.limiter_sessions import SESSION_POLL_SECONDS
from loomstand.rpc.frames import FrameDecoder, encode_item
from loomstand.testing.simulation import loop as simulation
from loomstand.testing.simulation.cluster import Cluster
from loomstand.testing.simulation.network import MachineNetwork

CORES = 4
# Servers, tenants and requests per second for each proxy, the mean of both grown sites.
SERVERS, TENANTS, REQUESTS = (107 + 155) / 160, (79 + 84) / 160, (740 + 461) / 160
QUOTA_USE = 0.6  # share of its quota that each tenant uses, as at the sites
START_SPREAD_SECONDS = 2.0  # proxies and servers restart at random times in this span
REGISTRY, STORE = 7340, 7355
REGISTRY_TO_STORE = {"wait", "status", "put", "read", "offer"}  # calls of a registry to its store


@dataclass(slots=True)
class Meter:
    """Calls and bytes by host, program and operation, and processor seconds, since `clear`."""

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
    return "registry" if port == REGISTRY or op in REGISTRY_TO_STORE else "store"


def metered(meter: Meter) -> ExitStack:
    """Patches the simulation to encode and count every call, and to time every callback."""
    call, listen, run = (
        MachineNetwork.call,
        MachineNetwork.listen,
        simulation._ProcessCallback.__call__,
    )

    def decode(raw: bytes) -> int:
        """Decodes frames, for the cost of it; returns their size."""
        for _ in FrameDecoder().feed(raw):
            pass
        return len(raw)

    async def calling(
        network: MachineNetwork, address: Any, op: str, body: Any, within: float
    ) -> Any:
        who = caller(network.host, address[1], op)
        meter.count(network.host, who, op, len(encode_item([1000, op, body])), 1)
        result = await call(network, address, op, body, within)
        if result.is_ok():
            meter.count(network.host, who, op, decode(encode_item([1000, True, result.ok])))
        return result

    async def listening(network: MachineNetwork, address: Any, serve: Any) -> None:
        program = "registry" if address[1] == REGISTRY else "store"

        async def serving(op: str, body: Any) -> Any:
            meter.count(network.host, program, op, decode(encode_item([1000, op, body])), 1)
            response = await serve(op, body)
            meter.count(network.host, program, op, len(encode_item([1000, True, response])))
            return response

        await listen(network, address, serving)

    def running(gate: Any) -> None:
        started_at = time.process_time()
        run(gate)
        meter.work[gate.process] += time.process_time() - started_at

    stack = ExitStack()
    for owner, name, replacement in (
        (MachineNetwork, "call", calling),
        (MachineNetwork, "listen", listening),
    ):
        stack.enter_context(mock.patch.object(owner, name, replacement))
    stack.enter_context(mock.patch.object(simulation._ProcessCallback, "__call__", running))
    return stack


def build(n: int, seed: int) -> Cluster:
    """Builds a cluster in the proportions of the grown sites, which isn't started."""
    cluster = Cluster(seed, CORES, n, max(1, round(n * SERVERS / 2)))
    cluster.use_default_configuration()
    del cluster.resources["tenants", "ann"]
    cluster.request_log.owners.clear()
    tenants = max(1, round(n * TENANTS))
    weight_sum = sum(1 / (k + 1) for k in range(tenants))
    for k in range(tenants):
        rate = max(1.0, n * REQUESTS / (k + 1) / weight_sum / QUOTA_USE)
        cluster.tenant(f"tenant-{k}", f"key-of-tenant-{k}", rate, 2 * rate)
    for server in (s for many in cluster.servers.values() for s in many):
        server.slots, server.work_seconds = 2, (0.09, 0.22)
    return cluster


async def traffic(cluster: Cluster, rate: float, seconds: float) -> Counter[int]:
    """Sends requests of all tenants, a few of them large, to all proxies; returns the statuses."""
    rng, keys, tasks = Random(7), [*cluster.request_log.owners], []
    weights = [1 / (k + 1) for k in range(len(keys))]
    started_at = cluster.loop.time()
    while cluster.loop.time() - started_at < seconds:
        name, method = rng.choice((("a", "GET"), ("b", "GET"), ("once", "POST")))
        key = rng.choices(keys, weights)[0]
        request = (
            method,
            "town.example",
            f"/{name}/x",
            key,
            b"" if method == "GET" else b"body" * 50,
        )
        tasks.append(
            cluster.loop.create_task(
                cluster.client.send_with_retries(*request, idempotent=method == "GET", tries=1)
            )
        )
        await asyncio.sleep(rng.expovariate(rate))
    return Counter(reply.status for reply in await asyncio.gather(*tasks))


def summarize(
    cluster: Cluster, meter: Meter, seconds: float, alone: bool = False
) -> dict[str, Any]:
    """Returns calls, bytes and work per second and machine; `counter` is the counting registry.

    With `alone` they are sums for a single event instead of rates.
    """
    counter = cluster.counting_host()
    rows: dict[str, Any] = {}
    groups: dict[str, tuple[str, list[str]]] = {
        "proxy": ("proxy", [*cluster.proxies]),
        "registry": ("registry", [ip for ip in cluster.core_ips if ip != counter]),
        "counter": ("registry", [counter]),
        "store": ("store", cluster.core_ips),
    }
    divisor = 1.0 if alone else seconds
    for label, (program, hosts) in groups.items():
        many = len(hosts) * divisor
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
    """Returns all measurements for `n` proxies."""
    meter, started_at, results = Meter(), time.process_time(), dict[str, Any]()
    gc.disable()  # collecting the simulation's garbage is not work of a machine
    with metered(meter):
        cluster = build(n, seed)

        def measure_event(action: Callable[[], Any], duration: float) -> dict[str, Any]:
            """Returns the sums for an event and the rest of its duration."""
            meter.clear()
            gc.collect()
            at = cluster.loop.time()
            cluster.run(action()) if asyncio.iscoroutinefunction(action) else action()
            cluster.wait(max(0.0, duration - (cluster.loop.time() - at)))
            return summarize(cluster, meter, cluster.loop.time() - at, alone=True)

        results["start"] = measure_event(cluster.start, 4.0)
        cluster.wait(4.0)
        meter.clear()
        cluster.wait(seconds)
        results["idle"] = summarize(cluster, meter, seconds)
        cluster.run(traffic(cluster, n * REQUESTS, 3.0))
        meter.clear()
        at = cluster.loop.time()
        replies = cluster.run(traffic(cluster, n * REQUESTS, seconds))
        results["loaded"] = summarize(cluster, meter, cluster.loop.time() - at)
        results["loaded"]["replies"] = {str(k): v for k, v in sorted(replies.items())}
        cluster.wait(3.0)
        leaving, first = cluster.servers["alpha"][0], next(iter(cluster.proxies.values()))
        results["drain"] = measure_event(leaving.drain, 1.0)
        results["configuration"] = measure_event(cluster.replace, 1.0)
        results["proxy lost"] = measure_event(first.kill, 2.0)

        async def restart() -> None:
            first.start()

        results["proxy back"] = measure_event(restart, 2.0)
        flapping = cluster.servers["beta"][: max(1, n // 10)]

        async def flap() -> None:
            for server in flapping:
                server.kill()
            await asyncio.sleep(1.0)
            for server in flapping:
                server.start()

        results["flap of a tenth"] = measure_event(flap, 6.0)

        async def restart_all() -> None:
            rng, servers = Random(seed), [s for many in cluster.servers.values() for s in many]
            for machine in (*cluster.proxies.values(), *servers):
                machine.kill()
            await asyncio.sleep(0.5)
            for machine in (*cluster.proxies.values(), *servers):
                cluster.loop.call_later(rng.uniform(0, START_SPREAD_SECONDS), machine.start)

        results["all start"] = measure_event(restart_all, 0.5 + START_SPREAD_SECONDS + 1.5)
        results["sizes"] = {
            "configuration": len(cluster.versions[cluster.version]),
            "flapping": len(flapping),
        }
        results["took"] = round(time.process_time() - started_at, 1)
        results |= {
            "N": n,
            "M": sum(map(len, cluster.servers.values())),
            "T": len(cluster.request_log.owners),
        }
        cluster.request_log.check()
        cluster.loop.close()
    return results


def format_table(results: list[dict[str, Any]]) -> str:
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
            for result in results:
                row = result[phase][program]
                cells.append(
                    f"{row['calls']:8.1f} {row['bytes'] / 1000:8.1f} {row['work_ms']:8.1f}"
                )
            lines.append(f"  {program:8} " + " |".join(cells))
            if phase in ("idle", "loaded"):
                for op in sorted(
                    {op for result in results for op in result[phase][program]["ops"]}
                ):
                    rates = [r[phase][program]["ops"].get(op, [0.0, 0.0]) for r in results]
                    cells = [f"{calls:8.1f} {size / 1000:8.1f} {'':8}" for calls, size in rates]
                    lines.append(f"    {op:6} " + " |".join(cells))
    return "\n".join(lines)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter
    )
    parser.add_argument("proxies", type=int, nargs="*", default=[8, 20, 75, 150])
    parser.add_argument(
        "--seconds", type=float, default=5.0, help="simulated time of each window, idle and loaded"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", type=Path, help="file for all results, as JSON")
    args = parser.parse_args()
    logging.set_verbosity(logging.ERROR)
    results = []
    for n in args.proxies:
        results.append(result := measure(n, args.seconds, args.seed))
        asks = n / SESSION_POLL_SECONDS
        print(
            f"N {n}, M {result['M']}, T {result['T']}: took {result['took']} s; asks a registry "
            f"N/{SESSION_POLL_SECONDS} = {asks:.0f} a second, a proxy "
            f"{CORES / SESSION_POLL_SECONDS:.1f}; beats a core M/{1.5 * CORES} = "
            f"{result['M'] / 1.5 / CORES:.1f}; sizes {result['sizes']}; "
            f"{result['loaded']['replies']}",
            flush=True,
        )
    print(format_table(results))
    if args.out:
        args.out.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
