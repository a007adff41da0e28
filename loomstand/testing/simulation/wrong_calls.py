"""Calls between processes whose answers are corrupted, late, duplicate or truncated."""

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
    "pause",  # waits 0.02 s within the answer
    "reset",  # resets the connection within the answer
    "close",  # closes the connection within the answer
    "half",  # closes the sending side within the answer
    "spoilt",  # inverts one bit
    "foreign",  # sends an answer with the number of no call before its own
    "no answer",  # sends a frame that isn't an answer
    "twice",  # sends a second answer with the same number at once
    "late twice",  # sends a second answer with the same number after 0.1 s
]


class ScriptedConnection(ServerConnection):
    """A server connection that applies the next fault of `owner.plays` to each answer.

    A fault is one of ANSWER_FAULTS and the byte of the answer at which it happens.
    """

    def __init__(self, owner: Any, handler: Any) -> None:
        super().__init__(owner, handler)
        self.answer_lock, self.eof_sent, self.checksum_sent = asyncio.Lock(), False, False

    async def serve_call(self, call: CallFrame) -> None:
        """Runs a call and answers it with the next fault of `plays`."""
        number = call.number
        try:
            raw = encode_item([number, True, await self.handler(call.operation, call.body)])
        except CallRefusedError:
            raw = encode_item([number, False, {}])
        fault, at = self.owner.plays.pop(0) if self.owner.plays else ("", 0)
        async with self.answer_lock:
            # a receiver requires checksums only after the first frame that has one
            if not self.checksum_sent:
                self.checksum_sent, fault = True, "" if fault == "spoilt" else fault
            await self.send_answer(number, raw, fault, at % len(raw))

    async def send_answer(self, number: int, raw: bytes, fault: str, at: int) -> None:
        """Sends an answer with a fault at byte `at`."""
        if fault == "pause":
            self.write_unless_closed(raw[:at])
            await asyncio.sleep(0.02)
            self.write_unless_closed(raw[at:])
        elif fault in ("reset", "close", "half"):
            self.write_unless_closed(raw[:at])
            if fault == "reset":
                self.close()
            elif fault == "half" and not self.transport.is_closing():
                self.eof_sent = True
                with suppress(OSError):  # it may be reset already
                    self.transport.write_eof()
            else:
                self.transport.close()
        elif fault == "spoilt":
            self.write_unless_closed(raw[:at] + bytes([raw[at] ^ (1 << (at % 8))]) + raw[at + 1 :])
        elif fault == "foreign":
            self.write_unless_closed(encode_item([number + 10_000, True, {"n": "foreign"}]) + raw)
        elif fault == "no answer":
            self.write_unless_closed(encode_item([number, "x", {"n": "none"}]))
        else:
            self.write_unless_closed(raw)
        if fault in ("twice", "late twice"):
            await asyncio.sleep(0.1 if fault == "late twice" else 0.0)
            self.write_unless_closed(encode_item([number, True, {"n": "again"}]))

    def write_unless_closed(self, raw: bytes) -> None:
        if not self.transport.is_closing() and not self.eof_sent:
            self.transport.write(raw)


class ScriptedNetwork(StreamNetwork):
    """A `StreamNetwork` that answers calls with the faults of `plays`."""

    plays: list[tuple[str, int]]

    async def listen(self, address: Any, handler: Any) -> None:
        loop = asyncio.get_running_loop()
        await self.streams.listen(loop, lambda: ScriptedConnection(self, handler), address)


class CallerAndServer:
    """A caller, and a server that records the calls that it ran.

    `plays` are the faults of the server's answers.
    """

    def __init__(self, plays: list[tuple[str, int]] | None = None) -> None:
        self.network, self.loop = SimNetwork(Random(1)), asyncio.get_running_loop()
        self.tcp = TcpStack(self.network, Random(2))
        self.process, self.ran, self.results = (
            SimProcess(),
            [],
            dict[int, Result[Any, CallFailure]](),
        )
        self.caller = StreamNetwork(Streams(self.tcp, CALLER_IP, SimProcess()))
        self.called = ScriptedNetwork(Streams(self.tcp, SERVER_ADDRESS[0], self.process))
        self.called.plays = plays or []
        self.ran_at: dict[int, float] = {}

    async def open(self) -> CallerAndServer:
        """Starts the server."""
        await self.called.listen(SERVER_ADDRESS, self.serve)
        return self

    async def serve(self, op: str, body: Any) -> Any:
        """Runs a call for `for` seconds and records it."""
        if op == "refuse":
            raise CallRefusedError("no")
        self.ran.append(body["n"])
        self.ran_at[body["n"]] = self.loop.time()
        await asyncio.sleep(body["for"])
        return {"n": body["n"]}

    async def call(self, n: int, lasts: float = 0.0, within: float = 0.3, size: int = 0) -> Any:
        """Sends call `n`, which takes `lasts` seconds to run, and records its result."""
        body = {"n": n, "for": lasts, "fill": bytes(size)}
        self.results[n] = result = await self.caller.call(SERVER_ADDRESS, "do", body, within)
        return result

    def check(self) -> None:
        """Asserts that each call has its own answer, that none ran twice, and that none reported as
        not run has run.
        """
        for n, result in self.results.items():
            assert self.ran.count(n) <= 1
            if result.is_ok():
                assert result.ok == {"n": n} and n in self.ran
            else:
                assert result.error is not CallFailure.NEVER_RAN or n not in self.ran, n
                assert result.error is not CallFailure.REFUSED, n
