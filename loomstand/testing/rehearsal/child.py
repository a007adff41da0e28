"""Common code of all processes of a rehearsal except the limiters: commands and the event log.

`python -m loomstand.testing.rehearsal.child ROLE` reads its configuration from the first line of
its standard input and prints one line when it is ready, which holds the time at which each server
began to listen. Each further input line is a command. The process exits at the end of its input, so
it does not outlive the rehearsal however that ends. All messages are JSON objects, one per line.
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


class EventLog:
    """Appends events to a file, one JSON array per line: [name, Unix time in s, ...].

    Each event is written by one system call without a buffer, so SIGKILL loses no earlier event.
    """

    def __init__(self, path: str) -> None:
        self.file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)

    def __call__(self, name: str, *values: object, at: float | None = None) -> None:
        """Appends an event at the Unix time `at`, by default now."""
        os.write(
            self.file,
            msgspec.json.encode([name, time.time() if at is None else at, *values]) + b"\n",
        )


CommandHandler = Callable[[dict], None]


async def handle_commands(handle: CommandHandler) -> None:
    """Passes each command to the handler until the standard input ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 24)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        handle(msgspec.json.decode(line))


def send_message(**message: object) -> None:
    """Prints a message for the process that runs the rehearsal."""
    print(msgspec.json.encode(message).decode(), flush=True)


def main() -> None:
    """Runs the role named by the first argument; the first line of input is its configuration."""
    role = importlib.import_module(ROLES[sys.argv[1]])
    line = sys.stdin.buffer.raw.readline()  # unbuffered: `handle_commands` reads the rest
    if not line:
        return

    async def run() -> None:
        config = msgspec.json.decode(line)
        handle = await role.start(config)
        send_message(ready=True, booted=config.get("booted", {}))
        await handle_commands(handle)

    asyncio.run(run())


if __name__ == "__main__":
    main()
