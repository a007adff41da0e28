"""Typed access to JSON: each value is checked when it is read, and errors name its location. Pure.

Unknown fields are ignored. A field that is absent or null gets its default; a field without a
default is required.
"""

from __future__ import annotations

import json
import re
from typing import NoReturn

from loomstand.config.configuration.errors import ConfigurationError
from loomstand.config.units import UnitError, parse_seconds, quote_value

MAX_NUMBER = 2.0**63
"""Far above any number in real configurations; sums of numbers up to this one stay finite."""

# Characters that would end a header line or log line, or can't be encoded in UTF-8.
_UNSAFE_CHARACTERS = re.compile("[\x00-\x1f\x7f-\x9f\u2028\u2029\ud800-\udfff]")


def load_json(raw: bytes) -> object:
    """Decodes JSON strictly: keys are unique within an object, and numbers are finite.

    Raises:
        ConfigurationError: The bytes aren't UTF-8 or aren't strict JSON.
    """
    try:
        return json.loads(
            raw.decode("utf-8"),
            object_pairs_hook=_object_of_unique_keys,
            parse_constant=_refuse_constant,
        )
    except ConfigurationError:  # a subclass of ValueError, which is caught below
        raise
    except UnicodeDecodeError as error:
        raise ConfigurationError(f"not UTF-8 at byte {error.start}") from None
    except json.JSONDecodeError as error:
        raise ConfigurationError(f"JSON: {error}") from None
    except ValueError:
        raise ConfigurationError("JSON: a number of too many digits") from None
    except RecursionError:
        raise ConfigurationError("JSON: nested too deep") from None


def _object_of_unique_keys(pairs: list[tuple[str, object]]) -> dict[str, object]:
    values = dict(pairs)
    if len(values) < len(pairs):
        keys = [key for key, _ in pairs]
        repeated = next(key for key in keys if keys.count(key) > 1)
        raise ConfigurationError(f"JSON: key {quote_value(repeated)} given twice")
    return values


def _refuse_constant(name: str) -> NoReturn:
    raise ConfigurationError(f"JSON: {name} is not a number")


class JsonObject:
    """A JSON object and its location for errors.

    Args:
        values: A decoded JSON value; anything but an object is an error.
        location: The resource that contains the object, followed by `: `; empty for the document.
        path: The keys from the resource to the object; empty for the resource itself.
    """

    __slots__ = ("_values", "location", "path")

    def __init__(self, values: object, location: str, path: str) -> None:
        if not isinstance(values, dict):
            place = (location + path).removesuffix(": ") or "JSON"
            raise ConfigurationError(f"{place}: not an object")
        self._values: dict[str, object] = values
        self.location = location
        self.path = f"{path}." if path else ""

    def error(self, key: str, problem: str) -> ConfigurationError:
        """Returns the error for a field."""
        return ConfigurationError(f"{self.location}{self.path}{key}: {problem}")

    def get(self, key: str, default: object = None) -> object:
        """Returns an unchecked value, or the default; without a default the field is required."""
        value = self._values.get(key)
        if value is not None:
            return value
        if default is None:
            raise self.error(key, "missing")
        return default

    def get_text(self, key: str, default: str | None = None) -> str:
        """Returns a text that is safe in headers and logs."""
        return self.check_text(key, self.get(key, default))

    def check_text(self, key: str, value: object) -> str:
        """Checks that a value is a text that is safe in headers and logs, and returns it."""
        if not isinstance(value, str):
            raise self.error(key, "not a text")
        if _UNSAFE_CHARACTERS.search(value):
            raise self.error(key, "a character that can't be sent on")
        return value

    def get_name(self, key: str) -> str:
        """Returns a required text that isn't blank."""
        value = self.get_text(key)
        if not value.strip():
            raise self.error(key, "empty")
        return value

    def get_number(self, key: str, default: float | None = None) -> float:
        """Returns a number from 0 to MAX_NUMBER."""
        value = self.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self.error(key, "not a number")
        if not 0 <= value <= MAX_NUMBER:
            raise self.error(key, "negative" if value < 0 else "too large a number")
        return float(value)

    def get_whole_number(self, key: str, default: int | None = None) -> int:
        """Returns a whole number from 0 to MAX_NUMBER; `2.0` is accepted."""
        value = self.get_number(key, default)
        if not value.is_integer():
            raise self.error(key, "not a whole number")
        return int(value)

    def get_seconds(self, key: str, default: float | None = None) -> float:
        """Returns a duration such as `1500ms` or `2.5s`, in seconds."""
        if default is not None and self._values.get(key) is None:
            return default
        text = self.get_text(key)
        try:
            return parse_seconds(text)
        except UnitError as error:
            raise self.error(key, str(error)) from None

    def get_flag(self, key: str, *, default: bool) -> bool:
        """Returns a boolean."""
        value = self.get(key, default)
        if not isinstance(value, bool):
            raise self.error(key, "neither true nor false")
        return value

    def get_list(self, key: str, default: tuple[()] | None = None) -> list[object]:
        """Returns a list with unchecked items."""
        value = self.get(key, default)
        if not isinstance(value, list | tuple):
            raise self.error(key, "not a list")
        return list(value)
