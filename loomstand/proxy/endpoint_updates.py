"""Converts the registries' instance rows into endpoints of the decision engine.

Assigns the servers' indices and sets their addresses in the connection pool. No I/O.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from loomstand.admission.endpoints import Endpoint, EndpointState
from loomstand.config.units import parse_address
from loomstand.proxy.instance_view import InstanceView, TrackedInstance
from loomstand.proxy.policy_compiler import PolicyCompiler
from loomstand.registry.instances import DRAINING, GONE, READY, SILENT
from loomstand.rpc.messages.rows import InstanceRow
from loomstand.rpc.network import Address

ENDPOINT_STATES = {
    READY: EndpointState.LIVE,
    DRAINING: EndpointState.DRAINING,
    SILENT: EndpointState.DRAINING,
    GONE: EndpointState.GONE,
}


class AddressTable(Protocol):
    """Interface of a component that needs the servers' addresses."""

    def set_address(self, endpoint_id: int, address: Address | None) -> None:
        """Sets a server's listen address; None if the server is gone."""


class EndpointUpdates:
    """Indices of the servers, and the set of live servers of each service.

    Attributes:
        view: The servers as reported by the registries.
        instance_ids: Identifiers of servers by index; indices are never reused.
        live_by_service: Indices of the live servers of each service that has ever had a server.
    """

    def __init__(self, policy: PolicyCompiler, addresses: AddressTable) -> None:
        self.view = InstanceView()
        self.instance_ids: dict[int, str] = {}
        self.live_by_service: dict[str, set[int]] = {}
        self._indices: dict[str, int] = {}
        self._policy = policy
        self._addresses = addresses

    def update(
        self, registry: str, rows: Sequence[InstanceRow], is_new_session: bool
    ) -> tuple[Endpoint, ...]:
        """Applies rows from a registry; returns the endpoints that changed."""
        return self._changed_endpoints(self.view.update(registry, rows, is_new_session))

    def mark_unlisted_silent(self) -> tuple[Endpoint, ...]:
        """Takes servers that no registry lists out of use; returns the endpoints that changed."""
        return self._changed_endpoints(self.view.mark_unlisted_silent())

    def _changed_endpoints(self, instance_ids: Sequence[str]) -> tuple[Endpoint, ...]:
        changed = []
        for instance_id in instance_ids:
            instance = self.view.instances[instance_id]
            index = self._indices.get(instance_id)
            if index is None:
                index = self._indices[instance_id] = len(self.instance_ids)
                self.instance_ids[index] = instance_id
            changed.append(self.endpoint(index, instance))
        return tuple(changed)

    def mark_gone(self, endpoint_id: int) -> Endpoint | None:
        """Marks a server as gone, as another server has its address.

        Returns:
            The changed endpoint; None if the server was gone already.
        """
        instance = self.view.instances.get(self.instance_ids[endpoint_id])
        if instance is None or instance.state == GONE:
            return None
        instance.state = GONE
        return self.endpoint(endpoint_id, instance)

    def endpoint(self, endpoint_id: int, instance: TrackedInstance) -> Endpoint:
        """Applies a server's address and availability; returns the server as an endpoint."""
        state = ENDPOINT_STATES[instance.availability]
        is_gone = state is EndpointState.GONE
        address = None if is_gone else parse_address(instance.address)
        self._addresses.set_address(endpoint_id, address)
        live = self.live_by_service.setdefault(instance.service, set())
        if state is EndpointState.LIVE:
            live.add(endpoint_id)
        else:
            live.discard(endpoint_id)
        service = self._policy.services.index_of(instance.service)
        zone = self._policy.zones.index_of(instance.zone)
        return Endpoint(
            endpoint_id=endpoint_id,
            state=state,
            zone=zone,
            kind=0,
            cell=0,
            capacity_hint=1.0,
            started_at=0,
            service=service,
        )
