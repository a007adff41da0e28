"""What a program is handed to call others: an interface, without sockets.

`tcp_network` is the one of real sockets; simulated ones stand in `loomstand.testing.simulation`.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from expression import Result

from loomstand.rpc.errors import CallFailure

# Bytes a second at which a call's body is taken to be encoded, sent, decoded and written at least,
# on a slow link with other calls beside it. Ten thousand routes are 3.4 MB; a usual configuration
# adds a millisecond.
MIN_TRANSFER_BYTES_PER_SECOND = 8e6

Address = tuple[str, int]
"""IP address and TCP port."""

Body = dict[str, Any]
"""What a call or an answer carries: numbers, text, bytes, lists, mappings and None, by key."""

CallHandler = Callable[[str, Body], Awaitable[Body]]
"""Serves a call: takes the operation's name and the request's body, returns the response's body."""


def transfer_seconds(size_bytes: int) -> float:
    """Returns the seconds by which a call's timeout is longer for a body of this size."""
    return size_bytes / MIN_TRANSFER_BYTES_PER_SECOND


class Network(Protocol):
    """Calls between programs. Bodies are plain; `rpc.client` calls with typed messages."""

    async def call(
        self, address: Address, operation: str, body: Body, timeout_seconds: float
    ) -> Result[Body, CallFailure]:
        """Calls the program that listens at `address`.

        Args:
            address: Where it listens.
            operation: Name of the operation.
            body: The request's body.
            timeout_seconds: For the whole call, connecting included; it never takes longer.

        Returns:
            The response's body, or what the failure proves.
        """
        ...

    async def listen(self, address: Address, handler: CallHandler) -> None:
        """Serves calls at `address` until the program ends.

        Args:
            address: Where to listen.
            handler: Serves each call; it raises `CallRefusedError` where it did nothing.
        """
        ...
