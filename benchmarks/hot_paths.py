"""Times the three hot paths in one process: decisions, calls between programs, proxied requests.

    python -m benchmarks.hot_paths [--repeat N] [--scale SHARE] [--json]

Run by hand, without sockets. Every repeat does the same fixed script anew, and the table gives the
minimum and the median over the repeats in microseconds: the minimum is what to compare on a busy
machine. To compare with the code before a change, copy this file into a checkout of the older
commit and run it there, in turn with the newer one; where names were changed in between, only the
names of the program's own parts are adapted in the copy. `--scale 0.1` does a tenth of the work.

    decision   arrival, send and success of a request at the module's own interface
    frame      packing one call and one answer as frames, and reading both back
    ask, count, grant
               the registry's handler, called in process, with one frame each way around it
    beat       the store's handler, likewise
    request    a request through the proxy on simulated streams: client, proxy, server and back,
               with the simulation's own work, so it shows less of a change than the others
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
    """One limiter of three, a frontend of each effect, and a plan with and one without a quota."""
    fronts = tuple(
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
        frontends=fronts,
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
    """Seconds a request, over so many; all timers are kept, and each count is answered at once."""
    brain, now = DecisionEngine(settings(), 7, 1000 * S), 1000 * S
    entries = tuple(Endpoint(n, EndpointState.LIVE, 0, 0, 0, 1.0, 0) for n in range(12))
    brain.handle(now, EndpointsUpdated(entries, True))
    timers: list[tuple[int, int]] = []
    sent = 0
    begun = perf_counter()
    for req in range(1, requests + 1):
        now += 10
        if timers and timers[0][0] <= now:
            brain.handle(now, TimerFired(timers.pop(0)[1]))
        plan, customer = req & 1, req % 50
        note = RequestArrived(
            req, req % 3, plan, 2 * customer + plan, 1000 + customer, now + 4 * S, 1.0, 0, False
        )
        for act in brain.handle(now, note):
            match act:
                case SendAttempt():
                    sent += 1
                    done = AttemptEnded(req, 0, act.endpoint_id, Outcome.SUCCEEDED, 5, True, 0, 0.0)
                    brain.handle(now + 5, done)
                case SetTimer():
                    timers.append((now + act.delay, act.tag))
                    timers.sort()
                case IncrementCounter():
                    got = CounterReplied(act.counter_name, Outcome.SUCCEEDED, act.amount, 20)
                    brain.handle(now + 5, got)
    took = perf_counter() - begun
    assert sent > 0.9 * requests, f"only {sent} of {requests} were sent"
    return took / requests


def frames(calls: int) -> float:
    """Seconds a call: its two frames packed and read."""
    body = {"name": "n-1", "s": 1 << 20, "h": 1234, "f": 17, "c": 3, "q": 9, "clock": 1.8e13}
    said = {"h": 1235, "rows": [["i-1", "10.0.0.1:80", "alpha", "east", 8, "ready", 9, 0]]}
    there, back = FrameDecoder(), FrameDecoder()
    begun = perf_counter()
    for number in range(calls):
        (call,) = there.feed(encode_frame(CallFrame(number, "ask", body)))
        (answer,) = back.feed(encode_frame(AnswerFrame(call.number, True, said)))
    took = perf_counter() - begun
    assert answer == AnswerFrame(calls - 1, True, said)
    return took / calls


async def calls(serve: Serve, op: str, bodies: list[dict[str, Any]]) -> float:
    """Seconds a call of the handler, with its frames."""
    there, back = FrameDecoder(), FrameDecoder()
    begun = perf_counter()
    for number, body in enumerate(bodies):
        (call,) = there.feed(encode_frame(CallFrame(number, op, body)))
        said = await serve(call.operation, call.body)
        (answer,) = back.feed(encode_frame(AnswerFrame(number, True, said)))
    took = perf_counter() - begun
    assert answer.number == len(bodies) - 1
    return took / len(bodies)


def start_cluster() -> Cluster:
    """A small cluster that has begun, with two tenants that have quotas."""
    made = Cluster(1, proxies=1, servers=4)
    made.use_default_configuration()
    made.tenant("greedy", "key-of-greedy", 1000, 1000)
    made.tenant("modest", "key-of-modest", 1000, 1000)
    made.run(made.start())
    made.wait(3.0)
    return made


def between(count: int) -> dict[str, float]:
    """Seconds a call by its name, at the registry that counts and at the primary's store."""
    made = start_cluster()
    try:
        registry = made.registry(made.counting_host())
        begin = {"name": "bench", "h": -1, "f": -1, "c": 0}
        held = made.run(registry.requests.serve("ask", begin))
        # each call has a version behind, so there is news and it is answered at once
        ask = {
            "s": held["s"],
            "h": held["h"] - 1,
            "f": held["f"],
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
            op: made.run(calls(registry.requests.serve, op, said)) for op, said in bodies.items()
        }
        one, other = [host.programs[0] for host in made.stores.values()][:2]
        beat = other.replica.heartbeat(one.settings.address).to_wire()
        took["beat"] = made.run(calls(one.serve, "beat", [dict(beat) for _ in range(count)]))
    finally:
        made.loop.close()
    return took


def requests(count: int) -> float:
    """Seconds a request, one after the other on a kept connection, in a quiet cluster."""
    made = start_cluster()
    try:

        async def work() -> tuple[float, int]:
            begun, good = perf_counter(), 0
            for _ in range(count):
                good += (await made.get(tries=1)).status == 200
            return perf_counter() - begun, good

        took, good = made.run(work())
        assert good > 0.99 * count, f"only {good} of {count} succeeded"
    finally:
        made.loop.close()
    return took / count


def once(scale: float) -> dict[str, float]:
    """All paths once, in microseconds."""
    took = {"decision": decisions(int(30_000 * scale)), "frame": frames(int(20_000 * scale))}
    took |= between(int(10_000 * scale))
    took["request"] = requests(int(4_000 * scale))
    return {path: 1e6 * seconds for path, seconds in took.items()}


@click.command()
@click.option("--repeat", default=5, show_default=True, help="Times that all is measured.")
@click.option("--scale", default=1.0, show_default=True, help="Share of the usual work.")
@click.option("--json", "as_json", is_flag=True, help="JSON in place of a table.")
def main(repeat: int, scale: float, as_json: bool) -> None:
    logging.disable(logging.CRITICAL)
    runs = [once(scale) for _ in range(repeat)]
    found = {path: [run[path] for run in runs] for path in runs[0]}
    if as_json:
        rows = {
            path: {"min_us": round(min(took), 3), "median_us": round(median(took), 3)}
            for path, took in found.items()
        }
        print(json.dumps({"repeat": repeat, "scale": scale, "paths": rows}))
        return
    print(f"{'path':10} {'min us':>10} {'median us':>10}")
    for path, took in found.items():
        print(f"{path:10} {min(took):10.2f} {median(took):10.2f}")


if __name__ == "__main__":
    main()
