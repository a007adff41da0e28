"""What a front needs to speak in the module's terms: small indices, tenths of a millisecond,
digests.
"""

from __future__ import annotations

from hashlib import blake2b
from math import ceil, floor

# What the counter keeps under one name: a customer's use in units and its tries in thousands
# (firmly in millions), so that one total shows both.
TRY = 1000


class Unknown(Exception):
    """A name that nobody has told."""


def up(ms: float) -> int:
    """Tenths, rounded so that no span or reading comes out too small."""
    return ceil(round(ms * 10, 3))


def down(ms: float) -> int:
    """Tenths, rounded so that no deadline comes out too late."""
    return floor(round(ms * 10, 3))


def digest(text: str) -> int:
    """The same 48 bits for the same text at every limiter."""
    return int.from_bytes(blake2b(text.encode(), digest_size=6).digest(), "big")


class Door:
    """Hands out small indices for names, in order of sight; one that was forgotten gets another."""

    def __init__(self, names: list[str] | None = None) -> None:
        self.names = dict(enumerate(names or []))
        self.index = {name: n for n, name in self.names.items()}
        self.next = len(self.names)

    def at(self, name: str) -> int:
        n = self.index.get(name)
        if n is None:
            n = self.index[name] = self.next
            self.names[n] = name
            self.next += 1
        return n

    def forget(self, n: int) -> None:
        self.index.pop(self.names.pop(n), None)

    def known(self, name: str, field: str) -> int:
        if name not in self.index:
            raise Unknown(f"field '{field}': '{name}' is not in the settings or lists")
        return self.index[name]
