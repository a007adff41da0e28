"""Calls between processes whose answers come wrong, late, doubled or in part, byte by byte."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from random import Random
from typing import Any

from expression import Result

from loomstand.rpc.errors import CallFailure, CallRefusedError
from loomstand.rpc.frames import CallFrame, encode_item
from loomstand.rpc.tcp_connection import ServerConnection
from loomstand.testing.simulation.loop import SimProcess
from loomstand.testing.simulation.network import SimNetwork
from loomstand.testing.simulation.stream_network import StreamNetwork
from loomstand.testing.simulation.streams import Streams, TcpStack

CALLER_IP, SERVER_ADDRESS = "10.0.0.1", ("10.0.0.2", 7340)
ANSWER_FAULTS = [
    "",
    "pause",
    "reset",
    "close",
    "half",
    "spoilt",
    "foreign",
    "no answer",
    "twice",
    "late twice",
]


class ScriptedConnection(ServerConnection):
    """A server's connection that sends its answers as `owner.plays` says: each a way, and at which
    byte.
    """

    def __init__(self, owner: Any, handler: Any) -> None:
        super().__init__(owner, handler)
        self.whole, self.ended, self.summed = asyncio.Lock(), False, False

    async def serve_call(self, call: CallFrame) -> None:
        number = call.number
        try:
            raw = encode_item([number, True, await self.handler(call.operation, call.body)])
        except CallRefusedError:
            raw = encode_item([number, False, {}])
        how, at = self.owner.plays.pop(0) if self.owner.plays else ("", 0)
        async with self.whole:
            if not self.summed:  # the first frame may be of one that makes no sums yet
                self.summed, how = True, "" if how == "spoilt" else how
            await self.sent(number, raw, how, at % len(raw))

    async def sent(self, number: int, raw: bytes, how: str, at: int) -> None:
        if how == "pause":
            self.say(raw[:at])
            await asyncio.sleep(0.02)
            self.say(raw[at:])
        elif how in ("reset", "close", "half"):
            self.say(raw[:at])
            if how == "reset":
                self.close()
            elif how == "half" and not self.transport.is_closing():
                self.ended = True
                with suppress(OSError):  # it may be reset already
                    self.transport.write_eof()
            else:
                self.transport.close()
        elif how == "spoilt":
            self.say(raw[:at] + bytes([raw[at] ^ (1 << (at % 8))]) + raw[at + 1 :])
        elif how == "foreign":
            self.say(encode_item([number + 10_000, True, {"n": "foreign"}]) + raw)
        elif how == "no answer":
            self.say(encode_item([number, "x", {"n": "none"}]))
        else:
            self.say(raw)
        if how in ("twice", "late twice"):
            await asyncio.sleep(0.1 if how == "late twice" else 0.0)
            self.say(encode_item([number, True, {"n": "again"}]))

    def say(self, raw: bytes) -> None:
        if not self.transport.is_closing() and not self.ended:
            self.transport.write(raw)


class ScriptedNetwork(StreamNetwork):
    plays: list[tuple[str, int]]

    async def listen(self, address: Any, handler: Any) -> None:
        loop = asyncio.get_running_loop()
        await self.streams.listen(loop, lambda: ScriptedConnection(self, handler), address)


class CallerAndServer:
    """A caller and one that is called, which notes what it ran."""

    def __init__(self, plays: list[tuple[str, int]] | None = None) -> None:
        self.network, self.loop = SimNetwork(Random(1)), asyncio.get_running_loop()
        self.tcp = TcpStack(self.network, Random(2))
        self.process, self.ran, self.said = SimProcess(), [], dict[int, Result[Any, CallFailure]]()
        self.caller = StreamNetwork(Streams(self.tcp, CALLER_IP, SimProcess()))
        self.called = ScriptedNetwork(Streams(self.tcp, SERVER_ADDRESS[0], self.process))
        self.called.plays = plays or []
        self.ran_at: dict[int, float] = {}

    async def open(self) -> CallerAndServer:
        await self.called.listen(SERVER_ADDRESS, self.serve)
        return self

    async def serve(self, op: str, body: Any) -> Any:
        if op == "refuse":
            raise CallRefusedError("no")
        self.ran.append(body["n"])
        self.ran_at[body["n"]] = self.loop.time()
        await asyncio.sleep(body["for"])
        return {"n": body["n"]}

    async def call(self, n: int, lasts: float = 0.0, within: float = 0.3, size: int = 0) -> Any:
        body = {"n": n, "for": lasts, "fill": bytes(size)}
        self.said[n] = got = await self.caller.call(SERVER_ADDRESS, "do", body, within)
        return got

    def check(self) -> None:
        """Each answer is the own one, nothing runs twice, and what is proved not to have run
        hasn't.
        """
        for n, got in self.said.items():
            assert self.ran.count(n) <= 1
            if got.is_ok():
                assert got.ok == {"n": n} and n in self.ran
            else:
                assert got.error is not CallFailure.NEVER_RAN or n not in self.ran, n
                assert got.error is not CallFailure.REFUSED, n
