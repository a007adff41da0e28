"""TOML files as checked structs; an error names the file and the key. Touches the disk."""

from __future__ import annotations

import tomllib
from typing import Any, TypeVar

import msgspec

from loomstand.config.errors import ConfigError
from loomstand.config.validation import locate_error

StructT = TypeVar("StructT")

TomlTable = dict[str, Any]
"""A table as TOML reads it, unchecked."""


class TableError(ConfigError):
    """A file that can't be used; the message names the key."""


class StrictStruct(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A table of a file. Unknown keys are refused, so that a misspelt one is found."""


def parse_toml(raw: str | bytes, source: str) -> TomlTable:
    """Parses a TOML text.

    Args:
        raw: The text.
        source: Where it is from, for errors.

    Raises:
        TableError: It is no TOML.
    """
    try:
        return tomllib.loads(raw.decode() if isinstance(raw, bytes) else raw)
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise TableError(f"{source} is not TOML: {error}") from None


def read_toml(path: str) -> TomlTable:
    """Reads a TOML file.

    Raises:
        TableError: It can't be read, or is no TOML.
    """
    try:
        # not pathlib, which would change how errors of the system repeat the path
        with open(path, "rb") as file:  # noqa: PTH123
            raw = file.read()
    except OSError as error:
        raise TableError(f"{path}: {error.strerror}") from None
    return parse_toml(raw, path)


def convert_table(table: TomlTable, kind: type[StructT]) -> StructT:
    """Checks a table and converts it to a struct.

    Raises:
        TableError: A key is missing, unknown or of another type.
    """
    try:
        return msgspec.convert(table, type=kind)
    except msgspec.ValidationError as error:
        if isinstance(error.__cause__, TableError):  # from a struct's own check, with its key
            raise TableError(str(error.__cause__)) from None
        key, problem = locate_error(error)
        raise TableError(f"key '{key or '(top)'}': {problem}") from None
