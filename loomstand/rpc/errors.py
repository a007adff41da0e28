"""Whether what was asked may have run: the one thing that everything in the system asks of a
failure.
"""

from __future__ import annotations

from enum import Enum


class CallFailure(Enum):
    """How a call failed, by what that proves."""

    NEVER_RAN = "never ran"  # nothing of it can have reached the other end
    MAY_HAVE_RUN = "may have run"  # no answer came to what was sent
    REFUSED = "refused"  # the other end says that it did nothing


class CallRefusedError(Exception):
    """Raised by whoever serves a call: it did nothing, and the caller may ask elsewhere."""
