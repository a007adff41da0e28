"""The servers that a registry knows, from their heartbeats or from other registries.

Of two rows of one server, the one with the higher sequence is newer. Pure: the clock's reading is
an argument, in seconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from loomstand.rpc.messages.rows import InstanceRow

READY = "ready"
DRAINING = "draining"  # gets no new requests, as it is about to end
SILENT = "silent"  # missed several heartbeats
GONE = "gone"  # has ended, or was silent for long
STATES = (READY, DRAINING, SILENT, GONE)

# Sequence of a server that is gone, higher than that of any of its heartbeats.
GONE_SEQUENCE = 1 << 60
# Heartbeat intervals without a heartbeat after which a server is marked silent: a heartbeat may try
# three registries in a row with a timeout of 1 s each, which takes two intervals of 1.5 s. A server
# that is wrongly marked silent is out of use for 1 s; a delay in marking it fails some requests.
MAX_MISSED_HEARTBEATS = 3.0
# Time after its last heartbeat at which a silent server is marked gone, and until which the row of
# a gone server is kept, so that its delayed calls are recognised.
GONE_RETENTION_SECONDS = 120.0
MILLISECONDS_PER_SECOND = 1000


@dataclass(slots=True, frozen=True)
class Instance:
    """One server.

    Attributes:
        id: Identifier that the server chose for itself.
        address: `host:port` at which it takes requests; empty, as are service and zone, for a
            server that left a registry which didn't know it.
        service: Name of the service it belongs to.
        zone: Name of its zone.
        slots: Number of requests that it serves concurrently.
        state: One of `STATES`.
        sequence: Number of its latest heartbeat.
        slow_start_until: End of its slow start, by the monotonic clock of this process.
        changed_at_revision: The table's revision at its last change.
    """

    id: str
    address: str
    service: str
    zone: str
    slots: int
    state: str
    sequence: int
    slow_start_until: float
    changed_at_revision: int = 0

    @classmethod
    def unknown_gone(cls, instance_id: str) -> Instance:
        """Returns a server that has ended, and of which nothing but its id is known."""
        return cls(
            id=instance_id,
            address="",
            service="",
            zone="",
            slots=0,
            state=GONE,
            sequence=GONE_SEQUENCE,
            slow_start_until=0.0,
        )

    @classmethod
    def from_row(cls, row: InstanceRow, now: float) -> Instance:
        """Converts a row of a message.

        Raises:
            ValueError: The state is unknown.
        """
        if row.state not in STATES:
            raise ValueError(f"state {row.state!r}")
        return cls(
            row.instance_id,
            row.address,
            row.service,
            row.zone,
            row.slots,
            row.state,
            row.sequence,
            now + row.slow_start_ms / MILLISECONDS_PER_SECOND,
        )

    def to_row(self, now: float) -> InstanceRow:
        """Returns the server as a row of a message."""
        remaining_seconds = self.slow_start_until - now
        return InstanceRow(
            self.id,
            self.address,
            self.service,
            self.zone,
            self.slots,
            self.state,
            self.sequence,
            max(0, round(MILLISECONDS_PER_SECOND * remaining_seconds)),
        )

    def differs(self, other: Instance) -> bool:
        """Returns whether the change from `other` to this must be reported to limiters."""
        compared = replace(
            other,
            sequence=self.sequence,
            slow_start_until=self.slow_start_until,
            changed_at_revision=self.changed_at_revision,
        )
        return compared != self


class InstanceTable:
    """The table of servers.

    Attributes:
        silent_after_seconds: Time after its last heartbeat at which a server is marked silent.
        revision: Number that increases with each change to be reported to limiters.
        by_id: Servers by id.
        last_heartbeat_at: By id, the time of the server's last call to any registry.
        id_by_address: By address, the id of the server that uses it.
    """

    def __init__(self, heartbeat_seconds: float) -> None:
        self.silent_after_seconds = MAX_MISSED_HEARTBEATS * heartbeat_seconds
        self.revision = 0
        self.by_id: dict[str, Instance] = {}
        self.last_heartbeat_at: dict[str, float] = {}
        self.id_by_address: dict[str, str] = {}

    def apply(self, instance: Instance, heartbeat_at: float) -> bool:
        """Applies a server's heartbeat, or its row from another registry.

        Returns:
            Whether a change must be reported to limiters.
        """
        current = self.by_id.get(instance.id)
        if current is not None and instance.sequence <= current.sequence:
            return False  # delayed in the network
        if current is not None and instance.state == GONE:
            # the sender may not have known the server's address and service
            instance = replace(current, state=GONE, sequence=instance.sequence)
        if instance.state != SILENT:
            self._record_heartbeat_time(instance.id, heartbeat_at)
        if current is not None and not instance.differs(current):
            # records the sequence, so that delayed calls are recognised
            self.by_id[instance.id] = replace(current, sequence=instance.sequence)
            return False
        self.revision += 1
        self.by_id[instance.id] = replace(instance, changed_at_revision=self.revision)
        self._assign_address(instance)
        return True

    def _record_heartbeat_time(self, instance_id: str, heartbeat_at: float) -> None:
        self.last_heartbeat_at[instance_id] = max(
            self.last_heartbeat_at.get(instance_id, heartbeat_at), heartbeat_at
        )

    def _assign_address(self, instance: Instance) -> None:
        current_id = self.id_by_address.get(instance.address)
        if instance.state != GONE:
            if current_id is not None and current_id != instance.id:
                self.mark_gone(current_id)  # another server has its address, so it has ended
            self.id_by_address[instance.address] = instance.id
        elif current_id == instance.id:
            del self.id_by_address[instance.address]

    def mark_gone(self, instance_id: str) -> bool:
        """Marks a known server as ended.

        Returns:
            Whether the change must be reported to limiters.
        """
        current = self.by_id.get(instance_id)
        if current is None or current.state == GONE:
            return False
        gone = replace(current, state=GONE, sequence=GONE_SEQUENCE)
        return self.apply(gone, self.last_heartbeat_at.get(instance_id, 0.0))

    def record_leave(self, instance_id: str, now: float) -> bool:
        """Marks a server that called to leave as ended, whether or not it is known.

        A registry knows no server after a restart, but limiters and other registries may.

        Returns:
            Whether the change must be reported to limiters.
        """
        if instance_id in self.by_id:
            return self.mark_gone(instance_id)
        return self.apply(Instance.unknown_gone(instance_id), now)

    def apply_heartbeat(self, instance_id: str, sequence: int, heartbeat_at: float) -> bool:
        """Applies a heartbeat that another registry received.

        Returns:
            False if the server's row is needed because the server is unknown or silent here.
        """
        current = self.by_id.get(instance_id)
        if current is None:
            return False
        if current.state == GONE:
            return True
        if sequence > current.sequence:
            if current.state == SILENT:
                return False
            self.by_id[instance_id] = replace(current, sequence=sequence)
        self._record_heartbeat_time(instance_id, heartbeat_at)
        return True

    def expire(self, now: float) -> bool:
        """Updates the states of servers without heartbeats, and removes rows of gone servers.

        A ready server becomes silent, and then gone. A draining server becomes gone directly.

        Returns:
            Whether a change must be reported to limiters.
        """
        revision_before = self.revision
        for instance in list(self.by_id.values()):
            self._expire_instance(instance, now)
        return self.revision > revision_before

    def _expire_instance(self, instance: Instance, now: float) -> None:
        age_seconds = now - self.last_heartbeat_at.get(instance.id, now)
        if instance.state == GONE:
            if age_seconds > GONE_RETENTION_SECONDS:
                del self.by_id[instance.id]
                self.last_heartbeat_at.pop(instance.id, None)
        elif instance.state == DRAINING and age_seconds > 2 * self.silent_after_seconds:
            self.mark_gone(instance.id)
        elif instance.state == READY and age_seconds > self.silent_after_seconds:
            self.revision += 1
            self.by_id[instance.id] = replace(
                instance, state=SILENT, changed_at_revision=self.revision
            )
        elif instance.state == SILENT and age_seconds > GONE_RETENTION_SECONDS:
            self.mark_gone(instance.id)

    def changed_since(self, revision: int, now: float) -> list[InstanceRow]:
        """Returns the rows of the servers that changed after a revision."""
        return [
            instance.to_row(now)
            for instance in self.by_id.values()
            if instance.changed_at_revision > revision
        ]

    def rows(self, instance_ids: Iterable[str], now: float) -> list[InstanceRow]:
        """Returns the rows of the given servers; unknown servers are left out."""
        return [
            self.by_id[instance_id].to_row(now)
            for instance_id in instance_ids
            if instance_id in self.by_id
        ]

    def ages(self, instance_ids: Iterable[str], now: float) -> dict[str, float]:
        """Returns the seconds since the last heartbeat of each given server, by id."""
        return {
            instance_id: now - self.last_heartbeat_at.get(instance_id, now)
            for instance_id in instance_ids
        }

    def count_states(self) -> dict[str, dict[str, int]]:
        """Returns the number of servers in each state except `gone`, by service."""
        counts: dict[str, dict[str, int]] = {}
        for instance in self.by_id.values():
            if instance.state == GONE:
                continue
            states = counts.setdefault(instance.service, {})
            states[instance.state] = states.get(instance.state, 0) + 1
        return counts
