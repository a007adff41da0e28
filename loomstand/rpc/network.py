"""What a program of the system is handed to call others: real sockets (`sockets.py`) or
`simulation`.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from expression import Result

from loomstand.rpc.errors import CallFailure

# Bytes a second that a call's body is given at least: encoded, sent, decoded and written, on a slow
# link with other calls beside it. Ten thousand routes are 3.4 MB; a usual configuration adds a
# millisecond.
MIN_TRANSFER_BYTES_PER_SECOND = 8e6

Address = tuple[str, int]
Body = dict[str, Any]
CallHandler = Callable[[str, Body], Awaitable[Body]]


def transfer_seconds(size: int) -> float:
    """Seconds that a call is given longer for a body of so many bytes."""
    return size / MIN_TRANSFER_BYTES_PER_SECOND


class Network(Protocol):
    """Calls by name with plain bodies (numbers, text, bytes, lists, dicts, None)."""

    async def call(
        self, address: Address, operation: str, body: Body, timeout_seconds: float
    ) -> Result[Body, CallFailure]:
        """The answer, or what the failure proves; it never takes longer than `timeout_seconds`."""
        ...

    async def listen(self, address: Address, handler: CallHandler) -> None:
        """Serves calls; `handler` answers a body, or raises CallRefusedError."""
        ...
