"""History of an emulator run, the input of the checker and the report: rows in the order of time.

Requests are numbered by arrival over the whole fleet; limiters and servers by their position in the
scenario. Times are in ticks (0.1 ms).
"""

from __future__ import annotations

from dataclasses import dataclass, field

from loomstand.admission.ticks import TICKS_PER_SECOND

PASSED, DENIED, ABORTED = "passed", "denied", "aborted"


@dataclass(slots=True)
class RequestRecord:
    """One request, as seen by its client."""

    req: int
    limiter: int
    customer: int
    plan: int
    frontend: int
    arrived: int
    deadline: int  # time at which the client times out
    units: float
    value: float
    within_quota: bool  # within the customer's global quota at arrival
    retry: bool
    answer: str = ""  # passed, denied or aborted; "" without a final answer
    answered_at: int = -1
    answer_count: int = 0  # number of final answers; rule 1 requires exactly one
    client_left: bool = False  # the client disconnected first, so no answer is required
    orphaned: bool = False  # its limiter stopped, so no answer is required
    latency: int = -1  # time from arrival to a passed answer


@dataclass(slots=True)
class History:
    """All rows of one run."""

    reqs: list[RequestRecord] = field(default_factory=list)
    # [request, attempt, limiter, server, time sent, time of arrival at the server or -1]
    attempts: list[list[int]] = field(default_factory=list)
    # (request, server, time, effect, deduplication group, deduplication window in ticks) of each
    # attempt that a server began to execute
    executions: list[tuple[int, int, int, str, int, int]] = field(default_factory=list)
    # (request, limiter, time) of each attempt sent while another of its request was in flight
    overlaps: list[tuple[int, int, int]] = field(default_factory=list)
    # [limiter, server, time, end]: the time at which discovery notified the limiter that the server
    # is draining or gone, and the time of the next notice that it is live
    leaving_notices: list[list[int]] = field(default_factory=list)
    # (server, time, attempts in the overload window, threshold) of each crash of a cold server
    overload_crashes: list[tuple[int, int, float, float]] = field(default_factory=list)
    # (customer, plan, time, units) of each executed attempt, for the ceilings
    usage: list[tuple[int, int, int, float]] = field(default_factory=list)
    # per second: [served in time, denied, aborted, lost, value served, value offered]; values count
    # only requests within the quota
    seconds: list[list[float]] = field(default_factory=list)
    # per second: units of the attempts sent, by plan
    admitted: list[list[float]] = field(default_factory=list)
    # per second: (requests in process or queued, capacity) of the running servers
    load: list[tuple[float, float]] = field(default_factory=list)
    # (limiter, description) of each error that a policy raised
    errors: list[tuple[int, str]] = field(default_factory=list)

    def second_row(self, at: int) -> list[float]:
        """Returns the row of `seconds` for a time, and adds missing rows."""
        n = at // TICKS_PER_SECOND
        while len(self.seconds) <= n:
            self.seconds.append([0.0] * 6)
        return self.seconds[n]

    def plan_row(self, at: int, plans: int) -> list[float]:
        """Returns the row of `admitted` for a time, and adds missing rows."""
        n = at // TICKS_PER_SECOND
        while len(self.admitted) <= n:
            self.admitted.append([0.0] * plans)
        return self.admitted[n]
