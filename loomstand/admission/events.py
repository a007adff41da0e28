"""Events: the only input of the decision engine after its start. Pure.

Times are in ticks. Servers, tenants, request classes, plans and services are small indices assigned
by the caller; a tenant also has a digest that is the same at every limiter. Events are created for
each request and never modified afterwards; they are not frozen dataclasses because these take five
times as long to create.
"""

from __future__ import annotations

from dataclasses import dataclass

from loomstand.admission.endpoints import Endpoint
from loomstand.admission.outcome import Outcome
from loomstand.admission.settings import EngineSettings


@dataclass(slots=True)
class EndpointsUpdated:
    """Service discovery sent an endpoint list.

    Attributes:
        endpoints: The servers of all services, or those that changed.
        complete: Whether servers that are not in the list have been removed.
    """

    endpoints: tuple[Endpoint, ...]
    complete: bool


@dataclass(slots=True)
class RequestArrived:
    """A request arrived, and must get exactly one final answer.

    Attributes:
        request_id: Number of the request at this limiter; never reused.
        frontend: Index of its request class.
        plan: Index of the tenant's plan; an index out of range means no plan.
        tenant: Index of the tenant.
        tenant_digest: The tenant's digest, the same at every limiter (`stable_digest`).
        deadline: When the client stops waiting, in ticks of the common clock.
        units: Units of quota that it costs.
        limiter_set_size: Number of limiters that get the tenant's requests; 0 for all.
        is_retry: Whether the client marked it as a retry of a rejected request.
        limiter_set_start: Index of the first limiter of that set.
        service: Index of the service that is to answer it.
    """

    request_id: int
    frontend: int
    plan: int
    tenant: int
    tenant_digest: int
    deadline: int
    units: float
    limiter_set_size: int
    is_retry: bool
    limiter_set_start: int = 0
    service: int = 0


@dataclass(slots=True)
class ResponseStarted:
    """The first bytes of a streamed answer arrived. Ignored by the engine today.

    Attributes:
        request_id: The request.
        attempt: Number of the attempt, from 0.
    """

    request_id: int
    attempt: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt at a server ended.

    Attributes:
        request_id: The request.
        attempt: Number of the attempt, from 0.
        endpoint_id: The server.
        outcome: How it ended.
        duration: Time since it was sent, in ticks.
        is_final: Whether the request has its answer, or its client has disconnected.
        metered_use: 1 + the tenant's use of its burst in the last metering period, in percent, as
            the server metered it; 0 if the answer did not state it.
        cost: Cost of the answer as stated by the server. Ignored by the engine today.
    """

    request_id: int
    attempt: int
    endpoint_id: int
    outcome: Outcome
    duration: int
    is_final: bool
    metered_use: int
    cost: float


@dataclass(slots=True)
class ClientDisconnected:
    """The client closed its connection, so the request needs no answer any more.

    Attributes:
        request_id: The request.
    """

    request_id: int


@dataclass(slots=True)
class TimerFired:
    """A timer set by `SetTimer` expired.

    Attributes:
        tag: The tag that the timer was set with.
    """

    tag: int


@dataclass(slots=True)
class CounterReplied:
    """A call of `IncrementCounter` ended.

    Attributes:
        counter_name: The count's name, as in the call.
        outcome: How the call ended.
        total: The count after the call; only meaningful if it succeeded.
        duration: Time since the call, in ticks.
    """

    counter_name: int
    outcome: Outcome
    total: float
    duration: int


@dataclass(slots=True)
class TenantTotalUpdated:
    """The counter pushed the running total of a tenant that is near its quota.

    Sent without a call, also to limiters that have seen no request of the tenant.

    Attributes:
        counter_name: The count's name, as in `IncrementCounter`.
        total: The running total.
        plan: Index of the tenant's plan.
        tenant: Index of the tenant.
        tenant_digest: The tenant's digest.
        limiter_set_size: Number of limiters that get the tenant's requests; 0 for all.
        limiter_set_start: Index of the first limiter of that set.
    """

    counter_name: int
    total: float
    plan: int
    tenant: int
    tenant_digest: int
    limiter_set_size: int = 0
    limiter_set_start: int = 0


@dataclass(slots=True)
class HealthCheckFinished:
    """A health check of `CheckHealth` ended. Ignored by the engine today.

    Attributes:
        endpoint_id: The server.
        outcome: How it ended.
        duration: Time since the check was started, in ticks.
    """

    endpoint_id: int
    outcome: Outcome
    duration: int


@dataclass(slots=True)
class SettingsChanged:
    """New settings apply from now on.

    Request classes and plans keep their indices and only grow in number; a plan's values may
    change, a request class's may not.

    Attributes:
        settings: The new settings.
    """

    settings: EngineSettings


TenantEvent = RequestArrived | TenantTotalUpdated  # events that may create a tenant's limiter
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
