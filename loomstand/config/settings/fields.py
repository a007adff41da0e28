"""The fields of a settings file by key, each parsed by the caller's parser. Pure."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import fields
from typing import TYPE_CHECKING, TypeVar

from loomstand.config.settings.errors import SettingsError
from loomstand.config.units import (
    UnitError,
    parse_flag,
    parse_non_empty,
    parse_number,
    parse_seconds,
    parse_whole_number,
    quote_value,
)

if TYPE_CHECKING:
    from _typeshed import DataclassInstance

    TableT = TypeVar("TableT", bound=DataclassInstance)

ValueT = TypeVar("ValueT")
DefaultT = TypeVar("DefaultT")

_SECONDS_SUFFIX = "_seconds"


class SettingsFields:
    """The lines `a.b=value` of a settings file.

    Blank lines and lines that begin with `#` are skipped. Unknown fields are ignored, as later
    releases may add some to the file.
    """

    def __init__(self, text: str) -> None:
        self._values: dict[str, str] = {}
        self._repeated: set[str] = set()
        for key, value in _parse_lines(text):
            if key in self._values:
                self._repeated.add(key)
            self._values[key] = value

    def require(self, key: str, parse: Callable[[str], ValueT]) -> ValueT:
        """Returns the value of a required field.

        Raises:
            SettingsError: The field is missing, given twice, or rejected by `parse`.
        """
        if key not in self._values:
            raise SettingsError(f"{key}: missing")
        return self._parse(key, parse)

    def get(self, key: str, parse: Callable[[str], ValueT], default: DefaultT) -> ValueT | DefaultT:
        """Returns the value of a field, or the default if the field is missing.

        Raises:
            SettingsError: The field is given twice, or rejected by `parse`.
        """
        if key not in self._values:
            return default
        return self._parse(key, parse)

    def get_by_name(self, prefix: str) -> dict[str, str]:
        """Returns the values of all keys that begin with the prefix, by the rest of the key.

        Raises:
            SettingsError: A value is empty, or a key is given twice.
        """
        keys = [key for key in self._values if key.startswith(prefix)]
        return {key.removeprefix(prefix): self._parse(key, parse_non_empty) for key in keys}

    def get_table(self, prefix: str, table: type[TableT]) -> TableT:
        """Returns a table as a dataclass, with the defaults of its fields for missing values.

        A value's key is the name of the dataclass field, without `_seconds` for durations; the type
        of the default selects the parser.

        Raises:
            SettingsError: A field is given twice, or its value has the wrong type.
        """
        values: dict[str, object] = {}
        for field in fields(table):
            key = prefix + field.name.removesuffix(_SECONDS_SUFFIX)
            values[field.name] = self.get(key, _parser_of(field.name, field.default), field.default)
        return table(**values)

    def _parse(self, key: str, parse: Callable[[str], ValueT]) -> ValueT:
        """Parses the value of a key that is present."""
        if key in self._repeated:
            raise SettingsError(f"{key}: given twice")
        try:
            return parse(self._values[key])
        except UnitError as error:
            raise SettingsError(f"{key}: {error}") from None


def _parse_lines(text: str) -> Iterator[tuple[str, str]]:
    """Yields the key and the value of each line that isn't blank or a comment."""
    for number, line in enumerate(text.split("\n"), 1):
        content = line.strip()
        if not content or content.startswith("#"):
            continue
        key, equals, value = content.partition("=")
        key = key.strip()
        if not equals or not key:
            raise SettingsError(
                f"line {number}: {quote_value(content)} is not of the form a.b=value"
            )
        yield key, value.strip()


def _parser_of(name: str, default: object) -> Callable[[str], bool | int | float]:
    """Returns the parser for a field with this name and default."""
    if isinstance(default, bool):  # before int, as bool is a subclass of int
        return parse_flag
    if isinstance(default, int):
        return parse_whole_number
    return parse_seconds if name.endswith(_SECONDS_SUFFIX) else parse_number
