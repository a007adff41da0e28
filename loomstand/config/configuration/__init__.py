"""The configuration that operators send: routes, services, tenants and limits (PROTOCOL.md).

It is parsed and validated before anything is stored or applied, and accepted or refused as a whole:
for any input bytes the result is a complete Configuration or a ConfigurationError.

`model` has the validated configuration, `json_object` typed access to JSON, `resources` the parsers
of each kind of resource, `checks` the constraints between resources, `reader` the entry point.
"""

from loomstand.config.configuration.errors import ConfigurationError
from loomstand.config.configuration.model import (
    ClientLimits,
    Configuration,
    Route,
    Service,
    Tenant,
    WeightedService,
)
from loomstand.config.configuration.reader import ConfigurationReader, parse_configuration

__all__ = [
    "ClientLimits",
    "Configuration",
    "ConfigurationError",
    "ConfigurationReader",
    "Route",
    "Service",
    "Tenant",
    "WeightedService",
    "parse_configuration",
]
