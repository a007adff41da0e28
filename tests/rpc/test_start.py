"""Reloads of the settings file, and signals at the end of a program."""

from __future__ import annotations

import asyncio
import os
import signal
from pathlib import Path

import pytest

from loomstand.config.settings import SettingsError
from loomstand.rpc import start


class RecordingProgram:
    """Records the settings that it is given."""

    def __init__(self):
        self.settings = []

    def reload(self, settings):
        self.settings.append(settings)


@pytest.fixture
def file(tmp_path, monkeypatch):
    """A settings file whose settings are its text; the text "bad" is invalid."""

    def read(path):
        text = Path(path).read_text()
        if text == "bad":
            raise SettingsError(text)
        return text

    monkeypatch.setattr(start, "read_settings", read)
    monkeypatch.setattr(start, "SETTINGS_POLL_SECONDS", 0.001)
    path = tmp_path / "settings"
    path.write_text("one")
    return path


def write_file(path, text, modified_ns):
    path.write_text(text)
    os.utime(path, ns=(modified_ns, modified_ns))


async def reloaded_settings(path, steps, stamp=None):
    program = RecordingProgram()
    watcher = start.SettingsWatcher(str(path), program, stamp or start.FileStamp.of(path))
    watcher.start()
    for step in steps:
        step(watcher)
        await asyncio.sleep(0.05)
    return program.settings


def test_changed_file_is_reloaded_once(file):
    steps = [lambda watcher: None, lambda watcher: write_file(file, "two", 10**18)]
    assert asyncio.run(reloaded_settings(file, steps)) == ["two"]


def test_file_changed_during_startup_is_reloaded(file):
    stamp = start.FileStamp.of(file)
    write_file(file, "two", 10**18)
    assert asyncio.run(reloaded_settings(file, [lambda watcher: None], stamp)) == ["two"]


def test_signal_reloads_an_unchanged_file(file):
    assert asyncio.run(reloaded_settings(file, [lambda watcher: watcher.reload()])) == ["one"]


def test_invalid_settings_are_skipped_and_the_next_valid_ones_are_applied(file):
    steps = [
        lambda watcher: write_file(file, "bad", 10**18),
        lambda watcher: write_file(file, "three", 2 * 10**18),
    ]
    assert asyncio.run(reloaded_settings(file, steps)) == ["three"]


def test_file_is_reloaded_after_it_was_deleted_and_recreated(file):
    steps = [lambda watcher: file.unlink(), lambda watcher: write_file(file, "four", 10**18)]
    assert asyncio.run(reloaded_settings(file, steps)) == ["four"]


def test_signals_during_shutdown_do_not_change_the_exit_status():
    """A second SIGTERM after a proxy's event loop had ended gave exit status -15, not 0."""
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    before = {number: signal.getsignal(number) for number in numbers}

    async def run() -> None:
        loop = asyncio.get_running_loop()
        for number in numbers:
            loop.add_signal_handler(number, lambda: None)
        start._ignore_signals(loop)

    try:
        asyncio.run(run())
        assert {signal.getsignal(number) for number in numbers} == {signal.SIG_IGN}
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)
