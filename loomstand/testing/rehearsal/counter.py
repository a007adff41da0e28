"""The stand-in counter: the lab's totals behind PROTOCOL's wire. It can be slow, silent, wiped or
split.

Each limiter has a port of its own, which tells who calls (a split goes by limiter).
Trail rows: `calls` (how many in the last second), once a second with any.
"""

from __future__ import annotations

import asyncio
import re
import time
from random import Random

from loomstand.testing.emulator.counts import Totals
from loomstand.testing.rehearsal.child import Trail
from loomstand.testing.rehearsal.wire import length_of, said

CALL = re.compile(rb"POST /counters/([!-~]{1,64})\?by=([0-9.e+-]+)&expire_ms=(\d+) ").match


class Line(asyncio.Protocol):
    """A connection: calls written one behind another, answered in order."""

    def __init__(self, counter: Counter, limiter: int) -> None:
        self.counter, self.limiter, self.raw = counter, limiter, b""
        self.last = 0.0  # when the answer before is due

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.raw += data
        while True:
            head, found, rest = self.raw.partition(b"\r\n\r\n")
            if not found or len(rest) < (length := length_of(head)):
                return
            self.raw = rest[length:]
            self.call(head)

    def call(self, head: bytes) -> None:
        counter, loop = self.counter, asyncio.get_running_loop()
        counter.count += 1
        if counter.silent:  # a machine that stands still: nothing is added, nothing comes
            return
        called = CALL(head)
        answer = said(404)
        if called:
            now, keep = time.time(), min(60.0, int(called[3]) / 1000)
            total = counter.totals.add(self.limiter, called[1], float(called[2]), now, keep)
            answer = said(200, b"%.9g" % total)
        wait = counter.latency * (0.5 + counter.rng.random())
        self.last = max(self.last, loop.time() + wait)  # in their order
        loop.call_at(self.last, self.transport.write, answer)


class Counter:
    def __init__(self, config: dict) -> None:
        self.totals, self.rng = Totals(), Random(config["seed"])
        self.trail = Trail(config["trail"])
        self.usual = self.latency = config["latency_s"]
        self.silent, self.count = False, 0

    def sample(self) -> None:
        asyncio.get_running_loop().call_later(1.0, self.sample)
        if self.count:
            self.trail("calls", self.count)
        self.count = 0

    def order(self, told: dict) -> None:
        match told["do"]:
            case "counter_slow":
                self.latency = self.usual * told["factor"]
            case "counter_silent":
                self.silent = told["on"]
            case "counter_wipe":
                self.totals.wipe()
            case "counter_split" if told["on"]:
                self.totals.split(2)
            case "counter_split":
                self.totals.join()


async def start(config: dict):
    """`host`, `ports` (by limiter), `latency_s`, `seed`, `trail`."""
    counter, loop = Counter(config), asyncio.get_running_loop()
    for limiter, port in enumerate(config["ports"]):
        await loop.create_server(lambda n=limiter: Line(counter, n), config["host"], port)
    counter.sample()
    return counter.order
