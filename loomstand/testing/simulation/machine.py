"""Machines under one sky, and what can befall them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol

from loomstand.testing.simulation.loop import Life
from loomstand.testing.simulation.network import MachineNetwork, SimNetwork
from loomstand.testing.simulation.sim_disk import Platter, SimDisk


class Program(Protocol):
    def run(self) -> Coroutine[Any, Any, None]: ...

    def stop(self) -> Coroutine[Any, Any, None]: ...


Clock = Callable[[], float]
Factory = Callable[[MachineNetwork, SimDisk, Clock, Random], Program]


@dataclass(slots=True, eq=False)
class Machine:
    """A host with its disk and the programs that its factories make, each start anew."""

    host: str
    sky: SimNetwork
    rng: Random
    factories: list[Factory]
    platter: Platter
    skew: float = 0.0  # s by which its steady clock differs from the loop's
    rate: float = 1.0  # by which its steady clock runs faster than the loop's
    life: Life | None = None
    programs: list[Any] = field(default_factory=list)

    @property
    def up(self) -> bool:
        return self.life is not None and self.life.alive

    @property
    def runs(self) -> bool:
        return self.up and self.life is not None and not self.life.frozen

    def start(self) -> None:
        """Power on, all programs from their beginning."""
        self.sky.off.discard(self.host)
        life = self.life = Life()
        loop = asyncio.get_running_loop()

        def begin() -> None:
            self.programs = []
            for make in self.factories:
                clock = lambda: loop.time() * self.rate + self.skew  # noqa: E731
                seeded = Random(self.rng.getrandbits(64))
                network = MachineNetwork(self.sky, self.host, life)
                program = make(network, SimDisk(self.platter), clock, seeded)
                self.programs.append(program)
                loop.create_task(program.run()).add_done_callback(_ended)

        life.context().run(begin)

    def kill(self) -> None:
        """Its processes end this moment; its ports refuse calls, its disk keeps what was
        written.
        """
        if self.life is not None:
            self.life.alive = False
        for address in [a for a, at in self.sky.listeners.items() if at.life is self.life]:
            del self.sky.listeners[address]

    def power_off(self, wipe: bool = False) -> None:
        """As `kill`, but it falls silent, and what was being written is gone or not."""
        self.kill()
        self.sky.off.add(self.host)
        self.platter.power_off()
        if wipe:
            self.platter.wipe()

    def freeze(self) -> None:
        if self.life is not None:
            self.life.frozen = True

    def thaw(self) -> None:
        if self.life is not None:
            self.life.thaw()

    async def leave(self) -> None:
        """SIGTERM: its programs are asked to stop; then it's off."""
        if self.life is not None:
            loop = asyncio.get_running_loop()
            stops = [loop.create_task(p.stop(), context=self.life.context()) for p in self.programs]
            await asyncio.gather(*stops)
            self.power_off()


def _ended(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and (error := task.exception()):
        raise error


def machines(
    sky: SimNetwork, rng: Random, hosts: list[str], factories: Callable[[str], list[Factory]]
) -> dict[str, Machine]:
    """Machines by host, each with an empty disk and a clock of its own; none is started."""
    return {
        host: Machine(
            host,
            sky,
            rng,
            factories(host),
            Platter(Random(rng.getrandbits(64))),
            rng.uniform(0, 1e4),
        )
        for host in hosts
    }
