"""Signals that the soak test sends to its processes."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from unittest import mock

from loomstand.testing.soak.cluster import SoakCluster
from loomstand.testing.soak.loopback import DelayedTransport, claim_network
from loomstand.testing.soak.processes import Disturbance, ProgramProcess


class RecordingProcess:
    """Stands in for a running process; records the signals that it gets."""

    returncode = None

    def __init__(self) -> None:
        self.signals: list[signal.Signals] = []

    def send_signal(self, number: signal.Signals) -> None:
        self.signals.append(number)


def test_a_frozen_process_that_was_restarted_before_gets_no_second_sigterm():
    """A frozen process may still be starting, and SIGTERM then ends it by its default action."""

    async def run() -> list[signal.Signals]:
        process = ProgramProcess("p", "m", "127.0.0.1", lambda _: None, Path("s"), Path("l"))
        process.process = RecordingProcess()  # type: ignore[assignment]
        process.disturbances.append(Disturbance(0.0, 1.0, is_planned=True))
        freeze = asyncio.ensure_future(process.freeze(0.02))
        await asyncio.sleep(0.01)
        await process.terminate_again()
        await freeze
        return process.process.signals  # type: ignore[union-attr]

    assert asyncio.run(run()) == [signal.SIGSTOP, signal.SIGCONT]


def test_a_proxy_gets_sigterm_only_once_it_serves_a_request():
    async def run() -> tuple[list[signal.Signals], list[signal.Signals]]:
        process = ProgramProcess("p", "m", "127.0.0.1", lambda _: None, Path("s"), Path("l"))
        requests: list[str] = []
        signals: list[signal.Signals] = []

        async def terminate(grace_seconds: float, restart: bool = True) -> None:
            signals.append(signal.SIGTERM)

        with mock.patch.object(ProgramProcess, "terminate", lambda _, *a: terminate(*a)):
            stop = asyncio.ensure_future(process.terminate_busy(lambda: bool(requests), 6.0))
            await asyncio.sleep(0.03)
            before = list(signals)
            requests.append("r1")
            await stop
        return before, signals

    assert asyncio.run(run()) == ([], [signal.SIGTERM])


def test_bytes_of_a_client_reach_the_proxy_later():
    """So that a request may cross the proxy's close of the connection."""

    async def run() -> list[bytes]:
        written: list[bytes] = []
        transport = mock.Mock(write=written.append)
        delayed = DelayedTransport(transport, 0.02)
        delayed.write(b"GET")
        delayed.close()
        early = list(written)
        await asyncio.sleep(0.05)
        transport.close.assert_called_once_with()
        return [*early, b"|", *written]

    assert asyncio.run(run()) == [b"|", b"GET"]


def test_concurrent_runs_use_different_networks():
    """Two runs that were started at the same moment got the same addresses and failed all over."""
    with claim_network(7) as first, claim_network(7) as second, claim_network(8) as third:
        assert len({first, second, third}) == 3
    with claim_network(7) as again:
        assert again == first


def test_settings_are_replaced_as_a_whole(tmp_path):
    """A program that started as its settings were written again read none, and exited."""
    process = next(iter(SoakCluster(1, 1, 1, tmp_path).processes.values()))
    process.write_settings(True)
    with process.settings_path.open() as earlier:
        process.write_settings(False)
        assert "self.first_start=true" in earlier.read()
    assert "self.first_start=false" in process.settings_path.read_text()
