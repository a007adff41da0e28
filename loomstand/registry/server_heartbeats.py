"""Calls of servers: their heartbeats, and their end."""

from __future__ import annotations

import json

from loomstand.config.units import UnitError, parse_address, parse_seconds
from loomstand.registry.context import RegistryContext, RegistryState
from loomstand.registry.http_answers import EMPTY_ANSWER, BadRequestError, HttpAnswer
from loomstand.registry.http_routing import HttpCall
from loomstand.registry.instances import DRAINING, READY, Instance
from loomstand.registry.replication import BROADCAST_TIMEOUT_SECONDS, GOSSIP_SECONDS, Replication


class _FieldReader:
    """Reads the parts of a heartbeat, and knows which one it is at."""

    def __init__(self) -> None:
        self.field = "body"

    def read(self, instance_id: str, body: bytes, now: float) -> Instance:
        """Reads a heartbeat; whatever error comes is that of `field`."""
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
    """Reads a heartbeat.

    Args:
        instance_id: Id of the server.
        body: The call's body, in JSON.
        now: The clock's reading, in seconds.

    Raises:
        BadRequestError: It can't be used; the text names the field.
    """
    if not instance_id:
        raise BadRequestError("of: a server's id is needed")
    reader = _FieldReader()
    try:
        return reader.read(instance_id, body, now)
    except (ValueError, KeyError, TypeError, UnitError, RecursionError) as error:
        text = f"{reader.field}: {type(error).__name__}: {error}"
        raise BadRequestError(text) from None


class ServerHeartbeats:
    """Handles the calls of servers, and tells the other registries."""

    def __init__(
        self, context: RegistryContext, state: RegistryState, replication: Replication
    ) -> None:
        self._context = context
        self._instances = state.instances
        self._replication = replication

    async def handle_heartbeat(self, call: HttpCall, body: bytes) -> HttpAnswer:
        """A server is alive; a drain is answered once the other registries know it."""
        instance = parse_heartbeat(call.query.get("of", ""), body, self._context.clock())
        now = self._context.clock()
        self._replication.record_heartbeat(instance)
        if self._instances.apply(instance, now):
            self._context.notifier.notify()
            if instance.state == DRAINING:
                await self._replication.broadcast(instance.id, BROADCAST_TIMEOUT_SECONDS)
            else:
                self._context.tasks.spawn(self._replication.broadcast(instance.id, GOSSIP_SECONDS))
        return EMPTY_ANSWER

    async def handle_leave(self, call: HttpCall, _body: bytes) -> HttpAnswer:
        """A server has ended; the call is answered once the other registries know it."""
        instance_id = call.query.get("of", "")
        if not instance_id:
            raise BadRequestError("of: a server's id is needed")
        if self._instances.mark_gone(instance_id):
            self._context.notifier.notify()
            await self._replication.broadcast(instance_id, BROADCAST_TIMEOUT_SECONDS)
        return EMPTY_ANSWER
