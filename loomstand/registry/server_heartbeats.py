"""HTTP calls of servers: heartbeats, which may announce a drain, and the call to leave.

A drain or leave is a departure. After an acknowledged departure no proxy that is connected to the
core may send requests to the server, so the proxies in reach receive it before. A registry that is
partitioned from the others acknowledges no departure, as proxies that only reach the others would
still send requests to the server. The server then calls another registry. A server that leaves may
be unknown to the registry after a restart; proxies may still use it, so its departure is recorded
and replicated all the same.
"""

from __future__ import annotations

import asyncio
import json
from http import HTTPStatus

from loomstand.config.units import UnitError, parse_address, parse_seconds
from loomstand.registry.context import RegistryContext, RegistryState
from loomstand.registry.http_responses import (
    EMPTY_RESPONSE,
    BadRequestError,
    HttpResponse,
    error_response,
)
from loomstand.registry.http_routing import HttpRequest
from loomstand.registry.instances import DRAINING, READY, Instance
from loomstand.registry.limiter_sessions import LimiterSessions
from loomstand.registry.replication import (
    BROADCAST_TIMEOUT_SECONDS,
    GOSSIP_INTERVAL_SECONDS,
    Replication,
)

# Time for which an acknowledged departure isn't broadcast again when the server repeats its call;
# later calls are broadcast again. A server that departs ends within seconds.
DEPARTURE_RETENTION_SECONDS = 120.0
# Time for which the acknowledgement of a departure waits for limiters, which ask for changes each
# 0.1 s; one that takes longer is cut off or suspended.
LIMITERS_TIMEOUT_SECONDS = 0.3
# Time from the start of a registry until limiters that lost their session have called it again:
# their longest backoff is 0.75 s. Until then it can't tell which limiters must hear of a departure.
LIMITERS_RETURN_SECONDS = 1.0
JUST_STARTED = "the registry has just started, and limiters may not have called it yet"
NOT_REPLICATED = "too few registries are in reach to tell that the server leaves"


class _HeartbeatParser:
    """Parser of a heartbeat.

    Attributes:
        field: The field being parsed, for error messages.
    """

    def __init__(self) -> None:
        self.field = "body"

    def parse(self, instance_id: str, body: bytes, now: float) -> Instance:
        """Parses a heartbeat; errors of any type concern `field`."""
        heartbeat = json.loads(body)
        self.field = "address"
        address = str(heartbeat["address"])
        parse_address(address)
        self.field = "information"
        information = heartbeat["information"]
        service = str(information["service_name"])
        zone = str(information["zone"])
        slots = int(information["capacity_slots"])
        self.field = "status"
        status = heartbeat["status"]
        state = str(status["state"])
        sequence = int(status["sequence"])
        slow_start_seconds = parse_seconds(str(status.get("cold_remaining", "0ms")))
        if state not in (READY, DRAINING):
            raise ValueError(f"state {state!r}")
        slow_start_until = now + slow_start_seconds
        return Instance(
            instance_id, address, service, zone, slots, state, sequence, slow_start_until
        )


def parse_heartbeat(instance_id: str, body: bytes, now: float) -> Instance:
    """Parses a heartbeat.

    Args:
        instance_id: Id of the server.
        body: The request's body, in JSON.
        now: The clock's reading, in seconds.

    Raises:
        BadRequestError: The heartbeat is invalid; the error's text names the field.
    """
    if not instance_id:
        raise BadRequestError("of: a server's id is needed")
    parser = _HeartbeatParser()
    try:
        return parser.parse(instance_id, body, now)
    except (ValueError, KeyError, TypeError, UnitError, RecursionError) as error:
        text = f"{parser.field}: {type(error).__name__}: {error}"
        raise BadRequestError(text) from None


class ServerHeartbeats:
    """Handlers of the servers' calls, which also replicate changes to the other registries."""

    def __init__(
        self,
        context: RegistryContext,
        state: RegistryState,
        replication: Replication,
        sessions: LimiterSessions,
    ) -> None:
        self._context = context
        self._instances = state.instances
        self._replication = replication
        self._sessions = sessions
        self._started_at = context.clock()
        # by id, the time at which a server's departure was acknowledged
        self._acknowledged_at: dict[str, float] = {}

    async def handle_heartbeat(self, request: HttpRequest, body: bytes) -> HttpResponse:
        """Applies a heartbeat; acknowledges a drain once a majority of the registries has it.

        Raises:
            BadRequestError: The heartbeat is invalid.
        """
        instance = parse_heartbeat(request.query.get("of", ""), body, self._context.clock())
        now = self._context.clock()
        self._replication.record_heartbeat(instance)
        if self._instances.apply(instance, now):
            self._context.notifier.notify()
            if instance.state != DRAINING:
                self._context.tasks.spawn(
                    self._replication.broadcast(instance.id, GOSSIP_INTERVAL_SECONDS)
                )
        if instance.state == DRAINING:
            return await self._acknowledge_departure(instance.id)
        return EMPTY_RESPONSE

    async def handle_leave(self, request: HttpRequest, _body: bytes) -> HttpResponse:
        """Marks a server as gone; acknowledges this once a majority of the registries has it.

        Raises:
            BadRequestError: The request doesn't name a server.
        """
        instance_id = request.query.get("of", "")
        if not instance_id:
            raise BadRequestError("of: a server's id is needed")
        if self._instances.record_leave(instance_id, self._context.clock()):
            # the acknowledgement of an earlier drain doesn't cover this change
            self._acknowledged_at.pop(instance_id, None)
            self._context.notifier.notify()
        return await self._acknowledge_departure(instance_id)

    async def _acknowledge_departure(self, instance_id: str) -> HttpResponse:
        """Acknowledges a server's departure if more than half of the registries have it.

        Before that, the limiters in reach receive it: the registries hold it in memory only, and
        may all be killed right after the acknowledgement.
        """
        now = self._context.clock()
        self._remove_old_departures(now)
        if instance_id not in self._acknowledged_at:
            is_replicated, _ = await asyncio.gather(
                self._replication.broadcast(instance_id, BROADCAST_TIMEOUT_SECONDS),
                self._sessions.wait_until_known(self._instances.revision, LIMITERS_TIMEOUT_SECONDS),
            )
            if now - self._started_at < LIMITERS_RETURN_SECONDS:
                return error_response(HTTPStatus.SERVICE_UNAVAILABLE, JUST_STARTED)
            if not is_replicated:
                return error_response(HTTPStatus.SERVICE_UNAVAILABLE, NOT_REPLICATED)
            self._acknowledged_at[instance_id] = now
        return EMPTY_RESPONSE

    def _remove_old_departures(self, now: float) -> None:
        for instance_id, acknowledged_at in list(self._acknowledged_at.items()):
            if now - acknowledged_at < DEPARTURE_RETENTION_SECONDS:
                return  # the later entries are newer
            del self._acknowledged_at[instance_id]
