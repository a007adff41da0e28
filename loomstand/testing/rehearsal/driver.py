"""The load: clients of all zones behind a front, open loop, seeded, bounded in time and count.

Each customer has a home zone and a set of limiters; the front deals its reqs out among those of the
set that answer health calls, the home zone's first. Where the whole set is gone the customer moves
on to the next zone's. Trail rows: `sent` (req, limiter, customer, plan, frontend, client timeout in
s, inside its quota, retry, zone), `got` (req, status or 0 for a broken connection and -1 for
nothing, whether the body is the req's own), `front` (zone, limiter, in or out), `lag` (worst
lateness of an arrival, once a second).
"""

from __future__ import annotations

import asyncio
import time
from random import Random

import msgspec

from loomstand.admission.identifiers import stable_digest
from loomstand.testing.emulator.traffic import Traffic, refill
from loomstand.testing.rehearsal.child import Trail, say
from loomstand.testing.rehearsal.links import spawn
from loomstand.testing.rehearsal.scenario import Rehearsal, zone_of
from loomstand.testing.rehearsal.wire import length_of

WAIT_ON = 0.5  # seconds past its timeout that a client still listens, so that a late answer is seen
MOST = 500_000  # reqs
CHECKS_PER_S = 200  # health calls of all zones, at most
HEALTH = b"GET /-/ready HTTP/1.1\r\nHost: front\r\n\r\n"
BROKEN, NOTHING = 0, -1
NOBODY = -1  # no limiter of the set is let in: the client is turned away by the front


class Conn(asyncio.Protocol):
    """A client's connection: one req at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.raw, self.used = b"", 0
        self.answer: asyncio.Future[tuple[int, bytes]] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.raw += data
        head, found, body = self.raw.partition(b"\r\n\r\n")
        if not found or len(body) < (length := length_of(head)):
            return
        self.raw = body[length:]
        if self.answer is not None and not self.answer.done():
            self.answer.set_result((int(head[9:12]), body[:length]))

    def connection_lost(self, why: Exception | None) -> None:
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(ConnectionResetError())

    async def ask(self, raw: bytes, timeout: float) -> tuple[int, bytes]:
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(raw)
        try:
            return await asyncio.wait_for(self.answer, timeout)
        finally:
            self.used += 1
            self.answer = None


class Door:
    """The way from one zone's clients to one limiter."""

    def __init__(self, driver: Driver, zone: int, limiter: int, port: int) -> None:
        self.driver, self.zone, self.limiter, self.port = driver, zone, limiter, port
        self.idle: list[Conn] = []
        # a limiter that starts is let in when it is ready
        self.open, self.heard = driver.told.known, 0.0

    async def dial(self, timeout: float) -> Conn:
        loop = asyncio.get_running_loop()
        made = loop.create_connection(Conn, self.driver.host, self.port)
        return (await asyncio.wait_for(made, timeout))[1]

    async def ask(self, raw: bytes, timeout: float) -> tuple[int, bytes]:
        """Status and body; BROKEN or NOTHING as status where there is no answer."""
        end, conn = time.monotonic() + timeout, None
        try:
            while True:
                while self.idle and conn is None:
                    kept = self.idle.pop()
                    conn = None if kept.transport.is_closing() else kept
                conn = conn or await self.dial(timeout)
                try:
                    got = await conn.ask(raw, end - time.monotonic())
                except ConnectionResetError:
                    if conn.used == 1 or conn.raw:  # the first req on it, or half an answer
                        return BROKEN, b""
                    # closed between reqs as this one crossed: once more, on a new connection
                    conn = None
                    timeout = max(0.01, end - time.monotonic())
                    self.idle.clear()
                    continue
                if not conn.transport.is_closing():
                    self.idle.append(conn)
                return got
        except TimeoutError:
            if conn is not None:
                conn.transport.abort()
            return NOTHING, b""
        except OSError:
            return BROKEN, b""

    async def check(self, every: float, notice: float) -> None:
        """Health calls for as long as the driver runs."""
        await asyncio.sleep(every * self.driver.rng.random())
        self.heard = time.monotonic()
        while not self.driver.over:
            began = time.monotonic()
            status, _ = await self.ask(HEALTH, min(notice, 1.0))
            now = time.monotonic()
            if status == 200:
                self.heard = now
            there = now - self.heard < notice
            if there != self.open and (status == 200 or not there):
                self.open = there
                self.driver.trail("front", self.zone, self.limiter, there)
            await asyncio.sleep(max(0.0, every - (time.monotonic() - began)))


class Driver:
    def __init__(self, config: dict) -> None:
        self.told = told = msgspec.convert(config["rehearsal"], type=Rehearsal)
        self.host, self.part, self.parts = config["host"], config["part"], told.load.drivers
        self.rng = Random(f"{config['seed']}-{self.part}")
        self.trail = Trail(config["trail"])
        self.doors = [
            [Door(self, z, n, port) for n, port in enumerate(row)]
            for z, row in enumerate(config["ports"])
        ]
        self.traffic = Traffic(told.plans, told.frontends, self.rng)
        plan_of = [n for n, p in enumerate(told.plans) for _ in range(p.customers)]
        self.quota = [[told.plans[p].burst, 0.0] for p in plan_of]
        self.zones = len(told.fleet.zones)
        self.by_zone = [
            [n for n in range(told.fleet.limiters) if zone_of(told.fleet, f"l{n}") == z]
            for z in range(self.zones)
        ]
        self.next, self.over, self.lag = 0, False, 0.0
        self.out = 0

    def set_of(self, customer: int, plan: int) -> tuple[int, int, list[int]]:
        """First limiter and size of a customer's set, and those of it that the front uses now. A
        set whose limiters are all gone moves on to the next zone's.
        """
        n, size = self.told.fleet.limiters, self.told.plans[plan].spread or self.told.fleet.limiters
        home = customer % self.zones
        for step in range(self.zones):
            zone = (home + step) % self.zones
            here = self.by_zone[zone]
            first = (
                0 if size == n or not here else here[stable_digest(f"set-{customer}") % len(here)]
            )
            members = [(first + k) % n for k in range(size)]
            up = [m for m in members if self.doors[home][m].open]
            near = [m for m in up if m in here]
            if up:
                return first, size, near or up
            if size == n:
                break
        return first, size, [NOBODY]

    async def one(self, plan: int, customer: int, front: int, retry: bool) -> None:
        told = self.told
        p, g, zone = told.plans[plan], told.frontends[front], customer % self.zones
        first, size, able = self.set_of(customer, plan)
        limiter = able[self.rng.randrange(len(able))]
        held = self.quota[customer]
        inside = refill(held, p.rate, p.burst, time.time()) >= 1.0
        held[0] -= 1.0 if inside else 0.0
        self.next += 1
        req = (self.part + 1) * 10_000_000 + self.next
        method, again = (
            "POST" if g.effect == "side_effect" else "GET",
            "Client-Retry: 1\r\n" if retry else "",
        )
        raw = (
            f"{method} /{g.name}?account={customer:016x} HTTP/1.1\r\nHost: backend.local\r\n"
            f"Request-Id: {req}\r\nRequest-Class: {g.name}\r\nX-Tier: {p.name}\r\n"
            f"Request-Timeout-Ms: {g.client_timeout_ms:.0f}\r\n"
            f"X-Call-Terms: units=1,spread={size},first={first}\r\n{again}Content-Length: 0\r\n\r\n"
        ).encode()
        timeout = g.client_timeout_ms / 1000
        self.trail("sent", req, limiter, customer, plan, front, timeout, inside, retry, zone)
        self.out += 1
        status, body = BROKEN, b""
        if limiter != NOBODY:
            status, body = await self.doors[zone][limiter].ask(raw, timeout + WAIT_ON)
        self.out -= 1
        self.trail("got", req, status, status != 200 or body.startswith(b"%d ran at " % req))
        if (
            status in (429, 503)
            and told.load.retry
            and self.rng.random() < told.load.retry
            and not self.over
        ):
            await asyncio.sleep(self.rng.expovariate(1000 / max(1.0, told.load.retry_after_ms)))
            await self.one(plan, customer, front, True)

    async def ask_for(self, plan: int, began: float) -> None:
        """One plan's arrivals."""
        told, due = self.told, began
        while self.next < MOST:
            rate = self.traffic.rate(plan) / self.parts
            due += self.rng.expovariate(max(rate, 0.1))
            if due >= began + told.seconds:
                return
            wait = due - time.time()
            if wait > 0:
                await asyncio.sleep(wait)
            self.lag = max(self.lag, time.time() - due)
            if rate > 0:
                customer = self.traffic.draw_customer(plan)
                customer -= customer % self.parts - self.part  # of this driver's customers
                if customer < self.traffic.first_customers[plan] + told.plans[plan].customers:
                    spawn(self.one(plan, customer, self.traffic.draw_frontend(), False))

    async def run(self, began: float) -> None:
        told = self.told
        for held in self.quota:
            held[1] = began
        doors = [door for row in self.doors for door in row]
        every = max(told.load.notice_s / 3, len(doors) * self.parts / CHECKS_PER_S)
        notice = max(told.load.notice_s, 2 * every)
        for door in doors:
            spawn(door.check(every, notice))
        spawn(self.tell_lag())
        await asyncio.gather(*(self.ask_for(n, began) for n in range(len(told.plans))))
        longest = max(g.client_timeout_ms for g in told.frontends) / 1000 + WAIT_ON
        await asyncio.sleep(max(0.0, began + told.seconds - time.time()))
        self.over = True
        end = time.monotonic() + longest + 0.5
        while self.out and time.monotonic() < end:
            await asyncio.sleep(0.02)
        say(done=True)

    async def tell_lag(self) -> None:
        while not self.over:
            await asyncio.sleep(1.0)
            self.trail("lag", self.lag)
            self.lag = 0.0

    def order(self, told: dict) -> None:
        if told["do"] == "begin":
            spawn(self.run(told["at"]))
        elif told["do"] == "flood":
            names = [p.name for p in self.told.plans]
            self.traffic.demand_factors[names.index(told["plan"])] = told["factor"]


async def start(config: dict):
    """`rehearsal`, `host`, `seed`, `part` of all drivers, `ports` by client zone and limiter,
    `trail`. Starts at the order `begin` with `at` (Unix s); writes a line when all is over.
    """
    return Driver(config).order
