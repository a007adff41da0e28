"""Which handler answers which operation of the store, and the conversion of bodies to messages."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from loomstand.rpc.errors import CallRefusedError
from loomstand.rpc.messages.base import Message, Request
from loomstand.rpc.network import Body

RequestT = TypeVar("RequestT", bound=Request)


@dataclass(frozen=True, slots=True)
class Route(Generic[RequestT]):
    """An operation.

    Attributes:
        request_type: The class of its requests, which names the operation.
        handler: Answers a request, or raises CallRefusedError if it did nothing.
    """

    request_type: type[RequestT]
    handler: Callable[[RequestT], Awaitable[Message]]


class RequestRouter:
    """The table from operation to handler."""

    def __init__(self, routes: list[Route[Any]], check_recipient: Callable[[str], None]) -> None:
        """Sets the table up; `check_recipient` refuses requests that are meant for another disk."""
        self._routes = {route.request_type.operation: route for route in routes}
        self._check_recipient = check_recipient

    async def serve(self, operation: str, body: Body) -> Body:
        """Answers a call.

        Raises:
            CallRefusedError: The store did nothing.
            MessageError: The body isn't the operation's.
        """
        route = self._routes.get(operation)
        if route is None:
            raise CallRefusedError(f"no such call: {operation}")
        request = route.request_type.from_wire(body)
        # only requests that are meant for one disk have the field
        recipient = getattr(request, "recipient", None)
        if recipient is not None:
            self._check_recipient(recipient)
        response = await route.handler(request)
        return response.to_wire()
