"""The error of the limiter's own configuration."""

from __future__ import annotations

from loomstand.config.errors import ConfigError


class LimiterConfigError(ConfigError):
    """A configuration that can't be used; the message names the key."""
