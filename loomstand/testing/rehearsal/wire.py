"""What the stand-ins and our tests say and read on loopback: whole HTTP/1.1 messages in the
protocol's shape.

Plain and trusting, as the peers are our own; the limiter's parsers in `net/http.py` trust nobody.
"""

from __future__ import annotations

import asyncio
import os
import re
import socket

import msgspec

WATCHING = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
BEAT = b"1\r\n\n\r\n"  # an empty line of a watch: nothing changed
LENGTH = re.compile(rb"(?i)\r\ncontent-length: *(\d+)")


def own_host(salt: int = 9) -> str:
    """A loopback address of this process's own, so that no other program's ports get in the way."""
    pid = os.getpid()
    return f"127.{pid >> 8 & 127}.{pid & 255}.{salt}"


def free_port(host: str) -> int:
    with socket.create_server((host, 0)) as sock:
        return sock.getsockname()[1]


def free_ports(host: str, count: int) -> list[int]:
    """So many different free ports: all are held until the last one is found."""
    held = [socket.create_server((host, 0)) for _ in range(count)]
    ports = [s.getsockname()[1] for s in held]
    for sock in held:
        sock.close()
    return ports


def length_of(head: bytes) -> int:
    """The body's length as a head states it, 0 where it states none."""
    found = LENGTH.search(head)
    return int(found[1]) if found else 0


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """One message's head and body. Raises IncompleteReadError where the peer ends within it."""
    head = await reader.readuntil(b"\r\n\r\n")
    return head, await reader.readexactly(length_of(head))


def said(status: int, body: bytes = b"", extra: bytes = b"") -> bytes:
    """A whole answer; `extra` holds further field lines."""
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%b\r\n%b" % (status, len(body), extra, body)


def chunk(list_: object) -> bytes:
    """A line of a watch, in a chunk of its own."""
    line = msgspec.json.encode(list_) + b"\n"
    return b"%x\r\n%b\r\n" % (len(line), line)
