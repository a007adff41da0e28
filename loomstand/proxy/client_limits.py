"""Applies the configuration's client limits to the listener and its open connections. No I/O."""

from __future__ import annotations

import asyncio

from loomstand.config.configuration import ClientLimits
from loomstand.limiter.client_connection import ClientListener

# Added to the configured timeouts, as connections are checked only once a second.
TIMEOUT_MARGIN_SECONDS = 1
# A request body is buffered in full, so its size is limited to the memory for buffers divided by
# this number, even if the configuration allows more.
BODY_MEMORY_DIVISOR = 8


class ClientLimitUpdates:
    """Applies size limits and timeouts to clients' connections, from their next request on.

    Attributes:
        listener: The listener whose limits are set.
        idle_timeout_seconds: Idle timeout of the newest configuration, with the margin.
    """

    def __init__(
        self, listener: ClientListener, loop: asyncio.AbstractEventLoop, buffer_bytes: int
    ) -> None:
        """Applies the default limits; `buffer_bytes` is the memory for buffers."""
        self.listener = listener
        self._loop = loop
        self._max_body_bytes = buffer_bytes // BODY_MEMORY_DIVISOR
        self.idle_timeout_seconds = 0.0
        self.apply(ClientLimits())

    def apply(self, limits: ClientLimits) -> None:
        """Applies the limits of a configuration."""
        self.idle_timeout_seconds = limits.idle_timeout_seconds + TIMEOUT_MARGIN_SECONDS
        previous = self.listener.idle_timeout_seconds
        if self.idle_timeout_seconds >= previous:
            self.listener.idle_timeout_seconds = self.idle_timeout_seconds
        else:  # connections idle under the longer timeout may use it in full
            self._loop.call_later(previous, self._shorten_idle_timeout, self.idle_timeout_seconds)
        header_timeout = limits.header_timeout_seconds + TIMEOUT_MARGIN_SECONDS
        self.listener.header_timeout_seconds = header_timeout
        self.listener.max_header_bytes = limits.max_header_bytes
        self.listener.max_body_bytes = min(limits.max_body_bytes, self._max_body_bytes)

    def _shorten_idle_timeout(self, seconds: float) -> None:
        """Applies a shorter idle timeout, unless it has been increased again since."""
        self.listener.idle_timeout_seconds = max(seconds, self.idle_timeout_seconds)
