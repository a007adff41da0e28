"""The configuration of the stand-alone limiter, which runs without registry and store.

`loader` reads it from the environment and a JSON file, `wire_settings` defines the operators'
settings for admission decisions, `backends` the servers that discovery lists, `engine_settings`
converts the settings for the decision engine.
"""

from loomstand.config.limiter.addresses import parse_host_port
from loomstand.config.limiter.backends import BackendList, BackendRecord
from loomstand.config.limiter.engine_settings import engine_settings
from loomstand.config.limiter.errors import LimiterConfigError
from loomstand.config.limiter.loader import (
    LimiterConfig,
    LimiterFile,
    ResourceLimits,
    load_limiter_config,
    parse_limiter_config,
)
from loomstand.config.limiter.wire_settings import (
    AllowedActions,
    CounterSettings,
    FrontendSettings,
    QuotaPlanSettings,
    RuleSettings,
    WireSettings,
    WireStruct,
)

__all__ = [
    "AllowedActions",
    "BackendList",
    "BackendRecord",
    "CounterSettings",
    "FrontendSettings",
    "LimiterConfig",
    "LimiterConfigError",
    "LimiterFile",
    "QuotaPlanSettings",
    "ResourceLimits",
    "RuleSettings",
    "WireSettings",
    "WireStruct",
    "engine_settings",
    "load_limiter_config",
    "parse_host_port",
    "parse_limiter_config",
]
