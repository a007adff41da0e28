"""`python -m loomstand.proxy`: the proxy on its machine."""

from random import Random

from loomstand.config.settings import Settings
from loomstand.limiter.event_loop import Turns
from loomstand.proxy.program import Proxy
from loomstand.rpc.start import run_program
from loomstand.rpc.tcp_network import TcpNetwork


async def make(settings: Settings, turns: Turns) -> Proxy:
    return Proxy(settings, TcpNetwork(), Random(), turns)


run_program(make)
