"""Quota credits: no window exceeds the quota rule, whatever faults occur at limiters and at the
counting registry. "The counter" stands for the counting registry here.
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
STEP_SECONDS = 0.02  # simulation step; a response arrives one step after its request
CALL_TIMEOUT_SECONDS = 0.3  # a call without an answer fails after this time


Faults = tuple[tuple[float, str], ...]  # times in seconds, and kinds of faults or of load
RANDOM_FAULTS: Faults = ()  # draws faults and load at random


def credit_response(counter: QuotaGrants, request: CreditRequest, now: float) -> CreditResponse:
    """Returns the counter's response to a request for credits."""
    return CreditResponse(grant_term=counter.term, grants=counter.handle_request(request, now))


class Limiter:
    """A limiter and the state of its calls to the counter."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        tenants: dict[int, Tenant],
        limiter_count: int,
        now: float,
    ) -> None:
        self.name = name
        self.credits = QuotaCredits(BOUNDS, incarnation, now)
        self.credits.set_limiter_count(limiter_count)
        self.credits.update_quotas(tenants)
        self.next_call_at, self.is_waiting, self.sent_at = now, False, 0.0
        self.is_running, self.receives_answers, self.calls_arrive = True, True, True


class CreditSimulation:
    """Limiters and their counter under faults.

    Attributes:
        tenants: Tenants by digest, with their current quotas.
        highest_quotas: Tenants by digest, with their quotas at the start; later ones are lower.
        counter: The counter, None while the counting lease moves to another registry.
        admitted_at: By the tenant's digest, the times at which requests were admitted.
        responses: Responses in transit: time of arrival, limiter and response, None for a timeout.
        scheduled: Ends of faults: time, limiter and kind.
    """

    def __init__(self, seed: int, limiter_count: int, quotas: list[tuple[float, float]]) -> None:
        self.rng, self.limiter_count, self.now, self.start_count = (
            Random(seed),
            limiter_count,
            0.0,
            0,
        )
        self.tenants = {
            stable_digest(f"t{n}"): Tenant(f"t{n}", (), 1, rate, burst)
            for n, (rate, burst) in enumerate(quotas)
        }
        self.highest_quotas = dict(self.tenants)
        self.names = [f"l{n}" for n in range(limiter_count)]
        self.counter: QuotaGrants | None = QuotaGrants(BOUNDS)
        self.counter.update_quotas(self.tenants.values(), False)
        self.counter.reset(1, 0.0, is_unused=True)
        self.last_term, self.counter_ready_at, self.moved_at = 1, 0.0, list[float]()
        self.limiters = [self.start_limiter(name) for name in self.names]
        self.admitted_at: dict[int, list[float]] = {digest: [] for digest in self.tenants}
        self.responses: list[tuple[float, Limiter, CreditResponse | None]] = []
        self.scheduled: list[tuple[float, Limiter, str]] = []

    def start_limiter(self, name: str) -> Limiter:
        self.start_count += 1
        return Limiter(name, self.start_count, self.tenants, self.limiter_count, self.now)

    def sample_limiters(self, min_share: float, max_share: float) -> list[Limiter]:
        """Draws a random share of the limiters."""
        return self.rng.sample(
            self.limiters, round(self.rng.uniform(min_share, max_share) * self.limiter_count)
        )

    def inject(self, kind: str) -> None:
        """Starts a fault; a kind of load, or one that doesn't apply now, changes nothing."""
        if kind == "crash":
            for limiter in self.sample_limiters(0.3, 0.6):
                limiter.is_running = False
                self.scheduled.append(
                    (self.now + self.rng.choice((0.1, 1.0, 3.0)), limiter, "start")
                )
        elif kind == "rolling_restart":
            for n, limiter in enumerate(self.sample_limiters(0.6, 1.0)):
                self.scheduled.append(
                    (self.now + 0.35 * n * min(1.0, 8 / self.limiter_count), limiter, "restart")
                )
        elif kind in ("partition", "lose_answers"):
            # both lose answers; a partition also loses calls
            for limiter in (
                self.sample_limiters(0.1, 0.5)
                if self.faults is RANDOM_FAULTS
                else self.sample_limiters(0.5, 0.5)
            ):
                limiter.receives_answers, limiter.calls_arrive = False, kind == "lose_answers"
                seconds = (
                    self.rng.choice((0.3, 1.0, 4.0, 22.0)) if self.faults is RANDOM_FAULTS else 22.0
                )
                self.scheduled.append((self.now + seconds, limiter, "heal"))
        elif (
            kind == "move_counter"
            and self.counter
            and sum(at > self.now - BOUNDS.quota_window_seconds for at in self.moved_at) < 2
        ):
            self.counter, self.counter_ready_at = None, self.now + self.rng.choice((0.3, 1.0, 2.0))
            self.moved_at.append(self.now)
        elif kind == "lower_quota":
            digest = self.rng.choice([*self.tenants])
            tenant = self.tenants[digest]
            self.tenants[digest] = Tenant(
                tenant.name, (), 1, tenant.rate_per_second * 0.7, tenant.burst_size * 0.7
            )
            if self.counter:
                self.counter.update_quotas(self.tenants.values(), True)
            for limiter in self.limiters:
                if limiter.is_running and limiter.receives_answers:
                    limiter.credits.update_quotas(self.tenants)

    def apply_scheduled(self) -> None:
        """Ends the faults whose time has come, and starts a counter after a move."""
        scheduled, self.scheduled = self.scheduled, []
        for at, limiter, kind in scheduled:
            if at > self.now:
                self.scheduled.append((at, limiter, kind))
            elif kind == "heal":
                limiter.receives_answers = limiter.calls_arrive = True
                limiter.credits.update_quotas(self.tenants)
            elif limiter in self.limiters and (kind == "restart" or not limiter.is_running):
                limiter.is_running = False
                self.limiters[self.limiters.index(limiter)] = self.start_limiter(limiter.name)
        if self.counter is None and self.now >= self.counter_ready_at:
            self.last_term += 1
            self.counter = QuotaGrants(BOUNDS)
            self.counter.update_quotas(self.tenants.values(), False)
            self.counter.reset(self.last_term, self.now)

    def send_request(self, limiter: Limiter) -> None:
        """Sends a limiter's request for credits, if it is due."""
        credits = limiter.credits
        if limiter.is_waiting or self.now < limiter.next_call_at:
            return
        limiter.is_waiting, limiter.sent_at = True, self.now
        request = credits.build_request(limiter.name, self.now)
        answer = None
        if self.counter is not None and limiter.calls_arrive:
            counter = self.counter
            counter.advance(self.now, self.names)
            answer = credit_response(counter, request, self.now)
        if answer is None or not limiter.receives_answers:
            self.responses.append((self.now + CALL_TIMEOUT_SECONDS, limiter, None))
        else:
            self.responses.append((self.now + STEP_SECONDS, limiter, answer))

    def deliver_responses(self) -> None:
        """Delivers the responses whose time has come, and sets the times of the next requests."""
        responses, self.responses = self.responses, []
        for at, limiter, answer in responses:
            if at > self.now:
                self.responses.append((at, limiter, answer))
                continue
            limiter.is_waiting, limiter.next_call_at = False, self.now + 0.1
            if answer is not None and limiter.receives_answers:
                must_send_now = limiter.credits.apply_response(limiter.sent_at, self.now, answer)
                needs_more = any(
                    limiter.credits.needs_request(digest, self.now) for digest in self.tenants
                )
                limiter.next_call_at = self.now + (
                    0.0 if must_send_now else STEP_SECONDS if needs_more else 0.4
                )

    def admit_requests(self, is_overload: bool) -> None:
        """Offers each limiter more requests of each tenant than it may admit if `is_overload`, else
        random requests at 0.6 of the quotas.
        """
        for limiter in self.limiters:
            if not limiter.is_running:
                continue
            for digest, tenant in self.tenants.items():
                request_count = (
                    40
                    if is_overload
                    else self.rng.random()
                    < 0.6 * tenant.rate_per_second * STEP_SECONDS / self.limiter_count
                )
                for _ in range(int(request_count)):
                    if not limiter.credits.may_admit(digest, self.now):
                        break
                    limiter.credits.consume(digest, self.now)
                    self.admitted_at[digest].append(self.now)
                if limiter.credits.needs_request(digest, self.now) and not limiter.is_waiting:
                    limiter.next_call_at = min(limiter.next_call_at, self.now)
            self.send_request(limiter)

    def run(self, seconds: float, faults: Faults) -> CreditSimulation:
        """Simulates `seconds`. `faults` has times and kinds of faults, and the times at which all
        tenants exceed their quotas ("overload"); with RANDOM_FAULTS all of these are random.
        """
        self.faults = faults
        upcoming, next_toggle_at = list(faults), 2.0
        is_overload, next_fault_at = False, 3.0
        while self.now < seconds:
            self.now += STEP_SECONDS
            if faults is RANDOM_FAULTS and self.now >= next_fault_at:
                next_fault_at += self.rng.expovariate(1 / 0.7)
                self.inject(
                    self.rng.choice(
                        (
                            "crash",
                            "rolling_restart",
                            "partition",
                            "partition",
                            "lose_answers",
                            "move_counter",
                            "lower_quota",
                            "none",
                        )
                    )
                )
            if faults is RANDOM_FAULTS and self.now >= next_toggle_at:
                is_overload = not is_overload
                next_toggle_at += self.rng.choice((1.0, 3.0, 6.0))
            while upcoming and self.now >= upcoming[0][0]:
                _, kind = upcoming.pop(0)
                is_overload = is_overload or kind == "overload"
                self.inject(kind)
            self.apply_scheduled()
            self.deliver_responses()
            if self.counter is not None and self.now % 1.0 < STEP_SECONDS:
                self.counter.expire(self.now, self.names)
            self.admit_requests(is_overload)
        return self

    def worst_overshoot(self) -> dict[str, float]:
        """Returns, by tenant, the share of the allowed overshoot that the worst window used; the
        rule allows 1.
        """
        shares = {}
        for digest, times in self.admitted_at.items():
            tenant = self.highest_quotas[digest]
            quota = tenant.rate_per_second * BOUNDS.quota_window_seconds + tenant.burst_size
            count = max(
                (
                    bisect_right(times, start + BOUNDS.quota_window_seconds)
                    - bisect_left(times, start)
                    for start in times
                ),
                default=0,
            )
            overshoot = quota_grants.allowed_overshoot(
                tenant.rate_per_second, tenant.burst_size, BOUNDS
            )
            shares[tenant.name] = (count - quota) / overshoot
        return shares


# the number of limiters, and the rate and burst of each tenant
SMALL = (12, [(4, 4), (15, 15), (60, 60), (60, 120), (200, 100), (200, 400)])
LARGE = (85, [(60, 150), (120, 120), (360, 360)])
REPEATED_CRASHES = ((6.0, "overload"), *((8.0 + 0.8 * n, "crash") for n in range(5)))
REPEATED_LOWERING = ((6.0, "overload"), *((7.0 + 0.2 * n, "lower_quota") for n in range(12)))


@pytest.mark.parametrize(
    ("size", "seed"), [(SMALL, n) for n in range(10)] + [(LARGE, n) for n in range(2)]
)
def test_no_window_exceeds_the_quota_rule_under_random_faults(size, seed):
    """Crashes, rolling restarts, partitions, lost answers, moves of the counter and lower quotas;
    limiters admit all that they may.
    """
    limiter_count, quotas = size
    simulation = CreditSimulation(seed, limiter_count, quotas).run(24.0, RANDOM_FAULTS)
    assert max(simulation.worst_overshoot().values()) <= 1
    assert all(
        len(times) > 0.2 * 24 * simulation.tenants[digest].rate_per_second
        for digest, times in simulation.admitted_at.items()
    )


def charge_on_use(monkeypatch) -> None:
    """Mutation: credits are charged when they are used instead of when they are granted."""
    grant = QuotaGrants.grant

    def grant_uncharged(self, bucket, *arguments):
        granted = grant(self, bucket, *arguments)
        bucket.level -= granted
        return granted

    monkeypatch.setattr(QuotaGrants, "grant", grant_uncharged)


def start_with_even_part(monkeypatch) -> None:
    """Mutation: a limiter starts with its even part of the bucket."""
    update_quotas = QuotaCredits.update_quotas

    def update_and_grant(self, quotas):
        is_new = not self.tenants
        update_quotas(self, quotas)
        for credit in self.tenants.values() if is_new else ():
            credit.granted = credit.bucket_depth / self.limiter_count

    monkeypatch.setattr(QuotaCredits, "update_quotas", update_and_grant)


def reserve_nothing_for_isolated(monkeypatch) -> None:
    """Mutation: the counter withholds nothing for isolated limiters."""
    monkeypatch.setattr(quota_grants, "ISOLATED_SHARE", 0.0)


def ignore_isolation(monkeypatch) -> None:
    """Mutation: a limiter whose calls arrive isn't treated as isolated."""
    handle_request = QuotaGrants.handle_request

    def handle_as_connected(self, request, now):
        return handle_request(self, msgspec.structs.replace(request, is_isolated=False), now)

    monkeypatch.setattr(QuotaGrants, "handle_request", handle_as_connected)


def start_with_empty_buckets(monkeypatch) -> None:
    """Mutation: a new counter assumes that no credits were granted before."""
    reset = QuotaGrants.reset
    monkeypatch.setattr(
        QuotaGrants, "reset", lambda self, term, now, *_, **__: reset(self, term, now, True)
    )


def reset_levels_on_change(monkeypatch) -> None:
    """Mutation: a change of quotas resets the levels of buckets."""
    update_quotas = QuotaGrants.update_quotas

    def update_and_reset(self, tenants, is_counting):
        update_quotas(self, tenants, is_counting)
        for bucket in self.buckets.values():
            bucket.level = sum(bucket.outstanding.values())

    monkeypatch.setattr(QuotaGrants, "update_quotas", update_and_reset)


@pytest.mark.parametrize(
    ("faults", "mutate"),
    [
        (REPEATED_CRASHES, charge_on_use),
        (REPEATED_CRASHES, start_with_even_part),
        (((6.0, "partition"), (9.0, "overload")), reserve_nothing_for_isolated),
        (((6.0, "lose_answers"), (9.0, "overload")), ignore_isolation),
        (
            ((6.0, "overload"), (7.0, "move_counter"), (9.0, "move_counter")),
            start_with_empty_buckets,
        ),
        (REPEATED_LOWERING, reset_levels_on_change),
    ],
)
def test_each_safeguard_is_necessary(faults, mutate, monkeypatch):
    def worst_overshoot() -> float:
        return max(
            max(CreditSimulation(seed, *SMALL).run(15.0, faults).worst_overshoot().values())
            for seed in range(2)
        )

    assert worst_overshoot() <= 1
    mutate(monkeypatch)
    assert worst_overshoot() > 1


# --- single calls of a limiter

ANN = Tenant("ann", (), 1, 60.0, 120.0)
ANN_DIGEST = stable_digest("ann")


def make_pair(limiter_count: int = 4) -> tuple[QuotaGrants, QuotaCredits]:
    """Returns a counter, and a limiter that has all the credits that it requests."""
    grants, credits = QuotaGrants(BOUNDS), QuotaCredits(BOUNDS, 1, 10.0)
    grants.update_quotas([ANN], False)
    grants.reset(7, 0.0, is_unused=True)
    credits.set_limiter_count(limiter_count)
    credits.update_quotas({ANN_DIGEST: ANN})
    while exchange(grants, credits, 10.0):
        pass
    return grants, credits


def exchange(grants: QuotaGrants, credits: QuotaCredits, now: float) -> bool:
    """Sends a request for credits; returns whether the limiter must send another one at once."""
    request = credits.build_request("one", now)
    grants.advance(now, ["one"])
    return credits.apply_response(now, now, credit_response(grants, request, now))


def test_credits_expire_without_an_answer_and_the_counter_reserves_them_longer():
    grants, credits = make_pair()
    outstanding = grants.buckets[ANN_DIGEST].outstanding["one"]
    assert outstanding == credits.tenants[ANN_DIGEST].granted >= 2
    credit = credits.tenants[ANN_DIGEST]
    lifetime = quota_credits.CREDIT_LIFETIME_SECONDS
    assert [credits.source(credit, t + lifetime) for t in (10.0, 10.1)] == [
        CreditSource.GRANTED,
        CreditSource.ISOLATED,
    ]
    grants.expire(10.0 + lifetime + 0.5, ["one"])
    assert grants.buckets[ANN_DIGEST].outstanding["one"] == outstanding
    assert lifetime < quota_grants.CREDIT_RESERVATION_SECONDS
    grants.expire(10.1 + quota_grants.CREDIT_RESERVATION_SECONDS, ["one"])
    assert "one" not in grants.buckets[ANN_DIGEST].outstanding
    assert credits.build_request("one", 13.0).demands[0].held == 0  # it reports that it holds none


def test_a_new_counter_gets_reports_of_all_held_credits_before_it_grants():
    grants, credits = make_pair()
    held_credits = credits.tenants[ANN_DIGEST].granted
    grants.reset(8, 11.0)
    request = credits.build_request("one", 11.0)
    grants.advance(11.0, ["one"])
    assert credit_response(grants, request, 11.0).grants is None and not request.demands
    # this answer doesn't extend the lifetime of credits
    assert credits.apply_response(11.0, 11.0, CreditResponse(grant_term=8))
    assert credits.last_answer_sent_at == 10.0
    (demand,) = credits.build_request("one", 11.0).demands
    assert (demand.tenant, demand.held) == (ANN_DIGEST, held_credits)
    exchange(grants, credits, 11.0)
    assert (
        grants.buckets[ANN_DIGEST].outstanding["one"] >= held_credits
        and credits.last_answer_sent_at == 11.0
    )


def test_an_isolated_limiter_uses_part_of_its_even_share_and_the_counter_withholds_it():
    grants, credits = make_pair(limiter_count=2)
    credits.tenants[ANN_DIGEST].granted = 0.0
    admitted, now = 0, 10.0
    while now < 20.0:
        now += 0.01
        while credits.may_admit(ANN_DIGEST, now):
            credits.consume(ANN_DIGEST, now)
            admitted += 1
    isolated_rate = quota_grants.ISOLATED_SHARE * ANN.rate_per_second / 2
    assert admitted == pytest.approx(
        isolated_rate * (10 - quota_grants.ISOLATION_SECONDS), rel=0.05
    )
    grants.advance(10.5, ["one", "two"])
    grants.advance(12.0, ["one", "two"])  # no limiter called
    leak_time_before = grants.leak_time
    grants.advance(12.5, ["one", "two"])
    assert (grants.leak_time - leak_time_before) / 0.5 == pytest.approx(
        1 - quota_grants.ISOLATED_SHARE
    )


def test_an_isolated_share_shrinks_before_the_counter_removes_the_limiter():
    assert quota_credits.LONG_ISOLATION_SECONDS < limiters.SILENT_RETENTION_SECONDS
    _, credits = make_pair(limiter_count=2)
    shrunk_at = 10.0 + quota_credits.LONG_ISOLATION_SECONDS
    admitted, now = 0, shrunk_at
    credits.has_credit(ANN_DIGEST, shrunk_at)
    while now < shrunk_at + 10:
        now += 0.01
        while credits.may_admit(ANN_DIGEST, now):
            credits.consume(ANN_DIGEST, now)
            admitted += 1
    isolated_rate = quota_grants.ISOLATED_SHARE * ANN.rate_per_second / 2
    long_isolated_rate = quota_credits.LONG_ISOLATION_SHARE * isolated_rate
    assert admitted <= long_isolated_rate * 10 + isolated_rate + 1


def test_credits_that_isolated_limiters_may_hold_keep_a_bucket_from_emptying():
    grants, _ = make_pair()
    names = [f"l{n}" for n in range(20)]
    for now in (11.0, 12.0, 30.0):
        grants.advance(now, names)
    bucket = grants.buckets[ANN_DIGEST]
    bucket.leak(grants.leak_time, *grants.unreported(bucket))
    assert bucket.level >= 20 * quota_grants.ISOLATED_SHARE * ANN.rate_per_second / 20


def test_small_buckets_are_open_until_half_full_and_then_need_credits():
    limiter_count, tenant = 75, Tenant("ann", (), 1, 4.0, 4.0)
    grants = QuotaGrants(BOUNDS)
    grants.update_quotas([tenant], False)
    grants.reset(7, 0.0, is_unused=True)
    names, admitted = [f"l{n}" for n in range(limiter_count)], 0
    credits_by_name = {name: QuotaCredits(BOUNDS, 1, 1.0) for name in names}
    for now in (1.0, 1.1, 1.2):
        for name, credits in credits_by_name.items():
            if now == 1.0:
                credits.set_limiter_count(limiter_count)
                credits.update_quotas({ANN_DIGEST: tenant})
            request = credits.build_request(name, now)
            grants.advance(now, names)
            credits.apply_response(now, now, credit_response(grants, request, now))
    for credits in credits_by_name.values():
        if not grants.is_closed(ANN_DIGEST) and credits.may_admit(ANN_DIGEST, 1.3):
            credits.consume(ANN_DIGEST, 1.3)
            admitted += 1
            assert not credits.has_credit(ANN_DIGEST, 1.3)  # one request, until it is reported
            exchange(grants, credits, 1.3)
    assert admitted == pytest.approx(quota_grants.bucket_depth(4.0, 4.0, BOUNDS) / 2, abs=1)
    credits.mark_near_limit(ANN_DIGEST, 1.3)
    assert not credits.has_credit(ANN_DIGEST, 1.3) and credits.has_credit(
        ANN_DIGEST, 1.31 + quota_credits.NEAR_LIMIT_SECONDS
    )


@pytest.mark.parametrize("has_credit_wait", [True, False])
def test_after_a_restart_of_all_programs_requests_wait_for_credits_instead_of_being_rejected(
    has_credit_wait, monkeypatch
):
    """After a restart, the counter has nearly full buckets, and limiters hold no credits."""
    if not has_credit_wait:
        monkeypatch.setattr(admission_adapter, "CREDIT_WAIT_SHARE", 0.0)
    cluster = Cluster(3, proxies=6)
    cluster.use_default_configuration()
    cluster.tenant("ann", "key-of-ann", 20, 20)
    cluster.run(cluster.start())

    async def run_scenario() -> None:
        request = ("GET", "town.example", "/a/x", "key-of-ann")
        traffic = cluster.run_in_background(
            cluster.send_requests(cluster.client, 12, 11, *request, idempotent=True, tries=1)
        )
        await asyncio.sleep(4)
        hosts = [*cluster.proxies.values(), *cluster.registries.values(), *cluster.stores.values()]
        for host in hosts:
            host.kill()
        await asyncio.sleep(1)
        for host in hosts:
            host.start()
        await traffic

    cluster.run(run_scenario())
    statuses = Counter(
        reply.status for reply in cluster.request_log.replies.values() if reply is not None
    )
    assert (statuses[429] <= 5) is has_credit_wait and statuses[200] > 100
    cluster.close()
