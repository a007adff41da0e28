"""TOML files of ours, read and checked: what is wrong names the file and the key."""

from __future__ import annotations

import tomllib
from typing import TypeVar

import msgspec

T = TypeVar("T")


class TableError(ValueError):
    """A file that can't be used; the message names the key."""


class StrictStruct(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A table of a file: unknown keys are refused, so a misspelt key names itself."""


def parse_toml(raw: str | bytes, source: str) -> dict:
    """The table of a TOML text, unchecked. Raises TableError naming the source."""
    try:
        return tomllib.loads(raw.decode() if isinstance(raw, bytes) else raw)
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as why:
        raise TableError(f"{source} is not TOML: {why}") from None


def read_toml(path: str) -> dict:
    """The table of a TOML file, unchecked. Raises TableError naming the file."""
    try:
        with open(path, "rb") as file:
            return parse_toml(file.read(), path)
    except OSError as why:
        raise TableError(f"{path}: {why.strerror}") from None


def convert_table(table: dict, kind: type[T]) -> T:
    """A checked struct from a table as TOML reads it. Raises TableError naming the key."""
    try:
        return msgspec.convert(table, type=kind)
    except msgspec.ValidationError as why:
        if isinstance(why.__cause__, TableError):  # a check of our own: it names its key itself
            raise TableError(str(why.__cause__)) from None
        what, _, where = str(why).partition(" - at `$")
        where = where.rstrip("`").lstrip(".")
        if "unknown field" in what or "missing required field" in what:
            where = ".".join(filter(None, [where, what.rpartition(" ")[2].strip("`")]))
        raise TableError(f"key '{where or '(top)'}': {what}") from None
