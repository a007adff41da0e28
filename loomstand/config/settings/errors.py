"""The error for settings files."""

from __future__ import annotations

from loomstand.config.errors import ConfigError


class SettingsError(ConfigError):
    """An unreadable settings file or invalid settings.

    The message is one line that begins with the key, such as `network.seed_nodes: missing`.
    """
