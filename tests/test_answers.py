"""Answers and their callers on simulated streams: each to its own, and none run twice that must not."""

from __future__ import annotations

import asyncio
from collections import Counter as Tally
from collections.abc import Callable
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from loomstand import interface as i
from loomstand.interface import Outcome
from loomstand.net import http, servers
from loomstand.net.clients import Client as FrontClient
from loomstand.net.driver import Wire
from loomstand.net.endings import Ending
from loomstand.net.ring import Ring, Room
from loomstand.net.servers import Link
from loomstand.proxy import upstream
from loomstand.proxy.program import Proxy
from loomstand.proxy.request import Dispatch, ProxyRequest
from loomstand.proxy.upstream import UpstreamConnection, UpstreamPool
from loomstand.simulation.cluster import FRONT, Cluster
from loomstand.simulation.http_log import Broken, Message, Reply, Run, Talk
from loomstand.simulation.loop import Life, play
from loomstand.simulation.network import SimNetwork
from loomstand.simulation.streams import WINDOW, Cables, Streams
from loomstand.simulation.workload import Server

US, THEM = "10.2.0.1", "10.3.0.1"
PROOFS = {Outcome.TURNED_AWAY, Outcome.NO_CONNECTION, Outcome.NOT_SENT}
STAMP = "Loomstand-Response-Stamp: s"


def said(status: int, id_: str = "", *lines: str, body: bytes = b"body") -> bytes:
    """An answer's bytes."""
    fields = [f"Loomstand-Request-Id: {id_}"] if id_ else []
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *fields, *lines]
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


class Played(Talk):
    """A server's connection: runs each whole request and answers as its play says: bytes, seconds to wait,
    or "reset", "close", "half" (its sending ends); it runs nothing where that begins with "refuse". `early`
    answers once a head is there."""

    def __init__(self, stage: Stage) -> None:
        super().__init__()
        self.stage = stage
        self.task = asyncio.get_running_loop().create_task(self.serve(), context=stage.life.context())

    async def serve(self) -> None:
        try:
            while True:
                while b"\r\n\r\n" not in self.buf:
                    await self.more()
                if self.stage.early:
                    await self.act(self.stage.plays.pop(0))
                    self.stage.early = False
                    continue
                message = await self.message()
                play = self.stage.plays.pop(0) if self.stage.plays else []
                if play[:1] == ["refuse"]:
                    del play[0]
                else:
                    self.stage.ran.append(message.fields["loomstand-request-id"])
                    self.stage.ran_at[self.stage.ran[-1]] = self.stage.loop.time()
                await self.act(play)
        except Broken:
            pass

    async def act(self, play: list[Any]) -> None:
        for step in play:
            if isinstance(step, bytes):
                if not self.transport.is_closing():
                    self.transport.write(step)
            elif isinstance(step, float):
                await asyncio.sleep(step)
            elif step == "reset":
                self.transport.reset()
                self.transport.fail(ConnectionResetError())
            elif step == "half":
                self.transport.write_eof()
            else:
                self.transport.close()


class Stage:
    """A pool of connections to one server, and in place of the proxy a book of what came of each request."""

    def __init__(self) -> None:
        self.sky = SimNetwork(Random(1))
        self.cables = Cables(self.sky, Random(2))
        self.loop = asyncio.get_running_loop()
        self.room, self.endings, self.most_answer = Room(1 << 22), Tally[str](), 1 << 16
        self.life, self.mine = Life(), Life()
        self.plays: list[list[Any]] = []
        self.early = False
        self.ran: list[str] = []
        self.ran_at: dict[str, float] = {}
        self.came_of: dict[str, list[Outcome]] = {}
        self.bodies: dict[str, tuple[int, bytes, str]] = {}
        self.talks: list[Played] = []
        self.pool = UpstreamPool(self, 0.25, 60.0)  # type: ignore[arg-type]
        self.pool.connect = Streams(self.cables, US, self.mine).connect  # type: ignore[method-assign]
        self.pool.told(0, (THEM, 80))

    async def open(self) -> Stage:
        def make() -> Played:
            self.talks.append(Played(self))
            return self.talks[-1]

        await Streams(self.cables, THEM, self.life).listen(self.loop, make, (THEM, 80))
        return self

    def now(self) -> int:
        return int(self.loop.time() * 10_000)

    def spare_sockets(self) -> int:
        return 9

    def make_room(self, spared: Any = None) -> bool:
        return False

    def misdirected(self, flight: Any) -> None:
        pass

    def came(self, flight: Any, outcome: Outcome, metered: int = 0, body: bytes = b"") -> None:
        if flight.timer is not None:
            flight.timer.cancel()
        id_ = flight.req.request_id.decode()
        self.came_of.setdefault(id_, []).append(outcome)
        if flight.req.got is not None:
            self.bodies[id_] = flight.req.got

    def request(self, id_: str, body: bytes = b"", idempotent: bool = False) -> ProxyRequest:
        machine, ring = http.RequestReceiver(1 << 20), Ring(self.room, 1 << 21)
        head = (
            f"POST /x HTTP/1.1\r\nHost: h\r\nLoomstand-Request-Id: {id_}\r\nContent-Length: {len(body)}\r\n"
        )
        ring.put(head.encode() + b"\r\n" + body)
        assert machine.step(ring)
        req = ProxyRequest(machine)
        req.route, req.service = SimpleNamespace(idempotent=idempotent), "s"
        return req

    def send(self, req: ProxyRequest, within: float = 1.0) -> Dispatch:
        expire = self.now() + int(within * 10_000)
        flight = Dispatch(req, len(req.flights), 0, self.now(), expire, "i-1")
        req.flights.append(flight)
        flight.timer = self.loop.call_later(within, self.pool.give_up, flight, Ending.EXPIRED)
        self.pool.send(flight)
        return flight

    def check(self) -> None:
        """No proof for what ran, one end for each sending, and only an own whole answer has passed."""
        for id_, outcomes in self.came_of.items():
            proved = sum(o in PROOFS for o in outcomes)
            assert self.ran.count(id_) <= len(outcomes) - proved, (id_, outcomes)
            if Outcome.PASSED in outcomes:
                _, body, extra = self.bodies[id_]
                assert body == b"of " + id_.encode() and f"loomstand-request-id: {id_}\r\n" in extra


def staged(work: Callable[[Stage], Any]) -> None:
    async def run() -> None:
        stage = await Stage().open()
        await work(stage)
        stage.sky.mend()
        await asyncio.sleep(20.0)  # what is late comes now
        stage.check()

    play(run)


def whole(id_: str, *lines: str) -> bytes:
    return said(200, id_, STAMP, *lines, body=b"of " + id_.encode())


# --- from servers, at each byte


def every_byte() -> None:
    for how in ("close", "reset", "half", "silence", "pause"):

        async def work(stage: Stage) -> None:
            for at in range(len(whole("r000"))):
                id_ = f"r{at:03}"
                raw = whole(id_)
                steps = {"silence": [2.0, raw[at:]], "pause": [0.02, raw[at:]]}.get(how, [how])  # noqa: B023
                stage.plays = [[raw[:at], *steps]]
                stage.send(stage.request(id_), 0.2)
                await asyncio.sleep(0.25)
                passes = Outcome.PASSED if how == "pause" else None  # noqa: B023
                lost = Outcome.NO_ANSWER if how == "silence" else Outcome.CONNECTION_LOST  # noqa: B023
                assert stage.came_of[id_] == [passes or lost], (how, at)  # noqa: B023
                stage.plays = []

        staged(work)


def test_an_answer_cut_at_any_byte_passes_only_whole_and_proves_nothing():
    every_byte()


def surplus(made: Callable[[str], bytes], *, ahead: bool) -> Callable[[Stage], Any]:
    """One request's second answer, cut at each byte: the rest of it comes where the next one's is due."""

    async def work(stage: Stage) -> None:
        size = len(made("r0000"))
        for at in range(0, size + 1):
            first, second = f"r{at:04}", f"n{at:04}"
            extra, own = made(first), whole(second)
            stage.plays = [
                [whole(first), extra[:at]],
                [extra[at:] + own] if ahead else [extra[at:], 0.01, own],
            ]
            stage.send(stage.request(first))
            await asyncio.sleep(0.008 if at % 2 else 0.02)
            stage.send(stage.request(second))
            await asyncio.sleep(0.1)
            assert stage.came_of[first] == [Outcome.PASSED]
            assert set(stage.came_of[second]) <= {Outcome.PASSED, Outcome.CONNECTION_LOST}
            for links in list(stage.pool.idle.values()):
                for link in list(links):
                    stage.pool.shut(link, Ending.IDLE)

    return work


SURPLUS: dict[str, Callable[[str], bytes]] = {
    "again": lambda id_: whole(id_),
    "refusal": lambda id_: said(503, id_, "Loomstand-Not-Executed: true"),
    "nobody's refusal": lambda id_: said(503, "", "Loomstand-Not-Executed: true"),
    "nobody's error": lambda id_: said(500, ""),
    "interim": lambda id_: b"HTTP/1.1 100 Continue\r\n\r\n" + whole(id_),
}


@pytest.mark.parametrize("ahead", [True, False])
@pytest.mark.parametrize("what", SURPLUS)
def test_a_surplus_answer_in_pieces_is_never_the_next_ones(what, ahead):
    staged(surplus(SURPLUS[what], ahead=ahead))


REFUSED = "Loomstand-Not-Executed: true"


async def refused_twice(stage: Stage) -> None:
    size = len(said(503, "r0000", REFUSED))
    for at in range(0, size + 1, 3):
        id_, req = f"r{at:04}", stage.request(f"r{at:04}")
        raw = said(503, id_, REFUSED)
        stage.plays = [["refuse", raw, raw[:at], 0.02, raw[at:]], [0.05, whole(id_)]]
        stage.send(req)
        await asyncio.sleep(0.012)
        stage.send(req)  # as where no other server has room
        await asyncio.sleep(0.2)
        assert stage.came_of[id_] == [Outcome.TURNED_AWAY, Outcome.PASSED]


def test_a_second_copy_of_a_refusal_is_not_the_answer_to_the_second_sending():
    staged(refused_twice)


def bare_promises(status: int) -> Callable[[Stage], Any]:
    async def work(stage: Stage) -> None:
        for id_, lines in ("bare", []), ("with", [REFUSED]):
            proof = status != 200 if lines else status == 421
            success = [STAMP] if status == 200 else []
            stage.plays = [["refuse"] * proof + [said(status, id_, *success, *lines, body=b"of bare")]]
            stage.send(stage.request(id_))
            await asyncio.sleep(0.1)
            expected = Outcome.TURNED_AWAY if proof else Outcome.CONNECTION_LOST
            assert stage.came_of[id_] == [Outcome.PASSED if success and not lines else expected]

    return work


@pytest.mark.parametrize("status", [408, 421, 429, 503, 200])
def test_what_clients_take_for_a_promise_comes_from_a_server_only_with_its_own_word(status):
    staged(bare_promises(status))


# --- to servers


async def behind_a_cut(stage: Stage) -> None:
    """Bodies below and above the window, cut off at several moments, given up, and the cut healed."""
    for n, size in enumerate((0, 100, WINDOW - 400, WINDOW, 3 * WINDOW, 6 * WINDOW)):
        for after in (0.0, 0.001, 0.004, 0.006, 0.009, 0.013, 0.02):
            id_ = f"r{n}{after}"
            stage.plays = [[1.0, whole(id_)]]
            stage.send(stage.request(id_, bytes(size)), 0.3)
            await asyncio.sleep(after)
            stage.sky.cut(US, THEM)
            await asyncio.sleep(0.4)
            given_up = stage.loop.time()
            stage.sky.mend()
            await asyncio.sleep(6.0)
            assert stage.ran_at.get(id_, 0.0) < given_up, f"{id_} ran late, of {stage.came_of[id_]}"


def test_what_is_given_up_behind_a_cut_is_not_delivered_when_that_heals():
    staged(behind_a_cut)


def test_a_connect_under_way_at_the_deadline_carries_nothing_later():
    async def work(stage: Stage) -> None:
        for n in range(20):
            stage.send(stage.request(f"r{n}"), 0.0005 * n)
            await asyncio.sleep(0.1)
            assert len(stage.came_of[f"r{n}"]) == 1

    staged(work)


async def thaws_late(stage: Stage) -> None:
    flight = stage.send(stage.request("r"))
    flight.timer.cancel()
    flight.expire = stage.now()  # this process stood still until after that
    await asyncio.sleep(0.5)
    assert stage.came_of == {"r": [Outcome.NO_CONNECTION]} and stage.ran == []


def test_a_process_that_stood_still_past_the_deadline_sends_nothing():
    staged(thaws_late)


async def a_silence(stage: Stage) -> None:
    stage.plays = [[0.05, whole("a")], [0.05, whole("b")], [], [whole("d")]]
    for id_ in "ab":  # two kept connections
        stage.send(stage.request(id_))
    await asyncio.sleep(0.2)
    assert len(stage.talks) == 2
    stage.life.frozen = True
    stage.send(stage.request("c"), 0.2)
    await asyncio.sleep(0.3)
    assert stage.came_of["c"] == [Outcome.NO_ANSWER]
    stage.life.thaw()  # and it runs what is in its buffers
    await asyncio.sleep(0.1)
    assert stage.ran == ["a", "b", "c"]
    stage.send(stage.request("d"))
    await asyncio.sleep(0.1)
    assert stage.came_of["d"] == [Outcome.PASSED] and len(stage.talks) == 3, (
        "a connection of before a silence"
    )


def test_after_a_silence_no_connection_of_before_is_used_and_a_late_run_breaks_no_word():
    staged(a_silence)


def answered_early(status: int) -> Callable[[Stage], Any]:
    async def work(stage: Stage) -> None:
        stage.early, raw = True, whole("r") if status == 200 else said(503, "r", REFUSED)
        stage.plays = [[raw], [whole("n")]]
        stage.send(stage.request("r", bytes(5 * WINDOW)))
        await asyncio.sleep(0.2)
        assert stage.came_of["r"] == [Outcome.PASSED if status == 200 else Outcome.TURNED_AWAY]
        assert "r" not in stage.ran and not stage.pool.links
        stage.send(stage.request("n"))
        await asyncio.sleep(0.2)
        assert stage.came_of["n"] == [Outcome.PASSED] and len(stage.talks) == 2

    return work


@pytest.mark.parametrize("status", [200, 503])
def test_an_answer_that_comes_before_its_request_is_written_ends_that_connection(status):
    staged(answered_early(status))


def test_surplus_answers_without_end_do_not_keep_a_request():
    async def work(stage: Stage) -> None:
        stage.plays = [[whole("x") * 40 + whole("r")]]
        stage.send(stage.request("r"))
        await asyncio.sleep(0.2)
        assert stage.came_of["r"] == [Outcome.CONNECTION_LOST]

    staged(work)


# --- the whole proxy, drawn


class Tricky(Server):
    """A server whose requests meet what `script` says, one after the other: what befalls one, and at which
    byte of its answer."""

    script: list[tuple[str, int]]

    async def one(self, talk: Any, message: Message) -> None:
        talk.play = what, at = self.script.pop(0) if self.script else ("", 0)
        id_ = message.fields["loomstand-request-id"]
        if what in ("unread", "refuses twice"):
            self.book.arrived(Run(self.now(), self.service, self.id, id_, "", False), message)
        if what == "unread":
            self.broken(talk)
        elif what == "refuses twice":
            raw = self.said(503, id_, b"full", turned=True)
            talk.transport.write(raw + raw[:at])
            await asyncio.sleep(0.01)
            talk.transport.write(raw[at:])
        else:
            await super().one(talk, message)

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def broken(self, talk: Any) -> None:
        talk.transport.reset()
        talk.transport.fail(ConnectionResetError())

    async def answer(self, talk: Any, id_: str, trouble: str, late: bytes) -> None:
        (what, at), body = talk.play, b"%s of %s" % (id_.encode(), self.id.encode())
        raw = self.said(504 if late else 200, id_, body)
        extra = {
            "again": raw,
            "nobody": self.said(503, "", b"", turned=True),
            "bare": self.said(429, "", b""),
        }
        if what in extra:
            raw += extra[what][:at]
        elif what == "instead":
            raw = extra["nobody"]
        elif what in ("reset", "half", "close", "pause", "long pause"):
            talk.transport.write(raw[:at])
        if what == "reset":
            self.broken(talk)
        elif what == "half":
            talk.transport.write_eof()
        elif what == "close":
            talk.transport.close()
        elif what in ("pause", "long pause"):
            await asyncio.sleep(0.02 if what == "pause" else 3.0)
            if not talk.over:
                talk.transport.write(raw[at:])
        elif what != "silent" and not talk.over:
            talk.transport.write(raw)
            if what in extra:
                await asyncio.sleep(0.004)
                talk.transport.write(extra[what][at:])


class Odd(Cluster):
    """One proxy, two tricky servers a service."""

    def __init__(self, script: list[tuple[str, int]] | None = None) -> None:
        self.script = script or []
        super().__init__(3, cores=1, proxies=1, servers=2)
        self.do(self.begin())
        self.front, self.whole = (US, FRONT), set[str]()

    def server(self, ip: str, service: str, zone: str) -> Server:
        made = super().server(ip, service, zone)
        made.__class__, made.script = Tricky, self.script  # type: ignore[attr-defined]
        return made

    async def asks(self, idempotent: bool, how: str, at: int, size: int) -> None:
        """One client's request, sent in some way; its answers are checked against their ids."""
        many = 2 if how == "pipelined" else 1
        asks = [
            self.client.ask(
                "PUT", "town.example", f"/{'a' if idempotent else 'once'}/x", "key-of-ann", bytes(size),
                idempotent,
            )
            for _ in range(many)
        ]  # fmt: skip
        raw = b"".join(self.client.raw(ask, 2.0) for ask in asks)
        at = len(raw) * at // 400
        try:
            async with asyncio.timeout(3.0):
                talk = await self.streams("10.9.0.1").open(Talk, self.front, 1.0)
                talk.transport.write(raw if how in ("whole", "pipelined", "half", "leaves") else raw[:at])
                if how == "pieces":
                    await asyncio.sleep(0.03)
                    talk.transport.write(raw[at:])
                elif how == "half" and talk.transport.get_write_buffer_size() == 0:
                    talk.transport.write_eof()
                elif how in ("breaks", "leaves"):
                    await asyncio.sleep(0.0 if how == "breaks" else at / 20_000)
                    talk.transport.abort()
                    if how == "leaves" or at == len(raw):
                        self.whole.update(ask.id for ask in asks)
                    return
                self.whole.update(ask.id for ask in asks)
                for ask in asks:
                    got = await talk.message()
                    self.book.got(ask, Reply(got.status, "", got.fields, got.body, self.loop.time()))
        except (Broken, OSError, TimeoutError):
            pass

    async def happens(self, after: float, what: str, lasts: float) -> None:
        await asyncio.sleep(after)
        host, servers = self.proxies[US], [s for many in self.servers.values() for s in many]
        server, there = servers[int(after * 1000) % 2], [s.address[0] for s in servers]
        if what in ("cut", "deaf", "dumb"):
            pairs = {(ip, US) for ip in there} if what != "deaf" else set()
            self.sky.cuts |= pairs | ({(US, ip) for ip in there} if what != "dumb" else set())
        elif what == "away":
            self.sky.cut("10.9.0.1", US)
        elif what == "freeze":
            host.freeze()
        elif what == "server freezes" and server.life is not None:
            server.life.frozen = True
        elif what == "server dies":
            server.kill()
        elif what == "term":
            await host.end()
        await asyncio.sleep(lasts)
        self.sky.mend()
        host.thaw()
        if server.life is not None and server.life.alive:
            server.life.thaw()
        elif server.life is not None:
            server.start()
        if not host.up:
            host.start()


BEFALLS = [
    "", "", "unread", "refuses twice", "again", "nobody", "bare", "instead", "reset", "half", "close",
    "pause", "long pause", "silent",
]  # fmt: skip
HOW = ["whole", "whole", "pieces", "pipelined", "half", "breaks", "leaves"]
HAPPENS = ["cut", "deaf", "dumb", "away", "freeze", "server freezes", "server dies", "term"]
SCRIPT = st.lists(st.tuples(st.sampled_from(BEFALLS), st.integers(0, 250)), max_size=12)
REQUESTS = st.lists(
    st.tuples(
        st.sampled_from((0.0, 0.0, 0.005, 0.02, 0.3)), st.booleans(), st.sampled_from(HOW),
        st.integers(0, 400), st.sampled_from((0, 100, 100, 15_900, 50_000)),
    ),
    min_size=1, max_size=10,
)  # fmt: skip
EVENTS = st.lists(
    st.tuples(st.floats(0.0, 0.5), st.sampled_from(HAPPENS), st.sampled_from((0.05, 0.5, 3.0))), max_size=3
)


def played(script: list[Any], requests: list[Any], events: list[Any]) -> Odd:
    town = Odd(list(script))

    async def work() -> None:
        tasks = [town.loop.create_task(town.happens(*event)) for event in events]
        for gap, *request in requests:
            await asyncio.sleep(gap)
            tasks.append(town.loop.create_task(town.asks(*request)))
        await asyncio.gather(*tasks)
        await asyncio.sleep(12.0)  # what is late comes now

    try:
        town.do(work())
        early = {run.id for run in town.book.runs()} - town.whole
        assert not early, f"ran before they were sent whole: {early}"
    finally:
        town.close()
    return town


@settings(max_examples=120, deadline=None, derandomize=True, database=None,
          suppress_health_check=[HealthCheck.too_slow])  # fmt: skip
@given(SCRIPT, REQUESTS, EVENTS)
def test_drawn_troubles_on_both_sides_mix_no_answers_and_run_nothing_twice(script, requests, events):
    played(script, requests, events)


# --- the fences around the module's decisions


async def held_up(town: Odd) -> tuple[Any, Any, asyncio.Task[Any]]:
    """A request not to be repeated that is out at a server; the proxy, its request there, its end."""
    ask = town.client.ask("PUT", "town.example", "/once/x", "key-of-ann", b"body")
    task = town.loop.create_task(town.client.once(ask, town.front))
    await asyncio.sleep(0.05)
    proxy = town.proxy(US)
    (req,) = [r for r in proxy.reqs.values() if r.request_id == ask.id.encode()]
    assert any(req.flights)
    return proxy, req, task


def fenced(act: str) -> None:
    town = Odd([("pause", 50)] if act == "deny" else [("long pause", 0)])

    async def work() -> None:
        proxy, req, task = await held_up(town)
        if act == "deny":
            proxy.deny(i.Deny(req.id, "given up", 0))
        else:
            for srv in proxy.identifiers:
                proxy.dispatch(i.Dispatch(req.id, srv, req.give_up))
        reply = await task
        assert reply.status not in (408, 421, 429, 503)
        assert len(town.book.runs()) <= 1

    try:
        town.do(work())
    finally:
        town.close()


@pytest.mark.parametrize("act", ["deny", "dispatch"])
def test_whatever_the_module_says_no_promise_and_no_second_sending_while_one_is_out(act):
    fenced(act)


# --- at a start, at a stop, and of a client that does not wait


async def at_a_start(town: Odd) -> None:
    """Requests that come while there is no configuration and no server yet."""
    host = town.proxies[US]
    host.kill()
    await asyncio.sleep(2.0)
    host.start()
    await asyncio.sleep(0.001)
    tasks = []
    for n in range(60):
        tasks.append(town.loop.create_task(town.asks(False, HOW[n % len(HOW)], 200, 100)))
        await asyncio.sleep(0.02)
    await asyncio.gather(*tasks)


async def at_a_stop(town: Odd) -> None:
    """Requests on new and kept connections, from before a SIGTERM until after the next start."""
    host, tasks = town.proxies[US], []
    for n in range(150):
        if n == 50:
            tasks.append(town.loop.create_task(town.happens(0.0, "term", 0.3)))
        ask = town.client.ask("PUT", "town.example", "/once/x", "key-of-ann", b"body")
        tasks.append(town.loop.create_task(town.client.once(ask, town.front, 2.0)))
        tasks.append(town.loop.create_task(town.asks(False, HOW[n % len(HOW)], 200, 100)))
        await asyncio.sleep(0.03)
    await asyncio.gather(*tasks)
    assert host.up


async def not_waiting(town: Odd) -> None:
    """Two requests in one piece, of which the first takes longer."""
    for n in range(20):
        town.script[:] = [("pause", 9 * n), ("", 0)]
        await town.asks(n % 2 == 0, "pipelined", 0, 100)


def odd(work: Callable[[Odd], Any]) -> None:
    town = Odd()

    async def run() -> None:
        await work(town)
        await asyncio.sleep(8.0)
        assert len(town.book.runs()) > 10

    try:
        town.do(run())
    finally:
        town.close()


@pytest.mark.parametrize("work", [at_a_start, at_a_stop, not_waiting])
def test_each_request_has_one_end_around(work):
    odd(work)


# --- each defence taken out is noticed


def taken_at_once(client: Any, handle: Any = FrontClient.handle) -> None:
    handle(client)
    client.req = None


def by_position(link: Any, took: Any = UpstreamConnection.took) -> None:
    link.machine.fields = link.machine.fields | {b"loomstand-request-id": link.flight.req.request_id}
    took(link)


def without_id_by_position(link: Any, took: Any = UpstreamConnection.took) -> None:
    took(link) if b"loomstand-request-id" in link.machine.fields else by_position(link, took)


def used_after_a_silence(pool: Any, flight: Any, why: Ending) -> None:
    if flight.link is not None and flight.link.flight is flight:
        flight.link.wire.stop(why)  # and the others stay


def same_connection(pool: Any, flight: Any, send: Any = UpstreamPool.send) -> None:
    flight.req.met = ()
    send(pool, flight)


def kept_early(link: Any, close: bool) -> None:
    link.flight = None
    link.machine.reset()
    link.pool.keep(link)


def reset_proves(ending: Ending, written: bool) -> Outcome:
    return Outcome.NO_CONNECTION if ending in (Ending.RESET, Ending.CLOSED) else Outcome.NO_ANSWER


def refused_anyhow(proxy: Any, act: Any) -> None:
    proxy.answer(proxy.reqs[act.req], 503)


AHEAD = surplus(SURPLUS["again"], ahead=True)
NOBODYS = surplus(SURPLUS["nobody's refusal"], ahead=True)
MUTANTS: dict[str, tuple[Any, str, Any, Callable[[], None]]] = {
    "match by position": (UpstreamConnection, "took", by_position, lambda: staged(AHEAD)),
    "match by position where there is no id": (
        UpstreamConnection, "took", without_id_by_position, lambda: staged(NOBODYS),
    ),
    "reuse after a silence": (UpstreamPool, "give_up", used_after_a_silence, lambda: staged(a_silence)),
    "close without a reset": (Wire, "sever", lambda wire: None, lambda: staged(behind_a_cut)),
    "second sending on the same connection": (
        UpstreamPool, "send", same_connection, lambda: staged(refused_twice),
    ),
    "a bare 503 is a promise": (upstream, "own", lambda *_: True, lambda: staged(bare_promises(503))),
    "an early answer's connection is kept": (
        UpstreamConnection, "done", kept_early, lambda: staged(answered_early(503)),
    ),
    "a reset is a proof": (servers, "outcome", reset_proves, every_byte),
    "sent past its deadline": (UpstreamConnection, "opened", Link.opened, lambda: staged(thaws_late)),
    "the next request is taken up while one is out": (
        FrontClient, "handle", taken_at_once, lambda: odd(not_waiting),
    ),
    "a refusal while it is out": (Proxy, "deny", refused_anyhow, lambda: fenced("deny")),
    "a second sending while one is out": (
        Proxy, "try_limit", lambda proxy, req: 9, lambda: fenced("dispatch"),
    ),
}  # fmt: skip


@pytest.mark.parametrize("name", MUTANTS)
def test_without_a_defence_its_test_fails(name, monkeypatch):
    owner, attribute, mutant, test = MUTANTS[name]
    monkeypatch.setattr(owner, attribute, mutant)
    with pytest.raises(AssertionError):
        test()
