"""`python -m loomstand.store`: the store on its machine."""

import loomstand.rpc.early_signals  # noqa: F401 - first, as it has to come before the long imports

# isort: split
import asyncio
import sys
from pathlib import Path
from random import Random

from loomstand.config.settings import Settings
from loomstand.limiter.event_loop import ArrivalClockSelector
from loomstand.rpc.start import run_program
from loomstand.rpc.tcp_network import TcpNetwork
from loomstand.store.disk import LmdbDisk
from loomstand.store.program import Store, StoreSettings

# The folder's name on disks in service.
DISK_FOLDER = "granary"


class StoreProcess:
    """The store with its settings."""

    def __init__(self, settings: Settings) -> None:
        """Sets the store up, with a real disk and real sockets."""
        disk = LmdbDisk(Path(settings.data_directory) / DISK_FOLDER)
        clock = asyncio.get_running_loop().time
        self._store = Store(store_settings(settings), TcpNetwork(), disk, clock, Random())
        self._stopping: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Serves until `stop` is done."""
        await self._store.run()

    def stop(self) -> None:
        """Ends it gracefully: what it holds goes to another first."""
        if self._stopping is None:
            self._stopping = asyncio.get_running_loop().create_task(self._store.stop())

    def reload(self, settings: Settings) -> None:
        """The seeds may be others now."""
        self._store.settings = store_settings(settings)


def store_settings(settings: Settings) -> StoreSettings:
    """What of the settings the store needs."""
    seeds = tuple(settings.store_address(ip) for ip, _ in settings.seed_nodes)
    return StoreSettings(
        settings.store_address(settings.ip_address),
        seeds,
        settings.first_start,
        settings.bounds.grace_period_seconds,
    )


async def make_process(settings: Settings, _arrival_clock: ArrivalClockSelector) -> StoreProcess:
    """The process; without a disk it ends at once."""
    if not settings.data_directory:
        sys.exit("self.data_directory: missing; the store needs a disk")
    return StoreProcess(settings)


run_program(make_process)
