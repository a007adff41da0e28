"""A customer's smoothed bucket at this limiter, and its part of the quota. Thousands are held at
once.
"""

from __future__ import annotations

from loomstand.admission.actions import SetTimer
from loomstand.admission.actors import NEVER, Actor, ActorLoop, Handler, PendingRequest
from loomstand.admission.counter_client import CounterClient
from loomstand.admission.events import CounterReplied, TenantEvent, TenantTotalUpdated
from loomstand.admission.identifiers import ATTEMPT_FACTOR
from loomstand.admission.outcome import Outcome
from loomstand.admission.settings import QuotaPlan
from loomstand.admission.ticks import TICKS_PER_SECOND


class TenantLimiter(Actor):
    __slots__ = [
        "asked",
        "asked_at",
        "blind",
        "cap",
        "cap_depth",
        "cap_rate",
        "confirmed",
        "costless",
        "customer",
        "depth",
        "digest",
        "firm",
        "forgot",
        "given",
        "k",
        "keeper",
        "last",
        "least",
        "length",
        "level",
        "meter",
        "metered_at",
        "most",
        "n",
        "offset",
        "others",
        "out",
        "own",
        "pace",
        "place",
        "plan",
        "rate",
        "scale",
        "split_at",
        "synced",
        "tries",
        "unit",
        "unsent",
        "used_at",
        "waste",
        "whole",
        "woken",
    ]

    def __init__(
        self,
        loop: ActorLoop,
        keeper: CounterClient,
        note: TenantEvent,
        plan: QuotaPlan | None,
    ) -> None:
        super().__init__(loop)
        self.keeper, self.digest, self.customer = keeper, note.tenant_digest, note.tenant
        self.given = (note.plan, note.limiter_set_size, note.limiter_set_start)
        self.synced = self.split_at = self.asked_at = self.metered_at = NEVER
        self.k = self.out = self.tries = self.waste = 0  # tries not yet told
        self.whole = self.meter = self.own = self.unsent = self.confirmed = self.others = (
            self.asked
        ) = 0.0
        self.last = (0.0, 0.0, 0.0, False)  # own, confirmed, others and forgot of the last interval
        # A limiter's share of the ceiling is empty when the limiter starts, as it may have spent it
        # before.
        self.cap, self.used_at, self.forgot, self.woken, self.blind = (
            0.0,
            loop.started,
            False,
            False,
            False,
        )
        self.figure(plan)
        self.pace = self.rate / self.n  # the part, as units a tenth: unseen customers start even
        self.level = max(
            0.0, min(self.part() - 1, self.part() * (1 - loop.settings.initial_burst_share))
        )

    def figure(self, plan: QuotaPlan | None) -> None:
        """What follows from the plan and from the set of limiters."""
        s, (_, sets, first), self.plan = self.loop.settings, self.given, plan
        self.n = max(1, sets or s.limiter_count)
        self.rate = plan.rate / TICKS_PER_SECOND if plan else 0.0  # units a tenth of a millisecond
        self.depth = max(plan.burst, 1.0) if plan else 1.0  # one req and the burst count beyond it
        # With less trust in totals than a split's life all limiters together keep to the quota
        # without them. Use that several passed at once beyond it is remembered, and edges are rare:
        # use there is seen late.
        self.firm = s.total_trust_intervals < 3
        self.length = (
            max(1, self.firm * TICKS_PER_SECOND, round(self.depth / self.rate)) if self.rate else 0
        )
        # spreads customers' edges
        self.offset = self.digest % self.length + s.clock_offset if self.length else 0
        # Use beyond the quota that costs nothing: a doubt is the customer's, a count known full is
        # not.
        self.costless = plan is not None and plan.excess_cost <= plan.excess_value
        self.cap_rate = plan.rate_limit / TICKS_PER_SECOND if plan else 0.0
        self.cap_depth = plan.rate_limit_burst / self.n if self.cap_rate else 0.0
        # a turn's; so far ahead is fine
        self.unit = min(1.0, plan.rate_limit_slack) if self.cap_rate else 0.0
        self.place = (s.limiter_index - first) % max(1, s.limiter_count) % self.n
        self.most, self.scale = (
            self.depth + self.firm * (self.depth + 2 * self.n),
            ATTEMPT_FACTOR ** (1 + self.firm),
        )
        # room that a total leaves: reqs often come in pairs
        self.least = min(1.0 + self.firm, self.depth)

    def ruled(self) -> None:
        """Other figures: what was spent stays spent, so that a changed quota is no new burst."""
        self.roll()
        rate, n, edges = self.rate, self.n, (self.length, self.offset)
        self.figure(self.loop.settings.plan(self.given[0]))
        # where limiters come, all parts stay within the rate; what those that went had comes with a
        # split
        self.pace = (
            self.pace * (self.rate / rate) * min(1.0, n / self.n) if rate else self.rate / self.n
        )
        self.level, self.whole = min(self.level, self.most), min(self.whole, self.most)
        # others; `whole` knows the rest
        self.k = self.k if edges == (self.length, self.offset) else NEVER
        self.roll()

    def part(self) -> float:
        """Of the burst; firm parts are even, as a split is known to some limiters later than to
        others.
        """
        share = 1 / self.n if self.firm or not self.rate else min(1.0, self.pace / self.rate)
        return max(self.least, self.depth * share)

    def roll(self) -> None:
        """Lets the burst counts and the ceiling move with the clock, and turns to a new
        interval.
        """
        now, gone = self.loop.now, self.loop.now - self.used_at
        self.level = max(0.0, self.level - self.pace * gone)
        # without totals others take their parts
        room = self.rate * gone / (self.n if self.blind else 1)
        self.waste += max(0.0, room - self.whole)  # room that nobody took, as far as is known
        self.whole, self.used_at = max(0.0, self.whole - room), now
        if self.cap_rate:
            self.cap = min(self.held(now), self.cap + self.turns(now) - self.turns(now - gone))
        k = (now + self.offset) // self.length if self.length else 0
        if k != self.k:
            self.last = (self.own, self.confirmed, self.others, self.forgot)
            if k > self.k + 1:
                self.last = (0.0, 0.0, 0.0, True)
            elif self.unsent and self.keeper.take():
                self.tell(self.k)
            # the rest goes with this interval
            self.own, self.confirmed, self.others = self.unsent, 0.0, 0.0
            self.forgot, self.k = False, k
            if now - self.split_at > min(3, self.loop.settings.total_trust_intervals) * self.length:
                self.pace = self.rate / self.n

    def turns(self, at: int) -> float:
        """What has come from the ceiling to this limiter by a clock reading: a unit at a time, in
        turn with the others: shares that trickle to all at once hold no whole req for long after a
        start.
        """
        if not (unit := self.unit):
            return at * self.cap_rate / self.n
        return unit * ((at * self.cap_rate / unit - self.place) // self.n)

    def held(self, at: int) -> float:
        """The most that this limiter may hold of the ceiling. Where a share holds no whole unit,
        the unit of its turn, until so many turns of the others have come that all held would be
        more than the ceiling.
        """
        if self.cap_depth >= self.unit or not self.unit:
            return self.cap_depth
        # the turns since its own, of all
        gone = (at * self.cap_rate / self.unit - self.place) % self.n
        return self.unit if (gone + 1) * self.unit <= self.cap_depth * self.n else 0.0

    def ask(self, job: PendingRequest[TenantLimiter], granted: Handler, denied: Handler) -> None:
        """One req per emission interval and a burst count; a full count denies at once."""
        units, most = job.note.units, self.plan.concurrency_limit if self.plan else 0
        self.roll()
        self.tries += 1
        if (self.cap_rate and self.cap < units) or (most and self.out >= max(1, most // self.n)):
            self.loop.post(denied, job, 0, "ceiling")
        elif not self.rate or self.lets(units, job.note.is_retry):
            self.loop.post(granted, job)
        else:
            gone = self.loop.now - self.asked_at
            if gone > max(0.5, self.firm * self.depth / 20) / self.rate and not self.keeper.due:
                self.loop.post(self.keeper.want, self)
            why = "full count" if self.loop.now - self.synced <= self.length else "old total"
            self.loop.post(denied, job, round(min(1e9, units / self.pace)), why)

    def lets(self, units: float, retry: bool) -> bool:
        """Whether the part has room, one too small for a req by chance; a req that comes again was
        denied.
        """
        since, small = self.loop.now - self.synced, self.depth < self.n
        fits = self.whole + units <= self.depth + 1e-9
        if self.firm:
            return fits and self.level + units <= max(self.part(), units) + 1e-9
        if self.asked <= 0.8 * self.rate and (
            small or since < self.loop.settings.total_trust_intervals * self.length
        ):
            # its denial elsewhere tells of a full count where a part is far below a req, else of
            # servers
            return fits and not (retry and self.doubt())
        if small:
            # Guards against denials with quota left, which come again, are counted as asked, and
            # deny more: whatever the others passed since the total came, there is room, and one
            # more for a race
            if self.whole + min(self.asked, self.rate) * since + units + 1 <= self.depth:
                return True
            lucky = self.costless or self.loop.chance() < self.rate / self.asked
            return lucky and (fits or since > 1 / self.rate)
        # the whole burst while totals come, else this limiter's part of it
        return self.level + units <= (self.depth if since <= self.length else self.part()) + 1e-9

    def doubt(self) -> bool:
        """Whether nothing tells if the customer is beyond its quota: unseen, a part of half a req
        or less.
        """
        return (
            2 * self.depth < self.n and self.synced == NEVER and self.rate > 0 and not self.costless
        )

    def taken(self, units: float) -> None:
        self.out, self.cap = self.out + 1, self.cap - units if self.cap_rate else 0.0
        if not self.rate:
            return
        self.level += units
        self.whole = min(self.most, self.whole + units)
        self.own, self.unsent = self.own + units, self.unsent + units
        # a timer past the next edge, by when every limiter's last add has come or failed
        if not self.woken:
            self.woken, edge = True, self.length - (self.loop.now + self.offset) % self.length
            # 40 min
            after = min(edge, 2400 * TICKS_PER_SECOND) + self.loop.settings.counter_timeout + 1
            self.loop.actions.append(SetTimer(after, self.digest))
        # its room comes with a total
        unknown = self.synced == NEVER and self.loop.settings.initial_burst_share < 1
        if unknown or self.unsent >= max(self.depth - self.whole, self.firm * self.depth / 10) / (
            2 * self.n
        ):
            self.loop.post(self.keeper.want, self)

    def free(self) -> None:
        self.out -= 1

    def report(self) -> None:
        """Adds the new use to the running interval's name and reads its total."""
        self.roll()
        self.asked_at = self.loop.now
        self.tell(self.k)

    def tell(self, k: int) -> None:
        step, self.unsent, self.tries = self.unsent + self.scale * min(99, self.tries), 0.0, 0
        self.loop.post(self.keeper.call, self, k, step)

    def idle(self, many: bool) -> bool:
        """Whether nothing spent is left to remember, and for long; where many are held, at once."""
        now, gone, least = (
            self.loop.now,
            self.loop.now - self.used_at,
            (1 if many else 10) * self.length,
        )
        come = self.turns(now) - self.turns(now - gone) if self.cap_rate else 0.0
        return not self.out and gone > least and self.cap + come >= max(self.cap_depth, self.unit)

    def read(self) -> None:
        """Reads the finished total of the last interval."""
        self.roll()
        self.woken = False
        if self.last[0] and (self.firm or not self.keeper.due) and self.keeper.take():
            self.loop.post(self.keeper.call, self, self.k - 1, 0.0)

    def metered(self, percent: int) -> None:
        """Where no total comes, the meter's use of the last period stands in for it."""
        self.roll()
        period = self.loop.settings.metering_period
        if self.rate and self.loop.now - self.metered_at >= period:
            self.metered_at = self.loop.now
            self.meter += (percent / 100 * self.depth - self.meter) * min(1.0, period / self.length)
            # in a row: a crowded counter fails some calls, one that is down all
            if self.keeper.failed >= 4:
                self.split(min(self.last[0], self.meter), self.meter)
                self.asked, self.synced = self.meter / self.length, self.loop.now - 2 * self.length

    def counted(self, k: int, step: float, got: CounterReplied) -> None:
        """A total came, or none."""
        self.roll()
        if got.outcome is not Outcome.SUCCEEDED:
            if self.firm:  # others may know nothing of the last split
                self.pace, self.blind = min(self.pace, self.rate / self.n), True
            if got.outcome is not Outcome.NO_RESPONSE and k == self.k:
                self.tries += int(step // self.scale)
                # surely not added; one with no answer may have been
                self.unsent += step % self.scale
            return
        step, total = step % self.scale, got.total % self.scale
        if k == self.k:
            self.confirmed += step
            sure, own, known, forgot = (
                self.confirmed,
                self.own - self.unsent,
                self.others,
                self.forgot,
            )
        elif k == self.k - 1:
            own, sure, known, forgot = self.last
        else:
            return
        # the counter forgot: no part may swell
        if forgot or total < sure - 1e-6 or total < known - 1e-6:
            self.forgot = self.forgot or k == self.k
            return
        others = max(known, total - own)
        # firmly half of that was theirs: all of it if they came evenly, none if all came just now
        theirs = min(self.waste / 2, others - known) if self.firm else 0.0
        self.whole, self.waste = min(self.most, self.whole + others - known - theirs), 0.0
        # Well under quota all that is unused may be used here, else an even share: all would take
        # one unit.
        mine = self.depth - (self.depth - self.whole) / self.n
        self.level = (
            self.whole if self.asked <= 0.8 * self.rate else max(self.whole, min(self.level, mine))
        )
        # an even share of what this total left unused, less the own use it doesn't hold
        if self.firm:
            loose = min(self.whole, self.own - self.confirmed)
            self.level = loose + min((self.whole - loose) / self.n, self.part() - self.least)
        if self.blind:  # the use of others meanwhile may be in the last interval
            self.loop.post(self.read)
        self.synced, self.blind = self.loop.now, False
        # what was asked so far, beside half an interval of what was known before
        span = (self.loop.now + self.offset) % self.length if k == self.k else self.length
        before = self.length / 2 if self.asked else self.length / 8
        tries = got.total // self.scale - 0.5 + (self.asked or self.rate / 2) * before
        self.asked = max(0.0, tries / (span + before))
        if k == self.k:
            self.others = others
        else:
            self.last = (own, sure, others, False)
            if not step:  # a read at the edge
                self.split(own, max(total, own))

    def told(self, note: TenantTotalUpdated) -> None:
        self.roll()
        if note.counter_name & 0x7FFF == self.k & 0x7FFF:
            self.counted(
                self.k, 0.0, CounterReplied(note.counter_name, Outcome.SUCCEEDED, note.total, 0)
            )

    def split(self, own: float, total: float) -> None:
        """The design's re-split of the quota of one interval, which is the burst."""
        n, quota = self.n, self.rate * self.length if self.firm else self.depth
        part = own + (quota - total) / n if total < quota else quota * (own + 1) / (total + n)
        self.pace = max(part, 1e-3) / self.length
        self.split_at = self.loop.now
