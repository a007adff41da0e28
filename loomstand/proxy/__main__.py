"""`python -m loomstand.proxy`: the proxy on its machine."""

from random import Random

from loomstand.config.settings import Settings
from loomstand.limiter.event_loop import Turns
from loomstand.proxy.program import Proxy
from loomstand.rpc.sockets import Sockets
from loomstand.rpc.start import main


async def make(settings: Settings, turns: Turns) -> Proxy:
    return Proxy(settings, Sockets(), Random(), turns)


main(make)
