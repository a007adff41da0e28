"""What the decision module asks about sites: one object behind a narrow interface, or none at all.

The module tells it the list, each dispatch and each end; it asks which servers to leave alone,
whether a req is let in, and what to say to the operators. With no plan the module has no guide and
decides as before.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from functools import lru_cache

from loomstand.admission.outcome import Outcome
from loomstand.admission.settings import EngineSettings
from loomstand.admission.ticks import TICKS_PER_SECOND
from loomstand.failover.shedding_order import Order, Room
from loomstand.failover.zone_loss_detector import State, Watch
from loomstand.failover.zone_plan import SitePlan

# Of what is refused first, to a lost zone: a limiter of eight such reqs a second has the two
# answers that tell of a healed cut within five seconds, and meanwhile it costs a twentieth of those
# reqs.
PROBE = 1 / 20
ALIVE = {Outcome.SUCCEEDED, Outcome.SERVER_ERROR, Outcome.REJECTED}
SAYS_NOTHING = {Outcome.NOT_SENT, Outcome.CANCELLED}  # our own doing


class Guide:
    """`names` are those of the settings' frontends, plans and zones, in their order."""

    def __init__(
        self,
        plan: SitePlan,
        settings: EngineSettings,
        names: tuple[Sequence[str], Sequence[str], Sequence[str]],
        now: int,
    ) -> None:
        self.names, self.now = names, now
        patience = max(f.latency_target for f in settings.frontends)
        self.watch = Watch(
            patience, settings.slow_start_period, settings.slow_start_initial_capacity
        )
        self.scale, self.room, self.usual = 1.0, Room(), 0
        self.take(plan)

    def take(self, plan: SitePlan) -> None:
        """Another plan from now on; what is known of zones and of room stands."""
        self.plan = plan
        self.stated = sum(d.rate * d.work_ms / 1000 for d in plan.demand) if plan.zones else 0.0
        self.order = Order(plan.ranks(), plan.keep.share if plan.keep else 0.0, self.now)
        fronts, plans, _ = self.names

        @lru_cache(1 << 10)
        def rank(front: int, plan_: int, retry: bool, beyond: bool) -> int:
            name = plans[plan_] if 0 <= plan_ < len(plans) else ""
            return plan.rank(fronts[front], name, retry, beyond)

        self.rank = rank

    # told

    def listed(self, now: int, servers: Iterable[tuple[int, int, int]]) -> None:
        there = list(servers)
        self.watch.listed(now, there)
        if all(z.state is State.WHOLE for z in self.watch.zones.values()):
            self.usual = len(there)  # a lost zone's limiters are gone too: the others reach further

    def sent(self, now: int, key: tuple[int, int], zone: int, srv: int) -> None:
        self.watch.sent(now, key, zone, srv)

    def ended(
        self, now: int, key: tuple[int, int], zone: int, srv: int, outcome: Outcome, late: bool
    ) -> None:
        if outcome in SAYS_NOTHING:
            self.watch.zones[zone].open.pop(key, None)
        else:
            self.watch.ended(now, key, zone, srv, outcome in ALIVE, late)

    def limiters(self, gone: int = -1) -> float:
        """The share of all limiters that is left: those of lost zones are taken for gone with them,
        as their clients come to the others; `gone` is a zone that counts as lost too.
        """
        count = {z.name: z.limiters for z in self.plan.zones}
        every, left = sum(count.values()), 0
        for n, name in enumerate(self.names[2]):
            left += 0 if n == gone or self.avoided(n) else count.get(name, 0)
        return left / every if left else 1.0

    def least(self, limiters: int) -> float:
        """The least room: five a server, by all limiters that are left together (as the
        module's).
        """
        live = sum(len(z.live) for n, z in self.watch.zones.items() if not self.avoided(n))
        return 5 * live / max(1.0, limiters * self.limiters())

    def answered(self, size: float, least: float, zone: int, bad: float, out: int) -> float:
        """The room after an answer; one that a lost zone owed tells nothing of the others."""
        if self.avoided(zone):
            return size
        return max(least, min(self.fair(), self.room.answered(size, least, bad, out)))

    def fair(self) -> float:
        """The most room that this limiter may take: what the plan's zones that are left can do, in
        the share that its clients ask of all that the plan says is asked. Found on the rig: by
        answers alone one of eight limiters came to twice the room of the others, and let in what is
        refused first while those refused what is worth five times as much.
        """
        if not self.stated:
            return float("inf")
        names = self.names[2]
        lost = {names[n] for n in range(len(names)) if self.avoided(n)}
        slots = sum(z.servers * z.slots for z in self.plan.zones if z.name not in lost)
        return sum(self.order.demand(self.now)) * slots * self.plan.fill / self.stated

    # asked

    def avoided(self, zone: int) -> bool:
        return self.watch.avoided(zone)

    def passes(self, zone: int, warmth: float, chance: float) -> bool:
        """Whether a server may be chosen this time: a cold one by its warmth, so that all limiters
        together send it what it can do; one of a returning zone by the zone's share, unless it is
        cold anyway and the zone was not lost again after its last return.
        """
        share = self.watch.share(zone)
        if warmth < 1.0 and share < 1.0 and self.watch.zones[zone].hold == 1:
            share = 1.0
        return chance < share * warmth

    def probes(self, zone: int, rank: int, trickle: float, chance: float) -> bool:
        """Whether a req may be spent on a server set aside: only of what is refused first, and by
        the server's own trickle unless its zone is lost.
        """
        return rank == 0 and chance < (PROBE if self.avoided(zone) else trickle)

    def admits(self, now: int, rank: int, work: float, room: float, chance: float) -> bool:
        return self.order.admits(now, rank, work, room, chance)

    def moved(self, now: int) -> list[str]:
        """Judges the zones; what changed, as lines for the operators. `scale` is what is left of
        the room.
        """
        self.now = now
        self.watch.look(now)
        self.scale, lines = 1.0, []
        for move in self.watch.moves:
            zones = self.names[2]
            name = zones[move.zone] if move.zone < len(zones) else str(move.zone)
            lines.append(
                f"{now / TICKS_PER_SECOND:.2f}: zone {name}: {move.old.value} to "
                f"{move.new.value}, {move.why}"
            )
            if move.new is State.DOUBTFUL or (
                move.new is State.LOST and move.old is not State.DOUBTFUL
            ):
                self.scale *= (1 - move.part) / self.limiters(move.zone)
            elif move.old is State.DOUBTFUL and move.new is State.WHOLE:
                self.scale /= max(0.1, 1 - move.part) / self.limiters(move.zone)
        self.watch.moves = []
        return lines
