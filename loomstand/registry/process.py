"""The registry with its HTTP server for servers and operators."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loomstand.config.settings import Settings
from loomstand.limiter.event_loop import ArrivalClockSelector, Streams
from loomstand.registry.program import Registry
from loomstand.rpc.network import Network
from loomstand.rpc.operator_http import OperatorHttpServer

# Largest body of a request: a configuration of 24,000 routes. With it a registry or a limiter uses
# 160 MB of about 300 MB of memory, the store's file 40 MB of its 256 MB disk, and it fits into an
# RPC frame (rpc/frames.py).
MAX_BODY_BYTES = 8 << 20
# File descriptors that aren't available to the HTTP server: 200 are reserved by the platform, the
# rest is for RPC between the programs.
RESERVED_FILE_DESCRIPTORS = 400
# Buffer size for HTTP requests, in bytes per MB of the memory limit: a quarter of it.
BUFFER_BYTES_PER_MB = 1 << 18


class RegistryService(Registry):
    """A registry that serves servers and operators by HTTP."""

    def __init__(  # noqa: PLR0913 - the simulation passes the last three
        self,
        settings: Settings,
        network: Network,
        arrival_clock: ArrivalClockSelector | None,
        *,
        clock: Callable[[], float] | None = None,
        wall_seconds: float | None = None,
        streams: Streams | None = None,
    ) -> None:
        """Creates the registry and its HTTP server.

        Args:
            settings: The machine's settings.
            network: Network for RPC between the programs.
            arrival_clock: The event loop's selector, which records arrival times; None without one.
            clock: A steady clock, in seconds; None for the event loop's.
            wall_seconds: The time of day at the start, in seconds since the epoch; None to read it.
            streams: Source of connections in place of real sockets; None for sockets.
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
