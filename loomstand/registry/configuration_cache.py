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
COMPRESSION_LEVEL = 1  # of zlib, the fastest
# For this time after its start, a registry assumes that all other programs are starting too. For
# the same time it relies on the store's report that no configuration was ever committed.
STARTUP_SECONDS = 3.0


class ConfigurationCache:
    """The cached configuration, and the result of the last parse.

    Attributes:
        version: Version of the cached configuration, 0 if there is none.
        data: Bytes of the cached configuration.
        confirmed_empty_at: Time of the store's last report that no configuration was ever
            committed.
        is_reported_current: Whether the store's last report, with a known primary, confirmed that
            the configuration is the newest.
        report_expires_at: Time at which that report expires. It matters after this process was
            suspended, when `is_reported_current` may be outdated.
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
        """Replaces the cached configuration."""
        self.version = version
        self.data = data

    def is_current(self, now: float) -> bool:
        """Returns whether the cached configuration is known to be the newest."""
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
        """Returns the cached configuration, compressed by zlib."""
        if self._compressed_version != self.version:
            self._compressed_data = zlib.compress(self.data, COMPRESSION_LEVEL)
            self._compressed_version = self.version
        return self._compressed_data

    def was_recently_empty(self, now: float) -> bool:
        """Returns whether the store reported within `STARTUP_SECONDS` that it never had any.

        Then no tenant had a quota either.
        """
        return now - self.confirmed_empty_at < STARTUP_SECONDS
