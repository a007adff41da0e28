"""Peers: the membership machine and the lists under loss, restarts and lies; and limiters on
processes.
"""

from __future__ import annotations

from heapq import heappop, heappush
from random import Random

import pytest
from hypothesis import given
from hypothesis import settings as bounds
from hypothesis import strategies as st
from rehearsals import EXAMPLES, gone, played

from loomstand.config.limiter import (
    BackendList,
    BackendRecord,
    LimiterConfigError,
    parse_limiter_config,
)
from loomstand.membership import messages
from loomstand.membership.driver import TICK, Peers
from loomstand.membership.endpoint_lists import OLD, STEP, WATCHERS, Lists
from loomstand.membership.members import Members as Membership
from loomstand.membership.members import State
from loomstand.membership.messages import Part, Ping
from loomstand.testing.emulator.scenario import ScenarioError, from_table
from loomstand.testing.rehearsal import checker, scenario
from loomstand.testing.rehearsal.scenario import Rehearsal


class Net:
    """Machines that exchange encoded messages, late, twice, out of order or not at all."""

    def __init__(self, n: int, seed: int, known: int = 1) -> None:
        self.rng, self.now, self.n, self.known = Random(seed), 0.0, n, known
        self.loss = self.twice = 0.0
        self.apart: set[int] = set()  # one side of a partition
        self.machines: dict[int, Membership | None] = {}
        self.flying: list[tuple[float, int, int, bytes]] = []
        self.sent = 0
        for i in range(n):
            self.start(i)

    def at(self, i: int) -> str:
        return f"127.0.0.1:{1000 + i}"

    def start(self, i: int) -> None:
        given_ = [self.at(j) for j in range(self.known)]
        self.machines[i] = Membership(i, self.at(i), int(self.now * 1000) + 1, given_, i, self.now)

    def play(self, seconds: float) -> None:
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            for i, m in self.machines.items():
                if m is not None:
                    m.tick(self.now)
                    self.collect(i, m)
            due = [f for f in self.flying if f[0] <= self.now]
            self.flying = [f for f in self.flying if f[0] > self.now]
            self.rng.shuffle(due)
            for _, i, j, raw in due:
                m = self.machines.get(j)
                if m is not None and (i in self.apart) == (j in self.apart):
                    message = messages.decode(raw)
                    m.took(self.now, message, self.at(i))
                    self.collect(j, m)

    def collect(self, i: int, m: Membership) -> None:
        out, m.out = m.out, []
        for whom, message in out:
            at = whom if isinstance(whom, str) else m.peers[whom].at if whom in m.peers else ""
            if not at:
                continue
            self.sent += 1
            j, raw = int(at.split(":")[1]) - 1000, messages.encode(message)
            for _ in range(1 + (self.rng.random() < self.twice)):
                if self.rng.random() >= self.loss:
                    self.flying.append((self.now + self.rng.random() * 0.05, i, j, raw))

    def views(self) -> list[list[int]]:
        return [m.alive() for m in self.machines.values() if m is not None]


@given(st.integers(0, 1 << 32), st.integers(2, 12), st.floats(0, 0.3))
@bounds(max_examples=15, deadline=None)
def test_no_live_member_is_dead_for_ever_and_views_become_one(seed, n, loss):
    net = Net(n, seed)
    net.loss, net.twice = loss, 0.2
    net.play(10)
    for _ in range(3):
        i = net.rng.randrange(n)
        if net.machines[i] is None:
            net.start(i)
        elif (
            i and net.rng.random() < 0.7
        ):  # the one that all know may be down as well, not for ever
            net.machines[i] = None
        net.play(net.rng.random() * 8)
    net.loss = net.twice = 0.0
    net.play(60)
    live = [i for i, m in net.machines.items() if m is not None]
    assert all(view == live for view in net.views()), net.views()


def test_a_cut_that_heals_is_found_from_either_side():
    net = Net(8, 1, known=2)
    net.play(12)
    net.apart = {0, 2, 4, 6}
    net.play(40)
    assert all(net.machines[i].alive() == [0, 2, 4, 6] for i in net.apart)
    net.apart = set()
    net.play(40)
    assert all(view == list(range(8)) for view in net.views())


def test_messages_a_second_and_limiter_do_not_grow_with_their_number():
    """Stated: a ping and an answer a period; measured here at two sizes, with joins long over."""
    rates = []
    for n in (8, 32):
        net = Net(n, 3)
        net.play(30)
        net.sent = 0
        net.play(20)
        rates.append(net.sent / 20 / n)
    assert all(1.8 <= r <= 2.2 for r in rates), rates


def test_a_goodbye_is_no_death_and_a_restart_another_life():
    net = Net(5, 2)
    net.play(12)
    net.machines[3].leave()
    net.collect(3, net.machines[3])
    net.play(3)
    net.machines[3] = None
    assert net.machines[1].peers[3].state is State.LEFT
    net.start(3)
    net.play(10)
    assert all(view == list(range(5)) for view in net.views())


# lists


def member(id_: str, phase: str = "active") -> BackendRecord:
    return BackendRecord(id=id_, address="127.0.0.1:9", phase=phase)


def listed(revision: int, *ids: str, complete: bool = True) -> BackendList:
    return BackendList(revision=revision, complete=complete, backends=[member(i) for i in ids])


def handed(lists: Lists, to: Lists, now: float) -> list:
    return [told for part in lists.whole() if (told := to.from_peer(now, part)) is not None]


def test_a_list_goes_from_one_to_the_next_and_never_backwards():
    one, two, three = Lists(0, 0.0), Lists(1, 0.0), Lists(2, 0.0)
    one.from_discovery(1.0, listed(5, *(f"s{n}" for n in range(100))))
    old = one.whole()
    assert len(old) == 3
    assert len(handed(one, two, 1.0)) == 1 and len(two.members) == 100 and two.revision == 5
    change = BackendList(revision=6, complete=False, backends=[member("s7", "left")])
    part = one.from_discovery(2.0, change)
    assert two.from_peer(2.0, part) is not None and "s7" not in two.members
    assert [two.from_peer(3.0, p) for p in old] == [None] * 3  # an old list
    assert three.from_peer(3.0, part) is None  # something between is missing
    handed(two, three, 3.0)
    assert "s7" not in three.members and len(three.members) == 99


def test_a_shorter_list_of_a_peer_alone_takes_nobody_out():
    one, two = Lists(0, 0.0), Lists(1, 0.0)
    for lists in (one, two):
        lists.from_discovery(1.0, listed(5, "a", "b", "c"))
    short = Part(0, 0, 9, [], members=[member("a")])
    told = two.from_peer(2.0, short)
    assert not told.complete and set(two.members) == {"a", "b", "c"}
    two.from_discovery(3.0, listed(6, "a"))  # discovery itself is believed, also where it goes back
    assert set(two.members) == {"a"} and two.revision == 6


@pytest.mark.parametrize(
    "n, of, revision", [(3, 3, 9), (-1, 3, 9), (0, 100_000, 9), (0, 1, 0), (0, 1, -5)]
)
def test_what_is_no_list_changes_nothing(n, of, revision):
    lists = Lists(1, 0.0)
    lists.from_discovery(1.0, listed(5, "a"))
    assert lists.from_peer(2.0, Part(0, 0, revision, [], n=n, of=of, members=[member("x")])) is None
    assert set(lists.members) == {"a"} and lists.revision == 5


def test_a_torn_list_is_dropped_in_time():
    one, two = Lists(0, 0.0), Lists(1, 0.0)
    one.from_discovery(1.0, listed(5, *(f"s{n}" for n in range(100))))
    a, b, c = one.whole()
    assert two.from_peer(1.0, a) is two.from_peer(1.1, b) is None
    assert two.from_peer(9.0, c) is None and two.revision == 0
    assert two.from_peer(9.1, a) is None and two.from_peer(9.2, b) is not None


def test_few_ask_discovery_and_the_others_in_turn_when_its_word_is_old():
    every = list(range(50))
    fleet = [Lists(n, 0.0) for n in every]
    assert [n for n in every if fleet[n].watching(0.0, [n])] == list(range(WATCHERS))  # a start
    for lists in fleet:
        lists.known(listed(5, "a"))
        lists.heard(3.0, 0.0)
    assert [n for n in every if fleet[n].watching(8.0, every)] == list(range(WATCHERS))
    assert [n for n in every if fleet[n].watching(8.0, every[2:] if n > 1 else every)] == [
        0,
        1,
        2,
        3,
        4,
    ]
    asking = [sum(lists.watching(3.0 + OLD + t, every) for lists in fleet) for t in (0.0, 1.0, 2.0)]
    assert asking[0] == 3 and asking[1] <= 5 and asking[2] <= 9


def test_a_configuration_with_faulty_peers_names_the_key():
    base = (
        b'{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2",%s'
        b'"settings":{"balancers":1,"me":0,"az":"a","grades":[%s]}}'
    )
    grade = b'{"name":"x","effect":"pure","on_time":1,"deadline":1,"points":1}'
    with pytest.raises(LimiterConfigError, match=r"peers\[1\]"):
        parse_limiter_config(
            base % (b'"peer":"127.0.0.1:3","peers":["127.0.0.1:4","x"],', grade), {}
        )
    with pytest.raises(LimiterConfigError, match="key 'peer'"):
        parse_limiter_config(base % (b'"peers":["127.0.0.1:4"],', grade), {})


# processes


def cold(seconds: float, *faults: dict, limiters: int = 6, **over) -> Rehearsal:
    table = {
        "name": "cold",
        "seconds": seconds,
        "known": False,
        "fleet": {
            "limiters": limiters,
            "servers": 4,
            "zones": ["a", "b"],
            "try_limit": 3,
            "cold_s": 2.0,
            "peers": True,
            "shared": True,
        },
        "discovery": {"bears": 5.0},
        "load": {"notice_s": 0.6},
        "frontends": [
            {"name": "look", "work_ms": 40, "response_target_ms": 300, "client_timeout_ms": 800}
        ],
        "plans": [{"name": "basic", "rate": 10, "burst": 40, "customers": 20, "demand": 0.5}],
        "faults": list(faults),
        **over,
    }
    return from_table(table, Rehearsal)


def went(told: Rehearsal, out) -> tuple[dict, checker.Seen]:
    report = played(told, out)
    assert report["held"], (report["breaks"], report["crashes"])
    assert gone(out)
    return report, checker.read(told, out)


def test_a_cold_start_in_its_quick_form_calls_for_three_lists(tmp_path):
    report, _ = went(scenario.load(str(EXAMPLES / "cold-start.toml"), quick=True), tmp_path)
    assert report["kept"], report["bounds"]
    assert len(report["ready_s"]) == 12
    assert len([at for at, _ in report["calls_for_lists"] if at < 14]) <= WATCHERS + 1


def test_discovery_down_for_the_whole_start_and_lists_of_different_age(tmp_path):
    """All start from their configuration's list; a drain told before discovery falls silent reaches
    all.
    """
    faults = [
        {"at": 0.5, "do": "list", "who": ["s1"], "phase": "leaving"},
        {"at": 1.5, "do": "discovery_silent"},
        {"at": 2.0, "do": "kill", "who": ["l0", "l4", "l5"], "for_s": 1.0},
    ]
    _, seen = went(cold(7, *faults, known=True), tmp_path)
    late = [r for r in seen.all("run") if r[2] == 1 and r[0] - seen.began > 3.0 + 1.2]
    # restarted ones have it from a peer, by the older list of their configuration it is live
    assert not late


def test_those_that_ask_discovery_die_or_stand_still_while_they_hand_on(tmp_path):
    faults = [
        {"at": 0, "once": "told", "do": "stop", "who": ["l0"], "for_s": 4},
        {"at": 0, "once": "told", "do": "kill", "who": ["l1"]},
        {"at": 0, "once": "told", "do": "cut", "who": ["l2"], "other": ["discovery"]},
    ]
    _, seen = went(cold(9, *faults), tmp_path)
    assert {name for _, name in seen.all("ready")} >= {"l0", "l2", "l3", "l4", "l5"}


class Clock:
    """An asyncio loop's clock and calls, in simulated time, for the peers' driver."""

    def __init__(self) -> None:
        self.now, self.heap, self.n = 0.0, [], 0

    def time(self) -> float:
        return self.now

    def call_later(self, after: float, call, *told) -> None:
        self.n += 1
        heappush(self.heap, (self.now + after, self.n, call, told))

    def run(self, until: float) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, call, told = heappop(self.heap)
            call(*told)
        self.now = until


class Limiter:
    """The peers' driver of one limiter, its datagrams and its watch on discovery, which answers in
    20 ms.
    """

    def __init__(self, me: int, all_: list[Limiter], loop: Clock, rng: Random) -> None:
        self.me, self.all, self.loop, self.rng = me, all_, loop, rng
        self.up, self.cut, self.waits, self.revision, self.held, self.calls = (
            True,
            False,
            [],
            0,
            None,
            0,
        )
        self.watching, self.log = False, lambda text: None
        at = [f"127.0.0.1:{1000 + n}" for n in range(6)]
        self.peers = Peers(
            self, self, me, 6, at[me], [a for a in at if a != at[me]], BackendList(), me
        )
        self.peers.connection_made(self)
        loop.call_later(rng.random() * 0.05, self.peers.tick)

    def set_active(self, on: bool) -> None:
        if on and not self.watching:
            self.calls += 1
            self.loop.call_later(0.02, self.answered)
        self.watching = on

    def answered(self) -> None:
        if self.up and not self.cut and self.watching:
            told = listed(1, *(f"s{n}" for n in range(100)))  # three datagrams
            self.update_servers(told)
            self.peers.from_discovery(told)

    def update_servers(self, told: BackendList) -> None:
        self.held = self.loop.now if self.held is None else self.held

    def is_closing(self) -> bool:
        return not self.up

    def sendto(self, raw: bytes, to: tuple[str, int]) -> None:
        other = self.all[to[1] - 1000]
        self.loop.call_later(self.rng.random() * 0.01, other.came, raw, self.peers.at)

    def came(self, raw: bytes, source: str) -> None:
        if self.up:
            self.peers.datagram_received(raw, ("127.0.0.1", int(source.split(":")[1])))


def without(seeds: range) -> list[int]:
    """The starts in which a limiter has no list in time, or asks discovery twice. Of the three that
    ask at once two die and one is cut off from discovery, each at any moment, from before it has
    the list until it is handed on.
    """
    out = []
    for seed in seeds:
        rng, loop, fleet = Random(seed), Clock(), []
        for n in range(6):
            fleet.append(Limiter(n, fleet, loop, rng))
        for n, what, value in ((0, "up", False), (1, "up", False), (2, "cut", True)):
            loop.call_later(rng.random() * 0.1, setattr, fleet[n], what, value)
        # the last one's start, and its own turn to ask discovery
        loop.run(0.05 + 5 * STEP + 2 * TICK)
        if any(m.held is None for m in fleet[2:]) or any(m.calls > 1 for m in fleet):
            out.append(seed)
    return out


def test_the_others_have_the_list_whenever_those_that_ask_discovery_are_lost_in_a_start():
    assert without(range(200)) == []


@pytest.mark.parametrize(
    "mutant", ["nobody else asks discovery", "nobody hands on a list that is wanted"]
)
def test_a_start_needs_each_way_to_a_list(mutant, monkeypatch):
    if mutant.endswith("discovery"):
        monkeypatch.setattr(Lists, "watching", lambda self, now, alive: self.me < WATCHERS)
    else:
        monkeypatch.setattr(Lists, "whole", lambda self: [])
    assert without(range(200))


def test_halves_apart_one_without_discovery_and_spoilt_datagrams(tmp_path):
    half = ["l3", "l4", "l5"]
    faults = [
        {"at": 1.0, "do": "cut", "who": half, "other": ["l0", "l1", "l2", "discovery"], "for_s": 4},
        {"at": 2.0, "do": "list", "who": ["s0"], "phase": "leaving"},
    ]
    _, seen = went(cold(10, *faults), tmp_path)
    late = [r for r in seen.all("run") if r[2] == 0 and r[0] - seen.began > 8.5]
    assert not late  # known to both halves again
    logs = "".join((tmp_path / "log" / f"l{n}").read_text() for n in range(6))
    assert "Traceback" not in logs and "failed on" not in logs


def test_datagrams_of_nobody_and_spoilt_ones_change_nothing():
    from types import SimpleNamespace

    lines: list[str] = []
    loop = SimpleNamespace(time=lambda: 5.0)
    fleet = SimpleNamespace(
        loop=loop, log=lines.append, listed=lambda list_: lines.append("listed")
    )
    peers = Peers(
        fleet, SimpleNamespace(revision=0), 0, 9, "127.0.0.1:1", ["127.0.0.1:2"], BackendList(), 1
    )
    part = Part(3, 1, 9, [], members=[member("x")])
    for raw in (
        b"",
        b"\x00",
        b"noise" * 99,
        messages.encode(part)[:-3],
        messages.encode(Ping(3, 1, 0, [])),
    ):
        peers.datagram_received(raw, ("127.0.0.1", 7))
    peers.datagram_received(messages.encode(part), ("127.0.0.1", 7))
    assert len(lines) == 6 and "listed" not in lines and peers.lists.revision == 0
    peers.datagram_received(messages.encode(part), ("127.0.0.1", 2))
    assert lines[-1] == "listed" and peers.lists.revision == 9


def test_peers_need_addresses_that_hold_for_all():
    with pytest.raises(ScenarioError, match=r"fleet\.shared"):
        cold(1, fleet={"limiters": 2, "peers": True})
