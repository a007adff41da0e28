"""Routing of calls from registries and other stores, with a check of the addressed disk."""

from __future__ import annotations

from collections.abc import Callable

from loomstand.rpc import request_router
from loomstand.rpc.messages.base import Request


class RequestRouter(request_router.RequestRouter):
    """Maps operations to handlers."""

    def __init__(self, check_recipient: Callable[[str], None]) -> None:
        """Creates the router; `check_recipient` refuses requests addressed to another disk."""
        super().__init__()
        self._check_recipient = check_recipient

    def check(self, request: Request) -> None:
        """Checks the recipient of a request; only requests addressed to one disk have the field."""
        recipient = getattr(request, "recipient", None)
        if recipient is not None:
            self._check_recipient(recipient)
