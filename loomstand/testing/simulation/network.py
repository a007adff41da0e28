"""The simulated network between all machines: reachability, delay and loss, and calls on it.

Calls fail as over TCP. A call needs a connection to the process that listens at the time, which
takes one round trip. A port without a listener refuses the connection at once; a machine that is
off or partitioned doesn't answer. Bytes on a blocked link are lost, or held until the link is
healed; the call has usually timed out by then.
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

# One-way delay, lowest and highest: within a region, and between neighbouring regions.
LINK_DELAY_SECONDS = (0.0005, 0.004)
Body = dict[str, Any]


@dataclass(slots=True)
class Listener:
    """A listening port: its process and the handler of the calls to it."""

    process: SimProcess
    serve: CallHandler


@dataclass(slots=True)
class SimNetwork:
    """The state of the network: listeners, blocked links, delays and loss."""

    rng: Random
    listeners: dict[Address, Listener] = field(default_factory=dict)
    powered_off: set[str] = field(default_factory=set)  # hosts without power
    # (from, to): all bytes on these links are lost or held
    blocked_links: set[tuple[str, str]] = field(default_factory=set)
    # by host: added to the one-way delay of all bytes to and from it
    extra_delay_seconds: dict[str, float] = field(default_factory=dict)
    # share of call messages that are lost, and of stream segments that are retransmitted instead
    loss_rate: float = 0.0
    # (from, to, future completed when the link is healed)
    held_transfers: list[tuple[str, str, asyncio.Future[None]]] = field(default_factory=list)

    def cut(self, source: str, target: str, both: bool = True) -> None:
        """Blocks the link between two hosts; without `both` only from `source` to `target`."""
        self.blocked_links |= {(source, target), (target, source)} if both else {(source, target)}

    def partition(self, *sides: list[str]) -> None:
        """Blocks all links between the sides, in both directions."""
        for i, side in enumerate(sides):
            for other in (h for other_side in sides[i + 1 :] for h in other_side):
                for host in side:
                    self.cut(host, other)

    def heal(self, only: set[tuple[str, str]] | None = None) -> None:
        """Unblocks all links, or only those given; held bytes are delivered."""
        links = set(self.blocked_links) if only is None else only
        self.blocked_links -= links
        healed = [held for held in self.held_transfers if only is None or held[:2] in links]
        self.held_transfers = (
            [] if only is None else [held for held in self.held_transfers if held[:2] not in links]
        )
        for *_, unblocked in healed:
            if not unblocked.done():
                unblocked.set_result(None)

    def is_reachable(self, source: str, target: str) -> bool:
        """Returns whether bytes from `source` arrive at `target`: link open, both machines on."""
        return (
            (source, target) not in self.blocked_links
            and source not in self.powered_off
            and target not in self.powered_off
        )

    async def deliver(self, source: str, target: str) -> bool:
        """Waits for the transfer of bytes from one host to another; returns whether they arrive."""
        low, high = LINK_DELAY_SECONDS
        await asyncio.sleep(
            self.rng.uniform(low, high)
            + self.extra_delay_seconds.get(source, 0.0)
            + self.extra_delay_seconds.get(target, 0.0)
        )
        if self.is_reachable(source, target):
            return self.rng.random() >= self.loss_rate
        if (source, target) in self.blocked_links and self.rng.random() < 0.5:
            unblocked = asyncio.get_running_loop().create_future()
            self.held_transfers.append((source, target, unblocked))
            await unblocked
            return self.is_reachable(source, target)
        return False


@dataclass(slots=True)
class MachineNetwork:
    """The `rpc.Network` of one process on a machine."""

    network: SimNetwork
    host: str
    process: SimProcess
    # by address: the process at the other end of the open connection
    connected_processes: dict[Address, SimProcess] = field(default_factory=dict)

    async def listen(self, address: Address, serve: CallHandler) -> None:
        self.network.listeners[address] = Listener(self.process, serve)

    async def call(
        self, address: Address, op: str, body: Body, within: float
    ) -> Result[Body, CallFailure]:
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[Result[Body, CallFailure]] = loop.create_future()
        sent: list[bool] = []  # not empty once the request is being transferred
        # transfers go on when the caller is frozen or killed
        transfer = loop.create_task(
            self._transfer_call(address, op, body, sent, answer), context=_WIRE_CONTEXT.copy()
        )
        try:
            async with asyncio.timeout(within):
                return await answer
        except TimeoutError:
            self.connected_processes.pop(address, None)
            del transfer  # it goes on, and the request may still arrive
            return Error(CallFailure.MAY_HAVE_RUN if sent else CallFailure.NEVER_RAN)

    async def _transfer_call(
        self, address: Address, op: str, body: Body, sent: list[bool], answer: Any
    ) -> None:
        """Connects if necessary, sends the request, and completes `answer` when the result arrives.

        `answer` isn't completed when bytes are lost.
        """
        listener = self.network.listeners.get(address)
        if (
            self.connected_processes.get(address) is not (listener.process if listener else None)
            or listener is None
        ):
            if not (
                await self.network.deliver(self.host, address[0])
                and await self.network.deliver(address[0], self.host)
            ):
                return None
            listener = self.network.listeners.get(address)
            if listener is None or not listener.process.alive:
                return _complete(answer, Error(CallFailure.NEVER_RAN))
            self.connected_processes[address] = listener.process
        if answer.done():
            return None
        sent.append(True)
        if not await self.network.deliver(self.host, address[0]):
            return None
        if not listener.process.alive:
            if self.network.is_reachable(address[0], self.host):
                _complete(answer, Error(CallFailure.MAY_HAVE_RUN))
            return None
        loop = asyncio.get_running_loop()
        reply: asyncio.Future[Result[Body, CallFailure]] = loop.create_future()
        serving = loop.create_task(
            _serve(listener.serve, op, body, reply), context=listener.process.context()
        )
        result = await reply
        del serving
        if listener.process.alive and await self.network.deliver(address[0], self.host):
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

    context = contextvars.Context()
    context.run(CURRENT_PROCESS.set, None)
    return context


_WIRE_CONTEXT = _make_wire_context()
