"""Rate-limited client of the shared counter. Pure: calls are actions, replies are events.

Each limiter makes its share of the calls that the counter can serve. Calls that fail or take long
show that the counter is overloaded or unavailable, and every limiter then lowers its rate.
"""

from __future__ import annotations

from loomstand.admission.actors import NEVER, Actor, ActorLoop
from loomstand.admission.counter_calls import CounterCalls, CounterUser
from loomstand.admission.events import CounterReplied
from loomstand.admission.outcome import Outcome
from loomstand.admission.ticks import TICKS_PER_SECOND

# Initial rate of all limiters together, then adapted to the counter's replies.
INITIAL_CALLS_PER_SECOND = 300
MIN_CALL_BURST = 2.0
CALL_BURST_TICKS = 2_000  # the burst is the number of calls in 0.2 s
# Limit on waiting tenants: a call made after more than 2 s of waiting is too late to be of use.
MIN_WAITING_TENANTS = 10
WAITING_TICKS = 20_000
# A quarter of the initial rate detects a counter that has recovered, without flooding it.
MIN_RATE_SHARE = 1 / 4
RATE_DECREASE = 0.7  # factor, applied once for all calls that were in flight together
RATE_INCREASE = 1.15  # factor: under high demand, about a quarter of the calls are then slow
SLOW_REPLY_SHARE = 1 / 2  # of the time-out: replies that take longer lower the rate
FAST_REPLY_SHARE = 1 / 4  # of the time-out: only shorter replies raise the rate


class CounterClient(Actor):
    """Calls the counter at a rate that adapts to its replies.

    Attributes:
        rate: Highest rate of calls, in calls per tick.
        consecutive_failures: Calls that failed since the last success.
        waiting: Tenants' limiters that are waiting to make a call, the newest last.
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
        self.consecutive_failures = 0

    def try_acquire(self) -> bool:
        """Takes a token for one call; returns False if none is available now."""
        now = self.loop.now
        burst = max(MIN_CALL_BURST, CALL_BURST_TICKS * self.rate)
        self._tokens = min(burst, self._tokens + self.rate * (now - self._refilled_at))
        self._refilled_at = now
        if not self.loop.settings.has_counter or self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def request_call(self, caller: CounterUser) -> None:
        """Queues a tenant's limiter for a call, which is made as soon as the rate allows it.

        The newest caller is served first: usage that has waited long is out of date, and is
        reported with that limiter's next call.
        """
        self.waiting.pop(caller, None)
        self.waiting[caller] = None
        if len(self.waiting) > MIN_WAITING_TENANTS + WAITING_TICKS * self.rate:
            del self.waiting[next(iter(self.waiting))]
        self.serve()

    def serve(self) -> None:
        """Has waiting tenants' limiters report their usage while tokens are available."""
        while self.waiting and self.try_acquire():
            caller, _ = self.waiting.popitem()
            caller.post_report()

    def call(self, caller: CounterUser, interval: int, amount: float) -> None:
        """Adds to the count of a tenant's interval; a token was acquired for the call before."""
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
        self.consecutive_failures = 0 if succeeded else self.consecutive_failures + 1
        is_slow = event.duration > timeout * SLOW_REPLY_SHARE
        if (not succeeded or is_slow) and now - self._slowed_at > timeout:
            self._slowed_at = now
            self.rate = max(self._initial_rate * MIN_RATE_SHARE, self.rate * RATE_DECREASE)
        elif succeeded and self._tokens < 1 and event.duration < timeout * FAST_REPLY_SHARE:
            self.rate *= RATE_INCREASE
