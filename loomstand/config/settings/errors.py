"""The error of the settings file."""

from __future__ import annotations

from loomstand.config.errors import ConfigError


class SettingsError(ConfigError):
    """Settings that can't be used.

    The message is one line that begins with the key, as in `network.seed_nodes: missing`.
    """
