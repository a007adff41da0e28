"""A small stage for the module, with checks of the five rules; and stand-ins for the limiter on
sockets.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import TypeVar

from loomstand.admission.actions import (
    Abort,
    Action,
    IncrementCounter,
    Reject,
    SendAttempt,
    SetTimer,
)
from loomstand.admission.decision_engine import DecisionEngine
from loomstand.admission.endpoints import Endpoint, EndpointState
from loomstand.admission.events import (
    AttemptEnded,
    CounterReplied,
    EndpointsUpdated,
    Event,
    RequestArrived,
    TimerFired,
)
from loomstand.admission.outcome import Outcome
from loomstand.admission.settings import (
    DeduplicationScope,
    Effect,
    EngineSettings,
    Frontend,
    QuotaPlan,
)
from loomstand.admission.ticks import TICKS_PER_SECOND
from loomstand.config.limiter import parse_limiter_config
from loomstand.limiter.endings import Ending
from loomstand.limiter.limiter import Limiter
from loomstand.testing.rehearsal import wire
from loomstand.testing.rehearsal.wire import (
    WATCH_RESPONSE_HEAD,
    http_response,
    own_host,
    read_message,
    watch_chunk,
)

S = TICKS_PER_SECOND
ActionKind = TypeVar("ActionKind")
NOT_RUN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


def frontend(
    effect: Effect = Effect.IDEMPOTENT,
    group: DeduplicationScope = DeduplicationScope.ALL,
    late: float = 0.0,
) -> Frontend:
    return Frontend(effect, group, 2 * S, S, 4 * S, 1.0, late, False)


FRONTENDS = (
    frontend(),
    frontend(Effect.NON_IDEMPOTENT),
    frontend(Effect.DEDUPLICATED, DeduplicationScope.ZONE),
    frontend(Effect.DEDUPLICATED, DeduplicationScope.ALL),
)
PLANS = (
    QuotaPlan(2.0, 4.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0),
    QuotaPlan(5.0, 10.0, 0, 1.5, 0.0, 1.0, 10.0, 20.0, 2.0),
    QuotaPlan(0.0, 0.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0),
    QuotaPlan(0.0, 0.0, 0, 1.0, 0.0, 1.0, 10.0, 12.0, 2.0),
)


def settings(me: int = 0, limiters: int = 3, **changes: object) -> EngineSettings:
    base = EngineSettings(
        me,
        limiters,
        0,
        FRONTENDS,
        PLANS,
        4,
        True,
        False,
        False,
        False,
        0,
        True,
        500,
        0,
        1,
        S,
        10 * S,
        0.2,
        3.0,
        S,
        80,
    )
    return replace(base, **changes)


def entry(
    srv: int, phase: EndpointState = EndpointState.LIVE, booted: int = 0, hall: int = 0
) -> Endpoint:
    return Endpoint(srv, phase, hall, 0, srv % 2, 1.0, booted)


def arrival(
    req: int, now: int, front: int = 0, plan: int = 2, customer: int = 0, sets: int = 3
) -> RequestArrived:
    give_up = now + FRONTENDS[front].client_timeout
    return RequestArrived(req, front, plan, customer, 1000 + customer, give_up, 1.0, sets, False)


def alone(now: int = 0, servers: int = 3, **changes: object) -> DecisionEngine:
    """One limiter with some long-running servers."""
    brain = DecisionEngine(settings(**changes), 7, now)
    brain.handle(now, EndpointsUpdated(tuple(entry(n) for n in range(servers)), True))
    return brain


def pick(actions: Sequence[Action], kind: type[ActionKind]) -> list[ActionKind]:
    return [a for a in actions if isinstance(a, kind)]


class Stage:
    """Several limiters and what the outside sees of them all."""

    def __init__(self, servers: int, limiters: int = 3, **changes: object) -> None:
        self.now = 1000 * S
        self.changes = {"limiters": limiters, **changes}
        self.entries = {n: entry(n, hall=n % 2) for n in range(servers)}
        self.brains: list[DecisionEngine | None] = [None] * limiters
        self.counts: dict[int, float] = {}
        self.calls: list[tuple[int, IncrementCounter]] = []
        self.timers: list[tuple[int, int, int]] = []
        # req: limiter, arrival, dispatches
        self.open: dict[int, tuple[int, RequestArrived, list]] = {}
        # limiter, server, sent, expiry
        self.out: dict[tuple[int, int], tuple[int, int, int, int]] = {}
        self.answered: set[int] = set()
        self.told: list[dict[int, int]] = [{} for _ in range(limiters)]
        self.ceilings: dict[int, tuple[float, int]] = {}
        self.sends: list[tuple[int, int]] = []  # time and server
        self.stalled: int | None = None
        for n in range(limiters):
            self.start(n)

    def start(self, n: int) -> None:
        self.brains[n] = DecisionEngine(settings(n, **self.changes), n, self.now)
        self.told[n] = {}
        self.tell(n)

    def tell(self, n: int) -> None:
        for e in self.entries.values():
            if e.state is not EndpointState.LIVE:
                self.told[n].setdefault(e.endpoint_id, self.now)
            else:
                self.told[n].pop(e.endpoint_id, None)
        self.give(n, EndpointsUpdated(tuple(self.entries.values()), True))

    def kill(self, n: int) -> None:
        """All that a killed limiter held is void."""
        self.calls = [c for c in self.calls if c[0] != n]
        self.timers = [t for t in self.timers if t[1] != n]
        self.open = {r: o for r, o in self.open.items() if o[0] != n}
        self.out = {k: o for k, o in self.out.items() if o[0] != n}

    def give(self, n: int, note: Event) -> None:
        for act in self.brains[n].handle(self.now, note):
            self.check(n, act)

    def answer(self, req: int) -> None:
        """Rule 1: one final answer."""
        assert req in self.open, f"{req} answered twice"
        del self.open[req]

    def check(self, n: int, act: Action) -> None:
        match act:
            case SendAttempt(req, srv, expire):
                self.check_dispatch(n, req, srv)
                dispatches = self.open[req][2]
                self.out[req, len(dispatches)] = (
                    n,
                    srv,
                    self.now,
                    min(expire, self.open[req][1].deadline),
                )
                dispatches.append([srv, self.now, None])
                self.sends.append((self.now, srv))
            case Reject(req) | Abort(req):
                _, note, dispatches = self.open[req]
                front = FRONTENDS[note.frontend]
                ran = any(d[2] not in NOT_RUN for d in dispatches)
                # rule 2: a denial says that trying again is harmless
                if isinstance(act, Reject) and ran:
                    uniqued = (
                        front.effect is Effect.DEDUPLICATED
                        and front.deduplication_scope is DeduplicationScope.ALL
                    )
                    assert front.effect is Effect.IDEMPOTENT or uniqued
                self.answer(req)
            case SetTimer(after, tag):
                assert after > 0
                self.timers.append((self.now + after, n, tag))
            case IncrementCounter():
                self.calls.append((n, act))

    def check_dispatch(self, n: int, req: int, srv: int) -> None:
        assert req in self.open, f"{req} sent after its answer"
        _, note, before = self.open[req]
        assert self.now < note.deadline
        grace = self.told[n].get(srv)
        assert grace is None or self.now <= grace + S, "sent to a draining server"  # rule 3
        front = FRONTENDS[note.frontend]
        for old, at, how in before:  # rule 2
            assert how is not None, "two dispatches out"
            if how in NOT_RUN or front.effect is Effect.IDEMPOTENT:
                continue
            assert front.effect is Effect.DEDUPLICATED, "a non-replayable req sent twice"
            assert self.now < at + front.deduplication_window
            assert (
                front.deduplication_scope is DeduplicationScope.ALL
                or self.entries[old].zone == self.entries[srv].zone
            )
        plan = PLANS[note.plan]
        if not before and plan.rate_limit:  # rule 5
            left, at = self.ceilings.get(note.tenant, (plan.rate_limit_burst, self.now))
            left = (
                min(plan.rate_limit_burst, left + plan.rate_limit * (self.now - at) / S)
                - note.units
            )
            assert left >= -plan.rate_limit_slack, "the ceiling was passed"
            self.ceilings[note.tenant] = left, self.now

    def finish(self, key: tuple[int, int], how: Outcome) -> None:
        n, srv, sent, _ = self.out.pop(key)
        req, dispatch = key
        final = how is Outcome.SUCCEEDED or req not in self.open
        if req in self.open:
            self.open[req][2][dispatch][2] = how
            if how is Outcome.SUCCEEDED:
                self.answer(req)
        self.give(n, AttemptEnded(req, dispatch, srv, how, self.now - sent, final, 0, 0.0))

    def pass_time(self, span: int) -> None:
        """Moves the clock, with timers, expiries and the end of each client's patience on the
        way.
        """
        end = self.now + span
        while True:
            dues = [t[0] for t in self.timers if t[1] != self.stalled] + [
                o[3] for o in self.out.values()
            ]
            first = min(dues, default=end + 1)
            if first > end:
                break
            self.now = max(self.now, first)
            for due in [t for t in self.timers if t[0] <= self.now and t[1] != self.stalled]:
                self.timers.remove(due)
                self.give(due[1], TimerFired(due[2]))
            for key in [k for k, o in self.out.items() if o[3] <= self.now]:
                self.finish(key, Outcome.NO_RESPONSE)
        self.now = end
        for req, (_, note, _) in self.open.items():
            assert self.now <= note.deadline + 80, f"{req} got no answer in time"  # rule 1
        for srv, e in self.entries.items():
            if e.started_at and self.now - e.started_at < 10 * S:
                self.check_cold(srv, e.started_at)

    def check_cold(self, srv: int, booted: int) -> None:
        """Rule 4, against what the busiest peer carried: a second's budget and one req a
        limiter.
        """
        peers = [n for n in self.entries if not self.entries[n].started_at]
        carried = max(
            (sum(1 for t, s in self.sends if s == p and t > self.now - 4 * S) for p in peers),
            default=0,
        )
        lately = sum(1 for t, s in self.sends if s == srv and t > max(booted, self.now - S))
        warmth = 0.2 + 0.8 * (self.now - booted) / (10 * S)
        assert lately <= 3.0 * warmth * max(carried, 4) / 2 + len(self.brains), (
            "a cold server was pushed"
        )

    def count(self, at: int, how: Outcome, empty: bool) -> None:
        n, call = self.calls.pop(at)
        if empty:
            self.counts.clear()
        if how in (Outcome.SUCCEEDED, Outcome.NO_RESPONSE):
            self.counts[call.counter_name] = self.counts.get(call.counter_name, 0.0) + call.amount
        self.give(
            n, CounterReplied(call.counter_name, how, self.counts.get(call.counter_name, 0.0), 30)
        )


# Stand-ins on loopback, for the limiter on sockets.


HOST = own_host()


def free_port() -> int:
    return wire.free_port(HOST)


def member(id_: str, port: int, phase: str = "active") -> dict[str, object]:
    return {
        "id": id_,
        "host_port": f"{HOST}:{port}",
        "locality": "east",
        "phase": phase,
        "up_since_ms": 0,
    }


def config_file(ports: dict[str, int], members: list[dict], **changes: object) -> dict:
    grades = [
        {"name": "look", "effect": "pure", "on_time": 500, "deadline": 1500, "points": 1},
        {"name": "book", "effect": "side_effect", "on_time": 500, "deadline": 1500, "points": 1},
    ]
    allowed = {"try_limit": 3, "idle_close": 2000, "connect_timeout": 250, "cancel": True}
    return {
        "name": "n0",
        "listen": f"{HOST}:{ports['listen']}",
        "discovery": f"{HOST}:{ports['discovery']}",
        "counter": f"{HOST}:{ports['counter']}",
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "known": {"revision": 4, "complete": True, "members": members},
        "settings": {
            "balancers": 1,
            "me": 0,
            "az": "east",
            "zones": ["east"],
            "grades": grades,
            "plans": [{"name": "basic", "refill": 100.0, "store_size": 100.0}],
            "allowed": allowed,
            "specifics": {"has_counter": True, "count_limit": 100, "max_units": 4},
            "rules": {"answer_slack": 8, "drain_grace": 500},
        },
    } | changes


class Peer:
    """A stand-in that takes HTTP messages; `play(n, head, body)` answers the nth, or closes by
    None.
    """

    def __init__(self, play: Callable) -> None:
        self.play, self.heads, self.bodies, self.connections = play, [], [], 0
        self.open: set[asyncio.StreamWriter] = set()

    async def start(self) -> int:
        self.server = await asyncio.start_server(self.talk, HOST, 0)
        return self.server.sockets[0].getsockname()[1]

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.open.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head, body = await read_message(reader)
                n = len(self.heads)
                self.heads.append(head)
                self.bodies.append(body)
                said = self.play(n, head, body)
                said = await said if asyncio.iscoroutine(said) else said
                if said is None:
                    break
                writer.write(said)
                await writer.drain()
        self.open.discard(writer)
        writer.close()

    def cut(self) -> None:
        """Breaks all connections."""
        for writer in list(self.open):
            writer.transport.abort()

    def stop(self) -> None:
        self.server.close()
        self.cut()


def request(
    front: str = "look", id_: str = "r1", timeout: int = 1000, body: bytes = b"", extra: str = ""
) -> bytes:
    method = "POST" if body or front == "book" else "GET"
    return (
        f"{method} /{front}?account=00000000b4d65521 HTTP/1.1\r\nHost: "
        f"backend.local\r\nRequest-Id: {id_}\r\n"
        f"Request-Class: {front}\r\nX-Tier: basic\r\nRequest-Timeout-Ms: {timeout}\r\n"
        f"X-Call-Terms: units=1,spread=1,first=0\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class Caller:
    """A client with one connection."""

    def __init__(self, port: int) -> None:
        self.port = port

    async def __aenter__(self) -> Caller:
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
        return self

    async def __aexit__(self, *why: object) -> None:
        self.writer.close()

    async def ask(self, raw: bytes) -> tuple[int, bytes, bytes]:
        self.writer.write(raw)
        return await self.answer()

    async def answer(self) -> tuple[int, bytes, bytes]:
        """Status, head and body of the next answer."""
        head = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), 4)
        length = int(re.search(rb"Content-Length: (\d+)", head)[1])
        return int(head[9:12]), head, await self.reader.readexactly(length)

    async def closed(self) -> bool:
        """Whether the limiter ends the connection cleanly now."""
        return await asyncio.wait_for(self.reader.read(1), 4) == b""


class Site:
    """A limiter among stand-ins; `servers` says how each of them answers."""

    def __init__(
        self,
        *servers: Callable,
        counter: Callable | None = None,
        arrival_clock: object = None,
        **changes: object,
    ):
        self.arrival_clock = arrival_clock
        self.servers = [Peer(play) for play in servers]
        self.counter = Peer(counter or (lambda n, head, body: http_response(200, b"1")))
        self.discovery = Peer(lambda n, head, body: WATCH_RESPONSE_HEAD)
        self.changes = changes

    async def __aenter__(self) -> Site:
        ports = {"listen": free_port(), "counter": await self.counter.start()}
        ports["discovery"] = await self.discovery.start()
        self.members = [member(f"s{n}", await peer.start()) for n, peer in enumerate(self.servers)]
        raw = json.dumps(config_file(ports, self.members, **self.changes)).encode()
        arrival_clock = (
            self.arrival_clock or asyncio.get_running_loop()._selector
        )  # an ArrivalClockSelector in these tests
        self.limiter, self.port = (
            Limiter(parse_limiter_config(raw, {}), arrival_clock),
            ports["listen"],
        )
        self.task = asyncio.create_task(self.limiter.run())
        while not self.limiter.listener.server:
            assert not self.task.done(), self.task.exception()
            await asyncio.sleep(0.005)
        return self

    async def __aexit__(self, *why: object) -> None:
        self.limiter.listener.close()
        self.limiter.watch.stop()
        for client in list(self.limiter.listener.clients):
            client.channel.drop(Ending.STOPPING)
        for peer in (*self.servers, self.counter, self.discovery):
            peer.stop()
        self.limiter.stopped.set()
        await self.task

    def tell(self, **list_: object) -> None:
        """A line of the watch."""
        for writer in self.discovery.open:
            writer.write(watch_chunk(list_))


async def until(true: Callable[[], object]) -> None:
    """Waits for something to come true, for a bounded time."""
    for _ in range(600):
        if true():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("it did not come true")
