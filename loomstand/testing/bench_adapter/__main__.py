"""Runs limiter instances over the bench's JSON lines protocol on standard input and output.

Each instance has its own decision engine; instances share no state.
"""

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
from loomstand.testing.bench_adapter import wire

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
ENDPOINT_STATES = {
    "live": EndpointState.LIVE,
    "quiescing": EndpointState.DRAINING,
    "dead": EndpointState.GONE,
}


class InvalidLineError(Exception):
    """A well-formed line that is not valid in the current state."""


class Instance:
    """One limiter: its decision engine and the indices of the names in its messages."""

    def __init__(self, start: wire.StartInstance, now: int) -> None:
        settings = start.settings
        self.frontends = NameIndex([f.name for f in settings.frontends])
        self.plans = NameIndex([p.name for p in settings.plans])
        self.zones = NameIndex(settings.zones)
        self.kinds = NameIndex(settings.server_kinds)
        self.servers = NameIndex()
        self.tenants: dict[str, tuple[int, int]] = {}
        self.engine = DecisionEngine(
            engine_settings(settings, self.zones.index_of(settings.zone)), start.seed, now
        )

    def to_event(
        self, message: wire.Event, sheets: dict[int, list[wire.EndpointItem]]
    ) -> Event | None:
        """Returns the message as an event of the decision engine.

        Returns None for a message that the engine does not handle.
        """
        match message:
            case wire.InboundRequest():
                tenant = self.tenants.get(message.tenant)
                if tenant is None:
                    tenant = self.tenants[message.tenant] = (
                        len(self.tenants),
                        stable_digest(message.tenant),
                    )
                plan = self.plans.indices.get(message.plan, -1)
                return RequestArrived(
                    message.request_id,
                    self.frontends.require(message.frontend, "priority"),
                    plan,
                    *tenant,
                    ticks_rounded_down(message.deadline),
                    message.units,
                    message.limiter_set_size,
                    message.is_retry,
                    message.limiter_set_start,
                )
            case wire.AttemptReturned():
                return AttemptEnded(
                    message.request_id,
                    message.attempt,
                    self.servers.index_of(message.server),
                    OUTCOMES[message.outcome],
                    ticks_rounded_up(message.duration),
                    message.is_final,
                    message.metered_use,
                    message.cost,
                )
            case wire.CounterReply():
                return CounterReplied(
                    message.counter_name,
                    OUTCOMES[message.outcome],
                    message.total,
                    ticks_rounded_up(message.duration),
                )
            case wire.TimerElapsed():
                return TimerFired(message.timer_tag)
            case wire.ClientVanished():
                return ClientDisconnected(message.request_id)
            case wire.ResponseHeadReceived():
                return ResponseStarted(message.request_id, message.attempt)
            case wire.HealthCheckDone():
                return HealthCheckFinished(
                    self.servers.index_of(message.server),
                    OUTCOMES[message.outcome],
                    ticks_rounded_up(message.duration),
                )
            case wire.EndpointListUpdate(scope="refused"):
                return None
            case wire.EndpointListUpdate():
                if message.sheet not in sheets:
                    raise InvalidLineError(f"field 'sheet': no pool {message.sheet}")
                endpoints = tuple(self.endpoint(item) for item in sheets[message.sheet])
                return EndpointsUpdated(endpoints, message.scope != "changes")
        return None

    def endpoint(self, item: wire.EndpointItem) -> Endpoint:
        """Returns a server of an endpoint sheet as an endpoint of the decision engine."""
        return Endpoint(
            self.servers.index_of(item.server),
            ENDPOINT_STATES[item.phase],
            self.zones.index_of(item.zone),
            self.kinds.index_of(item.kind),
            item.cell,
            item.capacity_hint,
            ticks_rounded_up(item.started_at),
        )

    def to_message(self, limiter_id: int, action: Action) -> dict[str, object]:
        """Returns the action as a message of the protocol, with times in milliseconds."""
        match action:
            case SendAttempt():
                server = self.servers.names[action.endpoint_id]
                message = {
                    "op": "attempt",
                    "txn": action.request_id,
                    "server": server,
                    "expire_at": action.expires_at / 10,
                }
            case Reject():
                message = {
                    "op": "overload_reply",
                    "txn": action.request_id,
                    "wait": action.retry_after / 10,
                }
            case Abort():
                message = {"op": "error", "txn": action.request_id}
            case CancelAttempt():
                message = {"op": "call_off", "txn": action.request_id, "send_no": action.attempt}
            case SetTimer():
                message = {"op": "wake_me", "after": action.delay / 10, "tag": action.tag}
            case IncrementCounter():
                message = {
                    "op": "bump",
                    "step": action.amount,
                    "cname": action.counter_name,
                    "keep_for": action.time_to_live / 10,
                }
            case CheckHealth():
                message = {"op": "poll", "server": self.servers.names[action.endpoint_id]}
            case LogMessage():
                message = {"op": "journal_line", "what": action.text}
        message["limiter_id"] = limiter_id
        return message


class Host:
    """Reads batches, passes each event to its instance and writes one reply per batch.

    Attributes:
        out: The output.
        instances: The running instances by limiter id.
        sheets: Endpoint sheets by number.
        now: Time of the open batch in ticks; None if no batch is open.
        batch: Number of the latest batch.
        reply: Encoded lines of the reply to the open batch.
    """

    def __init__(self, out: BinaryIO) -> None:
        self.out = out
        self.instances: dict[int, Instance] = {}
        self.sheets: dict[int, list[wire.EndpointItem]] = {}
        self.now: int | None = None
        self.batch = 0
        self.reply: list[bytes] = []

    def handle_line(self, raw: bytes) -> None:
        """Handles one line of input.

        Raises:
            InvalidLineError: The line is not valid in the current state.
            UnknownNameError: The line names an unknown request class.
            msgspec.DecodeError: The line is not a valid message.
        """
        message = wire.line_decoder.decode(raw)
        match message:
            case wire.BeginBatch():
                if self.now is not None:
                    raise InvalidLineError("a batch is still open")
                self.now, self.batch = ticks_rounded_up(message.wall), message.batch
                return
            case _ if self.now is None:
                raise InvalidLineError("no batch is open")
            case wire.Flush():
                self.reply.append(msgspec.json.encode({"op": "ok", "batch": self.batch}))
                self.out.write(b"\n".join(self.reply) + b"\n")
                self.out.flush()
                self.reply.clear()
                self.now = None
            case wire.EndpointSheet():
                self.sheets[message.sheet] = message.items
            case wire.StartInstance():
                self.instances[message.limiter_id] = Instance(message, self.now)
            case wire.StopInstance():
                self.instances.pop(message.limiter_id, None)
            case wire.Event():
                self.handle_event(message)

    def handle_event(self, message: wire.Event) -> None:
        """Passes an event to its instance and appends the resulting actions to the reply."""
        instance = self.instances.get(message.limiter_id)
        if instance is None:
            raise InvalidLineError(
                f"field 'limiter_id': instance {message.limiter_id} has not started"
            )
        event = instance.to_event(message, self.sheets)
        if event is None:
            return
        try:
            lines = [
                instance.to_message(message.limiter_id, action)
                for action in instance.engine.handle(self.now, event)
            ]
        except Exception as error:
            text = f"{type(error).__name__}: {error}"
            lines = [{"op": "broken", "limiter_id": message.limiter_id, "what": text}]
        self.reply += map(msgspec.json.encode, lines)


def main() -> int:
    """Handles all lines of standard input.

    Returns the exit status: 0 at the end of the input, 1 after an invalid line.
    """
    host = Host(sys.stdout.buffer)
    for raw in sys.stdin.buffer:
        if not raw.strip():
            continue
        try:
            host.handle_line(raw)
        except (
            InvalidLineError,
            UnknownNameError,
            msgspec.DecodeError,
            UnicodeDecodeError,
        ) as error:
            print(f"loomstand: {message_name(raw)}: {error}", file=sys.stderr)
            return 1
    return 0


def message_name(raw: bytes) -> str:
    """Returns the name of a line for an error message: its op, if that can be read."""
    try:
        return f"message '{msgspec.json.decode(raw)['op']}'"
    except Exception:
        return "a line that is no message"


if __name__ == "__main__":
    sys.exit(main())
