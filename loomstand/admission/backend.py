"""What is known of a server, from its outcomes alone."""

from collections import defaultdict, deque

from loomstand.admission import interface as api
from loomstand.admission.actors import NEVER, Actor, ActorLoop
from loomstand.admission.histogram import Histogram

TRICKLE = 1 / 60  # of the reqs, to servers set aside: little is lost if all of them fail


class Backend(Actor):
    def __init__(self, loop: ActorLoop, entry: api.Endpoint) -> None:
        super().__init__(loop)
        # on the ring
        self.srv, self.out, self.place = entry.srv, 0, entry.srv * 0x9E3779B1 & 0xFFFFFFFF
        self.fresh(entry)

    def fresh(self, entry: api.Endpoint) -> None:
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

    def listed(self, entry: api.Endpoint) -> None:
        if entry.booted != self.entry.booted:
            self.fresh(entry)
        self.entry = entry

    def warmth(self) -> float:
        """The share of its work that it can do for sure."""
        s, age = self.loop.settings, self.loop.now - self.entry.booted
        warm = not self.entry.booted or age >= s.cold
        return 1.0 if warm else s.cold_from + (1 - s.cold_from) * max(0, age) / s.cold

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
        pace = s.fall_multiple * self.warmth() * carried
        self.cold_left += pace * (now - self.cold_at)
        self.cold_left, self.cold_at = min(max(1.0, pace * s.tip_after / 2), self.cold_left), now
        return self.cold_left >= 1.0

    def send(self, req: int, expire: int) -> None:
        self.cold_left -= 1
        self.out += 1
        self.loop.actions.append(api.SendAttempt(req, self.srv, expire))

    def ended(self, note: api.AttemptEnded, front: int) -> None:
        self.out -= 1
        now, outcome = self.loop.now, note.outcome
        full = self.full.get(front, 0.0)
        self.full[front] = full + 0.2 * ((outcome is api.Outcome.TURNED_AWAY) - full)
        if outcome in (api.Outcome.NOT_SENT, api.Outcome.CALLED_OFF, api.Outcome.TURNED_AWAY):
            return
        good = outcome is api.Outcome.PASSED
        self.failed_at = self.failed_at if good else now
        self.recent[front].append(good)
        self.recent[-1].append(good or outcome is api.Outcome.SERVER_ERROR)
        self.trickle = self.trickle * 2 if good else TRICKLE
        if outcome in (api.Outcome.PASSED, api.Outcome.NO_ANSWER):
            self.times.add(note.took)
