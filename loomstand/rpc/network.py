"""What a program of the system is handed to call others: real sockets (`sockets.py`) or `simulation`."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from expression import Result

from loomstand.shared.verdict import Verdict

Address = tuple[str, int]
Body = dict[str, Any]
Serve = Callable[[str, Body], Awaitable[Body]]


class Network(Protocol):
    """Calls by name with plain bodies (numbers, text, bytes, lists, dicts, None)."""

    async def call(self, address: Address, op: str, body: Body, within: float) -> Result[Body, Verdict]:
        """The answer, or what the failure proves; it never takes longer than `within` seconds."""
        ...

    async def listen(self, address: Address, serve: Serve) -> None:
        """Serves calls; `serve` answers a body, or raises Refused."""
        ...
