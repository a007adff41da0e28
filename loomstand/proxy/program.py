"""The proxy: turns what clients ask into the module's notes, and its actions into bytes."""

from __future__ import annotations

import asyncio
import contextlib
from random import Random

from absl import logging

from loomstand.admission.actions import Abort, IncrementCounter, Reject
from loomstand.admission.decision_engine import DecisionEngine
from loomstand.admission.endpoints import Endpoint, EndpointState
from loomstand.admission.events import (
    EndpointsUpdated,
    RequestArrived,
    SettingsChanged,
    TenantTotalUpdated,
)
from loomstand.admission.identifiers import stable_digest
from loomstand.admission.outcome import Outcome
from loomstand.config.configuration import ClientLimits, ConfigurationError, ConfigurationReader
from loomstand.config.routes import RouteTable
from loomstand.config.settings import Settings
from loomstand.config.units import parse_address
from loomstand.limiter import http_parser
from loomstand.limiter.client_connection import Client, Front
from loomstand.limiter.event_loop import Streams, Turns
from loomstand.limiter.gateway_core import GatewayCore
from loomstand.limiter.request import Flight, Req
from loomstand.proxy.counter_replay import CounterReplay
from loomstand.proxy.instance_view import InstanceView
from loomstand.proxy.policy_compiler import COUNT_WITHIN, Fleet, PolicyCompiler
from loomstand.proxy.quota_credits import AGAIN, APART, CALLS, QuotaCredits
from loomstand.proxy.request import Dispatch, ProxyRequest
from loomstand.proxy.sessions import Sessions
from loomstand.proxy.shared_clock import SharedClock
from loomstand.proxy.upstream import UpstreamPool
from loomstand.registry.instances import DRAINING, GONE, READY, SILENT, Row
from loomstand.registry.quota_buckets import SLOTS
from loomstand.rpc.errors import CallFailure
from loomstand.rpc.network import Network
from loomstand.rpc.operator_http import OperatorHttpServer

# Within a region a connection comes up in 3 ms and a server takes one more; where it doesn't in
# this time the machine is gone or cut off, and the request has time for another server.
CONNECT_WITHIN = 0.25
IDLE_MOST = 60.0  # seconds that a connection to a server is kept idle, whatever it states
FIXED_SOCKETS = 300  # 200 are reserved; sessions, files, the loop's own, and room for errors
# After SIGTERM new connections come until the platform has missed two answers, a second apart.
LINGER = 2.5
FEW = 0.15  # seconds after which a client may ask again whose request there was no memory for
# One that found the servers full may ask again after this share of its route's aim, more or less by
# chance: the queue has moved on by then, and those refused together don't come back together.
BACK = (0.35, 0.65)
NOT_YET = 0.3  # and one that came before there was a configuration
# A request that meets a starting limiter waits so many seconds at most, and half of its client's
# time: when all start at once the configuration comes within 0.6 s, and servers' heartbeats 1.5 s
# apart.
HOLD = 0.8
# After a start of all, the counter too, credits come by the rate alone: a request waits for one for
# less than the quarter of its route's aim in which nothing is lost by it.
OFFERED = 0.2
SETTLED = 4.0  # seconds after its start by when a limiter knows all servers that there are
QUOTA = {"full count", "old total", "ceiling"}
PHASES = {
    READY: EndpointState.LIVE,
    DRAINING: EndpointState.DRAINING,
    SILENT: EndpointState.DRAINING,
    GONE: EndpointState.GONE,
}
# A limiter that started while no registry knew of a primary serves with what it has after so many
# seconds.
UNSURE = 3.0
CALL = {
    CallFailure.NEVER_RAN: Outcome.CONNECT_FAILED,
    CallFailure.REFUSED: Outcome.REJECTED,
    CallFailure.MAY_HAVE_RUN: Outcome.NO_RESPONSE,
}


class Proxy(GatewayCore):
    """One proxy."""

    def __init__(
        self,
        settings: Settings,
        network: Network,
        rng: Random,
        turns: Turns | None = None,
        streams: Streams | None = None,
    ) -> None:
        """`streams` where connections are not by real sockets."""
        limits = settings.limits
        super().__init__(
            logging.info, turns, limits.memory_mb // 2, limits.file_descriptors - FIXED_SOCKETS
        )
        self.conf, self.rng, self.room_at_all = settings, rng, self.room.left
        self.front = Front(self, self.spare, limits.file_descriptors)
        self.front.own_paths = False
        self.bound(ClientLimits())
        self.pool = UpstreamPool(self, CONNECT_WITHIN, IDLE_MOST)
        if streams is not None:
            self.front.bind, self.pool.connect = streams.listen, streams.connect
        self.patience = 10.0
        self.lists = InstanceView()
        self.terms = PolicyCompiler(settings.bounds, list(settings.zones), settings.zone)
        self.identifiers: dict[int, str] = {}
        self.indices: dict[str, int] = {}
        self.by_service: dict[str, set[int]] = {}  # the live servers of each service
        self.fleet = Fleet()
        self.table: RouteTable | None = None
        self.reader = ConfigurationReader()
        self.sure_at: float | None = None
        self.sessions = Sessions(settings, network, self.loop.time, rng, self)
        self.readiness = OperatorHttpServer(self.ready, turns, 4 << 20, 64, 4096, streams)
        self.begun, self.common = self.loop.time(), SharedClock()
        self.held: dict[ProxyRequest, float] = {}  # wait for the start's end, since
        self.brain = self.begin()
        self.told = CounterReplay()
        self.credits = QuotaCredits(settings.bounds, rng.getrandbits(32), self.begun)
        self.short = asyncio.Event()  # a tenant's credits run short
        self.counting_tasks: set[asyncio.Task[None]] = set()

    def begin(self) -> DecisionEngine:
        """The module, from the start."""
        return DecisionEngine(self.terms.settings(self.fleet), self.rng.getrandbits(64), self.now())

    # life

    async def run(self) -> None:
        """Serves until `stop`, and until all that was taken is answered."""
        self.loop.set_exception_handler(self.failed)
        assert (
            self.conf.listen_addresses.frontend is not None
            and self.conf.listen_addresses.readiness is not None
        )
        await self.readiness.listen(self.conf.listen_addresses.readiness)
        await self.front.listen(self.conf.listen_addresses.frontend)
        logging.info("listens")
        self.sessions.start()
        self.loop.call_later(1.0, self.sweep)
        crediting = self.loop.create_task(self.crediting())
        await self.stopped.wait()
        crediting.cancel()
        await self.sessions.stop()
        self.readiness.stop()

    def linger(self) -> float:
        return LINGER

    def reload(self, settings: Settings) -> None:
        """The settings file has changed."""
        self.conf = settings
        self.sessions.reload(settings)

    async def ready(self, method: bytes, target: bytes, body: bytes) -> tuple[int, bytes]:
        if target.partition(b"?")[0] != b"/api/readiness":
            return 404, b""
        return (200 if self.able else 503), b""

    def look(self) -> None:
        """Ready once there is a configuration that is the newest for sure, and somebody to send
        to.
        """
        known = self.sure_at is not None and (self.loop.time() >= self.sure_at)
        able = (
            self.table is not None and known and bool(self.by_service) and not self.front.stopping
        )
        if able != self.able:
            self.able = able
            logging.info("ready" if able else "not ready")

    def swept_more(self) -> None:
        self.look()
        self.told.sweep(self.loop.time())

    # from the registries

    def servers(self, registry: str, rows: list[Row], anew: bool) -> None:
        entries = []
        for id_ in self.lists.told(registry, rows, anew):
            known = self.lists.servers[id_]
            srv = self.indices.get(id_)
            if srv is None:
                srv = self.indices[id_] = len(self.identifiers)
                self.identifiers[srv] = id_
            entries.append(self.entry(srv, known.use, known.service, known.zone, known.address))
        if entries:
            self.note(EndpointsUpdated(tuple(entries), False))
            self.look()
            self.settle()

    def entry(self, srv: int, use: str, service: str, zone: str, where: str) -> Endpoint:
        phase = PHASES[use]
        self.pool.told(srv, None if phase is EndpointState.GONE else parse_address(where))
        live = self.by_service.setdefault(service, set())
        (live.add if phase is EndpointState.LIVE else live.discard)(srv)
        at = self.terms.services.index_of(service)
        return Endpoint(srv, phase, self.terms.zones.index_of(zone), 0, 0, 1.0, 0, at)

    def misdirected(self, flight: Dispatch) -> None:
        """Another server has the address: this one is over."""
        id_ = self.identifiers[flight.srv]
        known = self.lists.servers.get(id_)
        if known is not None and known.state != GONE:
            known.state = GONE
            entry = self.entry(flight.srv, GONE, known.service, known.zone, known.address)
            self.loop.call_soon(self.note, EndpointsUpdated((entry,), False))

    def limiters(self, me: int, many: int, silent: int) -> None:
        fleet = Fleet(me, max(1, many), silent)
        if fleet != self.fleet:
            self.fleet = fleet
            self.credits.limiters(fleet.all)
            self.rule()

    def configured(self, version: int, data: bytes) -> bool:
        """A configuration, newer than the one held; swapped whole."""
        try:
            configuration = self.reader.parse(data)
        except ConfigurationError as why:  # it was checked before it was stored: a fault of ours
            logging.error("configuration r%d can't be used: %s", version, why)
            return False
        self.terms.learn(configuration)
        self.table = RouteTable.from_configuration(configuration)
        self.credits.learn(
            {stable_digest(t.name): t for t in configuration.tenants or () if t.rate_per_second > 0}
        )
        self.short.set()
        self.bound(configuration.limits)
        self.rule()
        self.look()
        self.settle()
        return True

    def bound(self, limits: ClientLimits) -> None:
        """What clients may send from their next request on, and how long they may idle. A body is
        held whole, so it may take an eighth of the memory for buffers at most, whatever the
        configuration allows.
        """
        self.stays, before = limits.idle_timeout_seconds + 1, self.front.stays
        if self.stays >= before:
            self.front.stays = self.stays
        else:  # who has rested on the longer time's word may still do so to its end
            self.loop.call_later(before, self.shorten, self.stays)
        self.front.heads = limits.header_timeout_seconds + 1
        self.front.most_head = limits.max_header_bytes
        self.front.most_body = min(limits.max_body_bytes, self.room_at_all // 8)

    def shorten(self, stays: float) -> None:
        self.front.stays = max(stays, self.stays)  # it may have become longer since

    def full(self, totals: list[list[float]]) -> None:
        """Tenants near the brim of their quota, by the names of their counts; those whose bucket is
        half full are let in by credits alone.
        """
        for name, total, *closed in totals:
            if any(closed):
                self.credits.full(int(name) >> SLOTS, self.loop.time())
            plan = self.terms.by_digest.get(int(name) >> SLOTS)
            if plan is not None:
                self.note(
                    TenantTotalUpdated(int(name), float(total), plan, plan, int(name) >> SLOTS)
                )

    def clock_told(self, clock: int | None, sure: bool) -> None:
        """The common clock as a registry has it: intervals follow it, while time doesn't jump here.
        `sure`: the configuration held is known to be the newest.
        """
        if self.sure_at is None:
            if sure:
                self.sure_at = self.loop.time()
            elif self.table is not None:
                self.sure_at = self.loop.time() + UNSURE
        elif sure:
            self.sure_at = min(self.sure_at, self.loop.time())
        if clock is not None and self.common.heard(clock, self.now()):
            logging.info("the common clock is %.3f s ahead", self.common.shift / 10_000)
            self.rule()
        self.look()

    def common_clock(self) -> int | None:
        return self.now() + self.common.shift if self.common.known else None

    def rule(self) -> None:
        """The module's settings are other ones."""
        self.note(SettingsChanged(self.terms.settings(self.fleet, self.common.shift)))

    # from clients

    def take(self, client: Client, machine: http_parser.RequestReceiver, at: float) -> None:
        """A request has come: if nothing is wrong with it, it is owed one answer from here on."""
        req = ProxyRequest(machine)
        req.client, client.req = client, req
        if self.table is None or not self.staffed(req) or not self.granted(req):
            self.hold(req, at)
        else:
            self.admit(req, at)

    def staffed(self, req: ProxyRequest) -> bool:
        """Whether somebody is known who could serve it; later on, whoever isn't known isn't
        there.
        """
        if self.loop.time() - self.begun > SETTLED:  # first, as each request asks
            return True
        route = self.table.find_route(req.host, req.path)
        if route is None:
            return True
        return any(
            weight > 0 and self.by_service.get(service) for service, weight in route.traffic_split
        )

    def granted(self, req: ProxyRequest) -> bool:
        """Whether the first credits have come, for a request that may need one."""
        return (
            self.credits.answered
            or self.loop.time() - self.begun > SETTLED
            or not self.credits.credits
        )

    def lacks(self, req: ProxyRequest) -> bool:
        """Whether it waits for a credit."""
        name = stable_digest(req.tenant.name) if req.tenant else 0
        return bool(name) and not self.credits.has(name, self.loop.time())

    def hold(self, req: ProxyRequest, at: float, most: float = HOLD) -> None:
        """At a start the configuration, the first heartbeats and credits are under way: a request
        waits for them, as all limiters would refuse it alike.
        """
        self.held[req] = at
        most = most if req.wait is None else min(most, req.wait / 2000)
        self.loop.call_later(most, self.release, req)

    def release(self, req: ProxyRequest) -> None:
        at = self.held.pop(req, None)
        if at is not None and req.client is not None:
            self.admit(req, at, True)

    def settle(self) -> None:
        """Something came that held requests wait for."""
        for req in [*self.held]:
            waits = (
                self.table is None
                or not self.staffed(req)
                or not self.granted(req)
                or self.lacks(req)
            )
            if req.client is None or not waits:
                self.release(req)

    def admit(self, req: ProxyRequest, at: float, waited: bool = False) -> None:
        """Nothing is wrong with it, or it is answered at once."""
        table = self.table
        if table is None:
            self.answer(req, 503, extra=f"Retry-After: {NOT_YET}\r\n")
            return
        req.route = table.find_route(req.host, req.path)
        if req.route is None:
            self.answer(req, 404)
            return
        if table.requires_api_key(req.route):
            req.tenant = table.find_tenant(req.key)
            if req.tenant is None:
                self.answer(req, 401)
                return
        plan = self.terms.tenants.index_of(req.tenant.name) if req.tenant else 0
        front, name = self.terms.by_route[req.route.name], self.terms.digests[plan]
        now = self.loop.time()
        may = self.credits.may(name, now)
        if self.credits.due(name, now):
            self.short.set()
        if not may and not waited and now - self.begun < SETTLED:
            self.hold(req, at, OFFERED * req.route.target_latency_seconds)
            return
        if not may:
            wait = self.credits.wait(name, now)
            self.answer(req, 429, extra=f"Retry-After: {wait:.3f}\r\n")
            return
        if not self.room.take(len(req.body)):
            self.answer(req, 503, extra=f"Retry-After: {FEW}\r\n")
            return
        req.service = self.service(table, req)
        self.owed(req, req.client, req.timeout(), at)
        at_service = self.terms.services.index_of(req.service)
        self.note(
            RequestArrived(
                req.id, front, plan, plan, name, req.give_up, 1.0, 0, False, service=at_service
            )
        )
        if req.flights:  # the module let it in
            self.credits.used(name, now)
            if self.credits.due(name, now):
                self.short.set()

    def service(self, table: RouteTable, req: ProxyRequest) -> str:
        """One of the route's services by weight; where that has no server, another that the route
        allows.
        """
        service = table.choose_service(req.route, self.rng.random())
        if self.by_service.get(service):
            return service
        return next(
            (s for s, weight in req.route.traffic_split if weight > 0 and self.by_service.get(s)),
            service,
        )

    # from servers and the counter

    def came(self, flight: Flight, outcome: Outcome, metered: int = 0, body: bytes = b"") -> None:
        req = self.landed(flight)
        if outcome not in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT):
            req.ran = True
        if outcome is Outcome.SUCCEEDED and req.client is not None:
            self.answer(req, *req.got)
        self.ended(flight, outcome)

    def count(self, act: IncrementCounter) -> None:
        task = self.loop.create_task(self.counting(act))
        self.counting_tasks.add(task)
        task.add_done_callback(self.counting_tasks.discard)

    async def counting(self, act: IncrementCounter) -> None:
        asked, keep = self.now(), act.time_to_live / 10_000
        said = {"name": act.counter_name, "step": act.amount, "keep": keep}
        got = await self.sessions.count(said, COUNT_WITHIN / 1000)
        outcome = Outcome.SUCCEEDED if got.is_ok() else CALL[got.error]
        if outcome in (Outcome.SUCCEEDED, Outcome.NO_RESPONSE):
            counts = int(got.ok.get("counts", 0)) if got.is_ok() else None
            lacks = self.told.added(act.counter_name, act.amount, keep, self.loop.time(), counts)
            # another counts now, without what this limiter had added: a total without it is too low
            for name, added in (
                self.told.lacking(act.counter_name, counts) if counts is not None else ()
            ):
                more = self.sessions.count(
                    said | {"name": name, "step": added}, COUNT_WITHIN / 1000
                )
                if (await more).is_error():
                    self.told.untold(name)
            if lacks:
                got = await self.sessions.count(said | {"step": lacks}, COUNT_WITHIN / 1000)
                if got.is_error() or got.ok.get("counts") != counts:
                    self.told.untold(act.counter_name)
                    outcome = Outcome.NO_RESPONSE
        if got.is_ok() and got.ok.get("young"):  # other limiters may not have told theirs again
            outcome = Outcome.NO_RESPONSE
        total = float(got.ok["total"]) if outcome is Outcome.SUCCEEDED else 0.0
        self.counted(act.counter_name, outcome, total, self.now() - asked)

    async def crediting(self) -> None:
        """Asks the counter for credits, one call at a time: when some run short, else to keep them
        good.
        """
        while True:
            self.short.clear()
            sent = self.loop.time()
            number, alone, entries = self.credits.call(sent)
            said = {
                "name": self.conf.node_name,
                "life": self.credits.life,
                "number": number,
                "alone": alone,
                "entries": entries,
            }
            got = await self.sessions.count(said, COUNT_WITHIN / 1000, "grant")
            if got.is_ok():
                pause, more = APART, got.ok.get("grants")
                if self.credits.granted(sent, self.loop.time(), int(got.ok["number"]), more):
                    continue
                self.settle()
            else:
                pause = AGAIN
            await asyncio.sleep(pause)
            if got.is_ok() and not self.short.is_set():
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.short.wait(), CALLS - pause)

    # the module

    def flight(self, req: Req, srv: int, expire: int) -> Flight:
        return Dispatch(req, len(req.flights), srv, self.now(), expire, self.identifiers[srv])

    def try_limit(self, req: Req) -> int:
        """None more for what must not run twice and may have run, or may yet: whatever the module
        thinks.
        """
        if not req.route.idempotent and (req.ran or sum(f is not None for f in req.flights) > 1):
            return 0
        return req.route.max_attempts

    def deny(self, act: Reject) -> None:
        req = self.reqs.get(act.request_id)
        if req is None or req.client is None:
            return
        if req.ran or any(req.flights):  # no promise while it may run yet
            self.over(req)
        elif act.reason in QUOTA:
            wait = max(0.05, act.retry_after / 10_000)
            self.answer(req, 429, extra=f"Retry-After: {wait:.3f}\r\n")
        else:
            wait = self.rng.uniform(*BACK) * req.route.target_latency_seconds
            self.answer(req, 503, extra=f"Retry-After: {wait:.3f}\r\n")
        self.forget(req)

    def abort(self, act: Abort) -> None:
        req = self.reqs.get(act.request_id)
        if req is not None and req.client is not None:
            self.over(req)
            self.forget(req)

    def over(self, req: ProxyRequest) -> None:
        """The last word on a request that may have run: a server's own, if one gave it."""
        if req.got is not None:
            self.answer(req, *req.got)
        else:
            self.answer(req, 504 if self.now() >= req.give_up - 100 else 502)
