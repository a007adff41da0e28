"""`python -m loomstand.nursery`: the registry on its machine."""

from loomstand.furrow.sockets import Sockets
from loomstand.furrow.start import main
from loomstand.net.driver import Turns
from loomstand.nursery.whole import Whole
from loomstand.orchard.settings import Settings


async def make(settings: Settings, turns: Turns) -> Whole:
    return Whole(settings, Sockets(), turns)


main(make)
