"""Runs the proxy program: `python -m loomstand.proxy`."""

import loomstand.rpc.early_signals  # noqa: F401 - must precede the slow imports below

# isort: split
from random import Random

from loomstand.config.settings import Settings
from loomstand.limiter.event_loop import ArrivalClockSelector
from loomstand.proxy.program import Proxy
from loomstand.rpc.start import run_program
from loomstand.rpc.tcp_network import TcpNetwork


async def make_proxy(settings: Settings, arrival_clock: ArrivalClockSelector) -> Proxy:
    """Creates the proxy; must be called within the event loop that runs it."""
    return Proxy(settings, TcpNetwork(), Random(), arrival_clock)


run_program(make_proxy)
