"""Where a tenant's limiter sends its replies. Pure; nothing decides."""

from __future__ import annotations

from typing import Protocol


class AdmissionReplies(Protocol):
    """Where a limiter's replies go."""

    def post_admitted(self, request_id: int) -> None:
        """The request is within the quota and the rate limit."""

    def post_rejected(self, request_id: int, retry_after: int, reason: str) -> None:
        """The request is rejected; see `Reject`."""
