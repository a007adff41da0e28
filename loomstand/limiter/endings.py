"""Reasons for which a connection ends, and the outcomes that the decision engine gets for them."""

from __future__ import annotations

from enum import Enum, auto

from loomstand.admission.outcome import Outcome


class Ending(Enum):
    """Reason why a connection ended or could not be established."""

    REFUSED = auto()  # connection refused, or no route
    SILENT_CONNECT = auto()  # connect timed out
    NO_ROOM = auto()  # no descriptor or memory left on this machine
    CLOSED = auto()  # the peer closed its sending side
    RESET = auto()  # the connection was lost
    MALFORMED = auto()  # the peer sent an invalid message
    OVERSIZED = auto()  # the peer exceeded a size limit
    STALLED = auto()  # the peer stopped sending or reading mid-message
    EXPIRED = auto()  # time-out on this side
    CALLED_OFF = auto()  # cancelled on this side
    IDLE = auto()  # closed by this side while idle
    FINISHED = auto()  # closed by this side as intended, after the last message
    STOPPING = auto()  # this limiter is shutting down


PEER_ENDINGS = {Ending.CLOSED, Ending.RESET}  # the peer, or the network, ended the connection
# Endings caused by this limiter; with these, a request that did not run is not a failure of the
# server.
LOCAL_FAILURES = {Ending.NO_ROOM, Ending.STOPPING, Ending.CALLED_OFF}
# Outcomes of attempts that this limiter ended when the server may have begun the request.
LOCAL_ENDING_OUTCOMES = {Ending.EXPIRED: Outcome.NO_RESPONSE, Ending.CALLED_OFF: Outcome.CANCELLED}


def attempt_outcome(ending: Ending, may_have_run: bool) -> Outcome:
    """Returns the outcome of an attempt whose connection ended.

    Args:
        ending: Why the connection ended.
        may_have_run: Whether the server may have begun the request; see
            `ServerConnection.may_have_run`.
    """
    if not may_have_run:
        return Outcome.NOT_SENT if ending in LOCAL_FAILURES else Outcome.CONNECT_FAILED
    return LOCAL_ENDING_OUTCOMES.get(ending, Outcome.CONNECTION_LOST)


def counter_call_outcome(ending: Ending, written: bool) -> Outcome:
    """Returns the outcome of a counter call whose connection ended, or which timed out.

    Args:
        ending: Why it ended.
        written: Whether the call was written, so that the counter may have applied it.
    """
    return Outcome.NO_RESPONSE if written else Outcome.CONNECT_FAILED


def response_outcome(status: int, not_started: bool) -> Outcome:
    """Returns the outcome of an attempt with a complete response.

    Args:
        status: HTTP status.
        not_started: Whether the response says that the request was not started.
    """
    if status == 200:
        return Outcome.SUCCEEDED
    return Outcome.REJECTED if status in (503, 504) and not_started else Outcome.SERVER_ERROR


def counter_response_outcome(status: int) -> Outcome:
    """Returns the outcome of a counter call with a complete response of this HTTP status.

    400, 404 and 503 prove that nothing was added; with any other error, the increment may have been
    applied.
    """
    if status == 200:
        return Outcome.SUCCEEDED
    return Outcome.REJECTED if status in (400, 404, 503) else Outcome.NO_RESPONSE
