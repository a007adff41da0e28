"""The servers that a registry knows, by their heartbeats or by other registries. Pure: the clock is
given.

A row, as it goes to other programs, is [id, address, service, zone, slots, state, sequence, cold],
cold in milliseconds left. Of two rows of one server the one of the higher sequence is the newer.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from typing import Any

READY, DRAINING, SILENT, GONE = "ready", "draining", "silent", "gone"
LAST = 1 << 60  # the sequence of a server that left: nothing that it ever sent comes after it
# Beats that a server may miss before it counts as silent: one call may go to three limiters in a
# row at a second each, which is two beats; a wrong silence costs a server for a second, a late one
# some requests.
MISSED = 3.0
# Seconds for which the end of a server is remembered: any late call of its has come by then.
REMEMBERED = 120.0

Row = list[Any]


@dataclass(slots=True, frozen=True)
class Instance:
    """One server. `cold_until` is a reading of the clock; `changed` the table's version then."""

    id: str
    address: str
    service: str
    zone: str
    slots: int
    state: str
    sequence: int
    cold_until: float
    changed: int = 0

    def row(self, now: float) -> Row:
        cold = max(0, round(1000 * (self.cold_until - now)))
        return [
            self.id,
            self.address,
            self.service,
            self.zone,
            self.slots,
            self.state,
            self.sequence,
            cold,
        ]


def from_row(row: Row, now: float) -> Instance:
    """The server of a row. Raises ValueError or TypeError at one that isn't of the form."""
    id_, address, service, zone, slots, state, sequence, cold = row
    if state not in (READY, DRAINING, SILENT, GONE):
        raise ValueError(f"state {state!r}")
    texts = [str(id_), str(address), str(service), str(zone)]
    return Instance(*texts, int(slots), state, int(sequence), now + float(cold) / 1000)


class InstanceTable:
    """The table. `version` grows with every change that limiters must hear of."""

    def __init__(self, heartbeat: float) -> None:
        self.patience = MISSED * heartbeat
        self.version = 0
        self.instances: dict[str, Instance] = {}
        self.heard: dict[str, float] = {}  # when a server last spoke, to whichever registry
        self.at: dict[str, str] = {}  # by address: who has it

    def take(self, instance: Instance, heard_at: float) -> bool:
        """A server spoke, or another registry tells of it. True if limiters must hear of what
        changed.
        """
        old = self.instances.get(instance.id)
        if old is not None and instance.sequence <= old.sequence:
            return False  # a late call
        if instance.state != SILENT:
            self.heard[instance.id] = max(self.heard.get(instance.id, heard_at), heard_at)
        if old is not None and replace(instance, sequence=0, cold_until=0, changed=0) == replace(
            old, sequence=0, cold_until=0, changed=0
        ):
            # only the sequence: kept, so that a late call is known, but it is no news
            self.instances[instance.id] = replace(old, sequence=instance.sequence)
            return False
        self.version += 1
        self.instances[instance.id] = replace(instance, changed=self.version)
        holder = self.at.get(instance.address)
        if instance.state != GONE:
            if holder is not None and holder != instance.id:
                self.leave(holder)  # another has its address: it is over
            self.at[instance.address] = instance.id
        elif holder == instance.id:
            del self.at[instance.address]
        return True

    def leave(self, id_: str) -> bool:
        """A server has ended. True if that is news."""
        old = self.instances.get(id_)
        if old is None or old.state == GONE:
            return False
        return self.take(replace(old, state=GONE, sequence=LAST), self.heard.get(id_, 0.0))

    def alive(self, id_: str, sequence: int, heard_at: float) -> bool:
        """Another registry heard this beat. False if the server isn't known here, or as silent: its
        row is needed.
        """
        old = self.instances.get(id_)
        if old is None:
            return False
        if old.state == GONE:
            return True
        if sequence > old.sequence:
            if old.state == SILENT:
                return False
            self.instances[id_] = replace(old, sequence=sequence)
        self.heard[id_] = max(self.heard.get(id_, heard_at), heard_at)
        return True

    def sweep(self, now: float) -> bool:
        """Servers that have been quiet too long are silent, or gone if they were leaving; True if
        any is.
        """
        before = self.version
        for instance in list(self.instances.values()):
            quiet = now - self.heard.get(instance.id, now)
            if instance.state == GONE:
                if quiet > REMEMBERED:
                    del self.instances[instance.id]
                    self.heard.pop(instance.id, None)
            elif instance.state == DRAINING and quiet > 2 * self.patience:
                self.leave(instance.id)
            elif instance.state == READY and quiet > self.patience:
                self.version += 1
                self.instances[instance.id] = replace(instance, state=SILENT, changed=self.version)
            elif instance.state == SILENT and quiet > REMEMBERED:
                self.leave(instance.id)
        return self.version > before

    def news(self, have: int, now: float) -> list[Row]:
        """The rows that changed after the version `have`."""
        return [
            instance.row(now) for instance in self.instances.values() if instance.changed > have
        ]

    def rows(self, ids: Iterable[str], now: float) -> Iterator[Row]:
        """The rows of these servers, as far as they are known."""
        return (
            instance.row(now) for id_ in ids if (instance := self.instances.get(id_)) is not None
        )
