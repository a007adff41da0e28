"""The operators' HTTP API: replacing and reading the configuration, status and rescue."""

from __future__ import annotations

from http import HTTPStatus

import msgspec

from loomstand.config.configuration import ConfigurationError
from loomstand.config.units import format_address
from loomstand.registry.context import RegistryContext, RegistryState
from loomstand.registry.counting_service import CountingService
from loomstand.registry.http_responses import HttpResponse, error_response, json_response
from loomstand.registry.http_routing import HttpRequest
from loomstand.registry.rescue import handle_rescue
from loomstand.registry.store_client import CHANGE_TIMEOUT_SECONDS, StoreClient
from loomstand.registry.system_status import (
    ConfigurationStatus,
    CountingStatus,
    LimiterStatus,
    SystemStatus,
    store_status,
)
from loomstand.rpc.messages.configuration_messages import (
    PutRequest,
    PutResponse,
    ReadRequest,
    ReadResponse,
)
from loomstand.rpc.network import transfer_seconds

# Timeout of a read of the configuration.
READ_TIMEOUT_SECONDS = 0.8
# Maximum total size of the new configurations in calls that are in progress: a parsed configuration
# takes memory of 20 times its size, and is kept until the store has written it. Without this limit,
# 8 concurrent calls of 8 MB exceed the process's 296 MB of memory.
MAX_PENDING_BYTES = 12 << 20
MILLISECONDS_PER_SECOND = 1000


class OperatorApi:
    """Handlers of the operators' calls.

    Attributes:
        pending_bytes: Total size of the new configurations in calls that are in progress.
    """

    def __init__(
        self,
        context: RegistryContext,
        state: RegistryState,
        counting: CountingService,
        store_client: StoreClient,
        incarnation: str,
    ) -> None:
        self._context = context
        self._state = state
        self._counting = counting
        self._store_client = store_client
        self._incarnation = incarnation
        self.pending_bytes = 0

    async def handle_replace(self, _request: HttpRequest, body: bytes) -> HttpResponse:
        """Replaces the configuration, unless too many large ones are being replaced already."""
        if self.pending_bytes and self.pending_bytes + len(body) > MAX_PENDING_BYTES:
            text = "busy with other large configurations"
            return error_response(HTTPStatus.SERVICE_UNAVAILABLE, text)
        self.pending_bytes += len(body)
        try:
            return await self._replace(body)
        finally:
            self.pending_bytes -= len(body)

    async def _replace(self, body: bytes) -> HttpResponse:
        try:
            configuration = self._state.configuration.parse(body)
        except ConfigurationError as error:
            return error_response(HTTPStatus.BAD_REQUEST, str(error))
        request = PutRequest(version=configuration.version, data=body)
        timeout_seconds = CHANGE_TIMEOUT_SECONDS + transfer_seconds(len(body))
        result = await self._store_client.forward(request, PutResponse, timeout_seconds)
        if result.is_error():
            text = f"not stored: {result.error.value}"
            return error_response(HTTPStatus.SERVICE_UNAVAILABLE, text)
        committed = f"r{result.ok.version}"
        if result.ok.has_conflict:
            conflict = f"r{configuration.version} was taken with another content"
            return error_response(HTTPStatus.CONFLICT, f"{conflict}; {committed} is in force")
        return json_response(HTTPStatus.OK, {"version": committed})

    async def handle_read(self, _request: HttpRequest, _body: bytes) -> HttpResponse:
        """Returns the committed configuration, as read from the primary."""
        size_bytes = len(self._state.configuration.data)
        timeout_seconds = READ_TIMEOUT_SECONDS + transfer_seconds(size_bytes)
        result = await self._store_client.forward(ReadRequest(), ReadResponse, timeout_seconds)
        if result.is_ok() and result.ok.data:
            return HttpResponse(HTTPStatus.OK, result.ok.data)
        text = "no store that knows the newest is in reach"
        return error_response(HTTPStatus.SERVICE_UNAVAILABLE, text)

    async def handle_status(self, _request: HttpRequest, _body: bytes) -> HttpResponse:
        """Returns the status of the system as this registry sees it."""
        store = await self._store_client.status()
        now = self._context.clock()
        configuration = self._state.configuration
        lease = self._counting.lease
        lease_remaining_seconds = max(0.0, lease.expires_at - now)
        status = SystemStatus(
            node_name=self._context.settings.node_name,
            incarnation=self._incarnation,
            configuration=ConfigurationStatus(
                version=f"r{configuration.version}", is_current=configuration.is_current(now)
            ),
            counting=CountingStatus(
                holder=lease.last_holder or None,
                is_local=lease_remaining_seconds > 0,
                lease_left=f"{round(MILLISECONDS_PER_SECOND * lease_remaining_seconds)}ms",
            ),
            limiters=LimiterStatus(
                present=list(self._state.limiters.present),
                silent=list(self._state.limiters.silent),
            ),
            servers=self._state.instances.count_states(),
            operator_addresses=self.operator_addresses(),
            store=None if store is None else store_status(store),
        )
        return json_response(HTTPStatus.OK, msgspec.to_builtins(status))

    async def handle_rescue(self, _request: HttpRequest, body: bytes) -> HttpResponse:
        """Inspects a store that lost too many members, or re-creates it."""
        return await handle_rescue(self._context.network, self._context.local_store, body)

    def operator_addresses(self) -> list[str]:
        """Returns the addresses at which the core machines serve this API.

        The settings state the ports of seed nodes; other machines are assumed to use the port of
        this machine.
        """
        ports = dict(self._context.settings.seed_nodes)
        own_address = self._context.settings.listen_addresses.control_plane
        if own_address is not None:
            own_host, own_port = own_address
            ports = {**dict.fromkeys(self._context.core_hosts, own_port), **ports}
            ports[own_host] = own_port
        return [
            format_address((host, ports[host]))
            for host in self._context.core_hosts
            if host in ports
        ]
