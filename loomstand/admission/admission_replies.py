"""Interface for the replies of a tenant's limiter. Pure."""

from __future__ import annotations

from typing import Protocol


class AdmissionReplies(Protocol):
    """Receiver of a tenant's limiter's replies to admission requests."""

    def post_admitted(self, request_id: int) -> None:
        """Posts that a request is within the tenant's limits."""

    def post_rejected(self, request_id: int, retry_after: int, reason: str) -> None:
        """Posts that a request is rejected; see `Reject` for the arguments."""
