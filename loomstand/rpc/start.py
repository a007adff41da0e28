"""Runs each program of the system: its settings, log, signals and event loop.

The environment variable `LOOMSTAND_CONFIG` has the path of a program's settings file. If the
settings can't be read or are invalid, the program exits at startup; at a later reload it keeps its
current settings.
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
# Interval at which the settings file is checked for changes that no SIGHUP announces.
SETTINGS_POLL_SECONDS = 1.0


class Program(Protocol):
    """A program that runs in a process."""

    async def run(self) -> None:
        """Serves until the program is stopped."""
        ...

    def stop(self) -> None:
        """Begins a graceful shutdown at SIGTERM or SIGINT; `run` returns when it is complete."""
        ...

    def reload(self, settings: Settings) -> None:
        """Applies changed settings."""
        ...


ProgramFactory = Callable[[Settings, ArrivalClockSelector], Awaitable[Program]]
"""Creates the program from its settings and the event loop's selector."""


class FileStamp(NamedTuple):
    """File metadata that changes with the contents.

    Attributes:
        modified_ns: Modification time in ns since the Unix epoch.
        size_bytes: Size in bytes.
    """

    modified_ns: int
    size_bytes: int

    @staticmethod
    def of(path: Path) -> FileStamp | None:
        """Returns the stamp of a file; None if it can't be read."""
        try:
            status = path.stat()
        except OSError:
            return None
        return FileStamp(status.st_mtime_ns, status.st_size)


def run_program(make_program: ProgramFactory) -> None:
    """Runs a program until it is stopped.

    Args:
        make_program: Creates the program.

    Raises:
        SystemExit: The settings are missing or invalid, or the program raised an OSError, such as
            for an address that is in use. Its message is one line.
    """
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        sys.exit(f"{SETTINGS_VARIABLE}: not set; it names the settings file")
    stamp = FileStamp.of(Path(path))  # before the file is read, so that no change is missed
    try:
        settings = read_settings(path)
    except SettingsError as error:
        sys.exit(f"{path}: {error}")
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    arrival_clock = ArrivalClockSelector()
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(arrival_clock)) as runner:
        try:
            runner.run(_serve(path, stamp, settings, arrival_clock, make_program))
        except OSError as error:
            sys.exit(f"{settings.node_name}: {error}")


async def _serve(
    path: str,
    stamp: FileStamp | None,
    settings: Settings,
    arrival_clock: ArrivalClockSelector,
    make_program: ProgramFactory,
) -> None:
    """Creates the program, installs its signal handlers and runs it."""
    loop = asyncio.get_running_loop()
    program = await make_program(settings, arrival_clock)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, program.stop)
    watcher = SettingsWatcher(path, program, stamp)
    loop.add_signal_handler(signal.SIGHUP, watcher.reload)
    watcher.start()
    await program.run()
    _ignore_signals(loop)


def _ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignores further signals, so that the process exits with status 0 when its work is done.

    Closing the event loop would restore the signals' default actions, which end the process.
    """
    for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.remove_signal_handler(signal_number)
        signal.signal(signal_number, signal.SIG_IGN)


class SettingsWatcher:
    """Reloads a program's settings file when it changes. State: its stamp at the last read."""

    def __init__(self, path: str, program: Program, stamp: FileStamp | None) -> None:
        """Creates a watcher that doesn't poll yet.

        Args:
            path: Path of the settings file.
            program: The program to which the settings belong.
            stamp: The file's stamp when the program's current settings were read; None if the file
                had none.
        """
        self.path = path
        self.program = program
        self.last_stamp = stamp

    def start(self) -> None:
        """Polls the file every `SETTINGS_POLL_SECONDS`, until the event loop ends."""
        asyncio.get_running_loop().call_later(SETTINGS_POLL_SECONDS, self._poll)

    def reload(self) -> None:
        """Reloads the file; the program keeps its settings if the new ones are invalid."""
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
