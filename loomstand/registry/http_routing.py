"""A tree of matchers that finds the handler of an HTTP request. Pure: no I/O."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Generic, TypeVar
from urllib.parse import parse_qsl

HandlerT = TypeVar("HandlerT")

# Maximum number of query fields; valid requests have two.
MAX_QUERY_FIELDS = 100


@dataclass(slots=True, frozen=True)
class HttpRequest:
    """The parts of an HTTP request that matchers and handlers use.

    Attributes:
        method: The HTTP method.
        path: The target's path.
        query: The first value of each field of the target's query.
    """

    method: str
    path: str
    query: dict[str, str]

    @classmethod
    def parse(cls, method: bytes, target: bytes) -> HttpRequest:
        """Parses the method and the target of a request line."""
        path, _, raw_query = target.decode("latin-1").partition("?")
        pairs = parse_qsl(raw_query, keep_blank_values=True, max_num_fields=MAX_QUERY_FIELDS)
        query: dict[str, str] = {}
        for name, value in pairs:
            query.setdefault(name, value)
        return cls(method.decode("latin-1"), path, query)


@dataclass(slots=True, frozen=True)
class RouteNode(Generic[HandlerT]):
    """A node that maps the value of one part of a request to a handler or another node.

    Attributes:
        select: Returns the part of the request that this node matches.
        children: By the part's value, a handler or the node for the next part.
        mismatch_status: HTTP status for a request that matches no child.
    """

    select: Callable[[HttpRequest], str | None]
    children: Mapping[str, RouteNode[HandlerT] | HandlerT]
    mismatch_status: HTTPStatus = HTTPStatus.NOT_FOUND

    def match(self, request: HttpRequest) -> HandlerT | HTTPStatus:
        """Returns the request's handler, or an error status if a part of the request mismatches."""
        child = self.children.get(self.select(request) or "")
        if isinstance(child, RouteNode):
            return child.match(request)
        return self.mismatch_status if child is None else child


def match_path(children: Mapping[str, RouteNode[HandlerT] | HandlerT]) -> RouteNode[HandlerT]:
    """Returns a node that matches the path."""
    return RouteNode(lambda request: request.path, children, HTTPStatus.NOT_FOUND)


def match_method(children: Mapping[str, RouteNode[HandlerT] | HandlerT]) -> RouteNode[HandlerT]:
    """Returns a node that matches the method."""
    return RouteNode(lambda request: request.method, children, HTTPStatus.METHOD_NOT_ALLOWED)


def match_query(
    name: str, children: Mapping[str, RouteNode[HandlerT] | HandlerT]
) -> RouteNode[HandlerT]:
    """Returns a node that matches one field of the query."""
    return RouteNode(lambda request: request.query.get(name), children, HTTPStatus.NOT_FOUND)
