"""Makes the calls to the shared counter, no more than this limiter's part of what it can take.

A counter that is overloaded, slow, silent or refusing shows by calls that fail or take long. Then
all limiters slow down together. Pure: calls are actions, replies are events.
"""

from __future__ import annotations

from loomstand.admission.actors import NEVER, Actor, ActorLoop
from loomstand.admission.counter_calls import CounterCalls, CounterUser
from loomstand.admission.events import CounterReplied
from loomstand.admission.outcome import Outcome
from loomstand.admission.ticks import TICKS_PER_SECOND

# Calls a second by all limiters at the start; soon adjusted to what the counter takes.
INITIAL_CALLS_PER_SECOND = 300
MIN_CALL_BURST = 2.0
CALL_BURST_TICKS = 2_000  # calls of a fifth of a second may come at once
# Tenants that wait for a call: more than two seconds' calls are not made in time to be of use.
MIN_WAITING_TENANTS = 10
WAITING_TICKS = 20_000
# A fourth of the first rate is enough to notice that the counter is back, and no flood then.
MIN_RATE_SHARE = 1 / 4
RATE_DECREASE = 0.7  # once for all calls that were in flight together
RATE_INCREASE = 1.15  # so that about a fourth of the calls are slow where all limiters want more
SLOW_REPLY = 1 / 2  # of the time-out
FAST_REPLY = 1 / 4


class CounterClient(Actor):
    """Calls the counter within a rate that follows how it replies.

    Attributes:
        rate: Calls a tick that are made at most.
        failures_in_a_row: Calls that failed since the last that succeeded.
        waiting: Tenants' limiters that wait for a call, the newest last.
    """

    def __init__(self, loop: ActorLoop) -> None:
        super().__init__(loop)
        self._calls = CounterCalls()
        self.waiting: dict[CounterUser, None] = {}
        limiters = max(1, loop.settings.limiter_count)
        self._initial_rate = INITIAL_CALLS_PER_SECOND / TICKS_PER_SECOND / limiters
        self.rate = self._initial_rate
        self._tokens = 1.0
        self._refilled_at = loop.now
        self._slowed_at = NEVER
        self.failures_in_a_row = 0

    def try_acquire(self) -> bool:
        """Takes the right to one call; returns False if there is none now."""
        now = self.loop.now
        burst = max(MIN_CALL_BURST, CALL_BURST_TICKS * self.rate)
        self._tokens = min(burst, self._tokens + self.rate * (now - self._refilled_at))
        self._refilled_at = now
        if not self.loop.settings.has_counter or self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def request_call(self, caller: CounterUser) -> None:
        """Lets a tenant's limiter report its use as soon as a call may be made.

        The newest go first: the use of one that has waited long is of little interest by now, and
        goes with its next call.
        """
        self.waiting.pop(caller, None)
        self.waiting[caller] = None
        if len(self.waiting) > MIN_WAITING_TENANTS + WAITING_TICKS * self.rate:
            del self.waiting[next(iter(self.waiting))]
        self.serve()

    def serve(self) -> None:
        """Lets tenants' limiters report their use, as far as calls may be made."""
        while self.waiting and self.try_acquire():
            caller, _ = self.waiting.popitem()
            caller.post_report()

    def call(self, caller: CounterUser, interval: int, amount: float) -> None:
        """Adds to the count of a tenant's interval, for a right acquired before."""
        self.loop.actions.append(self._calls.make(caller, interval, amount))

    def counter_replied(self, event: CounterReplied) -> None:
        """Adjusts the rate, and passes the reply on to the tenant's limiter."""
        call = self._calls.take(event.counter_name)
        if call is not None:
            self._adjust_rate(event)
            call.caller.post_reply(call.interval, call.amount, event)

    def _adjust_rate(self, event: CounterReplied) -> None:
        now = self.loop.now
        timeout = self.loop.settings.counter_timeout
        succeeded = event.outcome is Outcome.SUCCEEDED
        self.failures_in_a_row = 0 if succeeded else self.failures_in_a_row + 1
        is_slow = event.duration > timeout * SLOW_REPLY
        if (not succeeded or is_slow) and now - self._slowed_at > timeout:
            self._slowed_at = now
            self.rate = max(self._initial_rate * MIN_RATE_SHARE, self.rate * RATE_DECREASE)
        elif succeeded and self._tokens < 1 and event.duration < timeout * FAST_REPLY:
            self.rate *= RATE_INCREASE
