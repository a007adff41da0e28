"""The servers known to this limiter: the union of the reports of several registries.

Pure: no I/O and no clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from loomstand.registry.instances import DRAINING, GONE, READY, SILENT
from loomstand.rpc.messages.rows import InstanceRow

# Takes the place of the registries in `TrackedInstance.reported_states` if none lists the server.
UNLISTED = ""
UNKNOWN_SEQUENCE = -1  # lower than the sequence number of any heartbeat


@dataclass(slots=True)
class TrackedInstance:
    """A server, with its newest row and its state as reported by each registry.

    Attributes:
        address: `host:port` at which it accepts requests.
        service: Name of its service.
        zone: Name of its zone.
        state: State in the newest row: `ready`, `draining` or `gone`.
        sequence: Sequence number of its latest heartbeat.
        reported_states: State reported by each registry, by the registry's address; that of
            `UNLISTED` if no registry lists the server.
    """

    address: str
    service: str
    zone: str
    state: str = READY
    sequence: int = UNKNOWN_SEQUENCE
    reported_states: dict[str, str] = field(default_factory=dict)

    @property
    def availability(self) -> str:
        """`ready`, `draining`, `silent` or `gone`.

        A server is silent if all registries that list it report it as silent.
        """
        if self.state in (GONE, DRAINING):
            return self.state
        states = self.reported_states.values()
        return SILENT if states and all(state == SILENT for state in states) else READY

    def apply(self, registry: str, row: InstanceRow) -> None:
        """Applies a row from a registry.

        `gone` is final, whichever registry reports it; otherwise the newer row takes precedence.
        """
        self.reported_states.pop(UNLISTED, None)
        self.reported_states[registry] = row.state
        is_newer = row.sequence > self.sequence
        if row.state == GONE or (self.state != GONE and is_newer and row.state != SILENT):
            self.state = row.state
        if is_newer:
            self.sequence = row.sequence
            self.address = row.address


class InstanceView:
    """The union of the registries' tables of servers.

    Attributes:
        instances: The servers by their identifiers.
    """

    def __init__(self) -> None:
        self.instances: dict[str, TrackedInstance] = {}

    def update(
        self, registry: str, rows: Iterable[InstanceRow], is_new_session: bool = False
    ) -> list[str]:
        """Applies rows from one registry.

        Args:
            registry: Address of the registry.
            rows: The rows.
            is_new_session: Whether these are all rows of a registry that may have restarted; its
                earlier reports of servers that it doesn't list are discarded.

        Returns:
            Identifiers of the servers that are new or whose availability changed.
        """
        previous = self._withdraw_reports(registry) if is_new_session else {}
        for row in rows:
            instance = self.instances.get(row.instance_id)
            if instance is None:
                instance = TrackedInstance(row.address, row.service, row.zone)
                self.instances[row.instance_id] = instance
                # an unknown server that is gone is no change, but an older report may follow
                availability_before = GONE if row.state == GONE else ""
            else:
                availability_before = instance.availability
            previous.setdefault(row.instance_id, availability_before)
            instance.apply(registry, row)
        return [
            instance_id
            for instance_id, availability in previous.items()
            if self.instances[instance_id].availability != availability
        ]

    def mark_unlisted_silent(self) -> list[str]:
        """Marks the ready servers that no registry lists as silent, until one lists them again.

        Returns:
            Identifiers of the servers that were marked.
        """
        unlisted = [
            instance_id
            for instance_id, instance in self.instances.items()
            if instance.availability == READY and not instance.reported_states
        ]
        for instance_id in unlisted:
            self.instances[instance_id].reported_states[UNLISTED] = SILENT
        return unlisted

    def _withdraw_reports(self, registry: str) -> dict[str, str]:
        """Discards a registry's reports; returns the previous availability of these servers."""
        previous = {
            instance_id: instance.availability
            for instance_id, instance in self.instances.items()
            if registry in instance.reported_states
        }
        for instance_id in previous:
            del self.instances[instance_id].reported_states[registry]
        return previous
