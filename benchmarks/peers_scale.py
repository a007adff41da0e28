"""Limiter membership at sizes that processes don't reach: discovery calls, readiness, datagrams.

All limiters start within a second, each with the addresses of eight others. Discovery answers ten
calls per second and refuses the rest; a refused limiter retries according to its rank. Datagrams
take 0.2 to 2 ms, and one in 100 is lost. Run by hand, never in CI:

    python -m benchmarks.peers_scale 200 1000 5000 --plot docs/peers-scale.png
"""

from __future__ import annotations

import argparse
import heapq
import time
from random import Random

from loomstand.config.limiter import BackendList, BackendRecord
from loomstand.membership.driver import TICK_SECONDS
from loomstand.membership.endpoint_lists import EndpointLists
from loomstand.membership.members import Membership
from loomstand.membership.messages import Part, Want

DISCOVERY_CALLS_PER_SECOND, LOSS_SHARE, CONFIGURED_PEERS, SERVERS = 10.0, 0.01, 8, 300


class Fleet:
    """A number of limiters in simulated time; messages are passed as objects and not modified."""

    def __init__(self, n: int, seed: int) -> None:
        self.rng, self.n, self.now = Random(seed), n, 0.0
        self.heap: list[tuple[float, int, int, object]] = []
        self.order = self.sent = 0
        self.machines: list[Membership | None] = [None] * n
        self.lists: list[EndpointLists | None] = [None] * n
        self.watching: list[bool] = [False] * n
        self.ready: list[float] = [-1.0] * n
        self.started = [self.rng.random() for _ in range(n)]
        self.calls: list[tuple[float, bool]] = []
        self.tokens, self.tokens_at = DISCOVERY_CALLS_PER_SECOND, 0.0
        backends = [BackendRecord(id=f"s{k}", address="127.0.0.1:1") for k in range(SERVERS)]
        self.list = BackendList(revision=5, complete=True, backends=backends)
        for i in range(n):
            self.push(self.started[i], i, None)

    def push(self, at: float, i: int, message: object) -> None:
        self.order += 1
        heapq.heappush(self.heap, (at, self.order, i, message))

    def start(self, i: int) -> None:
        peers = [str(self.rng.randrange(self.n)) for _ in range(CONFIGURED_PEERS)]
        self.machines[i] = Membership(i, str(i), 1, peers, self.rng.getrandbits(32), self.now)
        self.lists[i] = EndpointLists(i, self.now, self.n)

    def call_discovery(self, i: int) -> None:
        """Calls discovery for the list, which answers at once or refuses the call."""
        self.tokens = min(
            DISCOVERY_CALLS_PER_SECOND,
            self.tokens + DISCOVERY_CALLS_PER_SECOND * (self.now - self.tokens_at),
        )
        self.tokens_at = self.now
        is_answered = self.tokens >= 1
        self.tokens -= is_answered
        self.calls.append((self.now, is_answered))
        self.watching[i] = is_answered
        if is_answered:
            self.lists[i].from_discovery(self.now, self.list)
            self.record_list(i)

    def record_list(self, i: int) -> None:
        """Records when a limiter got its first list."""
        if self.ready[i] < 0:
            self.ready[i] = self.now - self.started[i]

    def tick(self, i: int) -> None:
        m, lists, now = self.machines[i], self.lists[i], self.now
        m.revision, m.age = lists.revision, lists.age(now)
        m.tick(now)
        if not lists.revision or now - lists.started_at < 1.0:
            addresses = [p.address for p in m.peers.values() if p.address] or m.configured_addresses
            for address in self.rng.sample(addresses, min(2, len(addresses))):
                m.send(address, Want(*m.header()))
        should_watch = lists.should_watch(now, m.alive())
        if should_watch and not self.watching[i]:
            self.call_discovery(i)
        elif not should_watch:
            self.watching[i] = False
        if self.watching[i]:
            lists.confirmed_at = now  # the heartbeats of the watch
        self.flush(i)
        self.push(now + 2 * TICK_SECONDS, i, None)

    def flush(self, i: int) -> None:
        m = self.machines[i]
        outbox, m.outbox = m.outbox, []
        for to, message in outbox:
            address = to if isinstance(to, str) else m.peers[to].address if to in m.peers else ""
            if address:
                self.sent += 1
                if self.rng.random() >= LOSS_SHARE:
                    self.push(self.now + self.rng.uniform(0.0002, 0.002), int(address), message)

    def receive(self, i: int, message: object) -> None:
        m, lists = self.machines[i], self.lists[i]
        if m is None or message.id == i:
            return
        m.revision, m.age = lists.revision, lists.age(self.now)
        m.receive(self.now, message, str(message.id))
        lists.observe_age(self.now, message.age)
        match message:
            case Part():
                if lists.from_peer(self.now, message) is not None:
                    self.record_list(i)
            case Want() if message.revision < lists.revision:
                for part in lists.whole_list():
                    part.incarnation, part.age = m.incarnation, lists.age(self.now)
                    m.send(message.id, part)
        if lists.should_request(self.now, message.revision):
            m.send(message.id, Want(*m.header()))
        self.flush(i)

    def run(self, until: float) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, i, message = heapq.heappop(self.heap)
            if message is not None:
                self.receive(i, message)
            else:
                if self.machines[i] is None:
                    self.start(i)
                self.tick(i)
        self.now = until


def measure(n: int, seconds: float, seed: int) -> dict:
    started_at = time.perf_counter()
    fleet = Fleet(n, seed)
    fleet.run(seconds - 5)
    sent_before = fleet.sent
    fleet.run(seconds)
    ready = sorted(fleet.ready)
    return {
        "limiters": n,
        "calls": len(fleet.calls),
        "turned away": sum(not is_answered for _, is_answered in fleet.calls),
        "ready median": round(ready[n // 2], 2),
        "ready last": round(ready[-1], 2) if ready[0] >= 0 else None,
        "messages a second and limiter": round((fleet.sent - sent_before) / 5 / n, 2),
        "in all": round(fleet.sent / n, 1),
        "known of all": round(sum(len(m.alive()) for m in fleet.machines) / n / n, 4),
        "wall s": round(time.perf_counter() - started_at, 1),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("sizes", type=int, nargs="+")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--plot")
    args = parser.parse_args()
    rows = []
    for n in args.sizes:
        rows.append(measure(n, args.seconds, args.seed))
        print(rows[-1], flush=True)
    if args.plot:
        import matplotlib

        matplotlib.use("Agg")
        from matplotlib import pyplot as plt

        fig, ax = plt.subplots(figsize=(7, 3.5))
        for key in ("calls", "ready last", "messages a second and limiter"):
            ax.plot(args.sizes, [r[key] for r in rows], marker="o", label=key)
        ax.set_xscale("log")
        ax.set_xlabel("limiters")
        ax.legend(fontsize=8)
        fig.tight_layout()
        fig.savefig(args.plot, dpi=80)


if __name__ == "__main__":
    main()
