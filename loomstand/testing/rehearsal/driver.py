"""Load generator: clients of all zones behind a load balancer in front of the limiters.

The load is an open loop, drawn from a seed and bounded in time and number of requests. Each
customer has a home zone and a set of limiters. The load balancer distributes the customer's
requests over the limiters of the set that answer health checks, and prefers those in the home zone.
If none of the set answers, the customer uses a set that begins in the next zone.

Events: `sent` (request, limiter, customer, plan, frontend, client timeout in s, whether within its
quota, whether a retry, zone), `got` (request; status, or 0 for a broken connection and -1 for no
answer; whether the body belongs to the request), `front` (zone, limiter, whether it now gets
requests), `lag` (largest delay of an arrival behind its schedule in s, once a second).
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
from loomstand.testing.rehearsal.scenario import Frontend, Rehearsal, zone_of
from loomstand.testing.rehearsal.wire import content_length

LATE_ANSWER_SECONDS = 0.5  # clients wait this long after their timeout, to record late answers
MAX_REQUESTS = 500_000
MAX_HEALTH_CHECKS_PER_SECOND = 200  # of all zones
HEALTH_CHECK = b"GET /-/ready HTTP/1.1\r\nHost: front\r\n\r\n"
BROKEN, NO_ANSWER = 0, -1  # in place of a status: broken connection, no answer in time
DENIED_STATUSES = (429, 503)  # clients may retry
REQUEST_IDS_PER_DRIVER = 10_000_000
NO_LIMITER = -1  # in place of a limiter: none of the set is healthy, so the request is refused


def encode_request(frontend: Frontend, customer: int, fields: list[str]) -> bytes:
    """Returns the bytes of a customer's request without a body."""
    method = "POST" if frontend.effect == "side_effect" else "GET"
    lines = [
        f"{method} /{frontend.name}?account={customer:016x} HTTP/1.1",
        "Host: backend.local",
        *fields,
        "Content-Length: 0",
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class ClientConnection(asyncio.Protocol):
    """A client's connection: one request at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.request_count = 0
        self.answer: asyncio.Future[tuple[int, bytes]] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Completes the answer once its body has arrived."""
        self.buffer += data
        head, separator, body = self.buffer.partition(b"\r\n\r\n")
        if not separator or len(body) < (length := content_length(head)):
            return
        self.buffer = body[length:]
        if self.answer is not None and not self.answer.done():
            self.answer.set_result((int(head[9:12]), body[:length]))

    def connection_lost(self, error: Exception | None) -> None:
        """Fails the answer that is due, if any."""
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(ConnectionResetError())

    async def request(self, raw: bytes, timeout_seconds: float) -> tuple[int, bytes]:
        """Sends a request and returns status and body. Raises ConnectionResetError."""
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(raw)
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self.answer
        finally:
            self.request_count += 1
            self.answer = None


class LimiterPath:
    """The connections of the clients of one zone to one limiter, and whether it is healthy."""

    def __init__(self, driver: Driver, zone: int, limiter: int, port: int) -> None:
        self.driver = driver
        self.zone = zone
        self.limiter = limiter
        self.port = port
        self.idle: list[ClientConnection] = []
        # without an initial list, limiters start with the traffic and get requests once ready
        self.healthy = driver.rehearsal.known
        self.answered_at = 0.0

    async def connect(self, timeout_seconds: float) -> ClientConnection:
        """Opens a connection to the limiter. Raises OSError or TimeoutError."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(timeout_seconds):
            _, connection = await loop.create_connection(
                ClientConnection, self.driver.host, self.port
            )
        return connection

    async def request(self, raw: bytes, timeout_seconds: float) -> tuple[int, bytes]:
        """Sends a request and returns status and body.

        Without an answer the status is BROKEN or NO_ANSWER.
        """
        deadline = time.monotonic() + timeout_seconds
        connection: ClientConnection | None = None
        try:
            while True:
                while self.idle and connection is None:
                    idle = self.idle.pop()
                    connection = None if idle.transport.is_closing() else idle
                connection = connection or await self.connect(timeout_seconds)
                try:
                    answer = await connection.request(raw, deadline - time.monotonic())
                except ConnectionResetError:
                    if connection.request_count == 1 or connection.buffer:
                        return BROKEN, b""  # not an idle connection, or part of the answer came
                    # the idle connection was closed while this request was sent: retry on a new one
                    connection = None
                    timeout_seconds = max(0.01, deadline - time.monotonic())
                    self.idle.clear()
                    continue
                if not connection.transport.is_closing():
                    self.idle.append(connection)
                return answer
        except TimeoutError:
            if connection is not None:
                connection.transport.abort()
            return NO_ANSWER, b""
        except OSError:
            return BROKEN, b""

    async def check_health(self, interval_seconds: float, notice_seconds: float) -> None:
        """Sends health checks while the driver runs.

        The limiter gets no more requests when it has answered none for `notice_seconds`.
        """
        await asyncio.sleep(interval_seconds * self.driver.rng.random())
        self.answered_at = time.monotonic()
        while not self.driver.is_over:
            began = time.monotonic()
            status, _ = await self.request(HEALTH_CHECK, min(notice_seconds, 1.0))
            now = time.monotonic()
            if status == 200:
                self.answered_at = now
            healthy = now - self.answered_at < notice_seconds
            if healthy != self.healthy and (status == 200 or not healthy):
                self.healthy = healthy
                self.driver.record("front", self.zone, self.limiter, healthy)
            await asyncio.sleep(max(0.0, interval_seconds - (time.monotonic() - began)))


class Driver:
    """Generates the load of one driver process.

    It sends the requests of the customers whose number modulo `driver_count` is `index`.
    """

    def __init__(self, config: dict) -> None:
        self.rehearsal = rehearsal = msgspec.convert(config["rehearsal"], type=Rehearsal)
        self.host = config["host"]
        self.index = config["part"]
        self.driver_count = rehearsal.load.drivers
        self.rng = Random(f"{config['seed']}-{self.index}")
        self.record = EventLog(config["trail"])
        self.limiter_paths = [
            [LimiterPath(self, z, n, port) for n, port in enumerate(row)]
            for z, row in enumerate(config["ports"])
        ]
        self.traffic = Traffic(rehearsal.plans, rehearsal.frontends, self.rng)
        plan_of = [n for n, p in enumerate(rehearsal.plans) for _ in range(p.customers)]
        self.quota_buckets = [[rehearsal.plans[p].burst, 0.0] for p in plan_of]
        self.zones = len(rehearsal.fleet.zones)
        self.limiters_by_zone = [
            [n for n in range(rehearsal.fleet.limiters) if zone_of(rehearsal.fleet, f"l{n}") == z]
            for z in range(self.zones)
        ]
        self.request_count = 0
        self.is_over = False
        self.max_lag_seconds = 0.0
        self.in_flight = 0

    def limiters_for(self, customer: int, plan: int) -> tuple[int, int, list[int]]:
        """Returns the first limiter and the size of a customer's set, and the limiters of the set
        that get requests now. If none does, the set begins in the next zone.
        """
        n = self.rehearsal.fleet.limiters
        size = self.rehearsal.plans[plan].spread or n
        home = customer % self.zones
        for step in range(self.zones):
            zone = (home + step) % self.zones
            in_zone = self.limiters_by_zone[zone]
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

    async def send_request(
        self, plan: int, customer: int, frontend_index: int, retry: bool
    ) -> None:
        """Sends one request, records its answer, and may retry a denied one."""
        frontend = self.rehearsal.frontends[frontend_index]
        zone = customer % self.zones
        first, size, candidates = self.limiters_for(customer, plan)
        limiter = candidates[self.rng.randrange(len(candidates))]
        within_quota = self.take_quota(plan, customer)
        self.request_count += 1
        req = (self.index + 1) * REQUEST_IDS_PER_DRIVER + self.request_count
        fields = [
            f"Request-Id: {req}",
            f"Request-Class: {frontend.name}",
            f"X-Tier: {self.rehearsal.plans[plan].name}",
            f"Request-Timeout-Ms: {frontend.client_timeout_ms:.0f}",
            f"X-Call-Terms: units=1,spread={size},first={first}",
        ]
        if retry:
            fields.append("Client-Retry: 1")
        raw = encode_request(frontend, customer, fields)
        timeout_seconds = frontend.client_timeout_ms / 1000
        self.record(
            "sent",
            req,
            limiter,
            customer,
            plan,
            frontend_index,
            timeout_seconds,
            within_quota,
            retry,
            zone,
        )
        self.in_flight += 1
        status, body = BROKEN, b""
        if limiter != NO_LIMITER:
            status, body = await self.limiter_paths[zone][limiter].request(
                raw, timeout_seconds + LATE_ANSWER_SECONDS
            )
        self.in_flight -= 1
        self.record("got", req, status, status != 200 or body.startswith(b"%d ran at " % req))
        if status in DENIED_STATUSES:
            await self.retry_if_drawn(plan, customer, frontend_index)

    def take_quota(self, plan: int, customer: int) -> bool:
        """Takes a unit of a customer's quota; returns whether there was one."""
        limits = self.rehearsal.plans[plan]
        bucket = self.quota_buckets[customer]
        within_quota = refill(bucket, limits.rate, limits.burst, time.time()) >= 1.0
        if within_quota:
            bucket[0] -= 1.0
        return within_quota

    async def retry_if_drawn(self, plan: int, customer: int, frontend_index: int) -> None:
        """Sends a denied request again, after a pause, for a share of the requests."""
        load = self.rehearsal.load
        if not load.retry or self.rng.random() >= load.retry or self.is_over:
            return
        await asyncio.sleep(self.rng.expovariate(1000 / max(1.0, load.retry_after_ms)))
        await self.send_request(plan, customer, frontend_index, True)

    async def generate_arrivals(self, plan: int, began: float) -> None:
        """Sends the requests of one plan at random times until the end of the rehearsal."""
        rehearsal, due = self.rehearsal, began
        while self.request_count < MAX_REQUESTS:
            rate = self.traffic.rate(plan) / self.driver_count
            due += self.rng.expovariate(max(rate, 0.1))
            if due >= began + rehearsal.seconds:
                return
            wait = due - time.time()
            if wait > 0:
                await asyncio.sleep(wait)
            self.max_lag_seconds = max(self.max_lag_seconds, time.time() - due)
            if rate > 0:
                customer = self.traffic.draw_customer(plan)
                customer -= customer % self.driver_count - self.index  # a customer of this driver
                if customer < self.traffic.first_customers[plan] + rehearsal.plans[plan].customers:
                    spawn(self.send_request(plan, customer, self.traffic.draw_frontend(), False))

    async def run(self, began: float) -> None:
        """Runs the load from `began` (Unix s) and sends `done` after the last answer."""
        rehearsal = self.rehearsal
        for bucket in self.quota_buckets:
            bucket[1] = began
        paths = [path for row in self.limiter_paths for path in row]
        interval_seconds = max(
            rehearsal.load.notice_s / 3,
            len(paths) * self.driver_count / MAX_HEALTH_CHECKS_PER_SECOND,
        )
        notice_seconds = max(rehearsal.load.notice_s, 2 * interval_seconds)
        for path in paths:
            spawn(path.check_health(interval_seconds, notice_seconds))
        spawn(self.record_lag())
        await asyncio.gather(
            *(self.generate_arrivals(n, began) for n in range(len(rehearsal.plans)))
        )
        longest_wait = (
            max(frontend.client_timeout_ms for frontend in rehearsal.frontends) / 1000
            + LATE_ANSWER_SECONDS
        )
        await asyncio.sleep(max(0.0, began + rehearsal.seconds - time.time()))
        self.is_over = True
        deadline = time.monotonic() + longest_wait + 0.5
        while self.in_flight and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
        send_message(done=True)

    async def record_lag(self) -> None:
        """Records once a second the largest delay of an arrival in that second."""
        while not self.is_over:
            await asyncio.sleep(1.0)
            self.record("lag", self.max_lag_seconds)
            self.max_lag_seconds = 0.0

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
