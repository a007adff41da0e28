"""The interface by which a program calls others, independent of sockets.

`tcp_network` implements it over TCP; simulated networks are in `loomstand.testing.simulation`.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from expression import Result

from loomstand.rpc.errors import CallFailure

# Lowest rate in bytes per second at which a call's body is assumed to be encoded, sent, decoded and
# written, on a slow link with other calls in flight. A configuration of ten thousand routes has
# 3.4 MB and extends a timeout by 0.4 s; a usual one extends it by 1 ms.
MIN_TRANSFER_BYTES_PER_SECOND = 8e6

Address = tuple[str, int]
"""IP address and TCP port."""

Body = dict[str, Any]
"""Contents of a request or response: numbers, text, bytes, lists, mappings and None, by key."""

CallHandler = Callable[[str, Body], Awaitable[Body]]
"""Serves a call: takes the operation's name and the request's body, returns the response's body."""


def transfer_seconds(size_bytes: int) -> float:
    """Returns the time in seconds to add to a call's timeout for a body of this size."""
    return size_bytes / MIN_TRANSFER_BYTES_PER_SECOND


class Network(Protocol):
    """Calls between programs with untyped bodies; `rpc.client` calls with typed messages."""

    async def call(
        self, address: Address, operation: str, body: Body, timeout_seconds: float
    ) -> Result[Body, CallFailure]:
        """Calls the program that listens at `address`.

        Args:
            address: Address at which the program listens.
            operation: Name of the operation.
            body: Body of the request.
            timeout_seconds: Limit in seconds for the whole call, connection setup included.

        Returns:
            Body of the response, or what the failure proves.
        """
        ...

    async def listen(self, address: Address, handler: CallHandler) -> None:
        """Serves calls at `address` until the program ends.

        Args:
            address: Address to listen at.
            handler: Serves each call; it raises `CallRefusedError` if it did nothing.
        """
        ...
