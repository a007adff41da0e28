"""The messages of the bench's JSON lines protocol. Unknown keys are ignored.

Times and durations are in milliseconds, and may have a fraction. Where a Python name differs from
the key of the protocol, `msgspec.field` gives the key.
"""

from __future__ import annotations

from typing import Literal

import msgspec

from loomstand.config.limiter import WireSettings, WireStruct

Outcomes = Literal[
    "served",
    "server_error",
    "turned_away",
    "no_answer",
    "no_connection",
    "connection_lost",
    "called_off",
    "not_sent",
]


class EndpointItem(WireStruct):
    """One server in an endpoint sheet."""

    server: str
    phase: Literal["live", "quiescing", "dead"]
    zone: str = msgspec.field(name="hall", default="")
    kind: str = msgspec.field(name="flavor", default="")
    cell: int = msgspec.field(name="pod", default=0)
    capacity_hint: float = 1.0
    started_at: float = msgspec.field(name="boot_time", default=0.0)


class Message(msgspec.Struct, kw_only=True, tag_field="op"):
    """A line that is not addressed to one instance."""


class BeginBatch(Message, tag="begin_batch"):
    """Opens a batch, whose lines all have the time `wall`."""

    wall: float
    batch: int


class Flush(Message, tag="flush"):
    """Closes the batch and requests its reply."""


class EndpointSheet(Message, tag="pool"):
    """A numbered list of servers, to which `EndpointListUpdate` messages refer."""

    sheet: int
    items: list[EndpointItem]


class Event(Message):
    """A line addressed to one instance."""

    limiter_id: int


class StartInstance(Event, tag="start"):
    """Starts an instance with these settings and this seed for its random numbers."""

    seed: int = msgspec.field(name="entropy")
    settings: WireSettings = msgspec.field(name="conf")


class StopInstance(Event, tag="down"):
    """Discards an instance with its state."""


class EndpointListUpdate(Event, tag="registry"):
    """A reply of discovery: changes of the list, the complete list, or a refusal."""

    scope: Literal["changes", "all", "remembered", "refused"]
    sheet: int = -1
    generation: int = msgspec.field(name="gen", default=0)


class InboundRequest(Event, tag="inbound"):
    """A request that arrived from a client."""

    request_id: int = msgspec.field(name="txn")
    frontend: str = msgspec.field(name="priority")
    deadline: float = msgspec.field(name="give_up_at")
    plan: str = msgspec.field(name="terms", default="")
    tenant: str = msgspec.field(name="user_key", default="")
    units: float = msgspec.field(name="cost_units", default=1.0)
    limiter_set_size: int = msgspec.field(name="n_entries", default=0)
    limiter_set_start: int = msgspec.field(name="first", default=0)
    is_retry: bool = False


class ResponseHeadReceived(Event, tag="started"):
    """The server began to respond to an attempt."""

    request_id: int = msgspec.field(name="txn")
    attempt: int = msgspec.field(name="send_no", default=0)


class AttemptReturned(Event, tag="returned"):
    """An attempt ended."""

    request_id: int = msgspec.field(name="txn")
    server: str
    outcome: Outcomes = msgspec.field(name="state_code")
    attempt: int = msgspec.field(name="send_no", default=0)
    duration: float = msgspec.field(name="took", default=0.0)
    is_final: bool = msgspec.field(name="final", default=False)
    metered_use: int = msgspec.field(name="fleet_use", default=0)
    cost: float = 0.0


class ClientVanished(Event, tag="vanished"):
    """The client of a request disconnected."""

    request_id: int = msgspec.field(name="txn")


class TimerElapsed(Event, tag="elapsed"):
    """A timer that the instance set has fired."""

    timer_tag: int = msgspec.field(name="tag", default=0)


class HealthCheckDone(Event, tag="probe_done"):
    """A health check ended."""

    server: str
    outcome: Outcomes = msgspec.field(name="state_code")
    duration: float = msgspec.field(name="took", default=0.0)


class PeerMessage(Event, tag="message"):
    """A message from another limiter; the adapter ignores it."""

    source: int = msgspec.field(name="src", default=0)


class CounterReply(Event, tag="tally_back"):
    """The counter's reply to an increment, or its timeout."""

    counter_name: int = msgspec.field(name="cname")
    outcome: Outcomes = msgspec.field(name="state_code")
    total: float = msgspec.field(name="now_at", default=0.0)
    duration: float = msgspec.field(name="took", default=0.0)


Line = (
    BeginBatch
    | Flush
    | EndpointSheet
    | StartInstance
    | StopInstance
    | EndpointListUpdate
    | InboundRequest
    | ResponseHeadReceived
    | AttemptReturned
    | ClientVanished
    | TimerElapsed
    | HealthCheckDone
    | PeerMessage
    | CounterReply
)

line_decoder = msgspec.json.Decoder(Line)
