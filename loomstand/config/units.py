"""The written forms of times, versions and addresses, read strictly and by hand.

Each reader raises UnitError, whose message says what is wrong; its caller names the place.
"""

from __future__ import annotations

import re
from math import isfinite

Address = tuple[str, int]

MAX_VERSION = 2**63 - 1  # fits the eight bytes that a key on disk gives it
_TIME = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
_SHOWN = 60  # characters of a value that a message repeats; the rest would only fill the log


class UnitError(ValueError):
    """A value that isn't written as its unit wants it."""


def quote_value(value: object) -> str:
    """A value as a message may repeat it: one line of ASCII, not long."""
    text = ascii(value)
    return text if len(text) <= _SHOWN else text[:_SHOWN] + "..."


def parse_seconds(text: str) -> float:
    """`1500ms` or `2.5s` in seconds: finite and not negative."""
    match = _TIME.fullmatch(text)
    if match is None:
        raise UnitError(f"{quote_value(text)} is not a time such as 1500ms or 2.5s")
    value = float(match[1])
    if not isfinite(value):
        raise UnitError(f"{quote_value(text)} is too long a time")
    return value / 1000 if match[2] == "ms" else value


def parse_version(text: str) -> int:
    """`r12` as 12."""
    digits = text[1:]
    if text[:1] != "r" or not (digits.isascii() and digits.isdigit()):
        raise UnitError(f"{quote_value(text)} is not a version such as r12")
    if len(digits) > 4000 or (number := int(digits)) > MAX_VERSION:
        raise UnitError(f"{quote_value(text)} is too high a version")
    return number


def format_version(number: int) -> str:
    """12 as `r12`."""
    if not 0 <= number <= MAX_VERSION:
        raise UnitError(f"{quote_value(number)} is not a version's number")
    return f"r{number}"


def parse_port(text: str) -> int:
    """A port from 1 to 65535."""
    if not (text.isascii() and text.isdigit() and len(text) <= 5 and 0 < int(text) <= 65535):
        raise UnitError(f"{quote_value(text)} is not a port")
    return int(text)


def parse_ipv4(text: str) -> str:
    """An IPv4 number, as it stands; nothing here looks names up. A leading zero is refused, as some
    read it in eights.
    """
    parts = text.split(".")
    if len(parts) != 4 or not all(
        p.isascii() and p.isdigit() and len(p) <= 3 and int(p) <= 255 and str(int(p)) == p
        for p in parts
    ):
        raise UnitError(f"{quote_value(text)} is not an IPv4 number")
    return text


def parse_address(text: str) -> Address:
    """`10.1.0.3:8783` as its number and port."""
    host, colon, number = text.rpartition(":")
    if not colon:
        raise UnitError(f"{quote_value(text)} is not an address such as 10.1.0.3:8783")
    return parse_ipv4(host), parse_port(number)


def format_address(where: Address) -> str:
    """The number and port as `10.1.0.3:8783`."""
    return f"{where[0]}:{where[1]}"
