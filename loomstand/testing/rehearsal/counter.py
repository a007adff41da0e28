"""Stand-in for the counter: the totals of the emulator behind the HTTP interface of PROTOCOL.

It can be slowed, silenced, wiped or split. Each limiter has its own port, which identifies the
caller. A split divides the limiters into two parts with separate totals. Event: `calls` (number of
calls in the last second), once a second unless there were none.
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
        self.counter, self.limiter, self.buffer = counter, limiter, b""
        self.answer_due_at = 0.0  # event loop time at which the latest answer is sent

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while True:
            head, separator, body = self.buffer.partition(b"\r\n\r\n")
            if not separator or len(body) < (length := content_length(head)):
                return
            self.buffer = body[length:]
            self.call(head)

    def call(self, head: bytes) -> None:
        """Adds to a total and schedules the answer."""
        counter, loop = self.counter, asyncio.get_running_loop()
        counter.calls_since_sample += 1
        if counter.is_silent:  # like a stopped machine: the amount is not added
            return
        match = CALL(head)
        answer = http_response(404)
        if match:
            now, expire_seconds = time.time(), min(60.0, int(match[3]) / 1000)
            total = counter.totals.add(self.limiter, match[1], float(match[2]), now, expire_seconds)
            answer = http_response(200, b"%.9g" % total)
        delay_seconds = counter.latency_seconds * (0.5 + counter.rng.random())
        # no earlier than the previous answer, which keeps the order
        self.answer_due_at = max(self.answer_due_at, loop.time() + delay_seconds)
        loop.call_at(self.answer_due_at, self.transport.write, answer)


class Counter:
    """Totals and simulated faults of the counter, shared by its connections."""

    def __init__(self, config: dict) -> None:
        self.totals, self.rng = Totals(), Random(config["seed"])
        self.record = EventLog(config["trail"])
        self.base_latency_seconds = self.latency_seconds = config["latency_s"]
        self.is_silent, self.calls_since_sample = False, 0

    def sample(self) -> None:
        """Records the number of calls once a second."""
        asyncio.get_running_loop().call_later(1.0, self.sample)
        if self.calls_since_sample:
            self.record("calls", self.calls_since_sample)
        self.calls_since_sample = 0

    def handle_command(self, command: dict) -> None:
        """Applies or undoes a fault."""
        match command["do"]:
            case "counter_slow":
                self.latency_seconds = self.base_latency_seconds * command["factor"]
            case "counter_silent":
                self.is_silent = command["on"]
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
