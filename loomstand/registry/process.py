"""The registry with its HTTP server, on which servers and operators call."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loomstand.config.settings import Settings
from loomstand.limiter.event_loop import ArrivalClockSelector, Streams
from loomstand.registry.program import Registry
from loomstand.rpc.network import Network
from loomstand.rpc.operator_http import OperatorHttpServer

# Bytes of a call: a configuration of 24,000 routes. With it a registry or a limiter takes 160 MB of
# some 300, a store's file 40 of its disk's 256, and a frame of ours (rpc/frames.py) holds it with
# room to spare.
MAX_BODY_BYTES = 8 << 20
# File descriptors that aren't for calls from outside: 200 are reserved by the platform, the rest is
# for calls between the programs.
RESERVED_FILE_DESCRIPTORS = 400
# Of the machine's memory a quarter is for the buffers of calls: bytes for each MB of the limit.
BUFFER_BYTES_PER_MB = 1 << 18


class RegistryService(Registry):
    """A registry that takes the calls from outside."""

    def __init__(  # noqa: PLR0913 - the simulation gives the last three
        self,
        settings: Settings,
        network: Network,
        arrival_clock: ArrivalClockSelector | None,
        *,
        clock: Callable[[], float] | None = None,
        wall_seconds: float | None = None,
        streams: Streams | None = None,
    ) -> None:
        """Makes the HTTP server beside the registry.

        Args:
            settings: The machine's settings.
            network: Carries the calls between the programs.
            arrival_clock: The event loop's selector, which stamps arrivals; None without one.
            clock: A steady clock, in seconds; None for the event loop's.
            wall_seconds: The time of day at the start; None to read it.
            streams: Where calls don't come by real sockets.
        """
        loop_clock = clock or asyncio.get_running_loop().time
        super().__init__(settings, network, loop_clock, wall_seconds)
        self.http_server = OperatorHttpServer(
            self.handle_http,
            arrival_clock,
            settings.limits.memory_mb * BUFFER_BYTES_PER_MB,
            settings.limits.file_descriptors - RESERVED_FILE_DESCRIPTORS,
            MAX_BODY_BYTES,
            streams,
        )

    async def run(self) -> None:
        """Serves until `stop`."""
        address = self.context.settings.listen_addresses.control_plane
        if address is None:
            raise ValueError("listen_addresses.control_plane: not set")
        await self.http_server.listen(address)
        await super().run()
        self.http_server.stop()
