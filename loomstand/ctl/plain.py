"""Files, one-line errors and the words of figures, for all commands."""

from __future__ import annotations

import re
import sys
from collections.abc import Mapping
from dataclasses import fields, is_dataclass
from typing import Any

from loomstand.config.configuration import Configuration, ConfigurationError, parse_configuration

_BREAKS = re.compile("[\x00-\x1f\x7f-\x9f\u2028\u2029\ud800-\udfff]+")


class Wrong(Exception):
    """Ends a command with one line on standard error and an exit code: 1 something wrong was found,
    2 the usage or the input is bad.
    """

    def __init__(self, why: str, code: int = 2) -> None:
        super().__init__(why)
        self.code = code


def said(text: str) -> str:
    """A text of others as one line that leaves the terminal as it is."""
    return _BREAKS.sub(" ", text).rstrip()


def held(path: str) -> bytes:
    """The bytes of a file, or of standard input for `-`. Raises Wrong."""
    try:
        if path == "-":
            return sys.stdin.buffer.read()
        with open(path, "rb") as file:
            return file.read()
    except OSError as why:
        raise Wrong(f"{path}: can't be read ({why.strerror or why})") from None


def configuration(path: str, raw: bytes, code: int = 2) -> Configuration:
    """The configuration in a file's bytes. Raises Wrong with the place and what is wrong there."""
    try:
        return parse_configuration(raw)
    except ConfigurationError as why:
        raise Wrong(f"{path}: invalid: {why}", code) from None


def short(value: float) -> str:
    """A figure without a needless fraction."""
    return f"{value:.10g}"


def time(value: float) -> str:
    """Seconds as a settings file writes them."""
    return f"{short(value)}s" if value >= 1 or value == 0 else f"{short(1000 * value)}ms"


def many(count: int, one: str) -> str:
    return f"{count} {one}" if count == 1 else f"{count} {one}s"


def data(value: Any) -> Any:
    """Slotted dataclasses, mappings and tuples as JSON has them."""
    if is_dataclass(value):
        return {f.name: data(getattr(value, f.name)) for f in fields(value)}
    if isinstance(value, Mapping):
        return {str(k): data(v) for k, v in value.items()}
    return [data(v) for v in value] if isinstance(value, tuple | list) else value
