"""A call with typed messages, over any `Network`."""

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
    """Sends a request and waits for its answer, never longer than `timeout_seconds`.

    Args:
        network: Carries the call.
        address: Where the other program listens.
        request: Its class names the operation.
        response_type: Class of the answer.
        timeout_seconds: For the whole call, connecting included.

    Returns:
        The answer, or what the failure proves.

    Raises:
        MessageError: The answer isn't a message of `response_type`.
    """
    body = request.to_wire()
    result = await network.call(address, request.operation, body, timeout_seconds)
    return result.map(response_type.from_wire)
