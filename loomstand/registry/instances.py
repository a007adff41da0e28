"""The servers that a registry knows, by their heartbeats or by other registries.

Of two rows of one server the one with the higher sequence is the newer. Pure: the clock's reading
is given, in seconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from loomstand.rpc.messages.rows import InstanceRow

READY = "ready"
DRAINING = "draining"
SILENT = "silent"
GONE = "gone"
STATES = (READY, DRAINING, SILENT, GONE)

# The sequence of a server that is gone: nothing that it ever sent comes after it.
GONE_SEQUENCE = 1 << 60
# Heartbeats that a server may miss before it counts as silent: one call may go to three registries
# in a row at a second each, which is two heartbeats. To call a server silent wrongly costs it for a
# second, to do so late costs some requests.
MAX_MISSED_HEARTBEATS = 3.0
# The end of a server is remembered for so long: any late call of its has come by then.
GONE_RETENTION_SECONDS = 120.0
MILLISECONDS_PER_SECOND = 1000


@dataclass(slots=True, frozen=True)
class Instance:
    """One server.

    Attributes:
        id: Identifier that the server chose for itself.
        address: `host:port` at which it takes requests.
        service: Name of the service it belongs to.
        zone: Name of its zone.
        slots: Requests that it serves at once.
        state: One of `STATES`.
        sequence: Number of its latest heartbeat.
        slow_start_until: Until when it warms up, by the clock of this process.
        changed_at_revision: The table's revision when it last changed.
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
    def from_row(cls, row: InstanceRow, now: float) -> Instance:
        """Reads a row.

        Raises:
            ValueError: There is no such state.
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
        """Returns the server as other programs get it."""
        left_seconds = self.slow_start_until - now
        return InstanceRow(
            self.id,
            self.address,
            self.service,
            self.zone,
            self.slots,
            self.state,
            self.sequence,
            max(0, round(MILLISECONDS_PER_SECOND * left_seconds)),
        )

    def differs(self, other: Instance) -> bool:
        """Returns whether limiters must hear of it, if `other` was known before."""
        compared = replace(
            other,
            sequence=self.sequence,
            slow_start_until=self.slow_start_until,
            changed_at_revision=self.changed_at_revision,
        )
        return compared != self


class InstanceTable:
    """The servers.

    Attributes:
        unreachable_after_seconds: How long after its last heartbeat a server counts as silent.
        revision: Grows with every change that limiters must hear of.
        by_id: The servers.
        last_heartbeat_at: By id, when a server last called any registry.
        id_by_address: By address, the server that has it.
    """

    def __init__(self, heartbeat_seconds: float) -> None:
        self.unreachable_after_seconds = MAX_MISSED_HEARTBEATS * heartbeat_seconds
        self.revision = 0
        self.by_id: dict[str, Instance] = {}
        self.last_heartbeat_at: dict[str, float] = {}
        self.id_by_address: dict[str, str] = {}

    def apply(self, instance: Instance, heartbeat_at: float) -> bool:
        """A server called, or another registry tells of it.

        Returns:
            Whether limiters must hear of what changed.
        """
        current = self.by_id.get(instance.id)
        if current is not None and instance.sequence <= current.sequence:
            return False  # a late call
        if instance.state != SILENT:
            self._record_heartbeat_time(instance.id, heartbeat_at)
        if current is not None and not instance.differs(current):
            # the sequence alone is kept, so that a late call is recognised
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
        holder = self.id_by_address.get(instance.address)
        if instance.state != GONE:
            if holder is not None and holder != instance.id:
                self.mark_gone(holder)  # another server has its address, so it has ended
            self.id_by_address[instance.address] = instance.id
        elif holder == instance.id:
            del self.id_by_address[instance.address]

    def mark_gone(self, instance_id: str) -> bool:
        """A server has ended.

        Returns:
            Whether limiters must hear of it.
        """
        current = self.by_id.get(instance_id)
        if current is None or current.state == GONE:
            return False
        gone = replace(current, state=GONE, sequence=GONE_SEQUENCE)
        return self.apply(gone, self.last_heartbeat_at.get(instance_id, 0.0))

    def apply_heartbeat(self, instance_id: str, sequence: int, heartbeat_at: float) -> bool:
        """Another registry heard a heartbeat.

        Returns:
            Whether that is all this table needs; else the server isn't known here, or as silent,
            and its row is needed.
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
        """Finds the servers that have fallen silent, and forgets those that ended long ago.

        Returns:
            Whether limiters must hear of what changed.
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
        elif instance.state == DRAINING and age_seconds > 2 * self.unreachable_after_seconds:
            self.mark_gone(instance.id)
        elif instance.state == READY and age_seconds > self.unreachable_after_seconds:
            self.revision += 1
            self.by_id[instance.id] = replace(
                instance, state=SILENT, changed_at_revision=self.revision
            )
        elif instance.state == SILENT and age_seconds > GONE_RETENTION_SECONDS:
            self.mark_gone(instance.id)

    def changed_since(self, revision: int, now: float) -> list[InstanceRow]:
        """Returns the servers that changed after a revision."""
        return [
            instance.to_row(now)
            for instance in self.by_id.values()
            if instance.changed_at_revision > revision
        ]

    def rows(self, instance_ids: Iterable[str], now: float) -> list[InstanceRow]:
        """Returns these servers, as far as they are known."""
        return [
            self.by_id[instance_id].to_row(now)
            for instance_id in instance_ids
            if instance_id in self.by_id
        ]

    def ages(self, instance_ids: Iterable[str], now: float) -> dict[str, float]:
        """Returns by id the seconds since these servers were heard."""
        return {
            instance_id: now - self.last_heartbeat_at.get(instance_id, now)
            for instance_id in instance_ids
        }

    def count_states(self) -> dict[str, dict[str, int]]:
        """Returns by service how many servers are in each state, without those that are gone."""
        counts: dict[str, dict[str, int]] = {}
        for instance in self.by_id.values():
            if instance.state == GONE:
                continue
            states = counts.setdefault(instance.service, {})
            states[instance.state] = states.get(instance.state, 0) + 1
        return counts
