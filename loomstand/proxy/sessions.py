"""The limiter's sessions with the registries: it asks each with the versions that it has, and hears
news.
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable
from random import Random
from typing import Any, Protocol, TypeVar

from absl import logging
from expression import Error, Result

from loomstand.config.settings import Settings
from loomstand.registry.instances import Row
from loomstand.rpc.errors import CallFailure
from loomstand.rpc.network import Address, Body, Network

ASK_WITHIN = 1.0  # seconds; a registry answers after 0.6 where there is no news
# Seconds between two askings of one registry. Where much changes at once, as when all start, each
# change was an answer to every limiter; so they come together. The first is heard at once, others
# by this later.
APART = 0.1
HEARD = 2.0  # seconds for which a registry's last word on limiters counts
FETCH_WITHIN, FETCH_MOST = 0.8, 3.2  # seconds; the longest after tries in vain
# bytes: the most that a frame holds, so a registry has none that is larger
MOST_UNPACKED = 16 << 20
# Seconds after which another session may bring it too. On links that lose one packet in twenty the
# one that was first to fetch held up all others for the whole of its 0.8 s; usual answers take some
# ms.
HEDGE = 0.15
# the first and the longest pause, in seconds, before a registry that fails is asked again
AGAIN = (0.1, 0.5)
# Seconds for which a registry that nobody lists and that doesn't answer is asked on: seeds may be
# exchanged.
FORGOTTEN = 10.0

T = TypeVar("T")


def unpacked(said: Body) -> bytes:
    """The configuration in a registry's answer; nothing if it can't be unpacked."""
    if "z" not in said:
        return bytes(said["data"])
    try:
        return zlib.decompressobj().decompress(said["z"], MOST_UNPACKED)
    except zlib.error as why:
        logging.error("configuration r%s can't be unpacked: %s", said["version"], why)
        return b""


class SessionListener(Protocol):
    """Who uses the sessions."""

    def servers(self, registry: str, rows: list[Row], anew: bool) -> None: ...

    def limiters(self, me: int, many: int, silent: int) -> None: ...

    def configured(self, version: int, data: bytes) -> bool: ...

    def full(self, totals: list[list[float]]) -> None: ...

    def clock_told(self, clock: int | None, sure: bool) -> None: ...

    def common_clock(self) -> int | None: ...


class Sessions:
    """One session for each core machine."""

    def __init__(
        self,
        settings: Settings,
        network: Network,
        clock: Callable[[], float],
        rng: Random,
        user: SessionListener,
    ) -> None:
        self.settings, self.network, self.clock, self.rng, self.user = (
            settings,
            network,
            clock,
            rng,
            user,
        )
        self.version, self.data = 0, b""
        # by registry: who counts, by its term
        self.counters: dict[str, tuple[tuple[int, ...], Address]] = {}
        # by registry: how many limiters, -silent, own place
        self.sets: dict[str, tuple[int, int, int]] = {}
        self.cores: dict[str, asyncio.Task[None]] = {}
        # when a core machine was last listed by a registry, or answered
        self.listed: dict[str, float] = {}
        self.standing: dict[str, float] = {}  # when each registry last answered
        self.fetching = -HEDGE  # since when
        self.within = FETCH_WITHIN
        self.stopping = False

    def start(self) -> None:
        for ip, _ in self.settings.seed_nodes:
            self.add(ip)

    def reload(self, settings: Settings) -> None:
        """The seeds may be others now."""
        self.settings = settings
        self.start()

    def add(self, ip: str) -> None:
        self.listed[ip] = self.clock()
        if ip not in self.cores and not self.stopping:
            self.cores[ip] = asyncio.get_running_loop().create_task(self.session(ip))

    async def stop(self) -> None:
        """Ends the sessions: the place is free at once."""
        self.stopping = True
        tasks, self.cores = list(self.cores.values()), {}
        for task in tasks:
            task.cancel()
        said = {"name": self.settings.node_name}
        calls = [
            self.network.call(self.settings.registry_address(ip), "bye", said, 0.2)
            for ip in self.standing
        ]
        await asyncio.gather(*calls)

    async def session(self, ip: str) -> None:
        """Asks one registry again and again."""
        address, pause = self.settings.registry_address(ip), AGAIN[0]
        session, have, facts, sure, full = 0, 0, -1, False, 0
        while True:
            said: Body = {"h": have, "f": facts, "c": self.version}
            new = {"name": self.settings.node_name, "clock": self.user.common_clock()}
            said |= {"s": session} if session else new
            if full:
                said["q"] = full
            asked = self.clock()
            got = await self.network.call(address, "ask", said, ASK_WITHIN)
            if got.is_error():
                if got.error is CallFailure.REFUSED and session:
                    session = 0  # the registry has started anew
                    continue
                seed = any(ip == known for known, _ in self.settings.seed_nodes)
                if self.clock() - self.listed[ip] > FORGOTTEN and not seed:
                    self.standing.pop(ip, None)
                    del self.cores[ip]
                    return
                await asyncio.sleep(pause * (0.5 + self.rng.random()))
                pause = min(AGAIN[1], 2 * pause)
                continue
            pause, now, body = AGAIN[0], self.clock(), got.ok
            self.standing[ip] = self.listed[ip] = now
            anew = "s" in body
            session, have = body.get("s", session), body.get("h", have)
            if "rows" in body or anew:
                self.user.servers(ip, body.get("rows", []), anew)
            full = 0 if anew else full
            if "full" in body:
                full = body["q"]
                self.user.full(body["full"])
            newer = body.get("c", 0) > self.version
            if "f" in body:
                facts, sure = body["f"], bool(body["sure"])
                self.facts(ip, body)
                # what is held is the newest for sure only once it is what the registry has
                self.user.clock_told(body["clock"], sure and not newer)
            if newer:
                await self.fetch(address)
                if sure and body["c"] <= self.version:
                    self.user.clock_told(None, True)
            if body.get("give") and self.data:
                await self.network.call(
                    address, "offer", {"version": self.version, "data": self.data}, FETCH_WITHIN
                )
            if (early := asked + APART - self.clock()) > 0:
                await asyncio.sleep(early)

    def facts(self, ip: str, body: Body) -> None:
        """What a registry says beside servers. Of limiters the one that knows most is right: one
        that just started doesn't know those that are cut off; of two, one that still hears a
        limiter.
        """
        for core in body["cores"]:
            self.add(core)
        if body["counter"]:
            where, port, *term = body["counter"]
            self.counters[ip] = (tuple(term), (where, port))  # one of before the duty tells no term
        me, many, silent = body["fleet"]
        self.sets[ip] = (many, -silent, me)
        many, heard, me = max(self.stand(self.sets))
        self.user.limiters(me, many, -heard)

    def stand(self, said: dict[str, T]) -> list[T]:
        """What the registries said that are in touch."""
        return [v for k, v in said.items() if self.clock() - self.standing.get(k, -HEARD) <= HEARD]

    async def fetch(self, address: Address) -> None:
        """Brings the newer configuration, once for all sessions."""
        if self.clock() - self.fetching < HEDGE:
            await asyncio.sleep(0.05)  # another session brings it
            return
        asked = self.fetching = self.clock()
        got = await self.network.call(address, "fetch", {"z": True}, self.within)
        self.fetching = -HEDGE
        # of thousands of routes to many limiters at once it may take longer: each try in vain is
        # given more
        took = self.clock() - asked if got.is_ok() else self.within
        self.within = max(FETCH_WITHIN, min(FETCH_MOST, 2 * took))
        if got.is_ok() and got.ok["version"] > self.version:
            version, data = int(got.ok["version"]), unpacked(got.ok)
            if data and self.user.configured(version, data):
                self.version, self.data = version, data
                logging.info("configuration r%d in force", version)

    async def count(
        self, body: dict[str, Any], within: float, op: str = "count"
    ) -> Result[Body, CallFailure]:
        """A call to the counter, wherever it is."""
        if not (said := self.stand(self.counters) or [*self.counters.values()]):
            return Error(CallFailure.NEVER_RAN)
        return await self.network.call(max(said)[1], op, body, within)
