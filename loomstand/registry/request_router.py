"""From the operation of a call to its handler: the calls of limiters and other registries.

Bodies are read and written here; handlers get and return typed messages.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, TypeVar

from loomstand.rpc.errors import CallRefusedError
from loomstand.rpc.messages.base import Message, MessageError, Request
from loomstand.rpc.network import Body

RequestT = TypeVar("RequestT", bound=Request)


class _Route(NamedTuple):
    parse: Callable[[Body], Request]
    handle: Callable[[Any], Awaitable[Message]]


class RequestRouter:
    """A table from operations to handlers."""

    def __init__(self) -> None:
        self._routes: dict[str, _Route] = {}

    def add(
        self, request_type: type[RequestT], handle: Callable[[RequestT], Awaitable[Message]]
    ) -> None:
        """Has requests of a class handled by `handle`."""
        self._routes[request_type.operation] = _Route(request_type.from_wire, handle)

    async def serve(self, operation: str, body: Body) -> Body:
        """Answers a call.

        Raises:
            CallRefusedError: There is no such operation, or the body can't be used.
        """
        route = self._routes.get(operation)
        if route is None:
            raise CallRefusedError(f"no call {operation!r}")
        parse, handle = route
        try:
            response = await handle(parse(body))
        except MessageError as error:
            raise CallRefusedError(f"{operation}: {error}") from None
        except (KeyError, TypeError, ValueError) as error:
            raise CallRefusedError(f"{operation}: {type(error).__name__}: {error}") from None
        return response.to_wire()
