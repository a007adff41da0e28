"""Test harnesses for the decision engine and for a limiter on loopback sockets.

`EngineHarness` runs several engines on a simulated clock and checks the rules of its docstring at
each action; `LimiterHarness` runs one limiter on loopback sockets against stub servers.
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
ActionType = TypeVar("ActionType")
RESPONSE_SLACK = 80  # ticks
NOT_RUN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


def frontend(
    effect: Effect = Effect.IDEMPOTENT,
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL,
    late_value: float = 0.0,
) -> Frontend:
    return Frontend(
        effect=effect,
        deduplication_scope=deduplication_scope,
        deduplication_window=2 * S,
        latency_target=S,
        client_timeout=4 * S,
        value=1.0,
        late_value=late_value,
        is_streaming=False,
    )


FRONTENDS = (
    frontend(),
    frontend(Effect.NON_IDEMPOTENT),
    frontend(Effect.DEDUPLICATED, DeduplicationScope.ZONE),
    frontend(Effect.DEDUPLICATED, DeduplicationScope.ALL),
)
UNLIMITED_PLAN = QuotaPlan(
    rate=0.0,
    burst=0.0,
    concurrency_limit=0,
    value_factor=1.0,
    excess_value=0.0,
    excess_cost=1.0,
    rate_limit=0.0,
    rate_limit_burst=0.0,
    rate_limit_slack=0.0,
)
PLANS = (
    replace(UNLIMITED_PLAN, rate=2.0, burst=4.0),
    replace(
        UNLIMITED_PLAN,
        rate=5.0,
        burst=10.0,
        value_factor=1.5,
        rate_limit=10.0,
        rate_limit_burst=20.0,
        rate_limit_slack=2.0,
    ),
    UNLIMITED_PLAN,
    replace(UNLIMITED_PLAN, rate_limit=10.0, rate_limit_burst=12.0, rate_limit_slack=2.0),
)


def settings(limiter_index: int = 0, limiter_count: int = 3, **changes: object) -> EngineSettings:
    """Returns settings of a small system; `changes` replace fields."""
    base = EngineSettings(
        limiter_index=limiter_index,
        limiter_count=limiter_count,
        zone=0,
        frontends=FRONTENDS,
        plans=PLANS,
        attempt_limit=4,
        can_cancel_attempts=True,
        can_check_health=False,
        can_hedge=False,
        sends_retry_after=False,
        max_retry_after=0,
        has_counter=True,
        counter_timeout=500,
        metering_period=0,
        max_request_units=1,
        drain_grace_period=S,
        slow_start_period=10 * S,
        slow_start_initial_capacity=0.2,
        overload_multiple=3.0,
        overload_period=S,
        response_slack=RESPONSE_SLACK,
    )
    return replace(base, **changes)


def endpoint(
    endpoint_id: int,
    state: EndpointState = EndpointState.LIVE,
    started_at: int = 0,
    zone: int = 0,
) -> Endpoint:
    return Endpoint(
        endpoint_id=endpoint_id,
        state=state,
        zone=zone,
        kind=0,
        cell=endpoint_id % 2,
        capacity_hint=1.0,
        started_at=started_at,
    )


def arrival(
    request_id: int,
    now: int,
    frontend: int = 0,
    plan: int = 2,
    tenant: int = 0,
    limiter_set_size: int = 3,
) -> RequestArrived:
    """Returns the arrival of a request of one unit, at `now` in ticks."""
    deadline = now + FRONTENDS[frontend].client_timeout
    return RequestArrived(
        request_id=request_id,
        frontend=frontend,
        plan=plan,
        tenant=tenant,
        tenant_digest=1000 + tenant,
        deadline=deadline,
        units=1.0,
        limiter_set_size=limiter_set_size,
        is_retry=False,
    )


def single_engine(now: int = 0, servers: int = 3, **changes: object) -> DecisionEngine:
    """Returns the engine of one limiter, which knows servers that are past slow start."""
    engine = DecisionEngine(settings(**changes), 7, now)
    engine.handle(now, EndpointsUpdated(tuple(endpoint(n) for n in range(servers)), True))
    return engine


def actions_of_type(actions: Sequence[Action], action_type: type[ActionType]) -> list[ActionType]:
    return [action for action in actions if isinstance(action, action_type)]


class EngineHarness:
    """The engines of several limiters on a simulated clock, with checks of five rules.

    1. A request gets exactly one final answer, at its deadline plus the response slack at the
       latest.
    2. A request that may have been executed is sent again, or rejected so that the client may
       retry, only if a second execution is harmless or prevented by deduplication.
    3. A server gets no attempts once it has been listed as not live for the drain grace period.
    4. A server in slow start gets no more load than its reduced capacity bears.
    5. A tenant stays within its plan's rate limit.

    Attributes:
        now: The simulated time, in ticks.
        endpoints: The servers by endpoint id.
        engines: The engines by limiter index.
        counter_totals: Totals of the shared counter by counter name.
        counter_calls: Unanswered calls to the counter: limiter index and action.
        timers: Due time in ticks, limiter index and tag.
        open_requests: Requests without a final answer: limiter index, event and attempts; an
            attempt has the server, the time it was sent and its outcome, None while pending.
        attempts: Pending attempts by request id and attempt number: limiter index, server, time
            sent and expiry.
        draining_since: For each limiter, when each server was first listed as not live.
        rate_limit_buckets: For each tenant, the tokens left of its rate limit and the time of that
            reading.
        sends: Time and server of each attempt.
        stalled_limiter: Index of the limiter that gets no timer events, None for none.
    """

    def __init__(self, servers: int, limiter_count: int = 3, **changes: object) -> None:
        self.now = 1000 * S
        self.changes = {"limiter_count": limiter_count, **changes}
        self.endpoints = {n: endpoint(n, zone=n % 2) for n in range(servers)}
        self.engines: list[DecisionEngine | None] = [None] * limiter_count
        self.counter_totals: dict[int, float] = {}
        self.counter_calls: list[tuple[int, IncrementCounter]] = []
        self.timers: list[tuple[int, int, int]] = []
        self.open_requests: dict[int, tuple[int, RequestArrived, list]] = {}
        self.attempts: dict[tuple[int, int], tuple[int, int, int, int]] = {}
        self.answered: set[int] = set()
        self.draining_since: list[dict[int, int]] = [{} for _ in range(limiter_count)]
        self.rate_limit_buckets: dict[int, tuple[float, int]] = {}
        self.sends: list[tuple[int, int]] = []
        self.stalled_limiter: int | None = None
        for n in range(limiter_count):
            self.start(n)

    def start(self, limiter_index: int) -> None:
        self.engines[limiter_index] = DecisionEngine(
            settings(limiter_index, **self.changes), limiter_index, self.now
        )
        self.draining_since[limiter_index] = {}
        self.update_endpoints(limiter_index)

    def update_endpoints(self, limiter_index: int) -> None:
        """Sends a limiter the complete list of servers."""
        for endpoint in self.endpoints.values():
            if endpoint.state is not EndpointState.LIVE:
                self.draining_since[limiter_index].setdefault(endpoint.endpoint_id, self.now)
            else:
                self.draining_since[limiter_index].pop(endpoint.endpoint_id, None)
        self.handle_event(limiter_index, EndpointsUpdated(tuple(self.endpoints.values()), True))

    def kill(self, limiter_index: int) -> None:
        """Drops the counter calls, timers, requests and attempts of a limiter that is killed."""
        self.counter_calls = [call for call in self.counter_calls if call[0] != limiter_index]
        self.timers = [timer for timer in self.timers if timer[1] != limiter_index]
        self.open_requests = {
            request_id: record
            for request_id, record in self.open_requests.items()
            if record[0] != limiter_index
        }
        self.attempts = {
            key: record for key, record in self.attempts.items() if record[0] != limiter_index
        }

    def handle_event(self, limiter_index: int, event: Event) -> None:
        """Passes an event to a limiter, and checks and records its actions."""
        for action in self.engines[limiter_index].handle(self.now, event):
            self.check_action(limiter_index, action)

    def close_request(self, request_id: int) -> None:
        """Records the final answer of a request; rule 1: there is only one."""
        assert request_id in self.open_requests, f"{request_id} answered twice"
        del self.open_requests[request_id]

    def check_action(self, limiter_index: int, action: Action) -> None:
        """Checks an action of a limiter against the rules, and records it."""
        match action:
            case SendAttempt(request_id, server, expires_at):
                self.check_attempt(limiter_index, request_id, server)
                attempts = self.open_requests[request_id][2]
                self.attempts[request_id, len(attempts)] = (
                    limiter_index,
                    server,
                    self.now,
                    min(expires_at, self.open_requests[request_id][1].deadline),
                )
                attempts.append([server, self.now, None])
                self.sends.append((self.now, server))
            case Reject(request_id) | Abort(request_id):
                _, event, attempts = self.open_requests[request_id]
                frontend = FRONTENDS[event.frontend]
                may_have_run = any(attempt[2] not in NOT_RUN for attempt in attempts)
                # rule 2: a rejection tells the client that it may retry
                if isinstance(action, Reject) and may_have_run:
                    is_deduplicated = (
                        frontend.effect is Effect.DEDUPLICATED
                        and frontend.deduplication_scope is DeduplicationScope.ALL
                    )
                    assert frontend.effect is Effect.IDEMPOTENT or is_deduplicated
                self.close_request(request_id)
            case SetTimer(delay, tag):
                assert delay > 0
                self.timers.append((self.now + delay, limiter_index, tag))
            case IncrementCounter():
                self.counter_calls.append((limiter_index, action))

    def check_attempt(self, limiter_index: int, request_id: int, server: int) -> None:
        """Checks a new attempt against rules 1, 2, 3 and 5."""
        assert request_id in self.open_requests, f"{request_id} sent after its final answer"
        _, event, earlier = self.open_requests[request_id]
        assert self.now < event.deadline
        draining_since = self.draining_since[limiter_index].get(server)
        # rule 3
        assert draining_since is None or self.now <= draining_since + S, "sent to a draining server"
        frontend = FRONTENDS[event.frontend]
        for earlier_server, sent_at, outcome in earlier:  # rule 2
            assert outcome is not None, "two attempts are pending"
            if outcome in NOT_RUN or frontend.effect is Effect.IDEMPOTENT:
                continue
            assert frontend.effect is Effect.DEDUPLICATED, "a non-idempotent request was sent twice"
            assert self.now < sent_at + frontend.deduplication_window
            assert (
                frontend.deduplication_scope is DeduplicationScope.ALL
                or self.endpoints[earlier_server].zone == self.endpoints[server].zone
            )
        plan = PLANS[event.plan]
        if not earlier and plan.rate_limit:  # rule 5
            tokens, read_at = self.rate_limit_buckets.get(
                event.tenant, (plan.rate_limit_burst, self.now)
            )
            tokens = (
                min(plan.rate_limit_burst, tokens + plan.rate_limit * (self.now - read_at) / S)
                - event.units
            )
            assert tokens >= -plan.rate_limit_slack, "the rate limit was exceeded"
            self.rate_limit_buckets[event.tenant] = tokens, self.now

    def end_attempt(self, key: tuple[int, int], outcome: Outcome) -> None:
        """Ends the attempt with this request id and attempt number, and tells its limiter."""
        limiter_index, server, sent_at, _ = self.attempts.pop(key)
        request_id, attempt_number = key
        is_final = outcome is Outcome.SUCCEEDED or request_id not in self.open_requests
        if request_id in self.open_requests:
            self.open_requests[request_id][2][attempt_number][2] = outcome
            if outcome is Outcome.SUCCEEDED:
                self.close_request(request_id)
        self.handle_event(
            limiter_index,
            AttemptEnded(
                request_id, attempt_number, server, outcome, self.now - sent_at, is_final, 0, 0.0
            ),
        )

    def advance_clock(self, duration: int) -> None:
        """Advances the clock, fires due timers, expires attempts and checks client deadlines."""
        end = self.now + duration
        while True:
            due_times = [timer[0] for timer in self.timers if timer[1] != self.stalled_limiter] + [
                attempt[3] for attempt in self.attempts.values()
            ]
            next_due = min(due_times, default=end + 1)
            if next_due > end:
                break
            self.now = max(self.now, next_due)
            for due in [
                timer
                for timer in self.timers
                if timer[0] <= self.now and timer[1] != self.stalled_limiter
            ]:
                self.timers.remove(due)
                self.handle_event(due[1], TimerFired(due[2]))
            for key in [key for key, attempt in self.attempts.items() if attempt[3] <= self.now]:
                self.end_attempt(key, Outcome.NO_RESPONSE)
        self.now = end
        for request_id, (_, event, _) in self.open_requests.items():
            # rule 1
            assert self.now <= event.deadline + RESPONSE_SLACK, (
                f"{request_id} got no final answer in time"
            )
        for server, endpoint in self.endpoints.items():
            if endpoint.started_at and self.now - endpoint.started_at < 10 * S:
                self.check_slow_start(server, endpoint.started_at)

    def check_slow_start(self, server: int, started_at: int) -> None:
        """Checks rule 4: the load on a server in slow start.

        The limit is the server's share of what the busiest warm server got, over one second, and
        one request for each limiter.
        """
        peers = [
            endpoint_id
            for endpoint_id in self.endpoints
            if not self.endpoints[endpoint_id].started_at
        ]
        peer_requests = max(
            (
                sum(
                    1
                    for sent_at, recipient in self.sends
                    if recipient == peer and sent_at > self.now - 4 * S
                )
                for peer in peers
            ),
            default=0,
        )
        recent_requests = sum(
            1
            for sent_at, recipient in self.sends
            if recipient == server and sent_at > max(started_at, self.now - S)
        )
        capacity_share = 0.2 + 0.8 * (self.now - started_at) / (10 * S)
        assert recent_requests <= 3.0 * capacity_share * max(peer_requests, 4) / 2 + len(
            self.engines
        ), "too many requests to a server in slow start"

    def answer_counter_call(self, index: int, outcome: Outcome, is_emptied: bool) -> None:
        """Ends a pending call to the counter, which first loses all its totals if `is_emptied`.

        A call that succeeds or gets no response has been executed.
        """
        limiter_index, call = self.counter_calls.pop(index)
        if is_emptied:
            self.counter_totals.clear()
        if outcome in (Outcome.SUCCEEDED, Outcome.NO_RESPONSE):
            self.counter_totals[call.counter_name] = (
                self.counter_totals.get(call.counter_name, 0.0) + call.amount
            )
        self.handle_event(
            limiter_index,
            CounterReplied(
                call.counter_name, outcome, self.counter_totals.get(call.counter_name, 0.0), 30
            ),
        )


# --- a limiter on loopback sockets, and its stub servers


HOST = own_host()


def free_port() -> int:
    return wire.free_port(HOST)


def member(id_: str, port: int, phase: str = "active") -> dict[str, object]:
    """Returns a server's entry in a limiter's configuration file or in an endpoint list."""
    return {
        "id": id_,
        "host_port": f"{HOST}:{port}",
        "locality": "east",
        "phase": phase,
        "up_since_ms": 0,
    }


def config_file(ports: dict[str, int], members: list[dict], **changes: object) -> dict:
    """Returns the content of a limiter's configuration file; `changes` replace top-level keys."""
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


class StubServer:
    """An HTTP server on loopback whose answers come from `respond(n, head, body)`.

    n counts the requests from 0; None closes the connection without an answer.
    """

    def __init__(self, respond: Callable) -> None:
        self.respond, self.heads, self.bodies, self.connections = respond, [], [], 0
        self.open: set[asyncio.StreamWriter] = set()

    async def start(self) -> int:
        self.server = await asyncio.start_server(self.serve_connection, HOST, 0)
        return self.server.sockets[0].getsockname()[1]

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self.open.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head, body = await read_message(reader)
                n = len(self.heads)
                self.heads.append(head)
                self.bodies.append(body)
                response = self.respond(n, head, body)
                response = await response if asyncio.iscoroutine(response) else response
                if response is None:
                    break
                writer.write(response)
                await writer.drain()
        self.open.discard(writer)
        writer.close()

    def abort_connections(self) -> None:
        for writer in list(self.open):
            writer.transport.abort()

    def stop(self) -> None:
        self.server.close()
        self.abort_connections()


def request(
    front: str = "look", id_: str = "r1", timeout: int = 1000, body: bytes = b"", extra: str = ""
) -> bytes:
    """Returns the bytes of a request to a limiter.

    Args:
        front: Name of the request class, which is also the path.
        id_: The request id.
        timeout: How long the client waits, in ms.
        body: The body; a request with a body is a POST.
        extra: Further header lines, each with its line end.
    """
    method = "POST" if body or front == "book" else "GET"
    return (
        f"{method} /{front}?account=00000000b4d65521 HTTP/1.1\r\nHost: "
        f"backend.local\r\nRequest-Id: {id_}\r\n"
        f"Request-Class: {front}\r\nX-Tier: basic\r\nRequest-Timeout-Ms: {timeout}\r\n"
        f"X-Call-Terms: units=1,spread=1,first=0\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class HttpClient:
    """An HTTP client with one connection to the limiter."""

    def __init__(self, port: int) -> None:
        self.port = port

    async def __aenter__(self) -> HttpClient:
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.writer.close()

    async def send_request(self, raw: bytes) -> tuple[int, bytes, bytes]:
        self.writer.write(raw)
        return await self.read_response()

    async def read_response(self) -> tuple[int, bytes, bytes]:
        """Status, head and body of the next response."""
        async with asyncio.timeout(4):
            head = await self.reader.readuntil(b"\r\n\r\n")
        length = int(re.search(rb"Content-Length: (\d+)", head)[1])
        return int(head[9:12]), head, await self.reader.readexactly(length)

    async def is_closed(self) -> bool:
        """Whether the limiter closes the connection, without a reset and sending no more data.

        Raises:
            TimeoutError: The connection is still open after 4 s.
        """
        async with asyncio.timeout(4):
            return await self.reader.read(1) == b""


class LimiterHarness:
    """A limiter with a stub counter, a stub discovery and a stub server for each of `servers`."""

    def __init__(
        self,
        *servers: Callable,
        counter: Callable | None = None,
        arrival_clock: object = None,
        **changes: object,
    ):
        self.arrival_clock = arrival_clock
        self.servers = [StubServer(respond) for respond in servers]
        self.counter = StubServer(counter or (lambda n, head, body: http_response(200, b"1")))
        self.discovery = StubServer(lambda n, head, body: WATCH_RESPONSE_HEAD)
        self.changes = changes

    async def __aenter__(self) -> LimiterHarness:
        ports = {"listen": free_port(), "counter": await self.counter.start()}
        ports["discovery"] = await self.discovery.start()
        self.members = [
            member(f"s{n}", await server.start()) for n, server in enumerate(self.servers)
        ]
        raw = json.dumps(config_file(ports, self.members, **self.changes)).encode()
        # the loop of these tests has an ArrivalClockSelector
        arrival_clock = self.arrival_clock or asyncio.get_running_loop()._selector
        self.limiter = Limiter(parse_limiter_config(raw, {}), arrival_clock)
        self.port = ports["listen"]
        self.task = asyncio.create_task(self.limiter.run())
        while not self.limiter.listener.server:
            assert not self.task.done(), self.task.exception()
            await asyncio.sleep(0.005)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.limiter.listener.close()
        self.limiter.watch.stop()
        for client in list(self.limiter.listener.clients):
            client.channel.drop(Ending.STOPPING)
        for server in (*self.servers, self.counter, self.discovery):
            server.stop()
        self.limiter.stopped.set()
        await self.task

    def send_watch_line(self, **fields: object) -> None:
        """Sends an endpoint list with these fields to the limiter, as a line of the watch."""
        for writer in self.discovery.open:
            writer.write(watch_chunk(fields))


async def wait_until(condition: Callable[[], object]) -> None:
    """Waits until a condition holds; checks it every 5 ms, and fails after 600 checks."""
    for _ in range(600):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("the condition did not become true")
