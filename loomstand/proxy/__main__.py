"""Starts the proxy on its machine: `python -m loomstand.proxy`."""

import loomstand.rpc.early_signals  # noqa: F401 - first, as it has to come before the long imports

# isort: split
from random import Random

from loomstand.config.settings import Settings
from loomstand.limiter.event_loop import ArrivalClockSelector
from loomstand.proxy.program import Proxy
from loomstand.rpc.start import run_program
from loomstand.rpc.tcp_network import TcpNetwork


async def make_proxy(settings: Settings, arrival_clock: ArrivalClockSelector) -> Proxy:
    """Makes the proxy, inside the event loop that it will run on."""
    return Proxy(settings, TcpNetwork(), Random(), arrival_clock)


run_program(make_proxy)
