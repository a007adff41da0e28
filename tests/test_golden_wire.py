"""Golden tests of messages on the wire and of decisions: exact bytes and digests.

`tests/golden/make_wire.py` writes the fixtures `tests/golden/wire-*.json`. A difference means that
the software behaves differently. All clocks, seeds and ids are fixed, so nothing is masked.
"""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import io
import json
import re
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any

import helpers
import msgspec
import pytest
from helpers import PLANS

from loomstand.admission.actions import (
    Abort,
    CancelAttempt,
    CheckHealth,
    IncrementCounter,
    LogMessage,
    Reject,
    SendAttempt,
    SetTimer,
)
from loomstand.admission.decision_engine import DecisionEngine
from loomstand.admission.endpoints import EndpointState
from loomstand.admission.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterReplied,
    EndpointsUpdated,
    HealthCheckFinished,
    ResponseStarted,
    SettingsChanged,
    TenantTotalUpdated,
    TimerFired,
)
from loomstand.admission.outcome import Outcome
from loomstand.admission.settings import EngineSettings
from loomstand.admission.ticks import TICKS_PER_SECOND
from loomstand.config import limiter as config
from loomstand.limiter.limiter import Limiter
from loomstand.membership import messages
from loomstand.testing.bench_adapter import __main__ as adapter
from loomstand.testing.bench_adapter import wire as adapter_wire
from loomstand.testing.simulation.cluster import (
    FRONT_PORT,
    READINESS_PORT,
    Cluster,
    VirtualArrivalClock,
)
from loomstand.testing.simulation.http_log import HttpConnection
from loomstand.testing.simulation.loop import SimProcess, run_simulated
from loomstand.testing.simulation.network import SimNetwork
from loomstand.testing.simulation.streams import SimTransport, Streams, TcpStack

HERE = Path(__file__).resolve().parent / "golden"
S = TICKS_PER_SECOND
# Engine settings added after the fixtures were made.
SETTINGS_NOT_IN_FIXTURES = {"cancels_abandoned_attempts"}
ACTIONS = {
    SendAttempt: "dispatch",
    Reject: "deny",
    Abort: "abort",
    CancelAttempt: "call off",
    SetTimer: "wake",
    IncrementCounter: "count",
    CheckHealth: "probe",
    LogMessage: "log",
}


def load(name: str) -> Any:
    return json.loads((HERE / name).read_text())


def save(name: str, value: Any) -> None:
    HERE.mkdir(exist_ok=True)
    (HERE / name).write_text(json.dumps(value, indent=1, ensure_ascii=True) + "\n")


def text(raw: bytes) -> str:
    return raw.decode("latin-1")


# --- the protocol of the bench

OUTCOMES = (
    "served",
    "server_error",
    "turned_away",
    "no_answer",
    "no_connection",
    "connection_lost",
    "called_off",
    "not_sent",
)
EVENTS = {
    "begin_batch",
    "flush",
    "pool",
    "start",
    "down",
    "registry",
    "inbound",
    "started",
    "returned",
    "vanished",
    "elapsed",
    "probe_done",
    "message",
    "tally_back",
}
# The engine makes no `call_off` and no `poll` today: `action_lines` has a line of each.
OPS = {"ok", "attempt", "overload_reply", "error", "wake_me", "bump", "journal_line"}


def bench_settings(me: int, **changes: Any) -> dict[str, Any]:
    """Returns settings in the bench's format; `changes` replace top-level keys."""
    grade = {"on_time": 200, "deadline": 1000, "points": 1.0}
    return {
        "balancers": 3,
        "me": me,
        "az": "east",
        "zones": ["east", "west"],
        "kinds": ["small", "large"],
        "grades": [
            grade | {"name": "look", "effect": "pure"},
            grade | {"name": "pay", "effect": "side_effect"},
            grade | {"name": "book", "effect": "token", "group": "zone", "repeat_window": 400},
            grade | {"name": "feed", "effect": "pure", "stream": True, "late_value": 0.5},
        ],
        "plans": [
            {"name": "small", "refill": 2.0, "store_size": 4.0},
            {"name": "large", "refill": 40.0, "store_size": 60.0, "worth_factor": 1.5},
            {"name": "open"},
            {"name": "capped", "ceiling_rate": 10.0, "cap_depth": 12.0, "ceiling_slack": 2.0},
            {"name": "few", "refill": 50.0, "store_size": 50.0, "at_once": 2},
        ],
        "allowed": {"try_limit": 3, "cancel": True, "may_probe": True, "second_copies": True}
        | {"retry_after": True, "max_retry_after": 5000.0},
        "specifics": {"has_counter": True, "count_limit": 50.0, "metering": 0.0, "max_units": 4},
        "rules": {"answer_slack": 8, "drain_grace": 100, "cold": 1000, "cold_from": 0.2}
        | {"fall_multiple": 3.0, "tip_after": 100},
    } | changes


class BenchSession:
    """A simulated bench: sends lines to the adapter, reads its lines, and draws random events.

    Attributes:
        lines: All lines sent.
        wall: The time that the bench reports, in ms.
        running: Indices of the running limiters.
        open_requests: Limiter index by request number.
        attempt_numbers: Number of the last attempt by request number.
        pending_attempts: Limiter index, request number, attempt number, server and time sent.
        counter_calls: Unanswered calls to the counter: limiter index and line.
        timers: Due time, limiter index and tag.
    """

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.out = io.BytesIO()
        self.host = adapter.Host(self.out)
        self.lines: list[str] = []
        self.wall, self.batch, self.txn, self.sheet = 5000.0, 0, 0, 0
        self.running: set[int] = set()
        self.open_requests: dict[int, int] = {}
        self.attempt_numbers: dict[int, int] = {}
        self.pending_attempts: list[tuple[int, int, int, str, float]] = []
        self.counter_totals: dict[int, float] = {}
        self.counter_calls: list[tuple[int, dict[str, Any]]] = []
        self.timers: list[tuple[float, int, int]] = []

    def put(self, op: str, **fields: Any) -> None:
        line = json.dumps({"op": op} | fields)
        self.lines.append(line)
        self.host.handle_line(line.encode())

    def run_batch(self, *events: tuple[str, dict[str, Any]]) -> None:
        """Sends one batch of events and handles the lines that answer it."""
        self.batch += 1
        self.put("begin_batch", wall=round(self.wall, 1), batch=self.batch)
        for op, fields in events:
            self.put(op, **fields)
        self.put("flush")
        output = self.out.getvalue().splitlines()
        self.out.seek(0)
        self.out.truncate()
        for raw in output:
            self.handle_line(json.loads(raw))

    def handle_line(self, line: dict[str, Any]) -> None:
        limiter = line.get("limiter_id", -1)
        match line["op"]:
            case "attempt":
                request_number = line["txn"]
                attempt_number = self.attempt_numbers.get(request_number, -1) + 1
                self.attempt_numbers[request_number] = attempt_number
                self.pending_attempts.append(
                    (limiter, request_number, attempt_number, line["server"], self.wall)
                )
            case "overload_reply" | "error":
                self.open_requests.pop(line["txn"], None)
            case "wake_me":
                self.timers.append((self.wall + line["after"], limiter, line["tag"]))
            case "bump":
                self.counter_calls.append((limiter, line))

    def endpoint_sheet(self, phases: dict[str, str], **more: Any) -> tuple[str, dict[str, Any]]:
        self.sheet += 1
        items = [
            {
                "server": name,
                "phase": phase,
                "hall": ("east", "west")[n % 2],
                "flavor": "small",
                "pod": n % 3,
            }
            | {"capacity_hint": 1.0 + n % 2, "boot_time": 0.0}
            | more
            for n, (name, phase) in enumerate(phases.items())
        ]
        return "pool", {"sheet": self.sheet, "items": items}

    def start(self, limiter: int, conf: dict[str, Any]) -> tuple[str, dict[str, Any]]:
        self.running.add(limiter)
        return "start", {"limiter_id": limiter, "entropy": 77 + limiter, "conf": conf}

    def drop_limiter(self, limiter: int) -> None:
        """Drops the requests, attempts, counter calls and timers of a limiter."""
        self.open_requests = {t: n for t, n in self.open_requests.items() if n != limiter}
        self.pending_attempts = [o for o in self.pending_attempts if o[0] != limiter]
        self.counter_calls = [c for c in self.counter_calls if c[0] != limiter]
        self.timers = [t for t in self.timers if t[1] != limiter]

    def arrival(self) -> tuple[str, dict[str, Any]]:
        rng, limiter = self.rng, self.rng.choice(sorted(self.running))
        self.txn += 1
        self.open_requests[self.txn] = limiter
        plan = rng.choice(["small", "large", "open", "open", "capped", "few", ""])
        fields = {
            "limiter_id": limiter,
            "txn": self.txn,
            "priority": rng.choice(["look", "pay", "book", "feed"]),
        }
        fields |= {
            "give_up_at": round(self.wall + rng.choice([1000, 1000, 300, 50]), 1),
            "terms": plan,
        }
        fields |= {
            "user_key": f"{plan}-{rng.randrange(3)}",
            "cost_units": rng.choice([1.0, 1.0, 2.0]),
        }
        return "inbound", fields | {
            "n_entries": 3,
            "first": rng.randrange(3),
            "is_retry": rng.random() < 0.1,
        }

    def step(self) -> None:
        rng = self.rng
        self.wall += rng.choice([0.3, 1.7, 5.0, 20.1, 60.0])
        events: list[tuple[str, dict[str, Any]]] = []
        for due in sorted(t for t in self.timers if t[0] <= self.wall):
            self.timers.remove(due)
            events.append(("elapsed", {"limiter_id": due[1], "tag": due[2]}))
        events += [self.arrival() for _ in range(rng.choice([0, 1, 1, 2, 6]))]
        for _ in range(rng.randrange(4)):
            if self.pending_attempts:
                limiter, txn, attempt_number, server, sent_at = self.pending_attempts.pop(
                    rng.randrange(len(self.pending_attempts))
                )
                outcome = rng.choice(OUTCOMES[:1] * 8 + OUTCOMES)
                if outcome == "served" and rng.random() < 0.3:
                    events.append(
                        ("started", {"limiter_id": limiter, "txn": txn, "send_no": attempt_number})
                    )
                final = outcome == "served" or txn not in self.open_requests
                if final:
                    self.open_requests.pop(txn, None)
                event = {
                    "limiter_id": limiter,
                    "txn": txn,
                    "server": server,
                    "state_code": outcome,
                    "send_no": attempt_number,
                }
                event |= {
                    "took": round(self.wall - sent_at, 1),
                    "final": final,
                    "fleet_use": 1,
                    "cost": 0.0,
                }
                events.append(("returned", event))
        while self.counter_calls and rng.random() < 0.7:
            limiter, call = self.counter_calls.pop(0)
            outcome = rng.choice(
                ["served"] * 6 + ["no_answer", "turned_away", "no_connection", "not_sent"]
            )
            name = call["cname"]
            if outcome in ("served", "no_answer"):
                self.counter_totals[name] = self.counter_totals.get(name, 0.0) + call["step"]
            event = {
                "limiter_id": limiter,
                "cname": name,
                "state_code": outcome,
                "now_at": self.counter_totals.get(name, 0.0),
            }
            events.append(("tally_back", event | {"took": 1.5}))
        if self.open_requests and rng.random() < 0.08:
            txn = rng.choice(sorted(self.open_requests))
            events.append(("vanished", {"limiter_id": self.open_requests.pop(txn), "txn": txn}))
        if rng.random() < 0.05:
            limiter = rng.choice(sorted(self.running))
            outcome = rng.choice(OUTCOMES)
            event = {"limiter_id": limiter, "server": "s1", "state_code": outcome, "took": 2.0}
            events.append(("probe_done", event))
            events.append(("message", {"limiter_id": limiter, "src": 1}))
        self.run_batch(*events)


def bench_input() -> list[str]:
    """Draws the input lines of a session, which depend on the adapter's output."""
    bench = BenchSession(11)
    phases = {f"s{n}": "live" for n in range(4)}

    def list_events(
        scope: str, pool_event: tuple[str, dict[str, Any]], *limiters: int
    ) -> list[tuple[str, dict[str, Any]]]:
        sheet = pool_event[1]["sheet"]
        return [pool_event] + [
            ("registry", {"limiter_id": n, "scope": scope, "sheet": sheet, "gen": sheet})
            for n in limiters
        ]

    bench.run_batch(*(bench.start(n, bench_settings(n)) for n in range(3)))
    bench.run_batch(bench.arrival())  # no server is known yet
    bench.run_batch(*list_events("all", bench.endpoint_sheet(phases), 0, 1, 2))
    for _ in range(60):
        bench.step()
    bench.run_batch(("registry", {"limiter_id": 0, "scope": "refused"}))
    cold_servers = bench.endpoint_sheet({"s4": "live"}, boot_time=round(bench.wall, 1))
    bench.run_batch(*list_events("changes", cold_servers, 0, 1, 2))
    for _ in range(25):
        bench.step()
    bench.run_batch(
        *list_events("changes", bench.endpoint_sheet({"s0": "quiescing", "s1": "dead"}), 0, 1, 2)
    )
    for _ in range(25):
        bench.step()
    bench.drop_limiter(2)
    bench.running.discard(2)
    bench.run_batch(("down", {"limiter_id": 2}))
    for _ in range(10):
        bench.step()
    other_settings = bench_settings(
        2,
        specifics={"has_counter": False},
        allowed={"try_limit": 2, "retry_after": False},
        rules={"answer_slack": 20, "drain_grace": 0},
    )
    bench.run_batch(
        bench.start(2, other_settings), *list_events("remembered", bench.endpoint_sheet(phases), 2)
    )
    for _ in range(60):
        bench.step()
    bench.wall += 11_000.0  # the adapter writes its counts to the journal
    for _ in range(30):
        bench.step()
    return bench.lines


def bench_output(lines: list[str]) -> list[str]:
    out = io.BytesIO()
    host = adapter.Host(out)
    for line in lines:
        host.handle_line(line.encode())
    return [text(raw) for raw in out.getvalue().splitlines()]


def test_a_session_of_the_bench_has_exactly_these_lines() -> None:
    recorded = load("wire-bench.json")
    output = bench_output(recorded["input"])
    assert output == recorded["output"]
    assert {json.loads(line)["op"] for line in recorded["input"]} == EVENTS
    assert {json.loads(line)["op"] for line in output} == OPS
    events = [json.loads(line) for line in recorded["input"]]
    assert {e["state_code"] for e in events if e["op"] == "returned"} == set(OUTCOMES)
    assert {e["scope"] for e in events if e["op"] == "registry"} == {
        "changes", "all", "remembered", "refused",
    }  # fmt: skip


def test_the_input_of_the_session_is_drawn_again() -> None:
    """The input depends on the output, so a changed output shows here too."""
    assert bench_input() == load("wire-bench.json")["input"]


def invalid_lines() -> dict[str, Any]:
    """Returns the program's exit status, output and errors for invalid input."""
    begin, start = '{"op":"begin_batch","wall":1,"batch":1}', bench_settings(0)
    started = json.dumps({"op": "start", "limiter_id": 0, "entropy": 1, "conf": start})
    inbound = '{"op":"inbound","limiter_id":0,"txn":1,"priority":"%s","give_up_at":900.0}'
    cases = {
        "no JSON": ["nonsense"],
        "not UTF-8": [begin, '{"op":"\xff"}'],
        "no op": ["{}"],
        "an unknown op": [begin, '{"op":"dance"}'],
        "no batch": ['{"op":"flush"}'],
        "two batches": [begin, begin],
        "a field is missing": ['{"op":"begin_batch","wall":1}'],
        "a field of another type": ['{"op":"begin_batch","wall":"x","batch":1}'],
        "not started": [begin, inbound % "look"],
        "an unknown grade": [begin, started, inbound % "walk"],
        "an unknown pool": [
            begin,
            started,
            '{"op":"registry","limiter_id":0,"scope":"all","sheet":9}',
        ],
        "an unknown scope": [
            begin,
            started,
            '{"op":"registry","limiter_id":0,"scope":"some","sheet":9}',
        ],
        "an unknown phase": [
            begin,
            '{"op":"pool","sheet":1,"items":[{"server":"a","phase":"asleep"}]}',
        ],
        "an unknown outcome": [
            begin,
            '{"op":"tally_back","limiter_id":0,"cname":1,"state_code":"x"}',
        ],
        "settings without grades": [begin, started.replace('"grades": [', '"grades": [], "g": [')],
        "an empty line": ["", begin, '{"op":"flush"}'],
    }
    results = {}
    for name, lines in cases.items():
        raw, out, err = "\n".join(lines).encode("latin-1"), io.BytesIO(), io.StringIO()
        streams = SimpleNamespace(
            stdout=SimpleNamespace(buffer=out),
            stdin=SimpleNamespace(buffer=io.BytesIO(raw)),
            stderr=err,
        )
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(adapter.sys, "stdout", streams.stdout)
            patch.setattr(adapter.sys, "stdin", streams.stdin)
            patch.setattr(adapter.sys, "stderr", streams.stderr)
            status = adapter.main()
        results[name] = {"status": status, "out": text(out.getvalue()), "err": err.getvalue()}
    return results


def action_lines() -> dict[str, str]:
    """Returns the line of each action, also of those that the engine makes rarely or never.

    "broken" has the lines that the adapter writes when the engine raises an exception.
    """
    start = adapter_wire.line_decoder.decode(
        json.dumps(
            {"op": "start", "limiter_id": 3, "entropy": 1, "conf": bench_settings(0)}
        ).encode()
    )
    instance = adapter.Instance(start, 0)
    instance.servers.index_of("s0")
    actions = [
        SendAttempt(7, 0, 12_345),
        Reject(7, 250, "full"),
        Abort(7),
        CancelAttempt(7, 1),
        SetTimer(305, 2),
        IncrementCounter(9, 1.5, 7000),
        CheckHealth(0),
        LogMessage("a line"),
    ]
    lines = {
        ACTIONS[type(action)]: text(msgspec.json.encode(instance.to_message(3, action)))
        for action in actions
    }

    class FailingEngine:
        def handle(self, now: int, event: Any) -> None:
            raise ValueError("out of order")

    out = io.BytesIO()
    host = adapter.Host(out)
    instance.engine = FailingEngine()
    host.instances[3] = instance
    for line in (b'{"op":"begin_batch","wall":1,"batch":1}', b'{"op":"elapsed","limiter_id":3}'):
        host.handle_line(line)
    host.handle_line(b'{"op":"flush"}')
    return lines | {"broken": text(out.getvalue())}


# --- datagrams between limiters


def datagrams() -> dict[str, Any]:
    updates = [
        messages.MemberUpdate(3, "10.0.0.3:7000", 2, 1),
        messages.MemberUpdate(4, "10.0.0.4:7000", 1, 0),
    ]
    common_fields = (1, 5, 42, updates)
    servers = [
        config.BackendRecord(id="s1", address="10.0.1.1:80", phase="active", zone="east", pod=1),
        config.BackendRecord(
            id="s2",
            address="[::1]:81",
            phase="left",
            capacity_hint=2.5,
            started_at_ms=12.5,
            kind="x",
        ),
    ]
    datagram_messages = [
        messages.Ping(*common_fields, age=0.25, seq=9),
        messages.Ack(*common_fields, age=-1.0, seq=9, target=4),
        messages.Check(*common_fields, seq=10, target=4),
        messages.Want(1, 5, 0, [], age=3.5),
        messages.Part(
            *common_fields, number=1, count=3, is_whole=False, base_revision=41, servers=servers
        ),
        messages.Ping(0, 0, 0, []),
        messages.Part(2, 1, 7, []),
    ]
    results: dict[str, Any] = {}
    for number, message in enumerate(datagram_messages):
        encoded = messages.encode(message)
        decoded = messages.decode(encoded)
        assert decoded == message and type(decoded) is type(message)
        assert messages.encode(decoded) == encoded
        results[f"{number} {type(message).__name__}"] = {
            "bytes": encoded.hex(),
            "values": msgspec.to_builtins(decoded),
        }
    valid = messages.encode(datagram_messages[4])
    invalid = {
        "nothing": b"",
        "no msgpack": b"\xc1",
        "JSON": b'{"id":1}',
        "cut": valid[:-3],
        "more after it": valid + b"\x00",
        "no array": b"\x81\xa1a\x01",
        "an unknown kind": valid.replace(b"\xa4Part", b"\xa4Port", 1),
        "a text for a number": valid.replace(b"\xa4Part\x01", b"\xa4Part\xa1x", 1),
        "too short": b"\x92\xa4Ping\x01",
        "a spoilt address": valid.replace(b"10.0.1.1:80", b"10.0.1.1=80", 1),
        "a spoilt phase": valid.replace(b"active", b"asleep", 1),
        "not UTF-8": valid.replace(b"east", b"ea\xff\xfe", 1),
    }
    for name, encoded in invalid.items():
        try:
            results[name] = msgspec.to_builtins(messages.decode(encoded))
        except (msgspec.DecodeError, config.LimiterConfigError, UnicodeDecodeError) as error:
            results[name] = f"{type(error).__name__}: {error}"
    return results | {"most bytes": messages.MAX_DATAGRAM_BYTES}


# --- the configuration of the stand-alone limiter


def values_in_the_fixture(settings: EngineSettings) -> tuple[Any, ...]:
    """Returns the values of the settings that the fixture has.

    The other settings must have their defaults, with which a stand-alone limiter behaves as before.
    """
    values = list(dataclasses.astuple(settings))
    for number, field in reversed([*enumerate(dataclasses.fields(settings))]):
        if field.name in SETTINGS_NOT_IN_FIXTURES:
            assert values.pop(number) == field.default
    return tuple(values)


def configurations() -> dict[str, Any]:
    """Returns the error of each invalid file, and the settings of a valid one."""
    ports = {"listen": 8001, "discovery": 8002, "counter": 8003}
    base = helpers.config_file(ports, []) | {
        "listen": "10.0.0.1:8001",
        "discovery": "10.0.0.1:8002",
        "counter": "10.0.0.1:8003",
    }

    def settings(**changes: Any) -> dict[str, Any]:
        return base | {"settings": base["settings"] | changes}

    grade = base["settings"]["grades"][0]
    without_me = {k: v for k, v in base["settings"].items() if k != "me"}
    invalid = {
        "no settings": {},
        "no me": base | {"settings": without_me},
        "me too high": settings(me=1),
        "me below 0": settings(me=-1),
        "no grades": settings(grades=[]),
        "an unknown effect": settings(grades=[grade | {"effect": "odd"}]),
        "a grade without a name": settings(
            grades=[{k: v for k, v in grade.items() if k != "name"}]
        ),
        "a span below 0": settings(grades=[grade | {"deadline": -1}]),
        "a text for a number": settings(balancers="3"),
        "no counter": base | {"counter": ""},
        "a spoilt counter": base | {"counter": "here:80"},
        "no port": base | {"listen": "10.0.0.1"},
        "no listen": base | {"listen": ""},
        "port 0": base | {"discovery": "10.0.0.1:0"},
        "a host by name": base | {"discovery": "localhost:80"},
        "a spoilt seed": base | {"seed": "xyz"},
        "little memory": base | {"limits": {"memory_mb": 8}},
        "few sockets": base | {"limits": {"sockets": 4}},
        "a spoilt peer": base | {"peers": ["10.0.0.1:1", "10.0.0.2"]},
        "peers and no peer": base | {"peers": ["10.0.0.1:1"]},
        "a spoilt member": base | {"known": {"members": [{"id": "a", "host_port": "a:b"}]}},
        "an unknown phase": base
        | {"known": {"members": [{"id": "a", "host_port": "10.0.0.1:1", "phase": "x"}]}},
        "no plan there": base | {"plan": "there/is/none.json"},
    }
    encoded_files = {name: json.dumps(file).encode() for name, file in invalid.items()}
    encoded_files |= {"no JSON": b"{", "empty": b"", "a list": b"[]", "trailing": b"{} x"}
    encoded_files |= {"not UTF-8": b'{"name":"\xff"}'}
    results: dict[str, Any] = {}
    for name, raw in encoded_files.items():
        with pytest.raises(config.LimiterConfigError) as error:
            config.parse_limiter_config(raw, {})
        results[name] = str(error.value)
    for name, env in {
        "listen by environment": {"PROXY_LISTEN": "nowhere"},
        "discovery by environment": {"PROXY_DISCOVERY": "10.0.0.1:99999"},
    }.items():
        with pytest.raises(config.LimiterConfigError) as error:
            config.parse_limiter_config(json.dumps(base).encode(), env)
        results[name] = str(error.value)
    for name, env in {"no file": {}, "not there": {"PROXY_CONFIG": "there/is/none.json"}}.items():
        with pytest.raises(config.LimiterConfigError) as error:
            config.load_limiter_config(env)
        results[name] = str(error.value)
    valid = config.parse_limiter_config(json.dumps(base).encode(), {"PROXY_NAME": "other"})
    values = msgspec.to_builtins(
        values_in_the_fixture(config.engine_settings(valid.settings, 0))
    )  # enums by value
    return results | {
        "right": [
            valid.name,
            valid.listen_address,
            valid.counter_address,
            valid.random_seed,
            values,
        ]
    }


# --- decisions


def digest_of_decisions(seed: int, services: int, events: int = 20_000) -> dict[str, Any]:
    """Drives three engines with drawn events; digests their actions after each fifth of the events.

    Timers are kept as due time, number in order of creation, limiter index and tag; attempts as
    limiter index, request id, attempt number, server, time sent and expiry.
    """
    rng, now = Random(seed), 1000 * S
    engine_settings = helpers.settings(0)
    if services > 1:
        engine_settings = helpers.settings(
            0,
            total_trust_intervals=1.5,
            initial_burst_share=0.5,
            retry_budget_ratio=0.12,
            retry_budget_max=4.0,
            rejected_retry_cost=1.0,
            unsent_retry_cost=0.0,
            window_follows_endpoints=True,
            retries_until_deadline=True,
            local_zone_share=0.5,
            sends_retry_after=True,
            max_retry_after=20_000,
        )
    engines = [
        DecisionEngine(dataclasses.replace(engine_settings, limiter_index=n), n + seed, now)
        for n in range(3)
    ]
    endpoints = {
        n: dataclasses.replace(helpers.endpoint(n, zone=n % 2), service=n % services)
        for n in range(6 * services)
    }
    counter_totals: dict[int, float] = {}
    counter_calls: list[tuple[int, IncrementCounter]] = []
    timers: list[tuple[int, int, int, int]] = []
    open_requests: dict[int, int] = {}
    attempt_numbers: dict[int, int] = {}
    attempts: list[tuple[int, int, int, int, int, int]] = []
    request_id = timer_number = 0
    action_counts: dict[str, int] = {}
    digest, digests = hashlib.sha256(), []

    def handle_event(n: int, event: Any) -> None:
        nonlocal timer_number
        for action in engines[n].handle(now, event):
            values = [ACTIONS[type(action)], *dataclasses.astuple(action)]
            action_counts[values[0]] = action_counts.get(values[0], 0) + 1
            digest.update(repr((n, now, values)).encode())
            match action:
                case SendAttempt():
                    number = attempt_numbers[action.request_id] = (
                        attempt_numbers.get(action.request_id, -1) + 1
                    )
                    attempts.append(
                        (n, action.request_id, number, action.endpoint_id, now, action.expires_at)
                    )
                case Reject() | Abort():
                    open_requests.pop(action.request_id, None)
                case SetTimer():
                    timer_number += 1
                    timers.append((now + action.delay, timer_number, n, action.tag))
                case IncrementCounter():
                    counter_calls.append((n, action))

    def finish(index: int, outcome: Outcome) -> None:
        n, request_id, number, server, sent_at, _ = attempts.pop(index)
        is_final = outcome is Outcome.SUCCEEDED or request_id not in open_requests
        if is_final:
            open_requests.pop(request_id, None)
        handle_event(
            n, AttemptEnded(request_id, number, server, outcome, now - sent_at, is_final, 0, 0.0)
        )

    for n in range(3):
        handle_event(n, EndpointsUpdated(tuple(endpoints.values()), True))
    failures = [
        Outcome.SERVER_ERROR,
        Outcome.REJECTED,
        Outcome.CONNECT_FAILED,
        Outcome.CONNECTION_LOST,
        Outcome.NOT_SENT,
        Outcome.CANCELLED,
    ]
    for step in range(events):
        for due in sorted(t for t in timers if t[0] <= now):
            timers.remove(due)
            handle_event(due[2], TimerFired(due[3]))
        for index in reversed([k for k, o in enumerate(attempts) if o[5] <= now]):
            finish(index, Outcome.NO_RESPONSE)
        draw, n = rng.random(), rng.randrange(3)
        if draw < 0.42:
            request_id += 1
            open_requests[request_id] = n
            plan = rng.randrange(len(PLANS))
            event = helpers.arrival(
                request_id, now, rng.randrange(4), plan, 10 * plan + rng.randrange(4)
            )
            event = dataclasses.replace(
                event, service=rng.randrange(services), limiter_set_start=rng.randrange(3)
            )
            handle_event(n, event)
        elif draw < 0.72:
            if attempts:
                failed = rng.random() < (0.5 if step % 4000 > 3000 else 0.05)
                finish(
                    rng.randrange(len(attempts)),
                    rng.choice(failures) if failed else Outcome.SUCCEEDED,
                )
        elif draw < 0.82:
            if counter_calls:
                n, call = counter_calls.pop(rng.randrange(len(counter_calls)))
                outcome = rng.choice(
                    [Outcome.SUCCEEDED] * 6 + [Outcome.NO_RESPONSE, Outcome.REJECTED]
                )
                if outcome is not Outcome.REJECTED:
                    counter_totals[call.counter_name] = (
                        counter_totals.get(call.counter_name, 0.0) + call.amount
                    )
                handle_event(
                    n,
                    CounterReplied(
                        call.counter_name, outcome, counter_totals.get(call.counter_name, 0.0), 30
                    ),
                )
        elif draw < 0.97:
            now += rng.choice([3, 20, 100, 400, 900])
        elif draw < 0.98:
            if open_requests:
                disconnected = rng.choice(list(open_requests))
                handle_event(open_requests.pop(disconnected), ClientDisconnected(disconnected))
        elif draw < 0.985:
            server = rng.randrange(len(endpoints))
            state = rng.choice(
                [EndpointState.LIVE, EndpointState.LIVE, EndpointState.DRAINING, EndpointState.GONE]
            )
            started_at = now if state is EndpointState.LIVE else 0
            endpoint = helpers.endpoint(server, state, started_at, server % 2)
            endpoints[server] = dataclasses.replace(endpoint, service=server % services)
            for limiter in range(3):
                handle_event(limiter, EndpointsUpdated((endpoints[server],), False))
        elif draw < 0.987:
            handle_event(n, EndpointsUpdated(tuple(endpoints.values()), True))
        elif draw < 0.989 and attempts:
            handle_event(attempts[0][0], ResponseStarted(attempts[0][1], attempts[0][2]))
        elif draw < 0.991:
            handle_event(
                n, HealthCheckFinished(rng.randrange(len(endpoints)), rng.choice([*Outcome]), 40)
            )
        elif draw < 0.994 and counter_totals:
            name = rng.choice(list(counter_totals))
            handle_event(
                n,
                TenantTotalUpdated(
                    name, counter_totals[name] + 2.0, 0, rng.randrange(4), 1000, 3, 0
                ),
            )
        elif draw < 0.996:
            limiters = rng.choice([3, 3, 4])
            engine_settings = dataclasses.replace(
                engine_settings, limiter_count=limiters, clock_offset=rng.randrange(50)
            )
            for limiter in range(3):
                handle_event(
                    limiter,
                    SettingsChanged(dataclasses.replace(engine_settings, limiter_index=limiter)),
                )
        if step % (events // 5) == events // 5 - 1:
            digests.append(digest.hexdigest()[:16])
    return {
        "actions": dict(sorted(action_counts.items())),
        "digests": digests,
        "whole": digest.hexdigest(),
    }


def decisions() -> dict[str, Any]:
    """Returns the digests of two seeds with one service and of one with three."""
    return {
        "seed 1": digest_of_decisions(1, 1),
        "seed 2": digest_of_decisions(2, 1),
        "seed 3, three services": digest_of_decisions(3, 3),
    }


def test_the_drawn_events_cause_every_action_that_the_engine_makes() -> None:
    for run in load("wire-decisions.json").values():
        assert set(run["actions"]) == {"dispatch", "deny", "abort", "wake", "count", "log"}


# --- responses to clients, and requests as servers receive them

HOST, SERVER_IPS = "10.0.0.1", ("10.0.1.1", "10.0.1.2")
MALFORMED = {
    "no HTTP": b"nonsense\r\n\r\n",
    "another version": b"GET / HTTP/2.0\r\nHost: a\r\n\r\n",
    "a version of old": b"GET / HTTP/1.0\r\nHost: a\r\n\r\n",
    "no host": b"GET / HTTP/1.1\r\n\r\n",
    "a field without a colon": b"GET / HTTP/1.1\r\nHost a\r\n\r\n",
    "a folded field": b"GET / HTTP/1.1\r\nHost: a\r\n b\r\n\r\n",
    "two lengths": b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
    "a spoilt length": b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
    "length and chunks": b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "another coding": b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n",
    "a spoilt chunk": b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    "a long body": b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n",
    "a long head": b"GET / HTTP/1.1\r\nHost: a\r\nA: %b\r\n\r\n" % (b"x" * 70_000),
    "a spoilt target": b"GET a HTTP/1.1\r\nHost: a\r\n\r\n",
    "cut": b"GET / HTTP/1.1\r\nHo",
}


class ForwardedData:
    """Records the data that `host` writes to simulated streams to servers."""

    def __init__(self, patch: pytest.MonkeyPatch, host: str, servers: str) -> None:
        self.sent: list[list[str]] = []
        write = SimTransport.write

        def recording_write(end: SimTransport, data: Any) -> None:
            if end.host == host and end.remote_host.startswith(servers):
                self.sent.append([end.remote_host, text(bytes(data))])
            write(end, data)

        patch.setattr(SimTransport, "write", recording_write)

    def take(self) -> list[list[str]]:
        sent, self.sent = self.sent, []
        return sent


async def send_and_read(
    streams: Streams, address: tuple[str, int], raw: bytes, duration_seconds: float
) -> dict[str, Any]:
    """Sends data on a new connection; returns the answer after the duration and how it ended."""
    connection = await streams.open(HttpConnection, address, 1.0)
    connection.transport.write(raw)
    await asyncio.sleep(duration_seconds)
    result = {"answer": text(bytes(connection.buffer)), "end": connection.closed_reason}
    connection.transport.abort()
    return result


class LoopClockLimiter(Limiter):
    """A limiter whose clock is the event loop's."""

    def now(self) -> int:
        return int(self.loop.time() * 10_000) + 18_000_000_000_000


class SimulatedServer(asyncio.Protocol):
    """A server whose answers `behaviour` selects, the same for all servers."""

    behaviour = "ok"

    def connection_made(self, transport: Any) -> None:
        self.transport, self.buf = transport, b""

    def data_received(self, data: bytes) -> None:
        self.buf += data
        head, end, body = self.buf.partition(b"\r\n\r\n")
        if not end or len(body) < helpers.wire.content_length(head):
            return
        self.buf = b""
        match SimulatedServer.behaviour:
            case "ok":
                self.transport.write(
                    helpers.http_response(200, b"hello", b"Metered-Units: 1\r\nX-More: 1\r\n")
                )
            case "chunks":
                head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                self.transport.write(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
            case "full":
                self.transport.write(helpers.http_response(503, b"", b"Not-Started: 1\r\n"))
            case "busy":
                self.transport.write(helpers.http_response(503, b"busy"))
            case "error":
                self.transport.write(helpers.http_response(500, b"oh"))
            case "missing":
                self.transport.write(helpers.http_response(404, b"none"))
            case "lost":
                self.transport.abort()
            case "spoilt":
                self.transport.write(b"what is this\r\n\r\n")


def limiter_responses() -> dict[str, Any]:
    """Returns responses of the stand-alone limiter."""
    responses: dict[str, Any] = {}

    async def work(patch: pytest.MonkeyPatch) -> None:
        forwarded = ForwardedData(patch, HOST, "10.0.1.")
        tcp_stack = TcpStack(SimNetwork(Random(1)), Random(2))
        loop = asyncio.get_running_loop()
        members = [
            {"id": f"s{n}", "host_port": f"{ip}:80", "locality": "east"}
            for n, ip in enumerate(SERVER_IPS)
        ]
        file = helpers.config_file({"listen": 1, "discovery": 1, "counter": 1}, members)
        file |= {"listen": f"{HOST}:80", "discovery": f"{HOST}:81", "counter": ""}
        other_settings = {
            "plans": [{"name": "basic"}, {"name": "small", "refill": 1.0, "store_size": 1.0}],
            "specifics": {"has_counter": False, "max_units": 4},
        }
        file["settings"] |= other_settings
        file["settings"]["allowed"] |= {"retry_after": True, "max_retry_after": 3000}
        limiter = LoopClockLimiter(
            config.parse_limiter_config(json.dumps(file).encode(), {}), VirtualArrivalClock()
        )
        limiter_streams = Streams(tcp_stack, HOST, SimProcess())
        limiter.listener.bind, limiter.pool.connect = (
            limiter_streams.listen,
            limiter_streams.connect,
        )
        for ip in SERVER_IPS:
            await Streams(tcp_stack, ip, SimProcess()).listen(loop, SimulatedServer, (ip, 80))
        await limiter.listener.listen((HOST, 80))
        loop.call_later(1.0, limiter.sweep)
        client = Streams(tcp_stack, "10.9.0.1", SimProcess())

        async def record(
            name: str, raw: bytes, duration_seconds: float = 0.5, behaviour: str = "ok"
        ) -> None:
            SimulatedServer.behaviour = behaviour
            responses[name] = await send_and_read(client, (HOST, 80), raw, duration_seconds) | {
                "sent on": forwarded.take()
            }

        ready = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"
        await record("not ready", ready)
        await record("no servers", helpers.request())
        limiter.update_servers(limiter.config.initial_backends)
        await record("ready", ready)
        await record("ready by POST", ready.replace(b"GET", b"POST"))
        await record("an own path that isn't", ready.replace(b"ready", b"other"))
        await record("look", helpers.request())
        await record("look with a body", helpers.request(body=b"some words"))
        await record("book", helpers.request("book", extra="X-Other: 7\r\n"))
        await record("book again", helpers.request("book", body=b"b", extra="Client-Retry: 1\r\n"))
        await record("two at once", helpers.request(id_="r2") + helpers.request(id_="r3"))
        await record("close", helpers.request(extra="Connection: close, X-Hop\r\nX-Hop: 1\r\n"))
        await record("in chunks", helpers.request(), behaviour="chunks")
        small = helpers.request().replace(b"X-Tier: basic", b"X-Tier: small")
        small = small.replace(b"account=00000000", b"account=00000001")  # an account keeps its plan
        for n in range(4):
            await record(f"small {n}", small, 0.1)
        valid_request = helpers.request()
        for name, old, new in [
            ("no account", b"account=", b"a="),
            ("no id", b"Request-Id: r1\r\n", b""),
            ("a spoilt time", b"Ms: 1000", b"Ms: x"),
            ("no such frontend", b"Class: look", b"Class: walk"),
            ("no such plan", b"Tier: basic", b"Tier: odd"),
            ("spoilt terms", b"units=1,", b"units=x,"),
            ("too many units", b"units=1,", b"units=9,"),
            ("a set out of range", b"spread=1,", b"spread=9,"),
        ]:
            assert old in valid_request
            await record(name, valid_request.replace(old, new))
        for name, raw in MALFORMED.items():
            await record(name, raw, 14.0 if name == "cut" else 0.5)
        for behaviour in ("full", "busy", "error", "missing", "lost", "spoilt", "silent"):
            for front in ("look", "book"):
                await record(f"{front}, {behaviour}", helpers.request(front), 2.5, behaviour)
                await asyncio.sleep(20.0)  # the limiter forgets the servers' failures
        limiter.stop()
        await record("stopping", helpers.request())
        await record("not ready as it stops", ready, 0.01)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(time, "process_time", lambda: 0.0)
        run_simulated(lambda: work(patch))
    return responses


def proxy_request(
    path: str = "/a/x?n=1", method: str = "GET", key: str = "key-of-ann", **more: Any
) -> bytes:
    body = more.pop("body", b"")
    fields = {
        "Host": "town.example",
        "Loomstand-Request-Id": "r-1",
        "Authorization": f"Bearer {key}",
    }
    fields |= {"Loomstand-Deadline-Remaining": "3000"} | more
    if body:
        fields["Content-Length"] = str(len(body))
    lines = [
        f"{method} {path} HTTP/1.1",
        *(f"{k}: {v}" for k, v in fields.items() if v is not None),
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


def proxy_responses() -> dict[str, Any]:
    """Returns responses of the proxy in a small cluster."""
    responses: dict[str, Any] = {}
    with pytest.MonkeyPatch.context() as patch:
        cluster = Cluster(5, proxies=1, servers=2)
        ip = next(iter(cluster.proxies))
        forwarded = ForwardedData(patch, ip, "10.3.")
        client = cluster.streams("10.9.0.1")

        def record(
            name: str,
            raw: bytes,
            duration_seconds: float = 0.5,
            fault: str = "",
            port: int = FRONT_PORT,
        ) -> None:
            for server in cluster.servers["alpha"]:
                server.fault = fault
            responses[name] = cluster.run(
                send_and_read(client, (ip, port), raw, duration_seconds)
            ) | {"sent on": forwarded.take()}

        def readiness(path: str) -> bytes:
            return b"GET %b HTTP/1.1\r\nHost: a\r\n\r\n" % path.encode()

        async def start_proxy() -> None:
            cluster.proxies[ip].start()

        cluster.run(start_proxy())
        cluster.wait(0.1)
        record("no configuration", proxy_request(), 2.0)
        record("not ready", readiness("/api/readiness"), port=READINESS_PORT)
        cluster.proxies[ip].kill()
        cluster.use_default_configuration()
        cluster.route("open", "alpha", public=True)
        cluster.route("single", "alpha", maximum_attempts=1)
        cluster.route("short", "alpha", timeout="400ms", target_latency="100ms")
        cluster.route("nobody", "gamma")
        cluster.resources["services", "gamma"] = {
            "health_check_path": "/health",
            "connection_limit": 130,
        }
        cluster.tenant("poor", "key-of-poor", 1, 1)
        cluster.run(cluster.start())
        cluster.wait(5.0)
        record("ready", readiness("/api/readiness"), port=READINESS_PORT)
        record("another path", readiness("/api/other"), port=READINESS_PORT)
        record("an own path of the other limiter", readiness("/-/ready"))
        record("get", proxy_request())
        record("post", proxy_request("/once/x", "POST", body=b"some words"))
        record("public", proxy_request("/open/x", key="", Authorization=None))
        hop = {"Connection": "X-Hop", "X-Hop": "1", "X-Other": "2", "Loomstand-Tenant-Name": "me"}
        record("fields", proxy_request("/a/y", "PUT", body=b"b", **hop))
        record("close", proxy_request(Connection="close"))
        record("two at once", proxy_request() + proxy_request(**{"Loomstand-Request-Id": "r-2"}))
        record("no key", proxy_request(Authorization=None))
        record("another key", proxy_request(key="odd"))
        record("no route", proxy_request("/z/x"))
        record("another host", proxy_request(Host="other.example"))
        record("no id", proxy_request(**{"Loomstand-Request-Id": None}))
        record("a spoilt time", proxy_request(**{"Loomstand-Deadline-Remaining": "soon"}))
        record("a service without servers", proxy_request("/nobody/x"), 2.0)
        for n in range(8):
            record(f"poor {n}", proxy_request(key="key-of-poor"), 0.1)
        for name, raw in MALFORMED.items():
            record(name, raw, 14.0 if name == "cut" else 0.5)
        for behaviour in (
            "full",
            "error",
            "bare",
            "close",
            "reset",
            "cut",
            "spoilt",
            "surplus",
            "late",
            "silent",
        ):
            for path, method in (("/single/x", "GET"), ("/once/x", "POST"), ("/a/x", "GET")):
                seconds = 3.2 if behaviour == "silent" else 0.6
                record(
                    f"{method} {path}, {behaviour}", proxy_request(path, method), seconds, behaviour
                )
                cluster.wait(3.0)
        record("a short time", proxy_request("/short/x"), 2.0, "slow")
        cluster.loop.close()
    return responses


def statuses(name: str) -> set[int]:
    answers = [response["answer"] for response in load(name).values()]
    return {int(answer.split(" ")[1]) for answer in answers if answer}


def test_the_fixtures_have_responses_of_all_statuses() -> None:
    common = {200, 400, 404, 408, 413, 429, 431, 502, 503}
    assert statuses("wire-limiter.json") >= common
    retry_later = [
        response
        for response in load("wire-limiter.json").values()
        if "\r\nRetry-After: " in response["answer"]
    ]
    assert retry_later and retry_later[0]["answer"].startswith("HTTP/1.1 429 ")
    assert statuses("wire-proxy.json") >= common | {401, 500, 504}


def without_remaining_time(text: str) -> str:
    return re.sub("(loomstand-deadline-remaining: )[0-9]+", r"\1N", text)


def remaining_ms(exchange: dict[str, Any]) -> list[int]:
    return [int(ms) for ms in re.findall("loomstand-deadline-remaining: ([0-9]+)", str(exchange))]


def test_the_proxy_differs_from_its_former_recording_in_time_for_idempotent_requests_only() -> None:
    """Since incident 62 a server gets all of the time, and silence ends with it, not before."""
    former, current = load("wire-proxy-former.json"), load("wire-proxy.json")
    assert former.keys() == current.keys()
    later_failures = []
    for name, exchange in current.items():
        was = former[name]
        assert without_remaining_time(str(exchange["sent on"])) == without_remaining_time(
            str(was["sent on"])
        )
        assert exchange["end"] == was["end"]
        pairs = zip(remaining_ms(was), remaining_ms(exchange), strict=True)
        is_repeatable = not any(
            "/once/x" in sent or "/single/x" in sent for _, sent in was["sent on"]
        )
        assert all(before < after if is_repeatable else before == after for before, after in pairs)
        if exchange["answer"] != was["answer"]:
            later_failures.append((name, was["answer"][:12], exchange["answer"][:12]))
    assert later_failures == [
        ("GET /a/x, silent", "HTTP/1.1 502", "HTTP/1.1 504"),
        ("a short time", "HTTP/1.1 502", "HTTP/1.1 504"),
    ]


FIXTURES: dict[str, Callable[[], Any]] = {
    "wire-bad-lines.json": invalid_lines,
    "wire-actions.json": action_lines,
    "wire-datagrams.json": datagrams,
    "wire-configurations.json": configurations,
    "wire-decisions.json": decisions,
    "wire-limiter.json": limiter_responses,
    "wire-proxy.json": proxy_responses,
}


@pytest.mark.parametrize("name", FIXTURES)
def test_current_values_equal_the_fixture(name: str) -> None:
    assert json.loads(json.dumps(FIXTURES[name]())) == load(name)
