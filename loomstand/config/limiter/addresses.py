"""Addresses in the limiter's own configuration: HOST:PORT, IPv4 or IPv6. Pure.

The settings files of the other programs accept strictly formatted IPv4 only
(`units.parse_address`).
"""

from __future__ import annotations

from ipaddress import ip_address

from loomstand.config.limiter.errors import LimiterConfigError
from loomstand.config.units import Address

_MAX_PORT = 65535


def parse_host_port(text: str, key: str) -> Address:
    """Parses HOST:PORT with a numeric host; the brackets of an IPv6 address are optional.

    Args:
        text: The address.
        key: The key of the address, for the error.

    Raises:
        LimiterConfigError: The text isn't such an address.
    """
    host, _, port = text.rpartition(":")
    try:
        address = ip_address(host.strip("[]"))
    except ValueError:
        raise _not_an_address(text, key) from None
    if not port.isascii() or not port.isdecimal():
        raise _not_an_address(text, key)
    try:
        port_number = int(port)
    except ValueError:  # more digits than int() accepts
        raise _not_an_address(text, key) from None
    if not 0 < port_number <= _MAX_PORT:
        raise _not_an_address(text, key)
    return str(address), port_number


def _not_an_address(text: str, key: str) -> LimiterConfigError:
    return LimiterConfigError(f"key '{key}': '{text}' is not HOST:PORT")
