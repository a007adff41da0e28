"""`python -m loomstand.nursery`: the registry on its machine."""

import asyncio

from loomstand.furrow.outside import Outside
from loomstand.furrow.sockets import Sockets
from loomstand.furrow.start import main
from loomstand.net.driver import Turns
from loomstand.nursery.program import Nursery
from loomstand.orchard.settings import Settings

MOST_BODY = 16 << 20  # of a call: a configuration of thousands of routes


class Whole(Nursery):
    """The registry with its interface to the outside."""

    def __init__(self, settings: Settings, turns: Turns) -> None:
        super().__init__(settings, Sockets(), asyncio.get_running_loop().time)
        sockets = settings.limits.file_descriptors - 400  # 200 are reserved; the rest is for the system's own
        self.desk = Outside(self.outside, turns, settings.limits.memory_mb << 18, sockets, MOST_BODY)

    async def run(self) -> None:
        assert self.settings.listen.control_plane is not None
        await self.desk.listen(self.settings.listen.control_plane)
        await super().run()
        self.desk.stop()


async def make(settings: Settings, turns: Turns) -> Whole:
    return Whole(settings, turns)


main(make)
