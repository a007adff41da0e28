"""One invalid configuration, in which a name is given twice, makes all registries hang."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin-2"))

from lab import (  # noqa: E402 - the path is set above
    BROKEN,
    HELD,
    MULTIPLE_CHOICES,
    OK,
    Lab,
    Machine,
    Record,
    Server,
    configuration,
    route,
    run_case,
)

NAMES = 24_000
ACKNOWLEDGE_SECONDS = 5.0 + 0.003  # and 3 ms for the one route
FINAL_STATUSES = (400, 409, 412, 413, 422)  # they end an operator's call
LARGE_PATIENCE_SECONDS = 4.0  # "a second of silence (longer for large bodies)"
SECONDS_BEFORE_ORDERS = 9.0
WATCH_SECONDS = 15.0  # after these orders were sent
LATE_LEAVES = 3  # "more than a fifth (three at least)"
SERVERS = 20
LEAVING = 3  # a share of 0.15


def invalid_configuration() -> bytes:
    """Returns a configuration that gives `resources` by name, and the last name twice."""
    specification = route("x", "/x/", "orders")["specification"]
    entry = json.dumps({"resource_kind": "routes", "specification": specification})
    names = [*range(NAMES), NAMES - 1]
    entries = ",".join(f'"r-{name}":{entry}' for name in names)
    return f'{{"version":"r90","resources":{{{entries}}}}}'.encode()


def processor_seconds(machine: Machine) -> float:
    """Returns the processor time that a machine's registry has used."""
    stat = Path(f"/proc/{machine.processes['registry'].pid}/stat").read_text(encoding="ascii")
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Case:
    """The run."""

    def __init__(self, record: Record, is_troubled: bool) -> None:
        self.record = record
        self.is_troubled = is_troubled
        self.lab = Lab(record, cores=3, fronts=2)
        self.lab.servers = [
            Server(self.lab, "orders", n, lambda _path: 0.05) for n in range(SERVERS)
        ]

    async def send_invalid(self) -> None:
        """Sends the invalid configuration to one limiter after the other until one refuses it."""
        body = invalid_configuration()
        pause = 0.2
        while True:
            for machine in self.lab.cores:
                answer = await self.lab.control(
                    machine, "configuration.replace", body, LARGE_PATIENCE_SECONDS
                )
                self.record.say(
                    f"operator: invalid, {len(body)} bytes, to {machine.name}:"
                    f" {answer.status or 'no answer'}"
                )
                if OK <= answer.status < MULTIPLE_CHOICES or answer.status in FINAL_STATUSES:
                    return
                await asyncio.sleep(pause)
                pause = min(1.0, 1.5 * pause)

    async def run(self) -> int:
        """Plays the case and judges it."""
        routes = [route("o", "/orders/", "orders")]
        await self.lab.begin(configuration(1, routes, ["orders"]))
        self.record.say("ready")
        await asyncio.sleep(4.0)
        tasks = []
        if self.is_troubled:
            tasks.append(asyncio.create_task(self.send_invalid()))
        await asyncio.sleep(SECONDS_BEFORE_ORDERS)
        used = {machine.name: processor_seconds(machine) for machine in self.lab.cores}
        began = time.monotonic()
        seconds: dict[str, float] = {}

        async def change() -> None:
            if await self.lab.replace(configuration(5, routes, ["orders"]), WATCH_SECONDS):
                seconds["the valid change"] = time.monotonic() - began

        async def leave(server: Server) -> None:
            await server.leave()
            seconds[f"the leave of {server.id}"] = time.monotonic() - began

        leaving = self.lab.servers[:LEAVING]
        tasks.append(asyncio.create_task(change()))
        tasks += [asyncio.create_task(leave(server)) for server in leaving]
        await asyncio.sleep(WATCH_SECONDS)
        for machine in self.lab.cores:
            spent = processor_seconds(machine) - used[machine.name]
            self.record.say(
                f"the registry of {machine.name} used the processor for {spent:.1f} s"
                f" of {time.monotonic() - began:.1f} s"
            )
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return self.judge([f"the leave of {server.id}" for server in leaving], seconds)

    def judge(self, leaves: list[str], seconds: dict[str, float]) -> int:
        """Looks whether the change, or three leaves, had no acknowledgement in time."""
        for name in ("the valid change", *leaves):
            text = f"acknowledged after {seconds[name]:.2f} s" if name in seconds else "no answer"
            self.record.say(f"{name}: {text}")

        def is_late(name: str) -> bool:
            return seconds.get(name, WATCH_SECONDS) > ACKNOWLEDGE_SECONDS

        late_leaves = sum(is_late(name) for name in leaves)
        is_broken = is_late("the valid change") or late_leaves >= LATE_LEAVES
        return BROKEN if is_broken else HELD


async def main(record: Record, is_troubled: bool) -> int:
    """Runs the case and ends everything."""
    case = Case(record, is_troubled)
    try:
        return await case.run()
    finally:
        await case.lab.end()


if __name__ == "__main__":
    run_case(main, FOLDER)
