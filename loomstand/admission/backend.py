"""What is known of a server, from its outcomes alone."""

from collections import defaultdict, deque

from loomstand.admission.actions import SendAttempt
from loomstand.admission.actors import NEVER, Actor, ActorLoop
from loomstand.admission.endpoints import Endpoint
from loomstand.admission.events import AttemptEnded
from loomstand.admission.histogram import Histogram
from loomstand.admission.outcome import Outcome

TRICKLE = 1 / 60  # of the reqs, to servers set aside: little is lost if all of them fail


class Backend(Actor):
    def __init__(self, loop: ActorLoop, entry: Endpoint) -> None:
        super().__init__(loop)
        # on the ring
        self.srv, self.out, self.place = (
            entry.endpoint_id,
            0,
            entry.endpoint_id * 0x9E3779B1 & 0xFFFFFFFF,
        )
        self.fresh(entry)

    def fresh(self, entry: Endpoint) -> None:
        """A process that has just started is judged anew."""
        self.entry = entry
        self.times = Histogram(32)  # some ten seconds of one server's answers
        # the last few outcomes, by frontend; at -1 whether there was any sign of life
        self.recent: dict[int, deque[bool]] = defaultdict(lambda: deque(maxlen=4))
        # by frontend: what share it turns away
        self.failed_at, self.full = NEVER, dict[int, float]()
        # by chance, so that limiters which hear of it together don't reach their first dispatch
        # together
        self.cold_left, self.cold_at = self.loop.chance(), self.loop.now
        self.trickle = TRICKLE

    def listed(self, entry: Endpoint) -> None:
        if entry.started_at != self.entry.started_at:
            self.fresh(entry)
        self.entry = entry

    def warmth(self) -> float:
        """The share of its work that it can do for sure."""
        s, age = self.loop.settings, self.loop.now - self.entry.started_at
        warm = not self.entry.started_at or age >= s.slow_start_period
        return (
            1.0
            if warm
            else s.slow_start_initial_capacity
            + (1 - s.slow_start_initial_capacity) * max(0, age) / s.slow_start_period
        )

    def aside(self, front: int) -> bool:
        """Whether most of its last few outcomes failed, for this frontend or for want of any sign
        of life.
        """
        # after long it gets another chance: reqs that must not run twice make no trickle
        rows = (
            self.recent.get(n, ()) for n in (front, -1) if self.loop.now - self.failed_at <= 200_000
        )
        return any(len(r) - sum(r) >= max(2, sum(r)) for r in rows)

    def cold_room(self, carried: float) -> bool:
        """Whether the cold server's budget, as this limiter's share of it, holds one more."""
        s, now = self.loop.settings, self.loop.now
        pace = s.overload_multiple * self.warmth() * carried
        self.cold_left += pace * (now - self.cold_at)
        self.cold_left, self.cold_at = (
            min(max(1.0, pace * s.overload_period / 2), self.cold_left),
            now,
        )
        return self.cold_left >= 1.0

    def send(self, req: int, expire: int) -> None:
        self.cold_left -= 1
        self.out += 1
        self.loop.actions.append(SendAttempt(req, self.srv, expire))

    def ended(self, note: AttemptEnded, front: int) -> None:
        self.out -= 1
        now, outcome = self.loop.now, note.outcome
        full = self.full.get(front, 0.0)
        self.full[front] = full + 0.2 * ((outcome is Outcome.REJECTED) - full)
        if outcome in (Outcome.NOT_SENT, Outcome.CANCELLED, Outcome.REJECTED):
            return
        good = outcome is Outcome.SUCCEEDED
        self.failed_at = self.failed_at if good else now
        self.recent[front].append(good)
        self.recent[-1].append(good or outcome is Outcome.SERVER_ERROR)
        self.trickle = self.trickle * 2 if good else TRICKLE
        if outcome in (Outcome.SUCCEEDED, Outcome.NO_RESPONSE):
            self.times.add(note.duration)
