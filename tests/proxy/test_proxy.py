"""The proxy in simulated clusters: rules for requests, responses, quotas and the retry budget."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random

import pytest

from loomstand.testing.simulation.cluster import FRONT_PORT, SERVER_PORT, Cluster
from loomstand.testing.simulation.http_log import HttpConnection
from loomstand.testing.simulation.loop import SimProcess, run_simulated
from loomstand.testing.simulation.network import SimNetwork
from loomstand.testing.simulation.streams import WINDOW_BYTES, Streams, TcpStack
from loomstand.testing.simulation.workload import Server


@pytest.fixture
def cluster():
    made = Cluster(1, proxies=2)
    made.run(made.start())
    yield made
    made.close()


def inject_fault(
    cluster: Cluster, fault: str, share: float = 1.0, server_count: int = 99, service: str = "alpha"
) -> None:
    """Injects a fault into a service's first `server_count` servers, for a share of requests."""
    servers = cluster.servers[service]
    if server_count == 1:  # the most used server: at a low rate a proxy uses only some of them
        cluster.run(send_gets(cluster, 6, name=service[0]))
        servers = sorted(
            servers, key=lambda s: -sum(r.server == s.id for r in cluster.request_log.arrivals)
        )
    for server in servers[:server_count]:
        server.fault, server.fault_share = fault, share


def arrival_counts(cluster: Cluster) -> Counter[str]:
    """Returns how often each request arrived at any server."""
    return Counter(run.id for run in cluster.request_log.arrivals)


async def send_gets(cluster: Cluster, count: int, tries: int = 1, name: str = "a") -> Counter[int]:
    return Counter([(await cluster.get(name, tries=tries)).status for _ in range(count)])


# --- simulated streams


def test_stream_applies_backpressure_without_losing_or_reordering_bytes():
    async def work() -> None:
        network = SimNetwork(Random(1))
        tcp = TcpStack(network, Random(2))
        client, server = (Streams(tcp, host, SimProcess()) for host in ("10.0.0.1", "10.0.0.2"))
        accepted: list[HttpConnection] = []
        loop = asyncio.get_running_loop()

        def make() -> HttpConnection:
            accepted.append(HttpConnection())
            return accepted[-1]

        await server.listen(loop, make, ("10.0.0.2", 80))
        connection = await client.open(HttpConnection, ("10.0.0.2", 80), 1.0)
        await asyncio.sleep(0.1)
        accepted[0].transport.pause_reading()
        data = Random(3).randbytes(5 * WINDOW_BYTES)
        for at in range(0, len(data), 777):
            connection.transport.write(data[at : at + 777])
        await asyncio.sleep(1.0)
        assert (
            connection.transport.get_write_buffer_size() == 4 * WINDOW_BYTES
            and not accepted[0].buffer
        )
        network.cut("10.0.0.1", "10.0.0.2")
        accepted[0].transport.resume_reading()
        await asyncio.sleep(3.0)
        assert bytes(accepted[0].buffer) == data[:WINDOW_BYTES]
        network.heal()
        await asyncio.sleep(10.0)
        assert bytes(accepted[0].buffer) == data
        connection.transport.close()
        await asyncio.sleep(0.1)
        assert accepted[0].closed_reason == "closed"

    run_simulated(work)


def test_reset_after_a_partition_leaves_no_gap_in_the_received_bytes():
    """Guards against a reset that loses only the bytes sent during the partition, so that bytes
    written later arrive without them and could be read as a request.
    """

    async def work() -> None:
        network = SimNetwork(Random(1))
        tcp = TcpStack(network, Random(2))
        client, server = (Streams(tcp, host, SimProcess()) for host in ("10.0.0.1", "10.0.0.2"))
        accepted: list[HttpConnection] = []

        def make() -> HttpConnection:
            accepted.append(HttpConnection())
            return accepted[-1]

        await server.listen(asyncio.get_running_loop(), make, ("10.0.0.2", 80))
        connection = await client.open(HttpConnection, ("10.0.0.2", 80), 1.0)
        connection.transport.get_extra_info("reset_on_close")()
        network.cut("10.0.0.1", "10.0.0.2")
        connection.transport.write(b"GET /a HTTP")
        await asyncio.sleep(0.1)
        network.heal()
        connection.transport.write(b"/1.1")
        connection.transport.abort()
        await asyncio.sleep(2.0)
        assert (bytes(accepted[0].buffer), accepted[0].closed_reason) == (b"", "reset")

    run_simulated(work)


@pytest.mark.parametrize("failure", ["kill", "off", "cut", "no listener"])
def test_connection_ends_according_to_the_failure_of_its_machine(failure):
    async def work() -> None:
        network = SimNetwork(Random(1))
        tcp = TcpStack(network, Random(2))
        client, process = Streams(tcp, "10.0.0.1", SimProcess()), SimProcess()
        loop, address = asyncio.get_running_loop(), ("10.0.0.2", 80)
        if failure == "no listener":
            with pytest.raises(ConnectionRefusedError):
                await client.open(HttpConnection, address, 1.0)
            assert loop.time() < 0.02 and not tcp.transports
            return
        port = await Streams(tcp, "10.0.0.2", process).listen(loop, HttpConnection, address)
        connection = await client.open(HttpConnection, address, 1.0)
        if failure == "cut":
            network.cut("10.0.0.1", "10.0.0.2")
        else:
            process.alive = False
            port.close()
            if failure == "off":
                network.powered_off.add("10.0.0.2")
            tcp.process_ended(process)
        await asyncio.sleep(5.0)
        assert bool(connection.closed_reason) == (failure == "kill")
        started_at = loop.time()
        with pytest.raises(ConnectionRefusedError if failure == "kill" else TimeoutError):
            await client.open(HttpConnection, address, 1.0)
        assert loop.time() - started_at < (0.02 if failure == "kill" else 1.01)
        network.heal()
        network.powered_off.clear()
        connection.transport.write(b"x")  # a machine that was powered off has lost the connection
        await asyncio.sleep(5.0)
        assert bool(connection.closed_reason) == (failure != "cut")

    run_simulated(work)


# --- at most one execution, and no false guarantee that a request was not executed


@pytest.mark.parametrize("fault", ["close", "silent", "reset", "cut", "spoilt", "bare", "slow"])
def test_non_idempotent_request_with_a_lost_response_runs_once_and_gets_no_guarantee(
    cluster, fault
):
    if fault == "slow":  # the server is killed before it responds
        inject_fault(cluster, fault)
        pending = cluster.run_in_background(cluster.send_once())
        cluster.wait(0.5)
        for server in cluster.servers["alpha"]:
            server.kill()
        request, reply = cluster.run(pending)
    else:
        inject_fault(cluster, fault)
        request, reply = cluster.run(cluster.send_once())
    assert reply.status in (502, 504), reply
    assert len(cluster.request_log.runs(request.id)) == arrival_counts(cluster)[request.id] == 1
    assert reply.at - request.sent < (5.0 if fault == "silent" else 1.0)


def test_rejected_non_idempotent_request_is_retried_on_another_server(cluster):
    inject_fault(cluster, "full", server_count=1)
    statuses = Counter(cluster.run(cluster.send_once())[1].status for _ in range(40))
    cluster.wait(0.1)
    assert statuses[200] >= 38  # the retry budget may not suffice for the first requests
    assert max(arrival_counts(cluster).values()) == 2 and {
        len(cluster.request_log.runs(id_)) for id_ in arrival_counts(cluster)
    } <= {
        0,
        1,
    }
    assert not all(run.ran for run in cluster.request_log.arrivals)


def test_request_is_answered_503_and_not_executed_if_all_servers_are_full(cluster):
    inject_fault(cluster, "full")
    for _ in range(10):
        _, reply = cluster.run(cluster.send_once())
        # in seconds
        assert reply.status == 503 and 0.05 <= float(reply.fields["retry-after"]) <= 0.65
    assert not cluster.request_log.runs()


@pytest.mark.parametrize("failure", ["refused", "off"])
def test_request_is_retried_after_a_failed_connection_to_a_server(cluster, failure):
    first, *rest = cluster.servers["alpha"]
    for server in cluster.servers["alpha"]:
        # a request sent on a reused connection may have run, so it could not be answered with 503
        server.keep_alive_seconds = 0

    def take_down(server: Server) -> None:
        server.kill()
        if failure == "off":
            cluster.network.powered_off.add(server.address[0])

    take_down(first)
    replies = [cluster.run(cluster.send_once()) for _ in range(20)]
    assert sum(reply.status == 200 for _, reply in replies) >= 19
    assert all(reply.at - request.sent < 0.5 for request, reply in replies)
    for server in rest:
        take_down(server)
    request, reply = cluster.run(cluster.send_once())
    assert reply.status == 503 and "retry-after" in reply.fields
    assert reply.at - request.sent < (
        0.1 if failure == "refused" else 1.0
    ) and not cluster.request_log.runs(request.id)


@pytest.mark.parametrize("fault", ["close", "reset", "cut", "spoilt", "error"])
def test_idempotent_request_is_retried_on_other_servers_up_to_the_limit(cluster, fault):
    inject_fault(cluster, fault, server_count=1)
    assert cluster.run(send_gets(cluster, 60))[200] >= 58
    arrivals = arrival_counts(cluster)
    assert max(arrivals.values()) >= 2
    inject_fault(cluster, fault)
    cluster.wait(1.0)
    statuses = cluster.run(send_gets(cluster, 30))
    assert set(statuses) <= {500, 502, 503, 504}, statuses
    assert max(arrival_counts(cluster).values()) <= 3


def test_maximum_attempts_of_one_prevents_retries(cluster):
    cluster.route("a", "alpha", maximum_attempts=1)
    assert cluster.run(cluster.replace())
    cluster.wait(0.5)
    inject_fault(cluster, "close", server_count=1)
    cluster.run(send_gets(cluster, 40))
    assert max(arrival_counts(cluster).values()) == 1 and set(
        cluster.run(send_gets(cluster, 20))
    ) <= {200, 502}


# --- matching of responses with requests


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("fault", ["surplus", "late"])
def test_surplus_response_is_never_delivered_to_another_request(fault, seed):
    cluster = Cluster(seed, proxies=2, servers=1)
    cluster.run(cluster.start())
    inject_fault(cluster, fault, share=0.7)
    target = ("GET", "town.example", "/a/x", "key-of-ann")
    replies = cluster.run(cluster.send_requests(cluster.client, 60, 4, *target, idempotent=True))
    assert sum(reply.status == 200 for reply in replies) > 0.9 * len(replies) > 150
    replies = [cluster.run(cluster.send_once()) for _ in range(40)]
    assert sum(reply.status == 200 for _, reply in replies) >= 30
    cluster.close()  # checks the id, stamp and body of each response


@pytest.mark.parametrize("fault", ["cut", "spoilt", "bare"])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_incomplete_or_unverified_response_is_not_forwarded(fault, seed):
    cluster = Cluster(seed, proxies=1, servers=1)
    cluster.run(cluster.start())
    inject_fault(cluster, fault)
    for _ in range(12):
        request, reply = cluster.run(cluster.send_once())
        # a server whose responses all fail is ejected, so requests are rejected without an attempt
        assert reply.status == (502 if cluster.request_log.runs(request.id) else 503), reply
    assert len(cluster.request_log.runs()) >= 3
    cluster.close()


def test_large_chunked_bodies_arrive_complete_over_slow_links(cluster):
    cluster.client.chunked = True
    cluster.network.extra_delay_seconds["10.9.0.1"] = 0.02
    body = Random(4).randbytes(300_000)
    reply = cluster.run(
        cluster.client.send_with_retries(
            "PUT", "town.example", "/a/x", "key-of-ann", body, within=20.0
        )
    )
    assert reply.status == 200
    for keep in (True, False):
        cluster.client.keep_alive = keep
        assert cluster.run(send_gets(cluster, 5)) == {200: 5}


# --- misdirected requests


def test_address_taken_by_another_service_executes_nothing_and_is_no_longer_used(cluster):
    previous = cluster.servers["alpha"][0]
    previous.kill()
    replacement = Server(
        cluster.tcp,
        cluster.request_log,
        Random(9),
        (previous.address[0], SERVER_PORT),
        "beta",
        "east",
        [],
    )

    async def start_replacement() -> None:
        replacement.start()

    cluster.run(start_replacement())
    target = ("POST", "town.example", "/once/x", "key-of-ann", b"body")
    replies = cluster.run(cluster.send_requests(cluster.client, 80, 4, *target, tries=1))
    assert sum(reply.status == 200 for reply in replies) >= len(replies) - 2
    misdirected = [run for run in cluster.request_log.arrivals if run.server == replacement.id]
    assert 1 <= len(misdirected) <= len(cluster.proxies) and not any(run.ran for run in misdirected)


# --- quotas


def quota_violations(
    cluster: Cluster, tenant: str, rate: float, burst: float
) -> list[tuple[float, int]]:
    """Returns the 5 s windows in which more of a tenant's requests ran than the rule permits."""
    run_times = sorted(run.at for run in cluster.request_log.runs() if run.tenant == tenant)
    limit = (rate * 5 + burst) * 1.1 + 20
    counts = [(t, sum(t <= other < t + 5 for other in run_times)) for t in run_times]
    return [(t, n) for t, n in counts if n > limit]


@pytest.mark.parametrize(
    ("seed", "failure"), [(1, "killed"), (2, "machine"), (3, "frozen"), (4, "cut")]
)
def test_quota_holds_across_proxies_while_the_counting_registry_fails(seed, failure):
    cluster = Cluster(seed, proxies=6)
    cluster.use_default_configuration()
    cluster.tenant("greedy", "key-of-greedy", 40, 40)
    cluster.tenant("modest", "key-of-modest", 40, 40)
    cluster.route("m", "beta")
    cluster.run(cluster.start())
    ips, rng = [*cluster.proxies], Random(seed)
    greedy, modest = cluster.new_client(), cluster.new_client()
    weights = [8, 4, 2, 1, 1, 0]
    greedy.front_addresses = lambda: [(rng.choices(ips, weights)[0], FRONT_PORT)]
    target = ("GET", "town.example")

    async def run_scenario() -> None:
        # moves counting away from the machine of the primary store, to be partitioned from it later
        if failure == "cut":
            cluster.registries[first].kill()
            await cluster.wait_until(lambda: cluster.counting_hosts() not in ([], [first]), 2.0)
            cluster.registries[first].start()
        modest_requests = cluster.loop.create_task(
            cluster.send_requests(modest, 25, 19, *target, "/m/x", "key-of-modest", idempotent=True)
        )
        greedy_requests = cluster.loop.create_task(
            cluster.send_requests(
                greedy, 200, 19, *target, "/a/x", "key-of-greedy", idempotent=True, tries=1
            )
        )
        await asyncio.sleep(8)
        registry, store = cluster.core(counting := cluster.counting_host())
        if failure == "cut":
            cluster.network.cut(first, counting)
        replied_before.update(cluster.request_log.replies)
        if failure == "frozen":
            registry.freeze()
        elif failure != "cut":
            registry.kill()
        if failure == "machine":
            store.kill()
        await asyncio.sleep(2)
        assert failure == "machine" or cluster.counting_host() != counting
        weights.reverse()  # so that the last split favours the wrong proxies
        await asyncio.sleep(3)
        cluster.network.heal()
        (registry.thaw if registry.up else registry.start)()
        if failure == "machine":
            store.start()
        await asyncio.gather(modest_requests, greedy_requests)

    first, replied_before = cluster.counting_host(), set[str]()
    cluster.run(run_scenario())
    assert not quota_violations(cluster, "greedy", 40, 40) and not quota_violations(
        cluster, "modest", 40, 40
    )
    ran = Counter(run.tenant for run in cluster.request_log.runs())
    assert ran["greedy"] >= 0.6 * 40 * 19  # most of the quota is usable
    modest_statuses = Counter(
        cluster.request_log.replies[request.id].status
        for request in cluster.request_log.requests.values()
        if request.key == "key-of-modest"
    )
    statuses_before = Counter(
        cluster.request_log.replies[request.id].status
        for request in cluster.request_log.requests.values()
        # matched by id, as replies with status 429 to the other tenant are equal by value
        if request.key == "key-of-modest" and request.id in replied_before
    )
    assert statuses_before[429] == 0 and sum(statuses_before.values()) > 150
    assert modest_statuses[429] <= 0.1 * modest_statuses[200]
    cluster.close()


@pytest.mark.parametrize(("rate", "usual_rate", "surge_rate"), [(40, 24, 130), (5, 3, 40)])
def test_tenant_with_a_traffic_surge_at_many_proxies_stays_within_its_quota(
    rate, usual_rate, surge_rate
):
    """Each proxy receives at most about two of the tenant's requests per second, so it depends on
    the registry to report, unrequested, what the other proxies admit.
    """
    cluster = Cluster(3, proxies=60, servers=20)
    cluster.use_default_configuration()
    cluster.tenant("greedy", "key-of-greedy", rate, rate)
    cluster.run(cluster.start())
    target, fronts = ("GET", "town.example", "/a/x", "key-of-greedy"), [*cluster.proxies]
    greedy, rng = cluster.new_client(), Random(3)
    greedy.front_addresses = lambda: [(rng.choice(fronts), FRONT_PORT)]
    cluster.run(cluster.send_requests(greedy, usual_rate, 6, *target, idempotent=True, tries=1))
    replies_before = cluster.request_log.replies.copy()
    cluster.run(cluster.send_requests(greedy, surge_rate, 8, *target, idempotent=True, tries=1))
    assert not quota_violations(cluster, "greedy", rate, rate)
    statuses = Counter(
        reply.status
        for id_, reply in cluster.request_log.replies.items()
        if id_ not in replies_before
    )
    assert statuses[200] >= 0.9 * rate * 8  # the quota is usable
    # reporting doesn't cause rejections at the usual rate
    assert Counter(reply.status for reply in replies_before.values())[429] <= 4
    cluster.close()


# --- retry budget


@pytest.mark.parametrize("fault", ["full", "error", "reset"])
@pytest.mark.parametrize(("server_count", "share"), [(2, 1.0), (4, 0.5)])
def test_retries_stay_within_the_budget_shared_by_all_proxies(fault, server_count, share):
    cluster = Cluster(1, proxies=4, servers=4)
    cluster.run(cluster.start())
    inject_fault(cluster, fault, share, server_count)
    target = ("GET", "town.example", "/a/x", "key-of-ann")
    cluster.run(cluster.send_requests(cluster.client, 100, 14, *target, idempotent=True))
    request_times = sorted(
        request.sent for request in cluster.request_log.requests.values() if request.path == "/a/x"
    )
    seen: set[str] = set()
    retry_times = [r.at for r in cluster.request_log.arrivals if r.id in seen or seen.add(r.id)]
    for t in retry_times:
        retries = sum(t <= other < t + 10 for other in retry_times)
        assert retries <= 0.2 * sum(t <= other < t + 10 for other in request_times) + 56
    assert len(retry_times) >= (100 if share < 1 else 10)  # the budget was used
    cluster.close()
