"""Checks of a soak run over the log of its clients and servers. Performs no I/O."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from loomstand.testing.simulation.http_log import ClientRequest, Reply, RequestLog, ServerArrival
from loomstand.testing.soak.processes import Overdue
from loomstand.testing.soak.timing import GRACE_SECONDS, START_SECONDS

# Added to each limit: the limits of RULES.md are for machines without load, but all processes of a
# run share one machine.
LOAD_SLACK_SECONDS = 1.0
DEPARTURE_SECONDS = 0.5  # GONE: a server may work on a request this long after its client left
LOSS_SLACK_SECONDS = 0.2  # LOST: a request not yet forwarded may end this long after it was sent
LATEST_SENDING_SECONDS = 3.0  # LOST: after SIGTERM, for a server at work at the grace period's end
DRAIN_SECONDS = 2.5  # DRAIN: requests may reach a server this long after its draining
CONTACT_SECONDS = 3.0  # DRAIN: a disturbance of the proxy this long before an arrival excuses it
NO_ANSWER = {"closed", "reset"}  # endings of a connection that the proxy closed without an answer

WasDisturbed = Callable[[str, float, float, bool], bool]
"""Whether the proxy at an address was disturbed in a span.

The arguments are the address, the start and end of the span in seconds by the event loop's clock,
and whether planned disturbances count too.
"""


@dataclass(frozen=True, slots=True)
class Drain:
    """A server that announced its draining.

    Attributes:
        server: Its identifier.
        acknowledged_at: Time of the acknowledgement, in seconds by the event loop's clock.
    """

    server: str
    acknowledged_at: float


@dataclass(frozen=True, slots=True)
class CoreKill:
    """A kill of all processes of the core.

    Attributes:
        at: Its time, in seconds by the event loop's clock.
        restarted_at: Time at which the last of the processes was started again.
    """

    at: float
    restarted_at: float

    def is_unsettled(self, moment: float) -> bool:
        """Returns whether proxies may be out of touch with the core at a moment."""
        in_touch_at = self.restarted_at + START_SECONDS + 2 * CONTACT_SECONDS
        return self.at <= moment < in_touch_at


def lost_requests(request_log: RequestLog, was_disturbed: WasDisturbed) -> list[str]:
    """LOST: a proxy that was running or stopping in order closed a connection without an answer.

    The request counts as lost if it had been forwarded, or if the connection was closed more than
    `LOSS_SLACK_SECONDS` (plus the slack for load) after the request was sent. Requests whose proxy
    was killed or frozen in that time, or whose client left, are skipped.
    """
    runs = runs_by_request(request_log)
    lost = []
    for request in request_log.requests.values():
        reply = request_log.replies.get(request.id)
        if reply is None or reply.status or reply.end not in NO_ANSWER:
            continue
        if was_disturbed(request.front[0], request.sent, reply.at, False):
            continue
        seconds = reply.at - request.sent
        if request.id in runs or seconds > LOSS_SLACK_SECONDS + LOAD_SLACK_SECONDS:
            lost.append(f"LOST: {describe(request, reply)}, forwarded: {request.id in runs}")
    return lost


def given_up_requests(
    request_log: RequestLog, was_disturbed: WasDisturbed, terminated_at: Mapping[str, list[float]]
) -> list[str]:
    """LOST: a proxy answered with a failure of its own although a server was at work.

    It had closed the connection to the server before the request's time was up. Requests whose
    proxy was killed or frozen in that time are skipped, and those that it no longer waits for at
    the end of its grace period.

    Args:
        request_log: Log of the requests.
        was_disturbed: Whether a proxy was disturbed.
        terminated_at: By address of a proxy, when it got SIGTERM.
    """
    return [
        f"LOST: {describe(request, reply)}, given up while a server was at work"
        for request, reply in request_log.given_up(LOSS_SLACK_SECONDS)
        if not was_disturbed(request.front[0], request.sent, reply.at, False)
        and not any(
            is_end_of_grace(request, reply, moment)
            for moment in terminated_at.get(request.front[0], ())
        )
    ]


def is_end_of_grace(request: ClientRequest, reply: Reply, terminated_at: float) -> bool:
    """Returns whether a request, sent early enough, ended in the last sixth of a grace period."""
    is_early = request.sent <= terminated_at + LATEST_SENDING_SECONDS
    seconds = reply.at - terminated_at
    return is_early and GRACE_SECONDS * 5 / 6 <= seconds <= GRACE_SECONDS


def abandoned_runs(request_log: RequestLog, was_disturbed: WasDisturbed) -> list[str]:
    """GONE: a server still worked on an idempotent request long after its client had left."""
    late = request_log.runs_after_departure(DEPARTURE_SECONDS + LOAD_SLACK_SECONDS)
    return [
        f"GONE: {run.id} went on for {run.ended - request_log.requests[run.id].left_at:.2f} s"
        for run in late
        if request_log.requests[run.id].idempotent
        and not was_disturbed(request_log.requests[run.id].front[0], run.at, run.ended, False)
    ]


def late_arrivals(
    request_log: RequestLog,
    drains: list[Drain],
    was_disturbed: WasDisturbed,
    core_kill: CoreKill | None = None,
) -> list[str]:
    """DRAIN: a request reached a server long after its draining or leaving was acknowledged.

    Args:
        request_log: Log of the requests.
        drains: The departures.
        was_disturbed: Whether a proxy was disturbed.
        core_kill: A kill of all core machines; None if there was none.
    """
    acknowledged_at = {drain.server: drain.acknowledged_at for drain in drains}
    late = []
    for run in request_log.arrivals:
        since = run.at - acknowledged_at.get(run.server, run.at)
        front = request_log.requests[run.id].front[0] if run.id in request_log.requests else ""
        if since <= DRAIN_SECONDS + LOAD_SLACK_SECONDS:
            continue
        if core_kill is not None and core_kill.is_unsettled(run.at):
            continue
        if not was_disturbed(front, run.at - CONTACT_SECONDS, run.at, True):
            late.append(
                f"DRAIN: {run.id} came {since:.2f} s after {run.server} announced its draining"
            )
    return late


def needless_overdue(request_log: RequestLog, proxy_ip: str, overdue: list[Overdue]) -> list[str]:
    """A proxy exceeded its grace period although it was not waiting for a server.

    It may wait for a server that still runs one of its requests in the last sixth of the period.

    Args:
        request_log: Log of the requests.
        proxy_ip: Address of the proxy.
        overdue: Each time that it exceeded the period.
    """
    needless = []
    for case in overdue:
        server_works = any(
            run.at < case.at and (not run.ended or run.ended > case.at - GRACE_SECONDS / 6)
            for run in request_log.runs()
            if request_log.requests[run.id].front[0] == proxy_ip
        )
        if not server_works:
            needless.append(
                f"{proxy_ip}: still running {GRACE_SECONDS:g} s after SIGTERM, with"
                f" {case.processor_seconds:.1f} s of processor time and {case.connections}"
                f" connections; requests at it: {unanswered_at(request_log, proxy_ip, case.at)}"
            )
    return needless


def unanswered_at(request_log: RequestLog, proxy_ip: str, moment: float) -> str:
    """Returns the requests that a proxy owed an answer at a moment, with where each has been."""
    arrivals = {arrival.id: arrival for arrival in request_log.arrivals}
    owed = []
    for request in request_log.requests.values():
        reply = request_log.replies.get(request.id)
        if request.front[0] != proxy_ip or not request.sent <= moment:
            continue
        if reply is not None and reply.at < moment:
            continue
        arrival = arrivals.get(request.id)
        seen = f"at {arrival.server} {arrival.at - moment:+.1f} s" if arrival else "at no server"
        owed.append(f"{request.id} sent {request.sent - moment:+.1f} s, {seen}")
    return ", ".join(owed) or "none"


def runs_by_request(request_log: RequestLog) -> dict[str, ServerArrival]:
    """Returns the first run of each request that a server started."""
    runs: dict[str, ServerArrival] = {}
    for run in request_log.runs():
        runs.setdefault(run.id, run)
    return runs


def describe(request: ClientRequest, reply: Reply) -> str:
    """Returns a request and its result as one line."""
    seconds = reply.at - request.sent
    request_text = (
        f"{request.id} {request.method} at {request.front[0]}, sent at {request.sent:.3f}"
    )
    return f"{request_text}, {reply.ending} after {seconds:.3f} s"
