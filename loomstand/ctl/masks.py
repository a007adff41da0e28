"""Masking of API keys, so that a configuration can be shown and still be checked."""

from __future__ import annotations

import re
from typing import Any

# Masks are numbered: two tenants with the same key would make the masked configuration invalid.
_MASK = re.compile(r"\(masked [0-9]+\)")


def is_masked(key: str) -> bool:
    """Whether the text is a mask in place of a key."""
    return _MASK.fullmatch(key) is not None


def mask_keys(value: Any) -> Any:
    """Returns a JSON value with everything under `api_keys`, at any depth, replaced by masks."""
    count = 0

    def walk(value: Any, in_keys: bool) -> Any:
        nonlocal count
        if isinstance(value, dict):
            return {k: walk(v, in_keys or k == "api_keys") for k, v in value.items()}
        if isinstance(value, list):
            return [walk(v, in_keys) for v in value]
        if not in_keys or value is None:
            return value
        count += 1
        return f"(masked {count})"

    return walk(value, False)
