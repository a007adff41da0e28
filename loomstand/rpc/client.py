"""Calls with typed messages, over any `Network`."""

from __future__ import annotations

from typing import TypeVar

from expression import Result

from loomstand.rpc.errors import CallFailure
from loomstand.rpc.messages.base import Message, Request
from loomstand.rpc.network import Address, Network

ResponseT = TypeVar("ResponseT", bound=Message)


async def call(
    network: Network,
    address: Address,
    request: Request,
    response_type: type[ResponseT],
    timeout_seconds: float,
) -> Result[ResponseT, CallFailure]:
    """Sends a request and waits at most `timeout_seconds` for its response.

    Args:
        network: The network that carries the call.
        address: Address at which the other program listens.
        request: The request; its class defines the operation.
        response_type: Class of the response.
        timeout_seconds: Limit in seconds for the whole call, connection setup included.

    Returns:
        The response, or what the failure proves.

    Raises:
        MessageError: The response isn't a message of `response_type`.
    """
    body = request.to_wire()
    result = await network.call(address, request.operation, body, timeout_seconds)
    return result.map(response_type.from_wire)
