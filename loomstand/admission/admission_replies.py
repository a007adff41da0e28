"""Interface for the replies of a tenant's limiter. Pure."""

from __future__ import annotations

from typing import Protocol


class AdmissionReplies(Protocol):
    """Receives the replies of a tenant's limiter to requests for admission."""

    def post_admitted(self, request_id: int) -> None:
        """Posts the message that a request is within the tenant's limits."""

    def post_rejected(self, request_id: int, retry_after: int, reason: str) -> None:
        """Posts the message that a request is rejected; see `Reject` for the arguments."""
