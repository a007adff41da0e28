"""Heartbeats of servers, as they come from outside."""

from __future__ import annotations

import json

from loomstand.config.units import UnitError, parse_address, parse_seconds
from loomstand.registry.instances import DRAINING, READY, Instance


class BadCall(Exception):
    """A call from outside that can't be understood: 400 with these words."""


def beat(id_: str, body: bytes, now: float) -> Instance:
    """The server of a heartbeat. Raises BadCall, naming the field."""
    if not id_:
        raise BadCall("of: a server's id is needed")
    field = "body"
    try:
        said = json.loads(body)
        field = "address"
        where = str(said["address"])
        parse_address(where)
        field = "information"
        info = said["information"]
        service, zone, slots = (
            str(info["service_name"]),
            str(info["zone"]),
            int(info["capacity_slots"]),
        )
        field = "status"
        status = said["status"]
        state, sequence = str(status["state"]), int(status["sequence"])
        cold = parse_seconds(str(status.get("cold_remaining", "0ms")))
        if state not in (READY, DRAINING):
            raise ValueError(f"state {state!r}")
    except (ValueError, KeyError, TypeError, UnitError, RecursionError) as why:
        raise BadCall(f"{field}: {type(why).__name__}: {why}") from None
    return Instance(id_, where, service, zone, slots, state, sequence, now + cold)
