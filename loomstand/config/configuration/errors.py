"""The error for the operators' configuration."""

from __future__ import annotations

from loomstand.config.errors import ConfigError


class ConfigurationError(ConfigError):
    """An invalid configuration.

    The message is one line with the location and the problem; it is part of the response to the
    operator. It never contains an API key.
    """
