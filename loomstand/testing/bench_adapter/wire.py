"""The messages of the bench's wire, in the wire's words. Unknown keys are ignored."""

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


class Item(WireStruct):
    server: str
    phase: Literal["live", "quiescing", "dead"]
    hall: str = ""
    flavor: str = ""
    pod: int = 0
    capacity_hint: float = 1.0
    boot_time: float = 0.0


class Message(msgspec.Struct, kw_only=True, tag_field="op"):
    """A line that is not for one instance."""


class BeginBatch(Message, tag="begin_batch"):
    wall: float
    batch: int


class Flush(Message, tag="flush"):
    pass


class Pool(Message, tag="pool"):
    sheet: int
    items: list[Item]


class Event(Message):
    """A line for one instance."""

    limiter_id: int


class Start(Event, tag="start"):
    entropy: int
    conf: WireSettings


class Down(Event, tag="down"):
    pass


class Registry(Event, tag="registry"):
    scope: Literal["changes", "all", "remembered", "refused"]
    sheet: int = -1
    gen: int = 0


class Inbound(Event, tag="inbound"):
    txn: int
    priority: str
    give_up_at: float
    terms: str = ""
    user_key: str = ""
    cost_units: float = 1.0
    n_entries: int = 0
    first: int = 0
    is_retry: bool = False


class StartedEvent(Event, tag="started"):
    txn: int
    send_no: int = 0


class Returned(Event, tag="returned"):
    txn: int
    server: str
    state_code: Outcomes
    send_no: int = 0
    took: float = 0.0
    final: bool = False
    fleet_use: int = 0
    cost: float = 0.0


class VanishedEvent(Event, tag="vanished"):
    txn: int


class Elapsed(Event, tag="elapsed"):
    tag: int = 0


class ProbeDone(Event, tag="probe_done"):
    server: str
    state_code: Outcomes
    took: float = 0.0


class PeerMessage(Event, tag="message"):
    src: int = 0


class TallyBack(Event, tag="tally_back"):
    cname: int
    state_code: Outcomes
    now_at: float = 0.0
    took: float = 0.0


Line = (
    BeginBatch
    | Flush
    | Pool
    | Start
    | Down
    | Registry
    | Inbound
    | StartedEvent
    | Returned
    | VanishedEvent
    | Elapsed
    | ProbeDone
    | PeerMessage
    | TallyBack
)

line_decoder = msgspec.json.Decoder(Line)
