"""`python -m loomstand.stile`: the proxy on its machine."""

from random import Random

from loomstand.furrow.sockets import Sockets
from loomstand.furrow.start import main
from loomstand.net.driver import Turns
from loomstand.orchard.settings import Settings
from loomstand.stile.program import Stile


async def make(settings: Settings, turns: Turns) -> Stile:
    return Stile(settings, Sockets(), Random(), turns)


main(make)
