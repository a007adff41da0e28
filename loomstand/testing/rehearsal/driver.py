"""Load generator: clients of all zones behind a load balancer in front of the limiters.

The load is an open loop, drawn from a seed and bounded in time and number of requests. Each
customer has a home zone and a set of limiters. The load balancer distributes the customer's
requests over the limiters of the set that answer health checks, and prefers those in the home zone.
If none of the set answers, the customer uses a set that begins in the next zone.

Events: `sent` (request, limiter, customer, plan, frontend, client timeout in s, whether within its
quota, whether a retry, zone), `got` (request, status or 0 for a broken connection and -1 for no
answer, whether the body belongs to the request), `front` (zone, limiter, whether it now gets
requests), `lag` (largest delay of an arrival in s, once a second).
"""

from __future__ import annotations

import asyncio
import time
from random import Random

import msgspec

from loomstand.admission.identifiers import stable_digest
from loomstand.testing.emulator.traffic import Traffic, refill
from loomstand.testing.rehearsal.child import EventLog, send_message
from loomstand.testing.rehearsal.links import spawn
from loomstand.testing.rehearsal.scenario import Rehearsal, zone_of
from loomstand.testing.rehearsal.wire import content_length

LATE_ANSWER_SECONDS = 0.5  # a client waits this long after its timeout, to record late answers
MAX_REQUESTS = 500_000
MAX_HEALTH_CHECKS_PER_SECOND = 200  # of all zones
HEALTH_CHECK = b"GET /-/ready HTTP/1.1\r\nHost: front\r\n\r\n"
BROKEN, NO_ANSWER = 0, -1  # in place of a status
NO_LIMITER = -1  # no limiter of the set is healthy: the load balancer refuses the request


class ClientConnection(asyncio.Protocol):
    """A client's connection: one request at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.raw, self.used = b"", 0
        self.answer: asyncio.Future[tuple[int, bytes]] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.raw += data
        head, separator, body = self.raw.partition(b"\r\n\r\n")
        if not separator or len(body) < (length := content_length(head)):
            return
        self.raw = body[length:]
        if self.answer is not None and not self.answer.done():
            self.answer.set_result((int(head[9:12]), body[:length]))

    def connection_lost(self, error: Exception | None) -> None:
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(ConnectionResetError())

    async def request(self, raw: bytes, timeout: float) -> tuple[int, bytes]:
        """Sends a request and returns status and body. Raises ConnectionResetError."""
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(raw)
        try:
            return await asyncio.wait_for(self.answer, timeout)
        finally:
            self.used += 1
            self.answer = None


class LimiterPath:
    """The connections and health of one limiter as seen by the clients of one zone."""

    def __init__(self, driver: Driver, zone: int, limiter: int, port: int) -> None:
        self.driver, self.zone, self.limiter, self.port = driver, zone, limiter, port
        self.idle: list[ClientConnection] = []
        # limiters that start with the traffic get requests once they are ready
        self.healthy, self.answered_at = driver.rehearsal.known, 0.0

    async def connect(self, timeout: float) -> ClientConnection:
        """Opens a connection to the limiter. Raises OSError or TimeoutError."""
        loop = asyncio.get_running_loop()
        connecting = loop.create_connection(ClientConnection, self.driver.host, self.port)
        return (await asyncio.wait_for(connecting, timeout))[1]

    async def request(self, raw: bytes, timeout: float) -> tuple[int, bytes]:
        """Returns status and body; without an answer the status is BROKEN or NO_ANSWER."""
        end, conn = time.monotonic() + timeout, None
        try:
            while True:
                while self.idle and conn is None:
                    idle = self.idle.pop()
                    conn = None if idle.transport.is_closing() else idle
                conn = conn or await self.connect(timeout)
                try:
                    answer = await conn.request(raw, end - time.monotonic())
                except ConnectionResetError:
                    if conn.used == 1 or conn.raw:  # its first request, or a partial answer
                        return BROKEN, b""
                    # the idle connection was closed while this request was sent: retry on a new one
                    conn = None
                    timeout = max(0.01, end - time.monotonic())
                    self.idle.clear()
                    continue
                if not conn.transport.is_closing():
                    self.idle.append(conn)
                return answer
        except TimeoutError:
            if conn is not None:
                conn.transport.abort()
            return NO_ANSWER, b""
        except OSError:
            return BROKEN, b""

    async def check_health(self, interval: float, notice: float) -> None:
        """Sends health checks while the driver runs.

        The limiter gets no more requests when it has answered none for `notice` seconds.
        """
        await asyncio.sleep(interval * self.driver.rng.random())
        self.answered_at = time.monotonic()
        while not self.driver.over:
            began = time.monotonic()
            status, _ = await self.request(HEALTH_CHECK, min(notice, 1.0))
            now = time.monotonic()
            if status == 200:
                self.answered_at = now
            healthy = now - self.answered_at < notice
            if healthy != self.healthy and (status == 200 or not healthy):
                self.healthy = healthy
                self.driver.record("front", self.zone, self.limiter, healthy)
            await asyncio.sleep(max(0.0, interval - (time.monotonic() - began)))


class Driver:
    """The customers whose number modulo the number of drivers is the number of this driver."""

    def __init__(self, config: dict) -> None:
        self.rehearsal = rehearsal = msgspec.convert(config["rehearsal"], type=Rehearsal)
        self.host, self.part, self.parts = config["host"], config["part"], rehearsal.load.drivers
        self.rng = Random(f"{config['seed']}-{self.part}")
        self.record = EventLog(config["trail"])
        self.limiter_paths = [
            [LimiterPath(self, z, n, port) for n, port in enumerate(row)]
            for z, row in enumerate(config["ports"])
        ]
        self.traffic = Traffic(rehearsal.plans, rehearsal.frontends, self.rng)
        plan_of = [n for n, p in enumerate(rehearsal.plans) for _ in range(p.customers)]
        self.quota = [[rehearsal.plans[p].burst, 0.0] for p in plan_of]
        self.zones = len(rehearsal.fleet.zones)
        self.by_zone = [
            [n for n in range(rehearsal.fleet.limiters) if zone_of(rehearsal.fleet, f"l{n}") == z]
            for z in range(self.zones)
        ]
        self.next, self.over, self.lag = 0, False, 0.0
        self.in_flight = 0

    def limiters_for(self, customer: int, plan: int) -> tuple[int, int, list[int]]:
        """Returns the first limiter and the size of a customer's set, and the limiters of the set
        that get requests now. If none does, the set begins in the next zone.
        """
        n, size = (
            self.rehearsal.fleet.limiters,
            self.rehearsal.plans[plan].spread or self.rehearsal.fleet.limiters,
        )
        home = customer % self.zones
        for step in range(self.zones):
            zone = (home + step) % self.zones
            in_zone = self.by_zone[zone]
            first = (
                0
                if size == n or not in_zone
                else in_zone[stable_digest(f"set-{customer}") % len(in_zone)]
            )
            members = [(first + k) % n for k in range(size)]
            healthy = [m for m in members if self.limiter_paths[home][m].healthy]
            nearby = [m for m in healthy if m in in_zone]
            if healthy:
                return first, size, nearby or healthy
            if size == n:
                break
        return first, size, [NO_LIMITER]

    async def send_request(self, plan: int, customer: int, front: int, retry: bool) -> None:
        """Sends one request, records its answer, and may retry a denied one."""
        rehearsal = self.rehearsal
        p, frontend, zone = rehearsal.plans[plan], rehearsal.frontends[front], customer % self.zones
        first, size, candidates = self.limiters_for(customer, plan)
        limiter = candidates[self.rng.randrange(len(candidates))]
        bucket = self.quota[customer]
        within_quota = refill(bucket, p.rate, p.burst, time.time()) >= 1.0
        bucket[0] -= 1.0 if within_quota else 0.0
        self.next += 1
        req = (self.part + 1) * 10_000_000 + self.next
        method, retry_header = (
            "POST" if frontend.effect == "side_effect" else "GET",
            "Client-Retry: 1\r\n" if retry else "",
        )
        raw = (
            f"{method} /{frontend.name}?account={customer:016x} HTTP/1.1\r\nHost: backend.local\r\n"
            f"Request-Id: {req}\r\nRequest-Class: {frontend.name}\r\nX-Tier: {p.name}\r\n"
            f"Request-Timeout-Ms: {frontend.client_timeout_ms:.0f}\r\n"
            f"X-Call-Terms: units=1,spread={size},first={first}\r\n{retry_header}"
            "Content-Length: 0\r\n\r\n"
        ).encode()
        timeout = frontend.client_timeout_ms / 1000
        self.record("sent", req, limiter, customer, plan, front, timeout, within_quota, retry, zone)
        self.in_flight += 1
        status, body = BROKEN, b""
        if limiter != NO_LIMITER:
            status, body = await self.limiter_paths[zone][limiter].request(
                raw, timeout + LATE_ANSWER_SECONDS
            )
        self.in_flight -= 1
        self.record("got", req, status, status != 200 or body.startswith(b"%d ran at " % req))
        if (
            status in (429, 503)
            and rehearsal.load.retry
            and self.rng.random() < rehearsal.load.retry
            and not self.over
        ):
            await asyncio.sleep(
                self.rng.expovariate(1000 / max(1.0, rehearsal.load.retry_after_ms))
            )
            await self.send_request(plan, customer, front, True)

    async def generate_arrivals(self, plan: int, began: float) -> None:
        """Sends the requests of one plan at random times until the end of the rehearsal."""
        rehearsal, due = self.rehearsal, began
        while self.next < MAX_REQUESTS:
            rate = self.traffic.rate(plan) / self.parts
            due += self.rng.expovariate(max(rate, 0.1))
            if due >= began + rehearsal.seconds:
                return
            wait = due - time.time()
            if wait > 0:
                await asyncio.sleep(wait)
            self.lag = max(self.lag, time.time() - due)
            if rate > 0:
                customer = self.traffic.draw_customer(plan)
                customer -= customer % self.parts - self.part  # a customer of this driver
                if customer < self.traffic.first_customers[plan] + rehearsal.plans[plan].customers:
                    spawn(self.send_request(plan, customer, self.traffic.draw_frontend(), False))

    async def run(self, began: float) -> None:
        """Runs the load from `began` (Unix s) and reports `done` after the last answer."""
        rehearsal = self.rehearsal
        for bucket in self.quota:
            bucket[1] = began
        paths = [path for row in self.limiter_paths for path in row]
        interval = max(
            rehearsal.load.notice_s / 3, len(paths) * self.parts / MAX_HEALTH_CHECKS_PER_SECOND
        )
        notice = max(rehearsal.load.notice_s, 2 * interval)
        for path in paths:
            spawn(path.check_health(interval, notice))
        spawn(self.record_lag())
        await asyncio.gather(
            *(self.generate_arrivals(n, began) for n in range(len(rehearsal.plans)))
        )
        longest_wait = (
            max(frontend.client_timeout_ms for frontend in rehearsal.frontends) / 1000
            + LATE_ANSWER_SECONDS
        )
        await asyncio.sleep(max(0.0, began + rehearsal.seconds - time.time()))
        self.over = True
        end = time.monotonic() + longest_wait + 0.5
        while self.in_flight and time.monotonic() < end:
            await asyncio.sleep(0.02)
        send_message(done=True)

    async def record_lag(self) -> None:
        """Records once a second by how many seconds requests were sent late at most."""
        while not self.over:
            await asyncio.sleep(1.0)
            self.record("lag", self.lag)
            self.lag = 0.0

    def handle_command(self, command: dict) -> None:
        """Starts the load or changes the demand of a plan."""
        if command["do"] == "begin":
            spawn(self.run(command["at"]))
        elif command["do"] == "flood":
            names = [p.name for p in self.rehearsal.plans]
            self.traffic.demand_factors[names.index(command["plan"])] = command["factor"]


async def start(config: dict):
    """Returns the command handler of a driver.

    Keys of `config`: `rehearsal`, `host`, `seed`, `part` (number of this driver), `ports` by client
    zone and limiter, `trail` (path of the event log). The load starts at the command `begin` with
    `at` (Unix s); the driver sends the message `done` at its end.
    """
    return Driver(config).handle_command
