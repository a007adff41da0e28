"""A tenant's quota is lowered and set back at once: its whole burst is granted a second time."""

from __future__ import annotations

import asyncio
import itertools
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin-2"))

from lab import (  # noqa: E402 - the path is set above
    BROKEN,
    FRONT_PORT,
    HELD,
    NO_ANSWER,
    CannotRunError,
    Lab,
    Machine,
    Record,
    Server,
    configuration,
    read_answer,
    request_head,
    route,
    run_case,
)

WINDOW_SECONDS = 5.0
OVERSHOOT = 0.1
SLACK = 20
RATE, BURST = 60, 200
LOW_RATE, LOW_BURST = 5, 5
LOW_SECONDS = 0.2
HIGH_SECONDS = 0.6
TIMES = 6
SECONDS_BEFORE = 1.0
SECONDS_AFTER = 6.0
CLIENTS = 8  # for each of four proxies
PAUSE_SECONDS = 0.085  # 32 clients: the tenant sends about 330 a second, 8.9 times its usual


def change(version: int, rate: int, burst: int) -> dict[str, object]:
    """Returns a version with the tenant's quota."""
    routes = [route("o", "/orders/", "orders", route_kind="idempotent", maximum_attempts=1)]
    result = configuration(version, routes, ["orders"])
    for resource in result["resources"]:
        if resource["resource_kind"] == "tenants":
            resource["specification"] |= {"rate_per_s": rate, "burst_size": burst}
    return result


class Case:
    """The run."""

    def __init__(self, record: Record, is_troubled: bool) -> None:
        self.record = record
        self.is_troubled = is_troubled
        self.lab = Lab(record, cores=3, fronts=4)
        self.lab.servers = [
            Server(self.lab, "orders", n, lambda _path: 0.01, slots=20) for n in range(8)
        ]
        self.sent_at: dict[str, float] = {}
        self.statuses: dict[int, int] = {}
        self.numbers = itertools.count(1)
        self.is_over = False

    async def client(self, machine: Machine) -> None:
        """Sends requests of the tenant, one after the other, on a kept connection."""
        writer = None
        while not self.is_over:
            answer = NO_ANSWER
            try:
                if writer is None:
                    async with asyncio.timeout(1.0):
                        reader, writer = await asyncio.open_connection(machine.ip, FRONT_PORT)
                request_id = f"order-{next(self.numbers):06d}"
                self.sent_at[request_id] = self.record.now()
                writer.write(request_head("GET", "/orders/x", request_id, 3000, ""))
                answer = await read_answer(reader)
                self.record.write(f"client: {request_id} at {machine.name}: {answer.status}")
            except (OSError, TimeoutError):
                pass
            self.statuses[answer.status] = self.statuses.get(answer.status, 0) + 1
            if not answer.status or answer.fields.get("connection") == "close":
                if writer is not None:
                    writer.transport.abort()
                writer = None
            await asyncio.sleep(PAUSE_SECONDS)
        if writer is not None:
            writer.transport.abort()

    async def run(self) -> int:
        """Plays the case and judges it."""
        await self.lab.begin(change(1, RATE, BURST))
        self.record.say("ready")
        await asyncio.sleep(4.0)
        clients = [
            asyncio.create_task(self.client(m)) for m in self.lab.fronts for _ in range(CLIENTS)
        ]
        await asyncio.sleep(SECONDS_BEFORE)
        if self.is_troubled:
            for version in range(2, 2 + 2 * TIMES, 2):
                self.record.say(f"quota: {LOW_RATE} a second and {LOW_BURST}")
                is_low = await self.lab.replace(change(version, LOW_RATE, LOW_BURST), 5.0)
                await asyncio.sleep(LOW_SECONDS)
                self.record.say(f"quota: {RATE} a second and {BURST}")
                if not (is_low and await self.lab.replace(change(version + 1, RATE, BURST), 5.0)):
                    raise CannotRunError("a change was not acknowledged")
                await asyncio.sleep(HIGH_SECONDS)
        await asyncio.sleep(SECONDS_AFTER)
        self.is_over = True
        await asyncio.gather(*clients)
        return self.judge()

    def judge(self) -> int:
        """Counts the requests that were sent and reached a server that ran them in a window."""
        runs = [
            (self.sent_at[arrival.request_id], arrival.at)
            for server in self.lab.servers
            for arrival in server.arrivals
            if arrival.has_run
        ]
        most, most_at = 0, 0.0
        for begin, _ in runs:
            end = begin + WINDOW_SECONDS
            count = sum(sent_at >= begin and arrived_at <= end for sent_at, arrived_at in runs)
            if count > most:
                most, most_at = count, begin
        # by the higher of the quotas throughout, though for half a second a lower one held
        allowed = (RATE * WINDOW_SECONDS + BURST) * (1 + OVERSHOOT) + SLACK
        self.record.say(
            f"most in {WINDOW_SECONDS} s: {most}, from {most_at:.3f} on; allowed: {allowed:.0f};"
            f" answers by status: {self.statuses}"
        )
        return BROKEN if most > allowed else HELD


async def main(record: Record, is_troubled: bool) -> int:
    """Runs the case and ends everything."""
    case = Case(record, is_troubled)
    try:
        return await case.run()
    finally:
        await case.lab.end()


if __name__ == "__main__":
    run_case(main, FOLDER)
