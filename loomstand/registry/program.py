"""The registry: creates and connects its parts, and routes calls to them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from random import Random

from absl import logging

from loomstand.config.settings import Settings
from loomstand.registry.change_notifier import ChangeNotifier
from loomstand.registry.configuration_cache import ConfigurationCache
from loomstand.registry.context import RegistryContext, RegistryState
from loomstand.registry.counting_service import CountingService
from loomstand.registry.http_responses import BadRequestError, HttpResponse, error_response
from loomstand.registry.http_routing import (
    HttpRequest,
    RouteNode,
    match_method,
    match_path,
    match_query,
)
from loomstand.registry.instances import InstanceTable
from loomstand.registry.limiter_sessions import LimiterSessions, SessionIdGenerator
from loomstand.registry.limiters import LimiterTable
from loomstand.registry.operator_api import OperatorApi
from loomstand.registry.replication import Replication
from loomstand.registry.request_router import RequestRouter
from loomstand.registry.server_heartbeats import ServerHeartbeats
from loomstand.registry.shared_clock import SharedClock
from loomstand.registry.store_client import StoreClient
from loomstand.rpc.messages.configuration_messages import OfferRequest
from loomstand.rpc.messages.gossip_messages import GossipRequest, SnapshotRequest
from loomstand.rpc.messages.quota_messages import CreditRequest, IncrementRequest
from loomstand.rpc.messages.session_messages import (
    ConfigurationRequest,
    DeregisterRequest,
    SessionRequest,
)
from loomstand.rpc.network import Network

NANOSECONDS_PER_SECOND = 1e9

HttpHandler = Callable[[HttpRequest, bytes], Awaitable[HttpResponse]]


class Registry:
    """One registry.

    Attributes:
        context: Dependencies shared by its parts.
        state: The registry's soft state.
        counting: Counters and credits for limiters, under the counting lease.
        replication: Replication with the other registries.
        store_client: Client of the store on this machine.
        sessions: The limiters' sessions.
        server_heartbeats: Handlers of the servers' calls.
        operator_api: Handlers of the operators' calls.
        requests: Router of the calls of limiters and other registries.
    """

    def __init__(
        self,
        settings: Settings,
        network: Network,
        clock: Callable[[], float],
        wall_seconds: float | None = None,
    ) -> None:
        """Creates and connects the parts.

        Args:
            settings: The machine's settings.
            network: Network for the calls to and from other programs.
            clock: A monotonic clock, in seconds.
            wall_seconds: Wall clock time at the start, in seconds since the Unix epoch; None to
                read it from the system.
        """
        incarnation = _incarnation(settings.ip_address, wall_seconds)
        rng = Random(incarnation)
        now = clock()
        wall_clock_seconds = time.time() if wall_seconds is None else wall_seconds
        self.context = RegistryContext(settings, network, clock, rng, ChangeNotifier(clock))
        self.context.set_core_hosts({host for host, _ in settings.seed_nodes}, set())
        self.state = RegistryState(
            instances=InstanceTable(settings.heartbeat_seconds),
            limiters=LimiterTable(),
            shared_clock=SharedClock(wall_clock_seconds - now),
            configuration=ConfigurationCache(now),
        )
        session_ids = SessionIdGenerator(rng)
        self.counting = CountingService(self.context, self.state)
        self.replication = Replication(self.context, self.state, self.counting)
        self.store_client = StoreClient(self.context, self.state, self.counting)
        self.sessions = LimiterSessions(
            self.context, self.state, self.counting, self.replication, session_ids
        )
        self.server_heartbeats = ServerHeartbeats(
            self.context, self.state, self.replication, self.sessions
        )
        self.operator_api = OperatorApi(
            self.context, self.state, self.counting, self.store_client, incarnation
        )
        self.requests = self._make_request_router()
        self._http_routes = self._make_http_routes()

    def _make_request_router(self) -> RequestRouter:
        router = RequestRouter()
        router.add(SessionRequest, self.sessions.handle_session)
        router.add(ConfigurationRequest, self.store_client.handle_configuration)
        router.add(IncrementRequest, self.counting.handle_increment)
        router.add(CreditRequest, self.counting.handle_credits)
        router.add(DeregisterRequest, self.sessions.handle_deregister)
        router.add(OfferRequest, self.store_client.handle_offer)
        router.add(GossipRequest, self.replication.handle_gossip)
        router.add(SnapshotRequest, self.replication.handle_snapshot)
        return router

    def _make_http_routes(self) -> RouteNode[HttpHandler]:
        handlers: dict[str, RouteNode[HttpHandler] | HttpHandler] = {
            "instances.heartbeat": self.server_heartbeats.handle_heartbeat,
            "instances.leave": self.server_heartbeats.handle_leave,
            "configuration.replace": self.operator_api.handle_replace,
            "configuration.read": self.operator_api.handle_read,
            "system.status": self.operator_api.handle_status,
            "system.rescue": self.operator_api.handle_rescue,
        }
        by_call: RouteNode[HttpHandler] = match_query("call", handlers)
        by_method: RouteNode[HttpHandler] = match_method({"POST": by_call})
        return match_path({"/api/rpc": by_method})

    async def run(self) -> None:
        """Serves RPC calls until `stop`."""
        settings = self.context.settings
        address = settings.registry_address(settings.ip_address)
        await self.context.network.listen(address, self.requests.serve)
        try:
            await asyncio.gather(
                self.replication.bootstrap(),
                self.store_client.run(),
                self.counting.run(),
                self.replication.run(),
            )
        finally:
            self.store_client.close()
            await self.context.tasks.close()

    def stop(self) -> None:
        """Makes `run` release the counting lease and return."""
        self.context.is_stopping = True
        self.context.notifier.close()
        self.counting.stop()

    def reload(self, settings: Settings) -> None:
        """Logs that changed settings only apply at the next start.

        The seed nodes are only needed at the start; afterwards the store reports the core machines.
        """
        logging.info("registry: settings_changed node=%s applies=next_start", settings.node_name)

    async def handle_http(self, method: bytes, target: bytes, body: bytes) -> HttpResponse:
        """Handles an HTTP request of a server or an operator."""
        request = HttpRequest.parse(method, target)
        handler = self._http_routes.match(request)
        if isinstance(handler, HTTPStatus):
            name = request.query.get("call", "")
            return error_response(handler, f"no call {request.method} {request.path} call={name}")
        try:
            return await handler(request, body)
        except BadRequestError as error:
            return error_response(HTTPStatus.BAD_REQUEST, str(error))


def _incarnation(host: str, wall_seconds: float | None) -> str:
    """Returns a text that identifies this start of the registry."""
    if wall_seconds is None:
        nanoseconds = time.time_ns()
    else:
        nanoseconds = int(wall_seconds * NANOSECONDS_PER_SECOND)
    return f"{nanoseconds:x}-{host}"
