"""The processes of a soak run: starts, signals, and checks of exit status and log.

The kernel kills each process when the process of the run dies, whatever ends it.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import os
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from pathlib import Path

import psutil

from loomstand.rpc.start import SETTINGS_VARIABLE

PR_SET_PDEATHSIG = 1
SIGNAL_MASKS = ("SigIgn:", "SigCgt:")  # ignored and caught signals, in /proc/PID/status
SIGNAL_POLL_SECONDS = 0.01
BUSY_POLL_SECONDS = 0.001
BUSY_WAIT_SECONDS = 0.5
# Parts of log lines that indicate a fault of the programs themselves (docs/on-call.md).
FAULT_WORDS = (
    "Traceback",
    "failed on",
    "_failed error",
    "task failed",
    "call failed",
    "exception was never retrieved",
    "not a frame",
    "unusable",
)


def end_with_parent() -> None:
    """Makes the kernel send SIGKILL when the parent dies; runs in the child before exec."""
    ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A period in which the run had stopped or frozen a process.

    Attributes:
        began: In seconds by the event loop's clock.
        ended: Likewise; the time of the restart or of the end of a freeze.
        is_planned: Whether the process was stopped by SIGTERM.
    """

    began: float
    ended: float
    is_planned: bool


@dataclass(frozen=True, slots=True)
class Overdue:
    """A process that had not exited at the end of its grace period.

    Attributes:
        at: In seconds by the event loop's clock.
        processor_seconds: Processor time that it used in the grace period.
        connections: Number of its established connections.
    """

    at: float
    processor_seconds: float
    connections: int


@dataclass(slots=True)
class ProgramProcess:
    """One program on one machine, across its restarts.

    Attributes:
        name: Its name in schedules and reports.
        module: The Python module that it runs.
        ip: The address of its machine.
        write_settings: Writes the settings file; its argument is whether the whole system starts
            for the first time.
        settings_path: The settings file.
        log_path: The file for the output of all its processes.
        process: The current process, or the last one.
        disturbances: What the run did to it, in order.
        faults: Its faults, such as a wrong exit status.
        overdue: Each time that it exceeded its grace period and got SIGKILL.
        is_busy: Whether a stop with a restart, or a freeze, is in progress.
        is_terminating: Whether it got SIGTERM and has not exited yet.
    """

    name: str
    module: str
    ip: str
    write_settings: Callable[[bool], None]
    settings_path: Path
    log_path: Path
    process: asyncio.subprocess.Process | None = None
    disturbances: list[Disturbance] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    overdue: list[Overdue] = field(default_factory=list)
    is_busy: bool = False
    is_terminating: bool = False

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    async def start(self, is_first: bool = False) -> None:
        """Writes the settings and starts a process."""
        self.write_settings(is_first)
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                self.module,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=os.environ | {SETTINGS_VARIABLE: str(self.settings_path)},
                preexec_fn=end_with_parent,
            )

    @property
    def is_running(self) -> bool:
        """Whether its process is running."""
        return self.process is not None and self.process.returncode is None

    def handles(self, number: signal.Signals) -> bool:
        """Returns whether the process catches or ignores a signal; True if it has exited.

        Until the program has installed its handlers, the default action of the signal ends it.
        """
        assert self.process is not None
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:  # it has exited
            return True
        masks = [line.split()[1] for line in status.splitlines() if line.startswith(SIGNAL_MASKS)]
        return any(int(mask, 16) >> (number - 1) & 1 for mask in masks)

    def send(self, number: signal.Signals) -> None:
        """Sends a signal if the process is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def hang_up(self) -> None:
        """Rewrites the settings file and sends SIGHUP."""
        if self.is_running:
            self.write_settings(False)
            while self.is_running and not self.handles(signal.SIGHUP):  # noqa: ASYNC110 - no event to wait for
                await asyncio.sleep(SIGNAL_POLL_SECONDS)
            self.send(signal.SIGHUP)

    async def terminate(self, grace_seconds: float, restart: bool = True) -> None:
        """Sends SIGTERM, and SIGKILL after the grace period; then starts the process again."""
        await self._stop(signal.SIGTERM, grace_seconds, restart)

    async def terminate_busy(self, is_busy: Callable[[], bool], grace_seconds: float) -> None:
        """Sends SIGTERM as soon as `is_busy` holds, at most `BUSY_WAIT_SECONDS` later."""
        until = self._now() + BUSY_WAIT_SECONDS
        while not is_busy() and self._now() < until:  # noqa: ASYNC110 - no event to wait for
            await asyncio.sleep(BUSY_POLL_SECONDS)
        await self.terminate(grace_seconds)

    async def terminate_again(self) -> None:
        """Sends another SIGTERM to a process that is already stopping; otherwise does nothing."""
        if self.is_terminating:
            self.send(signal.SIGTERM)

    async def kill(self, restart: bool = True) -> None:
        """Sends SIGKILL and starts the process again."""
        await self._stop(signal.SIGKILL, inf, restart)

    async def freeze(self, seconds: float) -> None:
        """Sends SIGSTOP, and SIGCONT after the given time."""
        if self.is_busy or not self.is_running:
            return
        began = self._now()
        self.is_busy = True
        self.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.send(signal.SIGCONT)
        self.is_busy = False
        self._record(began, is_planned=False)

    async def _stop(self, number: signal.Signals, grace_seconds: float, restart: bool) -> None:
        if self.is_busy or not self.is_running:
            return  # already stopping or exited
        assert self.process is not None
        self.is_busy = True
        began = asyncio.get_running_loop().time()
        is_planned = number is signal.SIGTERM
        is_starting = not self.handles(number)  # it cannot have accepted requests yet
        # open-ended until the restart, as checks may read the disturbances before that
        self.disturbances.append(Disturbance(began, inf, is_planned))
        self.send(number)
        self.is_terminating = is_planned
        is_overdue = False
        processor_seconds_before = self._processor_seconds()
        try:
            async with asyncio.timeout(None if grace_seconds == inf else grace_seconds):
                await self.process.wait()
        except TimeoutError:
            is_overdue = True
            now = self._now()
            processor_seconds = self._processor_seconds() - processor_seconds_before
            self.overdue.append(Overdue(now, processor_seconds, self._connection_count()))
            self.disturbances.insert(0, Disturbance(now, now, is_planned=False))
            self.send(signal.SIGKILL)
            await self.process.wait()
        self.is_terminating = False
        allowed = (0, -signal.SIGTERM) if is_starting else (0,)
        if is_planned and not is_overdue and self.process.returncode not in allowed:
            self.faults.append(f"{self.name}: exit status {self.process.returncode} after SIGTERM")
        if restart:
            await self.start()
        self.disturbances.pop()
        self.is_busy = False
        self._record(began, is_planned)

    def _processor_seconds(self) -> float:
        """Returns the processor time that the process has used; 0 if it has exited."""
        assert self.process is not None
        with contextlib.suppress(psutil.Error):
            times = psutil.Process(self.process.pid).cpu_times()
            return times.user + times.system
        return 0.0

    def _connection_count(self) -> int:
        """Returns the number of the process's established connections; 0 if it has exited."""
        assert self.process is not None
        with contextlib.suppress(psutil.Error):
            connections = psutil.Process(self.process.pid).net_connections("tcp")
            return sum(c.status == psutil.CONN_ESTABLISHED for c in connections)
        return 0

    def _record(self, began: float, is_planned: bool) -> None:
        now = asyncio.get_running_loop().time()
        self.disturbances.append(Disturbance(began, now, is_planned))

    def check_running(self) -> None:
        """Records a fault if the process has exited unexpectedly."""
        if not self.is_busy and not self.is_running:
            status = self.process.returncode if self.process is not None else "never started"
            lines = self.log_path.read_text(errors="replace").splitlines()
            last_line = lines[-1] if lines else "nothing"
            self.faults.append(
                f"{self.name}: ended by itself, exit status {status}; logged last: {last_line}"
            )

    def check_log(self) -> list[str]:
        """Returns the faults of all its processes, with the log lines that indicate faults."""
        faults = list(self.faults)
        lines = self.log_path.read_text(errors="replace").splitlines()
        fault_lines = [line for line in lines if any(word in line for word in FAULT_WORDS)]
        return faults + [f"{self.name}: {line}" for line in fault_lines]

    def was_disturbed(self, since: float, until: float, planned_too: bool) -> bool:
        """Returns whether it was disturbed in a span, in seconds by the event loop's clock."""
        return any(
            disturbance.began <= until
            and disturbance.ended >= since
            and (planned_too or not disturbance.is_planned)
            for disturbance in self.disturbances
        )
