"""Addresses in the limiter's own configuration: HOST:PORT, IPv4 or IPv6. Pure.

The programs' settings take IPv4 alone and refuse other spellings (`units.parse_address`).
"""

from __future__ import annotations

from ipaddress import ip_address

from loomstand.config.limiter.errors import LimiterConfigError
from loomstand.config.units import Address

_MAX_PORT = 65535


def parse_host_port(text: str, key: str) -> Address:
    """Parses HOST:PORT with a numeric host, an IPv6 one in brackets or without.

    Args:
        text: The address.
        key: The key that has it, for the error.

    Raises:
        LimiterConfigError: It is no such address.
    """
    host, _, port = text.rpartition(":")
    try:
        address = ip_address(host.strip("[]"))
    except ValueError:
        raise _not_an_address(text, key) from None
    if not port.isascii() or not port.isdecimal():
        raise _not_an_address(text, key)
    try:
        number = int(port)
    except ValueError:  # more digits than int() takes
        raise _not_an_address(text, key) from None
    if not 0 < number <= _MAX_PORT:
        raise _not_an_address(text, key)
    return str(address), number


def _not_an_address(text: str, key: str) -> LimiterConfigError:
    return LimiterConfigError(f"key '{key}': '{text}' is not HOST:PORT")
