"""How calls fail: what a failure proves to the caller, and the errors of this package.

Whoever sees a failure asks one thing only: may what was asked have been executed?
"""

from __future__ import annotations

from enum import Enum


class CallFailure(Enum):
    """How a call failed, by what that proves. The values go out in answers to operators."""

    NEVER_RAN = "never ran"
    """Nothing of it can have reached the other end."""

    MAY_HAVE_RUN = "may have run"
    """It was sent, and no answer came."""

    REFUSED = "refused"
    """The other end says that it did nothing."""


class RpcError(Exception):
    """Base class of this package's errors."""


class CallRefusedError(RpcError):
    """Raised by whoever serves a call: it did nothing, and the caller may ask elsewhere.

    The text goes to the caller, as the reason.
    """


class FrameError(RpcError):
    """Bytes that aren't a frame; the connection they came on is of no further use."""
