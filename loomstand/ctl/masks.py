"""Keys made unreadable, so that a configuration can be shown and still be checked."""

from __future__ import annotations

import re
from typing import Any

# Each has its own number: two tenants with one key would make the shown configuration invalid.
_MASK = re.compile(r"\(masked [0-9]+\)")


def masked(key: str) -> bool:
    """Whether this stands in the place of a key."""
    return _MASK.fullmatch(key) is not None


def mask(value: Any) -> Any:
    """A JSON value with all keys masked, wherever they stand."""
    count = 0

    def walk(value: Any, keys: bool) -> Any:
        nonlocal count
        if isinstance(value, dict):
            return {k: walk(v, keys or k == "api_keys") for k, v in value.items()}
        if isinstance(value, list):
            return [walk(v, keys) for v in value]
        if not keys or value is None:
            return value
        count += 1
        return f"(masked {count})"

    return walk(value, False)
