"""The pure parts of peers at sizes that processes don't reach: list calls, time to a list,
messages.

All limiters start within a second, each given eight others' addresses; discovery bears ten calls a
second and refuses others, after which a limiter asks again as its rank says. Datagrams take 0.2 to
2 ms, one in 100 is lost. By hand, never in CI:

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

BEARS, LOSS, GIVEN, SERVERS = 10.0, 0.01, 8, 300


class Fleet:
    """So many limiters in simulated time; messages go as objects, which nobody changes after."""

    def __init__(self, n: int, seed: int) -> None:
        self.rng, self.n, self.now = Random(seed), n, 0.0
        self.heap: list[tuple[float, int, int, object]] = []
        self.order = self.sent = 0
        self.machines: list[Membership | None] = [None] * n
        self.lists: list[EndpointLists | None] = [None] * n
        self.held: list[bool] = [False] * n
        self.ready: list[float] = [-1.0] * n
        self.started = [self.rng.random() for _ in range(n)]
        self.calls: list[tuple[float, bool]] = []
        self.left, self.left_at = BEARS, 0.0
        member = [BackendRecord(id=f"s{k}", address="127.0.0.1:1") for k in range(SERVERS)]
        self.list = BackendList(revision=5, complete=True, backends=member)
        for i in range(n):
            self.push(self.started[i], i, None)

    def push(self, at: float, i: int, what: object) -> None:
        self.order += 1
        heapq.heappush(self.heap, (at, self.order, i, what))

    def begin(self, i: int) -> None:
        given = [str(self.rng.randrange(self.n)) for _ in range(GIVEN)]
        self.machines[i] = Membership(i, str(i), 1, given, self.rng.getrandbits(32), self.now)
        self.lists[i] = EndpointLists(i, self.now, self.n)

    def discovery(self, i: int) -> None:
        """A call for the list: answered at once, or turned away."""
        self.left = min(BEARS, self.left + BEARS * (self.now - self.left_at))
        self.left_at = self.now
        room = self.left >= 1
        self.left -= room
        self.calls.append((self.now, room))
        self.held[i] = room
        if room:
            self.lists[i].from_discovery(self.now, self.list)
            self.got(i)

    def got(self, i: int) -> None:
        if self.ready[i] < 0:
            self.ready[i] = self.now - self.started[i]

    def tick(self, i: int) -> None:
        m, lists, now = self.machines[i], self.lists[i], self.now
        m.revision, m.age = lists.revision, lists.age(now)
        m.tick(now)
        if not lists.revision or now - lists.started_at < 1.0:
            here = [p.address for p in m.peers.values() if p.address] or m.configured_addresses
            for whom in self.rng.sample(here, min(2, len(here))):
                m.send(whom, Want(*m.header()))
        on = lists.should_watch(now, m.alive())
        if on and not self.held[i]:
            self.discovery(i)
        elif not on:
            self.held[i] = False
        if self.held[i]:
            lists.confirmed_at = now  # its beats
        self.flush(i)
        self.push(now + 2 * TICK_SECONDS, i, None)

    def flush(self, i: int) -> None:
        m = self.machines[i]
        out, m.outbox = m.outbox, []
        for whom, message in out:
            at = whom if isinstance(whom, str) else m.peers[whom].address if whom in m.peers else ""
            if at:
                self.sent += 1
                if self.rng.random() >= LOSS:
                    self.push(self.now + self.rng.uniform(0.0002, 0.002), int(at), message)

    def came(self, i: int, message: object) -> None:
        m, lists = self.machines[i], self.lists[i]
        if m is None or message.id == i:
            return
        m.revision, m.age = lists.revision, lists.age(self.now)
        m.receive(self.now, message, str(message.id))
        lists.observe_age(self.now, message.age)
        match message:
            case Part():
                if lists.from_peer(self.now, message) is not None:
                    self.got(i)
            case Want() if message.revision < lists.revision:
                for part in lists.whole_list():
                    part.incarnation, part.age = m.incarnation, lists.age(self.now)
                    m.send(message.id, part)
        if lists.should_request(self.now, message.revision):
            m.send(message.id, Want(*m.header()))
        self.flush(i)

    def play(self, until: float) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, i, what = heapq.heappop(self.heap)
            if what is not None:
                self.came(i, what)
            else:
                if self.machines[i] is None:
                    self.begin(i)
                self.tick(i)
        self.now = until


def measure(n: int, seconds: float, seed: int) -> dict:
    began = time.perf_counter()
    fleet = Fleet(n, seed)
    fleet.play(seconds - 5)
    before = fleet.sent
    fleet.play(seconds)
    ready = sorted(fleet.ready)
    return {
        "limiters": n,
        "calls": len(fleet.calls),
        "turned away": sum(not room for _, room in fleet.calls),
        "ready median": round(ready[n // 2], 2),
        "ready last": round(ready[-1], 2) if ready[0] >= 0 else None,
        "messages a second and limiter": round((fleet.sent - before) / 5 / n, 2),
        "in all": round(fleet.sent / n, 1),
        "known of all": round(sum(len(m.alive()) for m in fleet.machines) / n / n, 4),
        "wall s": round(time.perf_counter() - began, 1),
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
