"""The base of the errors of this package.

Each module that reads something has an error class of its own beneath it, whose message is one
line that names the place (a key, a line, a resource) and what is wrong there.
"""

from __future__ import annotations


class ConfigError(ValueError):
    """Settings or a configuration that can't be used."""
