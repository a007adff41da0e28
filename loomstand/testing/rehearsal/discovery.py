"""Stand-in for discovery: complete lists and watches as in PROTOCOL, with each limiter's addresses.

It can be late or silent, reject calls above a rate, and return only a share of the list. It sends a
message on standard output when a limiter has been sent its first list on a watch. Events: `call`
(limiter, status), `told` (limiter, whether the list is complete, [[server, phase, start in Unix
ms], ...]).
"""

from __future__ import annotations

import asyncio
import contextlib
import re
from math import ceil

from loomstand.testing.rehearsal.child import EventLog, send_message
from loomstand.testing.rehearsal.wire import (
    HEARTBEAT,
    WATCH_RESPONSE_HEAD,
    http_response,
    read_message,
    watch_chunk,
)

HEARTBEAT_SECONDS = 2.0  # PROTOCOL: an empty line every 2 s while nothing changes
WATCH_CALL = re.compile(rb"GET /api/targets\?stream=1&index=(\d+) ").match
LEFT = "left"


class Discovery:
    """The member list, its revisions and the simulated faults of discovery."""

    def __init__(self, config: dict) -> None:
        self.record, self.delay_seconds = EventLog(config["trail"]), config["late_s"]
        self.call_rate, self.tokens, self.refilled_at = config["bears"], config["bears"], 0.0
        self.addresses: list[list[str]] = config["addresses"]  # by limiter and server
        self.members = {n: dict(m) for n, m in enumerate(config["members"])}
        self.last_changes = dict.fromkeys(self.members, 1)  # revision by member
        self.revision, self.is_silent, self.published_share = 1, False, 1.0
        self.change_event = asyncio.Event()  # set, and replaced, at each change
        self.informed_limiters: set[int] = set()  # those that were sent a list on a watch

    def take_token(self) -> bool:
        """Takes a token for a call from a bucket that holds the tokens of one second.

        Returns whether the call is accepted; without a rate limit all are.
        """
        now = asyncio.get_running_loop().time()
        self.tokens, self.refilled_at = (
            min(self.call_rate, self.tokens + self.call_rate * (now - self.refilled_at)),
            now,
        )
        if not self.call_rate:
            return True
        self.tokens -= (accepted := self.tokens >= 1)
        return accepted

    def list_for(self, limiter: int, since: int, complete: bool) -> dict:
        """Returns the members that changed after the revision `since`, or a complete list.

        A complete list has the published share of all members, without those that have left.
        """
        candidates = (
            range(ceil(len(self.members) * self.published_share)) if complete else self.members
        )
        selected = [
            n
            for n in candidates
            if (self.members[n]["phase"] != LEFT if complete else self.last_changes[n] > since)
        ]
        rows = [(n, self.members[n]) for n in selected]
        self.record("told", limiter, complete, [[n, m["phase"], m["up_since_ms"]] for n, m in rows])
        members = [{**m, "host_port": self.addresses[limiter][n]} for n, m in rows]
        return {"revision": self.revision, "complete": complete, "members": members}

    async def serve(
        self, limiter: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers the calls of one connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head, _ = await read_message(reader)
                if self.is_silent:
                    await reader.read()
                    break
                watch, accepted = WATCH_CALL(head), self.take_token()
                self.record("call", limiter, 200 if accepted else 503)
                if not accepted:
                    writer.write(http_response(503))
                elif watch is None:
                    body = watch_chunk(self.list_for(limiter, 0, True)).split(b"\r\n")[1]
                    writer.write(http_response(200, body))
                else:
                    writer.write(WATCH_RESPONSE_HEAD)
                    await self.stream(limiter, int(watch[1]), reader, writer)
                    break
        writer.close()

    async def stream(
        self,
        limiter: int,
        revision: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Sends changes after a revision, and heartbeats, until the client closes the watch.

        A revision that discovery doesn't have gets a complete list first.
        """
        complete = not 0 < revision <= self.revision
        closed = asyncio.create_task(reader.read())
        try:
            while not closed.done():
                change_event = self.change_event
                if self.is_silent:
                    pass
                elif complete or revision < self.revision:
                    writer.write(watch_chunk(self.list_for(limiter, revision, complete)))
                    revision, complete = self.revision, False
                    if limiter not in self.informed_limiters:
                        self.informed_limiters.add(limiter)
                        send_message(told=limiter)
                else:
                    writer.write(HEARTBEAT)
                await writer.drain()
                waits = [asyncio.create_task(change_event.wait()), closed]
                await asyncio.wait(
                    waits, timeout=HEARTBEAT_SECONDS, return_when=asyncio.FIRST_COMPLETED
                )
                waits[0].cancel()
        finally:
            closed.cancel()

    def publish(self, rows: list[dict]) -> None:
        """Applies changes of members as one new revision."""
        self.revision += 1
        for row in rows:
            n = row["server"]
            self.members[n].update({k: v for k, v in row.items() if k != "server"})
            self.last_changes[n] = self.revision
        self.wake_watches()

    def wake_watches(self) -> None:
        """Wakes all watches, which then send what has changed."""
        self.change_event.set()
        self.change_event = asyncio.Event()

    def handle_command(self, command: dict) -> None:
        """Publishes changed members, or applies or undoes a fault."""
        match command["do"]:
            case "list":
                asyncio.get_running_loop().call_later(
                    self.delay_seconds, self.publish, command["rows"]
                )
            case "discovery_silent":
                self.is_silent = command["on"]
                self.wake_watches()
            case "discovery_late":
                self.delay_seconds = command["s"]
            case "discovery_half":
                self.published_share = command["share"]
            case "discovery_bears":
                self.call_rate = command["bears"]


async def start(config: dict):
    """Listens on the ports and returns the command handler.

    Keys of `config`: `host`, `ports` (by limiter), `addresses` (by limiter and server), `members`,
    `late_s`, `bears` (accepted calls a second, 0 for no limit), `trail` (path of the event log).
    """
    discovery = Discovery(config)
    for limiter, port in enumerate(config["ports"]):
        await asyncio.start_server(
            lambda r, w, n=limiter: discovery.serve(n, r, w), config["host"], port, limit=1 << 20
        )
    return discovery.handle_command
