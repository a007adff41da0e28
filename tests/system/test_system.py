"""RegistryService clusters in simulated simulation: the stories of `features/system.feature`."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from random import Random

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from loomstand.testing.simulation.cluster import FRONT, Cluster
from loomstand.testing.simulation.faults import Faults

scenarios("../features/system.feature")
APPLY = 2.5  # s: the rule's bound
NEW = "new-route"


@pytest.fixture
def town():
    made = Cluster(7)
    made.back = made.behind(made.going_back())
    made.flows = []
    yield made
    made.close()


def first(town: Cluster) -> str:
    return next(iter(town.proxies))


async def at_all(
    town: Cluster, name: str, wanted: int, key: str = "key-of-ann", only: str = ""
) -> None:
    """What each proxy answers on a route."""
    for ip in [only] if only else town.proxies:
        _, reply = await town.once(name, key, ip)
        assert reply.status == wanted, (ip, reply)


async def all_have(town: Cluster, within: float) -> float:
    newest = town.version
    return await town.until(
        lambda: (
            len(town.all_proxies()) == len(town.proxies)
            and all(
                s.configuration.table is not None and s.configuration.table.version == newest
                for s in town.all_proxies()
            )
        ),
        within,
    )


async def add(town: Cluster) -> None:
    town.route(NEW, "alpha", "non_idempotent")
    assert await town.replace()


# --- beginnings


@given("a town at work")
def _(town):
    town.do(town.begin())


@given(parsers.parse("a flow of {rate:d} requests a second"))
def _(town, rate):
    """Of which some can't be repeated, on kept connections and on new ones."""
    for n, keep in enumerate((True, False)):
        client = town.someone()
        client.keep, client.chunked = keep, bool(n)
        for method, name, again in (("GET", "a", True), ("POST", "once", False)):
            what = (
                method,
                "town.example",
                f"/{name}/x",
                "key-of-ann",
                b"" if again else b"body" * 50,
            )
            town.flows.append(
                town.behind(town.flow(client, rate / 4, 8.0, *what, idempotent=again))
            )
    town.wait(1.0)


@given("servers that take 3 s")
def _(town):
    for server in town.servers["alpha"]:
        server.work = (2.9, 3.1)


# --- a calm day


@then("every proxy is ready")
def _(town):
    for ip in town.proxies:
        assert town.do(town.ready(ip))


@then("every proxy serves requests with a key and no others")
def _(town):
    town.do(at_all(town, "once", 200))
    town.do(at_all(town, "b", 200))
    town.do(at_all(town, "a", 401, ""))


@then("a route that is unknown is answered 404 and a key that is unknown 401")
def _(town):
    town.do(at_all(town, "nowhere", 404))
    town.do(at_all(town, "a", 401, "key-of-nobody"))
    assert all(run.tenant == "ann" for run in town.book.runs())


@then("the configuration is read back as it was sent")
def _(town):
    assert town.do(town.operator.read(10.0)) == town.versions[town.version]


@when(parsers.parse("a flow of {rate:d} requests a second lasts {s:d} s"))
def _(town, rate, s):
    what = ("GET", "town.example", "/b/x", "key-of-ann")
    town.said = town.do(town.flow(town.client, rate, s, *what, idempotent=True))


@then("all of them are served")
def _(town):
    assert Counter(reply.status for reply in town.said) == {200: len(town.said)}
    sent = {id_: ask.sent for id_, ask in town.book.asks.items()}
    assert all(reply.at - sent[reply.fields["loomstand-request-id"]] < 0.2 for reply in town.said)


@when("a route is added")
def _(town):
    town.do(add(town))


@then(parsers.parse("within {s:g} s of the acknowledgement it is served at every proxy"))
def _(town, s):
    town.wait(s)
    town.do(at_all(town, NEW, 200))


@when("that route is taken away")
def _(town):
    del town.resources["routes", NEW]
    assert town.do(town.replace())


@then(parsers.parse("within {s:g} s of the acknowledgement it is answered 404 at every proxy"))
def _(town, s):
    town.wait(s)
    town.do(at_all(town, NEW, 404))


@when("the key is exchanged for another")
def _(town):
    town.tenant("ann", "second-key-of-ann")
    assert town.do(town.replace())


@then(parsers.parse("within {s:g} s of the acknowledgement only the new key is served"))
def _(town, s):
    town.wait(s)
    town.do(at_all(town, "a", 401))
    town.do(at_all(town, "a", 200, "second-key-of-ann"))


@when("the operator sends a route to an unknown service")
def _(town):
    town.route("bad", "gamma")
    town.said = town.do(
        town.operator.call("configuration.replace", town.body(town.version + 5), 3.0)
    )


@then("it is answered 400")
def _(town):
    assert town.said.status == 400
    town.wait(1.0)
    town.do(at_all(town, "bad", 404))


# --- a server leaves


@when(parsers.re("a server says that it drains and (?P<what>.*)"))
def _(town, what):
    server = town.servers["alpha"][1]

    async def drain():
        at, core = await server.drain()
        registry, store = town.core(core[0])
        if "registry" in what:
            registry.kill()
        elif "power" in what:
            registry.power_off()
            store.power_off()
        elif "cut off" in what:
            town.sky.apart(
                [core[0]], [ip for ip in (*town.core_ips, *town.proxies) if ip != core[0]]
            )
        return at

    town.leaving, town.acked = server.id, town.do(drain())
    before = [run for run in town.book.arrivals if run.server == server.id]
    assert len(before) > 5


@then(parsers.parse("no request reaches that server later than {s:g} s after"))
def _(town, s):
    town.wait(5.0)
    late = [run.at - town.acked for run in town.book.arrivals if run.server == town.leaving]
    assert max(late) < s


@then("hardly any request fails")
def _(town):
    said = [reply for flow in town.flows for reply in town.do(flow)]
    good = sum(reply.status == 200 for reply in said)
    assert len(said) > 300 and good >= 0.985 * len(said), Counter((r.status, r.end) for r in said)


# --- a proxy starts again


@when(parsers.re("a proxy is killed, a route is added, (?P<what>.*) and it starts again"))
def _(town, what):
    ip = first(town)

    async def again():
        town.proxies[ip].kill()
        if "cut off" in what:
            alone = next(core for core in town.core_ips if core != town.counting())
            town.sky.apart([alone], [core for core in town.core_ips if core != alone])
            town.operator.cores = [(c, port) for c, port in town.controls if c != alone]
            others = {
                pair for core in town.core_ips if core != alone for pair in ((core, ip), (ip, core))
            }
            town.sky.cuts |= others
            await asyncio.sleep(3.7)  # nobody can know of a cut at once: the store takes 2.5 s
        await add(town)
        if "killed" in what:
            for host in (*town.stores.values(), *town.registries.values()):
                host.kill()
        town.proxies[ip].start()
        await asyncio.sleep(0.6)
        if "cut off" in what:
            assert town.proxy(
                ip
            ).configuration.table.version < town.version and not await town.ready(ip)
            town.sky.cuts -= others
        if "killed" in what:
            for host in (*town.stores.values(), *town.registries.values()):
                host.start()

    town.do(again())


@then("it has the newest configuration when it is first ready")
def _(town):
    proxy = town.proxy(first(town))
    town.do(town.until(lambda: proxy.is_ready, 8.0))
    assert proxy.configuration.table.version == town.version
    town.do(at_all(town, NEW, 200, only=first(town)))


# --- the core is lost


@when(parsers.re("a route is added and right after it (?P<what>.*)"))
def _(town, what):
    stores, registries = [*town.stores.values()], [*town.registries.values()]
    proxies = [*town.proxies.values()] if "proxies" in what else []

    async def lose():
        primary = town.counting()
        await add(town)
        for host in (*stores, *registries, *proxies):
            if "killed" in what:
                host.kill()
            else:
                host.power_off(wipe=host is town.stores[primary] and "wiped" in what)
        await asyncio.sleep(0.7)
        for host in (*stores, *registries, *proxies):
            host.start()

    town.do(lose())


@then(parsers.parse("every proxy has it within {s:g} s"))
def _(town, s):
    town.do(all_have(town, s))


@then("no proxy went back")
def _(town):
    assert not town.back.done()


# --- a proxy alone


@when("a proxy is cut off from the core")
def _(town):
    town.sky.apart([first(town)], town.core_ips)


@when("all of the core loses power")
def _(town):
    for host in (*town.stores.values(), *town.registries.values()):
        host.power_off()


@then(parsers.parse("requests on older routes are served there for {s:d} s"))
def _(town, s):
    for _ in range(10 * s):
        town.do(at_all(town, "once", 200, only=first(town)))
        town.wait(0.1)


@then(parsers.parse("requests on older routes are served everywhere for {s:d} s"))
def _(town, s):
    for _ in range(4 * s):
        town.do(at_all(town, "once", 200))
        town.wait(0.25)


@then("it still lacks the new route")
def _(town):
    town.do(at_all(town, NEW, 404, only=first(town)))


@when("the cut is mended")
def _(town):
    town.sky.mend()


@then(parsers.parse("it has the newest configuration within {s:g} s"))
def _(town, s):
    town.do(all_have(town, s))
    town.do(at_all(town, NEW, 200))


# --- told to stop


@when("a proxy is told to stop")
def _(town):
    ip = first(town)
    town.taken = [town.behind(town.once(at=ip)) for _ in range(2)]
    town.wait(0.3)
    town.asked = town.loop.time()
    town.parting = town.behind(town.proxies[ip].end())


@then("its readiness says 503 at once")
def _(town):
    town.wait(0.01)
    assert not town.do(town.ready(first(town)))
    assert not town.parting.done()


@then("what it took is answered whole, with Connection: close")
def _(town):
    late = [town.do(town.once(at=first(town)))]  # the platform may not have seen it yet
    for ask, reply in [*[town.do(taken) for taken in town.taken], *late]:
        assert reply.status == 200, reply
        if reply.at > town.asked:
            assert reply.fields["connection"] == "close" and reply.at - ask.sent < 3.3
    town.do(asyncio.sleep(0))


@then(parsers.parse("it ends within {s:g} s"))
def _(town, s):
    town.do(town.parting)
    assert town.loop.time() - town.asked < s
    said = [reply for flow in town.flows for reply in town.do(flow)]
    assert all(reply.status in (200, 503) for reply in said), Counter(
        (r.status, r.end) for r in said
    )
    refused = [r for r in town.book.replies.values() if r.status == 0]
    assert all(reply.end == "refused" for reply in refused), refused
    _, reply = town.do(town.once(at=first(town)))
    assert reply.end == "refused"


@when("each core machine is told to stop and starts again")
def _(town):
    async def roll():
        for ip in town.core_ips:
            registry, store = town.core(ip)
            await asyncio.gather(registry.end(), store.end())
            await asyncio.sleep(0.3)
            registry.start()
            store.start()
            await asyncio.sleep(1.0)

    town.do(roll())


@then(parsers.parse("a change is acknowledged within {s:g} s"))
def _(town, s):
    town.route(NEW, "beta")
    assert town.do(town.replace(s))


@when(parsers.parse("a proxy is frozen, a route is taken away, and it thaws after {s:d} s"))
def _(town, s):
    async def freeze():
        await add(town)
        await asyncio.sleep(1.0)
        town.proxies[first(town)].freeze()
        del town.resources["routes", NEW]
        assert await town.replace()
        await asyncio.sleep(s)
        town.proxies[first(town)].thaw()

    town.do(freeze())


@then(parsers.parse("that route is answered 404 there within {s:g} s"))
def _(town, s):
    town.wait(s)
    town.do(at_all(town, NEW, 404, only=first(town)))
    assert (first(town), FRONT) in town.inside


# --- random faults


KINDS = ["core", "proxy", "term", "leave", "server", "trouble", "alone", "freeze", "disk", "swap"]


async def _day(town: Cluster, rng: Random) -> None:
    await town.begin()
    acked, flows = town.version, []
    for keep in (True, False):
        client = town.someone()
        client.keep = client.chunked = keep
        for method, name, again in (("GET", "a", True), ("POST", "once", False)):
            what = (
                method,
                "town.example",
                f"/{name}/x",
                "key-of-ann",
                b"" if again else b"body" * 50,
            )
            flows.append(town.behind(town.flow(client, 15, 20, *what, idempotent=again)))
    troubles = Faults(town, rng)
    for _ in range(5):
        await troubles.one(KINDS)
        town.route(f"n{town.version}", rng.choice([*town.servers]))
        if await town.replace(6.0):
            acked = town.version
        await asyncio.sleep(rng.choice((0.2, 1.0)))
    await asyncio.sleep(6.0)
    said = Counter([reply.status for flow in flows for reply in await flow])
    assert said[200] > 0.95 * sum(said.values()), said
    read = await town.operator.read(8.0)
    version = int(json.loads(read)["version"][1:])
    assert version >= acked and read == town.versions[version]
    town.version = version
    await all_have(town, APPLY)
    said = Counter([(await town.get(tries=1)).status for _ in range(30)])
    assert said[200] >= 28, said


@pytest.mark.parametrize("seed", range(4))
def test_a_day_of_random_faults_breaks_no_rule(seed):
    town = Cluster(seed)
    back = town.behind(town.going_back())
    town.do(_day(town, Random(seed + 100)))
    assert not back.done()
    town.close()
