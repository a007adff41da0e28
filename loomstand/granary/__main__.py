"""`python -m loomstand.granary`: the store on its machine."""

import asyncio
import os
import sys
from random import Random

from loomstand.furrow.sockets import Sockets
from loomstand.furrow.start import main
from loomstand.granary.program import Granary, Place
from loomstand.granary.shelf import Shelf
from loomstand.net.driver import Turns
from loomstand.orchard.settings import Settings


class Store:
    """The store with its settings."""

    def __init__(self, settings: Settings) -> None:
        shelf = Shelf(os.path.join(settings.data_directory, "granary"))
        clock = asyncio.get_running_loop().time
        self.granary = Granary(place(settings), Sockets(), shelf, clock, Random())
        self.parting: asyncio.Task[None] | None = None

    async def run(self) -> None:
        await self.granary.run()

    def stop(self) -> None:
        """Leaves: what it holds goes to another first."""
        if self.parting is None:
            self.parting = asyncio.get_running_loop().create_task(self.granary.stop())

    def reload(self, settings: Settings) -> None:
        """The seeds may be others now."""
        self.granary.place = place(settings)


def place(settings: Settings) -> Place:
    seeds = tuple(settings.granary(ip) for ip, _ in settings.seeds)
    return Place(settings.granary(settings.ip_address), seeds, settings.first_start)


async def make(settings: Settings, turns: Turns) -> Store:
    if not settings.data_directory:
        sys.exit("self.data_directory: missing; the store needs a disk")
    return Store(settings)


main(make)
