"""Parses configurations from bytes, reusing unchanged resources of the previous one. Pure."""

from __future__ import annotations

import marshal
from types import MappingProxyType
from typing import Final

from loomstand.config.configuration.checks import ResourceCollector
from loomstand.config.configuration.json_object import JsonObject, load_json
from loomstand.config.configuration.model import ClientLimits, Configuration
from loomstand.config.configuration.resources import ParsedResource, parse_resource
from loomstand.config.units import UnitError, parse_version

# Resources are compared by their marshalled bytes, as marshal distinguishes 1, 1.0 and true, which
# compare equal. Format 2 writes only values: later formats write references to repeated objects, so
# the bytes of equal resources could differ.
_MARSHAL_FORMAT: Final = 2


class ConfigurationReader:
    """Parses successive configurations.

    A new configuration usually changes few of thousands of routes, so a resource that is identical
    to one in the previous configuration isn't parsed again. The cache has None for a resource of an
    unknown kind.
    """

    __slots__ = ("_previous",)

    def __init__(self) -> None:
        self._previous: dict[bytes, ParsedResource | None] = {}

    def parse(self, raw: bytes) -> Configuration:
        """Parses and validates a configuration as an operator sends it.

        Raises:
            ConfigurationError: The configuration is invalid; the cache of the previous one is kept.
        """
        document = JsonObject(load_json(raw), "", "")
        version = _parse_version(document)
        collector = ResourceCollector()
        parsed: dict[bytes, ParsedResource | None] = {}
        for position, item in enumerate(document.get_list("resources")):
            resource = self._parse_resource(position, item, parsed)
            if resource is not None:
                collector.add(position, resource)
        collector.check_services()
        self._previous = parsed
        return Configuration(
            version=version,
            routes=tuple(collector.routes),
            services=MappingProxyType(collector.services),
            tenants=tuple(collector.tenants) or None,
            limits=collector.limits or ClientLimits(),
            raw=bytes(raw),
        )

    def _parse_resource(
        self, position: int, item: object, parsed: dict[bytes, ParsedResource | None]
    ) -> ParsedResource | None:
        """Returns the cached resource or parses it, and adds it to `parsed`."""
        try:
            # all JSON values can be marshalled
            fingerprint = marshal.dumps(item, _MARSHAL_FORMAT)  # type: ignore[arg-type]
        except ValueError:  # nested too deep
            return parse_resource(position, item)
        if fingerprint in self._previous:
            resource = self._previous[fingerprint]
        else:
            resource = parse_resource(position, item)
        parsed[fingerprint] = resource
        return resource


def parse_configuration(raw: bytes) -> Configuration:
    """Parses and validates a single configuration.

    Raises:
        ConfigurationError: The configuration is invalid.
    """
    return ConfigurationReader().parse(raw)


def _parse_version(document: JsonObject) -> int:
    try:
        return parse_version(document.get_text("version"))
    except UnitError as error:
        raise document.error("version", str(error)) from None
