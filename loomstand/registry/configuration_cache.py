"""The newest configuration that a registry knows, in memory.

Pure: the clock's reading is given, in seconds.
"""

from __future__ import annotations

import zlib

from loomstand.config.configuration import Configuration, ConfigurationReader

# Bytes from which a configuration is compressed for limiters. A usual one of 7 KB comes to a fifth,
# thousands of routes, which a hundred limiters ask for at once, to a twentieth; compressing 3 MB
# takes 15 ms, once a version.
MIN_COMPRESSED_BYTES = 2_000
COMPRESSION_LEVEL = 1
# How long the store's answer counts that there never was a configuration; also how long after its
# start a registry may still start together with the whole system.
STARTUP_SECONDS = 3.0


class ConfigurationCache:
    """The configuration held, its bytes and what was read of them.

    Attributes:
        version: Its version, 0 if there is none.
        data: Its bytes.
        confirmed_empty_at: When the store last said that there never was a configuration.
        is_reported_current: Whether the store last said that it is the newest: a primary was heard
            of.
        report_expires_at: Until when that report counts; it may come from before this process
            froze.
    """

    def __init__(self, now: float) -> None:
        self.version = 0
        self.data = b""
        self.confirmed_empty_at = -STARTUP_SECONDS
        self.is_reported_current = False
        self.report_expires_at = now
        self._reader = ConfigurationReader()
        self._parsed: Configuration | None = None
        self._compressed_version = 0
        self._compressed_data = b""

    def replace(self, version: int, data: bytes) -> None:
        """Holds another configuration."""
        self.version = version
        self.data = data

    def is_current(self, now: float) -> bool:
        """Returns whether the configuration held is known to be the newest."""
        return self.is_reported_current and now < self.report_expires_at

    def parse(self, data: bytes) -> Configuration:
        """Reads a configuration; the last one read is kept.

        Raises:
            ConfigurationError: It can't be used.
        """
        if self._parsed is None or self._parsed.raw != data:
            self._parsed = self._reader.parse(data)
        return self._parsed

    def is_compressible(self) -> bool:
        """Returns whether the configuration is large enough to be compressed for limiters."""
        return len(self.data) >= MIN_COMPRESSED_BYTES

    def compressed(self) -> bytes:
        """Returns the configuration compressed by zlib."""
        if self._compressed_version != self.version:
            self._compressed_data = zlib.compress(self.data, COMPRESSION_LEVEL)
            self._compressed_version = self.version
        return self._compressed_data

    def was_recently_empty(self, now: float) -> bool:
        """Returns whether there was no configuration until just now: nobody had a quota."""
        return now - self.confirmed_empty_at < STARTUP_SECONDS
