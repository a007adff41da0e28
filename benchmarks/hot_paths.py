"""Times the three hot paths in one process: decisions, calls between programs, proxied requests.

    python -m benchmarks.hot_paths [--repeat N] [--scale SHARE] [--json]

Run by hand, without sockets. Every repeat runs the same fixed script, and the table has the minimum
and the median over the repeats in microseconds: on a busy machine, compare the minimum. To compare
with an older commit, copy this file into a checkout of it, adapt names that have changed, and run
both versions in turn. `--scale 0.1` does a tenth of the work.

    decision   arrival, attempt and success of a request at the decision engine's interface
    frame      encoding one call and one answer as frames, and decoding both
    ask, count, grant
               the registry's handler, called in process, with one frame in each direction
    beat       the store's handler, called in the same way
    request    a request through the proxy on simulated streams: client, proxy, server and back;
               it includes the simulation's work, so a change shows less than in the others
"""

from __future__ import annotations

import json
import logging
from collections.abc import Awaitable, Callable
from statistics import median
from time import perf_counter
from typing import Any

import click

from loomstand.admission.actions import IncrementCounter, SendAttempt, SetTimer
from loomstand.admission.decision_engine import DecisionEngine
from loomstand.admission.endpoints import Endpoint, EndpointState
from loomstand.admission.events import (
    AttemptEnded,
    CounterReplied,
    EndpointsUpdated,
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
from loomstand.rpc.frames import AnswerFrame, CallFrame, FrameDecoder, encode_frame
from loomstand.testing.simulation.cluster import Cluster

S = TICKS_PER_SECOND
Serve = Callable[[str, dict[str, Any]], Awaitable[dict[str, Any]]]


def settings() -> EngineSettings:
    """Returns settings of one of three limiters, with a frontend for each effect and two plans.

    The first plan has no quota, the second one has.
    """
    frontends = tuple(
        Frontend(effect, DeduplicationScope.ALL, 2 * S, S, 4 * S, 1.0, 0.0, False)
        for effect in Effect
    )
    plans = (
        QuotaPlan(0.0, 0.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0),
        QuotaPlan(1e6, 1e6, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0),
    )
    return EngineSettings(
        limiter_index=0,
        limiter_count=3,
        zone=0,
        frontends=frontends,
        plans=plans,
        attempt_limit=3,
        can_cancel_attempts=False,
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
        response_slack=80,
    )


def decisions(requests: int) -> float:
    """Returns the seconds per request; timers fire when due, counter calls are answered at once."""
    engine, now = DecisionEngine(settings(), 7, 1000 * S), 1000 * S
    endpoints = tuple(Endpoint(n, EndpointState.LIVE, 0, 0, 0, 1.0, 0) for n in range(12))
    engine.handle(now, EndpointsUpdated(endpoints, True))
    timers: list[tuple[int, int]] = []
    sent = 0
    started_at = perf_counter()
    for request_id in range(1, requests + 1):
        now += 10
        if timers and timers[0][0] <= now:
            engine.handle(now, TimerFired(timers.pop(0)[1]))
        plan, tenant = request_id & 1, request_id % 50
        arrival = RequestArrived(
            request_id,
            request_id % 3,
            plan,
            2 * tenant + plan,
            1000 + tenant,
            now + 4 * S,
            1.0,
            0,
            False,
        )
        for action in engine.handle(now, arrival):
            match action:
                case SendAttempt():
                    sent += 1
                    ended = AttemptEnded(
                        request_id, 0, action.endpoint_id, Outcome.SUCCEEDED, 5, True, 0, 0.0
                    )
                    engine.handle(now + 5, ended)
                case SetTimer():
                    timers.append((now + action.delay, action.tag))
                    timers.sort()
                case IncrementCounter():
                    reply = CounterReplied(
                        action.counter_name, Outcome.SUCCEEDED, action.amount, 20
                    )
                    engine.handle(now + 5, reply)
    took = perf_counter() - started_at
    assert sent > 0.9 * requests, f"only {sent} of {requests} requests were sent"
    return took / requests


def frames(calls: int) -> float:
    """Returns the seconds per call for encoding and decoding its two frames."""
    body = {"name": "n-1", "s": 1 << 20, "h": 1234, "f": 17, "c": 3, "q": 9, "clock": 1.8e13}
    answer_body = {"h": 1235, "rows": [["i-1", "10.0.0.1:80", "alpha", "east", 8, "ready", 9, 0]]}
    server_decoder, client_decoder = FrameDecoder(), FrameDecoder()
    started_at = perf_counter()
    for number in range(calls):
        (call,) = server_decoder.feed(encode_frame(CallFrame(number, "ask", body)))
        (answer,) = client_decoder.feed(encode_frame(AnswerFrame(call.number, True, answer_body)))
    took = perf_counter() - started_at
    assert answer == AnswerFrame(calls - 1, True, answer_body)
    return took / calls


async def calls(serve: Serve, op: str, bodies: list[dict[str, Any]]) -> float:
    """Returns the seconds per call of the handler, with its frames."""
    server_decoder, client_decoder = FrameDecoder(), FrameDecoder()
    started_at = perf_counter()
    for number, body in enumerate(bodies):
        (call,) = server_decoder.feed(encode_frame(CallFrame(number, op, body)))
        answer_body = await serve(call.operation, call.body)
        (answer,) = client_decoder.feed(encode_frame(AnswerFrame(number, True, answer_body)))
    took = perf_counter() - started_at
    assert answer.number == len(bodies) - 1
    return took / len(bodies)


def start_cluster() -> Cluster:
    """Returns a small running cluster, with two tenants that have quotas."""
    made = Cluster(1, proxies=1, servers=4)
    made.use_default_configuration()
    made.tenant("greedy", "key-of-greedy", 1000, 1000)
    made.tenant("modest", "key-of-modest", 1000, 1000)
    made.run(made.start())
    made.wait(3.0)
    return made


def calls_between_programs(count: int) -> dict[str, float]:
    """Returns the seconds per call by operation, at the counting registry and at a store."""
    made = start_cluster()
    try:
        registry = made.registry(made.counting_host())
        first_ask = {"name": "bench", "h": -1, "f": -1, "c": 0}
        session = made.run(registry.requests.serve("ask", first_ask))
        # each call states an outdated revision, so it is answered at once
        ask = {
            "s": session["s"],
            "h": session["h"] - 1,
            "f": session["f"],
            "c": registry.state.configuration.version,
            "q": 0,
        }
        names = [*registry.counting.grants.buckets]
        bodies: dict[str, list[dict[str, Any]]] = {
            "ask": [dict(ask) for _ in range(count)],
            "count": [{"name": 7 + n % 40, "step": 1.0, "keep": 5.0} for n in range(count)],
            "grant": [
                {
                    "name": "bench",
                    "life": 1,
                    "number": registry.counting.grants.term,
                    "alone": False,
                }
                | {"entries": [[name, 1.0, 1.0, 2.0, 1] for name in names]}
                for _ in range(count)
            ],
        }
        took = {
            op: made.run(calls(registry.requests.serve, op, of_op)) for op, of_op in bodies.items()
        }
        one, other = [host.programs[0] for host in made.stores.values()][:2]
        beat = other.replica.heartbeat(one.settings.address).to_wire()
        took["beat"] = made.run(calls(one.serve, "beat", [dict(beat) for _ in range(count)]))
    finally:
        made.loop.close()
    return took


def requests(count: int) -> float:
    """Returns the seconds per request, in sequence on a kept connection, in an idle cluster."""
    made = start_cluster()
    try:

        async def work() -> tuple[float, int]:
            started_at, succeeded = perf_counter(), 0
            for _ in range(count):
                succeeded += (await made.get(tries=1)).status == 200
            return perf_counter() - started_at, succeeded

        took, succeeded = made.run(work())
        assert succeeded > 0.99 * count, f"only {succeeded} of {count} succeeded"
    finally:
        made.loop.close()
    return took / count


def measure_once(scale: float) -> dict[str, float]:
    """Returns the time of each path, in microseconds."""
    took = {"decision": decisions(int(30_000 * scale)), "frame": frames(int(20_000 * scale))}
    took |= calls_between_programs(int(10_000 * scale))
    took["request"] = requests(int(4_000 * scale))
    return {path: 1e6 * seconds for path, seconds in took.items()}


@click.command()
@click.option("--repeat", default=5, show_default=True, help="Number of measurements.")
@click.option("--scale", default=1.0, show_default=True, help="Share of the usual work.")
@click.option("--json", "as_json", is_flag=True, help="JSON instead of a table.")
def main(repeat: int, scale: float, as_json: bool) -> None:
    logging.disable(logging.CRITICAL)
    runs = [measure_once(scale) for _ in range(repeat)]
    times = {path: [run[path] for run in runs] for path in runs[0]}
    if as_json:
        rows = {
            path: {"min_us": round(min(took), 3), "median_us": round(median(took), 3)}
            for path, took in times.items()
        }
        print(json.dumps({"repeat": repeat, "scale": scale, "paths": rows}))
        return
    print(f"{'path':10} {'min us':>10} {'median us':>10}")
    for path, took in times.items():
        print(f"{path:10} {min(took):10.2f} {median(took):10.2f}")


if __name__ == "__main__":
    main()
