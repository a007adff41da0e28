"""The error for the limiter's own configuration."""

from __future__ import annotations

from loomstand.config.errors import ConfigError


class LimiterConfigError(ConfigError):
    """An unreadable or invalid configuration; the message names the key."""
