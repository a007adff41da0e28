"""The stand-alone limiter: combines clients, servers, counter, discovery and peers."""

from __future__ import annotations

import time

from loomstand.admission.actions import Abort, IncrementCounter, Reject
from loomstand.admission.decision_engine import DecisionEngine
from loomstand.admission.endpoints import Endpoint, EndpointState
from loomstand.admission.events import EndpointsUpdated, RequestArrived
from loomstand.admission.identifiers import NameIndex
from loomstand.admission.outcome import Outcome
from loomstand.admission.ticks import (
    TICKS_PER_MILLISECOND,
    TICKS_PER_SECOND,
    ticks_rounded_up,
)
from loomstand.config.limiter import BackendList, LimiterConfig, engine_settings, parse_host_port
from loomstand.limiter import http_parser
from loomstand.limiter.client_connection import ClientConnection, ClientListener
from loomstand.limiter.counter import CounterClient
from loomstand.limiter.discovery import Watch
from loomstand.limiter.event_loop import ArrivalClockSelector
from loomstand.limiter.gateway_core import GatewayCore
from loomstand.limiter.log import Log
from loomstand.limiter.request import AccountRequest, Attempt, NameLookup
from loomstand.limiter.upstream import ConnectionPool

PHASES = {
    "active": EndpointState.LIVE,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.GONE,
}
LINGER_SECONDS = 0.7  # protocol: requests sent later than this after SIGTERM may be refused
FIXED_SOCKETS = 16  # standard streams, event loop, listener, counter, discovery and some open files


class Limiter(GatewayCore[AccountRequest]):
    """A stand-alone limiter process. `run` serves until `stop` has completed.

    Attributes:
        config: The configuration read last.
        zones: Indices of the zones.
        kinds: Indices of the servers' machine types.
        servers: Indices of the servers.
        settings: Settings of the decision engine.
        failover: Applies the zone plan; None without one.
        names: Resolves the names in requests.
        counter: Client of the counter service; None without one.
        watch: The watch on the discovery service.
        peers: Exchanges server lists with the other limiters; None without configured peers.
    """

    def __init__(
        self, config: LimiterConfig, arrival_clock: ArrivalClockSelector | None = None
    ) -> None:
        settings, limits = config.settings, config.limits
        self.config = config
        super().__init__(
            Log(config.name), arrival_clock, limits.memory_mb, limits.sockets - FIXED_SOCKETS
        )
        self.zones, self.kinds, self.servers = (
            NameIndex(settings.zones),
            NameIndex(settings.server_kinds),
            NameIndex(),
        )
        self.settings = engine_settings(settings, self.zones.index_of(settings.zone))
        # The engine's time begins with the process, which started at least its CPU time ago and has
        # admitted nothing since.
        started_at = self.now() - int(time.process_time() * TICKS_PER_SECOND)
        names = (
            [f.name for f in settings.frontends],
            [p.name for p in settings.plans],
            settings.zones,
        )
        self.failover = None
        if config.zone_plan:
            from loomstand.failover.engine_view import FailoverPolicy

            self.failover = FailoverPolicy(config.zone_plan, self.settings, names, started_at)
        self.engine = DecisionEngine(self.settings, config.random_seed, started_at, self.failover)
        self.names = NameLookup(
            [f.name for f in settings.frontends], [p.name for p in settings.plans], self.settings
        )
        connect_timeout, idle_timeout = (
            settings.allowed_actions.connect_timeout_ms / 1000,
            settings.allowed_actions.idle_timeout_ms / 1000,
        )
        self.listener, self.pool = (
            ClientListener(self, self.reserved_sockets, limits.sockets),
            ConnectionPool(self, connect_timeout, idle_timeout),
        )
        self.counter: CounterClient | None = None
        if config.counter_address and settings.counter.has_counter:
            self.counter = CounterClient(
                self,
                config.counter_address,
                settings.counter.call_timeout_ms / 1000,
                connect_timeout,
            )
        self.watch = Watch(
            self,
            config.discovery_address,
            config.initial_backends.revision,
            connect_timeout,
            config.random_seed,
        )
        self.peers = None
        if config.peer_addresses:
            # Imported only if needed, to save CPU time at the start.
            from loomstand.membership.driver import PeerProtocol

            index, count, initial_list = (
                self.settings.limiter_index,
                self.settings.limiter_count,
                config.initial_backends,
            )
            self.peers = PeerProtocol(
                self,
                self.watch,
                index,
                count,
                config.peer_address,
                config.peer_addresses,
                initial_list,
                config.random_seed,
            )
        self.message_timeout_seconds = max(f.client_timeout_ms for f in settings.frontends) / 1000

    # lifecycle

    async def run(self) -> None:
        """Serves requests until a graceful shutdown has completed.

        Raises:
            OSError: The listen address can't be bound.
        """
        if self.config.initial_backends.backends:
            self.update_servers(self.config.initial_backends)
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
        return LINGER_SECONDS

    def attempt_limit(self, request: AccountRequest) -> int:
        return self.settings.attempt_limit

    def on_sweep(self) -> None:
        self.watch.sweep()

    def reload(self, config: LimiterConfig) -> None:
        """Applies a new configuration without losing pending work.

        The addresses of discovery and counter change at once, as does a zone plan if one is in use;
        everything else changes at the next start.
        """
        old, self.config = self.config, config
        if config.discovery_address != old.discovery_address:
            self.watch.set_address(config.discovery_address)
        if (
            self.counter
            and config.counter_address
            and config.counter_address != old.counter_address
        ):
            self.counter.set_address(config.counter_address)
        at_start_only = ["name", "listen_address", "limits", "settings"]
        if self.failover and config.zone_plan:
            self.failover.replace_plan(config.zone_plan)
        else:
            at_start_only.append("zone_plan")
        deferred = [key for key in at_start_only if getattr(config, key) != getattr(old, key)]
        suffix = f"; {', '.join(deferred)}: only at the next start" if deferred else ""
        addresses = f"discovery at {config.discovery_address}, counter at {config.counter_address}"
        self.log(f"read its configuration again: {addresses}{suffix}")

    def stop(self) -> None:
        if not self.listener.stopping and self.peers is not None:
            self.peers.leave()
        super().stop()

    def on_stopped(self) -> None:
        self.watch.stop()
        if self.peers is not None:
            self.peers.stop()

    # discovery and peers

    def list_received(self, list_: BackendList) -> None:
        """Applies a list or change from discovery, and shares it with the peers."""
        if self.peers is not None:
            self.peers.discovery_listed(list_)
        self.update_servers(list_)

    def heartbeat_received(self) -> None:
        """Handles a heartbeat of discovery, which confirms that the known list is current."""
        if self.peers is not None:
            self.peers.discovery_confirmed()

    def update_servers(self, list_: BackendList) -> None:
        """Applies a list or change of servers from discovery or a peer."""
        if list_.complete:
            listed = {backend.id for backend in list_.backends}
            for name, endpoint_id in list(self.servers.indices.items()):
                if name not in listed:
                    self.pool.set_address(endpoint_id, None)
                    self.servers.forget(endpoint_id)
        entries = []
        for backend in list_.backends:
            endpoint_id, phase = self.servers.index_of(backend.id), PHASES[backend.phase]
            self.pool.set_address(
                endpoint_id,
                None
                if phase is EndpointState.GONE
                else parse_host_port(backend.address, "host_port"),
            )
            zone, kind = self.zones.index_of(backend.zone), self.kinds.index_of(backend.kind)
            entries.append(
                Endpoint(
                    endpoint_id,
                    phase,
                    zone,
                    kind,
                    backend.pod,
                    backend.capacity_hint,
                    ticks_rounded_up(backend.started_at_ms),
                )
            )
            if phase is EndpointState.GONE:
                self.servers.forget(endpoint_id)
        self.handle_event(EndpointsUpdated(tuple(entries), list_.complete))
        self.is_ready = not self.listener.stopping

    # clients

    def request_received(
        self, client: ClientConnection, parser: http_parser.RequestReceiver, arrived_at: float
    ) -> None:
        """Validates a received request and passes it to the decision engine.

        Raises:
            Malformed: The request is invalid.
        """
        request = AccountRequest(parser, self.names)
        if not self.memory_budget.reserve(len(request.body)):
            client.answer(503)
            return
        timeout = min(
            request.timeout_ms * TICKS_PER_MILLISECOND,
            self.settings.frontends[request.frontend].client_timeout,
        )
        self.track_request(request, client, timeout, arrived_at)
        customer, customer_digest = request.customer
        self.handle_event(
            RequestArrived(
                request_id=request.id,
                frontend=request.frontend,
                plan=request.plan,
                tenant=customer,
                tenant_digest=customer_digest,
                deadline=request.deadline,
                units=request.units,
                limiter_set_size=request.limiter_set_size,
                is_retry=request.is_retry,
                limiter_set_start=request.limiter_set_start,
            )
        )

    # servers

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

    # decision engine

    def reject_request(self, action: Reject) -> None:
        request = self.requests.get(action.request_id)
        if request is not None and request.client is not None:
            self.answer(
                request,
                429,
                extra=f"Retry-After: {action.retry_after / TICKS_PER_SECOND:.3f}\r\n"
                if action.retry_after
                else "",
            )
            self.forget_request(request)

    def abort(self, action: Abort) -> None:
        request = self.requests.get(action.request_id)
        if request is not None and request.client is not None:
            self.answer(request, 502)
            self.forget_request(request)

    def increment_counter(self, action: IncrementCounter) -> None:
        if self.counter is None:
            self.loop.call_soon(
                self.counter_replied, action.counter_name, Outcome.CONNECT_FAILED, 0.0, 0
            )
        else:
            self.counter.call(action)
