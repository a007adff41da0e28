"""What must hold of a soak run, by what its clients, servers and operator saw. Pure."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from loomstand.testing.simulation.http_log import ClientRequest, Reply, RequestLog, ServerArrival
from loomstand.testing.soak.timing import GRACE_SECONDS

# RULES.md has bounds for machines that aren't loaded; all processes of a run share this one.
LOAD_SLACK_SECONDS = 1.0
DEPARTURE_SECONDS = 0.5  # GONE
LOSS_SLACK_SECONDS = 0.2  # LOST
DRAIN_SECONDS = 2.5  # DRAIN
CONTACT_SECONDS = 3.0
NO_ANSWER = {"closed", "reset"}

WasDisturbed = Callable[[str, float, float, bool], bool]
"""By address of a proxy, a span, and whether planned disturbances count too."""


@dataclass(frozen=True, slots=True)
class Drain:
    """A server that said it leaves.

    Attributes:
        server: Its identifier.
        acknowledged_at: When that was acknowledged.
    """

    server: str
    acknowledged_at: float


def lost_requests(request_log: RequestLog, was_disturbed: WasDisturbed) -> list[str]:
    """LOST: a proxy that was only asked to stop closed a connection in place of an answer.

    Either once the request had been sent on, or later than a moment after its last byte. A proxy
    that was killed or frozen meanwhile, and a client that left, are passed over.
    """
    runs = runs_by_request(request_log)
    lost = []
    for ask in request_log.requests.values():
        reply = request_log.replies.get(ask.id)
        if reply is None or reply.status or reply.end not in NO_ANSWER:
            continue
        if was_disturbed(ask.front[0], ask.sent, reply.at, False):
            continue
        seconds = reply.at - ask.sent
        if ask.id in runs or seconds > LOSS_SLACK_SECONDS + LOAD_SLACK_SECONDS:
            lost.append(f"LOST: {describe(ask, reply)}, sent on: {ask.id in runs}")
    return lost


def abandoned_runs(request_log: RequestLog, was_disturbed: WasDisturbed) -> list[str]:
    """GONE: a server was still at work for a client that had left, on what may be repeated."""
    late = request_log.runs_after_departure(DEPARTURE_SECONDS + LOAD_SLACK_SECONDS)
    return [
        f"GONE: {run.id} went on for {run.ended - request_log.requests[run.id].left_at:.2f} s"
        for run in late
        if request_log.requests[run.id].idempotent
        and not was_disturbed(request_log.requests[run.id].front[0], run.at, run.ended, False)
    ]


def late_arrivals(
    request_log: RequestLog, drains: list[Drain], was_disturbed: WasDisturbed
) -> list[str]:
    """DRAIN: a request reached a server long after it had said that it leaves."""
    acknowledged_at = {drain.server: drain.acknowledged_at for drain in drains}
    late = []
    for run in request_log.arrivals:
        since = run.at - acknowledged_at.get(run.server, run.at)
        front = request_log.requests[run.id].front[0] if run.id in request_log.requests else ""
        if since <= DRAIN_SECONDS + LOAD_SLACK_SECONDS:
            continue
        if not was_disturbed(front, run.at - CONTACT_SECONDS, run.at, True):
            late.append(
                f"DRAIN: {run.id} came {since:.2f} s after {run.server} said that it leaves"
            )
    return late


def needless_overdue(request_log: RequestLog, front: str, overdue_at: list[float]) -> list[str]:
    """A proxy was there beyond its grace period though no server was at work for it at the end.

    Where one is, in the last sixth of the period, the proxy is right to wait for it.
    """
    needless = []
    for moment in overdue_at:
        at_work = any(
            run.at < moment and (not run.ended or run.ended > moment - GRACE_SECONDS / 6)
            for run in request_log.runs()
            if request_log.requests[run.id].front[0] == front
        )
        if not at_work:
            needless.append(f"{front}: still there {GRACE_SECONDS:g} s after SIGTERM")
    return needless


def runs_by_request(request_log: RequestLog) -> dict[str, ServerArrival]:
    """Returns the first run of each request that was begun at a server."""
    runs: dict[str, ServerArrival] = {}
    for run in request_log.runs():
        runs.setdefault(run.id, run)
    return runs


def describe(ask: ClientRequest, reply: Reply) -> str:
    """Returns a request and what came of it in a line."""
    seconds = reply.at - ask.sent
    where = f"{ask.id} {ask.method} at {ask.front[0]}, sent at {ask.sent:.3f}"
    return f"{where}, {reply.end} after {seconds:.3f} s"
