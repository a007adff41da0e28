"""How each program of the system runs: its settings, log, signals and event loop.

A program is started with the path of its settings file in the environment. Settings that can't be
used end it at the start; later the settings held stay.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple, Protocol

from absl import logging

from loomstand.config.settings import Settings, SettingsError, read_settings
from loomstand.limiter.event_loop import ArrivalClockSelector

SETTINGS_VARIABLE = "LOOMSTAND_CONFIG"
SETTINGS_POLL_SECONDS = 1.0  # between looks at the file, which may change without a signal


class Program(Protocol):
    """What runs in a process."""

    async def run(self) -> None:
        """Serves until it is stopped."""
        ...

    def stop(self) -> None:
        """Begins a graceful shutdown, at SIGTERM and SIGINT: `run` returns in the end."""
        ...

    def reload(self, settings: Settings) -> None:
        """Takes changed settings."""
        ...


ProgramFactory = Callable[[Settings, ArrivalClockSelector], Awaitable[Program]]
"""Makes the program from its settings and the event loop's selector."""


class FileStamp(NamedTuple):
    """What changes with a file's contents.

    Attributes:
        modified_ns: When it was last written, in ns since the epoch.
        size_bytes: Its size.
    """

    modified_ns: int
    size_bytes: int

    @staticmethod
    def of(path: Path) -> FileStamp | None:
        """Returns the stamp of a file; None where it can't be read."""
        try:
            status = path.stat()
        except OSError:
            return None
        return FileStamp(status.st_mtime_ns, status.st_size)


def run_program(make: ProgramFactory) -> None:
    """Runs the program that `make` gives; settings that can't be used end it with one line."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        sys.exit(f"{SETTINGS_VARIABLE}: not set; it names the settings file")
    stamp = FileStamp.of(Path(path))  # before the reading, so that no change after it is missed
    try:
        settings = read_settings(path)
    except SettingsError as error:
        sys.exit(f"{path}: {error}")
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    arrival_clock = ArrivalClockSelector()
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(arrival_clock)) as runner:
        try:
            runner.run(_serve(path, stamp, settings, arrival_clock, make))
        except OSError as error:
            sys.exit(f"{settings.node_name}: {error}")


async def _serve(
    path: str,
    stamp: FileStamp | None,
    settings: Settings,
    arrival_clock: ArrivalClockSelector,
    make: ProgramFactory,
) -> None:
    loop = asyncio.get_running_loop()
    program = await make(settings, arrival_clock)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, program.stop)
    watcher = SettingsWatcher(path, program, stamp)
    loop.add_signal_handler(signal.SIGHUP, watcher.reload)
    watcher.start()
    await program.run()
    _ignore_signals(loop)


def _ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Has no further signal end the process otherwise than with status 0: its work is done.

    The event loop's end would give the signals their defaults back.
    """
    for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.remove_signal_handler(signal_number)
        signal.signal(signal_number, signal.SIG_IGN)


class SettingsWatcher:
    """Has a program reload its settings file when that changes. State: the stamp last seen."""

    def __init__(self, path: str, program: Program, stamp: FileStamp | None) -> None:
        """`stamp` is the file's at the reading of the settings that the program has."""
        self.path = path
        self.program = program
        self.last_stamp = stamp

    def start(self) -> None:
        """Looks at the file again and again, until the event loop ends."""
        asyncio.get_running_loop().call_later(SETTINGS_POLL_SECONDS, self._poll)

    def reload(self) -> None:
        """Reads the file; settings that can't be used leave those held."""
        self.last_stamp = FileStamp.of(Path(self.path))
        try:
            self.program.reload(read_settings(self.path))
        except SettingsError as error:
            logging.error("rpc: settings not reloaded: path=%s error=%s", self.path, error)

    def _poll(self) -> None:
        stamp = FileStamp.of(Path(self.path))
        if stamp is not None and stamp != self.last_stamp:
            self.reload()
        self.start()
