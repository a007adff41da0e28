"""The configuration that operators send: routes, services, tenants and limits (PROTOCOL.md).

It is parsed and checked before anything is written or put in force, and refused as one: what comes
out is a whole Configuration or a ConfigurationError, whatever the bytes.

`model` has the checked configuration, `json_object` typed access to JSON, `resources` the parsing
of each kind of resource, `checks` what has to hold among them, `reader` the way from the bytes.
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
