"""The fields of a settings file by their keys, each parsed as its reader asks. Pure."""

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

_SECONDS = "_seconds"


class SettingsFields:
    """The lines `a.b=value` of a settings file.

    Blank lines and those that begin with `#` are skipped; fields that nobody asks for are ignored,
    as the file may gain some.
    """

    def __init__(self, text: str) -> None:
        self._values: dict[str, str] = {}
        self._repeated: set[str] = set()
        for key, value in _parse_lines(text):
            if key in self._values:
                self._repeated.add(key)
            self._values[key] = value

    def require(self, key: str, parse: Callable[[str], ValueT]) -> ValueT:
        """Returns the value of a field that has to be there.

        Raises:
            SettingsError: It is missing, given twice, or `parse` refuses it.
        """
        if key not in self._values:
            raise SettingsError(f"{key}: missing")
        return self._parse(key, parse)

    def get(self, key: str, parse: Callable[[str], ValueT], default: DefaultT) -> ValueT | DefaultT:
        """Returns the value of a field, or the default where it isn't there.

        Raises:
            SettingsError: It is given twice, or `parse` refuses it.
        """
        if key not in self._values:
            return default
        return self._parse(key, parse)

    def get_by_name(self, prefix: str) -> dict[str, str]:
        """Returns the fields of a table whose keys are names, by those names.

        Raises:
            SettingsError: A field is empty or given twice.
        """
        keys = [key for key in self._values if key.startswith(prefix)]
        return {key.removeprefix(prefix): self._parse(key, parse_non_empty) for key in keys}

    def get_table(self, prefix: str, table: type[TableT]) -> TableT:
        """Returns a table of figures, each with the default of its field in the dataclass.

        A figure's key is the name of its field, without `_seconds` where it is a span; how it is
        parsed goes by the type of the default.

        Raises:
            SettingsError: A field is given twice, or isn't what its type asks for.
        """
        values: dict[str, object] = {}
        for field in fields(table):
            key = prefix + field.name.removesuffix(_SECONDS)
            values[field.name] = self.get(key, _parser_of(field.name, field.default), field.default)
        return table(**values)

    def _parse(self, key: str, parse: Callable[[str], ValueT]) -> ValueT:
        if key in self._repeated:
            raise SettingsError(f"{key}: given twice")
        try:
            return parse(self._values[key])
        except UnitError as error:
            raise SettingsError(f"{key}: {error}") from None


def _parse_lines(text: str) -> Iterator[tuple[str, str]]:
    """Yields the key and the value of each line that has some."""
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
    """Returns how a figure with this default is written."""
    if isinstance(default, bool):  # before int, whose subclass it is
        return parse_flag
    if isinstance(default, int):
        return parse_whole_number
    return parse_seconds if name.endswith(_SECONDS) else parse_number
