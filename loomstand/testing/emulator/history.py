"""What happened in a lab run, as the checker and the report read it: plain rows, appended in time
order.

Ids are the model's small indices: a req is numbered at its arrival over the whole fleet, a limiter
and a server by their place in the scenario. Times are tenths of a millisecond.
"""

from __future__ import annotations

from dataclasses import dataclass, field

PASSED, DENIED, ABORTED = "passed", "denied", "aborted"


@dataclass(slots=True)
class Req:
    """One req as its client saw it."""

    req: int
    limiter: int
    customer: int
    plan: int
    frontend: int
    arrived: int
    give_up: int  # the client timeout, as a clock reading
    units: float
    worth: float
    inside: bool  # within its customer's true quota at arrival, over all limiters
    retry: bool
    final: str = ""  # passed, denied or aborted; "" while none
    final_at: int = -1
    finals: int = 0  # how many final answers it got: exactly one is owed
    vanished: bool = False  # the client left before any answer; nothing is owed any more
    orphaned: bool = False  # its limiter was killed under it
    took: int = -1  # from arrival to a passed answer


@dataclass(slots=True)
class History:
    """Every row of one run."""

    reqs: list[Req] = field(default_factory=list)
    # (req, dispatch number, limiter, server, sent at, arrived at the server or -1)
    dispatches: list[list[int]] = field(default_factory=list)
    # (req, server, at, effect, group key, repeat window) for each dispatch that a server began to
    # work on
    runs: list[tuple[int, int, int, str, int, int]] = field(default_factory=list)
    # (req, limiter, at) where a req got a dispatch while another of its was out
    overlaps: list[tuple[int, int, int]] = field(default_factory=list)
    # [limiter, server, at, until]: a limiter was told that a server drains or is gone, until told
    # it is live
    told_leaving: list[list[int]] = field(default_factory=list)
    # (server, at, sent in the window, what it could bear) where a cold server fell
    falls: list[tuple[int, int, float, float]] = field(default_factory=list)
    # (customer, plan, at, units) for each dispatch that ran, for ceilings
    used: list[tuple[int, int, int, float]] = field(default_factory=list)
    # per second: [served in time, denied, aborted, lost, worth served, worth offered]
    seconds: list[list[float]] = field(default_factory=list)
    # per second and plan: units admitted (dispatched) and quota units
    admitted: list[list[float]] = field(default_factory=list)
    # per second: in hand over all servers, capacity of live servers
    load: list[tuple[float, float]] = field(default_factory=list)
    # (limiter, what) where a policy raised
    broken: list[tuple[int, str]] = field(default_factory=list)

    def second(self, at: int) -> list[float]:
        n = at // 10_000
        while len(self.seconds) <= n:
            self.seconds.append([0.0] * 6)
        return self.seconds[n]

    def plan_second(self, at: int, plans: int) -> list[float]:
        n = at // 10_000
        while len(self.admitted) <= n:
            self.admitted.append([0.0] * plans)
        return self.admitted[n]
