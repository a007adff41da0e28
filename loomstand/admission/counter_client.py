"""Makes the calls to the counter, as often as this limiter's share of it bears: one that is
crowded, slow, silent or refusing shows by calls that fail or take long, and all limiters slow down
together.
"""

from loomstand.admission.actions import IncrementCounter
from loomstand.admission.actors import NEVER, Actor, ActorLoop, CounterUser, WaitQueues
from loomstand.admission.events import CounterReplied
from loomstand.admission.outcome import Outcome
from loomstand.admission.ticks import TICKS_PER_SECOND


class CounterClient(Actor):
    def __init__(self, loop: ActorLoop) -> None:
        super().__init__(loop)
        self.waiting = WaitQueues[tuple[CounterUser, int, float]]()
        # whose use or question waits for a call, the newest last
        self.due: dict[CounterUser, None] = {}
        # soon right
        self.start = self.pace = 300 / TICKS_PER_SECOND / max(1, loop.settings.limiter_count)
        self.left, self.left_at, self.failed, self.cut_at = 1.0, loop.now, 0, NEVER

    def take(self) -> bool:
        """Takes the right to one call, if there is one now."""
        now, most = self.loop.now, max(2.0, 2000 * self.pace)  # a fifth of a second's calls at once
        self.left, self.left_at = min(most, self.left + self.pace * (now - self.left_at)), now
        self.left -= (going := self.loop.settings.has_counter and self.left >= 1)
        return going

    def want(self, account: CounterUser) -> None:
        """The newest go first; one that has waited long is of little use, its use goes with its
        next call.
        """
        self.due.pop(account, None)
        self.due[account] = None
        if len(self.due) > 10 + 20_000 * self.pace:  # two seconds' calls
            del self.due[next(iter(self.due))]
        self.serve()

    def serve(self) -> None:
        while self.due and self.take():
            self.loop.post(self.due.popitem()[0].report)

    def call(self, account: CounterUser, k: int, step: float) -> None:
        name = account.digest << 15 | k & 0x7FFF
        self.waiting.put(name, (account, k, step))
        keep = min(3 * account.length + TICKS_PER_SECOND, 60 * TICKS_PER_SECOND)
        self.loop.actions.append(IncrementCounter(name, step, keep))

    def counted(self, got: CounterReplied) -> None:
        if (waiter := self.waiting.take(got.counter_name)) is None:
            return
        limit = self.loop.settings.counter_timeout
        self.failed = 0 if got.outcome is Outcome.SUCCEEDED else self.failed + 1
        if (self.failed or got.duration > limit / 2) and self.loop.now - self.cut_at > limit:
            # a fourth of the first pace is enough to find the counter back, and makes no wave then
            self.cut_at, self.pace = self.loop.now, max(self.start / 4, self.pace * 0.7)
        elif not self.failed and self.left < 1 and got.duration < limit / 4:
            self.pace *= 1.15  # so that about a fourth of the calls are slow where all want more
        self.loop.post(waiter[0].counted, *waiter[1:], got)
