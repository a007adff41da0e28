"""The registry with its interface to the outside."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loomstand.config.settings import Settings
from loomstand.limiter.event_loop import Streams, Turns
from loomstand.registry.program import Registry
from loomstand.rpc.network import Network
from loomstand.rpc.operator_http import OperatorHttpServer

# Bytes of a call: a configuration of 24,000 routes. With it a registry or a limiter takes 160 MB of
# some 300, a store's file 40 of its disk's 256, and a frame of ours (rpc/frames.py) holds it with
# room to spare.
MOST_BODY = 8 << 20


class RegistryService(Registry):
    """A registry that takes the calls from outside."""

    def __init__(
        self,
        settings: Settings,
        network: Network,
        turns: Turns | None,
        clock: Callable[[], float] | None = None,
        wall: float | None = None,
        streams: Streams | None = None,
    ) -> None:
        """`clock` and `wall` as the registry's; `streams` where calls don't come by real
        sockets.
        """
        super().__init__(settings, network, clock or asyncio.get_running_loop().time, wall)
        # 200 are reserved; the rest is for the system's own
        sockets = settings.limits.file_descriptors - 400
        memory = settings.limits.memory_mb << 18
        self.desk = OperatorHttpServer(self.outside, turns, memory, sockets, MOST_BODY, streams)

    async def run(self) -> None:
        assert self.settings.listen_addresses.control_plane is not None
        await self.desk.listen(self.settings.listen_addresses.control_plane)
        await super().run()
        self.desk.stop()
