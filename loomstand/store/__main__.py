"""`python -m loomstand.store`: the store on its machine."""

import asyncio
import os
import sys
from random import Random

from loomstand.config.settings import Settings
from loomstand.limiter.event_loop import Turns
from loomstand.rpc.start import run_program
from loomstand.rpc.tcp_network import TcpNetwork
from loomstand.store.disk import LmdbDisk
from loomstand.store.program import Place, Store


class StoreProcess:
    """The store with its settings."""

    def __init__(self, settings: Settings) -> None:
        shelf = LmdbDisk(os.path.join(settings.data_directory, "granary"))
        clock = asyncio.get_running_loop().time
        self.store = Store(place(settings), TcpNetwork(), shelf, clock, Random())
        self.parting: asyncio.Task[None] | None = None

    async def run(self) -> None:
        await self.store.run()

    def stop(self) -> None:
        """Leaves: what it holds goes to another first."""
        if self.parting is None:
            self.parting = asyncio.get_running_loop().create_task(self.store.stop())

    def reload(self, settings: Settings) -> None:
        """The seeds may be others now."""
        self.store.place = place(settings)


def place(settings: Settings) -> Place:
    seeds = tuple(settings.store_address(ip) for ip, _ in settings.seed_nodes)
    grace = settings.bounds.grace_period_seconds
    return Place(settings.store_address(settings.ip_address), seeds, settings.first_start, grace)


async def make(settings: Settings, turns: Turns) -> StoreProcess:
    if not settings.data_directory:
        sys.exit("self.data_directory: missing; the store needs a disk")
    return StoreProcess(settings)


run_program(make)
