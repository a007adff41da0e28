"""Routing of the RPC calls of limiters and other registries, and the refusal of invalid ones."""

from __future__ import annotations

from loomstand.rpc import request_router
from loomstand.rpc.errors import CallRefusedError
from loomstand.rpc.messages.base import MessageError
from loomstand.rpc.network import Body


class RequestRouter(request_router.RequestRouter):
    """A router that refuses invalid calls with the reason."""

    def unknown_call(self, operation: str) -> str:
        """See the base class."""
        return f"no call {operation!r}"

    async def serve(self, operation: str, body: Body) -> Body:
        """Handles a call.

        Raises:
            CallRefusedError: The operation is unknown, or the body is invalid.
        """
        try:
            return await super().serve(operation, body)
        except MessageError as error:
            raise CallRefusedError(f"{operation}: {error}") from None
        except (KeyError, TypeError, ValueError) as error:
            raise CallRefusedError(f"{operation}: {type(error).__name__}: {error}") from None
