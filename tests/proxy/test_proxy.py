"""The proxy among whole clusters in simulated simulation: what must hold of a request, a quota, a
budget.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random

import pytest

from loomstand.testing.simulation.cluster import FRONT, SERVING, Cluster
from loomstand.testing.simulation.http_log import Talk
from loomstand.testing.simulation.loop import Life, play
from loomstand.testing.simulation.network import SimNetwork
from loomstand.testing.simulation.streams import WINDOW, Cables, Streams
from loomstand.testing.simulation.workload import Server


@pytest.fixture
def cluster():
    made = Cluster(1, proxies=2)
    made.do(made.begin())
    yield made
    made.close()


def trouble(
    cluster: Cluster, what: str, share: float = 1.0, few: int = 99, service: str = "alpha"
) -> None:
    servers = cluster.servers[service]
    if few == 1:  # the one that is used: a proxy of few requests keeps to some
        cluster.do(gets(cluster, 6, name=service[0]))
        servers = sorted(
            servers, key=lambda s: -sum(r.server == s.id for r in cluster.book.arrivals)
        )
    for server in servers[:few]:
        server.trouble, server.share = what, share


def tried(cluster: Cluster) -> Counter[str]:
    """How often each request came to any server."""
    return Counter(run.id for run in cluster.book.arrivals)


async def gets(cluster: Cluster, count: int, tries: int = 1, name: str = "a") -> Counter[int]:
    return Counter([(await cluster.get(name, tries=tries)).status for _ in range(count)])


# --- the streams themselves


def test_a_peer_that_does_not_read_holds_up_the_writer_and_no_byte_is_lost_or_swapped():
    async def work() -> None:
        sky = SimNetwork(Random(1))
        cables = Cables(sky, Random(2))
        here, there = (Streams(cables, host, Life()) for host in ("10.0.0.1", "10.0.0.2"))
        taken: list[Talk] = []
        loop = asyncio.get_running_loop()

        def make() -> Talk:
            taken.append(Talk())
            return taken[-1]

        await there.listen(loop, make, ("10.0.0.2", 80))
        talk = await here.open(Talk, ("10.0.0.2", 80), 1.0)
        await asyncio.sleep(0.1)
        taken[0].transport.pause_reading()
        data = Random(3).randbytes(5 * WINDOW)
        for at in range(0, len(data), 777):
            talk.transport.write(data[at : at + 777])
        await asyncio.sleep(1.0)
        assert talk.transport.get_write_buffer_size() == 4 * WINDOW and not taken[0].buf
        sky.cut("10.0.0.1", "10.0.0.2")
        taken[0].transport.resume_reading()
        await asyncio.sleep(3.0)
        assert bytes(taken[0].buf) == data[:WINDOW]
        sky.mend()
        await asyncio.sleep(10.0)
        assert bytes(taken[0].buf) == data
        talk.transport.close()
        await asyncio.sleep(0.1)
        assert taken[0].over == "closed"

    play(work)


def test_a_reset_after_a_cut_leaves_no_gap_in_what_is_read():
    """Bytes that met the cut are lost by the reset; those written after it came alone, as a
    request.
    """

    async def work() -> None:
        sky = SimNetwork(Random(1))
        cables = Cables(sky, Random(2))
        here, there = (Streams(cables, host, Life()) for host in ("10.0.0.1", "10.0.0.2"))
        taken: list[Talk] = []

        def make() -> Talk:
            taken.append(Talk())
            return taken[-1]

        await there.listen(asyncio.get_running_loop(), make, ("10.0.0.2", 80))
        talk = await here.open(Talk, ("10.0.0.2", 80), 1.0)
        talk.transport.get_extra_info("reset_on_close")()
        sky.cut("10.0.0.1", "10.0.0.2")
        talk.transport.write(b"GET /a HTTP")
        await asyncio.sleep(0.1)
        sky.mend()
        talk.transport.write(b"/1.1")
        talk.transport.abort()
        await asyncio.sleep(2.0)
        assert (bytes(taken[0].buf), taken[0].over) == (b"", "reset")

    play(work)


@pytest.mark.parametrize("how", ["kill", "off", "cut", "nobody"])
def test_connections_end_as_their_machines_do(how):
    async def work() -> None:
        sky = SimNetwork(Random(1))
        cables = Cables(sky, Random(2))
        client, life = Streams(cables, "10.0.0.1", Life()), Life()
        loop, address = asyncio.get_running_loop(), ("10.0.0.2", 80)
        if how == "nobody":
            with pytest.raises(ConnectionRefusedError):
                await client.open(Talk, address, 1.0)
            assert loop.time() < 0.02 and not cables.ends
            return
        port = await Streams(cables, "10.0.0.2", life).listen(loop, Talk, address)
        talk = await client.open(Talk, address, 1.0)
        if how == "cut":
            sky.cut("10.0.0.1", "10.0.0.2")
        else:
            life.alive = False
            port.close()
            if how == "off":
                sky.off.add("10.0.0.2")
            cables.died(life)
        await asyncio.sleep(5.0)
        assert bool(talk.over) == (how == "kill")
        begun = loop.time()
        with pytest.raises(ConnectionRefusedError if how == "kill" else TimeoutError):
            await client.open(Talk, address, 1.0)
        assert loop.time() - begun < (0.02 if how == "kill" else 1.01)
        sky.mend()
        sky.off.clear()
        talk.transport.write(b"x")  # the machine that was off knows nothing of it
        await asyncio.sleep(5.0)
        assert bool(talk.over) == (how != "cut")

    play(work)


# --- TWICE and REFUSED


@pytest.mark.parametrize("what", ["close", "silent", "reset", "cut", "spoilt", "bare", "slow"])
def test_a_request_not_to_be_repeated_whose_answer_is_lost_runs_once_and_no_promise_is_given(
    cluster, what
):
    if what == "slow":  # its server goes before it answers
        trouble(cluster, what)
        doing = cluster.behind(cluster.once())
        cluster.wait(0.5)
        for server in cluster.servers["alpha"]:
            server.kill()
        ask, reply = cluster.do(doing)
    else:
        trouble(cluster, what)
        ask, reply = cluster.do(cluster.once())
    assert reply.status in (502, 504), reply
    assert len(cluster.book.runs(ask.id)) == tried(cluster)[ask.id] == 1
    assert reply.at - ask.sent < (5.0 if what == "silent" else 1.0)


def test_a_request_turned_away_goes_to_another_server_also_where_it_must_not_run_twice(cluster):
    trouble(cluster, "full", few=1)
    said = Counter(cluster.do(cluster.once())[1].status for _ in range(40))
    cluster.wait(0.1)
    assert said[200] >= 38  # the budget may not have been there for the very first
    assert max(tried(cluster).values()) == 2 and {
        len(cluster.book.runs(id_)) for id_ in tried(cluster)
    } <= {
        0,
        1,
    }
    assert not all(run.ran for run in cluster.book.arrivals)


def test_where_all_servers_are_full_the_answer_is_a_promise_and_nothing_runs(cluster):
    trouble(cluster, "full")
    for _ in range(10):
        _, reply = cluster.do(cluster.once())
        # of a second
        assert reply.status == 503 and 0.05 <= float(reply.fields["retry-after"]) <= 0.65
    assert not cluster.book.runs()


@pytest.mark.parametrize("how", ["refused", "off"])
def test_a_server_that_cannot_be_reached_costs_a_connect_and_the_request_goes_on(cluster, how):
    first, *rest = cluster.servers["alpha"]
    for server in cluster.servers["alpha"]:
        # what is written to a kept connection may have run, and is no matter for a promise
        server.keep = 0

    def down(server: Server) -> None:
        server.kill()
        if how == "off":
            cluster.sky.off.add(server.address[0])

    down(first)
    said = [cluster.do(cluster.once()) for _ in range(20)]
    assert sum(reply.status == 200 for _, reply in said) >= 19
    assert all(reply.at - ask.sent < 0.5 for ask, reply in said)
    for server in rest:
        down(server)
    ask, reply = cluster.do(cluster.once())
    assert reply.status == 503 and "retry-after" in reply.fields
    assert reply.at - ask.sent < (0.1 if how == "refused" else 1.0) and not cluster.book.runs(
        ask.id
    )


@pytest.mark.parametrize("what", ["close", "reset", "cut", "spoilt", "error"])
def test_a_repeatable_request_is_tried_again_elsewhere_but_not_more_often_than_allowed(
    cluster, what
):
    trouble(cluster, what, few=1)
    assert cluster.do(gets(cluster, 60))[200] >= 58
    many = tried(cluster)
    assert max(many.values()) >= 2
    trouble(cluster, what)
    cluster.wait(1.0)
    said = cluster.do(gets(cluster, 30))
    assert set(said) <= {500, 502, 503, 504}, said
    assert max(tried(cluster).values()) <= 3


def test_maximum_attempts_of_one_is_one(cluster):
    cluster.route("a", "alpha", maximum_attempts=1)
    assert cluster.do(cluster.replace())
    cluster.wait(0.5)
    trouble(cluster, "close", few=1)
    cluster.do(gets(cluster, 40))
    assert max(tried(cluster).values()) == 1 and set(cluster.do(gets(cluster, 20))) <= {200, 502}


# --- MIXED


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("what", ["surplus", "late"])
def test_a_surplus_answer_reaches_no_other_request(what, seed):
    cluster = Cluster(seed, proxies=2, servers=1)
    cluster.do(cluster.begin())
    trouble(cluster, what, share=0.7)
    target = ("GET", "town.example", "/a/x", "key-of-ann")
    said = cluster.do(cluster.flow(cluster.client, 60, 4, *target, idempotent=True))
    assert sum(reply.status == 200 for reply in said) > 0.9 * len(said) > 150
    said = [cluster.do(cluster.once()) for _ in range(40)]
    assert sum(reply.status == 200 for _, reply in said) >= 30
    cluster.close()  # checks each answer's id, stamp and body


@pytest.mark.parametrize("what", ["cut", "spoilt", "bare"])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_what_is_no_whole_answer_of_a_server_is_not_passed_on(what, seed):
    cluster = Cluster(seed, proxies=1, servers=1)
    cluster.do(cluster.begin())
    trouble(cluster, what)
    for _ in range(12):
        ask, reply = cluster.do(cluster.once())
        # "set aside": a server of which all answers fail is refused rather than tried
        assert reply.status == (502 if cluster.book.runs(ask.id) else 503), reply
    assert len(cluster.book.runs()) >= 3
    cluster.close()


def test_long_bodies_in_chunks_and_slow_links_arrive_whole(cluster):
    cluster.client.chunked = True
    cluster.sky.slow["10.9.0.1"] = 0.02
    body = Random(4).randbytes(300_000)
    reply = cluster.do(
        cluster.client.go("PUT", "town.example", "/a/x", "key-of-ann", body, within=20.0)
    )
    assert reply.status == 200
    for keep in (True, False):
        cluster.client.keep = keep
        assert cluster.do(gets(cluster, 5)) == {200: 5}


# --- ROUTE


def test_an_address_that_another_service_took_answers_421_runs_nothing_and_is_left_alone(cluster):
    gone = cluster.servers["alpha"][0]
    gone.kill()
    thief = Server(
        cluster.cables, cluster.book, Random(9), (gone.address[0], SERVING), "beta", "east", []
    )

    async def moves_in() -> None:
        thief.start()

    cluster.do(moves_in())
    target = ("POST", "town.example", "/once/x", "key-of-ann", b"body")
    said = cluster.do(cluster.flow(cluster.client, 80, 4, *target, tries=1))
    assert sum(reply.status == 200 for reply in said) >= len(said) - 2
    there = [run for run in cluster.book.arrivals if run.server == thief.id]
    assert 1 <= len(there) <= len(cluster.proxies) and not any(run.ran for run in there)


# --- QUOTA


def over(cluster: Cluster, tenant: str, rate: float, burst: float) -> list[tuple[float, int]]:
    """The windows of 5 s in which more of a tenant's requests ran than the rule allows."""
    at = sorted(run.at for run in cluster.book.runs() if run.tenant == tenant)
    most = (rate * 5 + burst) * 1.1 + 20
    counts = [(t, sum(t <= other < t + 5 for other in at)) for t in at]
    return [(t, n) for t, n in counts if n > most]


@pytest.mark.parametrize(
    ("seed", "lost"), [(1, "killed"), (2, "machine"), (3, "frozen"), (4, "cut")]
)
def test_a_quota_holds_over_all_proxies_also_while_the_counter_is_lost(seed, lost):
    cluster = Cluster(seed, proxies=6)
    cluster.usual()
    cluster.tenant("greedy", "key-of-greedy", 40, 40)
    cluster.tenant("modest", "key-of-modest", 40, 40)
    cluster.route("m", "beta")
    cluster.do(cluster.begin())
    ips, rng = [*cluster.proxies], Random(seed)
    greedy, modest = cluster.someone(), cluster.someone()
    weights = [8, 4, 2, 1, 1, 0]
    greedy.fronts = lambda: [(rng.choices(ips, weights)[0], FRONT)]
    what = ("GET", "town.example")

    async def day() -> None:
        if lost == "cut":  # the one that counts isn't beside the primary store, which it will lose
            cluster.registries[first].kill()
            await cluster.until(lambda: cluster.counters() not in ([], [first]), 2.0)
            cluster.registries[first].start()
        calm = cluster.loop.create_task(
            cluster.flow(modest, 25, 19, *what, "/m/x", "key-of-modest", idempotent=True)
        )
        flood = cluster.loop.create_task(
            cluster.flow(greedy, 200, 19, *what, "/a/x", "key-of-greedy", idempotent=True, tries=1)
        )
        await asyncio.sleep(8)
        registry, store = cluster.core(counting := cluster.counting())
        if lost == "cut":
            cluster.sky.cut(first, counting)
        before.update(cluster.book.replies)
        if lost == "frozen":
            registry.freeze()
        elif lost != "cut":
            registry.kill()
        if lost == "machine":
            store.kill()
        await asyncio.sleep(2)
        assert lost == "machine" or cluster.counting() != counting
        weights.reverse()  # the last split's parts are all at the wrong proxies
        await asyncio.sleep(3)
        cluster.sky.mend()
        (registry.thaw if registry.up else registry.start)()
        if lost == "machine":
            store.start()
        await asyncio.gather(calm, flood)

    first, before = cluster.counting(), set[str]()
    cluster.do(day())
    assert not over(cluster, "greedy", 40, 40) and not over(cluster, "modest", 40, 40)
    ran = Counter(run.tenant for run in cluster.book.runs())
    assert ran["greedy"] >= 0.6 * 40 * 19  # what is allowed is also given
    modest_said = Counter(
        cluster.book.replies[a.id].status
        for a in cluster.book.asks.values()
        if a.key == "key-of-modest"
    )
    calm_said = Counter(
        cluster.book.replies[a.id].status
        for a in cluster.book.asks.values()
        if a.key == "key-of-modest" and a.id in before  # by value a 429 of the other looks the same
    )
    assert calm_said[429] == 0 and sum(calm_said.values()) > 150
    assert modest_said[429] <= 0.1 * modest_said[200]
    cluster.close()


@pytest.mark.parametrize(("rate", "usual", "hot"), [(40, 24, 130), (5, 3, 40)])
def test_a_tenant_that_turns_hot_at_many_proxies_at_once_stays_within_its_quota(rate, usual, hot):
    """Each proxy sees some two of its requests a second, or less: what the others let in it hears
    unasked.
    """
    cluster = Cluster(3, proxies=60, servers=20)
    cluster.usual()
    cluster.tenant("greedy", "key-of-greedy", rate, rate)
    cluster.do(cluster.begin())
    target, fronts = ("GET", "town.example", "/a/x", "key-of-greedy"), [*cluster.proxies]
    greedy, rng = cluster.someone(), Random(3)
    greedy.fronts = lambda: [(rng.choice(fronts), FRONT)]
    cluster.do(cluster.flow(greedy, usual, 6, *target, idempotent=True, tries=1))
    asked = cluster.book.replies.copy()
    cluster.do(cluster.flow(greedy, hot, 8, *target, idempotent=True, tries=1))
    assert not over(cluster, "greedy", rate, rate)
    said = Counter(reply.status for id, reply in cluster.book.replies.items() if id not in asked)
    assert said[200] >= 0.9 * rate * 8  # what is allowed is also given
    # and nobody is denied for the telling
    assert Counter(reply.status for reply in asked.values())[429] <= 4
    cluster.close()


# --- BUDGET


@pytest.mark.parametrize("what", ["full", "error", "reset"])
@pytest.mark.parametrize(("few", "share"), [(2, 1.0), (4, 0.5)])
def test_further_tries_keep_the_budget_of_all_proxies(what, few, share):
    cluster = Cluster(1, proxies=4, servers=4)
    cluster.do(cluster.begin())
    trouble(cluster, what, share, few)
    target = ("GET", "town.example", "/a/x", "key-of-ann")
    cluster.do(cluster.flow(cluster.client, 100, 14, *target, idempotent=True))
    asked = sorted(a.sent for a in cluster.book.asks.values() if a.path == "/a/x")
    seen: set[str] = set()
    more = [r.at for r in cluster.book.arrivals if r.id in seen or seen.add(r.id)]
    for t in more:
        extra = sum(t <= other < t + 10 for other in more)
        assert extra <= 0.2 * sum(t <= other < t + 10 for other in asked) + 56
    assert len(more) >= (100 if share < 1 else 10)  # so it was put to use
    cluster.close()
