"""Group membership and endpoint lists of limiters under loss, restarts and invalid messages: in
simulated time, and with limiter processes.
"""

from __future__ import annotations

from heapq import heappop, heappush
from random import Random

import pytest
from hypothesis import given
from hypothesis import settings as bounds
from hypothesis import strategies as st
from rehearsals import EXAMPLES, all_exited, run_and_report

from loomstand.config.limiter import (
    BackendList,
    BackendRecord,
    LimiterConfigError,
    parse_limiter_config,
)
from loomstand.membership import messages
from loomstand.membership.driver import TICK_SECONDS, PeerProtocol
from loomstand.membership.endpoint_lists import (
    STALE_SECONDS,
    WATCH_STAGGER_SECONDS,
    WATCHERS,
    EndpointLists,
)
from loomstand.membership.members import Membership, MemberState
from loomstand.membership.messages import Part, Ping
from loomstand.testing.emulator.scenario import ScenarioError, from_table
from loomstand.testing.rehearsal import checker, scenario
from loomstand.testing.rehearsal.scenario import Rehearsal


class SimulatedGroup:
    """Members that exchange encoded messages, which are delayed, reordered, duplicated or lost."""

    def __init__(self, n: int, seed: int, configured_count: int = 1) -> None:
        self.rng, self.now, self.n, self.configured_count = Random(seed), 0.0, n, configured_count
        self.loss = self.duplication = 0.0
        self.partition: set[int] = set()  # the members of one side
        self.members: dict[int, Membership | None] = {}
        self.in_flight: list[tuple[float, int, int, bytes]] = []
        self.sent = 0
        for i in range(n):
            self.start(i)

    def address(self, i: int) -> str:
        return f"127.0.0.1:{1000 + i}"

    def start(self, i: int) -> None:
        configured = [self.address(j) for j in range(self.configured_count)]
        self.members[i] = Membership(
            i, self.address(i), int(self.now * 1000) + 1, configured, i, self.now
        )

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            for i, member in self.members.items():
                if member is not None:
                    member.tick(self.now)
                    self.collect(i, member)
            due = [f for f in self.in_flight if f[0] <= self.now]
            self.in_flight = [f for f in self.in_flight if f[0] > self.now]
            self.rng.shuffle(due)
            for _, i, j, raw in due:
                member = self.members.get(j)
                if member is not None and (i in self.partition) == (j in self.partition):
                    message = messages.decode(raw)
                    member.receive(self.now, message, self.address(i))
                    self.collect(j, member)

    def collect(self, i: int, member: Membership) -> None:
        outbox, member.outbox = member.outbox, []
        for recipient, message in outbox:
            address = (
                recipient
                if isinstance(recipient, str)
                else member.peers[recipient].address
                if recipient in member.peers
                else ""
            )
            if not address:
                continue
            self.sent += 1
            j, raw = int(address.split(":")[1]) - 1000, messages.encode(message)
            for _ in range(1 + (self.rng.random() < self.duplication)):
                if self.rng.random() >= self.loss:
                    self.in_flight.append((self.now + self.rng.random() * 0.05, i, j, raw))

    def views(self) -> list[list[int]]:
        return [m.alive() for m in self.members.values() if m is not None]


@given(st.integers(0, 1 << 32), st.integers(2, 12), st.floats(0, 0.3))
@bounds(max_examples=15, deadline=None)
def test_live_members_do_not_stay_dead_and_views_converge(seed, n, loss):
    group = SimulatedGroup(n, seed)
    group.loss, group.duplication = loss, 0.2
    group.run(10)
    for _ in range(3):
        i = group.rng.randrange(n)
        if group.members[i] is None:
            group.start(i)
        elif i and group.rng.random() < 0.7:  # the configured member 0 stays up
            group.members[i] = None
        group.run(group.rng.random() * 8)
    group.loss = group.duplication = 0.0
    group.run(60)
    live = [i for i, m in group.members.items() if m is not None]
    assert all(view == live for view in group.views()), group.views()


def test_both_sides_notice_when_a_partition_heals():
    group = SimulatedGroup(8, 1, configured_count=2)
    group.run(12)
    group.partition = {0, 2, 4, 6}
    group.run(40)
    assert all(group.members[i].alive() == [0, 2, 4, 6] for i in group.partition)
    group.partition = set()
    group.run(40)
    assert all(view == list(range(8)) for view in group.views())


def test_message_rate_per_member_does_not_grow_with_the_group():
    """A member sends one ping and one answer per period; checked at two sizes after all joins."""
    rates = []
    for n in (8, 32):
        group = SimulatedGroup(n, 3)
        group.run(30)
        group.sent = 0
        group.run(20)
        rates.append(group.sent / 20 / n)
    assert all(1.8 <= r <= 2.2 for r in rates), rates


def test_a_member_that_leaves_is_not_dead_and_rejoins_after_a_restart():
    group = SimulatedGroup(5, 2)
    group.run(12)
    group.members[3].leave()
    group.collect(3, group.members[3])
    group.run(3)
    group.members[3] = None
    assert group.members[1].peers[3].state is MemberState.LEFT
    group.start(3)
    group.run(10)
    assert all(view == list(range(5)) for view in group.views())


# endpoint lists


def server(id_: str, phase: str = "active") -> BackendRecord:
    return BackendRecord(id=id_, address="127.0.0.1:9", phase=phase)


def server_list(revision: int, *ids: str, complete: bool = True) -> BackendList:
    return BackendList(revision=revision, complete=complete, backends=[server(i) for i in ids])


def send_whole_list(
    sender: EndpointLists, recipient: EndpointLists, now: float
) -> list[BackendList]:
    return [
        changes
        for part in sender.whole_list()
        if (changes := recipient.from_peer(now, part)) is not None
    ]


def test_a_list_passes_between_peers_and_never_goes_back():
    one, two, three = EndpointLists(0, 0.0), EndpointLists(1, 0.0), EndpointLists(2, 0.0)
    one.from_discovery(1.0, server_list(5, *(f"s{n}" for n in range(100))))
    old_parts = one.whole_list()
    assert len(old_parts) == 3
    assert (
        len(send_whole_list(one, two, 1.0)) == 1 and len(two.servers) == 100 and two.revision == 5
    )
    change = BackendList(revision=6, complete=False, backends=[server("s7", "left")])
    part = one.from_discovery(2.0, change)
    assert two.from_peer(2.0, part) is not None and "s7" not in two.servers
    assert [two.from_peer(3.0, p) for p in old_parts] == [None] * 3
    assert three.from_peer(3.0, part) is None  # changes in between are missing
    send_whole_list(two, three, 3.0)
    assert "s7" not in three.servers and len(three.servers) == 99


def test_servers_missing_in_a_list_from_a_peer_are_not_removed():
    one, two = EndpointLists(0, 0.0), EndpointLists(1, 0.0)
    for lists in (one, two):
        lists.from_discovery(1.0, server_list(5, "a", "b", "c"))
    shorter = Part(0, 0, 9, [], servers=[server("a")])
    changes = two.from_peer(2.0, shorter)
    assert not changes.complete and set(two.servers) == {"a", "b", "c"}
    two.from_discovery(3.0, server_list(6, "a"))  # discovery may even go back to a lower revision
    assert set(two.servers) == {"a"} and two.revision == 6


@pytest.mark.parametrize(
    "number, count, revision", [(3, 3, 9), (-1, 3, 9), (0, 100_000, 9), (0, 1, 0), (0, 1, -5)]
)
def test_an_invalid_part_changes_nothing(number, count, revision):
    lists = EndpointLists(1, 0.0)
    lists.from_discovery(1.0, server_list(5, "a"))
    assert (
        lists.from_peer(
            2.0, Part(0, 0, revision, [], number=number, count=count, servers=[server("x")])
        )
        is None
    )
    assert set(lists.servers) == {"a"} and lists.revision == 5


def test_an_incomplete_list_is_dropped_after_the_timeout():
    one, two = EndpointLists(0, 0.0), EndpointLists(1, 0.0)
    one.from_discovery(1.0, server_list(5, *(f"s{n}" for n in range(100))))
    a, b, c = one.whole_list()
    assert two.from_peer(1.0, a) is two.from_peer(1.1, b) is None
    assert two.from_peer(9.0, c) is None and two.revision == 0
    assert two.from_peer(9.1, a) is None and two.from_peer(9.2, b) is not None


def test_few_limiters_watch_discovery_and_more_of_them_when_its_confirmation_is_stale():
    alive = list(range(50))
    fleet = [EndpointLists(n, 0.0) for n in alive]
    # a simultaneous start
    assert [n for n in alive if fleet[n].should_watch(0.0, [n])] == list(range(WATCHERS))
    for lists in fleet:
        lists.from_configuration(server_list(5, "a"))
        lists.observe_age(3.0, 0.0)
    assert [n for n in alive if fleet[n].should_watch(8.0, alive)] == list(range(WATCHERS))
    assert [n for n in alive if fleet[n].should_watch(8.0, alive[2:] if n > 1 else alive)] == [
        0,
        1,
        2,
        3,
        4,
    ]
    watching = [
        sum(lists.should_watch(3.0 + STALE_SECONDS + t, alive) for lists in fleet)
        for t in (0.0, 1.0, 2.0)
    ]
    assert watching[0] == 3 and watching[1] <= 5 and watching[2] <= 9


def test_error_for_invalid_peers_names_the_key():
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


# limiter processes


def cold_start(seconds: float, *faults: dict, limiters: int = 6, **overrides) -> Rehearsal:
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
        **overrides,
    }
    return from_table(table, Rehearsal)


def run_rehearsal(rehearsal: Rehearsal, out) -> tuple[dict, checker.RehearsalEvents]:
    """Returns the report and the recorded events, after checking the rules and that all processes
    have ended.
    """
    report = run_and_report(rehearsal, out)
    assert report["held"], (report["breaks"], report["crashes"])
    assert all_exited(out)
    return report, checker.read(rehearsal, out)


def test_the_cold_start_example_in_its_quick_form_requests_three_lists(tmp_path):
    report, _ = run_rehearsal(
        scenario.load(str(EXAMPLES / "cold-start.toml"), quick=True), tmp_path
    )
    assert report["kept"], report["bounds"]
    assert len(report["ready_s"]) == 12
    assert len([at for at, _ in report["calls_for_lists"] if at < 14]) <= WATCHERS + 1


def test_restart_with_an_outdated_list_while_discovery_is_down(tmp_path):
    """All limiters start with the list of their configuration. A drain that discovery announces
    before it stops answering reaches all of them, also those that restart later.
    """
    faults = [
        {"at": 0.5, "do": "list", "who": ["s1"], "phase": "leaving"},
        {"at": 1.5, "do": "discovery_silent"},
        {"at": 2.0, "do": "kill", "who": ["l0", "l4", "l5"], "for_s": 1.0},
    ]
    _, events = run_rehearsal(cold_start(7, *faults, known=True), tmp_path)
    late = [r for r in events.rows_of("run") if r[2] == 1 and r[0] - events.began > 3.0 + 1.2]
    # the restarted limiters learn of the drain from a peer: in their configuration s1 is active
    assert not late


def test_watchers_that_die_stop_or_lose_discovery_while_they_forward_lists(tmp_path):
    faults = [
        {"at": 0, "once": "told", "do": "stop", "who": ["l0"], "for_s": 4},
        {"at": 0, "once": "told", "do": "kill", "who": ["l1"]},
        {"at": 0, "once": "told", "do": "cut", "who": ["l2"], "other": ["discovery"]},
    ]
    _, events = run_rehearsal(cold_start(9, *faults), tmp_path)
    assert {name for _, name in events.rows_of("ready")} >= {"l0", "l2", "l3", "l4", "l5"}


class SimulatedLoop:
    """The clock and `call_later` of an asyncio loop in simulated time."""

    def __init__(self) -> None:
        self.now, self.heap, self.n = 0.0, [], 0

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, call, *args) -> None:
        self.n += 1
        heappush(self.heap, (self.now + delay, self.n, call, args))

    def run(self, until: float) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, call, args = heappop(self.heap)
            call(*args)
        self.now = until


class SimulatedLimiter:
    """One limiter's peer protocol, with its datagrams and its watch on discovery, which answers in
    20 ms.
    """

    def __init__(
        self, number: int, fleet: list[SimulatedLimiter], loop: SimulatedLoop, rng: Random
    ) -> None:
        self.number, self.fleet, self.loop, self.rng = number, fleet, loop, rng
        self.is_up, self.is_cut_off, self.is_watching = True, False, False
        self.revision = self.discovery_calls = 0
        self.listed_at: float | None = None
        self.log = lambda text: None
        addresses = [f"127.0.0.1:{1000 + n}" for n in range(6)]
        self.peers = PeerProtocol(
            self,
            self,
            number,
            6,
            addresses[number],
            [a for a in addresses if a != addresses[number]],
            BackendList(),
            number,
        )
        self.peers.connection_made(self)
        loop.call_later(rng.random() * 0.05, self.peers.tick)

    def set_active(self, on: bool) -> None:
        if on and not self.is_watching:
            self.discovery_calls += 1
            self.loop.call_later(0.02, self.discovery_answered)
        self.is_watching = on

    def discovery_answered(self) -> None:
        if self.is_up and not self.is_cut_off and self.is_watching:
            list_ = server_list(1, *(f"s{n}" for n in range(100)))  # three datagrams
            self.update_servers(list_)
            self.peers.discovery_listed(list_)

    def update_servers(self, list_: BackendList) -> None:
        self.listed_at = self.loop.now if self.listed_at is None else self.listed_at

    def is_closing(self) -> bool:
        return not self.is_up

    def sendto(self, raw: bytes, address: tuple[str, int]) -> None:
        recipient = self.fleet[address[1] - 1000]
        self.loop.call_later(self.rng.random() * 0.01, recipient.receive, raw, self.peers.address)

    def receive(self, raw: bytes, source: str) -> None:
        if self.is_up:
            self.peers.datagram_received(raw, ("127.0.0.1", int(source.split(":")[1])))


def failed_starts(seeds: range) -> list[int]:
    """Returns the seeds for which a limiter gets no list in time or queries discovery twice.

    Three limiters query discovery at the start. Two of them are killed and one is cut off from
    discovery, each at a random time within 0.1 s: before, while or after it forwards the list.
    """
    failed = []
    for seed in seeds:
        rng, loop, fleet = Random(seed), SimulatedLoop(), []
        for n in range(6):
            fleet.append(SimulatedLimiter(n, fleet, loop, rng))
        for n, attribute, value in (
            (0, "is_up", False),
            (1, "is_up", False),
            (2, "is_cut_off", True),
        ):
            loop.call_later(rng.random() * 0.1, setattr, fleet[n], attribute, value)
        # until the last limiter has started and its delay before querying discovery has passed
        loop.run(0.05 + 5 * WATCH_STAGGER_SECONDS + 2 * TICK_SECONDS)
        if any(m.listed_at is None for m in fleet[2:]) or any(m.discovery_calls > 1 for m in fleet):
            failed.append(seed)
    return failed


def test_all_other_limiters_get_the_list_when_the_watchers_fail_during_a_start():
    assert failed_starts(range(200)) == []


@pytest.mark.parametrize(
    "mutant", ["no further limiter watches discovery", "no limiter sends a requested list"]
)
def test_a_start_needs_both_sources_of_a_list(mutant, monkeypatch):
    if mutant.endswith("discovery"):
        monkeypatch.setattr(
            EndpointLists, "should_watch", lambda self, now, alive: self.limiter_id < WATCHERS
        )
    else:
        monkeypatch.setattr(EndpointLists, "whole_list", lambda self: [])
    assert failed_starts(range(200))


def test_a_partitioned_half_without_discovery_learns_of_a_drain_after_it_heals(tmp_path):
    half = ["l3", "l4", "l5"]
    faults = [
        {"at": 1.0, "do": "cut", "who": half, "other": ["l0", "l1", "l2", "discovery"], "for_s": 4},
        {"at": 2.0, "do": "list", "who": ["s0"], "phase": "leaving"},
    ]
    _, events = run_rehearsal(cold_start(10, *faults), tmp_path)
    late = [r for r in events.rows_of("run") if r[2] == 0 and r[0] - events.began > 8.5]
    assert not late  # both halves know of the drain
    logs = "".join((tmp_path / "log" / f"l{n}").read_text() for n in range(6))
    assert "Traceback" not in logs and "failed on" not in logs


def test_datagrams_from_unknown_sources_and_invalid_ones_change_nothing():
    from types import SimpleNamespace

    lines: list[str] = []
    loop = SimpleNamespace(time=lambda: 5.0)
    limiter = SimpleNamespace(
        loop=loop, log=lines.append, update_servers=lambda list_: lines.append("listed")
    )
    peers = PeerProtocol(
        limiter, SimpleNamespace(revision=0), 0, 9, "127.0.0.1:1", ["127.0.0.1:2"], BackendList(), 1
    )
    part = Part(3, 1, 9, [], servers=[server("x")])
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


def test_peers_need_shared_addresses():
    with pytest.raises(ScenarioError, match=r"fleet\.shared"):
        cold_start(1, fleet={"limiters": 2, "peers": True})
