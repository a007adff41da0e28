"""Tests of whole simulated clusters: `features/system.feature`, and random faults."""

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
APPLY_SECONDS = 2.5  # bound on a change reaching every proxy
NEW_ROUTE = "new-route"


@pytest.fixture
def cluster():
    made = Cluster(7)
    made.rollback = made.run_in_background(made.check_versions_never_decrease())
    made.flows = []
    yield made
    made.close()


def first_proxy(cluster: Cluster) -> str:
    return next(iter(cluster.proxies))


async def check_statuses(
    cluster: Cluster, route: str, status: int, key: str = "key-of-ann", proxy_ip: str = ""
) -> None:
    """Checks the status of a response on a route by each proxy, or by the one at `proxy_ip`."""
    for ip in [proxy_ip] if proxy_ip else cluster.proxies:
        _, reply = await cluster.send_once(route, key, ip)
        assert reply.status == status, (ip, reply)


async def wait_for_newest(cluster: Cluster, timeout_seconds: float) -> float:
    """Returns the seconds until all proxies run with the newest configuration."""
    newest = cluster.version
    return await cluster.wait_until(
        lambda: (
            len(cluster.running_proxies()) == len(cluster.proxies)
            and all(
                proxy.configuration.table is not None
                and proxy.configuration.table.version == newest
                for proxy in cluster.running_proxies()
            )
        ),
        timeout_seconds,
    )


async def add_route(cluster: Cluster) -> None:
    cluster.route(NEW_ROUTE, "alpha", "non_idempotent")
    assert await cluster.replace()


# --- initial states


@given("a running cluster")
def _(cluster):
    cluster.run(cluster.start())


@given(parsers.parse("a flow of {rate:d} requests a second"))
def _(cluster, rate):
    """Half of the requests are not idempotent; half use persistent connections, half new ones."""
    for n, keep in enumerate((True, False)):
        client = cluster.new_client()
        client.keep_alive, client.chunked = keep, bool(n)
        for method, name, idempotent in (("GET", "a", True), ("POST", "once", False)):
            request = (
                method,
                "town.example",
                f"/{name}/x",
                "key-of-ann",
                b"" if idempotent else b"body" * 50,
            )
            cluster.flows.append(
                cluster.run_in_background(
                    cluster.send_requests(client, rate / 4, 8.0, *request, idempotent=idempotent)
                )
            )
    cluster.wait(1.0)


@given("servers that take 3 s for a request")
def _(cluster):
    for server in cluster.servers["alpha"]:
        server.work_seconds = (2.9, 3.1)


# --- operation without faults


@then("every proxy is ready")
def _(cluster):
    for ip in cluster.proxies:
        assert cluster.run(cluster.is_ready(ip))


@then("every proxy serves requests with an API key and no others")
def _(cluster):
    cluster.run(check_statuses(cluster, "once", 200))
    cluster.run(check_statuses(cluster, "b", 200))
    cluster.run(check_statuses(cluster, "a", 401, ""))


@then("an unknown route is answered 404 and an unknown API key 401")
def _(cluster):
    cluster.run(check_statuses(cluster, "nowhere", 404))
    cluster.run(check_statuses(cluster, "a", 401, "key-of-nobody"))
    assert all(run.tenant == "ann" for run in cluster.request_log.runs())


@then("the configuration that is read equals the one that was sent")
def _(cluster):
    assert cluster.run(cluster.operator.read(10.0)) == cluster.versions[cluster.version]


@when(parsers.parse("a flow of {rate:d} requests a second lasts {seconds:d} s"))
def _(cluster, rate, seconds):
    request = ("GET", "town.example", "/b/x", "key-of-ann")
    cluster.replies = cluster.run(
        cluster.send_requests(cluster.client, rate, seconds, *request, idempotent=True)
    )


@then("all of these requests are served")
def _(cluster):
    assert Counter(reply.status for reply in cluster.replies) == {200: len(cluster.replies)}
    sent = {id_: request.sent for id_, request in cluster.request_log.requests.items()}
    assert all(
        reply.at - sent[reply.fields["loomstand-request-id"]] < 0.2 for reply in cluster.replies
    )


@when("a route is added")
def _(cluster):
    cluster.run(add_route(cluster))


@then(parsers.parse("within {seconds:g} s of the acknowledgement every proxy serves it"))
def _(cluster, seconds):
    cluster.wait(seconds)
    cluster.run(check_statuses(cluster, NEW_ROUTE, 200))


@when("that route is removed")
def _(cluster):
    del cluster.resources["routes", NEW_ROUTE]
    assert cluster.run(cluster.replace())


@then(parsers.parse("within {seconds:g} s of the acknowledgement every proxy answers it with 404"))
def _(cluster, seconds):
    cluster.wait(seconds)
    cluster.run(check_statuses(cluster, NEW_ROUTE, 404))


@when("the API key is replaced")
def _(cluster):
    cluster.tenant("ann", "second-key-of-ann")
    assert cluster.run(cluster.replace())


@then(parsers.parse("within {seconds:g} s of the acknowledgement only the new API key is served"))
def _(cluster, seconds):
    cluster.wait(seconds)
    cluster.run(check_statuses(cluster, "a", 401))
    cluster.run(check_statuses(cluster, "a", 200, "second-key-of-ann"))


@when("the operator sends a route to an unknown service")
def _(cluster):
    cluster.route("bad", "gamma")
    cluster.response = cluster.run(
        cluster.operator.call("configuration.replace", cluster.body(cluster.version + 5), 3.0)
    )


@then("the change is answered 400")
def _(cluster):
    assert cluster.response.status == 400
    cluster.wait(1.0)
    cluster.run(check_statuses(cluster, "bad", 404))


# --- a server drains


@when(parsers.re("a server starts to drain and (?P<event>.*)"))
def _(cluster, event):
    server = cluster.servers["alpha"][1]

    async def drain():
        at, core = await server.drain()
        registry, store = cluster.core(core[0])
        if "registry" in event:
            registry.kill()
        elif "power" in event:
            registry.power_off()
            store.power_off()
        elif "partitioned" in event:
            cluster.network.partition(
                [core[0]], [ip for ip in (*cluster.core_ips, *cluster.proxies) if ip != core[0]]
            )
        return at

    cluster.draining_server, cluster.acknowledged_at = server.id, cluster.run(drain())
    earlier = [run for run in cluster.request_log.arrivals if run.server == server.id]
    assert len(earlier) > 5


@then(
    parsers.parse(
        "no request reaches that server later than {seconds:g} s after the acknowledgement"
    )
)
def _(cluster, seconds):
    cluster.wait(5.0)
    delays = [
        run.at - cluster.acknowledged_at
        for run in cluster.request_log.arrivals
        if run.server == cluster.draining_server
    ]
    assert max(delays) < seconds


@then("at least 98.5 % of the requests succeed")
def _(cluster):
    replies = [reply for flow in cluster.flows for reply in cluster.run(flow)]
    succeeded = sum(reply.status == 200 for reply in replies)
    assert len(replies) > 300 and succeeded >= 0.985 * len(replies), Counter(
        (r.status, r.end) for r in replies
    )


# --- a proxy restarts


@when(parsers.re("a proxy is killed, a route is added, (?P<event>.*) and it restarts"))
def _(cluster, event):
    ip = first_proxy(cluster)

    async def restart():
        cluster.proxies[ip].kill()
        if "partitioned" in event:
            isolated = next(core for core in cluster.core_ips if core != cluster.counting_host())
            cluster.network.partition(
                [isolated], [core for core in cluster.core_ips if core != isolated]
            )
            cluster.operator.cores = [
                (c, port) for c, port in cluster.control_addresses if c != isolated
            ]
            cut_links = {
                pair
                for core in cluster.core_ips
                if core != isolated
                for pair in ((core, ip), (ip, core))
            }
            cluster.network.blocked_links |= cut_links
            await asyncio.sleep(3.7)  # the store detects a partition after 2.5 s
        await add_route(cluster)
        if "killed" in event:
            for host in (*cluster.stores.values(), *cluster.registries.values()):
                host.kill()
        cluster.proxies[ip].start()
        await asyncio.sleep(0.6)
        if "partitioned" in event:
            assert cluster.proxy(
                ip
            ).configuration.table.version < cluster.version and not await cluster.is_ready(ip)
            cluster.network.blocked_links -= cut_links
        if "killed" in event:
            for host in (*cluster.stores.values(), *cluster.registries.values()):
                host.start()

    cluster.run(restart())


@then("it has the newest configuration when it becomes ready")
def _(cluster):
    proxy = cluster.proxy(first_proxy(cluster))
    cluster.run(cluster.wait_until(lambda: proxy.is_ready, 8.0))
    assert proxy.configuration.table.version == cluster.version
    cluster.run(check_statuses(cluster, NEW_ROUTE, 200, proxy_ip=first_proxy(cluster)))


# --- the core is lost


@when(parsers.re("a route is added and right after it (?P<event>.*)"))
def _(cluster, event):
    stores, registries = [*cluster.stores.values()], [*cluster.registries.values()]
    proxies = [*cluster.proxies.values()] if "proxies" in event else []

    async def lose_core():
        primary = cluster.counting_host()
        await add_route(cluster)
        for host in (*stores, *registries, *proxies):
            if "killed" in event:
                host.kill()
            else:
                host.power_off(wipe=host is cluster.stores[primary] and "wiped" in event)
        await asyncio.sleep(0.7)
        for host in (*stores, *registries, *proxies):
            host.start()

    cluster.run(lose_core())


@then(parsers.parse("every proxy has the configuration within {seconds:g} s"))
def _(cluster, seconds):
    cluster.run(wait_for_newest(cluster, seconds))


@then("no proxy went back to an older configuration")
def _(cluster):
    assert not cluster.rollback.done()


# --- a partitioned proxy


@when("a proxy is partitioned from the core")
def _(cluster):
    cluster.network.partition([first_proxy(cluster)], cluster.core_ips)


@when("all of the core loses power")
def _(cluster):
    for host in (*cluster.stores.values(), *cluster.registries.values()):
        host.power_off()


@then(parsers.parse("it serves requests on older routes for {seconds:d} s"))
def _(cluster, seconds):
    for _ in range(10 * seconds):
        cluster.run(check_statuses(cluster, "once", 200, proxy_ip=first_proxy(cluster)))
        cluster.wait(0.1)


@then(parsers.parse("every proxy serves requests on older routes for {seconds:d} s"))
def _(cluster, seconds):
    for _ in range(4 * seconds):
        cluster.run(check_statuses(cluster, "once", 200))
        cluster.wait(0.25)


@then("it does not have the new route")
def _(cluster):
    cluster.run(check_statuses(cluster, NEW_ROUTE, 404, proxy_ip=first_proxy(cluster)))


@when("the partition is healed")
def _(cluster):
    cluster.network.heal()


@then(parsers.parse("it has the newest configuration within {seconds:g} s"))
def _(cluster, seconds):
    cluster.run(wait_for_newest(cluster, seconds))
    cluster.run(check_statuses(cluster, NEW_ROUTE, 200))


# --- stops and restarts


@when("a proxy gets SIGTERM")
def _(cluster):
    ip = first_proxy(cluster)
    cluster.accepted = [cluster.run_in_background(cluster.send_once(at=ip)) for _ in range(2)]
    cluster.wait(0.3)
    cluster.stop_requested_at = cluster.loop.time()
    cluster.stop_task = cluster.run_in_background(cluster.proxies[ip].terminate())


@then("its readiness answers 503 at once")
def _(cluster):
    cluster.wait(0.01)
    assert not cluster.run(cluster.is_ready(first_proxy(cluster)))
    assert not cluster.stop_task.done()


@then("the requests it has accepted are answered completely, with Connection: close")
def _(cluster):
    # as a client does before the platform has seen the 503
    late = cluster.run(cluster.send_once(at=first_proxy(cluster)))
    for request, reply in [*[cluster.run(accepted) for accepted in cluster.accepted], late]:
        assert reply.status == 200, reply
        if reply.at > cluster.stop_requested_at:
            assert reply.fields["connection"] == "close" and reply.at - request.sent < 3.3
    cluster.run(asyncio.sleep(0))


@then(parsers.parse("its process ends within {seconds:g} s"))
def _(cluster, seconds):
    cluster.run(cluster.stop_task)
    assert cluster.loop.time() - cluster.stop_requested_at < seconds
    replies = [reply for flow in cluster.flows for reply in cluster.run(flow)]
    assert all(reply.status in (200, 503) for reply in replies), Counter(
        (r.status, r.end) for r in replies
    )
    refused = [r for r in cluster.request_log.replies.values() if r.status == 0]
    assert all(reply.end == "refused" for reply in refused), refused
    _, reply = cluster.run(cluster.send_once(at=first_proxy(cluster)))
    assert reply.end == "refused"


@when("each core machine is stopped and restarted in turn")
def _(cluster):
    async def restart_core():
        for ip in cluster.core_ips:
            registry, store = cluster.core(ip)
            await asyncio.gather(registry.terminate(), store.terminate())
            await asyncio.sleep(0.3)
            registry.start()
            store.start()
            await asyncio.sleep(1.0)

    cluster.run(restart_core())


@then(parsers.parse("a change is acknowledged within {seconds:g} s"))
def _(cluster, seconds):
    cluster.route(NEW_ROUTE, "beta")
    assert cluster.run(cluster.replace(seconds))


@when(
    parsers.parse("a proxy is suspended, a route is removed, and it is resumed after {seconds:d} s")
)
def _(cluster, seconds):
    async def suspend_and_resume():
        await add_route(cluster)
        await asyncio.sleep(1.0)
        cluster.proxies[first_proxy(cluster)].freeze()
        del cluster.resources["routes", NEW_ROUTE]
        assert await cluster.replace()
        await asyncio.sleep(seconds)
        cluster.proxies[first_proxy(cluster)].thaw()

    cluster.run(suspend_and_resume())


@then(parsers.parse("it answers 404 on that route within {seconds:g} s"))
def _(cluster, seconds):
    cluster.wait(seconds)
    cluster.run(check_statuses(cluster, NEW_ROUTE, 404, proxy_ip=first_proxy(cluster)))
    assert (first_proxy(cluster), FRONT_PORT) in cluster.routed_proxies


# --- random faults


FAULT_KINDS = [
    "kill_core_machine",
    "kill_proxy",
    "terminate_proxy",
    "drain_server",
    "kill_server",
    "disturb_server",
    "isolate_machine",
    "freeze_processes",
    "disturb_disk",
    "swap_server_addresses",
]


async def _run_random_faults(cluster: Cluster, rng: Random) -> None:
    await cluster.start()
    acknowledged_version, flows = cluster.version, []
    for keep_alive in (True, False):
        client = cluster.new_client()
        client.keep_alive = client.chunked = keep_alive
        for method, name, idempotent in (("GET", "a", True), ("POST", "once", False)):
            request = (
                method,
                "town.example",
                f"/{name}/x",
                "key-of-ann",
                b"" if idempotent else b"body" * 50,
            )
            flows.append(
                cluster.run_in_background(
                    cluster.send_requests(client, 15, 20, *request, idempotent=idempotent)
                )
            )
    faults = Faults(cluster, rng)
    for _ in range(5):
        await faults.inject(FAULT_KINDS)
        cluster.route(f"n{cluster.version}", rng.choice([*cluster.servers]))
        if await cluster.replace(6.0):
            acknowledged_version = cluster.version
        await asyncio.sleep(rng.choice((0.2, 1.0)))
    await asyncio.sleep(6.0)
    statuses = Counter([reply.status for flow in flows for reply in await flow])
    assert statuses[200] > 0.95 * sum(statuses.values()), statuses
    configuration = await cluster.operator.read(8.0)
    version = int(json.loads(configuration)["version"][1:])
    assert version >= acknowledged_version and configuration == cluster.versions[version]
    cluster.version = version
    await wait_for_newest(cluster, APPLY_SECONDS)
    statuses = Counter([(await cluster.get(tries=1)).status for _ in range(30)])
    assert statuses[200] >= 28, statuses


@pytest.mark.parametrize("seed", range(4))
def test_random_faults_break_no_rule(seed):
    cluster = Cluster(seed)
    rollback = cluster.run_in_background(cluster.check_versions_never_decrease())
    cluster.run(_run_random_faults(cluster, Random(seed + 100)))
    assert not rollback.done()
    cluster.close()
