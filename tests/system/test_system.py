"""Tests of whole simulated clusters: the scenarios of `features/system.feature`, random faults."""

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
APPLY_SECONDS = 2.5  # bound on a change reaching every proxy
NEW_ROUTE = "new-route"


@pytest.fixture
def town():
    made = Cluster(7)
    made.rollback = made.behind(made.going_back())
    made.flows = []
    yield made
    made.close()


def first_proxy(town: Cluster) -> str:
    return next(iter(town.proxies))


async def check_statuses(
    town: Cluster, route: str, status: int, key: str = "key-of-ann", only: str = ""
) -> None:
    """Checks the status that each proxy, or the one at `only`, answers on a route."""
    for ip in [only] if only else town.proxies:
        _, reply = await town.once(route, key, ip)
        assert reply.status == status, (ip, reply)


async def wait_for_newest(town: Cluster, within: float) -> float:
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


async def add_route(town: Cluster) -> None:
    town.route(NEW_ROUTE, "alpha", "non_idempotent")
    assert await town.replace()


# --- initial states


@given("a running cluster")
def _(town):
    town.do(town.begin())


@given(parsers.parse("a flow of {rate:d} requests a second"))
def _(town, rate):
    """Half of the requests are not idempotent; half use kept connections, half new ones."""
    for n, keep in enumerate((True, False)):
        client = town.someone()
        client.keep, client.chunked = keep, bool(n)
        for method, name, idempotent in (("GET", "a", True), ("POST", "once", False)):
            request = (
                method,
                "town.example",
                f"/{name}/x",
                "key-of-ann",
                b"" if idempotent else b"body" * 50,
            )
            town.flows.append(
                town.behind(town.flow(client, rate / 4, 8.0, *request, idempotent=idempotent))
            )
    town.wait(1.0)


@given("servers that take 3 s for a request")
def _(town):
    for server in town.servers["alpha"]:
        server.work = (2.9, 3.1)


# --- operation without faults


@then("every proxy is ready")
def _(town):
    for ip in town.proxies:
        assert town.do(town.ready(ip))


@then("every proxy serves requests with an API key and no others")
def _(town):
    town.do(check_statuses(town, "once", 200))
    town.do(check_statuses(town, "b", 200))
    town.do(check_statuses(town, "a", 401, ""))


@then("an unknown route is answered 404 and an unknown API key 401")
def _(town):
    town.do(check_statuses(town, "nowhere", 404))
    town.do(check_statuses(town, "a", 401, "key-of-nobody"))
    assert all(run.tenant == "ann" for run in town.book.runs())


@then("the configuration that is read equals the one that was sent")
def _(town):
    assert town.do(town.operator.read(10.0)) == town.versions[town.version]


@when(parsers.parse("a flow of {rate:d} requests a second lasts {s:d} s"))
def _(town, rate, s):
    request = ("GET", "town.example", "/b/x", "key-of-ann")
    town.replies = town.do(town.flow(town.client, rate, s, *request, idempotent=True))


@then("all of these requests are served")
def _(town):
    assert Counter(reply.status for reply in town.replies) == {200: len(town.replies)}
    sent = {id_: ask.sent for id_, ask in town.book.asks.items()}
    assert all(
        reply.at - sent[reply.fields["loomstand-request-id"]] < 0.2 for reply in town.replies
    )


@when("a route is added")
def _(town):
    town.do(add_route(town))


@then(parsers.parse("within {s:g} s of the acknowledgement every proxy serves it"))
def _(town, s):
    town.wait(s)
    town.do(check_statuses(town, NEW_ROUTE, 200))


@when("that route is removed")
def _(town):
    del town.resources["routes", NEW_ROUTE]
    assert town.do(town.replace())


@then(parsers.parse("within {s:g} s of the acknowledgement every proxy answers it with 404"))
def _(town, s):
    town.wait(s)
    town.do(check_statuses(town, NEW_ROUTE, 404))


@when("the API key is replaced")
def _(town):
    town.tenant("ann", "second-key-of-ann")
    assert town.do(town.replace())


@then(parsers.parse("within {s:g} s of the acknowledgement only the new API key is served"))
def _(town, s):
    town.wait(s)
    town.do(check_statuses(town, "a", 401))
    town.do(check_statuses(town, "a", 200, "second-key-of-ann"))


@when("the operator sends a route to an unknown service")
def _(town):
    town.route("bad", "gamma")
    town.response = town.do(
        town.operator.call("configuration.replace", town.body(town.version + 5), 3.0)
    )


@then("the change is answered 400")
def _(town):
    assert town.response.status == 400
    town.wait(1.0)
    town.do(check_statuses(town, "bad", 404))


# --- a server drains


@when(parsers.re("a server starts to drain and (?P<event>.*)"))
def _(town, event):
    server = town.servers["alpha"][1]

    async def drain():
        at, core = await server.drain()
        registry, store = town.core(core[0])
        if "registry" in event:
            registry.kill()
        elif "power" in event:
            registry.power_off()
            store.power_off()
        elif "partitioned" in event:
            town.sky.apart(
                [core[0]], [ip for ip in (*town.core_ips, *town.proxies) if ip != core[0]]
            )
        return at

    town.draining_server, town.acknowledged_at = server.id, town.do(drain())
    earlier = [run for run in town.book.arrivals if run.server == server.id]
    assert len(earlier) > 5


@then(parsers.parse("no request reaches that server later than {s:g} s after the acknowledgement"))
def _(town, s):
    town.wait(5.0)
    delays = [
        run.at - town.acknowledged_at
        for run in town.book.arrivals
        if run.server == town.draining_server
    ]
    assert max(delays) < s


@then("at least 98.5 % of the requests succeed")
def _(town):
    replies = [reply for flow in town.flows for reply in town.do(flow)]
    succeeded = sum(reply.status == 200 for reply in replies)
    assert len(replies) > 300 and succeeded >= 0.985 * len(replies), Counter(
        (r.status, r.end) for r in replies
    )


# --- a proxy restarts


@when(parsers.re("a proxy is killed, a route is added, (?P<event>.*) and it restarts"))
def _(town, event):
    ip = first_proxy(town)

    async def restart():
        town.proxies[ip].kill()
        if "partitioned" in event:
            isolated = next(core for core in town.core_ips if core != town.counting())
            town.sky.apart([isolated], [core for core in town.core_ips if core != isolated])
            town.operator.cores = [(c, port) for c, port in town.controls if c != isolated]
            cut_links = {
                pair
                for core in town.core_ips
                if core != isolated
                for pair in ((core, ip), (ip, core))
            }
            town.sky.cuts |= cut_links
            await asyncio.sleep(3.7)  # the store detects a partition after 2.5 s
        await add_route(town)
        if "killed" in event:
            for host in (*town.stores.values(), *town.registries.values()):
                host.kill()
        town.proxies[ip].start()
        await asyncio.sleep(0.6)
        if "partitioned" in event:
            assert town.proxy(
                ip
            ).configuration.table.version < town.version and not await town.ready(ip)
            town.sky.cuts -= cut_links
        if "killed" in event:
            for host in (*town.stores.values(), *town.registries.values()):
                host.start()

    town.do(restart())


@then("it has the newest configuration when it becomes ready")
def _(town):
    proxy = town.proxy(first_proxy(town))
    town.do(town.until(lambda: proxy.is_ready, 8.0))
    assert proxy.configuration.table.version == town.version
    town.do(check_statuses(town, NEW_ROUTE, 200, only=first_proxy(town)))


# --- the core is lost


@when(parsers.re("a route is added and right after it (?P<event>.*)"))
def _(town, event):
    stores, registries = [*town.stores.values()], [*town.registries.values()]
    proxies = [*town.proxies.values()] if "proxies" in event else []

    async def lose_core():
        primary = town.counting()
        await add_route(town)
        for host in (*stores, *registries, *proxies):
            if "killed" in event:
                host.kill()
            else:
                host.power_off(wipe=host is town.stores[primary] and "wiped" in event)
        await asyncio.sleep(0.7)
        for host in (*stores, *registries, *proxies):
            host.start()

    town.do(lose_core())


@then(parsers.parse("every proxy has the configuration within {s:g} s"))
def _(town, s):
    town.do(wait_for_newest(town, s))


@then("no proxy went back to an older configuration")
def _(town):
    assert not town.rollback.done()


# --- a partitioned proxy


@when("a proxy is partitioned from the core")
def _(town):
    town.sky.apart([first_proxy(town)], town.core_ips)


@when("all of the core loses power")
def _(town):
    for host in (*town.stores.values(), *town.registries.values()):
        host.power_off()


@then(parsers.parse("it serves requests on older routes for {s:d} s"))
def _(town, s):
    for _ in range(10 * s):
        town.do(check_statuses(town, "once", 200, only=first_proxy(town)))
        town.wait(0.1)


@then(parsers.parse("every proxy serves requests on older routes for {s:d} s"))
def _(town, s):
    for _ in range(4 * s):
        town.do(check_statuses(town, "once", 200))
        town.wait(0.25)


@then("it does not have the new route")
def _(town):
    town.do(check_statuses(town, NEW_ROUTE, 404, only=first_proxy(town)))


@when("the partition is healed")
def _(town):
    town.sky.mend()


@then(parsers.parse("it has the newest configuration within {s:g} s"))
def _(town, s):
    town.do(wait_for_newest(town, s))
    town.do(check_statuses(town, NEW_ROUTE, 200))


# --- stops and restarts


@when("a proxy gets SIGTERM")
def _(town):
    ip = first_proxy(town)
    town.accepted = [town.behind(town.once(at=ip)) for _ in range(2)]
    town.wait(0.3)
    town.stop_requested_at = town.loop.time()
    town.stop_task = town.behind(town.proxies[ip].end())


@then("its readiness answers 503 at once")
def _(town):
    town.wait(0.01)
    assert not town.do(town.ready(first_proxy(town)))
    assert not town.stop_task.done()


@then("the requests it has accepted are answered completely, with Connection: close")
def _(town):
    late = [
        town.do(town.once(at=first_proxy(town)))
    ]  # a request sent before the platform has seen the 503
    for request, reply in [*[town.do(accepted) for accepted in town.accepted], *late]:
        assert reply.status == 200, reply
        if reply.at > town.stop_requested_at:
            assert reply.fields["connection"] == "close" and reply.at - request.sent < 3.3
    town.do(asyncio.sleep(0))


@then(parsers.parse("its process ends within {s:g} s"))
def _(town, s):
    town.do(town.stop_task)
    assert town.loop.time() - town.stop_requested_at < s
    replies = [reply for flow in town.flows for reply in town.do(flow)]
    assert all(reply.status in (200, 503) for reply in replies), Counter(
        (r.status, r.end) for r in replies
    )
    refused = [r for r in town.book.replies.values() if r.status == 0]
    assert all(reply.end == "refused" for reply in refused), refused
    _, reply = town.do(town.once(at=first_proxy(town)))
    assert reply.end == "refused"


@when("each core machine is stopped and restarted in turn")
def _(town):
    async def restart_core():
        for ip in town.core_ips:
            registry, store = town.core(ip)
            await asyncio.gather(registry.end(), store.end())
            await asyncio.sleep(0.3)
            registry.start()
            store.start()
            await asyncio.sleep(1.0)

    town.do(restart_core())


@then(parsers.parse("a change is acknowledged within {s:g} s"))
def _(town, s):
    town.route(NEW_ROUTE, "beta")
    assert town.do(town.replace(s))


@when(parsers.parse("a proxy is suspended, a route is removed, and it is resumed after {s:d} s"))
def _(town, s):
    async def suspend_and_resume():
        await add_route(town)
        await asyncio.sleep(1.0)
        town.proxies[first_proxy(town)].freeze()
        del town.resources["routes", NEW_ROUTE]
        assert await town.replace()
        await asyncio.sleep(s)
        town.proxies[first_proxy(town)].thaw()

    town.do(suspend_and_resume())


@then(parsers.parse("it answers 404 on that route within {s:g} s"))
def _(town, s):
    town.wait(s)
    town.do(check_statuses(town, NEW_ROUTE, 404, only=first_proxy(town)))
    assert (first_proxy(town), FRONT) in town.inside


# --- random faults


KINDS = ["core", "proxy", "term", "leave", "server", "trouble", "alone", "freeze", "disk", "swap"]


async def _run_random_faults(town: Cluster, rng: Random) -> None:
    await town.begin()
    acked, flows = town.version, []
    for keep in (True, False):
        client = town.someone()
        client.keep = client.chunked = keep
        for method, name, idempotent in (("GET", "a", True), ("POST", "once", False)):
            request = (
                method,
                "town.example",
                f"/{name}/x",
                "key-of-ann",
                b"" if idempotent else b"body" * 50,
            )
            flows.append(town.behind(town.flow(client, 15, 20, *request, idempotent=idempotent)))
    faults = Faults(town, rng)
    for _ in range(5):
        await faults.one(KINDS)
        town.route(f"n{town.version}", rng.choice([*town.servers]))
        if await town.replace(6.0):
            acked = town.version
        await asyncio.sleep(rng.choice((0.2, 1.0)))
    await asyncio.sleep(6.0)
    statuses = Counter([reply.status for flow in flows for reply in await flow])
    assert statuses[200] > 0.95 * sum(statuses.values()), statuses
    read = await town.operator.read(8.0)
    version = int(json.loads(read)["version"][1:])
    assert version >= acked and read == town.versions[version]
    town.version = version
    await wait_for_newest(town, APPLY_SECONDS)
    statuses = Counter([(await town.get(tries=1)).status for _ in range(30)])
    assert statuses[200] >= 28, statuses


@pytest.mark.parametrize("seed", range(4))
def test_random_faults_break_no_rule(seed):
    town = Cluster(seed)
    rollback = town.behind(town.going_back())
    town.do(_run_random_faults(town, Random(seed + 100)))
    assert not rollback.done()
    town.close()
