"""Plays limiters over the bench's wire: one Brain an instance, nothing shared between them."""

from __future__ import annotations

import sys
from typing import BinaryIO

import msgspec

from loomstand.admission.actions import (
    Abort,
    Action,
    CancelAttempt,
    CheckHealth,
    IncrementCounter,
    LogMessage,
    Reject,
    SendAttempt,
    SetTimer,
)
from loomstand.admission.decision_engine import DecisionEngine
from loomstand.admission.endpoints import Endpoint, EndpointState
from loomstand.admission.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterReplied,
    EndpointsUpdated,
    Event,
    HealthCheckFinished,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from loomstand.admission.identifiers import NameIndex, UnknownNameError, stable_digest
from loomstand.admission.outcome import Outcome
from loomstand.admission.ticks import ticks_rounded_down, ticks_rounded_up
from loomstand.config.limiter import engine_settings
from loomstand.testing.bench_adapter import wire as w

OUTCOMES = {
    "served": Outcome.SUCCEEDED,
    "server_error": Outcome.SERVER_ERROR,
    "turned_away": Outcome.REJECTED,
    "no_answer": Outcome.NO_RESPONSE,
    "no_connection": Outcome.CONNECT_FAILED,
    "connection_lost": Outcome.CONNECTION_LOST,
    "called_off": Outcome.CANCELLED,
    "not_sent": Outcome.NOT_SENT,
}
PHASES = {
    "live": EndpointState.LIVE,
    "quiescing": EndpointState.DRAINING,
    "dead": EndpointState.GONE,
}


class BadLine(Exception):
    """A line that can't be obeyed."""


class Instance:
    """One limiter: its Brain and the doors that name things for it."""

    def __init__(self, start: w.Start, now: int) -> None:
        conf = start.conf
        self.frontends = NameIndex([g.name for g in conf.frontends])
        self.plans = NameIndex([p.name for p in conf.plans])
        self.halls = NameIndex(conf.zones)
        self.kinds = NameIndex(conf.server_kinds)
        self.servers = NameIndex()
        self.customers: dict[str, tuple[int, int]] = {}
        self.brain = DecisionEngine(
            engine_settings(conf, self.halls.index_of(conf.zone)), start.entropy, now
        )

    def note(self, ev: w.Event, pools: dict[int, list[w.Item]]) -> Event | None:
        """The event as a note of the interface; None where it holds nothing for the module."""
        match ev:
            case w.Inbound():
                customer = self.customers.get(ev.user_key)
                if customer is None:
                    customer = self.customers[ev.user_key] = (
                        len(self.customers),
                        stable_digest(ev.user_key),
                    )
                plan = self.plans.indices.get(ev.terms, -1)
                return RequestArrived(
                    ev.txn,
                    self.frontends.require(ev.priority, "priority"),
                    plan,
                    *customer,
                    ticks_rounded_down(ev.give_up_at),
                    ev.cost_units,
                    ev.n_entries,
                    ev.is_retry,
                    ev.first,
                )
            case w.Returned():
                return AttemptEnded(
                    ev.txn,
                    ev.send_no,
                    self.servers.index_of(ev.server),
                    OUTCOMES[ev.state_code],
                    ticks_rounded_up(ev.took),
                    ev.final,
                    ev.fleet_use,
                    ev.cost,
                )
            case w.TallyBack():
                return CounterReplied(
                    ev.cname, OUTCOMES[ev.state_code], ev.now_at, ticks_rounded_up(ev.took)
                )
            case w.Elapsed():
                return TimerFired(ev.tag)
            case w.VanishedEvent():
                return ClientDisconnected(ev.txn)
            case w.StartedEvent():
                return ResponseStarted(ev.txn, ev.send_no)
            case w.ProbeDone():
                return HealthCheckFinished(
                    self.servers.index_of(ev.server),
                    OUTCOMES[ev.state_code],
                    ticks_rounded_up(ev.took),
                )
            case w.Registry(scope="refused"):
                return None
            case w.Registry():
                if ev.sheet not in pools:
                    raise BadLine(f"field 'sheet': no pool {ev.sheet}")
                entries = tuple(self.entry(item) for item in pools[ev.sheet])
                return EndpointsUpdated(entries, ev.scope != "changes")
        return None

    def entry(self, item: w.Item) -> Endpoint:
        return Endpoint(
            self.servers.index_of(item.server),
            PHASES[item.phase],
            self.halls.index_of(item.hall),
            self.kinds.index_of(item.flavor),
            item.pod,
            item.capacity_hint,
            ticks_rounded_up(item.boot_time),
        )

    def line(self, inst: int, act: Action) -> dict[str, object]:
        """The action in the wire's words."""
        match act:
            case SendAttempt():
                server = self.servers.names[act.endpoint_id]
                said = {
                    "op": "attempt",
                    "txn": act.request_id,
                    "server": server,
                    "expire_at": act.expires_at / 10,
                }
            case Reject():
                said = {"op": "overload_reply", "txn": act.request_id, "wait": act.retry_after / 10}
            case Abort():
                said = {"op": "error", "txn": act.request_id}
            case CancelAttempt():
                said = {"op": "call_off", "txn": act.request_id, "send_no": act.attempt}
            case SetTimer():
                said = {"op": "wake_me", "after": act.delay / 10, "tag": act.tag}
            case IncrementCounter():
                said = {
                    "op": "bump",
                    "step": act.amount,
                    "cname": act.counter_name,
                    "keep_for": act.time_to_live / 10,
                }
            case CheckHealth():
                said = {"op": "poll", "server": self.servers.names[act.endpoint_id]}
            case LogMessage():
                said = {"op": "journal_line", "what": act.text}
        said["limiter_id"] = inst
        return said


class Host:
    """Reads batches, feeds each instance its own notes and writes one reply a batch."""

    def __init__(self, out: BinaryIO) -> None:
        self.out = out
        self.instances: dict[int, Instance] = {}
        self.pools: dict[int, list[w.Item]] = {}
        self.now: int | None = None
        self.batch = 0
        self.reply: list[bytes] = []

    def take(self, raw: bytes) -> None:
        """One line of input."""
        msg = w.line_decoder.decode(raw)
        match msg:
            case w.BeginBatch():
                if self.now is not None:
                    raise BadLine("a batch is still open")
                self.now, self.batch = ticks_rounded_up(msg.wall), msg.batch
                return
            case _ if self.now is None:
                raise BadLine("no batch is open")
            case w.Flush():
                self.reply.append(msgspec.json.encode({"op": "ok", "batch": self.batch}))
                self.out.write(b"\n".join(self.reply) + b"\n")
                self.out.flush()
                self.reply.clear()
                self.now = None
            case w.Pool():
                self.pools[msg.sheet] = msg.items
            case w.Start():
                self.instances[msg.limiter_id] = Instance(msg, self.now)
            case w.Down():
                self.instances.pop(msg.limiter_id, None)
            case w.Event():
                self.play(msg)

    def play(self, ev: w.Event) -> None:
        """An event of one instance."""
        inst = self.instances.get(ev.limiter_id)
        if inst is None:
            raise BadLine(f"field 'limiter_id': instance {ev.limiter_id} has not started")
        note = inst.note(ev, self.pools)
        if note is None:
            return
        try:
            lines = [inst.line(ev.limiter_id, act) for act in inst.brain.handle(self.now, note)]
        except Exception as why:
            text = f"{type(why).__name__}: {why}"
            lines = [{"op": "broken", "limiter_id": ev.limiter_id, "what": text}]
        self.reply += map(msgspec.json.encode, lines)


def main() -> int:
    """0 at the end of input, 1 after a bad line."""
    host = Host(sys.stdout.buffer)
    for raw in sys.stdin.buffer:
        if not raw.strip():
            continue
        try:
            host.take(raw)
        except (BadLine, UnknownNameError, msgspec.DecodeError, UnicodeDecodeError) as why:
            print(f"loomstand: {message_name(raw)}: {why}", file=sys.stderr)
            return 1
    return 0


def message_name(raw: bytes) -> str:
    """The op of a bad line, as far as it can be read."""
    try:
        return f"message '{msgspec.json.decode(raw)['op']}'"
    except Exception:
        return "a line that is no message"


if __name__ == "__main__":
    sys.exit(main())
