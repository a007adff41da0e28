"""The registry: drives its tables by what limiters, other registries and the calls from outside
say.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
import zlib
from collections.abc import Callable, Iterable
from random import Random
from typing import Any

from absl import logging
from expression import Error, Result

from loomstand.config.configuration import Configuration, ConfigurationError, ConfigurationReader
from loomstand.config.settings import Settings
from loomstand.config.units import format_address
from loomstand.registry.clock import Clock
from loomstand.registry.counters import Counters
from loomstand.registry.counting_lease import CountingLease
from loomstand.registry.heartbeats import BadCall, beat
from loomstand.registry.http_routing import Asked, method, path, query
from loomstand.registry.instances import DRAINING, GONE, InstanceTable, from_row
from loomstand.registry.limiters import LimiterTable
from loomstand.registry.quota_buckets import SLOTS, QuotaBuckets
from loomstand.registry.quota_grants import QuotaGrants
from loomstand.registry.rescue import rescue
from loomstand.rpc.errors import CallFailure, CallRefusedError
from loomstand.rpc.network import Address, Body, Network, transfer_seconds
from loomstand.store import freshness

TELL = 1.0  # seconds between what registries tell each other unasked
# a drain's acknowledgement waits so long for the others; servers wait a second for it
TOLD_WITHIN = 0.35
STATUS = 0.4  # seconds in which the store answers
SETTLED = 3.0  # seconds after its start by when it doesn't start together with others
WAITS = 0.8  # seconds for which the store beside it holds back an answer without news
KNOWN = 1.2  # seconds for which the store's last word counts: the length of its lease
STORE_WITHIN = 0.95  # operators wait a second
READ_WITHIN = 0.8
# Bytes from which a configuration is packed for limiters. A usual one of 7 KB comes to a fifth,
# thousands of routes, which a hundred limiters ask for at once, to a twentieth; packing 3 MB takes
# 15 ms, once a version.
PACKED = 2_000
# Bytes from which quotas are learnt only once the limiters had the time to ask, and those seconds:
# to read thousands of routes takes longer here than to hand them out.
LATER = 500_000, 0.2
# Bytes of orders in hand at once: each costs twenty times its size while it is read, and is held
# until the store has it. Eight of 8 MB at once took this process to 330 MB of its 296; so they take
# it to 201.
IN_HAND = 12 << 20
ASK = 0.6  # seconds that a limiter's call waits for news: half of what a session stands


class Registry:
    """One registry. `clock` is steady, in seconds; `wall` is the time of day at the start, in
    seconds.
    """

    def __init__(
        self,
        settings: Settings,
        network: Network,
        clock: Callable[[], float],
        wall: float | None = None,
    ) -> None:
        self.settings, self.network, self.clock = settings, network, clock
        self.life = f"{time.time_ns() if wall is None else int(wall * 1e9):x}-{settings.ip_address}"
        self.instances, self.limiters = InstanceTable(settings.heartbeat_seconds), LimiterTable()
        self.counters = Counters(0)
        self.quota_buckets = QuotaBuckets()
        self.grants = QuotaGrants(settings.bounds)
        self.empty_at = -SETTLED  # when the store last said that there never was a configuration
        self.common = Clock((time.time() if wall is None else wall) - clock())
        self.own: dict[str, int] = {}  # the servers that spoke here lately, with their sequence
        # Servers that another registry wasn't told of, as where it was cut off: it is told with the
        # rounds.
        self.owed: dict[Address, set[str]] = {}
        self.rng = Random(self.life)
        self.sessions: dict[int, str] = {}  # limiters by the number of their session
        self.began = self.rng.getrandbits(14)
        self.hands_told = 0  # of the limiters' versions
        self.facts = 0  # grows with what limiters hear beside servers
        self.version, self.data = 0, b""  # the configuration
        self.reader = ConfigurationReader()
        self.parsed: Configuration | None = None  # the last that was read
        self.packed = 0, b""  # the version held, as `fetch` sends it
        self.in_hand = 0  # bytes of orders that wait for the store
        # whether the store last said that it is the newest: a primary was heard of
        self.said_sure = False
        # that word counts no longer; it may come from before this process froze
        self.sure_until = clock()
        self.holding = CountingLease(settings.ip_address, self.rng.getrandbits(32))
        self.settled = clock() + SETTLED
        self.turn = asyncio.Event()  # something has changed about who counts
        self.cores: tuple[str, ...] = tuple(
            sorted({settings.ip_address, *(ip for ip, _ in settings.seed_nodes)})
        )
        self.waiting: dict[asyncio.Future[None], None] = {}  # the longest first
        self.tasks: set[asyncio.Task[Any]] = set()
        self.stopping = False
        self.offering = False
        self.calls = path(
            {
                "/api/rpc": method(
                    {
                        "POST": query(
                            "call",
                            {
                                "instances.heartbeat": self.heartbeat,
                                "instances.leave": self.leaving,
                                "configuration.replace": self.replace,
                                "configuration.read": self.read,
                                "system.status": self.status,
                                "system.rescue": self.rescue,
                            },
                        )
                    }
                )
            }
        )
        self.ops = {
            "ask": self.ask,
            "fetch": self.fetch,
            "count": self.count,
            "grant": self.grant,
            "bye": self.bye,
            "offer": self.offer,
            "tell": self.told,
            "whole": self.whole,
        }

    # life

    async def run(self) -> None:
        """Serves until `stop`."""
        await self.network.listen(
            self.settings.registry_address(self.settings.ip_address), self.serve
        )
        await asyncio.gather(self.greet(), self.watch(), self.lease(), self.tend())

    def stop(self) -> None:
        self.stopping = True
        self.wake()
        self.turn.set()

    def others(self) -> list[Address]:
        return [
            self.settings.registry_address(ip)
            for ip in self.cores
            if ip != self.settings.ip_address
        ]

    def wake(self) -> None:
        """Something limiters hear of has changed."""
        waiting, self.waiting = self.waiting, {}
        for waits in waiting:
            if not waits.done():
                waits.set_result(None)

    def fact(self) -> None:
        self.facts += 1
        self.wake()

    async def news(self, there: Callable[[], bool], within: float) -> None:
        """Waits until there is news, at most `within` seconds."""
        until = self.clock() + within
        while not there() and (left := until - self.clock()) > 0 and not self.stopping:
            waits: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self.waiting[waits] = None
            try:
                await asyncio.wait_for(waits, left)
            except TimeoutError:
                return
            finally:
                self.waiting.pop(waits, None)

    # the system's own calls

    async def serve(self, op: str, body: Body) -> Body:
        if (known := self.ops.get(op)) is None:
            raise CallRefusedError(f"no call {op!r}")
        try:
            return await known(body)
        except (KeyError, TypeError, ValueError) as why:
            raise CallRefusedError(f"{op}: {type(why).__name__}: {why}") from None

    async def ask(self, body: Body) -> Body:
        """A limiter's session: what is newer than what it has, at once, else when there is
        something.
        """
        session, have, facts = int(body.get("s", 0)), int(body["h"]), int(body["f"])
        anew = session not in self.sessions
        if anew:
            if "name" not in body:
                raise CallRefusedError("no such session")
            session, have, facts = self.begin(str(body["name"])), -1, -1
        name = self.sessions[session]
        self.limiters.spoke(name, self.clock())
        self.heed()
        # all registries started anew: the clock goes on
        if not self.common.timed and body.get("clock"):
            self.common.told(float(body["clock"]) / 1e4, self.clock())
        theirs, full = int(body["c"]), int(body.get("q", 0)) if not anew else 0

        def there() -> bool:
            known = (
                self.instances.version <= have and self.facts == facts and self.version <= theirs
            )
            return not known or self.quota_buckets.version > full

        await self.news(there, ASK)
        now = self.clock()
        self.limiters.spoke(name, now)
        said: Body = {"s": session} if anew else {}
        if self.instances.version > have:
            said |= {"h": self.instances.version, "rows": self.instances.news(have, now)}
        if self.facts != facts:
            who = self.holding.counter
            counter = [*self.settings.registry_address(who), *self.holding.term] if who else None
            said |= {
                "f": self.facts,
                "fleet": self.limiters.fleet(name),
                "counter": counter,
                "cores": list(self.cores),
                "sure": self.sure,
                "clock": self.common.tenths(now, self.holding.counts(now)),
            }
        if self.quota_buckets.version > full:
            news = [
                [n, total, self.grants.closed(n >> SLOTS)]
                for n, total in self.quota_buckets.news(full)
            ]
            said |= {"q": self.quota_buckets.version, "full": news}
        if self.version > theirs:
            said["c"] = self.version
        elif theirs > self.version:
            said["give"] = True  # it may be all that is left of a configuration
        return said

    def begin(self, name: str) -> int:
        """A session under a number of its own: calls a second to every limiter are kept short by
        it.
        """
        for old in [number for number, other in self.sessions.items() if other == name]:
            del self.sessions[old]
        self.began += 1
        # not one of this registry's former life
        number = self.began << 16 | self.rng.getrandbits(16)
        self.sessions[number] = name
        return number

    def heed(self) -> None:
        """Tells limiters if their set has changed."""
        if self.limiters.version != self.hands_told:
            self.hands_told = self.limiters.version
            self.fact()

    async def fetch(self, body: Body) -> Body:
        """The configuration; packed for one that says `z`, if it's large."""
        if not body.get("z") or len(self.data) < PACKED:
            return {"version": self.version, "data": self.data}
        if self.packed[0] != self.version:
            self.packed = self.version, zlib.compress(self.data, 1)
        return {"version": self.version, "z": self.packed[1]}

    async def offer(self, body: Body) -> Body:
        """A limiter holds a newer configuration than this registry: the store may have lost it."""
        version, data = int(body["version"]), bytes(body["data"])
        if version > self.version:
            await self.store(
                "offer",
                {"version": version, "data": data},
                STORE_WITHIN + transfer_seconds(len(data)),
            )
        return {}

    async def count(self, body: Body) -> Body:
        now = self.clock()
        if not self.holding.counts(now):
            raise CallRefusedError("another counts")
        name, step = int(body["name"]), float(body["step"])
        total, young = (
            self.counters.add(name, step, float(body["keep"]), now),
            self.counters.young(now),
        )
        if self.quota_buckets.counted(name, step, total, now, not young):
            self.wake()
        return {"total": total, "counts": self.counters.number} | ({"young": True} if young else {})

    async def grant(self, body: Body) -> Body:
        """A limiter's call for credits."""
        now = self.clock()
        if not self.holding.counts(now):
            raise CallRefusedError("another counts")
        name, life, number = str(body["name"]), int(body["life"]), int(body["number"])
        self.grants.tick(now, self.limiters.ranks)
        grants = self.grants.call(name, life, number, bool(body["alone"]), body["entries"], now)
        return {"number": self.grants.number} | ({} if grants is None else {"grants": grants})

    async def bye(self, body: Body) -> Body:
        self.limiters.ended(str(body["name"]), self.clock())
        self.grants.left(str(body["name"]))
        self.heed()
        if not body.get("told"):
            await self.tell_all("bye", {"name": body["name"], "told": True}, TOLD_WITHIN)
        return {}

    async def whole(self, body: Body) -> Body:
        """For a registry that has just started."""
        now = self.clock()
        ages = {id_: now - at for id_, at in self.instances.heard.items()}
        return {
            "rows": self.instances.news(0, now),
            "ages": ages,
            "clock": self.common.at(now),
            "timed": self.common.timed,
        }

    async def told(self, body: Body) -> Body:
        """Another registry tells what it heard: rows of servers that changed, and who is alive."""
        now, ages = self.clock(), body.get("ages", {})
        for row in body.get("rows", ()):
            self.sow(row, now, float(ages.get(row[0], 0.0)))
        alive = body.get("alive", {})
        unknown = [i for i, (n, age) in alive.items() if not self.instances.alive(i, n, now - age)]
        for name, age in body.get("hands", {}).items():
            self.limiters.told(name, now - float(age), now)
        if counts := body.get("counts"):
            self.named(None, counts)
        if counts and not self.holding.counts(now) and self.common.told(float(body["clock"]), now):
            self.fact()
        self.heed()
        return {"unknown": unknown, "same": body.get("crew") == self.limiters.crew()}

    def sow(self, row: list[Any], now: float, age: float) -> None:
        if self.instances.take(from_row(row, now), now - age):
            self.wake()

    async def spread(self, id_: str, within: float) -> None:
        """Tells the other registries of a server that changed; those not reached hear it in later
        rounds.
        """
        said = {"rows": list(self.instances.rows([id_], self.clock()))}

        async def one(to: Address) -> None:
            if (await self.network.call(to, "tell", said, within)).is_error():
                self.owe(to, [id_])

        await asyncio.gather(*(one(to) for to in self.others()))

    def owe(self, to: Address, ids: Iterable[str]) -> None:
        self.owed.setdefault(to, set()).update(ids)

    async def tell_all(self, op: str, body: Body, within: float) -> list[Result[Body, CallFailure]]:
        others = self.others()
        return await asyncio.gather(*(self.network.call(to, op, body, within) for to in others))

    # its own rounds

    async def greet(self) -> None:
        """Takes what the others know, so that nobody waits for the next heartbeats."""
        for got in await self.tell_all("whole", {}, 0.5):
            if got.is_ok():
                now, body = self.clock(), got.ok
                for row in body["rows"]:
                    self.sow(row, now, float(body["ages"].get(row[0], 0.0)))
                if body["timed"]:
                    self.common.told(float(body["clock"]), now)

    async def tend(self) -> None:
        """Once a second: what has fallen silent, and what the others need to hear."""
        while not self.stopping:
            await asyncio.sleep(TELL)
            now = self.clock()
            self.limiters.sweep(now)
            self.counters.sweep(now)
            self.grants.sweep(now, self.limiters.ranks)
            if self.instances.sweep(now):
                self.wake()
            self.heed()
            if self.common.lately(now):
                self.fact()
            heard, self.own = self.own, {}
            alive = {i: [n, now - self.instances.heard.get(i, now)] for i, n in heard.items()}
            counts = [*self.holding.term, self.holding.host] if self.holding.counts(now) else None
            crew = self.limiters.crew()
            said = {"alive": alive, "crew": crew, "clock": self.common.at(now), "counts": counts}
            others = self.others()
            self.owed = {to: self.owed[to] for to in others if self.owed.get(to)}
            for to in others:
                self.spawn(self.tell(to, said))

    async def tell(self, to: Address, said: Body) -> None:
        if owed := self.owed.pop(to, None):
            now = self.clock()
            ages = {i: now - self.instances.heard.get(i, now) for i in owed}
            said = said | {"rows": list(self.instances.rows(owed, now)), "ages": ages}
        got = await self.network.call(to, "tell", said, TELL)
        if got.is_error():
            self.owe(to, owed or ())
            return
        more: Body = {}
        if unknown := got.ok.get("unknown"):
            now = self.clock()
            ages = {i: now - self.instances.heard.get(i, now) for i in unknown}
            more = {"rows": list(self.instances.rows(unknown, now)), "ages": ages}
        # it has no session with some limiter that has one here, or the reverse
        if not got.ok.get("same"):
            more["hands"] = self.limiters.told_of(self.clock())
        if more:
            await self.network.call(to, "tell", more, TELL)

    def spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def watch(self) -> None:
        """Asks the store beside it for news of the configuration and of the core's machines."""
        here, heard, mark = self.settings.store_address(self.settings.ip_address), self.clock(), 0
        while not self.stopping:
            asked = self.clock()
            said = {"have": self.version, "mark": mark, "within": WAITS}
            got = await self.network.call(here, "wait", said, KNOWN)
            if got.is_ok():
                heard, mark = asked, int(got.ok.get("mark", 0))
                self.heard_store(got.ok, asked)
                continue
            # it may be cut off, as far as is known here
            if self.said_sure and self.clock() - heard >= KNOWN:
                self.said_sure = False
                self.fact()
            await asyncio.sleep(0.1)

    async def lease(self) -> None:
        """Asks for the duty to count while it's this one's turn, and gives it back at the end."""
        holding = self.holding
        while not self.stopping:
            self.turn.clear()
            if holding.asks():
                stores = holding.whom([self.settings.store_address(ip) for ip in self.cores])
                holding.lost = not any(await asyncio.gather(*(self.claim(to) for to in stores)))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(holding.pause(self.clock()) if holding.asks() else None):
                    await self.turn.wait()
        if holding.counts(self.clock()):
            holding.until, back = 0.0, holding.body(back=True)
            # all of them: where the whole machine leaves, the reign is just being handed on
            stores = [self.settings.store_address(ip) for ip in self.cores]
            await asyncio.gather(*(self.network.call(to, "duty", back, STATUS) for to in stores))

    async def claim(self, to: Address) -> bool:
        """Asks one store, which may be the primary or about to be it."""
        sent = self.clock()
        got = await self.network.call(to, "duty", self.holding.body(), STATUS)
        if got.is_ok():
            self.named(to, got.ok["duty"])
            self.holding.granted(sent, float(got.ok["span"]))
        return got.is_ok()

    def named(self, primary: Address | None, duty: list[Any] | None) -> None:
        """Somebody says who counts."""
        before = (self.holding.primary, self.holding.term)
        if self.holding.heard(self.clock(), primary, duty):
            self.fact()
        if self.holding.gap and not self.holding.counts(self.clock()):
            self.holding.gap = False
            now = self.clock()
            self.counters = Counters(self.rng.getrandbits(24), now > self.settled)
            self.quota_buckets.anew()
            self.grants.anew(self.counters.number, now, self.unused())
        if before != (self.holding.primary, self.holding.term):
            self.turn.set()

    @property
    def sure(self) -> bool:
        """Whether the configuration held is known to be the newest."""
        return self.said_sure and self.clock() < self.sure_until

    def heard_store(self, said: Body, asked: float) -> None:
        """What the store says of itself, asked at that time."""
        self.sure_until = asked + WAITS + KNOWN
        if int(said["version"]) > self.version and "data" in said:
            known = self.version > 0 or self.unused()
            self.version, self.data = int(said["version"]), bytes(said["data"])
            logging.info("configuration r%d held", self.version)
            if len(self.data) < LATER[0]:
                self.quotas(known)
            else:
                asyncio.get_running_loop().call_later(LATER[1], self.quotas, known)
            self.wake()
        if int(said["version"]) == 0 == self.version and said.get("ready") and said.get("primary"):
            self.empty_at = self.clock()
        if int(said["version"]) < self.version and not self.offering:
            # its store has lost it, and may be the one that is asked what is left
            self.offering = True
            self.spawn(self.give())
        primary = said.get("primary")
        self.named((str(primary[0]), int(primary[1])) if primary else None, said.get("duty"))
        sure = (
            bool(said.get("ready")) and primary is not None and int(said["version"]) <= self.version
        )
        cores = tuple(
            sorted({self.settings.ip_address, *(str(a[0]) for a in said.get("cores", ()))})
        )
        if (sure, cores) != (self.said_sure, self.cores):
            self.said_sure, self.cores = sure, cores
            self.fact()

    async def give(self) -> None:
        """Gives the store beside it the configuration held here, which that doesn't know to be in
        force.
        """
        here = self.settings.store_address(self.settings.ip_address)
        try:
            said = {"version": self.version, "data": self.data}
            await self.network.call(
                here, "offer", said, STORE_WITHIN + transfer_seconds(len(self.data))
            )
        finally:
            self.offering = False

    def unused(self) -> bool:
        """Whether there was no configuration until just now, so that nobody had a quota."""
        return self.clock() - self.empty_at < SETTLED

    def quotas(self, known: bool) -> None:
        """Another configuration is held; `known`: the one before it, or that there was none."""
        try:
            if self.parsed is None or self.parsed.raw != self.data:
                self.parsed = self.reader.parse(self.data)
            tenants = self.parsed.tenants or ()
            self.quota_buckets.learn(tenants)
            self.grants.learn(tenants, known and self.holding.counts(self.clock()))
        except ConfigurationError as why:  # it was checked before it was stored: a fault of ours
            logging.error("configuration r%d can't be used: %s", self.version, why)

    async def store(self, op: str, body: Body, within: float) -> Result[Body, CallFailure]:
        """Calls the store: the one beside this registry hands on to the primary; others where it is
        down.
        """
        here, asked, until = self.settings.ip_address, self.clock(), self.clock() + within
        got = await self.network.call(self.settings.store_address(here), op, body, within)
        for ip in self.cores:
            left = until - self.clock()
            if got.is_ok() or got.error is not CallFailure.NEVER_RAN or left < 0.05:
                break
            if ip != here:
                got = await self.network.call(self.settings.store_address(ip), op, body, left)
        if got.is_ok() and not freshness.remaining_seconds(
            got.ok.get("left"), asked, self.clock(), within
        ):
            # this process froze meanwhile, or the answer lay in a socket
            return Error(CallFailure.MAY_HAVE_RUN)
        return got

    # calls from outside

    async def outside(self, method: bytes, target: bytes, body: bytes) -> tuple[int, bytes]:
        """Status and body of the answer to a call of a server or an operator."""
        asked = Asked.of(method, target)
        found = self.calls.match(asked)
        if isinstance(found, int):
            return found, problem(
                f"no call {asked.method} {asked.path} call={asked.query.get('call', '')}"
            )
        try:
            return await found(asked, body)
        except BadCall as why:
            return 400, problem(str(why))

    async def heartbeat(self, asked: Asked, body: bytes) -> tuple[int, bytes]:
        instance = beat(asked.query.get("of", ""), body, self.clock())
        now = self.clock()
        self.own[instance.id] = max(instance.sequence, self.own.get(instance.id, 0))
        if self.instances.take(instance, now):
            self.wake()
            if instance.state == DRAINING:
                await self.spread(instance.id, TOLD_WITHIN)
            else:
                self.spawn(self.spread(instance.id, TELL))
        return 200, b"{}"

    async def leaving(self, asked: Asked, body: bytes) -> tuple[int, bytes]:
        id_ = asked.query.get("of", "")
        if not id_:
            raise BadCall("of: a server's id is needed")
        if self.instances.leave(id_):
            self.wake()
            await self.spread(id_, TOLD_WITHIN)
        return 200, b"{}"

    async def replace(self, asked: Asked, body: bytes) -> tuple[int, bytes]:
        if self.in_hand and self.in_hand + len(body) > IN_HAND:
            return 503, problem("busy with other large configurations")
        self.in_hand += len(body)
        try:
            return await self.order(body)
        finally:
            self.in_hand -= len(body)

    async def order(self, body: bytes) -> tuple[int, bytes]:
        try:
            configuration = self.parsed = self.reader.parse(body)
        except ConfigurationError as why:
            return 400, problem(str(why))
        within = STORE_WITHIN + transfer_seconds(len(body))
        got = await self.store("put", {"version": configuration.version, "data": body}, within)
        if got.is_ok():
            held = f"r{int(got.ok['version'])}"
            if got.ok.get("conflict"):
                said = (
                    f"r{configuration.version} was taken with another content; {held} is in force"
                )
                return 409, problem(said)
            return 200, json.dumps({"version": held}).encode()
        return 503, problem(f"not stored: {got.error.value}")

    async def read(self, asked: Asked, body: bytes) -> tuple[int, bytes]:
        got = await self.store("read", {}, READ_WITHIN + transfer_seconds(len(self.data)))
        if got.is_ok() and got.ok.get("data"):
            return 200, bytes(got.ok["data"])
        return 503, problem("no store that knows the newest is in reach")

    async def status(self, asked: Asked, body: bytes) -> tuple[int, bytes]:
        """How the system stands as seen from here, for operators; no key is in it."""
        here = self.settings.ip_address
        got = await self.network.call(self.settings.store_address(here), "status", {}, STATUS)
        store = got.ok if got.is_ok() else None
        left = max(0.0, self.holding.until - self.clock())
        servers: dict[str, dict[str, int]] = {}
        for instance in self.instances.instances.values():
            if instance.state != GONE:
                states = servers.setdefault(instance.service, {})
                states[instance.state] = states.get(instance.state, 0) + 1
        said = {
            "name": self.settings.node_name,
            "life": self.life,
            "configuration": {"version": f"r{self.version}", "sure": self.sure},
            "counting": {
                "by": self.holding.counter or None,
                "here": left > 0,
                "left": f"{round(1000 * left)}ms",
            },
            "limiters": {
                "present": list(self.limiters.present),
                "missing": list(self.limiters.missing),
            },
            "servers": servers,
            "cores": self.controls(),
            "store": store
            and {
                "version": f"r{int(store['version'])}",
                "epoch": int(store["epoch"]),
                "primary": text(store["primary"]),
                "backup": text(store.get("backup")),
                "ready": bool(store["ready"]),
                "conflicts": int(store.get("conflicts", 0)),
            },
        }
        return 200, json.dumps(said).encode()

    async def rescue(self, asked: Asked, body: bytes) -> tuple[int, bytes]:
        status, said = await rescue(
            self.network, self.settings.store_address(self.settings.ip_address), body
        )
        return status, json.dumps(said).encode()

    def controls(self) -> list[str]:
        """Where each core machine takes these calls: the seeds are told with their ports, the
        others are taken to have this one's.
        """
        known, own = dict(self.settings.seed_nodes), self.settings.listen_addresses.control_plane
        if own is not None:
            known = {**dict.fromkeys(self.cores, own[1]), **known, own[0]: own[1]}
        return [format_address((ip, known[ip])) for ip in self.cores if ip in known]


def text(where: list[Any] | None) -> str | None:
    """An address as it comes in a body."""
    return format_address((str(where[0]), int(where[1]))) if where else None


def problem(text: str) -> bytes:
    return json.dumps({"error": text}).encode()
