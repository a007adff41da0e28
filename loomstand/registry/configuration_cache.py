"""The newest configuration that a registry knows, in memory.

Pure: the clock's reading is an argument, in seconds.
"""

from __future__ import annotations

import zlib

from loomstand.config.configuration import Configuration, ConfigurationReader

# Size from which a configuration is compressed for limiters. A typical one of 7 KB shrinks to 1/5;
# one with thousands of routes, which 100 limiters fetch at once, to 1/20. Compressing 3 MB takes
# 15 ms, once per version.
MIN_COMPRESSED_BYTES = 2_000
COMPRESSION_LEVEL = 1
# Validity of the store's answer that there never was a configuration, and time after its start for
# which a registry assumes that the whole system is starting with it.
STARTUP_SECONDS = 3.0


class ConfigurationCache:
    """The configuration held: its bytes, and the last parsed configuration.

    Attributes:
        version: Its version, 0 if there is none.
        data: Its bytes.
        confirmed_empty_at: Time of the store's last report that there never was a configuration.
        is_reported_current: Whether the store's last report, with a known primary, confirmed that
            the configuration is the newest.
        report_expires_at: Time at which that report expires; it may be from before a freeze of this
            process.
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
        """Replaces the configuration held."""
        self.version = version
        self.data = data

    def is_current(self, now: float) -> bool:
        """Returns whether the configuration held is known to be the newest."""
        return self.is_reported_current and now < self.report_expires_at

    def parse(self, data: bytes) -> Configuration:
        """Parses a configuration; the last result is cached.

        Raises:
            ConfigurationError: The configuration is invalid.
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
        """Returns whether there was no configuration, and so no quota, until just now."""
        return now - self.confirmed_empty_at < STARTUP_SECONDS
