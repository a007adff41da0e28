"""The base class of the errors of this package.

Each parser has its own subclass, whose message is one line that names the location (a key, a line,
a resource) and the problem.
"""

from __future__ import annotations


class ConfigError(ValueError):
    """Invalid settings or an invalid configuration."""
