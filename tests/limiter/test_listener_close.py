"""A listener that closes in the event loop iteration in which a client connects; real sockets.

Guards against a connection that is accepted but neither answered nor closed. If the listener closes
in the iteration of the accept, asyncio finds the server closed in the next iteration, when it sets
the connection up, and drops the connection without closing it. Seen in the soak test, seed 12: a
request sent 2.5 s after the SIGTERM of a proxy, within 10 ms of the listener's close, was not
forwarded and had no response for 1.8 s, until the process ended and its connection was reset.
"""

from __future__ import annotations

import asyncio
import socket

import pytest

from loomstand.limiter import event_loop
from loomstand.testing.rehearsal.wire import free_port, own_host

HOST = own_host(6)
ANSWER_SECONDS = 1.0


class AnswerProtocol(asyncio.Protocol):
    """Answers any received bytes."""

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.transport.write(b"answer")


def connect_and_send(address: tuple[str, int]) -> socket.socket:
    """Returns a client socket with its request sent, possibly before it is accepted."""
    client = socket.create_connection(address)
    client.settimeout(ANSWER_SECONDS)
    client.sendall(b"request")
    return client


def receive(client: socket.socket) -> str:
    """Returns what a client receives within `ANSWER_SECONDS`: text or how the wait ended."""
    try:
        return client.recv(100).decode() or "closed"
    except ConnectionResetError:
        return "reset"
    except TimeoutError:
        return "nothing"


@pytest.mark.parametrize("clients", [1, 3])
def test_a_client_that_connects_as_the_listener_closes_is_answered(clients):
    async def run() -> list[str]:
        loop = asyncio.get_running_loop()
        address = (HOST, free_port(HOST))
        listener = await event_loop.listen(loop, AnswerProtocol, address, 10, 10)
        waiting = [connect_and_send(address) for _ in range(clients)]
        loop.call_at(loop.time(), listener.close)  # timers run after the accepts of an iteration
        return [await asyncio.to_thread(receive, client) for client in waiting]

    assert asyncio.run(run()) == ["answer"] * clients


def test_a_client_that_connects_after_the_close_is_refused_at_once():
    async def run() -> None:
        loop = asyncio.get_running_loop()
        address = (HOST, free_port(HOST))
        listener = await event_loop.listen(loop, AnswerProtocol, address, 10, 10)
        listener.close()
        await asyncio.sleep(0.01)
        with pytest.raises(ConnectionRefusedError):
            connect_and_send(address)

    asyncio.run(run())
