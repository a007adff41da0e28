"""Failures of calls, by what they prove to the caller, and the errors of this package.

A caller needs to know one thing about a failed call: whether it may have been executed.
"""

from __future__ import annotations

from enum import Enum


class CallFailure(Enum):
    """What a failed call proves. The values are part of responses to operators."""

    NEVER_RAN = "never ran"
    """No part of the call can have reached the other program."""

    MAY_HAVE_RUN = "may have run"
    """The call was sent, and no answer was received."""

    REFUSED = "refused"
    """The other program answered that it did nothing."""


class RpcError(Exception):
    """Base class of this package's errors."""


class CallRefusedError(RpcError):
    """Raised by a call's handler if it did nothing, so that the caller may call another program.

    The text is sent to the caller as the reason.
    """


class FrameError(RpcError):
    """Received bytes aren't a valid frame; their connection can't be used any further."""
