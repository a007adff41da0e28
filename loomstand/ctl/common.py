"""Reading of files, one-line errors and formatting of values, for all commands."""

from __future__ import annotations

import re
import sys
from collections.abc import Mapping
from dataclasses import fields, is_dataclass
from typing import Any

from loomstand.config.configuration import Configuration, ConfigurationError, parse_configuration

_CONTROL_CHARACTERS = re.compile("[\x00-\x1f\x7f-\x9f\u2028\u2029\ud800-\udfff]+")


class CommandError(Exception):
    """Ends a command with one line on standard error and an exit code.

    Attributes:
        exit_code: 1 if a problem was found, 2 if the usage or the input is invalid.
    """

    def __init__(self, reason: str, exit_code: int = 2) -> None:
        super().__init__(reason)
        self.exit_code = exit_code


def single_line(text: str) -> str:
    """Returns untrusted text as one line without control characters for the terminal."""
    return _CONTROL_CHARACTERS.sub(" ", text).rstrip()


def read_input(path: str) -> bytes:
    """Returns the bytes of a file, or of standard input for `-`.

    Raises:
        CommandError: The file can't be read.
    """
    try:
        if path == "-":
            return sys.stdin.buffer.read()
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        raise CommandError(f"{path}: can't be read ({error.strerror or error})") from None


def check_configuration(path: str, raw: bytes, exit_code: int = 2) -> Configuration:
    """Parses the configuration in a file's bytes.

    Raises:
        CommandError: The configuration is invalid; the message names the file, the place in the
            file and the reason.
    """
    try:
        return parse_configuration(raw)
    except ConfigurationError as error:
        raise CommandError(f"{path}: invalid: {error}", exit_code) from None


def format_number(value: float) -> str:
    """Formats a number without trailing zeros."""
    return f"{value:.10g}"


def format_seconds(value: float) -> str:
    """Formats seconds as a settings file writes them, such as `5s` or `900ms`."""
    return (
        f"{format_number(value)}s"
        if value >= 1 or value == 0
        else f"{format_number(1000 * value)}ms"
    )


def pluralize(count: int, noun: str) -> str:
    """Returns the count and the noun, with an `s` if the count isn't 1."""
    return f"{count} {noun}" if count == 1 else f"{count} {noun}s"


def to_json_data(value: Any) -> Any:
    """Converts dataclasses, mappings and tuples to values that `json` can write."""
    if is_dataclass(value):
        return {f.name: to_json_data(getattr(value, f.name)) for f in fields(value)}
    if isinstance(value, Mapping):
        return {str(k): to_json_data(v) for k, v in value.items()}
    return [to_json_data(v) for v in value] if isinstance(value, tuple | list) else value
