"""The error of the operators' configuration."""

from __future__ import annotations

from loomstand.config.errors import ConfigError


class ConfigurationError(ConfigError):
    """A configuration that is refused.

    The message is one line that says where and what, as the operator's answer carries it. No API
    key stands in it.
    """
