"""Masking of API keys, so that a configuration can be printed and the output still be checked."""

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

    def mask(node: Any, in_keys: bool) -> Any:
        nonlocal count
        if isinstance(node, dict):
            return {key: mask(child, in_keys or key == "api_keys") for key, child in node.items()}
        if isinstance(node, list):
            return [mask(child, in_keys) for child in node]
        if not in_keys or node is None:
            return node
        count += 1
        return f"(masked {count})"

    return mask(value, False)
