"""Fetches the configuration from registries: one fetch for all sessions, hedged by a second one.

Calls registries over the network and holds the newest configuration of this limiter.
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable

from absl import logging

from loomstand.rpc import client
from loomstand.rpc.messages.session_messages import ConfigurationRequest, ConfigurationResponse
from loomstand.rpc.network import Address, Network

FETCH_TIMEOUT_SECONDS = 0.8
MAX_FETCH_TIMEOUT_SECONDS = 3.2  # limit for the doubling after failed and slow fetches
# Limit for a decompressed configuration: the maximum size of a frame, which no registry's
# configuration can exceed.
MAX_CONFIGURATION_BYTES = 16 << 20
# Delay after which a second session may fetch the configuration as well. On links with 5% packet
# loss, a single fetch delayed all sessions by its full timeout; responses normally take a few ms.
HEDGE_SECONDS = 0.15
FETCH_WAIT_SECONDS = 0.05  # pause of a session while another session fetches


class ConfigurationFetcher:
    """Holds the configuration in force and fetches newer ones.

    Attributes:
        version: Version of the configuration in force; 0 before the first.
        data: Serialized configuration in force.
        fetching_since: Start of the fetch in progress, in seconds by `clock`; a time in the past
            if there is none.
        timeout_seconds: Timeout of the next fetch.
    """

    def __init__(
        self,
        network: Network,
        clock: Callable[[], float],
        apply: Callable[[int, bytes], bool],
    ) -> None:
        """Creates an empty fetcher.

        Args:
            network: Network for calls to registries.
            clock: Monotonic clock, in seconds.
            apply: Puts a configuration into force; returns False if it is unusable.
        """
        self.version = 0
        self.data = b""
        self.fetching_since = -HEDGE_SECONDS
        self.timeout_seconds = FETCH_TIMEOUT_SECONDS
        self._network = network
        self._clock = clock
        self._apply = apply

    async def fetch(self, address: Address) -> None:
        """Fetches the configuration from a registry, unless another session is fetching it."""
        if self._clock() - self.fetching_since < HEDGE_SECONDS:
            await asyncio.sleep(FETCH_WAIT_SECONDS)
            return
        started_at = self.fetching_since = self._clock()
        request = ConfigurationRequest(accepts_compressed=True)
        result = await client.call(
            self._network, address, request, ConfigurationResponse, self.timeout_seconds
        )
        self.fetching_since = -HEDGE_SECONDS
        # sending thousands of routes to many limiters at once may exceed the timeout, so it is
        # increased after a failed fetch
        duration = self._clock() - started_at if result.is_ok() else self.timeout_seconds
        self.timeout_seconds = max(
            FETCH_TIMEOUT_SECONDS, min(MAX_FETCH_TIMEOUT_SECONDS, 2 * duration)
        )
        if result.is_ok() and result.ok.version > self.version:
            self._replace(result.ok)

    def _replace(self, response: ConfigurationResponse) -> None:
        data = unpack(response)
        if data and self._apply(response.version, data):
            self.version = response.version
            self.data = data
            logging.info("proxy: configuration_in_force version=r%d", response.version)


def unpack(response: ConfigurationResponse) -> bytes:
    """Returns the configuration in a response; empty if it can't be decompressed."""
    if response.compressed_data is None:
        return response.data or b""
    try:
        decompressor = zlib.decompressobj()
        return decompressor.decompress(response.compressed_data, MAX_CONFIGURATION_BYTES)
    except zlib.error as error:
        logging.error(
            "proxy: configuration_not_unpacked version=r%s error=%s", response.version, error
        )
        return b""
