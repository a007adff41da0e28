"""Credits of quota: no worse than the rule in any window, whatever befalls limiters and the
counter.
"""

from __future__ import annotations

import asyncio
from bisect import bisect_left, bisect_right
from collections import Counter
from random import Random

import msgspec
import pytest

from loomstand.admission.identifiers import stable_digest
from loomstand.config.configuration import Tenant
from loomstand.proxy import admission_adapter, quota_credits
from loomstand.proxy.quota_credits import CreditSource, QuotaCredits
from loomstand.registry import limiters, quota_grants
from loomstand.registry.quota_grants import QuotaGrants
from loomstand.rpc.messages.quota_messages import CreditRequest, CreditResponse
from loomstand.testing.simulation.cluster import Cluster

BOUNDS = Cluster(1, 1, 1, 1).settings("10.1.0.1").bounds
STEP = 0.02  # s; a call takes one there and one back
WITHIN = 0.3  # s after which a call without an answer has failed


Troubles = tuple[tuple[float, str], ...]
ANY: Troubles = ()


def granted(counter: QuotaGrants, request: CreditRequest, now: float) -> CreditResponse:
    """The counter's answer to a request for credits."""
    return CreditResponse(grant_term=counter.term, grants=counter.handle_request(request, now))


class Limiter:
    """One that takes all that it may while its tenants are hot, or as much as chance brings."""

    def __init__(
        self, name: str, life: int, tenants: dict[int, Tenant], many: int, now: float
    ) -> None:
        self.name = name
        self.credits = QuotaCredits(BOUNDS, life, now)
        self.credits.set_limiter_count(many)
        self.credits.update_quotas(tenants)
        self.next, self.waits, self.sent = now, False, 0.0
        self.up, self.hears, self.heard = True, True, True


class Play:
    """Limiters and their counter over `length` seconds, with an adversary; `ran` by tenant."""

    def __init__(self, seed: int, many: int, quotas: list[tuple[float, float]]) -> None:
        self.rng, self.many, self.now, self.lives = Random(seed), many, 0.0, 0
        self.tenants = {
            stable_digest(f"t{n}"): Tenant(f"t{n}", (), 1, r, b) for n, (r, b) in enumerate(quotas)
        }
        self.most = dict(self.tenants)
        self.names = [f"l{n}" for n in range(many)]
        self.counter: QuotaGrants | None = QuotaGrants(BOUNDS)
        self.counter.update_quotas(self.tenants.values(), False)
        self.counter.reset(1, 0.0, is_unused=True)
        self.numbers, self.there_at, self.moves = 1, 0.0, list[float]()
        self.limiters = [self.born(name) for name in self.names]
        self.ran: dict[int, list[float]] = {name: [] for name in self.tenants}
        self.mail: list[tuple[float, Limiter, CreditResponse | None]] = []
        self.due: list[tuple[float, Limiter, str]] = []

    def born(self, name: str) -> Limiter:
        self.lives += 1
        return Limiter(name, self.lives, self.tenants, self.many, self.now)

    def some(self, low: float, high: float) -> list[Limiter]:
        return self.rng.sample(self.limiters, round(self.rng.uniform(low, high) * self.many))

    def befall(self, what: str) -> None:
        if what == "herd":
            for limiter in self.some(0.3, 0.6):
                limiter.up = False
                self.due.append((self.now + self.rng.choice((0.1, 1.0, 3.0)), limiter, "start"))
        elif what == "roll":
            for n, limiter in enumerate(self.some(0.6, 1.0)):
                self.due.append((self.now + 0.35 * n * min(1.0, 8 / self.many), limiter, "restart"))
        elif what in ("cut", "deaf"):  # calls arrive, or don't; answers don't
            for limiter in self.some(0.1, 0.5) if self.troubles is ANY else self.some(0.5, 0.5):
                limiter.hears, limiter.heard = False, what == "deaf"
                lasts = self.rng.choice((0.3, 1.0, 4.0, 22.0)) if self.troubles is ANY else 22.0
                self.due.append((self.now + lasts, limiter, "join"))
        elif what == "move" and self.counter and sum(m > self.now - 5 for m in self.moves) < 2:
            self.counter, self.there_at = None, self.now + self.rng.choice((0.3, 1.0, 2.0))
            self.moves.append(self.now)
        elif what == "lower":
            name = self.rng.choice([*self.tenants])
            old = self.tenants[name]
            self.tenants[name] = Tenant(
                old.name, (), 1, old.rate_per_second * 0.7, old.burst_size * 0.7
            )
            if self.counter:
                self.counter.update_quotas(self.tenants.values(), True)
            for limiter in self.limiters:
                if limiter.up and limiter.hears:
                    limiter.credits.update_quotas(self.tenants)

    def tick(self) -> None:
        due, self.due = self.due, []
        for at, limiter, what in due:
            if at > self.now:
                self.due.append((at, limiter, what))
            elif what == "join":
                limiter.hears = limiter.heard = True
                limiter.credits.update_quotas(self.tenants)
            elif limiter in self.limiters and (what == "restart" or not limiter.up):
                limiter.up = False
                self.limiters[self.limiters.index(limiter)] = self.born(limiter.name)
        if self.counter is None and self.now >= self.there_at:
            self.numbers += 1
            self.counter = QuotaGrants(BOUNDS)
            self.counter.update_quotas(self.tenants.values(), False)
            self.counter.reset(self.numbers, self.now)

    def calls(self, limiter: Limiter) -> None:
        credits = limiter.credits
        if limiter.waits or self.now < limiter.next:
            return
        limiter.waits, limiter.sent = True, self.now
        request = credits.build_request(limiter.name, self.now)
        answer = None
        if self.counter is not None and limiter.heard:
            counter = self.counter
            counter.advance(self.now, self.names)
            answer = granted(counter, request, self.now)
        if answer is None or not limiter.hears:
            self.mail.append((self.now + WITHIN, limiter, None))
        else:
            self.mail.append((self.now + STEP, limiter, answer))

    def answers(self) -> None:
        mail, self.mail = self.mail, []
        for at, limiter, answer in mail:
            if at > self.now:
                self.mail.append((at, limiter, answer))
                continue
            limiter.waits, limiter.next = False, self.now + 0.1
            if answer is not None and limiter.hears:
                more = limiter.credits.apply_response(limiter.sent, self.now, answer)
                short = any(limiter.credits.needs_request(name, self.now) for name in self.tenants)
                limiter.next = self.now + (0.0 if more else STEP if short else 0.4)

    def serve(self, hot: bool) -> None:
        for limiter in self.limiters:
            if not limiter.up:
                continue
            for name, tenant in self.tenants.items():
                asked = (
                    40
                    if hot
                    else self.rng.random() < 0.6 * tenant.rate_per_second * STEP / self.many
                )
                for _ in range(int(asked)):
                    if not limiter.credits.may_admit(name, self.now):
                        break
                    limiter.credits.consume(name, self.now)
                    self.ran[name].append(self.now)
                if limiter.credits.needs_request(name, self.now) and not limiter.waits:
                    limiter.next = min(limiter.next, self.now)
            self.calls(limiter)

    def play(self, length: float, troubles: Troubles) -> Play:
        """`troubles`: at what time what befalls, and when all tenants turn hot and cool; ANY draws
        them.
        """
        self.troubles = troubles
        coming, turns = list(troubles), 2.0
        hot, befalls = False, 3.0
        while self.now < length:
            self.now += STEP
            if troubles is ANY and self.now >= befalls:
                befalls += self.rng.expovariate(1 / 0.7)
                self.befall(
                    self.rng.choice(("herd", "roll", "cut", "cut", "deaf", "move", "lower", "none"))
                )
            if troubles is ANY and self.now >= turns:
                hot, turns = not hot, turns + self.rng.choice((1.0, 3.0, 6.0))
            while coming and self.now >= coming[0][0]:
                _, what = coming.pop(0)
                hot = {"hot": True, "cool": False}.get(what, hot)
                self.befall(what)
            self.tick()
            self.answers()
            if self.counter is not None and self.now % 1.0 < STEP:
                self.counter.expire(self.now, self.names)
            self.serve(hot)
        return self

    def worst(self) -> dict[str, float]:
        """By tenant the share of the leeway that the worst window used: 1 is what the rule
        allows.
        """
        out = {}
        for name, at in self.ran.items():
            most = (
                self.most[name].rate_per_second * BOUNDS.quota_window_seconds
                + self.most[name].burst_size
            )
            count = max((bisect_right(at, t + 5) - bisect_left(at, t) for t in at), default=0)
            leeway = quota_grants.allowed_overshoot(
                self.most[name].rate_per_second, self.most[name].burst_size, BOUNDS
            )
            out[self.most[name].name] = (count - most) / leeway
        return out


SMALL = (12, [(4, 4), (15, 15), (60, 60), (60, 120), (200, 100), (200, 400)])
LARGE = (85, [(60, 150), (120, 120), (360, 360)])
HERDS = ((6.0, "hot"), *((8.0 + 0.8 * n, "herd") for n in range(5)))
LOWERED = ((6.0, "hot"), *((7.0 + 0.2 * n, "lower") for n in range(12)))


@pytest.mark.parametrize(
    ("size", "seed"), [(SMALL, n) for n in range(10)] + [(LARGE, n) for n in range(2)]
)
def test_no_window_of_a_hot_tenant_is_over_its_quota_whatever_befalls(size, seed):
    """Herds, rolls, cuts both ways and one way, counters that move, lower quotas; all take what
    they may.
    """
    many, quotas = size
    play = Play(seed, many, quotas).play(24.0, ANY)
    assert max(play.worst().values()) <= 1
    assert all(
        len(at) > 0.2 * 24 * play.tenants[name].rate_per_second for name, at in play.ran.items()
    )


def uncharged(monkeypatch) -> None:
    """Credits count once they are used, as parts did."""
    grant = QuotaGrants.grant

    def free(self, bucket, *more):
        granted = grant(self, bucket, *more)
        bucket.level -= granted
        return granted

    monkeypatch.setattr(QuotaGrants, "grant", free)


def rich(monkeypatch) -> None:
    """A limiter that starts has its part of the bucket."""
    update_quotas = QuotaCredits.update_quotas

    def start(self, quotas):
        new = not self.tenants
        update_quotas(self, quotas)
        for credit in self.tenants.values() if new else ():
            credit.granted = credit.bucket_depth / self.limiter_count

    monkeypatch.setattr(QuotaCredits, "update_quotas", start)


def unheard(monkeypatch) -> None:
    """The counter leaves nothing to limiters that it doesn't hear."""
    monkeypatch.setattr(quota_grants, "ISOLATED_SHARE", 0.0)


def deaf(monkeypatch) -> None:
    """A limiter that calls is taken to hear the answers."""
    handle_request = QuotaGrants.handle_request

    def heard(self, request, now):
        return handle_request(self, msgspec.structs.replace(request, is_isolated=False), now)

    monkeypatch.setattr(QuotaGrants, "handle_request", heard)


def emptied(monkeypatch) -> None:
    """A counter that begins takes nothing to have been granted."""
    reset = QuotaGrants.reset
    monkeypatch.setattr(
        QuotaGrants, "reset", lambda self, *given, **_: reset(self, *given[:2], True)
    )


def relearnt(monkeypatch) -> None:
    """Buckets of other quotas begin anew."""
    update_quotas = QuotaGrants.update_quotas

    def afresh(self, tenants, is_counting):
        update_quotas(self, tenants, is_counting)
        for bucket in self.buckets.values():
            bucket.level = sum(bucket.outstanding.values())

    monkeypatch.setattr(QuotaGrants, "update_quotas", afresh)


@pytest.mark.parametrize(
    ("troubles", "mutant"),
    [
        (HERDS, uncharged),
        (HERDS, rich),
        (((6.0, "cut"), (9.0, "hot")), unheard),
        (((6.0, "deaf"), (9.0, "hot")), deaf),
        (((6.0, "hot"), (7.0, "move"), (9.0, "move")), emptied),
        (LOWERED, relearnt),
    ],
)
def test_each_defence_is_needed(troubles, mutant, monkeypatch):
    def worst() -> float:
        return max(
            max(Play(seed, *SMALL).play(15.0, troubles).worst().values()) for seed in range(2)
        )

    assert worst() <= 1
    mutant(monkeypatch)
    assert worst() > 1


# --- step by step

ANN = Tenant("ann", (), 1, 60.0, 120.0)
NAME = stable_digest("ann")


def pair(many: int = 4) -> tuple[QuotaGrants, QuotaCredits]:
    """A counter that has known this limiter for long, and the limiter."""
    grants, credits = QuotaGrants(BOUNDS), QuotaCredits(BOUNDS, 1, 10.0)
    grants.update_quotas([ANN], False)
    grants.reset(7, 0.0, is_unused=True)
    credits.set_limiter_count(many)
    credits.update_quotas({NAME: ANN})
    while call(grants, credits, 10.0):
        pass
    return grants, credits


def call(grants: QuotaGrants, credits: QuotaCredits, now: float) -> bool:
    request = credits.build_request("one", now)
    grants.advance(now, ["one"])
    return credits.apply_response(now, now, granted(grants, request, now))


def test_credits_are_void_after_a_while_without_an_answer_and_the_counter_holds_them_longer():
    grants, credits = pair()
    held = grants.buckets[NAME].outstanding["one"]
    assert held == credits.tenants[NAME].granted >= 2
    credit = credits.tenants[NAME]
    lifetime = quota_credits.CREDIT_LIFETIME_SECONDS
    assert [credits.source(credit, t + lifetime) for t in (10.0, 10.1)] == [
        CreditSource.GRANTED,
        CreditSource.ISOLATED,
    ]
    grants.expire(10.0 + lifetime + 0.5, ["one"])
    assert grants.buckets[NAME].outstanding["one"] == held
    assert lifetime < quota_grants.CREDIT_RESERVATION_SECONDS
    grants.expire(10.1 + quota_grants.CREDIT_RESERVATION_SECONDS, ["one"])
    assert "one" not in grants.buckets[NAME].outstanding
    assert credits.build_request("one", 13.0).demands[0].held == 0  # it tells that it has none


def test_another_counter_hears_all_that_is_held_before_it_grants():
    grants, credits = pair()
    left = credits.tenants[NAME].granted
    grants.reset(8, 11.0)
    request = credits.build_request("one", 11.0)
    grants.advance(11.0, ["one"])
    assert granted(grants, request, 11.0).grants is None and not request.demands
    # no answer that keeps them good
    assert credits.apply_response(11.0, 11.0, CreditResponse(grant_term=8))
    assert credits.last_answer_sent_at == 10.0
    (demand,) = credits.build_request("one", 11.0).demands
    assert (demand.tenant, demand.held) == (NAME, left)
    call(grants, credits, 11.0)
    assert grants.buckets[NAME].outstanding["one"] >= left and credits.last_answer_sent_at == 11.0


def test_a_limiter_without_word_takes_a_part_of_the_even_share_and_the_counter_leaves_it():
    grants, credits = pair(many=2)
    credits.tenants[NAME].granted = 0.0
    ran, now = 0, 10.0
    while now < 20.0:
        now += 0.01
        while credits.may_admit(NAME, now):
            credits.consume(NAME, now)
            ran += 1
    part = quota_grants.ISOLATED_SHARE * ANN.rate_per_second / 2
    assert ran == pytest.approx(part * (10 - quota_grants.ISOLATION_SECONDS), rel=0.05)
    grants.advance(10.5, ["one", "two"])
    grants.advance(12.0, ["one", "two"])  # nobody called
    time = grants.leak_time
    grants.advance(12.5, ["one", "two"])
    assert (grants.leak_time - time) / 0.5 == pytest.approx(1 - quota_grants.ISOLATED_SHARE)


def test_a_part_shrinks_before_the_counter_forgets_a_limiter():
    assert quota_credits.LONG_ISOLATION_SECONDS < limiters.PLACE_RETENTION_SECONDS
    _, credits = pair(many=2)
    late, ran, now = (
        10.0 + quota_credits.LONG_ISOLATION_SECONDS,
        0,
        10.0 + quota_credits.LONG_ISOLATION_SECONDS,
    )
    credits.has_credit(NAME, late)
    while now < late + 10:
        now += 0.01
        while credits.may_admit(NAME, now):
            credits.consume(NAME, now)
            ran += 1
    part = quota_grants.ISOLATED_SHARE * ANN.rate_per_second / 2
    assert ran <= quota_credits.LONG_ISOLATION_SHARE * part * 10 + part + 1


def test_what_limiters_hold_unheard_keeps_a_bucket_from_emptying():
    grants, _ = pair()
    names = [f"l{n}" for n in range(20)]
    for now in (11.0, 12.0, 30.0):
        grants.advance(now, names)
    bucket = grants.buckets[NAME]
    bucket.leak(grants.leak_time, *grants.unreported(bucket))
    assert bucket.level >= 20 * quota_grants.ISOLATED_SHARE * ANN.rate_per_second / 20


def test_small_quotas_are_open_until_half_full_and_then_for_credits_alone():
    many, small = 75, Tenant("ann", (), 1, 4.0, 4.0)
    grants = QuotaGrants(BOUNDS)
    grants.update_quotas([small], False)
    grants.reset(7, 0.0, is_unused=True)
    names, ran = [f"l{n}" for n in range(many)], 0
    all_of = {name: QuotaCredits(BOUNDS, 1, 1.0) for name in names}
    for now in (1.0, 1.1, 1.2):
        for name, credits in all_of.items():
            if now == 1.0:
                credits.set_limiter_count(many)
                credits.update_quotas({NAME: small})
            request = credits.build_request(name, now)
            grants.advance(now, names)
            credits.apply_response(now, now, granted(grants, request, now))
    for credits in all_of.values():
        if not grants.is_closed(NAME) and credits.may_admit(NAME, 1.3):
            credits.consume(NAME, 1.3)
            ran += 1
            assert not credits.has_credit(NAME, 1.3)  # one, until the counter knows of it
            call(grants, credits, 1.3)
    assert ran == pytest.approx(quota_grants.bucket_depth(4.0, 4.0, BOUNDS) / 2, abs=1)
    credits.mark_near_limit(NAME, 1.3)
    assert not credits.has_credit(NAME, 1.3) and credits.has_credit(
        NAME, 1.31 + quota_credits.NEAR_LIMIT_SECONDS
    )


@pytest.mark.parametrize("waits", [True, False])
def test_after_a_start_of_all_requests_wait_for_a_credit_so_that_fewer_are_refused(
    waits, monkeypatch
):
    """The counter begins with nearly full buckets, and all limiters with nothing."""
    if not waits:
        monkeypatch.setattr(admission_adapter, "CREDIT_WAIT_SHARE", 0.0)
    town = Cluster(3, proxies=6)
    town.usual()
    town.tenant("ann", "key-of-ann", 20, 20)
    town.do(town.begin())

    async def day() -> None:
        what = ("GET", "town.example", "/a/x", "key-of-ann")
        calm = town.behind(town.flow(town.client, 12, 11, *what, idempotent=True, tries=1))
        await asyncio.sleep(4)
        hosts = [*town.proxies.values(), *town.registries.values(), *town.stores.values()]
        for host in hosts:
            host.kill()
        await asyncio.sleep(1)
        for host in hosts:
            host.start()
        await calm

    town.do(day())
    said = Counter(reply.status for reply in town.book.replies.values() if reply is not None)
    assert (said[429] <= 5) is waits and said[200] > 100
    town.close()
