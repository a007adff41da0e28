"""`python -m loomstand.store`: runs the store of one core machine."""

import loomstand.rpc.early_signals  # noqa: F401 - must run before the slow imports

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

# Name of the database folder; existing installations use it.
DISK_FOLDER = "granary"


class StoreProcess:
    """The process that runs a store by its settings."""

    def __init__(self, settings: Settings) -> None:
        """Creates the store with a real disk and real sockets."""
        disk = LmdbDisk(Path(settings.data_directory) / DISK_FOLDER)
        clock = asyncio.get_running_loop().time
        self._store = Store(store_settings(settings), TcpNetwork(), disk, clock, Random())
        self._stopping: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Serves until a shutdown started by `stop` has finished."""
        await self._store.run()

    def stop(self) -> None:
        """Starts a graceful shutdown: other members take over this store's roles first."""
        if self._stopping is None:
            self._stopping = asyncio.get_running_loop().create_task(self._store.stop())

    def reload(self, settings: Settings) -> None:
        """Applies new settings; the seed addresses may have changed."""
        self._store.settings = store_settings(settings)


def store_settings(settings: Settings) -> StoreSettings:
    """Returns the part of the settings that the store uses."""
    seeds = tuple(settings.store_address(ip) for ip, _ in settings.seed_nodes)
    return StoreSettings(
        settings.store_address(settings.ip_address),
        seeds,
        settings.first_start,
        settings.bounds.grace_period_seconds,
    )


async def make_process(settings: Settings, _arrival_clock: ArrivalClockSelector) -> StoreProcess:
    """Creates the process; exits if no data directory is configured."""
    if not settings.data_directory:
        sys.exit("self.data_directory: missing; the store needs a disk")
    return StoreProcess(settings)


run_program(make_process)
