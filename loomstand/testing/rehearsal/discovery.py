"""The stand-in discovery: whole lists and watches, each limiter with its own addresses, as PROTOCOL
has it.

It can be late, silent, overbooked, and hold only half of the list.
Says to the stage whom it has told a list, the first time each.
Trail rows: `call` (limiter, status), `told` (limiter, whole, [[server, phase, booted ms], ...]).
"""

from __future__ import annotations

import asyncio
import contextlib
import re
from math import ceil

from loomstand.testing.rehearsal.child import Trail, say
from loomstand.testing.rehearsal.wire import BEAT, WATCHING, chunk, read_message, said

BEAT_S = 2.0  # PROTOCOL: an empty line comes every 2 s while nothing changes
INDEX = re.compile(rb"GET /api/targets\?stream=1&index=(\d+) ").match
GONE = "left"


class Discovery:
    def __init__(self, config: dict) -> None:
        self.trail, self.late = Trail(config["trail"]), config["late_s"]
        self.bears, self.left, self.at = config["bears"], config["bears"], 0.0
        self.addresses: list[list[str]] = config["addresses"]  # by limiter and server
        self.members = {n: dict(m) for n, m in enumerate(config["members"])}
        self.changed = dict.fromkeys(self.members, 1)  # the revision of each member's last change
        self.revision, self.silent, self.share = 1, False, 1.0
        self.news = asyncio.Event()
        self.knowing: set[int] = set()  # limiters that were told

    def bear(self) -> bool:
        """Whether it has room for one more call: as many at once as a second's."""
        now = asyncio.get_running_loop().time()
        self.left, self.at = min(self.bears, self.left + self.bears * (now - self.at)), now
        if not self.bears:
            return True
        self.left -= (room := self.left >= 1)
        return room

    def list_for(self, limiter: int, since: int, whole: bool) -> dict:
        """What changed after a revision, or all that is there."""
        here = range(ceil(len(self.members) * self.share)) if whole else self.members
        named = [
            n
            for n in here
            if (self.members[n]["phase"] != GONE if whole else self.changed[n] > since)
        ]
        rows = [(n, self.members[n]) for n in named]
        self.trail("told", limiter, whole, [[n, m["phase"], m["up_since_ms"]] for n, m in rows])
        members = [{**m, "host_port": self.addresses[limiter][n]} for n, m in rows]
        return {"revision": self.revision, "complete": whole, "members": members}

    async def talk(
        self, limiter: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head, _ = await read_message(reader)
                if self.silent:
                    await reader.read()
                    break
                watch, room = INDEX(head), self.bear()
                self.trail("call", limiter, 200 if room else 503)
                if not room:
                    writer.write(said(503))
                elif watch is None:
                    raw = chunk(self.list_for(limiter, 0, True)).split(b"\r\n")[1]
                    writer.write(said(200, raw))
                else:
                    writer.write(WATCHING)
                    await self.stream(limiter, int(watch[1]), reader, writer)
                    break
        writer.close()

    async def stream(
        self, limiter: int, held: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """A watch, until its reader is gone."""
        whole = not 0 < held <= self.revision
        ended = asyncio.create_task(reader.read())
        try:
            while not ended.done():
                news = self.news
                if self.silent:
                    pass
                elif whole or held < self.revision:
                    writer.write(chunk(self.list_for(limiter, held, whole)))
                    held, whole = self.revision, False
                    if limiter not in self.knowing:
                        self.knowing.add(limiter)
                        say(told=limiter)
                else:
                    writer.write(BEAT)
                await writer.drain()
                waits = [asyncio.create_task(news.wait()), ended]
                await asyncio.wait(waits, timeout=BEAT_S, return_when=asyncio.FIRST_COMPLETED)
                waits[0].cancel()
        finally:
            ended.cancel()

    def publish(self, rows: list[dict]) -> None:
        self.revision += 1
        for row in rows:
            n = row["server"]
            self.members[n].update({k: v for k, v in row.items() if k != "server"})
            self.changed[n] = self.revision
        self.wake()

    def wake(self) -> None:
        self.news.set()
        self.news = asyncio.Event()

    def order(self, told: dict) -> None:
        match told["do"]:
            case "list":
                asyncio.get_running_loop().call_later(self.late, self.publish, told["rows"])
            case "discovery_silent":
                self.silent = told["on"]
                self.wake()
            case "discovery_late":
                self.late = told["s"]
            case "discovery_half":
                self.share = told["share"]
            case "discovery_bears":
                self.bears = told["bears"]


async def start(config: dict):
    """`host`, `ports` (by limiter), `addresses`, `members`, `late_s`, `bears`, `trail`."""
    discovery = Discovery(config)
    for limiter, port in enumerate(config["ports"]):
        await asyncio.start_server(
            lambda r, w, n=limiter: discovery.talk(n, r, w), config["host"], port, limit=1 << 20
        )
    return discovery.order
