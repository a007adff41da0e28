"""What all processes of a rehearsal but the limiters share: orders on their input, and a trail.

`python -m loomstand.testing.rehearsal.child ROLE` reads its configuration from the first line of
its input, writes one line when it is ready (servers say in it since when each listens), and takes
an order a line. The end of its input ends it: none outlives the rehearsal, whichever way that ends.
"""

from __future__ import annotations

import asyncio
import importlib
import os
import sys
import time
from collections.abc import Callable

import msgspec

ROLES = {
    "servers": "loomstand.testing.rehearsal.servers",
    "counter": "loomstand.testing.rehearsal.counter",
    "discovery": "loomstand.testing.rehearsal.discovery",
    "links": "loomstand.testing.rehearsal.links",
    "driver": "loomstand.testing.rehearsal.driver",
}


class Trail:
    """Rows written as they happen, a JSON array a line, [what, Unix time in s, ...]: a SIGKILL
    loses none.
    """

    def __init__(self, path: str) -> None:
        self.file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)

    def __call__(self, what: str, *more: object, at: float | None = None) -> None:
        os.write(
            self.file, msgspec.json.encode([what, time.time() if at is None else at, *more]) + b"\n"
        )


Order = Callable[[dict], None]


async def obey(order: Order) -> None:
    """Hands on the orders that come, until the input ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 24)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        order(msgspec.json.decode(line))


def say(**told: object) -> None:
    """A line to the stage."""
    print(msgspec.json.encode(told).decode(), flush=True)


def main() -> None:
    role = importlib.import_module(ROLES[sys.argv[1]])
    line = sys.stdin.buffer.raw.readline()  # unbuffered: what follows is for `obey`
    if not line:
        return

    async def run() -> None:
        config = msgspec.json.decode(line)
        order = await role.start(config)
        say(ready=True, booted=config.get("booted", {}))
        await obey(order)

    asyncio.run(run())


if __name__ == "__main__":
    main()
