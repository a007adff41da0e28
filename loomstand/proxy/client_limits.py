"""Applies the configuration's limits on clients to connections that are open already. No I/O."""

from __future__ import annotations

import asyncio

from loomstand.config.configuration import ClientLimits
from loomstand.limiter.client_connection import ClientListener

# More than the configuration says, in seconds: connections are looked at once a second.
TIMEOUT_MARGIN_SECONDS = 1
# A body is buffered whole, so it may take this part of the memory for buffers at most, whatever the
# configuration allows.
BODY_MEMORY_DIVISOR = 8


class ClientLimitUpdates:
    """What clients may send from their next request on, and how long they may idle.

    Attributes:
        listener: The listener whose limits are set.
        idle_timeout_seconds: The idle time-out of the newest configuration.
    """

    def __init__(
        self, listener: ClientListener, loop: asyncio.AbstractEventLoop, buffer_bytes: int
    ) -> None:
        """`buffer_bytes` is the memory for buffers; the usual limits are applied at once."""
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
        else:  # a client that relies on the longer time may idle to its end
            self._loop.call_later(previous, self._shorten_idle, self.idle_timeout_seconds)
        header_timeout = limits.header_timeout_seconds + TIMEOUT_MARGIN_SECONDS
        self.listener.header_timeout_seconds = header_timeout
        self.listener.max_header_bytes = limits.max_header_bytes
        self.listener.max_body_bytes = min(limits.max_body_bytes, self._max_body_bytes)

    def _shorten_idle(self, seconds: float) -> None:
        """Applies a shorter idle time-out; it may have become longer again since."""
        self.listener.idle_timeout_seconds = max(seconds, self.idle_timeout_seconds)
