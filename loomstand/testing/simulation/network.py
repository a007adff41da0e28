"""The sky over all machines: who reaches whom and how fast. Calls go over it as over TCP
connections.

A call first needs a connection to the listener's present life: one round trip. Where nobody
listens, it's refused at once; a machine that is off, or behind a cut, stays silent. Bytes that meet
a cut are lost, or held up until it's mended; the caller has long given up by then.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random
from typing import Any

from expression import Error, Ok, Result

from loomstand.rpc import Address, CallHandler
from loomstand.rpc.errors import CallFailure, CallRefusedError
from loomstand.testing.simulation.loop import CURRENT_PROCESS, SimProcess

LINK_DELAY_SECONDS = (0.0005, 0.004)  # s one way: machines of one region, and of neighbouring ones
Body = dict[str, Any]


@dataclass(slots=True)
class Listener:
    process: SimProcess
    serve: CallHandler


@dataclass(slots=True)
class SimNetwork:
    rng: Random
    listeners: dict[Address, Listener] = field(default_factory=dict)
    powered_off: set[str] = field(default_factory=set)  # hosts without power
    blocked_links: set[tuple[str, str]] = field(
        default_factory=set
    )  # from, to: nothing comes through
    extra_delay_seconds: dict[str, float] = field(
        default_factory=dict
    )  # s more, to and from a host
    loss_rate: float = (
        0.0  # share of calls whose request or answer is lost, their connection with them
    )
    held_transfers: list[tuple[str, str, asyncio.Future[None]]] = field(default_factory=list)

    def cut(self, one: str, other: str, both: bool = True) -> None:
        self.blocked_links |= {(one, other), (other, one)} if both else {(one, other)}

    def partition(self, *sides: list[str]) -> None:
        """Cuts the sides from each other."""
        for i, side in enumerate(sides):
            for other in (h for rest in sides[i + 1 :] for h in rest):
                for host in side:
                    self.cut(host, other)

    def heal(self, only: set[tuple[str, str]] | None = None) -> None:
        """Ends all cuts, or only those; bytes that were held up go on."""
        ends = set(self.blocked_links) if only is None else only
        self.blocked_links -= ends
        through = [h for h in self.held_transfers if only is None or h[:2] in ends]
        self.held_transfers = (
            [] if only is None else [h for h in self.held_transfers if h[:2] not in ends]
        )
        for *_, waits in through:
            if not waits.done():
                waits.set_result(None)

    def is_reachable(self, one: str, other: str) -> bool:
        return (
            (one, other) not in self.blocked_links
            and one not in self.powered_off
            and other not in self.powered_off
        )

    async def deliver(self, one: str, other: str) -> bool:
        """Bytes on their way; whether they arrive."""
        low, high = LINK_DELAY_SECONDS
        await asyncio.sleep(
            self.rng.uniform(low, high)
            + self.extra_delay_seconds.get(one, 0.0)
            + self.extra_delay_seconds.get(other, 0.0)
        )
        if self.is_reachable(one, other):
            return self.rng.random() >= self.loss_rate
        if (one, other) in self.blocked_links and self.rng.random() < 0.5:
            through = asyncio.get_running_loop().create_future()
            self.held_transfers.append((one, other, through))
            await through
            return self.is_reachable(one, other)
        return False


@dataclass(slots=True)
class MachineNetwork:
    """A machine's Network, for one life."""

    network: SimNetwork
    host: str
    process: SimProcess
    connected_processes: dict[Address, SimProcess] = field(
        default_factory=dict
    )  # connections that stand

    async def listen(self, address: Address, serve: CallHandler) -> None:
        self.network.listeners[address] = Listener(self.process, serve)

    async def call(
        self, address: Address, op: str, body: Body, within: float
    ) -> Result[Body, CallFailure]:
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[Result[Body, CallFailure]] = loop.create_future()
        sent: list[bool] = []  # whether the request's bytes are under way
        # on the wire nothing is frozen or killed with the caller
        run = loop.create_task(
            self._run(address, op, body, sent, answer), context=_WIRE_CONTEXT.copy()
        )
        try:
            async with asyncio.timeout(within):
                return await answer
        except TimeoutError:
            self.connected_processes.pop(address, None)
            del run  # goes on: what is under way may still arrive
            return Error(CallFailure.MAY_HAVE_RUN if sent else CallFailure.NEVER_RAN)

    async def _run(
        self, address: Address, op: str, body: Body, sent: list[bool], answer: Any
    ) -> None:
        there = self.network.listeners.get(address)
        if (
            self.connected_processes.get(address) is not (there.process if there else None)
            or there is None
        ):
            if not (
                await self.network.deliver(self.host, address[0])
                and await self.network.deliver(address[0], self.host)
            ):
                return None
            there = self.network.listeners.get(address)
            if there is None or not there.process.alive:
                return _complete(answer, Error(CallFailure.NEVER_RAN))
            self.connected_processes[address] = there.process
        if answer.done():
            return None
        sent.append(True)
        if not await self.network.deliver(self.host, address[0]):
            return None
        if not there.process.alive:
            if self.network.is_reachable(address[0], self.host):
                _complete(answer, Error(CallFailure.MAY_HAVE_RUN))
            return None
        loop = asyncio.get_running_loop()
        reply: asyncio.Future[Result[Body, CallFailure]] = loop.create_future()
        served = loop.create_task(
            _serve(there.serve, op, body, reply), context=there.process.context()
        )
        result = await reply
        del served
        if there.process.alive and await self.network.deliver(address[0], self.host):
            _complete(answer, result)


async def _serve(serve: CallHandler, op: str, body: Body, reply: Any) -> None:
    try:
        reply.set_result(Ok(await serve(op, body)))
    except CallRefusedError:
        reply.set_result(Error(CallFailure.REFUSED))


def _complete(answer: Any, result: Any) -> None:
    if not answer.done():
        answer.set_result(result)


def _make_wire_context() -> Any:
    import contextvars

    made = contextvars.Context()
    made.run(CURRENT_PROCESS.set, None)
    return made


_WIRE_CONTEXT = _make_wire_context()
