"""Text formats of times, versions, numbers and addresses, parsed strictly. Pure.

Each parser raises UnitError, whose message describes the problem with the value; the caller
prepends the key.
"""

from __future__ import annotations

import re
from math import isfinite

from loomstand.config.errors import ConfigError

Address = tuple[str, int]
"""An IPv4 address and a port."""

MAX_VERSION = 2**63 - 1
"""The highest version of a configuration; a key on disk has eight bytes for the version."""

_MAX_VERSION_DIGITS = 4000  # int() raises ValueError above 4,300 digits
_MAX_PORT = 65535
_MAX_PORT_DIGITS = 5
_IPV4_PARTS = 4
_MAX_IPV4_PART = 255
_MAX_IPV4_PART_DIGITS = 3
_MAX_QUOTED_CHARACTERS = 60  # limits the length of log lines
_MILLISECONDS_PER_SECOND = 1000
_TIME = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")


class UnitError(ConfigError):
    """A value that isn't in the format of its unit."""


def quote_value(value: object) -> str:
    """Formats a value for an error message as one line of ASCII of limited length."""
    text = ascii(value)
    if len(text) <= _MAX_QUOTED_CHARACTERS:
        return text
    return text[:_MAX_QUOTED_CHARACTERS] + "..."


def parse_seconds(text: str) -> float:
    """Parses a time such as `1500ms` or `2.5s`.

    Returns:
        The time in seconds: finite and not negative.

    Raises:
        UnitError: The text isn't a time.
    """
    match = _TIME.fullmatch(text)
    if match is None:
        raise UnitError(f"{quote_value(text)} is not a time such as 1500ms or 2.5s")
    value = float(match[1])
    if not isfinite(value):
        raise UnitError(f"{quote_value(text)} is too long a time")
    return value / _MILLISECONDS_PER_SECOND if match[2] == "ms" else value


def parse_flag(text: str) -> bool:
    """Parses `true` or `false`.

    Raises:
        UnitError: The text is neither `true` nor `false`.
    """
    if text not in ("true", "false"):
        raise UnitError(f"{quote_value(text)} is neither true nor false")
    return text == "true"


def parse_number(text: str) -> float:
    """Parses a finite decimal number of 0 or more.

    Raises:
        UnitError: The text isn't such a number.
    """
    try:
        value = float(text) if text.isascii() and "_" not in text else -1.0
    except ValueError:
        value = -1.0
    if not (isfinite(value) and value >= 0):
        raise UnitError(f"{quote_value(text)} is not a number of 0 or more")
    return value


def parse_whole_number(text: str) -> int:
    """Parses a whole number of 0 or more; `2.0` is accepted.

    Raises:
        UnitError: The text isn't such a number.
    """
    value = parse_number(text)
    if not value.is_integer():
        raise UnitError(f"{quote_value(text)} is not a whole number")
    return int(value)


def parse_non_empty(text: str) -> str:
    """Checks that a text isn't empty and returns it unchanged.

    Raises:
        UnitError: The text is empty.
    """
    if not text:
        raise UnitError("empty")
    return text


def parse_list(text: str) -> tuple[str, ...]:
    """Splits a text at commas; an empty text gives an empty list.

    Raises:
        UnitError: An item is empty.
    """
    items = tuple(item.strip() for item in text.split(",")) if text else ()
    if not all(items):
        raise UnitError(f"{quote_value(text)} has an empty item")
    return items


def parse_version(text: str) -> int:
    """Parses a version of a configuration: `r12` is 12.

    Raises:
        UnitError: The text isn't a version, or is above MAX_VERSION.
    """
    digits = text[1:]
    if text[:1] != "r" or not (digits.isascii() and digits.isdigit()):
        raise UnitError(f"{quote_value(text)} is not a version such as r12")
    if len(digits) > _MAX_VERSION_DIGITS or int(digits) > MAX_VERSION:
        raise UnitError(f"{quote_value(text)} is too high a version")
    return int(digits)


def format_version(number: int) -> str:
    """Formats a version of a configuration: 12 is `r12`.

    Raises:
        UnitError: The number is below 0 or above MAX_VERSION.
    """
    if not 0 <= number <= MAX_VERSION:
        raise UnitError(f"{quote_value(number)} is not a version's number")
    return f"r{number}"


def parse_port(text: str) -> int:
    """Parses a port from 1 to 65535.

    Raises:
        UnitError: The text isn't a port.
    """
    digits = text.isascii() and text.isdigit() and len(text) <= _MAX_PORT_DIGITS
    if not digits or not 0 < int(text) <= _MAX_PORT:
        raise UnitError(f"{quote_value(text)} is not a port")
    return int(text)


def parse_ipv4(text: str) -> str:
    """Checks an IPv4 address and returns it unchanged; host names are not accepted.

    Raises:
        UnitError: The text isn't an IPv4 address, or a part has a leading zero, which some programs
            read as octal.
    """
    parts = text.split(".")
    if len(parts) != _IPV4_PARTS or not all(_is_ipv4_part(part) for part in parts):
        raise UnitError(f"{quote_value(text)} is not an IPv4 number")
    return text


def _is_ipv4_part(part: str) -> bool:
    """Whether a text is one of the four parts of an IPv4 address, without a leading zero."""
    if not (part.isascii() and part.isdigit() and len(part) <= _MAX_IPV4_PART_DIGITS):
        return False
    return int(part) <= _MAX_IPV4_PART and str(int(part)) == part


def parse_address(text: str) -> Address:
    """Parses an address such as `10.1.0.3:8783`.

    Raises:
        UnitError: The text isn't an IPv4 address with a port.
    """
    host, colon, port = text.rpartition(":")
    if not colon:
        raise UnitError(f"{quote_value(text)} is not an address such as 10.1.0.3:8783")
    return parse_ipv4(host), parse_port(port)


def format_address(address: Address) -> str:
    """Formats an address as `10.1.0.3:8783`."""
    return f"{address[0]}:{address[1]}"
