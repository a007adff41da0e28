"""The settings file of a process (DEPLOY.md, "What a process is told").

The environment variable `LOOMSTAND_CONFIG` has its path. `fields` reads the lines of the file,
`parser` converts them to the validated settings in `model`.
"""

from loomstand.config.settings.errors import SettingsError
from loomstand.config.settings.model import (
    ListenAddresses,
    PortRange,
    ProcessLimits,
    RuleBounds,
    Settings,
    ToleratedLosses,
)
from loomstand.config.settings.parser import parse_settings, read_settings

__all__ = [
    "ListenAddresses",
    "PortRange",
    "ProcessLimits",
    "RuleBounds",
    "Settings",
    "SettingsError",
    "ToleratedLosses",
    "parse_settings",
    "read_settings",
]
