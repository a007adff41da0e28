"""RegistryService clusters in simulated simulation: the stories of `features/system.feature`."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from random import Random

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from loomstand.testing.simulation.cluster import FRONT_PORT, Cluster
from loomstand.testing.simulation.faults import Faults

scenarios("../features/system.feature")
APPLY = 2.5  # s: the rule's bound
NEW = "new-route"


@pytest.fixture
def cluster():
    made = Cluster(7)
    made.back = made.run_in_background(made.check_versions_never_decrease())
    made.flows = []
    yield made
    made.close()


def first(cluster: Cluster) -> str:
    return next(iter(cluster.proxies))


async def at_all(
    cluster: Cluster, name: str, wanted: int, key: str = "key-of-ann", only: str = ""
) -> None:
    """What each proxy answers on a route."""
    for ip in [only] if only else cluster.proxies:
        _, reply = await cluster.send_once(name, key, ip)
        assert reply.status == wanted, (ip, reply)


async def all_have(cluster: Cluster, within: float) -> float:
    newest = cluster.version
    return await cluster.wait_until(
        lambda: (
            len(cluster.running_proxies()) == len(cluster.proxies)
            and all(
                s.configuration.table is not None and s.configuration.table.version == newest
                for s in cluster.running_proxies()
            )
        ),
        within,
    )


async def add(cluster: Cluster) -> None:
    cluster.route(NEW, "alpha", "non_idempotent")
    assert await cluster.replace()


# --- beginnings


@given("a running cluster")
def _(cluster):
    cluster.run(cluster.start())


@given(parsers.parse("a flow of {rate:d} requests a second"))
def _(cluster, rate):
    """Of which some can't be repeated, on kept connections and on new ones."""
    for n, keep in enumerate((True, False)):
        client = cluster.new_client()
        client.keep_alive, client.chunked = keep, bool(n)
        for method, name, again in (("GET", "a", True), ("POST", "once", False)):
            what = (
                method,
                "town.example",
                f"/{name}/x",
                "key-of-ann",
                b"" if again else b"body" * 50,
            )
            cluster.flows.append(
                cluster.run_in_background(
                    cluster.send_requests(client, rate / 4, 8.0, *what, idempotent=again)
                )
            )
    cluster.wait(1.0)


@given("servers that take 3 s")
def _(cluster):
    for server in cluster.servers["alpha"]:
        server.work_seconds = (2.9, 3.1)


# --- a calm day


@then("every proxy is ready")
def _(cluster):
    for ip in cluster.proxies:
        assert cluster.run(cluster.is_ready(ip))


@then("every proxy serves requests with a key and no others")
def _(cluster):
    cluster.run(at_all(cluster, "once", 200))
    cluster.run(at_all(cluster, "b", 200))
    cluster.run(at_all(cluster, "a", 401, ""))


@then("a route that is unknown is answered 404 and a key that is unknown 401")
def _(cluster):
    cluster.run(at_all(cluster, "nowhere", 404))
    cluster.run(at_all(cluster, "a", 401, "key-of-nobody"))
    assert all(run.tenant == "ann" for run in cluster.request_log.runs())


@then("the configuration is read back as it was sent")
def _(cluster):
    assert cluster.run(cluster.operator.read(10.0)) == cluster.versions[cluster.version]


@when(parsers.parse("a flow of {rate:d} requests a second lasts {s:d} s"))
def _(cluster, rate, s):
    what = ("GET", "town.example", "/b/x", "key-of-ann")
    cluster.said = cluster.run(
        cluster.send_requests(cluster.client, rate, s, *what, idempotent=True)
    )


@then("all of them are served")
def _(cluster):
    assert Counter(reply.status for reply in cluster.said) == {200: len(cluster.said)}
    sent = {id_: ask.sent for id_, ask in cluster.request_log.requests.items()}
    assert all(
        reply.at - sent[reply.fields["loomstand-request-id"]] < 0.2 for reply in cluster.said
    )


@when("a route is added")
def _(cluster):
    cluster.run(add(cluster))


@then(parsers.parse("within {s:g} s of the acknowledgement it is served at every proxy"))
def _(cluster, s):
    cluster.wait(s)
    cluster.run(at_all(cluster, NEW, 200))


@when("that route is taken away")
def _(cluster):
    del cluster.resources["routes", NEW]
    assert cluster.run(cluster.replace())


@then(parsers.parse("within {s:g} s of the acknowledgement it is answered 404 at every proxy"))
def _(cluster, s):
    cluster.wait(s)
    cluster.run(at_all(cluster, NEW, 404))


@when("the key is exchanged for another")
def _(cluster):
    cluster.tenant("ann", "second-key-of-ann")
    assert cluster.run(cluster.replace())


@then(parsers.parse("within {s:g} s of the acknowledgement only the new key is served"))
def _(cluster, s):
    cluster.wait(s)
    cluster.run(at_all(cluster, "a", 401))
    cluster.run(at_all(cluster, "a", 200, "second-key-of-ann"))


@when("the operator sends a route to an unknown service")
def _(cluster):
    cluster.route("bad", "gamma")
    cluster.said = cluster.run(
        cluster.operator.call("configuration.replace", cluster.body(cluster.version + 5), 3.0)
    )


@then("it is answered 400")
def _(cluster):
    assert cluster.said.status == 400
    cluster.wait(1.0)
    cluster.run(at_all(cluster, "bad", 404))


# --- a server leaves


@when(parsers.re("a server says that it drains and (?P<what>.*)"))
def _(cluster, what):
    server = cluster.servers["alpha"][1]

    async def drain():
        at, core = await server.drain()
        registry, store = cluster.core(core[0])
        if "registry" in what:
            registry.kill()
        elif "power" in what:
            registry.power_off()
            store.power_off()
        elif "cut off" in what:
            cluster.network.partition(
                [core[0]], [ip for ip in (*cluster.core_ips, *cluster.proxies) if ip != core[0]]
            )
        return at

    cluster.leaving, cluster.acked = server.id, cluster.run(drain())
    before = [run for run in cluster.request_log.arrivals if run.server == server.id]
    assert len(before) > 5


@then(parsers.parse("no request reaches that server later than {s:g} s after"))
def _(cluster, s):
    cluster.wait(5.0)
    late = [
        run.at - cluster.acked
        for run in cluster.request_log.arrivals
        if run.server == cluster.leaving
    ]
    assert max(late) < s


@then("hardly any request fails")
def _(cluster):
    said = [reply for flow in cluster.flows for reply in cluster.run(flow)]
    good = sum(reply.status == 200 for reply in said)
    assert len(said) > 300 and good >= 0.985 * len(said), Counter((r.status, r.end) for r in said)


# --- a proxy starts again


@when(parsers.re("a proxy is killed, a route is added, (?P<what>.*) and it starts again"))
def _(cluster, what):
    ip = first(cluster)

    async def again():
        cluster.proxies[ip].kill()
        if "cut off" in what:
            alone = next(core for core in cluster.core_ips if core != cluster.counting_host())
            cluster.network.partition([alone], [core for core in cluster.core_ips if core != alone])
            cluster.operator.cores = [
                (c, port) for c, port in cluster.control_addresses if c != alone
            ]
            others = {
                pair
                for core in cluster.core_ips
                if core != alone
                for pair in ((core, ip), (ip, core))
            }
            cluster.network.blocked_links |= others
            await asyncio.sleep(3.7)  # nobody can know of a cut at once: the store takes 2.5 s
        await add(cluster)
        if "killed" in what:
            for host in (*cluster.stores.values(), *cluster.registries.values()):
                host.kill()
        cluster.proxies[ip].start()
        await asyncio.sleep(0.6)
        if "cut off" in what:
            assert cluster.proxy(
                ip
            ).configuration.table.version < cluster.version and not await cluster.is_ready(ip)
            cluster.network.blocked_links -= others
        if "killed" in what:
            for host in (*cluster.stores.values(), *cluster.registries.values()):
                host.start()

    cluster.run(again())


@then("it has the newest configuration when it is first ready")
def _(cluster):
    proxy = cluster.proxy(first(cluster))
    cluster.run(cluster.wait_until(lambda: proxy.is_ready, 8.0))
    assert proxy.configuration.table.version == cluster.version
    cluster.run(at_all(cluster, NEW, 200, only=first(cluster)))


# --- the core is lost


@when(parsers.re("a route is added and right after it (?P<what>.*)"))
def _(cluster, what):
    stores, registries = [*cluster.stores.values()], [*cluster.registries.values()]
    proxies = [*cluster.proxies.values()] if "proxies" in what else []

    async def lose():
        primary = cluster.counting_host()
        await add(cluster)
        for host in (*stores, *registries, *proxies):
            if "killed" in what:
                host.kill()
            else:
                host.power_off(wipe=host is cluster.stores[primary] and "wiped" in what)
        await asyncio.sleep(0.7)
        for host in (*stores, *registries, *proxies):
            host.start()

    cluster.run(lose())


@then(parsers.parse("every proxy has it within {s:g} s"))
def _(cluster, s):
    cluster.run(all_have(cluster, s))


@then("no proxy went back")
def _(cluster):
    assert not cluster.back.done()


# --- a proxy alone


@when("a proxy is cut off from the core")
def _(cluster):
    cluster.network.partition([first(cluster)], cluster.core_ips)


@when("all of the core loses power")
def _(cluster):
    for host in (*cluster.stores.values(), *cluster.registries.values()):
        host.power_off()


@then(parsers.parse("requests on older routes are served there for {s:d} s"))
def _(cluster, s):
    for _ in range(10 * s):
        cluster.run(at_all(cluster, "once", 200, only=first(cluster)))
        cluster.wait(0.1)


@then(parsers.parse("requests on older routes are served everywhere for {s:d} s"))
def _(cluster, s):
    for _ in range(4 * s):
        cluster.run(at_all(cluster, "once", 200))
        cluster.wait(0.25)


@then("it still lacks the new route")
def _(cluster):
    cluster.run(at_all(cluster, NEW, 404, only=first(cluster)))


@when("the cut is mended")
def _(cluster):
    cluster.network.heal()


@then(parsers.parse("it has the newest configuration within {s:g} s"))
def _(cluster, s):
    cluster.run(all_have(cluster, s))
    cluster.run(at_all(cluster, NEW, 200))


# --- told to stop


@when("a proxy is told to stop")
def _(cluster):
    ip = first(cluster)
    cluster.taken = [cluster.run_in_background(cluster.send_once(at=ip)) for _ in range(2)]
    cluster.wait(0.3)
    cluster.asked = cluster.loop.time()
    cluster.parting = cluster.run_in_background(cluster.proxies[ip].terminate())


@then("its readiness says 503 at once")
def _(cluster):
    cluster.wait(0.01)
    assert not cluster.run(cluster.is_ready(first(cluster)))
    assert not cluster.parting.done()


@then("what it took is answered whole, with Connection: close")
def _(cluster):
    late = [
        cluster.run(cluster.send_once(at=first(cluster)))
    ]  # the platform may not have seen it yet
    for ask, reply in [*[cluster.run(taken) for taken in cluster.taken], *late]:
        assert reply.status == 200, reply
        if reply.at > cluster.asked:
            assert reply.fields["connection"] == "close" and reply.at - ask.sent < 3.3
    cluster.run(asyncio.sleep(0))


@then(parsers.parse("it ends within {s:g} s"))
def _(cluster, s):
    cluster.run(cluster.parting)
    assert cluster.loop.time() - cluster.asked < s
    said = [reply for flow in cluster.flows for reply in cluster.run(flow)]
    assert all(reply.status in (200, 503) for reply in said), Counter(
        (r.status, r.end) for r in said
    )
    refused = [r for r in cluster.request_log.replies.values() if r.status == 0]
    assert all(reply.end == "refused" for reply in refused), refused
    _, reply = cluster.run(cluster.send_once(at=first(cluster)))
    assert reply.end == "refused"


@when("each core machine is told to stop and starts again")
def _(cluster):
    async def roll():
        for ip in cluster.core_ips:
            registry, store = cluster.core(ip)
            await asyncio.gather(registry.terminate(), store.terminate())
            await asyncio.sleep(0.3)
            registry.start()
            store.start()
            await asyncio.sleep(1.0)

    cluster.run(roll())


@then(parsers.parse("a change is acknowledged within {s:g} s"))
def _(cluster, s):
    cluster.route(NEW, "beta")
    assert cluster.run(cluster.replace(s))


@when(parsers.parse("a proxy is frozen, a route is taken away, and it thaws after {s:d} s"))
def _(cluster, s):
    async def freeze():
        await add(cluster)
        await asyncio.sleep(1.0)
        cluster.proxies[first(cluster)].freeze()
        del cluster.resources["routes", NEW]
        assert await cluster.replace()
        await asyncio.sleep(s)
        cluster.proxies[first(cluster)].thaw()

    cluster.run(freeze())


@then(parsers.parse("that route is answered 404 there within {s:g} s"))
def _(cluster, s):
    cluster.wait(s)
    cluster.run(at_all(cluster, NEW, 404, only=first(cluster)))
    assert (first(cluster), FRONT_PORT) in cluster.routed_proxies


# --- random faults


KINDS = ["core", "proxy", "term", "leave", "server", "trouble", "alone", "freeze", "disk", "swap"]


async def _day(cluster: Cluster, rng: Random) -> None:
    await cluster.start()
    acked, flows = cluster.version, []
    for keep in (True, False):
        client = cluster.new_client()
        client.keep_alive = client.chunked = keep
        for method, name, again in (("GET", "a", True), ("POST", "once", False)):
            what = (
                method,
                "town.example",
                f"/{name}/x",
                "key-of-ann",
                b"" if again else b"body" * 50,
            )
            flows.append(
                cluster.run_in_background(
                    cluster.send_requests(client, 15, 20, *what, idempotent=again)
                )
            )
    troubles = Faults(cluster, rng)
    for _ in range(5):
        await troubles.inject(KINDS)
        cluster.route(f"n{cluster.version}", rng.choice([*cluster.servers]))
        if await cluster.replace(6.0):
            acked = cluster.version
        await asyncio.sleep(rng.choice((0.2, 1.0)))
    await asyncio.sleep(6.0)
    said = Counter([reply.status for flow in flows for reply in await flow])
    assert said[200] > 0.95 * sum(said.values()), said
    read = await cluster.operator.read(8.0)
    version = int(json.loads(read)["version"][1:])
    assert version >= acked and read == cluster.versions[version]
    cluster.version = version
    await all_have(cluster, APPLY)
    said = Counter([(await cluster.get(tries=1)).status for _ in range(30)])
    assert said[200] >= 28, said


@pytest.mark.parametrize("seed", range(4))
def test_a_day_of_random_faults_breaks_no_rule(seed):
    cluster = Cluster(seed)
    back = cluster.run_in_background(cluster.check_versions_never_decrease())
    cluster.run(_day(cluster, Random(seed + 100)))
    assert not back.done()
    cluster.close()
