"""One limiter on sockets: turns what comes into notes, and the module's actions into bytes."""

from __future__ import annotations

import time

from loomstand.admission.actions import Abort, IncrementCounter, Reject
from loomstand.admission.decision_engine import DecisionEngine
from loomstand.admission.endpoints import Endpoint, EndpointState
from loomstand.admission.events import EndpointsUpdated, RequestArrived
from loomstand.admission.identifiers import NameIndex
from loomstand.admission.outcome import Outcome
from loomstand.admission.ticks import ticks_rounded_up
from loomstand.config.limiter import BackendList, LimiterConfig, engine_settings, parse_host_port
from loomstand.limiter import http_parser
from loomstand.limiter.client_connection import Client, ClientListener
from loomstand.limiter.counter import Counter
from loomstand.limiter.discovery import Watch
from loomstand.limiter.event_loop import Turns
from loomstand.limiter.gateway_core import GatewayCore
from loomstand.limiter.log import Log
from loomstand.limiter.request import AccountRequest, Attempt, Names
from loomstand.limiter.upstream import ConnectionPool

PHASES = {
    "active": EndpointState.LIVE,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.GONE,
}
LINGER = 0.7  # PROTOCOL: a request that comes later than this after SIGTERM may find nobody
FIXED_SOCKETS = (
    16  # standard streams, the loop's own, the listener, the counter's, discovery's, and some files
)


class Limiter(GatewayCore[AccountRequest]):
    """Everything of one limiter. `run` serves until it is told to stop."""

    def __init__(self, config: LimiterConfig, turns: Turns | None = None) -> None:
        conf, limits = config.settings, config.limits
        self.config = config
        super().__init__(Log(config.name), turns, limits.memory_mb, limits.sockets - FIXED_SOCKETS)
        self.halls, self.kinds, self.servers = (
            NameIndex(conf.zones),
            NameIndex(conf.server_kinds),
            NameIndex(),
        )
        self.settings = engine_settings(conf, self.halls.index_of(conf.zone))
        # this process has run at least as long as it has worked: so long it surely passed nothing
        started = self.now() - int(time.process_time() * 10_000)
        names = ([f.name for f in conf.frontends], [p.name for p in conf.plans], conf.zones)
        self.failover = None
        if config.zone_plan:
            from loomstand.failover.engine_view import FailoverPolicy

            self.failover = FailoverPolicy(config.zone_plan, self.settings, names, started)
        self.engine = DecisionEngine(self.settings, config.random_seed, started, self.failover)
        self.names = Names(
            [f.name for f in conf.frontends], [p.name for p in conf.plans], self.settings
        )
        within, idle = (
            conf.allowed_actions.connect_timeout_ms / 1000,
            conf.allowed_actions.idle_timeout_ms / 1000,
        )
        self.listener, self.pool = (
            ClientListener(self, self.spare, limits.sockets),
            ConnectionPool(self, within, idle),
        )
        self.counter: Counter | None = None
        if config.counter_address and conf.counter.has_counter:
            self.counter = Counter(
                self, config.counter_address, conf.counter.call_timeout_ms / 1000, within
            )
        self.watch = Watch(
            self,
            config.discovery_address,
            config.initial_backends.revision,
            within,
            config.random_seed,
        )
        self.peers = None
        if config.peer_addresses:
            # only where there are any: a start counts its CPU
            from loomstand.membership.driver import PeerProtocol

            own, fleet, known = (
                self.settings.limiter_index,
                self.settings.limiter_count,
                config.initial_backends,
            )
            self.peers = PeerProtocol(
                self,
                self.watch,
                own,
                fleet,
                config.peer_address,
                config.peer_addresses,
                known,
                config.random_seed,
            )
        self.patience = max(f.client_timeout_ms for f in conf.frontends) / 1000

    # life

    async def run(self) -> None:
        if self.config.initial_backends.backends:
            self.listed(self.config.initial_backends)
        self.loop.set_exception_handler(self.on_loop_exception)
        if self.peers is not None:
            await self.peers.listen()
        else:
            self.watch.start()
        await self.listener.listen(self.config.listen_address)
        self.loop.call_later(1.0, self.sweep)
        self.log(f"listens at {self.config.listen_address[0]}:{self.config.listen_address[1]}")
        await self.stopped.wait()

    def linger_seconds(self) -> float:
        return LINGER

    def attempt_limit(self, request: AccountRequest) -> int:
        return self.settings.attempt_limit

    def on_sweep(self) -> None:
        self.watch.sweep()

    def reload(self, config: LimiterConfig) -> None:
        """Goes on under another configuration: addresses move, and nothing taken is lost."""
        old, self.config = self.config, config
        if config.discovery_address != old.discovery_address:
            self.watch.move(config.discovery_address)
        if (
            self.counter
            and config.counter_address
            and config.counter_address != old.counter_address
        ):
            self.counter.move(config.counter_address)
        fixed = ["name", "listen_address", "limits", "settings"]
        if self.failover and config.zone_plan:
            self.failover.replace_plan(config.zone_plan)
        else:
            fixed.append("zone_plan")
        kept = [f for f in fixed if getattr(config, f) != getattr(old, f)]
        rest = f"; {', '.join(kept)}: only at the next start" if kept else ""
        where = f"discovery at {config.discovery_address}, counter at {config.counter_address}"
        self.log(f"read its configuration again: {where}{rest}")

    def stop(self) -> None:
        if not self.listener.stopping and self.peers is not None:
            self.peers.leave()
        super().stop()

    def left(self) -> None:
        self.watch.stop()
        if self.peers is not None:
            self.peers.stop()

    # from discovery, and from peers

    def told(self, list_: BackendList) -> None:
        """Discovery itself spoke."""
        if self.peers is not None:
            self.peers.discovery_listed(list_)
        self.listed(list_)

    def beat(self) -> None:
        if self.peers is not None:
            self.peers.discovery_confirmed()

    def listed(self, list_: BackendList) -> None:
        if list_.complete:
            named = {m.id for m in list_.backends}
            for name, endpoint_id in list(self.servers.indices.items()):
                if name not in named:
                    self.pool.set_address(endpoint_id, None)
                    self.servers.forget(endpoint_id)
        entries = []
        for m in list_.backends:
            endpoint_id, phase = self.servers.index_of(m.id), PHASES[m.phase]
            self.pool.set_address(
                endpoint_id,
                None if phase is EndpointState.GONE else parse_host_port(m.address, "host_port"),
            )
            hall, kind = self.halls.index_of(m.zone), self.kinds.index_of(m.kind)
            entries.append(
                Endpoint(
                    endpoint_id,
                    phase,
                    hall,
                    kind,
                    m.pod,
                    m.capacity_hint,
                    ticks_rounded_up(m.started_at_ms),
                )
            )
            if phase is EndpointState.GONE:
                self.servers.forget(endpoint_id)
        self.handle_event(EndpointsUpdated(tuple(entries), list_.complete))
        self.is_ready = not self.listener.stopping

    # from clients

    def request_received(
        self, client: Client, machine: http_parser.RequestReceiver, at: float
    ) -> None:
        """A request has come: if nothing is wrong with it, it is owed one answer from here on."""
        request = AccountRequest(machine, self.names)
        if not self.room.take(len(request.body)):
            client.answer(503)
            return
        timeout = min(
            10 * request.timeout, self.settings.frontends[request.frontend].client_timeout
        )
        self.track_request(request, client, timeout, at)
        who, turn = (
            (request.plan, *request.customer),
            (request.units, request.set_size, request.retry, request.first),
        )
        self.handle_event(
            RequestArrived(request.id, request.frontend, *who, request.deadline, *turn)
        )

    # from servers

    def attempt_ended(
        self,
        attempt: Attempt[AccountRequest],
        outcome: Outcome,
        metered: int = 0,
        body: bytes = b"",
    ) -> None:
        request = self.finish_attempt(attempt)
        if outcome is Outcome.SUCCEEDED and request.client is not None:
            self.answer(request, 200, body)
        self.report_attempt(attempt, outcome, metered)

    # the module

    def reject_request(self, act: Reject) -> None:
        request = self.requests.get(act.request_id)
        if request is not None and request.client is not None:
            self.answer(
                request,
                429,
                extra=f"Retry-After: {act.retry_after / 10_000:.3f}\r\n" if act.retry_after else "",
            )
            self.forget_request(request)

    def abort(self, act: Abort) -> None:
        request = self.requests.get(act.request_id)
        if request is not None and request.client is not None:
            self.answer(request, 502)
            self.forget_request(request)

    def increment_counter(self, act: IncrementCounter) -> None:
        if self.counter is None:
            self.loop.call_soon(
                self.counter_replied, act.counter_name, Outcome.CONNECT_FAILED, 0.0, 0
            )
        else:
            self.counter.call(act)
