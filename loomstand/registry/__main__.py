"""`python -m loomstand.registry`: the registry on its machine."""

from loomstand.net.driver import Turns
from loomstand.registry.service import RegistryService
from loomstand.rpc.sockets import Sockets
from loomstand.rpc.start import main
from loomstand.shared.settings import Settings


async def make(settings: Settings, turns: Turns) -> RegistryService:
    return RegistryService(settings, Sockets(), turns)


main(make)
