"""Signals to a program that is still starting, on real processes.

SIGHUP must not end a program that has not set its signal handlers yet: the process starts and loads
its code, the platform changes the settings file and sends SIGHUP, and only then the program sets
its handlers. Until then SIGHUP has the system's default action, which ends the process without a
log line. Seed 35 of the soak test showed this: a proxy killed at 3.0 s and restarted got SIGHUP at
3.3 s.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time

import pytest

START_TIMEOUT_SECONDS = 20.0
PROGRAMS = ("proxy", "registry", "store")


def open_when_reader_is_present(path: str) -> int:
    """Opens a pipe for writing after the program has opened it for reading."""
    deadline = time.monotonic() + START_TIMEOUT_SECONDS
    while True:
        try:
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:  # the program has not opened it yet
            assert time.monotonic() < deadline, "the program never opened its settings file"
            time.sleep(0.01)


@pytest.mark.parametrize("program", PROGRAMS)
def test_a_program_that_is_starting_survives_sighup(program, tmp_path):
    """The settings file is a pipe, so the program blocks while it reads the settings."""
    path = tmp_path / "settings"
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, "-m", f"loomstand.{program}"],
        env=os.environ | {"LOOMSTAND_CONFIG": str(path)},
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        writer = open_when_reader_is_present(str(path))
        process.send_signal(signal.SIGHUP)
        time.sleep(0.1)
        os.write(writer, b"no settings\n")
        os.close(writer)
        _, errors = process.communicate(timeout=START_TIMEOUT_SECONDS)
    finally:
        process.kill()
        process.wait()
    assert process.returncode == 1, errors  # the program read the settings and reports their error
    assert str(path) in errors
