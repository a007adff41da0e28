"""Calibration of the emulator: the same small scenario in simulated time and on loopback sockets.

The socket run starts `loomstand serve` as a process, with stubs of its peers: servers that are
M/M/c queues like the emulator's (`capacity` requests at once, a bounded queue, exponential service
times, 503 with `Not-Started: 1` when full), a counter that holds totals by name for `expire_ms`, a
discovery watch without changes, and Poisson clients with one connection per request. Both runs
compute G and the share of rejections in the same way (`docs/lab.md`). Run by hand, never in CI:

    .venv/bin/python -m benchmarks.lab_calibrate --seconds 20 [--seed N] [--work-ms 60]
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import re
import sys
import tempfile
import time

from loomstand.testing.emulator import runner
from loomstand.testing.emulator import scenario as sc
from loomstand.testing.rehearsal.wire import free_port, http_response, read_message

HOST = "127.0.0.1"
SCENARIO = {
    "name": "calibration",
    "baselines": ["oracle"],
    "fleet": {"limiters": 1, "servers": 3, "capacity": 4, "queue": 4, "try_limit": 2},
    "net": {"delay_ms": 0.1, "jitter_ms": 0.1, "zone_delay_ms": 0.0},
    "counter": {"latency_ms": 0.5, "timeout_ms": 100},
    "frontends": [
        {"name": "look", "response_target_ms": 300, "client_timeout_ms": 1000, "work_ms": 20}
    ],
    "plans": [{"name": "basic", "rate": 20, "burst": 40, "customers": 6, "demand": 1.5}],
}


class Server:
    """A stub server: `capacity` requests at once, `queue` waiting, mean service time `work_s`."""

    def __init__(self, capacity: int, queue: int, work_s: float, rng: random.Random) -> None:
        self.capacity, self.queue, self.work_s, self.rng = capacity, queue, work_s, rng
        self.working, self.waiting = 0, 0
        self.slots = asyncio.Semaphore(capacity)

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await read_message(reader)
                if self.working + self.waiting >= self.capacity + self.queue:
                    writer.write(http_response(503, extra=b"Not-Started: 1\r\n"))
                    await writer.drain()
                    continue
                self.waiting += 1
                async with self.slots:
                    self.waiting -= 1
                    self.working += 1
                    await asyncio.sleep(self.rng.expovariate(1 / self.work_s))
                    self.working -= 1
                writer.write(http_response(200, b"ok"))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.close()


class Counter:
    """A stub counter: totals by name, each held for the `expire_ms` of its last increment."""

    def __init__(self) -> None:
        self.totals: dict[bytes, tuple[float, float]] = {}

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head, _ = await read_message(reader)
                m = re.match(rb"POST /counters/(\d+)\?by=([0-9.e+-]+)&expire_ms=(\d+)", head)
                if not m:
                    writer.write(http_response(404))
                    continue
                now = time.monotonic()
                total, until = self.totals.get(m[1], (0.0, 0.0))
                total = (total if until > now else 0.0) + float(m[2])
                self.totals[m[1]] = (total, now + int(m[3]) / 1000)
                writer.write(http_response(200, b"%.9g" % total))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.close()


async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A stub discovery whose watch never changes: the list is in the configuration."""
    try:
        await read_message(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        await writer.drain()
        await reader.read()
    except (OSError, asyncio.IncompleteReadError):
        pass
    writer.close()


async def run_on_sockets(scenario: sc.Scenario, seed: int) -> dict:
    """Returns the counts, G and the share of rejections of a run on loopback sockets."""
    rng = random.Random(seed)
    f, g, p = scenario.fleet, scenario.frontends[0], scenario.plans[0]
    servers = [Server(f.capacity, f.queue, g.work_ms / 1000, rng) for _ in range(f.servers)]
    listening = [await asyncio.start_server(s.talk, HOST, 0) for s in servers]
    counter = await asyncio.start_server(Counter().talk, HOST, 0)
    watch = await asyncio.start_server(discovery, HOST, 0)
    port = free_port(HOST)

    def address(server: asyncio.AbstractServer) -> str:
        return f"{HOST}:{server.sockets[0].getsockname()[1]}"

    conf = {
        "listen": f"{HOST}:{port}",
        "discovery": address(watch),
        "counter": address(counter),
        "seed": "1",
        "known": {
            "complete": True,
            "members": [
                {"id": f"s-{n}", "host_port": address(s), "locality": "a"}
                for n, s in enumerate(listening)
            ],
        },
        "settings": {
            "balancers": 1,
            "me": 0,
            "az": "a",
            "zones": ["a"],
            "grades": [
                {
                    "name": g.name,
                    "effect": g.effect,
                    "on_time": g.response_target_ms,
                    "deadline": g.client_timeout_ms,
                    "points": g.value,
                }
            ],
            "plans": [{"name": p.name, "refill": p.rate, "store_size": p.burst}],
            "allowed": {"try_limit": f.try_limit},
            "specifics": {
                "has_counter": True,
                "count_limit": scenario.counter.timeout_ms,
                "metering": scenario.counter.refresh_s * 1000,
            },
            "rules": {"answer_slack": f.answer_slack_ms, "drain_grace": f.drain_grace_ms},
        },
    }
    with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as file:
        json.dump(conf, file)
    proc = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "loomstand",
        "serve",
        "--config",
        file.name,
        stderr=asyncio.subprocess.DEVNULL,
        env={**os.environ},
    )
    for _ in range(400):
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            ready = (await reader.readuntil(b"\r\n\r\n"))[9:12] == b"200"
            writer.close()
            if ready:
                break
        except OSError:
            pass
        await asyncio.sleep(0.025)
    counts = {"taken": 0, "passed": 0, "denied": 0, "other": 0}
    value = offered = 0.0
    buckets = [[p.burst, time.monotonic()] for _ in range(p.customers)]

    async def send_request(n: int, tenant: int) -> None:
        nonlocal value, offered
        now = time.monotonic()
        bucket = buckets[tenant]
        bucket[0], bucket[1] = min(p.burst, bucket[0] + p.rate * (now - bucket[1])), now
        within_quota = bucket[0] >= 1.0
        bucket[0] -= 1.0 if within_quota else 0.0
        offered += g.value if within_quota else 0.0
        counts["taken"] += 1
        raw = (
            f"GET /{g.name}?account={tenant:016x} HTTP/1.1\r\nHost: x\r\nRequest-Id: {n}\r\n"
            f"Request-Class: {g.name}\r\nX-Tier: {p.name}\r\n"
            f"Request-Timeout-Ms: {g.client_timeout_ms:.0f}\r\nContent-Length: 0\r\n\r\n"
        )
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(raw.encode())
            async with asyncio.timeout(g.client_timeout_ms / 1000 + 0.5):
                head = await reader.readuntil(b"\r\n\r\n")
            writer.close()
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            counts["other"] += 1
            return
        status, took = int(head[9:12]), time.monotonic() - now
        if status == 200:
            counts["passed"] += 1
            value += g.value if within_quota and took <= g.response_target_ms / 1000 else 0.0
        elif status == 429:
            counts["denied"] += 1
        else:
            counts["other"] += 1

    tasks, n, started_at = set(), 0, time.monotonic()
    rate, due = p.rate * p.demand * p.customers, 0.0
    while due < scenario.seconds:
        # due times follow the clock, so that lag of the event loop doesn't reduce the rate
        due += rng.expovariate(rate)
        await asyncio.sleep(max(0.0, started_at + due - time.monotonic()))
        n += 1
        task = asyncio.create_task(send_request(n, rng.randrange(p.customers)))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)
    proc.terminate()
    await proc.wait()
    os.unlink(file.name)
    return {
        "counts": counts,
        "G": value / offered if offered else 0.0,
        "denied_share": counts["denied"] / max(1, counts["taken"]),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--work-ms", type=float, default=20.0, help="mean service time of a request, in ms"
    )
    args = parser.parse_args()
    table = sc.with_values(
        {**SCENARIO, "seconds": args.seconds},
        {"frontends": [{**SCENARIO["frontends"][0], "work_ms": args.work_ms}]},
    )
    scenario = sc.from_table(table)
    emulated = runner.run(scenario, args.seed)["runs"]["brain"]
    real = asyncio.run(run_on_sockets(scenario, args.seed))
    rows = {
        "lab": {
            "G": emulated["G"],
            "denied_share": emulated["denied_share"],
            "counts": emulated["counts"],
        },
        "sockets": real,
    }
    rows["ratio"] = {
        "G": rows["sockets"]["G"] / max(1e-9, rows["lab"]["G"]),
        "denied_share": rows["sockets"]["denied_share"] / max(1e-9, rows["lab"]["denied_share"]),
    }
    print(json.dumps(rows, indent=1))


if __name__ == "__main__":
    main()
