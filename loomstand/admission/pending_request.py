"""State of a request from its arrival until it is answered and no attempt is in flight. Pure.

| state | `is_answered` | attempts in flight | what ends it |
| --- | --- | --- | --- |
| being admitted | no | none | the tenant's limiter admits or rejects it |
| attempted | no | one | the attempt ends: answer, retry, rejection or abort |
| answered | yes | one or none | the last attempt ends; the request is removed |
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from loomstand.admission.events import AttemptEnded, RequestArrived
from loomstand.admission.outcome import NOT_EXECUTED, Outcome
from loomstand.admission.tenant_limiter import TenantLimiter


class Attempt(NamedTuple):
    """An attempt at a server.

    Attributes:
        endpoint_id: The server.
        sent_at: When it was sent, in ticks of the common clock.
    """

    endpoint_id: int
    sent_at: int


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that has no final answer yet, or has an attempt in flight.

    Attributes:
        arrival: The event of its arrival.
        tenant_limiter: Its tenant's limiter.
        target_at: Reading of the common clock until which an answer has its full value, in ticks.
        value: Value of an answer until `target_at`.
        attempt_limit: Maximum number of attempts.
        attempts: The attempts so far.
        ended_attempts: How many of them have ended.
        possibly_executed: Numbers of the attempts that may have been executed.
        was_rejected: Whether a server rejected it.
        is_answered: Whether it has its final answer, or its client has disconnected.
        is_cancelled: Whether its attempt in flight was cancelled: its outcome then says nothing
            about the servers.
    """

    arrival: RequestArrived
    tenant_limiter: TenantLimiter
    target_at: int
    value: float
    attempt_limit: int
    attempts: list[Attempt] = field(default_factory=list)
    ended_attempts: int = 0
    possibly_executed: list[int] = field(default_factory=list)
    was_rejected: bool = False
    is_answered: bool = False
    is_cancelled: bool = False

    def has_attempt_in_flight(self) -> bool:
        """Returns whether an attempt is in flight; it is the last one."""
        return self.ended_attempts < len(self.attempts)

    def cancel_attempt(self) -> int:
        """Marks the attempt in flight as cancelled, and returns its number."""
        self.is_cancelled = True
        return len(self.attempts) - 1

    def attempt_ended(self, event: AttemptEnded) -> None:
        """Records an attempt's outcome."""
        self.ended_attempts += 1
        if event.outcome not in NOT_EXECUTED:
            self.possibly_executed.append(event.attempt)
        if event.outcome is Outcome.REJECTED:
            self.was_rejected = True
        if event.is_final:
            self.is_answered = True
