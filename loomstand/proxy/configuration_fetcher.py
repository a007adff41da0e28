"""Fetches the configuration from registries: once for all sessions, hedged by another session.

Makes calls by the network; owns the newest configuration that this limiter holds.
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
MAX_FETCH_TIMEOUT_SECONDS = 3.2  # after fetches in vain
# The most that a frame holds, so a registry has no configuration that is larger.
MAX_CONFIGURATION_BYTES = 16 << 20
# Seconds after which another session may fetch it, too. On links that lose one packet in twenty the
# first one to fetch held up all others for its whole time-out; usual answers take some ms.
HEDGE_SECONDS = 0.15
FETCH_WAIT_SECONDS = 0.05  # that a session waits where another one fetches


class ConfigurationFetcher:
    """Holds the newest configuration and fetches newer ones.

    Attributes:
        version: Version of the configuration held; 0 if there is none.
        data: The configuration held.
        fetching_since: When the fetch under way began, by `clock`.
        timeout_seconds: Time-out of the next fetch.
    """

    def __init__(
        self,
        network: Network,
        clock: Callable[[], float],
        apply: Callable[[int, bytes], bool],
    ) -> None:
        """`apply` brings a configuration into force and returns whether it could."""
        self.version = 0
        self.data = b""
        self.fetching_since = -HEDGE_SECONDS
        self.timeout_seconds = FETCH_TIMEOUT_SECONDS
        self._network = network
        self._clock = clock
        self._apply = apply

    async def fetch(self, address: Address) -> None:
        """Fetches the configuration from a registry, unless another session does."""
        if self._clock() - self.fetching_since < HEDGE_SECONDS:
            await asyncio.sleep(FETCH_WAIT_SECONDS)
            return
        started_at = self.fetching_since = self._clock()
        request = ConfigurationRequest(accepts_compressed=True)
        result = await client.call(
            self._network, address, request, ConfigurationResponse, self.timeout_seconds
        )
        self.fetching_since = -HEDGE_SECONDS
        # thousands of routes to many limiters at once may take longer: a fetch in vain is followed
        # by one with more time
        took = self._clock() - started_at if result.is_ok() else self.timeout_seconds
        self.timeout_seconds = max(FETCH_TIMEOUT_SECONDS, min(MAX_FETCH_TIMEOUT_SECONDS, 2 * took))
        if result.is_ok() and result.ok.version > self.version:
            self._replace(result.ok)

    def _replace(self, response: ConfigurationResponse) -> None:
        data = unpack(response)
        if data and self._apply(response.version, data):
            self.version = response.version
            self.data = data
            logging.info("proxy: configuration_in_force version=r%d", response.version)


def unpack(response: ConfigurationResponse) -> bytes:
    """Returns the configuration of an answer; nothing if it can't be unpacked."""
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
