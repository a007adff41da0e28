"""Dispatches each call to the handler of its operation.

Bodies are decoded and encoded here; handlers take and return typed messages.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, TypeVar

from loomstand.rpc.errors import CallRefusedError
from loomstand.rpc.messages.base import Message, Request
from loomstand.rpc.network import Body

RequestT = TypeVar("RequestT", bound=Request)


class _Route(NamedTuple):
    """How the calls of one operation are decoded and handled."""

    parse: Callable[[Body], Request]
    handle: Callable[[Any], Awaitable[Message]]


class RequestRouter:
    """A table from operations to handlers."""

    def __init__(self) -> None:
        self._routes: dict[str, _Route] = {}

    def add(
        self, request_type: type[RequestT], handle: Callable[[RequestT], Awaitable[Message]]
    ) -> None:
        """Registers `handle` for requests of a class.

        The handler raises CallRefusedError if it did nothing.
        """
        self._routes[request_type.operation] = _Route(request_type.from_wire, handle)

    def check(self, request: Request) -> None:
        """Checks that a request is meant for this program; the base class accepts every request.

        Raises:
            CallRefusedError: The request is meant for another program; raised by subclasses only.
        """

    def unknown_call(self, operation: str) -> str:
        """Returns the reason sent when a call of an unknown operation is refused."""
        return f"no such call: {operation}"

    async def serve(self, operation: str, body: Body) -> Body:
        """Answers a call.

        Raises:
            CallRefusedError: The operation is unknown, or the request was refused.
            MessageError: The body isn't a valid request of the operation.
        """
        route = self._routes.get(operation)
        if route is None:
            raise CallRefusedError(self.unknown_call(operation))
        request = route.parse(body)
        self.check(request)
        response = await route.handle(request)
        return response.to_wire()
