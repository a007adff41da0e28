"""The clients of a soak run.

A client uses an open connection until it ends, even if the platform no longer sends new connections
to that proxy. After a failure it tries again on a new connection.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from http import HTTPStatus
from math import inf

from loomstand.testing.simulation.http_log import NOT_EXECUTED_STATUSES, Reply
from loomstand.testing.simulation.streams import Address
from loomstand.testing.simulation.workload import Client
from loomstand.testing.soak.cluster import FRONT_PORT, SoakCluster
from loomstand.testing.soak.loopback import LONG_BODY_BYTES

CLIENTS = 24  # concurrent, each with its own connections
HOME_SHARE = 0.5  # of the clients: their zone has one proxy
IDEMPOTENT_SHARE = 0.6  # of the requests
IMPATIENT_TARGET_SHARE = 0.5  # of the idempotent requests
THINK_SECONDS = (0.0, 0.15)  # range of a client's pause between two requests
REUSED_CONNECTION_SHARE = 0.7  # of the requests, if there is an open connection
MAX_RETRIES = 2
MIN_RETRY_SECONDS = 0.05
SHORT_BODY = b"body " * 20
LONG_BODY = bytes(LONG_BODY_BYTES)
MAX_LONG_REQUESTS = 4  # at a time
TIMEOUT_SECONDS = 5.0  # of a request; clients send it with the request
IMPATIENT_TIMEOUT_SECONDS = 3.5  # of a request on the route with the short latency target
PATIENCE_SECONDS = (0.01, 0.3)  # an impatient client disconnects after a time in this range
IMPATIENT_SHARE = 0.5  # of the requests, during the action HURRY


@dataclass(frozen=True, slots=True)
class RequestKind:
    """What a client asks for.

    Attributes:
        method: The method.
        path: The path.
        body: The body.
        is_idempotent: Whether its route is idempotent.
        timeout_seconds: The time-out that the client states.
    """

    method: str
    path: str
    body: bytes
    is_idempotent: bool
    timeout_seconds: float


PATIENT_READ = RequestKind("GET", "/a/x", b"", True, TIMEOUT_SECONDS)
IMPATIENT_READ = RequestKind("GET", "/quick/x", b"", True, IMPATIENT_TIMEOUT_SECONDS)
SHORT_WRITE = RequestKind("POST", "/once/x", SHORT_BODY, False, TIMEOUT_SECONDS)
LONG_WRITE = RequestKind("POST", "/once/x", LONG_BODY, False, TIMEOUT_SECONDS)


class SoakClients:
    """All clients of a run.

    Attributes:
        cluster: The cluster that they use.
        endings: Number of requests by ending.
        impatient_until: Time until which some clients disconnect early, by the event loop's clock.
        long_requests: Number of long requests in progress.
        in_progress: Number of requests in progress, by the address of their proxy.
        is_over: Whether clients stop after their next request.
    """

    def __init__(self, cluster: SoakCluster, endings: Counter[str]) -> None:
        """Creates clients that send nothing before `start`."""
        self.cluster = cluster
        self.endings = endings
        self.impatient_until = -inf
        self.long_requests = 0
        self.in_progress: Counter[str] = Counter()
        self.is_over = False

    def start(self) -> list[asyncio.Task[None]]:
        """Starts the clients; each task ends after `is_over` is set."""
        homes = self.cluster.proxy_ips
        clients = [
            self.cluster.client((homes[n % len(homes)], FRONT_PORT))
            if n < HOME_SHARE * CLIENTS
            else self.cluster.client()
            for n in range(CLIENTS)
        ]
        return [asyncio.create_task(self._run(client)) for client in clients]

    def is_serving(self, ip: str) -> bool:
        """Returns whether the proxy at an address has been sent a request without an answer yet."""
        return self.in_progress[ip] > 0

    async def _run(self, client: Client) -> None:
        """Sends one request after the other, mostly on open connections."""
        while not self.is_over:
            await self._request_with_retries(client, self._draw_kind(client))
            await asyncio.sleep(client.rng.uniform(*THINK_SECONDS))
        for connection in client.idle.values():
            connection.transport.close()

    def _draw_kind(self, client: Client) -> RequestKind:
        rng = client.rng
        if rng.random() < IDEMPOTENT_SHARE:
            return IMPATIENT_READ if rng.random() < IMPATIENT_TARGET_SHARE else PATIENT_READ
        return LONG_WRITE if self._may_send_long_body() else SHORT_WRITE

    def _may_send_long_body(self) -> bool:
        """Returns whether the next request may be long: a few at a time, if a server is early."""
        is_any_early = any(server.fault == "early" for server in self.cluster.servers.values())
        return is_any_early and self.long_requests < MAX_LONG_REQUESTS

    def _choose_front(self, client: Client) -> Address:
        """Returns the proxy of an open connection, or that of a new one."""
        open_fronts = [
            front for front, connection in client.idle.items() if not connection.closed_reason
        ]
        if open_fronts and client.rng.random() < REUSED_CONNECTION_SHARE:
            return client.rng.choice(open_fronts)
        return client.rng.choice(client.front_addresses())

    async def _request_with_retries(self, client: Client, kind: RequestKind) -> None:
        """Sends a request, after a failure again on new connections."""
        reply = await self._request_once(client, kind, self._choose_front(client))
        for _ in range(MAX_RETRIES):
            if not may_retry(kind, reply):
                return
            seconds = float(reply.fields.get("retry-after", MIN_RETRY_SECONDS))
            await asyncio.sleep(seconds)
            front = client.rng.choice(client.front_addresses())
            kept = client.idle.pop(front, None)
            if kept is not None:
                kept.transport.close()
            reply = await self._request_once(client, kind, front)

    async def _request_once(self, client: Client, kind: RequestKind, front: Address) -> Reply:
        request = client.new_request(
            kind.method, "town.example", kind.path, "key-of-ann", kind.body, kind.is_idempotent
        )
        may_be_impatient = asyncio.get_running_loop().time() < self.impatient_until
        is_impatient = may_be_impatient and client.rng.random() < IMPATIENT_SHARE
        patience = client.rng.uniform(*PATIENCE_SECONDS) if is_impatient else inf
        is_long = kind is LONG_WRITE
        self.long_requests += is_long
        self.in_progress[front[0]] += 1
        reply = await client.send_once(request, front, kind.timeout_seconds, patience)
        self.in_progress[front[0]] -= 1
        self.long_requests -= is_long
        self.endings[reply.ending] += 1
        return reply


def may_retry(kind: RequestKind, reply: Reply) -> bool:
    """Returns whether a client tries again: idempotent requests, or if the request hasn't run."""
    if reply.end == "silent":  # the client left
        return False
    if reply.status in NOT_EXECUTED_STATUSES or reply.end == "refused":
        return True
    return kind.is_idempotent and (
        not reply.status or reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR
    )
