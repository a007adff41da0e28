"""TOML files as validated structs; an error names the file and the key. Reads files."""

from __future__ import annotations

import tomllib
from typing import Any, TypeVar

import msgspec

from loomstand.config.errors import ConfigError
from loomstand.config.validation import locate_error

StructT = TypeVar("StructT")

TomlTable = dict[str, Any]
"""A parsed TOML table before validation."""


class TableError(ConfigError):
    """An unreadable or invalid file; the message names the file or the key."""


class StrictStruct(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A table of a file. An unknown key is an error, so that a misspelt key is found."""


def parse_toml(raw: str | bytes, source: str) -> TomlTable:
    """Parses the text of a TOML document.

    Args:
        raw: The text.
        source: Where the text comes from, such as a path, for error messages.

    Raises:
        TableError: The text isn't valid TOML.
    """
    try:
        return tomllib.loads(raw.decode() if isinstance(raw, bytes) else raw)
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise TableError(f"{source} is not TOML: {error}") from None


def read_toml(path: str) -> TomlTable:
    """Reads a TOML file.

    Raises:
        TableError: The file can't be read, or isn't valid TOML.
    """
    try:
        # not pathlib, which would change the path in the operating system's errors
        with open(path, "rb") as file:  # noqa: PTH123
            raw = file.read()
    except OSError as error:
        raise TableError(f"{path}: {error.strerror}") from None
    return parse_toml(raw, path)


def convert_table(table: TomlTable, struct_type: type[StructT]) -> StructT:
    """Validates a table and converts it to a struct of the given type.

    Raises:
        TableError: A key is missing or unknown, or a value is invalid.
    """
    try:
        return msgspec.convert(table, type=struct_type)
    except msgspec.ValidationError as error:
        # An error raised by a struct's `__post_init__` names the key itself.
        if isinstance(error.__cause__, TableError):
            raise TableError(str(error.__cause__)) from None
        key, problem = locate_error(error)
        raise TableError(f"key '{key or '(top)'}': {problem}") from None
