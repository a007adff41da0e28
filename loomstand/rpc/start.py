"""How each program of the system starts: settings, logs, signals, one event loop."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from typing import Protocol

from absl import logging

from loomstand.config.settings import Settings, SettingsError, read_settings
from loomstand.limiter.event_loop import Turns

VARIABLE = "LOOMSTAND_CONFIG"
SETTINGS_POLL_SECONDS = (
    1.0  # seconds between looks at the settings file, which may change without a signal
)


class Program(Protocol):
    """What a program gives: `reload` at changed settings, `stop` at SIGTERM; `run` ends once it
    stopped.
    """

    async def run(self) -> None: ...

    def stop(self) -> None: ...

    def reload(self, settings: Settings) -> None: ...


def run_program(make: Callable[[Settings, Turns], Awaitable[Program]]) -> None:
    """Runs the program that `make` gives; settings that can't be used end it with one line."""
    path = os.environ.get(VARIABLE, "")
    if not path:
        sys.exit(f"{VARIABLE}: not set; it names the settings file")
    try:
        settings = read_settings(path)
    except SettingsError as why:
        sys.exit(f"{path}: {why}")
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    turns = Turns()
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(turns)) as runner:
        try:
            runner.run(serve(path, settings, turns, make))
        except OSError as why:
            sys.exit(f"{settings.node_name}: {why}")


async def serve(
    path: str,
    settings: Settings,
    turns: Turns,
    make: Callable[[Settings, Turns], Awaitable[Program]],
) -> None:
    loop = asyncio.get_running_loop()
    program = await make(settings, turns)
    for sig in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(sig, program.stop)
    seen = stamp(path)

    def again() -> None:
        nonlocal seen
        seen = stamp(path)
        try:
            program.reload(read_settings(path))
        except SettingsError as why:
            logging.error("the settings can't be used, those held stand: %s", why)

    def look() -> None:
        if stamp(path) not in (seen, None):
            again()
        loop.call_later(SETTINGS_POLL_SECONDS, look)

    loop.add_signal_handler(signal.SIGHUP, again)
    loop.call_later(SETTINGS_POLL_SECONDS, look)
    await program.run()


def stamp(path: str) -> tuple[int, int] | None:
    """What changes with a file's contents; None where it can't be read."""
    try:
        stat = os.stat(path)
    except OSError:
        return None
    return stat.st_mtime_ns, stat.st_size
