"""`python -m loomstand.registry`: runs the registry on its machine."""

import loomstand.rpc.early_signals  # noqa: F401 - must precede the slow imports

# isort: split
from loomstand.config.settings import Settings
from loomstand.limiter.event_loop import ArrivalClockSelector
from loomstand.registry.process import RegistryService
from loomstand.rpc.start import run_program
from loomstand.rpc.tcp_network import TcpNetwork


async def make_registry(settings: Settings, arrival_clock: ArrivalClockSelector) -> RegistryService:
    """Creates a registry on real sockets."""
    return RegistryService(settings, TcpNetwork(), arrival_clock)


run_program(make_registry)
