"""The servers that a limiter uses, from what several registries say. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from loomstand.registry.instances import DRAINING, GONE, READY, SILENT, Row


@dataclass(slots=True)
class KnownInstance:
    """One server: its newest row, and what each registry says of it."""

    address: str
    service: str
    zone: str
    slots: int
    state: str
    sequence: int
    said: dict[str, str] = field(default_factory=dict)

    @property
    def use(self) -> str:
        """READY, DRAINING, SILENT or GONE: silent where every registry that lists it says so."""
        if self.state in (GONE, DRAINING):
            return self.state
        return SILENT if self.said and all(s == SILENT for s in self.said.values()) else READY


class InstanceView:
    """The union over registries. One that started anew says nothing of a server until it hears of
    it.
    """

    def __init__(self) -> None:
        self.servers: dict[str, KnownInstance] = {}

    def told(self, registry: str, rows: list[Row], anew: bool = False) -> list[str]:
        """Rows from one registry; `anew` where it is its first word in a new life. Gives the ids of
        those whose use or place has changed.
        """
        before = {}
        if anew:
            before = {
                id_: known.use for id_, known in self.servers.items() if registry in known.said
            }
            for id_ in before:
                del self.servers[id_].said[registry]
        for id_, address, service, zone, slots, state, sequence, _cold in rows:
            known = self.servers.get(id_)
            if known is None:
                if state == GONE:
                    continue
                known = self.servers[id_] = KnownInstance(address, service, zone, slots, READY, -1)
            before.setdefault(id_, known.use if known.sequence >= 0 else "")
            known.said[registry] = state
            # an end is an end, whoever says so; else the newer row is right
            if state == GONE or (
                known.state != GONE and sequence > known.sequence and state != SILENT
            ):
                known.state = state
            if sequence > known.sequence:
                known.sequence, known.address = sequence, address
        return [id_ for id_, use in before.items() if self.servers[id_].use != use]
