"""Simulated machines on one network, and their faults: kill, power loss, freeze."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol

from loomstand.testing.simulation.loop import SimProcess
from loomstand.testing.simulation.network import MachineNetwork, SimNetwork
from loomstand.testing.simulation.sim_disk import DiskState, SimDisk


class Program(Protocol):
    """A program that a machine runs: `run` ends after `stop`."""

    def run(self) -> Coroutine[Any, Any, None]: ...

    def stop(self) -> Coroutine[Any, Any, None]: ...


Clock = Callable[[], float]
ProgramFactory = Callable[[MachineNetwork, SimDisk, Clock, Random], Program]


@dataclass(slots=True, eq=False)
class Machine:
    """A host with its disk; each start creates its programs with the factories."""

    host: str
    network: SimNetwork
    rng: Random
    factories: list[ProgramFactory]
    disk_state: DiskState
    clock_offset: float = 0.0  # seconds that its monotonic clock shows at time 0 of the loop
    clock_rate: float = 1.0  # seconds of its monotonic clock per second of the loop
    process: SimProcess | None = None
    programs: list[Any] = field(default_factory=list)

    @property
    def up(self) -> bool:
        """Whether its process is alive."""
        return self.process is not None and self.process.alive

    @property
    def is_running(self) -> bool:
        """Whether its process is alive and not frozen."""
        return self.up and self.process is not None and not self.process.frozen

    def start(self) -> None:
        """Powers the machine on and starts all programs."""
        self.network.powered_off.discard(self.host)
        process = self.process = SimProcess()
        loop = asyncio.get_running_loop()

        def start_programs() -> None:
            self.programs = []
            for factory in self.factories:
                clock = lambda: loop.time() * self.clock_rate + self.clock_offset  # noqa: E731
                seeded = Random(self.rng.getrandbits(64))
                network = MachineNetwork(self.network, self.host, process)
                program = factory(network, SimDisk(self.disk_state), clock, seeded)
                self.programs.append(program)
                loop.create_task(program.run()).add_done_callback(_raise_failure)

        process.context().run(start_programs)

    def kill(self) -> None:
        """Kills its process: its ports refuse calls, its disk keeps what was written."""
        if self.process is not None:
            self.process.alive = False
        own_addresses = [
            address
            for address, listener in self.network.listeners.items()
            if listener.process is self.process
        ]
        for address in own_addresses:
            del self.network.listeners[address]

    def power_off(self, wipe: bool = False) -> None:
        """Kills the process and turns the machine off: it no longer answers.

        A write in progress may be lost. With `wipe` the disk is erased, too.
        """
        self.kill()
        self.network.powered_off.add(self.host)
        self.disk_state.power_off()
        if wipe:
            self.disk_state.wipe()

    def freeze(self) -> None:
        """Freezes the process; its callbacks are deferred until `thaw`."""
        if self.process is not None:
            self.process.frozen = True

    def thaw(self) -> None:
        if self.process is not None:
            self.process.thaw()

    async def shut_down(self) -> None:
        """Stops the programs as on SIGTERM, then powers the machine off."""
        if self.process is not None:
            loop = asyncio.get_running_loop()
            stops = [
                loop.create_task(p.stop(), context=self.process.context()) for p in self.programs
            ]
            await asyncio.gather(*stops)
            self.power_off()


def _raise_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and (error := task.exception()):
        raise error


def machines(
    network: SimNetwork,
    rng: Random,
    hosts: list[str],
    factories: Callable[[str], list[ProgramFactory]],
) -> dict[str, Machine]:
    """Returns machines by host, each with an empty disk and its own clock; none is started."""
    return {
        host: Machine(
            host,
            network,
            rng,
            factories(host),
            DiskState(Random(rng.getrandbits(64))),
            rng.uniform(0, 1e4),
        )
        for host in hosts
    }
