"""Calibration of the lab: one small scenario in simulated time and on loopback sockets, side by
side.

The sockets' side runs `loomstand serve` as its own process, with stand-ins written here from the
wire the limiter speaks: servers that are M/M/c queues like the lab's (`capacity` at once, a bounded
queue, exponential work, 503 with `Not-Started: 1` when full), a counter that keeps totals by name
for `expire_ms`, a discovery watch that lists nothing new, and Poisson clients, one connection a
req. Both sides count G and the denial share the same way (`docs/lab.md`). Run by hand, never in CI:

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
    """`capacity` reqs at work at once, `queue` more waiting, exponential work of mean `work_s`."""

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
    """Totals by name, each kept for the `expire_ms` of its last add."""

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
    """A watch that never changes: the list is in the configuration."""
    try:
        await read_message(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        await writer.drain()
        await reader.read()
    except (OSError, asyncio.IncompleteReadError):
        pass
    writer.close()


async def sockets(scenario: sc.Scenario, seed: int) -> dict:
    rng = random.Random(seed)
    f, g, p = scenario.fleet, scenario.frontends[0], scenario.plans[0]
    servers = [Server(f.capacity, f.queue, g.work_ms / 1000, rng) for _ in range(f.servers)]
    listening = [await asyncio.start_server(s.talk, HOST, 0) for s in servers]
    counter = await asyncio.start_server(Counter().talk, HOST, 0)
    watch = await asyncio.start_server(discovery, HOST, 0)
    port = free_port(HOST)

    def at(srv: asyncio.AbstractServer) -> str:
        return f"{HOST}:{srv.sockets[0].getsockname()[1]}"

    conf = {
        "listen": f"{HOST}:{port}",
        "discovery": at(watch),
        "counter": at(counter),
        "seed": "1",
        "known": {
            "complete": True,
            "members": [
                {"id": f"s-{n}", "host_port": at(s), "locality": "a"}
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
    worth = offered = 0.0
    levels = [[p.burst, time.monotonic()] for _ in range(p.customers)]

    async def one(n: int, customer: int) -> None:
        nonlocal worth, offered
        now = time.monotonic()
        held = levels[customer]
        held[0], held[1] = min(p.burst, held[0] + p.rate * (now - held[1])), now
        inside = held[0] >= 1.0
        held[0] -= 1.0 if inside else 0.0
        offered += g.value if inside else 0.0
        counts["taken"] += 1
        raw = (
            f"GET /{g.name}?account={customer:016x} HTTP/1.1\r\nHost: x\r\nRequest-Id: {n}\r\n"
            f"Request-Class: {g.name}\r\nX-Tier: {p.name}\r\n"
            f"Request-Timeout-Ms: {g.client_timeout_ms:.0f}\r\nContent-Length: 0\r\n\r\n"
        )
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(raw.encode())
            head = await asyncio.wait_for(
                reader.readuntil(b"\r\n\r\n"), g.client_timeout_ms / 1000 + 0.5
            )
            writer.close()
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            counts["other"] += 1
            return
        status, took = int(head[9:12]), time.monotonic() - now
        if status == 200:
            counts["passed"] += 1
            worth += g.value if inside and took <= g.response_target_ms / 1000 else 0.0
        elif status == 429:
            counts["denied"] += 1
        else:
            counts["other"] += 1

    tasks, n, began = set(), 0, time.monotonic()
    rate, due = p.rate * p.demand * p.customers, 0.0
    while due < scenario.seconds:
        # by the clock, so that the loop's own lag does not thin the traffic
        due += rng.expovariate(rate)
        await asyncio.sleep(max(0.0, began + due - time.monotonic()))
        n += 1
        task = asyncio.create_task(one(n, rng.randrange(p.customers)))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)
    proc.terminate()
    await proc.wait()
    os.unlink(file.name)
    return {
        "counts": counts,
        "G": worth / offered if offered else 0.0,
        "denied_share": counts["denied"] / max(1, counts["taken"]),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--work-ms", type=float, default=20.0, help="mean work a req at a server")
    args = parser.parse_args()
    table = sc.with_values(
        {**SCENARIO, "seconds": args.seconds},
        {"frontends": [{**SCENARIO["frontends"][0], "work_ms": args.work_ms}]},
    )
    scenario = sc.from_table(table)
    lab = runner.run(scenario, args.seed)["runs"]["brain"]
    real = asyncio.run(sockets(scenario, args.seed))
    rows = {
        "lab": {"G": lab["G"], "denied_share": lab["denied_share"], "counts": lab["counts"]},
        "sockets": real,
    }
    rows["ratio"] = {
        "G": rows["sockets"]["G"] / max(1e-9, rows["lab"]["G"]),
        "denied_share": rows["sockets"]["denied_share"] / max(1e-9, rows["lab"]["denied_share"]),
    }
    print(json.dumps(rows, indent=1))


if __name__ == "__main__":
    main()
