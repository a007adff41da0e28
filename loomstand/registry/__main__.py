"""`python -m loomstand.registry`: the registry on its machine."""

from loomstand.config.settings import Settings
from loomstand.limiter.event_loop import Turns
from loomstand.registry.process import RegistryService
from loomstand.rpc.sockets import Sockets
from loomstand.rpc.start import main


async def make(settings: Settings, turns: Turns) -> RegistryService:
    return RegistryService(settings, Sockets(), turns)


main(make)
