"""The settings file of a process (DEPLOY.md, "What a process is told").

The variable `LOOMSTAND_CONFIG` names it. `model` has the checked settings, `fields` the lines of a
file, `parser` makes the one of the other.
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
