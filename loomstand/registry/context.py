"""What the parts of a registry share: settings, network, background tasks and soft state."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from random import Random
from typing import Any

from loomstand.config.settings import Settings
from loomstand.registry.change_notifier import ChangeNotifier
from loomstand.registry.configuration_cache import ConfigurationCache
from loomstand.registry.instances import InstanceTable
from loomstand.registry.limiters import LimiterTable
from loomstand.registry.shared_clock import SharedClock
from loomstand.rpc.network import Address, Network


class BackgroundTasks:
    """Tasks that no caller awaits; they are cancelled when their owner closes."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[object]] = set()

    def spawn(self, work: Coroutine[Any, Any, object]) -> None:
        """Starts a task."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Cancels the tasks that still run, and waits for their end."""
        running = list(self._tasks)
        for task in running:
            task.cancel()
        if running:
            await asyncio.gather(*running, return_exceptions=True)


@dataclass(slots=True)
class RegistryContext:
    """Dependencies shared by the parts of one registry.

    Attributes:
        settings: The machine's settings.
        network: Network for the calls to other programs.
        clock: A monotonic clock, in seconds.
        rng: Source of the random numbers that distinguish this start of the registry from others.
        notifier: Wakes the sessions that wait for a change.
        core_hosts: IP addresses of the core machines whose stores answered recently, sorted; the
            seed nodes until the store on this machine first reports them.
        absent_hosts: IP addresses of the other core machines that the stores agreed on, sorted.
        is_core_known: Whether these are all core machines; False while the store knows no view.
        tasks: The background tasks.
        is_stopping: Whether the registry was asked to stop.
    """

    settings: Settings
    network: Network
    clock: Callable[[], float]
    rng: Random
    notifier: ChangeNotifier
    core_hosts: tuple[str, ...] = ()
    absent_hosts: tuple[str, ...] = ()
    is_core_known: bool = True
    tasks: BackgroundTasks = field(default_factory=BackgroundTasks)
    is_stopping: bool = False

    @property
    def host(self) -> str:
        """This machine's IP address."""
        return self.settings.ip_address

    @property
    def local_store(self) -> Address:
        """Address of the store on this machine."""
        return self.settings.store_address(self.host)

    def stores(self) -> list[Address]:
        """Returns the addresses of all stores."""
        return [self.settings.store_address(host) for host in self.core_hosts]

    def other_registries(self) -> list[Address]:
        """Returns the addresses of the other registries, of absent core machines too.

        A majority of the registries is one of these and this one: a registry that is cut off, or
        whose store has just started, would otherwise be a majority by itself.
        """
        hosts = sorted({*self.core_hosts, *self.absent_hosts} - {self.host})
        return [self.settings.registry_address(host) for host in hosts]

    def set_core_hosts(self, hosts: set[str], absent_hosts: set[str]) -> None:
        """Replaces the core machines; this machine is always included."""
        self.core_hosts = tuple(sorted({self.host, *hosts}))
        self.absent_hosts = tuple(sorted(absent_hosts - {*self.core_hosts}))


@dataclass(slots=True, frozen=True)
class RegistryState:
    """The soft state of a registry, held in memory only.

    Attributes:
        instances: The servers.
        limiters: The limiters.
        shared_clock: The limiters' shared clock.
        configuration: The newest configuration known.
    """

    instances: InstanceTable
    limiters: LimiterTable
    shared_clock: SharedClock
    configuration: ConfigurationCache
