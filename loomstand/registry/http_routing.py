"""A tree of matchers: which of our handlers a call from outside is for."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar
from urllib.parse import parse_qsl

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class Asked:
    """A call's parts that matchers look at; `query` has the first value of each name."""

    method: str
    path: str
    query: dict[str, str]

    @classmethod
    def of(cls, method: bytes, target: bytes) -> Asked:
        path, _, query = target.decode("latin-1").partition("?")
        pairs: dict[str, str] = {}
        for name, value in parse_qsl(query, keep_blank_values=True, max_num_fields=100):
            pairs.setdefault(name, value)
        return cls(method.decode("latin-1"), path, pairs)


@dataclass(slots=True, frozen=True)
class Node(Generic[T]):
    """What each value of a part leads to: a handler, or the next part. `wrong` is the status of a
    call that came here and matched nothing below.
    """

    part: Callable[[Asked], str | None]
    below: dict[str, Node[T] | T] = field(default_factory=dict)
    wrong: int = 404

    def match(self, asked: Asked) -> T | int:
        """The handler, or the status that says what doesn't fit."""
        found = self.below.get(self.part(asked) or "")
        if isinstance(found, Node):
            return found.match(asked)
        return self.wrong if found is None else found


def path(below: dict[str, Node[T] | T]) -> Node[T]:
    """By the path."""
    return Node(lambda asked: asked.path, below, 404)


def method(below: dict[str, Node[T] | T]) -> Node[T]:
    """By the method."""
    return Node(lambda asked: asked.method, below, 405)


def query(name: str, below: dict[str, Node[T] | T]) -> Node[T]:
    """By one field of the query."""
    return Node(lambda asked: asked.query.get(name), below, 404)
