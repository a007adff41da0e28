"""Identifiers that stand for names in the decision engine: indices and digests. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

# One count holds a tenant's use in units in its lower part and the number of its requests, admitted
# or not, above it, so that one total states both. Requests are counted in multiples of this factor,
# or of its square where the quota is strict.
ATTEMPT_FACTOR = 1000

_DIGEST_BYTES = 6


class UnknownNameError(Exception):
    """A name that is neither in the settings nor in the endpoint lists."""


def stable_digest(text: str) -> int:
    """Returns 48 bits that are the same for the same text at every limiter."""
    return int.from_bytes(blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest(), "big")


class NameIndex:
    """Assigns small indices to names, in the order in which they are first seen.

    An index is never reused: a name that was removed gets a new one.

    Attributes:
        names: Names by index.
        indices: Indices by name.
        next_index: The index that the next new name gets.
    """

    def __init__(self, names: Iterable[str] = ()) -> None:
        self.names = dict(enumerate(names))
        self.indices = {name: index for index, name in self.names.items()}
        self.next_index = len(self.names)

    def index_of(self, name: str) -> int:
        """Returns the name's index, a new one for a new name."""
        index = self.indices.get(name)
        if index is None:
            index = self.indices[name] = self.next_index
            self.names[index] = name
            self.next_index += 1
        return index

    def forget(self, index: int) -> None:
        """Removes the name at an index."""
        self.indices.pop(self.names.pop(index), None)

    def require(self, name: str, field: str) -> int:
        """Returns the index of a known name.

        Raises:
            UnknownNameError: The name is not known; `field` is where it was stated.
        """
        if name not in self.indices:
            raise UnknownNameError(f"field '{field}': '{name}' is not in the settings or lists")
        return self.indices[name]
