"""Plain types between a front (`adapter` or `net`) and the decision module.

Times are whole tenths of a millisecond. Servers, customers, frontends, plans, halls and kinds are
small indices that the front hands out; a customer also brings a digest that is the same at every
limiter. Nothing here decides anything. Notes and actions are made for each req and never changed
after; they are not frozen, as that makes their making five times as dear.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

TICKS_PER_SECOND = 10_000


class Effect(Enum):
    """Whether a req may run again."""

    REPLAYABLE = "replayable"
    UNIQUED = "uniqued"
    NON_REPLAYABLE = "non-replayable"


class DeduplicationScope(Enum):
    """Which servers drop repeats of a uniqued req."""

    ALL = "all"
    HALL = "hall"
    POD = "pod"


class Outcome(Enum):
    """How a dispatch or a count call ended."""

    PASSED = "passed"
    SERVER_ERROR = "server error"
    TURNED_AWAY = "turned away"
    NO_ANSWER = "no answer"
    NO_CONNECTION = "no connection"
    CONNECTION_LOST = "connection lost"
    CALLED_OFF = "called off"
    NOT_SENT = "not sent"


class EndpointState(Enum):
    """What the list says of a server."""

    LIVE = "live"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(slots=True, frozen=True)
class Frontend:
    """A frontend's figures."""

    effect: Effect
    group: DeduplicationScope
    repeat_window: int
    response_target: int
    client_timeout: int
    value: float
    late_value: float
    stream: bool
    tries: int = 0  # dispatches of a req at most; 0 for the settings' `try_limit`


@dataclass(slots=True, frozen=True)
class QuotaPlan:
    """A plan's quota for each customer, over all limiters."""

    rate: float
    burst: float
    at_once: int
    value_factor: float
    excess_value: float
    excess_cost: float
    ceiling_rate: float
    ceiling_depth: float
    ceiling_slack: float


@dataclass(slots=True, frozen=True)
class EngineSettings:
    """All that a limiter is told at its start, and again whenever it changes (`Ruled`)."""

    me: int
    limiters: int
    hall: int
    frontends: tuple[Frontend, ...]
    plans: tuple[QuotaPlan, ...]
    try_limit: int
    may_cancel: bool
    may_probe: bool
    second_copies: bool
    retry_after: bool
    max_retry_after: int
    has_counter: bool
    count_timeout: int
    meter_period: int
    max_units: int
    drain_grace: int
    cold: int
    cold_from: float
    fall_multiple: float
    tip_after: int
    answer_slack: int
    # intervals for which a total lets one be judged by the whole burst; under 3: firmly
    trust: float = 10.0
    fresh: float = 1.0  # the share of its part of the burst that an unseen customer has room for
    spare_share: float = 0.25  # further dispatches that a first one earns, by service
    spare_most: float = 10.0
    spare_first: float = 3.0
    # of a further dispatch where one was turned away, and none may have run
    turned_price: float = 0.2
    unsent_price: float = 0.2  # where nothing arrived at any server
    window_follows: bool = False  # the window goes with the number of a service's servers
    # a silent server is given up for another until the client goes, not the target
    patient: bool = False
    far: float = 1.05  # what a server of another hall costs, beside one of the own
    shift: int = 0  # tenths by which the clock that names intervals is ahead of the own one
    # the share of the own hall among the servers that are used; 0: halls don't matter
    homes: float = 0.0
    # dispatches out beside the window: where it is a few, chance alone brings them
    window_more: float = 0.0

    def plan(self, at: int) -> QuotaPlan | None:
        """The plan at that place, if there is one."""
        return self.plans[at] if 0 <= at < len(self.plans) else None


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One server of a list."""

    srv: int
    phase: EndpointState
    hall: int
    kind: int
    pod: int
    hint: float
    booted: int
    service: int = 0


@dataclass(slots=True)
class EndpointsUpdated:
    """The list of servers of all services, whole or changes only."""

    entries: tuple[Endpoint, ...]
    whole: bool


@dataclass(slots=True)
class RequestArrived:
    """A req came in; it is owed one final answer."""

    req: int
    frontend: int
    plan: int
    customer: int
    digest: int
    give_up: int
    units: float
    set_size: int
    retry: bool
    first: int = 0  # the limiter at which the customer's set begins
    service: int = 0


@dataclass(slots=True)
class ResponseStarted:
    """The answer of a streamed req began."""

    req: int
    dispatch: int


@dataclass(slots=True)
class AttemptEnded:
    """A dispatch ended; `final` when the req has its answer."""

    req: int
    dispatch: int
    srv: int
    outcome: Outcome
    took: int
    final: bool
    metered: int
    cost: float


@dataclass(slots=True)
class ClientDisconnected:
    """The client left; nothing is owed any more."""

    req: int


@dataclass(slots=True)
class TimerFired:
    """A timer set by Wake is due."""

    tag: int


@dataclass(slots=True)
class CounterReplied:
    """The answer to one Count."""

    name: int
    outcome: Outcome
    total: float
    took: int


@dataclass(slots=True)
class TenantTotalUpdated:
    """The counter tells the running total of a customer near its quota unasked, also where its reqs
    were never seen. `name` is as in a Count.
    """

    name: int
    total: float
    plan: int
    customer: int
    digest: int
    set_size: int = 0
    first: int = 0


@dataclass(slots=True)
class HealthCheckFinished:
    """The answer to one Probe."""

    srv: int
    outcome: Outcome
    took: int


@dataclass(slots=True)
class SettingsChanged:
    """Other settings from now on, swapped whole. Frontends and plans keep their places and only
    grow in number; a plan's figures may change, a frontend's may not.
    """

    settings: EngineSettings


TenantEvent = RequestArrived | TenantTotalUpdated  # what shows a customer
Event = (
    EndpointsUpdated
    | RequestArrived
    | ResponseStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | CounterReplied
    | TenantTotalUpdated
    | HealthCheckFinished
    | SettingsChanged
)


@dataclass(slots=True)
class SendAttempt:
    """Send the req to a server; `expire` is a clock reading."""

    req: int
    srv: int
    expire: int


@dataclass(slots=True)
class Reject:
    """Final answer: declined, trying again is harmless; `wait` 0 gives no advice, `why` is as
    counted.
    """

    req: int
    wait: int = 0
    why: str = ""


@dataclass(slots=True)
class Abort:
    """Final answer: failed, nothing promised."""

    req: int


@dataclass(slots=True)
class CancelAttempt:
    """Stop waiting for a dispatch."""

    req: int
    dispatch: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a Woke."""

    after: int
    tag: int


@dataclass(slots=True)
class IncrementCounter:
    """Add to a named count shared by all limiters and get its total."""

    name: int
    step: float
    keep: int


@dataclass(slots=True)
class CheckHealth:
    """Ask a server for a sign of life."""

    srv: int


@dataclass(slots=True)
class LogMessage:
    """A line for the operators."""

    text: str


Action = (
    SendAttempt
    | Reject
    | Abort
    | CancelAttempt
    | SetTimer
    | IncrementCounter
    | CheckHealth
    | LogMessage
)
