"""Stand-in for the counter: the totals of the emulator behind the HTTP interface of PROTOCOL.

It can be slowed, silenced, wiped or split. Each limiter has its own port, which identifies the
caller; a split divides the limiters. Events: `calls` (number of calls in the last second), once a
second unless there were none.
"""

from __future__ import annotations

import asyncio
import re
import time
from random import Random

from loomstand.testing.emulator.counts import Totals
from loomstand.testing.rehearsal.child import EventLog
from loomstand.testing.rehearsal.wire import content_length, http_response

CALL = re.compile(rb"POST /counters/([!-~]{1,64})\?by=([0-9.e+-]+)&expire_ms=(\d+) ").match


class CounterConnection(asyncio.Protocol):
    """A connection of a limiter. Calls may be pipelined and are answered in order."""

    def __init__(self, counter: Counter, limiter: int) -> None:
        self.counter, self.limiter, self.raw = counter, limiter, b""
        self.last = 0.0  # event loop time at which the previous answer is sent

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.raw += data
        while True:
            head, separator, body = self.raw.partition(b"\r\n\r\n")
            if not separator or len(body) < (length := content_length(head)):
                return
            self.raw = body[length:]
            self.call(head)

    def call(self, head: bytes) -> None:
        """Adds to a total and schedules the answer."""
        counter, loop = self.counter, asyncio.get_running_loop()
        counter.count += 1
        if counter.silent:  # like a stopped machine: adds nothing, answers nothing
            return
        match = CALL(head)
        answer = http_response(404)
        if match:
            now, expire_seconds = time.time(), min(60.0, int(match[3]) / 1000)
            total = counter.totals.add(self.limiter, match[1], float(match[2]), now, expire_seconds)
            answer = http_response(200, b"%.9g" % total)
        wait = counter.latency * (0.5 + counter.rng.random())
        self.last = max(self.last, loop.time() + wait)  # answers stay in order
        loop.call_at(self.last, self.transport.write, answer)


class Counter:
    """Totals and simulated faults of the counter, shared by its connections."""

    def __init__(self, config: dict) -> None:
        self.totals, self.rng = Totals(), Random(config["seed"])
        self.record = EventLog(config["trail"])
        self.base_latency = self.latency = config["latency_s"]
        self.silent, self.count = False, 0

    def sample(self) -> None:
        """Records the number of calls once a second."""
        asyncio.get_running_loop().call_later(1.0, self.sample)
        if self.count:
            self.record("calls", self.count)
        self.count = 0

    def handle_command(self, command: dict) -> None:
        """Applies or undoes a fault."""
        match command["do"]:
            case "counter_slow":
                self.latency = self.base_latency * command["factor"]
            case "counter_silent":
                self.silent = command["on"]
            case "counter_wipe":
                self.totals.wipe()
            case "counter_split" if command["on"]:
                self.totals.split(2)
            case "counter_split":
                self.totals.join()


async def start(config: dict):
    """Listens on the ports and returns the command handler.

    Keys of `config`: `host`, `ports` (by limiter), `latency_s`, `seed`, `trail` (path of the event
    log).
    """
    counter, loop = Counter(config), asyncio.get_running_loop()
    for limiter, port in enumerate(config["ports"]):
        await loop.create_server(
            lambda n=limiter: CounterConnection(counter, n), config["host"], port
        )
    counter.sample()
    return counter.handle_command
